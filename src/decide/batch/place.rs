//! Decides which VM claims which chunk, and when.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::run::Run;
use super::{Action, Batch, ChunkKey, Job, RUNS_MAX};
use crate::decide::jobs::{ChunkRecord, ChunkState};
use crate::id::{self, ranked, DomainId, JobId, OwnerId, Revision, ServiceId, VmId};

/// Claim delay of a failure domain, multiplied by its rank for the chunk.
pub const CLAIM_DELAY_PER_DOMAIN: Duration = Duration::from_secs(8);
/// Claim delay of a VM, multiplied by its rank within its failure domain.
pub const CLAIM_DELAY_PER_VM: Duration = Duration::from_millis(700);
/// A chunk whose owner is in another failure domain is taken over when its record has not changed
/// for this long.
pub const REMOTE_OWNER_STALE_AFTER: Duration = Duration::from_secs(90);
/// VMs of a failure domain that may claim one chunk. The number does not grow with the fleet, so
/// that neither do the store calls for a chunk.
pub const CLAIMANTS_PER_DOMAIN: usize = 3;
/// Interval between reads of a chunk record that another VM owns.
pub const RECORD_READ_INTERVAL: Duration = Duration::from_secs(15);
/// Interval between searches for chunks to claim.
pub const CLAIM_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a failed store call is retried.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The VMs and failure domains that can run the items of one service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceWorkers {
    pub service: ServiceId,
    /// VMs of the local failure domain to which an endpoint of the service is assigned.
    pub vms: Vec<VmId>,
    /// Failure domains with endpoints of the service.
    pub domains: Vec<DomainId>,
}

/// The VMs that share batch work, as seen by this VM.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BatchPeers {
    pub local_vm: VmId,
    pub local_domain: DomainId,
    /// VMs of the local failure domain whose batch process is up, including this one if it is.
    pub vms: Vec<VmId>,
    /// Owner ids of their batch processes.
    pub owners: Vec<OwnerId>,
    pub workers: Vec<ServiceWorkers>,
}

impl BatchPeers {
    /// Rank of the local failure domain among those that can work on a chunk, and of this VM within
    /// it; `None` when this VM can't work on the chunk.
    ///
    /// Only VMs with an assigned endpoint of the job's services count: a chunk claimed by another
    /// VM would wait there for slots that it never gets.
    fn rank(&self, key: &ChunkKey, services: &[ServiceId]) -> Option<(usize, usize)> {
        let hash = id::of(&key.job).wrapping_add(u64::from(key.chunk));
        let workers = || {
            self.workers
                .iter()
                .filter(|workers| services.contains(&workers.service))
        };
        let domains = workers().flat_map(|workers| workers.domains.iter().copied());
        let vms = workers().flat_map(|workers| workers.vms.iter().copied());
        let position = |ids: Vec<u64>, own: u64| ids.iter().position(|id| *id == own);
        let domain = position(ranked(hash, domains), self.local_domain)?;
        let vm = position(ranked(hash, vms), self.local_vm)?;
        Some((domain, vm))
    }

    /// Whether this VM is responsible for ending a job.
    pub fn is_responsible_for(&self, job: &JobId, services: &[ServiceId]) -> bool {
        let key = ChunkKey {
            job: job.clone(),
            chunk: u32::MAX,
        };
        match self.rank(&key, services) {
            Some(rank) => rank == (0, 0),
            // No VM can work on it: all check it, so that a cancelled job still ends.
            None => !self
                .workers
                .iter()
                .any(|workers| services.contains(&workers.service)),
        }
    }
}

/// State of a chunk that this VM does not work on.
#[derive(Debug, Clone, Default)]
pub struct ObservedChunk {
    record: Option<(Revision, ChunkRecord)>,
    /// When the record was first seen at this revision.
    revision_seen_at: Duration,
    next_read_at: Duration,
    reading: bool,
    /// The record was read at least once.
    was_read: bool,
    ended: bool,
}

impl ObservedChunk {
    /// Applies a read of the record.
    pub fn read(&mut self, now: Duration, found: Option<Option<(Revision, ChunkRecord)>>) {
        self.reading = false;
        self.was_read = true;
        self.next_read_at = now + RECORD_READ_INTERVAL;
        match found {
            None => self.next_read_at = now + RETRY_AFTER,
            Some(None) => {
                // The chunk has no record: claim it now.
                self.record = None;
                self.next_read_at = now;
            }
            Some(Some((revision, record))) => {
                if self.record.as_ref().map(|(old, _)| *old) != Some(revision) {
                    self.revision_seen_at = now;
                }
                self.ended = record.state != ChunkState::Open;
                self.record = Some((revision, record));
            }
        }
    }

    /// Takes over the last known state of a run that has ended.
    pub fn after_run(&mut self, run: &Run) {
        self.ended = run
            .final_state()
            .is_some_and(|state| state != ChunkState::Open);
        self.record = None;
        self.next_read_at = run.retry_at();
        // A record that another VM wrote is read before the chunk is claimed again.
        self.reading = false;
        if run.was_lost() {
            self.record = run.standing().cloned();
            self.revision_seen_at = run.retry_at();
        }
    }

    /// Whether the owner of the record is presumed dead. A wrong answer only costs duplicate work:
    /// the owner's next write fails.
    fn is_owner_gone(&self, now: Duration, peers: &BatchPeers) -> bool {
        let Some((_, record)) = &self.record else {
            return true;
        };
        if record.owner == 0 {
            return true;
        }
        if record.owner_domain == peers.local_domain {
            return !peers.owners.contains(&record.owner);
        }
        // For a remote failure domain only the record shows whether the owner is alive.
        now >= self.revision_seen_at + REMOTE_OWNER_STALE_AFTER
    }
}

/// A chunk that this VM may claim.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Rank of the local failure domain, and of this VM within it.
    rank: (usize, usize),
    /// No VM can work on it: the chunk is only claimed to end it when its job is stopped.
    without_workers: bool,
}

impl Batch {
    /// Ranks this VM for all chunks of a job. Called when the job or the peers change, not on each
    /// event: with thousands of chunks that alone would take more time than a VM can spend.
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
            let candidate = match self.peers.rank(&key, services) {
                Some(rank) if rank.1 < CLAIMANTS_PER_DOMAIN => Candidate {
                    rank,
                    without_workers: false,
                },
                None if self.peers.is_responsible_for(id, services) => Candidate {
                    rank: (0, 0),
                    without_workers: true,
                },
                _ => {
                    self.candidates.remove(&key);
                    continue;
                }
            };
            self.candidates.insert(key, candidate);
        }
    }

    /// Claims chunks while this VM has capacity for their items.
    pub(super) fn claim_chunks(&mut self, now: Duration, out: &mut Vec<Action>) {
        if !self.claim_soon && now < self.next_claim_at {
            return;
        }
        self.claim_soon = false;
        self.next_claim_at = now + CLAIM_INTERVAL;
        if !self.peers.vms.contains(&self.peers.local_vm) {
            return;
        }
        let mut wanted: Vec<(Duration, &ChunkKey, bool)> = Vec::new();
        for (key, candidate) in &self.candidates {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            if self.runs.contains_key(key) || !self.is_claim_due(now, job, key, *candidate) {
                continue;
            }
            wanted.push((job.view.deadline, key, candidate.rank == (0, 0)));
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
            if stopping || self.needs_items(&job.view.services) {
                self.claim_chunk(now, key, first, stopping, out);
            }
        }
    }

    /// Whether this VM could use more items of these services than it has waiting.
    fn needs_items(&self, services: &[ServiceId]) -> bool {
        let slots = self
            .slots
            .values()
            .filter(|slot| services.contains(&slot.service));
        let window: u32 = slots.map(|slot| slot.window).sum();
        let waiting: usize = self.runs.values().map(|run| run.waiting_items()).sum();
        self.runs.len() < RUNS_MAX && waiting < 2 * window as usize
    }

    /// Whether a claim of the chunk is due.
    fn is_claim_due(&self, now: Duration, job: &Job, key: &ChunkKey, candidate: Candidate) -> bool {
        let stopping = job.stopping(now);
        if candidate.without_workers && !stopping {
            return false;
        }
        if !stopping && self.runs.len() >= RUNS_MAX {
            return false;
        }
        let (domain, vm) = candidate.rank;
        let at = match self.observed.get(key) {
            Some(observed) if observed.ended || observed.reading => return false,
            None => {
                job.seen_at
                    + CLAIM_DELAY_PER_DOMAIN * domain as u32
                    + CLAIM_DELAY_PER_VM * vm as u32
            }
            Some(observed) if observed.record.is_none() => observed.next_read_at,
            Some(observed) if observed.is_owner_gone(now, &self.peers) => observed
                .next_read_at
                .min(observed.revision_seen_at + RETRY_AFTER),
            Some(observed) => observed.next_read_at,
        };
        now >= at
    }

    fn claim_chunk(
        &mut self,
        now: Duration,
        key: ChunkKey,
        first: bool,
        stopping: bool,
        out: &mut Vec<Action>,
    ) {
        let observed = self.observed.entry(key.clone()).or_default();
        let owned = observed.record.is_some() && !observed.is_owner_gone(now, &self.peers);
        if owned || (!first && !observed.was_read) {
            // The record may have changed since it was last seen, or the first claimant may have
            // the chunk: a read costs the store less than a failed write.
            observed.reading = true;
            out.push(Action::Read { key, run: 0 });
            return;
        }
        let id = self.next_run;
        self.next_run += 1;
        let nonce = rand::Rng::random(&mut self.rng);
        let record = observed.record.take();
        let Some(run) = Run::claim(
            key.clone(),
            id,
            (self.owner, self.peers.local_domain),
            record,
            nonce,
            stopping,
        ) else {
            observed.ended = true;
            return;
        };
        self.totals.chunks_claimed += 1;
        self.runs.insert(key.clone(), run);
        if let Some(run) = self.runs.get_mut(&key) {
            run.advance(now, false, out);
        }
    }
}
