//! `diff`: what applying a folder would change.

use clap::{Arg, Command};

use super::config::{print, Arguments};
use super::{code, Failure, Outcome};
use crate::config::diff::{states, Difference};
use crate::config::{store, State};

/// Defines the arguments.
pub fn usage() -> Command {
    Command::new("diff")
        .about("Shows what a configuration folder would change")
        .after_help(
            "Exit codes: 0 nothing, 1 something, 2 the folder is wrong, 4 platform unreachable.",
        )
        .arg(
            Arg::new("folder")
                .required(true)
                .help("Folder of JSON files"),
        )
}

/// Runs the command.
pub fn run(arguments: &Arguments<'_>) -> Outcome {
    let state = arguments.state()?;
    let current = store::read(&arguments.platform()?);
    let current = current.map_err(|error| Failure::new(code::UNREACHABLE, error))?;
    let old = current.map_or_else(State::default, |(_, versioned)| versioned.state);
    let differences = states(&old, &state);
    match arguments.json() {
        true => print(&differences),
        false => show(&differences),
    }
    Ok(if differences.is_empty() {
        code::OK
    } else {
        code::DIFFERS
    })
}

/// Prints differences, one per line.
pub fn show(differences: &[Difference]) {
    if differences.is_empty() {
        println!("no difference");
    }
    for difference in differences {
        let change: &'static str = difference.change.into();
        println!("{change} {} {}", difference.kind, difference.name);
        for (field, (old, new)) in &difference.fields {
            println!("  {field}: {old} -> {new}");
        }
    }
}
