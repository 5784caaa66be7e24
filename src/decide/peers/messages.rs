//! What VMs say of themselves, and what delegates say of their failure domains.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::decide::backlog::RouteKey;
use crate::decide::freshness::ConfirmationAges;
use crate::decide::quota::WorkspaceCount;
use crate::decide::usage::{EndpointUse, RemoteUse};
use crate::id::{ConfigVersion, DomainId, EndpointId, Name, OwnerId, Revision, VmId};

/// A process of this system as it registers itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmRecord {
    pub name: Name,
    pub domain: DomainId,
    /// Differs with each start of the process.
    pub owner: OwnerId,
    pub gossip_address: SocketAddr,
    /// Where it answers other VMs; 0 where an earlier version of the program has registered.
    #[serde(default)]
    pub peer_port: u16,
    /// Part of a core that it has; the VMs with most of it become delegates.
    #[serde(default)]
    pub core_share: f64,
}

/// One VM's use of one endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointUseRow {
    pub endpoint: EndpointId,
    pub uses: EndpointUse,
}

/// What a VM says of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub name: Name,
    pub domain: DomainId,
    pub owner: OwnerId,
    /// Grows with each heartbeat of this process; late datagrams carry lower ones.
    pub sequence: u64,
    pub draining: bool,
    /// Whether the metadata store answers it.
    pub store: bool,
    /// 0 while it knows none.
    pub rules: ConfigVersion,
    pub endpoints: Revision,
    /// How old the store's word is that the sender knows all rules and endpoints.
    pub proofs: ConfirmationAges,
    /// Of the newest record of a batch job.
    pub jobs: Revision,
    /// Batch items that wait there for a slot.
    pub waiting: u32,
    /// Tokens of its jobs' open items, by route with a limit.
    pub backlog: Vec<(RouteKey, u64)>,
    pub peer_port: u16,
    /// Requests against quotas at this VM.
    pub counts: QuotaCounts,
    pub rows: Vec<EndpointUseRow>,
}

/// Requests of workspaces within the window of quotas.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaCounts {
    /// For how long they were counted, at the most the window.
    pub counted_for_ms: u32,
    pub rows: Vec<WorkspaceCount>,
}

/// What a delegate says of its failure domain, to the VMs of it and to the delegates of the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The delegate and its process.
    pub by: VmId,
    pub owner: OwnerId,
    pub domain: DomainId,
    /// Grows with each round of this process.
    pub sequence: u64,
    /// A round whose rows don't fit into one datagram has several parts, counted from 0.
    pub part: u8,
    pub parts: u8,
    pub peer_address: SocketAddr,
    pub draining: bool,
    /// Whether the metadata store answers the delegate.
    pub store: bool,
    /// What the delegate itself knows, so that it can be asked for it.
    pub rules: ConfigVersion,
    pub endpoints: Revision,
    pub proofs: ConfirmationAges,
    /// Of the newest record of a batch job that a VM of the failure domain knows.
    pub jobs: Revision,
    /// Batch items that wait for a slot.
    pub waiting: u32,
    /// Tokens of open items, by route with a limit.
    pub backlog: Vec<(RouteKey, u64)>,
    /// Processes that were heard and are not registered in the store.
    pub unregistered: Vec<OwnerId>,
    /// VMs that drain.
    pub leaving: Vec<VmId>,
    /// VMs with items that wait, and how many; towards the own failure domain only.
    pub rivals: Vec<(VmId, u32)>,
    /// Items that the addressed VM may keep at an endpoint that has more than it runs.
    pub keeps: Vec<(EndpointId, u32)>,
    /// VMs that the delegate has heard, itself included.
    pub vms: u32,
    /// Requests against quotas at the VMs of the failure domain, but for the addressed one's own.
    pub counts: QuotaCounts,
    /// Use of endpoints by the VMs of the failure domain, but for the addressed one's own.
    pub rows: Vec<(EndpointId, RemoteUse)>,
}
