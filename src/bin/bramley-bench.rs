//! `bramley-bench`: runs the demo and the benchmarks.

use std::process::ExitCode;

use bramleyseam::bench;

fn main() -> ExitCode {
    bench::run(&bench::command().get_matches())
}
