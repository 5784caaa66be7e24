//! Chooses the delegates of failure domains, and the targets of heartbeats and summaries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::delegates::{
    delegate_order, rounds_per_remote_summary, Candidate, DELEGATES_PER_DOMAIN,
    ROUNDS_PER_MESH_SUMMARY,
};
use super::messages::{Heartbeat, Summary};
use super::round::SummaryRound;
use super::uses::{DomainUsage, EndpointUses};
use super::{LocalVm, Peer, Peers, PEER_TIMEOUT};
use crate::decide::backlog::RouteKey;
use crate::decide::endpoints::Endpoints;
use crate::decide::quota::DomainCounts;
use crate::decide::usage::{RemoteUse, Usage};
use crate::id::{self, ranked, DomainId, OwnerId, Revision, VmId};

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
    /// been expected to be for less than [`HEARD_LIFE`].
    ///
    /// Without this, when both delegates die at once, no VM of the domain would receive anything
    /// until their registrations lapse after 3 s. The next ones in order take over after a second
    /// and a half of silence.
    pub(super) fn choose_delegates(
        &mut self,
        now: Duration,
        domain: DomainId,
        own: Option<LocalVm>,
    ) -> Vec<VmId> {
        let rows = self.rows.iter().filter(|(vm, peer)| {
            // Living delegates stay when registrations lapse in an outage of the store.
            let here = peer.registered || self.domains.is_delegate_alive(now, **vm);
            here && peer.domain == domain && !peer.draining && !self.domains.is_draining(now, **vm)
        });
        let others = rows.map(|(vm, peer)| Candidate {
            vm: *vm,
            core_share: peer.core_share,
        });
        let own = own.map(|own| Candidate {
            vm: own.vm,
            core_share: own.core_share,
        });
        let order = delegate_order(domain, others.chain(own));
        let own = own.map(|own| own.vm);
        let trusted = order
            .into_iter()
            .filter(|vm| Some(*vm) == own || self.is_presumed_alive(now, *vm));
        trusted.take(DELEGATES_PER_DOMAIN).collect()
    }

    fn is_presumed_alive(&mut self, now: Duration, vm: VmId) -> bool {
        if self.domains.was_delegate(vm) {
            return self.domains.is_delegate_alive(now, vm);
        }
        let since = *self.delegate_expected_since.entry(vm).or_insert(now);
        now < since + PEER_TIMEOUT
    }

    /// Where heartbeats go: to the VMs of the local failure domain (`near`), or to those of the
    /// others and the configured addresses whose VMs are not known yet; in a large fleet to the
    /// delegates.
    pub fn heartbeat_targets(&self, home: DomainId, near: bool) -> Vec<SocketAddr> {
        let rows = self.rows.values();
        let large = self.is_large();
        if large && !(near && self.is_domain_meshed(home)) {
            return match near {
                true => self.addresses(&self.delegates),
                false => Vec::new(),
            };
        }
        let known = rows.clone().filter(|peer| (peer.domain == home) == near);
        let mut targets: Vec<SocketAddr> = known.map(|peer| peer.gossip_address).collect();
        if !near {
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
    pub fn aggregators(&self, now: Duration, (own, home): (VmId, DomainId), key: u64) -> Vec<VmId> {
        let rows = self.rows.iter();
        let working = rows.filter(|(vm, peer)| self.accepts_work(now, **vm, peer));
        let working: Vec<(VmId, DomainId)> = working.map(|(vm, peer)| (*vm, peer.domain)).collect();
        let all = working.iter().map(|(vm, _)| *vm).chain([own]);
        let near = working.iter().filter(|(_, domain)| *domain == home);
        let near = near.map(|(vm, _)| *vm).chain([own]);
        let mut collectors = ranked(key, all);
        collectors.truncate(1);
        collectors.extend(ranked(key, near).first());
        collectors.dedup();
        collectors
    }

    /// Gossip addresses of all known VMs but this one.
    pub fn all_addresses(&self) -> Vec<SocketAddr> {
        let rows = self.rows.values();
        rows.map(|peer| peer.gossip_address).collect()
    }

    /// Recipients of a delegate's summaries in its failure domain. They include the other
    /// delegates, which see from them that it is alive.
    pub fn domain_peers(&self, home: DomainId) -> Vec<(VmId, SocketAddr)> {
        let rows = self.rows.iter().filter(|(_, peer)| peer.domain == home);
        rows.map(|(vm, peer)| (*vm, peer.gossip_address)).collect()
    }

    /// The processes of the other VMs of a failure domain.
    pub fn domain_owners(&self, home: DomainId) -> Vec<(VmId, OwnerId)> {
        let rows = self.rows.iter().filter(|(_, peer)| peer.domain == home);
        rows.map(|(vm, peer)| (*vm, peer.owner)).collect()
    }

    /// Whether a delegate sends summaries to its failure domain in this round.
    pub fn is_domain_round(&self, round: u64, home: DomainId) -> bool {
        !self.is_domain_meshed(home) || round.is_multiple_of(ROUNDS_PER_MESH_SUMMARY)
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
    pub fn forwards_summary(&self, own: VmId, summary: &Summary) -> bool {
        let place = self.delegates.iter().position(|vm| *vm == own);
        let by = self
            .remote_delegates
            .iter()
            .find(|(_, vm)| *vm == summary.by);
        // The first delegate forwards those of a sender that is no delegate in this VM's view.
        place.is_some_and(|place| place == by.map_or(0, |(place, _)| *place))
    }

    /// This delegate's summary round; `own` is its own heartbeat.
    pub fn summary_round(
        &self,
        now: Duration,
        own: &Heartbeat,
        peer_address: SocketAddr,
        usage: &Usage,
        counts: DomainCounts,
        endpoints: &Endpoints,
    ) -> SummaryRound {
        let own_uses = own.rows.iter();
        let own_uses: EndpointUses = own_uses
            .map(|row| (row.endpoint, RemoteUse::from_use(&row.uses)))
            .collect();
        let members = self.domain_peers(own.domain).into_iter();
        let said = members.map(|(vm, _)| (vm, usage.uses_of_vm(vm)));
        let uses = DomainUsage::new(said.chain([(id::of(&own.name), own_uses)]));
        let summed = self.domain_totals(now, own.domain, own);
        SummaryRound::new(own, peer_address, summed, uses, counts, endpoints)
    }

    /// Totals of the VMs of the failure domain, for a summary; `own` is this delegate's heartbeat.
    fn domain_totals(&self, now: Duration, home: DomainId, own: &Heartbeat) -> DomainTotals {
        let rows = self.rows.iter().filter(|(_, peer)| peer.domain == home);
        let heard: Vec<(&VmId, &Peer)> = rows.filter(|(_, peer)| peer.is_alive(now)).collect();
        let peers = || heard.iter().map(|(_, peer)| *peer);
        let own_vm = id::of(&own.name);
        let mut backlog: HashMap<RouteKey, u64> = HashMap::new();
        for (route, tokens) in peers().flat_map(|peer| &peer.backlog).chain(&own.backlog) {
            *backlog.entry(*route).or_default() += tokens;
        }
        let waiting = heard.iter().map(|(vm, peer)| (**vm, peer.waiting));
        let waiting = waiting.chain([(own_vm, own.waiting)]);
        let mut rivals: Vec<_> = waiting.filter(|(_, items)| *items > 0).collect();
        rivals.sort_by_key(|(_, items)| std::cmp::Reverse(*items));
        let leaving = heard.iter().filter(|(_, peer)| peer.draining);
        let leaving = leaving.map(|(vm, _)| **vm);
        DomainTotals {
            jobs: peers()
                .map(|peer| peer.jobs)
                .max()
                .unwrap_or(0)
                .max(own.jobs),
            backlog: backlog.into_iter().collect(),
            unregistered: peers()
                .filter(|peer| !peer.registered)
                .map(|peer| peer.owner)
                .collect(),
            draining_vms: leaving.chain(own.draining.then_some(own_vm)).collect(),
            competing_vms: rivals,
        }
    }
}
