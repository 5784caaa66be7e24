//! The limit on tokens of batch items that wait on a route, kept by all VMs together.
//!
//! A VM knows what waits from the jobs' records and from the other VMs' heartbeats, both late. So a job
//! comes in by one of two ways. Each VM has an even share of a quarter of the room that is left, which
//! it hands out by itself, without any call. What that doesn't hold is written into one record of the
//! metadata store by compare-and-swap, which orders these jobs, up to the limit less whatever all VMs
//! may have handed out by themselves meanwhile.
//!
//! The failure: a burst of jobs reaches all VMs within the time in which none has heard of the others.
//! Each would take what fits by its own count, and together they would exceed the limit several times.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{self, JobId, Nonce};

/// A VM has heard of a job that another one took: the pace of heartbeats across failure domains and the
/// time to handle one.
pub const HEARD_AFTER: Duration = Duration::from_millis(700);
/// What a VM let in by itself counts against its share for so long. Each acts on a count that is
/// [`HEARD_AFTER`] old; with a window of at least e times that delay the sum of the shares rises to
/// their part of the room without passing it. With a window of one delay it passes it by half when all
/// VMs are flooded.
pub const SHARE_WINDOW: Duration = HEARD_AFTER.saturating_mul(3);
/// Shares in use now were worked out from what waited within this time.
pub const LOWEST_WINDOW: Duration = HEARD_AFTER.saturating_mul(4);
/// Part of the room that is handed out without asking: one in so many. A flood that uses up the rest by
/// reservations leaves that much empty at first, and a sixteenth of the limit a window later; with a
/// half each, jobs were refused at two thirds of the limit.
pub const SHARED_PART: u64 = 4;
/// A write whose answer was lost may still take effect for some seconds, and so may a reservation be
/// used; after this nobody counts on either.
pub const DOUBT: Duration = Duration::from_secs(10);
/// Reservations in one record: 40 bytes each keep it far below what a value holds, and no route gets as
/// many jobs within [`DOUBT`] while it is near its limit.
pub const RESERVED_MAX: usize = 512;
/// Window over which the pace of finished tokens is taken: several items long.
pub const PACE_WINDOW: Duration = Duration::from_secs(8);
/// Bounds of the time after which a refused caller is told to come back.
pub const RETURN_MIN: Duration = Duration::from_millis(500);
/// While nothing is finished nobody can say when there will be room; this is the time that one look
/// at the queue is worth.
pub const RETURN_MAX: Duration = Duration::from_secs(20);

/// Hash of a route's name, and of the workspace whose items are counted there.
pub type RouteKey = u64;

/// The key of a route's tokens; those of each workspace have a limit of their own.
pub fn key(route: &str, workspace: Option<&str>) -> RouteKey {
    let of_route = id::of(route);
    workspace.map_or(of_route, |workspace| {
        id::weight(of_route, id::of(workspace))
    })
}

/// What a VM knows of one route when a job asks to be let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BacklogView {
    /// Tokens that may wait.
    pub limit_tokens: u64,
    /// Tokens that wait, by all that this VM has heard, with what it took itself.
    pub waiting_tokens: u64,
    /// VMs that may let jobs in, this one included; at least 1.
    pub vms: u32,
}

/// How a job may come in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionPath {
    /// Within this VM's own share.
    Share,
    /// Only once it is reserved in the store.
    Reserve,
    /// Not now.
    Full,
}

/// One job that was reserved.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserved {
    pub job: JobId,
    pub tokens: u64,
}

/// The store's record of a route's reservations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservations {
    pub rows: Vec<Reserved>,
    pub nonce: Nonce,
}

/// Where the write of a job stands that this VM lets in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Write {
    /// Under way, or its answer was lost.
    Open {
        since: Duration,
    },
    Stands {
        since: Duration,
    },
}

#[derive(Debug, Clone)]
struct Admission {
    route: RouteKey,
    tokens: u64,
    way: AdmissionPath,
    write: Write,
}

/// What one VM has let in of late, and how fast routes' tokens are finished.
#[derive(Debug, Default)]
pub struct Backlog {
    rows: HashMap<JobId, Admission>,
    /// When this VM first saw each reservation.
    reserved_at: HashMap<JobId, Duration>,
    /// Finished tokens by route, with when they became known; the oldest first.
    finished: HashMap<RouteKey, Vec<(Duration, u64)>>,
    /// Tokens that waited by route and time, the oldest first.
    waited: HashMap<RouteKey, VecDeque<(Duration, u64)>>,
}

impl Backlog {
    /// Decides on a job, and counts it when it may come in by this VM's share.
    pub fn request_admission(
        &mut self,
        now: Duration,
        route: RouteKey,
        job: &JobId,
        tokens: u64,
        view: BacklogView,
    ) -> AdmissionPath {
        if tokens > room(view) {
            return AdmissionPath::Full;
        }
        let own = self.unseen(now, route);
        let shared = room_before(view, own) / SHARED_PART;
        if own + tokens <= shared / u64::from(view.vms.max(1)) {
            self.admit(now, route, job, tokens, AdmissionPath::Share);
            return AdmissionPath::Share;
        }
        AdmissionPath::Reserve
    }

    /// Notes what waits on a route; told a few times within [`HEARD_AFTER`].
    pub fn note_waiting(&mut self, now: Duration, route: RouteKey, waiting_tokens: u64) {
        let seen = self.waited.entry(route).or_default();
        let old = |at: Duration| now >= at + LOWEST_WINDOW;
        while seen.front().is_some_and(|(at, _)| old(*at)) {
            seen.pop_front();
        }
        seen.push_back((now, waiting_tokens));
    }

    /// The least that waited while shares in use now were worked out. A VM that does not know it for
    /// that long takes it that nothing did.
    fn lowest(&self, now: Duration, route: RouteKey, view: BacklogView) -> u64 {
        let seen = self.waited.get(&route);
        let known = |(at, _): &&(Duration, u64)| now >= *at + SHARE_WINDOW;
        let Some(seen) = seen.filter(|seen| seen.front().as_ref().is_some_and(known)) else {
            return 0;
        };
        let least = seen.iter().map(|(_, tokens)| *tokens).min();
        least.unwrap_or(0).min(view.waiting_tokens)
    }

    /// The record with a reservation for the job; `None` when it doesn't fit beside the others.
    ///
    /// `known` tells whether a job's record is known here, so that `view` counts it.
    ///
    /// Shares that other VMs hand out meanwhile are left free. The failure: they go by counts that are
    /// [`HEARD_AFTER`] old, and a flood of reservations takes the room from under them.
    #[allow(clippy::too_many_arguments)]
    pub fn reserve(
        &mut self,
        now: Duration,
        route: RouteKey,
        before: &Reservations,
        asked: &Reserved,
        view: BacklogView,
        known: impl Fn(&JobId) -> bool,
        nonce: Nonce,
    ) -> Option<Reservations> {
        let mut rows = before.rows.clone();
        for row in &rows {
            self.reserved_at.entry(row.job.clone()).or_insert(now);
        }
        let seen_at = &self.reserved_at;
        rows.retain(|row| {
            let kept = if known(&row.job) { SHARE_WINDOW } else { DOUBT };
            row.job != asked.job && now < seen_at[&row.job] + kept
        });
        let unknown = rows.iter().filter(|row| !known(&row.job));
        let held: u64 = unknown.map(|row| row.tokens).sum();
        let lowest = self.lowest(now, route, view);
        let shared = view.limit_tokens.saturating_sub(lowest) / SHARED_PART;
        let left = room(view).saturating_sub(shared);
        if rows.len() >= RESERVED_MAX || held + asked.tokens > left {
            return None;
        }
        rows.push(asked.clone());
        self.reserved_at.retain(|_, at| now < *at + 2 * DOUBT);
        Some(Reservations { rows, nonce })
    }

    /// A reservation stands: the job's own write follows.
    pub fn reserved(&mut self, now: Duration, route: RouteKey, asked: &Reserved) {
        self.admit(now, route, &asked.job, asked.tokens, AdmissionPath::Reserve);
    }

    fn admit(
        &mut self,
        now: Duration,
        route: RouteKey,
        job: &JobId,
        tokens: u64,
        way: AdmissionPath,
    ) {
        let write = Write::Open { since: now };
        let row = Admission {
            route,
            tokens,
            way,
            write,
        };
        self.rows.insert(job.clone(), row);
    }

    /// The job's record stands.
    pub fn job_written(&mut self, now: Duration, job: &JobId) {
        if let Some(row) = self.rows.get_mut(job) {
            row.write = Write::Stands { since: now };
        }
    }

    /// Nothing of the job was written, nor will be.
    pub fn job_abandoned(&mut self, job: &JobId) {
        self.rows.remove(job);
    }

    /// Keys of the jobs that are being written here.
    pub fn keys_being_written(&self) -> impl Iterator<Item = RouteKey> + '_ {
        let open = |row: &&Admission| matches!(row.write, Write::Open { .. });
        self.rows.values().filter(open).map(|row| row.route)
    }

    /// Tokens of jobs that are being written here and are not known from their records.
    pub fn being_written(&self, route: RouteKey, known: impl Fn(&JobId) -> bool) -> u64 {
        let open = |(job, row): &(&JobId, &Admission)| {
            row.route == route && matches!(row.write, Write::Open { .. }) && !known(job)
        };
        self.rows
            .iter()
            .filter(open)
            .map(|(_, row)| row.tokens)
            .sum()
    }

    /// Tokens that this VM took by itself and that others may not have counted yet.
    fn unseen(&mut self, now: Duration, route: RouteKey) -> u64 {
        self.rows.retain(|_, row| match row.write {
            Write::Open { since } => now < since + DOUBT,
            Write::Stands { since } => now < since + SHARE_WINDOW,
        });
        let own = |row: &&Admission| row.route == route && row.way == AdmissionPath::Share;
        self.rows.values().filter(own).map(|row| row.tokens).sum()
    }

    /// Notes tokens that became known as finished.
    pub fn finished(&mut self, now: Duration, route: RouteKey, tokens: u64) {
        let rows = self.finished.entry(route).or_default();
        rows.retain(|(at, _)| now < *at + PACE_WINDOW);
        rows.push((now, tokens));
    }

    /// When a job that was refused may find room, from how fast waiting tokens are finished.
    pub fn return_after(
        &self,
        now: Duration,
        route: RouteKey,
        tokens: u64,
        view: BacklogView,
    ) -> Duration {
        let rows = self.finished.get(&route).map_or(&[][..], Vec::as_slice);
        let recent = rows.iter().filter(|(at, _)| now < *at + PACE_WINDOW);
        let done: u64 = recent.map(|(_, tokens)| tokens).sum();
        if done == 0 {
            return RETURN_MAX;
        }
        let over = (view.waiting_tokens + 2 * tokens).saturating_sub(view.limit_tokens);
        let wait = PACE_WINDOW.mul_f64(over as f64 / done as f64);
        wait.clamp(RETURN_MIN, RETURN_MAX)
    }
}

fn room(view: BacklogView) -> u64 {
    view.limit_tokens.saturating_sub(view.waiting_tokens)
}

/// Room without what this VM took by itself of late: its share is one of all of them.
fn room_before(view: BacklogView, own: u64) -> u64 {
    let waiting = view.waiting_tokens.saturating_sub(own);
    view.limit_tokens.saturating_sub(waiting)
}
