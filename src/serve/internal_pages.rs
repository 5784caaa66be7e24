//! Internal HTTP pages for the load balancer, for operators and for other VMs.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use strum::IntoEnumIterator;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::body::{self, BodyAborted, CountedBody};
use super::counters::RequestKind;
use super::endpoint_news;
use super::job_table::Job;
use super::jobs;
use super::live_watch;
use super::node::Node;
use super::peers;
use super::quarantine;
use super::quotas;
use super::relay;
use super::replies::{self, Reply};
use super::results;
use super::streams;
use super::waiting_page;
use crate::clock;
use crate::decide::admission::Shortage;
use crate::decide::endpoints::Endpoint;
use crate::decide::evidence::EvidenceListing;
use crate::decide::freshness::StoreSubject;
use crate::decide::idle::IdleReason;
use crate::decide::online::ServiceQueue;
use crate::decide::quarantine::QuarantineListing;
use crate::decide::quota::QuotaUse;

/// State of the process, for operators.
#[derive(Serialize)]
struct Dump {
    vm: String,
    stage: &'static str,
    ready: bool,
    rules: Option<u64>,
    proofs: Vec<ConfirmationRow>,
    endpoints_revision: u64,
    living_vms: usize,
    /// Whether this VM is a delegate of its failure domain.
    delegate: bool,
    /// Whether this VM knows all endpoints, not a subset.
    all_endpoints: bool,
    requests: usize,
    items: usize,
    items_running: usize,
    waiting: Vec<ServiceQueue>,
    /// Capacity of each service, whether it is short and this VM's part of it; empty while
    /// admission by capacity is off.
    admission: Vec<Shortage>,
    endpoints: Vec<EndpointRow>,
    jobs: Vec<JobRow>,
    /// Streams on record by the software that began them.
    streams: Vec<streams::StreamCount>,
    /// Requests whose endpoints ended while running them.
    quarantine: Vec<QuarantineListing>,
    /// Workspaces that have a quota and recent requests at this VM.
    quotas: Vec<QuotaUse>,
    store_answers: bool,
}

/// Time since the store last confirmed a subject.
#[derive(Serialize)]
struct ConfirmationRow {
    subject: StoreSubject,
    age_ms: Option<u64>,
}

#[derive(Serialize)]
struct EndpointRow {
    name: String,
    software: String,
    usable: bool,
    online_here: u32,
    online_elsewhere: u32,
    batch: u32,
    ejected_for_ms: u64,
    /// Failures and successes within the failure domain.
    #[serde(skip_serializing_if = "Option::is_none")]
    evidence: Option<EvidenceListing>,
}

#[derive(Serialize)]
struct JobRow {
    id: String,
    items: usize,
    listed: usize,
    cancelled: bool,
    runs_here: bool,
}

/// Path under which operators release a quarantined request, followed by its fingerprint.
const RELEASE_PATH: &str = "/quarantine/release/";
/// Maximum lifetime of a connection from another VM, which sends one request on it and waits at
/// most 2.6 s.
///
/// A connection can go silent, and nothing then shows that the other VM gave up on it. Without the
/// limit its descriptor would stay in use until the process ends, and after thousands of them no
/// caller could connect.
pub const PEER_CONNECTION_LIFETIME_MAX: Duration = Duration::from_secs(10);
/// Maximum lifetime of a connection from the load balancer or an operator, whose scrapes may be a
/// minute apart.
pub const PAGE_CONNECTION_LIFETIME_MAX: Duration = Duration::from_secs(600);
/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!(error:% = error; "connections to the internal pages can't be accepted")
            }
        }
        sleep(ACCEPT_RETRY_DELAY).await;
    }
}

/// Serves pages on one listener until the process ends. No connection lasts longer than
/// `lifetime_max`, and those beyond `connections_max` are closed at once.
pub async fn serve<B, F>(
    node: Rc<Node>,
    listener: TcpListener,
    lifetime_max: Duration,
    connections_max: usize,
    handler: impl Fn(Rc<Node>, Request<Incoming>) -> F + Copy + 'static,
) where
    B: Body<Data = Bytes, Error = BodyAborted> + 'static,
    F: Future<Output = Response<B>> + 'static,
{
    let connections = Arc::new(Semaphore::new(connections_max));
    loop {
        let stream = accept(&listener).await;
        let Ok(counted) = connections.clone().try_acquire_owned() else {
            let closed = &node.counters.connections_closed;
            closed.with_label_values(&["internal"]).inc();
            continue;
        };
        let node = node.clone();
        spawn_local(async move {
            let _counted = counted;
            let service = service_fn(|request| {
                let reply = handler(node.clone(), request);
                async move { Ok::<Response<B>, Infallible>(reply.await) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // An error is a client that disconnected, or the end of the lifetime.
            let _ = timeout(lifetime_max, served).await;
        });
    }
}

/// Readiness: whether new callers may be sent to this VM.
pub async fn readiness(node: Rc<Node>, _request: Request<Incoming>) -> Reply {
    match node.ready() {
        true => replies::empty(200),
        false => replies::empty(503),
    }
}

/// Pages for operators: metrics, the state dump, waiting work and the quarantine.
pub async fn operator_pages(node: Rc<Node>, request: Request<Incoming>) -> Reply {
    match request.uri().path() {
        "/metrics" => {
            update_idle_counters(&node);
            update_open_requests(&node);
            update_confirmation_ages(&node);
            update_callers(&node);
            replies::binary(Bytes::from(node.counters.metrics.page().body))
        }
        "/dump" => replies::json(200, Bytes::from(dump(&node))),
        "/why" => replies::json(200, waiting_page::page(&node)),
        "/quarantine" => replies::json(200, quarantine::operators_page(&node)),
        path => match path.strip_prefix(RELEASE_PATH) {
            Some(fingerprint) if request.method() == Method::POST => release(&node, fingerprint),
            _ => replies::empty(404),
        },
    }
}

/// Releases a quarantined request so that it may run again.
fn release(node: &Node, fingerprint: &str) -> Reply {
    let Ok(fingerprint) = fingerprint.parse() else {
        return replies::empty(400);
    };
    let released = quarantine::release(node, fingerprint);
    let answer = serde_json::json!({ "released": released });
    replies::json(200, Bytes::from(answer.to_string()))
}

/// Updates the counters of idle slot time from the scheduler's totals.
fn update_idle_counters(node: &Node) {
    let core = node.core.borrow();
    for reason in IdleReason::iter() {
        let name: &'static str = reason.into();
        let counter = node.counters.idle_slot_ms.with_label_values(&[name]);
        let lost_ms = core.items.idle.lost(reason).as_millis() as u64;
        counter.inc_by(lost_ms.saturating_sub(counter.get()));
    }
}

fn update_open_requests(node: &Node) {
    for kind in RequestKind::iter() {
        let name: &'static str = kind.into();
        let gauge = node.counters.open_requests.with_label_values(&[name]);
        gauge.set(node.open_requests.count(kind) as f64);
    }
}

fn update_callers(node: &Node) {
    let counters = &node.counters;
    counters
        .caller_connections
        .set(node.connections.count() as f64);
    counters.body_bytes.set(node.bodies.held_bytes() as f64);
}

fn update_confirmation_ages(node: &Node) {
    let now = clock::now();
    let core = node.core.borrow();
    for subject in StoreSubject::iter() {
        let name: &'static str = subject.into();
        let age = core.freshness.age(now, subject);
        let gauge = node.counters.confirmation_age.with_label_values(&[name]);
        gauge.set(age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
    }
}

/// Requests from other VMs.
pub async fn peer_pages(node: Rc<Node>, request: Request<Incoming>) -> Response<CountedBody> {
    // A VM that follows this one's watch asks again elsewhere.
    let is_counted = !request.uri().path().starts_with(live_watch::PATH);
    let open = is_counted.then(|| node.open_requests.begin(RequestKind::Peer));
    body::counted(answer_peer(&node, request).await, open)
}

async fn answer_peer(node: &Rc<Node>, request: Request<Incoming>) -> Reply {
    match request.uri().path() {
        relay::PATH => relay::answer(node, request.into_body()).await,
        path @ (endpoint_news::PATH
        | endpoint_news::SOFTWARE_PATH
        | endpoint_news::CONFIRMED_PATH) => {
            let path = path.to_owned();
            endpoint_news::answer(node, &path, request.into_body()).await
        }
        path @ (streams::PATH | streams::STARTS_PATH) => {
            let path = path.to_owned();
            streams::answer(node, &path, request.into_body()).await
        }
        path if path.starts_with(live_watch::PATH) => live_watch::answer(node, path).await,
        path if path.starts_with(results::PATH) => results::answer(node, path).await,
        path if path.starts_with(jobs::ENDED_PATH) => jobs::receive_ended(node, path).await,
        path => peers::answer_fetch(node, path),
    }
}

fn dump(node: &Node) -> Vec<u8> {
    let now = clock::now();
    let core = node.core.borrow();
    let (items, items_running) = core.items.counts();
    let endpoint = |row: &Endpoint| EndpointRow {
        name: row.config.name.to_string(),
        software: row.config.software.to_string(),
        usable: row.usable(now),
        online_here: row.online_here,
        online_elsewhere: row.online_elsewhere,
        batch: row.batch,
        ejected_for_ms: row.ejected_until.saturating_sub(now).as_millis() as u64,
        evidence: core.online.evidence.list(now, row.id),
    };
    let job = |job: &Job| JobRow {
        id: job.record.id.to_string(),
        items: job.record.items.len(),
        listed: job.record.listed.len(),
        cancelled: job.record.cancelled,
        runs_here: job.record.owner == node.owner,
    };
    let confirmation = |subject| ConfirmationRow {
        subject,
        age_ms: core
            .freshness
            .age(now, subject)
            .map(|age| age.as_millis() as u64),
    };
    let proofs = StoreSubject::iter().map(confirmation).collect();
    let dump = Dump {
        vm: node.settings.name.to_string(),
        stage: core.stage.into(),
        ready: core.routes.is_some() && core.discovery.is_loaded(),
        rules: core.routes.as_ref().map(|table| table.rules.version),
        proofs,
        endpoints_revision: core.discovery.revision,
        living_vms: core.peers.living_vms(now),
        delegate: core.peers.is_delegate(node.vm),
        all_endpoints: core.discovery.holds_all(),
        requests: node.open_requests.total(),
        items,
        items_running,
        waiting: core.online.waiting(now),
        admission: core.admission.shortages(),
        endpoints: core.online.endpoints.rows.iter().map(endpoint).collect(),
        jobs: core.jobs.rows.values().map(job).collect(),
        streams: streams::counts(node),
        quarantine: quarantine::list(&core),
        quotas: quotas::usage(&core, now),
        store_answers: node.store_answers.get(),
    };
    // The dump consists of numbers and strings, so JSON can represent all of it.
    serde_json::to_vec_pretty(&dump).unwrap_or_default()
}
