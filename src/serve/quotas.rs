//! Checks requests against the quotas of their workspaces and counts them.

pub mod records;

use std::time::Duration;

use rand::Rng;

use super::exchange::Outgoing;
use super::node::{Core, Node};
use crate::clock;
use crate::decide::peers::QuotaCounts;
use crate::decide::quota::{self, Quota, QuotaUse, WorkspaceKey};
use crate::decide::refusal::RefusalKind;
use crate::decide::routes::RouteTable;
use crate::id;
use crate::util;

/// A request that was counted: its workspace and the time.
#[derive(Debug, Clone, Copy)]
pub struct CountedRequest {
    workspace: WorkspaceKey,
    at: Duration,
}

/// Admits a request within the quota of its workspace, or returns the retry delay. `None` if there
/// is no quota.
pub fn admit(node: &Node, out: &Outgoing) -> Result<Option<CountedRequest>, Duration> {
    let Some((name, quota)) = quota_of_request(node, out) else {
        return Ok(None);
    };
    let now = clock::now();
    let workspace = quota::workspace_key(id::of(&name));
    let admitted = {
        let mut core = node.core.borrow_mut();
        let draw = util::rng().random();
        core.quotas.admit(now, workspace, quota, draw)
    };
    node.heartbeat_due.notify_one();
    let Err(after) = admitted else {
        return Ok(Some(CountedRequest { workspace, at: now }));
    };
    let kind = RefusalKind::QuotaUsed;
    let reason: &'static str = kind.into();
    node.counters.refusals.with_label_values(&[reason]).inc();
    let used = node.core.borrow().quotas.used(now, &name, workspace, quota);
    log::info!(
        request = out.id,
        workspace = *name,
        limit = used.limit,
        admitted = used.admitted,
        asked_here = used.asked_here,
        kept_for_silent = used.kept_for_silent,
        share = used.share,
        after_ms = after.as_millis() as u64,
        rules = node.core.borrow().rules_version();
        "refused: the workspace's quota is used"
    );
    let after = after.mul_f64(util::rng().random_range(0.5..1.5));
    Err(after)
}

/// Uncounts a request that never ran.
pub fn give_back(node: &Node, counted: CountedRequest) {
    let mut core = node.core.borrow_mut();
    core.quotas.give_back(counted.workspace, counted.at);
}

fn quota_of_request(node: &Node, out: &Outgoing) -> Option<(id::Name, Quota)> {
    let name = out.workspace.clone()?;
    let routes = node.routes()?;
    let quota = routes.workspaces.as_ref()?.named(&name)?.quota?;
    Some((name, quota))
}

/// The counts that this VM reports to the others, at most `counts_max` of them.
pub fn counts(core: &Core, now: Duration, counts_max: usize) -> QuotaCounts {
    let mut rows = core.quotas.counts(now);
    if rows.len() > counts_max {
        sort_by_use(core, now, &mut rows);
    }
    rows.truncate(counts_max);
    QuotaCounts {
        counted_for_ms: core.quotas.counted_for(now).as_millis() as u32,
        rows,
    }
}

/// Sorts counts so that those of workspaces near their quotas come first.
pub fn sort_by_use(core: &Core, now: Duration, rows: &mut [quota::WorkspaceCount]) {
    let routes = core.routes.as_ref();
    let quota_of = |workspace| routes.and_then(|routes| quota_of(routes, workspace));
    core.quotas.sort_by_use(now, rows, quota_of);
}

/// Whether a workspace with requests here is so near its quota that its counts must be reported
/// promptly.
pub fn needs_prompt_report(core: &Core, now: Duration, count: &quota::WorkspaceCount) -> bool {
    let quota = core
        .routes
        .as_ref()
        .and_then(|routes| quota_of(routes, count.workspace));
    quota.is_some_and(|quota| core.quotas.needs_prompt_report(now, count, quota))
}

fn quota_of(routes: &RouteTable, workspace: WorkspaceKey) -> Option<Quota> {
    routes.workspaces.as_ref()?.by_key(workspace)?.quota
}

/// Quota usage for operators, of each workspace with requests here.
pub fn usage(core: &Core, now: Duration) -> Vec<QuotaUse> {
    let Some(workspaces) = core
        .routes
        .as_ref()
        .and_then(|routes| routes.workspaces.as_ref())
    else {
        return Vec::new();
    };
    let used = |count: &quota::WorkspaceCount| {
        let workspace = workspaces.by_key(count.workspace)?;
        let quota = workspace.quota?;
        Some(
            core.quotas
                .used(now, &workspace.name, count.workspace, quota),
        )
    };
    core.quotas.counts(now).iter().filter_map(used).collect()
}
