//! The writes of a run: its claim, the marks of started items, its checkpoints.

use std::time::Duration;

use super::*;

impl Run {
    /// Takes the answer to a write.
    pub fn written(&mut self, now: Duration, answer: Answer, out: &mut Vec<Action>) {
        if let Some(writing) = self.writing_mut() {
            writing.asked = false;
            writing.commit.written(answer);
            self.settle(now, out);
        }
    }

    /// Takes a read of the record, which tells whether a write took effect.
    pub fn read(
        &mut self,
        now: Duration,
        found: Option<Option<(Revision, ChunkRecord)>>,
        out: &mut Vec<Action>,
    ) {
        let Some(writing) = self.writing_mut() else {
            return;
        };
        let nonce = writing.record.nonce;
        let seen = found.as_ref().map(|standing| {
            standing
                .as_ref()
                .map(|(revision, record)| (*revision, record.nonce == nonce))
        });
        writing.asked = false;
        writing.commit.read(seen);
        if let Some(Some(standing)) = found {
            self.seen = Some(standing);
        }
        self.settle(now, out);
    }

    fn writing_mut(&mut self) -> Option<&mut Writing> {
        match (&mut self.phase, &mut self.checkpoint) {
            (Phase::Claiming(writing), _) => Some(writing),
            (Phase::Running, Some(Checkpoint::Writing { writing })) => Some(writing),
            _ => None,
        }
    }

    /// Goes on after a step of a write.
    fn settle(&mut self, now: Duration, out: &mut Vec<Action>) {
        let claiming = matches!(self.phase, Phase::Claiming(_));
        let Some(writing) = self.writing_mut() else {
            return;
        };
        match writing.commit.step() {
            Step::Write | Step::Read => {
                writing.not_before = now + writing.commit.pause(BACKOFF);
                self.ask(now, out);
            }
            Step::Won(revision) => {
                let record = writing.record.clone();
                self.won(now, revision, record);
            }
            // Without the platform a claim is dropped; results are kept until it is back.
            Step::Away if claiming => self.give_up(now),
            Step::Away => {
                writing.commit = Commit::new(writing.expect());
                writing.not_before = now + TRY_AGAIN;
            }
            Step::Lost => {
                // Another VM owns the chunk by now: nothing that this run still holds counts.
                self.lost = true;
                self.give_up(now);
            }
        }
    }

    fn give_up(&mut self, now: Duration) {
        self.phase = Phase::Over;
        self.retry_at = now + TRY_AGAIN;
    }

    fn won(&mut self, now: Duration, revision: Revision, record: ChunkRecord) {
        self.revision = revision;
        let ended = record.state != ChunkState::Open;
        let handed_over = record.owner == 0;
        self.record = Some(record);
        match std::mem::replace(&mut self.phase, Phase::Over) {
            Phase::Claiming(_) if !ended => {
                self.phase = Phase::Loading {
                    asked: false,
                    not_before: now,
                };
            }
            Phase::Running if !ended && !handed_over => {
                self.phase = Phase::Running;
                self.checkpoint = None;
                for item in std::mem::take(&mut self.marking) {
                    self.make_ready(item);
                }
            }
            _ if handed_over => self.retry_at = now + LEFT_ALONE,
            _ => self.retry_at = now + TRY_AGAIN,
        }
    }

    /// Does what is due; `flying` tells whether items are still under way.
    pub fn advance(&mut self, now: Duration, flying: bool, out: &mut Vec<Action>) {
        if let Phase::Loading { asked, not_before } = &mut self.phase {
            if !*asked && now >= *not_before {
                *asked = true;
                out.push(Action::Load {
                    key: self.key.clone(),
                    run: self.id,
                });
            }
        }
        if matches!(self.phase, Phase::Running) {
            while let Some((due, item)) = self.delayed.first().copied() {
                if due > now {
                    break;
                }
                self.delayed.pop_first();
                self.make_ready(item);
            }
            if self.checkpoint.is_none() {
                self.start_checkpoint(now, flying);
            }
        }
        self.ask(now, out);
    }

    /// Asks for the next step of a write or a store that is due.
    fn ask(&mut self, now: Duration, out: &mut Vec<Action>) {
        if let Some(Checkpoint::Storing {
            lines,
            asked,
            not_before,
            ..
        }) = &mut self.checkpoint
        {
            if !*asked && now >= *not_before {
                *asked = true;
                let of = |error: bool| {
                    let lines = lines.values().filter(|result| result.error == error);
                    lines.map(|result| result.line.clone()).collect()
                };
                let (output, errors) = (of(false), of(true));
                out.push(Action::Store {
                    key: self.key.clone(),
                    run: self.id,
                    output,
                    errors,
                });
            }
        }
        let (key, run) = (self.key.clone(), self.id);
        let Some(writing) = self.writing_mut() else {
            return;
        };
        if writing.asked || now < writing.not_before {
            return;
        }
        match writing.commit.step() {
            Step::Write => {
                writing.asked = true;
                let (expect, record) = (writing.expect(), writing.record.clone());
                out.push(Action::Write {
                    key,
                    run,
                    expect,
                    record,
                });
            }
            Step::Read => {
                writing.asked = true;
                out.push(Action::Read { key, run });
            }
            _ => {}
        }
    }

    fn start_checkpoint(&mut self, now: Duration, flying: bool) {
        let fin = !flying && (self.open == 0 || self.stop.is_some());
        let aged = self
            .oldest_result
            .is_some_and(|at| now >= at + CHECKPOINT_AGE);
        let full = self.results.len() >= CHECKPOINT_ITEMS;
        let mark = self.stop.is_none() && !self.unmarked.is_empty() && self.marked_ready() == 0;
        if !fin && !aged && !full && !mark {
            return;
        }
        if mark {
            let count = self.unmarked.len().min(STARTED_WINDOW);
            self.marking = self.unmarked.drain(..count).collect();
        }
        let lines = std::mem::take(&mut self.results);
        self.oldest_result = None;
        if lines.is_empty() {
            self.write_checkpoint(&lines, Vec::new(), fin);
        } else {
            self.checkpoint = Some(Checkpoint::Storing {
                lines,
                asked: false,
                not_before: now,
                fin,
            });
        }
    }

    /// Non-repeatable items that are marked and still wait.
    fn marked_ready(&self) -> usize {
        let waiting = self
            .ready
            .values()
            .flat_map(|lane| lane.fresh.iter().chain(&lane.suspect));
        waiting
            .filter(|item| !self.items[**item as usize].idempotent)
            .count()
    }

    fn write_checkpoint(
        &mut self,
        lines: &BTreeMap<u32, ItemResult>,
        segments: Vec<ResultSegment>,
        fin: bool,
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
        mark(&mut record.started, &self.marking);
        record.segments.extend(segments);
        self.nonce = self.nonce.wrapping_add(1);
        record.nonce = self.nonce;
        // A stop that came while results were being stored waits for the next checkpoint, which
        // holds what has ended since.
        let whole = record.done.len() as usize == self.items.len();
        if whole {
            record.state = ChunkState::Complete;
        } else if fin {
            // Marked and still here: no byte of them went out, so whoever goes on may run them.
            for lane in self.ready.values() {
                lane.fresh
                    .iter()
                    .chain(&lane.suspect)
                    .for_each(|item| record.started.remove(*item));
            }
            self.delayed
                .iter()
                .for_each(|(_, item)| record.started.remove(*item));
            match self.stop {
                Some(Stop::Leave) => record.owner = 0,
                _ => record.state = ChunkState::Stopped,
            }
        }
        let writing = Writing::new(self.revision, record);
        self.checkpoint = Some(Checkpoint::Writing { writing });
    }

    /// Takes where the results of a checkpoint lie.
    pub fn stored(&mut self, segments: Vec<ResultSegment>, out: &mut Vec<Action>) {
        let Some(Checkpoint::Storing { lines, fin, .. }) = self.checkpoint.take() else {
            return;
        };
        self.write_checkpoint(&lines, segments, fin);
        self.ask(Duration::MAX, out);
    }

    /// The results could not be stored.
    pub fn store_failed(&mut self, now: Duration) {
        if let Some(Checkpoint::Storing {
            asked, not_before, ..
        }) = &mut self.checkpoint
        {
            *asked = false;
            *not_before = now + TRY_AGAIN;
        }
    }
}

impl Writing {
    pub(super) fn new(expect: Revision, record: ChunkRecord) -> Writing {
        Writing {
            commit: Commit::new(expect),
            record,
            asked: false,
            not_before: Duration::ZERO,
        }
    }

    fn expect(&self) -> Revision {
        self.commit.expect()
    }
}

fn mark(started: &mut ItemSet, items: &[u32]) {
    for item in items {
        started.insert(*item);
    }
}
