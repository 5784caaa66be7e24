//! Decides whether a failed attempt may be retried.

use std::time::Duration;

use strum::IntoStaticStr;

/// Retries earned by one first attempt. Together with [`RETRY_GRANTED_AFTER`] this limits the
/// average to 1.1 charged attempts per request, whatever fails.
pub const RETRIES_PER_REQUEST: f64 = 0.09;
/// After this time without a retry one is always permitted, so that callers of a quiet service get
/// one too.
pub const RETRY_GRANTED_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of retries saved up.
pub const SAVED_RETRIES_MAX: f64 = 10.0;
/// Maximum number of attempts of one request, the first included, unless its route sets another
/// limit.
pub const ATTEMPTS_MAX_DEFAULT: u32 = 3;

/// How far a failed attempt got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptStage {
    /// No byte can have reached the endpoint.
    NotSent,
    /// The endpoint may have received the request.
    MaybeSent,
    /// The endpoint reported that it did not accept the request.
    Refused,
    /// Part of the response was sent to the caller.
    Answering,
}

/// Why no other attempt follows a failed one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum NoRetry {
    /// It may have run, and may run only once.
    NotPermitted,
    NoAttemptsLeft,
    DeadlinePassed,
    BudgetSpent,
    NoEndpoint,
    /// No endpoint runs the software that began the stream.
    SoftwareGone,
    /// All endpoints are full, and the queue did not take it.
    QueueFull,
    /// All endpoints stayed full for as long as it could wait.
    WaitedTooLong,
}

/// A token bucket that is filled only by first attempts.
///
/// If half of the endpoints fail and every request is tried three times, the load on the healthy
/// half triples. Limiting retries to a share of the traffic prevents that, whatever fails.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved_retries: f64,
    last_retry_at: Duration,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            saved_retries: 1.0,
            last_retry_at: Duration::ZERO,
        }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.saved_retries = (self.saved_retries + RETRIES_PER_REQUEST).min(SAVED_RETRIES_MAX);
    }

    /// Takes one retry if one is available.
    pub fn spend(&mut self, now: Duration) -> bool {
        if self.saved_retries < 1.0 && now >= self.last_retry_at + RETRY_GRANTED_AFTER {
            self.saved_retries = 1.0;
        }
        if self.saved_retries < 1.0 {
            return false;
        }
        self.saved_retries -= 1.0;
        self.last_retry_at = now;
        true
    }

    /// Returns a retry that was not made.
    pub fn give_back(&mut self) {
        self.saved_retries = (self.saved_retries + 1.0).min(SAVED_RETRIES_MAX);
    }
}

/// Whether a retry can do no harm; the budget is checked separately.
pub fn allowed(stage: AttemptStage, idempotent: bool) -> bool {
    match stage {
        AttemptStage::Answering => false,
        AttemptStage::NotSent | AttemptStage::Refused => true,
        AttemptStage::MaybeSent => idempotent,
    }
}
