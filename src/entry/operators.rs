//! Operators' pages: health, metrics, state dump, and what work waits for.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use serde_json::{json, Value};

use super::node::{Node, NodeState};
use crate::clock;
use crate::metrics;
use crate::pages::{self, Page};
use crate::util::lock;

const THREADS: usize = 2;

/// Serves the pages.
pub fn serve(node: &Arc<Node>, listener: TcpListener) -> io::Result<()> {
    let node = node.clone();
    pages::serve(listener, THREADS, move |request| {
        let page = match request.url().split('?').next().unwrap_or_default() {
            "/metrics" => node.counters.registry.page(),
            "/dump" => Page::json(200, &dump(&node)),
            "/why" => Page::json(200, &why(&node)),
            "/healthz" => Page::text(200, "alive\n"),
            "/readyz" => match node.ready() {
                Ok(()) => Page::text(200, "ready\n"),
                Err(why) => Page::text(503, format!("{why}\n")),
            },
            _ => Page::text(404, "/metrics /dump /why /healthz /readyz\n"),
        };
        page.send(request);
    })
}

fn dump(node: &Node) -> Value {
    let now = clock::now();
    let state = lock(&node.state);
    let status = &state.fleet.status;
    json!({
        "vm": status,
        "ready": node.ready_with(&state),
        "delegate": state.fleet.is_delegate(now),
        "configuration": state.config.as_ref().map(|config| &config.versioned.head),
        "members": members(&state),
        "endpoints": endpoints(&state),
        "services": state.online.waiting(now),
        "jobs": state.jobs.rows.values().map(|(_, record)| record).collect::<Vec<_>>(),
        "jobs_revision": state.jobs.revision,
        "resident_bytes": metrics::resident_bytes(std::process::id()),
        "processor_ms": metrics::processor_time().as_millis() as u64,
        "uptime_ms": now.as_millis() as u64,
    })
}

fn members(state: &NodeState) -> Vec<Value> {
    let now = clock::now();
    let rows = state.fleet.members.members.values();
    rows.map(|row| {
        json!({
            "card": row.status,
            "alive": row.is_alive(now),
            "heard_ms_ago": row.last_heartbeat_at.map(|at| now.saturating_sub(at).as_millis() as u64),
            "listed": row.listed,
        })
    })
    .collect()
}

fn endpoints(state: &NodeState) -> Vec<Value> {
    let now = clock::now();
    let rows = state.online.endpoints.rows.iter();
    rows.map(|row| {
        json!({
            "name": row.config.name,
            "usable": row.usable(now),
            "leaving": row.leaving.is_some(),
            "limit": row.limit.slots(),
            "online_here": row.online_here,
            "online_elsewhere": row.online_elsewhere,
            "home": state.fleet.assigned_vm(row.id) == Some(state.fleet.status.vm),
            "first_token_ms": row.first_token_ms,
            "ejected_ms": row.ejected_until.saturating_sub(now).as_millis() as u64,
            "report": row.report,
        })
    })
    .collect()
}

/// The work that waits at this VM, and what each waits for.
fn why(node: &Node) -> Value {
    let now = clock::now();
    let state = lock(&node.state);
    let mut reasons = Vec::new();
    if let Err(why) = node.ready_with(&state) {
        reasons.push(json!({ "what": "this VM", "waits_for": why }));
    }
    for row in state
        .online
        .waiting(now)
        .iter()
        .filter(|row| row.queued > 0)
    {
        let usable = state.online.endpoints.of_service(row.service).iter();
        let usable = usable
            .filter(|at| state.online.endpoints.rows[**at].usable(now))
            .count();
        reasons.push(json!({
            "what": format!("{} online requests", row.queued),
            "waits_for": format!("a free slot at one of {usable} usable endpoints"),
            "expected_wait_ms": row.expected_wait_ms,
        }));
    }
    for (_, record) in state
        .jobs
        .rows
        .values()
        .filter(|(_, record)| !record.state.ended())
    {
        reasons.push(
            json!({ "what": format!("job {}", record.id), "waits_for": job_wait_reason(&state, node) }),
        );
    }
    json!({ "vm": node.settings.name, "waiting": reasons })
}

fn job_wait_reason(state: &NodeState, node: &Node) -> String {
    let now = clock::now();
    if lock(&node.batch_link).owner == 0 {
        return "the batch process of this VM, which is not linked".into();
    }
    let assigned: Vec<_> = state
        .online
        .endpoints
        .rows
        .iter()
        .filter(|row| state.fleet.assigned_vm(row.id) == Some(state.fleet.status.vm))
        .collect();
    if assigned.is_empty() {
        return "other VMs: this one is home of no endpoint".into();
    }
    let busy = assigned.iter().filter(|row| row.online() > 0).count();
    let unusable = assigned.iter().filter(|row| !row.usable(now)).count();
    format!(
        "its items at this VM's {} endpoints: {busy} busy with online requests, {unusable} not usable",
        assigned.len()
    )
}
