//! Plays one scenario of the review against the real serving processes.
//!
//! `bramleyseam-review SCENARIO PROGRAM RECORD` exits with 0 if the rule held, 1 if it was broken and
//! 2 if the scenario could not be played. With `TROUBLE=0` the disruption is left out.

mod cancel_during_freeze;
mod deployment;
mod item_of_two_services;
mod record;
mod rivals_at_full_service;

use std::process::ExitCode;

use record::Record;

/// How a scenario ended.
pub enum Verdict {
    Held,
    Broken,
}

const COULD_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [scenario, program, record] = arguments.as_slice() else {
        eprintln!("usage: bramleyseam-review SCENARIO PROGRAM RECORD");
        return ExitCode::from(COULD_NOT_RUN);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = Record::create(record.as_ref()).and_then(|record| {
        record.line(&format!("scenario {scenario}, trouble {with_trouble}"));
        match scenario.as_str() {
            "cancel-during-freeze" => cancel_during_freeze::play(program, with_trouble, &record),
            "item-of-two-services" => item_of_two_services::play(program, with_trouble, &record),
            "rivals-at-full-service" => {
                rivals_at_full_service::play(program, with_trouble, &record)
            }
            other => Err(std::io::Error::other(format!("no scenario {other}"))),
        }
    });
    match played {
        Ok(Verdict::Held) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}
