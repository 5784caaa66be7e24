//! Records in the metadata store of the software versions that services have.
//!
//! When all processes are killed at once, nothing else tells the new ones which versions there were
//! a second ago, and no caller could resume its stream. Each record expires with a lease of its own,
//! which is renewed while the version is present.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::decide::stream_origins::StreamOrigin;
use crate::id::{Name, Revision, ServiceId};
use crate::serve::jobs::{encode, write};
use crate::serve::node::Node;
use crate::store::{Call, Error, LeaseId, Reply, Txn};

/// Prefix of the records' keys.
const RECORD_PREFIX: &str = "small/software/";
/// Time for which a record outlasts its last renewal.
const RECORD_TTL: Duration = Duration::from_secs(240);
/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(60);
/// Time after its last endpoint for which a version is still on record.
pub const COVERED_TIME: Duration = Duration::from_secs(180);
/// Time between two checks for new versions: a version without a record is missed only if all
/// processes are killed in this time.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which the records are not read again: callers of many streams come at once.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a read: a caller abandons its stream after a gap of two seconds.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// One version of one service.
#[derive(Serialize, Deserialize)]
struct SoftwareRecord {
    service: ServiceId,
    software: Name,
}

/// The records as last read, and when.
pub type SoftwareRecords = Mutex<Option<(Duration, Vec<StreamOrigin>)>>;

/// A lease of a record, and when it is renewed next.
struct Held {
    lease: LeaseId,
    renew_at: Duration,
}

/// Writes and renews the records until the process ends, on the one VM that comes first in order.
pub async fn keep_records(node: Rc<Node>) {
    let mut held: HashMap<StreamOrigin, Held> = HashMap::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = clock::now();
        let present = {
            let own = node.local_vm();
            let core = node.core.borrow();
            let is_writer = core.peers.refresh_rank(now, own) == Some(0);
            is_writer.then(|| core.software.present())
        };
        let present = present.unwrap_or_default();
        held.retain(|origin, _| present.contains(origin));
        for origin in present {
            let lease = match held.get(&origin) {
                Some(one) if now < one.renew_at => continue,
                Some(one) => Some(one.lease),
                None => None,
            };
            match renew_record(&node, &origin, lease).await {
                Ok(lease) => {
                    let renew_at = now + RENEW_INTERVAL;
                    held.insert(origin, Held { lease, renew_at });
                }
                Err(error) => {
                    held.remove(&origin);
                    let software = &*origin.software;
                    log::info!(software, error:% = error; "a software version can't be recorded");
                }
            }
        }
    }
}

async fn renew_record(
    node: &Node,
    origin: &StreamOrigin,
    lease: Option<LeaseId>,
) -> Result<LeaseId, Error> {
    if let Some(lease) = lease {
        return node.store.call(Call::Renew(lease)).await.map(|_| lease);
    }
    let Reply::Granted(lease) = node.store.call(Call::Grant { ttl: RECORD_TTL }).await? else {
        return Err(Error::NoLease);
    };
    let record = SoftwareRecord {
        service: origin.service,
        software: origin.software.clone(),
    };
    let key = format!("{RECORD_PREFIX}{:x}/{}", origin.service, origin.software);
    let mut record = write(key, encode(&record));
    record.lease = lease;
    let txn = Txn {
        expect: Vec::new(),
        writes: vec![record],
        deletes: Vec::new(),
    };
    let committed: Option<Revision> = node.store.try_commit(txn).await?;
    committed.map(|_| lease).ok_or(Error::NoLease)
}

/// The versions of a service on record; `None` if they can't be read.
pub async fn read(node: &Node, service: ServiceId) -> Option<Vec<Name>> {
    let mut records = node.software_records.lock().await;
    let now = clock::now();
    if !matches!(&*records, Some((read_at, _)) if now < *read_at + READ_INTERVAL) {
        let items = match timeout(READ_TIMEOUT, node.store.range(RECORD_PREFIX)).await {
            Ok(Ok((items, _))) => items,
            Ok(Err(error)) => {
                log::info!(error:% = error; "software versions can't be read");
                return None;
            }
            Err(_) => {
                log::info!("software versions can't be read in time");
                return None;
            }
        };
        let parsed = items
            .iter()
            .map(|item| serde_json::from_slice::<SoftwareRecord>(&item.value));
        // An unreadable record may be that of another version.
        let parsed: Vec<SoftwareRecord> = parsed.collect::<Result<_, _>>().ok()?;
        let origin = |record: SoftwareRecord| StreamOrigin {
            service: record.service,
            software: record.software,
        };
        *records = Some((now, parsed.into_iter().map(origin).collect()));
    }
    let (_, known) = records.as_ref()?;
    let of_service = known.iter().filter(|origin| origin.service == service);
    Some(of_service.map(|origin| origin.software.clone()).collect())
}
