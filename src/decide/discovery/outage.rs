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

/// Failed calls on the store.
///
/// The failure: one watch is cut while the store is up, an endpoint leaves at the same moment, and requests
/// go there seconds longer than it serves: its entry seemed to have lapsed. One failed call is no outage;
/// calls that fail for as long as an entry needs to lapse are. Seen before: 6 to 12 endpoints kept so on a day
/// with four cuts of all watches, none since.
#[derive(Debug, Default)]
pub struct Outage {
    answered_at: Option<Duration>,
    /// When the earliest call was sent of those that failed since the last answer.
    failing_since: Option<Duration>,
    failed_at: Option<Duration>,
    /// When a call last failed that proves an outage.
    proved_at: Option<Duration>,
}

impl Outage {
    /// A call that was sent at `since` has failed.
    pub fn failed(&mut self, now: Duration, since: Duration) {
        // The store was not away while it answered another call.
        let since = self.answered_at.map_or(since, |at| since.max(at));
        let earliest = self.failing_since.map_or(since, |known| known.min(since));
        self.failing_since = Some(earliest);
        self.failed_at = Some(now);
        if now >= earliest + OUTAGE_MIN {
            self.proved_at = Some(now);
        }
    }

    /// A call was answered.
    pub fn answered(&mut self, now: Duration) {
        self.answered_at = Some(now);
        self.failing_since = None;
    }

    /// Whether a removal that is told now may be a lapse.
    pub fn may_lapse(&self, now: Duration) -> bool {
        self.proved_at.is_some_and(|at| now < at + OUTAGE_MEMORY)
    }

    /// How long ago a call last failed.
    pub fn failed_for(&self, now: Duration) -> Option<Duration> {
        self.failed_at.map(|at| now.saturating_sub(at))
    }
}
