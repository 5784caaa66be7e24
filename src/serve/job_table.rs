//! The batch jobs that a process has, as last received from the store or from another VM.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::part_cache::PartCache;
use crate::decide::backlog::{self, RouteKey};
use crate::decide::small_jobs::{record_key, SmallJobRecord};
use crate::id::{JobId, Name, OwnerId, Revision};

/// One job as last received.
pub struct Job {
    pub record: Rc<SmallJobRecord>,
    /// Key of the job's route and workspace.
    route: RouteKey,
    /// Tokens of its open items. Invariant: computed anew with each record.
    open_tokens: u64,
    pub revision: Revision,
    /// Revision at which it last changed its owner or ended; listings in between matter to its
    /// owner only.
    pub ownership_revision: Revision,
    /// When this process first received it, by the monotonic clock: jumps of the time of day expire
    /// no job.
    pub first_seen: Duration,
    /// When it was last received, from the store or from another VM.
    pub seen_at: Duration,
    /// When the store was asked that last confirmed the record; `None` while only other VMs or a read
    /// that may be stale have told it.
    pub confirmed_at: Option<Duration>,
    /// Revisions that writes of this process replace whose outcome it doesn't know. Invariant: none
    /// is older than `revision`, since a write takes effect only on the revision that it replaces.
    unsettled_writes: Vec<Revision>,
    /// Notified when the record changes; callers that read results wait for it.
    pub changed: Rc<Notify>,
}

impl Job {
    /// Whether this process knows the outcome of all its writes of the record.
    pub fn is_settled(&self) -> bool {
        self.unsettled_writes.is_empty()
    }
}

/// All jobs that this process has.
pub struct Jobs {
    pub rows: HashMap<JobId, Job>,
    pub parts: PartCache,
    /// Of the newest record here, including records written by this process.
    pub revision: Revision,
    /// Revision up to which the watch has delivered all changes. Invariant: every record that stood
    /// at this revision is in the table as it stood, or newer.
    pub watched_revision: Revision,
    /// Callers that wait for results.
    pub readers: usize,
    /// Notified on every change; the VMs that follow this one wait for it.
    pub changed: Rc<Notify>,
}

impl Jobs {
    /// No jobs; their parts are cached up to `cache_bytes`.
    pub fn new(cache_bytes: usize) -> Jobs {
        Jobs {
            rows: HashMap::new(),
            parts: PartCache::new(cache_bytes),
            revision: 0,
            watched_revision: 0,
            readers: 0,
            changed: Rc::default(),
        }
    }

    /// Takes a record unless a newer one is here. `confirmed_at` is when the store was asked for it.
    /// Returns the key of its route and the number of tokens that finished with this record.
    pub fn apply_record(
        &mut self,
        now: Duration,
        confirmed_at: Option<Duration>,
        record: SmallJobRecord,
        revision: Revision,
    ) -> Option<(RouteKey, u64)> {
        self.revision = self.revision.max(revision);
        let id = record.id.clone();
        let route = backlog::route_key(&record.route, record.workspace.as_deref());
        let open_tokens = record.open_tokens();
        match self.rows.get_mut(&id) {
            Some(job) if revision < job.revision => None,
            Some(job) => {
                let finished = job.open_tokens.saturating_sub(open_tokens);
                if has_new_owner_or_end(&job.record, &record) {
                    job.ownership_revision = revision;
                }
                job.open_tokens = open_tokens;
                job.record = Rc::new(record);
                job.revision = revision;
                job.unsettled_writes
                    .retain(|replaced| *replaced >= revision);
                job.seen_at = now;
                job.confirmed_at = job.confirmed_at.max(confirmed_at);
                job.changed.notify_waiters();
                Some((route, finished))
            }
            None => {
                let job = Job {
                    record: Rc::new(record),
                    route,
                    open_tokens,
                    revision,
                    ownership_revision: revision,
                    first_seen: now,
                    seen_at: now,
                    confirmed_at,
                    unsettled_writes: Vec::new(),
                    changed: Rc::default(),
                };
                self.rows.insert(id, job);
                None
            }
        }
    }

    /// Notes a write that replaces a job's record at `replaced` and may take effect from now on.
    pub fn note_write(&mut self, job: &JobId, replaced: Revision) {
        let job = self.rows.get_mut(job);
        if let Some(job) = job.filter(|job| job.revision <= replaced) {
            job.unsettled_writes.push(replaced);
        }
    }

    /// Notes that a write which was to replace the record at `replaced` can't take effect any more.
    pub fn note_write_refused(&mut self, job: &JobId, replaced: Revision) {
        let Some(job) = self.rows.get_mut(job) else {
            return;
        };
        let mut writes = job.unsettled_writes.iter();
        if let Some(at) = writes.position(|unsettled| *unsettled == replaced) {
            job.unsettled_writes.swap_remove(at);
            job.changed.notify_waiters();
        }
    }

    /// Keys under which tokens of a route's jobs are counted, one for each workspace with jobs
    /// there.
    pub fn route_keys(&self, route: &str) -> HashSet<RouteKey> {
        let jobs = self.rows.values();
        let jobs = jobs.filter(|job| *job.record.route == *route);
        let keys = jobs.map(|job| job.route);
        keys.chain([backlog::route_key(route, None)]).collect()
    }

    /// Memory of all records.
    pub fn record_bytes(&self) -> usize {
        self.rows.values().map(|job| job.record.held_bytes()).sum()
    }

    /// Tokens of open items on a route, summed over the records.
    pub fn open_tokens(&self, route: RouteKey) -> u64 {
        self.open_tokens_of_owners(route, |_| true)
    }

    /// Tokens of open items on a route in jobs whose owner fits.
    pub fn open_tokens_of_owners(&self, route: RouteKey, owner: impl Fn(OwnerId) -> bool) -> u64 {
        let rows = self.rows.values().filter(|job| job.route == route);
        let rows = rows.filter(|job| owner(job.record.owner));
        rows.map(|job| job.open_tokens).sum()
    }

    /// The record of a job and its revision.
    pub fn current(&self, job: &JobId) -> Option<(Rc<SmallJobRecord>, Revision)> {
        let row = self.rows.get(job)?;
        Some((row.record.clone(), row.revision))
    }

    /// The host that a job was submitted to.
    pub fn host(&self, job: &JobId) -> Option<Name> {
        Some(self.rows.get(job)?.record.host.clone())
    }
}

/// Whether a job has another owner, or has ended.
fn has_new_owner_or_end(before: &SmallJobRecord, after: &SmallJobRecord) -> bool {
    let ownership =
        |record: &SmallJobRecord| (record.owner, record.epoch, record.cancelled, record.ended());
    ownership(before) != ownership(after)
}

/// Decodes a record; `None` when it is invalid, which is logged.
pub fn decode(key: &str, value: &[u8]) -> Option<SmallJobRecord> {
    let record: SmallJobRecord = match serde_json::from_slice(value) {
        Ok(record) => record,
        Err(error) => {
            log::error!(key, error:% = error; "a job's record can't be read");
            return None;
        }
    };
    if record_key(&record.id) != key || !record.is_consistent() {
        log::error!(key, job = *record.id; "a job's record is of no job");
        return None;
    }
    Some(record)
}
