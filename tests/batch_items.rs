//! Where batch items run, and which make way for online requests.

use std::time::Duration;

use bramleyseam::decide::endpoints::Endpoints;
use bramleyseam::decide::items::{Action, ItemKey, ItemPlanner, Items, KEPT_SHARE, YIELDED_PAUSE};
use bramleyseam::decide::usage::{own_excess, EndpointUse, Usage};
use bramleyseam::standin::table::declared;
use quickcheck::quickcheck;

const SERVICE: u64 = 1;
const VM: u64 = 7;
const HOME: u64 = 1;
const SLOTS: u32 = 8;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn endpoints(count: usize) -> Endpoints {
    let mut endpoints = Endpoints::default();
    endpoints.configure(declared(count, SERVICE, f64::from(SLOTS), |_| HOME));
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
        domain: HOME,
        rivals: &[],
        starting: true,
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
        assert_eq!(items.at(row.id), SLOTS);
    }
}

// A counter answer waits behind batch items for seconds. The engines are full of items when a burst
// comes, and they admit in order of arrival. Items go out of the way, one for each online request
// that is too much, and go on later after their last event.
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
    // Not at once: the slot may be wanted again before the others' news of it have come.
    assert_eq!(starts(&plan(&mut items, ms(200), &endpoints, &usage)), 0);
    let later = ms(100) + YIELDED_PAUSE;
    assert_eq!(starts(&plan(&mut items, later, &endpoints, &usage)), 3);
}

// A job misses its time although engines were free for half of it: online load fills the fleet, and
// items wait until it ends. Items that can wait no longer keep some slots; before that they keep none.
#[test]
fn urgent_items_stay() {
    let mut endpoints = endpoints(1);
    let usage = Usage::default();
    let mut items = items(SLOTS, ms(18_000));
    plan(&mut items, ms(0), &endpoints, &usage);
    endpoints.rows[0].online_here = SLOTS;
    let kept = (f64::from(SLOTS) * KEPT_SHARE) as usize;
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
        // Late already: little left to win.
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
    let [Action::Start { key, endpoint }] = &first[..] else {
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

// Every VM sees the same burst at an engine and each takes back as many items as are too much: the
// engine stands half empty. Each works out its own part from the same counts.
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
        domain: HOME,
        rivals: &[],
        starting: false,
    };
    let actions = items.plan(ms(0), &draining, &endpoints, &Usage::default());
    assert!(actions.is_empty());
}

quickcheck! {
    // Whatever the counts, the parts of all VMs together are what is too much, or all there is.
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
