//! Sends orders to endpoints to load the configured models, from one VM of a failure domain at a
//! time.
//!
//! The holder of a lease takes a fencing number that is one higher than any earlier one. Endpoints
//! that check the number refuse a holder that was paused past its lease. For endpoints that don't
//! check it, the holder stops a margin before its lease can expire by its own clock, and its
//! successor waits for the same margin before its first order. Orders carry the complete target
//! state, so a duplicate is harmless.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::commit::WriteOutcome;
use crate::id::{EndpointId, Epoch, Name, Nonce, Revision, VmId};

/// Length of the lease.
pub const LEASE_DURATION: Duration = Duration::from_secs(6);
/// Interval between renewals.
pub const LEASE_RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// The holder sends no order in the last part of its lease, and its successor none in the first
/// part of its own: longer than an order may be in flight.
pub const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// Interval between attempts to acquire the lease.
pub const LEASE_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Time after which an endpoint that does not report the target state is sent the order again.
pub const ORDER_RETRY_AFTER: Duration = Duration::from_secs(4);
/// Model loads that one failure domain may start within [`LOADS_WINDOW`]; keeps the weight store
/// within its rate limit when a configuration changes every endpoint at once.
pub const LOADS_MAX: usize = 4;
/// See [`LOADS_MAX`].
pub const LOADS_WINDOW: Duration = Duration::from_secs(2);

/// The record that keeps the fencing number permanently.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FenceRecord {
    pub fence: Epoch,
    pub holder: VmId,
    pub nonce: Nonce,
}

/// Models that one endpoint should have loaded, and those that it reports.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointModels {
    pub endpoint: EndpointId,
    pub models: Vec<Name>,
    pub reported: Option<Vec<Name>>,
}

/// What the host has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Request a lease and create the holder's key with it; answer with [`Orders::lease_answered`].
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
    Requested,
    /// Holds the lease, but has not written its fencing number yet.
    Fencing {
        lease: u64,
        until: Duration,
        record: Option<FenceRecord>,
    },
    Holding {
        lease: u64,
        until: Duration,
        fence: Epoch,
        orders_from: Duration,
    },
}

/// State of the orders at one VM.
#[derive(Debug)]
pub struct Orders {
    local_vm: VmId,
    phase: Phase,
    /// When the pending lease call was sent; the lease duration counts from then.
    sent_at: Duration,
    renew_at: Duration,
    renewing: bool,
    nonce: Nonce,
    ordered_at: BTreeMap<EndpointId, Duration>,
    loads: Vec<Duration>,
}

impl Orders {
    /// A VM without the lease; `nonce` must be random.
    pub fn new(local_vm: VmId, nonce: Nonce) -> Orders {
        Orders {
            local_vm,
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

    /// The fencing number, while orders may be sent.
    pub fn fence(&self, now: Duration) -> Option<Epoch> {
        match self.phase {
            Phase::Holding {
                until,
                fence,
                orders_from,
                ..
            } if orders_from <= now && now + LEASE_MARGIN < until => Some(fence),
            _ => None,
        }
    }

    /// Does what is due; `candidate` is whether this VM should try to get the lease.
    pub fn tick(
        &mut self,
        now: Duration,
        candidate: bool,
        targets: &[EndpointModels],
        out: &mut Vec<Action>,
    ) {
        self.expire(now);
        match &self.phase {
            Phase::Idle { try_at } if candidate && now >= *try_at => {
                self.phase = Phase::Requested;
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
            self.send_orders(now, fence, targets, out);
        }
    }

    /// A lease that has expired by this VM's own clock is lost, whatever the store would answer.
    fn expire(&mut self, now: Duration) {
        let until = match self.phase {
            Phase::Fencing { until, .. } | Phase::Holding { until, .. } => until,
            _ => return,
        };
        if now >= until {
            self.lose_lease(now);
        }
    }

    fn lose_lease(&mut self, now: Duration) {
        self.phase = Phase::Idle {
            try_at: now + LEASE_RETRY_AFTER,
        };
        self.renewing = false;
        self.ordered_at.clear();
    }

    /// Applies the answer to a lease request; `None` when another VM has the lease or the store is
    /// unavailable.
    pub fn lease_answered(&mut self, now: Duration, lease: Option<u64>, out: &mut Vec<Action>) {
        if self.phase != Phase::Requested {
            return;
        }
        let Some(lease) = lease else {
            return self.lose_lease(now);
        };
        let until = self.sent_at + LEASE_DURATION;
        self.phase = Phase::Fencing {
            lease,
            until,
            record: None,
        };
        out.push(Action::ReadFence);
    }

    /// Applies the answer to a renewal; `None` when it is unknown whether the renewal took effect.
    pub fn renewal_answered(&mut self, now: Duration, alive: Option<bool>) {
        self.renewing = false;
        self.renew_at = now + LEASE_RENEW_INTERVAL;
        let sent_at = self.sent_at;
        match (&mut self.phase, alive) {
            (Phase::Holding { until, .. }, Some(true)) => *until = sent_at + LEASE_DURATION,
            (Phase::Holding { .. }, Some(false)) => self.lose_lease(now),
            // When in doubt, the lease keeps its previous end.
            _ => {}
        }
    }

    /// Applies a read of the fence record; `None` when the read failed.
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
            return self.lose_lease(now);
        };
        let (revision, fence) = found.as_ref().map_or((0, 0), |(r, old)| (*r, old.fence));
        if let (Some(written), Some((_, current))) = (record.as_ref(), found.as_ref()) {
            if written.nonce == current.nonce {
                // The answer to the write was lost, but the write took effect.
                let written = written.clone();
                return self.hold(now, &written);
            }
        }
        self.nonce = self.nonce.wrapping_add(1);
        let new_record = FenceRecord {
            fence: fence + 1,
            holder: self.local_vm,
            nonce: self.nonce,
        };
        *record = Some(new_record.clone());
        out.push(Action::WriteFence {
            expect: revision,
            record: new_record,
        });
    }

    /// Applies the answer to the write of the fence record.
    pub fn fence_written(&mut self, now: Duration, answer: WriteOutcome, out: &mut Vec<Action>) {
        let Phase::Fencing {
            record: Some(record),
            ..
        } = &self.phase
        else {
            return;
        };
        let record = record.clone();
        match answer {
            WriteOutcome::Won(_) => self.hold(now, &record),
            WriteOutcome::Lost | WriteOutcome::Unknown => out.push(Action::ReadFence),
            WriteOutcome::Away => self.lose_lease(now),
        }
    }

    fn hold(&mut self, now: Duration, record: &FenceRecord) {
        let Phase::Fencing { lease, until, .. } = self.phase else {
            return;
        };
        self.renew_at = now;
        let (fence, orders_from) = (record.fence, now + LEASE_MARGIN);
        self.phase = Phase::Holding {
            lease,
            until,
            fence,
            orders_from,
        };
    }

    /// An endpoint refused an order as stale: another holder has a higher fencing number.
    pub fn order_refused(&mut self, now: Duration) {
        self.lose_lease(now);
    }

    fn send_orders(
        &mut self,
        now: Duration,
        fence: Epoch,
        targets: &[EndpointModels],
        out: &mut Vec<Action>,
    ) {
        self.loads.retain(|at| now < *at + LOADS_WINDOW);
        for target in targets {
            // Only an endpoint's own report shows what it has loaded.
            let Some(reported) = &target.reported else {
                continue;
            };
            if same_models(reported, &target.models) {
                self.ordered_at.remove(&target.endpoint);
                continue;
            }
            let last = self.ordered_at.get(&target.endpoint);
            if last.is_some_and(|at| now < *at + ORDER_RETRY_AFTER) || self.loads.len() >= LOADS_MAX
            {
                continue;
            }
            self.ordered_at.insert(target.endpoint, now);
            self.loads.push(now);
            let models = target.models.clone();
            out.push(Action::Order {
                endpoint: target.endpoint,
                fence,
                models,
            });
        }
    }
}

fn same_models(a: &[Name], b: &[Name]) -> bool {
    a.len() == b.len() && a.iter().all(|name| b.contains(name))
}
