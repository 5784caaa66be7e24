//! Counts of recent outcomes at one endpoint.

use std::collections::VecDeque;
use std::time::Duration;

/// Time for which a failure counts. Long enough that the failures of several VMs, each up to 0.8 s
/// late, are counted together.
pub const FAILURE_WINDOW: Duration = Duration::from_secs(2);
/// Time for which a success counts: shorter, so that an endpoint that has just begun to fail isn't
/// protected by what it did before.
pub const SUCCESS_WINDOW: Duration = Duration::from_secs(1);
/// Resolution of the windows.
const BUCKET: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    since: Duration,
    failures: u16,
    /// Failures of requests that then failed elsewhere too. They accuse nobody.
    withdrawn: u16,
    successes: u16,
}

/// Outcomes by time, oldest first.
#[derive(Debug, Clone, Default)]
pub struct OutcomeWindow {
    buckets: VecDeque<Bucket>,
}

impl OutcomeWindow {
    /// Counts a failure.
    pub fn add_failure(&mut self, now: Duration) {
        let bucket = self.current(now);
        bucket.failures = bucket.failures.saturating_add(1);
    }

    /// Counts a success.
    pub fn add_success(&mut self, now: Duration) {
        let bucket = self.current(now);
        bucket.successes = bucket.successes.saturating_add(1);
    }

    /// Counts a failure of a request that has failed elsewhere before.
    pub fn add_withdrawn(&mut self, now: Duration) {
        let bucket = self.current(now);
        bucket.withdrawn = bucket.withdrawn.saturating_add(1);
    }

    /// Failures within the window that accuse nobody.
    pub fn withdrawn(&self, now: Duration) -> u16 {
        let buckets = self.buckets.iter();
        let recent = buckets.filter(|bucket| now < bucket.since + FAILURE_WINDOW);
        recent.map(|bucket| bucket.withdrawn).sum()
    }

    /// Takes back the latest failure.
    pub fn withdraw_failure(&mut self) {
        let mut buckets = self.buckets.iter_mut().rev();
        if let Some(bucket) = buckets.find(|bucket| bucket.failures > 0) {
            bucket.failures -= 1;
            bucket.withdrawn += 1;
        }
    }

    /// Takes back the latest success, of an attempt that failed after its first event.
    pub fn withdraw_success(&mut self) {
        let mut buckets = self.buckets.iter_mut().rev();
        if let Some(bucket) = buckets.find(|bucket| bucket.successes > 0) {
            bucket.successes -= 1;
        }
    }

    /// Failures and successes within their windows.
    pub fn counts(&self, now: Duration) -> (u16, u16) {
        let (mut failures, mut successes) = (0u16, 0u16);
        for bucket in &self.buckets {
            if now < bucket.since + FAILURE_WINDOW {
                failures = failures.saturating_add(bucket.failures);
            }
            if now < bucket.since + SUCCESS_WINDOW {
                successes = successes.saturating_add(bucket.successes);
            }
        }
        (failures, successes)
    }

    /// Time since the latest failure.
    pub fn failure_age(&self, now: Duration) -> Option<Duration> {
        let mut buckets = self.buckets.iter().rev();
        let latest = buckets.find(|bucket| bucket.failures > 0)?;
        Some(now.saturating_sub(latest.since))
    }

    /// Drops what no longer counts; true if nothing is left.
    pub fn expire(&mut self, now: Duration) -> bool {
        while let Some(bucket) = self.buckets.front() {
            if now < bucket.since + FAILURE_WINDOW {
                break;
            }
            self.buckets.pop_front();
        }
        self.buckets.is_empty()
    }

    fn current(&mut self, now: Duration) -> &mut Bucket {
        self.expire(now);
        let is_new = self
            .buckets
            .back()
            .is_none_or(|bucket| now >= bucket.since + BUCKET);
        if is_new {
            self.buckets.push_back(Bucket {
                since: now,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
