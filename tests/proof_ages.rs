//! Confirmation ages, from local store calls and from peers' reports.

use std::time::Duration;

use bramleyseam::decide::freshness::{ConfirmationAges, Freshness, StoreSubject, VersionsMatch};

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

const ALL_MATCH: VersionsMatch = VersionsMatch {
    rules: true,
    endpoints: true,
};

fn rules_age(rules_ms: u32) -> ConfirmationAges {
    ConfirmationAges {
        rules_ms: Some(rules_ms),
        endpoints_ms: None,
    }
}

// Guards against 250 VMs that each read all jobs from the store while callers' jobs wait. After a
// long outage the store answers again, but the watching VM has not read everything anew yet: it
// must not send the others to the store. A watching VM that has been answered for long without a
// confirmation does. In the logs of a day with an outage, 29 of 57 VMs of one failure domain were
// sent away in the second after it, and read all records.
#[test]
fn behind_after_outage() {
    let mut freshness = Freshness::default();
    assert!(!freshness.is_live_stale(secs(10), None));
    freshness.confirm(StoreSubject::Live, secs(10));
    assert!(!freshness.is_live_stale(secs(11), None));
    assert!(!freshness.is_live_stale(secs(18), Some(Duration::from_millis(100))));
    assert!(!freshness.is_live_stale(secs(18), Some(secs(2))));
    assert!(freshness.is_live_stale(secs(18), Some(secs(5))));
    assert!(freshness.is_live_stale(secs(18), None));
}

// Guards against a VM that takes a newer peer's confirmation for one of its own older rules, and
// refuses a route that was added.
#[test]
fn proof_of_more() {
    let mut freshness = Freshness::default();
    let behind = VersionsMatch {
        rules: false,
        endpoints: true,
    };
    freshness.confirm_by_peer(secs(10), rules_age(100), behind);
    assert!(!freshness.are_rules_fresh(secs(10)));
    freshness.confirm_by_peer(secs(10), rules_age(100), ALL_MATCH);
    assert!(freshness.are_rules_fresh(secs(10)));
    assert!(!freshness.are_rules_fresh(secs(12)));
}

// A confirmation from a peer is not forwarded: it would seem younger with each hop.
#[test]
fn not_told_on() {
    let mut freshness = Freshness::default();
    freshness.confirm_by_peer(secs(10), rules_age(100), ALL_MATCH);
    assert_eq!(
        freshness.own_confirmation_ages(secs(10)),
        ConfirmationAges::default()
    );
    freshness.confirm(StoreSubject::Rules, secs(9));
    assert_eq!(freshness.own_confirmation_ages(secs(10)), rules_age(1000));
}
