//! Messages between serving processes: by UDP, what each one has in flight and which versions it
//! has; by TCP, the configuration and endpoints that another process lacks.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use super::ask::{ask, reply};
use super::delegate;
use super::endpoint_news;
use super::load_reports;
use super::node::{Core, Node, Stage};
use super::quarantine;
use super::quotas;
use super::replies::{self, Reply};
use super::waiting_items;
use crate::clock;
use crate::decide::backlog::RouteKey;
use crate::decide::endpoints::Endpoint;
use crate::decide::load_reports::LoadReport;
use crate::decide::peers::{
    EndpointUseRow, Heartbeat, KnownVersions, NewerPeers, QuotaCounts, Summary,
};
use crate::decide::quarantine::QuarantineReport;
use crate::decide::quota::{CountReport, CountSource, WorkspaceCount, WorkspaceKey};
use crate::decide::routes::{Route, Rules};
use crate::decide::stream_origins::{StreamRecord, StreamStart};
use crate::decide::usage::EndpointUse;
use crate::decide::waiting_items::WaitingReport;
use crate::id::{self, EndpointId, JobId, OwnerId, Revision};
use crate::wire::DATAGRAM_BYTES_MAX;

/// Time between two heartbeats while nothing changes. To other failure domains it also applies
/// while counts change: their endpoints are used only when the local ones are full. With 52 VMs in
/// three failure domains it leaves 1 of 6 heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two heartbeats while an endpoint is over its limit: as long as a datagram
/// and its handling take, so that the counts at the other VMs are one step behind at most.
const URGENT_SEND_INTERVAL: Duration = Duration::from_millis(10);
/// Shortest time between two heartbeats in a large fleet, where one delegate receives those of tens
/// of VMs.
const LARGE_FLEET_SEND_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between two heartbeats otherwise: changes that are not urgent wait so that several
/// go out together.
const SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two reports to other failure domains of workspaces near their quotas.
const NEAR_QUOTA_SEND_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two reports of all counts to other failure domains. The counts of workspaces far
/// from their quotas are needed only where a failure domain falls silent.
pub const ALL_COUNTS_SEND_INTERVAL: Duration = Duration::from_millis(2500);
/// Delay before a newer version is fetched from another VM: the local watch of the store may bring
/// it in this time.
const FETCH_AFTER: Duration = Duration::from_millis(150);
/// Timeout of one fetch. An answer takes milliseconds between failure domains, and 0.2 s from a VM
/// whose core is used up. With a second VM to ask after a timeout, a configuration that is 0.6 s
/// old is in force within 2 s.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a VM that did not answer is not asked again; by then its heartbeats have shown
/// whether it lives.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_secs(2);
/// A delegate whose watch has brought nothing for this long while others have newer endpoints asks
/// them.
const WATCH_LAG_MAX: Duration = Duration::from_secs(1);
/// Shortest time between two requests for a subset in which nothing has changed.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(15);
/// Endpoints in one heartbeat; keeps the datagram within one packet.
const HEARTBEAT_ROWS_MAX: usize = 96;

/// Routes and workspaces with waiting tokens in one heartbeat. Those left out count by the
/// reservations in the store.
const BACKLOG_ROWS_MAX: usize = 24;
/// Workspaces with requests in one heartbeat: those nearest to their quotas.
const COUNT_ROWS_MAX: usize = 32;

/// Path under which another VM is asked for the configuration.
pub const RULES_PATH: &str = "/rules";
/// Path under which another VM is asked for a part of a batch job; the part's key follows.
const PART_PATH: &str = "/part/";

/// A message by UDP.
#[derive(Debug, Serialize, Deserialize)]
pub enum Datagram {
    /// State of one VM, sent by that VM.
    Heartbeat(Heartbeat),
    /// State of a failure domain, sent by its delegate.
    Summary(Summary),
    /// Evidence of requests that end their endpoints.
    Quarantine(Vec<QuarantineReport>),
    /// Load on services and evidence of failing endpoints; sent only to VMs that understand it.
    Load(LoadReport),
    /// Which software began a stream. Programs that don't know this message reject it.
    Stream(StreamRecord),
    /// Waiting batch items by service. Programs that don't know this message reject it.
    Waiting(WaitingReport),
    /// Which process is assumed to have begun a stream. Programs that don't know this message reject
    /// it.
    StreamStart(StreamStart),
}

/// Sends heartbeats until the process ends.
pub async fn send_heartbeats(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut sequence = 0;
    let mut remote_due = Duration::ZERO;
    let (mut counts_due, mut all_counts_due) = (Duration::ZERO, Duration::ZERO);
    let mut remote_versions = None;
    let mut sent_waiting = 0;
    loop {
        sequence += 1;
        let heartbeat = heartbeat(&node, sequence);
        let now = clock::now();
        let versions = Some((
            heartbeat.rules,
            heartbeat.endpoints,
            heartbeat.draining,
            heartbeat.store_available,
        ));
        // A job was admitted on a route with a limit. Without this, a VM that receives the count
        // half a second later admits more than may wait where the limit was lowered meanwhile.
        let waiting: u64 = heartbeat.backlog.iter().map(|(_, tokens)| tokens).sum();
        let has_admitted = waiting > sent_waiting;
        let to_remote = now >= remote_due
            || has_preemptible_load(&node)
            || versions != remote_versions
            || has_admitted;
        let near_quota = near_quota_workspaces(&node, now, &heartbeat);
        let to_remote = to_remote || (!near_quota.is_empty() && now >= counts_due);
        if to_remote {
            remote_due = now + HEARTBEAT_INTERVAL;
            counts_due = now + NEAR_QUOTA_SEND_INTERVAL;
            remote_versions = versions;
            sent_waiting = waiting;
        }
        let all_counts = now >= all_counts_due;
        if to_remote && all_counts {
            all_counts_due = now + ALL_COUNTS_SEND_INTERVAL;
        }
        send_to_local_domain(&node, &socket, &heartbeat);
        if to_remote {
            let is_sent =
                |count: &WorkspaceCount| all_counts || near_quota.contains(&count.workspace);
            send_to_remote_domains(&node, &socket, retain_counts(heartbeat, is_sent));
        }
        let _ = timeout(HEARTBEAT_INTERVAL, node.heartbeat_due.notified()).await;
        let meshed = node
            .core
            .borrow()
            .peers
            .receives_domain_heartbeats(node.vm, node.domain);
        let pause = match (has_preemptible_load(&node), meshed) {
            (_, false) => LARGE_FLEET_SEND_INTERVAL,
            (true, true) => URGENT_SEND_INTERVAL,
            (false, true) => SEND_INTERVAL,
        };
        sleep((now + pause).saturating_sub(clock::now())).await;
    }
}

/// Workspaces with local requests that are near their quotas.
fn near_quota_workspaces(
    node: &Node,
    now: Duration,
    heartbeat: &Heartbeat,
) -> HashSet<WorkspaceKey> {
    let core = node.core.borrow();
    let rows = heartbeat.counts.rows.iter();
    let near = rows.filter(|row| quotas::needs_prompt_report(&core, now, row));
    near.map(|row| row.workspace).collect()
}

fn retain_counts(mut heartbeat: Heartbeat, keep: impl Fn(&WorkspaceCount) -> bool) -> Heartbeat {
    heartbeat.counts.rows.retain(keep);
    heartbeat
}

fn send_to_local_domain(node: &Node, socket: &UdpSocket, heartbeat: &Heartbeat) {
    let targets = node
        .core
        .borrow()
        .peers
        .heartbeat_targets(node.domain, true);
    let sequence = heartbeat.sequence;
    send_to_targets(node, socket, heartbeat.clone(), &targets);
    waiting_items::send_own(node, socket, sequence, &targets);
    load_reports::send_own(node, socket, sequence, targets);
}

fn send_to_remote_domains(node: &Node, socket: &UdpSocket, heartbeat: Heartbeat) {
    let targets = {
        let mut core = node.core.borrow_mut();
        let targets = core.peers.heartbeat_targets(node.domain, false);
        if !targets.is_empty() {
            core.quotas.record_report(&heartbeat.counts.rows);
        }
        targets
    };
    let sequence = heartbeat.sequence;
    send_to_targets(node, socket, heartbeat, &targets);
    waiting_items::send_own(node, socket, sequence, &targets);
    load_reports::send_own(node, socket, sequence, targets);
}

fn send_to_targets(node: &Node, socket: &UdpSocket, heartbeat: Heartbeat, targets: &[SocketAddr]) {
    let Some(sealed) = seal(node, &Datagram::Heartbeat(heartbeat)) else {
        return;
    };
    for to in targets {
        // A lost datagram is made good by the next heartbeat.
        let _ = socket.try_send_to(&sealed, *to);
    }
}

/// Encodes and authenticates a datagram; `None` when that fails, which is logged.
pub fn seal(node: &Node, datagram: &Datagram) -> Option<Vec<u8>> {
    match node.key.seal(datagram) {
        Ok(sealed) if sealed.len() <= DATAGRAM_BYTES_MAX => return Some(sealed),
        Ok(sealed) => log::error!(bytes = sealed.len(); "datagram too long"),
        Err(error) => log::error!(error:% = error; "a datagram can't be encoded"),
    }
    None
}

/// Whether an endpoint has more requests than it runs while other VMs have batch items there.
fn has_preemptible_load(node: &Node) -> bool {
    let now = clock::now();
    let core = node.core.borrow();
    let rows = &core.online.endpoints.rows;
    rows.iter()
        .any(|row| row.may_queue(now) && core.usage.total(row.id).batch > 0)
}

/// The state of this VM for the other VMs.
pub fn heartbeat(node: &Node, sequence: u64) -> Heartbeat {
    let core = node.core.borrow();
    let now = clock::now();
    let short = |count: u32| count.min(u32::from(u16::MAX)) as u16;
    let placed = core.items.by_endpoint(now);
    let row = |row: &Endpoint| {
        let here = placed.get(&row.id).copied().unwrap_or_default();
        EndpointUseRow {
            endpoint: row.id,
            uses: EndpointUse {
                online: short(row.online_here),
                batch: short(here.batch),
                urgent: short(here.urgent),
            },
        }
    };
    let rows = core.online.endpoints.rows.iter().map(row);
    let counts = quotas::counts(&core, now, COUNT_ROWS_MAX);
    Heartbeat {
        name: node.settings.name.clone(),
        domain: node.domain,
        owner: node.owner,
        sequence,
        draining: core.stage == Stage::Draining,
        store_available: node.store_answers.get(),
        rules: core.rules_version(),
        endpoints: match core.discovery.holds_all() {
            true => core.discovery.revision,
            false => 0,
        },
        confirmation_ages: core.freshness.own_confirmation_ages(now),
        jobs: core.jobs.revision,
        waiting: core.items.waiting_count() as u32,
        backlog: backlog(&core, node.owner),
        peer_port: node.settings.peer_address.port(),
        rows: rows
            .filter(|row| row.uses != EndpointUse::default())
            .take(HEARTBEAT_ROWS_MAX.saturating_sub(counts.rows.len()))
            .collect(),
        counts,
    }
}

/// Tokens that wait on this VM, by route with a limit.
fn backlog(core: &Core, owner: OwnerId) -> Vec<(RouteKey, u64)> {
    let routes = core.routes.iter().flat_map(|table| &table.rules.routes);
    let limited = routes.filter(|route| route.waiting_tokens_max.is_some());
    let tokens_of = |key: RouteKey| {
        let own = core.jobs.open_tokens_of_owners(key, |id| id == owner);
        let known = |job: &JobId| core.jobs.rows.contains_key(job);
        (key, own + core.backlog.tokens_being_written(key, known))
    };
    let keys = limited.flat_map(|route: &Route| {
        let with_jobs = core.jobs.route_keys(&route.name).into_iter();
        with_jobs.chain(core.backlog.keys_being_written())
    });
    let keys: HashSet<RouteKey> = keys.collect();
    let mut tokens: Vec<(RouteKey, u64)> = keys.into_iter().map(tokens_of).collect();
    tokens.retain(|(_, tokens)| *tokens > 0);
    tokens.sort_by_key(|(_, tokens)| std::cmp::Reverse(*tokens));
    tokens.truncate(BACKLOG_ROWS_MAX);
    tokens
}

/// Receives datagrams until the process ends.
pub async fn receive_datagrams(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; DATAGRAM_BYTES_MAX];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!(error:% = error; "a datagram can't be received");
                sleep(SEND_INTERVAL).await;
                continue;
            }
        };
        match node.key.open::<Datagram>(&buffer[..length]) {
            Ok(Datagram::Heartbeat(heartbeat)) => {
                if apply_heartbeat(&node, from, heartbeat) {
                    quarantine::report_held(&node, &socket, from);
                }
            }
            Ok(Datagram::Summary(summary)) => {
                delegate::apply_summary(&node, &socket, summary, &buffer[..length]);
            }
            Ok(Datagram::Quarantine(reports)) => {
                quarantine::apply_reports(&node, &socket, &reports)
            }
            Ok(Datagram::Load(report)) => {
                load_reports::apply(&node, &socket, report, &buffer[..length]);
            }
            Ok(Datagram::Waiting(report)) => {
                waiting_items::apply(&node, &socket, report, &buffer[..length]);
            }
            Ok(Datagram::Stream(record)) => {
                let (now, mut core) = (clock::now(), node.core.borrow_mut());
                // The sender has found the version on record before the stream began.
                core.recorded.found(now, record.origin.clone());
                core.streams.record(now, record);
            }
            Ok(Datagram::StreamStart(start)) => {
                let (now, mut core) = (clock::now(), node.core.borrow_mut());
                core.recorded.found(now, start.record.origin.clone());
                core.streams.record_start(now, start);
            }
            Err(error) => log::warn!(from:% = from, error:% = error; "datagram rejected"),
        }
    }
}

/// Applies a heartbeat; true when its process was not known before.
fn apply_heartbeat(node: &Node, from: SocketAddr, heartbeat: Heartbeat) -> bool {
    if heartbeat.name == node.settings.name {
        return false;
    }
    let now = clock::now();
    let mut guard = node.core.borrow_mut();
    let core = &mut *guard;
    let is_new = !core.peers.is_known_process(&heartbeat);
    let before = core.peers.owner_of(id::of(&heartbeat.name));
    if !core.peers.apply_heartbeat(now, from, &heartbeat) {
        return false;
    }
    if let Some(before) = before.filter(|owner| *owner != heartbeat.owner) {
        core.quotas.process_replaced(before);
    }
    let theirs = KnownVersions {
        rules: heartbeat.rules,
        endpoints: heartbeat.endpoints,
    };
    core.apply_confirmation_ages(now, heartbeat.confirmation_ages, theirs);
    let source = CountSource::Process(heartbeat.owner);
    core.quotas.apply_report(
        now,
        source,
        count_report(1, heartbeat.draining, &heartbeat.counts),
    );
    let rows = heartbeat
        .rows
        .into_iter()
        .map(|row| (row.endpoint, row.uses));
    let touched = core.usage.apply_report(now, id::of(&heartbeat.name), rows);
    let endpoints = &mut core.online.endpoints;
    let yields = core
        .items
        .update_usage_at(now, endpoints, &core.usage, &touched);
    let crowded = |id: &EndpointId| {
        let row = endpoints.get(*id);
        row.is_some_and(|row| row.batch > 0 && row.may_queue(now))
    };
    if core.peers.is_delegate(node.vm) && touched.iter().any(crowded) {
        node.excess_reported.notify_one();
    }
    drop(guard);
    if yields {
        node.plan_items.notify_one();
    }
    is_new
}

/// Request counts of a heartbeat or summary as a report to the quotas.
pub fn count_report(vms: u32, leaving: bool, counts: &QuotaCounts) -> CountReport<'_> {
    CountReport {
        vms,
        counted_for: Duration::from_millis(counts.counted_for_ms.into()),
        leaving,
        counts: &counts.rows,
    }
}

/// Fetches newer configuration and endpoints from other VMs until the process ends.
///
/// Without this, a VM that the store refuses, or whose watch has gone silent, serves its callers by
/// an old configuration for as long as that lasts.
pub async fn fetch_newer_versions(node: Rc<Node>) {
    let mut unanswered = Unanswered::new();
    let mut missed = MissedRevision::default();
    let mut rebalance_at = clock::now() + rebalance_interval(&node);
    loop {
        sleep(FETCH_AFTER).await;
        unanswered.retain(|_, until| clock::now() < *until);
        let newer = newer_peers(&node, &unanswered);
        let rebalance = clock::now() >= rebalance_at || holds_surplus(&node);
        if newer.rules.is_none() && newer.endpoints.is_none() && !rebalance {
            continue;
        }
        sleep(FETCH_AFTER).await;
        if let Some(from) = newer_peers(&node, &unanswered).rules {
            let fetched = fetch_rules(&node, from).await;
            note_answer(&mut unanswered, from, fetched);
        }
        let newer = newer_peers(&node, &unanswered).endpoints;
        let newer = newer.filter(|_| missed.is_due(&node));
        let from = newer.or_else(|| subset_source(&node).filter(|_| rebalance));
        if rebalance {
            rebalance_at = clock::now() + rebalance_interval(&node);
        }
        if let Some(from) = from {
            let fetched = endpoint_news::fetch(&node, from, FETCH_TIMEOUT).await;
            note_answer(&mut unanswered, from, fetched);
        }
    }
}

/// Time between two requests for a subset that nothing in it has changed: endpoints that were added
/// since may belong to it. Differs between VMs.
fn rebalance_interval(node: &Node) -> Duration {
    REBALANCE_INTERVAL + REBALANCE_INTERVAL.mul_f64((node.vm % 1000) as f64 / 1000.0)
}

/// Whether this VM holds all of many endpoints although delegates represent it, as after it has
/// been a delegate itself.
fn holds_surplus(node: &Node) -> bool {
    let core = node.core.borrow();
    core.discovery.has_subset_surplus() && core.peers.is_represented(node.local_vm())
}

/// Where a VM that delegates represent asks for its subset.
fn subset_source(node: &Node) -> Option<SocketAddr> {
    let own = node.local_vm();
    let core = node.core.borrow();
    let source = core.peers.endpoint_source(clock::now(), own);
    source.filter(|_| core.peers.is_represented(own))
}

/// A revision of the endpoints that other VMs have and this one lacks.
///
/// A delegate's own watch brings what other delegates have within a fraction of a second. If each
/// of them asked another one whenever it is behind, then while some endpoint of thousands changes
/// all the time, they would ask each other all the time, between failure domains.
#[derive(Default)]
struct MissedRevision {
    /// This VM's revision when it was first behind, and since when.
    behind_since: Option<(Revision, Duration)>,
}

impl MissedRevision {
    /// Whether to ask now.
    fn is_due(&mut self, node: &Node) -> bool {
        let now = clock::now();
        let own = node.local_vm();
        let core = node.core.borrow();
        let watches = core.peers.is_large() && !core.peers.is_represented(own) && own.eligible;
        if !watches {
            return true;
        }
        let revision = core.discovery.revision;
        match self.behind_since {
            Some((at, since)) if at == revision => now >= since + WATCH_LAG_MAX,
            _ => {
                self.behind_since = Some((revision, now));
                false
            }
        }
    }
}

/// VMs that did not answer, and until when they are not asked.
///
/// Without this, a VM whose heartbeats arrive but that can't be asked, since it is frozen or the
/// network drops one direction, and that has the newest versions, is asked again and again: this VM
/// stays behind while others have the same versions.
type Unanswered = HashMap<SocketAddr, Duration>;

fn note_answer(unanswered: &mut Unanswered, from: SocketAddr, answered: bool) {
    if !answered {
        unanswered.insert(from, clock::now() + UNANSWERED_RETRY_AFTER);
    }
}

fn newer_peers(node: &Node, unanswered: &Unanswered) -> NewerPeers {
    let core = node.core.borrow();
    let answers = |from| !unanswered.contains_key(&from);
    core.peers.newer_peers(
        clock::now(),
        (node.vm, node.domain),
        core.versions(),
        answers,
    )
}

/// Fetches the configuration from another VM; false when it did not answer.
async fn fetch_rules(node: &Rc<Node>, from: SocketAddr) -> bool {
    let fetched = fetch_from::<Rules>(node, from, RULES_PATH).await;
    let answered = fetched.is_some();
    if let Some(rules) = fetched {
        node.apply_rules(rules, "peer");
    }
    answered
}

/// Peer address of a job's owner when that is another living process in a large fleet: there only
/// the owner follows all changes of a job.
pub fn remote_owner(node: &Node, owner: OwnerId) -> Option<SocketAddr> {
    let is_large = node.core.borrow().peers.is_large();
    other_process(node, owner).filter(|_| is_large)
}

/// Peer address of a process when that is living and not this one.
pub fn other_process(node: &Node, owner: OwnerId) -> Option<SocketAddr> {
    let address = node.core.borrow().peers.address(clock::now(), owner);
    address.filter(|_| owner != node.owner)
}

/// Asks the living owner of a job for a part that it has in memory.
pub async fn fetch_part(node: &Node, owner: OwnerId, key: &str) -> Option<Bytes> {
    let from = node.core.borrow().peers.address(clock::now(), owner)?;
    fetch_from(node, from, &format!("{PART_PATH}{key}")).await
}

async fn fetch_from<T: DeserializeOwned>(node: &Node, from: SocketAddr, path: &str) -> Option<T> {
    match ask(node, from, path, Vec::new(), FETCH_TIMEOUT).await {
        Ok(value) => Some(value),
        Err(error) => {
            log::info!(from:% = from, path, error:% = error; "request to another VM failed");
            None
        }
    }
}

/// Answers a request of another VM for the configuration or a part of a job.
pub fn answer_fetch(node: &Node, path: &str) -> Reply {
    let core = node.core.borrow();
    let key = &node.key;
    let sealed = match path {
        RULES_PATH => core.routes.as_ref().map(|table| key.seal(&table.rules)),
        _ => {
            let part = path.strip_prefix(PART_PATH);
            let kept = part.and_then(|part| core.jobs.parts.get(part));
            kept.map(|part| key.seal(&part))
        }
    };
    sealed.map_or_else(|| replies::empty(404), reply)
}
