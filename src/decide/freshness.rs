//! How old the metadata store's word is on what is followed there, and who asks for a younger one.
//!
//! A watch that waits looks like one whose connection has gone silent, so an open watch proves nothing. A proof is a
//! call that the store has answered: what this VM knows was all there is when that call was sent. Belief in each subject
//! is bounded in time by asking again while the watch waits:
//!
//! | subject | proved by | again after |
//! | --- | --- | --- |
//! | rules, endpoints | the own watch and the own calls; calls of the VMs that prove for the others, told in heartbeats and summaries | 0.6 s (in a large fleet 1.0 s) by the first VM in order, later by the next ones |
//! | jobs, VMs | the same calls of the VM that watches for its failure domain, told with what it answers to those that ask it | 2 s |
//!
//! The store's word on rules and endpoints is told by those who had it themselves, with its age, and never by those who were
//! told: a proof that is passed round would seem younger with each way it takes. An endpoint is believed by its process, a VM by
//! its heartbeats for 1.7 s or its registration, which is among the live records.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::EnumCount;

/// What is followed at the metadata store.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, strum::IntoStaticStr, strum::EnumIter, EnumCount,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum StoreSubject {
    /// The rules, and what else operators ask for.
    Rules,
    Endpoints,
    /// Records of batch jobs, and registrations of VMs.
    Live,
}

/// Age of the youngest proof at which a VM asks the store again, by its place among those that prove for the others.
///
/// New rules are in force, and an endpoint that leaves is out of use, within 2 s on the tightest deployments. The first
/// VM finds them 0.6 s late at the most, and the others have them 0.4 s after it (0.1 s until it is told, 0.3 s until it
/// is fetched), 0.9 s where a datagram is lost. Where the first one can't ask or can't tell, the second does before
/// they are too late. Its age is above what is seen while the first one does: 0.6 s and a heartbeat of 0.5 s.
const PATIENCE: [Duration; 4] = [
    Duration::from_millis(600),
    Duration::from_millis(1200),
    Duration::from_millis(1500),
    Duration::from_millis(1800),
];
/// The same in a large fleet: for the two delegates of the first failure domain, those of each other one, and two VMs of
/// each that step in where delegates speak but prove nothing.
///
/// Deployments of that size leave 4 s. The other failure domains hear of what the first one finds each 0.6 s, so that their
/// delegates ask for themselves only where it finds nothing: 2 calls a second with 295 VMs, where it is 10 with each failure
/// domain for itself (played).
const PATIENCE_LARGE: [Duration; 6] = [
    Duration::from_millis(1000),
    Duration::from_millis(1600),
    Duration::from_millis(1700),
    Duration::from_millis(2300),
    Duration::from_millis(2900),
    Duration::from_millis(3500),
];
/// The same for jobs and VMs, for each VM that watches them at the store. Whatever a VM writes there it tells the
/// others; what nobody tells is the lapse of a dead VM's registration, whose jobs have seconds.
const PATIENCE_LIVE: Duration = Duration::from_secs(2);

/// Oldest proof on which "there is no such route" is answered: rules are in force within 2 s of the store's word on the
/// tightest deployments. While proofs come and no datagram is lost it is 1.1 s at the most, in a large fleet 1.7 s.
const SURE: Duration = Duration::from_millis(1800);
/// Oldest proof on which a VM answers those that ask it for jobs and VMs, where all its calls on the store are answered:
/// its patience, and once more the time of a call and of a reading.
const LIVE_SURE: Duration = Duration::from_secs(4);

/// How old the store's youngest word to the sender itself is, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationAges {
    pub rules_ms: Option<u32>,
    pub endpoints_ms: Option<u32>,
}

/// What a VM knows, compared with what another one has told of.
#[derive(Debug, Clone, Copy)]
pub struct VersionsMatch {
    /// Rules as new as the other's.
    pub rules: bool,
    pub endpoints: bool,
}

/// When the calls were sent that are the youngest proofs of a subject.
#[derive(Debug, Default, Clone, Copy)]
struct Row {
    own_at: Option<Duration>,
    /// By another VM's calls. Late by the way of one datagram.
    told_at: Option<Duration>,
}

/// The youngest proof of each subject.
#[derive(Debug, Default)]
pub struct Freshness {
    rows: [Row; StoreSubject::COUNT],
}

/// Age of the youngest proof at which a VM asks again; `None` for one that does not prove for the others. `place` is
/// its place among those that do.
pub fn refresh_after(subject: StoreSubject, place: Option<usize>, large: bool) -> Option<Duration> {
    if subject == StoreSubject::Live {
        return Some(PATIENCE_LIVE);
    }
    let steps = if large {
        &PATIENCE_LARGE[..]
    } else {
        &PATIENCE
    };
    steps.get(place?).copied()
}

impl Freshness {
    /// The store has answered a call on a subject that was sent at this time, and the answer was taken.
    pub fn confirm(&mut self, subject: StoreSubject, sent_at: Duration) {
        let row = &mut self.rows[subject as usize];
        row.own_at = row.own_at.max(Some(sent_at));
    }

    /// Another VM tells how old the store's word to it is. That proves what this VM knows only where this one
    /// knows as much.
    pub fn confirm_by_peer(&mut self, now: Duration, ages: ConfirmationAges, knows: VersionsMatch) {
        let subjects = [
            (StoreSubject::Rules, ages.rules_ms, knows.rules),
            (StoreSubject::Endpoints, ages.endpoints_ms, knows.endpoints),
        ];
        for (subject, age_ms, known) in subjects {
            if let (Some(age_ms), true) = (age_ms, known) {
                self.confirm_by_peer_at(subject, now, Duration::from_millis(age_ms.into()));
            }
        }
    }

    /// Another VM, which this one follows, tells how old its proof is.
    pub fn confirm_by_peer_at(&mut self, subject: StoreSubject, now: Duration, age: Duration) {
        let row = &mut self.rows[subject as usize];
        row.told_at = row.told_at.max(now.checked_sub(age));
    }

    /// What is told to the others.
    pub fn own_confirmation_ages(&self, now: Duration) -> ConfirmationAges {
        let age_ms = |subject: StoreSubject| {
            let age = now.saturating_sub(self.rows[subject as usize].own_at?);
            u32::try_from(age.as_millis()).ok()
        };
        ConfirmationAges {
            rules_ms: age_ms(StoreSubject::Rules),
            endpoints_ms: age_ms(StoreSubject::Endpoints),
        }
    }

    /// Age of the youngest proof; `None` where there was none yet.
    pub fn age(&self, now: Duration, subject: StoreSubject) -> Option<Duration> {
        let row = &self.rows[subject as usize];
        let at = row.own_at.max(row.told_at)?;
        Some(now.saturating_sub(at))
    }

    /// How long until the youngest proof is so old; zero where it is, or where there is none.
    pub fn refresh_due_in(
        &self,
        now: Duration,
        subject: StoreSubject,
        patience: Duration,
    ) -> Duration {
        let age = self.age(now, subject);
        age.map_or(Duration::ZERO, |age| patience.saturating_sub(age))
    }

    /// Whether the rules are proved so lately that a route which they lack does not exist.
    ///
    /// The failure: a route is added, the watch is silent, and its callers are told that there is no such thing, which
    /// ends their tries. Where the proof is older they are told to come back.
    pub fn are_rules_fresh(&self, now: Duration) -> bool {
        self.age(now, StoreSubject::Rules)
            .is_some_and(|age| age < SURE)
    }

    /// Whether the store has answered all calls for long and told nothing of jobs and VMs meanwhile, so that those that
    /// ask this VM had better ask the store. `failed_for` ago a call on it last failed.
    ///
    /// The failure: the store is back from an outage and answers, all is about to be read again, and each VM that is
    /// sent away in that moment reads everything for itself: with 250 of them, thousands of calls.
    pub fn is_live_stale(&self, now: Duration, failed_for: Option<Duration>) -> bool {
        let answered = failed_for.is_none_or(|age| age >= LIVE_SURE);
        let age = self.age(now, StoreSubject::Live);
        answered && age.is_some_and(|age| age >= LIVE_SURE)
    }
}
