//! Streams go on only at the software version that began them: records, their holders and routing.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use bramleyseam::decide::endpoints::EndpointConfig;
use bramleyseam::decide::items::{Action as ItemAction, ItemKey, ItemPlanner, Items};
use bramleyseam::decide::online::{Action, Arrival, AttemptOutcome, Event, Online, ServiceConfig};
use bramleyseam::decide::peers::{Peers, VmRecord};
use bramleyseam::decide::refusal::RefusalKind;
use bramleyseam::decide::retry::AttemptStage;
use bramleyseam::decide::software_history::SoftwareHistory;
use bramleyseam::decide::stream_origins::{StreamOrigin, StreamOrigins, StreamRecord, RECORDS_MAX};
use bramleyseam::decide::usage::Usage;
use bramleyseam::id::{self, Name};
use bramleyseam::standin::table::endpoint_configs;
use bramleyseam::wire::Key;
use rand::rngs::SmallRng;
use rand::SeedableRng;

const SERVICE: u64 = 1;
const LOCAL_DOMAIN: u64 = 1;
const LIFETIME: Duration = Duration::from_secs(15);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn record(stream: u64, software: &str) -> StreamRecord {
    let origin = StreamOrigin {
        service: SERVICE,
        software: software.into(),
    };
    StreamRecord::new(stream, origin, ms(5_000))
}

fn software_of(origins: &StreamOrigins, now: Duration, stream: u64) -> Option<Name> {
    let record = origins.get(now, stream)?;
    Some(record.origin.software)
}

#[test]
fn records_expire() {
    let mut origins = StreamOrigins::default();
    origins.record(ms(0), record(1, "v1"));
    assert_eq!(software_of(&origins, ms(6_900), 1).as_deref(), Some("v1"));
    assert_eq!(software_of(&origins, ms(7_000), 1), None);
    // A copy that comes again keeps it longer.
    origins.record(ms(3_000), record(1, "v1"));
    origins.tick(ms(9_900));
    assert_eq!(origins.len(), 1);
    origins.tick(ms(10_000));
    assert!(origins.is_empty());
}

// Two VMs that report different origins of one stream: neither may be trusted, not even if one of
// them reports it again.
#[test]
fn contradicting_records() {
    let mut origins = StreamOrigins::default();
    for software in ["v1", "v2", "v1"] {
        origins.record(ms(0), record(1, software));
    }
    assert_eq!(software_of(&origins, ms(1), 1), None);
}

#[test]
fn bounded_records() {
    let mut origins = StreamOrigins::default();
    for stream in 0..RECORDS_MAX as u64 + 10 {
        origins.record(ms(stream), record(stream, "v1"));
    }
    assert_eq!(origins.len(), RECORDS_MAX);
    assert_eq!(software_of(&origins, ms(0), 0), None);
}

fn history(steps: &[(u64, &[&str])]) -> SoftwareHistory {
    let mut history = SoftwareHistory::default();
    for (at_ms, versions) in steps {
        let rows = versions
            .iter()
            .map(|software| (SERVICE, Name::from(*software)));
        history.set_complete(ms(*at_ms), true);
        history.update(ms(*at_ms), rows);
    }
    history
}

// A VM that has just started can't tell which versions there were before.
#[test]
fn sole_version() {
    let seen = history(&[(1_000, &["v1", "v1"])]);
    assert_eq!(seen.sole_version(ms(15_999), SERVICE, LIFETIME), None);
    let sole = seen.sole_version(ms(16_000), SERVICE, LIFETIME);
    assert_eq!(sole.as_deref(), Some("v1"));
    assert_eq!(seen.sole_version(ms(16_000), 7, LIFETIME), None);
}

// A stream that began at a version that is gone by now may still come back.
#[test]
fn version_replaced() {
    let steps: [(u64, &[&str]); 4] = [
        (0, &["v1"]),
        (20_000, &["v1", "v2"]),
        (24_000, &["v2"]),
        (30_000, &["v2", "v2"]),
    ];
    let seen = history(&steps);
    assert_eq!(seen.sole_version(ms(38_999), SERVICE, LIFETIME), None);
    let sole = seen.sole_version(ms(39_001), SERVICE, LIFETIME);
    assert_eq!(sole.as_deref(), Some("v2"));
}

// A VM that knows a subset of the endpoints may not know all versions.
#[test]
fn unseen_versions() {
    let mut seen = history(&[(0, &["v1"])]);
    seen.set_complete(ms(20_000), false);
    seen.set_complete(ms(21_000), true);
    assert_eq!(seen.sole_version(ms(30_000), SERVICE, LIFETIME), None);
    let unknown = history(&[(0, &[""])]);
    assert_eq!(unknown.sole_version(ms(30_000), SERVICE, LIFETIME), None);
}

fn vm_address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (at / 200) as u8, (at % 200) as u8 + 1], 5))
}

/// The view of one VM of a fleet, without the VMs in `unknown`.
fn peers(fleet: usize, domains: usize, local: usize, unknown: &[usize]) -> Peers {
    let mut peers = Peers::new(0);
    let known = (0..fleet).filter(|at| !unknown.contains(at));
    let records = known.map(|at| VmRecord {
        name: format!("vm-{at}").into(),
        domain: (at % domains) as u64,
        owner: at as u64 + 1,
        gossip_address: vm_address(at),
        peer_port: 4,
        core_share: 0.1,
        load_reports: 0,
    });
    let records: Vec<VmRecord> = records.collect();
    let own = (id::of(&format!("vm-{local}")), local as u64 + 1);
    peers.apply_registrations(ms(0), own, &records);
    peers
}

// The VM that began a stream dies with another one, and the VMs know different others: whoever the
// caller comes to has to find a VM with the record.
#[test]
fn holders_found() {
    for (fleet, domains) in [(6, 3), (54, 3), (295, 5), (836, 11)] {
        for stream in 0..200u64 {
            let key = id::of(&format!("attempt-{stream}"));
            let [first, dead, newcomer, asker] =
                [3, 7, 13, 29].map(|step| (stream as usize * step + step) % fleet);
            if [first, dead, newcomer].contains(&asker) || first == dead {
                continue;
            }
            let told = peers(fleet, domains, first, &[newcomer]);
            let told = told.record_holders(ms(1), (first % domains) as u64, key);
            assert!(told.len() <= 6);
            let asked = peers(fleet, domains, asker, &[first]);
            let asked = asked.record_sources(ms(1), (asker % domains) as u64, key);
            assert!(asked.len() <= 12);
            let asked: HashSet<_> = asked.iter().map(|to| to.ip()).collect();
            let alive = told.iter().filter(|to| **to != vm_address(dead));
            let own = vm_address(asker);
            let found = alive
                .clone()
                .any(|to| asked.contains(&to.ip()) || *to == own);
            assert!(found, "{fleet} VMs: {told:?}, asked {asked:?}");
        }
    }
}

// What each stream costs: it is told to six VMs, and hundreds may begin in a second.
#[test]
fn record_bytes() {
    let sealed = Key::new("secret")
        .seal(&record(u64::MAX, "v1.10.3"))
        .unwrap();
    assert!(sealed.len() <= 64, "{}", sealed.len());
}

/// Endpoints with two slots each, and their versions in turn.
fn configs(versions: &[&str]) -> Vec<(u64, EndpointConfig)> {
    let configs = endpoint_configs(versions.len(), SERVICE, 2.0, |_| LOCAL_DOMAIN);
    let versions = versions.iter().map(|software| Name::from(*software));
    let with = |((id, config), software)| (id, EndpointConfig { software, ..config });
    configs.zip(versions).map(with).collect()
}

fn online(versions: &[&str]) -> Online {
    let mut online = Online::new(LOCAL_DOMAIN, SmallRng::seed_from_u64(1));
    online.endpoints.configure(configs(versions));
    let service = ServiceConfig {
        first_token_goal: ms(500),
        queue_limit: 40,
        max_in_flight: 1_000,
        learn_limit: false,
        shares: HashMap::from([(0, 1.0)]),
    };
    online.services.insert(SERVICE, service);
    online
}

fn arrival(request: u64, software: Option<&str>) -> Arrival {
    Arrival {
        request,
        workspace: 0,
        priority: 0,
        service: SERVICE,
        prefix: 0,
        deadline: ms(5_000),
        idempotent: true,
        resumable: true,
        attempts_max: 3,
        software: software.map(Name::from),
    }
}

fn handle(online: &mut Online, now: Duration, event: Event) -> Vec<Action> {
    let mut out = Vec::new();
    online.handle(now, event, &mut out);
    out
}

fn arrive(online: &mut Online, now: Duration, request: u64, software: Option<&str>) -> Vec<Action> {
    handle(online, now, Event::Arrived(arrival(request, software)))
}

/// The versions to which requests were sent.
fn sent_to(online: &Online, actions: &[Action]) -> Vec<(u64, Name)> {
    let sent = |action: &Action| match action {
        Action::Send {
            request, endpoint, ..
        } => {
            let endpoint = online.endpoints.get(*endpoint)?;
            Some((*request, endpoint.config.software.clone()))
        }
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

fn broken(request: u64) -> Event {
    let outcome = AttemptOutcome::Failed {
        stage: AttemptStage::Answering,
        endpoint_fault: true,
        endpoint_ended: true,
    };
    Event::Ended { request, outcome }
}

fn refused(actions: &[Action]) -> Vec<RefusalKind> {
    let kind = |action: &Action| match action {
        Action::Refuse { kind, .. } => Some(*kind),
        _ => None,
    };
    actions.iter().filter_map(kind).collect()
}

#[test]
fn resumed_versions() {
    let versions = ["v1", "v2", "v2", "v1", "v2"];
    for request in 0..20 {
        let mut online = online(&versions);
        let software = ["v1", "v2"][request as usize % 2];
        let sent = arrive(&mut online, ms(0), request, Some(software));
        assert_eq!(sent_to(&online, &sent), [(request, software.into())]);
    }
    let mut online = online(&versions);
    let gone = arrive(&mut online, ms(0), 99, Some("v0"));
    assert_eq!(refused(&gone), [RefusalKind::SoftwareGone]);
}

// A stream whose endpoint ends goes on at the version of the attempt that brought its first event,
// and is given up at once when no endpoint of that version is left.
#[test]
fn broken_streams() {
    for request in 0..20 {
        let mut online = online(&["v1", "v2", "v1", "v2"]);
        let first = arrive(&mut online, ms(0), request, None);
        let [(_, software)] = &sent_to(&online, &first)[..] else {
            panic!("{first:?}");
        };
        let software = software.clone();
        handle(&mut online, ms(10), Event::FirstToken { request });
        let second = handle(&mut online, ms(20), broken(request));
        assert_eq!(sent_to(&online, &second), [(request, software.clone())]);
        let left = configs(&["v1", "v2", "v1", "v2"]).into_iter();
        let left = left.filter(|(_, config)| config.software != software);
        online.endpoints.configure(left);
        let third = handle(&mut online, ms(30), broken(request));
        assert_eq!(refused(&third), [RefusalKind::SoftwareGone]);
    }
}

// An attempt that failed before its first event binds the request to no version.
#[test]
fn unanswered_attempts() {
    let mut online = online(&["v1", "v2"]);
    let first = arrive(&mut online, ms(0), 1, None);
    let outcome = AttemptOutcome::Failed {
        stage: AttemptStage::MaybeSent,
        endpoint_fault: true,
        endpoint_ended: true,
    };
    let event = Event::Ended {
        request: 1,
        outcome,
    };
    let second = handle(&mut online, ms(20), event);
    let versions = [sent_to(&online, &first), sent_to(&online, &second)].concat();
    assert_ne!(versions[0].1, versions[1].1);
}

// A stream that waits for its version must hold up neither new requests nor streams of another
// version, and must get the first slot of its own.
#[test]
fn waiting_streams() {
    let mut online = online(&["v1", "v2"]);
    // One endpoint takes two requests and lets one wait.
    for request in 0..3 {
        let sent = arrive(&mut online, ms(0), request, Some("v1"));
        assert_eq!(sent_to(&online, &sent).len(), 1);
    }
    let waits = arrive(&mut online, ms(1), 10, Some("v1"));
    assert!(waits.is_empty(), "{waits:?}");
    for (request, software) in [(11, None), (12, Some("v2"))] {
        let sent = arrive(&mut online, ms(2), request, software);
        assert_eq!(sent_to(&online, &sent), [(request, "v2".into())]);
    }
    // All slots are taken now, and new requests queue behind the stream.
    arrive(&mut online, ms(3), 13, None);
    assert!(arrive(&mut online, ms(4), 14, None).is_empty());
    let done = Event::Ended {
        request: 0,
        outcome: AttemptOutcome::Done,
    };
    let sent = handle(&mut online, ms(50), done);
    assert_eq!(sent_to(&online, &sent), [(10, "v1".into())]);
    let done = Event::Ended {
        request: 11,
        outcome: AttemptOutcome::Done,
    };
    let sent = handle(&mut online, ms(60), done);
    assert_eq!(sent_to(&online, &sent), [(14, "v2".into())]);
}

// A stream that broke off long after it was asked for still has the time to wait for a slot.
#[test]
fn late_breaks() {
    let mut online = online(&["v1"]);
    let sent = arrive(&mut online, ms(0), 1, None);
    assert_eq!(sent.len(), 1);
    handle(&mut online, ms(10), Event::FirstToken { request: 1 });
    let mut out = handle(&mut online, ms(2_000), broken(1));
    online.tick(ms(2_400), &mut out);
    assert!(refused(&out).is_empty(), "{out:?}");
    online.tick(ms(2_600), &mut out);
    assert_eq!(refused(&out).len(), 1);
}

fn key() -> ItemKey {
    ItemKey {
        job: "job".into(),
        item: 0,
    }
}

fn plan(items: &mut Items, now: Duration, versions: &[&str]) -> Option<(Name, bool)> {
    let mut online = online(&[]);
    online.endpoints.configure(configs(versions));
    let planner = ItemPlanner {
        vm: 1,
        domain: LOCAL_DOMAIN,
        competing_vms: &[],
        may_start: true,
    };
    let actions = items.plan(now, &planner, &online.endpoints, &Usage::default());
    let [ItemAction::Start {
        endpoint,
        from_start,
        ..
    }] = &actions[..]
    else {
        return None;
    };
    let endpoint = online.endpoints.get(*endpoint)?;
    Some((endpoint.config.software.clone(), *from_start))
}

/// An item that has run for a while at `v1`.
fn begun_item() -> Items {
    let mut items = Items::default();
    items.add(ms(0), key(), SERVICE, ms(16_000));
    plan(&mut items, ms(0), &["v1"]).unwrap();
    items.began(&key(), "v1".into());
    items.paused(ms(1_000), &key(), false);
    items
}

#[test]
fn begun_items() {
    let versions = ["v2", "v1", "v2"];
    let resumed = plan(&mut begun_item(), ms(2_000), &versions);
    assert_eq!(resumed, Some(("v1".into(), false)));
    // No endpoint of its version is left.
    let mut items = begun_item();
    let restarted = plan(&mut items, ms(2_000), &["v2"]);
    assert_eq!(restarted, Some(("v2".into(), true)));
    assert_eq!(items.run_time(ms(2_000), &key()), ms(0));
}

// An item that waits for its version too long would be late: it starts again while a whole run
// still ends in time.
#[test]
fn waiting_items() {
    let mut items = begun_item();
    for blocked in 1..=2 {
        let blocking = ItemKey {
            job: "first".into(),
            item: blocked,
        };
        items.add(ms(0), blocking.clone(), SERVICE, ms(5_000));
        plan(&mut items, ms(1_000), &["v1"]).unwrap();
    }
    let versions = ["v1", "v2"];
    // A whole run is taken for a quarter of the time until the item is due.
    assert_eq!(plan(&mut items, ms(2_000), &versions), None);
    assert_eq!(plan(&mut items, ms(10_000), &versions), None);
    let restarted = plan(&mut items, ms(11_000), &versions);
    assert_eq!(restarted, Some(("v2".into(), true)));
}
