//! Quarantine of requests that terminate the endpoints which run them, and of prompt segments that
//! do so in any request: what makes them suspected, when they are quarantined, and for how long.
//!
//! | question | answer |
//! | --- | --- |
//! | What is suspected? | The request as a whole, by its [`Fingerprint`] of caller, method, host, path with query and body, and each segment of its prompt but the last, see [`RunIdentity`]. |
//! | What is evidence against a suspect? | An endpoint that ended while it ran the request, see [`Quarantine::run_lost`] and [`Quarantine::endpoint_ended`]. |
//! | What clears it? | A complete answer from any endpoint to any request that it is part of, see [`Quarantine::answered`]: ends before it, or within 20 s after it, don't count. |
//! | When is it quarantined? | After three failure bursts without an answer, up to five while unrelated endpoints end too, or two with five ends, and not before 0.3 s after the second one was reported to all VMs. |
//! | What if several suspects ran at the same endpoints? | Ends of a quarantined one don't count against others that ran at clearly fewer of them. Of those that are equally suspect, each gets an early trial run without the others, if any request allows it, and the usual ones with them. |
//! | Which VMs receive the evidence? | Two aggregators, which add up the reports of all VMs. From the second failure burst on they report to every VM, see [`report`]. |
//! | What of items? | They are owed, so their ends count only against what requests have proved, and otherwise in a quarantine of each VM's own items, see [`Quarantine::of_items`]. Where a suspect is quarantined, items go on getting trial runs, see [`Quarantine::item_hold`]. |
//! | For how long? | Ten minutes. Meanwhile it gets one trial run after 15 s and one after 150 s, each at one VM of the fleet, unless five ends count against it and no answer ever spoke for it. |
//!
//! Without this, a request that ends each endpoint it runs on, sent again under new ids to any VM
//! or retried as an item of a job, ends endpoints faster than they restart, and no request is
//! served any more. Requests that all differ do the same if they share a segment that ends
//! endpoints.

mod change;
mod evidence;
mod fingerprint;
pub mod report;
mod suspect;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

pub use self::change::{EvidenceSource, QuarantineChange, QuarantineListing, QuarantineVerdict};
use self::evidence::{count_bursts, EndpointEnd, RecentAnswers, UnconfirmedAnswer};
pub use self::evidence::{LostRun, RunKind, PROGRESS_TIME_MIN};
pub use self::fingerprint::{Fingerprint, InvalidFingerprint, RequestIdentity, RunIdentity};
pub use self::report::{QuarantineReport, REPORTS_PER_DATAGRAM_MAX};
use self::suspect::{cleared_until, ItemTrial, Suspect};
pub use self::suspect::{FAILURE_BURSTS_MIN, HOLD_TIME};
use crate::id::{EndpointId, Name};

/// Failure bursts of unrelated endpoints that raise the threshold by one: where endpoints end for
/// other reasons as well, a single end is weaker evidence.
const UNRELATED_BURSTS_PER_STEP: usize = 3;
/// Largest increase of the threshold above [`FAILURE_BURSTS_MIN`].
const THRESHOLD_INCREASE_MAX: usize = 2;
/// Age up to which ends of unrelated endpoints are counted.
const UNRELATED_END_WINDOW: Duration = Duration::from_secs(3);
/// Failure bursts that quarantine a suspect with at least [`FAST_ENDS_MIN`] ends: where many requests
/// contain it, all endpoints end at once, and again as soon as they are back.
const FAST_BURSTS_MIN: usize = 2;
const FAST_ENDS_MIN: usize = 5;
/// Ends by which a suspect has to exceed another one to account for the other's ends. By chance a
/// run of the other one's may be missed or be added.
const EXPLAINING_LEAD: usize = 2;
/// Time after which the next VM in order may execute a trial run.
const TRIAL_TURN: Duration = Duration::from_secs(2);
/// Answers that wait for their endpoint to outlive them.
const UNCONFIRMED_ANSWERS_MAX: usize = 256;
/// Time by which each VM's trial runs of items follow those of the VM before it in order, so that it has
/// received their outcome, and the place in the order from which on VMs no longer wait.
const ITEM_TRIAL_TURN: Duration = Duration::from_millis(100);
const ITEM_TRIAL_RANK_MAX: usize = 15;
/// Time by which an item's next trial run follows those of other items: one that never gets an answer
/// must not take all trial runs of a segment.
const SAME_ITEM_PAUSE: Duration = Duration::from_secs(1);
/// Shortest time between two reports that the same suspect was answered.
const ANSWER_REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Time that all VMs have to report an answer before a request is quarantined. Without it, when
/// many endpoints end within half a second and a common request was running at each, the aggregator
/// quarantines that request before the other VMs know that their answers are needed to clear it.
const ANSWER_REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Suspects that are tracked. The one that changed longest ago is evicted first, quarantined ones
/// last, and before them those with ends at several endpoints.
const SUSPECTS_MAX: usize = 256;
/// Changes buffered for the log; further ones are dropped.
const PENDING_CHANGES_MAX: usize = 1024;

/// Whether a run may be sent to an endpoint.
enum Admission {
    Free,
    /// As the trial run of these suspects.
    Trial(Vec<Fingerprint>),
    /// Not before this time has passed.
    Refused(Duration),
}

/// A quarantined suspect that delays a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Hold {
    pub suspect: Fingerprint,
    pub label: Name,
    pub since: Duration,
    /// When it may run again, for good or as a trial run.
    pub until: Duration,
}

/// Suspects that were running at endpoints which ended, and the evidence for and against each.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    /// Lost runs whose endpoint is not known to have ended yet.
    lost_runs: VecDeque<LostRun>,
    recent_answers: RecentAnswers,
    /// Answers that are not known yet to have been complete, the oldest first.
    unconfirmed_answers: VecDeque<UnconfirmedAnswer>,
    /// Endpoints that ended, and when that was observed.
    ended_at: HashMap<EndpointId, Duration>,
    changes: Vec<QuarantineChange>,
    /// Suspects to be reported to other VMs.
    unreported: Vec<Fingerprint>,
    /// Holds the evidence of this VM's items, of which other VMs receive nothing.
    is_of_items: bool,
}

impl Quarantine {
    /// The quarantine of one VM's items, by the endpoints that ended under them.
    ///
    /// An item that waits while others' servers end is still owed, and endpoints mostly end for other
    /// reasons. What their ends suggest must not refuse the requests that share a prompt segment with
    /// them, nor bind the next owner of a job.
    pub fn of_items() -> Quarantine {
        Quarantine {
            is_of_items: true,
            ..Quarantine::default()
        }
    }

    /// Whether nothing is suspected, so that callers need not compute fingerprints.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Records that a run has lost its connection to an endpoint that is registered and not
    /// draining.
    ///
    /// A lost connection alone is no evidence: connections are reset while their endpoint keeps
    /// serving, also all connections of a VM at once. A frozen, disconnected or powered-off
    /// endpoint, on the other hand, resets no connection.
    pub fn run_lost(&mut self, now: Duration, run: LostRun) {
        if !run.is_evidence() {
            return;
        }
        if self.ended_at.contains_key(&run.endpoint) {
            return self.count_end(now, run);
        }
        if self.lost_runs.len() >= evidence::LOST_RUNS_MAX {
            self.lost_runs.pop_front();
        }
        self.lost_runs.push_back(run);
    }

    /// Records that an endpoint has ended: its host refuses connections, or its entry is gone
    /// without a notice that it drains.
    pub fn endpoint_ended(&mut self, now: Duration, endpoint: EndpointId) {
        self.ended_at.entry(endpoint).or_insert(now);
        let lost = std::mem::take(&mut self.lost_runs).into_iter();
        let (runs_there, others): (Vec<LostRun>, _) =
            lost.partition(|run| run.endpoint == endpoint);
        self.lost_runs = others.into();
        for run in runs_there {
            self.count_end(now, run);
        }
    }

    fn count_end(&mut self, now: Duration, run: LostRun) {
        self.count_end_of(now, &run, run.identity.request, &run.label);
        for segment in run.identity.segments() {
            let label = format!("segment {segment:x} of {}", run.label);
            self.count_end_of(now, &run, Fingerprint::of_segment(*segment), &label);
        }
    }

    fn count_end_of(&mut self, now: Duration, run: &LostRun, of: Fingerprint, label: &str) {
        let end = EndpointEnd {
            endpoint: run.endpoint,
            at: run.at,
        };
        if run.kind == RunKind::Item && !self.is_of_items && !self.is_held(of) {
            if let Some(suspect) = self.suspects.get_mut(&of) {
                let known_since = now.saturating_sub(evidence::END_LIFETIME);
                suspect.ends_of_items.drop_until(known_since);
                suspect.ends_of_items.add(end);
            }
            return;
        }
        let is_of_items = self.is_of_items;
        let suspect = self.track(now, of, label);
        if is_of_items {
            // An item's latest ends decide when its next trial run is due.
            suspect
                .ends
                .drop_until(now.saturating_sub(evidence::END_LIFETIME));
        }
        if run.kind == RunKind::Item {
            suspect.item_run_ended(end);
        }
        if !suspect.add_end(end) {
            return;
        }
        suspect.mark_changed(now);
        self.record_change(of, QuarantineVerdict::Suspected, EvidenceSource::Own);
        self.evaluate(now, of);
        self.queue_report(of);
    }

    fn track(&mut self, now: Duration, fingerprint: Fingerprint, label: &str) -> &mut Suspect {
        if !self.suspects.contains_key(&fingerprint) && self.suspects.len() >= SUSPECTS_MAX {
            let order = |suspect: &Suspect| {
                let is_repeated = suspect.counted_ends().nth(1).is_some();
                (
                    suspect.held_since.is_some(),
                    is_repeated,
                    suspect.changed_at,
                )
            };
            let suspects = self.suspects.iter();
            let oldest = suspects.min_by_key(|(_, suspect)| order(suspect));
            if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.suspects.remove(&fingerprint);
            }
        }
        let cleared_at = self.recent_answers.last_answer_at(fingerprint);
        let suspect = || Suspect::new(now, label, cleared_at);
        self.suspects.entry(fingerprint).or_insert_with(suspect)
    }

    /// Quarantines a suspect once it has caused enough failure bursts.
    fn evaluate(&mut self, now: Duration, fingerprint: Fingerprint) {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return;
        };
        let fleet_wide_since = suspect.fleet_wide_since;
        // Answers elsewhere are not reported to the quarantine of items.
        let all_reported = self.is_of_items
            || fleet_wide_since.is_some_and(|since| now >= since + ANSWER_REPORT_TIMEOUT);
        if !all_reported || suspect.held_since.is_some() {
            return;
        }
        let ends = self.unexplained_ends(fingerprint, suspect);
        let bursts = count_bursts(ends.iter().copied());
        let is_steady = bursts >= FAILURE_BURSTS_MIN + self.threshold_increase(now, suspect);
        let is_fast = bursts >= FAST_BURSTS_MIN && ends.len() >= FAST_ENDS_MIN;
        if is_steady || is_fast {
            self.start_hold(now, fingerprint, now, EvidenceSource::Own);
            self.queue_report(fingerprint);
        }
    }

    /// Failure bursts that are asked for beyond [`FAILURE_BURSTS_MIN`], by the recent ends that have
    /// nothing to do with this suspect or with a quarantined one.
    fn threshold_increase(&self, now: Duration, suspect: &Suspect) -> usize {
        let is_recent = |at: &Duration| now < *at + UNRELATED_END_WINDOW;
        let bursts = count_bursts(self.unrelated_ends(suspect).filter(is_recent));
        (bursts / UNRELATED_BURSTS_PER_STEP).min(THRESHOLD_INCREASE_MAX)
    }

    /// When endpoints ended that ran neither this suspect nor a quarantined one.
    fn unrelated_ends<'a>(&'a self, suspect: &'a Suspect) -> impl Iterator<Item = Duration> + 'a {
        let held: Vec<&Suspect> = self.held().map(|(_, held)| held).collect();
        let is_unrelated = move |endpoint: EndpointId| {
            let mut related = held.iter().copied().chain([suspect]);
            !related.any(|suspect| {
                suspect.ends.contains(endpoint) || suspect.ends_of_items.contains(endpoint)
            })
        };
        let ended = self.ended_at.iter();
        let unrelated = ended.filter(move |(endpoint, _)| is_unrelated(**endpoint));
        unrelated.map(|(_, at)| *at)
    }

    /// Times of a suspect's ends for which no other quarantined suspect accounts.
    fn unexplained_ends(&self, fingerprint: Fingerprint, suspect: &Suspect) -> Vec<Duration> {
        let ends: Vec<EndpointEnd> = suspect.counted_ends().copied().collect();
        let leads = |(of, held): &(Fingerprint, &Suspect)| {
            *of != fingerprint && held.counted_ends().count() >= ends.len() + EXPLAINING_LEAD
        };
        let leading: Vec<&Suspect> = self.held().filter(leads).map(|(_, held)| held).collect();
        let is_explained =
            |end: &&EndpointEnd| leading.iter().any(|held| held.ends.contains(end.endpoint));
        let unexplained = ends.iter().filter(|end| !is_explained(end));
        unexplained.map(|end| end.at).collect()
    }

    /// Whether a suspect's runs are refused: it is quarantined, and no other quarantined suspect
    /// accounts for its ends.
    fn is_refused(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        let held = suspect.filter(|suspect| suspect.held_since.is_some());
        held.is_some_and(|suspect| {
            let unexplained = self.unexplained_ends(fingerprint, suspect);
            let is_explained = unexplained.len() < suspect.counted_ends().count();
            !is_explained || count_bursts(unexplained) >= FAST_BURSTS_MIN
        })
    }

    /// Whether another suspect accounts for the ends of this one as well as it does itself.
    fn has_rival(&self, fingerprint: Fingerprint, suspect: &Suspect) -> bool {
        let ends = suspect.counted_ends().count();
        let is_rival = |(of, other): (&Fingerprint, &Suspect)| {
            *of != fingerprint
                && other.counted_ends().count() + EXPLAINING_LEAD > ends
                && suspect.shared_ends(other) >= FAILURE_BURSTS_MIN
        };
        self.suspects.iter().any(is_rival)
    }

    /// When a suspect may run again, for good or as a trial run; `None` while it is not quarantined.
    fn next_run_at(&self, fingerprint: Fingerprint) -> Option<Duration> {
        let suspect = self.suspects.get(&fingerprint)?;
        suspect.next_run_at(self.has_rival(fingerprint, suspect))
    }

    fn next_listed_run_at(&self, now: Duration, fingerprint: Fingerprint) -> Option<Duration> {
        let suspect = self.suspects.get(&fingerprint)?;
        match self.is_of_items {
            true => suspect.next_item_run_at(self.failed_trials(now, suspect)),
            false => self.next_run_at(fingerprint),
        }
    }

    fn held(&self) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
        let suspects = self.suspects.iter();
        let held = suspects.filter(|(_, suspect)| suspect.held_since.is_some());
        held.map(|(fingerprint, suspect)| (*fingerprint, suspect))
    }

    fn start_hold(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        since: Duration,
        by: EvidenceSource,
    ) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        suspect.held_since = Some(since);
        suspect.by = by;
        suspect.mark_changed(now);
        self.record_change(fingerprint, QuarantineVerdict::Held, by);
    }

    /// Whether a run may be sent to an endpoint now; else the time until it may. `rank` is this VM's
    /// place in the order in which VMs execute the trial run of a suspect, from 0 on.
    pub fn admit(
        &mut self,
        now: Duration,
        identity: &RunIdentity,
        rank: impl Fn(Fingerprint) -> usize,
    ) -> Result<(), Duration> {
        match self.judge(now, identity, rank) {
            Admission::Free => Ok(()),
            Admission::Refused(back_in) => Err(back_in),
            Admission::Trial(fingerprints) => {
                for fingerprint in fingerprints {
                    self.start_trial(now, fingerprint);
                }
                Ok(())
            }
        }
    }

    /// Whether a run would be admitted now; else the time until it may.
    pub fn check(
        &self,
        now: Duration,
        identity: &RunIdentity,
        rank: impl Fn(Fingerprint) -> usize,
    ) -> Result<(), Duration> {
        match self.judge(now, identity, rank) {
            Admission::Free | Admission::Trial(_) => Ok(()),
            Admission::Refused(back_in) => Err(back_in),
        }
    }

    fn judge(
        &self,
        now: Duration,
        identity: &RunIdentity,
        rank: impl Fn(Fingerprint) -> usize,
    ) -> Admission {
        if self.held().next().is_none() {
            return Admission::Free;
        }
        let fingerprints = identity.fingerprints();
        let refused: Vec<Fingerprint> = fingerprints.filter(|one| self.is_refused(*one)).collect();
        // If a trial run with two suspects fails, it tells nothing about either. So it comes later
        // than their own early ones, but it comes: nobody else may send one without the other.
        let next_run_at = |one: &Fingerprint| match refused.len() {
            1 => self.next_run_at(*one),
            _ => self.suspects.get(one)?.next_run_at(false),
        };
        let Some(next_run_at) = refused.iter().filter_map(next_run_at).max() else {
            return Admission::Free;
        };
        let wait = next_run_at.saturating_sub(now);
        let expires_at = refused.iter().map(|one| self.suspects[one].expires_at());
        let is_trial_left = expires_at.max().is_some_and(|at| next_run_at < at);
        if now < next_run_at || !is_trial_left {
            return Admission::Refused(wait);
        }
        let first_rank = refused.iter().map(|one| rank(*one)).min();
        let turn = first_rank.unwrap_or_default().min(u32::MAX as usize) as u32;
        match now >= next_run_at + TRIAL_TURN * turn {
            true => Admission::Trial(refused),
            false => Admission::Refused(wait),
        }
    }

    /// The quarantined suspect for which an item has to wait longest; `None` if it may run now, as the
    /// trial run of all its quarantined suspects. `rank` is this VM's place in the order in which VMs
    /// send trial runs.
    ///
    /// All suspects are tried together: nobody else may send a run with only one of them.
    pub fn item_hold(
        &self,
        now: Duration,
        identity: &RunIdentity,
        rank: impl Fn(Fingerprint) -> usize,
    ) -> Option<Hold> {
        let hold = |suspect: Fingerprint| {
            let state = self.suspects.get(&suspect)?;
            let due_at = state.next_item_run_at(self.failed_trials(now, state))?;
            let turn = rank(suspect).min(ITEM_TRIAL_RANK_MAX) as u32;
            let tried_before = |trial: ItemTrial| trial.request == identity.request;
            let pause = match state.item_trial.is_some_and(tried_before) {
                true => SAME_ITEM_PAUSE,
                false => Duration::ZERO,
            };
            Some(Hold {
                suspect,
                label: state.label.clone(),
                since: state.held_since?,
                until: due_at + ITEM_TRIAL_TURN * turn + pause,
            })
        };
        let refused = identity.fingerprints().filter(|one| self.is_refused(*one));
        let holds = refused.filter_map(hold).filter(|hold| now < hold.until);
        holds.max_by_key(|hold| hold.until)
    }

    /// Records that an item is sent, as the trial run of its quarantined suspects.
    pub fn start_item_trial(&mut self, now: Duration, identity: &RunIdentity) {
        for fingerprint in identity.fingerprints() {
            if !self.is_refused(fingerprint) {
                continue;
            }
            if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
                suspect.item_trial = Some(ItemTrial {
                    at: now,
                    request: identity.request,
                    has_failed: false,
                });
            }
            let verdict = QuarantineVerdict::OnTrial;
            self.record_change(fingerprint, verdict, EvidenceSource::Time);
        }
    }

    /// Records that an item's trial run was not sent, so that it may be sent at once.
    pub fn withdraw_item_trial(&mut self, identity: &RunIdentity) {
        for fingerprint in identity.fingerprints() {
            if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
                let is_other = |trial: &ItemTrial| trial.request != identity.request;
                suspect.item_trial = suspect.item_trial.filter(is_other);
            }
        }
    }

    /// Records that an item made progress for [`PROGRESS_TIME_MIN`], so that none of its suspects ended
    /// the endpoints where it ran before. Later ends count.
    pub fn item_progressed(&mut self, now: Duration, identity: &RunIdentity) {
        for fingerprint in identity.fingerprints() {
            let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
                continue;
            };
            let had_evidence = suspect.failure_bursts() > 0;
            suspect.ends.drop_until(now);
            suspect.release();
            if had_evidence {
                let verdict = QuarantineVerdict::Cleared;
                self.record_change(fingerprint, verdict, EvidenceSource::Own);
            }
        }
    }

    /// Recent trial runs by items that ended their endpoints. Those beside which other endpoints ended
    /// too don't count: what ended these may have ended the trial run.
    fn failed_trials(&self, now: Duration, suspect: &Suspect) -> usize {
        let Some(held_since) = suspect.held_since else {
            return 0;
        };
        // What else ended is not known for longer.
        let known_since = now.saturating_sub(evidence::END_LIFETIME - UNRELATED_END_WINDOW);
        let ended = self.ended_at.iter();
        let others = ended.filter(|(endpoint, _)| !suspect.has_ended(**endpoint));
        let others: Vec<Duration> = others.map(|(_, at)| *at).collect();
        let is_alone = |end: &&EndpointEnd| {
            // An end is learned of late where no run was lost with it.
            let is_beside = |at: &Duration| {
                *at + UNRELATED_END_WINDOW > end.at && *at < end.at + evidence::LOST_RUN_LIFETIME
            };
            end.at > known_since && !others.iter().any(is_beside)
        };
        let own = suspect.failed_item_trials.iter().filter(is_alone).count();
        match self.is_of_items {
            true => own,
            // Other VMs try their items too, and report the ends alone.
            false => {
                let ends = suspect.ends.since(held_since).filter(is_alone);
                own.max(count_bursts(ends.map(|end| end.at)))
            }
        }
    }

    fn start_trial(&mut self, now: Duration, fingerprint: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.trials += 1;
            suspect.mark_changed(now);
        }
        self.record_change(
            fingerprint,
            QuarantineVerdict::OnTrial,
            EvidenceSource::Time,
        );
        self.queue_report(fingerprint);
    }

    /// Records that a request got a complete answer, which a request that ends its endpoints never
    /// gets. `reports` is true if other VMs are to be told: all VMs answer a common request at the
    /// same moment, and reports from a few of them suffice.
    pub fn answered(&mut self, now: Duration, identity: &RunIdentity, reports: bool) {
        self.recent_answers.record(now, identity);
        if self.suspects.is_empty() {
            return;
        }
        for fingerprint in identity.fingerprints() {
            self.clear_answered(now, fingerprint, reports);
        }
    }

    fn clear_answered(&mut self, now: Duration, fingerprint: Fingerprint, reports: bool) {
        let recently_reported = |suspect: &Suspect| {
            suspect
                .cleared_at
                .is_some_and(|at| now < at + ANSWER_REPORT_INTERVAL)
        };
        let due = self
            .suspects
            .get(&fingerprint)
            .is_some_and(|suspect| !recently_reported(suspect));
        if due {
            self.clear(now, fingerprint, EvidenceSource::Own);
        }
        if due && reports {
            self.queue_report(fingerprint);
        }
    }

    /// Records an answer whose end was only the end of its connection. The endpoint may have ended
    /// just then, so the answer counts once the endpoint is known to have outlived it.
    pub fn answered_until_close(
        &mut self,
        now: Duration,
        identity: RunIdentity,
        endpoint: EndpointId,
    ) {
        if self.unconfirmed_answers.len() >= UNCONFIRMED_ANSWERS_MAX {
            self.unconfirmed_answers.pop_front();
        }
        self.unconfirmed_answers.push_back(UnconfirmedAnswer {
            identity,
            endpoint,
            at: now,
        });
    }

    fn confirm_answers(&mut self, now: Duration) {
        let is_due = |answer: &UnconfirmedAnswer| now >= answer.at + evidence::LOST_RUN_LIFETIME;
        while self.unconfirmed_answers.front().is_some_and(is_due) {
            let Some(answer) = self.unconfirmed_answers.pop_front() else {
                return;
            };
            if !self.ended_at.contains_key(&answer.endpoint) {
                self.answered(answer.at, &answer.identity, true);
            }
        }
    }

    /// Releases a request on an operator's order; false if there was no evidence against it.
    pub fn release(&mut self, now: Duration, fingerprint: Fingerprint) -> bool {
        let cleared = self.clear(now, fingerprint, EvidenceSource::Operator);
        if cleared {
            self.queue_report(fingerprint);
        }
        cleared
    }

    /// Clears the evidence against a request; false if there was none.
    fn clear(&mut self, now: Duration, fingerprint: Fingerprint, by: EvidenceSource) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        let had_evidence = suspect.failure_bursts() > 0;
        suspect.clear(now, now);
        if had_evidence {
            self.record_change(fingerprint, QuarantineVerdict::Cleared, by);
        }
        had_evidence
    }

    /// Applies a report from another VM or from the record in the metadata store; true if it
    /// contained anything new.
    pub fn apply_report(
        &mut self,
        now: Duration,
        report: &QuarantineReport,
        by: EvidenceSource,
    ) -> bool {
        let fingerprint = report.fingerprint;
        // A VM that knows only of an answer reports no ends.
        let is_tracked = self.suspects.contains_key(&fingerprint);
        if !is_tracked && report.ends(now).all(|end| now >= end.at + HOLD_TIME) {
            return false;
        }
        let suspect = self.track(now, fingerprint, &report.label);
        let mut is_new = false;
        for end in report.ends(now) {
            is_new |= suspect.add_end(end);
        }
        let trials = usize::from(report.trials);
        is_new |= trials > suspect.trials;
        suspect.trials = suspect.trials.max(trials);
        if is_new {
            suspect.mark_changed(now);
        }
        for end in report.ends(now) {
            self.ended_at.entry(end.endpoint).or_insert(end.at);
        }
        is_new |= self.apply_reported_answer(now, report, by);
        is_new |= self.apply_reported_hold(now, report, by);
        self.evaluate(now, fingerprint);
        is_new
    }

    /// Applies a report that a request was answered completely at another VM.
    fn apply_reported_answer(
        &mut self,
        now: Duration,
        report: &QuarantineReport,
        by: EvidenceSource,
    ) -> bool {
        let (Some(at), Some(suspect)) = (
            report.cleared_at(now),
            self.suspects.get_mut(&report.fingerprint),
        ) else {
            return false;
        };
        let known = suspect.cleared_at;
        if known.is_some_and(|known| at <= known) {
            return false;
        }
        let had_evidence = suspect.failure_bursts() > 0;
        suspect.clear(now, at);
        if had_evidence && suspect.failure_bursts() == 0 {
            self.record_change(report.fingerprint, QuarantineVerdict::Cleared, by);
        }
        // The latest answer counts, in whichever order the reports arrive; only a much later one is
        // forwarded.
        known.is_none_or(|known| at > known + ANSWER_REPORT_INTERVAL)
    }

    /// Applies a report that another VM has quarantined a request, unless it has been cleared
    /// since.
    fn apply_reported_hold(
        &mut self,
        now: Duration,
        report: &QuarantineReport,
        by: EvidenceSource,
    ) -> bool {
        let (Some(since), Some(suspect)) = (
            report.held_since(now),
            self.suspects.get(&report.fingerprint),
        ) else {
            return false;
        };
        if suspect.held_since.is_some() || since <= suspect.cleared_until() {
            return false;
        }
        self.start_hold(now, report.fingerprint, since, by);
        true
    }

    /// Marks a request for reporting although its state came from another VM.
    pub fn forward(&mut self, fingerprint: Fingerprint) {
        self.queue_report(fingerprint);
    }

    /// Removes expired runs, ends and requests, and re-evaluates those with enough evidence.
    pub fn tick(&mut self, now: Duration) {
        self.confirm_answers(now);
        self.lost_runs
            .retain(|run| now < run.at + evidence::LOST_RUN_LIFETIME);
        self.ended_at
            .retain(|_, at| now < *at + evidence::END_LIFETIME);
        let expired = self
            .suspects
            .iter()
            .filter(|(_, suspect)| now >= suspect.expires_at());
        let expired: Vec<Fingerprint> = expired.map(|(fingerprint, _)| *fingerprint).collect();
        let candidates = |suspect: &Suspect| {
            suspect.held_since.is_none() && suspect.failure_bursts() >= FAST_BURSTS_MIN
        };
        let candidates = self
            .suspects
            .iter()
            .filter(|(_, suspect)| candidates(suspect));
        let candidates: Vec<Fingerprint> =
            candidates.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in candidates {
            self.evaluate(now, fingerprint);
        }
        for fingerprint in expired {
            let held = self.suspects[&fingerprint].held_since.is_some();
            if held {
                self.record_change(
                    fingerprint,
                    QuarantineVerdict::Forgotten,
                    EvidenceSource::Time,
                );
            }
            self.suspects.remove(&fingerprint);
        }
    }

    fn queue_report(&mut self, fingerprint: Fingerprint) {
        if !self.is_of_items {
            self.unreported.push(fingerprint);
        }
    }

    fn record_change(
        &mut self,
        fingerprint: Fingerprint,
        verdict: QuarantineVerdict,
        by: EvidenceSource,
    ) {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return;
        };
        if self.changes.len() < PENDING_CHANGES_MAX {
            self.changes.push(QuarantineChange {
                fingerprint,
                label: suspect.label.clone(),
                verdict,
                ends: suspect.failure_bursts(),
                by,
            });
        }
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the requests that have changed since they were last reported to other VMs.
    pub fn take_unreported(&mut self) -> Vec<Fingerprint> {
        let mut unreported = std::mem::take(&mut self.unreported);
        unreported.sort();
        unreported.dedup();
        unreported
    }

    /// Whether a request is reported to all VMs, not only to the aggregators.
    pub fn is_fleet_wide(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.fleet_wide_since.is_some())
    }

    /// Builds the report on a request for other VMs; `to_all` if all VMs receive it.
    pub fn report(
        &self,
        now: Duration,
        fingerprint: Fingerprint,
        to_all: bool,
    ) -> Option<QuarantineReport> {
        let suspect = self.suspects.get(&fingerprint)?;
        Some(QuarantineReport::new(now, fingerprint, suspect, to_all))
    }

    /// Requests that changed after `moment`. They are reported again in case the aggregators missed
    /// the first report.
    pub fn changed_since(&self, moment: Duration) -> Vec<Fingerprint> {
        let recent = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.changed_at > moment);
        recent.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Suspects whose runs are refused, those with most ends first.
    pub fn refused(&self) -> Vec<Fingerprint> {
        let mut refused: Vec<(usize, Fingerprint)> = self
            .held()
            .filter(|(fingerprint, _)| self.is_refused(*fingerprint))
            .map(|(fingerprint, suspect)| (suspect.counted_ends().count(), fingerprint))
            .collect();
        refused.sort_by_key(|(ends, _)| std::cmp::Reverse(*ends));
        refused.into_iter().map(|(_, one)| one).collect()
    }

    /// Whether a suspect is quarantined.
    pub fn is_held(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.held_since.is_some())
    }

    /// Whether this VM knows of an answer that clears ends which count by the report.
    pub fn knows_later_answer(&self, now: Duration, report: &QuarantineReport) -> bool {
        let Some(suspect) = self.suspects.get(&report.fingerprint) else {
            return false;
        };
        let cleared_by_report = cleared_until(report.cleared_at(now));
        let cleared_here = suspect.cleared_until();
        let mut ends = report.ends(now);
        ends.any(|end| end.at > cleared_by_report && end.at <= cleared_here)
    }

    /// Requests that this VM itself has quarantined, from its own observations and reported
    /// evidence, rather than adopted from another VM.
    pub fn held_by_local_evidence(&self) -> Vec<Fingerprint> {
        let local = self
            .held()
            .filter(|(_, suspect)| suspect.by == EvidenceSource::Own);
        let local = local.map(|(fingerprint, _)| fingerprint);
        local.filter(|one| self.is_refused(*one)).collect()
    }

    /// Suspects for operators: quarantined ones first, then by number of ends.
    pub fn list(&self, now: Duration) -> Vec<QuarantineListing> {
        let suspected = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.failure_bursts() > 0);
        let of = match self.is_of_items {
            true => RunKind::Item,
            false => RunKind::Request,
        };
        let listed = suspected.map(|(fingerprint, suspect)| QuarantineListing {
            of,
            fingerprint: fingerprint.to_string(),
            label: suspect.label.clone(),
            ends: suspect.counted_ends().count(),
            held_for_ms: suspect
                .held_since
                .filter(|_| self.is_refused(*fingerprint))
                .map(|since| millis(now.saturating_sub(since))),
            back_in_ms: millis(
                self.next_listed_run_at(now, *fingerprint)
                    .map_or(Duration::ZERO, |at| at.saturating_sub(now)),
            ),
            by: suspect.by,
        });
        let mut listed: Vec<QuarantineListing> = listed.collect();
        listed.sort_by_key(|listing| {
            std::cmp::Reverse((listing.held_for_ms.is_some(), listing.ends))
        });
        listed
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
