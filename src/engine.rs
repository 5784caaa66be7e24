//! HTTP client for endpoints: model engines and plain services.

use std::io::{BufRead, BufReader, Read};
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use crate::decide::endpoints::EndpointReport;
use crate::decide::retry::AttemptStage;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time without a byte on a stream; also the write timeout of all connections.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
const CALL_READ_TIMEOUT: Duration = Duration::from_secs(600);
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_CONNECTIONS_PER_HOST_MAX: usize = 64;
const IDLE_CONNECTIONS_MAX: usize = 512;
const EVENT_BYTES_MAX: usize = 1024 * 1024;
const ANSWER_BYTES_MAX: usize = 64 * 1024 * 1024;
/// Header with the id of an attempt; engines echo it.
pub const ATTEMPT_HEADER: &str = "X-Attempt-Id";

/// Why an attempt failed.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptError {
    pub stage: AttemptStage,
    /// Whether the failure counts against the endpoint.
    pub blame: bool,
    /// The connection broke after the request was sent.
    pub connection_lost: bool,
    pub detail: String,
}

impl AttemptError {
    fn new(reach: AttemptStage, died: bool, detail: impl Into<String>) -> AttemptError {
        AttemptError {
            stage: reach,
            blame: true,
            connection_lost: died,
            detail: detail.into(),
        }
    }
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub content_type: String,
    pub body: Bytes,
}

/// One request to an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    pub address: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub content_type: &'a str,
    pub attempt: &'a str,
    /// The caller's `Idempotency-Key`, forwarded to plain services.
    pub key: Option<&'a str>,
    pub body: &'a [u8],
    pub timeout: Duration,
}

/// Connection pools for endpoints.
#[derive(Clone)]
pub struct Engines {
    streams: ureq::Agent,
    calls: ureq::Agent,
    /// Never reuses a connection. A pooled connection that the endpoint has closed is only noticed
    /// when a request fails on it; ureq then retries some requests by itself, which a request that
    /// may run at most once does not allow.
    single: ureq::Agent,
    control: ureq::Agent,
}

impl Default for Engines {
    fn default() -> Engines {
        Engines::new()
    }
}

fn agent(read: Duration, idle_per_host: usize) -> ureq::Agent {
    ureq::AgentBuilder::new()
        .timeout_connect(CONNECT_TIMEOUT)
        .timeout_read(read)
        .timeout_write(STREAM_IDLE_TIMEOUT)
        .redirects(0)
        .max_idle_connections(if idle_per_host == 0 {
            0
        } else {
            IDLE_CONNECTIONS_MAX
        })
        .max_idle_connections_per_host(idle_per_host)
        .build()
}

impl Engines {
    /// Creates the connection pools; opens no connection yet.
    pub fn new() -> Engines {
        Engines {
            streams: agent(STREAM_IDLE_TIMEOUT, IDLE_CONNECTIONS_PER_HOST_MAX),
            calls: agent(CALL_READ_TIMEOUT, IDLE_CONNECTIONS_PER_HOST_MAX),
            single: agent(CALL_READ_TIMEOUT, 0),
            control: agent(CONTROL_TIMEOUT, IDLE_CONNECTIONS_PER_HOST_MAX),
        }
    }

    /// Sends a request and reads the complete response.
    pub fn call(&self, call: Call<'_>, idempotent: bool) -> Result<Answer, AttemptError> {
        let agent = if idempotent {
            &self.calls
        } else {
            &self.single
        };
        let response = send(agent, call)?;
        let status = response.status();
        let echoed = response.header(ATTEMPT_HEADER).map(str::to_owned);
        if echoed.is_some_and(|echoed| echoed != call.attempt) {
            return Err(AttemptError::new(
                AttemptStage::MaybeSent,
                false,
                "the answer is another request's",
            ));
        }
        let content_type = response.content_type().to_owned();
        let length = response
            .header("Content-Length")
            .and_then(|l| l.parse::<usize>().ok());
        let mut body = Vec::new();
        let read = response
            .into_reader()
            .take(ANSWER_BYTES_MAX as u64)
            .read_to_end(&mut body);
        read.map_err(|error| AttemptError::new(AttemptStage::MaybeSent, true, error.to_string()))?;
        if length.is_some_and(|length| length != body.len()) || body.len() == ANSWER_BYTES_MAX {
            return Err(AttemptError::new(
                AttemptStage::MaybeSent,
                true,
                "the answer is cut short",
            ));
        }
        if content_type == "application/json"
            && serde_json::from_slice::<serde::de::IgnoredAny>(&body).is_err()
        {
            return Err(AttemptError::new(
                AttemptStage::MaybeSent,
                false,
                "the answer is not whole JSON",
            ));
        }
        Ok(Answer {
            status,
            content_type,
            body: body.into(),
        })
    }

    /// Sends a request whose response is an event stream.
    pub fn stream(&self, call: Call<'_>) -> Result<StreamResponse, AttemptError> {
        let response = send(&self.streams, call)?;
        stream_response(response, call.attempt)
    }

    /// Resumes a stream after `offset` events.
    pub fn resume(
        &self,
        address: &str,
        attempt: &str,
        offset: u64,
        timeout: Duration,
    ) -> Result<StreamResponse, AttemptError> {
        let url = format!("http://{address}/attempts/{attempt}/stream?offset={offset}");
        let sent = self.streams.get(&url).timeout(timeout).call();
        let response = sent
            .map_err(|error| AttemptError::new(AttemptStage::MaybeSent, true, error.to_string()))?;
        stream_response(response, attempt)
    }

    /// Cancels an attempt at its endpoint.
    pub fn cancel(&self, address: &str, attempt: &str) {
        let url = format!("http://{address}/attempts/{attempt}/cancel");
        let _ = self.control.post(&url).call();
    }

    /// Reads an endpoint's load report.
    pub fn load(&self, address: &str) -> Result<EndpointReport, AttemptError> {
        let url = format!("http://{address}/load");
        let failed = |detail: String| AttemptError::new(AttemptStage::MaybeSent, false, detail);
        let response = self
            .control
            .get(&url)
            .call()
            .map_err(|e| failed(e.to_string()))?;
        let mut body = Vec::new();
        let read = response
            .into_reader()
            .take(EVENT_BYTES_MAX as u64)
            .read_to_end(&mut body);
        read.map_err(|e| failed(e.to_string()))?;
        serde_json::from_slice(&body).map_err(|e| failed(e.to_string()))
    }

    /// Sends an order; returns the response status.
    pub fn order(&self, address: &str, order: &impl Serialize) -> Result<u16, AttemptError> {
        let url = format!("http://{address}/orders");
        let body = serde_json::to_vec(order).unwrap_or_default();
        match self.control.post(&url).send_bytes(&body) {
            Ok(response) => Ok(response.status()),
            Err(ureq::Error::Status(status, _)) => Ok(status),
            Err(error) => Err(AttemptError::new(
                AttemptStage::MaybeSent,
                true,
                error.to_string(),
            )),
        }
    }
}

fn send(agent: &ureq::Agent, call: Call<'_>) -> Result<ureq::Response, AttemptError> {
    let url = format!("http://{}{}", call.address, call.path);
    let mut request = agent
        .request(call.method, &url)
        .timeout(call.timeout)
        .set("Content-Type", call.content_type)
        .set(ATTEMPT_HEADER, call.attempt);
    if let Some(key) = call.key {
        request = request.set("Idempotency-Key", key);
    }
    match request.send_bytes(call.body) {
        Ok(response) => Ok(response),
        Err(ureq::Error::Status(503, _)) => Err(AttemptError::new(
            AttemptStage::Refused,
            false,
            "the endpoint takes nothing now",
        )),
        Err(ureq::Error::Status(status, _)) if status >= 500 => Err(AttemptError::new(
            AttemptStage::MaybeSent,
            false,
            format!("the endpoint answered {status}"),
        )),
        Err(ureq::Error::Status(_, response)) => Ok(response),
        Err(ureq::Error::Transport(transport)) => {
            let reach = match transport.kind() {
                ureq::ErrorKind::ConnectionFailed | ureq::ErrorKind::Dns => AttemptStage::NotSent,
                _ => AttemptStage::MaybeSent,
            };
            Err(AttemptError::new(
                reach,
                reach == AttemptStage::MaybeSent,
                transport.to_string(),
            ))
        }
    }
}

/// A stream that has started, or a response that is not a stream.
pub enum StreamResponse {
    Stream(Events),
    Whole(Answer),
}

fn stream_response(
    response: ureq::Response,
    attempt: &str,
) -> Result<StreamResponse, AttemptError> {
    if response
        .header(ATTEMPT_HEADER)
        .is_some_and(|echoed| echoed != attempt)
    {
        return Err(AttemptError::new(
            AttemptStage::MaybeSent,
            false,
            "the answer is another request's",
        ));
    }
    let (status, content_type) = (response.status(), response.content_type().to_owned());
    if status == 200 && content_type == "text/event-stream" {
        let input = BufReader::new(response.into_reader());
        return Ok(StreamResponse::Stream(Events {
            input: Box::new(input),
            events_read: 0,
        }));
    }
    let mut body = Vec::new();
    let read = response
        .into_reader()
        .take(EVENT_BYTES_MAX as u64)
        .read_to_end(&mut body);
    read.map_err(|error| AttemptError::new(AttemptStage::MaybeSent, true, error.to_string()))?;
    Ok(StreamResponse::Whole(Answer {
        status,
        content_type,
        body: body.into(),
    }))
}

/// One event of a stream.
#[derive(Debug, PartialEq)]
pub enum Event {
    /// The event as it is forwarded to the caller, including its empty line.
    Data(Bytes),
    /// The end marker: the stream is complete.
    Done,
}

/// Reads the events of a stream.
pub struct Events {
    input: Box<dyn BufRead + Send>,
    /// Events read on this connection.
    pub events_read: u64,
}

impl Events {
    /// Reads the next event; a stream that ends without the end marker is an error.
    pub fn read(&mut self) -> Result<Event, AttemptError> {
        let broken = |detail: String| AttemptError::new(AttemptStage::MaybeSent, true, detail);
        let mut event = Vec::new();
        loop {
            let before = event.len();
            let read = (&mut self.input)
                .take(EVENT_BYTES_MAX as u64)
                .read_until(b'\n', &mut event);
            let count = read.map_err(|error| broken(error.to_string()))?;
            if count == 0 || event.len() > EVENT_BYTES_MAX {
                return Err(broken("the stream ended without its marker".into()));
            }
            let line = &event[before..];
            if line == b"\n" || line == b"\r\n" {
                break;
            }
        }
        if event.starts_with(b"data: [DONE]") {
            return Ok(Event::Done);
        }
        if event.starts_with(b"data: {\"error\"") {
            let detail = String::from_utf8_lossy(&event).trim().to_owned();
            return Err(AttemptError {
                connection_lost: false,
                ..broken(detail)
            });
        }
        self.events_read += 1;
        Ok(Event::Data(event.into()))
    }
}
