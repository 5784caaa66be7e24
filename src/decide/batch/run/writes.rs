//! The writes of a run: its claim, the marks of started items, its checkpoints.

use std::time::Duration;

use super::*;

impl Run {
    /// Applies the answer to a write.
    pub fn written(&mut self, now: Duration, answer: WriteOutcome, out: &mut Vec<Action>) {
        if let Some(writing) = self.pending_write_mut() {
            writing.requested = false;
            writing.commit.written(answer);
            self.continue_write(now, out);
        }
    }

    /// Applies a read of the record, which shows whether a write took effect.
    pub fn read(
        &mut self,
        now: Duration,
        found: Option<Option<(Revision, ChunkRecord)>>,
        out: &mut Vec<Action>,
    ) {
        let Some(writing) = self.pending_write_mut() else {
            return;
        };
        let nonce = writing.record.nonce;
        let observed = found.as_ref().map(|standing| {
            standing
                .as_ref()
                .map(|(revision, record)| (*revision, record.nonce == nonce))
        });
        writing.requested = false;
        writing.commit.read(observed);
        if let Some(Some(standing)) = found {
            self.standing = Some(standing);
        }
        self.continue_write(now, out);
    }

    fn pending_write_mut(&mut self) -> Option<&mut PendingWrite> {
        match (&mut self.phase, &mut self.checkpoint) {
            (RunPhase::Claiming(writing), _) => Some(writing),
            (RunPhase::Running, Some(Checkpoint::Writing { writing })) => Some(writing),
            _ => None,
        }
    }

    /// Continues after a step of a write.
    fn continue_write(&mut self, now: Duration, out: &mut Vec<Action>) {
        let claiming = matches!(self.phase, RunPhase::Claiming(_));
        let Some(writing) = self.pending_write_mut() else {
            return;
        };
        match writing.commit.step() {
            Step::Write | Step::Read => {
                writing.not_before = now + writing.commit.delay(RETRY_BACKOFF);
                self.request_next_step(now, out);
            }
            Step::Won(revision) => {
                let record = writing.record.clone();
                self.write_won(now, revision, record);
            }
            // While the store is unavailable a claim is dropped, but results are kept until it is
            // back.
            Step::Away if claiming => self.give_up(now),
            Step::Away => {
                writing.commit = Commit::new(writing.expect());
                writing.not_before = now + RETRY_AFTER;
            }
            Step::Lost => {
                // Another VM owns the chunk now: nothing that this run still has counts.
                self.lost = true;
                self.give_up(now);
            }
        }
    }

    fn give_up(&mut self, now: Duration) {
        self.phase = RunPhase::Ended;
        self.retry_at = now + RETRY_AFTER;
    }

    fn write_won(&mut self, now: Duration, revision: Revision, record: ChunkRecord) {
        self.revision = revision;
        let ended = record.state != ChunkState::Open;
        let handed_over = record.owner == 0;
        self.record = Some(record);
        match std::mem::replace(&mut self.phase, RunPhase::Ended) {
            RunPhase::Claiming(_) if !ended => {
                self.phase = RunPhase::Loading {
                    requested: false,
                    not_before: now,
                };
            }
            RunPhase::Running if !ended && !handed_over => {
                self.phase = RunPhase::Running;
                self.checkpoint = None;
                for item in std::mem::take(&mut self.being_marked) {
                    self.make_ready(item);
                }
            }
            _ if handed_over => self.retry_at = now + HANDED_OVER_RETRY_AFTER,
            _ => self.retry_at = now + RETRY_AFTER,
        }
    }

    /// Does what is due; `in_flight` is whether attempts are still in flight.
    pub fn advance(&mut self, now: Duration, in_flight: bool, out: &mut Vec<Action>) {
        if let RunPhase::Loading {
            requested,
            not_before,
        } = &mut self.phase
        {
            if !*requested && now >= *not_before {
                *requested = true;
                out.push(Action::Load {
                    key: self.key.clone(),
                    run: self.id,
                });
            }
        }
        if matches!(self.phase, RunPhase::Running) {
            while let Some((due, item)) = self.delayed.first().copied() {
                if due > now {
                    break;
                }
                self.delayed.pop_first();
                self.make_ready(item);
            }
            if self.checkpoint.is_none() {
                self.start_checkpoint(now, in_flight);
            }
        }
        self.request_next_step(now, out);
    }

    /// Requests the next step of a checkpoint or write, if due.
    fn request_next_step(&mut self, now: Duration, out: &mut Vec<Action>) {
        if let Some(Checkpoint::Storing {
            lines,
            requested,
            not_before,
            ..
        }) = &mut self.checkpoint
        {
            if !*requested && now >= *not_before {
                *requested = true;
                let lines_of = |error: bool| {
                    let lines = lines.values().filter(|result| result.error == error);
                    lines.map(|result| result.line.clone()).collect()
                };
                let (output, errors) = (lines_of(false), lines_of(true));
                out.push(Action::Store {
                    key: self.key.clone(),
                    run: self.id,
                    output,
                    errors,
                });
            }
        }
        let (key, run) = (self.key.clone(), self.id);
        let Some(writing) = self.pending_write_mut() else {
            return;
        };
        if writing.requested || now < writing.not_before {
            return;
        }
        match writing.commit.step() {
            Step::Write => {
                writing.requested = true;
                let (expect, record) = (writing.expect(), writing.record.clone());
                out.push(Action::Write {
                    key,
                    run,
                    expect,
                    record,
                });
            }
            Step::Read => {
                writing.requested = true;
                out.push(Action::Read { key, run });
            }
            _ => {}
        }
    }

    fn start_checkpoint(&mut self, now: Duration, in_flight: bool) {
        let is_final = !in_flight && (self.open == 0 || self.stop.is_some());
        let is_old = self
            .oldest_result
            .is_some_and(|at| now >= at + CHECKPOINT_AGE);
        let is_full = self.results.len() >= CHECKPOINT_ITEMS;
        let needs_marks =
            self.stop.is_none() && !self.unmarked.is_empty() && self.marked_ready_count() == 0;
        if !is_final && !is_old && !is_full && !needs_marks {
            return;
        }
        if needs_marks {
            let count = self.unmarked.len().min(STARTED_MARKS_PER_WRITE);
            self.being_marked = self.unmarked.drain(..count).collect();
        }
        let lines = std::mem::take(&mut self.results);
        self.oldest_result = None;
        if lines.is_empty() {
            self.write_checkpoint(&lines, Vec::new(), is_final);
        } else {
            self.checkpoint = Some(Checkpoint::Storing {
                lines,
                requested: false,
                not_before: now,
                is_final,
            });
        }
    }

    /// Non-repeatable items that are marked as started and still wait.
    fn marked_ready_count(&self) -> usize {
        let waiting = self
            .ready
            .values()
            .flat_map(|queue| queue.fresh.iter().chain(&queue.suspect));
        waiting
            .filter(|item| !self.items[**item as usize].idempotent)
            .count()
    }

    fn write_checkpoint(
        &mut self,
        lines: &BTreeMap<u32, ItemResult>,
        segments: Vec<ResultSegment>,
        is_final: bool,
    ) {
        let Some(mut record) = self.record.clone() else {
            return;
        };
        for (item, result) in lines {
            record.done.insert(*item);
            match result.error {
                true => record.counts.failed += 1,
                false => record.counts.completed += 1,
            }
        }
        insert_all(&mut record.started, &self.being_marked);
        record.segments.extend(segments);
        self.nonce = self.nonce.wrapping_add(1);
        record.nonce = self.nonce;
        // A stop that came while results were being stored waits for the next checkpoint, which
        // includes the items that have ended since.
        let is_complete = record.done.len() as usize == self.items.len();
        if is_complete {
            record.state = ChunkState::Complete;
        } else if is_final {
            // Marked but still waiting: no byte of them was sent, so the next owner may run them.
            for queue in self.ready.values() {
                queue
                    .fresh
                    .iter()
                    .chain(&queue.suspect)
                    .for_each(|item| record.started.remove(*item));
            }
            self.delayed
                .iter()
                .for_each(|(_, item)| record.started.remove(*item));
            match self.stop {
                Some(StopReason::HandOver) => record.owner = 0,
                _ => record.state = ChunkState::Stopped,
            }
        }
        let writing = PendingWrite::new(self.revision, record);
        self.checkpoint = Some(Checkpoint::Writing { writing });
    }

    /// Applies the locations of a checkpoint's stored results.
    pub fn stored(&mut self, segments: Vec<ResultSegment>, out: &mut Vec<Action>) {
        let Some(Checkpoint::Storing {
            lines, is_final, ..
        }) = self.checkpoint.take()
        else {
            return;
        };
        self.write_checkpoint(&lines, segments, is_final);
        self.request_next_step(Duration::MAX, out);
    }

    /// Schedules a retry after the results could not be stored.
    pub fn store_failed(&mut self, now: Duration) {
        if let Some(Checkpoint::Storing {
            requested,
            not_before,
            ..
        }) = &mut self.checkpoint
        {
            *requested = false;
            *not_before = now + RETRY_AFTER;
        }
    }
}

impl PendingWrite {
    pub(super) fn new(expect: Revision, record: ChunkRecord) -> PendingWrite {
        PendingWrite {
            commit: Commit::new(expect),
            record,
            requested: false,
            not_before: Duration::ZERO,
        }
    }

    fn expect(&self) -> Revision {
        self.commit.expected_revision()
    }
}

fn insert_all(started: &mut ItemSet, items: &[u32]) {
    for item in items {
        started.insert(*item);
    }
}
