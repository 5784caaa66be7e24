//! Limits on the online requests of one VM to a service.
//!
//! Each VM computes its part of the slots by itself, from its own arrivals and those that the other
//! VMs report. The parts of all VMs sum to a little less than the capacity, so that admitted requests
//! find a slot in time although the VMs hear late what the others admit. A jump fills the slots before
//! any VM hears that the service is short, so a VM also keeps to its part while one of its own
//! requests waits at an endpoint.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::online::{Online, OwnLoad};
use crate::id::{ServiceId, VmId};

/// Part of the capacity from which load is reported. Calm hours send nothing, and a rise that is
/// not a jump is reported before the service is short.
const REPORTED_LOAD_RATIO: f64 = 0.5;
/// Part of the capacity from which a service is short. One request waits at each full endpoint on
/// purpose, which of eight slots is 1.125; its wait is short. Refusing at less load made more callers
/// late, by their way back, than the queues did.
const SHORT_LOAD_RATIO: f64 = 1.1;
/// Part of the capacity below which a service is no longer short; below [`SHORT_LOAD_RATIO`] so
/// that the state doesn't alternate with the end of single requests.
const ENOUGH_LOAD_RATIO: f64 = 0.95;
/// Part of the capacity that the VMs divide. VMs that choose an endpoint by outdated counts fill some
/// endpoints before the others, so with all of it requests would wait beside free slots.
const DIVIDED_RATIO: f64 = 0.92;
/// Part of the capacity that is divided evenly, for VMs that got no requests a moment ago.
const EVEN_RATIO: f64 = 0.2;
/// Part of the slots seen as free that VMs use beyond their parts, all together. In a jump all VMs
/// see as free, for up to half a second, what they are filling.
const FREE_SLOTS_RATIO: f64 = 0.25;
/// Time over which the share is averaged: over one second of arrivals it would vary by a third.
const SHARE_AVERAGE_TIME: Duration = Duration::from_secs(2);
/// Requests added to each VM's count in flight when shares are computed from these: a few requests
/// say little, and the parts of VMs that happen to have many would be too large in a jump.
const IN_FLIGHT_PRIOR: f64 = 8.0;
/// Time over which arrivals are counted.
const ARRIVALS_WINDOW: Duration = Duration::from_secs(1);
/// Mean age of other VMs' counts (0.05 to 0.8 s); own counts of the same age are compared with them.
const REPORT_AGE: Duration = Duration::from_millis(400);
/// Time in which the last known share decays to the even one by a factor of e when nothing is heard.
const SHARE_DECAY_TIME: Duration = Duration::from_secs(2);
/// Part of the latency goal for which a request waits here; the rest of the goal is left for the wait
/// at its endpoint.
const WAIT_RATIO: f64 = 0.5;
/// The same while the service is short: fewer requests wait, and a refused caller hears so soon.
const SHORT_WAIT_RATIO: f64 = 0.4;

/// Limits on the requests in flight from this VM to one service. Without any, requests are sent as
/// long as endpoints have room.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceLimit {
    /// All requests; `None` without admission by capacity.
    pub in_flight_max: Option<usize>,
    /// Longest time in this VM's queue; `None` without admission by capacity.
    pub wait_max: Option<Duration>,
    /// Whether requests that can't be sent in time are refused at once.
    pub is_short: bool,
}

/// What is known of the other VMs' load on a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetLoad {
    /// VMs of the fleet, this one included.
    pub vms: u32,
    /// Whether most other VMs are silent, so that their counts have expired.
    pub is_cut_off: bool,
    /// Whether this VM knows only a subset of the endpoints.
    pub knows_subset: bool,
    /// Other VMs whose reports `arrivals` and `waiting` sum up.
    pub reporting_vms: u32,
    /// Arrivals of one second at the reporting VMs.
    pub arrivals: u32,
    /// Requests in the queues of the reporting VMs.
    pub waiting: u32,
}

/// State of one service, also for operators.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize)]
pub struct Shortage {
    pub service: ServiceId,
    /// Slots for online requests at usable endpoints.
    pub capacity_slots: f64,
    /// Online requests of all VMs at these endpoints, in the local view.
    pub in_flight: u32,
    /// Slots of this VM.
    pub part_slots: f64,
    /// Monotonic time since when the service is short; `None` if it is not.
    pub short_since: Option<Duration>,
}

/// A service that became short, or is no longer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShortageChange {
    pub shortage: Shortage,
    /// Length of the shortage that ended.
    pub ended_after: Option<Duration>,
}

/// Own counts at one time.
#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Duration,
    arrivals_total: u64,
    in_flight: usize,
}

#[derive(Debug, Clone)]
struct ServiceAdmission {
    /// Oldest first, over [`ARRIVALS_WINDOW`] and [`REPORT_AGE`].
    samples: VecDeque<Sample>,
    /// This VM's share of the load when other VMs were last heard, and that time.
    heard_share: Option<(Duration, f64)>,
    is_reported: bool,
    ticked_at: Duration,
    shortage: Shortage,
}

/// Slots and requests at the usable endpoints of a service.
struct EndpointSums {
    capacity_slots: f64,
    here: u32,
    elsewhere: u32,
}

/// Admission of one VM.
#[derive(Debug, Default)]
pub struct Admission {
    services: HashMap<ServiceId, ServiceAdmission>,
}

impl Admission {
    /// Updates the limits of all services in `online`; returns the services whose state changed.
    pub fn tick(
        &mut self,
        now: Duration,
        vm: VmId,
        online: &mut Online,
        fleet: impl Fn(ServiceId) -> FleetLoad,
    ) -> Vec<ShortageChange> {
        let services: Vec<ServiceId> = online.services.keys().copied().collect();
        self.services
            .retain(|service, _| services.contains(service));
        let mut changes = Vec::new();
        for service in services {
            let own = online.own_load(service);
            let sums = endpoint_sums(now, online, service);
            let state = self
                .services
                .entry(service)
                .or_insert_with(|| ServiceAdmission::new(service));
            changes.extend(state.update(now, own, &sums, fleet(service)));
            let free_slots = state.free_slots(fleet(service));
            let in_flight_max = state.in_flight_max(vm, free_slots);
            let short_since = state.shortage.short_since;
            let goal = online.services[&service].first_token_goal;
            let limit = online.limits.entry(service).or_default();
            let wait_ratio = match short_since {
                Some(_) => SHORT_WAIT_RATIO,
                None => WAIT_RATIO,
            };
            *limit = ServiceLimit {
                in_flight_max: Some(in_flight_max),
                wait_max: Some(goal.mul_f64(wait_ratio)),
                is_short: short_since.is_some(),
            };
        }
        changes
    }

    /// Drops all state and limits, when admission by capacity is off or the fleet too small.
    pub fn clear(&mut self, online: &mut Online) {
        if self.services.is_empty() {
            return;
        }
        self.services.clear();
        online.limits.clear();
    }

    /// Capacity of a service and whether it is short; `None` if it is not known here.
    pub fn shortage(&self, service: ServiceId) -> Option<Shortage> {
        self.services.get(&service).map(|state| state.shortage)
    }

    /// All services.
    pub fn shortages(&self) -> Vec<Shortage> {
        let states = self.services.values();
        states.map(|state| state.shortage).collect()
    }

    /// Arrivals of the last second that other VMs are told of; `None` while the service has plenty
    /// of slots.
    pub fn reported_arrivals(&self, service: ServiceId) -> Option<u32> {
        let state = self.services.get(&service)?;
        let newest = state.samples.back()?;
        state.is_reported.then(|| state.arrivals_until(newest))
    }
}

impl ServiceAdmission {
    fn new(service: ServiceId) -> ServiceAdmission {
        let shortage = Shortage {
            service,
            capacity_slots: 0.0,
            in_flight: 0,
            part_slots: 0.0,
            short_since: None,
        };
        ServiceAdmission {
            samples: VecDeque::new(),
            heard_share: None,
            is_reported: false,
            ticked_at: Duration::ZERO,
            shortage,
        }
    }

    fn update(
        &mut self,
        now: Duration,
        own: OwnLoad,
        sums: &EndpointSums,
        fleet: FleetLoad,
    ) -> Option<ShortageChange> {
        self.sample(now, own);
        let in_flight = sums.here + sums.elsewhere;
        let waiting = f64::from(fleet.waiting) + own.queued as f64;
        let load_slots = f64::from(in_flight) + waiting;
        let part_slots = sums.capacity_slots * DIVIDED_RATIO * self.share(now, sums, fleet);
        self.is_reported = load_slots >= sums.capacity_slots * REPORTED_LOAD_RATIO
            || own.in_flight as f64 >= part_slots * REPORTED_LOAD_RATIO;
        let before = self.shortage.short_since;
        let ratio = match before {
            Some(_) => ENOUGH_LOAD_RATIO,
            None => SHORT_LOAD_RATIO,
        };
        let is_short = load_slots >= sums.capacity_slots * ratio;
        self.shortage.short_since = is_short.then(|| before.unwrap_or(now));
        self.shortage.capacity_slots = sums.capacity_slots;
        self.shortage.in_flight = in_flight;
        self.shortage.part_slots = part_slots;
        (before.is_some() != is_short).then(|| ShortageChange {
            shortage: self.shortage,
            ended_after: before.map(|since| now.saturating_sub(since)),
        })
    }

    fn sample(&mut self, now: Duration, own: OwnLoad) {
        let expired = |sample: &Sample| now >= sample.at + ARRIVALS_WINDOW + REPORT_AGE;
        // One older sample stays as the start of the window.
        while self.samples.get(1).is_some_and(expired) {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            at: now,
            arrivals_total: own.arrivals_total,
            in_flight: own.in_flight,
        });
    }

    /// The newest sample that is not younger than `at`, or the oldest.
    fn sample_at(&self, at: Duration) -> Option<&Sample> {
        let before = self.samples.iter().rev().find(|sample| sample.at <= at);
        before.or(self.samples.front())
    }

    /// Arrivals in the window that ends with a sample.
    fn arrivals_until(&self, end: &Sample) -> u32 {
        let start = self.sample_at(end.at.saturating_sub(ARRIVALS_WINDOW));
        let before = start.map_or(end.arrivals_total, |start| start.arrivals_total);
        end.arrivals_total.saturating_sub(before) as u32
    }

    /// This VM's share of the service's slots, 0 to 1.
    fn share(&mut self, now: Duration, sums: &EndpointSums, fleet: FleetLoad) -> f64 {
        let even = 1.0 / f64::from(fleet.vms.max(1));
        if let Some(heard) = self.load_share(now, sums, fleet) {
            let before = self.heard_share.map_or(even, |(_, share)| share);
            let elapsed = now.saturating_sub(self.ticked_at);
            let weight = (-elapsed.as_secs_f64() / SHARE_AVERAGE_TIME.as_secs_f64()).exp();
            self.heard_share = Some((now, before * weight + heard * (1.0 - weight)));
        }
        self.ticked_at = now;
        let Some((heard_at, heard)) = self.heard_share else {
            return even;
        };
        let silence = now.saturating_sub(heard_at);
        let weight = (-silence.as_secs_f64() / SHARE_DECAY_TIME.as_secs_f64()).exp();
        let share = heard * weight + even * (1.0 - weight);
        share * (1.0 - EVEN_RATIO) + even * EVEN_RATIO
    }

    /// This VM's share of the arrivals, or of the requests in flight until enough arrivals are
    /// reported; `None` if nothing is known of the other VMs. Own and others' counts are of the
    /// same age: in a jump, newer own counts would make each VM's share too large.
    fn load_share(&self, now: Duration, sums: &EndpointSums, fleet: FleetLoad) -> Option<f64> {
        let others = fleet.vms.saturating_sub(1);
        if others == 0 {
            return Some(1.0);
        }
        let sample = self.sample_at(now.saturating_sub(REPORT_AGE))?;
        if fleet.is_cut_off {
            return None;
        }
        if !fleet.knows_subset && fleet.arrivals > 0 && fleet.reporting_vms * 2 >= others {
            // VMs without a report are taken to have as many arrivals as the others.
            let missing = f64::from(others) / f64::from(fleet.reporting_vms.min(others));
            let arrivals = f64::from(self.arrivals_until(sample));
            return Some(arrivals / (arrivals + f64::from(fleet.arrivals) * missing));
        }
        let in_flight = sample.in_flight as f64;
        let elsewhere = f64::from(sums.elsewhere);
        let prior = IN_FLIGHT_PRIOR;
        (elsewhere > 0.0)
            .then(|| (in_flight + prior) / (in_flight + elsewhere + prior * f64::from(fleet.vms)))
    }

    /// Slots that are free in the local view; none for a VM that hears nobody.
    fn free_slots(&self, fleet: FleetLoad) -> f64 {
        let shortage = &self.shortage;
        match fleet.is_cut_off {
            true => 0.0,
            false => (shortage.capacity_slots - f64::from(shortage.in_flight)).max(0.0),
        }
    }

    /// Most requests in flight: this VM's part and, while the service is short, some of the slots
    /// that others leave free.
    fn in_flight_max(&self, vm: VmId, free_slots: f64) -> usize {
        let part = self.shortage.part_slots;
        let share = part / self.shortage.capacity_slots.max(1.0);
        let beyond = match self.shortage.short_since {
            Some(_) => free_slots * FREE_SLOTS_RATIO * share,
            None => 0.0,
        };
        // A fixed phase of each VM rounds up at as many VMs as the sum of the fractions requires.
        let phase = (vm % 1024) as f64 / 1024.0;
        ((part + beyond + phase) as usize).max(1)
    }
}

fn endpoint_sums(now: Duration, online: &Online, service: ServiceId) -> EndpointSums {
    let rows = online.endpoints.of_service(service).iter();
    let rows = rows.map(|at| &online.endpoints.rows[*at]);
    let mut sums = EndpointSums {
        capacity_slots: 0.0,
        here: 0,
        elsewhere: 0,
    };
    for row in rows.filter(|row| row.usable(now)) {
        sums.capacity_slots += (row.slots(now) - f64::from(row.reserved_slots)).max(0.0);
        sums.here += row.online_here;
        sums.elsewhere += row.online_elsewhere;
    }
    sums
}
