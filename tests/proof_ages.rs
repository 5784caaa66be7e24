//! How old the store's word is, by own calls and by what other VMs tell.

use std::time::Duration;

use bramleyseam::decide::freshness::{ConfirmationAges, Freshness, StoreSubject, VersionsMatch};

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

const ALL: VersionsMatch = VersionsMatch {
    rules: true,
    endpoints: true,
};

fn told(rules_ms: u32) -> ConfirmationAges {
    ConfirmationAges {
        rules_ms: Some(rules_ms),
        endpoints_ms: None,
    }
}

// Callers' jobs wait while the store is asked for all of them by each of 250 VMs. The store was away for long, its calls
// are answered again, and the VM that watches for the others has not read all anew yet; it must not send them to the
// store. One that has been answered for long and heard nothing does. Proved by the logs of a day with an outage: 29 of 57 VMs
// of one failure domain were sent away in the second after it, and read all records.
#[test]
fn behind_after_outage() {
    let mut proofs = Freshness::default();
    assert!(!proofs.is_live_stale(secs(10), None));
    proofs.confirm(StoreSubject::Live, secs(10));
    assert!(!proofs.is_live_stale(secs(11), None));
    assert!(!proofs.is_live_stale(secs(18), Some(Duration::from_millis(100))));
    assert!(!proofs.is_live_stale(secs(18), Some(secs(2))));
    assert!(proofs.is_live_stale(secs(18), Some(secs(5))));
    assert!(proofs.is_live_stale(secs(18), None));
}

// A VM that is behind takes the word of one that knows more as proof of what it knows itself, and refuses a route that
// was added.
#[test]
fn proof_of_more() {
    let mut proofs = Freshness::default();
    let behind = VersionsMatch {
        rules: false,
        endpoints: true,
    };
    proofs.confirm_by_peer(secs(10), told(100), behind);
    assert!(!proofs.are_rules_fresh(secs(10)));
    proofs.confirm_by_peer(secs(10), told(100), ALL);
    assert!(proofs.are_rules_fresh(secs(10)));
    assert!(!proofs.are_rules_fresh(secs(12)));
}

// What others told is not told on: the word would seem younger with each way it takes.
#[test]
fn not_told_on() {
    let mut proofs = Freshness::default();
    proofs.confirm_by_peer(secs(10), told(100), ALL);
    assert_eq!(
        proofs.own_confirmation_ages(secs(10)),
        ConfirmationAges::default()
    );
    proofs.confirm(StoreSubject::Rules, secs(9));
    assert_eq!(proofs.own_confirmation_ages(secs(10)), told(1000));
}
