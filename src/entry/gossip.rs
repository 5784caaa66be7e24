//! Threads that communicate with other VMs and endpoints: datagrams, ticks, background tasks, and
//! peers' requests.

use std::io;
use std::net::TcpListener;
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use log::debug;

use super::node::{Errand, Node};
use super::{intent, watch};
use crate::clock;
use crate::peer;
use crate::util::lock;
use crate::wire::{Datagram, PeerAsk, PeerReply, DATAGRAM_BYTES};

const TICK: Duration = Duration::from_millis(20);
const RUNNERS: usize = 6;
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);

/// Starts the threads.
pub fn start(node: &Arc<Node>) -> io::Result<()> {
    let ticking = node.clone();
    thread::Builder::new()
        .name("tick".into())
        .spawn(move || loop {
            clock::sleep(TICK);
            ticking.tick();
        })?;
    let receiving = node.clone();
    thread::Builder::new()
        .name("gossip".into())
        .spawn(move || receive(&receiving))?;
    let Some(errands) = node.take_errands() else {
        return Ok(());
    };
    let errands = Arc::new(Mutex::new(errands));
    for _ in 0..RUNNERS {
        let (node, errands) = (node.clone(), errands.clone());
        thread::Builder::new()
            .name("errands".into())
            .spawn(move || run_errands(&node, &errands))?;
    }
    Ok(())
}

fn receive(node: &Node) {
    let Some(socket) = node.gossip() else { return };
    let mut buffer = [0; DATAGRAM_BYTES + 1];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer) else {
            clock::sleep(RECEIVE_PAUSE);
            continue;
        };
        node.counters
            .datagram_bytes
            .with_label_values(&["in"])
            .inc_by(length as u64);
        match node.key.open::<Datagram>(&buffer[..length]) {
            Ok(message) => take(node, message),
            Err(error) => {
                node.counters.datagrams_refused.inc();
                debug!("datagram refused: {error}");
            }
        }
    }
}

fn take(node: &Node, message: Datagram) {
    match message {
        Datagram::Pressure { endpoint, .. } => node.pressed(endpoint),
        Datagram::Heartbeat(heartbeat) => {
            let mut core = lock(&node.core);
            let core = &mut *core;
            let mut out = Vec::new();
            let now = clock::now();
            core.fleet
                .apply_heartbeat(now, heartbeat, &mut core.online.endpoints, &mut out);
            node.run_fleet(core, out);
        }
    }
}

fn run_errands(node: &Arc<Node>, errands: &Mutex<Receiver<Errand>>) {
    loop {
        let Ok(errand) = lock(errands).recv() else {
            return;
        };
        match errand {
            Errand::FetchConfig { from } => {
                let ask = PeerAsk::Config {
                    have: node.version(),
                };
                let reply = peer::call(from, &node.key, &ask, PEER_TIMEOUT);
                if let Ok(PeerReply::Config(Some(versioned))) = reply {
                    node.adopt(*versioned);
                }
            }
            Errand::FetchJobs { from } => {
                let after = lock(&node.core).jobs.revision;
                let reply = peer::call(from, &node.key, &PeerAsk::Jobs { after }, PEER_TIMEOUT);
                if let Ok(PeerReply::Jobs { revision, records }) = reply {
                    watch::take_jobs(node, after, revision, records);
                }
            }
            Errand::Poll { endpoint, address } => {
                if let Ok(report) = node.engines.load(&address) {
                    let mut core = lock(&node.core);
                    let core = &mut *core;
                    let now = clock::now();
                    core.fleet.apply_endpoint_report(
                        now,
                        endpoint,
                        report,
                        &mut core.online.endpoints,
                    );
                }
            }
            Errand::Cancel { address, attempt } => node.engines.cancel(&address, &attempt),
        }
    }
}

/// Answers the requests of other VMs.
pub fn serve_peers(node: &Arc<Node>, listener: TcpListener) -> io::Result<()> {
    let node = node.clone();
    let key = node.key.clone();
    peer::serve(listener, key, move |ask| answer(&node, ask))
}

fn answer(node: &Node, ask: PeerAsk) -> PeerReply {
    match ask {
        PeerAsk::Config { have } => {
            let plan = node
                .plan()
                .filter(|plan| plan.versioned.head.version > have);
            PeerReply::Config(plan.map(|plan| Box::new((*plan.versioned).clone())))
        }
        PeerAsk::Jobs { after } => {
            let core = lock(&node.core);
            let rows = core
                .jobs
                .rows
                .values()
                .filter(|(revision, _)| *revision > after);
            PeerReply::Jobs {
                revision: core.jobs.revision,
                records: rows.cloned().collect(),
            }
        }
        PeerAsk::Intent { key, ask } => PeerReply::Intent(intent::ask_here(node, key, ask)),
        PeerAsk::Put { .. } | PeerAsk::Get { .. } | PeerAsk::Has { .. } => {
            PeerReply::Refused("this process keeps no content".into())
        }
    }
}
