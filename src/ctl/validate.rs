//! `validate`: checks a folder without applying it.

use clap::{Arg, Command};
use serde_json::json;

use super::config::{print, Arguments};
use super::{code, Outcome};

/// Defines the arguments.
pub fn usage() -> Command {
    Command::new("validate")
        .about("Checks a configuration folder as a whole")
        .after_help("Exit codes: 0 it may be applied, 2 it may not.")
        .arg(
            Arg::new("folder")
                .required(true)
                .help("Folder of JSON files"),
        )
}

/// Runs the command.
pub fn run(arguments: &Arguments<'_>) -> Outcome {
    let state = arguments.state()?;
    let (services, endpoints) = (state.services.len(), state.endpoints.len());
    let workspaces = state.workspaces.len();
    if arguments.json() {
        print(&json!({ "valid": true, "services": services, "endpoints": endpoints }));
    } else {
        println!("valid: {services} services, {endpoints} endpoints, {workspaces} workspaces");
    }
    Ok(code::OK)
}
