//! The life of one online request: admission, tries, relay of the answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, CONTENT_LENGTH, CONTENT_TYPE};
use hyper::http::response;
use hyper::{Response, StatusCode};
use tokio::sync::mpsc::{self, Receiver, Sender, UnboundedReceiver};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::body::{BrokenOff, Piece, ReplyBody};
use super::dialect::{Ask, PromptPart};
use super::events::{check_next, Splitter};
use super::exchange::{self, Answer, Failure, Outgoing, Target};
use super::node::{Node, NOBODY};
use super::quarantine::{self, Trial};
use super::quotas::{self, Counted};
use super::replies::{self, Reply};
use crate::clock;
use crate::decide::access::{self, Credential};
use crate::decide::online::{Action, Arrival, AttemptOutcome, Event};
use crate::decide::refusal::RefusalKind;
use crate::decide::retry::AttemptStage;
use crate::decide::routes::{Route, RouteKind};
use crate::id::{self, EndpointId, RequestId, ServiceId, WorkspaceId};

/// Pieces that may wait for a slow caller; beyond that the endpoint's connection is read no faster.
const PIECES_WAITING: usize = 32;
/// Bytes of a plain answer that are held until it is whole.
const WHOLE_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Serves one request to its end.
///
/// The work is a task of its own: it sees the caller leave by the receiver's end, closes the
/// endpoint's connection, and gives back what admission had counted.
pub async fn serve(
    node: Rc<Node>,
    route: &Route,
    ask: Ask,
    out: Outgoing,
    shown: Credential,
    service: ServiceId,
) -> Reply {
    let (head_sender, head) = oneshot::channel();
    let (pieces_sender, pieces) = mpsc::channel(PIECES_WAITING);
    let now = clock::now();
    let counted = match quotas::admit(&node, &out) {
        Ok(counted) => counted,
        Err(after) => return replies::refusal(RefusalKind::QuotaUsed, true, Some(after)),
    };
    let patience = ask.patience.unwrap_or(route.timeout).min(route.timeout);
    let (request, actions) = node.register();
    let work = Work {
        node: node.clone(),
        request,
        actions,
        kind: route.kind,
        resumable: route.kind == RouteKind::Streaming && route.resumable,
        last_event: ask.last_event,
        began_at_event: ask.last_event,
        may_have_run: false,
        out: Rc::new(out),
        arrived_at: now,
        deadline: now + patience,
        head: Some(head_sender),
        pieces: pieces_sender,
        kept: None,
        public: route.public,
        shown,
        counted,
        attempts: 0,
        sent_at: None,
        sent_to: String::new(),
        first_at: None,
    };
    let arrival = Arrival {
        request,
        workspace: workspace_id(&work.out),
        priority: priority(&node, &work.out, route),
        service,
        prefix: shared_prefix(&ask.prompt),
        deadline: now + patience,
        idempotent: route.repeatable(),
        resumable: work.resumable,
        attempts_max: route.attempts_max,
    };
    node.busy.set(node.busy.get() + 1);
    node.tell(Event::Arrived(arrival));
    tokio::task::spawn_local(work.run());
    match head.await {
        Ok(Head::Own(reply)) => reply,
        Ok(Head::Relayed(parts, whole)) => relay(parts, whole, pieces),
        // The task ended without an answer, which it never does while the caller waits.
        Err(_) => replies::refusal(RefusalKind::EndpointFailed, false, None),
    }
}

/// The workspace as admission counts it.
fn workspace_id(out: &Outgoing) -> WorkspaceId {
    out.workspace.as_deref().map_or(NOBODY, id::of)
}

/// That of the workspace goes before that of the route.
fn priority(node: &Node, out: &Outgoing, route: &Route) -> u32 {
    let routes = node.routes();
    let workspaces = routes.as_ref().and_then(|table| table.workspaces.as_ref());
    let workspace = workspaces.zip(out.workspace.as_deref());
    let workspace = workspace.and_then(|(workspaces, name)| workspaces.named(name));
    let own = workspace.and_then(|workspace| workspace.priority);
    own.unwrap_or(route.priority)
}

/// The part of the prompt that other requests are likeliest to share, as a key: the last part but
/// one stands for all before it, since parts are kept only after the same parts. 0 for none.
fn shared_prefix(prompt: &[PromptPart]) -> u64 {
    match prompt {
        [] => 0,
        [only] => only.id,
        [.., shared, _] => shared.id,
    }
}

fn relay(parts: response::Parts, whole: Option<Bytes>, pieces: Receiver<Piece>) -> Reply {
    let body = match whole {
        Some(bytes) => ReplyBody::Whole(Some(bytes)),
        None => ReplyBody::Pieces(pieces),
    };
    Response::from_parts(parts, body)
}

/// What the caller's handler gets.
enum Head {
    /// This system's own answer.
    Own(Reply),
    /// An endpoint's answer, with its body when it is whole.
    Relayed(response::Parts, Option<Bytes>),
}

/// How a try went.
enum Tried {
    Done,
    Failed(Failure),
    CallerLeft,
    /// The deadline passed.
    Late,
}

/// What came first.
enum Woken<T> {
    Value(T),
    CallerLeft,
    Late,
    /// Nothing comes from the endpoint any more.
    GivenUp,
}

struct Work {
    node: Rc<Node>,
    request: RequestId,
    actions: UnboundedReceiver<Action>,
    kind: RouteKind,
    resumable: bool,
    /// The last event that the caller has.
    last_event: Option<u64>,
    /// The same when the last try was sent.
    began_at_event: Option<u64>,
    /// Whether any try may have run.
    may_have_run: bool,
    out: Rc<Outgoing>,
    arrived_at: Duration,
    deadline: Duration,
    /// Taken once an answer began.
    head: Option<oneshot::Sender<Head>>,
    pieces: Sender<Piece>,
    /// The route asks for no key.
    public: bool,
    /// What the caller showed to say who it is.
    shown: Credential,
    /// Where the request was counted against a quota.
    counted: Option<Counted>,
    /// A failure that an endpoint answered, to pass on when no other try does better.
    kept: Option<(response::Parts, Bytes)>,
    attempts: u32,
    /// When the last try was sent.
    sent_at: Option<Duration>,
    /// Where it was sent.
    sent_to: String,
    /// When the first event, or the whole answer, was there.
    first_at: Option<Duration>,
}

impl Drop for Work {
    fn drop(&mut self) {
        self.node.unregister(self.request);
        self.node.busy.set(self.node.busy.get().saturating_sub(1));
    }
}

impl Work {
    async fn run(mut self) {
        loop {
            let left = self.left();
            let next = tokio::select! {
                biased;
                action = self.actions.recv() => Woken::Value(action),
                () = self.pieces.closed() => Woken::CallerLeft,
                () = sleep(left) => Woken::Late,
            };
            match next {
                Woken::Value(Some(Action::Send { endpoint, .. })) => {
                    if self.send(endpoint).await {
                        return;
                    }
                }
                Woken::Value(Some(Action::Refuse {
                    kind,
                    not_run,
                    retry_after,
                    ..
                })) => return self.refuse(kind, not_run, retry_after).await,
                Woken::Value(Some(Action::GiveUp { .. })) | Woken::GivenUp => {}
                Woken::Value(None) | Woken::CallerLeft => {
                    self.tell_ended(AttemptOutcome::Abandoned);
                    self.log("caller_left", "waiting");
                    return;
                }
                Woken::Late => {
                    self.tell_ended(AttemptOutcome::Abandoned);
                    let not_run = self.attempts == 0;
                    return self
                        .refuse(RefusalKind::DeadlinePassed, not_run, None)
                        .await;
                }
            }
        }
    }

    /// Makes one try; true when the request has ended.
    async fn send(&mut self, endpoint: EndpointId) -> bool {
        if let Err(kind) = self.identify_again() {
            self.tell_ended(AttemptOutcome::Abandoned);
            self.refuse(kind, true, None).await;
            return true;
        }
        if let Err(back_in) = quarantine::admit(&self.node, &self.out, Trial::OneOfAll) {
            self.tell_ended(AttemptOutcome::Abandoned);
            let not_run = !self.may_have_run;
            self.refuse(RefusalKind::Quarantined, not_run, Some(back_in))
                .await;
            return true;
        }
        self.attempts += 1;
        self.began_at_event = self.last_event;
        self.sent_at = Some(clock::now());
        self.sent_to = self.name_of(endpoint);
        let tried = match self.node.target(endpoint) {
            Some(target) => self.attempt(&target).await,
            None => Tried::Failed(Failure::unblamed(
                AttemptStage::NotSent,
                "the endpoint is gone",
            )),
        };
        match tried {
            Tried::Done => {
                self.node
                    .counters
                    .attempts
                    .with_label_values(&["done"])
                    .inc();
                self.node.counters.whole.observe(self.age().as_secs_f64());
                quarantine::answered(&self.node, &self.out);
                self.tell_ended(AttemptOutcome::Done);
                self.log("done", "answered");
                true
            }
            Tried::CallerLeft => {
                self.tell_ended(AttemptOutcome::Abandoned);
                self.log("caller_left", "answering");
                true
            }
            Tried::Late => {
                self.tell_ended(AttemptOutcome::Abandoned);
                self.refuse(RefusalKind::DeadlinePassed, false, None).await;
                true
            }
            Tried::Failed(failure) => {
                self.failed(endpoint, failure).await;
                false
            }
        }
    }

    /// Whose request it is by the rules in force now, which may be newer than when it came in and waited. A run that may
    /// have begun goes on for whom it began.
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
                self.shown,
                &core.proofs,
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

    /// A try failed; the deciding part says what follows.
    async fn failed(&mut self, endpoint: EndpointId, failure: Failure) {
        self.may_have_run |= matches!(
            failure.reach,
            AttemptStage::MaybeSent | AttemptStage::Answering
        );
        let target = self.node.target(endpoint).filter(|_| failure.lost);
        let ended = match target {
            Some(target) => self.lost(&target).await,
            None => failure.ended,
        };
        if failure.ended {
            quarantine::endpoint_ended(&self.node, endpoint);
        }
        let name: &'static str = failure.reach.into();
        let attempts = &self.node.counters.attempts;
        attempts.with_label_values(&[name]).inc();
        let asked = failure.lost.then(|| self.out.fingerprint().to_string());
        log::info!(
            request = self.out.id,
            asked = asked.unwrap_or_default(),
            endpoint = self.name_of(endpoint),
            ended,
            attempt = self.attempts,
            reach = name,
            detail = failure.detail,
            age_ms = self.age().as_millis() as u64;
            "try failed"
        );
        let Failure { reach, blame, .. } = failure;
        self.tell_ended(AttemptOutcome::Failed {
            reach,
            blame,
            ended,
        });
    }

    /// The connection of the last try broke; true when its endpoint has ended.
    async fn lost(&self, target: &Target) -> bool {
        let sent_at = self.sent_at.unwrap_or(self.arrived_at);
        let run = quarantine::Run {
            out: &self.out,
            target,
            ran: clock::now().saturating_sub(sent_at),
            progressed: self.resumable && self.last_event > self.began_at_event,
        };
        quarantine::lost(&self.node, run).await
    }

    async fn attempt(&mut self, target: &Target) -> Tried {
        let node = self.node.clone();
        let out = self.out.clone();
        let (left, last_event) = (self.left(), self.last_event);
        let sent = exchange::send(&node, target, &out, Some(left), last_event);
        let answer = match self.wait(sent).await {
            Woken::Value(Ok(answer)) => answer,
            Woken::Value(Err(failure)) => return Tried::Failed(failure),
            Woken::CallerLeft => return Tried::CallerLeft,
            Woken::Late => return Tried::Late,
            Woken::GivenUp => return Tried::Failed(silent(AttemptStage::MaybeSent)),
        };
        node.heard_answer(self.request);
        let streams = is_events(&answer.head.headers) && answer.head.status == StatusCode::OK;
        match streams {
            true => self.relay_events(target, answer).await,
            false => self.relay_whole(target, answer).await,
        }
    }

    /// Waits for something of a try, or for what ends it.
    async fn wait<T>(&mut self, what: impl std::future::Future<Output = T>) -> Woken<T> {
        let left = self.left();
        tokio::select! {
            biased;
            value = what => Woken::Value(value),
            () = self.pieces.closed() => Woken::CallerLeft,
            () = sleep(left) => Woken::Late,
            _ = self.actions.recv() => Woken::GivenUp,
        }
    }

    /// Passes an answer on once it is whole.
    async fn relay_whole(&mut self, target: &Target, answer: Answer) -> Tried {
        let Answer {
            head,
            said,
            body,
            connection,
        } = answer;
        let bytes = match self.wait(collect(body)).await {
            Woken::Value(Some(bytes)) => bytes,
            Woken::Value(None) => {
                return Tried::Failed(Failure::lost(
                    AttemptStage::MaybeSent,
                    "the answer broke off",
                ))
            }
            Woken::CallerLeft => return Tried::CallerLeft,
            Woken::Late => return Tried::Late,
            Woken::GivenUp => return Tried::Failed(silent(AttemptStage::MaybeSent)),
        };
        self.node.heard(target.endpoint);
        if let Some(keep_alive) = exchange::keep_alive(&head) {
            self.node.pool.give(target.endpoint, connection, keep_alive);
        }
        if head.status.is_success() && !said.signed {
            return Tried::Failed(Failure::blamed(
                AttemptStage::MaybeSent,
                "the answer is not signed",
            ));
        }
        let again = self.out.repeatable && head.status.is_server_error();
        if again || self.head.is_none() {
            let detail = format!("answered {}", head.status.as_u16());
            self.kept = Some((head, bytes));
            return Tried::Failed(Failure::blamed(self.reach(), detail));
        }
        self.node.tell(Event::FirstToken {
            request: self.request,
        });
        self.begin(head, Some(bytes));
        Tried::Done
    }

    /// Passes events on as they come. The caller sees nothing before the first whole event, so that a
    /// try which fails earlier can still be made again or refused with a status.
    async fn relay_events(&mut self, target: &Target, answer: Answer) -> Tried {
        let Answer {
            head,
            said,
            mut body,
            connection,
        } = answer;
        if !said.signed {
            return Tried::Failed(Failure::blamed(
                AttemptStage::MaybeSent,
                "the answer is not signed",
            ));
        }
        let keep_alive = exchange::keep_alive(&head);
        let mut head = Some(head);
        let mut splitter = Splitter::default();
        loop {
            let frame = match self.wait(body.frame()).await {
                Woken::Value(frame) => frame,
                Woken::CallerLeft => return Tried::CallerLeft,
                Woken::Late => return Tried::Late,
                Woken::GivenUp => return Tried::Failed(silent(self.reach())),
            };
            match frame {
                Some(Ok(frame)) => {
                    self.node.heard(target.endpoint);
                    self.node.heard_answer(self.request);
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if let Some(ended) = self.pass(&mut splitter, &data, &mut head).await {
                        return ended;
                    }
                }
                Some(Err(error)) => {
                    let detail = format!("the stream broke off: {error}");
                    return Tried::Failed(Failure::lost(self.reach(), detail));
                }
                None if splitter.partial() => {
                    let detail = "the stream ended within an event";
                    return Tried::Failed(Failure::lost(self.reach(), detail));
                }
                None => break,
            }
        }
        if let Some(keep_alive) = keep_alive {
            self.node.pool.give(target.endpoint, connection, keep_alive);
        }
        self.begin_once(&mut head);
        Tried::Done
    }

    /// Passes the whole events in `data` on.
    async fn pass(
        &mut self,
        splitter: &mut Splitter,
        data: &[u8],
        head: &mut Option<response::Parts>,
    ) -> Option<Tried> {
        let events = splitter.push(data);
        if splitter.overlong() {
            let detail = "an event without an end";
            return Some(Tried::Failed(Failure::blamed(self.reach(), detail)));
        }
        if events.is_empty() {
            return None;
        }
        let mut raw = BytesMut::new();
        let mut broken = None;
        for event in &events {
            if let Err(detail) = check_next(self.last_event, event.id) {
                broken = Some(detail);
                break;
            }
            raw.extend_from_slice(&event.raw);
            self.last_event = event.id.or(self.last_event);
        }
        if !raw.is_empty() {
            self.begin_once(head);
            let sent = self.pieces.send(Ok(raw.freeze()));
            match timeout(self.left(), sent).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return Some(Tried::CallerLeft),
                Err(_) => return Some(Tried::Late),
            }
        }
        let failure = |detail| Failure::blamed(self.reach(), detail);
        broken.map(|detail| Tried::Failed(failure(detail)))
    }

    /// Sends the head when the caller has none yet. After a resumption the first one stands.
    fn begin_once(&mut self, head: &mut Option<response::Parts>) {
        let Some(parts) = head.take() else {
            return;
        };
        self.node.tell(Event::FirstToken {
            request: self.request,
        });
        if self.head.is_some() {
            self.node
                .counters
                .first_event
                .observe(self.age().as_secs_f64());
            self.begin(parts, None);
        }
    }

    fn begin(&mut self, mut parts: response::Parts, whole: Option<Bytes>) {
        parts.headers = exchange::end_to_end(&parts.headers);
        parts.headers.remove(CONTENT_LENGTH);
        if let Some(head) = self.head.take() {
            self.first_at = Some(clock::now());
            // A caller that has left is seen by `pieces`.
            let _ = head.send(Head::Relayed(parts, whole));
        }
    }

    /// How far a try has come that fails now.
    fn reach(&self) -> AttemptStage {
        match self.head {
            Some(_) => AttemptStage::MaybeSent,
            None => AttemptStage::Answering,
        }
    }

    /// Gives the final answer, or breaks off an answer that has begun.
    async fn refuse(&mut self, kind: RefusalKind, not_run: bool, after: Option<Duration>) {
        let name: &'static str = kind.into();
        self.log("refused", name);
        self.node.counters.refused.with_label_values(&[name]).inc();
        if let Some(counted) = self.counted.take().filter(|_| not_run) {
            quotas::give_back(&self.node, counted);
        }
        let Some(head) = self.head.take() else {
            // The connection is closed without the end of the body, so that it can't look whole.
            let _ = self.pieces.send(Err(BrokenOff)).await;
            return;
        };
        let reply = match self.kept.take() {
            Some((mut parts, bytes)) => {
                parts.headers = exchange::end_to_end(&parts.headers);
                Head::Relayed(parts, Some(bytes))
            }
            None => Head::Own(replies::refusal(kind, not_run, after)),
        };
        let _ = head.send(reply);
    }

    fn tell_ended(&self, outcome: AttemptOutcome) {
        self.node.tell(Event::Ended {
            request: self.request,
            outcome,
        });
        self.node.plan_items.notify_one();
        self.node.tell_peers.notify_one();
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_sub(clock::now())
    }

    fn age(&self) -> Duration {
        clock::now().saturating_sub(self.arrived_at)
    }

    /// Milliseconds from the arrival to a moment; 0 when there was none.
    fn after(&self, moment: Option<Duration>) -> u64 {
        moment.map_or(0, |at| {
            at.saturating_sub(self.arrived_at).as_millis() as u64
        })
    }

    fn name_of(&self, endpoint: EndpointId) -> String {
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
            attempts = self.attempts,
            endpoint = self.sent_to,
            last_event = self.last_event.unwrap_or(0),
            sent_ms = self.after(self.sent_at),
            first_ms = self.after(self.first_at),
            age_ms = self.age().as_millis() as u64,
            left_ms = self.left().as_millis() as u64,
            rules = routes.map_or(0, |table| table.rules.version);
            "request ended"
        );
    }
}

fn silent(reach: AttemptStage) -> Failure {
    // The silence was seen by the deciding part, which has counted it against the endpoint.
    Failure::unblamed(reach, "the endpoint went silent")
}

fn is_events(headers: &HeaderMap) -> bool {
    let kind = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// Reads a body to its end; `None` when it breaks off or is too long.
async fn collect(mut body: Incoming) -> Option<Bytes> {
    let mut whole = BytesMut::new();
    while !body.is_end_stream() {
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    whole.extend_from_slice(&data);
                }
            }
            Some(Err(_)) => return None,
            None => break,
        }
        if whole.len() > WHOLE_BYTES_MAX {
            return None;
        }
    }
    Some(whole.freeze())
}
