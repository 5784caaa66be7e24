//! `play`: simulates a deployment's load on a model of its engines, to compare decision policies.

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command};
use serde_json::{json, Value};

use super::Outcome;
use crate::decide::routing::Policy;
use crate::model::engine::Spec;
use crate::model::fleet::{play, Plan};
use crate::model::load::Load;
use crate::model::outcome::Outcome as Played;

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
pub fn large() -> (Plan, Load) {
    let ms = Duration::from_millis;
    let plan = Plan {
        domains: 3,
        vms: 52,
        engines: 60,
        engine: Spec {
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
        near: ms(100),
        far: ms(500),
        delay: ms(2),
        loss: 0.002,
        policy: Policy::TwoChoices,
        turns: true,
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
    (plan, load)
}

/// A quarter of the large deployment, for 17 s.
pub fn quarter() -> (Plan, Load) {
    let (mut plan, mut load) = large();
    plan.vms = 12;
    plan.engines = 15;
    load.online_per_s /= 4.0;
    load.jobs_per_s /= 4.0;
    load.length = Duration::from_secs(17);
    (plan, load)
}

/// A variant of the decisions, as a change of the fleet.
struct Way {
    name: &'static str,
    change: fn(&mut Plan),
}

fn ways() -> [Way; 5] {
    let way = |name, change| Way { name, change };
    [
        way("as-built", |_| ()),
        way("without-turns", |plan| plan.turns = false),
        way("told-seldom", |plan| plan.near = Duration::from_millis(500)),
        way("least-load", |plan| plan.policy = Policy::LeastLoad),
        way("affinity", |plan| plan.policy = Policy::Affinity),
    ]
}

/// Simulates all seeds in parallel.
fn play_seeds(plan: &Plan, load: &Load) -> Vec<Played> {
    std::thread::scope(|scope| {
        let started: Vec<_> = (0..SEEDS)
            .map(|seed| scope.spawn(move || play(plan, load, seed)))
            .collect();
        let ended = started.into_iter();
        // A simulation that panics has printed its message, and is left out of the means.
        ended.filter_map(|play| play.join().ok()).collect()
    })
}

fn row(way: &str, part: f64, played: &[Played]) -> Value {
    let mean = |of: fn(&Played) -> f64| {
        let sum: f64 = played.iter().map(of).sum();
        sum / played.len().max(1) as f64
    };
    json!({
        "way": way,
        "load": part,
        "plays": played.len(),
        "online_in_time": mean(Played::online_share),
        "items_in_time": mean(Played::items_share),
        "first_p95_ms": mean(|one| one.first_p95_ms),
        "first_p99_ms": mean(|one| one.first_p99_ms),
        "items_stopped": mean(|one| one.items_stopped as f64),
        "refused_by_engines": mean(|one| one.refused_by_engines as f64),
        "slots_used": mean(|one| one.slots_used),
    })
}

/// Runs the benchmark.
pub fn run(matches: &ArgMatches) -> Outcome {
    let mut rows = Vec::new();
    for way in ways() {
        for part in LOADS {
            let (mut plan, mut load) = match matches.get_flag("large") {
                true => large(),
                false => quarter(),
            };
            load.online_per_s *= part;
            load.jobs_per_s *= part;
            (way.change)(&mut plan);
            rows.push(row(way.name, part, &play_seeds(&plan, &load)));
        }
    }
    println!("{}", serde_json::to_string_pretty(&rows)?);
    Ok(())
}
