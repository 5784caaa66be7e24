//! How much of its VM's memory and descriptors a process spends on what, and who yields when callers
//! want more than their part.

use std::collections::HashMap;
use std::time::Duration;

/// Memory of the program, its tables and what the allocator keeps.
const BASE_BYTES: usize = 20 * 1000 * 1000;
/// Least memory that is shared out, however little the VM has.
const SHARED_BYTES_MIN: usize = 12 * 1000 * 1000;
/// Memory of a caller's connection with a request in flight: tasks, buffers of both connections, a
/// head, and short events of the answer.
pub const CONNECTION_BYTES: usize = 32 * 1024;
/// Part of the descriptors that callers' connections take. As many are left for their requests'
/// connections to endpoints, and what remains for the store.
const CALLER_DESCRIPTORS: f64 = 0.3;
/// Part of the descriptors that idle connections to endpoints take.
const IDLE_DESCRIPTORS: f64 = 0.05;
/// Part of the descriptors that connections of other VMs take.
const PEER_DESCRIPTORS: f64 = 0.25;
/// Part of the descriptors that connections to each kind of internal pages take.
const PAGE_DESCRIPTORS: f64 = 0.02;
/// Connections to each kind of internal pages at least.
const PAGE_CONNECTIONS_MIN: usize = 4;
/// Most memory for cached parts: jobs of one minute take less.
const CACHE_BYTES_MAX: usize = 16 * 1024 * 1024;
/// What holds at most this much is small.
pub const SMALL_BYTES: usize = 64 * 1024;
/// Part of a room that is left to what is small.
const SMALL_SHARE: f64 = 0.25;
/// A body that has received nothing for this long yields to any other, and so does a reply of which
/// nothing was read.
pub const STALLED_AFTER: Duration = Duration::from_millis(500);

/// What a VM grants one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    pub memory_bytes: usize,
    /// Descriptors that sockets can use.
    pub descriptors: usize,
}

/// What a process spends its grant on. Invariant: the bytes add up to the granted memory at most, if
/// that covers [`BASE_BYTES`] and [`SHARED_BYTES_MIN`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Callers' connections and the heads of their requests.
    pub connection_bytes: usize,
    /// Bodies of requests, from their first bytes until the requests end.
    pub body_bytes: usize,
    /// Copies of a submission while it is stored, and calls of other VMs on the store.
    pub submission_bytes: usize,
    /// Items of the batch jobs that run here.
    pub job_bytes: usize,
    /// Records of batch jobs, of this VM and of all others.
    pub record_bytes: usize,
    /// Answers that are collected, and events that wait for their callers.
    pub answer_bytes: usize,
    /// Replies with results of batch jobs or bodies of items, until they are sent.
    pub reply_bytes: usize,
    /// Cached parts of batch jobs.
    pub cache_bytes: usize,
    /// Callers' connections.
    pub connections_max: usize,
    /// Idle connections to endpoints.
    pub idle_connections_max: usize,
    /// Connections of other VMs.
    pub peer_connections_max: usize,
    /// Connections to the pages of the load balancer, and as many to those of operators.
    pub page_connections_max: usize,
}

impl Budget {
    pub fn of(grant: Grant) -> Budget {
        let shared = grant.memory_bytes.saturating_sub(BASE_BYTES);
        let shared = shared.max(SHARED_BYTES_MIN);
        let part = |percent: usize| shared / 100 * percent;
        let descriptors = |share: f64| (grant.descriptors as f64 * share) as usize;
        let connection_bytes = part(22);
        Budget {
            connection_bytes,
            body_bytes: part(23),
            submission_bytes: part(17),
            job_bytes: part(8),
            record_bytes: part(7),
            answer_bytes: part(7),
            reply_bytes: part(7),
            cache_bytes: part(9).min(CACHE_BYTES_MAX),
            connections_max: descriptors(CALLER_DESCRIPTORS)
                .min(connection_bytes / CONNECTION_BYTES),
            idle_connections_max: descriptors(IDLE_DESCRIPTORS),
            peer_connections_max: descriptors(PEER_DESCRIPTORS),
            page_connections_max: descriptors(PAGE_DESCRIPTORS).max(PAGE_CONNECTIONS_MIN),
        }
    }
}

/// How much of a room can be taken by something that then holds `held_bytes`. What is large leaves a
/// part to what is small.
pub fn usable_bytes(room_bytes: usize, held_bytes: usize) -> usize {
    match held_bytes <= SMALL_BYTES {
        true => room_bytes,
        false => room_bytes - (room_bytes as f64 * SMALL_SHARE) as usize,
    }
}

/// Id of a body that is being read.
pub type BodyId = u64;

/// A body that is being read.
#[derive(Debug, Clone, Copy)]
struct UnfinishedBody {
    bytes: usize,
    grown_at: Duration,
}

/// The room that callers' bodies share.
#[derive(Debug, Default)]
pub struct BodyRoom {
    room_bytes: usize,
    unfinished: HashMap<BodyId, UnfinishedBody>,
    /// Invariant: the sum of `unfinished`.
    unfinished_bytes: usize,
    next_body: BodyId,
}

impl BodyRoom {
    pub fn new(room_bytes: usize) -> BodyRoom {
        BodyRoom {
            room_bytes,
            ..BodyRoom::default()
        }
    }

    /// Adds a body without bytes.
    pub fn begin(&mut self, now: Duration) -> BodyId {
        let body = self.next_body;
        self.next_body += 1;
        let empty = UnfinishedBody {
            bytes: 0,
            grown_at: now,
        };
        self.unfinished.insert(body, empty);
        body
    }

    /// Gives a body more bytes, while finished ones hold `finished_bytes`. Returns the bodies that
    /// yield to it; `None` if there is no room, or if it has yielded itself.
    ///
    /// Counting what has arrived, not what is announced, a client can't keep others out by
    /// announcing bodies. Clients that stop short of the end can't either: stalled bodies yield, and
    /// so do those that are larger.
    pub fn grow(
        &mut self,
        now: Duration,
        body: BodyId,
        more_bytes: usize,
        finished_bytes: usize,
    ) -> Option<Vec<BodyId>> {
        let held_bytes = self.unfinished.get(&body)?.bytes + more_bytes;
        let usable_bytes = usable_bytes(self.room_bytes, held_bytes);
        let needed_bytes = self.unfinished_bytes + finished_bytes + more_bytes;
        let missing_bytes = needed_bytes.saturating_sub(usable_bytes);
        let yielding = self.yielding(now, body, held_bytes, missing_bytes)?;
        for other in &yielding {
            self.end(*other);
        }
        self.unfinished_bytes += more_bytes;
        let row = self.unfinished.get_mut(&body)?;
        (row.bytes, row.grown_at) = (held_bytes, now);
        Some(yielding)
    }

    /// The bodies that free `missing_bytes` for a body that then holds `held_bytes`; `None` if they
    /// don't have as many.
    fn yielding(
        &self,
        now: Duration,
        body: BodyId,
        held_bytes: usize,
        missing_bytes: usize,
    ) -> Option<Vec<BodyId>> {
        if missing_bytes == 0 {
            return Some(Vec::new());
        }
        let others = self.unfinished.iter().filter(|(id, _)| **id != body);
        let mut others: Vec<_> = others
            .filter(|(_, other)| other.bytes > 0 && other.yields_to(now, held_bytes))
            .map(|(id, other)| (other.bytes, *id))
            .collect();
        others.sort_unstable();
        let mut yielding = Vec::new();
        let mut freed_bytes = 0;
        while freed_bytes < missing_bytes {
            let (bytes, other) = others.pop()?;
            freed_bytes += bytes;
            yielding.push(other);
        }
        Some(yielding)
    }

    /// Notes that bytes have arrived which needed no more memory.
    pub fn touch(&mut self, now: Duration, body: BodyId) {
        if let Some(row) = self.unfinished.get_mut(&body) {
            row.grown_at = now;
        }
    }

    /// Removes a body that is complete, has yielded, or was given up.
    pub fn end(&mut self, body: BodyId) {
        if let Some(row) = self.unfinished.remove(&body) {
            self.unfinished_bytes -= row.bytes;
        }
    }

    /// Bytes of the bodies that are being read.
    pub fn unfinished_bytes(&self) -> usize {
        self.unfinished_bytes
    }
}

impl UnfinishedBody {
    fn yields_to(&self, now: Duration, held_bytes: usize) -> bool {
        now >= self.grown_at + STALLED_AFTER || self.bytes > held_bytes
    }
}

/// What a caller's connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionWait {
    /// Its caller has not sent a whole request yet.
    FirstRequest,
    /// Its caller has been answered, or sends a further request.
    NextRequest,
    /// Its caller doesn't read the answer.
    ReadOfAnswer,
}

/// The connection to close so that another one can be served: the one that has waited longest for
/// its caller, and one that was never of use before others.
pub fn connection_to_close<Id: Copy + Ord>(
    connections: impl Iterator<Item = (Id, ConnectionWait, Duration)>,
) -> Option<Id> {
    let first = connections.min_by_key(|(id, wait, since)| (*wait, *since, *id));
    first.map(|(id, ..)| id)
}
