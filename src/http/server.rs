//! An HTTP/1.1 server with one thread per connection and a limit on the number of connections.

use std::io::{self, BufWriter, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::{Bytes, BytesMut};

use super::problem::{Problem, RefusalKind};
use super::Request;
use crate::clock;

const HEADERS_MAX: usize = 64;
const READ_BUFFER_BYTES: usize = 8 * 1024;
const STACK_BYTES: usize = 256 * 1024;
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
const REFUSAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limits on what callers may use of this process.
#[derive(Debug, Clone)]
pub struct Limits {
    pub max_connections: usize,
    pub head_bytes: usize,
    pub body_bytes: usize,
    /// From the first byte of a request to the end of its head.
    pub head_timeout: Duration,
    /// From the end of the head to the end of the body.
    pub body_timeout: Duration,
    /// A connection without a request for this long is closed.
    pub idle_timeout: Duration,
    /// A caller that reads nothing for this long is disconnected.
    pub write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_connections: 2048,
            head_bytes: 16 * 1024,
            body_bytes: 256 * 1024 * 1024,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(60),
            idle_timeout: Duration::from_secs(60),
            write_timeout: Duration::from_secs(10),
        }
    }
}

/// A running server.
#[derive(Clone)]
pub struct Server {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

struct Shared {
    limits: Limits,
    connections: AtomicUsize,
    busy: AtomicUsize,
    /// Responses ask callers to open a new connection.
    draining: AtomicBool,
    /// No new connection is accepted and idle ones are closed.
    closing: AtomicBool,
}

impl Server {
    /// Starts serving; each request is handled on its connection's own thread.
    pub fn start(
        listener: TcpListener,
        limits: Limits,
        handler: impl Fn(&Request, &mut Responder) -> io::Result<()> + Send + Sync + 'static,
    ) -> io::Result<Server> {
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            limits,
            connections: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            closing: AtomicBool::new(false),
        });
        let server = Server {
            shared: shared.clone(),
            address,
        };
        let handler = Arc::new(handler);
        thread::Builder::new()
            .name("accept".into())
            .spawn(move || accept_loop(listener, shared, handler))?;
        Ok(server)
    }

    /// Requests being handled now.
    pub fn busy(&self) -> usize {
        self.shared.busy.load(Ordering::SeqCst)
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::SeqCst)
    }

    /// Keeps serving, but closes each connection with its next response.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::SeqCst);
    }

    /// Stops accepting and closes idle connections; requests in progress continue.
    pub fn close(&self) {
        self.drain();
        self.shared.closing.store(true, Ordering::SeqCst);
        // Wakes the accept loop, which otherwise blocks until the next caller connects.
        let _ = TcpStream::connect_timeout(&self.address, IDLE_CHECK_INTERVAL);
    }
}

fn accept_loop<H>(listener: TcpListener, shared: Arc<Shared>, handler: Arc<H>)
where
    H: Fn(&Request, &mut Responder) -> io::Result<()> + Send + Sync + 'static,
{
    loop {
        match listener.accept() {
            Ok((stream, _)) => admit(stream, &shared, &handler),
            // The loop ends only when the backlog is empty, so that no caller that has already
            // connected sees a reset at a planned stop.
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            // Out of file descriptors, or the caller disconnected before it was accepted: keep
            // listening.
            Err(_) => clock::sleep(ACCEPT_PAUSE),
        }
        if shared.closing.load(Ordering::SeqCst) {
            let _ = listener.set_nonblocking(true);
        }
    }
}

fn admit<H>(stream: TcpStream, shared: &Arc<Shared>, handler: &Arc<H>)
where
    H: Fn(&Request, &mut Responder) -> io::Result<()> + Send + Sync + 'static,
{
    if shared.connections.load(Ordering::SeqCst) >= shared.limits.max_connections {
        refuse(stream);
        return;
    }
    shared.connections.fetch_add(1, Ordering::SeqCst);
    let (thread_shared, thread_handler) = (shared.clone(), handler.clone());
    let spawned = thread::Builder::new()
        .name("caller".into())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            let _ = Connection::open(stream, &thread_shared).and_then(|c| c.run(&*thread_handler));
            thread_shared.connections.fetch_sub(1, Ordering::SeqCst);
        });
    if spawned.is_err() {
        shared.connections.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Refuses a connection over the limit at once, without a thread for it.
fn refuse(mut stream: TcpStream) {
    let problem = Problem::not_run(RefusalKind::ServiceFull, "too many connections")
        .with_retry_after(REFUSAL_RETRY_AFTER);
    let _ = stream.set_nonblocking(true);
    let _ = stream.write_all(&full_response(
        &problem_head(&problem),
        &problem.body(),
        false,
    ));
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.read(&mut [0; READ_BUFFER_BYTES]);
}

fn problem_head(problem: &Problem) -> Head {
    let mut head = Head::new(problem.kind.status(), "application/problem+json");
    if let Some(wait_s) = problem.retry_after_s() {
        head = head.with("Retry-After", wait_s.to_string());
    }
    head
}

/// Status and headers of a response.
#[derive(Debug, Clone)]
pub struct Head {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// A head with its content type.
    pub fn new(status: u16, content_type: &str) -> Head {
        Head {
            status,
            headers: vec![("Content-Type".into(), content_type.into())],
        }
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: impl Into<String>) -> Head {
        self.headers.push((name.into(), value.into()));
        self
    }

    fn write(&self, out: &mut Vec<u8>, keep: bool) {
        let _ = write!(out, "HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        for (name, value) in &self.headers {
            let clean: String = value.chars().filter(|c| !c.is_control()).collect();
            let _ = write!(out, "{name}: {clean}\r\n");
        }
        if !keep {
            out.extend_from_slice(b"Connection: close\r\n");
        }
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200..=299 => "OK",
        300..=399 => "Redirect",
        400..=499 => "Refused",
        _ => "Failed",
    }
}

fn full_response(head: &Head, body: &[u8], keep: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(body.len() + 256);
    head.write(&mut out, keep);
    let _ = write!(out, "Content-Length: {}\r\n\r\n", body.len());
    out.extend_from_slice(body);
    out
}

/// Writes the response to one request; every request gets exactly one.
pub struct Responder {
    stream: BufWriter<TcpStream>,
    keep: bool,
    state: ResponseState,
}

#[derive(PartialEq)]
enum ResponseState {
    Nothing,
    Streaming,
    All,
}

impl Responder {
    /// Sends a complete response.
    pub fn full(&mut self, head: &Head, body: &[u8]) -> io::Result<()> {
        self.state = ResponseState::All;
        self.stream
            .write_all(&full_response(head, body, self.keep))?;
        self.stream.flush()
    }

    /// Sends a value as JSON.
    pub fn json(&mut self, status: u16, value: &impl serde::Serialize) -> io::Result<()> {
        let body = serde_json::to_vec(value)?;
        self.full(&Head::new(status, "application/json"), &body)
    }

    /// Sends a refusal.
    pub fn problem(&mut self, problem: &Problem) -> io::Result<()> {
        self.full(&problem_head(problem), &problem.body())
    }

    /// Starts a chunked response.
    pub fn start(&mut self, head: &Head) -> io::Result<()> {
        self.state = ResponseState::Streaming;
        let mut out = Vec::with_capacity(256);
        head.write(&mut out, self.keep);
        out.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
        self.stream.write_all(&out)?;
        self.stream.flush()
    }

    /// Sends one chunk immediately.
    pub fn chunk(&mut self, content: &[u8]) -> io::Result<()> {
        if content.is_empty() {
            return Ok(());
        }
        write!(self.stream, "{:x}\r\n", content.len())?;
        self.stream.write_all(content)?;
        self.stream.write_all(b"\r\n")?;
        self.stream.flush()
    }

    /// Ends a chunked response; without this call the caller sees the response as broken.
    pub fn end(&mut self) -> io::Result<()> {
        self.state = ResponseState::All;
        self.stream.write_all(b"0\r\n\r\n")?;
        self.stream.flush()
    }

    /// Sends raw bytes, after which the connection is closed; simulated engines break responses
    /// with it.
    pub fn raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.state = ResponseState::Streaming;
        self.stream.write_all(bytes)?;
        self.stream.flush()
    }

    /// Whether any byte of a response was sent.
    pub fn started(&self) -> bool {
        self.state != ResponseState::Nothing
    }
}

struct Connection<'a> {
    stream: TcpStream,
    shared: &'a Shared,
    buffer: BytesMut,
}

enum ReadOutcome {
    Request(Box<Request>),
    Closed,
    Refused(Problem),
}

enum BodyFraming {
    Length(usize),
    Chunked,
}

impl<'a> Connection<'a> {
    fn open(stream: TcpStream, shared: &'a Shared) -> io::Result<Connection<'a>> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(shared.limits.write_timeout))?;
        Ok(Connection {
            stream,
            shared,
            buffer: BytesMut::new(),
        })
    }

    fn run(
        mut self,
        handler: &impl Fn(&Request, &mut Responder) -> io::Result<()>,
    ) -> io::Result<()> {
        loop {
            if !self.wait_for_request()? {
                return Ok(());
            }
            self.shared.busy.fetch_add(1, Ordering::SeqCst);
            let keep_open = self.serve_one(handler);
            self.shared.busy.fetch_sub(1, Ordering::SeqCst);
            if !keep_open? {
                return Ok(());
            }
        }
    }

    /// Reads and answers one request; false when the connection must be closed.
    fn serve_one(
        &mut self,
        handler: &impl Fn(&Request, &mut Responder) -> io::Result<()>,
    ) -> io::Result<bool> {
        let next = self.read_request()?;
        let keep = !self.shared.draining.load(Ordering::SeqCst);
        let mut responder = Responder {
            stream: BufWriter::with_capacity(2048, self.stream.try_clone()?),
            keep,
            state: ResponseState::Nothing,
        };
        match next {
            ReadOutcome::Closed => Ok(false),
            ReadOutcome::Refused(problem) => {
                responder.keep = false;
                responder.problem(&problem)?;
                self.stream.shutdown(Shutdown::Write)?;
                self.discard();
                Ok(false)
            }
            ReadOutcome::Request(request) => {
                let wants_close = request
                    .header("connection")
                    .is_some_and(|v| v.eq_ignore_ascii_case("close"));
                responder.keep = keep && !wants_close;
                handler(&request, &mut responder)?;
                Ok(responder.keep && responder.state == ResponseState::All)
            }
        }
    }

    /// Reads what the caller is still sending, so that a reset does not overtake the refusal.
    fn discard(&mut self) {
        let _ = self.stream.set_read_timeout(Some(IDLE_CHECK_INTERVAL));
        let until = clock::now() + IDLE_CHECK_INTERVAL * 2;
        let mut discarded = [0; READ_BUFFER_BYTES];
        while clock::now() < until {
            match self.stream.read(&mut discarded) {
                Ok(count) if count > 0 => {}
                _ => return,
            }
        }
    }

    /// Waits for the first byte; false after the idle timeout, or when the caller or the server
    /// closes.
    fn wait_for_request(&mut self) -> io::Result<bool> {
        let until = clock::now() + self.shared.limits.idle_timeout;
        while self.buffer.is_empty() {
            if self.shared.closing.load(Ordering::SeqCst) || clock::now() >= until {
                return Ok(false);
            }
            self.stream.set_read_timeout(Some(IDLE_CHECK_INTERVAL))?;
            match self.fill() {
                Ok(0) => return Ok(false),
                Ok(_) => {}
                Err(error) if is_timeout(&error) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut received = [0; READ_BUFFER_BYTES];
        let count = self.stream.read(&mut received)?;
        self.buffer.extend_from_slice(&received[..count]);
        Ok(count)
    }

    /// Reads more bytes before `until`; `None` when the time is up.
    fn fill_until(&mut self, until: Duration) -> io::Result<Option<usize>> {
        let left = until.saturating_sub(clock::now());
        if left.is_zero() {
            return Ok(None);
        }
        self.stream.set_read_timeout(Some(left))?;
        match self.fill() {
            Ok(count) => Ok(Some(count)),
            Err(error) if is_timeout(&error) => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn read_request(&mut self) -> io::Result<ReadOutcome> {
        let until = clock::now() + self.shared.limits.head_timeout;
        let slow = || {
            ReadOutcome::Refused(Problem::not_run(
                RefusalKind::SlowRequest,
                "head not whole in time",
            ))
        };
        loop {
            match parse_head(&self.buffer) {
                Ok(Some((request, length, body))) => {
                    let _ = self.buffer.split_to(length);
                    return self.read_body(request, body);
                }
                Ok(None) if self.buffer.len() > self.shared.limits.head_bytes => {
                    let detail = format!("at most {} bytes", self.shared.limits.head_bytes);
                    return Ok(ReadOutcome::Refused(Problem::not_run(
                        RefusalKind::HeadTooLarge,
                        detail,
                    )));
                }
                Ok(None) => {}
                Err(problem) => return Ok(ReadOutcome::Refused(problem)),
            }
            match self.fill_until(until)? {
                None => return Ok(slow()),
                Some(0) => return Ok(ReadOutcome::Closed),
                Some(_) => {}
            }
        }
    }

    fn read_body(&mut self, mut request: Request, body: BodyFraming) -> io::Result<ReadOutcome> {
        if request.header("expect").is_some() {
            self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        let until = clock::now() + self.shared.limits.body_timeout;
        let read = match body {
            BodyFraming::Length(length) => self.read_length(length, until)?,
            BodyFraming::Chunked => self.read_chunks(until)?,
        };
        match read {
            Ok(Some(body)) => {
                request.body = body;
                Ok(ReadOutcome::Request(Box::new(request)))
            }
            Ok(None) => Ok(ReadOutcome::Closed),
            Err(problem) => Ok(ReadOutcome::Refused(problem)),
        }
    }

    fn too_large(&self) -> Problem {
        let detail = format!("a body of at most {} bytes", self.shared.limits.body_bytes);
        Problem::not_run(RefusalKind::TooLarge, detail)
    }

    fn read_length(
        &mut self,
        length: usize,
        until: Duration,
    ) -> io::Result<Result<Option<Bytes>, Problem>> {
        if length > self.shared.limits.body_bytes {
            return Ok(Err(self.too_large()));
        }
        while self.buffer.len() < length {
            match self.fill_until(until)? {
                None => return Ok(Err(slow_body())),
                Some(0) => return Ok(Ok(None)),
                Some(_) => {}
            }
        }
        Ok(Ok(Some(self.buffer.split_to(length).freeze())))
    }

    fn read_chunks(&mut self, until: Duration) -> io::Result<Result<Option<Bytes>, Problem>> {
        let mut body = BytesMut::new();
        loop {
            let (start, size) = match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((start, size))) => (start, size as usize),
                Ok(httparse::Status::Partial) if self.buffer.len() < READ_BUFFER_BYTES => {
                    match self.fill_until(until)? {
                        None => return Ok(Err(slow_body())),
                        Some(0) => return Ok(Ok(None)),
                        Some(_) => continue,
                    }
                }
                _ => {
                    return Ok(Err(Problem::not_run(
                        RefusalKind::BadRequest,
                        "bad chunk size",
                    )))
                }
            };
            if body.len().saturating_add(size) > self.shared.limits.body_bytes {
                return Ok(Err(self.too_large()));
            }
            let _ = self.buffer.split_to(start);
            match self.read_length(size + 2, until)? {
                Ok(Some(chunk)) if chunk.ends_with(b"\r\n") => {
                    body.extend_from_slice(&chunk[..size]);
                }
                Ok(Some(_)) => {
                    return Ok(Err(Problem::not_run(
                        RefusalKind::BadRequest,
                        "chunk without its end",
                    )))
                }
                other => return Ok(other),
            }
            if size == 0 {
                return Ok(Ok(Some(body.freeze())));
            }
        }
    }
}

fn slow_body() -> Problem {
    Problem::not_run(RefusalKind::SlowRequest, "body not whole in time")
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Parses a request head; `None` while it is incomplete.
fn parse_head(buffer: &[u8]) -> Result<Option<(Request, usize, BodyFraming)>, Problem> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => {
            let detail = format!("at most {HEADERS_MAX} headers");
            return Err(Problem::not_run(RefusalKind::HeadTooLarge, detail));
        }
        Err(error) => return Err(Problem::not_run(RefusalKind::BadRequest, error.to_string())),
    };
    let request = Request {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        headers: parsed
            .headers
            .iter()
            .map(|h| {
                (
                    h.name.to_owned(),
                    String::from_utf8_lossy(h.value).into_owned(),
                )
            })
            .collect(),
        body: Bytes::new(),
    };
    let body = body_framing(&request)?;
    Ok(Some((request, length, body)))
}

/// Determines how the end of the body is known. A request that states it in two ways is refused: a
/// proxy in front might use the other one and take part of the body for a separate request.
fn body_framing(request: &Request) -> Result<BodyFraming, Problem> {
    let bad = |detail: &str| Err(Problem::not_run(RefusalKind::BadRequest, detail));
    let lengths: Vec<&str> = request
        .headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .map(|(_, value)| value.trim())
        .collect();
    match (request.header("transfer-encoding"), lengths.as_slice()) {
        (None, []) => Ok(BodyFraming::Length(0)),
        (None, [length]) if length.bytes().all(|b| b.is_ascii_digit()) => match length.parse() {
            Ok(length) => Ok(BodyFraming::Length(length)),
            Err(_) => bad("bad Content-Length"),
        },
        (Some(coding), []) if coding.eq_ignore_ascii_case("chunked") => Ok(BodyFraming::Chunked),
        _ => bad("the body's length is not clear"),
    }
}
