//! Identity of a request across retries and VMs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// 128 bits, so that no caller can construct a request with the fingerprint of another one.
const FINGERPRINT_BYTES: usize = 16;
/// Domain separation of these hashes from all others.
const HASH_CONTEXT: &str = "bramleyseam request fingerprint";

/// Hash of a request, the same on all VMs. Ids and deadlines differ between attempts and are left
/// out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

/// The parts of a request that its fingerprint covers.
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity<'a> {
    /// Identifies the caller. Requests of two callers never have the same fingerprint, so that no
    /// caller can get another caller's request quarantined by sending it too.
    pub caller: &'a [u8],
    pub method: &'a str,
    pub host: &'a [u8],
    /// Path and query.
    pub target: &'a str,
    pub body: &'a [u8],
}

/// Error for a text that is not a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("invalid fingerprint: expected {} hexadecimal digits", FINGERPRINT_BYTES * 2))]
pub struct InvalidFingerprint;

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(request: &RequestIdentity<'_>) -> Fingerprint {
        let mut hasher = blake3::Hasher::new_derive_key(HASH_CONTEXT);
        let head = [
            request.caller,
            request.method.as_bytes(),
            request.host,
            request.target.as_bytes(),
        ];
        for field in head {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        hasher.update(request.body);
        let mut bytes = [0; FINGERPRINT_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Fingerprint(bytes)
    }

    /// Key for rendezvous hashing.
    pub fn rendezvous_key(&self) -> u64 {
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
        if text.len() != FINGERPRINT_BYTES * 2 || !text.is_ascii() {
            return Err(InvalidFingerprint);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        for (at, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[at * 2..at * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| InvalidFingerprint)?;
        }
        Ok(Fingerprint(bytes))
    }
}
