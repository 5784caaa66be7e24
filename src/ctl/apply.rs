//! `apply`: puts a configuration folder in force as a whole.

use std::time::Duration;

use clap::{Arg, ArgAction, Command};
use serde_json::json;

use super::config::{page, print, Arguments};
use super::{code, diff, Failure, Outcome};
use crate::clock;
use crate::config::diff::states;
use crate::config::store::{self, ApplyOutcome};
use crate::config::{Head, State};
use crate::id::ConfigVersion;
use crate::platform::Platform;

const APPLY_TIMEOUT: Duration = Duration::from_secs(10);
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Defines the arguments.
pub fn usage() -> Command {
    Command::new("apply")
        .about("Puts a configuration folder in force as a whole")
        .after_help(
            "Exit codes: 0 applied (with --wait: in force at each --entry), 1 applied but not in \
             force everywhere in time, 2 the folder is wrong, 3 another operator's version is in force, \
             4 platform unreachable and nothing applied, 5 not known whether it was applied.",
        )
        .arg(
            Arg::new("folder")
                .required(true)
                .help("Folder of JSON files"),
        )
        .arg(
            Arg::new("base").long("base").value_name("VERSION").help(
                "The version that the folder is based on; by default the one in force",
            ),
        )
        .arg(
            Arg::new("by")
                .long("by")
                .default_value("operator")
                .help("Who applies"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until it is in force at each --entry"),
        )
        .arg(
            Arg::new("wait-s")
                .long("wait-s")
                .default_value("17")
                .value_parser(clap::value_parser!(u64))
                .help("Longest wait in seconds"),
        )
}

/// Runs the command.
pub fn run(arguments: &Arguments<'_>) -> Outcome {
    let state = arguments.state()?;
    let platform = arguments.platform()?;
    let unreachable = |error: store::Error| Failure::new(code::UNREACHABLE, error);
    let base = store::read_head(&platform).map_err(unreachable)?;
    if let Some(wanted) = arguments.text("base") {
        let current = base.as_ref().map_or(0, |(_, head)| head.version);
        if wanted.parse() != Ok(current) {
            let current = base.map(|(_, head)| head);
            return report_conflict(arguments, &platform, &state, current);
        }
    }
    let by = arguments.text("by").unwrap_or_default();
    match store::apply(&platform, base, &state, by, APPLY_TIMEOUT) {
        Ok(ApplyOutcome::Won(head)) => report_applied(arguments, &head),
        Ok(ApplyOutcome::Lost(current)) => report_conflict(arguments, &platform, &state, current),
        Err(error @ store::Error::Unknown) => Err(Failure::new(code::UNKNOWN, error)),
        Err(error) => Err(Failure::new(code::UNREACHABLE, error)),
    }
}

fn report_applied(arguments: &Arguments<'_>, head: &Head) -> Outcome {
    let missing = match arguments.flag("wait") {
        true => wait_until_in_force(arguments, head.version)?,
        false => Vec::new(),
    };
    if arguments.json() {
        print(&json!({ "applied": head.version, "not_in_force_at": missing }));
    } else {
        println!("applied version {}", head.version);
        missing
            .iter()
            .for_each(|row| println!("not in force at {row}"));
    }
    Ok(if missing.is_empty() {
        code::OK
    } else {
        code::DIFFERS
    })
}

/// Waits until all named processes have the version; returns those that don't, with the reason.
fn wait_until_in_force(
    arguments: &Arguments<'_>,
    version: ConfigVersion,
) -> Result<Vec<String>, Failure> {
    let until = clock::now() + arguments.seconds("wait-s");
    let mut missing = arguments.required_entries()?;
    loop {
        let mut reasons = Vec::new();
        missing.retain(|address| match version_at(address) {
            Ok(there) if there >= version => {
                if !arguments.json() {
                    println!("in force at {address}");
                }
                false
            }
            Ok(there) => {
                reasons.push(format!("{address}: it has version {there}"));
                true
            }
            Err(failure) => {
                reasons.push(failure.message);
                true
            }
        });
        if missing.is_empty() || clock::now() >= until {
            return Ok(reasons);
        }
        clock::sleep(CHECK_INTERVAL);
    }
}

/// The version in force at a process.
pub fn version_at(address: &str) -> Result<ConfigVersion, Failure> {
    let dump = page(address, "/dump")?;
    Ok(dump["vm"]["config"].as_u64().unwrap_or(0))
}

/// Reports which version is in force and how the wanted state differs from it.
fn report_conflict(
    arguments: &Arguments<'_>,
    platform: &Platform,
    wanted: &State,
    current: Option<Head>,
) -> Outcome {
    let Some(head) = current else {
        return Err(Failure::new(
            code::CONFLICT,
            "another version was applied meanwhile",
        ));
    };
    let state = store::read_state(platform, &head).unwrap_or_default();
    let differences = states(&state, wanted);
    if arguments.json() {
        print(&json!({
            "applied": null,
            "standing": { "version": head.version, "by": head.by, "at_ms": head.at_ms },
            "yours_would_change": differences,
        }));
    } else {
        println!(
            "version {} by {} stands; against it your folder would change:",
            head.version, head.by
        );
        diff::show(&differences);
    }
    let message = format!(
        "nothing was applied: version {} by {} stands",
        head.version, head.by
    );
    Err(Failure::new(code::CONFLICT, message))
}
