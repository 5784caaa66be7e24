//! Determines which endpoints exist, from their entries in the metadata store.
//!
//! A removed entry means that its endpoint is gone, with one exception: entries also lapse while
//! the store itself is unavailable, and are written again soon after it returns. An endpoint may
//! restart under its name. Its processes are distinguished by their incarnations, and the store's
//! revisions determine which of two updates is newer.

mod confirmation;
mod ended;
mod entry;
mod news;
mod outage;
mod transition;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use self::confirmation::Confirmations;
pub use self::confirmation::{
    ConnectedProcess, EndpointProcess, SoftwareCheck, REGISTRATION_TIME, RESTART_REGISTRATION_TIME,
};
use self::ended::EndedEndpoints;
pub use self::entry::{unknown_software, KnownEntry, Registration};
use self::news::ChangeLog;
pub use self::news::{entry_key, EndpointChanges, EndpointNews, EndpointQuery, HeldEndpoints};
use self::outage::Outage;
pub use self::outage::{CUT_OFF_AFTER, OUTAGE_LAPSE_WINDOW, OUTAGE_MIN};
pub use self::transition::{Transition, TransitionEvent};
use super::endpoints::EndpointConfig;
use super::subset::{self, Candidate, SubsetOwner, WHOLE_TABLE_MAX};
use crate::id::{self, EndpointId, EntryId, Name, Revision, ServiceId};

/// How long after the store's return a lapsed entry is kept. Living endpoints write their entries
/// again within 2 s; the rest is for the write and the watch to arrive.
pub const RETURN_GRACE: Duration = Duration::from_millis(2300);
/// Maximum number of transitions kept until they are taken for the log; more than there are
/// endpoints.
const TRANSITIONS_MAX: usize = 4096;

/// A process that ends breaks all of its connections; their losses are noticed within this time.
const LOSS_WINDOW: Duration = Duration::from_millis(200);
/// Time between two checks for expired ends, which may be thousands.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// One endpoint.
#[derive(Debug, Clone)]
struct EntryRow {
    entry: Registration,
    revision: Revision,
    /// Set if the entry was removed: until then it may come back, and the endpoint stays in use.
    kept_until: Option<Duration>,
    /// The process has ended, and the entry has not been written since: what serves at its address now
    /// may have other software.
    has_ended: bool,
    /// When that was noticed.
    ended_at: Duration,
    /// Runs that lost their connections to the process within [`LOSS_WINDOW`] of the last one.
    losses: Vec<Duration>,
    /// When runs that were under way at the same time last lost their connections.
    lost_together_at: Option<Duration>,
    /// When all connections of this VM to the process broke together.
    lost_at: Option<Duration>,
}

/// The registered endpoints.
#[derive(Debug, Default)]
pub struct Discovery {
    rows: HashMap<EntryId, EntryRow>,
    /// Invariant: the entry of each process in `rows`.
    processes: HashMap<EndpointId, EntryId>,
    /// Entries that are kept although they are gone; may name others, which the next tick drops.
    kept: HashSet<EntryId>,
    ended: EndedEndpoints,
    outage: Outage,
    confirmations: Confirmations,
    /// Revision of the newest change applied.
    pub revision: Revision,
    /// Revision of the newest complete snapshot: an entry that is neither in it nor newer is gone.
    snapshot_revision: Revision,
    /// Whether a complete snapshot or a subset was applied at least once.
    loaded: bool,
    /// Whether `rows` has all endpoints, not a subset.
    holds_all: bool,
    /// Latest changes, for VMs that hold a subset.
    changes: ChangeLog,
    /// Processes that ended without a drain and were not yet taken.
    ended_processes: Vec<EndpointId>,
    expired_at: Duration,
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
                self.record_ended_process(&known);
                self.record_successor(now, &known, &entry);
                Transition::Restarted
            }
            None => Transition::Appeared,
        };
        self.record_transition(entry.name.clone(), transition, revision);
        let row = EntryRow {
            entry,
            revision,
            kept_until: None,
            has_ended: false,
            ended_at: Duration::ZERO,
            losses: Vec::new(),
            lost_together_at: None,
            lost_at: None,
        };
        self.insert_row(now, id, row);
        true
    }

    /// Records that a process has ended. Its entry says nothing of the software of the next one until
    /// it is written again. True if that was not known.
    pub fn process_ended(&mut self, now: Duration, endpoint: EndpointId) -> bool {
        let Some(row) = self.process_row(endpoint) else {
            return false;
        };
        if std::mem::replace(&mut row.has_ended, true) {
            return false;
        }
        row.ended_at = now;
        if row.kept_until.is_none() {
            self.confirmations.end(now, endpoint);
        }
        true
    }

    /// Connections to a registered process that were opened until then certainly led to it.
    pub fn connections_confirmed_until(&self, endpoint: EndpointId) -> Option<Duration> {
        let is_registered = self.is_registered(endpoint);
        let registered_at = self.confirmations.registered_at(endpoint, is_registered)?;
        registered_at.checked_sub(REGISTRATION_TIME)
    }

    /// Records that a run which began at `began_at` lost its connection to a process.
    pub fn connection_lost(&mut self, endpoint: EndpointId, began_at: Duration, lost_at: Duration) {
        if let Some(row) = self.process_row(endpoint) {
            row.losses.retain(|at| lost_at < *at + LOSS_WINDOW);
            if row.losses.iter().any(|at| began_at < *at) {
                row.lost_together_at = Some(lost_at);
            }
            row.losses.push(lost_at);
        }
    }

    /// Records that no connection is left that certainly led to a process, after a run lost its own. If
    /// others were lost with it, the process may have ended; a single one proves nothing.
    pub fn no_connection_left(&mut self, endpoint: EndpointId, lost_at: Duration) {
        if let Some(row) = self.process_row(endpoint) {
            let together_at = row.lost_together_at;
            if together_at.is_some_and(|at| lost_at < at + LOSS_WINDOW) {
                row.lost_at = row.lost_at.max(Some(lost_at));
            }
        }
    }

    fn process_row(&mut self, endpoint: EndpointId) -> Option<&mut EntryRow> {
        self.rows.get_mut(self.processes.get(&endpoint)?)
    }

    /// Records that all changes before `asked_at` have been applied, by a call to the store that
    /// was sent then.
    pub fn confirm_view(&mut self, asked_at: Duration) {
        if self.outage.is_settled(asked_at) {
            self.confirmations.confirm_view(asked_at);
        }
    }

    /// Whether a call to the store at `asked_at` can confirm processes: not in an outage, nor until
    /// endpoints that started in it have registered.
    pub fn can_confirm(&self, asked_at: Duration) -> bool {
        self.outage.is_settled(asked_at)
    }

    /// Up to when all changes are known to have been applied.
    pub fn view_confirmed_at(&self) -> Option<Duration> {
        self.confirmations.view_at()
    }

    /// Applies an endpoint's entry as it was read for this process alone. Returns whether another
    /// process is registered now.
    pub fn apply_process_entry(
        &mut self,
        now: Duration,
        process: &EndpointProcess,
        entry: &Registration,
        asked_at: Duration,
    ) -> bool {
        let (ended, registered) = (process.id(), entry.endpoint());
        if registered != ended {
            let software = entry.software.clone();
            self.confirmations.replace(now, ended, registered, software);
        }
        if self.outage.is_settled(asked_at) {
            self.confirmations.confirm(now, registered, asked_at);
        }
        registered != ended
    }

    /// Whether the software at the other end of a connection is the assumed one.
    pub fn check_software(&self, connected: &ConnectedProcess) -> SoftwareCheck {
        if connected.software.is_empty() {
            return SoftwareCheck::NotConfirmed;
        }
        let endpoint = connected.process.id();
        let is_registered = self.is_registered(endpoint);
        let entry = self.processes.get(&endpoint);
        let row = entry.and_then(|id| self.rows.get(id));
        if row.is_some_and(|row| row.has_ended && connected.connected_at >= row.ended_at) {
            return SoftwareCheck::NotConfirmed;
        }
        let lost_at = row.and_then(|row| row.lost_at);
        if row.is_some_and(|row| is_registered && row.entry.software != connected.software) {
            return SoftwareCheck::Replaced;
        }
        self.confirmations
            .check(connected, |process| self.is_registered(process), lost_at)
    }

    fn is_registered(&self, endpoint: EndpointId) -> bool {
        let entry = self.processes.get(&endpoint);
        let row = entry.and_then(|id| self.rows.get(id));
        row.is_some_and(|row| row.kept_until.is_none() && !row.has_ended)
    }

    /// Time after a connection was opened by which the process that accepted it has registered.
    pub fn registration_time(&self, connected: &ConnectedProcess) -> Duration {
        let entry = self.processes.get(&connected.process.id());
        let row = entry.and_then(|id| self.rows.get(id));
        let lost_at = row.and_then(|row| row.lost_at);
        confirmation::registration_time(connected.connected_at, lost_at)
    }

    /// The process with this id, if its endpoint is in use.
    pub fn process(&self, endpoint: EndpointId) -> Option<EndpointProcess> {
        let row = self.rows.get(self.processes.get(&endpoint)?)?;
        Some(EndpointProcess {
            name: row.entry.name.clone(),
            incarnation: row.entry.incarnation,
        })
    }

    fn record_successor(&mut self, now: Duration, known: &Registration, next: &Registration) {
        let (ended, next_id) = (known.endpoint(), next.endpoint());
        let software = next.software.clone();
        self.confirmations.replace(now, ended, next_id, software);
    }

    fn insert_row(&mut self, now: Duration, id: EntryId, row: EntryRow) {
        self.remove_row(now, id);
        self.processes.insert(row.entry.endpoint(), id);
        self.rows.insert(id, row);
    }

    fn remove_row(&mut self, now: Duration, id: EntryId) -> Option<EntryRow> {
        let row = self.rows.remove(&id)?;
        let endpoint = row.entry.endpoint();
        self.processes.remove(&endpoint);
        if row.kept_until.is_none() && !row.has_ended {
            self.confirmations.end(now, endpoint);
        }
        Some(row)
    }

    /// Applies a newer entry of a known process.
    fn update_entry(&mut self, id: EntryId, entry: Registration, revision: Revision) -> bool {
        let Some(row) = self.rows.get_mut(&id) else {
            return false;
        };
        // If the drain was received by another path, a late read must not undo it.
        let draining = entry.draining || row.entry.draining;
        // A peer may not know the software of an endpoint that this VM has read itself.
        let software = match entry.software.is_empty() {
            true => row.entry.software.clone(),
            false => entry.software.clone(),
        };
        let entry = Registration {
            draining,
            software,
            ..entry
        };
        let is_other_software = entry.software != row.entry.software;
        let transition = row.transition_to(&entry);
        let name = entry.name.clone();
        let is_written_again = row.has_ended && revision > row.revision;
        row.has_ended &= !is_written_again;
        row.entry = entry;
        row.revision = revision;
        row.kept_until = None;
        if let Some(transition) = transition {
            self.record_transition(name, transition, revision);
        }
        transition.is_some() || is_other_software || is_written_again
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
            let (name, endpoint) = (row.entry.name.clone(), row.entry.endpoint());
            if !row.has_ended {
                self.confirmations.end(now, endpoint);
            }
            self.kept.insert(id);
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
        let Some(row) = self.remove_row(now, id) else {
            return false;
        };
        if row.entry.draining {
            self.record_past_process(now, id, &row.entry);
        }
        self.record_ended_process(&row.entry);
        self.record_transition(row.entry.name, transition, revision);
        true
    }

    fn record_ended_process(&mut self, entry: &Registration) {
        if !entry.draining {
            self.ended_processes.push(entry.endpoint());
        }
    }

    /// Takes the processes that ended without a drain since the last call.
    pub fn take_ended_processes(&mut self) -> Vec<EndpointId> {
        std::mem::take(&mut self.ended_processes)
    }

    fn record_transition(&mut self, name: Name, transition: Transition, revision: Revision) {
        self.changes.record(id::of(&name), revision);
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
        let kept = self.kept.iter().filter_map(|id| self.rows.get(id));
        kept.filter(|row| row.kept_until.is_some()).count()
    }

    /// Applies a complete snapshot of the store: an entry that is not in it has been removed.
    pub fn apply_snapshot(
        &mut self,
        now: Duration,
        entries: impl IntoIterator<Item = KnownEntry>,
        at: Revision,
    ) -> bool {
        let entries: Vec<KnownEntry> = entries.into_iter().collect();
        let listed: HashSet<EntryId> = entries.iter().map(|known| known.id).collect();
        let unlisted = self.rows.keys().copied().filter(|id| !listed.contains(id));
        let removed_ids: Vec<EntryId> = unlisted.collect();
        let mut changed = false;
        // The removals happened at some revision before `at`, which other VMs may know exactly.
        for id in removed_ids {
            changed |= self.apply_removal(now, id, at);
        }
        for known in entries {
            changed |= self.apply_snapshot_entry(now, known);
        }
        self.snapshot_revision = self.snapshot_revision.max(at);
        self.loaded = true;
        self.holds_all = true;
        self.changes.restart(at);
        changed
    }

    /// A request for what has changed: among all endpoints if this VM `needs_all`, else in its
    /// subset.
    pub fn query(&self, owner: SubsetOwner, needs_all: bool) -> EndpointQuery {
        EndpointQuery {
            owner,
            after: match needs_all && !self.holds_all {
                true => 0,
                false => self.revision,
            },
            held: match needs_all {
                true => HeldEndpoints::All,
                false => HeldEndpoints::Subset(self.rows.keys().copied().collect()),
            },
        }
    }

    /// The answer to another VM's query; `None` while this VM does not have all endpoints.
    pub fn answer(&self, now: Duration, query: &EndpointQuery) -> Option<EndpointNews> {
        if !self.holds_all {
            return None;
        }
        let held: HashSet<EntryId> = match &query.held {
            HeldEndpoints::All => HashSet::new(),
            HeldEndpoints::Subset(held) => held.iter().copied().collect(),
        };
        let wants_all = query.held == HeldEndpoints::All;
        let complete = wants_all || self.rows.len() <= WHOLE_TABLE_MAX;
        let listed: Vec<EntryId> = match complete {
            true => self.rows.keys().copied().collect(),
            false => self.subset(query.owner, &held).into_iter().collect(),
        };
        let is_listed: HashSet<EntryId> = listed.iter().copied().collect();
        let outside = held.iter().copied();
        let outside = outside.filter(|id| self.rows.contains_key(id) && !is_listed.contains(id));
        let entries = listed.iter().filter_map(|id| {
            let row = self.rows.get(id)?;
            let is_new = row.revision > query.after || !(wants_all || held.contains(id));
            is_new.then(|| row.known(*id, now))
        });
        Some(EndpointNews {
            at: self.revision,
            complete,
            outside: outside.collect(),
            entries: entries.collect(),
            listed,
        })
    }

    /// The endpoints of a VM's subset. Draining ones that it holds stay, so that it learns of their
    /// end.
    fn subset(&self, owner: SubsetOwner, held: &HashSet<EntryId>) -> HashSet<EntryId> {
        let serving = self.rows.iter().filter(|(_, row)| !row.entry.draining);
        let candidates = serving.map(|(id, row)| Candidate {
            id: *id,
            service: row.entry.service,
            domain: row.entry.domain,
            software: id::of(&row.entry.software),
        });
        let mut chosen = subset::choose(owner, candidates);
        let is_draining = |id: &&EntryId| self.rows.get(id).is_some_and(|row| row.entry.draining);
        chosen.extend(held.iter().filter(is_draining));
        chosen
    }

    /// Applies another VM's answer. Endpoints outside of the subset are forgotten unless
    /// `is_used`; that they exist elsewhere is no news of them.
    ///
    /// What the other VM no longer has is removed at once, and an endpoint that it only keeps after
    /// a lapse is never added again. A VM that the store refuses counts its own failed calls as an
    /// outage, so it keeps an endpoint that has left as merely lapsed. If it reported that endpoint
    /// as registered, the other VMs would send requests there seconds after it announced its
    /// departure. On the days that had such requests, there were 4 to 9 of them before this rule
    /// and none since.
    pub fn apply_news(
        &mut self,
        now: Duration,
        news: EndpointNews,
        is_used: impl Fn(EndpointId) -> bool,
    ) -> bool {
        let listed: HashSet<EntryId> = news.listed.into_iter().collect();
        let outside: HashSet<EntryId> = news.outside.into_iter().collect();
        let unlisted = self.rows.keys().copied().filter(|id| !listed.contains(id));
        let unlisted: Vec<EntryId> = unlisted.collect();
        let mut changed = false;
        for id in unlisted {
            changed |= match outside.contains(&id) {
                true => self.forget(now, id, &is_used),
                false => self.drop_row(now, id, news.at, Transition::Removed),
            };
        }
        // Entries of a subset may be older than an earlier list in which they were not.
        self.snapshot_revision = 0;
        for known in news.entries {
            changed |= self.apply_snapshot_entry(now, known);
        }
        if news.complete {
            self.snapshot_revision = news.at;
        }
        self.holds_all = news.complete;
        self.revision = self.revision.max(news.at);
        self.changes.restart(news.at);
        self.loaded = true;
        changed
    }

    fn forget(&mut self, now: Duration, id: EntryId, is_used: impl Fn(EndpointId) -> bool) -> bool {
        let used = self
            .rows
            .get(&id)
            .is_some_and(|row| is_used(row.entry.endpoint()));
        !used && self.remove_row(now, id).is_some()
    }

    /// Forgets all endpoints outside of this VM's subset, which from now on is told of its changes;
    /// true if there were any.
    pub fn shrink_to_subset(
        &mut self,
        now: Duration,
        owner: SubsetOwner,
        is_used: impl Fn(EndpointId) -> bool,
    ) -> bool {
        if !self.has_subset_surplus() {
            return false;
        }
        let chosen = self.subset(owner, &HashSet::new());
        let others = self.rows.keys().copied().filter(|id| !chosen.contains(id));
        for id in others.collect::<Vec<EntryId>>() {
            self.forget(now, id, &is_used);
        }
        self.holds_all = false;
        self.snapshot_revision = 0;
        true
    }

    /// Takes over a newer revision from a summary that names all changes since this VM's, if none
    /// of them concerns an endpoint that it holds.
    pub fn skip_changes(&mut self, to: Revision, changes: &EndpointChanges) -> bool {
        let is_subset = self.loaded && !self.holds_all;
        if !is_subset || to <= self.revision || self.revision < changes.since {
            return false;
        }
        let named: HashSet<u32> = changes.entries.iter().copied().collect();
        let concerned = !named.is_empty() && {
            let mut held = self.rows.keys();
            held.any(|id| named.contains(&entry_key(*id)))
        };
        if !concerned {
            self.revision = to;
        }
        !concerned
    }

    /// The latest changes, for VMs that hold a subset.
    pub fn latest_changes(&self) -> EndpointChanges {
        self.changes.latest()
    }

    /// Whether this VM has all of so many endpoints that it uses a subset of them only.
    pub fn has_subset_surplus(&self) -> bool {
        self.holds_all && self.rows.len() > WHOLE_TABLE_MAX
    }

    /// Whether this VM has all endpoints, so that it can answer the queries of others.
    pub fn holds_all(&self) -> bool {
        self.holds_all
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
        if first && !row.has_ended {
            self.confirmations.end(now, row.entry.endpoint());
        }
        row.kept_until = Some(row.kept_until.map_or(until, |current| current.min(until)));
        self.kept.insert(known.id);
        row.revision = known.revision;
        if first {
            self.record_transition(known.entry.name, Transition::Kept, known.revision);
        }
        false
    }

    /// Drops entries that have not come back in time; true if any was dropped.
    pub fn tick(&mut self, now: Duration) -> bool {
        let rows = &self.rows;
        let is_kept = |id: &EntryId| rows.get(id).is_some_and(|row| row.kept_until.is_some());
        self.kept.retain(is_kept);
        let is_expired = |row: &EntryRow| row.kept_until.is_some_and(|until| now >= until);
        let kept = self.kept.iter().filter_map(|id| Some((*id, rows.get(id)?)));
        let lapsed: Vec<(EntryId, Revision)> = kept
            .filter(|(_, row)| is_expired(row))
            .map(|(id, row)| (id, row.revision))
            .collect();
        for (id, revision) in &lapsed {
            self.drop_row(now, *id, *revision, Transition::Lapsed);
        }
        if now >= self.expired_at + EXPIRY_INTERVAL {
            self.expired_at = now;
            self.ended.tick(now);
            self.confirmations.tick(now);
        }
        !lapsed.is_empty()
    }

    /// Whether the endpoints have been loaded.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Configuration of each endpoint for the endpoint table, and whether it is draining.
    pub fn endpoint_configs(&self) -> Vec<(EndpointId, EndpointConfig, bool)> {
        let declared = self.rows.values().map(|row| {
            let entry = &row.entry;
            (entry.endpoint(), row.endpoint_config(), entry.draining)
        });
        let mut rows: Vec<_> = declared.collect();
        rows.sort_by_key(|(id, ..)| *id);
        rows
    }

    /// Service and software version of each endpoint.
    pub fn software_versions(&self) -> impl Iterator<Item = (ServiceId, Name)> + '_ {
        let entries = self.rows.values().map(|row| &row.entry);
        entries.map(|entry| (entry.service, entry.software.clone()))
    }

    /// Like [`Discovery::endpoint_configs`], for the endpoints that this VM uses: its subset, and
    /// those where it has requests.
    pub fn used_configs(
        &self,
        owner: SubsetOwner,
        is_used: impl Fn(EndpointId) -> bool,
    ) -> Vec<(EndpointId, EndpointConfig, bool)> {
        if !self.has_subset_surplus() {
            return self.endpoint_configs();
        }
        let chosen = self.subset(owner, &HashSet::new());
        let rows = self.rows.iter().filter_map(|(id, row)| {
            let endpoint = row.entry.endpoint();
            (chosen.contains(id) || is_used(endpoint)).then_some((endpoint, row))
        });
        let declared =
            rows.map(|(endpoint, row)| (endpoint, row.endpoint_config(), row.entry.draining));
        let mut configs: Vec<_> = declared.collect();
        configs.sort_by_key(|(id, ..)| *id);
        configs
    }

    /// Slots of an endpoint's process, as registered.
    pub fn slots(&self, endpoint: EndpointId) -> Option<u32> {
        let row = self.rows.get(self.processes.get(&endpoint)?)?;
        Some(row.entry.slots.max(1))
    }
}

impl EntryRow {
    /// Version of the software that serves at the entry's address, if it is known.
    fn software(&self) -> Name {
        match self.has_ended {
            true => unknown_software(),
            false => self.entry.software.clone(),
        }
    }

    fn endpoint_config(&self) -> EndpointConfig {
        EndpointConfig {
            software: self.software(),
            ..self.entry.endpoint_config()
        }
    }

    /// The row in the form in which other VMs are told of it.
    fn known(&self, id: EntryId, now: Duration) -> KnownEntry {
        let entry = Registration {
            software: self.software(),
            ..self.entry.clone()
        };
        KnownEntry {
            id,
            entry,
            revision: self.revision,
            lapsing: self.kept_until.map(|until| until.saturating_sub(now)),
        }
    }

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
