//! Shared evidence about endpoints, played over fleets of 6, 72 and 295 VMs with reports that are
//! 0.2 to 0.8 s old.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use bramleyseam::decide::endpoints::{EndpointConfig, Endpoints, EJECT_MIN};
use bramleyseam::decide::evidence::{Evidence, EvidenceState, ProbeQuery, FAILURES_MIN};
use bramleyseam::decide::items;
use bramleyseam::decide::load_reports::{
    EndpointOutcomes, LoadReport, LoadReports, LoadSums, ReportScope, LOAD_REPORT_VERSION,
    REPORT_EXPIRES_AFTER,
};
use bramleyseam::decide::online::{Action, Arrival, AttemptOutcome, Event, Online, ServiceConfig};
use bramleyseam::decide::retry::AttemptStage;
use bramleyseam::decide::routing::Policy;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SERVICE: u64 = 9;
const DOMAINS: u64 = 3;
const ENDPOINTS: u64 = 90;
const SLOTS: f64 = 8.0;
const REQUESTS_PER_S: f64 = 412.0;
const ITEMS_PER_S: f64 = 51.0;
const BEGIN: Duration = Duration::from_secs(10);
const FAULTS_FROM: Duration = Duration::from_secs(12);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn declared(id: u64) -> (u64, EndpointConfig) {
    let name = format!("endpoint-{id}");
    let config = EndpointConfig {
        name: name.as_str().into(),
        domain: id % DOMAINS,
        service: SERVICE,
        address: name.as_str().into(),
        initial_limit: SLOTS,
        software: "v1".into(),
    };
    (id, config)
}

fn service_config() -> ServiceConfig {
    ServiceConfig {
        first_token_goal: ms(300),
        queue_limit: 256,
        max_in_flight: 2000,
        learn_limit: false,
        shares: HashMap::new(),
    }
}

/// What the endpoints do.
#[derive(Clone, Copy)]
enum Fault {
    /// These many endpoints answer 500 to everything.
    Broken(u64),
    /// The same, but only to callers in failure domain 0.
    BrokenForDomain(u64),
    /// The same as the first, until the given time.
    BrokenUntil(u64, Duration),
    /// Endpoints fail the requests of one VM only.
    BrokenForVm(u64),
    /// All endpoints fail this share of the requests, at random.
    Everywhere(f64),
}

struct Play {
    vms: u64,
    fault: Fault,
    until: Duration,
    seed: u64,
    /// VMs that tell nobody and hear nobody.
    cut_off: Vec<u64>,
}

#[derive(Debug, Clone)]
struct ItemTry {
    failed_at: Vec<u64>,
}

enum Step {
    Arrival,
    ItemArrival,
    Item(u64, u64, ItemTry, bool),
    FirstToken(u64, u64),
    Ended(u64, u64, u64, bool),
    Tick,
    Report,
    Deliver(u64, Box<LoadReport>),
}

#[derive(Default)]
struct Result {
    requests: u32,
    failed: u32,
    refused: u32,
    items: u32,
    items_failed: u32,
    attempts_at_broken: Vec<(Duration, u64)>,
    ejected_good: u32,
    ejected_bad: u32,
    /// Pairs of a VM and an endpoint that evidence keeps out of use at the end.
    barred_at_end: usize,
}

struct Queue {
    steps: HashMap<u64, Step>,
    order: BinaryHeap<Reverse<(Duration, u64)>>,
    count: u64,
}

impl Queue {
    fn add(&mut self, at: Duration, step: Step) {
        self.count += 1;
        self.steps.insert(self.count, step);
        self.order.push(Reverse((at, self.count)));
    }

    fn next(&mut self) -> Option<(Duration, Step)> {
        let Reverse((at, id)) = self.order.pop()?;
        Some((at, self.steps.remove(&id)?))
    }
}

struct Fleet {
    play: Play,
    rng: SmallRng,
    vms: Vec<Online>,
    heard: Vec<LoadReports>,
    delegates: Vec<LoadReports>,
    sequence: u64,
    /// When the slots of each endpoint are free.
    free_at: HashMap<u64, Vec<Duration>>,
    queue: Queue,
    endpoint_of: HashMap<(u64, u64), u64>,
    next_request: u64,
    result: Result,
}

impl Fleet {
    fn new(play: Play) -> Fleet {
        let vm = |at: u64| {
            let mut online =
                Online::new(at % DOMAINS, SmallRng::seed_from_u64(play.seed ^ (at + 1)));
            online.policy = Policy::LeastLoad;
            online.endpoints.counts_lag = play.vms > 30;
            online.endpoints.configure((0..ENDPOINTS).map(declared));
            online.services.insert(SERVICE, service_config());
            online.evidence.set_enabled(true, &mut online.endpoints);
            let members = (0..play.vms).filter(|vm| vm % DOMAINS == at % DOMAINS);
            online.evidence.set_domain(at, members.collect());
            online
        };
        Fleet {
            rng: SmallRng::seed_from_u64(play.seed),
            vms: (0..play.vms).map(vm).collect(),
            heard: (0..play.vms).map(|_| LoadReports::default()).collect(),
            delegates: (0..DOMAINS).map(|_| LoadReports::default()).collect(),
            sequence: 0,
            free_at: (0..ENDPOINTS)
                .map(|id| (id, vec![BEGIN; SLOTS as usize]))
                .collect(),
            queue: Queue {
                steps: HashMap::new(),
                order: BinaryHeap::new(),
                count: 0,
            },
            endpoint_of: HashMap::new(),
            next_request: 1,
            result: Result::default(),
            play,
        }
    }

    fn run(mut self) -> Result {
        for step in [Step::Arrival, Step::ItemArrival, Step::Tick, Step::Report] {
            self.queue.add(BEGIN, step);
        }
        while let Some((now, step)) = self.queue.next() {
            if now >= self.play.until {
                break;
            }
            self.step(now, step);
        }
        let barred = self.vms.iter().map(|vm| vm.evidence.barred_count());
        self.result.barred_at_end = barred.sum();
        self.result
    }

    fn step(&mut self, now: Duration, step: Step) {
        match step {
            Step::Arrival => self.arrival(now),
            Step::ItemArrival => {
                let gap = self.gap(ITEMS_PER_S);
                self.queue.add(now + gap, Step::ItemArrival);
                self.result.items += u32::from(now >= FAULTS_FROM);
                let vm = self.rng.random_range(0..self.play.vms);
                let failed_at = Vec::new();
                self.start_item(now, vm, ItemTry { failed_at });
            }
            Step::Item(vm, endpoint, item, failed) => {
                self.item_ended(now, vm, endpoint, item, failed)
            }
            Step::FirstToken(vm, request) => {
                self.event(now, vm, Event::FirstToken { request });
            }
            Step::Ended(vm, request, endpoint, failed) => {
                self.endpoint_of.remove(&(vm, request));
                let _ = endpoint;
                let outcome = match failed {
                    true => AttemptOutcome::Failed {
                        stage: AttemptStage::MaybeSent,
                        endpoint_fault: true,
                        endpoint_ended: false,
                    },
                    false => AttemptOutcome::Done,
                };
                self.event(now, vm, Event::Ended { request, outcome });
            }
            Step::Tick => self.tick(now),
            Step::Report => self.report(now),
            Step::Deliver(vm, report) => {
                self.heard[vm as usize].apply(now, *report);
            }
        }
    }

    fn gap(&mut self, per_s: f64) -> Duration {
        let unit: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-unit.ln() / per_s)
    }

    fn arrival(&mut self, now: Duration) {
        let gap = self.gap(REQUESTS_PER_S);
        self.queue.add(now + gap, Step::Arrival);
        let vm = self.rng.random_range(0..self.play.vms);
        let request = self.next_request;
        self.next_request += 1;
        self.result.requests += u32::from(now >= FAULTS_FROM);
        let arrival = Arrival {
            request,
            workspace: 0,
            priority: 0,
            service: SERVICE,
            prefix: 0,
            deadline: now + ms(8000),
            idempotent: true,
            resumable: false,
            attempts_max: 3,
            software: None,
        };
        self.event(now, vm, Event::Arrived(arrival));
    }

    fn fails(&mut self, now: Duration, vm: u64, endpoint: u64) -> bool {
        if now < FAULTS_FROM {
            return false;
        }
        match self.play.fault {
            Fault::Broken(count) => broken_ids(count).contains(&endpoint),
            Fault::BrokenForDomain(count) => {
                broken_ids(count).contains(&endpoint) && vm.is_multiple_of(DOMAINS)
            }
            Fault::BrokenUntil(count, until) => {
                now < until && broken_ids(count).contains(&endpoint)
            }
            Fault::BrokenForVm(failing) => vm == failing,
            Fault::Everywhere(share) => self.rng.random_bool(share),
        }
    }

    fn is_broken(&self, endpoint: u64) -> bool {
        match self.play.fault {
            Fault::Broken(count) | Fault::BrokenForDomain(count) => {
                broken_ids(count).contains(&endpoint)
            }
            Fault::BrokenUntil(count, _) => broken_ids(count).contains(&endpoint),
            Fault::BrokenForVm(_) | Fault::Everywhere(_) => false,
        }
    }

    /// Runs work in the first slot that is free; returns when it starts.
    fn occupy(&mut self, now: Duration, endpoint: u64, time: Duration) -> Duration {
        let slots = self.free_at.get_mut(&endpoint).unwrap();
        let first = slots.iter_mut().min().unwrap();
        let start = now.max(*first);
        *first = start + time;
        start
    }

    fn event(&mut self, now: Duration, vm: u64, event: Event) {
        let mut out = Vec::new();
        self.vms[vm as usize].handle(now, event, &mut out);
        self.act(now, vm, out);
    }

    fn act(&mut self, now: Duration, vm: u64, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    request, endpoint, ..
                } => {
                    self.endpoint_of.insert((vm, request), endpoint);
                    let failed = self.fails(now, vm, endpoint);
                    if failed {
                        if self.is_broken(endpoint) {
                            self.result.attempts_at_broken.push((now, endpoint));
                        }
                        let ended = Step::Ended(vm, request, endpoint, true);
                        self.queue.add(now + ms(5), ended);
                        continue;
                    }
                    let start = self.occupy(now, endpoint, ms(700));
                    self.queue
                        .add(start + ms(40), Step::FirstToken(vm, request));
                    let ended = Step::Ended(vm, request, endpoint, false);
                    self.queue.add(start + ms(700), ended);
                }
                Action::Refuse { not_run, .. } => {
                    self.result.refused += u32::from(not_run);
                    self.result.failed += u32::from(!not_run);
                }
                Action::GiveUp { .. } => {}
            }
        }
    }

    fn start_item(&mut self, now: Duration, vm: u64, item: ItemTry) {
        let online = &self.vms[vm as usize];
        let rows = online.endpoints.rows.iter();
        let usable = rows.filter(|row| row.usable(now) && !item.failed_at.contains(&row.id));
        let load = |row: &&bramleyseam::decide::endpoints::Endpoint| {
            let is_remote = row.config.domain != vm % DOMAINS;
            let items = f64::from(row.batch) / SLOTS;
            (row.routing_load(now) + items + f64::from(u8::from(is_remote))) * 1000.0
        };
        let best = usable.min_by(|a, b| load(a).total_cmp(&load(b)));
        let Some(endpoint) = best.map(|row| row.id) else {
            return;
        };
        let failed = self.fails(now, vm, endpoint);
        if failed && self.is_broken(endpoint) {
            self.result.attempts_at_broken.push((now, endpoint));
        }
        let end = match failed {
            true => now + ms(5),
            false => self.occupy(now, endpoint, ms(4800)) + ms(4800),
        };
        self.queue.add(end, Step::Item(vm, endpoint, item, failed));
    }

    fn item_ended(
        &mut self,
        now: Duration,
        vm: u64,
        endpoint: u64,
        mut item: ItemTry,
        failed: bool,
    ) {
        let online = &mut self.vms[vm as usize];
        if !failed {
            online.evidence.succeeded(now, endpoint);
            return;
        }
        item.failed_at.push(endpoint);
        online.item_failed(now, &item.failed_at);
        let failing = |id: &&u64| online.evidence.is_failing(now, **id);
        let uncharged = item.failed_at.iter().filter(failing).count() as u32;
        if items::is_given_up(item.failed_at.len() as u32, uncharged, 3) {
            self.result.items_failed += 1;
            return;
        }
        self.start_item(now + ms(50), vm, item);
    }

    fn tick(&mut self, now: Duration) {
        self.queue.add(now + ms(50), Step::Tick);
        let mut here: HashMap<u64, u32> = HashMap::new();
        for online in &self.vms {
            for row in &online.endpoints.rows {
                *here.entry(row.id).or_default() += row.online_here;
            }
        }
        for vm in 0..self.play.vms {
            self.heard[vm as usize].tick(now);
            let told = self.heard[vm as usize].evidence(vm % DOMAINS);
            let online = &mut self.vms[vm as usize];
            for row in &mut online.endpoints.rows {
                row.online_elsewhere = here[&row.id] - row.online_here;
                row.remote_vms = row.online_elsewhere.min(8);
                let busy = self.free_at[&row.id].iter().filter(|at| now < **at);
                row.batch = (busy.count() as u32).saturating_sub(here[&row.id]);
            }
            online.evidence.hear(now, told);
            let mut out = Vec::new();
            online.tick(now, &mut out);
            for change in online.evidence.take_changes() {
                let ejected = change.state == EvidenceState::Ejected;
                let is_broken = self.play.cut_off.is_empty()
                    && match self.play.fault {
                        Fault::Broken(count) => broken_ids(count).contains(&change.endpoint),
                        Fault::BrokenForDomain(count) => {
                            broken_ids(count).contains(&change.endpoint)
                                && vm.is_multiple_of(DOMAINS)
                        }
                        Fault::BrokenUntil(count, _) => {
                            broken_ids(count).contains(&change.endpoint)
                        }
                        Fault::BrokenForVm(failing) => vm == failing,
                        Fault::Everywhere(_) => false,
                    };
                self.result.ejected_good += u32::from(ejected && !is_broken);
                self.result.ejected_bad += u32::from(ejected && is_broken);
            }
            self.act(now, vm, out);
        }
    }

    /// Each VM reports, to all VMs of its domain or, in the larger fleets, to a delegate that reports
    /// the domain's sums.
    fn report(&mut self, now: Duration) {
        self.queue.add(now + ms(100), Step::Report);
        self.sequence += 1;
        for vm in 0..self.play.vms {
            let evidence = self.vms[vm as usize].evidence.own_outcomes(now);
            let sums = LoadSums {
                vms: 1,
                evidence,
                ..LoadSums::default()
            };
            let report = load_report(vm, vm % DOMAINS, self.sequence, ReportScope::Vm, &sums);
            if self.play.cut_off.contains(&vm) || report.is_empty() {
                continue;
            }
            if self.play.vms > 30 {
                self.delegates[(vm % DOMAINS) as usize].apply(now, report);
                continue;
            }
            for other in (0..self.play.vms).filter(|other| *other != vm) {
                let delay = ms(self.rng.random_range(200..800));
                let delivery = Step::Deliver(other, Box::new(report.clone()));
                self.queue.add(now + delay, delivery);
            }
        }
        if self.play.vms <= 30 {
            return;
        }
        for vm in 0..self.play.vms {
            if self.play.cut_off.contains(&vm) {
                continue;
            }
            let reports = &mut self.delegates[(vm % DOMAINS) as usize];
            reports.tick(now);
            let mut sums = reports.sums(|_| true);
            if let Some(own) = reports.of_vm(vm) {
                sums.subtract(own);
            }
            let domain = vm % DOMAINS;
            let report = load_report(domain, domain, self.sequence, ReportScope::Domain, &sums);
            if report.is_empty() {
                continue;
            }
            let delay = ms(self.rng.random_range(200..800));
            self.queue
                .add(now + delay, Step::Deliver(vm, Box::new(report)));
        }
    }
}

fn load_report(
    sender: u64,
    domain: u64,
    sequence: u64,
    scope: ReportScope,
    sums: &LoadSums,
) -> LoadReport {
    let (evidence, services) = sums.rows();
    LoadReport {
        version: LOAD_REPORT_VERSION,
        sender,
        owner: sender + 1,
        sequence,
        domain,
        scope,
        vms: sums.vms,
        evidence,
        services,
    }
}

fn play(vms: u64, fault: Fault) -> Result {
    run(Play {
        vms,
        fault,
        until: BEGIN + ms(12_000),
        seed: 7,
        cut_off: Vec::new(),
    })
}

fn run(play: Play) -> Result {
    let vms = play.vms;
    let result = Fleet::new(play).run();
    println!(
        "{vms} VMs: {} requests, {} failed, {} refused; {} items, {} failed; \
         {} attempts at broken endpoints, at most {} per second; ejected {} good, {} bad",
        result.requests,
        result.failed,
        result.refused,
        result.items,
        result.items_failed,
        result.attempts_at_broken.len(),
        attempts_per_s(&result),
        result.ejected_good,
        result.ejected_bad,
    );
    result
}

/// Largest number of attempts that one broken endpoint got within a second, from one second after
/// its first failure.
fn attempts_per_s(result: &Result) -> usize {
    let mut by_endpoint: HashMap<u64, Vec<Duration>> = HashMap::new();
    for (at, id) in &result.attempts_at_broken {
        by_endpoint.entry(*id).or_default().push(*at);
    }
    by_endpoint
        .values_mut()
        .map(most_within_second)
        .max()
        .unwrap_or(0)
}

fn most_within_second(attempts: &mut Vec<Duration>) -> usize {
    attempts.sort();
    let Some(failed_first_at) = attempts.first() else {
        return 0;
    };
    let from = *failed_first_at + ms(1_000);
    attempts.retain(|at| *at >= from);
    let within = |first: &Duration| {
        let same_second = |at: &&Duration| **at >= *first && **at < *first + ms(1_000);
        attempts.iter().filter(same_second).count()
    };
    attempts.iter().map(within).max().unwrap_or(0)
}

/// A tenth of the endpoints answers 500 with good health; each VM on its own would need three
/// failures in a row at each of them.
fn broken_tenth(vms: u64) {
    let result = play(vms, Fault::Broken(ENDPOINTS / 10));
    assert!(f64::from(result.failed) < 0.005 * f64::from(result.requests));
    assert!(f64::from(result.items_failed) < 0.01 * f64::from(result.items));
    assert!(attempts_per_s(&result) < 10);
    assert_eq!(result.ejected_good, 0);
}

#[test]
fn broken_small() {
    broken_tenth(6);
}

#[test]
fn broken_medium() {
    broken_tenth(72);
}

#[test]
fn broken_large() {
    broken_tenth(295);
}

/// Failures spread over all endpoints have another cause than an endpoint, and ejecting any of them
/// would cost slots.
#[test]
fn failures_everywhere() {
    for vms in [6, 72, 295] {
        for share in [0.02, 0.05] {
            let result = play(vms, Fault::Everywhere(share));
            assert_eq!(result.ejected_good, 0);
        }
    }
}

/// Endpoints that fail only the callers of one domain must stay in use in the others.
#[test]
fn one_domain() {
    let result = play(72, Fault::BrokenForDomain(9));
    assert_eq!(result.ejected_good, 0);
    assert!(result.ejected_bad > 0);
    assert!(f64::from(result.failed) < 0.005 * f64::from(result.requests));
}

/// A VM that is cut off from all endpoints, and sees failures at each of them, must not cost the
/// others any.
#[test]
fn failing_vm() {
    for vms in [6, 72, 295] {
        let result = play(vms, Fault::BrokenForVm(4));
        assert_eq!(result.ejected_good, 0);
    }
}

/// Endpoints that work again must come back into use at all VMs.
#[test]
fn recovered_endpoints() {
    for vms in [6, 72, 295] {
        let result = run(Play {
            vms,
            fault: Fault::BrokenUntil(9, FAULTS_FROM + ms(5_000)),
            until: FAULTS_FROM + ms(16_000),
            seed: 11,
            cut_off: Vec::new(),
        });
        assert_eq!(result.barred_at_end, 0);
    }
}

/// VMs that hear nothing from others and tell nothing decide by their own counts.
#[test]
fn silent_links() {
    let result = run(Play {
        vms: 6,
        fault: Fault::Broken(9),
        until: BEGIN + ms(12_000),
        seed: 5,
        cut_off: (0..6).collect(),
    });
    assert!(f64::from(result.failed) < 0.01 * f64::from(result.requests));
}

/// Without the delegates' reports, a VM's own counts remain.
#[test]
fn dead_delegates() {
    let result = run(Play {
        vms: 72,
        fault: Fault::Broken(9),
        until: BEGIN + ms(12_000),
        seed: 5,
        cut_off: (0..72).collect(),
    });
    assert!(f64::from(result.failed) < 0.02 * f64::from(result.requests));
}

/// Endpoints that are broken, spread over the failure domains.
fn broken_ids(count: u64) -> Vec<u64> {
    (0..count).map(|at| at * 10 + 3).collect()
}

struct Single {
    evidence: Evidence,
    endpoints: Endpoints,
}

impl Single {
    fn new() -> Single {
        let mut endpoints = Endpoints::default();
        endpoints.configure((0..10).map(declared));
        let mut evidence = Evidence::default();
        evidence.set_enabled(true, &mut endpoints);
        evidence.set_domain(1, vec![1, 2, 3]);
        Single {
            evidence,
            endpoints,
        }
    }

    fn hear(&mut self, now: Duration, rows: &[(u64, u16, u16, u16)]) {
        let row = |(id, failures, successes, accusing_vms): &(u64, u16, u16, u16)| {
            let outcomes = EndpointOutcomes {
                failures: *failures,
                successes: *successes,
                accusing_vms: *accusing_vms,
            };
            (*id, outcomes)
        };
        self.evidence.hear(now, rows.iter().map(row).collect());
        self.evidence.tick(now, &mut self.endpoints);
    }

    fn usable(&self, now: Duration, id: u64) -> bool {
        self.endpoints.get(id).unwrap().usable(now)
    }

    fn probe(&mut self, now: Duration) -> Option<u64> {
        let query = ProbeQuery {
            service: SERVICE,
            is_repeatable: true,
            avoid: None,
        };
        self.evidence.probe(now, query, &self.endpoints)
    }
}

/// At most three in ten endpoints may be ejected, or a fault of the domain itself would leave no
/// slots; those with the most failures go first.
#[test]
fn ejected_share() {
    let mut single = Single::new();
    let rows: Vec<_> = (0..10).map(|id| (id, 10 + id as u16, 0, 3)).collect();
    single.hear(BEGIN, &rows);
    let usable: Vec<u64> = (0..10).filter(|id| single.usable(BEGIN, *id)).collect();
    assert_eq!(usable, [0, 1, 2, 3, 4, 5, 6]);
}

/// One VM that accuses every endpoint must eject none at the others, however much it reports and
/// although another VM sees an occasional failure.
#[test]
fn misreporting_vm() {
    let mut single = Single::new();
    let mut reports = LoadReports::default();
    let outcomes = EndpointOutcomes {
        failures: 900,
        successes: 0,
        accusing_vms: 50,
    };
    let sums = LoadSums {
        vms: 1,
        evidence: (0..10).map(|id| (id, outcomes)).collect(),
        ..LoadSums::default()
    };
    reports.apply(BEGIN, load_report(2, 0, 1, ReportScope::Vm, &sums));
    single.evidence.hear(BEGIN, reports.evidence(0));
    single.evidence.tick(BEGIN, &mut single.endpoints);
    assert!((0..10).all(|id| single.usable(BEGIN, id)));
    single.evidence.succeeded(BEGIN, 4);
    single.evidence.failed(BEGIN, 4, false);
    single.evidence.tick(BEGIN, &mut single.endpoints);
    assert!(single.usable(BEGIN, 4));
}

/// Reports of a VM that is gone expire, and the counts of this VM remain.
#[test]
fn lost_reports() {
    let mut single = Single::new();
    let mut reports = LoadReports::default();
    let outcomes = EndpointOutcomes {
        failures: 3,
        successes: 0,
        accusing_vms: 1,
    };
    let sums = LoadSums {
        vms: 1,
        evidence: [(4, outcomes)].into(),
        ..LoadSums::default()
    };
    reports.apply(BEGIN, load_report(2, 0, 1, ReportScope::Vm, &sums));
    let later = BEGIN + REPORT_EXPIRES_AFTER;
    reports.tick(later);
    single.evidence.failed(later, 4, false);
    single.evidence.hear(later, reports.evidence(0));
    single.evidence.tick(later, &mut single.endpoints);
    assert!(single.usable(later, 4));
    assert_eq!(single.evidence.state(later, 4), EvidenceState::Suspect);
}

/// A process that restarts has no evidence, and takes over that of the others with their reports.
#[test]
fn restarted_vm() {
    let mut single = Single::new();
    assert!(single.usable(BEGIN, 4));
    single.hear(BEGIN, &[(4, FAILURES_MIN as u16, 0, 2)]);
    assert!(!single.usable(BEGIN, 4));
}

/// A process that restarts under the same name has an id of its own, to which nothing applies that
/// is known of the one before.
#[test]
fn restarted_endpoint() {
    let mut single = Single::new();
    single.hear(BEGIN, &[(4, 9, 0, 2)]);
    let renamed = (0..10).map(|id| match id {
        4 => (400, declared(4).1),
        _ => declared(id),
    });
    single.endpoints.configure(renamed);
    single.hear(BEGIN + ms(100), &[(4, 9, 0, 2)]);
    assert!(single.usable(BEGIN + ms(100), 400));
    assert_eq!(
        single.evidence.state(BEGIN + ms(100), 400),
        EvidenceState::Clear
    );
}

/// All VMs at once would send an endpoint that still fails as many requests as there are VMs.
#[test]
fn single_prober() {
    let mut single = Single::new();
    let mut probers = 0;
    let trial = BEGIN + EJECT_MIN;
    for vm in [1, 2, 3] {
        single = Single::new();
        single.evidence.set_domain(vm, vec![1, 2, 3]);
        single.hear(BEGIN, &[(4, 9, 0, 2)]);
        single.hear(trial, &[]);
        probers += u32::from(single.probe(trial) == Some(4));
        assert!(!single.usable(trial, 4));
        // One probe at a time.
        assert_eq!(single.probe(trial), None);
    }
    assert_eq!(probers, 1);
    // If that VM is gone, another one probes later.
    single.hear(trial + ms(3_000), &[]);
    single.evidence.probe_ended(trial + ms(3_000), 4, None);
    assert_eq!(single.probe(trial + ms(3_000)), Some(4));
}

/// An endpoint comes back after three successes, and stays out for twice as long after a failure.
#[test]
fn probe_results() {
    let mut single = Single::new();
    single.hear(BEGIN, &[(4, 9, 0, 2)]);
    let trial = BEGIN + EJECT_MIN + ms(10);
    single.hear(trial, &[]);
    let later = trial + ms(2_000);
    assert_eq!(single.probe(later), Some(4));
    single.evidence.failed(later, 4, false);
    single.evidence.probe_ended(later, 4, Some(false));
    single.hear(later + EJECT_MIN * 2 - ms(1), &[]);
    assert_eq!(single.evidence.state(later, 4), EvidenceState::Ejected);
    let trial = later + EJECT_MIN * 2;
    single.hear(trial, &[]);
    let later = trial + ms(2_000);
    for _ in 0..3 {
        assert_eq!(single.probe(later), Some(4));
        single.evidence.probe_ended(later, 4, Some(true));
    }
    single.hear(later, &[]);
    assert!(single.usable(later, 4));
    // The other VMs hear of it.
    let told = single.evidence.own_outcomes(later)[&4];
    assert_eq!((told.failures, told.successes), (0, 3));
    let mut other = Single::new();
    other.hear(BEGIN, &[(4, 9, 0, 2)]);
    other.hear(later, &[]);
    assert!(!other.usable(later, 4));
    other.hear(later + ms(500), &[(4, 0, 3, 0)]);
    assert!(other.usable(later + ms(500), 4));
}

/// Items that began before the fault complete during the trial; they must not end it at other VMs.
#[test]
fn late_completions() {
    let mut single = Single::new();
    single.hear(BEGIN, &[(4, 9, 0, 2)]);
    let trial = BEGIN + EJECT_MIN;
    single.hear(trial, &[(4, 1, 0, 1)]);
    for _ in 0..5 {
        single.evidence.succeeded(trial, 4);
    }
    assert!(single.evidence.own_outcomes(trial).is_empty());
}

/// What was told before an ejection must not count as a failed probe.
#[test]
fn stale_failures() {
    let mut single = Single::new();
    single.hear(BEGIN, &[(4, 9, 0, 2)]);
    let trial = BEGIN + EJECT_MIN;
    single.hear(trial, &[(4, 5, 0, 2)]);
    single.hear(trial + ms(100), &[(4, 3, 0, 2)]);
    assert_eq!(single.evidence.state(trial, 4), EvidenceState::Trial);
    single.hear(trial + ms(200), &[(4, 4, 0, 2)]);
    assert_eq!(single.evidence.state(trial, 4), EvidenceState::Ejected);
}

/// A request that fails everywhere is at fault itself, and must eject no endpoint.
#[test]
fn failing_request() {
    let mut online = Online::new(0, SmallRng::seed_from_u64(3));
    online.endpoints.configure((0..10).map(declared));
    online.services.insert(SERVICE, service_config());
    online.evidence.set_enabled(true, &mut online.endpoints);
    for request in 1..40 {
        let now = BEGIN + ms(20 * request);
        let arrival = Arrival {
            request,
            workspace: 0,
            priority: 0,
            service: SERVICE,
            prefix: 0,
            deadline: now + ms(8000),
            idempotent: true,
            resumable: false,
            attempts_max: 3,
            software: None,
        };
        let mut out = Vec::new();
        online.handle(now, Event::Arrived(arrival), &mut out);
        while out
            .iter()
            .any(|action| matches!(action, Action::Send { .. }))
        {
            out.clear();
            let outcome = AttemptOutcome::Failed {
                stage: AttemptStage::MaybeSent,
                endpoint_fault: true,
                endpoint_ended: false,
            };
            online.handle(now, Event::Ended { request, outcome }, &mut out);
        }
        if request % 4 != 0 {
            online.evidence.tick(now, &mut online.endpoints);
        }
    }
    assert!(online.evidence.take_changes().is_empty());
}

/// An item that fails everywhere accuses nobody.
#[test]
fn failing_item() {
    let mut online = Online::new(0, SmallRng::seed_from_u64(3));
    online.endpoints.configure((0..10).map(declared));
    online.evidence.set_enabled(true, &mut online.endpoints);
    let mut failed_at = Vec::new();
    for endpoint in 0..6 {
        failed_at.push(endpoint);
        online.item_failed(BEGIN, &failed_at);
    }
    assert!(online.evidence.own_outcomes(BEGIN).is_empty());
}

/// Failures at endpoints that fail others are not charged, but bounded.
#[test]
fn charged_items() {
    assert!(!items::is_given_up(2, 0, 3));
    assert!(items::is_given_up(3, 0, 3));
    assert!(!items::is_given_up(5, 3, 3));
    assert!(items::is_given_up(6, 6, 3));
    // More attempts than the sum of both kinds can count.
    assert!(!items::is_given_up(6, 6, u32::MAX));
}

/// Without the setting, failures are counted by each VM alone and nothing is told.
#[test]
fn switched_off() {
    let mut single = Single::new();
    single.evidence.set_enabled(false, &mut single.endpoints);
    single.evidence.failed(BEGIN, 4, false);
    single.hear(BEGIN, &[(4, 900, 0, 9)]);
    assert!(single.usable(BEGIN, 4));
    assert!(single.evidence.own_outcomes(BEGIN).is_empty());
    assert_eq!(single.endpoints.get(4).unwrap().penalty, 0.0);
}
