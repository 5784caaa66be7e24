//! Which requests are held back since endpoints ended under them, and which are not.

use std::time::Duration;

use bramleyseam::decide::quarantine::{
    EvidenceSource, Fingerprint, LostRun, Quarantine, QuarantineReport, QuarantineVerdict,
    RequestIdentity, ENDS_MIN, HOLD_TIME,
};
use bramleyseam::id::EndpointId;
use quickcheck::{quickcheck, TestResult};

fn ms(count: u64) -> Duration {
    HOLD_TIME + Duration::from_millis(count)
}

fn asked(body: &str) -> Fingerprint {
    by("", body)
}

fn by(caller: &str, body: &str) -> Fingerprint {
    Fingerprint::of(&RequestIdentity {
        caller: caller.as_bytes(),
        method: "POST",
        host: b"desk.example",
        target: "/query/a",
        body: body.as_bytes(),
    })
}

fn run(at: Duration, body: &str, endpoint: EndpointId) -> LostRun {
    LostRun {
        fingerprint: asked(body),
        label: "POST desk.example/query/a".into(),
        endpoint,
        at,
        ran: Duration::from_millis(100),
        progressed: false,
    }
}

/// An endpoint ends under these requests.
fn end(quarantine: &mut Quarantine, at: Duration, endpoint: EndpointId, bodies: &[&str]) {
    for body in bodies {
        quarantine.run_lost(at, run(at, body, endpoint));
    }
    quarantine.endpoint_ended(at, endpoint);
}

fn held(quarantine: &mut Quarantine, at: Duration, body: &str) -> bool {
    quarantine.admit(at, asked(body), false).is_err()
}

/// What one VM tells another one of a bad request.
fn tell(from: &Quarantine, to: &mut Quarantine, now: Duration) {
    if let Some(told) = from.report(now, asked("bad"), true) {
        to.apply_report(now, &told, EvidenceSource::Peer);
    }
}

/// A quarantine that holds a bad request back since 4 s.
fn holding() -> Quarantine {
    let mut quarantine = Quarantine::default();
    for endpoint in 0..ENDS_MIN as u64 {
        end(
            &mut quarantine,
            ms(2000 + endpoint * 1000),
            endpoint,
            &["bad"],
        );
    }
    quarantine
}

// Callers are cut off as long as one of them goes on. Its request ends three endpoints and is held back from then on, by
// its fingerprint alone; what only stood beside it is not.
#[test]
fn third_end() {
    let mut quarantine = Quarantine::default();
    end(&mut quarantine, ms(0), 1, &["bad", "a", "b"]);
    end(&mut quarantine, ms(400), 2, &["bad", "c"]);
    quarantine.tick(ms(1400));
    assert!(!held(&mut quarantine, ms(1400), "bad"));
    end(&mut quarantine, ms(1500), 3, &["a", "bad", "d"]);
    assert!(held(&mut quarantine, ms(1500), "bad"));
    quarantine.tick(ms(2500));
    for innocent in ["a", "b", "c", "d"] {
        assert!(!held(&mut quarantine, ms(2500), innocent), "{innocent}");
    }
    let changes = quarantine.take_changes();
    let held = changes
        .iter()
        .filter(|c| c.verdict == QuarantineVerdict::Held);
    let held: Vec<Fingerprint> = held.map(|change| change.fingerprint).collect();
    assert_eq!(held, [asked("bad")]);
}

// One caller must not have another one's request refused by sending the same.
#[test]
fn two_callers() {
    assert_ne!(by("one", "bad"), by("two", "bad"));
    assert_ne!(by("ab", "c"), by("a", "bc"));
    let text = asked("bad").to_string();
    assert_eq!(text.parse(), Ok(asked("bad")));
    assert!("zz".parse::<Fingerprint>().is_err());
}

// The question that everybody asks is under way at every end. It is answered whole in between, which no request is that ends its
// endpoints, so nothing is held against it.
#[test]
fn common_question() {
    let mut quarantine = Quarantine::default();
    for endpoint in 0..20 {
        let at = ms(endpoint * 600);
        end(&mut quarantine, at, endpoint, &["common", "bad"]);
        quarantine.request_answered(at + Duration::from_millis(50), asked("common"), true);
        assert!(!held(&mut quarantine, at, "common"));
    }
    assert!(held(&mut quarantine, ms(12_000), "bad"));
}

// A failure domain without power, or a rack: all its endpoints end at one moment, and the common question was under way at each.
#[test]
fn at_one_moment() {
    let mut quarantine = Quarantine::default();
    for endpoint in 0..30 {
        end(&mut quarantine, ms(endpoint * 6), endpoint, &["common"]);
    }
    assert!(!held(&mut quarantine, ms(300), "common"));
}

// Connections are reset while endpoints serve on, links are cut, endpoints freeze: no endpoint has ended.
#[test]
fn only_resets() {
    let mut quarantine = Quarantine::default();
    for endpoint in 0..9 {
        quarantine.run_lost(ms(endpoint * 500), run(ms(endpoint * 500), "a", endpoint));
    }
    quarantine.tick(ms(5000));
    assert!(!held(&mut quarantine, ms(5000), "a"));
    assert!(quarantine.is_empty());
    // What comes too late to have anything to do with it.
    quarantine.tick(ms(20_000));
    quarantine.endpoint_ended(ms(20_000), 3);
    assert!(quarantine.is_empty());
}

// An endpoint's end is known by its entry alone, seconds later: the run counts when it was lost.
#[test]
fn known_later() {
    let mut quarantine = Quarantine::default();
    for endpoint in 0..3 {
        quarantine.run_lost(ms(endpoint * 400), run(ms(endpoint * 400), "bad", endpoint));
    }
    for endpoint in 0..3 {
        quarantine.endpoint_ended(ms(2500 + endpoint), endpoint);
    }
    quarantine.tick(ms(2850));
    assert!(held(&mut quarantine, ms(2850), "bad"));
    // Of one that has ended by then nothing more needs to be known.
    quarantine.run_lost(ms(2700), run(ms(2700), "other", 2));
    assert!(!quarantine.is_empty());
}

// Endpoints end by themselves all the time. A request that was at three ends says less there, and one more end each is asked for.
#[test]
fn ends_anyway() {
    let mut quarantine = Quarantine::default();
    for endpoint in 100..106 {
        end(&mut quarantine, ms((endpoint - 100) * 250), endpoint, &[]);
    }
    for endpoint in 0..4 {
        end(
            &mut quarantine,
            ms(1500 + endpoint * 250),
            endpoint,
            &["unlucky"],
        );
    }
    assert!(!held(&mut quarantine, ms(2300), "unlucky"));
    end(&mut quarantine, ms(2500), 9, &["unlucky"]);
    assert!(held(&mut quarantine, ms(2500), "unlucky"));
}

// An item that has run for seconds and goes on after its last event is not what ended its endpoint; where it ends the next one at
// once, it is.
#[test]
fn progress_made() {
    let mut quarantine = Quarantine::default();
    let long = |at, endpoint| LostRun {
        ran: Duration::from_secs(3),
        progressed: true,
        ..run(at, "item", endpoint)
    };
    for endpoint in 0..6 {
        let at = ms(endpoint * 4000);
        quarantine.run_lost(at, long(at, endpoint));
        quarantine.endpoint_ended(at, endpoint);
    }
    assert!(quarantine.is_empty());
}

// A request goes on at other VMs, each of which has seen one end. They tell each other; three ends in all hold it back
// everywhere, in whichever order and however often that is told.
#[test]
fn told_to_others() {
    let mut vms: Vec<Quarantine> = (0..3).map(|_| Quarantine::default()).collect();
    for (at, vm) in vms.iter_mut().enumerate() {
        end(vm, ms(at as u64 * 500), at as u64, &["bad"]);
    }
    let (first, others) = vms.split_at_mut(1);
    for other in others.iter() {
        tell(other, &mut first[0], ms(1100));
        tell(other, &mut first[0], ms(1100));
    }
    assert!(!held(&mut first[0], ms(1300), "bad"));
    first[0].tick(ms(1400));
    assert!(held(&mut first[0], ms(1400), "bad"));
    let mut fresh = Quarantine::default();
    tell(&first[0], &mut fresh, ms(1600));
    assert!(held(&mut fresh, ms(1600), "bad"));
    // An answer at any VM clears it everywhere, also where others still say that it is held back.
    fresh.request_answered(ms(2000), asked("bad"), true);
    tell(&fresh, &mut first[0], ms(2100));
    assert!(!held(&mut first[0], ms(2100), "bad"));
    tell(&others[0], &mut first[0], ms(2200));
    assert!(!held(&mut first[0], ms(2200), "bad"));
}

// Most endpoints end within a second and nobody is left to answer the common question: it was answered before.
#[test]
fn answered_before() {
    let mut quarantine = Quarantine::default();
    quarantine.request_answered(ms(0), asked("common"), true);
    for endpoint in 0..9 {
        end(
            &mut quarantine,
            ms(500 + endpoint * 300),
            endpoint,
            &["common", "bad"],
        );
    }
    assert!(held(&mut quarantine, ms(4000), "bad"));
    assert!(!held(&mut quarantine, ms(4000), "common"));
    // Not for ever: the endpoints' software may have been replaced by one that it ends.
    for endpoint in 10..13 {
        end(&mut quarantine, ms(endpoint * 3000), endpoint, &["common"]);
    }
    assert!(held(&mut quarantine, ms(40_000), "common"));
}

// An innocent request that was held back is not lost for ten minutes, and a bad one ends one endpoint at each trial: it runs once
// after 15 s, at one VM, and once more after 150 s.
#[test]
fn tried_again() {
    let mut quarantine = holding();
    let bad = asked("bad");
    assert!(quarantine.admit(ms(18_000), bad, true).is_err());
    assert!(quarantine.admit(ms(19_100), bad, false).is_err());
    assert!(quarantine.admit(ms(19_100), bad, true).is_ok());
    assert!(quarantine.admit(ms(19_200), bad, true).is_err());
    end(&mut quarantine, ms(19_300), 50, &["bad"]);
    assert!(quarantine.admit(ms(60_000), bad, true).is_err());
    assert!(quarantine.admit(ms(155_000), bad, true).is_ok());
    end(&mut quarantine, ms(155_100), 51, &["bad"]);
    assert!(quarantine.admit(ms(400_000), bad, true).is_err());
    quarantine.tick(ms(155_100) + HOLD_TIME);
    assert!(quarantine.admit(ms(155_100) + HOLD_TIME, bad, true).is_ok());
    assert!(quarantine.is_empty());
}

// Operators let a request run again, and every VM that is told does too.
#[test]
fn released() {
    let mut quarantine = holding();
    let mut other = Quarantine::default();
    tell(&quarantine, &mut other, ms(4000));
    assert_eq!(quarantine.list(ms(5000))[0].held_for_ms, Some(1000));
    assert!(quarantine.release(ms(5000), asked("bad")));
    assert!(!quarantine.release(ms(5000), asked("bad")));
    assert!(quarantine.list(ms(5000)).is_empty());
    tell(&quarantine, &mut other, ms(5100));
    assert!(!held(&mut other, ms(5100), "bad"));
}

// VMs that tell each other must not keep anything alive for ever: it is forgotten so long after its last end, whoever tells of it.
#[test]
fn forgotten_everywhere() {
    let mut one = holding();
    let mut two = Quarantine::default();
    let last = ms(4000) + HOLD_TIME;
    for step in 1..20 {
        let now = ms(4000) + HOLD_TIME.mul_f64(f64::from(step) / 10.0);
        one.tick(now);
        two.tick(now);
        tell(&one, &mut two, now);
        tell(&two, &mut one, now);
        assert_eq!(one.is_empty(), now >= last);
        assert_eq!(two.is_empty(), now >= last);
    }
}

// What all ask is cleared by everybody in the same moment, and most requests at an end are never heard of again: whoever adds up
// tells all, and only of a request with two ends; nobody else tells on what it was told.
#[test]
fn concerns_all() {
    let mut home = Quarantine::default();
    for endpoint in 0..2 {
        let mut vm = Quarantine::default();
        end(&mut vm, ms(endpoint * 1000), endpoint, &["bad"]);
        assert_eq!(vm.take_unreported(), [asked("bad")]);
        assert!(!vm.is_fleet_wide(asked("bad")));
        assert!(!home.is_fleet_wide(asked("bad")));
        tell(&vm, &mut home, ms(1500));
    }
    assert!(home.is_fleet_wide(asked("bad")));
    let mut other = Quarantine::default();
    tell(&home, &mut other, ms(1600));
    assert!(other.is_fleet_wide(asked("bad")));
    assert_eq!(other.take_unreported(), []);
    other.request_answered(ms(2500), asked("bad"), true);
    assert_eq!(other.take_unreported(), [asked("bad")]);
    // It goes on being told to all, so that what spoke for it is known wherever the ends are.
    assert!(other.is_fleet_wide(asked("bad")));
}

// Three endpoints end within half a second, the common question at each: it is held back only when all VMs had time to speak for it.
#[test]
fn time_to_speak() {
    let mut quarantine = Quarantine::default();
    for endpoint in 0..4 {
        end(&mut quarantine, ms(endpoint * 210), endpoint, &["common"]);
    }
    assert!(held(&mut quarantine, ms(640), "common"));
    let mut quarantine = Quarantine::default();
    for endpoint in 0..3 {
        end(&mut quarantine, ms(endpoint * 210), endpoint, &["common"]);
    }
    assert!(!held(&mut quarantine, ms(430), "common"));
    quarantine.request_answered(ms(500), asked("common"), true);
    quarantine.tick(ms(520));
    assert!(!held(&mut quarantine, ms(520), "common"));
}

// Memory is bounded whatever ends under whatever, and what is held back is dropped last.
#[test]
fn bounded() {
    let mut quarantine = holding();
    for endpoint in 100..1000 {
        let bodies: Vec<String> = (0..8).map(|slot| format!("{endpoint} {slot}")).collect();
        let bodies: Vec<&str> = bodies.iter().map(String::as_str).collect();
        end(&mut quarantine, ms(4000 + endpoint), endpoint, &bodies);
    }
    assert!(quarantine.list(ms(6000)).len() <= 256);
    assert!(held(&mut quarantine, ms(6000), "bad"));
}

// What was told in any order, any number of times, comes to the same.
#[test]
fn any_order() {
    quickcheck(told_in_any_order as fn(Vec<(u8, u8)>, Vec<usize>) -> TestResult);
}

// Two answers a moment apart: only the one that was heard of first counted, and an end just after it did or did not.
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
    let told: Vec<QuarantineReport> = ends
        .iter()
        .take(8)
        .map(|(endpoint, at)| {
            let mut seen = Quarantine::default();
            let at = ms(u64::from(*at) * 100);
            end(&mut seen, at, u64::from(*endpoint), &["bad"]);
            if endpoint % 5 == 0 {
                seen.request_answered(at, asked("bad"), true);
            }
            seen.report(now, asked("bad"), true).unwrap()
        })
        .collect();
    let mut in_order = Quarantine::default();
    let mut mixed = Quarantine::default();
    for one in &told {
        in_order.apply_report(now, one, EvidenceSource::Peer);
    }
    for at in &order {
        if let Some(one) = told.get(at % told.len().max(1)) {
            mixed.apply_report(now, one, EvidenceSource::Peer);
        }
    }
    for one in told.iter().rev() {
        mixed.apply_report(now, one, EvidenceSource::Peer);
    }
    in_order.tick(ms(61_000));
    mixed.tick(ms(61_000));
    let holds = |quarantine: &Quarantine| quarantine.is_held(asked("bad"));
    // The end of one endpoint at two times is kept as it was first told.
    let mut named: Vec<u8> = ends.iter().take(8).map(|(endpoint, _)| *endpoint).collect();
    named.sort_unstable();
    let all = named.len();
    named.dedup();
    match named.len() == all {
        true => TestResult::from_bool(holds(&in_order) == holds(&mixed)),
        false => TestResult::discard(),
    }
}
