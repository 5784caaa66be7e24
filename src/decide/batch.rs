//! Batch work of one VM: claims chunks, hands out their items, yields, commits.
//!
//! The host carries out the actions and reports back with events. Each chunk that this VM works on
//! is a [`run::Run`]; what it only knows of is a [`place::ObservedChunk`].

pub mod dispatch;
pub mod place;
pub mod run;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::SmallRng;

use self::dispatch::Slot;
use self::place::{BatchPeers, Candidate, ObservedChunk};
use self::run::Run;
use super::commit::Answer;
use super::jobs::{ChunkRecord, ChunkState, JobState, ResultSegment};
use super::retry::AttemptStage;
use crate::id::{EndpointId, JobId, Name, OwnerId, Revision, ServiceId};

/// Chunks that one VM works on at once; bounds its memory.
pub const RUNS_MAX: usize = 4;
/// Time between two looks at whether a job can be ended, by the VM that answers for it.
pub const FINISH_LOOK: Duration = Duration::from_secs(10);

/// One chunk of one job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ChunkKey {
    pub job: JobId,
    pub chunk: u32,
}

/// One try of one item, numbered within this process.
pub type AttemptId = u64;

/// A job that has not ended, as the host sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct JobView {
    pub id: JobId,
    pub workspace: Name,
    /// Services that its items ask for.
    pub services: Vec<ServiceId>,
    pub chunks: u32,
    pub state: JobState,
    /// Monotonic.
    pub deadline: Duration,
}

/// One line of a chunk, as the host read it.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedItem {
    /// The caller's id of the item, as JSON text.
    pub custom_id: Bytes,
    pub work: ItemWork,
}

/// What is to be done for an item.
#[derive(Debug, Clone, PartialEq)]
pub enum ItemWork {
    Run {
        service: ServiceId,
        idempotent: bool,
    },
    /// The line can never be done.
    Bad { code: &'static str, message: String },
}

/// How one try of an item ended.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEnd {
    /// The whole line of the output file.
    Done(Bytes),
    /// The endpoint refused the item itself; asking again would bring the same.
    Rejected { code: &'static str, message: String },
    /// The endpoint failed.
    Failed {
        reach: AttemptStage,
        died: bool,
        detail: String,
    },
    /// Cancelled at our own wish.
    Cancelled,
}

/// What the host tells.
#[derive(Debug, Clone)]
pub enum Event {
    /// All jobs that have not ended.
    Jobs(Vec<JobView>),
    Crew(BatchPeers),
    /// Batch items that each endpoint of which this VM is home may have now.
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
        answer: Answer,
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
        flight: AttemptId,
        end: AttemptEnd,
    },
    /// Whether to take on nothing more and hand over what is held.
    Leave(bool),
}

/// What the host is to do.
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
        flight: AttemptId,
        key: ChunkKey,
        epoch: u64,
        item: u32,
        endpoint: EndpointId,
    },
    Cancel {
        flight: AttemptId,
    },
    /// See whether all chunks of the job have ended, and end it.
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

/// One item under way.
#[derive(Debug, Clone)]
pub struct InFlightAttempt {
    pub key: ChunkKey,
    /// The run that started it; a later run of the same chunk takes nothing from it.
    pub run: u64,
    pub item: u32,
    pub endpoint: EndpointId,
    pub idempotent: bool,
    pub suspect: bool,
    pub started_at: Duration,
    pub cancelled: bool,
}

/// A job as it is known here.
#[derive(Debug, Clone)]
pub struct Job {
    pub view: JobView,
    pub seen_at: Duration,
    next_look: Duration,
}

/// The state of batch work at one VM.
#[derive(Debug)]
pub struct Batch {
    owner: OwnerId,
    pub jobs: BTreeMap<JobId, Job>,
    pub runs: BTreeMap<ChunkKey, Run>,
    pub slots: BTreeMap<EndpointId, Slot>,
    pub flights: BTreeMap<AttemptId, InFlightAttempt>,
    pub totals: Totals,
    sightings: BTreeMap<ChunkKey, ObservedChunk>,
    /// Chunks that this VM may try for. Invariant: made from `jobs` and `crew`.
    candidates: BTreeMap<ChunkKey, Candidate>,
    claim_at: Duration,
    claim_soon: bool,
    crew: BatchPeers,
    shares: HashMap<Name, f64>,
    leaving: bool,
    next_run: u64,
    next_flight: AttemptId,
    rng: SmallRng,
}

impl Batch {
    /// A process that knows of no job; `owner` must be drawn anew at each start.
    pub fn new(owner: OwnerId, rng: SmallRng) -> Batch {
        Batch {
            owner,
            jobs: BTreeMap::new(),
            runs: BTreeMap::new(),
            slots: BTreeMap::new(),
            flights: BTreeMap::new(),
            totals: Totals::default(),
            sightings: BTreeMap::new(),
            candidates: BTreeMap::new(),
            claim_at: Duration::ZERO,
            claim_soon: true,
            crew: BatchPeers::default(),
            shares: HashMap::new(),
            leaving: false,
            next_run: 1,
            next_flight: 1,
            rng,
        }
    }

    /// Takes one event and does what has become due.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        let from = out.len();
        match event {
            Event::Jobs(views) => self.take_jobs(now, views, out),
            Event::Crew(crew) => self.take_crew(crew),
            Event::Windows(windows) => self.take_windows(windows),
            Event::Shares(shares) => self.shares = shares,
            Event::Read { key, run, found } => self.take_read(now, key, run, found, out),
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
            Event::Ended { flight, end } => self.flight_ended(now, flight, end),
            Event::Leave(leaving) => self.leaving = leaving,
        }
        self.advance(now, out);
        self.count(&out[from..]);
    }

    /// Does what has become due by the time alone.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        let from = out.len();
        self.advance(now, out);
        self.count(&out[from..]);
    }

    /// This process as an owner of chunks.
    pub fn owner(&self) -> OwnerId {
        self.owner
    }

    /// Whether this VM hands over what it holds.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Whether nothing is held any more.
    pub fn idle(&self) -> bool {
        self.runs.is_empty()
    }

    fn count(&mut self, actions: &[Action]) {
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
        self.yield_slots(out);
        if !self.leaving {
            self.dispatch(now, out);
            self.claim(now, out);
            self.look_at_jobs(now, out);
        }
    }

    fn take_jobs(&mut self, now: Duration, views: Vec<JobView>, out: &mut Vec<Action>) {
        self.claim_soon = true;
        let mut old = std::mem::take(&mut self.jobs);
        let mut changed = Vec::new();
        for view in views {
            let known = old.remove(&view.id);
            let seen_at = known.as_ref().map_or(now, |job| job.seen_at);
            let next_look = known
                .as_ref()
                .map_or(now + FINISH_LOOK, |job| job.next_look);
            if known.is_none_or(|job| job.view.services != view.services) {
                changed.push(view.id.clone());
            }
            let job = Job {
                view,
                seen_at,
                next_look,
            };
            self.jobs.insert(job.view.id.clone(), job);
        }
        changed.iter().for_each(|job| self.rank_job(job));
        // Jobs that are no longer told have ended: their runs can commit nothing of use.
        for job in old.keys() {
            self.drop_job(job, out);
        }
    }

    fn take_crew(&mut self, crew: BatchPeers) {
        self.crew = crew;
        self.claim_soon = true;
        self.candidates.clear();
        let jobs: Vec<JobId> = self.jobs.keys().cloned().collect();
        jobs.iter().for_each(|job| self.rank_job(job));
    }

    fn drop_job(&mut self, job: &JobId, out: &mut Vec<Action>) {
        self.candidates.retain(|key, _| key.job != *job);
        self.sightings.retain(|key, _| key.job != *job);
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
        self.cancel_flights(key, out);
    }

    /// Cancels what is under way for a chunk; items that may not be repeated go on to their end.
    fn cancel_flights(&mut self, key: &ChunkKey, out: &mut Vec<Action>) {
        for (id, flight) in &mut self.flights {
            if flight.key == *key && !flight.cancelled && flight.idempotent {
                flight.cancelled = true;
                out.push(Action::Cancel { flight: *id });
            }
        }
    }

    fn take_windows(&mut self, windows: Vec<(EndpointId, ServiceId, u32)>) {
        for slot in self.slots.values_mut() {
            slot.window = 0;
            slot.home = false;
        }
        for (endpoint, service, window) in windows {
            let slot = self
                .slots
                .entry(endpoint)
                .or_insert_with(|| Slot::new(service));
            slot.service = service;
            slot.window = window;
            slot.home = true;
        }
        self.slots.retain(|_, slot| slot.home || slot.in_flight > 0);
    }

    fn with_run(
        &mut self,
        now: Duration,
        key: &ChunkKey,
        id: u64,
        out: &mut Vec<Action>,
        step: impl FnOnce(&mut Run, Duration, &mut Vec<Action>),
    ) {
        // Answers to a run that was dropped since are late, and say nothing of its successor.
        if let Some(run) = self.runs.get_mut(key).filter(|run| run.id == id) {
            step(run, now, out);
        }
    }

    fn take_read(
        &mut self,
        now: Duration,
        key: ChunkKey,
        id: u64,
        found: Option<Option<(Revision, ChunkRecord)>>,
        out: &mut Vec<Action>,
    ) {
        if id == 0 {
            if let Some(sighting) = self.sightings.get_mut(&key) {
                sighting.read(now, found);
            }
            return;
        }
        self.with_run(now, &key, id, out, |run, now, out| {
            run.read(now, found, out)
        });
    }

    fn flight_ended(&mut self, now: Duration, id: AttemptId, end: AttemptEnd) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        if let Some(slot) = self.slots.get_mut(&flight.endpoint) {
            slot.in_flight = slot.in_flight.saturating_sub(1);
        }
        match end {
            AttemptEnd::Done(_) => self.totals.done += 1,
            AttemptEnd::Cancelled => self.totals.yielded += 1,
            _ => self.totals.failed += 1,
        }
        if let Some(run) = self.runs.get_mut(&flight.key) {
            run.ended(now, &flight, end, &mut self.rng);
        }
    }

    fn stop_ended_jobs(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut stopped = Vec::new();
        for (key, run) in &mut self.runs {
            let job = self.jobs.get(&key.job);
            let over = job.is_none_or(|job| job.stopping(now));
            if over && !run.stopping() {
                run.stop(run::Stop::Job);
                stopped.push(key.clone());
            }
            if self.leaving && !run.stopping() {
                run.stop(run::Stop::Leave);
            }
        }
        for key in stopped {
            self.cancel_flights(&key, out);
        }
    }

    fn run_all(&mut self, now: Duration, out: &mut Vec<Action>) {
        let slots = &self.slots;
        let home = |service| {
            slots
                .values()
                .any(|slot| slot.home && slot.service == service)
        };
        for (key, run) in &mut self.runs {
            run.note_homes(now, home);
            let flying = self.flights.values().any(|flight| flight.key == *key);
            run.advance(now, flying, out);
        }
    }

    fn drop_finished(&mut self, out: &mut Vec<Action>) {
        let over: Vec<ChunkKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.over())
            .map(|(key, _)| key.clone())
            .collect();
        for key in over {
            let Some(run) = self.runs.remove(&key) else {
                continue;
            };
            self.claim_soon = true;
            self.cancel_flights(&key, out);
            let sighting = self.sightings.entry(key.clone()).or_default();
            sighting.after_run(&run);
            match run.final_state() {
                Some(ChunkState::Complete | ChunkState::Stopped) => {
                    out.push(Action::Finish { job: key.job });
                }
                _ if run.was_lost() => self.totals.chunks_lost += 1,
                _ => {}
            }
        }
    }

    fn look_at_jobs(&mut self, now: Duration, out: &mut Vec<Action>) {
        for (id, job) in &mut self.jobs {
            if now < job.next_look {
                continue;
            }
            job.next_look = now + FINISH_LOOK;
            if self.crew.answers_for(id, &job.view.services) {
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
