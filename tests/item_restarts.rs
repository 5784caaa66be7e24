//! Items keep their text while an endpoint that can continue it is in use.

use std::time::Duration;

use bramleyseam::decide::endpoints::Endpoints;
use bramleyseam::decide::items::{
    self, Action, ItemKey, ItemPlanner, Items, WaitReason, UNCONFIRMED_WAIT_MAX,
};
use bramleyseam::decide::usage::Usage;
use bramleyseam::id::EndpointId;
use bramleyseam::standin::table::endpoint_configs;

const SERVICE: u64 = 1;
const DOMAIN: u64 = 1;
const SLOTS: f64 = 4.0;
/// Longer than an item waits for endpoints of its version that are out of use.
const WAIT: Duration = Duration::from_secs(5);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Two endpoints of versions "v1" and "v2".
fn endpoints() -> Endpoints {
    let mut configs: Vec<_> = endpoint_configs(2, SERVICE, SLOTS, |_| DOMAIN).collect();
    configs[1].1.software = "v2".into();
    let mut endpoints = Endpoints::default();
    endpoints.configure(configs);
    endpoints
}

/// Where the item starts, and whether from the start.
fn plan(items: &mut Items, endpoints: &Endpoints, now: Duration) -> Option<(EndpointId, bool)> {
    let planner = ItemPlanner {
        vm: 1,
        domain: DOMAIN,
        competing_vms: &[],
        may_start: true,
    };
    let actions = items.plan(now, &planner, endpoints, &Usage::default());
    actions.iter().find_map(|action| match action {
        Action::Start {
            endpoint,
            from_start,
            ..
        } => Some((*endpoint, *from_start)),
        Action::Stop { .. } => None,
    })
}

// An item dropped a text that had grown for a minute, beside free slots where it had grown, since a
// run there had failed before.
#[test]
fn recovered_endpoint() {
    let endpoints = endpoints();
    let own = endpoints.rows[0].id;
    let key = ItemKey {
        job: "job".into(),
        item: 0,
    };
    let mut items = Items::default();
    items.add(ms(0), key.clone(), SERVICE, ms(600_000));
    items.began(&key, "v1".into());
    assert_eq!(plan(&mut items, &endpoints, ms(0)), Some((own, false)));
    items.progressed(ms(1_000), &key);
    items.paused(ms(1_000), &key, true);
    assert_eq!(plan(&mut items, &endpoints, ms(1_300)), Some((own, false)));
    items.progressed(ms(60_000), &key);
    items.paused(ms(60_000), &key, false);
    // All slots were in use by online requests meanwhile.
    let next = plan(&mut items, &endpoints, ms(60_000) + WAIT);
    assert_eq!(next, Some((own, false)));
}

/// An item whose text was made by the endpoint of version "v1" alone.
fn item_with_text(key: &ItemKey) -> Items {
    let mut items = Items::default();
    items.add(ms(0), key.clone(), SERVICE, ms(600_000));
    items.began(key, "v1".into());
    items
}

// An item dropped its text, beside free slots where it had just grown, since its run there was cut
// and it could not run for some seconds after.
#[test]
fn cut_after_events() {
    let endpoints = endpoints();
    let own = endpoints.rows[0].id;
    let key = ItemKey {
        job: "job".into(),
        item: 0,
    };
    let mut items = item_with_text(&key);
    assert_eq!(plan(&mut items, &endpoints, ms(0)), Some((own, false)));
    items.progressed(ms(1_000), &key);
    items.paused(ms(1_000), &key, true);
    let next = plan(&mut items, &endpoints, ms(1_000) + WAIT);
    assert_eq!(next, Some((own, false)));
}

// An item that may restart at another version was shown as one that waits for its own.
#[test]
fn restart_reason() {
    let mut endpoints = endpoints();
    endpoints.rows[0].barred = true;
    endpoints.rows[1].online_here = SLOTS as u32;
    let key = ItemKey {
        job: "job".into(),
        item: 0,
    };
    let items = item_with_text(&key);
    let reason = |now| items.waiting(now, &endpoints, &Usage::default())[0].reason;
    assert_eq!(reason(ms(1_000)), WaitReason::OtherSoftware);
    assert_eq!(reason(WAIT), WaitReason::NoFreeSlot);
}

// A text was dropped as soon as the store was away, however long it had taken to make.
#[test]
fn unconfirmed_text() {
    let since = ms(1_000);
    let ran = ms(800);
    assert!(items::keeps_text(since, since, ran));
    assert!(items::keeps_text(since + ran - ms(1), since, ran));
    assert!(!items::keeps_text(since + ran, since, ran));
    assert!(!items::keeps_text(
        since + UNCONFIRMED_WAIT_MAX,
        since,
        ms(600_000)
    ));
}

// An item that waits for the store keeps its text and leaves its slot to others.
#[test]
fn delayed_start() {
    let endpoints = endpoints();
    let own = endpoints.rows[0].id;
    let key = ItemKey {
        job: "job".into(),
        item: 0,
    };
    let mut items = item_with_text(&key);
    assert_eq!(plan(&mut items, &endpoints, ms(0)), Some((own, false)));
    items.delayed(ms(10), &key, ms(400));
    assert_eq!(items.running_at(own), 0);
    assert_eq!(plan(&mut items, &endpoints, ms(400)), None);
    assert_eq!(plan(&mut items, &endpoints, ms(410)), Some((own, false)));
}
