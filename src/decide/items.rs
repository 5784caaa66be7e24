//! Schedules batch items on endpoints, and preempts them for online requests.
//!
//! Engines admit requests in order of arrival and have no priorities, so an item is sent only when
//! a slot is free, and is preempted when online requests need the slot. A preempted item resumes
//! later after its last event, so little work is lost.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::endpoints::{Endpoint, Endpoints};
use super::idle::{IdleCounter, IdleSnapshot};
use super::slot_grants::{CompetingVm, EndpointPlace, SlotGrants, START_UNSEEN_TIME};
use super::small_jobs::ItemIndex;
use super::unclaimed_slots::{SlotUse, UnclaimedSlots};
use super::usage::{own_excess, Usage};
use crate::id::{DomainId, EndpointId, JobId, Name, ServiceId, VmId};

/// Share of an endpoint's slots that urgent items may use regardless of online load. Keeps jobs
/// from starving when online load fills the fleet for minutes.
pub const URGENT_SLOT_SHARE: f64 = 0.25;
/// Spare time below which an item counts as urgent; covers a wait for a slot and one failed run.
pub const URGENT_MARGIN: Duration = Duration::from_millis(1500);
/// Assumed run time of an item, as a part of its job's total time, until an item has completed.
const RUN_TIME_GUESS: f64 = 0.25;
/// Weight of the newest item in the moving average of run times.
const RUN_TIME_NEWEST_WEIGHT: f64 = 0.1;
/// Delay before the retry of an item whose run failed because of its endpoint.
pub const FAILED_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Longest time for which an item keeps a text that it may not continue.
pub const UNCONFIRMED_WAIT_MAX: Duration = Duration::from_secs(4);
/// Delay before a preempted item may start again. The actions of other VMs show within this time;
/// without the delay items are started and preempted many times a second during a burst.
pub const PREEMPTED_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Time without progress after which an item no longer waits for endpoints of its software version
/// that are out of use: they may never come back.
const OWN_VERSION_WAIT_MAX: Duration = Duration::from_millis(3000);
/// Time for which items go on competing after their last endpoint went out of use: endpoints that
/// restart are back by then, and nobody has to be told.
const OUT_OF_USE_MAX: Duration = Duration::from_secs(3);
/// Shortest time between two announcements of an item, each of which delays it. Without it an item
/// whose endpoints go in and out of use would never start.
const ANNOUNCE_INTERVAL_MIN: Duration = Duration::from_secs(10);

/// One item of one job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ItemKey {
    pub job: JobId,
    pub item: ItemIndex,
}

/// Responses of 500 after which an item is given up in any case, as a multiple of its route's
/// attempts.
const UNCHARGED_FACTOR: u32 = 2;

/// Why an item has no run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum WaitReason {
    /// The quarantine delays it.
    HeldBack,
    /// Its last run was preempted or failed a moment ago, nothing could run it until then, or the store
    /// can't tell yet which software made its text.
    Delayed,
    /// Its service has no endpoint in use.
    NoEndpoint,
    /// No endpoint in use has the software version that made its text, and it may not restart yet.
    OtherSoftware,
    /// All slots of the endpoints that could run it are taken.
    NoFreeSlot,
    /// The free slots are granted to other VMs.
    SlotsGranted,
}

/// An item without a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingItem {
    pub key: ItemKey,
    pub reason: WaitReason,
    /// When its last run ended, or it was added.
    pub since: Duration,
}

/// State of an item's execution.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    Waiting {
        not_before: Duration,
    },
    Running {
        endpoint: EndpointId,
        since: Duration,
        /// A stop was requested; from then on its slot counts as free.
        stopping: bool,
    },
}

#[derive(Debug, Clone)]
struct ItemState {
    service: ServiceId,
    due: Duration,
    /// Run time of earlier runs; their events count.
    earlier_run_time: Duration,
    stage: Stage,
    /// When its last run ended, or it was added. An attempt that the quarantine refuses is no run.
    waits_since: Duration,
    /// Until when the quarantine delays it, if it refused the last attempt.
    held_until: Option<Duration>,
    /// Whether it competes for slots while it waits: it is not held back, and an endpoint that can
    /// run it is in use or was a moment ago.
    competes: bool,
    /// When the other VMs were last told that it competes again.
    announced_at: Option<Duration>,
    /// Software version of the endpoints that made its text; `None` while it has none.
    software: Option<Name>,
    /// When it was last known to make progress: its text grew, it was preempted or it was added.
    progressed_at: Duration,
    /// Endpoint of the last failed run, if that run had no new event.
    unproductive_at: Option<EndpointId>,
    /// Endpoints of failed runs, used only when there is no other; the last one alone unless
    /// [`Items::avoid_all_failed`].
    avoid: Vec<EndpointId>,
}

/// What the host has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    Start {
        key: ItemKey,
        endpoint: EndpointId,
        /// Drop its partial text, which this endpoint's software can't continue.
        from_start: bool,
    },
    /// Close the item's connection and keep its partial text.
    Stop { key: ItemKey },
}

/// All items that this VM is responsible for.
#[derive(Debug, Default, Clone)]
pub struct Items {
    states: HashMap<ItemKey, ItemState>,
    /// Moving average of the run time of a completed item.
    typical_run_time: Option<Duration>,
    /// Slot grants by service.
    slot_grants: HashMap<ServiceId, SlotGrants>,
    unclaimed_slots: UnclaimedSlots,
    /// Other VMs with items that wait for a service, where VMs report their items by service; the
    /// other services have those of the [`ItemPlanner`].
    pub competing_vms: HashMap<ServiceId, Vec<CompetingVm>>,
    /// When a software version of a service last had an endpoint in use, as of the last plan; not
    /// longer ago than [`OUT_OF_USE_MAX`].
    last_usable: HashMap<(ServiceId, Name), Duration>,
    /// Whether an item avoids all endpoints where it failed, not only the last.
    pub avoid_all_failed: bool,
    /// Free slots that stayed unused while items waited.
    pub idle: IdleCounter,
}

/// The VM for which items are scheduled, and the VMs that it competes with.
pub struct ItemPlanner<'a> {
    pub vm: VmId,
    pub domain: DomainId,
    /// Other VMs with waiting items.
    pub competing_vms: &'a [CompetingVm],
    /// False while the VM drains.
    pub may_start: bool,
}

/// This VM's items at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointItems {
    pub batch: u32,
    /// Items of `batch` that would miss their due time if they were preempted now.
    pub urgent: u32,
}

/// Slots and load of an endpoint in one scheduling pass.
struct EndpointCapacity {
    id: EndpointId,
    service: ServiceId,
    domain: DomainId,
    software: Name,
    usable: bool,
    /// It is not draining.
    in_service: bool,
    /// Slots by which it ranks lower for recent failures.
    penalty_slots: i64,
    slots: u32,
    /// The same without the reduction after an ejection, which holds for new work only.
    full_slots: u32,
    online: u32,
    batch_here: u32,
    batch_elsewhere: u32,
    /// Urgent items of all VMs.
    urgent: u32,
    /// Whether this VM was denied a slot grant in this pass, for regular and for urgent items.
    /// Cached, because ranking hundreds of VMs at thousands of endpoints again for each item would
    /// take too long.
    denied: [bool; 2],
}

impl EndpointCapacity {
    /// Free slots, negative when the endpoint is overcommitted.
    fn free_slots(&self) -> i64 {
        i64::from(self.slots) - i64::from(self.used_slots())
    }

    fn used_slots(&self) -> u32 {
        self.online + self.batch_here + self.batch_elsewhere
    }

    /// Whether an item of a service can run there, after the text that `software` made if there is
    /// any.
    fn can_continue(&self, service: ServiceId, software: Option<&Name>) -> bool {
        let fits = |software: &Name| !software.is_empty() && *software == self.software;
        self.service == service && software.is_none_or(fits)
    }

    /// Slots that items may take: free ones, and for urgent items also those reserved from online
    /// requests.
    fn open_slots(&self, urgent: bool) -> u32 {
        let free = self.free_slots().max(0) as u32;
        match urgent {
            true => free.max(urgent_slots_max(self.slots).saturating_sub(self.urgent)),
            false => free,
        }
    }
}

/// Slots of an endpoint that urgent items may keep from online requests.
pub fn urgent_slots_max(slots: u32) -> u32 {
    (f64::from(slots) * URGENT_SLOT_SHARE) as u32
}

/// Whether an item keeps a text that it may not continue since `unconfirmed_since`: for as long as a
/// new one would take to make, as `ran` tells.
///
/// It lasts for an unknown time until the store can tell which software serves. By then an item that
/// waits has lost at most as much time again as one that is run anew at once.
pub fn keeps_text(now: Duration, unconfirmed_since: Duration, ran: Duration) -> bool {
    now < unconfirmed_since + ran.min(UNCONFIRMED_WAIT_MAX)
}

/// Whether an item is given up after `failures` responses of 500, `uncharged` of them from endpoints
/// that fail other requests too.
pub fn is_given_up(failures: u32, uncharged: u32, attempts_max: u32) -> bool {
    let charged = failures.saturating_sub(uncharged);
    charged >= attempts_max || failures >= attempts_max.saturating_mul(UNCHARGED_FACTOR)
}

impl Items {
    /// Adds an item with the due time `due` (monotonic).
    pub fn add(&mut self, now: Duration, key: ItemKey, service: ServiceId, due: Duration) {
        let guess = due.saturating_sub(now).mul_f64(RUN_TIME_GUESS);
        self.typical_run_time.get_or_insert(guess);
        let stage = Stage::Waiting {
            not_before: Duration::ZERO,
        };
        let state = ItemState {
            service,
            due,
            earlier_run_time: Duration::ZERO,
            stage,
            waits_since: now,
            held_until: None,
            competes: true,
            announced_at: None,
            software: None,
            progressed_at: now,
            unproductive_at: None,
            avoid: Vec::new(),
        };
        self.states.insert(key, state);
    }

    /// Removes an item that ran to its end, and updates the average run time.
    pub fn completed(&mut self, now: Duration, key: &ItemKey) {
        let Some(state) = self.states.remove(key) else {
            return;
        };
        let run_time = state.earlier_run_time + state.current_run_time(now);
        let typical = self.typical_run_time.unwrap_or(run_time);
        self.typical_run_time = Some(
            typical.mul_f64(1.0 - RUN_TIME_NEWEST_WEIGHT)
                + run_time.mul_f64(RUN_TIME_NEWEST_WEIGHT),
        );
    }

    /// Removes an item that ended without a complete run.
    pub fn remove(&mut self, key: &ItemKey) {
        self.states.remove(key);
    }

    /// A run ended without a result: the item waits again. `failed` when its endpoint caused it.
    pub fn paused(&mut self, now: Duration, key: &ItemKey, failed: bool) {
        let Some(state) = self.states.get_mut(key) else {
            return;
        };
        state.earlier_run_time += state.current_run_time(now);
        if let (
            Stage::Running {
                endpoint, since, ..
            },
            true,
        ) = (state.stage, failed)
        {
            if !self.avoid_all_failed {
                state.avoid.clear();
            }
            state.avoid.push(endpoint);
            state.unproductive_at = (state.progressed_at <= since).then_some(endpoint);
        }
        if !failed {
            state.progressed_at = now;
        }
        let delay = if failed {
            FAILED_RETRY_AFTER
        } else {
            PREEMPTED_RETRY_AFTER
        };
        state.stage = Stage::Waiting {
            not_before: now + delay,
        };
        state.waits_since = now;
        state.held_until = None;
    }

    /// Records that an item's text grew in its current run.
    pub fn progressed(&mut self, now: Duration, key: &ItemKey) {
        if let Some(state) = self.states.get_mut(key) {
            state.progressed_at = now;
            state.unproductive_at = None;
            state.avoid.clear();
        }
    }

    /// Delays an item that the quarantine refused to run for `back_in`; it is tried again after
    /// `recheck_in`, since it may be admitted sooner.
    pub fn quarantined(
        &mut self,
        now: Duration,
        key: &ItemKey,
        back_in: Duration,
        recheck_in: Duration,
    ) {
        self.start_withdrawn(key, now + recheck_in);
        if let Some(state) = self.states.get_mut(key) {
            state.held_until = Some(now + back_in);
        }
    }

    /// Delays an item that can't go on yet for a reason of its own; it is tried again after
    /// `recheck_in`.
    pub fn delayed(&mut self, now: Duration, key: &ItemKey, recheck_in: Duration) {
        self.start_withdrawn(key, now + recheck_in);
    }

    /// Puts an item that was started but not sent back among those that wait.
    fn start_withdrawn(&mut self, key: &ItemKey, not_before: Duration) {
        let Some(state) = self.states.get_mut(key) else {
            return;
        };
        if let Stage::Running {
            endpoint, since, ..
        } = state.stage
        {
            if let Some(grants) = self.slot_grants.get_mut(&state.service) {
                grants.withdraw_start(since, endpoint);
            }
        }
        state.stage = Stage::Waiting { not_before };
    }

    /// Sets the earlier run time of an item that resumes here after it ran on another VM.
    pub fn set_run_time(&mut self, key: &ItemKey, ran: Duration) {
        if let Some(state) = self.states.get_mut(key) {
            state.earlier_run_time = ran;
        }
    }

    /// Records that an item's text was dropped, so that any software may run it.
    pub fn text_dropped(&mut self, key: &ItemKey) {
        if let Some(state) = self.states.get_mut(key) {
            state.software = None;
        }
    }

    /// Records which software made the first event of an item's text.
    pub fn began(&mut self, key: &ItemKey, software: Name) {
        if let Some(state) = self.states.get_mut(key) {
            state.software = Some(software);
        }
    }

    /// Total run time of an item.
    pub fn run_time(&self, now: Duration, key: &ItemKey) -> Duration {
        let state = self.states.get(key);
        state.map_or(Duration::ZERO, |state| {
            state.earlier_run_time + state.current_run_time(now)
        })
    }

    /// Changes the service of an item after a change of the routes.
    pub fn service_changed(&mut self, key: &ItemKey, service: ServiceId) {
        if let Some(state) = self.states.get_mut(key) {
            state.service = service;
        }
    }

    /// Keys of all items, to check their routes.
    pub fn keys(&self) -> Vec<ItemKey> {
        self.states.keys().cloned().collect()
    }

    /// Number of items, and of running ones.
    pub fn counts(&self) -> (usize, usize) {
        let running = self
            .states
            .values()
            .filter(|state| state.occupied_endpoint().is_some());
        (self.states.len(), running.count())
    }

    /// Items of this VM running at an endpoint.
    pub fn running_at(&self, endpoint: EndpointId) -> u32 {
        let here = |state: &&ItemState| state.occupied_endpoint() == Some(endpoint);
        self.states.values().filter(here).count() as u32
    }

    /// Items of this VM by endpoint.
    pub fn by_endpoint(&self, now: Duration) -> HashMap<EndpointId, EndpointItems> {
        let mut by_endpoint: HashMap<EndpointId, EndpointItems> = HashMap::new();
        for state in self.states.values() {
            let Some(endpoint) = state.occupied_endpoint() else {
                continue;
            };
            let counts = by_endpoint.entry(endpoint).or_default();
            counts.batch += 1;
            counts.urgent += u32::from(self.is_urgent(now, state));
        }
        by_endpoint
    }

    /// Whether an item would miss its due time if it were not running from now on. Items that are
    /// already late are not urgent: running them sooner gains little.
    fn is_urgent(&self, now: Duration, state: &ItemState) -> bool {
        let typical = self.typical_run_time.unwrap_or_default();
        let ran = state.earlier_run_time + state.current_run_time(now);
        let left = typical.saturating_sub(ran);
        now < state.due && now + left + URGENT_MARGIN >= state.due
    }

    /// Whether an item can't be done by its due time any more. Such items go after all that still
    /// can.
    ///
    /// Without this, in a flood that exceeds the capacity, ordering by due time alone ends each
    /// item just after it was due. Measured in floods of 60 and 40 times the usual jobs: 317 and
    /// 296 items in time before, 329 to 359 with this order.
    fn is_hopeless(&self, now: Duration, state: &ItemState) -> bool {
        let left = self
            .typical_run_time
            .unwrap_or_default()
            .saturating_sub(state.earlier_run_time);
        now + left >= state.due
    }

    /// Updates the usage of all VMs in the endpoints' rows.
    pub fn update_usage(&self, now: Duration, endpoints: &mut Endpoints, usage: &Usage) {
        let by_endpoint = self.by_endpoint(now);
        for endpoint in &mut endpoints.rows {
            let here = by_endpoint.get(&endpoint.id).copied().unwrap_or_default();
            update_endpoint_usage(now, endpoint, here, usage);
        }
    }

    /// Like [`Items::update_usage`], for the endpoints of one VM's report. Returns whether one of
    /// them is over its limit and has items of this VM, which then have to be scheduled again.
    pub fn update_usage_at(
        &self,
        now: Duration,
        endpoints: &mut Endpoints,
        usage: &Usage,
        reported: &[EndpointId],
    ) -> bool {
        let by_endpoint = self.by_endpoint(now);
        let mut over_limit = false;
        for id in reported {
            if let Some(endpoint) = endpoints.get_mut(*id) {
                let here = by_endpoint.get(id).copied().unwrap_or_default();
                update_endpoint_usage(now, endpoint, here, usage);
                over_limit |= here.batch > 0 && endpoint.may_queue(now);
            }
        }
        over_limit
    }

    /// Preempts excess items and starts items that fit.
    pub fn plan(
        &mut self,
        now: Duration,
        planner: &ItemPlanner<'_>,
        endpoints: &Endpoints,
        usage: &Usage,
    ) -> Vec<Action> {
        let mut capacities = self.capacities(now, endpoints, usage);
        let mut out = Vec::new();
        for capacity in &mut capacities {
            self.preempt_excess(now, planner.vm, capacity, usage, &mut out);
        }
        self.update_competing(now, &capacities);
        self.update_unclaimed_slots(now, &capacities);
        if planner.may_start {
            self.start(now, planner, &mut capacities, &mut out);
        }
        let snapshot = self.idle_snapshot(now, planner, &capacities);
        self.idle.record(now, snapshot);
        out
    }

    /// Updates the free slots that nobody takes while items wait here.
    fn update_unclaimed_slots(&mut self, now: Duration, capacities: &[EndpointCapacity]) {
        let mut states = self.states.values();
        let waits = states.any(|state| matches!(state.stage, Stage::Waiting { .. }));
        let usable = capacities.iter().filter(|one| waits && one.usable);
        let slot_use = |capacity: &EndpointCapacity| SlotUse {
            endpoint: capacity.id,
            free: capacity.free_slots().max(0) as u32,
            batch_elsewhere: capacity.batch_elsewhere,
        };
        self.unclaimed_slots.update(now, usable.map(slot_use));
    }

    /// Free slots, and the items waiting meanwhile.
    fn idle_snapshot(
        &self,
        now: Duration,
        planner: &ItemPlanner<'_>,
        capacities: &[EndpointCapacity],
    ) -> IdleSnapshot {
        let usable = capacities.iter().filter(|capacity| capacity.usable);
        let mut snapshot = IdleSnapshot {
            free_slots: usable.map(|capacity| capacity.open_slots(false)).sum(),
            may_start: planner.may_start,
            ..IdleSnapshot::default()
        };
        for state in self.states.values() {
            match state.stage {
                Stage::Waiting { not_before } if now < not_before => snapshot.paused += 1,
                Stage::Waiting { .. } => snapshot.ready += 1,
                Stage::Running { .. } => {}
            }
        }
        snapshot
    }

    /// Number of items that compete for slots, as of the last plan.
    ///
    /// Slots are granted to VMs by this number. Items that can't run don't count, else their VM
    /// would be granted slots that it leaves empty.
    pub fn waiting_count(&self) -> usize {
        let waits =
            |state: &&ItemState| state.competes && matches!(state.stage, Stage::Waiting { .. });
        self.states.values().filter(waits).count()
    }

    /// The same by service.
    pub fn waiting_by_service(&self) -> HashMap<ServiceId, u32> {
        let mut by_service: HashMap<ServiceId, u32> = HashMap::new();
        for state in self.states.values() {
            if state.competes && matches!(state.stage, Stage::Waiting { .. }) {
                *by_service.entry(state.service).or_default() += 1;
            }
        }
        by_service
    }

    /// Updates which items compete for slots.
    fn update_competing(&mut self, now: Duration, capacities: &[EndpointCapacity]) {
        for capacity in capacities.iter().filter(|capacity| capacity.usable) {
            let version = (capacity.service, capacity.software.clone());
            self.last_usable.insert(version, now);
        }
        self.last_usable.retain(|_, at| now < *at + OUT_OF_USE_MAX);
        let usable: HashSet<(ServiceId, &Name)> = self
            .last_usable
            .keys()
            .map(|(service, software)| (*service, software))
            .collect();
        let services: HashSet<ServiceId> = usable.iter().map(|(service, _)| *service).collect();
        let typical = self.typical_run_time.unwrap_or_default();
        // Other VMs have to receive that an item competes again before it takes a slot.
        let seen_at = now + START_UNSEEN_TIME;
        for state in self.states.values_mut() {
            let Stage::Waiting { not_before } = state.stage else {
                continue;
            };
            let has_own_version = match &state.software {
                Some(software) => {
                    !software.is_empty() && usable.contains(&(state.service, software))
                }
                None => true,
            };
            let has_endpoint = services.contains(&state.service)
                && (has_own_version || state.may_restart(now, typical, capacities));
            let runs_from = state.held_until.map_or(not_before, |at| at.max(not_before));
            let competes = has_endpoint && runs_from <= seen_at;
            let may_announce = state
                .announced_at
                .is_none_or(|at| now >= at + ANNOUNCE_INTERVAL_MIN);
            if competes && !state.competes && may_announce {
                state.announced_at = Some(now);
                state.stage = Stage::Waiting {
                    not_before: not_before.max(seen_at),
                };
            }
            state.competes = competes;
        }
    }

    /// Items without a run, the one that has waited longest first.
    pub fn waiting(&self, now: Duration, endpoints: &Endpoints, usage: &Usage) -> Vec<WaitingItem> {
        let capacities = self.capacities(now, endpoints, usage);
        let typical = self.typical_run_time.unwrap_or_default();
        let waiting = |(key, state): (&ItemKey, &ItemState)| {
            Some(WaitingItem {
                key: key.clone(),
                reason: state.wait_reason(now, typical, &capacities)?,
                since: state.waits_since,
            })
        };
        let mut found: Vec<WaitingItem> = self.states.iter().filter_map(waiting).collect();
        found.sort_by(|a, b| (a.since, &a.key).cmp(&(b.since, &b.key)));
        found
    }

    fn capacities(
        &self,
        now: Duration,
        endpoints: &Endpoints,
        usage: &Usage,
    ) -> Vec<EndpointCapacity> {
        let by_endpoint = self.by_endpoint(now);
        let capacity = |endpoint: &Endpoint| {
            let elsewhere = usage.total(endpoint.id);
            let here = by_endpoint.get(&endpoint.id).copied().unwrap_or_default();
            EndpointCapacity {
                id: endpoint.id,
                service: endpoint.config.service,
                domain: endpoint.config.domain,
                software: endpoint.config.software.clone(),
                usable: endpoint.usable(now),
                in_service: endpoint.leaving.is_none(),
                penalty_slots: (endpoint.penalty * endpoint.slots(now)).ceil() as i64,
                slots: endpoint.slots(now) as u32,
                full_slots: endpoint.limit.slots() as u32,
                online: endpoint.online_here + elsewhere.online,
                batch_here: here.batch,
                batch_elsewhere: elsewhere.batch,
                urgent: here.urgent + elsewhere.urgent,
                denied: [false; 2],
            }
        };
        endpoints.rows.iter().map(capacity).collect()
    }

    fn preempt_excess(
        &mut self,
        now: Duration,
        vm: VmId,
        capacity: &mut EndpointCapacity,
        usage: &Usage,
        out: &mut Vec<Action>,
    ) {
        let batch = capacity.batch_here + capacity.batch_elsewhere;
        let reserved = capacity.urgent.min(urgent_slots_max(capacity.full_slots));
        let over = capacity.used_slots().saturating_sub(capacity.full_slots);
        let excess = over.min(batch.saturating_sub(reserved));
        if excess == 0 || capacity.batch_here == 0 {
            return;
        }
        let count = match usage.item_allowance(now, capacity.id) {
            Some(allowance) => capacity.batch_here.saturating_sub(allowance),
            None => {
                let others = usage.batch_vms(capacity.id);
                own_excess(excess, (vm, capacity.batch_here), &others)
            }
        };
        for key in self.least_urgent(capacity.id, count as usize) {
            if let Some(state) = self.states.get_mut(&key) {
                if let Stage::Running { stopping, .. } = &mut state.stage {
                    *stopping = true;
                }
            }
            capacity.batch_here -= 1;
            out.push(Action::Stop { key });
        }
    }

    /// Running items at an endpoint, latest due time first; among equals the most recently started
    /// first.
    fn least_urgent(&self, endpoint: EndpointId, count: usize) -> Vec<ItemKey> {
        let running = |(key, state): (&ItemKey, &ItemState)| match state.stage {
            Stage::Running {
                endpoint: at,
                since,
                stopping: false,
            } if at == endpoint => Some((state.due, since, key.clone())),
            _ => None,
        };
        let mut found: Vec<_> = self.states.iter().filter_map(running).collect();
        found.sort_by(|a, b| b.cmp(a));
        found.into_iter().take(count).map(|(.., key)| key).collect()
    }

    fn start(
        &mut self,
        now: Duration,
        planner: &ItemPlanner<'_>,
        capacities: &mut [EndpointCapacity],
        out: &mut Vec<Action>,
    ) {
        let waiting = |(key, state): (&ItemKey, &ItemState)| match state.stage {
            Stage::Waiting { not_before } if now >= not_before => {
                let order = (
                    state.is_held(now),
                    self.is_hopeless(now, state),
                    state.due,
                    key.clone(),
                );
                Some((order, self.is_urgent(now, state)))
            }
            _ => None,
        };
        let mut queue: Vec<_> = self.states.iter().filter_map(waiting).collect();
        queue.sort();
        let mut waiting_count = self.waiting_count() as u32;
        let mut waiting_by_service = self.waiting_by_service();
        let typical = self.typical_run_time.unwrap_or_default();
        for ((.., key), urgent) in queue {
            let Some(state) = self.states.get_mut(&key) else {
                continue;
            };
            let may_restart = state.may_restart(now, typical, capacities);
            let is_stalled = state.is_stalled(now, capacities);
            let service = state.service;
            let by_service = self.competing_vms.get(&service);
            let waiting_items = match by_service {
                Some(_) => waiting_by_service.get(&service).copied().unwrap_or(0),
                None => waiting_count,
            };
            let competition = Competition {
                grants: self.slot_grants.entry(service).or_default(),
                unclaimed_slots: &self.unclaimed_slots,
                local: CompetingVm {
                    vm: planner.vm,
                    domain: planner.domain,
                    // An item that doesn't count yet may be admitted again.
                    items: waiting_items.max(1),
                },
                others: by_service.map_or(planner.competing_vms, Vec::as_slice),
            };
            let mut find = |software: Option<&Name>, avoid: &[EndpointId]| {
                let needs = ItemNeeds {
                    service,
                    software,
                    urgent,
                };
                best_endpoint(capacities, &competition, now, needs, avoid)
            };
            let software = state.software.as_ref();
            let mut found = find(software, &state.avoid);
            let mut from_start = false;
            if found.is_none() && is_stalled {
                found = find(None, &state.avoid);
                from_start = found.is_some();
            }
            found = found.or_else(|| find(software, &[]));
            if found.is_none() && may_restart {
                found = find(None, &state.avoid).or_else(|| find(None, &[]));
                from_start = true;
            }
            let Some(capacity) = found.map(|at| &mut capacities[at]) else {
                continue;
            };
            if from_start {
                state.software = None;
                state.earlier_run_time = Duration::ZERO;
                state.progressed_at = now;
            }
            capacity.batch_here += 1;
            capacity.urgent += u32::from(urgent);
            let endpoint = capacity.id;
            state.stage = Stage::Running {
                endpoint,
                since: now,
                stopping: false,
            };
            if state.competes {
                waiting_count = waiting_count.saturating_sub(1);
                if let Some(items) = waiting_by_service.get_mut(&service) {
                    *items = items.saturating_sub(1);
                }
            }
            let grants = self.slot_grants.entry(service).or_default();
            grants.record_start(now, endpoint);
            out.push(Action::Start {
                key,
                endpoint,
                from_start,
            });
        }
    }
}

fn update_endpoint_usage(
    now: Duration,
    endpoint: &mut Endpoint,
    here: EndpointItems,
    usage: &Usage,
) {
    let elsewhere = usage.total(endpoint.id);
    endpoint.online_elsewhere = elsewhere.online;
    endpoint.remote_vms = elsewhere.online_vms;
    endpoint.batch = elsewhere.batch + here.batch;
    endpoint.reserved_slots =
        (elsewhere.urgent + here.urgent).min(urgent_slots_max(endpoint.slots(now) as u32));
}

/// Requirements of an item on its endpoint.
#[derive(Clone, Copy)]
struct ItemNeeds<'a> {
    service: ServiceId,
    /// Software version that made its text.
    software: Option<&'a Name>,
    urgent: bool,
}

/// Who competes for the slots of a service.
struct Competition<'a> {
    grants: &'a SlotGrants,
    unclaimed_slots: &'a UnclaimedSlots,
    /// This VM with the items that wait here.
    local: CompetingVm,
    others: &'a [CompetingVm],
}

impl Competition<'_> {
    /// Whether this VM may take a slot: one that is granted to it, or one that nobody takes.
    fn may_start(&self, now: Duration, capacity: &EndpointCapacity, urgent: bool) -> bool {
        let place = EndpointPlace {
            id: capacity.id,
            domain: capacity.domain,
        };
        let open = capacity.open_slots(urgent);
        let grants = self.grants;
        if grants.may_start(now, place, open, self.local, self.others) {
            return true;
        }
        capacity.free_slots() > 0
            && !grants.has_unseen_start(now, capacity.id)
            && self
                .unclaimed_slots
                .may_take(now, capacity.id, self.local.vm)
    }
}

/// Index of the endpoint with the most free slots, among those where this VM may take one.
fn best_endpoint(
    capacities: &mut [EndpointCapacity],
    competition: &Competition<'_>,
    now: Duration,
    needs: ItemNeeds<'_>,
    avoid: &[EndpointId],
) -> Option<usize> {
    let denied = usize::from(needs.urgent);
    loop {
        let fits = |(_, capacity): &(usize, &EndpointCapacity)| {
            capacity.can_continue(needs.service, needs.software)
                && capacity.usable
                && capacity.open_slots(needs.urgent) > 0
                && !avoid.contains(&capacity.id)
                && !capacity.denied[denied]
        };
        let open = capacities.iter().enumerate().filter(fits);
        let best = open.max_by_key(|(_, capacity)| {
            (
                capacity.free_slots() - capacity.penalty_slots,
                capacity.domain == competition.local.domain,
                capacity.id,
            )
        });
        let (at, capacity) = best?;
        if competition.may_start(now, capacity, needs.urgent) {
            return Some(at);
        }
        capacities[at].denied[denied] = true;
    }
}

impl ItemState {
    /// Why it has no run; `None` while it has one.
    fn wait_reason(
        &self,
        now: Duration,
        typical_run_time: Duration,
        capacities: &[EndpointCapacity],
    ) -> Option<WaitReason> {
        let Stage::Waiting { not_before } = self.stage else {
            return None;
        };
        if self.held_until.is_some() {
            return Some(WaitReason::HeldBack);
        }
        if now < not_before {
            return Some(WaitReason::Delayed);
        }
        let of_service = |capacity: &&EndpointCapacity| {
            capacity.usable && capacity.can_continue(self.service, None)
        };
        let usable: Vec<&EndpointCapacity> = capacities.iter().filter(of_service).collect();
        if usable.is_empty() {
            return Some(WaitReason::NoEndpoint);
        }
        let may_restart = self.may_restart(now, typical_run_time, capacities);
        let software = self.software.as_ref().filter(|_| !may_restart);
        let continues = |one: &&&EndpointCapacity| one.can_continue(self.service, software);
        let suitable: Vec<&&EndpointCapacity> = usable.iter().filter(continues).collect();
        if suitable.is_empty() {
            return Some(WaitReason::OtherSoftware);
        }
        match suitable.iter().any(|one| one.open_slots(false) > 0) {
            true => Some(WaitReason::SlotsGranted),
            false => Some(WaitReason::NoFreeSlot),
        }
    }

    /// Whether an item may give up its text and run again at another software version: at once if no
    /// endpoint of its own version is left, after a while if none is in use, else at the last moment
    /// at which a whole run still ends in time.
    fn may_restart(
        &self,
        now: Duration,
        typical_run_time: Duration,
        capacities: &[EndpointCapacity],
    ) -> bool {
        let Some(software) = &self.software else {
            return false;
        };
        let continues = |capacity: &EndpointCapacity| {
            capacity.in_service && capacity.can_continue(self.service, Some(software))
        };
        if !capacities.iter().any(continues) || self.is_stalled(now, capacities) {
            return true;
        }
        let whole_run_ends = now + typical_run_time;
        whole_run_ends < self.due && whole_run_ends + URGENT_MARGIN >= self.due
    }

    /// Whether an item with a text has made no progress for a while, and no endpoint of its software
    /// version is in use but the one where its last run failed without an event.
    fn is_stalled(&self, now: Duration, capacities: &[EndpointCapacity]) -> bool {
        let Some(software) = &self.software else {
            return false;
        };
        let continues = |capacity: &EndpointCapacity| {
            capacity.usable
                && self.unproductive_at != Some(capacity.id)
                && capacity.can_continue(self.service, Some(software))
        };
        now >= self.progressed_at + OWN_VERSION_WAIT_MAX && !capacities.iter().any(continues)
    }

    /// Whether the quarantine refused it and would do so now, as far as is known.
    fn is_held(&self, now: Duration) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }

    /// Duration of the current run.
    fn current_run_time(&self, now: Duration) -> Duration {
        match self.stage {
            Stage::Running { since, .. } => now.saturating_sub(since),
            Stage::Waiting { .. } => Duration::ZERO,
        }
    }

    /// The endpoint whose slot the item uses.
    fn occupied_endpoint(&self) -> Option<EndpointId> {
        match self.stage {
            Stage::Running {
                endpoint,
                stopping: false,
                ..
            } => Some(endpoint),
            _ => None,
        }
    }
}
