//! Identities of what may end an endpoint, the same across retries and VMs.

use std::collections::HashSet;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::id::SegmentId;

/// 128 bits, so that no caller can construct a request with the fingerprint of another one.
const FINGERPRINT_BYTES: usize = 16;
/// Domain separation of these hashes from all others.
const HASH_CONTEXT: &str = "bramleyseam request fingerprint";
const SEGMENT_HASH_CONTEXT: &str = "bramleyseam prompt segment fingerprint";
/// Segments of one prompt that are considered, from its start. Bounds the work and the reports that
/// one request causes: the runs of two full endpoints fit in the table of suspects.
const SEGMENTS_MAX: usize = 12;

/// Hash of a request or of a prompt segment, the same on all VMs. Ids and deadlines of requests
/// differ between attempts and are left out.
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

/// What a run may be suspected by: its whole request, and each prompt segment that other requests
/// may contain as well.
#[derive(Debug, Clone, PartialEq)]
pub struct RunIdentity {
    pub request: Fingerprint,
    /// Invariant: no id occurs twice.
    segments: Vec<SegmentId>,
}

impl RunIdentity {
    /// Creates the identity of a run from the ids of its prompt's segments. The last segment is the
    /// request's own and is left out.
    pub fn new(request: Fingerprint, prompt: impl IntoIterator<Item = SegmentId>) -> RunIdentity {
        let mut segments: Vec<SegmentId> = prompt.into_iter().take(SEGMENTS_MAX + 1).collect();
        segments.pop();
        let mut seen = HashSet::new();
        segments.retain(|segment| seen.insert(*segment));
        RunIdentity { request, segments }
    }

    pub fn segments(&self) -> &[SegmentId] {
        &self.segments
    }

    /// Fingerprints of the request and of its segments.
    pub fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        let segments = self.segments.iter();
        let segments = segments.map(|segment| Fingerprint::of_segment(*segment));
        std::iter::once(self.request).chain(segments)
    }
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
        Fingerprint::finalize(&hasher)
    }

    /// Computes the fingerprint of a prompt segment, which doesn't depend on the callers that use
    /// it: all of their requests end the endpoints that run them.
    pub fn of_segment(segment: SegmentId) -> Fingerprint {
        let mut hasher = blake3::Hasher::new_derive_key(SEGMENT_HASH_CONTEXT);
        hasher.update(&segment.to_le_bytes());
        Fingerprint::finalize(&hasher)
    }

    fn finalize(hasher: &blake3::Hasher) -> Fingerprint {
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
