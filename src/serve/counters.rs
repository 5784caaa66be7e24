//! Metrics of a serving process, and the requests that it has open.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use prometheus::{Gauge, GaugeVec, Histogram, IntCounter, IntCounterVec};
use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};
use tokio::sync::Notify;

use crate::clock;
use crate::id::Name;
use crate::metrics::Metrics;

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RequestKind {
    /// Not known yet: the request has not been read completely.
    Reading,
    /// A request that an endpoint answers.
    Online,
    /// The results of a job.
    Results,
    /// The submission of a job.
    Submission,
    /// The cancellation of a job.
    Cancellation,
    /// The body of an item.
    ItemBody,
    /// A call of another VM.
    Peer,
}

/// Number of open requests by kind.
#[derive(Default)]
pub struct OpenRequests {
    /// Indexed by kind.
    counts: [Cell<usize>; RequestKind::COUNT],
    /// Connections whose first request is expected.
    expected: Cell<usize>,
    /// Whether requests without a reply have to be refused. Never reset.
    refusing: Cell<bool>,
    /// Notified when `refusing` is set.
    refused: Notify,
}

impl OpenRequests {
    /// Counts a request until the returned guard is dropped.
    pub fn begin(self: &Rc<Self>, kind: RequestKind) -> Rc<OpenRequest> {
        self.counts[kind as usize].update(|count| count + 1);
        Rc::new(OpenRequest {
            requests: self.clone(),
            kind: Cell::new(kind),
            began_at: clock::now(),
            id: RefCell::default(),
            status: Cell::new(0),
            reply: Cell::new(ReplyProgress::NotBegun),
        })
    }

    /// Counts a request that has not begun as expected until the returned guard is dropped.
    pub fn expect(self: &Rc<Self>) -> ExpectedRequest {
        self.expected.update(|count| count + 1);
        ExpectedRequest(self.clone())
    }

    /// Whether a caller has opened a connection and may be about to send its first request.
    pub fn is_any_expected(&self) -> bool {
        self.expected.get() > 0
    }

    /// Has all requests refused whose replies have not begun, and all that follow.
    pub fn refuse(&self) {
        self.refusing.set(true);
        self.refused.notify_waiters();
    }

    /// Waits until requests without a reply have to be refused.
    pub async fn refused(&self) {
        while !self.refusing.get() {
            self.refused.notified().await;
        }
    }

    /// Open requests of a kind.
    pub fn count(&self, kind: RequestKind) -> usize {
        self.counts[kind as usize].get()
    }

    /// Open requests of all kinds.
    pub fn total(&self) -> usize {
        self.counts.iter().map(Cell::get).sum()
    }
}

/// Counts a request as expected.
pub struct ExpectedRequest(Rc<OpenRequests>);

impl Drop for ExpectedRequest {
    fn drop(&mut self) {
        self.0.expected.update(|count| count - 1);
    }
}

impl fmt::Display for OpenRequests {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let open = RequestKind::iter().filter(|kind| self.count(*kind) > 0);
        for (at, kind) in open.enumerate() {
            let name: &'static str = kind.into();
            let separator = if at == 0 { "" } else { " " };
            write!(f, "{separator}{name}={}", self.count(kind))?;
        }
        Ok(())
    }
}

/// How much of a reply has been handed to the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ReplyProgress {
    NotBegun,
    /// The head is known; the body is not complete.
    Begun,
    /// All of it has been handed to the connection, which may not have sent it yet.
    Buffered,
    /// The connection has sent all of it.
    Complete,
}

/// Counts a request until its reply has been sent, and logs how it ended.
pub struct OpenRequest {
    requests: Rc<OpenRequests>,
    kind: Cell<RequestKind>,
    began_at: Duration,
    /// The caller's id of the request, or the job that it is about; empty until it has been read.
    id: RefCell<Name>,
    /// Status of the reply; 0 until it is known.
    status: Cell<u16>,
    reply: Cell<ReplyProgress>,
}

impl OpenRequest {
    /// What the request asks for.
    pub fn kind(&self) -> RequestKind {
        self.kind.get()
    }

    /// Counts the request as another kind from now on.
    pub fn set_kind(&self, kind: RequestKind) {
        let counts = &self.requests.counts;
        let before = self.kind.replace(kind);
        counts[before as usize].update(|count| count - 1);
        counts[kind as usize].update(|count| count + 1);
    }

    /// Names the request in the log.
    pub fn set_id(&self, id: &str) {
        self.id.replace(id.into());
    }

    /// Notes that the reply begins with this status.
    pub fn reply_begun(&self, status: u16) {
        self.status.set(status);
        self.reply.set(ReplyProgress::Begun);
    }

    /// Notes that all of the reply has been handed to the connection.
    pub fn reply_buffered(&self) {
        self.reply.set(ReplyProgress::Buffered);
    }

    /// Notes that the connection has sent all that was handed to it.
    pub fn buffer_sent(&self) {
        if self.reply.get() == ReplyProgress::Buffered {
            self.reply.set(ReplyProgress::Complete);
        }
    }

    /// Logs requests whose reply is not complete, and all requests on jobs, which have no other line.
    fn log_end(&self) {
        let kind = self.kind();
        let complete = match self.reply.get() {
            ReplyProgress::Complete => true,
            // Connections of other VMs don't report what they have sent.
            ReplyProgress::Buffered => kind == RequestKind::Peer,
            ReplyProgress::NotBegun | ReplyProgress::Begun => false,
        };
        let has_own_line = matches!(kind, RequestKind::Online | RequestKind::Peer);
        if complete && (has_own_line || kind == RequestKind::Reading) {
            return;
        }
        let (kind, reply): (&'static str, &'static str) = (kind.into(), self.reply.get().into());
        let age_ms = clock::now().saturating_sub(self.began_at).as_millis() as u64;
        log::info!(
            kind,
            id = **self.id.borrow(),
            status = self.status.get(),
            reply,
            age_ms;
            "call ended"
        );
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.requests.counts[self.kind() as usize].update(|count| count - 1);
        self.log_end();
    }
}

/// Counters, gauges and histograms of one process.
pub struct Counters {
    pub metrics: Metrics,
    /// Requests that are open, by kind.
    pub open_requests: GaugeVec,
    /// Replies to callers, by route kind and outcome.
    pub requests: IntCounterVec,
    /// Refusals by this system itself, by reason.
    pub refusals: IntCounterVec,
    /// Streams that callers resume, by how their origin was found.
    pub streams_resumed: IntCounterVec,
    /// Items whose text was dropped, since no endpoint of its software version could go on in time.
    pub items_restarted: IntCounter,
    /// Attempts at endpoints, by outcome.
    pub attempts: IntCounterVec,
    /// Endpoints that went silent, sent again, or turned out unreachable or ended, by state.
    pub endpoint_silences: IntCounterVec,
    /// New connections to endpoints.
    pub connections: IntCounter,
    /// Open connections of callers.
    pub caller_connections: Gauge,
    /// Bytes of callers' bodies.
    pub body_bytes: Gauge,
    /// Connections that were closed because there were too many, by which.
    pub connections_closed: IntCounterVec,
    /// Transitions of endpoints, by transition and by the source that reported it.
    pub endpoint_transitions: IntCounterVec,
    /// Changes of an endpoint's state by the evidence of the failure domain, by state.
    pub evidence_changes: IntCounterVec,
    /// Endpoints that evidence keeps out of use.
    pub evidence_ejected: Gauge,
    /// Runs during which their endpoint ended.
    pub runs_ended: IntCounter,
    /// Quarantine verdicts on requests whose endpoints ended, by verdict and source.
    pub quarantine_verdicts: IntCounterVec,
    /// Requests in quarantine.
    pub quarantined: Gauge,
    /// Suspects that delay this VM's items.
    pub items_quarantined: Gauge,
    /// Runs and items that were not sent because their request is quarantined.
    pub quarantine_refusals: IntCounter,
    /// Endpoints that stay in use although their entries are gone from the store.
    pub endpoints_kept: Gauge,
    /// Time since the store last confirmed a subject, by subject.
    pub confirmation_age: GaugeVec,
    /// Watches that missed a change which another call on the store reported.
    pub silent_watches: IntCounter,
    /// Calls on the store for what a followed VM had not confirmed in time.
    pub followed_refreshes: IntCounter,
    /// Services that became short of slots.
    pub shortages: IntCounter,
    /// Services that are short of slots.
    pub short_services: Gauge,
    /// Calls on the metadata store, by kind and outcome.
    pub store_calls: IntCounterVec,
    /// Batch items, by event.
    pub items: IntCounterVec,
    /// Milliseconds for which slots were free while items waited, by reason.
    pub idle_slot_ms: IntCounterVec,
    /// Seconds from a job's submission to its acceptance.
    pub job_accepted_seconds: Histogram,
    /// Jobs that this VM took over, by how.
    pub jobs_taken: IntCounterVec,
    /// Seconds from a request's arrival to the first event for its caller.
    pub first_event_seconds: Histogram,
    /// Seconds from a request's arrival to the end of its reply.
    pub answer_seconds: Histogram,
}

impl Counters {
    /// All metrics at zero.
    pub fn new() -> Counters {
        let metrics = Metrics::default();
        Counters {
            open_requests: metrics.gauges(
                "bramley_open_requests",
                "Requests that are open, by kind.",
                &["kind"],
            ),
            requests: metrics.counters(
                "bramley_requests_total",
                "Answers to callers.",
                &["kind", "outcome"],
            ),
            refusals: metrics.counters(
                "bramley_refusals_total",
                "Refusals by reason.",
                &["reason"],
            ),
            streams_resumed: metrics.counters(
                "bramley_streams_resumed_total",
                "Streams that callers resume, by how the software that began them was found.",
                &["origin"],
            ),
            items_restarted: metrics.counter(
                "bramley_batch_items_restarted_total",
                "Items that start again, since their software version can't go on in time.",
            ),
            attempts: metrics.counters(
                "bramley_attempts_total",
                "Tries at endpoints.",
                &["outcome"],
            ),
            endpoint_silences: metrics.counters(
                "bramley_endpoint_silences_total",
                "Endpoints that went silent, sent again, or turned out unreachable or ended.",
                &["state"],
            ),
            connections: metrics.counter(
                "bramley_endpoint_connections_total",
                "New connections to endpoints.",
            ),
            caller_connections: metrics
                .gauge("bramley_caller_connections", "Open connections of callers."),
            body_bytes: metrics.gauge(
                "bramley_body_bytes",
                "Bytes of bodies that are being read or whose requests are served.",
            ),
            connections_closed: metrics.counters(
                "bramley_connections_closed_total",
                "Connections that were closed because there were too many.",
                &["connection"],
            ),
            endpoint_transitions: metrics.counters(
                "bramley_endpoint_transitions_total",
                "What became of endpoints, and on whose word.",
                &["transition", "from"],
            ),
            evidence_changes: metrics.counters(
                "bramley_endpoint_evidence_changes_total",
                "Changes of endpoints' states by shared evidence.",
                &["state"],
            ),
            evidence_ejected: metrics.gauge(
                "bramley_endpoints_ejected_by_evidence",
                "Endpoints that shared evidence keeps out of use.",
            ),
            runs_ended: metrics.counter(
                "bramley_runs_ended_with_endpoint_total",
                "Runs under which their endpoint ended.",
            ),
            quarantine_verdicts: metrics.counters(
                "bramley_quarantine_total",
                "What became of requests that endpoints ended under, and on whose word.",
                &["verdict", "by"],
            ),
            quarantined: metrics.gauge(
                "bramley_quarantine_held",
                "Requests that are held back since they end their endpoints.",
            ),
            items_quarantined: metrics.gauge(
                "bramley_quarantine_items_held",
                "Requests and prompt segments that delay the items of this process.",
            ),
            quarantine_refusals: metrics.counter(
                "bramley_quarantine_refusals_total",
                "Runs that were not made of requests that are held back.",
            ),
            endpoints_kept: metrics.gauge(
                "bramley_endpoints_kept",
                "Endpoints that are used although their entries are gone.",
            ),
            confirmation_age: metrics.gauges(
                "bramley_proof_age_seconds",
                "Age of the store's youngest word that what is known is all there is.",
                &["subject"],
            ),
            silent_watches: metrics.counter(
                "bramley_silent_watches_total",
                "Watches that had missed what another call on the store told.",
            ),
            followed_refreshes: metrics.counter(
                "bramley_followed_refreshes_total",
                "Calls on the store for what a followed VM had not confirmed in time.",
            ),
            shortages: metrics.counter(
                "bramley_shortages_total",
                "Times that a service became short of slots, as seen by this VM.",
            ),
            short_services: metrics.gauge(
                "bramley_short_services",
                "Services that are short of slots, as seen by this VM.",
            ),
            store_calls: metrics.counters(
                "bramley_store_calls_total",
                "Calls on the metadata store.",
                &["call", "outcome"],
            ),
            items: metrics.counters(
                "bramley_batch_items_total",
                "Batch items by what happened to them.",
                &["what"],
            ),
            idle_slot_ms: metrics.counters(
                "bramley_idle_slot_milliseconds_total",
                "Free slots beside items that wait at this VM, times how long.",
                &["reason"],
            ),
            job_accepted_seconds: metrics.time_histogram(
                "bramley_job_accepted_seconds",
                "From a job's submission to its acceptance.",
            ),
            jobs_taken: metrics.counters(
                "bramley_jobs_taken_total",
                "Jobs that came into the hands of this VM.",
                &["how"],
            ),
            first_event_seconds: metrics.time_histogram(
                "bramley_first_event_seconds",
                "From arrival to the first event for the caller.",
            ),
            answer_seconds: metrics.time_histogram(
                "bramley_answer_seconds",
                "From arrival to the end of the answer.",
            ),
            metrics,
        }
    }
}

impl Default for Counters {
    fn default() -> Counters {
        Counters::new()
    }
}
