//! One compare-and-swap whose answer may be lost.

use std::time::Duration;

use crate::id::Revision;

/// What is known of one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    Won(Revision),
    Lost,
    /// Provably without effect.
    Away,
    /// The write may have taken effect.
    Unknown,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Write,
    Read,
    Won(Revision),
    Lost,
    Away,
}

/// Settles one write: a lost answer is told by reading the record back.
///
/// The failure: the service takes the write and its answer is lost. Without care the writer sees
/// the second try conflict with its own first one and reports a loss that was a win. The value
/// carries a nonce, so the same bytes read back can only be the writer's own; and a try that is
/// still under way is harmless, since each try expects the same revision and at most one can win.
#[derive(Debug, Clone)]
pub struct Commit {
    expect: Revision,
    step: Step,
    /// An earlier try may have taken effect.
    doubt: bool,
    tries: u32,
}

impl Commit {
    /// A write of a record that stands at `expect`.
    pub fn new(expect: Revision) -> Commit {
        Commit {
            expect,
            step: Step::Write,
            doubt: false,
            tries: 0,
        }
    }

    /// The revision that it writes over.
    pub fn expect(&self) -> Revision {
        self.expect
    }

    /// The step to take now.
    pub fn step(&self) -> Step {
        self.step
    }

    /// Takes the answer to a write.
    pub fn written(&mut self, answer: Answer) -> Step {
        self.tries += 1;
        self.step = match answer {
            Answer::Won(revision) => Step::Won(revision),
            Answer::Lost => Step::Read,
            Answer::Away if self.doubt => Step::Read,
            Answer::Away => Step::Away,
            Answer::Unknown => {
                self.doubt = true;
                Step::Read
            }
        };
        self.step
    }

    /// Takes what a read showed: `None` when it failed, else the record's revision and whether it
    /// holds the writer's own bytes.
    pub fn read(&mut self, seen: Option<Option<(Revision, bool)>>) -> Step {
        self.tries += 1;
        self.step = match seen {
            None => Step::Read,
            Some(Some((revision, true))) => Step::Won(revision),
            Some(found) => {
                let revision = found.map_or(0, |(revision, _)| revision);
                if revision == self.expect {
                    Step::Write
                } else {
                    Step::Lost
                }
            }
        };
        self.step
    }

    /// How long to wait before the next step: nothing at first, then longer with each try.
    pub fn pause(&self, unit: Duration) -> Duration {
        unit * self.tries.saturating_sub(1).min(10)
    }
}
