//! Which batch items run, where, and which are taken back for online requests.
//!
//! Engines admit in order of arrival and know no priorities, so an item goes out only where a slot
//! is free, and comes back when online requests need the slot. An item that is taken back goes on
//! later after its last event, so little is lost.

use std::collections::HashMap;
use std::time::Duration;

use super::endpoints::{Endpoint, Endpoints};
use super::idle::{Idle, IdleSnapshot};
use super::slot_grants::{CompetingVm, EndpointPlace, SlotGrants};
use super::small_jobs::ItemIndex;
use super::usage::{own_excess, Usage};
use crate::id::{DomainId, EndpointId, JobId, ServiceId, VmId};

/// Slots of an endpoint, as a share, that items keep however many online requests come: only items
/// that would miss their due time otherwise. Keeps jobs from starving through an online load that
/// fills the fleet for minutes.
pub const KEPT_SHARE: f64 = 0.25;
/// Spare time below which an item counts as urgent; covers a wait for a slot and one failed run.
pub const SPARE: Duration = Duration::from_millis(1500);
/// Part of a job's whole time that an item is taken to run while no item has shown it.
const RUN_GUESS: f64 = 0.25;
/// Weight of the newest item in the moving average of run times.
const AVERAGE_NEW: f64 = 0.1;
/// Pause after a run that failed through its endpoint.
pub const FAILED_PAUSE: Duration = Duration::from_millis(250);
/// Pause after an item made way. What the other VMs do shows within this time; without it items are
/// started and taken back many times a second while a burst lasts.
pub const YIELDED_PAUSE: Duration = Duration::from_millis(400);

/// One item of one job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ItemKey {
    pub job: JobId,
    pub item: ItemIndex,
}

/// Where an item stands.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    Waiting {
        not_before: Duration,
    },
    Running {
        endpoint: EndpointId,
        since: Duration,
        /// Told to stop; its slot is free for all decisions from then on.
        stopping: bool,
    },
}

#[derive(Debug, Clone)]
struct Row {
    service: ServiceId,
    due: Duration,
    /// Time of runs that have ended; their events count.
    ran: Duration,
    stage: Stage,
    /// Endpoint of the last failed run, passed over while there is another.
    avoid: Option<EndpointId>,
}

/// What the host is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    Start {
        key: ItemKey,
        endpoint: EndpointId,
    },
    /// Close the item's connection and keep its text.
    Stop {
        key: ItemKey,
    },
}

/// All items that this VM answers for.
#[derive(Debug, Default, Clone)]
pub struct Items {
    rows: HashMap<ItemKey, Row>,
    /// Moving average of the time that a whole item runs.
    typical: Option<Duration>,
    turns: SlotGrants,
    /// What free slots beside waiting items have cost.
    pub idle: Idle,
}

/// The VM that plans, among the others.
pub struct ItemPlanner<'a> {
    pub vm: VmId,
    pub domain: DomainId,
    /// Other VMs with items that wait.
    pub rivals: &'a [CompetingVm],
    /// False while it drains.
    pub starting: bool,
}

/// This VM's items at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointItems {
    pub batch: u32,
    /// Those of `batch` that would miss their due time if they had to make way now.
    pub urgent: u32,
}

/// What is known of an endpoint when items are placed.
struct Room {
    id: EndpointId,
    service: ServiceId,
    domain: DomainId,
    usable: bool,
    slots: u32,
    online: u32,
    batch_here: u32,
    batch_elsewhere: u32,
    /// Urgent ones of all VMs' items.
    urgent: u32,
    /// Known in this plan not to be this VM's turn, for usual and for urgent items: to rank hundreds of
    /// VMs for thousands of endpoints again for each item would take longer than a plan has.
    denied: [bool; 2],
}

impl Room {
    /// Free slots, negative when there is more than the endpoint runs at once.
    fn free(&self) -> i64 {
        let used = self.online + self.batch_here + self.batch_elsewhere;
        i64::from(self.slots) - i64::from(used)
    }

    /// Slots that items may take: free ones, and for urgent items those that they keep from online
    /// requests.
    fn open(&self, urgent: bool) -> u32 {
        let free = self.free().max(0) as u32;
        match urgent {
            true => free.max(kept_max(self.slots).saturating_sub(self.urgent)),
            false => free,
        }
    }
}

/// Slots that urgent items keep at an endpoint at the most.
pub fn kept_max(slots: u32) -> u32 {
    (f64::from(slots) * KEPT_SHARE) as u32
}

impl Items {
    /// Adds an item, to be done by `due` (monotonic).
    pub fn add(&mut self, now: Duration, key: ItemKey, service: ServiceId, due: Duration) {
        let guess = due.saturating_sub(now).mul_f64(RUN_GUESS);
        self.typical.get_or_insert(guess);
        let stage = Stage::Waiting {
            not_before: Duration::ZERO,
        };
        let row = Row {
            service,
            due,
            ran: Duration::ZERO,
            stage,
            avoid: None,
        };
        self.rows.insert(key, row);
    }

    /// An item ran to its end.
    pub fn completed(&mut self, now: Duration, key: &ItemKey) {
        let Some(row) = self.rows.remove(key) else {
            return;
        };
        let whole = row.ran + row.running_for(now);
        let typical = self.typical.unwrap_or(whole);
        self.typical = Some(typical.mul_f64(1.0 - AVERAGE_NEW) + whole.mul_f64(AVERAGE_NEW));
    }

    /// An item ended without a whole run.
    pub fn remove(&mut self, key: &ItemKey) {
        self.rows.remove(key);
    }

    /// A run ended without a result: the item waits again. `failed` when its endpoint was at fault.
    pub fn paused(&mut self, now: Duration, key: &ItemKey, failed: bool) {
        let Some(row) = self.rows.get_mut(key) else {
            return;
        };
        row.ran += row.running_for(now);
        if let (Stage::Running { endpoint, .. }, true) = (row.stage, failed) {
            row.avoid = Some(endpoint);
        }
        let pause = if failed { FAILED_PAUSE } else { YIELDED_PAUSE };
        row.stage = Stage::Waiting {
            not_before: now + pause,
        };
    }

    /// An item may not run for so long yet.
    pub fn held_back(&mut self, now: Duration, key: &ItemKey, back_in: Duration) {
        if let Some(row) = self.rows.get_mut(key) {
            let not_before = now + back_in;
            row.stage = Stage::Waiting { not_before };
        }
    }

    /// An item goes on here that had run so long elsewhere.
    pub fn resumed(&mut self, key: &ItemKey, ran: Duration) {
        if let Some(row) = self.rows.get_mut(key) {
            row.ran = ran;
        }
    }

    /// How long an item has run in all.
    pub fn ran(&self, now: Duration, key: &ItemKey) -> Duration {
        let row = self.rows.get(key);
        row.map_or(Duration::ZERO, |row| row.ran + row.running_for(now))
    }

    /// The routes have changed: an item that waits goes to this service.
    pub fn moved(&mut self, key: &ItemKey, service: ServiceId) {
        if let Some(row) = self.rows.get_mut(key) {
            row.service = service;
        }
    }

    /// All items, for a look at their routes.
    pub fn keys(&self) -> Vec<ItemKey> {
        self.rows.keys().cloned().collect()
    }

    /// Items in hand, and those that run.
    pub fn counts(&self) -> (usize, usize) {
        let running = self.rows.values().filter(|row| row.runs_at().is_some());
        (self.rows.len(), running.count())
    }

    /// Items of this VM at an endpoint.
    pub fn at(&self, endpoint: EndpointId) -> u32 {
        let here = |row: &&Row| row.runs_at() == Some(endpoint);
        self.rows.values().filter(here).count() as u32
    }

    /// Items of this VM by endpoint.
    pub fn placed(&self, now: Duration) -> HashMap<EndpointId, EndpointItems> {
        let mut placed: HashMap<EndpointId, EndpointItems> = HashMap::new();
        for row in self.rows.values() {
            let Some(endpoint) = row.runs_at() else {
                continue;
            };
            let at = placed.entry(endpoint).or_default();
            at.batch += 1;
            at.urgent += u32::from(self.is_urgent(now, row));
        }
        placed
    }

    /// Whether an item would miss its due time if it didn't run from now on. One that is late
    /// already has little left to lose.
    fn is_urgent(&self, now: Duration, row: &Row) -> bool {
        let typical = self.typical.unwrap_or_default();
        let ran = row.ran + row.running_for(now);
        let left = typical.saturating_sub(ran);
        now < row.due && now + left + SPARE >= row.due
    }

    /// Whether an item can't be done by its due time any more. It goes after all that still can.
    ///
    /// The failure: a flood brings more than can be done in time. In order of due times alone each item
    /// ends just after it was due. Measured in floods of 60 and 40 times the usual jobs: 317 and 296
    /// items in time before, 329 to 359 with this order.
    fn is_hopeless(&self, now: Duration, row: &Row) -> bool {
        let left = self.typical.unwrap_or_default().saturating_sub(row.ran);
        now + left >= row.due
    }

    /// Writes into the endpoints' rows what all VMs have there.
    pub fn note_uses(&self, now: Duration, endpoints: &mut Endpoints, usage: &Usage) {
        let placed = self.placed(now);
        for row in &mut endpoints.rows {
            let here = placed.get(&row.id).copied().unwrap_or_default();
            note_use(now, row, here, usage);
        }
    }

    /// The same for the endpoints of one VM's word; true when one of them has too much and items of
    /// this VM, which then have to be looked at.
    pub fn note_uses_at(
        &self,
        now: Duration,
        endpoints: &mut Endpoints,
        usage: &Usage,
        touched: &[EndpointId],
    ) -> bool {
        let placed = self.placed(now);
        let mut crowded = false;
        for id in touched {
            if let Some(row) = endpoints.get_mut(*id) {
                let here = placed.get(id).copied().unwrap_or_default();
                note_use(now, row, here, usage);
                crowded |= here.batch > 0 && row.may_queue(now);
            }
        }
        crowded
    }

    /// Takes back what is too much and starts what has room.
    pub fn plan(
        &mut self,
        now: Duration,
        own: &ItemPlanner<'_>,
        endpoints: &Endpoints,
        usage: &Usage,
    ) -> Vec<Action> {
        let mut rooms = self.rooms(now, endpoints, usage);
        let mut out = Vec::new();
        for room in &mut rooms {
            self.yield_slots(now, own.vm, room, usage, &mut out);
        }
        if own.starting {
            self.start(now, own, &mut rooms, &mut out);
        }
        let beside = self.beside(now, own, &rooms);
        self.idle.note(now, beside);
        out
    }

    /// What stands free, and what waits beside it.
    fn beside(&self, now: Duration, own: &ItemPlanner<'_>, rooms: &[Room]) -> IdleSnapshot {
        let usable = rooms.iter().filter(|room| room.usable);
        let mut beside = IdleSnapshot {
            free_slots: usable.map(|room| room.open(false)).sum(),
            starting: own.starting,
            ..IdleSnapshot::default()
        };
        for row in self.rows.values() {
            match row.stage {
                Stage::Waiting { not_before } if now < not_before => beside.paused += 1,
                Stage::Waiting { .. } => beside.ready += 1,
                Stage::Running { .. } => {}
            }
        }
        beside
    }

    /// Items that wait for a slot.
    pub fn waiting(&self) -> usize {
        let waits = |row: &&Row| matches!(row.stage, Stage::Waiting { .. });
        self.rows.values().filter(waits).count()
    }

    fn rooms(&self, now: Duration, endpoints: &Endpoints, usage: &Usage) -> Vec<Room> {
        let placed = self.placed(now);
        let room = |row: &Endpoint| {
            let elsewhere = usage.of(row.id);
            let here = placed.get(&row.id).copied().unwrap_or_default();
            Room {
                id: row.id,
                service: row.declared.service,
                domain: row.declared.domain,
                usable: row.usable(now),
                slots: row.slots(now) as u32,
                online: row.online_here + elsewhere.online,
                batch_here: here.batch,
                batch_elsewhere: elsewhere.batch,
                urgent: here.urgent + elsewhere.urgent,
                denied: [false; 2],
            }
        };
        endpoints.rows.iter().map(room).collect()
    }

    fn yield_slots(
        &mut self,
        now: Duration,
        vm: VmId,
        room: &mut Room,
        usage: &Usage,
        out: &mut Vec<Action>,
    ) {
        let batch = room.batch_here + room.batch_elsewhere;
        let kept = room.urgent.min(kept_max(room.slots));
        let over = (-room.free()).max(0) as u32;
        let excess = over.min(batch.saturating_sub(kept));
        if excess == 0 || room.batch_here == 0 {
            return;
        }
        let part = match usage.item_allowance(now, room.id) {
            Some(kept) => room.batch_here.saturating_sub(kept),
            None => {
                let others = usage.batch_users(room.id);
                own_excess(excess, (vm, room.batch_here), &others)
            }
        };
        for key in self.least_urgent(room.id, part as usize) {
            if let Some(row) = self.rows.get_mut(&key) {
                if let Stage::Running { stopping, .. } = &mut row.stage {
                    *stopping = true;
                }
            }
            room.batch_here -= 1;
            out.push(Action::Stop { key });
        }
    }

    /// Running items at an endpoint, those due last first; among equals the youngest run.
    fn least_urgent(&self, endpoint: EndpointId, count: usize) -> Vec<ItemKey> {
        let running = |(key, row): (&ItemKey, &Row)| match row.stage {
            Stage::Running {
                endpoint: at,
                since,
                stopping: false,
            } if at == endpoint => Some((row.due, since, key.clone())),
            _ => None,
        };
        let mut found: Vec<_> = self.rows.iter().filter_map(running).collect();
        found.sort_by(|a, b| b.cmp(a));
        found.into_iter().take(count).map(|(.., key)| key).collect()
    }

    fn start(
        &mut self,
        now: Duration,
        own: &ItemPlanner<'_>,
        rooms: &mut [Room],
        out: &mut Vec<Action>,
    ) {
        let waiting = |(key, row): (&ItemKey, &Row)| match row.stage {
            Stage::Waiting { not_before } if now >= not_before => {
                let order = (self.is_hopeless(now, row), row.due, key.clone());
                Some((order, self.is_urgent(now, row)))
            }
            _ => None,
        };
        let mut queue: Vec<_> = self.rows.iter().filter_map(waiting).collect();
        queue.sort();
        let mut left = self.waiting() as u32;
        for ((.., key), urgent) in queue {
            let Some(row) = self.rows.get_mut(&key) else {
                continue;
            };
            let wanted = Wanted {
                service: row.service,
                urgent,
            };
            let found = best_room(rooms, &self.turns, now, own, left, wanted, row.avoid)
                .or_else(|| best_room(rooms, &self.turns, now, own, left, wanted, None));
            let Some(room) = found.map(|at| &mut rooms[at]) else {
                continue;
            };
            room.batch_here += 1;
            room.urgent += u32::from(urgent);
            let endpoint = room.id;
            row.stage = Stage::Running {
                endpoint,
                since: now,
                stopping: false,
            };
            left = left.saturating_sub(1);
            self.turns.started(now, endpoint);
            out.push(Action::Start { key, endpoint });
        }
    }
}

fn note_use(now: Duration, row: &mut Endpoint, here: EndpointItems, usage: &Usage) {
    let elsewhere = usage.of(row.id);
    row.online_elsewhere = elsewhere.online;
    row.remote_vms = elsewhere.online_users;
    row.batch = elsewhere.batch + here.batch;
    row.kept = (elsewhere.urgent + here.urgent).min(kept_max(row.slots(now) as u32));
}

/// What an item needs of an endpoint.
#[derive(Clone, Copy)]
struct Wanted {
    service: ServiceId,
    urgent: bool,
}

/// Place of the endpoint with the most free slots, among those where it is this VM's turn.
fn best_room(
    rooms: &mut [Room],
    turns: &SlotGrants,
    now: Duration,
    own: &ItemPlanner<'_>,
    items: u32,
    wanted: Wanted,
    avoid: Option<EndpointId>,
) -> Option<usize> {
    let denied = usize::from(wanted.urgent);
    loop {
        let fits = |(_, room): &(usize, &Room)| {
            room.service == wanted.service
                && room.usable
                && room.open(wanted.urgent) > 0
                && avoid != Some(room.id)
                && !room.denied[denied]
        };
        let open = rooms.iter().enumerate().filter(fits);
        let best = open.max_by_key(|(_, room)| (room.free(), room.domain == own.domain, room.id));
        let (at, room) = best?;
        let vm = CompetingVm {
            vm: own.vm,
            domain: own.domain,
            items,
        };
        let place = EndpointPlace {
            id: room.id,
            domain: room.domain,
        };
        if turns.may_start(now, place, room.open(wanted.urgent), vm, own.rivals) {
            return Some(at);
        }
        rooms[at].denied[denied] = true;
    }
}

impl Row {
    /// Length of the run under way.
    fn running_for(&self, now: Duration) -> Duration {
        match self.stage {
            Stage::Running { since, .. } => now.saturating_sub(since),
            Stage::Waiting { .. } => Duration::ZERO,
        }
    }

    /// The endpoint whose slot the item takes.
    fn runs_at(&self) -> Option<EndpointId> {
        match self.stage {
            Stage::Running {
                endpoint,
                stopping: false,
                ..
            } => Some(endpoint),
            _ => None,
        }
    }
}
