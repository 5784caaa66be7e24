//! Sends and receives the reports on requests that end their endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use super::{publish_changes, quarantine_now};
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
/// Changes are reported repeatedly for this long, in case the aggregators have just died.
const RECENT_CHANGE_WINDOW: Duration = Duration::from_secs(4);

/// Reports changes to the other VMs until the process ends.
pub async fn speak(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut again: Vec<Fingerprint> = Vec::new();
    loop {
        let pause = if again.is_empty() {
            RANDOM_REPORT_INTERVAL
        } else {
            REPORT_INTERVAL
        };
        let changed = timeout(pause, node.tell_quarantine.notified())
            .await
            .is_ok();
        let untold = node.core.borrow_mut().quarantine.take_unreported();
        // Datagrams get lost, so each change is sent twice.
        let told: Vec<Fingerprint> = untold.iter().chain(&again).copied().collect();
        again = untold;
        if !told.is_empty() {
            report_changes(&node, &socket, &told);
        } else if !changed {
            report_to_random_vm(&node, &socket);
        }
        sleep(REPORT_INTERVAL).await;
    }
}

fn report_changes(node: &Node, socket: &UdpSocket, which: &[Fingerprint]) {
    let mut by_target: HashMap<(SocketAddr, bool), Vec<Fingerprint>> = HashMap::new();
    {
        let core = node.core.borrow();
        let own = (node.vm, node.domain);
        for one in which {
            let all = core.quarantine.is_fleet_wide(*one);
            let (targets, to_all) =
                report::report_targets(&core.peers, clock::now(), own, *one, all);
            for to in targets {
                by_target.entry((to, to_all)).or_default().push(*one);
            }
        }
    }
    for ((to, to_all), which) in by_target {
        send_report(node, socket, &which, to, to_all);
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
        tell_held(node, socket, *to);
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
pub fn tell_held(node: &Node, socket: &UdpSocket, to: SocketAddr) {
    let mut held = node.core.borrow().quarantine.held_requests();
    held.truncate(REPORTS_PER_DATAGRAM_MAX);
    if !held.is_empty() {
        send_report(node, socket, &held, to, true);
    }
}

fn send_report(
    node: &Node,
    socket: &UdpSocket,
    which: &[Fingerprint],
    to: SocketAddr,
    to_all: bool,
) {
    for some in which.chunks(REPORTS_PER_DATAGRAM_MAX) {
        let told = {
            let quarantine = &node.core.borrow().quarantine;
            let told = some
                .iter()
                .filter_map(|one| quarantine.report(quarantine_now(), *one, to_all));
            told.collect()
        };
        if let Some(sealed) = seal(node, &Datagram::Quarantine(told)) {
            // A failed send is handled like a lost datagram: the report is sent again.
            let _ = socket.try_send_to(&sealed, to);
        }
    }
}

/// Applies reports from another VM.
pub fn heard(node: &Node, socket: &UdpSocket, told: &[QuarantineReport]) {
    let mut news = Vec::new();
    {
        let mut core = node.core.borrow_mut();
        for one in told {
            if !core
                .quarantine
                .apply_report(quarantine_now(), one, EvidenceSource::Peer)
            {
                continue;
            }
            match one.to_all {
                true => news.push(one.fingerprint),
                // The report was sent to this VM as an aggregator.
                false => core.quarantine.forward(one.fingerprint),
            }
        }
    }
    forward(node, socket, &news);
    publish_changes(node);
    node.tell_quarantine.notify_one();
}

/// A delegate forwards reports meant for all VMs, once: only those that were new to it.
fn forward(node: &Node, socket: &UdpSocket, news: &[Fingerprint]) {
    let targets = {
        let peers = &node.core.borrow().peers;
        let passes_on = peers.is_delegate(node.vm) && !news.is_empty();
        let own = (node.vm, node.domain);
        passes_on.then(|| report::all_targets(peers, own))
    };
    for to in targets.unwrap_or_default() {
        send_report(node, socket, news, to, true);
    }
}
