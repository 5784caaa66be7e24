//! The platform's metadata store in memory, with its limits on values and transactions.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use base64::prelude::{Engine, BASE64_STANDARD};
use bramleyseam::clock;
use bramleyseam::http::server::{Limits, Responder, Server};
use bramleyseam::http::Request;
use bramleyseam::util::{lock, unescape};
use serde_json::{json, Value};

use crate::record::Record;

/// `valueBytes` of the installation.
const VALUE_BYTES_MAX: usize = 1_048_576;
const TXN_ENTRIES_MAX: usize = 32;
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES_MAX: usize = 1_000_000;
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// How the store fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outage {
    /// Every call is answered 503.
    Busy,
}

#[derive(Clone)]
struct Row {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<String, Row>,
    history: Vec<(String, u64, Option<Row>)>,
    revision: u64,
    leases: HashMap<u64, (Duration, Duration)>,
    next_lease: u64,
    outage: Option<Outage>,
    refused_values: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(record: Record) -> io::Result<Store> {
        let shared: Arc<(Mutex<State>, Condvar)> = Arc::default();
        lock(&shared.0).revision = 1;
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let limits = Limits {
            max_connections: 1024,
            idle_timeout: Duration::from_secs(600),
            ..Limits::default()
        };
        let served = shared.clone();
        let server = Server::start(listener, limits, move |request, out| {
            respond(&served, &record, request, out)
        })?;
        let address = server.address;
        Ok(Store { address, shared })
    }

    pub fn put(&self, key: &str, value: &Value) {
        let mut state = lock(&self.shared.0);
        state.revision += 1;
        state.write(key, value.to_string().into_bytes(), 0);
        self.shared.1.notify_all();
    }

    pub fn set_outage(&self, outage: Option<Outage>) {
        lock(&self.shared.0).outage = outage;
        self.shared.1.notify_all();
    }

    pub fn has_key(&self, key: &str) -> bool {
        lock(&self.shared.0).rows.contains_key(key)
    }

    /// Transactions that were refused because a value was too large.
    pub fn refused_values(&self) -> u64 {
        lock(&self.shared.0).refused_values
    }
}

impl State {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.rows.get(key).map_or(self.revision, |row| row.created);
        let revision = self.revision;
        let row = Row {
            value,
            revision,
            created,
            lease,
        };
        self.rows.insert(key.to_owned(), row.clone());
        self.history.push((key.to_owned(), revision, Some(row)));
    }

    fn delete(&mut self, key: &str) {
        if self.rows.remove(key).is_some() {
            self.history.push((key.to_owned(), self.revision, None));
        }
    }

    /// Leases pause while the store is down.
    fn expire_leases(&mut self) {
        let now = clock::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| now >= *until)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let rows = self.rows.iter();
        let keys: Vec<String> = rows
            .filter(|(_, row)| row.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.delete(key));
        }
    }
}

fn respond(
    shared: &(Mutex<State>, Condvar),
    record: &Record,
    request: &Request,
    out: &mut Responder,
) -> io::Result<()> {
    clock::sleep(ANSWER_TIME);
    let (state, changed) = shared;
    let outage = lock(state).outage;
    match outage {
        Some(Outage::Busy) => return out.json(503, &json!({})),
        None => lock(state).expire_leases(),
    }
    let path = request.path().to_owned();
    match path.as_str() {
        "/kv-key" => respond_key(&lock(state), request, out),
        "/kv-range" => respond_range(&lock(state), request, out),
        "/kv-watch" => respond_watch(shared, request, out),
        "/kv-txn" => {
            let (status, body) = commit(&mut lock(state), record, request);
            changed.notify_all();
            out.json(status, &body)
        }
        "/kv-lease" => {
            let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
            let ttl_ms = body["ttlMs"].as_u64().unwrap_or(1000).clamp(1000, 600_000);
            let mut state = lock(state);
            state.next_lease += 1;
            let lease = state.next_lease;
            let ttl = Duration::from_millis(ttl_ms);
            state.leases.insert(lease, (clock::now() + ttl, ttl));
            out.json(200, &json!({ "lease": lease, "ttlMs": ttl_ms }))
        }
        _ => {
            let number = path.rsplit('/').next().and_then(|n| n.parse().ok());
            let lease: u64 = number.unwrap_or(0);
            let mut state = lock(state);
            if path.starts_with("/kv-lease-end/") {
                state.end_lease(lease);
                changed.notify_all();
                return out.json(200, &json!({}));
            }
            match state.leases.get_mut(&lease) {
                Some((until, ttl)) => {
                    *until = clock::now() + *ttl;
                    let ttl_ms = ttl.as_millis() as u64;
                    out.json(200, &json!({ "ttlMs": ttl_ms }))
                }
                None => out.json(404, &json!({})),
            }
        }
    }
}

fn parameter(request: &Request, name: &str) -> String {
    request.query(name).map(unescape).unwrap_or_default()
}

fn item(key: &str, row: &Row) -> Value {
    json!({
        "key": key,
        "value": BASE64_STANDARD.encode(&row.value),
        "rev": row.revision,
        "created": row.created,
        "lease": row.lease,
    })
}

fn respond_key(state: &State, request: &Request, out: &mut Responder) -> io::Result<()> {
    let key = parameter(request, "key");
    match state.rows.get(&key) {
        Some(row) => out.json(200, &item(&key, row)),
        None => out.json(404, &json!({})),
    }
}

fn respond_range(state: &State, request: &Request, out: &mut Responder) -> io::Result<()> {
    let (prefix, after) = (parameter(request, "prefix"), parameter(request, "after"));
    let rows = state.rows.iter();
    let rows = rows.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
    let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
    for (key, row) in rows {
        bytes += row.value.len();
        if !items.is_empty() && (items.len() == PAGE_ITEMS || bytes > PAGE_BYTES_MAX) {
            more = true;
            break;
        }
        items.push(item(key, row));
    }
    let at = state.revision;
    out.json(200, &json!({ "items": items, "hasMore": more, "at": at }))
}

fn respond_watch(
    shared: &(Mutex<State>, Condvar),
    request: &Request,
    out: &mut Responder,
) -> io::Result<()> {
    let prefix = parameter(request, "prefix");
    let after: u64 = parameter(request, "after").parse().unwrap_or(0);
    let wait_ms: u64 = parameter(request, "maxWaitMs").parse().unwrap_or(0);
    let until = clock::now() + Duration::from_millis(wait_ms.min(30_000));
    let mut state = lock(&shared.0);
    loop {
        match state.outage {
            Some(Outage::Busy) => return out.json(503, &json!({})),
            None => state.expire_leases(),
        }
        let changes = state.history.iter();
        let events: Vec<Value> = changes
            .filter(|(key, revision, _)| *revision > after && key.starts_with(&prefix))
            .map(|(key, revision, row)| match row {
                Some(row) => item(key, row),
                None => json!({ "key": key, "rev": revision, "deleted": true }),
            })
            .collect();
        if !events.is_empty() || clock::now() >= until {
            return out.json(200, &json!({ "events": events, "at": state.revision }));
        }
        let waited = shared.1.wait_timeout(state, LEASE_CHECK_INTERVAL);
        state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
    }
}

fn commit(state: &mut State, record: &Record, request: &Request) -> (u16, Value) {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let (expect, writes, deletes) = (list("expect"), list("writes"), list("deletes"));
    if expect.len() + writes.len() + deletes.len() > TXN_ENTRIES_MAX {
        return (400, json!({ "error": "too many entries" }));
    }
    let mut values = Vec::new();
    for write in &writes {
        let value = BASE64_STANDARD.decode(text(&write["value"]));
        let value = value.unwrap_or_default();
        if value.len() > VALUE_BYTES_MAX {
            state.refused_values += 1;
            let (key, bytes) = (text(&write["key"]), value.len());
            if state.refused_values <= 5 {
                record.line(format!(
                    "store: 400, the value of {key} has {bytes} bytes, allowed are {VALUE_BYTES_MAX}"
                ));
            }
            return (400, json!({ "error": "value too large" }));
        }
        values.push(value);
    }
    let has_expected_revision = |row: &Value| {
        let revision = state
            .rows
            .get(&text(&row["key"]))
            .map_or(0, |row| row.revision);
        revision == row["rev"].as_u64().unwrap_or(0)
    };
    if !expect.iter().all(has_expected_revision) {
        let current = expect.iter().filter_map(|row| {
            let key = text(&row["key"]);
            state.rows.get(&key).map(|row| item(&key, row))
        });
        let items: Vec<Value> = current.collect();
        return (412, json!({ "items": items }));
    }
    let lease_of = |write: &Value| write["lease"].as_u64().unwrap_or(0);
    let is_held = |lease: u64| lease == 0 || state.leases.contains_key(&lease);
    if !writes.iter().map(lease_of).all(is_held) {
        return (404, json!({}));
    }
    state.revision += 1;
    for (write, value) in writes.iter().zip(values) {
        state.write(&text(&write["key"]), value, lease_of(write));
    }
    for key in deletes {
        state.delete(&text(&key));
    }
    (200, json!({ "rev": state.revision }))
}
