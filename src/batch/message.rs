//! Messages to the event loop of the batch process.

use std::sync::Arc;

use super::items::ChunkItems;
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
    ChunkLoaded {
        key: ChunkKey,
        run: u64,
        chunk_items: Arc<ChunkItems>,
    },
    Stop,
}
