//! The platform: key-value service, leases, watches, a lagging list of VMs; faults on request.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;
use tiny_http::{Method, Request, Response};

use super::{body_of, number, query};
use crate::clock;
use crate::pages::{self, Page};
use crate::platform::{Changes, Entry, ListedVm, VALUE_BYTES};
use crate::util::{lock, unescape};

const THREADS: usize = 96;
const WATCH_MAX: Duration = Duration::from_secs(30);

/// Faults that are switched on and off.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Every call is answered 503.
    pub outage: bool,
    /// Every call takes so much longer.
    pub delay_ms: u64,
    /// This many writes take effect and are not answered.
    pub lose_answers: u64,
    /// Only writes of keys with this prefix are counted for `lose_answers`.
    pub lose_prefix: String,
    /// The list of VMs shows changes so much later.
    pub list_lag_ms: u64,
}

/// Calls since the last reset.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Calls {
    pub reads: u64,
    pub writes: u64,
    pub watches: u64,
    pub conflicts: u64,
    /// Watches that wait now.
    pub waiting: u64,
    /// Writes by the first part of their key.
    pub writes_by_prefix: BTreeMap<String, u64>,
}

#[derive(Debug, Clone)]
struct Stored {
    revision: u64,
    value: String,
    lease: Option<u64>,
}

#[derive(Default)]
struct State {
    revision: u64,
    keys: BTreeMap<String, Stored>,
    /// Lease and when it lapses.
    leases: HashMap<u64, (Duration, Duration)>,
    next_lease: u64,
    vms: Vec<ListedVm>,
    shown_vms: Vec<ListedVm>,
    show_at: Option<Duration>,
    faults: Faults,
    calls: Calls,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// Starts the stand-in.
pub fn start(address: SocketAddr) -> io::Result<SocketAddr> {
    serve(pages::listen(address)?)
}

/// Starts the stand-in on an open listener.
pub fn serve(listener: TcpListener) -> io::Result<SocketAddr> {
    let address = listener.local_addr()?;
    let shared = Arc::new(Shared::default());
    pages::serve(listener, THREADS, move |request| handle(&shared, request))?;
    Ok(address)
}

fn handle(shared: &Shared, mut request: Request) {
    let target = request.url().to_owned();
    let path = target.split('?').next().unwrap_or_default().to_owned();
    if path.starts_with("/control/") || path == "/stats" {
        control(shared, &path, &body_of(&mut request)).send(request);
        return;
    }
    let faults = lock(&shared.state).faults.clone();
    if faults.delay_ms > 0 {
        clock::sleep(Duration::from_millis(faults.delay_ms));
    }
    if faults.outage {
        Page::text(503, "outage").send(request);
        return;
    }
    if let Some(key) = path.strip_prefix("/kv/") {
        let key = unescape(key);
        match request.method() {
            Method::Get => get(shared, &key, request),
            Method::Put => put(shared, &key, &target, request),
            Method::Delete => delete(shared, &key, request),
            _ => Page::text(405, "no such method").send(request),
        }
        return;
    }
    let page = match path.as_str() {
        "/list" => list(shared, &target),
        "/watch" => watch(shared, &target),
        "/vms" => vms(shared),
        _ if path.starts_with("/lease") => lease(shared, &path, &target),
        _ => Page::text(404, "no such page"),
    };
    page.send(request);
}

fn control(shared: &Shared, path: &str, body: &[u8]) -> Page {
    let mut state = lock(&shared.state);
    match path {
        "/control/fault" => match serde_json::from_slice(body) {
            Ok(faults) => state.faults = faults,
            Err(error) => return Page::text(400, error.to_string()),
        },
        "/control/vms" => match serde_json::from_slice(body) {
            Ok(vms) => {
                state.vms = vms;
                state.show_at =
                    Some(clock::now() + Duration::from_millis(state.faults.list_lag_ms));
            }
            Err(error) => return Page::text(400, error.to_string()),
        },
        "/control/reset" => {
            state.calls = Calls {
                waiting: state.calls.waiting,
                ..Calls::default()
            };
        }
        _ => return Page::json(200, &state.calls),
    }
    Page::text(200, "done")
}

impl State {
    fn expire_leases(&mut self, now: Duration) {
        self.leases.retain(|_, (until, _)| *until > now);
        let gone: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, s)| {
                s.lease
                    .is_some_and(|lease| !self.leases.contains_key(&lease))
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.keys.remove(&key);
            self.revision += 1;
        }
    }
}

fn get(shared: &Shared, key: &str, request: Request) {
    let mut state = lock(&shared.state);
    state.calls.reads += 1;
    state.expire_leases(clock::now());
    let found = state.keys.get(key).cloned();
    drop(state);
    match found {
        None => Page::text(404, "no such key").send(request),
        Some(stored) => {
            let mut response = Response::from_string(stored.value);
            let revision = stored.revision.to_string();
            if let Ok(header) = tiny_http::Header::from_bytes("X-Revision", revision) {
                response.add_header(header);
            }
            let _ = request.respond(response);
        }
    }
}

fn put(shared: &Shared, key: &str, target: &str, mut request: Request) {
    let body = body_of(&mut request);
    if body.len() > VALUE_BYTES {
        Page::text(413, "value too large").send(request);
        return;
    }
    let mut state = lock(&shared.state);
    state.expire_leases(clock::now());
    state.calls.writes += 1;
    let prefix = key.split('/').take(2).collect::<Vec<_>>().join("/");
    let prefix = prefix.split('/').next().unwrap_or_default().to_owned();
    *state.calls.writes_by_prefix.entry(prefix).or_default() += 1;
    let standing = state.keys.get(key).map_or(0, |stored| stored.revision);
    if standing != number(target, "expect") {
        state.calls.conflicts += 1;
        drop(state);
        Page::json(409, &json!({ "revision": standing })).send(request);
        return;
    }
    state.revision += 1;
    let revision = state.revision;
    let lease = query(target, "lease").and_then(|lease| lease.parse().ok());
    let value = String::from_utf8_lossy(&body).into_owned();
    state.keys.insert(
        key.to_owned(),
        Stored {
            revision,
            value,
            lease,
        },
    );
    let lose = state.faults.lose_answers > 0 && key.starts_with(&state.faults.lose_prefix);
    if lose {
        state.faults.lose_answers -= 1;
    }
    drop(state);
    shared.changed.notify_all();
    if lose {
        // Half an answer: the caller can't tell what happened.
        let _ = request
            .into_writer()
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{");
        return;
    }
    Page::json(200, &json!({ "revision": revision })).send(request);
}

fn delete(shared: &Shared, key: &str, request: Request) {
    let mut state = lock(&shared.state);
    state.calls.writes += 1;
    state.keys.remove(key);
    state.revision += 1;
    drop(state);
    Page::text(200, "done").send(request);
}

fn under(state: &State, prefix: &str, after: u64) -> Vec<Entry> {
    let from = state.keys.range(prefix.to_owned()..);
    from.take_while(|(key, _)| key.starts_with(prefix))
        .filter(|(_, stored)| stored.revision > after)
        .map(|(key, stored)| Entry {
            key: key.clone(),
            revision: stored.revision,
            value: stored.value.clone(),
        })
        .collect()
}

fn list(shared: &Shared, target: &str) -> Page {
    let mut state = lock(&shared.state);
    state.calls.reads += 1;
    state.expire_leases(clock::now());
    let prefix = query(target, "prefix").unwrap_or_default();
    let entries = under(&state, &prefix, number(target, "after"));
    Page::json(200, &entries)
}

fn watch(shared: &Shared, target: &str) -> Page {
    let prefix = query(target, "prefix").unwrap_or_default();
    let after = number(target, "after");
    let wait = Duration::from_millis(number(target, "wait_ms")).min(WATCH_MAX);
    let until = clock::now() + wait;
    let mut state = lock(&shared.state);
    state.calls.watches += 1;
    state.calls.waiting += 1;
    let entries = loop {
        let entries = under(&state, &prefix, after);
        let left = until.saturating_sub(clock::now());
        if !entries.is_empty() || left.is_zero() || state.faults.outage {
            break entries;
        }
        state = match shared
            .changed
            .wait_timeout(state, left.min(Duration::from_millis(250)))
        {
            Ok((state, _)) => state,
            Err(poisoned) => poisoned.into_inner().0,
        };
    };
    state.calls.waiting -= 1;
    let outage = state.faults.outage;
    let revision = entries
        .iter()
        .map(|entry| entry.revision)
        .fold(after, u64::max);
    drop(state);
    match outage {
        true => Page::text(503, "outage"),
        false => Page::json(200, &Changes { revision, entries }),
    }
}

fn vms(shared: &Shared) -> Page {
    let mut state = lock(&shared.state);
    state.calls.reads += 1;
    if state.show_at.is_some_and(|at| clock::now() >= at) {
        state.shown_vms = state.vms.clone();
        state.show_at = None;
    }
    Page::json(200, &state.shown_vms)
}

fn lease(shared: &Shared, path: &str, target: &str) -> Page {
    let mut state = lock(&shared.state);
    state.calls.writes += 1;
    let now = clock::now();
    state.expire_leases(now);
    if path == "/lease" {
        let ttl = Duration::from_millis(number(target, "ttl_ms"));
        state.next_lease += 1;
        let lease = state.next_lease;
        state.leases.insert(lease, (now + ttl, ttl));
        return Page::json(200, &json!({ "lease": lease }));
    }
    let id = path
        .split('/')
        .nth(2)
        .and_then(|id| id.parse::<u64>().ok())
        .unwrap_or(0);
    match state.leases.get_mut(&id) {
        None => Page::text(404, "no such lease"),
        Some((until, ttl)) => {
            *until = now + *ttl;
            Page::text(200, "renewed")
        }
    }
}
