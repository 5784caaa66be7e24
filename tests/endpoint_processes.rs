//! An endpoint restarts under the same name: its processes are told apart by their start times.

use std::time::Duration;

use bramleyseam::decide::discovery::{
    Discovery, EndpointNews, KnownEntry, Registration, OUTAGE_MIN, RETURN_GRACE,
};
use bramleyseam::decide::endpoints::Endpoints;
use bramleyseam::decide::subset::SubsetOwner;
use bramleyseam::id::{self, Incarnation, Revision};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const NAME: &str = "engine";
/// Start of the first process, in Unix milliseconds.
const START_MS: Incarnation = 1_790_000_000_000;

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

fn entry(incarnation: Option<Incarnation>, draining: bool) -> Registration {
    Registration {
        name: NAME.into(),
        incarnation,
        address: "127.0.0.1:1".into(),
        service: 1,
        domain: 1,
        slots: 8,
        draining,
        software: "v1".into(),
    }
}

fn write(
    discovery: &mut Discovery,
    incarnation: Option<Incarnation>,
    draining: bool,
    at: Revision,
) -> bool {
    discovery.apply_entry(ms(at), id::of(NAME), entry(incarnation, draining), at)
}

fn used_endpoints(discovery: &Discovery) -> Vec<u64> {
    let rows = discovery.endpoint_configs().into_iter();
    let rows = rows.filter(|(.., draining)| !draining);
    rows.map(|(id, ..)| id).collect()
}

fn process(start: Incarnation) -> u64 {
    id::of_process(NAME, Some(start))
}

// An engine restarts and drains while requests still run at it, and then a delayed entry of its
// previous process arrives. Neither that entry nor a later one of the previous process is used.
#[test]
fn late_word() {
    let mut discovery = Discovery::default();
    write(&mut discovery, Some(START_MS), false, 1);
    write(&mut discovery, Some(START_MS + 1), true, 2);
    assert!(!write(&mut discovery, Some(START_MS), false, 3));
    assert!(used_endpoints(&discovery).is_empty());
    discovery.apply_removal(ms(4), id::of(NAME), 4);
    write(&mut discovery, Some(START_MS), false, 5);
    assert!(used_endpoints(&discovery).is_empty());
}

// The engine's clock was set back while it was down, so its new process has the earlier start time.
// The store's revisions show which process is newer.
#[test]
fn clock_back() {
    let mut discovery = Discovery::default();
    write(&mut discovery, Some(START_MS), true, 1);
    assert!(write(&mut discovery, Some(START_MS - 2000), false, 2));
    assert_eq!(used_endpoints(&discovery), [process(START_MS - 2000)]);
}

// Another writer's entry gives an engine a start time that it never had. The engine's own next
// entry is used again.
#[test]
fn start_of_another_writer() {
    let mut discovery = Discovery::default();
    write(&mut discovery, Some(START_MS), false, 1);
    write(&mut discovery, Some(5), false, 2);
    write(&mut discovery, Some(START_MS), false, 3);
    assert_eq!(used_endpoints(&discovery), [process(START_MS)]);
}

// An engine whose entries carry start times drains; then an entry without a start time says that it
// is ready. The engine did not write that entry, so no endpoint is used.
#[test]
fn start_left_out() {
    let mut discovery = Discovery::default();
    write(&mut discovery, Some(START_MS), true, 1);
    write(&mut discovery, None, false, 2);
    assert!(used_endpoints(&discovery).is_empty());
    write(&mut discovery, Some(START_MS), false, 3);
    assert!(used_endpoints(&discovery).is_empty());
}

// A VM that has just reconnected to the store gets a delayed snapshot with an engine that has ended
// since. A newer snapshot from another VM did not list the engine.
#[test]
fn stale_reading() {
    let mut discovery = Discovery::default();
    let empty = EndpointNews {
        at: 9,
        complete: true,
        listed: Vec::new(),
        outside: Vec::new(),
        entries: Vec::new(),
    };
    discovery.apply_news(ms(0), empty, |_| false);
    let known = KnownEntry {
        id: id::of(NAME),
        entry: entry(Some(START_MS), false),
        revision: 5,
        lapsing: None,
    };
    discovery.apply_snapshot(ms(1), [known], 7);
    assert!(used_endpoints(&discovery).is_empty());
}

// The other VM keeps, as lapsed, the entry of a process that this VM has no entry of yet. This VM
// uses the previous process, which has ended.
#[test]
fn lapse_of_next() {
    let (mut behind, mut ahead) = (Discovery::default(), Discovery::default());
    for discovery in [&mut behind, &mut ahead] {
        discovery.apply_snapshot(ms(0), [], 0);
        write(discovery, Some(START_MS), false, 1);
    }
    write(&mut ahead, Some(START_MS + 1), false, 2);
    ahead.store_failed(ms(1_000), ms(1_000) - OUTAGE_MIN, false);
    ahead.apply_removal(ms(1_100), id::of(NAME), 3);
    tell(ms(1_200), &ahead, &mut behind);
    assert!(used_endpoints(&behind).is_empty());
}

// A process does not inherit its predecessor's requests in flight, failures or ejection.
#[test]
fn counts_anew() {
    let mut endpoints = Endpoints::default();
    let configure = |endpoints: &mut Endpoints, start| {
        let entry = entry(Some(start), false);
        endpoints.configure([(entry.endpoint(), entry.endpoint_config())]);
    };
    configure(&mut endpoints, START_MS);
    endpoints.rows[0].online_here = 8;
    endpoints.rows[0].eject(ms(10));
    configure(&mut endpoints, START_MS + 1);
    assert_eq!(endpoints.rows[0].online_here, 0);
    assert!(endpoints.rows[0].usable(ms(11)));
}

/// A change of the entry, in the order of the store's revisions, or an event of its delivery to a
/// VM.
#[derive(Debug, Clone, Copy)]
enum Step {
    Starts,
    Drains,
    Ends,
    /// The engine writes its entry again, as it does when it finds another writer's entry in its
    /// place.
    Rewrites,
    /// Another writer stores an unusable entry.
    Spoils,
    /// The VM receives no changes from now on.
    Disconnects,
    /// An earlier change arrives again.
    Redelivers(u8),
    /// The VM reads all entries.
    ReadsAll,
    /// The VM gets a snapshot from another VM, which has received every change.
    PeerSnapshot,
    /// A call to the store fails.
    StoreFails,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let again = Step::Redelivers(u8::arbitrary(g));
        let steps = [
            Step::Starts,
            Step::Starts,
            Step::Drains,
            Step::Ends,
            Step::Rewrites,
            Step::Spoils,
            Step::Disconnects,
            again,
            again,
            Step::ReadsAll,
            Step::PeerSnapshot,
            Step::StoreFails,
        ];
        *g.choose(&steps).unwrap_or(&Step::Starts)
    }
}

/// One change of the entry in the store.
#[derive(Debug, Clone)]
enum StoreChange {
    Entry(Registration),
    Removed,
    Unusable,
}

fn deliver(discovery: &mut Discovery, now: Duration, change: &StoreChange, revision: Revision) {
    let id = id::of(NAME);
    match change {
        StoreChange::Entry(entry) => discovery.apply_entry(now, id, entry.clone(), revision),
        StoreChange::Removed => discovery.apply_removal(now, id, revision),
        StoreChange::Unusable => discovery.apply_unusable(now, id, revision),
    };
}

fn read_all(discovery: &mut Discovery, now: Duration, changes: &[StoreChange]) {
    let at = changes.len() as Revision;
    let mut listed = Vec::new();
    match changes.last() {
        Some(StoreChange::Entry(entry)) => listed.push(KnownEntry {
            id: id::of(NAME),
            entry: entry.clone(),
            revision: at,
            lapsing: None,
        }),
        Some(StoreChange::Unusable) => {
            discovery.apply_unusable(now, id::of(NAME), at);
        }
        Some(StoreChange::Removed) | None => {}
    }
    discovery.apply_snapshot(now, listed, at);
}

/// The next change of the store, if the step makes one: a process may drain before it is removed,
/// and starts only when no other process has an entry.
fn next_change(
    step: Step,
    stored: &mut Option<Registration>,
    starts: &mut u64,
) -> Option<StoreChange> {
    match step {
        Step::Starts if stored.is_none() => {
            *starts += 1;
            *stored = Some(entry(Some(START_MS + *starts), false));
        }
        Step::Drains if stored.is_some() => {
            stored.iter_mut().for_each(|entry| entry.draining = true);
        }
        Step::Ends if stored.is_some() => {
            *stored = None;
            return Some(StoreChange::Removed);
        }
        Step::Rewrites if stored.is_some() => {}
        Step::Spoils if stored.is_some() => return Some(StoreChange::Unusable),
        _ => return None,
    }
    stored.clone().map(StoreChange::Entry)
}

/// Changes may arrive late, twice, not at all, through another VM, or during an outage. A VM that
/// has seen a process drain never uses it again. Once the VM has read all entries and the time of
/// an outage is over, it uses exactly the endpoint that the store's last change names.
fn uses_last_change(steps: Vec<Step>) -> bool {
    let (mut vm, mut other) = (Discovery::default(), Discovery::default());
    other.apply_snapshot(ms(0), [], 0);
    let (mut changes, mut stored, mut starts) = (Vec::<StoreChange>::new(), None, 0);
    let (mut drained, mut seen_drained) = (Vec::<u64>::new(), Vec::<u64>::new());
    let (mut now, mut disconnected) = (ms(1_000), false);
    for step in steps {
        now += ms(50);
        if let Some(change) = next_change(step, &mut stored, &mut starts) {
            changes.push(change.clone());
            let at = changes.len() as Revision;
            deliver(&mut other, now, &change, at);
            if !disconnected {
                deliver(&mut vm, now, &change, at);
            }
            if let StoreChange::Entry(entry) = change {
                let drains = entry.draining.then(|| entry.endpoint());
                drained.extend(drains);
                seen_drained.extend(drains.filter(|_| !disconnected));
            }
        }
        match step {
            Step::Redelivers(pick) if !changes.is_empty() => {
                let at = usize::from(pick) % changes.len();
                deliver(&mut vm, now, &changes[at].clone(), at as Revision + 1);
            }
            Step::ReadsAll => {
                read_all(&mut vm, now, &changes);
                // A removed entry does not show whether its process had drained.
                seen_drained.extend(
                    drained
                        .iter()
                        .filter(|id| !used_endpoints(&vm).contains(id)),
                );
                disconnected = false;
            }
            Step::PeerSnapshot if other.revision > vm.revision => {
                tell(now, &other, &mut vm);
                seen_drained.clone_from(&drained);
            }
            Step::Disconnects => disconnected = true,
            Step::StoreFails => vm.store_failed(now, now - OUTAGE_MIN, false),
            _ => {}
        }
        if used_endpoints(&vm)
            .iter()
            .any(|used| seen_drained.contains(used))
        {
            return false;
        }
    }
    read_all(&mut vm, now, &changes);
    vm.tick(now + RETURN_GRACE);
    let named = match changes.last() {
        Some(StoreChange::Entry(entry)) if !entry.draining => vec![entry.endpoint()],
        _ => Vec::new(),
    };
    used_endpoints(&vm) == named
}

#[test]
fn last_word() {
    let steps = uses_last_change as fn(Vec<Step>) -> bool;
    QuickCheck::new().tests(5_000).quickcheck(steps);
}
