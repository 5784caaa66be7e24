//! Messages to the event loop of the batch process.

use std::sync::Arc;

use super::items::Lines;
use crate::decide::batch::{ChunkKey, Event};
use crate::wire::ToBatch;

/// A message to the event loop.
#[derive(Debug)]
pub enum Message {
    Linked,
    Unlinked,
    Entry(ToBatch),
    Event(Event),
    /// The lines of a chunk were loaded, for [`Event::Loaded`].
    Lines {
        key: ChunkKey,
        run: u64,
        lines: Arc<Lines>,
    },
    Stop,
}
