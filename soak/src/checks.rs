//! Invariants that are checked on what callers and endpoints observed.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use bramleyseam::clock;
use bramleyseam::util::lock;
use bramleyseam_platform_standin::caller::{item_id, request_stream, results};
use bramleyseam_platform_standin::endpoint::{
    complete_text, event_data, unmarked_text, Endpoint, Run,
};
use bramleyseam_platform_standin::fleet::{entry_key, wait_until, Fleet};

use super::callers::{accepted_jobs, read_results, resend_job};
use super::faults::FATAL_SEGMENT;
use super::ledger::{InjectedFault, Job, Ledger, OnlineRequest};
use super::plan::Fault;

/// Events of every complete answer in this test.
pub const ANSWER_EVENTS: u64 = 5;
/// Time after the last fault in which the fleet must work again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(25);
/// Time after which no request may reach an endpoint that has reported that it is draining.
const DRAINED_AFTER: Duration = Duration::from_millis(2500);
/// Time after which no item of a cancelled job may run.
const CANCELLED_AFTER: Duration = Duration::from_millis(3500);
/// Time after the last fault in which all VMs know a segment that ends endpoints.
const FATAL_KNOWN_AFTER: Duration = Duration::from_secs(3);
const FATAL_RUNS_MAX: usize = 3;
/// Time for which a fault can still show after its end: leases, watches and ejections last that
/// long.
pub const FAULT_EFFECT_TIME: Duration = Duration::from_secs(4);

/// Longest time for which an open item may have no run while slots are free.
const IDLE_MAX: Duration = Duration::from_secs(5);
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Runs that an endpoint has room for, as its entry says.
const SLOTS_PER_ENDPOINT: usize = 4;

/// Runs all checks once the faults are over. Returns all violations, those found during the run
/// first.
pub fn check_all(fleet: &Fleet, ledger: &Ledger) -> Vec<String> {
    check_recovered(fleet, ledger);
    check_jobs(fleet, ledger);
    let runs = runs_by_id(fleet);
    for request in lock(&ledger.unanswered).iter() {
        let caused = match request.is_cut {
            true => has_cause(ledger, request.vm, request.sent_at, request.ended_at),
            false => was_killed(ledger, request.vm, request.sent_at, request.ended_at),
        };
        if !caused {
            let what = format!("VM {} did not answer: {}", request.vm, request.what);
            ledger.record_violation(request.ended_at, what);
        }
    }
    for request in lock(&ledger.requests).iter() {
        check_answer(ledger, request);
        check_run_counts(ledger, request, &runs);
    }
    for (id, job) in lock(&ledger.jobs).iter() {
        check_job_runs(ledger, id, job, &runs);
    }
    check_versions(ledger);
    check_drained(fleet, ledger);
    ledger.all_violations()
}

/// From a few seconds after `calm_from`, when the last fault ended, a segment that ends endpoints hardly
/// reaches any, although its callers go on.
pub fn check_fatal_runs(fleet: &Fleet, ledger: &Ledger, calm_from: Duration) {
    let runs = fleet.endpoints.iter().flat_map(|endpoint| endpoint.runs());
    let is_fatal = |run: &Run| run.prompt.iter().any(|segment| segment == FATAL_SEGMENT);
    let late = |run: &Run| is_fatal(run) && run.started_at > calm_from + FATAL_KNOWN_AFTER;
    let count = runs.filter(late).count();
    if count > FATAL_RUNS_MAX {
        let what = format!("{count} runs with a segment that ends endpoints");
        ledger.record_violation(clock::now(), what);
    }
}

/// From the end of all faults on, no open item of an accepted job goes without a run for `IDLE_MAX`
/// while slots are free. Returns once no item is open, or each that is has been reported.
pub fn check_waits(fleet: &Fleet, ledger: &Ledger, calm_from: Duration) {
    let mut busy_until: HashMap<String, Duration> = HashMap::new();
    let mut reported = HashSet::new();
    let until = calm_from + RECOVERY_TIMEOUT;
    for (poll, vm) in (0..fleet.vms.len()).cycle().enumerate() {
        let (running, ended_at) = runs_of_items(fleet);
        let now = clock::now();
        let has_room = running.len() < SLOTS_PER_ENDPOINT * ready_endpoints(fleet);
        let open = open_items(ledger);
        if now >= until || open.iter().all(|(_, item)| reported.contains(item)) {
            return;
        }
        for (job, item) in open {
            let from = busy_until.entry(item.clone()).or_insert(now);
            let ended_at = ended_at.get(&item).copied().unwrap_or_default();
            *from = match has_room && !running.contains(&item) {
                true => ended_at.max(*from),
                false => now,
            };
            let idle = now.saturating_sub(*from);
            if idle < IDLE_MAX || reported.contains(&item) {
                continue;
            }
            read_new_results(ledger, &job, vm);
            if !lock(&ledger.jobs)[&job].is_listed(&item) {
                let what = format!("item {item} has no run for {idle:?} beside free slots");
                ledger.record_violation(now, what);
                reported.insert(item);
            }
        }
        let open = open_items(ledger);
        if let Some((job, _)) = open.get(poll % open.len().max(1)) {
            read_new_results(ledger, job, vm);
        }
        clock::sleep(IDLE_POLL_INTERVAL);
    }
}

fn read_new_results(ledger: &Ledger, job: &str, vm: usize) {
    let read = lock(&ledger.jobs)[job].results.len();
    read_results(ledger, job, vm, read, 0);
}

/// Unlisted items of accepted jobs, with their jobs.
fn open_items(ledger: &Ledger) -> Vec<(String, String)> {
    let jobs = lock(&ledger.jobs);
    let mut found = Vec::new();
    for (id, job) in jobs.iter().filter(|(_, job)| job.is_open()) {
        let items = (0..job.items).map(|at| item_id(id, at));
        let open = items.filter(|item| !job.is_listed(item));
        found.extend(open.map(|item| (id.clone(), item)));
    }
    found
}

/// Ids of the runs under way at living endpoints, one for each run, and when each id's last run ended.
fn runs_of_items(fleet: &Fleet) -> (Vec<String>, HashMap<String, Duration>) {
    let (mut running, mut last_ends) = (Vec::new(), HashMap::new());
    for endpoint in &fleet.endpoints {
        for run in endpoint.runs() {
            match run.ended_at {
                Some(at) => {
                    let last = last_ends.entry(run.id).or_insert(at);
                    *last = at.max(*last);
                }
                None if endpoint.ended_at().is_none() => running.push(run.id),
                None => {}
            }
        }
    }
    (running, last_ends)
}

fn ready_endpoints(fleet: &Fleet) -> usize {
    let is_ready = |endpoint: &&Endpoint| {
        let entry = fleet.store.get(&entry_key(endpoint)).unwrap_or_default();
        endpoint.ended_at().is_none() && entry["state"] == "ready"
    };
    fleet.endpoints.iter().filter(is_ready).count()
}

fn runs_by_id(fleet: &Fleet) -> HashMap<String, Vec<Run>> {
    let mut found: HashMap<String, Vec<Run>> = HashMap::new();
    for run in fleet.endpoints.iter().flat_map(|endpoint| endpoint.runs()) {
        found.entry(run.id.clone()).or_default().push(run);
    }
    found
}

/// Every VM serves requests, by the newest configuration.
fn check_recovered(fleet: &Fleet, ledger: &Ledger) {
    let newest = fleet.newest_config();
    let routes = newest["routes"].as_array().cloned().unwrap_or_default();
    let prefixes = routes.iter().filter_map(|route| route["prefix"].as_str());
    let added: Vec<&str> = prefixes.filter(|p| p.starts_with("/added")).collect();
    for vm in 0..fleet.vms.len() {
        let serves = |path: &str| {
            let id = format!("end-{vm}{path}{:?}", clock::now());
            let seen = request_stream(ledger.vms[vm], path, &id.replace('/', "_"));
            seen.is_some_and(|seen| seen.status == 200 && seen.complete)
        };
        if !wait_until(RECOVERY_TIMEOUT, || serves("/query/one")) {
            ledger.record_violation(clock::now(), format!("VM {vm} does not serve again"));
        }
        for prefix in &added {
            if !wait_until(RECOVERY_TIMEOUT, || serves(&format!("{prefix}one"))) {
                ledger.record_violation(clock::now(), format!("VM {vm} does not know {prefix}"));
            }
        }
    }
}

/// Every accepted job ends, and its results can be read at every VM.
fn check_jobs(fleet: &Fleet, ledger: &Ledger) {
    let results = |job: &str| lock(&ledger.jobs)[job].results.len();
    let open = |job: &str| {
        let jobs = lock(&ledger.jobs);
        jobs[job].cancelled_at.is_none() && jobs[job].results.len() < jobs[job].items
    };
    wait_until(Duration::from_millis(1100), || false);
    for job in accepted_jobs(ledger) {
        let done = wait_until(RECOVERY_TIMEOUT, || {
            read_results(ledger, &job, 0, results(&job), 0);
            !open(&job)
        });
        if !done {
            let listed = results(&job);
            ledger.record_violation(clock::now(), format!("job {job} stays at {listed} results"));
        }
        for vm in 0..fleet.vms.len() {
            if !wait_until(RECOVERY_TIMEOUT, || read_results(ledger, &job, vm, 0, 0)) {
                ledger.record_violation(clock::now(), format!("VM {vm} can't tell of job {job}"));
            }
            if !wait_until(RECOVERY_TIMEOUT, || is_listed_whole(ledger, &job, vm)) {
                ledger.record_violation(
                    clock::now(),
                    format!("VM {vm} does not list job {job} whole"),
                );
            }
            if !wait_until(RECOVERY_TIMEOUT, || resend_job(ledger, &job, vm)) {
                let what = format!("VM {vm} does not accept job {job} again");
                ledger.record_violation(clock::now(), what);
            }
        }
    }
}

/// Whether a VM lists the last item of a job. Positions before it have been compared with earlier reads.
fn is_listed_whole(ledger: &Ledger, job: &str, vm: usize) -> bool {
    let items = lock(&ledger.jobs)[job].items;
    let is_cancelled = lock(&ledger.jobs)[job].cancel_sent;
    is_cancelled
        || results(ledger.vms[vm], job, items - 1, 0).is_some_and(|answer| {
            let page = answer.json();
            answer.status == 200
                && page["results"]
                    .as_array()
                    .is_some_and(|rows| rows.len() == 1)
        })
}

/// An answer that looks complete is complete and belongs to its request. A cut answer has a fault
/// as its cause.
fn check_answer(ledger: &Ledger, request: &OnlineRequest) {
    let caused = || has_cause(ledger, request.vm, request.sent_at, request.ended_at);
    let Some(seen) = &request.answer else {
        let killed = || was_killed(ledger, request.vm, request.sent_at, request.ended_at);
        if request.is_unanswered && !killed() {
            let what = format!("VM {} did not answer: {}", request.vm, request.id);
            ledger.record_violation(request.ended_at, what);
        }
        return;
    };
    let violation = |what: &str| {
        let shown = String::from_utf8_lossy(&seen.body).replace('\n', " ");
        let (id, status) = (&request.id, seen.status);
        ledger.record_violation(request.ended_at, format!("{what}: {id} {status} {shown}"));
    };
    if seen.status != 200 {
        // 500 comes from the endpoint itself; 502 does not promise that the request was not run.
        if !matches!(seen.status, 429 | 500 | 502 | 503 | 504) {
            violation("a proper request was denied");
        }
        // All callers send the same kind of request, and engines fail for other reasons, so no
        // request may be quarantined.
        if seen.json()["error"] == "quarantined" {
            violation("an innocent request was held back");
        }
        return;
    }
    if !seen.signed {
        violation("a success that no endpoint signed");
    }
    let text = String::from_utf8_lossy(&seen.body);
    let expected: Vec<u64> = (1..=seen.events().len() as u64).collect();
    if seen.events() != expected {
        violation("events are missing or stand twice");
    }
    let is_own = |number: &u64| text.contains(&event_data(&request.id, *number));
    if !expected.iter().all(is_own) {
        violation("another's answer");
    }
    match seen.complete {
        true if expected.len() as u64 != ANSWER_EVENTS => {
            violation("an answer that only looks whole")
        }
        false if !caused() => violation("an answer was cut"),
        _ => {}
    }
}

/// Whether a fault that may cut or lose an answer of this VM was active.
fn has_cause(ledger: &Ledger, vm: usize, sent_at: Duration, ended_at: Duration) -> bool {
    let from = sent_at.saturating_sub(FAULT_EFFECT_TIME);
    ledger.had_fault(from, ended_at, |injected| {
        !injected.fault.is_tolerated() && (!injected.fault.targets_vm() || injected.target == vm)
    })
}

/// Whether this VM was killed. It answers every request that it accepts beside all other faults,
/// which leave it able to refuse.
fn was_killed(ledger: &Ledger, vm: usize, sent_at: Duration, ended_at: Duration) -> bool {
    let from = sent_at.saturating_sub(FAULT_EFFECT_TIME);
    ledger.had_fault(from, ended_at, |injected| {
        injected.fault == Fault::VmKilled && injected.target == vm
    })
}

/// A request that must not run twice ran at most once, and not at all when its answer said so.
fn check_run_counts(ledger: &Ledger, request: &OnlineRequest, runs: &HashMap<String, Vec<Run>>) {
    let count = runs.get(&request.id).map_or(0, Vec::len);
    if !request.repeatable && count > 1 {
        let what = format!("{} ran {count} times", request.id);
        ledger.record_violation(request.ended_at, what);
    }
    let status = request.answer.as_ref().map(|seen| seen.status);
    if !request.repeatable && matches!(status, Some(429 | 503)) && count > 0 {
        let what = format!("{} was said not to have run, and has", request.id);
        ledger.record_violation(request.ended_at, what);
    }
}

/// Results of a job: each item is listed once with its complete text; nothing of a refused job
/// runs, and nothing of a cancelled job after the time limit.
fn check_job_runs(ledger: &Ledger, id: &str, job: &Job, runs: &HashMap<String, Vec<Run>>) {
    let now = clock::now();
    let mut listed = HashSet::new();
    for result in &job.results {
        if !listed.insert(&result.item) {
            ledger.record_violation(now, format!("item {} is listed twice", result.item));
        }
        let expected = complete_text(&result.item, ANSWER_EVENTS);
        let whole = unmarked_text(&result.text).as_ref() == Some(&expected);
        if result.state == "completed" && !whole {
            let text = result.text.replace('\n', " ");
            ledger.record_violation(now, format!("item {} has the text {text}", result.item));
        }
        // An item fails for good after three failures, which engines produce here only
        // during this fault.
        let failing = |injected: &InjectedFault| injected.fault == Fault::EngineFails;
        if result.state != "completed" && !ledger.had_fault(Duration::ZERO, now, failing) {
            ledger.record_violation(now, format!("item {} was given up", result.item));
        }
    }
    for at in 0..job.items {
        let item = item_id(id, at);
        let runs = runs.get(&item).map_or(&[][..], Vec::as_slice);
        if job.refused && !runs.is_empty() {
            ledger.record_violation(now, format!("item {item} of a refused job ran"));
        }
        let Some(ended_at) = job.cancelled_at else {
            continue;
        };
        let late = |run: &&Run| run.started_at > ended_at + CANCELLED_AFTER;
        let unplanned = |injected: &InjectedFault| !injected.fault.is_tolerated();
        let no_fault =
            !ledger.had_fault(ended_at.saturating_sub(FAULT_EFFECT_TIME), now, unplanned);
        if no_fault && runs.iter().any(|run| late(&run)) {
            ledger.record_violation(now, format!("item {item} ran after its job was ended"));
        }
    }
}

/// No stream, over all attempts of its caller, joins output of two software versions.
fn check_versions(ledger: &Ledger) {
    let requests = lock(&ledger.requests);
    let whole = requests.iter().filter_map(|request| {
        let answer = request.answer.as_ref().filter(|seen| seen.status == 200)?;
        Some((request.id.clone(), answer.data()))
    });
    let resumed = lock(&ledger.streams).clone();
    for (id, data) in whole.chain(resumed) {
        if unmarked_text(data.trim()).is_none() {
            let text = data.replace('\n', " ");
            let what = format!("{id} joins two software versions: {text}");
            ledger.record_violation(clock::now(), what);
        }
    }
}

/// No request reaches a draining endpoint after the time limit, unless a fault kept VMs from seeing
/// that it drains.
fn check_drained(fleet: &Fleet, ledger: &Ledger) {
    let faults = lock(&ledger.faults).clone();
    for drain in faults
        .iter()
        .filter(|injected| injected.fault == Fault::EngineLeaves)
    {
        let from = drain.from.saturating_sub(FAULT_EFFECT_TIME);
        let until = drain.from + DRAINED_AFTER;
        let unplanned = |injected: &InjectedFault| !injected.fault.is_tolerated();
        if ledger.had_fault(from, until, unplanned) {
            continue;
        }
        let endpoint = &fleet.endpoints[drain.target];
        let late = endpoint
            .runs()
            .into_iter()
            .find(|run| run.started_at > until);
        if let Some(run) = late {
            let what = format!("{} reached {} after it had left", run.id, endpoint.id);
            ledger.record_violation(run.started_at, what);
        }
    }
}
