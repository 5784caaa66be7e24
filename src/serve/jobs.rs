//! Callers' requests on batch jobs, and the writes of job records.

use std::rc::Rc;
use std::time::Duration;

use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::Bytes;
use hyper::StatusCode;

use super::ask::{ask, reply};
use super::dialect::RequestParams;
use super::job_admission;
use super::job_table::decode;
use super::node::Node;
use super::part_cache::{self, PartError};
use super::peers;
use super::replies::{self, Reply};
use super::reply_memory;
use super::runs;
use crate::clock;
use crate::decide::memory::usable_bytes;
use crate::decide::refusal::RefusalKind;
use crate::decide::routes::Route;
use crate::decide::small_jobs::{self, body_key, record_key, BodyLocation, Item, SmallJobRecord};
use crate::id::{JobId, Name, Revision};
use crate::store::{CommitOutcome, Txn, Write};
use crate::util;

/// Time in which the store has to settle a write of a record. Shorter than callers wait: one that is
/// told of the doubt in time submits its job again at another VM.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1400);
/// `Retry-After` when the store could not be reached; outages last for seconds.
pub(super) const STORE_RETRY_AFTER: Duration = Duration::from_millis(900);
/// `Retry-After` of a VM whose memory for jobs is taken; another VM may have some.
pub(super) const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` while the records of jobs leave no room; they go some time after their jobs' end.
const RECORDS_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Path under which another VM reports that it has cancelled a job; the job follows.
pub const ENDED_PATH: &str = "/ended/";
/// Timeout of that report; the caller that cancelled the job waits for it.
const ENDED_REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Attempts to cancel a job against concurrent writers of its record.
const CANCEL_ATTEMPTS_MAX: usize = 5;

/// Encodes a value for the store.
pub fn encode(value: &impl serde::Serialize) -> Bytes {
    // Plain structs with string keys always serialize to JSON.
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

/// Accepts a submitted job.
pub async fn submit(
    node: Rc<Node>,
    route: &Route,
    caller: Option<Name>,
    ask: RequestParams,
    body: Bytes,
) -> Reply {
    let Some(id) = ask.id else {
        return replies::refusal(RefusalKind::BadRequest, true, None);
    };
    let id: JobId = id.into();
    let existing = node.core.borrow().jobs.current(&id);
    if let Some((record, _)) = existing {
        return already_accepted(&record, &caller);
    }
    let Some(memory) = node.submission_memory.take_for_submission(body.len()).await else {
        log::info!(job = *id, bytes = body.len(); "job refused: no memory for it");
        return replies::refusal(RefusalKind::MemoryFull, true, Some(MEMORY_RETRY_AFTER));
    };
    let items = match (node.dialect.submission)(&body) {
        Ok(items) => items,
        Err(error) => {
            log::info!(job = *id, error; "job refused: the submission can't be read");
            return replies::refusal(RefusalKind::BadRequest, true, None);
        }
    };
    drop(body);
    if let Some(item) = small_jobs::duplicate_id(&items) {
        log::info!(job = *id, item = **item; "job refused: duplicate item id");
        return replies::refusal(RefusalKind::BadRequest, true, None);
    }
    if items.is_empty() || items.len() > small_jobs::ITEMS_MAX {
        return replies::refusal(RefusalKind::TooLarge, true, None);
    }
    let mut record = new_record(&node, id.clone(), &ask.host, route, &items);
    record.workspace = caller;
    let Some(parts) = small_jobs::body_parts(items) else {
        return replies::refusal(RefusalKind::TooLarge, true, None);
    };
    record.body_parts = parts.iter().map(|part| part.first).collect();
    // Each part is dropped once it is encoded.
    let encoded = parts.into_iter().map(|part| encode(&part.items));
    let keys = (0..).map(|number| body_key(&id, number));
    let writes = keys.zip(encoded).map(|(key, part)| write(key, part));
    let writes: Vec<Write> = writes.collect();
    record.body_part_bytes = writes
        .iter()
        .map(|write| write.value.len() as u32)
        .collect();
    if !record.fits_value() {
        return replies::refusal(RefusalKind::TooLarge, true, None);
    }
    // A task of its own: a caller that disconnects must not stop the write from being settled.
    let (stored, route) = (node.clone(), route.clone());
    let accepted = tokio::task::spawn_local(async move {
        let reply = accept(stored, route, record, writes).await;
        drop(memory);
        reply
    });
    let settled = accepted.await;
    settled.unwrap_or_else(|_| replies::refusal(RefusalKind::PlatformAway, false, None))
}

fn new_record(node: &Node, id: JobId, host: &str, route: &Route, items: &[Item]) -> SmallJobRecord {
    let created_ms = clock::unix_ms();
    SmallJobRecord {
        id,
        host: host.into(),
        route: route.name.clone(),
        workspace: None,
        // A VM that drains accepts jobs for others to claim.
        owner: if node.is_draining() { 0 } else { node.owner },
        epoch: 1,
        created_ms,
        due_ms: created_ms + route.due.as_millis() as u64,
        retention_ms: route.retention.as_millis() as u64,
        items: items.iter().map(|item| item.id.clone()).collect(),
        tokens: items.iter().map(|item| item.tokens).collect(),
        body_parts: Vec::new(),
        body_part_bytes: Vec::new(),
        listed: Vec::new(),
        text_parts: 0,
        text_part_bytes: Vec::new(),
        failures: Vec::new(),
        cancelled: false,
        nonce: util::nonce(),
    }
}

/// Writes record and items in one transaction, and answers by its outcome.
async fn accept(node: Rc<Node>, route: Route, record: SmallJobRecord, writes: Vec<Write>) -> Reply {
    let id = record.id.clone();
    if !has_room_for_record(&node, &record) {
        return refuse_without_room(&node, &record).await;
    }
    if let Err(reply) = job_admission::admit(&node, &route, &record).await {
        return reply;
    }
    let started = clock::now();
    let settled = replace_record_with_parts(&node, &record, 0, writes).await;
    job_admission::note_write(&node, &id, &settled);
    let took_ms = clock::now().saturating_sub(started).as_millis() as u64;
    let items = record.items.len();
    match settled {
        CommitOutcome::Won(revision) => {
            log::info!(job = *id, items, revision, took_ms; "job accepted");
            let took_s = Duration::from_millis(took_ms).as_secs_f64();
            node.counters.job_accepted_seconds.observe(took_s);
            node.counters
                .jobs_taken
                .with_label_values(&["accepted"])
                .inc();
            runs::adopt(&node, &id);
            replies::empty(202)
        }
        CommitOutcome::Lost(_) => match node.core.borrow().jobs.current(&id) {
            Some((existing, _)) => already_accepted(&existing, &record.workspace),
            None => replies::empty(202),
        },
        CommitOutcome::Rejected(detail) => {
            log::error!(job = *id, items, detail; "job refused: the store rejects its record");
            replies::refusal(RefusalKind::TooLarge, true, None)
        }
        CommitOutcome::Away(detail) => {
            log::warn!(job = *id, took_ms, detail; "job refused: the store is away");
            replies::refusal(RefusalKind::PlatformAway, true, Some(STORE_RETRY_AFTER))
        }
        CommitOutcome::Unknown(detail) => {
            log::warn!(job = *id, took_ms, detail; "job in doubt: the store's answer was lost");
            replies::refusal(RefusalKind::PlatformAway, false, None)
        }
    }
}

/// Whether a job's record has room here. Each VM has the records of all jobs.
fn has_room_for_record(node: &Node, record: &SmallJobRecord) -> bool {
    let more_bytes = record.held_bytes();
    let room_bytes = usable_bytes(node.budget.record_bytes, more_bytes);
    node.core.borrow().jobs.record_bytes() + more_bytes <= room_bytes
}

/// Refuses a job whose record has no room, unless it was accepted before.
async fn refuse_without_room(node: &Rc<Node>, record: &SmallJobRecord) -> Reply {
    match read_from_store(node, &record.id).await {
        Ok(existing) => already_accepted(&existing, &record.workspace),
        Err(reply) if reply.status() != StatusCode::NOT_FOUND => reply,
        Err(_) => {
            log::info!(job = *record.id, items = record.items.len(); "job refused: no memory for its record");
            replies::refusal(RefusalKind::MemoryFull, true, Some(RECORDS_RETRY_AFTER))
        }
    }
}

/// The answer to a submission whose job exists already. An id belongs to the workspace that
/// submitted it first.
pub(super) fn already_accepted(existing: &SmallJobRecord, caller: &Option<Name>) -> Reply {
    let same = existing.workspace == *caller;
    log::info!(job = *existing.id, same_workspace = same; "job already accepted");
    match same {
        true => replies::empty(202),
        false => replies::refusal(RefusalKind::Conflict, true, None),
    }
}

/// A write without a lease.
pub fn write(key: String, value: Bytes) -> Write {
    Write {
        key,
        value,
        lease: 0,
    }
}

/// The job's record from the table, else from the store, else the refusal to answer with.
pub(super) async fn find(node: &Rc<Node>, job: &JobId) -> Result<Rc<SmallJobRecord>, Reply> {
    let known = node.core.borrow().jobs.current(job);
    match known {
        Some((record, _)) => Ok(record),
        None => read_from_store(node, job).await,
    }
}

/// Like [`find`], for a caller: jobs of other workspaces are not found.
pub(super) async fn find_for_caller(
    node: &Rc<Node>,
    caller: &Option<Name>,
    job: &JobId,
) -> Result<Rc<SmallJobRecord>, Reply> {
    let record = find(node, job).await?;
    let routes = node.routes();
    let keyless = routes.is_some_and(|routes| routes.workspaces.is_none());
    if keyless || record.workspace.is_none() || record.workspace == *caller {
        return Ok(record);
    }
    let asked_by = caller.as_deref().unwrap_or_default();
    log::info!(job = **job, asked_by; "refused: the job is another workspace's");
    Err(replies::refusal(RefusalKind::NotFound, true, None))
}

/// The job's record from the store, else the refusal to answer with: 404 only when the store has no
/// such record.
pub(super) async fn read_from_store(
    node: &Rc<Node>,
    job: &JobId,
) -> Result<Rc<SmallJobRecord>, Reply> {
    let key = record_key(job);
    let asked_at = clock::now();
    let item = match node.store.get(&key).await {
        Ok(Some(item)) => item,
        Ok(None) => return Err(replies::refusal(RefusalKind::NotFound, true, None)),
        Err(error) => return Err(store_unavailable(job, &error.to_string())),
    };
    let Some(record) = decode(&key, &item.value) else {
        return Err(store_unavailable(job, "the record is invalid"));
    };
    let mut core = node.core.borrow_mut();
    core.apply_job(clock::now(), Some(asked_at), record, item.revision);
    let existing = core.jobs.current(job);
    existing
        .map(|(record, _)| record)
        .ok_or_else(|| replies::refusal(RefusalKind::NotFound, true, None))
}

pub(super) fn store_unavailable(job: &str, detail: &str) -> Reply {
    log::warn!(job, error = detail; "job can't be read: the store is away");
    replies::refusal(RefusalKind::PlatformAway, true, Some(STORE_RETRY_AFTER))
}

/// Answers with the body of an item.
pub async fn item_body(node: Rc<Node>, caller: &Option<Name>, job: JobId, item: Name) -> Reply {
    let record = match find_for_caller(&node, caller, &job).await {
        Ok(record) => record,
        Err(reply) => return reply,
    };
    let index = record.items.iter().position(|known| *known == item);
    let location = index.and_then(|index| record.body_location(index as u32));
    let Some(location) = location.filter(|_| !record.cancelled) else {
        return replies::refusal(RefusalKind::NotFound, true, None);
    };
    let bytes = record.body_bytes(&location);
    let Some(memory) = reply_memory::take(&node, bytes).await else {
        log::info!(job = *job, bytes; "an item's body can't be read: no memory for it");
        return replies::refusal(RefusalKind::MemoryFull, true, Some(MEMORY_RETRY_AFTER));
    };
    match read_body(&node, &record, location).await {
        Ok(Some(body)) => replies::binary(reply_memory::hold(body, memory)),
        Ok(None) => replies::refusal(RefusalKind::PlatformAway, true, Some(STORE_RETRY_AFTER)),
        Err(error) => {
            log::warn!(job = *job, error:% = error; "an item's body can't be read");
            replies::refusal(RefusalKind::PlatformAway, true, Some(STORE_RETRY_AFTER))
        }
    }
}

/// Reads the body of an item; `None` if it is not there, or not base64.
async fn read_body(
    node: &Rc<Node>,
    record: &SmallJobRecord,
    location: BodyLocation,
) -> Result<Option<Bytes>, PartError> {
    let mut items = Vec::new();
    for part in location.parts {
        let key = body_key(&record.id, part);
        let read = part_cache::read::<Vec<Item>>(node, key, record.owner).await?;
        let is_continued = record.is_continued(part as usize);
        small_jobs::join_part(&mut items, read, is_continued);
    }
    let item = items.get(location.index);
    let body = item.and_then(|item| BASE64_STANDARD.decode(&item.body).ok());
    Ok(body.map(Bytes::from))
}

/// Cancels a job.
pub async fn cancel(node: Rc<Node>, caller: &Option<Name>, job: JobId) -> Reply {
    for _ in 0..CANCEL_ATTEMPTS_MAX {
        let record = match find_for_caller(&node, caller, &job).await {
            Ok(record) => record,
            Err(reply) => return reply,
        };
        let Some(ended) = record.cancel(util::nonce()) else {
            return replies::empty(200);
        };
        let existing = node.core.borrow().jobs.current(&job);
        let revision = existing.map_or(0, |(_, revision)| revision);
        match replace_record(&node, &ended, revision).await {
            CommitOutcome::Won(_) => {
                log::info!(job = *job, listed = ended.listed.len(); "job cancelled by its caller");
                runs::forget(&node, &job);
                report_to_owner(&node, &record).await;
                return replies::empty(200);
            }
            // Another writer came first; its record is in the table now.
            CommitOutcome::Lost(_) => {}
            CommitOutcome::Away(detail) | CommitOutcome::Rejected(detail) => {
                return store_unavailable(&job, &detail)
            }
            CommitOutcome::Unknown(detail) => {
                log::warn!(job = *job, detail; "cancellation in doubt: the store's answer was lost");
                return replies::refusal(RefusalKind::PlatformAway, false, None);
            }
        }
    }
    replies::refusal(RefusalKind::PlatformAway, true, Some(STORE_RETRY_AFTER))
}

/// Reports to the process that runs a job that the job was cancelled here.
///
/// Without this, the owner learns of it from the store or by way of the VM that it follows; while
/// that one is frozen or cut off from the store, the cancelled job's items run on for seconds.
async fn report_to_owner(node: &Node, record: &SmallJobRecord) {
    let Some(owner) = peers::other_process(node, record.owner) else {
        return;
    };
    let path = format!("{ENDED_PATH}{}", record.id);
    if let Err(error) = ask::<()>(node, owner, &path, Vec::new(), ENDED_REPORT_TIMEOUT).await {
        // Its own watch, or its delegate's, brings the change a little later.
        log::info!(job = *record.id, owner:% = owner, error:% = error; "the owner of an ended job was not told");
    }
}

/// Receives another VM's report that a job was cancelled, and checks it against the store.
pub async fn receive_ended(node: &Rc<Node>, path: &str) -> Reply {
    let job: JobId = path.strip_prefix(ENDED_PATH).unwrap_or_default().into();
    if !node.core.borrow().jobs.rows.contains_key(&job) {
        return replies::empty(404);
    }
    // A task of its own: the reporting VM closes the connection after its timeout, which must not
    // stop a read that takes longer.
    let checked = tokio::task::spawn_local(forget_if_cancelled(node.clone(), job));
    match checked.await {
        Ok(()) => reply(node.key.seal(&())),
        Err(error) => {
            log::error!(error:% = error; "the check of a cancelled job failed");
            replies::empty(500)
        }
    }
}

async fn forget_if_cancelled(node: Rc<Node>, job: JobId) {
    let read = read_from_store(&node, &job).await;
    if read.is_ok_and(|record| record.cancelled) {
        runs::forget(&node, &job);
    }
}

/// Replaces a job's record if it still is at `revision`, and takes the record that stands
/// afterwards into the table.
pub async fn replace_record(
    node: &Rc<Node>,
    record: &SmallJobRecord,
    revision: Revision,
) -> CommitOutcome {
    replace_record_with_parts(node, record, revision, Vec::new()).await
}

/// Like [`replace_record`], with parts in the same transaction, which are cached once they are written.
pub async fn replace_record_with_parts(
    node: &Rc<Node>,
    record: &SmallJobRecord,
    revision: Revision,
    parts: Vec<Write>,
) -> CommitOutcome {
    let key = record_key(&record.id);
    let mut writes = vec![write(key.clone(), encode(record))];
    writes.extend(parts.iter().cloned());
    let txn = Txn {
        expect: vec![(key.clone(), revision)],
        writes,
        deletes: Vec::new(),
    };
    node.core.borrow_mut().jobs.note_write(&record.id, revision);
    let asked_at = clock::now();
    let settled = node.store.commit(txn, COMMIT_TIMEOUT).await;
    let now = clock::now();
    let mut core = node.core.borrow_mut();
    match &settled {
        CommitOutcome::Won(revision) => {
            core.apply_job(now, Some(asked_at), record.clone(), *revision);
            for part in parts {
                core.jobs.parts.insert(part.key, part.value);
            }
            node.heartbeat_due.notify_one();
        }
        CommitOutcome::Lost(Some(found)) => {
            if let Some(other) = decode(&key, &found.value) {
                core.apply_job(now, Some(asked_at), other, found.revision);
            }
        }
        CommitOutcome::Lost(None) => {
            core.jobs.rows.remove(&record.id);
        }
        CommitOutcome::Away(_) | CommitOutcome::Rejected(_) => {
            core.jobs.note_write_refused(&record.id, revision)
        }
        CommitOutcome::Unknown(_) => {}
    }
    settled
}
