//! One chunk that this VM processes: claim, load, run items, write checkpoints.

pub mod items;
pub mod writes;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;

use super::place::RETRY_AFTER;
use super::{Action, AttemptEnd, ChunkKey, InFlightAttempt, ItemWork, PlannedItem};
use crate::decide::commit::{Commit, Step, WriteOutcome};
use crate::decide::jobs::{ChunkRecord, ChunkState, ItemSet, ResultSegment};
use crate::decide::retry::AttemptStage;
use crate::id::{DomainId, Epoch, Nonce, OwnerId, Revision, ServiceId};

/// Number of results that triggers a checkpoint.
pub const CHECKPOINT_ITEMS: usize = 1024;
/// Age of the oldest unsaved result that triggers a checkpoint.
pub const CHECKPOINT_AGE: Duration = Duration::from_secs(60);
/// Non-repeatable items that one write marks as started.
pub const STARTED_MARKS_PER_WRITE: usize = 64;
/// Attempts of one item.
pub const ATTEMPTS_MAX: u32 = 5;
/// Endpoint deaths during attempts of one item after which the item fails.
pub const ENDPOINT_DEATHS_MAX: u32 = 2;
/// Time without an assigned endpoint for any waiting item after which the run is handed over.
pub const UNASSIGNED_HAND_OVER_AFTER: Duration = Duration::from_secs(2);
/// Time for which this VM does not reclaim a chunk that it handed over.
pub const HANDED_OVER_RETRY_AFTER: Duration = Duration::from_secs(20);
/// Delay before the second attempt of an item; doubled for each further attempt.
pub const RETRY_BACKOFF: Duration = Duration::from_millis(250);

/// Why a run stops before all its items have a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The job was cancelled, or its deadline passed.
    Job,
    /// Another VM takes over: this one is draining, or no endpoint that the items need is assigned
    /// to it.
    HandOver,
}

#[derive(Debug, Clone)]
struct Item {
    custom_id: Bytes,
    service: ServiceId,
    idempotent: bool,
    attempts: u32,
    deaths: u32,
}

#[derive(Debug, Clone)]
struct ItemResult {
    line: Bytes,
    error: bool,
}

#[derive(Debug, Default)]
struct ReadyQueue {
    fresh: VecDeque<u32>,
    suspect: VecDeque<u32>,
}

/// A write of the chunk record in progress.
#[derive(Debug)]
struct PendingWrite {
    commit: Commit,
    record: ChunkRecord,
    /// A read or write was requested and not answered yet.
    requested: bool,
    /// Earliest time of the next step.
    not_before: Duration,
}

#[derive(Debug)]
enum RunPhase {
    Claiming(PendingWrite),
    Loading {
        requested: bool,
        not_before: Duration,
    },
    Running,
    Ended,
}

#[derive(Debug)]
enum Checkpoint {
    Storing {
        lines: BTreeMap<u32, ItemResult>,
        requested: bool,
        not_before: Duration,
        is_final: bool,
    },
    Writing {
        writing: PendingWrite,
    },
}

/// One chunk that this VM works on.
#[derive(Debug)]
pub struct Run {
    pub id: u64,
    key: ChunkKey,
    phase: RunPhase,
    /// The record as this run last wrote it.
    record: Option<ChunkRecord>,
    revision: Revision,
    /// The record that another VM wrote in its place, after this run lost the chunk.
    standing: Option<(Revision, ChunkRecord)>,
    nonce: Nonce,
    items: Vec<Item>,
    ready: BTreeMap<ServiceId, ReadyQueue>,
    delayed: BTreeSet<(Duration, u32)>,
    /// Non-repeatable items that are not marked as started yet.
    unmarked: VecDeque<u32>,
    /// Items that the write in progress marks as started.
    being_marked: Vec<u32>,
    /// Results that are in no checkpoint yet. Invariant: an item is at most once in this map, in
    /// the record's done set, or in the checkpoint in progress.
    results: BTreeMap<u32, ItemResult>,
    oldest_result: Option<Duration>,
    checkpoint: Option<Checkpoint>,
    /// Number of items without a result.
    open: u32,
    stop: Option<StopReason>,
    unassigned_since: Option<Duration>,
    lost: bool,
    retry_at: Duration,
}

impl Run {
    /// Starts with a claim that replaces the existing record; `None` when the chunk has ended.
    pub fn claim(
        key: ChunkKey,
        id: u64,
        owner: (OwnerId, DomainId),
        existing: Option<(Revision, ChunkRecord)>,
        nonce: Nonce,
        stopping: bool,
    ) -> Option<Run> {
        let existing_record = existing.as_ref().map(|(_, record)| record);
        let mut record = ChunkRecord::claim(existing_record, owner.0, owner.1, nonce)?;
        // Without started items there are no results to report, so a chunk of a cancelled job ends
        // in one write.
        if stopping && record.started.is_empty() {
            record.state = ChunkState::Stopped;
        }
        let expect = existing.as_ref().map_or(0, |(revision, _)| *revision);
        Some(Run {
            id,
            key,
            phase: RunPhase::Claiming(PendingWrite::new(expect, record)),
            record: None,
            revision: expect,
            standing: None,
            nonce,
            items: Vec::new(),
            ready: BTreeMap::new(),
            delayed: BTreeSet::new(),
            unmarked: VecDeque::new(),
            being_marked: Vec::new(),
            results: BTreeMap::new(),
            oldest_result: None,
            checkpoint: None,
            open: 0,
            stop: None,
            unassigned_since: None,
            lost: false,
            retry_at: Duration::ZERO,
        })
    }

    /// The epoch of its claim.
    pub fn epoch(&self) -> Epoch {
        self.record.as_ref().map_or(0, |record| record.epoch)
    }

    /// Whether the run has ended.
    pub fn has_ended(&self) -> bool {
        matches!(self.phase, RunPhase::Ended)
    }

    /// Whether another VM's record replaced the one of this run.
    pub fn was_lost(&self) -> bool {
        self.lost
    }

    /// The state in which it left the chunk; `None` when it never had the chunk or lost it.
    pub fn final_state(&self) -> Option<ChunkState> {
        let record = self.record.as_ref().filter(|_| !self.lost)?;
        Some(record.state)
    }

    /// The record that another VM wrote, as last read.
    pub fn standing(&self) -> Option<&(Revision, ChunkRecord)> {
        self.standing.as_ref()
    }

    /// When the chunk may be claimed again.
    pub fn retry_at(&self) -> Duration {
        self.retry_at
    }

    /// Number of items without a result.
    pub fn open_items(&self) -> u32 {
        self.open
    }

    /// What the run waits for, as shown to operators.
    pub fn waits_for(&self) -> &'static str {
        match (&self.phase, &self.checkpoint) {
            (RunPhase::Claiming(_), _) => "the platform: claim",
            (RunPhase::Loading { .. }, _) => "the input",
            (RunPhase::Ended, _) => "nothing",
            (RunPhase::Running, Some(Checkpoint::Storing { .. })) => "the results' storage",
            (RunPhase::Running, Some(Checkpoint::Writing { .. })) => "the platform: checkpoint",
            (RunPhase::Running, None) if self.stop.is_some() => "its last items",
            (RunPhase::Running, None) => "free slots at endpoints, and its items under way",
        }
    }

    /// Items that wait for a slot. While loading the number is unknown; returns a large one then.
    pub fn waiting_items(&self) -> usize {
        match self.phase {
            RunPhase::Claiming(_) | RunPhase::Loading { .. } => usize::MAX / 1024,
            _ => {
                let ready: usize = self
                    .ready
                    .values()
                    .map(|queue| queue.fresh.len() + queue.suspect.len())
                    .sum();
                ready + self.unmarked.len() + self.delayed.len()
            }
        }
    }

    /// Whether it starts no more items.
    pub fn is_stopping(&self) -> bool {
        self.stop.is_some()
    }

    /// Ends the run as soon as its attempts in flight have ended.
    pub fn stop(&mut self, stop: StopReason) {
        self.stop = Some(stop);
    }

    /// Hands the chunk over when no endpoint that its waiting items need is assigned to this VM.
    ///
    /// Assignments change when VMs join and leave. Without this, items already here would wait for
    /// slots that this VM never gets again and hold up the job, although other VMs could run them.
    pub fn note_assignments(&mut self, now: Duration, assigned: impl Fn(ServiceId) -> bool) {
        let waiting = |queue: &ReadyQueue| !queue.fresh.is_empty() || !queue.suspect.is_empty();
        let needed = || self.ready.iter().filter(|(_, queue)| waiting(queue));
        let unassigned =
            needed().next().is_some() && !needed().any(|(service, _)| assigned(*service));
        if !unassigned {
            self.unassigned_since = None;
            return;
        }
        let since = *self.unassigned_since.get_or_insert(now);
        if now >= since + UNASSIGNED_HAND_OVER_AFTER && self.stop.is_none() {
            self.stop = Some(StopReason::HandOver);
        }
    }

    /// Whether an item may be retried after an endpoint may have received part of it.
    pub fn is_idempotent(&self, item: u32) -> bool {
        self.items[item as usize].idempotent
    }

    /// Whether an item was running when an endpoint died.
    pub fn is_suspect(&self, item: u32) -> bool {
        self.items[item as usize].deaths > 0
    }

    /// Whether an item is ready to be sent.
    pub fn has_ready(&self, service: ServiceId, allow_suspect: bool) -> bool {
        if self.stop.is_some() || self.lost {
            return false;
        }
        let queue = self.ready.get(&service);
        queue.is_some_and(|queue| {
            !queue.fresh.is_empty() || (allow_suspect && !queue.suspect.is_empty())
        })
    }

    /// Takes the next item to be sent.
    pub fn take_ready(&mut self, service: ServiceId, allow_suspect: bool) -> Option<u32> {
        let queue = self.ready.get_mut(&service)?;
        let suspect = if allow_suspect {
            queue.suspect.pop_front()
        } else {
            None
        };
        suspect.or_else(|| queue.fresh.pop_front())
    }
}
