//! `quarantine`: lists and releases requests during which endpoints ended.

use clap::{Arg, Command};
use serde_json::Value;

use super::config::{rows, send, text, Arguments};
use super::{code, Failure, Outcome};
use crate::decide::quarantine::Fingerprint;

/// Defines the arguments.
pub fn usage() -> Command {
    let release = Arg::new("release")
        .long("release")
        .value_name("FINGERPRINT")
        .help("Let this request run again, at all processes");
    Command::new("quarantine")
        .about("Shows which requests are quarantined or suspected because endpoints ended while running them")
        .arg(release)
        .after_help(
            "Exit codes: 0 nothing is quarantined, or released; 1 something is quarantined, or there was nothing to release; \
             2 no fingerprint; 4 a process can't be reached.",
        )
}

/// Runs the command.
pub fn run(arguments: &Arguments<'_>) -> Outcome {
    match arguments.text("release") {
        Some(fingerprint) => release(arguments, fingerprint),
        None => list(arguments),
    }
}

fn list(arguments: &Arguments<'_>) -> Outcome {
    let rows = rows(arguments, "/quarantine", "requests", show)?;
    let any_held = rows.iter().any(|row| row["held_for_ms"].is_u64());
    if !any_held && !arguments.json() {
        println!("nothing is held back");
    }
    Ok(if any_held { code::DIFFERS } else { code::OK })
}

fn show(vm: &Value, row: &Value) {
    let state = match row["held_for_ms"].as_u64() {
        Some(held_ms) => format!(
            "{} for {held_ms} ms, may run in {} ms",
            match row["of"] == "item" {
                true => "its items held back",
                false => "held back",
            },
            row["back_in_ms"]
        ),
        None => "suspected".to_owned(),
    };
    println!(
        "{}: {} {}: {state}; {} endpoints ended, word: {}",
        text(vm),
        text(&row["fingerprint"]),
        text(&row["label"]),
        row["ends"],
        text(&row["by"]),
    );
}

fn release(arguments: &Arguments<'_>, fingerprint: &str) -> Outcome {
    let fingerprint: Fingerprint = fingerprint
        .parse()
        .map_err(|error| Failure::new(code::USAGE, error))?;
    let mut released = false;
    for address in arguments.required_entries()? {
        let answer = send(&address, &format!("/quarantine/release/{fingerprint}"))?;
        released |= answer["released"] == true;
    }
    match released {
        true => println!("released"),
        false => println!("nothing was held against it"),
    }
    Ok(if released { code::OK } else { code::DIFFERS })
}
