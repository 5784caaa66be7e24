//! Updates for the batch process of the same VM: configuration, jobs, batch peers, windows.

use std::collections::BTreeMap;
use std::sync::mpsc::Sender;
use std::time::Duration;

use super::node::{Node, NodeState};
use crate::clock;
use crate::decide::batch::place::{BatchPeers, ServiceWorkers};
use crate::decide::jobs::JobState;
use crate::decide::window::{self, EndpointLoad};
use crate::id::ServiceId;
use crate::util::lock;
use crate::wire::ToBatch;

/// A job that is due within this time may use more slots of endpoints that serve online requests.
const URGENT_WITHIN: Duration = Duration::from_secs(60);

impl Node {
    /// Sends the number of batch items that each assigned endpoint may run, if any has changed.
    pub fn push_windows(&self, now: Duration, state: &mut NodeState) {
        let Some(config) = state.config.clone() else {
            return;
        };
        let now_ms = clock::unix_ms();
        let urgent_ms = now_ms + URGENT_WITHIN.as_millis() as u64;
        let urgent = state.jobs.rows.values().any(|(_, record)| {
            record.state == JobState::InProgress && record.deadline_ms < urgent_ms
        });
        let mut windows = Vec::new();
        for row in &state.online.endpoints.rows {
            if row.config.domain != state.fleet.status.domain || !row.usable(now) {
                continue;
            }
            if state.fleet.assigned_vm(row.id) != Some(state.fleet.status.vm) {
                continue;
            }
            let load = EndpointLoad {
                slots: row.slots(now),
                online: row.online(),
                online_at: state.online_at.get(&row.id).copied(),
                urgent,
            };
            let count = window::batch_window(load, config.batch_weight(row.config.service), now);
            windows.push((row.id, row.config.service, count));
        }
        let mut link = lock(&self.batch_link);
        if link.windows != windows {
            link.windows = windows.clone();
            link.send(ToBatch::Windows(windows));
        }
    }

    /// Sends which VMs and owners share the batch work, if that has changed.
    pub fn push_batch_peers(&self, state: &NodeState) {
        let status = &state.fleet.status;
        let mut workers: BTreeMap<ServiceId, ServiceWorkers> = BTreeMap::new();
        for row in &state.online.endpoints.rows {
            let service = row.config.service;
            let of_service = workers.entry(service).or_default();
            of_service.service = service;
            of_service.domains.push(row.config.domain);
            of_service.vms.extend(state.fleet.assigned_vm(row.id));
        }
        for of_service in workers.values_mut() {
            for ids in [&mut of_service.domains, &mut of_service.vms] {
                ids.sort_unstable();
                ids.dedup();
            }
        }
        let peers = BatchPeers {
            local_vm: status.vm,
            local_domain: status.domain,
            vms: state.fleet.batch_vms().to_vec(),
            owners: state.fleet.batch_owners(),
            workers: workers.into_values().collect(),
        };
        let mut link = lock(&self.batch_link);
        if link.peers != peers {
            link.peers = peers.clone();
            link.send(ToBatch::Peers(peers));
        }
    }

    /// Sends all job records that have not ended.
    pub fn push_jobs(&self, state: &NodeState) {
        lock(&self.batch_link).send(ToBatch::Jobs(state.jobs.active()));
    }

    /// Attaches a new connection of the batch process and sends the complete state.
    pub fn attach_batch(&self, sender: Sender<ToBatch>) {
        let state = lock(&self.state);
        let mut link = lock(&self.batch_link);
        link.to_batch = Some(sender);
        if let Some(config) = &state.config {
            link.send(ToBatch::Config(Box::new((*config.versioned).clone())));
        }
        link.send(ToBatch::Jobs(state.jobs.active()));
        let (peers, windows) = (link.peers.clone(), link.windows.clone());
        link.send(ToBatch::Peers(peers));
        link.send(ToBatch::Windows(windows));
    }
}
