//! Draws the faults of a run from its seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use strum::{EnumIter, EnumString, IntoEnumIterator, IntoStaticStr};

/// Kinds of faults and of planned work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// The process is killed and restarted.
    VmKilled,
    VmPaused,
    /// Planned: the process is stopped by a signal and restarted.
    VmStopped,
    /// Planned: the process reloads its settings on a signal.
    VmReloaded,
    StoreAway,
    StoreLosesAnswers,
    StoreRefuses,
    StoreDeaf,
    StoreForgets,
    /// One VM cannot reach the store.
    StoreLinkCut,
    StoreLinkSilent,
    /// Calls reach the store, and its answers are lost.
    StoreLinkOneWay,
    StoreLinkSlow,
    EngineSilent,
    EngineBreaks,
    EngineFull,
    EngineFails,
    EngineCrosses,
    EngineUnsigned,
    EngineSkips,
    EngineLinkOneWay,
    EngineLinkSlow,
    EngineLinkReset,
    /// Planned: an endpoint reports that it is draining.
    EngineLeaves,
    /// Planned: a new configuration with one more route.
    RulesChange,
    /// For all VMs, store connections on which watches wait go silent for good.
    WatchesSilent,
    /// The same for one VM, and only the store's answers are lost.
    WatchSilentOneWay,
    /// All connections of one VM to the store go silent for good, and so does the first new one.
    StoreLinkForgets,
    /// Connections to an endpoint that carry no traffic for a while go silent for good.
    EngineIdleSilent,
    /// An endpoint's process ends with all its runs, and another one replaces it.
    EngineEnds,
    /// A sound endpoint sends nothing for a while and goes on, at times together with others.
    EnginePauses,
    /// Several endpoints end as with `EngineEnds`, several times in short order.
    EngineCrashes,
}

impl Fault {
    /// Whether no answer may be cut or lost beside it: planned work, and pauses of sound endpoints.
    pub fn is_tolerated(self) -> bool {
        matches!(
            self,
            Fault::VmStopped
                | Fault::VmReloaded
                | Fault::EngineLeaves
                | Fault::RulesChange
                | Fault::EnginePauses
        )
    }

    /// Whether planned changes follow soon after, which reveal the effect of the silent
    /// connections.
    pub fn has_followers(self) -> bool {
        matches!(
            self,
            Fault::WatchesSilent | Fault::WatchSilentOneWay | Fault::StoreLinkForgets
        )
    }

    /// Whether the effect on connections lasts although the fault itself ends at once.
    pub fn ends_at_once(self) -> bool {
        self.has_followers() || self == Fault::EngineIdleSilent
    }

    /// Whether this is planned work that stops the given VM.
    pub fn stops_vm(self, vm: usize, target: usize) -> bool {
        matches!(self, Fault::VmStopped | Fault::VmReloaded) && vm == target
    }

    /// Whether the fault targets a VM or its link to the store.
    pub fn targets_vm(self) -> bool {
        let name: &'static str = self.into();
        name.starts_with("vm") || name.starts_with("store_link")
    }
}

/// A planned fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    pub at: Duration,
    pub lasts: Duration,
    pub fault: Fault,
    /// Index of the VM or endpoint.
    pub target: usize,
}

/// Size of a run.
#[derive(Debug, Clone)]
pub struct Size {
    pub vms: usize,
    pub endpoints: usize,
    /// Time span in which faults begin.
    pub length: Duration,
    pub faults: usize,
    /// Kinds that are drawn from.
    pub kinds: Vec<Fault>,
    /// Some callers send prompts with a segment that ends endpoints, all the time.
    pub fatal_prompts: bool,
    /// Pause between two events of an answer.
    pub event_interval: Duration,
    /// Most items of a job.
    pub items_max: usize,
}

impl Size {
    /// A few processes for some seconds; seeds differ in their faults only.
    pub fn small() -> Size {
        Size {
            vms: 3,
            endpoints: 3,
            length: Duration::from_secs(5),
            faults: 6,
            // One more kind would change what the seeds draw.
            kinds: Fault::iter()
                .take_while(|kind| *kind != Fault::EnginePauses)
                .collect(),
            fatal_prompts: false,
            event_interval: EVENT_INTERVAL,
            items_max: ITEMS_MAX,
        }
    }
}

/// Time after which VMs whose connections went silent count as free of faults again, with a margin.
const RECOVERED_AFTER: Duration = Duration::from_millis(4200);

/// Shortest pause of an endpoint, and by how much others are longer.
const PAUSE_MIN: Duration = Duration::from_millis(600);
const PAUSE_RANGE_MS: u64 = 900;

/// Pause between two events of an answer where it isn't given.
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
/// Most items of a job where it isn't given.
const ITEMS_MAX: usize = 8;

/// Shortest series of crashes, and by how much others are longer.
const CRASHES_MIN: u64 = 3;
const CRASHES_RANGE: u64 = 4;
/// Shortest time between two crashes of a series, and by how much others are longer.
const CRASH_INTERVAL_MIN: Duration = Duration::from_millis(150);
const CRASH_INTERVAL_RANGE_MS: u64 = 350;
/// One endpoint in this number ends at each crash.
const CRASH_ONE_IN: usize = 3;
/// Time from the end of an endpoint until another one replaces it, at least.
const CRASHED_MIN: Duration = Duration::from_millis(900);

/// A configuration change and a draining engine, once the VMs count as free of faults.
fn followers(step: &Step) -> Vec<Step> {
    if !step.fault.has_followers() {
        return Vec::new();
    }
    let change = |fault, after_ms| Step {
        at: step.at + RECOVERED_AFTER + Duration::from_millis(after_ms),
        fault,
        lasts: Duration::from_millis(200),
        target: 0,
    };
    let rules = change(Fault::RulesChange, 0);
    vec![rules, change(Fault::EngineLeaves, 300)]
}

/// Pauses of several endpoints at once in place of one; other steps are kept.
fn pauses(step: Step, size: &Size) -> Vec<Step> {
    if step.fault != Fault::EnginePauses {
        return vec![step];
    }
    let lasts_ms = step.lasts.as_millis() as u64;
    let together = 1 + lasts_ms as usize % size.endpoints;
    let pause = |at| Step {
        lasts: PAUSE_MIN + Duration::from_millis(lasts_ms % PAUSE_RANGE_MS),
        target: (step.target + at) % size.endpoints,
        ..step
    };
    (0..together).map(pause).collect()
}

/// Ends of several endpoints at a time, each group after the one before, in place of one step; other steps
/// are kept.
fn crashes(step: Step, size: &Size) -> Vec<Step> {
    if step.fault != Fault::EngineCrashes {
        return vec![step];
    }
    let lasts_ms = step.lasts.as_millis() as u64;
    let series = CRASHES_MIN + lasts_ms % CRASHES_RANGE;
    let interval = CRASH_INTERVAL_MIN + Duration::from_millis(lasts_ms % CRASH_INTERVAL_RANGE_MS);
    let together = size.endpoints.div_ceil(CRASH_ONE_IN);
    let crash = |at: usize| Step {
        at: step.at + interval * (at / together) as u32,
        lasts: step.lasts.max(CRASHED_MIN),
        target: (step.target + at) % size.endpoints,
        ..step
    };
    (0..series as usize * together).map(crash).collect()
}

/// Draws the faults of a seed, in order of their start; they may overlap.
pub fn draw(seed: u64, size: &Size) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let kinds = &size.kinds;
    let length_ms = size.length.as_millis() as u64;
    let mut steps: Vec<Step> = (0..size.faults)
        .map(|_| {
            let fault = kinds[rng.random_range(0..kinds.len())];
            let targets = if fault.targets_vm() {
                size.vms
            } else {
                size.endpoints
            };
            Step {
                at: Duration::from_millis(rng.random_range(0..length_ms)),
                lasts: Duration::from_millis(rng.random_range(200..2500)),
                fault,
                target: rng.random_range(0..targets),
            }
        })
        .flat_map(|step| pauses(step, size))
        .flat_map(|step| crashes(step, size))
        .collect();
    let followers: Vec<Step> = steps.iter().flat_map(followers).collect();
    steps.extend(followers);
    steps.sort_by_key(|step| step.at);
    // At least two engines stay, so that callers can be served when all faults are over.
    let mut leaving = 0;
    steps.retain(|step| {
        leaving += usize::from(step.fault == Fault::EngineLeaves);
        step.fault != Fault::EngineLeaves || leaving + 2 <= size.endpoints
    });
    steps
}
