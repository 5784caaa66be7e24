//! Which VM claims which chunk, and when.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::run::Run;
use super::{Action, Batch, ChunkKey, Job, RUNS_MAX};
use crate::decide::jobs::{ChunkRecord, ChunkState};
use crate::id::{self, ranked, DomainId, JobId, OwnerId, Revision, ServiceId, VmId};

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
/// Time between two looks for chunks to claim.
pub const CLAIM_PAUSE: Duration = Duration::from_millis(100);
/// Time after which a claim that failed for want of the platform is tried again.
pub const TRY_AGAIN: Duration = Duration::from_secs(1);

/// Who can work off the items of one service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceWorkers {
    pub service: ServiceId,
    /// VMs of the own failure domain that are home of an endpoint of it.
    pub vms: Vec<VmId>,
    /// Failure domains that have endpoints of it.
    pub domains: Vec<DomainId>,
}

/// The VMs that share batch work, as this VM sees them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BatchPeers {
    pub own: VmId,
    pub own_domain: DomainId,
    /// VMs of the own failure domain whose batch process is up, this one included when it is.
    pub vms: Vec<VmId>,
    /// Their batch processes.
    pub owners: Vec<OwnerId>,
    pub hands: Vec<ServiceWorkers>,
}

impl BatchPeers {
    /// The place of this VM's failure domain among those that can work on a chunk, and its own
    /// among the VMs of that domain; `None` when it can't work on it.
    ///
    /// Only VMs that are home of an endpoint of the job's services count: a chunk that another one
    /// claimed would wait there for slots that never come.
    fn rank(&self, key: &ChunkKey, services: &[ServiceId]) -> Option<(usize, usize)> {
        let hash = id::of(&key.job).wrapping_add(u64::from(key.chunk));
        let hands = || {
            self.hands
                .iter()
                .filter(|hands| services.contains(&hands.service))
        };
        let domains = hands().flat_map(|hands| hands.domains.iter().copied());
        let vms = hands().flat_map(|hands| hands.vms.iter().copied());
        let place = |ids: Vec<u64>, own: u64| ids.iter().position(|id| *id == own);
        let domain = place(ranked(hash, domains), self.own_domain)?;
        let vm = place(ranked(hash, vms), self.own)?;
        Some((domain, vm))
    }

    /// Whether this VM sees to it that a job is ended.
    pub fn answers_for(&self, job: &JobId, services: &[ServiceId]) -> bool {
        let key = ChunkKey {
            job: job.clone(),
            chunk: u32::MAX,
        };
        match self.rank(&key, services) {
            Some(rank) => rank == (0, 0),
            // Nobody can work on it: all look, so that a cancelled job still ends.
            None => !self
                .hands
                .iter()
                .any(|hands| services.contains(&hands.service)),
        }
    }
}

/// What is known of a chunk that this VM does not work on.
#[derive(Debug, Clone, Default)]
pub struct ObservedChunk {
    record: Option<(Revision, ChunkRecord)>,
    /// When the record was first seen at this revision.
    moved_at: Duration,
    next_look: Duration,
    reading: bool,
    /// The record was read at least once.
    looked: bool,
    ended: bool,
}

impl ObservedChunk {
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

    /// Whether the owner of the record is thought to be gone. A mistake costs only work: the owner
    /// loses its next write.
    fn owner_gone(&self, now: Duration, crew: &BatchPeers) -> bool {
        let Some((_, record)) = &self.record else {
            return true;
        };
        if record.owner == 0 {
            return true;
        }
        if record.owner_domain == crew.own_domain {
            return !crew.owners.contains(&record.owner);
        }
        // Of another failure domain only the record tells.
        now >= self.moved_at + STALE_AFTER
    }
}

/// A chunk that this VM may try for.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Place of the own failure domain, and of this VM in it.
    place: (usize, usize),
    /// Nobody can work on it: it is only to be ended when its job is stopped.
    stranded: bool,
}

impl Batch {
    /// Ranks this VM for all chunks of a job. Done when the job or the crew changes, not at each
    /// event: with thousands of chunks that alone would cost more than a node may spend.
    pub(super) fn rank_job(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let services = &job.view.services;
        for chunk in 0..job.view.chunks {
            let key = ChunkKey {
                job: id.clone(),
                chunk,
            };
            let candidate = match self.crew.rank(&key, services) {
                Some(place) if place.1 < CLAIMANTS => Candidate {
                    place,
                    stranded: false,
                },
                None if self.crew.answers_for(id, services) => Candidate {
                    place: (0, 0),
                    stranded: true,
                },
                _ => {
                    self.candidates.remove(&key);
                    continue;
                }
            };
            self.candidates.insert(key, candidate);
        }
    }

    /// Claims chunks while there is room for their items.
    pub(super) fn claim(&mut self, now: Duration, out: &mut Vec<Action>) {
        if !self.claim_soon && now < self.claim_at {
            return;
        }
        self.claim_soon = false;
        self.claim_at = now + CLAIM_PAUSE;
        if !self.crew.vms.contains(&self.crew.own) {
            return;
        }
        let mut wanted: Vec<(Duration, &ChunkKey, bool)> = Vec::new();
        for (key, candidate) in &self.candidates {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            if self.runs.contains_key(key) || !self.due(now, job, key, *candidate) {
                continue;
            }
            wanted.push((job.view.deadline, key, candidate.place == (0, 0)));
        }
        wanted.sort();
        let wanted: Vec<(ChunkKey, bool)> = wanted
            .into_iter()
            .map(|(_, key, first)| (key.clone(), first))
            .collect();
        for (key, first) in wanted {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let stopping = job.stopping(now);
            if stopping || self.has_appetite(&job.view.services) {
                self.claim_one(now, key, first, stopping, out);
            }
        }
    }

    /// Whether this VM could use more items of these services than it holds.
    fn has_appetite(&self, services: &[ServiceId]) -> bool {
        let slots = self
            .slots
            .values()
            .filter(|slot| services.contains(&slot.service));
        let window: u32 = slots.map(|slot| slot.window).sum();
        let waiting: usize = self.runs.values().map(|run| run.waiting()).sum();
        self.runs.len() < RUNS_MAX && waiting < 2 * window as usize
    }

    /// Whether to try for a chunk now.
    fn due(&self, now: Duration, job: &Job, key: &ChunkKey, candidate: Candidate) -> bool {
        let stopping = job.stopping(now);
        if candidate.stranded && !stopping {
            return false;
        }
        if !stopping && self.runs.len() >= RUNS_MAX {
            return false;
        }
        let (domain, vm) = candidate.place;
        let at = match self.sightings.get(key) {
            Some(sighting) if sighting.ended || sighting.reading => return false,
            None => job.seen_at + DOMAIN_DELAY * domain as u32 + VM_DELAY * vm as u32,
            Some(sighting) if sighting.record.is_none() => sighting.next_look,
            Some(sighting) if sighting.owner_gone(now, &self.crew) => {
                sighting.next_look.min(sighting.moved_at + TRY_AGAIN)
            }
            Some(sighting) => sighting.next_look,
        };
        now >= at
    }

    fn claim_one(
        &mut self,
        now: Duration,
        key: ChunkKey,
        first: bool,
        stopping: bool,
        out: &mut Vec<Action>,
    ) {
        let sighting = self.sightings.entry(key.clone()).or_default();
        let owned = sighting.record.is_some() && !sighting.owner_gone(now, &self.crew);
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
        let Some(run) = Run::claim(
            key.clone(),
            id,
            (self.owner, self.crew.own_domain),
            record,
            nonce,
            stopping,
        ) else {
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
