//! A plain service that counts its executions by key.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;
use tiny_http::Request;

use super::body_of;
use crate::clock;
use crate::pages::{self, Page};
use crate::util::lock;

const THREADS: usize = 64;

/// Faults that are switched on and off.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Time that a call takes.
    pub delay_ms: u64,
    /// This many calls are executed and not answered.
    pub lose_answers: u64,
    /// This many calls are executed and answered in part.
    pub cut_answers: u64,
    /// This many calls are answered 503 without being executed.
    pub refuse: u64,
    /// This many calls are answered with a redirect to `/elsewhere`.
    pub redirect: u64,
    pub leaving: bool,
}

#[derive(Default)]
struct State {
    faults: Faults,
    executions: BTreeMap<String, u64>,
}

/// Starts the stand-in on an open listener.
pub fn serve(listener: TcpListener) -> io::Result<SocketAddr> {
    let address = listener.local_addr()?;
    let state = Arc::new(Mutex::new(State::default()));
    pages::serve(listener, THREADS, move |request| handle(&state, request))?;
    Ok(address)
}

fn handle(state: &Mutex<State>, mut request: Request) {
    let path = request
        .url()
        .split('?')
        .next()
        .unwrap_or_default()
        .to_owned();
    let body = body_of(&mut request);
    match path.as_str() {
        "/control" => {
            match serde_json::from_slice(&body) {
                Ok(faults) => lock(state).faults = faults,
                Err(error) => return Page::text(400, error.to_string()).send(request),
            }
            return Page::text(200, "done").send(request);
        }
        "/stats" => return Page::json(200, &lock(state).executions).send(request),
        "/load" => {
            let leaving = lock(state).faults.leaving;
            let load = json!({ "incarnation": 1, "running": 0, "waiting": 0, "leaving": leaving });
            return Page::json(200, &load).send(request);
        }
        _ => {}
    }
    execute(state, &body, request);
}

fn take(count: &mut u64) -> bool {
    let any = *count > 0;
    *count = count.saturating_sub(1);
    any
}

fn execute(state: &Mutex<State>, body: &[u8], request: Request) {
    let header = |name: &'static str| {
        let found = request.headers().iter().find(|h| h.field.equiv(name));
        found.map(|h| h.value.as_str().to_owned())
    };
    let key = header("Idempotency-Key").unwrap_or_else(|| String::from_utf8_lossy(body).into());
    let mut locked = lock(state);
    if take(&mut locked.faults.refuse) {
        drop(locked);
        return Page::text(503, "not now").send(request);
    }
    *locked.executions.entry(key.clone()).or_default() += 1;
    let count = locked.executions[&key];
    let (delay_ms, redirect) = (locked.faults.delay_ms, take(&mut locked.faults.redirect));
    let (lose, cut) = (
        take(&mut locked.faults.lose_answers),
        take(&mut locked.faults.cut_answers),
    );
    drop(locked);
    clock::sleep(Duration::from_millis(delay_ms));
    if lose {
        drop(request.into_writer());
        return;
    }
    if cut {
        let half = b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\nConnection: close\r\n\r\n{\"half\":";
        let _ = request.into_writer().write_all(half);
        return;
    }
    if redirect {
        let mut response = tiny_http::Response::from_string("").with_status_code(307);
        if let Ok(header) = tiny_http::Header::from_bytes("Location", "/elsewhere") {
            response.add_header(header);
        }
        let _ = request.respond(response);
        return;
    }
    Page::json(200, &json!({ "key": key, "executions": count })).send(request);
}
