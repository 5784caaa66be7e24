//! Heartbeats that one VM sends to the others, and how it applies those that it receives.
//!
//! Heartbeats go to every VM of the local failure domain. Two delegates of each domain, chosen by
//! rendezvous hashing, also send to the other domains. Heartbeats carry versions; a VM with an
//! older version fetches the newer one from the sender.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::endpoints::{EndpointReport, Endpoints};
use super::members::{HeartbeatOutcome, Members, VmStatus, HEARTBEAT_INTERVAL};
use crate::id::{
    ranked, ConfigVersion, DomainId, EndpointId, Incarnation, OwnerId, Revision, VmId,
};

/// VMs of a domain that watch the platform and exchange heartbeats with other domains.
pub const DELEGATES_PER_DOMAIN: usize = 2;
/// VMs that poll one endpoint.
pub const POLLERS_PER_ENDPOINT: usize = 2;
/// Time between two polls of an endpoint by one VM.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two heartbeats to another domain.
pub const REMOTE_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);
/// Endpoint rows in one heartbeat; keeps the datagram within one packet.
pub const ROWS_MAX: usize = 24;
/// Unchanged rows that are sent again with each heartbeat, in rotation, so that a lost row is
/// repeated.
pub const REFRESH_ROWS_MAX: usize = 3;
/// Shortest time between two fetches of the same data, so that the first one can complete.
pub const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which another VM's reported use of an endpoint is dropped.
pub const USE_EXPIRES_AFTER: Duration = Duration::from_secs(5);

const KEY_DELEGATE: u64 = 0x64656c;

/// One VM's use of one endpoint, and the endpoint's last report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UseRow {
    pub endpoint: EndpointId,
    /// Online requests of the sender at the endpoint.
    pub online: u32,
    /// The endpoint's last report to a poller.
    pub report: Option<RelayedReport>,
}

/// An endpoint's report as relayed between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedReport {
    pub incarnation: Incarnation,
    pub running: u32,
    pub waiting: u32,
    pub leaving: bool,
}

/// The message between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub status: VmStatus,
    pub sequence: u64,
    /// Endpoints whose use or report changed, and a few unchanged ones.
    pub rows: Vec<UseRow>,
}

/// An action that the caller carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    Send {
        to: SocketAddr,
        heartbeat: Heartbeat,
    },
    /// Fetch the configuration from this VM.
    FetchConfig {
        from: SocketAddr,
        version: ConfigVersion,
    },
    /// Fetch job records after the local revision from this VM.
    FetchJobs { from: SocketAddr },
    /// Ask an endpoint for its report.
    Poll { endpoint: EndpointId },
    /// A later process has this VM's id: this one stops.
    Stop,
}

/// One VM's view of the fleet.
#[derive(Debug)]
pub struct Fleet {
    pub status: VmStatus,
    pub members: Members,
    sequence: u64,
    next_heartbeat: Duration,
    next_remote_heartbeat: Duration,
    polled_at: HashMap<EndpointId, Duration>,
    /// Highest version that was received, and its sender.
    newest_config: (SocketAddr, ConfigVersion),
    newest_jobs: (SocketAddr, Revision),
    fetched_config_at: Option<Duration>,
    fetched_jobs_at: Option<Duration>,
    /// Rows that changed since they were last sent.
    dirty: VecDeque<EndpointId>,
    refresh_index: usize,
    last_sent: HashMap<EndpointId, UseRow>,
    /// VMs of the local failure domain that accept work, as of the last tick.
    working_vms: Vec<VmId>,
    /// Those of them whose batch process is up.
    batch_vms: Vec<VmId>,
    /// Assigned VM of each endpoint of the local failure domain. Invariant: derived from
    /// `batch_vms`.
    assigned_vms: BTreeMap<EndpointId, VmId>,
    /// Endpoints that this VM polls. Invariant: derived from `working_vms`.
    polled_endpoints: Vec<EndpointId>,
    /// Number of endpoints and configuration version that `assigned_vms` and `polled_endpoints`
    /// were derived from.
    placement_inputs: (usize, ConfigVersion),
    /// Use by other VMs: requests as last reported, and the time of the report.
    remote_uses: HashMap<(VmId, EndpointId), (u32, Duration)>,
}

impl Fleet {
    /// A VM that has received nothing yet.
    pub fn new(status: VmStatus) -> Fleet {
        Fleet {
            members: Members::default(),
            sequence: 0,
            next_heartbeat: Duration::ZERO,
            next_remote_heartbeat: Duration::ZERO,
            polled_at: HashMap::new(),
            newest_config: (status.peer_address, 0),
            newest_jobs: (status.peer_address, 0),
            fetched_config_at: None,
            fetched_jobs_at: None,
            dirty: VecDeque::new(),
            refresh_index: 0,
            last_sent: HashMap::new(),
            working_vms: Vec::new(),
            batch_vms: Vec::new(),
            assigned_vms: BTreeMap::new(),
            polled_endpoints: Vec::new(),
            placement_inputs: (0, 0),
            remote_uses: HashMap::new(),
            status,
        }
    }

    /// Applies a heartbeat.
    pub fn apply_heartbeat(
        &mut self,
        now: Duration,
        heartbeat: Heartbeat,
        endpoints: &mut Endpoints,
        out: &mut Vec<Action>,
    ) {
        let (vm, domain) = (heartbeat.status.vm, heartbeat.status.domain);
        let (config, jobs) = (heartbeat.status.config, heartbeat.status.jobs);
        let from = heartbeat.status.peer_address;
        let outcome =
            self.members
                .apply_heartbeat(now, &self.status, heartbeat.status, heartbeat.sequence);
        match outcome {
            HeartbeatOutcome::Stale => return,
            HeartbeatOutcome::Superseded => {
                out.push(Action::Stop);
                return;
            }
            HeartbeatOutcome::Applied => {}
        }
        for row in heartbeat.rows {
            self.apply_row(now, vm, domain, row, endpoints);
        }
        if config >= self.newest_config.1 {
            self.newest_config = (from, config);
        }
        if jobs >= self.newest_jobs.1 {
            self.newest_jobs = (from, jobs);
        }
        self.fetch_newer(now, out);
    }

    /// Fetches newer versions that were announced and are missing here, and retries until they
    /// arrive.
    ///
    /// It also runs on each tick: without this, a second change that is announced while the first
    /// one's fetch is in flight would wait for the next heartbeat from a remote domain.
    fn fetch_newer(&mut self, now: Duration, out: &mut Vec<Action>) {
        let (from, version) = self.newest_config;
        if version > self.status.config && is_fetch_due(self.fetched_config_at, now) {
            self.fetched_config_at = Some(now);
            out.push(Action::FetchConfig { from, version });
        }
        let (from, revision) = self.newest_jobs;
        if revision > self.status.jobs && is_fetch_due(self.fetched_jobs_at, now) {
            self.fetched_jobs_at = Some(now);
            out.push(Action::FetchJobs { from });
        }
    }

    fn apply_row(
        &mut self,
        now: Duration,
        vm: VmId,
        domain: DomainId,
        row: UseRow,
        endpoints: &mut Endpoints,
    ) {
        let id = row.endpoint;
        self.remote_uses.insert((vm, id), (row.online, now));
        let Some(endpoint) = endpoints.get_mut(id) else {
            return;
        };
        let Some(report) = row.report else { return };
        let leaving_changed = endpoint.leaving.is_some() != report.leaving;
        let models = endpoint
            .report
            .as_ref()
            .map(|r| r.models.clone())
            .unwrap_or_default();
        endpoint.apply_report(
            now,
            EndpointReport {
                incarnation: report.incarnation,
                running: report.running,
                waiting: report.waiting,
                leaving: report.leaving,
                models,
            },
        );
        // Changes from a remote domain are forwarded to the local one; those of the local domain
        // came from it.
        if leaving_changed && domain != self.status.domain {
            self.mark_changed(id);
        }
    }

    /// Applies an endpoint's own report. Only a change of the state that other VMs use is sent on:
    /// sent with each poll, reports would be most of the bytes between VMs.
    pub fn apply_endpoint_report(
        &mut self,
        now: Duration,
        id: EndpointId,
        report: EndpointReport,
        endpoints: &mut Endpoints,
    ) {
        let Some(endpoint) = endpoints.get_mut(id) else {
            return;
        };
        let shared_state = |row: &super::endpoints::Endpoint| {
            (
                row.leaving,
                row.report.as_ref().map(|report| report.incarnation),
            )
        };
        let before = shared_state(endpoint);
        endpoint.apply_report(now, report);
        if shared_state(endpoint) != before {
            self.mark_changed(id);
        }
    }

    /// Includes a row in the next heartbeat.
    pub fn mark_changed(&mut self, id: EndpointId) {
        if !self.dirty.contains(&id) {
            self.dirty.push_back(id);
        }
    }

    /// Sends heartbeats, polls endpoints and drops expired state when each is due.
    pub fn tick(&mut self, now: Duration, endpoints: &mut Endpoints, out: &mut Vec<Action>) {
        self.members.tick(now);
        self.fetch_newer(now, out);
        self.update_placement(now, endpoints);
        self.sum_remote_uses(now, endpoints);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            let to_remote = now >= self.next_remote_heartbeat && self.is_delegate(now);
            if to_remote {
                self.next_remote_heartbeat = now + REMOTE_HEARTBEAT_INTERVAL;
            }
            self.send_heartbeats(now, endpoints, to_remote, out);
        }
        self.poll_endpoints(now, out);
    }

    /// Sends the next heartbeats immediately to all VMs, for example before leaving.
    pub fn send_now(&mut self) {
        self.next_heartbeat = Duration::ZERO;
        self.next_remote_heartbeat = Duration::ZERO;
    }

    fn sum_remote_uses(&mut self, now: Duration, endpoints: &mut Endpoints) {
        let members = &self.members;
        self.remote_uses.retain(|(vm, _), (_, at)| {
            now < *at + USE_EXPIRES_AFTER
                && members.members.get(vm).is_some_and(|row| row.is_alive(now))
        });
        for endpoint in &mut endpoints.rows {
            endpoint.online_elsewhere = 0;
            endpoint.remote_vms = 0;
        }
        for ((_, id), (online, _)) in &self.remote_uses {
            if let Some(endpoint) = endpoints.get_mut(*id) {
                endpoint.online_elsewhere += online;
                endpoint.remote_vms += u32::from(*online > 0);
            }
        }
    }

    fn send_heartbeats(
        &mut self,
        now: Duration,
        endpoints: &Endpoints,
        to_remote: bool,
        out: &mut Vec<Action>,
    ) {
        let rows = self.rows_to_send(endpoints);
        self.sequence += 1;
        let heartbeat = Heartbeat {
            status: self.status.clone(),
            sequence: self.sequence,
            rows,
        };
        for row in self.members.members.values() {
            let is_local = row.status.domain == self.status.domain;
            if is_local
                || (to_remote && self.is_remote_target(now, row.status.vm, row.status.domain))
            {
                let to = row.status.gossip_address;
                out.push(Action::Send {
                    to,
                    heartbeat: heartbeat.clone(),
                });
            }
        }
    }

    /// Whether a VM is one of the two targets in a remote domain: living VMs first, else any known
    /// one.
    fn is_remote_target(&self, now: Duration, vm: VmId, domain: DomainId) -> bool {
        let of_domain = || {
            self.members
                .members
                .values()
                .filter(|r| r.status.domain == domain)
        };
        let alive = of_domain().filter(|r| r.is_alive(now)).map(|r| r.status.vm);
        let mut targets = ranked(KEY_DELEGATE, alive);
        targets.truncate(DELEGATES_PER_DOMAIN);
        if targets.len() < DELEGATES_PER_DOMAIN {
            // Which of the silent VMs is alive is not known: try them in rotation.
            let mut silent: Vec<VmId> = of_domain()
                .filter(|r| !r.is_alive(now))
                .map(|r| r.status.vm)
                .collect();
            silent.sort_unstable();
            if !silent.is_empty() {
                targets.push(silent[self.sequence as usize % silent.len()]);
            }
        }
        targets.contains(&vm)
    }

    fn rows_to_send(&mut self, endpoints: &Endpoints) -> Vec<UseRow> {
        for endpoint in &endpoints.rows {
            let last_sent = self.last_sent.get(&endpoint.id);
            let changed = last_sent.map_or(endpoint.online_here > 0, |row| {
                row.online != endpoint.online_here
                    || row.report.as_ref().map(|r| r.leaving)
                        != endpoint.report.as_ref().map(|r| r.leaving)
            });
            if changed && !self.dirty.contains(&endpoint.id) {
                self.dirty.push_back(endpoint.id);
            }
        }
        let mut rows = Vec::new();
        while rows.len() < ROWS_MAX - REFRESH_ROWS_MAX {
            let Some(id) = self.dirty.pop_front() else {
                break;
            };
            rows.extend(endpoints.get(id).map(|endpoint| self.row(endpoint)));
        }
        for _ in 0..REFRESH_ROWS_MAX.min(endpoints.rows.len()) {
            self.refresh_index = (self.refresh_index + 1) % endpoints.rows.len();
            let endpoint = &endpoints.rows[self.refresh_index];
            if endpoint.report.is_some() && rows.iter().all(|row| row.endpoint != endpoint.id) {
                rows.push(self.row(endpoint));
            }
        }
        for row in &rows {
            self.last_sent.insert(row.endpoint, row.clone());
        }
        rows
    }

    fn row(&self, endpoint: &super::endpoints::Endpoint) -> UseRow {
        let report = endpoint.report.as_ref().map(|report| RelayedReport {
            incarnation: report.incarnation,
            running: report.running,
            waiting: report.waiting,
            leaving: endpoint.leaving.is_some(),
        });
        UseRow {
            endpoint: endpoint.id,
            online: endpoint.online_here,
            report,
        }
    }

    /// Assigns endpoints to VMs again when VMs, endpoints or configuration have changed.
    fn update_placement(&mut self, now: Duration, endpoints: &Endpoints) {
        let (domain, local) = (self.status.domain, &self.status);
        let mut working_vms = self.members.ranked_vms(now, local, domain, 0);
        working_vms.sort_unstable();
        let mut batch_vms = self.members.ranked_batch_vms(now, local, 0);
        batch_vms.sort_unstable();
        let inputs = (endpoints.rows.len(), local.config);
        if (&working_vms, &batch_vms, inputs)
            == (&self.working_vms, &self.batch_vms, self.placement_inputs)
        {
            return;
        }
        (self.working_vms, self.batch_vms, self.placement_inputs) =
            (working_vms, batch_vms, inputs);
        self.assigned_vms.clear();
        self.polled_endpoints.clear();
        for row in endpoints
            .rows
            .iter()
            .filter(|row| row.config.domain == domain)
        {
            if let Some(vm) = ranked(row.id, self.batch_vms.iter().copied()).first() {
                self.assigned_vms.insert(row.id, *vm);
            }
            let pollers = ranked(row.id, self.working_vms.iter().copied());
            if pollers
                .iter()
                .take(POLLERS_PER_ENDPOINT)
                .any(|vm| *vm == self.status.vm)
            {
                self.polled_endpoints.push(row.id);
            }
        }
    }

    fn poll_endpoints(&mut self, now: Duration, out: &mut Vec<Action>) {
        for endpoint in &self.polled_endpoints {
            let last = self.polled_at.get(endpoint);
            if last.is_none_or(|at| now >= *at + POLL_INTERVAL) {
                self.polled_at.insert(*endpoint, now);
                out.push(Action::Poll {
                    endpoint: *endpoint,
                });
            }
        }
    }

    /// Whether this VM is the first delegate, the one that tries to acquire the lease of orders.
    pub fn is_first_delegate(&self, now: Duration) -> bool {
        self.delegate_rank(now) == Some(0)
    }

    /// Whether this VM watches the platform and exchanges heartbeats with other domains.
    pub fn is_delegate(&self, now: Duration) -> bool {
        self.delegate_rank(now)
            .is_some_and(|rank| rank < DELEGATES_PER_DOMAIN)
    }

    fn delegate_rank(&self, now: Duration) -> Option<usize> {
        let ranked = self
            .members
            .ranked_vms(now, &self.status, self.status.domain, KEY_DELEGATE);
        ranked.iter().position(|vm| *vm == self.status.vm)
    }

    /// The VM whose batch process may use an endpoint of the local domain.
    pub fn assigned_vm(&self, endpoint: EndpointId) -> Option<VmId> {
        self.assigned_vms.get(&endpoint).copied()
    }

    /// Batch processes of the local domain that are up.
    pub fn batch_owners(&self) -> Vec<OwnerId> {
        let owner = |vm: &VmId| match *vm == self.status.vm {
            true => Some(self.status.batch),
            false => self.members.members.get(vm).map(|row| row.status.batch),
        };
        self.batch_vms.iter().filter_map(owner).collect()
    }

    /// VMs of the local domain whose batch process is up.
    pub fn batch_vms(&self) -> &[VmId] {
        &self.batch_vms
    }
}

fn is_fetch_due(last: Option<Duration>, now: Duration) -> bool {
    last.is_none_or(|at| now >= at + FETCH_RETRY_INTERVAL)
}
