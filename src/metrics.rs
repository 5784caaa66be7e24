//! Prometheus counters, gauges and histograms of a process.

use std::time::Duration;

use prometheus::{
    Encoder, Gauge, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec,
    Opts, Registry, TextEncoder,
};

use crate::pages::Page;

/// A registry of metrics. A duplicate name is a programming error: the metric is then missing from
/// the page, but the process keeps running.
#[derive(Clone, Default)]
pub struct Metrics {
    registry: Registry,
}

impl Metrics {
    /// A counter with labels.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let fallback = || IntCounterVec::new(Opts::new("invalid", "invalid"), &[]);
        let created = IntCounterVec::new(Opts::new(name, help), labels).or_else(|_| fallback());
        let counters = created.expect("the fallback's names are valid");
        let _ = self.registry.register(Box::new(counters.clone()));
        counters
    }

    /// A counter.
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        self.counters(name, help, &[])
            .with_label_values::<&str>(&[])
    }

    /// A gauge with labels.
    pub fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> GaugeVec {
        let fallback = || GaugeVec::new(Opts::new("invalid", "invalid"), &[]);
        let created = GaugeVec::new(Opts::new(name, help), labels).or_else(|_| fallback());
        let gauges = created.expect("the fallback's names are valid");
        let _ = self.registry.register(Box::new(gauges.clone()));
        gauges
    }

    /// A gauge.
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        self.gauges(name, help, &[]).with_label_values::<&str>(&[])
    }

    /// A histogram of times in seconds.
    pub fn time_histogram(&self, name: &str, help: &str) -> Histogram {
        let buckets = vec![
            0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.58, 0.8, 1.5, 3.0, 10.0, 30.0,
        ];
        let opts = HistogramOpts::new(name, help).buckets(buckets);
        let fallback = || HistogramVec::new(HistogramOpts::new("invalid", "invalid"), &[]);
        let created = HistogramVec::new(opts, &[]).or_else(|_| fallback());
        let times = created.expect("the fallback's names are valid");
        let _ = self.registry.register(Box::new(times.clone()));
        times.with_label_values::<&str>(&[])
    }

    /// The metrics page for scraping.
    pub fn page(&self) -> Page {
        let mut body = Vec::new();
        let encoder = TextEncoder::new();
        let _ = encoder.encode(&self.registry.gather(), &mut body);
        Page {
            status: 200,
            content_type: "text/plain; version=0.0.4",
            body,
        }
    }
}

/// Processor time used by this process.
pub fn processor_time() -> Duration {
    // utime and stime, fields 14 and 15 of the file in units of 10 ms, have the indices 11 and 12
    // after the name.
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after = text.rsplit(')').next().unwrap_or_default();
    let field = |at: usize| -> u64 {
        after
            .split_whitespace()
            .nth(at)
            .and_then(|f| f.parse().ok())
            .unwrap_or(0)
    };
    Duration::from_millis((field(11) + field(12)) * 10)
}

/// Resident memory of a process in bytes.
pub fn resident_bytes(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line
        .and_then(|l| l.split_whitespace().next())
        .and_then(|n| n.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}
