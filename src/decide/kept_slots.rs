//! Slots that a VM keeps for its next requests while it is at its limit.
//!
//! A VM that has no more requests in flight than its part of a service's slots still makes others
//! wait if it sends the next one to an endpoint that is full meanwhile. Counts of other VMs are
//! outdated, but an own request that has just ended has certainly left a slot, so the next one takes
//! that. Endpoints with more requests than slots lose them this way: some of the slots are given up.

use std::time::Duration;

use rand::Rng;

use super::endpoints::{Endpoint, Endpoints};
use crate::id::EndpointId;

/// Part of its limit from which a VM keeps slots.
const KEEP_FROM_RATIO: f64 = 0.8;

/// The kept slots of one service, the newest last.
#[derive(Debug, Clone, Default)]
pub struct KeptSlots {
    endpoints: Vec<EndpointId>,
}

impl KeptSlots {
    /// Whether a VM with so many requests in flight keeps slots.
    pub fn is_near_limit(in_flight: usize, limit: usize) -> bool {
        in_flight as f64 >= limit as f64 * KEEP_FROM_RATIO
    }

    /// Keeps the slot of a request that has just ended, unless it was one too many there: each of the
    /// requests at an endpoint gives up its slot with the same probability.
    pub fn keep(&mut self, now: Duration, endpoint: &Endpoint, rng: &mut impl Rng) {
        let online = f64::from(endpoint.online()) + 1.0;
        let slots = endpoint.slots(now) - f64::from(endpoint.reserved_slots);
        let excess = ((online - slots) / online).clamp(0.0, 1.0);
        if excess == 0.0 || !rng.random_bool(excess) {
            self.endpoints.push(endpoint.id);
        }
    }

    /// Takes the newest slot at a usable endpoint.
    pub fn take(&mut self, now: Duration, endpoints: &Endpoints) -> Option<EndpointId> {
        while let Some(id) = self.endpoints.pop() {
            if endpoints.get(id).is_some_and(|row| row.usable(now)) {
                return Some(id);
            }
        }
        None
    }

    /// Gives up all slots.
    pub fn clear(&mut self) {
        self.endpoints.clear();
    }
}
