//! Messages between VMs: heartbeats of single VMs, and delegates' summaries of their failure
//! domains.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::decide::backlog::RouteKey;
use crate::decide::discovery::EndpointChanges;
use crate::decide::freshness::ConfirmationAges;
use crate::decide::quota::WorkspaceCount;
use crate::decide::usage::{EndpointUse, RemoteUse};
use crate::id::{ConfigVersion, DomainId, EndpointId, Name, OwnerId, Revision, VmId};

/// A serving process as registered in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmRecord {
    pub name: Name,
    pub domain: DomainId,
    /// Differs with each start of the process.
    pub owner: OwnerId,
    pub gossip_address: SocketAddr,
    /// Port on which it answers other VMs; 0 if an earlier version of the program has registered.
    #[serde(default)]
    pub peer_port: u16,
    /// CPU cores that it has; the VMs with the most become delegates.
    #[serde(default)]
    pub core_share: f64,
    /// Version of the load reports that it understands; 0 if none.
    #[serde(default)]
    pub load_reports: u8,
}

/// One VM's use of one endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointUseRow {
    pub endpoint: EndpointId,
    pub uses: EndpointUse,
}

/// A VM's state as it reports it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub name: Name,
    pub domain: DomainId,
    pub owner: OwnerId,
    /// Increases with each heartbeat of this process; late datagrams carry lower ones.
    pub sequence: u64,
    pub draining: bool,
    /// Whether the metadata store answers it.
    pub store_available: bool,
    /// 0 while it has none.
    pub rules: ConfigVersion,
    pub endpoints: Revision,
    /// Ages of the last store confirmations that the sender has all rules and endpoints.
    pub confirmation_ages: ConfirmationAges,
    /// Of the newest record of a batch job.
    pub jobs: Revision,
    /// Batch items that wait there for a slot.
    pub waiting: u32,
    /// Tokens of its jobs' open items, by route with a limit.
    pub backlog: Vec<(RouteKey, u64)>,
    pub peer_port: u16,
    /// Requests counted against quotas at this VM.
    pub counts: QuotaCounts,
    pub rows: Vec<EndpointUseRow>,
}

/// Requests of workspaces within the quota window.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaCounts {
    /// Time over which they were counted, at most the window.
    pub counted_for_ms: u32,
    pub rows: Vec<WorkspaceCount>,
}

/// A delegate's summary of its failure domain, sent to the VMs of the domain and to the delegates
/// of the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The delegate and its process.
    pub delegate: VmId,
    pub owner: OwnerId,
    pub domain: DomainId,
    /// Increases with each summary round of this process.
    pub sequence: u64,
    /// A round whose rows don't fit into one datagram has several parts, counted from 0.
    pub part: u8,
    pub parts: u8,
    pub peer_address: SocketAddr,
    pub draining: bool,
    /// Whether the metadata store answers the delegate.
    pub store_available: bool,
    /// Versions that the delegate itself has, so that they can be fetched from it.
    pub rules: ConfigVersion,
    pub endpoints: Revision,
    pub confirmation_ages: ConfirmationAges,
    /// Of the newest record of a batch job at any VM of the failure domain.
    pub jobs: Revision,
    /// Batch items that wait for a slot.
    pub waiting: u32,
    /// Tokens of open items, by route with a limit.
    pub backlog: Vec<(RouteKey, u64)>,
    /// Processes whose heartbeats arrive but which are not registered in the store.
    pub unregistered: Vec<OwnerId>,
    /// VMs that are draining.
    pub draining_vms: Vec<VmId>,
    /// VMs with waiting items, and how many; sent to the local failure domain only.
    pub competing_vms: Vec<(VmId, u32)>,
    /// Items that the addressed VM may keep at an endpoint that is over its limit.
    pub item_allowances: Vec<(EndpointId, u32)>,
    /// VMs whose heartbeats arrive at the delegate, itself included.
    pub vms: u32,
    /// Requests counted against quotas at the VMs of the failure domain, without the addressed
    /// VM's.
    pub counts: QuotaCounts,
    /// Latest changes of endpoints; sent to the local failure domain only.
    pub endpoint_changes: Option<EndpointChanges>,
    /// Use of endpoints by the VMs of the failure domain, without the addressed VM's.
    pub rows: Vec<(EndpointId, RemoteUse)>,
}
