//! Injects the planned faults into the fleet, and reverts them.

use std::time::Duration;

use bramleyseam::clock;
use bramleyseam::standin::relay::{Mode, Relay, Silence};
use bramleyseam::util::lock;
use bramleyseam_platform_standin::endpoint::{Behaviour, Endpoint};
use bramleyseam_platform_standin::fleet::{
    config, entry_key, register_at, route, set_attempts_max, Fleet,
};
use rustix::process::Signal;
use serde_json::{json, Value};

use super::checks::FAULT_EFFECT_TIME;
use super::ledger::{InjectedFault, Ledger};
use super::plan::{Fault, Step};

/// Wrong answers of an engine per fault.
const WRONG_ANSWERS: u32 = 4;
/// Store calls that fail per fault.
const FAILED_CALLS: u32 = 3;
const LINK_DELAY: Duration = Duration::from_millis(150);
/// A connection to the store without traffic for this time is taken to carry a waiting watch.
const WATCH_IDLE_TIME: Duration = Duration::from_millis(1200);
/// A connection to an engine without traffic for this time waits for the next request, or for an
/// answer that has stopped.
const ENGINE_IDLE_TIME: Duration = Duration::from_millis(100);
/// Time in which a written configuration must be in force at VMs without faults.
const RULES_IN_FORCE_AFTER: Duration = Duration::from_millis(2000);
/// Time in which a process must end after a stop signal; its settings allow it 6 s.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(9);

/// Time from the end of an endpoint until another one replaces it.
const REPLACED_AFTER: Duration = Duration::from_millis(1000);
/// Prompt segment that ends endpoints.
pub const FATAL_SEGMENT: &str = "bad0";
/// Software versions that serve side by side.
pub const SOFTWARE: [&str; 2] = ["v1.0", "v1.1"];

/// Version of the configuration that a run begins with.
pub const FIRST_RULES: u64 = 2;

/// Injects the faults of a plan.
pub struct FaultInjector<'a> {
    program: &'a str,
    fleet: &'a mut Fleet,
    ledger: &'a Ledger,
    /// Active faults: end time, step and index in the ledger.
    active: Vec<(Duration, Step, usize)>,
    version: u64,
    routes: Vec<String>,
    draining: Vec<usize>,
    /// Endpoints that have ended are replaced after a while.
    replaces_ended: bool,
    /// Written configuration versions that are still to be checked, with the time of writing.
    written: Vec<(u64, Duration)>,
}

impl<'a> FaultInjector<'a> {
    /// Creates the injector; no fault is active yet.
    pub fn new(program: &'a str, fleet: &'a mut Fleet, ledger: &'a Ledger) -> FaultInjector<'a> {
        FaultInjector {
            program,
            fleet,
            ledger,
            active: Vec::new(),
            version: FIRST_RULES,
            routes: Vec::new(),
            draining: Vec::new(),
            replaces_ended: false,
            written: Vec::new(),
        }
    }

    /// Injects the steps at their times, and waits until all are reverted.
    pub fn run(&mut self, steps: &[Step], length: Duration) {
        let started = clock::now();
        let mut next = steps.iter().peekable();
        loop {
            let now = clock::now();
            while let Some(step) = next.next_if(|step| started + step.at <= now) {
                self.begin(now, step);
            }
            self.check_rules(now);
            self.replace_ended(now);
            let ended = |(until, ..): &mut (Duration, Step, usize)| *until <= now;
            let ended: Vec<_> = self.active.extract_if(.., ended).collect();
            for (_, step, index) in ended {
                self.end(&step, index);
            }
            let over = now >= started + length && self.active.is_empty() && self.written.is_empty();
            if over && next.peek().is_none() {
                return;
            }
            clock::sleep(Duration::from_millis(5));
        }
    }

    /// Lets endpoints end at a prompt segment until they are restored. Answers may be cut all the while.
    pub fn begin_fatal_prompts(&mut self) {
        self.replaces_ended = true;
        for endpoint in &self.fleet.endpoints {
            endpoint.behave(|b| b.fatal_segments = vec![FATAL_SEGMENT.into()]);
        }
        lock(&self.ledger.faults).push(InjectedFault {
            fault: Fault::EngineEnds,
            target: 0,
            from: clock::now(),
            until: Duration::MAX,
        });
    }

    /// Waits without further faults, while endpoints that end are replaced.
    pub fn wait(&mut self, time: Duration) {
        let until = clock::now() + time;
        while clock::now() < until {
            self.replace_ended(clock::now());
            clock::sleep(Duration::from_millis(5));
        }
    }

    fn replace_ended(&mut self, now: Duration) {
        if !self.replaces_ended {
            return;
        }
        for index in 0..self.fleet.links.len() {
            let ended_at = self.fleet.endpoints[index].ended_at();
            if ended_at.is_some_and(|at| now >= at + REPLACED_AFTER) {
                self.replace(index);
            }
        }
    }

    /// Restores all endpoints and the store to normal behaviour.
    pub fn restore(&mut self) {
        for endpoint in &self.fleet.endpoints {
            endpoint.behave(|b| {
                *b = Behaviour {
                    event_interval: b.event_interval,
                    software: b.software.clone(),
                    ..Behaviour::default()
                }
            });
        }
        self.fleet.store.behave(|b| *b = Default::default());
        clock::sleep(Duration::from_millis(500));
    }

    fn begin(&mut self, now: Duration, step: &Step) {
        let busy = self.active.iter().any(|(_, other, _)| {
            other.fault.targets_vm() == step.fault.targets_vm() && other.target == step.target
        });
        // A VM has at most one fault at a time: a fault on a process that is down would have no
        // effect.
        if step.fault.targets_vm() && busy {
            return;
        }
        let mut faults = lock(&self.ledger.faults);
        let index = faults.len();
        faults.push(InjectedFault {
            fault: step.fault,
            target: step.target,
            from: now,
            until: Duration::MAX,
        });
        drop(faults);
        let lasts = match step.fault.ends_at_once() {
            true => Duration::ZERO,
            false => step.lasts,
        };
        self.active.push((now + lasts, *step, index));
        self.apply(step);
    }

    fn apply(&mut self, step: &Step) {
        let target = step.target;
        match step.fault {
            Fault::VmKilled => self.fleet.vms[target].kill(),
            Fault::VmPaused => self.fleet.vms[target].signal(Signal::STOP),
            Fault::VmStopped => self.fleet.vms[target].signal(Signal::TERM),
            Fault::VmReloaded => self.fleet.vms[target].signal(Signal::HUP),
            Fault::StoreAway => self.fleet.store.behave(|b| b.unavailable = true),
            Fault::StoreLosesAnswers => self
                .fleet
                .store
                .behave(|b| b.lost_commits_left = FAILED_CALLS),
            Fault::StoreRefuses => self
                .fleet
                .store
                .behave(|b| b.refused_commits_left = FAILED_CALLS),
            Fault::StoreDeaf => self.fleet.store.behave(|b| b.watches_silent = true),
            Fault::StoreForgets => self.fleet.store.compact(),
            Fault::StoreLinkCut => self.fleet.vms[target].store_link.cut(true),
            Fault::StoreLinkSilent => self.fleet.vms[target].store_link.set_mode(Mode::Silent),
            Fault::StoreLinkOneWay => self.fleet.vms[target].store_link.set_mode(Mode::SilentDown),
            Fault::StoreLinkSlow => self.fleet.vms[target]
                .store_link
                .set_mode(Mode::Delayed(LINK_DELAY)),
            Fault::EngineSilent => self.fleet.endpoints[target].behave(|b| b.silent = true),
            Fault::EngineBreaks => self.fleet.endpoints[target].behave(|b| {
                b.break_after = Some(2);
                b.breaks_left = WRONG_ANSWERS;
            }),
            Fault::EngineFull => {
                self.fleet.endpoints[target].behave(|b| b.refusals_left = WRONG_ANSWERS)
            }
            Fault::EngineFails => {
                self.fleet.endpoints[target].behave(|b| b.failures_left = WRONG_ANSWERS)
            }
            Fault::EngineCrosses => {
                self.fleet.endpoints[target].behave(|b| b.crossed_left = WRONG_ANSWERS)
            }
            Fault::EngineUnsigned => {
                self.fleet.endpoints[target].behave(|b| b.unsigned_left = WRONG_ANSWERS)
            }
            Fault::EngineSkips => {
                self.fleet.endpoints[target].behave(|b| b.gaps_left = WRONG_ANSWERS)
            }
            Fault::EngineLinkOneWay => self.fleet.links[target].set_mode(Mode::SilentUp),
            Fault::EngineLinkSlow => self.fleet.links[target].set_mode(Mode::Delayed(LINK_DELAY)),
            Fault::EngineLinkReset => self.fleet.links[target].reset(),
            Fault::EngineEnds | Fault::EngineCrashes => self.fleet.endpoints[target].end(),
            Fault::EnginePauses => self.fleet.endpoints[target].pause(step.lasts),
            Fault::EngineLeaves => self.drain(target),
            Fault::RulesChange => self.change_rules(),
            Fault::WatchesSilent => {
                for vm in &self.fleet.vms {
                    vm.store_link.silence_idle(WATCH_IDLE_TIME, Silence::Both);
                }
            }
            Fault::WatchSilentOneWay => {
                self.fleet.vms[target]
                    .store_link
                    .silence_idle(WATCH_IDLE_TIME, Silence::Down);
            }
            Fault::StoreLinkForgets => {
                self.fleet.vms[target].store_link.silence_open();
                self.fleet.vms[target].store_link.silence_next(1);
            }
            Fault::EngineIdleSilent => {
                self.fleet.links[target].silence_idle(ENGINE_IDLE_TIME, Silence::Both);
            }
        }
    }

    fn end(&mut self, step: &Step, index: usize) {
        let target = step.target;
        match step.fault {
            Fault::VmKilled => self.start(target),
            Fault::VmPaused => self.fleet.vms[target].signal(Signal::CONT),
            Fault::VmStopped => {
                let ended = self.fleet.vms[target].wait_exit(STOP_TIMEOUT);
                if ended != Some(true) {
                    let what = format!("VM {target} did not end well: {ended:?}");
                    self.ledger.record_violation(clock::now(), what);
                    self.fleet.vms[target].kill();
                }
                self.start(target);
            }
            Fault::StoreAway => self.fleet.store.behave(|b| b.unavailable = false),
            Fault::StoreDeaf => {
                // As a real store does after a compaction: changes that were not sent to the watch
                // are lost to it.
                self.fleet.store.compact();
                self.fleet.store.behave(|b| b.watches_silent = false);
            }
            Fault::StoreLinkCut => self.fleet.vms[target].store_link.cut(false),
            Fault::StoreLinkSilent | Fault::StoreLinkOneWay | Fault::StoreLinkSlow => {
                self.fleet.vms[target].store_link.set_mode(Mode::Open);
            }
            Fault::EngineSilent => self.fleet.endpoints[target].behave(|b| b.silent = false),
            Fault::EngineEnds | Fault::EngineCrashes => self.replace(target),
            Fault::EngineLinkOneWay | Fault::EngineLinkSlow => {
                self.fleet.links[target].set_mode(Mode::Open);
            }
            _ => {}
        }
        lock(&self.ledger.faults)[index].until = clock::now();
    }

    fn start(&mut self, vm: usize) {
        let started = self.fleet.vms[vm].restart(self.program);
        let ready = started.and_then(|()| self.fleet.vms[vm].wait_listening());
        if let Err(error) = ready {
            let what = format!("VM {vm} does not start: {error}");
            self.ledger.record_violation(clock::now(), what);
        }
    }

    /// Starts another engine in place of one that has ended; the runs of the ended one still count.
    fn replace(&mut self, index: usize) {
        let ended = self.fleet.endpoints[index].clone();
        if ended.ended_at().is_none() || self.draining.contains(&index) {
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
                return self.ledger.record_violation(clock::now(), what);
            }
        };
        next.behave(|b| {
            b.event_interval = ended.event_interval();
            b.fatal_segments = ended.fatal_segments();
            b.software = SOFTWARE[self.fleet.endpoints.len() % SOFTWARE.len()].into();
        });
        register_at(&self.fleet.store, &next, link.address, "ready");
        self.fleet.endpoints[index] = next;
        self.fleet.links[index] = link;
        self.fleet.endpoints.push(ended);
    }

    fn drain(&mut self, endpoint: usize) {
        let leaving = &self.fleet.endpoints[endpoint];
        if leaving.ended_at().is_some() {
            return;
        }
        let address = self.fleet.links[endpoint].address;
        register_at(&self.fleet.store, leaving, address, "draining");
        self.draining.push(endpoint);
    }

    /// Writes a configuration with all present routes and one more.
    fn change_rules(&mut self) {
        self.version += 3;
        self.routes.push(format!("/added-{}/", self.version));
        let changed = rules_with(self.version, &self.routes);
        self.fleet.put_config(&changed);
        self.written.push((self.version, clock::now()));
    }

    /// Checks that due configuration versions are in force at each VM without recent faults.
    fn check_rules(&mut self, now: Duration) {
        let due = |(_, at): &mut (u64, Duration)| *at + RULES_IN_FORCE_AFTER <= now;
        let due: Vec<(u64, Duration)> = self.written.extract_if(.., due).collect();
        for (version, at) in due {
            let from = at.saturating_sub(FAULT_EFFECT_TIME);
            for (vm, process) in self.fleet.vms.iter().enumerate() {
                let faulty = |injected: &InjectedFault| {
                    !injected.fault.is_tolerated() || injected.fault.stops_vm(vm, injected.target)
                };
                if self.ledger.had_fault(from, now, faulty) {
                    continue;
                }
                let rules = process.dump()["rules"].as_u64().unwrap_or(0);
                if rules < version {
                    let what = format!("{} has rules {rules} and not {version}", process.name);
                    self.ledger.record_violation(now, what);
                }
            }
        }
    }
}

/// A configuration with added routes. Requests that must not be repeated may have several attempts,
/// so that a second run would show.
pub fn rules_with(version: u64, added: &[String]) -> Value {
    let mut changed = config(version);
    set_attempts_max(&mut changed, "renew", 3);
    for prefix in added {
        let added = route(prefix, prefix, json!({ "resumable": true }));
        if let Some(routes) = changed["routes"].as_array_mut() {
            routes.push(added);
        }
    }
    changed
}
