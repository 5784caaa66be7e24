//! `bramley-bulk`: stores write-once content on the disk of its VM.

pub mod repair;
pub mod store;

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use log::{info, warn};
use serde_json::json;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snafu::{ResultExt, Snafu};

use self::store::Store;
use crate::clock;
use crate::logging;
use crate::metrics::{self, Metrics};
use crate::pages::{self, Page};
use crate::peer;
use crate::settings::{self, ms};
use crate::wire::{Key, PeerReply, PeerRequest};

const THREADS: usize = 2;
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Why the process could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("{what}: {source}"))]
    Start {
        what: &'static str,
        source: io::Error,
    },
}

/// Runs until a signal stops the process. Content is on disk before it is acknowledged, so a stop
/// has nothing to save.
pub fn run(settings: settings::Bulk) -> Result<i32, Error> {
    logging::start(&settings.log, &settings.name, &settings.failure_domain);
    let mut signals = Signals::new([SIGTERM, SIGINT]).context(StartSnafu { what: "signals" })?;
    let opened = Store::open(&settings.data_dir, settings.max_bytes);
    let store = Arc::new(opened.context(StartSnafu { what: "data_dir" })?);
    let peers = pages::listen(settings.peer_address).context(StartSnafu {
        what: "peer_address",
    })?;
    let operators = pages::listen(settings.operators_address).context(StartSnafu {
        what: "operators_address",
    })?;
    let serving = store.clone();
    peer::serve(peers, Key::new(&settings.cluster_key), move |ask| {
        answer(&serving, ask)
    })
    .context(StartSnafu {
        what: "peer_address",
    })?;
    serve_pages(&store, operators).context(StartSnafu {
        what: "operators_address",
    })?;
    start_maintenance(&store, &settings).context(StartSnafu { what: "threads" })?;
    info!(pieces = store.count(); "started");
    while signals.pending().next().is_none() {
        clock::sleep(STOP_CHECK_INTERVAL);
    }
    info!("stopped; nothing was cut");
    Ok(0)
}

fn serve_pages(store: &Arc<Store>, listener: std::net::TcpListener) -> io::Result<()> {
    let registry = Metrics::default();
    let bytes = registry.gauge("bramley_bulk_bytes", "Bytes stored.");
    let pieces = registry.gauge("bramley_bulk_pieces", "Pieces stored.");
    let store = store.clone();
    pages::serve(listener, THREADS, move |request| {
        let page = match request.url() {
            "/metrics" => {
                bytes.set(store.bytes() as f64);
                pieces.set(store.count() as f64);
                registry.page()
            }
            "/dump" => Page::json(
                200,
                &json!({
                    "bytes": store.bytes(),
                    "pieces": store.count(),
                    "resident_bytes": metrics::resident_bytes(std::process::id()),
                    "processor_ms": metrics::processor_time().as_millis() as u64,
                }),
            ),
            "/healthz" | "/readyz" => Page::text(200, "alive\n"),
            _ => Page::text(404, "/metrics /dump /healthz /readyz\n"),
        };
        page.send(request);
    })
}

/// Starts the threads that repair missing copies and remove expired content.
fn start_maintenance(store: &Arc<Store>, settings: &settings::Bulk) -> io::Result<()> {
    let (repairing, repair_settings) = (store.clone(), settings.clone());
    thread::Builder::new()
        .name("repair".into())
        .spawn(move || loop {
            clock::sleep(ms(repair_settings.repair_ms));
            let copied = repair::repair_all(&repairing, &repair_settings);
            if copied > 0 {
                info!(copies = copied; "copies made");
            }
        })?;
    let (sweeping, retention) = (store.clone(), Duration::from_secs(settings.retention_s));
    thread::Builder::new()
        .name("sweep".into())
        .spawn(move || loop {
            clock::sleep(SWEEP_INTERVAL);
            let removed = sweeping.remove_older(clock::unix(), retention);
            if removed > 0 {
                info!(removed; "expired pieces removed");
            }
        })?;
    Ok(())
}

fn answer(store: &Store, ask: PeerRequest) -> PeerReply {
    match ask {
        PeerRequest::Put { digest, content } => match store.put(&digest, &content) {
            Ok(()) => PeerReply::Stored,
            Err(error) => {
                warn!("piece refused: {error}");
                PeerReply::Refused(error.to_string())
            }
        },
        PeerRequest::Get { digest } => PeerReply::Content(store.get(&digest)),
        PeerRequest::Has { digests } => {
            PeerReply::Has(digests.iter().map(|digest| store.has(digest)).collect())
        }
        _ => PeerReply::Refused("this process stores content only".into()),
    }
}
