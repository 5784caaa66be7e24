//! Origins of streams: tells other VMs which software began a stream, and finds out where a caller's
//! stream may go on. The decisions are made in [`crate::decide::stream_origins`].

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::ask::{ask, reply};
use super::node::Node;
use super::peers::{seal, Datagram};
use super::replies::{self, Reply};
use crate::clock;
use crate::decide::freshness::StoreSubject;
use crate::decide::routes::Route;
use crate::decide::stream_origins::{StreamOrigin, StreamRecord};
use crate::id::{self, Name, ServiceId, StreamId};
use crate::util;

/// Path under which another VM is asked for a record, followed by the stream.
pub const PATH: &str = "/streams/";
/// Time for all answers of other VMs: many times a round trip between failure domains, and short
/// compared with the gap after which callers abandon a stream.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Mean `Retry-After` of a stream that can't go on here: another VM may know more, and its caller
/// abandons it after a gap of two seconds.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time beyond twice the timeout of its route for which a caller may return for a stream.
const RETURN_MARGIN: Duration = Duration::from_secs(5);
/// Largest confirmation age of the endpoints at which their versions are known to be all: the age
/// that regular confirmations stay below.
const ENDPOINTS_FRESH_AGE_MAX: Duration = Duration::from_millis(1800);

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
    NotKnown,
}

/// When the caller of a stream that can't go on here may try another VM.
pub fn retry_after() -> Duration {
    RETRY_AFTER.mul_f64(util::rng().random_range(0.5..1.5))
}

/// The stream that a caller's attempt belongs to.
pub fn stream_id(attempt: &str) -> StreamId {
    id::of(attempt)
}

/// Records who began a stream, here and at other VMs.
///
/// This has to happen before the caller receives the first event: if this VM dies right after, the
/// caller resumes the stream at another VM.
pub fn record(node: &Node, stream: StreamId, origin: StreamOrigin, time_left: Duration) {
    if origin.software.is_empty() {
        return;
    }
    let now = clock::now();
    let record = StreamRecord::new(stream, origin, time_left);
    let holders = {
        let mut core = node.core.borrow_mut();
        core.streams.record(now, record.clone());
        core.peers.record_holders(now, node.domain, stream)
    };
    let Some(sealed) = seal(node, &Datagram::Stream(record)) else {
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

/// Finds out which software began the stream that a caller resumes on a route.
pub async fn find_origin(
    node: &Rc<Node>,
    route: &Route,
    resumes: &str,
) -> (OriginSource, Option<StreamOrigin>) {
    let stream = stream_id(resumes);
    if !resumes.is_empty() {
        let own = node.core.borrow().streams.get(clock::now(), stream);
        if let Some(record) = own {
            return (OriginSource::OwnRecord, Some(record.origin));
        }
        if let Some(record) = ask_peers(node, stream).await {
            let origin = record.origin.clone();
            node.core.borrow_mut().streams.record(clock::now(), record);
            return (OriginSource::PeerRecord, Some(origin));
        }
    }
    match sole_origin(node, route) {
        Some(origin) => (OriginSource::SoleVersion, Some(origin)),
        None => (OriginSource::NotKnown, None),
    }
}

/// Asks the other VMs that may have a record, all at once.
async fn ask_peers(node: &Rc<Node>, stream: StreamId) -> Option<StreamRecord> {
    let sources = {
        let core = node.core.borrow();
        core.peers.record_sources(clock::now(), node.domain, stream)
    };
    let mut asked = JoinSet::new();
    for from in sources {
        asked.spawn_local(ask_peer(node.clone(), from, stream));
    }
    let found = async {
        while let Some(answered) = asked.join_next().await {
            if let Some(record) = answered.ok().flatten() {
                return Some(record);
            }
        }
        None
    };
    timeout(ASK_TIMEOUT, found).await.ok().flatten()
}

async fn ask_peer(node: Rc<Node>, from: SocketAddr, stream: StreamId) -> Option<StreamRecord> {
    let path = format!("{PATH}{stream:x}");
    let asked = ask::<Option<StreamRecord>>(&node, from, &path, Vec::new(), ASK_TIMEOUT).await;
    asked.unwrap_or_else(|error| {
        log::debug!(from:% = from, path, error:% = error; "request to another VM failed");
        None
    })
}

/// The origin that all recent streams of a route have in common, if its service has had a single
/// version.
///
/// A VM that the store doesn't confirm may not have heard of another version, and a route to several
/// services doesn't tell which of them began the stream.
fn sole_origin(node: &Node, route: &Route) -> Option<StreamOrigin> {
    let now = clock::now();
    let [share] = route.shares.as_slice() else {
        return None;
    };
    let lifetime = 2 * route.timeout + RETURN_MARGIN;
    let core = node.core.borrow();
    let age = core.freshness.age(now, StoreSubject::Endpoints)?;
    if age > ENDPOINTS_FRESH_AGE_MAX {
        return None;
    }
    let software = core.software.sole_version(now, share.service, lifetime)?;
    Some(StreamOrigin {
        service: share.service,
        software,
    })
}

/// Answers another VM's question for a record.
pub fn answer(node: &Node, path: &str) -> Reply {
    let stream = path.strip_prefix(PATH);
    let Some(stream) = stream.and_then(|hex| StreamId::from_str_radix(hex, 16).ok()) else {
        return replies::empty(400);
    };
    let record = node.core.borrow().streams.get(clock::now(), stream);
    reply(node.key.seal(&record))
}

/// Streams on record of one service and version, for operators.
#[derive(serde::Serialize)]
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
