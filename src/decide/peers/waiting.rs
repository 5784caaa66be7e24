//! Work that waits at the other VMs.

use std::time::Duration;

use super::Peers;
use crate::decide::backlog::RouteKey;
use crate::decide::slot_grants::CompetingVm;
use crate::id::{DomainId, OwnerId, VmId};

impl Peers {
    /// Living VMs with batch items that wait for a slot. A remote failure domain counts as one VM
    /// if only its delegate reports it.
    pub fn competing_vms(&self, now: Duration, home: DomainId, own: VmId) -> Vec<CompetingVm> {
        let rows = self.rows.iter();
        let heard =
            rows.filter(|(_, peer)| peer.is_alive(now) && peer.waiting > 0 && !peer.draining);
        let heard = heard.map(|(vm, peer)| CompetingVm {
            vm: *vm,
            domain: peer.domain,
            items: peer.waiting,
        });
        if !self.is_large() {
            return heard.collect();
        }
        let mut rivals: Vec<CompetingVm> = match self.receives_domain_heartbeats(own, home) {
            true => heard.filter(|rival| rival.domain == home).collect(),
            false => self.reported_competing_vms(now, home),
        };
        let far = self
            .domains
            .living(now)
            .filter(|(domain, _)| *domain != home);
        let far = far.filter(|(_, told)| told.waiting > 0);
        rivals.extend(far.map(|(domain, told)| CompetingVm {
            vm: domain,
            domain,
            items: told.waiting,
        }));
        rivals
    }

    /// VMs of a failure domain with waiting items, as its delegate reports.
    fn reported_competing_vms(&self, now: Duration, domain: DomainId) -> Vec<CompetingVm> {
        let told = self.domains.status(now, domain);
        let rivals = told.map_or(&[][..], |told| &told.competing_vms).iter();
        let rival = |(vm, items): &(VmId, u32)| CompetingVm {
            vm: *vm,
            domain,
            items: *items,
        };
        rivals.map(rival).collect()
    }

    /// Whether waiting work of the process with this owner id is reported, by itself or by its
    /// delegate.
    pub fn reports_waiting(&self, now: Duration, owner: OwnerId) -> bool {
        let mut rows = self.rows.values();
        let peer = rows.find(|peer| peer.owner == owner);
        peer.is_some_and(|peer| {
            let summed = self.is_large() && self.domains.status(now, peer.domain).is_some();
            peer.is_alive(now) || (summed && peer.registered)
        })
    }

    /// Tokens that wait on a route at the other living VMs, as last reported.
    pub fn backlog(&self, now: Duration, route: RouteKey, home: DomainId, own: VmId) -> u64 {
        let living = self.rows.values().filter(|peer| peer.is_alive(now));
        let heard = living.flat_map(|peer| &peer.backlog);
        let heard_home = self.receives_domain_heartbeats(own, home);
        let told = self.domains.living(now);
        let told = told.filter(|(domain, _)| *domain != home || !heard_home);
        let told = told.flat_map(|(_, told)| &told.backlog);
        heard
            .chain(told)
            .filter(|(of, _)| *of == route)
            .map(|(_, tokens)| tokens)
            .sum()
    }
}
