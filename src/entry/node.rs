//! The state of an entry process that its threads share.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use log::{info, warn};

use super::counters::Counters;
use super::links::Links;
use super::plan::Plan;
use super::question::Question;
use super::table::Jobs;
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
use crate::wire::{Datagram, Key, ToBatch, DATAGRAM_BYTES};

/// The workspace of a caller, and the configuration under which its request is handled.
#[derive(Clone)]
pub struct Asker {
    pub plan: Arc<Plan>,
    pub workspace: Name,
}

/// The state that the decision functions work on, behind one lock.
pub struct Core {
    pub online: Online,
    pub fleet: Fleet,
    pub plan: Option<Arc<Plan>>,
    pub jobs: Jobs,
    /// When an online request was last in flight at each endpoint.
    pub online_at: HashMap<EndpointId, Duration>,
    /// Where the handler of each open online request receives its actions.
    callers: HashMap<RequestId, Sender<Action>>,
}

/// Tasks that may block, run by the background threads.
#[derive(Debug)]
pub enum Errand {
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
    pub core: Mutex<Core>,
    pub links: Mutex<Links>,
    pub counters: Counters,
    pub errands: Sender<Errand>,
    errands_out: Mutex<Option<Receiver<Errand>>>,
    pub ranges: OnceLock<Vec<Sender<Question>>>,
    gossip: OnceLock<UdpSocket>,
    next_request: AtomicU64,
    leaving: AtomicBool,
    superseded: AtomicBool,
    /// Whether the newest configuration was requested from the platform or from the peers since the
    /// start.
    pub caught_up: AtomicBool,
}

impl Node {
    /// Creates the state of a process; opens no sockets and starts no threads.
    pub fn new(settings: Entry) -> Arc<Node> {
        let card = VmStatus {
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
        let (errands, errands_out) = mpsc::channel();
        let mut online = Online::new(card.domain, util::rng());
        online.policy = settings.routing;
        let core = Core {
            online,
            fleet: Fleet::new(card),
            plan: None,
            jobs: Jobs::default(),
            online_at: HashMap::new(),
            callers: HashMap::new(),
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
            core: Mutex::new(core),
            links: Mutex::new(Links::default()),
            counters: Counters::new(),
            errands,
            errands_out: Mutex::new(Some(errands_out)),
            ranges: OnceLock::new(),
            gossip: OnceLock::new(),
            next_request: AtomicU64::new(1),
            leaving: AtomicBool::new(false),
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
    pub fn take_errands(&self) -> Option<Receiver<Errand>> {
        lock(&self.errands_out).take()
    }

    /// The configuration in force.
    pub fn plan(&self) -> Option<Arc<Plan>> {
        lock(&self.core).plan.clone()
    }

    /// Whether this VM should receive requests, or the reason why not.
    pub fn ready(&self) -> Result<(), &'static str> {
        self.ready_with(&lock(&self.core))
    }

    /// Like [`Node::ready`], for a caller that holds the lock.
    pub fn ready_with(&self, core: &Core) -> Result<(), &'static str> {
        if self.leaving.load(Ordering::SeqCst) {
            return Err("leaving");
        }
        if core.plan.is_none() {
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
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        let mut core = lock(&self.core);
        core.fleet.card.leaving = true;
        core.fleet.send_now();
        lock(&self.links).send(ToBatch::Leave);
        drop(core);
        self.tick();
    }

    /// Registers a request; its actions arrive on the receiver.
    pub fn register(&self) -> (RequestId, Receiver<Action>) {
        let request = self.next_request.fetch_add(1, Ordering::SeqCst);
        let (sender, receiver) = mpsc::channel();
        lock(&self.core).callers.insert(request, sender);
        (request, receiver)
    }

    /// Removes a request that has its final answer.
    pub fn unregister(&self, request: RequestId) {
        lock(&self.core).callers.remove(&request);
    }

    /// Handles an event of an online request and dispatches the resulting actions.
    pub fn online(&self, event: Event) {
        let now = clock::now();
        let mut core = lock(&self.core);
        let mut out = Vec::new();
        core.online.handle(now, event, &mut out);
        self.pass_on(now, &mut core, out);
    }

    fn pass_on(&self, now: Duration, core: &mut Core, actions: Vec<Action>) {
        for action in actions {
            let request = match &action {
                Action::Send {
                    request, endpoint, ..
                } => {
                    self.note_online(now, core, *endpoint);
                    *request
                }
                Action::Refuse { request, .. } | Action::GiveUp { request } => *request,
            };
            if let Some(caller) = core.callers.get(&request) {
                let _ = caller.send(action);
            }
        }
    }

    /// Records that an online request goes to an endpoint, so that batch work there yields at once.
    fn note_online(&self, now: Duration, core: &mut Core, endpoint: EndpointId) {
        core.online_at.insert(endpoint, now);
        self.counters.attempts.inc();
        let online = core
            .online
            .endpoints
            .get(endpoint)
            .map_or(0, |row| row.online_here);
        let domain = core
            .online
            .endpoints
            .get(endpoint)
            .map(|row| row.declared.domain);
        if domain != Some(core.fleet.card.domain) {
            return;
        }
        match core.fleet.assigned_vm(endpoint) {
            Some(home) if home == core.fleet.card.vm => self.push_windows(now, core),
            // Only the first request is reported by a datagram; heartbeats report the rest while it
            // runs.
            Some(home) if online == 1 => {
                let to = core
                    .fleet
                    .members
                    .rows
                    .get(&home)
                    .map(|row| row.card.gossip_address);
                if let Some(to) = to {
                    self.send(to, &Datagram::Pressure { endpoint, online });
                }
            }
            _ => {}
        }
    }

    /// Handles the report that another VM sent online requests to an endpoint assigned to this VM.
    pub fn pressed(&self, endpoint: EndpointId) {
        let now = clock::now();
        let mut core = lock(&self.core);
        core.online_at.insert(endpoint, now);
        self.push_windows(now, &mut core);
    }

    /// Sends a datagram, sealed with the cluster key.
    pub fn send(&self, to: SocketAddr, message: &Datagram) {
        let Ok(sealed) = self.key.seal(message) else {
            return;
        };
        if sealed.len() > DATAGRAM_BYTES {
            warn!(bytes = sealed.len(); "a datagram is too large");
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
        let mut core = lock(&self.core);
        let core = &mut *core;
        let mut actions = Vec::new();
        core.online.tick(now, &mut actions);
        self.pass_on(now, core, actions);
        core.fleet.card.batch = lock(&self.links).batch;
        core.fleet.card.jobs = core.jobs.revision;
        let mut actions = Vec::new();
        core.fleet
            .tick(now, &mut core.online.endpoints, &mut actions);
        self.run_fleet(core, actions);
        for row in &core.online.endpoints.rows {
            if row.online() > 0 {
                core.online_at.insert(row.id, now);
            }
        }
        core.jobs.forget_ended(clock::unix_ms());
        self.push_windows(now, core);
        self.push_crew(core);
    }

    /// Carries out the actions of the fleet table.
    pub fn run_fleet(&self, core: &mut Core, actions: Vec<fleet::Action>) {
        for action in actions {
            match action {
                fleet::Action::Send { to, heartbeat } => {
                    self.send(to, &Datagram::Heartbeat(heartbeat));
                }
                fleet::Action::FetchConfig { from, .. } => {
                    let _ = self.errands.send(Errand::FetchConfig { from });
                }
                fleet::Action::FetchJobs { from } => {
                    let _ = self.errands.send(Errand::FetchJobs { from });
                }
                fleet::Action::Poll { endpoint } => {
                    let row = core.online.endpoints.get(endpoint);
                    if let Some(address) = row.map(|row| row.declared.address.clone()) {
                        let _ = self.errands.send(Errand::Poll { endpoint, address });
                    }
                }
                fleet::Action::Stop => {
                    warn!("another process has this VM's id; stopping");
                    self.superseded.store(true, Ordering::SeqCst);
                }
            }
        }
    }

    /// Version of the configuration in force; 0 for none.
    pub fn version(&self) -> ConfigVersion {
        lock(&self.core).fleet.card.config
    }

    /// Puts a configuration in force if it is newer than the present one.
    pub fn adopt(&self, versioned: Versioned) -> bool {
        let version = versioned.head.version;
        let mut core = lock(&self.core);
        // Never replaced by an older one: a caller that saw a version in force here relies on it,
        // even if a peer or the platform answers late with an earlier version.
        if version <= core.fleet.card.config {
            return false;
        }
        let plan = Arc::new(Plan::new(Arc::new(versioned)));
        core.online.endpoints.configure(plan.endpoints());
        core.online.services = plan.services();
        core.fleet.card.config = version;
        core.fleet.send_now();
        core.plan = Some(plan.clone());
        let config = ToBatch::Config(Box::new((*plan.versioned).clone()));
        lock(&self.links).send(config);
        drop(core);
        info!(version; "configuration in force");
        self.keep(&plan.versioned);
        true
    }

    /// Saves the configuration to the data folder, for the next start.
    fn keep(&self, versioned: &Versioned) {
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
            warn!("the configuration could not be kept: {error}");
        }
    }

    /// Loads the configuration that was saved before a restart.
    pub fn take_kept(&self) {
        let Some(folder) = &self.settings.data_dir else {
            return;
        };
        let Ok(text) = std::fs::read(folder.join("configuration.json")) else {
            return;
        };
        match serde_json::from_slice(&text) {
            Ok(versioned) => {
                self.adopt(versioned);
            }
            Err(error) => warn!("the kept configuration can't be read: {error}"),
        }
    }
}
