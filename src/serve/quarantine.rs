//! Holds requests back that end their endpoints: evidence from runs, word from and to other VMs, the record in the metadata
//! store, the operators' page. What is decided is in [`crate::decide::quarantine`].

mod records;
mod telling;

use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use serde::Serialize;

pub use self::records::keep_records;
pub use self::telling::{heard, speak, tell_held};
use super::exchange::{Outgoing, Target};
use super::jobs::encode;
use super::node::{Core, Node};
use super::pool;
use crate::clock;
use crate::decide::quarantine::{
    report, Fingerprint, LostRun, QuarantineChange, QuarantineListing, HOLD_TIME,
};
use crate::id::EndpointId;
use crate::util;

/// Shortest time after which a caller is told to come back.
const RETRY_MIN: Duration = Duration::from_secs(1);

/// Bodies that are hashed at each answer, also while nothing is suspected: a hundredth of a millisecond's work.
const BODY_BYTES_MAX: usize = 16 * 1024;

/// Where a request that is held back may run on trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trial {
    /// It comes to this VM alone, as an item does to its job's owner.
    Here,
    /// It comes to any VM: one of them, alike for all, tries it.
    OneOfAll,
}

/// A run that was under way, for the evidence.
pub struct Run<'a> {
    pub out: &'a Outgoing,
    pub target: &'a Target,
    pub ran: Duration,
    /// It brought something after which another run goes on.
    pub progressed: bool,
}

/// Present time for the quarantine: what is told may be older than this process, by no more than the quarantine remembers.
fn now() -> Duration {
    clock::now() + HOLD_TIME
}

/// Whether a request may be sent to an endpoint now; else when its caller may come back.
pub fn admit(node: &Node, out: &Outgoing, trial: Trial) -> Result<(), Duration> {
    if node.core.borrow().quarantine.is_empty() {
        return Ok(());
    }
    let fingerprint = out.fingerprint();
    if !node.core.borrow().quarantine.is_held(fingerprint) {
        return Ok(());
    }
    let admitted = {
        let mut core = node.core.borrow_mut();
        let first = || core.peers.rank(clock::now(), node.vm, fingerprint.key()) == 0;
        let tries = trial == Trial::Here || first();
        core.quarantine.admit(now(), fingerprint, tries)
    };
    note_changes(node);
    admitted.map_err(|back_in| {
        node.counters.held_back.inc();
        back_in.max(RETRY_MIN)
    })
}

/// A request was answered whole.
pub fn answered(node: &Node, out: &Outgoing) {
    let long = out.body.len() > BODY_BYTES_MAX;
    if long && node.core.borrow().quarantine.is_empty() {
        return;
    }
    let fingerprint = out.fingerprint();
    {
        let mut core = node.core.borrow_mut();
        let speaks =
            util::rng().random_bool(report::answer_report_share(core.peers.admitting_vms() + 1));
        core.quarantine.request_answered(now(), fingerprint, speaks);
    }
    note_changes(node);
}

/// A run has lost its connection: finds out whether its endpoint has ended, and holds that against the request.
///
/// One connection may be reset, or all of a VM's, while their endpoint serves on; a cut link, a frozen endpoint or one
/// without power says nothing at all. Only a host whose process is gone turns connections away. One that does
/// neither is found to have ended by its entry, which lapses.
pub async fn lost(node: &Node, run: Run<'_>) -> bool {
    let endpoint = run.target.endpoint;
    let lost = LostRun {
        fingerprint: run.out.fingerprint(),
        label: run.out.label().into(),
        endpoint,
        at: now(),
        ran: run.ran,
        progressed: run.progressed,
    };
    let stays = {
        let core = node.core.borrow();
        let row = core.online.endpoints.get(endpoint);
        row.is_some_and(|row| row.leaving.is_none())
    };
    if stays {
        node.core.borrow_mut().quarantine.run_lost(now(), lost);
    }
    let ended = pool::turns_away(&run.target.address).await;
    log::info!(endpoint = run.target.instance, ended, stays; "a run lost its connection");
    if ended {
        node.counters.ends.inc();
        endpoint_ended(node, endpoint);
    }
    note_changes(node);
    ended
}

/// An endpoint is gone that had not said that it leaves.
pub fn endpoint_ended(node: &Node, endpoint: EndpointId) {
    node.core
        .borrow_mut()
        .quarantine
        .endpoint_ended(now(), endpoint);
    note_changes(node);
}

/// Logs and counts what became of requests, and has the others told.
fn note_changes(node: &Node) {
    let changes = {
        let mut core = node.core.borrow_mut();
        let held = core.quarantine.held_count();
        node.counters.held.set(held as f64);
        core.quarantine.take_changes()
    };
    if changes.is_empty() {
        return;
    }
    for change in &changes {
        note_change(node, change);
    }
    node.tell_quarantine.notify_one();
}

fn note_change(node: &Node, change: &QuarantineChange) {
    let verdict: &'static str = change.verdict.into();
    let by: &'static str = change.by.into();
    let counter = &node.counters.quarantine;
    counter.with_label_values(&[verdict, by]).inc();
    log::info!(
        asked:% = change.fingerprint,
        what = *change.label,
        verdict,
        ends = change.ends,
        by;
        "quarantine"
    );
}

/// Forgets what is too old.
pub fn tick(node: &Node) {
    node.core.borrow_mut().quarantine.tick(now());
    note_changes(node);
}

#[derive(Serialize)]
struct Page<'a> {
    vm: &'a str,
    requests: Vec<QuarantineListing>,
}

/// The operators' page of what is suspected and held back.
pub fn page(node: &Node) -> Bytes {
    encode(&Page {
        vm: &node.settings.name,
        requests: listed(&node.core.borrow()),
    })
}

/// What is suspected and held back.
pub fn listed(core: &Core) -> Vec<QuarantineListing> {
    core.quarantine.list(now())
}

/// Lets a request run again by an operator's word; false when nothing was held against it here.
pub fn release(node: &Node, fingerprint: Fingerprint) -> bool {
    let released = node
        .core
        .borrow_mut()
        .quarantine
        .release(now(), fingerprint);
    note_changes(node);
    released
}
