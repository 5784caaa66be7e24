//! For how long the quarantine holds an item back after endpoints ended for other reasons.

use std::time::Duration;

use bramleyseam::decide::quarantine::{
    Fingerprint, LostRun, Quarantine, RequestIdentity, RunIdentity, FAILURE_BURSTS_MIN, HOLD_TIME,
};

/// Time after the end of a trouble by which every item has to be done.
const COMPLETION_TIME: Duration = Duration::from_secs(18);
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const SEGMENT: u64 = 7;
const OWN_SEGMENT: u64 = 8;

fn request() -> Fingerprint {
    Fingerprint::of(&RequestIdentity {
        caller: b"",
        method: "POST",
        host: b"desk.example",
        target: "/items/a",
        body: b"item",
    })
}

/// Ends as many endpoints as a quarantine takes while they run an item; returns how long after the
/// last end the item may run again. `rank` is the place of its VM for trial runs of segments.
fn held_for(segments: &[u64], rank: usize) -> Duration {
    let identity = RunIdentity::new(request(), segments.iter().copied());
    let mut quarantine = Quarantine::default();
    let mut now = HOLD_TIME;
    for endpoint in 0..FAILURE_BURSTS_MIN as u64 {
        now += Duration::from_secs(2);
        let run = LostRun {
            identity: identity.clone(),
            label: "item".into(),
            endpoint,
            at: now,
            ran: Duration::from_millis(100),
            progressed: false,
        };
        quarantine.run_lost(now, run);
        quarantine.endpoint_ended(now, endpoint);
    }
    let ended_at = now;
    let rank_of = |suspect: Fingerprint| if suspect == request() { 0 } else { rank };
    quarantine.tick(now);
    while quarantine.admit(now, &identity, rank_of).is_err() {
        now += CHECK_INTERVAL;
        quarantine.tick(now);
    }
    now - ended_at
}

// An item that happened to run at three endpoints that ended gets its trial run in time.
#[test]
fn request_held() {
    assert!(held_for(&[], 0) < COMPLETION_TIME);
}

// Request and segment of an item are equally suspect, and nobody else sends the segment: the item
// was held back for the whole ten minutes.
#[test]
fn segment_held() {
    let held = [0, 5, 50].map(|rank| held_for(&[SEGMENT, OWN_SEGMENT], rank));
    assert!(held.iter().all(|held| *held < COMPLETION_TIME), "{held:?}");
}
