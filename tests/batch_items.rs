//! Where batch items run, and which are preempted for online requests.

use std::time::Duration;

use bramleyseam::decide::endpoints::Endpoints;
use bramleyseam::decide::items::{
    Action, ItemKey, ItemPlanner, Items, PREEMPTED_RETRY_AFTER, URGENT_SLOT_SHARE,
};
use bramleyseam::decide::usage::{own_excess, EndpointUse, Usage};
use bramleyseam::standin::table::endpoint_configs;
use quickcheck::quickcheck;

const SERVICE: u64 = 1;
const VM: u64 = 7;
const LOCAL_DOMAIN: u64 = 1;
const SLOTS: u32 = 8;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn endpoints(count: usize) -> Endpoints {
    let mut endpoints = Endpoints::default();
    endpoints.configure(endpoint_configs(count, SERVICE, f64::from(SLOTS), |_| {
        LOCAL_DOMAIN
    }));
    endpoints
}

fn key(job: &str, item: u32) -> ItemKey {
    ItemKey {
        job: job.into(),
        item,
    }
}

fn items(count: u32, due: Duration) -> Items {
    let mut items = Items::default();
    for item in 0..count {
        items.add(ms(0), key("job", item), SERVICE, due);
    }
    items
}

fn plan(items: &mut Items, now: Duration, endpoints: &Endpoints, usage: &Usage) -> Vec<Action> {
    let own = ItemPlanner {
        vm: VM,
        domain: LOCAL_DOMAIN,
        competing_vms: &[],
        may_start: true,
    };
    items.plan(now, &own, endpoints, usage)
}

fn starts(actions: &[Action]) -> usize {
    let start = |action: &&Action| matches!(action, Action::Start { .. });
    actions.iter().filter(start).count()
}

fn stops(actions: &[Action]) -> Vec<ItemKey> {
    let stop = |action: &Action| match action {
        Action::Stop { key } => Some(key.clone()),
        Action::Start { .. } => None,
    };
    actions.iter().filter_map(stop).collect()
}

#[test]
fn fills_free_slots() {
    let endpoints = endpoints(3);
    let mut items = items(40, ms(18_000));
    let started = plan(&mut items, ms(0), &endpoints, &Usage::default());
    assert_eq!(starts(&started), 24);
    for row in &endpoints.rows {
        assert_eq!(items.running_at(row.id), SLOTS);
    }
}

// All slots are used by batch items when a burst of online requests comes. Engines admit in order
// of arrival, so without preemption an online request waits behind items for seconds. One item is
// preempted for each request over the slot limit, and resumes later after its last event.
#[test]
fn makes_way() {
    let mut endpoints = endpoints(1);
    let usage = Usage::default();
    let mut items = items(SLOTS, ms(18_000));
    plan(&mut items, ms(0), &endpoints, &usage);
    endpoints.rows[0].online_here = 3;
    let stopped = stops(&plan(&mut items, ms(100), &endpoints, &usage));
    assert_eq!(stopped.len(), 3);
    for key in &stopped {
        items.paused(ms(100), key, false);
    }
    endpoints.rows[0].online_here = 0;
    // Not at once: the slot may be needed again before the reports of other VMs have arrived.
    assert_eq!(starts(&plan(&mut items, ms(200), &endpoints, &usage)), 0);
    let later = ms(100) + PREEMPTED_RETRY_AFTER;
    assert_eq!(starts(&plan(&mut items, later, &endpoints, &usage)), 3);
}

// An endpoint out of use offers new work a single slot. Items that ran there were stopped for it,
// although its slots are not needed by anything else and it may only pause.
#[test]
fn stay_in_silence() {
    let mut endpoints = endpoints(1);
    let usage = Usage::default();
    let mut items = items(SLOTS, ms(18_000));
    plan(&mut items, ms(0), &endpoints, &usage);
    endpoints.rows[0].went_silent(ms(400));
    assert_eq!(plan(&mut items, ms(425), &endpoints, &usage), []);
    endpoints.rows[0].online_here = 1;
    let stopped = stops(&plan(&mut items, ms(450), &endpoints, &usage));
    assert_eq!(stopped.len(), 1);
}

// An online load fills the fleet for so long that waiting items miss their due time. Items that
// can't wait any longer keep some slots; before that they keep none.
#[test]
fn urgent_items_stay() {
    let mut endpoints = endpoints(1);
    let usage = Usage::default();
    let mut items = items(SLOTS, ms(18_000));
    plan(&mut items, ms(0), &endpoints, &usage);
    endpoints.rows[0].online_here = SLOTS;
    let kept = (f64::from(SLOTS) * URGENT_SLOT_SHARE) as usize;
    let all = plan(&mut items.clone(), ms(100), &endpoints, &usage);
    assert_eq!(stops(&all).len(), SLOTS as usize);
    let late = plan(&mut items, ms(17_000), &endpoints, &usage);
    assert_eq!(stops(&late).len(), SLOTS as usize - kept);
}

#[test]
fn earliest_due_first() {
    let endpoints = endpoints(1);
    let mut items = items(SLOTS, ms(18_000));
    for item in 0..SLOTS {
        items.add(ms(0), key("sooner", item), SERVICE, ms(9_000));
        // Already late: running it sooner gains little.
        items.add(ms(0), key("late", item), SERVICE, ms(10));
    }
    let started = plan(&mut items, ms(100), &endpoints, &Usage::default());
    let jobs = started.iter().map(|action| match action {
        Action::Start { key, .. } | Action::Stop { key } => key.job.to_string(),
    });
    assert!(jobs.into_iter().all(|job| job == "sooner"));
}

#[test]
fn failed_elsewhere_next() {
    let endpoints = endpoints(2);
    let mut items = items(1, ms(18_000));
    let first = plan(&mut items, ms(0), &endpoints, &Usage::default());
    let [Action::Start { key, endpoint, .. }] = &first[..] else {
        panic!("{first:?}");
    };
    items.paused(ms(50), key, true);
    assert!(plan(&mut items, ms(60), &endpoints, &Usage::default()).is_empty());
    let second = plan(&mut items, ms(1_000), &endpoints, &Usage::default());
    let [Action::Start {
        endpoint: other, ..
    }] = &second[..]
    else {
        panic!("{second:?}");
    };
    assert_ne!(endpoint, other);
}

// Several VMs have items at an engine that receives a burst. If each VM preempted the whole excess,
// the engine would be left half empty, so each VM computes its own part of the excess from the same
// counts.
#[test]
fn shared_burden() {
    let mut endpoints = endpoints(1);
    let mut items = items(4, ms(18_000));
    plan(&mut items, ms(0), &endpoints, &Usage::default());
    let mut usage = Usage::default();
    let elsewhere = EndpointUse {
        online: 2,
        batch: 4,
        urgent: 0,
    };
    usage.apply_report(ms(0), 3, [(endpoints.rows[0].id, elsewhere)]);
    endpoints.rows[0].online_here = 0;
    assert_eq!(
        stops(&plan(&mut items, ms(10), &endpoints, &usage)).len(),
        1
    );
}

#[test]
fn draining_starts_none() {
    let endpoints = endpoints(1);
    let mut items = items(4, ms(18_000));
    let draining = ItemPlanner {
        vm: VM,
        domain: LOCAL_DOMAIN,
        competing_vms: &[],
        may_start: false,
    };
    let actions = items.plan(ms(0), &draining, &endpoints, &Usage::default());
    assert!(actions.is_empty());
}

quickcheck! {
    // For any counts, the parts of all VMs add up to the excess, or to all items if there are
    // fewer.
    fn parts_add_up(excess: u8, counts: Vec<u8>) -> bool {
        let rows: Vec<(u64, u32)> = counts
            .iter()
            .take(12)
            .enumerate()
            .map(|(vm, count)| (vm as u64, u32::from(*count)))
            .collect();
        let all: u32 = rows.iter().map(|(_, count)| count).sum();
        let given: u32 = rows
            .iter()
            .map(|own| {
                let others: Vec<(u64, u32)> =
                    rows.iter().filter(|row| row.0 != own.0).copied().collect();
                own_excess(u32::from(excess), *own, &others)
            })
            .sum();
        given == u32::from(excess).min(all)
    }
}
