//! Whether the store was away for so long that entries may have lapsed.

use std::time::Duration;

/// Endpoints write their entries each 1.2 s on all deployments, and an entry lapses after three such times
/// of silence: no entry lapses in an outage that is shorter than this. It is longer than what a cut watch
/// takes to be read again, 0.15 to 0.45 s.
pub const OUTAGE_MIN: Duration = Duration::from_millis(700);
/// Removals that come so soon after the last failed call of an outage count as lapses: all VMs call the store
/// about once a second, and it tells of what lapsed as soon as it answers again. Later removals are true,
/// and an endpoint that left by one is out of service two seconds on.
pub const OUTAGE_MEMORY: Duration = Duration::from_secs(1);

/// While other VMs have been served for so long, and none of the own calls was answered in that time, it is this
/// VM that is cut off. In an outage every VM's renewals fail within 2.1 s (0.9 s between two, 1.2 s for
/// an answer), and its heartbeats say so within 0.5 s.
pub const CUT_OFF_AFTER: Duration = Duration::from_secs(3);

/// Calls on the store, as they fail and are answered.
///
/// The failure: one watch is cut, or this VM alone is cut off, while the store is up; an endpoint leaves at
/// that moment, and requests go there seconds longer than it serves, since its entry seems to have lapsed.
/// So one failed call is no outage, and neither are the calls that fail while the store serves other VMs.
/// Seen before: one or two endpoints kept by each of six VMs on a day with four cuts of all watches, none since.
#[derive(Debug, Default)]
pub struct Outage {
    answered_at: Option<Duration>,
    /// When the earliest call was sent of those that failed since the last answer.
    failing_since: Option<Duration>,
    failed_at: Option<Duration>,
    /// When a call last failed that proves an outage.
    proved_at: Option<Duration>,
    /// When the first call was answered after that; `None` until one is.
    returned_at: Option<Duration>,
}

impl Outage {
    /// A call that was sent at `since` has failed. `others_served` while the store has been serving another VM
    /// for [`CUT_OFF_AFTER`].
    pub fn failed(&mut self, now: Duration, since: Duration, others_served: bool) {
        // The store was not away while it answered another call.
        let since = self.answered_at.map_or(since, |at| since.max(at));
        let earliest = self.failing_since.map_or(since, |known| known.min(since));
        self.failing_since = Some(earliest);
        self.failed_at = Some(now);
        if others_served && now >= earliest + CUT_OFF_AFTER {
            self.proved_at = None;
        } else if now >= earliest + OUTAGE_MIN {
            self.proved_at = Some(now);
            self.returned_at = None;
        }
    }

    /// A call was answered.
    pub fn answered(&mut self, now: Duration) {
        self.answered_at = Some(now);
        self.failing_since = None;
        self.returned_at.get_or_insert(now);
    }

    /// When the store came back, if a removal that is told now may be a lapse of its outage.
    pub fn returned(&self, now: Duration) -> Option<Duration> {
        self.proved_at.filter(|at| now < *at + OUTAGE_MEMORY)?;
        Some(self.returned_at.unwrap_or(now))
    }

    /// How long ago a call last failed.
    pub fn failed_for(&self, now: Duration) -> Option<Duration> {
        self.failed_at.map(|at| now.saturating_sub(at))
    }
}
