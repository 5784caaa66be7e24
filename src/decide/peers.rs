//! State of the other serving processes: which ones are alive, what versions they have, and which
//! of them answers a query.
//!
//! In a small fleet all of this comes from heartbeats. In a large one a VM receives messages from
//! its delegates only: which VMs are alive comes from the registrations in the store, and their
//! state from domain summaries.

mod delegates;
mod domain_usage;
mod domains;
mod messages;
mod queries;
mod record_holders;
mod summaries;
mod summary_round;
mod waiting;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

pub use self::delegates::{DOMAIN_MESH_PEERS_MAX, FULL_MESH_VMS_MAX, SUMMARY_INTERVAL};
pub use self::domain_usage::{DomainUsage, EndpointUses};
pub use self::domains::Domains;
pub use self::messages::{EndpointUseRow, Heartbeat, QuotaCounts, Summary, VmRecord};
pub use self::queries::{KnownVersions, NewerPeers};
pub use self::summary_round::SummaryRound;
use super::backlog::RouteKey;
use super::load_reports::LOAD_REPORT_VERSION;
use crate::id::{self, ranked, ConfigVersion, DomainId, OwnerId, Revision, VmId};

/// Time after the last heartbeat for which a VM counts as alive: three heartbeats.
const PEER_TIMEOUT: Duration = Duration::from_millis(1700);
/// Age up to which a heartbeat covers every record that callers may have read at its sender long
/// enough ago to ask another VM for it.
const FRESH_HEARTBEAT_AGE_MAX: Duration = Duration::from_millis(750);
/// Orders the VMs of a failure domain for the choice of the watching VM; any constant does.
const KEY_WATCHER: u64 = 0x7761_7463_6865_7273;
/// Orders the VMs that refresh rules and endpoints from the store; any constant does.
const KEY_REFRESH: u64 = 0x7072_6f76_6572_7331;
/// Time after which a VM that is neither registered nor sends heartbeats is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Another VM.
#[derive(Debug, Clone)]
struct Peer {
    domain: DomainId,
    gossip_address: SocketAddr,
    /// Set by the first heartbeat, or by a registration with a port.
    peer_address: Option<SocketAddr>,
    owner: OwnerId,
    sequence: u64,
    last_heartbeat_at: Option<Duration>,
    last_seen_at: Duration,
    /// It is in the store under its lease.
    registered: bool,
    draining: bool,
    store_available: bool,
    /// Since when each of its heartbeats has reported an available store.
    store_available_since: Option<Duration>,
    rules: ConfigVersion,
    endpoints: Revision,
    jobs: Revision,
    waiting: u32,
    backlog: Vec<(RouteKey, u64)>,
    core_share: f64,
    /// It understands load reports.
    takes_load_reports: bool,
}

/// This VM as a candidate for watching the store and for delegate.
#[derive(Debug, Clone, Copy)]
pub struct LocalVm {
    pub vm: VmId,
    pub domain: DomainId,
    pub core_share: f64,
    pub draining: bool,
    /// The metadata store answers it and it is not draining.
    pub eligible: bool,
}

/// All known VMs but this one.
#[derive(Debug)]
pub struct Peers {
    rows: HashMap<VmId, Peer>,
    /// Configured addresses that receive heartbeats until their VMs are known.
    pub seeds: Vec<SocketAddr>,
    mesh_max: usize,
    /// State of failure domains from their delegates' summaries.
    pub domains: Domains,
    /// Delegates of the local failure domain; empty while the fleet is small.
    delegates: Vec<VmId>,
    /// Delegates of the other failure domains, each with its rank in its domain; filled on
    /// delegates only.
    remote_delegates: Vec<(usize, VmId)>,
    /// Since when a VM has been expected to act as a delegate.
    delegate_expected_since: HashMap<VmId, Duration>,
    /// Processes that a newer process of the same VM has replaced, and when that was seen.
    replaced: HashMap<OwnerId, Duration>,
}

impl Default for Peers {
    fn default() -> Peers {
        Peers::new(FULL_MESH_VMS_MAX)
    }
}

impl Peers {
    /// Starts without known VMs; up to `mesh_max` VMs form a full mesh.
    pub fn new(mesh_max: usize) -> Peers {
        Peers {
            rows: HashMap::new(),
            seeds: Vec::new(),
            mesh_max,
            domains: Domains::default(),
            delegates: Vec::new(),
            remote_delegates: Vec::new(),
            delegate_expected_since: HashMap::new(),
            replaced: HashMap::new(),
        }
    }

    /// Applies the list of all VMs that are registered in the store.
    pub fn apply_registrations(
        &mut self,
        now: Duration,
        local: (VmId, OwnerId),
        records: &[VmRecord],
    ) {
        self.rows
            .values_mut()
            .for_each(|peer| peer.registered = false);
        for record in records {
            let vm = id::of(&record.name);
            if vm == local.0 {
                if record.owner != local.1 {
                    self.replaced.insert(record.owner, now);
                }
                continue;
            }
            let peer = self.rows.entry(vm).or_insert_with(|| Peer {
                domain: record.domain,
                gossip_address: record.gossip_address,
                peer_address: record.peer_address(),
                owner: record.owner,
                sequence: 0,
                last_heartbeat_at: None,
                last_seen_at: now,
                registered: true,
                draining: false,
                store_available: false,
                store_available_since: None,
                rules: 0,
                endpoints: 0,
                jobs: 0,
                waiting: 0,
                backlog: Vec::new(),
                core_share: record.core_share,
                takes_load_reports: false,
            });
            peer.registered = true;
            peer.last_seen_at = now;
            peer.core_share = record.core_share;
            peer.takes_load_reports = record.load_reports == LOAD_REPORT_VERSION;
            if peer
                .last_heartbeat_at
                .is_none_or(|at| now >= at + PEER_TIMEOUT)
            {
                if peer.owner != record.owner {
                    self.replaced.insert(peer.owner, now);
                }
                peer.owner = record.owner;
                peer.gossip_address = record.gossip_address;
                peer.peer_address = record.peer_address();
            }
        }
    }

    /// Whether a heartbeat of the same process arrived before.
    pub fn is_known_process(&self, heartbeat: &Heartbeat) -> bool {
        let known = self.rows.get(&id::of(&heartbeat.name));
        known.is_some_and(|peer| peer.owner == heartbeat.owner && peer.last_heartbeat_at.is_some())
    }

    /// Applies a heartbeat; false when it is late or a duplicate.
    pub fn apply_heartbeat(
        &mut self,
        now: Duration,
        from: SocketAddr,
        heartbeat: &Heartbeat,
    ) -> bool {
        let vm = id::of(&heartbeat.name);
        let known = self.rows.get(&vm);
        let stale =
            known.is_some_and(|p| p.owner == heartbeat.owner && heartbeat.sequence <= p.sequence);
        if stale {
            return false;
        }
        if let Some(previous) = known.filter(|peer| peer.owner != heartbeat.owner) {
            self.replaced.insert(previous.owner, now);
        }
        self.replaced.remove(&heartbeat.owner);
        let alive_before = known.filter(|peer| peer.owner == heartbeat.owner && peer.is_alive(now));
        let available_since = alive_before
            .and_then(|peer| peer.store_available_since)
            .unwrap_or(now);
        let peer = Peer {
            domain: heartbeat.domain,
            gossip_address: from,
            peer_address: Some(SocketAddr::new(from.ip(), heartbeat.peer_port)),
            owner: heartbeat.owner,
            sequence: heartbeat.sequence,
            last_heartbeat_at: Some(now),
            last_seen_at: now,
            registered: known.is_some_and(|peer| peer.registered),
            draining: heartbeat.draining,
            store_available: heartbeat.store_available,
            store_available_since: heartbeat.store_available.then_some(available_since),
            rules: heartbeat.rules,
            endpoints: heartbeat.endpoints,
            jobs: heartbeat.jobs,
            waiting: heartbeat.waiting,
            backlog: heartbeat.backlog.clone(),
            core_share: known.map_or(0.0, |peer| peer.core_share),
            takes_load_reports: known.is_some_and(|peer| peer.takes_load_reports),
        };
        self.rows.insert(vm, peer);
        true
    }

    /// Whether the process with this owner id is alive, as far as is known here.
    pub fn is_owner_alive(&self, now: Duration, local_owner: OwnerId, owner: OwnerId) -> bool {
        owner == local_owner || self.living_owners(now).contains(&owner)
    }

    /// All other processes that are alive, as far as is known here. Callers that check hundreds of
    /// jobs call this once.
    pub fn living_owners(&self, now: Duration) -> HashSet<OwnerId> {
        let rows = self.rows.values();
        let living = rows.filter(|peer| peer.registered || peer.is_alive(now));
        let unregistered = self.domains.living(now);
        let unregistered = unregistered.flat_map(|(_, status)| status.unregistered.iter().copied());
        let owners = living.map(|peer| peer.owner).chain(unregistered);
        owners.filter(|owner| *owner != 0).collect()
    }

    /// The last known process of a VM.
    pub fn owner_of(&self, vm: VmId) -> Option<OwnerId> {
        self.rows.get(&vm).map(|peer| peer.owner)
    }

    /// Whether a newer process of the same VM has replaced this one. A VM runs one process at a
    /// time, so the old one is certainly gone and no caller has to wait for its return.
    pub fn is_replaced(&self, owner: OwnerId) -> bool {
        self.replaced.contains_key(&owner)
    }

    /// Rank of this VM among all VMs that accept work, in the order for `key`.
    pub fn rank(&self, now: Duration, local_vm: VmId, key: u64) -> usize {
        let others = self.rows.iter();
        let accepting = others.filter(|(vm, peer)| self.accepts_work(now, **vm, peer));
        let vms = accepting.map(|(vm, _)| *vm).chain([local_vm]);
        let order = ranked(key, vms);
        order.iter().position(|vm| *vm == local_vm).unwrap_or(0)
    }

    /// The process that takes over a job from this VM; all VMs choose the same one.
    pub fn successor(&self, now: Duration, key: u64) -> Option<OwnerId> {
        let rows = self.rows.iter();
        let candidates = rows.filter(|(vm, peer)| {
            self.accepts_work(now, **vm, peer) && (peer.store_available || !peer.is_alive(now))
        });
        let first = ranked(key, candidates.map(|(vm, _)| *vm))
            .first()
            .copied()?;
        self.rows.get(&first).map(|peer| peer.owner)
    }

    /// Whether a VM accepts work. It must be alive by heartbeats in a small fleet, registered in a
    /// large one, where most VMs send none to this one.
    fn accepts_work(&self, now: Duration, vm: VmId, peer: &Peer) -> bool {
        let available = peer.is_alive(now) || (self.is_large() && peer.registered);
        available && !peer.draining && !self.domains.is_draining(now, vm)
    }

    /// Whether the fleet is too large for a full mesh, so that VMs send heartbeats to delegates.
    pub fn is_large(&self) -> bool {
        self.rows.len() + 1 > self.mesh_max
    }

    /// Whether a VM receives the heartbeats of its failure domain itself instead of the delegates'
    /// summaries only.
    pub fn receives_domain_heartbeats(&self, vm: VmId, domain: DomainId) -> bool {
        !self.is_large() || self.is_delegate(vm) || self.is_domain_meshed(domain)
    }

    /// Whether the VMs of a failure domain send heartbeats to each other.
    pub fn is_domain_meshed(&self, domain: DomainId) -> bool {
        let domain_peers = self.rows.values().filter(|peer| peer.domain == domain);
        !self.is_large() || domain_peers.count() < DOMAIN_MESH_PEERS_MAX
    }

    /// Whether a VM is a delegate of the local failure domain.
    pub fn is_delegate(&self, vm: VmId) -> bool {
        self.delegates.contains(&vm)
    }

    /// Drops expired VMs and chooses delegates; true when this VM became a delegate or ceased to be
    /// one.
    pub fn tick(&mut self, now: Duration, local: LocalVm) -> bool {
        self.rows
            .retain(|_, peer| peer.registered || now < peer.last_seen_at + FORGET_AFTER);
        self.replaced.retain(|_, at| now < *at + FORGET_AFTER);
        self.domains.tick(now);
        let rows = &self.rows;
        self.delegate_expected_since
            .retain(|vm, _| rows.get(vm).is_some_and(|peer| peer.registered));
        let was_delegate = self.is_delegate(local.vm);
        self.delegates = match self.is_large() {
            true => self.choose_delegates(
                now,
                local.domain,
                Some(local).filter(|local| !local.draining),
            ),
            false => Vec::new(),
        };
        let is_delegate = self.is_delegate(local.vm);
        self.remote_delegates.clear();
        if is_delegate {
            let domains: HashSet<DomainId> = self.rows.values().map(|peer| peer.domain).collect();
            for domain in domains.into_iter().filter(|domain| *domain != local.domain) {
                let chosen = self.choose_delegates(now, domain, None);
                self.remote_delegates.extend(chosen.into_iter().enumerate());
            }
        }
        was_delegate != is_delegate
    }

    /// Peer address of the living process with this owner id.
    pub fn address(&self, now: Duration, owner: OwnerId) -> Option<SocketAddr> {
        let large = self.is_large();
        let rows = self.rows.values();
        let mut living = rows.filter(|peer| peer.is_alive(now) || (large && peer.registered));
        living
            .find(|peer| peer.owner == owner)
            .and_then(|peer| peer.peer_address)
    }

    /// Whether a fresh heartbeat of every registered VM has arrived and none reports a newer job
    /// record. Never true in a large fleet, where most VMs send none to this one.
    pub fn all_confirm_jobs(&self, now: Duration, jobs: Revision) -> bool {
        let confirms = |peer: &Peer| {
            let is_fresh = peer
                .last_heartbeat_at
                .is_some_and(|at| now < at + FRESH_HEARTBEAT_AGE_MAX);
            is_fresh && peer.jobs <= jobs
        };
        let mut rows = self.rows.values().filter(|peer| peer.registered);
        rows.clone().next().is_some() && rows.all(confirms)
    }

    /// Number of other VMs that may admit jobs: those registered or recently alive.
    pub fn admitting_vms(&self) -> u32 {
        self.rows.len() as u32
    }

    /// Number of other VMs that are registered or alive.
    pub fn expected_vms(&self, now: Duration) -> u32 {
        let rows = self.rows.values();
        let expected = rows.filter(|peer| peer.registered || peer.is_alive(now));
        expected.count() as u32
    }

    /// Whether neither a VM nor a delegate's summary has been heard for a while.
    pub fn is_cut_off(&self, now: Duration) -> bool {
        let is_heard = self.rows.values().any(|peer| peer.is_alive(now));
        !self.rows.is_empty() && !is_heard && !self.domains.is_any_current(now)
    }

    /// Number of other VMs that are alive, for the dump.
    pub fn living_vms(&self, now: Duration) -> usize {
        let large = self.is_large();
        let rows = self.rows.values();
        let living = rows.filter(|peer| peer.is_alive(now) || (large && peer.registered));
        living.count()
    }
}

impl VmRecord {
    fn peer_address(&self) -> Option<SocketAddr> {
        let port = Some(self.peer_port).filter(|port| *port > 0);
        port.map(|port| SocketAddr::new(self.gossip_address.ip(), port))
    }
}

impl Peer {
    fn is_alive(&self, now: Duration) -> bool {
        self.last_heartbeat_at
            .is_some_and(|at| now < at + PEER_TIMEOUT)
    }
}
