//! Entries of endpoints, and the form in which VMs send them to each other.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decide::endpoints::EndpointConfig;
use crate::id::{self, DomainId, EndpointId, EntryId, Incarnation, Name, Revision, ServiceId};

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Registration {
    pub name: Name,
    /// Start of the endpoint's process; `None` if endpoints of this kind don't report it. Name and
    /// start together identify a process: a different start under the same name is a new endpoint
    /// without any history.
    pub incarnation: Option<Incarnation>,
    pub address: Name,
    pub service: ServiceId,
    pub domain: DomainId,
    pub slots: u32,
    /// Final for this process.
    pub draining: bool,
    /// Version of the endpoint's software; empty if it is not known. Programs without this field
    /// exchange the other fields as a fixed sequence, so it is sent apart from them.
    #[serde(skip, default = "unknown_software")]
    pub software: Name,
}

/// The software version of an endpoint whose version is not known.
pub fn unknown_software() -> Name {
    Name::from("")
}

impl Registration {
    /// The id of the process in all other tables.
    pub fn endpoint(&self) -> EndpointId {
        id::of_process(&self.name, self.incarnation)
    }

    /// The entry in the form used by the endpoint table.
    pub fn endpoint_config(&self) -> EndpointConfig {
        EndpointConfig {
            name: self.name.clone(),
            domain: self.domain,
            service: self.service,
            address: self.address.clone(),
            initial_limit: f64::from(self.slots.max(1)),
            software: self.software.clone(),
        }
    }
}

/// One endpoint in a VM's local view.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KnownEntry {
    pub id: EntryId,
    pub entry: Registration,
    pub revision: Revision,
    /// How much longer the sender keeps the endpoint although its entry is gone; `None` if the
    /// entry exists.
    pub lapsing: Option<Duration>,
}
