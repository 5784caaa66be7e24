//! The record of a batch job whose results are read one by one while it runs, and its transitions.
//!
//! A job of a few hundred items is one record, written by compare-and-swap, beside write-once parts
//! with its items and its results. Each transition is a pure function from the record that stands
//! to the one that takes its place.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use crate::id::{Epoch, JobId, Name, Nonce, OwnerId};

/// Items of one job at the most; larger jobs go by the chunked way of `decide::jobs`.
pub const ITEMS_MAX: usize = 200;
/// Bytes of one write-once part at the most: a value of the store holds 1 MiB, and its base64 form
/// on the way is a third longer.
pub const PART_BYTES_MAX: usize = 700 * 1024;
/// Texts listed by one write at the most: keeps a transaction below the store's 32 entries.
pub const PARTS_PER_WRITE: usize = 8;

/// Position of an item in its job.
pub type ItemIndex = u32;

/// One item as it was submitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    pub id: Name,
    pub path: String,
    pub headers: Vec<(String, String)>,
    /// The body, in base64.
    pub body: String,
    /// Tokens read and made, at the most; 0 where the caller doesn't say.
    #[serde(default)]
    pub tokens: u32,
}

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    Completed,
    Errored,
}

/// One listed result. Its place in the list never changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedResult {
    pub item: ItemIndex,
    pub outcome: Outcome,
    /// The part that holds its text.
    pub part: u32,
}

/// One job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub id: JobId,
    /// Host that the job was submitted to; its items go by the routes of this host.
    pub host: Name,
    /// Route that it was submitted by; its limit counts the job's tokens.
    #[serde(default)]
    pub route: Name,
    /// Whose it is; nobody else may read or end it. `None` where callers need no keys.
    #[serde(default)]
    pub workspace: Option<Name>,
    /// Process that runs the items; 0 when it was handed over.
    pub owner: OwnerId,
    /// Grows with each claim. Invariant: results are listed under the epoch of their claim.
    pub epoch: Epoch,
    /// Wall-clock time of the first submission; only orders jobs, since clocks may jump.
    pub created_ms: u64,
    pub due_ms: u64,
    pub retention_ms: u64,
    /// Ids of the items, in the order of submission. Invariant: no id twice.
    pub items: Vec<Name>,
    /// Tokens of each item, read and made, at the most. Empty where callers don't say.
    #[serde(default)]
    pub tokens: Vec<u32>,
    /// First item of each part with bodies.
    pub body_parts: Vec<ItemIndex>,
    /// Invariant: only grows at its end, and holds no item twice.
    pub listed: Vec<ListedResult>,
    /// Parts with texts so far.
    pub text_parts: u32,
    /// Failed runs of items that are not listed, so that a new owner counts on.
    pub failures: Vec<(ItemIndex, u32)>,
    pub cancelled: bool,
    pub nonce: Nonce,
}

/// What a run of an item left behind.
#[derive(Debug, Clone, PartialEq)]
pub struct Finished {
    pub item: ItemIndex,
    pub outcome: Outcome,
    pub text: String,
}

/// Results laid out for one write.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    pub record: Record,
    /// New text parts by number; each holds the texts of its results in order.
    pub parts: Vec<(u32, Vec<String>)>,
}

impl Record {
    /// Whether every item is listed.
    pub fn complete(&self) -> bool {
        self.listed.len() == self.items.len()
    }

    /// Whether nothing more will be run.
    pub fn ended(&self) -> bool {
        self.cancelled || self.complete()
    }

    /// The record with a claim; `None` when there is nothing left to run.
    pub fn claim(&self, owner: OwnerId, nonce: Nonce) -> Option<Record> {
        (!self.ended()).then(|| Record {
            owner,
            epoch: self.epoch + 1,
            nonce,
            ..self.clone()
        })
    }

    /// The record for another owner; 0 for whoever claims it first.
    pub fn hand_over(&self, owner: OwnerId, to: OwnerId, nonce: Nonce) -> Option<Record> {
        (self.owner == owner && !self.ended()).then(|| Record {
            owner: to,
            // Results are listed under the epoch of their owner, and this one's have all been.
            epoch: self.epoch + 1,
            nonce,
            ..self.clone()
        })
    }

    /// The record with its end; `None` when it had been ended before.
    pub fn cancel(&self, nonce: Nonce) -> Option<Record> {
        (!self.cancelled).then(|| Record {
            cancelled: true,
            nonce,
            ..self.clone()
        })
    }

    /// Tokens of the items that still have to be run.
    pub fn open_tokens(&self) -> u64 {
        if self.cancelled {
            return 0;
        }
        let all: u64 = self.tokens.iter().map(|tokens| u64::from(*tokens)).sum();
        let tokens_of = |row: &ListedResult| self.tokens.get(row.item as usize).copied();
        let listed = self.listed.iter().filter_map(tokens_of);
        all.saturating_sub(listed.map(u64::from).sum())
    }

    /// Items that still have to be run.
    pub fn open_items(&self) -> Vec<ItemIndex> {
        let mut open = vec![true; self.items.len()];
        for listed in &self.listed {
            if let Some(slot) = open.get_mut(listed.item as usize) {
                *slot = false;
            }
        }
        (0..self.items.len() as ItemIndex)
            .filter(|item| open[*item as usize])
            .collect()
    }

    /// Whether an item is listed.
    pub fn is_listed(&self, item: ItemIndex) -> bool {
        self.listed.iter().any(|listed| listed.item == item)
    }

    /// Lists results and counts failures; `None` when `owner` no longer holds the claim `epoch`, or
    /// when there is nothing to write. Results of items that are listed already are dropped.
    ///
    /// The failure: a VM that was paused wakes after another took its jobs over, and lists an item a
    /// second time. Owner and epoch are compared with the record that the write replaces, and the
    /// write's condition is that this record still stands.
    pub fn list(
        &self,
        owner: OwnerId,
        epoch: Epoch,
        finished: &[Finished],
        failures: &[(ItemIndex, u32)],
        nonce: Nonce,
    ) -> Option<Listing> {
        if self.owner != owner || self.epoch != epoch || self.cancelled {
            return None;
        }
        let mut record = self.clone();
        let mut parts: Vec<(u32, Vec<String>)> = Vec::new();
        let mut bytes = usize::MAX;
        for result in finished {
            if record.is_listed(result.item) {
                continue;
            }
            if bytes.saturating_add(result.text.len()) > PART_BYTES_MAX {
                if parts.len() == PARTS_PER_WRITE {
                    break;
                }
                parts.push((record.text_parts, Vec::new()));
                record.text_parts += 1;
                bytes = 0;
            }
            let Some((part, texts)) = parts.last_mut() else {
                break;
            };
            bytes += result.text.len();
            texts.push(result.text.clone());
            record.listed.push(ListedResult {
                item: result.item,
                outcome: result.outcome,
                part: *part,
            });
        }
        for (item, count) in failures {
            record.count_failures(*item, *count);
        }
        let listed = &record.listed;
        record
            .failures
            .retain(|(item, _)| !listed.iter().any(|row| row.item == *item));
        record.nonce = nonce;
        let changed = record.listed != self.listed || record.failures != self.failures;
        changed.then_some(Listing { record, parts })
    }

    fn count_failures(&mut self, item: ItemIndex, count: u32) {
        match self.failures.iter_mut().find(|(known, _)| *known == item) {
            Some((_, known)) => *known = (*known).max(count),
            None => self.failures.push((item, count)),
        }
    }

    /// Where the text of the result at `position` lies: its part, and its place in it.
    pub fn text_place(&self, position: usize) -> Option<(u32, usize)> {
        let row = self.listed.get(position)?;
        let before = self.listed[..position].iter().rev();
        let place = before.take_while(|other| other.part == row.part).count();
        Some((row.part, place))
    }

    /// The part that holds an item's body, and its place in it.
    pub fn body_place(&self, item: ItemIndex) -> Option<(u32, usize)> {
        let part = self.body_parts.partition_point(|first| *first <= item);
        let part = part.checked_sub(1)?;
        Some((part as u32, (item - self.body_parts[part]) as usize))
    }
}

/// The first id that two items share.
pub fn named_twice(items: &[Item]) -> Option<&Name> {
    let mut seen = HashSet::new();
    let mut ids = items.iter().map(|item| &item.id);
    ids.find(|id| !seen.insert(*id))
}

/// Cuts items into parts that a value of the store holds; `None` when one item alone is too large.
pub fn body_parts(items: &[Item]) -> Option<Vec<Vec<Item>>> {
    let mut parts: Vec<Vec<Item>> = Vec::new();
    let mut bytes = usize::MAX;
    for item in items {
        let own = item_bytes(item);
        if own > PART_BYTES_MAX {
            return None;
        }
        if bytes.saturating_add(own) > PART_BYTES_MAX {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += own;
        parts.last_mut()?.push(item.clone());
    }
    Some(parts)
}

/// Upper bound of the bytes that an item takes as JSON.
fn item_bytes(item: &Item) -> usize {
    let headers = item.headers.iter().map(|(k, v)| k.len() + v.len() + 8);
    64 + item.id.len() + 2 * item.path.len() + item.body.len() + headers.sum::<usize>()
}

/// Prefix of the records; these are watched.
pub const RECORDS: &str = "small/live/job/";

/// Key of a job's record.
pub fn record_key(job: &str) -> String {
    format!("{RECORDS}{job}")
}

/// Key of a part with items.
pub fn body_key(job: &str, part: u32) -> String {
    format!("small/body/{job}/{part:04}")
}

/// Key of the text of items under way. Written by the job's owner only, over what stood.
pub fn progress_key(job: &str) -> String {
    format!("small/progress/{job}")
}

/// Key of a part with texts. Parts and record are one transaction, so a number is never used twice.
pub fn text_key(job: &str, part: u32) -> String {
    format!("small/text/{job}/{part:04}")
}
