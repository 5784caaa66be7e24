//! Cases of the second independent review. Each prints nothing, writes its record and exits with 1
//! if the rule was broken, 0 if it held, and 2 if it could not run.

mod crashed_runner;
mod endless_answers;
mod endless_events;
mod fleet;
mod large_results;
mod process;
mod record;
mod runner;
mod store;
mod upgraded_runners;

use std::io;
use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// Whether the rule held, or why the case could not run.
type Outcome = io::Result<bool>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, kind, setup @ ..] = arguments.as_slice() {
        if kind == "runner" {
            return match process::serve(setup) {
                Ok(()) => ExitCode::SUCCESS,
                Err(_) => ExitCode::from(2),
            };
        }
    }
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: review-standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {case}, disruption {has_trouble}"));
    let outcome = match case.as_str() {
        "crashed_runner" => crashed_runner::run(&record, has_trouble),
        "endless_answers" => endless_answers::run(&record, has_trouble),
        "endless_events" => endless_events::run(&record, has_trouble),
        "large_results" => large_results::run(&record, has_trouble),
        "upgraded_runners" => upgraded_runners::run(&record, has_trouble),
        _ => Err(io::Error::other("no such case")),
    };
    match outcome {
        Ok(true) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
