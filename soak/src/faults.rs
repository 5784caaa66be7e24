//! Injects the planned faults into the fleet, and reverts them.

use std::time::Duration;

use bramleyseam::clock;
use bramleyseam::standin::relay::{Mode, Relay, Silence};
use bramleyseam::util::lock;
use bramleyseam_platform_standin::endpoint::{Behaviour, Endpoint};
use bramleyseam_platform_standin::fleet::{entry_key, register_at, route, rules, set_tries, Fleet};
use rustix::process::Signal;
use serde_json::{json, Value};

use super::checks::AFTERMATH;
use super::ledger::{Done, Ledger};
use super::plan::{Fault, Step};

/// Wrong answers of an engine per fault.
const WRONG: u32 = 4;
/// Store calls that fail per fault.
const CALLS: u32 = 3;
const SLOW: Duration = Duration::from_millis(150);
/// A connection to the store without traffic for this time is taken to carry a waiting watch.
const WAITING: Duration = Duration::from_millis(1200);
/// A connection to an engine without traffic for this time waits for the next request, or for an
/// answer that has stopped.
const IDLE: Duration = Duration::from_millis(100);
/// Time in which a written configuration must be in force at VMs without faults.
const RULES_KNOWN: Duration = Duration::from_millis(2000);
/// Time in which a process must end after a stop signal; its settings allow it 6 s.
pub const STOP_MAX: Duration = Duration::from_secs(9);

/// Pause between two events of an engine's answers.
pub const EVENT_PAUSE: Duration = Duration::from_millis(25);

/// Version of the configuration that a run begins with.
pub const FIRST_RULES: u64 = 2;

/// Injects the faults of a plan.
pub struct Disturber<'a> {
    program: &'a str,
    fleet: &'a mut Fleet,
    ledger: &'a Ledger,
    /// Active faults: end time, step and index in the ledger.
    under_way: Vec<(Duration, Step, usize)>,
    version: u64,
    routes: Vec<String>,
    left: Vec<usize>,
    /// Written configuration versions that are still to be checked, with the time of writing.
    written: Vec<(u64, Duration)>,
}

impl<'a> Disturber<'a> {
    /// Creates the injector; no fault is active yet.
    pub fn new(program: &'a str, fleet: &'a mut Fleet, ledger: &'a Ledger) -> Disturber<'a> {
        Disturber {
            program,
            fleet,
            ledger,
            under_way: Vec::new(),
            version: FIRST_RULES,
            routes: Vec::new(),
            left: Vec::new(),
            written: Vec::new(),
        }
    }

    /// Injects the steps at their times, and waits until all are reverted.
    pub fn play(&mut self, steps: &[Step], length: Duration) {
        let started = clock::now();
        let mut next = steps.iter().peekable();
        loop {
            let now = clock::now();
            while let Some(step) = next.next_if(|step| started + step.at <= now) {
                self.begin(now, step);
            }
            self.check_rules(now);
            let ended = |(until, ..): &mut (Duration, Step, usize)| *until <= now;
            let ended: Vec<_> = self.under_way.extract_if(.., ended).collect();
            for (_, step, place) in ended {
                self.end(&step, place);
            }
            let over =
                now >= started + length && self.under_way.is_empty() && self.written.is_empty();
            if over && next.peek().is_none() {
                return;
            }
            clock::sleep(Duration::from_millis(5));
        }
    }

    /// Restores all endpoints and the store to normal behaviour.
    pub fn calm(&mut self) {
        for endpoint in &self.fleet.endpoints {
            endpoint.behave(|b| {
                *b = Behaviour {
                    pause: b.pause,
                    ..Behaviour::default()
                }
            });
        }
        self.fleet.store.behave(|b| *b = Default::default());
        clock::sleep(Duration::from_millis(500));
    }

    fn begin(&mut self, now: Duration, step: &Step) {
        let busy = self.under_way.iter().any(|(_, other, _)| {
            other.fault.on_vm() == step.fault.on_vm() && other.target == step.target
        });
        // A VM has at most one fault at a time: a fault on a process that is down would have no
        // effect.
        if step.fault.on_vm() && busy {
            return;
        }
        let mut done = lock(&self.ledger.done);
        let place = done.len();
        done.push(Done {
            fault: step.fault,
            target: step.target,
            from: now,
            until: Duration::MAX,
        });
        drop(done);
        let lasts = match step.fault.at_once() {
            true => Duration::ZERO,
            false => step.lasts,
        };
        self.under_way.push((now + lasts, *step, place));
        self.apply(step);
    }

    fn apply(&mut self, step: &Step) {
        let target = step.target;
        match step.fault {
            Fault::VmKilled => self.fleet.vms[target].kill(),
            Fault::VmPaused => self.fleet.vms[target].signal(Signal::STOP),
            Fault::VmStopped => self.fleet.vms[target].signal(Signal::TERM),
            Fault::VmReloaded => self.fleet.vms[target].signal(Signal::HUP),
            Fault::StoreAway => self.fleet.store.behave(|b| b.away = true),
            Fault::StoreLosesAnswers => self.fleet.store.behave(|b| b.lose_commits = CALLS),
            Fault::StoreRefuses => self.fleet.store.behave(|b| b.refuse_commits = CALLS),
            Fault::StoreDeaf => self.fleet.store.behave(|b| b.deaf = true),
            Fault::StoreForgets => self.fleet.store.compact(),
            Fault::StoreLinkCut => self.fleet.vms[target].store.cut(true),
            Fault::StoreLinkSilent => self.fleet.vms[target].store.set(Mode::Silent),
            Fault::StoreLinkOneWay => self.fleet.vms[target].store.set(Mode::SilentDown),
            Fault::StoreLinkSlow => self.fleet.vms[target].store.set(Mode::Delayed(SLOW)),
            Fault::EngineSilent => self.fleet.endpoints[target].behave(|b| b.silent = true),
            Fault::EngineBreaks => self.fleet.endpoints[target].behave(|b| {
                b.break_after = Some(2);
                b.breaks = WRONG;
            }),
            Fault::EngineFull => self.fleet.endpoints[target].behave(|b| b.refuse = WRONG),
            Fault::EngineFails => self.fleet.endpoints[target].behave(|b| b.fail = WRONG),
            Fault::EngineCrosses => self.fleet.endpoints[target].behave(|b| b.cross = WRONG),
            Fault::EngineUnsigned => self.fleet.endpoints[target].behave(|b| b.unsigned = WRONG),
            Fault::EngineSkips => self.fleet.endpoints[target].behave(|b| b.gaps = WRONG),
            Fault::EngineLinkOneWay => self.fleet.links[target].set(Mode::SilentUp),
            Fault::EngineLinkSlow => self.fleet.links[target].set(Mode::Delayed(SLOW)),
            Fault::EngineLinkReset => self.fleet.links[target].reset(),
            Fault::EngineEnds => self.fleet.endpoints[target].end(),
            Fault::EngineLeaves => self.leave(target),
            Fault::RulesChange => self.change_rules(),
            Fault::WatchesSilent => {
                for vm in &self.fleet.vms {
                    vm.store.silence_idle(WAITING, Silence::Both);
                }
            }
            Fault::WatchSilentOneWay => {
                self.fleet.vms[target]
                    .store
                    .silence_idle(WAITING, Silence::Down);
            }
            Fault::StoreLinkForgets => {
                self.fleet.vms[target].store.silence_open();
                self.fleet.vms[target].store.silence_next(1);
            }
            Fault::EngineIdleSilent => {
                self.fleet.links[target].silence_idle(IDLE, Silence::Both);
            }
        }
    }

    fn end(&mut self, step: &Step, place: usize) {
        let target = step.target;
        match step.fault {
            Fault::VmKilled => self.start(target),
            Fault::VmPaused => self.fleet.vms[target].signal(Signal::CONT),
            Fault::VmStopped => {
                let ended = self.fleet.vms[target].wait_end(STOP_MAX);
                if ended != Some(true) {
                    let what = format!("VM {target} did not end well: {ended:?}");
                    self.ledger.broken(clock::now(), what);
                    self.fleet.vms[target].kill();
                }
                self.start(target);
            }
            Fault::StoreAway => self.fleet.store.behave(|b| b.away = false),
            Fault::StoreDeaf => {
                // As a real store does after a compaction: changes that were not sent to the watch
                // are lost to it.
                self.fleet.store.compact();
                self.fleet.store.behave(|b| b.deaf = false);
            }
            Fault::StoreLinkCut => self.fleet.vms[target].store.cut(false),
            Fault::StoreLinkSilent | Fault::StoreLinkOneWay | Fault::StoreLinkSlow => {
                self.fleet.vms[target].store.set(Mode::Open);
            }
            Fault::EngineSilent => self.fleet.endpoints[target].behave(|b| b.silent = false),
            Fault::EngineEnds => self.replace(target),
            Fault::EngineLinkOneWay | Fault::EngineLinkSlow => {
                self.fleet.links[target].set(Mode::Open);
            }
            _ => {}
        }
        lock(&self.ledger.done)[place].until = clock::now();
    }

    fn start(&mut self, vm: usize) {
        let started = self.fleet.vms[vm].restart(self.program);
        let ready = started.and_then(|()| self.fleet.vms[vm].wait_listening());
        if let Err(error) = ready {
            let what = format!("VM {vm} does not start: {error}");
            self.ledger.broken(clock::now(), what);
        }
    }

    /// Starts another engine in place of one that has ended; the runs of the ended one still count.
    fn replace(&mut self, place: usize) {
        let ended = self.fleet.endpoints[place].clone();
        if ended.ended_at().is_none() || self.left.contains(&place) {
            return;
        }
        self.fleet.store.remove(&entry_key(&ended));
        let id = format!("{}-{}", ended.id, self.fleet.endpoints.len());
        let started = Endpoint::start(&id).and_then(|next| {
            let link = Relay::start(next.address)?;
            Ok((next, link))
        });
        let (next, link) = match started {
            Ok(started) => started,
            Err(error) => {
                let what = format!("an engine does not start: {error}");
                return self.ledger.broken(clock::now(), what);
            }
        };
        next.behave(|b| b.pause = EVENT_PAUSE);
        register_at(&self.fleet.store, &next, link.address, "ready");
        self.fleet.endpoints[place] = next;
        self.fleet.links[place] = link;
        self.fleet.endpoints.push(ended);
    }

    fn leave(&mut self, endpoint: usize) {
        let leaving = &self.fleet.endpoints[endpoint];
        if leaving.ended_at().is_some() {
            return;
        }
        let address = self.fleet.links[endpoint].address;
        register_at(&self.fleet.store, leaving, address, "draining");
        self.left.push(endpoint);
    }

    /// Writes a configuration with all present routes and one more.
    fn change_rules(&mut self) {
        self.version += 3;
        self.routes.push(format!("/added-{}/", self.version));
        let changed = rules_with(self.version, &self.routes);
        self.fleet.put_rules(&changed);
        self.written.push((self.version, clock::now()));
    }

    /// Checks that due configuration versions are in force at each VM without recent faults.
    fn check_rules(&mut self, now: Duration) {
        let due = |(_, at): &mut (u64, Duration)| *at + RULES_KNOWN <= now;
        let due: Vec<(u64, Duration)> = self.written.extract_if(.., due).collect();
        for (version, at) in due {
            let from = at.saturating_sub(AFTERMATH);
            for (vm, known) in self.fleet.vms.iter().enumerate() {
                let unsound =
                    |done: &Done| !done.fault.planned() || done.fault.stops(vm, done.target);
                if self.ledger.disturbed(from, now, unsound) {
                    continue;
                }
                let rules = known.dump()["rules"].as_u64().unwrap_or(0);
                if rules < version {
                    let what = format!("{} has rules {rules} and not {version}", known.name);
                    self.ledger.broken(now, what);
                }
            }
        }
    }
}

/// A configuration with added routes. Requests that must not be repeated may have several attempts,
/// so that a second run would show.
pub fn rules_with(version: u64, added: &[String]) -> Value {
    let mut changed = rules(version);
    set_tries(&mut changed, "renew", 3);
    for prefix in added {
        let added = route(prefix, prefix, json!({ "resumable": true }));
        if let Some(routes) = changed["routes"].as_array_mut() {
            routes.push(added);
        }
    }
    changed
}
