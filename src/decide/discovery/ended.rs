//! Remembers endpoints that are gone.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::{EntryId, Incarnation, Revision};

/// How long ends are remembered: longer than any update takes between VMs, and longer than a VM
/// stays cut off from the store.
const MEMORY: Duration = Duration::from_secs(600);
/// Processes remembered for each name, the latest last. A late update arrives within seconds, and
/// no endpoint restarts more often than this in that time.
const PAST_MAX: usize = 8;

/// What is remembered under one name.
#[derive(Debug, Clone, Default)]
struct Row {
    /// Revision of the newest end; an update that is not newer is ignored.
    revision: Revision,
    at: Duration,
    /// Processes that were replaced by another one, and those that drained.
    past: Vec<Past>,
}

/// A process that was registered under a name.
#[derive(Debug, Clone, Copy)]
struct Past {
    process: Option<Incarnation>,
    /// It drained, or a later one did: it never accepts requests again.
    over: bool,
}

/// Ends of endpoints with their revisions, so that an older update that arrives by another path
/// does not undo them.
#[derive(Debug, Default)]
pub struct Ended {
    rows: HashMap<EntryId, Row>,
}

impl Ended {
    /// Records the removal of an entry at a revision.
    pub fn note(&mut self, now: Duration, id: EntryId, revision: Revision) {
        let row = self.rows.entry(id).or_default();
        row.revision = row.revision.max(revision);
        row.at = now;
    }

    /// Records that another process was seen in place of this one. This one may be seen again, for
    /// example if the other entry was not written by the endpoint.
    pub fn note_replaced(&mut self, now: Duration, id: EntryId, process: Option<Incarnation>) {
        let row = self.rows.entry(id).or_default();
        row.at = now;
        row.past.retain(|past| past.process != process);
        if row.past.len() >= PAST_MAX {
            row.past.remove(0);
        }
        let over = false;
        row.past.push(Past { process, over });
    }

    /// Records that a process drained: it and all processes before it are over.
    pub fn note_drained(&mut self, now: Duration, id: EntryId, process: Option<Incarnation>) {
        self.note_replaced(now, id, process);
        let past = self.rows.get_mut(&id).into_iter();
        past.flat_map(|row| &mut row.past)
            .for_each(|past| past.over = true);
    }

    /// Whether an update of this revision is older than the end of its endpoint.
    pub fn is_old(&self, id: EntryId, revision: Revision) -> bool {
        let row = self.rows.get(&id);
        row.is_some_and(|row| revision <= row.revision)
    }

    /// Whether a process is over: updates about it that still arrive were sent before it ended.
    pub fn is_over(&self, id: EntryId, process: Option<Incarnation>) -> bool {
        self.past(id, process).is_some_and(|past| past.over)
    }

    /// Whether another process was seen in place of this one.
    pub fn was_replaced(&self, id: EntryId, process: Option<Incarnation>) -> bool {
        self.past(id, process).is_some()
    }

    fn past(&self, id: EntryId, process: Option<Incarnation>) -> Option<&Past> {
        let past = self.rows.get(&id)?.past.iter();
        past.rev().find(|past| past.process == process)
    }

    /// Whether any remembered process of this name has reported its start.
    pub fn tells_starts(&self, id: EntryId) -> bool {
        let row = self.rows.get(&id);
        row.is_some_and(|row| row.past.iter().any(|past| past.process.is_some()))
    }

    /// Forgets expired ends.
    pub fn tick(&mut self, now: Duration) {
        self.rows.retain(|_, row| now < row.at + MEMORY);
    }
}
