//! Stand-in for the platform: a key-value store with leases and watches, and a list of VMs that may
//! lag. Faults are injected through `/control/fault`.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;

use super::number;
use crate::clock;
use crate::http::server::{Head, Responder};
use crate::http::Request;
use crate::pages::Page;
use crate::platform::{Changes, Entry, ListedVm, VALUE_BYTES_MAX};
use crate::util::{lock, unescape};

const WATCH_WAIT_MAX: Duration = Duration::from_secs(30);

/// Faults to inject.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Every call is answered with status 503.
    pub outage: bool,
    /// Delay added to every call.
    pub delay_ms: u64,
    /// Number of writes that take effect but whose answer is cut off; counts down.
    pub lose_answers: u64,
    /// `lose_answers` applies only to writes of keys with this prefix.
    pub lose_prefix: String,
    /// Changes appear in the list of VMs after this delay.
    pub list_lag_ms: u64,
}

/// Calls since the last reset (`/control/reset`).
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Calls {
    pub reads: u64,
    pub writes: u64,
    pub watches: u64,
    pub conflicts: u64,
    /// Watches that are open now.
    pub waiting: u64,
    /// Writes by the first segment of their key.
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
    /// By lease: the time when it lapses and its duration.
    leases: HashMap<u64, (Duration, Duration)>,
    next_lease: u64,
    /// The list of VMs as last set; `shown_vms` becomes equal to it at `show_at`.
    vms: Vec<ListedVm>,
    shown_vms: Vec<ListedVm>,
    show_vms_at: Option<Duration>,
    faults: Faults,
    calls: Calls,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// Starts the stand-in on an open listener and returns its address.
pub fn serve(listener: TcpListener) -> io::Result<SocketAddr> {
    let shared = Arc::new(Shared::default());
    super::serve(listener, move |request, out| handle(&shared, request, out))
}

fn handle(shared: &Shared, request: &Request, out: &mut Responder) -> io::Result<()> {
    let path = request.path();
    if path.starts_with("/control/") || path == "/stats" {
        return control(shared, path, &request.body).reply(out);
    }
    let faults = lock(&shared.state).faults.clone();
    clock::sleep(Duration::from_millis(faults.delay_ms));
    if faults.outage {
        return Page::text(503, "outage").reply(out);
    }
    if let Some(key) = path.strip_prefix("/kv/") {
        let key = unescape(key);
        return match request.method.as_str() {
            "GET" => get(shared, &key, out),
            "PUT" => put(shared, &key, request, out),
            "DELETE" => delete(shared, &key).reply(out),
            _ => Page::text(405, "no such method").reply(out),
        };
    }
    let page = match path {
        "/list" => list(shared, request),
        "/watch" => watch(shared, request),
        "/vms" => vms(shared),
        _ if path.starts_with("/lease") => lease(shared, request),
        _ => Page::text(404, "no such page"),
    };
    page.reply(out)
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
                state.show_vms_at =
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
        let expired: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, s)| {
                s.lease
                    .is_some_and(|lease| !self.leases.contains_key(&lease))
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.keys.remove(&key);
            self.revision += 1;
        }
    }
}

fn get(shared: &Shared, key: &str, out: &mut Responder) -> io::Result<()> {
    let mut state = lock(&shared.state);
    state.calls.reads += 1;
    state.expire_leases(clock::now());
    let found = state.keys.get(key).cloned();
    drop(state);
    match found {
        None => Page::text(404, "no such key").reply(out),
        Some(stored) => {
            let head = Head::new(200, "application/json");
            let head = head.with("X-Revision", stored.revision.to_string());
            out.full(&head, stored.value.as_bytes())
        }
    }
}

fn put(shared: &Shared, key: &str, request: &Request, out: &mut Responder) -> io::Result<()> {
    if request.body.len() > VALUE_BYTES_MAX {
        return Page::text(413, "value too large").reply(out);
    }
    let mut state = lock(&shared.state);
    state.expire_leases(clock::now());
    state.calls.writes += 1;
    let prefix = key.split('/').next().unwrap_or_default().to_owned();
    *state.calls.writes_by_prefix.entry(prefix).or_default() += 1;
    let current = state.keys.get(key).map_or(0, |stored| stored.revision);
    if current != number(request, "expect") {
        state.calls.conflicts += 1;
        drop(state);
        return Page::json(409, &json!({ "revision": current })).reply(out);
    }
    state.revision += 1;
    let revision = state.revision;
    let lease = request.query("lease").and_then(|lease| lease.parse().ok());
    let value = String::from_utf8_lossy(&request.body).into_owned();
    state.keys.insert(
        key.to_owned(),
        Stored {
            revision,
            value,
            lease,
        },
    );
    let lose_answer = state.faults.lose_answers > 0 && key.starts_with(&state.faults.lose_prefix);
    if lose_answer {
        state.faults.lose_answers -= 1;
    }
    drop(state);
    shared.changed.notify_all();
    if lose_answer {
        // The answer is cut off, so that the caller can't tell whether the write took effect.
        return out.raw(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{");
    }
    Page::json(200, &json!({ "revision": revision })).reply(out)
}

fn delete(shared: &Shared, key: &str) -> Page {
    let mut state = lock(&shared.state);
    state.calls.writes += 1;
    state.keys.remove(key);
    state.revision += 1;
    Page::text(200, "done")
}

/// Entries under `prefix` with a revision above `after`.
fn entries_after(state: &State, prefix: &str, after: u64) -> Vec<Entry> {
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

fn prefix_of(request: &Request) -> String {
    request.query("prefix").map(unescape).unwrap_or_default()
}

fn list(shared: &Shared, request: &Request) -> Page {
    let mut state = lock(&shared.state);
    state.calls.reads += 1;
    state.expire_leases(clock::now());
    let entries = entries_after(&state, &prefix_of(request), number(request, "after"));
    Page::json(200, &entries)
}

fn watch(shared: &Shared, request: &Request) -> Page {
    let prefix = prefix_of(request);
    let after = number(request, "after");
    let wait = Duration::from_millis(number(request, "wait_ms")).min(WATCH_WAIT_MAX);
    let deadline = clock::now() + wait;
    let mut state = lock(&shared.state);
    state.calls.watches += 1;
    state.calls.waiting += 1;
    let entries = loop {
        let entries = entries_after(&state, &prefix, after);
        let left = deadline.saturating_sub(clock::now());
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
    if state.show_vms_at.is_some_and(|at| clock::now() >= at) {
        state.shown_vms = state.vms.clone();
        state.show_vms_at = None;
    }
    Page::json(200, &state.shown_vms)
}

fn lease(shared: &Shared, request: &Request) -> Page {
    let path = request.path();
    let mut state = lock(&shared.state);
    state.calls.writes += 1;
    let now = clock::now();
    state.expire_leases(now);
    if path == "/lease" {
        let ttl = Duration::from_millis(number(request, "ttl_ms"));
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
