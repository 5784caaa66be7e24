//! Free slots that the VMs to which they are granted don't take.
//!
//! A slot grant rests on numbers of waiting items. They can't say all that keeps an item from an
//! endpoint, and a process of an earlier release reports one number for all services. A slot that
//! stays free for longer than all news takes to arrive may be taken by any VM, at the cost of a few
//! preempted items.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::id::{weight, EndpointId, VmId};

/// Time for which a slot has to be free. News of starts and of waiting items has reached all VMs by
/// then.
const UNCLAIMED_AFTER: Duration = Duration::from_secs(2);
/// Time over which the VMs' first attempts are spread, so that later ones have received the starts of
/// earlier ones.
const VM_SPREAD: Duration = Duration::from_millis(1000);
/// Time over which a VM's first attempts at different endpoints are spread, so that VMs begin with
/// different ones.
const ENDPOINT_SPREAD: Duration = Duration::from_millis(500);
/// Steps into which a spread is divided.
const SPREAD_STEPS: u64 = 1000;
/// Orders the VMs by their first attempts; any constant does.
const KEY_ATTEMPTS: u64 = 0x756e_636c_6169_6d65;

/// An endpoint's slots as this VM sees them.
#[derive(Debug, Clone, Copy)]
pub struct SlotUse {
    pub endpoint: EndpointId,
    pub free: u32,
    /// Items of other VMs that run there.
    pub batch_elsewhere: u32,
}

#[derive(Debug, Default, Clone)]
struct FreeSlots {
    /// Since when each of the free slots has been free. Invariant: sorted, and as long as there are
    /// free slots; starts take the slots that have been free for longest.
    since: VecDeque<Duration>,
    batch_elsewhere: u32,
}

impl FreeSlots {
    fn update(&mut self, now: Duration, slot_use: &SlotUse) {
        let starts = slot_use
            .batch_elsewhere
            .saturating_sub(self.batch_elsewhere) as usize;
        let free = slot_use.free as usize;
        let taken = starts.max(self.since.len().saturating_sub(free));
        self.since.drain(..taken.min(self.since.len()));
        self.since.resize(free, now);
        self.batch_elsewhere = slot_use.batch_elsewhere;
    }
}

/// Free slots by endpoint.
#[derive(Debug, Default, Clone)]
pub struct UnclaimedSlots {
    rows: HashMap<EndpointId, FreeSlots>,
}

impl UnclaimedSlots {
    /// Updates the endpoints; those that are not in `uses` are forgotten.
    pub fn update(&mut self, now: Duration, uses: impl Iterator<Item = SlotUse>) {
        let mut before = std::mem::take(&mut self.rows);
        for one in uses.filter(|one| one.free > 0) {
            let mut row = before.remove(&one.endpoint).unwrap_or_default();
            row.update(now, &one);
            self.rows.insert(one.endpoint, row);
        }
    }

    /// Whether a VM may take a free slot that is granted to another one.
    pub fn may_take(&self, now: Duration, endpoint: EndpointId, vm: VmId) -> bool {
        let oldest = self.rows.get(&endpoint).and_then(|row| row.since.front());
        let Some(since) = oldest else {
            return false;
        };
        let delay =
            delay_within(VM_SPREAD, KEY_ATTEMPTS, vm) + delay_within(ENDPOINT_SPREAD, endpoint, vm);
        now >= *since + UNCLAIMED_AFTER + delay
    }
}

/// A VM's delay for a key, evenly distributed over the VMs.
fn delay_within(spread: Duration, key: u64, vm: VmId) -> Duration {
    let step = (weight(key, vm) % SPREAD_STEPS) as u32;
    spread * step / SPREAD_STEPS as u32
}
