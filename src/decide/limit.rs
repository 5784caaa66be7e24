//! Learns how many requests an endpoint can run at once, from its times to first token.

use std::time::Duration;

/// An endpoint is never closed completely because of its times.
pub const LIMIT_MIN: f64 = 1.0;
/// Upper limit for any endpoint.
pub const LIMIT_MAX: f64 = 512.0;
const DECREASE_FACTOR: f64 = 0.9;

/// Additive increase, multiplicative decrease.
///
/// Load reports are too late to set the limit: by the time one shows a queue, a burst has been sent
/// on top of it. The time to first token reveals the queue with the response itself.
#[derive(Debug, Clone)]
pub struct Limit {
    slots: f64,
    /// No second decrease until the effect of the first one can have been observed.
    no_decrease_until: Duration,
}

impl Limit {
    /// Starts from the configured limit.
    pub fn new(initial: f64) -> Limit {
        Limit {
            slots: initial.clamp(LIMIT_MIN, LIMIT_MAX),
            no_decrease_until: Duration::ZERO,
        }
    }

    /// The current limit.
    pub fn slots(&self) -> f64 {
        self.slots
    }

    /// Records a time to first token, measured with `in_flight` requests at the endpoint.
    pub fn observe(
        &mut self,
        now: Duration,
        first_token: Duration,
        goal: Duration,
        in_flight: u32,
    ) {
        if first_token > goal {
            if now >= self.no_decrease_until {
                self.slots = (self.slots * DECREASE_FACTOR).max(LIMIT_MIN);
                self.no_decrease_until = now + first_token;
            }
            return;
        }
        // Only a limit that is in use can be shown not to be too high.
        if f64::from(in_flight) + 1.0 >= self.slots * DECREASE_FACTOR && first_token < goal / 2 {
            self.slots = (self.slots + 1.0 / self.slots).min(LIMIT_MAX);
        }
    }
}
