//! Decisions of the quarantine on prompt segments: which it refuses after endpoints ended while running
//! requests that share them, and which it does not.

use std::time::Duration;

use bramleyseam::decide::quarantine::{
    EvidenceSource, Fingerprint, LostRun, Quarantine, RequestIdentity, RunIdentity, RunKind,
    HOLD_TIME,
};
use bramleyseam::id::{EndpointId, SegmentId};

const COMMON: SegmentId = 1;
const BAD: SegmentId = 2;
const BESIDE: SegmentId = 3;

fn ms(count: u64) -> Duration {
    HOLD_TIME + Duration::from_millis(count)
}

/// A request of its own with these shared segments.
fn request(number: u64, shared: &[SegmentId]) -> RunIdentity {
    let own = 1_000_000 + number;
    let fingerprint = Fingerprint::of(&RequestIdentity {
        caller: b"",
        method: "POST",
        host: b"desk.example",
        target: "/query/a",
        body: &number.to_le_bytes(),
    });
    RunIdentity::new(fingerprint, shared.iter().copied().chain([own]))
}

/// Ends an endpoint while it runs these requests.
fn end_endpoint(
    quarantine: &mut Quarantine,
    at: Duration,
    endpoint: EndpointId,
    runs: &[RunIdentity],
) {
    for identity in runs {
        let run = LostRun {
            kind: RunKind::Request,
            identity: identity.clone(),
            label: "POST desk.example/query/a".into(),
            endpoint,
            at,
            ran: Duration::from_millis(100),
            progressed: false,
        };
        quarantine.run_lost(at, run);
    }
    quarantine.endpoint_ended(at, endpoint);
}

/// Whether a new request with these segments is refused at a VM that executes no trial runs.
fn is_refused(quarantine: &Quarantine, at: Duration, shared: &[SegmentId]) -> bool {
    let new = request(900_000, shared);
    quarantine.check(at, &new, |_| 1_000).is_err()
}

/// Ends endpoints 0.5 s apart, each with one request of these segments.
fn end_with(quarantine: &mut Quarantine, from: u64, count: u64, shared: &[SegmentId]) {
    for number in from..from + count {
        let run = request(number, shared);
        end_endpoint(quarantine, ms(number * 500), number, &[run]);
    }
}

// Guards against requests that all differ and share a segment that ends every endpoint.
#[test]
fn shared_segment() {
    let mut quarantine = Quarantine::default();
    quarantine.answered(ms(0), &request(99, &[COMMON, BESIDE]), true);
    end_with(&mut quarantine, 1, 2, &[COMMON, BAD, BESIDE]);
    quarantine.tick(ms(1400));
    assert!(!is_refused(&quarantine, ms(1400), &[COMMON, BAD]));
    end_with(&mut quarantine, 3, 1, &[COMMON, BAD, BESIDE]);
    quarantine.tick(ms(2000));
    assert!(is_refused(&quarantine, ms(2000), &[COMMON, BAD]));
    assert!(!is_refused(&quarantine, ms(2000), &[COMMON, BESIDE]));
    let listed = quarantine.list(ms(2000));
    assert_eq!(&*listed[0].label, "segment 2 of POST desk.example/query/a");
    assert_eq!(listed[0].ends, 3);
}

// Guards against a request refused by its last segment, which no other request has.
#[test]
fn last_segment() {
    let identity = request(1, &[COMMON]);
    assert_eq!(identity.segments(), [COMMON]);
    assert!(request(1, &[]).segments().is_empty());
}

// Guards against two segments that hide each other: the ends of one are unrelated to the other.
#[test]
fn two_at_once() {
    let mut quarantine = Quarantine::default();
    for number in 1..=5 {
        let shared: [SegmentId; 2] = [BAD, 20];
        for (side, segment) in shared.into_iter().enumerate() {
            let endpoint = number * 10 + side as u64;
            let run = request(endpoint, &[segment]);
            end_endpoint(&mut quarantine, ms(number * 400), endpoint, &[run]);
        }
    }
    quarantine.tick(ms(2400));
    assert!(is_refused(&quarantine, ms(2400), &[BAD]));
    assert!(is_refused(&quarantine, ms(2400), &[20]));
}

// Guards against waves: items restart together, end all endpoints at one moment, and do so again when
// the endpoints are back.
#[test]
fn two_waves() {
    let mut quarantine = Quarantine::default();
    for wave in 0..2 {
        for number in 0..6 {
            let endpoint = wave * 10 + number;
            let at = ms(wave * 2800 + number * 10);
            end_endpoint(&mut quarantine, at, endpoint, &[request(endpoint, &[BAD])]);
        }
        assert!(!is_refused(&quarantine, ms(wave * 2800 + 60), &[BAD]));
    }
    quarantine.tick(ms(3300));
    assert!(is_refused(&quarantine, ms(3300), &[BAD]));
}

// Guards against refusing what merely ran beside the cause: the cause accounts for its ends.
#[test]
fn ran_beside() {
    let mut quarantine = Quarantine::default();
    for number in 1..=6 {
        let mut runs = vec![request(number, &[BAD])];
        if number > 2 {
            runs.push(request(number + 100, &[BESIDE]));
        }
        end_endpoint(&mut quarantine, ms(number * 500), number, &runs);
    }
    quarantine.tick(ms(3500));
    assert!(is_refused(&quarantine, ms(3500), &[BAD]));
    assert!(!is_refused(&quarantine, ms(3500), &[BESIDE]));
    // It is refused once it ends endpoints without the other.
    end_with(&mut quarantine, 8, 2, &[BESIDE]);
    quarantine.tick(ms(5000));
    assert!(is_refused(&quarantine, ms(5000), &[BESIDE]));
}

// After a restart of everything nobody has answered anything, and the common segment is as suspect as
// the bad one. A trial run without the bad one clears it within seconds.
#[test]
fn equally_suspect() {
    let mut quarantine = Quarantine::default();
    end_with(&mut quarantine, 1, 6, &[COMMON, BAD]);
    quarantine.tick(ms(3500));
    assert!(is_refused(&quarantine, ms(3500), &[COMMON]));
    let both = request(50, &[COMMON, BAD]);
    let sound = request(51, &[COMMON, BESIDE]);
    assert!(quarantine.admit(ms(5000), &both, |_| 0).is_err());
    assert!(quarantine.admit(ms(5000), &sound, |_| 0).is_ok());
    assert!(quarantine.admit(ms(5000), &sound, |_| 0).is_err());
    quarantine.answered(ms(5100), &sound, true);
    assert!(!is_refused(&quarantine, ms(5200), &[COMMON]));
    assert!(is_refused(&quarantine, ms(5200), &[COMMON, BAD]));
    // Nothing speaks for the other one, which gets no further trial run.
    for at in [20_000, 160_000, 500_000] {
        assert!(quarantine.admit(ms(at), &both, |_| 0).is_err());
    }
}

// The VM whose turn it is may be out of service: the next one executes the trial run.
#[test]
fn next_in_turn() {
    let mut quarantine = Quarantine::default();
    end_with(&mut quarantine, 1, 3, &[BAD]);
    quarantine.tick(ms(1900));
    let bad = request(50, &[BAD]);
    assert!(quarantine.admit(ms(17_000), &bad, |_| 1).is_err());
    assert!(quarantine.admit(ms(19_000), &bad, |_| 1).is_ok());
    assert!(quarantine.admit(ms(19_000), &bad, |_| 0).is_err());
}

// Guards against a crash that looks like a complete answer: the connection ends, and no length tells
// that something is missing.
#[test]
fn until_close() {
    let mut quarantine = Quarantine::default();
    for number in 1..=3 {
        let run = request(number, &[BAD]);
        let at = ms(number * 500);
        quarantine.answered_until_close(at, run.clone(), number);
        end_endpoint(&mut quarantine, at, number, &[run]);
    }
    quarantine.tick(ms(9000));
    assert!(is_refused(&quarantine, ms(9000), &[BAD]));
    // An endpoint that outlives such an answer clears the segment.
    quarantine.answered_until_close(ms(9000), request(50, &[BAD]), 9);
    quarantine.tick(ms(14_000));
    assert!(is_refused(&quarantine, ms(14_000), &[BAD]));
    quarantine.tick(ms(15_100));
    assert!(!is_refused(&quarantine, ms(15_100), &[BAD]));
}

// An answer that a VM knows of clears the segment at others, although that VM has counted no end.
#[test]
fn answered_elsewhere() {
    let mut aggregator = Quarantine::default();
    let mut other = Quarantine::default();
    other.answered(ms(0), &request(99, &[COMMON]), true);
    end_with(&mut aggregator, 1, 3, &[COMMON]);
    aggregator.tick(ms(1900));
    assert!(is_refused(&aggregator, ms(1900), &[COMMON]));
    let common = Fingerprint::of_segment(COMMON);
    let told = aggregator.report(ms(1900), common, true).unwrap();
    other.apply_report(ms(1900), &told, EvidenceSource::Peer);
    assert!(other.knows_later_answer(ms(1900), &told));
    let answer = other.report(ms(1950), common, false).unwrap();
    assert!(aggregator.apply_report(ms(1950), &answer, EvidenceSource::Peer));
    assert!(!is_refused(&aggregator, ms(1950), &[COMMON]));
    assert!(!aggregator.knows_later_answer(ms(1950), &answer));
}

// Guards against reports that VMs forward to each other for ever: with more ends than are kept, each
// VM kept others and took the rest for new.
#[test]
fn many_ends() {
    let mut vms = [Quarantine::default(), Quarantine::default()];
    for (side, vm) in vms.iter_mut().enumerate() {
        for number in 0..40 {
            let endpoint = number * 2 + side as u64;
            let at = ms(1000 + number * 300 + side as u64 * 7);
            end_endpoint(vm, at, endpoint, &[request(endpoint, &[BAD])]);
        }
    }
    let [one, other] = &mut vms;
    let bad = Fingerprint::of_segment(BAD);
    let mut told = 0;
    for round in 0..10 {
        let now = ms(14_000 + round * 100);
        let report = one.report(now, bad, true).unwrap();
        told += usize::from(other.apply_report(now, &report, EvidenceSource::Peer));
        let report = other.report(now, bad, true).unwrap();
        told += usize::from(one.apply_report(now, &report, EvidenceSource::Peer));
    }
    assert!(told <= 2, "{told} reports were new");
    assert!(is_refused(one, ms(15_000), &[BAD]));
}

// Memory is bounded for prompts of any length, and what has ended several endpoints outlasts them.
#[test]
fn long_prompts() {
    let mut quarantine = Quarantine::default();
    for number in 0..6 {
        let at = ms(number * 500);
        let long: Vec<SegmentId> = (0..5000).map(|at| number * 10_000 + at + 100).collect();
        let flood: Vec<RunIdentity> = (0..8)
            .map(|slot| request(number * 8 + slot, &long[slot as usize * 500..]))
            .collect();
        end_endpoint(&mut quarantine, at, number * 2, &flood);
        end_endpoint(
            &mut quarantine,
            at,
            number * 2 + 1,
            &[request(900 + number, &[BAD])],
        );
    }
    quarantine.tick(ms(3500));
    assert!(quarantine.list(ms(3500)).len() <= 256);
    assert!(is_refused(&quarantine, ms(3500), &[BAD]));
}

// Guards against a request that is refused for ten minutes, since nobody else sends its segment: it and
// the segment waited for each other's trial run.
#[test]
fn own_segment() {
    let mut quarantine = Quarantine::default();
    let repeated = request(7, &[BESIDE]);
    for number in 1..=3 {
        let runs = [repeated.clone()];
        end_endpoint(&mut quarantine, ms(number * 500), number, &runs);
    }
    quarantine.tick(ms(2000));
    assert!(quarantine.check(ms(2000), &repeated, |_| 0).is_err());
    assert!(quarantine.check(ms(17_000), &repeated, |_| 1_000).is_err());
    assert!(quarantine.admit(ms(17_000), &repeated, |_| 0).is_ok());
    assert!(quarantine.admit(ms(17_100), &repeated, |_| 0).is_err());
    quarantine.answered(ms(17_500), &repeated, true);
    assert!(quarantine.check(ms(17_600), &repeated, |_| 1_000).is_ok());
}
