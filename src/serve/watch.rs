//! Follows the metadata store: rules, endpoints, jobs, the other VMs.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

use super::jobs::decode;
use super::node::Node;
use super::retire::retire;
use crate::clock;
use crate::decide::discovery::Registration;
use crate::decide::peers::VmRecord;
use crate::decide::small_jobs::{record_key, RECORDS};
use crate::id::{self, EndpointId, JobId, Revision};
use crate::store::{Call, Change, Error, Item, Reply};
use crate::util;

/// Longest wait of one watch. It doesn't bound how late news may be: a connection that has gone
/// silent is found out by the renewals of the registration, which fail with it, and by the versions
/// that other VMs tell.
const WAIT: Duration = Duration::from_secs(15);
/// Pause after a call that failed, drawn from here to three times that, so that all VMs together
/// stay below the store's rates while it is away.
const FAILED_PAUSE: Duration = Duration::from_millis(150);
/// Time after a failure by which the store's watches hear again.
const CONFIRM: Duration = Duration::from_millis(1200);
/// Job records change several times a second; a watch that is set anew so much later brings several
/// changes in one answer. Someone reads results here, and waits for them.
const JOBS_PACE_READ: Duration = Duration::from_millis(500);
/// The same while nobody reads: claims and ends of jobs have seconds.
const JOBS_PACE: Duration = Duration::from_millis(1500);
/// Prefix of the VMs' registrations.
pub const VMS: &str = "small/vm/";

/// What a follower is told.
enum News {
    /// All that stands.
    All(Vec<Item>),
    Changes(Vec<Change>),
}

/// Follows one prefix until the process ends.
///
/// The failure: a store that is about to drop its history tells its watches nothing for a second, then
/// cuts them, and what changes meanwhile is told to nobody. A watch that goes on from where it stood,
/// or is set anew within that second, stays behind for as long as it waits. So all is read after a
/// failure, and once more when that second is over.
async fn follow(
    node: Rc<Node>,
    prefix: &'static str,
    pace: fn(&Node) -> Duration,
    mut take: impl FnMut(&Node, News, Revision),
) {
    let mut at: Option<Revision> = None;
    let mut away = false;
    // When all is read once more after a failure.
    let mut confirm_at: Option<Duration> = None;
    loop {
        let now = clock::now();
        if confirm_at.is_some_and(|due| now >= due) {
            confirm_at = None;
            at = None;
        }
        let wait = confirm_at.map_or(WAIT, |due| due.saturating_sub(now).min(WAIT));
        let told = match at {
            None => node
                .store
                .range(prefix)
                .await
                .map(|(items, at)| (News::All(items), at)),
            Some(after) => match watch(&node, prefix, after, wait).await {
                Ok(Some(told)) => Ok(told),
                Ok(None) => {
                    at = None;
                    confirm_at = Some(clock::now() + CONFIRM);
                    continue;
                }
                Err(error) => Err(error),
            },
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
                confirm_at = Some(clock::now() + CONFIRM);
                node.store_failed();
                let pause = FAILED_PAUSE.mul_f64(util::rng().random_range(1.0..3.0));
                sleep(pause).await;
            }
        }
    }
}

/// One watch, for as long as `wait`; `None` when it was given up because other calls on the store fail.
async fn watch(
    node: &Node,
    prefix: &str,
    after: Revision,
    wait: Duration,
) -> Result<Option<(News, Revision)>, Error> {
    let call = Call::Watch {
        prefix: prefix.into(),
        after,
        wait,
    };
    let told = tokio::select! {
        told = node.store.call(call) => told?,
        () = node.watch_again.notified() => return Ok(None),
    };
    match told {
        Reply::Changes { changes, at } => Ok(Some((News::Changes(changes), at))),
        other => Err(Error::Unknown {
            detail: format!("a reply of another kind: {other:?}"),
        }),
    }
}

/// The rules, and requests to empty VMs.
pub async fn operators(node: Rc<Node>) {
    let prefix = node.dialect.keys.operators;
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
            Ok(rules) => node.take_rules(rules, "store"),
            // The rules in force stay in force.
            Err(error) => log::error!(key = item.key, error; "rules can't be read"),
        }
    } else if let Some(vm) = item.key.strip_prefix(keys.retire) {
        retire(node, vm);
    }
}

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

fn entry(node: &Node, item: &Item) -> Option<(EndpointId, Registration, Revision)> {
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
                let gone = |id: &JobId| {
                    let key = record_key(id);
                    !items.iter().any(|item| item.key == key)
                };
                let missing: Vec<JobId> = core
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
    let mut known: HashMap<String, VmRecord> = HashMap::new();
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
