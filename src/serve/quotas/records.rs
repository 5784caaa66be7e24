//! Records in the metadata store of workspaces near their quotas.
//!
//! Without them, when all processes are killed while a workspace sends many times its quota, the
//! new processes know nothing of what was admitted a second ago and admit as much again.

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

/// Prefix of the records' keys. Each record expires with its lease.
const RECORD_PREFIX: &str = "small/quota/";
/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The same until the records have been read; kept short because callers are about to arrive.
const CHECK_INTERVAL_UNREAD: Duration = Duration::from_millis(20);
/// Time between two writes of one record.
const WRITE_INTERVAL: Duration = Duration::from_secs(3);
/// Time by which a record outlives the window, and its next write.
const TTL_MARGIN: Duration = Duration::from_secs(4);
/// VMs that write each record: the first ones by rank, of which one may be cut off.
const WRITING_VMS: usize = 2;

/// Reads the records at the start, and writes them until the process ends.
pub async fn keep_records(node: Rc<Node>) {
    let mut read = false;
    let mut written: HashMap<WorkspaceKey, Duration> = HashMap::new();
    loop {
        sleep(if read {
            CHECK_INTERVAL
        } else {
            CHECK_INTERVAL_UNREAD
        })
        .await;
        let has_quotas = node.routes().is_some_and(|routes| routes.has_quotas());
        if !has_quotas {
            continue;
        }
        read = read || read_records(&node).await;
        let now = clock::now();
        written.retain(|_, at| now < *at + WRITE_INTERVAL);
        for workspace in workspaces_to_record(&node, now) {
            if written.contains_key(&workspace) {
                continue;
            }
            written.insert(workspace, now);
            if let Err(error) = write_record(&node, workspace).await {
                log::info!(workspace, error:% = error; "cannot record that a workspace is near its quota");
            }
        }
    }
}

/// Workspaces near their quotas whose records this VM writes.
fn workspaces_to_record(node: &Node, now: Duration) -> Vec<WorkspaceKey> {
    let core = node.core.borrow();
    let Some(routes) = core.routes.as_ref() else {
        return Vec::new();
    };
    let near = core
        .quotas
        .near_limit(now, |workspace| quota_of(routes, workspace));
    let is_writer = |workspace: &WorkspaceKey| {
        let rank = core.peers.rank(now, node.vm, u64::from(*workspace));
        rank < WRITING_VMS
    };
    near.into_iter().filter(is_writer).collect()
}

/// Reads the records; true when done. That includes the time after one window, when records from
/// before this process started no longer matter.
async fn read_records(node: &Node) -> bool {
    let window = Duration::from_secs_f64(node.settings.quota_window_s);
    if clock::now() >= node.started_at + window {
        return true;
    }
    let items = match node.store.range(RECORD_PREFIX).await {
        Ok((items, _)) => items,
        Err(error) => {
            log::info!(error:% = error; "cannot read the records of workspaces near their quotas");
            sleep(CHECK_INTERVAL).await;
            return false;
        }
    };
    let mut core = node.core.borrow_mut();
    for item in items {
        let key = item.key.strip_prefix(RECORD_PREFIX).unwrap_or_default();
        match WorkspaceKey::from_str_radix(key, 16) {
            Ok(workspace) => core.quotas.mark_near_limit(workspace),
            Err(error) => {
                log::error!(key = item.key, error:% = error; "invalid record of a workspace near its quota")
            }
        }
    }
    true
}

async fn write_record(node: &Node, workspace: WorkspaceKey) -> Result<(), Error> {
    let ttl = Duration::from_secs_f64(node.settings.quota_window_s) + TTL_MARGIN;
    let Reply::Granted(lease) = node.store.call(Call::Grant { ttl }).await? else {
        return Err(Error::NoLease);
    };
    let mut record = write(format!("{RECORD_PREFIX}{workspace:08x}"), Bytes::new());
    record.lease = lease;
    let txn = Txn {
        expect: Vec::new(),
        writes: vec![record],
        deletes: Vec::new(),
    };
    node.store.try_commit(txn).await.map(|_| ())
}
