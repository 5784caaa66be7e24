//! Many jobs come at once for one service, and an item of another service is never sent.
//!
//! The runners of the second service stand idle. An accepted item that is open when `completionS` is
//! over must have been listed, or a runner must have had it.

use std::io;
use std::time::Duration;

use base64::prelude::{Engine, BASE64_STANDARD};
use bramleyseam::clock;
use bramleyseam_platform_standin::caller;
use bramleyseam_platform_standin::endpoint::{Endpoint, Run};
use bramleyseam_platform_standin::fleet::{config, entry, entry_key, route, Fleet};
use serde_json::{json, Value};

use crate::deployment;
use crate::record::Record;
use crate::Verdict;

/// Two VMs in each of three failure domains: `vm-0` and `vm-3` share the first one.
const VMS: usize = 6;
const DOMAINS: usize = 3;
/// The service that the burst is for has one endpoint, the other one has one in each failure domain.
const BURST_SERVICE: &str = "desk";
const IDLE_SERVICE: &str = "desk-next";
const IDLE_ENDPOINTS: usize = DOMAINS;
const SLOTS: usize = 4;
const EVENTS: u64 = 100;
const EVENT_INTERVAL: Duration = Duration::from_millis(50);
/// The nodes that the two clients of this failure domain are sent to.
const BURST_VM: usize = 0;
const IDLE_VM: usize = 3;
const BURST_ITEMS: usize = 10;
const IDLE_ITEMS: usize = 2;
/// Jobs of the first service in the time of the burst, without it and with it: 0.515 a second are usual,
/// and a burst brings six times as many for 3 s.
const USUAL_JOBS: usize = 1;
const BURST_JOBS: usize = 9;
const BURST_TIME: Duration = Duration::from_secs(3);
/// `completionS` of the site.
const COMPLETION_TIME: Duration = Duration::from_secs(18);
/// The windows of the rule before `completionS` is over.
const CALM_WINDOW: Duration = Duration::from_secs(5);
const FINISH_WINDOW: Duration = Duration::from_secs(3);
/// Finished items excuse only if they are at least one in so many of those that wait.
const EXCUSE_DIVISOR: usize = 10;

/// A job as its client knows it.
struct Job {
    id: String,
    items: usize,
}

pub fn play(program: &str, with_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let settings = deployment::settings();
    let fleet = Fleet::start_with(program, VMS, 1 + IDLE_ENDPOINTS, &settings)?;
    for (at, endpoint) in fleet.endpoints.iter().enumerate() {
        endpoint.behave(|behaviour| {
            behaviour.events = EVENTS;
            behaviour.event_interval = EVENT_INTERVAL;
        });
        let mut entry = entry(endpoint.address, "ready");
        entry["service"] = json!(if at == 0 { BURST_SERVICE } else { IDLE_SERVICE });
        entry["zone"] = json!(format!("domain-{}", at.saturating_sub(1)));
        entry["slots"] = json!(SLOTS);
        fleet.store.put(&entry_key(endpoint), &entry);
    }
    fleet.put_config(&two_batch_routes(2));
    if !fleet.wait_config(2) || !fleet.wait_heartbeats() {
        return Err(io::Error::other("the fleet is not ready"));
    }
    clock::sleep(Duration::from_secs(4));

    let jobs = match with_trouble {
        true => BURST_JOBS,
        false => USUAL_JOBS,
    };
    let began_at = clock::now();
    let mut submitted = Vec::new();
    for number in 0..jobs {
        let id = format!("{:016x}", 0x7c41_e09b_52d6_0000_u64 + number as u64);
        submitted.push(submit(
            &fleet,
            BURST_VM,
            "/batch/",
            id,
            BURST_ITEMS,
            record,
        )?);
        clock::sleep(BURST_TIME / BURST_JOBS as u32);
    }
    sleep_until(began_at + BURST_TIME);
    let id = "51b0c2d3e4f50617".to_owned();
    let idle_job = submit(&fleet, IDLE_VM, "/quick/", id, IDLE_ITEMS, record)?;
    let over_at = clock::now() + COMPLETION_TIME;
    sleep_until(over_at);

    let idle_listed = listed(&fleet, &idle_job)?;
    let idle_open = idle_job.items - idle_listed;
    let mut waiting = idle_open;
    for job in &submitted {
        waiting += job.items - listed(&fleet, job)?;
    }
    let idle_runs = runs(&fleet.endpoints[1..]);
    let all_runs = runs(&fleet.endpoints);
    for run in &all_runs {
        record.line_at(run.started_at, &format!("item {} runs", run.id));
    }
    let is_active = |run: &&Run| run.ended_at.is_none_or(|at| at + CALM_WINDOW > over_at);
    let active = idle_runs.iter().filter(is_active).count();
    let finished_within = |window: Duration| {
        let is_recent = |run: &&Run| {
            let ended_at = run.ended_at.filter(|_| run.complete);
            ended_at.is_some_and(|at| at + window > over_at && at <= over_at)
        };
        all_runs.iter().filter(is_recent).count()
    };
    let (finished_last, finished) = (finished_within(FINISH_WINDOW), finished_within(CALM_WINDOW));
    let is_excused = finished_last > 0 && finished * EXCUSE_DIVISOR >= waiting;
    record.line(&format!(
        "completionS is over: {idle_open} of {IDLE_ITEMS} items of the job for {IDLE_SERVICE} are not \
         listed, {} runs of them in all, {active} in the last 5 s at its {IDLE_ENDPOINTS} runners of \
         {SLOTS} slots; {waiting} items of all jobs wait, {finished} were finished in the last 5 s",
        idle_runs.len()
    ));
    Ok(match idle_open > 0 && active == 0 && !is_excused {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn submit(
    fleet: &Fleet,
    vm: usize,
    prefix: &str,
    id: String,
    items: usize,
    record: &Record,
) -> io::Result<Job> {
    let item = |at: usize| {
        json!({
            "id": caller::item_id(&id, at),
            "path": format!("{prefix}run"),
            "headers": { "X-Model": "m" },
            "body": BASE64_STANDARD.encode(caller::item_text(at)),
            "tokens": 500,
        })
    };
    let body = json!({ "items": (0..items).map(item).collect::<Vec<Value>>() }).to_string();
    let headers = [
        ("X-Attempt-Id", id.as_str()),
        ("Content-Type", "application/json"),
    ];
    let path = format!("{prefix}jobs");
    let response = caller::send(
        fleet.vms[vm].callers,
        "POST",
        &path,
        &headers,
        body.as_bytes(),
    );
    let status = response.map_or(0, |response| response.status);
    record.line(&format!(
        "job {id} of {items} items on {prefix} submitted to vm-{vm}: {status}"
    ));
    match status {
        202 => Ok(Job { id, items }),
        _ => Err(io::Error::other("a job was not accepted")),
    }
}

/// Number of listed results of a job.
fn listed(fleet: &Fleet, job: &Job) -> io::Result<usize> {
    let response = caller::results(fleet.vms[1].callers, &job.id, 0, 0);
    let response = response.filter(|response| response.status == 200);
    let response = response.ok_or_else(|| io::Error::other("a job can't be read"))?;
    Ok(response.json()["results"].as_array().map_or(0, Vec::len))
}

fn runs(endpoints: &[Endpoint]) -> Vec<Run> {
    let mut runs: Vec<Run> = endpoints.iter().flat_map(Endpoint::runs).collect();
    runs.sort_by_key(|run| run.started_at);
    runs
}

/// A configuration with a batch route for each of the services.
fn two_batch_routes(version: u64) -> Value {
    let mut config = config(version);
    let routes = config["routes"].as_array().cloned().unwrap_or_default();
    let batch = routes
        .iter()
        .find(|route| route["routeKind"] == "batch")
        .cloned();
    let mut quick = batch.unwrap_or_else(|| route("quick", "/quick/", json!({})));
    quick["name"] = json!("quick");
    quick["prefix"] = json!("/quick/");
    quick["service"] = json!(IDLE_SERVICE);
    config["routes"] = routes.into_iter().chain([quick]).collect();
    config["services"] = [BURST_SERVICE, IDLE_SERVICE]
        .iter()
        .map(|name| json!({ "name": name, "healthPath": "/health", "maxConns": 100 }))
        .collect();
    config
}

fn sleep_until(at: Duration) {
    clock::sleep(at.saturating_sub(clock::now()));
}
