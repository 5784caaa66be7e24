//! Evidence for and against a suspect: lost runs, endpoint ends and recent answers.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::Serialize;

use super::{Fingerprint, RunIdentity};
use crate::id::{EndpointId, Name};

/// Lost runs that are kept until it is known whether their endpoint has ended.
pub const LOST_RUNS_MAX: usize = 256;
/// How long they are kept: an endpoint's entry lapses within four seconds of its end, and the
/// removal arrives within two.
pub const LOST_RUN_LIFETIME: Duration = Duration::from_secs(6);
/// How long an end is kept, for lost runs that are reported later and to count ends of unrelated
/// endpoints.
pub const END_LIFETIME: Duration = Duration::from_secs(30);
/// A resumable run that has made progress for this long is not what ended its endpoint.
pub const PROGRESS_TIME_MIN: Duration = Duration::from_secs(1);
/// Ends this close together count as one failure burst: a rack loses its power, or a request is
/// retried at once.
const BURST_WINDOW: Duration = Duration::from_millis(200);
/// Ends kept for one suspect.
const ENDS_PER_SUSPECT_MAX: usize = 24;

/// Answered requests that are remembered; frequently repeated ones are always among them.
const ANSWERED_REQUESTS_MAX: usize = 512;
/// Prompt segments of answered requests that are remembered.
const ANSWERED_SEGMENTS_MAX: usize = 2048;

/// Who asked for a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, strum::IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RunKind {
    /// A caller that waits for the answer.
    Request,
    /// An item of a job.
    Item,
}

/// A run that lost its connection.
#[derive(Debug, Clone, PartialEq)]
pub struct LostRun {
    pub kind: RunKind,
    pub identity: RunIdentity,
    /// Description of the request for operators.
    pub label: Name,
    pub endpoint: EndpointId,
    pub at: Duration,
    /// How long the run had been in progress.
    pub ran: Duration,
    /// The run delivered output from which another run can resume.
    pub progressed: bool,
}

impl LostRun {
    /// Whether the run may be what ended its endpoint.
    ///
    /// Items run for seconds, so while endpoints end for other reasons each item happens to be
    /// running at three of the ends; without this rule it would be quarantined. An item that ends
    /// endpoints at a later point of its run is still detected: when it resumes there, it ends the
    /// next endpoint at once.
    pub(super) fn is_evidence(&self) -> bool {
        !self.progressed || self.ran < PROGRESS_TIME_MIN
    }
}

/// An endpoint that ended while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointEnd {
    pub endpoint: EndpointId,
    pub at: Duration,
}

/// Endpoints that ended while they ran requests of one suspect: the first ones, each endpoint process
/// at most once.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointEnds(Vec<EndpointEnd>);

impl EndpointEnds {
    /// Adds an end; false if it is known already or if there is no room. An end never replaces another
    /// one: VMs that keep different ends would forward them to each other for ever.
    pub fn add(&mut self, end: EndpointEnd) -> bool {
        if self.contains(end.endpoint) || self.0.len() >= ENDS_PER_SUSPECT_MAX {
            return false;
        }
        self.0.push(end);
        true
    }

    /// Drops the ends up to `moment`.
    pub fn drop_until(&mut self, moment: Duration) {
        self.0.retain(|end| end.at > moment);
    }

    /// Whether this endpoint's end is among them.
    pub fn contains(&self, endpoint: EndpointId) -> bool {
        self.0.iter().any(|end| end.endpoint == endpoint)
    }

    /// Ends after `moment`.
    pub fn since(&self, moment: Duration) -> impl Iterator<Item = &EndpointEnd> {
        self.0.iter().filter(move |end| end.at > moment)
    }

    /// Time of the latest end.
    pub fn last_at(&self) -> Duration {
        self.0.iter().map(|end| end.at).max().unwrap_or_default()
    }

    /// Iterates over the ends.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointEnd> {
        self.0.iter()
    }
}

/// Counts failure bursts: ends close together have one cause.
///
/// Otherwise, when all endpoints of a failure domain lose their power at one moment, a common
/// request that was running at each of them would be quarantined.
pub fn count_bursts(ends: impl IntoIterator<Item = Duration>) -> usize {
    let mut ends: Vec<Duration> = ends.into_iter().collect();
    ends.sort();
    let mut count = 0;
    let mut first: Option<Duration> = None;
    for at in ends {
        if first.is_none_or(|first| at > first + BURST_WINDOW) {
            count += 1;
            first = Some(at);
        }
    }
    count
}

/// An answer that ended with its connection.
#[derive(Debug, Clone, PartialEq)]
pub struct UnconfirmedAnswer {
    pub identity: RunIdentity,
    pub endpoint: EndpointId,
    pub at: Duration,
}

/// Requests and prompt segments that were recently answered, whether or not there is evidence
/// against them yet.
///
/// When most endpoints end within half a second, a common request may be running at each, and no
/// endpoint is left that could answer it and so clear it. Its earlier answer clears it, since a
/// request that ends its endpoints is never answered.
#[derive(Debug)]
pub struct RecentAnswers {
    requests: AnswerTimes,
    segments: AnswerTimes,
}

impl Default for RecentAnswers {
    fn default() -> RecentAnswers {
        RecentAnswers {
            requests: AnswerTimes::new(ANSWERED_REQUESTS_MAX),
            segments: AnswerTimes::new(ANSWERED_SEGMENTS_MAX),
        }
    }
}

impl RecentAnswers {
    /// Records an answer.
    pub fn record(&mut self, now: Duration, identity: &RunIdentity) {
        self.requests.record(now, identity.request);
        for segment in identity.segments() {
            self.segments.record(now, Fingerprint::of_segment(*segment));
        }
    }

    /// Time of a suspect's last answer.
    pub fn last_answer_at(&self, fingerprint: Fingerprint) -> Option<Duration> {
        let requests = self.requests.answered_at.get(&fingerprint);
        let segments = self.segments.answered_at.get(&fingerprint);
        requests.max(segments).copied()
    }
}

/// The last answers by fingerprint. The fingerprint that was recorded first is dropped first.
#[derive(Debug)]
struct AnswerTimes {
    size_max: usize,
    answered_at: HashMap<Fingerprint, Duration>,
    order: VecDeque<Fingerprint>,
}

impl AnswerTimes {
    fn new(size_max: usize) -> AnswerTimes {
        AnswerTimes {
            size_max,
            answered_at: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    fn record(&mut self, now: Duration, fingerprint: Fingerprint) {
        if self.answered_at.insert(fingerprint, now).is_some() {
            return;
        }
        self.order.push_back(fingerprint);
        if self.order.len() > self.size_max {
            let oldest = self.order.pop_front();
            oldest.map(|fingerprint| self.answered_at.remove(&fingerprint));
        }
    }
}
