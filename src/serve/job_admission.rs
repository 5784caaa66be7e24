//! Admits batch jobs as long as the tokens waiting on their route stay below its limit.

use std::rc::Rc;
use std::time::Duration;

use super::jobs::{already_accepted, encode, read_from_store, write};
use super::node::Node;
use super::replies::{self, Reply};
use crate::clock;
use crate::decide::backlog::{
    self, AdmissionPath, BacklogView, Reservation, Reservations, RouteKey, RETRY_AFTER_MIN,
};
use crate::decide::refusal::RefusalKind;
use crate::decide::routes::Route;
use crate::decide::small_jobs::SmallJobRecord;
use crate::id::{JobId, Name, Revision};
use crate::store::{CommitOutcome, Txn};
use crate::util;

/// Key prefix of the reservation records in the store.
const RESERVATIONS_PREFIX: &str = "small/limit/";
/// Timeout of one write of a reservation; callers wait 4 s for a whole submission.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Attempts to write a reservation against concurrent writes of other VMs. Each lost attempt means
/// that another job was admitted.
const RESERVE_ATTEMPTS_MAX: usize = 4;

/// Admits a job, or returns the refusal. The result of an admitted job's write must be passed to
/// [`note_write`].
pub async fn admit(node: &Rc<Node>, route: &Route, record: &SmallJobRecord) -> Result<(), Reply> {
    let Some(limit_tokens) = route.waiting_tokens_max else {
        return Ok(());
    };
    let requested = Reservation {
        job: record.id.clone(),
        tokens: record.open_tokens(),
    };
    let key = backlog::route_key(&route.name, record.workspace.as_deref());
    let workspace = &record.workspace;
    let path = {
        let now = clock::now();
        let view = backlog_view(node, now, key, limit_tokens);
        let mut core = node.core.borrow_mut();
        let path = core
            .backlog
            .request_admission(now, key, &requested.job, requested.tokens, view);
        log::info!(
            job = *requested.job,
            tokens = requested.tokens,
            waiting = view.waiting_tokens,
            limit = view.limit_tokens,
            vms = view.vms,
            way:? = path;
            "job asks to be let in"
        );
        path
    };
    match path {
        AdmissionPath::Share => Ok(()),
        AdmissionPath::Reserve => reserve(node, key, workspace, limit_tokens, &requested).await,
        AdmissionPath::Full => {
            Err(refuse_or_repeat(node, key, workspace, limit_tokens, &requested).await)
        }
    }
}

/// Records how the write of an admitted job ended.
pub fn note_write(node: &Node, job: &JobId, outcome: &CommitOutcome) {
    let now = clock::now();
    let mut core = node.core.borrow_mut();
    match outcome {
        CommitOutcome::Won(_) => core.backlog.job_written(now, job),
        // The job was accepted earlier or by another VM, or nothing was written.
        CommitOutcome::Lost(_) | CommitOutcome::Away(_) | CommitOutcome::Rejected(_) => {
            core.backlog.job_abandoned(job)
        }
        // The write may still take effect, so the job stays counted for a while.
        CommitOutcome::Unknown(_) => {}
    }
}

/// Records how many tokens wait on each route that has a limit.
pub fn note_waiting_tokens(node: &Node, now: Duration) {
    let Some(routes) = node.routes() else {
        return;
    };
    for route in &routes.rules.routes {
        if let Some(limit_tokens) = route.waiting_tokens_max {
            let keys = node.core.borrow().jobs.route_keys(&route.name);
            for key in keys {
                let waiting = backlog_view(node, now, key, limit_tokens).waiting_tokens;
                let mut core = node.core.borrow_mut();
                core.backlog.note_waiting(now, key, waiting);
            }
        }
    }
}

fn backlog_view(node: &Node, now: Duration, route: RouteKey, limit_tokens: u64) -> BacklogView {
    let core = node.core.borrow();
    let by_records = core.jobs.open_tokens(route);
    let by_reports = core.jobs.open_tokens_of_owners(route, |owner| {
        owner == node.owner || !core.peers.reports_waiting(now, owner)
    });
    let reported = by_reports + core.peers.backlog(now, route, node.domain, node.vm);
    let writing = core
        .backlog
        .tokens_being_written(route, |job| core.jobs.rows.contains_key(job));
    // In a large fleet the local records lag behind the totals that VMs report.
    let waiting = if core.peers.is_large() {
        reported
    } else {
        by_records.max(reported)
    };
    BacklogView {
        limit_tokens: with_overage(limit_tokens, node.settings.waiting_overage),
        waiting_tokens: waiting + writing,
        vms: core.peers.admitting_vms() + 1,
    }
}

/// Raises the limit by half of the overage that operators allow for a while. This half covers jobs
/// that several VMs admit at the same time; the other half is left for jobs that have not been
/// reported yet.
fn with_overage(limit_tokens: u64, overage: f64) -> u64 {
    (limit_tokens as f64 * (1.0 + overage / 2.0)) as u64
}

async fn reserve(
    node: &Rc<Node>,
    route: RouteKey,
    workspace: &Option<Name>,
    limit_tokens: u64,
    requested: &Reservation,
) -> Result<(), Reply> {
    let key = format!("{RESERVATIONS_PREFIX}{route:016x}");
    let (mut current, mut revision) = read_reservations(node, &key).await?;
    for _ in 0..RESERVE_ATTEMPTS_MAX {
        let now = clock::now();
        let view = backlog_view(node, now, route, limit_tokens);
        let updated = {
            let mut guard = node.core.borrow_mut();
            let core = &mut *guard;
            let has_record = |job: &JobId| core.jobs.rows.contains_key(job);
            let nonce = util::nonce();
            core.backlog
                .reserve(now, route, &current, requested, view, has_record, nonce)
        };
        let Some(updated) = updated else {
            return Err(refuse_or_repeat(node, route, workspace, limit_tokens, requested).await);
        };
        let txn = Txn {
            expect: vec![(key.clone(), revision)],
            writes: vec![write(key.clone(), encode(&updated))],
            deletes: Vec::new(),
        };
        match node.store.commit(txn, WRITE_TIMEOUT).await {
            CommitOutcome::Won(_) => {
                let now = clock::now();
                node.core
                    .borrow_mut()
                    .backlog
                    .reservation_written(now, route, requested);
                return Ok(());
            }
            CommitOutcome::Lost(Some(found)) => {
                current = decode(&key, &found.value);
                revision = found.revision;
            }
            CommitOutcome::Lost(None) => (current, revision) = (Reservations::default(), 0),
            CommitOutcome::Away(detail)
            | CommitOutcome::Rejected(detail)
            | CommitOutcome::Unknown(detail) => {
                log::warn!(job = *requested.job, detail; "job refused: no reservation could be written");
                return Err(store_unavailable());
            }
        }
    }
    log::info!(job = *requested.job; "job refused: each write of the reservation lost to another VM");
    Err(store_unavailable())
}

async fn read_reservations(node: &Node, key: &str) -> Result<(Reservations, Revision), Reply> {
    match node.store.get(key).await {
        Ok(Some(item)) => Ok((decode(key, &item.value), item.revision)),
        Ok(None) => Ok((Reservations::default(), 0)),
        Err(error) => {
            log::warn!(key, error:% = error; "reservations can't be read");
            Err(store_unavailable())
        }
    }
}

fn decode(key: &str, value: &[u8]) -> Reservations {
    serde_json::from_slice(value).unwrap_or_else(|error| {
        // The record is written anew; its content is recovered from the jobs' records shortly
        // after.
        log::error!(key, error:% = error; "reservations can't be read");
        Reservations::default()
    })
}

fn store_unavailable() -> Reply {
    replies::refusal(RefusalKind::PlatformAway, true, Some(RETRY_AFTER_MIN))
}

/// The reply to a job that exceeds the limit. A job that was accepted before, and is submitted
/// again because its caller never received the reply, is accepted again. Only the store has every
/// job.
async fn refuse_or_repeat(
    node: &Rc<Node>,
    route: RouteKey,
    workspace: &Option<Name>,
    limit_tokens: u64,
    requested: &Reservation,
) -> Reply {
    let existing = read_from_store(node, &requested.job).await;
    if let Ok(record) = &existing {
        return already_accepted(record, workspace);
    }
    if existing.is_err_and(|reply| reply.status() != 404) {
        return store_unavailable();
    }
    let now = clock::now();
    let view = backlog_view(node, now, route, limit_tokens);
    let core = node.core.borrow();
    let retry_after = core.backlog.retry_after(now, route, requested.tokens, view);
    log::info!(
        job = *requested.job,
        tokens = requested.tokens,
        waiting = view.waiting_tokens,
        limit = view.limit_tokens,
        after_ms = retry_after.as_millis() as u64;
        "job refused: too much waits"
    );
    replies::refusal(RefusalKind::TooMuchWaiting, true, Some(retry_after))
}
