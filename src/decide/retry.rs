//! Whether a failed try may be made again.

use std::time::Duration;

use strum::IntoStaticStr;

/// Retries earned by one first try; with the floor it keeps tries at 1.1 a request whatever fails.
pub const EARNED: f64 = 0.09;
/// After so long without a retry there is one, so that callers of a quiet service have one too.
pub const FLOOR: Duration = Duration::from_secs(1);
/// Retries that may be saved up.
pub const SAVED_MAX: f64 = 10.0;
/// Tries of one request, the first included, where its route sets no other bound.
pub const TRIES_MAX: u32 = 3;

/// How far a failed try came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptStage {
    /// No byte can have reached the endpoint.
    NotSent,
    /// The endpoint may have got it.
    MaybeSent,
    /// The endpoint said that it did not take it.
    Refused,
    /// Some of the answer went out to the caller.
    Answering,
}

/// A token bucket that only first tries fill.
///
/// The failure: half of the endpoints fail, each caller's request is tried three times, and the
/// load on the healthy half triples just then. A share of traffic bounds that whatever happens.
#[derive(Debug, Clone)]
pub struct Budget {
    saved: f64,
    spent_at: Duration,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget {
            saved: 1.0,
            spent_at: Duration::ZERO,
        }
    }
}

impl Budget {
    /// Counts a first try.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED).min(SAVED_MAX);
    }

    /// Takes one retry if there is one.
    pub fn spend(&mut self, now: Duration) -> bool {
        if self.saved < 1.0 && now >= self.spent_at + FLOOR {
            self.saved = 1.0;
        }
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        self.spent_at = now;
        true
    }
}

/// Whether one more try can do no harm; the budget is asked after that.
pub fn allowed(reach: AttemptStage, idempotent: bool) -> bool {
    match reach {
        AttemptStage::Answering => false,
        AttemptStage::NotSent | AttemptStage::Refused => true,
        AttemptStage::MaybeSent => idempotent,
    }
}
