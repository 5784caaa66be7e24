//! Runs `bramley-entry`.

use std::path::PathBuf;
use std::process::ExitCode;

use bramleyseam::{entry, settings};
use clap::{Arg, Command};

fn main() -> ExitCode {
    let settings = Arg::new("settings")
        .help("JSON file with the settings of this process")
        .required(true)
        .value_parser(clap::value_parser!(PathBuf));
    let matches = Command::new("bramley-entry")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(settings);
    let path: PathBuf = matches
        .get_matches()
        .remove_one("settings")
        .unwrap_or_default();
    let settings = match settings::read(&path, settings::check_entry) {
        Ok(settings) => settings,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return ExitCode::from(2);
        }
    };
    match entry::run(settings) {
        Ok(code) => ExitCode::from(code as u8),
        Err(error) => {
            eprintln!("bramley-entry: {error}");
            ExitCode::FAILURE
        }
    }
}
