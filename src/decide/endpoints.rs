//! The table of endpoints: what is configured, reported and observed for each of them.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::limit::Limit;
use crate::id::{DomainId, EndpointId, Incarnation, Name, ServiceId};

/// Number of failures in a row that eject an endpoint.
pub const EJECT_FAILURES: u32 = 3;
/// Length of the first ejection; each further one in a row doubles it.
pub const EJECT_MIN: Duration = Duration::from_secs(2);
/// The same for an endpoint that is merely silent: its process may have paused for a second.
pub const SILENT_EJECT_MIN: Duration = Duration::from_secs(1);
/// Length of the longest ejection.
pub const EJECT_MAX: Duration = Duration::from_secs(30);
/// Time over which the limit grows back after an ejection.
pub const RAMP_UP_TIME: Duration = Duration::from_secs(5);
/// An endpoint this many times slower than the median of its service is ejected as slow.
pub const SLOW_FACTOR: f64 = 4.0;
/// Shorter times to first token never count as slow, in milliseconds.
pub const SLOW_FLOOR_MS: f64 = 50.0;

/// An endpoint's report about itself; it is outdated when it arrives.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointReport {
    pub incarnation: Incarnation,
    pub running: u32,
    pub waiting: u32,
    pub leaving: bool,
    /// `model` or `model@version`, as loaded now.
    #[serde(default)]
    pub models: Vec<Name>,
}

/// Number of requests that all VMs together may send beyond an endpoint's slots. One that waits at
/// the endpoint gets the next slot at once. Otherwise the slot would stay empty until a VM receives
/// that it is free, a tenth of the time for which a request holds it. Simulation of 52 VMs and 60
/// endpoints at full load: 0.885 of the online requests in time with one, 0.871 with none, 0.879
/// with two.
const QUEUED_AHEAD_MAX: f64 = 1.0;

/// Number of free slots from which an endpoint in another failure domain is considered. At full
/// load an engine of seven slots gets ten requests a second, so five in the time that its counts
/// take to arrive.
const SPARE_SLOTS_MIN: f64 = 3.0;

/// Requests of all VMs at an endpoint, and its slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointLoad {
    pub online: u32,
    pub batch: u32,
    /// Slots that urgent batch items keep.
    pub reserved_slots: u32,
    pub slots: u32,
}

/// What the host of a silent endpoint answers to those who open connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostState {
    Unknown,
    /// It accepts them: its process may merely pause.
    Accepts,
    /// It refuses them, so that the process has ended.
    Refuses,
    /// Nothing: it has lost power, or the network to it is cut. In the latter case what runs there
    /// arrives later.
    Unreachable,
}

/// Configuration of one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointConfig {
    pub name: Name,
    pub domain: DomainId,
    pub service: ServiceId,
    pub address: Name,
    /// Concurrency assumed until the limit is learned.
    pub initial_limit: f64,
    /// Version of its software; empty if it is not known.
    pub software: Name,
}

/// One endpoint.
#[derive(Debug, Clone)]
pub struct Endpoint {
    pub id: EndpointId,
    pub config: EndpointConfig,
    pub limit: Limit,
    /// Online requests of this VM at the endpoint.
    pub online_here: u32,
    /// Online requests of other VMs at the endpoint, as last reported.
    pub online_elsewhere: u32,
    /// Number of other VMs with online requests there.
    pub remote_vms: u32,
    /// Batch items of all VMs at the endpoint, in the local view.
    pub batch: u32,
    /// Slots that urgent batch items keep even if online requests need them.
    pub reserved_slots: u32,
    /// When anything was last received from the endpoint, on any connection of this VM.
    pub last_received_at: Duration,
    pub report: Option<EndpointReport>,
    /// When the last report arrived, directly or from another VM.
    pub reported_at: Duration,
    /// Once set for an incarnation it stays until a higher incarnation reports.
    pub leaving: Option<Incarnation>,
    pub failures: u32,
    pub ejections: u32,
    pub ejected_until: Duration,
    /// Until when failures keep it out of use, even if it is silent and then sends again.
    pub failing_until: Duration,
    /// When this VM found that the endpoint sends nothing on any of its connections. Invariant: if
    /// this is set, the endpoint has sent nothing since, and silence is why it was last ejected.
    pub silent_at: Option<Duration>,
    /// When it sent again after it was last silent.
    pub heard_again_at: Option<Duration>,
    /// What its host answers in this silence. Invariant: [`HostState::Unknown`] unless `silent_at` is
    /// set.
    pub host: HostState,
    /// Since when it is back after an ejection.
    pub returned_at: Option<Duration>,
    /// Moving average of the time to first token, in milliseconds; 0 if unknown.
    pub first_token_ms: f64,
    /// Taken out of use by the evidence of the failure domain.
    pub barred: bool,
    /// When a request of this VM last got its first event there.
    pub succeeded_at: Duration,
    /// Load added in routing for recent failures, as a share of the slots.
    pub penalty: f64,
}

impl Endpoint {
    fn new(id: EndpointId, declared: EndpointConfig) -> Endpoint {
        Endpoint {
            id,
            limit: Limit::new(declared.initial_limit),
            config: declared,
            online_here: 0,
            online_elsewhere: 0,
            remote_vms: 0,
            batch: 0,
            reserved_slots: 0,
            last_received_at: Duration::ZERO,
            report: None,
            reported_at: Duration::ZERO,
            leaving: None,
            failures: 0,
            ejections: 0,
            ejected_until: Duration::ZERO,
            failing_until: Duration::ZERO,
            silent_at: None,
            heard_again_at: None,
            host: HostState::Unknown,
            returned_at: None,
            first_token_ms: 0.0,
            barred: false,
            succeeded_at: Duration::ZERO,
            penalty: 0.0,
        }
    }

    /// Whether new work may be sent there. After an ejection for silence that is the case again although
    /// nothing has been received: only new work can show whether the endpoint has come back.
    pub fn usable(&self, now: Duration) -> bool {
        self.leaving.is_none() && now >= self.ejected_until && !self.barred
    }

    /// Whether its host refuses connections or answers nothing, so that it does not merely pause.
    pub fn is_host_away(&self) -> bool {
        matches!(self.host, HostState::Refuses | HostState::Unreachable)
    }

    /// Whether its software has this version; false if its version is not known.
    pub fn runs_software(&self, software: &str) -> bool {
        !software.is_empty() && *self.config.software == *software
    }

    /// Requests of all VMs there, in the local view.
    pub fn counts(&self) -> EndpointLoad {
        EndpointLoad {
            online: self.online(),
            batch: self.batch,
            reserved_slots: self.reserved_slots,
            slots: self.limit.slots() as u32,
        }
    }

    /// Online requests of all VMs there.
    pub fn online(&self) -> u32 {
        self.online_here + self.online_elsewhere
    }

    /// Number of slots, reduced while they grow back after an ejection.
    pub fn slots(&self, now: Duration) -> f64 {
        let full = self.limit.slots();
        match self.returned_at {
            Some(since) if now < since + RAMP_UP_TIME => {
                let share = (now.saturating_sub(since)).as_secs_f64() / RAMP_UP_TIME.as_secs_f64();
                (full * share).max(1.0)
            }
            _ => full,
        }
    }

    /// Whether one more online request fits. Batch items are preempted and don't count, except
    /// those that keep their slots.
    ///
    /// The counts of other VMs are outdated. A VM that used only what they seem to leave would
    /// ignore slots that have become free, and a VM whose own requests come later would never get
    /// one. So each VM may always use its even share of the slots, whatever the others last
    /// reported.
    pub fn has_room(&self, now: Duration) -> bool {
        let slots = (self.slots(now) - f64::from(self.reserved_slots)).max(1.0);
        let unused = slots + QUEUED_AHEAD_MAX - f64::from(self.online_elsewhere);
        let even_share = slots / f64::from(self.remote_vms + 1);
        f64::from(self.online_here) + 1.0 <= unused.max(even_share)
    }

    /// Whether one more online request would start at once, or as soon as a batch item is
    /// preempted.
    pub fn has_slot(&self, now: Duration) -> bool {
        f64::from(self.online() + self.reserved_slots) + 1.0 <= self.slots(now)
    }

    /// Whether a slot is still free if others have taken one or two meanwhile: counts of endpoints
    /// in other failure domains arrive half a second late.
    pub fn has_spare_slots(&self, now: Duration) -> bool {
        f64::from(self.online() + self.reserved_slots) + SPARE_SLOTS_MIN <= self.slots(now)
    }

    /// Online requests as a share of the slots.
    pub fn load(&self, now: Duration) -> f64 {
        f64::from(self.online()) / self.slots(now)
    }

    /// Online requests as a share of the slots, plus the penalty for recent failures. An endpoint that
    /// answers 500 at once is the least loaded one, and would attract the requests of all VMs.
    pub fn routing_load(&self, now: Duration) -> f64 {
        self.load(now) + self.penalty
    }

    /// Puts the endpoint back into use after probes succeeded.
    pub fn readmit(&mut self, now: Duration) {
        self.ejected_until = self.ejected_until.min(now);
        self.failing_until = self.failing_until.min(now);
        self.failures = 0;
        self.ejections = 0;
        self.returned_at = Some(now);
    }

    /// Takes back a failure of a request that then failed at another endpoint too.
    pub fn withdraw_failure(&mut self) {
        self.failures = self.failures.saturating_sub(1);
    }

    /// Records a successful request; `first_token` if its time to first token was measured.
    pub fn succeeded(&mut self, first_token: Option<Duration>) {
        self.failures = 0;
        self.ejections = 0;
        if let Some(time) = first_token {
            let ms = time.as_secs_f64() * 1000.0;
            let old = if self.first_token_ms == 0.0 {
                ms
            } else {
                self.first_token_ms
            };
            self.first_token_ms = old * 0.8 + ms * 0.2;
        }
    }

    /// Records a failure caused by the endpoint.
    pub fn failed(&mut self, now: Duration) {
        self.failures += 1;
        if self.failures >= EJECT_FAILURES {
            self.eject(now);
        }
    }

    /// Records that a connection could not be opened. Two such failures in a row eject, since a
    /// listening process would have accepted them.
    pub fn unreachable(&mut self, now: Duration) {
        let failing_until = self.failing_until;
        self.failures += 1;
        self.failed(now);
        // Whatever it sends shows that it can be reached.
        self.failing_until = failing_until;
    }

    /// Whether requests may have to wait in the endpoint's queue.
    pub fn may_queue(&self, now: Duration) -> bool {
        f64::from(self.online() + self.batch) > self.slots(now)
    }

    /// Takes the endpoint out of use for a while.
    pub fn eject(&mut self, now: Duration) {
        self.eject_for(now, EJECT_MIN);
        self.failing_until = self.ejected_until;
        self.failures = EJECT_FAILURES - 1;
        self.first_token_ms = 0.0;
        self.silent_at = None;
        self.host = HostState::Unknown;
    }

    /// Takes the endpoint out of use because it sends nothing: until it does, or for a while.
    pub fn went_silent(&mut self, now: Duration) {
        self.eject_for(now, SILENT_EJECT_MIN);
        self.silent_at = Some(now);
        self.host = HostState::Unknown;
    }

    /// Puts the endpoint back into use at once if it was silent and has sent something since.
    pub fn return_if_heard(&mut self, now: Duration) -> bool {
        let is_heard = self.silent_at.is_some_and(|at| self.last_received_at > at);
        if is_heard {
            self.silent_at = None;
            self.heard_again_at = Some(now);
            self.host = HostState::Unknown;
            self.ejected_until = self.ejected_until.min(now.max(self.failing_until));
            if self.failing_until <= now {
                self.ejections = 0;
                self.returned_at = None;
            }
        }
        is_heard
    }

    fn eject_for(&mut self, now: Duration, first_pause: Duration) {
        let pause = first_pause * 2u32.saturating_pow(self.ejections.min(8));
        self.ejected_until = (now + pause.min(EJECT_MAX)).max(self.failing_until);
        self.returned_at = Some(self.ejected_until);
        self.ejections += 1;
    }

    /// Applies a report, received from the endpoint itself or from another VM.
    pub fn apply_report(&mut self, now: Duration, report: EndpointReport) {
        let newest = self.report.as_ref().map_or(0, |r| r.incarnation);
        if report.incarnation < newest {
            return;
        }
        if self
            .leaving
            .is_some_and(|previous| report.incarnation > previous)
        {
            self.leaving = None;
        }
        if report.leaving {
            self.leaving = Some(report.incarnation);
        }
        self.report = Some(report);
        self.reported_at = now;
    }
}

/// All endpoints, in a fixed order between configuration changes.
#[derive(Debug, Default, Clone)]
pub struct Endpoints {
    pub rows: Vec<Endpoint>,
    /// Many VMs choose among the endpoints and receive late what the others chose.
    pub counts_lag: bool,
    /// Online requests of this VM at endpoints that are no longer configured. Invariant: an endpoint
    /// is either here or in `rows`.
    online_at_departed: HashMap<EndpointId, u32>,
    index: HashMap<EndpointId, usize>,
    by_service: HashMap<ServiceId, Vec<usize>>,
}

impl Endpoints {
    /// Applies a new configuration; endpoints that stay keep what was observed of them, and those
    /// that come back have the requests that still run there.
    pub fn configure(&mut self, declared: impl IntoIterator<Item = (EndpointId, EndpointConfig)>) {
        let mut old: HashMap<EndpointId, Endpoint> =
            self.rows.drain(..).map(|row| (row.id, row)).collect();
        for (id, declared) in declared {
            let departed = self.online_at_departed.remove(&id);
            let row = match old.remove(&id) {
                Some(mut row) if row.config.address == declared.address => {
                    row.config = declared;
                    row
                }
                known => {
                    let mut row = Endpoint::new(id, declared);
                    let online = known.map(|known| known.online_here).or(departed);
                    row.online_here = online.unwrap_or(0);
                    row
                }
            };
            self.rows.push(row);
        }
        let in_use = old.into_values().filter(|row| row.online_here > 0);
        let departed = in_use.map(|row| (row.id, row.online_here));
        self.online_at_departed.extend(departed);
        self.reindex();
    }

    fn reindex(&mut self) {
        self.index = self
            .rows
            .iter()
            .enumerate()
            .map(|(at, row)| (row.id, at))
            .collect();
        self.by_service.clear();
        for (at, row) in self.rows.iter().enumerate() {
            self.by_service
                .entry(row.config.service)
                .or_default()
                .push(at);
        }
    }

    /// Returns an endpoint.
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.index.get(&id).map(|at| &self.rows[*at])
    }

    /// Returns an endpoint for modification.
    pub fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.index.get(&id).map(|at| &mut self.rows[*at])
    }

    /// Frees the slot of an online request of this VM, also at an endpoint that is no longer configured.
    pub fn release_online(&mut self, id: EndpointId) {
        if let Some(row) = self.get_mut(id) {
            row.online_here = row.online_here.saturating_sub(1);
            return;
        }
        match self.online_at_departed.get_mut(&id) {
            Some(count) if *count > 1 => *count -= 1,
            _ => drop(self.online_at_departed.remove(&id)),
        }
    }

    /// Endpoints of a service, as positions in `rows`.
    pub fn of_service(&self, service: ServiceId) -> &[usize] {
        self.by_service.get(&service).map_or(&[], Vec::as_slice)
    }

    /// Ejects endpoints that answer, but far more slowly than the others of their service.
    ///
    /// A degraded accelerator answers every request, only late, so no failure is counted against it
    /// and its callers wait. The comparison with the median needs no setting. At most one endpoint
    /// in three of a service is ejected this way, so that a load that slows all of them ejects
    /// none.
    pub fn eject_slow(&mut self, now: Duration) {
        let services: Vec<ServiceId> = self.by_service.keys().copied().collect();
        for service in services {
            let rows = &self.by_service[&service];
            let mut times_ms: Vec<f64> = rows
                .iter()
                .map(|at| self.rows[*at].first_token_ms)
                .filter(|ms| *ms > 0.0)
                .collect();
            if times_ms.len() < 3 {
                continue;
            }
            times_ms.sort_by(f64::total_cmp);
            let bound_ms = (times_ms[(times_ms.len() - 1) / 2] * SLOW_FACTOR).max(SLOW_FLOOR_MS);
            let ejected = rows
                .iter()
                .filter(|at| !self.rows[**at].usable(now))
                .count();
            let slow = rows
                .iter()
                .copied()
                .find(|at| self.rows[*at].first_token_ms > bound_ms && self.rows[*at].usable(now));
            if let Some(at) = slow.filter(|_| (ejected + 1) * 3 <= rows.len()) {
                self.rows[at].eject(now);
            }
        }
    }
}
