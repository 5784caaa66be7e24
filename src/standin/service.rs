//! Stand-in for a plain service, which counts its executions by idempotency key.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::clock;
use crate::http::server::{Head, Responder};
use crate::http::Request;
use crate::pages::Page;
use crate::util::lock;
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Faults to inject; the numbers of calls count down.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Time that a call takes.
    pub delay_ms: u64,
    /// Number of calls that are executed and whose connection is then closed without an answer.
    pub lose_answers: u64,
    /// Number of calls that are executed and answered with a truncated body.
    pub cut_answers: u64,
    /// Number of calls that are answered with status 503 without being executed.
    pub refuse: u64,
    /// Number of calls that are executed and answered with a redirect to `/elsewhere`.
    pub redirect: u64,
    pub leaving: bool,
}

#[derive(Default)]
struct State {
    faults: Faults,
    executions: BTreeMap<String, u64>,
}

/// Starts the stand-in on an open listener and returns its address.
pub fn serve(listener: TcpListener) -> io::Result<SocketAddr> {
    let state = Arc::new(Mutex::new(State::default()));
    super::serve(listener, move |request, out| handle(&state, request, out))
}

fn handle(state: &Mutex<State>, request: &Request, out: &mut Responder) -> io::Result<()> {
    let page = match request.path() {
        "/control" => match serde_json::from_slice(&request.body) {
            Ok(faults) => {
                lock(state).faults = faults;
                Page::text(200, "done")
            }
            Err(error) => Page::text(400, error.to_string()),
        },
        "/stats" => Page::json(200, &lock(state).executions),
        "/load" => {
            let leaving = lock(state).faults.leaving;
            let load = json!({ "incarnation": 1, "running": 0, "waiting": 0, "leaving": leaving });
            Page::json(200, &load)
        }
        _ => return execute(state, request, out),
    };
    page.reply(out)
}

/// Takes one from a counter of faults; false when it is zero.
fn take_one(count: &mut u64) -> bool {
    let taken = *count > 0;
    *count = count.saturating_sub(1);
    taken
}

fn execute(state: &Mutex<State>, request: &Request, out: &mut Responder) -> io::Result<()> {
    let key = request.header("Idempotency-Key").map(str::to_owned);
    let key = key.unwrap_or_else(|| String::from_utf8_lossy(&request.body).into());
    let mut locked = lock(state);
    if take_one(&mut locked.faults.refuse) {
        drop(locked);
        return Page::text(503, "not now").reply(out);
    }
    *locked.executions.entry(key.clone()).or_default() += 1;
    let count = locked.executions[&key];
    let (delay_ms, redirect) = (
        locked.faults.delay_ms,
        take_one(&mut locked.faults.redirect),
    );
    let (lose, cut) = (
        take_one(&mut locked.faults.lose_answers),
        take_one(&mut locked.faults.cut_answers),
    );
    drop(locked);
    clock::sleep(Duration::from_millis(delay_ms));
    if lose {
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    if cut {
        return out.raw(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"half\":");
    }
    if redirect {
        let head = Head::new(307, "text/plain").with("Location", "/elsewhere");
        return out.full(&head, b"");
    }
    Page::json(200, &json!({ "key": key, "executions": count })).reply(out)
}
