//! Runs `bramley-bulk`.

use std::process::ExitCode;

use bramleyseam::launch::launch;
use bramleyseam::{bulk, settings};

fn main() -> ExitCode {
    launch("bramley-bulk", settings::check_bulk, bulk::run)
}
