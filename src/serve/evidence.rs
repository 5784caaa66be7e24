//! Feeds the shared evidence about endpoints with what other VMs report, and logs its changes.

use std::time::Duration;

use super::node::{Core, Node};
use crate::decide::evidence::EvidenceChange;

/// Passes the sums of the failure domain to the decision.
pub fn update(node: &Node, core: &mut Core, now: Duration) {
    let vms = core.peers.expected_vms(now) + 1;
    let is_enabled = node.settings.overload.shares_evidence(vms);
    let online = &mut core.online;
    online
        .evidence
        .set_enabled(is_enabled, &mut online.endpoints);
    core.items.avoid_all_failed = is_enabled;
    if !is_enabled {
        return;
    }
    let peers = core.peers.domain_peers(node.domain).into_iter();
    let mut domain_vms: Vec<_> = peers.map(|(vm, _)| vm).collect();
    domain_vms.push(node.vm);
    online.evidence.set_domain(node.vm, domain_vms);
    let told = core.load_reports.evidence(node.domain);
    online.evidence.hear(now, told);
}

/// Logs and counts changes of endpoints' states.
pub fn log_changes(node: &Node, core: &mut Core) {
    let changes = core.online.evidence.take_changes();
    let ejected = core.online.evidence.barred_count();
    node.counters.evidence_ejected.set(ejected as f64);
    for change in changes {
        log_change(node, core, &change);
    }
}

fn log_change(node: &Node, core: &Core, change: &EvidenceChange) {
    let state: &'static str = change.state.into();
    let counter = &node.counters.evidence_changes;
    counter.with_label_values(&[state]).inc();
    let row = core.online.endpoints.get(change.endpoint);
    log::info!(
        endpoint = row.map_or("", |row| &*row.config.name),
        state,
        failures = change.failures,
        successes = change.successes,
        accusing_vms = change.accusing_vms;
        "endpoint evidence"
    );
}
