//! Plain (non-model) services: `ANY /svc/{service}/{path}`.

use std::io;

use super::intent;
use super::node::{CallerContext, Node};
use super::online::{NextStep, OnlineRequest};
use crate::config::{Service, ServiceKind};
use crate::decide::intents::{
    IntentRecord, IntentRequest, IntentVerdict, RecordedAnswer, ANSWER_BYTES_MAX,
};
use crate::decide::online::AttemptOutcome;
use crate::decide::retry::AttemptStage;
use crate::engine::{Answer, AttemptError, Call};
use crate::http::problem::{Problem, RefusalKind};
use crate::http::server::{Head, Responder};
use crate::http::Request;
use crate::id;
use std::time::Duration;

const RETRY_AFTER: Duration = Duration::from_secs(1);
const KEY_BYTES_MAX: usize = 256;

/// Handles a call of a plain service.
pub fn handle(
    node: &Node,
    caller: &CallerContext,
    request: &Request,
    out: &mut Responder,
) -> io::Result<()> {
    let rest = request.target.strip_prefix("/svc/").unwrap_or_default();
    let name = rest.split(['/', '?']).next().unwrap_or_default();
    let service = caller
        .config
        .state()
        .service(name)
        .filter(|s| s.kind == ServiceKind::Plain);
    let Some(service) = service else {
        let detail = format!("plain service {name:?}");
        return out.problem(&Problem::not_run(RefusalKind::NotFound, detail));
    };
    let path = match &rest[name.len()..] {
        "" => "/",
        path => path,
    };
    let key = request.header("Idempotency-Key");
    if key.is_some_and(|key| key.is_empty() || key.len() > KEY_BYTES_MAX) {
        let detail = format!("Idempotency-Key of 1 to {KEY_BYTES_MAX} bytes");
        return out.problem(&Problem::not_run(RefusalKind::BadRequest, detail));
    }
    let call = PlainCall {
        node,
        caller,
        request,
        service,
        path,
    };
    match key.filter(|_| !service.idempotent) {
        Some(key) => call.at_most_once(key, out),
        None => call.run_repeatable(None, out),
    }
}

struct PlainCall<'a> {
    node: &'a Node,
    caller: &'a CallerContext,
    request: &'a Request,
    service: &'a Service,
    path: &'a str,
}

/// How a call with an idempotency key ended, as the intent log records it.
enum CallOutcome {
    Answered(Answer),
    /// No endpoint received a byte of it.
    NotRun(Problem),
    Unknown(Problem),
}

impl PlainCall<'_> {
    /// Runs a call that must not be repeated. The intent log records that it has begun before its
    /// first byte is sent, so that a VM that receives the same call again knows that it may have
    /// run.
    fn at_most_once(&self, key: &str, out: &mut Responder) -> io::Result<()> {
        let scope = format!("{}\n{}\n{key}", self.caller.workspace, self.service.name);
        let intent = id::digest(scope.as_bytes());
        let content = self.content_digest();
        match intent::ask(self.node, intent.clone(), IntentRequest::Begin { content }) {
            IntentVerdict::Go => {}
            IntentVerdict::Replay(recorded) => return replay_answer(&recorded, out),
            IntentVerdict::Begun => {
                let detail = "a request with this key was begun; its outcome is not recorded";
                let problem = Problem::maybe_run(RefusalKind::OutcomeUnknown, detail)
                    .with_retry_after(RETRY_AFTER);
                return self.refuse(&problem, out);
            }
            IntentVerdict::Mismatch => {
                let detail = "this Idempotency-Key was used for another request";
                return self.refuse(&Problem::not_run(RefusalKind::Conflict, detail), out);
            }
            IntentVerdict::Away => {
                let detail = "it can't be recorded that this request was begun";
                let problem = Problem::not_run(RefusalKind::PlatformAway, detail)
                    .with_retry_after(RETRY_AFTER);
                return self.refuse(&problem, out);
            }
        }
        let outcome = self.run_attempts(Some(key));
        let record = match &outcome {
            CallOutcome::Answered(answer) => Some(IntentRecord::Answered(recorded_answer(answer))),
            CallOutcome::NotRun(_) => Some(IntentRecord::Released),
            CallOutcome::Unknown(_) => None,
        };
        if let Some(record) = record {
            // After a refusal that says "not run" the caller may retry with the same key, which
            // must be released by then.
            intent::ask(self.node, intent, IntentRequest::End(record));
        }
        self.send(outcome, out)
    }

    fn run_repeatable(&self, key: Option<&str>, out: &mut Responder) -> io::Result<()> {
        let outcome = self.run_attempts(key);
        self.send(outcome, out)
    }

    fn content_digest(&self) -> String {
        let head = format!("{}\n{}\n", self.request.method, self.path);
        id::digest(&[head.as_bytes(), &self.request.body].concat())
    }

    fn run_attempts(&self, key: Option<&str>) -> CallOutcome {
        let idempotent = self.service.idempotent;
        let online_request = OnlineRequest::submit(
            self.node,
            self.caller,
            self.request,
            self.service,
            0,
            idempotent,
        );
        loop {
            let (address, attempt) = match online_request.next_step() {
                NextStep::Refuse(problem) if problem.not_run => {
                    return CallOutcome::NotRun(problem)
                }
                NextStep::Refuse(problem) => return CallOutcome::Unknown(problem),
                NextStep::Send {
                    address, attempt, ..
                } => (address, attempt),
            };
            let call = Call {
                address: &address,
                method: &self.request.method,
                path: self.path,
                content_type: self
                    .request
                    .header("Content-Type")
                    .unwrap_or("application/json"),
                attempt: &attempt,
                key,
                body: &self.request.body,
                timeout: online_request.time_left(),
            };
            match self.node.engines.call(call, idempotent) {
                Ok(answer) => {
                    online_request.report_outcome(AttemptOutcome::Done);
                    return CallOutcome::Answered(answer);
                }
                Err(fault) => online_request.report_failure(&self.classify_fault(fault)),
            }
        }
    }

    /// A plain service that answers 503 may have done part of the work. Unlike an engine's refusal,
    /// it does not show that a call which must not be repeated has not run.
    fn classify_fault(&self, fault: AttemptError) -> AttemptError {
        match fault.stage {
            AttemptStage::Refused if !self.service.idempotent => AttemptError {
                stage: AttemptStage::MaybeSent,
                ..fault
            },
            _ => fault,
        }
    }

    fn send(&self, outcome: CallOutcome, out: &mut Responder) -> io::Result<()> {
        match outcome {
            CallOutcome::Answered(answer) => {
                self.node
                    .counters
                    .requests
                    .with_label_values(&["answered"])
                    .inc();
                out.full(
                    &Head::new(answer.status, &answer.content_type),
                    &answer.body,
                )
            }
            CallOutcome::NotRun(problem) | CallOutcome::Unknown(problem) => {
                self.refuse(&problem, out)
            }
        }
    }

    fn refuse(&self, problem: &Problem, out: &mut Responder) -> io::Result<()> {
        let reason: &'static str = problem.kind.into();
        self.node
            .counters
            .refusals
            .with_label_values(&[reason])
            .inc();
        out.problem(problem)
    }
}

fn recorded_answer(answer: &Answer) -> RecordedAnswer {
    let text = std::str::from_utf8(&answer.body)
        .ok()
        .filter(|text| text.len() <= ANSWER_BYTES_MAX);
    RecordedAnswer {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: text.map(str::to_owned),
    }
}

fn replay_answer(recorded: &RecordedAnswer, out: &mut Responder) -> io::Result<()> {
    let Some(body) = &recorded.body else {
        let detail = format!(
            "it ran, with status {}; its answer was not kept",
            recorded.status
        );
        return out.problem(&Problem::maybe_run(RefusalKind::Conflict, detail));
    };
    let head =
        Head::new(recorded.status, &recorded.content_type).with("Idempotent-Replayed", "true");
    out.full(&head, body.as_bytes())
}
