//! A delegate's work in a large fleet: it aggregates the heartbeats of the VMs of its failure
//! domain and sends the summary to them and to the delegates of the other failure domains.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use super::load_reports;
use super::node::{Core, Node};
use super::peers::{count_report, heartbeat, seal, Datagram, ALL_COUNTS_SEND_INTERVAL};
use super::quotas;
use super::waiting_items;
use crate::clock;
use crate::decide::endpoints::EndpointLoad;
use crate::decide::items::urgent_slots_max;
use crate::decide::peers::{KnownVersions, Summary, SummaryRound, SUMMARY_INTERVAL};
use crate::decide::quota::CountSource;
use crate::id::{EndpointId, VmId};

/// Time between two prompt summaries to VMs whose items are to be preempted. Without them a burst
/// of online requests waits behind the items for up to a summary round.
const PROMPT_SUMMARY_INTERVAL: Duration = Duration::from_millis(40);

/// Rounds between two reports of waiting items by service to the VMs of the failure domain. The totals
/// are in each summary.
const ROUNDS_PER_WAITING_REPORT: u64 = 4;

/// Sends summaries while this VM is a delegate, until the process ends.
pub async fn send_summaries(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let (mut sequence, mut rounds) = (0, 0);
    let mut round_due = Duration::ZERO;
    let mut counts_due = Duration::ZERO;
    loop {
        sleep(PROMPT_SUMMARY_INTERVAL).await;
        let left = round_due.saturating_sub(clock::now());
        let is_prompt = timeout(left, node.excess_reported.notified()).await.is_ok();
        if !node.core.borrow().peers.is_delegate(node.vm) {
            sleep(SUMMARY_INTERVAL).await;
            continue;
        }
        sequence += 1;
        let all_counts = clock::now() >= counts_due;
        let round = build_round(&node, sequence, all_counts);
        if is_prompt && clock::now() < round_due {
            send_to_domain(&node, &socket, &round, |vm| round.has_excess_items(vm));
            continue;
        }
        round_due = clock::now() + SUMMARY_INTERVAL;
        rounds += 1;
        if all_counts && node.core.borrow().peers.is_remote_round(rounds) {
            counts_due = clock::now() + ALL_COUNTS_SEND_INTERVAL;
        }
        if node
            .core
            .borrow()
            .peers
            .is_domain_round(rounds, node.domain)
        {
            send_to_domain(&node, &socket, &round, |_| true);
            load_reports::send_to_domain(&node, &socket, sequence);
        }
        if rounds.is_multiple_of(ROUNDS_PER_WAITING_REPORT) {
            waiting_items::send_to_domain(&node, &socket, sequence);
        }
        if node.core.borrow().peers.is_remote_round(rounds) || is_crowded(&node) {
            send_to_delegates(&node, &socket, &round);
            load_reports::send_to_delegates(&node, &socket, sequence);
            waiting_items::send_to_delegates(&node, &socket, sequence);
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

fn build_round(node: &Node, sequence: u64, all_counts: bool) -> SummaryRound {
    let now = clock::now();
    let own = heartbeat(node, sequence);
    let core = node.core.borrow();
    let address = node.settings.peer_address;
    let mut counts = core
        .quotas
        .domain_counts(now, &core.peers.domain_owners(node.domain));
    if !all_counts {
        counts
            .rows
            .retain(|row| quotas::needs_prompt_report(&core, now, row));
    }
    quotas::sort_by_use(&core, now, &mut counts.rows);
    let load_of = |id| endpoint_load(&core, id);
    let mut round = core
        .peers
        .summary_round(now, &own, address, &core.usage, counts, load_of);
    round.endpoint_changes = core.discovery.latest_changes();
    round
}

/// Load of an endpoint that this VM or another one of its failure domain uses.
fn endpoint_load(core: &Core, id: EndpointId) -> Option<EndpointLoad> {
    if let Some(row) = core.online.endpoints.get(id) {
        return Some(row.counts());
    }
    let slots = core.discovery.slots(id)?;
    let others = core.usage.total(id);
    Some(EndpointLoad {
        online: others.online,
        batch: others.batch,
        reserved_slots: others.urgent.min(urgent_slots_max(slots)),
        slots,
    })
}

/// Sends a summary to the VMs of the failure domain that fit.
fn send_to_domain(
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
fn send_to_delegates(node: &Node, socket: &UdpSocket, round: &SummaryRound) {
    let targets = node.core.borrow().peers.remote_delegate_addresses();
    for summary in round.for_delegates() {
        let rows = &summary.counts.rows;
        node.core.borrow_mut().quotas.record_report(rows);
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
fn forward(node: &Node, socket: &UdpSocket, sealed: &[u8]) {
    let members = node.core.borrow().peers.domain_peers(node.domain);
    for (_, to) in members {
        // A lost datagram is made good by the next summary.
        let _ = socket.try_send_to(sealed, to);
    }
}

/// Applies a delegate's summary.
pub fn apply_summary(node: &Node, socket: &UdpSocket, summary: Summary, sealed: &[u8]) {
    if summary.delegate == node.vm {
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
    if let Some(changes) = &summary.endpoint_changes {
        core.discovery.skip_changes(summary.endpoints, changes);
    }
    core.apply_confirmation_ages(now, summary.confirmation_ages, theirs);
    let is_local = summary.domain == node.domain;
    if is_local && core.peers.receives_domain_heartbeats(node.vm, node.domain) {
        // This VM has received the heartbeats of the VMs themselves.
        return;
    }
    if summary.part == 0 {
        let source = CountSource::Domain {
            domain: summary.domain,
            delegate: summary.owner,
        };
        // A summary of the local failure domain counts this VM too; it is left out here.
        let vms = summary.vms - u32::from(is_local);
        let report = count_report(vms, false, &summary.counts);
        core.quotas.apply_report(now, source, report);
    }
    let forwards = !is_local && core.peers.forwards_summary(node.vm, &summary);
    let part = (summary.part, summary.parts);
    let touched = core
        .usage
        .apply_group_part(now, summary.domain, part, summary.rows);
    let mut yields = false;
    if is_local && summary.part == 0 {
        yields = !summary.item_allowances.is_empty();
        core.usage.set_item_allowance(now, summary.item_allowances);
    }
    let endpoints = &mut core.online.endpoints;
    yields |= core
        .items
        .update_usage_at(now, endpoints, &core.usage, &touched);
    drop(guard);
    if forwards {
        forward(node, socket, sealed);
    }
    if yields {
        node.plan_items.notify_one();
    }
}
