//! Results of a simulation as callers see them.

use std::time::Duration;

use serde::Serialize;

/// Counts of one simulation.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Outcome {
    pub online: u64,
    pub online_in_time: u64,
    pub online_refused: u64,
    /// Quantiles of the time to first token, in milliseconds, of answered requests.
    pub first_p50_ms: f64,
    pub first_p95_ms: f64,
    pub first_p99_ms: f64,
    pub items: u64,
    pub items_in_time: u64,
    pub items_open: u64,
    pub items_stopped: u64,
    /// Stopped items whose last run had not generated a token.
    pub started_in_vain: u64,
    /// Attempts that an engine refused.
    pub refused_by_engines: u64,
    /// Share of all slots in use while callers arrived.
    pub slots_used: f64,
    /// Times to first token of all answered requests.
    #[serde(skip)]
    pub firsts: Vec<Duration>,
}

impl Outcome {
    /// Computes the quantiles once all times are recorded.
    pub fn finish(&mut self) {
        self.firsts.sort_unstable();
        let quantile = |share: f64| {
            let at = (self.firsts.len() as f64 * share) as usize;
            let time = self.firsts.get(at).copied().unwrap_or_default();
            time.as_secs_f64() * 1000.0
        };
        self.first_p50_ms = quantile(0.50);
        self.first_p95_ms = quantile(0.95);
        self.first_p99_ms = quantile(0.99);
    }

    /// Share of the online requests whose first token was in time.
    pub fn online_share(&self) -> f64 {
        self.online_in_time as f64 / self.online.max(1) as f64
    }

    /// Share of the items that were done in time.
    pub fn items_share(&self) -> f64 {
        self.items_in_time as f64 / self.items.max(1) as f64
    }
}
