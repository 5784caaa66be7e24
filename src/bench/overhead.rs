//! `overhead`: latency that the entry process adds to direct requests to an engine, and its use of
//! processor time and memory.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use clap::{Arg, ArgMatches, Command};
use serde_json::{json, Value};

use super::load::{self, Sample, ScheduledRequest, Times};
use super::BenchResult;
use crate::clock;
use crate::metrics::resident_bytes;
use crate::standin::fleet::{Fleet, Plan, KEYS};

const RUN_TIME: Duration = Duration::from_secs(6);
const THREADS: usize = 64;
const MIB: f64 = 1024.0 * 1024.0;

/// The subcommand and its arguments.
pub fn usage() -> Command {
    let rate = Arg::new("rate")
        .long("rate")
        .default_value("500")
        .value_parser(clap::value_parser!(u64))
        .help("Requests a second");
    Command::new("overhead")
        .about("Latency added by the entry process, and its cost")
        .arg(rate)
}

fn requests(target: SocketAddr, rate: u64, offset: u64, tag: &str) -> Vec<ScheduledRequest> {
    let gap = Duration::from_secs(1) * 2 / rate as u32;
    let count = (RUN_TIME.as_secs_f64() / gap.as_secs_f64()) as u64;
    (0..count)
        .map(|at| ScheduledRequest {
            at: gap * at as u32 + gap / 2 * offset as u32,
            target,
            key: KEYS[0].1.into(),
            body: load::chat(&format!("question {}", at % 8), 1, false),
            stream: false,
            attempt: format!("{tag}-{at}"),
        })
        .collect()
}

fn processor_ms(fleet: &Fleet) -> u64 {
    fleet.entries[0].page("/dump")["processor_ms"]
        .as_u64()
        .unwrap_or(0)
}

fn quantiles(samples: &[Sample]) -> Value {
    let times = Times::of(samples.iter().filter(|s| s.status == 200).map(|s| s.total));
    json!({ "count": times.count(), "p50_ms": times.ms(0.5), "p99_ms": times.ms(0.99) })
}

/// Runs the benchmark.
pub fn run(matches: &ArgMatches) -> BenchResult {
    let rate = matches.get_one::<u64>("rate").copied().unwrap_or(500);
    let behaviour = json!({
        "slots": 64, "step_us": 200, "step_us_per_request": 0, "prefill_us_per_token": 0,
    });
    let plan = Plan {
        engines: 4,
        behaviour,
        batch: false,
        service: json!({ "initial_limit": 256 }),
        ..Plan::default()
    };
    let fleet = Fleet::start("overhead", &plan)?;
    let entry = fleet.entries[0].address;
    load::run(requests(entry, 100, 0, "warm"), THREADS);
    // Half of the requests go directly to an engine and half through the entry process,
    // alternately.
    let before_ms = processor_ms(&fleet);
    let mut all = requests(entry, rate, 0, "entry");
    for (at, request) in requests(entry, rate, 1, "direct").into_iter().enumerate() {
        all.push(ScheduledRequest {
            target: fleet.engines[at % fleet.engines.len()].address,
            ..request
        });
    }
    let targets: Vec<SocketAddr> = {
        let mut sorted = all.clone();
        sorted.sort_by_key(|request| request.at);
        sorted.iter().map(|request| request.target).collect()
    };
    let samples = load::run(all, THREADS);
    let spent_ms = processor_ms(&fleet) - before_ms;
    let samples_of = |through: bool| -> Vec<Sample> {
        let pairs = samples.iter().zip(&targets);
        pairs
            .filter(|(_, t)| (**t == entry) == through)
            .map(|(s, _)| s.clone())
            .collect()
    };
    let (direct, through) = (samples_of(false), samples_of(true));
    let (direct, through) = (quantiles(&direct), quantiles(&through));
    let added = |field: &str| {
        through[field].as_f64().unwrap_or(0.0) - direct[field].as_f64().unwrap_or(0.0)
    };
    let requests = through["count"].as_u64().unwrap_or(1);
    let per_core = requests as f64 / (spent_ms as f64 / 1000.0);
    let (idle_mib, streaming_mib) = memory(&fleet)?;
    let report = json!({
        "rate": rate,
        "direct": direct,
        "through": through,
        "added_p50_ms": added("p50_ms"),
        "added_p99_ms": added("p99_ms"),
        "requests_per_core_second": per_core,
        "resident_mib_with_1000_idle": idle_mib,
        "resident_mib_with_1000_idle_and_500_streams": streaming_mib,
    });
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}

/// Resident memory in MiB with 1,000 idle connections, and with 500 streams in addition.
fn memory(fleet: &Fleet) -> Result<(f64, f64), Box<dyn std::error::Error>> {
    let entry = fleet.entries[0].address;
    let idle: Result<Vec<TcpStream>, _> = (0..1000).map(|_| TcpStream::connect(entry)).collect();
    let idle = idle?;
    clock::sleep(Duration::from_millis(500));
    let pid = fleet.entries[0].pid();
    let idle_mib = resident_bytes(pid) as f64 / MIB;
    for engine in &fleet.engines {
        engine.control(json!({ "slots": 256, "step_us": 40_000 }));
    }
    let streams = (0..500).map(|at| ScheduledRequest {
        at: Duration::from_millis(at * 4),
        target: entry,
        key: KEYS[0].1.into(),
        body: load::chat(&format!("stream {at}"), 100, true),
        stream: true,
        attempt: String::new(),
    });
    let streams: Vec<ScheduledRequest> = streams.collect();
    let running = std::thread::spawn(move || load::run(streams, 500));
    clock::sleep(Duration::from_millis(3_000));
    let streaming_mib = resident_bytes(pid) as f64 / MIB;
    let samples = running.join().map_err(|_| "the load failed")?;
    let whole = samples
        .iter()
        .filter(|sample| sample.complete && sample.status == 200)
        .count();
    eprintln!("streams whole: {whole} of {}", samples.len());
    drop(idle);
    Ok((idle_mib, streaming_mib))
}
