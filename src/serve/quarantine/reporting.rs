//! Sends and receives the reports on requests that end their endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use super::{is_answer_reported, publish_changes, quarantine_now};
use crate::clock;
use crate::decide::quarantine::{
    report, EvidenceSource, Fingerprint, QuarantineReport, REPORTS_PER_DATAGRAM_MAX,
};
use crate::serve::node::Node;
use crate::serve::peers::{seal, Datagram};
use crate::util;

/// Time between two reports of changes.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two reports to a randomly chosen VM, which may have started since the changes were
/// reported.
const RANDOM_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Quarantined suspects that are reported to one VM at once, those with most ends first.
const HELD_REPORTS_MAX: usize = 4 * REPORTS_PER_DATAGRAM_MAX;
/// Changes are reported repeatedly for this long, in case the aggregators have just died.
const RECENT_CHANGE_WINDOW: Duration = Duration::from_secs(4);

/// Reports changes to the other VMs until the process ends.
pub async fn send_reports(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut repeated: Vec<Fingerprint> = Vec::new();
    loop {
        let pause = if repeated.is_empty() {
            RANDOM_REPORT_INTERVAL
        } else {
            REPORT_INTERVAL
        };
        let changed = timeout(pause, node.quarantine_reports_due.notified())
            .await
            .is_ok();
        let unreported = node.core.borrow_mut().quarantine.take_unreported();
        // Datagrams get lost, so each change is sent twice.
        let to_report: Vec<Fingerprint> = unreported.iter().chain(&repeated).copied().collect();
        repeated = unreported;
        if !to_report.is_empty() {
            report_changes(&node, &socket, &to_report);
        } else if !changed {
            report_to_random_vm(&node, &socket);
        }
        sleep(REPORT_INTERVAL).await;
    }
}

fn report_changes(node: &Node, socket: &UdpSocket, fingerprints: &[Fingerprint]) {
    let mut by_target: HashMap<(SocketAddr, bool), Vec<Fingerprint>> = HashMap::new();
    {
        let core = node.core.borrow();
        let local = (node.vm, node.domain);
        for fingerprint in fingerprints {
            let is_fleet_wide = core.quarantine.is_fleet_wide(*fingerprint);
            let (targets, to_all) = report::report_targets(
                &core.peers,
                clock::now(),
                local,
                *fingerprint,
                is_fleet_wide,
            );
            for to in targets {
                by_target
                    .entry((to, to_all))
                    .or_default()
                    .push(*fingerprint);
            }
        }
    }
    for ((to, to_all), fingerprints) in by_target {
        send_report(node, socket, &fingerprints, to, to_all);
    }
}

/// Reports the quarantined requests to one randomly chosen VM, and recent changes to the
/// aggregators once more.
fn report_to_random_vm(node: &Node, socket: &UdpSocket) {
    if node.core.borrow().quarantine.is_empty() {
        return;
    }
    let known = node.core.borrow().peers.all_addresses();
    if let Some(to) = known.choose(&mut util::rng()) {
        report_held(node, socket, *to);
    }
    let moment = quarantine_now().saturating_sub(RECENT_CHANGE_WINDOW);
    let recent = node.core.borrow().quarantine.changed_since(moment);
    report_changes(node, socket, &recent);
}

/// Reports the quarantined requests to one VM.
///
/// Without this, a VM that restarts knows of none, and a request that is quarantined everywhere
/// else would run there once more after each restart. The VMs that receive the new process's
/// heartbeat send it this report before the load balancer routes callers there.
pub fn report_held(node: &Node, socket: &UdpSocket, to: SocketAddr) {
    let mut held = node.core.borrow().quarantine.refused();
    held.truncate(HELD_REPORTS_MAX);
    if !held.is_empty() {
        send_report(node, socket, &held, to, true);
    }
}

fn send_report(
    node: &Node,
    socket: &UdpSocket,
    fingerprints: &[Fingerprint],
    to: SocketAddr,
    to_all: bool,
) {
    for chunk in fingerprints.chunks(REPORTS_PER_DATAGRAM_MAX) {
        let reports = {
            let quarantine = &node.core.borrow().quarantine;
            let reports = chunk.iter().filter_map(|fingerprint| {
                quarantine.report(quarantine_now(), *fingerprint, to_all)
            });
            reports.collect()
        };
        if let Some(sealed) = seal(node, &Datagram::Quarantine(reports)) {
            // A failed send is handled like a lost datagram: the report is sent again.
            let _ = socket.try_send_to(&sealed, to);
        }
    }
}

/// Applies reports from another VM.
pub fn apply_reports(node: &Node, socket: &UdpSocket, reports: &[QuarantineReport]) {
    let mut new_reports = Vec::new();
    {
        let mut core = node.core.borrow_mut();
        for report in reports {
            let now = quarantine_now();
            let is_new = core
                .quarantine
                .apply_report(now, report, EvidenceSource::Peer);
            if core.quarantine.knows_later_answer(now, report) && is_answer_reported(&core.peers) {
                core.quarantine.forward(report.fingerprint);
            }
            if !is_new {
                continue;
            }
            match report.to_all {
                true => new_reports.push(report.fingerprint),
                // The report was sent to this VM as an aggregator.
                false => core.quarantine.forward(report.fingerprint),
            }
        }
    }
    forward(node, socket, &new_reports);
    publish_changes(node);
    node.quarantine_reports_due.notify_one();
}

/// A delegate forwards reports meant for all VMs, once: only those that were new to it.
fn forward(node: &Node, socket: &UdpSocket, fingerprints: &[Fingerprint]) {
    let targets = {
        let peers = &node.core.borrow().peers;
        let forwards = peers.is_delegate(node.vm) && !fingerprints.is_empty();
        let local = (node.vm, node.domain);
        forwards.then(|| report::all_targets(peers, local))
    };
    for to in targets.unwrap_or_default() {
        send_report(node, socket, fingerprints, to, true);
    }
}
