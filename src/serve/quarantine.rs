//! Quarantine of requests and prompt segments that end endpoints: collects evidence from runs, exchanges reports
//! with other VMs, keeps the records in the metadata store and serves the operators' page. The
//! decisions are made in [`crate::decide::quarantine`].

mod records;
mod reporting;

use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use serde::Serialize;

pub use self::records::keep_records;
pub use self::reporting::{apply_reports, report_held, send_reports};
use super::exchange::{AnswerEvidence, Outgoing, Target};
use super::jobs::encode;
use super::node::{Core, Node};
use super::pool::{self, HostCheck};
use crate::clock;
use crate::decide::peers::Peers;
use crate::decide::quarantine::{
    report, Fingerprint, Hold, LostRun, QuarantineChange, QuarantineListing, QuarantineVerdict,
    RunKind, HOLD_TIME,
};
use crate::id::{EndpointId, VmId};
use crate::util;

/// Shortest retry delay given to a caller.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// Longest body that is hashed at each answer while no request is tracked: hashing takes a
/// hundredth of a millisecond.
const HASHED_BODY_BYTES_MAX: usize = 16 * 1024;

/// A run that lost its connection.
pub struct FailedRun<'a> {
    pub kind: RunKind,
    pub out: &'a Outgoing,
    pub target: &'a Target,
    pub ran: Duration,
    /// It delivered output from which another run can resume.
    pub progressed: bool,
}

/// Present time for the quarantine. It starts at [`HOLD_TIME`], since reports may be older than
/// this process by as much as that.
fn quarantine_now() -> Duration {
    clock::now() + HOLD_TIME
}

/// Time until a moment of the quarantine's clock.
pub fn time_until(moment: Duration) -> Duration {
    moment.saturating_sub(quarantine_now())
}

/// Time since a moment of the quarantine's clock.
pub fn time_since(moment: Duration) -> Duration {
    quarantine_now().saturating_sub(moment)
}

/// Whether an item may be sent to an endpoint now; else the suspect for which it has to wait longest.
pub fn admit_item(node: &Node, out: &Outgoing) -> Result<(), Hold> {
    let held = {
        let core = &mut *node.core.borrow_mut();
        if core.quarantine.is_empty() && core.item_quarantine.is_empty() {
            return Ok(());
        }
        let (identity, now) = (out.identity(), quarantine_now());
        let peers = &core.peers;
        let rank = trial_rank(peers, node.vm);
        let by_requests = core.quarantine.item_hold(now, &identity, rank);
        let by_items = core.item_quarantine.item_hold(now, &identity, |_| 0);
        let held = by_requests.into_iter().chain(by_items);
        let held = held.max_by_key(|hold| hold.until);
        if held.is_none() {
            core.quarantine.start_item_trial(now, &identity);
            core.item_quarantine.start_item_trial(now, &identity);
        }
        held
    };
    publish_changes(node);
    match held {
        Some(hold) => {
            node.counters.quarantine_refusals.inc();
            Err(hold)
        }
        None => Ok(()),
    }
}

/// Records that an item that was admitted has not been sent.
pub fn item_not_sent(node: &Node, out: &Outgoing) {
    let core = &mut *node.core.borrow_mut();
    if core.quarantine.is_empty() && core.item_quarantine.is_empty() {
        return;
    }
    let identity = out.identity();
    core.quarantine.withdraw_item_trial(&identity);
    core.item_quarantine.withdraw_item_trial(&identity);
}

/// Records that an item has made progress for long enough not to be what ends its endpoint.
pub fn item_progressed(node: &Node, out: &Outgoing) {
    if node.core.borrow().item_quarantine.is_empty() {
        return;
    }
    node.core
        .borrow_mut()
        .item_quarantine
        .item_progressed(quarantine_now(), &out.identity());
    publish_changes(node);
}

/// Whether a request may be sent to an endpoint now; else the time after which its caller may
/// retry.
pub fn admit(node: &Node, out: &Outgoing) -> Result<(), Duration> {
    if node.core.borrow().quarantine.is_empty() {
        return Ok(());
    }
    let identity = out.identity();
    let admitted = {
        let core = &mut *node.core.borrow_mut();
        let rank = trial_rank(&core.peers, node.vm);
        core.quarantine.admit(quarantine_now(), &identity, rank)
    };
    publish_changes(node);
    admitted.map_err(|back_in| refuse(node, back_in))
}

/// Whether a request that has just arrived, or waits, may be sent later on; else the time after
/// which its caller may retry.
pub fn check(node: &Node, out: &Outgoing) -> Result<(), Duration> {
    let core = node.core.borrow();
    if core.quarantine.is_empty() {
        return Ok(());
    }
    let identity = out.identity();
    let rank = trial_rank(&core.peers, node.vm);
    let checked = core.quarantine.check(quarantine_now(), &identity, rank);
    checked.map_err(|back_in| refuse(node, back_in))
}

/// This VM's place in the order in which VMs execute the trial run of a suspect.
fn trial_rank(peers: &Peers, vm: VmId) -> impl Fn(Fingerprint) -> usize + '_ {
    move |suspect| peers.rank(clock::now(), vm, suspect.rendezvous_key())
}

fn refuse(node: &Node, back_in: Duration) -> Duration {
    node.counters.quarantine_refusals.inc();
    back_in.max(RETRY_AFTER_MIN)
}

/// Records that a request got a complete answer from an endpoint.
pub fn request_answered(node: &Node, out: &Outgoing, endpoint: EndpointId, answer: AnswerEvidence) {
    let long = out.body.len() > HASHED_BODY_BYTES_MAX;
    {
        let core = &mut *node.core.borrow_mut();
        if long && core.quarantine.is_empty() && core.item_quarantine.is_empty() {
            return;
        }
        let (identity, now) = (out.identity(), quarantine_now());
        let reports = is_answer_reported(&core.peers);
        for quarantine in [&mut core.quarantine, &mut core.item_quarantine] {
            match answer {
                AnswerEvidence::Complete => quarantine.answered(now, &identity, reports),
                AnswerEvidence::UntilClose => {
                    quarantine.answered_until_close(now, identity.clone(), endpoint)
                }
                AnswerEvidence::Error => {}
            }
        }
    }
    publish_changes(node);
}

/// Whether this VM reports an answer that all VMs may give at the same moment.
fn is_answer_reported(peers: &Peers) -> bool {
    let share = report::answer_report_share(peers.admitting_vms() + 1);
    util::rng().random_bool(share)
}

/// Handles a run that lost its connection: finds out whether its endpoint has ended, and counts
/// that as evidence against the request.
///
/// One connection, or all connections of a VM, may be reset while their endpoint keeps serving; a
/// cut link, a frozen endpoint or one without power shows no reset at all. Only a host whose
/// process is gone refuses connections. An endpoint that does not refuse them but has ended is
/// detected when its entry lapses.
pub async fn run_lost(node: &Node, run: FailedRun<'_>) -> bool {
    let endpoint = run.target.endpoint;
    let lost = LostRun {
        kind: run.kind,
        identity: run.out.identity(),
        label: run.out.label().into(),
        endpoint,
        at: quarantine_now(),
        ran: run.ran,
        progressed: run.progressed,
    };
    let stays = {
        let core = node.core.borrow();
        let row = core.online.endpoints.get(endpoint);
        row.is_some_and(|row| row.leaving.is_none())
    };
    if stays {
        let core = &mut *node.core.borrow_mut();
        if lost.kind == RunKind::Item {
            core.item_quarantine
                .run_lost(quarantine_now(), lost.clone());
        }
        core.quarantine.run_lost(quarantine_now(), lost);
    }
    let lost_at = clock::now();
    let began_at = lost_at.saturating_sub(run.ran);
    node.core
        .borrow_mut()
        .discovery
        .connection_lost(endpoint, began_at, lost_at);
    check_connections_left(node, endpoint, lost_at);
    let host = pool::check_host(&run.target.address).await;
    // The ends of the other connections may arrive a little later.
    check_connections_left(node, endpoint, lost_at);
    let ended = host != HostCheck::NotClosed;
    log::info!(endpoint = run.target.instance, ended, stays; "a run lost its connection");
    if ended {
        node.counters.runs_ended.inc();
        endpoint_ended(node, endpoint);
    }
    if host == HostCheck::Refused {
        node.process_ended(endpoint);
    }
    publish_changes(node);
    ended
}

/// Notes whether no connection is left that certainly led to an endpoint's process: another process may
/// serve at its address from then on.
fn check_connections_left(node: &Node, endpoint: EndpointId, lost_at: Duration) {
    let discovery = &mut node.core.borrow_mut().discovery;
    let confirmed_until = discovery.connections_confirmed_until(endpoint);
    if !confirmed_until.is_some_and(|until| node.pool.has_open(endpoint, until)) {
        discovery.no_connection_left(endpoint, lost_at);
    }
}

/// Records that an endpoint ended without having announced that it drains.
pub fn endpoint_ended(node: &Node, endpoint: EndpointId) {
    {
        let core = &mut *node.core.borrow_mut();
        core.quarantine.endpoint_ended(quarantine_now(), endpoint);
        core.item_quarantine
            .endpoint_ended(quarantine_now(), endpoint);
    }
    publish_changes(node);
}

/// Logs and counts state changes, and triggers reports to the other VMs.
fn publish_changes(node: &Node) {
    let (changes, item_changes) = {
        let core = &mut *node.core.borrow_mut();
        let changes = core.quarantine.take_changes();
        let item_changes = core.item_quarantine.take_changes();
        if changes.is_empty() && item_changes.is_empty() {
            return;
        }
        let refused = core.quarantine.refused().len();
        node.counters.quarantined.set(refused as f64);
        let items_held = core.item_quarantine.refused().len();
        node.counters.items_quarantined.set(items_held as f64);
        (changes, item_changes)
    };
    for change in &item_changes {
        log_change(node, change, RunKind::Item);
    }
    if changes.is_empty() {
        return;
    }
    for change in &changes {
        log_change(node, change, RunKind::Request);
    }
    let is_held = |change: &QuarantineChange| change.verdict == QuarantineVerdict::Held;
    if changes.iter().any(is_held) {
        node.quarantine_grew.notify_waiters();
    }
    node.quarantine_reports_due.notify_one();
}

fn log_change(node: &Node, change: &QuarantineChange, of: RunKind) {
    let of: &'static str = of.into();
    let verdict: &'static str = change.verdict.into();
    let by: &'static str = change.by.into();
    let counter = &node.counters.quarantine_verdicts;
    counter.with_label_values(&[verdict, by]).inc();
    log::info!(
        asked:% = change.fingerprint,
        what = *change.label,
        verdict,
        ends = change.ends,
        by,
        of;
        "quarantine"
    );
}

/// Removes expired state.
pub fn tick(node: &Node) {
    {
        let core = &mut *node.core.borrow_mut();
        core.quarantine.tick(quarantine_now());
        core.item_quarantine.tick(quarantine_now());
    }
    publish_changes(node);
}

#[derive(Serialize)]
struct OperatorsPage<'a> {
    vm: &'a str,
    requests: Vec<QuarantineListing>,
}

/// The operators' page of suspected and quarantined requests.
pub fn operators_page(node: &Node) -> Bytes {
    encode(&OperatorsPage {
        vm: &node.settings.name,
        requests: list(&node.core.borrow()),
    })
}

/// Suspected and quarantined requests.
pub fn list(core: &Core) -> Vec<QuarantineListing> {
    let mut listed = core.quarantine.list(quarantine_now());
    listed.extend(core.item_quarantine.list(quarantine_now()));
    listed
}

/// Releases a request on an operator's order; false if this VM has no evidence against it.
pub fn release(node: &Node, fingerprint: Fingerprint) -> bool {
    let released = {
        let core = &mut *node.core.borrow_mut();
        let quarantines = [&mut core.quarantine, &mut core.item_quarantine];
        let released = quarantines.map(|one| one.release(quarantine_now(), fingerprint));
        released.contains(&true)
    };
    publish_changes(node);
    released
}
