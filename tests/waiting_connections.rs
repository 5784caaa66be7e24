//! Which connection is closed when callers open more of them than there is room for.

use std::time::Duration;

use bramleyseam::decide::memory::{connection_to_close, ConnectionWait};

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn longest_wait() {
    let waits = [(1, 5), (2, 3), (3, 4)];
    let waiting = waits.map(|(id, since)| (id, ConnectionWait::FirstRequest, at(since)));
    assert_eq!(connection_to_close(waiting.into_iter()), Some(2));
}

// Connections that callers keep open for further requests were closed before those of no use.
#[test]
fn answered_last() {
    let waiting = [
        (1, ConnectionWait::ReadOfAnswer, at(1)),
        (2, ConnectionWait::NextRequest, at(2)),
        (3, ConnectionWait::FirstRequest, at(3)),
    ];
    assert_eq!(connection_to_close(waiting.into_iter()), Some(3));
    assert_eq!(connection_to_close(waiting[..2].iter().copied()), Some(2));
    assert_eq!(connection_to_close(waiting[..1].iter().copied()), Some(1));
}

#[test]
fn all_serve() {
    assert_eq!(connection_to_close::<u64>(std::iter::empty()), None);
}
