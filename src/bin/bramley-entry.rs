//! Runs `bramley-entry`.

use std::process::ExitCode;

use bramleyseam::launch::launch;
use bramleyseam::{entry, settings};

fn main() -> ExitCode {
    launch("bramley-entry", settings::check_entry, entry::run)
}
