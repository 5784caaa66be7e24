//! Which service and software version began each stream.
//!
//! The outputs of two software versions don't fit together, and endpoints don't check who began a
//! stream that they resume. A caller names only its earlier attempt and may come to any VM, most
//! often because the VM that served it has died. So the VM that passes on the first event tells a
//! few others which version made it, just before, and a VM that resumes the stream asks them.
//!
//! The origin of a stream never changes, so a record may be lost or late, never wrong. A stream
//! whose origin is not known is refused, unless its service has had one version for longer than any
//! stream lasts. A VM that has just started asks the others for that, and after a restart of all VMs
//! the metadata store, where each present version is on record.

use std::collections::{BTreeSet, HashMap, HashSet};
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

/// Versions that one service has and had.
#[derive(Debug, Default)]
struct ServiceVersions {
    present: HashSet<Name>,
    /// Versions without an endpoint, and when the last one was seen.
    past: HashMap<Name, Duration>,
}

/// Software versions of all services over time, as far as this VM has seen all endpoints.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    services: HashMap<ServiceId, ServiceVersions>,
    /// Since when this VM has seen all endpoints without a gap.
    complete_since: Option<Duration>,
}

impl SoftwareHistory {
    /// Applies the present endpoints; `complete` unless this VM knows a subset of them.
    pub fn update(
        &mut self,
        now: Duration,
        complete: bool,
        endpoints: impl IntoIterator<Item = (ServiceId, Name)>,
    ) {
        self.complete_since = match complete {
            true => self.complete_since.or(Some(now)),
            false => None,
        };
        for versions in self.services.values_mut() {
            let past = versions.present.drain().map(|software| (software, now));
            versions.past.extend(past);
        }
        for (service, software) in endpoints {
            let versions = self.services.entry(service).or_default();
            versions.past.remove(&software);
            versions.present.insert(software);
        }
        for versions in self.services.values_mut() {
            versions.past.retain(|_, seen_at| now < *seen_at + KEPT_MAX);
        }
    }

    /// Versions of all services, if all endpoints are known.
    pub fn present(&self) -> Vec<StreamOrigin> {
        let services = self
            .services
            .iter()
            .filter(|_| self.complete_since.is_some());
        let versions = services.flat_map(|(service, versions)| {
            let origin = |software: &Name| StreamOrigin {
                service: *service,
                software: software.clone(),
            };
            versions.present.iter().map(origin)
        });
        versions
            .filter(|origin| !origin.software.is_empty())
            .collect()
    }

    /// Whether no other version of its service than this one is known to be present.
    pub fn agrees(&self, origin: &StreamOrigin) -> bool {
        let versions = self.services.get(&origin.service);
        let mut present = versions.iter().flat_map(|versions| &versions.present);
        present.all(|software| *software == origin.software)
    }

    /// The version of all streams of a service that began in the last `time`, if it can have been
    /// only one.
    pub fn sole_version(&self, now: Duration, service: ServiceId, time: Duration) -> Option<Name> {
        let from = now.checked_sub(time)?;
        if self.complete_since? > from || time > KEPT_MAX {
            return None;
        }
        let versions = self.services.get(&service)?;
        let had_others = versions.past.values().any(|seen_at| *seen_at >= from);
        let mut present = versions.present.iter();
        match (present.next(), present.next()) {
            (Some(only), None) if !had_others && !only.is_empty() => Some(only.clone()),
            _ => None,
        }
    }
}
