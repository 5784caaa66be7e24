//! Free slots that the VMs to which they are granted don't take.

use std::collections::HashMap;
use std::time::Duration;

use bramleyseam::decide::endpoints::Endpoints;
use bramleyseam::decide::items::{Action, ItemKey, ItemPlanner, Items};
use bramleyseam::decide::slot_grants::CompetingVm;
use bramleyseam::decide::unclaimed_slots::{SlotUse, UnclaimedSlots};
use bramleyseam::decide::usage::{EndpointUse, Usage};
use bramleyseam::id::{EndpointId, VmId};
use bramleyseam::standin::table::endpoint_configs;

const SERVICE: u64 = 1;
const LOCAL_DOMAIN: u64 = 1;
const SLOTS: u32 = 7;
const PLAN_INTERVAL: Duration = Duration::from_millis(50);
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// An item that nobody runs for so long while slots are free counts as lost.
const IDLE_MAX: Duration = Duration::from_secs(5);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// VMs with items that can run, beside one whose many items never start.
struct Fleet {
    endpoints: Endpoints,
    vms: Vec<(VmId, Items, Usage)>,
    rivals: CompetingVm,
}

/// What came of a play.
#[derive(Debug, Default)]
struct Played {
    starts: usize,
    preemptions: usize,
    /// When the last item started first.
    last_started_at: Duration,
}

impl Fleet {
    fn new(endpoints: usize, vms: u64, items: u32) -> Fleet {
        let mut rows = Endpoints::default();
        let configs = endpoint_configs(endpoints, SERVICE, f64::from(SLOTS), |_| LOCAL_DOMAIN);
        rows.configure(configs);
        let with_items = |vm: VmId| {
            let mut waiting = Items::default();
            for item in 0..items {
                let job = format!("job-{vm}").as_str().into();
                waiting.add(ms(0), ItemKey { job, item }, SERVICE, ms(60_000));
            }
            (vm, waiting, Usage::default())
        };
        Fleet {
            endpoints: rows,
            vms: (1..=vms).map(with_items).collect(),
            rivals: CompetingVm {
                vm: 1_000,
                domain: LOCAL_DOMAIN,
                items: 100_000,
            },
        }
    }

    fn competing_vms(&self) -> Vec<CompetingVm> {
        let vms = self.vms.iter().map(|(vm, items, _)| CompetingVm {
            vm: *vm,
            domain: LOCAL_DOMAIN,
            items: items.waiting_count() as u32,
        });
        vms.chain([self.rivals])
            .filter(|one| one.items > 0)
            .collect()
    }

    fn report_uses(&mut self, now: Duration) {
        let uses: Vec<(VmId, Vec<(EndpointId, EndpointUse)>)> = self
            .vms
            .iter()
            .map(|(vm, items, _)| {
                let rows = items.by_endpoint(now).into_iter();
                let rows = rows.map(|(endpoint, here)| {
                    let uses = EndpointUse {
                        online: 0,
                        batch: here.batch as u16,
                        urgent: here.urgent as u16,
                    };
                    (endpoint, uses)
                });
                (*vm, rows.collect())
            })
            .collect();
        for (vm, _, usage) in &mut self.vms {
            for (other, rows) in uses.iter().filter(|(other, _)| other != vm) {
                usage.apply_report(now, *other, rows.clone());
            }
        }
    }

    /// Plays for a while; items run until they are preempted.
    fn play(&mut self, time: Duration) -> Played {
        let mut played = Played::default();
        let mut first_starts: HashMap<ItemKey, Duration> = HashMap::new();
        let mut competing = Vec::new();
        let mut now = ms(0);
        while now < time {
            if now.as_millis().is_multiple_of(REPORT_INTERVAL.as_millis()) {
                self.report_uses(now);
                competing = self.competing_vms();
            }
            for (vm, items, usage) in &mut self.vms {
                let others = competing.iter().filter(|other| other.vm != *vm);
                let others: Vec<CompetingVm> = others.copied().collect();
                let planner = ItemPlanner {
                    vm: *vm,
                    domain: LOCAL_DOMAIN,
                    competing_vms: &others,
                    may_start: true,
                };
                for action in items.plan(now, &planner, &self.endpoints, usage) {
                    match action {
                        Action::Start { key, .. } => {
                            played.starts += 1;
                            first_starts.entry(key).or_insert(now);
                        }
                        Action::Stop { key } => {
                            played.preemptions += 1;
                            items.paused(now, &key, false);
                        }
                    }
                }
            }
            now += PLAN_INTERVAL;
        }
        played.last_started_at = first_starts.values().copied().max().unwrap_or(time);
        let items: usize = self.vms.iter().map(|(_, items, _)| items.counts().0).sum();
        if first_starts.len() < items {
            played.last_started_at = time;
        }
        played
    }
}

// A VM with items that can run nowhere is granted all slots: those of the other VMs lay beside free
// slots without end.
#[test]
fn grants_unused() {
    for endpoints in [1, 3, 10] {
        for vms in [1, 5] {
            let mut fleet = Fleet::new(endpoints, vms, 1);
            let played = fleet.play(ms(20_000));
            assert!(
                played.last_started_at < IDLE_MAX,
                "{endpoints} endpoints, {vms} VMs: {played:?}"
            );
        }
    }
}

// Many VMs take the same unclaimed slots at once, and most of their items are preempted.
#[test]
fn few_preempted() {
    let mut fleet = Fleet::new(10, 50, 1);
    let played = fleet.play(ms(20_000));
    assert!(played.last_started_at < ms(20_000), "{played:?}");
    assert!(played.preemptions <= played.starts / 5, "{played:?}");
}

// A slot is taken from the VM to which it is granted before that VM can have taken it.
#[test]
fn starts_awaited() {
    let mut unclaimed = UnclaimedSlots::default();
    let uses = |batch_elsewhere| {
        [SlotUse {
            endpoint: 7,
            free: 2,
            batch_elsewhere,
        }]
    };
    // A start by another VM each second.
    for step in 0..200 {
        let now = PLAN_INTERVAL * step;
        unclaimed.update(now, uses(step / 20).into_iter());
        assert!(
            (1..100).all(|vm| !unclaimed.may_take(now, 7, vm)),
            "{now:?}"
        );
    }
}

// An endpoint that was full for a moment counts from the time at which it has free slots again.
#[test]
fn full_meanwhile() {
    let mut unclaimed = UnclaimedSlots::default();
    let uses = |free| {
        [SlotUse {
            endpoint: 7,
            free,
            batch_elsewhere: 3,
        }]
    };
    unclaimed.update(ms(0), uses(1).into_iter());
    unclaimed.update(ms(4_900), uses(0).into_iter());
    unclaimed.update(ms(5_000), uses(1).into_iter());
    assert!((1..100).all(|vm| !unclaimed.may_take(ms(5_000), 7, vm)));
    assert!((1..100).all(|vm| unclaimed.may_take(ms(9_000), 7, vm)));
}
