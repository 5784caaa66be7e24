//! Heartbeats between the VMs of a simulated fleet.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;

use super::{Fleet, Vm};
use crate::decide::usage::EndpointUse;
use crate::id::{DomainId, EndpointId, VmId};

/// A heartbeat: the endpoint uses of a VM, and its waiting items.
pub(super) struct Heartbeat {
    from: VmId,
    domain: DomainId,
    uses: Vec<(EndpointId, EndpointUse)>,
    waiting: u32,
}

impl Fleet<'_> {
    /// Sends the heartbeats of a VM that are due.
    pub(super) fn send_heartbeats(&mut self, at: usize) {
        let (now, spec) = (self.now, self.spec);
        let vm = &mut self.vms[at];
        let local_due = vm.changed && now >= vm.local_heartbeat_at;
        let remote_due = now >= vm.remote_heartbeat_at;
        if !local_due && !remote_due {
            return;
        }
        let heartbeat = Rc::new(heartbeat(vm, now));
        vm.changed = false;
        vm.local_heartbeat_at = now + spec.local_interval;
        if remote_due {
            vm.remote_heartbeat_at = now + spec.remote_interval;
        }
        let domain = vm.domain;
        for to in 0..self.vms.len() {
            let is_target = to != at && (remote_due || self.vms[to].domain == domain);
            if is_target && self.rng.random::<f64>() >= spec.loss {
                self.heartbeats
                    .push((now + spec.delay, to, heartbeat.clone()));
            }
        }
    }

    pub(super) fn deliver_heartbeats(&mut self) {
        let now = self.now;
        let due = |(at, ..): &mut (Duration, usize, Rc<Heartbeat>)| *at <= now;
        let due: Vec<_> = self.heartbeats.extract_if(.., due).collect();
        for (_, to, heartbeat) in due {
            let vm = &mut self.vms[to];
            let touched =
                vm.usage
                    .apply_report(now, heartbeat.from, heartbeat.uses.iter().cloned());
            let endpoints = &mut vm.online.endpoints;
            vm.plan_now |= vm
                .items
                .update_usage_at(now, endpoints, &vm.usage, &touched);
            match heartbeat.waiting {
                0 => vm.waiting.remove(&heartbeat.from),
                items => vm.waiting.insert(heartbeat.from, (heartbeat.domain, items)),
            };
        }
    }
}

fn heartbeat(vm: &Vm, now: Duration) -> Heartbeat {
    let placed = vm.items.by_endpoint(now);
    let rows = vm.online.endpoints.rows.iter().map(|row| {
        let here = placed.get(&row.id).copied().unwrap_or_default();
        let uses = EndpointUse {
            online: row.online_here as u16,
            batch: here.batch as u16,
            urgent: here.urgent as u16,
        };
        (row.id, uses)
    });
    Heartbeat {
        from: vm.id,
        domain: vm.domain,
        uses: rows
            .filter(|(_, uses)| *uses != EndpointUse::default())
            .collect(),
        waiting: vm.items.waiting_count() as u32,
    }
}
