//! Stand-in for a model engine with continuous batching, a prefix cache, and streams that can be
//! resumed and cancelled.
//!
//! The duration of a step grows with the number of running requests. Waiting requests are admitted
//! between steps, as soon as a slot is free.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use super::number;
use crate::clock;
use crate::engine::ATTEMPT_HEADER;
use crate::http::server::{Head, Responder};
use crate::http::Request;
use crate::id;
use crate::pages::Page;
use crate::util::lock;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// A sequence is cancelled when no client has read it for this long.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a finished sequence can still be read.
const FINISHED_KEPT_FOR: Duration = Duration::from_secs(10);
const DEFAULT_TOKENS: u64 = 16;
/// Prompts that agree in this many characters share a prefix in the cache.
const PREFIX_CHARS: usize = 256;

/// Simulated properties and faults of the engine; all can be changed while it runs (`/control`).
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Largest number of requests that run at the same time.
    pub slots: usize,
    pub step_us: u64,
    pub step_us_per_request: u64,
    pub prefill_us_per_token: u64,
    /// Number of prefixes in the cache; a prompt with a cached prefix costs no prefill time.
    pub cached_prefixes: usize,
    /// Age of the load that `/load` reports.
    pub report_lag_ms: u64,
    pub fencing_checked: bool,
    pub leaving: bool,
    /// Accepts requests and never answers them.
    pub frozen: bool,
    /// Factor on the duration of each step.
    pub slow_factor: f64,
    /// Number of streams whose connection breaks after the next token; counts down.
    pub break_streams: u64,
    /// Requests to resume a stream are answered 404.
    pub no_resume: bool,
    /// Number of answers that carry another request's id and text; counts down.
    pub swap_answers: u64,
    /// Number of non-streamed answers whose second half is blanked out; counts down.
    pub cut_answers: u64,
    /// Number of requests that are answered with status 500; counts down.
    pub fail_requests: u64,
    /// A prompt that contains this text ends the process.
    pub poison: String,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            slots: 16,
            step_us: 4_000,
            step_us_per_request: 250,
            prefill_us_per_token: 20,
            cached_prefixes: 32,
            report_lag_ms: 300,
            fencing_checked: true,
            leaving: false,
            frozen: false,
            slow_factor: 1.0,
            break_streams: 0,
            no_resume: false,
            swap_answers: 0,
            cut_answers: 0,
            fail_requests: 0,
            poison: String::new(),
        }
    }
}

/// Counters since the engine started.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Counts {
    pub requests: u64,
    pub finished: u64,
    pub cancelled: u64,
    pub tokens: u64,
    pub prefix_hits: u64,
    pub prefix_misses: u64,
    pub orders: u64,
    pub orders_refused: u64,
}

/// One request and the progress of its answer.
#[derive(Debug)]
struct Sequence {
    tokens: Vec<String>,
    prompt_tokens: u64,
    prefix: u64,
    /// Number of `tokens` generated so far.
    emitted: usize,
    cancelled: bool,
    finished_at: Option<Duration>,
    /// When a client last asked for tokens.
    read_at: Duration,
}

#[derive(Default)]
struct State {
    behaviour: Behaviour,
    sequences: HashMap<String, Sequence>,
    waiting: VecDeque<String>,
    running: Vec<String>,
    cache: VecDeque<u64>,
    counts: Counts,
    /// Time, running and waiting requests; the first is what `/load` reports.
    reports: VecDeque<(Duration, usize, usize)>,
    models: Vec<String>,
    /// Fence of the last accepted order; lower ones are refused.
    fence: u64,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    incarnation: u64,
}

/// Starts the stand-in on an open listener and returns its address.
pub fn serve(listener: TcpListener, behaviour: Behaviour) -> io::Result<SocketAddr> {
    let state = State {
        behaviour,
        ..State::default()
    };
    let shared = Arc::new(Shared {
        state: Mutex::new(state),
        changed: Condvar::new(),
        incarnation: clock::unix_ms(),
    });
    let step_shared = shared.clone();
    thread::Builder::new()
        .name("steps".into())
        .spawn(move || step_loop(&step_shared))?;
    super::serve(listener, move |request, out| handle(&shared, request, out))
}

fn step_loop(shared: &Shared) {
    loop {
        let mut state = lock(&shared.state);
        let now = clock::now();
        state.remove_finished(now);
        if state.behaviour.frozen || (state.running.is_empty() && state.waiting.is_empty()) {
            state.record_load(now);
            let _ = shared
                .changed
                .wait_timeout(state, Duration::from_millis(20));
            continue;
        }
        let prefill_us = state.admit();
        let behaviour = &state.behaviour;
        let step_us = behaviour.step_us
            + behaviour.step_us_per_request * state.running.len() as u64
            + prefill_us;
        let step = Duration::from_micros(step_us).mul_f64(behaviour.slow_factor);
        state.record_load(now);
        drop(state);
        clock::sleep(step);
        lock(&shared.state).emit_tokens(clock::now());
        shared.changed.notify_all();
    }
}

impl State {
    /// Admits waiting requests to free slots; returns the prefill time of their prompts in
    /// microseconds.
    fn admit(&mut self) -> u64 {
        let mut cost_us = 0;
        while self.running.len() < self.behaviour.slots {
            let Some(id) = self.waiting.pop_front() else {
                break;
            };
            let Some(sequence) = self.sequences.get(&id) else {
                continue;
            };
            if sequence.cancelled {
                continue;
            }
            let (prefix, tokens) = (sequence.prefix, sequence.prompt_tokens);
            if self.cache.contains(&prefix) {
                self.counts.prefix_hits += 1;
                self.cache.retain(|cached| *cached != prefix);
            } else {
                self.counts.prefix_misses += 1;
                cost_us += tokens * self.behaviour.prefill_us_per_token;
            }
            self.cache.push_back(prefix);
            while self.cache.len() > self.behaviour.cached_prefixes {
                self.cache.pop_front();
            }
            self.running.push(id);
        }
        cost_us
    }

    /// Ends a step: each running sequence gets one token, finishes or is dropped if cancelled.
    fn emit_tokens(&mut self, now: Duration) {
        let running = std::mem::take(&mut self.running);
        for id in running {
            let Some(sequence) = self.sequences.get_mut(&id) else {
                continue;
            };
            if now >= sequence.read_at + UNREAD_TIMEOUT {
                sequence.cancelled = true;
            }
            if sequence.cancelled {
                sequence.finished_at = Some(now);
                self.counts.cancelled += 1;
                continue;
            }
            sequence.emitted += 1;
            self.counts.tokens += 1;
            if sequence.emitted < sequence.tokens.len() {
                self.running.push(id);
            } else {
                sequence.finished_at = Some(now);
                self.counts.finished += 1;
            }
        }
    }

    fn record_load(&mut self, now: Duration) {
        let load = (now, self.running.len(), self.waiting.len());
        self.reports.push_back(load);
        let lag = Duration::from_millis(self.behaviour.report_lag_ms);
        while self.reports.get(1).is_some_and(|(at, ..)| *at + lag <= now) {
            self.reports.pop_front();
        }
    }

    fn remove_finished(&mut self, now: Duration) {
        self.sequences
            .retain(|_, s| s.finished_at.is_none_or(|at| now < at + FINISHED_KEPT_FOR));
    }
}

fn handle(shared: &Shared, request: &Request, out: &mut Responder) -> io::Result<()> {
    let path = request.path();
    let page = match path {
        "/control" => control(shared, &request.body),
        "/stats" => Page::json(200, &lock(&shared.state).counts),
        "/load" => load(shared),
        "/orders" => orders(shared, &request.body),
        "/v1/chat/completions" | "/v1/completions" => return generate(shared, request, out),
        _ if path.starts_with("/attempts/") => match path.rsplit('/').next() {
            Some("cancel") => cancel(shared, path),
            _ => return resume(shared, request, out),
        },
        _ => Page::text(404, "no such page"),
    };
    page.reply(out)
}

fn control(shared: &Shared, body: &[u8]) -> Page {
    let mut state = lock(&shared.state);
    let mut merged = serde_json::to_value(&state.behaviour).unwrap_or_default();
    let change: Value = serde_json::from_slice(body).unwrap_or_default();
    for (field, value) in change.as_object().into_iter().flatten() {
        merged[field] = value.clone();
    }
    match serde_json::from_value(merged) {
        Ok(behaviour) => state.behaviour = behaviour,
        Err(error) => return Page::text(400, error.to_string()),
    }
    shared.changed.notify_all();
    Page::text(200, "done")
}

fn load(shared: &Shared) -> Page {
    let state = lock(&shared.state);
    let (_, running, waiting) = state.reports.front().copied().unwrap_or_default();
    Page::json(
        200,
        &json!({
            "incarnation": shared.incarnation,
            "running": running,
            "waiting": waiting,
            "leaving": state.behaviour.leaving,
            "models": state.models,
        }),
    )
}

#[derive(Deserialize)]
struct Order {
    fence: u64,
    models: Vec<String>,
}

fn orders(shared: &Shared, body: &[u8]) -> Page {
    let Ok(order) = serde_json::from_slice::<Order>(body) else {
        return Page::text(400, "not an order");
    };
    let mut state = lock(&shared.state);
    if state.behaviour.fencing_checked && order.fence < state.fence {
        state.counts.orders_refused += 1;
        return Page::json(409, &json!({ "fence": state.fence }));
    }
    state.counts.orders += 1;
    state.fence = order.fence;
    state.models = order.models;
    Page::json(200, &json!({ "fence": state.fence }))
}

/// The engine's answer to a prompt. It is derived from the prompt, so that a test can check that an
/// answer belongs to its request.
pub fn answer_to(prompt: &str, tokens: u64) -> String {
    answer_tokens(prompt, tokens).concat()
}

fn answer_tokens(prompt: &str, tokens: u64) -> Vec<String> {
    let hash = id::of(prompt);
    (0..tokens.max(1))
        .map(|at| format!("{:x}.{at} ", hash % 0x10000))
        .collect()
}

fn prompt_of(body: &Value) -> String {
    match body.get("messages") {
        Some(messages) => messages.to_string(),
        None => body.get("prompt").map(Value::to_string).unwrap_or_default(),
    }
}

fn generate(shared: &Shared, request: &Request, out: &mut Responder) -> io::Result<()> {
    let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
        return Page::json(400, &json!({ "error": { "message": "not JSON" } })).reply(out);
    };
    let prompt = prompt_of(&body);
    let tokens = body
        .get("max_tokens")
        .and_then(Value::as_u64)
        .unwrap_or(DEFAULT_TOKENS);
    let attempt = request
        .header(ATTEMPT_HEADER)
        .unwrap_or_default()
        .to_owned();
    let mut state = lock(&shared.state);
    if !state.behaviour.poison.is_empty() && prompt.contains(&state.behaviour.poison) {
        std::process::exit(3);
    }
    if state.behaviour.leaving {
        drop(state);
        return Page::text(503, "leaving").reply(out);
    }
    state.counts.requests += 1;
    if state.behaviour.fail_requests > 0 {
        state.behaviour.fail_requests -= 1;
        drop(state);
        return Page::text(500, "failed").reply(out);
    }
    let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
    let sequence = Sequence {
        tokens: answer_tokens(&prompt, tokens),
        prompt_tokens: prompt.len() as u64 / 4 + 1,
        prefix: id::of(&prefix),
        emitted: 0,
        cancelled: false,
        finished_at: None,
        read_at: clock::now(),
    };
    state.sequences.insert(attempt.clone(), sequence);
    state.waiting.push_back(attempt.clone());
    drop(state);
    shared.changed.notify_all();
    match body.get("stream").and_then(Value::as_bool) {
        Some(true) => send_stream(shared, out, &attempt, 0),
        _ => send_whole(shared, out, &attempt),
    }
}

fn cancel(shared: &Shared, path: &str) -> Page {
    let id = path.split('/').nth(2).unwrap_or_default();
    let mut state = lock(&shared.state);
    let found = state
        .sequences
        .get_mut(id)
        .map(|sequence| sequence.cancelled = true);
    shared.changed.notify_all();
    match found {
        Some(()) => Page::text(200, "cancelled"),
        None => Page::text(404, "no such attempt"),
    }
}

fn resume(shared: &Shared, request: &Request, out: &mut Responder) -> io::Result<()> {
    let id = request.path().split('/').nth(2).unwrap_or_default();
    let state = lock(&shared.state);
    let resumable = state.sequences.contains_key(id) && !state.behaviour.no_resume;
    drop(state);
    match resumable {
        true => send_stream(shared, out, id, number(request, "offset") as usize),
        false => Page::text(404, "no such attempt").reply(out),
    }
}

/// What a client has not read yet of a sequence.
enum Progress {
    /// New tokens, and whether they are the last.
    Tokens(Vec<String>, bool),
    Cancelled,
}

/// Waits until the sequence has tokens past `offset`, has finished or is cancelled.
fn wait_for_tokens(shared: &Shared, id: &str, offset: usize) -> Progress {
    let mut state = lock(&shared.state);
    loop {
        let Some(sequence) = state.sequences.get_mut(id) else {
            return Progress::Cancelled;
        };
        sequence.read_at = clock::now();
        if sequence.emitted > offset || sequence.emitted == sequence.tokens.len() {
            let new_tokens =
                sequence.tokens[offset.min(sequence.emitted)..sequence.emitted].to_vec();
            return Progress::Tokens(new_tokens, sequence.emitted == sequence.tokens.len());
        }
        if sequence.cancelled {
            return Progress::Cancelled;
        }
        state = wait_for_change(shared, state);
    }
}

fn wait_for_change<'a>(shared: &'a Shared, state: MutexGuard<'a, State>) -> MutexGuard<'a, State> {
    match shared
        .changed
        .wait_timeout(state, Duration::from_millis(100))
    {
        Ok((state, _)) => state,
        Err(poisoned) => poisoned.into_inner().0,
    }
}

/// Takes one from a counter of faults; false when it is zero.
fn take_one(shared: &Shared, counter: impl Fn(&mut Behaviour) -> &mut u64) -> bool {
    let mut state = lock(&shared.state);
    let count = counter(&mut state.behaviour);
    let taken = *count > 0;
    *count = count.saturating_sub(1);
    taken
}

fn send_stream(shared: &Shared, out: &mut Responder, id: &str, offset: usize) -> io::Result<()> {
    let mut at = offset;
    let mut swapped = false;
    loop {
        let (new_tokens, finished) = match wait_for_tokens(shared, id, at) {
            Progress::Tokens(new_tokens, finished) => (new_tokens, finished),
            Progress::Cancelled => (Vec::new(), false),
        };
        if !out.started() {
            swapped = take_one(shared, |b| &mut b.swap_answers);
            let echoed = if swapped { "another" } else { id };
            out.start(&Head::new(200, "text/event-stream").with(ATTEMPT_HEADER, echoed))?;
        }
        if new_tokens.is_empty() && !finished {
            out.chunk(b"data: {\"error\":{\"code\":\"cancelled\"}}\n\n")?;
            return out.end();
        }
        for token in new_tokens {
            let token = if swapped {
                "another's ".to_owned()
            } else {
                token
            };
            let chunk = json!({
                "id": id,
                "object": "chat.completion.chunk",
                "choices": [{ "index": 0, "delta": { "content": token }, "finish_reason": null }],
            });
            at += 1;
            out.chunk(format!("id: {at}\ndata: {chunk}\n\n").as_bytes())?;
            if take_one(shared, |b| &mut b.break_streams) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        if finished {
            out.chunk(b"data: [DONE]\n\n")?;
            return out.end();
        }
    }
}

fn send_whole(shared: &Shared, out: &mut Responder, id: &str) -> io::Result<()> {
    let mut text = String::new();
    let mut at = 0;
    loop {
        match wait_for_tokens(shared, id, at) {
            Progress::Cancelled => {
                return Page::json(409, &json!({ "error": { "code": "cancelled" } })).reply(out);
            }
            Progress::Tokens(new_tokens, finished) => {
                at += new_tokens.len();
                text.push_str(&new_tokens.concat());
                if finished {
                    break;
                }
            }
        }
    }
    let swapped = take_one(shared, |b| &mut b.swap_answers);
    let (echoed, text) = match swapped {
        true => ("another", "another's text".to_owned()),
        false => (id, text),
    };
    let body = json!({
        "id": id,
        "object": "chat.completion",
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": "stop",
        }],
        "usage": { "completion_tokens": at },
    });
    let mut body = body.to_string().into_bytes();
    if take_one(shared, |b| &mut b.cut_answers) {
        // The body keeps its announced length but is no longer valid JSON.
        let half = body.len() / 2;
        body[half..].fill(b' ');
    }
    out.full(
        &Head::new(200, "application/json").with(ATTEMPT_HEADER, echoed),
        &body,
    )
}
