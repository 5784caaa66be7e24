//! Connections to endpoints.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::heads;
use crate::clock;
use crate::id::EndpointId;

/// A listening process accepts a connection within a round trip, which takes milliseconds between
/// failure domains, and a lost packet is sent again only after a second. Waiting longer gains
/// nothing, and the rest of the time to the first event is needed for another endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// A host that accepts connections for a process that is gone closes them within this time.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(20);
/// Largest buffer of a connection, and so the largest head of an answer.
const BUFFER_BYTES_MAX: usize = 64 * 1024;
/// How long an idle connection is kept if its endpoint names no timeout.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(2);
/// Part of the endpoint's idle timeout after which a connection is not used again: a request that
/// crosses the endpoint's close is lost and may not be repeatable.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;
/// Idle connections kept to one endpoint: about its number of slots, which is what is used at once.
const IDLE_CONNECTIONS_MAX: usize = 8;

/// Why an attempt received no head.
#[derive(Debug, Snafu, Clone, PartialEq)]
pub enum Error {
    /// No byte reached the endpoint.
    #[snafu(display("not sent: {detail}"))]
    NotSent { detail: String },
    /// The host refused the connection: no process listens at the address.
    #[snafu(display("not sent: {detail}"))]
    Refused { detail: String },
    /// The endpoint may have received the request.
    #[snafu(display("no answer: {detail}"))]
    NoAnswer { detail: String },
}

/// One connection. Dropping it resets the socket at once, which makes the endpoint stop, and
/// discards unsent data.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// When the connection was established, or shortly after.
    pub opened_at: Duration,
    /// No request was sent on it before, so no stray answer can arrive.
    pub unused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection that is not counted among those of an endpoint.
    pub async fn open(address: &str) -> Result<Connection, Error> {
        Connection::open_counted(address, |_| None).await
    }

    /// Opens a connection; `count` is called with the time at which it was established, and what it
    /// returns is dropped when the connection ends.
    async fn open_counted(
        address: &str,
        count: impl FnOnce(Duration) -> Option<CountedConnection>,
    ) -> Result<Connection, Error> {
        let not_sent = |detail: String| Error::NotSent { detail };
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = match connect {
            Ok(stream) => stream.map_err(connect_error)?,
            Err(_) => return Err(not_sent("the connection was not opened in time".into())),
        };
        let nodelay = stream.set_nodelay(true);
        nodelay.map_err(|error| not_sent(error.to_string()))?;
        // A reset on close discards data that the kernel has not sent yet. Without it, when the
        // network to an endpoint is cut and a request is given up there and answered by another
        // endpoint, its bytes would still arrive once the network is back, seconds after the
        // endpoint announced that it is leaving.
        let reset = stream.set_zero_linger();
        reset.map_err(|error| not_sent(error.to_string()))?;
        let handshake = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|error| not_sent(error.to_string()))?;
        let opened_at = clock::now();
        let counted = count(opened_at);
        let task = tokio::task::spawn_local(async move {
            let _counted = counted;
            // The error is also returned to the task that waits for the answer.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            opened_at,
            unused: true,
        })
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        let sent = self.sender.try_send_request(request).await;
        self.unused = false;
        let response = sent.map_err(|mut error| {
            let detail = error.error().to_string();
            match error.take_message() {
                Some(_) => Error::NotSent { detail },
                None => Error::NoAnswer { detail },
            }
        })?;
        heads::check(&response).map_err(|error| Error::NoAnswer {
            detail: error.to_string(),
        })?;
        Ok(response)
    }

    fn usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }
}

/// Open connections by endpoint: when each of them was opened.
type OpenConnections = Rc<RefCell<HashMap<EndpointId, Vec<Duration>>>>;

/// Counts one connection as open until it is dropped.
struct CountedConnection {
    open: OpenConnections,
    endpoint: EndpointId,
    opened_at: Duration,
}

impl CountedConnection {
    fn new(open: &OpenConnections, endpoint: EndpointId, opened_at: Duration) -> CountedConnection {
        let mut rows = open.borrow_mut();
        rows.entry(endpoint).or_default().push(opened_at);
        CountedConnection {
            open: open.clone(),
            endpoint,
            opened_at,
        }
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        let mut rows = self.open.borrow_mut();
        let Some(row) = rows.get_mut(&self.endpoint) else {
            return;
        };
        if let Some(at) = row.iter().position(|at| *at == self.opened_at) {
            row.swap_remove(at);
        }
        if row.is_empty() {
            rows.remove(&self.endpoint);
        }
    }
}

struct Idle {
    connection: Connection,
    until: Duration,
}

fn connect_error(error: std::io::Error) -> Error {
    let detail = error.to_string();
    match error.kind() {
        ErrorKind::ConnectionRefused => Error::Refused { detail },
        _ => Error::NotSent { detail },
    }
}

/// What the host of an address does with a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostCheck {
    /// It refuses the connection: no process listens there.
    Refused,
    /// It closes the connection at once, as a proxy in front of a process that has ended does, and an
    /// endpoint with too many connections.
    Closed,
    /// It keeps the connection, or answers nothing.
    NotClosed,
}

/// Opens a connection to find out whether a process serves at an address.
pub async fn check_host(address: &str) -> HostCheck {
    let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let mut stream = match connect {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return HostCheck::Refused;
        }
        Ok(Err(_)) | Err(_) => return HostCheck::NotClosed,
    };
    // A serving endpoint sends nothing before it receives a request.
    match timeout(CLOSE_TIMEOUT, stream.read(&mut [0])).await {
        Ok(_) => HostCheck::Closed,
        Err(_) => HostCheck::NotClosed,
    }
}

/// Idle connections by endpoint.
pub struct Pool {
    /// Idle connections to all endpoints together.
    idle_max: usize,
    idle: RefCell<HashMap<EndpointId, Vec<Idle>>>,
    open: OpenConnections,
}

impl Pool {
    /// Keeps at most `idle_max` idle connections.
    pub fn new(idle_max: usize) -> Pool {
        Pool {
            idle_max,
            idle: RefCell::default(),
            open: OpenConnections::default(),
        }
    }

    /// Opens a connection to an endpoint.
    pub async fn open(&self, endpoint: EndpointId, address: &str) -> Result<Connection, Error> {
        Connection::open_counted(address, |opened_at| {
            Some(CountedConnection::new(&self.open, endpoint, opened_at))
        })
        .await
    }

    /// Whether a connection to an endpoint that was opened until `opened_until` is still open.
    pub fn has_open(&self, endpoint: EndpointId, opened_until: Duration) -> bool {
        let rows = self.open.borrow();
        let row = rows.get(&endpoint);
        row.is_some_and(|row| row.iter().any(|opened_at| *opened_at <= opened_until))
    }

    /// Takes the most recently used idle connection to an endpoint.
    pub fn take(&self, endpoint: EndpointId) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint)?;
        let now = clock::now();
        while let Some(entry) = connections.pop() {
            if now < entry.until && entry.connection.usable() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Takes the most recently used idle connection to an endpoint for which a condition holds.
    pub fn take_if(
        &self,
        endpoint: EndpointId,
        condition: impl Fn(&Connection) -> bool,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint)?;
        let now = clock::now();
        let is_fit = |entry: &Idle| {
            now < entry.until && entry.connection.usable() && condition(&entry.connection)
        };
        let at = connections.iter().rposition(is_fit)?;
        Some(connections.remove(at).connection)
    }

    /// Keeps a connection whose answer was read to its end. `keep_alive` is the endpoint's idle
    /// timeout.
    pub fn put(&self, endpoint: EndpointId, connection: Connection, keep_alive: Option<Duration>) {
        let lifetime = keep_alive.map_or(IDLE_TIMEOUT_DEFAULT, |timeout| {
            timeout.mul_f64(IDLE_TIMEOUT_SHARE)
        });
        let mut idle = self.idle.borrow_mut();
        let idle_total: usize = idle.values().map(Vec::len).sum();
        let connections = idle.entry(endpoint).or_default();
        if connections.len() < IDLE_CONNECTIONS_MAX && idle_total < self.idle_max {
            let until = clock::now() + lifetime;
            connections.push(Idle { connection, until });
        }
    }

    /// Closes all idle connections to an endpoint.
    pub fn clear(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().remove(&endpoint);
    }

    /// Closes connections that have been idle too long or that the endpoint closed.
    pub fn tick(&self, now: Duration) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|entry| now < entry.until && !entry.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}
