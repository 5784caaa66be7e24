//! Which service and software version began each stream.
//!
//! The outputs of two software versions don't fit together, and endpoints don't check who began a
//! stream that they resume. A caller names only its earlier attempt and may come to any VM, most
//! often because the VM that served it has died. So the VM that passes on the first event tells a
//! few others which version made it, just before, and a VM that resumes the stream asks them.
//!
//! The origin of a stream never changes, so a record may be lost or late, never wrong. A stream
//! whose origin is not known is refused, unless [`super::software_history`] shows that its service
//! has had one version for longer than any stream lasts.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Name, ServiceId, StreamId};

/// Records of one VM. At 100 bytes each they take a few megabytes.
pub const RECORDS_MAX: usize = 20_000;
/// Longest time for which a record is kept.
pub const KEPT_MAX: Duration = Duration::from_secs(600);
/// Time beyond a caller's deadline for which the record of its stream is kept.
const KEPT_AFTER_DEADLINE: Duration = Duration::from_secs(2);

/// The software that began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    pub service: ServiceId,
    /// Version of the endpoint's software; never empty.
    pub software: Name,
}

/// An origin as VMs report it to each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StreamRecord {
    pub stream: StreamId,
    pub origin: StreamOrigin,
    /// For how much longer the record is needed.
    pub needed_ms: u32,
}

impl StreamRecord {
    /// The record of a stream whose caller waits for `time_left` more.
    pub fn new(stream: StreamId, origin: StreamOrigin, time_left: Duration) -> StreamRecord {
        let needed = (time_left + KEPT_AFTER_DEADLINE).min(KEPT_MAX);
        StreamRecord {
            stream,
            origin,
            needed_ms: needed.as_millis() as u32,
        }
    }
}

#[derive(Debug)]
struct Row {
    /// `None` after two different origins were reported, neither of which can be trusted.
    origin: Option<StreamOrigin>,
    until: Duration,
}

/// The origins that this VM has recorded or was told.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    rows: HashMap<StreamId, Row>,
    /// Invariant: the rows in order of their expiry.
    by_expiry: BTreeSet<(Duration, StreamId)>,
}

impl StreamOrigins {
    /// Applies a record of this VM or of another one.
    pub fn record(&mut self, now: Duration, record: StreamRecord) {
        let needed = Duration::from_millis(record.needed_ms.into()).min(KEPT_MAX);
        let mut until = now + needed;
        let mut origin = Some(record.origin);
        if let Some(known) = self.rows.remove(&record.stream) {
            self.by_expiry.remove(&(known.until, record.stream));
            until = until.max(known.until);
            origin = origin.filter(|origin| known.origin.as_ref() == Some(origin));
        }
        self.by_expiry.insert((until, record.stream));
        self.rows.insert(record.stream, Row { origin, until });
        while self.rows.len() > RECORDS_MAX {
            self.remove_first();
        }
    }

    /// The record of a stream, if its origin is known.
    pub fn get(&self, now: Duration, stream: StreamId) -> Option<StreamRecord> {
        let row = self.rows.get(&stream).filter(|row| now < row.until)?;
        Some(StreamRecord {
            stream,
            origin: row.origin.clone()?,
            needed_ms: row.until.saturating_sub(now).as_millis() as u32,
        })
    }

    /// Number of streams on record.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no stream is on record.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Number of streams on record by the software that began them.
    pub fn by_software(&self) -> HashMap<StreamOrigin, usize> {
        let mut counts = HashMap::new();
        for origin in self.rows.values().filter_map(|row| row.origin.as_ref()) {
            *counts.entry(origin.clone()).or_default() += 1;
        }
        counts
    }

    /// Drops expired records.
    pub fn tick(&mut self, now: Duration) {
        while self.by_expiry.first().is_some_and(|(at, _)| *at <= now) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, stream)) = self.by_expiry.pop_first() {
            self.rows.remove(&stream);
        }
    }
}
