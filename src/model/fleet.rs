//! A simulated fleet: engines, VMs that decide, and heartbeats between the VMs with delay and loss.

mod batch;
mod heartbeats;
mod online;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde::Serialize;

use self::heartbeats::Heartbeat;
use super::engine::{Engine, EngineRequest, EngineSpec, PromptPart, RunEvent, RunId, TimedEvent};
use super::load::{Arrival, ArrivalKind, Load, CALLERS};
use super::outcome::Outcome;
use crate::decide::endpoints::Endpoints;
use crate::decide::items::{ItemKey, Items};
use crate::decide::online::{Online, ServiceConfig};
use crate::decide::routing::Policy;
use crate::decide::usage::Usage;
use crate::id::{self, DomainId, EndpointId, RequestId, VmId};
use crate::standin::table::endpoint_configs;

const SERVICE: u64 = 1;
const WORKSPACE: u64 = 0;
/// Length of one simulation step.
const STEP: Duration = Duration::from_millis(1);
/// Time after the last arrival in which the simulation goes on, so that jobs can finish.
const COMPLETION_TIME: Duration = Duration::from_secs(18);
const TICK_INTERVAL_MS: u64 = 25;
const PLAN_INTERVAL_MS: u64 = 50;
/// A refused caller retries after at most this part of the time left to its deadline.
const RETRY_SHARE: f64 = 1.0 / 3.0;

/// The machines of a simulation, and how the VMs cooperate.
#[derive(Debug, Clone, Serialize)]
pub struct FleetSpec {
    pub domains: u64,
    pub vms: u64,
    pub engines: usize,
    pub engine: EngineSpec,
    /// Interval of heartbeats within the local failure domain while counts change.
    #[serde(rename = "near")]
    pub local_interval: Duration,
    /// Interval of heartbeats to the other failure domains.
    #[serde(rename = "far")]
    pub remote_interval: Duration,
    /// Time from sending a heartbeat until the receiver has applied it.
    pub delay: Duration,
    /// Share of the heartbeats that are lost.
    pub loss: f64,
    #[serde(skip)]
    pub policy: Policy,
    /// Whether VMs share free slots by slot grants.
    #[serde(rename = "turns")]
    pub slot_grants: bool,
}

struct Vm {
    id: VmId,
    domain: u64,
    online: Online,
    items: Items,
    usage: Usage,
    /// Items that wait at the other VMs, as last reported.
    waiting: HashMap<VmId, (DomainId, u32)>,
    changed: bool,
    local_heartbeat_at: Duration,
    remote_heartbeat_at: Duration,
    plan_now: bool,
}

struct OnlineRequest {
    arrived_at: Duration,
    /// Time at which the request arrived first; deadline and time to first token count from it.
    first_at: Duration,
    prompt: Vec<PromptPart>,
    tokens: u32,
    run: Option<(RunId, EndpointId)>,
    retried: bool,
    in_time: bool,
}

struct Item {
    due: Duration,
    tokens: u32,
    generated: u32,
    /// Tokens generated before the current run.
    generated_before: u32,
    run: Option<(RunId, EndpointId)>,
}

enum RunKind {
    Online(RequestId),
    Item(ItemKey),
}

struct Run {
    vm: usize,
    kind: RunKind,
}

/// The state of one simulation.
pub struct Fleet<'a> {
    spec: &'a FleetSpec,
    load: &'a Load,
    now: Duration,
    vms: Vec<Vm>,
    engines: HashMap<EndpointId, Engine>,
    endpoint_order: Vec<EndpointId>,
    runs: HashMap<RunId, Run>,
    online_requests: HashMap<RequestId, OnlineRequest>,
    items: HashMap<ItemKey, Item>,
    heartbeats: Vec<(Duration, usize, Rc<Heartbeat>)>,
    /// Refused callers that will retry: time, VM and request.
    retries: Vec<(Duration, usize, RequestId)>,
    rng: SmallRng,
    last_id: u64,
    outcome: Outcome,
}

/// Simulates a load, with all random choices drawn from a seed.
pub fn simulate(spec: &FleetSpec, load: &Load, seed: u64) -> Outcome {
    let mut fleet = Fleet::new(spec, load, seed);
    let arrivals = load.draw(seed);
    let mut next = arrivals.iter().peekable();
    while fleet.now < load.length + COMPLETION_TIME {
        fleet.now += STEP;
        while let Some(arrival) = next.next_if(|arrival| arrival.at <= fleet.now) {
            fleet.apply_arrival(arrival);
        }
        fleet.step();
        if fleet.now == load.length {
            fleet.record_slot_use();
        }
    }
    fleet.finish()
}

impl<'a> Fleet<'a> {
    fn new(spec: &'a FleetSpec, load: &'a Load, seed: u64) -> Fleet<'a> {
        let mut endpoints = Endpoints::default();
        let slots = spec.engine.slots as f64;
        let domain = |at: usize| at as u64 % spec.domains;
        endpoints.configure(endpoint_configs(spec.engines, SERVICE, slots, domain));
        let order: Vec<EndpointId> = endpoints.rows.iter().map(|row| row.id).collect();
        let engine = |id: &EndpointId| (*id, Engine::new(spec.engine.clone()));
        let vm = |at: u64| {
            let domain = at % spec.domains;
            let mut online = Online::new(domain, SmallRng::seed_from_u64(seed ^ (at + 1)));
            online.endpoints = endpoints.clone();
            online.policy = spec.policy;
            online.services = HashMap::from([(SERVICE, service(load))]);
            Vm {
                id: id::of(&format!("vm-{at}")),
                domain,
                online,
                items: Items::default(),
                usage: Usage::default(),
                waiting: HashMap::new(),
                changed: false,
                local_heartbeat_at: Duration::ZERO,
                remote_heartbeat_at: Duration::ZERO,
                plan_now: false,
            }
        };
        Fleet {
            spec,
            load,
            now: Duration::ZERO,
            vms: (0..spec.vms).map(vm).collect(),
            engines: order.iter().map(engine).collect(),
            endpoint_order: order,
            runs: HashMap::new(),
            online_requests: HashMap::new(),
            items: HashMap::new(),
            heartbeats: Vec::new(),
            retries: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            last_id: 0,
            outcome: Outcome::default(),
        }
    }

    fn step(&mut self) {
        self.advance_engines();
        self.deliver_heartbeats();
        self.retry_callers();
        let millis = self.now.as_millis() as u64;
        for at in 0..self.vms.len() {
            // Offsets the ticks, so that VMs do not all act at the same moment.
            let offset = at as u64 * 7;
            if (millis + offset).is_multiple_of(TICK_INTERVAL_MS) {
                let mut out = Vec::new();
                let vm = &mut self.vms[at];
                vm.usage.tick(self.now);
                update_uses(vm, self.now);
                vm.online.tick(self.now, &mut out);
                self.apply_actions(at, out);
            }
            if self.vms[at].plan_now || (millis + offset).is_multiple_of(PLAN_INTERVAL_MS) {
                self.plan_items(at);
            }
            self.send_heartbeats(at);
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// The VM of a caller: always the same one, so that some VMs have more callers than others.
    fn vm_of(&self, caller: u64) -> usize {
        let caller = caller % (CALLERS * self.spec.domains);
        let domain = caller % self.spec.domains;
        let of_domain = self.spec.vms.div_ceil(self.spec.domains);
        let at = id::weight(caller, 1) % of_domain * self.spec.domains + domain;
        (at % self.spec.vms) as usize
    }

    fn apply_arrival(&mut self, arrival: &Arrival) {
        let vm = self.vm_of(arrival.caller);
        match &arrival.kind {
            ArrivalKind::Online { prompt, tokens } => {
                self.outcome.online += 1;
                let request = self.next_id();
                let request_state = OnlineRequest {
                    arrived_at: arrival.at,
                    first_at: arrival.at,
                    prompt: prompt.clone(),
                    tokens: *tokens,
                    run: None,
                    retried: false,
                    in_time: false,
                };
                self.online_requests.insert(request, request_state);
                self.submit(vm, request);
            }
            ArrivalKind::Job { items } => {
                let job = format!("job-{}", self.next_id());
                for (at, tokens) in items.iter().enumerate() {
                    self.outcome.items += 1;
                    let key = ItemKey {
                        job: job.as_str().into(),
                        item: at as u32,
                    };
                    let due = arrival.at + self.load.due;
                    let vm = &mut self.vms[vm];
                    vm.items.add(self.now, key.clone(), SERVICE, due);
                    vm.plan_now = true;
                    let item = Item {
                        due,
                        tokens: *tokens,
                        generated: 0,
                        generated_before: 0,
                        run: None,
                    };
                    self.items.insert(key, item);
                }
            }
        }
    }

    fn offer(&mut self, endpoint: EndpointId, engine_request: EngineRequest) -> bool {
        let now = self.now;
        let engine = self.engines.get_mut(&endpoint);
        let accepted = engine.is_some_and(|engine| engine.offer(now, engine_request));
        self.outcome.refused_by_engines += u64::from(!accepted);
        accepted
    }

    fn advance_engines(&mut self) {
        let mut events = Vec::new();
        for id in &self.endpoint_order {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.advance(self.now, &mut events);
            }
        }
        events.sort_by_key(|event| event.at);
        for event in events {
            self.apply_event(event);
        }
    }

    fn apply_event(&mut self, event: TimedEvent) {
        let Some(run) = self.runs.get(&event.run) else {
            return;
        };
        let vm = run.vm;
        match &run.kind {
            RunKind::Online(request) => {
                let request = *request;
                self.apply_online_event(vm, request, event);
            }
            RunKind::Item(key) => {
                let key = key.clone();
                self.apply_item_event(vm, &key, event);
            }
        }
        if event.event == RunEvent::Ended {
            self.runs.remove(&event.run);
        }
    }

    fn record_slot_use(&mut self) {
        let busy: Duration = self.engines.values().map(|e| e.busy_slots).sum();
        let slots = (self.spec.engines * self.spec.engine.slots) as f64;
        let all_s = self.load.length.as_secs_f64() * slots;
        self.outcome.slots_used = busy.as_secs_f64() / all_s;
    }

    fn finish(mut self) -> Outcome {
        self.outcome.items_open = self.items.len() as u64;
        self.outcome.finish();
        self.outcome
    }
}

fn update_uses(vm: &mut Vm, now: Duration) {
    vm.items
        .update_usage(now, &mut vm.online.endpoints, &vm.usage);
}

fn service(load: &Load) -> ServiceConfig {
    ServiceConfig {
        first_token_goal: load.goal,
        queue_limit: 256,
        max_in_flight: 2000,
        learn_limit: false,
        shares: HashMap::from([(WORKSPACE, 1.0)]),
    }
}
