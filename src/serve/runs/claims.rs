//! Taking on jobs that this VM owns or claims, and removing old ones.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::OwnedSemaphorePermit;
use tokio::time::sleep;

use super::progress::{self, SavedProgress};
use super::{assign_services, ItemProgress, OwnedJob, RETENTION_MARGIN, WRITE_RETRY_AFTER};
use crate::clock;
use crate::decide::discovery::unknown_software;
use crate::decide::items::ItemKey;
use crate::decide::small_jobs::{
    body_key, join_part, progress_key, record_key, text_key, Item, ItemIndex, SmallJobRecord,
};
use crate::id::{self, JobId, OwnerId, Revision};
use crate::serve::job_table::Job;
use crate::serve::jobs;
use crate::serve::node::{Node, Stage};
use crate::serve::part_cache;
use crate::serve::queued_room::shrink;
use crate::store::{CommitOutcome, Txn};
use crate::util;

/// The first VM by rank claims an orphaned job at once; each further rank waits this much longer,
/// by which time the first VM's claim has been received.
const CLAIM_DELAY_PER_RANK: Duration = Duration::from_millis(700);
/// Time without any sign of life after which an owner counts as gone: its lease may have been lost
/// while it lives, and it registers again within a second.
const OWNER_GONE_AFTER: Duration = Duration::from_millis(1500);
/// Pause after a job's items could not be read: they may never be there.
const LOAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time in which the first VM by rank removes an old job.
const REMOVAL_WINDOW: Duration = Duration::from_secs(60);
/// Keys in one transaction; the store takes 32 entries.
const DELETED_KEYS_MAX: usize = 24;

/// Takes on a job whose record names this process as owner.
pub fn adopt(node: &Rc<Node>, job: &JobId) {
    let current = node.core.borrow().jobs.current(job);
    let Some((record, _)) = current else {
        return;
    };
    let runs = &node.runs;
    let is_local = record.owner == node.owner && !record.ended();
    let known = runs
        .owned
        .borrow()
        .get(job)
        .is_some_and(|owned| owned.epoch == record.epoch);
    if !is_local || known || !runs.loading.borrow_mut().insert(job.clone()) {
        return;
    }
    let (node, job) = (node.clone(), job.clone());
    tokio::task::spawn_local(async move {
        let memory = node.job_memory.take_for_job(record.items_bytes()).await;
        if is_unchanged(&node, &record) {
            load(&node, &record, memory).await;
        }
        node.runs.loading.borrow_mut().remove(&job);
    });
}

/// Whether a job has the same owner as in this record, and is open, after a wait for memory.
fn is_unchanged(node: &Node, record: &SmallJobRecord) -> bool {
    let current = node.core.borrow().jobs.current(&record.id);
    current.is_some_and(|(current, _)| current.epoch == record.epoch && !current.ended())
}

/// Reads a job's items and takes them on.
async fn load(node: &Rc<Node>, record: &SmallJobRecord, mut memory: Option<OwnedSemaphorePermit>) {
    match load_items(node, record).await {
        Ok(items) => {
            if let Some(memory) = &mut memory {
                shrink(memory, items.iter().map(Item::held_bytes).sum());
            }
            let saved = progress::read(node, record).await;
            add_job(node, record, items, saved, memory);
        }
        Err(error) => {
            log::warn!(job = *record.id, error:% = error; "a job's items can't be read");
            sleep(LOAD_RETRY_AFTER).await;
        }
    }
}

async fn load_items(
    node: &Rc<Node>,
    record: &SmallJobRecord,
) -> Result<Vec<Item>, part_cache::PartError> {
    let mut items = Vec::new();
    for part in 0..record.body_parts.len() {
        let key = body_key(&record.id, part as u32);
        let read = part_cache::read::<Vec<Item>>(node, key, record.owner).await?;
        join_part(&mut items, read, record.is_continued(part));
    }
    Ok(items)
}

fn add_job(
    node: &Rc<Node>,
    record: &SmallJobRecord,
    items: Vec<Item>,
    mut saved: HashMap<ItemIndex, SavedProgress>,
    memory: Option<OwnedSemaphorePermit>,
) {
    let now = clock::now();
    let counts: HashMap<ItemIndex, u32> = record.failures.iter().copied().collect();
    let open = record.open_items();
    let mut earlier_runs = HashMap::new();
    let progress = open.iter().map(|item| {
        let failures = counts.get(item).copied().unwrap_or(0);
        let progress = match saved.remove(item) {
            Some(saved) => {
                let ran = Duration::from_millis(saved.ran_ms);
                earlier_runs.insert(*item, (ran, saved.software.clone()));
                saved.resume(failures)
            }
            None => ItemProgress {
                failures,
                ..ItemProgress::default()
            },
        };
        (*item, progress)
    });
    let due = now + time_left(record);
    let owned = OwnedJob {
        epoch: record.epoch,
        progress: progress.collect::<HashMap<_, _>>(),
        items: Rc::new(items),
        _memory: memory,
        finished: Vec::new(),
        results_per_write_max: None,
        failures_unwritten: false,
        finished_at: None,
        writing: false,
        saved_at: now,
        write_after: now,
        due,
    };
    let mut core = node.core.borrow_mut();
    for item in open {
        let key = ItemKey {
            job: record.id.clone(),
            item,
        };
        // `assign_services` below sets its service.
        core.items.add(now, key.clone(), 0, due);
        if let Some((ran, software)) = earlier_runs.remove(&item) {
            core.items.set_run_time(&key, ran);
            core.items
                .began(&key, software.unwrap_or_else(unknown_software));
        }
    }
    drop(core);
    node.runs
        .owned
        .borrow_mut()
        .insert(record.id.clone(), owned);
    assign_services(node);
    node.plan_items.notify_one();
}

/// Time until a job is due by the time of day, at most the time that it was given at first: a clock
/// that jumped can only change the order of jobs.
fn time_left(record: &SmallJobRecord) -> Duration {
    let all_ms = record.due_ms.saturating_sub(record.created_ms);
    let left_ms = record.due_ms.saturating_sub(clock::unix_ms());
    Duration::from_millis(left_ms.min(all_ms))
}

/// Claims a job whose owner is gone, in an order that is the same on all VMs.
pub(super) fn claim_if_orphaned(
    node: &Rc<Node>,
    now: Duration,
    record: &SmallJobRecord,
    living: &HashSet<OwnerId>,
) {
    let mut orphans = node.runs.orphans.borrow_mut();
    let core = node.core.borrow();
    let owner_lives = record.owner == node.owner || living.contains(&record.owner);
    let needs_no_owner = record.ended() || owner_lives;
    if needs_no_owner || core.stage != Stage::Serving {
        orphans.remove(&record.id);
        return;
    }
    let since = *orphans.entry(record.id.clone()).or_insert(now);
    let gone_for_certain = record.owner == 0 || core.peers.is_replaced(record.owner);
    let gone_after = match gone_for_certain {
        true => Duration::ZERO,
        false => OWNER_GONE_AFTER,
    };
    let rank = core.peers.rank(now, node.vm, id::of(&record.id));
    if now < since + gone_after + CLAIM_DELAY_PER_RANK * rank as u32 {
        return;
    }
    let Some(revision) = core.jobs.rows.get(&record.id).map(|job| job.revision) else {
        return;
    };
    let Some(claim) = record.claim(node.owner, util::nonce()) else {
        return;
    };
    // The time of the next attempt, should this one fail, counts from now.
    orphans.insert(record.id.clone(), now);
    drop(core);
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let settled = jobs::replace_record(&node, &claim, revision).await;
        let won = matches!(settled, CommitOutcome::Won(_));
        log::info!(job = *claim.id, epoch = claim.epoch, rank, won; "job claimed");
        let label = if won { "claimed" } else { "claim_lost" };
        node.counters.jobs_taken.with_label_values(&[label]).inc();
        adopt(&node, &claim.id);
    });
}

/// Forgets jobs that another VM removed long ago: the deletion may not arrive here.
pub(super) fn forget_expired(node: &Node, now: Duration) {
    let kept =
        Duration::from_secs(node.settings.results_kept_s) + RETENTION_MARGIN + REMOVAL_WINDOW;
    let mut core = node.core.borrow_mut();
    let keep = |job: &Job| !job.record.ended() || now < job.first_seen + kept;
    core.jobs.rows.retain(|_, job| keep(job));
}

/// Removes jobs whose results need not be kept any longer; only the first VM by rank does so.
pub(super) fn remove_expired(node: &Rc<Node>, now: Duration) {
    let kept = Duration::from_secs(node.settings.results_kept_s) + RETENTION_MARGIN;
    let core = node.core.borrow();
    // The rank takes an iteration over all VMs, so it is checked last.
    let old = core.jobs.rows.values().find(|job| {
        let is_expired = job.record.ended() && now >= job.first_seen + kept;
        is_expired && core.peers.rank(now, node.vm, id::of(&job.record.id)) == 0
    });
    let Some((record, revision)) = old.map(|job| (job.record.clone(), job.revision)) else {
        return;
    };
    drop(core);
    if !node.runs.loading.borrow_mut().insert(record.id.clone()) {
        return;
    }
    let node = node.clone();
    tokio::task::spawn_local(async move {
        remove_job(&node, &record, revision).await;
        node.runs.loading.borrow_mut().remove(&record.id);
    });
}

/// Removes a job's keys, the record last, so that what is left after a failure is found again.
async fn remove_job(node: &Rc<Node>, record: &SmallJobRecord, revision: Revision) {
    let bodies = (0..record.body_parts.len() as u32).map(|part| body_key(&record.id, part));
    let texts = (0..record.text_parts).map(|part| text_key(&record.id, part));
    let keys: Vec<String> = bodies.chain(texts).collect();
    let key = record_key(&record.id);
    for deletes in keys.chunks(DELETED_KEYS_MAX) {
        let txn = Txn {
            expect: vec![(key.clone(), revision)],
            writes: Vec::new(),
            deletes: deletes.to_vec(),
        };
        if let Err(error) = node.store.try_commit(txn).await {
            log::info!(job = *record.id, error:% = error; "an old job could not be removed yet");
            sleep(WRITE_RETRY_AFTER).await;
            return;
        }
    }
    // A separate transaction: it is not known whether there is progress to delete, since a job that
    // was done at once has none.
    let txn = Txn {
        expect: vec![(key.clone(), revision)],
        writes: Vec::new(),
        deletes: vec![progress_key(&record.id)],
    };
    if let Err(error) = node.store.try_commit(txn).await {
        log::info!(job = *record.id, error:% = error; "progress of an old job was not removed");
    }
    let txn = Txn {
        expect: vec![(key.clone(), revision)],
        writes: Vec::new(),
        deletes: vec![key],
    };
    match node.store.try_commit(txn).await {
        // Another VM has changed or removed it; the watch delivers which.
        Ok(None) => log::info!(job = *record.id; "an old job was changed by another VM"),
        Ok(Some(_)) => {
            node.core.borrow_mut().jobs.rows.remove(&record.id);
            log::info!(job = *record.id; "old job removed");
        }
        Err(error) => {
            log::info!(job = *record.id, error:% = error; "an old job's record could not be removed yet")
        }
    }
}
