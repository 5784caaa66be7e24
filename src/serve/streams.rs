//! Origins of streams: tells other VMs which software began a stream, and finds out where a caller's
//! stream may go on. The decisions are made in [`crate::decide::stream_origins`].

pub mod records;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::ask::{ask, reply, AskError};
use super::node::Node;
use super::peers::{seal, Datagram};
use super::processes;
use super::replies::{self, Reply};
use crate::clock;
use crate::decide::discovery::{unknown_software, ConnectedProcess, SoftwareCheck};
use crate::decide::routes::Route;
use crate::decide::stream_origins::{StreamOrigin, StreamRecord, StreamStart};
use crate::id::{self, Name, ServiceId, StreamId};
use crate::util;

/// Path under which another VM is asked for a stream.
pub const PATH: &str = "/streams";
/// The same for an answer with the stream's process. Programs that don't know this path answer 404.
pub const STARTS_PATH: &str = "/streams/starts";
/// Largest query.
const QUERY_BYTES_MAX: usize = 1024;
/// Time for all answers of other VMs: many times a round trip between failure domains, and short
/// compared with the gap after which callers abandon a stream.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Time to find out which versions a service has: a caller abandons its stream after a gap of two
/// seconds.
const STORED_TIMEOUT: Duration = Duration::from_millis(1000);
/// Mean `Retry-After` of a stream that can't go on here: another VM may know more, and its caller
/// abandons it after a gap of two seconds.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time beyond twice the timeout of a route, one for each of two attempts, for which its callers may
/// return.
const RETURN_MARGIN: Duration = Duration::from_secs(5);

/// How the origin of a caller's stream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OriginSource {
    /// A record of this VM.
    OwnRecord,
    /// A record of another VM.
    PeerRecord,
    /// The service has had a single version for longer than any stream lasts.
    SoleVersion,
    /// The same by the records in the metadata store.
    StoredVersion,
    /// There is a record, but another process may have begun the stream.
    Unconfirmed,
    NotKnown,
}

/// When the caller of a stream that can't go on here may try another VM.
pub fn retry_after() -> Duration {
    RETRY_AFTER.mul_f64(util::rng().random_range(0.5..1.5))
}

/// Longest time after its first event for which a caller may return for a stream of a route.
pub fn lifetime(route: &Route) -> Duration {
    2 * route.timeout + RETURN_MARGIN
}

/// The stream that a caller's attempt belongs to.
pub fn stream_id(attempt: &str) -> StreamId {
    id::of(attempt)
}

/// Records who began a stream, here and at other VMs.
///
/// This has to happen before the caller receives the first event: if this VM dies right after, the
/// caller resumes the stream at another VM.
pub fn record(
    node: &Node,
    stream: StreamId,
    origin: StreamOrigin,
    connected: &ConnectedProcess,
    time_left: Duration,
) {
    let now = clock::now();
    let check = node.core.borrow().discovery.check_software(connected);
    let origin = match check {
        // Other VMs don't know of the connections that this one has lost.
        SoftwareCheck::Replaced | SoftwareCheck::MayBeReplaced => StreamOrigin {
            software: unknown_software(),
            ..origin
        },
        _ => origin,
    };
    let is_unconfirmed = check != SoftwareCheck::Confirmed && !origin.software.is_empty();
    let start = StreamStart {
        record: StreamRecord::new(stream, origin, time_left),
        process: is_unconfirmed.then(|| connected.process.clone()),
    };
    node.core
        .borrow_mut()
        .streams
        .record_local_start(now, start.clone());
    let datagram = match is_unconfirmed {
        true => Datagram::StreamStart(start),
        false => Datagram::Stream(start.record),
    };
    report(node, &datagram, stream);
    if is_unconfirmed {
        node.process_reads.want();
    }
}

/// Tells the holders of a stream's record about it.
pub fn report(node: &Node, datagram: &Datagram, stream: StreamId) {
    let holders = {
        let core = node.core.borrow();
        core.peers.record_holders(clock::now(), node.domain, stream)
    };
    let Some(sealed) = seal(node, datagram) else {
        return;
    };
    let socket = node.gossip_socket.borrow();
    for to in holders {
        if let Some(socket) = &*socket {
            // A lost datagram costs one of several copies.
            let _ = socket.try_send_to(&sealed, to);
        }
    }
}

/// A stream and the route by which its caller resumes it.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct StreamQuery {
    /// `None` if the caller doesn't name its earlier attempt.
    stream: Option<StreamId>,
    /// The service of the route; `None` if there are several.
    service: Option<ServiceId>,
    /// Longest time since the stream can have begun.
    lifetime: Duration,
}

/// What a VM knows of a stream, for programs that don't know its process.
#[derive(Debug, Default, Serialize, Deserialize)]
struct StreamAnswer {
    record: Option<StreamRecord>,
    /// Always `None`; kept for programs that read it.
    sole: Option<StreamOrigin>,
}

impl StreamQuery {
    fn new(route: &Route, resumes: &str) -> StreamQuery {
        let service = match route.shares.as_slice() {
            [share] => Some(share.service),
            _ => None,
        };
        StreamQuery {
            stream: (!resumes.is_empty()).then(|| stream_id(resumes)),
            service,
            lifetime: lifetime(route),
        }
    }

    /// The start of the stream as this VM knows it, and by when it had begun.
    fn start(&self, node: &Node) -> Option<(StreamStart, Duration)> {
        let core = node.core.borrow();
        let (mut start, known_at) = core.streams.start(clock::now(), self.stream?)?;
        let connected = start.connection_to_confirm(known_at);
        let check = connected.map(|connected| core.discovery.check_software(&connected));
        if check == Some(SoftwareCheck::Confirmed) {
            start.process = None;
        }
        Some((start, known_at))
    }
}

/// Finds out which software began the stream that a caller resumes on a route.
///
/// Whatever is known about all versions of a service must be as new as the caller's request: the
/// stream may have begun just before at a version that has just appeared.
pub async fn find_origin(
    node: &Rc<Node>,
    route: &Route,
    resumes: &str,
) -> (OriginSource, Option<StreamOrigin>) {
    let arrived_at = clock::now();
    let query = StreamQuery::new(route, resumes);
    let known = match query.start(node) {
        Some((start, known_at)) => Some((OriginSource::OwnRecord, start, known_at)),
        None => {
            let told = ask_peers(node, &query).await;
            told.map(|start| (OriginSource::PeerRecord, start, arrived_at))
        }
    };
    if let Some((source, start, known_at)) = known {
        return match confirm_start(node, start, known_at).await {
            Some(origin) => (source, Some(origin)),
            None => (OriginSource::Unconfirmed, None),
        };
    }
    let stored = stored_origin(node, &query, arrived_at);
    match timeout(STORED_TIMEOUT, stored).await.ok().flatten() {
        Some((source, origin)) => (source, Some(origin)),
        None => (OriginSource::NotKnown, None),
    }
}

/// The origin of a stream that had begun by `known_at`, once its process is confirmed.
async fn confirm_start(
    node: &Rc<Node>,
    mut start: StreamStart,
    known_at: Duration,
) -> Option<StreamOrigin> {
    if let Some(connected) = start.connection_to_confirm(known_at) {
        if processes::confirm(node, &connected).await != SoftwareCheck::Confirmed {
            return None;
        }
        start.process = None;
    }
    let origin = start.record.origin.clone();
    let streams = &mut node.core.borrow_mut().streams;
    streams.record_start(clock::now(), start);
    Some(origin)
}

/// The one version that began all recent streams of the service, by the store's records as of
/// `since` or later, or, if other versions have left, by the endpoints as of then.
async fn stored_origin(
    node: &Rc<Node>,
    query: &StreamQuery,
    since: Duration,
) -> Option<(OriginSource, StreamOrigin)> {
    let service = query.service?;
    if query.lifetime > records::COVERED_TIME {
        return None;
    }
    let recorded = records::read(node, service, since).await?;
    if let [software] = recorded.as_slice() {
        let software = software.clone();
        let origin = StreamOrigin { service, software };
        let is_known = !origin.software.is_empty() && node.core.borrow().software.agrees(&origin);
        return is_known.then_some((OriginSource::StoredVersion, origin));
    }
    let is_sole = |software: &Name| recorded.contains(software);
    let sole = || {
        let core = node.core.borrow();
        core.software
            .sole_version(clock::now(), service, query.lifetime)
    };
    sole().filter(is_sole)?;
    processes::refresh(node, since).await;
    if node.core.borrow().discovery.view_confirmed_at() < Some(since) {
        return None;
    }
    let software = sole().filter(is_sole)?;
    Some((
        OriginSource::SoleVersion,
        StreamOrigin { service, software },
    ))
}

/// Asks the other VMs that may know a stream, all at once. The first one that knows it decides.
async fn ask_peers(node: &Rc<Node>, query: &StreamQuery) -> Option<StreamStart> {
    let stream = query.stream?;
    let sources = {
        let now = clock::now();
        let core = node.core.borrow();
        let mut sources = core.peers.record_sources(now, node.domain, stream);
        if sources.is_empty() {
            // This VM has just started and has heard of no other yet.
            let own = node.settings.peer_address;
            let seeds = node.settings.peers.iter().copied();
            sources.extend(seeds.filter(|seed| *seed != own));
        }
        sources
    };
    let mut asked = JoinSet::new();
    for from in sources {
        asked.spawn_local(ask_peer(node.clone(), from, query.clone()));
    }
    let answers = async {
        while let Some(answered) = asked.join_next().await {
            if let Ok(Some(start)) = answered {
                return Some(start);
            }
        }
        None
    };
    timeout(ASK_TIMEOUT, answers).await.ok().flatten()
}

async fn ask_peer(node: Rc<Node>, from: SocketAddr, query: StreamQuery) -> Option<StreamStart> {
    let body = node.key.seal(&query).unwrap_or_default();
    let asked = ask(&node, from, STARTS_PATH, body.clone(), ASK_TIMEOUT).await;
    let asked = match asked {
        Err(AskError::Refused { .. }) => {
            let answer = ask::<StreamAnswer>(&node, from, PATH, body, ASK_TIMEOUT).await;
            answer.map(|answer| answer.record.map(StreamStart::confirmed))
        }
        asked => asked,
    };
    asked.unwrap_or_else(|error| {
        log::debug!(from:% = from, path = STARTS_PATH, error:% = error; "request to another VM failed");
        None
    })
}

/// Answers another VM's question for a stream.
pub async fn answer(node: &Node, path: &str, body: Incoming) -> Reply {
    let Ok(body) = Limited::new(body, QUERY_BYTES_MAX).collect().await else {
        return replies::empty(400);
    };
    let query = match node.key.open::<StreamQuery>(&body.to_bytes()) {
        Ok(query) => query,
        Err(error) => {
            log::warn!(error:% = error; "another VM's query for a stream can't be read");
            return replies::empty(400);
        }
    };
    let start = query.start(node).map(|(start, _)| start);
    if path == STARTS_PATH {
        return reply(node.key.seal(&start));
    }
    let confirmed = start.filter(|start| start.process.is_none());
    reply(node.key.seal(&StreamAnswer {
        record: confirmed.map(|start| start.record),
        sole: None,
    }))
}

/// Streams on record of one service and version, for operators.
#[derive(Serialize)]
pub struct StreamCount {
    service: ServiceId,
    software: Name,
    streams: usize,
}

/// Streams on record by the software that began them.
pub fn counts(node: &Node) -> Vec<StreamCount> {
    let counts = node.core.borrow().streams.by_software().into_iter();
    let count = |(origin, streams): (StreamOrigin, usize)| StreamCount {
        service: origin.service,
        software: origin.software,
        streams,
    };
    let mut counts: Vec<StreamCount> = counts.map(count).collect();
    counts.sort_by(|a, b| (a.service, &a.software).cmp(&(b.service, &b.software)));
    counts
}
