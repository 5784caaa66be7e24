//! How many requests an endpoint takes at once, learned from its times to first token.

use std::time::Duration;

/// No endpoint is closed altogether by its times.
pub const LIMIT_MIN: f64 = 1.0;
/// No endpoint is trusted with more.
pub const LIMIT_MAX: f64 = 512.0;
const DECREASE: f64 = 0.9;

/// Additive increase, multiplicative decrease.
///
/// Load reports lag, so they can't set the limit: by the time one shows a queue, a burst has been
/// sent on top of it. The time to first token shows the queue with the answer itself.
#[derive(Debug, Clone)]
pub struct Limit {
    slots: f64,
    /// No second decrease before the first one can have shown.
    hold_until: Duration,
}

impl Limit {
    /// Starts from what the configuration assumes.
    pub fn new(initial: f64) -> Limit {
        Limit {
            slots: initial.clamp(LIMIT_MIN, LIMIT_MAX),
            hold_until: Duration::ZERO,
        }
    }

    /// The limit now.
    pub fn slots(&self) -> f64 {
        self.slots
    }

    /// Takes one time to first token, seen with `in_flight` requests at the endpoint.
    pub fn observe(
        &mut self,
        now: Duration,
        first_token: Duration,
        goal: Duration,
        in_flight: u32,
    ) {
        if first_token > goal {
            if now >= self.hold_until {
                self.slots = (self.slots * DECREASE).max(LIMIT_MIN);
                self.hold_until = now + first_token;
            }
            return;
        }
        // Only a limit that is in use proves that it is not too high.
        if f64::from(in_flight) + 1.0 >= self.slots * DECREASE && first_token < goal / 2 {
            self.slots = (self.slots + 1.0 / self.slots).min(LIMIT_MAX);
        }
    }
}
