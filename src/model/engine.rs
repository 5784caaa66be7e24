//! One simulated engine with continuous batching: it admits requests in order of arrival, and every
//! running request advances by one token per step.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::Serialize;

/// Identifies one attempt of one request.
pub type RunId = u64;

/// Capacity and timing of an engine, as its operators publish them.
#[derive(Debug, Clone, Serialize)]
pub struct EngineSpec {
    /// Requests that run concurrently.
    pub slots: usize,
    /// Requests that may wait; further ones are refused.
    pub queue: usize,
    /// Base duration of a step, in milliseconds.
    pub step_ms: f64,
    /// Time that each running request adds to a step.
    pub step_ms_per_run: f64,
    /// Time that a thousand tokens in memory add to a step.
    pub context_ms_per_k: f64,
    pub prefill_tokens_per_ms: f64,
    /// Maximum number of prompt tokens read in one step, between the tokens of other requests.
    pub chunk_tokens: u32,
    /// Tokens per event of the answer.
    pub stride_tokens: u32,
    /// Tokens that fit into memory, of running requests and cached prompt parts together.
    pub memory_tokens: u32,
}

/// A part of a prompt; other prompts may begin with the same part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PromptPart {
    pub id: u64,
    pub tokens: u32,
}

/// A request to an engine.
#[derive(Debug, Clone)]
pub struct EngineRequest {
    pub run: RunId,
    pub prompt: Vec<PromptPart>,
    /// Tokens that an earlier run of the request has generated already; they are read like the
    /// prompt.
    pub generated_before: u32,
    /// Tokens still to be generated.
    pub output_tokens: u32,
}

/// An observable event of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RunEvent {
    FirstToken,
    /// Number of tokens of this run that were sent so far.
    Generated(u32),
    Ended,
}

/// An event of a run, with its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimedEvent {
    pub at: Duration,
    pub run: RunId,
    pub event: RunEvent,
}

#[derive(Debug, Clone)]
struct Running {
    request: EngineRequest,
    /// Prompt tokens still to be read.
    unread_tokens: u32,
    generated: u32,
}

impl Running {
    /// Tokens in memory.
    fn held_tokens(&self) -> u32 {
        self.input_tokens() - self.unread_tokens + self.generated
    }

    fn input_tokens(&self) -> u32 {
        let prompt: u32 = self.request.prompt.iter().map(|part| part.tokens).sum();
        prompt + self.request.generated_before
    }
}

/// The simulated engine.
#[derive(Debug, Clone)]
pub struct Engine {
    spec: EngineSpec,
    /// End of the current step.
    clock: Duration,
    waiting: VecDeque<EngineRequest>,
    running: Vec<Running>,
    /// Cached prompt parts, by the hash of all parts up to and including them: token count and time
    /// of last use.
    cached_parts: HashMap<u64, (u32, Duration)>,
    /// Slots in use, integrated over time; gives the share of time in which slots were used.
    pub busy_slots: Duration,
    pub preempted: u64,
}

impl Engine {
    /// An idle engine.
    pub fn new(spec: EngineSpec) -> Engine {
        Engine {
            spec,
            clock: Duration::ZERO,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cached_parts: HashMap::new(),
            busy_slots: Duration::ZERO,
            preempted: 0,
        }
    }

    /// Queues a request at `now`, to which the engine must have been advanced. Returns false when the
    /// queue is full.
    pub fn offer(&mut self, now: Duration, request: EngineRequest) -> bool {
        let full = self.running.len() >= self.spec.slots;
        if full && self.waiting.len() >= self.spec.queue {
            return false;
        }
        self.clock = self.clock.max(now);
        self.waiting.push_back(request);
        true
    }

    /// Drops a run because its caller has closed the connection.
    pub fn cancel(&mut self, run: RunId) {
        self.waiting.retain(|request| request.run != run);
        self.running.retain(|running| running.request.run != run);
    }

    /// Numbers of running and of waiting requests.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Simulates all steps that begin until `until`.
    pub fn advance(&mut self, until: Duration, out: &mut Vec<TimedEvent>) {
        while self.clock <= until {
            self.admit();
            if self.running.is_empty() {
                self.clock = until;
                return;
            }
            self.step(out);
        }
    }

    /// Admits waiting requests in order of arrival while there are slots and memory.
    fn admit(&mut self) {
        while self.running.len() < self.spec.slots {
            let Some(request) = self.waiting.front() else {
                return;
            };
            let prompt: u32 = request.prompt.iter().map(|part| part.tokens).sum();
            let needed = prompt + request.generated_before;
            let held: u32 = self.running.iter().map(Running::held_tokens).sum();
            if held + needed > self.spec.memory_tokens {
                return;
            }
            let Some(request) = self.waiting.pop_front() else {
                return;
            };
            let unread = needed - self.cached_tokens(&request.prompt);
            self.running.push(Running {
                request,
                unread_tokens: unread,
                generated: 0,
            });
        }
    }

    /// Number of tokens at the beginning of the prompt that are cached.
    fn cached_tokens(&mut self, prompt: &[PromptPart]) -> u32 {
        let mut cached = 0;
        let mut chain = 0;
        for part in prompt {
            chain = chain_hash(chain, part);
            let Some((tokens, used_at)) = self.cached_parts.get_mut(&chain) else {
                break;
            };
            *used_at = self.clock;
            cached += *tokens;
        }
        cached
    }

    fn cache_prompt(&mut self, prompt: &[PromptPart]) {
        let mut chain = 0;
        for part in prompt {
            chain = chain_hash(chain, part);
            self.cached_parts.insert(chain, (part.tokens, self.clock));
        }
        self.evict();
    }

    /// Evicts cached parts, least recently used first, until running requests fit into memory.
    fn evict(&mut self) {
        let held: u32 = self.running.iter().map(Running::held_tokens).sum();
        let mut cached: u32 = self.cached_parts.values().map(|(tokens, _)| tokens).sum();
        while held + cached > self.spec.memory_tokens {
            let oldest = self
                .cached_parts
                .iter()
                .min_by_key(|(_, (_, used_at))| *used_at);
            let Some((chain, tokens)) = oldest.map(|(chain, (tokens, _))| (*chain, *tokens)) else {
                return;
            };
            self.cached_parts.remove(&chain);
            cached -= tokens;
        }
    }

    /// Runs one step: reads a chunk of prompts, and generates a token for each request whose prompt
    /// is read.
    fn step(&mut self, out: &mut Vec<TimedEvent>) {
        let mut chunk = self.spec.chunk_tokens;
        let mut read = 0;
        let mut generating = Vec::with_capacity(self.running.len());
        for running in &mut self.running {
            generating.push(running.unread_tokens == 0);
            let now_read = running.unread_tokens.min(chunk);
            running.unread_tokens -= now_read;
            chunk -= now_read;
            read += now_read;
        }
        let held: u32 = self.running.iter().map(Running::held_tokens).sum();
        let length_ms = self.spec.step_ms
            + self.spec.step_ms_per_run * self.running.len() as f64
            + self.spec.context_ms_per_k * f64::from(held) / 1000.0
            + f64::from(read) / self.spec.prefill_tokens_per_ms;
        let length = Duration::from_secs_f64(length_ms / 1000.0);
        self.clock += length;
        self.busy_slots += length * self.running.len() as u32;
        let mut ended = Vec::new();
        for (running, generates) in self.running.iter_mut().zip(generating) {
            // The step that reads the last of a prompt generates its first token.
            if generates || running.unread_tokens == 0 {
                running.generated += 1;
                push_events(running, &self.spec, self.clock, out);
            }
            if running.generated >= running.request.output_tokens {
                ended.push(running.request.clone());
            }
        }
        let done = |run: &Running| run.generated >= run.request.output_tokens;
        self.running.retain(|running| !done(running));
        for request in ended {
            self.cache_prompt(&request.prompt);
        }
        self.preempt();
    }

    /// Preempts the newest requests while memory is exceeded; their prompts are read again from the
    /// start.
    fn preempt(&mut self) {
        self.evict();
        loop {
            let held: u32 = self.running.iter().map(Running::held_tokens).sum();
            if held <= self.spec.memory_tokens || self.running.len() < 2 {
                return;
            }
            let Some(newest) = self.running.pop() else {
                return;
            };
            self.preempted += 1;
            let mut request = newest.request;
            request.generated_before += newest.generated;
            request.output_tokens -= newest.generated;
            self.waiting.push_front(request);
        }
    }
}

fn push_events(running: &Running, spec: &EngineSpec, at: Duration, out: &mut Vec<TimedEvent>) {
    let run = running.request.run;
    let generated = running.generated;
    if generated == 1 {
        let event = RunEvent::FirstToken;
        out.push(TimedEvent { at, run, event });
    }
    if generated.is_multiple_of(spec.stride_tokens) {
        let event = RunEvent::Generated(generated);
        out.push(TimedEvent { at, run, event });
    }
    if generated >= running.request.output_tokens {
        let event = RunEvent::Ended;
        out.push(TimedEvent { at, run, event });
    }
}

fn chain_hash(chain: u64, part: &PromptPart) -> u64 {
    crate::id::weight(chain, part.id)
}
