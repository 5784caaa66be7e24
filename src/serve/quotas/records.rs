//! Marks workspaces near their quotas in the metadata store.
//!
//! The failure: all processes are killed while a workspace asks for many times its quota. Those that start in their place
//! know nothing of what was let in a second ago, and let as much in again.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use super::quota_of;
use crate::clock;
use crate::decide::quota::WorkspaceKey;
use crate::serve::jobs::write;
use crate::serve::node::Node;
use crate::store::{Call, Error, Reply, Txn};

/// Prefix of the marks. Each lapses with its lease.
const MARKS: &str = "small/quota/";
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(200);
/// The same until the marks are read: callers are about to come.
const LOOK_UNREAD: Duration = Duration::from_millis(20);
/// Time between two writes of one mark.
const AGAIN: Duration = Duration::from_secs(3);
/// What a mark outlives the window by, and the next write.
const LIFE_MARGIN: Duration = Duration::from_secs(4);
/// VMs that write a mark: the first ones in order, of which one may be cut off.
const WRITERS: usize = 2;

/// Reads the marks at the start, and writes them until the process ends.
pub async fn keep(node: Rc<Node>) {
    let mut read = false;
    let mut written: HashMap<WorkspaceKey, Duration> = HashMap::new();
    loop {
        sleep(if read { LOOK } else { LOOK_UNREAD }).await;
        let has_quotas = node.routes().is_some_and(|routes| routes.has_quotas());
        if !has_quotas {
            continue;
        }
        read = read || read_marks(&node).await;
        let now = clock::now();
        written.retain(|_, at| now < *at + AGAIN);
        for workspace in near(&node, now) {
            if written.contains_key(&workspace) {
                continue;
            }
            written.insert(workspace, now);
            if let Err(error) = write_mark(&node, workspace).await {
                log::info!(workspace, error:% = error; "a workspace near its quota can't be marked");
            }
        }
    }
}

/// Workspaces near their quotas that this VM marks.
fn near(node: &Node, now: Duration) -> Vec<WorkspaceKey> {
    let core = node.core.borrow();
    let Some(routes) = core.routes.as_ref() else {
        return Vec::new();
    };
    let near = core
        .quotas
        .near_limit(now, |workspace| quota_of(routes, workspace));
    let writes = |workspace: &WorkspaceKey| {
        let rank = core.peers.rank(now, node.vm, u64::from(*workspace));
        rank < WRITERS
    };
    near.into_iter().filter(writes).collect()
}

/// True when there is nothing more to read: what was marked before this process started has been, or has lapsed.
async fn read_marks(node: &Node) -> bool {
    let window = Duration::from_secs_f64(node.settings.quota_window_s);
    if clock::now() >= node.started_at + window {
        return true;
    }
    let items = match node.store.range(MARKS).await {
        Ok((items, _)) => items,
        Err(error) => {
            log::info!(error:% = error; "marks of workspaces near their quotas can't be read");
            sleep(LOOK).await;
            return false;
        }
    };
    let mut core = node.core.borrow_mut();
    for item in items {
        let key = item.key.strip_prefix(MARKS).unwrap_or_default();
        match WorkspaceKey::from_str_radix(key, 16) {
            Ok(workspace) => core.quotas.mark_near_limit(workspace),
            Err(error) => log::error!(key = item.key, error:% = error; "a mark can't be read"),
        }
    }
    true
}

async fn write_mark(node: &Node, workspace: WorkspaceKey) -> Result<(), Error> {
    let ttl = Duration::from_secs_f64(node.settings.quota_window_s) + LIFE_MARGIN;
    let Reply::Granted(lease) = node.store.call(Call::Grant { ttl }).await? else {
        return Err(Error::NoLease);
    };
    let mut mark = write(format!("{MARKS}{workspace:08x}"), Bytes::new());
    mark.lease = lease;
    let txn = Txn {
        expect: Vec::new(),
        writes: vec![mark],
        deletes: Vec::new(),
    };
    node.store.try_commit(txn).await.map(|_| ())
}
