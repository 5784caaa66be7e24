//! Runs `bramley-batch`.

use std::process::ExitCode;

use bramleyseam::launch::launch;
use bramleyseam::{batch, settings};

fn main() -> ExitCode {
    launch("bramley-batch", settings::check_batch, batch::run)
}
