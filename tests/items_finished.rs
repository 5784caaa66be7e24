//! Items that could run are running again a few seconds after what kept them waiting has ended.

use std::collections::HashMap;
use std::time::Duration;

use bramleyseam::decide::endpoints::{EndpointConfig, Endpoints};
use bramleyseam::decide::items::{Action, ItemKey, ItemPlanner, Items};
use bramleyseam::decide::slot_grants::CompetingVm;
use bramleyseam::decide::usage::{EndpointUse, Usage};
use bramleyseam::id::EndpointId;
use bramleyseam::standin::table::endpoint_configs;

const SERVICE: u64 = 1;
const OTHER_SERVICE: u64 = 2;
const LOCAL_DOMAIN: u64 = 1;
const SLOTS: f64 = 7.0;
const PLAN_INTERVAL: Duration = Duration::from_millis(50);
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// An item that nobody runs for so long while slots are free counts as lost.
const IDLE_MAX: Duration = Duration::from_secs(5);
const HOLD_TIME: Duration = Duration::from_secs(600);
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn key(job: &str, item: u32) -> ItemKey {
    ItemKey {
        job: job.into(),
        item,
    }
}

/// Endpoints with the software versions given.
fn endpoints(versions: &[&str]) -> Endpoints {
    let configs = endpoint_configs(versions.len(), SERVICE, SLOTS, |_| LOCAL_DOMAIN);
    let with_version = |((id, config), software): ((EndpointId, EndpointConfig), &&str)| {
        let software = (*software).into();
        (id, EndpointConfig { software, ..config })
    };
    let mut endpoints = Endpoints::default();
    endpoints.configure(configs.into_iter().zip(versions).map(with_version));
    endpoints
}

fn planner(vm: u64, competing_vms: &[CompetingVm]) -> ItemPlanner<'_> {
    ItemPlanner {
        vm,
        domain: LOCAL_DOMAIN,
        competing_vms,
        may_start: true,
    }
}

/// Items of one job, due after `due`, the first of which has a text of version "v1".
fn items_with_text(due: Duration) -> Items {
    let mut items = Items::default();
    items.add(ms(0), key("job", 0), SERVICE, due);
    items.began(&key("job", 0), "v1".into());
    items
}

/// The time until an item runs at an endpoint that is sound, by the `attempt` that tells so.
fn waits(
    items: &mut Items,
    endpoints: &mut Endpoints,
    from: Duration,
    mut attempt: impl FnMut(&mut Items, &mut Endpoints, Duration, &ItemKey, EndpointId) -> bool,
) -> Duration {
    for step in 0.. {
        let waited = PLAN_INTERVAL * step;
        if waited > IDLE_MAX * 4 {
            return Duration::MAX;
        }
        let now = from + waited;
        for action in items.plan(now, &planner(1, &[]), endpoints, &Usage::default()) {
            if let Action::Start { key, endpoint, .. } = action {
                if attempt(items, endpoints, now, &key, endpoint) {
                    return waited;
                }
            }
        }
    }
    Duration::MAX
}

// The endpoint that made an item's text stays in the table but out of use; the item waited for it
// until it was nearly due, and without end once it was late, beside free slots of another version.
#[test]
fn version_unusable() {
    for due in [ms(60_000), ms(1_000)] {
        let mut endpoints = endpoints(&["v1", "v2"]);
        let sound = endpoints.rows[1].id;
        endpoints.rows[0].barred = true;
        let mut items = items_with_text(due);
        let attempt =
            |_: &mut Items, _: &mut Endpoints, _, _: &ItemKey, endpoint| endpoint == sound;
        let waited = waits(&mut items, &mut endpoints, ms(2_000), attempt);
        assert!(waited < IDLE_MAX, "due at {due:?}: {waited:?}");
    }
}

// The endpoint that made an item's text accepts it again after each ejection and sends nothing: the
// item went on being tried there.
#[test]
fn version_silent() {
    for due in [ms(60_000), ms(1_000)] {
        let mut endpoints = endpoints(&["v1", "v2"]);
        let sound = endpoints.rows[1].id;
        let mut items = items_with_text(due);
        let attempt =
            |items: &mut Items, endpoints: &mut Endpoints, now: Duration, key: &ItemKey, at| {
                if at != sound {
                    endpoints.rows[0].eject(now);
                    items.paused(now, key, true);
                }
                at == sound
            };
        let waited = waits(&mut items, &mut endpoints, ms(2_000), attempt);
        assert!(waited < IDLE_MAX, "due at {due:?}: {waited:?}");
    }
}

/// The time until the only item of VM 1 starts, while VM 2 has items that can't run; `None` if it
/// doesn't in `IDLE_MAX`. `rivals_start` gets what the plans of VM 2 start.
fn start_beside(
    rivals: &mut Items,
    rivals_start: impl Fn(&mut Items, Duration, Vec<Action>),
    endpoints: &Endpoints,
    vms: (u64, u64),
) -> Option<Duration> {
    let mut items = Items::default();
    items.add(ms(0), key("job", 0), SERVICE, ms(18_000));
    let mut competing = Vec::new();
    for step in 0..=(IDLE_MAX.as_millis() / PLAN_INTERVAL.as_millis()) as u32 {
        let now = PLAN_INTERVAL * step;
        let started = rivals.plan(now, &planner(vms.1, &[]), endpoints, &Usage::default());
        rivals_start(rivals, now, started);
        if now.as_millis().is_multiple_of(REPORT_INTERVAL.as_millis()) {
            competing = vec![CompetingVm {
                vm: vms.1,
                domain: LOCAL_DOMAIN,
                items: rivals.waiting_count() as u32,
            }];
            competing.retain(|other| other.items > 0);
        }
        let own = planner(vms.0, &competing);
        if !items
            .plan(now, &own, endpoints, &Usage::default())
            .is_empty()
        {
            return Some(now);
        }
    }
    None
}

/// Nothing may start.
fn none_starts(_: &mut Items, now: Duration, started: Vec<Action>) {
    assert!(started.is_empty(), "{started:?} at {now:?}");
}

/// The quarantine refuses each item that starts.
fn refuse(items: &mut Items, now: Duration, started: Vec<Action>) {
    for action in started {
        if let Action::Start { key, .. } = action {
            items.quarantined(now, &key, HOLD_TIME, RECHECK_INTERVAL);
        }
    }
}

/// A hundred items that are held back and tried again at different times, each once a second.
fn add_held(items: &mut Items, job: &str) {
    for at in 0..100 {
        items.add(ms(0), key(job, at), SERVICE, ms(10_000));
        let recheck_in = RECHECK_INTERVAL / 100 * at;
        items.quarantined(ms(0), &key(job, at), HOLD_TIME, recheck_in);
    }
}

/// How many of a hundred pairs of VMs leave the item waiting, by the number of endpoints.
fn starved(
    rivals: impl Fn() -> Items,
    rivals_start: impl Fn(&mut Items, Duration, Vec<Action>),
) -> HashMap<usize, usize> {
    let mut starved = HashMap::new();
    for count in [1, 3, 10] {
        let endpoints = endpoints(&vec!["v1"; count]);
        let pairs = (0..100).map(|pair| (2 * pair + 1, 2 * pair + 2));
        let waits = pairs
            .filter(|vms| start_beside(&mut rivals(), &rivals_start, &endpoints, *vms).is_none());
        starved.insert(count, waits.count());
    }
    starved.retain(|_, count| *count > 0);
    starved
}

// Items of a service without endpoints waited at another VM, which was granted the slots of all
// other services and never used them.
#[test]
fn rivals_without_endpoint() {
    let starved = starved(
        || {
            let mut rivals = Items::default();
            (0..100).for_each(|at| rivals.add(ms(0), key("rival", at), OTHER_SERVICE, ms(18_000)));
            rivals
        },
        none_starts,
    );
    assert_eq!(starved, HashMap::new());
}

// The same with items that are held back for minutes.
#[test]
fn rivals_held_back() {
    let starved = starved(
        || {
            let mut rivals = Items::default();
            for at in 0..100 {
                rivals.add(ms(0), key("rival", at), SERVICE, ms(18_000));
                rivals.quarantined(ms(0), &key("rival", at), HOLD_TIME, HOLD_TIME);
            }
            rivals
        },
        none_starts,
    );
    assert_eq!(starved, HashMap::new());
}

// The same with held items that are tried again each second: they counted as ready in between.
#[test]
fn rivals_tried_again() {
    let rivals = || {
        let mut rivals = Items::default();
        add_held(&mut rivals, "rival");
        rivals
    };
    assert_eq!(starved(rivals, refuse), HashMap::new());
}

/// Whether a new item starts in `IDLE_MAX` beside another VM's, and beside held items of its own VM.
fn starts_beside_held(endpoints: &Endpoints, vms: (u64, u64), has_held: bool) -> bool {
    let mut items = Items::default();
    if has_held {
        add_held(&mut items, "held");
    }
    let competing = [CompetingVm {
        vm: vms.1,
        domain: LOCAL_DOMAIN,
        items: 10,
    }];
    let added_at = ms(2_000);
    let mut now = ms(0);
    while now < added_at + IDLE_MAX {
        if now == added_at {
            items.add(now, key("job", 0), SERVICE, ms(60_000));
        }
        let own = planner(vms.0, &competing);
        let started = items.plan(now, &own, endpoints, &Usage::default());
        let is_new =
            |action: &Action| matches!(action, Action::Start { key, .. } if &*key.job == "job");
        if started.iter().any(is_new) {
            return true;
        }
        refuse(&mut items, now, started);
        now += PLAN_INTERVAL;
    }
    false
}

// Attempts that the quarantine refused counted as starts and came first: an item waited beside free
// slots while its VM had held items.
#[test]
fn beside_held() {
    let endpoints = endpoints(&["v1"]);
    let pairs = (0..100).map(|pair| (2 * pair + 1, 2 * pair + 2));
    let starts = |has_held: bool| -> Vec<(u64, u64)> {
        let pairs = pairs.clone();
        pairs
            .filter(|vms| starts_beside_held(&endpoints, *vms, has_held))
            .collect()
    };
    let without = starts(false);
    assert!(!without.is_empty());
    assert_eq!(starts(true), without);
}

// A held item was not tried again before the end of its hold, although what it was held for may be
// cleared sooner, while items waited at another VM.
#[test]
fn held_tried_again() {
    let endpoints = endpoints(&["v1"]);
    let competing = [CompetingVm {
        vm: 2,
        domain: LOCAL_DOMAIN,
        items: 1,
    }];
    let mut items = Items::default();
    items.add(ms(0), key("job", 0), SERVICE, ms(18_000));
    items.quarantined(ms(0), &key("job", 0), HOLD_TIME, RECHECK_INTERVAL);
    let mut now = ms(0);
    let own = planner(1, &competing);
    while items
        .plan(now, &own, &endpoints, &Usage::default())
        .is_empty()
    {
        now += PLAN_INTERVAL;
        assert!(now < IDLE_MAX);
    }
}

// Items that wait at the full endpoints of another service are granted the slots of this one.
#[test]
fn rivals_at_full_service() {
    let mut configs: Vec<_> = endpoint_configs(2, SERVICE, SLOTS, |_| LOCAL_DOMAIN).collect();
    configs[1].1.service = OTHER_SERVICE;
    let mut endpoints = Endpoints::default();
    endpoints.configure(configs);
    endpoints.rows[1].online_here = SLOTS as u32;
    let mut rivals = Items::default();
    (0..100).for_each(|at| rivals.add(ms(0), key("rival", at), OTHER_SERVICE, ms(18_000)));
    let pairs = (0..100).map(|pair| (2 * pair + 1, 2 * pair + 2));
    let starved = pairs
        .filter(|vms| start_beside(&mut rivals.clone(), none_starts, &endpoints, *vms).is_none());
    assert_eq!(starved.count(), 0);
}

// Items waited to be announced after each gap in which no endpoint was in use, and all of them then
// started at once.
#[test]
fn short_gap() {
    let mut endpoints = endpoints(&["v1"]);
    let mut items = Items::default();
    items.add(ms(0), key("job", 0), SERVICE, ms(18_000));
    for (now, is_out_of_use) in [(ms(0), false), (ms(50), true), (ms(2_500), false)] {
        endpoints.rows[0].barred = is_out_of_use;
        let actions = items.plan(now, &planner(1, &[]), &endpoints, &Usage::default());
        assert_eq!(actions.is_empty(), is_out_of_use, "{now:?}");
        for _ in actions {
            items.paused(now, &key("job", 0), true);
        }
    }
}

// An item was delayed each time an endpoint came into use again, and never started where endpoints
// went in and out of use.
#[test]
fn endpoints_flap() {
    const IN_USE_TIME: Duration = Duration::from_millis(300);
    const CYCLE_TIME: Duration = Duration::from_millis(3_800);
    let mut endpoints = endpoints(&["v1"]);
    let mut items = Items::default();
    items.add(ms(0), key("job", 0), SERVICE, ms(18_000));
    let mut now = ms(0);
    loop {
        let phase = now.as_millis() % CYCLE_TIME.as_millis();
        endpoints.rows[0].barred = phase < (CYCLE_TIME - IN_USE_TIME).as_millis();
        let actions = items.plan(now, &planner(1, &[]), &endpoints, &Usage::default());
        if !actions.is_empty() {
            break;
        }
        now += PLAN_INTERVAL;
        assert!(now < CYCLE_TIME + IDLE_MAX);
    }
}

// All endpoints of a service come back at once while items wait at many VMs. Each VM has to know of
// the others' items again before it takes slots, or all of them take the same ones.
#[test]
fn all_endpoints_back() {
    const VMS: u64 = 20;
    let mut endpoints = endpoints(&["v1"; 10]);
    endpoints.rows.iter_mut().for_each(|row| row.barred = true);
    let mut vms: Vec<(u64, Items, Usage)> = Vec::new();
    for vm in 1..=VMS {
        let mut items = Items::default();
        let job = format!("job-{vm}");
        (0..10).for_each(|at| items.add(ms(0), key(&job, at), SERVICE, ms(60_000)));
        vms.push((vm, items, Usage::default()));
    }
    let (back_at, end) = (ms(2_000), ms(3_000));
    let mut waiting: Vec<CompetingVm> = Vec::new();
    for step in 0..=(end.as_millis() / PLAN_INTERVAL.as_millis()) as u32 {
        let now = PLAN_INTERVAL * step;
        if now == back_at {
            endpoints.rows.iter_mut().for_each(|row| row.barred = false);
        }
        if now.as_millis().is_multiple_of(REPORT_INTERVAL.as_millis()) {
            waiting = report(&mut vms, &endpoints, now);
        }
        for (vm, items, usage) in &mut vms {
            let others = waiting.iter().filter(|other| other.vm != *vm);
            let others: Vec<CompetingVm> = others.copied().collect();
            items.plan(now, &planner(*vm, &others), &endpoints, usage);
        }
        for row in &endpoints.rows {
            let running: u32 = vms
                .iter()
                .map(|(_, items, _)| items.running_at(row.id))
                .sum();
            assert!(f64::from(running) <= SLOTS, "{running} items at {now:?}");
        }
    }
    let running: usize = vms.iter().map(|(_, items, _)| items.counts().1).sum();
    assert_eq!(running, 70);
}

/// Sends each VM's items at the endpoints to the others; returns the VMs that compete for slots.
fn report(
    vms: &mut [(u64, Items, Usage)],
    endpoints: &Endpoints,
    now: Duration,
) -> Vec<CompetingVm> {
    let uses_of = |items: &Items| -> Vec<(EndpointId, EndpointUse)> {
        let placed = items.by_endpoint(now);
        let use_of = |id: EndpointId| EndpointUse {
            online: 0,
            batch: placed.get(&id).map_or(0, |here| here.batch as u16),
            urgent: 0,
        };
        let rows = endpoints.rows.iter();
        rows.map(|row| (row.id, use_of(row.id))).collect()
    };
    let reports: Vec<_> = vms
        .iter()
        .map(|(vm, items, _)| (*vm, uses_of(items)))
        .collect();
    for (vm, _, usage) in vms.iter_mut() {
        for (other, uses) in reports.iter().filter(|(other, _)| other != vm) {
            usage.apply_report(now, *other, uses.clone());
        }
        usage.tick(now);
    }
    let competing = vms.iter().map(|(vm, items, _)| CompetingVm {
        vm: *vm,
        domain: LOCAL_DOMAIN,
        items: items.waiting_count() as u32,
    });
    competing.filter(|one| one.items > 0).collect()
}
