//! The state of one serving process and its entry points.
//!
//! Everything runs on one thread. The deciding state is in [`Core`], which is borrowed for the
//! length of one call and never across an await point.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use rustix::process::{getrlimit, Resource};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, Mutex, Notify};

use super::admission;
use super::answer_memory::AnswerMemory;
use super::bodies::Bodies;
use super::connections::Connections;
use super::counters::{Counters, OpenRequests};
use super::dialect::Dialect;
use super::endpoint_news::endpoints_in_use;
use super::evidence;
use super::exchange::Target;
use super::job_table::Jobs;
use super::live_watch::Live;
use super::pool::Pool;
use super::processes::ProcessReads;
use super::quarantine;
use super::queued_room::QueuedRoom;
use super::relay::with_relay;
use super::runs::Runs;
use super::streams::records::SoftwareRecords;
use crate::clock;
use crate::decide::access::Workspace;
use crate::decide::admission::Admission;
use crate::decide::backlog::Backlog;
use crate::decide::discovery::{unknown_software, Discovery, EndpointProcess, CUT_OFF_AFTER};
use crate::decide::freshness::{ConfirmationAges, Freshness, StoreSubject, VersionsMatch};
use crate::decide::items::Items;
use crate::decide::load_reports::LoadReports;
use crate::decide::memory::{Budget, Grant};
use crate::decide::online::{Action, Event, Online, ServiceConfig, SHARE_DEFAULT};
use crate::decide::peers::{KnownVersions, LocalVm, Peers};
use crate::decide::quarantine::Quarantine;
use crate::decide::quota::{self, QuotaMeasure, Quotas};
use crate::decide::recorded_versions::RecordedVersions;
use crate::decide::routes::{RouteKind, RouteTable, Rules};
use crate::decide::small_jobs::SmallJobRecord;
use crate::decide::software_history::SoftwareHistory;
use crate::decide::stream_origins::StreamOrigins;
use crate::decide::usage::Usage;
use crate::decide::waiting_items::WaitingReports;
use crate::id::{
    self, ConfigVersion, DomainId, EndpointId, Name, OwnerId, RequestId, Revision, ServiceId, VmId,
    WorkspaceId,
};
use crate::settings;
use crate::store::{FinishedCall, Store};
use crate::util;
use crate::wire::Key;

/// Requests that may queue at one VM for each service. Working off such a queue takes far longer
/// than the first-token goal of any route; admission by expected wait refuses much earlier.
const QUEUED_REQUESTS_MAX: usize = 256;
/// Requests in flight from one VM for each service; bounds the VM's memory, not the load of the
/// endpoints.
const IN_FLIGHT_REQUESTS_MAX: usize = 2000;
/// The workspace of callers without a key.
pub const ANONYMOUS_WORKSPACE: WorkspaceId = 0;

/// Lifecycle stage of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    Serving,
    /// Stopping, but still accepts requests until callers are sent to other VMs.
    Draining,
}

/// The deciding state of a process.
pub struct Core {
    pub online: Online,
    pub items: Items,
    pub usage: Usage,
    /// Load and evidence of the other VMs.
    pub load_reports: LoadReports,
    /// Batch items that wait at the other VMs, by service.
    pub waiting_reports: WaitingReports,
    /// This VM's parts of services that are short of slots.
    pub admission: Admission,
    /// Batch jobs admitted below the limits of their routes.
    pub backlog: Backlog,
    pub discovery: Discovery,
    pub routes: Option<Rc<RouteTable>>,
    pub jobs: Jobs,
    pub live: Live,
    pub peers: Peers,
    /// When the store last confirmed each subject that is followed there.
    pub freshness: Freshness,
    /// Requests that end their endpoints.
    pub quarantine: Quarantine,
    /// The same for the items of the jobs that run here.
    pub item_quarantine: Quarantine,
    /// Request counts of the workspaces, checked against their quotas.
    pub quotas: Quotas,
    /// Which software began each stream.
    pub streams: StreamOrigins,
    /// Software versions that are on record in the store.
    pub recorded: RecordedVersions,
    /// Software versions that the services have and had.
    pub software: SoftwareHistory,
    pub stage: Stage,
    callers: HashMap<RequestId, mpsc::UnboundedSender<Action>>,
    next_request: RequestId,
}

impl Core {
    /// Version of the configuration in force; 0 while there is none.
    pub fn rules_version(&self) -> ConfigVersion {
        self.routes.as_ref().map_or(0, |table| table.rules.version)
    }

    /// Versions of the data that VMs fetch from each other.
    pub fn versions(&self) -> KnownVersions {
        KnownVersions {
            rules: self.rules_version(),
            endpoints: self.discovery.revision,
        }
    }

    /// Applies the confirmation ages that another VM reports; `theirs` are the versions it has.
    pub fn apply_confirmation_ages(
        &mut self,
        now: Duration,
        ages: ConfirmationAges,
        theirs: KnownVersions,
    ) {
        let local = self.versions();
        let matches = VersionsMatch {
            rules: local.rules >= theirs.rules,
            endpoints: local.endpoints >= theirs.endpoints,
        };
        self.freshness.confirm_by_peer(now, ages, matches);
    }

    /// Stores a job's record, and counts the tokens that it newly shows as finished.
    pub fn apply_job(
        &mut self,
        now: Duration,
        confirmed_at: Option<Duration>,
        record: SmallJobRecord,
        revision: Revision,
    ) {
        let finished = self.jobs.apply_record(now, confirmed_at, record, revision);
        if let Some((route, tokens)) = finished.filter(|(_, tokens)| *tokens > 0) {
            self.backlog.tokens_finished(now, route, tokens);
        }
    }
}

/// One serving process.
pub struct Node {
    pub settings: settings::Serve,
    pub dialect: Dialect,
    /// The metadata store, reached through another VM when this one gets no answer.
    pub store: Store,
    /// The metadata store, reached directly only.
    pub direct_store: Store,
    pub started_at: Duration,
    /// Whether the last direct call on the store was answered.
    pub store_answers: Cell<bool>,
    /// When the last answered renewal of the registration was sent.
    pub renewed_at: Cell<Option<Duration>>,
    pub pool: Pool,
    pub counters: Counters,
    pub core: RefCell<Core>,
    pub runs: Runs,
    pub vm: VmId,
    pub domain: DomainId,
    /// Random id of this process, new at each start.
    pub owner: OwnerId,
    /// Authenticates messages to other VMs.
    pub key: Key,
    /// Socket for datagrams to other VMs; `None` until the process has opened it.
    pub gossip_socket: RefCell<Option<Rc<UdpSocket>>>,
    /// What the memory and descriptors of the VM are spent on.
    pub budget: Budget,
    /// Connections of callers.
    pub connections: Connections,
    /// Bodies of callers' requests.
    pub bodies: Bodies,
    /// Room for submissions while they are stored.
    pub submission_memory: QueuedRoom,
    /// Room for the items of jobs that run here.
    pub job_memory: QueuedRoom,
    /// Room for replies with results of jobs or bodies of items.
    pub reply_memory: QueuedRoom,
    /// Room for answers of endpoints.
    pub answer_memory: AnswerMemory,
    /// Software versions on record in the store, as last read.
    pub software_records: SoftwareRecords,
    /// Held while a software version is recorded, so that streams which begin together write once.
    pub software_recording: Mutex<()>,
    /// Reads of endpoints' entries that confirm which process accepted a connection.
    pub process_reads: ProcessReads,
    /// Requests of callers and of other VMs that are open.
    pub open_requests: Rc<OpenRequests>,
    /// Whether new connections are accepted.
    pub listening: Cell<bool>,
    /// As a delegate: an endpoint has more work than it runs at once, and its batch items have to
    /// be preempted.
    pub excess_reported: Notify,
    /// The in-flight counts of this VM have to be sent to the other VMs.
    pub heartbeat_due: Notify,
    /// Quarantine reports have to be sent to the other VMs.
    pub quarantine_reports_due: Notify,
    /// Wakes waiting requests when something was quarantined.
    pub quarantine_grew: Notify,
    /// Batch items may have to be placed or preempted.
    pub plan_items: Notify,
    /// The watches' connections to the store may be broken.
    pub restart_watches: Notify,
    /// Callers' connections are to be closed once they are idle.
    pub closing: Notify,
}

impl Node {
    /// A process without configuration or endpoints.
    pub fn new(settings: settings::Serve, dialect: Dialect, store: Store) -> Rc<Node> {
        let domain = id::of(&settings.failure_domain);
        let mut online = Online::new(domain, util::rng());
        online.watch_silence = true;
        online.policy = settings.routing;
        let budget = Budget::of(grant(&settings));
        let core = Core {
            online,
            items: Items::default(),
            usage: Usage::default(),
            load_reports: LoadReports::default(),
            waiting_reports: WaitingReports::default(),
            admission: Admission::default(),
            backlog: Backlog::default(),
            discovery: Discovery::default(),
            routes: None,
            jobs: Jobs::new(budget.cache_bytes),
            live: Live::default(),
            peers: Peers::new(settings.mesh_max),
            freshness: Freshness::default(),
            quarantine: Quarantine::default(),
            item_quarantine: Quarantine::of_items(),
            quotas: Quotas::new(quota_measure(&settings), clock::now()),
            streams: StreamOrigins::default(),
            recorded: RecordedVersions::default(),
            software: SoftwareHistory::default(),
            stage: Stage::Serving,
            callers: HashMap::new(),
            next_request: 1,
        };
        let counters = Counters::new();
        Rc::new_cyclic(|node: &Weak<Node>| {
            let own_store = store.observed({
                let node = node.clone();
                move |call| {
                    if let Some(node) = node.upgrade() {
                        node.note_store_call(&call);
                    }
                }
            });
            Node {
                vm: id::of(&settings.name),
                domain,
                owner: util::nonce() | 1,
                key: Key::new(&settings.cluster_key),
                dialect,
                store: with_relay(own_store.clone(), {
                    let node = node.clone();
                    move || node.upgrade()
                }),
                direct_store: own_store,
                started_at: clock::now(),
                store_answers: Cell::new(false),
                renewed_at: Cell::new(None),
                pool: Pool::new(budget.idle_connections_max),
                counters,
                core: RefCell::new(core),
                runs: Runs::default(),
                gossip_socket: RefCell::new(None),
                budget,
                connections: Connections::new(budget.connections_max),
                bodies: Bodies::new(budget.body_bytes),
                submission_memory: QueuedRoom::new(budget.submission_bytes),
                job_memory: QueuedRoom::new(budget.job_bytes),
                reply_memory: QueuedRoom::new(budget.reply_bytes),
                answer_memory: AnswerMemory::new(budget.answer_bytes),
                software_records: SoftwareRecords::default(),
                software_recording: Mutex::default(),
                process_reads: ProcessReads::default(),
                open_requests: Rc::default(),
                excess_reported: Notify::new(),
                heartbeat_due: Notify::new(),
                quarantine_reports_due: Notify::new(),
                quarantine_grew: Notify::new(),
                plan_items: Notify::new(),
                restart_watches: Notify::new(),
                closing: Notify::new(),
                listening: Cell::new(true),
                settings,
            }
        })
    }

    /// Records the outcome of a direct call on the store.
    ///
    /// The direct outcome counts even when the call succeeds through another VM. Otherwise, when
    /// all connections to the store go silent and another VM makes the calls, nothing would seem to
    /// fail while the watches wait for half a minute, and the items of an ended job would run on.
    /// So each failure restarts the watches. Writes are excluded: their answers can be lost while
    /// reads still succeed.
    fn note_store_call(&self, call: &FinishedCall) {
        let outcome = if call.answered { "answered" } else { "failed" };
        let counter = &self.counters.store_calls;
        counter.with_label_values(&[call.kind, outcome]).inc();
        self.store_answers.set(call.answered);
        let now = clock::now();
        let mut core = self.core.borrow_mut();
        if call.answered {
            return core.discovery.store_answered(now);
        }
        let since = if call.is_watch { now } else { call.sent_at };
        let others_served = core.peers.is_store_serving_for(now, CUT_OFF_AFTER);
        core.discovery.store_failed(now, since, others_served);
        drop(core);
        if !call.is_write {
            self.restart_watches.notify_waiters();
        }
    }

    /// Records that the store answered a call on a subject; the call was sent at `sent_at`.
    pub fn confirm(&self, subject: StoreSubject, sent_at: Duration) {
        let mut core = self.core.borrow_mut();
        core.freshness.confirm(subject, sent_at);
        if subject == StoreSubject::Endpoints {
            core.discovery.confirm_view(sent_at);
        }
        if subject == StoreSubject::Live {
            // The VMs that follow this one wait for its confirmations.
            core.jobs.changed.notify_waiters();
        }
    }

    /// Confirmation age of a subject in milliseconds, for the log; -1 if it was never confirmed.
    pub fn confirmation_age_ms(&self, subject: StoreSubject) -> i64 {
        let age = self.core.borrow().freshness.age(clock::now(), subject);
        age.map_or(-1, |age| age.as_millis() as i64)
    }

    /// Whether callers can be served: configuration and endpoints are loaded and the process is not
    /// draining.
    pub fn ready(&self) -> bool {
        let core = self.core.borrow();
        core.stage == Stage::Serving && core.routes.is_some() && core.discovery.is_loaded()
    }

    /// Whether the process is stopping.
    pub fn is_draining(&self) -> bool {
        self.core.borrow().stage == Stage::Draining
    }

    /// This VM as a candidate for watching the store and for delegate.
    pub fn local_vm(&self) -> LocalVm {
        let draining = self.is_draining();
        LocalVm {
            vm: self.vm,
            domain: self.domain,
            core_share: self.settings.core_share,
            draining,
            eligible: !draining && self.store_answers.get(),
        }
    }

    /// The configuration in force.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.core.borrow().routes.clone()
    }

    /// Applies a configuration that is newer than the one in force; older ones are ignored.
    pub fn apply_rules(&self, rules: Rules, from: &str) {
        let proof_age_ms = self.confirmation_age_ms(StoreSubject::Rules);
        let mut core = self.core.borrow_mut();
        let current = core.routes.as_ref().map(|table| table.rules.version);
        if current.is_some_and(|current| rules.version <= current) {
            return;
        }
        let before = current.unwrap_or(0);
        log::info!(version = rules.version, before, from, proof_age_ms; "rules taken");
        core.online
            .configure_services(clock::now(), services(&rules));
        core.routes = Some(Rc::new(RouteTable::new(rules)));
        drop(core);
        self.heartbeat_due.notify_one();
        self.plan_items.notify_one();
    }

    /// Logs and counts the transitions of endpoints. The counters outlast the log, of which only
    /// the end may be kept.
    fn report_transitions(&self, from: &str) {
        let now = clock::now();
        let proof_age_ms = self.confirmation_age_ms(StoreSubject::Endpoints);
        let mut core = self.core.borrow_mut();
        let transitions = core.discovery.take_transitions();
        let kept = core.discovery.kept_count() as f64;
        self.counters.endpoints_kept.set(kept);
        let failed_ms = core.discovery.store_failed_for(now);
        let failed_ms = failed_ms.map_or(-1, |age| age.as_millis() as i64);
        for event in transitions {
            let transition: &'static str = event.transition.into();
            let labels = [transition, from];
            let counter = &self.counters.endpoint_transitions;
            counter.with_label_values(&labels).inc();
            log::info!(
                endpoint = *event.name,
                transition,
                from,
                revision = event.revision,
                store_failed_ms = failed_ms,
                proof_age_ms;
                "endpoint"
            );
        }
    }

    /// Follows up on a report on endpoints; `changed` if it affects which of them may be used.
    pub fn endpoints_reported(&self, from: &str, changed: bool) {
        self.report_transitions(from);
        if changed {
            self.rebuild_endpoints(from);
        }
    }

    /// Rebuilds the endpoint table after a change.
    fn rebuild_endpoints(&self, from: &str) {
        let mut guard = self.core.borrow_mut();
        let core = &mut *guard;
        let used = endpoints_in_use(core);
        let owner = self.subset_owner(core);
        let configured = core.discovery.used_configs(owner, |id| used.contains(&id));
        let draining: Vec<EndpointId> = configured
            .iter()
            .filter(|(.., draining)| *draining)
            .map(|(id, ..)| *id)
            .collect();
        log::info!(
            endpoints = configured.len(),
            draining = draining.len(),
            revision = core.discovery.revision,
            from;
            "endpoints taken"
        );
        let versions = core.discovery.software_versions();
        core.software.update(clock::now(), versions);
        let endpoints = &mut core.online.endpoints;
        let is_in_service =
            |id: &EndpointId| endpoints.get(*id).is_some_and(|row| row.leaving.is_none());
        let mut gone = core.discovery.take_ended_processes();
        gone.retain(is_in_service);
        endpoints.configure(
            configured
                .into_iter()
                .map(|(id, declared, _)| (id, declared)),
        );
        gone.retain(|id| endpoints.get(*id).is_none());
        for id in draining {
            if let Some(row) = endpoints.get_mut(id) {
                // A draining instance never returns to service.
                row.leaving = Some(u64::MAX);
            }
        }
        drop(guard);
        for endpoint in gone {
            quarantine::endpoint_ended(self, endpoint);
        }
        self.heartbeat_due.notify_one();
        self.plan_items.notify_one();
    }

    /// Notes that an endpoint's process has ended, so that the software at its address is not known.
    pub fn process_ended(&self, endpoint: EndpointId) {
        let core = &mut *self.core.borrow_mut();
        let is_new = core.discovery.process_ended(clock::now(), endpoint);
        let row = core.online.endpoints.get_mut(endpoint);
        if let Some(row) = row.filter(|_| is_new) {
            log::info!(endpoint = *row.config.name, software = *row.config.software; "endpoint has ended");
            row.config.software = unknown_software();
        }
    }

    /// Registers a request; the receiver delivers the actions for it.
    pub fn register(&self) -> (RequestId, mpsc::UnboundedReceiver<Action>) {
        let mut core = self.core.borrow_mut();
        let request = core.next_request;
        core.next_request += 1;
        let (sender, receiver) = mpsc::unbounded_channel();
        core.callers.insert(request, sender);
        (request, receiver)
    }

    /// Removes a request.
    pub fn unregister(&self, request: RequestId) {
        self.core.borrow_mut().callers.remove(&request);
    }

    /// Why a request that was refused after an attempt got no other one; empty if it had none.
    pub fn no_retry(&self, request: RequestId) -> &'static str {
        let reason = self.core.borrow_mut().online.take_no_retry(request);
        reason.map_or("", Into::into)
    }

    /// Passes an event of a request to the online scheduler.
    pub fn handle_event(&self, event: Event) {
        let mut core = self.core.borrow_mut();
        let mut actions = Vec::new();
        core.online.handle(clock::now(), event, &mut actions);
        self.dispatch(&mut core, actions);
    }

    /// Records that data arrived from an endpoint.
    pub fn note_endpoint_data(&self, endpoint: EndpointId) {
        let mut core = self.core.borrow_mut();
        if let Some(row) = core.online.endpoints.get_mut(endpoint) {
            row.last_received_at = clock::now();
        }
    }

    /// Records that part of a request's answer arrived.
    pub fn note_answer_data(&self, request: RequestId) {
        self.core
            .borrow_mut()
            .online
            .note_response(clock::now(), request);
    }

    /// Records whether a request's answer waits for a caller that reads too slowly.
    pub fn note_unread(&self, request: RequestId, is_unread: bool) {
        let online = &mut self.core.borrow_mut().online;
        online.note_unread(clock::now(), request, is_unread);
    }

    /// Address of an endpoint; `None` if it is gone.
    pub fn target(&self, endpoint: EndpointId) -> Option<Target> {
        let core = self.core.borrow();
        let row = core.online.endpoints.get(endpoint)?;
        Some(Target {
            endpoint,
            address: row.config.address.to_string(),
            instance: row.config.name.to_string(),
            process: core
                .discovery
                .process(endpoint)
                .unwrap_or_else(|| EndpointProcess::unknown(&row.config.name)),
            software: row.config.software.clone(),
        })
    }

    /// Software version of an endpoint; empty if it is gone or its version is not known.
    pub fn software(&self, endpoint: EndpointId) -> Name {
        let core = self.core.borrow();
        let row = core.online.endpoints.get(endpoint);
        row.map_or_else(unknown_software, |row| row.config.software.clone())
    }

    /// Runs everything that depends on time alone.
    pub fn tick(&self) {
        let now = clock::now();
        let local_vm = self.local_vm();
        let mut guard = self.core.borrow_mut();
        let core = &mut *guard;
        core.usage.tick(now);
        core.load_reports.tick(now);
        core.waiting_reports.tick(now);
        core.streams.tick(now);
        core.recorded.tick(now);
        let complete = core.discovery.holds_all();
        core.software.set_complete(now, complete);
        if core.peers.tick(now, local_vm) {
            // Otherwise the use by other VMs would be counted twice for a while: in their own
            // reports and in the domain summaries.
            core.usage = Usage::default();
            core.load_reports.clear();
            core.waiting_reports.clear();
            core.quotas.forget_reports();
        }
        let store = self.store_answers.get();
        let large = core.peers.is_large();
        let vms = core.peers.expected_vms(now) + 1;
        core.quotas.tick(
            now,
            quota::FleetView {
                store_available: store,
                uses_delegates: large,
                vms,
            },
        );
        core.online.endpoints.counts_lag =
            !core.peers.receives_domain_heartbeats(self.vm, self.domain);
        let changed = core.discovery.tick(now);
        update_remote_uses(core);
        evidence::update(self, core, now);
        admission::tick(self, core, now);
        let mut actions = Vec::new();
        core.online.tick(now, &mut actions);
        self.dispatch(core, actions);
        evidence::log_changes(self, core);
        drop(guard);
        self.endpoints_reported("time", changed);
        quarantine::tick(self);
        self.pool.tick(now);
    }

    fn dispatch(&self, core: &mut Core, actions: Vec<Action>) {
        for action in actions {
            let request = match &action {
                Action::Send {
                    request, endpoint, ..
                } => {
                    self.preempt_batch_items(core, *endpoint);
                    self.heartbeat_due.notify_one();
                    *request
                }
                Action::Refuse { request, .. } | Action::GiveUp { request } => *request,
            };
            if let Some(caller) = core.callers.get(&request) {
                // A caller that disconnected is handled by its own task.
                let _ = caller.send(action);
            }
        }
    }

    /// Has batch work preempted at once when an endpoint has more than it runs.
    fn preempt_batch_items(&self, core: &mut Core, endpoint: EndpointId) {
        let now = clock::now();
        let batch_here = core.items.running_at(endpoint);
        let elsewhere = core.usage.total(endpoint);
        let Some(row) = core.online.endpoints.get_mut(endpoint) else {
            return;
        };
        row.batch = batch_here + elsewhere.batch;
        if !row.may_queue(now) {
            return;
        }
        if batch_here > 0 {
            self.plan_items.notify_one();
        }
        if elsewhere.batch > 0 {
            self.heartbeat_due.notify_one();
        }
    }
}

/// Copies the last reported use by other VMs into the endpoint rows.
pub fn update_remote_uses(core: &mut Core) {
    let endpoints = &mut core.online.endpoints;
    core.items
        .update_usage(clock::now(), endpoints, &core.usage);
}

/// How the settings specify the measuring of quotas.
fn quota_measure(settings: &settings::Serve) -> QuotaMeasure {
    QuotaMeasure {
        window: Duration::from_secs_f64(settings.quota_window_s),
        overage: settings.quota_overage,
        slack: settings.quota_slack,
    }
}

/// What the VM grants this process, by the settings and by the limits of the process.
fn grant(settings: &settings::Serve) -> Grant {
    let machine = &settings.machine;
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let descriptors = limit.min(machine.descriptors);
    Grant {
        memory_bytes: (machine.memory_mb * 1e6) as usize,
        descriptors: descriptors.saturating_sub(machine.descriptors_reserved) as usize,
    }
}

/// The services as configured for admission, each with the tightest goal of the routes that lead to
/// it.
fn services(rules: &Rules) -> HashMap<ServiceId, ServiceConfig> {
    let shares = shares(rules);
    let mut services: HashMap<ServiceId, ServiceConfig> = HashMap::new();
    for route in rules.routes.iter().filter(|r| r.kind != RouteKind::Batch) {
        for share in &route.shares {
            let service = services
                .entry(share.service)
                .or_insert_with(|| ServiceConfig {
                    first_token_goal: Duration::MAX,
                    queue_limit: QUEUED_REQUESTS_MAX,
                    max_in_flight: IN_FLIGHT_REQUESTS_MAX,
                    learn_limit: false,
                    shares: shares.clone(),
                });
            service.first_token_goal = service.first_token_goal.min(route.goal);
        }
    }
    services
}

/// Each workspace's guaranteed part of the slots when all are taken, in proportion to its quota.
fn shares(rules: &Rules) -> HashMap<WorkspaceId, f64> {
    let workspaces = rules.workspaces.as_deref().unwrap_or_default();
    let rate = |workspace: &Workspace| workspace.quota.map_or(0.0, |quota| quota.rate_per_s);
    let total: f64 = workspaces.iter().map(rate).sum();
    let share = |workspace: &Workspace| {
        let share = rate(workspace) / total.max(f64::EPSILON);
        (workspace.id(), share.max(SHARE_DEFAULT))
    };
    let shares = workspaces.iter().map(share);
    shares.chain([(ANONYMOUS_WORKSPACE, 1.0)]).collect()
}
