//! Orders to endpoints, towards the configured state, by one VM of a failure domain at a time.
//!
//! The holder of a lease takes a fencing number that is one higher than any before it. Endpoints that
//! check the number refuse a holder that was paused past its lease. For those that don't, the holder
//! stops a margin before its lease can end by its own clock, and its successor waits the margin out
//! before it gives its first order; orders name the whole wanted state, so a doubled one is harmless.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::commit::Answer;
use crate::id::{EndpointId, Epoch, Name, Nonce, Revision, VmId};

/// Length of the lease.
pub const LEASE: Duration = Duration::from_secs(6);
/// Time between two renewals.
pub const RENEW: Duration = Duration::from_secs(2);
/// The holder gives no order in the last part of its lease, and its successor none in the first of
/// its own: longer than an order may be under way.
pub const MARGIN: Duration = Duration::from_secs(2);
/// Time between two tries for the lease.
pub const TRY: Duration = Duration::from_secs(2);
/// Time after which an endpoint that does not report the wanted state is ordered again.
pub const AGAIN: Duration = Duration::from_secs(4);
/// Loads that one failure domain may start within [`SPACING`]; keeps the weight store within its
/// rate when a configuration changes every endpoint at once.
pub const LOADS: usize = 4;
/// See [`LOADS`].
pub const SPACING: Duration = Duration::from_secs(2);

/// The record that keeps the fencing number for ever.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FenceRecord {
    pub fence: Epoch,
    pub holder: VmId,
    pub nonce: Nonce,
}

/// What one endpoint should have loaded, and has.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointModels {
    pub endpoint: EndpointId,
    pub models: Vec<Name>,
    pub reported: Option<Vec<Name>>,
}

/// What the host is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Ask for a lease and create the key of the holder with it; answer with [`Orders::leased`].
    Lease,
    Renew {
        lease: u64,
    },
    /// Read the fence record; answer with [`Orders::fence_read`].
    ReadFence,
    WriteFence {
        expect: Revision,
        record: FenceRecord,
    },
    Order {
        endpoint: EndpointId,
        fence: Epoch,
        models: Vec<Name>,
    },
}

#[derive(Debug, Clone, PartialEq)]
enum Phase {
    Idle {
        try_at: Duration,
    },
    Asked,
    /// Holds the lease; the fencing number is not its own yet.
    Fencing {
        lease: u64,
        until: Duration,
        record: Option<FenceRecord>,
    },
    Holding {
        lease: u64,
        until: Duration,
        fence: Epoch,
        from: Duration,
    },
}

/// The state of orders at one VM.
#[derive(Debug)]
pub struct Orders {
    own: VmId,
    phase: Phase,
    /// When the call under way was sent; a lease counts from there.
    sent_at: Duration,
    renew_at: Duration,
    renewing: bool,
    nonce: Nonce,
    ordered_at: BTreeMap<EndpointId, Duration>,
    loads: Vec<Duration>,
}

impl Orders {
    /// A VM that holds nothing; `nonce` must be random.
    pub fn new(own: VmId, nonce: Nonce) -> Orders {
        Orders {
            own,
            phase: Phase::Idle {
                try_at: Duration::ZERO,
            },
            sent_at: Duration::ZERO,
            renew_at: Duration::ZERO,
            renewing: false,
            nonce,
            ordered_at: BTreeMap::new(),
            loads: Vec::new(),
        }
    }

    /// The fencing number, while orders may be given.
    pub fn fence(&self, now: Duration) -> Option<Epoch> {
        match self.phase {
            Phase::Holding {
                until, fence, from, ..
            } if from <= now && now + MARGIN < until => Some(fence),
            _ => None,
        }
    }

    /// Does what is due; `candidate` tells whether this VM is to try for the lease.
    pub fn tick(
        &mut self,
        now: Duration,
        candidate: bool,
        wanted: &[EndpointModels],
        out: &mut Vec<Action>,
    ) {
        self.expire(now);
        match &self.phase {
            Phase::Idle { try_at } if candidate && now >= *try_at => {
                self.phase = Phase::Asked;
                self.sent_at = now;
                out.push(Action::Lease);
            }
            Phase::Holding { lease, .. } if candidate && !self.renewing && now >= self.renew_at => {
                self.renewing = true;
                self.sent_at = now;
                out.push(Action::Renew { lease: *lease });
            }
            _ => {}
        }
        if let Some(fence) = self.fence(now) {
            self.order(now, fence, wanted, out);
        }
    }

    /// Past its end by this VM's own clock a lease is lost, whatever the platform would say.
    fn expire(&mut self, now: Duration) {
        let until = match self.phase {
            Phase::Fencing { until, .. } | Phase::Holding { until, .. } => until,
            _ => return,
        };
        if now >= until {
            self.lose(now);
        }
    }

    fn lose(&mut self, now: Duration) {
        self.phase = Phase::Idle { try_at: now + TRY };
        self.renewing = false;
        self.ordered_at.clear();
    }

    /// The lease was had, with the holder's key; `None` when another VM has it or the platform is
    /// away.
    pub fn leased(&mut self, now: Duration, lease: Option<u64>, out: &mut Vec<Action>) {
        if self.phase != Phase::Asked {
            return;
        }
        let Some(lease) = lease else {
            return self.lose(now);
        };
        let until = self.sent_at + LEASE;
        self.phase = Phase::Fencing {
            lease,
            until,
            record: None,
        };
        out.push(Action::ReadFence);
    }

    /// A renewal was answered; `None` when it is not known whether it was made.
    pub fn renewed(&mut self, now: Duration, alive: Option<bool>) {
        self.renewing = false;
        self.renew_at = now + RENEW;
        let sent_at = self.sent_at;
        match (&mut self.phase, alive) {
            (Phase::Holding { until, .. }, Some(true)) => *until = sent_at + LEASE,
            (Phase::Holding { .. }, Some(false)) => self.lose(now),
            // In doubt the lease counts as it did before.
            _ => {}
        }
    }

    /// The fence record was read; `None` when that failed.
    pub fn fence_read(
        &mut self,
        now: Duration,
        found: Option<Option<(Revision, FenceRecord)>>,
        out: &mut Vec<Action>,
    ) {
        let Phase::Fencing { record, .. } = &mut self.phase else {
            return;
        };
        let Some(found) = found else {
            return self.lose(now);
        };
        let (revision, fence) = found.as_ref().map_or((0, 0), |(r, old)| (*r, old.fence));
        if let (Some(own), Some((_, standing))) = (record.as_ref(), found.as_ref()) {
            if own.nonce == standing.nonce {
                // The answer to the write was lost, and it took effect.
                let own = own.clone();
                return self.hold(now, &own);
            }
        }
        self.nonce = self.nonce.wrapping_add(1);
        let fresh = FenceRecord {
            fence: fence + 1,
            holder: self.own,
            nonce: self.nonce,
        };
        *record = Some(fresh.clone());
        out.push(Action::WriteFence {
            expect: revision,
            record: fresh,
        });
    }

    /// The fence record's write was answered.
    pub fn fence_written(&mut self, now: Duration, answer: Answer, out: &mut Vec<Action>) {
        let Phase::Fencing {
            record: Some(record),
            ..
        } = &self.phase
        else {
            return;
        };
        let record = record.clone();
        match answer {
            Answer::Won(_) => self.hold(now, &record),
            Answer::Lost | Answer::Unknown => out.push(Action::ReadFence),
            Answer::Away => self.lose(now),
        }
    }

    fn hold(&mut self, now: Duration, record: &FenceRecord) {
        let Phase::Fencing { lease, until, .. } = self.phase else {
            return;
        };
        self.renew_at = now;
        let (fence, from) = (record.fence, now + MARGIN);
        self.phase = Phase::Holding {
            lease,
            until,
            fence,
            from,
        };
    }

    /// An endpoint refused an order as old: another holder has a higher number.
    pub fn refused(&mut self, now: Duration) {
        self.lose(now);
    }

    fn order(
        &mut self,
        now: Duration,
        fence: Epoch,
        wanted: &[EndpointModels],
        out: &mut Vec<Action>,
    ) {
        self.loads.retain(|at| now < *at + SPACING);
        for row in wanted {
            // What an endpoint has is known only from itself.
            let Some(reported) = &row.reported else {
                continue;
            };
            if same(reported, &row.models) {
                self.ordered_at.remove(&row.endpoint);
                continue;
            }
            let last = self.ordered_at.get(&row.endpoint);
            if last.is_some_and(|at| now < *at + AGAIN) || self.loads.len() >= LOADS {
                continue;
            }
            self.ordered_at.insert(row.endpoint, now);
            self.loads.push(now);
            let models = row.models.clone();
            out.push(Action::Order {
                endpoint: row.endpoint,
                fence,
                models,
            });
        }
    }
}

fn same(a: &[Name], b: &[Name]) -> bool {
    a.len() == b.len() && a.iter().all(|name| b.contains(name))
}
