//! Follows the platform: configuration, job records, and the list of VMs.
//!
//! Only the delegates of a failure domain watch the platform; the other VMs learn changes from
//! them.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use log::{info, warn};

use super::node::Node;
use crate::clock;
use crate::config::store::{self, HEAD_KEY, LIVE_PREFIX};
use crate::config::Versioned;
use crate::decide::jobs::JobRecord;
use crate::decide::members::VmStatus;
use crate::id::{self, Revision};
use crate::platform::{Entry, ListedVm, Platform};
use crate::settings::ms;
use crate::util::lock;

/// Longest time that one watch call waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Time between two reads of the VM list by one delegate. With two delegates, a failure domain
/// makes one read per second.
const LIST_PAUSE: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(200);
/// Time after the start during which a VM waits for its peers' versions if the platform is
/// unavailable.
const PEERS_PATIENCE: Duration = Duration::from_millis(1500);

/// Loads the saved configuration and starts the threads.
pub fn start(node: &Arc<Node>) -> io::Result<()> {
    seed_peers(node);
    node.take_kept();
    let watching = node.clone();
    thread::Builder::new()
        .name("watch".into())
        .spawn(move || watch_loop(&watching))?;
    let listing = node.clone();
    thread::Builder::new()
        .name("list".into())
        .spawn(move || list_loop(&listing))?;
    Ok(())
}

/// Adds the VMs named in the settings, so that heartbeats go to them before their status is known.
fn seed_peers(node: &Node) {
    let seeds = node.settings.peers.iter();
    let cards: Vec<VmStatus> = seeds.map(|address| seed_card(node, *address)).collect();
    let mut core = lock(&node.core);
    let own = core.fleet.card.clone();
    core.fleet.members.apply_vm_list(&own, cards);
}

fn seed_card(node: &Node, address: SocketAddr) -> VmStatus {
    let name = format!("seed-{address}");
    VmStatus {
        vm: id::of(&name),
        name: name.into(),
        domain: id::of(&node.settings.failure_domain),
        gossip_address: address,
        peer_address: address,
        incarnation: 0,
        leaving: false,
        batch: 0,
        config: 0,
        jobs: 0,
    }
}

fn watch_loop(node: &Arc<Node>) {
    let started = clock::now();
    // A watch call takes longer than other calls.
    let timeout = WATCH_WAIT + ms(node.settings.platform_timeout_ms);
    let watcher = Platform::new(&node.settings.platform_address.to_string(), timeout);
    // Set when the bodies of a configuration could not be read: the watch does not report its head
    // again.
    let mut behind = false;
    loop {
        let caught_up = node.caught_up.load(Ordering::SeqCst);
        let delegate = lock(&node.core).fleet.is_delegate(clock::now());
        if caught_up && !delegate && !behind {
            clock::sleep(PAUSE);
            continue;
        }
        if behind {
            behind = read_again(node).is_err();
        }
        let after = lock(&node.core).jobs.revision;
        let wait = if caught_up && !behind {
            WATCH_WAIT
        } else {
            Duration::ZERO
        };
        match watcher.watch(LIVE_PREFIX, after, wait) {
            Ok(changes) => {
                behind |= take_changes(node, changes.revision, changes.entries).is_err();
                if !caught_up && !behind {
                    info!("caught up with the platform");
                    node.caught_up.store(true, Ordering::SeqCst);
                }
                if behind {
                    clock::sleep(PAUSE);
                }
            }
            Err(error) => {
                node.counters.platform_errors.inc();
                if !caught_up && clock::now() >= started + PEERS_PATIENCE && node.plan().is_some() {
                    warn!("starting without the platform ({error}), as the peers say");
                    node.caught_up.store(true, Ordering::SeqCst);
                }
                clock::sleep(PAUSE);
            }
        }
    }
}

fn take_changes(node: &Node, revision: Revision, entries: Vec<Entry>) -> Result<(), store::Error> {
    let mut jobs = Vec::new();
    let mut head = Ok(());
    for entry in entries {
        if entry.key == HEAD_KEY {
            head = take_head(node, &entry.value);
        } else if let Ok(record) = serde_json::from_str::<JobRecord>(&entry.value) {
            jobs.push((entry.revision, record));
        } else {
            warn!(key = entry.key.as_str(); "a record can't be read");
        }
    }
    let after = lock(&node.core).jobs.revision;
    take_jobs(node, after, revision, jobs);
    head
}

fn take_head(node: &Node, text: &str) -> Result<(), store::Error> {
    let head = store::parse_head(text)?;
    let state = store::read_state(&node.platform, &head).inspect_err(|error| {
        warn!("the configuration could not be read: {error}");
    })?;
    node.adopt(Versioned { head, state });
    Ok(())
}

fn read_again(node: &Node) -> Result<(), store::Error> {
    if let Some((_, versioned)) = store::read(&node.platform)? {
        node.adopt(versioned);
    }
    Ok(())
}

/// Applies all job records that changed between two revisions.
pub fn take_jobs(
    node: &Node,
    after: Revision,
    revision: Revision,
    records: Vec<(Revision, JobRecord)>,
) {
    let mut core = lock(&node.core);
    for (revision, record) in records {
        core.jobs.take(revision, record);
    }
    // `revision` advances only without a gap: changes inside a gap would never be read.
    if after <= core.jobs.revision && revision > core.jobs.revision {
        core.jobs.revision = revision;
        core.fleet.card.jobs = revision;
        core.fleet.send_now();
        node.push_jobs(&core);
    }
}

fn list_loop(node: &Arc<Node>) {
    let mut first = true;
    loop {
        let delegate = lock(&node.core).fleet.is_delegate(clock::now());
        if first || delegate {
            if let Ok(vms) = node.platform.vms() {
                first = false;
                let cards: Vec<VmStatus> = vms.iter().filter_map(card_of).collect();
                let mut core = lock(&node.core);
                let own = core.fleet.card.clone();
                core.fleet.members.apply_vm_list(&own, cards);
            }
        }
        clock::sleep(LIST_PAUSE);
    }
}

fn card_of(vm: &ListedVm) -> Option<VmStatus> {
    Some(VmStatus {
        vm: id::of(&vm.name),
        name: vm.name.clone(),
        domain: id::of(&vm.failure_domain),
        gossip_address: vm.gossip_address.parse().ok()?,
        peer_address: vm.peer_address.parse().ok()?,
        incarnation: 0,
        leaving: vm.leaving,
        batch: 0,
        config: 0,
        jobs: 0,
    })
}
