//! Request quotas of workspaces, enforced by all VMs together without a shared counter.
//!
//! Each VM counts the requests that it received and admitted over a sliding window, and reports the
//! counts to the other VMs. A request is admitted when three conditions hold:
//!
//! | condition | guards against |
//! | --- | --- |
//! | the requests that all VMs are known to have admitted leave room below the limit | demand at one VM, or at all |
//! | what this VM admitted too recently for the others to know is within its share of that room, by demand | demand at many VMs within the time that reports take |
//! | the shares of silent VMs stay reserved for as long as these may serve callers unseen by this VM | a failure domain that is cut off and keeps serving |
//!
//! Processes that have just started don't know what their predecessors admitted, so the usable part
//! of the limit grows with the time for which the fleet has counted.

mod counts;
mod reports;
mod window;

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::counts::{DomainCounts, WorkspaceCount};
use self::reports::SourceReport;
use self::window::SlidingWindow;
use crate::id::{DomainId, OwnerId, VmId, WorkspaceId};

/// Time within which all other VMs know what this VM admitted, while a workspace is near its limit.
const REPORT_DELAY: Duration = Duration::from_millis(500);
/// The same in a large fleet, where a report passes through two delegates.
const DELEGATED_REPORT_DELAY: Duration = Duration::from_millis(800);
/// A VM that has sent no report for this long may be cut off.
const SILENT_AFTER: Duration = Duration::from_millis(1700);
/// For how long a silent VM is assumed to keep serving. A VM that is cut off reduces its own limit
/// after the same time.
const SILENT_HOLD: Duration = Duration::from_secs(12);
/// Fraction of a limit that is divided evenly among VMs; the rest is divided by demand.
const EVEN_FRACTION: f64 = 0.2;
/// Evenly spread requests that are added to the observed demand when the share of a silent VM is
/// computed: a few requests are a poor estimate of where the next ones arrive.
const EVEN_REQUESTS: f64 = 10.0;
/// Fraction of its limit that a workspace may use immediately after a restart of the whole fleet:
/// what it left free, unless it was recorded near its limit.
const RESTART_LIMIT_FRACTION: f64 = 1.0 - NEAR_LIMIT_FRACTION;
/// Fraction of its limit that a workspace keeps at VMs that have been isolated for longer than
/// [`SILENT_HOLD`].
const ISOLATED_LIMIT_FRACTION: f64 = 0.1;
/// While this fraction of the limit is free, a VM may admit one request beyond its share: a share
/// of a small limit is less than one request.
const SPARE_LIMIT_FRACTION: f64 = 0.25;
/// From this fraction of its limit on, a workspace is recorded in the metadata store, for processes
/// that start after a restart of the fleet.
const NEAR_LIMIT_FRACTION: f64 = 0.7;
/// Age of the counts behind a record when the next one is written.
const RECORD_AGE: Duration = Duration::from_secs(1);
/// From this fraction of its limit on, a workspace's counts are reported promptly.
const PROMPT_REPORT_FRACTION: f64 = 0.5;
/// The same for requests admitted by this VM that the others don't know of yet.
const PROMPT_GROWTH_FRACTION: f64 = 0.05;
/// Lower bound of that growth; a few requests do no harm.
const PROMPT_GROWTH_MIN: f64 = 3.0;
/// Age of the demand by which limits are divided when VMs fall silent.
const DEMAND_AGE_MAX: Duration = Duration::from_secs(3);
/// Shortest retry delay given to a refused caller.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);

/// A workspace in messages between VMs: its 64-bit id folded to 32 bits.
pub type WorkspaceKey = u32;

/// Folds a workspace's id to its key.
pub fn workspace_key(workspace: WorkspaceId) -> WorkspaceKey {
    (workspace ^ (workspace >> 32)) as WorkspaceKey
}

/// Limit on the requests of a workspace at all VMs together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    pub rate_per_s: f64,
    /// Requests on top of the rate, in each window.
    pub burst: f64,
}

/// How quotas are measured.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaMeasure {
    /// The sliding window in which requests are counted.
    pub window: Duration,
    /// Fraction of a limit by which it may be exceeded for a short time.
    pub overage: f64,
    /// Requests by which any limit may be exceeded for a short time.
    pub slack: f64,
}

impl QuotaMeasure {
    /// Requests of a workspace that are admitted in one window, including half of the slack. The
    /// rest of the allowed excess is left for what several VMs admit before they have received each
    /// other's counts.
    pub fn limit(&self, quota: Quota) -> f64 {
        let allowed = quota.rate_per_s * self.window.as_secs_f64() + quota.burst;
        allowed + self.slack / 2.0
    }
}

/// Sender of a count report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CountSource {
    /// A process of a VM.
    Process(OwnerId),
    /// A delegate's process, on behalf of its failure domain.
    Domain { domain: DomainId, delegate: OwnerId },
}

/// What is known of the fleet when quotas are evaluated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetView {
    /// Whether the metadata store answers this VM.
    pub store_available: bool,
    /// Whether VMs report to their delegates only.
    pub uses_delegates: bool,
    /// VMs that may admit requests, this one included, as last reported by the store and the other
    /// VMs.
    pub vms: u32,
}

/// Counts reported by another VM or by a delegate.
#[derive(Debug, Clone)]
pub struct CountReport<'a> {
    /// Number of VMs that it represents.
    pub vms: u32,
    /// For how long they have counted, at most the window.
    pub counted_for: Duration,
    /// They are about to stop, so that nothing is reserved for them once they are silent.
    pub leaving: bool,
    pub counts: &'a [WorkspaceCount],
}

/// What a report counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Counted {
    Process(OwnerId),
    Domain(DomainId),
}

/// Usage of a workspace's limit, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct QuotaUse {
    pub workspace: String,
    pub limit: f64,
    pub admitted_here: u32,
    pub asked_here: u32,
    /// By all VMs, as last reported to this one.
    pub admitted: u32,
    /// Reserved for VMs that are silent.
    pub kept_for_silent: f64,
    /// This VM's share of the limit, by demand.
    pub share: f64,
}

/// The quotas of all workspaces in the local view of one VM.
#[derive(Debug)]
pub struct Quotas {
    measure: QuotaMeasure,
    started_at: Duration,
    local: HashMap<WorkspaceKey, SlidingWindow>,
    reports: HashMap<Counted, SourceReport>,
    /// Total demand by workspace, the oldest first.
    demand: VecDeque<(Duration, HashMap<WorkspaceKey, u32>)>,
    /// Since when the store has been unavailable and most of the fleet silent.
    isolated_since: Option<Duration>,
    /// Workspaces that were near their quotas when this process started.
    near_limit_at_start: HashSet<WorkspaceKey>,
    report_delay: Duration,
    /// Admitted requests by workspace, as last reported to the other failure domains: of this VM,
    /// or of its failure domain where this VM is a delegate.
    reported: HashMap<WorkspaceKey, u32>,
    /// VMs that may admit requests, as of the last tick.
    expected_vms: u32,
}

impl Quotas {
    /// Creates quotas without any counted requests.
    pub fn new(measure: QuotaMeasure, now: Duration) -> Quotas {
        Quotas {
            measure,
            started_at: now,
            local: HashMap::new(),
            reports: HashMap::new(),
            demand: VecDeque::new(),
            isolated_since: None,
            near_limit_at_start: HashSet::new(),
            report_delay: REPORT_DELAY,
            reported: HashMap::new(),
            expected_vms: 1,
        }
    }

    /// Admits a request, or returns the retry delay. `draw` is uniform in 0 to 1 and rounds
    /// fractional shares at random: many VMs with a share of less than one request would otherwise
    /// admit none.
    pub fn admit(
        &mut self,
        now: Duration,
        workspace: WorkspaceKey,
        quota: Quota,
        draw: f64,
    ) -> Result<(), Duration> {
        let measure = self.measure;
        let local = self.local.entry(workspace).or_default();
        local.expire(now, measure.window + SILENT_AFTER);
        local.current_step(now).asked += 1;
        let state = self.admission_state(now, workspace, quota);
        match state.admits(draw) {
            true => {
                let local = self.local.entry(workspace).or_default();
                local.current_step(now).admitted += 1;
                Ok(())
            }
            false => Err(state.retry_after(measure.window)),
        }
    }

    /// Uncounts a request that was admitted but never ran.
    pub fn give_back(&mut self, workspace: WorkspaceKey, admitted_at: Duration) {
        if let Some(local) = self.local.get_mut(&workspace) {
            local.give_back(admitted_at);
        }
    }

    /// Applies a report from another VM or a delegate.
    pub fn apply_report(&mut self, now: Duration, source: CountSource, report: CountReport<'_>) {
        let (counted, sender) = match source {
            CountSource::Process(owner) => (Counted::Process(owner), owner),
            CountSource::Domain { domain, delegate } => (Counted::Domain(domain), delegate),
        };
        let stored = self.reports.entry(counted);
        let stored = stored.or_insert_with(|| SourceReport::new(now));
        stored.apply(now, self.measure.window, sender, &report);
    }

    /// Records that a process has been replaced and is certainly gone: nothing is reserved for it.
    pub fn process_replaced(&mut self, owner: OwnerId) {
        if let Some(report) = self.reports.get_mut(&Counted::Process(owner)) {
            report.leaving = true;
            report.replaced = true;
        }
    }

    /// Records that a workspace was near its quota just before this process started.
    pub fn mark_near_limit(&mut self, workspace: WorkspaceKey) {
        self.near_limit_at_start.insert(workspace);
    }

    /// Workspaces that use at least [`NEAR_LIMIT_FRACTION`] of their limits, or would by the next
    /// record if their demand goes on growing.
    pub fn near_limit(
        &self,
        now: Duration,
        quota_of: impl Fn(WorkspaceKey) -> Option<Quota>,
    ) -> Vec<WorkspaceKey> {
        let mut sums: HashMap<WorkspaceKey, WorkspaceCount> = HashMap::new();
        let local = self.counts(now).into_iter();
        let counts = self.reports.values();
        let counts = counts.flat_map(|report| report.counts_at(now, self.measure.window));
        local
            .chain(counts)
            .for_each(|count| count.add_to(&mut sums));
        let is_near = |count: &WorkspaceCount| {
            let limit = quota_of(count.workspace).map(|quota| self.measure.limit(quota));
            let expected = f64::from(count.admitted) + self.expected_growth(now, count);
            limit.is_some_and(|limit| expected >= limit * NEAR_LIMIT_FRACTION)
        };
        let near = sums.into_values().filter(is_near);
        near.map(|count| count.workspace).collect()
    }

    /// Requests by which the demand of a workspace grows within [`RECORD_AGE`].
    fn expected_growth(&self, now: Duration, count: &WorkspaceCount) -> f64 {
        let Some((recorded_at, demand)) = self.demand.front() else {
            return 0.0;
        };
        let earlier = demand.get(&count.workspace).copied().unwrap_or(0);
        let elapsed = now.saturating_sub(*recorded_at).max(RECORD_AGE);
        let growth = f64::from(count.asked.saturating_sub(earlier));
        growth * RECORD_AGE.as_secs_f64() / elapsed.as_secs_f64()
    }

    /// Drops all reports, when processes' reports are replaced by those of delegates or the other
    /// way round.
    pub fn forget_reports(&mut self) {
        self.reports.clear();
    }

    /// Updates what depends on time alone; called every few tens of milliseconds.
    pub fn tick(&mut self, now: Duration, view: FleetView) {
        self.expected_vms = view.vms;
        self.report_delay = match view.uses_delegates {
            true => DELEGATED_REPORT_DELAY,
            false => REPORT_DELAY,
        };
        self.record_demand(now);
        let earlier_demand = self.demand.front().map(|(_, demand)| demand);
        let window = self.measure.window;
        for report in self.reports.values_mut() {
            let silent = now >= report.received_at + SILENT_AFTER;
            if silent && !report.leaving && report.silent_shares.is_none() {
                report.silent_shares = Some(report.demand_shares(now, window, earlier_demand));
            }
        }
        self.reports.retain(|_, report| {
            let lifetime = if report.leaving { window } else { SILENT_HOLD };
            now < report.received_at + lifetime.max(window)
        });
        for local in self.local.values_mut() {
            local.expire(now, window + SILENT_AFTER);
        }
        self.local.retain(|_, local| !local.is_empty());
        let reports = &self.reports;
        let is_counted = |workspace: &WorkspaceKey| {
            let mut reports = reports.values();
            self.local.contains_key(workspace)
                || reports.any(|report| report.count_at(now, *workspace, window).is_some())
        };
        self.reported.retain(|workspace, _| is_counted(workspace));
        self.update_isolation(now, view);
    }

    /// Local counts of all workspaces with requests within the window, sorted by requests, the most
    /// first.
    pub fn counts(&self, now: Duration) -> Vec<WorkspaceCount> {
        let count = |(workspace, local): (&WorkspaceKey, &SlidingWindow)| WorkspaceCount {
            workspace: *workspace,
            admitted: local.admitted_since(now.saturating_sub(self.measure.window)),
            asked: local.asked_since(now.saturating_sub(self.measure.window)),
        };
        let mut counts: Vec<WorkspaceCount> = self.local.iter().map(count).collect();
        counts.retain(|count| count.asked > 0);
        counts.sort_by_key(|count| std::cmp::Reverse((count.asked, count.workspace)));
        counts
    }

    /// Counts of a failure domain: those of this VM and of all processes that sent reports,
    /// including processes that are gone by now. `others` are the domain's current VMs and their
    /// processes.
    pub fn domain_counts(&self, now: Duration, others: &[(VmId, OwnerId)]) -> DomainCounts {
        let mut sums: HashMap<WorkspaceKey, WorkspaceCount> = HashMap::new();
        let mut by_vm: HashMap<VmId, Vec<WorkspaceCount>> = HashMap::new();
        let (mut vms, mut counted_for) = (1, self.counted_for(now));
        self.counts(now)
            .iter()
            .for_each(|count| count.add_to(&mut sums));
        for (source, report) in &self.reports {
            let Counted::Process(process) = source else {
                continue;
            };
            let counts = report.counts_at(now, self.measure.window);
            counts.iter().for_each(|count| count.add_to(&mut sums));
            if let Some((vm, _)) = others.iter().find(|(_, owner)| owner == process) {
                by_vm.insert(*vm, counts);
                vms += 1;
                counted_for += report.counted_for;
            }
        }
        let mut rows: Vec<WorkspaceCount> =
            sums.into_values().filter(|sum| sum.asked > 0).collect();
        rows.sort_by_key(|sum| std::cmp::Reverse((sum.asked, sum.workspace)));
        DomainCounts {
            vms,
            counted_for: counted_for / vms,
            rows,
            by_vm,
        }
    }

    /// Sorts counts by the fraction of the workspaces' limits that their callers ask for, the largest
    /// first: a report that has no room for all of them leaves out those farthest from their limits.
    /// What was admitted would rank a workspace too low whose load has just jumped.
    pub fn sort_by_use(
        &self,
        now: Duration,
        rows: &mut [WorkspaceCount],
        quota_of: impl Fn(WorkspaceKey) -> Option<Quota>,
    ) {
        let used = |row: &WorkspaceCount| {
            let limit = quota_of(row.workspace).map_or(f64::MAX, |quota| self.measure.limit(quota));
            let since = now.saturating_sub(self.measure.window);
            let local = self.local.get(&row.workspace);
            let here = local.map_or(0, |local| local.asked_since(since));
            let elsewhere = self.reports.values();
            let elsewhere = elsewhere
                .filter_map(|report| report.count_at(now, row.workspace, self.measure.window));
            let asked = here + elsewhere.map(|count| count.asked).sum::<u32>();
            f64::from(asked) / limit.max(1.0)
        };
        let mut keyed: Vec<(f64, WorkspaceCount)> =
            rows.iter().map(|row| (used(row), *row)).collect();
        keyed.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (row, (_, sorted)) in rows.iter_mut().zip(keyed) {
            *row = sorted;
        }
    }

    /// Records that counts were reported to the other failure domains.
    pub fn record_report(&mut self, rows: &[WorkspaceCount]) {
        let admitted = rows.iter().map(|row| (row.workspace, row.admitted));
        self.reported.extend(admitted);
    }

    /// Whether a workspace uses so much of its limit that its counts must be reported promptly.
    /// `row` holds the counts to report, of this VM or of its failure domain.
    ///
    /// All that report the workspace may have admitted as much since their last reports as this
    /// one. Without this, a workspace far below its limit that suddenly sends many times its usual
    /// load is admitted by each of them up to its share of a limit that seems unused.
    pub fn needs_prompt_report(&self, now: Duration, row: &WorkspaceCount, quota: Quota) -> bool {
        let workspace = row.workspace;
        let limit = self.measure.limit(quota) * self.counted_fraction(now, workspace);
        let admitted = self.admitted_elsewhere(now, workspace) + self.admitted_here(now, workspace);
        let unreported = self.local.get(&workspace).map_or(0, |local| {
            local.admitted_since(now.saturating_sub(self.report_delay))
        });
        let grows =
            f64::from(unreported) >= (limit * PROMPT_GROWTH_FRACTION).max(PROMPT_GROWTH_MIN);
        let reported = self.reported.get(&workspace).copied().unwrap_or(0);
        let growth = row.admitted.saturating_sub(reported);
        let expected = admitted + growth * self.reporters(now, workspace);
        grows || f64::from(expected) > limit * PROMPT_REPORT_FRACTION
    }

    /// Number of other VMs or failure domains that have reported requests of a workspace.
    fn reporters(&self, now: Duration, workspace: WorkspaceKey) -> u32 {
        let reports = self.reports.values();
        let counts =
            reports.filter_map(|report| report.count_at(now, workspace, self.measure.window));
        counts.filter(|count| count.asked > 0).count() as u32
    }

    /// For how long this VM has counted, at most the window.
    pub fn counted_for(&self, now: Duration) -> Duration {
        let counted = now.saturating_sub(self.started_at);
        counted.min(self.measure.window)
    }

    /// Usage of a workspace's limit.
    pub fn used(
        &self,
        now: Duration,
        name: &str,
        workspace: WorkspaceKey,
        quota: Quota,
    ) -> QuotaUse {
        let state = self.admission_state(now, workspace, quota);
        let local = self.local.get(&workspace);
        let since = now.saturating_sub(self.measure.window);
        QuotaUse {
            workspace: name.to_owned(),
            limit: self.measure.limit(quota),
            admitted_here: local.map_or(0, |local| local.admitted_since(since)),
            asked_here: local.map_or(0, |local| local.asked_since(since)),
            admitted: state.admitted as u32,
            kept_for_silent: state.reserved,
            share: state.share,
        }
    }

    fn admission_state(
        &self,
        now: Duration,
        workspace: WorkspaceKey,
        quota: Quota,
    ) -> AdmissionState {
        let limit = self.measure.limit(quota);
        let here = self.admitted_here(now, workspace);
        let local = self.local.get(&workspace);
        let missing_since = self.domain_missing_since(now);
        let told_until = now.saturating_sub(self.report_delay);
        let told_until = missing_since.map_or(told_until, |since| since.min(told_until));
        let unreported = local.map_or(0, |local| local.admitted_since(told_until));
        let asked_here = local.map_or(0, |local| {
            local.asked_since(now.saturating_sub(self.measure.window))
        });
        // Silent VMs are left out: their share is reserved already.
        let reporting = || {
            self.reports
                .values()
                .filter(|report| report.silent_shares.is_none())
        };
        let window = self.measure.window;
        let reported = reporting().filter_map(|report| report.count_at(now, workspace, window));
        let asked = asked_here + reported.map(|reported| reported.asked).sum::<u32>();
        let others = reporting()
            .filter(|report| !report.leaving)
            .map(|report| report.vms);
        let vms = f64::from(1 + others.sum::<u32>());
        let comparable_here = match (missing_since, local) {
            (Some(since), Some(local)) => {
                local.asked_between(since.saturating_sub(self.measure.window), since)
            }
            _ => asked_here,
        };
        let comparable = asked - asked_here + comparable_here;
        let by_demand = f64::from(comparable_here) / f64::from(comparable.max(1));
        AdmissionState {
            limit: limit * self.counted_fraction(now, workspace) * self.isolation_fraction(now),
            admitted: f64::from(here + self.admitted_elsewhere(now, workspace)),
            unreported: f64::from(unreported),
            reserved: self.reserved_for_silent(now, workspace, limit),
            share: ((1.0 - EVEN_FRACTION) * by_demand * self.known_demand_fraction(now)
                + EVEN_FRACTION / vms)
                * self.reported_fraction(),
            asked: f64::from(asked),
        }
    }

    /// When a failure domain was last heard whose delegates have sent nothing for longer than usual;
    /// the earliest if there are several.
    ///
    /// If the delegates of a domain are killed, its VMs don't hear of each other, nor the others of
    /// them. Each would count its own newest requests against old ones of the others, and in a flood
    /// take a growing share. So they keep to the shares of that time, for all that they have admitted
    /// since.
    fn domain_missing_since(&self, now: Duration) -> Option<Duration> {
        let domains = self.reports.iter().filter(|(counted, report)| {
            let is_domain = matches!(counted, Counted::Domain(_));
            is_domain && report.silent_shares.is_none() && report.is_late(now)
        });
        domains.map(|(_, report)| report.received_at).min()
    }

    /// Fraction of the fleet that has sent a report since this process started.
    ///
    /// Without this, when all processes start at once, each would assume that it is the only one.
    fn reported_fraction(&self) -> f64 {
        let reporting = 1 + self.reports.values().map(|report| report.vms).sum::<u32>();
        f64::from(reporting) / f64::from(self.expected_vms.max(reporting))
    }

    /// Fraction of the other VMs' demand that reports can have told this process so far.
    ///
    /// When all processes start at once, the first reports name the VMs, but few of the requests that
    /// have arrived since, and each process would take nearly all of the demand for its own.
    fn known_demand_fraction(&self, now: Duration) -> f64 {
        if self.expected_vms <= 1 {
            return 1.0;
        }
        let counted_for = self.counted_for(now).as_secs_f64();
        (counted_for / self.report_delay.as_secs_f64()).min(1.0)
    }

    fn admitted_here(&self, now: Duration, workspace: WorkspaceKey) -> u32 {
        let local = self.local.get(&workspace);
        local.map_or(0, |local| {
            local.admitted_since(now.saturating_sub(self.measure.window))
        })
    }

    fn admitted_elsewhere(&self, now: Duration, workspace: WorkspaceKey) -> u32 {
        let reports = self.reports.values();
        let counts =
            reports.filter_map(|report| report.count_at(now, workspace, self.measure.window));
        counts.map(|count| count.admitted).sum()
    }

    /// Number of VMs that may admit requests, this one included.
    fn fleet_vms(&self) -> u32 {
        let others = self.reports.values().filter(|report| !report.leaving);
        1 + others.map(|report| report.vms).sum::<u32>()
    }

    /// Requests that silent VMs may have admitted beyond their last reports.
    fn reserved_for_silent(&self, now: Duration, workspace: WorkspaceKey, limit: f64) -> f64 {
        let earlier_demand = self.demand.front();
        let earlier_demand = earlier_demand.and_then(|(_, demand)| demand.get(&workspace));
        let earlier_demand = f64::from(earlier_demand.copied().unwrap_or(0));
        let vms = f64::from(self.fleet_vms());
        let reserved = |report: &SourceReport| {
            let shares = report.silent_shares.as_ref()?;
            let even = f64::from(report.vms) / vms;
            let by_demand = shares.get(&workspace).copied().unwrap_or(0.0);
            let share = (by_demand * earlier_demand + even * EVEN_REQUESTS)
                / (earlier_demand + EVEN_REQUESTS);
            let reported = report.count_at(now, workspace, self.measure.window);
            let admitted = reported.map_or(0, |reported| reported.admitted);
            Some((limit * share - f64::from(admitted)).max(0.0))
        };
        self.reports.values().filter_map(reserved).sum()
    }

    /// Fraction of the limit that may be used, by how long the fleet has counted.
    ///
    /// Without this, when all processes are killed at once while a workspace sends many times its
    /// limit, the new processes know nothing of what was admitted a second ago and admit as much
    /// again.
    fn counted_fraction(&self, now: Duration, workspace: WorkspaceKey) -> f64 {
        let window = self.measure.window.as_secs_f64();
        let reports = self
            .reports
            .values()
            .filter(|report| report.silent_shares.is_none());
        let reporting = reports.map(|report| (f64::from(report.vms), report.counted_for));
        let all = reporting.chain([(1.0, self.counted_for(now))]);
        let (mut vms, mut counted) = (0.0, 0.0);
        for (of, counted_for) in all {
            vms += of;
            counted += of * (counted_for.as_secs_f64() / window).min(1.0);
        }
        let counted = counted / vms;
        let local = self.counted_for(now).as_secs_f64() / window;
        if local >= 1.0 || !self.near_limit_at_start.contains(&workspace) {
            return counted.max(RESTART_LIMIT_FRACTION);
        }
        // Older VMs know what was admitted before; where there are none, the whole limit may have
        // been used.
        let older = (counted - local) / (1.0 - local);
        match older >= 0.5 {
            true => counted,
            false => older.max(0.0),
        }
    }

    fn isolation_fraction(&self, now: Duration) -> f64 {
        let long = self
            .isolated_since
            .is_some_and(|since| now >= since + SILENT_HOLD);
        if long {
            ISOLATED_LIMIT_FRACTION
        } else {
            1.0
        }
    }

    fn update_isolation(&mut self, now: Duration, view: FleetView) {
        let reporting = |report: &&SourceReport| report.silent_shares.is_none() && !report.leaving;
        let reporting: u32 = self
            .reports
            .values()
            .filter(reporting)
            .map(|report| report.vms)
            .sum();
        let all = self.fleet_vms();
        let isolated = !view.store_available && 2 * (reporting + 1) < all;
        // Silent VMs are dropped from the reports after a while; without this rule an isolated VM
        // would then count itself as the majority.
        let was_isolated = !view.store_available && self.isolated_since.is_some();
        self.isolated_since = match isolated || (was_isolated && reporting == 0) {
            true => self.isolated_since.or(Some(now)),
            false => None,
        };
    }

    /// Records the total demand once a second.
    fn record_demand(&mut self, now: Duration) {
        let newest = self.demand.back().map(|(at, _)| *at);
        if newest.is_some_and(|at| now < at + Duration::from_secs(1)) {
            return;
        }
        let mut demand: HashMap<WorkspaceKey, u32> = HashMap::new();
        for count in self.counts(now) {
            *demand.entry(count.workspace).or_default() += count.asked;
        }
        for report in self.reports.values() {
            for count in report.counts_at(now, self.measure.window) {
                *demand.entry(count.workspace).or_default() += count.asked;
            }
        }
        self.demand.push_back((now, demand));
        while self.demand.len() > 1 && now >= self.demand[1].0 + DEMAND_AGE_MAX {
            self.demand.pop_front();
        }
    }
}

/// Input of the decision on one request.
#[derive(Debug, Clone, Copy)]
struct AdmissionState {
    limit: f64,
    /// Known to have been admitted within the window by all VMs.
    admitted: f64,
    /// Admitted here too recently for the other VMs to know.
    unreported: f64,
    reserved: f64,
    share: f64,
    asked: f64,
}

impl AdmissionState {
    fn admits(&self, draw: f64) -> bool {
        let room = self.limit - self.reserved - self.admitted;
        if room < 1.0 {
            return false;
        }
        // The share is one of the room as it was before the requests that the other VMs don't know
        // of.
        let spare = if room >= self.limit * SPARE_LIMIT_FRACTION {
            1.0
        } else {
            0.0
        };
        self.unreported + draw <= (room + self.unreported) * self.share + spare
    }

    /// Time after which the expected number of returning callers fits the limit.
    fn retry_after(&self, window: Duration) -> Duration {
        let excess = self.asked / self.limit.max(1.0) - 1.0;
        window
            .mul_f64(excess.clamp(0.0, 1.0))
            .clamp(RETRY_AFTER_MIN, window)
    }
}
