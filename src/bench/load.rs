//! Open-loop load generator: sends online requests at fixed times, however long the answers take,
//! and records the answers.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::json;

use crate::clock;
use crate::engine::ATTEMPT_HEADER;
use crate::util::lock;

const TIMEOUT: Duration = Duration::from_secs(30);
const STACK_BYTES: usize = 256 * 1024;
/// Longest time that the histogram can record, in microseconds; longer ones are recorded as this.
const TIME_MAX_US: u64 = 60_000_000;

/// A request with the time at which to send it.
#[derive(Debug, Clone)]
pub struct ScheduledRequest {
    /// Time since the start of the run.
    pub at: Duration,
    pub target: SocketAddr,
    pub key: String,
    pub body: String,
    pub stream: bool,
    pub attempt: String,
}

/// The outcome of one request.
#[derive(Debug, Clone)]
pub struct Sample {
    pub at: Duration,
    /// Delay between the scheduled and the actual time of sending.
    pub send_delay: Duration,
    pub first_token: Duration,
    pub total: Duration,
    /// HTTP status; 0 when there was no answer.
    pub status: u16,
    /// Whether the end marker of a stream came, or the body was read to its end.
    pub complete: bool,
    pub key: String,
}

/// Histogram of times, in microseconds.
pub struct Times(Histogram<u64>);

impl Times {
    /// Records all times.
    pub fn of(times: impl Iterator<Item = Duration>) -> Times {
        let mut histogram = Histogram::new_with_bounds(1, TIME_MAX_US, 3).expect("valid bounds");
        for time in times {
            histogram.saturating_record((time.as_micros() as u64).max(1));
        }
        Times(histogram)
    }

    /// The value at a quantile, in milliseconds.
    pub fn ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Number of recorded times.
    pub fn count(&self) -> u64 {
        self.0.len()
    }
}

/// The body of a chat request.
pub fn chat(prompt: &str, tokens: u64, stream: bool) -> String {
    json!({
        "model": "permit-7b",
        "max_tokens": tokens,
        "stream": stream,
        "messages": [{ "role": "user", "content": prompt }],
    })
    .to_string()
}

/// Sends all requests in the order of their times, from `threads` threads.
pub fn run(mut requests: Vec<ScheduledRequest>, threads: usize) -> Vec<Sample> {
    requests.sort_by_key(|scheduled| scheduled.at);
    let requests = Arc::new(requests);
    let next = Arc::new(AtomicUsize::new(0));
    let samples = Arc::new(Mutex::new(Vec::new()));
    let start = clock::now();
    let workers: Vec<_> = (0..threads)
        .filter_map(|_| {
            let (requests, next, samples) = (requests.clone(), next.clone(), samples.clone());
            let work = move || {
                let agent = ureq::AgentBuilder::new().redirects(0).build();
                while let Some(scheduled) = requests.get(next.fetch_add(1, Ordering::SeqCst)) {
                    clock::sleep((start + scheduled.at).saturating_sub(clock::now()));
                    let sample = send(&agent, scheduled, start);
                    lock(&samples).push(sample);
                }
            };
            thread::Builder::new()
                .stack_size(STACK_BYTES)
                .spawn(work)
                .ok()
        })
        .collect();
    for worker in workers {
        let _ = worker.join();
    }
    let mut samples = std::mem::take(&mut *lock(&samples));
    samples.sort_by_key(|sample| sample.at);
    samples
}

fn send(agent: &ureq::Agent, scheduled: &ScheduledRequest, start: Duration) -> Sample {
    let sent = clock::now();
    let mut sample = Sample {
        at: scheduled.at,
        send_delay: sent.saturating_sub(start + scheduled.at),
        first_token: Duration::ZERO,
        total: Duration::ZERO,
        status: 0,
        complete: false,
        key: scheduled.key.clone(),
    };
    let url = format!("http://{}/v1/chat/completions", scheduled.target);
    let request = agent
        .post(&url)
        .timeout(TIMEOUT)
        .set("Authorization", &format!("Bearer {}", scheduled.key))
        .set(ATTEMPT_HEADER, &scheduled.attempt);
    match request.send_string(&scheduled.body) {
        Ok(response) | Err(ureq::Error::Status(_, response)) => {
            sample.status = response.status();
            read(response, scheduled.stream, sent, &mut sample);
        }
        Err(ureq::Error::Transport(_)) => {}
    }
    sample.total = clock::now().saturating_sub(sent);
    sample
}

fn read(response: ureq::Response, stream: bool, sent: Duration, sample: &mut Sample) {
    let mut reader = response.into_reader();
    if !stream || sample.status != 200 {
        let mut body = Vec::new();
        sample.complete = reader.read_to_end(&mut body).is_ok();
        sample.first_token = clock::now().saturating_sub(sent);
        return;
    }
    let mut lines = BufReader::new(reader);
    let mut line = String::new();
    let mut first = true;
    while matches!(lines.read_line(&mut line), Ok(count) if count > 0) {
        if first && line.starts_with("data: ") {
            sample.first_token = clock::now().saturating_sub(sent);
            first = false;
        }
        sample.complete |= line.starts_with("data: [DONE]");
        line.clear();
    }
}
