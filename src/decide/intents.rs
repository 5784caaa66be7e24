//! At-most-once execution: records which idempotency keys were started and how they ended.
//!
//! Keys are partitioned into ranges. Each range is a log of pages in the key-value store, one store
//! key per page, and pages are only ever created. A writer has read all earlier pages before it
//! creates page `n`. If two writers begin the same key, the one whose page comes second therefore
//! sees the first one's page and does not begin. One write carries all requests collected since the
//! last write.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::commit::{Commit, Step, WriteOutcome};
use crate::id::{self, Nonce, Revision};
use crate::util::json_bytes;

/// Number of ranges; part of the storage format.
pub const RANGES: u64 = 4;
/// Shortest interval between two writes of one range.
pub const WRITE_INTERVAL_MIN: Duration = Duration::from_millis(50);
/// Maximum number of entries in one page.
pub const PAGE_ENTRIES_MAX: usize = 256;
/// Maximum size of the recorded answers in one page, in bytes.
pub const PAGE_BYTES_MAX: usize = 512 * 1024;
/// Answers larger than this, in bytes, are not recorded; their keys are.
pub const ANSWER_BYTES_MAX: usize = 64 * 1024;
/// After this time without a result of the write, requests that want to begin are answered with
/// [`IntentVerdict::Away`].
pub const WRITE_RESULT_TIMEOUT: Duration = Duration::from_millis(1500);
const RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Digest of the workspace, the service and the caller's idempotency key.
pub type IntentKey = String;
/// Identifies a waiter for a verdict.
pub type WaiterId = u64;

/// How a started request ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    pub status: u16,
    pub content_type: String,
    /// `None` if it was too large to record.
    pub body: Option<String>,
}

/// One recorded state change of a key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IntentRecord {
    /// Written before the first byte is sent to the endpoint.
    Begun {
        content: String,
    },
    Answered(RecordedAnswer),
    /// It was begun, but no byte was sent.
    Released,
}

/// One page of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IntentPage {
    pub nonce: Nonce,
    pub at_ms: u64,
    pub entries: Vec<(IntentKey, IntentRecord)>,
}

/// A request to this module.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum IntentRequest {
    /// May the request with this key be sent? `content` is a digest of the request.
    Begin { content: String },
    /// Record how the request ended.
    End(IntentRecord),
}

/// The reply to an [`IntentRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum IntentVerdict {
    /// The record is written: the request may be sent.
    Go,
    /// It ran before, with this answer.
    Replay(RecordedAnswer),
    /// It was begun before, and no end is recorded.
    Begun,
    /// The key was used for a different request.
    Mismatch,
    /// The platform is unavailable; nothing may be sent.
    Away,
}

/// What the host must do for a range.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read all pages from this one on.
    List {
        from: u64,
    },
    Write {
        slot: u64,
        page: IntentPage,
    },
    Read {
        slot: u64,
    },
    Reply {
        waiter: WaiterId,
        verdict: IntentVerdict,
    },
}

#[derive(Debug, Clone)]
struct Waiter {
    id: WaiterId,
    key: IntentKey,
    request: IntentRequest,
    since: Duration,
    /// The waiter has already been told that the platform is unavailable.
    abandoned: bool,
}

#[derive(Debug)]
struct PageWrite {
    page: IntentPage,
    waiters: Vec<Waiter>,
    commit: Commit,
    in_flight: bool,
    not_before: Duration,
}

/// One range, as seen by one VM.
#[derive(Debug)]
pub struct IntentRange {
    /// Invariant: all pages below `next_slot` are in `index`.
    next_slot: u64,
    loaded: bool,
    listing: bool,
    list_at: Duration,
    index: HashMap<IntentKey, IntentRecord>,
    waiting: Vec<Waiter>,
    writing: Option<PageWrite>,
    last_write_at: Option<Duration>,
    nonce: Nonce,
}

/// The range of a key.
pub fn range_of(key: &str) -> u64 {
    id::of(key) % RANGES
}

/// Store prefix of the pages of a range.
pub fn range_prefix(range: u64) -> String {
    format!("intent/{range}/")
}

/// Store key of a page; sorts by slot.
pub fn page_key(range: u64, slot: u64) -> String {
    format!("intent/{range}/{slot:012}")
}

impl IntentRange {
    /// An empty range that is not loaded yet; `nonce` must be random.
    pub fn new(nonce: Nonce) -> IntentRange {
        IntentRange {
            next_slot: 0,
            loaded: false,
            listing: false,
            list_at: Duration::ZERO,
            index: HashMap::new(),
            waiting: Vec::new(),
            writing: None,
            last_write_at: None,
            nonce,
        }
    }

    /// Number of known keys.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Handles a request.
    pub fn submit(
        &mut self,
        now: Duration,
        waiter: WaiterId,
        key: IntentKey,
        request: IntentRequest,
        out: &mut Vec<Action>,
    ) {
        self.waiting.push(Waiter {
            id: waiter,
            key,
            request,
            since: now,
            abandoned: false,
        });
        self.tick(now, out);
    }

    /// Handles the result of a list; `None` if it failed.
    pub fn listed(
        &mut self,
        now: Duration,
        pages: Option<Vec<(u64, IntentPage)>>,
        out: &mut Vec<Action>,
    ) {
        self.listing = false;
        match pages {
            Some(mut pages) => {
                pages.sort_by_key(|(slot, _)| *slot);
                for (slot, page) in pages {
                    self.apply(slot, &page);
                }
                self.loaded = true;
            }
            None => {
                self.list_at = now + RETRY_INTERVAL * 5;
                self.reply_unavailable(out);
            }
        }
        self.tick(now, out);
    }

    /// Handles the result of a write.
    pub fn written(&mut self, now: Duration, outcome: WriteOutcome, out: &mut Vec<Action>) {
        if let Some(writing) = &mut self.writing {
            writing.in_flight = false;
            writing.commit.written(outcome);
        }
        self.finish_write(now, None, out);
        self.tick(now, out);
    }

    /// Handles a read of the slot being written; `None` if it failed.
    pub fn read(
        &mut self,
        now: Duration,
        found: Option<Option<(Revision, IntentPage)>>,
        out: &mut Vec<Action>,
    ) {
        let Some(writing) = &mut self.writing else {
            return;
        };
        let nonce = writing.page.nonce;
        let seen = found.as_ref().map(|page| {
            page.as_ref()
                .map(|(revision, page)| (*revision, page.nonce == nonce))
        });
        writing.in_flight = false;
        writing.commit.read(seen);
        let stored = found.flatten().map(|(_, page)| page);
        self.finish_write(now, stored, out);
        self.tick(now, out);
    }

    /// Performs what is due.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        if !self.loaded {
            if !self.listing && now >= self.list_at && !self.waiting.is_empty() {
                self.listing = true;
                out.push(Action::List {
                    from: self.next_slot,
                });
            }
            return;
        }
        self.abandon_overdue(now, out);
        self.reply_from_index(out);
        if self.writing.is_none() && !self.waiting.is_empty() {
            let due = self
                .last_write_at
                .is_none_or(|at| now >= at + WRITE_INTERVAL_MIN);
            if due {
                self.start_write(now);
            }
        }
        self.step_write(now, out);
    }

    fn apply(&mut self, slot: u64, page: &IntentPage) {
        if slot < self.next_slot {
            return;
        }
        self.next_slot = slot + 1;
        for (key, record) in &page.entries {
            match record {
                IntentRecord::Released => {
                    self.index.remove(key);
                }
                record => {
                    self.index.insert(key.clone(), record.clone());
                }
            }
        }
    }

    /// Answers requests whose verdict is already in the log.
    fn reply_from_index(&mut self, out: &mut Vec<Action>) {
        let index = &self.index;
        self.waiting.retain(|waiter| {
            let IntentRequest::Begin { content } = &waiter.request else {
                return true;
            };
            let verdict = match index.get(&waiter.key) {
                None | Some(IntentRecord::Released) => return true,
                Some(IntentRecord::Answered(answered)) => IntentVerdict::Replay(answered.clone()),
                Some(IntentRecord::Begun { content: first }) if first != content => {
                    IntentVerdict::Mismatch
                }
                Some(IntentRecord::Begun { .. }) => IntentVerdict::Begun,
            };
            if !waiter.abandoned {
                out.push(Action::Reply {
                    waiter: waiter.id,
                    verdict,
                });
            }
            false
        });
    }

    fn start_write(&mut self, now: Duration) {
        let mut entries: Vec<(IntentKey, IntentRecord)> = Vec::new();
        let mut waiters = Vec::new();
        let mut later = Vec::new();
        let mut bytes = 0;
        for waiter in std::mem::take(&mut self.waiting) {
            let record = match &waiter.request {
                IntentRequest::Begin { content } => IntentRecord::Begun {
                    content: content.clone(),
                },
                IntentRequest::End(record) => record.clone(),
            };
            bytes += json_bytes(&(&waiter.key, &record));
            let key_in_page = entries.iter().any(|(key, _)| *key == waiter.key);
            // A second request for the same key waits for the next page, when the first one is
            // known.
            if key_in_page
                || entries.len() >= PAGE_ENTRIES_MAX
                || (bytes > PAGE_BYTES_MAX && !waiters.is_empty())
            {
                later.push(waiter);
                continue;
            }
            entries.push((waiter.key.clone(), record));
            waiters.push(waiter);
        }
        self.waiting = later;
        self.nonce = self.nonce.wrapping_add(1);
        let page = IntentPage {
            nonce: self.nonce,
            at_ms: 0,
            entries,
        };
        let commit = Commit::new(0);
        self.writing = Some(PageWrite {
            page,
            waiters,
            commit,
            in_flight: false,
            not_before: now,
        });
    }

    fn step_write(&mut self, now: Duration, out: &mut Vec<Action>) {
        let slot = self.next_slot;
        let Some(writing) = &mut self.writing else {
            return;
        };
        if writing.in_flight || now < writing.not_before {
            return;
        }
        match writing.commit.step() {
            Step::Write => out.push(Action::Write {
                slot,
                page: writing.page.clone(),
            }),
            Step::Read => out.push(Action::Read { slot }),
            _ => return,
        }
        writing.in_flight = true;
    }

    fn finish_write(&mut self, now: Duration, stored: Option<IntentPage>, out: &mut Vec<Action>) {
        let Some(mut writing) = self.writing.take() else {
            return;
        };
        match writing.commit.step() {
            Step::Write | Step::Read => {
                writing.not_before = now + writing.commit.delay(RETRY_INTERVAL);
                self.writing = Some(writing);
            }
            Step::Won(_) => {
                self.last_write_at = Some(now);
                self.apply(self.next_slot, &writing.page);
                for waiter in writing.waiters {
                    self.reply_written(now, waiter, out);
                }
            }
            Step::Lost => {
                // Another VM's page has this slot: apply it and try the next slot.
                if let Some(page) = stored {
                    self.apply(self.next_slot, &page);
                }
                self.requeue(writing.waiters);
                self.last_write_at = None;
            }
            Step::Away => {
                self.requeue(writing.waiters);
                self.last_write_at = Some(now + RETRY_INTERVAL * 5);
                self.reply_unavailable(out);
            }
        }
    }

    /// Puts the requests of a page that was not written back at the front of the queue.
    fn requeue(&mut self, mut waiters: Vec<Waiter>) {
        waiters.retain(|waiter| !waiter.abandoned);
        waiters.append(&mut self.waiting);
        self.waiting = waiters;
    }

    fn reply_written(&mut self, now: Duration, waiter: Waiter, out: &mut Vec<Action>) {
        if !waiter.abandoned {
            out.push(Action::Reply {
                waiter: waiter.id,
                verdict: IntentVerdict::Go,
            });
        } else if matches!(waiter.request, IntentRequest::Begin { .. }) {
            // The waiter was answered "not run" while the result of the write was unknown, and the
            // write took effect after all. Unless the key is released, it would stay "may have run"
            // for ever.
            self.waiting.push(Waiter {
                request: IntentRequest::End(IntentRecord::Released),
                since: now,
                ..waiter
            });
        }
    }

    /// Answers all requests that want to begin: nothing can be begun now.
    fn reply_unavailable(&mut self, out: &mut Vec<Action>) {
        self.waiting.retain(|waiter| {
            let is_begin = matches!(waiter.request, IntentRequest::Begin { .. });
            if is_begin && !waiter.abandoned {
                out.push(Action::Reply {
                    waiter: waiter.id,
                    verdict: IntentVerdict::Away,
                });
            }
            !is_begin
        });
    }

    /// Limits the wait for a write whose result is unknown: no byte was sent, so "not run" is true.
    fn abandon_overdue(&mut self, now: Duration, out: &mut Vec<Action>) {
        let is_overdue = |since: Duration| now >= since + WRITE_RESULT_TIMEOUT;
        if let Some(writing) = &mut self.writing {
            for waiter in &mut writing.waiters {
                let is_begin = matches!(waiter.request, IntentRequest::Begin { .. });
                if is_begin && !waiter.abandoned && is_overdue(waiter.since) {
                    waiter.abandoned = true;
                    out.push(Action::Reply {
                        waiter: waiter.id,
                        verdict: IntentVerdict::Away,
                    });
                }
            }
        }
        self.waiting.retain(|waiter| {
            let is_begin = matches!(waiter.request, IntentRequest::Begin { .. });
            if is_begin && is_overdue(waiter.since) {
                if !waiter.abandoned {
                    out.push(Action::Reply {
                        waiter: waiter.id,
                        verdict: IntentVerdict::Away,
                    });
                }
                return false;
            }
            true
        });
    }
}
