//! Which endpoints a VM uses, from their entries in the metadata store.

use std::time::Duration;

use bramleyseam::decide::discovery::{
    Discovery, KnownEntry, Registration, CUT_OFF_AFTER, OUTAGE_MIN, RETURN_GRACE,
};
use bramleyseam::decide::subset::SubsetOwner;
use bramleyseam::id;
use quickcheck::quickcheck;

const OWNER: SubsetOwner = SubsetOwner {
    vm: 1,
    domain: 1,
    domain_vms: 1,
};

/// One VM asks another one for all endpoints.
fn tell(now: Duration, from: &Discovery, to: &mut Discovery) {
    let query = to.query(OWNER, true);
    let news = from.answer(now, &query).unwrap();
    to.apply_news(now, news, |_| false);
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn entry(name: &str, draining: bool) -> Registration {
    Registration {
        name: name.into(),
        incarnation: None,
        address: "127.0.0.1:1".into(),
        service: 1,
        domain: 1,
        slots: 8,
        draining,
        software: "v1".into(),
    }
}

fn usable(discovery: &Discovery) -> Vec<u64> {
    let rows = discovery.endpoint_configs().into_iter();
    rows.filter(|(.., draining)| !draining)
        .map(|(id, ..)| id)
        .collect()
}

/// Three endpoints, read at revision 10.
fn three_endpoints() -> Discovery {
    let mut discovery = Discovery::default();
    let names = ["a", "b", "c"];
    let entries = names.map(|name| KnownEntry {
        id: id::of(name),
        entry: entry(name, false),
        revision: 5,
        lapsing: None,
    });
    discovery.apply_snapshot(ms(0), entries, 10);
    discovery
}

#[test]
fn removed_at_once() {
    let mut discovery = three_endpoints();
    assert!(discovery.apply_removal(ms(100), id::of("a"), 11));
    assert_eq!(usable(&discovery).len(), 2);
}

// The store is unavailable for seconds, the engines' leases expire, and its first answers report
// their removal. If they were removed, callers would get 503 from every VM although all engines
// serve. They are kept for the time in which living engines register again; the others are dropped
// then.
#[test]
fn lapsed_in_outage() {
    let mut discovery = three_endpoints();
    discovery.store_failed(ms(5_000), ms(5_000) - OUTAGE_MIN, false);
    for name in ["a", "b", "c"] {
        assert!(!discovery.apply_removal(ms(5_200), id::of(name), 20));
    }
    assert_eq!(usable(&discovery).len(), 3);
    discovery.apply_entry(ms(5_250), id::of("a"), entry("a", false), 21);
    assert!(!discovery.tick(ms(5_300)));
    assert!(discovery.tick(ms(5_200) + RETURN_GRACE));
    assert_eq!(usable(&discovery), [id::of("a")]);
}

// An engine leaves while this VM's watch is broken for an instant, one call fails and the store is
// up: it must get no more requests. Calls that fail for as long as entries need to lapse are an
// outage.
#[test]
fn one_failed_call() {
    let mut discovery = three_endpoints();
    discovery.store_failed(ms(5_000), ms(5_000), false);
    assert!(discovery.apply_removal(ms(5_200), id::of("a"), 20));
    // Each failure is followed by an answer: the store is not unavailable.
    discovery.store_answered(ms(5_300));
    discovery.store_failed(ms(5_000) + OUTAGE_MIN, ms(4_900), false);
    assert!(discovery.apply_removal(ms(5_100) + OUTAGE_MIN, id::of("b"), 21));
    // Calls fail one after the other, and none is answered.
    discovery.store_failed(ms(5_300) + OUTAGE_MIN, ms(5_300) + OUTAGE_MIN, false);
    assert!(!discovery.apply_removal(ms(5_400) + OUTAGE_MIN, id::of("c"), 22));
}

// An engine leaves 0.8 s after the store's return and is treated as lapsed in the outage. The grace
// time counts from the return, when living engines register again, so that no requests go there for
// longer.
#[test]
fn grace_from_return() {
    let mut discovery = three_endpoints();
    discovery.store_failed(ms(5_000), ms(5_000) - OUTAGE_MIN, false);
    discovery.store_answered(ms(5_100));
    assert!(!discovery.apply_removal(ms(5_900), id::of("b"), 20));
    assert!(discovery.tick(ms(5_100) + RETURN_GRACE));
    assert!(!usable(&discovery).contains(&id::of("b")));
}

// This VM is cut off while the store serves the others: an entry that is gone when it is back means
// that its endpoint has left. Until it is known whether the others are served, failed calls count
// as an outage.
#[test]
fn cut_off_alone() {
    for (others_served, failing, kept) in [
        (true, CUT_OFF_AFTER, false),
        (true, CUT_OFF_AFTER - ms(1), true),
        (false, CUT_OFF_AFTER, true),
    ] {
        let mut discovery = three_endpoints();
        discovery.store_failed(ms(5_000), ms(5_000) - OUTAGE_MIN, false);
        let since = ms(5_000) - OUTAGE_MIN;
        discovery.store_failed(since + failing, since + failing, others_served);
        let removed = discovery.apply_removal(since + failing + ms(200), id::of("b"), 20);
        assert_eq!(removed, !kept);
    }
}

// The store was unavailable and is back; two seconds later an engine leaves by removing its entry,
// without ever reporting that it drains. If that counted as a lapse of the outage, the engine would
// get requests for more than two seconds after it left.
#[test]
fn leaves_after_outage() {
    let mut discovery = three_endpoints();
    discovery.store_failed(ms(5_000), ms(5_000) - OUTAGE_MIN, false);
    assert!(discovery.apply_removal(ms(7_100), id::of("b"), 30));
    assert!(!usable(&discovery).contains(&id::of("b")));
}

// A VM reads the entries again after it has received by another path that an engine drains. The
// outdated read must not send requests there again.
#[test]
fn drain_is_final() {
    let mut discovery = three_endpoints();
    discovery.apply_entry(ms(5_250), id::of("c"), entry("c", true), 40);
    discovery.apply_entry(ms(5_250), id::of("c"), entry("c", false), 39);
    discovery.apply_entry(ms(5_250), id::of("c"), entry("c", false), 41);
    assert!(!usable(&discovery).contains(&id::of("c")));
}

// The store refuses one VM, which counts as an outage there: that VM keeps an engine, whose entry
// is gone, as merely lapsed and reports it to the others. They have dropped it and must not use it
// again, or items would reach an engine that announced more than two seconds ago that it leaves.
#[test]
fn lapse_not_revived() {
    let (mut cut_off, mut other) = (three_endpoints(), three_endpoints());
    other.apply_removal(ms(5_000), id::of("b"), 12);
    cut_off.store_failed(ms(5_100), ms(5_100) - OUTAGE_MIN, false);
    let query = Discovery::default().query(OWNER, true);
    let snapshot = other.answer(ms(5_100), &query).unwrap().entries;
    cut_off.apply_snapshot(ms(5_100), snapshot, 13);
    tell(ms(5_200), &cut_off, &mut other);
    assert!(!usable(&other).contains(&id::of("b")));
}

// The same VM receives the removal from a VM that the store serves. Nothing has lapsed: it stops
// sending there at once instead of waiting for the end of its own outage.
#[test]
fn peer_tells_removal() {
    let (mut cut_off, mut other) = (three_endpoints(), three_endpoints());
    other.apply_removal(ms(5_000), id::of("b"), 12);
    cut_off.store_failed(ms(5_100), ms(5_100) - OUTAGE_MIN, false);
    tell(ms(5_200), &other, &mut cut_off);
    assert!(!usable(&cut_off).contains(&id::of("b")));
}

// An engine drains and its entry is removed; a late write of its own restores the entry as if it
// served. The engine is about to end, so it must get no more requests.
#[test]
fn drained_stays_away() {
    let mut discovery = three_endpoints();
    discovery.apply_entry(ms(5_250), id::of("c"), entry("c", true), 40);
    discovery.apply_removal(ms(5_000), id::of("c"), 41);
    discovery.apply_entry(ms(5_250), id::of("c"), entry("c", false), 42);
    assert!(!usable(&discovery).contains(&id::of("c")));
}

// A VM is cut off from a store that has just come back. The VM that it gets the entries from keeps
// lapsed ones for a while, and so must this one, or its callers would find no engine.
#[test]
fn peer_tells_lapse() {
    let (mut cut_off, mut other) = (three_endpoints(), three_endpoints());
    other.store_failed(ms(5_000), ms(5_000) - OUTAGE_MIN, false);
    other.apply_removal(ms(5_200), id::of("b"), 12);
    tell(ms(5_300), &other, &mut cut_off);
    assert!(usable(&cut_off).contains(&id::of("b")));
    assert!(cut_off.tick(ms(5_200) + RETURN_GRACE));
    assert!(!usable(&cut_off).contains(&id::of("b")));
}

#[test]
fn unknown_until_read() {
    let mut discovery = Discovery::default();
    assert!(!discovery.is_loaded());
    discovery.apply_snapshot(ms(0), [], 3);
    assert!(discovery.is_loaded());
}

quickcheck! {
    // Whatever the order in which writes and removals arrive, an engine is used exactly if its
    // newest update is a plain entry and not a removal, as long as there is no outage.
    fn newest_counts(updates: Vec<(bool, u8)>) -> bool {
        let mut discovery = Discovery::default();
        let id = id::of("x");
        let mut newest: Option<(u64, bool)> = None;
        for (at, (written, revision)) in updates.into_iter().enumerate() {
            // Revisions are unique; order of arrival breaks ties.
            let revision = u64::from(revision) * 1000 + at as u64 + 1;
            let now = ms(at as u64 * 10);
            match written {
                true => drop(discovery.apply_entry(now, id, entry("x", false), revision)),
                false => drop(discovery.apply_removal(now, id, revision)),
            }
            if newest.is_none_or(|(known, _)| revision > known) {
                newest = Some((revision, written));
            }
        }
        let used = usable(&discovery).contains(&id);
        // A removal before the first entry has no effect.
        newest.is_none_or(|(_, written)| !written || used) && (!used || newest.is_some_and(|(_, written)| written))
    }
}
