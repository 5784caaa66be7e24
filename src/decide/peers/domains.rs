//! State of failure domains from their delegates' summaries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::messages::Summary;
use super::{FORGET_AFTER, HEARD_LIFE};
use crate::decide::backlog::RouteKey;
use crate::id::{ConfigVersion, DomainId, OwnerId, Revision, VmId};

/// A delegate's state as last reported.
#[derive(Debug, Clone)]
pub struct DelegateStatus {
    owner: OwnerId,
    /// Sequence number and part of the newest summary.
    newest: (u64, u8),
    heard_at: Duration,
    pub domain: DomainId,
    pub peer_address: SocketAddr,
    pub draining: bool,
    pub store: bool,
    /// Since when each of its summaries has reported an available store.
    pub store_since: Option<Duration>,
    pub rules: ConfigVersion,
    pub endpoints: Revision,
}

/// A failure domain's state as last reported by one of its delegates.
#[derive(Debug, Clone)]
pub struct DomainStatus {
    heard_at: Duration,
    pub jobs: Revision,
    pub waiting: u32,
    pub backlog: Vec<(RouteKey, u64)>,
    pub unregistered: Vec<OwnerId>,
    leaving: Vec<VmId>,
    pub rivals: Vec<(VmId, u32)>,
}

/// All failure domains that sent summaries.
#[derive(Debug, Default)]
pub struct Domains {
    speakers: HashMap<VmId, DelegateStatus>,
    rows: HashMap<DomainId, DomainStatus>,
}

impl Domains {
    /// Applies a summary; false when it is late or duplicate.
    pub fn apply_summary(&mut self, now: Duration, summary: &Summary) -> bool {
        let newest = (summary.sequence, summary.part);
        let known = self.speakers.get(&summary.by);
        let same = known.filter(|speaker| speaker.owner == summary.owner);
        if same.is_some_and(|speaker| newest <= speaker.newest) {
            return false;
        }
        let since = same.filter(|speaker| lives(now, speaker.heard_at));
        let since = since.and_then(|speaker| speaker.store_since).unwrap_or(now);
        let speaker = DelegateStatus {
            owner: summary.owner,
            newest,
            heard_at: now,
            domain: summary.domain,
            peer_address: summary.peer_address,
            draining: summary.draining,
            store: summary.store,
            store_since: summary.store.then_some(since),
            rules: summary.rules,
            endpoints: summary.endpoints,
        };
        self.speakers.insert(summary.by, speaker);
        // The first part carries everything but endpoint rows, which `Usage` counts.
        if summary.part == 0 {
            self.rows
                .insert(summary.domain, DomainStatus::new(now, summary));
        }
        true
    }

    /// Whether a summary of this delegate arrived within the peer timeout.
    pub fn is_delegate_alive(&self, now: Duration, vm: VmId) -> bool {
        let speaker = self.speakers.get(&vm);
        speaker.is_some_and(|speaker| lives(now, speaker.heard_at))
    }

    /// Whether a summary of this VM as a delegate is on record.
    pub fn was_delegate(&self, vm: VmId) -> bool {
        self.speakers.contains_key(&vm)
    }

    /// A delegate that is alive.
    pub fn living_delegate(&self, now: Duration, vm: VmId) -> Option<&DelegateStatus> {
        let speaker = self.speakers.get(&vm);
        speaker.filter(|speaker| lives(now, speaker.heard_at))
    }

    /// All delegates that are alive.
    pub fn living_delegates(&self, now: Duration) -> impl Iterator<Item = &DelegateStatus> {
        let speakers = self.speakers.values();
        speakers.filter(move |speaker| lives(now, speaker.heard_at))
    }

    /// All failure domains with a current summary.
    pub fn living(&self, now: Duration) -> impl Iterator<Item = (DomainId, &DomainStatus)> {
        let rows = self.rows.iter().map(|(domain, told)| (*domain, told));
        rows.filter(move |(_, told)| lives(now, told.heard_at))
    }

    /// The current state of a failure domain.
    pub fn status(&self, now: Duration, domain: DomainId) -> Option<&DomainStatus> {
        let told = self.rows.get(&domain);
        told.filter(|told| lives(now, told.heard_at))
    }

    /// Whether a VM is draining, as its delegate reports.
    pub fn is_draining(&self, now: Duration, vm: VmId) -> bool {
        let mut living = self.living(now);
        living.any(|(_, told)| told.leaving.contains(&vm))
    }

    /// Drops delegates that have long been silent.
    pub fn tick(&mut self, now: Duration) {
        let keep = |speaker: &DelegateStatus| now < speaker.heard_at + FORGET_AFTER;
        self.speakers.retain(|_, speaker| keep(speaker));
    }
}

impl DomainStatus {
    fn new(now: Duration, summary: &Summary) -> DomainStatus {
        DomainStatus {
            heard_at: now,
            jobs: summary.jobs,
            waiting: summary.waiting,
            backlog: summary.backlog.clone(),
            unregistered: summary.unregistered.clone(),
            leaving: summary.leaving.clone(),
            rivals: summary.rivals.clone(),
        }
    }
}

fn lives(now: Duration, heard_at: Duration) -> bool {
    now < heard_at + HEARD_LIFE
}
