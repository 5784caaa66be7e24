//! Immutable content: stored inline in the key-value service, or as copies on VMs with disks.

use std::time::Duration;

use bytes::Bytes;
use snafu::Snafu;

use crate::clock;
use crate::decide::jobs::{part_key, segment_key, ContentLocation, Segment};
use crate::id::{self, ranked, Name};
use crate::peer;
use crate::platform::{CommitOutcome, Platform, VALUE_BYTES_MAX};
use crate::settings::BulkPeer;
use crate::wire::{Key, PeerReply, PeerRequest};

/// Largest content that is stored inline.
pub const INLINE_BYTES_MAX: usize = VALUE_BYTES_MAX / 2;
/// Most parts of one piece of content: a chunk of a job has 4 MiB plus at most one line.
const PARTS_MAX: usize = 16;
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
const BULK_TIMEOUT: Duration = Duration::from_secs(5);

/// Why content could not be stored or read.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("the platform is away"))]
    Platform,
    #[snafu(display("only {got} of {wanted} copies could be made in distinct failure domains"))]
    Copies { got: usize, wanted: usize },
    #[snafu(display("{bytes} bytes are too large to keep without VMs with disks"))]
    TooLarge { bytes: usize },
    #[snafu(display("no copy of {digest} can be read"))]
    Missing { digest: String },
}

/// Stores and reads content.
#[derive(Clone)]
pub struct Segments {
    pub platform: Platform,
    pub key: Key,
    pub bulk: Vec<BulkPeer>,
    pub copies: usize,
}

impl Segments {
    /// Stores content; it is durable when this returns.
    pub fn store(&self, content: &Bytes, lines: u32, inline: bool) -> Result<Segment, Error> {
        let digest = id::digest(content);
        let location = if inline && content.len() <= INLINE_BYTES_MAX {
            self.store_inline(&digest, content)?
        } else if self.bulk.is_empty() {
            self.store_parts(&digest, content)?
        } else {
            self.store_bulk(&digest, content)?
        };
        Ok(Segment {
            digest,
            bytes: content.len() as u64,
            lines,
            place: location,
        })
    }

    fn store_inline(&self, digest: &str, content: &Bytes) -> Result<ContentLocation, Error> {
        let text = String::from_utf8_lossy(content);
        let until = clock::now() + COMMIT_TIMEOUT;
        match self.platform.commit(&segment_key(digest), 0, &text, until) {
            // Equal digests mean equal content, whichever process wrote it.
            CommitOutcome::Won(_) | CommitOutcome::Lost(Some(_)) => Ok(ContentLocation::Inline),
            _ => PlatformSnafu.fail(),
        }
    }

    /// Stores content that is too large for one value as several values, when no VM has a disk.
    fn store_parts(&self, digest: &str, content: &Bytes) -> Result<ContentLocation, Error> {
        let Ok(text) = std::str::from_utf8(content) else {
            return TooLargeSnafu {
                bytes: content.len(),
            }
            .fail();
        };
        let parts = split(text, INLINE_BYTES_MAX);
        if parts.len() > PARTS_MAX {
            return TooLargeSnafu {
                bytes: content.len(),
            }
            .fail();
        }
        for (number, part) in parts.iter().enumerate() {
            let until = clock::now() + COMMIT_TIMEOUT;
            let key = part_key(digest, number as u32);
            match self.platform.commit(&key, 0, part, until) {
                // Equal digests mean equal content, split the same way, whichever process wrote it.
                CommitOutcome::Won(_) | CommitOutcome::Lost(Some(_)) => {}
                _ => return PlatformSnafu.fail(),
            }
        }
        Ok(ContentLocation::Parts(parts.len() as u32))
    }

    fn store_bulk(&self, digest: &str, content: &Bytes) -> Result<ContentLocation, Error> {
        let mut domains: Vec<&Name> = Vec::new();
        let mut names = Vec::new();
        let request = PeerRequest::Put {
            digest: digest.to_owned(),
            content: content.clone(),
        };
        for peer in self.ranked(digest) {
            if names.len() == self.copies {
                break;
            }
            if domains.contains(&&peer.failure_domain) {
                continue;
            }
            let reply = peer::call(peer.address, &self.key, &request, BULK_TIMEOUT);
            if matches!(reply, Ok(PeerReply::Stored)) {
                domains.push(&peer.failure_domain);
                names.push(peer.name.clone());
            }
        }
        if names.len() < self.copies {
            return CopiesSnafu {
                got: names.len(),
                wanted: self.copies,
            }
            .fail();
        }
        Ok(ContentLocation::Bulk(names))
    }

    /// All VMs with disks, those that should store this content first.
    fn ranked(&self, digest: &str) -> Vec<&BulkPeer> {
        let order = ranked(
            id::of(digest),
            self.bulk.iter().map(|peer| id::of(&peer.name)),
        );
        let find = |id: &u64| self.bulk.iter().find(|peer| id::of(&peer.name) == *id);
        order.iter().filter_map(find).collect()
    }

    /// Reads content from the first copy that matches its digest.
    pub fn load(&self, segment: &Segment) -> Result<Bytes, Error> {
        let digest = &segment.digest;
        let names = match &segment.place {
            ContentLocation::Inline => return self.load_inline(digest),
            ContentLocation::Parts(count) => return self.load_parts(digest, *count),
            ContentLocation::Bulk(names) => names,
        };
        // Repair may have moved copies since the record was written: all VMs with disks are asked,
        // those named in the record first.
        let mut peers = self.ranked(digest);
        peers.sort_by_key(|peer| !names.contains(&peer.name));
        let request = PeerRequest::Get {
            digest: digest.clone(),
        };
        for peer in peers {
            let reply = peer::call(peer.address, &self.key, &request, BULK_TIMEOUT);
            if let Ok(PeerReply::Content(Some(content))) = reply {
                if id::digest(&content) == *digest {
                    return Ok(content);
                }
            }
        }
        MissingSnafu { digest }.fail()
    }

    fn load_inline(&self, digest: &str) -> Result<Bytes, Error> {
        match self.platform.get(&segment_key(digest)) {
            Ok(Some(entry)) if id::digest(entry.value.as_bytes()) == *digest => {
                Ok(entry.value.into())
            }
            Ok(_) => MissingSnafu { digest }.fail(),
            Err(_) => PlatformSnafu.fail(),
        }
    }

    fn load_parts(&self, digest: &str, count: u32) -> Result<Bytes, Error> {
        let mut content = String::new();
        for number in 0..count {
            match self.platform.get(&part_key(digest, number)) {
                Ok(Some(entry)) => content.push_str(&entry.value),
                Ok(None) => return MissingSnafu { digest }.fail(),
                Err(_) => return PlatformSnafu.fail(),
            }
        }
        match id::digest(content.as_bytes()) == *digest {
            true => Ok(content.into()),
            false => MissingSnafu { digest }.fail(),
        }
    }
}

/// Splits text into parts of at most `bytes_max` bytes, at character boundaries.
fn split(text: &str, bytes_max: usize) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while rest.len() > bytes_max {
        let at = (0..=bytes_max).rev().find(|at| rest.is_char_boundary(*at));
        let (part, left) = rest.split_at(at.unwrap_or(rest.len()));
        parts.push(part);
        rest = left;
    }
    parts.push(rest);
    parts
}
