//! One run of one item at one endpoint.

use std::rc::Rc;
use std::time::Duration;

use base64::prelude::{Engine, BASE64_STANDARD};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, AUTHORIZATION, HOST};
use hyper::{Method, StatusCode};
use tokio::sync::Notify;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

use super::{drop_text, finish, ItemRun};
use crate::clock;
use crate::decide::discovery::{ConnectedProcess, SoftwareCheck};
use crate::decide::items::{self, ItemKey};
use crate::decide::quarantine::{Hold, RunKind, PROGRESS_TIME_MIN};
use crate::decide::retry::{AttemptStage, ATTEMPTS_MAX_DEFAULT};
use crate::decide::small_jobs::{Item, ItemOutcome, TEXT_BYTES_MAX};
use crate::id::EndpointId;
use crate::serve::cancellation::unless_stopped;
use crate::serve::events::{check_next, EventStream};
use crate::serve::exchange::{
    self, Answer, AnswerEvidence, Failure, Outgoing, SendOptions, Target,
};
use crate::serve::node::Node;
use crate::serve::processes::{self, EntrySource};
use crate::serve::quarantine;
use crate::util::json_bytes;

/// Timeout for the answer and for each whole event. An item is started only where a slot is free, so
/// its first event comes soon; engines slowed many times over still send one within this time.
const EVENT_TIMEOUT: Duration = Duration::from_millis(2500);

/// Longest time until a quarantined item is considered again: an answer to another request may have
/// cleared a segment that they share.
const QUARANTINED_RECHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time until an item is considered again whose text the store can't confirm yet.
const UNCONFIRMED_RECHECK_INTERVAL: Duration = Duration::from_millis(400);

/// How a run of an item ended.
enum RunEnd {
    Complete(AnswerEvidence),
    /// The endpoint refused the item for good.
    Rejected,
    /// The endpoint tried the item and failed.
    ItemFailed,
    /// The endpoint sent more text than a result can hold.
    TooLarge,
    /// The item was preempted by online requests.
    Yielded,
    /// Not sent: a quarantined suspect delays the item.
    Quarantined(Hold),
    /// Not sent, or closed unread: the store can't tell yet which software made the text, or would
    /// continue it.
    Unconfirmed,
    Failed(Failure),
}

pub(super) fn start(node: &Rc<Node>, key: ItemKey, endpoint: EndpointId) {
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
    let stop = Rc::new(Notify::new());
    let run = run_item(node.clone(), key, endpoint, items, stop.clone());
    let abort = tokio::task::spawn_local(run).abort_handle();
    progress.run = Some(ItemRun { abort, stop });
}

async fn run_item(
    node: Rc<Node>,
    key: ItemKey,
    endpoint: EndpointId,
    items: Rc<Vec<Item>>,
    stop: Rc<Notify>,
) {
    let out = item_request(&node, &key, &items);
    let start = RunStart {
        at: clock::now(),
        last_event: last_event(&node, &key),
    };
    let end = match &out {
        Some(out) => {
            let exchanged = exchange_item(&node, &key, endpoint, out);
            let ended = unless_stopped(exchanged, &stop).await;
            ended.unwrap_or(RunEnd::Yielded)
        }
        None => RunEnd::Rejected,
    };
    let target = node.target(endpoint);
    let ended = match (&end, &out, &target) {
        (RunEnd::Failed(failure), Some(out), Some(target)) if failure.connection_lost => {
            report_lost(&node, &key, out, target, start).await
        }
        _ => false,
    };
    let now = clock::now();
    let hold = match &end {
        RunEnd::Quarantined(hold) => Some(hold.clone()),
        _ => None,
    };
    let held_by = hold.as_ref().map(|hold| hold.suspect);
    let held_before = node.runs.with_progress(&key, |progress| {
        progress.run = None;
        let before = std::mem::replace(&mut progress.hold, hold);
        before.map(|hold| hold.suspect)
    });
    // A held item is tried again each second.
    let is_known = held_by.is_some() && held_by == held_before.flatten();
    if last_event(&node, &key) > start.last_event {
        node.core.borrow_mut().items.progressed(now, &key);
    }
    let what = match &end {
        RunEnd::Complete(_) => "completed",
        RunEnd::Rejected => "rejected",
        RunEnd::ItemFailed => "failed",
        RunEnd::TooLarge => "too_large",
        RunEnd::Yielded => "yielded",
        RunEnd::Quarantined(_) => "held_back",
        RunEnd::Unconfirmed => "unconfirmed",
        RunEnd::Failed(_) => "broken_off",
    };
    node.counters.items.with_label_values(&[what]).inc();
    let lost = lost_request(out.as_ref(), &end);
    let level = match is_known || matches!(end, RunEnd::Unconfirmed) {
        true => log::Level::Debug,
        false => log::Level::Info,
    };
    log::log!(
        level,
        job = *key.job,
        item = items.get(key.item as usize).map_or("", |item| &*item.id),
        asked = lost.map_or_else(String::new, |out| out.fingerprint().to_string()),
        prompt = lost.map_or_else(String::new, Outgoing::prompt_label),
        endpoint = target.map_or_else(String::new, |target| target.instance),
        ended,
        held_by = held_by.map_or_else(String::new, |suspect| suspect.to_string()),
        what,
        detail = match &end {
            RunEnd::Failed(failure) => failure.detail.as_str(),
            _ => "",
        };
        "item ran"
    );
    match end {
        RunEnd::Complete(evidence) => {
            if let Some(out) = &out {
                quarantine::request_answered(&node, out, endpoint, evidence);
            }
            let mut core = node.core.borrow_mut();
            core.items.completed(now, &key);
            core.online.item_succeeded(now, endpoint);
            drop(core);
            finish(&node, &key, ItemOutcome::Completed);
        }
        RunEnd::Rejected => finish(&node, &key, ItemOutcome::Errored),
        RunEnd::ItemFailed => item_failed(&node, &key, endpoint, now),
        RunEnd::TooLarge => {
            restart(&node, &key);
            item_failed(&node, &key, endpoint, now);
        }
        RunEnd::Yielded => node.core.borrow_mut().items.paused(now, &key, false),
        RunEnd::Quarantined(hold) => {
            let back_in = quarantine::time_until(hold.until);
            let recheck_in = back_in.min(QUARANTINED_RECHECK_INTERVAL);
            let mut core = node.core.borrow_mut();
            core.items.quarantined(now, &key, back_in, recheck_in);
        }
        RunEnd::Unconfirmed => {
            let items = &mut node.core.borrow_mut().items;
            items.delayed(now, &key, UNCONFIRMED_RECHECK_INTERVAL);
        }
        RunEnd::Failed(failure) => {
            let mut core = node.core.borrow_mut();
            if failure.endpoint_at_fault {
                core.online.item_run_failed(now, endpoint, failure.stage);
            }
            core.items.paused(now, &key, true);
        }
    }
    node.plan_items.notify_one();
    node.heartbeat_due.notify_one();
}

/// Counts a failure that the endpoint reported; after the route's maximum the item is given up.
/// Failures at endpoints that fail other requests too are not charged, up to as many again.
fn item_failed(node: &Node, key: &ItemKey, endpoint: EndpointId, now: Duration) {
    let attempts_max = attempts_max(node, key);
    let (failures, failed_at) = {
        let mut guard = node.runs.owned.borrow_mut();
        let Some(job) = guard.get_mut(&key.job) else {
            return;
        };
        job.failures_unwritten = true;
        job.finished_at.get_or_insert(now);
        let Some(progress) = job.progress.get_mut(&key.item) else {
            return;
        };
        progress.failures += 1;
        progress.failed_at.push(endpoint);
        (progress.failures, progress.failed_at.clone())
    };
    let uncharged = {
        let online = &mut node.core.borrow_mut().online;
        online.item_failed(now, &failed_at);
        let evidence = &online.evidence;
        let failing = |id: &&EndpointId| evidence.is_failing(now, **id);
        failed_at.iter().filter(failing).count() as u32
    };
    if items::is_given_up(failures, uncharged, attempts_max) {
        finish(node, key, ItemOutcome::Errored);
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
    let host = core.jobs.host(&key.job);
    let route = core.routes.as_ref().zip(host).zip(item);
    route
        .and_then(|((routes, host), item)| routes.find(&host, &item.path))
        .map_or(ATTEMPTS_MAX_DEFAULT, |route| route.attempts_max)
}

/// Sends an item and reads its events. Each whole event is kept at once, so that a run that is
/// stopped or breaks off resumes after it.
async fn exchange_item(
    node: &Rc<Node>,
    key: &ItemKey,
    endpoint: EndpointId,
    out: &Outgoing,
) -> RunEnd {
    let failed = |reach, detail: &str| RunEnd::Failed(Failure::of_endpoint(reach, detail));
    let Some(target) = node.target(endpoint) else {
        let gone = Failure::not_of_endpoint(AttemptStage::NotSent, "the endpoint is gone");
        return RunEnd::Failed(gone);
    };
    if let Err(hold) = quarantine::admit_item(node, out) {
        return RunEnd::Quarantined(hold);
    }
    let is_confirmed_first = !processes::can_confirm(node, clock::now());
    if is_confirmed_first {
        if last_event(node, key).is_some() {
            // Without a connection, sending fails in the same way and says why.
            let _ = exchange::prepare(node, &target).await;
        }
        if !confirm_text(node, key).await {
            quarantine::item_not_sent(node, out);
            return RunEnd::Unconfirmed;
        }
    }
    let made_by = node
        .runs
        .with_progress(key, |progress| progress.software.clone());
    if made_by
        .flatten()
        .is_some_and(|software| software != target.software)
    {
        // The entry has changed since the endpoint was chosen.
        quarantine::item_not_sent(node, out);
        let detail = "the endpoint has other software";
        return RunEnd::Failed(Failure::not_of_endpoint(AttemptStage::NotSent, detail));
    }
    let mut after_event = last_event(node, key);
    log::info!(
        job = *key.job,
        item = out.id,
        endpoint = target.instance,
        software = *target.software,
        after_event = after_event.unwrap_or(0);
        "item starts"
    );
    let mut sent = send(node, &target, out, after_event, is_confirmed_first).await;
    if matches!(&sent, Ok(Err(failure)) if failure.software_unconfirmed) {
        if awaits_store(node, key, clock::now()) {
            quarantine::item_not_sent(node, out);
            return RunEnd::Unconfirmed;
        }
        restart(node, key);
        after_event = None;
        sent = send(node, &target, out, after_event, is_confirmed_first).await;
    }
    let answer = match sent {
        Ok(Ok(answer)) => answer,
        Ok(Err(failure)) => {
            if failure.stage == AttemptStage::NotSent {
                quarantine::item_not_sent(node, out);
            }
            return RunEnd::Failed(failure);
        }
        Err(_) => return failed(AttemptStage::MaybeSent, "no answer in time"),
    };
    let connected = target.connected(&answer.connection);
    if after_event.is_some() && !is_confirmed_first {
        if let Err(end) = confirm_run(node, key, &connected, after_event).await {
            return end;
        }
    }
    node.runs
        .with_progress(key, |progress| progress.unconfirmed_since = None);
    match answer.head.status {
        StatusCode::OK if answer.decoded.signed => {}
        StatusCode::UNPROCESSABLE_ENTITY => return RunEnd::Rejected,
        StatusCode::INTERNAL_SERVER_ERROR => return RunEnd::ItemFailed,
        status => return failed(AttemptStage::MaybeSent, &format!("answered {status}")),
    }
    let keep_alive = exchange::keep_alive(&answer.head);
    let evidence = AnswerEvidence::of(&answer.head, &answer.body);
    match read_events(node, key, out, &connected, answer.body).await {
        Ok(())
            if evidence == AnswerEvidence::UntilClose && last_event(node, key) == after_event =>
        {
            // The text may be whole, which a run from the start shows.
            if after_event.is_some() {
                restart(node, key);
            }
            let detail = "the stream ended without an event";
            RunEnd::Failed(Failure::of_connection(AttemptStage::Answering, detail))
        }
        Ok(()) if !exchange::is_whole(&target, evidence).await => {
            let detail = "the endpoint has ended with its answer";
            RunEnd::Failed(Failure::of_connection(AttemptStage::Answering, detail))
        }
        Ok(()) => {
            if let Some(keep_alive) = keep_alive {
                node.pool.put(endpoint, answer.connection, keep_alive);
            }
            RunEnd::Complete(evidence)
        }
        Err(end) => end,
    }
}

async fn send(
    node: &Rc<Node>,
    target: &Target,
    out: &Outgoing,
    last_event: Option<u64>,
    is_confirmed_first: bool,
) -> Result<Result<Answer, Failure>, Elapsed> {
    let options = SendOptions {
        time_left: None,
        last_event,
        continues: last_event.is_some() && is_confirmed_first,
    };
    timeout(EVENT_TIMEOUT, exchange::send(node, target, out, options)).await
}

/// Checks that a run which was sent already may continue an item's text after `after_event`. Nothing of
/// its answer counts before: a slot is not left idle for as long as the store takes to answer.
async fn confirm_run(
    node: &Rc<Node>,
    key: &ItemKey,
    connected: &ConnectedProcess,
    after_event: Option<u64>,
) -> Result<(), RunEnd> {
    let check = processes::confirm_by(node, connected, EntrySource::Fleet).await;
    if check == SoftwareCheck::Confirmed && confirm_text(node, key).await {
        if last_event(node, key) == after_event {
            return Ok(());
        }
    } else if awaits_store(node, key, clock::now()) {
        return Err(RunEnd::Unconfirmed);
    } else if check == SoftwareCheck::NotConfirmed {
        restart(node, key);
    }
    let detail = "it is not known which process serves at the address";
    let failure = Failure::not_of_endpoint(AttemptStage::MaybeSent, detail);
    Err(RunEnd::Failed(failure))
}

/// Drops the text of an item unless it is known which software made it; false if that may be known
/// later.
async fn confirm_text(node: &Rc<Node>, key: &ItemKey) -> bool {
    let began_on = node
        .runs
        .with_progress(key, |progress| progress.began_on.clone());
    let Some(began_on) = began_on.flatten() else {
        return true;
    };
    if processes::confirm(node, &began_on).await == SoftwareCheck::Confirmed {
        node.runs
            .with_progress(key, |progress| progress.began_on = None);
        return true;
    }
    if awaits_store(node, key, clock::now()) {
        return false;
    }
    restart(node, key);
    true
}

/// Whether an item keeps its text until the store can tell which software made it, or would continue
/// it.
fn awaits_store(node: &Node, key: &ItemKey, now: Duration) -> bool {
    if processes::can_confirm(node, now) {
        return false;
    }
    let ran = node.core.borrow().items.run_time(now, key);
    let since = node.runs.with_progress(key, |progress| {
        if progress.unconfirmed_since.is_none() {
            log::info!(job = *key.job, item = key.item; "item waits for the store");
        }
        *progress.unconfirmed_since.get_or_insert(now)
    });
    since.is_some_and(|since| items::keeps_text(now, since, ran))
}

/// Drops the text of an item, so that any software may run it.
fn restart(node: &Node, key: &ItemKey) {
    drop_text(node, key);
    node.core.borrow_mut().items.text_dropped(key);
}

async fn read_events(
    node: &Rc<Node>,
    key: &ItemKey,
    out: &Outgoing,
    connected: &ConnectedProcess,
    body: Incoming,
) -> Result<(), RunEnd> {
    let failed = |failure| Err(RunEnd::Failed(failure));
    let stage = AttemptStage::Answering;
    let mut events = EventStream::new(body, &node.answer_memory);
    let mut progress_due_at = Some(clock::now() + PROGRESS_TIME_MIN);
    loop {
        let next = match timeout(EVENT_TIMEOUT, events.next()).await {
            Ok(next) => next,
            Err(_) => return failed(Failure::of_endpoint(stage, "no event in time")),
        };
        let new_events = match next {
            Ok(Some(new_events)) => new_events,
            Ok(None) => return Ok(()),
            Err(error) => return failed(error.failure(stage)),
        };
        // Only a whole event is progress: a failing endpoint may send other bytes without end.
        node.note_endpoint_data(connected.process.id());
        drop(events.take_memory());
        for event in new_events {
            record_event(node, key, connected, event.id, event.data())?;
        }
        if progress_due_at.is_some_and(|due_at| clock::now() >= due_at) {
            progress_due_at = None;
            quarantine::item_progressed(node, out);
        }
    }
}

fn record_event(
    node: &Node,
    key: &ItemKey,
    connected: &ConnectedProcess,
    event: Option<u64>,
    text: String,
) -> Result<(), RunEnd> {
    let broken = |detail: String| {
        let failure = Failure::of_endpoint(AttemptStage::Answering, detail);
        RunEnd::Failed(failure)
    };
    let mut is_first = false;
    let recorded = node.runs.with_progress(key, |progress| {
        check_next(progress.last_event, event).map_err(broken)?;
        // The quotes of each event's text take as many bytes as the line feeds between them.
        progress.text_bytes += json_bytes(&text);
        if progress.text_bytes > TEXT_BYTES_MAX {
            return Err(RunEnd::TooLarge);
        }
        is_first = progress.software.is_none();
        if is_first {
            progress.software = Some(connected.software.clone());
            progress.began_on = Some(connected.clone());
        }
        progress.last_event = event;
        progress.texts.push(text);
        Ok(())
    });
    if is_first {
        let items = &mut node.core.borrow_mut().items;
        items.began(key, connected.software.clone());
        node.process_reads.want();
    }
    // The item was given up or its job has moved, which is no fault of the endpoint.
    let detail = "the item no longer runs here";
    let gone = Failure::not_of_endpoint(AttemptStage::Answering, detail);
    recorded.unwrap_or(Err(RunEnd::Failed(gone)))
}

/// An item's state when its run began.
#[derive(Debug, Clone, Copy)]
struct RunStart {
    at: Duration,
    last_event: Option<u64>,
}

fn last_event(node: &Node, key: &ItemKey) -> Option<u64> {
    let last = node.runs.with_progress(key, |progress| progress.last_event);
    last.flatten()
}

/// Reports that the connection of a run broke; true when its endpoint has ended.
async fn report_lost(
    node: &Node,
    key: &ItemKey,
    out: &Outgoing,
    target: &Target,
    start: RunStart,
) -> bool {
    let run = quarantine::FailedRun {
        kind: RunKind::Item,
        out,
        target,
        ran: clock::now().saturating_sub(start.at),
        progressed: last_event(node, key) > start.last_event,
    };
    quarantine::run_lost(node, run).await
}

/// The request of an item whose run lost its connection.
fn lost_request<'a>(out: Option<&'a Outgoing>, end: &RunEnd) -> Option<&'a Outgoing> {
    let lost = matches!(end, RunEnd::Failed(failure) if failure.connection_lost);
    out.filter(|_| lost)
}

/// The item as a request; `None` when it is no valid one.
fn item_request(node: &Node, key: &ItemKey, items: &[Item]) -> Option<Outgoing> {
    let item = items.get(key.item as usize)?;
    let (record, _) = node.core.borrow().jobs.current(&key.job)?;
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let name: HeaderName = name.parse().ok()?;
        headers.append(name, HeaderValue::from_str(value).ok()?);
    }
    let mut headers = exchange::end_to_end_headers(&headers);
    if record.workspace.is_some() {
        headers.remove(AUTHORIZATION);
    }
    let id_header: HeaderName = node.dialect.attempt_id_header.parse().ok()?;
    headers.insert(id_header, HeaderValue::from_str(&item.id).ok()?);
    headers.insert(HOST, HeaderValue::from_str(&record.host).ok()?);
    let prompt = (node.dialect.prompt)(&headers);
    Some(Outgoing {
        id: item.id.to_string(),
        method: Method::POST,
        target: item.path.clone(),
        headers,
        body: BASE64_STANDARD.decode(&item.body).ok()?.into(),
        repeatable: true,
        workspace: record.workspace.clone(),
        prompt,
    })
}
