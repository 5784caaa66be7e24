//! Runs admission by capacity, where the settings call for it.

use std::time::Duration;

use super::node::{Core, Node};
use crate::decide::admission::{FleetLoad, ShortageChange};
use crate::id::ServiceId;

/// Updates this VM's limits while services are short, and drops them when admission by capacity is
/// off or the fleet is too small for it.
pub fn tick(node: &Node, core: &mut Core, now: Duration) {
    if !is_enabled(node, core, now) {
        core.admission.clear(&mut core.online);
        return;
    }
    let others = core.load_reports.sums(|_| true);
    let vms = core.peers.expected_vms(now) + 1;
    let fleet = FleetLoad {
        vms,
        is_cut_off: core.peers.is_cut_off(now),
        knows_subset: !core.discovery.holds_all(),
        reporting_vms: others.vms,
        ..FleetLoad::default()
    };
    let of_service = |service: ServiceId| {
        let load = others.services.get(&service);
        FleetLoad {
            arrivals: load.map_or(0, |load| load.arrivals),
            waiting: load.map_or(0, |load| load.waiting),
            ..fleet
        }
    };
    let admission = &mut core.admission;
    for change in admission.tick(now, node.vm, &mut core.online, of_service) {
        report_change(node, &change);
    }
    let shortages = core.admission.shortages();
    let short = shortages.iter().filter(|row| row.short_since.is_some());
    node.counters.short_services.set(short.count() as f64);
}

fn is_enabled(node: &Node, core: &Core, now: Duration) -> bool {
    let vms = core.peers.expected_vms(now) + 1;
    node.settings.overload.admits_by_capacity(vms)
}

fn report_change(node: &Node, change: &ShortageChange) {
    let shortage = &change.shortage;
    let (service, in_flight) = (shortage.service, shortage.in_flight);
    let (capacity, part) = (shortage.capacity_slots, shortage.part_slots);
    match change.ended_after {
        None => {
            node.counters.shortages.inc();
            log::info!(service, capacity, in_flight, part; "the service is short of slots");
        }
        Some(length) => {
            let length_ms = length.as_millis() as u64;
            log::info!(
                service, capacity, in_flight, part, length_ms;
                "the service is no longer short of slots"
            );
        }
    }
}
