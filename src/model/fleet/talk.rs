//! Heartbeats between the VMs of a simulated fleet.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;

use super::{Fleet, Vm};
use crate::decide::usage::EndpointUse;
use crate::id::{DomainId, EndpointId, VmId};

/// A heartbeat: the endpoint uses of a VM, and its waiting items.
pub(super) struct Beat {
    from: VmId,
    domain: DomainId,
    uses: Vec<(EndpointId, EndpointUse)>,
    waiting: u32,
}

impl Fleet<'_> {
    /// Sends the heartbeats of a VM that are due.
    pub(super) fn tell(&mut self, at: usize) {
        let (now, plan) = (self.now, self.plan);
        let vm = &mut self.vms[at];
        let near = vm.changed && now >= vm.near_at;
        let far = now >= vm.far_at;
        if !near && !far {
            return;
        }
        let beat = Rc::new(beat(vm, now));
        vm.changed = false;
        vm.near_at = now + plan.near;
        if far {
            vm.far_at = now + plan.far;
        }
        let domain = vm.domain;
        for to in 0..self.vms.len() {
            let heard = to != at && (far || self.vms[to].domain == domain);
            if heard && self.rng.random::<f64>() >= plan.loss {
                self.beats.push((now + plan.delay, to, beat.clone()));
            }
        }
    }

    pub(super) fn hear(&mut self) {
        let now = self.now;
        let due = |(at, ..): &mut (Duration, usize, Rc<Beat>)| *at <= now;
        let due: Vec<_> = self.beats.extract_if(.., due).collect();
        for (_, to, beat) in due {
            let vm = &mut self.vms[to];
            let touched = vm
                .usage
                .apply_report(now, beat.from, beat.uses.iter().cloned());
            let endpoints = &mut vm.online.endpoints;
            vm.plan_now |= vm.items.note_uses_at(now, endpoints, &vm.usage, &touched);
            match beat.waiting {
                0 => vm.waiting.remove(&beat.from),
                items => vm.waiting.insert(beat.from, (beat.domain, items)),
            };
        }
    }
}

fn beat(vm: &Vm, now: Duration) -> Beat {
    let placed = vm.items.placed(now);
    let rows = vm.online.endpoints.rows.iter().map(|row| {
        let here = placed.get(&row.id).copied().unwrap_or_default();
        let uses = EndpointUse {
            online: row.online_here as u16,
            batch: here.batch as u16,
            urgent: here.urgent as u16,
        };
        (row.id, uses)
    });
    Beat {
        from: vm.id,
        domain: vm.domain,
        uses: rows
            .filter(|(_, one)| *one != EndpointUse::default())
            .collect(),
        waiting: vm.items.waiting() as u32,
    }
}
