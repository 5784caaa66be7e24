//! Validates a configuration as a whole.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;

use serde::Serialize;

use super::{ServiceKind, State};
use crate::id;

/// One invalid value.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Fault {
    pub file: String,
    /// JSON path within the file.
    pub path: String,
    pub found: String,
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault {
            file,
            path,
            found,
            allowed,
        } = self;
        write!(f, "{file}: {path}: found {found}; allowed: {allowed}")
    }
}

struct Faults(Vec<Fault>);

impl Faults {
    fn add(&mut self, kind: &str, path: String, found: impl fmt::Display, allowed: &str) {
        self.0.push(Fault {
            file: format!("{kind}.json"),
            path,
            found: found.to_string(),
            allowed: allowed.to_owned(),
        });
    }

    /// Names are hashed to ids: two names with the same hash would be treated as one object.
    fn check_names<'a>(&mut self, kind: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen: HashMap<u64, &str> = HashMap::new();
        for (at, name) in names.enumerate() {
            let path = format!("$[{at}].name");
            let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
            if name.is_empty() || name.len() > 100 || !name.chars().all(plain) {
                self.add(
                    kind,
                    path.clone(),
                    format!("{name:?}"),
                    "1 to 100 of A-Z a-z 0-9 - _ .",
                );
            }
            if let Some(first) = seen.insert(id::of(name), name) {
                let found = format!("{name:?}, which clashes with {first:?}");
                self.add(kind, path, found, "each name once");
            }
        }
    }

    fn check_references<'a>(
        &mut self,
        kind: &str,
        names: impl Iterator<Item = (String, &'a str)>,
        among: &HashSet<&str>,
        what: &str,
    ) {
        for (path, name) in names {
            if !among.contains(name) {
                self.add(
                    kind,
                    path,
                    format!("{name:?}"),
                    &format!("a name from {what}.json"),
                );
            }
        }
    }
}

/// Returns all faults of a state; empty when it may be applied.
pub fn state(state: &State) -> Vec<Fault> {
    let mut faults = Faults(Vec::new());
    names(state, &mut faults);
    references(state, &mut faults);
    services(state, &mut faults);
    shares(state, &mut faults);
    endpoints(state, &mut faults);
    workspaces(state, &mut faults);
    faults.0
}

fn names(state: &State, faults: &mut Faults) {
    faults.check_names("services", state.services.iter().map(|s| &*s.name));
    let models = state.models.iter().map(|m| &*m.name);
    faults.check_names("models", models.clone());
    // Callers name adapters like models, so an adapter must not have a model's name.
    faults.check_names("adapters", state.adapters.iter().map(|a| &*a.name));
    faults.check_names("workspaces", state.workspaces.iter().map(|w| &*w.name));
    faults.check_names(
        "failure_domains",
        state.failure_domains.iter().map(|d| &*d.name),
    );
    faults.check_names("endpoints", state.endpoints.iter().map(|e| &*e.name));
    let models: HashSet<&str> = models.collect();
    for (at, adapter) in state.adapters.iter().enumerate() {
        if models.contains(&*adapter.name) {
            let path = format!("$[{at}].name");
            faults.add(
                "adapters",
                path,
                format!("{:?}", adapter.name),
                "no model's name",
            );
        }
    }
}

fn references(state: &State, faults: &mut Faults) {
    let models: HashSet<&str> = state.models.iter().map(|m| &*m.name).collect();
    let services: HashSet<&str> = state.services.iter().map(|s| &*s.name).collect();
    let workspaces: HashSet<&str> = state.workspaces.iter().map(|w| &*w.name).collect();
    let domains: HashSet<&str> = state.failure_domains.iter().map(|d| &*d.name).collect();
    let of_services = state.services.iter().enumerate().flat_map(|(at, service)| {
        let models = service.models.iter().enumerate();
        models.map(move |(n, model)| (format!("$[{at}].models[{n}]"), &**model))
    });
    faults.check_references("services", of_services, &models, "models");
    let adapters = state.adapters.iter().enumerate();
    let adapters = adapters.map(|(at, a)| (format!("$[{at}].model"), &*a.model));
    faults.check_references("adapters", adapters, &models, "models");
    let versions = state.versions.iter().enumerate();
    let versions = versions.map(|(at, v)| (format!("$[{at}].model"), &*v.model));
    faults.check_references("versions", versions, &models, "models");
    let shares = || state.shares.iter().enumerate();
    let share_workspaces = shares().map(|(at, s)| (format!("$[{at}].workspace"), &*s.workspace));
    faults.check_references("shares", share_workspaces, &workspaces, "workspaces");
    let share_services = shares().map(|(at, s)| (format!("$[{at}].service"), &*s.service));
    faults.check_references("shares", share_services, &services, "services");
    let endpoints = || state.endpoints.iter().enumerate();
    let in_domains =
        endpoints().map(|(at, e)| (format!("$[{at}].failure_domain"), &*e.failure_domain));
    faults.check_references("endpoints", in_domains, &domains, "failure_domains");
    let of_services = endpoints().map(|(at, e)| (format!("$[{at}].service"), &*e.service));
    faults.check_references("endpoints", of_services, &services, "services");
}

fn services(state: &State, faults: &mut Faults) {
    let mut served: HashMap<&str, &str> = HashMap::new();
    for (at, service) in state.services.iter().enumerate() {
        let mut bad = |field: &str, found: String, allowed: &str| {
            faults.add("services", format!("$[{at}].{field}"), found, allowed);
        };
        if !(1..=86_400_000).contains(&service.deadline_ms) {
            bad(
                "deadline_ms",
                service.deadline_ms.to_string(),
                "1 to 86400000",
            );
        }
        if !(1..=600_000).contains(&service.first_token_ms) {
            bad(
                "first_token_ms",
                service.first_token_ms.to_string(),
                "1 to 600000",
            );
        }
        if !(0.0..=1.0).contains(&service.online_weight) {
            bad("online_weight", service.online_weight.to_string(), "0 to 1");
        }
        if !(1..=512).contains(&service.initial_limit) {
            bad(
                "initial_limit",
                service.initial_limit.to_string(),
                "1 to 512",
            );
        }
        if !(1..=65_536).contains(&service.max_in_flight) {
            bad(
                "max_in_flight",
                service.max_in_flight.to_string(),
                "1 to 65536",
            );
        }
        if service.kind == ServiceKind::Plain && !service.models.is_empty() {
            bad(
                "models",
                format!("{:?}", service.models),
                "none for a plain service",
            );
        }
        if service.kind == ServiceKind::Model && !service.idempotent {
            bad("idempotent", "false".into(), "true for a model service");
        }
        for (n, model) in service.models.iter().enumerate() {
            if let Some(first) = served.insert(model, &service.name) {
                let found = format!("{model:?}, which {first:?} serves");
                bad(&format!("models[{n}]"), found, "each model in one service");
            }
        }
    }
}

fn shares(state: &State, faults: &mut Faults) {
    let mut sums: HashMap<&str, (f64, f64)> = HashMap::new();
    let mut pairs = HashSet::new();
    for (at, share) in state.shares.iter().enumerate() {
        for (field, value) in [
            ("online_share", share.online_share),
            ("batch_share", share.batch_share),
        ] {
            if !(0.0..=1.0).contains(&value) {
                faults.add("shares", format!("$[{at}].{field}"), value, "0 to 1");
            }
        }
        if !pairs.insert((&share.workspace, &share.service)) {
            let found = format!("{:?} and {:?} again", share.workspace, share.service);
            faults.add(
                "shares",
                format!("$[{at}]"),
                found,
                "one share for each pair",
            );
        }
        let sum = sums.entry(&share.service).or_default();
        sum.0 += share.online_share;
        sum.1 += share.batch_share;
        let most = sum.0.max(sum.1);
        if most > 1.0 + 1e-9 {
            let found = format!("a sum of {most:.3} for {:?}", share.service);
            faults.add(
                "shares",
                format!("$[{at}]"),
                found,
                "at most 1 for each service",
            );
        }
    }
}

fn endpoints(state: &State, faults: &mut Faults) {
    let mut seen = HashMap::new();
    for (at, endpoint) in state.endpoints.iter().enumerate() {
        let path = format!("$[{at}].address");
        if endpoint.address.parse::<SocketAddr>().is_err() {
            let found = format!("{:?}", endpoint.address);
            faults.add("endpoints", path.clone(), found, "an IP number and port");
        }
        if let Some(first) = seen.insert(&endpoint.address, &endpoint.name) {
            let found = format!("{:?}, which {first:?} has", endpoint.address);
            faults.add("endpoints", path, found, "each address once");
        }
    }
}

fn workspaces(state: &State, faults: &mut Faults) {
    let mut seen = HashMap::new();
    for (at, workspace) in state.workspaces.iter().enumerate() {
        for (n, digest) in workspace.key_digests.iter().enumerate() {
            let path = format!("$[{at}].key_digests[{n}]");
            if digest.len() != 64 || !digest.chars().all(|c| c.is_ascii_hexdigit()) {
                let allowed = "64 hexadecimal digits; see `bramleyctl key`";
                faults.add("workspaces", path.clone(), format!("{digest:?}"), allowed);
            }
            if let Some(first) = seen.insert(digest, &workspace.name) {
                let found = format!("a key of {first:?}");
                faults.add("workspaces", path, found, "each key in one workspace");
            }
        }
    }
}
