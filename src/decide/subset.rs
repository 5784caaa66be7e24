//! Chooses the endpoints that one VM of a large fleet knows and uses.
//!
//! What a VM knows of endpoints is kept, compared and told to it again with each change. A VM of an
//! eighth of a core that serves a request a second needs a handful of them, not ten thousand. So
//! each VM ranks the endpoints of a service by rendezvous hashing with its own id and uses the
//! first ones of its failure domain, and some of the others for when its own has no room or is cut
//! off. Nothing has to be agreed on: VMs differ in their order, so that endpoints are used evenly,
//! and an endpoint that leaves is replaced by the next one in order.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::id::{weight, DomainId, EntryId, ServiceId, VmId};

/// Endpoints up to which every VM uses all of them.
pub const WHOLE_TABLE_MAX: usize = 256;
/// Smallest number of endpoints of the local failure domain in a subset: several times those that
/// one VM has requests at, so that some of them may be full, slow or gone.
const LOCAL_MIN: usize = 64;
/// The same for all other failure domains together. Of eleven domains, six are left if one serves.
const REMOTE_MIN: usize = 64;
/// Endpoints of each software version of a service: streams go on only at the version that began
/// them, also while it has few endpoints left.
const SOFTWARE_MIN: usize = 8;
/// VMs that use each endpoint of their failure domain on average. The number varies from endpoint
/// to endpoint; with this average one in 400 is used by no VM.
const VMS_PER_ENDPOINT: usize = 6;

/// The VM that uses a subset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubsetOwner {
    pub vm: VmId,
    pub domain: DomainId,
    /// VMs of its failure domain, this one included.
    pub domain_vms: u32,
}

/// An endpoint that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    pub id: EntryId,
    pub service: ServiceId,
    pub domain: DomainId,
    /// Hash of its software version.
    pub software: u64,
}

/// Endpoints of one service in the local failure domain and in all others, with their weights.
#[derive(Default)]
struct ServiceCandidates {
    local: Vec<(u64, EntryId)>,
    remote: Vec<(u64, EntryId)>,
}

/// The endpoints that `owner` uses: the first of each service in its order.
pub fn choose(owner: SubsetOwner, candidates: impl Iterator<Item = Candidate>) -> HashSet<EntryId> {
    let mut services: HashMap<ServiceId, ServiceCandidates> = HashMap::new();
    let mut versions: HashMap<(ServiceId, u64), Vec<(u64, EntryId)>> = HashMap::new();
    for candidate in candidates {
        let service = services.entry(candidate.service).or_default();
        let ranked = (weight(candidate.id, owner.vm), candidate.id);
        let version = (candidate.service, candidate.software);
        versions.entry(version).or_default().push(ranked);
        match candidate.domain == owner.domain {
            true => service.local.push(ranked),
            false => service.remote.push(ranked),
        }
    }
    let mut chosen = HashSet::new();
    for service in services.into_values() {
        let local_size = local_size(service.local.len(), owner.domain_vms);
        chosen.extend(first_ranked(service.local, local_size));
        chosen.extend(first_ranked(service.remote, REMOTE_MIN));
    }
    for version in versions.into_values() {
        let is_chosen = |(_, id): &&(u64, EntryId)| chosen.contains(id);
        if version.iter().filter(is_chosen).count() < SOFTWARE_MIN {
            chosen.extend(first_ranked(version, SOFTWARE_MIN));
        }
    }
    chosen
}

/// Size of the local part of a subset. Steps of a factor of two keep it from changing with each VM
/// that starts or stops.
fn local_size(endpoints: usize, vms: u32) -> usize {
    let even_share = (endpoints * VMS_PER_ENDPOINT).div_ceil(vms.max(1) as usize);
    even_share.next_power_of_two().max(LOCAL_MIN)
}

fn first_ranked(mut ranked: Vec<(u64, EntryId)>, count: usize) -> impl Iterator<Item = EntryId> {
    if ranked.len() > count {
        ranked.select_nth_unstable_by(count, |a, b| b.cmp(a));
        ranked.truncate(count);
    }
    ranked.into_iter().map(|(_, id)| id)
}
