//! The operators' configuration: the whole desired state.

pub mod check;
pub mod diff;
pub mod load;
pub mod store;

use serde::{Deserialize, Serialize};
use strum::{EnumIter, EnumString, IntoStaticStr};

use crate::id::{ConfigVersion, Name, Nonce};

/// The kinds of things declared, one file each.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    EnumIter,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Services,
    Models,
    Adapters,
    Versions,
    Workspaces,
    Shares,
    FailureDomains,
    Endpoints,
}

/// Whether an endpoint's orders are guarded by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Endpoints refuse an order with an old fencing number.
    Checked,
    /// Endpoints take any order.
    Ignored,
}

/// What stands behind a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that stream tokens.
    Model,
    /// Anything else that answers a call.
    Plain,
}

/// A service that callers ask for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    pub name: Name,
    pub kind: ServiceKind,
    /// Models that callers may name; of services of kind `model`.
    #[serde(default)]
    pub models: Vec<Name>,
    pub fencing: Fencing,
    /// Whether a call may be made twice.
    pub idempotent: bool,
    /// Deadline of an online request that names none.
    pub deadline_ms: u64,
    /// Time to first token that the concurrency limits aim at.
    pub first_token_ms: u64,
    /// Requests that may wait at one VM.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// Requests in flight from one VM.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: u32,
    /// Concurrency assumed of an endpoint until it is learned.
    #[serde(default = "default_initial_limit")]
    pub initial_limit: u32,
    /// 0 favours batch throughput, 1 favours the tail latency of online requests.
    #[serde(default = "default_online_weight")]
    pub online_weight: f64,
}

fn default_queue_limit() -> u32 {
    256
}

fn default_max_in_flight() -> u32 {
    1024
}

fn default_initial_limit() -> u32 {
    8
}

fn default_online_weight() -> f64 {
    0.8
}

/// A model that engines load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    pub name: Name,
    /// Its place in the weight store.
    pub weights: String,
    pub bytes: u64,
}

/// An adapter on a model; callers name it like a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    pub name: Name,
    pub model: Name,
    pub weights: String,
}

/// The version of a model that is to serve.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    pub model: Name,
    pub version: Name,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    pub name: Name,
    /// BLAKE3 digests of its keys, in hexadecimal.
    pub key_digests: Vec<String>,
}

/// The part of a service that a workspace may count on when it is full.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    pub workspace: Name,
    pub service: Name,
    /// Of the online slots; all of a service add up to at most 1.
    pub online_share: f64,
    /// Of the batch slots.
    pub batch_share: f64,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    pub name: Name,
    pub region: Name,
}

/// An endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    pub name: Name,
    pub failure_domain: Name,
    pub service: Name,
    /// IP number and port.
    pub address: Name,
}

/// The whole desired state.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    pub services: Vec<Service>,
    pub models: Vec<Model>,
    pub adapters: Vec<Adapter>,
    pub versions: Vec<Version>,
    pub workspaces: Vec<Workspace>,
    pub shares: Vec<Share>,
    pub failure_domains: Vec<FailureDomain>,
    pub endpoints: Vec<Endpoint>,
}

/// One earlier version, so that a writer whose answer was lost finds its own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ancestor {
    pub version: ConfigVersion,
    pub nonce: Nonce,
    pub by: String,
    pub at_ms: u64,
}

/// The bodies of one kind, in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Bodies {
    pub kind: Kind,
    pub digests: Vec<String>,
}

/// The one record that says which configuration is in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    pub version: ConfigVersion,
    pub nonce: Nonce,
    pub by: String,
    pub at_ms: u64,
    pub bodies: Vec<Bodies>,
    /// The newest first, this one left out.
    pub ancestors: Vec<Ancestor>,
}

/// A configuration with its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Versioned {
    pub head: Head,
    pub state: State,
}

impl State {
    /// The service that a caller's model name asks for: of a model, of an adapter on one, or the
    /// service's own name.
    pub fn service_of_model(&self, name: &str) -> Option<&Service> {
        let base = self.adapters.iter().find(|adapter| *adapter.name == *name);
        let model = base.map_or(name, |adapter| &adapter.model);
        let serves = |service: &&Service| {
            service.kind == ServiceKind::Model
                && (*service.name == *name || service.models.iter().any(|m| **m == *model))
        };
        self.services.iter().find(serves)
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| *service.name == *name)
    }
}
