//! What is remembered of endpoints that are gone.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::{EntryId, Incarnation, Revision};

/// Ends are remembered for longer than any news takes from VM to VM, or any store is cut off.
const MEMORY: Duration = Duration::from_secs(600);
/// Processes that are remembered for each name, the latest last. A late word comes within seconds, in which
/// no endpoint starts more often.
const PAST_MAX: usize = 8;

/// What is remembered under one name.
#[derive(Debug, Clone, Default)]
struct Row {
    /// Of the newest end; any word that is not newer says nothing.
    revision: Revision,
    at: Duration,
    /// Processes in whose place another one was seen, and those that drained.
    past: Vec<Past>,
}

/// A process that was registered under a name.
#[derive(Debug, Clone, Copy)]
struct Past {
    process: Option<Incarnation>,
    /// It drained, or a later one did: it never takes requests again.
    over: bool,
}

/// Ends of endpoints and when they were told: news that is older, by another way, must not undo them.
#[derive(Debug, Default)]
pub struct Ended {
    rows: HashMap<EntryId, Row>,
}

impl Ended {
    /// An entry is gone, at a revision.
    pub fn note(&mut self, now: Duration, id: EntryId, revision: Revision) {
        let row = self.rows.entry(id).or_default();
        row.revision = row.revision.max(revision);
        row.at = now;
    }

    /// Another process was seen in this one's place. It may be seen again, as when the other word was not the
    /// endpoint's own.
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

    /// A process drained: it is over, and so are those before it.
    pub fn note_drained(&mut self, now: Duration, id: EntryId, process: Option<Incarnation>) {
        self.note_replaced(now, id, process);
        let past = self.rows.get_mut(&id).into_iter();
        past.flat_map(|row| &mut row.past)
            .for_each(|past| past.over = true);
    }

    /// Whether a word of this revision is older than the end of its endpoint.
    pub fn is_old(&self, id: EntryId, revision: Revision) -> bool {
        let row = self.rows.get(&id);
        row.is_some_and(|row| revision <= row.revision)
    }

    /// Whether a process is over: what still comes in its name was under way when it ended.
    pub fn is_over(&self, id: EntryId, process: Option<Incarnation>) -> bool {
        self.past(id, process).is_some_and(|past| past.over)
    }

    /// Whether another process was seen in this one's place.
    pub fn was_replaced(&self, id: EntryId, process: Option<Incarnation>) -> bool {
        self.past(id, process).is_some()
    }

    fn past(&self, id: EntryId, process: Option<Incarnation>) -> Option<&Past> {
        let past = self.rows.get(&id)?.past.iter();
        past.rev().find(|past| past.process == process)
    }

    /// Whether a process under this name has told its start.
    pub fn tells_starts(&self, id: EntryId) -> bool {
        let row = self.rows.get(&id);
        row.is_some_and(|row| row.past.iter().any(|past| past.process.is_some()))
    }

    /// Forgets what is too old.
    pub fn tick(&mut self, now: Duration) {
        self.rows.retain(|_, row| now < row.at + MEMORY);
    }
}
