//! Sound endpoints that send nothing for a second and then go on.

use std::collections::HashMap;
use std::time::Duration;

use bramleyseam::decide::endpoints::SILENT_EJECT_MIN;
use bramleyseam::decide::online::{
    Action, Arrival, AttemptOutcome, Event, Online, ServiceConfig, SuccessorState,
    QUEUED_SILENCE_TIMEOUT, RESPONSE_SILENCE_TIMEOUT, RETIRED_SERVICE_TIME, SILENCE_TIMEOUT,
};
use bramleyseam::decide::retry::AttemptStage;
use bramleyseam::id::{EndpointId, RequestId};
use bramleyseam::standin::table::endpoint_configs;
use rand::rngs::SmallRng;
use rand::SeedableRng;

const SERVICE: u64 = 1;
const OTHER_SERVICE: u64 = 2;
const SLOTS: f64 = 4.0;
const TICK: Duration = Duration::from_millis(25);
const PAUSE: Duration = Duration::from_millis(1_200);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn service() -> ServiceConfig {
    ServiceConfig {
        first_token_goal: ms(300),
        queue_limit: 40,
        max_in_flight: 1000,
        learn_limit: false,
        shares: HashMap::from([(0, 1.0)]),
    }
}

/// One VM and its endpoints, some of which are paused.
struct Simulation {
    online: Online,
    now: Duration,
    paused: Vec<EndpointId>,
    /// Streams that have begun, and their endpoints.
    streams: HashMap<RequestId, EndpointId>,
}

impl Simulation {
    /// Endpoints run software "v1", unless `software` says otherwise.
    fn new(endpoints: usize, software: impl Fn(usize) -> &'static str) -> Simulation {
        Simulation::seeded(1, endpoints, software)
    }

    fn seeded(seed: u64, endpoints: usize, software: impl Fn(usize) -> &'static str) -> Simulation {
        let mut online = Online::new(1, SmallRng::seed_from_u64(seed));
        online.watch_silence = true;
        let configs = endpoint_configs(endpoints, SERVICE, SLOTS, |_| 1);
        let configs = configs.enumerate().map(|(at, (id, mut config))| {
            config.software = software(at).into();
            (id, config)
        });
        online.endpoints.configure(configs);
        online.services.insert(SERVICE, service());
        let mut simulation = Simulation {
            online,
            now: ms(1_000),
            paused: Vec::new(),
            streams: HashMap::new(),
        };
        simulation.run_for(TICK);
        simulation
    }

    fn ids(&self) -> Vec<EndpointId> {
        let rows = self.online.endpoints.rows.iter();
        rows.map(|row| row.id).collect()
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.online.handle(self.now, event, &mut out);
        out
    }

    fn arrive(&mut self, request: RequestId) -> Vec<Action> {
        self.handle(Event::Arrived(Arrival {
            request,
            workspace: 0,
            priority: 0,
            service: SERVICE,
            prefix: 0,
            deadline: self.now + ms(5_000),
            idempotent: true,
            resumable: true,
            attempts_max: 2,
            software: None,
        }))
    }

    /// Begins streams; the request ids count from 1.
    fn begin(&mut self, count: u64) {
        for request in 1..=count {
            let endpoint = sent_to(&self.arrive(request)).unwrap();
            self.receive(request, endpoint);
            self.handle(Event::FirstToken { request });
        }
    }

    fn receive(&mut self, request: RequestId, endpoint: EndpointId) {
        self.streams.insert(request, endpoint);
        self.online.note_response(self.now, request);
        if let Some(row) = self.online.endpoints.get_mut(endpoint) {
            row.last_received_at = self.now;
        }
    }

    fn streams_at(&self, endpoint: EndpointId) -> Vec<RequestId> {
        let streams = self.streams.iter();
        let at = streams.filter(|(_, at)| **at == endpoint);
        at.map(|(request, _)| *request).collect()
    }

    /// Lets time pass. Streams at endpoints that are not paused receive events, and all actions are
    /// returned.
    fn run_for(&mut self, time: Duration) -> Vec<Action> {
        let until = self.now + time;
        let mut out = Vec::new();
        while self.now < until {
            self.now += TICK;
            for (request, endpoint) in self.streams.clone() {
                if !self.paused.contains(&endpoint) {
                    self.receive(request, endpoint);
                }
            }
            self.online.tick(self.now, &mut out);
        }
        out
    }

    /// Reports a stream that was given up as closed; returns where it goes on.
    fn close(&mut self, request: RequestId) -> Option<EndpointId> {
        let outcome = AttemptOutcome::Failed {
            stage: AttemptStage::Answering,
            endpoint_fault: false,
            endpoint_ended: false,
        };
        let next = sent_to(&self.handle(Event::Ended { request, outcome }));
        self.streams.remove(&request);
        next
    }

    /// Closes all streams that are given up, and lets them go on.
    fn move_all(&mut self, actions: &[Action]) -> usize {
        let given_up = given_up(actions);
        for request in &given_up {
            let next = self.close(*request).unwrap();
            self.receive(*request, next);
            self.handle(Event::FirstToken { request: *request });
        }
        given_up.len()
    }
}

fn sent_to(actions: &[Action]) -> Option<EndpointId> {
    actions.iter().find_map(|action| match action {
        Action::Send { endpoint, .. } => Some(*endpoint),
        _ => None,
    })
}

fn given_up(actions: &[Action]) -> Vec<RequestId> {
    let id_of = |action: &Action| match action {
        Action::GiveUp { request } => Some(*request),
        _ => None,
    };
    actions.iter().filter_map(id_of).collect()
}

fn refused(actions: &[Action]) -> usize {
    let is_refusal = |action: &&Action| matches!(action, Action::Refuse { .. });
    actions.iter().filter(is_refusal).count()
}

// Streams were closed when the only endpoint paused, although nothing could follow.
#[test]
fn sole_endpoint() {
    let mut simulation = Simulation::new(1, |_| "v1");
    simulation.begin(3);
    simulation.paused = simulation.ids();
    assert_eq!(simulation.run_for(PAUSE), []);
    simulation.paused.clear();
    assert_eq!(simulation.run_for(ms(2_000)), []);
}

// The same when the paused endpoint was the only one of its software version.
#[test]
fn sole_version() {
    let mut simulation = Simulation::new(2, |at| ["v1", "v2"][at]);
    simulation.begin(6);
    let paused = simulation.ids()[0];
    assert!(!simulation.streams_at(paused).is_empty());
    simulation.paused = vec![paused];
    assert_eq!(simulation.run_for(PAUSE), []);
}

// More streams were closed than the retry budget let go on, so most of them were cut.
#[test]
fn beyond_budget() {
    let mut simulation = Simulation::new(5, |_| "v1");
    simulation.begin(10);
    let paused = simulation.ids()[0];
    let count = simulation.streams_at(paused).len();
    assert!(count >= 2, "{count}");
    simulation.paused = vec![paused];
    let actions = simulation.run_for(SILENCE_TIMEOUT + TICK);
    assert_eq!(simulation.move_all(&actions), count);
    assert_eq!(refused(&actions), 0);
}

// Streams were closed although all slots elsewhere were taken; they queued and were cut there.
#[test]
fn slots_taken() {
    let mut simulation = Simulation::new(2, |_| "v1");
    simulation.begin(8);
    simulation.paused = vec![simulation.ids()[0]];
    assert_eq!(simulation.run_for(PAUSE), []);
}

// Only as many streams are given up as there are free slots; the others wait.
#[test]
fn slots_reserved() {
    let mut simulation = Simulation::new(2, |_| "v1");
    simulation.begin(6);
    let [paused, other] = simulation.ids()[..] else {
        unreachable!();
    };
    let free = SLOTS as usize - simulation.streams_at(other).len();
    simulation.paused = vec![paused];
    let actions = simulation.run_for(SILENCE_TIMEOUT + TICK);
    assert_eq!(given_up(&actions).len(), free);
    assert_eq!(simulation.move_all(&actions), free);
    assert_eq!(simulation.run_for(ms(600)), []);
}

// All endpoints pause at once: each stream was closed in favour of one that is silent too. One stream
// at a time may try another endpoint, and none ends.
#[test]
fn all_paused() {
    let mut simulation = Simulation::new(3, |_| "v1");
    simulation.begin(9);
    simulation.paused = simulation.ids();
    assert_eq!(simulation.run_for(PAUSE), []);
    simulation.paused.clear();
    assert_eq!(simulation.run_for(ms(500)), []);
}

// A VM that has heard from no other endpoint tries one with a single stream first.
#[test]
fn unproven_endpoints() {
    let mut simulation = Simulation::new(1, |_| "v1");
    simulation.begin(3);
    let paused = simulation.ids()[0];
    let configs = endpoint_configs(4, SERVICE, SLOTS, |_| 1);
    simulation
        .online
        .endpoints
        .configure(configs.map(|(id, mut config)| {
            config.software = "v1".into();
            (id, config)
        }));
    simulation.paused = vec![paused];
    let first = simulation.run_for(SILENCE_TIMEOUT + TICK);
    assert_eq!(simulation.move_all(&first), 1);
    let rest = simulation.run_for(TICK * 2);
    assert_eq!(simulation.move_all(&rest), 2);
}

// The chosen endpoint can't be reached: the stream is not closed, and the slot is free again.
#[test]
fn successor_unreachable() {
    let mut simulation = Simulation::new(2, |_| "v1");
    simulation.begin(2);
    let [paused, other] = simulation.ids()[..] else {
        unreachable!();
    };
    let request = simulation.streams_at(paused)[0];
    simulation.paused = vec![paused];
    let actions = simulation.run_for(SILENCE_TIMEOUT + TICK);
    assert_eq!(given_up(&actions), [request]);
    assert_eq!(simulation.online.successor(request), Some(other));
    let online_at = |simulation: &Simulation| {
        let row = simulation.online.endpoints.get(other);
        row.map(|row| row.online_here)
    };
    assert_eq!(online_at(&simulation), Some(2));
    let successor = SuccessorState::Unreachable;
    assert_eq!(simulation.handle(Event::Kept { request, successor }), []);
    assert_eq!(online_at(&simulation), Some(1));
    assert_eq!(simulation.online.successor(request), None);
}

// The successor goes out of use while a connection to it is opened: the stream is not closed.
#[test]
fn successor_leaves() {
    let mut simulation = Simulation::new(2, |_| "v1");
    simulation.begin(2);
    let [paused, other] = simulation.ids()[..] else {
        unreachable!();
    };
    let request = simulation.streams_at(paused)[0];
    simulation.paused = vec![paused];
    simulation.run_for(SILENCE_TIMEOUT + TICK);
    let online = &mut simulation.online;
    assert!(online.is_successor_usable(simulation.now, request));
    online.endpoints.get_mut(other).unwrap().leaving = Some(1);
    assert!(!online.is_successor_usable(simulation.now, request));
}

// Data that arrives before the connection was closed keeps the stream where it is.
#[test]
fn heard_in_time() {
    let mut simulation = Simulation::new(2, |_| "v1");
    simulation.begin(2);
    let paused = simulation.ids()[0];
    let request = simulation.streams_at(paused)[0];
    simulation.paused = vec![paused];
    let actions = simulation.run_for(SILENCE_TIMEOUT + TICK);
    assert_eq!(given_up(&actions), [request]);
    simulation.paused.clear();
    simulation.run_for(TICK);
    assert!(!simulation.online.is_given_up(request));
}

// An endpoint was out of use for two seconds after each pause, and its callers were refused.
#[test]
fn used_again() {
    let mut simulation = Simulation::new(1, |_| "v1");
    simulation.begin(1);
    let endpoint = simulation.ids()[0];
    simulation.paused = vec![endpoint];
    simulation.run_for(PAUSE);
    let row = simulation.online.endpoints.get(endpoint).unwrap();
    assert!(row.silent_at.is_some());
    simulation.paused.clear();
    simulation.run_for(TICK);
    for request in 10..13 {
        assert_eq!(sent_to(&simulation.arrive(request)), Some(endpoint));
    }
}

// An attempt was moved to an endpoint that was silent itself, once that one's ejection had passed.
#[test]
fn silent_before() {
    for seed in 0..20 {
        let mut simulation = Simulation::seeded(seed, 3, |_| "v1");
        simulation.begin(1);
        let first = simulation.streams[&1];
        let row = simulation.online.endpoints.get_mut(first).unwrap();
        row.went_silent(simulation.now);
        simulation.handle(Event::Ended {
            request: 1,
            outcome: AttemptOutcome::Abandoned,
        });
        simulation.streams.clear();
        let second = sent_to(&simulation.arrive(2)).unwrap();
        simulation.receive(2, second);
        simulation.handle(Event::FirstToken { request: 2 });
        simulation.run_for(SILENT_EJECT_MIN);
        simulation.paused = vec![second];
        let actions = simulation.run_for(SILENCE_TIMEOUT + TICK);
        assert_eq!(given_up(&actions), [2]);
        assert_ne!(simulation.close(2), Some(first));
    }
}

// A silent endpoint that was out of use for its failures was used again as soon as it sent anything.
#[test]
fn failing_before() {
    let mut simulation = Simulation::new(1, |_| "v1");
    simulation.begin(1);
    let endpoint = simulation.ids()[0];
    if let Some(row) = simulation.online.endpoints.get_mut(endpoint) {
        row.eject(simulation.now);
    }
    let until = simulation.online.endpoints.rows[0].ejected_until;
    simulation.paused = vec![endpoint];
    simulation.run_for(SILENCE_TIMEOUT + TICK);
    assert!(simulation.online.endpoints.rows[0].silent_at.is_some());
    simulation.paused.clear();
    simulation.run_for(TICK);
    let row = &simulation.online.endpoints.rows[0];
    assert!(row.silent_at.is_none() && row.ejected_until >= until);
}

// New requests were refused while all endpoints paused. They may wait there, as others do.
#[test]
fn new_requests() {
    let mut simulation = Simulation::new(2, |_| "v1");
    simulation.begin(2);
    simulation.paused = simulation.ids();
    simulation.run_for(SILENCE_TIMEOUT + TICK);
    let actions = simulation.arrive(10);
    assert!(sent_to(&actions).is_some(), "{actions:?}");
}

// The route moves to another service while the endpoint of a stream is paused: nothing could follow
// at the old service, so the stream was cut.
#[test]
fn service_replaced() {
    let mut simulation = Simulation::new(2, |_| "v1");
    simulation.begin(2);
    let paused = simulation.ids()[0];
    simulation.paused = vec![paused];
    let configured = HashMap::from([(OTHER_SERVICE, service())]);
    let now = simulation.now;
    simulation.online.configure_services(now, configured);
    let actions = simulation.run_for(SILENCE_TIMEOUT + TICK);
    assert_eq!(simulation.move_all(&actions), 1);
    for request in [1, 2] {
        let outcome = AttemptOutcome::Done;
        simulation.handle(Event::Ended { request, outcome });
    }
    simulation.streams.clear();
    simulation.run_for(TICK);
    // A request whose body took long to arrive.
    assert!(sent_to(&simulation.arrive(10)).is_some());
    let outcome = AttemptOutcome::Done;
    simulation.handle(Event::Ended {
        request: 10,
        outcome,
    });
    simulation.run_for(RETIRED_SERVICE_TIME);
    assert!(!simulation.online.services.contains_key(&SERVICE));
}

// The endpoint's host accepts no connections, so it is dead. Callers whose stream can't go on here
// are told at once.
#[test]
fn dead_host() {
    let mut simulation = Simulation::new(1, |_| "v1");
    simulation.begin(1);
    let endpoint = simulation.ids()[0];
    simulation.paused = vec![endpoint];
    assert_eq!(simulation.run_for(SILENCE_TIMEOUT + TICK), []);
    simulation.online.host_checked(endpoint, false);
    let actions = simulation.run_for(TICK);
    assert_eq!(given_up(&actions), [1]);
    assert_eq!(simulation.close(1), None);
}

// A failed connection during the silence left the host marked as unreachable for good, so that streams
// were closed at the endpoint's next pause although nothing could follow.
#[test]
fn host_back() {
    let mut simulation = Simulation::new(1, |_| "v1");
    simulation.begin(1);
    let endpoint = simulation.ids()[0];
    simulation.paused = vec![endpoint];
    simulation.run_for(SILENCE_TIMEOUT + TICK);
    simulation.online.host_checked(endpoint, false);
    if let Some(row) = simulation.online.endpoints.get_mut(endpoint) {
        row.eject(simulation.now);
    }
    simulation.paused.clear();
    simulation.run_for(PAUSE);
    simulation.paused = vec![endpoint];
    assert_eq!(simulation.run_for(PAUSE), []);
}

// The result of an earlier check of the host closed requests that were sent after the endpoint was
// back in use.
#[test]
fn earlier_check() {
    let mut simulation = Simulation::new(1, |_| "v1");
    simulation.begin(1);
    let endpoint = simulation.ids()[0];
    simulation.paused = vec![endpoint];
    simulation.run_for(SILENCE_TIMEOUT + TICK);
    simulation.online.host_checked(endpoint, false);
    let outcome = AttemptOutcome::Abandoned;
    simulation.handle(Event::Ended {
        request: 1,
        outcome,
    });
    simulation.run_for(ms(1_500));
    assert_eq!(sent_to(&simulation.arrive(10)), Some(endpoint));
    assert_eq!(simulation.run_for(PAUSE), []);
}

// The entry of a paused endpoint lapses and returns. Its streams were counted nowhere, so that the
// endpoint got more requests than it has slots.
#[test]
fn entry_returns() {
    let mut simulation = Simulation::new(1, |_| "v1");
    simulation.begin(3);
    let endpoint = simulation.ids()[0];
    let config = simulation.online.endpoints.rows[0].config.clone();
    simulation.online.endpoints.configure([]);
    simulation.run_for(TICK);
    simulation.online.endpoints.configure([(endpoint, config)]);
    let online = |simulation: &Simulation| simulation.online.endpoints.rows[0].online_here;
    assert_eq!(online(&simulation), 3);
    simulation.close(1);
    assert_eq!(online(&simulation), 3);
}

// A connection that is silent while its endpoint sends on others is replaced by a new one, even if
// there is no other endpoint.
#[test]
fn one_connection() {
    let mut simulation = Simulation::new(1, |_| "v1");
    simulation.begin(2);
    let endpoint = simulation.streams.remove(&1).unwrap();
    let actions = simulation.run_for(RESPONSE_SILENCE_TIMEOUT + TICK);
    assert_eq!(given_up(&actions), [1]);
    assert_eq!(simulation.close(1), Some(endpoint));
}

// A request without a response waits as long as one that is in its endpoint's queue before its
// connection is replaced: a paused endpoint answers it later.
#[test]
fn first_event() {
    let mut simulation = Simulation::new(1, |_| "v1");
    simulation.paused = simulation.ids();
    simulation.arrive(1);
    assert_eq!(simulation.run_for(PAUSE), []);
    let actions = simulation.run_for(QUEUED_SILENCE_TIMEOUT - PAUSE);
    assert_eq!(given_up(&actions), [1]);
}

// At full load the queue took each free slot before a silent stream could, so that streams stayed at a
// dead endpoint until their deadlines.
#[test]
fn before_queue() {
    let mut simulation = Simulation::new(2, |_| "v1");
    simulation.begin(8);
    let [paused, other] = simulation.ids()[..] else {
        unreachable!();
    };
    simulation.paused = vec![paused];
    assert_eq!(simulation.run_for(SILENCE_TIMEOUT + TICK), []);
    for request in 20..23 {
        simulation.arrive(request);
    }
    let request = simulation.streams_at(other)[0];
    simulation.streams.remove(&request);
    let outcome = AttemptOutcome::Done;
    let actions = simulation.handle(Event::Ended { request, outcome });
    let moved = given_up(&actions);
    assert_eq!(moved.len(), 1, "{actions:?}");
    assert_eq!(simulation.online.successor(moved[0]), Some(other));
}

// Streams of a dead endpoint were cut once the retry budget was spent, although a slot was free soon after.
#[test]
fn dead_streams() {
    let mut simulation = Simulation::new(2, |_| "v1");
    simulation.begin(8);
    let [dead, _] = simulation.ids()[..] else {
        unreachable!();
    };
    simulation.paused = vec![dead];
    simulation.run_for(SILENCE_TIMEOUT + TICK);
    simulation.online.host_checked(dead, false);
    let actions = simulation.run_for(TICK);
    let closed = given_up(&actions);
    assert_eq!(closed.len(), 4);
    for request in closed {
        simulation.streams.remove(&request);
        let outcome = AttemptOutcome::Failed {
            stage: AttemptStage::Answering,
            endpoint_fault: false,
            endpoint_ended: false,
        };
        let actions = simulation.handle(Event::Ended { request, outcome });
        assert_eq!(refused(&actions), 0, "{actions:?}");
    }
}

// The successor turned the request away, which used up its last attempt, and the stream was cut.
#[test]
fn successor_refuses() {
    let mut simulation = Simulation::new(3, |_| "v1");
    simulation.begin(3);
    let paused = simulation.ids()[0];
    let request = simulation.streams_at(paused)[0];
    simulation.paused = vec![paused];
    let actions = simulation.run_for(SILENCE_TIMEOUT + TICK);
    assert_eq!(given_up(&actions), [request]);
    assert!(simulation.close(request).is_some());
    let outcome = AttemptOutcome::Failed {
        stage: AttemptStage::Refused,
        endpoint_fault: false,
        endpoint_ended: false,
    };
    let actions = simulation.handle(Event::Ended { request, outcome });
    assert!(sent_to(&actions).is_some(), "{actions:?}");
}

// A request that was sent while the endpoint paused made it seem slow, and it was ejected.
#[test]
fn not_slow() {
    let mut simulation = Simulation::new(1, |_| "v1");
    simulation.begin(1);
    let endpoint = simulation.ids()[0];
    simulation.paused = vec![endpoint];
    simulation.run_for(SILENCE_TIMEOUT + TICK);
    simulation.arrive(10);
    simulation.run_for(ms(700));
    simulation.paused.clear();
    simulation.receive(10, endpoint);
    simulation.handle(Event::FirstToken { request: 10 });
    let row = simulation.online.endpoints.get(endpoint).unwrap();
    assert!(row.first_token_ms < 100.0, "{}", row.first_token_ms);
}

// A caller that read too slowly made its sound endpoint seem silent, and it was ejected.
#[test]
fn slow_caller() {
    let mut simulation = Simulation::new(2, |_| "v1");
    simulation.begin(1);
    let endpoint = simulation.streams.remove(&1).unwrap();
    let now = simulation.now;
    simulation.online.note_unread(now, 1, true);
    assert_eq!(simulation.run_for(ms(3_000)), []);
    let row = simulation.online.endpoints.get(endpoint).unwrap();
    assert!(row.usable(simulation.now));
    let now = simulation.now;
    simulation.online.note_unread(now, 1, false);
    let actions = simulation.run_for(SILENCE_TIMEOUT + TICK);
    assert_eq!(given_up(&actions), [1]);
}

// All endpoints that a VM uses paused, and one stream of each VM queued at the same endpoint, which
// paused as well.
#[test]
fn paused_together() {
    let mut simulation = Simulation::new(4, |_| "v1");
    simulation.begin(3);
    simulation.paused = simulation.ids();
    let used: Vec<EndpointId> = simulation.streams.values().copied().collect();
    assert!(used.iter().any(|endpoint| *endpoint != used[0]));
    assert_eq!(simulation.run_for(SILENCE_TIMEOUT + TICK), []);
    for endpoint in used {
        simulation.online.host_checked(endpoint, true);
    }
    assert_eq!(simulation.run_for(PAUSE - SILENCE_TIMEOUT), []);
}
