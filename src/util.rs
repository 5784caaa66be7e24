//! Small helpers shared by several modules.

use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::id::Nonce;

/// Locks a mutex, even a poisoned one. A thread that panicked while it held the lock left
/// consistent data, because every update under a lock is one call of a decision function.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A random number that distinguishes one write from all others.
pub fn nonce() -> Nonce {
    rand::rng().random()
}

/// A generator seeded from the system.
pub fn rng() -> SmallRng {
    SmallRng::from_rng(&mut rand::rng())
}

/// Length of a value in bytes once it is encoded as JSON.
pub fn json_bytes(value: &impl Serialize) -> usize {
    let mut counter = ByteCounter { bytes: 0 };
    match serde_json::to_writer(&mut counter, value) {
        Ok(()) => counter.bytes,
        // What can't be encoded fits nowhere.
        Err(_) => usize::MAX,
    }
}

/// Counts what is written to it.
struct ByteCounter {
    bytes: usize,
}

impl io::Write for ByteCounter {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        self.bytes += buffer.len();
        Ok(buffer.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Escapes a key for use in a URL's path or query.
pub fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~/".contains(&byte) {
            out.push(byte as char);
        } else {
            out.push_str(&format!("%{byte:02X}"));
        }
    }
    out
}

/// Reverses [`escape`]; an invalid escape is kept as it is.
pub fn unescape(text: &str) -> String {
    let mut out = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        let code = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match code.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(decoded) if byte == b'%' => {
                out.push(decoded);
                rest = &tail[2..];
            }
            _ => {
                out.push(byte);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
