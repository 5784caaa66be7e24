//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::Snafu;
use tokio::task::yield_now;

use super::answer_memory::{AnswerMemory, TakenMemory};
use super::exchange::Failure;
use crate::decide::retry::AttemptStage;

/// Size limit of an unfinished event; an endpoint that exceeds it is broken.
const EVENT_BYTES_MAX: usize = 1024 * 1024;
/// Bytes of one stream that are part of what its connection takes.
pub const UNCOUNTED_BYTES: usize = 16 * 1024;
/// Size limit of comments and blank lines between two events.
const FILLER_BYTES_MAX: usize = 64 * 1024;

/// One whole event as received, including its blank line and any comments before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    pub raw: Bytes,
    pub id: Option<u64>,
}

impl Event {
    /// The values of its `data` lines, joined by line feeds.
    pub fn data(&self) -> String {
        let text = String::from_utf8_lossy(&self.raw);
        let lines = text.lines().filter_map(|line| field(line, "data"));
        lines.collect::<Vec<_>>().join("\n")
    }
}

/// Why a stream has no further event, although it has not ended.
#[derive(Debug, Snafu)]
pub enum StreamError {
    #[snafu(display("the stream broke off: {source}"), context(false))]
    BrokenOff { source: hyper::Error },
    #[snafu(display("the stream ended within an event"))]
    EndedWithinEvent,
    #[snafu(display("an event exceeds the size limit"))]
    EventTooLong,
    #[snafu(display("there is no memory left for an event"))]
    MemoryFull,
}

impl StreamError {
    /// The failure of an attempt whose answer had reached this stage.
    pub fn failure(&self, stage: AttemptStage) -> Failure {
        match self {
            StreamError::BrokenOff { .. } | StreamError::EndedWithinEvent => {
                Failure::of_connection(stage, self.to_string())
            }
            StreamError::EventTooLong => Failure::of_endpoint(stage, self.to_string()),
            StreamError::MemoryFull => Failure::not_of_endpoint(stage, self.to_string()),
        }
    }
}

/// The events of an answer, read from its body.
pub struct EventStream {
    body: Incoming,
    splitter: Splitter,
    memory: AnswerMemory,
    /// Invariant: covers what is buffered, if that is more than [`UNCOUNTED_BYTES`].
    taken: TakenMemory,
}

impl EventStream {
    /// Reads a body; long events take `memory`.
    pub fn new(body: Incoming, memory: &AnswerMemory) -> EventStream {
        EventStream {
            body,
            splitter: Splitter::default(),
            memory: memory.clone(),
            taken: memory.take_nothing(),
        }
    }

    /// The memory that the last events have taken.
    pub fn take_memory(&mut self) -> TakenMemory {
        std::mem::replace(&mut self.taken, self.memory.take_nothing())
    }

    /// Waits for the next whole events; `None` at the end of the stream. Nothing is lost if the future
    /// is dropped.
    pub async fn next(&mut self) -> Result<Option<Vec<Event>>, StreamError> {
        while let Some(frame) = self.body.frame().await.transpose()? {
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let buffered_bytes = self.splitter.buffer.len() + data.len();
            if buffered_bytes > UNCOUNTED_BYTES && !self.taken.grow_to(buffered_bytes) {
                return Err(StreamError::MemoryFull);
            }
            let events = self.splitter.push(&data);
            if !events.is_empty() {
                return Ok(Some(events));
            }
            if self.splitter.is_too_long() {
                return Err(StreamError::EventTooLong);
            }
            // A frame may always be ready. Without this, the caller's timers would not be polled.
            yield_now().await;
        }
        match self.splitter.has_partial() {
            true => Err(StreamError::EndedWithinEvent),
            false => Ok(None),
        }
    }

    /// Comments and blank lines after the last event.
    pub fn trailer(&mut self) -> Bytes {
        self.splitter.buffer.split().freeze()
    }
}

/// Checks that an event directly follows the last one.
///
/// The ids of a stream count up by one, so the next id is known. Without this check an endpoint
/// that leaves out an event, or repeats one, would give the caller a text with a gap or a
/// repetition that looks complete.
pub fn check_next(last: Option<u64>, event: Option<u64>) -> Result<(), String> {
    match (last, event) {
        (_, None) => Err("received an event without an id".into()),
        (Some(last), Some(event)) if event != last + 1 => {
            Err(format!("received event {event}, expected {}", last + 1))
        }
        _ => Ok(()),
    }
}

/// Buffers the bytes of an event that is not complete yet.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Leading bytes of `buffer` that belong to no event: comments and blank lines, which are passed
    /// on with the next event.
    filler: usize,
    /// Bytes of `buffer` that have been searched for the end of the event.
    searched: usize,
}

impl Splitter {
    /// Adds bytes and returns the events that are complete.
    ///
    /// Only whole events are passed on: an endpoint may die in the middle of one, and if the caller
    /// had received the first half, the stream could not resume at another endpoint without a
    /// broken or repeated event.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.block_end() {
            if !is_event(&self.buffer[self.filler..end]) {
                self.filler = end;
                self.searched = end;
                continue;
            }
            let raw = self.buffer.split_to(end).freeze();
            self.filler = 0;
            self.searched = 0;
            events.push(Event {
                id: event_id(&raw),
                raw,
            });
        }
        events
    }

    /// Whether part of an event is buffered.
    pub fn has_partial(&self) -> bool {
        let mut rest = self.buffer[self.filler..].iter();
        rest.any(|byte| !b"\r\n".contains(byte))
    }

    /// Whether the unfinished event, or what lies before it, exceeds the size limit.
    pub fn is_too_long(&self) -> bool {
        self.filler > FILLER_BYTES_MAX || self.buffer.len() - self.filler > EVENT_BYTES_MAX
    }

    /// End of the first whole block of lines, which may end in LF or CRLF lines.
    fn block_end(&mut self) -> Option<usize> {
        // An end may begin within the last three bytes already searched.
        let from = self.searched.saturating_sub(3).max(self.filler);
        let found = (from..self.buffer.len()).find_map(|at| {
            let tail = &self.buffer[at..];
            match tail {
                [b'\n', b'\n', ..] => Some(at + 2),
                [b'\n', b'\r', b'\n', ..] => Some(at + 3),
                _ => None,
            }
        });
        self.searched = self.buffer.len();
        found
    }
}

/// Whether a block of lines is an event: others are comments and blank lines.
fn is_event(block: &[u8]) -> bool {
    let mut lines = block.split(|byte| *byte == b'\n');
    lines.any(|line| line.starts_with(b"data") || line.starts_with(b"id"))
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let value = line.strip_prefix(name)?.strip_prefix(':')?;
    Some(value.strip_prefix(' ').unwrap_or(value))
}

fn event_id(raw: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(raw).ok()?;
    let mut ids = text.lines().filter_map(|line| field(line, "id"));
    ids.next_back()?.trim().parse().ok()
}
