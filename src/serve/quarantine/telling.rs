//! What VMs tell each other of requests that end their endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use super::{note_changes, now};
use crate::clock;
use crate::decide::quarantine::{
    report, EvidenceSource, Fingerprint, QuarantineReport, REPORTS_PER_DATAGRAM_MAX,
};
use crate::serve::node::Node;
use crate::serve::peers::{seal, Datagram};
use crate::util;

/// Time between two words of changes.
const TOLD_AGAIN: Duration = Duration::from_millis(100);
/// Time between two words to a VM drawn by lot, which may have started since the changes were told.
const SAMPLE: Duration = Duration::from_secs(1);
/// Changes are told again for so long, in case those that add up have just died.
const RECENT: Duration = Duration::from_secs(4);

/// Tells the other VMs until the process ends.
pub async fn speak(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut again: Vec<Fingerprint> = Vec::new();
    loop {
        let pause = if again.is_empty() { SAMPLE } else { TOLD_AGAIN };
        let changed = timeout(pause, node.tell_quarantine.notified())
            .await
            .is_ok();
        let untold = node.core.borrow_mut().quarantine.take_unreported();
        // Datagrams are lost: each change is told twice.
        let told: Vec<Fingerprint> = untold.iter().chain(&again).copied().collect();
        again = untold;
        if !told.is_empty() {
            tell_changes(&node, &socket, &told);
        } else if !changed {
            sample(&node, &socket);
        }
        sleep(TOLD_AGAIN).await;
    }
}

fn tell_changes(node: &Node, socket: &UdpSocket, which: &[Fingerprint]) {
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
        tell(node, socket, &which, to, to_all);
    }
}

/// Tells one VM, drawn by lot, of what is held back, and those that add up once more of what has changed of late.
fn sample(node: &Node, socket: &UdpSocket) {
    if node.core.borrow().quarantine.is_empty() {
        return;
    }
    let known = node.core.borrow().peers.all_addresses();
    if let Some(to) = known.choose(&mut util::rng()) {
        tell_held(node, socket, *to);
    }
    let moment = now().saturating_sub(RECENT);
    let recent = node.core.borrow().quarantine.changed_since(moment);
    tell_changes(node, socket, &recent);
}

/// Tells one VM of what is held back.
///
/// The failure: a VM starts anew, knows nothing, and a request that is held back everywhere else runs there once more, at each start.
/// Whoever hears the new process tells it, before the balancer sends callers there.
pub fn tell_held(node: &Node, socket: &UdpSocket, to: SocketAddr) {
    let mut held = node.core.borrow().quarantine.held_requests();
    held.truncate(REPORTS_PER_DATAGRAM_MAX);
    if !held.is_empty() {
        tell(node, socket, &held, to, true);
    }
}

fn tell(node: &Node, socket: &UdpSocket, which: &[Fingerprint], to: SocketAddr, to_all: bool) {
    for some in which.chunks(REPORTS_PER_DATAGRAM_MAX) {
        let told = {
            let quarantine = &node.core.borrow().quarantine;
            let told = some
                .iter()
                .filter_map(|one| quarantine.report(now(), *one, to_all));
            told.collect()
        };
        if let Some(sealed) = seal(node, &Datagram::Quarantine(told)) {
            // A datagram that can't be sent is a datagram lost: it is told again.
            let _ = socket.try_send_to(&sealed, to);
        }
    }
}

/// Takes what another VM tells.
pub fn heard(node: &Node, socket: &UdpSocket, told: &[QuarantineReport]) {
    let mut news = Vec::new();
    {
        let mut core = node.core.borrow_mut();
        for one in told {
            if !core
                .quarantine
                .apply_report(now(), one, EvidenceSource::Peer)
            {
                continue;
            }
            match one.to_all {
                true => news.push(one.fingerprint),
                // This VM is one that adds up.
                false => core.quarantine.forward(one.fingerprint),
            }
        }
    }
    pass_on(node, socket, &news);
    note_changes(node);
    node.tell_quarantine.notify_one();
}

/// A delegate tells on what all are told, once: only what was news to it.
fn pass_on(node: &Node, socket: &UdpSocket, news: &[Fingerprint]) {
    let targets = {
        let peers = &node.core.borrow().peers;
        let passes_on = peers.is_delegate(node.vm) && !news.is_empty();
        let own = (node.vm, node.domain);
        passes_on.then(|| report::all_targets(peers, own))
    };
    for to in targets.unwrap_or_default() {
        tell(node, socket, news, to, true);
    }
}
