//! How a request finds its service: host, longest path prefix, weighted split.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::access::{Workspace, Workspaces};
use crate::id::{ConfigVersion, Name, ServiceId};

/// Kind of the requests on a route, which determines what may be repeated.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::IntoStaticStr,
    strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once per request of the caller.
    NonIdempotent,
    /// A stream of events; runs at most once unless it can be resumed.
    Streaming,
    /// Batch jobs and their items.
    Batch,
}

/// One of the services among which a route divides its requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Share {
    pub service: ServiceId,
    pub weight: f64,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    pub name: Name,
    pub host: Name,
    /// Begins and ends with a slash.
    pub prefix: Name,
    pub kind: RouteKind,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Target time to the first byte.
    pub goal: Duration,
    /// Not empty.
    pub shares: Vec<Share>,
    /// Open to callers without a key.
    pub public: bool,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of endpoints that one request may be sent to.
    pub attempts_max: u32,
    /// A stream can be resumed at another endpoint after the last event received.
    pub resumable: bool,
    /// Batch: all results are due within this time after the first submission.
    pub due: Duration,
    /// Batch: an item may be given up this long after the first submission.
    pub retention: Duration,
    /// Batch: maximum number of tokens in waiting items of one workspace, over all VMs; `None` for
    /// no limit.
    pub waiting_tokens_max: Option<u64>,
}

impl Route {
    /// Whether a request that may have run can be sent again.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent | RouteKind::Batch => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Chooses the service for a request; `draw` is uniform in 0 to 1.
    pub fn pick(&self, draw: f64) -> ServiceId {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = draw * total;
        for share in &self.shares {
            left -= share.weight;
            if left < 0.0 {
                return share.service;
            }
        }
        self.shares.last().map_or(0, |share| share.service)
    }
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    pub head_bytes: usize,
    pub body_bytes: usize,
    /// From the first byte of a head to its end.
    pub head_timeout: Duration,
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    pub version: ConfigVersion,
    pub routes: Vec<Route>,
    pub limits: CallerLimits,
    /// `None` if callers need no keys.
    pub workspaces: Option<Vec<Workspace>>,
}

/// A configuration indexed for lookups.
#[derive(Debug)]
pub struct RouteTable {
    pub rules: Rules,
    pub workspaces: Option<Workspaces>,
    /// Positions in `rules.routes` by host, the longest prefix first.
    by_host: HashMap<Name, Vec<usize>>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(rules: Rules) -> RouteTable {
        let mut by_host: HashMap<Name, Vec<usize>> = HashMap::new();
        for (at, route) in rules.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(at);
        }
        for positions in by_host.values_mut() {
            positions.sort_by_key(|at| std::cmp::Reverse(rules.routes[*at].prefix.len()));
        }
        RouteTable {
            workspaces: rules.workspaces.clone().map(Workspaces::new),
            rules,
            by_host,
        }
    }

    /// Whether any workspace has a quota.
    pub fn has_quotas(&self) -> bool {
        let workspaces = self.rules.workspaces.iter().flatten();
        workspaces
            .into_iter()
            .any(|workspace| workspace.quota.is_some())
    }

    /// The route of a request: among those of its host, the one with the longest prefix of the
    /// path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.by_host.get(host)?.iter();
        routes
            .map(|at| &self.rules.routes[*at])
            .find(|route| path.starts_with(&*route.prefix))
    }
}
