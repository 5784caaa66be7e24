//! The items of a run: loading, dispatch, results.

use std::time::Duration;

use super::*;

impl Run {
    /// Applies the loaded lines of the chunk.
    pub fn loaded(&mut self, now: Duration, planned: Vec<PlannedItem>) {
        if !matches!(self.phase, RunPhase::Loading { .. }) {
            return;
        }
        self.phase = RunPhase::Running;
        let record = self.record.clone();
        let (done, started) = match &record {
            Some(record) => (&record.done, &record.started),
            None => return,
        };
        for (index, planned) in planned.into_iter().enumerate() {
            let item = index as u32;
            let (service, idempotent) = match planned.work {
                ItemWork::Run {
                    service,
                    idempotent,
                } => (service, idempotent),
                ItemWork::Bad { .. } => (0, true),
            };
            let custom_id = planned.custom_id;
            self.items.push(Item {
                custom_id,
                service,
                idempotent,
                attempts: 0,
                deaths: 0,
            });
            if done.contains(item) {
                continue;
            }
            self.open += 1;
            match planned.work {
                ItemWork::Bad { code, message } => self.fail_item(now, item, code, &message),
                // The previous owner marked it as started and saved no result: it may have run.
                ItemWork::Run {
                    idempotent: false, ..
                } if started.contains(item) => {
                    self.fail_item(
                        now,
                        item,
                        "outcome_unknown",
                        "started before its owner was lost",
                    );
                }
                ItemWork::Run {
                    idempotent: false, ..
                } => self.unmarked.push_back(item),
                ItemWork::Run { .. } => self.make_ready(item),
            }
        }
    }

    /// Schedules another read of the lines after a failure.
    pub fn load_failed(&mut self, now: Duration) {
        if let RunPhase::Loading {
            requested,
            not_before,
        } = &mut self.phase
        {
            *requested = false;
            *not_before = now + RETRY_AFTER;
        }
    }

    pub(super) fn make_ready(&mut self, item: u32) {
        let state = &self.items[item as usize];
        let queue = self.ready.entry(state.service).or_default();
        match state.deaths {
            0 => queue.fresh.push_back(item),
            _ => queue.suspect.push_back(item),
        }
    }

    fn finish_item(&mut self, now: Duration, item: u32, line: Bytes, error: bool) {
        let before = self.results.insert(item, ItemResult { line, error });
        debug_assert!(before.is_none());
        self.open -= 1;
        self.oldest_result.get_or_insert(now);
    }

    fn fail_item(&mut self, now: Duration, item: u32, code: &str, message: &str) {
        let custom_id = &self.items[item as usize].custom_id;
        let line = error_line(&self.key, item, custom_id, code, message);
        self.finish_item(now, item, line, true);
    }

    /// Applies the end of one attempt.
    pub fn attempt_ended(
        &mut self,
        now: Duration,
        attempt: &InFlightAttempt,
        end: AttemptEnd,
        rng: &mut impl Rng,
    ) {
        if attempt.run != self.id || self.has_ended() {
            return;
        }
        let item = attempt.item;
        match end {
            AttemptEnd::Done(line) => self.finish_item(now, item, line, false),
            AttemptEnd::Rejected { code, message } => self.fail_item(now, item, code, &message),
            AttemptEnd::Cancelled if attempt.idempotent => {
                let queue = self
                    .ready
                    .entry(self.items[item as usize].service)
                    .or_default();
                match attempt.suspect {
                    true => queue.suspect.push_front(item),
                    false => queue.fresh.push_front(item),
                }
            }
            AttemptEnd::Cancelled => {
                self.fail_item(now, item, "outcome_unknown", "cancelled under way")
            }
            AttemptEnd::Failed {
                reach,
                died,
                detail,
            } => {
                self.attempt_failed(now, item, reach, died, &detail, rng);
            }
        }
    }

    fn attempt_failed(
        &mut self,
        now: Duration,
        item: u32,
        reach: AttemptStage,
        died: bool,
        detail: &str,
        rng: &mut impl Rng,
    ) {
        let state = &mut self.items[item as usize];
        state.attempts += 1;
        state.deaths += u32::from(died);
        let (attempts, deaths) = (state.attempts, state.deaths);
        let not_executed = matches!(reach, AttemptStage::NotSent | AttemptStage::Refused);
        if !state.idempotent && !not_executed {
            self.fail_item(now, item, "outcome_unknown", detail);
        } else if deaths >= ENDPOINT_DEATHS_MAX {
            self.fail_item(
                now,
                item,
                "quarantined",
                "two endpoints died while it was under way",
            );
        } else if attempts >= ATTEMPTS_MAX {
            self.fail_item(now, item, "endpoint_failed", detail);
        } else {
            let delay = RETRY_BACKOFF * 2u32.pow(attempts - 1);
            let due = now + delay.mul_f64(rng.random_range(0.5..1.5));
            self.delayed.insert((due, item));
        }
    }
}

/// A line of the error file.
fn error_line(key: &ChunkKey, item: u32, custom_id: &[u8], code: &str, message: &str) -> Bytes {
    let custom_id: serde_json::Value =
        serde_json::from_slice(custom_id).unwrap_or(serde_json::Value::Null);
    let line = serde_json::json!({
        "id": format!("{}.{}.{item}", key.job, key.chunk),
        "custom_id": custom_id,
        "response": null,
        "error": { "code": code, "message": message },
    });
    Bytes::from(line.to_string())
}
