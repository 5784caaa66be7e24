//! The life cycle of one online request: admission, attempts, relay of the answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, CONTENT_LENGTH, CONTENT_TYPE};
use hyper::http::response;
use hyper::{Response, StatusCode};
use snafu::Snafu;
use tokio::sync::mpsc::{self, Receiver, Sender, UnboundedReceiver};
use tokio::sync::{oneshot, Semaphore};
use tokio::time::{sleep, timeout};

use super::answer_memory::{hold, CollectedAnswer, TakenMemory};
use super::body::{BodyAborted, Chunk, ReplyBody};
use super::dialect::{PromptSegment, RequestParams};
use super::events::{check_next, Event as StreamEvent, EventStream};
use super::exchange::{self, Answer, AnswerEvidence, Failure, Outgoing, SendOptions, Target};
use super::node::{Node, ANONYMOUS_WORKSPACE};
use super::processes;
use super::quarantine;
use super::quotas::{self, CountedRequest};
use super::replies::{self, Reply};
use super::silence;
use super::streams::{self, records::ensure_recorded};
use crate::clock;
use crate::decide::access::{self, Credential};
use crate::decide::discovery::{unknown_software, ConnectedProcess, SoftwareCheck};
use crate::decide::online::{Action, Arrival, AttemptOutcome, Event, SuccessorState};
use crate::decide::quarantine::RunKind;
use crate::decide::refusal::RefusalKind;
use crate::decide::retry::AttemptStage;
use crate::decide::routes::{Route, RouteKind, Share};
use crate::decide::stream_origins::StreamOrigin;
use crate::id::{self, EndpointId, Name, RequestId, ServiceId, WorkspaceId};

/// Chunks that may queue for a slow caller; when the queue is full, reading from the endpoint
/// pauses.
const CHUNKS_QUEUED_MAX: usize = 32;
/// Bytes that may queue for a slow caller, beside one chunk.
const QUEUED_BYTES_MAX: usize = 64 * 1024;
/// Size of a chunk that only counts as one.
const CHUNK_UNCOUNTED_BYTES: usize = 512;
/// Size limit of a plain answer, which is buffered until it is complete.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Serves one request to its end.
///
/// The work runs in a task of its own, which notices that the caller disconnected when the receiver
/// is dropped, then closes the endpoint's connection and returns what admission counted.
pub async fn serve(
    node: Rc<Node>,
    route: &Route,
    params: RequestParams,
    out: Outgoing,
    credential: Credential,
    service: ServiceId,
) -> Reply {
    let now = clock::now();
    if let Err(back_in) = quarantine::check(&node, &out) {
        let reason: &'static str = RefusalKind::Quarantined.into();
        node.counters.refusals.with_label_values(&[reason]).inc();
        log::info!(request = out.id, reason, prompt = out.prompt_label(); "refused on arrival");
        return replies::refusal(RefusalKind::Quarantined, true, Some(back_in));
    }
    let resumable = route.kind == RouteKind::Streaming && route.resumable;
    let origin = match params.last_event {
        Some(1..) if resumable => match resumed_origin(&node, route, &params).await {
            Ok(origin) => Some(origin),
            Err(kind) => {
                let reason: &'static str = kind.into();
                node.counters.refusals.with_label_values(&[reason]).inc();
                return replies::refusal(kind, true, Some(streams::retry_after()));
            }
        },
        _ => None,
    };
    let service = origin.as_ref().map_or(service, |origin| origin.service);
    let (reply_sender, reply_start) = oneshot::channel();
    let (chunk_sender, chunks) = mpsc::channel(CHUNKS_QUEUED_MAX);
    let counted = match quotas::admit(&node, &out) {
        Ok(counted) => counted,
        Err(retry_after) => {
            return replies::refusal(RefusalKind::QuotaUsed, true, Some(retry_after))
        }
    };
    let time_limit = params.timeout.unwrap_or(route.timeout).min(route.timeout);
    let (request, actions) = node.register();
    let task = RequestTask {
        node: node.clone(),
        request,
        actions,
        kind: route.kind,
        resumable,
        service,
        origin_recorded: origin.is_some(),
        kept_for: params
            .timeout
            .unwrap_or_default()
            .max(streams::lifetime(route)),
        last_event: params.last_event,
        attempt_start_event: params.last_event,
        empty_after: None,
        resumes: params.resumes.unwrap_or_default(),
        resumed_after: params.last_event,
        may_have_run: false,
        out: Rc::new(out),
        arrived_at: now,
        deadline: now + time_limit,
        reply_start: Some(reply_sender),
        chunks: chunk_sender,
        queue_room: Arc::new(Semaphore::new(QUEUED_BYTES_MAX)),
        error_answer: None,
        public: route.public,
        credential,
        counted,
        attempts: 0,
        sent_at: None,
        sent_to: String::new(),
        software: unknown_software(),
        connected: None,
        began_on: None,
        stream_software: origin.as_ref().map(|origin| origin.software.clone()),
        first_at: None,
    };
    let arrival = Arrival {
        request,
        workspace: workspace_id(&task.out),
        priority: priority(&node, &task.out, route),
        service,
        prefix: shared_prefix(&params.prompt),
        deadline: now + time_limit,
        idempotent: route.repeatable(),
        resumable: task.resumable,
        attempts_max: route.attempts_max,
        software: origin.map(|origin| origin.software),
    };
    node.handle_event(Event::Arrived(arrival));
    tokio::task::spawn_local(task.run());
    match reply_start.await {
        Ok(ReplyStart::Local(reply)) => reply,
        Ok(ReplyStart::Relayed(parts, whole)) => relayed_reply(parts, whole, chunks),
        // The task ended without a reply, which never happens while the caller waits.
        Err(_) => replies::refusal(RefusalKind::EndpointFailed, false, None),
    }
}

/// The software that began the stream which a caller resumes; else why it can't go on here.
async fn resumed_origin(
    node: &Rc<Node>,
    route: &Route,
    params: &RequestParams,
) -> Result<StreamOrigin, RefusalKind> {
    let resumes = params.resumes.as_deref().unwrap_or_default();
    let (source, origin) = streams::find_origin(node, route, resumes).await;
    let found: &'static str = source.into();
    let counter = &node.counters.streams_resumed;
    counter.with_label_values(&[found]).inc();
    log::info!(
        request = params.id.as_deref().unwrap_or_default(),
        resumes,
        resumed_after = params.last_event.unwrap_or(0),
        origin = found,
        software = origin.as_ref().map_or("", |origin| &*origin.software);
        "stream resumed by its caller"
    );
    let origin = origin.ok_or(RefusalKind::OriginUnknown)?;
    let is_routed = |share: &Share| share.service == origin.service;
    // The configuration may have moved the route to another service since.
    match route.shares.iter().any(is_routed) {
        true => Ok(origin),
        false => Err(RefusalKind::SoftwareGone),
    }
}

/// The workspace id that admission counts by.
fn workspace_id(out: &Outgoing) -> WorkspaceId {
    out.workspace.as_deref().map_or(ANONYMOUS_WORKSPACE, id::of)
}

/// A workspace's priority overrides that of the route.
fn priority(node: &Node, out: &Outgoing, route: &Route) -> u32 {
    let routes = node.routes();
    let workspaces = routes.as_ref().and_then(|table| table.workspaces.as_ref());
    let workspace = workspaces.zip(out.workspace.as_deref());
    let workspace = workspace.and_then(|(workspaces, name)| workspaces.named(name));
    let priority = workspace.and_then(|workspace| workspace.priority);
    priority.unwrap_or(route.priority)
}

/// Key of the prompt prefix that other requests most likely share, or 0. The last segment but one
/// stands for all segments before it, because a segment is cached only after the same preceding
/// segments.
fn shared_prefix(prompt: &[PromptSegment]) -> u64 {
    match prompt {
        [] => 0,
        [only] => only.id,
        [.., shared, _] => shared.id,
    }
}

fn relayed_reply(parts: response::Parts, whole: Option<Bytes>, chunks: Receiver<Chunk>) -> Reply {
    let body = match whole {
        Some(bytes) => ReplyBody::Whole(Some(bytes)),
        None => ReplyBody::Chunks(chunks),
    };
    Response::from_parts(parts, body)
}

/// The start of a reply, which the caller's handler receives.
enum ReplyStart {
    /// A reply of this system.
    Local(Reply),
    /// The head of an endpoint's answer, with the body if it is complete.
    Relayed(response::Parts, Option<Bytes>),
}

/// The outcome of an attempt.
enum AttemptResult {
    Done(AnswerEvidence),
    Failed(Failure),
    CallerLeft,
    DeadlinePassed,
}

/// Why a request ends before an attempt is sent.
enum UnsentEnd {
    CallerLeft,
    Refused(RefusalKind),
}

/// The first of several awaited events.
enum WaitResult<T> {
    Value(T),
    CallerLeft,
    DeadlinePassed,
    /// The scheduler gave up the attempt because the endpoint is silent.
    GivenUp,
}

struct RequestTask {
    node: Rc<Node>,
    request: RequestId,
    actions: UnboundedReceiver<Action>,
    kind: RouteKind,
    resumable: bool,
    service: ServiceId,
    /// It is on record which software made the events that the caller has.
    origin_recorded: bool,
    /// For how long after its first event the caller may come back for the stream.
    kept_for: Duration,
    /// The last event that the caller received.
    last_event: Option<u64>,
    /// The value of `last_event` when the last attempt was sent.
    attempt_start_event: Option<u64>,
    /// The event after which an answer without a length ended without a further one.
    empty_after: Option<u64>,
    /// The caller's earlier attempt that brought the first event, if the caller resumes a stream.
    resumes: String,
    /// The last event of that stream.
    resumed_after: Option<u64>,
    /// Whether any attempt may have run.
    may_have_run: bool,
    out: Rc<Outgoing>,
    arrived_at: Duration,
    deadline: Duration,
    /// `None` once a reply has begun.
    reply_start: Option<oneshot::Sender<ReplyStart>>,
    chunks: Sender<Chunk>,
    /// Room for chunks that the caller has not read.
    queue_room: Arc<Semaphore>,
    /// The route requires no key.
    public: bool,
    /// The caller's credential.
    credential: Credential,
    /// The quota that the request was counted against.
    counted: Option<CountedRequest>,
    /// An error answer of an endpoint, passed on if no other attempt succeeds.
    error_answer: Option<(response::Parts, Bytes)>,
    attempts: u32,
    /// When the last attempt was sent.
    sent_at: Option<Duration>,
    /// The endpoint it was sent to.
    sent_to: String,
    /// Its software version.
    software: Name,
    /// The connection of the last attempt that was answered.
    connected: Option<ConnectedProcess>,
    /// The connection that brought the first event, if the stream began here.
    began_on: Option<ConnectedProcess>,
    /// The software version that began the stream, once it has begun.
    stream_software: Option<Name>,
    /// When the first event, or the complete answer, was available.
    first_at: Option<Duration>,
}

impl Drop for RequestTask {
    fn drop(&mut self) {
        self.node.unregister(self.request);
    }
}

impl RequestTask {
    async fn run(mut self) {
        let node = self.node.clone();
        loop {
            let time_left = self.time_left();
            let next = tokio::select! {
                biased;
                action = self.actions.recv() => WaitResult::Value(action),
                () = self.chunks.closed() => WaitResult::CallerLeft,
                () = sleep(time_left) => WaitResult::DeadlinePassed,
                () = node.quarantine_grew.notified() => match quarantine::check(&node, &self.out) {
                    Ok(()) => continue,
                    Err(back_in) => return self.refuse_quarantined(back_in).await,
                },
            };
            match next {
                WaitResult::Value(Some(Action::Send { endpoint, .. })) => {
                    if self.send(endpoint).await {
                        return;
                    }
                }
                WaitResult::Value(Some(Action::Refuse {
                    kind,
                    not_run,
                    retry_after,
                    ..
                })) => return self.refuse(kind, not_run, retry_after).await,
                WaitResult::Value(Some(Action::GiveUp { .. })) | WaitResult::GivenUp => {}
                WaitResult::Value(None) | WaitResult::CallerLeft => {
                    self.report_end(AttemptOutcome::Abandoned);
                    self.log("caller_left", "waiting");
                    return;
                }
                WaitResult::DeadlinePassed => {
                    self.report_end(AttemptOutcome::Abandoned);
                    let not_run = self.attempts == 0;
                    return self
                        .refuse(RefusalKind::DeadlinePassed, not_run, None)
                        .await;
                }
            }
        }
    }

    /// Makes one attempt; true if the request has ended.
    async fn send(&mut self, endpoint: EndpointId) -> bool {
        if let Err(kind) = self.identify_again() {
            self.report_end(AttemptOutcome::Abandoned);
            self.refuse(kind, true, None).await;
            return true;
        }
        if let Err(back_in) = quarantine::admit(&self.node, &self.out) {
            self.refuse_quarantined(back_in).await;
            return true;
        }
        if let Some(kind) = self.check_origin().await {
            return self.end_unsent(kind).await;
        }
        self.attempts += 1;
        self.attempt_start_event = self.last_event;
        self.sent_at = Some(clock::now());
        self.sent_to = self.endpoint_name(endpoint);
        self.software = self.node.software(endpoint);
        let result = match self.node.target(endpoint) {
            Some(target) => self.attempt(&target).await,
            None => AttemptResult::Failed(Failure::not_of_endpoint(
                AttemptStage::NotSent,
                "the endpoint is gone",
            )),
        };
        match result {
            AttemptResult::Done(evidence) => {
                self.node
                    .counters
                    .attempts
                    .with_label_values(&["done"])
                    .inc();
                self.node
                    .counters
                    .answer_seconds
                    .observe(self.age().as_secs_f64());
                quarantine::request_answered(&self.node, &self.out, endpoint, evidence);
                self.report_end(AttemptOutcome::Done);
                self.log("done", "answered");
                true
            }
            AttemptResult::CallerLeft => {
                self.report_end(AttemptOutcome::Abandoned);
                self.log("caller_left", "answering");
                true
            }
            AttemptResult::DeadlinePassed => {
                self.report_end(AttemptOutcome::Abandoned);
                self.refuse(RefusalKind::DeadlinePassed, false, None).await;
                true
            }
            AttemptResult::Failed(failure) if failure.software_unconfirmed => {
                log::info!(
                    request = self.out.id,
                    endpoint = self.sent_to,
                    software = *self.software,
                    detail = failure.detail;
                    "stream can't go on"
                );
                self.end_unsent(UnsentEnd::Refused(RefusalKind::SoftwareUnconfirmed))
                    .await
            }
            AttemptResult::Failed(failure) => {
                self.failed(endpoint, failure).await;
                false
            }
        }
    }

    /// Checks before another attempt that it is known which software began the stream, if it began
    /// here; else returns how the request ends.
    async fn check_origin(&mut self) -> Option<UnsentEnd> {
        let began_on = self.began_on.clone()?;
        let node = self.node.clone();
        match self.wait(processes::confirm(&node, &began_on)).await {
            WaitResult::Value(SoftwareCheck::Confirmed) => None,
            WaitResult::CallerLeft => Some(UnsentEnd::CallerLeft),
            WaitResult::DeadlinePassed => Some(UnsentEnd::Refused(RefusalKind::DeadlinePassed)),
            WaitResult::Value(_) | WaitResult::GivenUp => {
                Some(UnsentEnd::Refused(RefusalKind::OriginUnknown))
            }
        }
    }

    /// Ends the request before an attempt is sent; always true.
    async fn end_unsent(&mut self, end: UnsentEnd) -> bool {
        self.report_end(AttemptOutcome::Abandoned);
        match end {
            UnsentEnd::CallerLeft => self.log("caller_left", "waiting"),
            UnsentEnd::Refused(kind) => {
                let not_run = !self.may_have_run;
                let retry_after = Some(streams::retry_after());
                self.refuse(kind, not_run, retry_after).await;
            }
        }
        true
    }

    async fn refuse_quarantined(&mut self, back_in: Duration) {
        self.report_end(AttemptOutcome::Abandoned);
        let not_run = !self.may_have_run;
        self.refuse(RefusalKind::Quarantined, not_run, Some(back_in))
            .await;
    }

    /// Identifies the caller again by the configuration in force now, which may have changed while
    /// the request waited. A run that may have begun keeps its workspace.
    fn identify_again(&mut self) -> Result<(), RefusalKind> {
        if self.may_have_run {
            return Ok(());
        }
        let Some(routes) = self.node.routes() else {
            return Ok(());
        };
        let caller = {
            let core = self.node.core.borrow();
            let workspaces = routes.workspaces.as_ref();
            access::identify_caller(
                clock::now(),
                workspaces,
                self.public,
                self.credential,
                &core.freshness,
            )?
        };
        let workspace = caller.name();
        if workspace != self.out.workspace {
            let mut out = (*self.out).clone();
            out.workspace = workspace;
            self.out = Rc::new(out);
        }
        Ok(())
    }

    /// Handles a failed attempt; the scheduler decides what follows.
    async fn failed(&mut self, endpoint: EndpointId, failure: Failure) {
        self.may_have_run |= matches!(
            failure.stage,
            AttemptStage::MaybeSent | AttemptStage::Answering
        );
        let target = self
            .node
            .target(endpoint)
            .filter(|_| failure.connection_lost);
        let ended = match target {
            Some(target) => self.connection_lost(&target).await,
            None => failure.endpoint_ended,
        };
        if failure.endpoint_ended {
            quarantine::endpoint_ended(&self.node, endpoint);
            self.node.process_ended(endpoint);
        }
        let name: &'static str = failure.stage.into();
        let attempts = &self.node.counters.attempts;
        attempts.with_label_values(&[name]).inc();
        let lost = Some(&*self.out).filter(|_| failure.connection_lost);
        log::info!(
            request = self.out.id,
            asked = lost.map_or_else(String::new, |out| out.fingerprint().to_string()),
            prompt = lost.map_or_else(String::new, Outgoing::prompt_label),
            endpoint = self.endpoint_name(endpoint),
            software = *self.software,
            last_event = self.last_event.unwrap_or(0),
            ended,
            attempt = self.attempts,
            reach = name,
            detail = failure.detail,
            age_ms = self.age().as_millis() as u64;
            "try failed"
        );
        let Failure {
            stage: reach,
            endpoint_at_fault: blame,
            ..
        } = failure;
        self.report_end(AttemptOutcome::Failed {
            stage: reach,
            endpoint_fault: blame,
            endpoint_ended: ended,
        });
    }

    /// Reports that the connection of the last attempt broke; true if its endpoint has ended.
    async fn connection_lost(&self, target: &Target) -> bool {
        let sent_at = self.sent_at.unwrap_or(self.arrived_at);
        let run = quarantine::FailedRun {
            kind: RunKind::Request,
            out: &self.out,
            target,
            ran: clock::now().saturating_sub(sent_at),
            progressed: self.resumable && self.last_event > self.attempt_start_event,
        };
        quarantine::run_lost(&self.node, run).await
    }

    async fn attempt(&mut self, target: &Target) -> AttemptResult {
        let node = self.node.clone();
        let out = self.out.clone();
        let options = SendOptions {
            time_left: Some(self.time_left()),
            last_event: self.last_event,
            continues: self.resumable && self.last_event > Some(0),
        };
        let software = self.stream_software.as_ref();
        if options.continues && software.is_some_and(|software| *software != target.software) {
            // The entry has changed since the endpoint was chosen.
            let detail = "the endpoint has other software";
            let failure = Failure::not_of_endpoint(AttemptStage::NotSent, detail);
            return AttemptResult::Failed(failure);
        }
        let sent = exchange::send(&node, target, &out, options);
        let answer = match self.wait(sent).await {
            WaitResult::Value(Ok(answer)) => answer,
            WaitResult::Value(Err(failure)) => return AttemptResult::Failed(failure),
            WaitResult::CallerLeft => return AttemptResult::CallerLeft,
            WaitResult::DeadlinePassed => return AttemptResult::DeadlinePassed,
            WaitResult::GivenUp => {
                return AttemptResult::Failed(silent_failure(AttemptStage::MaybeSent))
            }
        };
        node.note_answer_data(self.request);
        self.connected = Some(target.connected(&answer.connection));
        let streams = is_events(&answer.head.headers) && answer.head.status == StatusCode::OK;
        match streams {
            true => self.relay_events(target, answer).await,
            false => self.relay_whole(target, answer).await,
        }
    }

    /// Waits for a result of the attempt, or for an event that ends it.
    async fn wait<T>(&mut self, future: impl std::future::Future<Output = T>) -> WaitResult<T> {
        // A timer that has just been created is not ready, however late it is.
        if self.time_left().is_zero() {
            return WaitResult::DeadlinePassed;
        }
        let mut future = std::pin::pin!(future);
        let deadline = sleep(self.time_left());
        let mut deadline = std::pin::pin!(deadline);
        let (node, out) = (self.node.clone(), self.out.clone());
        loop {
            // The future comes last, since it may be ready each time.
            tokio::select! {
                biased;
                () = self.chunks.closed() => return WaitResult::CallerLeft,
                () = &mut deadline => return WaitResult::DeadlinePassed,
                _ = self.actions.recv() => {}
                value = &mut future => return WaitResult::Value(value),
            }
            // The attempt goes on until its successor is connected.
            let connected = silence::connect_successor(&node, self.request, &out);
            let connected = tokio::select! {
                biased;
                () = self.chunks.closed() => return WaitResult::CallerLeft,
                () = &mut deadline => return WaitResult::DeadlinePassed,
                // If the attempt has failed, its successor is still secured.
                value = &mut future => return WaitResult::Value(value),
                connected = connected => connected,
            };
            match connected {
                Ok(()) => return WaitResult::GivenUp,
                Err(successor) => self.keep(successor),
            }
        }
    }

    /// Reports that an attempt which was to be given up goes on.
    fn keep(&self, successor: SuccessorState) {
        let request = self.request;
        self.node.handle_event(Event::Kept { request, successor });
    }

    /// Passes an answer on once it is complete.
    async fn relay_whole(&mut self, target: &Target, answer: Answer) -> AttemptResult {
        let Answer {
            head,
            decoded,
            body,
            connection,
        } = answer;
        let (node, endpoint) = (self.node.clone(), target.endpoint);
        // The bytes of an answer without a stated length may come without end.
        let has_length = head.headers.contains_key(CONTENT_LENGTH);
        let is_bounded = !head.status.is_server_error() || has_length;
        let evidence = AnswerEvidence::of(&head, &body);
        let collected = collect(body, CollectedAnswer::new(&node.answer_memory), || {
            if is_bounded {
                node.note_endpoint_data(endpoint);
            }
        });
        let bytes = match self.wait(collected).await {
            WaitResult::Value(Ok(bytes)) => bytes,
            WaitResult::Value(Err(error)) => {
                let detail = error.to_string();
                let stage = AttemptStage::MaybeSent;
                return AttemptResult::Failed(match error {
                    CollectError::BrokenOff => Failure::of_connection(stage, detail),
                    CollectError::TooLarge => Failure::of_endpoint(stage, detail),
                    CollectError::MemoryFull => Failure::not_of_endpoint(stage, detail),
                });
            }
            WaitResult::CallerLeft => return AttemptResult::CallerLeft,
            WaitResult::DeadlinePassed => return AttemptResult::DeadlinePassed,
            WaitResult::GivenUp => {
                return AttemptResult::Failed(silent_failure(AttemptStage::MaybeSent))
            }
        };
        if evidence == AnswerEvidence::UntilClose && bytes.is_empty() {
            let detail = "the answer ended without a body";
            return AttemptResult::Failed(Failure::of_connection(self.stage(), detail));
        }
        self.node.note_endpoint_data(target.endpoint);
        if let Some(keep_alive) = exchange::keep_alive(&head) {
            self.node.pool.put(target.endpoint, connection, keep_alive);
        }
        if head.status.is_success() && !decoded.signed {
            return AttemptResult::Failed(Failure::of_endpoint(
                AttemptStage::MaybeSent,
                "the answer is not signed",
            ));
        }
        // A request that may not be repeated is answered with the error, but with shared evidence its
        // endpoint is blamed too. Otherwise the error would count as a success.
        let counts = self.out.repeatable || self.node.core.borrow().online.evidence.is_enabled();
        if (counts && head.status.is_server_error()) || self.reply_start.is_none() {
            let detail = format!("answered {}", head.status.as_u16());
            self.error_answer = Some((head, bytes));
            return AttemptResult::Failed(Failure::of_endpoint(self.stage(), detail));
        }
        self.node.handle_event(Event::FirstToken {
            request: self.request,
        });
        if let Some(ended) = self.check_whole(target, evidence).await {
            return ended;
        }
        self.begin_reply(head, Some(bytes));
        AttemptResult::Done(evidence)
    }

    /// Passes events on as they arrive. The caller receives nothing before the first whole event,
    /// so that an attempt that fails earlier can be repeated or refused with a status.
    async fn relay_events(&mut self, target: &Target, answer: Answer) -> AttemptResult {
        let Answer {
            head,
            decoded,
            body,
            connection,
        } = answer;
        if !decoded.signed {
            return AttemptResult::Failed(Failure::of_endpoint(
                AttemptStage::MaybeSent,
                "the answer is not signed",
            ));
        }
        let keep_alive = exchange::keep_alive(&head);
        let evidence = AnswerEvidence::of(&head, &body);
        let mut head = Some(head);
        let mut events = EventStream::new(body, &self.node.answer_memory);
        loop {
            let next = match self.wait(events.next()).await {
                WaitResult::Value(next) => next,
                WaitResult::CallerLeft => return AttemptResult::CallerLeft,
                WaitResult::DeadlinePassed => return AttemptResult::DeadlinePassed,
                WaitResult::GivenUp => return AttemptResult::Failed(silent_failure(self.stage())),
            };
            match next {
                Ok(Some(new_events)) => {
                    let taken = events.take_memory();
                    let passed = self.pass_events(target.endpoint, new_events, taken, &mut head);
                    let passed = passed.await;
                    if let Some(ended) = passed {
                        return ended;
                    }
                }
                Ok(None) if evidence == AnswerEvidence::UntilClose && self.lacks_events() => {
                    let detail = "the stream ended without an event";
                    return AttemptResult::Failed(Failure::of_connection(self.stage(), detail));
                }
                Ok(None) => break,
                Err(error) => return AttemptResult::Failed(error.failure(self.stage())),
            }
        }
        if let Some(ended) = self.check_whole(target, evidence).await {
            return ended;
        }
        let trailer = events.trailer();
        if !trailer.is_empty() {
            // A caller that disconnected has the whole answer.
            let _ = timeout(self.time_left(), self.chunks.send(Ok(trailer))).await;
        }
        if let Some(keep_alive) = keep_alive {
            self.node.pool.put(target.endpoint, connection, keep_alive);
        }
        self.begin_stream(&mut head);
        AttemptResult::Done(evidence)
    }

    /// Whether the answer that ended has brought no event. A second one in a row that goes on after
    /// the same event shows that the stream has no more.
    fn lacks_events(&mut self) -> bool {
        let last_event = self.last_event;
        let is_empty = last_event == self.attempt_start_event;
        let is_repeated = last_event.is_some() && self.empty_after == last_event;
        if is_empty {
            self.empty_after = last_event;
        }
        is_empty && !is_repeated
    }

    /// Checks that an answer which has ended is whole; else returns how the attempt ended.
    async fn check_whole(
        &mut self,
        target: &Target,
        evidence: AnswerEvidence,
    ) -> Option<AttemptResult> {
        match self.wait(exchange::is_whole(target, evidence)).await {
            WaitResult::Value(true) => None,
            WaitResult::Value(false) | WaitResult::GivenUp => {
                let detail = "the endpoint has ended with its answer";
                let failure = Failure::of_connection(self.stage(), detail);
                Some(AttemptResult::Failed(failure))
            }
            WaitResult::CallerLeft => Some(AttemptResult::CallerLeft),
            WaitResult::DeadlinePassed => Some(AttemptResult::DeadlinePassed),
        }
    }

    /// Passes on whole events, up to the first one that does not follow its predecessor.
    async fn pass_events(
        &mut self,
        endpoint: EndpointId,
        events: Vec<StreamEvent>,
        taken: TakenMemory,
        head: &mut Option<response::Parts>,
    ) -> Option<AttemptResult> {
        // Only a whole event is progress: a failing endpoint may send other bytes without end.
        self.node.note_endpoint_data(endpoint);
        self.node.note_answer_data(self.request);
        let mut raw = BytesMut::new();
        let mut last_event = self.last_event;
        let mut broken = None;
        for event in &events {
            if let Err(detail) = check_next(last_event, event.id) {
                broken = Some(detail);
                break;
            }
            raw.extend_from_slice(&event.raw);
            last_event = event.id;
        }
        if broken.is_some() && self.reply_start.is_some() {
            // As long as the caller has nothing, it can be answered with a status.
            raw.clear();
        }
        // They are copied, and a caller may take long to read.
        drop(events);
        if !raw.is_empty() {
            if let Some(ended) = self.record_origin().await {
                return Some(ended);
            }
            self.last_event = last_event;
            self.begin_stream(head);
            let queued_bytes = self.queued_bytes(raw.len());
            let is_unread = self.chunks.capacity() == 0
                || self.queue_room.available_permits() < queued_bytes as usize;
            if is_unread {
                self.node.note_unread(self.request, true);
            }
            let sent = self.queue_chunk(raw.freeze(), queued_bytes, taken);
            match timeout(self.time_left(), sent).await {
                Ok(true) => {}
                Ok(false) => return Some(AttemptResult::CallerLeft),
                Err(_) => return Some(AttemptResult::DeadlinePassed),
            }
            if is_unread {
                self.node.note_unread(self.request, false);
            }
        }
        let failure = |detail| Failure::of_endpoint(self.stage(), detail);
        broken.map(|detail| AttemptResult::Failed(failure(detail)))
    }

    /// How much a chunk takes of the queue for a slow caller.
    fn queued_bytes(&self, chunk_bytes: usize) -> u32 {
        match chunk_bytes <= CHUNK_UNCOUNTED_BYTES {
            true => 0,
            false => chunk_bytes.min(QUEUED_BYTES_MAX) as u32,
        }
    }

    /// Queues a chunk for the caller once there is room; false if the caller has disconnected.
    async fn queue_chunk(&self, chunk: Bytes, queued_bytes: u32, taken: TakenMemory) -> bool {
        if queued_bytes == 0 {
            return self.chunks.send(Ok(chunk)).await.is_ok();
        }
        let room = self.queue_room.clone().acquire_many_owned(queued_bytes);
        let room = tokio::select! {
            biased;
            () = self.chunks.closed() => return false,
            room = room => room,
        };
        let chunk = hold(chunk, (taken, room));
        self.chunks.send(Ok(chunk)).await.is_ok()
    }

    /// Records which software began the stream, before the caller receives the first event. Returns
    /// how the attempt ended if that is not possible.
    async fn record_origin(&mut self) -> Option<AttemptResult> {
        if !self.resumable || self.out.id.is_empty() || self.origin_recorded {
            return None;
        }
        let connected = self.connected.clone()?;
        let origin = StreamOrigin {
            service: self.service,
            software: connected.software.clone(),
        };
        let node = self.node.clone();
        match self.wait(ensure_recorded(&node, &origin)).await {
            WaitResult::Value(true) => {}
            WaitResult::CallerLeft => return Some(AttemptResult::CallerLeft),
            WaitResult::DeadlinePassed => return Some(AttemptResult::DeadlinePassed),
            WaitResult::Value(false) | WaitResult::GivenUp => {
                let detail = "the software version is not on record";
                let failure = Failure::not_of_endpoint(AttemptStage::MaybeSent, detail);
                return Some(AttemptResult::Failed(failure));
            }
        }
        self.origin_recorded = true;
        let stream = streams::stream_id(&self.out.id);
        streams::record(&self.node, stream, origin, &connected, self.kept_for);
        self.stream_software = Some(connected.software.clone());
        self.began_on = Some(connected);
        None
    }

    /// Sends the head if the caller has none yet. After a resumption the first head stays valid.
    fn begin_stream(&mut self, head: &mut Option<response::Parts>) {
        let Some(parts) = head.take() else {
            return;
        };
        self.node.handle_event(Event::FirstToken {
            request: self.request,
        });
        if self.reply_start.is_some() {
            self.node
                .counters
                .first_event_seconds
                .observe(self.age().as_secs_f64());
            self.begin_reply(parts, None);
        }
    }

    fn begin_reply(&mut self, mut parts: response::Parts, whole: Option<Bytes>) {
        parts.headers = exchange::end_to_end_headers(&parts.headers);
        parts.headers.remove(CONTENT_LENGTH);
        if let Some(head) = self.reply_start.take() {
            self.first_at = Some(clock::now());
            // A caller that disconnected is noticed through `chunks`.
            let _ = head.send(ReplyStart::Relayed(parts, whole));
        }
    }

    /// The stage of an attempt that fails now.
    fn stage(&self) -> AttemptStage {
        match self.reply_start {
            Some(_) => AttemptStage::MaybeSent,
            None => AttemptStage::Answering,
        }
    }

    /// Sends the final reply, or aborts a reply that has begun.
    async fn refuse(&mut self, kind: RefusalKind, not_run: bool, retry_after: Option<Duration>) {
        let name: &'static str = kind.into();
        self.log("refused", name);
        self.node.counters.refusals.with_label_values(&[name]).inc();
        if let Some(counted) = self.counted.take().filter(|_| not_run) {
            quotas::give_back(&self.node, counted);
        }
        let Some(head) = self.reply_start.take() else {
            // The connection is closed without the end of the body, so that the reply can't appear
            // complete.
            let _ = self.chunks.send(Err(BodyAborted)).await;
            return;
        };
        let reply = match self.error_answer.take() {
            Some((mut parts, bytes)) => {
                parts.headers = exchange::end_to_end_headers(&parts.headers);
                ReplyStart::Relayed(parts, Some(bytes))
            }
            None => ReplyStart::Local(replies::refusal(kind, not_run, retry_after)),
        };
        let _ = head.send(reply);
    }

    fn report_end(&self, outcome: AttemptOutcome) {
        self.node.handle_event(Event::Ended {
            request: self.request,
            outcome,
        });
        self.node.plan_items.notify_one();
        self.node.heartbeat_due.notify_one();
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(clock::now())
    }

    fn age(&self) -> Duration {
        clock::now().saturating_sub(self.arrived_at)
    }

    /// Milliseconds from the arrival to `time`; 0 if it is `None`.
    fn ms_after_arrival(&self, time: Option<Duration>) -> u64 {
        time.map_or(0, |at| {
            at.saturating_sub(self.arrived_at).as_millis() as u64
        })
    }

    fn endpoint_name(&self, endpoint: EndpointId) -> String {
        self.node
            .target(endpoint)
            .map_or_else(String::new, |target| target.instance)
    }

    fn log(&self, outcome: &str, detail: &str) {
        let kind: &'static str = self.kind.into();
        let counters = &self.node.counters;
        counters.requests.with_label_values(&[kind, outcome]).inc();
        let routes = self.node.routes();
        log::info!(
            request = self.out.id,
            kind,
            workspace = self.out.workspace.as_deref().unwrap_or_default(),
            outcome,
            detail,
            no_retry = self.node.no_retry(self.request),
            attempts = self.attempts,
            endpoint = self.sent_to,
            software = *self.software,
            resumes = self.resumes,
            resumed_after = self.resumed_after.unwrap_or(0),
            last_event = self.last_event.unwrap_or(0),
            sent_ms = self.ms_after_arrival(self.sent_at),
            first_ms = self.ms_after_arrival(self.first_at),
            age_ms = self.age().as_millis() as u64,
            left_ms = self.time_left().as_millis() as u64,
            rules = routes.map_or(0, |table| table.rules.version);
            "request ended"
        );
    }
}

fn silent_failure(stage: AttemptStage) -> Failure {
    // The scheduler detected the silence and decides what it says of the endpoint.
    Failure::not_of_endpoint(stage, "the endpoint went silent")
}

fn is_events(headers: &HeaderMap) -> bool {
    let kind = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// Why an answer could not be collected.
#[derive(Debug, Snafu)]
enum CollectError {
    #[snafu(display("the answer broke off"))]
    BrokenOff,
    #[snafu(display("the answer exceeds the size limit"))]
    TooLarge,
    #[snafu(display("there is no memory left for the answer"))]
    MemoryFull,
}

/// Reads a body to its end, and calls `note_data` for each part.
async fn collect(
    mut body: Incoming,
    mut answer: CollectedAnswer,
    note_data: impl Fn(),
) -> Result<Bytes, CollectError> {
    while !body.is_end_stream() {
        let Some(frame) = body.frame().await else {
            break;
        };
        let frame = frame.map_err(|_| CollectError::BrokenOff)?;
        note_data();
        let data = frame.into_data().unwrap_or_default();
        if answer.collected_bytes() + data.len() > ANSWER_BYTES_MAX {
            return Err(CollectError::TooLarge);
        }
        if !answer.push(&data) {
            return Err(CollectError::MemoryFull);
        }
    }
    Ok(answer.freeze())
}
