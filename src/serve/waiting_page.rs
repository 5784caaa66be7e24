//! Page for operators: the work that waits at this process, what it waits for, and until when.

use bytes::Bytes;
use serde::Serialize;

use super::jobs::encode;
use super::node::{Node, Stage};
use super::runs;
use crate::clock;
use crate::decide::online::ServiceQueue;

/// One waiting request, item or process state.
#[derive(Debug, Serialize)]
pub struct WaitingRow {
    pub what: String,
    pub waits_for: String,
    /// Milliseconds until it is given up or too late; absent if it waits indefinitely.
    pub until_ms: Option<u64>,
}

#[derive(Serialize)]
struct WaitingPage<'a> {
    vm: &'a str,
    waiting: Vec<WaitingRow>,
}

/// The page of everything that waits at this process.
pub fn page(node: &Node) -> Bytes {
    let mut waiting = process_rows(node);
    waiting.extend(online_rows(node));
    waiting.extend(runs::waiting(node, clock::now()));
    encode(&WaitingPage {
        vm: &node.settings.name,
        waiting,
    })
}

/// Conditions that keep the process itself from serving.
fn process_rows(node: &Node) -> Vec<WaitingRow> {
    let core = node.core.borrow();
    let missing = [
        (core.routes.is_none(), "the first rules"),
        (!core.discovery.is_loaded(), "the first list of endpoints"),
        (!node.store_answers.get(), "the metadata store to answer"),
        (core.stage == Stage::Draining, "its last requests to end"),
    ];
    let missing = missing.into_iter().filter(|(missing, _)| *missing);
    let row = |waits_for: &str| WaitingRow {
        what: "the process".into(),
        waits_for: waits_for.into(),
        until_ms: None,
    };
    missing.map(|(_, waits_for)| row(waits_for)).collect()
}

fn online_rows(node: &Node) -> Vec<WaitingRow> {
    let now = clock::now();
    let core = node.core.borrow();
    let queued = core.online.waiting(now).into_iter();
    let queued = queued.filter(|waiting| waiting.queued > 0);
    let goal = |waiting: &ServiceQueue| core.online.services.get(&waiting.service);
    queued
        .map(|waiting| WaitingRow {
            what: format!("{} online requests", waiting.queued),
            waits_for: format!(
                "a slot at an endpoint; {} run from here, a slot comes in about {} ms",
                waiting.in_flight, waiting.expected_wait_ms
            ),
            until_ms: goal(&waiting).map(|s| s.first_token_goal.as_millis() as u64),
        })
        .collect()
}
