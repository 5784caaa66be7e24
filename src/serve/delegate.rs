//! A delegate's work in a large fleet: it aggregates the heartbeats of the VMs of its failure
//! domain and sends the summary to them and to the delegates of the other failure domains.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use super::node::Node;
use super::peers::{heartbeat, seal, word, Datagram, COUNTS_ALL};
use super::quotas;
use crate::clock;
use crate::decide::peers::{KnownVersions, Summary, SummaryRound, SUMMARY_INTERVAL};
use crate::decide::quota::CountSource;
use crate::id::VmId;

/// Time between two prompt summaries to VMs whose items are to be preempted. Without them a burst
/// of online requests waits behind the items for up to a summary round.
const PRESSED_PAUSE: Duration = Duration::from_millis(40);

/// Sends summaries while this VM is a delegate, until the process ends.
pub async fn speak(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let (mut sequence, mut rounds) = (0, 0);
    let mut round_due = Duration::ZERO;
    let mut counts_due = Duration::ZERO;
    loop {
        sleep(PRESSED_PAUSE).await;
        let left = round_due.saturating_sub(clock::now());
        let pressed = timeout(left, node.tell_pressed.notified()).await.is_ok();
        if !node.core.borrow().peers.is_delegate(node.vm) {
            sleep(SUMMARY_INTERVAL).await;
            continue;
        }
        sequence += 1;
        let all_counts = clock::now() >= counts_due;
        let round = round(&node, sequence, all_counts);
        if pressed && clock::now() < round_due {
            tell_members(&node, &socket, &round, |vm| round.has_excess_items(vm));
            continue;
        }
        round_due = clock::now() + SUMMARY_INTERVAL;
        rounds += 1;
        if all_counts && node.core.borrow().peers.is_remote_round(rounds) {
            counts_due = clock::now() + COUNTS_ALL;
        }
        if node
            .core
            .borrow()
            .peers
            .is_domain_round(rounds, node.domain)
        {
            tell_members(&node, &socket, &round, |_| true);
        }
        if node.core.borrow().peers.is_remote_round(rounds) || is_crowded(&node) {
            tell_delegates(&node, &socket, &round);
        }
    }
}

/// Whether an endpoint has more requests than it runs: other failure domains are about to look for
/// free slots, and old counts would send them where none are left.
fn is_crowded(node: &Node) -> bool {
    let now = clock::now();
    let core = node.core.borrow();
    let meshed = core.peers.is_domain_meshed(node.domain);
    let mut rows = core.online.endpoints.rows.iter();
    meshed && rows.any(|row| row.may_queue(now))
}

fn round(node: &Node, sequence: u64, all_counts: bool) -> SummaryRound {
    let now = clock::now();
    let own = heartbeat(node, sequence);
    let core = node.core.borrow();
    let address = node.settings.peer_address;
    let endpoints = &core.online.endpoints;
    let mut counts = core
        .quotas
        .domain_counts(now, &core.peers.domain_owners(node.domain));
    if !all_counts {
        counts
            .rows
            .retain(|row| quotas::is_pressed(&core, now, row));
    }
    core.peers
        .summary_round(now, &own, address, &core.usage, counts, endpoints)
}

/// Sends a summary to the VMs of the failure domain that fit.
fn tell_members(
    node: &Node,
    socket: &UdpSocket,
    round: &SummaryRound,
    fits: impl Fn(VmId) -> bool,
) {
    let members = node.core.borrow().peers.domain_peers(node.domain);
    for (vm, to) in members.into_iter().filter(|(vm, _)| fits(*vm)) {
        for summary in round.for_member(vm) {
            if let Some(sealed) = seal(node, &Datagram::Summary(summary)) {
                // A lost datagram is made good by the next round.
                let _ = socket.try_send_to(&sealed, to);
            }
        }
    }
}

/// Sends a summary to the delegates of the other failure domains.
fn tell_delegates(node: &Node, socket: &UdpSocket, round: &SummaryRound) {
    let targets = node.core.borrow().peers.remote_delegate_addresses();
    for summary in round.for_delegates() {
        let Some(sealed) = seal(node, &Datagram::Summary(summary)) else {
            continue;
        };
        for to in &targets {
            // A lost datagram is made good by the next round.
            let _ = socket.try_send_to(&sealed, *to);
        }
    }
}

/// Forwards a summary of another failure domain unchanged to the VMs of this one.
fn pass_on(node: &Node, socket: &UdpSocket, sealed: &[u8]) {
    let members = node.core.borrow().peers.domain_peers(node.domain);
    for (_, to) in members {
        // A lost datagram is made good by the next summary.
        let _ = socket.try_send_to(sealed, to);
    }
}

/// Applies a delegate's summary.
pub fn heard(node: &Node, socket: &UdpSocket, summary: Summary, sealed: &[u8]) {
    if summary.by == node.vm {
        return;
    }
    let now = clock::now();
    let mut guard = node.core.borrow_mut();
    let core = &mut *guard;
    if !core.peers.domains.apply_summary(now, &summary) {
        return;
    }
    let theirs = KnownVersions {
        rules: summary.rules,
        endpoints: summary.endpoints,
    };
    core.take_proofs(now, summary.proofs, theirs);
    let near = summary.domain == node.domain;
    if near && core.peers.receives_domain_heartbeats(node.vm, node.domain) {
        // This VM has received the heartbeats of the VMs themselves.
        return;
    }
    if summary.part == 0 {
        let source = CountSource::Domain(summary.domain);
        // A summary of the local failure domain counts this VM too; it is left out here.
        let vms = summary.vms - u32::from(near);
        let told = word(vms, false, &summary.counts);
        core.quotas.apply_report(now, source, told);
    }
    let passes_on = !near && core.peers.forwards_summary(node.vm, &summary);
    let part = (summary.part, summary.parts);
    let touched = core
        .usage
        .apply_group_part(now, summary.domain, part, summary.rows);
    let mut yields = false;
    if near && summary.part == 0 {
        yields = !summary.keeps.is_empty();
        core.usage.set_item_allowance(now, summary.keeps);
    }
    let endpoints = &mut core.online.endpoints;
    yields |= core
        .items
        .note_uses_at(now, endpoints, &core.usage, &touched);
    drop(guard);
    if passes_on {
        pass_on(node, socket, sealed);
    }
    if yields {
        node.plan_items.notify_one();
    }
}
