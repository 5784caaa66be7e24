//! What entries say of endpoints, and what VMs tell each other of them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decide::endpoints::EndpointConfig;
use crate::id::{self, DomainId, EndpointId, EntryId, Incarnation, Name, Revision, ServiceId};

/// What an entry says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Registration {
    pub name: Name,
    /// Start of the endpoint's process; `None` where endpoints don't tell it. Name and start together are one
    /// process: another start under the same name is an endpoint of which nothing is known.
    pub incarnation: Option<Incarnation>,
    pub address: Name,
    pub service: ServiceId,
    pub domain: DomainId,
    pub slots: u32,
    /// Final for this process.
    pub draining: bool,
}

impl Registration {
    /// The id of the process in all other tables.
    pub fn endpoint(&self) -> EndpointId {
        id::of_process(&self.name, self.incarnation)
    }

    /// As the table of endpoints takes it.
    pub fn declared(&self) -> EndpointConfig {
        EndpointConfig {
            name: self.name.clone(),
            domain: self.domain,
            service: self.service,
            address: self.address.clone(),
            initial_limit: f64::from(self.slots.max(1)),
        }
    }
}

/// One endpoint as a VM knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KnownEntry {
    pub id: EntryId,
    pub entry: Registration,
    pub revision: Revision,
    /// For how much longer the teller keeps it although its entry is gone; `None` while it stands.
    pub lapsing: Option<Duration>,
}

/// Whose word a whole reading is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotSource {
    Store,
    /// Another VM, which has judged by itself what lapsed while the store was away.
    Peer,
}
