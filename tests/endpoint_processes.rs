//! An endpoint restarts under the same name: its processes are told apart by their start times.

use std::time::Duration;

use bramleyseam::decide::discovery::{
    Discovery, KnownEntry, Registration, SnapshotSource, OUTAGE_MIN, RETURN_GRACE,
};
use bramleyseam::decide::endpoints::Endpoints;
use bramleyseam::id::{self, Incarnation, Revision};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const NAME: &str = "engine";
/// Start of the first process, in Unix milliseconds.
const START_MS: Incarnation = 1_790_000_000_000;

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

fn used(discovery: &Discovery) -> Vec<u64> {
    let rows = discovery.declared().into_iter();
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
    assert!(used(&discovery).is_empty());
    discovery.apply_removal(ms(4), id::of(NAME), 4);
    write(&mut discovery, Some(START_MS), false, 5);
    assert!(used(&discovery).is_empty());
}

// The engine's clock was set back while it was down, so its new process has the earlier start time.
// The store's revisions show which process is newer.
#[test]
fn clock_back() {
    let mut discovery = Discovery::default();
    write(&mut discovery, Some(START_MS), true, 1);
    assert!(write(&mut discovery, Some(START_MS - 2000), false, 2));
    assert_eq!(used(&discovery), [process(START_MS - 2000)]);
}

// Another writer's entry gives an engine a start time that it never had. The engine's own next
// entry is used again.
#[test]
fn start_of_another_writer() {
    let mut discovery = Discovery::default();
    write(&mut discovery, Some(START_MS), false, 1);
    write(&mut discovery, Some(5), false, 2);
    write(&mut discovery, Some(START_MS), false, 3);
    assert_eq!(used(&discovery), [process(START_MS)]);
}

// An engine whose entries carry start times drains; then an entry without a start time says that it
// is ready. The engine did not write that entry, so no endpoint is used.
#[test]
fn start_left_out() {
    let mut discovery = Discovery::default();
    write(&mut discovery, Some(START_MS), true, 1);
    write(&mut discovery, None, false, 2);
    assert!(used(&discovery).is_empty());
    write(&mut discovery, Some(START_MS), false, 3);
    assert!(used(&discovery).is_empty());
}

// A VM that has just reconnected to the store gets a delayed snapshot with an engine that has ended
// since. A newer snapshot from another VM did not list the engine.
#[test]
fn stale_reading() {
    let mut discovery = Discovery::default();
    discovery.apply_snapshot(ms(0), [], 9, SnapshotSource::Peer);
    let known = KnownEntry {
        id: id::of(NAME),
        entry: entry(Some(START_MS), false),
        revision: 5,
        lapsing: None,
    };
    discovery.apply_snapshot(ms(1), [known], 7, SnapshotSource::Store);
    assert!(used(&discovery).is_empty());
}

// The other VM keeps, as lapsed, the entry of a process that this VM has no entry of yet. This VM
// uses the previous process, which has ended.
#[test]
fn lapse_of_next() {
    let (mut behind, mut ahead) = (Discovery::default(), Discovery::default());
    for discovery in [&mut behind, &mut ahead] {
        write(discovery, Some(START_MS), false, 1);
    }
    write(&mut ahead, Some(START_MS + 1), false, 2);
    ahead.store_failed(ms(1_000), ms(1_000) - OUTAGE_MIN, false);
    ahead.apply_removal(ms(1_100), id::of(NAME), 3);
    behind.apply_snapshot(ms(1_200), ahead.export(ms(1_200)), 3, SnapshotSource::Peer);
    assert!(used(&behind).is_empty());
}

// A process does not inherit its predecessor's requests in flight, failures or ejection.
#[test]
fn counts_anew() {
    let mut endpoints = Endpoints::default();
    let declare = |endpoints: &mut Endpoints, start| {
        let entry = entry(Some(start), false);
        endpoints.configure([(entry.endpoint(), entry.declared())]);
    };
    declare(&mut endpoints, START_MS);
    endpoints.rows[0].online_here = 8;
    endpoints.rows[0].eject(ms(10));
    declare(&mut endpoints, START_MS + 1);
    assert_eq!(endpoints.rows[0].online_here, 0);
    assert!(endpoints.rows[0].usable(ms(11)));
}

/// A change of the entry, in the order of the store's revisions, or an event of its delivery to a
/// VM.
#[derive(Debug, Clone, Copy)]
enum Step {
    Starts,
    Drains,
    Goes,
    /// The engine writes its entry again, as it does when it finds another writer's entry in its
    /// place.
    Writes,
    /// Another writer stores an unusable entry.
    Spoilt,
    /// The VM receives no changes from now on.
    Deaf,
    /// An earlier change arrives again.
    Again(u8),
    /// The VM reads all entries.
    Reads,
    /// The VM gets a snapshot from another VM, which has received every change.
    Told,
    /// A call to the store fails.
    Fails,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let again = Step::Again(u8::arbitrary(g));
        let steps = [
            Step::Starts,
            Step::Starts,
            Step::Drains,
            Step::Goes,
            Step::Writes,
            Step::Spoilt,
            Step::Deaf,
            again,
            again,
            Step::Reads,
            Step::Told,
            Step::Fails,
        ];
        *g.choose(&steps).unwrap_or(&Step::Starts)
    }
}

/// One change of the entry in the store.
#[derive(Debug, Clone)]
enum Word {
    Entry(Registration),
    Gone,
    Spoilt,
}

fn take(discovery: &mut Discovery, now: Duration, word: &Word, revision: Revision) {
    let id = id::of(NAME);
    match word {
        Word::Entry(entry) => discovery.apply_entry(now, id, entry.clone(), revision),
        Word::Gone => discovery.apply_removal(now, id, revision),
        Word::Spoilt => discovery.apply_unusable(now, id, revision),
    };
}

fn read_all(discovery: &mut Discovery, now: Duration, words: &[Word]) {
    let at = words.len() as Revision;
    let mut listed = Vec::new();
    match words.last() {
        Some(Word::Entry(entry)) => listed.push(KnownEntry {
            id: id::of(NAME),
            entry: entry.clone(),
            revision: at,
            lapsing: None,
        }),
        Some(Word::Spoilt) => {
            discovery.apply_unusable(now, id::of(NAME), at);
        }
        Some(Word::Gone) | None => {}
    }
    discovery.apply_snapshot(now, listed, at, SnapshotSource::Store);
}

/// The next change of the store, if the step makes one: a process may drain before it is removed,
/// and starts only when no other process has an entry.
fn next_word(step: Step, standing: &mut Option<Registration>, starts: &mut u64) -> Option<Word> {
    match step {
        Step::Starts if standing.is_none() => {
            *starts += 1;
            *standing = Some(entry(Some(START_MS + *starts), false));
        }
        Step::Drains if standing.is_some() => {
            standing.iter_mut().for_each(|entry| entry.draining = true);
        }
        Step::Goes if standing.is_some() => {
            *standing = None;
            return Some(Word::Gone);
        }
        Step::Writes if standing.is_some() => {}
        Step::Spoilt if standing.is_some() => return Some(Word::Spoilt),
        _ => return None,
    }
    standing.clone().map(Word::Entry)
}

/// Changes may arrive late, twice, not at all, through another VM, or during an outage. A VM that
/// has seen a process drain never uses it again. Once the VM has read all entries and the time of
/// an outage is over, it uses exactly the endpoint that the store's last change names.
fn last_word_holds(steps: Vec<Step>) -> bool {
    let (mut vm, mut other) = (Discovery::default(), Discovery::default());
    let (mut words, mut standing, mut starts) = (Vec::<Word>::new(), None, 0);
    let (mut drained, mut heard) = (Vec::<u64>::new(), Vec::<u64>::new());
    let (mut now, mut deaf) = (ms(1_000), false);
    for step in steps {
        now += ms(50);
        if let Some(word) = next_word(step, &mut standing, &mut starts) {
            words.push(word.clone());
            let at = words.len() as Revision;
            take(&mut other, now, &word, at);
            if !deaf {
                take(&mut vm, now, &word, at);
            }
            if let Word::Entry(entry) = word {
                let drains = entry.draining.then(|| entry.endpoint());
                drained.extend(drains);
                heard.extend(drains.filter(|_| !deaf));
            }
        }
        match step {
            Step::Again(pick) if !words.is_empty() => {
                let at = usize::from(pick) % words.len();
                take(&mut vm, now, &words[at].clone(), at as Revision + 1);
            }
            Step::Reads => {
                read_all(&mut vm, now, &words);
                // A removed entry does not show whether its process had drained.
                heard.extend(drained.iter().filter(|id| !used(&vm).contains(id)));
                deaf = false;
            }
            Step::Told if other.revision > vm.revision => {
                let told = other.export(now);
                vm.apply_snapshot(now, told, other.revision, SnapshotSource::Peer);
                heard.clone_from(&drained);
            }
            Step::Deaf => deaf = true,
            Step::Fails => vm.store_failed(now, now - OUTAGE_MIN, false),
            _ => {}
        }
        if used(&vm).iter().any(|used| heard.contains(used)) {
            return false;
        }
    }
    read_all(&mut vm, now, &words);
    vm.tick(now + RETURN_GRACE);
    let named = match words.last() {
        Some(Word::Entry(entry)) if !entry.draining => vec![entry.endpoint()],
        _ => Vec::new(),
    };
    used(&vm) == named
}

#[test]
fn last_word() {
    let steps = last_word_holds as fn(Vec<Step>) -> bool;
    QuickCheck::new().tests(5_000).quickcheck(steps);
}
