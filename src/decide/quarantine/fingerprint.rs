//! What counts as the same request.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Bytes of a fingerprint: nobody can make a request that has another one's.
const BYTES: usize = 16;
/// Keeps these hashes apart from all others; any constant does.
const CONTEXT: &str = "bramleyseam request fingerprint";

/// Hash of what was asked, alike on all VMs; ids and deadlines differ with each try and are left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint([u8; BYTES]);

/// What was asked.
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity<'a> {
    /// What names the caller. Requests of two callers are never the same one, so that none can have another
    /// one's request refused by sending it too.
    pub caller: &'a [u8],
    pub method: &'a str,
    pub host: &'a [u8],
    /// Path and query.
    pub target: &'a str,
    pub body: &'a [u8],
}

/// Text that is no fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("not a fingerprint: {} hexadecimal digits are expected", BYTES * 2))]
pub struct InvalidFingerprint;

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn of(asked: &RequestIdentity<'_>) -> Fingerprint {
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        let head = [
            asked.caller,
            asked.method.as_bytes(),
            asked.host,
            asked.target.as_bytes(),
        ];
        for field in head {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        hasher.update(asked.body);
        let mut bytes = [0; BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Fingerprint(bytes)
    }

    /// A number for rendezvous hashing.
    pub fn key(&self) -> u64 {
        self.0
            .iter()
            .take(8)
            .fold(0, |key, byte| key << 8 | u64::from(*byte))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(to, "{byte:02x}"))
    }
}

impl FromStr for Fingerprint {
    type Err = InvalidFingerprint;

    fn from_str(text: &str) -> Result<Fingerprint, InvalidFingerprint> {
        if text.len() != BYTES * 2 || !text.is_ascii() {
            return Err(InvalidFingerprint);
        }
        let mut bytes = [0; BYTES];
        for (at, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[at * 2..at * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| InvalidFingerprint)?;
        }
        Ok(Fingerprint(bytes))
    }
}
