//! The metadata store as the product sees it: reads, watches, leases and one conditional write.
//!
//! A backend is one closure from a typed call to its reply, so that a deployment's client, a table
//! in memory and a store that loses answers are all the same to the code above.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::clock;
use crate::decide::commit::{Answer, Commit, Step};
use crate::id::Revision;

/// A lease's number at the store; 0 stands for none.
pub type LeaseId = u64;

/// Pause that grows with each try while a lost answer is settled. A few answer times of a healthy
/// store, so that a write on its way has landed before it is looked for again.
const SETTLE_PAUSE: Duration = Duration::from_millis(30);

/// Why a call brought nothing.
#[derive(Debug, Snafu, Clone, PartialEq, Serialize, Deserialize)]
pub enum Error {
    /// The store did nothing: it refused, or the connection never opened.
    #[snafu(display("the store is away: {detail}"))]
    Away { detail: String },
    /// The call may have taken effect, now or later.
    #[snafu(display("the store's answer was lost: {detail}"))]
    Unknown { detail: String },
    /// The history after a watch's revision is no longer kept.
    #[snafu(display("the store has dropped this history"))]
    Compacted,
    /// The lease has ended.
    #[snafu(display("the lease has ended"))]
    NoLease,
}

/// One key as it stands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    pub key: String,
    pub value: Bytes,
    /// Of its last change.
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

/// All or nothing: applies if each key of `expect` stands at its revision; 0 for "does not exist".
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
        /// The last key of the page before.
        after: Option<String>,
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
    /// A key of `expect` stands at another revision; the keys as they stand.
    Conflict(Vec<Item>),
    Granted(LeaseId),
    Done,
}

/// What a backend's closure returns.
pub type Pending = Pin<Box<dyn Future<Output = Result<Reply, Error>>>>;

/// How a settled transaction ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Settled {
    Won(Revision),
    /// Another value stands at the transaction's first key.
    Lost(Option<Item>),
    /// Nothing took effect.
    Away(String),
    /// It could not be told in time.
    Unknown(String),
}

/// A call that has ended, for whoever observes them.
#[derive(Debug, Clone, Copy)]
pub struct EndedCall {
    pub kind: &'static str,
    /// A watch waits for long: when it was sent says nothing of the store.
    pub waited: bool,
    pub writes: bool,
    /// Whether it brought an answer.
    pub answered: bool,
    pub sent_at: Duration,
}

/// A store behind any backend.
#[derive(Clone)]
pub struct Store {
    backend: Rc<dyn Fn(Call) -> Pending>,
    observer: Rc<dyn Fn(EndedCall)>,
}

impl Store {
    /// A store that is reached by `backend`.
    pub fn new(backend: impl Fn(Call) -> Pending + 'static) -> Store {
        Store {
            backend: Rc::new(backend),
            observer: Rc::new(|_| {}),
        }
    }

    /// The same store, with `observer` told of each call.
    pub fn observed(self, observer: impl Fn(EndedCall) + 'static) -> Store {
        Store {
            observer: Rc::new(observer),
            ..self
        }
    }

    /// Makes one call.
    pub async fn call(&self, call: Call) -> Result<Reply, Error> {
        let mut ended = EndedCall {
            kind: (&call).into(),
            waited: matches!(call, Call::Watch { .. }),
            writes: matches!(call, Call::Commit(_)),
            answered: false,
            sent_at: clock::now(),
        };
        let reply = (self.backend)(call).await;
        ended.answered = !matches!(reply, Err(Error::Away { .. } | Error::Unknown { .. }));
        (self.observer)(ended);
        reply
    }

    /// Reads one key, in the order of all writes.
    pub async fn get(&self, key: &str) -> Result<Option<Item>, Error> {
        match self.call(Call::Get { key: key.into() }).await? {
            Reply::Item(item) => Ok(item),
            other => Err(unexpected(&other)),
        }
    }

    /// Reads all keys under a prefix, with a revision to watch after.
    ///
    /// Pages are not one snapshot; the revision is that of the first page, so that a watch tells
    /// again whatever changed while the later ones were read.
    pub async fn range(&self, prefix: &str) -> Result<(Vec<Item>, Revision), Error> {
        let mut found = Vec::new();
        let mut first_at = None;
        loop {
            let after = found.last().map(|item: &Item| item.key.clone());
            let prefix = prefix.into();
            let reply = self.call(Call::Range { prefix, after }).await?;
            let Reply::Page { items, more, at } = reply else {
                return Err(unexpected(&reply));
            };
            let first = *first_at.get_or_insert(at);
            let empty = items.is_empty();
            found.extend(items);
            if !more || empty {
                return Ok((found, first));
            }
        }
    }

    /// Makes a transaction once; `None` when a key stands at another revision than it expects.
    pub async fn try_commit(&self, txn: Txn) -> Result<Option<Revision>, Error> {
        match self.call(Call::Commit(txn)).await? {
            Reply::Committed(revision) => Ok(Some(revision)),
            Reply::Conflict(_) => Ok(None),
            other => Err(unexpected(&other)),
        }
    }

    /// Makes a transaction and settles a lost answer by reading its first key back.
    ///
    /// The first expected key must be written by the transaction, with a value that holds a nonce:
    /// the same bytes read back can then only be this transaction's.
    pub async fn commit(&self, txn: Txn, timeout: Duration) -> Settled {
        let (key, expect) = match txn.expect.first() {
            Some((key, expect)) => (key.clone(), *expect),
            None => return Settled::Away("a transaction without a condition".into()),
        };
        let own = txn.writes.iter().find(|write| write.key == key);
        let own = own.map(|write| write.value.clone());
        let mut detail = String::new();
        let settle = async {
            let mut commit = Commit::new(expect);
            let mut found = None;
            loop {
                let step = match commit.step() {
                    Step::Write => {
                        let answer = self.write_once(&txn, &mut detail).await;
                        commit.written(answer)
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
                    Step::Won(revision) => return Settled::Won(revision),
                    Step::Lost => return Settled::Lost(found),
                    Step::Away => return Settled::Away(String::new()),
                    Step::Write | Step::Read => {
                        tokio::time::sleep(commit.pause(SETTLE_PAUSE)).await
                    }
                }
            }
        };
        match tokio::time::timeout(timeout, settle).await {
            Ok(Settled::Away(_)) => Settled::Away(detail),
            Ok(settled) => settled,
            Err(_) => Settled::Unknown(detail),
        }
    }

    async fn write_once(&self, txn: &Txn, detail: &mut String) -> Answer {
        match self.try_commit(txn.clone()).await {
            Ok(Some(revision)) => Answer::Won(revision),
            Ok(None) => Answer::Lost,
            Err(Error::Away { detail: why }) => {
                *detail = why;
                Answer::Away
            }
            Err(Error::NoLease) => {
                *detail = "the lease has ended".into();
                Answer::Away
            }
            Err(error) => {
                *detail = error.to_string();
                Answer::Unknown
            }
        }
    }
}

fn unexpected(reply: &Reply) -> Error {
    Error::Unknown {
        detail: format!("a reply of another kind: {reply:?}"),
    }
}
