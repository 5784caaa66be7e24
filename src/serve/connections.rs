//! Callers' connections, which share a part of the VM's memory and descriptors.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::counters::{Counters, ExpectedRequest, OpenRequest, RequestKind};
use super::node::Node;
use crate::decide::memory::{connection_to_close, ConnectionWait, STALLED_AFTER};

/// Id of a connection, in the order in which they were accepted.
type ConnectionId = u64;

/// All connections of callers.
pub struct Connections {
    connections_max: usize,
    open: Rc<RefCell<BTreeMap<ConnectionId, Rc<ConnectionRequests>>>>,
    next_id: Cell<ConnectionId>,
}

/// Counts a connection as open until it is dropped.
pub struct ConnectionEntry {
    pub requests: Rc<ConnectionRequests>,
    id: ConnectionId,
    open: Rc<RefCell<BTreeMap<ConnectionId, Rc<ConnectionRequests>>>>,
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.open.borrow_mut().remove(&self.id);
    }
}

impl Connections {
    pub fn new(connections_max: usize) -> Connections {
        Connections {
            connections_max,
            open: Rc::default(),
            next_id: Cell::default(),
        }
    }

    /// Counts a new connection. Where there are too many, the one that has waited longest for its
    /// caller is closed; `None` if all of them serve requests.
    pub fn admit(&self, now: Duration, counters: &Counters) -> Option<ConnectionEntry> {
        let mut open = self.open.borrow_mut();
        if open.len() >= self.connections_max {
            let waiting = open.iter().filter_map(|(id, requests)| {
                requests.wait().map(|(wait, since)| (*id, wait, since))
            });
            let closed = connection_to_close(waiting);
            let closed_kind = if closed.is_some() { "waiting" } else { "new" };
            let counter = &counters.connections_closed;
            counter.with_label_values(&[closed_kind]).inc();
            open.remove(&closed?)?.makes_way.notify_one();
        }
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let requests = Rc::new(ConnectionRequests::new(now));
        open.insert(id, requests.clone());
        Some(ConnectionEntry {
            requests,
            id,
            open: self.open.clone(),
        })
    }

    /// Closes the connection whose caller has left a reply about a job unread for longest, if it has
    /// stalled.
    pub fn close_unread(&self, now: Duration, counters: &Counters) {
        let mut open = self.open.borrow_mut();
        let unread = open.iter().filter_map(|(id, requests)| {
            let since = requests.job_reply_unread_since()?;
            (now >= since + STALLED_AFTER).then_some((since, *id))
        });
        let Some((_, id)) = unread.min() else {
            return;
        };
        if let Some(requests) = open.remove(&id) {
            requests.makes_way.notify_one();
            let counter = &counters.connections_closed;
            counter.with_label_values(&["unread"]).inc();
        }
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }
}

/// What a caller's connection is used for now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStage {
    /// Nothing has arrived since the last reply.
    Idle,
    /// A part of a request's head has arrived.
    Head,
    /// A request is served.
    Open,
}

/// Requests of one connection.
pub struct ConnectionRequests {
    /// The newest request, until its reply has been sent. Other owners hold it only until the reply
    /// has been handed to the connection, whose buffer may keep the end of it for a slow caller.
    newest: RefCell<Option<Rc<OpenRequest>>>,
    /// Whether the head of the newest request has not been read completely.
    is_partial: Cell<bool>,
    /// Present until the first request begins, or its timeout has passed.
    pub first: RefCell<Option<ExpectedRequest>>,
    /// When the connection began to wait for its caller, if it waits.
    waits_since: Cell<Duration>,
    /// Whether a reply has been sent.
    is_answered: Cell<bool>,
    /// Since when the caller has not read what was written; `None` if it reads.
    unread_since: Cell<Option<Duration>>,
    /// Notified when the connection has to be closed for another one.
    pub makes_way: Notify,
}

impl ConnectionRequests {
    fn new(now: Duration) -> ConnectionRequests {
        ConnectionRequests {
            newest: RefCell::default(),
            is_partial: Cell::default(),
            first: RefCell::default(),
            waits_since: Cell::new(now),
            is_answered: Cell::default(),
            unread_since: Cell::default(),
            makes_way: Notify::new(),
        }
    }

    /// What the connection waits for, and since when; `None` while a whole request is served.
    fn wait(&self) -> Option<(ConnectionWait, Duration)> {
        let is_being_read = match self.stage() {
            RequestStage::Idle | RequestStage::Head => true,
            RequestStage::Open => {
                let newest = self.newest.borrow();
                newest
                    .as_ref()
                    .is_some_and(|request| request.kind() == RequestKind::Reading)
            }
        };
        match (is_being_read, self.unread_since.get()) {
            (true, _) if !self.is_answered.get() => {
                Some((ConnectionWait::FirstRequest, self.waits_since.get()))
            }
            (true, _) => Some((ConnectionWait::NextRequest, self.waits_since.get())),
            (false, Some(since)) => Some((ConnectionWait::ReadOfAnswer, since)),
            (false, None) => None,
        }
    }

    /// Since when the caller has not read a reply with results or the body of an item, if it doesn't.
    fn job_reply_unread_since(&self) -> Option<Duration> {
        let newest = self.newest.borrow();
        let kind = newest.as_ref()?.kind();
        let is_job_reply = matches!(kind, RequestKind::Results | RequestKind::ItemBody);
        self.unread_since.get().filter(|_| is_job_reply)
    }

    /// Notes that the caller leaves no room for what is written.
    pub fn write_blocked(&self, now: Duration) {
        if self.unread_since.get().is_none() {
            self.unread_since.set(Some(now));
        }
    }

    /// Whether the caller has read nothing of what was written for this time.
    pub fn is_unread_for(&self, now: Duration, time: Duration) -> bool {
        let unread_since = self.unread_since.get();
        unread_since.is_some_and(|since| now >= since + time)
    }

    /// Notes that something could be written.
    pub fn written(&self) {
        self.unread_since.set(None);
    }

    /// Counts a request from its first bytes on. Without this, the connection counts as idle, and
    /// is closed although a caller sends a request.
    pub fn bytes_read(&self, now: Duration, node: &Node) {
        if self.stage() == RequestStage::Idle {
            self.begin(node);
            self.is_partial.set(true);
            self.waits_since.set(now);
        }
    }

    /// The request whose head has been read.
    pub fn head_read(&self, node: &Node) -> Rc<OpenRequest> {
        let partial = self.newest.borrow().clone();
        let partial = partial.filter(|_| self.is_partial.take());
        partial.unwrap_or_else(|| self.begin(node))
    }

    /// All replies that were handed to the connection have been sent.
    pub fn buffer_sent(&self, now: Duration) {
        self.unread_since.set(None);
        if self.stage() != RequestStage::Idle {
            return;
        }
        if let Some(request) = self.newest.take() {
            request.buffer_sent();
            self.waits_since.set(now);
            self.is_answered.set(true);
        }
    }

    pub fn is_first_expected(&self) -> bool {
        self.first.borrow().is_some()
    }

    fn begin(&self, node: &Node) -> Rc<OpenRequest> {
        self.first.take();
        let open = node.open_requests.begin(RequestKind::Reading);
        self.newest.replace(Some(open.clone()));
        open
    }

    pub fn stage(&self) -> RequestStage {
        if self.is_partial.get() {
            return RequestStage::Head;
        }
        let newest = self.newest.borrow();
        let owners = newest.as_ref().map_or(0, Rc::strong_count);
        match owners {
            0 | 1 => RequestStage::Idle,
            _ => RequestStage::Open,
        }
    }
}
