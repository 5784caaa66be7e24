//! Online requests: carries out what the deciding functions say, one thread a request.

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

/// Bytes of the first message that count as the prompt's prefix.
const PREFIX_BYTES: usize = 1024;
const RESUMES: u32 = 2;
/// Past its deadline a request gets an answer even if the deciding side were stuck.
const GRACE: Duration = Duration::from_millis(500);
const RETRY_SOON: Duration = Duration::from_secs(1);

/// The parts of a body that the entry process looks at.
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
    /// Hash of what requests with the same beginning share.
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

/// One request on its way.
pub struct Ticket<'a> {
    pub node: &'a Node,
    pub asker: &'a Asker,
    pub request: RequestId,
    pub name: String,
    pub deadline: Duration,
    pub arrived_at: Duration,
    actions: Receiver<Action>,
}

/// What to do next for a request.
pub enum Next {
    Send {
        endpoint: EndpointId,
        address: Name,
        attempt: String,
    },
    Refuse(Problem),
}

impl<'a> Ticket<'a> {
    /// Asks for admission.
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

    /// Waits for the next action.
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
                    // The configuration changed between admission and now.
                    None => Next::Refuse(
                        Problem::not_run(RefusalKind::NoEndpoint, "gone").after(RETRY_SOON),
                    ),
                }
            }
            // Its engine client has timeouts of its own.
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

    /// Time to the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_sub(clock::now())
    }

    /// Tells how a try ended.
    pub fn ended(&self, outcome: AttemptOutcome) {
        self.node.online(Event::Ended {
            request: self.request,
            outcome,
        });
    }

    /// Tells of a fault.
    pub fn failed(&self, fault: &Fault) {
        info!(request = self.name.as_str(), workspace = &*self.asker.workspace;
            "try failed: {}", fault.detail);
        self.ended(AttemptOutcome::Failed {
            reach: fault.reach,
            blame: fault.blame,
            ended: false,
        });
    }

    /// Tells that the first token came.
    pub fn first_token(&self) {
        self.node.online(Event::FirstToken {
            request: self.request,
        });
        let waited = clock::now().saturating_sub(self.arrived_at);
        self.node.counters.first_token.observe(waited.as_secs_f64());
    }

    /// Sends a refusal.
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
        // Whatever way the handler left, nothing stays in the tables. After an end this is no news.
        self.ended(AttemptOutcome::Abandoned);
        self.node.unregister(self.request);
    }
}

/// Lists the models that callers may name.
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

/// Answers a chat or a completion.
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
                // An endpoint that takes a request and never answers must leave time for another.
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

/// One try of a whole answer; true when the caller has its final answer.
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

/// One try of a stream; true when the caller has its final answer.
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

/// Ends a stream that can't be completed so that no caller takes it for whole: an error event, no
/// end marker, and a chunked body without its last chunk.
fn break_off(fault: &Fault, out: &mut Responder) -> io::Result<()> {
    let name: &'static str = RefusalKind::EndpointFailed.into();
    let error = json!({ "error": { "type": name, "message": fault.detail } });
    out.chunk(format!("event: error\ndata: {error}\n\n").as_bytes())
}
