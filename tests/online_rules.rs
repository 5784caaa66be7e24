//! Admission, routing and retries: the state machine against simulated endpoints.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bramleyseam::decide::endpoints::{Endpoint, EndpointReport};
use bramleyseam::decide::online::{Action, Arrival, AttemptOutcome, Event, Online, ServiceConfig};
use bramleyseam::decide::refusal::RefusalKind;
use bramleyseam::decide::retry::{AttemptStage, ATTEMPTS_MAX_DEFAULT};
use bramleyseam::decide::routing::{choose, Policy, RouteQuery};
use bramleyseam::standin::table::endpoint_configs;
use quickcheck::quickcheck;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SERVICE: u64 = 1;
const LOCAL_DOMAIN: u64 = 1;
const TICK: Duration = Duration::from_millis(10);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn online(seed: u64, endpoints: usize, slots: f64) -> Online {
    let mut online = Online::new(LOCAL_DOMAIN, SmallRng::seed_from_u64(seed));
    online
        .endpoints
        .configure(endpoint_configs(endpoints, SERVICE, slots, |_| {
            LOCAL_DOMAIN
        }));
    let service = ServiceConfig {
        first_token_goal: ms(500),
        queue_limit: 40,
        max_in_flight: 1000,
        learn_limit: false,
        shares: HashMap::from([(1, 0.5), (2, 0.5)]),
    };
    online.services.insert(SERVICE, service);
    online
}

fn arrival(request: u64, workspace: u64, now: Duration, idempotent: bool) -> Arrival {
    Arrival {
        request,
        workspace,
        priority: 0,
        service: SERVICE,
        prefix: request % 7,
        deadline: now + ms(2_000),
        idempotent,
        resumable: false,
        attempts_max: ATTEMPTS_MAX_DEFAULT,
        software: None,
    }
}

/// Reason, whether the refusal says "not run", and the retry time.
type Refused = (RefusalKind, bool, Option<Duration>);

/// What happened to one request.
#[derive(Debug, Default, Clone)]
struct RequestHistory {
    workspace: u64,
    arrived: Duration,
    attempts: u32,
    maybe_run: u32,
    end: Option<(Duration, Result<(), Refused>)>,
}

struct Simulation {
    rng: SmallRng,
    now: Duration,
    online: Online,
    histories: BTreeMap<u64, RequestHistory>,
    /// Ends of attempts in flight.
    pending_ends: Vec<(Duration, u64, AttemptOutcome)>,
    service_time: Duration,
    /// Endpoints that fail every request.
    broken: Vec<u64>,
    /// Share of requests that fail at any endpoint.
    failure_rate: f64,
    idempotent: bool,
}

impl Simulation {
    fn new(seed: u64, endpoints: usize, slots: f64, service_time: Duration) -> Simulation {
        Simulation {
            rng: SmallRng::seed_from_u64(seed),
            now: ms(1),
            online: online(seed, endpoints, slots),
            histories: BTreeMap::new(),
            pending_ends: Vec::new(),
            service_time,
            broken: Vec::new(),
            failure_rate: 0.0,
            idempotent: true,
        }
    }

    fn arrive(&mut self, workspace: u64) {
        let request = self.histories.len() as u64 + 1;
        let history = RequestHistory {
            workspace,
            arrived: self.now,
            ..RequestHistory::default()
        };
        self.histories.insert(request, history);
        let arrival = arrival(request, workspace, self.now, self.idempotent);
        self.event(Event::Arrived(arrival));
    }

    fn event(&mut self, event: Event) {
        let mut out = Vec::new();
        self.online.handle(self.now, event, &mut out);
        self.perform(out);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                // Silence is not watched for these endpoints.
                Action::GiveUp { .. } => panic!("given up"),
                Action::Send {
                    request, endpoint, ..
                } => {
                    let outcome = if self.broken.contains(&endpoint)
                        || self.rng.random_bool(self.failure_rate)
                    {
                        let reach = match self.rng.random_range(0..3) {
                            0 => AttemptStage::NotSent,
                            1 => AttemptStage::Refused,
                            _ => AttemptStage::MaybeSent,
                        };
                        AttemptOutcome::Failed {
                            stage: reach,
                            endpoint_fault: true,
                            endpoint_ended: false,
                        }
                    } else {
                        AttemptOutcome::Done
                    };
                    let history = self.histories.get_mut(&request).unwrap();
                    assert!(history.end.is_none(), "sent after its final answer");
                    history.attempts += 1;
                    if let AttemptOutcome::Failed { stage: reach, .. } = outcome {
                        history.maybe_run += u32::from(reach == AttemptStage::MaybeSent);
                    } else {
                        history.maybe_run += 1;
                    }
                    let service_time = self.service_time.mul_f64(self.rng.random_range(0.8..1.2));
                    self.pending_ends
                        .push((self.now + service_time, request, outcome));
                }
                Action::Refuse {
                    request,
                    kind,
                    not_run,
                    retry_after,
                } => {
                    let now = self.now;
                    let history = self.histories.get_mut(&request).unwrap();
                    assert!(history.end.is_none(), "request ended twice");
                    history.end = Some((now, Err((kind, not_run, retry_after))));
                }
            }
        }
    }

    fn step(&mut self) {
        self.now += TICK;
        let now = self.now;
        let (pending_ends, later) = self.pending_ends.drain(..).partition(|(at, ..)| *at <= now);
        self.pending_ends = later;
        let pending_ends: Vec<(Duration, u64, AttemptOutcome)> = pending_ends;
        for (_, request, outcome) in pending_ends {
            if outcome == AttemptOutcome::Done {
                self.event(Event::FirstToken { request });
                self.histories.get_mut(&request).unwrap().end = Some((now, Ok(())));
            }
            self.event(Event::Ended { request, outcome });
        }
        let mut out = Vec::new();
        self.online.tick(self.now, &mut out);
        self.perform(out);
    }

    fn run_to_idle(&mut self) {
        for _ in 0..500 {
            self.step();
        }
    }

    fn attempts(&self) -> u32 {
        self.histories
            .values()
            .map(|history| history.attempts)
            .sum()
    }
}

quickcheck! {
    // Endpoints fail in any way. Each request gets exactly one final answer and leaves no state
    // behind. "Not run" is reported exactly if no attempt may have run, however many were refused.
    // A request that may not be repeated reaches an endpoint at most once.
    fn one_true_end(seed: u64, idempotent: bool) -> bool {
        let mut simulation = Simulation::new(seed, 6, 4.0, ms(100));
        simulation.idempotent = idempotent;
        simulation.broken = simulation.online.endpoints.rows.iter().take(3).map(|row| row.id).collect();
        for _ in 0..200 {
            if simulation.rng.random_bool(0.5) {
                let workspace = simulation.rng.random_range(1..3);
                simulation.arrive(workspace);
            }
            simulation.step();
        }
        simulation.run_to_idle();
        simulation.online.open_requests() == 0 && simulation.histories.values().all(|history| {
            let true_end = match &history.end {
                None => false,
                Some((_, Ok(()))) => true,
                Some((_, Err((_, not_run, _)))) => *not_run == (history.maybe_run == 0),
            };
            true_end && (idempotent || history.maybe_run <= 1)
        })
    }
}

// Half of the endpoints fail everything. However many callers there are, there are no more than 1.1
// attempts per request, since only first attempts earn retries.
#[test]
fn no_retry_storm() {
    let mut simulation = Simulation::new(7, 8, 50.0, ms(50));
    simulation.broken = simulation
        .online
        .endpoints
        .rows
        .iter()
        .take(4)
        .map(|row| row.id)
        .collect();
    for _ in 0..1_000 {
        simulation.arrive(1);
        simulation.arrive(2);
        simulation.step();
    }
    simulation.run_to_idle();
    let (attempts, requests) = (
        f64::from(simulation.attempts()),
        simulation.histories.len() as f64,
    );
    assert!(
        attempts <= requests * 1.1 + 2.0,
        "{attempts} attempts for {requests} requests"
    );
    let good = simulation
        .histories
        .values()
        .filter(|s| matches!(s.end, Some((_, Ok(())))))
        .count();
    assert!(
        good as f64 > 0.95 * requests,
        "{good} of {requests}: broken endpoints are not ejected"
    );
}

// A third of all requests fail, never so many in a row that an endpoint is ejected for long. Only
// the retry budget limits the attempts.
#[test]
fn retries_bounded() {
    let mut simulation = Simulation::new(9, 8, 50.0, ms(50));
    simulation.failure_rate = 0.3;
    for _ in 0..1_000 {
        simulation.arrive(1);
        simulation.step();
    }
    simulation.run_to_idle();
    let sent = simulation
        .histories
        .values()
        .filter(|history| history.attempts > 0)
        .count() as f64;
    let attempts = f64::from(simulation.attempts());
    assert!(
        attempts > sent * 1.05 && attempts <= sent * 1.1 + 2.0,
        "{attempts} attempts for {sent} sent requests"
    );
}

/// The end of an attempt at an endpoint whose process has exited.
fn process_ended(reach: AttemptStage) -> AttemptOutcome {
    AttemptOutcome::Failed {
        stage: reach,
        endpoint_fault: true,
        endpoint_ended: true,
    }
}

/// Reports how an attempt ended and returns the resulting actions.
fn ended(online: &mut Online, request: u64, outcome: AttemptOutcome) -> Vec<Action> {
    let mut out = Vec::new();
    online.handle(ms(10), Event::Ended { request, outcome }, &mut out);
    out
}

// Endpoints have ended whose entries still exist, and each attempt of a request meets one that
// refuses the connection. Nothing has run, so these attempts must not use up the request's
// attempts: the caller would be refused although slots are free.
#[test]
fn dead_endpoints_skipped() {
    let mut online = online(1, 6, 4.0);
    let mut out = Vec::new();
    let request = Arrival {
        attempts_max: 2,
        ..arrival(1, 1, ms(1), true)
    };
    online.handle(ms(1), Event::Arrived(request), &mut out);
    for _ in 0..4 {
        let sent = out.pop();
        assert!(matches!(sent, Some(Action::Send { .. })), "{sent:?}");
        out = ended(&mut online, 1, process_ended(AttemptStage::NotSent));
    }
    // An attempt that may have run counts: the second one that fails is the last.
    out = ended(&mut online, 1, process_ended(AttemptStage::MaybeSent));
    assert!(matches!(out.pop(), Some(Action::Send { .. })));
    out = ended(&mut online, 1, process_ended(AttemptStage::MaybeSent));
    assert!(matches!(out.pop(), Some(Action::Refuse { .. })));
}

// An endpoint ends because of one request, and the other requests that ran there are retried
// without the retry budget. The budget limits the extra load from failing endpoints, and the first
// of these requests would use it up: the other callers would be refused although slots are free.
#[test]
fn ends_are_retried() {
    let mut online = online(2, 12, 8.0);
    let mut out = Vec::new();
    for request in 1..=8 {
        let arrived = Event::Arrived(arrival(request, 1, ms(1), true));
        online.handle(ms(1), arrived, &mut out);
    }
    out.clear();
    for request in 1..=8 {
        out = ended(&mut online, request, process_ended(AttemptStage::MaybeSent));
        assert!(matches!(out.pop(), Some(Action::Send { .. })), "{request}");
    }
}

// A request fails, waits for another attempt, and its caller leaves. Left in the queue it would block
// all later requests of this VM for good.
#[test]
fn retry_abandoned() {
    let mut online = online(1, 2, 1.0);
    // One at each endpoint runs, and one waits there.
    for request in 1..=4 {
        let mut out = Vec::new();
        let arrived = Event::Arrived(arrival(request, 1, ms(1), true));
        online.handle(ms(1), arrived, &mut out);
        assert!(matches!(out[..], [Action::Send { .. }]), "{out:?}");
    }
    let out = ended(&mut online, 1, process_ended(AttemptStage::MaybeSent));
    assert!(out.is_empty(), "{out:?}");
    ended(&mut online, 1, AttemptOutcome::Abandoned);
    for request in 2..=4 {
        ended(&mut online, request, AttemptOutcome::Done);
    }
    assert_eq!(online.open_requests(), 0);
    let mut out = Vec::new();
    let arrived = Event::Arrived(arrival(5, 1, ms(20), true));
    online.handle(ms(20), arrived, &mut out);
    assert!(matches!(out[..], [Action::Send { .. }]), "{out:?}");
}

// One workspace sends ten times what all endpoints can handle. The other one, within its share, is
// still served and waits no longer than the goal.
#[test]
fn flood_harmless() {
    let mut simulation = Simulation::new(3, 2, 5.0, ms(100));
    for step in 0..1_000 {
        for _ in 0..10 {
            simulation.arrive(1);
        }
        // The endpoints can handle 100 requests per second; this is 25.
        if step % 4 == 0 {
            simulation.arrive(2);
        }
        simulation.step();
    }
    simulation.run_to_idle();
    let of = |workspace: u64| {
        simulation
            .histories
            .values()
            .filter(move |s| s.workspace == workspace)
    };
    let good = |workspace: u64| of(workspace).filter(|s| matches!(s.end, Some((_, Ok(())))));
    let (done, all) = (good(2).count(), of(2).count());
    assert!(done as f64 >= 0.98 * all as f64, "{done} of {all}");
    let most = good(2)
        .map(|s| s.end.as_ref().unwrap().0 - s.arrived)
        .max()
        .unwrap();
    assert!(most <= ms(620), "{most:?}");
    assert!(
        good(1).count() > 400,
        "the flood leaves free slots unused: {} served",
        good(1).count()
    );
}

// Requests that can't be served in time are refused at once, with jittered retry times; none is
// held until its deadline.
#[test]
fn refused_at_once() {
    let mut simulation = Simulation::new(5, 1, 2.0, ms(400));
    for _ in 0..300 {
        simulation.arrive(1);
        simulation.step();
    }
    simulation.run_to_idle();
    let mut after = Vec::new();
    for history in simulation.histories.values() {
        let Some((at, Err((_, not_run, retry_after)))) = &history.end else {
            continue;
        };
        assert!(not_run);
        assert!(
            *at - history.arrived <= ms(510),
            "held for {:?}",
            *at - history.arrived
        );
        after.push(retry_after.expect("a retry time"));
    }
    let at_once = simulation
        .histories
        .values()
        .filter(|history| matches!(&history.end, Some((at, Err(_))) if *at == history.arrived));
    assert!(at_once.count() as f64 >= 0.9 * after.len() as f64);
    after.sort();
    assert!(after[after.len() - 1] > after[0].mul_f64(1.5), "{after:?}");
}

// An endpoint answers every request, ten times slower than the others. It is ejected and its slots
// grow back slowly. If all endpoints are slow none is ejected.
#[test]
fn slow_found() {
    let mut online = online(1, 4, 8.0);
    let now = ms(1_000);
    for (at, row) in online.endpoints.rows.iter_mut().enumerate() {
        for _ in 0..20 {
            row.succeeded(Some(if at == 2 { ms(900) } else { ms(90) }));
        }
    }
    online.tick(now, &mut Vec::new());
    let usable: Vec<bool> = online
        .endpoints
        .rows
        .iter()
        .map(|row| row.usable(now))
        .collect();
    assert_eq!(usable, [true, true, false, true]);
    let back = online.endpoints.rows[2].ejected_until;
    let slots = |after| online.endpoints.rows[2].slots(back + after);
    assert!(slots(ms(100)) < 2.0 && slots(ms(2_500)) < 5.0 && slots(ms(6_000)) == 8.0);
    for row in &mut online.endpoints.rows {
        (0..20).for_each(|_| row.succeeded(Some(ms(900))));
    }
    online.tick(back + ms(1), &mut Vec::new());
    assert!(online
        .endpoints
        .rows
        .iter()
        .all(|row| row.usable(back + ms(1))));
}

// A request whose endpoint ended after the goal was queued again and dropped with the next tick,
// though the other endpoint had a slot soon after and the deadline was seconds away.
#[test]
fn waits_again() {
    let mut online = online(1, 2, 1.0);
    let mut out = Vec::new();
    for request in 1..=4 {
        let mut arrival = arrival(request, 1, ms(1), true);
        arrival.deadline = ms(5_000);
        online.handle(ms(1), Event::Arrived(arrival), &mut out);
    }
    let sent: Vec<(u64, u64)> = out.drain(..).filter_map(sent_to).collect();
    let (failed, ended) = sent[0];
    for (request, endpoint) in &sent {
        if *endpoint == ended {
            let outcome = AttemptOutcome::Failed {
                stage: AttemptStage::MaybeSent,
                endpoint_fault: true,
                endpoint_ended: true,
            };
            let request = *request;
            online.handle(ms(600), Event::Ended { request, outcome }, &mut out);
        }
    }
    online.tick(ms(610), &mut out);
    assert_eq!(out, []);
    for (request, _) in sent.iter().filter(|(_, endpoint)| *endpoint != ended) {
        let (request, outcome) = (*request, AttemptOutcome::Done);
        online.handle(ms(650), Event::Ended { request, outcome }, &mut out);
    }
    assert!(out
        .drain(..)
        .filter_map(sent_to)
        .any(|(request, _)| request == failed));
}

fn sent_to(action: Action) -> Option<(u64, u64)> {
    match action {
        Action::Send {
            request, endpoint, ..
        } => Some((request, endpoint)),
        _ => None,
    }
}

// A report that was in flight when the endpoint restarted says "leaving" about the old process.
#[test]
fn old_report() {
    let mut online = online(1, 1, 8.0);
    let row = &mut online.endpoints.rows[0];
    row.apply_report(
        ms(1),
        EndpointReport {
            incarnation: 2,
            ..EndpointReport::default()
        },
    );
    row.apply_report(
        ms(2),
        EndpointReport {
            incarnation: 1,
            leaving: true,
            ..EndpointReport::default()
        },
    );
    assert!(row.usable(ms(3)));
}

quickcheck! {
    // For all loads: a full endpoint is never chosen; endpoints where the request starts sooner
    // come first, among these the ones in the local failure domain; and the same prefix goes to the
    // same endpoint while it has room.
    fn routing_rules(seed: u64, loads: Vec<u8>) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut online = online(seed, loads.len().min(30), 4.0);
        for (at, row) in online.endpoints.rows.iter_mut().enumerate() {
            row.config.domain = (at % 3) as u64;
            row.online_elsewhere = u32::from(loads[at] % 6);
            row.batch = u32::from(loads[at] / 6 % 4);
        }
        let table = &online.endpoints;
        let now = ms(1);
        [Policy::Affinity, Policy::TwoChoices, Policy::LeastLoad].into_iter().all(|policy| {
            let ask = RouteQuery { service: SERVICE, prefix: 77, avoid: None, software: None };
            // 0: starts at once, 1: waits, 2: has no room.
            let class = |r: &Endpoint| match (r.has_room(now), r.has_slot(now)) {
                (false, _) => 2,
                (true, true) => 0,
                (true, false) => 1,
            };
            let place = |r: &Endpoint| (class(r), r.config.domain != LOCAL_DOMAIN);
            let first = table.rows.iter().map(place).min();
            match choose(table, LOCAL_DOMAIN, ask, policy, now, &mut rng) {
                Err(_) => first.is_none_or(|(class, _)| class == 2),
                Ok(chosen) => {
                    let row = table.get(chosen).unwrap();
                    let again = choose(table, LOCAL_DOMAIN, ask, policy, now, &mut rng);
                    row.has_room(now)
                        && Some(place(row)) == first
                        && (policy != Policy::Affinity || again == Ok(chosen))
                }
            }
        })
    }
}
