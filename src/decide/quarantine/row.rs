//! What is known of one request.

use std::time::Duration;

use super::evidence::{End, Ends};
use super::EvidenceSource;
use crate::id::Name;

/// Ends that hold a request back. One end has up to all slots of its endpoint under way and says little, and two befall
/// requests that are sent again while another one is still at work; by the third, one was at all of them.
pub const ENDS_MIN: usize = 3;
/// How long a request is held back, or remembered after its last end: for longer than anybody goes on asking by hand.
pub const HOLD_TIME: Duration = Duration::from_secs(600);
/// A request that was held back may run once so long after that, and once more so long after: an innocent one is not lost for
/// long, and one that goes on ending endpoints costs two more.
const TRIALS_AFTER: [Duration; 2] = [Duration::from_secs(15), Duration::from_secs(150)];
/// Ends of a request after which there are no trials.
const TRIED_ENDS_MAX: usize = 5;
/// An answer speaks for a request for so long: what was answered a moment ago does not end its endpoints now, though all of them may
/// have ended meanwhile and nobody answers anything. Where the endpoints' software has been replaced, it counts later.
const SPOKEN_FOR: Duration = Duration::from_secs(20);
/// Ends at which all VMs are told, so that whoever answers the request can speak for it.
const TOLD_TO_ALL: usize = 2;
/// Bytes of a request's label.
const LABEL_BYTES_MAX: usize = 64;

/// One request that endpoints ended under.
#[derive(Debug, Clone)]
pub struct Row {
    /// What it is, for people.
    pub label: Name,
    pub ends: Ends,
    /// When it was last answered whole or released.
    pub cleared_at: Option<Duration>,
    pub held_since: Option<Duration>,
    /// Since when all VMs are told of it.
    pub concerns_all_since: Option<Duration>,
    /// On whose word it is held back.
    pub by: EvidenceSource,
    pub trials: usize,
    pub changed_at: Duration,
}

impl Row {
    /// Nothing is held against it yet; `cleared_at` when it was last answered.
    pub fn new(now: Duration, label: &str, cleared_at: Option<Duration>) -> Row {
        Row {
            label: shortened(label),
            ends: Ends::default(),
            cleared_at,
            held_since: None,
            concerns_all_since: None,
            by: EvidenceSource::Own,
            trials: 0,
            changed_at: now,
        }
    }

    /// When it may run again, for good or on trial; `None` while it is not held back.
    pub fn back_at(&self) -> Option<Duration> {
        let since = self.held_since?;
        let tries = self.held_against() < TRIED_ENDS_MAX;
        let trial = TRIALS_AFTER.get(self.trials).filter(|_| tries);
        Some(trial.map_or(self.forgotten_at(), |after| since + *after))
    }

    /// A time after the last end, so that all VMs forget it at once and none is told of it again by another.
    pub fn forgotten_at(&self) -> Duration {
        self.ends.last_at().max(self.cleared_at.unwrap_or_default()) + HOLD_TIME
    }

    /// Occasions on which endpoints ended under it since something spoke for it.
    pub fn held_against(&self) -> usize {
        self.ends.since(self.cleared_until())
    }

    /// Ends up to this moment don't count.
    pub fn cleared_until(&self) -> Duration {
        self.cleared_at.map_or(Duration::ZERO, |at| at + SPOKEN_FOR)
    }

    /// Takes an end that counts; false when it is known.
    pub fn add(&mut self, end: End) -> bool {
        end.at > self.cleared_until() && self.ends.add(end)
    }

    /// Something new is known of it.
    pub fn changed(&mut self, now: Duration) {
        self.changed_at = now;
        if self.held_since.is_some() || self.held_against() >= TOLD_TO_ALL {
            self.concerns_all_since.get_or_insert(now);
        }
    }

    /// Something spoke for it at a moment.
    pub fn clear(&mut self, now: Duration, at: Duration) {
        self.cleared_at = Some(at);
        self.changed_at = now;
        // An answer may be heard of after what it speaks against was added up.
        let earlier = self
            .held_since
            .is_some_and(|since| since <= self.cleared_until());
        if earlier || self.held_against() < ENDS_MIN {
            self.held_since = None;
            self.trials = 0;
        }
    }
}

fn shortened(label: &str) -> Name {
    let ends = label.char_indices().map(|(at, char)| at + char.len_utf8());
    let end = ends.take_while(|end| *end <= LABEL_BYTES_MAX).last();
    label[..end.unwrap_or(0)].into()
}
