//! The demo and the benchmarks, one module each. Speeds are only comparable within one run.

pub mod demo;
pub mod goodput;
pub mod load;
pub mod overhead;
pub mod play;
pub mod plot;
pub mod prefixes;
pub mod slopes;
pub mod yielding;

use std::error::Error;
use std::process::ExitCode;

use clap::{ArgMatches, Command};

/// Result of a benchmark; the error is printed.
pub type BenchResult = Result<(), Box<dyn Error>>;

/// Builds the command line.
pub fn command() -> Command {
    Command::new("bramley-bench")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Shows the system at work, and measures it, on loopback")
        .subcommand_required(true)
        .subcommand(demo::usage())
        .subcommand(goodput::usage())
        .subcommand(overhead::usage())
        .subcommand(play::usage())
        .subcommand(plot::usage())
        .subcommand(prefixes::usage())
        .subcommand(slopes::usage())
        .subcommand(yielding::usage())
}

/// Runs the subcommand that was given.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let Some((name, matches)) = matches.subcommand() else {
        return ExitCode::FAILURE;
    };
    let outcome = match name {
        "demo" => demo::run(matches),
        "goodput" => goodput::run(matches),
        "overhead" => overhead::run(matches),
        "play" => play::run(matches),
        "plot" => plot::run(matches),
        "prefixes" => prefixes::run(matches),
        "slopes" => slopes::run(matches),
        _ => yielding::run(matches),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bramley-bench {name}: {error}");
            ExitCode::FAILURE
        }
    }
}
