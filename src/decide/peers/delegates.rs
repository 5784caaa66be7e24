//! Which VMs of a failure domain speak for it, and who tells whom.
//!
//! In a small fleet every VM tells every other one what it has in flight. What one VM hears and handles then
//! grows with the fleet, and what all of them do with its square: with 250 VMs of an eighth of a core,
//! heartbeats took all of it and callers got nothing. So above [`MESH_MAX`] VMs each one tells two delegates of its
//! failure domain, and these tell the others in summaries, whose size grows with endpoints, not with VMs.

use std::time::Duration;

use crate::id::{weight, DomainId, VmId};

/// Largest fleet in which every VM tells every other one. At 52 VMs with a quarter of a core heartbeats
/// cost a VM 3% of a core, and news is a tenth of a second old; that is the largest size where both hold.
pub const MESH_MAX: usize = 64;
/// Delegates of a failure domain: one may go without its VMs being told nothing meanwhile.
pub const DELEGATES: usize = 2;
/// Time between two rounds of a delegate to the VMs of its failure domain. With two delegates a VM hears
/// each 100 ms; by then an endpoint of seven slots has got one request more in a full fleet.
pub const ROUND: Duration = Duration::from_millis(200);
/// Rounds between two summaries to other failure domains, whose endpoints are used when the own are full:
/// their bytes are dear, and with two delegates a VM hears of each failure domain each 300 ms.
pub const FAR_ROUNDS: u64 = 3;

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
