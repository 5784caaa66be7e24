//! State of failure domains from their delegates' summaries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::messages::Summary;
use super::{FORGET_AFTER, PEER_TIMEOUT};
use crate::decide::backlog::RouteKey;
use crate::id::{ConfigVersion, DomainId, OwnerId, Revision, VmId};

/// A delegate's state as last reported.
#[derive(Debug, Clone)]
pub struct DelegateStatus {
    owner: OwnerId,
    /// Sequence number and part of the newest summary.
    newest: (u64, u8),
    received_at: Duration,
    pub domain: DomainId,
    pub peer_address: SocketAddr,
    pub draining: bool,
    pub store_available: bool,
    /// Since when each of its summaries has reported an available store.
    pub store_available_since: Option<Duration>,
    pub rules: ConfigVersion,
    pub endpoints: Revision,
}

/// A failure domain's state as last reported by one of its delegates.
#[derive(Debug, Clone)]
pub struct DomainStatus {
    received_at: Duration,
    pub jobs: Revision,
    pub waiting: u32,
    pub backlog: Vec<(RouteKey, u64)>,
    pub unregistered: Vec<OwnerId>,
    draining_vms: Vec<VmId>,
    pub competing_vms: Vec<(VmId, u32)>,
}

/// All failure domains that sent summaries.
#[derive(Debug, Default)]
pub struct Domains {
    delegates: HashMap<VmId, DelegateStatus>,
    domains: HashMap<DomainId, DomainStatus>,
}

impl Domains {
    /// Whether any delegate has been heard recently.
    pub fn is_any_current(&self, now: Duration) -> bool {
        let mut delegates = self.delegates.values();
        delegates.any(|delegate| is_current(now, delegate.received_at))
    }

    /// Applies a summary; false when it is late or a duplicate.
    pub fn apply_summary(&mut self, now: Duration, summary: &Summary) -> bool {
        let newest = (summary.sequence, summary.part);
        let known = self.delegates.get(&summary.delegate);
        let same = known.filter(|delegate| delegate.owner == summary.owner);
        if same.is_some_and(|delegate| newest <= delegate.newest) {
            return false;
        }
        let since = same.filter(|delegate| is_current(now, delegate.received_at));
        let since = since
            .and_then(|delegate| delegate.store_available_since)
            .unwrap_or(now);
        let delegate = DelegateStatus {
            owner: summary.owner,
            newest,
            received_at: now,
            domain: summary.domain,
            peer_address: summary.peer_address,
            draining: summary.draining,
            store_available: summary.store_available,
            store_available_since: summary.store_available.then_some(since),
            rules: summary.rules,
            endpoints: summary.endpoints,
        };
        self.delegates.insert(summary.delegate, delegate);
        // The first part carries everything but endpoint rows, which `Usage` counts.
        if summary.part == 0 {
            self.domains
                .insert(summary.domain, DomainStatus::new(now, summary));
        }
        true
    }

    /// Whether a summary of this delegate arrived within the peer timeout.
    pub fn is_delegate_alive(&self, now: Duration, vm: VmId) -> bool {
        let delegate = self.delegates.get(&vm);
        delegate.is_some_and(|delegate| is_current(now, delegate.received_at))
    }

    /// Whether a summary of this VM as a delegate is on record.
    pub fn was_delegate(&self, vm: VmId) -> bool {
        self.delegates.contains_key(&vm)
    }

    /// A delegate that is alive.
    pub fn living_delegate(&self, now: Duration, vm: VmId) -> Option<&DelegateStatus> {
        let delegate = self.delegates.get(&vm);
        delegate.filter(|delegate| is_current(now, delegate.received_at))
    }

    /// All delegates that are alive.
    pub fn living_delegates(&self, now: Duration) -> impl Iterator<Item = &DelegateStatus> {
        let delegates = self.delegates.values();
        delegates.filter(move |delegate| is_current(now, delegate.received_at))
    }

    /// All failure domains with a current summary.
    pub fn living(&self, now: Duration) -> impl Iterator<Item = (DomainId, &DomainStatus)> {
        let rows = self
            .domains
            .iter()
            .map(|(domain, status)| (*domain, status));
        rows.filter(move |(_, status)| is_current(now, status.received_at))
    }

    /// The current state of a failure domain.
    pub fn status(&self, now: Duration, domain: DomainId) -> Option<&DomainStatus> {
        let status = self.domains.get(&domain);
        status.filter(|status| is_current(now, status.received_at))
    }

    /// Whether a VM is draining, as its delegate reports.
    pub fn is_draining(&self, now: Duration, vm: VmId) -> bool {
        let mut living = self.living(now);
        living.any(|(_, status)| status.draining_vms.contains(&vm))
    }

    /// Drops delegates that have long been silent.
    pub fn tick(&mut self, now: Duration) {
        let keep = |delegate: &DelegateStatus| now < delegate.received_at + FORGET_AFTER;
        self.delegates.retain(|_, delegate| keep(delegate));
    }
}

impl DomainStatus {
    fn new(now: Duration, summary: &Summary) -> DomainStatus {
        DomainStatus {
            received_at: now,
            jobs: summary.jobs,
            waiting: summary.waiting,
            backlog: summary.backlog.clone(),
            unregistered: summary.unregistered.clone(),
            draining_vms: summary.draining_vms.clone(),
            competing_vms: summary.competing_vms.clone(),
        }
    }
}

fn is_current(now: Duration, received_at: Duration) -> bool {
    now < received_at + PEER_TIMEOUT
}
