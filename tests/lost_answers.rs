//! A compare-and-swap whose responses are lost.

use std::time::Duration;

use bramleyseam::decide::commit::{Commit, Step, WriteOutcome};
use quickcheck::quickcheck;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A store key with its value history; each write increments the revision.
struct StoreKey {
    revision: u64,
    value: u32,
    history: Vec<u32>,
}

impl StoreKey {
    fn put(&mut self, rng: &mut SmallRng, expect: u64, value: u32) -> WriteOutcome {
        match rng.random_range(0..6) {
            0 => return WriteOutcome::Away,
            // The request itself is lost: no effect, but the writer can't tell.
            1 => return WriteOutcome::Unknown,
            _ => {}
        }
        let won = self.revision == expect;
        if won {
            self.revision += 1;
            self.value = value;
            self.history.push(value);
        }
        match (rng.random_bool(0.4), won) {
            (true, _) => WriteOutcome::Unknown,
            (false, true) => WriteOutcome::Won(self.revision),
            (false, false) => WriteOutcome::Lost,
        }
    }
}

quickcheck! {
    // Two writers race for one record, and responses are lost after the write took effect. Exactly
    // the one whose value is stored gets "won", since it finds its own bytes when it reads.
    fn one_winner(seed: u64) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut key = StoreKey { revision: 1, value: 0, history: Vec::new() };
        let mut writers = [Commit::new(1), Commit::new(1)];
        for _ in 0..200 {
            let at = rng.random_range(0..2);
            let value = at as u32 + 1;
            match writers[at].step() {
                Step::Write => {
                    let answer = key.put(&mut rng, 1, value);
                    writers[at].written(answer);
                }
                Step::Read => {
                    let seen = rng.random_bool(0.8).then_some(Some((key.revision, key.value == value)));
                    writers[at].read(seen);
                }
                Step::Won(_) | Step::Lost | Step::Away => {}
            }
        }
        let won = |at: usize| matches!(writers[at].step(), Step::Won(_));
        let stands = key.history.first().copied();
        key.history.len() <= 1
            && won(0) == (stands == Some(1))
            && won(1) == (stands == Some(2))
    }
}

// The response is "conflict" because the writer's own first attempt took effect: the writer must
// not conclude that another one won.
#[test]
fn own_conflict() {
    let mut commit = Commit::new(5);
    assert_eq!(commit.written(WriteOutcome::Unknown), Step::Read);
    assert_eq!(commit.read(Some(Some((5, false)))), Step::Write);
    assert_eq!(commit.written(WriteOutcome::Lost), Step::Read);
    assert_eq!(commit.read(Some(Some((6, true)))), Step::Won(6));
    assert_eq!(commit.delay(Duration::ZERO), Duration::ZERO);
}

// After an attempt with an unknown result, "unavailable" says nothing about that earlier attempt
// and must not become "no effect".
#[test]
fn away_after_doubt() {
    let mut commit = Commit::new(5);
    commit.written(WriteOutcome::Unknown);
    commit.read(Some(Some((5, false))));
    assert_eq!(commit.written(WriteOutcome::Away), Step::Read);
    assert_eq!(commit.read(Some(Some((6, true)))), Step::Won(6));
}
