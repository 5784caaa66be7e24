//! Time during which slots are free while items wait, by reason.

use std::time::Duration;

use bramleyseam::decide::endpoints::Endpoints;
use bramleyseam::decide::idle::{IdleCounter, IdleReason, IdleSnapshot};
use bramleyseam::decide::items::{ItemKey, ItemPlanner, Items};
use bramleyseam::decide::slot_grants::CompetingVm;
use bramleyseam::decide::usage::Usage;
use bramleyseam::standin::table::endpoint_configs;
use quickcheck::quickcheck;

const SERVICE: u64 = 1;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn items(count: u32) -> Items {
    let mut items = Items::default();
    for item in 0..count {
        let job = "job".into();
        items.add(ms(0), ItemKey { job, item }, SERVICE, ms(18_000));
    }
    items
}

// Slots stay free because they are granted to other VMs, by the number of items that wait there.
// The counters show that as the reason for jobs that finish late while engines are idle.
#[test]
fn others_turn() {
    let mut endpoints = Endpoints::default();
    endpoints.configure(endpoint_configs(2, SERVICE, 4.0, |_| 1));
    let mut items = items(8);
    let own = ItemPlanner {
        vm: 1,
        domain: 1,
        competing_vms: &[CompetingVm {
            vm: 2,
            domain: 1,
            items: 8,
        }],
        may_start: true,
    };
    let started = items.plan(ms(1000), &own, &endpoints, &Usage::default());
    items.plan(ms(1100), &own, &endpoints, &Usage::default());
    let left = 8 - started.len() as u32;
    assert!(left > 0);
    assert_eq!(items.idle.lost(IdleReason::Turn), ms(100) * left);
    assert_eq!(items.idle.lost(IdleReason::Pause), ms(0));
}

// After an attempt was preempted its item is delayed while the slot is free again.
#[test]
fn pause_counts() {
    let mut endpoints = Endpoints::default();
    endpoints.configure(endpoint_configs(1, SERVICE, 1.0, |_| 1));
    let mut items = items(1);
    let own = ItemPlanner {
        vm: 1,
        domain: 1,
        competing_vms: &[],
        may_start: true,
    };
    assert_eq!(
        items
            .plan(ms(1000), &own, &endpoints, &Usage::default())
            .len(),
        1
    );
    let key = ItemKey {
        job: "job".into(),
        item: 0,
    };
    items.paused(ms(1050), &key, false);
    assert!(items
        .plan(ms(1050), &own, &endpoints, &Usage::default())
        .is_empty());
    items.plan(ms(1150), &own, &endpoints, &Usage::default());
    assert_eq!(items.idle.lost(IdleReason::Pause), ms(100));
}

quickcheck! {
    // However long a process was paused, the lost slot-time is at most the counted interval times
    // the number of free slots, and times the number of items.
    fn bounded(free_slots: u16, ready: u16, paused: u16, gap_ms: u16) -> bool {
        let (free_slots, ready, paused) = (u32::from(free_slots), u32::from(ready), u32::from(paused));
        let mut idle = IdleCounter::default();
        idle.record(ms(0), IdleSnapshot { free_slots, ready, paused, may_start: true });
        idle.record(ms(u64::from(gap_ms)), IdleSnapshot::default());
        let lost = idle.lost(IdleReason::Turn) + idle.lost(IdleReason::Pause);
        lost <= ms(u64::from(gap_ms).min(200)) * free_slots.min(ready + paused)
    }
}
