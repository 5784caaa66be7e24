//! Batch items on their way: claims, runs at endpoints, listing of results, handing over.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use base64::prelude::{Engine, BASE64_STANDARD};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, HOST};
use hyper::{Method, StatusCode};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use super::events::Splitter;
use super::exchange::{self, Failure, Outgoing};
use super::jobs::{self, encode, write};
use super::node::Node;
use super::parts;
use crate::clock;
use crate::decide::items::{Action, ItemKey};
use crate::decide::retry::Reach;
use crate::decide::small_jobs::{
    self, body_key, text_key, Finished, Item, ItemIndex, Outcome, Record,
};
use crate::id::{self, Epoch, JobId, ServiceId};
use crate::store::{Settled, Txn};
use crate::util;

/// Results that come within this time are listed by one write; readers ask twice a second.
const GROUP: Duration = Duration::from_millis(1000);
/// The same for results that are due soon.
const GROUP_DUE: Duration = Duration::from_millis(100);
/// Results of a job with less time than this are due soon.
const DUE_SOON: Duration = Duration::from_millis(2500);
/// Time between two looks at everything that has to do with jobs.
const LOOK: Duration = Duration::from_millis(100);
/// Time between two plans while nothing happens.
const PLAN: Duration = Duration::from_millis(50);
/// Pause after a write that did not get through.
const WRITE_PAUSE: Duration = Duration::from_millis(400);
/// The first VM in line claims an orphan at once; each further one waits so much longer, by which
/// time the first one's claim has been seen.
const CLAIM_STEP: Duration = Duration::from_millis(700);
/// An owner counts as gone only after so long without any sign: its lease may have been taken away
/// while it lives, and it registers again within a second.
const OWNER_GONE: Duration = Duration::from_millis(1500);
/// An item is started only where a slot is free, so its first event comes soon; engines that are
/// slowed many times over still send one within this time.
const EVENT_TIMEOUT: Duration = Duration::from_millis(2500);
/// An item is given up only so long after its retention has passed: this process may have heard
/// of the job late, but never early.
const RETENTION_MARGIN: Duration = Duration::from_secs(2);

/// What one item has so far.
#[derive(Debug, Default, Clone)]
struct Progress {
    texts: Vec<String>,
    last_event: Option<u64>,
    failures: u32,
    /// The run under way.
    run: Option<AbortHandle>,
}

/// One job whose items run here.
struct Owned {
    epoch: Epoch,
    items: Rc<Vec<Item>>,
    progress: HashMap<ItemIndex, Progress>,
    finished: Vec<Finished>,
    /// Failure counts that are not written yet.
    uncounted: bool,
    finished_at: Option<Duration>,
    writing: bool,
    write_after: Duration,
    due: Duration,
}

/// All jobs whose items run here.
#[derive(Default)]
pub struct Runs {
    owned: RefCell<HashMap<JobId, Owned>>,
    loading: RefCell<HashSet<JobId>>,
    /// Jobs without a living owner, and since when.
    orphans: RefCell<HashMap<JobId, Duration>>,
}

/// How a run of an item ended.
enum End {
    Complete,
    /// The endpoint says that the item can never be done.
    Rejected,
    /// The endpoint tried and failed.
    ItemFailed,
    Failed(Failure),
}

/// Takes a job on whose record names this process.
pub fn adopt(node: &Rc<Node>, job: &JobId) {
    let record = {
        let core = node.core.borrow();
        let Some(row) = core.jobs.rows.get(job) else {
            return;
        };
        row.record.clone()
    };
    let runs = &node.runs;
    let mine = record.owner == node.owner && !record.ended();
    let known = runs
        .owned
        .borrow()
        .get(job)
        .is_some_and(|owned| owned.epoch == record.epoch);
    if !mine || known || !runs.loading.borrow_mut().insert(job.clone()) {
        return;
    }
    let (node, job) = (node.clone(), job.clone());
    tokio::task::spawn_local(async move {
        let loaded = load(&node, &record).await;
        node.runs.loading.borrow_mut().remove(&job);
        match loaded {
            Ok(items) => take_on(&node, &record, items),
            // The next look tries again.
            Err(error) => log::warn!(job = *job, error:% = error; "a job's items can't be read"),
        }
    });
}

async fn load(node: &Rc<Node>, record: &Record) -> Result<Vec<Item>, parts::PartError> {
    let mut items = Vec::new();
    for part in 0..record.body_parts.len() {
        let key = body_key(&record.id, part as u32);
        items.extend(parts::read::<Vec<Item>>(node, key, record.owner).await?);
    }
    Ok(items)
}

fn take_on(node: &Rc<Node>, record: &Record, items: Vec<Item>) {
    let now = clock::now();
    let counts: HashMap<ItemIndex, u32> = record.failures.iter().copied().collect();
    let open = record.open_items();
    let progress = open.iter().map(|item| {
        let failures = counts.get(item).copied().unwrap_or(0);
        let progress = Progress {
            failures,
            ..Progress::default()
        };
        (*item, progress)
    });
    let due = now + time_left(record);
    let owned = Owned {
        epoch: record.epoch,
        progress: progress.collect(),
        items: Rc::new(items),
        finished: Vec::new(),
        uncounted: false,
        finished_at: None,
        writing: false,
        write_after: now,
        due,
    };
    let mut core = node.core.borrow_mut();
    for item in open {
        let key = ItemKey {
            job: record.id.clone(),
            item,
        };
        // Its service follows from the routes at the next look.
        core.items.add(now, key, 0, due);
    }
    drop(core);
    node.runs
        .owned
        .borrow_mut()
        .insert(record.id.clone(), owned);
    assign_services(node);
    node.plan_items.notify_one();
}

/// Time until a job is due by the time of day, within what it was given at first: a clock that
/// jumped can only change the order of jobs.
fn time_left(record: &Record) -> Duration {
    let all_ms = record.due_ms.saturating_sub(record.created_ms);
    let left_ms = record.due_ms.saturating_sub(clock::unix_ms());
    Duration::from_millis(left_ms.min(all_ms))
}

/// Stops all that runs of a job, and forgets it.
pub fn forget(node: &Node, job: &JobId) {
    let Some(owned) = node.runs.owned.borrow_mut().remove(job) else {
        return;
    };
    let mut core = node.core.borrow_mut();
    for (item, progress) in owned.progress {
        if let Some(run) = progress.run {
            run.abort();
        }
        core.items.remove(&ItemKey {
            job: job.clone(),
            item,
        });
    }
}

/// Finds each item's service by the routes in force; an item without a route is given up.
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
            Some(route) => core.items.moved(&key, pick(route, &item.id)),
            None => given_up.push(key),
        }
    }
    drop((guard, owned));
    for key in given_up {
        log::info!(job = *key.job, item = key.item; "item given up: no route leads anywhere");
        finish(node, &key, Outcome::Errored);
    }
}

/// The same service for an item at every look, in proportion to the weights.
fn pick(route: &crate::decide::routes::Route, item: &str) -> ServiceId {
    let draw = id::of(item) as f64 / u64::MAX as f64;
    route.pick(draw.min(0.999_999))
}

/// Runs everything that has to do with batch items until the process ends.
pub async fn run(node: Rc<Node>) {
    let mut looked_at = Duration::ZERO;
    loop {
        // Time out is as good as a wake-up.
        let _ = timeout(PLAN, node.plan_items.notified()).await;
        let now = clock::now();
        if now >= looked_at + LOOK {
            looked_at = now;
            look(&node, now);
        }
        plan(&node, now);
    }
}

/// Places items and takes them back.
fn plan(node: &Rc<Node>, now: Duration) {
    let actions = {
        let mut guard = node.core.borrow_mut();
        let core = &mut *guard;
        super::node::note_uses(core);
        let starting = core.stage == super::node::Stage::Serving;
        let own = (node.vm, node.domain);
        let endpoints = &core.online.endpoints;
        core.items.plan(now, own, endpoints, &core.usage, starting)
    };
    if actions.is_empty() {
        return;
    }
    for action in actions {
        match action {
            Action::Start { key, endpoint } => start(node, key, endpoint),
            Action::Stop { key } => stop(node, now, &key),
        }
    }
    node.tell_peers.notify_one();
}

fn stop(node: &Node, now: Duration, key: &ItemKey) {
    let mut owned = node.runs.owned.borrow_mut();
    let progress = owned
        .get_mut(&key.job)
        .and_then(|job| job.progress.get_mut(&key.item));
    let run = progress.and_then(|progress| progress.run.take());
    if let Some(run) = run {
        // Drops the connection, which tells the endpoint to stop.
        run.abort();
    }
    node.counters.items.with_label_values(&["yielded"]).inc();
    log::info!(job = *key.job, item = key.item; "item made way");
    node.core.borrow_mut().items.paused(now, key, false);
}

fn start(node: &Rc<Node>, key: ItemKey, endpoint: id::EndpointId) {
    let mut guard = node.runs.owned.borrow_mut();
    let found = guard.get_mut(&key.job).and_then(|job| {
        let items = job.items.clone();
        let progress = job.progress.get_mut(&key.item)?;
        Some((items, progress))
    });
    let Some((items, progress)) = found else {
        node.core.borrow_mut().items.remove(&key);
        return;
    };
    let task = tokio::task::spawn_local(run_item(node.clone(), key, endpoint, items));
    progress.run = Some(task.abort_handle());
}

async fn run_item(node: Rc<Node>, key: ItemKey, endpoint: id::EndpointId, items: Rc<Vec<Item>>) {
    let end = match items.get(key.item as usize) {
        Some(item) => exchange_item(&node, &key, endpoint, item).await,
        None => End::Rejected,
    };
    let now = clock::now();
    ended(&node, &key);
    let what = match &end {
        End::Complete => "completed",
        End::Rejected => "rejected",
        End::ItemFailed => "failed",
        End::Failed(_) => "broken_off",
    };
    node.counters.items.with_label_values(&[what]).inc();
    log::info!(
        job = *key.job,
        item = items.get(key.item as usize).map_or("", |item| &*item.id),
        endpoint = node.target(endpoint).map_or_else(String::new, |t| t.instance),
        what,
        detail = match &end {
            End::Failed(failure) => failure.detail.as_str(),
            _ => "",
        };
        "item ran"
    );
    match end {
        End::Complete => {
            node.core.borrow_mut().items.completed(now, &key);
            finish(&node, &key, Outcome::Completed);
        }
        End::Rejected => finish(&node, &key, Outcome::Errored),
        End::ItemFailed => item_failed(&node, &key, now),
        End::Failed(failure) => {
            let mut core = node.core.borrow_mut();
            if let Some(row) = core
                .online
                .endpoints
                .get_mut(endpoint)
                .filter(|_| failure.blame)
            {
                match failure.reach {
                    Reach::NotSent => row.unreachable(now),
                    _ => row.failed(now),
                }
            }
            core.items.paused(now, &key, true);
        }
    }
    node.plan_items.notify_one();
    node.tell_peers.notify_one();
}

/// The run is over, whatever it brought.
fn ended(node: &Node, key: &ItemKey) {
    let mut owned = node.runs.owned.borrow_mut();
    let progress = owned
        .get_mut(&key.job)
        .and_then(|job| job.progress.get_mut(&key.item));
    if let Some(progress) = progress {
        progress.run = None;
    }
}

/// The endpoint answered that it failed: counted, and after the route's number given up.
fn item_failed(node: &Node, key: &ItemKey, now: Duration) {
    let attempts_max = attempts_max(node, key);
    let failures = {
        let mut guard = node.runs.owned.borrow_mut();
        let Some(job) = guard.get_mut(&key.job) else {
            return;
        };
        job.uncounted = true;
        job.finished_at.get_or_insert(now);
        let Some(progress) = job.progress.get_mut(&key.item) else {
            return;
        };
        progress.failures += 1;
        progress.failures
    };
    if failures >= attempts_max {
        finish(node, key, Outcome::Errored);
        return;
    }
    node.core.borrow_mut().items.paused(now, key, true);
}

fn attempts_max(node: &Node, key: &ItemKey) -> u32 {
    let owned = node.runs.owned.borrow();
    let item = owned
        .get(&key.job)
        .and_then(|job| job.items.get(key.item as usize));
    let core = node.core.borrow();
    let host = core
        .jobs
        .rows
        .get(&key.job)
        .map(|job| job.record.host.clone());
    let route = core.routes.as_ref().zip(host).zip(item);
    route
        .and_then(|((routes, host), item)| routes.find(&host, &item.path))
        .map_or(crate::decide::retry::TRIES_MAX, |route| route.attempts_max)
}

/// An item has its result; it waits for the next write.
fn finish(node: &Node, key: &ItemKey, outcome: Outcome) {
    node.core.borrow_mut().items.remove(key);
    let mut owned = node.runs.owned.borrow_mut();
    let Some(job) = owned.get_mut(&key.job) else {
        return;
    };
    let Some(progress) = job.progress.remove(&key.item) else {
        return;
    };
    let text = match outcome {
        Outcome::Completed => progress.texts.join("\n"),
        Outcome::Errored => String::new(),
    };
    job.finished.push(Finished {
        item: key.item,
        outcome,
        text,
    });
    job.finished_at.get_or_insert(clock::now());
}

/// Sends an item and reads its events. Each whole event is kept at once, so that a run which is
/// stopped or breaks off goes on after it.
async fn exchange_item(
    node: &Rc<Node>,
    key: &ItemKey,
    endpoint: id::EndpointId,
    item: &Item,
) -> End {
    let failed = |reach, blame, detail: &str| {
        End::Failed(Failure {
            reach,
            blame,
            detail: detail.into(),
        })
    };
    let Some(target) = node.target(endpoint) else {
        return failed(Reach::NotSent, false, "the endpoint is gone");
    };
    let host = {
        let core = node.core.borrow();
        core.jobs
            .rows
            .get(&key.job)
            .map(|job| job.record.host.clone())
    };
    let Some(out) = host.and_then(|host| outgoing(node, &host, item)) else {
        return End::Rejected;
    };
    let last_event = last_event(node, key);
    let sent = exchange::send(node, &target, &out, None, last_event);
    let answer = match timeout(EVENT_TIMEOUT, sent).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(failure)) => return End::Failed(failure),
        Err(_) => return failed(Reach::MaybeSent, true, "no answer in time"),
    };
    match answer.head.status {
        StatusCode::OK if answer.said.signed => {}
        StatusCode::UNPROCESSABLE_ENTITY => return End::Rejected,
        StatusCode::INTERNAL_SERVER_ERROR => return End::ItemFailed,
        status => return failed(Reach::MaybeSent, true, &format!("answered {status}")),
    }
    let keep_alive = exchange::keep_alive(&answer.head);
    let read = read_events(node, key, endpoint, answer.body).await;
    if let (End::Complete, Some(keep_alive)) = (&read, keep_alive) {
        node.pool.give(endpoint, answer.connection, keep_alive);
    }
    read
}

async fn read_events(
    node: &Rc<Node>,
    key: &ItemKey,
    endpoint: id::EndpointId,
    mut body: Incoming,
) -> End {
    let broken = |detail: String| End::Failed(Failure::blamed(Reach::Answering, detail));
    let mut splitter = Splitter::default();
    loop {
        let frame = match timeout(EVENT_TIMEOUT, body.frame()).await {
            Ok(frame) => frame,
            Err(_) => return broken("no event in time".into()),
        };
        match frame {
            Some(Ok(frame)) => {
                node.heard(endpoint);
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                for event in splitter.push(&data) {
                    if let Err(detail) = keep_event(node, key, event.id, event.data()) {
                        return broken(detail);
                    }
                }
                if splitter.overlong() {
                    return broken("an event without an end".into());
                }
            }
            Some(Err(error)) => return broken(format!("the stream broke off: {error}")),
            None if splitter.partial() => return broken("the stream ended within an event".into()),
            None => return End::Complete,
        }
    }
}

fn keep_event(node: &Node, key: &ItemKey, event: Option<u64>, text: String) -> Result<(), String> {
    let mut owned = node.runs.owned.borrow_mut();
    let progress = owned
        .get_mut(&key.job)
        .and_then(|job| job.progress.get_mut(&key.item));
    let Some(progress) = progress else {
        return Err("the job is no longer run here".into());
    };
    let expected = progress.last_event.map(|last| last + 1);
    match (expected, event) {
        (Some(expected), Some(event)) if event != expected => {
            return Err(format!("event {event} came in place of {expected}"));
        }
        (_, None) => return Err("an event without an id".into()),
        _ => {}
    }
    progress.last_event = event;
    progress.texts.push(text);
    Ok(())
}

fn last_event(node: &Node, key: &ItemKey) -> Option<u64> {
    let owned = node.runs.owned.borrow();
    let progress = owned
        .get(&key.job)
        .and_then(|job| job.progress.get(&key.item));
    progress.and_then(|progress| progress.last_event)
}

/// The item as a request; `None` when it can't be one.
fn outgoing(node: &Node, host: &str, item: &Item) -> Option<Outgoing> {
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let name: HeaderName = name.parse().ok()?;
        headers.append(name, HeaderValue::from_str(value).ok()?);
    }
    let id_header: HeaderName = node.dialect.id_header.parse().ok()?;
    headers.insert(id_header, HeaderValue::from_str(&item.id).ok()?);
    headers.insert(HOST, HeaderValue::from_str(host).ok()?);
    Some(Outgoing {
        id: item.id.to_string(),
        method: Method::POST,
        target: item.path.clone(),
        headers,
        body: BASE64_STANDARD.decode(&item.body).ok()?.into(),
        repeatable: true,
    })
}

/// Looks after all jobs: adopts, claims, lists, hands over, forgets.
fn look(node: &Rc<Node>, now: Duration) {
    let records: Vec<Rc<Record>> = {
        let core = node.core.borrow();
        core.jobs
            .rows
            .values()
            .map(|job| job.record.clone())
            .collect()
    };
    for record in &records {
        let job = &record.id;
        let mine = record.owner == node.owner;
        let epoch = node.runs.owned.borrow().get(job).map(|owned| owned.epoch);
        if epoch.is_some_and(|epoch| !mine || record.cancelled || epoch != record.epoch) {
            log::info!(job = **job, cancelled = record.cancelled; "job no longer run here");
            forget(node, job);
        }
        if mine {
            adopt(node, job);
        }
        consider_claim(node, now, record);
    }
    assign_services(node);
    expire(node, now);
    let owned: Vec<JobId> = node.runs.owned.borrow().keys().cloned().collect();
    for job in owned {
        write_results(node, now, &job);
    }
    remove_old(node, now);
}

/// Claims a job whose owner is gone, in the order that all VMs work out alike.
fn consider_claim(node: &Rc<Node>, now: Duration, record: &Record) {
    let mut orphans = node.runs.orphans.borrow_mut();
    let core = node.core.borrow();
    let cared_for = record.ended() || core.peers.alive(now, node.owner, record.owner);
    if cared_for || core.stage != super::node::Stage::Serving {
        orphans.remove(&record.id);
        return;
    }
    let since = *orphans.entry(record.id.clone()).or_insert(now);
    let grace = if record.owner == 0 {
        Duration::ZERO
    } else {
        OWNER_GONE
    };
    let rank = core.peers.rank(now, node.vm, id::of(&record.id));
    if now < since + grace + CLAIM_STEP * rank as u32 {
        return;
    }
    let Some(revision) = core.jobs.rows.get(&record.id).map(|job| job.revision) else {
        return;
    };
    let Some(claim) = record.claim(node.owner, util::nonce()) else {
        return;
    };
    // The next try, should this one not get through.
    orphans.insert(record.id.clone(), now);
    drop(core);
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let settled = jobs::replace(&node, &claim, revision).await;
        let won = matches!(settled, Settled::Won(_));
        log::info!(job = *claim.id, epoch = claim.epoch, rank, won; "job claimed");
        adopt(&node, &claim.id);
    });
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
        let mut owned = node.runs.owned.borrow_mut();
        let progress = owned
            .get_mut(&key.job)
            .and_then(|job| job.progress.get_mut(&key.item));
        if let Some(run) = progress.and_then(|progress| progress.run.take()) {
            run.abort();
        }
        drop(owned);
        finish(node, &key, Outcome::Errored);
    }
}

/// Lists what is finished, by one write at a time for each job; hands over while draining.
fn write_results(node: &Rc<Node>, now: Duration, job: &JobId) {
    let found = {
        let core = node.core.borrow();
        core.jobs
            .rows
            .get(job)
            .map(|row| (row.record.clone(), row.revision))
    };
    let Some((record, revision)) = found else {
        return;
    };
    let mut guard = node.runs.owned.borrow_mut();
    let Some(owned) = guard.get_mut(job) else {
        return;
    };
    if owned.writing || now < owned.write_after {
        return;
    }
    let waiting = !owned.finished.is_empty() || owned.uncounted;
    if !waiting {
        let runs = owned
            .progress
            .values()
            .any(|progress| progress.run.is_some());
        if node.is_draining() && !runs {
            owned.writing = true;
            drop(guard);
            tokio::task::spawn_local(hand_over(node.clone(), record, revision));
        }
        return;
    }
    let last = owned.progress.is_empty();
    let group = match now + DUE_SOON < owned.due {
        true => GROUP,
        false => GROUP_DUE,
    };
    if !last && owned.finished_at.is_some_and(|at| now < at + group) {
        return;
    }
    let failures: Vec<(ItemIndex, u32)> = owned
        .progress
        .iter()
        .filter(|(_, progress)| progress.failures > 0)
        .map(|(item, progress)| (*item, progress.failures))
        .collect();
    let (finished, epoch) = (owned.finished.clone(), owned.epoch);
    let listing = record.list(node.owner, epoch, &finished, &failures, util::nonce());
    let Some(listing) = listing else {
        // All of it is listed, or the job belongs to another by now; the next look finds out.
        let listed = |result: &Finished| !record.is_listed(result.item);
        owned.finished.retain(listed);
        owned.uncounted = false;
        owned.finished_at = None;
        return;
    };
    owned.writing = true;
    owned.uncounted = false;
    drop(guard);
    tokio::task::spawn_local(list(node.clone(), listing, revision));
}

async fn list(node: Rc<Node>, listing: small_jobs::Listing, revision: id::Revision) {
    let record = &listing.record;
    let parts = listing.parts.iter();
    let writes: Vec<_> = parts
        .map(|(part, texts)| write(text_key(&record.id, *part), encode(texts)))
        .collect();
    let settled = jobs::replace_with(&node, record, revision, writes.clone()).await;
    let won = matches!(settled, Settled::Won(_));
    if won {
        let mut core = node.core.borrow_mut();
        for part in writes {
            core.jobs.parts.keep(part.key, part.value);
        }
    }
    let (listed, total) = (record.listed.len(), record.items.len());
    log::info!(job = *record.id, won, listed, total; "results listed");
    written(&node, record, &settled);
}

/// Takes note of how a write of a job's record ended.
fn written(node: &Node, record: &Record, settled: &Settled) {
    let now = clock::now();
    let mut guard = node.runs.owned.borrow_mut();
    let Some(owned) = guard.get_mut(&record.id) else {
        return;
    };
    owned.writing = false;
    match settled {
        Settled::Won(_) => {
            owned
                .finished
                .retain(|result| !record.is_listed(result.item));
            owned.finished_at = (!owned.finished.is_empty()).then_some(now);
            if owned.finished.is_empty() && owned.progress.is_empty() {
                guard.remove(&record.id);
            }
        }
        // Another writer came first: once more, on what it left.
        Settled::Lost(_) => owned.uncounted = true,
        Settled::Away(_) | Settled::Unknown(_) => {
            owned.uncounted = true;
            owned.write_after = now + WRITE_PAUSE;
        }
    }
}

async fn hand_over(node: Rc<Node>, record: Rc<Record>, revision: id::Revision) {
    let Some(without) = record.hand_over(node.owner, util::nonce()) else {
        return;
    };
    let settled = jobs::replace(&node, &without, revision).await;
    let won = matches!(settled, Settled::Won(_));
    log::info!(job = *without.id, won, open = without.open_items().len(); "job handed over");
    if won {
        forget(&node, &without.id);
    } else {
        written(&node, &without, &settled);
    }
}

/// Whether results wait to be written or items run.
pub fn busy(node: &Node) -> bool {
    let owned = node.runs.owned.borrow();
    !owned.is_empty()
}

/// Removes jobs whose results need not be kept any longer: by the VM that is first in line.
fn remove_old(node: &Rc<Node>, now: Duration) {
    let kept = Duration::from_secs(node.settings.results_kept_s) + RETENTION_MARGIN;
    let core = node.core.borrow();
    let old = core.jobs.rows.values().find(|job| {
        let first = core.peers.rank(now, node.vm, id::of(&job.record.id)) == 0;
        first && job.record.ended() && now >= job.first_seen + kept
    });
    let Some((record, revision)) = old.map(|job| (job.record.clone(), job.revision)) else {
        return;
    };
    drop(core);
    if !node.runs.loading.borrow_mut().insert(record.id.clone()) {
        return;
    }
    let node = node.clone();
    tokio::task::spawn_local(async move {
        remove(&node, &record, revision).await;
        node.runs.loading.borrow_mut().remove(&record.id);
    });
}

/// Removes the record last, so that what is left after a failure is found again.
async fn remove(node: &Rc<Node>, record: &Record, revision: id::Revision) {
    let bodies = (0..record.body_parts.len() as u32).map(|part| body_key(&record.id, part));
    let texts = (0..record.text_parts).map(|part| text_key(&record.id, part));
    let keys: Vec<String> = bodies.chain(texts).collect();
    let record_key = small_jobs::record_key(&record.id);
    for deletes in keys.chunks(DELETES_MAX) {
        let txn = Txn {
            expect: vec![(record_key.clone(), revision)],
            writes: Vec::new(),
            deletes: deletes.to_vec(),
        };
        if let Err(error) = node.store.call(crate::store::Call::Commit(txn)).await {
            log::info!(job = *record.id, error:% = error; "an old job could not be removed yet");
            sleep(WRITE_PAUSE).await;
            return;
        }
    }
    let txn = Txn {
        expect: vec![(record_key.clone(), revision)],
        writes: Vec::new(),
        deletes: vec![record_key],
    };
    match node.store.call(crate::store::Call::Commit(txn)).await {
        Ok(_) => {
            node.core.borrow_mut().jobs.rows.remove(&record.id);
            log::info!(job = *record.id; "old job removed");
        }
        Err(error) => log::info!(job = *record.id, error:% = error; "an old job stays for now"),
    }
}

/// Keys in one transaction; the store takes 32 entries.
const DELETES_MAX: usize = 24;
