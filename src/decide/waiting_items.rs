//! Batch items that wait at other VMs, by service.
//!
//! Heartbeats and summaries carry one number of waiting items. Where batch jobs use several
//! services, items that wait for the full endpoints of one would be granted the free slots of
//! another, where they can't run. Waiting reports accompany heartbeats and summaries there and take
//! the same way: from each VM to the VMs of its failure domain or to their delegates, and from
//! delegates to the other failure domains.
//!
//! The state is soft: a report is dropped when its sender has been silent for
//! [`REPORT_EXPIRES_AFTER`]. A VM without a report, as one of an earlier release, competes with all
//! its items for the slots of every service.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::load_reports::{ReportScope, REPORT_EXPIRES_AFTER};
use super::slot_grants::CompetingVm;
use crate::id::{DomainId, OwnerId, ServiceId, VmId};

/// Version of [`WaitingReport`]. Reports of other versions are ignored.
pub const WAITING_REPORT_VERSION: u8 = 1;
/// Services in one report, those with the most items first. With the other limit a report fits into
/// one datagram of 1,400 bytes.
pub const SERVICE_ROWS_MAX: usize = 8;
/// Rows of single VMs in one report, those with the most items first.
pub const VM_ROWS_MAX: usize = 64;

/// Items of one VM that wait for one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmItems {
    pub vm: VmId,
    /// Index in [`WaitingReport::services`].
    pub service_index: u8,
    pub items: u32,
}

/// Waiting items, as sent between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WaitingReport {
    pub version: u8,
    pub sender: VmId,
    pub owner: OwnerId,
    /// Increases with each report of this process; late datagrams carry lower ones.
    pub sequence: u64,
    pub domain: DomainId,
    pub scope: ReportScope,
    /// Items by service.
    pub services: Vec<(ServiceId, u32)>,
    /// The VMs of the failure domain, in a delegate's report to them.
    pub vms: Vec<VmItems>,
}

impl WaitingReport {
    /// Items that wait for a service, out of `total` for all services.
    fn items(&self, service: ServiceId, total: u32) -> u32 {
        let listed = self.services.iter().find(|(id, _)| *id == service);
        match listed {
            Some((_, items)) => *items,
            // The service may be one of those that were left out.
            None if self.services.len() == SERVICE_ROWS_MAX => {
                let listed: u32 = self.services.iter().map(|(_, items)| items).sum();
                total.saturating_sub(listed)
            }
            None => 0,
        }
    }

    /// Items of single VMs that wait for a service.
    fn vm_items(&self, service: ServiceId) -> impl Iterator<Item = (VmId, u32)> + '_ {
        let index = self.services.iter().position(|(id, _)| *id == service);
        let rows = self.vms.iter();
        let rows = rows.filter(move |row| Some(usize::from(row.service_index)) == index);
        rows.map(|row| (row.vm, row.items))
    }
}

/// The services with the most items, within the limit on their number.
pub fn service_rows(items: &HashMap<ServiceId, u32>) -> Vec<(ServiceId, u32)> {
    let mut rows: Vec<(ServiceId, u32)> = items
        .iter()
        .map(|(service, items)| (*service, *items))
        .collect();
    rows.retain(|(_, items)| *items > 0);
    rows.sort_by_key(|(service, items)| std::cmp::Reverse((*items, *service)));
    rows.truncate(SERVICE_ROWS_MAX);
    rows
}

/// Services and single VMs of a failure domain, from the items of its VMs.
pub fn domain_rows(
    items_of_vms: &[(VmId, HashMap<ServiceId, u32>)],
) -> (Vec<(ServiceId, u32)>, Vec<VmItems>) {
    let mut totals: HashMap<ServiceId, u32> = HashMap::new();
    for (service, items) in items_of_vms.iter().flat_map(|(_, items)| items) {
        *totals.entry(*service).or_default() += items;
    }
    let services = service_rows(&totals);
    let mut vms = Vec::new();
    for (index, (service, _)) in services.iter().enumerate() {
        let rows = items_of_vms.iter().filter_map(|(vm, items)| {
            let items = items.get(service).copied().filter(|items| *items > 0)?;
            Some(VmItems {
                vm: *vm,
                service_index: index as u8,
                items,
            })
        });
        vms.extend(rows);
    }
    vms.sort_by_key(|row| std::cmp::Reverse((row.items, row.vm)));
    vms.truncate(VM_ROWS_MAX);
    (services, vms)
}

#[derive(Debug, Clone)]
struct StoredReport {
    received_at: Duration,
    report: WaitingReport,
}

/// This VM as a competitor for the slots of a service.
#[derive(Debug, Clone, Copy)]
pub struct LocalItems {
    pub vm: VmId,
    pub domain: DomainId,
    /// Its items that wait for the service.
    pub items: u32,
}

/// Reports of the other VMs and failure domains.
#[derive(Debug, Default)]
pub struct WaitingReports {
    vms: HashMap<VmId, StoredReport>,
    domains: HashMap<DomainId, StoredReport>,
}

impl WaitingReports {
    /// Stores a report in place of its sender's previous one; false when it is late, a duplicate or
    /// of another version.
    pub fn apply(&mut self, now: Duration, report: WaitingReport) -> bool {
        if report.version != WAITING_REPORT_VERSION {
            return false;
        }
        let known = match report.scope {
            ReportScope::Vm => self.vms.get(&report.sender),
            ReportScope::Domain => self.domains.get(&report.domain),
        };
        let is_stale = known.is_some_and(|stored| {
            let stored = &stored.report;
            stored.owner == report.owner && report.sequence <= stored.sequence
        });
        if is_stale {
            return false;
        }
        let stored = StoredReport {
            received_at: now,
            report,
        };
        match stored.report.scope {
            ReportScope::Vm => self.vms.insert(stored.report.sender, stored),
            ReportScope::Domain => self.domains.insert(stored.report.domain, stored),
        };
        true
    }

    /// Drops reports of silent senders.
    pub fn tick(&mut self, now: Duration) {
        let is_current = |stored: &StoredReport| now < stored.received_at + REPORT_EXPIRES_AFTER;
        self.vms.retain(|_, stored| is_current(stored));
        self.domains.retain(|_, stored| is_current(stored));
    }

    /// Drops all reports, when VMs' own reports are replaced by those of delegates or the other way
    /// round.
    pub fn clear(&mut self) {
        self.vms.clear();
        self.domains.clear();
    }

    /// Whether there are no reports.
    pub fn is_empty(&self) -> bool {
        self.vms.is_empty() && self.domains.is_empty()
    }

    /// Items of the VMs of a failure domain that report them.
    pub fn domain_vms(&self, domain: DomainId) -> Vec<(VmId, HashMap<ServiceId, u32>)> {
        let reports = self.vms.values().map(|stored| &stored.report);
        let local = reports.filter(|report| report.domain == domain);
        local
            .map(|report| (report.sender, report.services.iter().copied().collect()))
            .collect()
    }

    /// The VMs that compete for the slots of a service, out of those that compete for any.
    pub fn competing_vms(
        &self,
        service: ServiceId,
        local: LocalItems,
        competing_vms: &[CompetingVm],
    ) -> Vec<CompetingVm> {
        let local_domain = self.domains.get(&local.domain).map(|stored| &stored.report);
        let listed: HashMap<VmId, u32> = local_domain
            .map(|report| report.vm_items(service).collect())
            .unwrap_or_default();
        let items_of = |other: &CompetingVm| {
            let is_domain = other.vm == other.domain;
            let own_report = match is_domain {
                true => self.domains.get(&other.domain),
                false => self.vms.get(&other.vm),
            };
            match own_report {
                Some(stored) => stored.report.items(service, other.items),
                None if local_domain.is_some() && other.domain == local.domain => {
                    listed.get(&other.vm).copied().unwrap_or(0)
                }
                None => other.items,
            }
        };
        let mut competing: Vec<CompetingVm> = competing_vms
            .iter()
            .map(|other| CompetingVm {
                items: items_of(other),
                ..*other
            })
            .filter(|other| other.items > 0)
            .collect();
        if let Some(report) = local_domain {
            competing.extend(unlisted_vms(report, service, local, &competing));
        }
        competing
    }
}

/// The VMs of the local failure domain that its delegate doesn't list, as one competitor.
fn unlisted_vms(
    report: &WaitingReport,
    service: ServiceId,
    local: LocalItems,
    competing: &[CompetingVm],
) -> Option<CompetingVm> {
    let same_domain = competing.iter().filter(|one| one.domain == local.domain);
    let listed: u32 = same_domain.map(|one| one.items).sum();
    let total = report.items(service, 0);
    let items = total.saturating_sub(listed).saturating_sub(local.items);
    (items > 0).then_some(CompetingVm {
        vm: local.domain,
        domain: local.domain,
        items,
    })
}
