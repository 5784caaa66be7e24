//! Limits on the requests of workspaces, kept by all VMs together.
//!
//! Each VM counts what its callers asked for and what it let in over a sliding window, and tells the others. A request
//! comes in when three conditions hold:
//!
//! | condition | guards against |
//! | --- | --- |
//! | what all VMs are known to have let in leaves room below the limit | demand at one VM, or at all |
//! | what this VM let in and the others may not have heard of is within its share of that room, by demand | demand at many VMs within the time that news takes |
//! | the shares of VMs that are silent are left free, for as long as they may serve callers that this VM can't see | a failure domain that is cut off and serves on |
//!
//! Processes that have just started know nothing of what their predecessors let in, so the limit grows with the time for
//! which the fleet has counted.

mod counts;
mod window;

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::counts::{DomainCounts, WorkspaceCount};
use self::window::Own;
use crate::id::{OwnerId, VmId, WorkspaceId};

/// By then all other VMs have heard of what this VM let in, while a workspace is near its limit.
const HEARD_AFTER: Duration = Duration::from_millis(500);
/// The same in a large fleet, where word goes by two delegates.
const HEARD_AFTER_LARGE: Duration = Duration::from_millis(800);
/// A VM that was not heard for so long may be cut off.
const SILENT_AFTER: Duration = Duration::from_millis(1700);
/// A VM that is silent is taken to serve on for so long. Its own share ends at the same time.
const HOLD: Duration = Duration::from_secs(12);
/// Part of a limit that is divided evenly; the rest goes by demand.
const EVEN_PART: f64 = 0.2;
/// Requests that are taken to be spread evenly when demand is divided among those that are silent and the rest: a few
/// requests say little about where the next ones come.
const EVEN_REQUESTS: f64 = 10.0;
/// Part of its limit that a workspace may use at once after a restart of the whole fleet.
const START_PART: f64 = 0.1;
/// Part of its limit that a workspace keeps at VMs that have been cut off for longer than [`HOLD`].
const ISOLATED_PART: f64 = 0.1;
/// While so much of the limit is free, a VM lets one request in beyond its share: a share of few requests is less
/// than one.
const SPARE_PART: f64 = 0.25;
/// A workspace that uses so much of its limit is known to the processes that start after a restart of the fleet.
const NEAR_PART: f64 = 0.7;
/// A workspace that uses so much of its limit is told of at once.
const PRESSED_PART: f64 = 0.5;
/// The same for one that used so much of it here since the others last heard: what they don't know may be as much.
const GROWS_PART: f64 = 0.05;
/// At the least; a few requests harm nobody.
const GROWS_MIN: f64 = 3.0;
/// Demand is remembered for so long, to divide by it when VMs fall silent.
const DEMAND_MEMORY: Duration = Duration::from_secs(3);
/// Shortest time after which a refused caller is told to come back.
const RETRY_MIN: Duration = Duration::from_millis(500);

/// A workspace in what VMs tell each other: half of its id.
pub type WorkspaceKey = u32;

/// The key of a workspace.
pub fn workspace_key(workspace: WorkspaceId) -> WorkspaceKey {
    (workspace ^ (workspace >> 32)) as WorkspaceKey
}

/// Requests that a workspace may make, over all VMs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    pub rate_per_s: f64,
    /// On top of the rate.
    pub burst: f64,
}

/// How quotas are measured.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaMeasure {
    /// The window in which requests are counted.
    pub window: Duration,
    /// Part of a limit by which it may be exceeded for a while.
    pub overage: f64,
    /// Requests by which any limit may be exceeded for a while.
    pub slack: f64,
}

impl QuotaMeasure {
    /// Requests of a workspace in one window, with half of the slack: what it may be exceeded by is for what several VMs let in
    /// before they hear of each other.
    pub fn limit(&self, quota: Quota) -> f64 {
        let owed = quota.rate_per_s * self.window.as_secs_f64() + quota.burst;
        owed + self.slack / 2.0
    }
}

/// Who told counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CountSource {
    /// A VM's process.
    Process(OwnerId),
    /// A delegate, for a failure domain.
    Domain(u64),
}

/// What is known of the fleet when a request asks to be let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetView {
    /// The metadata store answers this VM.
    pub store: bool,
    /// VMs tell their delegates only.
    pub large: bool,
    /// VMs that may let requests in, this one included, as far as the store and the others have told.
    pub vms: u32,
}

/// One word of another VM or of a delegate.
#[derive(Debug, Clone)]
pub struct CountReport<'a> {
    /// VMs that it stands for.
    pub vms: u32,
    /// For how long they have counted, at the most the window.
    pub counted_for: Duration,
    /// They are about to stop, so that nothing is kept for them once they are silent.
    pub leaving: bool,
    pub counts: &'a [WorkspaceCount],
}

#[derive(Debug, Clone, Copy)]
struct Told {
    at: Duration,
    admitted: u32,
    asked: u32,
}

#[derive(Debug)]
struct Row {
    vms: u32,
    counted_for: Duration,
    heard_at: Duration,
    leaving: bool,
    counts: HashMap<WorkspaceKey, Told>,
    /// Its part of all demand, by workspace, when it fell silent; `None` while it is heard.
    shares: Option<HashMap<WorkspaceKey, f64>>,
}

/// What is used of a workspace's limit, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct QuotaUse {
    pub workspace: String,
    pub limit: f64,
    pub admitted_here: u32,
    pub asked_here: u32,
    /// By all VMs, as far as this one has heard.
    pub admitted: u32,
    /// Kept for VMs that are silent.
    pub kept_for_silent: f64,
    /// This VM's part of the limit, by demand.
    pub share: f64,
}

/// The quotas of all workspaces as one VM sees them.
#[derive(Debug)]
pub struct Quotas {
    measure: QuotaMeasure,
    started_at: Duration,
    own: HashMap<WorkspaceKey, Own>,
    told: HashMap<CountSource, Row>,
    /// All demand by workspace, the oldest first.
    demand: VecDeque<(Duration, HashMap<WorkspaceKey, u32>)>,
    /// Since when most of the fleet is silent and the store is away.
    alone_since: Option<Duration>,
    /// Workspaces that were near their quotas when this process started.
    near_before: HashSet<WorkspaceKey>,
    heard_after: Duration,
    /// VMs that may let requests in, by the last look.
    expected: u32,
}

impl Quotas {
    /// No request was counted yet.
    pub fn new(measure: QuotaMeasure, now: Duration) -> Quotas {
        Quotas {
            measure,
            started_at: now,
            own: HashMap::new(),
            told: HashMap::new(),
            demand: VecDeque::new(),
            alone_since: None,
            near_before: HashSet::new(),
            heard_after: HEARD_AFTER,
            expected: 1,
        }
    }

    /// Lets a request in, or says when its caller may come back. `draw` is uniform in 0 to 1: it rounds shares that are no
    /// whole numbers, since many VMs with a share of less than one would let nothing in.
    pub fn admit(
        &mut self,
        now: Duration,
        workspace: WorkspaceKey,
        quota: Quota,
        draw: f64,
    ) -> Result<(), Duration> {
        let measure = self.measure;
        let own = self.own.entry(workspace).or_default();
        own.expire(now, measure.window);
        own.step(now).asked += 1;
        let state = self.state(now, workspace, quota);
        match state.fits(draw) {
            true => {
                let own = self.own.entry(workspace).or_default();
                own.step(now).admitted += 1;
                Ok(())
            }
            false => Err(state.retry_after(measure.window)),
        }
    }

    /// Takes back a request that was let in and never ran.
    pub fn give_back(&mut self, workspace: WorkspaceKey, admitted_at: Duration) {
        if let Some(own) = self.own.get_mut(&workspace) {
            own.give_back(admitted_at);
        }
    }

    /// Takes what another VM, or a delegate, tells.
    pub fn apply_report(&mut self, now: Duration, source: CountSource, word: CountReport<'_>) {
        let row = self.told.entry(source).or_insert_with(|| Row {
            vms: 0,
            counted_for: Duration::ZERO,
            heard_at: now,
            leaving: false,
            counts: HashMap::new(),
            shares: None,
        });
        row.vms = word.vms;
        row.counted_for = word.counted_for;
        row.heard_at = now;
        row.leaving = word.leaving;
        row.shares = None;
        for count in word.counts {
            let told = Told {
                at: now,
                admitted: count.admitted,
                asked: count.asked,
            };
            row.counts.insert(count.workspace, told);
        }
    }

    /// A process is gone for certain: nothing is kept for it.
    pub fn replaced(&mut self, owner: OwnerId) {
        if let Some(row) = self.told.get_mut(&CountSource::Process(owner)) {
            row.leaving = true;
        }
    }

    /// A workspace was near its quota a moment before this process started.
    pub fn mark_near_limit(&mut self, workspace: WorkspaceKey) {
        self.near_before.insert(workspace);
    }

    /// Workspaces that use most of their quotas.
    pub fn near_limit(
        &self,
        now: Duration,
        quota_of: impl Fn(WorkspaceKey) -> Option<Quota>,
    ) -> Vec<WorkspaceKey> {
        let mut sums: HashMap<WorkspaceKey, WorkspaceCount> = HashMap::new();
        let own = self.counts(now).into_iter();
        let told = self.told.values();
        let told = told.flat_map(|row| row.counts_at(now, self.measure.window));
        own.chain(told).for_each(|count| count.add_to(&mut sums));
        let near = |count: &WorkspaceCount| {
            let limit = quota_of(count.workspace).map(|quota| self.measure.limit(quota));
            limit.is_some_and(|limit| f64::from(count.admitted) >= limit * NEAR_PART)
        };
        let near = sums.into_values().filter(near);
        near.map(|count| count.workspace).collect()
    }

    /// Forgets what processes told, where a delegate tells it from now on, or the other way round.
    pub fn forget_reports(&mut self) {
        self.told.clear();
    }

    /// Looks at what time alone changes; each few tens of milliseconds.
    pub fn tick(&mut self, now: Duration, view: FleetView) {
        self.expected = view.vms;
        self.heard_after = match view.large {
            true => HEARD_AFTER_LARGE,
            false => HEARD_AFTER,
        };
        self.remember_demand(now);
        let before = self.demand.front().map(|(_, demand)| demand);
        let window = self.measure.window;
        for row in self.told.values_mut() {
            let silent = now >= row.heard_at + SILENT_AFTER;
            if silent && !row.leaving && row.shares.is_none() {
                row.shares = Some(row.shares_of(before));
            }
        }
        self.told.retain(|_, row| {
            let life = if row.leaving { window } else { HOLD };
            now < row.heard_at + life.max(window)
        });
        for own in self.own.values_mut() {
            own.expire(now, window);
        }
        self.own.retain(|_, own| !own.is_empty());
        self.note_alone(now, view);
    }

    /// Own counts of all workspaces that asked for something within the window, those with most first.
    pub fn counts(&self, now: Duration) -> Vec<WorkspaceCount> {
        let count = |(workspace, own): (&WorkspaceKey, &Own)| WorkspaceCount {
            workspace: *workspace,
            admitted: own.admitted_since(now.saturating_sub(self.measure.window)),
            asked: own.asked_since(now.saturating_sub(self.measure.window)),
        };
        let mut counts: Vec<WorkspaceCount> = self.own.iter().map(count).collect();
        counts.retain(|count| count.asked > 0);
        counts.sort_by_key(|count| std::cmp::Reverse((count.asked, count.workspace)));
        counts
    }

    /// Counts of a failure domain: of this VM and of all processes that were heard, also of those that are gone by now.
    /// `others` are the VMs and their processes of now.
    pub fn domain_counts(&self, now: Duration, others: &[(VmId, OwnerId)]) -> DomainCounts {
        let mut sums: HashMap<WorkspaceKey, WorkspaceCount> = HashMap::new();
        let mut by_vm: HashMap<VmId, Vec<WorkspaceCount>> = HashMap::new();
        let (mut vms, mut counted_for) = (1, self.counted_for(now));
        self.counts(now)
            .iter()
            .for_each(|count| count.add_to(&mut sums));
        for (source, row) in &self.told {
            let CountSource::Process(process) = source else {
                continue;
            };
            let counts = row.counts_at(now, self.measure.window);
            counts.iter().for_each(|count| count.add_to(&mut sums));
            if let Some((vm, _)) = others.iter().find(|(_, owner)| owner == process) {
                by_vm.insert(*vm, counts);
                vms += 1;
                counted_for += row.counted_for;
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

    /// Whether a workspace uses so much of its limit that other VMs are to hear of it at once.
    pub fn needs_prompt_report(
        &self,
        now: Duration,
        workspace: WorkspaceKey,
        quota: Quota,
    ) -> bool {
        let limit = self.measure.limit(quota) * self.counted_part(now, workspace);
        let admitted = self.admitted_elsewhere(now, workspace) + self.admitted_here(now, workspace);
        let unheard = self.own.get(&workspace).map_or(0, |own| {
            own.admitted_since(now.saturating_sub(self.heard_after))
        });
        let grows = f64::from(unheard) >= (limit * GROWS_PART).max(GROWS_MIN);
        grows || f64::from(admitted) > limit * PRESSED_PART
    }

    /// For how long this VM has counted, at the most the window.
    pub fn counted_for(&self, now: Duration) -> Duration {
        let counted = now.saturating_sub(self.started_at);
        counted.min(self.measure.window)
    }

    /// What is used of a workspace's limit.
    pub fn used(
        &self,
        now: Duration,
        name: &str,
        workspace: WorkspaceKey,
        quota: Quota,
    ) -> QuotaUse {
        let state = self.state(now, workspace, quota);
        let own = self.own.get(&workspace);
        let since = now.saturating_sub(self.measure.window);
        QuotaUse {
            workspace: name.to_owned(),
            limit: self.measure.limit(quota),
            admitted_here: own.map_or(0, |own| own.admitted_since(since)),
            asked_here: own.map_or(0, |own| own.asked_since(since)),
            admitted: state.admitted as u32,
            kept_for_silent: state.kept,
            share: state.share,
        }
    }

    fn state(&self, now: Duration, workspace: WorkspaceKey, quota: Quota) -> State {
        let limit = self.measure.limit(quota);
        let here = self.admitted_here(now, workspace);
        let own = self.own.get(&workspace);
        let unheard = own.map_or(0, |own| {
            own.admitted_since(now.saturating_sub(self.heard_after))
        });
        let asked_here = own.map_or(0, |own| {
            own.asked_since(now.saturating_sub(self.measure.window))
        });
        // Those that are silent have their part by what is kept for them.
        let heard = || self.told.values().filter(|row| row.shares.is_none());
        let window = self.measure.window;
        let told = heard().filter_map(|row| row.told_at(now, workspace, window));
        let asked = asked_here + told.map(|told| told.asked).sum::<u32>();
        let others = heard().filter(|row| !row.leaving).map(|row| row.vms);
        let vms = f64::from(1 + others.sum::<u32>());
        let by_demand = f64::from(asked_here) / f64::from(asked.max(1));
        State {
            limit: limit * self.counted_part(now, workspace) * self.isolated_part(now),
            admitted: f64::from(here + self.admitted_elsewhere(now, workspace)),
            unheard: f64::from(unheard),
            kept: self.kept_for_silent(now, workspace, limit),
            share: ((1.0 - EVEN_PART) * by_demand + EVEN_PART / vms) * self.heard_part(),
            asked: f64::from(asked),
        }
    }

    /// Part of the fleet that has told of itself since this process started.
    ///
    /// The failure: all processes start at once, and each takes it that it is the only one.
    fn heard_part(&self) -> f64 {
        let heard = 1 + self.told.values().map(|row| row.vms).sum::<u32>();
        f64::from(heard) / f64::from(self.expected.max(heard))
    }

    fn admitted_here(&self, now: Duration, workspace: WorkspaceKey) -> u32 {
        let own = self.own.get(&workspace);
        own.map_or(0, |own| {
            own.admitted_since(now.saturating_sub(self.measure.window))
        })
    }

    fn admitted_elsewhere(&self, now: Duration, workspace: WorkspaceKey) -> u32 {
        let rows = self.told.values();
        let told = rows.filter_map(|row| row.told_at(now, workspace, self.measure.window));
        told.map(|told| told.admitted).sum()
    }

    /// All VMs that may let requests in, this one included.
    fn vms(&self) -> u32 {
        let others = self.told.values().filter(|row| !row.leaving);
        1 + others.map(|row| row.vms).sum::<u32>()
    }

    /// What silent VMs may have let in, beyond what they are known to have.
    fn kept_for_silent(&self, now: Duration, workspace: WorkspaceKey, limit: f64) -> f64 {
        let before = self.demand.front();
        let before = before.and_then(|(_, demand)| demand.get(&workspace));
        let before = f64::from(before.copied().unwrap_or(0));
        let vms = f64::from(self.vms());
        let kept = |row: &Row| {
            let shares = row.shares.as_ref()?;
            let even = f64::from(row.vms) / vms;
            let by_demand = shares.get(&workspace).copied().unwrap_or(0.0);
            let share = (by_demand * before + even * EVEN_REQUESTS) / (before + EVEN_REQUESTS);
            let told = row.told_at(now, workspace, self.measure.window);
            let admitted = told.map_or(0, |told| told.admitted);
            Some((limit * share - f64::from(admitted)).max(0.0))
        };
        self.told.values().filter_map(kept).sum()
    }

    /// Part of the limit that may be used, by how long the fleet has counted.
    ///
    /// The failure: all processes are killed at once while a workspace asks for many times its limit. Those that start in
    /// their place know nothing of what was let in a second ago, and let as much in again.
    fn counted_part(&self, now: Duration, workspace: WorkspaceKey) -> f64 {
        let window = self.measure.window.as_secs_f64();
        let rows = self.told.values().filter(|row| row.shares.is_none());
        let heard = rows.map(|row| (f64::from(row.vms), row.counted_for));
        let all = heard.chain([(1.0, self.counted_for(now))]);
        let (mut vms, mut counted) = (0.0, 0.0);
        for (of, counted_for) in all {
            vms += of;
            counted += of * (counted_for.as_secs_f64() / window).min(1.0);
        }
        let counted = counted / vms;
        let own = self.counted_for(now).as_secs_f64() / window;
        if own >= 1.0 || !self.near_before.contains(&workspace) {
            return counted.max(START_PART);
        }
        // VMs that did not start with this one know what was let in before; where there are none it may have been all.
        let older = (counted - own) / (1.0 - own);
        match older >= 0.5 {
            true => counted,
            false => older.max(0.0),
        }
    }

    fn isolated_part(&self, now: Duration) -> f64 {
        let long = self.alone_since.is_some_and(|since| now >= since + HOLD);
        if long {
            ISOLATED_PART
        } else {
            1.0
        }
    }

    fn note_alone(&mut self, now: Duration, view: FleetView) {
        let heard = |row: &&Row| row.shares.is_none() && !row.leaving;
        let heard: u32 = self.told.values().filter(heard).map(|row| row.vms).sum();
        let all = self.vms();
        let alone = !view.store && 2 * (heard + 1) < all;
        // What was silent for long is forgotten, so that nobody is left to be in the majority.
        let stays = !view.store && self.alone_since.is_some();
        self.alone_since = match alone || (stays && heard == 0) {
            true => self.alone_since.or(Some(now)),
            false => None,
        };
    }

    /// Notes all demand once a second.
    fn remember_demand(&mut self, now: Duration) {
        let newest = self.demand.back().map(|(at, _)| *at);
        if newest.is_some_and(|at| now < at + Duration::from_secs(1)) {
            return;
        }
        let mut demand: HashMap<WorkspaceKey, u32> = HashMap::new();
        for count in self.counts(now) {
            *demand.entry(count.workspace).or_default() += count.asked;
        }
        for row in self.told.values() {
            for (workspace, told) in &row.counts {
                if now < told.at + self.measure.window {
                    *demand.entry(*workspace).or_default() += told.asked;
                }
            }
        }
        self.demand.push_back((now, demand));
        while self.demand.len() > 1 && now >= self.demand[1].0 + DEMAND_MEMORY {
            self.demand.pop_front();
        }
    }
}

/// What decides on one request.
#[derive(Debug, Clone, Copy)]
struct State {
    limit: f64,
    /// Known to be let in within the window, by all VMs.
    admitted: f64,
    /// Let in here of late, so that the others may not know of it.
    unheard: f64,
    kept: f64,
    share: f64,
    asked: f64,
}

impl State {
    fn fits(&self, draw: f64) -> bool {
        let room = self.limit - self.kept - self.admitted;
        if room < 1.0 {
            return false;
        }
        // Room before what this VM let in unheard: its share is one of all of them.
        let spare = if room >= self.limit * SPARE_PART {
            1.0
        } else {
            0.0
        };
        self.unheard + draw <= (room + self.unheard) * self.share + spare
    }

    /// By then the callers that come back are as many as fit.
    fn retry_after(&self, window: Duration) -> Duration {
        let over = self.asked / self.limit.max(1.0) - 1.0;
        window
            .mul_f64(over.clamp(0.0, 1.0))
            .clamp(RETRY_MIN, window)
    }
}

impl Row {
    /// What was told of a workspace, while it is still within the window.
    fn told_at(&self, now: Duration, workspace: WorkspaceKey, window: Duration) -> Option<&Told> {
        let told = self.counts.get(&workspace);
        told.filter(|told| now < told.at + window)
    }

    fn counts_at(&self, now: Duration, window: Duration) -> Vec<WorkspaceCount> {
        let counts = self
            .counts
            .iter()
            .filter(|(_, told)| now < told.at + window);
        let count = |(workspace, told): (&WorkspaceKey, &Told)| WorkspaceCount {
            workspace: *workspace,
            admitted: told.admitted,
            asked: told.asked,
        };
        counts.map(count).collect()
    }

    fn shares_of(&self, demand: Option<&HashMap<WorkspaceKey, u32>>) -> HashMap<WorkspaceKey, f64> {
        let share = |(workspace, told): (&WorkspaceKey, &Told)| {
            let all = demand?.get(workspace).copied()?;
            let share = f64::from(told.asked) / f64::from(all.max(told.asked).max(1));
            Some((*workspace, share))
        };
        self.counts.iter().filter_map(share).collect()
    }
}
