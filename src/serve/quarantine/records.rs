//! Records of quarantined requests in the metadata store.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::{publish_changes, quarantine_now};
use crate::clock;
use crate::decide::quarantine::{EvidenceSource, Fingerprint, QuarantineReport, HOLD_TIME};
use crate::serve::jobs::{encode, write};
use crate::serve::node::Node;
use crate::store::{Call, Error, Item, Reply, Txn};
use crate::util;

/// Prefix of the records' keys.
const RECORD_PREFIX: &str = "small/held/";
/// Time between two attempts to read or write the records.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The VMs of a fleet that starts as a whole spread their first reads over this time.
const STARTUP_READ_DELAY_MAX: Duration = Duration::from_secs(1);

/// A quarantined request as stored in the metadata store, so that it survives a restart of all VMs.
#[derive(Serialize, Deserialize)]
struct QuarantineRecord {
    #[serde(rename = "told")]
    report: QuarantineReport,
    /// Wall-clock time of the write: after a restart of all VMs there is no other way to tell the
    /// record's age. A clock that jumps by seconds shifts the end of the ten minutes by as much.
    written_ms: u64,
}

/// Reads and writes the records of quarantined requests until the process ends.
///
/// Without them, when all VMs lose power or are killed at once, what was quarantined would run again
/// at once. A VM reads the records when it starts, and once more when it first suspects something,
/// since the first read may be seconds old.
pub async fn keep_records(node: Rc<Node>) {
    sleep(STARTUP_READ_DELAY_MAX.mul_f64(util::rng().random())).await;
    let found = node.store.stale_range(RECORD_PREFIX).await;
    apply_records(&node, found.map(|(items, _)| items), false);
    let mut read = false;
    let mut written: Vec<Fingerprint> = Vec::new();
    loop {
        sleep(RECORD_RETRY_INTERVAL / 10).await;
        if node.core.borrow().quarantine.is_empty() && written.is_empty() {
            sleep(RECORD_RETRY_INTERVAL).await;
            continue;
        }
        read = read || read_records(&node).await;
        if write_records(&node, &mut written).await.is_err() || !read {
            sleep(RECORD_RETRY_INTERVAL).await;
        }
    }
}

async fn read_records(node: &Node) -> bool {
    let found = node.store.range(RECORD_PREFIX).await;
    apply_records(node, found.map(|(items, _)| items), true)
}

/// Applies stored records, and forwards what is new to the aggregators if `forwards` is true; false
/// if they could not be read.
fn apply_records(node: &Node, found: Result<Vec<Item>, Error>, forwards: bool) -> bool {
    let items = match found {
        Ok(items) => items,
        Err(error) => {
            log::info!(error:% = error; "cannot read the records of quarantined requests");
            return false;
        }
    };
    for item in items {
        match serde_json::from_slice::<QuarantineRecord>(&item.value) {
            Ok(record) => {
                let age_ms = clock::unix_ms().saturating_sub(record.written_ms);
                let report = record.report.aged(Duration::from_millis(age_ms));
                let quarantine = &mut node.core.borrow_mut().quarantine;
                let is_new =
                    quarantine.apply_report(quarantine_now(), &report, EvidenceSource::Store);
                if is_new && forwards {
                    quarantine.forward(report.fingerprint);
                }
            }
            // Written by another version of the program, which keeps its own records.
            Err(error) => {
                log::warn!(key = item.key, error:% = error; "invalid record of a quarantined request")
            }
        }
    }
    publish_changes(node);
    true
}

/// Writes records of the requests that this VM itself quarantined, and removes those of requests
/// that are no longer quarantined.
async fn write_records(node: &Node, written: &mut Vec<Fingerprint>) -> Result<(), Error> {
    let held = node.core.borrow().quarantine.held_by_local_evidence();
    for fingerprint in &held {
        if !written.contains(fingerprint) {
            write_record(node, *fingerprint).await?;
            written.push(*fingerprint);
        }
    }
    let released: Vec<Fingerprint> = written
        .iter()
        .filter(|one| !node.core.borrow().quarantine.is_held(**one))
        .copied()
        .collect();
    for fingerprint in released {
        let removal = Txn {
            expect: Vec::new(),
            writes: Vec::new(),
            deletes: vec![record_key(fingerprint)],
        };
        node.store.try_commit(removal).await?;
        written.retain(|one| *one != fingerprint);
    }
    Ok(())
}

async fn write_record(node: &Node, fingerprint: Fingerprint) -> Result<(), Error> {
    let Some(report) = node
        .core
        .borrow()
        .quarantine
        .report(quarantine_now(), fingerprint, true)
    else {
        return Ok(());
    };
    let record = QuarantineRecord {
        report,
        written_ms: clock::unix_ms(),
    };
    let Reply::Granted(lease) = node.store.call(Call::Grant { ttl: HOLD_TIME }).await? else {
        return Err(Error::NoLease);
    };
    let mut stored = write(record_key(fingerprint), encode(&record));
    stored.lease = lease;
    let txn = Txn {
        expect: Vec::new(),
        writes: vec![stored],
        deletes: Vec::new(),
    };
    node.store.try_commit(txn).await.map(|_| ())
}

fn record_key(fingerprint: Fingerprint) -> String {
    format!("{RECORD_PREFIX}{fingerprint}")
}
