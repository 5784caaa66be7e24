//! Accepts connections from callers and dispatches their requests.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io::{ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, AUTHORIZATION, CONNECTION, HOST};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::Rng;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::body::{self, CountedBody};
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
use crate::decide::routes::{RouteKind, RouteTable, Rules};
use crate::pages;
use crate::util;

/// `Retry-After` of a VM that can't confirm that its configuration is the newest: the store
/// confirms it every 0.6 s, or every second in a large fleet.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(700);
/// `Retry-After` of a VM that has no configuration yet; it reads one within a second.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Limits that apply until the first configuration is loaded.
const HEAD_BYTES_DEFAULT: usize = 16 * 1024;
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(15);
/// The smallest buffer that hyper accepts.
const BUFFER_BYTES_MIN: usize = 8 * 1024;
/// Timeout for a body after its head; callers on slow links send small bodies too.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time to read requests that have already arrived before an idle connection is closed.
const ARRIVAL_GRACE: Duration = Duration::from_millis(20);
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
                tokio::task::spawn_local(serve_connection(node.clone(), stream));
            }
            Err(error) => {
                log::warn!(error:% = error; "connections can't be accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
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
                tokio::task::spawn_local(serve_connection(node.clone(), stream));
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream) {
    let limits = node.routes().map(|table| table.rules.limits.clone());
    let idle_timeout = limits
        .as_ref()
        .map_or(IDLE_TIMEOUT_DEFAULT, |limits| limits.idle_timeout);
    let head_bytes = limits.map_or(HEAD_BYTES_DEFAULT, |limits| limits.head_bytes);
    let connection_requests = Rc::<ConnectionRequests>::default();
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
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(head_bytes.max(BUFFER_BYTES_MIN))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // An error is a caller that disconnected or sent an invalid request, which hyper has answered.
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            () = node.closing.notified() => {}
        }
        if timeout(ARRIVAL_GRACE, connection.as_mut()).await.is_ok() {
            return;
        }
        if !connection_requests.has_partial_head() {
            break;
        }
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
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
    }
    body::counted(reply, open)
}

/// Requests of one connection.
#[derive(Default)]
struct ConnectionRequests {
    /// A request whose head has not been read completely.
    partial: RefCell<Option<Rc<OpenRequest>>>,
    /// The newest request; gone once its reply has been sent.
    newest: RefCell<Weak<OpenRequest>>,
}

impl ConnectionRequests {
    /// Counts a request from its first bytes on. Without this, the connection counts as idle, and
    /// is closed although a caller sends a request.
    fn bytes_read(&self, node: &Node) {
        if self.newest.borrow().strong_count() == 0 {
            self.partial.replace(Some(self.begin(node)));
        }
    }

    /// The request whose head has been read.
    fn head_read(&self, node: &Node) -> Rc<OpenRequest> {
        let partial = self.partial.take();
        partial.unwrap_or_else(|| self.begin(node))
    }

    fn begin(&self, node: &Node) -> Rc<OpenRequest> {
        let open = node.open_requests.begin(RequestKind::Reading);
        self.newest.replace(Rc::downgrade(&open));
        open
    }

    fn has_partial_head(&self) -> bool {
        self.partial.borrow().is_some()
    }
}

/// A caller's connection, which reports that bytes were read.
struct CallerStream {
    stream: TcpStream,
    node: Rc<Node>,
    requests: Rc<ConnectionRequests>,
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
            this.requests.bytes_read(&this.node);
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
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
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
            results::results(node, &caller, job, after, wait).await
        }
        Operation::ItemBody { job, item } => {
            open.set_kind(RequestKind::ItemBody);
            jobs::item_body(node, &caller, job, item).await
        }
        Operation::Cancel { job } => {
            open.set_kind(RequestKind::Cancellation);
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
    let body = match read_body(body, routes.rules.limits.body_bytes).await {
        Ok(body) => body,
        Err(kind) => return replies::refusal(kind, true, None),
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

/// Reads a whole body.
async fn read_body(body: Incoming, bytes_max: usize) -> Result<Bytes, RefusalKind> {
    let read = Limited::new(body, bytes_max).collect();
    match timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(RefusalKind::TooLarge)
        }
        Ok(Err(_)) => Err(RefusalKind::BadRequest),
        Err(_) => Err(RefusalKind::SlowRequest),
    }
}
