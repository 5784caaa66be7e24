//! A serving process: one event loop between callers and endpoints.
//!
//! A deployment's adapter supplies the [`dialect::Dialect`] and the [`crate::store::Store`]; all
//! else is the same in every deployment. Decisions are made in [`crate::decide`].

pub mod admission;
pub mod answer_memory;
pub mod ask;
pub mod bodies;
pub mod body;
pub mod callers;
pub mod cancellation;
mod connections;
pub mod counters;
pub mod delegate;
pub mod dialect;
mod endpoint_news;
pub mod events;
mod evidence;
pub mod exchange;
mod heads;
pub mod internal_pages;
pub mod job_admission;
pub mod job_table;
pub mod jobs;
pub mod live_watch;
mod load_reports;
pub mod node;
pub mod online;
pub mod part_cache;
pub mod peers;
pub mod pool;
mod processes;
mod quarantine;
mod queued_room;
mod quotas;
mod refreshing;
pub mod registration;
pub mod relay;
pub mod replies;
mod reply_memory;
pub mod results;
pub mod retire;
pub mod runs;
mod silence;
pub mod stop;
mod streams;
pub mod summary;
mod waiting_items;
pub mod waiting_page;
pub mod watch;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::runtime;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

use self::dialect::Dialect;
use self::node::Node;
use crate::settings;
use crate::store::Store;

/// Interval at which queues and timeouts are checked: short compared with the first-token goals of
/// the routes, and at most a hundredth of a core's work.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Runs a serving process until a signal stops it.
pub fn run(
    settings: settings::Serve,
    dialect: Dialect,
    store: impl FnOnce(&settings::Serve) -> Store,
) -> std::io::Result<()> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        let store = store(&settings);
        let node = Node::new(settings, dialect, store);
        start(&node).await?;
        stop::wait(node).await
    })
}

/// Opens the listeners and starts the tasks that run until the process ends.
async fn start(node: &Rc<Node>) -> std::io::Result<()> {
    let settings = &node.settings;
    log::info!(
        owner = node.owner,
        caller_address:% = settings.caller_address,
        store_address:% = settings.store_address;
        "start"
    );
    let callers = callers::listen(settings.caller_address)?;
    let ready = callers::listen(settings.ready_address)?;
    let operators = callers::listen(settings.operators_address)?;
    let peers = callers::listen(settings.peer_address)?;
    let socket = Rc::new(UdpSocket::bind(settings.gossip_address).await?);
    node.core.borrow_mut().peers.seeds = seeds(settings);
    node.gossip_socket.replace(Some(socket.clone()));
    spawn_local(callers::serve(node.clone(), callers));
    spawn_local(internal_pages::serve(
        node.clone(),
        ready,
        internal_pages::PAGE_CONNECTION_LIFETIME_MAX,
        node.budget.page_connections_max,
        internal_pages::readiness,
    ));
    spawn_local(internal_pages::serve(
        node.clone(),
        operators,
        internal_pages::PAGE_CONNECTION_LIFETIME_MAX,
        node.budget.page_connections_max,
        internal_pages::operator_pages,
    ));
    spawn_local(internal_pages::serve(
        node.clone(),
        peers,
        internal_pages::PEER_CONNECTION_LIFETIME_MAX,
        node.budget.peer_connections_max,
        internal_pages::peer_pages,
    ));
    spawn_local(peers::send_heartbeats(node.clone(), socket.clone()));
    spawn_local(peers::receive_datagrams(node.clone(), socket.clone()));
    spawn_local(delegate::send_summaries(node.clone(), socket.clone()));
    spawn_local(quarantine::send_reports(node.clone(), socket));
    spawn_local(quarantine::keep_records(node.clone()));
    spawn_local(quotas::records::keep_records(node.clone()));
    spawn_local(streams::records::keep_records(node.clone()));
    spawn_local(processes::confirm_starts(node.clone()));
    spawn_local(peers::fetch_newer_versions(node.clone()));
    spawn_local(watch::follow_operator_keys(node.clone()));
    spawn_local(watch::follow_endpoints(node.clone()));
    spawn_local(live_watch::run(node.clone()));
    spawn_local(live_watch::detect_silent_watch(node.clone()));
    spawn_local(live_watch::refresh_followed(node.clone()));
    spawn_local(registration::register(node.clone()));
    spawn_local(runs::run(node.clone()));
    spawn_local(summary::run(node.clone()));
    spawn_local(tick(node.clone()));
    Ok(())
}

/// Addresses that receive the first heartbeats: the configured peers, which listen on the same
/// gossip port as this VM.
fn seeds(settings: &settings::Serve) -> Vec<SocketAddr> {
    let port = settings.gossip_address.port();
    let own = settings.gossip_address;
    let seeds = settings
        .peers
        .iter()
        .map(|seed| SocketAddr::new(seed.ip(), port));
    seeds.filter(|seed| *seed != own).collect()
}

async fn tick(node: Rc<Node>) {
    loop {
        sleep(TICK_INTERVAL).await;
        node.tick();
        silence::handle_changes(&node);
    }
}
