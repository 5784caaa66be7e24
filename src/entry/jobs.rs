//! Batch jobs: create, list, show, cancel. A job is accepted once its record is written to the
//! platform.

use std::io;
use std::time::Duration;

use log::info;
use serde::Deserialize;
use serde_json::{json, Value};

use super::files::{platform_unavailable, read_chunks, read_file, read_job};
use super::node::{CallerContext, Node};
use crate::clock;
use crate::decide::jobs::{job_key, ItemCounts, JobRecord, JobState};
use crate::http::problem::{Problem, RefusalKind};
use crate::http::server::{Head, Responder};
use crate::http::Request;
use crate::id;
use crate::platform::CommitOutcome;
use crate::util::{self, lock};

const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
const WINDOW_DEFAULT_HOURS: u64 = 24;
const WINDOW_HOURS_MAX: u64 = 24 * 14;
const CANCEL_ATTEMPTS_MAX: u32 = 5;

/// Body of a request that creates a job.
#[derive(Deserialize)]
struct CreateRequest {
    input_file_id: String,
    endpoint: String,
    /// Duration such as `24h`, `30m` or `10s`.
    #[serde(default)]
    completion_window: Option<String>,
    #[serde(default)]
    #[allow(dead_code)]
    metadata: Option<Value>,
}

/// Handles calls under `/v1/batches`.
pub fn handle(
    node: &Node,
    caller: &CallerContext,
    request: &Request,
    out: &mut Responder,
) -> io::Result<()> {
    let parts: Vec<&str> = request.path().split('/').skip(3).collect();
    let answer = match (request.method.as_str(), parts.as_slice()) {
        ("POST", []) => create(node, caller, request),
        ("GET", []) => list(node, caller),
        ("GET", [job]) => show(node, caller, job),
        ("POST", [job, "cancel"]) => cancel(node, caller, job),
        _ => Err(Problem::not_run(RefusalKind::NotFound, request.path())),
    };
    match answer {
        Ok((value, replayed)) => {
            let mut head = Head::new(200, "application/json");
            if replayed {
                head = head.with("Idempotent-Replayed", "true");
            }
            out.full(&head, &serde_json::to_vec(&value)?)
        }
        Err(problem) => out.problem(&problem),
    }
}

type Answer = Result<(Value, bool), Problem>;

fn parse_window(text: Option<&str>) -> Result<Duration, Problem> {
    let Some(text) = text else {
        return Ok(Duration::from_secs(WINDOW_DEFAULT_HOURS * 3600));
    };
    let parsed = humantime::parse_duration(text).ok();
    parsed
        .filter(|w| !w.is_zero() && w.as_secs() <= WINDOW_HOURS_MAX * 3600)
        .ok_or_else(|| {
            let detail =
                format!("completion_window {text:?}; 1s to {WINDOW_HOURS_MAX}h are allowed");
            Problem::not_run(RefusalKind::BadRequest, detail)
        })
}

fn create(node: &Node, caller: &CallerContext, request: &Request) -> Answer {
    let body: CreateRequest = serde_json::from_slice(&request.body)
        .map_err(|error| Problem::not_run(RefusalKind::BadRequest, format!("body: {error}")))?;
    let window = parse_window(body.completion_window.as_deref())?;
    let is_supported = body.endpoint.starts_with("/svc/")
        || ["/v1/chat/completions", "/v1/completions"].contains(&body.endpoint.as_str());
    if !is_supported {
        let detail = format!(
            "endpoint {:?}; /v1/chat/completions, /v1/completions and /svc/... are allowed",
            body.endpoint
        );
        return Err(Problem::not_run(RefusalKind::BadRequest, detail));
    }
    let file = read_file(node, caller, &body.input_file_id)?;
    // Without a key, the same file and endpoint make the same job.
    let identity = match request.header("Idempotency-Key") {
        Some(key) => format!("{}\nkey\n{key}", caller.workspace),
        None => format!(
            "{}\ncontent\n{}\n{}",
            caller.workspace, file.id, body.endpoint
        ),
    };
    let now_ms = clock::unix_ms();
    let record = JobRecord {
        id: format!("batch_{}", &id::digest(identity.as_bytes())[..32]).into(),
        workspace: caller.workspace.clone(),
        endpoint: body.endpoint,
        file: file.id,
        targets: file.targets,
        chunks: file.segments.len() as u32,
        state: JobState::InProgress,
        created_ms: now_ms,
        deadline_ms: now_ms + window.as_millis() as u64,
        ended_ms: None,
        counts: ItemCounts {
            total: file.lines,
            ..ItemCounts::default()
        },
        nonce: util::nonce(),
    };
    let text = serde_json::to_string(&record).unwrap_or_default();
    let settled = node.platform.commit(
        &job_key(&record.id),
        0,
        &text,
        clock::now() + COMMIT_TIMEOUT,
    );
    match settled {
        CommitOutcome::Won(revision) => {
            info!(job = &*record.id, workspace = &*record.workspace; "job accepted");
            push_job(node, revision, &record);
            Ok((job_json(&record), false))
        }
        CommitOutcome::Lost(Some(entry)) => {
            let first: JobRecord = serde_json::from_str(&entry.value).map_err(|error| {
                platform_unavailable(&format!("the first job's record: {error}"))
            })?;
            if first.file != record.file || first.endpoint != record.endpoint {
                let detail = "this Idempotency-Key was used for another job";
                return Err(Problem::not_run(RefusalKind::Conflict, detail));
            }
            Ok((job_json(&first), true))
        }
        CommitOutcome::Lost(None) | CommitOutcome::Away => {
            Err(platform_unavailable("the job was not accepted"))
        }
        CommitOutcome::Unknown => {
            let detail = "it is not known whether the job was accepted; send it again";
            Err(Problem {
                not_run: false,
                ..platform_unavailable(detail)
            })
        }
    }
}

/// Passes a job to this VM's batch process at once; other VMs learn of it from their watches.
fn push_job(node: &Node, revision: u64, record: &JobRecord) {
    let mut state = lock(&node.state);
    state.jobs.insert_newer(revision, record.clone());
    node.push_jobs(&state);
}

/// A job as the API shows it.
pub fn job_json(record: &JobRecord) -> Value {
    let state: &'static str = record.state.into();
    let ended_s = record.ended_ms.map(|at| at / 1000);
    let at = |wanted: JobState| ended_s.filter(|_| record.state == wanted);
    json!({
        "id": record.id,
        "object": "batch",
        "endpoint": record.endpoint,
        "input_file_id": record.file,
        "status": state,
        "created_at": record.created_ms / 1000,
        "expires_at": record.deadline_ms / 1000,
        "completed_at": at(JobState::Completed),
        "cancelled_at": at(JobState::Cancelled),
        "expired_at": at(JobState::Expired),
        "request_counts": record.counts,
        "output_file_id": record.state.ended().then(|| format!("out-{}", record.id)),
        "error_file_id": record.state.ended().then(|| format!("err-{}", record.id)),
    })
}

fn list(node: &Node, caller: &CallerContext) -> Answer {
    let entries = node
        .platform
        .list("live/job/")
        .map_err(|error| platform_unavailable(&error.to_string()))?;
    let records = entries
        .iter()
        .filter_map(|entry| serde_json::from_str::<JobRecord>(&entry.value).ok());
    let visible = records.filter(|record| record.workspace == caller.workspace);
    let rows: Vec<Value> = visible.map(|record| job_json(&record)).collect();
    Ok((
        json!({ "object": "list", "data": rows, "has_more": false }),
        false,
    ))
}

fn show(node: &Node, caller: &CallerContext, job: &str) -> Answer {
    let (_, mut record) = read_job(node, caller, job)?;
    if !record.state.ended() {
        // Adds what the chunks have committed so far.
        for chunk in read_chunks(node, job)? {
            record.counts.completed += chunk.counts.completed;
            record.counts.failed += chunk.counts.failed;
        }
    }
    Ok((job_json(&record), false))
}

fn cancel(node: &Node, caller: &CallerContext, job: &str) -> Answer {
    let until = clock::now() + COMMIT_TIMEOUT;
    for _ in 0..CANCEL_ATTEMPTS_MAX {
        let (revision, record) = read_job(node, caller, job)?;
        let Some(cancelled) = record.cancel(util::nonce()) else {
            if record.state == JobState::Cancelling || record.state == JobState::Cancelled {
                return Ok((job_json(&record), true));
            }
            let detail = "the job has ended";
            return Err(Problem {
                not_run: false,
                ..Problem::not_run(RefusalKind::Conflict, detail)
            });
        };
        let text = serde_json::to_string(&cancelled).unwrap_or_default();
        match node.platform.commit(&job_key(job), revision, &text, until) {
            CommitOutcome::Won(revision) => {
                info!(job = job, workspace = &*caller.workspace; "job cancelled");
                push_job(node, revision, &cancelled);
                return Ok((job_json(&cancelled), false));
            }
            // The job ended or was cancelled in the meantime: read it again.
            CommitOutcome::Lost(_) => {}
            CommitOutcome::Away => return Err(platform_unavailable("the job was not cancelled")),
            CommitOutcome::Unknown => {
                let detail = "it is not known whether the job was cancelled; ask again";
                return Err(Problem {
                    not_run: false,
                    ..platform_unavailable(detail)
                });
            }
        }
    }
    Err(Problem {
        not_run: false,
        ..platform_unavailable("the job changes too fast; ask again")
    })
}
