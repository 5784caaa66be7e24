//! Detects store outages that are long enough for entries to lapse.

use std::time::Duration;

use super::RETURN_GRACE;

/// No entry lapses in an outage shorter than this: endpoints write their entries every 1.2 s, and
/// an entry lapses after three such intervals without a write. It is longer than the 0.15 to 0.45 s
/// that it takes to restore a broken watch.
pub const OUTAGE_MIN: Duration = Duration::from_millis(700);
/// Removals that arrive within this time after the last failed call of an outage count as lapses.
/// All VMs call the store about once a second, and it reports lapsed entries as soon as it answers
/// again. Later removals are real, and an endpoint that leaves by one must be out of use within two
/// seconds.
pub const OUTAGE_LAPSE_WINDOW: Duration = Duration::from_secs(1);

/// If other VMs have been served for this long and no local call was answered in that time, the
/// local VM is cut off. In an outage every VM's lease renewals fail within 2.1 s (0.9 s between
/// two, 1.2 s for the response), and its heartbeats report that within 0.5 s.
pub const CUT_OFF_AFTER: Duration = Duration::from_secs(3);

/// Failed and answered store calls.
///
/// A single failed call is no outage, and neither are calls that fail while the store serves other
/// VMs. Otherwise, if one watch breaks or only this VM is cut off while the store is available, an
/// endpoint that leaves at that moment would seem to have lapsed and get requests for seconds after
/// it stopped serving: six VMs each kept one or two such endpoints on a day with four breaks of all
/// watches, none since.
#[derive(Debug, Default)]
pub struct Outage {
    answered_at: Option<Duration>,
    /// When the earliest of the calls was sent that failed since the last answer.
    failing_since: Option<Duration>,
    failed_at: Option<Duration>,
    /// When a call last failed as part of a confirmed outage.
    confirmed_at: Option<Duration>,
    /// When the first call was answered after that; `None` until then.
    returned_at: Option<Duration>,
}

impl Outage {
    /// Records that a call sent at `since` has failed. `others_served` if the store has been
    /// serving another VM for [`CUT_OFF_AFTER`].
    pub fn record_failure(&mut self, now: Duration, since: Duration, others_served: bool) {
        // The store was available while it answered another call.
        let since = self.answered_at.map_or(since, |at| since.max(at));
        let earliest = self
            .failing_since
            .map_or(since, |current| current.min(since));
        self.failing_since = Some(earliest);
        self.failed_at = Some(now);
        if others_served && now >= earliest + CUT_OFF_AFTER {
            self.confirmed_at = None;
        } else if now >= earliest + OUTAGE_MIN {
            self.confirmed_at = Some(now);
            self.returned_at = None;
        }
    }

    /// Records that a call was answered.
    pub fn record_answer(&mut self, now: Duration) {
        self.answered_at = Some(now);
        self.failing_since = None;
        self.returned_at.get_or_insert(now);
    }

    /// When the store came back, if a removal that arrives now may be a lapse of its outage.
    pub fn recovery_time(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at
            .filter(|at| now < *at + OUTAGE_LAPSE_WINDOW)?;
        Some(self.returned_at.unwrap_or(now))
    }

    /// Whether endpoints that started in an outage had registered by `at`.
    pub fn is_settled(&self, at: Duration) -> bool {
        let returned_at = match self.confirmed_at {
            Some(_) => self.returned_at,
            None => return true,
        };
        returned_at.is_some_and(|returned| at >= returned + RETURN_GRACE)
    }

    /// How long ago a call last failed.
    pub fn time_since_failure(&self, now: Duration) -> Option<Duration> {
        self.failed_at.map(|at| now.saturating_sub(at))
    }
}
