//! Software versions that are known to be on record in the metadata store.
//!
//! After a restart of all VMs, the records alone tell which versions streams can have been begun by. A
//! version that began a stream before it was on record would be taken for another one then. So no
//! stream begins at a version that isn't known to be on record.

use std::collections::HashMap;
use std::time::Duration;

use super::stream_origins::StreamOrigin;

/// Time for which a version counts as recorded after it was found on record. Its record outlasts its
/// last endpoint by more.
const KNOWN_FOR: Duration = Duration::from_secs(120);
/// Age from which the records are read again, so that requests don't have to wait for it.
const CHECKED_AGAIN_AFTER: Duration = Duration::from_secs(60);
/// Time after a failure to record a version in which no stream waits for another attempt.
const FAILED_FOR: Duration = Duration::from_millis(300);

/// The versions that this VM knows to be on record.
#[derive(Debug, Default)]
pub struct RecordedVersions {
    found_at: HashMap<StreamOrigin, Duration>,
    failed_at: Option<Duration>,
}

impl RecordedVersions {
    /// Notes that a version is on record.
    pub fn found(&mut self, now: Duration, origin: StreamOrigin) {
        self.found_at.insert(origin, now);
    }

    /// Notes that a version could not be recorded.
    pub fn failed(&mut self, now: Duration) {
        self.failed_at = Some(now);
    }

    /// Whether the last attempt to record a version has failed just now.
    pub fn has_just_failed(&self, now: Duration) -> bool {
        self.failed_at.is_some_and(|at| now < at + FAILED_FOR)
    }

    /// Whether a version is known to be on record.
    pub fn is_recorded(&self, now: Duration, origin: &StreamOrigin) -> bool {
        let found_at = self.found_at.get(origin);
        found_at.is_some_and(|at| now < *at + KNOWN_FOR)
    }

    /// Whether one of these versions is to be looked up, before a request needs it.
    pub fn is_check_due<'a>(
        &self,
        now: Duration,
        present: impl IntoIterator<Item = &'a StreamOrigin>,
    ) -> bool {
        let is_due = |origin: &StreamOrigin| {
            let found_at = self.found_at.get(origin);
            found_at.is_none_or(|at| now >= *at + CHECKED_AGAIN_AFTER)
        };
        present.into_iter().any(is_due)
    }

    /// Drops versions that were not found for long.
    pub fn tick(&mut self, now: Duration) {
        self.found_at.retain(|_, at| now < *at + KNOWN_FOR);
    }
}
