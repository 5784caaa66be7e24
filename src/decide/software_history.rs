//! Software versions that services have and had, by the endpoints that this VM has seen.
//!
//! A VM that has just started has seen too little: it asks the others, and after a restart of all
//! VMs the metadata store, where each present version is on record.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::stream_origins::StreamOrigin;
use crate::id::{Name, ServiceId};

/// Longest time that can be asked for.
pub const HISTORY_MAX: Duration = Duration::from_secs(600);

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
    /// Notes whether this VM knows all endpoints now, not a subset of them.
    pub fn set_complete(&mut self, now: Duration, complete: bool) {
        self.complete_since = match complete {
            true => self.complete_since.or(Some(now)),
            false => None,
        };
    }

    /// Applies the present endpoints.
    pub fn update(
        &mut self,
        now: Duration,
        endpoints: impl IntoIterator<Item = (ServiceId, Name)>,
    ) {
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
            versions
                .past
                .retain(|_, seen_at| now < *seen_at + HISTORY_MAX);
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
        if self.complete_since? > from || time > HISTORY_MAX {
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
