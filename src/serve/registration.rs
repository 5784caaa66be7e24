//! Keeps this VM registered in the metadata store.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::jobs::{encode, write};
use super::live_watch::VMS;
use super::node::Node;
use crate::clock;
use crate::decide::load_reports::LOAD_REPORT_VERSION;
use crate::decide::peers::VmRecord;
use crate::id;
use crate::store::{Call, Error, Reply, Txn};

/// Lease of a registration. Other VMs take over when it expires, so it is short compared with the
/// time that a batch job has; three renewals fit into it.
const LEASE_TTL: Duration = Duration::from_secs(3);
/// Interval between renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(900);

/// Keeps this VM registered under a lease for as long as the process runs.
pub async fn register(node: Rc<Node>) {
    let key = format!("{VMS}{}", node.settings.name);
    let record = VmRecord {
        name: node.settings.name.clone(),
        domain: node.domain,
        owner: node.owner,
        gossip_address: node.settings.gossip_address,
        peer_port: node.settings.peer_address.port(),
        core_share: node.settings.core_share,
        load_reports: LOAD_REPORT_VERSION,
    };
    let value = encode(&record);
    let mut lease = 0;
    loop {
        let sent_at = clock::now();
        let renewed = match lease {
            0 => Err(Error::NoLease),
            lease => node.store.call(Call::Renew(lease)).await.map(|_| lease),
        };
        let outcome = match renewed {
            Err(Error::NoLease) => write_registration(&node, &key, &value).await,
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
        sleep(RENEW_INTERVAL).await;
    }
}

/// Writes the registration under a new lease. An entry of an earlier start, which remains until its
/// lease expires, is read only if it prevents the write.
async fn write_registration(
    node: &Node,
    key: &str,
    value: &bytes::Bytes,
) -> Result<id::Revision, Error> {
    let Reply::Granted(lease) = node.store.call(Call::Grant { ttl: LEASE_TTL }).await? else {
        return Err(Error::NoLease);
    };
    let mut written = write_entry(node, key, value, lease, 0).await?;
    if written.is_none() {
        let existing = node.store.get(key).await?;
        let expect = existing.map_or(0, |item| item.revision);
        written = write_entry(node, key, value, lease, expect).await?;
    }
    match written {
        Some(revision) => {
            log::info!(lease, revision; "registered");
            Ok(lease)
        }
        // The entry of an earlier start expired meanwhile; the next attempt finds none.
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
    let mut entry = write(key.to_owned(), value.clone());
    entry.lease = lease;
    let txn = Txn {
        expect: vec![(key.to_owned(), expect)],
        writes: vec![entry],
        deletes: Vec::new(),
    };
    node.store.try_commit(txn).await
}
