//! The items of a run: read, handed out, ended.

use std::time::Duration;

use super::*;

impl Run {
    /// Takes the lines of the chunk.
    pub fn loaded(&mut self, now: Duration, planned: Vec<PlannedItem>) {
        if !matches!(self.phase, Phase::Loading { .. }) {
            return;
        }
        self.phase = Phase::Running;
        let record = self.record.clone();
        let (done, started) = match &record {
            Some(record) => (&record.done, &record.started),
            None => return,
        };
        for (at, planned) in planned.into_iter().enumerate() {
            let item = at as u32;
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
                tries: 0,
                deaths: 0,
            });
            if done.contains(item) {
                continue;
            }
            self.open += 1;
            match planned.work {
                ItemWork::Bad { code, message } => self.fail(now, item, code, &message),
                // The owner before marked it and left no result: it may have run.
                ItemWork::Run {
                    idempotent: false, ..
                } if started.contains(item) => {
                    self.fail(
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

    /// The lines could not be read.
    pub fn load_failed(&mut self, now: Duration) {
        if let Phase::Loading { asked, not_before } = &mut self.phase {
            *asked = false;
            *not_before = now + TRY_AGAIN;
        }
    }

    pub(super) fn make_ready(&mut self, item: u32) {
        let row = &self.items[item as usize];
        let lane = self.ready.entry(row.service).or_default();
        match row.deaths {
            0 => lane.fresh.push_back(item),
            _ => lane.suspect.push_back(item),
        }
    }

    fn finish_item(&mut self, now: Duration, item: u32, line: Bytes, error: bool) {
        let before = self.results.insert(item, ItemResult { line, error });
        debug_assert!(before.is_none());
        self.open -= 1;
        self.oldest_result.get_or_insert(now);
    }

    fn fail(&mut self, now: Duration, item: u32, code: &str, message: &str) {
        let custom_id = &self.items[item as usize].custom_id;
        let line = error_line(&self.key, item, custom_id, code, message);
        self.finish_item(now, item, line, true);
    }

    /// Takes the end of one try.
    pub fn ended(
        &mut self,
        now: Duration,
        flight: &InFlightAttempt,
        end: AttemptEnd,
        rng: &mut impl Rng,
    ) {
        if flight.run != self.id || self.over() {
            return;
        }
        let item = flight.item;
        match end {
            AttemptEnd::Done(line) => self.finish_item(now, item, line, false),
            AttemptEnd::Rejected { code, message } => self.fail(now, item, code, &message),
            AttemptEnd::Cancelled if flight.idempotent => {
                let lane = self
                    .ready
                    .entry(self.items[item as usize].service)
                    .or_default();
                match flight.suspect {
                    true => lane.suspect.push_front(item),
                    false => lane.fresh.push_front(item),
                }
            }
            AttemptEnd::Cancelled => self.fail(now, item, "outcome_unknown", "cancelled under way"),
            AttemptEnd::Failed {
                reach,
                died,
                detail,
            } => {
                self.try_failed(now, item, reach, died, &detail, rng);
            }
        }
    }

    fn try_failed(
        &mut self,
        now: Duration,
        item: u32,
        reach: AttemptStage,
        died: bool,
        detail: &str,
        rng: &mut impl Rng,
    ) {
        let row = &mut self.items[item as usize];
        row.tries += 1;
        row.deaths += u32::from(died);
        let (tries, deaths) = (row.tries, row.deaths);
        let untouched = matches!(reach, AttemptStage::NotSent | AttemptStage::Refused);
        if !row.idempotent && !untouched {
            self.fail(now, item, "outcome_unknown", detail);
        } else if deaths >= DEATHS_MAX {
            self.fail(
                now,
                item,
                "quarantined",
                "two endpoints died while it was under way",
            );
        } else if tries >= TRIES_MAX {
            self.fail(now, item, "endpoint_failed", detail);
        } else {
            let pause = BACKOFF * 2u32.pow(tries - 1);
            let due = now + pause.mul_f64(rng.random_range(0.5..1.5));
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
