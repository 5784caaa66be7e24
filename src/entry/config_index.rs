//! The configuration in force, indexed for lookups.

use std::collections::HashMap;
use std::sync::Arc;

use crate::config::{Service, ServiceKind, State, Versioned};
use crate::decide::access::{KeyDigest, KeyTable};
use crate::decide::discovery::unknown_software;
use crate::decide::endpoints::EndpointConfig;
use crate::decide::online;
use crate::decide::window::BatchWeight;
use crate::http::Request;
use crate::id::{self, EndpointId, Name, ServiceId};
use crate::settings::ms;

/// The configuration in force, indexed for lookups.
#[derive(Debug)]
pub struct ConfigIndex {
    pub versioned: Arc<Versioned>,
    keys: KeyTable,
    addresses: HashMap<EndpointId, Name>,
    batch_weights: HashMap<ServiceId, BatchWeight>,
}

impl ConfigIndex {
    /// Indexes a configuration.
    pub fn new(versioned: Arc<Versioned>) -> ConfigIndex {
        let state = &versioned.state;
        let keys = state
            .workspaces
            .iter()
            .enumerate()
            .flat_map(|(at, workspace)| {
                let digests = workspace.key_digests.iter();
                let digests = digests.filter_map(|digest| KeyDigest::from_hex(digest));
                digests.map(move |digest| (digest, at))
            });
        let endpoints = state.endpoints.iter();
        let services = state.services.iter();
        ConfigIndex {
            keys: KeyTable::new(keys),
            addresses: endpoints
                .map(|e| (id::of(&e.name), e.address.clone()))
                .collect(),
            batch_weights: services
                .map(|s| {
                    (
                        id::of(&s.name),
                        BatchWeight {
                            online_weight: s.online_weight,
                        },
                    )
                })
                .collect(),
            versioned,
        }
    }

    /// The state that operators configured.
    pub fn state(&self) -> &State {
        &self.versioned.state
    }

    /// The workspace of the request's API key.
    pub fn workspace_of(&self, request: &Request) -> Option<Name> {
        let header = request.header("Authorization")?;
        let key = header
            .strip_prefix("Bearer ")
            .or_else(|| header.strip_prefix("bearer "))?;
        let at = self.keys.owner(&KeyDigest::of(key.trim().as_bytes()))?;
        let workspace = self.state().workspaces.get(at)?;
        Some(workspace.name.clone())
    }

    /// The address of an endpoint.
    pub fn address(&self, endpoint: EndpointId) -> Option<&Name> {
        self.addresses.get(&endpoint)
    }

    /// The batch weight of a service; online weight 1.0 if it is not configured.
    pub fn batch_weight(&self, service: ServiceId) -> BatchWeight {
        self.batch_weights
            .get(&service)
            .copied()
            .unwrap_or(BatchWeight { online_weight: 1.0 })
    }

    /// The endpoints in the form of the endpoint table.
    pub fn endpoints(&self) -> Vec<(EndpointId, EndpointConfig)> {
        let state = self.state();
        let limits: HashMap<&Name, u32> = state
            .services
            .iter()
            .map(|s| (&s.name, s.initial_limit))
            .collect();
        let declared = state.endpoints.iter().map(|endpoint| {
            let declared = EndpointConfig {
                name: endpoint.name.clone(),
                domain: id::of(&endpoint.failure_domain),
                service: id::of(&endpoint.service),
                address: endpoint.address.clone(),
                initial_limit: limits.get(&endpoint.service).copied().unwrap_or(1).into(),
                software: unknown_software(),
            };
            (id::of(&endpoint.name), declared)
        });
        declared.collect()
    }

    /// The services in the form of online admission.
    pub fn services(&self) -> HashMap<ServiceId, online::ServiceConfig> {
        let state = self.state();
        state
            .services
            .iter()
            .map(|s| (id::of(&s.name), self.service_config(s)))
            .collect()
    }

    fn service_config(&self, service: &Service) -> online::ServiceConfig {
        let shares = self
            .state()
            .shares
            .iter()
            .filter(|share| share.service == service.name);
        online::ServiceConfig {
            first_token_goal: ms(service.first_token_ms),
            queue_limit: service.queue_limit as usize,
            max_in_flight: service.max_in_flight as usize,
            learn_limit: service.kind == ServiceKind::Model,
            shares: shares
                .map(|s| (id::of(&s.workspace), s.online_share))
                .collect(),
        }
    }
}
