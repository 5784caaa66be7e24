//! How long ago the metadata store confirmed that the local view of it is current, and which VM
//! asks it again.
//!
//! A waiting watch can't be told from one whose connection has gone silent, so an open watch
//! confirms nothing. A confirmation is an answered store call: when the call was sent, the local
//! view was complete. Asking again while the watch waits bounds how stale the view of each subject
//! can be:
//!
//! | subject | confirmed by | refreshed after |
//! | --- | --- | --- |
//! | rules, endpoints | the local watch and local calls; calls of the VMs that refresh for the others, reported in heartbeats and summaries | 0.6 s (in a large fleet 1.0 s) by the first VM in order, later by the next ones |
//! | jobs, VMs | the same calls of the VM that watches for its failure domain, reported in its answers to the VMs that follow it | 2 s; 2.3 s by a VM with jobs that follows another one |
//!
//! A confirmation of rules and endpoints is reported, with its age, only by a VM that has it from
//! the store, never by one that has it from a peer: forwarded, it would seem younger with each hop.
//! State outside the store has other sources: an endpoint is alive by its process, a VM by its
//! heartbeats for 1.7 s or by its registration, which is among the live records.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::EnumCount;

/// Kinds of data that VMs follow in the metadata store.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, strum::IntoStaticStr, strum::EnumIter, EnumCount,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum StoreSubject {
    /// The rules, and operators' other requests.
    Rules,
    Endpoints,
    /// Records of batch jobs, and registrations of VMs.
    Live,
}

/// Confirmation age at which a VM asks the store again, by its rank among those that refresh for
/// the others.
///
/// New rules are in force, and a leaving endpoint is out of use, within 2 s on the tightest
/// deployments. The first VM finds them at most 0.6 s late, and the others have them 0.4 s later
/// (0.1 s until they are reported, 0.3 s until they are fetched), or 0.9 s later if a datagram is
/// lost. If the first VM can't ask or can't report, the second one does in time. Its age is above
/// the largest one seen while the first VM works: 0.6 s and a heartbeat of 0.5 s.
const REFRESH_AFTER: [Duration; 4] = [
    Duration::from_millis(600),
    Duration::from_millis(1200),
    Duration::from_millis(1500),
    Duration::from_millis(1800),
];
/// The same in a large fleet: for the two delegates of the first failure domain, for those of each
/// other one, and for two more VMs of each, which step in if living delegates don't refresh.
///
/// Deployments of that size allow 4 s. The other failure domains receive the first one's
/// confirmations every 0.6 s, so their delegates ask the store only if it finds nothing: simulated
/// with 295 VMs, this takes 2 calls a second, and 10 with each failure domain for itself.
const REFRESH_AFTER_LARGE: [Duration; 6] = [
    Duration::from_millis(1000),
    Duration::from_millis(1600),
    Duration::from_millis(1700),
    Duration::from_millis(2300),
    Duration::from_millis(2900),
    Duration::from_millis(3500),
];
/// The same for jobs and VMs, for each VM that watches them at the store. Writers report their own
/// records to the other VMs; only the lapse of a dead VM's registration is reported by no VM, and
/// its jobs can wait for seconds.
const LIVE_REFRESH_AFTER: Duration = Duration::from_secs(2);
/// The same for a VM that runs jobs and follows another VM. The items of a cancelled job must stop
/// within 3 s, whatever has become of the followed VM and of the one that cancelled the job. While
/// the followed VM works, its confirmations are reported before this age.
const FOLLOWED_REFRESH_AFTER: Duration = Duration::from_millis(2300);

/// Largest confirmation age at which "there is no such route" is answered: rules are in force
/// within 2 s of their commit on the tightest deployments. With regular confirmations and no lost
/// datagram the age is at most 1.1 s, in a large fleet 1.7 s.
const RULES_FRESH_AGE_MAX: Duration = Duration::from_millis(1800);
/// Largest confirmation age at which a VM answers queries for jobs and VMs while all its store
/// calls are answered: its refresh interval twice, for the time of a call and of a read.
const LIVE_FRESH_AGE_MAX: Duration = Duration::from_secs(4);

/// Ages of the sender's own last store confirmations, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationAges {
    pub rules_ms: Option<u32>,
    pub endpoints_ms: Option<u32>,
}

/// Whether the local versions are at least as new as a peer's.
#[derive(Debug, Clone, Copy)]
pub struct VersionsMatch {
    /// Local rules are as new as the peer's.
    pub rules: bool,
    pub endpoints: bool,
}

/// When the calls were sent that last confirmed a subject.
#[derive(Debug, Default, Clone, Copy)]
struct ConfirmedAt {
    by_local_call: Option<Duration>,
    /// By another VM's calls; late by the transit time of one datagram.
    by_peer_call: Option<Duration>,
}

/// The last confirmation of each subject.
#[derive(Debug, Default)]
pub struct Freshness {
    confirmed_at: [ConfirmedAt; StoreSubject::COUNT],
}

/// Confirmation age at which a VM asks the store again; `None` for a VM that doesn't refresh for
/// the others. `rank` is its rank among those that do.
pub fn refresh_after(subject: StoreSubject, rank: Option<usize>, large: bool) -> Option<Duration> {
    if subject == StoreSubject::Live {
        return Some(LIVE_REFRESH_AFTER);
    }
    let ages = if large {
        &REFRESH_AFTER_LARGE[..]
    } else {
        &REFRESH_AFTER
    };
    ages.get(rank?).copied()
}

impl Freshness {
    /// Records that the store answered a call on a subject, sent at this time, and that the answer
    /// was applied.
    pub fn confirm(&mut self, subject: StoreSubject, sent_at: Duration) {
        let row = &mut self.confirmed_at[subject as usize];
        row.by_local_call = row.by_local_call.max(Some(sent_at));
    }

    /// Applies a peer's confirmation ages. They confirm the local view only if its versions are as
    /// new as the peer's.
    pub fn confirm_by_peer(
        &mut self,
        now: Duration,
        ages: ConfirmationAges,
        versions_match: VersionsMatch,
    ) {
        let subjects = [
            (StoreSubject::Rules, ages.rules_ms, versions_match.rules),
            (
                StoreSubject::Endpoints,
                ages.endpoints_ms,
                versions_match.endpoints,
            ),
        ];
        for (subject, age_ms, matches) in subjects {
            if let (Some(age_ms), true) = (age_ms, matches) {
                self.confirm_by_peer_at(subject, now, Duration::from_millis(age_ms.into()));
            }
        }
    }

    /// Applies the confirmation age of a VM that this one follows.
    pub fn confirm_by_peer_at(&mut self, subject: StoreSubject, now: Duration, age: Duration) {
        let row = &mut self.confirmed_at[subject as usize];
        row.by_peer_call = row.by_peer_call.max(now.checked_sub(age));
    }

    /// Ages of local confirmations, which are sent to the other VMs.
    pub fn own_confirmation_ages(&self, now: Duration) -> ConfirmationAges {
        let age_ms = |subject: StoreSubject| {
            let age = now.saturating_sub(self.confirmed_at[subject as usize].by_local_call?);
            u32::try_from(age.as_millis()).ok()
        };
        ConfirmationAges {
            rules_ms: age_ms(StoreSubject::Rules),
            endpoints_ms: age_ms(StoreSubject::Endpoints),
        }
    }

    /// Age of the last confirmation; `None` if there is none yet.
    pub fn age(&self, now: Duration, subject: StoreSubject) -> Option<Duration> {
        let row = &self.confirmed_at[subject as usize];
        let at = row.by_local_call.max(row.by_peer_call)?;
        Some(now.saturating_sub(at))
    }

    /// Time until the last confirmation reaches an age; zero if it has, or if there is none.
    pub fn refresh_due_in(
        &self,
        now: Duration,
        subject: StoreSubject,
        refresh_after: Duration,
    ) -> Duration {
        let age = self.age(now, subject);
        age.map_or(Duration::ZERO, |age| refresh_after.saturating_sub(age))
    }

    /// When the last local call that confirmed a subject was sent.
    pub fn confirmed_by_local_call_at(&self, subject: StoreSubject) -> Option<Duration> {
        self.confirmed_at[subject as usize].by_local_call
    }

    /// Time until a VM that runs jobs and follows another VM has to ask the store itself.
    pub fn followed_refresh_due_in(&self, now: Duration) -> Duration {
        self.refresh_due_in(now, StoreSubject::Live, FOLLOWED_REFRESH_AFTER)
    }

    /// Whether the rules are fresh enough that a route which they lack does not exist.
    ///
    /// With a silent watch, callers of a newly added route would otherwise be told that it doesn't
    /// exist, which ends their retries. While the rules are stale they are told to come back.
    pub fn are_rules_fresh(&self, now: Duration) -> bool {
        self.age(now, StoreSubject::Rules)
            .is_some_and(|age| age < RULES_FRESH_AGE_MAX)
    }

    /// Whether the store has answered all calls for long without confirming jobs and VMs, so that
    /// VMs that query this one should ask the store instead. A call to it last failed `failed_for`
    /// ago.
    ///
    /// The time since a failure counts because after an outage the store answers again before
    /// everything has been read anew: each VM that is turned away at that moment reads everything
    /// itself, with 250 of them thousands of calls.
    pub fn is_live_stale(&self, now: Duration, failed_for: Option<Duration>) -> bool {
        let answered = failed_for.is_none_or(|age| age >= LIVE_FRESH_AGE_MAX);
        let age = self.age(now, StoreSubject::Live);
        answered && age.is_some_and(|age| age >= LIVE_FRESH_AGE_MAX)
    }
}
