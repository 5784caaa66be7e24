//! A simulated fleet: engines, VMs that decide, and heartbeats between the VMs with delay and loss.

mod batch;
mod online;
mod talk;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde::Serialize;

use self::talk::Beat;
use super::engine::{Engine, Part, RunId, Seen, Sent, Spec, Work};
use super::load::{Arrival, Load, What, CALLERS};
use super::outcome::Outcome;
use crate::decide::endpoints::Endpoints;
use crate::decide::items::{ItemKey, Items};
use crate::decide::online::{Online, ServiceConfig};
use crate::decide::routing::Policy;
use crate::decide::usage::Usage;
use crate::id::{self, DomainId, EndpointId, RequestId, VmId};
use crate::standin::table::declared;

const SERVICE: u64 = 1;
const WORKSPACE: u64 = 0;
/// Length of one simulation step.
const TURN: Duration = Duration::from_millis(1);
/// Time after the last arrival in which the simulation goes on, so that jobs can finish.
const AFTER: Duration = Duration::from_secs(18);
const TICK_MS: u64 = 25;
const PLAN_MS: u64 = 50;
/// A refused caller retries after at most this part of the time left to its deadline.
const RETRY_PART: f64 = 1.0 / 3.0;

/// The machines of a simulation, and how the VMs cooperate.
#[derive(Debug, Clone, Serialize)]
pub struct Plan {
    pub domains: u64,
    pub vms: u64,
    pub engines: usize,
    pub engine: Spec,
    /// Interval of heartbeats within the local failure domain while counts change.
    pub near: Duration,
    /// Interval of heartbeats to the other failure domains.
    pub far: Duration,
    /// Time from sending a heartbeat until the receiver has applied it.
    pub delay: Duration,
    /// Share of the heartbeats that are lost.
    pub loss: f64,
    #[serde(skip)]
    pub policy: Policy,
    /// Whether VMs share free slots by slot grants.
    pub turns: bool,
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
    near_at: Duration,
    far_at: Duration,
    plan_now: bool,
}

struct Asked {
    arrived_at: Duration,
    /// Time at which the request arrived first; deadline and time to first token count from it.
    first_at: Duration,
    prompt: Vec<Part>,
    tokens: u32,
    run: Option<(RunId, EndpointId)>,
    again: bool,
    in_time: bool,
}

struct Item {
    due: Duration,
    tokens: u32,
    made: u32,
    /// Tokens generated before the current run.
    made_before: u32,
    run: Option<(RunId, EndpointId)>,
}

enum Of {
    Online(RequestId),
    Item(ItemKey),
}

struct Run {
    vm: usize,
    of: Of,
}

/// The state of one simulation.
pub struct Fleet<'a> {
    plan: &'a Plan,
    load: &'a Load,
    now: Duration,
    vms: Vec<Vm>,
    engines: HashMap<EndpointId, Engine>,
    order: Vec<EndpointId>,
    runs: HashMap<RunId, Run>,
    asked: HashMap<RequestId, Asked>,
    items: HashMap<ItemKey, Item>,
    beats: Vec<(Duration, usize, Rc<Beat>)>,
    /// Refused callers that will retry: time, VM and request.
    returning: Vec<(Duration, usize, RequestId)>,
    rng: SmallRng,
    last_id: u64,
    seen: Outcome,
}

/// Simulates a load, with all random choices drawn from a seed.
pub fn play(plan: &Plan, load: &Load, seed: u64) -> Outcome {
    let mut fleet = Fleet::new(plan, load, seed);
    let arrivals = load.draw(seed);
    let mut next = arrivals.iter().peekable();
    while fleet.now < load.length + AFTER {
        fleet.now += TURN;
        while let Some(arrival) = next.next_if(|arrival| arrival.at <= fleet.now) {
            fleet.arrived(arrival);
        }
        fleet.turn();
        if fleet.now == load.length {
            fleet.note_use();
        }
    }
    fleet.finish()
}

impl<'a> Fleet<'a> {
    fn new(plan: &'a Plan, load: &'a Load, seed: u64) -> Fleet<'a> {
        let mut endpoints = Endpoints::default();
        let slots = plan.engine.slots as f64;
        let domain = |at: usize| at as u64 % plan.domains;
        endpoints.configure(declared(plan.engines, SERVICE, slots, domain));
        let order: Vec<EndpointId> = endpoints.rows.iter().map(|row| row.id).collect();
        let engine = |id: &EndpointId| (*id, Engine::new(plan.engine.clone()));
        let vm = |at: u64| {
            let domain = at % plan.domains;
            let mut online = Online::new(domain, SmallRng::seed_from_u64(seed ^ (at + 1)));
            online.endpoints = endpoints.clone();
            online.policy = plan.policy;
            online.services = HashMap::from([(SERVICE, service(load))]);
            Vm {
                id: id::of(&format!("vm-{at}")),
                domain,
                online,
                items: Items::default(),
                usage: Usage::default(),
                waiting: HashMap::new(),
                changed: false,
                near_at: Duration::ZERO,
                far_at: Duration::ZERO,
                plan_now: false,
            }
        };
        Fleet {
            plan,
            load,
            now: Duration::ZERO,
            vms: (0..plan.vms).map(vm).collect(),
            engines: order.iter().map(engine).collect(),
            order,
            runs: HashMap::new(),
            asked: HashMap::new(),
            items: HashMap::new(),
            beats: Vec::new(),
            returning: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            last_id: 0,
            seen: Outcome::default(),
        }
    }

    fn turn(&mut self) {
        self.engines_turn();
        self.hear();
        self.return_callers();
        let millis = self.now.as_millis() as u64;
        for at in 0..self.vms.len() {
            // Offsets the ticks, so that VMs do not all act at the same moment.
            let offset = at as u64 * 7;
            if (millis + offset).is_multiple_of(TICK_MS) {
                let mut out = Vec::new();
                let vm = &mut self.vms[at];
                vm.usage.tick(self.now);
                note_uses(vm, self.now);
                vm.online.tick(self.now, &mut out);
                self.act(at, out);
            }
            if self.vms[at].plan_now || (millis + offset).is_multiple_of(PLAN_MS) {
                self.plan_items(at);
            }
            self.tell(at);
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// The VM of a caller: always the same one, so that some VMs have more callers than others.
    fn vm_of(&self, caller: u64) -> usize {
        let caller = caller % (CALLERS * self.plan.domains);
        let domain = caller % self.plan.domains;
        let of_domain = self.plan.vms.div_ceil(self.plan.domains);
        let at = id::weight(caller, 1) % of_domain * self.plan.domains + domain;
        (at % self.plan.vms) as usize
    }

    fn arrived(&mut self, arrival: &Arrival) {
        let vm = self.vm_of(arrival.caller);
        match &arrival.what {
            What::Online { prompt, tokens } => {
                self.seen.online += 1;
                let request = self.next_id();
                let asked = Asked {
                    arrived_at: arrival.at,
                    first_at: arrival.at,
                    prompt: prompt.clone(),
                    tokens: *tokens,
                    run: None,
                    again: false,
                    in_time: false,
                };
                self.asked.insert(request, asked);
                self.ask(vm, request);
            }
            What::Job { items } => {
                let job = format!("job-{}", self.next_id());
                for (at, tokens) in items.iter().enumerate() {
                    self.seen.items += 1;
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
                        made: 0,
                        made_before: 0,
                        run: None,
                    };
                    self.items.insert(key, item);
                }
            }
        }
    }

    fn offer(&mut self, endpoint: EndpointId, work: Work) -> bool {
        let now = self.now;
        let engine = self.engines.get_mut(&endpoint);
        let taken = engine.is_some_and(|engine| engine.offer(now, work));
        self.seen.refused_by_engines += u64::from(!taken);
        taken
    }

    fn engines_turn(&mut self) {
        let mut sent = Vec::new();
        for id in &self.order {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.advance(self.now, &mut sent);
            }
        }
        sent.sort_by_key(|one| one.at);
        for one in sent {
            self.heard(one);
        }
    }

    fn heard(&mut self, sent: Sent) {
        let Some(run) = self.runs.get(&sent.run) else {
            return;
        };
        let vm = run.vm;
        match &run.of {
            Of::Online(request) => {
                let request = *request;
                self.heard_online(vm, request, sent);
            }
            Of::Item(key) => {
                let key = key.clone();
                self.heard_item(vm, &key, sent);
            }
        }
        if sent.seen == Seen::Ended {
            self.runs.remove(&sent.run);
        }
    }

    fn note_use(&mut self) {
        let busy: Duration = self.engines.values().map(|e| e.busy_slots).sum();
        let slots = (self.plan.engines * self.plan.engine.slots) as f64;
        let all_s = self.load.length.as_secs_f64() * slots;
        self.seen.slots_used = busy.as_secs_f64() / all_s;
    }

    fn finish(mut self) -> Outcome {
        self.seen.items_open = self.items.len() as u64;
        self.seen.finish();
        self.seen
    }
}

fn note_uses(vm: &mut Vm, now: Duration) {
    vm.items.note_uses(now, &mut vm.online.endpoints, &vm.usage);
}

fn service(load: &Load) -> ServiceConfig {
    ServiceConfig {
        first_token_goal: load.goal,
        queue_limit: 256,
        max_in_flight: 2000,
        learn: false,
        shares: HashMap::from([(WORKSPACE, 1.0)]),
    }
}
