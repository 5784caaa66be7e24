//! Batch work of one VM: claims chunks, dispatches their items, preempts them for online requests,
//! and commits results.
//!
//! The host carries out the actions and reports back with events. Each chunk that this VM works on
//! is a [`run::Run`]; other chunks are tracked as [`place::ObservedChunk`].

pub mod dispatch;
pub mod place;
pub mod run;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::SmallRng;

use self::dispatch::EndpointSlots;
use self::place::{BatchPeers, Candidate, ObservedChunk};
use self::run::Run;
use super::commit::WriteOutcome;
use super::jobs::{ChunkRecord, ChunkState, JobState, ResultSegment};
use super::retry::AttemptStage;
use crate::id::{EndpointId, JobId, Name, OwnerId, Revision, ServiceId};

/// Chunks that one VM works on at once; bounds its memory.
pub const RUNS_MAX: usize = 4;
/// Interval at which the responsible VM checks whether a job can be ended.
pub const FINISH_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// One chunk of one job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ChunkKey {
    pub job: JobId,
    pub chunk: u32,
}

/// One attempt of one item, numbered within this process.
pub type AttemptId = u64;

/// A job that has not ended, as passed by the host.
#[derive(Debug, Clone, PartialEq)]
pub struct JobView {
    pub id: JobId,
    pub workspace: Name,
    /// Services that its items need.
    pub services: Vec<ServiceId>,
    pub chunks: u32,
    pub state: JobState,
    /// On the monotonic clock.
    pub deadline: Duration,
}

/// One line of a chunk, as the host read it.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedItem {
    /// The caller's id of the item, as JSON text.
    pub custom_id: Bytes,
    pub work: ItemWork,
}

/// What has to be done for an item.
#[derive(Debug, Clone, PartialEq)]
pub enum ItemWork {
    Run {
        service: ServiceId,
        idempotent: bool,
    },
    /// The line is invalid and can never be run.
    Bad { code: &'static str, message: String },
}

/// How one attempt of an item ended.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEnd {
    /// The whole line of the output file.
    Done(Bytes),
    /// The endpoint rejected the item itself; a retry would be rejected again.
    Rejected { code: &'static str, message: String },
    /// The endpoint failed.
    Failed {
        reach: AttemptStage,
        died: bool,
        detail: String,
    },
    /// Cancelled by this VM.
    Cancelled,
}

/// Input from the host.
#[derive(Debug, Clone)]
pub enum Event {
    /// All jobs that have not ended.
    Jobs(Vec<JobView>),
    Peers(BatchPeers),
    /// Number of batch items allowed now at each endpoint that is assigned to this VM.
    Windows(Vec<(EndpointId, ServiceId, u32)>),
    /// Weight of each workspace among those with batch work.
    Shares(HashMap<Name, f64>),
    /// `None` when the read failed, `Some(None)` when there is no record.
    Read {
        key: ChunkKey,
        run: u64,
        found: Option<Option<(Revision, ChunkRecord)>>,
    },
    Written {
        key: ChunkKey,
        run: u64,
        answer: WriteOutcome,
    },
    Loaded {
        key: ChunkKey,
        run: u64,
        items: Vec<PlannedItem>,
    },
    LoadFailed {
        key: ChunkKey,
        run: u64,
    },
    Stored {
        key: ChunkKey,
        run: u64,
        segments: Vec<ResultSegment>,
    },
    StoreFailed {
        key: ChunkKey,
        run: u64,
    },
    Ended {
        attempt: AttemptId,
        end: AttemptEnd,
    },
    /// Whether to take no new work and hand over current chunks.
    Drain(bool),
}

/// What the host has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    Read {
        key: ChunkKey,
        run: u64,
    },
    Write {
        key: ChunkKey,
        run: u64,
        expect: Revision,
        record: ChunkRecord,
    },
    Load {
        key: ChunkKey,
        run: u64,
    },
    /// Store output lines and error lines, then answer with [`Event::Stored`].
    Store {
        key: ChunkKey,
        run: u64,
        output: Vec<Bytes>,
        errors: Vec<Bytes>,
    },
    Start {
        attempt: AttemptId,
        key: ChunkKey,
        epoch: u64,
        item: u32,
        endpoint: EndpointId,
    },
    Cancel {
        attempt: AttemptId,
    },
    /// Check whether all chunks of the job have ended, and end it.
    Finish {
        job: JobId,
    },
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Totals {
    pub started: u64,
    pub done: u64,
    pub failed: u64,
    pub yielded: u64,
    pub chunks_claimed: u64,
    pub chunks_lost: u64,
    pub writes: u64,
    pub reads: u64,
}

/// One item attempt in flight.
#[derive(Debug, Clone)]
pub struct InFlightAttempt {
    pub key: ChunkKey,
    /// The run that started it; a later run of the same chunk ignores its result.
    pub run: u64,
    pub item: u32,
    pub endpoint: EndpointId,
    pub idempotent: bool,
    pub suspect: bool,
    pub started_at: Duration,
    pub cancelled: bool,
}

/// A job as known to this VM.
#[derive(Debug, Clone)]
pub struct Job {
    pub view: JobView,
    pub seen_at: Duration,
    next_check: Duration,
}

/// The state of batch work at one VM.
#[derive(Debug)]
pub struct Batch {
    owner: OwnerId,
    pub jobs: BTreeMap<JobId, Job>,
    pub runs: BTreeMap<ChunkKey, Run>,
    pub slots: BTreeMap<EndpointId, EndpointSlots>,
    pub attempts: BTreeMap<AttemptId, InFlightAttempt>,
    pub totals: Totals,
    observed: BTreeMap<ChunkKey, ObservedChunk>,
    /// Chunks that this VM may claim. Invariant: derived from `jobs` and `peers`.
    candidates: BTreeMap<ChunkKey, Candidate>,
    next_claim_at: Duration,
    claim_soon: bool,
    peers: BatchPeers,
    shares: HashMap<Name, f64>,
    draining: bool,
    next_run: u64,
    next_attempt: AttemptId,
    rng: SmallRng,
}

impl Batch {
    /// A process without any jobs; `owner` must be drawn at random at each start.
    pub fn new(owner: OwnerId, rng: SmallRng) -> Batch {
        Batch {
            owner,
            jobs: BTreeMap::new(),
            runs: BTreeMap::new(),
            slots: BTreeMap::new(),
            attempts: BTreeMap::new(),
            totals: Totals::default(),
            observed: BTreeMap::new(),
            candidates: BTreeMap::new(),
            next_claim_at: Duration::ZERO,
            claim_soon: true,
            peers: BatchPeers::default(),
            shares: HashMap::new(),
            draining: false,
            next_run: 1,
            next_attempt: 1,
            rng,
        }
    }

    /// Applies one event, then does the work that is due.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        let from = out.len();
        match event {
            Event::Jobs(views) => self.apply_jobs(now, views, out),
            Event::Peers(peers) => self.apply_peers(peers),
            Event::Windows(windows) => self.apply_windows(windows),
            Event::Shares(shares) => self.shares = shares,
            Event::Read { key, run, found } => self.apply_read(now, key, run, found, out),
            Event::Written { key, run, answer } => {
                self.with_run(now, &key, run, out, |r, now, out| {
                    r.written(now, answer, out)
                });
            }
            Event::Loaded { key, run, items } => {
                self.with_run(now, &key, run, out, |r, now, _| r.loaded(now, items));
            }
            Event::LoadFailed { key, run } => {
                self.with_run(now, &key, run, out, |r, now, _| r.load_failed(now));
            }
            Event::Stored { key, run, segments } => {
                self.with_run(now, &key, run, out, |r, _, out| r.stored(segments, out));
            }
            Event::StoreFailed { key, run } => {
                self.with_run(now, &key, run, out, |r, now, _| r.store_failed(now));
            }
            Event::Ended { attempt, end } => self.attempt_ended(now, attempt, end),
            Event::Drain(draining) => self.draining = draining,
        }
        self.advance(now, out);
        self.count_actions(&out[from..]);
    }

    /// Does the work that is due by time alone.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        let from = out.len();
        self.advance(now, out);
        self.count_actions(&out[from..]);
    }

    /// The owner id of this process in chunk records.
    pub fn owner(&self) -> OwnerId {
        self.owner
    }

    /// Whether this VM is handing over its chunks.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether this VM works on no chunk.
    pub fn has_no_runs(&self) -> bool {
        self.runs.is_empty()
    }

    fn count_actions(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Write { .. } => self.totals.writes += 1,
                Action::Read { .. } => self.totals.reads += 1,
                Action::Start { .. } => self.totals.started += 1,
                _ => {}
            }
        }
    }

    fn advance(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.stop_ended_jobs(now, out);
        self.run_all(now, out);
        self.drop_finished(out);
        self.preempt_excess(out);
        if !self.draining {
            self.dispatch(now, out);
            self.claim_chunks(now, out);
            self.check_jobs(now, out);
        }
    }

    fn apply_jobs(&mut self, now: Duration, views: Vec<JobView>, out: &mut Vec<Action>) {
        self.claim_soon = true;
        let mut old = std::mem::take(&mut self.jobs);
        let mut changed = Vec::new();
        for view in views {
            let known = old.remove(&view.id);
            let seen_at = known.as_ref().map_or(now, |job| job.seen_at);
            let next_check = known
                .as_ref()
                .map_or(now + FINISH_CHECK_INTERVAL, |job| job.next_check);
            if known.is_none_or(|job| job.view.services != view.services) {
                changed.push(view.id.clone());
            }
            let job = Job {
                view,
                seen_at,
                next_check,
            };
            self.jobs.insert(job.view.id.clone(), job);
        }
        changed.iter().for_each(|job| self.rank_job(job));
        // Jobs missing from the list have ended: their runs can commit nothing of use.
        for job in old.keys() {
            self.drop_job(job, out);
        }
    }

    fn apply_peers(&mut self, peers: BatchPeers) {
        self.peers = peers;
        self.claim_soon = true;
        self.candidates.clear();
        let jobs: Vec<JobId> = self.jobs.keys().cloned().collect();
        jobs.iter().for_each(|job| self.rank_job(job));
    }

    fn drop_job(&mut self, job: &JobId, out: &mut Vec<Action>) {
        self.candidates.retain(|key, _| key.job != *job);
        self.observed.retain(|key, _| key.job != *job);
        let keys: Vec<ChunkKey> = self
            .runs
            .keys()
            .filter(|key| key.job == *job)
            .cloned()
            .collect();
        for key in keys {
            self.drop_run(&key, out);
        }
    }

    fn drop_run(&mut self, key: &ChunkKey, out: &mut Vec<Action>) {
        self.runs.remove(key);
        self.cancel_attempts(key, out);
    }

    /// Cancels the attempts in flight of a chunk; items that may not be repeated run to their end.
    fn cancel_attempts(&mut self, key: &ChunkKey, out: &mut Vec<Action>) {
        for (id, attempt) in &mut self.attempts {
            if attempt.key == *key && !attempt.cancelled && attempt.idempotent {
                attempt.cancelled = true;
                out.push(Action::Cancel { attempt: *id });
            }
        }
    }

    fn apply_windows(&mut self, windows: Vec<(EndpointId, ServiceId, u32)>) {
        for slot in self.slots.values_mut() {
            slot.window = 0;
            slot.assigned = false;
        }
        for (endpoint, service, window) in windows {
            let slot = self
                .slots
                .entry(endpoint)
                .or_insert_with(|| EndpointSlots::new(service));
            slot.service = service;
            slot.window = window;
            slot.assigned = true;
        }
        self.slots
            .retain(|_, slot| slot.assigned || slot.in_flight > 0);
    }

    fn with_run(
        &mut self,
        now: Duration,
        key: &ChunkKey,
        id: u64,
        out: &mut Vec<Action>,
        step: impl FnOnce(&mut Run, Duration, &mut Vec<Action>),
    ) {
        // An answer to a run that was dropped is late and does not apply to its successor.
        if let Some(run) = self.runs.get_mut(key).filter(|run| run.id == id) {
            step(run, now, out);
        }
    }

    fn apply_read(
        &mut self,
        now: Duration,
        key: ChunkKey,
        id: u64,
        found: Option<Option<(Revision, ChunkRecord)>>,
        out: &mut Vec<Action>,
    ) {
        if id == 0 {
            if let Some(observed) = self.observed.get_mut(&key) {
                observed.read(now, found);
            }
            return;
        }
        self.with_run(now, &key, id, out, |run, now, out| {
            run.read(now, found, out)
        });
    }

    fn attempt_ended(&mut self, now: Duration, id: AttemptId, end: AttemptEnd) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        if let Some(slot) = self.slots.get_mut(&attempt.endpoint) {
            slot.in_flight = slot.in_flight.saturating_sub(1);
        }
        match end {
            AttemptEnd::Done(_) => self.totals.done += 1,
            AttemptEnd::Cancelled => self.totals.yielded += 1,
            _ => self.totals.failed += 1,
        }
        if let Some(run) = self.runs.get_mut(&attempt.key) {
            run.attempt_ended(now, &attempt, end, &mut self.rng);
        }
    }

    fn stop_ended_jobs(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut stopped = Vec::new();
        for (key, run) in &mut self.runs {
            let job = self.jobs.get(&key.job);
            let job_stopped = job.is_none_or(|job| job.stopping(now));
            if job_stopped && !run.is_stopping() {
                run.stop(run::StopReason::Job);
                stopped.push(key.clone());
            }
            if self.draining && !run.is_stopping() {
                run.stop(run::StopReason::HandOver);
            }
        }
        for key in stopped {
            self.cancel_attempts(&key, out);
        }
    }

    fn run_all(&mut self, now: Duration, out: &mut Vec<Action>) {
        let slots = &self.slots;
        let assigned = |service| {
            slots
                .values()
                .any(|slot| slot.assigned && slot.service == service)
        };
        for (key, run) in &mut self.runs {
            run.note_assignments(now, assigned);
            let in_flight = self.attempts.values().any(|attempt| attempt.key == *key);
            run.advance(now, in_flight, out);
        }
    }

    fn drop_finished(&mut self, out: &mut Vec<Action>) {
        let ended: Vec<ChunkKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.has_ended())
            .map(|(key, _)| key.clone())
            .collect();
        for key in ended {
            let Some(run) = self.runs.remove(&key) else {
                continue;
            };
            self.claim_soon = true;
            self.cancel_attempts(&key, out);
            let observed = self.observed.entry(key.clone()).or_default();
            observed.after_run(&run);
            match run.final_state() {
                Some(ChunkState::Complete | ChunkState::Stopped) => {
                    out.push(Action::Finish { job: key.job });
                }
                _ if run.was_lost() => self.totals.chunks_lost += 1,
                _ => {}
            }
        }
    }

    fn check_jobs(&mut self, now: Duration, out: &mut Vec<Action>) {
        for (id, job) in &mut self.jobs {
            if now < job.next_check {
                continue;
            }
            job.next_check = now + FINISH_CHECK_INTERVAL;
            if self.peers.is_responsible_for(id, &job.view.services) {
                out.push(Action::Finish { job: id.clone() });
            }
        }
    }
}

impl Job {
    /// Whether nothing more of it may start.
    pub fn stopping(&self, now: Duration) -> bool {
        self.view.state != JobState::InProgress || now >= self.view.deadline
    }
}
