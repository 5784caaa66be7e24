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
    pub fn is_represented(&self, own: LocalVm) -> bool {
        self.is_large() && !self.delegates.is_empty() && !self.is_delegate(own.vm)
    }

    /// Whether this VM need not watch the store itself: it is no delegate of a large fleet, and a
    /// living delegate sends it updates.
    pub fn is_updated_by_delegate(&self, now: Duration, own: LocalVm) -> bool {
        self.is_represented(own) && self.watching_delegate(now, own).is_some()
    }

    /// Rank of this VM among those that refresh rules and endpoints from the store for the others;
    /// `None` for a VM that the store doesn't answer, and for VMs too far down the order. All VMs
    /// compute the same order from the messages that they receive.
    ///
    /// Store calls are billed and rate-limited, so not every VM makes its own. A small fleet has
    /// one order. In a large one the delegates of one failure domain come first, then those of each
    /// other domain, then two of the VMs that they represent in each.
    pub fn refresh_rank(&self, now: Duration, own: LocalVm) -> Option<usize> {
        if !own.fit && !own.draining {
            return None;
        }
        if !self.is_large() {
            return rank_among(own.vm, self.mesh_vms_with_store(now));
        }
        if self.is_represented(own) {
            return rank_among(own.vm, self.represented_vms(own))
                .map(|place| 2 * DELEGATES_PER_DOMAIN + place);
        }
        let near =
            rank_among(own.vm, self.delegates_with_store(now))?.min(DELEGATES_PER_DOMAIN - 1);
        match rank_among(own.domain, self.domains_with_store(now))? {
            0 => Some(near),
            _ => Some(DELEGATES_PER_DOMAIN + near),
        }
    }

    fn mesh_vms_with_store(&self, now: Duration) -> impl Iterator<Item = VmId> + '_ {
        let rows = self.rows.iter();
        let fit = rows
            .filter(move |(_, peer)| peer.is_alive(now) && peer.store_available && !peer.draining);
        fit.map(|(vm, _)| *vm)
    }

    fn delegates_with_store(&self, now: Duration) -> impl Iterator<Item = VmId> + '_ {
        let speaks = move |vm: &VmId| {
            let speaker = self.domains.living_delegate(now, *vm);
            speaker.is_some_and(|speaker| speaker.store_available && !speaker.draining)
        };
        self.delegates.iter().copied().filter(speaks)
    }

    fn domains_with_store(&self, now: Duration) -> impl Iterator<Item = DomainId> + '_ {
        let speakers = self.domains.living_delegates(now);
        let fit = speakers.filter(|speaker| speaker.store_available && !speaker.draining);
        fit.map(|speaker| speaker.domain)
    }

    /// Other VMs of the local failure domain that its delegates represent.
    fn represented_vms(&self, own: LocalVm) -> impl Iterator<Item = VmId> + '_ {
        let rows = self.rows.iter();
        let members = rows.filter(move |(vm, peer)| {
            peer.registered && peer.domain == own.domain && !self.is_delegate(**vm)
        });
        members.map(|(vm, _)| *vm)
    }

    /// The VM of the local failure domain that watches the metadata store for the others, if it is
    /// not this one. All VMs compute it from the messages that they receive, and a VM that the
    /// store doesn't answer is skipped. While two VMs each consider themselves first, both get
    /// `None`; this costs extra calls only. In a large fleet the delegates watch.
    pub fn watching_vm(&self, now: Duration, own: LocalVm) -> Option<SocketAddr> {
        if self.is_large() {
            return self.watching_delegate(now, own);
        }
        let rows = self.rows.iter();
        let fit = rows.filter(|(_, peer)| {
            peer.domain == own.domain
                && peer.is_alive(now)
                && peer.store_available
                && !peer.draining
        });
        let others = fit.clone().map(|(vm, _)| *vm);
        let vms = others.chain(own.fit.then_some(own.vm));
        let first = ranked(KEY_WATCHER, vms).first().copied()?;
        let (_, peer) = fit.clone().find(|(vm, _)| **vm == first)?;
        peer.peer_address
    }

    /// A living delegate of the local failure domain, preferably one that the store answers; `None`
    /// for a delegate that the store answers itself.
    ///
    /// VMs stay with a living delegate even if the store doesn't answer it. Without this, 250 VMs
    /// would each call the store several times a second during an outage, which is billed and
    /// returns nothing. Such a delegate still forwards what the other failure domains have.
    fn watching_delegate(&self, now: Duration, own: LocalVm) -> Option<SocketAddr> {
        if self.is_delegate(own.vm) && own.fit {
            return None;
        }
        let delegates = self.delegates.iter().filter(|vm| **vm != own.vm);
        let speakers = delegates.filter_map(|vm| self.domains.living_delegate(now, *vm));
        let speakers: Vec<_> = speakers.filter(|speaker| !speaker.draining).collect();
        let fit: Vec<_> = speakers
            .iter()
            .filter(|speaker| speaker.store_available)
            .collect();
        if self.is_delegate(own.vm) || !fit.is_empty() {
            return pick_address(own.vm, fit.iter().map(|speaker| speaker.peer_address));
        }
        pick_address(own.vm, speakers.iter().map(|speaker| speaker.peer_address))
    }

    /// Living VMs with newer rules or endpoints than `known`, among those that `answers` accepts.
    /// Of VMs with equal versions one of the local failure domain is preferred, since bytes between
    /// failure domains are expensive.
    pub fn newer_peers(
        &self,
        now: Duration,
        home: DomainId,
        known: KnownVersions,
        answers: impl Fn(SocketAddr) -> bool,
    ) -> NewerPeers {
        let living = self.rows.values().filter(|peer| peer.is_alive(now));
        let heard = living.filter_map(|peer| {
            let known = (peer.rules, peer.endpoints);
            Some((known, peer.domain == home, peer.peer_address?))
        });
        let speakers = self.domains.living_delegates(now);
        let told = speakers.map(|one| {
            let known = (one.rules, one.endpoints);
            (known, one.domain == home, one.peer_address)
        });
        let all = heard.chain(told);
        let all: Vec<_> = all.filter(|(.., from)| answers(*from)).collect();
        let newest = all
            .iter()
            .max_by_key(|((rules, _), near, _)| (*rules, *near));
        let latest = all
            .iter()
            .max_by_key(|((_, endpoints), near, _)| (*endpoints, *near));
        NewerPeers {
            rules: newest
                .filter(|((told, _), ..)| *told > known.rules)
                .map(|(.., from)| *from),
            endpoints: latest
                .filter(|((_, told), ..)| *told > known.endpoints)
                .map(|(.., from)| *from),
        }
    }

    /// A living VM that the metadata store answers: the one with the latest heartbeat, else a
    /// delegate.
    pub fn peer_with_store(&self, now: Duration) -> Option<SocketAddr> {
        let living = self.rows.values().filter(|peer| peer.is_alive(now));
        let reaching = living.filter(|peer| peer.store_available && !peer.draining);
        let last = reaching.max_by_key(|peer| peer.last_heartbeat_at);
        let near = last.and_then(|peer| peer.peer_address);
        near.or_else(|| {
            let mut speakers = self.domains.living_delegates(now);
            let one = speakers.find(|speaker| speaker.store_available && !speaker.draining);
            one.map(|speaker| speaker.peer_address)
        })
    }

    /// Whether the metadata store has served a living VM for at least `time`, by all its messages
    /// in that time.
    pub fn is_store_serving_for(&self, now: Duration, time: Duration) -> bool {
        let living = self.rows.values().filter(|peer| peer.is_alive(now));
        let near = living.filter_map(|peer| peer.store_available_since);
        let speakers = self.domains.living_delegates(now);
        let mut since = near.chain(speakers.filter_map(|speaker| speaker.store_available_since));
        since.any(|since| now >= since + time)
    }

    /// The newest job revision that a living VM has reported.
    pub fn newest_job_revision(&self, now: Duration) -> Revision {
        let living = self.rows.values().filter(|peer| peer.is_alive(now));
        let told = self.domains.living(now).map(|(_, told)| told.jobs);
        let all = living.map(|peer| peer.jobs).chain(told);
        all.max().unwrap_or(0)
    }
}

/// Rank of the local id among it and others, which is the same on all VMs.
fn rank_among(own: u64, others: impl Iterator<Item = u64>) -> Option<usize> {
    let order = ranked(KEY_REFRESH, others.chain([own]));
    order.iter().position(|id| *id == own)
}

/// One of several addresses: half of the VMs use one delegate, half the other.
fn pick_address(vm: VmId, addresses: impl Iterator<Item = SocketAddr>) -> Option<SocketAddr> {
    let addresses: Vec<SocketAddr> = addresses.collect();
    let at = vm as usize % addresses.len().max(1);
    addresses.get(at).copied()
}
