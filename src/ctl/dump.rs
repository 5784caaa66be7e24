//! `dump`: the state of processes as JSON.

use clap::Command;

use super::config::{page, print, Arguments};
use super::{code, Outcome};

/// Defines the arguments.
pub fn usage() -> Command {
    Command::new("dump")
        .about("Prints the state of each process as JSON")
        .after_help("Exit codes: 0 printed, 4 a process can't be reached.")
}

/// Runs the command.
pub fn run(arguments: &Arguments<'_>) -> Outcome {
    for address in arguments.required_entries()? {
        print(&page(&address, "/dump")?);
    }
    Ok(code::OK)
}
