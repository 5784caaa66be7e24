//! The only place that reads the machine's clocks or sleeps.
//!
//! Decision functions take the current time as an argument; the code around them reads it here.
#![allow(clippy::disallowed_methods)]

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// Monotonic time since the first call in this process.
pub fn now() -> Duration {
    ORIGIN.get_or_init(Instant::now).elapsed()
}

/// Wall-clock time since the Unix epoch; for records that outlive the process.
pub fn unix() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Wall-clock milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    unix().as_millis() as u64
}

/// Blocks the calling thread.
pub fn sleep(pause: Duration) {
    std::thread::sleep(pause);
}
