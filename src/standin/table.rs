//! Endpoint configurations for tests and benchmarks of the decision code.

use crate::decide::endpoints::EndpointConfig;
use crate::id::{self, DomainId, EndpointId, ServiceId};

/// Yields the endpoints `endpoint-0`, `endpoint-1`, ... of one service, each in the failure domain
/// that `domain` returns for its number.
pub fn endpoint_configs(
    count: usize,
    service: ServiceId,
    slots: f64,
    domain: impl Fn(usize) -> DomainId,
) -> impl Iterator<Item = (EndpointId, EndpointConfig)> {
    (0..count).map(move |at| {
        let name = format!("endpoint-{at}");
        let config = EndpointConfig {
            name: name.as_str().into(),
            domain: domain(at),
            service,
            address: "127.0.0.1:1".into(),
            initial_limit: slots,
            software: "v1".into(),
        };
        (id::of(&name), config)
    })
}
