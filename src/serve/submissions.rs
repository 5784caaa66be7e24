//! Memory of submissions while they are stored, and of calls on the store for other VMs.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use crate::decide::memory::{usable_bytes, SMALL_BYTES};

/// Copies of a submission that are held at once: as items, as they are stored, and as they are sent
/// to the store or to another VM.
const COPIES_MAX: usize = 4;
/// Unit in which memory is taken.
const UNIT_BYTES: usize = 1024;
/// Time that a submission waits for memory. Its caller has the time to send it to another VM.
const WAIT_MAX: Duration = Duration::from_millis(1500);

/// Room for submissions, in the order of their arrival. Small ones have a part of their own.
pub struct SubmissionMemory {
    small: Arc<Semaphore>,
    large: Arc<Semaphore>,
    /// All of `large`, which a single submission takes if it needs more.
    large_units: usize,
}

impl SubmissionMemory {
    pub fn new(room_bytes: usize) -> SubmissionMemory {
        let large_bytes = usable_bytes(room_bytes, room_bytes);
        let large_units = large_bytes / UNIT_BYTES;
        SubmissionMemory {
            small: Arc::new(Semaphore::new((room_bytes - large_bytes) / UNIT_BYTES)),
            large: Arc::new(Semaphore::new(large_units)),
            large_units,
        }
    }

    /// Takes memory for a submission of this size; `None` if there is none in time.
    pub async fn take(&self, submission_bytes: usize) -> Option<OwnedSemaphorePermit> {
        let needed_units = submission_bytes.saturating_mul(COPIES_MAX) / UNIT_BYTES + 1;
        let (room, units) = match submission_bytes <= SMALL_BYTES {
            true => (&self.small, needed_units),
            false => (&self.large, needed_units.min(self.large_units)),
        };
        let units = u32::try_from(units).unwrap_or(u32::MAX);
        let taken = timeout(WAIT_MAX, room.clone().acquire_many_owned(units)).await;
        // The semaphores are never closed.
        taken.ok()?.ok()
    }
}
