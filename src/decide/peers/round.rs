//! What a delegate tells at one moment, to each VM of its failure domain and to the other delegates.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::messages::{Heartbeat, Summary};
use super::speaking::Summed;
use super::uses::{DomainUses, Uses};
use crate::decide::endpoints::Endpoints;
use crate::id::{self, EndpointId, VmId};

/// Endpoints in one summary; with the other rows it stays within one datagram.
const ROWS_MAX: usize = 50;
/// VMs with waiting items in one summary, those with most first. The slots of an endpoint are fewer, and those
/// left out get theirs when others have been served.
const RIVALS_MAX: usize = 24;
/// Endpoints in one summary where the addressed VM has to give up items; the next round names the rest.
const KEEPS_MAX: usize = 12;

/// What a delegate has to tell.
#[derive(Debug)]
pub struct Round {
    /// Without rows.
    summary: Summary,
    uses: DomainUses,
    rivals: Vec<(VmId, u32)>,
    keeps: HashMap<VmId, Vec<(EndpointId, u32)>>,
}

impl Round {
    /// Sums up what was heard; `own` is the delegate's own heartbeat of this round.
    pub fn new(
        own: &Heartbeat,
        peer_address: SocketAddr,
        summed: Summed,
        uses: DomainUses,
        endpoints: &Endpoints,
    ) -> Round {
        let keeps = uses.keeps(endpoints);
        let summary = Summary {
            by: id::of(&own.name),
            owner: own.owner,
            domain: own.domain,
            sequence: own.sequence,
            part: 0,
            peer_address,
            draining: own.draining,
            store: own.store,
            rules: own.rules,
            endpoints: own.endpoints,
            jobs: summed.jobs,
            vms: summed.vms,
            waiting: summed.rivals.iter().map(|(_, items)| items).sum(),
            backlog: summed.backlog,
            unregistered: summed.unregistered,
            leaving: summed.leaving,
            rivals: Vec::new(),
            keeps: Vec::new(),
            rows: Vec::new(),
        };
        Round {
            summary,
            uses,
            rivals: summed.rivals,
            keeps,
        }
    }

    /// Whether a VM has to give up items.
    pub fn presses(&self, vm: VmId) -> bool {
        self.keeps.contains_key(&vm)
    }

    /// What one VM of the failure domain is told.
    pub fn for_member(&self, vm: VmId) -> Vec<Summary> {
        let others = self.rivals.iter().filter(|(rival, _)| *rival != vm);
        let keeps = self.keeps.get(&vm).map_or(&[][..], Vec::as_slice);
        let first = Summary {
            rivals: others.take(RIVALS_MAX).copied().collect(),
            keeps: keeps.iter().take(KEEPS_MAX).copied().collect(),
            ..self.summary.clone()
        };
        self.parts(first, &self.uses.without(vm))
    }

    /// What the delegates of the other failure domains are told.
    pub fn for_delegates(&self) -> Vec<Summary> {
        self.parts(self.summary.clone(), &self.uses.all())
    }

    /// A summary with all its rows, in as many parts as they take.
    fn parts(&self, first: Summary, rows: &Uses) -> Vec<Summary> {
        let mut chunks = rows.chunks(ROWS_MAX).map(<[_]>::to_vec);
        let head = Summary {
            rows: chunks.next().unwrap_or_default(),
            ..first
        };
        let rest = chunks.enumerate().map(|(at, rows)| Summary {
            part: at as u8 + 1,
            rows,
            ..self.summary.clone()
        });
        [head].into_iter().chain(rest).collect()
    }
}
