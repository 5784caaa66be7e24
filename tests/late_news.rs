//! Many VMs choose among the same endpoints with outdated reports of each other's choices.

use std::time::Duration;

use bramleyseam::decide::endpoints::Endpoints;
use bramleyseam::decide::routing::{choose, Policy, RouteQuery};
use bramleyseam::standin::table::endpoint_configs;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SERVICE: u64 = 1;
const LOCAL_DOMAIN: u64 = 1;
const VMS: usize = 54;
const ENDPOINTS: usize = 32;
const SLOTS: usize = 7;
/// Time for which a request holds its slot.
const SLOT_HOLD_MS: u64 = 720;
/// A burst that uses 95% of the slots.
const REQUESTS_PER_S: f64 = 295.0;
const BURST_DURATION_MS: u64 = 2400;
/// Interval at which each VM receives the counts of the others.
const SUMMARY_INTERVAL_MS: u64 = 100;
/// Time until a VM's counts reach its delegate.
const HEARTBEAT_DELAY_MS: u64 = 50;
/// Latest first token that is still in time for the caller.
const FIRST_TOKEN_GOAL_MS: u64 = 300;

/// A request at an engine.
#[derive(Clone)]
struct Request {
    sent: u64,
    ends: u64,
    vm: usize,
}

/// Requests at one engine, which admits in order of arrival.
#[derive(Clone, Default)]
struct Engine {
    requests: Vec<Request>,
}

impl Engine {
    /// Admits a request; returns how long it waits for its slot.
    fn admit(&mut self, now: u64, vm: usize) -> u64 {
        let running = self.requests.iter().filter(|request| request.ends > now);
        let mut busy: Vec<u64> = running.map(|request| request.ends).collect();
        busy.sort_unstable_by(|a, b| b.cmp(a));
        let starts = busy.get(SLOTS - 1).copied().unwrap_or(now);
        let ends = starts + SLOT_HOLD_MS;
        self.requests.push(Request {
            sent: now,
            ends,
            vm,
        });
        starts - now
    }

    /// Requests that were there at `at` and have not ended by then.
    fn online(&self, at: u64, is_counted: impl Fn(usize) -> bool) -> u32 {
        let counted =
            |request: &&Request| request.sent <= at && request.ends > at && is_counted(request.vm);
        self.requests.iter().filter(counted).count() as u32
    }
}

/// Share of a burst's requests that start in time.
fn in_time_share(counts_lag: bool, seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut engines = vec![Engine::default(); ENDPOINTS];
    let table = || {
        let mut table = Endpoints::default();
        table.counts_lag = counts_lag;
        table.configure(endpoint_configs(ENDPOINTS, SERVICE, SLOTS as f64, |_| {
            LOCAL_DOMAIN
        }));
        table
    };
    let mut tables: Vec<Endpoints> = (0..VMS).map(|_| table()).collect();
    let (mut requests, mut started) = (0, 0);
    for now in 0..BURST_DURATION_MS {
        for (vm, table) in tables.iter_mut().enumerate() {
            for (engine, row) in engines.iter().zip(&mut table.rows) {
                row.online_here = engine.online(now, |of| of == vm);
                // A summary round of a delegate, with the counts that it received by then.
                if now.is_multiple_of(SUMMARY_INTERVAL_MS) {
                    let reported_at = now.saturating_sub(HEARTBEAT_DELAY_MS);
                    row.online_elsewhere = engine.online(reported_at, |of| of != vm);
                    row.remote_vms = row.online_elsewhere;
                }
            }
        }
        if !rng.random_bool(REQUESTS_PER_S / 1000.0) {
            continue;
        }
        let vm = rng.random_range(0..VMS);
        let query = RouteQuery {
            service: SERVICE,
            prefix: 0,
            avoid: None,
            software: None,
        };
        requests += 1;
        let policy = Policy::TwoChoices;
        let choice = choose(
            &tables[vm],
            LOCAL_DOMAIN,
            query,
            policy,
            Duration::from_millis(now),
            &mut rng,
        );
        if let Ok(id) = choice {
            let at = tables[vm].rows.iter().position(|row| row.id == id).unwrap();
            started += u64::from(engines[at].admit(now, vm) <= FIRST_TOKEN_GOAL_MS);
        }
    }
    started as f64 / requests as f64
}

// Guards against requests that wait half a second although other engines have free slots: few
// engines have a free slot by the last report, and all VMs send their requests to these. Choosing
// by load among all local engines spreads the requests.
#[test]
fn news_is_late() {
    let mean = |counts_lag| {
        (1..=5)
            .map(|seed| in_time_share(counts_lag, seed))
            .sum::<f64>()
            / 5.0
    };
    let (slots_first, by_load) = (mean(false), mean(true));
    println!("in time: {slots_first:.3} with free slots first, {by_load:.3} by load");
    assert!(by_load > slots_first);
    assert!(by_load >= 0.9);
}
