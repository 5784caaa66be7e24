//! Trial runs of items whose prompt contains something quarantined: how long sound items wait for
//! them, and how many endpoints an item that ends them may end.

use std::time::Duration;

use bramleyseam::decide::endpoints::Endpoints;
use bramleyseam::decide::items::{Action, ItemKey, ItemPlanner, Items};
use bramleyseam::decide::quarantine::{
    EvidenceSource, Fingerprint, LostRun, Quarantine, RequestIdentity, RunIdentity, RunKind,
    FAILURE_BURSTS_MIN, HOLD_TIME,
};
use bramleyseam::decide::usage::Usage;
use bramleyseam::standin::table::endpoint_configs;

/// An item that nobody runs for so long while slots are free counts as lost.
const IDLE_MAX: Duration = Duration::from_secs(5);
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
const END_INTERVAL: Duration = Duration::from_secs(2);
/// Time between the ends of a burst of crashes.
const BURST_INTERVAL: Duration = Duration::from_millis(400);
/// Time until an item whose endpoint ended is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time until a VM learns of the end of an endpoint where it had no run: its entry lapses.
const LAPSE_TIME: Duration = Duration::from_secs(4);
/// Ends of endpoints after which no further run is tolerated for long, from when on further ones are
/// late, and how many may be.
const ENDS_TOLERATED: usize = 5;
const LATE_AFTER: Duration = Duration::from_secs(3);
const LATE_RUNS_MAX: usize = 3;
const LOAD_TIME: Duration = Duration::from_secs(20);
/// Segments of all items, and of one.
const SHARED: u64 = 7;
const OWN: u64 = 100;
const OTHER_ENDPOINT: u64 = 1000;
const SERVICE: u64 = 1;
const DOMAIN: u64 = 1;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn identity(body: &str, segments: &[u64]) -> RunIdentity {
    let request = Fingerprint::of(&RequestIdentity {
        caller: b"",
        method: "POST",
        host: b"desk.example",
        target: "/items/a",
        body: body.as_bytes(),
    });
    // The last segment is the item's own and is left out.
    RunIdentity::new(request, segments.iter().copied().chain([u64::MAX]))
}

fn end_under(
    quarantine: &mut Quarantine,
    now: Duration,
    kind: RunKind,
    identity: &RunIdentity,
    endpoint: u64,
) {
    let run = LostRun {
        kind,
        identity: identity.clone(),
        label: "item".into(),
        endpoint,
        at: now,
        ran: ms(100),
        progressed: false,
    };
    quarantine.run_lost(now, run);
    quarantine.endpoint_ended(now, endpoint);
}

/// Ends as many endpoints as a quarantine takes under an item; returns the time of the last.
fn quarantined(quarantine: &mut Quarantine, item: &RunIdentity, first_endpoint: u64) -> Duration {
    let mut now = HOLD_TIME;
    for endpoint in 0..FAILURE_BURSTS_MIN as u64 {
        now += END_INTERVAL;
        end_under(
            quarantine,
            now,
            RunKind::Item,
            item,
            first_endpoint + endpoint,
        );
    }
    now
}

/// How long after `from` an item may run.
fn held_for(quarantine: &mut Quarantine, from: Duration, item: &RunIdentity) -> Duration {
    let mut now = from;
    quarantine.tick(now);
    while quarantine.item_hold(now, item, |_| 0).is_some() {
        now += CHECK_INTERVAL;
        quarantine.tick(now);
    }
    now - from
}

// Runs that began before a segment was quarantined, and ended in the same burst of crashes, counted
// as its failed trial runs: a job's items waited 12 s for the first one.
#[test]
fn burst_in_flight() {
    let mut quarantine = Quarantine::of_items();
    let mut now = HOLD_TIME;
    for endpoint in 0..6 {
        now += BURST_INTERVAL;
        let item = identity(&endpoint.to_string(), &[SHARED]);
        end_under(&mut quarantine, now, RunKind::Item, &item, endpoint);
    }
    let held = held_for(&mut quarantine, now, &identity("next", &[SHARED]));
    assert!(held < IDLE_MAX, "{held:?}");
}

// Two quarantined items ran at endpoints that ended together, and each one's end counted as its own
// doing, since the other's endpoint was not taken for an unrelated one.
#[test]
fn ends_of_two_items() {
    let mut quarantine = Quarantine::of_items();
    let items = [identity("a", &[OWN]), identity("b", &[OWN + 1])];
    let mut now = HOLD_TIME;
    for (at, item) in items.iter().enumerate() {
        now = quarantined(&mut quarantine, item, 10 * at as u64);
    }
    for trial in 0..3 {
        now += held_for(&mut quarantine, now, &items[0]);
        now += held_for(&mut quarantine, now, &items[1]);
        for (at, item) in items.iter().enumerate() {
            quarantine.start_item_trial(now, item);
            let endpoint = 100 + 10 * at as u64 + trial;
            end_under(&mut quarantine, now, RunKind::Item, item, endpoint);
        }
    }
    let held = held_for(&mut quarantine, now, &items[0]);
    assert!(held < IDLE_MAX, "{held:?}");
}

// The other ends of a burst are learned of seconds later, where no run was lost there, and were then
// not taken for ends beside the trial run's.
#[test]
fn others_lapse_later() {
    let mut quarantine = Quarantine::of_items();
    let item = identity("a", &[OWN]);
    let mut now = quarantined(&mut quarantine, &item, 0);
    let mut longest = Duration::ZERO;
    for trial in 0..4 {
        let from = now;
        let lapses_at = from + LAPSE_TIME;
        while now < lapses_at || quarantine.item_hold(now, &item, |_| 0).is_some() {
            if now == lapses_at && trial > 0 {
                for other in 0..3 {
                    quarantine.endpoint_ended(now, OTHER_ENDPOINT + 10 * trial + other);
                }
            }
            now += CHECK_INTERVAL;
            quarantine.tick(now);
        }
        longest = longest.max(now - from);
        quarantine.start_item_trial(now, &item);
        end_under(&mut quarantine, now, RunKind::Item, &item, 100 + trial);
    }
    assert!(longest < IDLE_MAX, "{longest:?}");
}

// A trial run that ended nothing, since its endpoint refused it, was counted as made: an item had no
// run for twice the hold.
#[test]
fn trial_not_sent() {
    let mut quarantine = Quarantine::of_items();
    let item = identity("a", &[OWN]);
    let ended_at = quarantined(&mut quarantine, &item, 0);
    let mut now = ended_at + held_for(&mut quarantine, ended_at, &item);
    quarantine.start_item_trial(now, &item);
    quarantine.withdraw_item_trial(&item);
    now += held_for(&mut quarantine, now, &item);
    let without_run = now - ended_at;
    assert!(without_run < IDLE_MAX, "{without_run:?}");
}

// An item that no endpoint answers in time took each trial run of a segment; items of other jobs with
// that segment were never run.
#[test]
fn silent_trials() {
    const EVENT_TIMEOUT: Duration = Duration::from_millis(2500);
    let key = |job: &str| ItemKey {
        job: job.into(),
        item: 0,
    };
    let mut quarantine = Quarantine::of_items();
    let start = quarantined(&mut quarantine, &identity("silent", &[SHARED]), 0);
    let mut endpoints = Endpoints::default();
    endpoints.configure(endpoint_configs(4, SERVICE, 7.0, |_| DOMAIN));
    let mut items = Items::default();
    items.add(start, key("silent"), SERVICE, start + ms(60_000));
    items.add(start, key("sound"), SERVICE, start + ms(61_000));
    let planner = ItemPlanner {
        vm: 1,
        domain: DOMAIN,
        competing_vms: &[],
        may_start: true,
    };
    let mut silent_until: Option<Duration> = None;
    let mut now = start;
    while now < start + LOAD_TIME {
        now += CHECK_INTERVAL;
        quarantine.tick(now);
        if silent_until.is_some_and(|until| now >= until) {
            silent_until = None;
            items.paused(now, &key("silent"), true);
        }
        for action in items.plan(now, &planner, &endpoints, &Usage::default()) {
            let Action::Start { key, .. } = action else {
                continue;
            };
            let item = identity(&key.job, &[SHARED]);
            match quarantine.item_hold(now, &item, |_| 0) {
                Some(hold) => {
                    let back_in = hold.until - now;
                    items.quarantined(now, &key, back_in, back_in.min(ms(1000)));
                }
                None if &*key.job == "sound" => return,
                None => {
                    quarantine.start_item_trial(now, &item);
                    silent_until = Some(now + EVENT_TIMEOUT);
                }
            }
        }
    }
    panic!("the sound item had no run for {LOAD_TIME:?}");
}

/// Number of an item's runs that are late, each of which ends its endpoint at once.
fn late_runs(quarantines: &mut [Quarantine], shares: bool) -> usize {
    let (mut now, mut endpoint, mut late_from) = (HOLD_TIME, 0, Duration::MAX);
    let mut sent_at = vec![Duration::ZERO; quarantines.len()];
    let mut late = 0;
    while now < HOLD_TIME + LOAD_TIME {
        for vm in 0..quarantines.len() {
            quarantines[vm].tick(now);
            let item = identity(&vm.to_string(), &[SHARED]);
            let waits = now < sent_at[vm] + RETRY_INTERVAL;
            if waits || quarantines[vm].item_hold(now, &item, |_| vm).is_some() {
                continue;
            }
            sent_at[vm] = now;
            endpoint += 1;
            quarantines[vm].start_item_trial(now, &item);
            end_under(&mut quarantines[vm], now, RunKind::Item, &item, endpoint);
            late += usize::from(now > late_from);
            if endpoint as usize == ENDS_TOLERATED {
                late_from = now + LATE_AFTER;
            }
            if shares {
                share(quarantines, vm, now, &item);
            }
        }
        now += CHECK_INTERVAL;
    }
    late
}

/// Reports the suspects of a VM's run to all others, without loss.
fn share(quarantines: &mut [Quarantine], from: usize, now: Duration, item: &RunIdentity) {
    for suspect in item.fingerprints() {
        let Some(report) = quarantines[from].report(now, suspect, true) else {
            continue;
        };
        for (vm, quarantine) in quarantines.iter_mut().enumerate() {
            if vm != from {
                quarantine.apply_report(now, &report, EvidenceSource::Peer);
            }
        }
    }
}

// Each owner of items with a segment that ends endpoints learned it alone and went on trying it.
#[test]
fn many_owners() {
    let counts = [1, 3, 6, 12].map(|owners| {
        let mut quarantines: Vec<_> = (0..owners).map(|_| Quarantine::of_items()).collect();
        (owners, late_runs(&mut quarantines, false))
    });
    let holds = |(_, late): &(usize, usize)| *late <= LATE_RUNS_MAX;
    assert!(counts.iter().all(holds), "owners, late runs: {counts:?}");
}

/// A quarantine in which requests proved a segment bad, up to `now`.
fn proved(now: Duration) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for end in 0..FAILURE_BURSTS_MIN as u64 {
        let at = now - END_INTERVAL * (FAILURE_BURSTS_MIN as u32 - end as u32);
        let request = identity(&format!("request {end}"), &[SHARED]);
        end_under(&mut quarantine, at, RunKind::Request, &request, 500 + end);
    }
    quarantine.tick(now);
    assert_eq!(quarantine.refused().len(), 1);
    quarantine
}

// Requests had proved a segment bad at all VMs, and each owner of items with it tried it on its own.
#[test]
fn proved_many_owners() {
    let counts = [1, 6, 40].map(|owners| {
        let mut quarantines: Vec<_> = (0..owners).map(|_| proved(HOLD_TIME)).collect();
        (owners, late_runs(&mut quarantines, true))
    });
    let holds = |(_, late): &(usize, usize)| *late <= LATE_RUNS_MAX;
    assert!(counts.iter().all(holds), "owners, late runs: {counts:?}");
}

// A suspect has room for so many ends only; further ones were not seen, and the trial runs of items
// came as often as at first.
#[test]
fn ends_beyond_room() {
    const TRIALS: u64 = 40;
    let mut quarantine = proved(HOLD_TIME);
    let item = identity("a", &[SHARED]);
    let mut now = HOLD_TIME;
    let mut gaps = Vec::new();
    for trial in 0..TRIALS {
        let held = held_for(&mut quarantine, now, &item);
        now += held;
        gaps.push(held);
        quarantine.start_item_trial(now, &item);
        end_under(&mut quarantine, now, RunKind::Item, &item, 600 + trial);
    }
    let (early, late) = (gaps[10], gaps[TRIALS as usize - 1]);
    assert!(late >= early, "early {early:?}, late {late:?}");
}

// Endpoints that ended under items counted as ends for other reasons, so requests with the same
// segment had to end more endpoints until it was quarantined.
#[test]
fn requests_beside_items() {
    let ends_until_held = |with_items: bool| {
        let mut quarantine = Quarantine::default();
        let mut now = HOLD_TIME;
        for end in 0..20 {
            now += ms(1000);
            let request = identity(&format!("request {end}"), &[SHARED]);
            end_under(&mut quarantine, now, RunKind::Request, &request, end);
            for beside in 0..if with_items { 3 } else { 0 } {
                let at = now + ms(300) * (beside + 1);
                let item = identity(&format!("item {end} {beside}"), &[SHARED]);
                let endpoint = OTHER_ENDPOINT + 10 * end + u64::from(beside);
                end_under(&mut quarantine, at, RunKind::Item, &item, endpoint);
                quarantine.tick(at);
            }
            quarantine.tick(now + ms(950));
            if !quarantine.refused().is_empty() {
                return end + 1;
            }
        }
        u64::MAX
    };
    let (alone, beside) = (ends_until_held(false), ends_until_held(true));
    assert!(
        beside <= alone,
        "ends: alone {alone}, beside items {beside}"
    );
}

// An item's output of a second kept the ends of its later runs from counting for 20 s, although they
// ended their endpoints at once.
#[test]
fn ends_after_progress() {
    let mut quarantine = Quarantine::of_items();
    let item = identity("a", &[OWN]);
    quarantine.item_progressed(HOLD_TIME, &item);
    let mut runs = 0;
    let mut now = HOLD_TIME;
    while now < HOLD_TIME + LOAD_TIME {
        now += RETRY_INTERVAL;
        quarantine.tick(now);
        if quarantine.item_hold(now, &item, |_| 0).is_none() {
            runs += 1;
            quarantine.start_item_trial(now, &item);
            end_under(&mut quarantine, now, RunKind::Item, &item, runs);
        }
    }
    let runs_max = (ENDS_TOLERATED + LATE_RUNS_MAX) as u64;
    assert!(runs <= runs_max, "{runs} runs");
}
