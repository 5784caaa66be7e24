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
const WATCH_WAIT_MAX: Duration = Duration::from_secs(10);
/// Time between two reads of the VM list by one delegate. With two delegates, a failure domain
/// makes one read per second.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(2);
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the start during which a VM waits for its peers' versions if the platform is
/// unavailable.
const PEERS_TIMEOUT: Duration = Duration::from_millis(1500);

/// Loads the saved configuration and starts the threads.
pub fn start(node: &Arc<Node>) -> io::Result<()> {
    seed_peers(node);
    node.load_saved_config();
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
    let statuses: Vec<VmStatus> = seeds.map(|address| seed_status(node, *address)).collect();
    let mut state = lock(&node.state);
    let local = state.fleet.status.clone();
    state.fleet.members.apply_vm_list(&local, statuses);
}

fn seed_status(node: &Node, address: SocketAddr) -> VmStatus {
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
    let timeout = WATCH_WAIT_MAX + ms(node.settings.platform_timeout_ms);
    let watcher = Platform::new(&node.settings.platform_address.to_string(), timeout);
    // Set when the bodies of a configuration could not be read: the watch does not report its head
    // again.
    let mut config_missed = false;
    loop {
        let caught_up = node.caught_up.load(Ordering::SeqCst);
        let delegate = lock(&node.state).fleet.is_delegate(clock::now());
        if caught_up && !delegate && !config_missed {
            clock::sleep(RETRY_INTERVAL);
            continue;
        }
        if config_missed {
            config_missed = reread_config(node).is_err();
        }
        let after = lock(&node.state).jobs.revision;
        let wait = if caught_up && !config_missed {
            WATCH_WAIT_MAX
        } else {
            Duration::ZERO
        };
        match watcher.watch(LIVE_PREFIX, after, wait) {
            Ok(changes) => {
                config_missed |= apply_changes(node, changes.revision, changes.entries).is_err();
                if !caught_up && !config_missed {
                    info!("caught up with the platform");
                    node.caught_up.store(true, Ordering::SeqCst);
                }
                if config_missed {
                    clock::sleep(RETRY_INTERVAL);
                }
            }
            Err(error) => {
                node.counters.platform_errors.inc();
                if !caught_up && clock::now() >= started + PEERS_TIMEOUT && node.config().is_some()
                {
                    warn!("starting without the platform ({error}), with the newest configuration held here");
                    node.caught_up.store(true, Ordering::SeqCst);
                }
                clock::sleep(RETRY_INTERVAL);
            }
        }
    }
}

fn apply_changes(node: &Node, revision: Revision, entries: Vec<Entry>) -> Result<(), store::Error> {
    let mut jobs = Vec::new();
    let mut head = Ok(());
    for entry in entries {
        if entry.key == HEAD_KEY {
            head = apply_head(node, &entry.value);
        } else if let Ok(record) = serde_json::from_str::<JobRecord>(&entry.value) {
            jobs.push((entry.revision, record));
        } else {
            warn!(key = entry.key.as_str(); "failed to parse a record");
        }
    }
    let after = lock(&node.state).jobs.revision;
    apply_job_records(node, after, revision, jobs);
    head
}

fn apply_head(node: &Node, text: &str) -> Result<(), store::Error> {
    let head = store::parse_head(text)?;
    let state = store::read_state(&node.platform, &head).inspect_err(|error| {
        warn!("failed to read the configuration: {error}");
    })?;
    node.apply_config(Versioned { head, state });
    Ok(())
}

fn reread_config(node: &Node) -> Result<(), store::Error> {
    if let Some((_, versioned)) = store::read(&node.platform)? {
        node.apply_config(versioned);
    }
    Ok(())
}

/// Applies all job records that changed between two revisions.
pub fn apply_job_records(
    node: &Node,
    after: Revision,
    revision: Revision,
    records: Vec<(Revision, JobRecord)>,
) {
    let mut state = lock(&node.state);
    for (revision, record) in records {
        state.jobs.insert_newer(revision, record);
    }
    // `revision` advances only without a gap: changes inside a gap would never be read.
    if after <= state.jobs.revision && revision > state.jobs.revision {
        state.jobs.revision = revision;
        state.fleet.status.jobs = revision;
        state.fleet.send_now();
        node.push_jobs(&state);
    }
}

fn list_loop(node: &Arc<Node>) {
    let mut first = true;
    loop {
        let delegate = lock(&node.state).fleet.is_delegate(clock::now());
        if first || delegate {
            if let Ok(vms) = node.platform.vms() {
                first = false;
                let statuses: Vec<VmStatus> = vms.iter().filter_map(listed_status).collect();
                let mut state = lock(&node.state);
                let local = state.fleet.status.clone();
                state.fleet.members.apply_vm_list(&local, statuses);
            }
        }
        clock::sleep(VM_LIST_INTERVAL);
    }
}

fn listed_status(vm: &ListedVm) -> Option<VmStatus> {
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
