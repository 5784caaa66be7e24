//! Which item goes to which endpoint next, and which are called back.

use std::collections::HashMap;
use std::time::Duration;

use super::{Action, AttemptId, Batch, ChunkKey, InFlightAttempt};
use crate::id::{EndpointId, Name, ServiceId};

/// A job that has less time left than this goes before the workspaces' shares.
pub const URGENT: Duration = Duration::from_secs(60);
const SHARE_DEFAULT: f64 = 0.05;

/// What this VM may use of one endpoint.
#[derive(Debug, Clone)]
pub struct Slot {
    pub service: ServiceId,
    /// Whether this VM is the endpoint's home, though the window may be closed.
    pub home: bool,
    /// Items that may be there now.
    pub window: u32,
    pub in_flight: u32,
}

impl Slot {
    /// A slot that is closed.
    pub fn new(service: ServiceId) -> Slot {
        Slot {
            service,
            home: false,
            window: 0,
            in_flight: 0,
        }
    }
}

impl Batch {
    /// Calls items back from endpoints whose window has shrunk, the youngest first: least is lost.
    pub(super) fn yield_slots(&mut self, out: &mut Vec<Action>) {
        let over: Vec<(EndpointId, u32)> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.in_flight > slot.window)
            .map(|(id, slot)| (*id, slot.in_flight - slot.window))
            .collect();
        for (endpoint, excess) in over {
            let at = |f: &InFlightAttempt| f.endpoint == endpoint;
            let called = self
                .flights
                .values()
                .filter(|f| at(f) && f.cancelled)
                .count();
            let mut young: Vec<(Duration, AttemptId)> = self
                .flights
                .iter()
                .filter(|(_, f)| at(f) && f.idempotent && !f.cancelled)
                .map(|(id, f)| (f.started_at, *id))
                .collect();
            young.sort_by_key(|flight| std::cmp::Reverse(*flight));
            for (_, id) in young
                .into_iter()
                .take((excess as usize).saturating_sub(called))
            {
                if let Some(flight) = self.flights.get_mut(&id) {
                    flight.cancelled = true;
                    out.push(Action::Cancel { flight: id });
                }
            }
        }
    }

    /// Hands out items while windows are open.
    pub(super) fn dispatch(&mut self, now: Duration, out: &mut Vec<Action>) {
        let open: Vec<EndpointId> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.in_flight < slot.window)
            .map(|(id, _)| *id)
            .collect();
        if open.is_empty() || self.runs.is_empty() {
            return;
        }
        let mut used = self.use_by_workspace();
        let mut open = open;
        // One item an endpoint in turn, so that all fill evenly.
        while !open.is_empty() {
            open.retain(|endpoint| {
                let started = self.start_one(now, *endpoint, &mut used, out);
                started && self.slots[endpoint].in_flight < self.slots[endpoint].window
            });
        }
    }

    fn use_by_workspace(&self) -> HashMap<Name, f64> {
        let mut used = HashMap::new();
        for flight in self.flights.values() {
            if let Some(job) = self.jobs.get(&flight.key.job) {
                *used.entry(job.view.workspace.clone()).or_default() += 1.0;
            }
        }
        used
    }

    fn start_one(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        used: &mut HashMap<Name, f64>,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(service) = self.slots.get(&endpoint).map(|slot| slot.service) else {
            return false;
        };
        // An item that was under way when an endpoint died may have killed it. One such item at a
        // time goes to an endpoint, so that a second death tells which one it was.
        let suspects = !self
            .flights
            .values()
            .any(|f| f.endpoint == endpoint && f.suspect);
        let Some(key) = self.next_chunk(now, service, suspects, used) else {
            return false;
        };
        let Some(run) = self.runs.get_mut(&key) else {
            return false;
        };
        let Some(item) = run.take(service, suspects) else {
            return false;
        };
        let flight = InFlightAttempt {
            key: key.clone(),
            run: run.id,
            item,
            endpoint,
            idempotent: run.idempotent(item),
            suspect: run.suspect(item),
            started_at: now,
            cancelled: false,
        };
        let id = self.next_flight;
        self.next_flight += 1;
        out.push(Action::Start {
            flight: id,
            epoch: run.epoch(),
            key,
            item,
            endpoint,
        });
        if let Some(job) = self.jobs.get(&flight.key.job) {
            *used.entry(job.view.workspace.clone()).or_default() += 1.0;
        }
        self.flights.insert(id, flight);
        if let Some(slot) = self.slots.get_mut(&endpoint) {
            slot.in_flight += 1;
        }
        true
    }

    /// The chunk to serve next: jobs near their deadline first, then the workspace furthest below
    /// its share, then the earliest deadline.
    fn next_chunk(
        &self,
        now: Duration,
        service: ServiceId,
        suspects: bool,
        used: &HashMap<Name, f64>,
    ) -> Option<ChunkKey> {
        let rank = |key: &ChunkKey| {
            let job = self.jobs.get(&key.job)?;
            let deadline = job.view.deadline;
            if now + URGENT >= deadline {
                return Some((0.0, deadline));
            }
            let share = self
                .shares
                .get(&job.view.workspace)
                .copied()
                .unwrap_or(SHARE_DEFAULT);
            let used = used.get(&job.view.workspace).copied().unwrap_or(0.0);
            Some(((used + 1.0) / share.max(f64::EPSILON), deadline))
        };
        self.runs
            .iter()
            .filter(|(_, run)| run.has_ready(service, suspects))
            .filter_map(|(key, _)| Some((rank(key)?, key)))
            .min_by(|((a, a_by), a_key), ((b, b_by), b_key)| {
                a.total_cmp(b).then(a_by.cmp(b_by)).then(a_key.cmp(b_key))
            })
            .map(|(_, key)| key.clone())
    }
}
