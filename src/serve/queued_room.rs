//! Memory that is taken in the order of arrival, by submissions, jobs and replies.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use crate::decide::memory::{usable_bytes, SMALL_BYTES};

/// Copies of a submission that are held at once: as items, as they are stored, and as they are sent
/// to the store or to another VM.
const COPIES_MAX: usize = 4;
/// Copies of a reply that are held while it is made: what was read, and the reply itself.
const REPLY_COPIES_MAX: usize = 2;
/// Unit in which memory is taken.
const UNIT_BYTES: usize = 1024;
/// Time that a submission waits for memory. Its caller has the time to send it to another VM.
const WAIT_MAX: Duration = Duration::from_millis(1500);

/// A room that is taken in the order of arrival. What is small has a part of its own.
pub struct QueuedRoom {
    small: Arc<Semaphore>,
    large: Arc<Semaphore>,
    /// All of `large`, which one holder takes if it needs more.
    large_units: usize,
}

impl QueuedRoom {
    pub fn new(room_bytes: usize) -> QueuedRoom {
        let large_bytes = usable_bytes(room_bytes, room_bytes);
        let large_units = large_bytes / UNIT_BYTES;
        QueuedRoom {
            small: Arc::new(Semaphore::new((room_bytes - large_bytes) / UNIT_BYTES)),
            large: Arc::new(Semaphore::new(large_units)),
            large_units,
        }
    }

    /// Waits for memory for a submission of this size, or a call that contains one; `None` if there
    /// is none in time.
    pub async fn take_for_submission(
        &self,
        submission_bytes: usize,
    ) -> Option<OwnedSemaphorePermit> {
        let needed_bytes = submission_bytes.saturating_mul(COPIES_MAX);
        let is_small = submission_bytes <= SMALL_BYTES;
        timeout(WAIT_MAX, self.take(needed_bytes, is_small))
            .await
            .ok()?
    }

    /// Waits for memory for the items of a job.
    pub async fn take_for_job(&self, items_bytes: usize) -> Option<OwnedSemaphorePermit> {
        self.take(items_bytes, items_bytes <= SMALL_BYTES).await
    }

    /// Waits for memory for a reply.
    pub async fn take_for_reply(&self, reply_bytes: usize) -> Option<OwnedSemaphorePermit> {
        let needed_bytes = reply_bytes.saturating_mul(REPLY_COPIES_MAX);
        self.take(needed_bytes, reply_bytes <= SMALL_BYTES).await
    }

    async fn take(&self, bytes: usize, is_small: bool) -> Option<OwnedSemaphorePermit> {
        let needed_units = bytes / UNIT_BYTES + 1;
        let (room, units) = match is_small {
            true => (&self.small, needed_units),
            false => (&self.large, needed_units.min(self.large_units)),
        };
        let units = u32::try_from(units).unwrap_or(u32::MAX);
        // The semaphores are never closed.
        room.clone().acquire_many_owned(units).await.ok()
    }
}

/// Returns what a permit takes beyond `bytes`.
pub fn shrink(permit: &mut OwnedSemaphorePermit, bytes: usize) {
    let kept_units = bytes / UNIT_BYTES + 1;
    let surplus_units = permit.num_permits().saturating_sub(kept_units);
    drop(permit.split(surplus_units));
}
