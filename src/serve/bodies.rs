//! Bodies of callers' requests, which share a part of the VM's memory.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clock;
use crate::decide::memory::{BodyId, BodyRoom};
use crate::decide::refusal::RefusalKind;

/// Time for which the rest of a refused body is read.
const DISCARD_TIME: Duration = Duration::from_secs(2);
/// Capacity of a body's first buffer, if the body is not known to be shorter.
const FIRST_BYTES: usize = 1024;

/// The bodies of all requests.
pub struct Bodies {
    room: RefCell<BodyRoom>,
    /// Bodies that are being read. Invariant: `room` counts the capacity of their buffers.
    unfinished: RefCell<HashMap<BodyId, UnfinishedBody>>,
    /// Bytes of complete bodies whose last copy has not been dropped.
    finished_bytes: Arc<AtomicUsize>,
}

struct UnfinishedBody {
    buffer: Vec<u8>,
    /// Notified when the body has to yield.
    yielded: Rc<Notify>,
}

/// A complete body, which counts until its last copy is dropped.
struct FinishedBody {
    buffer: Vec<u8>,
    finished_bytes: Arc<AtomicUsize>,
}

impl AsRef<[u8]> for FinishedBody {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}

impl Drop for FinishedBody {
    fn drop(&mut self) {
        let bytes = self.buffer.len();
        self.finished_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Ends the reading of a body when it is dropped.
struct Reading<'a> {
    bodies: &'a Bodies,
    body: BodyId,
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        self.bodies.room.borrow_mut().end(self.body);
        self.bodies.unfinished.borrow_mut().remove(&self.body);
    }
}

/// Reads on after a request was refused, and keeps nothing.
///
/// A connection that is closed with bytes unread is reset, and the reset may reach a caller that
/// still sends before it has read the reply.
pub async fn discard(mut body: Incoming, bytes_max: usize) {
    let mut discarded_bytes = 0;
    let discard = async {
        while discarded_bytes <= bytes_max {
            let Some(Ok(frame)) = body.frame().await else {
                return;
            };
            discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
        }
    };
    // A caller that sends more has had the time to read the reply.
    let _ = timeout(DISCARD_TIME, discard).await;
}

impl Bodies {
    /// Bodies that take `room_bytes` together.
    pub fn new(room_bytes: usize) -> Bodies {
        Bodies {
            room: RefCell::new(BodyRoom::new(room_bytes)),
            unfinished: RefCell::default(),
            finished_bytes: Arc::default(),
        }
    }

    /// Reads a whole body of at most `bytes_max`; none of it if it is announced to be larger.
    pub async fn read(&self, body: &mut Incoming, bytes_max: usize) -> Result<Bytes, RefusalKind> {
        if body.size_hint().lower() > bytes_max as u64 {
            return Err(RefusalKind::TooLarge);
        }
        let (reading, yielded) = self.begin(clock::now());
        let announced_bytes = body.size_hint().exact().map(|bytes| bytes as usize);
        let expected_bytes = announced_bytes.unwrap_or(bytes_max);
        let mut read_bytes = 0;
        while !body.is_end_stream() {
            let frame = tokio::select! {
                biased;
                () = yielded.notified() => return Err(RefusalKind::MemoryFull),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else {
                break;
            };
            let frame = frame.map_err(|_| RefusalKind::BadRequest)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            read_bytes += data.len();
            if read_bytes > bytes_max {
                return Err(RefusalKind::TooLarge);
            }
            if !self.push(clock::now(), reading.body, &data, expected_bytes) {
                return Err(RefusalKind::MemoryFull);
            }
        }
        self.finish(reading).ok_or(RefusalKind::MemoryFull)
    }

    /// Bytes that bodies hold.
    pub fn held_bytes(&self) -> usize {
        let unfinished_bytes = self.room.borrow().unfinished_bytes();
        unfinished_bytes + self.finished_bytes.load(Ordering::Relaxed)
    }

    fn begin(&self, now: Duration) -> (Reading<'_>, Rc<Notify>) {
        let body = self.room.borrow_mut().begin(now);
        let yielded = Rc::<Notify>::default();
        let row = UnfinishedBody {
            buffer: Vec::new(),
            yielded: yielded.clone(),
        };
        self.unfinished.borrow_mut().insert(body, row);
        (Reading { bodies: self, body }, yielded)
    }

    /// Appends bytes to a body of about `expected_bytes`; false if there is no room for them.
    fn push(&self, now: Duration, body: BodyId, data: &[u8], expected_bytes: usize) -> bool {
        let mut unfinished = self.unfinished.borrow_mut();
        let Some(row) = unfinished.get_mut(&body) else {
            return false;
        };
        let (length, capacity) = (row.buffer.len(), row.buffer.capacity());
        let needed_bytes = length + data.len();
        let doubled_bytes = (2 * capacity).max(FIRST_BYTES).min(expected_bytes);
        let wanted_bytes = doubled_bytes.max(needed_bytes);
        if needed_bytes <= capacity {
            row.buffer.extend_from_slice(data);
            self.room.borrow_mut().touch(now, body);
            return true;
        }
        let finished_bytes = self.finished_bytes.load(Ordering::Relaxed);
        let more_bytes = wanted_bytes - capacity;
        let grown = self
            .room
            .borrow_mut()
            .grow(now, body, more_bytes, finished_bytes);
        // The memory of those that yield is free before this body takes it.
        for other in grown.iter().flatten() {
            if let Some(other) = unfinished.remove(other) {
                other.yielded.notify_one();
            }
        }
        let row = unfinished.get_mut(&body).filter(|_| grown.is_some());
        let Some(row) = row else {
            return false;
        };
        row.buffer.reserve_exact(wanted_bytes - length);
        row.buffer.extend_from_slice(data);
        true
    }

    fn finish(&self, reading: Reading<'_>) -> Option<Bytes> {
        let row = self.unfinished.borrow_mut().remove(&reading.body)?;
        drop(reading);
        let mut buffer = row.buffer;
        buffer.shrink_to_fit();
        self.finished_bytes
            .fetch_add(buffer.len(), Ordering::Relaxed);
        Some(Bytes::from_owner(FinishedBody {
            buffer,
            finished_bytes: self.finished_bytes.clone(),
        }))
    }
}
