//! Memory of replies that are made here from what batch jobs have stored, until they are sent.

use std::time::Duration;

use bytes::Bytes;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::sleep;

use super::answer_memory;
use super::node::Node;
use super::queued_room::shrink;
use crate::clock;

/// Time that a reply waits for memory; callers wait 1.5 s longer than they allow.
const WAIT_MAX: Duration = Duration::from_millis(1200);
/// While a reply waits, one that is not read makes way each time.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Waits for memory for a reply of at most this size; `None` if there is none in time. Callers that
/// don't read their replies make way.
pub async fn take(node: &Node, bytes: usize) -> Option<OwnedSemaphorePermit> {
    let wait_end = clock::now() + WAIT_MAX;
    let taken = node.reply_memory.take_for_reply(bytes);
    let mut taken = std::pin::pin!(taken);
    loop {
        tokio::select! {
            biased;
            permit = taken.as_mut() => return permit,
            () = sleep(UNREAD_CHECK_INTERVAL) => {}
        }
        let now = clock::now();
        if now >= wait_end {
            return None;
        }
        node.connections.close_unread(now, &node.counters);
    }
}

/// A reply that takes its memory until its last copy is dropped.
pub fn hold(reply: Bytes, mut memory: OwnedSemaphorePermit) -> Bytes {
    shrink(&mut memory, reply.len());
    answer_memory::hold(reply, memory)
}
