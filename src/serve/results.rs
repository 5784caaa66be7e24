//! Results of batch jobs, for callers that read them while the jobs run.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{sleep, timeout};

use super::ask::{ask_body, reply, AskError, MemoryFullSnafu};
use super::dialect::ResultRow;
use super::job_table::Job;
use super::jobs::{
    find_for_caller, read_from_store, store_unavailable, MEMORY_RETRY_AFTER, STORE_RETRY_AFTER,
};
use super::node::Node;
use super::part_cache::{self, PartError};
use super::peers;
use super::replies::{self, Reply};
use super::reply_memory;
use crate::clock;
use crate::decide::refusal::RefusalKind;
use crate::decide::small_jobs::{self, SmallJobRecord};
use crate::id::{JobId, Name};
use crate::util::json_bytes;

/// Path under which the process that runs a job is asked for its results; job, position and wait
/// follow.
pub const PATH: &str = "/results/";
/// Time that the answer of another VM may take beyond the wait.
const ANSWER_MARGIN: Duration = Duration::from_millis(400);
/// A record that the store has confirmed within this time counts as fresh where the other VMs are
/// not heard.
const CONFIRMATION_FRESH_FOR: Duration = Duration::from_millis(600);
/// A working watch is behind the other VMs by no more than its pause and an answer of the store.
const WATCH_LAG_MAX: Duration = Duration::from_millis(700);
const CATCH_UP_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// A registration lasts for 3 s and is renewed each 0.9 s; one renewed within this time has missed
/// one renewal at most.
const REGISTRATION_FRESH_FOR: Duration = Duration::from_millis(2000);
/// Time for which an owner waits for the outcome of a write before it leaves the answer to the
/// store; shorter than the margin of the VM that asks.
const OUTCOME_WAIT_MAX: Duration = Duration::from_millis(250);
/// Time beyond its wait within which a reader has an answer; shorter than callers have patience,
/// longer than the store is waited for before another VM is asked to make the call.
const ANSWER_DELAY_MAX: Duration = Duration::from_millis(1300);
/// Longest wait of a reader for new results; callers time out 1.5 s after the wait that they ask
/// for.
const READER_WAIT_MAX: Duration = Duration::from_millis(2000);
/// Bytes of one page's texts in JSON; a single text may be larger.
const PAGE_BYTES_MAX: usize = 600 * 1024;

/// Answers with the results from a position on, in time for the caller to have the answer.
pub async fn results(
    node: Rc<Node>,
    caller: &Option<Name>,
    job: JobId,
    after: usize,
    wait: Duration,
) -> Reply {
    let wait = wait.min(READER_WAIT_MAX);
    let wait_end = clock::now() + wait;
    let page = read_results(&node, caller, &job, after, wait_end);
    match timeout(wait + ANSWER_DELAY_MAX, page).await {
        Ok(page) => page,
        Err(_) => store_unavailable(&job, "no answer in time"),
    }
}

/// Reads the results from a position on, after a wait until `wait_end` if there are none. Calls on
/// the store and on other VMs may take longer than the caller waits.
async fn read_results(
    node: &Rc<Node>,
    caller: &Option<Name>,
    job: &JobId,
    after: usize,
    wait_end: Duration,
) -> Reply {
    let record = loop {
        let record = match find_for_caller(node, caller, job).await {
            Ok(record) => record,
            Err(reply) => return reply,
        };
        // The process may have been told to stop meanwhile.
        let until = reader_deadline(node, wait_end);
        let listed = record.listed.len();
        if listed > after || (record.ended() && listed == after) {
            break record;
        }
        if let Some(reply) = read_from_owner(node, &record, after, until).await {
            return reply;
        }
        // The caller has seen more than this VM: it is behind.
        let behind = after > listed;
        let now = clock::now();
        if now < until && !behind {
            wait_for_change(node, job, until - now).await;
            continue;
        }
        let is_settled = {
            let core = node.core.borrow();
            core.jobs.rows.get(job).is_none_or(Job::is_settled)
        };
        if !behind && is_settled && catch_up(node, job).await {
            let core = node.core.borrow();
            let told = core.peers.newest_job_revision(clock::now());
            let watched = core.jobs.watched_revision;
            // The record as it is after the wait, not before it.
            let current = core.jobs.rows.get(job).map(|row| row.record.clone());
            let record = current.unwrap_or(record);
            let listed = record.listed.len();
            log::info!(job = **job, after, listed, watched, told; "no new results within the wait");
            break record;
        }
        tokio::select! {
            biased;
            read = read_from_store(node, job) => match read {
                Ok(record) => break record,
                Err(reply) => return reply,
            },
            () = wait_for_change(node, job, ANSWER_DELAY_MAX) => {}
        }
    };
    results_page(node, &record, after).await
}

/// Asks the process that runs a job, in a large fleet; `None` when there is no other owner to ask.
///
/// Without this, each listing would have to go to all VMs, since any of them may have a reader, and
/// a reader that finds no new results would cost a call on the store, since most VMs are not heard.
/// Only a job's owner lists its results, so it always has all of them.
async fn read_from_owner(
    node: &Rc<Node>,
    record: &SmallJobRecord,
    after: usize,
    until: Duration,
) -> Option<Reply> {
    let owner = peers::remote_owner(node, record.owner).filter(|_| !record.ended())?;
    let wait = until.saturating_sub(clock::now());
    let path = format!("{PATH}{}/{after}/{}", record.id, wait.as_millis());
    match ask_for_page(node, owner, &path, wait + ANSWER_MARGIN).await {
        Ok(page) => Some(replies::json(200, page)),
        Err(error) => {
            log::info!(job = *record.id, owner:% = owner, error:% = error; "a job's owner did not tell its results");
            // A VM that took the job over may have listed more.
            let record = match read_from_store(node, &record.id).await {
                Ok(record) => record,
                Err(reply) => return Some(reply),
            };
            Some(results_page(node, &record, after).await)
        }
    }
}

/// Asks another VM for a page of results, which takes memory here before it is read.
async fn ask_for_page(
    node: &Node,
    owner: SocketAddr,
    path: &str,
    within: Duration,
) -> Result<Bytes, AskError> {
    let exchange = async {
        let (page, _connection) = ask_body(owner, path, Vec::new()).await?;
        let bytes = page.size_hint().lower() as usize;
        let Some(memory) = reply_memory::take(node, bytes).await else {
            return MemoryFullSnafu.fail();
        };
        let page: Bytes = node.key.open(&page.collect().await?.to_bytes())?;
        Ok(reply_memory::hold(page, memory))
    };
    timeout(within, exchange).await?
}

/// Answers another VM with the results of a job that is run here, as [`results`] answers callers.
pub async fn answer(node: &Rc<Node>, path: &str) -> Reply {
    let mut fields = path.strip_prefix(PATH).unwrap_or_default().split('/');
    let job: JobId = fields.next().unwrap_or_default().into();
    let after = fields.next().and_then(|after| after.parse::<usize>().ok());
    let wait_ms = fields.next().and_then(|wait| wait.parse::<u64>().ok());
    let Some((after, wait_ms)) = after.zip(wait_ms) else {
        return replies::empty(400);
    };
    let until = clock::now() + Duration::from_millis(wait_ms).min(READER_WAIT_MAX);
    let record = loop {
        let now = clock::now();
        let current = {
            let core = node.core.borrow();
            let row = core.jobs.rows.get(&job);
            let owned = row.filter(|row| is_owner(node, row, now));
            owned.map(|row| (row.record.clone(), row.is_settled()))
        };
        let Some((record, is_settled)) = current else {
            return replies::empty(404);
        };
        if record.listed.len() > after || record.ended() {
            break record;
        }
        let until = match is_settled {
            true => reader_deadline(node, until),
            false => reader_deadline(node, until) + OUTCOME_WAIT_MAX,
        };
        if now >= until && is_settled {
            break record;
        }
        if now >= until {
            log::info!(job = *job, after; "results not told: a write of the job is in doubt");
            return replies::empty(503);
        }
        wait_for_change(node, &job, until - now).await;
    };
    match make_page(node, &record, after).await {
        Ok((page, memory)) => {
            let sealed = node.key.seal(&page).map(Bytes::from);
            reply(sealed.map(|sealed| reply_memory::hold(sealed, memory)))
        }
        Err(refusal) => replies::empty(refusal.status().as_u16()),
    }
}

/// Whether a job is this process's and no other VM can have taken it over: that happens only when
/// this process's registration has been gone for 1.5 s, and it was renewed just now.
fn is_owner(node: &Node, job: &Job, now: Duration) -> bool {
    let renewed_at = node.renewed_at.get();
    let is_registered = renewed_at.is_some_and(|at| now < at + REGISTRATION_FRESH_FOR);
    job.record.owner == node.owner && is_registered
}

/// Whether a reader can be told that there are no new results.
///
/// Without this, while this VM's watch lags or its connection is dead, a caller that has seen a
/// result at another VM is told here that there is none. Each heartbeat carries the newest job
/// revision of its sender, so a VM whose watch has passed all of these has what they have.
fn is_fresh(node: &Node, job: &JobId, now: Duration) -> bool {
    let core = node.core.borrow();
    let row = core.jobs.rows.get(job);
    let confirmed_at = row.and_then(|row| row.confirmed_at);
    let confirmed = confirmed_at.is_some_and(|at| now < at + CONFIRMATION_FRESH_FOR);
    // Other VMs may have seen a listing whose answer this one has not received.
    let is_local = row.is_some_and(|row| is_owner(node, row, now) && row.is_settled());
    confirmed || is_local || core.peers.all_confirm_jobs(now, core.jobs.watched_revision)
}

/// Waits briefly for the local watch; returns whether a reader can then be told that there are no
/// new results.
async fn catch_up(node: &Node, job: &JobId) -> bool {
    let until = clock::now() + WATCH_LAG_MAX;
    while !is_fresh(node, job, clock::now()) {
        if clock::now() >= until {
            return false;
        }
        sleep(CATCH_UP_CHECK_INTERVAL).await;
    }
    true
}

/// When a reader is answered at the latest: at once while the process drains, since the wait could
/// outlast it.
fn reader_deadline(node: &Node, until: Duration) -> Duration {
    match node.is_draining() {
        true => until.min(clock::now()),
        false => until,
    }
}

/// Wakes all readers, so that they check again whether to wait.
pub fn wake_readers(node: &Node) {
    let core = node.core.borrow();
    for job in core.jobs.rows.values() {
        job.changed.notify_waiters();
    }
}

async fn wait_for_change(node: &Node, job: &JobId, wait: Duration) {
    node.core.borrow_mut().jobs.readers += 1;
    let _reader = WaitingReader { node };
    let row = {
        let core = node.core.borrow();
        core.jobs.rows.get(job).map(|job| job.changed.clone())
    };
    match row {
        // After a timeout the caller checks again as after a change.
        Some(changed) => drop(timeout(wait, changed.notified()).await),
        None => sleep(wait).await,
    }
}

/// Counts a waiting reader until it is dropped.
struct WaitingReader<'a> {
    node: &'a Node,
}

impl Drop for WaitingReader<'_> {
    fn drop(&mut self) {
        self.node.core.borrow_mut().jobs.readers -= 1;
    }
}

async fn results_page(node: &Rc<Node>, record: &SmallJobRecord, after: usize) -> Reply {
    match make_page(node, record, after).await {
        Ok((page, memory)) => replies::json(200, reply_memory::hold(page, memory)),
        Err(refusal) => refusal,
    }
}

/// A page of results and the memory that it takes, or the refusal to answer with.
async fn make_page(
    node: &Rc<Node>,
    record: &SmallJobRecord,
    after: usize,
) -> Result<(Bytes, OwnedSemaphorePermit), Reply> {
    let bytes = record.page_bytes(after, PAGE_BYTES_MAX);
    let Some(memory) = reply_memory::take(node, bytes).await else {
        log::info!(job = *record.id, bytes; "results can't be read: no memory for them");
        let retry_after = Some(MEMORY_RETRY_AFTER);
        return Err(replies::refusal(RefusalKind::MemoryFull, true, retry_after));
    };
    let page = read_page(node, record, after).await.map_err(|error| {
        log::warn!(job = *record.id, error:% = error; "results can't be read");
        replies::refusal(RefusalKind::PlatformAway, true, Some(STORE_RETRY_AFTER))
    })?;
    Ok((page, memory))
}

async fn read_page(
    node: &Rc<Node>,
    record: &SmallJobRecord,
    after: usize,
) -> Result<Bytes, PartError> {
    let mut rows = Vec::new();
    let mut bytes = 0;
    let mut last_part = None;
    let mut texts = Vec::new();
    for position in after..record.listed.len() {
        let Some((part, place)) = record.text_location(position) else {
            break;
        };
        if last_part != Some(part) {
            let key = small_jobs::text_key(&record.id, part);
            texts = part_cache::read::<Vec<String>>(node, key, record.owner).await?;
            last_part = Some(part);
        }
        let listed = &record.listed[position];
        let text = texts.get_mut(place).map(std::mem::take).unwrap_or_default();
        bytes += json_bytes(&text);
        if bytes > PAGE_BYTES_MAX && !rows.is_empty() {
            break;
        }
        rows.push(ResultRow {
            item: record.items[listed.item as usize].clone(),
            outcome: listed.outcome,
            text,
        });
    }
    let next = after + rows.len();
    Ok((node.dialect.results)(record.items.len(), &rows, next))
}
