//! At-most-once calls: runs the ranges of the intent log, one thread per range.

use std::collections::HashMap;
use std::io;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::node::Node;
use super::range_request::RangeRequest;
use crate::clock;
use crate::decide::intents::{
    page_key, range_of, range_prefix, Action, IntentKey, IntentPage, IntentRange, IntentRequest,
    IntentVerdict, WaiterId, RANGES,
};
use crate::id::VmId;
use crate::peer;
use crate::platform::Entry;
use crate::util::{self, lock};
use crate::wire::{PeerReply, PeerRequest};

const TICK_INTERVAL: Duration = Duration::from_millis(10);
const DECISION_TIMEOUT: Duration = Duration::from_secs(4);
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts one thread per range.
pub fn start(node: &Arc<Node>) -> io::Result<()> {
    let mut senders = Vec::new();
    for range in 0..RANGES {
        let (sender, receiver) = mpsc::channel();
        senders.push(sender);
        let node = node.clone();
        thread::Builder::new()
            .name("intents".into())
            .spawn(move || run(&node, range, &receiver))?;
    }
    let _ = node.intent_ranges.set(senders);
    Ok(())
}

/// Sends a request to the VM that owns the key's range, or decides it here if that VM is
/// unreachable. Any VM may write to the range: the numbered slots of the log decide conflicts, so a
/// second writer costs only time.
pub fn ask(node: &Node, key: IntentKey, request: IntentRequest) -> IntentVerdict {
    let owner = owner(node, range_of(&key));
    if let Some(address) = owner {
        let peer_ask = PeerRequest::Intent {
            key: key.clone(),
            request: request.clone(),
        };
        let reply = peer::call(address, &node.key, &peer_ask, PEER_TIMEOUT);
        if let Ok(PeerReply::Intent(verdict)) = reply {
            return verdict;
        }
        // The owner may have recorded "begun" for this request before its reply was lost. Deciding
        // here reads that page and returns "begun", the most that can be known.
    }
    ask_local(node, key, request)
}

fn owner(node: &Node, range: u64) -> Option<std::net::SocketAddr> {
    let state = lock(&node.state);
    let status = &state.fleet.status;
    let ranked: Vec<VmId> =
        state
            .fleet
            .members
            .ranked_vms(clock::now(), status, status.domain, range);
    let first = ranked.first()?;
    state
        .fleet
        .members
        .members
        .get(first)
        .map(|row| row.status.peer_address)
}

/// Decides a request on the local thread of its range.
pub fn ask_local(node: &Node, key: IntentKey, request: IntentRequest) -> IntentVerdict {
    let (answer, verdict) = mpsc::channel();
    let Some(ranges) = node.intent_ranges.get() else {
        return IntentVerdict::Away;
    };
    let range = &ranges[range_of(&key) as usize];
    if range
        .send(RangeRequest {
            key,
            request,
            reply: answer,
        })
        .is_err()
    {
        return IntentVerdict::Away;
    }
    verdict
        .recv_timeout(DECISION_TIMEOUT)
        .unwrap_or(IntentVerdict::Away)
}

struct RangeRunner<'a> {
    node: &'a Node,
    number: u64,
    range: IntentRange,
    waiters: HashMap<WaiterId, Sender<IntentVerdict>>,
    next_waiter: WaiterId,
}

fn run(node: &Node, number: u64, events: &Receiver<RangeRequest>) {
    let range = IntentRange::new(util::nonce());
    let mut runner = RangeRunner {
        node,
        number,
        range,
        waiters: HashMap::new(),
        next_waiter: 0,
    };
    loop {
        let mut out = Vec::new();
        match events.recv_timeout(TICK_INTERVAL) {
            Ok(incoming) => runner.submit(incoming, &mut out),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        // All requests that have arrived meanwhile share the next page.
        while let Ok(incoming) = events.try_recv() {
            runner.submit(incoming, &mut out);
        }
        runner.range.tick(clock::now(), &mut out);
        runner.run_actions(out);
    }
}

impl RangeRunner<'_> {
    fn submit(&mut self, incoming: RangeRequest, out: &mut Vec<Action>) {
        self.next_waiter += 1;
        self.waiters.insert(self.next_waiter, incoming.reply);
        self.range.submit(
            clock::now(),
            self.next_waiter,
            incoming.key,
            incoming.request,
            out,
        );
    }

    fn run_actions(&mut self, mut actions: Vec<Action>) {
        while let Some(action) = actions.pop() {
            let mut out = Vec::new();
            match action {
                Action::Reply {
                    waiter: ticket,
                    verdict,
                } => {
                    if let Some(waiter) = self.waiters.remove(&ticket) {
                        let _ = waiter.send(verdict);
                    }
                }
                Action::List { from } => {
                    let pages = self.list(from);
                    self.range.listed(clock::now(), pages, &mut out);
                }
                Action::Write { slot, mut page } => {
                    page.at_ms = clock::unix_ms();
                    let text = serde_json::to_string(&page).unwrap_or_default();
                    let answer = self
                        .node
                        .platform
                        .put(&page_key(self.number, slot), 0, &text);
                    self.node.counters.intent_writes.inc();
                    self.range.written(clock::now(), answer, &mut out);
                }
                Action::Read { slot } => {
                    let read = self.node.platform.get(&page_key(self.number, slot));
                    let found = read.ok().map(|entry| entry.and_then(|entry| parse(&entry)));
                    let found = found.map(|page| page.map(|(revision, _, page)| (revision, page)));
                    self.range.read(clock::now(), found, &mut out);
                }
            }
            actions.extend(out);
        }
    }

    fn list(&self, from: u64) -> Option<Vec<(u64, IntentPage)>> {
        let entries = self.node.platform.list(&range_prefix(self.number)).ok()?;
        let pages = entries.iter().filter_map(parse);
        Some(
            pages
                .filter(|(_, slot, _)| *slot >= from)
                .map(|(_, s, page)| (s, page))
                .collect(),
        )
    }
}

fn parse(entry: &Entry) -> Option<(u64, u64, IntentPage)> {
    let slot = entry.key.rsplit('/').next()?.parse().ok()?;
    Some((
        entry.revision,
        slot,
        serde_json::from_str(&entry.value).ok()?,
    ))
}
