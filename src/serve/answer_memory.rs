//! Limits the memory of answers that are collected, and of events that wait for their callers.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::decide::memory::usable_bytes;

/// Room for answers.
#[derive(Debug, Clone)]
pub struct AnswerMemory {
    room_bytes: usize,
    free_bytes: Arc<Semaphore>,
}

/// Memory that is taken until this is dropped.
#[derive(Debug)]
pub struct TakenMemory {
    memory: AnswerMemory,
    permit: Option<OwnedSemaphorePermit>,
}

impl AnswerMemory {
    /// Answers that take `room_bytes` together.
    pub fn new(room_bytes: usize) -> AnswerMemory {
        let room_bytes = room_bytes.min(Semaphore::MAX_PERMITS);
        AnswerMemory {
            room_bytes,
            free_bytes: Arc::new(Semaphore::new(room_bytes)),
        }
    }

    /// Nothing yet.
    pub fn take_nothing(&self) -> TakenMemory {
        TakenMemory {
            memory: self.clone(),
            permit: None,
        }
    }
}

impl TakenMemory {
    /// Takes memory up to this size; false if there is no room. One answer may take more than the room
    /// while there is no other.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let taken_bytes = self.permit.as_ref().map_or(0, |taken| taken.num_permits());
        let Some(more_bytes) = bytes.checked_sub(taken_bytes).filter(|more| *more > 0) else {
            return true;
        };
        let AnswerMemory {
            room_bytes,
            free_bytes,
        } = &self.memory;
        let kept_bytes = room_bytes - usable_bytes(*room_bytes, bytes);
        let available_bytes = free_bytes.available_permits();
        let is_alone = available_bytes + taken_bytes == *room_bytes;
        if !is_alone && available_bytes < more_bytes + kept_bytes {
            return false;
        }
        let Ok(permits) = u32::try_from(more_bytes.min(available_bytes)) else {
            return false;
        };
        let Ok(more) = free_bytes.clone().try_acquire_many_owned(permits) else {
            return false;
        };
        match &mut self.permit {
            Some(taken) => taken.merge(more),
            None => self.permit = Some(more),
        }
        true
    }
}

/// Bytes that hold something until their last copy is dropped.
struct HeldBytes<T> {
    bytes: Bytes,
    _held: T,
}

impl<T> AsRef<[u8]> for HeldBytes<T> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Bytes that hold `held` until their last copy is dropped.
pub fn hold<T: Send + 'static>(bytes: Bytes, held: T) -> Bytes {
    Bytes::from_owner(HeldBytes { bytes, _held: held })
}

/// An answer as far as it has been collected.
#[derive(Debug)]
pub struct CollectedAnswer {
    bytes: BytesMut,
    /// Invariant: covers `bytes`.
    taken: TakenMemory,
}

impl CollectedAnswer {
    /// An empty answer.
    pub fn new(memory: &AnswerMemory) -> CollectedAnswer {
        CollectedAnswer {
            bytes: BytesMut::new(),
            taken: memory.take_nothing(),
        }
    }

    /// Appends bytes; false if there is no room for them.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        if !self.taken.grow_to(self.bytes.len() + bytes.len()) {
            return false;
        }
        self.bytes.extend_from_slice(bytes);
        true
    }

    pub fn collected_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// The whole answer, which counts until its last copy is dropped.
    pub fn freeze(self) -> Bytes {
        hold(self.bytes.freeze(), self.taken)
    }
}
