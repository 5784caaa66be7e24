//! Invariants that are checked on what callers and endpoints observed.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use bramleyseam::clock;
use bramleyseam::util::lock;
use bramleyseam_platform_standin::caller::{ask, item_id};
use bramleyseam_platform_standin::endpoint::{event_data, whole_text, Run};
use bramleyseam_platform_standin::fleet::{wait, Fleet};

use super::callers::{accepted_jobs, read};
use super::ledger::{Asked, Done, Job, Ledger};
use super::plan::Fault;

/// Events of every complete answer in this test.
const EVENTS: u64 = 5;
/// Time after the last fault in which the fleet must work again.
const RECOVERY: Duration = Duration::from_secs(25);
/// Time after which no request may reach an endpoint that has reported that it is draining.
const DRAINED: Duration = Duration::from_millis(2500);
/// Time after which no item of a cancelled job may run.
const CANCELLED: Duration = Duration::from_millis(3500);
/// Time for which a fault can still show after its end: leases, watches and ejections last that
/// long.
pub const AFTERMATH: Duration = Duration::from_secs(4);

/// Runs all checks once the faults are over. Returns all violations, those found during the run
/// first.
pub fn at_the_end(fleet: &Fleet, ledger: &Ledger) -> Vec<String> {
    recovered(fleet, ledger);
    jobs_done(fleet, ledger);
    let runs = runs_by_id(fleet);
    for asked in lock(&ledger.asked).iter() {
        answer(ledger, asked);
        run_counts(ledger, asked, &runs);
    }
    for (id, job) in lock(&ledger.jobs).iter() {
        job_runs(ledger, id, job, &runs);
    }
    drained(fleet, ledger);
    ledger.all_broken()
}

fn runs_by_id(fleet: &Fleet) -> HashMap<String, Vec<Run>> {
    let mut found: HashMap<String, Vec<Run>> = HashMap::new();
    for run in fleet.endpoints.iter().flat_map(|endpoint| endpoint.runs()) {
        found.entry(run.id.clone()).or_default().push(run);
    }
    found
}

/// Every VM serves requests, by the newest configuration.
fn recovered(fleet: &Fleet, ledger: &Ledger) {
    let newest = fleet.newest_rules();
    let routes = newest["routes"].as_array().cloned().unwrap_or_default();
    let prefixes = routes.iter().filter_map(|route| route["prefix"].as_str());
    let added: Vec<&str> = prefixes.filter(|p| p.starts_with("/added")).collect();
    for vm in 0..fleet.vms.len() {
        let serves = |path: &str| {
            let id = format!("end-{vm}{path}{:?}", clock::now());
            let seen = ask(ledger.vms[vm], path, &id.replace('/', "_"));
            seen.is_some_and(|seen| seen.status == 200 && seen.whole)
        };
        if !wait(RECOVERY, || serves("/query/one")) {
            ledger.broken(clock::now(), format!("VM {vm} does not serve again"));
        }
        for prefix in &added {
            if !wait(RECOVERY, || serves(&format!("{prefix}one"))) {
                ledger.broken(clock::now(), format!("VM {vm} does not know {prefix}"));
            }
        }
    }
}

/// Every accepted job ends, and its results can be read at every VM.
fn jobs_done(fleet: &Fleet, ledger: &Ledger) {
    let results = |job: &str| lock(&ledger.jobs)[job].results.len();
    let open = |job: &str| {
        let jobs = lock(&ledger.jobs);
        jobs[job].ended_at.is_none() && jobs[job].results.len() < jobs[job].items
    };
    wait(Duration::from_millis(1100), || false);
    for job in accepted_jobs(ledger) {
        let done = wait(RECOVERY, || {
            read(ledger, &job, 0, results(&job));
            !open(&job)
        });
        if !done {
            let listed = results(&job);
            ledger.broken(clock::now(), format!("job {job} stays at {listed} results"));
        }
        for vm in 0..fleet.vms.len() {
            if !wait(RECOVERY, || read(ledger, &job, vm, 0)) {
                ledger.broken(clock::now(), format!("VM {vm} can't tell of job {job}"));
            }
        }
    }
}

/// An answer that looks complete is complete and belongs to its request. A cut answer has a fault
/// as its cause.
fn answer(ledger: &Ledger, asked: &Asked) {
    let Some(seen) = &asked.seen else {
        return;
    };
    let broken = |what: &str| {
        let shown = String::from_utf8_lossy(&seen.body).replace('\n', " ");
        let (id, status) = (&asked.id, seen.status);
        ledger.broken(asked.ended_at, format!("{what}: {id} {status} {shown}"));
    };
    if seen.status != 200 {
        // 500 comes from the endpoint itself; 502 does not promise that the request was not run.
        if !matches!(seen.status, 429 | 500 | 502 | 503 | 504) {
            broken("a proper request was denied");
        }
        // All callers send the same kind of request, and engines fail for other reasons, so no
        // request may be quarantined.
        if seen.json()["error"] == "quarantined" {
            broken("an innocent request was held back");
        }
        return;
    }
    if !seen.signed {
        broken("a success that no endpoint signed");
    }
    let text = String::from_utf8_lossy(&seen.body);
    let expected: Vec<u64> = (1..=seen.events().len() as u64).collect();
    if seen.events() != expected {
        broken("events are missing or stand twice");
    }
    let own = |number: &u64| text.contains(&event_data(&asked.id, *number));
    if !expected.iter().all(own) {
        broken("another's answer");
    }
    match seen.whole {
        true if expected.len() as u64 != EVENTS => broken("an answer that only looks whole"),
        false if !excused(ledger, asked) => broken("an answer was cut"),
        _ => {}
    }
}

/// Whether a fault that may cut an answer was active; planned work may not cut any.
fn excused(ledger: &Ledger, asked: &Asked) -> bool {
    let from = asked.sent_at.saturating_sub(AFTERMATH);
    ledger.disturbed(from, asked.ended_at, |done| {
        !done.fault.planned() && (!done.fault.on_vm() || done.target == asked.vm)
    })
}

/// A request that must not run twice ran at most once, and not at all when its answer said so.
fn run_counts(ledger: &Ledger, asked: &Asked, runs: &HashMap<String, Vec<Run>>) {
    let count = runs.get(&asked.id).map_or(0, Vec::len);
    if !asked.repeatable && count > 1 {
        let what = format!("{} ran {count} times", asked.id);
        ledger.broken(asked.ended_at, what);
    }
    let status = asked.seen.as_ref().map(|seen| seen.status);
    if !asked.repeatable && matches!(status, Some(429 | 503)) && count > 0 {
        let what = format!("{} was said not to have run, and has", asked.id);
        ledger.broken(asked.ended_at, what);
    }
}

/// Results of a job: each item is listed once with its complete text; nothing of a refused job
/// runs, and nothing of a cancelled job after the time limit.
fn job_runs(ledger: &Ledger, id: &str, job: &Job, runs: &HashMap<String, Vec<Run>>) {
    let now = clock::now();
    let mut listed = HashSet::new();
    for result in &job.results {
        if !listed.insert(&result.item) {
            ledger.broken(now, format!("item {} is listed twice", result.item));
        }
        let whole = result.text == whole_text(&result.item, EVENTS);
        if result.state == "completed" && !whole {
            let text = result.text.replace('\n', " ");
            ledger.broken(now, format!("item {} has the text {text}", result.item));
        }
        // An item fails for good after three failures, which engines produce here only
        // during this fault.
        let failing = |done: &Done| done.fault == Fault::EngineFails;
        if result.state != "completed" && !ledger.disturbed(Duration::ZERO, now, failing) {
            ledger.broken(now, format!("item {} was given up", result.item));
        }
    }
    for at in 0..job.items {
        let item = item_id(id, at);
        let runs = runs.get(&item).map_or(&[][..], Vec::as_slice);
        if job.refused && !runs.is_empty() {
            ledger.broken(now, format!("item {item} of a refused job ran"));
        }
        let Some(ended_at) = job.ended_at else {
            continue;
        };
        let late = |run: &&Run| run.at > ended_at + CANCELLED;
        let unplanned = |done: &Done| !done.fault.planned();
        let calm = !ledger.disturbed(ended_at.saturating_sub(AFTERMATH), now, unplanned);
        if calm && runs.iter().any(|run| late(&run)) {
            ledger.broken(now, format!("item {item} ran after its job was ended"));
        }
    }
}

/// No request reaches a draining endpoint after the time limit, unless a fault kept VMs from seeing
/// that it drains.
fn drained(fleet: &Fleet, ledger: &Ledger) {
    let done = lock(&ledger.done).clone();
    for left in done.iter().filter(|done| done.fault == Fault::EngineLeaves) {
        let from = left.from.saturating_sub(AFTERMATH);
        let until = left.from + DRAINED;
        let unplanned = |done: &Done| !done.fault.planned();
        if ledger.disturbed(from, until, unplanned) {
            continue;
        }
        let endpoint = &fleet.endpoints[left.target];
        let late = endpoint.runs().into_iter().find(|run| run.at > until);
        if let Some(run) = late {
            let what = format!("{} reached {} after it had left", run.id, endpoint.id);
            ledger.broken(run.at, what);
        }
    }
}
