//! Follows the records of batch jobs and of VMs: one VM of a failure domain watches the metadata
//! store, and the others follow that VM.
//!
//! A job's record changes with every listing of results, and every VM needs all of them to answer
//! readers. If each VM watched the store, its calls would grow with VMs times listings; this way
//! they grow with failure domains.
//!
//! The followed VM may be frozen, slow or cut off from the store. A VM that runs jobs therefore asks
//! the store itself when the last confirmation that reached it is too old.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use super::ask::{ask, reply};
use super::job_table::{decode, Job};
use super::jobs::encode;
use super::node::{Core, Node};
use super::refreshing::{ask_store, ask_store_once};
use super::replies::{self, Reply};
use super::runs;
use super::watch::{self, follow, FollowedPrefix, StoreUpdate, WatchAnswer};
use crate::clock;
use crate::decide::freshness::StoreSubject;
use crate::decide::peers::VmRecord;
use crate::decide::small_jobs::{record_key, RECORD_PREFIX};
use crate::id::Revision;
use crate::store::{Change, Error, Item};

/// Path under which the watching VM is asked for changes; the revision and the wait follow.
pub const PATH: &str = "/live/";
/// Pause of a watching VM before it sets its watch anew: what changes within it comes in one answer
/// of the store.
const WATCHER_INTERVAL: Duration = Duration::from_millis(300);
/// Pause of a following VM between two requests to the watching one while a caller reads results
/// here. The two pauses together stay below the time that a reader waits for this VM to catch up.
const FOLLOW_INTERVAL_WITH_READERS: Duration = Duration::from_millis(200);
/// The same while no caller reads: claims and ends of jobs may take seconds.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(1000);
/// Longest wait of one request to the watching VM: longer than the time between two of its
/// confirmations, each of which ends the wait.
const WAIT_MAX: Duration = Duration::from_millis(2200);
/// Time that the answer may take beyond the wait before the VM counts as gone.
const ANSWER_MARGIN: Duration = Duration::from_millis(600);
/// Time between two checks of a following VM: whether it still follows the same one, and whether it
/// has to ask the store itself.
const FOLLOWED_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a call on the store that failed while another VM is followed.
const REFRESH_RETRY_AFTER: Duration = Duration::from_millis(900);
/// Time for which a VM that did not answer is not asked again; by then its heartbeats have shown
/// whether it lives.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A watch that lacks for this long what another VM has reported is taken for dead. A working one
/// is late by its pause of 0.3 s, an answer of a slow store (0.4 s) and the network.
const SILENT_WATCH_AFTER: Duration = Duration::from_secs(1);
/// Time between two comparisons with the revisions that the other VMs report.
const SILENT_WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The followed keys.
const FOLLOWED: FollowedPrefix = FollowedPrefix {
    subject: StoreSubject::Live,
    prefix: "small/live/",
};
/// Key prefix of the VMs' registrations.
pub const VMS: &str = "small/live/vm/";
/// Deleted keys that are remembered for the VMs that follow this one. A follower that comes back
/// after more deletions keeps rows too long, which costs memory only.
const DELETED_KEYS_MAX: usize = 4096;

/// State of the followed keys, apart from the jobs and the other VMs themselves.
#[derive(Default)]
pub struct Live {
    /// Whether all keys were read at least once.
    read: bool,
    /// VMs' registrations by key.
    vms: HashMap<String, (VmRecord, Revision)>,
    /// The latest deleted keys, the oldest first.
    deleted: VecDeque<(Revision, String)>,
    /// A VM that did not answer, and until when it is not asked.
    unanswered: Option<(SocketAddr, Duration)>,
}

impl Live {
    /// Whether the VMs' registrations have been read since the process started.
    pub fn is_read(&self) -> bool {
        self.read
    }

    fn note_deleted(&mut self, key: &str, revision: Revision) {
        self.deleted.push_back((revision, key.to_owned()));
        if self.deleted.len() > DELETED_KEYS_MAX {
            self.deleted.pop_front();
        }
    }
}

/// The answer of the watching VM.
#[derive(Debug, Serialize, Deserialize)]
struct Changes {
    changes: Vec<Change>,
    at: Revision,
    /// Age of the store's last confirmation to that VM that these are all changes.
    proof_age_ms: Option<u64>,
}

/// Follows the records until the process ends.
pub async fn run(node: Rc<Node>) {
    let interval = |node: &Node| {
        let followed = followed_vm(node);
        let core = node.core.borrow();
        match (followed, core.jobs.readers) {
            (None, _) => WATCHER_INTERVAL,
            (Some(_), 0) => follow_interval(&core),
            // In a large fleet readers are answered by the jobs' owners.
            (Some(_), _) if core.peers.is_large() => follow_interval(&core),
            (Some(_), _) => FOLLOW_INTERVAL_WITH_READERS,
        }
    };
    let ask = async |node: &Rc<Node>, at: Option<Revision>, wait: Duration| match followed_vm(node)
    {
        Some(watcher) => ask_watcher(node, watcher, at, wait).await,
        // The fleet has just started, and its delegates have not been heard yet.
        None if watch::is_starting(node) => watch::wait_for_delegates().await,
        None => ask_store(node, FOLLOWED, at, wait).await,
    };
    follow(node, FOLLOWED, interval, ask, apply_update).await;
}

/// Pause of a following VM without readers. It ends in time to receive the watching VM's next
/// confirmation before this VM has to ask the store itself.
fn follow_interval(core: &Core) -> Duration {
    let due_in = core.freshness.followed_refresh_due_in(clock::now());
    let before_due = due_in.saturating_sub(FOLLOW_INTERVAL_WITH_READERS);
    before_due.clamp(FOLLOW_INTERVAL_WITH_READERS, FOLLOW_INTERVAL)
}

/// Asks the store for changes when the followed VM has brought no confirmation for too long, until
/// the process ends.
///
/// Without this, the items of a cancelled job run on here while the followed VM is frozen with its
/// connections open, is slow, or is cut off from the store and answers that nothing has changed.
pub async fn refresh_followed(node: Rc<Node>) {
    loop {
        sleep(FOLLOWED_CHECK_INTERVAL).await;
        if !is_refresh_due(&node) {
            continue;
        }
        let revision = node.core.borrow().jobs.watched_revision;
        let age_ms = node.confirmation_age_ms(StoreSubject::Live);
        log::info!(revision, age_ms; "the followed VM confirms nothing: asking the store");
        node.counters.followed_refreshes.inc();
        match ask_store_once(&node, FOLLOWED, revision).await {
            Ok(answer) => {
                let asked_at = answer.asked_at;
                apply_update(&node, answer);
                if let Some(asked_at) = asked_at {
                    node.confirm(StoreSubject::Live, asked_at);
                }
            }
            Err(error) => {
                log::info!(error:% = error; "the store did not confirm the job records");
                sleep(REFRESH_RETRY_AFTER).await;
            }
        }
    }
}

/// Whether this VM runs jobs, follows another VM, and has had no confirmation for too long.
fn is_refresh_due(node: &Node) -> bool {
    if !runs::busy(node) || followed_vm(node).is_none() {
        return false;
    }
    let core = node.core.borrow();
    core.live.is_read()
        && core
            .freshness
            .followed_refresh_due_in(clock::now())
            .is_zero()
}

/// Sets the watches anew when other VMs have newer job records than these have delivered, until the
/// process ends.
///
/// Without this, a watch whose connection is silent while all other calls succeed goes unnoticed: a
/// caller cancels a job at another VM, and its items run on here for up to half a minute. The
/// heartbeats of the other VMs carry the newest revision that they have.
pub async fn detect_silent_watch(node: Rc<Node>) {
    // A revision that other VMs had reported, and when. Later revisions don't replace it, since
    // they say nothing of the watch.
    let mut awaited: Option<(Revision, Duration)> = None;
    loop {
        sleep(SILENT_WATCH_CHECK_INTERVAL).await;
        let now = clock::now();
        let (newest, watched) = {
            let core = node.core.borrow();
            (
                core.peers.newest_job_revision(now),
                core.jobs.watched_revision,
            )
        };
        // A VM that follows another one is as late as that one, which checks its own watch.
        if newest <= watched || followed_vm(&node).is_some() {
            awaited = None;
            continue;
        }
        let (revision, since) = *awaited.get_or_insert((newest, now));
        if revision <= watched {
            awaited = Some((newest, now));
        } else if now >= since + SILENT_WATCH_AFTER {
            log::info!(told = revision, watched; "the watches are set anew: another VM knows more");
            node.restart_watches.notify_waiters();
            awaited = None;
        }
    }
}

/// The VM that this one follows; `None` for the store.
fn followed_vm(node: &Node) -> Option<SocketAddr> {
    let now = clock::now();
    let own = node.local_vm();
    let core = node.core.borrow();
    let watcher = core.peers.watching_vm(now, own)?;
    let unanswered = core.live.unanswered;
    let may_ask = unanswered.is_none_or(|(vm, until)| vm != watcher || now >= until);
    may_ask.then_some(watcher)
}

async fn ask_watcher(
    node: &Rc<Node>,
    watcher: SocketAddr,
    at: Option<Revision>,
    wait: Duration,
) -> Result<Option<WatchAnswer>, Error> {
    let wait = wait.min(WAIT_MAX);
    let path = format!("{PATH}{}/{}", at.unwrap_or(0), wait.as_millis());
    let asked = ask::<Changes>(node, watcher, &path, Vec::new(), wait + ANSWER_MARGIN);
    let answer = tokio::select! {
        answer = asked => answer,
        () = until_replaced(node, watcher) => {
            log::info!(watcher:% = watcher; "another VM is followed");
            return Ok(at.map(no_changes));
        }
    };
    match answer {
        Ok(received) => {
            if let Some(age_ms) = received.proof_age_ms {
                let age = Duration::from_millis(age_ms);
                let mut core = node.core.borrow_mut();
                core.freshness
                    .confirm_by_peer_at(StoreSubject::Live, clock::now(), age);
            }
            Ok(Some(WatchAnswer {
                update: StoreUpdate::Relayed(received.changes),
                at: received.at,
                asked_at: None,
            }))
        }
        Err(error) => {
            log::info!(watcher:% = watcher, error:% = error; "the watching VM did not answer");
            let until = clock::now() + UNANSWERED_RETRY_AFTER;
            node.core.borrow_mut().live.unanswered = Some((watcher, until));
            // Read again in whole from the store: the watching VM may have missed changes before it
            // failed.
            ask_store(node, FOLLOWED, None, wait).await
        }
    }
}

/// Waits until this VM no longer follows `watcher`.
async fn until_replaced(node: &Node, watcher: SocketAddr) {
    while followed_vm(node) == Some(watcher) {
        sleep(FOLLOWED_CHECK_INTERVAL).await;
    }
}

/// An answer that confirms nothing, from which the next VM or the store continues.
fn no_changes(at: Revision) -> WatchAnswer {
    WatchAnswer {
        update: StoreUpdate::Relayed(Vec::new()),
        at,
        asked_at: None,
    }
}

/// Answers a VM that follows this one: at once when there are changes or the store has confirmed
/// that there are none, else within the wait.
pub async fn answer(node: &Node, path: &str) -> Reply {
    let asked = path
        .strip_prefix(PATH)
        .and_then(|path| path.split_once('/'));
    let number = |text: &str| text.parse::<u64>().ok();
    let numbers = asked.and_then(|(after, wait)| number(after).zip(number(wait)));
    let Some((after, wait_ms)) = numbers else {
        return replies::empty(400);
    };
    let until = clock::now() + Duration::from_millis(wait_ms).min(WAIT_MAX);
    let confirmed_at = || {
        let core = node.core.borrow();
        core.freshness
            .confirmed_by_local_call_at(StoreSubject::Live)
    };
    let confirmed_before = confirmed_at();
    loop {
        let (changes, changed) = {
            let core = node.core.borrow();
            // This VM has not read all records yet, or its view is stale.
            if core.jobs.watched_revision == 0 || is_behind(&core) {
                return replies::empty(503);
            }
            (changes_after(node, after), core.jobs.changed.clone())
        };
        let left = until.saturating_sub(clock::now());
        let is_confirmed = confirmed_at() > confirmed_before;
        if !changes.changes.is_empty() || is_confirmed || left.is_zero() {
            return reply(node.key.seal(&changes));
        }
        // After a timeout the loop checks again as after a change.
        let _ = timeout(left, changed.notified()).await;
    }
}

fn is_behind(core: &Core) -> bool {
    let now = clock::now();
    let failed_for = core.discovery.store_failed_for(now);
    core.freshness.is_live_stale(now, failed_for)
}

fn changes_after(node: &Node, after: Revision) -> Changes {
    let core = node.core.borrow();
    let written = |key: String, value: Bytes, revision: Revision| {
        Change::Written(Item {
            key,
            value,
            revision,
        })
    };
    // In a large fleet a job's owner answers its readers, so listings need not go to all VMs: a job
    // has ten of them, and two changes of its owner.
    let large = core.peers.is_large();
    let newest = |job: &Job| {
        if large {
            job.ownership_revision
        } else {
            job.revision
        }
    };
    let jobs = core.jobs.rows.values().filter(|job| newest(job) > after);
    let jobs = jobs.map(|job| {
        let key = record_key(&job.record.id);
        written(key, encode(&*job.record), job.revision)
    });
    let vms = core.live.vms.iter().filter(|(_, (_, at))| *at > after);
    let vms = vms.map(|(key, (record, at))| written(key.clone(), encode(record), *at));
    let deleted = core.live.deleted.iter().filter(|(at, _)| *at > after);
    let deleted = deleted.map(|(revision, key)| Change::Deleted {
        key: key.clone(),
        revision: *revision,
    });
    let age = core.freshness.age(clock::now(), StoreSubject::Live);
    Changes {
        // Deletions come first: a key that was deleted and written again must exist in the end.
        changes: deleted.chain(jobs).chain(vms).collect(),
        at: core.jobs.watched_revision,
        proof_age_ms: age.map(|age| age.as_millis() as u64),
    }
}

fn apply_update(node: &Node, answer: WatchAnswer) {
    let WatchAnswer {
        update,
        at: revision,
        asked_at,
    } = answer;
    let now = clock::now();
    let mut guard = node.core.borrow_mut();
    let core = &mut *guard;
    match &update {
        StoreUpdate::Snapshot(items) => remove_missing(core, items, revision, now),
        StoreUpdate::Changes(changes) | StoreUpdate::Relayed(changes) => {
            remove_deleted(core, changes)
        }
    }
    for item in update.into_written() {
        if item.key.starts_with(VMS) {
            apply_registration(&mut core.live, item);
        } else if let Some(record) = decode(&item.key, &item.value) {
            core.apply_job(now, asked_at, record, item.revision);
        }
    }
    let vms: Vec<VmRecord> = core.live.vms.values().map(|(vm, _)| vm.clone()).collect();
    core.peers
        .apply_registrations(now, (node.vm, node.owner), &vms);
    core.live.read = true;
    core.jobs.watched_revision = core.jobs.watched_revision.max(revision);
    core.jobs.changed.notify_waiters();
    drop(guard);
    node.plan_items.notify_one();
}

fn apply_registration(live: &mut Live, item: Item) {
    match serde_json::from_slice(&item.value) {
        Ok(record) => {
            live.vms.insert(item.key, (record, item.revision));
        }
        Err(error) => log::error!(key = item.key, error:% = error; "a VM's record can't be read"),
    }
}

fn remove_missing(core: &mut Core, items: &[Item], at: Revision, now: Duration) {
    let keys: HashSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
    let (jobs, live) = (&mut core.jobs, &mut core.live);
    let gone = jobs.rows.iter().filter(|(id, job)| {
        // A job accepted after the page was read is newer than the page.
        let newer = now < job.seen_at + watch::WATCH_WAIT_MAX;
        !newer && !keys.contains(record_key(id).as_str())
    });
    let jobs_gone: Vec<String> = gone.map(|(id, _)| record_key(id)).collect();
    let vms_gone = live.vms.keys().filter(|key| !keys.contains(key.as_str()));
    let gone: Vec<String> = vms_gone.cloned().chain(jobs_gone).collect();
    for key in gone {
        forget(core, &key, at);
    }
}

fn remove_deleted(core: &mut Core, changes: &[Change]) {
    for change in changes {
        if let Change::Deleted { key, revision } = change {
            forget(core, key, *revision);
        }
    }
}

/// Drops what a key held unless it has been written again since.
fn forget(core: &mut Core, key: &str, at: Revision) {
    let known = core.live.vms.get(key);
    if known.is_some_and(|(_, revision)| *revision < at) {
        core.live.vms.remove(key);
    }
    let job = key.strip_prefix(RECORD_PREFIX).unwrap_or_default();
    let known = core.jobs.rows.get(job);
    if known.is_some_and(|known| known.revision < at) {
        core.jobs.rows.remove(job);
    }
    core.live.note_deleted(key, at);
}
