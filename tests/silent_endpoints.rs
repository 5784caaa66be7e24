//! Endpoints that stop sending, and failed attempts.

use std::collections::HashMap;
use std::time::Duration;

use bramleyseam::decide::online::{
    Action, Arrival, AttemptOutcome, Event, Online, ServiceConfig, QUEUED_SILENCE_TIMEOUT,
    RESPONSE_SILENCE_TIMEOUT, SILENCE_TIMEOUT,
};
use bramleyseam::decide::refusal::RefusalKind;
use bramleyseam::decide::retry::AttemptStage;
use bramleyseam::id::EndpointId;
use bramleyseam::standin::table::endpoint_configs;
use rand::rngs::SmallRng;
use rand::SeedableRng;

const SERVICE: u64 = 1;
const SLOTS: f64 = 4.0;
const TICK: Duration = Duration::from_millis(25);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

struct Simulation {
    online: Online,
    now: Duration,
}

impl Simulation {
    fn new(endpoints: usize) -> Simulation {
        let mut online = Online::new(1, SmallRng::seed_from_u64(1));
        online.watch_silence = true;
        online
            .endpoints
            .configure(endpoint_configs(endpoints, SERVICE, SLOTS, |_| 1));
        let service = ServiceConfig {
            first_token_goal: ms(300),
            queue_limit: 40,
            max_in_flight: 1000,
            learn_limit: false,
            shares: HashMap::from([(0, 1.0)]),
        };
        online.services.insert(SERVICE, service);
        let now = ms(1_000);
        let mut simulation = Simulation { online, now };
        simulation.tick();
        simulation
    }

    fn arrive(&mut self, request: u64, idempotent: bool, attempts_max: u32) -> Vec<Action> {
        self.event(Event::Arrived(Arrival {
            request,
            workspace: 0,
            priority: 0,
            service: SERVICE,
            prefix: 0,
            deadline: self.now + ms(5_000),
            idempotent,
            resumable: idempotent,
            attempts_max,
            software: None,
        }))
    }

    fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.online.handle(self.now, event, &mut out);
        out
    }

    fn failed(&mut self, request: u64, reach: AttemptStage) -> Vec<Action> {
        let outcome = AttemptOutcome::Failed {
            stage: reach,
            endpoint_fault: true,
            endpoint_ended: false,
        };
        self.event(Event::Ended { request, outcome })
    }

    fn tick(&mut self) -> Vec<Action> {
        let mut out = Vec::new();
        self.online.tick(self.now, &mut out);
        out
    }

    /// Ticks for `time`; the endpoint `active` sends something throughout.
    fn run_for(&mut self, time: Duration, active: Option<EndpointId>) -> Vec<Action> {
        let until = self.now + time;
        let mut out = Vec::new();
        while self.now < until {
            self.now += TICK;
            if let Some(row) = active.and_then(|id| self.online.endpoints.get_mut(id)) {
                row.last_received_at = self.now;
            }
            out.extend(self.tick());
        }
        out
    }
}

fn sent_to(actions: &[Action]) -> Option<EndpointId> {
    actions.iter().find_map(|action| match action {
        Action::Send { endpoint, .. } => Some(*endpoint),
        _ => None,
    })
}

fn given_up(actions: &[Action]) -> Vec<u64> {
    let id_of = |action: &Action| match action {
        Action::GiveUp { request } => Some(*request),
        _ => None,
    };
    actions.iter().filter_map(id_of).collect()
}

// An engine's machine loses power: nothing resets the connection, and without detection the caller
// would wait until its deadline. Silence on all connections to the engine gives it up, and the
// request is sent to another engine within half a second.
#[test]
fn dark_engine() {
    let mut simulation = Simulation::new(2);
    let first = sent_to(&simulation.arrive(1, true, 2)).unwrap();
    let actions = simulation.run_for(SILENCE_TIMEOUT + TICK, None);
    assert_eq!(given_up(&actions), [1]);
    let again = sent_to(&simulation.failed(1, AttemptStage::MaybeSent)).unwrap();
    assert_ne!(first, again);
}

// The same during a stream; the caller gets the rest from another engine.
#[test]
fn dark_in_stream() {
    let mut simulation = Simulation::new(2);
    let first = sent_to(&simulation.arrive(1, true, 2)).unwrap();
    simulation.event(Event::FirstToken { request: 1 });
    simulation.run_for(ms(500), Some(first));
    let actions = simulation.run_for(SILENCE_TIMEOUT + TICK, None);
    assert_eq!(given_up(&actions), [1]);
    assert!(sent_to(&simulation.failed(1, AttemptStage::Answering)).is_some());
}

// One connection goes permanently silent in the middle of a stream, while other requests at the
// same engine continue, so that the engine does not look dead. Without detection the caller would
// wait until its deadline. The silent stream resumes elsewhere; the one that still gets events
// stays.
#[test]
fn silent_in_stream() {
    let mut simulation = Simulation::new(1);
    let endpoint = sent_to(&simulation.arrive(1, true, 2)).unwrap();
    simulation.arrive(2, true, 2);
    simulation.event(Event::FirstToken { request: 1 });
    simulation.event(Event::FirstToken { request: 2 });
    let mut given_up_ids = Vec::new();
    for _ in 0..3 {
        simulation.online.note_response(simulation.now, 2);
        given_up_ids.extend(given_up(
            &simulation.run_for(RESPONSE_SILENCE_TIMEOUT / 2, Some(endpoint)),
        ));
    }
    assert_eq!(given_up_ids, [1]);
}

// The request was sent on a reused connection that had gone silent, so its answer never starts. The
// engine has free slots and answers others. Without detection the caller would wait until its
// deadline.
#[test]
fn silent_from_start() {
    let mut simulation = Simulation::new(2);
    let endpoint = sent_to(&simulation.arrive(1, true, 2)).unwrap();
    let actions = simulation.run_for(QUEUED_SILENCE_TIMEOUT + TICK, Some(endpoint));
    assert_eq!(given_up(&actions), [1]);
}

// An engine leaves, its registration is removed, and then it dies in the middle of a stream.
// Silence must also be detected at engines that are no longer registered; otherwise the caller
// waits until its deadline.
#[test]
fn gone_in_stream() {
    let mut simulation = Simulation::new(2);
    let first = sent_to(&simulation.arrive(1, true, 2)).unwrap();
    simulation.event(Event::FirstToken { request: 1 });
    let mut remaining: Vec<_> = endpoint_configs(2, SERVICE, SLOTS, |_| 1).collect();
    remaining.retain(|(id, _)| *id != first);
    simulation.online.endpoints.configure(remaining);
    let actions = simulation.run_for(RESPONSE_SILENCE_TIMEOUT + TICK, None);
    assert_eq!(given_up(&actions), [1]);
    assert!(sent_to(&simulation.failed(1, AttemptStage::Answering)).is_some());
}

// A request that may not be repeated is never given up: it could run twice, and the answer may
// still come.
#[test]
fn unrepeatable_waits() {
    let mut simulation = Simulation::new(2);
    simulation.arrive(1, false, 1);
    assert!(given_up(&simulation.run_for(ms(4_000), None)).is_empty());
}

// The same once its stream has started: it can't resume elsewhere, and the engine may still
// continue it.
#[test]
fn unrepeatable_in_stream() {
    let mut simulation = Simulation::new(2);
    simulation.arrive(1, false, 2);
    simulation.event(Event::FirstToken { request: 1 });
    assert!(given_up(&simulation.run_for(ms(4_000), None)).is_empty());
}

// Requests in the queue of a busy engine receive nothing for long while its slots run requests of
// other VMs. That does not show that the engine is dead.
#[test]
fn busy_is_not_dark() {
    let mut simulation = Simulation::new(1);
    let endpoint = sent_to(&simulation.arrive(1, true, 2)).unwrap();
    simulation
        .online
        .endpoints
        .get_mut(endpoint)
        .unwrap()
        .online_elsewhere = SLOTS as u32;
    assert!(given_up(&simulation.run_for(SILENCE_TIMEOUT * 2, None)).is_empty());
    assert_eq!(
        given_up(&simulation.run_for(QUEUED_SILENCE_TIMEOUT, None)),
        [1]
    );
}

// This process was paused for seconds and finds all engines silent; the silence is its own.
#[test]
fn own_pause() {
    let mut simulation = Simulation::new(1);
    simulation.arrive(1, true, 2);
    simulation.now += ms(3_000);
    assert!(given_up(&simulation.tick()).is_empty());
    assert!(given_up(&simulation.run_for(SILENCE_TIMEOUT - TICK, None)).is_empty());
}

// Two connections in a row that fail to open eject an engine at once: its process is gone, and each
// further request would lose an attempt on it.
#[test]
fn unreachable_ejected() {
    let mut simulation = Simulation::new(2);
    let first = sent_to(&simulation.arrive(1, true, 3)).unwrap();
    let row = simulation.online.endpoints.get_mut(first).unwrap();
    row.unreachable(ms(1_000));
    assert!(row.usable(ms(1_001)));
    row.unreachable(ms(1_002));
    assert!(!row.usable(ms(1_003)));
}

// The route allows two attempts, so there must not be a third one.
#[test]
fn attempts_bounded() {
    let mut simulation = Simulation::new(3);
    simulation.arrive(1, true, 2);
    assert!(sent_to(&simulation.failed(1, AttemptStage::MaybeSent)).is_some());
    let end = simulation.failed(1, AttemptStage::MaybeSent);
    let [Action::Refuse { kind, not_run, .. }] = &end[..] else {
        panic!("{end:?}");
    };
    assert_eq!((*kind, *not_run), (RefusalKind::EndpointFailed, false));
}

// The first engine may have run the request, and only the second one refused it. "Not run" would be
// false, and the caller might repeat a request that was executed.
#[test]
fn doubt_remembered() {
    let mut simulation = Simulation::new(2);
    simulation.arrive(1, true, 2);
    simulation.failed(1, AttemptStage::MaybeSent);
    let end = simulation.failed(1, AttemptStage::Refused);
    assert!(
        matches!(&end[..], [Action::Refuse { not_run: false, .. }]),
        "{end:?}"
    );
}

// All engines refuse a request: it has not run, and the response says so.
#[test]
fn refused_is_not_run() {
    let mut simulation = Simulation::new(2);
    simulation.arrive(1, false, 1);
    let end = simulation.failed(1, AttemptStage::Refused);
    assert!(
        matches!(&end[..], [Action::Refuse { not_run: true, .. }]),
        "{end:?}"
    );
}
