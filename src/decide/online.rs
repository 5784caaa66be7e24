//! Online requests: admission, queueing, routing and retries.
//!
//! A single state machine holds all requests. Each event and each tick may return actions for any
//! of them.

mod silence;

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;

use super::admission::ServiceLimit;
use super::discovery::unknown_software;
use super::endpoints::Endpoints;
use super::evidence::{Evidence, ProbeQuery};
use super::kept_slots::KeptSlots;
use super::refusal::RefusalKind;
use super::retry::{self, AttemptStage, NoRetry, RetryBudget};
use super::routing::{self, NoEndpointReason, Policy, RouteQuery};
use crate::id::{DomainId, EndpointId, Name, RequestId, ServiceId, WorkspaceId};

use self::silence::Successor;
pub use self::silence::{SilenceChange, SuccessorState};

/// Share of a workspace that has no share in the configuration.
pub const SHARE_DEFAULT: f64 = 0.05;
/// Shortest `Retry-After` sent with a refusal.
pub const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);
/// While a service is short, callers are asked to return within this part of their time left: a
/// caller that returns later may have no time for another attempt.
const RETRY_SPREAD_RATIO: f64 = 1.0 / 3.0;
/// Admit a request only if its expected wait is at most this fraction of the maximum.
/// The estimate is sometimes too short, and a request that is admitted and then dropped costs its
/// caller more than an immediate refusal.
const ADMITTED_WAIT_RATIO: f64 = 0.6;
/// Part of the latency goal after which an attempt without a response shows that its endpoint is full.
const UNANSWERED_RATIO: f64 = 0.25;
/// An endpoint that sends nothing on any connection for this long is ejected: many times the
/// interval between two events, and short compared with the seconds until a caller's deadline.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);
/// The same while all slots of the endpoint are taken and requests of this VM may be in its queue.
pub const QUEUED_SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// A response that has begun and then sends nothing for this long counts as silent, even if its endpoint
/// sends on other connections. Events come every few tens of milliseconds, so a stream that pauses
/// for a second is late already.
pub const RESPONSE_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest time for which a service that is no longer configured keeps its configuration: a request
/// may have been routed there before its body has arrived.
pub const RETIRED_SERVICE_TIME: Duration = Duration::from_secs(15);
/// Two ticks further apart than this mean that this process itself was paused.
const PROCESS_PAUSE_MIN: Duration = Duration::from_millis(250);
/// Attempts refused by dead endpoints that one request may have on top of its regular attempts.
/// Each takes about a millisecond, and after this many the VM has ejected all dead endpoints.
const REFUSED_ATTEMPTS_MAX: u32 = 8;
/// Higher priority numbers are treated as this one.
const PRIORITY_MAX: u32 = 8;
/// Weight of the newest sample in the moving average of slot times.
const SLOT_TIME_WEIGHT: f64 = 0.1;

/// Configuration of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceConfig {
    pub first_token_goal: Duration,
    /// Maximum number of queued requests; divided among workspaces by their shares.
    pub queue_limit: usize,
    /// Maximum number of requests in flight from this VM.
    pub max_in_flight: usize,
    pub learn_limit: bool,
    pub shares: HashMap<WorkspaceId, f64>,
}

/// A request as it arrives.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub request: RequestId,
    pub workspace: WorkspaceId,
    /// 0 is the most urgent.
    pub priority: u32,
    pub service: ServiceId,
    pub prefix: u64,
    /// Monotonic time.
    pub deadline: Duration,
    pub idempotent: bool,
    /// A response that broke off can be resumed at another endpoint after the last event received.
    pub resumable: bool,
    /// Maximum number of attempts, the first included.
    pub attempts_max: u32,
    /// The software version that began the stream, if the caller resumes one.
    pub software: Option<Name>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptOutcome {
    Done,
    Failed {
        stage: AttemptStage,
        /// The endpoint caused the failure; refusing an invalid request is not an endpoint fault.
        endpoint_fault: bool,
        /// The endpoint's process has exited.
        endpoint_ended: bool,
    },
    /// The caller disconnected.
    Abandoned,
}

/// Something that happened to a request.
#[derive(Debug, Clone)]
pub enum Event {
    Arrived(Arrival),
    /// The first byte of the response was received.
    FirstToken {
        request: RequestId,
    },
    Ended {
        request: RequestId,
        outcome: AttemptOutcome,
    },
    /// An attempt that was to be given up goes on.
    Kept {
        request: RequestId,
        successor: SuccessorState,
    },
}

/// What the host must do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request; `attempt` starts at 1.
    Send {
        request: RequestId,
        endpoint: EndpointId,
        attempt: u32,
    },
    /// Nothing is received on the attempt's connection any more. Make sure that its successor can be
    /// reached, then close the connection and report the attempt as failed; else report it as kept.
    GiveUp { request: RequestId },
    /// Send the final response, a refusal, now.
    Refuse {
        request: RequestId,
        kind: RefusalKind,
        not_run: bool,
        retry_after: Option<Duration>,
    },
}

#[derive(Debug, Clone)]
struct RequestRow {
    arrival: Arrival,
    arrived_at: Duration,
    sent_at: Duration,
    /// When this attempt was sent, or when data of its response was last received.
    last_received_at: Duration,
    endpoint: Option<EndpointId>,
    attempts: u32,
    /// Attempts refused by the host of a dead endpoint; they do not count as attempts.
    refused_attempts: u32,
    /// Whether any attempt may have run.
    may_have_run: bool,
    /// Data of the response has been received in this attempt.
    answering: bool,
    /// The host was told to give up this attempt.
    given_up: bool,
    /// Where the next attempt goes once this one is given up. Invariant: it is set only while
    /// `given_up`, and `online_here` of the endpoint counts it.
    successor: Option<Successor>,
    /// Until when an attempt that was kept is not given up again.
    kept_until: Duration,
    /// This attempt was sent to an endpoint that the VM had not heard from, and has received nothing.
    is_unproven: bool,
    /// This attempt took over from a silent one, and has received nothing.
    is_moved: bool,
    /// The caller reads too slowly, so that nothing is read from the endpoint.
    is_unread: bool,
    /// This attempt probes an endpoint that was ejected.
    is_probe: bool,
    /// Endpoint against which a failure of this request was counted.
    accused: Option<EndpointId>,
    /// The software version that made the events which the caller has.
    software: Option<Name>,
    /// Software version of the endpoint of the last attempt.
    sent_to_software: Name,
    /// Waits in the queue, before its first attempt or between two. Invariant: it has no attempt in
    /// flight and holds no slot.
    is_queued: bool,
    /// When it began to wait in the queue.
    queued_at: Duration,
}

impl RequestRow {
    fn route_query(&self) -> RouteQuery<'_> {
        RouteQuery {
            service: self.arrival.service,
            prefix: self.arrival.prefix,
            avoid: self.endpoint,
            software: self.software.as_ref(),
        }
    }

    /// From when on its wait counts. The caller of a stream that broke off has had events since it
    /// asked, and a failed attempt may have taken longer than any wait.
    fn waiting_since(&self) -> Duration {
        match self.software.is_some() || self.attempts > 0 {
            true => self.queued_at,
            false => self.arrived_at,
        }
    }

    fn is_in_flight(&self) -> bool {
        self.attempts > 0 && !self.is_queued
    }

    fn has_attempts_left(&self) -> bool {
        let refused_attempts = self.refused_attempts.min(REFUSED_ATTEMPTS_MAX);
        self.attempts < self.arrival.attempts_max + refused_attempts
    }
}

#[derive(Debug, Default, Clone)]
struct ServiceState {
    in_flight: usize,
    in_flight_by_workspace: HashMap<WorkspaceId, usize>,
    queues: HashMap<WorkspaceId, VecDeque<RequestId>>,
    queued: usize,
    /// Those of `queued` that can only be sent to endpoints of one software version, by version.
    queued_streams: HashMap<Name, usize>,
    /// Requests that have arrived since this process started.
    arrivals_total: u64,
    /// Moving average of the time for which a request holds a slot, in seconds.
    slot_time_s: f64,
    kept_slots: KeptSlots,
}

impl ServiceState {
    /// Whether requests are queued that may need the same endpoints. Streams wait for endpoints of
    /// their own software versions and hold up nothing else.
    fn has_queued_before(&self, row: &RequestRow) -> bool {
        match &row.software {
            Some(software) => self.queued_streams_of(software) > 0,
            None => self.queued > self.queued_streams.values().sum(),
        }
    }

    fn queued_streams_of(&self, software: &Name) -> usize {
        self.queued_streams.get(software).copied().unwrap_or(0)
    }
}

/// Load of this VM on one service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OwnLoad {
    /// Requests that have arrived since this process started.
    pub arrivals_total: u64,
    pub in_flight: usize,
    pub queued: usize,
}

/// Queue of one service, for operators.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct ServiceQueue {
    pub service: ServiceId,
    pub in_flight: usize,
    pub queued: usize,
    pub expected_wait_ms: u64,
}

/// State of online requests on one VM.
#[derive(Debug)]
pub struct Online {
    pub endpoints: Endpoints,
    pub services: HashMap<ServiceId, ServiceConfig>,
    /// Services that the configuration no longer has, and since when. Invariant: they are in `services`.
    retired_services: HashMap<ServiceId, Duration>,
    pub policy: Policy,
    /// Whether the host updates [`super::endpoints::Endpoint::last_received_at`] and can perform
    /// [`Action::GiveUp`].
    pub watch_silence: bool,
    /// Limits that are in force while services are short of slots.
    pub limits: HashMap<ServiceId, ServiceLimit>,
    /// What this VM and its failure domain know of failing endpoints.
    pub evidence: Evidence,
    local_domain: DomainId,
    rows: HashMap<RequestId, RequestRow>,
    service_states: HashMap<ServiceId, ServiceState>,
    budget: RetryBudget,
    /// Why requests that were refused after an attempt got no other one. Kept until the next tick.
    no_retries: HashMap<RequestId, NoRetry>,
    /// What the last tick found of silent endpoints.
    silence_changes: Vec<SilenceChange>,
    ticked_at: Duration,
    /// When this process last resumed after a pause of its own. Silence before that time is not
    /// evidence against an endpoint.
    resumed_at: Duration,
    rng: SmallRng,
}

impl Online {
    /// An empty state for a VM in the failure domain `local_domain`.
    pub fn new(local_domain: DomainId, rng: SmallRng) -> Online {
        Online {
            endpoints: Endpoints::default(),
            services: HashMap::new(),
            retired_services: HashMap::new(),
            policy: Policy::Affinity,
            watch_silence: false,
            limits: HashMap::new(),
            evidence: Evidence::default(),
            local_domain,
            rows: HashMap::new(),
            service_states: HashMap::new(),
            budget: RetryBudget::default(),
            no_retries: HashMap::new(),
            silence_changes: Vec::new(),
            ticked_at: Duration::ZERO,
            resumed_at: Duration::ZERO,
            rng,
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrived(arrival) => self.handle_arrival(now, arrival, out),
            Event::FirstToken { request } => self.handle_first_token(now, request),
            Event::Ended { request, outcome } => self.handle_end(now, request, outcome, out),
            Event::Kept { request, successor } => self.handle_kept(now, request, successor),
        }
    }

    /// Records that data of a request's response was received. An attempt that was to be given up
    /// then goes on.
    pub fn note_response(&mut self, now: Duration, request: RequestId) {
        let Some(row) = self.rows.get_mut(&request) else {
            return;
        };
        row.last_received_at = now;
        row.is_unproven = false;
        row.is_moved = false;
        if row.given_up {
            self.handle_kept(now, request, SuccessorState::NotTried);
        }
    }

    /// Records that nothing is read of a request's response because its caller reads too slowly, or that
    /// it is read again.
    pub fn note_unread(&mut self, now: Duration, request: RequestId, is_unread: bool) {
        if let Some(row) = self.rows.get_mut(&request) {
            row.is_unread = is_unread;
            row.last_received_at = now;
        }
    }

    /// Sends queued requests that have room now and drops those that can't be served in time.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        if now > self.ticked_at + PROCESS_PAUSE_MIN {
            self.resumed_at = now;
        }
        self.ticked_at = now;
        self.no_retries.clear();
        self.drop_retired_services(now);
        self.evidence.tick(now, &mut self.endpoints);
        self.endpoints.eject_slow(now);
        if self.watch_silence {
            self.handle_silence(now, out);
        }
        let services: Vec<ServiceId> = self.service_states.keys().copied().collect();
        for service in services {
            self.expire(now, service, out);
            self.dispatch(now, service, out);
        }
    }

    /// Why a request that was refused after an attempt got no other one.
    pub fn take_no_retry(&mut self, request: RequestId) -> Option<NoRetry> {
        self.no_retries.remove(&request)
    }

    /// Applies new configurations of services. One that is no longer configured keeps its old one
    /// until its requests have ended: what was accepted goes on.
    pub fn configure_services(
        &mut self,
        now: Duration,
        services: HashMap<ServiceId, ServiceConfig>,
    ) {
        let old = std::mem::replace(&mut self.services, services);
        let retired_before = std::mem::take(&mut self.retired_services);
        let retired = &mut self.retired_services;
        for (service, config) in old {
            self.services.entry(service).or_insert_with(|| {
                let since = retired_before.get(&service).copied().unwrap_or(now);
                retired.insert(service, since);
                config
            });
        }
    }

    /// Drops the configurations of retired services without requests.
    fn drop_retired_services(&mut self, now: Duration) {
        let (rows, services) = (&self.rows, &mut self.services);
        self.retired_services.retain(|service, since| {
            let is_open = rows.values().any(|row| row.arrival.service == *service);
            let is_kept = is_open || now < *since + RETIRED_SERVICE_TIME;
            if !is_kept {
                services.remove(service);
            }
            is_kept
        });
    }

    /// Number of requests that are queued or in flight.
    pub fn open_requests(&self) -> usize {
        self.rows.len()
    }

    /// State of each service's queue.
    pub fn waiting(&self, now: Duration) -> Vec<ServiceQueue> {
        let queue_of = |(service, state): (&ServiceId, &ServiceState)| ServiceQueue {
            service: *service,
            in_flight: state.in_flight,
            queued: state.queued,
            expected_wait_ms: self.expected_wait(now, *service, state.queued).as_millis() as u64,
        };
        self.service_states.iter().map(queue_of).collect()
    }

    /// Failure domain of this VM.
    pub fn local_domain(&self) -> DomainId {
        self.local_domain
    }

    /// Load of this VM on a service.
    pub fn own_load(&self, service: ServiceId) -> OwnLoad {
        let state = self.service_states.get(&service);
        state.map_or_else(OwnLoad::default, |state| OwnLoad {
            arrivals_total: state.arrivals_total,
            in_flight: state.in_flight,
            queued: state.queued,
        })
    }

    fn handle_arrival(&mut self, now: Duration, arrival: Arrival, out: &mut Vec<Action>) {
        let request = arrival.request;
        let mut row = RequestRow {
            arrived_at: now,
            sent_at: now,
            last_received_at: now,
            endpoint: None,
            attempts: 0,
            refused_attempts: 0,
            may_have_run: false,
            answering: false,
            given_up: false,
            successor: None,
            kept_until: Duration::ZERO,
            is_unproven: false,
            is_moved: false,
            is_unread: false,
            is_probe: false,
            accused: None,
            software: arrival.software.clone(),
            sent_to_software: unknown_software(),
            is_queued: false,
            queued_at: now,
            arrival,
        };
        let Some(service) = self.services.get(&row.arrival.service) else {
            out.push(refusal(request, RefusalKind::NotFound, true, None));
            return;
        };
        let (queue_limit, max_in_flight) = (service.queue_limit, service.max_in_flight);
        let in_flight_max = self.in_flight_max(now, row.arrival.service, max_in_flight);
        let state = self.service_states.entry(row.arrival.service).or_default();
        state.arrivals_total += 1;
        let free = !state.has_queued_before(&row) && state.in_flight < in_flight_max;
        if now >= row.arrival.deadline {
            out.push(refusal(request, RefusalKind::DeadlinePassed, true, None));
            return;
        }
        let choice = if free {
            self.probe_or_route(now, &mut row)
        } else {
            Err(NoEndpointReason::AllFull)
        };
        match choice {
            Ok(endpoint) => self.send(now, row, endpoint, out),
            Err(NoEndpointReason::NoneUsable) => {
                let retry_after = self.jittered(RETRY_AFTER_MIN * 2);
                let kind = match row.software {
                    Some(_) => RefusalKind::SoftwareGone,
                    None => RefusalKind::NoEndpoint,
                };
                out.push(refusal(request, kind, true, Some(retry_after)));
            }
            Err(NoEndpointReason::AllFull) => self.enqueue(now, row, queue_limit, out),
        }
    }

    /// Chooses an endpoint; one on trial if this VM is to probe it.
    fn probe_or_route(
        &mut self,
        now: Duration,
        row: &mut RequestRow,
    ) -> Result<EndpointId, NoEndpointReason> {
        let query = ProbeQuery {
            service: row.arrival.service,
            is_repeatable: row.arrival.idempotent && row.arrival.attempts_max > 1,
            avoid: row.endpoint,
        };
        if row.attempts > 0 || row.software.is_some() {
            // The failure of a retry accuses nobody, so that it tells nothing. A probe or a kept slot
            // may be at an endpoint where the request's stream can't go on.
            return self.route(now, row);
        }
        let probed = self.evidence.probe(now, query, &self.endpoints);
        row.is_probe = probed.is_some();
        if let Some(endpoint) = probed.or_else(|| self.take_kept_slot(now, row.arrival.service)) {
            return Ok(endpoint);
        }
        self.route(now, row)
    }

    fn take_kept_slot(&mut self, now: Duration, service: ServiceId) -> Option<EndpointId> {
        let state = self.service_states.get_mut(&service)?;
        state.kept_slots.take(now, &self.endpoints)
    }

    /// Limits of a service that are in force: while it is short, and as long as one of this VM's
    /// attempts waits at an endpoint.
    fn limit_in_force(&self, now: Duration, service: ServiceId) -> Option<&ServiceLimit> {
        let limit = self.limits.get(&service)?;
        let goal = self.services.get(&service)?.first_token_goal;
        let unanswered_max = goal.mul_f64(UNANSWERED_RATIO);
        let is_unanswered = |row: &RequestRow| {
            let is_sent = row.arrival.service == service && row.is_in_flight();
            is_sent && !row.answering && now >= row.sent_at + unanswered_max
        };
        (limit.is_short || self.rows.values().any(is_unanswered)).then_some(limit)
    }

    /// Most requests in flight from this VM: `configured`, or less while a limit is in force.
    fn in_flight_max(&self, now: Duration, service: ServiceId, configured: usize) -> usize {
        let limit = self.limit_in_force(now, service);
        let limit = limit.and_then(|limit| limit.in_flight_max);
        limit.map_or(configured, |limit| limit.min(configured))
    }

    fn route(&mut self, now: Duration, row: &RequestRow) -> Result<EndpointId, NoEndpointReason> {
        let chosen = routing::choose(
            &self.endpoints,
            self.local_domain,
            row.route_query(),
            self.policy,
            now,
            &mut self.rng,
        );
        chosen.or_else(|reason| self.choose_silent(now, row).ok_or(reason))
    }

    /// Chooses an endpoint after a failed attempt. With shared evidence that is the one that last
    /// answered this VM: several endpoints that fail at once are all idle, and by load a request
    /// would try one after the other until its attempts are used up.
    fn route_again(
        &mut self,
        now: Duration,
        row: &RequestRow,
    ) -> Result<EndpointId, NoEndpointReason> {
        let proven = match self.evidence.is_enabled() {
            true => routing::choose_proven(&self.endpoints, row.route_query(), now),
            false => None,
        };
        match proven {
            Some(endpoint) => Ok(endpoint),
            None => self.route(now, row),
        }
    }

    fn send(&mut self, now: Duration, mut row: RequestRow, to: EndpointId, out: &mut Vec<Action>) {
        let request = row.arrival.request;
        row.endpoint = Some(to);
        row.is_queued = false;
        row.attempts += 1;
        row.answering = false;
        row.given_up = false;
        row.kept_until = Duration::ZERO;
        row.is_unread = false;
        if row.attempts == 1 {
            self.budget.earn();
        }
        row.sent_at = now;
        row.last_received_at = now;
        row.sent_to_software = unknown_software();
        if let Some(endpoint) = self.endpoints.get_mut(to) {
            endpoint.online_here += 1;
            row.sent_to_software = endpoint.config.software.clone();
        }
        let state = self.service_states.entry(row.arrival.service).or_default();
        state.in_flight += 1;
        *state
            .in_flight_by_workspace
            .entry(row.arrival.workspace)
            .or_default() += 1;
        out.push(Action::Send {
            request,
            endpoint: to,
            attempt: row.attempts,
        });
        self.rows.insert(request, row);
    }

    /// Releases what [`Online::send`] reserved.
    fn release(&mut self, row: &RequestRow) {
        if let Some(endpoint) = row.endpoint {
            self.endpoints.release_online(endpoint);
        }
        let state = self.service_states.entry(row.arrival.service).or_default();
        state.in_flight = state.in_flight.saturating_sub(1);
        if let Some(count) = state.in_flight_by_workspace.get_mut(&row.arrival.workspace) {
            *count = count.saturating_sub(1);
        }
    }

    fn enqueue(
        &mut self,
        now: Duration,
        mut row: RequestRow,
        queue_limit: usize,
        out: &mut Vec<Action>,
    ) {
        let request = row.arrival.request;
        let (service, workspace) = (row.arrival.service, row.arrival.workspace);
        let state = self.service_states.entry(service).or_default();
        let (all_queued, own_queued) = match &row.software {
            Some(software) => {
                let ahead = state.queued_streams_of(software);
                (ahead, ahead)
            }
            None => (
                state.queued,
                state.queues.get(&workspace).map_or(0, VecDeque::len),
            ),
        };
        let share = self.share(service, workspace);
        let workspace_limit = ((queue_limit as f64 * share).ceil() as usize).max(1);
        let wait = self.expected_wait(now, service, queue_position(own_queued, share, all_queued));
        let kind = if own_queued >= workspace_limit {
            Some(RefusalKind::ShareUsed)
        } else if all_queued >= queue_limit {
            Some(RefusalKind::ServiceFull)
        } else if now + wait >= row.arrival.deadline
            || (self.refuses_early(now, service)
                && wait > self.max_wait(now, service).mul_f64(ADMITTED_WAIT_RATIO))
        {
            Some(RefusalKind::DeadlineUnreachable)
        } else {
            None
        };
        if let Some(kind) = kind {
            if row.attempts > 0 {
                self.no_retries.insert(request, NoRetry::QueueFull);
            }
            let retry_after = match self.is_short(service) {
                true => self.spread_retry(now, row.arrival.deadline),
                false => self.jittered(wait.max(RETRY_AFTER_MIN)),
            };
            out.push(refusal(request, kind, !row.may_have_run, Some(retry_after)));
            return;
        }
        let state = self.service_states.entry(service).or_default();
        let queue = state.queues.entry(workspace).or_default();
        let rows = &self.rows;
        let is_stream = |id: &&RequestId| rows.get(id).is_some_and(|row| row.software.is_some());
        // Streams that have begun come first: only some endpoints can serve them, and their callers
        // already wait within an answer.
        let at = match row.software {
            Some(_) => queue.iter().take_while(is_stream).count(),
            None => queue.len(),
        };
        queue.insert(at, request);
        state.queued += 1;
        if let Some(software) = &row.software {
            *state.queued_streams.entry(software.clone()).or_default() += 1;
        }
        row.is_queued = true;
        row.queued_at = now;
        self.rows.insert(request, row);
    }

    /// Longest time that a request may wait and still get its first token near the goal; less with
    /// admission by capacity.
    fn max_wait(&self, now: Duration, service: ServiceId) -> Duration {
        let goal = self.services.get(&service);
        let goal = goal.map_or(Duration::ZERO, |s| s.first_token_goal);
        let limit = self
            .limit_in_force(now, service)
            .and_then(|limit| limit.wait_max);
        limit.map_or(goal, |limit| limit.min(goal))
    }

    fn is_short(&self, service: ServiceId) -> bool {
        let limit = self.limits.get(&service);
        limit.is_some_and(|limit| limit.is_short)
    }

    /// Whether requests are refused by their expected wait. If only this VM's own attempts show that
    /// endpoints are full, others may have slots, and the queue is given the time to drain.
    fn refuses_early(&self, now: Duration, service: ServiceId) -> bool {
        let limit = self.limit_in_force(now, service);
        limit.is_none_or(|limit| limit.is_short)
    }

    /// Retry time while a service is short, spread evenly up to [`RETRY_SPREAD_RATIO`] of the time
    /// that the caller has left.
    fn spread_retry(&mut self, now: Duration, deadline: Duration) -> Duration {
        let time_left = deadline.saturating_sub(now);
        let latest = time_left.mul_f64(RETRY_SPREAD_RATIO).max(RETRY_AFTER_MIN);
        let spread = latest - RETRY_AFTER_MIN;
        RETRY_AFTER_MIN + spread.mul_f64(self.rng.random())
    }

    fn share(&self, service: ServiceId, workspace: WorkspaceId) -> f64 {
        let shares = self.services.get(&service).map(|s| &s.shares);
        shares
            .and_then(|s| s.get(&workspace))
            .copied()
            .unwrap_or(SHARE_DEFAULT)
    }

    /// Expected wait of a request with `ahead` others in front of it.
    fn expected_wait(&self, now: Duration, service: ServiceId, ahead: usize) -> Duration {
        let Some(state) = self.service_states.get(&service) else {
            return Duration::ZERO;
        };
        let rows = self.endpoints.of_service(service);
        let slots: f64 = rows
            .iter()
            .map(|at| &self.endpoints.rows[*at])
            .filter(|row| row.usable(now))
            .map(|row| row.slots(now))
            .sum();
        let max_in_flight = self.services.get(&service).map_or(0, |s| s.max_in_flight);
        let max_in_flight = self.in_flight_max(now, service, max_in_flight) as f64;
        // The slots held by this VM's requests are those it can expect to get back.
        let slots_in_use = (state.in_flight as f64)
            .max(1.0)
            .min(slots.max(1.0))
            .min(max_in_flight.max(1.0));
        Duration::from_secs_f64((ahead as f64 + 1.0) * state.slot_time_s / slots_in_use)
    }

    /// Jitters a retry time by a factor of 0.5 to 1.5, so that callers refused together don't
    /// return together.
    fn jittered(&mut self, about: Duration) -> Duration {
        about
            .mul_f64(self.rng.random_range(0.5..1.5))
            .max(RETRY_AFTER_MIN)
    }

    fn handle_first_token(&mut self, now: Duration, request: RequestId) {
        let Some(row) = self.rows.get_mut(&request) else {
            return;
        };
        row.answering = true;
        row.is_unproven = false;
        row.is_moved = false;
        if row.arrival.resumable && row.software.is_none() {
            row.software = Some(row.sent_to_software.clone());
        }
        let Some(service) = self.services.get(&row.arrival.service) else {
            return;
        };
        let (time, goal) = (now.saturating_sub(row.sent_at), service.first_token_goal);
        let learn = service.learn_limit;
        let Some(endpoint) = row.endpoint.and_then(|id| self.endpoints.get_mut(id)) else {
            return;
        };
        // A pause of the endpoint says nothing about its speed.
        let was_silent =
            endpoint.silent_at.is_some() || Some(row.sent_at) <= endpoint.heard_again_at;
        endpoint.succeeded((!was_silent).then_some(time));
        endpoint.succeeded_at = now;
        self.evidence.succeeded(now, endpoint.id);
        if learn {
            let in_flight = endpoint.online();
            endpoint.limit.observe(now, time, goal, in_flight);
        }
    }

    fn handle_end(
        &mut self,
        now: Duration,
        request: RequestId,
        outcome: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        let Some(mut row) = self.rows.remove(&request) else {
            return;
        };
        if row.is_queued {
            self.dequeue(&row);
            return;
        }
        self.release(&row);
        let successor = self.release_successor(&mut row);
        row.is_unproven = false;
        let is_moved = std::mem::take(&mut row.is_moved);
        let service = row.arrival.service;
        let endpoint = row.endpoint.and_then(|id| self.endpoints.get_mut(id));
        match outcome {
            AttemptOutcome::Done => {
                if let Some(endpoint) = endpoint {
                    endpoint.succeeded(None);
                    if !row.answering {
                        self.evidence.succeeded(now, endpoint.id);
                    }
                }
                self.end_probe(now, &mut row, Some(true));
                let held_s = now.saturating_sub(row.sent_at).as_secs_f64();
                let state = self.service_states.entry(service).or_default();
                let previous_s = if state.slot_time_s == 0.0 {
                    held_s
                } else {
                    state.slot_time_s
                };
                state.slot_time_s =
                    previous_s * (1.0 - SLOT_TIME_WEIGHT) + held_s * SLOT_TIME_WEIGHT;
                self.keep_slot(now, &row);
            }
            AttemptOutcome::Abandoned => self.end_probe(now, &mut row, None),
            AttemptOutcome::Failed {
                stage: reach,
                endpoint_fault: blame,
                endpoint_ended: ended,
            } => {
                if let Some(id) = endpoint.map(|endpoint| endpoint.id).filter(|_| blame) {
                    self.count_failure(now, &mut row, id, reach, ended);
                }
                self.end_probe(now, &mut row, blame.then_some(false));
                row.may_have_run |=
                    matches!(reach, AttemptStage::MaybeSent | AttemptStage::Answering);
                // A stream that was moved may not end because its new endpoint did not take it.
                let did_not_run = matches!(reach, AttemptStage::NotSent | AttemptStage::Refused);
                let is_turned_away = is_moved && did_not_run;
                row.refused_attempts +=
                    u32::from(is_turned_away || (ended && reach == AttemptStage::NotSent));
                if row.given_up {
                    self.count_silence(now, &row);
                }
                let is_left = row.given_up && successor.is_none();
                let is_free = ended || is_left || is_turned_away;
                let row = match successor {
                    Some(successor) => self.send_to_successor(now, row, successor, out),
                    None => Some(row),
                };
                if let Some(row) = row {
                    self.retry(now, row, reach, is_free, out);
                }
            }
        }
        if self.watch_silence {
            self.move_before_queue(now, service, out);
        }
        self.dispatch(now, service, out);
    }

    /// Keeps the slot that a request has left for the next one, if this VM is near its limit.
    fn keep_slot(&mut self, now: Duration, row: &RequestRow) {
        let service = row.arrival.service;
        let limit = self
            .limits
            .get(&service)
            .and_then(|limit| limit.in_flight_max);
        let state = self.service_states.entry(service).or_default();
        let Some(endpoint) = row.endpoint.and_then(|id| self.endpoints.get(id)) else {
            return;
        };
        match limit {
            Some(limit) if KeptSlots::is_near_limit(state.in_flight + 1, limit) => {
                state.kept_slots.keep(now, endpoint, &mut self.rng);
            }
            _ => state.kept_slots.clear(),
        }
    }

    /// Counts a failure caused by the endpoint. A request that fails at two endpoints accuses neither:
    /// the request itself may be the cause.
    fn count_failure(
        &mut self,
        now: Duration,
        row: &mut RequestRow,
        id: EndpointId,
        stage: AttemptStage,
        ended: bool,
    ) {
        if self.evidence.is_enabled() && !ended && stage != AttemptStage::NotSent {
            if let Some(first) = row.accused.filter(|first| *first != id) {
                self.evidence.withdraw(first);
                if let Some(endpoint) = self.endpoints.get_mut(first) {
                    endpoint.withdraw_failure();
                }
                self.evidence.failed_again(now, id);
                self.evidence.tick(now, &mut self.endpoints);
                return;
            }
            row.accused = Some(id);
        }
        self.evidence.failed(now, id, row.answering);
        self.endpoint_failed(now, id, stage, ended);
    }

    /// Records that an endpoint completed a batch item.
    pub fn item_succeeded(&mut self, now: Duration, id: EndpointId) {
        self.evidence.succeeded(now, id);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.succeeded(None);
        }
    }

    /// Counts a failed run of a batch item, caused by the endpoint.
    pub fn item_run_failed(&mut self, now: Duration, id: EndpointId, stage: AttemptStage) {
        self.evidence.failed(now, id, false);
        self.endpoint_failed(now, id, stage, false);
    }

    /// Counts a response of 500 to an item that failed at `failed_at`, the last one just now. An item
    /// that fails at two endpoints accuses neither.
    pub fn item_failed(&mut self, now: Duration, failed_at: &[EndpointId]) {
        if !self.evidence.is_enabled() {
            return;
        }
        match failed_at {
            [only] => self.item_run_failed(now, *only, AttemptStage::MaybeSent),
            [first, second] if first != second => {
                self.evidence.withdraw(*first);
                if let Some(endpoint) = self.endpoints.get_mut(*first) {
                    endpoint.withdraw_failure();
                }
                self.evidence.failed_again(now, *second);
            }
            [.., last] => self.evidence.failed_again(now, *last),
            [] => {}
        }
    }

    fn endpoint_failed(&mut self, now: Duration, id: EndpointId, stage: AttemptStage, ended: bool) {
        let may_eject = self.evidence.allows_local_ejection(now, id);
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        match stage {
            _ if ended => endpoint.eject(now),
            AttemptStage::NotSent => endpoint.unreachable(now),
            _ if may_eject => endpoint.failed(now),
            _ => {}
        }
        self.evidence.tick(now, &mut self.endpoints);
    }

    fn end_probe(&mut self, now: Duration, row: &mut RequestRow, succeeded: Option<bool>) {
        if !std::mem::take(&mut row.is_probe) {
            return;
        }
        if let Some(endpoint) = row.endpoint {
            self.evidence.probe_ended(now, endpoint, succeeded);
            self.evidence.tick(now, &mut self.endpoints);
        }
    }

    /// Retries a failed attempt if permitted.
    ///
    /// An attempt lost because its endpoint ended is not charged to the retry budget, and a
    /// connection refused by a dead endpoint does not use up an attempt. Otherwise, when endpoints
    /// end, the requests they served and those that meet the dead endpoints next are refused
    /// although slots are free. The budget limits the load on endpoints that fail under load; an
    /// ended endpoint loses its requests only once, and a refused connection costs no endpoint
    /// anything. A retry that moves away from an endpoint that evidence shows to be failing is not
    /// charged either.
    fn retry(
        &mut self,
        now: Duration,
        row: RequestRow,
        reach: AttemptStage,
        uncharged: bool,
        out: &mut Vec<Action>,
    ) {
        let request = row.arrival.request;
        let arrival = &row.arrival;
        let permitted = match reach {
            AttemptStage::Answering if arrival.resumable => true,
            _ => retry::allowed(reach, arrival.idempotent),
        };
        let evidence = &self.evidence;
        let frees = |id| evidence.frees_retry(now, id, &self.endpoints);
        let is_free = uncharged || row.endpoint.is_some_and(frees);
        let no_retry = if !permitted {
            NoRetry::NotPermitted
        } else if !row.has_attempts_left() {
            NoRetry::NoAttemptsLeft
        } else if now >= arrival.deadline {
            NoRetry::DeadlinePassed
        } else if !is_free && !self.budget.spend(now) {
            NoRetry::BudgetSpent
        } else {
            match self.route_again(now, &row) {
                Ok(endpoint) => return self.send(now, row, endpoint, out),
                Err(NoEndpointReason::AllFull) => return self.requeue(now, row, out),
                Err(NoEndpointReason::NoneUsable) if row.software.is_some() => {
                    NoRetry::SoftwareGone
                }
                Err(NoEndpointReason::NoneUsable) => NoRetry::NoEndpoint,
            }
        };
        self.no_retries.insert(request, no_retry);
        let kind = match (row.may_have_run, row.arrival.idempotent) {
            _ if no_retry == NoRetry::SoftwareGone => RefusalKind::SoftwareGone,
            (false, _) => RefusalKind::NoEndpoint,
            (true, false) => RefusalKind::OutcomeUnknown,
            (true, true) => RefusalKind::EndpointFailed,
        };
        let not_run = !row.may_have_run;
        let retry_after = self.jittered(RETRY_AFTER_MIN * 2);
        out.push(refusal(request, kind, not_run, Some(retry_after)));
    }

    /// Queues a request again after a failed attempt.
    fn requeue(&mut self, now: Duration, row: RequestRow, out: &mut Vec<Action>) {
        let services = &self.services;
        let limit = services
            .get(&row.arrival.service)
            .map_or(0, |s| s.queue_limit);
        self.enqueue(now, row, limit, out);
    }

    fn dequeue(&mut self, row: &RequestRow) {
        let request = row.arrival.request;
        let Some(state) = self.service_states.get_mut(&row.arrival.service) else {
            return;
        };
        let Some(queue) = state.queues.get_mut(&row.arrival.workspace) else {
            return;
        };
        let before = queue.len();
        queue.retain(|queued| *queued != request);
        let removed = before - queue.len();
        state.queued -= removed;
        if let Some(software) = row.software.as_ref().filter(|_| removed > 0) {
            match state.queued_streams.get_mut(software) {
                Some(count) if *count > 1 => *count -= 1,
                _ => drop(state.queued_streams.remove(software)),
            }
        }
    }

    /// Drops queued requests as soon as they have waited too long, so that callers can go
    /// elsewhere.
    fn expire(&mut self, now: Duration, service: ServiceId, out: &mut Vec<Action>) {
        let max_wait = self.max_wait(now, service);
        let Some(state) = self.service_states.get(&service) else {
            return;
        };
        let expired: Vec<RequestId> = state
            .queues
            .values()
            .flatten()
            .copied()
            .filter(|request| {
                let row = &self.rows[request];
                now >= row.arrival.deadline || now >= row.waiting_since() + max_wait
            })
            .collect();
        for request in expired {
            let Some(row) = self.rows.remove(&request) else {
                continue;
            };
            self.dequeue(&row);
            if row.attempts > 0 {
                self.no_retries.insert(request, NoRetry::WaitedTooLong);
            }
            let kind = if now >= row.arrival.deadline {
                RefusalKind::DeadlinePassed
            } else {
                RefusalKind::DeadlineUnreachable
            };
            let retry_after = match self.is_short(service) {
                true => self.spread_retry(now, row.arrival.deadline),
                false => self.jittered(RETRY_AFTER_MIN * 2),
            };
            out.push(refusal(request, kind, !row.may_have_run, Some(retry_after)));
        }
    }

    /// Sends queued requests while there is room, from the workspace furthest below its share
    /// first. Less urgent requests lower the effective share of a workspace, but never to zero.
    fn dispatch(&mut self, now: Duration, service: ServiceId, out: &mut Vec<Action>) {
        let max_in_flight = self.services.get(&service).map_or(0, |s| s.max_in_flight);
        let max_in_flight = self.in_flight_max(now, service, max_in_flight);
        // Software versions without a free endpoint.
        let mut full = HashSet::new();
        loop {
            let Some(state) = self.service_states.get(&service) else {
                return;
            };
            if state.queued == 0 || state.in_flight >= max_in_flight {
                return;
            }
            let Some(request) = self.furthest_below_share(service, state, &full) else {
                return;
            };
            let Some(mut row) = self.rows.get(&request).cloned() else {
                return;
            };
            let Ok(endpoint) = self.probe_or_route(now, &mut row) else {
                match row.software {
                    Some(software) => full.insert(software),
                    None => return,
                };
                continue;
            };
            self.rows.remove(&request);
            self.dequeue(&row);
            self.send(now, row, endpoint, out);
        }
    }

    /// The first request of the workspace that is furthest below its share, without the streams
    /// whose software versions are `full`.
    fn furthest_below_share(
        &self,
        service: ServiceId,
        state: &ServiceState,
        full: &HashSet<Name>,
    ) -> Option<RequestId> {
        let may_fit = |request: &&RequestId| {
            let row = self.rows.get(*request);
            let software = row.and_then(|row| row.software.as_ref());
            software.is_none_or(|software| !full.contains(software))
        };
        let relative_use = |workspace: WorkspaceId, first: &RequestId| {
            let in_flight = state
                .in_flight_by_workspace
                .get(&workspace)
                .copied()
                .unwrap_or(0);
            let row = self.rows.get(first);
            let weight = row.map_or(1.0, |row| priority_weight(row.arrival.priority));
            let share = self.share(service, workspace) * weight;
            (in_flight as f64 + 1.0) / share.max(f64::EPSILON)
        };
        let waiting = state.queues.iter().filter_map(|(workspace, queue)| {
            let first = queue.iter().find(may_fit)?;
            Some((*workspace, *first, relative_use(*workspace, first)))
        });
        waiting
            .min_by(|a, b| a.2.total_cmp(&b.2).then(a.0.cmp(&b.0)))
            .map(|(_, request, _)| request)
    }
}

/// Factor on a workspace's share, from the priority of the first request in its queue.
fn priority_weight(priority: u32) -> f64 {
    0.5f64.powi(priority.min(PRIORITY_MAX) as i32)
}

/// Number of requests expected to be served before one with `own_queued` requests of its workspace
/// in front of it. With a share of the slots, the workspace's queue moves at that share of the
/// pace, but never slower than the whole queue.
fn queue_position(own_queued: usize, share: f64, all_queued: usize) -> usize {
    ((own_queued as f64 / share.max(f64::EPSILON)) as usize).min(all_queued)
}

fn refusal(
    request: RequestId,
    kind: RefusalKind,
    not_run: bool,
    retry_after: Option<Duration>,
) -> Action {
    Action::Refuse {
        request,
        kind,
        not_run,
        retry_after,
    }
}
