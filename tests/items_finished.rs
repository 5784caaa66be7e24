//! Items that could run are running again a few seconds after what kept them waiting has ended.

use std::time::Duration;

use bramleyseam::decide::endpoints::{EndpointConfig, Endpoints};
use bramleyseam::decide::items::{Action, ItemKey, ItemPlanner, Items};
use bramleyseam::decide::usage::Usage;
use bramleyseam::id::EndpointId;
use bramleyseam::standin::table::endpoint_configs;

const SERVICE: u64 = 1;
const LOCAL_DOMAIN: u64 = 1;
const SLOTS: f64 = 7.0;
const PLAN_INTERVAL: Duration = Duration::from_millis(50);
/// An item that nobody runs for so long while slots are free counts as lost.
const IDLE_MAX: Duration = Duration::from_secs(5);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn key(job: &str, item: u32) -> ItemKey {
    ItemKey {
        job: job.into(),
        item,
    }
}

/// Endpoints with the software versions given.
fn endpoints(versions: &[&str]) -> Endpoints {
    let configs = endpoint_configs(versions.len(), SERVICE, SLOTS, |_| LOCAL_DOMAIN);
    let with_version = |((id, config), software): ((EndpointId, EndpointConfig), &&str)| {
        let software = (*software).into();
        (id, EndpointConfig { software, ..config })
    };
    let mut endpoints = Endpoints::default();
    endpoints.configure(configs.into_iter().zip(versions).map(with_version));
    endpoints
}

fn planner() -> ItemPlanner<'static> {
    ItemPlanner {
        vm: 1,
        domain: LOCAL_DOMAIN,
        competing_vms: &[],
        may_start: true,
    }
}

/// Items of one job, due after `due`, the first of which has a text of version "v1".
fn items_with_text(due: Duration) -> Items {
    let mut items = Items::default();
    items.add(ms(0), key("job", 0), SERVICE, due);
    items.began(&key("job", 0), "v1".into());
    items
}

/// The time until an item runs at an endpoint that is sound, by the `attempt` that tells so.
fn waits(
    items: &mut Items,
    endpoints: &mut Endpoints,
    from: Duration,
    mut attempt: impl FnMut(&mut Items, &mut Endpoints, Duration, &ItemKey, EndpointId) -> bool,
) -> Duration {
    for step in 0.. {
        let waited = PLAN_INTERVAL * step;
        if waited > IDLE_MAX * 4 {
            return Duration::MAX;
        }
        let now = from + waited;
        for action in items.plan(now, &planner(), endpoints, &Usage::default()) {
            if let Action::Start { key, endpoint, .. } = action {
                if attempt(items, endpoints, now, &key, endpoint) {
                    return waited;
                }
            }
        }
    }
    Duration::MAX
}

// The endpoint that made an item's text stays in the table but out of use; the item waited for it
// until it was nearly due, and without end once it was late, beside free slots of another version.
#[test]
fn version_unusable() {
    for due in [ms(60_000), ms(1_000)] {
        let mut endpoints = endpoints(&["v1", "v2"]);
        let sound = endpoints.rows[1].id;
        endpoints.rows[0].barred = true;
        let mut items = items_with_text(due);
        let attempt =
            |_: &mut Items, _: &mut Endpoints, _, _: &ItemKey, endpoint| endpoint == sound;
        let waited = waits(&mut items, &mut endpoints, ms(2_000), attempt);
        assert!(waited < IDLE_MAX, "due at {due:?}: {waited:?}");
    }
}

// The endpoint that made an item's text accepts it again after each ejection and sends nothing: the
// item went on being tried there.
#[test]
fn version_silent() {
    for due in [ms(60_000), ms(1_000)] {
        let mut endpoints = endpoints(&["v1", "v2"]);
        let sound = endpoints.rows[1].id;
        let mut items = items_with_text(due);
        let attempt =
            |items: &mut Items, endpoints: &mut Endpoints, now: Duration, key: &ItemKey, at| {
                if at != sound {
                    endpoints.rows[0].eject(now);
                    items.paused(now, key, true);
                }
                at == sound
            };
        let waited = waits(&mut items, &mut endpoints, ms(2_000), attempt);
        assert!(waited < IDLE_MAX, "due at {due:?}: {waited:?}");
    }
}
