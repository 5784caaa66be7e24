//! `bramley-entry`: serves callers, and maintains the membership, the configuration and the
//! endpoint table.

pub mod batch_link;
pub mod batch_server;
pub mod batch_updates;
pub mod config_index;
pub mod counters;
pub mod files;
pub mod gossip;
pub mod intent;
pub mod job_table;
pub mod jobs;
pub mod node;
pub mod online;
pub mod operators;
pub mod orders;
pub mod plain;
pub mod range_request;
pub mod watch;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snafu::{ResultExt, Snafu};

use self::node::Node;
use crate::clock;
use crate::http::problem::{Problem, RefusalKind};
use crate::http::server::{Limits, Responder, Server};
use crate::http::Request;
use crate::logging;
use crate::pages;
use crate::settings::{self, ms};
use crate::util::lock;

const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why the process could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("{what}: {source}"))]
    Listen {
        what: &'static str,
        source: io::Error,
    },
}

/// Runs until a signal stops the process; returns exit code 0 if every request ended, 3 if any was
/// cut.
pub fn run(settings: settings::Entry) -> Result<i32, Error> {
    logging::start(&settings.log, &settings.name, &settings.failure_domain);
    let signals = Signals::new([SIGTERM, SIGINT]).context(ListenSnafu { what: "signals" })?;
    let node = Node::new(settings);
    let address = node.settings.gossip_address;
    node.open_gossip().context(ListenSnafu {
        what: "gossip_address",
    })?;
    let address_of = |address| pages::listen(address);
    let peers = address_of(node.settings.peer_address).context(ListenSnafu {
        what: "peer_address",
    })?;
    let local = address_of(node.settings.local_address).context(ListenSnafu {
        what: "local_address",
    })?;
    let operators = address_of(node.settings.operators_address).context(ListenSnafu {
        what: "operators_address",
    })?;
    let callers = address_of(node.settings.caller_address).context(ListenSnafu {
        what: "caller_address",
    })?;
    gossip::start(&node).context(ListenSnafu { what: "threads" })?;
    watch::start(&node).context(ListenSnafu { what: "threads" })?;
    intent::start(&node).context(ListenSnafu { what: "threads" })?;
    orders::start(&node).context(ListenSnafu { what: "threads" })?;
    gossip::serve_peers(&node, peers).context(ListenSnafu {
        what: "peer_address",
    })?;
    batch_server::serve(&node, local).context(ListenSnafu {
        what: "local_address",
    })?;
    operators::serve(&node, operators).context(ListenSnafu {
        what: "operators_address",
    })?;
    let limits = Limits {
        max_connections: node.settings.max_connections,
        head_timeout: ms(node.settings.head_timeout_ms),
        ..Limits::default()
    };
    let handler_node = node.clone();
    let server = Server::start(callers, limits, move |request, out| {
        handle(&handler_node, request, out)
    })
    .context(ListenSnafu {
        what: "caller_address",
    })?;
    info!(gossip = address.to_string(), callers = server.address.to_string(); "started");
    Ok(wait_and_drain(&node, &server, signals))
}

/// Waits for a signal, then drains: peers are informed, no new work is accepted, requests in flight
/// end. A second signal ends the wait.
fn wait_and_drain(node: &Arc<Node>, server: &Server, mut signals: Signals) -> i32 {
    while !node.superseded() && signals.pending().next().is_none() {
        clock::sleep(STOP_CHECK_INTERVAL);
    }
    info!("leaving");
    node.start_draining();
    server.drain();
    let limit = clock::now() + ms(node.settings.stop_limit_ms);
    let accept_until = clock::now() + ms(node.settings.drain_ms);
    let mut forced = false;
    while clock::now() < accept_until && !forced {
        forced = signals.pending().next().is_some();
        clock::sleep(STOP_CHECK_INTERVAL);
    }
    server.close();
    while (server.busy() > 0 || lock(&node.batch_link).owner != 0)
        && !forced
        && clock::now() < limit
    {
        forced = signals.pending().next().is_some();
        clock::sleep(STOP_CHECK_INTERVAL);
    }
    match server.busy() {
        0 => {
            info!("stopped; nothing was cut");
            0
        }
        cut => {
            warn!(cut; "stopped; requests were cut");
            3
        }
    }
}

fn handle(node: &Arc<Node>, request: &Request, out: &mut Responder) -> io::Result<()> {
    match request.path() {
        "/healthz" => return out.json(200, &serde_json::json!({ "alive": true })),
        "/readyz" => return answer_ready(node, out),
        _ => {}
    }
    let config = match node.config() {
        Some(config) => config,
        None => {
            let detail = "no configuration is in force here yet";
            return out.problem(
                &Problem::not_run(RefusalKind::NotReady, detail).with_retry_after(RETRY_AFTER),
            );
        }
    };
    let Some(workspace) = config.workspace_of(request) else {
        return out.problem(&Problem::not_run(
            RefusalKind::Unauthorized,
            "Authorization: Bearer KEY",
        ));
    };
    let caller = node::CallerContext {
        config: config.clone(),
        workspace,
    };
    let path = request.path();
    match (request.method.as_str(), path) {
        ("POST", "/v1/chat/completions" | "/v1/completions") => {
            online::handle(node, &caller, request, out)
        }
        ("GET", "/v1/models") => online::models(&caller, out),
        (_, _) if path.starts_with("/svc/") => plain::handle(node, &caller, request, out),
        (_, _) if path.starts_with("/v1/files") => files::handle(node, &caller, request, out),
        (_, _) if path.starts_with("/v1/batches") => jobs::handle(node, &caller, request, out),
        _ => out.problem(&Problem::not_run(
            RefusalKind::NotFound,
            format!("{} {path}", request.method),
        )),
    }
}

fn answer_ready(node: &Node, out: &mut Responder) -> io::Result<()> {
    match node.ready() {
        Ok(()) => out.json(200, &serde_json::json!({ "ready": true })),
        Err(why) => {
            out.problem(&Problem::not_run(RefusalKind::NotReady, why).with_retry_after(RETRY_AFTER))
        }
    }
}
