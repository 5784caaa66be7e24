//! Which VM claims which chunk, and when.

use std::collections::HashSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::run::Run;
use super::{Action, Batch, ChunkKey, RUNS_MAX};
use crate::decide::jobs::{ChunkRecord, ChunkState};
use crate::id::{self, ranked, DomainId, JobId, Revision, VmId};

/// How much later than the first failure domain each further one tries for a chunk.
pub const DOMAIN_DELAY: Duration = Duration::from_secs(8);
/// How much later than the first VM of a failure domain each further one tries.
pub const VM_DELAY: Duration = Duration::from_millis(700);
/// A chunk whose owner is in another failure domain, and whose record has not moved for so long,
/// is taken over.
pub const STALE_AFTER: Duration = Duration::from_secs(90);
/// VMs of a failure domain that try for one chunk: a number that does not grow with the fleet, so
/// that neither do the calls on the platform for a chunk.
pub const CLAIMANTS: usize = 3;
/// Time between two looks at a chunk that somebody else owns.
pub const LOOK_AGAIN: Duration = Duration::from_secs(15);
/// Time after which a claim that failed for want of the platform is tried again.
pub const TRY_AGAIN: Duration = Duration::from_secs(1);

/// The VMs that share batch work, as this VM sees them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Crew {
    pub own: VmId,
    pub own_domain: DomainId,
    /// VMs of the own failure domain whose batch process is up, this one included when it is.
    pub vms: Vec<VmId>,
    /// Failure domains that have endpoints.
    pub domains: Vec<DomainId>,
}

impl Crew {
    fn rank(&self, key: &ChunkKey) -> (usize, usize) {
        let hash = id::of(&key.job).wrapping_add(u64::from(key.chunk));
        let place = |ids: &[u64], own: u64| {
            ranked(hash, ids.iter().copied())
                .iter()
                .position(|id| *id == own)
        };
        let domain = place(&self.domains, self.own_domain);
        let vm = place(&self.vms, self.own);
        (
            domain.unwrap_or(self.domains.len()),
            vm.unwrap_or(self.vms.len()),
        )
    }

    /// Whether this VM sees to it that a job is ended.
    pub fn answers_for(&self, job: &JobId) -> bool {
        self.rank(&ChunkKey {
            job: job.clone(),
            chunk: u32::MAX,
        }) == (0, 0)
    }
}

/// What is known of a chunk that this VM does not work on.
#[derive(Debug, Clone, Default)]
pub struct Sighting {
    record: Option<(Revision, ChunkRecord)>,
    /// When the record was first seen at this revision.
    moved_at: Duration,
    next_look: Duration,
    reading: bool,
    /// The record was read at least once.
    looked: bool,
    ended: bool,
}

impl Sighting {
    /// Takes a read of the record.
    pub fn read(&mut self, now: Duration, found: Option<Option<(Revision, ChunkRecord)>>) {
        self.reading = false;
        self.looked = true;
        self.next_look = now + LOOK_AGAIN;
        match found {
            None => self.next_look = now + TRY_AGAIN,
            Some(None) => {
                // Nobody has it: claim it now.
                self.record = None;
                self.next_look = now;
            }
            Some(Some((revision, record))) => {
                if self.record.as_ref().map(|(old, _)| *old) != Some(revision) {
                    self.moved_at = now;
                }
                self.ended = record.state != ChunkState::Open;
                self.record = Some((revision, record));
            }
        }
    }

    /// Takes what a run that is over knew last.
    pub fn after_run(&mut self, run: &Run) {
        self.ended = run
            .final_state()
            .is_some_and(|state| state != ChunkState::Open);
        self.record = None;
        self.next_look = run.retry_at();
        // A record that another VM wrote is read before it is claimed again.
        self.reading = false;
        if run.was_lost() {
            self.record = run.seen().cloned();
            self.moved_at = run.retry_at();
        }
    }

    /// Whether the owner of the record is thought to be gone.
    fn owner_gone(&self, now: Duration, crew: &Crew, near: &HashSet<VmId>) -> bool {
        let Some((_, record)) = &self.record else {
            return true;
        };
        let owner = record.owner;
        if owner == 0 || owner == crew.own {
            // Handed over, or owned by an earlier process of this VM.
            return true;
        }
        if crew.vms.contains(&owner) {
            return false;
        }
        // An owner that was seen in this failure domain and is not there any more is dead; one
        // that never was belongs to another, which can only be told by its record.
        near.contains(&owner) || now >= self.moved_at + STALE_AFTER
    }
}

impl Batch {
    /// Claims chunks while there is room for their items.
    pub(super) fn claim(&mut self, now: Duration, out: &mut Vec<Action>) {
        let crew = self.crew.clone();
        self.near.extend(crew.vms.iter().copied());
        if !crew.vms.contains(&crew.own) {
            return;
        }
        let mut wanted: Vec<(Duration, ChunkKey)> = Vec::new();
        for (id, job) in &self.jobs {
            for chunk in 0..job.view.chunks {
                let key = ChunkKey {
                    job: id.clone(),
                    chunk,
                };
                if self.runs.contains_key(&key) || !self.due(now, &crew, job.seen_at, &key) {
                    continue;
                }
                wanted.push((job.view.deadline, key));
            }
        }
        wanted.sort();
        for (_, key) in wanted {
            let stopping = self.jobs.get(&key.job).is_none_or(|job| job.stopping(now));
            if !stopping && !self.has_appetite() {
                continue;
            }
            self.claim_one(now, key, stopping, out);
        }
    }

    /// Whether this VM could use more items than it holds.
    fn has_appetite(&self) -> bool {
        let window: u32 = self.slots.values().map(|slot| slot.window).sum();
        let waiting: usize = self.runs.values().map(|run| run.waiting()).sum();
        self.runs.len() < RUNS_MAX && waiting < 2 * window as usize
    }

    fn due(&self, now: Duration, crew: &Crew, seen_at: Duration, key: &ChunkKey) -> bool {
        let sighting = self.sightings.get(key);
        if sighting.is_some_and(|s| s.ended || s.reading) {
            return false;
        }
        if let Some(sighting) = sighting.filter(|s| s.record.is_some()) {
            let gone = sighting.owner_gone(now, crew, &self.near);
            if !gone && now < sighting.next_look {
                return false;
            }
            if gone && crew.rank(key).0 == 0 {
                return now >= sighting.next_look.min(sighting.moved_at + TRY_AGAIN);
            }
            return now >= sighting.next_look && crew.rank(key).1 < CLAIMANTS;
        }
        if sighting.is_some_and(|s| now < s.next_look) {
            return false;
        }
        let (domain, vm) = crew.rank(key);
        vm < CLAIMANTS && now >= seen_at + DOMAIN_DELAY * domain as u32 + VM_DELAY * vm as u32
    }

    fn claim_one(&mut self, now: Duration, key: ChunkKey, stopping: bool, out: &mut Vec<Action>) {
        let near = &self.near;
        let sighting = self.sightings.entry(key.clone()).or_default();
        let first = self.crew.rank(&key) == (0, 0);
        let owned = sighting.record.is_some() && !sighting.owner_gone(now, &self.crew, near);
        if owned || (!first && !sighting.looked) {
            // It may have moved since it was last seen, or the first claimant has it: a read costs
            // the platform less than a write that fails.
            sighting.reading = true;
            out.push(Action::Read { key, run: 0 });
            return;
        }
        let id = self.next_run;
        self.next_run += 1;
        let nonce = rand::Rng::random(&mut self.rng);
        let record = sighting.record.take();
        let Some(run) = Run::claim(key.clone(), id, self.crew.own, record, nonce, stopping) else {
            sighting.ended = true;
            return;
        };
        self.totals.chunks_claimed += 1;
        self.runs.insert(key.clone(), run);
        if let Some(run) = self.runs.get_mut(&key) {
            run.advance(now, false, out);
        }
    }
}
