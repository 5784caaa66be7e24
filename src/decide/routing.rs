//! Which endpoint a request goes to.

use std::time::Duration;

use rand::Rng;
use serde::Deserialize;

use super::endpoints::{Endpoint, Endpoints};
use crate::id::{weight, DomainId, EndpointId, ServiceId};

/// With prefix affinity an endpoint takes at most this many times the mean load.
pub const LOAD_BOUND: f64 = 1.25;

/// The ways of choosing among endpoints with room.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, strum::IntoStaticStr, strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Rendezvous on the prompt's prefix, passing over endpoints above the bounded load.
    #[default]
    Affinity,
    /// The less loaded of two random ones.
    TwoChoices,
    /// The least loaded as far as is known.
    LeastLoad,
}

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery {
    pub service: ServiceId,
    /// Hash of the prompt's prefix; 0 when there is none.
    pub prefix: u64,
    /// Endpoint of an earlier try, passed over while there is another.
    pub avoid: Option<EndpointId>,
}

/// Why there is no endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoEndpointReason {
    /// All usable ones are full.
    Full,
    /// None is usable.
    Away,
}

/// Whether an endpoint may be chosen, and whether those of the own failure domain are meant.
type Choice = (fn(&Endpoint, Duration) -> bool, bool);

/// Choices of a VM that soon hears what the others choose: a slot, near or far, goes before a wait.
const BY_SLOT: [Choice; 4] = [
    (Endpoint::has_slot, true),
    (Endpoint::has_slot, false),
    (Endpoint::has_room, true),
    (Endpoint::has_room, false),
];

/// Choices where many choose by the same late news: all endpoints near by with room, by their load.
///
/// The failure: three of 32 engines have a slot free, 54 VMs hear of it, and all of their 60 requests of the next
/// 0.2 s go to these three, where they wait for half a second behind each other.
const BY_LOAD: [Choice; 3] = [
    (Endpoint::has_room, true),
    (Endpoint::has_spare_slots, false),
    (Endpoint::has_room, false),
];

/// Chooses an endpoint where the request starts at once, or as soon as a batch item has made way, then one
/// where it waits for the next slot; of each, the own failure domain first. Slots without any item do not go
/// first: while items fill nearly all, the few left would draw the requests of all VMs.
///
/// The failure: two of the endpoints with room were drawn, and room is also where one more may wait. In a
/// burst requests stood behind eight that had just begun, for 0.3 to 0.5 s, while 12 of 144 slots were free.
pub fn choose(
    table: &Endpoints,
    home: DomainId,
    ask: RouteQuery,
    policy: Policy,
    now: Duration,
    rng: &mut impl Rng,
) -> Result<EndpointId, NoEndpointReason> {
    let choices = match table.counts_lag {
        true => &BY_LOAD[..],
        false => &BY_SLOT[..],
    };
    for (starts, own) in choices {
        let fits = |row: &Endpoint| {
            let near = (row.declared.domain == home) == *own;
            near && row.usable(now) && starts(row, now) && ask.avoid != Some(row.id)
        };
        if let Some(found) = best(table, ask, policy, now, rng, fits) {
            return Ok(found);
        }
    }
    let rows = table.of_service(ask.service).iter();
    let usable = rows
        .map(|at| &table.rows[*at])
        .filter(|row| row.usable(now));
    // The endpoint that failed before is better than none.
    if let Some(again) = usable.clone().find(|row| row.has_room(now)) {
        return Ok(again.id);
    }
    match usable.count() {
        0 => Err(NoEndpointReason::Away),
        _ => Err(NoEndpointReason::Full),
    }
}

fn best(
    table: &Endpoints,
    ask: RouteQuery,
    policy: Policy,
    now: Duration,
    rng: &mut impl Rng,
    fits: impl Fn(&Endpoint) -> bool,
) -> Option<EndpointId> {
    let rows = table.of_service(ask.service);
    let all = || rows.iter().map(|at| &table.rows[*at]);
    let candidates = || all().filter(|row| fits(row));
    let by_load = |a: &f64, b: &f64| a.total_cmp(b);
    match policy {
        Policy::Affinity if ask.prefix != 0 => {
            let (online, slots) = candidates().fold((1.0, 0.0), |(online, slots), row| {
                (online + f64::from(row.online()), slots + row.slots(now))
            });
            let bound = LOAD_BOUND * online / slots;
            candidates()
                .filter(|row| f64::from(row.online()) <= (bound * row.slots(now)).ceil())
                .max_by_key(|row| weight(ask.prefix, row.id))
                .map(|row| row.id)
        }
        Policy::LeastLoad => candidates()
            .min_by(|a, b| by_load(&a.load(now), &b.load(now)))
            .map(|row| row.id),
        Policy::TwoChoices | Policy::Affinity => {
            let count = candidates().count();
            if count == 0 {
                return None;
            }
            let first = rng.random_range(0..count);
            let second = rng.random_range(0..count);
            let (a, b) = (candidates().nth(first)?, candidates().nth(second)?);
            Some(if a.load(now) <= b.load(now) {
                a.id
            } else {
                b.id
            })
        }
    }
}
