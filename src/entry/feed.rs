//! Updates for the batch process of the same VM: configuration, jobs, batch peers, windows.

use std::collections::BTreeMap;
use std::sync::mpsc::Sender;
use std::time::Duration;

use super::node::{Core, Node};
use crate::clock;
use crate::decide::batch::place::{BatchPeers, ServiceWorkers};
use crate::decide::jobs::JobState;
use crate::decide::window::{self, EndpointLoad};
use crate::id::ServiceId;
use crate::util::lock;
use crate::wire::ToBatch;

/// A job that is due within this time may use more slots of endpoints that serve online requests.
const URGENT: Duration = Duration::from_secs(60);

impl Node {
    /// Sends the number of batch items that each assigned endpoint may run, if any has changed.
    pub fn push_windows(&self, now: Duration, core: &mut Core) {
        let Some(plan) = core.plan.clone() else {
            return;
        };
        let now_ms = clock::unix_ms();
        let urgent_ms = now_ms + URGENT.as_millis() as u64;
        let urgent = core.jobs.rows.values().any(|(_, record)| {
            record.state == JobState::InProgress && record.deadline_ms < urgent_ms
        });
        let mut windows = Vec::new();
        for row in &core.online.endpoints.rows {
            if row.declared.domain != core.fleet.card.domain || !row.usable(now) {
                continue;
            }
            if core.fleet.assigned_vm(row.id) != Some(core.fleet.card.vm) {
                continue;
            }
            let seen = EndpointLoad {
                slots: row.slots(now),
                online: row.online(),
                online_at: core.online_at.get(&row.id).copied(),
                urgent,
            };
            let count = window::batch_window(seen, plan.knob(row.declared.service), now);
            windows.push((row.id, row.declared.service, count));
        }
        let mut links = lock(&self.links);
        if links.windows != windows {
            links.windows = windows.clone();
            links.send(ToBatch::Windows(windows));
        }
    }

    /// Sends which VMs and owners share the batch work, if that has changed.
    pub fn push_crew(&self, core: &Core) {
        let card = &core.fleet.card;
        let mut hands: BTreeMap<ServiceId, ServiceWorkers> = BTreeMap::new();
        for row in &core.online.endpoints.rows {
            let service = row.declared.service;
            let of_service = hands.entry(service).or_default();
            of_service.service = service;
            of_service.domains.push(row.declared.domain);
            of_service.vms.extend(core.fleet.assigned_vm(row.id));
        }
        for of_service in hands.values_mut() {
            for ids in [&mut of_service.domains, &mut of_service.vms] {
                ids.sort_unstable();
                ids.dedup();
            }
        }
        let crew = BatchPeers {
            own: card.vm,
            own_domain: card.domain,
            vms: core.fleet.batch_vms().to_vec(),
            owners: core.fleet.batch_owners(),
            hands: hands.into_values().collect(),
        };
        let mut links = lock(&self.links);
        if links.crew != crew {
            links.crew = crew.clone();
            links.send(ToBatch::Crew(crew));
        }
    }

    /// Sends all job records that have not ended.
    pub fn push_jobs(&self, core: &Core) {
        lock(&self.links).send(ToBatch::Jobs(core.jobs.active()));
    }

    /// Attaches a new connection of the batch process and sends the complete state.
    pub fn attach(&self, sender: Sender<ToBatch>) {
        let core = lock(&self.core);
        let mut links = lock(&self.links);
        links.to_batch = Some(sender);
        if let Some(plan) = &core.plan {
            links.send(ToBatch::Config(Box::new((*plan.versioned).clone())));
        }
        links.send(ToBatch::Jobs(core.jobs.active()));
        let (crew, windows) = (links.crew.clone(), links.windows.clone());
        links.send(ToBatch::Crew(crew));
        links.send(ToBatch::Windows(windows));
    }
}
