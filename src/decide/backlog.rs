//! Limits the tokens of batch items that wait on a route, across all VMs.
//!
//! A VM counts waiting tokens from the job records and from the heartbeats of the other VMs, both
//! of which arrive with a delay. A job is therefore admitted on one of two paths. Each VM admits
//! jobs by itself, without any call to the store, up to an even share of a quarter of the free
//! tokens. All other jobs are first reserved in one record of the metadata store by
//! compare-and-swap, which orders them; reservations may use the limit less what all VMs may have
//! admitted by themselves in the meantime.
//!
//! Without this, a burst of jobs that reaches all VMs before any has received the others' reports
//! would be admitted by each VM's own count, and together they would exceed the limit several
//! times.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{self, JobId, Nonce};

/// Time until a VM has received the report of a job that another VM admitted: the heartbeat
/// interval across failure domains plus processing time.
pub const PEER_REPORT_DELAY: Duration = Duration::from_millis(700);
/// How long a job that a VM admitted by itself counts against the VM's share. Each VM acts on a
/// count that is [`PEER_REPORT_DELAY`] old; with a window of at least e times that delay the sum of
/// the shares approaches their part of the free tokens without overshooting. With a window of one
/// delay it overshoots by half when all VMs are flooded.
pub const SHARE_WINDOW: Duration = PEER_REPORT_DELAY.saturating_mul(3);
/// Window that covers the counts from which all shares in use now were computed.
pub const LOWEST_WAITING_WINDOW: Duration = PEER_REPORT_DELAY.saturating_mul(4);
/// The part of the free tokens that VMs admit without a reservation is one divided by this. When a
/// flood uses up the rest through reservations, that part stays empty at first, and a sixteenth of
/// the limit one window later. With a divisor of 2, jobs were refused at two thirds of the limit.
pub const SHARED_DIVISOR: u64 = 4;
/// A write without an answer may still take effect for some seconds, and a reservation may still be
/// used; after this time neither is counted.
pub const UNCERTAIN_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Reservations in one record. At 40 bytes each the record stays far below the size limit of a
/// value, and no route gets as many jobs within [`UNCERTAIN_WRITE_TIMEOUT`] while it is near its
/// limit.
pub const RESERVATIONS_MAX: usize = 512;
/// Window over which the rate of finished tokens is measured: several items long.
pub const FINISH_RATE_WINDOW: Duration = Duration::from_secs(8);
/// Bounds of the `Retry-After` time of a refused caller.
pub const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);
/// Also used while no tokens are finished: the time until there is capacity is unknown then, and one
/// poll in this interval is enough.
pub const RETRY_AFTER_MAX: Duration = Duration::from_secs(20);

/// Hash of a route's name, and of the workspace when its items are counted separately.
pub type RouteKey = u64;

/// Key under which the tokens of a route are counted. With a workspace, that of the workspace's own
/// limit on the route.
pub fn route_key(route: &str, workspace: Option<&str>) -> RouteKey {
    let of_route = id::of(route);
    workspace.map_or(of_route, |workspace| {
        id::weight(of_route, id::of(workspace))
    })
}

/// Waiting tokens and limit of one route when a job requests admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BacklogView {
    /// Tokens that may wait.
    pub limit_tokens: u64,
    /// Waiting tokens according to all reports received, including what this VM admitted itself.
    pub waiting_tokens: u64,
    /// VMs that may admit jobs, including this one; at least 1.
    pub vms: u32,
}

/// How a job may be admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionPath {
    /// Within this VM's share, without a call to the store.
    Share,
    /// Only after a reservation in the store.
    Reserve,
    /// Refused: the limit is reached.
    Full,
}

/// Reservation of one job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    pub job: JobId,
    pub tokens: u64,
}

/// The stored record of a route's reservations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservations {
    pub rows: Vec<Reservation>,
    pub nonce: Nonce,
}

/// State of the write of a job record that this VM admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum JobWrite {
    /// In progress, or its answer was lost.
    Open {
        since: Duration,
    },
    Confirmed {
        since: Duration,
    },
}

#[derive(Debug, Clone)]
struct Admission {
    route: RouteKey,
    tokens: u64,
    path: AdmissionPath,
    write: JobWrite,
}

/// Jobs that one VM admitted recently, and the rate at which tokens are finished by route.
#[derive(Debug, Default)]
pub struct Backlog {
    admissions: HashMap<JobId, Admission>,
    /// When this VM first saw each reservation in the record.
    reservation_seen_at: HashMap<JobId, Duration>,
    /// Finished tokens by route, with the time when they became known; oldest first.
    finished_tokens: HashMap<RouteKey, Vec<(Duration, u64)>>,
    /// Waiting tokens by route and time; oldest first.
    waiting_samples: HashMap<RouteKey, VecDeque<(Duration, u64)>>,
}

impl Backlog {
    /// Decides whether a job is admitted, and counts it when it fits this VM's share.
    pub fn request_admission(
        &mut self,
        now: Duration,
        route: RouteKey,
        job: &JobId,
        tokens: u64,
        view: BacklogView,
    ) -> AdmissionPath {
        if tokens > free_tokens(view) {
            return AdmissionPath::Full;
        }
        let own_tokens = self.unreported_tokens(now, route);
        let shared_tokens = free_tokens_without_own(view, own_tokens) / SHARED_DIVISOR;
        if own_tokens + tokens <= shared_tokens / u64::from(view.vms.max(1)) {
            self.admit(now, route, job, tokens, AdmissionPath::Share);
            return AdmissionPath::Share;
        }
        AdmissionPath::Reserve
    }

    /// Records the waiting tokens of a route; called several times within [`PEER_REPORT_DELAY`].
    pub fn note_waiting(&mut self, now: Duration, route: RouteKey, waiting_tokens: u64) {
        let samples = self.waiting_samples.entry(route).or_default();
        let expired = |at: Duration| now >= at + LOWEST_WAITING_WINDOW;
        while samples.front().is_some_and(|(at, _)| expired(*at)) {
            samples.pop_front();
        }
        samples.push_back((now, waiting_tokens));
    }

    /// Lowest count of waiting tokens from which shares in use now were computed. Zero while this
    /// VM has no sample that old.
    fn lowest_waiting(&self, now: Duration, route: RouteKey, view: BacklogView) -> u64 {
        let samples = self.waiting_samples.get(&route);
        let is_old_enough = |(at, _): &&(Duration, u64)| now >= *at + SHARE_WINDOW;
        let Some(samples) =
            samples.filter(|samples| samples.front().as_ref().is_some_and(is_old_enough))
        else {
            return 0;
        };
        let lowest = samples.iter().map(|(_, tokens)| *tokens).min();
        lowest.unwrap_or(0).min(view.waiting_tokens)
    }

    /// The record with a reservation for the job; `None` when it doesn't fit beside the others.
    ///
    /// `known` returns whether a job's record is known here, so that `view` counts it.
    ///
    /// Leaves free what other VMs may admit by their shares. Without this, a flood of reservations
    /// would use tokens that they still admit against, since their counts are [`PEER_REPORT_DELAY`]
    /// old.
    #[allow(clippy::too_many_arguments)]
    pub fn reserve(
        &mut self,
        now: Duration,
        route: RouteKey,
        before: &Reservations,
        requested: &Reservation,
        view: BacklogView,
        known: impl Fn(&JobId) -> bool,
        nonce: Nonce,
    ) -> Option<Reservations> {
        let mut rows = before.rows.clone();
        for row in &rows {
            self.reservation_seen_at
                .entry(row.job.clone())
                .or_insert(now);
        }
        let seen_at = &self.reservation_seen_at;
        rows.retain(|row| {
            let counted_for = if known(&row.job) {
                SHARE_WINDOW
            } else {
                UNCERTAIN_WRITE_TIMEOUT
            };
            row.job != requested.job && now < seen_at[&row.job] + counted_for
        });
        let unknown = rows.iter().filter(|row| !known(&row.job));
        let reserved_tokens: u64 = unknown.map(|row| row.tokens).sum();
        let lowest_waiting = self.lowest_waiting(now, route, view);
        let shared_tokens = view.limit_tokens.saturating_sub(lowest_waiting) / SHARED_DIVISOR;
        let available = free_tokens(view).saturating_sub(shared_tokens);
        if rows.len() >= RESERVATIONS_MAX || reserved_tokens + requested.tokens > available {
            return None;
        }
        rows.push(requested.clone());
        self.reservation_seen_at
            .retain(|_, at| now < *at + 2 * UNCERTAIN_WRITE_TIMEOUT);
        Some(Reservations { rows, nonce })
    }

    /// Records that a reservation was written; the write of the job record follows.
    pub fn reservation_written(
        &mut self,
        now: Duration,
        route: RouteKey,
        reservation: &Reservation,
    ) {
        self.admit(
            now,
            route,
            &reservation.job,
            reservation.tokens,
            AdmissionPath::Reserve,
        );
    }

    fn admit(
        &mut self,
        now: Duration,
        route: RouteKey,
        job: &JobId,
        tokens: u64,
        path: AdmissionPath,
    ) {
        let write = JobWrite::Open { since: now };
        let admission = Admission {
            route,
            tokens,
            path,
            write,
        };
        self.admissions.insert(job.clone(), admission);
    }

    /// Records that the job record was written.
    pub fn job_written(&mut self, now: Duration, job: &JobId) {
        if let Some(admission) = self.admissions.get_mut(job) {
            admission.write = JobWrite::Confirmed { since: now };
        }
    }

    /// Forgets a job whose record was not written and will not be.
    pub fn job_abandoned(&mut self, job: &JobId) {
        self.admissions.remove(job);
    }

    /// Route keys of the jobs whose records are being written here.
    pub fn keys_being_written(&self) -> impl Iterator<Item = RouteKey> + '_ {
        let open = |admission: &&Admission| matches!(admission.write, JobWrite::Open { .. });
        self.admissions
            .values()
            .filter(open)
            .map(|admission| admission.route)
    }

    /// Tokens of jobs whose records are being written here and are not known yet.
    pub fn tokens_being_written(&self, route: RouteKey, known: impl Fn(&JobId) -> bool) -> u64 {
        let open = |(job, admission): &(&JobId, &Admission)| {
            admission.route == route
                && matches!(admission.write, JobWrite::Open { .. })
                && !known(job)
        };
        self.admissions
            .iter()
            .filter(open)
            .map(|(_, admission)| admission.tokens)
            .sum()
    }

    /// Tokens that this VM admitted by its share and that other VMs may not have counted yet.
    fn unreported_tokens(&mut self, now: Duration, route: RouteKey) -> u64 {
        self.admissions
            .retain(|_, admission| match admission.write {
                JobWrite::Open { since } => now < since + UNCERTAIN_WRITE_TIMEOUT,
                JobWrite::Confirmed { since } => now < since + SHARE_WINDOW,
            });
        let own = |admission: &&Admission| {
            admission.route == route && admission.path == AdmissionPath::Share
        };
        self.admissions
            .values()
            .filter(own)
            .map(|admission| admission.tokens)
            .sum()
    }

    /// Records tokens that became known as finished.
    pub fn tokens_finished(&mut self, now: Duration, route: RouteKey, tokens: u64) {
        let samples = self.finished_tokens.entry(route).or_default();
        samples.retain(|(at, _)| now < *at + FINISH_RATE_WINDOW);
        samples.push((now, tokens));
    }

    /// Time after which a refused job may fit, from the rate of finished tokens.
    pub fn retry_after(
        &self,
        now: Duration,
        route: RouteKey,
        tokens: u64,
        view: BacklogView,
    ) -> Duration {
        let samples = self
            .finished_tokens
            .get(&route)
            .map_or(&[][..], Vec::as_slice);
        let recent = samples
            .iter()
            .filter(|(at, _)| now < *at + FINISH_RATE_WINDOW);
        let finished: u64 = recent.map(|(_, tokens)| tokens).sum();
        if finished == 0 {
            return RETRY_AFTER_MAX;
        }
        let excess = (view.waiting_tokens + 2 * tokens).saturating_sub(view.limit_tokens);
        let wait = FINISH_RATE_WINDOW.mul_f64(excess as f64 / finished as f64);
        wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }
}

fn free_tokens(view: BacklogView) -> u64 {
    view.limit_tokens.saturating_sub(view.waiting_tokens)
}

/// Free tokens before what this VM admitted recently by its share: all VMs take their shares of the
/// same amount.
fn free_tokens_without_own(view: BacklogView, own_tokens: u64) -> u64 {
    let waiting = view.waiting_tokens.saturating_sub(own_tokens);
    view.limit_tokens.saturating_sub(waiting)
}
