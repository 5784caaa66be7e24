//! What the other VMs have at each endpoint, as they last said.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{EndpointId, VmId};

/// What a VM said counts no longer than this: a VM that is gone must not keep slots from the others,
/// and one that lives says it again three times within this time.
pub const USE_LIFE: Duration = Duration::from_millis(1600);

/// One VM's requests at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Use {
    pub online: u16,
    pub batch: u16,
    /// Those of `batch` that would miss their due time if they had to make way now.
    pub urgent: u16,
}

#[derive(Debug, Clone)]
struct Said {
    at: Duration,
    by_endpoint: HashMap<EndpointId, Use>,
}

/// The others' use of endpoints.
#[derive(Debug, Default)]
pub struct Usage {
    rows: HashMap<VmId, Said>,
}

/// Use of one endpoint by all other VMs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Elsewhere {
    pub online: u32,
    pub batch: u32,
    pub urgent: u32,
    /// VMs with online requests there.
    pub online_users: u32,
}

impl Usage {
    /// Takes all that a VM has in flight.
    pub fn said(
        &mut self,
        now: Duration,
        vm: VmId,
        uses: impl IntoIterator<Item = (EndpointId, Use)>,
    ) {
        let by_endpoint = uses.into_iter().collect();
        self.rows.insert(
            vm,
            Said {
                at: now,
                by_endpoint,
            },
        );
    }

    /// Forgets what is too old.
    pub fn tick(&mut self, now: Duration) {
        self.rows.retain(|_, said| now < said.at + USE_LIFE);
    }

    /// The sum over all other VMs.
    pub fn of(&self, endpoint: EndpointId) -> Elsewhere {
        let mut sum = Elsewhere::default();
        for said in self.rows.values() {
            if let Some(one) = said.by_endpoint.get(&endpoint) {
                sum.online += u32::from(one.online);
                sum.batch += u32::from(one.batch);
                sum.urgent += u32::from(one.urgent);
                sum.online_users += u32::from(one.online > 0);
            }
        }
        sum
    }

    /// VMs with batch work at an endpoint.
    pub fn batch_users(&self, endpoint: EndpointId) -> Vec<(VmId, u32)> {
        let of = |(vm, said): (&VmId, &Said)| {
            let batch = said.by_endpoint.get(&endpoint).map_or(0, |one| one.batch);
            (batch > 0).then_some((*vm, u32::from(batch)))
        };
        self.rows.iter().filter_map(of).collect()
    }
}

/// How many of its `own` items a VM takes back when `excess` of all VMs' items have to go.
///
/// Every VM works it out from the same counts: the one with the most gives one up at a time, the
/// higher id first among equals. So together they give up `excess`, and not each of them as many.
pub fn own_part(excess: u32, own: (VmId, u32), others: &[(VmId, u32)]) -> u32 {
    let mut counts: Vec<(u32, VmId)> = others.iter().map(|(vm, count)| (*count, *vm)).collect();
    counts.push((own.1, own.0));
    let mut given = 0;
    for _ in 0..excess {
        let Some(most) = counts.iter_mut().max() else {
            break;
        };
        if most.0 == 0 {
            break;
        }
        most.0 -= 1;
        given += u32::from(most.1 == own.0);
    }
    given
}
