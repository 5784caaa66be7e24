//! Client of the metadata store: reads, watches, leases and conditional transactions.
//!
//! A backend is one closure from a typed call to its reply, so that a deployment's client, an
//! in-memory table and a store that loses answers are interchangeable.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::clock;
use crate::decide::commit::{Commit, Step, WriteOutcome};
use crate::id::Revision;

/// Id of a lease at the store; 0 means none.
pub type LeaseId = u64;

/// Base of the pause, growing with each attempt, while a lost answer is resolved. A few round trips
/// of a healthy store, so that a write in flight has landed before the key is read again.
const COMMIT_RETRY_PAUSE: Duration = Duration::from_millis(30);

/// Why a call failed.
#[derive(Debug, Snafu, Clone, PartialEq, Serialize, Deserialize)]
pub enum Error {
    /// The call had no effect: it was refused, or the connection never opened.
    #[snafu(display("the store is away: {detail}"))]
    Away { detail: String },
    /// The call may have taken effect, or may still do so.
    #[snafu(display("the store's answer was lost: {detail}"))]
    Unknown { detail: String },
    /// The history after a watch's revision has been compacted.
    #[snafu(display("the store has dropped this history"))]
    Compacted,
    /// The lease has expired.
    #[snafu(display("the lease has ended"))]
    NoLease,
    /// The store will never accept the call as it is; it had no effect.
    #[snafu(display("the store rejects the call: {detail}"))]
    Rejected { detail: String },
}

/// A key with its current value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    pub key: String,
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: Revision,
}

/// One change under a watched prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    Written(Item),
    Deleted { key: String, revision: Revision },
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    pub key: String,
    pub value: Bytes,
    pub lease: LeaseId,
}

/// An atomic transaction: applied only if each key of `expect` is at its revision (0: the key does
/// not exist).
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    pub expect: Vec<(String, Revision)>,
    pub writes: Vec<Write>,
    pub deletes: Vec<String>,
}

/// A call on the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Call {
    Get {
        key: String,
    },
    Range {
        prefix: String,
        /// The last key of the previous page.
        after: Option<String>,
        /// The answer may be seconds old; it costs a tenth of a current one.
        stale: bool,
    },
    Watch {
        prefix: String,
        after: Revision,
        wait: Duration,
    },
    Commit(Txn),
    Grant {
        ttl: Duration,
    },
    Renew(LeaseId),
}

/// The reply to a [`Call`] of the same kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    Item(Option<Item>),
    Page {
        items: Vec<Item>,
        more: bool,
        at: Revision,
    },
    Changes {
        changes: Vec<Change>,
        at: Revision,
    },
    Committed(Revision),
    /// A key of `expect` is at another revision; the current state of the keys.
    Conflict(Vec<Item>),
    Granted(LeaseId),
    Done,
}

/// The future that a backend returns.
pub type ReplyFuture = Pin<Box<dyn Future<Output = Result<Reply, Error>>>>;

/// Outcome of a transaction; a lost answer has been resolved by reading a key back.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    Won(Revision),
    /// Another value is stored at the transaction's first key.
    Lost(Option<Item>),
    /// The transaction had no effect.
    Away(String),
    /// The transaction had no effect, and never will have any.
    Rejected(String),
    /// The outcome was not known in time.
    Unknown(String),
}

/// A finished call, as reported to the observer.
#[derive(Debug, Clone, Copy)]
pub struct FinishedCall {
    pub kind: &'static str,
    /// Whether it was a watch. A watch may wait for long, so its `sent_at` says nothing about the
    /// store.
    pub is_watch: bool,
    pub is_write: bool,
    /// Whether the store answered.
    pub answered: bool,
    pub sent_at: Duration,
}

/// Client of a store with any backend.
#[derive(Clone)]
pub struct Store {
    backend: Rc<dyn Fn(Call) -> ReplyFuture>,
    observer: Rc<dyn Fn(FinishedCall)>,
}

impl Store {
    /// Creates a client that sends its calls through `backend`.
    pub fn new(backend: impl Fn(Call) -> ReplyFuture + 'static) -> Store {
        Store {
            backend: Rc::new(backend),
            observer: Rc::new(|_| {}),
        }
    }

    /// The same client, with `observer` called after each call.
    pub fn observed(self, observer: impl Fn(FinishedCall) + 'static) -> Store {
        Store {
            observer: Rc::new(observer),
            ..self
        }
    }

    /// Makes one call.
    pub async fn call(&self, call: Call) -> Result<Reply, Error> {
        let mut ended = FinishedCall {
            kind: (&call).into(),
            is_watch: matches!(call, Call::Watch { .. }),
            is_write: matches!(call, Call::Commit(_)),
            answered: false,
            sent_at: clock::now(),
        };
        let reply = (self.backend)(call).await;
        ended.answered = !matches!(reply, Err(Error::Away { .. } | Error::Unknown { .. }));
        (self.observer)(ended);
        reply
    }

    /// Reads one key; linearizable with all writes.
    pub async fn get(&self, key: &str) -> Result<Option<Item>, Error> {
        match self.call(Call::Get { key: key.into() }).await? {
            Reply::Item(item) => Ok(item),
            other => Err(unexpected(&other)),
        }
    }

    /// Reads all keys under a prefix, with the revision to watch from.
    ///
    /// The pages are not one snapshot. The revision is that of the oldest page, so that a watch
    /// reports again what changed while the others were read.
    pub async fn range(&self, prefix: &str) -> Result<(Vec<Item>, Revision), Error> {
        self.read_pages(prefix, false).await
    }

    /// Like [`Store::range`], but the answer may be seconds old; a watch from its revision brings
    /// it up to date.
    pub async fn stale_range(&self, prefix: &str) -> Result<(Vec<Item>, Revision), Error> {
        self.read_pages(prefix, true).await
    }

    /// Reads the first page of the keys under a prefix: its items, whether there are more, and the
    /// revision.
    pub async fn first_page(&self, prefix: &str) -> Result<(Vec<Item>, bool, Revision), Error> {
        let call = Call::Range {
            prefix: prefix.into(),
            after: None,
            stale: false,
        };
        match self.call(call).await? {
            Reply::Page { items, more, at } => Ok((items, more, at)),
            other => Err(unexpected(&other)),
        }
    }

    async fn read_pages(&self, prefix: &str, stale: bool) -> Result<(Vec<Item>, Revision), Error> {
        let mut found = Vec::new();
        let mut oldest_at = Revision::MAX;
        loop {
            let after = found.last().map(|item: &Item| item.key.clone());
            let prefix = prefix.into();
            let call = Call::Range {
                prefix,
                after,
                stale,
            };
            let reply = self.call(call).await?;
            let Reply::Page { items, more, at } = reply else {
                return Err(unexpected(&reply));
            };
            oldest_at = oldest_at.min(at);
            let empty = items.is_empty();
            found.extend(items);
            if !more || empty {
                return Ok((found, oldest_at));
            }
        }
    }

    /// Runs a transaction once; `None` when a key is not at the revision it expects.
    pub async fn try_commit(&self, txn: Txn) -> Result<Option<Revision>, Error> {
        match self.call(Call::Commit(txn)).await? {
            Reply::Committed(revision) => Ok(Some(revision)),
            Reply::Conflict(_) => Ok(None),
            other => Err(unexpected(&other)),
        }
    }

    /// Runs a transaction; when the answer is lost, reads its first expected key back to learn the
    /// outcome.
    ///
    /// The transaction must write that key, with a value that contains a nonce: if the same bytes
    /// are read back, this transaction was applied.
    pub async fn commit(&self, txn: Txn, timeout: Duration) -> CommitOutcome {
        let (key, expect) = match txn.expect.first() {
            Some((key, expect)) => (key.clone(), *expect),
            None => return CommitOutcome::Away("a transaction without a condition".into()),
        };
        let own = txn.writes.iter().find(|write| write.key == key);
        let own = own.map(|write| write.value.clone());
        let mut detail = String::new();
        let settle = async {
            let mut commit = Commit::new(expect);
            let mut found = None;
            let mut is_rejected = false;
            loop {
                let step = match commit.step() {
                    Step::Write => {
                        let written = self.try_commit(txn.clone()).await;
                        is_rejected = matches!(written, Err(Error::Rejected { .. }));
                        commit.written(write_outcome(written, &mut detail))
                    }
                    Step::Read => {
                        let read = self.get(&key).await;
                        if let Ok(item) = &read {
                            found = item.clone();
                        }
                        let same = |item: Item| (item.revision, Some(item.value) == own);
                        commit.read(read.ok().map(|item| item.map(same)))
                    }
                    ended => ended,
                };
                match step {
                    Step::Won(revision) => return CommitOutcome::Won(revision),
                    Step::Lost => return CommitOutcome::Lost(found),
                    Step::Away if is_rejected => return CommitOutcome::Rejected(String::new()),
                    Step::Away => return CommitOutcome::Away(String::new()),
                    Step::Write | Step::Read => {
                        tokio::time::sleep(commit.delay(COMMIT_RETRY_PAUSE)).await
                    }
                }
            }
        };
        match tokio::time::timeout(timeout, settle).await {
            Ok(CommitOutcome::Away(_)) => CommitOutcome::Away(detail),
            Ok(CommitOutcome::Rejected(_)) => CommitOutcome::Rejected(detail),
            Ok(settled) => settled,
            Err(_) => CommitOutcome::Unknown(detail),
        }
    }
}

/// What the result of a write says of its effect; `detail` is set to the reason of a failure.
fn write_outcome(written: Result<Option<Revision>, Error>, detail: &mut String) -> WriteOutcome {
    match written {
        Ok(Some(revision)) => WriteOutcome::Won(revision),
        Ok(None) => WriteOutcome::Lost,
        Err(Error::Away { detail: why } | Error::Rejected { detail: why }) => {
            *detail = why;
            WriteOutcome::Away
        }
        Err(Error::NoLease) => {
            *detail = "the lease has ended".into();
            WriteOutcome::Away
        }
        Err(error) => {
            *detail = error.to_string();
            WriteOutcome::Unknown
        }
    }
}

fn unexpected(reply: &Reply) -> Error {
    Error::Unknown {
        detail: format!("a reply of another kind: {reply:?}"),
    }
}
