//! What the VMs of a failure domain have at each endpoint, summed up for each of them.

use std::collections::{BTreeMap, HashMap};

use crate::decide::endpoints::{Endpoint, Endpoints};
use crate::decide::usage::{own_excess, RemoteUse};
use crate::id::{EndpointId, VmId};

/// One VM's use of endpoints.
pub type EndpointUses = Vec<(EndpointId, RemoteUse)>;

/// Uses of all VMs of a failure domain, as its delegate has heard them.
#[derive(Debug, Default)]
pub struct DomainUsage {
    by_vm: HashMap<VmId, EndpointUses>,
    /// Invariant: the sum of `by_vm`.
    all: BTreeMap<EndpointId, RemoteUse>,
}

impl DomainUsage {
    /// Adds up what each VM said.
    pub fn new(said: impl IntoIterator<Item = (VmId, EndpointUses)>) -> DomainUsage {
        let mut sums = DomainUsage::default();
        for (vm, uses) in said {
            for (endpoint, one) in &uses {
                sums.all.entry(*endpoint).or_default().add(one);
            }
            sums.by_vm.insert(vm, uses);
        }
        sums
    }

    /// The sums over all VMs.
    pub fn all(&self) -> EndpointUses {
        let rows = self.all.iter();
        rows.map(|(endpoint, sum)| (*endpoint, *sum)).collect()
    }

    /// The sums over all VMs but one, which knows its own.
    pub fn without(&self, vm: VmId) -> EndpointUses {
        let Some(own) = self.by_vm.get(&vm) else {
            return self.all();
        };
        let mut sums = self.all.clone();
        for (endpoint, one) in own {
            if let Some(sum) = sums.get_mut(endpoint) {
                sum.take(one);
            }
        }
        let used = |sum: &RemoteUse| *sum != RemoteUse::default();
        sums.into_iter().filter(|(_, sum)| used(sum)).collect()
    }

    /// How many items each VM may keep at endpoints that have more than they run.
    ///
    /// The failure: a VM that knows sums only can't tell which of the others gives up how many; all give up
    /// theirs, or none. The delegate has heard each of them and works it out for all.
    pub fn keeps(&self, endpoints: &Endpoints) -> HashMap<VmId, Vec<(EndpointId, u32)>> {
        let mut keeps: HashMap<VmId, Vec<(EndpointId, u32)>> = HashMap::new();
        for (id, sum) in &self.all {
            let excess = endpoints.get(*id).map_or(0, |row| excess(row, sum.batch));
            if excess == 0 {
                continue;
            }
            let users = self.batch_users(*id);
            for (at, (vm, batch)) in users.iter().enumerate() {
                let others: Vec<(VmId, u32)> = users[..at]
                    .iter()
                    .chain(&users[at + 1..])
                    .copied()
                    .collect();
                let kept = batch - own_excess(excess, (*vm, *batch), &others);
                keeps.entry(*vm).or_default().push((*id, kept));
            }
        }
        keeps
    }

    fn batch_users(&self, endpoint: EndpointId) -> Vec<(VmId, u32)> {
        let of = |(vm, uses): (&VmId, &EndpointUses)| {
            let used = uses.iter().find(|(at, _)| *at == endpoint);
            let batch = used.map_or(0, |(_, one)| one.batch);
            (batch > 0).then_some((*vm, batch))
        };
        self.by_vm.iter().filter_map(of).collect()
    }
}

/// Items that `batch` of the own failure domain have to give up at an endpoint: their part of what all
/// failure domains have too much there.
fn excess(row: &Endpoint, batch: u32) -> u32 {
    let over = (row.online() + row.batch).saturating_sub(row.limit.slots() as u32);
    let excess = over.min(row.batch.saturating_sub(row.kept));
    if excess == 0 || batch == 0 {
        return 0;
    }
    let part = u64::from(excess) * u64::from(batch);
    (part.div_ceil(u64::from(row.batch.max(batch))) as u32).min(batch)
}
