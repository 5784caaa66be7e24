//! `demo`: two failure domains on loopback, one online request, and a batch job during a burst.

use std::error::Error;
use std::path::PathBuf;
use std::process::Command as Program;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command};
use serde_json::json;
use signal_hook::consts::{SIGINT, SIGTERM};

use super::load::{self, Sample, ScheduledRequest, Times};
use super::BenchResult;
use crate::clock;
use crate::standin::fleet::{chat_lines, Fleet, Plan, KEYS};

const BURST: Duration = Duration::from_secs(4);
const BURST_GAP: Duration = Duration::from_millis(25);
const JOB_ITEMS: usize = 500;
const JOB_TOKENS: u64 = 16;
const JOB_TIMEOUT: Duration = Duration::from_secs(120);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The subcommand and its arguments.
pub fn usage() -> Command {
    let hold = Arg::new("hold")
        .long("hold")
        .action(ArgAction::SetTrue)
        .help("Leave everything up until interrupted");
    Command::new("demo")
        .about("Shows the system at work on loopback")
        .arg(hold)
}

/// Runs the demo.
pub fn run(matches: &ArgMatches) -> BenchResult {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    let config = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("demo/config");
    let plan = Plan {
        failure_domains: 2,
        entries: 2,
        engines: 2,
        config: Some(config),
        ..Plan::default()
    };
    let fleet = Fleet::start("demo", &plan)?;
    print_addresses(&fleet);
    apply(&fleet)?;
    println!("ready");
    if matches.get_flag("hold") {
        while !stop.load(Ordering::SeqCst) {
            clock::sleep(POLL_INTERVAL);
        }
        return Ok(());
    }
    ask_question(&fleet)?;
    job_in_burst(&fleet)
}

fn print_addresses(fleet: &Fleet) {
    for entry in &fleet.entries {
        println!("entry {} http://{}", entry.name, entry.address);
    }
    for process in fleet.processes() {
        if let Some(address) = process.operators {
            println!("operators {} http://{address}", process.name);
        }
    }
    println!("platform http://{}", fleet.platform);
    for process in fleet.processes() {
        println!("pid {} {}", process.name, process.pid());
    }
    for (workspace, key) in KEYS {
        println!("key {workspace} {key}");
    }
    println!("data {}", fleet.folder.display());
}

/// Applies the configuration folder again with `bramleyctl`, to show its output.
fn apply(fleet: &Fleet) -> BenchResult {
    let mut program = std::env::current_exe()?;
    program.set_file_name("bramleyctl");
    let mut command = Program::new(program);
    command.args([
        "apply",
        "--wait",
        "--by",
        "demo",
        "--platform",
        &fleet.platform.to_string(),
    ]);
    for entry in &fleet.entries {
        let address = entry
            .operators
            .ok_or("an entry without operators' address")?;
        command.args(["--entry", &address.to_string()]);
    }
    let output = command.arg(fleet.folder.join("config")).output()?;
    print!("{}", String::from_utf8_lossy(&output.stdout));
    match output.status.success() {
        true => Ok(()),
        false => Err(String::from_utf8_lossy(&output.stderr).into()),
    }
}

fn ask_question(fleet: &Fleet) -> BenchResult {
    let body = load::chat("May I put four tables on the pavement?", 12, true);
    let answer = fleet.ask(0, "POST", "/v1/chat/completions", &body)?;
    println!("question: May I put four tables on the pavement?");
    print!("answer:");
    for line in answer.text().lines() {
        let Some(data) = line.strip_prefix("data: {") else {
            continue;
        };
        let event: serde_json::Value = serde_json::from_str(&format!("{{{data}"))?;
        print!(
            " {}",
            event["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default()
                .trim()
        );
    }
    println!();
    match answer.status == 200 && !answer.cut && answer.text().contains("data: [DONE]") {
        true => Ok(()),
        false => Err("the stream was not whole".into()),
    }
}

fn burst(fleet: &Fleet) -> Vec<Sample> {
    let count = (BURST.as_millis() / BURST_GAP.as_millis()) as u32;
    let requests = (0..count).map(|at| ScheduledRequest {
        at: BURST_GAP * at,
        target: fleet.entries[at as usize % fleet.entries.len()].address,
        key: KEYS[0].1.into(),
        body: load::chat(&format!("counter question {}", at % 16), 8, true),
        stream: true,
        attempt: String::new(),
    });
    load::run(requests.collect(), 64)
}

fn print_times(name: &str, samples: &[Sample]) -> Result<(), Box<dyn Error>> {
    let good = || {
        samples
            .iter()
            .filter(|sample| sample.status == 200 && sample.complete)
    };
    let times = Times::of(good().map(|sample| sample.first_token));
    println!(
        "online {name}: {} of {} answered whole, time to first token p50 {:.1} ms, p99 {:.1} ms",
        good().count(),
        samples.len(),
        times.ms(0.5),
        times.ms(0.99),
    );
    match good().count() == samples.len() {
        true => Ok(()),
        false => Err("an online request was not answered whole".into()),
    }
}

fn job_in_burst(fleet: &Fleet) -> BenchResult {
    print_times("without batch", &burst(fleet))?;
    let started = clock::now();
    let job = fleet.send_job(0, &chat_lines(JOB_ITEMS, JOB_TOKENS))?;
    let samples = thread::scope(|scope| {
        let burst = scope.spawn(|| burst(fleet));
        let job_state = fleet.wait_job(0, &job, JOB_TIMEOUT);
        let took = clock::now().saturating_sub(started);
        (burst.join(), job_state, took)
    });
    let (burst, job_state, took) = samples;
    print_times("with batch", &burst.map_err(|_| "the load failed")?)?;
    let rate = JOB_ITEMS as f64 / took.as_secs_f64();
    println!(
        "job {job}: {} {}",
        job_state["status"], job_state["request_counts"]
    );
    println!(
        "batch: {JOB_ITEMS} items in {:.2} s, {rate:.0} items/s",
        took.as_secs_f64()
    );
    let wanted = json!({ "total": JOB_ITEMS, "completed": JOB_ITEMS, "failed": 0 });
    match job_state["status"] == "completed" && job_state["request_counts"] == wanted {
        true => Ok(()),
        false => Err("the job did not complete".into()),
    }
}
