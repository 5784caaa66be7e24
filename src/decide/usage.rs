//! Use of each endpoint by the other VMs, as last reported.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{weight, EndpointId, VmId};

/// Time after which a report is dropped: a VM that is gone must not keep slots from the others, and
/// a living one reports three times within this time.
pub const USE_EXPIRES_AFTER: Duration = Duration::from_millis(1600);

/// Largest number of parts of a group report: 80 endpoints each, and a failure domain has some
/// hundreds.
const REPORT_PARTS_MAX: u8 = 16;
/// Time after which item allowances from a delegate lapse; long enough for one lost round.
const ALLOWANCE_EXPIRES_AFTER: Duration = Duration::from_millis(500);

/// One VM's requests at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointUse {
    pub online: u16,
    pub batch: u16,
    /// Those of `batch` that would miss their due time if they were preempted now.
    pub urgent: u16,
}

#[derive(Debug, Clone)]
struct UseReport {
    at: Duration,
    /// Invariant: each of these is included in the sum of its endpoint.
    uses: Vec<(EndpointId, RemoteUse)>,
}

/// Use of endpoints by the other VMs.
#[derive(Debug, Default)]
pub struct Usage {
    /// By VM, or by part of a failure domain's summary.
    reports: HashMap<u64, UseReport>,
    /// Kept up to date with `reports`: routing and placement read the sum of every endpoint, and
    /// adding up the counts of 50 VMs at 60 endpoints with each of 500 heartbeats a second took
    /// more time than all requests did.
    sums: HashMap<EndpointId, RemoteUse>,
    /// Items that this VM may keep at endpoints over their limit, from its delegate.
    allowances: HashMap<EndpointId, u32>,
    allowances_at: Duration,
}

/// Use of one endpoint by several other VMs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemoteUse {
    pub online: u32,
    pub batch: u32,
    pub urgent: u32,
    /// VMs with online requests there.
    pub online_vms: u32,
}

impl RemoteUse {
    /// The use by one VM.
    pub fn from_use(one: &EndpointUse) -> RemoteUse {
        RemoteUse {
            online: u32::from(one.online),
            batch: u32::from(one.batch),
            urgent: u32::from(one.urgent),
            online_vms: u32::from(one.online > 0),
        }
    }

    /// Adds another use.
    pub fn add(&mut self, one: &RemoteUse) {
        self.online += one.online;
        self.batch += one.batch;
        self.urgent += one.urgent;
        self.online_vms += one.online_vms;
    }

    /// Subtracts a use that was added before.
    pub fn subtract(&mut self, one: &RemoteUse) {
        self.online -= one.online;
        self.batch -= one.batch;
        self.urgent -= one.urgent;
        self.online_vms -= one.online_vms;
    }
}

impl Usage {
    /// Replaces a VM's in-flight requests, and returns the endpoints of this report and of its
    /// previous one. An endpoint occurs once in `uses`.
    pub fn apply_report(
        &mut self,
        now: Duration,
        vm: VmId,
        uses: impl IntoIterator<Item = (EndpointId, EndpointUse)>,
    ) -> Vec<EndpointId> {
        let uses = uses.into_iter();
        self.apply_group_report(
            now,
            vm,
            uses.map(|(id, one)| (id, RemoteUse::from_use(&one))),
        )
    }

    /// Like [`Usage::apply_report`] for several VMs at once, under the id of the group.
    pub fn apply_group_report(
        &mut self,
        now: Duration,
        source: u64,
        uses: impl IntoIterator<Item = (EndpointId, RemoteUse)>,
    ) -> Vec<EndpointId> {
        let uses: Vec<(EndpointId, RemoteUse)> = uses.into_iter().collect();
        for (endpoint, one) in &uses {
            self.sums.entry(*endpoint).or_default().add(one);
        }
        let mut changed: Vec<EndpointId> = uses.iter().map(|(endpoint, _)| *endpoint).collect();
        if let Some(previous) = self.reports.insert(source, UseReport { at: now, uses }) {
            self.subtract_report(&previous);
            changed.extend(previous.uses.iter().map(|(endpoint, _)| *endpoint));
        }
        changed
    }

    /// Like [`Usage::apply_group_report`] for one part of a group's report, under the id `source`;
    /// `parts` is their current number, so that further parts of an earlier, longer report are
    /// dropped.
    pub fn apply_group_part(
        &mut self,
        now: Duration,
        source: u64,
        (part, parts): (u8, u8),
        uses: impl IntoIterator<Item = (EndpointId, RemoteUse)>,
    ) -> Vec<EndpointId> {
        let id = |part: u8| weight(source, u64::from(part));
        let mut changed = self.apply_group_report(now, id(part), uses);
        let dropped =
            (parts..REPORT_PARTS_MAX).filter(|part| self.reports.contains_key(&id(*part)));
        for part in dropped.collect::<Vec<u8>>() {
            changed.extend(self.apply_group_report(now, id(part), []));
        }
        changed
    }

    /// Drops expired reports.
    pub fn tick(&mut self, now: Duration) {
        let expired = |report: &UseReport| now >= report.at + USE_EXPIRES_AFTER;
        let expired_ids = self.reports.iter().filter(|(_, report)| expired(report));
        let expired_ids: Vec<VmId> = expired_ids.map(|(source, _)| *source).collect();
        for source in expired_ids {
            if let Some(report) = self.reports.remove(&source) {
                self.subtract_report(&report);
            }
        }
    }

    fn subtract_report(&mut self, report: &UseReport) {
        for (endpoint, one) in &report.uses {
            let Some(sum) = self.sums.get_mut(endpoint) else {
                continue;
            };
            sum.subtract(one);
            if *sum == RemoteUse::default() {
                self.sums.remove(endpoint);
            }
        }
    }

    /// The sum over all other VMs.
    pub fn total(&self, endpoint: EndpointId) -> RemoteUse {
        self.sums.get(&endpoint).copied().unwrap_or_default()
    }

    /// VMs with batch work at an endpoint; a group that is reported as one counts as one.
    pub fn batch_vms(&self, endpoint: EndpointId) -> Vec<(VmId, u32)> {
        let of = |(vm, report): (&VmId, &UseReport)| {
            let at = |(at, _): &&(EndpointId, RemoteUse)| *at == endpoint;
            let batch = report.uses.iter().find(at).map_or(0, |(_, one)| one.batch);
            (batch > 0).then_some((*vm, batch))
        };
        self.reports.iter().filter_map(of).collect()
    }

    /// The use that one VM last reported.
    pub fn uses_of_vm(&self, vm: VmId) -> Vec<(EndpointId, RemoteUse)> {
        let report = self.reports.get(&vm);
        report.map_or_else(Vec::new, |report| report.uses.clone())
    }

    /// Sets how many items this VM may keep at endpoints over their limit, from its delegate.
    pub fn set_item_allowance(
        &mut self,
        now: Duration,
        allowances: impl IntoIterator<Item = (EndpointId, u32)>,
    ) {
        self.allowances = allowances.into_iter().collect();
        self.allowances_at = now;
    }

    /// How many items this VM may keep at an endpoint; `None` without a current allowance.
    pub fn item_allowance(&self, now: Duration, endpoint: EndpointId) -> Option<u32> {
        let fresh = now < self.allowances_at + ALLOWANCE_EXPIRES_AFTER;
        self.allowances.get(&endpoint).copied().filter(|_| fresh)
    }
}

/// How many of its `local` items a VM has to give up when all VMs together give up `excess`.
///
/// Every VM computes it from the same counts: the VM with the most items gives up one at a time,
/// the higher id first among equals. Together they give up `excess`, instead of that number each.
pub fn own_excess(excess: u32, local: (VmId, u32), others: &[(VmId, u32)]) -> u32 {
    let mut counts: Vec<(u32, VmId)> = others.iter().map(|(vm, count)| (*count, *vm)).collect();
    counts.push((local.1, local.0));
    let mut local_excess = 0;
    for _ in 0..excess {
        let Some(most) = counts.iter_mut().max() else {
            break;
        };
        if most.0 == 0 {
            break;
        }
        most.0 -= 1;
        local_excess += u32::from(most.1 == local.0);
    }
    local_excess
}
