//! Which answers find room when they take more memory than there is for them.

use bramleyseam::decide::memory::SMALL_BYTES;
use bramleyseam::serve::answer_memory::{AnswerMemory, CollectedAnswer};

const ROOM_BYTES: usize = 16 * SMALL_BYTES;

fn push(answer: &mut CollectedAnswer, bytes: usize) -> bool {
    answer.push(&vec![b'x'; bytes])
}

// An answer of a size that was passed on before the answers shared a room.
#[test]
fn larger_than_room() {
    let memory = AnswerMemory::new(ROOM_BYTES);
    let mut answer = CollectedAnswer::new(&memory);
    for _ in 0..4 {
        assert!(push(&mut answer, ROOM_BYTES));
    }
    let mut other = CollectedAnswer::new(&memory);
    assert!(!push(&mut other, 1));
    let whole = answer.freeze();
    assert_eq!(whole.len(), 4 * ROOM_BYTES);
    drop(whole);
    assert!(push(&mut other, ROOM_BYTES / 2));
}

#[test]
fn large_leave_room() {
    let memory = AnswerMemory::new(ROOM_BYTES);
    let mut small = CollectedAnswer::new(&memory);
    assert!(push(&mut small, SMALL_BYTES));
    let mut large = CollectedAnswer::new(&memory);
    assert!(push(&mut large, 11 * SMALL_BYTES));
    assert!(!push(&mut large, SMALL_BYTES));
    let mut next = CollectedAnswer::new(&memory);
    assert!(push(&mut next, SMALL_BYTES));
}
