//! Ejects endpoints by what all VMs of the failure domain see of them.
//!
//! Each VM counts its recent failures and successes at each endpoint and tells the counts of those
//! with failures to its failure domain. Each VM judges by its own counts plus the sums of the
//! others, so that an endpoint is left after a few failures in the domain, not after three at every
//! VM. All state is soft and in memory.

pub mod window;

use std::collections::HashMap;
use std::time::Duration;

use serde::Serialize;
use strum::IntoStaticStr;

use super::endpoints::{Endpoint, Endpoints, EJECT_MAX, EJECT_MIN};
use super::load_reports::EndpointOutcomes;
use crate::id::{ranked, EndpointId, ServiceId, VmId};
use window::OutcomeWindow;

/// Failures within the domain that eject an endpoint, while few other endpoints of its service
/// fail. With 2% of all requests failing, four of the about ten requests that an endpoint gets in
/// the window fail less often than once in ten thousand windows.
pub const FAILURES_MIN: u32 = 4;
/// Failures required in addition when all other endpoints of the service in the same failure domain
/// fail some requests too.
/// Failures that are spread over a service have another cause than one endpoint.
const FAILURES_MORE_IF_SPREAD: f64 = 8.0;
/// VMs that must have seen failures; a single one may have a fault of its own.
pub const ACCUSING_VMS_MIN: u32 = 2;
/// Required ratio of failures to successes. Failures count twice as long as successes, so that
/// this is about half of the requests.
const FAILURES_PER_SUCCESS: u32 = 2;
/// Failures that one VM may report beyond [`FAILURES_PER_SUCCESS`] times its successes. Fewer than
/// [`FAILURES_MIN`] even with an occasional failure at another VM, so that a VM that misreports ejects
/// nothing.
const UNBALANCED_FAILURES_MAX: u16 = 2;
/// Largest share of a service's endpoints that evidence takes out of use.
pub const EJECTED_SHARE_MAX: f64 = 0.3;
/// Successes in a row after which all VMs use an endpoint again.
pub const PROBE_SUCCESSES: u32 = 3;
/// Time after which the next VM in rendezvous order probes too, because the ones before it are gone
/// or have no requests for the service. Several requests per VM at the rates in question.
const NEXT_PROBER_AFTER: Duration = Duration::from_millis(1000);
/// Time after which a probe may be a request that must not be repeated.
const ANY_PROBE_AFTER: Duration = Duration::from_secs(2);
/// A trial without a result for this long ends with the endpoint in use again: its service may have
/// batch items only, or none of its VMs may have requests. Longer than two VMs in order take.
const TRIAL_TIME_MAX: Duration = Duration::from_secs(6);
/// A probe without an end for this long is taken for lost.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which the successes of probes are told, and after which the next ejection is a first one
/// again. Covers lost reports.
const RETURN_TIME: Duration = Duration::from_secs(3);

/// Limits the failures that one VM reports, in relation to its successes.
pub fn bounded(mut outcomes: EndpointOutcomes) -> EndpointOutcomes {
    let successes = outcomes.successes;
    let balanced = successes.saturating_mul(FAILURES_PER_SUCCESS as u16);
    let failures_max = balanced.saturating_add(UNBALANCED_FAILURES_MAX);
    outcomes.failures = outcomes.failures.min(failures_max);
    outcomes.accusing_vms = outcomes.accusing_vms.min(1);
    outcomes
}

/// What evidence says of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EvidenceState {
    /// In use.
    Clear,
    /// In use, but there are failures, so that others are preferred.
    Suspect,
    /// Not used.
    Ejected,
    /// Not used except by probe requests.
    Trial,
}

/// A change of an endpoint's state.
#[derive(Debug, Clone, PartialEq)]
pub struct EvidenceChange {
    pub endpoint: EndpointId,
    /// [`EvidenceState::Clear`] when it is back in use.
    pub state: EvidenceState,
    pub failures: u32,
    pub successes: u32,
    pub accusing_vms: u32,
}

/// Evidence about one endpoint, for operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EvidenceListing {
    pub state: EvidenceState,
    pub failures: u32,
    pub successes: u32,
    pub accusing_vms: u32,
    /// Since the latest failure at this VM; absent if there was none within the window.
    pub own_failure_age_ms: Option<u64>,
    /// Since the sums of other VMs were last applied.
    pub told_age_ms: u64,
    /// Ejections in a row.
    pub ejections: u32,
    /// Until probes begin.
    pub ejected_for_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    Open {
        /// When it came back after an ejection.
        returned_at: Option<Duration>,
    },
    Ejected {
        until: Duration,
    },
    Trial {
        since: Duration,
        /// Smallest number of failures told by others since the trial began. More are failures of
        /// another VM's probe, not remainders of the time before.
        told_failures_min: u16,
        successes: u32,
        /// When the running probe was sent.
        probe_sent_at: Option<Duration>,
    },
}

#[derive(Debug, Clone)]
struct Row {
    own: OutcomeWindow,
    stage: Stage,
    ejections: u32,
    /// Successes of this VM's probes, told until the given time.
    probed: Option<(u32, Duration)>,
}

impl Default for Row {
    fn default() -> Row {
        Row {
            own: OutcomeWindow::default(),
            stage: Stage::Open { returned_at: None },
            ejections: 0,
            probed: None,
        }
    }
}

/// Sums of own and told outcomes.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    failures: u32,
    successes: u32,
    accusing_vms: u32,
}

impl Counts {
    /// Whether failures are a large part of the requests.
    fn is_mostly_failing(&self) -> bool {
        self.failures >= FAILURES_PER_SUCCESS * self.successes
    }

    /// Load that is added in routing, as a share of the slots. The `withdrawn` failures of this VM
    /// count too: routing only prefers others.
    fn penalty(&self, withdrawn: u16) -> f64 {
        let failures = f64::from(self.failures) + f64::from(withdrawn);
        let successes = f64::from(FAILURES_PER_SUCCESS * self.successes);
        failures / (failures + successes).max(1.0)
    }
}

/// A request that may serve as a probe.
#[derive(Debug, Clone, Copy)]
pub struct ProbeQuery {
    pub service: ServiceId,
    /// It may run again if the probe fails.
    pub is_repeatable: bool,
    /// Endpoint of its earlier attempt.
    pub avoid: Option<EndpointId>,
}

/// Evidence of this VM and its failure domain.
#[derive(Debug, Default, Clone)]
pub struct Evidence {
    /// While false, endpoints are judged by [`Endpoint`] alone.
    is_enabled: bool,
    own_vm: VmId,
    /// VMs of the failure domain, this one included.
    domain_vms: Vec<VmId>,
    rows: HashMap<EndpointId, Row>,
    told: HashMap<EndpointId, EndpointOutcomes>,
    told_at: Duration,
    changes: Vec<EvidenceChange>,
}

impl Evidence {
    /// Turns evidence on or off; off forgets everything.
    pub fn set_enabled(&mut self, is_enabled: bool, endpoints: &mut Endpoints) {
        if self.is_enabled && !is_enabled {
            *self = Evidence::default();
            for endpoint in &mut endpoints.rows {
                endpoint.barred = false;
                endpoint.penalty = 0.0;
            }
        }
        self.is_enabled = is_enabled;
    }

    /// Whether evidence decides.
    pub fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Sets the VMs among which the one that probes is chosen.
    pub fn set_domain(&mut self, own_vm: VmId, domain_vms: Vec<VmId>) {
        self.own_vm = own_vm;
        self.domain_vms = domain_vms;
    }

    /// Replaces the sums of the other VMs.
    pub fn hear(&mut self, now: Duration, told: HashMap<EndpointId, EndpointOutcomes>) {
        self.told = told;
        self.told_at = now;
    }

    /// Counts a failure for which the endpoint is at fault; `had_succeeded` if the same attempt was
    /// counted as a success at its first event.
    pub fn failed(&mut self, now: Duration, endpoint: EndpointId, had_succeeded: bool) {
        if !self.is_enabled {
            return;
        }
        let row = self.rows.entry(endpoint).or_default();
        if had_succeeded {
            row.own.withdraw_success();
        }
        row.own.add_failure(now);
    }

    /// Takes back a failure of a request that then failed at another endpoint too.
    pub fn withdraw(&mut self, endpoint: EndpointId) {
        if let Some(row) = self.rows.get_mut(&endpoint) {
            row.own.withdraw_failure();
        }
    }

    /// Counts a failure of a request that failed at another endpoint before. Routing prefers others,
    /// but nobody is accused.
    pub fn failed_again(&mut self, now: Duration, endpoint: EndpointId) {
        if self.is_enabled {
            let row = self.rows.entry(endpoint).or_default();
            row.own.add_withdrawn(now);
        }
    }

    /// Counts a success.
    pub fn succeeded(&mut self, now: Duration, endpoint: EndpointId) {
        if self.is_enabled {
            let row = self.rows.entry(endpoint).or_default();
            row.own.add_success(now);
        }
    }

    /// Whether the endpoint fails a large part of the requests of two or more VMs, or several of
    /// this VM.
    pub fn is_failing(&self, now: Duration, endpoint: EndpointId) -> bool {
        if !self.is_enabled {
            return false;
        }
        let stage = self.rows.get(&endpoint).map(|row| row.stage);
        let is_barred = matches!(stage, Some(Stage::Ejected { .. } | Stage::Trial { .. }));
        let counts = self.counts(now, endpoint);
        is_barred || (counts.failures >= 2 && counts.is_mostly_failing())
    }

    /// Whether a retry that moves away from the endpoint is free of the retry budget: it fails most
    /// requests that are known here, and few other endpoints do. Where many do, the cause may be
    /// their load, which retries would multiply.
    pub fn frees_retry(&self, now: Duration, endpoint: EndpointId, endpoints: &Endpoints) -> bool {
        let is_failing = |id: EndpointId| {
            let counts = self.counts(now, id);
            counts.failures >= 1 && counts.is_mostly_failing()
        };
        let Some(row) = endpoints.get(endpoint).filter(|_| self.is_enabled) else {
            return false;
        };
        let rows = endpoints.of_service(row.config.service);
        let failing = rows.iter().filter(|at| is_failing(endpoints.rows[**at].id));
        let is_local_fault = failing.count() as f64 <= EJECTED_SHARE_MAX * rows.len() as f64;
        is_local_fault && (is_failing(endpoint) || self.is_failing(now, endpoint))
    }

    /// Whether three failures in a row at this VM may eject an endpoint: not where other requests
    /// succeed.
    pub fn allows_local_ejection(&self, now: Duration, endpoint: EndpointId) -> bool {
        !self.is_enabled || self.counts(now, endpoint).is_mostly_failing()
    }

    /// Outcomes to tell: those at endpoints that failed requests of this VM or another.
    pub fn own_outcomes(&self, now: Duration) -> HashMap<EndpointId, EndpointOutcomes> {
        let mut outcomes = HashMap::new();
        for (id, row) in &self.rows {
            let (failures, successes) = row.own.counts(now);
            // Work that began before an ejection may still succeed. Only probes show that the
            // endpoint works again.
            let successes = match row.stage {
                Stage::Open { .. } => successes,
                Stage::Ejected { .. } | Stage::Trial { .. } => 0,
            };
            let told_failures = self.told.get(id).map_or(0, |told| told.failures);
            let probed = row.probed.filter(|(_, until)| now < *until);
            let probed = probed.map(|(successes, _)| successes as u16);
            if failures == 0 && told_failures == 0 && probed.is_none() {
                continue;
            }
            let told = EndpointOutcomes {
                failures,
                successes: successes.max(probed.unwrap_or(0)),
                accusing_vms: u16::from(failures > 0),
            };
            if told.failures + told.successes > 0 {
                outcomes.insert(*id, told);
            }
        }
        outcomes
    }

    /// Judges all endpoints, and sets what the endpoints' rows show of it.
    pub fn tick(&mut self, now: Duration, endpoints: &mut Endpoints) {
        if !self.is_enabled {
            return;
        }
        let told = self.told.keys().copied();
        let known: Vec<EndpointId> = told.filter(|id| endpoints.get(*id).is_some()).collect();
        for id in known {
            self.rows.entry(id).or_default();
        }
        self.rows.retain(|id, _| endpoints.get(*id).is_some());
        let ids: Vec<EndpointId> = self.rows.keys().copied().collect();
        for id in &ids {
            self.advance(now, *id);
        }
        self.eject_failing(now, endpoints);
        for id in ids {
            self.mark(now, id, endpoints);
        }
    }

    /// An endpoint on trial that this request should probe.
    pub fn probe(
        &mut self,
        now: Duration,
        query: ProbeQuery,
        endpoints: &Endpoints,
    ) -> Option<EndpointId> {
        let rows = endpoints.of_service(query.service).iter();
        let barred = rows
            .map(|at| &endpoints.rows[*at])
            .filter(|row| row.barred && row.leaving.is_none());
        let due =
            barred.filter(|row| query.avoid != Some(row.id) && self.may_probe(now, row, query));
        let id = due.map(|row| row.id).min()?;
        if let Stage::Trial { probe_sent_at, .. } = &mut self.rows.get_mut(&id)?.stage {
            *probe_sent_at = Some(now);
        }
        Some(id)
    }

    /// A request that probed an endpoint ended; `None` if nothing is known from it.
    pub fn probe_ended(&mut self, now: Duration, endpoint: EndpointId, succeeded: Option<bool>) {
        let counts = self.counts(now, endpoint);
        let Some(row) = self.rows.get_mut(&endpoint) else {
            return;
        };
        let Stage::Trial {
            successes,
            probe_sent_at,
            ..
        } = &mut row.stage
        else {
            return;
        };
        *probe_sent_at = None;
        match succeeded {
            None => {}
            Some(false) => self.eject(now, endpoint, counts),
            Some(true) => {
                *successes += 1;
                let successes = *successes;
                row.probed = Some((successes, now + RETURN_TIME));
                if successes >= PROBE_SUCCESSES {
                    self.restore(now, endpoint, counts);
                }
            }
        }
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<EvidenceChange> {
        std::mem::take(&mut self.changes)
    }

    /// State of an endpoint.
    pub fn state(&self, now: Duration, endpoint: EndpointId) -> EvidenceState {
        let stage = self.rows.get(&endpoint).map(|row| row.stage);
        match stage {
            Some(Stage::Ejected { .. }) => EvidenceState::Ejected,
            Some(Stage::Trial { .. }) => EvidenceState::Trial,
            _ if self.counts(now, endpoint).failures > 0 => EvidenceState::Suspect,
            _ => EvidenceState::Clear,
        }
    }

    /// Evidence about an endpoint; `None` if there is none.
    pub fn list(&self, now: Duration, endpoint: EndpointId) -> Option<EvidenceListing> {
        let row = self.rows.get(&endpoint)?;
        let state = self.state(now, endpoint);
        if state == EvidenceState::Clear && row.ejections == 0 {
            return None;
        }
        let counts = self.counts(now, endpoint);
        let left = match row.stage {
            Stage::Ejected { until } => until.saturating_sub(now),
            _ => Duration::ZERO,
        };
        let age = row.own.failure_age(now);
        Some(EvidenceListing {
            state,
            failures: counts.failures,
            successes: counts.successes,
            accusing_vms: counts.accusing_vms,
            own_failure_age_ms: age.map(|age| age.as_millis() as u64),
            told_age_ms: now.saturating_sub(self.told_at).as_millis() as u64,
            ejections: row.ejections,
            ejected_for_ms: left.as_millis() as u64,
        })
    }

    /// Number of endpoints that evidence keeps out of use.
    pub fn barred_count(&self) -> usize {
        let rows = self.rows.values();
        rows.filter(|row| !matches!(row.stage, Stage::Open { .. }))
            .count()
    }

    fn counts(&self, now: Duration, endpoint: EndpointId) -> Counts {
        let row = self.rows.get(&endpoint);
        let (failures, successes) = row.map_or((0, 0), |row| row.own.counts(now));
        let told = self.told.get(&endpoint).copied().unwrap_or_default();
        Counts {
            failures: u32::from(failures) + u32::from(told.failures),
            successes: u32::from(successes) + u32::from(told.successes),
            accusing_vms: u32::from(failures > 0) + u32::from(told.accusing_vms),
        }
    }

    /// Moves an endpoint on in time, and by the probes of other VMs.
    fn advance(&mut self, now: Duration, endpoint: EndpointId) {
        let counts = self.counts(now, endpoint);
        let told = self.told.get(&endpoint).copied().unwrap_or_default();
        let Some(row) = self.rows.get_mut(&endpoint) else {
            return;
        };
        row.own.expire(now);
        match &mut row.stage {
            Stage::Open { returned_at } => {
                if returned_at.is_none_or(|at| now >= at + RETURN_TIME) {
                    row.ejections = 0;
                }
            }
            Stage::Ejected { until } if now >= *until => {
                row.stage = Stage::Trial {
                    since: now,
                    told_failures_min: told.failures,
                    successes: 0,
                    probe_sent_at: None,
                };
                self.record(endpoint, EvidenceState::Trial, counts);
            }
            Stage::Ejected { .. } => {}
            Stage::Trial {
                since,
                told_failures_min,
                probe_sent_at,
                ..
            } => {
                let is_over = probe_sent_at.is_none() && now >= *since + TRIAL_TIME_MAX;
                *told_failures_min = (*told_failures_min).min(told.failures);
                if probe_sent_at.is_some_and(|sent_at| now >= sent_at + PROBE_TIMEOUT) {
                    *probe_sent_at = None;
                }
                if told.failures > *told_failures_min {
                    self.eject(now, endpoint, counts);
                } else if is_over
                    || (u32::from(told.successes) >= PROBE_SUCCESSES
                        && told.successes > told.failures)
                {
                    self.restore(now, endpoint, counts);
                }
            }
        }
    }

    /// Ejects endpoints of each service by evidence, those with the most failures first.
    fn eject_failing(&mut self, now: Duration, endpoints: &Endpoints) {
        let mut candidates = Vec::new();
        for (id, row) in &self.rows {
            let counts = self.counts(now, *id);
            let may_eject = matches!(row.stage, Stage::Open { .. })
                && counts.failures >= FAILURES_MIN
                && counts.accusing_vms >= ACCUSING_VMS_MIN
                && counts.is_mostly_failing();
            let endpoint = endpoints.get(*id).filter(|_| may_eject);
            if let Some(endpoint) = endpoint {
                candidates.push((counts.failures, *id, endpoint.config.service, counts));
            }
        }
        candidates.sort_by_key(|(failures, id, ..)| std::cmp::Reverse((*failures, *id)));
        for (failures, id, service, counts) in candidates {
            let is_enough =
                f64::from(failures) >= self.failures_required(now, id, service, endpoints);
            if is_enough && self.has_room(service, endpoints) {
                self.eject(now, id, counts);
            }
        }
    }

    /// Failures that eject an endpoint: more if many of the others, apart from those that may be
    /// ejected as well, also have failures.
    fn failures_required(
        &self,
        now: Duration,
        endpoint: EndpointId,
        service: ServiceId,
        endpoints: &Endpoints,
    ) -> f64 {
        let domain = endpoints.get(endpoint).map(|row| row.config.domain);
        let rows = endpoints.of_service(service).iter();
        let rows = rows.map(|at| &endpoints.rows[*at]);
        let others = rows.filter(|row| row.id != endpoint && Some(row.config.domain) == domain);
        let has_some = |row: &&Endpoint| {
            let counts = self.counts(now, row.id);
            let is_candidate = counts.failures >= FAILURES_MIN && counts.is_mostly_failing();
            counts.failures > 0 && !is_candidate
        };
        let spread = others.clone().filter(has_some).count() as f64;
        let spread = spread / others.count().max(1) as f64;
        f64::from(FAILURES_MIN) + (FAILURES_MORE_IF_SPREAD * spread).floor()
    }

    /// Whether one more endpoint of a service may be taken out of use.
    fn has_room(&self, service: ServiceId, endpoints: &Endpoints) -> bool {
        let rows = endpoints.of_service(service);
        let is_barred = |at: &&usize| {
            let row = self.rows.get(&endpoints.rows[**at].id);
            row.is_some_and(|row| !matches!(row.stage, Stage::Open { .. }))
        };
        let barred = rows.iter().filter(is_barred).count();
        (barred + 1) as f64 <= EJECTED_SHARE_MAX * rows.len() as f64
    }

    fn eject(&mut self, now: Duration, endpoint: EndpointId, counts: Counts) {
        let Some(row) = self.rows.get_mut(&endpoint) else {
            return;
        };
        let pause = EJECT_MIN * 2u32.saturating_pow(row.ejections.min(8));
        row.stage = Stage::Ejected {
            until: now + pause.min(EJECT_MAX),
        };
        row.ejections += 1;
        row.probed = None;
        self.record(endpoint, EvidenceState::Ejected, counts);
    }

    fn restore(&mut self, now: Duration, endpoint: EndpointId, counts: Counts) {
        let Some(row) = self.rows.get_mut(&endpoint) else {
            return;
        };
        row.stage = Stage::Open {
            returned_at: Some(now),
        };
        row.own = OutcomeWindow::default();
        self.record(endpoint, EvidenceState::Clear, counts);
    }

    fn record(&mut self, endpoint: EndpointId, state: EvidenceState, counts: Counts) {
        self.changes.push(EvidenceChange {
            endpoint,
            state,
            failures: counts.failures,
            successes: counts.successes,
            accusing_vms: counts.accusing_vms,
        });
    }

    fn mark(&self, now: Duration, id: EndpointId, endpoints: &mut Endpoints) {
        let Some(endpoint) = endpoints.get_mut(id) else {
            return;
        };
        let stage = self.rows.get(&id).map(|row| row.stage);
        let barred = matches!(stage, Some(Stage::Ejected { .. } | Stage::Trial { .. }));
        if endpoint.barred && !barred {
            endpoint.readmit(now);
        }
        endpoint.barred = barred;
        let row = self.rows.get(&id);
        let withdrawn = row.map_or(0, |row| row.own.withdrawn(now));
        endpoint.penalty = self.counts(now, id).penalty(withdrawn);
    }

    fn may_probe(&self, now: Duration, endpoint: &Endpoint, query: ProbeQuery) -> bool {
        let Some(Stage::Trial {
            since,
            probe_sent_at: None,
            ..
        }) = self.rows.get(&endpoint.id).map(|row| row.stage)
        else {
            return false;
        };
        let waited = now.saturating_sub(since);
        let order = ranked(endpoint.id, self.domain_vms.iter().copied());
        let rank = order.iter().position(|vm| *vm == self.own_vm).unwrap_or(0);
        waited >= NEXT_PROBER_AFTER * rank as u32
            && (query.is_repeatable || waited >= ANY_PROBE_AFTER)
    }
}
