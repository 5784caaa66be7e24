//! Records of requests that are held back, in the metadata store.

use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::{note_changes, now};
use crate::clock;
use crate::decide::quarantine::{EvidenceSource, Fingerprint, QuarantineReport, HOLD_TIME};
use crate::serve::jobs::{encode, write};
use crate::serve::node::Node;
use crate::store::{Call, Error, Reply, Txn};

/// Prefix of the records of requests that are held back.
const RECORDS: &str = "small/held/";
/// Time between two tries to read or write the records.
const RECORD_PAUSE: Duration = Duration::from_secs(1);

/// A request that is held back, as the metadata store keeps it over a restart of all VMs.
#[derive(Serialize, Deserialize)]
struct Kept {
    told: QuarantineReport,
    /// Wall-clock time of the write: an age over a restart of everything is known from nothing else. A clock that
    /// jumps by seconds moves the end of ten minutes by as much.
    written_ms: u64,
}

/// Keeps the records of requests that are held back in the metadata store, until the process ends.
///
/// The failure: all VMs lose their power or are killed at once, and the request goes on as if nothing had been. A VM reads the
/// records when it first sees an endpoint end under a request, so that they cost no call on any other day.
pub async fn keep_records(node: Rc<Node>) {
    let mut read = false;
    let mut written: Vec<Fingerprint> = Vec::new();
    loop {
        sleep(RECORD_PAUSE / 10).await;
        if node.core.borrow().quarantine.is_empty() && written.is_empty() {
            sleep(RECORD_PAUSE).await;
            continue;
        }
        read = read || read_records(&node).await;
        if write_records(&node, &mut written).await.is_err() || !read {
            sleep(RECORD_PAUSE).await;
        }
    }
}

async fn read_records(node: &Node) -> bool {
    let items = match node.store.range(RECORDS).await {
        Ok((items, _)) => items,
        Err(error) => {
            log::info!(error:% = error; "records of requests that are held back can't be read");
            return false;
        }
    };
    for item in items {
        match serde_json::from_slice::<Kept>(&item.value) {
            Ok(kept) => {
                let lain = clock::unix_ms().saturating_sub(kept.written_ms);
                let told = kept.told.aged(Duration::from_millis(lain));
                let mut core = node.core.borrow_mut();
                if core
                    .quarantine
                    .apply_report(now(), &told, EvidenceSource::Store)
                {
                    core.quarantine.forward(told.fingerprint);
                }
            }
            // Of another version of this program, which keeps its own.
            Err(error) => log::warn!(key = item.key, error:% = error; "a record can't be read"),
        }
    }
    note_changes(node);
    true
}

/// Writes what this VM holds back by its own word, and removes what is held back no more.
async fn write_records(node: &Node, written: &mut Vec<Fingerprint>) -> Result<(), Error> {
    let held = node.core.borrow().quarantine.held_by_local_evidence();
    for fingerprint in &held {
        if !written.contains(fingerprint) {
            write_record(node, *fingerprint).await?;
            written.push(*fingerprint);
        }
    }
    let over: Vec<Fingerprint> = written
        .iter()
        .filter(|one| !node.core.borrow().quarantine.is_held(**one))
        .copied()
        .collect();
    for fingerprint in over {
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
    let Some(told) = node
        .core
        .borrow()
        .quarantine
        .report(now(), fingerprint, true)
    else {
        return Ok(());
    };
    let kept = Kept {
        told,
        written_ms: clock::unix_ms(),
    };
    let Reply::Granted(lease) = node.store.call(Call::Grant { ttl: HOLD_TIME }).await? else {
        return Err(Error::NoLease);
    };
    let mut record = write(record_key(fingerprint), encode(&kept));
    record.lease = lease;
    let txn = Txn {
        expect: Vec::new(),
        writes: vec![record],
        deletes: Vec::new(),
    };
    node.store.try_commit(txn).await.map(|_| ())
}

fn record_key(fingerprint: Fingerprint) -> String {
    format!("{RECORDS}{fingerprint}")
}
