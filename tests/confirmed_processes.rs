//! Which process accepted a connection, where endpoints restart in place with other software.

use std::time::Duration;

use bramleyseam::decide::discovery::{
    ConnectedProcess, Discovery, EndpointProcess, Registration, SoftwareCheck, OUTAGE_MIN,
    REGISTRATION_TIME, RESTART_REGISTRATION_TIME, RETURN_GRACE,
};
use bramleyseam::decide::stream_origins::{StreamOrigin, StreamOrigins, StreamRecord, StreamStart};
use bramleyseam::id::{self, Incarnation, Revision};
use quickcheck::quickcheck;

const NAME: &str = "engine";
/// Start of the first process, in Unix milliseconds.
const START_MS: Incarnation = 1_790_000_000_000;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Writes the entry of process number `number`.
fn write(discovery: &mut Discovery, number: u64, software: &str, at: Revision) {
    let entry = entry(number, software);
    discovery.apply_entry(ms(at), id::of(NAME), entry, at);
}

fn entry(number: u64, software: &str) -> Registration {
    Registration {
        name: NAME.into(),
        incarnation: Some(START_MS + number),
        address: "127.0.0.1:1".into(),
        service: 1,
        domain: 1,
        slots: 8,
        draining: false,
        software: software.into(),
    }
}

fn process(number: u64) -> EndpointProcess {
    EndpointProcess {
        name: NAME.into(),
        incarnation: Some(START_MS + number),
    }
}

/// A connection that is assumed to lead to process 0 of v1.
fn connected(connected_at: Duration) -> ConnectedProcess {
    ConnectedProcess {
        process: process(0),
        software: "v1".into(),
        connected_at,
    }
}

/// One endpoint of v1, known to a VM since 100 ms.
fn discovery() -> Discovery {
    let mut discovery = Discovery::default();
    write(&mut discovery, 0, "v1", 100);
    discovery.confirm_view(ms(500));
    discovery
}

#[test]
fn later_view() {
    let mut discovery = discovery();
    let young = connected(ms(600));
    assert_eq!(
        discovery.check_software(&connected(ms(400))),
        SoftwareCheck::Confirmed
    );
    assert_eq!(
        discovery.check_software(&young),
        SoftwareCheck::NotConfirmed
    );
    discovery.confirm_view(ms(700));
    assert_eq!(discovery.check_software(&young), SoftwareCheck::Confirmed);
}

// What was confirmed before a process was replaced stays known, and nothing later is taken for it.
#[test]
fn replaced_process() {
    let mut discovery = discovery();
    write(&mut discovery, 1, "v2", 800);
    discovery.confirm_view(ms(900));
    assert_eq!(
        discovery.check_software(&connected(ms(400))),
        SoftwareCheck::Confirmed
    );
    for connected_at in [600, 850, 2_000] {
        assert_eq!(
            discovery.check_software(&connected(ms(connected_at))),
            SoftwareCheck::Replaced
        );
    }
}

// Whichever of two processes with the same software accepted a connection, that software is known.
#[test]
fn same_software() {
    let mut discovery = discovery();
    let check = |discovery: &Discovery| discovery.check_software(&connected(ms(600)));
    write(&mut discovery, 1, "v1", 800);
    // A third one may have accepted it, as long as the second one isn't confirmed.
    assert_eq!(check(&discovery), SoftwareCheck::NotConfirmed);
    let mut confirmed = self::discovery();
    write(&mut confirmed, 1, "v1", 800);
    confirmed.confirm_view(ms(900));
    assert_eq!(check(&confirmed), SoftwareCheck::Confirmed);
    write(&mut discovery, 2, "v2", 900);
    assert_eq!(check(&discovery), SoftwareCheck::Replaced);
}

// The entry of a process that has ended stays for a while: it says nothing of the next one.
#[test]
fn lingering_entry() {
    let mut discovery = discovery();
    assert!(discovery.process_ended(ms(700), process(0).id()));
    discovery.confirm_view(ms(900));
    discovery.apply_process_entry(ms(950), &process(0), &entry(0, "v1"), ms(940));
    assert_eq!(
        discovery.check_software(&connected(ms(400))),
        SoftwareCheck::Confirmed
    );
    assert_eq!(
        discovery.check_software(&connected(ms(800))),
        SoftwareCheck::NotConfirmed
    );
}

// Endpoints that start in an outage of the store register only after it.
#[test]
fn unregistered_process() {
    let mut discovery = discovery();
    discovery.store_failed(ms(1_000), ms(1_000), false);
    discovery.store_failed(ms(1_000) + OUTAGE_MIN, ms(1_600), false);
    discovery.store_answered(ms(2_000));
    let settled_at = ms(2_000) + RETURN_GRACE;
    discovery.confirm_view(settled_at - ms(1));
    assert_eq!(
        discovery.check_software(&connected(ms(1_500))),
        SoftwareCheck::NotConfirmed
    );
    discovery.confirm_view(settled_at);
    assert_eq!(
        discovery.check_software(&connected(ms(1_500))),
        SoftwareCheck::Confirmed
    );
}

// Each run that was to be continued in an outage, or until that time after it, cost reads that can't
// confirm anything.
#[test]
fn useless_reads() {
    let mut discovery = discovery();
    assert!(discovery.can_confirm(ms(1_000)));
    discovery.store_failed(ms(1_000), ms(1_000), false);
    assert!(discovery.can_confirm(ms(1_000)));
    discovery.store_failed(ms(1_000) + OUTAGE_MIN, ms(1_600), false);
    assert!(!discovery.can_confirm(ms(1_800)));
    discovery.store_answered(ms(2_000));
    let settled_at = ms(2_000) + RETURN_GRACE;
    assert!(!discovery.can_confirm(settled_at - ms(1)));
    assert!(discovery.can_confirm(settled_at));
}

// A VM that does not follow all endpoints reads single entries.
#[test]
fn single_entry() {
    let mut discovery = Discovery::default();
    let is_replaced = discovery.apply_process_entry(ms(700), &process(0), &entry(0, "v1"), ms(650));
    assert!(!is_replaced);
    assert_eq!(
        discovery.check_software(&connected(ms(600))),
        SoftwareCheck::Confirmed
    );
    let is_replaced = discovery.apply_process_entry(ms(800), &process(0), &entry(1, "v2"), ms(750));
    assert!(is_replaced);
    assert_eq!(
        discovery.check_software(&connected(ms(700))),
        SoftwareCheck::Replaced
    );
}

#[test]
fn unknown_software() {
    let discovery = discovery();
    let unknown = ConnectedProcess {
        software: "".into(),
        ..connected(ms(400))
    };
    assert_eq!(
        discovery.check_software(&unknown),
        SoftwareCheck::NotConfirmed
    );
}

// All connections to a process break, and its successor has not registered yet: its entry is still
// that of the process before.
#[test]
fn lost_connections() {
    let mut discovery = discovery();
    let new = connected(ms(610));
    let lose = |discovery: &mut Discovery, at: Duration| {
        discovery.connection_lost(process(0).id(), ms(300), at);
        discovery.no_connection_left(process(0).id(), at);
    };
    // A single loss, as by a broken answer, proves nothing.
    lose(&mut discovery, ms(590));
    discovery.confirm_view(ms(700));
    assert_eq!(discovery.check_software(&new), SoftwareCheck::Confirmed);
    lose(&mut discovery, ms(600));
    assert_eq!(
        discovery.check_software(&connected(ms(400))),
        SoftwareCheck::Confirmed
    );
    assert_eq!(discovery.check_software(&new), SoftwareCheck::MayBeReplaced);
    discovery.confirm_view(ms(610) + RESTART_REGISTRATION_TIME);
    assert_eq!(discovery.check_software(&new), SoftwareCheck::Confirmed);
}

// A new process serves for a moment before its entry is written.
#[test]
fn late_entry() {
    let mut discovery = discovery();
    discovery.confirm_view(ms(599) + REGISTRATION_TIME);
    assert_eq!(
        discovery.check_software(&connected(ms(600))),
        SoftwareCheck::NotConfirmed
    );
}

/// Replays writes of processes and confirmations, and checks each connection against the process
/// that was registered at its time.
fn is_never_wrong(steps: Vec<(u8, u8)>) -> bool {
    let mut discovery = discovery();
    let (mut number, mut software, mut at) = (0, "v1", 1_000);
    // Connections that the VM takes for ones to process 0, and the software that accepted them.
    let mut connections = vec![(ms(600), "v1")];
    for (kind, gap) in steps {
        at += u64::from(gap) + 1;
        match kind % 4 {
            0 => {
                number += 1;
                software = if kind % 8 == 0 { "v1" } else { "v2" };
                write(&mut discovery, number, software, at);
            }
            1 => discovery.confirm_view(ms(at)),
            2 => drop(discovery.process_ended(ms(at), process(number).id())),
            _ => connections.push((ms(at), software)),
        }
    }
    connections.iter().all(|(connected_at, software)| {
        let check = discovery.check_software(&connected(*connected_at));
        check != SoftwareCheck::Confirmed || *software == "v1"
    })
}

quickcheck! {
    fn confirmed_is_right(steps: Vec<(u8, u8)>) -> bool {
        is_never_wrong(steps)
    }
}

fn start(process: Option<EndpointProcess>) -> StreamStart {
    let origin = StreamOrigin {
        service: 1,
        software: "v1".into(),
    };
    StreamStart {
        record: StreamRecord::new(7, origin, ms(5_000)),
        process,
    }
}

// A stream whose process is not confirmed must not count as one of that process's software.
#[test]
fn unconfirmed_start() {
    let mut origins = StreamOrigins::default();
    origins.record_local_start(ms(600), start(Some(process(0))));
    assert!(origins.get(ms(700), 7).is_none());
    let (known, known_at) = origins.start(ms(700), 7).unwrap();
    assert_eq!(
        known.connection_to_confirm(known_at),
        Some(connected(ms(600)))
    );
    assert!(origins.confirm(ms(800), |_| false).is_empty());
    let confirmed = origins.confirm(ms(800), |one| *one == connected(ms(600)));
    assert_eq!(confirmed.len(), 1);
    assert!(origins.get(ms(900), 7).is_some());
}

// The same start may be told again, before and after it was confirmed.
#[test]
fn repeated_start() {
    let mut origins = StreamOrigins::default();
    origins.record_start(ms(0), start(Some(process(0))));
    origins.record_start(ms(10), start(Some(process(0))));
    assert!(origins.get(ms(20), 7).is_none());
    origins.record(ms(30), start(None).record);
    assert!(origins.get(ms(40), 7).is_some());
    origins.record_start(ms(50), start(Some(process(0))));
    assert!(origins.get(ms(60), 7).is_some());
    assert!(origins.confirm(ms(70), |_| true).is_empty());
}
