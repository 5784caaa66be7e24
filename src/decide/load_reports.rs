//! What VMs tell each other about the load on services and about failing endpoints.
//!
//! A load report accompanies a heartbeat or a domain summary and takes the same way: from each VM to
//! the VMs of its failure domain or to their delegates, and from delegates to the other failure
//! domains. All rows are sums, so that a delegate adds up its failure domain and subtracts the
//! addressed VM.
//!
//! The state is soft: a report is dropped when its sender has been silent for
//! [`REPORT_EXPIRES_AFTER`], and a process that restarts begins without any.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::evidence;
use crate::id::{DomainId, EndpointId, OwnerId, ServiceId, VmId};

/// Version of [`LoadReport`]. Reports of other versions are ignored, and VMs whose registration
/// names none receive no reports.
pub const LOAD_REPORT_VERSION: u8 = 1;
/// Time after which a report is dropped: three reports of a living VM in a quiet fleet.
pub const REPORT_EXPIRES_AFTER: Duration = Duration::from_millis(1600);
/// Evidence rows in one report, those with the most failures first. With the other limits a report
/// fits into one datagram of 1,400 bytes.
pub const EVIDENCE_ROWS_MAX: usize = 24;
/// Services in one report, those with the most arrivals first.
pub const SERVICE_ROWS_MAX: usize = 4;

/// Recent outcomes of requests at one endpoint: failures of the last 2 s, successes of the last
/// second. Successes are told only of endpoints that have failures at some VM or are being probed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointOutcomes {
    pub failures: u16,
    pub successes: u16,
    /// VMs that saw failures.
    pub accusing_vms: u16,
}

/// Load on one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    pub service: ServiceId,
    /// Online requests that arrived within the last second.
    pub arrivals: u32,
    /// Online requests in flight at endpoints.
    pub in_flight: u32,
    /// Online requests that wait in the VMs' queues.
    pub waiting: u32,
}

impl EndpointOutcomes {
    /// Adds other outcomes.
    pub fn add(&mut self, other: &EndpointOutcomes) {
        self.failures = self.failures.saturating_add(other.failures);
        self.successes = self.successes.saturating_add(other.successes);
        self.accusing_vms = self.accusing_vms.saturating_add(other.accusing_vms);
    }
}

/// Who is covered by a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportScope {
    /// The sender only.
    Vm,
    /// The sender's failure domain, without the addressed VM where that belongs to it.
    Domain,
}

/// Load and evidence, as sent between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    pub version: u8,
    pub sender: VmId,
    pub owner: OwnerId,
    /// Increases with each report of this process; late datagrams carry lower ones.
    pub sequence: u64,
    pub domain: DomainId,
    pub scope: ReportScope,
    /// VMs that it covers.
    pub vms: u32,
    pub evidence: Vec<(EndpointId, EndpointOutcomes)>,
    pub services: Vec<ServiceLoad>,
}

impl LoadReport {
    /// Whether there is anything to tell.
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty() && self.services.is_empty()
    }
}

/// Sums of several reports.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadSums {
    pub vms: u32,
    pub evidence: HashMap<EndpointId, EndpointOutcomes>,
    pub services: HashMap<ServiceId, ServiceSums>,
}

/// Sums of the load on one service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceSums {
    pub arrivals: u32,
    pub in_flight: u32,
    pub waiting: u32,
}

impl LoadSums {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty() && self.services.is_empty()
    }

    /// Adds other sums.
    pub fn merge(&mut self, other: &LoadSums) {
        self.vms += other.vms;
        for (endpoint, outcomes) in &other.evidence {
            self.evidence.entry(*endpoint).or_default().add(outcomes);
        }
        for (service, load) in &other.services {
            let sum = self.services.entry(*service).or_default();
            sum.arrivals = sum.arrivals.saturating_add(load.arrivals);
            sum.in_flight = sum.in_flight.saturating_add(load.in_flight);
            sum.waiting = sum.waiting.saturating_add(load.waiting);
        }
    }

    /// Adds a report.
    pub fn add(&mut self, report: &LoadReport) {
        self.vms += report.vms;
        for (endpoint, outcomes) in &report.evidence {
            self.evidence.entry(*endpoint).or_default().add(outcomes);
        }
        for load in &report.services {
            let sum = self.services.entry(load.service).or_default();
            sum.arrivals = sum.arrivals.saturating_add(load.arrivals);
            sum.in_flight = sum.in_flight.saturating_add(load.in_flight);
            sum.waiting = sum.waiting.saturating_add(load.waiting);
        }
    }

    /// Subtracts a report that was added before.
    pub fn subtract(&mut self, report: &LoadReport) {
        self.vms = self.vms.saturating_sub(report.vms);
        for (endpoint, outcomes) in &report.evidence {
            if let Some(sum) = self.evidence.get_mut(endpoint) {
                sum.failures = sum.failures.saturating_sub(outcomes.failures);
                sum.successes = sum.successes.saturating_sub(outcomes.successes);
                sum.accusing_vms = sum.accusing_vms.saturating_sub(outcomes.accusing_vms);
            }
        }
        for load in &report.services {
            let Some(sum) = self.services.get_mut(&load.service) else {
                continue;
            };
            sum.arrivals = sum.arrivals.saturating_sub(load.arrivals);
            sum.in_flight = sum.in_flight.saturating_sub(load.in_flight);
            sum.waiting = sum.waiting.saturating_sub(load.waiting);
        }
    }

    /// The rows of a report, within the limits on their numbers.
    pub fn rows(&self) -> (Vec<(EndpointId, EndpointOutcomes)>, Vec<ServiceLoad>) {
        let outcomes = self.evidence.iter().map(|(id, sum)| (*id, *sum));
        let mut evidence: Vec<_> = outcomes
            .filter(|(_, sum)| sum.failures + sum.successes > 0)
            .collect();
        evidence.sort_by_key(|(id, sum)| std::cmp::Reverse((sum.failures, *id)));
        evidence.truncate(EVIDENCE_ROWS_MAX);
        let load = |(service, sum): (&ServiceId, &ServiceSums)| ServiceLoad {
            service: *service,
            arrivals: sum.arrivals,
            in_flight: sum.in_flight,
            waiting: sum.waiting,
        };
        let mut services: Vec<ServiceLoad> = self.services.iter().map(load).collect();
        services.retain(|load| load.arrivals.max(load.in_flight).max(load.waiting) > 0);
        services.sort_by_key(|load| std::cmp::Reverse((load.arrivals, load.service)));
        services.truncate(SERVICE_ROWS_MAX);
        (evidence, services)
    }
}

#[derive(Debug, Clone)]
struct StoredReport {
    received_at: Duration,
    report: LoadReport,
}

/// Where a report is kept: one for each VM, and one for each failure domain that a delegate covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum ReportSource {
    Vm(VmId),
    Domain(DomainId),
}

/// Reports of the other VMs and failure domains.
#[derive(Debug, Default)]
pub struct LoadReports {
    reports: HashMap<ReportSource, StoredReport>,
}

impl LoadReports {
    /// Stores a report in place of its sender's previous one; false when it is late, a duplicate or
    /// of another version.
    pub fn apply(&mut self, now: Duration, mut report: LoadReport) -> bool {
        if report.version != LOAD_REPORT_VERSION {
            return false;
        }
        let source = match report.scope {
            ReportScope::Vm => ReportSource::Vm(report.sender),
            ReportScope::Domain => ReportSource::Domain(report.domain),
        };
        let is_stale = self.reports.get(&source).is_some_and(|stored| {
            let stored = &stored.report;
            stored.owner == report.owner && report.sequence <= stored.sequence
        });
        if is_stale {
            return false;
        }
        if report.scope == ReportScope::Vm {
            for (_, outcomes) in &mut report.evidence {
                *outcomes = evidence::bounded(*outcomes);
            }
        }
        let received_at = now;
        self.reports.insert(
            source,
            StoredReport {
                received_at,
                report,
            },
        );
        true
    }

    /// Drops reports of silent senders.
    pub fn tick(&mut self, now: Duration) {
        self.reports
            .retain(|_, stored| now < stored.received_at + REPORT_EXPIRES_AFTER);
    }

    /// Drops all reports, when VMs' own reports are replaced by those of delegates or the other way
    /// round.
    pub fn clear(&mut self) {
        self.reports.clear();
    }

    /// All current reports.
    pub fn iter(&self) -> impl Iterator<Item = &LoadReport> {
        self.reports.values().map(|stored| &stored.report)
    }

    /// The current report of one VM.
    pub fn of_vm(&self, vm: VmId) -> Option<&LoadReport> {
        let stored = self.reports.get(&ReportSource::Vm(vm));
        stored.map(|stored| &stored.report)
    }

    /// Sums of the evidence of one failure domain.
    pub fn evidence(&self, domain: DomainId) -> HashMap<EndpointId, EndpointOutcomes> {
        let mut sums: HashMap<EndpointId, EndpointOutcomes> = HashMap::new();
        for report in self.iter().filter(|report| report.domain == domain) {
            for (endpoint, outcomes) in &report.evidence {
                sums.entry(*endpoint).or_default().add(outcomes);
            }
        }
        sums
    }

    /// Sums of the reports that fit.
    pub fn sums(&self, fits: impl Fn(&LoadReport) -> bool) -> LoadSums {
        let mut sums = LoadSums::default();
        for report in self.iter().filter(|report| fits(report)) {
            sums.add(report);
        }
        sums
    }
}
