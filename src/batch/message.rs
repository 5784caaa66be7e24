//! What the loop of the batch process takes.

use std::sync::Arc;

use super::items::Lines;
use crate::decide::batch::{ChunkKey, Event};
use crate::wire::ToBatch;

/// What the host's loop takes.
#[derive(Debug)]
pub enum Message {
    Linked,
    Unlinked,
    Entry(ToBatch),
    Event(Event),
    /// The lines of a chunk were read, for [`Event::Loaded`].
    Lines {
        key: ChunkKey,
        run: u64,
        lines: Arc<Lines>,
    },
    Stop,
}
