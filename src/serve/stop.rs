//! Signals, and the graceful stop that interrupts no request.

use std::rc::Rc;
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::sleep;

use super::node::{Node, Stage};
use super::results;
use super::runs;
use crate::clock;
use crate::logging;

/// Interval at which open requests and runs are checked while draining.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Part of the stop limit that is kept for the last log lines and the exit once requests are cut.
const EXIT_TIME: Duration = Duration::from_millis(300);
/// Time for closed connections to reach their callers before the process ends.
const CLOSE_TIME: Duration = Duration::from_millis(100);

/// Timeout for writing the last log lines; together with `CLOSE_TIME` it stays within `EXIT_TIME`.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

/// Waits for a stop signal and drains the process; returns when it may exit.
///
/// A process that stops listening at once, or closes connections that callers keep open, cuts
/// requests that are on their way. So the process first reports that it is not ready and continues
/// to accept requests until the load balancer has sent callers to other VMs and until callers no
/// longer use idle connections, then closes these, then waits for open requests. Connections that
/// are in use are closed at the end of their reply.
pub async fn wait(node: Rc<Node>) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            // Everything that may change while the process runs comes from the store.
            _ = reload.recv() => log::info!("reload: settings are read at the next start"),
        }
    }
    drain(&node).await;
    Ok(())
}

/// Waits for a stop signal in a process without state to drain.
pub fn wait_for_signal() -> std::io::Result<()> {
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    for signal in signals.forever() {
        match signal {
            SIGHUP => log::info!("reload: settings are read at the next start"),
            _ => break,
        }
    }
    log::info!("stop");
    Ok(())
}

async fn drain(node: &Node) {
    let started = clock::now();
    node.core.borrow_mut().stage = Stage::Draining;
    node.closing.notify_waiters();
    log_open(node, started, "stop: draining");
    node.plan_items.notify_one();
    node.heartbeat_due.notify_one();
    results::wake_readers(node);
    let drain_time = Duration::from_millis(node.settings.drain_ms);
    let limit = Duration::from_millis(node.settings.stop_limit_ms).saturating_sub(EXIT_TIME);
    sleep(drain_time.min(limit)).await;
    // From here on a request could not be finished before the process ends: callers that still
    // connect are refused before they have sent anything, and use another VM.
    node.listening.set(false);
    node.closing.notify_waiters();
    log_open(node, started, "stop: closing");
    let open = &node.open_requests;
    let is_busy = || open.total() > 0 || open.is_any_expected() || runs::busy(node);
    let mut idle_since = clock::now();
    // A connection that was accepted just before may bring a request while the others are closed.
    while clock::now() < (idle_since + CLOSE_TIME).min(started + limit + CLOSE_TIME) {
        sleep(CHECK_INTERVAL).await;
        // Also reaches connections that were accepted meanwhile.
        node.closing.notify_waiters();
        if clock::now() >= started + limit {
            node.open_requests.refuse();
        }
        if is_busy() {
            idle_since = clock::now();
        }
    }
    log_open(node, started, "stop: ended");
    logging::flush(LOG_FLUSH_TIMEOUT);
}

/// Logs what is open. At the end of a stop, this is what the stop cuts.
fn log_open(node: &Node, started: Duration, message: &str) {
    let open = &node.open_requests;
    let took_ms = clock::now().saturating_sub(started).as_millis() as u64;
    let runs_jobs = runs::busy(node);
    log::info!(requests = open.total(), open:% = open, runs_jobs, took_ms; "{message}");
}
