//! Records in the metadata store of the software versions that services have.
//!
//! When all processes are killed at once, nothing else tells the new ones which versions there were
//! a second ago, and no caller could resume its stream. Each record expires with a lease of its own,
//! which is renewed while the version is present.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::decide::stream_origins::StreamOrigin;
use crate::id::{Name, Revision, ServiceId};
use crate::serve::jobs::{encode, write};
use crate::serve::node::{Core, Node};
use crate::store::{Call, Error, LeaseId, Reply, Txn};

/// Prefix of the records' keys.
const RECORD_PREFIX: &str = "small/software/";
/// Time for which a record outlasts its last renewal.
const RECORD_TTL: Duration = Duration::from_secs(240);
/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(60);
/// Time after its last endpoint for which a version is still on record.
pub const COVERED_TIME: Duration = Duration::from_secs(180);
/// Time between two checks for new versions. A stream that begins sooner at a new version records it
/// itself.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two look-ups, and after a failed write.
const CALL_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two reads: callers of many streams come at once.
const READ_INTERVAL: Duration = Duration::from_millis(250);
/// Time to record a version, for which the first event of a stream waits.
const RECORD_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout of a read: a caller abandons its stream after a gap of two seconds.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// One version of one service, which its key names too.
#[derive(Serialize)]
struct SoftwareRecord {
    service: ServiceId,
    software: Name,
}

/// The last read of the records.
pub type SoftwareRecords = Mutex<Option<RecordsRead>>;

/// A read of the records.
pub struct RecordsRead {
    asked_at: Duration,
    /// `None` if it has failed.
    origins: Option<Vec<StreamOrigin>>,
}

/// A lease of a record, and when it is renewed next.
struct Held {
    lease: LeaseId,
    renew_at: Duration,
}

/// Writes and renews the records until the process ends, on the one VM that comes first in order; the
/// others look up what is on record.
pub async fn keep_records(node: Rc<Node>) {
    let mut held: HashMap<StreamOrigin, Held> = HashMap::new();
    let mut next_call_at = Duration::ZERO;
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = clock::now();
        if now < next_call_at || !node.store_answers.get() {
            continue;
        }
        let (present, is_writer, is_check_due) = {
            let own = node.local_vm();
            let core = node.core.borrow();
            let is_writer = core.peers.refresh_rank(now, own) == Some(0);
            let mut present = core.software.present();
            present.retain(|origin| is_routed(&core, origin.service));
            let is_check_due = core.recorded.is_check_due(now, &present);
            (present, is_writer, is_check_due)
        };
        if !is_writer {
            held.clear();
            if is_check_due {
                next_call_at = now + CALL_INTERVAL;
                look_up(&node, now).await;
            }
            continue;
        }
        held.retain(|origin, _| present.contains(origin));
        for origin in present {
            let lease = match held.get(&origin) {
                Some(one) if now < one.renew_at => continue,
                Some(one) => Some(one.lease),
                None => None,
            };
            match renew_record(&node, &origin, lease).await {
                Ok(lease) => {
                    node.core.borrow_mut().recorded.found(now, origin.clone());
                    let renew_at = now + RENEW_INTERVAL;
                    held.insert(origin, Held { lease, renew_at });
                }
                Err(error) => {
                    held.remove(&origin);
                    next_call_at = now + CALL_INTERVAL;
                    let software = &*origin.software;
                    log::info!(software, error:% = error; "a software version can't be recorded");
                }
            }
        }
    }
}

/// Whether streams of a service can begin. Entries may name any service, and each version on record
/// costs calls.
fn is_routed(core: &Core, service: ServiceId) -> bool {
    let routes = core.routes.iter().flat_map(|table| &table.rules.routes);
    let mut shares = routes.flat_map(|route| &route.shares);
    shares.any(|share| share.service == service)
}

/// Notes which versions are on record; the answer may be seconds old, which is little compared with
/// the life of a record.
async fn look_up(node: &Node, now: Duration) {
    match node.store.stale_range(RECORD_PREFIX).await {
        Ok((items, _)) => {
            let recorded = &mut node.core.borrow_mut().recorded;
            let origins = items.iter().filter_map(|item| parse_key(&item.key));
            origins.for_each(|origin| recorded.found(now, origin));
        }
        Err(error) => log::info!(error:% = error; "software versions can't be looked up"),
    }
}

/// Makes sure that a version is on record; false if that failed.
///
/// This has to happen before a stream's first event is passed on: if all VMs are killed right after,
/// the records alone tell that the stream may be one of this version.
pub async fn ensure_recorded(node: &Node, origin: &StreamOrigin) -> bool {
    let is_recorded = |node: &Node| {
        let core = node.core.borrow();
        core.recorded.is_recorded(clock::now(), origin)
    };
    if is_recorded(node) {
        return true;
    }
    let _recording = node.software_recording.lock().await;
    if is_recorded(node) {
        return true;
    }
    if node.core.borrow().recorded.has_just_failed(clock::now()) {
        return false;
    }
    let now = clock::now();
    let recorded = match timeout(RECORD_TIMEOUT, record_if_missing(node, origin)).await {
        Ok(recorded) => recorded,
        Err(_) => Err(Error::Unknown {
            detail: "no answer in time".into(),
        }),
    };
    let known = &mut node.core.borrow_mut().recorded;
    match &recorded {
        Ok(()) => known.found(now, origin.clone()),
        Err(error) => {
            known.failed(clock::now());
            let software = &*origin.software;
            log::warn!(software, error:% = error; "a stream can't begin: its software version can't be recorded");
        }
    }
    recorded.is_ok()
}

async fn record_if_missing(node: &Node, origin: &StreamOrigin) -> Result<(), Error> {
    if node.store.get(&record_key(origin)).await?.is_some() {
        return Ok(());
    }
    let lease = grant(node).await?;
    // Not over another VM's record, which that VM renews.
    let expect = vec![(record_key(origin), 0)];
    node.store
        .try_commit(record_txn(origin, lease, expect))
        .await?;
    log::info!(software = *origin.software; "software version recorded for a stream");
    Ok(())
}

async fn renew_record(
    node: &Node,
    origin: &StreamOrigin,
    lease: Option<LeaseId>,
) -> Result<LeaseId, Error> {
    if let Some(lease) = lease {
        return node.store.call(Call::Renew(lease)).await.map(|_| lease);
    }
    let lease = grant(node).await?;
    let txn = record_txn(origin, lease, Vec::new());
    let committed: Option<Revision> = node.store.try_commit(txn).await?;
    committed.map(|_| lease).ok_or(Error::NoLease)
}

async fn grant(node: &Node) -> Result<LeaseId, Error> {
    match node.store.call(Call::Grant { ttl: RECORD_TTL }).await? {
        Reply::Granted(lease) => Ok(lease),
        _ => Err(Error::NoLease),
    }
}

fn record_key(origin: &StreamOrigin) -> String {
    format!("{RECORD_PREFIX}{:x}/{}", origin.service, origin.software)
}

fn record_txn(origin: &StreamOrigin, lease: LeaseId, expect: Vec<(String, Revision)>) -> Txn {
    let record = SoftwareRecord {
        service: origin.service,
        software: origin.software.clone(),
    };
    let mut record = write(record_key(origin), encode(&record));
    record.lease = lease;
    Txn {
        expect,
        writes: vec![record],
        deletes: Vec::new(),
    }
}

/// The version that a record's key names. The key alone counts: a value that can't be read says
/// nothing, and must not hide the other records.
fn parse_key(key: &str) -> Option<StreamOrigin> {
    let (service, software) = key.strip_prefix(RECORD_PREFIX)?.split_once('/')?;
    let service = ServiceId::from_str_radix(service, 16).ok()?;
    // Streams may have begun at an endpoint whose version was not known: its record names none.
    Some(StreamOrigin {
        service,
        software: software.into(),
    })
}

/// The versions of a service on record as of `since` or later; `None` if they can't be read.
pub async fn read(node: &Node, service: ServiceId, since: Duration) -> Option<Vec<Name>> {
    let mut last = node.software_records.lock().await;
    let is_old = |read: &RecordsRead| read.asked_at < since;
    if last.as_ref().is_none_or(is_old) {
        let next_read_at = last.as_ref().map(|read| read.asked_at + READ_INTERVAL);
        let pause = next_read_at.map(|at| at.saturating_sub(clock::now()));
        sleep(pause.unwrap_or_default()).await;
        let asked_at = clock::now();
        let origins = read_all(node).await;
        *last = Some(RecordsRead { asked_at, origins });
    }
    let known = last.as_ref()?.origins.as_ref()?;
    let of_service = known.iter().filter(|origin| origin.service == service);
    Some(of_service.map(|origin| origin.software.clone()).collect())
}

async fn read_all(node: &Node) -> Option<Vec<StreamOrigin>> {
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
    let origins = items.iter().filter_map(|item| parse_key(&item.key));
    Some(origins.collect())
}
