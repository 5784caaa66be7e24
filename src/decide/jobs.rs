//! The records of batch jobs in the key-value service, and their transitions.
//!
//! Each transition is a pure function from the record that stands to the one to be written in its
//! place by compare-and-swap. Which transitions are allowed is decided here alone.

use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use crate::id::{DomainId, Epoch, JobId, Name, Nonce, OwnerId};

/// Items in one chunk at the most.
pub const CHUNK_ITEMS_MAX: usize = 4096;
/// Items in one chunk at the least, so that a small job does not cost a write an item.
pub const CHUNK_ITEMS_MIN: usize = 32;
/// Chunks that a job is cut into while its size allows, so that several VMs share it.
pub const CHUNKS_WANTED: usize = 16;
/// Bytes in one chunk at the most; a longer one ends early.
pub const CHUNK_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Where one write-once piece of content lies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ContentLocation {
    /// In the key-value service, under its digest.
    Inline,
    /// In the key-value service, in so many values under its digest.
    Parts(u32),
    /// On the disks of these VMs.
    Bulk(Vec<Name>),
}

/// One write-once piece of content: lines of JSON.
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
    /// What its lines ask for: `model:NAME` and `service:NAME`, each once.
    pub targets: Vec<String>,
    /// One for each chunk of a job over this file.
    pub segments: Vec<Segment>,
}

/// The state of a job, in the words of the batch interface.
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
    /// Whether nothing more happens to the job.
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
    /// What its items ask for, as in the file's record.
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

    /// The record with its end, from its chunks; `None` while a chunk is open or the job has ended.
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
            // Every item was done before the cancellation reached it.
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
    /// Ended before every item had one: the job was cancelled, or its deadline passed.
    Stopped,
}

/// A set of item numbers of one chunk.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ItemSet {
    words: Vec<u64>,
}

impl ItemSet {
    /// Adds an item; false when it was in already.
    pub fn insert(&mut self, item: u32) -> bool {
        let (word, bit) = (item as usize / 64, 1u64 << (item % 64));
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        let fresh = self.words[word] & bit == 0;
        self.words[word] |= bit;
        fresh
    }

    /// Takes an item out.
    pub fn remove(&mut self, item: u32) {
        if let Some(word) = self.words.get_mut(item as usize / 64) {
            *word &= !(1u64 << (item % 64));
        }
    }

    /// Whether an item is in.
    pub fn contains(&self, item: u32) -> bool {
        let word = self.words.get(item as usize / 64);
        word.is_some_and(|word| word & (1u64 << (item % 64)) != 0)
    }

    /// Number of items in the set.
    pub fn len(&self) -> u32 {
        self.words.iter().map(|word| word.count_ones()).sum()
    }

    /// Whether no item is in.
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

/// One chunk. Results count once they are in here.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// The batch process that works on it; 0 when it was handed over. A process that is started
    /// again is another owner: it knows nothing of what the one before held.
    pub owner: OwnerId,
    pub owner_domain: DomainId,
    /// Grows with each claim. Invariant: a write by an owner carries the epoch of its claim.
    pub epoch: Epoch,
    pub state: ChunkState,
    /// Items whose result is in `segments`.
    pub done: ItemSet,
    /// Non-repeatable items that may have reached an endpoint. Invariant: such an item is in here
    /// before its first byte goes out.
    pub started: ItemSet,
    pub segments: Vec<ResultSegment>,
    pub counts: ItemCounts,
    pub nonce: Nonce,
}

impl ChunkRecord {
    /// The record with a claim by `owner`; `None` when the chunk has ended.
    pub fn claim(
        before: Option<&ChunkRecord>,
        owner: OwnerId,
        owner_domain: DomainId,
        nonce: Nonce,
    ) -> Option<ChunkRecord> {
        match before {
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

/// Key of a job record; these are watched.
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

/// Key of one part of a segment that no value holds.
pub fn part_key(digest: &str, part: u32) -> String {
    format!("segment/{digest}/{part:04}")
}

/// Items a chunk of a job with `lines` items holds.
pub fn chunk_items(lines: usize) -> usize {
    lines
        .div_ceil(CHUNKS_WANTED)
        .clamp(CHUNK_ITEMS_MIN, CHUNK_ITEMS_MAX)
}
