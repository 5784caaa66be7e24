//! The state of an entry process that its threads share.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use log::{info, warn};

use super::batch_link::BatchLink;
use super::config_index::ConfigIndex;
use super::counters::Counters;
use super::job_table::JobTable;
use super::range_request::RangeRequest;
use crate::clock;
use crate::config::Versioned;
use crate::decide::fleet::{self, Fleet};
use crate::decide::members::VmStatus;
use crate::decide::online::{Action, Event, Online};
use crate::engine::Engines;
use crate::id::{self, ConfigVersion, EndpointId, Name, RequestId};
use crate::platform::Platform;
use crate::segments::Segments;
use crate::settings::{ms, Entry};
use crate::util::{self, lock};
use crate::wire::{Datagram, Key, ToBatch, DATAGRAM_BYTES_MAX};

/// The workspace of a caller, and the configuration under which its request is handled.
#[derive(Clone)]
pub struct CallerContext {
    pub config: Arc<ConfigIndex>,
    pub workspace: Name,
}

/// The state that the decision functions work on, behind one lock.
pub struct NodeState {
    pub online: Online,
    pub fleet: Fleet,
    pub config: Option<Arc<ConfigIndex>>,
    pub jobs: JobTable,
    /// When an online request was last in flight at each endpoint.
    pub online_at: HashMap<EndpointId, Duration>,
    /// Where the handler of each open online request receives its actions.
    action_senders: HashMap<RequestId, Sender<Action>>,
}

/// Tasks that may block, run by the background threads.
#[derive(Debug)]
pub enum BackgroundTask {
    FetchConfig { from: SocketAddr },
    FetchJobs { from: SocketAddr },
    Poll { endpoint: EndpointId, address: Name },
    Cancel { address: Name, attempt: String },
}

/// One entry process.
pub struct Node {
    pub settings: Entry,
    pub key: Key,
    pub platform: Platform,
    pub engines: Engines,
    pub segments: Segments,
    pub state: Mutex<NodeState>,
    pub batch_link: Mutex<BatchLink>,
    pub counters: Counters,
    pub tasks: Sender<BackgroundTask>,
    task_receiver: Mutex<Option<Receiver<BackgroundTask>>>,
    pub intent_ranges: OnceLock<Vec<Sender<RangeRequest>>>,
    gossip: OnceLock<UdpSocket>,
    next_request: AtomicU64,
    draining: AtomicBool,
    superseded: AtomicBool,
    /// Set once this VM has read the latest state from the platform or, if that is unavailable, has
    /// waited for its peers' versions.
    pub caught_up: AtomicBool,
}

impl Node {
    /// Creates the state of a process; opens no sockets and starts no threads.
    pub fn new(settings: Entry) -> Arc<Node> {
        let status = VmStatus {
            vm: id::of(&settings.name),
            name: settings.name.clone(),
            domain: id::of(&settings.failure_domain),
            gossip_address: settings.gossip_address,
            peer_address: settings.peer_address,
            incarnation: clock::unix_ms(),
            leaving: false,
            batch: 0,
            config: 0,
            jobs: 0,
        };
        let platform = Platform::new(
            &settings.platform_address.to_string(),
            ms(settings.platform_timeout_ms),
        );
        let key = Key::new(&settings.cluster_key);
        let (tasks, task_receiver) = mpsc::channel();
        let mut online = Online::new(status.domain, util::rng());
        online.policy = settings.routing;
        let state = NodeState {
            online,
            fleet: Fleet::new(status),
            config: None,
            jobs: JobTable::default(),
            online_at: HashMap::new(),
            action_senders: HashMap::new(),
        };
        Arc::new(Node {
            segments: Segments {
                platform: platform.clone(),
                key: key.clone(),
                bulk: settings.bulk.clone(),
                copies: settings.bulk_copies,
            },
            key,
            platform,
            engines: Engines::new(),
            state: Mutex::new(state),
            batch_link: Mutex::new(BatchLink::default()),
            counters: Counters::new(),
            tasks,
            task_receiver: Mutex::new(Some(task_receiver)),
            intent_ranges: OnceLock::new(),
            gossip: OnceLock::new(),
            next_request: AtomicU64::new(1),
            draining: AtomicBool::new(false),
            superseded: AtomicBool::new(false),
            caught_up: AtomicBool::new(false),
            settings,
        })
    }

    /// Opens the UDP socket for heartbeats.
    pub fn open_gossip(&self) -> io::Result<()> {
        let socket = UdpSocket::bind(self.settings.gossip_address)?;
        let _ = self.gossip.set(socket);
        Ok(())
    }

    /// The UDP socket for heartbeats.
    pub fn gossip(&self) -> Option<&UdpSocket> {
        self.gossip.get()
    }

    /// Takes the receiving end of the background tasks; `None` after the first call.
    pub fn take_task_receiver(&self) -> Option<Receiver<BackgroundTask>> {
        lock(&self.task_receiver).take()
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<ConfigIndex>> {
        lock(&self.state).config.clone()
    }

    /// Whether this VM should receive requests, or the reason why not.
    pub fn ready(&self) -> Result<(), &'static str> {
        self.ready_with(&lock(&self.state))
    }

    /// Like [`Node::ready`], for a caller that holds the lock.
    pub fn ready_with(&self, state: &NodeState) -> Result<(), &'static str> {
        if self.draining.load(Ordering::SeqCst) {
            return Err("leaving");
        }
        if state.config.is_none() {
            return Err("no configuration yet");
        }
        if !self.caught_up.load(Ordering::SeqCst) {
            return Err("asking for the newest configuration");
        }
        Ok(())
    }

    /// Whether another process with this VM's id has started later.
    pub fn superseded(&self) -> bool {
        self.superseded.load(Ordering::SeqCst)
    }

    /// Starts draining: reports to the peers and to the batch process that this VM accepts no new
    /// work.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
        let mut state = lock(&self.state);
        state.fleet.status.leaving = true;
        state.fleet.send_now();
        lock(&self.batch_link).send(ToBatch::Leave);
        drop(state);
        self.tick();
    }

    /// Registers a request; its actions arrive on the receiver.
    pub fn register(&self) -> (RequestId, Receiver<Action>) {
        let request = self.next_request.fetch_add(1, Ordering::SeqCst);
        let (sender, receiver) = mpsc::channel();
        lock(&self.state).action_senders.insert(request, sender);
        (request, receiver)
    }

    /// Removes a request that has its final answer.
    pub fn unregister(&self, request: RequestId) {
        lock(&self.state).action_senders.remove(&request);
    }

    /// Handles an event of an online request and dispatches the resulting actions.
    pub fn handle_online(&self, event: Event) {
        let now = clock::now();
        let mut state = lock(&self.state);
        let mut out = Vec::new();
        state.online.handle(now, event, &mut out);
        self.dispatch(now, &mut state, out);
    }

    fn dispatch(&self, now: Duration, state: &mut NodeState, actions: Vec<Action>) {
        for action in actions {
            let request = match &action {
                Action::Send {
                    request, endpoint, ..
                } => {
                    self.record_online_request(now, state, *endpoint);
                    *request
                }
                Action::Refuse { request, .. } | Action::GiveUp { request } => *request,
            };
            if let Some(sender) = state.action_senders.get(&request) {
                let _ = sender.send(action);
            }
        }
    }

    /// Records that an online request goes to an endpoint, so that batch work there yields at once.
    fn record_online_request(&self, now: Duration, state: &mut NodeState, endpoint: EndpointId) {
        state.online_at.insert(endpoint, now);
        self.counters.attempts.inc();
        let online = state
            .online
            .endpoints
            .get(endpoint)
            .map_or(0, |row| row.online_here);
        let domain = state
            .online
            .endpoints
            .get(endpoint)
            .map(|row| row.config.domain);
        if domain != Some(state.fleet.status.domain) {
            return;
        }
        match state.fleet.assigned_vm(endpoint) {
            Some(assigned) if assigned == state.fleet.status.vm => self.push_windows(now, state),
            // Only the first request is reported by a datagram; heartbeats report the rest while it
            // runs.
            Some(assigned) if online == 1 => {
                let to = state
                    .fleet
                    .members
                    .members
                    .get(&assigned)
                    .map(|row| row.status.gossip_address);
                if let Some(to) = to {
                    self.send(to, &Datagram::Pressure { endpoint, online });
                }
            }
            _ => {}
        }
    }

    /// Handles the report that another VM sent online requests to an endpoint assigned to this VM.
    pub fn apply_pressure(&self, endpoint: EndpointId) {
        let now = clock::now();
        let mut state = lock(&self.state);
        state.online_at.insert(endpoint, now);
        self.push_windows(now, &mut state);
    }

    /// Sends a datagram, sealed with the cluster key.
    pub fn send(&self, to: SocketAddr, message: &Datagram) {
        let Ok(sealed) = self.key.seal(message) else {
            return;
        };
        if sealed.len() > DATAGRAM_BYTES_MAX {
            warn!(bytes = sealed.len(); "datagram not sent: too large");
            return;
        }
        if let Some(socket) = self.gossip() {
            self.counters
                .datagram_bytes
                .with_label_values(&["out"])
                .inc_by(sealed.len() as u64);
            let _ = socket.send_to(&sealed, to);
        }
    }

    /// Runs all time-driven work: online requests, heartbeats, job records, batch windows.
    pub fn tick(&self) {
        let now = clock::now();
        let mut state = lock(&self.state);
        let state = &mut *state;
        let mut actions = Vec::new();
        state.online.tick(now, &mut actions);
        self.dispatch(now, state, actions);
        state.fleet.status.batch = lock(&self.batch_link).owner;
        state.fleet.status.jobs = state.jobs.revision;
        let mut actions = Vec::new();
        state
            .fleet
            .tick(now, &mut state.online.endpoints, &mut actions);
        self.run_fleet_actions(state, actions);
        for row in &state.online.endpoints.rows {
            if row.online() > 0 {
                state.online_at.insert(row.id, now);
            }
        }
        state.jobs.forget_ended(clock::unix_ms());
        self.push_windows(now, state);
        self.push_batch_peers(state);
    }

    /// Carries out the actions of the fleet table.
    pub fn run_fleet_actions(&self, state: &mut NodeState, actions: Vec<fleet::Action>) {
        for action in actions {
            match action {
                fleet::Action::Send { to, heartbeat } => {
                    self.send(to, &Datagram::Heartbeat(heartbeat));
                }
                fleet::Action::FetchConfig { from, .. } => {
                    let _ = self.tasks.send(BackgroundTask::FetchConfig { from });
                }
                fleet::Action::FetchJobs { from } => {
                    let _ = self.tasks.send(BackgroundTask::FetchJobs { from });
                }
                fleet::Action::Poll { endpoint } => {
                    let row = state.online.endpoints.get(endpoint);
                    if let Some(address) = row.map(|row| row.config.address.clone()) {
                        let _ = self.tasks.send(BackgroundTask::Poll { endpoint, address });
                    }
                }
                fleet::Action::Stop => {
                    warn!("another process started with this VM's id; stopping");
                    self.superseded.store(true, Ordering::SeqCst);
                }
            }
        }
    }

    /// Version of the configuration in force; 0 for none.
    pub fn config_version(&self) -> ConfigVersion {
        lock(&self.state).fleet.status.config
    }

    /// Puts a configuration in force if it is newer than the present one.
    pub fn apply_config(&self, versioned: Versioned) -> bool {
        let version = versioned.head.version;
        let mut state = lock(&self.state);
        // Never replaced by an older one: a caller that saw a version in force here relies on it,
        // even if a peer or the platform answers late with an earlier version.
        if version <= state.fleet.status.config {
            return false;
        }
        let config = Arc::new(ConfigIndex::new(Arc::new(versioned)));
        state.online.endpoints.configure(config.endpoints());
        state.online.services = config.services();
        state.fleet.status.config = version;
        state.fleet.send_now();
        state.config = Some(config.clone());
        let message = ToBatch::Config(Box::new((*config.versioned).clone()));
        lock(&self.batch_link).send(message);
        drop(state);
        info!(version; "configuration in force");
        self.save_config(&config.versioned);
        true
    }

    /// Saves the configuration to the data folder, for the next start.
    fn save_config(&self, versioned: &Versioned) {
        let Some(folder) = &self.settings.data_dir else {
            return;
        };
        let written = serde_json::to_vec(versioned)
            .map_err(io::Error::other)
            .and_then(|text| {
                std::fs::create_dir_all(folder)?;
                let new = folder.join("configuration.new");
                std::fs::write(&new, text)?;
                std::fs::rename(new, folder.join("configuration.json"))
            });
        if let Err(error) = written {
            warn!("failed to save the configuration: {error}");
        }
    }

    /// Loads the configuration that was saved before a restart.
    pub fn load_saved_config(&self) {
        let Some(folder) = &self.settings.data_dir else {
            return;
        };
        let Ok(text) = std::fs::read(folder.join("configuration.json")) else {
            return;
        };
        match serde_json::from_slice(&text) {
            Ok(versioned) => {
                self.apply_config(versioned);
            }
            Err(error) => warn!("failed to parse the saved configuration: {error}"),
        }
    }
}
