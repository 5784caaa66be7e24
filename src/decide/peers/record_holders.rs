//! Which VMs keep the record of a stream's origin, and which are asked for it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::{Peer, Peers};
use crate::id::{ranked, DomainId, StreamId, VmId};

/// VMs of the local failure domain that keep a record. Callers mostly return within their domain,
/// and one VM may die together with the one that began the stream.
const LOCAL_HOLDERS: usize = 2;
/// Other failure domains where VMs keep a record, since a whole domain may be lost or cut off.
const REMOTE_DOMAINS: usize = 2;
/// VMs of each of these that keep one: more than half of all VMs may die at once.
const REMOTE_HOLDERS: usize = 2;
/// VMs of each failure domain that are asked.
const ASKED_PER_DOMAIN: usize = 2;
/// VMs that are asked in all.
const ASKED_MAX: usize = 12;

impl Peers {
    /// Gossip addresses of the VMs that keep the record of a stream which began at the local VM.
    pub fn record_holders(
        &self,
        now: Duration,
        local_domain: DomainId,
        stream: StreamId,
    ) -> Vec<SocketAddr> {
        let mut by_domain = self.vms_by_domain(now);
        let local = by_domain.remove(&local_domain).unwrap_or_default();
        let local = ranked(stream, local.into_iter()).into_iter();
        let remote = ranked(stream, by_domain.keys().copied()).into_iter();
        let remote = remote.take(REMOTE_DOMAINS).flat_map(|domain| {
            let vms = by_domain[&domain].iter().copied();
            ranked(stream, vms).into_iter().take(REMOTE_HOLDERS)
        });
        let holders = local.take(LOCAL_HOLDERS).chain(remote);
        let rows = holders.filter_map(|vm| self.rows.get(&vm));
        rows.map(|peer| peer.gossip_address).collect()
    }

    /// Peer addresses of the VMs that may have the record of a stream, those of the local failure
    /// domain first.
    pub fn record_sources(
        &self,
        now: Duration,
        local_domain: DomainId,
        stream: StreamId,
    ) -> Vec<SocketAddr> {
        let by_domain = self.vms_by_domain(now);
        let mut domains = ranked(stream, by_domain.keys().copied());
        domains.sort_by_key(|domain| *domain != local_domain);
        let vms = domains.iter().flat_map(|domain| {
            let vms = by_domain[domain].iter().copied();
            ranked(stream, vms).into_iter().take(ASKED_PER_DOMAIN)
        });
        let rows = vms.filter_map(|vm| self.rows.get(&vm)?.peer_address);
        rows.take(ASKED_MAX).collect()
    }

    fn vms_by_domain(&self, now: Duration) -> HashMap<DomainId, Vec<VmId>> {
        let mut by_domain: HashMap<DomainId, Vec<VmId>> = HashMap::new();
        let is_available = |peer: &Peer| peer.is_alive(now) || (self.is_large() && peer.registered);
        for (vm, peer) in self.rows.iter().filter(|(_, peer)| is_available(peer)) {
            by_domain.entry(peer.domain).or_default().push(*vm);
        }
        by_domain
    }
}
