//! Sends and receives load reports, where the settings call for a part that needs them.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::node::{Core, Node};
use super::peers::{seal, Datagram};
use crate::clock;
use crate::decide::load_reports::{LoadReport, LoadSums, ReportScope, LOAD_REPORT_VERSION};
use crate::id::VmId;

/// Whether the settings call for load reports in a fleet of the present size.
fn is_enabled(node: &Node, core: &Core, now: Duration) -> bool {
    let overload = &node.settings.overload;
    let vms = core.peers.expected_vms(now) + 1;
    overload.shares_evidence(vms) || overload.admits_by_capacity(vms)
}

/// Load and evidence that this VM observes itself.
fn own_sums(core: &Core, now: Duration) -> LoadSums {
    let mut sums = LoadSums {
        vms: 1,
        evidence: core.online.evidence.own_outcomes(now),
        ..LoadSums::default()
    };
    for service in core.online.services.keys() {
        // None unless admission by capacity is on and the service is half full.
        let Some(arrivals) = core.admission.reported_arrivals(*service) else {
            continue;
        };
        let load = core.online.own_load(*service);
        let sum = sums.services.entry(*service).or_default();
        sum.arrivals = arrivals;
        sum.in_flight = load.in_flight as u32;
        sum.waiting = load.queued as u32;
    }
    sums
}

fn report(node: &Node, sequence: u64, scope: ReportScope, sums: &LoadSums) -> LoadReport {
    let (evidence, services) = sums.rows();
    LoadReport {
        version: LOAD_REPORT_VERSION,
        sender: node.vm,
        owner: node.owner,
        sequence,
        domain: node.domain,
        scope,
        vms: sums.vms,
        evidence,
        services,
    }
}

/// Sends this VM's report to `targets`, the recipients of its heartbeat.
pub fn send_own(node: &Node, socket: &UdpSocket, sequence: u64, targets: Vec<SocketAddr>) {
    let now = clock::now();
    let (report, targets) = {
        let core = node.core.borrow();
        if !is_enabled(node, &core, now) {
            return;
        }
        let report = report(node, sequence, ReportScope::Vm, &own_sums(&core, now));
        (report, core.peers.load_report_targets(targets))
    };
    send(node, socket, report, &targets);
}

/// Sends the failure domain's sums to its VMs, as a delegate.
pub fn send_to_domain(node: &Node, socket: &UdpSocket, sequence: u64) {
    let now = clock::now();
    let core = node.core.borrow();
    if !is_enabled(node, &core, now) {
        return;
    }
    let sums = domain_sums(node, &core, now);
    if sums.is_empty() {
        return;
    }
    for (vm, to) in core.peers.load_report_members(node.domain) {
        let member_sums = without(&core, &sums, vm);
        let report = report(node, sequence, ReportScope::Domain, &member_sums);
        send(node, socket, report, &[to]);
    }
}

/// Sends the failure domain's sums to the delegates of the others. Evidence stays in the domain:
/// whether an endpoint answers may depend on the way to it.
pub fn send_to_delegates(node: &Node, socket: &UdpSocket, sequence: u64) {
    let now = clock::now();
    let core = node.core.borrow();
    if !is_enabled(node, &core, now) {
        return;
    }
    let mut sums = domain_sums(node, &core, now);
    sums.evidence.clear();
    let targets = core.peers.remote_delegate_addresses();
    let targets = core.peers.load_report_targets(targets);
    let report = report(node, sequence, ReportScope::Domain, &sums);
    send(node, socket, report, &targets);
}

/// Sums of this VM and of the other VMs of its failure domain.
fn domain_sums(node: &Node, core: &Core, now: Duration) -> LoadSums {
    let mut sums = core
        .load_reports
        .sums(|report| report.scope == ReportScope::Vm && report.domain == node.domain);
    sums.merge(&own_sums(core, now));
    sums
}

fn without(core: &Core, sums: &LoadSums, vm: VmId) -> LoadSums {
    let mut sums = sums.clone();
    if let Some(report) = core.load_reports.of_vm(vm) {
        sums.subtract(report);
    }
    sums
}

fn send(node: &Node, socket: &UdpSocket, report: LoadReport, targets: &[SocketAddr]) {
    if report.is_empty() || targets.is_empty() {
        return;
    }
    let Some(sealed) = seal(node, &Datagram::Load(report)) else {
        return;
    };
    for to in targets {
        // A lost datagram is made good by the next report.
        let _ = socket.try_send_to(&sealed, *to);
    }
}

/// Applies a report of another VM, and forwards one of another failure domain if that is this
/// delegate's task.
pub fn apply(node: &Node, socket: &UdpSocket, report: LoadReport, sealed: &[u8]) {
    if report.sender == node.vm {
        return;
    }
    let now = clock::now();
    let members = {
        let mut core = node.core.borrow_mut();
        let is_local = report.domain == node.domain;
        let is_domain = report.scope == ReportScope::Domain;
        if is_local && is_domain && core.peers.receives_domain_heartbeats(node.vm, node.domain) {
            // This VM has received the reports of the VMs themselves.
            return;
        }
        let forwards = is_domain && !is_local && core.peers.forwards_from(node.vm, report.sender);
        if !core.load_reports.apply(now, report) || !forwards {
            return;
        }
        core.peers.load_report_members(node.domain)
    };
    for (_, to) in members {
        // A lost datagram is made good by the next report.
        let _ = socket.try_send_to(sealed, to);
    }
}
