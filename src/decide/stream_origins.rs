//! Which service and software version began each stream.
//!
//! The outputs of two software versions don't fit together, and endpoints don't check who began a
//! stream that they resume. A caller names only its earlier attempt and may come to any VM, most
//! often because the VM that served it has died. So the VM that passes on the first event tells a
//! few others which version made it, just before, and a VM that resumes the stream asks them.
//!
//! The origin of a stream never changes, so a record may be lost or late, never wrong. Until it is
//! confirmed that the stream's connection led to the process that was meant, a record names that
//! process. A stream whose origin is not known is refused, unless its service has had one version
//! for longer than any stream lasts.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::discovery::{ConnectedProcess, EndpointProcess};
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
    /// Version of the endpoint's software; empty if it was not known.
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

/// The start of a stream as VMs report it to each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StreamStart {
    pub record: StreamRecord,
    /// The process that is assumed to have begun the stream; `None` once that is confirmed.
    pub process: Option<EndpointProcess>,
}

impl StreamStart {
    /// The start of a stream whose process is confirmed.
    pub fn confirmed(record: StreamRecord) -> StreamStart {
        let process = None;
        StreamStart { record, process }
    }

    /// The connection on which the stream began, if its process is not confirmed; it was opened
    /// before `at`.
    pub fn connection_to_confirm(&self, at: Duration) -> Option<ConnectedProcess> {
        Some(ConnectedProcess {
            process: self.process.clone()?,
            software: self.record.origin.software.clone(),
            connected_at: at,
        })
    }
}

#[derive(Debug)]
struct Row {
    /// `None` after two different origins were reported, neither of which can be trusted.
    origin: Option<StreamOrigin>,
    /// The process that is assumed to have begun it; `None` once that is confirmed.
    process: Option<EndpointProcess>,
    /// When the record was made or received: the stream's connection had been opened by then.
    known_at: Duration,
    /// The stream began at this VM.
    is_local: bool,
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
    /// Applies a record of this VM or of another one, whose process is confirmed.
    pub fn record(&mut self, now: Duration, record: StreamRecord) {
        self.apply(now, StreamStart::confirmed(record), false);
    }

    /// Applies the start of a stream that another VM reports.
    pub fn record_start(&mut self, now: Duration, start: StreamStart) {
        self.apply(now, start, false);
    }

    /// Applies the start of a stream at this VM.
    pub fn record_local_start(&mut self, now: Duration, start: StreamStart) {
        self.apply(now, start, true);
    }

    fn apply(&mut self, now: Duration, start: StreamStart, is_local: bool) {
        let StreamStart { record, process } = start;
        let needed = Duration::from_millis(record.needed_ms.into()).min(KEPT_MAX);
        let mut row = Row {
            origin: Some(record.origin),
            process,
            known_at: now,
            is_local,
            until: now + needed,
        };
        if let Some(known) = self.rows.remove(&record.stream) {
            self.by_expiry.remove(&(known.until, record.stream));
            row.until = row.until.max(known.until);
            row.origin = row.origin.filter(|one| known.origin.as_ref() == Some(one));
            row.process = row.process.and(known.process);
            row.known_at = known.known_at;
            row.is_local |= known.is_local;
        }
        self.by_expiry.insert((row.until, record.stream));
        self.rows.insert(record.stream, row);
        while self.rows.len() > RECORDS_MAX {
            self.remove_first();
        }
    }

    /// The record of a stream, if its origin is known and confirmed.
    pub fn get(&self, now: Duration, stream: StreamId) -> Option<StreamRecord> {
        let (start, _) = self.start(now, stream)?;
        start.process.is_none().then_some(start.record)
    }

    /// The start of a stream, if its origin is known, and by when it had begun.
    pub fn start(&self, now: Duration, stream: StreamId) -> Option<(StreamStart, Duration)> {
        let row = self.rows.get(&stream).filter(|row| now < row.until)?;
        let record = StreamRecord {
            stream,
            origin: row.origin.clone()?,
            needed_ms: row.until.saturating_sub(now).as_millis() as u32,
        };
        let process = row.process.clone();
        Some((StreamStart { record, process }, row.known_at))
    }

    /// Whether a stream that began at this VM is not confirmed.
    pub fn has_unconfirmed(&self) -> bool {
        let mut rows = self.rows.values();
        rows.any(|row| row.is_local && row.process.is_some())
    }

    /// Confirms the processes of streams for which `is_confirmed` holds. Returns the streams that
    /// began at this VM among them.
    pub fn confirm(
        &mut self,
        now: Duration,
        is_confirmed: impl Fn(&ConnectedProcess) -> bool,
    ) -> Vec<StreamRecord> {
        let mut confirmed = Vec::new();
        for (stream, row) in &mut self.rows {
            let (Some(process), Some(origin)) = (&row.process, &row.origin) else {
                continue;
            };
            let connected = ConnectedProcess {
                process: process.clone(),
                software: origin.software.clone(),
                connected_at: row.known_at,
            };
            if !is_confirmed(&connected) {
                continue;
            }
            row.process = None;
            if row.is_local && now < row.until {
                confirmed.push(StreamRecord {
                    stream: *stream,
                    origin: origin.clone(),
                    needed_ms: (row.until - now).as_millis() as u32,
                });
            }
        }
        confirmed
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
