//! Endpoints that have gone silent: logs them, checks their hosts, and connects to the endpoints that
//! take over. The decisions are made in [`crate::decide::online`].

use std::rc::Rc;

use super::exchange::{Outgoing, Target};
use super::node::Node;
use super::pool::{Connection, Error};
use super::quarantine;
use crate::decide::online::{SilenceChange, SuccessorState};
use crate::id::RequestId;

/// Connections that must fail to open before a host counts as unreachable: one may fail because a
/// packet was lost.
const HOST_CHECKS: usize = 2;

/// Logs which endpoints have gone silent or send again, and checks the hosts of silent ones.
pub fn handle_changes(node: &Rc<Node>) {
    let changes = node.core.borrow_mut().online.take_silence_changes();
    for SilenceChange {
        endpoint,
        is_silent,
        attempts,
    } in changes
    {
        let Some(target) = node.target(endpoint) else {
            continue;
        };
        let state = match is_silent {
            true => "silent",
            false => "heard",
        };
        note_state(node, &target, state, attempts);
        if is_silent {
            tokio::task::spawn_local(check_host(node.clone(), target));
        }
    }
}

fn note_state(node: &Node, target: &Target, state: &str, attempts: u32) {
    let counter = &node.counters.endpoint_silences;
    counter.with_label_values(&[state]).inc();
    log::info!(endpoint = target.instance, state, attempts; "endpoint silence");
}

async fn check_host(node: Rc<Node>, target: Target) {
    let mut is_reachable = false;
    for _ in 0..HOST_CHECKS {
        node.counters.connections.inc();
        is_reachable = Connection::open(&target.address).await.is_ok();
        if is_reachable {
            break;
        }
    }
    if !is_reachable {
        note_state(&node, &target, "unreachable", 0);
    }
    let online = &mut node.core.borrow_mut().online;
    online.host_checked(target.endpoint, is_reachable);
}

/// Makes sure that the successor of a silent attempt can be reached, before that attempt is closed.
/// The connection is kept for the next attempt.
pub async fn connect_successor(
    node: &Node,
    request: RequestId,
    out: &Outgoing,
) -> Result<(), SuccessorState> {
    let is_given_up = || node.core.borrow().online.is_given_up(request);
    if !is_given_up() || quarantine::check(node, out).is_err() {
        return Err(SuccessorState::NotTried);
    }
    let successor = node.core.borrow().online.successor(request);
    let Some(endpoint) = successor else {
        // The endpoint is dead.
        return Ok(());
    };
    let target = node.target(endpoint).ok_or(SuccessorState::Unreachable)?;
    node.counters.connections.inc();
    match Connection::open(&target.address).await {
        Ok(connection) => {
            node.pool.put(endpoint, connection, None);
            // Either may have changed while the connection was opened.
            match is_given_up() && quarantine::check(node, out).is_ok() {
                true => Ok(()),
                false => Err(SuccessorState::NotTried),
            }
        }
        Err(Error::Refused { .. }) => Err(SuccessorState::Ended),
        Err(_) => Err(SuccessorState::Unreachable),
    }
}
