//! Determines which endpoints exist, from their entries in the metadata store.
//!
//! A removed entry means that its endpoint is gone, with one exception: entries also lapse while
//! the store itself is unavailable, and are written again soon after it returns. An endpoint may
//! restart under its name. Its processes are distinguished by their incarnations, and the store's
//! revisions determine which of two updates is newer.

mod ended;
mod entry;
mod outage;
mod transition;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use self::ended::EndedEndpoints;
pub use self::entry::{KnownEntry, Registration, SnapshotSource};
use self::outage::Outage;
pub use self::outage::{CUT_OFF_AFTER, OUTAGE_LAPSE_WINDOW, OUTAGE_MIN};
pub use self::transition::{Transition, TransitionEvent};
use super::endpoints::EndpointConfig;
use crate::id::{EndpointId, EntryId, Name, Revision};

/// How long after the store's return a lapsed entry is kept. Living endpoints write their entries
/// again within 2 s; the rest is for the write and the watch to arrive.
pub const RETURN_GRACE: Duration = Duration::from_millis(2300);
/// Maximum number of transitions kept until they are taken for the log; more than there are
/// endpoints.
const TRANSITIONS_MAX: usize = 4096;

/// One endpoint.
#[derive(Debug, Clone)]
struct EntryRow {
    entry: Registration,
    revision: Revision,
    /// Set if the entry was removed: until then it may come back, and the endpoint stays in use.
    kept_until: Option<Duration>,
}

/// The registered endpoints.
#[derive(Debug, Default)]
pub struct Discovery {
    rows: HashMap<EntryId, EntryRow>,
    ended: EndedEndpoints,
    outage: Outage,
    /// Revision of the newest change applied.
    pub revision: Revision,
    /// Revision of the newest complete snapshot: an entry that is neither in it nor newer is gone.
    snapshot_revision: Revision,
    /// Whether a complete snapshot was applied at least once.
    loaded: bool,
    /// Transitions that were not yet taken for the log.
    transitions: Vec<TransitionEvent>,
}

impl Discovery {
    /// Records that a store call sent at `since` has failed. `others_served` if the store has been
    /// serving another VM for [`CUT_OFF_AFTER`].
    pub fn store_failed(&mut self, now: Duration, since: Duration, others_served: bool) {
        self.outage.record_failure(now, since, others_served);
    }

    /// Records that the store answered a call.
    pub fn store_answered(&mut self, now: Duration) {
        self.outage.record_answer(now);
    }

    /// How long ago a store call last failed.
    pub fn store_failed_for(&self, now: Duration) -> Option<Duration> {
        self.outage.time_since_failure(now)
    }

    /// Applies a written entry; true if the set of usable endpoints changed.
    pub fn apply_entry(
        &mut self,
        now: Duration,
        id: EntryId,
        entry: Registration,
        revision: Revision,
    ) -> bool {
        self.revision = self.revision.max(revision);
        if self.is_outdated(id, revision) || self.is_over(id, &entry) {
            return false;
        }
        if entry.incarnation.is_none() && self.reports_incarnation(id) {
            // An endpoint that reports its incarnation always does; this entry was written by
            // another process.
            return self.apply_unusable(now, id, revision);
        }
        let transition = match self.rows.get(&id).map(|row| &row.entry) {
            Some(known) if known.incarnation == entry.incarnation => {
                return self.update_entry(id, entry, revision);
            }
            Some(known) => {
                let known = known.clone();
                self.record_past_process(now, id, &known);
                Transition::Restarted
            }
            None => Transition::Appeared,
        };
        self.record_transition(entry.name.clone(), transition, revision);
        let row = EntryRow {
            entry,
            revision,
            kept_until: None,
        };
        self.rows.insert(id, row);
        true
    }

    /// Applies a newer entry of a known process.
    fn update_entry(&mut self, id: EntryId, entry: Registration, revision: Revision) -> bool {
        let Some(row) = self.rows.get_mut(&id) else {
            return false;
        };
        // If the drain was received by another path, a late read must not undo it.
        let draining = entry.draining || row.entry.draining;
        let entry = Registration { draining, ..entry };
        let transition = row.transition_to(&entry);
        let name = entry.name.clone();
        row.entry = entry;
        row.revision = revision;
        row.kept_until = None;
        if let Some(transition) = transition {
            self.record_transition(name, transition, revision);
        }
        transition.is_some()
    }

    /// Applies an entry that describes no usable endpoint, because it can't be parsed or has
    /// unknown content. True if the set of usable endpoints changed. This is not a lapse, so the
    /// endpoint is not kept.
    pub fn apply_unusable(&mut self, now: Duration, id: EntryId, revision: Revision) -> bool {
        self.revision = self.revision.max(revision);
        if self.is_outdated(id, revision) {
            return false;
        }
        self.drop_row(now, id, revision, Transition::Unusable)
    }

    /// Applies the removal of an entry; true if the set of usable endpoints changed.
    ///
    /// If the store is unavailable for seconds, all leases expire meanwhile, and a VM that obeyed
    /// every removal would have no endpoint left although all of them serve. So they are kept for
    /// the time in which living endpoints register again. This costs nothing: a request that meets
    /// a dead endpoint is sent to another one.
    pub fn apply_removal(&mut self, now: Duration, id: EntryId, revision: Revision) -> bool {
        self.revision = self.revision.max(revision);
        let Some(row) = self.rows.get_mut(&id) else {
            self.ended.record_end(now, id, revision);
            return false;
        };
        if revision < row.revision || row.kept_until.is_some() {
            return false;
        }
        row.revision = revision;
        let returned_at = self
            .outage
            .recovery_time(now)
            .filter(|_| !row.entry.draining);
        if let Some(returned_at) = returned_at {
            row.kept_until = Some(returned_at + RETURN_GRACE);
            let name = row.entry.name.clone();
            self.record_transition(name, Transition::Kept, revision);
            return false;
        }
        self.drop_row(now, id, revision, Transition::Removed)
    }

    /// Whether an update of this revision is outdated because a newer one was applied.
    ///
    /// Without the comparison with the newest complete snapshot, a late update about a process that
    /// this VM has never seen and that has ended meanwhile would send requests to an address where
    /// nothing serves: the snapshot did not list it.
    fn is_outdated(&self, id: EntryId, revision: Revision) -> bool {
        let row = self.rows.get(&id);
        let superseded = row.is_some_and(|row| revision < row.revision);
        superseded || revision <= self.snapshot_revision || self.ended.is_outdated(id, revision)
    }

    /// Whether an entry is a late update about a process that is over. A draining endpoint never
    /// accepts requests again, and neither do the processes before it.
    fn is_over(&self, id: EntryId, entry: &Registration) -> bool {
        let row = self.rows.get(&id);
        let drains = row.is_some_and(|row| row.entry.draining);
        let replaced = drains && self.ended.was_replaced(id, entry.incarnation);
        replaced || self.ended.is_over(id, entry.incarnation)
    }

    /// Records that a process is no longer the one registered under its name.
    fn record_past_process(&mut self, now: Duration, id: EntryId, entry: &Registration) {
        match entry.draining {
            true => self.ended.record_drained(now, id, entry.incarnation),
            false => self.ended.record_replaced(now, id, entry.incarnation),
        }
    }

    /// Whether the processes of an endpoint report their starts.
    fn reports_incarnation(&self, id: EntryId) -> bool {
        let row = self.rows.get(&id);
        row.is_some_and(|row| row.entry.incarnation.is_some()) || self.ended.reports_incarnation(id)
    }

    /// Removes an endpoint without keeping it.
    fn drop_row(
        &mut self,
        now: Duration,
        id: EntryId,
        revision: Revision,
        transition: Transition,
    ) -> bool {
        self.revision = self.revision.max(revision);
        self.ended.record_end(now, id, revision);
        let Some(row) = self.rows.remove(&id) else {
            return false;
        };
        if row.entry.draining {
            self.record_past_process(now, id, &row.entry);
        }
        self.record_transition(row.entry.name, transition, revision);
        true
    }

    fn record_transition(&mut self, name: Name, transition: Transition, revision: Revision) {
        if self.transitions.len() < TRANSITIONS_MAX {
            self.transitions.push(TransitionEvent {
                name,
                transition,
                revision,
            });
        }
    }

    /// Takes the transitions recorded since the last call.
    pub fn take_transitions(&mut self) -> Vec<TransitionEvent> {
        std::mem::take(&mut self.transitions)
    }

    /// Number of endpoints that are used although their entries are gone.
    pub fn kept_count(&self) -> usize {
        let kept = self.rows.values().filter(|row| row.kept_until.is_some());
        kept.count()
    }

    /// Applies a complete snapshot: an entry that is not in it has been removed.
    ///
    /// A snapshot from another VM removes entries at once, and an endpoint that the other VM only
    /// keeps after a lapse is never added again. A VM that the store refuses counts its own failed
    /// calls as an outage, so it keeps an endpoint that has left as merely lapsed. If it reported
    /// that endpoint as registered, the other VMs would send requests there seconds after it
    /// announced its departure. On the days that had such requests, there were 4 to 9 of them
    /// before this rule and none since.
    pub fn apply_snapshot(
        &mut self,
        now: Duration,
        entries: impl IntoIterator<Item = KnownEntry>,
        at: Revision,
        source: SnapshotSource,
    ) -> bool {
        let entries: Vec<KnownEntry> = entries.into_iter().collect();
        let listed: HashSet<EntryId> = entries.iter().map(|known| known.id).collect();
        let unlisted = self.rows.keys().copied().filter(|id| !listed.contains(id));
        let removed_ids: Vec<EntryId> = unlisted.collect();
        let mut changed = false;
        // The removals happened at some revision before `at`, which other VMs may know exactly.
        for id in removed_ids {
            changed |= match source {
                SnapshotSource::Store => self.apply_removal(now, id, at),
                SnapshotSource::Peer => self.drop_row(now, id, at, Transition::Removed),
            };
        }
        for known in entries {
            changed |= self.apply_snapshot_entry(now, known);
        }
        self.snapshot_revision = self.snapshot_revision.max(at);
        self.loaded = true;
        changed
    }

    /// Applies one endpoint of a complete snapshot.
    fn apply_snapshot_entry(&mut self, now: Duration, known: KnownEntry) -> bool {
        let Some(remaining) = known.lapsing else {
            return self.apply_entry(now, known.id, known.entry, known.revision);
        };
        let Some(row) = self.rows.get_mut(&known.id) else {
            return false;
        };
        if known.revision < row.revision {
            return false;
        }
        if row.entry.incarnation != known.entry.incarnation {
            // The other VM has seen another process under this name, of which only a lapsed entry
            // is left.
            let past = row.entry.clone();
            self.record_past_process(now, known.id, &past);
            return self.drop_row(now, known.id, known.revision, Transition::Removed);
        }
        let until = now + remaining.min(RETURN_GRACE);
        let first = row.kept_until.is_none();
        row.kept_until = Some(row.kept_until.map_or(until, |current| current.min(until)));
        row.revision = known.revision;
        if first {
            self.record_transition(known.entry.name, Transition::Kept, known.revision);
        }
        false
    }

    /// Drops entries that have not come back in time; true if any was dropped.
    pub fn tick(&mut self, now: Duration) -> bool {
        let is_expired = |row: &EntryRow| row.kept_until.is_some_and(|until| now >= until);
        let rows = self.rows.iter().filter(|(_, row)| is_expired(row));
        let lapsed: Vec<(EntryId, Revision)> = rows.map(|(id, row)| (*id, row.revision)).collect();
        for (id, revision) in &lapsed {
            self.drop_row(now, *id, *revision, Transition::Lapsed);
        }
        self.ended.tick(now);
        !lapsed.is_empty()
    }

    /// Whether the endpoints have been loaded.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Configuration of each endpoint for the endpoint table, and whether it is draining.
    pub fn endpoint_configs(&self) -> Vec<(EndpointId, EndpointConfig, bool)> {
        let entries = self.rows.values().map(|row| &row.entry);
        let declared =
            entries.map(|entry| (entry.endpoint(), entry.endpoint_config(), entry.draining));
        let mut rows: Vec<_> = declared.collect();
        rows.sort_by_key(|(id, ..)| *id);
        rows
    }

    /// All known endpoints, for another VM that can't reach the store.
    pub fn export(&self, now: Duration) -> Vec<KnownEntry> {
        let known = |(id, row): (&EntryId, &EntryRow)| KnownEntry {
            id: *id,
            entry: row.entry.clone(),
            revision: row.revision,
            lapsing: row.kept_until.map(|until| until.saturating_sub(now)),
        };
        self.rows.iter().map(known).collect()
    }
}

impl EntryRow {
    /// The transition that a newer entry causes; `None` if it changes nothing.
    fn transition_to(&self, entry: &Registration) -> Option<Transition> {
        if entry.draining && !self.entry.draining {
            return Some(Transition::Draining);
        }
        if self.kept_until.is_some() {
            return Some(Transition::Returned);
        }
        (self.entry != *entry).then_some(Transition::Changed)
    }
}
