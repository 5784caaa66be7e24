//! What VMs tell each other of a request.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::evidence::End;
use super::row::Row;
use super::Fingerprint;
use crate::decide::peers::Peers;
use crate::id::{DomainId, EndpointId, VmId};

/// Requests in one datagram of 1,400 bytes: each takes up to 440.
pub const REPORTS_PER_DATAGRAM_MAX: usize = 3;

/// VMs of which one is heard for certain, whatever datagrams are lost.
const SPEAKERS: f64 = 32.0;

/// Whom a VM tells of a request, and whether that is all.
///
/// All that is seen goes to the collectors, which add it up and tell all what concerns all: most requests that were under way at an end
/// are never heard of again, and what everybody asks is cleared by everybody at once.
pub fn report_targets(
    peers: &Peers,
    now: Duration,
    own: (VmId, DomainId),
    fingerprint: Fingerprint,
    concerns_all: bool,
) -> (Vec<SocketAddr>, bool) {
    let collectors = peers.aggregators(now, own, fingerprint.key());
    let collects = collectors.contains(&own.0);
    match collects && concerns_all {
        true => (all_targets(peers, own), true),
        false => (peers.addresses(&collectors), false),
    }
}

/// Part of the VMs that tell of an answer when all of them give it at once.
pub fn answer_report_share(vms: u32) -> f64 {
    (SPEAKERS / f64::from(vms.max(1))).min(1.0)
}

/// All others in a mesh, the delegates of its failure domain in a large fleet; for a delegate the VMs of its failure domain and
/// the delegates of the others.
pub fn all_targets(peers: &Peers, (own, home): (VmId, DomainId)) -> Vec<SocketAddr> {
    if peers.is_delegate(own) {
        let members = peers.domain_peers(home).into_iter().map(|(_, to)| to);
        return members.chain(peers.remote_delegate_addresses()).collect();
    }
    let mut others = peers.heartbeat_targets(home, true);
    others.extend(peers.heartbeat_targets(home, false));
    others
}

/// What is known of one request. Times are ages, since clocks differ.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuarantineReport {
    pub fingerprint: Fingerprint,
    pub label: String,
    ends: Vec<(EndpointId, AgeMs)>,
    /// When something last spoke for it.
    cleared: Option<AgeMs>,
    /// Since when it is held back; `None` while it is not.
    held: Option<AgeMs>,
    pub trials: u8,
    /// All VMs are told; else whoever hears it adds it up.
    pub to_all: bool,
}

/// Milliseconds before the present time of whoever tells.
type AgeMs = u32;

impl QuarantineReport {
    pub(super) fn new(
        now: Duration,
        fingerprint: Fingerprint,
        row: &Row,
        to_all: bool,
    ) -> QuarantineReport {
        let age = |at| now.saturating_sub(at).as_millis() as AgeMs;
        let ends = row.ends.iter().map(|end| (end.endpoint, age(end.at)));
        QuarantineReport {
            fingerprint,
            label: row.label.to_string(),
            ends: ends.collect(),
            cleared: row.cleared_at.map(age),
            held: row.held_since.map(age),
            trials: row.trials.min(usize::from(u8::MAX)) as u8,
            to_all,
        }
    }

    /// The same after it has lain somewhere for a time.
    pub fn aged(mut self, by: Duration) -> QuarantineReport {
        let by = by.as_millis().min(u128::from(AgeMs::MAX)) as AgeMs;
        let ages = self.ends.iter_mut().map(|(_, age)| age);
        let ages = ages.chain(&mut self.cleared).chain(&mut self.held);
        ages.for_each(|age| *age = age.saturating_add(by));
        self
    }

    pub(super) fn ends(&self, now: Duration) -> impl Iterator<Item = End> + '_ {
        let end = move |(endpoint, age): &(EndpointId, AgeMs)| End {
            endpoint: *endpoint,
            at: before(now, *age),
        };
        self.ends.iter().map(end)
    }

    pub(super) fn cleared_at(&self, now: Duration) -> Option<Duration> {
        self.cleared.map(|age| before(now, age))
    }

    pub(super) fn held_since(&self, now: Duration) -> Option<Duration> {
        self.held.map(|age| before(now, age))
    }
}

fn before(now: Duration, age: AgeMs) -> Duration {
    now.saturating_sub(Duration::from_millis(u64::from(age)))
}
