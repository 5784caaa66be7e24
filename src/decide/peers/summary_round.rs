//! One summary round of a delegate: its messages to each VM of its failure domain and to the other
//! delegates.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::domain_usage::{DomainUsage, EndpointUses};
use super::messages::{Heartbeat, QuotaCounts, Summary};
use super::summaries::DomainTotals;
use crate::decide::discovery::EndpointChanges;
use crate::decide::endpoints::EndpointLoad;
use crate::decide::quota::{DomainCounts, WorkspaceCount};
use crate::id::{self, EndpointId, VmId};

/// Bytes for a summary's lists in one datagram of 1,400, which also holds its other fields and its
/// authentication.
const LISTS_BYTES_MAX: usize = 1300;
/// Largest use of an endpoint: an id and four counts.
const ROW_BYTES: usize = 16;
/// Largest entry of any other list: an id and a count.
const ENTRY_BYTES: usize = 13;
/// VMs with waiting items in one summary, those with most first. An endpoint has fewer slots, and
/// VMs that are left out get theirs when others have been served.
const COMPETING_VMS_MAX: usize = 16;
/// Endpoints in one summary at which the addressed VM has to give up items; the next round names
/// the rest.
const ALLOWANCES_MAX: usize = 10;
/// Processes without a registration in one summary: nearly all of a failure domain's 50, after an
/// outage in which registrations lapsed. Jobs of a process that is left out are run twice for a
/// while.
const UNREGISTERED_MAX: usize = 48;
/// Draining VMs in one summary; no more than these are stopped at a time.
const DRAINING_VMS_MAX: usize = 12;
/// Routes and workspaces with waiting tokens in one summary; those left out are counted by the
/// reservations in the store.
const BACKLOG_MAX: usize = 16;
/// Workspaces with requests in one summary, those nearest to their quotas.
const COUNTS_MAX: usize = 40;

/// The state that a delegate sends in one round.
#[derive(Debug)]
pub struct SummaryRound {
    /// Template for all messages of the round; has no endpoint rows.
    summary: Summary,
    uses: DomainUsage,
    counts: DomainCounts,
    competing_vms: Vec<(VmId, u32)>,
    item_allowances: HashMap<VmId, Vec<(EndpointId, u32)>>,
    /// Latest changes of endpoints, for the VMs of the failure domain.
    pub endpoint_changes: EndpointChanges,
}

impl SummaryRound {
    /// Aggregates the domain's state; `heartbeat` is the delegate's own in this round.
    pub fn new(
        heartbeat: &Heartbeat,
        peer_address: SocketAddr,
        totals: DomainTotals,
        uses: DomainUsage,
        counts: DomainCounts,
        load_of: impl Fn(EndpointId) -> Option<EndpointLoad>,
    ) -> SummaryRound {
        let keeps = uses.item_allowances(load_of);
        let summary = Summary {
            delegate: id::of(&heartbeat.name),
            owner: heartbeat.owner,
            domain: heartbeat.domain,
            sequence: heartbeat.sequence,
            part: 0,
            parts: 1,
            peer_address,
            draining: heartbeat.draining,
            store_available: heartbeat.store_available,
            rules: heartbeat.rules,
            endpoints: heartbeat.endpoints,
            confirmation_ages: heartbeat.confirmation_ages,
            jobs: totals.jobs,
            waiting: totals.competing_vms.iter().map(|(_, items)| items).sum(),
            backlog: truncated(totals.backlog, BACKLOG_MAX),
            unregistered: truncated(totals.unregistered, UNREGISTERED_MAX),
            draining_vms: truncated(totals.draining_vms, DRAINING_VMS_MAX),
            competing_vms: Vec::new(),
            item_allowances: Vec::new(),
            vms: counts.vms,
            counts: QuotaCounts {
                counted_for_ms: counts.counted_for.as_millis() as u32,
                rows: Vec::new(),
            },
            rows: Vec::new(),
            endpoint_changes: None,
        };
        SummaryRound {
            summary,
            endpoint_changes: EndpointChanges::default(),
            uses,
            counts,
            competing_vms: totals.competing_vms,
            item_allowances: keeps,
        }
    }

    /// Whether a VM has to give up items.
    pub fn has_excess_items(&self, vm: VmId) -> bool {
        self.item_allowances.contains_key(&vm)
    }

    /// Summary for one VM of the failure domain, in parts.
    pub fn for_member(&self, vm: VmId) -> Vec<Summary> {
        let others = self.competing_vms.iter().filter(|(rival, _)| *rival != vm);
        let keeps = self.item_allowances.get(&vm).map_or(&[][..], Vec::as_slice);
        let first = Summary {
            competing_vms: others.take(COMPETING_VMS_MAX).copied().collect(),
            item_allowances: keeps.iter().take(ALLOWANCES_MAX).copied().collect(),
            counts: self.truncated_counts(self.counts.without(vm)),
            endpoint_changes: Some(self.endpoint_changes.clone()),
            ..self.summary.clone()
        };
        self.parts(first, &self.uses.without(vm))
    }

    /// Summary for the delegates of the other failure domains, in parts.
    pub fn for_delegates(&self) -> Vec<Summary> {
        let first = Summary {
            counts: self.truncated_counts(self.counts.rows.clone()),
            ..self.summary.clone()
        };
        self.parts(first, &self.uses.all())
    }

    fn truncated_counts(&self, rows: Vec<WorkspaceCount>) -> QuotaCounts {
        QuotaCounts {
            rows: truncated(rows, COUNTS_MAX),
            ..self.summary.counts.clone()
        }
    }

    /// A summary with all its rows, in as many parts as they need. The first one has the other
    /// lists.
    fn parts(&self, first: Summary, rows: &EndpointUses) -> Vec<Summary> {
        let entries = first.competing_vms.len()
            + first.item_allowances.len()
            + first.unregistered.len()
            + first.draining_vms.len()
            + first.backlog.len()
            + first
                .endpoint_changes
                .as_ref()
                .map_or(0, |changes| changes.entries.len())
            + first.counts.rows.len();
        let bytes_left = LISTS_BYTES_MAX.saturating_sub(entries * ENTRY_BYTES);
        let (first_rows, rest) = rows.split_at(rows.len().min(bytes_left / ROW_BYTES));
        let rest = rest.chunks(LISTS_BYTES_MAX / ROW_BYTES);
        let parts = 1 + rest.len() as u8;
        let first = Summary {
            parts,
            rows: first_rows.to_vec(),
            ..first
        };
        let rest = rest.enumerate().map(|(index, rows)| Summary {
            part: index as u8 + 1,
            parts,
            rows: rows.to_vec(),
            backlog: Vec::new(),
            unregistered: Vec::new(),
            draining_vms: Vec::new(),
            ..self.summary.clone()
        });
        [first].into_iter().chain(rest).collect()
    }
}

/// The first `count` entries of a list.
fn truncated<T>(mut list: Vec<T>, count: usize) -> Vec<T> {
    list.truncate(count);
    list
}
