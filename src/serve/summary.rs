//! One log line every ten seconds with what a process has done since the last one.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::node::Node;
use crate::clock;
use crate::decide::idle::IdleReason;

/// Time between two lines: six a minute, whatever the load.
const PAUSE: Duration = Duration::from_secs(10);

/// Kinds of calls on the store, in the order of the line's fields.
const CALLS: [&str; 6] = ["get", "range", "watch", "commit", "grant", "renew"];

/// Writes lines until the process ends.
pub async fn run(node: Rc<Node>) {
    let mut last = [0; CALLS.len()];
    loop {
        sleep(PAUSE).await;
        let calls = CALLS.map(|kind| count(&node, kind));
        let since: Vec<u64> = calls
            .iter()
            .zip(last)
            .map(|(now, then)| now - then)
            .collect();
        last = calls;
        tell(&node, &since);
    }
}

fn count(node: &Node, kind: &str) -> u64 {
    let of = |outcome| {
        node.counters
            .store_calls
            .with_label_values(&[kind, outcome])
    };
    of("answered").get() + of("failed").get()
}

fn tell(node: &Node, calls: &[u64]) {
    let now = clock::now();
    let core = node.core.borrow();
    let (items, items_running) = core.items.counts();
    let rows = &core.online.endpoints.rows;
    log::info!(
        requests = node.busy.get(),
        queued = core.online.waiting(now).iter().map(|lane| lane.queued).sum::<usize>(),
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
