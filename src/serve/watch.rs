//! Follows the metadata store: rules, endpoints, jobs, the other VMs; keeps this VM registered.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

use super::dialect::VmRecord;
use super::jobs::{decode, encode, write};
use super::node::Node;
use crate::clock;
use crate::decide::small_jobs::RECORDS;
use crate::id::{self, Revision};
use crate::store::{Call, Change, Error, Item, Reply, Txn};
use crate::util;

/// Longest wait of one watch. It doesn't bound how late news may be: a connection that has gone
/// silent is found out by the renewals of the registration, which fail with it, and by the versions
/// that other VMs tell.
const WAIT: Duration = Duration::from_secs(15);
/// Pause after a call that failed, drawn from here to three times that, so that all VMs together
/// stay below the store's rates while it is away.
const FAILED_PAUSE: Duration = Duration::from_millis(150);
/// Job records change several times a second; a watch that is set anew so much later brings several
/// changes in one answer. Someone reads results here, and waits for them.
const JOBS_PACE_READ: Duration = Duration::from_millis(500);
/// The same while nobody reads: claims and ends of jobs have seconds.
const JOBS_PACE: Duration = Duration::from_millis(1500);
/// A watch that was given up because other calls on the store fail.
const DOUBTED: &str = "other calls on the store fail";
/// Prefix of the VMs' registrations.
const VMS: &str = "small/vm/";
/// Life of a registration. Its lapse is what lets other VMs take over, so it is short beside the
/// time that a batch job has; three renewals fit into it.
const LEASE: Duration = Duration::from_secs(3);
/// Time between two renewals.
const RENEW: Duration = Duration::from_millis(900);

/// What a follower is told.
enum News {
    /// All that stands.
    All(Vec<Item>),
    Changes(Vec<Change>),
}

/// Follows one prefix until the process ends.
async fn follow(
    node: Rc<Node>,
    prefix: &'static str,
    pace: fn(&Node) -> Duration,
    mut take: impl FnMut(&Node, News, Revision),
) {
    let mut at: Option<Revision> = None;
    let mut away = false;
    loop {
        let told = match at {
            None => node
                .store
                .range(prefix)
                .await
                .map(|(items, at)| (News::All(items), at)),
            Some(after) => watch(&node, prefix, after).await,
        };
        match told {
            Ok((news, revision)) => {
                if away {
                    log::info!(prefix, revision; "the store is back");
                    away = false;
                }
                let quiet = matches!(&news, News::Changes(changes) if changes.is_empty());
                take(&node, news, revision);
                at = Some(revision);
                if !quiet {
                    sleep(pace(&node)).await;
                }
            }
            // What changed meanwhile may be missing from what a new watch is told: a store that is
            // about to drop its history tells waiting watches nothing of it.
            Err(Error::Away { detail }) if detail == DOUBTED => at = None,
            Err(Error::Compacted) => {
                log::info!(prefix; "the store has dropped its history: reading all again");
                at = None;
            }
            Err(error) => {
                if !away {
                    log::warn!(prefix, error:% = error; "the store is away");
                    away = true;
                }
                at = None;
                node.store_failed();
                let pause = FAILED_PAUSE.mul_f64(util::rng().random_range(1.0..3.0));
                sleep(pause).await;
            }
        }
    }
}

async fn watch(node: &Node, prefix: &str, after: Revision) -> Result<(News, Revision), Error> {
    let call = Call::Watch {
        prefix: prefix.into(),
        after,
        wait: WAIT,
    };
    let told = tokio::select! {
        told = node.store.call(call) => told?,
        () = node.watch_again.notified() => {
            return Err(Error::Away { detail: DOUBTED.into() });
        }
    };
    match told {
        Reply::Changes { changes, at } => Ok((News::Changes(changes), at)),
        other => Err(Error::Unknown {
            detail: format!("a reply of another kind: {other:?}"),
        }),
    }
}

/// The rules, and requests to empty VMs.
pub async fn operators(node: Rc<Node>, prefix: &'static str) {
    let take = |node: &Node, news: News, _| {
        let items: Vec<Item> = match news {
            News::All(items) => items,
            News::Changes(changes) => changes.into_iter().filter_map(written).collect(),
        };
        for item in items {
            operators_item(node, &item);
        }
    };
    follow(node, prefix, at_once, take).await;
}

fn at_once(_: &Node) -> Duration {
    Duration::ZERO
}

fn written(change: Change) -> Option<Item> {
    match change {
        Change::Written(item) => Some(item),
        Change::Deleted { .. } => None,
    }
}

fn operators_item(node: &Node, item: &Item) {
    let keys = node.dialect.keys;
    if item.key == keys.rules {
        match (node.dialect.rules)(&item.value) {
            Ok(rules) => {
                node.take_rules(rules, "store");
            }
            // The rules in force stay in force.
            Err(error) => log::error!(key = item.key, error; "rules can't be read"),
        }
    } else if let Some(vm) = item.key.strip_prefix(keys.retire) {
        retire(node, vm);
    }
}

/// Answers a request to empty a VM with a disk. All that must last lies in the metadata store, so
/// such a VM never holds anything that has to be moved. The first VM in line says so, and the
/// others after a pause if it has not.
fn retire(node: &Node, vm: &str) {
    let rank = node
        .core
        .borrow()
        .peers
        .rank(clock::now(), node.vm, id::of(vm));
    let key = format!("{}{vm}", node.dialect.keys.retire_status);
    let value = (node.dialect.retired)();
    let store = node.store.clone();
    let vm = vm.to_owned();
    tokio::task::spawn_local(async move {
        sleep(RETIRE_STEP * rank as u32).await;
        for _ in 0..RETIRE_TRIES {
            let expect = match store.get(&key).await {
                Ok(Some(item)) if item.value == value => return,
                Ok(found) => found.map_or(0, |item| item.revision),
                Err(error) => {
                    log::warn!(vm, error:% = error; "a VM's request to be emptied has to wait");
                    sleep(RETIRE_STEP).await;
                    continue;
                }
            };
            let txn = Txn {
                expect: vec![(key.clone(), expect)],
                writes: vec![write(key.clone(), value.clone())],
                deletes: Vec::new(),
            };
            match store.call(Call::Commit(txn)).await {
                Ok(_) => log::info!(vm, rank; "the VM holds nothing"),
                Err(error) => log::warn!(vm, error:% = error; "the VM's state can't be written"),
            }
        }
    });
}

/// By then the one before has written, or will not.
const RETIRE_STEP: Duration = Duration::from_millis(300);
/// Tries to say that a VM is empty; over a minute of an outage of the store.
const RETIRE_TRIES: usize = 200;

/// The endpoints.
pub async fn endpoints(node: Rc<Node>) {
    let prefix = node.dialect.keys.endpoints;
    let take = |node: &Node, news: News, revision| {
        let now = clock::now();
        let changed = match news {
            News::All(items) => {
                let entries: Vec<_> = items.iter().filter_map(|item| entry(node, item)).collect();
                node.core
                    .borrow_mut()
                    .discovery
                    .replaced(now, entries, revision)
            }
            News::Changes(changes) => {
                let changed = changes.iter().filter(|change| endpoint(node, now, change));
                changed.count() > 0
            }
        };
        if changed {
            node.take_endpoints("store");
        }
    };
    follow(node, prefix, at_once, take).await;
}

fn entry(
    node: &Node,
    item: &Item,
) -> Option<(
    id::EndpointId,
    crate::decide::discovery::Registration,
    Revision,
)> {
    let name = item.key.strip_prefix(node.dialect.keys.endpoints)?;
    match (node.dialect.registration)(name, &item.value) {
        Ok(registration) => Some((id::of(name), registration, item.revision)),
        Err(error) => {
            log::error!(key = item.key, error; "an endpoint's entry can't be read");
            None
        }
    }
}

/// Takes one change of an endpoint's entry; true when it matters.
fn endpoint(node: &Node, now: Duration, change: &Change) -> bool {
    match change {
        Change::Written(item) => {
            let Some((id, registration, revision)) = entry(node, item) else {
                return false;
            };
            let mut core = node.core.borrow_mut();
            core.discovery.written(id, registration, revision)
        }
        Change::Deleted { key, revision } => {
            let name = key.strip_prefix(node.dialect.keys.endpoints).unwrap_or(key);
            let mut core = node.core.borrow_mut();
            core.discovery.removed(now, id::of(name), *revision)
        }
    }
}

/// The records of batch jobs.
pub async fn jobs(node: Rc<Node>) {
    let take = |node: &Node, news: News, revision| {
        let now = clock::now();
        let mut core = node.core.borrow_mut();
        let items: Vec<Item> = match news {
            News::All(items) => {
                let gone = |id: &id::JobId| {
                    let key = crate::decide::small_jobs::record_key(id);
                    !items.iter().any(|item| item.key == key)
                };
                let missing: Vec<id::JobId> = core
                    .jobs
                    .rows
                    .keys()
                    .filter(|id| gone(id))
                    .cloned()
                    .collect();
                // What was accepted after the page was read is newer than the page.
                missing.iter().for_each(|id| {
                    if core.jobs.rows[id].confirmed_at + WAIT < now {
                        core.jobs.rows.remove(id);
                    }
                });
                items
            }
            News::Changes(changes) => {
                for change in &changes {
                    if let Change::Deleted { key, .. } = change {
                        let id = key.strip_prefix(RECORDS).unwrap_or(key);
                        core.jobs.rows.remove(id);
                    }
                }
                changes.into_iter().filter_map(written).collect()
            }
        };
        for item in items {
            if let Some(record) = decode(&item.key, &item.value) {
                core.jobs.take(now, record, item.revision);
            }
        }
        core.jobs.watched = revision;
        drop(core);
        node.plan_items.notify_one();
    };
    let pace = |node: &Node| match node.core.borrow().jobs.readers {
        0 => JOBS_PACE,
        _ => JOBS_PACE_READ,
    };
    follow(node, RECORDS, pace, take).await;
}

/// The registrations of the other VMs.
pub async fn vms(node: Rc<Node>) {
    let mut known: std::collections::HashMap<String, VmRecord> = Default::default();
    let take = move |node: &Node, news: News, _| {
        match news {
            News::All(items) => {
                let keys: Vec<String> = items.iter().map(|item| item.key.clone()).collect();
                known.retain(|key, _| keys.contains(key));
                known.extend(items.iter().filter_map(vm_record));
            }
            News::Changes(changes) => {
                for change in changes {
                    match change {
                        Change::Written(item) => known.extend(vm_record(&item)),
                        Change::Deleted { key, .. } => {
                            known.remove(&key);
                        }
                    }
                }
            }
        }
        let records: Vec<VmRecord> = known.values().cloned().collect();
        let mut core = node.core.borrow_mut();
        core.peers.registered(clock::now(), node.vm, &records);
        drop(core);
        node.plan_items.notify_one();
    };
    follow(node, VMS, at_once, take).await;
}

fn vm_record(item: &Item) -> Option<(String, VmRecord)> {
    match serde_json::from_slice(&item.value) {
        Ok(record) => Some((item.key.clone(), record)),
        Err(error) => {
            log::error!(key = item.key, error:% = error; "a VM's record can't be read");
            None
        }
    }
}

/// Keeps this VM registered under a lease until the process drains.
pub async fn register(node: Rc<Node>) {
    let key = format!("{VMS}{}", node.settings.name);
    let record = VmRecord {
        name: node.settings.name.clone(),
        owner: node.owner,
        gossip_address: node.settings.gossip_address,
    };
    let value = encode(&record);
    let mut lease = 0;
    loop {
        let kept = match lease {
            0 => Err(Error::NoLease),
            lease => node.store.call(Call::Renew(lease)).await.map(|_| lease),
        };
        let outcome = match kept {
            Err(Error::NoLease) => enter(&node, &key, &value).await,
            other => other,
        };
        match outcome {
            Ok(held) => lease = held,
            Err(Error::NoLease) => lease = 0,
            Err(error) => {
                log::info!(error:% = error; "the registration could not be renewed");
                node.store_failed();
            }
        }
        sleep(RENEW).await;
    }
}

async fn enter(node: &Node, key: &str, value: &bytes::Bytes) -> Result<id::Revision, Error> {
    let Reply::Granted(lease) = node.store.call(Call::Grant { ttl: LEASE }).await? else {
        return Err(Error::NoLease);
    };
    let standing = node.store.get(key).await?;
    let expect = standing.map_or(0, |item| item.revision);
    let mut own = write(key.to_owned(), value.clone());
    own.lease = lease;
    let txn = Txn {
        expect: vec![(key.to_owned(), expect)],
        writes: vec![own],
        deletes: Vec::new(),
    };
    match node.store.call(Call::Commit(txn)).await? {
        Reply::Committed(revision) => {
            log::info!(lease, revision; "registered");
            Ok(lease)
        }
        _ => Err(Error::NoLease),
    }
}
