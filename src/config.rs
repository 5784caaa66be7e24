//! The operators' configuration: the complete desired state.

pub mod check;
pub mod diff;
pub mod load;
pub mod store;

use serde::{Deserialize, Serialize};
use strum::{EnumIter, EnumString, IntoStaticStr};

use crate::id::{ConfigVersion, Name, Nonce};

/// The kinds of declared objects, one file each.
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

/// Whether a service's endpoints check the fencing number of orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Endpoints refuse an order with an outdated fencing number.
    Checked,
    /// Endpoints accept any order.
    Ignored,
}

/// The kind of endpoints behind a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that stream tokens.
    Model,
    /// Any other service that answers single calls.
    Plain,
}

/// A service that callers ask for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    pub name: Name,
    pub kind: ServiceKind,
    /// Models that callers may name; only for services of kind `model`.
    #[serde(default)]
    pub models: Vec<Name>,
    pub fencing: Fencing,
    /// Whether a call may be executed twice.
    pub idempotent: bool,
    /// Deadline of an online request that states none.
    pub deadline_ms: u64,
    /// Target time to first token for the concurrency limits.
    pub first_token_ms: u64,
    /// Most requests that may wait at one VM.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// Most requests in flight from one VM.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: u32,
    /// Concurrency assumed for an endpoint until it has been learned.
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
    /// Its location in the weight store.
    pub weights: String,
    pub bytes: u64,
}

/// An adapter for a model; callers name it like a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    pub name: Name,
    pub model: Name,
    pub weights: String,
}

/// The version of a model that should be served.
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

/// The part of a service's slots that a workspace is guaranteed when the service is full.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    pub workspace: Name,
    pub service: Name,
    /// Fraction of the online slots; the shares of one service add up to at most 1.
    pub online_share: f64,
    /// Fraction of the batch slots; the shares of one service add up to at most 1.
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

/// The complete desired state.
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

/// An earlier version. A writer whose answer was lost finds its own write here.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ancestor {
    pub version: ConfigVersion,
    pub nonce: Nonce,
    pub by: String,
    pub at_ms: u64,
}

/// Digests of the bodies of one kind, in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Bodies {
    pub kind: Kind,
    pub digests: Vec<String>,
}

/// The record that determines which configuration is in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    pub version: ConfigVersion,
    pub nonce: Nonce,
    pub by: String,
    pub at_ms: u64,
    pub bodies: Vec<Bodies>,
    /// Earlier versions, newest first, without this one.
    pub ancestors: Vec<Ancestor>,
}

/// A configuration with its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Versioned {
    pub head: Head,
    pub state: State,
}

impl State {
    /// The service for a model name given by a caller: a model, an adapter of a model, or the
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

    /// The service with that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| *service.name == *name)
    }
}
