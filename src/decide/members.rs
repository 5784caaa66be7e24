//! Which VMs are alive, from their heartbeats.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{ranked, ConfigVersion, DomainId, Incarnation, Name, OwnerId, Revision, VmId};

/// Time between two heartbeats to the same VM.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a heartbeat after which a VM is out of use: six heartbeats, so that at 5% datagram
/// loss a false removal needs six losses in a row.
pub const DEAD_AFTER: Duration = Duration::from_millis(2600);
/// Time without a heartbeat after which a VM that the platform doesn't list is forgotten.
pub const FORGET_AFTER: Duration = Duration::from_secs(600);

/// A VM's status as it reports it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmStatus {
    pub vm: VmId,
    pub name: Name,
    pub domain: DomainId,
    pub gossip_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub incarnation: Incarnation,
    pub leaving: bool,
    /// Its batch process, 0 when it is not up.
    pub batch: OwnerId,
    /// Configuration version in force there.
    pub config: ConfigVersion,
    /// Newest revision of the job records there.
    pub jobs: Revision,
}

/// Another VM.
#[derive(Debug, Clone)]
pub struct Member {
    pub status: VmStatus,
    /// Highest sequence number of this incarnation; late datagrams carry lower ones.
    pub sequence: u64,
    pub last_heartbeat_at: Option<Duration>,
    /// Whether the platform's list has it; only a hint.
    pub listed: bool,
}

impl Member {
    /// Whether a heartbeat arrived within [`DEAD_AFTER`].
    pub fn is_alive(&self, now: Duration) -> bool {
        self.last_heartbeat_at
            .is_some_and(|at| now < at + DEAD_AFTER)
    }

    /// Whether it accepts work.
    pub fn accepts_work(&self, now: Duration) -> bool {
        self.is_alive(now) && !self.status.leaving
    }
}

/// Result of applying a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    Applied,
    /// Late, duplicate, or from an incarnation that has ended.
    Stale,
    /// A later process has this VM's id: this one must stop.
    Superseded,
}

/// All known VMs but this one, of all failure domains.
#[derive(Debug, Default)]
pub struct Members {
    pub members: HashMap<VmId, Member>,
}

impl Members {
    /// Applies a heartbeat.
    pub fn apply_heartbeat(
        &mut self,
        now: Duration,
        local: &VmStatus,
        status: VmStatus,
        sequence: u64,
    ) -> HeartbeatOutcome {
        if status.vm == local.vm {
            let newer = status.incarnation > local.incarnation;
            return if newer {
                HeartbeatOutcome::Superseded
            } else {
                HeartbeatOutcome::Stale
            };
        }
        if let Some(row) = self.members.get_mut(&status.vm) {
            let known = (row.status.incarnation, row.sequence);
            if row.last_heartbeat_at.is_some() && (status.incarnation, sequence) <= known {
                return HeartbeatOutcome::Stale;
            }
            row.status = status;
            row.sequence = sequence;
            row.last_heartbeat_at = Some(now);
            return HeartbeatOutcome::Applied;
        }
        let row = Member {
            sequence,
            last_heartbeat_at: Some(now),
            listed: false,
            status,
        };
        self.members.insert(row.status.vm, row);
        HeartbeatOutcome::Applied
    }

    /// Applies the platform's list: adds VMs to send to, and removes none whose heartbeats arrive.
    pub fn apply_vm_list(&mut self, local: &VmStatus, vms: impl IntoIterator<Item = VmStatus>) {
        self.members.values_mut().for_each(|row| row.listed = false);
        for status in vms {
            if status.vm == local.vm {
                continue;
            }
            let new_member = || Member {
                status: status.clone(),
                sequence: 0,
                last_heartbeat_at: None,
                listed: true,
            };
            let row = self.members.entry(status.vm).or_insert_with(new_member);
            row.listed = true;
            if row.last_heartbeat_at.is_none() {
                row.status = status;
            }
        }
    }

    /// Drops VMs that are neither listed nor heard from within [`FORGET_AFTER`].
    pub fn tick(&mut self, now: Duration) {
        self.members.retain(|_, row| {
            row.listed
                || row
                    .last_heartbeat_at
                    .is_some_and(|at| now < at + FORGET_AFTER)
        });
    }

    /// VMs of a domain that accept work, in rendezvous order for `key`; this VM is included if it
    /// does.
    pub fn ranked_vms(
        &self,
        now: Duration,
        local: &VmStatus,
        domain: DomainId,
        key: u64,
    ) -> Vec<VmId> {
        let others = self
            .members
            .values()
            .filter(|row| row.status.domain == domain && row.accepts_work(now))
            .map(|row| row.status.vm);
        let local_vm = (local.domain == domain && !local.leaving).then_some(local.vm);
        ranked(key, others.chain(local_vm))
    }

    /// Like [`Members::ranked_vms`], for VMs of the local domain whose batch process is up.
    pub fn ranked_batch_vms(&self, now: Duration, local: &VmStatus, key: u64) -> Vec<VmId> {
        let others = self
            .members
            .values()
            .filter(|row| row.status.domain == local.domain)
            .filter(|row| row.accepts_work(now) && row.status.batch != 0)
            .map(|row| row.status.vm);
        let local_vm = (local.batch != 0 && !local.leaving).then_some(local.vm);
        ranked(key, others.chain(local_vm))
    }
}
