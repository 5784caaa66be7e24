//! `apply`: puts a configuration folder in force as a whole.

use std::time::Duration;

use clap::{Arg, ArgAction, Command};
use serde_json::json;

use super::config::{page, print, Config};
use super::{code, diff, Failure, Outcome};
use crate::clock;
use crate::config::diff::states;
use crate::config::store::{self, Applied};
use crate::config::{Head, State};
use crate::id::ConfigVersion;
use crate::platform::Platform;

const PATIENCE: Duration = Duration::from_secs(10);
const LOOK: Duration = Duration::from_millis(100);

/// Defines the arguments.
pub fn usage() -> Command {
    Command::new("apply")
        .about("Puts a configuration folder in force as a whole")
        .after_help(
            "Exit codes: 0 applied (with --wait: in force at each --entry), 1 applied but not in \
             force everywhere in time, 2 the folder is wrong, 3 another operator's version stands, \
             4 platform away and nothing applied, 5 not known whether it was applied.",
        )
        .arg(
            Arg::new("folder")
                .required(true)
                .help("Folder of JSON files"),
        )
        .arg(
            Arg::new("base").long("base").value_name("VERSION").help(
                "The version that the folder was made from; by default the one that stands now",
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
pub fn run(config: &Config<'_>) -> Outcome {
    let state = config.state()?;
    let platform = config.platform()?;
    let away = |error: store::Error| Failure::new(code::AWAY, error);
    let base = store::read_head(&platform).map_err(away)?;
    if let Some(wanted) = config.text("base") {
        let standing = base.as_ref().map_or(0, |(_, head)| head.version);
        if wanted.parse() != Ok(standing) {
            let standing = base.map(|(_, head)| head);
            return lost(config, &platform, &state, standing);
        }
    }
    let by = config.text("by").unwrap_or_default();
    match store::apply(&platform, base, &state, by, PATIENCE) {
        Ok(Applied::Won(head)) => won(config, &head),
        Ok(Applied::Lost(standing)) => lost(config, &platform, &state, standing),
        Err(error @ store::Error::Unknown) => Err(Failure::new(code::UNKNOWN, error)),
        Err(error) => Err(Failure::new(code::AWAY, error)),
    }
}

fn won(config: &Config<'_>, head: &Head) -> Outcome {
    let missing = match config.flag("wait") {
        true => wait(config, head.version)?,
        false => Vec::new(),
    };
    if config.json() {
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
fn wait(config: &Config<'_>, version: ConfigVersion) -> Result<Vec<String>, Failure> {
    let until = clock::now() + config.seconds("wait-s");
    let mut missing = config.some_entries()?;
    loop {
        let mut reasons = Vec::new();
        missing.retain(|address| match at(address) {
            Ok(there) if there >= version => {
                if !config.json() {
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
        clock::sleep(LOOK);
    }
}

/// The version in force at a process.
pub fn at(address: &str) -> Result<ConfigVersion, Failure> {
    let dump = page(address, "/dump")?;
    Ok(dump["vm"]["config"].as_u64().unwrap_or(0))
}

/// Reports which version is in force and how the wanted state differs from it.
fn lost(
    config: &Config<'_>,
    platform: &Platform,
    wanted: &State,
    standing: Option<Head>,
) -> Outcome {
    let Some(head) = standing else {
        return Err(Failure::new(
            code::LOST,
            "another version was applied meanwhile",
        ));
    };
    let state = store::read_state(platform, &head).unwrap_or_default();
    let differences = states(&state, wanted);
    if config.json() {
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
    Err(Failure::new(code::LOST, message))
}
