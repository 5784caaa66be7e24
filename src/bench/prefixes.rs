//! `prefixes`: prefix cache hit rate and time to first token of each routing policy.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{ArgMatches, Command};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use strum::IntoEnumIterator;

use super::load::{self, ScheduledRequest, Times};
use super::BenchResult;
use crate::decide::routing::Policy;
use crate::standin::fleet::{Fleet, Plan, KEYS};

const REQUESTS: u32 = 900;
const REQUEST_GAP: Duration = Duration::from_millis(8);
const PREFIXES: u32 = 60;

/// The subcommand and its arguments.
pub fn usage() -> Command {
    Command::new("prefixes").about("Cache hits and first tokens of each way of routing")
}

/// Runs the benchmark.
pub fn run(_matches: &ArgMatches) -> BenchResult {
    let mut rows = Vec::new();
    for policy in Policy::iter() {
        let name: &'static str = policy.into();
        let behaviour = json!({
            "slots": 16, "step_us": 3000, "step_us_per_request": 200,
            "prefill_us_per_token": 60, "cached_prefixes": 12, "report_lag_ms": 500,
        });
        let plan = Plan {
            entries: 3,
            engines: 6,
            batch: false,
            behaviour,
            service: json!({ "initial_limit": 16 }),
            entry: json!({ "routing": name }),
            ..Plan::default()
        };
        let fleet = Fleet::start("prefixes", &plan)?;
        let targets: Vec<SocketAddr> = fleet.entries.iter().map(|entry| entry.address).collect();
        let mut rng = SmallRng::seed_from_u64(5);
        let requests = (0..REQUESTS).map(|at| {
            // Some prefixes are requested much more often than others.
            let number =
                PREFIXES - f64::from(rng.random_range(0..PREFIXES * PREFIXES)).sqrt() as u32;
            let prompt = format!("prefix {number} {}", "of a long prompt ".repeat(60));
            ScheduledRequest {
                at: REQUEST_GAP * at,
                target: targets[at as usize % targets.len()],
                key: KEYS[0].1.into(),
                body: load::chat(&prompt, 8, true),
                stream: true,
                attempt: String::new(),
            }
        });
        let samples = load::run(requests.collect(), 300);
        let sum = |field: &str| -> f64 {
            fleet
                .engines
                .iter()
                .filter_map(|engine| engine.stats()[field].as_f64())
                .sum()
        };
        let (hits, misses) = (sum("prefix_hits"), sum("prefix_misses"));
        let good = || samples.iter().filter(|s| s.status == 200 && s.complete);
        let times = Times::of(good().map(|s| s.first_token));
        let row = json!({
            "policy": name,
            "hit_rate": hits / (hits + misses),
            "answered": good().count(),
            "p50_ms": times.ms(0.5),
            "p99_ms": times.ms(0.99),
        });
        eprintln!("{row}");
        rows.push(row);
    }
    println!("{}", serde_json::to_string_pretty(&rows)?);
    Ok(())
}
