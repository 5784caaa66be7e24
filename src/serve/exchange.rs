//! One attempt of a request at an endpoint, up to the head of the answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::response;
use hyper::{Method, Request, Uri};

use super::dialect::{AnswerHead, Attempt, PromptSegment};
use super::node::Node;
use super::pool::{self, Connection, HostCheck};
use super::processes::{self, EntrySource};
use crate::decide::discovery::{ConnectedProcess, EndpointProcess, SoftwareCheck};
use crate::decide::quarantine::{Fingerprint, RequestIdentity, RunIdentity};
use crate::decide::retry::AttemptStage;
use crate::id::{EndpointId, Name};

/// Hop-by-hop headers, and headers that the client library writes itself.
const HOP_BY_HOP_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Prompt segments in one log line; further ones are left out.
const SEGMENTS_LOGGED_MAX: usize = 16;

/// The request to send, the same for every attempt.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// Id of the caller's attempt, which the endpoint echoes.
    pub id: String,
    pub method: Method,
    /// Path and query as the caller sent them.
    pub target: String,
    /// The caller's headers without those of its connection.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Whether the request may run twice.
    pub repeatable: bool,
    /// Workspace of the caller; `None` for a caller without a key.
    pub workspace: Option<Name>,
    pub prompt: Vec<PromptSegment>,
}

impl Outgoing {
    /// Identifies repeated submissions of the same request.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(&RequestIdentity {
            caller: self.workspace.as_deref().unwrap_or_default().as_bytes(),
            method: self.method.as_str(),
            host: self.header(header::HOST),
            target: &self.target,
            body: &self.body,
        })
    }

    /// What a run of the request may be suspected by.
    pub fn identity(&self) -> RunIdentity {
        let segments = self.prompt.iter().map(|segment| segment.id);
        RunIdentity::new(self.fingerprint(), segments)
    }

    /// Method, host and path, for logs and operators.
    pub fn label(&self) -> String {
        let host = String::from_utf8_lossy(self.header(header::HOST));
        let path = self.target.split('?').next().unwrap_or_default();
        format!("{} {host}{path}", self.method)
    }

    /// Ids of the prompt's first segments, for logs.
    pub fn prompt_label(&self) -> String {
        let segments = self.prompt.iter().take(SEGMENTS_LOGGED_MAX);
        let ids: Vec<String> = segments
            .map(|segment| format!("{:x}", segment.id))
            .collect();
        ids.join(",")
    }

    fn header(&self, name: HeaderName) -> &[u8] {
        let value = self.headers.get(name);
        value.map_or(&[], HeaderValue::as_bytes)
    }
}

/// The endpoint that an attempt is sent to.
#[derive(Debug, Clone)]
pub struct Target {
    pub endpoint: EndpointId,
    pub address: String,
    pub instance: String,
    pub process: EndpointProcess,
    /// Software version of the process; empty if it is not known.
    pub software: Name,
}

impl Target {
    /// The process that is assumed to have accepted a connection.
    pub fn connected(&self, connection: &Connection) -> ConnectedProcess {
        ConnectedProcess {
            process: self.process.clone(),
            software: self.software.clone(),
            connected_at: connection.opened_at,
        }
    }
}

/// The head of an answer, and what is needed to read its body.
pub struct Answer {
    pub head: response::Parts,
    pub decoded: AnswerHead,
    pub body: Incoming,
    pub connection: Connection,
}

/// An attempt without an answer that can be passed on.
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    pub stage: AttemptStage,
    /// The endpoint is at fault.
    pub endpoint_at_fault: bool,
    /// The connection broke while the request was in flight.
    pub connection_lost: bool,
    /// The endpoint's host refused the connection, so the endpoint has ended.
    pub endpoint_ended: bool,
    /// Not sent, since it could not be confirmed which process serves at the endpoint's address.
    pub software_unconfirmed: bool,
    pub detail: String,
}

impl Failure {
    /// A failure that is the endpoint's fault.
    pub fn of_endpoint(reach: AttemptStage, detail: impl Into<String>) -> Failure {
        Failure {
            stage: reach,
            endpoint_at_fault: true,
            connection_lost: false,
            endpoint_ended: false,
            software_unconfirmed: false,
            detail: detail.into(),
        }
    }

    /// The connection broke while the request was in flight.
    pub fn of_connection(reach: AttemptStage, detail: impl Into<String>) -> Failure {
        Failure {
            connection_lost: true,
            ..Failure::of_endpoint(reach, detail)
        }
    }

    /// A failure that is not the endpoint's fault.
    pub fn not_of_endpoint(reach: AttemptStage, detail: impl Into<String>) -> Failure {
        Failure {
            endpoint_at_fault: false,
            ..Failure::of_endpoint(reach, detail)
        }
    }
}

/// Copies the end-to-end headers, without hop-by-hop headers and those that `Connection` names.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let dropped = HOP_BY_HOP_HEADERS.contains(&name.as_str())
            || named.iter().any(|dropped| dropped == name.as_str());
        if !dropped {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// How a request is sent.
#[derive(Debug, Clone, Copy, Default)]
pub struct SendOptions {
    /// What is left of the caller's time.
    pub time_left: Option<Duration>,
    pub last_event: Option<u64>,
    /// The run continues what another one has made, so that it may be sent only to a process that is
    /// known to have the endpoint's software version.
    pub continues: bool,
}

/// Sends a request and checks that the returned head belongs to it.
///
/// A request that may not be repeated uses a new connection: the endpoint may be closing an idle
/// one at that moment, and a lost request could not be distinguished from one that ran.
pub async fn send(
    node: &Rc<Node>,
    target: &Target,
    out: &Outgoing,
    options: SendOptions,
) -> Result<Answer, Failure> {
    let mut idle = match out.repeatable {
        true => take_idle(node, target, options.continues),
        false => None,
    };
    loop {
        let was_idle = idle.is_some();
        let mut connection = match idle.take() {
            Some(connection) => connection,
            None => open(node, target).await?,
        };
        if options.continues {
            let checked = check_software(node, target, &connection, EntrySource::Store).await;
            if let Err(failure) = checked {
                // It may be confirmed later on.
                node.pool.put(target.endpoint, connection, None);
                return Err(failure);
            }
        }
        let unused = connection.unused;
        let request = build_request(node, target, out, options)?;
        let response = match connection.send(request).await {
            Ok(response) => response,
            // The endpoint had closed the idle connection: nothing was sent, so a new connection may
            // work.
            Err(pool::Error::NotSent { .. }) if was_idle => continue,
            Err(error) => return Err(failure_of(error)),
        };
        node.note_endpoint_data(target.endpoint);
        let (head, body) = response.into_parts();
        let decoded = (node.dialect.answer_head)(head.status, &head.headers);
        check_answer(&out.id, unused, &decoded)?;
        return Ok(Answer {
            head,
            decoded,
            body,
            connection,
        });
    }
}

/// Takes an idle connection, preferably one to a confirmed process if `continues`.
fn take_idle(node: &Node, target: &Target, continues: bool) -> Option<Connection> {
    let confirmed = continues.then(|| {
        let core = node.core.borrow();
        node.pool.take_if(target.endpoint, |connection| {
            let check = core.discovery.check_software(&target.connected(connection));
            check == SoftwareCheck::Confirmed
        })
    });
    let confirmed = confirmed.flatten();
    confirmed.or_else(|| node.pool.take(target.endpoint))
}

/// Has a confirmed connection ready for a run that continues another one.
///
/// The call on the store that confirms it confirms what was opened before too, so that the process
/// which began the run needs no call of its own afterwards.
pub async fn prepare(node: &Rc<Node>, target: &Target) -> Result<(), Failure> {
    let connection = match take_idle(node, target, true) {
        Some(connection) => connection,
        None => open(node, target).await?,
    };
    let checked = check_software(node, target, &connection, EntrySource::Fleet).await;
    node.pool.put(target.endpoint, connection, None);
    checked
}

/// Checks that a connection leads to the software version that its endpoint is registered with.
async fn check_software(
    node: &Rc<Node>,
    target: &Target,
    connection: &Connection,
    source: EntrySource,
) -> Result<(), Failure> {
    let check = processes::confirm_by(node, &target.connected(connection), source).await;
    let detail = match check {
        SoftwareCheck::Confirmed => return Ok(()),
        SoftwareCheck::Replaced => "another process serves at the endpoint's address",
        SoftwareCheck::MayBeReplaced => "another process may serve at the endpoint's address",
        SoftwareCheck::NotConfirmed => "it is not known which process serves at the address",
    };
    Err(Failure {
        software_unconfirmed: check == SoftwareCheck::NotConfirmed,
        ..Failure::not_of_endpoint(AttemptStage::NotSent, detail)
    })
}

async fn open(node: &Node, target: &Target) -> Result<Connection, Failure> {
    node.counters.connections.inc();
    let opened = node.pool.open(target.endpoint, &target.address).await;
    opened.map_err(failure_of)
}

fn failure_of(error: pool::Error) -> Failure {
    let detail = error.to_string();
    match error {
        pool::Error::NotSent { .. } => Failure::of_endpoint(AttemptStage::NotSent, detail),
        pool::Error::Refused { .. } => Failure {
            endpoint_ended: true,
            ..Failure::of_endpoint(AttemptStage::NotSent, detail)
        },
        pool::Error::NoAnswer { .. } => Failure::of_connection(AttemptStage::MaybeSent, detail),
    }
}

fn build_request(
    node: &Node,
    target: &Target,
    out: &Outgoing,
    options: SendOptions,
) -> Result<Request<Full<Bytes>>, Failure> {
    let unsendable = |detail: String| Failure::not_of_endpoint(AttemptStage::NotSent, detail);
    let uri: Uri = out
        .target
        .parse()
        .map_err(|error: hyper::http::uri::InvalidUri| unsendable(error.to_string()))?;
    let mut request = Request::new(Full::new(out.body.clone()));
    *request.method_mut() = out.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = out.headers.clone();
    let attempt = Attempt {
        instance: &target.instance,
        time_left: options.time_left,
        last_event: options.last_event,
        workspace: out.workspace.as_deref(),
    };
    (node.dialect.attempt_headers)(request.headers_mut(), &attempt);
    Ok(request)
}

/// Checks that an answer belongs to this request.
///
/// An endpoint may send an answer twice, and the second copy would be read as the answer to the
/// next request on the connection. The echoed id prevents that; an answer without an id is accepted
/// only on a connection that carried no request before.
fn check_answer(id: &str, unused: bool, decoded: &AnswerHead) -> Result<(), Failure> {
    match &decoded.attempt {
        Some(echoed) if echoed != id => {
            let detail = format!("the answer belongs to attempt {echoed}");
            return Err(Failure::of_endpoint(AttemptStage::MaybeSent, detail));
        }
        None if !unused => {
            return Err(Failure::of_endpoint(
                AttemptStage::MaybeSent,
                "the answer has no attempt id",
            ));
        }
        _ => {}
    }
    if decoded.not_run {
        return Err(Failure {
            endpoint_at_fault: decoded.wrong_instance,
            ..Failure::of_endpoint(AttemptStage::Refused, "refused")
        });
    }
    Ok(())
}

/// How a complete answer speaks for the request that got it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEvidence {
    /// It was a success of known length.
    Complete,
    /// It was a success that ended with its connection, as it does when its endpoint crashes.
    UntilClose,
    /// It was an error.
    Error,
}

impl AnswerEvidence {
    pub fn of(head: &response::Parts, body: &impl Body) -> AnswerEvidence {
        let has = |name| head.headers.contains_key(name);
        // Some answers, such as a 204, have no body whatever their head says.
        let has_length =
            has(header::CONTENT_LENGTH) || has(header::TRANSFER_ENCODING) || body.is_end_stream();
        match (head.status.is_success(), has_length) {
            (true, true) => AnswerEvidence::Complete,
            (true, false) => AnswerEvidence::UntilClose,
            (false, _) => AnswerEvidence::Error,
        }
    }
}

/// How long the endpoint keeps the connection open: `None` if the connection can't be reused,
/// `Some(None)` if the answer names no timeout.
pub fn keep_alive(head: &response::Parts) -> Option<Option<Duration>> {
    let text = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
    let closes = text(header::CONNECTION.as_str())
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closes {
        return None;
    }
    let seconds = text("keep-alive")
        .and_then(|value| {
            value
                .split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.trim().parse().ok());
    Some(seconds.map(Duration::from_secs))
}

/// Whether an answer that has ended may be taken for whole.
///
/// An answer without a length ends with its connection, and so it does when its process is killed. Such
/// a process accepts no connection any more.
pub async fn is_whole(target: &Target, evidence: AnswerEvidence) -> bool {
    match evidence {
        AnswerEvidence::UntilClose => pool::check_host(&target.address).await != HostCheck::Refused,
        AnswerEvidence::Complete | AnswerEvidence::Error => true,
    }
}
