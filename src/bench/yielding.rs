//! `yielding`: batch throughput against the added latency of online requests, within one run.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command};
use serde_json::{json, Value};

use super::load::{self, ScheduledRequest, Times};
use super::BenchResult;
use crate::clock;
use crate::engine::ATTEMPT_HEADER;
use crate::standin::fleet::{chat_lines, Fleet, Plan, KEYS};

const ENGINES: usize = 2;
const SLOTS: u32 = 16;
const ITEM_TOKENS: u64 = 24;
const ONLINE_TOKENS: u64 = 16;
/// The second half of each period is a burst of online requests, the first half has none.
const PERIOD: Duration = Duration::from_secs(6);
const PERIODS: u32 = 3;
const BURST_GAP: Duration = Duration::from_millis(30);
const JOBS: usize = 3;
/// Small enough for the store to hold the content inline.
const JOB_ITEMS: usize = 2_400;

/// The subcommand and its arguments.
pub fn usage() -> Command {
    let weights = Arg::new("weights")
        .long("weights")
        .value_delimiter(',')
        .value_parser(clap::value_parser!(f64))
        .default_values(["0", "0.5", "0.8", "0.9", "1"])
        .help("Values of the knob to try");
    Command::new("yielding")
        .about("Batch throughput against harm to online requests")
        .arg(weights)
}

/// A variant of running batch items beside online requests.
enum Variant {
    NoBatch,
    /// Directly at the engines, with this number of concurrent items at each.
    Fixed(u32),
    /// Through the system, with this value of `online_weight`.
    Weight(f64),
}

fn plan(weight: f64) -> Plan {
    Plan {
        engines: ENGINES,
        entries: 2,
        behaviour: json!({ "slots": SLOTS, "step_us": 4000, "step_us_per_request": 400 }),
        service: json!({ "initial_limit": SLOTS, "online_weight": weight }),
        ..Plan::default()
    }
}

fn online_bursts(targets: &[SocketAddr]) -> Vec<ScheduledRequest> {
    let burst = PERIOD / 2;
    let count = (burst.as_millis() / BURST_GAP.as_millis()) as u32;
    let mut requests = Vec::new();
    for period in 0..PERIODS {
        for at in 0..count {
            let number = period * count + at;
            requests.push(ScheduledRequest {
                at: PERIOD * period + PERIOD / 2 + BURST_GAP * at,
                target: targets[number as usize % targets.len()],
                key: KEYS[0].1.into(),
                body: load::chat(&format!("question {}", number % 16), ONLINE_TOKENS, true),
                stream: true,
                attempt: format!("online-{number}"),
            });
        }
    }
    requests
}

/// Batch items per second on otherwise idle engines with all slots full.
fn idle_rate(fleet: &Fleet) -> f64 {
    let done = run_fixed(fleet, SLOTS, Duration::from_secs(4), || {
        clock::sleep(Duration::from_secs(4));
    });
    done as f64 / 4.0
}

/// Keeps `window` items running at each engine while `work` runs; returns the number that
/// completed.
fn run_fixed(fleet: &Fleet, window: u32, longest: Duration, work: impl FnOnce()) -> u64 {
    let stop = Arc::new(AtomicBool::new(false));
    let done = Arc::new(AtomicU64::new(0));
    let until = clock::now() + longest + Duration::from_secs(60);
    let mut workers = Vec::new();
    for engine in &fleet.engines {
        for number in 0..window {
            let (stop, done, target) = (stop.clone(), done.clone(), engine.address);
            workers.push(thread::spawn(move || {
                let agent = ureq::AgentBuilder::new().build();
                let url = format!("http://{target}/v1/chat/completions");
                let mut at = 0;
                while !stop.load(Ordering::SeqCst) && clock::now() < until {
                    at += 1;
                    let body = load::chat(&format!("objection {number} {at}"), ITEM_TOKENS, false);
                    let attempt = format!("fixed-{target}-{number}-{at}");
                    let sent = agent
                        .post(&url)
                        .set(ATTEMPT_HEADER, &attempt)
                        .send_string(&body);
                    if sent.is_ok() && !stop.load(Ordering::SeqCst) {
                        done.fetch_add(1, Ordering::SeqCst);
                    }
                }
            }));
        }
    }
    work();
    stop.store(true, Ordering::SeqCst);
    for worker in workers {
        let _ = worker.join();
    }
    done.load(Ordering::SeqCst)
}

fn done_by_system(fleet: &Fleet) -> u64 {
    let count = |process: &crate::standin::fleet::Process| {
        process.page("/dump")["state"]["totals"]["done"]
            .as_u64()
            .unwrap_or(0)
    };
    fleet.batches.iter().map(count).sum()
}

fn measure(variant: &Variant, name: &str) -> Result<Value, Box<dyn std::error::Error>> {
    let weight = if let Variant::Weight(weight) = variant {
        *weight
    } else {
        1.0
    };
    let fleet = Fleet::start(&format!("yielding-{name}"), &plan(weight))?;
    let targets: Vec<SocketAddr> = fleet.entries.iter().map(|entry| entry.address).collect();
    let idle = idle_rate(&fleet);
    let length = PERIOD * PERIODS;
    let mut samples = Vec::new();
    let mut run = || samples = load::run(online_bursts(&targets), 128);
    let done = match variant {
        Variant::NoBatch => {
            run();
            0
        }
        Variant::Fixed(window) => run_fixed(&fleet, *window, length, run),
        Variant::Weight(_) => {
            // More jobs than fit into the run, so that the system never runs out of batch items.
            for job in 0..JOBS {
                // A different number of lines is different content, so each submission is a job of
                // its own.
                fleet.send_job(0, &chat_lines(JOB_ITEMS - job, ITEM_TOKENS))?;
            }
            let before = done_by_system(&fleet);
            run();
            done_by_system(&fleet) - before
        }
    };
    let good = || {
        samples
            .iter()
            .filter(|sample| sample.status == 200 && sample.complete)
    };
    let times = Times::of(good().map(|sample| sample.first_token));
    // Idle engine capacity: all of it in the first half of each period, and in bursts what online
    // requests leave.
    Ok(json!({
        "way": name,
        "batch_items_per_s": done as f64 / length.as_secs_f64(),
        "idle_engines_items_per_s": idle,
        "share_of_idle_engines": done as f64 / length.as_secs_f64() / idle,
        "online": good().count(),
        "online_not_whole": samples.len() - good().count(),
        "p50_ms": times.ms(0.5),
        "p95_ms": times.ms(0.95),
        "p99_ms": times.ms(0.99),
    }))
}

/// Runs the benchmark.
pub fn run(matches: &ArgMatches) -> BenchResult {
    let weights = matches
        .get_many::<f64>("weights")
        .into_iter()
        .flatten()
        .copied();
    let mut variants = vec![
        (Variant::NoBatch, "no-batch".to_owned()),
        (Variant::Fixed(SLOTS), format!("fixed-{SLOTS}")),
        (Variant::Fixed(SLOTS / 2), format!("fixed-{}", SLOTS / 2)),
    ];
    variants.extend(weights.map(|weight| (Variant::Weight(weight), format!("weight-{weight}"))));
    let mut rows = Vec::new();
    for (variant, name) in &variants {
        let row = measure(variant, name)?;
        eprintln!("{row}");
        rows.push(row);
    }
    println!("{}", serde_json::to_string_pretty(&rows)?);
    Ok(())
}
