//! What the items and results of the jobs that run here wait for, for operators and the log.

use std::collections::BTreeMap;
use std::time::Duration;

use super::OwnedJob;
use crate::decide::items::{WaitReason, WaitingItem};
use crate::decide::quarantine::Hold;
use crate::id::JobId;
use crate::serve::node::Node;
use crate::serve::quarantine;
use crate::serve::waiting_page::WaitingRow;

/// Time between two log lines on the items that wait for the same reason.
pub const LOG_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a run from which on an item is logged.
const LOGGED_AFTER: Duration = Duration::from_secs(3);

/// Logs for each reason how many items have waited for long, and the one that has waited longest.
pub fn log_waiting(node: &Node, now: Duration) {
    let mut by_reason: BTreeMap<WaitReason, Vec<WaitingItem>> = BTreeMap::new();
    for item in waiting_items(node, now) {
        if now >= item.since + LOGGED_AFTER {
            by_reason.entry(item.reason).or_default().push(item);
        }
    }
    for (reason, items) in by_reason {
        let Some(oldest) = items.first() else {
            continue;
        };
        let reason: &'static str = reason.into();
        let hold = node
            .runs
            .with_progress(&oldest.key, |progress| progress.hold.clone());
        let hold = hold
            .flatten()
            .filter(|_| oldest.reason == WaitReason::HeldBack);
        log::info!(
            reason,
            count = items.len(),
            job = *oldest.key.job,
            item = oldest.key.item,
            waited_ms = now.saturating_sub(oldest.since).as_millis() as u64,
            held_by = hold.as_ref().map_or("", |hold| &*hold.label),
            back_in_ms = hold.as_ref().map_or(0, back_in_ms);
            "items wait"
        );
    }
}

fn waiting_items(node: &Node, now: Duration) -> Vec<WaitingItem> {
    let core = node.core.borrow();
    core.items.waiting(now, &core.online.endpoints, &core.usage)
}

fn back_in_ms(hold: &Hold) -> u64 {
    quarantine::time_until(hold.until).as_millis() as u64
}

/// Items and results that wait in the jobs that run here, and jobs without an owner.
pub fn waiting(node: &Node, now: Duration) -> Vec<WaitingRow> {
    let mut rows = item_rows(node, now);
    let owned = node.runs.owned.borrow();
    rows.extend(owned.iter().filter_map(|(id, job)| job.result_row(now, id)));
    for (job, since) in node.runs.orphans.borrow().iter() {
        rows.push(WaitingRow {
            what: format!("job {job}"),
            waits_for: format!(
                "a VM to take it over; its own was last seen {} ms ago",
                now.saturating_sub(*since).as_millis()
            ),
            until_ms: None,
        });
    }
    rows
}

/// One row for the items of a job that wait for the same reason.
fn item_rows(node: &Node, now: Duration) -> Vec<WaitingRow> {
    let mut groups: BTreeMap<(JobId, String), usize> = BTreeMap::new();
    for item in waiting_items(node, now) {
        let hold = node
            .runs
            .with_progress(&item.key, |progress| progress.hold.clone());
        let waits_for = describe(item.reason, hold.flatten().as_ref());
        *groups.entry((item.key.job, waits_for)).or_default() += 1;
    }
    let owned = node.runs.owned.borrow();
    let due = |job: &JobId| owned.get(job).map(|owned| owned.due);
    let row = |((job, waits_for), count): ((JobId, String), usize)| WaitingRow {
        what: format!("{count} items of job {job}"),
        waits_for,
        until_ms: due(&job).map(|due| due.saturating_sub(now).as_millis() as u64),
    };
    groups.into_iter().map(row).collect()
}

fn describe(reason: WaitReason, hold: Option<&Hold>) -> String {
    match (reason, hold) {
        (WaitReason::HeldBack, Some(hold)) => format!(
            "a trial run of {} {}, quarantined for {} ms, in {} ms",
            hold.suspect,
            hold.label,
            quarantine::time_since(hold.since).as_millis(),
            back_in_ms(hold)
        ),
        (WaitReason::HeldBack, None) => "a trial run of a quarantined suspect".into(),
        (WaitReason::Delayed, _) => "the pause after its last run".into(),
        (WaitReason::NoEndpoint, _) => "an endpoint of its service".into(),
        (WaitReason::OtherSoftware, _) => "an endpoint of the version that made its text".into(),
        (WaitReason::NoFreeSlot, _) => "a free slot at an endpoint".into(),
        (WaitReason::SlotsGranted, _) => "a slot that is not granted to another VM".into(),
    }
}

impl OwnedJob {
    /// The results of a job that wait to be written.
    fn result_row(&self, now: Duration, job: &JobId) -> Option<WaitingRow> {
        let listing = match now < self.write_after {
            true => "the metadata store, which failed a moment ago",
            false => "the next write of the job's record",
        };
        (!self.finished.is_empty()).then(|| WaitingRow {
            what: format!("{} results of job {job}", self.finished.len()),
            waits_for: listing.into(),
            until_ms: Some(self.due.saturating_sub(now).as_millis() as u64),
        })
    }
}
