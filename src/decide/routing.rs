//! Chooses the endpoint of a request.

use std::time::Duration;

use rand::Rng;
use serde::Deserialize;

use super::endpoints::{Endpoint, Endpoints};
use crate::id::{weight, DomainId, EndpointId, Name, ServiceId};

/// With prefix affinity, an endpoint takes at most this many times the mean load.
pub const LOAD_BOUND: f64 = 1.25;

/// How to choose among endpoints with room.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, strum::IntoStaticStr, strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Rendezvous hashing on the prompt's prefix, skipping endpoints above [`LOAD_BOUND`].
    #[default]
    Affinity,
    /// The less loaded of two random endpoints.
    TwoChoices,
    /// The least loaded endpoint in the local view.
    LeastLoad,
}

/// What an endpoint is needed for.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    pub service: ServiceId,
    /// Hash of the prompt's prefix; 0 if there is none.
    pub prefix: u64,
    /// Endpoint of an earlier attempt, skipped if there is another.
    pub avoid: Option<EndpointId>,
    /// The software version that began the request's stream, if it has events already.
    pub software: Option<&'a Name>,
}

/// Why there is no endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoEndpointReason {
    /// All usable endpoints are full.
    AllFull,
    /// No endpoint is usable.
    NoneUsable,
}

/// A test that an endpoint must pass, and whether it must be in the local failure domain.
type Preference = (fn(&Endpoint, Duration) -> bool, bool);

/// Order used when this VM soon receives what other VMs choose: a free slot, local or remote, goes
/// before a place in a queue.
const FREE_SLOT_FIRST: [Preference; 4] = [
    (Endpoint::has_slot, true),
    (Endpoint::has_slot, false),
    (Endpoint::has_room, true),
    (Endpoint::has_room, false),
];

/// Order used when many VMs choose by the same outdated counts: all local endpoints with room, by
/// load.
///
/// If free slots went first here, three free slots on 32 engines would draw all 60 requests that 54
/// VMs receive in the next 0.2 s, and these would wait for half a second behind each other.
const LEAST_LOAD_FIRST: [Preference; 3] = [
    (Endpoint::has_room, true),
    (Endpoint::has_spare_slots, false),
    (Endpoint::has_room, false),
];

/// Chooses an endpoint where the request starts at once, or as soon as a batch item is preempted;
/// if there is none, one where it waits for the next slot. In each case the local failure domain
/// comes first. Slots without a batch item are not preferred: while items fill nearly all slots,
/// the few empty ones would draw the requests of all VMs.
///
/// Endpoints with a free slot have to come before those that only have room, since room includes a
/// place in the queue. If two are drawn among all endpoints with room, requests of a burst queue
/// behind eight that have just begun, for 0.3 to 0.5 s, while 12 of 144 slots are free.
pub fn choose(
    table: &Endpoints,
    local_domain: DomainId,
    query: RouteQuery<'_>,
    policy: Policy,
    now: Duration,
    rng: &mut impl Rng,
) -> Result<EndpointId, NoEndpointReason> {
    let preferences = match table.counts_lag {
        true => &LEAST_LOAD_FIRST[..],
        false => &FREE_SLOT_FIRST[..],
    };
    for (test, local) in preferences {
        let fits = |row: &Endpoint| {
            let is_local = (row.config.domain == local_domain) == *local;
            let is_new = query.avoid != Some(row.id);
            is_local && query.accepts(row) && row.usable(now) && test(row, now) && is_new
        };
        if let Some(found) = best(table, query, policy, now, rng, fits) {
            return Ok(found);
        }
    }
    let rows = table.of_service(query.service).iter();
    let mut rows = rows
        .map(|at| &table.rows[*at])
        .filter(|row| query.accepts(row));
    let usable = rows.clone().filter(|row| row.usable(now));
    // An endpoint that failed before is better than none.
    if let Some(retried) = usable.clone().find(|row| row.has_room(now)) {
        return Ok(retried.id);
    }
    // A stream can go on nowhere else, so it may wait for an endpoint that is out of use for a while.
    let may_return = query.software.is_some() && rows.any(|row| row.leaving.is_none());
    match usable.count() {
        0 if !may_return => Err(NoEndpointReason::NoneUsable),
        _ => Err(NoEndpointReason::AllFull),
    }
}

impl RouteQuery<'_> {
    /// Whether the request may run at an endpoint at all.
    pub fn accepts(&self, endpoint: &Endpoint) -> bool {
        self.software
            .is_none_or(|software| endpoint.runs_software(software))
    }
}

/// Chooses an endpoint with a free slot that passes a test, in the local failure domain if there is one.
pub fn choose_free(
    table: &Endpoints,
    local_domain: DomainId,
    query: RouteQuery<'_>,
    now: Duration,
    rng: &mut impl Rng,
    test: impl Fn(&Endpoint) -> bool,
) -> Option<EndpointId> {
    let has_slot = match table.counts_lag {
        true => Endpoint::has_spare_slots,
        false => Endpoint::has_slot,
    };
    let mut domains = [true, false].into_iter();
    domains.find_map(|local| {
        let fits = |row: &Endpoint| {
            let is_local = (row.config.domain == local_domain) == local;
            let is_new = query.avoid != Some(row.id);
            is_local
                && is_new
                && query.accepts(row)
                && row.usable(now)
                && has_slot(row, now)
                && test(row)
        };
        best(table, query, Policy::TwoChoices, now, rng, fits)
    })
}

/// The least loaded endpoint with room that passes a test, in the local failure domain if there is one.
pub fn choose_room(
    table: &Endpoints,
    local_domain: DomainId,
    query: RouteQuery<'_>,
    now: Duration,
    test: impl Fn(&Endpoint) -> bool,
) -> Option<EndpointId> {
    let rows = table.of_service(query.service).iter();
    let rows = rows.map(|at| &table.rows[*at]);
    let fits = rows.filter(|row| {
        let is_new = query.avoid != Some(row.id);
        is_new && query.accepts(row) && row.usable(now) && row.has_room(now) && test(row)
    });
    let order = |row: &&Endpoint| (row.config.domain != local_domain, row.routing_load(now));
    let least = fits.min_by(|a, b| {
        let ((a_remote, a_load), (b_remote, b_load)) = (order(a), order(b));
        a_remote.cmp(&b_remote).then(a_load.total_cmp(&b_load))
    });
    least.map(|row| row.id)
}

/// The endpoint with a free slot that last answered a request of this VM and has no recent failures.
pub fn choose_proven(
    table: &Endpoints,
    query: RouteQuery<'_>,
    now: Duration,
) -> Option<EndpointId> {
    let rows = table.of_service(query.service).iter();
    let rows = rows.map(|at| &table.rows[*at]);
    let proven = rows.filter(|row| {
        let has_answered = row.succeeded_at > Duration::ZERO && row.penalty == 0.0;
        let is_new = query.avoid != Some(row.id);
        has_answered && query.accepts(row) && row.usable(now) && row.has_slot(now) && is_new
    });
    proven.max_by_key(|row| row.succeeded_at).map(|row| row.id)
}

fn best(
    table: &Endpoints,
    query: RouteQuery<'_>,
    policy: Policy,
    now: Duration,
    rng: &mut impl Rng,
    fits: impl Fn(&Endpoint) -> bool,
) -> Option<EndpointId> {
    let rows = table.of_service(query.service);
    let all = || rows.iter().map(|at| &table.rows[*at]);
    let candidates = || all().filter(|row| fits(row));
    let by_load = |a: &f64, b: &f64| a.total_cmp(b);
    match policy {
        Policy::Affinity if query.prefix != 0 => {
            let (online, slots) = candidates().fold((1.0, 0.0), |(online, slots), row| {
                (online + f64::from(row.online()), slots + row.slots(now))
            });
            let bound = LOAD_BOUND * online / slots;
            candidates()
                .filter(|row| {
                    let online = f64::from(row.online()) + row.penalty * row.slots(now);
                    online <= (bound * row.slots(now)).ceil()
                })
                .max_by_key(|row| weight(query.prefix, row.id))
                .map(|row| row.id)
        }
        Policy::LeastLoad => candidates()
            .min_by(|a, b| by_load(&a.routing_load(now), &b.routing_load(now)))
            .map(|row| row.id),
        Policy::TwoChoices | Policy::Affinity => {
            let count = candidates().count();
            if count == 0 {
                return None;
            }
            let first = rng.random_range(0..count);
            let second = rng.random_range(0..count);
            let (a, b) = (candidates().nth(first)?, candidates().nth(second)?);
            Some(if a.routing_load(now) <= b.routing_load(now) {
                a.id
            } else {
                b.id
            })
        }
    }
}
