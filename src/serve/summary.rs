//! Logs what the process has done, one line every ten seconds.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::node::Node;
use crate::clock;
use crate::decide::idle::IdleReason;

/// Interval between lines.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Kinds of store calls, in the order of the line's fields.
const STORE_CALL_KINDS: [&str; 6] = ["get", "range", "watch", "commit", "grant", "renew"];

/// Logs lines until the process ends.
pub async fn run(node: Rc<Node>) {
    let mut last = [0; STORE_CALL_KINDS.len()];
    loop {
        sleep(LOG_INTERVAL).await;
        let calls = STORE_CALL_KINDS.map(|kind| call_count(&node, kind));
        let since: Vec<u64> = calls
            .iter()
            .zip(last)
            .map(|(now, before)| now - before)
            .collect();
        last = calls;
        log_summary(&node, &since);
    }
}

fn call_count(node: &Node, kind: &str) -> u64 {
    let of = |outcome| {
        node.counters
            .store_calls
            .with_label_values(&[kind, outcome])
    };
    of("answered").get() + of("failed").get()
}

fn log_summary(node: &Node, calls: &[u64]) {
    let now = clock::now();
    let core = node.core.borrow();
    let (items, items_running) = core.items.counts();
    let rows = &core.online.endpoints.rows;
    log::info!(
        requests = node.open_requests.total(),
        queued = core.online.waiting(now).iter().map(|service| service.queued).sum::<usize>(),
        items,
        items_running,
        idle_turn_ms = core.items.idle.lost(IdleReason::Turn).as_millis() as u64,
        idle_pause_ms = core.items.idle.lost(IdleReason::Pause).as_millis() as u64,
        idle_stopping_ms = core.items.idle.lost(IdleReason::Stopping).as_millis() as u64,
        endpoints_usable = rows.iter().filter(|row| row.usable(now)).count(),
        endpoints = rows.len(),
        endpoints_kept = core.discovery.kept_count(),
        vms = core.peers.living_vms(now),
        store_gets = calls[0],
        store_ranges = calls[1],
        store_watches = calls[2],
        store_commits = calls[3],
        store_grants = calls[4],
        store_renewals = calls[5];
        "summary"
    );
}
