//! Which endpoint a request goes to.

use std::time::Duration;

use rand::Rng;
use serde::Deserialize;

use super::endpoints::Endpoints;
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
pub struct Ask {
    pub service: ServiceId,
    /// Hash of the prompt's prefix; 0 when there is none.
    pub prefix: u64,
    /// Endpoint of an earlier try, passed over while there is another.
    pub avoid: Option<EndpointId>,
}

/// Why there is no endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum None_ {
    /// All usable ones are full.
    Full,
    /// None is usable.
    Away,
}

/// Chooses an endpoint: own failure domain first, others when it has none with room.
pub fn choose(
    table: &Endpoints,
    home: DomainId,
    ask: Ask,
    policy: Policy,
    now: Duration,
    rng: &mut impl Rng,
) -> Result<EndpointId, None_> {
    let own = pick(table, ask, policy, now, rng, |domain| domain == home);
    match own {
        Ok(found) => Ok(found),
        Err(own) => match pick(table, ask, policy, now, rng, |domain| domain != home) {
            Ok(found) => Ok(found),
            Err(None_::Full) => Err(None_::Full),
            Err(None_::Away) => Err(own),
        },
    }
}

fn pick(
    table: &Endpoints,
    ask: Ask,
    policy: Policy,
    now: Duration,
    rng: &mut impl Rng,
    within: impl Fn(DomainId) -> bool,
) -> Result<EndpointId, None_> {
    let rows = table.of_service(ask.service);
    let fits = |at: &usize, avoid: Option<EndpointId>| {
        let row = &table.rows[*at];
        within(row.declared.domain) && row.usable(now) && row.has_room(now) && avoid != Some(row.id)
    };
    let found = best(table, rows, ask, policy, now, rng, |at| fits(at, ask.avoid));
    if let Some(found) = found {
        return Ok(found);
    }
    // The endpoint that failed before is better than none.
    if let Some(again) = rows.iter().find(|at| fits(at, None)) {
        return Ok(table.rows[*again].id);
    }
    let usable = rows.iter().any(|at| {
        let row = &table.rows[*at];
        within(row.declared.domain) && row.usable(now)
    });
    Err(if usable { None_::Full } else { None_::Away })
}

fn best(
    table: &Endpoints,
    rows: &[usize],
    ask: Ask,
    policy: Policy,
    now: Duration,
    rng: &mut impl Rng,
    fits: impl Fn(&usize) -> bool,
) -> Option<EndpointId> {
    let candidates = || rows.iter().filter(|at| fits(at)).map(|at| &table.rows[*at]);
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
