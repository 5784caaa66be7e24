//! `goodput`: requests answered in time when more arrive than the engines can serve.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{ArgMatches, Command};
use serde_json::json;

use super::load::{self, Sample, ScheduledRequest, Times};
use super::BenchResult;
use crate::standin::fleet::{Fleet, Plan, KEYS};

const RUN_TIME: Duration = Duration::from_secs(6);
const TOKENS: u64 = 10;
const ENGINES: usize = 2;
const SLOTS: u32 = 8;
/// Duration of a step; the capacity in requests per second follows from it with all slots full.
const STEP_US: u64 = 10_000;
const PROMPT_REFUSAL_MAX: Duration = Duration::from_millis(10);

/// The subcommand and its arguments.
pub fn usage() -> Command {
    Command::new("goodput").about("Answers in time at 0.5 to 3 times what can be done")
}

fn requests(
    targets: &[SocketAddr],
    rate: f64,
    key: &str,
    offset: Duration,
) -> Vec<ScheduledRequest> {
    let gap = Duration::from_secs_f64(1.0 / rate);
    let count = (RUN_TIME.as_secs_f64() * rate) as u32;
    let one = |at: u32| ScheduledRequest {
        at: gap * at + offset,
        target: targets[at as usize % targets.len()],
        key: key.into(),
        body: load::chat(&format!("question {}", at % 8), TOKENS, true),
        stream: true,
        attempt: String::new(),
    };
    (0..count).map(one).collect()
}

/// Runs the benchmark.
pub fn run(_matches: &ArgMatches) -> BenchResult {
    let capacity = f64::from(SLOTS) * ENGINES as f64 / (TOKENS as f64 * STEP_US as f64 / 1e6);
    let mut rows = Vec::new();
    for factor in [0.5, 0.9, 1.0, 1.5, 2.0, 3.0] {
        let behaviour = json!({ "slots": SLOTS, "step_us": STEP_US, "step_us_per_request": 0 });
        let service = json!({ "initial_limit": SLOTS, "first_token_ms": 300, "queue_limit": 64 });
        let plan = Plan {
            entries: 2,
            engines: ENGINES,
            batch: false,
            behaviour,
            service,
            ..Plan::default()
        };
        let fleet = Fleet::start("goodput", &plan)?;
        let targets: Vec<SocketAddr> = fleet.entries.iter().map(|entry| entry.address).collect();
        // The first workspace stays within its share, the second one sends all other requests.
        let small = capacity * 0.2;
        let mut all = requests(&targets, small, KEYS[0].1, Duration::ZERO);
        let rest = capacity * factor - small;
        all.extend(requests(
            &targets,
            rest,
            KEYS[1].1,
            Duration::from_millis(1),
        ));
        let asked = all.len();
        let samples = load::run(all, 700);
        let goal = Duration::from_millis(580);
        let good = |s: &&Sample| s.status == 200 && s.complete && s.first_token <= goal;
        let refused: Vec<&Sample> = samples.iter().filter(|s| s.status != 200).collect();
        let at_once = refused
            .iter()
            .filter(|s| s.total <= PROMPT_REFUSAL_MAX)
            .count();
        let times = Times::of(
            samples
                .iter()
                .filter(|s| s.status == 200)
                .map(|s| s.first_token),
        );
        let of = |key: &str| samples.iter().filter(|s| s.key == key).count().max(1);
        let good_of = |key: &str| samples.iter().filter(good).filter(|s| s.key == key).count();
        let row = json!({
            "asked_of_capacity": factor,
            "asked": asked,
            "good_per_s": samples.iter().filter(good).count() as f64 / RUN_TIME.as_secs_f64(),
            "capacity_per_s": capacity,
            "refused": refused.len(),
            "refused_within_10_ms": at_once as f64 / refused.len().max(1) as f64,
            "accepted_p99_first_token_ms": times.ms(0.99),
            "good_share_of_small_workspace": good_of(KEYS[0].1) as f64 / of(KEYS[0].1) as f64,
            "good_share_of_large_workspace": good_of(KEYS[1].1) as f64 / of(KEYS[1].1) as f64,
        });
        eprintln!("{row}");
        rows.push(row);
    }
    println!("{}", serde_json::to_string_pretty(&rows)?);
    Ok(())
}
