//! The record of a batch job whose results are read one by one while it runs, and its transitions.
//!
//! A job of up to [`ITEMS_MAX`] items is one record, written by compare-and-swap, with immutable
//! parts for its items and its results. Each transition is a pure function from the stored record
//! to the one that replaces it.

use std::collections::HashSet;
use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use crate::id::{Epoch, JobId, Name, Nonce, OwnerId};
use crate::util::json_bytes;

/// Maximum number of items of one job; larger jobs use the chunked records of `decide::jobs`.
pub const ITEMS_MAX: usize = 200;
/// Maximum number of headers of one item.
pub const ITEM_HEADERS_MAX: usize = 128;
/// Maximum size of one immutable part as it is stored, in JSON: a value of the store holds 1 MiB, and
/// its base64 form in transit is a third longer.
pub const PART_BYTES_MAX: usize = 700 * 1024;
/// Maximum size of one result's text in JSON. It fits a value of the store as well as a page of
/// results.
pub const TEXT_BYTES_MAX: usize = 900 * 1024;
/// Brackets of a list in JSON.
const LIST_BYTES: usize = 2;
/// Separator of two entries of a list in JSON.
const SEPARATOR_BYTES: usize = 1;
/// Maximum number of body parts, which are all written in one transaction.
pub const BODY_PARTS_MAX: usize = 22;
/// Maximum number of text parts per write; keeps a transaction below the store's limit of 32
/// entries.
pub const PARTS_PER_WRITE: usize = 8;

/// Largest entries of one item in a record: its result, its failures and a part, in JSON.
const ITEM_ENTRIES_BYTES: usize = 96;
/// Memory of a record without its items.
const RECORD_BYTES: usize = 512;
/// Memory of an item, or of one of its headers, beside its text.
const ITEM_ROW_BYTES: usize = 64;

/// More failed runs than an item can have in its time.
const FAILURES_MAX: u32 = u32::MAX / 2;

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
    /// Maximum number of prompt and completion tokens; 0 when the caller doesn't specify it.
    #[serde(default)]
    pub tokens: u32,
}

impl Item {
    /// About how much memory the item takes.
    pub fn held_bytes(&self) -> usize {
        let headers = self.headers.iter();
        let header_bytes: usize = headers
            .map(|(name, value)| name.len() + value.len() + ITEM_ROW_BYTES)
            .sum();
        ITEM_ROW_BYTES + self.id.len() + self.path.len() + header_bytes + self.body.len()
    }
}

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ItemOutcome {
    Completed,
    Errored,
}

/// One listed result. Its position in the list never changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedResult {
    pub item: ItemIndex,
    pub outcome: ItemOutcome,
    /// The part that contains its text.
    pub part: u32,
}

/// One job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SmallJobRecord {
    pub id: JobId,
    /// Host that the job was submitted to; its items use the routes of this host.
    pub host: Name,
    /// Route that it was submitted on; its limit counts the job's tokens.
    #[serde(default)]
    pub route: Name,
    /// The workspace that owns the job; no other may read or end it. `None` where callers need no
    /// keys.
    #[serde(default)]
    pub workspace: Option<Name>,
    /// Process that runs the items; 0 when it was handed over.
    pub owner: OwnerId,
    /// Incremented with each claim. Invariant: results are listed under the epoch of their claim.
    pub epoch: Epoch,
    /// Wall-clock time of the first submission; used only to order jobs, since clocks may jump.
    pub created_ms: u64,
    pub due_ms: u64,
    pub retention_ms: u64,
    /// Ids of the items, in the order of submission. Invariant: the ids are unique.
    pub items: Vec<Name>,
    /// Maximum tokens of each item, prompt and completion. Empty when callers don't specify them.
    #[serde(default)]
    pub tokens: Vec<u32>,
    /// First item of each body part. A part with the same one as the part before it goes on with the
    /// body of that item.
    pub body_parts: Vec<ItemIndex>,
    /// Sizes of the body parts in bytes. Empty in records of programs that don't note them.
    #[serde(default)]
    pub body_part_bytes: Vec<u32>,
    /// Invariant: append-only, and each item is listed at most once.
    pub listed: Vec<ListedResult>,
    /// Number of text parts so far.
    pub text_parts: u32,
    /// Sizes of the text parts in bytes. Shorter than their number, or empty, if a program that
    /// doesn't note them has written the record.
    #[serde(default)]
    pub text_part_bytes: Vec<u32>,
    /// Failed runs of items that are not listed yet, so that a new owner continues the count.
    pub failures: Vec<(ItemIndex, u32)>,
    pub cancelled: bool,
    pub nonce: Nonce,
}

/// The result of an item's run.
#[derive(Debug, Clone, PartialEq)]
pub struct FinishedItem {
    pub item: ItemIndex,
    pub outcome: ItemOutcome,
    pub text: String,
}

/// The new record and text parts for one write.
#[derive(Debug, Clone, PartialEq)]
pub struct ListUpdate {
    pub record: SmallJobRecord,
    /// New text parts by number; each contains the texts of its results in order.
    pub parts: Vec<(u32, Vec<String>)>,
}

impl SmallJobRecord {
    /// Whether its counts are ones that transitions lead to, so that they can be counted on from
    /// there. A record under the right key may still come from another writer.
    pub fn is_consistent(&self) -> bool {
        let is_counted = |(_, count): &(ItemIndex, u32)| *count < FAILURES_MAX;
        self.items.len() <= ITEMS_MAX
            && self.body_parts.len() <= BODY_PARTS_MAX
            && self.text_parts as usize <= ITEMS_MAX
            && self.epoch < Epoch::MAX
            && self.failures.iter().all(is_counted)
    }

    /// Whether the record fits a value of the store, however far the job gets.
    pub fn fits_value(&self) -> bool {
        json_bytes(self) + self.items.len() * ITEM_ENTRIES_BYTES <= PART_BYTES_MAX
    }

    /// About how much memory the record takes.
    pub fn held_bytes(&self) -> usize {
        let item_bytes = |id: &Name| id.len() + ITEM_ROW_BYTES;
        RECORD_BYTES + self.items.iter().map(item_bytes).sum::<usize>()
    }

    /// Whether every item is listed.
    pub fn complete(&self) -> bool {
        self.listed.len() == self.items.len()
    }

    /// Whether no more items will be run.
    pub fn ended(&self) -> bool {
        self.cancelled || self.complete()
    }

    /// The record with a claim; `None` when no items are left to run.
    pub fn claim(&self, owner: OwnerId, nonce: Nonce) -> Option<SmallJobRecord> {
        (!self.ended()).then(|| SmallJobRecord {
            owner,
            epoch: self.epoch + 1,
            nonce,
            ..self.clone()
        })
    }

    /// The record handed over to another owner; 0 for the first process that claims it.
    pub fn hand_over(&self, owner: OwnerId, to: OwnerId, nonce: Nonce) -> Option<SmallJobRecord> {
        (self.owner == owner && !self.ended()).then(|| SmallJobRecord {
            owner: to,
            // Results are listed under the epoch of their owner, and all results of this owner have
            // been listed.
            epoch: self.epoch + 1,
            nonce,
            ..self.clone()
        })
    }

    /// The record with a cancellation; `None` when it was cancelled before.
    pub fn cancel(&self, nonce: Nonce) -> Option<SmallJobRecord> {
        (!self.cancelled).then(|| SmallJobRecord {
            cancelled: true,
            nonce,
            ..self.clone()
        })
    }

    /// Tokens of the items that have yet to run.
    pub fn open_tokens(&self) -> u64 {
        if self.cancelled {
            return 0;
        }
        let all: u64 = self.tokens.iter().map(|tokens| u64::from(*tokens)).sum();
        let tokens_of = |row: &ListedResult| self.tokens.get(row.item as usize).copied();
        let listed = self.listed.iter().filter_map(tokens_of);
        all.saturating_sub(listed.map(u64::from).sum())
    }

    /// Items that have yet to run.
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
    /// Without the checks, a VM that resumes from a pause after another VM took over its jobs would
    /// list an item a second time. Owner and epoch are compared with the record that the write
    /// replaces, and the write succeeds only while that record is unchanged.
    pub fn list(
        &self,
        owner: OwnerId,
        epoch: Epoch,
        finished: &[FinishedItem],
        failures: &[(ItemIndex, u32)],
        nonce: Nonce,
    ) -> Option<ListUpdate> {
        if self.owner != owner || self.epoch != epoch || self.cancelled {
            return None;
        }
        let mut record = self.clone();
        // A missing size must not shift those that follow.
        record.text_part_bytes.resize(self.text_parts as usize, 0);
        let mut parts: Vec<(u32, Vec<String>)> = Vec::new();
        let mut part_bytes = usize::MAX;
        for result in finished {
            if record.is_listed(result.item) {
                continue;
            }
            let text_bytes = json_bytes(&result.text) + SEPARATOR_BYTES;
            if part_bytes.saturating_add(text_bytes) > PART_BYTES_MAX {
                if parts.len() == PARTS_PER_WRITE {
                    break;
                }
                parts.push((record.text_parts, Vec::new()));
                record.text_parts += 1;
                record.text_part_bytes.push(0);
                part_bytes = LIST_BYTES;
            }
            let Some((part, texts)) = parts.last_mut() else {
                break;
            };
            part_bytes += text_bytes;
            if let Some(noted_bytes) = record.text_part_bytes.last_mut() {
                *noted_bytes = part_bytes as u32;
            }
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
        changed.then_some(ListUpdate { record, parts })
    }

    fn count_failures(&mut self, item: ItemIndex, count: u32) {
        match self.failures.iter_mut().find(|(known, _)| *known == item) {
            Some((_, known)) => *known = (*known).max(count),
            None => self.failures.push((item, count)),
        }
    }

    /// Location of the text of the result at `position`: its part, and its index in the part.
    pub fn text_location(&self, position: usize) -> Option<(u32, usize)> {
        let row = self.listed.get(position)?;
        let before = self.listed[..position].iter().rev();
        let index = before.take_while(|other| other.part == row.part).count();
        Some((row.part, index))
    }

    /// Size of the text parts with the results from a position on, up to `bytes_max` or one part.
    pub fn page_bytes(&self, position: usize, bytes_max: usize) -> usize {
        let mut page_bytes = 0;
        let mut last = None;
        for row in self.listed.iter().skip(position) {
            if last == Some(row.part) {
                continue;
            }
            last = Some(row.part);
            page_bytes += noted_bytes(&self.text_part_bytes, row.part).unwrap_or(TEXT_BYTES_MAX);
            if page_bytes >= bytes_max {
                break;
            }
        }
        page_bytes
    }

    /// Size of all body parts.
    pub fn items_bytes(&self) -> usize {
        (0..self.body_parts.len() as u32)
            .map(|part| noted_bytes(&self.body_part_bytes, part).unwrap_or(PART_BYTES_MAX))
            .sum()
    }

    /// Size of the parts with an item's body.
    pub fn body_bytes(&self, location: &BodyLocation) -> usize {
        let parts = location.parts.clone();
        let part_bytes = |part| noted_bytes(&self.body_part_bytes, part).unwrap_or(PART_BYTES_MAX);
        parts.map(part_bytes).sum()
    }

    /// Where an item's body is stored.
    pub fn body_location(&self, item: ItemIndex) -> Option<BodyLocation> {
        let last = self.body_parts.partition_point(|first| *first <= item);
        let last = last.checked_sub(1)?;
        let first = *self.body_parts.get(last)?;
        let first_part = self.body_parts.partition_point(|other| *other < first);
        Some(BodyLocation {
            parts: first_part as u32..=last as u32,
            index: (item - first) as usize,
        })
    }

    /// Whether a body part goes on with the item that the part before it begins.
    pub fn is_continued(&self, part: usize) -> bool {
        part > 0 && self.body_parts.get(part - 1) == self.body_parts.get(part)
    }
}

/// The noted size of a part.
fn noted_bytes(noted: &[u32], part: u32) -> Option<usize> {
    let bytes = noted.get(part as usize).copied();
    bytes.filter(|bytes| *bytes > 0).map(|bytes| bytes as usize)
}

/// Where an item's body is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodyLocation {
    /// The part with the item, and those that go on with its body if it is large.
    pub parts: RangeInclusive<u32>,
    /// Index of the item in its part.
    pub index: usize,
}

/// One body part.
#[derive(Debug, Clone, PartialEq)]
pub struct BodyPart {
    /// Its first item.
    pub first: ItemIndex,
    /// Whole items, or one that has a piece of its body here.
    pub items: Vec<Item>,
}

/// The first id that occurs twice.
pub fn duplicate_id(items: &[Item]) -> Option<&Name> {
    let mut seen = HashSet::new();
    let mut ids = items.iter().map(|item| &item.id);
    ids.find(|id| !seen.insert(*id))
}

/// Splits items into parts that fit a value of the store. An item that fits none has its body spread
/// over parts of its own. `None` if that is not possible, or if there are too many parts for one
/// transaction.
pub fn body_parts(items: Vec<Item>) -> Option<Vec<BodyPart>> {
    let mut parts: Vec<BodyPart> = Vec::new();
    let mut part_bytes = usize::MAX;
    for (index, item) in items.into_iter().enumerate() {
        let first = index as ItemIndex;
        let item_bytes = json_bytes(&item) + SEPARATOR_BYTES;
        if LIST_BYTES + item_bytes > PART_BYTES_MAX {
            let pieces = split_body(item)?.into_iter();
            parts.extend(pieces.map(|piece| BodyPart {
                first,
                items: vec![piece],
            }));
            part_bytes = usize::MAX;
            continue;
        }
        if part_bytes.saturating_add(item_bytes) > PART_BYTES_MAX {
            parts.push(BodyPart {
                first,
                items: Vec::new(),
            });
            part_bytes = LIST_BYTES;
        }
        part_bytes += item_bytes;
        parts.last_mut()?.items.push(item);
    }
    (parts.len() <= BODY_PARTS_MAX).then_some(parts)
}

/// Splits the body of an item into pieces that fit a value each; `None` if the rest of the item fits
/// none, or if the body is not base64.
fn split_body(item: Item) -> Option<Vec<Item>> {
    let is_base64 = |byte: u8| byte.is_ascii_alphanumeric() || b"+/=".contains(&byte);
    if !item.body.bytes().all(is_base64) {
        return None;
    }
    let body = item.body;
    let rest = Item {
        body: String::new(),
        ..item
    };
    let rest_bytes = json_bytes(&rest) + SEPARATOR_BYTES + LIST_BYTES;
    let piece_bytes = PART_BYTES_MAX.checked_sub(rest_bytes)?;
    if piece_bytes < PART_BYTES_MAX / 2 {
        return None;
    }
    let continued = Item {
        path: String::new(),
        headers: Vec::new(),
        ..rest.clone()
    };
    let pieces = (0..body.len()).step_by(piece_bytes).map(|from| {
        let body = &body[from..body.len().min(from + piece_bytes)];
        let item = if from == 0 { &rest } else { &continued };
        Item {
            body: body.to_owned(),
            ..item.clone()
        }
    });
    Some(pieces.collect())
}

/// Adds the items of a part. One that goes on with the last item of the part before it extends that
/// item's body.
pub fn join_part(items: &mut Vec<Item>, part: Vec<Item>, is_continued: bool) {
    let mut part = part.into_iter();
    if is_continued {
        if let (Some(item), Some(piece)) = (items.last_mut(), part.next()) {
            item.body.push_str(&piece.body);
        }
    }
    items.extend(part);
}

/// The entries of a list that fit one value of the store together, the first ones preferred.
pub fn fitting<T: Serialize>(entries: impl IntoIterator<Item = T>) -> Vec<T> {
    let mut list_bytes = LIST_BYTES;
    let fits = |entry: &T| {
        let with_entry = list_bytes.saturating_add(json_bytes(entry) + SEPARATOR_BYTES);
        let fits = with_entry <= PART_BYTES_MAX;
        if fits {
            list_bytes = with_entry;
        }
        fits
    };
    entries.into_iter().filter(fits).collect()
}

/// Prefix of the record keys; these keys are watched.
pub const RECORD_PREFIX: &str = "small/live/job/";

/// Key of a job's record.
pub fn record_key(job: &str) -> String {
    format!("{RECORD_PREFIX}{job}")
}

/// Key of a part with item bodies.
pub fn body_key(job: &str, part: u32) -> String {
    format!("small/body/{job}/{part:04}")
}

/// Key of the partial text of running items. Only the job's owner writes it, replacing the previous
/// value.
pub fn progress_key(job: &str) -> String {
    format!("small/progress/{job}")
}

/// Key of a part with result texts. Parts and record are written in one transaction, so a number is
/// never reused.
pub fn text_key(job: &str, part: u32) -> String {
    format!("small/text/{job}/{part:04}")
}
