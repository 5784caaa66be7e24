//! Divides free slots among VMs that have waiting items.
//!
//! Each free slot is granted to one VM. All VMs compute the same division from the number of items
//! that wait at each of them. Otherwise every VM would see the same free slot and start an item
//! there, and all but one would have to be preempted at once, over and over: items ran four times
//! on average, and the engines refused a third of the requests that reached them.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::{weight, DomainId, EndpointId, VmId};

/// Time until other VMs, also in other failure domains, have received that an item started here.
/// Until then they count the slot as free and the item as waiting.
pub const START_UNSEEN_TIME: Duration = Duration::from_millis(400);

/// A VM with waiting items.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompetingVm {
    pub vm: VmId,
    pub domain: DomainId,
    /// Number of items that wait there.
    pub items: u32,
}

/// An endpoint and its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointPlace {
    pub id: EndpointId,
    pub domain: DomainId,
}

/// Slot grants of one VM.
#[derive(Debug, Default, Clone)]
pub struct SlotGrants {
    /// Starts that other VMs may not have received yet.
    recent_starts: HashMap<EndpointId, Vec<Duration>>,
}

impl SlotGrants {
    /// Whether this VM may take one of `free` slots.
    ///
    /// Its share is computed as the other VMs see it: as if the items it has just started were
    /// still waiting. A VM with half of all items takes half of the slots at once. With only one
    /// slot per VM and round, 53 slots were free beside 20 waiting items in a pause between bursts,
    /// and items in time were fewer by 3 to 8 in 100.
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
        let unseen = |starts: &Vec<Duration>| count_unseen(now, starts);
        let here = self.recent_starts.get(&endpoint.id).map_or(0, unseen);
        let everywhere: u32 = self.recent_starts.values().map(unseen).sum();
        let as_seen_by_others = CompetingVm {
            items: own.items + everywhere,
            ..own
        };
        here < slot_share(endpoint, free + here, as_seen_by_others, others)
    }

    /// Whether other VMs may not have received a start at an endpoint yet.
    pub fn has_unseen_start(&self, now: Duration, endpoint: EndpointId) -> bool {
        let starts = self.recent_starts.get(&endpoint);
        starts.is_some_and(|starts| count_unseen(now, starts) > 0)
    }

    /// Records a start.
    pub fn record_start(&mut self, now: Duration, endpoint: EndpointId) {
        self.recent_starts.retain(|_, starts| {
            starts.retain(|at| now < *at + START_UNSEEN_TIME);
            !starts.is_empty()
        });
        self.recent_starts.entry(endpoint).or_default().push(now);
    }

    /// Takes back a start at a time: nothing was sent.
    pub fn withdraw_start(&mut self, at: Duration, endpoint: EndpointId) {
        let Some(starts) = self.recent_starts.get_mut(&endpoint) else {
            return;
        };
        if let Some(found) = starts.iter().position(|start| *start == at) {
            starts.swap_remove(found);
        }
    }
}

fn count_unseen(now: Duration, starts: &[Duration]) -> u32 {
    starts
        .iter()
        .filter(|at| now < **at + START_UNSEEN_TIME)
        .count() as u32
}

/// Number of an endpoint's free slots that are granted to `own`.
///
/// VMs in the endpoint's failure domain come first, since they receive each other's starts several
/// times sooner; slots for which they have no items are divided among the others.
pub fn slot_share(
    endpoint: EndpointPlace,
    free: u32,
    own: CompetingVm,
    others: &[CompetingVm],
) -> u32 {
    let in_endpoint_domain = |other: &CompetingVm| other.domain == endpoint.domain;
    let endpoint_domain_items: u32 = others
        .iter()
        .filter(|other| in_endpoint_domain(other))
        .map(|other| other.items)
        .sum();
    let competitors = others
        .iter()
        .filter(|other| in_endpoint_domain(other) == in_endpoint_domain(&own));
    if !in_endpoint_domain(&own) {
        return proportional_share(
            endpoint.id,
            free.saturating_sub(endpoint_domain_items),
            own,
            competitors,
        );
    }
    match endpoint_domain_items + own.items <= free {
        true => own.items,
        false => proportional_share(endpoint.id, free, own, competitors),
    }
}

/// `own`'s share of slots that are divided in proportion to items.
///
/// The VMs are arranged along a line, ranked separately for each endpoint, each with a segment as
/// long as its items. The slots are spaced evenly along the line, and each belongs to the VM of its
/// segment. VMs of one failure domain are adjacent, so that a VM that sees another failure domain
/// only as a whole computes the same position as a VM that sees all VMs.
fn proportional_share<'a>(
    endpoint: EndpointId,
    free: u32,
    own: CompetingVm,
    others: impl Iterator<Item = &'a CompetingVm>,
) -> u32 {
    let rank = |of: &CompetingVm| {
        let domain = (weight(endpoint, of.domain), of.domain);
        (domain, weight(endpoint, of.vm), of.vm)
    };
    let (mut items_before, mut items_total) = (0, u64::from(own.items));
    for other in others {
        items_total += u64::from(other.items);
        if rank(other) > rank(&own) {
            items_before += u64::from(other.items);
        }
    }
    if items_total == 0 {
        return 0;
    }
    // Number of slots whose middle lies before a point of the line; in half slots, to stay exact.
    let slots_before =
        |point: u64| (2 * point * u64::from(free) + items_total - 1) / (2 * items_total);
    let (start, end) = (items_before, items_before + u64::from(own.items));
    (slots_before(end) - slots_before(start)) as u32
}
