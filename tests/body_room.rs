//! Which bodies yield when callers' bodies take more memory than there is for them.

use std::time::Duration;

use bramleyseam::decide::memory::{BodyRoom, Budget, Grant, SMALL_BYTES};

const ROOM_BYTES: usize = 16 * SMALL_BYTES;
/// What large bodies may take together.
const LARGE_BYTES: usize = 12 * SMALL_BYTES;
const NOW: Duration = Duration::from_secs(1);
const LATER: Duration = Duration::from_secs(3);

#[test]
fn larger_yield() {
    let mut room = BodyRoom::new(ROOM_BYTES);
    let (large, small) = (room.begin(NOW), room.begin(NOW));
    assert_eq!(room.grow(NOW, large, LARGE_BYTES, 0), Some(Vec::new()));
    assert_eq!(room.grow(NOW, small, 2 * SMALL_BYTES, 0), Some(vec![large]));
    assert_eq!(room.grow(NOW, large, 1, 0), None);
    assert_eq!(room.unfinished_bytes(), 2 * SMALL_BYTES);
}

#[test]
fn equal_refused() {
    let mut room = BodyRoom::new(ROOM_BYTES);
    let (first, second) = (room.begin(NOW), room.begin(NOW));
    assert_eq!(room.grow(NOW, first, LARGE_BYTES, 0), Some(Vec::new()));
    assert_eq!(room.grow(NOW, second, LARGE_BYTES, 0), None);
}

#[test]
fn stalled_yield() {
    let mut room = BodyRoom::new(ROOM_BYTES);
    let (stalled, next) = (room.begin(NOW), room.begin(NOW));
    assert_eq!(
        room.grow(NOW, stalled, LARGE_BYTES / 2, 0),
        Some(Vec::new())
    );
    let yielding = room.grow(LATER, next, LARGE_BYTES, 0);
    assert_eq!(yielding, Some(vec![stalled]));
}

// Large bodies whose requests last left no room for others.
#[test]
fn small_have_room() {
    let mut room = BodyRoom::new(ROOM_BYTES);
    let (large, small) = (room.begin(NOW), room.begin(NOW));
    assert_eq!(room.grow(NOW, large, 2 * SMALL_BYTES, LARGE_BYTES), None);
    assert_eq!(
        room.grow(NOW, small, SMALL_BYTES, LARGE_BYTES),
        Some(Vec::new())
    );
}

#[test]
fn within_grant() {
    for memory_mb in [32, 64, 88, 110, 260, 512, 4096] {
        let grant = Grant {
            memory_bytes: memory_mb * 1_000_000,
            descriptors: 4000,
        };
        let budget = Budget::of(grant);
        let spent_bytes = budget.connection_bytes
            + budget.body_bytes
            + budget.submission_bytes
            + budget.job_bytes
            + budget.record_bytes
            + budget.answer_bytes
            + budget.reply_bytes
            + budget.cache_bytes;
        assert!(spent_bytes <= grant.memory_bytes - 20_000_000);
        assert!(budget.connections_max + budget.idle_connections_max < grant.descriptors);
    }
}
