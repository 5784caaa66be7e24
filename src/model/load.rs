//! The generated load: bursts of online requests, and jobs with items, drawn from a seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use super::engine::PromptPart;

/// Rates and sizes of a deployment's load.
#[derive(Debug, Clone, Serialize)]
pub struct Load {
    pub length: Duration,
    /// Mean number of online requests per second over the whole length.
    pub online_per_s: f64,
    /// Factors of the mean rate, each with its duration; the sequence repeats.
    pub steps: Vec<(Duration, f64)>,
    pub online_tokens: f64,
    pub prompt_tokens: u32,
    /// Number of different shared parts that prompts begin with.
    pub subjects: u64,
    pub shared_tokens: u32,
    pub jobs_per_s: f64,
    pub items: f64,
    pub item_tokens: f64,
    /// Time from a job's arrival to its deadline.
    pub due: Duration,
    /// Time to first token promised to callers.
    pub goal: Duration,
    pub deadline: Duration,
}

/// One online request or job.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Duration,
    /// The caller; each caller always connects to the same VM.
    pub caller: u64,
    pub kind: ArrivalKind,
}

/// Content of an arrival.
#[derive(Debug, Clone)]
pub enum ArrivalKind {
    Online {
        prompt: Vec<PromptPart>,
        tokens: u32,
    },
    /// Number of tokens of each item.
    Job { items: Vec<u32> },
}

/// Callers of one failure domain; each connects to one VM.
pub const CALLERS: u64 = 80;

impl Load {
    /// Draws all arrivals, in order of time.
    pub fn draw(&self, seed: u64) -> Vec<Arrival> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut all = self.online(&mut rng);
        all.extend(self.jobs(&mut rng));
        all.sort_by_key(|arrival| arrival.at);
        all
    }

    fn online(&self, rng: &mut SmallRng) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        let mut at = Duration::ZERO;
        let highest = self
            .steps
            .iter()
            .map(|(_, factor)| *factor)
            .fold(0.0, f64::max);
        while at < self.length {
            at += interarrival_time(rng, self.online_per_s * highest);
            if rng.random_range(0.0..highest) > self.rate_factor_at(at) {
                continue;
            }
            let unique = PromptPart {
                id: rng.random(),
                tokens: self.prompt_tokens,
            };
            let shared = PromptPart {
                id: rng.random_range(0..self.subjects),
                tokens: self.shared_tokens,
            };
            arrivals.push(Arrival {
                at,
                caller: rng.random_range(0..CALLERS * 100),
                kind: ArrivalKind::Online {
                    prompt: vec![shared, unique],
                    tokens: draw_size(rng, self.online_tokens),
                },
            });
        }
        arrivals
    }

    fn jobs(&self, rng: &mut SmallRng) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        let mut at = Duration::ZERO;
        while self.jobs_per_s > 0.0 && at < self.length {
            at += interarrival_time(rng, self.jobs_per_s);
            let count = draw_size(rng, self.items);
            let items = (0..count)
                .map(|_| draw_size(rng, self.item_tokens))
                .collect();
            arrivals.push(Arrival {
                at,
                caller: rng.random_range(0..CALLERS * 100),
                kind: ArrivalKind::Job { items },
            });
        }
        arrivals
    }

    fn rate_factor_at(&self, at: Duration) -> f64 {
        let cycle: Duration = self.steps.iter().map(|(length, _)| *length).sum();
        let mut left = Duration::from_secs_f64(at.as_secs_f64() % cycle.as_secs_f64());
        for (length, factor) in &self.steps {
            if left < *length {
                return *factor;
            }
            left -= *length;
        }
        1.0
    }
}

/// Time to the next arrival of a Poisson process with the given rate.
fn interarrival_time(rng: &mut SmallRng, per_s: f64) -> Duration {
    let draw: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-draw.ln() / per_s)
}

/// A size drawn uniformly from 60 % to 140 % of the mean.
fn draw_size(rng: &mut SmallRng, mean: f64) -> u32 {
    (mean * rng.random_range(0.6..1.4)).round().max(1.0) as u32
}
