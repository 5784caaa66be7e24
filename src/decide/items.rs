//! Which batch items run, where, and which are taken back for online requests.
//!
//! Engines admit in order of arrival and know no priorities, so an item goes out only where a slot
//! is free, and comes back when online requests need the slot. An item that is taken back goes on
//! later after its last event, so little is lost.

use std::collections::HashMap;
use std::time::Duration;

use super::endpoints::Endpoints;
use super::small_jobs::ItemIndex;
use super::usage::{own_part, Usage};
use crate::id::{DomainId, EndpointId, JobId, ServiceId, VmId};

/// Batch items that an endpoint keeps however many online requests come, as a share of its slots.
/// Keeps batch jobs from starving through an online load that fills the fleet for minutes.
pub const KEPT_SHARE: f64 = 0.25;
/// Pause after a run that failed through its endpoint.
pub const FAILED_PAUSE: Duration = Duration::from_millis(250);

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
#[derive(Debug, Default)]
pub struct Items {
    rows: HashMap<ItemKey, Row>,
}

/// What is known of an endpoint when items are placed.
struct Room {
    id: EndpointId,
    service: ServiceId,
    own_domain: bool,
    usable: bool,
    slots: u32,
    online: u32,
    batch_here: u32,
    batch_elsewhere: u32,
}

impl Room {
    /// Free slots, negative when there is more than the endpoint runs at once.
    fn free(&self) -> i64 {
        let used = self.online + self.batch_here + self.batch_elsewhere;
        i64::from(self.slots) - i64::from(used)
    }
}

impl Items {
    /// Adds an item, to be done by `due` (monotonic).
    pub fn add(&mut self, key: ItemKey, service: ServiceId, due: Duration) {
        let stage = Stage::Waiting {
            not_before: Duration::ZERO,
        };
        let row = Row {
            service,
            due,
            stage,
            avoid: None,
        };
        self.rows.insert(key, row);
    }

    /// An item ended for good.
    pub fn remove(&mut self, key: &ItemKey) {
        self.rows.remove(key);
    }

    /// A run ended without a result: the item waits again. `failed` when its endpoint was at fault.
    pub fn paused(&mut self, now: Duration, key: &ItemKey, failed: bool) {
        let Some(row) = self.rows.get_mut(key) else {
            return;
        };
        if let (Stage::Running { endpoint, .. }, true) = (row.stage, failed) {
            row.avoid = Some(endpoint);
        }
        let pause = if failed { FAILED_PAUSE } else { Duration::ZERO };
        row.stage = Stage::Waiting {
            not_before: now + pause,
        };
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

    /// Takes back what is too much and starts what has room.
    ///
    /// `starting` is false while the VM drains.
    pub fn plan(
        &mut self,
        now: Duration,
        own: (VmId, DomainId),
        endpoints: &Endpoints,
        usage: &Usage,
        starting: bool,
    ) -> Vec<Action> {
        let mut rooms = self.rooms(now, own.1, endpoints, usage);
        let mut out = Vec::new();
        for room in &mut rooms {
            self.yield_slots(own.0, room, usage, &mut out);
        }
        if starting {
            self.start(now, &mut rooms, &mut out);
        }
        out
    }

    fn rooms(
        &self,
        now: Duration,
        home: DomainId,
        endpoints: &Endpoints,
        usage: &Usage,
    ) -> Vec<Room> {
        let mut here: HashMap<EndpointId, u32> = HashMap::new();
        for endpoint in self.rows.values().filter_map(Row::runs_at) {
            *here.entry(endpoint).or_default() += 1;
        }
        let room = |row: &super::endpoints::Endpoint| {
            let elsewhere = usage.of(row.id);
            Room {
                id: row.id,
                service: row.declared.service,
                own_domain: row.declared.domain == home,
                usable: row.usable(now),
                slots: row.slots(now) as u32,
                online: row.online_here + elsewhere.online,
                batch_here: here.get(&row.id).copied().unwrap_or(0),
                batch_elsewhere: elsewhere.batch,
            }
        };
        endpoints.rows.iter().map(room).collect()
    }

    fn yield_slots(&mut self, vm: VmId, room: &mut Room, usage: &Usage, out: &mut Vec<Action>) {
        let batch = room.batch_here + room.batch_elsewhere;
        let kept = (f64::from(room.slots) * KEPT_SHARE) as u32;
        let over = (-room.free()).max(0) as u32;
        let excess = over.min(batch.saturating_sub(kept));
        if excess == 0 || room.batch_here == 0 {
            return;
        }
        let others = usage.batch_users(room.id);
        let part = own_part(excess, (vm, room.batch_here), &others);
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

    fn start(&mut self, now: Duration, rooms: &mut [Room], out: &mut Vec<Action>) {
        let waiting = |(key, row): (&ItemKey, &Row)| match row.stage {
            Stage::Waiting { not_before } if now >= not_before => {
                // What is late already earns least: it goes after all that can still be on time.
                Some((now >= row.due, row.due, key.clone()))
            }
            _ => None,
        };
        let mut queue: Vec<_> = self.rows.iter().filter_map(waiting).collect();
        queue.sort();
        for (.., key) in queue {
            let Some(row) = self.rows.get_mut(&key) else {
                continue;
            };
            let fits = |room: &&mut Room, avoid: Option<EndpointId>| {
                room.service == row.service
                    && room.usable
                    && room.free() > 0
                    && avoid != Some(room.id)
            };
            let best = |avoid: Option<EndpointId>, rooms: &mut [Room]| {
                let open = rooms.iter_mut().filter(|room| fits(room, avoid));
                open.max_by_key(|room| (room.free(), room.own_domain, room.id))
                    .map(|room| {
                        room.batch_here += 1;
                        room.id
                    })
            };
            let found = best(row.avoid, rooms).or_else(|| best(None, rooms));
            let Some(endpoint) = found else {
                continue;
            };
            row.stage = Stage::Running {
                endpoint,
                since: now,
                stopping: false,
            };
            out.push(Action::Start { key, endpoint });
        }
    }
}

impl Row {
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
