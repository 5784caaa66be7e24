//! One chunk in the hands of this VM: claimed, loaded, worked off, checkpointed.

pub mod items;
pub mod writes;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;

use super::place::TRY_AGAIN;
use super::{Action, AttemptEnd, ChunkKey, InFlightAttempt, ItemWork, PlannedItem};
use crate::decide::commit::{Answer, Commit, Step};
use crate::decide::jobs::{ChunkRecord, ChunkState, ItemSet, ResultSegment};
use crate::decide::retry::AttemptStage;
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
}
