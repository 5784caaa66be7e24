//! `key`: the digest of a workspace's API key, for `workspaces.json`.

use clap::{Arg, Command};

use super::config::Arguments;
use super::{code, Outcome};
use crate::id;

/// Defines the arguments.
pub fn usage() -> Command {
    Command::new("key")
        .about("Prints the digest of a key, as it goes into workspaces.json")
        .arg(
            Arg::new("key")
                .required(true)
                .help("The key that callers send"),
        )
}

/// Runs the command.
pub fn run(arguments: &Arguments<'_>) -> Outcome {
    println!(
        "{}",
        id::digest(arguments.text("key").unwrap_or_default().as_bytes())
    );
    Ok(code::OK)
}
