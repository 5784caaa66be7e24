//! Model orders to endpoints: carries out the actions of `decide::orders`.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use log::{info, warn};
use serde::Serialize;

use super::config_index::ConfigIndex;
use super::node::{Node, NodeState};
use crate::clock;
use crate::config::ServiceKind;
use crate::decide::commit::WriteOutcome;
use crate::decide::orders::{Action, EndpointModels, FenceRecord, Orders, LEASE_DURATION};
use crate::id::{self, Epoch, Name};
use crate::util::{self, lock};

const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Status of an endpoint that refuses an order because it has seen a newer fence.
const STATUS_FENCE_OUTDATED: u16 = 409;

/// The body of an order: the complete set of models that the endpoint should have loaded.
#[derive(Serialize)]
struct Order<'a> {
    fence: Epoch,
    models: &'a [Name],
}

/// Starts the thread.
pub fn start(node: &Arc<Node>) -> io::Result<()> {
    let node = node.clone();
    thread::Builder::new()
        .name("orders".into())
        .spawn(move || run(&node))?;
    Ok(())
}

fn run(node: &Node) {
    let mut orders = Orders::new(id::of(&node.settings.name), util::nonce());
    loop {
        clock::sleep(TICK_INTERVAL);
        let now = clock::now();
        let (candidate, wanted) = {
            let state = lock(&node.state);
            (
                state.fleet.is_first_delegate(now) && !state.fleet.status.leaving,
                wanted_models(&state),
            )
        };
        let mut actions = Vec::new();
        orders.tick(now, candidate, &wanted, &mut actions);
        while let Some(action) = actions.pop() {
            run_action(node, &mut orders, action, &mut actions);
        }
    }
}

/// The models that each endpoint of the local failure domain should have loaded.
fn wanted_models(state: &NodeState) -> Vec<EndpointModels> {
    let Some(config) = &state.config else {
        return Vec::new();
    };
    let is_local = |row: &&crate::decide::endpoints::Endpoint| {
        row.config.domain == state.fleet.status.domain && row.leaving.is_none()
    };
    let rows = state.online.endpoints.rows.iter().filter(is_local);
    rows.filter_map(|row| {
        let models = models_of(config, row.config.service)?;
        let reported = row.report.as_ref().map(|report| report.models.clone());
        Some(EndpointModels {
            endpoint: row.id,
            models,
            reported,
        })
    })
    .collect()
}

/// `model@version` of each model of a service, then its adapters; `None` for plain services.
fn models_of(config: &ConfigIndex, service: u64) -> Option<Vec<Name>> {
    let state = config.state();
    let service = state
        .services
        .iter()
        .find(|row| id::of(&row.name) == service)?;
    if service.kind != ServiceKind::Model {
        return None;
    }
    let version = |model: &Name| state.versions.iter().find(|row| row.model == *model);
    let models = service.models.iter().map(|model| match version(model) {
        Some(row) => format!("{model}@{}", row.version).into(),
        None => model.clone(),
    });
    let adapters = state
        .adapters
        .iter()
        .filter(|row| service.models.contains(&row.model));
    Some(models.chain(adapters.map(|row| row.name.clone())).collect())
}

fn run_action(node: &Node, orders: &mut Orders, action: Action, out: &mut Vec<Action>) {
    let domain = &node.settings.failure_domain;
    let (lease_key, fence_key) = (
        format!("orders/lease/{domain}"),
        format!("orders/fence/{domain}"),
    );
    match action {
        Action::Lease => {
            let lease = node.platform.lease(LEASE_DURATION).ok().filter(|lease| {
                let holder = node.settings.name.to_string();
                let put = node
                    .platform
                    .put_leased(&lease_key, 0, &holder, Some(*lease));
                matches!(put, WriteOutcome::Won(_))
            });
            orders.lease_answered(clock::now(), lease, out);
        }
        Action::Renew { lease } => {
            let alive = node.platform.renew(lease).ok();
            orders.renewal_answered(clock::now(), alive);
        }
        Action::ReadFence => {
            let found = node.platform.get(&fence_key).ok().map(|entry| {
                let entry = entry?;
                let record: FenceRecord = serde_json::from_str(&entry.value).ok()?;
                Some((entry.revision, record))
            });
            orders.fence_read(clock::now(), found, out);
        }
        Action::WriteFence { expect, record } => {
            let text = serde_json::to_string(&record).unwrap_or_default();
            let answer = node.platform.put(&fence_key, expect, &text);
            orders.fence_written(clock::now(), answer, out);
        }
        Action::Order {
            endpoint,
            fence,
            models,
        } => {
            let address = node
                .config()
                .and_then(|config| config.address(endpoint).cloned());
            let Some(address) = address else { return };
            info!(endpoint = &*address, fence; "order: {models:?}");
            match node.engines.order(
                &address,
                &Order {
                    fence,
                    models: &models,
                },
            ) {
                Ok(STATUS_FENCE_OUTDATED) => orders.order_refused(clock::now()),
                Ok(_) => {}
                Err(fault) => warn!("order to {address} failed: {}", fault.detail),
            }
        }
    }
}
