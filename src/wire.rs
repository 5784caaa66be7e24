//! Messages between the processes of this system: `postcard`, versioned, authenticated,
//! size-limited.

use std::io::{self, Read, Write};

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::config::Versioned;
use crate::decide::batch::place::BatchPeers;
use crate::decide::fleet::Heartbeat;
use crate::decide::intents::{IntentKey, IntentRequest, IntentVerdict};
use crate::decide::jobs::JobRecord;
use crate::id::{ConfigVersion, EndpointId, OwnerId, Revision, ServiceId};

/// Version of all formats in this module.
pub const VERSION: u8 = 2;
/// Largest datagram: fits into one packet, with room for tunnel headers.
pub const DATAGRAM_BYTES_MAX: usize = 1400;
/// Largest frame.
pub const FRAME_BYTES_MAX: usize = 16 * 1024 * 1024;
const MAC_BYTES: usize = 16;

/// Why a message was rejected.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("the message is too short or too long"))]
    Size,
    #[snafu(display("the message has version {version}, not {VERSION}"))]
    Version { version: u8 },
    #[snafu(display("the message is not from this cluster"))]
    Mac,
    #[snafu(display("the message can't be read: {source}"))]
    Codec { source: postcard::Error },
    #[snafu(display("the connection failed: {source}"))]
    Io { source: io::Error },
}

/// A UDP message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    Heartbeat(Heartbeat),
    /// Online requests have arrived at an endpoint whose batch items another VM dispatches.
    Pressure {
        endpoint: EndpointId,
        online: u32,
    },
}

/// A request of one VM to another, over TCP.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Returns the configuration if it is newer than `have`.
    Config { have: ConfigVersion },
    /// Returns the job records that changed after this revision.
    Jobs { after: Revision },
    /// A request to the owner of a range of intents.
    Intent {
        key: IntentKey,
        request: IntentRequest,
    },
    /// Stores this content.
    Put { digest: String, content: Bytes },
    /// Returns this content.
    Get { digest: String },
    /// Returns which of these digests are stored.
    Has { digests: Vec<String> },
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    Config(Option<Box<Versioned>>),
    Jobs {
        revision: Revision,
        records: Vec<(Revision, JobRecord)>,
    },
    Intent(IntentVerdict),
    Stored,
    Content(Option<Bytes>),
    Has(Vec<bool>),
    /// The request can't be served; the reason.
    Refused(String),
}

/// From the entry process to the batch process of the same VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToBatch {
    Config(Box<Versioned>),
    /// All jobs that have not ended.
    Jobs(Vec<JobRecord>),
    Peers(BatchPeers),
    /// Batch items that each endpoint may run now.
    Windows(Vec<(EndpointId, ServiceId, u32)>),
    /// The VM is leaving: hand over all claimed work.
    Leave,
}

/// From the batch process to the entry process of the same VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Id of the batch process if it accepts or still holds work, else 0.
    Ready(OwnerId),
}

/// The key that authenticates messages.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from the operators' secret.
    pub fn new(secret: &str) -> Key {
        Key(blake3::derive_key(
            "bramleyseam cluster messages",
            secret.as_bytes(),
        ))
    }

    fn mac(&self, payload: &[u8]) -> [u8; MAC_BYTES] {
        let hash = blake3::keyed_hash(&self.0, payload);
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&hash.as_bytes()[..MAC_BYTES]);
        mac
    }

    /// Encodes a message with the version and its MAC.
    pub fn seal(&self, message: &impl Serialize) -> Result<Vec<u8>, Error> {
        let mut out = vec![0; 1 + MAC_BYTES];
        out[0] = VERSION;
        out = postcard::to_extend(message, out).map_err(|source| Error::Codec { source })?;
        let mac = self.mac(&out[1 + MAC_BYTES..]);
        out[1..=MAC_BYTES].copy_from_slice(&mac);
        Ok(out)
    }

    /// Decodes a message; the payload is parsed only after its MAC has been verified.
    pub fn open<T: DeserializeOwned>(&self, sealed: &[u8]) -> Result<T, Error> {
        if sealed.len() < 1 + MAC_BYTES || sealed.len() > FRAME_BYTES_MAX {
            return SizeSnafu.fail();
        }
        if sealed[0] != VERSION {
            return VersionSnafu { version: sealed[0] }.fail();
        }
        let (mac, payload) = sealed[1..].split_at(MAC_BYTES);
        // `blake3::Hash` compares in constant time.
        let expected = blake3::keyed_hash(&self.0, payload);
        let mut received = *expected.as_bytes();
        received[..MAC_BYTES].copy_from_slice(mac);
        if expected != blake3::Hash::from(received) {
            return MacSnafu.fail();
        }
        decode(payload)
    }
}

/// Decodes what `postcard` encoded; trailing bytes are an error.
pub fn decode<T: DeserializeOwned>(payload: &[u8]) -> Result<T, Error> {
    let (message, rest) =
        postcard::take_from_bytes(payload).map_err(|source| Error::Codec { source })?;
    match rest.is_empty() {
        true => Ok(message),
        false => SizeSnafu.fail(),
    }
}

/// Writes one frame: its length, then the sealed message.
pub fn write_frame(out: &mut impl Write, key: &Key, message: &impl Serialize) -> Result<(), Error> {
    let sealed = key.seal(message)?;
    if sealed.len() > FRAME_BYTES_MAX {
        return SizeSnafu.fail();
    }
    let mut frame = (sealed.len() as u32).to_le_bytes().to_vec();
    frame.extend_from_slice(&sealed);
    out.write_all(&frame)
        .and_then(|()| out.flush())
        .map_err(|source| Error::Io { source })
}

/// Reads one frame. Memory grows with the bytes received, not with the announced length.
pub fn read_frame<T: DeserializeOwned>(input: &mut impl Read, key: &Key) -> Result<T, Error> {
    let mut length = [0; 4];
    input
        .read_exact(&mut length)
        .map_err(|source| Error::Io { source })?;
    let length = u32::from_le_bytes(length) as usize;
    if length > FRAME_BYTES_MAX {
        return SizeSnafu.fail();
    }
    let mut sealed = Vec::new();
    let read = input.take(length as u64).read_to_end(&mut sealed);
    read.map_err(|source| Error::Io { source })?;
    if sealed.len() < length {
        return SizeSnafu.fail();
    }
    key.open(&sealed)
}
