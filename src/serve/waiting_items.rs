//! Sends and receives reports of waiting batch items by service, where batch jobs use several
//! services.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use tokio::net::UdpSocket;

use super::node::{Core, Node};
use super::peers::{seal, Datagram};
use crate::clock;
use crate::decide::load_reports::ReportScope;
use crate::decide::routes::RouteKind;
use crate::decide::slot_grants::CompetingVm;
use crate::decide::waiting_items::{
    domain_rows, service_rows, LocalItems, VmItems, WaitingReport, WAITING_REPORT_VERSION,
};
use crate::id::ServiceId;

/// Whether batch jobs use more than one service: else the number in a heartbeat says all.
fn is_enabled(core: &Core) -> bool {
    let routes = core.routes.iter().flat_map(|table| &table.rules.routes);
    let batch = routes.filter(|route| route.kind == RouteKind::Batch);
    let shares = batch.flat_map(|route| &route.shares);
    let services: HashSet<ServiceId> = shares.map(|share| share.service).collect();
    services.len() > 1
}

fn report(
    node: &Node,
    sequence: u64,
    scope: ReportScope,
    services: Vec<(ServiceId, u32)>,
    vms: Vec<VmItems>,
) -> WaitingReport {
    WaitingReport {
        version: WAITING_REPORT_VERSION,
        sender: node.vm,
        owner: node.owner,
        sequence,
        domain: node.domain,
        scope,
        services,
        vms,
    }
}

/// Sends this VM's report to `targets`, the recipients of its heartbeat.
pub fn send_own(node: &Node, socket: &UdpSocket, sequence: u64, targets: &[SocketAddr]) {
    let services = {
        let core = node.core.borrow();
        if !is_enabled(&core) {
            return;
        }
        service_rows(&core.items.waiting_by_service())
    };
    let report = report(node, sequence, ReportScope::Vm, services, Vec::new());
    send(node, socket, report, targets);
}

/// Sends the failure domain's items to its VMs, as a delegate.
pub fn send_to_domain(node: &Node, socket: &UdpSocket, sequence: u64) {
    let core = node.core.borrow();
    // VMs of a meshed failure domain have each other's own reports.
    if !is_enabled(&core) || core.peers.is_domain_meshed(node.domain) {
        return;
    }
    let (services, vms) = domain_items(node, &core);
    let report = report(node, sequence, ReportScope::Domain, services, vms);
    let members = core.peers.domain_peers(node.domain);
    let targets: Vec<SocketAddr> = members.into_iter().map(|(_, to)| to).collect();
    send(node, socket, report, &targets);
}

/// Sends the failure domain's items to the delegates of the others.
pub fn send_to_delegates(node: &Node, socket: &UdpSocket, sequence: u64) {
    let core = node.core.borrow();
    if !is_enabled(&core) {
        return;
    }
    let (services, _) = domain_items(node, &core);
    let report = report(node, sequence, ReportScope::Domain, services, Vec::new());
    send(
        node,
        socket,
        report,
        &core.peers.remote_delegate_addresses(),
    );
}

/// Waiting items of this VM and of the other VMs of its failure domain.
fn domain_items(node: &Node, core: &Core) -> (Vec<(ServiceId, u32)>, Vec<VmItems>) {
    let mut vms = core.waiting_reports.domain_vms(node.domain);
    vms.push((node.vm, core.items.waiting_by_service()));
    domain_rows(&vms)
}

fn send(node: &Node, socket: &UdpSocket, report: WaitingReport, targets: &[SocketAddr]) {
    if report.services.is_empty() || targets.is_empty() {
        return;
    }
    let Some(sealed) = seal(node, &Datagram::Waiting(report)) else {
        return;
    };
    for to in targets {
        // A lost datagram is made good by the next report.
        let _ = socket.try_send_to(&sealed, *to);
    }
}

/// Applies a report of another VM, and forwards one of another failure domain if that is this
/// delegate's task.
pub fn apply(node: &Node, socket: &UdpSocket, report: WaitingReport, sealed: &[u8]) {
    if report.sender == node.vm {
        return;
    }
    let members = {
        let mut core = node.core.borrow_mut();
        let is_local = report.domain == node.domain;
        let is_domain = report.scope == ReportScope::Domain;
        if is_local && is_domain && core.peers.receives_domain_heartbeats(node.vm, node.domain) {
            // This VM has received the reports of the VMs themselves.
            return;
        }
        let forwards = is_domain && !is_local && core.peers.forwards_from(node.vm, report.sender);
        if !core.waiting_reports.apply(clock::now(), report) || !forwards {
            return;
        }
        core.peers.domain_peers(node.domain)
    };
    for (_, to) in members {
        // A lost datagram is made good by the next report.
        let _ = socket.try_send_to(sealed, to);
    }
}

/// The VMs that compete for the slots of each service that items wait for here; empty where no VM
/// reports its items by service.
pub fn competing_vms(
    node: &Node,
    core: &Core,
    competing_vms: &[CompetingVm],
) -> HashMap<ServiceId, Vec<CompetingVm>> {
    if core.waiting_reports.is_empty() {
        return HashMap::new();
    }
    let waiting = core.items.waiting_by_service().into_iter();
    let by_service = waiting.map(|(service, items)| {
        let local = LocalItems {
            vm: node.vm,
            domain: node.domain,
            items,
        };
        let reports = &core.waiting_reports;
        (
            service,
            reports.competing_vms(service, local, competing_vms),
        )
    });
    by_service.collect()
}
