//! What delegates have told of their failure domains.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::messages::Summary;
use super::{FORGET_AFTER, HEARD_LIFE};
use crate::decide::backlog::RouteKey;
use crate::id::{ConfigVersion, DomainId, OwnerId, Revision, VmId};

/// A delegate as it last spoke.
#[derive(Debug, Clone)]
pub struct DelegateStatus {
    owner: OwnerId,
    /// Sequence and part of the newest summary.
    newest: (u64, u8),
    heard_at: Duration,
    pub domain: DomainId,
    pub peer_address: SocketAddr,
    pub draining: bool,
    pub store: bool,
    /// Since when each of its summaries says so.
    pub store_since: Option<Duration>,
    pub rules: ConfigVersion,
    pub endpoints: Revision,
}

/// A failure domain as one of its delegates last told of it.
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

/// All failure domains that were told of.
#[derive(Debug, Default)]
pub struct Domains {
    speakers: HashMap<VmId, DelegateStatus>,
    rows: HashMap<DomainId, DomainStatus>,
}

impl Domains {
    /// Takes a summary; false when it is late or doubled.
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
        // The first part tells all but rows, which are counted elsewhere.
        if summary.part == 0 {
            self.rows
                .insert(summary.domain, DomainStatus::new(now, summary));
        }
        true
    }

    /// Whether a delegate was heard of late.
    pub fn is_delegate_alive(&self, now: Duration, vm: VmId) -> bool {
        let speaker = self.speakers.get(&vm);
        speaker.is_some_and(|speaker| lives(now, speaker.heard_at))
    }

    /// Whether a VM was ever heard as a delegate.
    pub fn was_delegate(&self, vm: VmId) -> bool {
        self.speakers.contains_key(&vm)
    }

    /// A delegate that was heard of late.
    pub fn living_delegate(&self, now: Duration, vm: VmId) -> Option<&DelegateStatus> {
        let speaker = self.speakers.get(&vm);
        speaker.filter(|speaker| lives(now, speaker.heard_at))
    }

    /// All delegates that were heard of late.
    pub fn living_delegates(&self, now: Duration) -> impl Iterator<Item = &DelegateStatus> {
        let speakers = self.speakers.values();
        speakers.filter(move |speaker| lives(now, speaker.heard_at))
    }

    /// All failure domains that were told of lately.
    pub fn living(&self, now: Duration) -> impl Iterator<Item = (DomainId, &DomainStatus)> {
        let rows = self.rows.iter().map(|(domain, told)| (*domain, told));
        rows.filter(move |(_, told)| lives(now, told.heard_at))
    }

    /// What was told lately of a failure domain.
    pub fn status(&self, now: Duration, domain: DomainId) -> Option<&DomainStatus> {
        let told = self.rows.get(&domain);
        told.filter(|told| lives(now, told.heard_at))
    }

    /// Whether a VM drains, by its delegate's word.
    pub fn is_draining(&self, now: Duration, vm: VmId) -> bool {
        let mut living = self.living(now);
        living.any(|(_, told)| told.leaving.contains(&vm))
    }

    /// Drops delegates that are long gone.
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
