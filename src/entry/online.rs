//! Online requests of model services. Admission, routing and retries are decided in
//! `decide::online`; this module carries the decisions out, with one thread per request.

use std::io;
use std::sync::mpsc::Receiver;
use std::time::Duration;

use log::info;
use serde::Deserialize;
use serde_json::json;

use super::node::{BackgroundTask, CallerContext, Node};
use crate::clock;
use crate::config::Service;
use crate::decide::online::{Action, Arrival, AttemptOutcome, Event};
use crate::decide::retry::{AttemptStage, ATTEMPTS_MAX_DEFAULT};
use crate::engine::{self, Answer, AttemptError, Call, Events, StreamResponse};
use crate::http::problem::{Problem, RefusalKind};
use crate::http::server::{Head, Responder};
use crate::http::Request;
use crate::id::{self, EndpointId, Name, RequestId};
use crate::settings::ms;

/// Bytes of the first message (or of the prompt) that are hashed to find requests with the same
/// prefix.
const PREFIX_BYTES_MAX: usize = 1024;
/// Times that a broken stream is resumed from its last event before the request fails.
const RESUMES_MAX: u32 = 2;
/// Time past its deadline after which a request is refused here, even if no decision has arrived.
const DECISION_MARGIN: Duration = Duration::from_millis(500);
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The fields of a request body that the entry process reads.
#[derive(Deserialize)]
struct RequestBody<'a> {
    #[serde(borrow)]
    model: std::borrow::Cow<'a, str>,
    #[serde(default)]
    stream: bool,
    #[serde(borrow, default)]
    messages: Option<Vec<&'a serde_json::value::RawValue>>,
    #[serde(borrow, default)]
    prompt: Option<&'a serde_json::value::RawValue>,
}

impl RequestBody<'_> {
    /// Hash of the prompt's beginning, equal for requests that share a cached prefix; 0 for none.
    fn prefix(&self) -> u64 {
        let first = self
            .messages
            .as_ref()
            .and_then(|messages| messages.first().copied());
        let Some(text) = first.or(self.prompt).map(|raw| raw.get()) else {
            return 0;
        };
        let cut = text.len().min(PREFIX_BYTES_MAX);
        id::of(&String::from_utf8_lossy(&text.as_bytes()[..cut])) | 1
    }
}

/// An online request between its arrival and its final answer.
pub struct OnlineRequest<'a> {
    pub node: &'a Node,
    pub caller: &'a CallerContext,
    pub request: RequestId,
    pub name: String,
    pub deadline: Duration,
    pub arrived_at: Duration,
    actions: Receiver<Action>,
}

/// The next step of a request.
pub enum NextStep {
    Send {
        endpoint: EndpointId,
        address: Name,
        attempt: String,
    },
    Refuse(Problem),
}

impl<'a> OnlineRequest<'a> {
    /// Submits a request for admission.
    pub fn submit(
        node: &'a Node,
        caller: &'a CallerContext,
        request: &Request,
        service: &Service,
        prefix: u64,
        idempotent: bool,
    ) -> OnlineRequest<'a> {
        let now = clock::now();
        let asked_ms = request
            .header("X-Deadline-Ms")
            .and_then(|value| value.parse().ok());
        let deadline = now + ms(asked_ms.unwrap_or(service.deadline_ms).min(86_400_000));
        let (number, actions) = node.register();
        let name = format!("{}-{number:x}-{:x}", node.settings.name, clock::unix_ms());
        node.handle_online(Event::Arrived(Arrival {
            request: number,
            workspace: id::of(&caller.workspace),
            priority: 0,
            service: id::of(&service.name),
            prefix,
            deadline,
            idempotent,
            resumable: false,
            attempts_max: ATTEMPTS_MAX_DEFAULT,
            software: None,
        }));
        OnlineRequest {
            node,
            caller,
            request: number,
            name,
            deadline,
            arrived_at: now,
            actions,
        }
    }

    /// Blocks until the next step is decided, at most until shortly after the deadline.
    pub fn next_step(&self) -> NextStep {
        let timeout = self.time_left() + DECISION_MARGIN;
        match self.actions.recv_timeout(timeout) {
            Ok(Action::Send {
                endpoint, attempt, ..
            }) => {
                match self.caller.config.address(endpoint) {
                    Some(address) => NextStep::Send {
                        endpoint,
                        address: address.clone(),
                        attempt: format!("{}-{attempt}", self.name),
                    },
                    // The configuration changed after admission.
                    None => NextStep::Refuse(
                        Problem::not_run(RefusalKind::NoEndpoint, "gone")
                            .with_retry_after(RETRY_AFTER),
                    ),
                }
            }
            // The engine client gives the attempt up by its own timeouts.
            Ok(Action::GiveUp { .. }) => self.next_step(),
            Ok(Action::Refuse {
                kind,
                not_run,
                retry_after,
                ..
            }) => {
                let detail = format!("request {}", self.name);
                NextStep::Refuse(Problem {
                    kind,
                    detail,
                    not_run,
                    retry_after,
                })
            }
            Err(_) => {
                let detail = format!("request {}", self.name);
                NextStep::Refuse(Problem::maybe_run(RefusalKind::DeadlinePassed, detail))
            }
        }
    }

    /// Time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(clock::now())
    }

    /// Reports how an attempt ended.
    pub fn report_outcome(&self, outcome: AttemptOutcome) {
        self.node.handle_online(Event::Ended {
            request: self.request,
            outcome,
        });
    }

    /// Reports a failed attempt.
    pub fn report_failure(&self, fault: &AttemptError) {
        info!(request = self.name.as_str(), workspace = &*self.caller.workspace;
            "try failed: {}", fault.detail);
        self.report_outcome(AttemptOutcome::Failed {
            stage: fault.stage,
            endpoint_fault: fault.blame,
            endpoint_ended: false,
        });
    }

    /// Reports the first token and observes the time that it took.
    pub fn report_first_token(&self) {
        self.node.handle_online(Event::FirstToken {
            request: self.request,
        });
        let waited = clock::now().saturating_sub(self.arrived_at);
        self.node.counters.first_token.observe(waited.as_secs_f64());
    }

    /// Sends a refusal to the caller.
    pub fn refuse(&self, problem: &Problem, out: &mut Responder) -> io::Result<()> {
        let reason: &'static str = problem.kind.into();
        self.node
            .counters
            .refusals
            .with_label_values(&[reason])
            .inc();
        info!(request = self.name.as_str(), workspace = &*self.caller.workspace;
            "refused: {reason}");
        out.problem(problem)
    }

    fn count_outcome(&self, end: &str) {
        self.node.counters.requests.with_label_values(&[end]).inc();
    }
}

impl Drop for OnlineRequest<'_> {
    fn drop(&mut self) {
        // Removes the request from all tables, however its handler returned. A request that has
        // ended already ignores this outcome.
        self.report_outcome(AttemptOutcome::Abandoned);
        self.node.unregister(self.request);
    }
}

/// Lists the models and adapters that requests may name.
pub fn models(caller: &CallerContext, out: &mut Responder) -> io::Result<()> {
    let state = caller.config.state();
    let models = state
        .services
        .iter()
        .flat_map(|service| service.models.iter());
    let adapters = state.adapters.iter().map(|adapter| &adapter.name);
    let rows: Vec<_> = models
        .chain(adapters)
        .map(|name| json!({ "id": name, "object": "model" }))
        .collect();
    out.json(200, &json!({ "object": "list", "data": rows }))
}

/// Handles a chat or text completion.
pub fn handle(
    node: &Node,
    caller: &CallerContext,
    request: &Request,
    out: &mut Responder,
) -> io::Result<()> {
    let body: RequestBody = match serde_json::from_slice(&request.body) {
        Ok(body) => body,
        Err(error) => {
            return out.problem(&Problem::not_run(
                RefusalKind::BadRequest,
                format!("body: {error}"),
            ));
        }
    };
    let Some(service) = caller.config.state().service_of_model(&body.model) else {
        let detail = format!("model {:?}; GET /v1/models lists what there is", body.model);
        return out.problem(&Problem::not_run(RefusalKind::NotFound, detail));
    };
    let online_request = OnlineRequest::submit(node, caller, request, service, body.prefix(), true);
    loop {
        match online_request.next_step() {
            NextStep::Refuse(problem) => return online_request.refuse(&problem, out),
            NextStep::Send {
                address, attempt, ..
            } => {
                // Half of the time that is left, so that another endpoint can still be tried after
                // one that accepts the request and never answers.
                let timeout = if body.stream {
                    online_request.time_left()
                } else {
                    online_request.time_left() / 2
                };
                let call = Call {
                    address: &address,
                    method: "POST",
                    path: request.path(),
                    content_type: "application/json",
                    attempt: &attempt,
                    key: None,
                    body: &request.body,
                    timeout,
                };
                let ended = match body.stream {
                    true => run_stream_attempt(&online_request, call, out)?,
                    false => run_whole_attempt(&online_request, call, out)?,
                };
                if ended {
                    return Ok(());
                }
            }
        }
    }
}

/// Runs one attempt without streaming; returns true if the caller has received its final answer.
fn run_whole_attempt(
    online_request: &OnlineRequest<'_>,
    call: Call<'_>,
    out: &mut Responder,
) -> io::Result<bool> {
    match online_request.node.engines.call(call, true) {
        Ok(answer) => {
            online_request.report_outcome(AttemptOutcome::Done);
            online_request.count_outcome("answered");
            send_answer(online_request, &answer, out)?;
            Ok(true)
        }
        Err(fault) => {
            online_request.report_failure(&fault);
            Ok(false)
        }
    }
}

fn send_answer(
    online_request: &OnlineRequest<'_>,
    answer: &Answer,
    out: &mut Responder,
) -> io::Result<()> {
    let head =
        Head::new(answer.status, &answer.content_type).with("X-Request-Id", &online_request.name);
    out.full(&head, &answer.body)
}

/// Runs one streaming attempt; returns true if the caller has received its final answer.
fn run_stream_attempt(
    online_request: &OnlineRequest<'_>,
    call: Call<'_>,
    out: &mut Responder,
) -> io::Result<bool> {
    let mut events = match online_request.node.engines.stream(call) {
        Ok(StreamResponse::Stream(events)) => events,
        Ok(StreamResponse::Whole(answer)) => {
            online_request.report_outcome(AttemptOutcome::Done);
            online_request.count_outcome("answered");
            send_answer(online_request, &answer, out)?;
            return Ok(true);
        }
        Err(fault) => {
            online_request.report_failure(&fault);
            return Ok(false);
        }
    };
    let mut sent = 0;
    let mut resumes = 0;
    loop {
        let fault = match forward_events(online_request, &mut events, &mut sent, out) {
            ForwardOutcome::Done => {
                online_request.report_outcome(AttemptOutcome::Done);
                online_request.count_outcome("answered");
                return out.end().map(|()| true);
            }
            ForwardOutcome::CallerGone(error) => {
                cancel_attempt(online_request, call);
                online_request.count_outcome("abandoned");
                return Err(error);
            }
            ForwardOutcome::Broken(fault) => fault,
        };
        resumes += 1;
        if fault.connection_lost && resumes <= RESUMES_MAX {
            let left = online_request.time_left();
            let engines = &online_request.node.engines;
            match engines.resume(call.address, call.attempt, sent, left) {
                Ok(StreamResponse::Stream(resumed)) => {
                    events = resumed;
                    continue;
                }
                Ok(StreamResponse::Whole(_)) | Err(_) => {}
            }
        }
        if sent == 0 {
            online_request.report_failure(&fault);
            return Ok(false);
        }
        online_request.report_failure(&AttemptError {
            stage: AttemptStage::Answering,
            ..fault.clone()
        });
        online_request.count_outcome("broken");
        return end_incomplete_stream(&fault, out).map(|()| true);
    }
}

enum ForwardOutcome {
    Done,
    Broken(AttemptError),
    CallerGone(io::Error),
}

fn forward_events(
    online_request: &OnlineRequest<'_>,
    events: &mut Events,
    sent: &mut u64,
    out: &mut Responder,
) -> ForwardOutcome {
    loop {
        match events.read() {
            Err(fault) => return ForwardOutcome::Broken(fault),
            Ok(engine::Event::Done) => {
                return match start_stream(online_request, *sent, out)
                    .and_then(|()| out.chunk(DONE_EVENT))
                {
                    Ok(()) => ForwardOutcome::Done,
                    Err(error) => ForwardOutcome::CallerGone(error),
                };
            }
            Ok(engine::Event::Data(data)) => {
                let written =
                    start_stream(online_request, *sent, out).and_then(|()| out.chunk(&data));
                if let Err(error) = written {
                    return ForwardOutcome::CallerGone(error);
                }
                online_request.node.counters.tokens.inc();
                *sent += 1;
            }
        }
    }
}

const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

fn start_stream(
    online_request: &OnlineRequest<'_>,
    sent: u64,
    out: &mut Responder,
) -> io::Result<()> {
    if sent > 0 || out.started() {
        return Ok(());
    }
    online_request.report_first_token();
    out.start(
        &Head::new(200, "text/event-stream")
            .with("Cache-Control", "no-cache")
            .with("X-Request-Id", &online_request.name),
    )
}

fn cancel_attempt(online_request: &OnlineRequest<'_>, call: Call<'_>) {
    online_request.report_outcome(AttemptOutcome::Abandoned);
    let _ = online_request.node.tasks.send(BackgroundTask::Cancel {
        address: call.address.into(),
        attempt: call.attempt.to_owned(),
    });
}

/// Ends an incomplete stream so that no caller takes it for complete: sends an error event, and
/// neither the end marker nor the last chunk of the chunked body.
fn end_incomplete_stream(fault: &AttemptError, out: &mut Responder) -> io::Result<()> {
    let name: &'static str = RefusalKind::EndpointFailed.into();
    let error = json!({ "error": { "type": name, "message": fault.detail } });
    out.chunk(format!("event: error\ndata: {error}\n\n").as_bytes())
}
