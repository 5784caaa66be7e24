//! Watches the metadata store, and confirms on a second connection that the watch misses nothing.

use std::pin::pin;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::node::Node;
use super::watch::{Followed, News, Told};
use crate::clock;
use crate::decide::freshness::{self, StoreSubject};
use crate::id::Revision;
use crate::store::{Call, Error, Reply};

/// Wait of a call that only asks whether there are changes by now.
const PROOF_WAIT: Duration = Duration::from_millis(1);
/// A working watch delivers within this time what another call has returned.
const WATCH_LATE: Duration = Duration::from_millis(50);
/// Time between two checks whether a confirmation is due.
const PROOF_LOOK: Duration = Duration::from_millis(300);

/// Asks the store for all entries or for changes; a watch is given up when other calls on the store
/// fail.
///
/// The connection on which a watch waits may go silent for good while all other calls succeed, on
/// every VM at once: nothing fails and no VM has newer data than another. Added routes are then
/// refused, and engines that left are used, for the 29.8 s of the wait. So while the watch waits,
/// some VMs repeat its request on another connection on behalf of all
/// ([`crate::decide::freshness`]). An empty answer confirms that the watch has missed nothing;
/// otherwise the answer holds the missed changes, and the watch is set anew. With six VMs a new
/// configuration arrived after 27 s without this, and within 2 s with it.
pub async fn ask_store(
    node: &Node,
    followed: Followed,
    at: Option<Revision>,
    wait: Duration,
) -> Result<Option<Told>, Error> {
    let sent_at = clock::now();
    let Some(after) = at else {
        let (items, at) = node.store.range(followed.prefix).await?;
        return Ok(Some(Told {
            news: News::All(items),
            at,
            asked_at: Some(sent_at),
        }));
    };
    let mut waiting = pin!(watch(node, followed, after, wait));
    loop {
        tokio::select! {
            told = &mut waiting => return told.map(Some),
            () = node.watch_again.notified() => return Ok(None),
            () = proof_due(node, followed.subject) => {}
        }
        let proof_at = clock::now();
        let proof = tokio::select! {
            told = &mut waiting => return told.map(Some),
            told = watch(node, followed, after, PROOF_WAIT) => told?,
        };
        if proof.news.is_empty() {
            node.proved(followed.subject, proof_at);
            continue;
        }
        // The watch may be about to deliver the same changes.
        return match timeout(WATCH_LATE, &mut waiting).await {
            Ok(told) => told.map(Some),
            Err(_) => {
                node.counters.silent_watches.inc();
                let waited_ms = (clock::now() - sent_at).as_millis() as u64;
                log::info!(prefix = followed.prefix, waited_ms; "the watch is silent: another call tells more");
                Ok(Some(proof))
            }
        };
    }
}

async fn watch(
    node: &Node,
    followed: Followed,
    after: Revision,
    wait: Duration,
) -> Result<Told, Error> {
    let sent_at = clock::now();
    let call = Call::Watch {
        prefix: followed.prefix.into(),
        after,
        wait,
    };
    match node.store.call(call).await? {
        Reply::Changes { changes, at } => Ok(Told {
            news: News::Changes(changes),
            at,
            asked_at: Some(sent_at),
        }),
        other => Err(Error::Unknown {
            detail: format!("a reply of another kind: {other:?}"),
        }),
    }
}

/// Waits until this VM has to ask the store again while its watch waits.
async fn proof_due(node: &Node, subject: StoreSubject) {
    loop {
        let due_in = proof_due_in(node, subject);
        if due_in.is_some_and(|left| left.is_zero()) {
            return;
        }
        // Confirmations from other VMs put it off, and the rank of this VM may change.
        sleep(due_in.map_or(PROOF_LOOK, |left| left.min(PROOF_LOOK))).await;
    }
}

/// Time until this VM has to ask the store again; `None` while others do.
pub fn proof_due_in(node: &Node, subject: StoreSubject) -> Option<Duration> {
    let now = clock::now();
    let own = node.own();
    let core = node.core.borrow();
    let place = core.peers.refresh_rank(now, own);
    let patience = freshness::refresh_after(subject, place, core.peers.is_large())?;
    Some(core.proofs.refresh_due_in(now, subject, patience))
}
