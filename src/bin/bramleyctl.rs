//! Runs `bramleyctl`.

use std::process::ExitCode;

use bramleyseam::ctl;

fn main() -> ExitCode {
    ctl::run(&ctl::command().get_matches())
}
