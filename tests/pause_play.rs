//! Simulated fleets of 6 to 836 VMs whose endpoints pause or die: what becomes of their streams.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use bramleyseam::decide::load_reports::EndpointOutcomes;
use bramleyseam::decide::online::{
    Action, Arrival, AttemptOutcome, Event, Online, ServiceConfig, SuccessorState,
};
use bramleyseam::decide::refusal::RefusalKind;
use bramleyseam::decide::retry::{AttemptStage, ATTEMPTS_MAX_DEFAULT};
use bramleyseam::decide::subset::{self, Candidate, SubsetOwner, WHOLE_TABLE_MAX};
use bramleyseam::id::{self, EndpointId, RequestId};
use bramleyseam::standin::table::endpoint_configs;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SERVICE: u64 = 1;
const DOMAINS: usize = 5;
const FULL_MESH_VMS_MAX: usize = 64;
const SLOTS: usize = 8;
/// Interval between two events of a stream, and length of a simulation step.
const STEP: Duration = Duration::from_millis(20);
/// Each VM ticks in every second step.
const TICK_STEPS: usize = 2;
const EVENTS: u32 = 27;
/// From the start in a slot to the first event.
const FIRST_EVENT_STEPS: u32 = 3;
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Age of the counts of VMs in other failure domains, in reports.
const REMOTE_REPORT_AGE: usize = 5;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_secs(5);
const FAULT_AT: Duration = Duration::from_millis(1500);
const PAUSE: Duration = Duration::from_millis(1200);
const PAUSE_INTERVAL: Duration = Duration::from_millis(2300);
const CALM_AFTER: Duration = Duration::from_secs(1);
const LATE_GAP: Duration = Duration::from_millis(250);
/// Within this time the streams of a dead endpoint go on.
const MOVED_WITHIN: Duration = Duration::from_millis(600);
/// Service dropped from the configuration, from the first fault on.
const DROPPED: std::ops::Range<Duration> = Duration::from_millis(300)..Duration::from_millis(800);

#[derive(Clone, Copy)]
struct Play {
    vms: usize,
    endpoints: usize,
    /// Busy slots as a share of all.
    load: f64,
    is_hit: fn(usize) -> bool,
    /// Number of pauses; 0 if the endpoints die.
    pauses: u32,
    drops_service: bool,
}

impl Play {
    fn last_pause_end(&self) -> Duration {
        FAULT_AT + PAUSE_INTERVAL * self.pauses.saturating_sub(1) + PAUSE
    }

    /// Whether a twentieth of the slots is free in spite of the fault.
    fn has_free_slots(&self) -> bool {
        let hit = (0..self.endpoints).filter(|at| (self.is_hit)(*at)).count();
        let lost_time = match self.pauses {
            0 => 1.0,
            1 => PAUSE.div_duration_f64(DEADLINE),
            _ => PAUSE.div_duration_f64(PAUSE_INTERVAL),
        };
        self.load + 0.05 <= 1.0 - lost_time * hit as f64 / self.endpoints as f64
    }
}

struct Request {
    vm: usize,
    arrival: Arrival,
    is_open: bool,
    /// Counts the connections that were opened or closed for it.
    connection: u32,
    endpoint: usize,
    events: u32,
    answering: bool,
    received_at: Duration,
    is_late: bool,
    /// The VM closed its stream at a sound endpoint.
    was_moved: bool,
    /// When the endpoint of its stream died.
    stranded_at: Option<Duration>,
}

struct Run {
    request: RequestId,
    connection: u32,
    steps_to_first: u32,
}

#[derive(Default)]
struct Endpoint {
    running: Vec<Run>,
    queue: VecDeque<Run>,
    paused_until: Duration,
    is_dead: bool,
}

type Task = Box<dyn FnOnce(&mut Fleet)>;
/// Numbers of requests by what became of them.
type Counts = BTreeMap<&'static str, u32>;

struct Fleet {
    play: Play,
    rng: SmallRng,
    now: Duration,
    vms: Vec<Online>,
    endpoints: Vec<Endpoint>,
    index: HashMap<EndpointId, usize>,
    requests: Vec<Request>,
    /// Requests before this one are past their deadline.
    expired: usize,
    /// What the hosts of VMs finish later.
    tasks: BTreeMap<Duration, Vec<Task>>,
    /// Own counts of each VM in its last report.
    reported: Vec<Vec<u32>>,
    /// Counts by failure domain and endpoint, the newest report first.
    history: VecDeque<Vec<Vec<u32>>>,
    counts: Counts,
}

fn services() -> HashMap<u64, ServiceConfig> {
    let config = ServiceConfig {
        first_token_goal: Duration::from_millis(300),
        queue_limit: 256,
        max_in_flight: 2000,
        learn_limit: false,
        shares: HashMap::from([(0, 1.0)]),
    };
    HashMap::from([(SERVICE, config)])
}

fn domain(at: usize) -> u64 {
    (at % DOMAINS) as u64
}

fn vm_id(vm: usize) -> u64 {
    id::of(&format!("vm-{vm}"))
}

fn new_online(play: Play, vm: usize, seed: u64) -> Online {
    let mut online = Online::new(domain(vm), SmallRng::seed_from_u64(seed * 1000 + vm as u64));
    online.watch_silence = true;
    online.services = services();
    online.endpoints.counts_lag = play.vms > FULL_MESH_VMS_MAX;
    let configs = || endpoint_configs(play.endpoints, SERVICE, SLOTS as f64, domain);
    let candidates = configs().map(|(id, config)| Candidate {
        id,
        service: SERVICE,
        domain: config.domain,
        software: 0,
    });
    let owner = SubsetOwner {
        vm: vm_id(vm),
        domain: domain(vm),
        domain_vms: (play.vms / DOMAINS) as u32,
    };
    let subset = subset::choose(owner, candidates);
    let is_known = |id: &EndpointId| play.endpoints <= WHOLE_TABLE_MAX || subset.contains(id);
    let known = configs().filter(|(id, _)| is_known(id));
    online.endpoints.configure(known);
    let domain_vms = (0..play.vms).filter(|other| domain(*other) == domain(vm));
    let domain_vms = domain_vms.map(vm_id).collect();
    let shares_evidence = play.vms > FULL_MESH_VMS_MAX;
    online
        .evidence
        .set_enabled(shares_evidence, &mut online.endpoints);
    online.evidence.set_domain(vm_id(vm), domain_vms);
    online
}

impl Fleet {
    fn new(play: Play, seed: u64) -> Fleet {
        let configs = endpoint_configs(play.endpoints, SERVICE, SLOTS as f64, domain);
        let vms = (0..play.vms).map(|vm| new_online(play, vm, seed));
        Fleet {
            rng: SmallRng::seed_from_u64(seed),
            now: Duration::from_secs(1),
            vms: vms.collect(),
            endpoints: (0..play.endpoints).map(|_| Endpoint::default()).collect(),
            index: configs.enumerate().map(|(at, (id, _))| (id, at)).collect(),
            requests: Vec::new(),
            expired: 0,
            tasks: BTreeMap::new(),
            reported: vec![Vec::new(); play.vms],
            history: VecDeque::new(),
            counts: Counts::new(),
            play,
        }
    }

    fn run(mut self) -> Counts {
        let start = self.now;
        let until = self.play.last_pause_end() + CALM_AFTER * 2;
        let run_steps = f64::from(EVENTS + FIRST_EVENT_STEPS - 1);
        let mean = (self.play.endpoints * SLOTS) as f64 * self.play.load / run_steps;
        while self.now - start < until || self.expired < self.requests.len() {
            let since = self.now - start;
            self.inject_faults(since);
            (0..self.endpoints.len()).for_each(|at| self.run_endpoint(at));
            self.finish_tasks();
            if (since.as_millis()).is_multiple_of(REPORT_INTERVAL.as_millis()) {
                self.report();
            }
            let step = (since.as_millis() / STEP.as_millis()) as usize;
            for vm in (step % TICK_STEPS..self.play.vms).step_by(TICK_STEPS) {
                self.tick(vm);
            }
            let arrivals = mean as usize + usize::from(self.rng.random_bool(mean.fract()));
            for _ in 0..arrivals * usize::from(since < until) {
                self.arrive();
            }
            self.expire();
            self.now += STEP;
        }
        self.counts
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn inject_faults(&mut self, since: Duration) {
        let now = self.now;
        let hit = (0..self.endpoints.len()).filter(|at| (self.play.is_hit)(*at));
        let starts = |count| FAULT_AT + PAUSE_INTERVAL * count;
        if (0..self.play.pauses).any(|count| since == starts(count)) {
            hit.for_each(|at| self.endpoints[at].paused_until = self.now + PAUSE);
        } else if self.play.pauses == 0 && since == FAULT_AT {
            hit.for_each(|at| self.endpoints[at].is_dead = true);
            for row in self.requests.iter_mut().filter(|row| row.is_open) {
                let may_move = row.answering && row.arrival.resumable;
                if may_move && self.endpoints[row.endpoint].is_dead {
                    row.stranded_at = Some(self.now);
                    *self.counts.entry("stranded").or_default() += 1;
                }
            }
        }
        if self.play.drops_service && since == FAULT_AT + DROPPED.start {
            let drop = |online: &mut Online| online.configure_services(now, HashMap::new());
            self.vms.iter_mut().for_each(drop);
        } else if self.play.drops_service && since == FAULT_AT + DROPPED.end {
            let restore = |online: &mut Online| online.configure_services(now, services());
            self.vms.iter_mut().for_each(restore);
        }
    }

    fn arrive(&mut self) {
        let vm = self.rng.random_range(0..self.play.vms);
        let request = self.requests.len() as RequestId;
        let is_idempotent = !request.is_multiple_of(4);
        let arrival = Arrival {
            request,
            workspace: 0,
            priority: 0,
            service: SERVICE,
            prefix: 0,
            deadline: self.now + DEADLINE,
            idempotent: is_idempotent,
            resumable: is_idempotent,
            attempts_max: ATTEMPTS_MAX_DEFAULT,
            software: None,
        };
        self.count("streams");
        self.requests.push(Request {
            vm,
            arrival: arrival.clone(),
            is_open: true,
            connection: 0,
            endpoint: 0,
            events: 0,
            answering: false,
            received_at: self.now,
            is_late: false,
            was_moved: false,
            stranded_at: None,
        });
        self.handle(vm, Event::Arrived(arrival));
    }

    fn handle(&mut self, vm: usize, event: Event) {
        let mut out = Vec::new();
        self.vms[vm].handle(self.now, event, &mut out);
        self.perform(vm, out);
    }

    fn tick(&mut self, vm: usize) {
        let mut out = Vec::new();
        self.vms[vm].tick(self.now, &mut out);
        self.perform(vm, out);
        for change in self.vms[vm].take_silence_changes() {
            let id = change.endpoint;
            let is_reachable = !self.endpoints[self.index[&id]].is_dead;
            if change.is_silent {
                let check = move |fleet: &mut Fleet| fleet.vms[vm].host_checked(id, is_reachable);
                self.after(CONNECT_TIMEOUT * 2, check);
            }
        }
    }

    fn after(&mut self, time: Duration, task: impl FnOnce(&mut Fleet) + 'static) {
        let tasks = self.tasks.entry(self.now + time).or_default();
        tasks.push(Box::new(task));
    }

    fn perform(&mut self, vm: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    request, endpoint, ..
                } => self.send(vm, request, endpoint),
                Action::GiveUp { request } => self.give_up(vm, request),
                Action::Refuse {
                    request,
                    kind,
                    not_run,
                    ..
                } => self.refuse(request, kind, not_run),
            }
        }
    }

    fn send(&mut self, vm: usize, request: RequestId, id: EndpointId) {
        self.count("sends");
        let row = &mut self.requests[request as usize];
        row.connection += 1;
        row.endpoint = self.index[&id];
        row.answering = false;
        let connection = row.connection;
        let endpoint = &mut self.endpoints[row.endpoint];
        endpoint.queue.push_back(Run {
            request,
            connection,
            steps_to_first: FIRST_EVENT_STEPS,
        });
        // A connection that was opened before shows nothing.
        let received_at = self.vms[vm]
            .endpoints
            .get(id)
            .map(|row| row.last_received_at);
        if endpoint.is_dead && received_at == Some(Duration::ZERO) {
            self.after(CONNECT_TIMEOUT, move |fleet| {
                fleet.close(request, connection, Some(AttemptStage::NotSent));
            });
        }
    }

    /// Connects to the successor of an attempt, then closes the attempt or keeps it.
    fn give_up(&mut self, vm: usize, request: RequestId) {
        let connection = self.requests[request as usize].connection;
        let successor = self.vms[vm].successor(request);
        if successor.is_some_and(|id| self.endpoints[self.index[&id]].is_dead) {
            self.after(CONNECT_TIMEOUT, move |fleet| {
                if fleet.is_current(request, connection) {
                    let successor = SuccessorState::Unreachable;
                    fleet.handle(vm, Event::Kept { request, successor });
                }
            });
            return;
        }
        self.after(STEP, move |fleet| {
            if fleet.vms[vm].is_given_up(request) {
                fleet.close(request, connection, None);
            }
        });
    }

    fn is_current(&self, request: RequestId, connection: u32) -> bool {
        let row = &self.requests[request as usize];
        row.is_open && row.connection == connection
    }

    /// Ends an attempt; at the stage that it has reached unless another one is given.
    fn close(&mut self, request: RequestId, connection: u32, stage: Option<AttemptStage>) {
        if !self.is_current(request, connection) {
            return;
        }
        let row = &mut self.requests[request as usize];
        row.connection += 1;
        row.was_moved |= row.events > 0 && !self.endpoints[row.endpoint].is_dead;
        let reached = match row.answering {
            true => AttemptStage::Answering,
            false => AttemptStage::MaybeSent,
        };
        let outcome = AttemptOutcome::Failed {
            stage: stage.unwrap_or(reached),
            endpoint_fault: stage.is_some(),
            endpoint_ended: false,
        };
        let vm = row.vm;
        self.handle(vm, Event::Ended { request, outcome });
    }

    fn refuse(&mut self, request: RequestId, kind: RefusalKind, not_run: bool) {
        let row = &mut self.requests[request as usize];
        assert!(row.is_open, "two ends of a request");
        row.is_open = false;
        let (has_begun, idempotent) = (row.events > 0, row.arrival.idempotent);
        let is_dead = self.endpoints[row.endpoint].is_dead;
        let wants_endpoint = matches!(
            kind,
            RefusalKind::NoEndpoint | RefusalKind::SoftwareGone | RefusalKind::EndpointFailed
        );
        match has_begun {
            true if is_dead => self.count("lost"),
            true => self.count("cut"),
            false => self.count("refused"),
        }
        if !has_begun && !not_run && !idempotent {
            self.count("refused, may have run");
        }
        if !has_begun && wants_endpoint && self.is_paused_one_free() {
            self.count("refused after pause");
        }
    }

    /// Whether an endpoint whose pause has been over for a while has free slots.
    fn is_paused_one_free(&self) -> bool {
        let was_paused = |row: &&Endpoint| !row.paused_until.is_zero();
        let mut paused = self.endpoints.iter().filter(was_paused);
        paused.any(|row| {
            let is_free = row.running.len() + row.queue.len() < SLOTS;
            is_free && self.now >= row.paused_until + CALM_AFTER
        })
    }

    fn finish_tasks(&mut self) {
        while let Some(due) = self
            .tasks
            .first_entry()
            .filter(|due| *due.key() <= self.now)
        {
            due.remove().into_iter().for_each(|task| task(self));
        }
    }

    fn run_endpoint(&mut self, at: usize) {
        let endpoint = &mut self.endpoints[at];
        if endpoint.is_dead || self.now < endpoint.paused_until {
            return;
        }
        let requests = &self.requests;
        let is_connected = |run: &Run| {
            let row = &requests[run.request as usize];
            row.is_open && row.connection == run.connection
        };
        endpoint.running.retain(is_connected);
        endpoint.queue.retain(is_connected);
        let free = SLOTS - endpoint.running.len();
        let started = free.min(endpoint.queue.len());
        endpoint.running.extend(endpoint.queue.drain(..started));
        let mut sending = Vec::new();
        for run in &mut endpoint.running {
            run.steps_to_first = run.steps_to_first.saturating_sub(1);
            if run.steps_to_first == 0 {
                sending.push(run.request);
            }
        }
        for request in sending {
            self.receive(request);
        }
    }

    fn receive(&mut self, request: RequestId) {
        let row = &mut self.requests[request as usize];
        let (vm, at) = (row.vm, row.endpoint);
        row.is_late |= self.now > row.received_at + LATE_GAP;
        row.received_at = self.now;
        row.events += 1;
        let (is_first, is_last) = (!row.answering, row.events == EVENTS);
        row.answering = true;
        row.is_open = !is_last;
        let moved_by = row.stranded_at.take().map(|at| at + MOVED_WITHIN);
        let results = [
            ("moved", moved_by >= Some(self.now)),
            ("whole", is_last),
            ("late", is_last && row.is_late),
        ];
        let results = results.into_iter().filter(|(_, is_met)| *is_met);
        results.for_each(|(what, _)| self.count(what));
        let online = &mut self.vms[vm];
        online.note_response(self.now, request);
        let id = id::of(&format!("endpoint-{at}"));
        if let Some(endpoint) = online.endpoints.get_mut(id) {
            endpoint.last_received_at = self.now;
        }
        if is_first {
            self.handle(vm, Event::FirstToken { request });
        }
        if is_last {
            let outcome = AttemptOutcome::Done;
            self.handle(vm, Event::Ended { request, outcome });
        }
    }

    fn report(&mut self) {
        let mut counts = vec![vec![0; self.endpoints.len()]; DOMAINS];
        let previous = self.history.front().cloned();
        let remote = self.history.get(REMOTE_REPORT_AGE - 1).cloned();
        for (vm, online) in self.vms.iter_mut().enumerate() {
            let own_domain = vm % DOMAINS;
            let own = std::mem::take(&mut self.reported[vm]);
            for (row, endpoint) in online.endpoints.rows.iter_mut().enumerate() {
                let at = self.index[&endpoint.id];
                counts[own_domain][at] += endpoint.online_here;
                self.reported[vm].push(endpoint.online_here);
                let near = previous.as_ref().map_or(0, |counts| counts[own_domain][at]);
                let far = remote.as_ref().map_or(0, |counts| {
                    let others = (0..DOMAINS).filter(|domain| *domain != own_domain);
                    others.map(|domain| counts[domain][at]).sum()
                });
                endpoint.online_elsewhere = near - own.get(row).unwrap_or(&0) + far;
                endpoint.remote_vms = endpoint.online_elsewhere.min(self.play.vms as u32 - 1);
            }
        }
        self.history.push_front(counts);
        if self.play.vms > FULL_MESH_VMS_MAX {
            self.tell_evidence();
        }
        self.history.truncate(REMOTE_REPORT_AGE);
    }

    /// Tells each VM what the others of its failure domain have seen of endpoints.
    fn tell_evidence(&mut self) {
        let own_of = |online: &Online| online.evidence.own_outcomes(self.now);
        let own: Vec<_> = self.vms.iter().map(own_of).collect();
        for (vm, online) in self.vms.iter_mut().enumerate() {
            let mut told = HashMap::<EndpointId, EndpointOutcomes>::new();
            let domain_vms = (vm % DOMAINS..own.len()).step_by(DOMAINS);
            let others = domain_vms.filter(|other| *other != vm);
            for (id, outcomes) in others.flat_map(|other| &own[other]) {
                told.entry(*id).or_default().add(outcomes);
            }
            online.evidence.hear(self.now, told);
        }
    }

    fn expire(&mut self) {
        while let Some(row) = self.requests.get_mut(self.expired) {
            if self.now < row.arrival.deadline {
                return;
            }
            self.expired += 1;
            if !std::mem::take(&mut row.is_open) {
                continue;
            }
            let (vm, request) = (row.vm, row.arrival.request);
            let is_dead = row.connection > 0 && self.endpoints[row.endpoint].is_dead;
            let may_hang = is_dead && !row.arrival.idempotent;
            match row.was_moved {
                true => self.count("cut"),
                false if may_hang => self.count("lost"),
                false => self.count("expired"),
            }
            let held = self.vms[vm].open_requests();
            let outcome = AttemptOutcome::Abandoned;
            self.handle(vm, Event::Ended { request, outcome });
            if self.vms[vm].open_requests() == held {
                self.count("vanished");
            }
        }
    }
}

/// The rules that do not hold.
fn broken_rules(play: Play, counts: &Counts) -> Vec<&'static str> {
    let of = |what| counts.get(what).copied().unwrap_or(0);
    let extra = of("sends").saturating_sub(of("streams"));
    let has_moved = of("moved") * 10 >= of("stranded") * 9;
    let is_short = !play.has_free_slots();
    let rules = [
        ("streams cut", of("cut") == 0),
        ("neither answered nor refused", of("vanished") == 0),
        ("past the deadline", of("expired") == 0),
        ("refused, may have run", of("refused, may have run") == 0),
        ("refused after pause", of("refused after pause") == 0),
        ("attempts", extra <= of("streams") / 10 + of("late")),
        ("moved late", has_moved || is_short),
    ];
    let broken = rules.into_iter().filter(|(_, holds)| !holds);
    broken.map(|(rule, _)| rule).collect()
}

const SEED: u64 = 1;
const SIZES: [(usize, usize); 3] = [(6, 9), (295, 160), (836, 400)];

/// Simulates faults at all sizes and loads, prints the results and checks what must always hold.
fn simulate(name: &str, is_hit: fn(usize) -> bool, pauses: u32, drops_service: bool) {
    let sizes = SIZES
        .into_iter()
        .flat_map(|size| [(size, 0.6), (size, 0.85)]);
    let plays = sizes.map(|((vms, endpoints), load)| Play {
        vms,
        endpoints,
        load,
        is_hit,
        pauses,
        drops_service,
    });
    let broken = plays.flat_map(|play| {
        let counts = Fleet::new(play, SEED).run();
        let case = format!("{name}, {} VMs, load {}, seed {SEED}", play.vms, play.load);
        eprintln!("{case}: {counts:?}");
        let broken = broken_rules(play, &counts).into_iter();
        broken.map(move |rule| format!("{case}: {rule}"))
    });
    assert_eq!(broken.collect::<Vec<_>>(), [""; 0]);
}

// Without a fault nothing is moved or refused.
#[test]
fn no_fault() {
    simulate("no fault", |_| false, 1, false);
}

// Streams were cut when one endpoint paused.
#[test]
fn one_pauses() {
    simulate("one pauses", |at| at == 0, 1, false);
}

// The same with a third of the endpoints at once.
#[test]
fn third_pauses() {
    simulate("third pauses", |at| at % 3 == 0, 1, false);
}

// A whole failure domain pauses, where streams go on first.
#[test]
fn domain_pauses() {
    simulate("domain pauses", |at| domain(at) == 0, 1, false);
}

// Streams were cut although there was no other endpoint to go on at.
#[test]
fn all_pause() {
    simulate("all pause", |_| true, 1, false);
}

// Endpoints that pause again and again were out of use for longer each time.
#[test]
fn pauses_repeat() {
    simulate("pauses repeat", |at| at % 3 == 0, 9, false);
}

// Requests were lost beside a change of the configuration.
#[test]
fn service_drops() {
    simulate("service drops", |at| at % 3 == 0, 1, true);
}

// An endpoint that is silent because it is dead must still be left soon.
#[test]
fn one_dies() {
    simulate("one dies", |at| at == 0, 0, false);
}

// The same with a fifth of the endpoints, in all failure domains.
#[test]
fn fifth_dies() {
    simulate("fifth dies", |at| at % 9 % 5 == 0, 0, false);
}
