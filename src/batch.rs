//! `bramley-batch`: runs the items of batch jobs, beside the entry process of the same VM.

pub mod host;
pub mod items;
pub mod link;
pub mod message;

use std::sync::mpsc;
use std::time::Duration;

use log::info;
use serde_json::json;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snafu::{ResultExt, Snafu};
use std::io;

use self::host::Host;
use self::message::Message;
use crate::clock;
use crate::logging;
use crate::metrics::{self, Metrics};
use crate::pages::{self, Page};
use crate::settings::{self, ms};
use crate::util::lock;

const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const THREADS: usize = 2;

/// Why the process could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("{what}: {source}"))]
    Start {
        what: &'static str,
        source: io::Error,
    },
}

/// Runs until a signal stops the process; returns exit code 0 if all work was handed over, else 3.
pub fn run(settings: settings::Batch) -> Result<i32, Error> {
    logging::start(&settings.log, &settings.name, &settings.failure_domain);
    let mut signals = Signals::new([SIGTERM, SIGINT]).context(StartSnafu { what: "signals" })?;
    let operators = pages::listen(settings.operators_address).context(StartSnafu {
        what: "operators_address",
    })?;
    let (sender, receiver) = mpsc::channel();
    let limit = ms(settings.stop_limit_ms);
    let host = Host::new(settings, sender.clone());
    let status = host.status();
    let registry = Metrics::default();
    let items = registry.gauges(
        "bramley_batch_items",
        "Attempts of items since the start.",
        &["end"],
    );
    let calls = registry.gauges(
        "bramley_batch_platform_calls",
        "Calls to the platform since the start.",
        &["call"],
    );
    pages::serve(operators, THREADS, move |request| {
        let state = lock(&status).clone();
        let page = match request.url().split('?').next().unwrap_or_default() {
            "/metrics" => {
                let totals = &state.totals;
                items.with_label_values(&["done"]).set(totals.done as f64);
                items
                    .with_label_values(&["failed"])
                    .set(totals.failed as f64);
                items
                    .with_label_values(&["yielded"])
                    .set(totals.yielded as f64);
                calls
                    .with_label_values(&["write"])
                    .set(totals.writes as f64);
                calls.with_label_values(&["read"]).set(totals.reads as f64);
                registry.page()
            }
            "/dump" => Page::json(
                200,
                &json!({
                    "state": state,
                    "resident_bytes": metrics::resident_bytes(std::process::id()),
                    "processor_ms": metrics::processor_time().as_millis() as u64,
                    "uptime_ms": clock::now().as_millis() as u64,
                }),
            ),
            "/healthz" => Page::text(200, "alive\n"),
            "/readyz" if state.linked => Page::text(200, "ready\n"),
            "/readyz" => Page::text(503, "not linked to the entry process\n"),
            _ => Page::text(404, "/metrics /dump /healthz /readyz\n"),
        };
        page.send(request);
    })
    .context(StartSnafu {
        what: "operators_address",
    })?;
    link::start(host.link_settings(), sender.clone()).context(StartSnafu { what: "threads" })?;
    let stopped = host
        .start(receiver)
        .context(StartSnafu { what: "threads" })?;
    while signals.pending().next().is_none() {
        clock::sleep(STOP_CHECK_INTERVAL);
    }
    info!("leaving");
    let _ = sender.send(Message::Stop);
    let until = clock::now() + limit;
    while clock::now() < until && signals.pending().next().is_none() {
        if stopped.try_recv().is_ok() {
            info!("stopped; all work was handed over");
            return Ok(0);
        }
        clock::sleep(STOP_CHECK_INTERVAL);
    }
    info!("stopped; items in flight were cut");
    Ok(3)
}
