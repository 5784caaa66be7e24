//! Metrics of an entry process.

use crate::metrics::Metrics;

/// Metrics of an entry process.
pub struct Counters {
    pub registry: Metrics,
    pub requests: prometheus::IntCounterVec,
    pub refusals: prometheus::IntCounterVec,
    pub attempts: prometheus::IntCounter,
    pub tokens: prometheus::IntCounter,
    pub first_token: prometheus::Histogram,
    pub intent_writes: prometheus::IntCounter,
    pub datagram_bytes: prometheus::IntCounterVec,
    pub datagrams_refused: prometheus::IntCounter,
    pub platform_errors: prometheus::IntCounter,
}

impl Default for Counters {
    fn default() -> Counters {
        Counters::new()
    }
}

impl Counters {
    /// Registers all of them.
    pub fn new() -> Counters {
        let registry = Metrics::default();
        let counters = |name, help, labels: &[&str]| registry.counters(name, help, labels);
        Counters {
            requests: counters("bramley_requests_total", "Requests by outcome.", &["end"]),
            refusals: counters("bramley_refusals_total", "Refusals by reason.", &["reason"]),
            attempts: registry.counter("bramley_attempts_total", "Attempts at endpoints."),
            tokens: registry.counter("bramley_stream_events_total", "Events sent to callers."),
            first_token: registry.time_histogram(
                "bramley_first_token_seconds",
                "Time to the first token of streams.",
            ),
            intent_writes: registry.counter(
                "bramley_intent_writes_total",
                "Writes of intent pages to the platform.",
            ),
            datagram_bytes: counters(
                "bramley_datagram_bytes_total",
                "Bytes of datagrams, without headers.",
                &["direction"],
            ),
            datagrams_refused: registry
                .counter("bramley_datagrams_refused_total", "Datagrams rejected."),
            platform_errors: registry.counter(
                "bramley_platform_errors_total",
                "Failed watch calls to the platform.",
            ),
            registry,
        }
    }
}
