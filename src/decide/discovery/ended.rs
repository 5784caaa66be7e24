//! Remembers endpoints that are gone.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::{EntryId, Incarnation, Revision};

/// How long ends are remembered: longer than any update takes between VMs, and longer than a VM
/// stays cut off from the store.
const END_RETENTION: Duration = Duration::from_secs(600);
/// Processes remembered for each name, the latest last. A late update arrives within seconds, and
/// no endpoint restarts more often than this in that time.
const PAST_PROCESSES_MAX: usize = 8;

/// What is remembered under one name.
#[derive(Debug, Clone, Default)]
struct EndedRow {
    /// Revision of the newest end; an update that is not newer is ignored.
    revision: Revision,
    updated_at: Duration,
    /// Processes that were replaced by another one, and those that drained.
    past: Vec<PastProcess>,
}

/// A process that was registered under a name.
#[derive(Debug, Clone, Copy)]
struct PastProcess {
    process: Option<Incarnation>,
    /// It drained, or a later one did: it never accepts requests again.
    is_over: bool,
}

/// Ends of endpoints with their revisions, so that an older update that arrives by another path
/// does not undo them.
#[derive(Debug, Default)]
pub struct EndedEndpoints {
    rows: HashMap<EntryId, EndedRow>,
}

impl EndedEndpoints {
    /// Records the removal of an entry at a revision.
    pub fn record_end(&mut self, now: Duration, id: EntryId, revision: Revision) {
        let row = self.rows.entry(id).or_default();
        row.revision = row.revision.max(revision);
        row.updated_at = now;
    }

    /// Records that another process was seen in place of this one. This one may be seen again, for
    /// example if the other entry was not written by the endpoint.
    pub fn record_replaced(&mut self, now: Duration, id: EntryId, process: Option<Incarnation>) {
        let row = self.rows.entry(id).or_default();
        row.updated_at = now;
        row.past.retain(|past| past.process != process);
        if row.past.len() >= PAST_PROCESSES_MAX {
            row.past.remove(0);
        }
        let is_over = false;
        row.past.push(PastProcess { process, is_over });
    }

    /// Records that a process drained: it and all processes before it are over.
    pub fn record_drained(&mut self, now: Duration, id: EntryId, process: Option<Incarnation>) {
        self.record_replaced(now, id, process);
        let past = self.rows.get_mut(&id).into_iter();
        past.flat_map(|row| &mut row.past)
            .for_each(|past| past.is_over = true);
    }

    /// Whether an update of this revision is older than the end of its endpoint.
    pub fn is_outdated(&self, id: EntryId, revision: Revision) -> bool {
        let row = self.rows.get(&id);
        row.is_some_and(|row| revision <= row.revision)
    }

    /// Whether a process is over: updates about it that still arrive were sent before it ended.
    pub fn is_over(&self, id: EntryId, process: Option<Incarnation>) -> bool {
        self.past(id, process).is_some_and(|past| past.is_over)
    }

    /// Whether another process was seen in place of this one.
    pub fn was_replaced(&self, id: EntryId, process: Option<Incarnation>) -> bool {
        self.past(id, process).is_some()
    }

    fn past(&self, id: EntryId, process: Option<Incarnation>) -> Option<&PastProcess> {
        let past = self.rows.get(&id)?.past.iter();
        past.rev().find(|past| past.process == process)
    }

    /// Whether any remembered process of this name has reported its start.
    pub fn reports_incarnation(&self, id: EntryId) -> bool {
        let row = self.rows.get(&id);
        row.is_some_and(|row| row.past.iter().any(|past| past.process.is_some()))
    }

    /// Forgets expired ends.
    pub fn tick(&mut self, now: Duration) {
        self.rows
            .retain(|_, row| now < row.updated_at + END_RETENTION);
    }
}
