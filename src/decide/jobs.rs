//! Records of batch jobs in the key-value service, and their transitions.
//!
//! Each transition is a pure function from the stored record to the one that replaces it by
//! compare-and-swap. All rules on allowed transitions are in this module.

use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use crate::id::{DomainId, Epoch, JobId, Name, Nonce, OwnerId};

/// Maximum number of items in a chunk.
pub const CHUNK_ITEMS_MAX: usize = 4096;
/// Minimum number of items in a chunk, so that a small job does not cost one write per item.
pub const CHUNK_ITEMS_MIN: usize = 32;
/// Number of chunks that a job is split into where its size allows, so that several VMs share it.
pub const CHUNKS_TARGET: usize = 16;
/// Maximum size of a chunk; a chunk that reaches it is ended early.
pub const CHUNK_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Where an immutable piece of content is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ContentLocation {
    /// In the key-value service, under its digest.
    Inline,
    /// In the key-value service, split into this many values under its digest.
    Parts(u32),
    /// On the disks of these VMs.
    Bulk(Vec<Name>),
}

/// One immutable piece of content: lines of JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    pub digest: String,
    pub bytes: u64,
    pub lines: u32,
    pub place: ContentLocation,
}

/// An input file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FileRecord {
    pub id: String,
    pub workspace: Name,
    pub created_ms: u64,
    pub bytes: u64,
    pub lines: u32,
    /// Models and services that its lines need: `model:NAME` and `service:NAME`, each once.
    pub targets: Vec<String>,
    /// One for each chunk of a job that uses this file.
    pub segments: Vec<Segment>,
}

/// The state of a job, with the names of the batch API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum JobState {
    InProgress,
    Completed,
    Cancelling,
    Cancelled,
    Expired,
}

impl JobState {
    /// Whether the job has reached a final state.
    pub fn ended(self) -> bool {
        matches!(
            self,
            JobState::Completed | JobState::Cancelled | JobState::Expired
        )
    }
}

/// Counts of items.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemCounts {
    pub total: u32,
    pub completed: u32,
    pub failed: u32,
}

/// One job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub id: JobId,
    pub workspace: Name,
    pub endpoint: String,
    pub file: String,
    /// Models and services that its items need, as in the file record.
    pub targets: Vec<String>,
    pub chunks: u32,
    pub state: JobState,
    pub created_ms: u64,
    pub deadline_ms: u64,
    pub ended_ms: Option<u64>,
    pub counts: ItemCounts,
    pub nonce: Nonce,
}

impl JobRecord {
    /// The record with a cancellation, or `None` when the job has ended or is being cancelled.
    pub fn cancel(&self, nonce: Nonce) -> Option<JobRecord> {
        (self.state == JobState::InProgress).then(|| JobRecord {
            state: JobState::Cancelling,
            nonce,
            ..self.clone()
        })
    }

    /// The record with the final state, computed from the chunks; `None` while a chunk is open or
    /// when the job has ended.
    pub fn finish(&self, chunks: &[ChunkRecord], now_ms: u64, nonce: Nonce) -> Option<JobRecord> {
        if self.state.ended() || chunks.len() < self.chunks as usize {
            return None;
        }
        if chunks.iter().any(|chunk| chunk.state == ChunkState::Open) {
            return None;
        }
        let mut counts = ItemCounts {
            total: self.counts.total,
            ..ItemCounts::default()
        };
        for chunk in chunks {
            counts.completed += chunk.counts.completed;
            counts.failed += chunk.counts.failed;
        }
        let stopped = chunks
            .iter()
            .any(|chunk| chunk.state == ChunkState::Stopped);
        let state = match self.state {
            // Every item was done before the cancellation took effect.
            JobState::Cancelling if !stopped => JobState::Completed,
            JobState::Cancelling => JobState::Cancelled,
            _ if stopped => JobState::Expired,
            _ => JobState::Completed,
        };
        Some(JobRecord {
            state,
            counts,
            nonce,
            ended_ms: Some(now_ms),
            ..self.clone()
        })
    }
}

/// The state of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChunkState {
    Open,
    /// Every item has its result.
    Complete,
    /// Ended before every item had a result: the job was cancelled, or its deadline passed.
    Stopped,
}

/// A set of item numbers of one chunk, stored as a bitmap.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ItemSet {
    words: Vec<u64>,
}

impl ItemSet {
    /// Adds an item; false when it was present already.
    pub fn insert(&mut self, item: u32) -> bool {
        let (word, bit) = (item as usize / 64, 1u64 << (item % 64));
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        let is_new = self.words[word] & bit == 0;
        self.words[word] |= bit;
        is_new
    }

    /// Removes an item.
    pub fn remove(&mut self, item: u32) {
        if let Some(word) = self.words.get_mut(item as usize / 64) {
            *word &= !(1u64 << (item % 64));
        }
    }

    /// Whether the set contains an item.
    pub fn contains(&self, item: u32) -> bool {
        let word = self.words.get(item as usize / 64);
        word.is_some_and(|word| word & (1u64 << (item % 64)) != 0)
    }

    /// Number of items in the set.
    pub fn len(&self) -> u32 {
        self.words.iter().map(|word| word.count_ones()).sum()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Serialize for ItemSet {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let text: Vec<String> = self.words.iter().map(|word| format!("{word:x}")).collect();
        serializer.serialize_str(&text.join("."))
    }
}

impl<'de> Deserialize<'de> for ItemSet {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<ItemSet, D::Error> {
        let text = String::deserialize(deserializer)?;
        let words: Result<Vec<u64>, _> = text
            .split('.')
            .filter(|word| !word.is_empty())
            .map(|word| u64::from_str_radix(word, 16))
            .collect();
        Ok(ItemSet {
            words: words.map_err(serde::de::Error::custom)?,
        })
    }
}

/// Results of one checkpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ResultSegment {
    pub segment: Segment,
    /// Lines of the error file, not of the output file.
    pub errors: bool,
}

/// One chunk. A result counts only once it is in this record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// The batch process that works on the chunk; 0 when it was handed over. A restarted process is
    /// a new owner, since it has lost its state.
    pub owner: OwnerId,
    pub owner_domain: DomainId,
    /// Incremented with each claim. Invariant: a write by an owner carries the epoch of its claim.
    pub epoch: Epoch,
    pub state: ChunkState,
    /// Items whose result is in `segments`.
    pub done: ItemSet,
    /// Non-repeatable items that an endpoint may have received. Invariant: such an item is in here
    /// before its first byte is sent.
    pub started: ItemSet,
    pub segments: Vec<ResultSegment>,
    pub counts: ItemCounts,
    pub nonce: Nonce,
}

impl ChunkRecord {
    /// The record with a claim by `owner`; `None` when the chunk has ended.
    pub fn claim(
        existing: Option<&ChunkRecord>,
        owner: OwnerId,
        owner_domain: DomainId,
        nonce: Nonce,
    ) -> Option<ChunkRecord> {
        match existing {
            None => Some(ChunkRecord {
                owner,
                owner_domain,
                epoch: 1,
                state: ChunkState::Open,
                done: ItemSet::default(),
                started: ItemSet::default(),
                segments: Vec::new(),
                counts: ItemCounts::default(),
                nonce,
            }),
            Some(record) if record.state == ChunkState::Open => Some(ChunkRecord {
                owner,
                owner_domain,
                epoch: record.epoch + 1,
                nonce,
                ..record.clone()
            }),
            Some(_) => None,
        }
    }
}

/// Key of a job record; these keys are watched.
pub fn job_key(job: &str) -> String {
    format!("live/job/{job}")
}

/// Key of a chunk record.
pub fn chunk_key(job: &str, chunk: u32) -> String {
    format!("chunk/{job}/{chunk:06}")
}

/// Key of a file record.
pub fn file_key(file: &str) -> String {
    format!("file/{file}")
}

/// Key of an inline segment.
pub fn segment_key(digest: &str) -> String {
    format!("segment/{digest}")
}

/// Key of one part of a segment that is too large for one value.
pub fn part_key(digest: &str, part: u32) -> String {
    format!("segment/{digest}/{part:04}")
}

/// Number of items in a chunk of a job with `lines` items.
pub fn chunk_items(lines: usize) -> usize {
    lines
        .div_ceil(CHUNKS_TARGET)
        .clamp(CHUNK_ITEMS_MIN, CHUNK_ITEMS_MAX)
}
