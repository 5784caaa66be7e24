//! Keeps this VM registered in the metadata store.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::jobs::{encode, write};
use super::live_watch::VMS;
use super::node::Node;
use crate::clock;
use crate::decide::peers::VmRecord;
use crate::id;
use crate::store::{Call, Error, Reply, Txn};

/// Life of a registration. Its lapse is what lets other VMs take over, so it is short beside the
/// time that a batch job has; three renewals fit into it.
const LEASE: Duration = Duration::from_secs(3);
/// Time between two renewals.
const RENEW: Duration = Duration::from_millis(900);

/// Keeps this VM registered under a lease until the process drains.
pub async fn register(node: Rc<Node>) {
    let key = format!("{VMS}{}", node.settings.name);
    let record = VmRecord {
        name: node.settings.name.clone(),
        domain: node.domain,
        owner: node.owner,
        gossip_address: node.settings.gossip_address,
        peer_port: node.settings.peer_address.port(),
        core_share: node.settings.core_share,
    };
    let value = encode(&record);
    let mut lease = 0;
    loop {
        let sent_at = clock::now();
        let kept = match lease {
            0 => Err(Error::NoLease),
            lease => node.store.call(Call::Renew(lease)).await.map(|_| lease),
        };
        let outcome = match kept {
            Err(Error::NoLease) => enter(&node, &key, &value).await,
            other => other,
        };
        match outcome {
            Ok(held) => {
                lease = held;
                node.renewed_at.set(Some(sent_at));
            }
            Err(Error::NoLease) => lease = 0,
            Err(error) => {
                log::info!(error:% = error; "the registration could not be renewed");
            }
        }
        sleep(RENEW).await;
    }
}

/// Writes the registration under a new lease. An entry of an earlier start, which is there for as long as its
/// lease, is read only when it is in the way.
async fn enter(node: &Node, key: &str, value: &bytes::Bytes) -> Result<id::Revision, Error> {
    let Reply::Granted(lease) = node.store.call(Call::Grant { ttl: LEASE }).await? else {
        return Err(Error::NoLease);
    };
    let mut written = write_entry(node, key, value, lease, 0).await?;
    if written.is_none() {
        let standing = node.store.get(key).await?;
        let expect = standing.map_or(0, |item| item.revision);
        written = write_entry(node, key, value, lease, expect).await?;
    }
    match written {
        Some(revision) => {
            log::info!(lease, revision; "registered");
            Ok(lease)
        }
        // The entry of an earlier start lapsed meanwhile; the next try finds none.
        None => Err(Error::NoLease),
    }
}

async fn write_entry(
    node: &Node,
    key: &str,
    value: &bytes::Bytes,
    lease: u64,
    expect: id::Revision,
) -> Result<Option<id::Revision>, Error> {
    let mut own = write(key.to_owned(), value.clone());
    own.lease = lease;
    let txn = Txn {
        expect: vec![(key.to_owned(), expect)],
        writes: vec![own],
        deletes: Vec::new(),
    };
    node.store.try_commit(txn).await
}
