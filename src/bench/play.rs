//! `play`: simulates a deployment's load on a model of its engines, to compare decision policies.

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command};
use serde_json::{json, Value};

use super::BenchResult;
use crate::decide::routing::Policy;
use crate::model::engine::EngineSpec;
use crate::model::fleet::{simulate, FleetSpec};
use crate::model::load::Load;
use crate::model::outcome::Outcome as SimulationOutcome;

const SEEDS: u64 = 3;
/// Factors of the deployment's usual load.
const LOADS: [f64; 8] = [0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.1, 1.2];

/// The subcommand and its arguments.
pub fn usage() -> Command {
    let large = Arg::new("large")
        .long("large")
        .help("The whole deployment in place of a quarter of it; takes minutes")
        .action(ArgAction::SetTrue);
    Command::new("play")
        .about("Plays a deployment's load against a model of its engines, one row a way and load")
        .arg(large)
}

/// A deployment of 52 VMs and 60 engines, with bursts of 2.4 s and jobs of ten items.
pub fn large_fleet() -> (FleetSpec, Load) {
    let ms = Duration::from_millis;
    let fleet = FleetSpec {
        domains: 3,
        vms: 52,
        engines: 60,
        engine: EngineSpec {
            slots: 7,
            queue: 24,
            step_ms: 2.77,
            step_ms_per_run: 0.0145,
            context_ms_per_k: 0.00762,
            prefill_tokens_per_ms: 85.2,
            chunk_tokens: 1024,
            stride_tokens: 12,
            memory_tokens: 117_808,
        },
        local_interval: ms(100),
        remote_interval: ms(500),
        delay: ms(2),
        loss: 0.002,
        policy: Policy::TwoChoices,
        slot_grants: true,
    };
    let load = Load {
        length: Duration::from_secs(41),
        online_per_s: 317.0,
        steps: vec![(ms(3400), 0.383), (ms(2400), 1.87)],
        online_tokens: 246.0,
        prompt_tokens: 250,
        subjects: 962,
        shared_tokens: 200,
        jobs_per_s: 3.94,
        items: 10.0,
        item_tokens: 1692.0,
        due: Duration::from_secs(18),
        goal: ms(300),
        deadline: ms(5000),
    };
    (fleet, load)
}

/// A quarter of the large deployment, for 17 s.
pub fn quarter_fleet() -> (FleetSpec, Load) {
    let (mut fleet, mut load) = large_fleet();
    fleet.vms = 12;
    fleet.engines = 15;
    load.online_per_s /= 4.0;
    load.jobs_per_s /= 4.0;
    load.length = Duration::from_secs(17);
    (fleet, load)
}

/// A variant of the decisions, as a change of the fleet.
struct Variant {
    name: &'static str,
    change: fn(&mut FleetSpec),
}

fn variants() -> [Variant; 5] {
    let variant = |name, change| Variant { name, change };
    [
        variant("as-built", |_| ()),
        variant("without-turns", |fleet| fleet.slot_grants = false),
        variant("told-seldom", |fleet| {
            fleet.local_interval = Duration::from_millis(500)
        }),
        variant("least-load", |fleet| fleet.policy = Policy::LeastLoad),
        variant("affinity", |fleet| fleet.policy = Policy::Affinity),
    ]
}

/// Simulates all seeds in parallel.
fn simulate_seeds(fleet: &FleetSpec, load: &Load) -> Vec<SimulationOutcome> {
    std::thread::scope(|scope| {
        let started: Vec<_> = (0..SEEDS)
            .map(|seed| scope.spawn(move || simulate(fleet, load, seed)))
            .collect();
        let ended = started.into_iter();
        // A simulation that panics has printed its message, and is left out of the means.
        ended.filter_map(|thread| thread.join().ok()).collect()
    })
}

fn row(variant: &str, factor: f64, outcomes: &[SimulationOutcome]) -> Value {
    let mean = |of: fn(&SimulationOutcome) -> f64| {
        let sum: f64 = outcomes.iter().map(of).sum();
        sum / outcomes.len().max(1) as f64
    };
    json!({
        "way": variant,
        "load": factor,
        "plays": outcomes.len(),
        "online_in_time": mean(SimulationOutcome::online_share),
        "items_in_time": mean(SimulationOutcome::items_share),
        "first_p95_ms": mean(|outcome| outcome.first_p95_ms),
        "first_p99_ms": mean(|outcome| outcome.first_p99_ms),
        "items_stopped": mean(|outcome| outcome.items_stopped as f64),
        "refused_by_engines": mean(|outcome| outcome.refused_by_engines as f64),
        "slots_used": mean(|outcome| outcome.slots_used),
    })
}

/// Runs the benchmark.
pub fn run(matches: &ArgMatches) -> BenchResult {
    let mut rows = Vec::new();
    for variant in variants() {
        for factor in LOADS {
            let (mut fleet, mut load) = match matches.get_flag("large") {
                true => large_fleet(),
                false => quarter_fleet(),
            };
            load.online_per_s *= factor;
            load.jobs_per_s *= factor;
            (variant.change)(&mut fleet);
            rows.push(row(variant.name, factor, &simulate_seeds(&fleet, &load)));
        }
    }
    println!("{}", serde_json::to_string_pretty(&rows)?);
    Ok(())
}
