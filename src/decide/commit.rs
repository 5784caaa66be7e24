//! A compare-and-swap whose response may be lost.

use std::time::Duration;

use crate::id::Revision;

/// Outcome of one write request, as far as it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    Won(Revision),
    Lost,
    /// Certainly without effect.
    Away,
    /// The write may have taken effect.
    Unknown,
}

/// The next step, or the final result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Write,
    Read,
    Won(Revision),
    Lost,
    Away,
}

/// Determines whether a write took effect; if its response is lost, by reading the record back.
///
/// If the store performs the write and the response is lost, a second attempt conflicts with the
/// writer's own first one, and a naive writer would report a lost race that it has won. The value
/// carries a nonce, so if the same bytes are read back they can only be the writer's own. An
/// attempt still in flight is harmless: each attempt expects the same revision, so at most one can
/// succeed.
#[derive(Debug, Clone)]
pub struct Commit {
    expect: Revision,
    step: Step,
    /// An earlier attempt may have taken effect.
    maybe_written: bool,
    attempts: u32,
}

impl Commit {
    /// A write that replaces the record at revision `expect`.
    pub fn new(expect: Revision) -> Commit {
        Commit {
            expect,
            step: Step::Write,
            maybe_written: false,
            attempts: 0,
        }
    }

    /// The revision that it replaces.
    pub fn expected_revision(&self) -> Revision {
        self.expect
    }

    /// The current step.
    pub fn step(&self) -> Step {
        self.step
    }

    /// Handles the outcome of a write.
    pub fn written(&mut self, outcome: WriteOutcome) -> Step {
        self.attempts += 1;
        self.step = match outcome {
            WriteOutcome::Won(revision) => Step::Won(revision),
            WriteOutcome::Lost => Step::Read,
            WriteOutcome::Away if self.maybe_written => Step::Read,
            WriteOutcome::Away => Step::Away,
            WriteOutcome::Unknown => {
                self.maybe_written = true;
                Step::Read
            }
        };
        self.step
    }

    /// Handles the result of a read: `None` if it failed, otherwise the record's revision and
    /// whether it holds the writer's own bytes.
    pub fn read(&mut self, seen: Option<Option<(Revision, bool)>>) -> Step {
        self.attempts += 1;
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

    /// Delay before the next step: none at first, then longer with each attempt.
    pub fn delay(&self, unit: Duration) -> Duration {
        unit * self.attempts.saturating_sub(1).min(10)
    }
}
