//! Use of endpoints by the VMs of a failure domain, summed for each of them.

use std::collections::{BTreeMap, HashMap};

use crate::decide::endpoints::EndpointLoad;
use crate::decide::usage::{own_excess, RemoteUse};
use crate::id::{EndpointId, VmId};

/// Use of endpoints by one VM or several.
pub type EndpointUses = Vec<(EndpointId, RemoteUse)>;

/// Use of endpoints by all VMs of a failure domain, as reported to its delegate.
#[derive(Debug, Default)]
pub struct DomainUsage {
    by_vm: HashMap<VmId, EndpointUses>,
    /// Invariant: the sum of `by_vm`.
    all: BTreeMap<EndpointId, RemoteUse>,
}

impl DomainUsage {
    /// Sums the use of all VMs.
    pub fn new(reported: impl IntoIterator<Item = (VmId, EndpointUses)>) -> DomainUsage {
        let mut sums = DomainUsage::default();
        for (vm, uses) in reported {
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

    /// The sums over all VMs but one, which adds its own counts.
    pub fn without(&self, vm: VmId) -> EndpointUses {
        let Some(vm_uses) = self.by_vm.get(&vm) else {
            return self.all();
        };
        let mut sums = self.all.clone();
        for (endpoint, one) in vm_uses {
            if let Some(sum) = sums.get_mut(endpoint) {
                sum.subtract(one);
            }
        }
        let used = |sum: &RemoteUse| *sum != RemoteUse::default();
        sums.into_iter().filter(|(_, sum)| used(sum)).collect()
    }

    /// Number of items that each VM may keep at endpoints that are over their limit.
    ///
    /// A VM has only the sums over the others and can't tell how many items each of them gives up:
    /// all VMs would give up theirs, or none. The delegate has the counts of each VM and computes
    /// the result for all.
    pub fn item_allowances(
        &self,
        load_of: impl Fn(EndpointId) -> Option<EndpointLoad>,
    ) -> HashMap<VmId, Vec<(EndpointId, u32)>> {
        let mut allowances: HashMap<VmId, Vec<(EndpointId, u32)>> = HashMap::new();
        for (id, sum) in &self.all {
            let excess = load_of(*id).map_or(0, |load| excess(load, sum.batch));
            if excess == 0 {
                continue;
            }
            let users = self.batch_vms(*id);
            for (index, (vm, batch)) in users.iter().enumerate() {
                let others: Vec<(VmId, u32)> = users[..index]
                    .iter()
                    .chain(&users[index + 1..])
                    .copied()
                    .collect();
                let kept = batch - own_excess(excess, (*vm, *batch), &others);
                allowances.entry(*vm).or_default().push((*id, kept));
            }
        }
        allowances
    }

    fn batch_vms(&self, endpoint: EndpointId) -> Vec<(VmId, u32)> {
        let of = |(vm, uses): (&VmId, &EndpointUses)| {
            let used = uses.iter().find(|(at, _)| *at == endpoint);
            let batch = used.map_or(0, |(_, one)| one.batch);
            (batch > 0).then_some((*vm, batch))
        };
        self.by_vm.iter().filter_map(of).collect()
    }
}

/// Items that the local failure domain has to give up of its `batch` at an endpoint: its part of
/// the excess of all failure domains there.
fn excess(load: EndpointLoad, batch: u32) -> u32 {
    let over = (load.online + load.batch).saturating_sub(load.slots);
    let excess = over.min(load.batch.saturating_sub(load.reserved_slots));
    if excess == 0 || batch == 0 {
        return 0;
    }
    let part = u64::from(excess) * u64::from(batch);
    (part.div_ceil(u64::from(load.batch.max(batch))) as u32).min(batch)
}
