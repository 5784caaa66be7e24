//! Batch items in progress: claims of jobs, runs at endpoints, listing of results, handover.

pub mod claims;
pub mod item;
pub mod listing;
mod progress;
mod waiting;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::task::AbortHandle;
use tokio::time::timeout;

pub use self::claims::adopt;
use self::claims::{claim_if_orphaned, forget_expired, remove_expired};
use self::item::start;
use self::listing::write_results;
pub use self::waiting::waiting;
use super::job_admission;
use super::node::{update_remote_uses, Node, Stage};
use super::waiting_items;
use crate::clock;
use crate::decide::discovery::{unknown_software, ConnectedProcess};
use crate::decide::items::{Action, ItemKey, ItemPlanner};
use crate::decide::quarantine::Hold;
use crate::decide::routes::Route;
use crate::decide::small_jobs::{FinishedItem, Item, ItemIndex, ItemOutcome, SmallJobRecord};
use crate::id::{self, ConfigVersion, EndpointId, Epoch, JobId, Name, ServiceId};

/// Time between two checks of all jobs.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two plans while nothing happens.
const PLAN_INTERVAL: Duration = Duration::from_millis(50);
/// Pause after a write to the store that failed.
const WRITE_RETRY_AFTER: Duration = Duration::from_millis(400);
/// An item is given up only this long after its retention has passed: this process may have
/// received the job late, but never early.
const RETENTION_MARGIN: Duration = Duration::from_secs(2);

/// Progress of one open item.
#[derive(Debug, Default, Clone)]
struct ItemProgress {
    /// Data of the events so far.
    texts: Vec<String>,
    /// Length of the text as JSON. Invariant: at most `TEXT_BYTES_MAX`.
    text_bytes: usize,
    last_event: Option<u64>,
    /// Software version of the endpoints that made the text.
    software: Option<Name>,
    /// The connection that brought the first event, while its process is not confirmed.
    began_on: Option<ConnectedProcess>,
    /// Since when the text waits for the store to tell which software made it, or would continue it.
    unconfirmed_since: Option<Duration>,
    failures: u32,
    /// Endpoints that answered 500 to it on this VM.
    failed_at: Vec<EndpointId>,
    /// The current run.
    run: Option<ItemRun>,
    /// What delayed its last attempt.
    hold: Option<Hold>,
}

/// The current run of an item.
#[derive(Debug, Clone)]
struct ItemRun {
    /// Ends the run at once, whatever has arrived.
    abort: AbortHandle,
    /// Asks the run to stop; the item then waits again with its progress.
    stop: Rc<Notify>,
}

/// One job whose items run here.
struct OwnedJob {
    epoch: Epoch,
    items: Rc<Vec<Item>>,
    /// Memory of the items.
    _memory: Option<OwnedSemaphorePermit>,
    progress: HashMap<ItemIndex, ItemProgress>,
    finished: Vec<FinishedItem>,
    /// Most results that one write may list, after the store rejected a write with more of them.
    results_per_write_max: Option<usize>,
    /// Failure counts have changed since the record was last written.
    failures_unwritten: bool,
    finished_at: Option<Duration>,
    writing: bool,
    /// When the progress of its items was last saved in the store.
    saved_at: Duration,
    write_after: Duration,
    due: Duration,
}

/// All jobs whose items run here.
#[derive(Default)]
pub struct Runs {
    owned: RefCell<HashMap<JobId, OwnedJob>>,
    loading: RefCell<HashSet<JobId>>,
    /// Jobs without a living owner, and since when.
    orphans: RefCell<HashMap<JobId, Duration>>,
    /// Version of the configuration by which the items' services were last assigned.
    assigned_version: Cell<ConfigVersion>,
}

impl Runs {
    /// Calls `act` with an item's progress; `None` when the item does not run here.
    fn with_progress<T>(
        &self,
        key: &ItemKey,
        act: impl FnOnce(&mut ItemProgress) -> T,
    ) -> Option<T> {
        let mut owned = self.owned.borrow_mut();
        let progress = owned.get_mut(&key.job)?.progress.get_mut(&key.item)?;
        Some(act(progress))
    }

    /// Aborts the run of an item. Its connection is dropped, which makes the endpoint stop.
    fn abort(&self, key: &ItemKey) {
        let run = self.with_progress(key, |progress| progress.run.take());
        if let Some(run) = run.flatten() {
            run.abort.abort();
        }
    }
}

/// Aborts all runs of a job, and forgets the job.
pub fn forget(node: &Node, job: &JobId) {
    let Some(owned) = node.runs.owned.borrow_mut().remove(job) else {
        return;
    };
    let mut core = node.core.borrow_mut();
    for (item, progress) in owned.progress {
        if let Some(run) = progress.run {
            run.abort.abort();
        }
        core.items.remove(&ItemKey {
            job: job.clone(),
            item,
        });
    }
}

/// Assigns each item a service by the routes in force; an item without a route is given up.
fn assign_services(node: &Node) {
    let Some(routes) = node.routes() else {
        return;
    };
    let mut given_up = Vec::new();
    let mut guard = node.core.borrow_mut();
    let core = &mut *guard;
    let owned = node.runs.owned.borrow();
    for key in core.items.keys() {
        let item = owned
            .get(&key.job)
            .and_then(|job| job.items.get(key.item as usize));
        let Some(record) = core.jobs.rows.get(&key.job).map(|job| job.record.clone()) else {
            continue;
        };
        let Some(item) = item else {
            continue;
        };
        match routes.find(&record.host, &item.path) {
            Some(route) => core
                .items
                .service_changed(&key, pick_service(route, &item.id)),
            None => given_up.push(key),
        }
    }
    drop((guard, owned));
    for key in given_up {
        log::info!(job = *key.job, item = key.item; "item given up: no route matches");
        finish(node, &key, ItemOutcome::Errored);
    }
}

/// Picks a service in proportion to the weights, always the same one for an item.
fn pick_service(route: &Route, item: &str) -> ServiceId {
    let draw = id::of(item) as f64 / u64::MAX as f64;
    route.pick(draw.min(0.999_999))
}

/// Plans, checks and lists batch items until the process ends.
pub async fn run(node: Rc<Node>) {
    let mut checked_at = Duration::ZERO;
    let mut logged_at = Duration::ZERO;
    loop {
        // After a timeout the loop goes on as after a wake-up.
        let _ = timeout(PLAN_INTERVAL, node.plan_items.notified()).await;
        let now = clock::now();
        if now >= checked_at + CHECK_INTERVAL {
            checked_at = now;
            check_jobs(&node, now);
            job_admission::note_waiting_tokens(&node, now);
        }
        plan(&node, now);
        if now >= logged_at + waiting::LOG_INTERVAL {
            logged_at = now;
            waiting::log_waiting(&node, now);
        }
    }
}

/// Starts items at endpoints and stops those that are preempted.
fn plan(node: &Rc<Node>, now: Duration) {
    let actions = {
        let mut guard = node.core.borrow_mut();
        let core = &mut *guard;
        update_remote_uses(core);
        let competing_vms = core.peers.competing_vms(now, node.domain, node.vm);
        core.items.competing_vms = waiting_items::competing_vms(node, core, &competing_vms);
        let planner = ItemPlanner {
            vm: node.vm,
            domain: node.domain,
            competing_vms: &competing_vms,
            may_start: core.stage == Stage::Serving,
        };
        let endpoints = &core.online.endpoints;
        core.items.plan(now, &planner, endpoints, &core.usage)
    };
    if actions.is_empty() {
        return;
    }
    for action in actions {
        match action {
            Action::Start {
                key,
                endpoint,
                from_start,
            } => {
                if from_start {
                    drop_text(node, &key);
                }
                start(node, key, endpoint);
            }
            Action::Stop { key } => stop(node, &key),
        }
    }
    node.heartbeat_due.notify_one();
}

/// Drops the partial text of an item that runs again from the start.
fn drop_text(node: &Node, key: &ItemKey) {
    let dropped = node.runs.with_progress(key, |progress| {
        progress.texts.clear();
        progress.text_bytes = 0;
        progress.last_event = None;
        progress.began_on = None;
        progress.unconfirmed_since = None;
        progress.software.take()
    });
    node.counters.items_restarted.inc();
    let software = dropped.flatten().unwrap_or_else(unknown_software);
    log::info!(job = *key.job, item = key.item, software = *software; "item starts again");
}

/// Stops a run; it ends within a few iterations of the event loop, and the item waits again.
fn stop(node: &Node, key: &ItemKey) {
    let stop = |progress: &mut ItemProgress| progress.run.as_ref().map(|run| run.stop.clone());
    if let Some(stop) = node.runs.with_progress(key, stop).flatten() {
        stop.notify_one();
    }
}

/// Stops all runs at a planned stop, so that their jobs can be handed over.
///
/// Without this, a job stays at a VM that stops until the last of its running items is done, and
/// its items that have not started wait with it.
fn stop_all(node: &Node) {
    let owned = node.runs.owned.borrow();
    let progress = owned.values().flat_map(|job| job.progress.values());
    let runs = progress.filter_map(|progress| progress.run.as_ref());
    runs.for_each(|run| run.stop.notify_one());
}

/// Records an item's result, which waits for the next write.
fn finish(node: &Node, key: &ItemKey, outcome: ItemOutcome) {
    node.core.borrow_mut().items.remove(key);
    let mut owned = node.runs.owned.borrow_mut();
    let Some(job) = owned.get_mut(&key.job) else {
        return;
    };
    let Some(progress) = job.progress.remove(&key.item) else {
        return;
    };
    let text = match outcome {
        ItemOutcome::Completed => progress.texts.join("\n"),
        ItemOutcome::Errored => String::new(),
    };
    job.finished.push(FinishedItem {
        item: key.item,
        outcome,
        text,
    });
    job.finished_at.get_or_insert(clock::now());
}

/// Checks all jobs: adopts, claims, lists, hands over, forgets.
fn check_jobs(node: &Rc<Node>, now: Duration) {
    let records: Vec<Rc<SmallJobRecord>> = {
        let core = node.core.borrow();
        core.jobs
            .rows
            .values()
            .map(|job| job.record.clone())
            .collect()
    };
    let living = node.core.borrow().peers.living_owners(now);
    for record in &records {
        let job = &record.id;
        let is_local = record.owner == node.owner;
        let epoch = node.runs.owned.borrow().get(job).map(|owned| owned.epoch);
        // A job may have been completed by a write whose answer never came.
        if epoch.is_some_and(|epoch| !is_local || record.ended() || epoch != record.epoch) {
            log::info!(job = **job, cancelled = record.cancelled; "job no longer run here");
            forget(node, job);
        }
        if is_local {
            adopt(node, job);
        }
        claim_if_orphaned(node, now, record, &living);
    }
    let version = node.routes().map_or(0, |table| table.rules.version);
    if node.runs.assigned_version.replace(version) != version {
        assign_services(node);
    }
    expire(node, now);
    if node.is_draining() {
        stop_all(node);
    }
    let owned: Vec<JobId> = node.runs.owned.borrow().keys().cloned().collect();
    for job in owned {
        write_results(node, now, &job);
    }
    remove_expired(node, now);
    forget_expired(node, now);
}

/// Gives up items whose retention has passed.
fn expire(node: &Node, now: Duration) {
    let late: Vec<ItemKey> = {
        let core = node.core.borrow();
        let keys = core.items.keys().into_iter();
        keys.filter(|key| {
            core.jobs.rows.get(&key.job).is_some_and(|job| {
                let retention = Duration::from_millis(job.record.retention_ms);
                now >= job.first_seen + retention + RETENTION_MARGIN
            })
        })
        .collect()
    };
    for key in late {
        log::info!(job = *key.job, item = key.item; "item given up: its retention has passed");
        node.runs.abort(&key);
        finish(node, &key, ItemOutcome::Errored);
    }
}

/// Whether results wait to be written or items run.
pub fn busy(node: &Node) -> bool {
    let owned = node.runs.owned.borrow();
    !owned.is_empty()
}
