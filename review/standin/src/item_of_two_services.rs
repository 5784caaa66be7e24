//! The configuration moves the route of a batch job to another service while its items run.
//!
//! The text of a completed item must be the whole output of a service. Items that make way for online
//! requests after the change go on at the other service, after the events that the first one made.

use std::io;
use std::thread;
use std::time::Duration;

use bramleyseam::clock;
use bramleyseam_platform_standin::caller;
use bramleyseam_platform_standin::endpoint::{event_data, Endpoint};
use bramleyseam_platform_standin::fleet::{config, entry, entry_key, Fleet};
use serde_json::{json, Value};

use crate::deployment;
use crate::record::Record;
use crate::Verdict;

const VMS: usize = 3;
/// Endpoints of each of the two services, with four slots each.
const ENDPOINTS: usize = 2;
const SLOTS: usize = 4;
/// Service of all routes at first, and the one that the batch route is moved to.
const SERVICES: [&str; 2] = ["desk", "desk-next"];
/// Version of the software of all endpoints. Each service counts its own.
const VERSION: &str = "v1";
/// Events of a whole output at each of the services, which answer at different length.
const EVENTS: [u64; 2] = [40, 32];
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// As many items as one service has slots.
const ITEMS: usize = ENDPOINTS * SLOTS;
/// From the acceptance of the job to the change of the configuration.
const CHANGE_AFTER: Duration = Duration::from_millis(400);
/// From the acceptance of the job to the online requests, which come later than `configApplyMs` (2 s)
/// after the change.
const REQUESTS_AFTER: Duration = Duration::from_millis(2600);
const RESULTS_WITHIN: Duration = Duration::from_secs(30);

pub fn play(program: &str, with_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let settings = deployment::settings();
    let fleet = Fleet::start_with(program, VMS, ENDPOINTS * SERVICES.len(), &settings)?;
    for (at, endpoint) in fleet.endpoints.iter().enumerate() {
        let service = SERVICES[at / ENDPOINTS];
        endpoint.behave(|behaviour| {
            behaviour.events = EVENTS[at / ENDPOINTS];
            behaviour.event_interval = EVENT_INTERVAL;
            // Marks each event with the service that made it.
            behaviour.software = service.to_owned();
        });
        let mut entry = entry(endpoint.address, "ready");
        entry["service"] = json!(service);
        entry["version"] = json!(VERSION);
        fleet.store.put(&entry_key(endpoint), &entry);
    }
    fleet.put_config(&config_with_batch_at(2, SERVICES[0]));
    if !fleet.wait_config(2) || !fleet.wait_heartbeats() {
        return Err(io::Error::other("the fleet is not ready"));
    }
    clock::sleep(Duration::from_secs(4));

    let job = "7c41e09b52d6a3f8";
    let submitted = caller::submit(fleet.vms[0].callers, job, ITEMS);
    let accepted_at = clock::now();
    let status = submitted.map_or(0, |response| response.status);
    record.line(&format!(
        "job {job} of {ITEMS} items submitted to vm-0: {status}"
    ));
    if status != 202 {
        return Err(io::Error::other("the job was not accepted"));
    }
    sleep_until(accepted_at + CHANGE_AFTER);
    if with_trouble {
        fleet.put_config(&config_with_batch_at(3, SERVICES[1]));
        record.line(&format!(
            "version 3 moves the batch route to {}",
            SERVICES[1]
        ));
    }
    sleep_until(accepted_at + REQUESTS_AFTER);
    let callers: Vec<_> = (0..ITEMS)
        .map(|at| {
            let to = fleet.vms[at % VMS].callers;
            let id = format!("{:016x}", 0x9c41_d07b_e2a3_0000_u64 + at as u64);
            thread::spawn(move || {
                let response = caller::request_stream(to, "/query/1", &id);
                (id, response.map_or(0, |response| response.status))
            })
        })
        .collect();
    record.line(&format!("{ITEMS} online requests on /query/ arrive"));
    for caller in callers {
        if let Ok((id, status)) = caller.join() {
            record.line(&format!("online request {id}: {status}"));
        }
    }
    let results = caller::all_results(fleet.vms[1].callers, job, ITEMS, RESULTS_WITHIN);
    let results = results.ok_or_else(|| io::Error::other("the job is not done in time"))?;
    record_runs(&fleet.endpoints, job, record);
    let mixed = results.iter().filter(|result| is_mixed(result, record));
    let mixed = mixed.count();
    Ok(match mixed {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Whether a completed result is the whole output of neither service.
fn is_mixed(result: &Value, record: &Record) -> bool {
    let id = result["id"].as_str().unwrap_or_default();
    let state = result["state"].as_str().unwrap_or_default();
    let text = result["text"].as_str().unwrap_or_default();
    let is_whole = (0..SERVICES.len()).any(|service| text == whole_output(id, service));
    let is_mixed = state == "completed" && !is_whole;
    let made_by = |service: &str| text.lines().filter(|line| line.ends_with(service)).count();
    let events = SERVICES.map(|name| format!("{} events of {name}", made_by(&format!("@{name}"))));
    let mark = if is_mixed { "  MIXED" } else { "" };
    record.line(&format!(
        "result {id}: {state}, {}{mark}",
        events.join(", ")
    ));
    is_mixed
}

/// The text of an item as an endpoint of a service makes it.
fn whole_output(id: &str, service: usize) -> String {
    let line = |number| format!("{}@{}", event_data(id, number), SERVICES[service]);
    let lines: Vec<String> = (1..=EVENTS[service]).map(line).collect();
    lines.join("\n")
}

fn record_runs(endpoints: &[Endpoint], job: &str, record: &Record) {
    let mut runs: Vec<_> = endpoints
        .iter()
        .flat_map(|endpoint| {
            let of_job = endpoint.runs().into_iter();
            let of_job = of_job.filter(|run| run.id.starts_with(job));
            of_job.map(|run| (run.started_at, endpoint.id.clone(), run))
        })
        .collect();
    runs.sort_by_key(|(started_at, ..)| *started_at);
    for (started_at, endpoint, run) in runs {
        record.line_at(
            started_at,
            &format!(
                "item {} runs at {endpoint} of {} after event {}, {} events sent",
                run.id,
                run.software,
                run.last_event.unwrap_or(0),
                run.events_sent
            ),
        );
    }
}

/// The configuration with the batch route at a service.
fn config_with_batch_at(version: u64, service: &str) -> Value {
    let mut config = config(version);
    let routes = config["routes"].as_array_mut().into_iter().flatten();
    for batch in routes.filter(|route| route["routeKind"] == "batch") {
        batch["service"] = json!(service);
    }
    config["services"] = SERVICES
        .iter()
        .map(|name| json!({ "name": name, "healthPath": "/health", "maxConns": 100 }))
        .collect();

    config
}

fn sleep_until(at: Duration) {
    clock::sleep(at.saturating_sub(clock::now()));
}
