//! The other serving processes: who lives, what each knows, whom to ask.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::backlog::RouteKey;
use super::turns::Rival;
use super::usage::Use;
use crate::id::{self, ranked, ConfigVersion, DomainId, EndpointId, Name, OwnerId, Revision, VmId};

/// A VM heard within this time lives: three heartbeats.
const HEARD_LIFE: Duration = Duration::from_millis(1700);
/// A heartbeat that is no older tells of all that callers may have read there long enough ago for
/// others to be asked for it.
const JUST_HEARD: Duration = Duration::from_millis(750);
/// Orders the VMs of a failure domain by fitness to watch; any constant does.
const KEY_WATCHER: u64 = 0x7761_7463_6865_7273;
/// A VM that is neither registered nor heard for so long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// A process of this system as it registers itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmRecord {
    pub name: Name,
    pub domain: DomainId,
    /// Differs with each start of the process.
    pub owner: OwnerId,
    pub gossip_address: SocketAddr,
}

/// One VM's use of one endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub endpoint: EndpointId,
    pub uses: Use,
}

/// What a VM says of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub name: Name,
    pub domain: DomainId,
    pub owner: OwnerId,
    /// Grows with each heartbeat of this process; late datagrams carry lower ones.
    pub sequence: u64,
    pub draining: bool,
    /// Whether the metadata store answers it.
    pub store: bool,
    /// 0 while it knows none.
    pub rules: ConfigVersion,
    pub endpoints: Revision,
    /// Of the newest record of a batch job.
    pub jobs: Revision,
    /// Batch items that wait there for a slot.
    pub waiting: u32,
    /// Tokens of its jobs' open items, by route with a limit.
    pub backlog: Vec<(RouteKey, u64)>,
    pub peer_port: u16,
    pub rows: Vec<Row>,
}

/// One other VM.
#[derive(Debug, Clone)]
struct Peer {
    domain: DomainId,
    gossip_address: SocketAddr,
    /// Known once it was heard.
    peer_address: Option<SocketAddr>,
    owner: OwnerId,
    sequence: u64,
    heard_at: Option<Duration>,
    seen_at: Duration,
    /// In the store under its lease.
    registered: bool,
    draining: bool,
    store: bool,
    /// Since when each of its heartbeats says so.
    store_since: Option<Duration>,
    rules: ConfigVersion,
    endpoints: Revision,
    jobs: Revision,
    waiting: u32,
    backlog: Vec<(RouteKey, u64)>,
}

/// This VM, among those that may watch for others.
#[derive(Debug, Clone, Copy)]
pub struct Own {
    pub vm: VmId,
    pub domain: DomainId,
    /// It reaches the metadata store and does not drain.
    pub fit: bool,
}

/// The other VMs.
#[derive(Debug, Default)]
pub struct Peers {
    rows: HashMap<VmId, Peer>,
    /// Addresses from the settings, spoken to until their VMs are known.
    pub seeds: Vec<SocketAddr>,
    /// Processes in whose place a newer one of their VM was seen, and when.
    replaced: HashMap<OwnerId, Duration>,
}

impl Peers {
    /// Takes all VMs that are registered in the store.
    pub fn registered(&mut self, now: Duration, own: (VmId, OwnerId), records: &[VmRecord]) {
        self.rows
            .values_mut()
            .for_each(|peer| peer.registered = false);
        for record in records {
            let vm = id::of(&record.name);
            if vm == own.0 {
                if record.owner != own.1 {
                    self.replaced.insert(record.owner, now);
                }
                continue;
            }
            let peer = self.rows.entry(vm).or_insert_with(|| Peer {
                domain: record.domain,
                gossip_address: record.gossip_address,
                peer_address: None,
                owner: record.owner,
                sequence: 0,
                heard_at: None,
                seen_at: now,
                registered: true,
                draining: false,
                store: false,
                store_since: None,
                rules: 0,
                endpoints: 0,
                jobs: 0,
                waiting: 0,
                backlog: Vec::new(),
            });
            peer.registered = true;
            peer.seen_at = now;
            if peer.heard_at.is_none_or(|at| now >= at + HEARD_LIFE) {
                peer.owner = record.owner;
                peer.gossip_address = record.gossip_address;
            }
        }
    }

    /// Takes a heartbeat; false when it is late or doubled.
    pub fn heard(&mut self, now: Duration, from: SocketAddr, beat: &Heartbeat) -> bool {
        let vm = id::of(&beat.name);
        let known = self.rows.get(&vm);
        let stale = known.is_some_and(|p| p.owner == beat.owner && beat.sequence <= p.sequence);
        if stale {
            return false;
        }
        if let Some(before) = known.filter(|peer| peer.owner != beat.owner) {
            self.replaced.insert(before.owner, now);
        }
        self.replaced.remove(&beat.owner);
        let spoken = known.filter(|peer| peer.owner == beat.owner && peer.lives(now));
        let store_since = spoken.and_then(|peer| peer.store_since).unwrap_or(now);
        let peer = Peer {
            domain: beat.domain,
            gossip_address: from,
            peer_address: Some(SocketAddr::new(from.ip(), beat.peer_port)),
            owner: beat.owner,
            sequence: beat.sequence,
            heard_at: Some(now),
            seen_at: now,
            registered: known.is_some_and(|peer| peer.registered),
            draining: beat.draining,
            store: beat.store,
            store_since: beat.store.then_some(store_since),
            rules: beat.rules,
            endpoints: beat.endpoints,
            jobs: beat.jobs,
            waiting: beat.waiting,
            backlog: beat.backlog.clone(),
        };
        self.rows.insert(vm, peer);
        true
    }

    /// Whether the process that owns something lives, as far as can be told.
    pub fn alive(&self, now: Duration, own: OwnerId, owner: OwnerId) -> bool {
        if owner == own {
            return true;
        }
        let peer = self
            .rows
            .values()
            .find(|peer| peer.owner == owner && owner != 0);
        peer.is_some_and(|peer| peer.registered || peer.lives(now))
    }

    /// Whether a newer process of its VM runs in its place: a VM has one at a time, so this one is gone
    /// for certain, and nobody needs to wait whether it comes back.
    pub fn is_replaced(&self, owner: OwnerId) -> bool {
        self.replaced.contains_key(&owner)
    }

    /// Place of `own` in the order of all VMs that take on work, for a key.
    pub fn rank(&self, now: Duration, own: VmId, key: u64) -> usize {
        let others = self.rows.iter();
        let working = others.filter(|(_, peer)| peer.lives(now) && !peer.draining);
        let vms = working.map(|(vm, _)| *vm).chain([own]);
        let order = ranked(key, vms);
        order.iter().position(|vm| *vm == own).unwrap_or(0)
    }

    /// The process that goes on with a job which this VM hands over; all VMs would choose alike.
    pub fn successor(&self, now: Duration, key: u64) -> Option<OwnerId> {
        let rows = self.rows.iter();
        let fit = rows.filter(|(_, peer)| peer.lives(now) && peer.store && !peer.draining);
        let first = ranked(key, fit.map(|(vm, _)| *vm)).first().copied()?;
        self.rows.get(&first).map(|peer| peer.owner)
    }

    /// Drops VMs that are gone.
    pub fn tick(&mut self, now: Duration) {
        self.rows
            .retain(|_, peer| peer.registered || now < peer.seen_at + FORGET_AFTER);
        self.replaced.retain(|_, at| now < *at + FORGET_AFTER);
    }

    /// Where heartbeats go: the VMs of the own failure domain, or those of the others and whoever is
    /// known by address alone.
    pub fn targets(&self, home: DomainId, near: bool) -> Vec<SocketAddr> {
        let rows = self.rows.values();
        let known = rows.clone().filter(|peer| (peer.domain == home) == near);
        let mut targets: Vec<SocketAddr> = known.map(|peer| peer.gossip_address).collect();
        if !near {
            let unknown = |seed: &&SocketAddr| !rows.clone().any(|p| p.gossip_address == **seed);
            targets.extend(self.seeds.iter().filter(unknown));
        }
        targets
    }

    /// The VM of the own failure domain that watches the metadata store for the others, where it is
    /// not this one: all work it out alike from what they hear, and one that the store turns away is
    /// passed over. `None` as well while two of them think so of themselves, which costs calls only.
    pub fn watcher(&self, now: Duration, own: Own) -> Option<SocketAddr> {
        let rows = self.rows.iter();
        let fit = rows.filter(|(_, peer)| {
            peer.domain == own.domain && peer.lives(now) && peer.store && !peer.draining
        });
        let others = fit.clone().map(|(vm, _)| *vm);
        let vms = others.chain(own.fit.then_some(own.vm));
        let first = ranked(KEY_WATCHER, vms).first().copied()?;
        let (_, peer) = fit.clone().find(|(vm, _)| **vm == first)?;
        peer.peer_address
    }

    /// A living VM that knows newer rules or endpoints than these.
    pub fn ahead(&self, now: Duration, rules: ConfigVersion, endpoints: Revision) -> Ahead {
        let living = || self.rows.values().filter(|peer| peer.lives(now));
        let newest = living().max_by_key(|peer| peer.rules);
        let latest = living().max_by_key(|peer| peer.endpoints);
        Ahead {
            rules: newest
                .filter(|peer| peer.rules > rules)
                .and_then(|peer| peer.peer_address),
            endpoints: latest
                .filter(|peer| peer.endpoints > endpoints)
                .and_then(|peer| peer.peer_address),
        }
    }

    /// A living VM that the metadata store answers: of those, the one heard last.
    pub fn with_store(&self, now: Duration) -> Option<SocketAddr> {
        let living = self.rows.values().filter(|peer| peer.lives(now));
        let reaching = living.filter(|peer| peer.store && !peer.draining);
        reaching
            .max_by_key(|peer| peer.heard_at)
            .and_then(|peer| peer.peer_address)
    }

    /// Whether the metadata store has served a living VM for so long, by all that it said in that time.
    pub fn served_for(&self, now: Duration, time: Duration) -> bool {
        let mut living = self.rows.values().filter(|peer| peer.lives(now));
        living.any(|peer| peer.store_since.is_some_and(|since| now >= since + time))
    }

    /// The newest job record that a living VM has told of.
    pub fn newest_job(&self, now: Duration) -> Revision {
        let living = self.rows.values().filter(|peer| peer.lives(now));
        living.map(|peer| peer.jobs).max().unwrap_or(0)
    }

    /// Where the living process with this owner id answers other VMs.
    pub fn address(&self, now: Duration, owner: OwnerId) -> Option<SocketAddr> {
        let mut living = self.rows.values().filter(|peer| peer.lives(now));
        living
            .find(|peer| peer.owner == owner)
            .and_then(|peer| peer.peer_address)
    }

    /// Whether all registered VMs were heard just now, and none knows a newer job record.
    pub fn none_ahead(&self, now: Duration, jobs: Revision) -> bool {
        let told = |peer: &Peer| {
            let heard = peer.heard_at.is_some_and(|at| now < at + JUST_HEARD);
            heard && peer.jobs <= jobs
        };
        let mut rows = self.rows.values().filter(|peer| peer.registered);
        rows.clone().next().is_some() && rows.all(told)
    }

    /// Living VMs with batch items that wait for a slot.
    pub fn with_waiting(&self, now: Duration) -> Vec<Rival> {
        let rows = self.rows.iter();
        let waiting =
            rows.filter(|(_, peer)| peer.lives(now) && peer.waiting > 0 && !peer.draining);
        let rival = |(vm, peer): (&VmId, &Peer)| Rival {
            vm: *vm,
            domain: peer.domain,
            items: peer.waiting,
        };
        waiting.map(rival).collect()
    }

    /// Whether the process with this owner id says itself what waits for it.
    pub fn tells(&self, now: Duration, owner: OwnerId) -> bool {
        let mut living = self.rows.values().filter(|peer| peer.lives(now));
        living.any(|peer| peer.owner == owner)
    }

    /// Tokens that wait on a route at the other VMs, as those that live last said.
    pub fn backlog(&self, now: Duration, route: RouteKey) -> u64 {
        let living = self.rows.values().filter(|peer| peer.lives(now));
        let told = living.flat_map(|peer| &peer.backlog);
        told.filter(|(of, _)| *of == route)
            .map(|(_, tokens)| tokens)
            .sum()
    }

    /// Other VMs that may let jobs in: whoever is registered or was heard of late.
    pub fn able(&self) -> u32 {
        self.rows.len() as u32
    }

    /// VMs that live, for the dump.
    pub fn living(&self, now: Duration) -> usize {
        self.rows.values().filter(|peer| peer.lives(now)).count()
    }
}

impl Peer {
    fn lives(&self, now: Duration) -> bool {
        self.heard_at.is_some_and(|at| now < at + HEARD_LIFE)
    }
}

/// Whom to ask for what.
pub struct Ahead {
    pub rules: Option<SocketAddr>,
    pub endpoints: Option<SocketAddr>,
}
