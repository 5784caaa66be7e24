//! The limit on waiting tokens of a route, over VMs that receive each other's reports with a delay.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use bramleyseam::decide::backlog::{
    AdmissionPath, Backlog, BacklogView, Reservation, Reservations, PEER_REPORT_DELAY,
    RETRY_AFTER_MAX, RETRY_AFTER_MIN,
};
use bramleyseam::id::JobId;
use quickcheck::quickcheck;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ROUTE: u64 = 7;
const LIMIT: u64 = 100_000;
const STEP: Duration = Duration::from_millis(20);

fn view(waiting_tokens: u64, vms: u32) -> BacklogView {
    BacklogView {
        limit_tokens: LIMIT,
        waiting_tokens,
        vms,
    }
}

fn job(number: u64) -> JobId {
    format!("job-{number}").as_str().into()
}

/// An accepted job whose record is in the store.
struct StoredJob {
    vm: usize,
    tokens: u64,
    accepted_at: Duration,
    finished_at: Option<Duration>,
}

/// A write of a job record whose answer was lost.
struct LateWrite {
    vm: usize,
    id: JobId,
    tokens: u64,
    started_at: Duration,
    /// When the write takes effect, if it does.
    effective_at: Duration,
}

/// Result of a simulated flood.
#[derive(Default)]
struct SimulationResult {
    admitted: u64,
    refused: u64,
    /// The highest ratio of waiting tokens to the limit in force, at an acceptance.
    max_ratio: f64,
    /// The highest number of waiting tokens.
    peak_waiting: u64,
}

/// Simulates VMs that learn of each other's jobs within [`PEER_REPORT_DELAY`], a store that orders
/// reservations, engines that finish jobs, restarts, lost answers, and a limit that changes.
struct Simulation {
    rng: SmallRng,
    now: Duration,
    limit: u64,
    vms: Vec<Backlog>,
    /// When each VM started; it has read all records that existed then.
    started: Vec<Duration>,
    /// Jobs that wait, and those finished so recently that a VM may still count them.
    stored: HashMap<JobId, StoredJob>,
    waiting: u64,
    late_writes: Vec<LateWrite>,
    reservations: Reservations,
    last_job: u64,
    result: SimulationResult,
}

impl Simulation {
    fn new(seed: u64, vms: usize) -> Simulation {
        Simulation {
            rng: SmallRng::seed_from_u64(seed),
            now: Duration::from_secs(100),
            limit: LIMIT,
            vms: (0..vms).map(|_| Backlog::default()).collect(),
            started: vec![Duration::ZERO; vms],
            stored: HashMap::new(),
            waiting: 0,
            late_writes: Vec::new(),
            reservations: Reservations::default(),
            last_job: 0,
            result: SimulationResult::default(),
        }
    }

    /// Time until a VM has received the reports of the others.
    fn delay(&self, vm: usize) -> Duration {
        PEER_REPORT_DELAY.mul_f64((vm % 4 + 1) as f64 / 4.0)
    }

    /// Whether a VM has a job's record.
    fn has_record(&self, vm: usize, job: &StoredJob) -> bool {
        let reported = self.now >= job.accepted_at + self.delay(vm);
        job.vm == vm || job.accepted_at <= self.started[vm] || reported
    }

    fn view(&self, vm: usize) -> BacklogView {
        let known = self.stored.values().filter(|one| self.has_record(vm, one));
        let reported = |at: Duration| self.now >= at + PEER_REPORT_DELAY;
        let open = known.filter(|one| !one.finished_at.is_some_and(reported));
        let open: u64 = open.map(|one| one.tokens).sum();
        let known = |id: &JobId| {
            self.stored
                .get(id)
                .is_some_and(|one| self.has_record(vm, one))
        };
        let being_written = self.late_writes.iter().filter(|one| {
            let reported = self.now >= one.started_at + self.delay(vm);
            one.vm != vm && reported && one.started_at > self.started[one.vm]
        });
        let being_written: u64 = being_written.map(|one| one.tokens).sum();
        BacklogView {
            limit_tokens: self.limit,
            waiting_tokens: open + being_written + self.vms[vm].tokens_being_written(ROUTE, known),
            vms: self.vms.len() as u32,
        }
    }

    fn submit(&mut self, vm: usize, tokens: u64) {
        self.last_job += 1;
        let id = job(self.last_job);
        let view = self.view(vm);
        let admitted = match self.vms[vm].request_admission(self.now, ROUTE, &id, tokens, view) {
            AdmissionPath::Share => true,
            AdmissionPath::Full => false,
            AdmissionPath::Reserve => self.reserve(vm, &id, tokens, view),
        };
        if !admitted {
            self.result.refused += 1;
            return;
        }
        self.result.admitted += 1;
        if self.rng.random_bool(0.05) {
            let after = Duration::from_millis(self.rng.random_range(100..6000));
            self.late_writes.push(LateWrite {
                vm,
                id,
                tokens,
                started_at: self.now,
                effective_at: self.now + after,
            });
            return;
        }
        self.vms[vm].job_written(self.now, &id);
        self.accept(id, vm, tokens);
    }

    fn reserve(&mut self, vm: usize, id: &JobId, tokens: u64, view: BacklogView) -> bool {
        let reservation = Reservation {
            job: id.clone(),
            tokens,
        };
        let reserved = self.reservations.rows.iter().map(|row| row.job.clone());
        let known: HashSet<JobId> = reserved
            .filter(|id| {
                self.stored
                    .get(id)
                    .is_some_and(|job| self.has_record(vm, job))
            })
            .collect();
        let before = self.reservations.clone();
        let has_record = |id: &JobId| known.contains(id);
        let after =
            self.vms[vm].reserve(self.now, ROUTE, &before, &reservation, view, has_record, 1);
        let Some(after) = after else {
            return false;
        };
        self.reservations = after;
        self.vms[vm].reservation_written(self.now, ROUTE, &reservation);
        true
    }

    fn accept(&mut self, id: JobId, vm: usize, tokens: u64) {
        let job = StoredJob {
            vm,
            tokens,
            accepted_at: self.now,
            finished_at: None,
        };
        self.stored.insert(id, job);
        self.waiting += tokens;
        self.result.peak_waiting = self.result.peak_waiting.max(self.waiting);
        let ratio = self.waiting as f64 / self.limit as f64;
        self.result.max_ratio = self.result.max_ratio.max(ratio);
    }

    fn step(&mut self, jobs: usize, done_tokens: u64) {
        self.now += STEP;
        if (self.now.as_millis() / STEP.as_millis()).is_multiple_of(5) {
            for vm in 0..self.vms.len() {
                let waiting = self.view(vm).waiting_tokens;
                self.vms[vm].note_waiting(self.now, ROUTE, waiting);
            }
        }
        let due_writes = |write: &mut LateWrite| write.effective_at <= self.now;
        let due_writes: Vec<LateWrite> = self.late_writes.extract_if(.., due_writes).collect();
        for write in due_writes {
            if self.rng.random_bool(0.5) {
                self.accept(write.id, write.vm, write.tokens);
            }
        }
        for _ in 0..jobs {
            let vm = self.rng.random_range(0..self.vms.len());
            let tokens = self.rng.random_range(200..1500);
            self.submit(vm, tokens);
        }
        self.finish(done_tokens);
    }

    fn finish(&mut self, done_tokens: u64) {
        let now = self.now;
        let reported = |at: Duration| now >= at + PEER_REPORT_DELAY;
        self.stored
            .retain(|_, job| !job.finished_at.is_some_and(reported));
        let mut left = done_tokens * 10;
        if !(now.as_millis() / STEP.as_millis()).is_multiple_of(10) {
            return;
        }
        let open = self.stored.values_mut();
        for job in open.filter(|job| job.finished_at.is_none()) {
            if left < job.tokens {
                return;
            }
            left -= job.tokens;
            self.waiting -= job.tokens;
            job.finished_at = Some(now);
        }
    }

    fn restart(&mut self, vm: usize) {
        self.vms[vm] = Backlog::default();
        self.started[vm] = self.now;
    }
}

// A workspace's jobs come at sixty times the usual rate, to all VMs at once. No VM has received the
// reports of what the others admitted in the last second; without coordination they would exceed
// the limit several times.
#[test]
fn flood_within_limit() {
    for vms in [1, 9, 51] {
        let mut simulation = Simulation::new(vms as u64, vms);
        for _ in 0..1000 {
            simulation.step(6, 50);
        }
        assert!(
            simulation.result.max_ratio <= 1.0,
            "{vms} VMs: {}",
            simulation.result.max_ratio
        );
        // Jobs that fit are admitted: the limit is nearly used up, with any number of VMs.
        assert!(
            simulation.result.peak_waiting * 100 >= LIMIT * 90,
            "{vms} VMs: {}",
            simulation.result.peak_waiting
        );
    }
}

// Jobs that fit are not refused, however they are distributed over the VMs.
#[test]
fn usual_load_taken() {
    for vms in [1, 9, 330] {
        let mut simulation = Simulation::new(3, vms);
        for step in 0..500 {
            simulation.step(usize::from(step % 10 == 0), 100);
        }
        assert_eq!(simulation.result.refused, 0, "{vms} VMs");
        assert!(simulation.result.admitted >= 50);
    }
}

// One job of two fifths of the limit comes to one of 330 VMs while nothing waits. The VM's even
// share is far smaller, but the job is admitted through a reservation.
#[test]
fn large_job_fits() {
    let mut backlog = Backlog::default();
    let view = view(0, 330);
    let reservation = Reservation {
        job: job(1),
        tokens: 40_000,
    };
    let path = backlog.request_admission(
        Duration::ZERO,
        ROUTE,
        &reservation.job,
        reservation.tokens,
        view,
    );
    assert_eq!(path, AdmissionPath::Reserve);
    let before = Reservations::default();
    let after = backlog.reserve(
        Duration::ZERO,
        ROUTE,
        &before,
        &reservation,
        view,
        |_| false,
        1,
    );
    assert_eq!(after.unwrap().rows, [reservation]);
}

// The operator lowers the limit far below the waiting tokens. No job is admitted until the waiting
// tokens fall below the new limit.
#[test]
fn limit_lowered() {
    let mut simulation = Simulation::new(5, 9);
    for _ in 0..400 {
        simulation.step(3, 300);
    }
    simulation.limit = LIMIT / 10;
    let before = simulation.result.admitted;
    while simulation.waiting > simulation.limit {
        simulation.step(3, 300);
        assert_eq!(simulation.result.admitted, before);
    }
}

// The retry time of a refused caller is computed from the rate of finished tokens, within its
// bounds.
#[test]
fn return_by_pace() {
    let now = Duration::from_secs(50);
    let mut backlog = Backlog::default();
    let full = view(LIMIT, 9);
    assert_eq!(backlog.retry_after(now, ROUTE, 1000, full), RETRY_AFTER_MAX);
    backlog.tokens_finished(now, ROUTE, 8_000);
    let soon = backlog.retry_after(now, ROUTE, 1_000, full);
    assert_eq!(soon, Duration::from_secs(2));
    backlog.tokens_finished(now, ROUTE, 80_000);
    assert_eq!(
        backlog.retry_after(now, ROUTE, 1_000, full),
        RETRY_AFTER_MIN
    );
}

quickcheck! {
    // For any order of events, with VMs that restart and writes that take effect late: at each
    // acceptance, waiting tokens exceed the limit by at most half of the overage that operators
    // allow for.
    fn never_over(seed: u64, vms: u8, rate: u8) -> bool {
        let vms = usize::from(vms % 40) + 1;
        let mut simulation = Simulation::new(seed, vms);
        for step in 0..300 {
            simulation.step(usize::from(rate % 8), 500);
            if step % 100 == 99 {
                let vm = simulation.rng.random_range(0..vms);
                simulation.restart(vm);
            }
        }
        simulation.result.max_ratio <= 1.05
    }
}
