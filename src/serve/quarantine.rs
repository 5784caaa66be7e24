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
use super::pool;
use crate::clock;
use crate::decide::peers::Peers;
use crate::decide::quarantine::{
    report, Fingerprint, Hold, LostRun, QuarantineChange, QuarantineListing, QuarantineVerdict,
    RunIdentity, HOLD_TIME,
};
use crate::id::{EndpointId, VmId};
use crate::util;

/// Shortest retry delay given to a caller.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// Longest body that is hashed at each answer while no request is tracked: hashing takes a
/// hundredth of a millisecond.
const HASHED_BODY_BYTES_MAX: usize = 16 * 1024;

/// Which VM may execute the trial runs of a quarantined request. Those of a prompt segment are the
/// first ranked VM's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialScope {
    /// The request is sent by this VM only, as an item is by its job's owner.
    ThisVm,
    /// The request may arrive at any VM: the one that ranks first, the same for all VMs.
    FirstRankedVm,
}

/// A run that lost its connection.
pub struct FailedRun<'a> {
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

/// The suspect that delays a request longest.
pub fn hold(node: &Node, out: &Outgoing) -> Option<Hold> {
    node.core.borrow().quarantine.hold(&out.identity())
}

/// Whether a request may be sent to an endpoint now; else the time after which its caller may
/// retry.
pub fn admit(node: &Node, out: &Outgoing, trial: TrialScope) -> Result<(), Duration> {
    if node.core.borrow().quarantine.is_empty() {
        return Ok(());
    }
    let identity = out.identity();
    let admitted = {
        let core = &mut *node.core.borrow_mut();
        let rank = trial_rank(&core.peers, node.vm, trial, &identity);
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
    let rank = trial_rank(&core.peers, node.vm, TrialScope::FirstRankedVm, &identity);
    let checked = core.quarantine.check(quarantine_now(), &identity, rank);
    checked.map_err(|back_in| refuse(node, back_in))
}

/// This VM's place in the order in which VMs execute the trial run of a suspect.
fn trial_rank<'a>(
    peers: &'a Peers,
    vm: VmId,
    trial: TrialScope,
    identity: &'a RunIdentity,
) -> impl Fn(Fingerprint) -> usize + 'a {
    move |suspect| {
        let sent_here_only = trial == TrialScope::ThisVm && suspect == identity.request;
        match sent_here_only {
            true => 0,
            false => peers.rank(clock::now(), vm, suspect.rendezvous_key()),
        }
    }
}

fn refuse(node: &Node, back_in: Duration) -> Duration {
    node.counters.quarantine_refusals.inc();
    back_in.max(RETRY_AFTER_MIN)
}

/// Records that a request got a complete answer from an endpoint.
pub fn request_answered(node: &Node, out: &Outgoing, endpoint: EndpointId, answer: AnswerEvidence) {
    let long = out.body.len() > HASHED_BODY_BYTES_MAX;
    if long && node.core.borrow().quarantine.is_empty() {
        return;
    }
    let identity = out.identity();
    {
        let core = &mut *node.core.borrow_mut();
        let (quarantine, now) = (&mut core.quarantine, quarantine_now());
        match answer {
            AnswerEvidence::Complete => {
                quarantine.answered(now, &identity, is_answer_reported(&core.peers))
            }
            AnswerEvidence::UntilClose => quarantine.answered_until_close(now, identity, endpoint),
            AnswerEvidence::Error => {}
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
        node.core
            .borrow_mut()
            .quarantine
            .run_lost(quarantine_now(), lost);
    }
    let ended = pool::refuses_connections(&run.target.address).await;
    log::info!(endpoint = run.target.instance, ended, stays; "a run lost its connection");
    if ended {
        node.counters.runs_ended.inc();
        endpoint_ended(node, endpoint);
    }
    publish_changes(node);
    ended
}

/// Records that an endpoint ended without having announced that it drains.
pub fn endpoint_ended(node: &Node, endpoint: EndpointId) {
    node.core
        .borrow_mut()
        .quarantine
        .endpoint_ended(quarantine_now(), endpoint);
    publish_changes(node);
}

/// Logs and counts state changes, and triggers reports to the other VMs.
fn publish_changes(node: &Node) {
    let changes = {
        let mut core = node.core.borrow_mut();
        let refused = core.quarantine.refused().len();
        node.counters.quarantined.set(refused as f64);
        core.quarantine.take_changes()
    };
    if changes.is_empty() {
        return;
    }
    for change in &changes {
        log_change(node, change);
    }
    let is_held = |change: &QuarantineChange| change.verdict == QuarantineVerdict::Held;
    if changes.iter().any(is_held) {
        node.quarantine_grew.notify_waiters();
    }
    node.quarantine_reports_due.notify_one();
}

fn log_change(node: &Node, change: &QuarantineChange) {
    let verdict: &'static str = change.verdict.into();
    let by: &'static str = change.by.into();
    let counter = &node.counters.quarantine_verdicts;
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

/// Removes expired state.
pub fn tick(node: &Node) {
    node.core.borrow_mut().quarantine.tick(quarantine_now());
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
    core.quarantine.list(quarantine_now())
}

/// Releases a request on an operator's order; false if this VM has no evidence against it.
pub fn release(node: &Node, fingerprint: Fingerprint) -> bool {
    let released = node
        .core
        .borrow_mut()
        .quarantine
        .release(quarantine_now(), fingerprint);
    publish_changes(node);
    released
}
