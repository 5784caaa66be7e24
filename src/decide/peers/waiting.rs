//! Work that waits at the other VMs.

use std::time::Duration;

use super::Peers;
use crate::decide::backlog::RouteKey;
use crate::decide::slot_grants::CompetingVm;
use crate::id::{DomainId, OwnerId, VmId};

impl Peers {
    /// Living VMs with batch items that wait for a slot. A remote failure domain counts as one VM
    /// if only its delegate reports it.
    pub fn competing_vms(
        &self,
        now: Duration,
        local_domain: DomainId,
        local_vm: VmId,
    ) -> Vec<CompetingVm> {
        let rows = self.rows.iter();
        let living =
            rows.filter(|(_, peer)| peer.is_alive(now) && peer.waiting > 0 && !peer.draining);
        let living = living.map(|(vm, peer)| CompetingVm {
            vm: *vm,
            domain: peer.domain,
            items: peer.waiting,
        });
        if !self.is_large() {
            return living.collect();
        }
        let mut competing: Vec<CompetingVm> =
            match self.receives_domain_heartbeats(local_vm, local_domain) {
                true => living
                    .filter(|other| other.domain == local_domain)
                    .collect(),
                false => self.reported_competing_vms(now, local_domain),
            };
        let remote = self
            .domains
            .living(now)
            .filter(|(domain, _)| *domain != local_domain);
        let remote = remote.filter(|(_, status)| status.waiting > 0);
        competing.extend(remote.map(|(domain, status)| CompetingVm {
            vm: domain,
            domain,
            items: status.waiting,
        }));
        competing
    }

    /// VMs of a failure domain with waiting items, as its delegate reports.
    fn reported_competing_vms(&self, now: Duration, domain: DomainId) -> Vec<CompetingVm> {
        let status = self.domains.status(now, domain);
        let competing = status
            .map_or(&[][..], |status| &status.competing_vms)
            .iter();
        let competing_vm = |(vm, items): &(VmId, u32)| CompetingVm {
            vm: *vm,
            domain,
            items: *items,
        };
        competing.map(competing_vm).collect()
    }

    /// Whether waiting work of the process with this owner id is reported, by itself or by its
    /// delegate.
    pub fn reports_waiting(&self, now: Duration, owner: OwnerId) -> bool {
        let mut rows = self.rows.values();
        let peer = rows.find(|peer| peer.owner == owner);
        peer.is_some_and(|peer| {
            let summarized = self.is_large() && self.domains.status(now, peer.domain).is_some();
            peer.is_alive(now) || (summarized && peer.registered)
        })
    }

    /// Tokens that wait on a route at the other living VMs, as last reported.
    pub fn backlog(
        &self,
        now: Duration,
        route: RouteKey,
        local_domain: DomainId,
        local_vm: VmId,
    ) -> u64 {
        let living = self.rows.values().filter(|peer| peer.is_alive(now));
        let from_heartbeats = living.flat_map(|peer| &peer.backlog);
        let receives_heartbeats = self.receives_domain_heartbeats(local_vm, local_domain);
        let summaries = self.domains.living(now);
        let summaries =
            summaries.filter(|(domain, _)| *domain != local_domain || !receives_heartbeats);
        let summaries = summaries.flat_map(|(_, status)| &status.backlog);
        from_heartbeats
            .chain(summaries)
            .filter(|(of, _)| *of == route)
            .map(|(_, tokens)| tokens)
            .sum()
    }
}
