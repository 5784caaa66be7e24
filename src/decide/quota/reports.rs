//! Counts that other VMs reported: one process of its own requests, or delegates of a failure
//! domain of those of all its VMs.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::{CountReport, WorkspaceCount, WorkspaceKey, SILENT_AFTER};
use crate::id::OwnerId;

/// Number of usual intervals after which a report is late: one may be lost.
const LATE_INTERVALS: f64 = 3.0;
/// Shortest age at which a report is late.
const LATE_AFTER_MIN: Duration = Duration::from_millis(300);
/// Factor by which the usual interval falls with each shorter one.
const INTERVAL_DECAY: f64 = 0.75;

#[derive(Debug, Clone, Copy)]
struct ReportedRow {
    at: Duration,
    admitted: u32,
    asked: u32,
}

/// What one process reported.
#[derive(Debug)]
struct SenderReport {
    sender: OwnerId,
    /// Since when its reports have arrived without a gap of [`SILENT_AFTER`].
    since: Duration,
    received_at: Duration,
    vms: u32,
    counted_for: Duration,
    rows: HashMap<WorkspaceKey, ReportedRow>,
}

/// What is known of a process, or of a failure domain from its delegates.
///
/// A delegate that has just started, or has just become one, lacks the VMs that don't report to it
/// yet and the processes that ended before. So the largest count of all delegates is used, and that
/// of delegates that have stopped, until one of the others has reported for a full window.
#[derive(Debug)]
pub(super) struct SourceReport {
    pub(super) vms: u32,
    pub(super) counted_for: Duration,
    pub(super) received_at: Duration,
    /// Usual time between two reports; zero until there were two.
    interval: Duration,
    pub(super) leaving: bool,
    /// A newer process of its VM has replaced it: its requests leave the window.
    pub(super) replaced: bool,
    senders: Vec<SenderReport>,
    /// This source's share of the total demand, by workspace, when it fell silent; `None` while it
    /// sends reports.
    pub(super) silent_shares: Option<HashMap<WorkspaceKey, f64>>,
}

impl SourceReport {
    pub(super) fn new(now: Duration) -> SourceReport {
        SourceReport {
            vms: 0,
            counted_for: Duration::ZERO,
            received_at: now,
            interval: Duration::ZERO,
            leaving: false,
            replaced: false,
            senders: Vec::new(),
            silent_shares: None,
        }
    }

    /// Applies a report of one process.
    pub(super) fn apply(
        &mut self,
        now: Duration,
        window: Duration,
        sender: OwnerId,
        report: &CountReport<'_>,
    ) {
        self.senders
            .retain(|known| now < known.received_at + window);
        let stored = self.sender(now, sender);
        stored.received_at = now;
        stored.vms = report.vms;
        stored.counted_for = report.counted_for;
        for count in report.counts {
            let row = ReportedRow {
                at: now,
                admitted: count.admitted,
                asked: count.asked,
            };
            stored.rows.insert(count.workspace, row);
        }
        // Two delegates may send at the same time.
        let interval = now.saturating_sub(self.received_at);
        if !interval.is_zero() {
            let decayed = self.interval.mul_f64(INTERVAL_DECAY);
            self.interval = interval.max(decayed).min(SILENT_AFTER);
        }
        self.received_at = now;
        self.leaving = report.leaving;
        self.silent_shares = None;
        let current = self.senders.iter().filter(|sender| sender.is_current(now));
        if let Some(widest) = current.max_by_key(|sender| (sender.vms, sender.counted_for)) {
            self.vms = widest.vms;
            self.counted_for = widest.counted_for;
        }
    }

    /// Whether no report has arrived for much longer than usual.
    pub(super) fn is_late(&self, now: Duration) -> bool {
        let late_after = self.interval.mul_f64(LATE_INTERVALS).max(LATE_AFTER_MIN);
        !self.interval.is_zero() && now > self.received_at + late_after
    }

    /// The row of a sender; a new one after a gap, since it may have missed others' reports.
    fn sender(&mut self, now: Duration, sender: OwnerId) -> &mut SenderReport {
        let continued = |known: &SenderReport| known.sender == sender && known.is_current(now);
        let index = self.senders.iter().position(continued);
        let index = index.unwrap_or_else(|| {
            self.senders.push(SenderReport {
                sender,
                since: now,
                received_at: now,
                vms: 0,
                counted_for: Duration::ZERO,
                rows: HashMap::new(),
            });
            self.senders.len() - 1
        });
        &mut self.senders[index]
    }

    /// The senders whose counts are used.
    fn used_senders(&self, window: Duration) -> impl Iterator<Item = &SenderReport> {
        let newest = self.received_at;
        let mut current = self.senders.iter().filter(|one| one.is_current(newest));
        let is_complete = current.any(|one| newest >= one.since + window);
        let senders = self.senders.iter();
        senders.filter(move |one| !is_complete || one.is_current(newest))
    }

    /// The reported count of a workspace, while it is still within the window.
    pub(super) fn count_at(
        &self,
        now: Duration,
        workspace: WorkspaceKey,
        window: Duration,
    ) -> Option<WorkspaceCount> {
        let newest = self.received_at;
        let row_of = |sender: &SenderReport| {
            let row = sender.rows.get(&workspace)?;
            let row = Some(*row).filter(|row| now < row.at + window)?;
            Some(match self.replaced || !sender.is_current(newest) {
                true => row.aged(now, window),
                false => row,
            })
        };
        let rows = self.used_senders(window).filter_map(row_of);
        rows.fold(None, |largest: Option<WorkspaceCount>, row| {
            Some(WorkspaceCount {
                workspace,
                admitted: row.admitted.max(largest.map_or(0, |count| count.admitted)),
                asked: row.asked.max(largest.map_or(0, |count| count.asked)),
            })
        })
    }

    /// All counts within the window.
    pub(super) fn counts_at(&self, now: Duration, window: Duration) -> Vec<WorkspaceCount> {
        let workspaces: HashSet<WorkspaceKey> = self
            .used_senders(window)
            .flat_map(|sender| sender.rows.keys().copied())
            .collect();
        let counts = workspaces.into_iter();
        counts
            .filter_map(|workspace| self.count_at(now, workspace, window))
            .collect()
    }

    /// Shares of the total demand, by workspace.
    pub(super) fn demand_shares(
        &self,
        now: Duration,
        window: Duration,
        demand: Option<&HashMap<WorkspaceKey, u32>>,
    ) -> HashMap<WorkspaceKey, f64> {
        let share = |count: WorkspaceCount| {
            let all = demand?.get(&count.workspace).copied()?;
            let share = f64::from(count.asked) / f64::from(all.max(count.asked).max(1));
            Some((count.workspace, share))
        };
        let counts = self.counts_at(now, window).into_iter();
        counts.filter_map(share).collect()
    }
}

impl ReportedRow {
    /// What is left of it within the window if its requests were spread evenly.
    fn aged(&self, now: Duration, window: Duration) -> ReportedRow {
        let age = now.saturating_sub(self.at).as_secs_f64() / window.as_secs_f64();
        let left = |count: u32| (f64::from(count) * (1.0 - age).max(0.0)).round() as u32;
        ReportedRow {
            at: self.at,
            admitted: left(self.admitted),
            asked: left(self.asked),
        }
    }
}

impl SenderReport {
    /// Whether it still sends reports.
    fn is_current(&self, now: Duration) -> bool {
        now < self.received_at + SILENT_AFTER
    }
}
