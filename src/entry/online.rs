//! Online requests of model services. Admission, routing and retries are decided in
//! `decide::online`; this module carries the decisions out, with one thread per request.

use std::io;
use std::sync::mpsc::Receiver;
use std::time::Duration;

use log::info;
use serde::Deserialize;
use serde_json::json;

use super::node::{Asker, Errand, Node};
use crate::clock;
use crate::config::Service;
use crate::decide::online::{Action, Arrival, AttemptOutcome, Event};
use crate::decide::retry::{AttemptStage, TRIES_MAX};
use crate::engine::{self, Answer, Call, Events, Fault, Started};
use crate::http::problem::{Problem, RefusalKind};
use crate::http::server::{Head, Responder};
use crate::http::Request;
use crate::id::{self, EndpointId, Name, RequestId};
use crate::settings::ms;

/// Bytes of the first message (or of the prompt) that are hashed to find requests with the same
/// prefix.
const PREFIX_BYTES: usize = 1024;
/// Times that a broken stream is resumed from its last event before the request fails.
const RESUMES: u32 = 2;
/// Time past its deadline after which a request is refused here, even if no decision has arrived.
const GRACE: Duration = Duration::from_millis(500);
const RETRY_SOON: Duration = Duration::from_secs(1);

/// The fields of a request body that the entry process reads.
#[derive(Deserialize)]
struct Asked<'a> {
    #[serde(borrow)]
    model: std::borrow::Cow<'a, str>,
    #[serde(default)]
    stream: bool,
    #[serde(borrow, default)]
    messages: Option<Vec<&'a serde_json::value::RawValue>>,
    #[serde(borrow, default)]
    prompt: Option<&'a serde_json::value::RawValue>,
}

impl Asked<'_> {
    /// Hash of the prompt's beginning, equal for requests that share a cached prefix; 0 for none.
    fn prefix(&self) -> u64 {
        let first = self
            .messages
            .as_ref()
            .and_then(|messages| messages.first().copied());
        let Some(text) = first.or(self.prompt).map(|raw| raw.get()) else {
            return 0;
        };
        let cut = text.len().min(PREFIX_BYTES);
        id::of(&String::from_utf8_lossy(&text.as_bytes()[..cut])) | 1
    }
}

/// An online request between its arrival and its final answer.
pub struct Ticket<'a> {
    pub node: &'a Node,
    pub asker: &'a Asker,
    pub request: RequestId,
    pub name: String,
    pub deadline: Duration,
    pub arrived_at: Duration,
    actions: Receiver<Action>,
}

/// The next step of a request.
pub enum Next {
    Send {
        endpoint: EndpointId,
        address: Name,
        attempt: String,
    },
    Refuse(Problem),
}

impl<'a> Ticket<'a> {
    /// Submits a request for admission.
    pub fn open(
        node: &'a Node,
        asker: &'a Asker,
        request: &Request,
        service: &Service,
        prefix: u64,
        idempotent: bool,
    ) -> Ticket<'a> {
        let now = clock::now();
        let asked_ms = request
            .header("X-Deadline-Ms")
            .and_then(|value| value.parse().ok());
        let deadline = now + ms(asked_ms.unwrap_or(service.deadline_ms).min(86_400_000));
        let (number, actions) = node.register();
        let name = format!("{}-{number:x}-{:x}", node.settings.name, clock::unix_ms());
        node.online(Event::Arrived(Arrival {
            request: number,
            workspace: id::of(&asker.workspace),
            priority: 0,
            service: id::of(&service.name),
            prefix,
            deadline,
            idempotent,
            resumable: false,
            attempts_max: TRIES_MAX,
        }));
        Ticket {
            node,
            asker,
            request: number,
            name,
            deadline,
            arrived_at: now,
            actions,
        }
    }

    /// Blocks until the next step is decided, at most until shortly after the deadline.
    pub fn next(&self) -> Next {
        let patience = self.left() + GRACE;
        match self.actions.recv_timeout(patience) {
            Ok(Action::Send {
                endpoint, attempt, ..
            }) => {
                match self.asker.plan.address(endpoint) {
                    Some(address) => Next::Send {
                        endpoint,
                        address: address.clone(),
                        attempt: format!("{}-{attempt}", self.name),
                    },
                    // The configuration changed after admission.
                    None => Next::Refuse(
                        Problem::not_run(RefusalKind::NoEndpoint, "gone").after(RETRY_SOON),
                    ),
                }
            }
            // The engine client gives the attempt up by its own timeouts.
            Ok(Action::GiveUp { .. }) => self.next(),
            Ok(Action::Refuse {
                kind,
                not_run,
                retry_after,
                ..
            }) => {
                let detail = format!("request {}", self.name);
                Next::Refuse(Problem {
                    kind,
                    detail,
                    not_run,
                    retry_after,
                })
            }
            Err(_) => {
                let detail = format!("request {}", self.name);
                Next::Refuse(Problem::maybe_run(RefusalKind::DeadlinePassed, detail))
            }
        }
    }

    /// Time until the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_sub(clock::now())
    }

    /// Reports how an attempt ended.
    pub fn ended(&self, outcome: AttemptOutcome) {
        self.node.online(Event::Ended {
            request: self.request,
            outcome,
        });
    }

    /// Reports a failed attempt.
    pub fn failed(&self, fault: &Fault) {
        info!(request = self.name.as_str(), workspace = &*self.asker.workspace;
            "try failed: {}", fault.detail);
        self.ended(AttemptOutcome::Failed {
            reach: fault.reach,
            blame: fault.blame,
            ended: false,
        });
    }

    /// Reports the first token and observes the time that it took.
    pub fn first_token(&self) {
        self.node.online(Event::FirstToken {
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
        info!(request = self.name.as_str(), workspace = &*self.asker.workspace;
            "refused: {reason}");
        out.problem(problem)
    }

    fn count(&self, end: &str) {
        self.node.counters.requests.with_label_values(&[end]).inc();
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        // Removes the request from all tables, however its handler returned. A request that has
        // ended already ignores this outcome.
        self.ended(AttemptOutcome::Abandoned);
        self.node.unregister(self.request);
    }
}

/// Lists the models and adapters that requests may name.
pub fn models(asker: &Asker, out: &mut Responder) -> io::Result<()> {
    let state = asker.plan.state();
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
    asker: &Asker,
    request: &Request,
    out: &mut Responder,
) -> io::Result<()> {
    let asked: Asked = match serde_json::from_slice(&request.body) {
        Ok(asked) => asked,
        Err(error) => {
            return out.problem(&Problem::not_run(
                RefusalKind::BadRequest,
                format!("body: {error}"),
            ));
        }
    };
    let Some(service) = asker.plan.state().service_of_model(&asked.model) else {
        let detail = format!(
            "model {:?}; GET /v1/models lists what there is",
            asked.model
        );
        return out.problem(&Problem::not_run(RefusalKind::NotFound, detail));
    };
    let ticket = Ticket::open(node, asker, request, service, asked.prefix(), true);
    loop {
        match ticket.next() {
            Next::Refuse(problem) => return ticket.refuse(&problem, out),
            Next::Send {
                address, attempt, ..
            } => {
                // Half of the time that is left, so that another endpoint can still be tried after
                // one that accepts the request and never answers.
                let timeout = if asked.stream {
                    ticket.left()
                } else {
                    ticket.left() / 2
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
                let ended = match asked.stream {
                    true => try_stream(&ticket, call, out)?,
                    false => try_whole(&ticket, call, out)?,
                };
                if ended {
                    return Ok(());
                }
            }
        }
    }
}

/// Runs one attempt without streaming; returns true if the caller has received its final answer.
fn try_whole(ticket: &Ticket<'_>, call: Call<'_>, out: &mut Responder) -> io::Result<bool> {
    match ticket.node.engines.call(call, true) {
        Ok(answer) => {
            ticket.ended(AttemptOutcome::Done);
            ticket.count("answered");
            send_whole(ticket, &answer, out)?;
            Ok(true)
        }
        Err(fault) => {
            ticket.failed(&fault);
            Ok(false)
        }
    }
}

fn send_whole(ticket: &Ticket<'_>, answer: &Answer, out: &mut Responder) -> io::Result<()> {
    let head = Head::new(answer.status, &answer.content_type).with("X-Request-Id", &ticket.name);
    out.full(&head, &answer.body)
}

/// Runs one streaming attempt; returns true if the caller has received its final answer.
fn try_stream(ticket: &Ticket<'_>, call: Call<'_>, out: &mut Responder) -> io::Result<bool> {
    let mut events = match ticket.node.engines.stream(call) {
        Ok(Started::Stream(events)) => events,
        Ok(Started::Whole(answer)) => {
            ticket.ended(AttemptOutcome::Done);
            ticket.count("answered");
            send_whole(ticket, &answer, out)?;
            return Ok(true);
        }
        Err(fault) => {
            ticket.failed(&fault);
            return Ok(false);
        }
    };
    let mut sent = 0;
    let mut resumes = 0;
    loop {
        let fault = match forward(ticket, &mut events, &mut sent, out) {
            Forwarded::Done => {
                ticket.ended(AttemptOutcome::Done);
                ticket.count("answered");
                return out.end().map(|()| true);
            }
            Forwarded::CallerGone(error) => {
                give_up(ticket, call);
                ticket.count("abandoned");
                return Err(error);
            }
            Forwarded::Broken(fault) => fault,
        };
        resumes += 1;
        if fault.died && resumes <= RESUMES {
            let left = ticket.left();
            let engines = &ticket.node.engines;
            match engines.resume(call.address, call.attempt, sent, left) {
                Ok(Started::Stream(resumed)) => {
                    events = resumed;
                    continue;
                }
                Ok(Started::Whole(_)) | Err(_) => {}
            }
        }
        if sent == 0 {
            ticket.failed(&fault);
            return Ok(false);
        }
        ticket.failed(&Fault {
            reach: AttemptStage::Answering,
            ..fault.clone()
        });
        ticket.count("broken");
        return break_off(&fault, out).map(|()| true);
    }
}

enum Forwarded {
    Done,
    Broken(Fault),
    CallerGone(io::Error),
}

fn forward(
    ticket: &Ticket<'_>,
    events: &mut Events,
    sent: &mut u64,
    out: &mut Responder,
) -> Forwarded {
    loop {
        match events.read() {
            Err(fault) => return Forwarded::Broken(fault),
            Ok(engine::Event::Done) => {
                return match start(ticket, *sent, out).and_then(|()| out.chunk(DONE)) {
                    Ok(()) => Forwarded::Done,
                    Err(error) => Forwarded::CallerGone(error),
                };
            }
            Ok(engine::Event::Data(data)) => {
                let written = start(ticket, *sent, out).and_then(|()| out.chunk(&data));
                if let Err(error) = written {
                    return Forwarded::CallerGone(error);
                }
                ticket.node.counters.tokens.inc();
                *sent += 1;
            }
        }
    }
}

const DONE: &[u8] = b"data: [DONE]\n\n";

fn start(ticket: &Ticket<'_>, sent: u64, out: &mut Responder) -> io::Result<()> {
    if sent > 0 || out.started() {
        return Ok(());
    }
    ticket.first_token();
    out.start(
        &Head::new(200, "text/event-stream")
            .with("Cache-Control", "no-cache")
            .with("X-Request-Id", &ticket.name),
    )
}

fn give_up(ticket: &Ticket<'_>, call: Call<'_>) {
    ticket.ended(AttemptOutcome::Abandoned);
    let _ = ticket.node.errands.send(Errand::Cancel {
        address: call.address.into(),
        attempt: call.attempt.to_owned(),
    });
}

/// Ends an incomplete stream so that no caller takes it for complete: sends an error event, and
/// neither the end marker nor the last chunk of the chunked body.
fn break_off(fault: &Fault, out: &mut Responder) -> io::Result<()> {
    let name: &'static str = RefusalKind::EndpointFailed.into();
    let error = json!({ "error": { "type": name, "message": fault.detail } });
    out.chunk(format!("event: error\ndata: {error}\n\n").as_bytes())
}
