//! For how long the quarantine holds an item back after endpoints ended for other reasons.

use std::time::Duration;

use bramleyseam::decide::quarantine::{
    Fingerprint, LostRun, Quarantine, RequestIdentity, RunIdentity, RunKind, FAILURE_BURSTS_MIN,
    HOLD_TIME,
};

/// An item that nobody runs for so long while slots are free counts as lost.
const IDLE_MAX: Duration = Duration::from_secs(5);
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// For how long an item ends each endpoint that runs it, and how many it may end.
const LOAD_TIME: Duration = Duration::from_secs(300);
const TRIALS_MAX: usize = 30;
const END_INTERVAL: Duration = Duration::from_secs(2);
const SEGMENT: u64 = 7;
const OWN_SEGMENT: u64 = 8;
/// An endpoint that ended for no known reason.
const OTHER_ENDPOINT: u64 = 1000;

fn request() -> Fingerprint {
    Fingerprint::of(&RequestIdentity {
        caller: b"",
        method: "POST",
        host: b"desk.example",
        target: "/items/a",
        body: b"item",
    })
}

fn identity(segments: &[u64]) -> RunIdentity {
    RunIdentity::new(request(), segments.iter().copied())
}

fn lost_run(now: Duration, kind: RunKind, segments: &[u64], endpoint: u64) -> LostRun {
    LostRun {
        kind,
        identity: identity(segments),
        label: "item".into(),
        endpoint,
        at: now,
        ran: Duration::from_millis(100),
        progressed: false,
    }
}

/// Ends as many endpoints as a quarantine takes under runs of one kind; returns the time of the last.
fn end_endpoints(quarantine: &mut Quarantine, kind: RunKind, segments: &[u64]) -> Duration {
    let mut now = HOLD_TIME;
    for endpoint in 0..FAILURE_BURSTS_MIN as u64 {
        now += END_INTERVAL;
        quarantine.run_lost(now, lost_run(now, kind, segments, endpoint));
        quarantine.endpoint_ended(now, endpoint);
    }
    now
}

/// How long after `from` an item may run. `rank` is the place of its VM for trial runs.
fn held_for(
    quarantine: &mut Quarantine,
    from: Duration,
    segments: &[u64],
    rank: usize,
) -> Duration {
    let mut now = from;
    quarantine.tick(now);
    while quarantine
        .item_hold(now, &identity(segments), |_| rank)
        .is_some()
    {
        now += CHECK_INTERVAL;
        quarantine.tick(now);
    }
    now - from
}

/// The same after endpoints ended under the item itself.
fn held_by_items(segments: &[u64]) -> Duration {
    let mut quarantine = Quarantine::of_items();
    let ended_at = end_endpoints(&mut quarantine, RunKind::Item, segments);
    held_for(&mut quarantine, ended_at, segments, 0)
}

// An item that happened to run at three endpoints that ended gets its trial run in time.
#[test]
fn request_held() {
    assert!(held_by_items(&[]) < IDLE_MAX);
}

// Request and segment of an item are equally suspect, and nobody else sends the segment: the item
// was held back for the whole ten minutes.
#[test]
fn segment_held() {
    assert!(held_by_items(&[SEGMENT, OWN_SEGMENT]) < IDLE_MAX);
}

// What requests proved bad delays an item at any VM, but not until the quarantine expires.
#[test]
fn proved_by_requests() {
    let segments = [SEGMENT, OWN_SEGMENT];
    for rank in [0, 5, 50] {
        let mut quarantine = Quarantine::default();
        let ended_at = end_endpoints(&mut quarantine, RunKind::Request, &segments);
        let held = held_for(&mut quarantine, ended_at, &segments, rank);
        assert!(held > Duration::ZERO && held < IDLE_MAX, "{held:?}");
    }
}

// Ends under items quarantined prompt segments of sound requests at all VMs.
#[test]
fn requests_unharmed() {
    let segments = [SEGMENT, OWN_SEGMENT];
    let mut quarantine = Quarantine::default();
    let ended_at = end_endpoints(&mut quarantine, RunKind::Item, &segments);
    quarantine.tick(ended_at + END_INTERVAL);
    assert!(quarantine.refused().is_empty());
    assert!(quarantine.take_unreported().is_empty());
}

// A trial run that its endpoint outlived for a second clears all that delayed the item.
#[test]
fn cleared_by_progress() {
    let segments = [SEGMENT, OWN_SEGMENT];
    let mut quarantine = Quarantine::of_items();
    let ended_at = end_endpoints(&mut quarantine, RunKind::Item, &segments);
    let now = ended_at + held_for(&mut quarantine, ended_at, &segments, 0);
    quarantine.start_item_trial(now, &identity(&segments));
    assert!(held_for(&mut quarantine, now, &segments, 0) > Duration::ZERO);
    quarantine.item_progressed(now, &identity(&segments));
    assert_eq!(held_for(&mut quarantine, now, &segments, 0), Duration::ZERO);
}

/// Longest time between two trial runs, each of which ends its endpoint, and their number; `beside`
/// when other endpoints end at the same time.
fn longest_hold(beside: bool) -> (Duration, usize) {
    let segments = [SEGMENT, OWN_SEGMENT];
    let mut quarantine = Quarantine::of_items();
    let ended_at = end_endpoints(&mut quarantine, RunKind::Item, &segments);
    let (mut now, mut longest, mut trials) = (ended_at, Duration::ZERO, 0);
    while now < ended_at + LOAD_TIME {
        let held = held_for(&mut quarantine, now, &segments, 0);
        longest = longest.max(held);
        now += held;
        quarantine.start_item_trial(now, &identity(&segments));
        trials += 1;
        let endpoint = 100 + trials as u64;
        quarantine.run_lost(now, lost_run(now, RunKind::Item, &segments, endpoint));
        quarantine.endpoint_ended(now, endpoint);
        if beside {
            quarantine.endpoint_ended(now, OTHER_ENDPOINT + endpoint);
        }
    }
    (longest, trials)
}

// Trial runs that end among many other ends were counted against the item, which waited ever longer.
#[test]
fn ends_beside_trials() {
    let (longest, _) = longest_hold(true);
    assert!(longest < IDLE_MAX, "{longest:?}");
}

// An item that does end its endpoints was sent out again at once, without end.
#[test]
fn endpoints_spared() {
    let (_, trials) = longest_hold(false);
    assert!(trials <= TRIALS_MAX, "{trials}");
}
