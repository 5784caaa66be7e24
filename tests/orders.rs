//! Orders to endpoints, by one lease holder at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use bramleyseam::clock;
use bramleyseam::decide::commit::WriteOutcome;
use bramleyseam::decide::orders::{Action, EndpointModels, FenceRecord, Orders, LEASE_DURATION};
use bramleyseam::id::Name;
use bramleyseam::standin::fleet::{Fleet, Plan};
use quickcheck::quickcheck;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};

const STEP: Duration = Duration::from_millis(100);

enum Reply {
    Leased(Option<u64>),
    Renewed(Option<bool>),
    Read(Option<Option<(u64, FenceRecord)>>),
    Written(WriteOutcome),
}

struct Holder {
    orders: Orders,
    replies: Vec<(u32, Reply)>,
    paused_until: u32,
}

struct Simulation {
    rng: SmallRng,
    step: u32,
    outage: bool,
    lease: Option<(u64, Duration)>,
    next_lease: u64,
    fence: Option<(u64, FenceRecord)>,
    holders: Vec<Holder>,
    /// Orders in transit: arrival, endpoint, fencing number, models.
    orders_in_transit: Vec<(u32, u64, u64, Vec<Name>)>,
    /// Models loaded at each endpoint, and the highest fencing number that it received.
    endpoints: BTreeMap<u64, (Vec<Name>, u64)>,
    wanted: Vec<Name>,
    stale_order_applied: bool,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let holder = |own| Holder {
            orders: Orders::new(own, own << 32),
            replies: Vec::new(),
            paused_until: 0,
        };
        Simulation {
            rng: SmallRng::seed_from_u64(seed),
            step: 0,
            outage: false,
            lease: None,
            next_lease: 0,
            fence: None,
            holders: (1..4).map(holder).collect(),
            orders_in_transit: Vec::new(),
            endpoints: (0..6).map(|at| (at, (Vec::new(), 0))).collect(),
            wanted: vec!["a@1".into()],
            stale_order_applied: false,
        }
    }

    fn now(&self) -> Duration {
        STEP * self.step
    }

    fn store_unavailable(&mut self) -> bool {
        self.outage || self.rng.random_bool(0.05)
    }

    fn perform(&mut self, at: usize, action: Action) {
        let now = self.now();
        if self.lease.is_some_and(|(_, until)| now >= until) {
            self.lease = None;
        }
        let reply = match action {
            Action::Lease => {
                let won = !self.store_unavailable() && self.lease.is_none();
                if won {
                    self.next_lease += 1;
                    self.lease = Some((self.next_lease, now + LEASE_DURATION));
                }
                Reply::Leased(won.then_some(self.next_lease))
            }
            Action::Renew { lease } => match self.store_unavailable() {
                true => Reply::Renewed(None),
                false => {
                    let alive = self.lease.is_some_and(|(own, _)| own == lease);
                    if alive {
                        self.lease = Some((lease, now + LEASE_DURATION));
                    }
                    Reply::Renewed(Some(alive))
                }
            },
            Action::ReadFence => {
                let store_unavailable = self.store_unavailable();
                Reply::Read((!store_unavailable).then(|| self.fence.clone()))
            }
            Action::WriteFence { expect, record } => {
                let standing = self.fence.as_ref().map_or(0, |(revision, _)| *revision);
                let won = standing == expect;
                if won {
                    self.fence = Some((expect + 1, record));
                }
                match (self.rng.random_bool(0.2), won) {
                    (true, _) => Reply::Written(WriteOutcome::Unknown),
                    (false, true) => Reply::Written(WriteOutcome::Won(expect + 1)),
                    (false, false) => Reply::Written(WriteOutcome::Lost),
                }
            }
            Action::Order {
                endpoint,
                fence,
                models,
            } => {
                // In transit for a little less than the margin; some are lost.
                if self.rng.random_bool(0.9) {
                    let arrival = self.step + self.rng.random_range(1..19);
                    self.orders_in_transit
                        .push((arrival, endpoint, fence, models));
                }
                return;
            }
        };
        let arrival = self.step + self.rng.random_range(1..5);
        self.holders[at].replies.push((arrival, reply));
    }

    fn run_step(&mut self) {
        self.step += 1;
        let (now, step) = (self.now(), self.step);
        for (arrival, endpoint, fence, models) in std::mem::take(&mut self.orders_in_transit) {
            if arrival > step {
                self.orders_in_transit
                    .push((arrival, endpoint, fence, models));
                continue;
            }
            // This endpoint does not check fencing numbers, so it applies stale orders.
            let state = self.endpoints.get_mut(&endpoint).unwrap();
            self.stale_order_applied |= fence < state.1;
            *state = (models, fence.max(state.1));
        }
        for at in 0..self.holders.len() {
            if self.rng.random_bool(0.003) {
                self.holders[at].paused_until = step + self.rng.random_range(20..150);
            }
            if self.holders[at].paused_until > step {
                continue;
            }
            let mut out = Vec::new();
            let replies = std::mem::take(&mut self.holders[at].replies);
            for (arrival, reply) in replies {
                let holder = &mut self.holders[at];
                if arrival > step {
                    holder.replies.push((arrival, reply));
                    continue;
                }
                match reply {
                    Reply::Leased(lease) => holder.orders.lease_answered(now, lease, &mut out),
                    Reply::Renewed(alive) => holder.orders.renewal_answered(now, alive),
                    Reply::Read(found) => holder.orders.fence_read(now, found, &mut out),
                    Reply::Written(answer) => holder.orders.fence_written(now, answer, &mut out),
                }
            }
            let wanted: Vec<EndpointModels> = self
                .endpoints
                .iter()
                .map(|(endpoint, (models, _))| EndpointModels {
                    endpoint: *endpoint,
                    models: self.wanted.clone(),
                    reported: Some(models.clone()),
                })
                .collect();
            self.holders[at].orders.tick(now, true, &wanted, &mut out);
            for action in out {
                self.perform(at, action);
            }
        }
    }
}

quickcheck! {
    // Holders resume from pauses longer than their lease, the store becomes unavailable, answers
    // and orders are lost. The endpoints don't check fencing numbers, yet no order of an earlier
    // holder arrives after one of a later holder; at most one VM may send orders at a time; and all
    // endpoints reach the target state.
    fn one_orders(seed: u64) -> bool {
        let mut simulation = Simulation::new(seed);
        for _ in 0..1_500 {
            if simulation.rng.random_bool(0.005) {
                simulation.outage = !simulation.outage;
            }
            if simulation.rng.random_bool(0.005) {
                let version = simulation.rng.random_range(1..9);
                simulation.wanted = vec![format!("a@{version}").as_str().into()];
            }
            simulation.run_step();
            let now = simulation.now();
            let awake = simulation.holders.iter().filter(|holder| holder.paused_until <= simulation.step);
            if awake.filter(|holder| holder.orders.fence(now).is_some()).count() > 1 {
                return false;
            }
        }
        simulation.outage = false;
        simulation.holders.iter_mut().for_each(|holder| holder.paused_until = 0);
        for _ in 0..600 {
            simulation.run_step();
        }
        let wanted = simulation.wanted.clone();
        !simulation.stale_order_applied && simulation.endpoints.values().all(|(models, _)| *models == wanted)
    }
}

fn models(fleet: &Fleet, engine: usize) -> Value {
    let address = fleet.engines[engine].address;
    bramleyseam::standin::fleet::call(address, "GET", "/load", "", &[], b"")
        .unwrap()
        .json()["models"]
        .clone()
}

// An operator changes a model's version. The VM that holds the lease orders each engine to load it;
// when that VM is killed, another one takes over with a higher fencing number, and engines that
// check the number refuse the old one.
#[test]
fn engines_ordered() {
    let mut fleet = Fleet::start(
        "orders",
        &Plan {
            entries: 2,
            engines: 2,
            ..Plan::default()
        },
    )
    .unwrap();
    let wait_for_models = |fleet: &Fleet, wanted: &str| {
        let until = clock::now() + Duration::from_secs(25);
        while (0..2).any(|engine| models(fleet, engine) != json!([wanted])) {
            assert!(
                clock::now() < until,
                "{} {}",
                models(fleet, 0),
                models(fleet, 1)
            );
            clock::sleep(Duration::from_millis(100));
        }
    };
    wait_for_models(&fleet, "permit-7b@1");
    fleet.entries[0].kill();
    fleet.batches[0].kill();
    let folder = fleet.folder.join("config");
    let versions = json!([{ "model": "permit-7b", "version": "2" }]).to_string();
    std::fs::write(folder.join("versions.json"), versions).unwrap();
    fleet.apply(&folder).unwrap();
    wait_for_models(&fleet, "permit-7b@2");
    let body = json!({ "fence": 0, "models": ["old"] }).to_string();
    let address = fleet.engines[0].address;
    let answer =
        bramleyseam::standin::fleet::call(address, "POST", "/orders", "", &[], body.as_bytes());
    assert_eq!(answer.unwrap().status, 409);
    assert_eq!(models(&fleet, 0), json!(["permit-7b@2"]));
}
