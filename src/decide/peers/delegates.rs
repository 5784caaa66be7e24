//! Which VMs of a failure domain act as its delegates, and the intervals of their summaries.
//!
//! In a small fleet every VM reports its in-flight requests to every other one. What one VM
//! receives and processes grows linearly with the fleet, the total with its square: with 250 VMs of
//! an eighth of a core, heartbeats used all of the CPU and callers got no answers. So above
//! [`FULL_MESH_VMS_MAX`] VMs each one reports to its failure domain, or to two delegates of it
//! where the domain is large, and these send the others domain summaries, whose size grows with
//! endpoints, not with VMs.

use std::time::Duration;

use crate::id::{weight, DomainId, VmId};

/// Largest fleet with a full mesh. Above it the calls on the metadata store and the bytes between
/// failure domains cost more than reports of remote failure domains that are half a second old.
pub const FULL_MESH_VMS_MAX: usize = 30;
/// Number of other VMs in a failure domain below which it keeps an intra-domain mesh, also where
/// delegates exchange summaries with other failure domains: counts of the local endpoints are then
/// a tenth of a second old.
pub const DOMAIN_MESH_PEERS_MAX: usize = 19;
/// Delegates of a failure domain: one may fail and the domain's VMs still receive summaries.
pub const DELEGATES_PER_DOMAIN: usize = 2;
/// Time between two summary rounds of a delegate to the VMs of its failure domain. With two
/// delegates a VM receives one every 50 ms. Simulated with 54 VMs and 32 engines near their limit
/// (`tests/late_news.rs`), 93% of requests are in time with reports 0.1 s old and 83% with reports
/// 0.2 s old.
pub const SUMMARY_INTERVAL: Duration = Duration::from_millis(100);
/// Rounds between two summaries to VMs in an intra-domain mesh. They need them only to see that the
/// delegate is alive and which versions it has.
pub const ROUNDS_PER_MESH_SUMMARY: u64 = 4;
/// Limits of the rounds between two summaries to other failure domains, whose endpoints are used
/// when the local ones are full. With the minimum, for few domains, a VM receives one of each
/// domain every 150 ms through two delegates; with the maximum a delegate still doesn't count as
/// dead.
const ROUNDS_PER_REMOTE_SUMMARY_MIN: u64 = 3;
const ROUNDS_PER_REMOTE_SUMMARY_MAX: u64 = 12;

/// Rounds between two summaries to other failure domains. Their bytes are expensive, and a VM
/// receives one of each failure domain: the more domains, the less often each one sends, so that 11
/// domains cost at most half more than 5.
pub fn rounds_per_remote_summary(domains: usize) -> u64 {
    (domains as u64).clamp(ROUNDS_PER_REMOTE_SUMMARY_MIN, ROUNDS_PER_REMOTE_SUMMARY_MAX)
}

/// A VM that may become a delegate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    pub vm: VmId,
    /// CPU cores that it has; less than 1 for a part of a core.
    pub core_share: f64,
}

/// VMs of a failure domain in the order in which they become its delegates: the largest first,
/// since a delegate does the work of many; equal ones by rendezvous hashing, which is the same on
/// all VMs.
pub fn delegate_order(domain: DomainId, candidates: impl Iterator<Item = Candidate>) -> Vec<VmId> {
    let mut order: Vec<Candidate> = candidates.collect();
    order.sort_by(|a, b| {
        let by_share = b.core_share.total_cmp(&a.core_share);
        by_share.then_with(|| weight(domain, b.vm).cmp(&weight(domain, a.vm)))
    });
    order.into_iter().map(|candidate| candidate.vm).collect()
}
