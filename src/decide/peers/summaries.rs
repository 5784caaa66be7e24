//! Chooses the delegates of failure domains, and the targets of heartbeats and summaries.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::delegates::{
    delegate_order, rounds_per_remote_summary, Candidate, DELEGATES_PER_DOMAIN,
    ROUNDS_PER_MESH_SUMMARY,
};
use super::domain_usage::{DomainUsage, EndpointUses};
use super::messages::{Heartbeat, Summary};
use super::summary_round::SummaryRound;
use super::{LocalVm, Peer, Peers, PEER_TIMEOUT};
use crate::decide::backlog::RouteKey;
use crate::decide::endpoints::EndpointLoad;
use crate::decide::quota::DomainCounts;
use crate::decide::usage::{RemoteUse, Usage};
use crate::id::{self, ranked, DomainId, EndpointId, OwnerId, Revision, VmId};

/// Totals of a failure domain, from the heartbeats that its delegate received.
#[derive(Debug, Clone, PartialEq)]
pub struct DomainTotals {
    pub jobs: Revision,
    pub backlog: Vec<(RouteKey, u64)>,
    pub unregistered: Vec<OwnerId>,
    pub draining_vms: Vec<VmId>,
    /// VMs with waiting items, those with the most first.
    pub competing_vms: Vec<(VmId, u32)>,
}

impl Peers {
    /// Delegates of a failure domain: the first VMs in order that are alive as delegates, or have
    /// been expected to be for less than [`PEER_TIMEOUT`].
    ///
    /// Without this, when both delegates die at once, no VM of the domain would receive anything
    /// until their registrations lapse after 3 s. The next ones in order take over after a second
    /// and a half of silence.
    pub(super) fn choose_delegates(
        &mut self,
        now: Duration,
        domain: DomainId,
        local: Option<LocalVm>,
    ) -> Vec<VmId> {
        let rows = self.rows.iter().filter(|(vm, peer)| {
            // Living delegates stay when registrations lapse in an outage of the store.
            let available = peer.registered || self.domains.is_delegate_alive(now, **vm);
            available
                && peer.domain == domain
                && !peer.draining
                && !self.domains.is_draining(now, **vm)
        });
        let others = rows.map(|(vm, peer)| Candidate {
            vm: *vm,
            core_share: peer.core_share,
        });
        let local = local.map(|local| Candidate {
            vm: local.vm,
            core_share: local.core_share,
        });
        let order = delegate_order(domain, others.chain(local));
        let local = local.map(|local| local.vm);
        let presumed_alive = order
            .into_iter()
            .filter(|vm| Some(*vm) == local || self.is_presumed_alive(now, *vm));
        presumed_alive.take(DELEGATES_PER_DOMAIN).collect()
    }

    fn is_presumed_alive(&mut self, now: Duration, vm: VmId) -> bool {
        if self.domains.was_delegate(vm) {
            return self.domains.is_delegate_alive(now, vm);
        }
        let since = *self.delegate_expected_since.entry(vm).or_insert(now);
        now < since + PEER_TIMEOUT
    }

    /// Where heartbeats go: to the VMs of the local failure domain (`to_local_domain`), or to those
    /// of the others and the configured addresses whose VMs are not known yet; in a large fleet to
    /// the delegates.
    pub fn heartbeat_targets(
        &self,
        local_domain: DomainId,
        to_local_domain: bool,
    ) -> Vec<SocketAddr> {
        let rows = self.rows.values();
        let large = self.is_large();
        if large && !(to_local_domain && self.is_domain_meshed(local_domain)) {
            return match to_local_domain {
                true => self.addresses(&self.delegates),
                false => Vec::new(),
            };
        }
        let known = rows
            .clone()
            .filter(|peer| (peer.domain == local_domain) == to_local_domain);
        let mut targets: Vec<SocketAddr> = known.map(|peer| peer.gossip_address).collect();
        if !to_local_domain {
            let unknown = |seed: &&SocketAddr| !rows.clone().any(|p| p.gossip_address == **seed);
            targets.extend(self.seeds.iter().filter(unknown));
        }
        targets
    }

    /// Gossip addresses of VMs; this VM and unknown ones are left out.
    pub fn addresses(&self, vms: &[VmId]) -> Vec<SocketAddr> {
        let rows = vms.iter().filter_map(|vm| self.rows.get(vm));
        rows.map(|peer| peer.gossip_address).collect()
    }

    /// VMs that aggregate the reports on a key: the first one in order of the whole fleet, and the
    /// first one of the local failure domain, since the domain may be cut off.
    pub fn aggregators(
        &self,
        now: Duration,
        (local_vm, local_domain): (VmId, DomainId),
        key: u64,
    ) -> Vec<VmId> {
        let rows = self.rows.iter();
        let accepting = rows.filter(|(vm, peer)| self.accepts_work(now, **vm, peer));
        let accepting: Vec<(VmId, DomainId)> =
            accepting.map(|(vm, peer)| (*vm, peer.domain)).collect();
        let all = accepting.iter().map(|(vm, _)| *vm).chain([local_vm]);
        let domain_vms = accepting
            .iter()
            .filter(|(_, domain)| *domain == local_domain);
        let domain_vms = domain_vms.map(|(vm, _)| *vm).chain([local_vm]);
        let mut aggregators = ranked(key, all);
        aggregators.truncate(1);
        aggregators.extend(ranked(key, domain_vms).first());
        aggregators.dedup();
        aggregators
    }

    /// VMs of a failure domain that understand load reports.
    pub fn load_report_members(&self, domain: DomainId) -> Vec<(VmId, SocketAddr)> {
        let rows = self.rows.iter().filter(|(_, peer)| peer.domain == domain);
        let taking = rows.filter(|(_, peer)| peer.takes_load_reports);
        taking
            .map(|(vm, peer)| (*vm, peer.gossip_address))
            .collect()
    }

    /// Those of `targets` that understand load reports.
    pub fn load_report_targets(&self, targets: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let rows = self.rows.values().filter(|peer| peer.takes_load_reports);
        let taking: HashSet<SocketAddr> = rows.map(|peer| peer.gossip_address).collect();
        let targets = targets.into_iter();
        targets.filter(|to| taking.contains(to)).collect()
    }

    /// Gossip addresses of all known VMs but this one.
    pub fn all_addresses(&self) -> Vec<SocketAddr> {
        let rows = self.rows.values();
        rows.map(|peer| peer.gossip_address).collect()
    }

    /// Recipients of a delegate's summaries in its failure domain. They include the other
    /// delegates, which see from them that it is alive.
    pub fn domain_peers(&self, domain: DomainId) -> Vec<(VmId, SocketAddr)> {
        let rows = self.rows.iter().filter(|(_, peer)| peer.domain == domain);
        rows.map(|(vm, peer)| (*vm, peer.gossip_address)).collect()
    }

    /// Number of other VMs of a failure domain.
    pub fn domain_peer_count(&self, domain: DomainId) -> u32 {
        let rows = self.rows.values();
        rows.filter(|peer| peer.domain == domain).count() as u32
    }

    /// The processes of the other VMs of a failure domain.
    pub fn domain_owners(&self, domain: DomainId) -> Vec<(VmId, OwnerId)> {
        let rows = self.rows.iter().filter(|(_, peer)| peer.domain == domain);
        rows.map(|(vm, peer)| (*vm, peer.owner)).collect()
    }

    /// Whether a delegate sends summaries to its failure domain in this round.
    pub fn is_domain_round(&self, round: u64, domain: DomainId) -> bool {
        !self.is_domain_meshed(domain) || round.is_multiple_of(ROUNDS_PER_MESH_SUMMARY)
    }

    /// Whether a delegate sends summaries to the other failure domains in this round.
    pub fn is_remote_round(&self, round: u64) -> bool {
        let others = self.remote_delegates.len().div_ceil(DELEGATES_PER_DOMAIN);
        round.is_multiple_of(rounds_per_remote_summary(others + 1))
    }

    /// Recipients of a delegate's summaries in the other failure domains.
    pub fn remote_delegate_addresses(&self) -> Vec<SocketAddr> {
        let vms: Vec<VmId> = self.remote_delegates.iter().map(|(_, vm)| *vm).collect();
        self.addresses(&vms)
    }

    /// Whether a VM forwards a summary of another failure domain: the first local delegate forwards
    /// those of the first remote one, the second those of the second, so that each summary arrives
    /// once.
    pub fn forwards_summary(&self, local_vm: VmId, summary: &Summary) -> bool {
        self.forwards_from(local_vm, summary.delegate)
    }

    /// Like [`Peers::forwards_summary`], for any message of a remote delegate to all VMs.
    pub fn forwards_from(&self, local_vm: VmId, delegate: VmId) -> bool {
        let rank = self.delegates.iter().position(|vm| *vm == local_vm);
        let sender = self.remote_delegates.iter().find(|(_, vm)| *vm == delegate);
        // The first delegate forwards those of a sender that is no delegate in this VM's view.
        rank.is_some_and(|rank| rank == sender.map_or(0, |(rank, _)| *rank))
    }

    /// This delegate's summary round; `heartbeat` is its own.
    pub fn summary_round(
        &self,
        now: Duration,
        heartbeat: &Heartbeat,
        peer_address: SocketAddr,
        usage: &Usage,
        counts: DomainCounts,
        load_of: impl Fn(EndpointId) -> Option<EndpointLoad>,
    ) -> SummaryRound {
        let local_uses = heartbeat.rows.iter();
        let local_uses: EndpointUses = local_uses
            .map(|row| (row.endpoint, RemoteUse::from_use(&row.uses)))
            .collect();
        let peers = self.domain_peers(heartbeat.domain).into_iter();
        let reported = peers.map(|(vm, _)| (vm, usage.uses_of_vm(vm)));
        let uses = DomainUsage::new(reported.chain([(id::of(&heartbeat.name), local_uses)]));
        let totals = self.domain_totals(now, heartbeat.domain, heartbeat);
        SummaryRound::new(heartbeat, peer_address, totals, uses, counts, load_of)
    }

    /// Totals of the VMs of the failure domain, for a summary; `heartbeat` is this delegate's.
    fn domain_totals(
        &self,
        now: Duration,
        domain: DomainId,
        heartbeat: &Heartbeat,
    ) -> DomainTotals {
        let rows = self.rows.iter().filter(|(_, peer)| peer.domain == domain);
        let living: Vec<(&VmId, &Peer)> = rows.filter(|(_, peer)| peer.is_alive(now)).collect();
        let peers = || living.iter().map(|(_, peer)| *peer);
        let local_vm = id::of(&heartbeat.name);
        let mut backlog: HashMap<RouteKey, u64> = HashMap::new();
        for (route, tokens) in peers()
            .flat_map(|peer| &peer.backlog)
            .chain(&heartbeat.backlog)
        {
            *backlog.entry(*route).or_default() += tokens;
        }
        // A VM that stops starts no items.
        let waiting = living.iter().filter(|(_, peer)| !peer.draining);
        let waiting = waiting.map(|(vm, peer)| (**vm, peer.waiting));
        let own = Some((local_vm, heartbeat.waiting)).filter(|_| !heartbeat.draining);
        let waiting = waiting.chain(own);
        let mut competing_vms: Vec<_> = waiting.filter(|(_, items)| *items > 0).collect();
        competing_vms.sort_by_key(|(_, items)| std::cmp::Reverse(*items));
        let draining = living.iter().filter(|(_, peer)| peer.draining);
        let draining = draining.map(|(vm, _)| **vm);
        DomainTotals {
            jobs: peers()
                .map(|peer| peer.jobs)
                .max()
                .unwrap_or(0)
                .max(heartbeat.jobs),
            backlog: backlog.into_iter().collect(),
            unregistered: peers()
                .filter(|peer| !peer.registered)
                .map(|peer| peer.owner)
                .collect(),
            draining_vms: draining
                .chain(heartbeat.draining.then_some(local_vm))
                .collect(),
            competing_vms,
        }
    }
}
