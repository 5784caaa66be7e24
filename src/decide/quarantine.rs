//! Requests that end the endpoints which run them: which are suspected, which are held back, and for how long.
//!
//! | question | answer |
//! | --- | --- |
//! | What is the same request? | Its [`Fingerprint`]: caller, method, host, path with query, body. |
//! | What speaks against it? | An endpoint that ended while the request was under way there, see [`Quarantine::run_lost`] and [`Quarantine::endpoint_ended`]. |
//! | What speaks for it? | A whole answer anywhere, see [`Quarantine::request_answered`]: no end before it counts, nor within 20 s after it. |
//! | When is it held back? | After three ends without an answer, up to five while endpoints end without it, and 0.3 s after all were told of the second. |
//! | Who is told? | Two VMs that add up what all have seen; of a second end, and all that follows it, these tell every VM, see [`report`]. |
//! | For how long? | Ten minutes. Meanwhile it may run once after 15 s and once after 150 s, at one VM of the fleet. |
//!
//! The failure: one caller's request ends each endpoint that runs it and comes again under new ids at any VM, or an item of a
//! job goes out again and again. Endpoints end faster than they come back, and nobody is served any more.

mod change;
mod evidence;
mod fingerprint;
pub mod report;
mod row;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

pub use self::change::{EvidenceSource, QuarantineChange, QuarantineListing, QuarantineVerdict};
pub use self::evidence::LostRun;
use self::evidence::{occasions, Answered, End};
pub use self::fingerprint::{Fingerprint, InvalidFingerprint, RequestIdentity};
pub use self::report::{QuarantineReport, REPORTS_PER_DATAGRAM_MAX};
use self::row::Row;
pub use self::row::{ENDS_MIN, HOLD_TIME};
use crate::id::EndpointId;

/// Ends without the request that ask for one more end of its own: where endpoints end anyway, each says less.
const OTHERS_PER_END: usize = 3;
/// Ends asked for beyond [`ENDS_MIN`] at the most.
const MORE_ENDS_MAX: usize = 2;
/// Time in which such other ends count.
const OTHERS_LIFE: Duration = Duration::from_secs(3);
/// A later answer is told of after so long.
const SPOKEN_AGAIN: Duration = Duration::from_secs(5);
/// Time for that. The failure: many endpoints end within half a second, the question that everybody asks was under way at each, and
/// the VM that adds them up holds it back before any other one has heard that it needs to be spoken for.
const SPEAK_UP: Duration = Duration::from_millis(300);
/// Requests that are remembered; the one that changed longest ago makes way, those held back last.
const ROWS_MAX: usize = 256;
/// Changes that are kept for the log while nobody takes them.
const CHANGES_MAX: usize = 1024;

/// Requests that endpoints ended under.
#[derive(Debug, Default)]
pub struct Quarantine {
    rows: HashMap<Fingerprint, Row>,
    /// Runs of which it is not known yet whether their endpoint has ended.
    lost: VecDeque<LostRun>,
    answered: Answered,
    /// Endpoints that ended, and when it was seen.
    ended: HashMap<EndpointId, Duration>,
    changes: Vec<QuarantineChange>,
    /// Requests of which other VMs are to be told.
    untold: Vec<Fingerprint>,
}

impl Quarantine {
    /// Whether nothing is suspected, so that no request needs to be looked at.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// A run has lost its connection to an endpoint that is registered and does not leave.
    ///
    /// That alone says nothing: connections are reset while their endpoint serves on, also all of a VM's at once. An endpoint
    /// that is frozen, cut off or without power says nothing and breaks no connection.
    pub fn run_lost(&mut self, now: Duration, run: LostRun) {
        if !run.counts() {
            return;
        }
        if self.ended.contains_key(&run.endpoint) {
            return self.hold_against(now, run);
        }
        if self.lost.len() >= evidence::LOST_MAX {
            self.lost.pop_front();
        }
        self.lost.push_back(run);
    }

    /// An endpoint has ended: its host refuses connections, or its entry is gone without a word that it leaves.
    pub fn endpoint_ended(&mut self, now: Duration, endpoint: EndpointId) {
        self.ended.entry(endpoint).or_insert(now);
        let lost = std::mem::take(&mut self.lost).into_iter();
        let (under, others): (Vec<LostRun>, _) = lost.partition(|run| run.endpoint == endpoint);
        self.lost = others.into();
        for run in under {
            self.hold_against(now, run);
        }
    }

    fn hold_against(&mut self, now: Duration, run: LostRun) {
        let end = End {
            endpoint: run.endpoint,
            at: run.at,
        };
        let row = self.row(now, run.fingerprint, &run.label);
        if !row.add(end) {
            return;
        }
        row.changed(now);
        self.note(
            run.fingerprint,
            QuarantineVerdict::Suspected,
            EvidenceSource::Own,
        );
        self.judge(now, run.fingerprint);
        self.untold.push(run.fingerprint);
    }

    fn row(&mut self, now: Duration, fingerprint: Fingerprint, label: &str) -> &mut Row {
        if !self.rows.contains_key(&fingerprint) && self.rows.len() >= ROWS_MAX {
            let oldest = |row: &Row| (row.held_since.is_some(), row.changed_at);
            let oldest = self.rows.iter().min_by_key(|(_, row)| oldest(row));
            if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.rows.remove(&fingerprint);
            }
        }
        let cleared_at = self.answered.at(fingerprint);
        let row = || Row::new(now, label, cleared_at);
        self.rows.entry(fingerprint).or_insert_with(row)
    }

    /// Holds a request back that has ended enough endpoints.
    fn judge(&mut self, now: Duration, fingerprint: Fingerprint) {
        let Some(row) = self.rows.get(&fingerprint) else {
            return;
        };
        let recent = self.ended.iter().filter(|(_, at)| now < **at + OTHERS_LIFE);
        let others = recent.filter(|(endpoint, _)| !row.ends.has(**endpoint));
        let others: Vec<Duration> = others.map(|(_, at)| *at).collect();
        let more = (occasions(others) / OTHERS_PER_END).min(MORE_ENDS_MAX);
        let known = row.concerns_all_since;
        let known = known.is_some_and(|since| now >= since + SPEAK_UP);
        if known && row.held_since.is_none() && row.held_against() >= ENDS_MIN + more {
            self.hold(now, fingerprint, now, EvidenceSource::Own);
            self.untold.push(fingerprint);
        }
    }

    fn hold(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        since: Duration,
        by: EvidenceSource,
    ) {
        let Some(row) = self.rows.get_mut(&fingerprint) else {
            return;
        };
        row.held_since = Some(since);
        row.by = by;
        row.changed(now);
        self.note(fingerprint, QuarantineVerdict::Held, by);
    }

    /// Whether a request may be sent to an endpoint now; else how long it is held back yet. `tries` where this VM is the one of
    /// the fleet that runs this request on trial.
    pub fn admit(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        tries: bool,
    ) -> Result<(), Duration> {
        let Some(row) = self.rows.get_mut(&fingerprint) else {
            return Ok(());
        };
        let Some(back_at) = row.back_at() else {
            return Ok(());
        };
        if now < back_at || !tries || back_at >= row.forgotten_at() {
            return Err(back_at.saturating_sub(now));
        }
        row.trials += 1;
        row.changed(now);
        self.note(
            fingerprint,
            QuarantineVerdict::OnTrial,
            EvidenceSource::Time,
        );
        self.untold.push(fingerprint);
        Ok(())
    }

    /// A request was answered whole, which one that ends its endpoints never is. `speaks` where the others are to be told: what
    /// everybody asks is answered by all VMs in the same moment, and a few of them are enough.
    pub fn request_answered(&mut self, now: Duration, fingerprint: Fingerprint, speaks: bool) {
        self.answered.note(now, fingerprint);
        let told = |row: &Row| row.cleared_at.is_some_and(|at| now < at + SPOKEN_AGAIN);
        let due = self.rows.get(&fingerprint).is_some_and(|row| !told(row));
        if due {
            self.clear(now, fingerprint, EvidenceSource::Own);
        }
        if due && speaks {
            self.untold.push(fingerprint);
        }
    }

    /// An operator lets a request run again; false when nothing was held against it.
    pub fn release(&mut self, now: Duration, fingerprint: Fingerprint) -> bool {
        let cleared = self.clear(now, fingerprint, EvidenceSource::Operator);
        if cleared {
            self.untold.push(fingerprint);
        }
        cleared
    }

    /// Something speaks for a request; false when nothing was held against it.
    fn clear(&mut self, now: Duration, fingerprint: Fingerprint, by: EvidenceSource) -> bool {
        let Some(row) = self.rows.get_mut(&fingerprint) else {
            return false;
        };
        let guilty = row.held_against() > 0;
        row.clear(now, now);
        if guilty {
            self.note(fingerprint, QuarantineVerdict::Cleared, by);
        }
        guilty
    }

    /// Takes what another VM, or the record in the metadata store, says of a request; true when that was news.
    pub fn apply_report(
        &mut self,
        now: Duration,
        told: &QuarantineReport,
        by: EvidenceSource,
    ) -> bool {
        let fingerprint = told.fingerprint;
        if told.ends(now).all(|end| now >= end.at + HOLD_TIME) {
            return false;
        }
        let row = self.row(now, fingerprint, &told.label);
        let mut news = false;
        for end in told.ends(now) {
            news |= row.add(end);
        }
        let trials = usize::from(told.trials);
        news |= trials > row.trials;
        row.trials = row.trials.max(trials);
        if news {
            row.changed(now);
        }
        for end in told.ends(now) {
            self.ended.entry(end.endpoint).or_insert(end.at);
        }
        news |= self.told_cleared(now, told, by);
        news |= self.told_held(now, told, by);
        self.judge(now, fingerprint);
        news
    }

    /// Takes it that a request was answered whole elsewhere.
    fn told_cleared(&mut self, now: Duration, told: &QuarantineReport, by: EvidenceSource) -> bool {
        let (Some(at), Some(row)) = (told.cleared_at(now), self.rows.get_mut(&told.fingerprint))
        else {
            return false;
        };
        let known = row.cleared_at;
        if known.is_some_and(|known| at <= known) {
            return false;
        }
        let guilty = row.held_against() > 0;
        row.clear(now, at);
        if guilty && row.held_against() == 0 {
            self.note(told.fingerprint, QuarantineVerdict::Cleared, by);
        }
        // The latest answer counts, in whichever order they are heard of; only one that is much later is told on.
        known.is_none_or(|known| at > known + SPOKEN_AGAIN)
    }

    /// Takes it that another VM holds a request back, unless something has spoken for it since.
    fn told_held(&mut self, now: Duration, told: &QuarantineReport, by: EvidenceSource) -> bool {
        let (Some(since), Some(row)) = (told.held_since(now), self.rows.get(&told.fingerprint))
        else {
            return false;
        };
        if row.held_since.is_some() || since <= row.cleared_until() {
            return false;
        }
        self.hold(now, told.fingerprint, since, by);
        true
    }

    /// The others are to be told of a request although this VM was told itself.
    pub fn forward(&mut self, fingerprint: Fingerprint) {
        self.untold.push(fingerprint);
    }

    /// Forgets what is too old.
    pub fn tick(&mut self, now: Duration) {
        self.lost.retain(|run| now < run.at + evidence::LOST_LIFE);
        self.ended.retain(|_, at| now < *at + evidence::ENDED_LIFE);
        let over = self
            .rows
            .iter()
            .filter(|(_, row)| now >= row.forgotten_at());
        let over: Vec<Fingerprint> = over.map(|(fingerprint, _)| *fingerprint).collect();
        let guilty = |row: &Row| row.held_since.is_none() && row.held_against() >= ENDS_MIN;
        let guilty = self.rows.iter().filter(|(_, row)| guilty(row));
        let guilty: Vec<Fingerprint> = guilty.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in guilty {
            self.judge(now, fingerprint);
        }
        for fingerprint in over {
            let held = self.rows[&fingerprint].held_since.is_some();
            if held {
                self.note(
                    fingerprint,
                    QuarantineVerdict::Forgotten,
                    EvidenceSource::Time,
                );
            }
            self.rows.remove(&fingerprint);
        }
    }

    fn note(&mut self, fingerprint: Fingerprint, verdict: QuarantineVerdict, by: EvidenceSource) {
        let Some(row) = self.rows.get(&fingerprint) else {
            return;
        };
        if self.changes.len() < CHANGES_MAX {
            self.changes.push(QuarantineChange {
                fingerprint,
                label: row.label.clone(),
                verdict,
                ends: row.held_against(),
                by,
            });
        }
    }

    /// What became of requests since this was last asked.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Requests of which other VMs have not been told since they last changed.
    pub fn take_unreported(&mut self) -> Vec<Fingerprint> {
        let mut untold = std::mem::take(&mut self.untold);
        untold.sort();
        untold.dedup();
        untold
    }

    /// Whether all VMs are told of a request, not only those that add up.
    pub fn is_fleet_wide(&self, fingerprint: Fingerprint) -> bool {
        let row = self.rows.get(&fingerprint);
        row.is_some_and(|row| row.concerns_all_since.is_some())
    }

    /// What other VMs are told of a request; `to_all` where all are.
    pub fn report(
        &self,
        now: Duration,
        fingerprint: Fingerprint,
        to_all: bool,
    ) -> Option<QuarantineReport> {
        let row = self.rows.get(&fingerprint)?;
        Some(QuarantineReport::new(now, fingerprint, row, to_all))
    }

    /// Requests that have changed of late, to be told again in case nobody who adds up has heard.
    pub fn changed_since(&self, moment: Duration) -> Vec<Fingerprint> {
        let recent = self.rows.iter().filter(|(_, row)| row.changed_at > moment);
        recent.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Requests that are held back, for VMs that know nothing yet.
    pub fn held_requests(&self) -> Vec<Fingerprint> {
        let held = self.rows.iter().filter(|(_, row)| row.held_since.is_some());
        held.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Whether a request is held back.
    pub fn is_held(&self, fingerprint: Fingerprint) -> bool {
        let row = self.rows.get(&fingerprint);
        row.is_some_and(|row| row.held_since.is_some())
    }

    /// Requests that are held back by what this VM has seen and been told, not by another's word.
    pub fn held_by_local_evidence(&self) -> Vec<Fingerprint> {
        let own = |row: &Row| row.held_since.is_some() && row.by == EvidenceSource::Own;
        let rows = self.rows.iter().filter(|(_, row)| own(row));
        rows.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Requests that are held back.
    pub fn held_count(&self) -> usize {
        let rows = self.rows.values();
        rows.filter(|row| row.held_since.is_some()).count()
    }

    /// What is suspected and held back, for operators, what has ended most first.
    pub fn list(&self, now: Duration) -> Vec<QuarantineListing> {
        let guilty = self.rows.iter().filter(|(_, row)| row.held_against() > 0);
        let listed = guilty.map(|(fingerprint, row)| QuarantineListing {
            fingerprint: fingerprint.to_string(),
            label: row.label.clone(),
            ends: row.held_against(),
            held_for_ms: row
                .held_since
                .map(|since| millis(now.saturating_sub(since))),
            back_in_ms: millis(
                row.back_at()
                    .map_or(Duration::ZERO, |at| at.saturating_sub(now)),
            ),
            by: row.by,
        });
        let mut listed: Vec<QuarantineListing> = listed.collect();
        listed.sort_by_key(|row| std::cmp::Reverse((row.held_for_ms.is_some(), row.ends)));
        listed
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
