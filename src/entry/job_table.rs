//! The job records held by an entry process.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::decide::jobs::JobRecord;
use crate::id::{JobId, Revision};

/// Time for which ended jobs are kept.
const ENDED_RETENTION: Duration = Duration::from_secs(600);

/// The job records that this process has received.
#[derive(Debug, Default)]
pub struct JobTable {
    pub rows: BTreeMap<JobId, (Revision, JobRecord)>,
    /// Invariant: `rows` contains all changes up to this revision.
    pub revision: Revision,
}

impl JobTable {
    /// Stores a record unless a newer one is present.
    pub fn insert_newer(&mut self, revision: Revision, record: JobRecord) {
        let present = self
            .rows
            .get(&record.id)
            .map_or(0, |(revision, _)| *revision);
        if revision > present {
            self.rows.insert(record.id.clone(), (revision, record));
        }
    }

    /// Records that have not ended.
    pub fn active(&self) -> Vec<JobRecord> {
        let rows = self
            .rows
            .values()
            .filter(|(_, record)| !record.state.ended());
        rows.map(|(_, record)| record.clone()).collect()
    }

    /// Drops jobs that ended long before the wall-clock time `now_ms`.
    pub fn forget_ended(&mut self, now_ms: u64) {
        let kept_ms = ENDED_RETENTION.as_millis() as u64;
        self.rows
            .retain(|_, (_, record)| record.ended_ms.is_none_or(|at| now_ms < at + kept_ms));
    }
}
