//! `bramleyctl`: the operators' command, one module per subcommand.

pub mod apply;
pub mod config;
pub mod diff;
pub mod dump;
pub mod jobs;
pub mod key;
pub mod quarantine;
pub mod status;
pub mod validate;
pub mod why;

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};

use self::config::Arguments;

/// Exit codes; each command's help lists those it uses.
pub mod code {
    /// Success, or no difference.
    pub const OK: u8 = 0;
    /// There are differences, or the result is not complete yet.
    pub const DIFFERS: u8 = 1;
    /// The arguments or files are invalid.
    pub const USAGE: u8 = 2;
    /// Another operator's version is in force.
    pub const CONFLICT: u8 = 3;
    /// The platform or a process can't be reached; nothing took effect.
    pub const UNREACHABLE: u8 = 4;
    /// It is not known whether it took effect.
    pub const UNKNOWN: u8 = 5;
}

/// Why a command failed: a message and an exit code.
#[derive(Debug)]
pub struct Failure {
    pub code: u8,
    pub message: String,
}

impl Failure {
    /// A failure with an exit code.
    pub fn new(code: u8, message: impl ToString) -> Failure {
        Failure {
            code,
            message: message.to_string(),
        }
    }
}

/// Result of a command: its exit code, or a failure.
pub type Outcome = Result<u8, Failure>;

/// The complete command line.
pub fn command() -> Command {
    let platform = Arg::new("platform")
        .long("platform")
        .global(true)
        .env("BRAMLEY_PLATFORM")
        .help("Address of the platform's key-value service");
    let entry = Arg::new("entry")
        .long("entry")
        .global(true)
        .action(ArgAction::Append)
        .help("Operators' address of a process; may be given several times");
    let json = Arg::new("json")
        .long("json")
        .global(true)
        .action(ArgAction::SetTrue)
        .help("Print JSON");
    Command::new("bramleyctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Applies configurations and shows what the system does")
        .subcommand_required(true)
        .args([platform, entry, json])
        .subcommand(validate::usage())
        .subcommand(diff::usage())
        .subcommand(apply::usage())
        .subcommand(status::usage())
        .subcommand(jobs::usage())
        .subcommand(why::usage())
        .subcommand(quarantine::usage())
        .subcommand(dump::usage())
        .subcommand(key::usage())
}

/// Runs the command line.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let Some((name, matches)) = matches.subcommand() else {
        return ExitCode::from(code::USAGE);
    };
    let arguments = Arguments::new(matches);
    let outcome = match name {
        "validate" => validate::run(&arguments),
        "diff" => diff::run(&arguments),
        "apply" => apply::run(&arguments),
        "status" => status::run(&arguments),
        "jobs" => jobs::run(&arguments),
        "why" => why::run(&arguments),
        "quarantine" => quarantine::run(&arguments),
        "dump" => dump::run(&arguments),
        _ => key::run(&arguments),
    };
    match outcome {
        Ok(code) => ExitCode::from(code),
        Err(failure) => {
            eprintln!("bramleyctl {name}: {}", failure.message);
            ExitCode::from(failure.code)
        }
    }
}
