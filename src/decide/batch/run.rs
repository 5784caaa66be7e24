//! One chunk in the hands of this VM: claimed, loaded, worked off, checkpointed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;

use super::place::TRY_AGAIN;
use super::{Action, ChunkKey, End, Flight, Planned, Work};
use crate::decide::commit::{Answer, Commit, Step};
use crate::decide::jobs::{ChunkRecord, ChunkState, ItemSet, ResultSegment};
use crate::decide::retry::Reach;
use crate::id::{DomainId, Epoch, Nonce, OwnerId, Revision, ServiceId};

/// Results that start a checkpoint.
pub const CHECKPOINT_ITEMS: usize = 1024;
/// Age of the oldest result that starts a checkpoint.
pub const CHECKPOINT_AGE: Duration = Duration::from_secs(60);
/// Non-repeatable items that one write marks as started.
pub const STARTED_WINDOW: usize = 64;
/// Tries of one item.
pub const TRIES_MAX: u32 = 5;
/// Endpoint deaths that an item may coincide with before it is given up.
pub const DEATHS_MAX: u32 = 2;
/// A run whose items wait for services that this VM has no endpoint of is handed over after this.
pub const HOMELESS_AFTER: Duration = Duration::from_secs(2);
/// Time for which this VM leaves a chunk that it handed over to others.
pub const LEFT_ALONE: Duration = Duration::from_secs(20);
/// Pause before the second try of an item; each further pause is twice as long.
pub const BACKOFF: Duration = Duration::from_millis(250);

/// Why a run ends before its items do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// The job was cancelled, or its deadline passed.
    Job,
    /// Another VM goes on: this one leaves, or is home of no endpoint that its items need.
    Leave,
}

#[derive(Debug, Clone)]
struct Item {
    custom_id: Bytes,
    service: ServiceId,
    idempotent: bool,
    tries: u32,
    deaths: u32,
}

#[derive(Debug, Clone)]
struct ItemResult {
    line: Bytes,
    error: bool,
}

#[derive(Debug, Default)]
struct Lane {
    fresh: VecDeque<u32>,
    suspect: VecDeque<u32>,
}

/// A write of the chunk record under way.
#[derive(Debug)]
struct Writing {
    commit: Commit,
    record: ChunkRecord,
    /// A step was asked for and not answered yet.
    asked: bool,
    /// No step before this.
    not_before: Duration,
}

#[derive(Debug)]
enum Phase {
    Claiming(Writing),
    Loading { asked: bool, not_before: Duration },
    Running,
    Over,
}

#[derive(Debug)]
enum Checkpoint {
    Storing {
        lines: BTreeMap<u32, ItemResult>,
        asked: bool,
        not_before: Duration,
        fin: bool,
    },
    Writing {
        writing: Writing,
    },
}

/// One chunk that this VM works on.
#[derive(Debug)]
pub struct Run {
    pub id: u64,
    key: ChunkKey,
    phase: Phase,
    /// The record as this run last wrote it.
    record: Option<ChunkRecord>,
    revision: Revision,
    /// What stands in its place, after a loss.
    seen: Option<(Revision, ChunkRecord)>,
    nonce: Nonce,
    items: Vec<Item>,
    ready: BTreeMap<ServiceId, Lane>,
    delayed: BTreeSet<(Duration, u32)>,
    /// Non-repeatable items that are not marked as started yet.
    unmarked: VecDeque<u32>,
    /// Marked with the write under way.
    marking: Vec<u32>,
    /// Results that no checkpoint has yet. Invariant: an item is in here, or in the record's done
    /// set, or in a checkpoint under way, at most once in all.
    results: BTreeMap<u32, ItemResult>,
    oldest_result: Option<Duration>,
    checkpoint: Option<Checkpoint>,
    /// Items without any result.
    open: u32,
    stop: Option<Stop>,
    homeless_since: Option<Duration>,
    lost: bool,
    retry_at: Duration,
}

impl Run {
    /// Starts with a claim over what stands; `None` when the chunk has ended.
    pub fn claim(
        key: ChunkKey,
        id: u64,
        owner: (OwnerId, DomainId),
        before: Option<(Revision, ChunkRecord)>,
        nonce: Nonce,
        stopping: bool,
    ) -> Option<Run> {
        let standing = before.as_ref().map(|(_, record)| record);
        let mut record = ChunkRecord::claim(standing, owner.0, owner.1, nonce)?;
        // With nothing to tell of its items, a chunk of a cancelled job ends in one write.
        if stopping && record.started.is_empty() {
            record.state = ChunkState::Stopped;
        }
        let expect = before.as_ref().map_or(0, |(revision, _)| *revision);
        Some(Run {
            id,
            key,
            phase: Phase::Claiming(Writing::new(expect, record)),
            record: None,
            revision: expect,
            seen: None,
            nonce,
            items: Vec::new(),
            ready: BTreeMap::new(),
            delayed: BTreeSet::new(),
            unmarked: VecDeque::new(),
            marking: Vec::new(),
            results: BTreeMap::new(),
            oldest_result: None,
            checkpoint: None,
            open: 0,
            stop: None,
            homeless_since: None,
            lost: false,
            retry_at: Duration::ZERO,
        })
    }

    /// The epoch of its claim.
    pub fn epoch(&self) -> Epoch {
        self.record.as_ref().map_or(0, |record| record.epoch)
    }

    /// Whether nothing is left to do.
    pub fn over(&self) -> bool {
        matches!(self.phase, Phase::Over)
    }

    /// Whether somebody else's record stands.
    pub fn was_lost(&self) -> bool {
        self.lost
    }

    /// The state it left the chunk in; `None` when it never had it or lost it.
    pub fn final_state(&self) -> Option<ChunkState> {
        let record = self.record.as_ref().filter(|_| !self.lost)?;
        Some(record.state)
    }

    /// The record that stands in its place.
    pub fn seen(&self) -> Option<&(Revision, ChunkRecord)> {
        self.seen.as_ref()
    }

    /// When the chunk may be tried again.
    pub fn retry_at(&self) -> Duration {
        self.retry_at
    }

    /// Items that have no result yet.
    pub fn open_items(&self) -> u32 {
        self.open
    }

    /// What it waits for, in a few words.
    pub fn waits_for(&self) -> &'static str {
        match (&self.phase, &self.checkpoint) {
            (Phase::Claiming(_), _) => "the platform: claim",
            (Phase::Loading { .. }, _) => "the input",
            (Phase::Over, _) => "nothing",
            (Phase::Running, Some(Checkpoint::Storing { .. })) => "the results' storage",
            (Phase::Running, Some(Checkpoint::Writing { .. })) => "the platform: checkpoint",
            (Phase::Running, None) if self.stop.is_some() => "its last items",
            (Phase::Running, None) => "free slots at endpoints, and its items under way",
        }
    }

    /// Items that wait for a place; while loading, that is not known and counts as many.
    pub fn waiting(&self) -> usize {
        match self.phase {
            Phase::Claiming(_) | Phase::Loading { .. } => usize::MAX / 1024,
            _ => {
                let ready: usize = self
                    .ready
                    .values()
                    .map(|lane| lane.fresh.len() + lane.suspect.len())
                    .sum();
                ready + self.unmarked.len() + self.delayed.len()
            }
        }
    }

    /// Whether it takes on nothing more.
    pub fn stopping(&self) -> bool {
        self.stop.is_some()
    }

    /// Has it end as soon as what is under way has ended.
    pub fn stop(&mut self, stop: Stop) {
        self.stop = Some(stop);
    }

    /// Hands the chunk over when this VM is not `home` of any endpoint that its items need.
    ///
    /// The failure: homes move when VMs come and go. Items already here would wait for slots that
    /// this VM never gets again, and the job with them, although others could go on.
    pub fn note_homes(&mut self, now: Duration, home: impl Fn(ServiceId) -> bool) {
        let waiting = |lane: &Lane| !lane.fresh.is_empty() || !lane.suspect.is_empty();
        let wanted = || self.ready.iter().filter(|(_, lane)| waiting(lane));
        let homeless = wanted().next().is_some() && !wanted().any(|(service, _)| home(*service));
        if !homeless {
            self.homeless_since = None;
            return;
        }
        let since = *self.homeless_since.get_or_insert(now);
        if now >= since + HOMELESS_AFTER && self.stop.is_none() {
            self.stop = Some(Stop::Leave);
        }
    }

    /// Whether an item may be tried again after a byte may have reached an endpoint.
    pub fn idempotent(&self, item: u32) -> bool {
        self.items[item as usize].idempotent
    }

    /// Whether an item was under way when an endpoint died.
    pub fn suspect(&self, item: u32) -> bool {
        self.items[item as usize].deaths > 0
    }

    /// Whether an item could go out now.
    pub fn has_ready(&self, service: ServiceId, suspects: bool) -> bool {
        if self.stop.is_some() || self.lost {
            return false;
        }
        let lane = self.ready.get(&service);
        lane.is_some_and(|lane| !lane.fresh.is_empty() || (suspects && !lane.suspect.is_empty()))
    }

    /// Takes the next item to go out.
    pub fn take(&mut self, service: ServiceId, suspects: bool) -> Option<u32> {
        let lane = self.ready.get_mut(&service)?;
        let suspect = if suspects {
            lane.suspect.pop_front()
        } else {
            None
        };
        suspect.or_else(|| lane.fresh.pop_front())
    }

    /// Takes the answer to a write.
    pub fn written(&mut self, now: Duration, answer: Answer, out: &mut Vec<Action>) {
        if let Some(writing) = self.writing_mut() {
            writing.asked = false;
            writing.commit.written(answer);
            self.settle(now, out);
        }
    }

    /// Takes a read of the record, which tells whether a write took effect.
    pub fn read(
        &mut self,
        now: Duration,
        found: Option<Option<(Revision, ChunkRecord)>>,
        out: &mut Vec<Action>,
    ) {
        let Some(writing) = self.writing_mut() else {
            return;
        };
        let nonce = writing.record.nonce;
        let seen = found.as_ref().map(|standing| {
            standing
                .as_ref()
                .map(|(revision, record)| (*revision, record.nonce == nonce))
        });
        writing.asked = false;
        writing.commit.read(seen);
        if let Some(Some(standing)) = found {
            self.seen = Some(standing);
        }
        self.settle(now, out);
    }

    fn writing_mut(&mut self) -> Option<&mut Writing> {
        match (&mut self.phase, &mut self.checkpoint) {
            (Phase::Claiming(writing), _) => Some(writing),
            (Phase::Running, Some(Checkpoint::Writing { writing })) => Some(writing),
            _ => None,
        }
    }

    /// Goes on after a step of a write.
    fn settle(&mut self, now: Duration, out: &mut Vec<Action>) {
        let claiming = matches!(self.phase, Phase::Claiming(_));
        let Some(writing) = self.writing_mut() else {
            return;
        };
        match writing.commit.step() {
            Step::Write | Step::Read => {
                writing.not_before = now + writing.commit.pause(BACKOFF);
                self.ask(now, out);
            }
            Step::Won(revision) => {
                let record = writing.record.clone();
                self.won(now, revision, record);
            }
            // Without the platform a claim is dropped; results are kept until it is back.
            Step::Away if claiming => self.give_up(now),
            Step::Away => {
                writing.commit = Commit::new(writing.expect());
                writing.not_before = now + TRY_AGAIN;
            }
            Step::Lost => {
                // Another VM owns the chunk by now: nothing that this run still holds counts.
                self.lost = true;
                self.give_up(now);
            }
        }
    }

    fn give_up(&mut self, now: Duration) {
        self.phase = Phase::Over;
        self.retry_at = now + TRY_AGAIN;
    }

    fn won(&mut self, now: Duration, revision: Revision, record: ChunkRecord) {
        self.revision = revision;
        let ended = record.state != ChunkState::Open;
        let handed_over = record.owner == 0;
        self.record = Some(record);
        match std::mem::replace(&mut self.phase, Phase::Over) {
            Phase::Claiming(_) if !ended => {
                self.phase = Phase::Loading {
                    asked: false,
                    not_before: now,
                };
            }
            Phase::Running if !ended && !handed_over => {
                self.phase = Phase::Running;
                self.checkpoint = None;
                for item in std::mem::take(&mut self.marking) {
                    self.make_ready(item);
                }
            }
            _ if handed_over => self.retry_at = now + LEFT_ALONE,
            _ => self.retry_at = now + TRY_AGAIN,
        }
    }

    /// Takes the lines of the chunk.
    pub fn loaded(&mut self, now: Duration, planned: Vec<Planned>) {
        if !matches!(self.phase, Phase::Loading { .. }) {
            return;
        }
        self.phase = Phase::Running;
        let record = self.record.clone();
        let (done, started) = match &record {
            Some(record) => (&record.done, &record.started),
            None => return,
        };
        for (at, planned) in planned.into_iter().enumerate() {
            let item = at as u32;
            let (service, idempotent) = match planned.work {
                Work::Run {
                    service,
                    idempotent,
                } => (service, idempotent),
                Work::Bad { .. } => (0, true),
            };
            let custom_id = planned.custom_id;
            self.items.push(Item {
                custom_id,
                service,
                idempotent,
                tries: 0,
                deaths: 0,
            });
            if done.contains(item) {
                continue;
            }
            self.open += 1;
            match planned.work {
                Work::Bad { code, message } => self.fail(now, item, code, &message),
                // The owner before marked it and left no result: it may have run.
                Work::Run {
                    idempotent: false, ..
                } if started.contains(item) => {
                    self.fail(
                        now,
                        item,
                        "outcome_unknown",
                        "started before its owner was lost",
                    );
                }
                Work::Run {
                    idempotent: false, ..
                } => self.unmarked.push_back(item),
                Work::Run { .. } => self.make_ready(item),
            }
        }
    }

    /// The lines could not be read.
    pub fn load_failed(&mut self, now: Duration) {
        if let Phase::Loading { asked, not_before } = &mut self.phase {
            *asked = false;
            *not_before = now + TRY_AGAIN;
        }
    }

    fn make_ready(&mut self, item: u32) {
        let row = &self.items[item as usize];
        let lane = self.ready.entry(row.service).or_default();
        match row.deaths {
            0 => lane.fresh.push_back(item),
            _ => lane.suspect.push_back(item),
        }
    }

    fn finish_item(&mut self, now: Duration, item: u32, line: Bytes, error: bool) {
        let before = self.results.insert(item, ItemResult { line, error });
        debug_assert!(before.is_none());
        self.open -= 1;
        self.oldest_result.get_or_insert(now);
    }

    fn fail(&mut self, now: Duration, item: u32, code: &str, message: &str) {
        let custom_id = &self.items[item as usize].custom_id;
        let line = error_line(&self.key, item, custom_id, code, message);
        self.finish_item(now, item, line, true);
    }

    /// Takes the end of one try.
    pub fn ended(&mut self, now: Duration, flight: &Flight, end: End, rng: &mut impl Rng) {
        if flight.run != self.id || self.over() {
            return;
        }
        let item = flight.item;
        match end {
            End::Done(line) => self.finish_item(now, item, line, false),
            End::Rejected { code, message } => self.fail(now, item, code, &message),
            End::Cancelled if flight.idempotent => {
                let lane = self
                    .ready
                    .entry(self.items[item as usize].service)
                    .or_default();
                match flight.suspect {
                    true => lane.suspect.push_front(item),
                    false => lane.fresh.push_front(item),
                }
            }
            End::Cancelled => self.fail(now, item, "outcome_unknown", "cancelled under way"),
            End::Failed {
                reach,
                died,
                detail,
            } => {
                self.try_failed(now, item, reach, died, &detail, rng);
            }
        }
    }

    fn try_failed(
        &mut self,
        now: Duration,
        item: u32,
        reach: Reach,
        died: bool,
        detail: &str,
        rng: &mut impl Rng,
    ) {
        let row = &mut self.items[item as usize];
        row.tries += 1;
        row.deaths += u32::from(died);
        let (tries, deaths) = (row.tries, row.deaths);
        let untouched = matches!(reach, Reach::NotSent | Reach::Refused);
        if !row.idempotent && !untouched {
            self.fail(now, item, "outcome_unknown", detail);
        } else if deaths >= DEATHS_MAX {
            self.fail(
                now,
                item,
                "quarantined",
                "two endpoints died while it was under way",
            );
        } else if tries >= TRIES_MAX {
            self.fail(now, item, "endpoint_failed", detail);
        } else {
            let pause = BACKOFF * 2u32.pow(tries - 1);
            let due = now + pause.mul_f64(rng.random_range(0.5..1.5));
            self.delayed.insert((due, item));
        }
    }

    /// Takes where the results of a checkpoint lie.
    pub fn stored(&mut self, segments: Vec<ResultSegment>, out: &mut Vec<Action>) {
        let Some(Checkpoint::Storing { lines, fin, .. }) = self.checkpoint.take() else {
            return;
        };
        self.write_checkpoint(&lines, segments, fin);
        self.ask(Duration::MAX, out);
    }

    /// The results could not be stored.
    pub fn store_failed(&mut self, now: Duration) {
        if let Some(Checkpoint::Storing {
            asked, not_before, ..
        }) = &mut self.checkpoint
        {
            *asked = false;
            *not_before = now + TRY_AGAIN;
        }
    }

    /// Does what is due; `flying` tells whether items are still under way.
    pub fn advance(&mut self, now: Duration, flying: bool, out: &mut Vec<Action>) {
        if let Phase::Loading { asked, not_before } = &mut self.phase {
            if !*asked && now >= *not_before {
                *asked = true;
                out.push(Action::Load {
                    key: self.key.clone(),
                    run: self.id,
                });
            }
        }
        if matches!(self.phase, Phase::Running) {
            while let Some((due, item)) = self.delayed.first().copied() {
                if due > now {
                    break;
                }
                self.delayed.pop_first();
                self.make_ready(item);
            }
            if self.checkpoint.is_none() {
                self.start_checkpoint(now, flying);
            }
        }
        self.ask(now, out);
    }

    /// Asks for the next step of a write or a store that is due.
    fn ask(&mut self, now: Duration, out: &mut Vec<Action>) {
        if let Some(Checkpoint::Storing {
            lines,
            asked,
            not_before,
            ..
        }) = &mut self.checkpoint
        {
            if !*asked && now >= *not_before {
                *asked = true;
                let of = |error: bool| {
                    let lines = lines.values().filter(|result| result.error == error);
                    lines.map(|result| result.line.clone()).collect()
                };
                let (output, errors) = (of(false), of(true));
                out.push(Action::Store {
                    key: self.key.clone(),
                    run: self.id,
                    output,
                    errors,
                });
            }
        }
        let (key, run) = (self.key.clone(), self.id);
        let Some(writing) = self.writing_mut() else {
            return;
        };
        if writing.asked || now < writing.not_before {
            return;
        }
        match writing.commit.step() {
            Step::Write => {
                writing.asked = true;
                let (expect, record) = (writing.expect(), writing.record.clone());
                out.push(Action::Write {
                    key,
                    run,
                    expect,
                    record,
                });
            }
            Step::Read => {
                writing.asked = true;
                out.push(Action::Read { key, run });
            }
            _ => {}
        }
    }

    fn start_checkpoint(&mut self, now: Duration, flying: bool) {
        let fin = !flying && (self.open == 0 || self.stop.is_some());
        let aged = self
            .oldest_result
            .is_some_and(|at| now >= at + CHECKPOINT_AGE);
        let full = self.results.len() >= CHECKPOINT_ITEMS;
        let mark = self.stop.is_none() && !self.unmarked.is_empty() && self.marked_ready() == 0;
        if !fin && !aged && !full && !mark {
            return;
        }
        if mark {
            let count = self.unmarked.len().min(STARTED_WINDOW);
            self.marking = self.unmarked.drain(..count).collect();
        }
        let lines = std::mem::take(&mut self.results);
        self.oldest_result = None;
        if lines.is_empty() {
            self.write_checkpoint(&lines, Vec::new(), fin);
        } else {
            self.checkpoint = Some(Checkpoint::Storing {
                lines,
                asked: false,
                not_before: now,
                fin,
            });
        }
    }

    /// Non-repeatable items that are marked and still wait.
    fn marked_ready(&self) -> usize {
        let waiting = self
            .ready
            .values()
            .flat_map(|lane| lane.fresh.iter().chain(&lane.suspect));
        waiting
            .filter(|item| !self.items[**item as usize].idempotent)
            .count()
    }

    fn write_checkpoint(
        &mut self,
        lines: &BTreeMap<u32, ItemResult>,
        segments: Vec<ResultSegment>,
        fin: bool,
    ) {
        let Some(mut record) = self.record.clone() else {
            return;
        };
        for (item, result) in lines {
            record.done.insert(*item);
            match result.error {
                true => record.counts.failed += 1,
                false => record.counts.completed += 1,
            }
        }
        mark(&mut record.started, &self.marking);
        record.segments.extend(segments);
        self.nonce = self.nonce.wrapping_add(1);
        record.nonce = self.nonce;
        // A stop that came while results were being stored waits for the next checkpoint, which
        // holds what has ended since.
        let whole = record.done.len() as usize == self.items.len();
        if whole {
            record.state = ChunkState::Complete;
        } else if fin {
            // Marked and still here: no byte of them went out, so whoever goes on may run them.
            for lane in self.ready.values() {
                lane.fresh
                    .iter()
                    .chain(&lane.suspect)
                    .for_each(|item| record.started.remove(*item));
            }
            self.delayed
                .iter()
                .for_each(|(_, item)| record.started.remove(*item));
            match self.stop {
                Some(Stop::Leave) => record.owner = 0,
                _ => record.state = ChunkState::Stopped,
            }
        }
        let writing = Writing::new(self.revision, record);
        self.checkpoint = Some(Checkpoint::Writing { writing });
    }
}

impl Writing {
    fn new(expect: Revision, record: ChunkRecord) -> Writing {
        Writing {
            commit: Commit::new(expect),
            record,
            asked: false,
            not_before: Duration::ZERO,
        }
    }

    fn expect(&self) -> Revision {
        self.commit.expect()
    }
}

fn mark(started: &mut ItemSet, items: &[u32]) {
    for item in items {
        started.insert(*item);
    }
}

/// A line of the error file.
fn error_line(key: &ChunkKey, item: u32, custom_id: &[u8], code: &str, message: &str) -> Bytes {
    let custom_id: serde_json::Value =
        serde_json::from_slice(custom_id).unwrap_or(serde_json::Value::Null);
    let line = serde_json::json!({
        "id": format!("{}.{}.{item}", key.job, key.chunk),
        "custom_id": custom_id,
        "response": null,
        "error": { "code": code, "message": message },
    });
    Bytes::from(line.to_string())
}
