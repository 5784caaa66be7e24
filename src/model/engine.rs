//! One simulated engine with continuous batching: it admits requests in order of arrival, and every
//! running request advances by one token per step.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::Serialize;

/// Identifies one attempt of one request.
pub type RunId = u64;

/// Capacity and timing of an engine, as its operators publish them.
#[derive(Debug, Clone, Serialize)]
pub struct Spec {
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
pub struct Part {
    pub id: u64,
    pub tokens: u32,
}

/// A request to an engine.
#[derive(Debug, Clone)]
pub struct Work {
    pub run: RunId,
    pub prompt: Vec<Part>,
    /// Tokens that an earlier run of the request has generated already; they are read like the
    /// prompt.
    pub made_before: u32,
    /// Tokens still to be generated.
    pub tokens_out: u32,
}

/// An observable event of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Seen {
    First,
    /// Number of tokens of this run that were sent so far.
    Made(u32),
    Ended,
}

/// An event of a run, with its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sent {
    pub at: Duration,
    pub run: RunId,
    pub seen: Seen,
}

#[derive(Debug, Clone)]
struct Running {
    work: Work,
    /// Prompt tokens still to be read.
    unread: u32,
    made: u32,
}

impl Running {
    /// Tokens in memory.
    fn held(&self) -> u32 {
        self.read_tokens() - self.unread + self.made
    }

    fn read_tokens(&self) -> u32 {
        let prompt: u32 = self.work.prompt.iter().map(|part| part.tokens).sum();
        prompt + self.work.made_before
    }
}

/// The simulated engine.
#[derive(Debug, Clone)]
pub struct Engine {
    spec: Spec,
    /// End of the current step.
    clock: Duration,
    waiting: VecDeque<Work>,
    running: Vec<Running>,
    /// Cached prompt parts, by the hash of all parts up to and including them: token count and time
    /// of last use.
    kept: HashMap<u64, (u32, Duration)>,
    /// Slots in use, integrated over time; gives the share of time in which slots were used.
    pub busy_slots: Duration,
    pub preempted: u64,
}

impl Engine {
    /// An idle engine.
    pub fn new(spec: Spec) -> Engine {
        Engine {
            spec,
            clock: Duration::ZERO,
            waiting: VecDeque::new(),
            running: Vec::new(),
            kept: HashMap::new(),
            busy_slots: Duration::ZERO,
            preempted: 0,
        }
    }

    /// Queues work at `now`, to which the engine must have been advanced. Returns false when the
    /// queue is full.
    pub fn offer(&mut self, now: Duration, work: Work) -> bool {
        let full = self.running.len() >= self.spec.slots;
        if full && self.waiting.len() >= self.spec.queue {
            return false;
        }
        self.clock = self.clock.max(now);
        self.waiting.push_back(work);
        true
    }

    /// Drops a run because its caller has closed the connection.
    pub fn cancel(&mut self, run: RunId) {
        self.waiting.retain(|work| work.run != run);
        self.running.retain(|running| running.work.run != run);
    }

    /// Numbers of running and of waiting requests.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Simulates all steps that begin until `until`.
    pub fn advance(&mut self, until: Duration, out: &mut Vec<Sent>) {
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
            let Some(work) = self.waiting.front() else {
                return;
            };
            let prompt: u32 = work.prompt.iter().map(|part| part.tokens).sum();
            let needed = prompt + work.made_before;
            let held: u32 = self.running.iter().map(Running::held).sum();
            if held + needed > self.spec.memory_tokens {
                return;
            }
            let Some(work) = self.waiting.pop_front() else {
                return;
            };
            let unread = needed - self.known(&work.prompt);
            self.running.push(Running {
                work,
                unread,
                made: 0,
            });
        }
    }

    /// Number of tokens at the beginning of the prompt that are cached.
    fn known(&mut self, prompt: &[Part]) -> u32 {
        let mut known = 0;
        let mut chain = 0;
        for part in prompt {
            chain = chained(chain, part);
            let Some((tokens, used_at)) = self.kept.get_mut(&chain) else {
                break;
            };
            *used_at = self.clock;
            known += *tokens;
        }
        known
    }

    fn keep(&mut self, prompt: &[Part]) {
        let mut chain = 0;
        for part in prompt {
            chain = chained(chain, part);
            self.kept.insert(chain, (part.tokens, self.clock));
        }
        self.evict();
    }

    /// Evicts cached parts, least recently used first, until running requests fit into memory.
    fn evict(&mut self) {
        let held: u32 = self.running.iter().map(Running::held).sum();
        let mut kept: u32 = self.kept.values().map(|(tokens, _)| tokens).sum();
        while held + kept > self.spec.memory_tokens {
            let oldest = self.kept.iter().min_by_key(|(_, (_, used_at))| *used_at);
            let Some((chain, tokens)) = oldest.map(|(chain, (tokens, _))| (*chain, *tokens)) else {
                return;
            };
            self.kept.remove(&chain);
            kept -= tokens;
        }
    }

    /// Runs one step: reads a chunk of prompts, and generates a token for each request whose prompt
    /// is read.
    fn step(&mut self, out: &mut Vec<Sent>) {
        let mut chunk = self.spec.chunk_tokens;
        let mut read = 0;
        let mut making = Vec::with_capacity(self.running.len());
        for running in &mut self.running {
            making.push(running.unread == 0);
            let now_read = running.unread.min(chunk);
            running.unread -= now_read;
            chunk -= now_read;
            read += now_read;
        }
        let held: u32 = self.running.iter().map(Running::held).sum();
        let length_ms = self.spec.step_ms
            + self.spec.step_ms_per_run * self.running.len() as f64
            + self.spec.context_ms_per_k * f64::from(held) / 1000.0
            + f64::from(read) / self.spec.prefill_tokens_per_ms;
        let length = Duration::from_secs_f64(length_ms / 1000.0);
        self.clock += length;
        self.busy_slots += length * self.running.len() as u32;
        let mut ended = Vec::new();
        for (running, makes) in self.running.iter_mut().zip(making) {
            // The step that reads the last of a prompt generates its first token.
            if makes || running.unread == 0 {
                running.made += 1;
                tell(running, &self.spec, self.clock, out);
            }
            if running.made >= running.work.tokens_out {
                ended.push(running.work.clone());
            }
        }
        let done = |run: &Running| run.made >= run.work.tokens_out;
        self.running.retain(|running| !done(running));
        for work in ended {
            self.keep(&work.prompt);
        }
        self.preempt();
    }

    /// Preempts the newest requests while memory is exceeded; their prompts are read again from the
    /// start.
    fn preempt(&mut self) {
        self.evict();
        loop {
            let held: u32 = self.running.iter().map(Running::held).sum();
            if held <= self.spec.memory_tokens || self.running.len() < 2 {
                return;
            }
            let Some(newest) = self.running.pop() else {
                return;
            };
            self.preempted += 1;
            let mut work = newest.work;
            work.made_before += newest.made;
            work.tokens_out -= newest.made;
            self.waiting.push_front(work);
        }
    }
}

fn tell(running: &Running, spec: &Spec, at: Duration, out: &mut Vec<Sent>) {
    let run = running.work.run;
    let made = running.made;
    if made == 1 {
        let seen = Seen::First;
        out.push(Sent { at, run, seen });
    }
    if made.is_multiple_of(spec.stride_tokens) {
        let seen = Seen::Made(made);
        out.push(Sent { at, run, seen });
    }
    if made >= running.work.tokens_out {
        let seen = Seen::Ended;
        out.push(Sent { at, run, seen });
    }
}

fn chained(chain: u64, part: &Part) -> u64 {
    crate::id::weight(chain, part.id)
}
