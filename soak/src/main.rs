//! `bramley-soak`: fault injection with random faults, one run per seed.

use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use bramleyseam_soak::plan::{Fault, Size};
use bramleyseam_soak::{run, Report};
use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use strum::IntoEnumIterator;

fn usage() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let number = Arg::new(name).long(name).help(help);
        number
            .default_value(default)
            .value_parser(value_parser!(u64))
    };
    let program = Arg::new("program")
        .help("The program that serves")
        .default_value("target/release/bramley-platform");
    let only = Arg::new("only")
        .long("only")
        .help("Kinds of faults that are drawn from, as they are printed; all without it")
        .value_delimiter(',')
        .value_parser(|name: &str| name.parse::<Fault>());
    let fatal_prompts = Arg::new("fatal_prompts")
        .long("fatal-prompts")
        .help("Some callers send prompts with a segment that ends endpoints")
        .action(ArgAction::SetTrue);
    Command::new("bramley-soak")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Disturbs real processes from outside, and checks what callers see")
        .arg(program)
        .arg(number("seed", "1", "First seed"))
        .arg(number("seeds", "10", "Number of seeds"))
        .arg(number("jobs", "3", "Seeds that are played side by side"))
        .arg(number("vms", "3", "Processes of one seed"))
        .arg(number("endpoints", "3", "Endpoints of one seed"))
        .arg(number("seconds", "5", "Time in which faults begin"))
        .arg(number("faults", "6", "Faults of one seed"))
        .arg(number(
            "event-ms",
            "25",
            "Pause between two events of an answer, in milliseconds",
        ))
        .arg(number("items", "8", "Most items of a job"))
        .arg(only)
        .arg(fatal_prompts)
}

fn main() -> ExitCode {
    let matches = usage().get_matches();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(0);
    let first = number("seed");
    let next = AtomicU64::new(first);
    let failed = AtomicU64::new(0);
    thread::scope(|scope| {
        for _ in 0..number("jobs") {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::SeqCst);
                if seed >= first + number("seeds") {
                    return;
                }
                if !run_seed(&matches, seed) {
                    failed.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
    });
    let failed = failed.load(Ordering::SeqCst);
    println!("{} seeds, {failed} with something broken", number("seeds"));
    match failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// Runs one seed and prints its result. Returns true when all invariants held.
fn run_seed(matches: &ArgMatches, seed: u64) -> bool {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(0);
    let size = Size {
        vms: number("vms") as usize,
        endpoints: number("endpoints") as usize,
        length: Duration::from_secs(number("seconds")),
        faults: number("faults") as usize,
        kinds: kinds(matches),
        fatal_prompts: matches.get_flag("fatal_prompts"),
        event_interval: Duration::from_millis(number("event-ms")),
        items_max: number("items") as usize,
    };
    let program = matches.get_one::<String>("program");
    match run(program.map_or("", String::as_str), seed, &size) {
        Ok(report) => print_report(&report),
        Err(error) => {
            println!("seed {seed}: can't be played: {error}");
            false
        }
    }
}

fn kinds(matches: &ArgMatches) -> Vec<Fault> {
    match matches.get_many::<Fault>("only") {
        Some(named) => named.copied().collect(),
        None => Fault::iter().collect(),
    }
}

fn print_report(report: &Report) -> bool {
    let Report {
        seed, asked, jobs, ..
    } = report;
    if report.broken.is_empty() {
        println!("seed {seed}: holds; {asked} requests, {jobs} jobs");
        return true;
    }
    println!(
        "seed {seed}: BROKEN; the logs are in {}",
        report.folder.display()
    );
    for step in &report.steps {
        let fault: &'static str = step.fault.into();
        println!(
            "  {:?} for {:?}: {fault} {}",
            step.at, step.lasts, step.target
        );
    }
    report.broken.iter().for_each(|what| println!("  {what}"));
    false
}
