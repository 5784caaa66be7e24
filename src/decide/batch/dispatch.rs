//! Assigns ready items to endpoints, and preempts items when a window shrinks.

use std::collections::HashMap;
use std::time::Duration;

use super::{Action, AttemptId, Batch, ChunkKey, InFlightAttempt};
use crate::id::{EndpointId, Name, ServiceId};

/// A job with less time left than this takes precedence over workspace shares.
pub const URGENT_TIME_LEFT: Duration = Duration::from_secs(60);
const WORKSPACE_SHARE_DEFAULT: f64 = 0.05;

/// Slots of one endpoint that this VM may use for batch items.
#[derive(Debug, Clone)]
pub struct EndpointSlots {
    pub service: ServiceId,
    /// Whether the endpoint is assigned to this VM; its window may still be 0.
    pub assigned: bool,
    /// Batch items that may run there now.
    pub window: u32,
    pub in_flight: u32,
}

impl EndpointSlots {
    /// An endpoint with a closed window.
    pub fn new(service: ServiceId) -> EndpointSlots {
        EndpointSlots {
            service,
            assigned: false,
            window: 0,
            in_flight: 0,
        }
    }
}

impl Batch {
    /// Preempts items at endpoints whose window has shrunk, the most recently started first, since
    /// they lose the least work.
    pub(super) fn preempt_excess(&mut self, out: &mut Vec<Action>) {
        let over_limit: Vec<(EndpointId, u32)> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.in_flight > slot.window)
            .map(|(id, slot)| (*id, slot.in_flight - slot.window))
            .collect();
        for (endpoint, excess) in over_limit {
            let at = |attempt: &InFlightAttempt| attempt.endpoint == endpoint;
            let cancelling = self
                .attempts
                .values()
                .filter(|attempt| at(attempt) && attempt.cancelled)
                .count();
            let mut newest_first: Vec<(Duration, AttemptId)> = self
                .attempts
                .iter()
                .filter(|(_, attempt)| at(attempt) && attempt.idempotent && !attempt.cancelled)
                .map(|(id, attempt)| (attempt.started_at, *id))
                .collect();
            newest_first.sort_by_key(|attempt| std::cmp::Reverse(*attempt));
            for (_, id) in newest_first
                .into_iter()
                .take((excess as usize).saturating_sub(cancelling))
            {
                if let Some(attempt) = self.attempts.get_mut(&id) {
                    attempt.cancelled = true;
                    out.push(Action::Cancel { attempt: id });
                }
            }
        }
    }

    /// Starts items while windows are open.
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
        let mut used = self.attempts_by_workspace();
        let mut open = open;
        // One item per endpoint and pass, so that all endpoints fill evenly.
        while !open.is_empty() {
            open.retain(|endpoint| {
                let started = self.start_one(now, *endpoint, &mut used, out);
                started && self.slots[endpoint].in_flight < self.slots[endpoint].window
            });
        }
    }

    fn attempts_by_workspace(&self) -> HashMap<Name, f64> {
        let mut used = HashMap::new();
        for attempt in self.attempts.values() {
            if let Some(job) = self.jobs.get(&attempt.key.job) {
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
        // An item that was running when an endpoint died may have caused it. An endpoint gets only
        // one such item at a time, so that a second death identifies the item.
        let allow_suspect = !self
            .attempts
            .values()
            .any(|attempt| attempt.endpoint == endpoint && attempt.suspect);
        let Some(key) = self.next_chunk(now, service, allow_suspect, used) else {
            return false;
        };
        let Some(run) = self.runs.get_mut(&key) else {
            return false;
        };
        let Some(item) = run.take_ready(service, allow_suspect) else {
            return false;
        };
        let attempt = InFlightAttempt {
            key: key.clone(),
            run: run.id,
            item,
            endpoint,
            idempotent: run.is_idempotent(item),
            suspect: run.is_suspect(item),
            started_at: now,
            cancelled: false,
        };
        let id = self.next_attempt;
        self.next_attempt += 1;
        out.push(Action::Start {
            attempt: id,
            epoch: run.epoch(),
            key,
            item,
            endpoint,
        });
        if let Some(job) = self.jobs.get(&attempt.key.job) {
            *used.entry(job.view.workspace.clone()).or_default() += 1.0;
        }
        self.attempts.insert(id, attempt);
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
        allow_suspect: bool,
        used: &HashMap<Name, f64>,
    ) -> Option<ChunkKey> {
        let rank = |key: &ChunkKey| {
            let job = self.jobs.get(&key.job)?;
            let deadline = job.view.deadline;
            if now + URGENT_TIME_LEFT >= deadline {
                return Some((0.0, deadline));
            }
            let share = self
                .shares
                .get(&job.view.workspace)
                .copied()
                .unwrap_or(WORKSPACE_SHARE_DEFAULT);
            let used = used.get(&job.view.workspace).copied().unwrap_or(0.0);
            Some(((used + 1.0) / share.max(f64::EPSILON), deadline))
        };
        self.runs
            .iter()
            .filter(|(_, run)| run.has_ready(service, allow_suspect))
            .filter_map(|(key, _)| Some((rank(key)?, key)))
            .min_by(|((a, a_by), a_key), ((b, b_by), b_key)| {
                a.total_cmp(b).then(a_by.cmp(b_by)).then(a_key.cmp(b_key))
            })
            .map(|(_, key)| key.clone())
    }
}
