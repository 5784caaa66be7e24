//! Finds out which process accepted a connection to an endpoint, by reading the endpoint's entry again
//! after the connection was opened.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Mutex, Notify};
use tokio::time::{sleep, timeout};

use super::endpoint_news;
use super::node::Node;
use super::watch::refresh_endpoints;
use super::{peers, streams};
use crate::clock;
use crate::decide::discovery::{
    ConnectedProcess, EndpointProcess, SoftwareCheck, REGISTRATION_TIME,
};
use crate::id::EndpointId;

/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Time to confirm a process. An endpoint counts as silent 0.4 s after a request was sent to it.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(350);
/// Time after a failed read in which no other one is made: many streams break at once.
const FAILED_FOR: Duration = Duration::from_millis(300);
/// Shortest time between two refreshes on behalf of other VMs, which share each of them.
const SHARED_REFRESH_INTERVAL: Duration = Duration::from_millis(150);
/// Timeout of a refresh by another VM; some time is left for one by this VM.
const SHARED_REFRESH_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after a failed one in which this VM asks the store itself.
const SHARED_REFRESH_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Shortest time between two refreshes on behalf of streams that have begun.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// The same after a failure.
const FAILED_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// The last read of an entry, or of all.
#[derive(Debug, Clone, Copy)]
struct LastRead {
    asked_at: Duration,
    has_failed: bool,
}

impl LastRead {
    /// Whether it has told all that another read would, for someone who asks at `wanted_at`.
    fn suffices(&self, wanted_at: Duration) -> bool {
        self.asked_at >= wanted_at || (self.has_failed && wanted_at < self.asked_at + FAILED_FOR)
    }
}

/// Held while a read is under way.
type ReadSlot = Rc<Mutex<Option<LastRead>>>;

/// Reads of endpoints' entries that are under way.
#[derive(Default)]
pub struct ProcessReads {
    all: ReadSlot,
    by_process: RefCell<HashMap<EndpointId, ReadSlot>>,
    /// When this VM last asked the store on behalf of others. Held while it does.
    shared_at: Mutex<Duration>,
    /// When another VM last failed to confirm the view.
    shared_failed_at: Cell<Option<Duration>>,
    /// Streams have begun whose processes are not confirmed.
    wanted: Notify,
}

impl ProcessReads {
    /// Asks for the confirmation of streams that have just begun.
    pub fn want(&self) {
        self.wanted.notify_one();
    }

    fn of(&self, process: EndpointId) -> ReadSlot {
        let mut reads = self.by_process.borrow_mut();
        reads.retain(|id, read| *id == process || Rc::strong_count(read) > 1);
        reads.entry(process).or_default().clone()
    }
}

/// Who is asked for the newest entries of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntrySource {
    /// The store, at once.
    Store,
    /// In a large fleet, the VM that asks the store for all VMs, a little later.
    Fleet,
}

/// Whether the store could tell now which software is at the other end of a connection.
pub fn can_confirm(node: &Node, now: Duration) -> bool {
    node.store_answers.get() && node.core.borrow().discovery.can_confirm(now)
}

/// Checks which software is at the other end of a connection; asks the store if that is not known.
pub async fn confirm(node: &Rc<Node>, connected: &ConnectedProcess) -> SoftwareCheck {
    confirm_by(node, connected, EntrySource::Store).await
}

/// Like [`confirm`], by the newest entries that `source` has.
pub async fn confirm_by(
    node: &Rc<Node>,
    connected: &ConnectedProcess,
    source: EntrySource,
) -> SoftwareCheck {
    let check = || node.core.borrow().discovery.check_software(connected);
    let asked_at = clock::now();
    let registration_time = node.core.borrow().discovery.registration_time(connected);
    let due_in = (connected.connected_at + registration_time).saturating_sub(asked_at);
    let is_known = matches!(check(), SoftwareCheck::Confirmed | SoftwareCheck::Replaced);
    let can_confirm = node.core.borrow().discovery.can_confirm(asked_at + due_in);
    if is_known || connected.software.is_empty() || due_in > REGISTRATION_TIME || !can_confirm {
        return check();
    }
    sleep(due_in).await;
    // What a read has told counts even if another one takes too long.
    if source == EntrySource::Fleet {
        refresh_by_other(node, asked_at + due_in).await;
    }
    let _ = timeout(CONFIRM_TIMEOUT, ask(node, connected, check)).await;
    let known = check();
    log::info!(
        endpoint = *connected.process.name,
        software = *connected.software,
        check = <&str>::from(known),
        took_ms = (clock::now() - asked_at).as_millis() as u64;
        "software checked"
    );
    known
}

async fn ask(node: &Rc<Node>, connected: &ConnectedProcess, check: impl Fn() -> SoftwareCheck) {
    let wanted_at = clock::now();
    let is_unknown = || !matches!(check(), SoftwareCheck::Confirmed | SoftwareCheck::Replaced);
    let holds_all = node.core.borrow().discovery.holds_all();
    if holds_all && is_unknown() {
        refresh(node, wanted_at).await;
        let is_new = node.core.borrow().discovery.view_confirmed_at() >= Some(wanted_at);
        if is_new || !node.store_answers.get() {
            return;
        }
    }
    if is_unknown() {
        read_entry(node, &connected.process, wanted_at, is_unknown).await;
    }
}

/// Brings the view of all endpoints up to date as of `wanted_at`. Requests that come together share a
/// call.
pub async fn refresh(node: &Rc<Node>, wanted_at: Duration) {
    let mut last = node.process_reads.all.lock().await;
    let confirmed_at = node.core.borrow().discovery.view_confirmed_at();
    let suffices = last.is_some_and(|read| read.suffices(wanted_at));
    if suffices || confirmed_at >= Some(wanted_at) {
        return;
    }
    let asked_at = clock::now();
    let refreshed = timeout(READ_TIMEOUT, refresh_endpoints(node)).await;
    if let Ok(Err(error)) = &refreshed {
        log::info!(error:% = error; "endpoints not confirmed");
    }
    let has_failed = !matches!(refreshed, Ok(Ok(())));
    *last = Some(LastRead {
        asked_at,
        has_failed,
    });
}

/// Has the view of all endpoints brought up to date by the VM that does so for all VMs of a large
/// fleet.
///
/// Where VMs ask the store each for itself, every item that resumes costs a call.
async fn refresh_by_other(node: &Rc<Node>, wanted_at: Duration) {
    let reads = &node.process_reads;
    let failed_at = reads.shared_failed_at.get();
    let has_failed = failed_at.is_some_and(|at| wanted_at < at + SHARED_REFRESH_RETRY_AFTER);
    let to = {
        let core = node.core.borrow();
        let is_usable = core.peers.is_large() && core.discovery.holds_all() && !has_failed;
        let is_new = core.discovery.view_confirmed_at() >= Some(wanted_at);
        let to = core.peers.confirming_vm(wanted_at);
        to.filter(|to| is_usable && !is_new && *to != node.settings.peer_address)
    };
    let Some(to) = to else {
        return;
    };
    let confirmed = endpoint_news::fetch_confirmed(node, to, SHARED_REFRESH_TIMEOUT).await;
    if !matches!(confirmed, Ok(true)) {
        reads.shared_failed_at.set(Some(clock::now()));
    }
    if let Err(error) = confirmed {
        log::info!(by:% = to, error:% = error; "endpoints not confirmed by another VM");
    }
}

/// Brings the view of all endpoints up to date on behalf of other VMs that asked at `wanted_at`; false
/// if that failed.
pub async fn refresh_for_other(node: &Rc<Node>, wanted_at: Duration) -> bool {
    let is_confirmed = || node.core.borrow().discovery.view_confirmed_at() >= Some(wanted_at);
    let mut shared_at = node.process_reads.shared_at.lock().await;
    if !is_confirmed() {
        let due_at = *shared_at + SHARED_REFRESH_INTERVAL;
        sleep(due_at.saturating_sub(clock::now())).await;
        *shared_at = clock::now();
        refresh(node, *shared_at).await;
    }
    is_confirmed()
}

/// Reads the entry of one endpoint, for a VM that doesn't follow all endpoints or can't ask for them
/// itself.
async fn read_entry(
    node: &Rc<Node>,
    process: &EndpointProcess,
    wanted_at: Duration,
    is_unknown: impl Fn() -> bool,
) {
    let slot = node.process_reads.of(process.id());
    let mut last = slot.lock().await;
    if !is_unknown() || last.is_some_and(|read| read.suffices(wanted_at)) {
        return;
    }
    let key = format!("{}{}", node.dialect.keys.endpoints, process.name);
    let asked_at = clock::now();
    let read = timeout(READ_TIMEOUT, node.store.get(&key)).await;
    if let Ok(Err(error)) = &read {
        log::info!(endpoint = *process.name, error:% = error; "entry not read");
    }
    let has_failed = !matches!(read, Ok(Ok(_)));
    *last = Some(LastRead {
        asked_at,
        has_failed,
    });
    let Ok(Ok(Some(item))) = read else {
        return;
    };
    let Ok(entry) = (node.dialect.registration)(&process.name, &item.value) else {
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
        if node.core.borrow().peers.is_large() {
            // Its VMs don't follow the store, and ask for single entries when a stream breaks.
            continue;
        }
        sleep(REGISTRATION_TIME).await;
        if node.store_answers.get() {
            refresh(&node, clock::now()).await;
        }
        let (confirmed, has_unconfirmed) = {
            let core = &mut *node.core.borrow_mut();
            let discovery = &core.discovery;
            let confirmed = core.streams.confirm(clock::now(), |connected| {
                discovery.check_software(connected) == SoftwareCheck::Confirmed
            });
            (confirmed, core.streams.has_unconfirmed())
        };
        for record in confirmed {
            streams::report(
                &node,
                &peers::Datagram::Stream(record.clone()),
                record.stream,
            );
        }
        if has_unconfirmed {
            node.process_reads.want();
        }
        let has_failed = node.process_reads.all.lock().await;
        let has_failed = has_failed.is_some_and(|read| read.has_failed);
        sleep(match has_failed {
            true => FAILED_REFRESH_INTERVAL,
            false => REFRESH_INTERVAL,
        })
        .await;
    }
}
