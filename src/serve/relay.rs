//! Calls on the metadata store by way of another VM.
//!
//! Without this, when the store refuses this VM or the network to it is cut while it serves the
//! other VMs, jobs that callers submit here are refused although they could be stored, this VM's
//! registration lapses, and its jobs are taken over and run again. Another VM that reaches the
//! store makes the call instead.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};

use super::ask::{ask, reply};
use super::node::Node;
use super::replies::{self, Reply};
use crate::clock;
use crate::store::{self, Call, Error, Store};

/// Path under which another VM is asked to make a call.
pub const PATH: &str = "/store";
/// Time for the other VM's own call and the round trip.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Result of a call.
type CallOutcome = Result<store::Reply, Error>;

/// Largest call: a transaction with the parts of a job.
const CALL_BYTES_MAX: usize = 16 * 1024 * 1024;

/// A store that makes its calls by way of another VM when `local_store` doesn't answer.
pub fn with_relay(local_store: Store, node: impl Fn() -> Option<Rc<Node>> + 'static) -> Store {
    let node = Rc::new(node);
    Store::new(move |call| {
        let (local_store, node) = (local_store.clone(), node.clone());
        Box::pin(async move {
            let first = local_store.call(call.clone()).await;
            let failed = matches!(first, Err(Error::Away { .. } | Error::Unknown { .. }));
            match node().filter(|_| failed && is_relayable(&call)) {
                Some(node) => relay(&node, call, first).await,
                None => first,
            }
        })
    })
}

/// Watches and full reads are not relayed: their changes come from the other VMs anyway.
fn is_relayable(call: &Call) -> bool {
    !matches!(call, Call::Range { .. } | Call::Watch { .. })
}

/// Asks another VM to make the call. A transaction that may have taken effect can be sent once
/// more: its condition holds for at most one of the two, and the code that settles it reads the key
/// back.
async fn relay(node: &Node, call: Call, first: CallOutcome) -> CallOutcome {
    let to = node.core.borrow().peers.peer_with_store(clock::now());
    let Some(to) = to else {
        return first;
    };
    let call_name: &'static str = (&call).into();
    let outcome = match node.key.seal(&call) {
        Ok(sealed) => ask::<CallOutcome>(node, to, PATH, sealed, RELAY_TIMEOUT).await,
        Err(error) => Err(error.into()),
    };
    if let Err(error) = &outcome {
        log::info!(call = call_name, by:% = to, error:% = error; "store call not made by another VM");
    }
    match outcome {
        // What the first attempt left in doubt stays in doubt.
        Ok(Err(Error::Away { .. })) => first,
        Ok(reply) => {
            log::info!(call = call_name, by:% = to; "store call made by another VM");
            reply
        }
        // The other VM has not received the call, so it adds no doubt.
        Err(error) if error.is_unsent() || error.is_unavailable() => first,
        Err(error) => Err(Error::Unknown {
            detail: format!("{to} did not make the call: {error}"),
        }),
    }
}

/// Makes a call for another VM, directly and never by way of a third one.
pub async fn answer(node: &Node, body: Incoming) -> Reply {
    let announced_bytes = body.size_hint().exact().unwrap_or(u64::MAX);
    let announced_bytes = usize::try_from(announced_bytes).unwrap_or(usize::MAX);
    if announced_bytes > CALL_BYTES_MAX {
        return replies::empty(413);
    }
    let Some(_memory) = node
        .submission_memory
        .take_for_submission(announced_bytes)
        .await
    else {
        log::info!(bytes = announced_bytes; "no memory for another VM's store call");
        return replies::empty(503);
    };
    let Ok(body) = Limited::new(body, CALL_BYTES_MAX).collect().await else {
        return replies::empty(400);
    };
    let call = match node.key.open::<Call>(&body.to_bytes()) {
        Ok(call) => call,
        Err(error) => {
            log::warn!(error:% = error; "another VM's store call can't be read");
            return replies::empty(400);
        }
    };
    let outcome: CallOutcome = node.direct_store.call(call).await;
    reply(node.key.seal(&outcome))
}
