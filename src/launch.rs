//! Process start: command line, settings and exit code.

use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, Command};
use serde::de::DeserializeOwned;

use crate::settings::{self, InvalidField};

const EXIT_USAGE: u8 = 2;

/// Reads the settings file named on the command line and runs the process with it.
pub fn launch<T: DeserializeOwned, E: Display>(
    name: &'static str,
    check: impl Fn(&T) -> Vec<InvalidField>,
    run: impl FnOnce(T) -> Result<i32, E>,
) -> ExitCode {
    let settings = Arg::new("settings")
        .help("JSON file with the settings of this process")
        .required(true)
        .value_parser(clap::value_parser!(PathBuf));
    let command = Command::new(name)
        .version(env!("CARGO_PKG_VERSION"))
        .arg(settings);
    let path: PathBuf = command
        .get_matches()
        .remove_one("settings")
        .unwrap_or_default();
    let settings = match settings::read(&path, check) {
        Ok(settings) => settings,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run(settings) {
        Ok(code) => ExitCode::from(code as u8),
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}
