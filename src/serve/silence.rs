//! Endpoints that have gone silent: logs them, checks their hosts, and connects to the endpoints that
//! take over. The decisions are made in [`crate::decide::online`].

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::exchange::{Outgoing, Target};
use super::node::Node;
use super::pool::{Connection, Error};
use super::quarantine;
use crate::clock;
use crate::decide::online::{SilenceChange, SuccessorState};
use crate::id::RequestId;

/// A host that accepts no connection for this long counts as unreachable. Networks fail for a second
/// and come back, as processes do, and a lost packet is sent again only after a second.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1500);
const HOST_CHECK_INTERVAL: Duration = Duration::from_millis(100);

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

/// Opens connections to the host of a silent endpoint until one is accepted or refused, or until it is
/// clear that the host can't be reached.
async fn check_host(node: Rc<Node>, target: Target) {
    let given_up_at = clock::now() + UNREACHABLE_AFTER;
    let is_accepting = loop {
        node.counters.connections.inc();
        match Connection::open(&target.address).await {
            Ok(_) => break Some(true),
            Err(Error::Refused { .. }) => break Some(false),
            Err(_) if clock::now() >= given_up_at => break None,
            Err(_) => sleep(HOST_CHECK_INTERVAL).await,
        }
    };
    match is_accepting {
        Some(true) => {}
        Some(false) => note_state(&node, &target, "refused", 0),
        None => note_state(&node, &target, "unreachable", 0),
    }
    let online = &mut node.core.borrow_mut().online;
    match is_accepting {
        Some(is_accepting) => online.host_checked(target.endpoint, is_accepting),
        None => online.host_unreachable(target.endpoint),
    }
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
        // The endpoint has ended.
        return Ok(());
    };
    let target = node.target(endpoint).ok_or(SuccessorState::Unreachable)?;
    node.counters.connections.inc();
    match node.pool.open(endpoint, &target.address).await {
        Ok(connection) => {
            node.pool.put(endpoint, connection, None);
            // The successor may have gone out of use meanwhile, or the request been quarantined.
            let is_usable = {
                let online = &node.core.borrow().online;
                online.is_successor_usable(clock::now(), request)
            };
            match is_usable && quarantine::check(node, out).is_ok() {
                true => Ok(()),
                false => Err(SuccessorState::NotTried),
            }
        }
        Err(Error::Refused { .. }) => Err(SuccessorState::Ended),
        Err(_) => Err(SuccessorState::Unreachable),
    }
}
