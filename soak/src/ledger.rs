//! Records of what callers sent and received, and of the faults injected meanwhile.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bramleyseam::util::lock;
use bramleyseam_platform_standin::caller::Response;
use bramleyseam_platform_standin::fleet::Fleet;

use super::plan::Fault;

/// One online request with its answer.
pub struct OnlineRequest {
    pub id: String,
    /// Whether the request may run twice and be resumed.
    pub repeatable: bool,
    pub vm: usize,
    pub sent_at: Duration,
    pub ended_at: Duration,
    /// `None` when no answer came.
    pub answer: Option<Response>,
    /// A VM accepted the connection, and no answer came.
    pub is_unanswered: bool,
}

/// A request that got neither a whole answer nor a refusal.
pub struct UnansweredRequest {
    pub what: String,
    pub vm: usize,
    pub sent_at: Duration,
    pub ended_at: Duration,
    /// An answer began.
    pub is_cut: bool,
}

/// A result of a job as it was read first.
#[derive(Debug, Clone, PartialEq)]
pub struct Result {
    pub item: String,
    pub state: String,
    pub text: String,
}

/// One submitted job.
#[derive(Debug, Default)]
pub struct Job {
    pub items: usize,
    pub accepted_at: Option<Duration>,
    /// Every attempt was refused with a status that promises that nothing runs.
    pub refused: bool,
    /// When the caller's cancellation was confirmed.
    pub cancelled_at: Option<Duration>,
    /// A cancellation was sent, whatever came of it.
    pub cancel_sent: bool,
    pub results: Vec<Result>,
    /// When each position was first read. Invariant: as long as `results`.
    pub read_at: Vec<Duration>,
}

impl Job {
    /// Number of positions that had been read by this time.
    pub fn positions_read_by(&self, time: Duration) -> usize {
        self.read_at.iter().filter(|at| **at <= time).count()
    }

    /// Whether it was accepted, nobody tried to cancel it, and not all of its results were read.
    pub fn is_open(&self) -> bool {
        self.accepted_at.is_some() && !self.cancel_sent && self.results.len() < self.items
    }

    /// Whether an item was read as listed.
    pub fn is_listed(&self, item: &str) -> bool {
        self.results.iter().any(|result| result.item == item)
    }
}

/// An injected fault and when it was active.
#[derive(Debug, Clone)]
pub struct InjectedFault {
    pub fault: Fault,
    pub target: usize,
    pub from: Duration,
    pub until: Duration,
}

/// All records that the checks need.
pub struct Ledger {
    pub started: Duration,
    pub vms: Vec<SocketAddr>,
    pub requests: Mutex<Vec<OnlineRequest>>,
    pub unanswered: Mutex<Vec<UnansweredRequest>>,
    pub jobs: Mutex<HashMap<String, Job>>,
    /// Streams that callers resumed: the first attempt, and the data of all events received.
    pub streams: Mutex<Vec<(String, String)>>,
    pub faults: Mutex<Vec<InjectedFault>>,
    violations: Mutex<Vec<String>>,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(fleet: &Fleet, started: Duration) -> Ledger {
        Ledger {
            started,
            vms: fleet.vms.iter().map(|vm| vm.callers).collect(),
            requests: Mutex::default(),
            unanswered: Mutex::default(),
            jobs: Mutex::default(),
            streams: Mutex::default(),
            faults: Mutex::default(),
            violations: Mutex::default(),
        }
    }

    /// Records a violation.
    pub fn record_violation(&self, at: Duration, what: String) {
        let since = at.saturating_sub(self.started).as_secs_f64();
        lock(&self.violations).push(format!("{since:.3} s: {what}"));
    }

    /// All violations so far.
    pub fn all_violations(&self) -> Vec<String> {
        lock(&self.violations).clone()
    }

    /// Numbers of requests and of accepted jobs.
    pub fn counts(&self) -> (usize, usize) {
        let jobs = lock(&self.jobs);
        let accepted = jobs.values().filter(|job| job.accepted_at.is_some());
        (lock(&self.requests).len(), accepted.count())
    }

    /// Whether a fault that `matters` was active at any time in the interval.
    pub fn had_fault(
        &self,
        from: Duration,
        until: Duration,
        matters: impl Fn(&InjectedFault) -> bool,
    ) -> bool {
        let faults = lock(&self.faults);
        let during = |fault: &&InjectedFault| fault.from <= until && fault.until >= from;
        faults.iter().filter(during).any(matters)
    }
}
