//! Reports on requests that VMs send each other.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::evidence::EndpointEnd;
use super::suspect::Suspect;
use super::Fingerprint;
use crate::decide::peers::Peers;
use crate::id::{DomainId, EndpointId, VmId};

/// Reports in one datagram of 1,400 bytes: each takes up to 440.
pub const REPORTS_PER_DATAGRAM_MAX: usize = 3;

/// Expected number of VMs that report an answer which all VMs give at once: enough for one report
/// to arrive despite lost datagrams.
const ANSWER_REPORTERS: f64 = 32.0;

/// Addresses to which a VM reports a request, and whether these are all VMs.
///
/// Evidence goes to the aggregators, which add it up and report to all VMs what is relevant
/// fleet-wide: most requests that were running when an endpoint ended need no further report, and a
/// common request is cleared by all VMs at once.
pub fn report_targets(
    peers: &Peers,
    now: Duration,
    local: (VmId, DomainId),
    fingerprint: Fingerprint,
    is_fleet_wide: bool,
) -> (Vec<SocketAddr>, bool) {
    let aggregators = peers.aggregators(now, local, fingerprint.rendezvous_key());
    let is_aggregator = aggregators.contains(&local.0);
    match is_aggregator && is_fleet_wide {
        true => (all_targets(peers, local), true),
        false => (peers.addresses(&aggregators), false),
    }
}

/// Probability with which a VM reports an answer, given that all of `vms` may give it at once.
pub fn answer_report_share(vms: u32) -> f64 {
    (ANSWER_REPORTERS / f64::from(vms.max(1))).min(1.0)
}

/// All other VMs in a full mesh; in a large fleet the delegates of the local failure domain, or for
/// a delegate the VMs of its failure domain and the delegates of the other ones.
pub fn all_targets(peers: &Peers, (vm, domain): (VmId, DomainId)) -> Vec<SocketAddr> {
    if peers.is_delegate(vm) {
        let members = peers.domain_peers(domain).into_iter().map(|(_, to)| to);
        return members.chain(peers.remote_delegate_addresses()).collect();
    }
    let mut others = peers.heartbeat_targets(domain, true);
    others.extend(peers.heartbeat_targets(domain, false));
    others
}

/// State of one request. Times are sent as ages, since clocks differ.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuarantineReport {
    pub fingerprint: Fingerprint,
    pub label: String,
    ends: Vec<(EndpointId, AgeMs)>,
    /// When it was last cleared.
    cleared: Option<AgeMs>,
    /// For how long it has been quarantined; `None` if it is not.
    held: Option<AgeMs>,
    pub trials: u8,
    /// All VMs receive this report; otherwise the receiver is an aggregator.
    pub to_all: bool,
}

/// Milliseconds before the sender's present time.
type AgeMs = u32;

impl QuarantineReport {
    pub(super) fn new(
        now: Duration,
        fingerprint: Fingerprint,
        suspect: &Suspect,
        to_all: bool,
    ) -> QuarantineReport {
        let age = |at| now.saturating_sub(at).as_millis() as AgeMs;
        let ends = suspect.ends.iter().map(|end| (end.endpoint, age(end.at)));
        QuarantineReport {
            fingerprint,
            label: suspect.label.to_string(),
            ends: ends.collect(),
            cleared: suspect.cleared_at.map(age),
            held: suspect.held_since.map(age),
            trials: suspect.trials.min(usize::from(u8::MAX)) as u8,
            to_all,
        }
    }

    /// The same report after it has been stored or delayed for some time.
    pub fn aged(mut self, by: Duration) -> QuarantineReport {
        let by = by.as_millis().min(u128::from(AgeMs::MAX)) as AgeMs;
        let ages = self.ends.iter_mut().map(|(_, age)| age);
        let ages = ages.chain(&mut self.cleared).chain(&mut self.held);
        ages.for_each(|age| *age = age.saturating_add(by));
        self
    }

    pub(super) fn ends(&self, now: Duration) -> impl Iterator<Item = EndpointEnd> + '_ {
        let to_end = move |(endpoint, age): &(EndpointId, AgeMs)| EndpointEnd {
            endpoint: *endpoint,
            at: moment_at_age(now, *age),
        };
        self.ends.iter().map(to_end)
    }

    pub(super) fn cleared_at(&self, now: Duration) -> Option<Duration> {
        self.cleared.map(|age| moment_at_age(now, age))
    }

    pub(super) fn held_since(&self, now: Duration) -> Option<Duration> {
        self.held.map(|age| moment_at_age(now, age))
    }
}

fn moment_at_age(now: Duration, age: AgeMs) -> Duration {
    now.saturating_sub(Duration::from_millis(u64::from(age)))
}
