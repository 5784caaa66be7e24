//! Finds out which process accepted a connection to an endpoint, by reading the endpoint's entry again
//! after the connection was opened.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Mutex, Notify};
use tokio::time::{sleep, timeout};

use super::node::Node;
use super::watch::refresh_endpoints;
use super::{peers, streams};
use crate::clock;
use crate::decide::discovery::{
    ConnectedProcess, EndpointProcess, SoftwareCheck, REGISTRATION_TIME,
};
use crate::id::EndpointId;

/// Timeout of a read. A caller abandons its stream after a gap of two seconds, and the read delays
/// only an attempt that continues a stream.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after a failed read in which no other one is made: many streams break at once.
const FAILED_FOR: Duration = Duration::from_millis(300);
/// Shortest time between two refreshes on behalf of streams that have begun.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// The same after a failure.
const FAILED_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// When the last read failed that was made for one process; held while it is read.
type ProcessRead = Rc<Mutex<Option<Duration>>>;

/// Reads of endpoints' entries that are under way.
#[derive(Default)]
pub struct ProcessReads {
    /// Held while all endpoints are read; when the last such read failed.
    all: Mutex<Option<Duration>>,
    by_process: RefCell<HashMap<EndpointId, ProcessRead>>,
    /// Streams have begun whose processes are not confirmed.
    wanted: Notify,
}

impl ProcessReads {
    /// Asks for the confirmation of streams that have just begun.
    pub fn want(&self) {
        self.wanted.notify_one();
    }

    fn of(&self, process: EndpointId) -> ProcessRead {
        let mut reads = self.by_process.borrow_mut();
        reads.retain(|id, read| *id == process || Rc::strong_count(read) > 1);
        reads.entry(process).or_default().clone()
    }
}

/// Checks which software is at the other end of a connection; asks the store if that is not known.
pub async fn confirm(node: &Rc<Node>, connected: &ConnectedProcess) -> SoftwareCheck {
    let check = || node.core.borrow().discovery.check_software(connected);
    let known = check();
    if known != SoftwareCheck::NotConfirmed || connected.software.is_empty() {
        return known;
    }
    let due_at = connected.connected_at + REGISTRATION_TIME;
    sleep(due_at.saturating_sub(clock::now())).await;
    let wanted_at = clock::now();
    if !node.core.borrow().peers.is_large() {
        refresh(node, wanted_at).await;
        let known = check();
        if known != SoftwareCheck::NotConfirmed {
            return known;
        }
    }
    read_entry(node, &connected.process, wanted_at, check).await;
    let known = check();
    log::info!(
        endpoint = *connected.process.name,
        software = *connected.software,
        check = <&str>::from(known),
        took_ms = (clock::now() - wanted_at).as_millis() as u64;
        "software checked"
    );
    known
}

fn has_failed(failed_at: Option<Duration>, wanted_at: Duration) -> bool {
    failed_at.is_some_and(|at| wanted_at < at + FAILED_FOR)
}

/// Brings the view of all endpoints up to date as of `wanted_at`. Requests that come together share a
/// call.
pub async fn refresh(node: &Rc<Node>, wanted_at: Duration) {
    let reads = &node.process_reads;
    let mut failed_at = reads.all.lock().await;
    let confirmed_at = node.core.borrow().discovery.view_confirmed_at();
    if confirmed_at >= Some(wanted_at) || has_failed(*failed_at, wanted_at) {
        return;
    }
    let asked_at = clock::now();
    let refreshed = timeout(READ_TIMEOUT, refresh_endpoints(node)).await;
    *failed_at = match refreshed {
        Ok(Ok(())) => None,
        Ok(Err(error)) => {
            log::info!(error:% = error; "endpoints not confirmed");
            Some(asked_at)
        }
        Err(_) => Some(asked_at),
    };
}

/// Reads the entry of one endpoint, for a VM that doesn't follow all endpoints or can't ask for them
/// itself.
async fn read_entry(
    node: &Rc<Node>,
    process: &EndpointProcess,
    wanted_at: Duration,
    check: impl Fn() -> SoftwareCheck,
) {
    let read = node.process_reads.of(process.id());
    let mut failed_at = read.lock().await;
    if check() != SoftwareCheck::NotConfirmed || has_failed(*failed_at, wanted_at) {
        return;
    }
    let key = format!("{}{}", node.dialect.keys.endpoints, process.name);
    let asked_at = clock::now();
    let item = match timeout(READ_TIMEOUT, node.store.get(&key)).await {
        Ok(Ok(item)) => item,
        Ok(Err(error)) => {
            log::info!(endpoint = *process.name, error:% = error; "entry not read");
            *failed_at = Some(asked_at);
            return;
        }
        Err(_) => {
            *failed_at = Some(asked_at);
            return;
        }
    };
    let entry = item.and_then(|item| (node.dialect.registration)(&process.name, &item.value).ok());
    let Some(entry) = entry else {
        return;
    };
    let now = clock::now();
    let is_replaced = {
        let discovery = &mut node.core.borrow_mut().discovery;
        discovery.apply_process_entry(now, process, &entry, asked_at)
    };
    if is_replaced {
        node.process_ended(process.id());
    }
}

/// Confirms the processes of streams that have begun, until the process ends.
///
/// Later it may be too late: an endpoint that has ended is not registered any more, and a stream
/// whose process was not confirmed before can't go on.
pub async fn confirm_starts(node: Rc<Node>) {
    loop {
        node.process_reads.wanted.notified().await;
        sleep(REGISTRATION_TIME).await;
        if !node.core.borrow().peers.is_large() && node.store_answers.get() {
            refresh(&node, clock::now()).await;
        }
        let confirmed = {
            let core = &mut *node.core.borrow_mut();
            let discovery = &core.discovery;
            core.streams.confirm(clock::now(), |connected| {
                discovery.check_software(connected) == SoftwareCheck::Confirmed
            })
        };
        for record in confirmed {
            streams::report(
                &node,
                &peers::Datagram::Stream(record.clone()),
                record.stream,
            );
        }
        let has_failed = node.process_reads.all.lock().await.is_some();
        sleep(match has_failed {
            true => FAILED_REFRESH_INTERVAL,
            false => REFRESH_INTERVAL,
        })
        .await;
    }
}
