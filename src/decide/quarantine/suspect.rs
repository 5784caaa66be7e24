//! The state of one suspect.

use std::time::Duration;

use super::evidence::{count_bursts, EndpointEnd, EndpointEnds};
use super::{EvidenceSource, Fingerprint};
use crate::id::{EndpointId, Name};

/// Failure bursts that quarantine a suspect. A first end is weak evidence, since up to all slots of
/// the endpoint are busy; two ends also hit requests that are retried while another request is the
/// cause; by the third, only one request was running at all of them.
pub const FAILURE_BURSTS_MIN: usize = 3;
/// How long a suspect is quarantined, or remembered after its last end: longer than a person keeps
/// retrying by hand.
pub const HOLD_TIME: Duration = Duration::from_secs(600);
/// Times after the start of the quarantine at which a suspect gets a trial run. An innocent one is
/// thus not refused for long, and one that still ends endpoints costs two more.
const TRIALS_AFTER: [Duration; 2] = [Duration::from_secs(15), Duration::from_secs(150)];
/// The same while other suspects account for its ends as well as it does: one of them is innocent,
/// and a trial run without the others tells which.
const TRIALS_BESIDE_OTHERS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(4)];
/// Time from a suspect's last end or trial run until an item may run as its trial run, by the number
/// of trial runs that ended their endpoints. Items are owed, so the trials never cease.
const ITEM_TRIAL_INTERVALS: [Duration; 3] = [
    Duration::from_secs(3),
    Duration::from_secs(6),
    Duration::from_secs(12),
];
/// Ends from which on a suspect that was never answered gets no more trial runs of its own.
const TRIAL_ENDS_MAX: usize = 5;
/// For how long after an answer ends don't count: a request that was answered a moment ago does not
/// end its endpoints now, even if all of them have ended meanwhile and none is left to answer.
/// Later ends count, since the endpoints' software may have been replaced.
const ANSWER_VALID_FOR: Duration = Duration::from_secs(20);
/// Failure bursts from which on all VMs receive reports, so that any VM that answers the request
/// can clear it.
const FLEET_WIDE_BURSTS_MIN: usize = 2;
/// Longest label of a suspect; longer ones are truncated.
const LABEL_BYTES_MAX: usize = 64;

/// An item's trial run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ItemTrial {
    pub at: Duration,
    /// The item.
    pub request: Fingerprint,
    /// Its endpoint has ended.
    pub has_failed: bool,
}

/// A request, or a segment of prompts, that was running at endpoints which ended.
#[derive(Debug, Clone)]
pub struct Suspect {
    /// Description for operators.
    pub label: Name,
    pub ends: EndpointEnds,
    /// Endpoints that ended under items with it, which count neither against it nor as ends for other
    /// reasons.
    pub ends_of_items: EndpointEnds,
    /// When it was last answered completely or released.
    pub cleared_at: Option<Duration>,
    pub held_since: Option<Duration>,
    /// Since when it is reported to all VMs.
    pub fleet_wide_since: Option<Duration>,
    /// Where the evidence came from on which it was quarantined.
    pub by: EvidenceSource,
    pub trials: usize,
    /// The last item that was sent from here as its trial run.
    pub item_trial: Option<ItemTrial>,
    /// Endpoints that ended under such trial runs, the latest ones.
    pub failed_item_trials: Vec<EndpointEnd>,
    pub changed_at: Duration,
}

impl Suspect {
    /// Creates a suspect without evidence against it; `cleared_at` is the time of its last answer.
    pub fn new(now: Duration, label: &str, cleared_at: Option<Duration>) -> Suspect {
        Suspect {
            label: truncated(label),
            ends: EndpointEnds::default(),
            ends_of_items: EndpointEnds::default(),
            cleared_at,
            held_since: None,
            fleet_wide_since: None,
            by: EvidenceSource::Own,
            trials: 0,
            item_trial: None,
            failed_item_trials: Vec::new(),
            changed_at: now,
        }
    }

    /// When it may run again, for good or as a trial run; `None` while it is not quarantined.
    pub fn next_run_at(&self, has_rival: bool) -> Option<Duration> {
        let since = self.held_since?;
        let is_uncertain =
            self.cleared_at.is_some() || self.counted_ends().count() < TRIAL_ENDS_MAX;
        let trial = match has_rival {
            true => TRIALS_BESIDE_OTHERS.get(self.trials),
            false => TRIALS_AFTER.get(self.trials).filter(|_| is_uncertain),
        };
        Some(trial.map_or(self.expires_at(), |after| since + *after))
    }

    /// When an item may run as its trial run, after `failed_trials` that ended their endpoints; `None`
    /// while it is not quarantined.
    pub fn next_item_run_at(&self, failed_trials: usize) -> Option<Duration> {
        let held_since = self.held_since?;
        let last_trial_at = self.item_trial.map_or(Duration::ZERO, |trial| trial.at);
        let last = held_since.max(self.ends.last_at()).max(last_trial_at);
        let interval = failed_trials.min(ITEM_TRIAL_INTERVALS.len() - 1);
        Some(last + ITEM_TRIAL_INTERVALS[interval])
    }

    /// When it is forgotten. Counted from the last end or answer, so that all VMs forget it at the
    /// same time and none learns it again from another.
    pub fn expires_at(&self) -> Duration {
        self.ends.last_at().max(self.cleared_at.unwrap_or_default()) + HOLD_TIME
    }

    /// Ends since it was last cleared.
    pub fn counted_ends(&self) -> impl Iterator<Item = &EndpointEnd> {
        self.ends.since(self.cleared_until())
    }

    /// Failure bursts since it was last cleared.
    pub fn failure_bursts(&self) -> usize {
        count_bursts(self.counted_ends().map(|end| end.at))
    }

    /// Number of its ends that are ends of `other` too.
    pub fn shared_ends(&self, other: &Suspect) -> usize {
        let ends = self.counted_ends();
        ends.filter(|end| other.ends.contains(end.endpoint)).count()
    }

    /// Ends up to this moment don't count.
    pub fn cleared_until(&self) -> Duration {
        cleared_until(self.cleared_at)
    }

    /// Adds an end if it counts; false if it doesn't or is known already.
    pub fn add_end(&mut self, end: EndpointEnd) -> bool {
        let cleared_until = self.cleared_until();
        self.ends.drop_until(cleared_until);
        end.at > cleared_until && self.ends.add(end)
    }

    /// Records that its state has changed.
    pub fn mark_changed(&mut self, now: Duration) {
        self.changed_at = now;
        if self.held_since.is_some() || self.failure_bursts() >= FLEET_WIDE_BURSTS_MIN {
            self.fleet_wide_since.get_or_insert(now);
        }
    }

    /// Clears the ends up to `at`, the time of an answer or a release.
    pub fn clear(&mut self, now: Duration, at: Duration) {
        self.cleared_at = Some(at);
        self.changed_at = now;
        // The report of an answer may arrive after the ends that it clears were counted.
        let held_before = self
            .held_since
            .is_some_and(|since| since <= self.cleared_until());
        if held_before || self.failure_bursts() < FAILURE_BURSTS_MIN {
            self.release();
        }
    }

    /// Ends its quarantine.
    pub fn release(&mut self) {
        self.held_since = None;
        self.trials = 0;
        self.item_trial = None;
        self.failed_item_trials.clear();
    }

    /// Records that an endpoint ended under an item. The first one after the start of a trial run is
    /// taken for its end; runs that began before the quarantine may end meanwhile.
    pub fn item_run_ended(&mut self, end: EndpointEnd) {
        let Some(trial) = self.item_trial.as_mut().filter(|trial| !trial.has_failed) else {
            return;
        };
        trial.has_failed = true;
        if self.failed_item_trials.len() >= ITEM_TRIAL_INTERVALS.len() {
            self.failed_item_trials.remove(0);
        }
        self.failed_item_trials.push(end);
    }

    /// Whether an endpoint ended under one of its runs.
    pub fn has_ended(&self, endpoint: EndpointId) -> bool {
        let mut trials = self.failed_item_trials.iter();
        self.ends.contains(endpoint) || trials.any(|end| end.endpoint == endpoint)
    }
}

/// The moment up to which ends don't count after an answer at this time.
pub fn cleared_until(answered_at: Option<Duration>) -> Duration {
    answered_at.map_or(Duration::ZERO, |at| at + ANSWER_VALID_FOR)
}

fn truncated(label: &str) -> Name {
    let ends = label.char_indices().map(|(at, char)| at + char.len_utf8());
    let end = ends.take_while(|end| *end <= LABEL_BYTES_MAX).last();
    label[..end.unwrap_or(0)].into()
}
