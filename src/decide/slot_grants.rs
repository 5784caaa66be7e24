//! Whose free slots are whose, when several VMs have items that wait.
//!
//! The failure: every VM sees the same slot free and starts an item there. All but one are too many and
//! are taken back at once, and so on as long as items wait: items ran four times on average, and a
//! third of what reached the engines was turned away. So each free slot is one VM's, worked out alike
//! by all of them from how many items wait at each.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::{weight, DomainId, EndpointId, VmId};

/// A start counts as the others' news for so long: until they have heard of it, also in other failure
/// domains. Until then their view has the slot as free and the item as waiting.
pub const START_UNSEEN_TIME: Duration = Duration::from_millis(400);

/// A VM with items that wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompetingVm {
    pub vm: VmId,
    pub domain: DomainId,
    /// Items that wait there.
    pub items: u32,
}

/// An endpoint, and the failure domain that it is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointPlace {
    pub id: EndpointId,
    pub domain: DomainId,
}

/// The turns of one VM.
#[derive(Debug, Default, Clone)]
pub struct SlotGrants {
    /// Starts that the others may not have heard of.
    started: HashMap<EndpointId, Vec<Duration>>,
}

impl SlotGrants {
    /// Whether this VM may take one of `free` slots.
    ///
    /// Its part of them is worked out as the others see it: as if what it has just started were still
    /// waiting. A VM with half of all items takes half of the slots, at once; with one slot a VM and
    /// round, 53 slots stood free beside 20 items in a pause between bursts, and items in time were
    /// fewer by 3 to 8 in 100.
    pub fn may_start(
        &self,
        now: Duration,
        endpoint: EndpointPlace,
        free: u32,
        own: CompetingVm,
        others: &[CompetingVm],
    ) -> bool {
        if others.is_empty() {
            return free > 0;
        }
        let recent = |starts: &Vec<Duration>| count_recent(now, starts);
        let here = self.started.get(&endpoint.id).map_or(0, recent);
        let everywhere: u32 = self.started.values().map(recent).sum();
        let told = CompetingVm {
            items: own.items + everywhere,
            ..own
        };
        here < slot_share(endpoint, free + here, told, others)
    }

    /// Notes a start.
    pub fn started(&mut self, now: Duration, endpoint: EndpointId) {
        self.started.retain(|_, starts| {
            starts.retain(|at| now < *at + START_UNSEEN_TIME);
            !starts.is_empty()
        });
        self.started.entry(endpoint).or_default().push(now);
    }
}

fn count_recent(now: Duration, starts: &[Duration]) -> u32 {
    starts
        .iter()
        .filter(|at| now < **at + START_UNSEEN_TIME)
        .count() as u32
}

/// How many of an endpoint's free slots are `own`'s.
///
/// The VMs of its failure domain come first, since they hear of each other's starts a few times sooner;
/// what they have no items for is divided among the others.
pub fn slot_share(
    endpoint: EndpointPlace,
    free: u32,
    own: CompetingVm,
    others: &[CompetingVm],
) -> u32 {
    let is_near = |rival: &CompetingVm| rival.domain == endpoint.domain;
    let near: u32 = others
        .iter()
        .filter(|rival| is_near(rival))
        .map(|rival| rival.items)
        .sum();
    let peers = others
        .iter()
        .filter(|rival| is_near(rival) == is_near(&own));
    if !is_near(&own) {
        return divided(endpoint.id, free.saturating_sub(near), own, peers);
    }
    match near + own.items <= free {
        true => own.items,
        false => divided(endpoint.id, free, own, peers),
    }
}

/// `own`'s part of slots that are divided in proportion to items.
///
/// The VMs stand in a row, ranked anew for each endpoint, each as long as its items; the slots lie
/// evenly along it, and each belongs to whoever stands there. VMs of one failure domain stand together, so
/// that one that knows another failure domain as a whole only has the same place as one that knows all.
fn divided<'a>(
    endpoint: EndpointId,
    free: u32,
    own: CompetingVm,
    others: impl Iterator<Item = &'a CompetingVm>,
) -> u32 {
    let place = |of: &CompetingVm| {
        let domain = (weight(endpoint, of.domain), of.domain);
        (domain, weight(endpoint, of.vm), of.vm)
    };
    let (mut ahead, mut all) = (0, u64::from(own.items));
    for rival in others {
        all += u64::from(rival.items);
        if place(rival) > place(&own) {
            ahead += u64::from(rival.items);
        }
    }
    if all == 0 {
        return 0;
    }
    // Slots whose middle lies before a point of the row, in halves of a slot to stay exact.
    let before = |point: u64| (2 * point * u64::from(free) + all - 1) / (2 * all);
    let (start, end) = (ahead, ahead + u64::from(own.items));
    (before(end) - before(start)) as u32
}
