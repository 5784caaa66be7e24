//! Which VMs of a failure domain speak for it, and who tells whom.
//!
//! In a small fleet every VM tells every other one what it has in flight. What one VM hears and handles then
//! grows with the fleet, and what all of them do with its square: with 250 VMs of an eighth of a core,
//! heartbeats took all of it and callers got nothing. So above [`FULL_MESH_VMS_MAX`] VMs each one tells its failure domain, or two delegates
//! of it where it is large, and these tell the others in summaries, whose size grows with endpoints, not with VMs.

use std::time::Duration;

use crate::id::{weight, DomainId, VmId};

/// Largest fleet in which every VM tells every other one. Above it the calls on the metadata store and the bytes between
/// failure domains cost more than news of the other failure domains that is half a second old.
pub const FULL_MESH_VMS_MAX: usize = 30;
/// Other VMs of a failure domain below which each one tells every other one of it, also where delegates speak with the other
/// failure domains: counts of the own endpoints are a tenth of a second old then.
pub const DOMAIN_MESH_PEERS_MAX: usize = 19;
/// Delegates of a failure domain: one may go without its VMs being told nothing meanwhile.
pub const DELEGATES: usize = 2;
/// Time between two rounds of a delegate to the VMs of its failure domain. With two delegates a VM hears
/// each 50 ms. Played with 54 VMs and 32 engines near their limit (`tests/late_news.rs`), 93 in 100 requests are in
/// time with news of 0.1 s and 83 with news of 0.2 s.
pub const SUMMARY_INTERVAL: Duration = Duration::from_millis(100);
/// Rounds between two words to VMs that hear each other themselves. They need it only to know that the delegate speaks, and
/// what it knows.
pub const ROUNDS_MESHED: u64 = 4;
/// Rounds between two summaries to other failure domains, whose endpoints are used when the own are full: at the
/// least, with few of them, so that a VM hears of each one each 150 ms through two delegates; at the most, so that
/// a delegate is not taken for silent.
const FAR_ROUNDS_MIN: u64 = 3;
const FAR_ROUNDS_MAX: u64 = 12;

/// Rounds between two summaries to other failure domains. Their bytes are dear, and a VM takes in one of each
/// failure domain: with more of them each speaks less often, so that 11 cost no more than half more than 5.
pub fn far_rounds(domains: usize) -> u64 {
    (domains as u64).clamp(FAR_ROUNDS_MIN, FAR_ROUNDS_MAX)
}

/// A VM that may become a delegate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    pub vm: VmId,
    /// Part of a core that it has.
    pub core_share: f64,
}

/// VMs of a failure domain in the order in which they become its delegates: the largest first, since a
/// delegate does the work of many; among equals by rendezvous hashing, which all work out alike.
pub fn ordered(domain: DomainId, candidates: impl Iterator<Item = Candidate>) -> Vec<VmId> {
    let mut order: Vec<Candidate> = candidates.collect();
    order.sort_by(|a, b| {
        let by_share = b.core_share.total_cmp(&a.core_share);
        by_share.then_with(|| weight(domain, b.vm).cmp(&weight(domain, a.vm)))
    });
    order.into_iter().map(|candidate| candidate.vm).collect()
}
