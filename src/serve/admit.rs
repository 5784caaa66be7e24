//! Lets batch jobs in below the limit on tokens that wait on their route.

use std::rc::Rc;
use std::time::Duration;

use super::jobs::{accepted_before, encode, reread, write};
use super::node::Node;
use super::replies::{self, Reply};
use crate::clock;
use crate::decide::backlog::{
    self, AdmissionPath, BacklogView, Reservations, Reserved, RouteKey, RETURN_MIN,
};
use crate::decide::refusal::RefusalKind;
use crate::decide::routes::Route;
use crate::decide::small_jobs::Record;
use crate::id::{JobId, Name, Revision};
use crate::store::{Settled, Txn};
use crate::util;

/// Prefix of the records with reservations.
const LIMITS: &str = "small/limit/";
/// Time for one write of a reservation; callers wait 4 s for all of a submission.
const SETTLE_MAX: Duration = Duration::from_millis(1000);
/// Tries against other VMs' reservations. Each lost try means that another job came in.
const RESERVE_TRIES: usize = 4;

/// Lets a job in, or says what to answer instead. What is let in must be told to
/// [`settled`] once its write has ended.
pub async fn admit(node: &Rc<Node>, route: &Route, record: &Record) -> Result<(), Reply> {
    let Some(limit_tokens) = route.waiting_tokens_max else {
        return Ok(());
    };
    let asked = Reserved {
        job: record.id.clone(),
        tokens: record.open_tokens(),
    };
    let key = backlog::key(&route.name, record.workspace.as_deref());
    let workspace = &record.workspace;
    let way = {
        let now = clock::now();
        let view = view(node, now, key, limit_tokens);
        let mut core = node.core.borrow_mut();
        let way = core
            .backlog
            .request_admission(now, key, &asked.job, asked.tokens, view);
        log::info!(
            job = *asked.job,
            tokens = asked.tokens,
            waiting = view.waiting_tokens,
            limit = view.limit_tokens,
            vms = view.vms,
            way:? = way;
            "job asks to be let in"
        );
        way
    };
    match way {
        AdmissionPath::Share => Ok(()),
        AdmissionPath::Reserve => reserve(node, key, workspace, limit_tokens, &asked).await,
        AdmissionPath::Full => Err(full(node, key, workspace, limit_tokens, &asked).await),
    }
}

/// Takes note of how the write of a job ended that was let in.
pub fn settled(node: &Node, job: &JobId, settled: &Settled) {
    let now = clock::now();
    let mut core = node.core.borrow_mut();
    match settled {
        Settled::Won(_) => core.backlog.job_written(now, job),
        // It was accepted before, by another VM, or nothing was written.
        Settled::Lost(_) | Settled::Away(_) => core.backlog.job_abandoned(job),
        // It may still take effect, so it counts on for a while.
        Settled::Unknown(_) => {}
    }
}

/// Keeps up with what waits on the routes with a limit.
pub fn look(node: &Node, now: Duration) {
    let Some(routes) = node.routes() else {
        return;
    };
    for route in &routes.rules.routes {
        if let Some(limit_tokens) = route.waiting_tokens_max {
            let keys = node.core.borrow().jobs.route_keys(&route.name);
            for key in keys {
                let waiting = view(node, now, key, limit_tokens).waiting_tokens;
                let mut core = node.core.borrow_mut();
                core.backlog.note_waiting(now, key, waiting);
            }
        }
    }
}

fn view(node: &Node, now: Duration, route: RouteKey, limit_tokens: u64) -> BacklogView {
    let core = node.core.borrow();
    let by_records = core.jobs.open_tokens(route);
    let by_word = core.jobs.open_tokens_of(route, |owner| {
        owner == node.owner || !core.peers.reports_waiting(now, owner)
    });
    let told = by_word + core.peers.backlog(now, route, node.domain, node.vm);
    let writing = core
        .backlog
        .being_written(route, |job| core.jobs.rows.contains_key(job));
    // In a large fleet the records here lag behind what is listed.
    let known = if core.peers.is_large() {
        told
    } else {
        by_records.max(told)
    };
    BacklogView {
        limit_tokens: with_overage(limit_tokens, node.settings.waiting_overage),
        waiting_tokens: known + writing,
        vms: core.peers.admitting_vms() + 1,
    }
}

/// Operators who allow more than the limit for a while leave half of that for what is let in at once in
/// several places, and half for what nobody has heard of.
fn with_overage(limit_tokens: u64, overage: f64) -> u64 {
    (limit_tokens as f64 * (1.0 + overage / 2.0)) as u64
}

async fn reserve(
    node: &Rc<Node>,
    route: RouteKey,
    workspace: &Option<Name>,
    limit_tokens: u64,
    asked: &Reserved,
) -> Result<(), Reply> {
    let key = format!("{LIMITS}{route:016x}");
    let (mut before, mut revision) = read(node, &key).await?;
    for _ in 0..RESERVE_TRIES {
        let now = clock::now();
        let view = view(node, now, route, limit_tokens);
        let after = {
            let mut guard = node.core.borrow_mut();
            let core = &mut *guard;
            let known = |job: &JobId| core.jobs.rows.contains_key(job);
            let nonce = util::nonce();
            core.backlog
                .reserve(now, route, &before, asked, view, known, nonce)
        };
        let Some(after) = after else {
            return Err(full(node, route, workspace, limit_tokens, asked).await);
        };
        let txn = Txn {
            expect: vec![(key.clone(), revision)],
            writes: vec![write(key.clone(), encode(&after))],
            deletes: Vec::new(),
        };
        match node.store.commit(txn, SETTLE_MAX).await {
            Settled::Won(_) => {
                let now = clock::now();
                node.core.borrow_mut().backlog.reserved(now, route, asked);
                return Ok(());
            }
            Settled::Lost(Some(found)) => {
                before = decode(&key, &found.value);
                revision = found.revision;
            }
            Settled::Lost(None) => (before, revision) = (Reservations::default(), 0),
            Settled::Away(detail) | Settled::Unknown(detail) => {
                log::warn!(job = *asked.job, detail; "job refused: no reservation could be written");
                return Err(away());
            }
        }
    }
    log::info!(job = *asked.job; "job refused: other VMs' reservations came first each time");
    Err(away())
}

async fn read(node: &Node, key: &str) -> Result<(Reservations, Revision), Reply> {
    match node.store.get(key).await {
        Ok(Some(item)) => Ok((decode(key, &item.value), item.revision)),
        Ok(None) => Ok((Reservations::default(), 0)),
        Err(error) => {
            log::warn!(key, error:% = error; "reservations can't be read");
            Err(away())
        }
    }
}

fn decode(key: &str, value: &[u8]) -> Reservations {
    serde_json::from_slice(value).unwrap_or_else(|error| {
        // Written anew; what it held is known from the jobs' records within moments.
        log::error!(key, error:% = error; "reservations can't be read");
        Reservations::default()
    })
}

fn away() -> Reply {
    replies::refusal(RefusalKind::PlatformAway, true, Some(RETURN_MIN))
}

/// The answer to a job that has no room. One that was accepted before, and comes again because its
/// caller never saw the answer, is accepted again: only the store knows of all jobs.
async fn full(
    node: &Rc<Node>,
    route: RouteKey,
    workspace: &Option<Name>,
    limit_tokens: u64,
    asked: &Reserved,
) -> Reply {
    let standing = reread(node, &asked.job).await;
    if let Ok(record) = &standing {
        return accepted_before(record, workspace);
    }
    if standing.is_err_and(|reply| reply.status() != 404) {
        return away();
    }
    let now = clock::now();
    let view = view(node, now, route, limit_tokens);
    let core = node.core.borrow();
    let after = core.backlog.return_after(now, route, asked.tokens, view);
    log::info!(
        job = *asked.job,
        tokens = asked.tokens,
        waiting = view.waiting_tokens,
        limit = view.limit_tokens,
        after_ms = after.as_millis() as u64;
        "job refused: too much waits"
    );
    replies::refusal(RefusalKind::TooMuchWaiting, true, Some(after))
}
