//! What VMs tell each other of endpoints: only what the asking VM uses, and of that only what has
//! changed.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::KnownEntry;
use crate::decide::subset::SubsetOwner;
use crate::id::{EntryId, Revision};

/// Changes that a summary names; a VM that has missed more asks for its news.
const CHANGES_MAX: usize = 32;

/// A request for news of endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointQuery {
    pub owner: SubsetOwner,
    /// Revision up to which the asking VM knows what it holds.
    pub after: Revision,
    pub held: HeldEndpoints,
}

/// What the asking VM holds, and wants to hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum HeldEndpoints {
    /// All endpoints; it needs all, as a delegate or in a small fleet.
    All,
    /// These; it needs those of its subset, or all where there are few.
    Subset(Vec<EntryId>),
}

/// The answer to an [`EndpointQuery`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointNews {
    /// Revision up to which this is complete.
    pub at: Revision,
    /// `listed` is all endpoints.
    pub complete: bool,
    /// The endpoints that the asking VM holds from now on. What it held and is neither here nor in
    /// `outside` is gone.
    pub listed: Vec<EntryId>,
    /// Endpoints that it held and that exist, but are not in its subset.
    pub outside: Vec<EntryId>,
    /// Entries of `listed` that it lacks or that have changed.
    pub entries: Vec<KnownEntry>,
}

/// The latest changes of endpoints, by which a VM sees whether they concern it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointChanges {
    /// All changes after this revision are named.
    pub since: Revision,
    pub entries: Vec<EntryKey>,
}

/// An entry in messages: its 64-bit id folded to 32 bits. A match by chance costs one request.
pub type EntryKey = u32;

/// Folds an entry's id to its key.
pub fn entry_key(id: EntryId) -> EntryKey {
    (id ^ (id >> 32)) as EntryKey
}

/// The latest changes in one VM's view, the oldest first.
#[derive(Debug, Default)]
pub(super) struct ChangeLog {
    since: Revision,
    changes: VecDeque<(Revision, EntryKey)>,
}

impl ChangeLog {
    pub(super) fn record(&mut self, id: EntryId, revision: Revision) {
        self.changes.push_back((revision, entry_key(id)));
        if self.changes.len() > CHANGES_MAX {
            let dropped = self.changes.pop_front();
            self.since = dropped.map_or(self.since, |(at, _)| self.since.max(at));
        }
    }

    /// Forgets the changes up to a revision, of which not all were seen one by one.
    pub(super) fn restart(&mut self, at: Revision) {
        self.changes.clear();
        self.since = self.since.max(at);
    }

    pub(super) fn latest(&self) -> EndpointChanges {
        EndpointChanges {
            since: self.since,
            entries: self.changes.iter().map(|(_, key)| *key).collect(),
        }
    }
}
