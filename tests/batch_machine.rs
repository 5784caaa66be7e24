//! Batch work under random failures, simulated: the decision code against a fake store and fake
//! endpoints.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use bramleyseam::decide::batch::place::{BatchPeers, ServiceWorkers};
use bramleyseam::decide::batch::{
    Action, AttemptEnd, Batch, ChunkKey, Event, ItemWork, JobView, PlannedItem,
};
use bramleyseam::decide::commit::WriteOutcome;
use bramleyseam::decide::jobs::{
    ChunkRecord, ChunkState, ContentLocation, ItemCounts, JobRecord, JobState, ResultSegment,
    Segment,
};
use bramleyseam::decide::retry::AttemptStage;
use bytes::Bytes;
use quickcheck::{quickcheck, TestResult};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SERVICE: u64 = 1;
const ITEMS: u32 = 12;
const CHUNKS: u32 = 3;
const STEP: Duration = Duration::from_millis(100);
const HOUR: Duration = Duration::from_secs(3600);

/// Probabilities per call or step, and single events.
#[derive(Clone, Copy)]
struct Faults {
    lose_answer: f64,
    store_unavailable: f64,
    endpoint_fails: f64,
    kill: f64,
    pause: f64,
    partition: f64,
    cancel_at: Option<u32>,
    non_repeatable: bool,
    /// The item in the first chunk that kills its endpoint.
    poison: Option<u32>,
}

struct Vm {
    batch: Batch,
    /// Events in transit, with the step at which they arrive.
    inbox: Vec<(u32, Event)>,
    paused_until: u32,
    partitioned_until: u32,
    /// Jobs and peers as last passed to it.
    last_passed: Option<(Vec<JobView>, BatchPeers)>,
}

struct Simulation {
    rng: SmallRng,
    faults: Faults,
    step: u32,
    revision: u64,
    chunks: BTreeMap<ChunkKey, (u64, ChunkRecord)>,
    /// Lines of stored segments by digest.
    segments: HashMap<String, Vec<Bytes>>,
    job: JobRecord,
    vms: Vec<Vm>,
    /// Number of runs of each item, by chunk and item.
    executions: HashMap<(u32, u32), u32>,
    /// The job record at its end.
    ended: Option<JobRecord>,
    cancelled_at: Option<u32>,
    started_late: u32,
}

fn now(step: u32) -> Duration {
    STEP * step
}

impl Simulation {
    fn new(seed: u64, faults: Faults, vms: usize) -> Simulation {
        let job = JobRecord {
            id: "batch_1".into(),
            workspace: "terrasse".into(),
            endpoint: "/v1/chat/completions".into(),
            file: "file-1".into(),
            targets: vec!["model:permit-7b".into()],
            chunks: CHUNKS,
            state: JobState::InProgress,
            created_ms: 0,
            deadline_ms: u64::MAX,
            ended_ms: None,
            counts: ItemCounts {
                total: ITEMS * CHUNKS,
                ..ItemCounts::default()
            },
            nonce: 1,
        };
        let mut simulation = Simulation {
            rng: SmallRng::seed_from_u64(seed),
            faults,
            step: 0,
            revision: 0,
            chunks: BTreeMap::new(),
            segments: HashMap::new(),
            job,
            vms: Vec::new(),
            executions: HashMap::new(),
            ended: None,
            cancelled_at: None,
            started_late: 0,
        };
        for _ in 0..vms {
            let vm = simulation.new_vm();
            simulation.vms.push(vm);
        }
        simulation
    }

    fn new_vm(&mut self) -> Vm {
        let owner = self.rng.random();
        let batch = Batch::new(owner, SmallRng::seed_from_u64(self.rng.random()));
        Vm {
            batch,
            inbox: Vec::new(),
            paused_until: 0,
            partitioned_until: 0,
            last_passed: None,
        }
    }

    fn chance(&mut self, chance: f64) -> bool {
        self.rng.random_bool(chance)
    }

    fn write_chunk(&mut self, key: &ChunkKey, expect: u64, record: ChunkRecord) -> WriteOutcome {
        if self.chance(self.faults.store_unavailable) {
            return WriteOutcome::Away;
        }
        let standing = self.chunks.get(key).map_or(0, |(revision, _)| *revision);
        let won = standing == expect;
        if won {
            if let Some((_, before)) = self.chunks.get(key) {
                assert!(record.epoch >= before.epoch, "an old epoch won");
                assert_eq!(
                    before.state,
                    ChunkState::Open,
                    "a chunk changed after its end"
                );
                assert!(
                    record.segments.starts_with(&before.segments),
                    "a result changed"
                );
            }
            self.revision += 1;
            self.chunks.insert(key.clone(), (self.revision, record));
        }
        if self.chance(self.faults.lose_answer) {
            return WriteOutcome::Unknown;
        }
        if won {
            WriteOutcome::Won(self.revision)
        } else {
            WriteOutcome::Lost
        }
    }

    fn store_segment(&mut self, lines: Vec<Bytes>, errors: bool) -> ResultSegment {
        let digest = format!("{}-{}", self.segments.len(), errors);
        let count = lines.len() as u32;
        self.segments.insert(digest.clone(), lines);
        let segment = Segment {
            digest,
            bytes: 0,
            lines: count,
            place: ContentLocation::Inline,
        };
        ResultSegment { segment, errors }
    }

    fn execute(&mut self, key: &ChunkKey, item: u32) -> AttemptEnd {
        if self.chance(self.faults.endpoint_fails) {
            let reach = match self.rng.random_range(0..3) {
                0 => AttemptStage::NotSent,
                1 => AttemptStage::Refused,
                _ => AttemptStage::MaybeSent,
            };
            if reach == AttemptStage::MaybeSent && self.chance(0.5) {
                *self.executions.entry((key.chunk, item)).or_default() += 1;
            }
            return AttemptEnd::Failed {
                reach,
                died: false,
                detail: "fake".into(),
            };
        }
        *self.executions.entry((key.chunk, item)).or_default() += 1;
        AttemptEnd::Done(Bytes::from(format!("{}/{item}", key.chunk)))
    }

    fn perform(&mut self, vm: usize, action: Action) {
        let delay = self.rng.random_range(1..4);
        let at = self.step + delay;
        let event = match action {
            Action::Read { key, run } => {
                let store_unavailable = self.chance(self.faults.store_unavailable);
                let found = (!store_unavailable).then(|| self.chunks.get(&key).cloned());
                Event::Read { key, run, found }
            }
            Action::Write {
                key,
                run,
                expect,
                record,
            } => {
                let answer = self.write_chunk(&key, expect, record);
                Event::Written { key, run, answer }
            }
            Action::Load { key, run } => Event::Loaded {
                key,
                run,
                items: self.planned_items(),
            },
            Action::Store {
                key,
                run,
                output,
                errors,
            } => {
                let mut segments = Vec::new();
                for (lines, errors) in [(output, false), (errors, true)] {
                    if !lines.is_empty() {
                        segments.push(self.store_segment(lines, errors));
                    }
                }
                Event::Stored { key, run, segments }
            }
            Action::Start {
                attempt: flight,
                key,
                item,
                ..
            } => {
                if self.cancelled_at.is_some_and(|at| self.step > at + 10) {
                    self.started_late += 1;
                }
                if key.chunk == 0 && self.faults.poison == Some(item) {
                    self.endpoint_dies(vm, at, flight);
                    return;
                }
                let end = self.execute(&key, item);
                let at = at + self.rng.random_range(0..20);
                self.vms[vm].inbox.push((
                    at,
                    Event::Ended {
                        attempt: flight,
                        end,
                    },
                ));
                return;
            }
            Action::Cancel { attempt: flight } => {
                // An attempt whose endpoint died ends as failed even if it was cancelled in the
                // meantime.
                let waiting = |event: &Event| match event {
                    Event::Ended { attempt: f, end } => {
                        *f == flight && !matches!(end, AttemptEnd::Failed { died: true, .. })
                    }
                    _ => false,
                };
                let inbox = &mut self.vms[vm].inbox;
                if let Some(found) = inbox.iter_mut().find(|(_, event)| waiting(event)) {
                    *found = (
                        at,
                        Event::Ended {
                            attempt: flight,
                            end: AttemptEnd::Cancelled,
                        },
                    );
                }
                return;
            }
            Action::Finish { .. } => {
                self.finish();
                return;
            }
        };
        self.vms[vm].inbox.push((at, event));
    }

    /// All attempts in flight at the VM's endpoint fail with it.
    fn endpoint_dies(&mut self, vm: usize, at: u32, flight: u64) {
        let died = || AttemptEnd::Failed {
            reach: AttemptStage::MaybeSent,
            died: true,
            detail: "died".into(),
        };
        for (arrival, event) in &mut self.vms[vm].inbox {
            if let Event::Ended { end, .. } = event {
                (*arrival, *end) = (at, died());
            }
        }
        self.vms[vm].inbox.push((
            at,
            Event::Ended {
                attempt: flight,
                end: died(),
            },
        ));
    }

    fn planned_items(&self) -> Vec<PlannedItem> {
        let idempotent = !self.faults.non_repeatable;
        (0..ITEMS)
            .map(|item| {
                let custom_id = Bytes::from(format!("\"{item}\""));
                let work = match item {
                    0 => ItemWork::Bad {
                        code: "invalid_line",
                        message: "fake".into(),
                    },
                    _ => ItemWork::Run {
                        service: SERVICE,
                        idempotent,
                    },
                };
                PlannedItem { custom_id, work }
            })
            .collect()
    }

    fn finish(&mut self) {
        let records: Vec<ChunkRecord> = self.chunks.values().map(|(_, r)| r.clone()).collect();
        if let Some(ended) = self.job.finish(&records, 0, 7) {
            self.job = ended.clone();
            self.ended = Some(ended);
        }
    }

    fn run_step(&mut self) {
        self.step += 1;
        if self.faults.cancel_at == Some(self.step) {
            if let Some(cancelled) = self.job.cancel(9) {
                self.job = cancelled;
                self.cancelled_at = Some(self.step);
            }
        }
        for vm in 0..self.vms.len() {
            if self.chance(self.faults.kill) {
                self.vms[vm] = self.new_vm();
                // The other VMs notice the restart after a while.
                self.vms[vm].partitioned_until = self.step + self.rng.random_range(0..40);
            }
            if self.chance(self.faults.pause) {
                self.vms[vm].paused_until = self.step + self.rng.random_range(5..150);
            }
            if self.chance(self.faults.partition) {
                self.vms[vm].partitioned_until = self.step + self.rng.random_range(5..100);
            }
        }
        for vm in 0..self.vms.len() {
            if self.vms[vm].paused_until <= self.step {
                self.run_vm(vm);
            }
        }
    }

    fn run_vm(&mut self, vm: usize) {
        let time = now(self.step);
        let mut due = Vec::new();
        let step = self.step;
        self.vms[vm].inbox.retain(|(at, event)| {
            let now = *at <= step;
            if now {
                due.push(event.clone());
            }
            !now
        });
        let views = match self.job.state.ended() {
            true => Vec::new(),
            false => vec![JobView {
                id: self.job.id.clone(),
                workspace: self.job.workspace.clone(),
                services: vec![SERVICE],
                chunks: CHUNKS,
                state: self.job.state,
                deadline: HOUR * 24,
            }],
        };
        let seen = |other: usize, state: &Vm| {
            other == vm || (state.paused_until <= step && state.partitioned_until <= step)
        };
        let seen: Vec<(usize, &Vm)> = self
            .vms
            .iter()
            .enumerate()
            .filter(|(at, state)| seen(*at, state))
            .collect();
        let vms: Vec<u64> = seen.iter().map(|(at, _)| *at as u64 + 1).collect();
        let owners = seen.iter().map(|(_, state)| state.batch.owner()).collect();
        let workers = ServiceWorkers {
            service: SERVICE,
            vms: vms.clone(),
            domains: vec![1],
        };
        let peers = BatchPeers {
            local_vm: vm as u64 + 1,
            local_domain: 1,
            vms,
            owners,
            workers: vec![workers],
        };
        let passed = (views, peers);
        if self.vms[vm].last_passed.as_ref() != Some(&passed) {
            due.push(Event::Jobs(passed.0.clone()));
            due.push(Event::Peers(passed.1.clone()));
            self.vms[vm].last_passed = Some(passed);
        }
        let window = self.rng.random_range(0..4);
        due.push(Event::Windows(vec![(vm as u64, SERVICE, window)]));
        let mut actions = Vec::new();
        for event in due {
            self.vms[vm].batch.handle(time, event, &mut actions);
        }
        for action in actions {
            self.perform(vm, action);
        }
    }

    /// All result lines that count: output lines and error lines.
    fn results(&self) -> (Vec<String>, Vec<String>) {
        let mut out = (Vec::new(), Vec::new());
        for (_, record) in self.chunks.values() {
            for result in &record.segments {
                let lines = self.segments[&result.segment.digest].iter();
                let lines = lines.map(|line| String::from_utf8_lossy(line).into_owned());
                match result.errors {
                    true => out.1.extend(lines),
                    false => out.0.extend(lines),
                }
            }
        }
        out
    }

    fn run_to_end(&mut self, steps_max: u32) -> bool {
        while self.ended.is_none() && self.step < steps_max {
            self.run_step();
        }
        self.ended.is_some()
    }
}

fn no_faults() -> Faults {
    Faults {
        lose_answer: 0.0,
        store_unavailable: 0.0,
        endpoint_fails: 0.0,
        kill: 0.0,
        pause: 0.0,
        partition: 0.0,
        cancel_at: None,
        non_repeatable: false,
        poison: None,
    }
}

fn random_faults() -> Faults {
    Faults {
        lose_answer: 0.15,
        store_unavailable: 0.1,
        endpoint_fails: 0.1,
        kill: 0.004,
        pause: 0.004,
        partition: 0.004,
        ..no_faults()
    }
}

/// Checks that every item has exactly one result and that the job's counts match.
fn check_each_item_once(simulation: &Simulation) -> Result<(), String> {
    let (output, errors) = simulation.results();
    let distinct: HashSet<&String> = output.iter().collect();
    if distinct.len() != output.len() {
        return Err(format!("an item has two results: {output:?}"));
    }
    let total = output.len() + errors.len();
    if total != (ITEMS * CHUNKS) as usize {
        return Err(format!("{total} results"));
    }
    let counts = simulation
        .ended
        .as_ref()
        .map(|job| job.counts)
        .unwrap_or_default();
    if (counts.completed, counts.failed) != (output.len() as u32, errors.len() as u32) {
        return Err(format!(
            "counts {counts:?} for {} and {}",
            output.len(),
            errors.len()
        ));
    }
    Ok(())
}

/// Adds the seed to the error of a failed check.
fn test_result(seed: u64, result: Result<(), String>) -> TestResult {
    match result {
        Ok(()) => TestResult::passed(),
        Err(why) => TestResult::error(format!("seed {seed}: {why}")),
    }
}

// VMs die, resume from pauses after their chunks were taken over, and lose sight of each other; the
// store is unavailable or its answers are lost; endpoints fail. The job still completes with one
// result for each item, since only results in a record written under the current epoch count.
#[test]
fn items_once() {
    fn holds(seed: u64) -> TestResult {
        let mut simulation = Simulation::new(seed, random_faults(), 3);
        if !simulation.run_to_end(60_000) {
            return TestResult::error(format!("seed {seed}: the job did not end"));
        }
        test_result(seed, check_each_item_once(&simulation))
    }
    quickcheck::QuickCheck::new()
        .tests(1_000)
        .quickcheck(holds as fn(u64) -> TestResult);
}

// The VM of a non-repeatable item dies, or its endpoint's answer is lost, while the item is in
// flight. The owner marked the item as started before sending it; the next owner finds the mark and
// ends the item as "outcome unknown" instead of running it again.
#[test]
fn never_twice() {
    fn holds(seed: u64) -> TestResult {
        let faults = Faults {
            non_repeatable: true,
            ..random_faults()
        };
        let mut simulation = Simulation::new(seed, faults, 3);
        if !simulation.run_to_end(60_000) {
            return TestResult::error(format!("seed {seed}: the job did not end"));
        }
        let runs_max = simulation.executions.values().max().copied().unwrap_or(0);
        if runs_max > 1 {
            return TestResult::error(format!("seed {seed}: an item ran {runs_max} times"));
        }
        test_result(seed, check_each_item_once(&simulation))
    }
    quickcheck::QuickCheck::new()
        .tests(1_000)
        .quickcheck(holds as fn(u64) -> TestResult);
}

// The job is cancelled while VMs die and pause. It ends as cancelled, or as completed when all
// items were done before; existing results are kept, and nothing changes after the end.
#[test]
fn stays_cancelled() {
    fn holds(seed: u64, at: u8) -> TestResult {
        let faults = Faults {
            cancel_at: Some(u32::from(at) + 1),
            ..random_faults()
        };
        let mut simulation = Simulation::new(seed, faults, 3);
        if !simulation.run_to_end(60_000) {
            return TestResult::error(format!("seed {seed} at {at}: the job did not end"));
        }
        let (results, state) = (simulation.results(), simulation.job.state);
        if !matches!(state, JobState::Cancelled | JobState::Completed) {
            return TestResult::error(format!("seed {seed}: {state:?}"));
        }
        for _ in 0..300 {
            simulation.run_step();
        }
        if simulation.results() != results || simulation.job.state != state {
            return TestResult::error(format!("seed {seed}: changed after the end"));
        }
        TestResult::from_bool(results.0.iter().collect::<HashSet<_>>().len() == results.0.len())
    }
    quickcheck::QuickCheck::new()
        .tests(1_000)
        .quickcheck(holds as fn(u64, u8) -> TestResult);
}

quickcheck! {
    // Without pauses, no item starts later than one second after the cancellation.
    fn nothing_starts(seed: u64, at: u8) -> bool {
        let faults = Faults { cancel_at: Some(u32::from(at) + 1), ..no_faults() };
        let mut simulation = Simulation::new(seed, faults, 2);
        simulation.run_to_end(20_000) && simulation.started_late == 0
    }

    // Without faults a chunk costs at most three writes: its claim, one checkpoint, its end.
    fn few_writes(seed: u64) -> bool {
        let mut simulation = Simulation::new(seed, no_faults(), 3);
        let ended = simulation.run_to_end(20_000);
        let writes: u64 = simulation.vms.iter().map(|vm| vm.batch.totals.writes).sum();
        ended && writes <= u64::from(CHUNKS) * 3
    }

    // One item kills every endpoint that it reaches, and all attempts in flight there fail with it.
    // The item fails after the second death; all others complete, since an endpoint gets one
    // suspect at a time.
    fn poison_alone(seed: u64, item: u8) -> bool {
        let poison = 1 + u32::from(item) % (ITEMS - 1);
        let faults = Faults { poison: Some(poison), ..no_faults() };
        let mut simulation = Simulation::new(seed, faults, 2);
        let ended = simulation.run_to_end(20_000);
        let (output, errors) = simulation.results();
        let quarantined = errors.iter().filter(|line| line.contains("quarantined")).count();
        let expected = (ITEMS * CHUNKS - CHUNKS - 1) as usize;
        ended && quarantined == 1 && output.len() == expected && check_each_item_once(&simulation).is_ok()
    }
}
