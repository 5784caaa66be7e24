//! Decisions of the quarantine: which requests it refuses after endpoints ended while running them,
//! and which it does not.

use std::time::Duration;

use bramleyseam::decide::quarantine::{
    EvidenceSource, Fingerprint, LostRun, Quarantine, QuarantineReport, QuarantineVerdict,
    RequestIdentity, RunIdentity, RunKind, FAILURE_BURSTS_MIN, HOLD_TIME,
};
use bramleyseam::id::EndpointId;
use quickcheck::{quickcheck, TestResult};

fn ms(count: u64) -> Duration {
    HOLD_TIME + Duration::from_millis(count)
}

fn fingerprint(body: &str) -> Fingerprint {
    fingerprint_by("", body)
}

fn fingerprint_by(caller: &str, body: &str) -> Fingerprint {
    Fingerprint::of(&RequestIdentity {
        caller: caller.as_bytes(),
        method: "POST",
        host: b"desk.example",
        target: "/query/a",
        body: body.as_bytes(),
    })
}

/// A request without a prompt.
fn identity(body: &str) -> RunIdentity {
    RunIdentity::new(fingerprint(body), [])
}

/// Rank of a VM whose turn for a trial run comes much later than the first one's.
const LATE_RANK: usize = 1_000;

fn lost_run(at: Duration, body: &str, endpoint: EndpointId) -> LostRun {
    LostRun {
        kind: RunKind::Request,
        identity: identity(body),
        label: "POST desk.example/query/a".into(),
        endpoint,
        at,
        ran: Duration::from_millis(100),
        progressed: false,
    }
}

/// Ends an endpoint while it runs these requests.
fn end_endpoint(quarantine: &mut Quarantine, at: Duration, endpoint: EndpointId, bodies: &[&str]) {
    for body in bodies {
        quarantine.run_lost(at, lost_run(at, body, endpoint));
    }
    quarantine.endpoint_ended(at, endpoint);
}

fn is_refused(quarantine: &mut Quarantine, at: Duration, body: &str) -> bool {
    quarantine
        .admit(at, &identity(body), |_| LATE_RANK)
        .is_err()
}

/// Sends one VM's report on the request "bad" to another VM.
fn send_report(from: &Quarantine, to: &mut Quarantine, now: Duration) {
    if let Some(report) = from.report(now, fingerprint("bad"), true) {
        to.apply_report(now, &report, EvidenceSource::Peer);
    }
}

/// Returns a quarantine that has held the request "bad" since 4 s.
fn holding() -> Quarantine {
    let mut quarantine = Quarantine::default();
    for endpoint in 0..FAILURE_BURSTS_MIN as u64 {
        end_endpoint(
            &mut quarantine,
            ms(2000 + endpoint * 1000),
            endpoint,
            &["bad"],
        );
    }
    quarantine
}

// Guards against a caller whose request ends every endpoint that runs it, until no request is
// served. After three ends the request is refused by its fingerprint; requests that merely ran
// beside it are not.
#[test]
fn third_end() {
    let mut quarantine = Quarantine::default();
    end_endpoint(&mut quarantine, ms(0), 1, &["bad", "a", "b"]);
    end_endpoint(&mut quarantine, ms(400), 2, &["bad", "c"]);
    quarantine.tick(ms(1400));
    assert!(!is_refused(&mut quarantine, ms(1400), "bad"));
    end_endpoint(&mut quarantine, ms(1500), 3, &["a", "bad", "d"]);
    assert!(is_refused(&mut quarantine, ms(1500), "bad"));
    quarantine.tick(ms(2500));
    for innocent in ["a", "b", "c", "d"] {
        assert!(
            !is_refused(&mut quarantine, ms(2500), innocent),
            "{innocent}"
        );
    }
    let changes = quarantine.take_changes();
    let held = changes
        .iter()
        .filter(|c| c.verdict == QuarantineVerdict::Held);
    let held: Vec<Fingerprint> = held.map(|change| change.fingerprint).collect();
    assert_eq!(held, [fingerprint("bad")]);
}

// Guards against one caller getting another caller's request refused by sending the same one.
#[test]
fn two_callers() {
    assert_ne!(fingerprint_by("one", "bad"), fingerprint_by("two", "bad"));
    assert_ne!(fingerprint_by("ab", "c"), fingerprint_by("a", "bc"));
    let text = fingerprint("bad").to_string();
    assert_eq!(text.parse(), Ok(fingerprint("bad")));
    assert!("zz".parse::<Fingerprint>().is_err());
}

// A common request is running at every end. It is answered completely in between, which a request
// that ends its endpoints never is, so it must not be quarantined.
#[test]
fn common_question() {
    let mut quarantine = Quarantine::default();
    for endpoint in 0..20 {
        let at = ms(endpoint * 600);
        end_endpoint(&mut quarantine, at, endpoint, &["common", "bad"]);
        quarantine.answered(at + Duration::from_millis(50), &identity("common"), true);
        assert!(!is_refused(&mut quarantine, at, "common"));
    }
    assert!(is_refused(&mut quarantine, ms(12_000), "bad"));
}

// All endpoints of a failure domain or rack lose power at one moment while a common request runs at
// each: this is one failure burst.
#[test]
fn at_one_moment() {
    let mut quarantine = Quarantine::default();
    for endpoint in 0..30 {
        end_endpoint(&mut quarantine, ms(endpoint * 6), endpoint, &["common"]);
    }
    assert!(!is_refused(&mut quarantine, ms(300), "common"));
}

// Connections are reset while endpoints keep serving, links are cut, endpoints freeze: no endpoint
// has ended.
#[test]
fn only_resets() {
    let mut quarantine = Quarantine::default();
    for endpoint in 0..9 {
        quarantine.run_lost(
            ms(endpoint * 500),
            lost_run(ms(endpoint * 500), "a", endpoint),
        );
    }
    quarantine.tick(ms(5000));
    assert!(!is_refused(&mut quarantine, ms(5000), "a"));
    assert!(quarantine.is_empty());
    // An end too late to be related to the lost runs.
    quarantine.tick(ms(20_000));
    quarantine.endpoint_ended(ms(20_000), 3);
    assert!(quarantine.is_empty());
}

// An end that is known only from the endpoint's entry, seconds later, counts at the time at which
// the run was lost.
#[test]
fn known_later() {
    let mut quarantine = Quarantine::default();
    for endpoint in 0..3 {
        quarantine.run_lost(
            ms(endpoint * 400),
            lost_run(ms(endpoint * 400), "bad", endpoint),
        );
    }
    for endpoint in 0..3 {
        quarantine.endpoint_ended(ms(2500 + endpoint), endpoint);
    }
    quarantine.tick(ms(2850));
    assert!(is_refused(&mut quarantine, ms(2850), "bad"));
    // Runs lost at an endpoint that is known to have ended count at once.
    quarantine.run_lost(ms(2700), lost_run(ms(2700), "other", 2));
    assert!(!quarantine.is_empty());
}

// Where endpoints keep ending for other reasons, three ends are weak evidence, and one more is
// required.
#[test]
fn ends_anyway() {
    let mut quarantine = Quarantine::default();
    for endpoint in 100..106 {
        end_endpoint(&mut quarantine, ms((endpoint - 100) * 250), endpoint, &[]);
    }
    for endpoint in 0..4 {
        end_endpoint(
            &mut quarantine,
            ms(1500 + endpoint * 250),
            endpoint,
            &["unlucky"],
        );
    }
    assert!(!is_refused(&mut quarantine, ms(2300), "unlucky"));
    end_endpoint(&mut quarantine, ms(2500), 9, &["unlucky"]);
    assert!(is_refused(&mut quarantine, ms(2500), "unlucky"));
}

// A resumable item that has made progress for seconds is not what ended its endpoint. If it ends
// the next one at once after resuming, that counts.
#[test]
fn progress_made() {
    let mut quarantine = Quarantine::default();
    let long = |at, endpoint| LostRun {
        ran: Duration::from_secs(3),
        progressed: true,
        ..lost_run(at, "item", endpoint)
    };
    for endpoint in 0..6 {
        let at = ms(endpoint * 4000);
        quarantine.run_lost(at, long(at, endpoint));
        quarantine.endpoint_ended(at, endpoint);
    }
    assert!(quarantine.is_empty());
}

// A request is retried at other VMs, each of which observes one end. Three ends in all quarantine
// it at every VM, in whichever order and however often they are reported.
#[test]
fn told_to_others() {
    let mut vms: Vec<Quarantine> = (0..3).map(|_| Quarantine::default()).collect();
    for (at, vm) in vms.iter_mut().enumerate() {
        end_endpoint(vm, ms(at as u64 * 500), at as u64, &["bad"]);
    }
    let (first, others) = vms.split_at_mut(1);
    for other in others.iter() {
        send_report(other, &mut first[0], ms(1100));
        send_report(other, &mut first[0], ms(1100));
    }
    assert!(!is_refused(&mut first[0], ms(1300), "bad"));
    first[0].tick(ms(1400));
    assert!(is_refused(&mut first[0], ms(1400), "bad"));
    let mut fresh = Quarantine::default();
    send_report(&first[0], &mut fresh, ms(1600));
    assert!(is_refused(&mut fresh, ms(1600), "bad"));
    // An answer at any VM clears it at every VM, even if others still report it as quarantined.
    fresh.answered(ms(2000), &identity("bad"), true);
    send_report(&fresh, &mut first[0], ms(2100));
    assert!(!is_refused(&mut first[0], ms(2100), "bad"));
    send_report(&others[0], &mut first[0], ms(2200));
    assert!(!is_refused(&mut first[0], ms(2200), "bad"));
}

// Most endpoints end within a second and none is left to answer the common request: its earlier
// answer counts.
#[test]
fn answered_before() {
    let mut quarantine = Quarantine::default();
    quarantine.answered(ms(0), &identity("common"), true);
    for endpoint in 0..9 {
        end_endpoint(
            &mut quarantine,
            ms(500 + endpoint * 300),
            endpoint,
            &["common", "bad"],
        );
    }
    assert!(is_refused(&mut quarantine, ms(4000), "bad"));
    assert!(!is_refused(&mut quarantine, ms(4000), "common"));
    // An answer does not count forever: the endpoints' software may be replaced by a version that
    // the request ends.
    for endpoint in 10..13 {
        end_endpoint(&mut quarantine, ms(endpoint * 3000), endpoint, &["common"]);
    }
    assert!(is_refused(&mut quarantine, ms(40_000), "common"));
}

// An innocent request that was quarantined is not refused for all ten minutes, and a bad one ends
// only one endpoint at each trial run: it runs once after 15 s, at one VM, and once more after 150
// s.
#[test]
fn tried_again() {
    let mut quarantine = holding();
    let bad = &identity("bad");
    assert!(quarantine.admit(ms(18_000), bad, |_| 0).is_err());
    assert!(quarantine.admit(ms(19_100), bad, |_| LATE_RANK).is_err());
    assert!(quarantine.admit(ms(19_100), bad, |_| 0).is_ok());
    assert!(quarantine.admit(ms(19_200), bad, |_| 0).is_err());
    end_endpoint(&mut quarantine, ms(19_300), 50, &["bad"]);
    assert!(quarantine.admit(ms(60_000), bad, |_| 0).is_err());
    assert!(quarantine.admit(ms(155_000), bad, |_| 0).is_ok());
    end_endpoint(&mut quarantine, ms(155_100), 51, &["bad"]);
    assert!(quarantine.admit(ms(400_000), bad, |_| 0).is_err());
    quarantine.tick(ms(155_100) + HOLD_TIME);
    assert!(quarantine
        .admit(ms(155_100) + HOLD_TIME, bad, |_| 0)
        .is_ok());
    assert!(quarantine.is_empty());
}

// Operators release a request, and every VM that receives the report releases it too.
#[test]
fn released() {
    let mut quarantine = holding();
    let mut other = Quarantine::default();
    send_report(&quarantine, &mut other, ms(4000));
    assert_eq!(quarantine.list(ms(5000))[0].held_for_ms, Some(1000));
    assert!(quarantine.release(ms(5000), fingerprint("bad")));
    assert!(!quarantine.release(ms(5000), fingerprint("bad")));
    assert!(quarantine.list(ms(5000)).is_empty());
    send_report(&quarantine, &mut other, ms(5100));
    assert!(!is_refused(&mut other, ms(5100), "bad"));
}

// VMs that report to each other must not keep a request alive forever: it expires a fixed time
// after its last end, whichever VM reports it.
#[test]
fn forgotten_everywhere() {
    let mut one = holding();
    let mut two = Quarantine::default();
    let last = ms(4000) + HOLD_TIME;
    for step in 1..20 {
        let now = ms(4000) + HOLD_TIME.mul_f64(f64::from(step) / 10.0);
        one.tick(now);
        two.tick(now);
        send_report(&one, &mut two, now);
        send_report(&two, &mut one, now);
        assert_eq!(one.is_empty(), now >= last);
        assert_eq!(two.is_empty(), now >= last);
    }
}

// Guards against a flood of reports: all VMs clear a common request at the same moment, and most
// requests at an end are never seen again. Only aggregators report to all VMs, only on a request
// with two ends; other VMs do not forward reports.
#[test]
fn concerns_all() {
    let mut aggregator = Quarantine::default();
    for endpoint in 0..2 {
        let mut vm = Quarantine::default();
        end_endpoint(&mut vm, ms(endpoint * 1000), endpoint, &["bad"]);
        assert_eq!(vm.take_unreported(), [fingerprint("bad")]);
        assert!(!vm.is_fleet_wide(fingerprint("bad")));
        assert!(!aggregator.is_fleet_wide(fingerprint("bad")));
        send_report(&vm, &mut aggregator, ms(1500));
    }
    assert!(aggregator.is_fleet_wide(fingerprint("bad")));
    let mut other = Quarantine::default();
    send_report(&aggregator, &mut other, ms(1600));
    assert!(other.is_fleet_wide(fingerprint("bad")));
    assert_eq!(other.take_unreported(), []);
    other.answered(ms(2500), &identity("bad"), true);
    assert_eq!(other.take_unreported(), [fingerprint("bad")]);
    // It stays fleet-wide, so that a later answer reaches every VM that has counted the ends.
    assert!(other.is_fleet_wide(fingerprint("bad")));
}

// Three endpoints end within half a second with a common request at each: it is quarantined only
// after all VMs had time to report an answer.
#[test]
fn time_to_speak() {
    let mut quarantine = Quarantine::default();
    for endpoint in 0..4 {
        end_endpoint(&mut quarantine, ms(endpoint * 210), endpoint, &["common"]);
    }
    assert!(is_refused(&mut quarantine, ms(640), "common"));
    let mut quarantine = Quarantine::default();
    for endpoint in 0..3 {
        end_endpoint(&mut quarantine, ms(endpoint * 210), endpoint, &["common"]);
    }
    assert!(!is_refused(&mut quarantine, ms(430), "common"));
    quarantine.answered(ms(500), &identity("common"), true);
    quarantine.tick(ms(520));
    assert!(!is_refused(&mut quarantine, ms(520), "common"));
}

// Memory is bounded for any number of ends and requests, and quarantined requests are evicted last.
#[test]
fn bounded() {
    let mut quarantine = holding();
    for endpoint in 100..1000 {
        let bodies: Vec<String> = (0..8).map(|slot| format!("{endpoint} {slot}")).collect();
        let bodies: Vec<&str> = bodies.iter().map(String::as_str).collect();
        end_endpoint(&mut quarantine, ms(4000 + endpoint), endpoint, &bodies);
    }
    assert!(quarantine.list(ms(6000)).len() <= 256);
    assert!(is_refused(&mut quarantine, ms(6000), "bad"));
}

// Reports give the same result in any order and any number.
#[test]
fn any_order() {
    quickcheck(told_in_any_order as fn(Vec<(u8, u8)>, Vec<usize>) -> TestResult);
}

// Regression: of two answers a moment apart only the one that was reported first counted, so that
// an end just after it counted or not by the order.
#[test]
fn answers_a_moment_apart() {
    let ends = vec![(1, 201), (2, 204), (3, 207), (0, 0), (5, 1)];
    assert!(!told_in_any_order(ends, vec![0]).is_failure());
}

fn told_in_any_order(ends: Vec<(u8, u8)>, order: Vec<usize>) -> TestResult {
    if order.is_empty() {
        return TestResult::discard();
    }
    let now = ms(60_000);
    let reports: Vec<QuarantineReport> = ends
        .iter()
        .take(8)
        .map(|(endpoint, at)| {
            let mut seen = Quarantine::default();
            let at = ms(u64::from(*at) * 100);
            end_endpoint(&mut seen, at, u64::from(*endpoint), &["bad"]);
            if endpoint % 5 == 0 {
                seen.answered(at, &identity("bad"), true);
            }
            seen.report(now, fingerprint("bad"), true).unwrap()
        })
        .collect();
    let mut in_order = Quarantine::default();
    let mut mixed = Quarantine::default();
    for report in &reports {
        in_order.apply_report(now, report, EvidenceSource::Peer);
    }
    for at in &order {
        if let Some(report) = reports.get(at % reports.len().max(1)) {
            mixed.apply_report(now, report, EvidenceSource::Peer);
        }
    }
    for report in reports.iter().rev() {
        mixed.apply_report(now, report, EvidenceSource::Peer);
    }
    in_order.tick(ms(61_000));
    mixed.tick(ms(61_000));
    let is_held = |quarantine: &Quarantine| quarantine.is_held(fingerprint("bad"));
    // If one endpoint has ends at two times, the first one reported is kept.
    let mut endpoints: Vec<u8> = ends.iter().take(8).map(|(endpoint, _)| *endpoint).collect();
    endpoints.sort_unstable();
    let all = endpoints.len();
    endpoints.dedup();
    match endpoints.len() == all {
        true => TestResult::from_bool(is_held(&in_order) == is_held(&mixed)),
        false => TestResult::discard(),
    }
}
