//! Threads that communicate with other VMs and endpoints: datagrams, ticks, background tasks, and
//! peers' requests.

use std::io;
use std::net::TcpListener;
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use log::debug;

use super::node::{BackgroundTask, Node};
use super::{intent, watch};
use crate::clock;
use crate::peer;
use crate::util::lock;
use crate::wire::{Datagram, PeerReply, PeerRequest, DATAGRAM_BYTES_MAX};

const TICK_INTERVAL: Duration = Duration::from_millis(20);
const TASK_THREADS: usize = 6;
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
const RECEIVE_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Starts the threads.
pub fn start(node: &Arc<Node>) -> io::Result<()> {
    let ticking = node.clone();
    thread::Builder::new()
        .name("tick".into())
        .spawn(move || loop {
            clock::sleep(TICK_INTERVAL);
            ticking.tick();
        })?;
    let receiving = node.clone();
    thread::Builder::new()
        .name("gossip".into())
        .spawn(move || receive(&receiving))?;
    let Some(tasks) = node.take_task_receiver() else {
        return Ok(());
    };
    let tasks = Arc::new(Mutex::new(tasks));
    for _ in 0..TASK_THREADS {
        let (node, tasks) = (node.clone(), tasks.clone());
        thread::Builder::new()
            .name("errands".into())
            .spawn(move || run_tasks(&node, &tasks))?;
    }
    Ok(())
}

fn receive(node: &Node) {
    let Some(socket) = node.gossip() else { return };
    let mut buffer = [0; DATAGRAM_BYTES_MAX + 1];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer) else {
            clock::sleep(RECEIVE_RETRY_INTERVAL);
            continue;
        };
        node.counters
            .datagram_bytes
            .with_label_values(&["in"])
            .inc_by(length as u64);
        match node.key.open::<Datagram>(&buffer[..length]) {
            Ok(message) => handle_datagram(node, message),
            Err(error) => {
                node.counters.datagrams_refused.inc();
                debug!("datagram rejected: {error}");
            }
        }
    }
}

fn handle_datagram(node: &Node, message: Datagram) {
    match message {
        Datagram::Pressure { endpoint, .. } => node.apply_pressure(endpoint),
        Datagram::Heartbeat(heartbeat) => {
            let mut state = lock(&node.state);
            let state = &mut *state;
            let mut out = Vec::new();
            let now = clock::now();
            state
                .fleet
                .apply_heartbeat(now, heartbeat, &mut state.online.endpoints, &mut out);
            node.run_fleet_actions(state, out);
        }
    }
}

fn run_tasks(node: &Arc<Node>, tasks: &Mutex<Receiver<BackgroundTask>>) {
    loop {
        let Ok(task) = lock(tasks).recv() else {
            return;
        };
        match task {
            BackgroundTask::FetchConfig { from } => {
                let request = PeerRequest::Config {
                    have: node.config_version(),
                };
                let reply = peer::call(from, &node.key, &request, PEER_TIMEOUT);
                if let Ok(PeerReply::Config(Some(versioned))) = reply {
                    node.apply_config(*versioned);
                }
            }
            BackgroundTask::FetchJobs { from } => {
                let after = lock(&node.state).jobs.revision;
                let reply = peer::call(from, &node.key, &PeerRequest::Jobs { after }, PEER_TIMEOUT);
                if let Ok(PeerReply::Jobs { revision, records }) = reply {
                    watch::apply_job_records(node, after, revision, records);
                }
            }
            BackgroundTask::Poll { endpoint, address } => {
                if let Ok(report) = node.engines.load(&address) {
                    let mut state = lock(&node.state);
                    let state = &mut *state;
                    let now = clock::now();
                    state.fleet.apply_endpoint_report(
                        now,
                        endpoint,
                        report,
                        &mut state.online.endpoints,
                    );
                }
            }
            BackgroundTask::Cancel { address, attempt } => node.engines.cancel(&address, &attempt),
        }
    }
}

/// Answers the requests of other VMs.
pub fn serve_peers(node: &Arc<Node>, listener: TcpListener) -> io::Result<()> {
    let node = node.clone();
    let key = node.key.clone();
    peer::serve(listener, key, move |request| answer(&node, request))
}

fn answer(node: &Node, request: PeerRequest) -> PeerReply {
    match request {
        PeerRequest::Config { have } => {
            let config = node
                .config()
                .filter(|config| config.versioned.head.version > have);
            PeerReply::Config(config.map(|config| Box::new((*config.versioned).clone())))
        }
        PeerRequest::Jobs { after } => {
            let state = lock(&node.state);
            let rows = state
                .jobs
                .rows
                .values()
                .filter(|(revision, _)| *revision > after);
            PeerReply::Jobs {
                revision: state.jobs.revision,
                records: rows.cloned().collect(),
            }
        }
        PeerRequest::Intent { key, request: ask } => {
            PeerReply::Intent(intent::ask_local(node, key, ask))
        }
        PeerRequest::Put { .. } | PeerRequest::Get { .. } | PeerRequest::Has { .. } => {
            PeerReply::Refused("this process stores no content".into())
        }
    }
}
