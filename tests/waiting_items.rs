//! Waiting batch items that VMs report by service.

use std::collections::HashMap;
use std::time::Duration;

use bramleyseam::decide::endpoints::Endpoints;
use bramleyseam::decide::items::{ItemKey, ItemPlanner, Items};
use bramleyseam::decide::load_reports::{ReportScope, REPORT_EXPIRES_AFTER};
use bramleyseam::decide::slot_grants::CompetingVm;
use bramleyseam::decide::usage::Usage;
use bramleyseam::decide::waiting_items::{
    domain_rows, service_rows, LocalItems, VmItems, WaitingReport, WaitingReports,
    SERVICE_ROWS_MAX, VM_ROWS_MAX, WAITING_REPORT_VERSION,
};
use bramleyseam::id::ServiceId;
use bramleyseam::standin::table::endpoint_configs;
use bramleyseam::wire::{Key, DATAGRAM_BYTES_MAX};

const SERVICE: ServiceId = 1;
const OTHER_SERVICE: ServiceId = 2;
const DOMAIN: u64 = 10;
const REMOTE_DOMAIN: u64 = 11;
const NOW: Duration = Duration::from_secs(10);

fn report(sender: u64, sequence: u64, services: &[(ServiceId, u32)]) -> WaitingReport {
    WaitingReport {
        version: WAITING_REPORT_VERSION,
        sender,
        owner: sender ^ 100,
        sequence,
        domain: DOMAIN,
        scope: ReportScope::Vm,
        services: services.to_vec(),
        vms: Vec::new(),
    }
}

fn competing(vm: u64, domain: u64, items: u32) -> CompetingVm {
    CompetingVm { vm, domain, items }
}

fn local(items: u32) -> LocalItems {
    LocalItems {
        vm: 1,
        domain: DOMAIN,
        items,
    }
}

// Items that wait for another service compete for the slots of this one.
#[test]
fn other_service() {
    let mut reports = WaitingReports::default();
    assert!(reports.apply(NOW, report(2, 1, &[(OTHER_SERVICE, 60)])));
    assert!(reports.apply(NOW, report(3, 1, &[(SERVICE, 4), (OTHER_SERVICE, 6)])));
    let all = [competing(2, DOMAIN, 60), competing(3, DOMAIN, 10)];
    let found = reports.competing_vms(SERVICE, local(2), &all);
    assert_eq!(found, [competing(3, DOMAIN, 4)]);
}

// A VM of an earlier release, or one whose reports are lost, may have items for every service.
#[test]
fn unreported_items() {
    let mut reports = WaitingReports::default();
    reports.apply(NOW, report(2, 1, &[(OTHER_SERVICE, 60)]));
    let all = [competing(2, DOMAIN, 60), competing(3, DOMAIN, 10)];
    let found = reports.competing_vms(SERVICE, local(2), &all);
    assert_eq!(found, [competing(3, DOMAIN, 10)]);
    reports.tick(NOW + REPORT_EXPIRES_AFTER);
    assert!(reports.is_empty());
    assert_eq!(reports.competing_vms(SERVICE, local(2), &all), all);
}

// A datagram that arrives late brings back the items of a moment ago; a restarted process counts
// from one again.
#[test]
fn late_report() {
    let mut reports = WaitingReports::default();
    assert!(reports.apply(NOW, report(2, 7, &[(SERVICE, 4)])));
    assert!(!reports.apply(NOW, report(2, 6, &[(SERVICE, 9)])));
    let mut restarted = report(2, 1, &[(SERVICE, 1)]);
    restarted.owner ^= 1;
    assert!(reports.apply(NOW, restarted));
    let found = reports.competing_vms(SERVICE, local(2), &[competing(2, DOMAIN, 4)]);
    assert_eq!(found, [competing(2, DOMAIN, 1)]);
}

// A service that a full report leaves out counts as one without items.
#[test]
fn service_left_out() {
    let services: HashMap<ServiceId, u32> = (1..=20).map(|service| (service, 30)).collect();
    let rows = service_rows(&services);
    assert_eq!(rows.len(), SERVICE_ROWS_MAX);
    let left_out = (1..=20).find(|service| !rows.iter().any(|(id, _)| id == service));
    let mut reports = WaitingReports::default();
    reports.apply(NOW, report(2, 1, &rows));
    let all = [competing(2, DOMAIN, 600)];
    let found = reports.competing_vms(left_out.unwrap(), local(2), &all);
    let others = 600 - 30 * SERVICE_ROWS_MAX as u32;
    assert_eq!(found, [competing(2, DOMAIN, others)]);
}

fn domain_report(vms: &[(u64, &[(ServiceId, u32)])]) -> WaitingReport {
    let items = vms
        .iter()
        .map(|(vm, rows)| (*vm, rows.iter().copied().collect()));
    let items: Vec<(u64, HashMap<ServiceId, u32>)> = items.collect();
    let (services, vms) = domain_rows(&items);
    WaitingReport {
        scope: ReportScope::Domain,
        vms,
        ..report(50, 1, &services)
    }
}

// In a large fleet a delegate lists the VMs with the most items; those that wait for the service at
// the others count too, else all of them take the same slots.
#[test]
fn domain_listed() {
    let mut reports = WaitingReports::default();
    let vms: [(u64, &[(ServiceId, u32)]); 4] = [
        (1, &[(SERVICE, 2)]),
        (2, &[(OTHER_SERVICE, 60)]),
        (3, &[(SERVICE, 7)]),
        (4, &[(SERVICE, 5)]),
    ];
    reports.apply(NOW, domain_report(&vms));
    let all = [competing(2, DOMAIN, 60), competing(3, DOMAIN, 7)];
    let found = reports.competing_vms(SERVICE, local(2), &all);
    assert_eq!(
        found,
        [competing(3, DOMAIN, 7), competing(DOMAIN, DOMAIN, 5)]
    );
}

// A remote failure domain competes with the items of the service only.
#[test]
fn remote_domain() {
    let mut reports = WaitingReports::default();
    let vms: [(u64, &[(ServiceId, u32)]); 2] = [(8, &[(OTHER_SERVICE, 60)]), (9, &[(SERVICE, 3)])];
    let remote = WaitingReport {
        domain: REMOTE_DOMAIN,
        vms: Vec::new(),
        ..domain_report(&vms)
    };
    reports.apply(NOW, remote);
    let all = [competing(REMOTE_DOMAIN, REMOTE_DOMAIN, 63)];
    let found = reports.competing_vms(SERVICE, local(2), &all);
    assert_eq!(found, [competing(REMOTE_DOMAIN, REMOTE_DOMAIN, 3)]);
}

// A report that doesn't fit into a datagram is never sent.
#[test]
fn largest_report() {
    let largest = WaitingReport {
        owner: u64::MAX,
        sequence: u64::MAX,
        domain: u64::MAX,
        services: vec![(u64::MAX, u32::MAX); SERVICE_ROWS_MAX],
        vms: vec![
            VmItems {
                vm: u64::MAX,
                service_index: u8::MAX,
                items: u32::MAX,
            };
            VM_ROWS_MAX
        ],
        ..report(u64::MAX, 1, &[])
    };
    let sealed = Key::new("key").seal(&largest).unwrap();
    assert!(sealed.len() <= DATAGRAM_BYTES_MAX, "{}", sealed.len());
}

// Many items wait at another VM for a full service; those of this VM start at once at the free
// endpoints of their own.
#[test]
fn started_at_once() {
    let mut endpoints = Endpoints::default();
    endpoints.configure(endpoint_configs(3, SERVICE, 4.0, |_| DOMAIN));
    let mut items = Items::default();
    for item in 0..2 {
        let job = "job".into();
        let due = Duration::from_secs(60);
        items.add(NOW, ItemKey { job, item }, SERVICE, due);
    }
    let mut reports = WaitingReports::default();
    reports.apply(NOW, report(2, 1, &[(OTHER_SERVICE, 1_000)]));
    let all = [competing(2, DOMAIN, 1_000)];
    let by_service = reports.competing_vms(SERVICE, local(2), &all);
    items.competing_vms = HashMap::from([(SERVICE, by_service)]);
    let planner = ItemPlanner {
        vm: 1,
        domain: DOMAIN,
        competing_vms: &all,
        may_start: true,
    };
    let started = items.plan(NOW, &planner, &endpoints, &Usage::default());
    assert_eq!(started.len(), 2);
}
