//! Selects the VM that answers a query, watches the store or refreshes from it.

use std::net::SocketAddr;
use std::time::Duration;

use super::delegates::DELEGATES_PER_DOMAIN;
use super::{LocalVm, Peers, KEY_REFRESH, KEY_WATCHER};
use crate::id::{ranked, ConfigVersion, DomainId, Revision, VmId};

/// Versions that a VM has.
#[derive(Debug, Clone, Copy)]
pub struct KnownVersions {
    pub rules: ConfigVersion,
    pub endpoints: Revision,
}

/// Peer addresses of VMs with newer versions.
pub struct NewerPeers {
    pub rules: Option<SocketAddr>,
    pub endpoints: Option<SocketAddr>,
}

impl Peers {
    /// Whether delegates represent this VM, whether or not their summaries arrive.
    pub fn is_represented(&self, local: LocalVm) -> bool {
        self.is_large() && !self.delegates.is_empty() && !self.is_delegate(local.vm)
    }

    /// Whether this VM need not watch the store itself: it is no delegate of a large fleet, and a
    /// living delegate sends it updates.
    pub fn is_updated_by_delegate(&self, now: Duration, local: LocalVm) -> bool {
        self.is_represented(local) && self.watching_delegate(now, local).is_some()
    }

    /// Rank of this VM among those that refresh rules and endpoints from the store for the others;
    /// `None` for a VM that the store doesn't answer, and for VMs too far down the order. All VMs
    /// compute the same order from the messages that they receive.
    ///
    /// Store calls are billed and rate-limited, so not every VM makes its own. A small fleet has
    /// one order. In a large one the delegates of one failure domain come first, then those of each
    /// other domain, then two of the VMs that they represent in each.
    pub fn refresh_rank(&self, now: Duration, local: LocalVm) -> Option<usize> {
        if !local.eligible && !local.draining {
            return None;
        }
        if !self.is_large() {
            return rank_among(local.vm, self.mesh_vms_with_store(now));
        }
        if self.is_represented(local) {
            return rank_among(local.vm, self.represented_vms(local))
                .map(|rank| 2 * DELEGATES_PER_DOMAIN + rank);
        }
        let domain_rank =
            rank_among(local.vm, self.delegates_with_store(now))?.min(DELEGATES_PER_DOMAIN - 1);
        match rank_among(local.domain, self.domains_with_store(now))? {
            0 => Some(domain_rank),
            _ => Some(DELEGATES_PER_DOMAIN + domain_rank),
        }
    }

    fn mesh_vms_with_store(&self, now: Duration) -> impl Iterator<Item = VmId> + '_ {
        let rows = self.rows.iter();
        let eligible = rows
            .filter(move |(_, peer)| peer.is_alive(now) && peer.store_available && !peer.draining);
        eligible.map(|(vm, _)| *vm)
    }

    fn delegates_with_store(&self, now: Duration) -> impl Iterator<Item = VmId> + '_ {
        let has_store = move |vm: &VmId| {
            let delegate = self.domains.living_delegate(now, *vm);
            delegate.is_some_and(|delegate| delegate.store_available && !delegate.draining)
        };
        self.delegates.iter().copied().filter(has_store)
    }

    fn domains_with_store(&self, now: Duration) -> impl Iterator<Item = DomainId> + '_ {
        let delegates = self.domains.living_delegates(now);
        let eligible = delegates.filter(|delegate| delegate.store_available && !delegate.draining);
        eligible.map(|delegate| delegate.domain)
    }

    /// Other VMs of the local failure domain that its delegates represent.
    fn represented_vms(&self, local: LocalVm) -> impl Iterator<Item = VmId> + '_ {
        let rows = self.rows.iter();
        let members = rows.filter(move |(vm, peer)| {
            peer.registered && peer.domain == local.domain && !self.is_delegate(**vm)
        });
        members.map(|(vm, _)| *vm)
    }

    /// The VM of the local failure domain that watches the metadata store for the others, if it is
    /// not this one. All VMs compute it from the messages that they receive, and a VM that the
    /// store doesn't answer is skipped. While two VMs each consider themselves first, both get
    /// `None`; this costs extra calls only. In a large fleet the delegates watch.
    pub fn watching_vm(&self, now: Duration, local: LocalVm) -> Option<SocketAddr> {
        if self.is_large() {
            return self.watching_delegate(now, local);
        }
        let rows = self.rows.iter();
        let eligible = rows.filter(|(_, peer)| {
            peer.domain == local.domain
                && peer.is_alive(now)
                && peer.store_available
                && !peer.draining
        });
        let others = eligible.clone().map(|(vm, _)| *vm);
        let vms = others.chain(local.eligible.then_some(local.vm));
        let first = ranked(KEY_WATCHER, vms).first().copied()?;
        let (_, peer) = eligible.clone().find(|(vm, _)| **vm == first)?;
        peer.peer_address
    }

    /// A living delegate of the local failure domain, preferably one that the store answers; `None`
    /// for a delegate that the store answers itself.
    ///
    /// VMs stay with a living delegate even if the store doesn't answer it. Without this, 250 VMs
    /// would each call the store several times a second during an outage, which is billed and
    /// returns nothing. Such a delegate still forwards what the other failure domains have.
    fn watching_delegate(&self, now: Duration, local: LocalVm) -> Option<SocketAddr> {
        if self.is_delegate(local.vm) && local.eligible {
            return None;
        }
        let others = self.delegates.iter().filter(|vm| **vm != local.vm);
        let living = others.filter_map(|vm| self.domains.living_delegate(now, *vm));
        let living: Vec<_> = living.filter(|delegate| !delegate.draining).collect();
        let with_store: Vec<_> = living
            .iter()
            .filter(|delegate| delegate.store_available)
            .collect();
        if self.is_delegate(local.vm) || !with_store.is_empty() {
            return pick_address(
                local.vm,
                with_store.iter().map(|delegate| delegate.peer_address),
            );
        }
        pick_address(
            local.vm,
            living.iter().map(|delegate| delegate.peer_address),
        )
    }

    /// Living VMs with newer rules or endpoints than `known`, among those that `answers` accepts.
    /// Of VMs with equal versions one of the local failure domain is preferred, since bytes between
    /// failure domains are expensive. In a large fleet, where some endpoint changes all the time,
    /// the local delegates alone are asked for endpoints while the store answers one of them.
    pub fn newer_peers(
        &self,
        now: Duration,
        (local_vm, local_domain): (VmId, DomainId),
        known: KnownVersions,
        answers: impl Fn(SocketAddr) -> bool,
    ) -> NewerPeers {
        let living = self.rows.values().filter(|peer| peer.is_alive(now));
        let from_heartbeats = living.filter_map(|peer| {
            let known = (peer.rules, peer.endpoints);
            Some((known, peer.domain == local_domain, peer.peer_address?))
        });
        let delegates = self.domains.living_delegates(now);
        let from_summaries = delegates.map(|delegate| {
            let known = (delegate.rules, delegate.endpoints);
            (
                known,
                delegate.domain == local_domain,
                delegate.peer_address,
            )
        });
        let all = from_heartbeats.chain(from_summaries);
        let all: Vec<_> = all.filter(|(.., from)| answers(*from)).collect();
        let newest = all
            .iter()
            .max_by_key(|((rules, _), is_local, _)| (*rules, *is_local));
        let has_newer = |endpoints: Revision| endpoints > known.endpoints;
        let local_delegates = self.local_endpoint_sources(now, local_domain);
        let local_delegates: Vec<_> = local_delegates.filter(|(_, from)| answers(*from)).collect();
        let endpoints = if local_delegates.is_empty() {
            let latest = all
                .iter()
                .max_by_key(|((_, endpoints), is_local, _)| (*endpoints, *is_local));
            latest
                .filter(|((_, endpoints), ..)| has_newer(*endpoints))
                .map(|(.., from)| *from)
        } else {
            let newer = local_delegates.iter().filter(|(at, _)| has_newer(*at));
            pick_address(local_vm, newer.map(|(_, from)| *from))
        };
        NewerPeers {
            rules: newest
                .filter(|((reported, _), ..)| *reported > known.rules)
                .map(|(.., from)| *from),
            endpoints,
        }
    }

    /// Living delegates of the local failure domain that have all endpoints and are answered by the
    /// store, with their revisions; none in a small fleet.
    fn local_endpoint_sources(
        &self,
        now: Duration,
        local_domain: DomainId,
    ) -> impl Iterator<Item = (Revision, SocketAddr)> + '_ {
        let delegates = self.domains.living_delegates(now);
        let sources = delegates.filter(move |delegate| {
            let has_all = delegate.endpoints > 0 && delegate.store_available;
            self.is_large() && delegate.domain == local_domain && has_all
        });
        sources.map(|delegate| (delegate.endpoints, delegate.peer_address))
    }

    /// A delegate of the local failure domain that has all endpoints.
    pub fn endpoint_source(&self, now: Duration, local: LocalVm) -> Option<SocketAddr> {
        let sources = self.local_endpoint_sources(now, local.domain);
        pick_address(local.vm, sources.map(|(_, from)| from))
    }

    /// The VM of a large fleet that confirms endpoints for the others: the first delegate of the first
    /// failure domain whose delegates the store answers.
    pub fn confirming_vm(&self, now: Duration) -> Option<SocketAddr> {
        let delegates = self.domains.living_delegates(now);
        let with_store =
            delegates.filter(|delegate| delegate.store_available && !delegate.draining);
        let first = with_store.min_by_key(|delegate| (delegate.domain, delegate.peer_address));
        first.map(|delegate| delegate.peer_address)
    }

    /// A living VM that the metadata store answers: the one with the latest heartbeat, else a
    /// delegate.
    pub fn peer_with_store(&self, now: Duration) -> Option<SocketAddr> {
        let living = self.rows.values().filter(|peer| peer.is_alive(now));
        let with_store = living.filter(|peer| peer.store_available && !peer.draining);
        let latest = with_store.max_by_key(|peer| peer.last_heartbeat_at);
        let address = latest.and_then(|peer| peer.peer_address);
        address.or_else(|| {
            let mut delegates = self.domains.living_delegates(now);
            let delegate =
                delegates.find(|delegate| delegate.store_available && !delegate.draining);
            delegate.map(|delegate| delegate.peer_address)
        })
    }

    /// Whether the metadata store has served a living VM for at least `time`, by all its messages
    /// in that time.
    pub fn is_store_serving_for(&self, now: Duration, time: Duration) -> bool {
        let living = self.rows.values().filter(|peer| peer.is_alive(now));
        let from_heartbeats = living.filter_map(|peer| peer.store_available_since);
        let delegates = self.domains.living_delegates(now);
        let mut since =
            from_heartbeats.chain(delegates.filter_map(|delegate| delegate.store_available_since));
        since.any(|since| now >= since + time)
    }

    /// The newest job revision that a living VM has reported.
    pub fn newest_job_revision(&self, now: Duration) -> Revision {
        let living = self.rows.values().filter(|peer| peer.is_alive(now));
        let from_summaries = self.domains.living(now).map(|(_, status)| status.jobs);
        let all = living.map(|peer| peer.jobs).chain(from_summaries);
        all.max().unwrap_or(0)
    }
}

/// Rank of the local id among it and others, which is the same on all VMs.
fn rank_among(local: u64, others: impl Iterator<Item = u64>) -> Option<usize> {
    let order = ranked(KEY_REFRESH, others.chain([local]));
    order.iter().position(|id| *id == local)
}

/// One of several addresses: half of the VMs use one delegate, half the other.
fn pick_address(vm: VmId, addresses: impl Iterator<Item = SocketAddr>) -> Option<SocketAddr> {
    let addresses: Vec<SocketAddr> = addresses.collect();
    let index = vm as usize % addresses.len().max(1);
    addresses.get(index).copied()
}
