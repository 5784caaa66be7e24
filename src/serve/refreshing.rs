//! Watches the metadata store, and confirms on a second connection that the watch misses nothing.

use std::pin::pin;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::node::Node;
use super::watch::{FollowedPrefix, StoreUpdate, WatchAnswer};
use crate::clock;
use crate::decide::freshness::{self, StoreSubject};
use crate::id::Revision;
use crate::store::{Call, Error, Reply};

/// Wait of a call that only asks whether there are changes by now.
const REFRESH_WAIT: Duration = Duration::from_millis(1);
/// A working watch delivers within this time what another call has returned.
const WATCH_LAG_MAX: Duration = Duration::from_millis(50);
/// Time between two checks whether a confirmation is due.
const REFRESH_CHECK_INTERVAL: Duration = Duration::from_millis(300);

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
    followed: FollowedPrefix,
    at: Option<Revision>,
    wait: Duration,
) -> Result<Option<WatchAnswer>, Error> {
    let sent_at = clock::now();
    let Some(after) = at else {
        // A starting VM watches from what it reads here at once, so that it need not be current.
        let may_be_stale =
            followed.subject == StoreSubject::Live && !node.core.borrow().live.is_read();
        return read_all(node, followed, may_be_stale).await.map(Some);
    };
    let mut waiting = pin!(watch(node, followed, after, wait));
    loop {
        tokio::select! {
            answer = &mut waiting => return answer.map(Some),
            () = node.restart_watches.notified() => return Ok(None),
            () = refresh_due(node, followed.subject) => {}
        }
        let refreshed_at = clock::now();
        let refresh = tokio::select! {
            answer = &mut waiting => return answer.map(Some),
            answer = watch(node, followed, after, REFRESH_WAIT) => answer?,
        };
        if refresh.update.is_empty() {
            node.confirm(followed.subject, refreshed_at);
            continue;
        }
        // The watch may be about to deliver the same changes.
        return match timeout(WATCH_LAG_MAX, &mut waiting).await {
            Ok(answer) => answer.map(Some),
            Err(_) => {
                node.counters.silent_watches.inc();
                let waited_ms = (clock::now() - sent_at).as_millis() as u64;
                log::info!(prefix = followed.prefix, waited_ms; "the watch is silent: another call tells more");
                Ok(Some(refresh))
            }
        };
    }
}

/// Asks the store for all changes after `after` by now; for all entries if it has dropped that
/// history.
pub async fn ask_store_once(
    node: &Node,
    followed: FollowedPrefix,
    after: Revision,
) -> Result<WatchAnswer, Error> {
    match watch(node, followed, after, REFRESH_WAIT).await {
        Err(Error::Compacted) => read_all(node, followed, false).await,
        answer => answer,
    }
}

async fn read_all(
    node: &Node,
    followed: FollowedPrefix,
    may_be_stale: bool,
) -> Result<WatchAnswer, Error> {
    let sent_at = clock::now();
    let (items, at) = match may_be_stale {
        true => node.store.stale_range(followed.prefix).await?,
        false => node.store.range(followed.prefix).await?,
    };
    Ok(WatchAnswer {
        update: StoreUpdate::Snapshot(items),
        at,
        asked_at: (!may_be_stale).then_some(sent_at),
    })
}

async fn watch(
    node: &Node,
    followed: FollowedPrefix,
    after: Revision,
    wait: Duration,
) -> Result<WatchAnswer, Error> {
    let sent_at = clock::now();
    let call = Call::Watch {
        prefix: followed.prefix.into(),
        after,
        wait,
    };
    match node.store.call(call).await? {
        Reply::Changes { changes, at } => Ok(WatchAnswer {
            update: StoreUpdate::Changes(changes),
            at,
            asked_at: Some(sent_at),
        }),
        other => Err(Error::Unknown {
            detail: format!("unexpected reply: {other:?}"),
        }),
    }
}

/// Waits until this VM has to ask the store again while its watch waits.
async fn refresh_due(node: &Node, subject: StoreSubject) {
    loop {
        let due_in = refresh_due_in(node, subject);
        if due_in.is_some_and(|left| left.is_zero()) {
            return;
        }
        // Confirmations from other VMs put it off, and the rank of this VM may change.
        sleep(due_in.map_or(REFRESH_CHECK_INTERVAL, |left| {
            left.min(REFRESH_CHECK_INTERVAL)
        }))
        .await;
    }
}

/// Time until this VM has to ask the store again; `None` while others do.
pub fn refresh_due_in(node: &Node, subject: StoreSubject) -> Option<Duration> {
    let now = clock::now();
    let own = node.local_vm();
    let core = node.core.borrow();
    let rank = core.peers.refresh_rank(now, own);
    let refresh_after = freshness::refresh_after(subject, rank, core.peers.is_large())?;
    Some(core.freshness.refresh_due_in(now, subject, refresh_after))
}
