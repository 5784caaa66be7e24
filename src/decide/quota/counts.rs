//! Request counts as sent between VMs.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::WorkspaceKey;
use crate::id::VmId;

/// Requests of one workspace within the window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceCount {
    pub workspace: WorkspaceKey,
    pub admitted: u32,
    /// Requests received: admitted or refused.
    pub asked: u32,
}

/// Requests of a failure domain, added up by its delegate.
#[derive(Debug, Clone, Default)]
pub struct DomainCounts {
    pub vms: u32,
    /// Average over the VMs.
    pub counted_for: Duration,
    /// Sorted by requests, the most first, unless [`super::Quotas::sort_by_use`] has changed that.
    pub rows: Vec<WorkspaceCount>,
    pub(super) by_vm: HashMap<VmId, Vec<WorkspaceCount>>,
}

impl DomainCounts {
    /// The rows minus the requests of one VM.
    pub fn without(&self, vm: VmId) -> Vec<WorkspaceCount> {
        let excluded = self.by_vm.get(&vm).map_or(&[][..], Vec::as_slice);
        let subtract = |row: &WorkspaceCount| {
            let excluded = excluded
                .iter()
                .find(|excluded| excluded.workspace == row.workspace);
            WorkspaceCount {
                workspace: row.workspace,
                admitted: row.admitted - excluded.map_or(0, |excluded| excluded.admitted),
                asked: row.asked - excluded.map_or(0, |excluded| excluded.asked),
            }
        };
        self.rows.iter().map(subtract).collect()
    }
}

impl WorkspaceCount {
    pub(super) fn add_to(&self, sums: &mut HashMap<WorkspaceKey, WorkspaceCount>) {
        let sum = sums.entry(self.workspace).or_insert(WorkspaceCount {
            workspace: self.workspace,
            admitted: 0,
            asked: 0,
        });
        sum.admitted += self.admitted;
        sum.asked += self.asked;
    }
}
