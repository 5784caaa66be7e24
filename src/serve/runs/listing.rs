//! Writes results into the job's record, and hands jobs over to other VMs.

use std::rc::Rc;
use std::time::Duration;

use super::{forget, progress, OwnedJob, WRITE_RETRY_AFTER};
use crate::clock;
use crate::decide::small_jobs::{
    text_key, FinishedItem, ItemIndex, ItemOutcome, ListUpdate, SmallJobRecord,
};
use crate::id::{self, JobId, Revision};
use crate::serve::jobs::{self, encode, write};
use crate::serve::node::Node;
use crate::store::CommitOutcome;
use crate::util;

/// Results that finish within this time are listed by one write; readers ask twice a second.
const GROUP_WINDOW: Duration = Duration::from_millis(1000);
/// The same for results that are due soon.
const GROUP_WINDOW_DUE_SOON: Duration = Duration::from_millis(100);
/// Results of a job with less time left than this are due soon.
const DUE_SOON_WITHIN: Duration = Duration::from_millis(2500);

/// Lists finished results, with one write at a time for each job; hands the job over while
/// draining.
pub(super) fn write_results(node: &Rc<Node>, now: Duration, job: &JobId) {
    let current = node.core.borrow().jobs.current(job);
    let Some((record, revision)) = current else {
        return;
    };
    let mut guard = node.runs.owned.borrow_mut();
    let Some(owned) = guard.get_mut(job) else {
        return;
    };
    if owned.writing || now < owned.write_after {
        return;
    }
    let waiting = !owned.finished.is_empty() || owned.failures_unwritten;
    if !waiting && !node.is_draining() {
        drop(guard);
        progress::save(node, now, job, &record, revision);
        return;
    }
    if !waiting {
        let is_running = owned
            .progress
            .values()
            .any(|progress| progress.run.is_some());
        if !is_running {
            owned.writing = true;
            drop(guard);
            tokio::task::spawn_local(hand_over(node.clone(), record, revision));
        }
        return;
    }
    let last = owned.progress.is_empty();
    let group = match now + DUE_SOON_WITHIN < owned.due {
        true => GROUP_WINDOW,
        false => GROUP_WINDOW_DUE_SOON,
    };
    let at_once = last || node.is_draining();
    if !at_once && owned.finished_at.is_some_and(|at| now < at + group) {
        return;
    }
    let failures: Vec<(ItemIndex, u32)> = owned
        .progress
        .iter()
        .filter(|(_, progress)| progress.failures > 0)
        .map(|(item, progress)| (*item, progress.failures))
        .collect();
    let count_max = owned.results_per_write_max.unwrap_or(usize::MAX);
    let finished: Vec<FinishedItem> = owned.finished.iter().take(count_max).cloned().collect();
    let epoch = owned.epoch;
    let listing = record.list(node.owner, epoch, &finished, &failures, util::nonce());
    let Some(listing) = listing else {
        // All of them are listed, or the job belongs to another VM by now, which the next check
        // finds out.
        let listed = |result: &FinishedItem| !record.is_listed(result.item);
        owned.finished.retain(listed);
        owned.failures_unwritten = false;
        owned.finished_at = None;
        return;
    };
    owned.writing = true;
    owned.failures_unwritten = false;
    drop(guard);
    tokio::task::spawn_local(write_listing(node.clone(), listing, revision));
}

async fn write_listing(node: Rc<Node>, listing: ListUpdate, revision: Revision) {
    let record = &listing.record;
    let parts = listing.parts.iter();
    let writes: Vec<_> = parts
        .map(|(part, texts)| write(text_key(&record.id, *part), encode(texts)))
        .collect();
    let settled = jobs::replace_record_with_parts(&node, record, revision, writes).await;
    let won = matches!(settled, CommitOutcome::Won(_));
    let (listed, total) = (record.listed.len(), record.items.len());
    log::info!(job = *record.id, won, listed, total; "results listed");
    note_write(&node, record, &settled);
}

/// Updates the job's state by the outcome of a write of its record.
fn note_write(node: &Node, record: &SmallJobRecord, settled: &CommitOutcome) {
    let now = clock::now();
    let mut guard = node.runs.owned.borrow_mut();
    let Some(owned) = guard.get_mut(&record.id) else {
        return;
    };
    owned.writing = false;
    match settled {
        CommitOutcome::Won(_) => {
            let count_max = owned.results_per_write_max;
            owned.results_per_write_max = count_max.map(|count| count.saturating_mul(2));
            owned
                .finished
                .retain(|result| !record.is_listed(result.item));
            owned.finished_at = (!owned.finished.is_empty()).then_some(now);
            if owned.finished.is_empty() && owned.progress.is_empty() {
                guard.remove(&record.id);
            }
        }
        // Another writer came first: list again, on top of its record.
        CommitOutcome::Lost(_) => owned.failures_unwritten = true,
        CommitOutcome::Rejected(detail) => {
            owned.failures_unwritten = true;
            owned.write_after = now + WRITE_RETRY_AFTER;
            list_fewer(owned, record, detail);
        }
        CommitOutcome::Away(_) | CommitOutcome::Unknown(_) => {
            owned.failures_unwritten = true;
            owned.write_after = now + WRITE_RETRY_AFTER;
        }
    }
}

/// Makes the next write smaller than the one that the store rejected. A single result that it rejects
/// is listed as an error, so that it delays no other.
fn list_fewer(owned: &mut OwnedJob, rejected: &SmallJobRecord, detail: &str) {
    let is_listed = |result: &&mut FinishedItem| rejected.is_listed(result.item);
    let mut results: Vec<_> = owned.finished.iter_mut().filter(is_listed).collect();
    log::error!(job = *rejected.id, results = results.len(), detail; "the store rejects results");
    match results.as_mut_slice() {
        [] => {}
        [only] => {
            only.outcome = ItemOutcome::Errored;
            only.text.clear();
        }
        _ => owned.results_per_write_max = Some(results.len() / 2),
    }
}

/// Hands a job over to another VM, with the progress of its items.
async fn hand_over(node: Rc<Node>, record: Rc<SmallJobRecord>, revision: Revision) {
    let now = clock::now();
    let to = node
        .core
        .borrow()
        .peers
        .successor(now, id::of(&record.id))
        .unwrap_or(0);
    let Some(handed_over) = record.hand_over(node.owner, to, util::nonce()) else {
        // It has ended, or belongs to another VM by now.
        forget(&node, &record.id);
        return;
    };
    progress::save_last(&node, now, &record, revision).await;
    let settled = jobs::replace_record(&node, &handed_over, revision).await;
    let won = matches!(settled, CommitOutcome::Won(_));
    log::info!(job = *handed_over.id, to, won, open = handed_over.open_items().len(); "job handed over");
    if won {
        forget(&node, &handed_over.id);
    } else {
        note_write(&node, &handed_over, &settled);
    }
}
