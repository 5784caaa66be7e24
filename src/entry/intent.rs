//! At-most-once calls: runs the ranges of the intent log, one thread per range.

use std::collections::HashMap;
use std::io;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::node::Node;
use super::question::Question;
use crate::clock;
use crate::decide::intents::{
    page_key, range_of, range_prefix, Action, IntentKey, IntentPage, IntentRequest, IntentVerdict,
    Range, WaiterId, RANGES,
};
use crate::id::VmId;
use crate::peer;
use crate::platform::Entry;
use crate::util::{self, lock};
use crate::wire::{PeerAsk, PeerReply};

const TICK: Duration = Duration::from_millis(10);
const PATIENCE: Duration = Duration::from_secs(4);
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
    let _ = node.ranges.set(senders);
    Ok(())
}

/// Sends a request to the VM that owns the key's range, or decides it here if that VM is
/// unreachable. Any VM may write to the range: the numbered slots of the log decide conflicts, so a
/// second writer costs only time.
pub fn ask(node: &Node, key: IntentKey, ask: IntentRequest) -> IntentVerdict {
    let owner = owner(node, range_of(&key));
    if let Some(address) = owner {
        let question = PeerAsk::Intent {
            key: key.clone(),
            ask: ask.clone(),
        };
        let reply = peer::call(address, &node.key, &question, PEER_TIMEOUT);
        if let Ok(PeerReply::Intent(verdict)) = reply {
            return verdict;
        }
        // The owner may have recorded "begun" for this request before its reply was lost. Deciding
        // here reads that page and returns "begun", the most that can be known.
    }
    ask_here(node, key, ask)
}

fn owner(node: &Node, range: u64) -> Option<std::net::SocketAddr> {
    let core = lock(&node.core);
    let card = &core.fleet.card;
    let ranked: Vec<VmId> = core
        .fleet
        .members
        .ranked_for(clock::now(), card, card.domain, range);
    let first = ranked.first()?;
    core.fleet
        .members
        .rows
        .get(first)
        .map(|row| row.card.peer_address)
}

/// Decides a request on the local thread of its range.
pub fn ask_here(node: &Node, key: IntentKey, ask: IntentRequest) -> IntentVerdict {
    let (answer, verdict) = mpsc::channel();
    let Some(ranges) = node.ranges.get() else {
        return IntentVerdict::Away;
    };
    let range = &ranges[range_of(&key) as usize];
    if range.send(Question { key, ask, answer }).is_err() {
        return IntentVerdict::Away;
    }
    verdict
        .recv_timeout(PATIENCE)
        .unwrap_or(IntentVerdict::Away)
}

struct Host<'a> {
    node: &'a Node,
    number: u64,
    range: Range,
    askers: HashMap<WaiterId, Sender<IntentVerdict>>,
    next_ticket: WaiterId,
}

fn run(node: &Node, number: u64, events: &Receiver<Question>) {
    let range = Range::new(util::nonce());
    let mut host = Host {
        node,
        number,
        range,
        askers: HashMap::new(),
        next_ticket: 0,
    };
    loop {
        let mut out = Vec::new();
        match events.recv_timeout(TICK) {
            Ok(event) => host.take(event, &mut out),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        // All requests that have arrived meanwhile share the next page.
        while let Ok(event) = events.try_recv() {
            host.take(event, &mut out);
        }
        host.range.tick(clock::now(), &mut out);
        host.carry_out(out);
    }
}

impl Host<'_> {
    fn take(&mut self, event: Question, out: &mut Vec<Action>) {
        self.next_ticket += 1;
        self.askers.insert(self.next_ticket, event.answer);
        self.range
            .ask(clock::now(), self.next_ticket, event.key, event.ask, out);
    }

    fn carry_out(&mut self, mut actions: Vec<Action>) {
        while let Some(action) = actions.pop() {
            let mut out = Vec::new();
            match action {
                Action::Tell { ticket, verdict } => {
                    if let Some(asker) = self.askers.remove(&ticket) {
                        let _ = asker.send(verdict);
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
