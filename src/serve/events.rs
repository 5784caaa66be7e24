//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Size limit of an unfinished event; an endpoint that exceeds it is broken.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// One whole event as received, including its blank line.
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

/// Checks that an event directly follows the last one.
///
/// The ids of a stream count up by one, so the next id is known. Without this check an endpoint
/// that leaves out an event, or repeats one, would give the caller a text with a gap or a
/// repetition that looks complete.
pub fn check_next(last: Option<u64>, event: Option<u64>) -> Result<(), String> {
    match (last, event) {
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
        while let Some(end) = self.event_end() {
            let raw = self.buffer.split_to(end).freeze();
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
        !self.buffer.is_empty()
    }

    /// Whether the unfinished event exceeds the size limit.
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > EVENT_BYTES_MAX
    }

    /// Length of the first whole event, which may end in LF or CRLF lines.
    fn event_end(&mut self) -> Option<usize> {
        // An end may begin within the last three bytes already searched.
        let from = self.searched.saturating_sub(3);
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

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let value = line.strip_prefix(name)?.strip_prefix(':')?;
    Some(value.strip_prefix(' ').unwrap_or(value))
}

fn event_id(raw: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(raw).ok()?;
    let mut ids = text.lines().filter_map(|line| field(line, "id"));
    ids.next_back()?.trim().parse().ok()
}
