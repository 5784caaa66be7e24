//! Endpoints from which nothing comes any more, and tries that broke off.

use std::collections::HashMap;
use std::time::Duration;

use bramleyseam::decide::online::{
    Action, Arrival, AttemptOutcome, Event, Online, ServiceConfig, ANSWER_SILENCE, SILENCE,
    SILENCE_CROWDED,
};
use bramleyseam::decide::refusal::RefusalKind;
use bramleyseam::decide::retry::AttemptStage;
use bramleyseam::id::EndpointId;
use bramleyseam::standin::table::declared;
use rand::rngs::SmallRng;
use rand::SeedableRng;

const SERVICE: u64 = 1;
const SLOTS: f64 = 4.0;
const TICK: Duration = Duration::from_millis(25);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

struct World {
    online: Online,
    now: Duration,
}

impl World {
    fn new(endpoints: usize) -> World {
        let mut online = Online::new(1, SmallRng::seed_from_u64(1));
        online.watch_silence = true;
        online
            .endpoints
            .configure(declared(endpoints, SERVICE, SLOTS, |_| 1));
        let service = ServiceConfig {
            first_token_goal: ms(300),
            queue_limit: 40,
            max_in_flight: 1000,
            learn: false,
            shares: HashMap::from([(0, 1.0)]),
        };
        online.services.insert(SERVICE, service);
        let now = ms(1_000);
        let mut world = World { online, now };
        world.tick();
        world
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
        }))
    }

    fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.online.handle(self.now, event, &mut out);
        out
    }

    fn failed(&mut self, request: u64, reach: AttemptStage) -> Vec<Action> {
        let outcome = AttemptOutcome::Failed {
            reach,
            blame: true,
            ended: false,
        };
        self.event(Event::Ended { request, outcome })
    }

    fn tick(&mut self) -> Vec<Action> {
        let mut out = Vec::new();
        self.online.tick(self.now, &mut out);
        out
    }

    /// Ticks for a time; `heard` sends something all the while.
    fn pass(&mut self, time: Duration, heard: Option<EndpointId>) -> Vec<Action> {
        let until = self.now + time;
        let mut out = Vec::new();
        while self.now < until {
            self.now += TICK;
            if let Some(row) = heard.and_then(|id| self.online.endpoints.get_mut(id)) {
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

fn gave_up(actions: &[Action]) -> Vec<u64> {
    let given = |action: &Action| match action {
        Action::GiveUp { request } => Some(*request),
        _ => None,
    };
    actions.iter().filter_map(given).collect()
}

// An applicant waits until the deadline. The engine's machine loses power, nothing resets the
// connection, and no byte ever comes. Silence on all its connections gives the engine away, and the
// request goes elsewhere within half a second.
#[test]
fn dark_engine() {
    let mut world = World::new(2);
    let first = sent_to(&world.arrive(1, true, 2)).unwrap();
    let actions = world.pass(SILENCE + TICK, None);
    assert_eq!(gave_up(&actions), [1]);
    let again = sent_to(&world.failed(1, AttemptStage::MaybeSent)).unwrap();
    assert_ne!(first, again);
}

// A stream stops in its middle for the same cause; its caller gets the rest from another engine.
#[test]
fn dark_in_stream() {
    let mut world = World::new(2);
    let first = sent_to(&world.arrive(1, true, 2)).unwrap();
    world.event(Event::FirstToken { request: 1 });
    world.pass(ms(500), Some(first));
    let actions = world.pass(SILENCE + TICK, None);
    assert_eq!(gave_up(&actions), [1]);
    assert!(sent_to(&world.failed(1, AttemptStage::Answering)).is_some());
}

// A stream stops in its middle and its caller waits until the deadline. Its connection has gone silent for good, while
// other requests at the same engine go on, so that the engine does not look dead. The stream goes on elsewhere; one that
// still gets events stays.
#[test]
fn silent_in_stream() {
    let mut world = World::new(1);
    let endpoint = sent_to(&world.arrive(1, true, 2)).unwrap();
    world.arrive(2, true, 2);
    world.event(Event::FirstToken { request: 1 });
    world.event(Event::FirstToken { request: 2 });
    let mut given = Vec::new();
    for _ in 0..3 {
        world.online.note_response(world.now, 2);
        given.extend(gave_up(&world.pass(ANSWER_SILENCE / 2, Some(endpoint))));
    }
    assert_eq!(given, [1]);
}

// A caller waits until the deadline for an answer that never begins: the request went out on a connection that had been
// kept and had gone silent. The engine has free slots and answers others.
#[test]
fn silent_from_start() {
    let mut world = World::new(2);
    let endpoint = sent_to(&world.arrive(1, true, 2)).unwrap();
    let actions = world.pass(SILENCE_CROWDED + TICK, Some(endpoint));
    assert_eq!(gave_up(&actions), [1]);
}

// A caller waits until the deadline for the rest of a stream. Its engine left, its entry is gone, and then it died; silence
// was only looked for at engines whose entries stand.
#[test]
fn gone_in_stream() {
    let mut world = World::new(2);
    let first = sent_to(&world.arrive(1, true, 2)).unwrap();
    world.event(Event::FirstToken { request: 1 });
    let mut left: Vec<_> = declared(2, SERVICE, SLOTS, |_| 1).collect();
    left.retain(|(id, _)| *id != first);
    world.online.endpoints.configure(left);
    let actions = world.pass(ANSWER_SILENCE + TICK, None);
    assert_eq!(gave_up(&actions), [1]);
    assert!(sent_to(&world.failed(1, AttemptStage::Answering)).is_some());
}

// A renewal would be filed twice. It may not be repeated, so nobody gives it up: the answer may come.
#[test]
fn unrepeatable_waits() {
    let mut world = World::new(2);
    world.arrive(1, false, 1);
    assert!(gave_up(&world.pass(ms(4_000), None)).is_empty());
}

// The same when its stream has begun: it can't go on elsewhere, and its engine may yet.
#[test]
fn unrepeatable_in_stream() {
    let mut world = World::new(2);
    world.arrive(1, false, 2);
    world.event(Event::FirstToken { request: 1 });
    assert!(gave_up(&world.pass(ms(4_000), None)).is_empty());
}

// Requests in the queue of a busy engine hear nothing for long, while its other requests are other
// VMs'. That is no sign of its death.
#[test]
fn busy_is_not_dark() {
    let mut world = World::new(1);
    let endpoint = sent_to(&world.arrive(1, true, 2)).unwrap();
    world
        .online
        .endpoints
        .get_mut(endpoint)
        .unwrap()
        .online_elsewhere = SLOTS as u32;
    assert!(gave_up(&world.pass(SILENCE * 2, None)).is_empty());
    assert_eq!(gave_up(&world.pass(SILENCE_CROWDED, None)), [1]);
}

// This process was paused for seconds and finds all engines silent. The silence was its own.
#[test]
fn own_pause() {
    let mut world = World::new(1);
    world.arrive(1, true, 2);
    world.now += ms(3_000);
    assert!(gave_up(&world.tick()).is_empty());
    assert!(gave_up(&world.pass(SILENCE - TICK, None)).is_empty());
}

// Two connections in a row that don't open take an engine out at once: its process is gone, and each
// further request would lose a try to it.
#[test]
fn unreachable_ejected() {
    let mut world = World::new(2);
    let first = sent_to(&world.arrive(1, true, 3)).unwrap();
    let row = world.online.endpoints.get_mut(first).unwrap();
    row.unreachable(ms(1_000));
    assert!(row.usable(ms(1_001)));
    row.unreachable(ms(1_002));
    assert!(!row.usable(ms(1_003)));
}

// The route allows two engines; a third try would break its bound.
#[test]
fn attempts_bounded() {
    let mut world = World::new(3);
    world.arrive(1, true, 2);
    assert!(sent_to(&world.failed(1, AttemptStage::MaybeSent)).is_some());
    let end = world.failed(1, AttemptStage::MaybeSent);
    let [Action::Refuse { kind, not_run, .. }] = &end[..] else {
        panic!("{end:?}");
    };
    assert_eq!((*kind, *not_run), (RefusalKind::EndpointFailed, false));
}

// A caller is told "not run" and asks again although its renewal was filed: the first engine may have
// run it, and only the second one refused.
#[test]
fn doubt_remembered() {
    let mut world = World::new(2);
    world.arrive(1, true, 2);
    world.failed(1, AttemptStage::MaybeSent);
    let end = world.failed(1, AttemptStage::Refused);
    assert!(
        matches!(&end[..], [Action::Refuse { not_run: false, .. }]),
        "{end:?}"
    );
}

// All engines refuse a request: it has not run, and its caller may be told so.
#[test]
fn refused_is_not_run() {
    let mut world = World::new(2);
    world.arrive(1, false, 1);
    let end = world.failed(1, AttemptStage::Refused);
    assert!(
        matches!(&end[..], [Action::Refuse { not_run: true, .. }]),
        "{end:?}"
    );
}
