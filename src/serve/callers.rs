//! Accepts connections from callers and dispatches their requests.

use std::convert::Infallible;
use std::io::{ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, AUTHORIZATION, CONNECTION, EXPECT, HOST};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rand::Rng;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

use super::bodies;
use super::body::{self, CountedBody};
use super::connections::{ConnectionEntry, ConnectionRequests, RequestStage};
use super::counters::{OpenRequest, RequestKind};
use super::dialect::Operation;
use super::exchange::{self, Outgoing};
use super::jobs;
use super::node::Node;
use super::online;
use super::replies::{self, Reply};
use super::results;
use crate::clock;
use crate::decide::access;
use crate::decide::freshness::StoreSubject;
use crate::decide::refusal::RefusalKind;
use crate::decide::routes::{CallerLimits, RouteKind, RouteTable, Rules};
use crate::pages;
use crate::util;

/// `Retry-After` of a VM that can't confirm that its configuration is the newest: the store
/// confirms it every 0.6 s, or every second in a large fleet.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(700);
/// `Retry-After` of a VM that has no configuration yet; it reads one within a second.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` of a VM whose memory for bodies is taken; stalled ones yield within a second.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// How much of a refused body is read, in bodies of the largest size allowed.
const DISCARDED_BODIES_MAX: usize = 2;
/// Limits that apply until the first configuration is loaded.
const HEAD_BYTES_DEFAULT: usize = 16 * 1024;
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(15);
/// Bounds of the time between two checks whether a connection is idle.
const IDLE_CHECK_INTERVAL_MIN: Duration = Duration::from_millis(50);
const IDLE_CHECK_INTERVAL_MAX: Duration = Duration::from_secs(1);
/// The smallest buffer that hyper accepts.
const BUFFER_BYTES_MIN: usize = 8 * 1024;
/// Timeout for a body after its head; callers on slow links send small bodies too.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time to read requests that have already arrived before an idle connection is closed.
const ARRIVAL_GRACE: Duration = Duration::from_millis(20);
/// Timeout for the first request of a connection, which its caller has opened to send it.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a reply and the next request of its caller may take together on their ways.
const TRANSIT_TIME: Duration = Duration::from_millis(300);
/// Tells callers for how long they may leave a connection idle.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Opens a listener on this thread's event loop.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = pages::listen(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Accepts connections until the process has drained.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    while node.listening.get() {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = node.closing.notified() => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Some(entry) = node.connections.admit(clock::now(), &node.counters) {
                    tokio::task::spawn_local(serve_connection(node.clone(), stream, entry));
                }
                // Connections that make way are closed before the next one is accepted.
                yield_now().await;
            }
            Err(error) => {
                log::warn!(error:% = error; "connections can't be accepted");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    if let Err(error) = serve_backlog(&node, listener) {
        log::warn!(error:% = error; "the last connections can't be accepted");
    }
}

/// Serves the connections that wait to be accepted: their callers may have sent a request, and a
/// listener that is dropped resets them.
fn serve_backlog(node: &Rc<Node>, listener: TcpListener) -> std::io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                let stream = TcpStream::from_std(stream)?;
                if let Some(entry) = node.connections.admit(clock::now(), &node.counters) {
                    tokio::task::spawn_local(serve_connection(node.clone(), stream, entry));
                }
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream, entry: ConnectionEntry) {
    let limits = node.routes().map(|table| table.rules.limits.clone());
    let head_bytes = limits.map_or(HEAD_BYTES_DEFAULT, |limits| limits.head_bytes);
    let accepted_at = clock::now();
    let connection_requests = entry.requests.clone();
    let first = node.open_requests.expect();
    connection_requests.first.replace(Some(first));
    let stream = CallerStream {
        stream,
        node: node.clone(),
        requests: connection_requests.clone(),
    };
    let service = service_fn(|request| {
        let (node, open) = (node.clone(), connection_requests.head_read(&node));
        async move { Ok::<_, Infallible>(handle(node, request, open).await) }
    });
    let connection = http1::Builder::new()
        .max_buf_size(head_bytes.max(BUFFER_BYTES_MIN))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut idle = IdleTime::default();
    // An error is a caller that disconnected or sent an invalid request, which hyper has answered.
    loop {
        let is_notified = tokio::select! {
            biased;
            // Before a request is read that would then have begun.
            () = connection_requests.makes_way.notified() => return,
            _ = connection.as_mut() => return,
            () = node.closing.notified() => true,
            () = sleep(idle.check_interval()) => false,
        };
        if clock::now() >= accepted_at + FIRST_REQUEST_TIMEOUT {
            connection_requests.first.take();
        }
        let is_idle = idle.is_over(clock::now(), &node, &connection_requests);
        if connection_requests.is_unread_for(clock::now(), idle.timeout) {
            return;
        }
        let is_busy = connection_requests.stage() == RequestStage::Open;
        let is_closing = is_notified || (is_busy && node.is_draining());
        if !is_closing && !is_idle {
            continue;
        }
        if timeout(ARRIVAL_GRACE, connection.as_mut()).await.is_ok() {
            return;
        }
        match (is_closing, connection_requests.stage()) {
            (true, RequestStage::Head) | (false, RequestStage::Open) => {}
            // Its caller may use it again until the drain time is over.
            (true, RequestStage::Idle) if node.listening.get() => {}
            (true, RequestStage::Idle) if connection_requests.is_first_expected() => {}
            (true, _) => break,
            (false, stage) if idle.began_as == Some(stage) => return,
            (false, _) => {}
        }
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        biased;
        () = connection_requests.makes_way.notified() => {}
        _ = connection => {}
    }
}

/// For how long a connection has waited for its caller.
#[derive(Default)]
struct IdleTime {
    /// What it waits for; `None` while a request is served.
    began_as: Option<RequestStage>,
    /// When it was first seen to wait.
    began_at: Duration,
    /// The longest timeout that was in force since the connection was opened: its caller may not have
    /// heard of a shorter one yet.
    timeout: Duration,
    /// The same for the rest of a head.
    head_timeout: Duration,
}

impl IdleTime {
    /// Time until the next check. It bounds by how much a connection outlasts its timeout.
    fn check_interval(&self) -> Duration {
        (self.timeout / 4).clamp(IDLE_CHECK_INTERVAL_MIN, IDLE_CHECK_INTERVAL_MAX)
    }

    /// Whether the caller has sent nothing, or only a part of a head, for longer than allowed.
    fn is_over(&mut self, now: Duration, node: &Node, requests: &ConnectionRequests) -> bool {
        let routes = node.routes();
        let limits = routes.as_ref().map(|table| &table.rules.limits);
        let idle_timeout = limits.map_or(IDLE_TIMEOUT_DEFAULT, |limits| limits.idle_timeout);
        let head_timeout = limits.map_or(IDLE_TIMEOUT_DEFAULT, |limits| limits.head_timeout);
        self.timeout = self.timeout.max(idle_timeout);
        self.head_timeout = self.head_timeout.max(head_timeout);
        let stage = Some(requests.stage()).filter(|stage| *stage != RequestStage::Open);
        if stage != self.began_as {
            (self.began_as, self.began_at) = (stage, now);
        }
        let timeout = match stage {
            None => return false,
            Some(RequestStage::Head) => self.head_timeout.min(self.timeout),
            Some(_) => self.timeout,
        };
        now >= self.began_at + timeout
    }
}

async fn handle(
    node: Rc<Node>,
    request: Request<Incoming>,
    open: Rc<OpenRequest>,
) -> Response<CountedBody> {
    let reply = tokio::select! {
        biased;
        reply = dispatch(node.clone(), request, &open) => Some(reply),
        () = node.open_requests.refused() => None,
    };
    let mut reply = reply.unwrap_or_else(|| stopped_reply(open.kind()));
    if node.is_draining() {
        // The caller's next request reaches another VM.
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(CONNECTION, close);
    } else if !reply.headers().contains_key(CONNECTION) {
        if let Some(keep_alive) = keep_alive(&node) {
            reply.headers_mut().insert(KEEP_ALIVE, keep_alive);
        }
    }
    body::counted(reply, open)
}

/// For how long a caller may leave its connection idle and use it again. A stop may begin right after
/// the reply and closes idle connections after the drain time.
fn keep_alive(node: &Node) -> Option<HeaderValue> {
    let drain_time = Duration::from_millis(node.settings.drain_ms);
    let in_force = node.routes().map(|table| table.rules.limits.idle_timeout);
    let kept_for = drain_time.min(in_force.unwrap_or(IDLE_TIMEOUT_DEFAULT));
    let timeout_s = kept_for.saturating_sub(TRANSIT_TIME).as_secs();
    // A drain time under a second can't be announced.
    let announced = (timeout_s > 0).then(|| format!("timeout={timeout_s}"));
    announced.and_then(|timeout| HeaderValue::try_from(timeout).ok())
}

/// A caller's connection, which reports that bytes were read and that all replies were sent.
struct CallerStream {
    stream: TcpStream,
    node: Rc<Node>,
    requests: Rc<ConnectionRequests>,
}

impl CallerStream {
    fn note_write(&self, is_written: bool) {
        match is_written {
            true => self.requests.written(),
            false => self.requests.write_blocked(clock::now()),
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let read = Pin::new(&mut this.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            this.requests.bytes_read(clock::now(), &this.node);
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.note_write(written.is_ready());
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(context, slices);
        this.note_write(written.is_ready());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        // Called once the buffer of the connection is empty.
        let this = self.get_mut();
        let flushed = Pin::new(&mut this.stream).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            this.requests.buffer_sent(clock::now());
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}

/// The reply to a request that is still open when the process has to end.
fn stopped_reply(kind: RequestKind) -> Reply {
    let name: &'static str = kind.into();
    log::info!(kind = name; "refused: the stop limit was reached");
    // Anything but a request that was not read completely may have taken effect.
    let not_run = kind == RequestKind::Reading;
    replies::refusal(RefusalKind::NotReady, not_run, Some(STARTING_RETRY_AFTER))
}

async fn dispatch(node: Rc<Node>, request: Request<Incoming>, open: &OpenRequest) -> Reply {
    let (head, body) = request.into_parts();
    let Some(routes) = node.routes() else {
        log::info!(path = head.uri.path(); "refused: no configuration is loaded yet");
        return replies::refusal(RefusalKind::NotReady, true, Some(STARTING_RETRY_AFTER));
    };
    let operation = (node.dialect.operation)(&head);
    if operation == Operation::Routed {
        return serve_routed(node, routes, head, body, open).await;
    }
    let public = has_public_jobs(&routes.rules);
    let caller = match identify(&node, &routes, public, &head) {
        Ok(caller) => caller.name(),
        Err(kind) => return unidentified_reply(kind),
    };
    match operation {
        Operation::Results { job, after, wait } => {
            open.set_kind(RequestKind::Results);
            open.set_id(&job);
            results::results(node, &caller, job, after, wait).await
        }
        Operation::ItemBody { job, item } => {
            open.set_kind(RequestKind::ItemBody);
            open.set_id(&job);
            jobs::item_body(node, &caller, job, item).await
        }
        Operation::Cancel { job } => {
            open.set_kind(RequestKind::Cancellation);
            open.set_id(&job);
            jobs::cancel(node, &caller, job).await
        }
        // Handled above.
        Operation::Routed => replies::empty(404),
    }
}

/// Whether any batch route is public, so that jobs may be submitted and read without a key.
fn has_public_jobs(rules: &Rules) -> bool {
    let mut routes = rules.routes.iter();
    routes.any(|route| route.kind == RouteKind::Batch && route.public)
}

/// Identifies the caller, or returns why that is not possible.
fn identify<'a>(
    node: &Node,
    routes: &'a RouteTable,
    public: bool,
    head: &hyper::http::request::Parts,
) -> Result<access::CallerIdentity<'a>, RefusalKind> {
    let now = clock::now();
    let credential = (node.dialect.credential)(&head.headers);
    let workspaces = routes.workspaces.as_ref();
    let caller = {
        let core = node.core.borrow();
        access::identify_caller(now, workspaces, public, credential, &core.freshness)
    };
    caller.inspect_err(|kind| {
        let reason: &'static str = kind.into();
        let version = routes.rules.version;
        let proof_age_ms = node.confirmation_age_ms(StoreSubject::Rules);
        let path = head.uri.path();
        node.counters.refusals.with_label_values(&[reason]).inc();
        log::info!(path, reason, version, proof_age_ms; "refused: no workspace is known by this key");
    })
}

/// The reply to a caller that could not be identified.
fn unidentified_reply(kind: RefusalKind) -> Reply {
    let retry_after = (kind == RefusalKind::NotReady).then_some(UNCONFIRMED_RETRY_AFTER);
    replies::refusal(kind, true, retry_after)
}

async fn serve_routed(
    node: Rc<Node>,
    routes: Rc<RouteTable>,
    head: hyper::http::request::Parts,
    body: Incoming,
    open: &OpenRequest,
) -> Reply {
    let params = (node.dialect.request_params)(&head);
    open.set_id(params.id.as_deref().unwrap_or_default());
    let Some(route) = routes.find(&params.host, head.uri.path()) else {
        let version = routes.rules.version;
        let proof_age_ms = node.confirmation_age_ms(StoreSubject::Rules);
        let (host, path) = (params.host, head.uri.path());
        let fresh = node.core.borrow().freshness.are_rules_fresh(clock::now());
        log::info!(host, path, version, proof_age_ms, sure = fresh; "refused: no such route");
        return match fresh {
            true => replies::refusal(RefusalKind::NotFound, true, None),
            false => replies::refusal(RefusalKind::NotReady, true, Some(UNCONFIRMED_RETRY_AFTER)),
        };
    };
    let caller = match identify(&node, &routes, route.public, &head) {
        Ok(caller) => caller,
        Err(kind) => return unidentified_reply(kind),
    };
    let is_awaited = head.headers.contains_key(EXPECT);
    let body = match read_body(&node, body, &routes.rules.limits, is_awaited).await {
        Ok(body) => body,
        Err(kind) => return unread_reply(&node, kind),
    };
    if route.kind == RouteKind::Batch {
        open.set_kind(RequestKind::Submission);
        return jobs::submit(node, route, caller.name(), params, body).await;
    }
    open.set_kind(RequestKind::Online);
    let target = head
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let mut headers = exchange::end_to_end_headers(&head.headers);
    if routes.workspaces.is_some() {
        // Endpoints receive the workspace's name, never the key.
        headers.remove(AUTHORIZATION);
    }
    if let Ok(host) = HeaderValue::from_str(&params.host) {
        headers.insert(HOST, host);
    }
    let out = Outgoing {
        id: params.id.clone().unwrap_or_default(),
        method: head.method.clone(),
        target: target.to_owned(),
        headers,
        body,
        repeatable: route.repeatable(),
        workspace: caller.name(),
        prompt: params.prompt.clone(),
    };
    let service = route.pick(util::rng().random());
    let credential = (node.dialect.credential)(&head.headers);
    online::serve(node, route, params, out, credential, service).await
}

/// The reply to a request whose body was not read.
fn unread_reply(node: &Node, kind: RefusalKind) -> Reply {
    let reason: &'static str = kind.into();
    node.counters.refusals.with_label_values(&[reason]).inc();
    let retry_after = (kind == RefusalKind::MemoryFull).then_some(MEMORY_RETRY_AFTER);
    let mut reply = replies::refusal(kind, true, retry_after);
    // What follows on the connection is the rest of the body.
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(CONNECTION, close);
    reply
}

/// Reads a whole body. The rest of one that is refused is discarded behind the reply.
async fn read_body(
    node: &Node,
    mut body: Incoming,
    limits: &CallerLimits,
    is_awaited: bool,
) -> Result<Bytes, RefusalKind> {
    let read = node.bodies.read(&mut body, limits.body_bytes);
    let read = timeout(BODY_TIMEOUT, read).await;
    let read = read.unwrap_or(Err(RefusalKind::SlowRequest));
    if read.is_err() && !is_awaited {
        let discarded = bodies::discard(body, DISCARDED_BODIES_MAX * limits.body_bytes);
        tokio::task::spawn_local(discarded);
    }
    read
}
