//! A job of 200 items finishes most of its items while the store is down.

use std::collections::HashSet;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use base64::prelude::{Engine, BASE64_STANDARD};
use bramleyseam::clock;
use bramleyseam_platform_standin::caller::{self, Response};
use serde_json::{json, Value};

use crate::fleet::{put_config, register, Fleet};
use crate::record::Record;
use crate::runner::{Runner, Script};
use crate::store::{Outage, Store};
use crate::Outcome;

const JOB: &str = "7c41e09b52d6a3f8";
/// The most that the pages allow.
const ITEMS: usize = 200;
const EVENTS: u64 = 120;
const RUNNERS: usize = 4;
const SLOTS: u32 = 8;
/// Length of the outage in the sheet of the installation.
const OUTAGE: Duration = Duration::from_millis(4500);
/// `completionS`.
const COMPLETION: Duration = Duration::from_secs(18);
/// The time that the rule looks back over.
const CALM: Duration = Duration::from_secs(5);
const FINISHED_BEFORE: Duration = Duration::from_secs(3);

fn data(_: &str, number: u64) -> String {
    let (row, column) = (number % 90 + 10, number % 9);
    format!(r#""arguments":"{{\"row\":\"{row}\",\"col\":\"{column}\",\"v\":\"\"}}","#)
}

fn text() -> String {
    let events: Vec<String> = (1..=EVENTS).map(|number| data("", number)).collect();
    events.join("\n")
}

fn submission() -> Vec<u8> {
    let item = |at: usize| {
        json!({
            "id": format!("e5b2907c14da{at:04}"),
            "path": "/batch/91c4",
            "headers": { "X-Model": "m", "X-Token-Counts": "350,240" },
            "body": BASE64_STANDARD.encode(format!("prompt {at}")),
            "tokens": 590,
        })
    };
    let items: Vec<Value> = (0..ITEMS).map(item).collect();
    json!({ "items": items }).to_string().into_bytes()
}

fn rows(response: Option<&Response>) -> Option<Vec<Value>> {
    let page = response.filter(|response| response.status == 200)?.json();
    page["results"].as_array().cloned()
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start(record.clone())?;
    put_config(&store, 3);
    let mut runners = Vec::new();
    for at in 0..RUNNERS {
        let runner = Runner::start(
            &format!("i-{at}"),
            Script {
                slots: SLOTS,
                events: EVENTS,
                interval: Duration::from_millis(9),
                data: Arc::new(data),
            },
        )?;
        register(&store, &runner.id, runner.address, SLOTS, 1);
        runners.push(runner);
    }
    let fleet = Fleet::start(&store, 3)?;
    clock::sleep(Duration::from_secs(1));
    let headers = [("X-Attempt-Id", JOB), ("Content-Type", "application/json")];
    let to = fleet.vms[0].callers;
    let accepted = caller::send(to, "POST", "/batch/jobs", &headers, &submission());
    let status = accepted.map_or(0, |response| response.status);
    record.line(format!("submitted {ITEMS} items to edge-0: {status}"));
    if status != 202 {
        return Err(io::Error::other("the job was not accepted"));
    }
    clock::sleep(Duration::from_millis(1500));
    if has_trouble {
        store.set_outage(Some(Outage::Busy));
        record.line("the store answers 503");
    }
    clock::sleep(OUTAGE);
    if has_trouble {
        store.set_outage(None);
        record.line("the store serves again");
    }
    let ends_at = clock::now() + COMPLETION;
    let mut listed: Vec<Value> = Vec::new();
    let mut last_running = clock::now();
    let mut reads = 0;
    while clock::now() < ends_at && listed.len() < ITEMS {
        let vm = &fleet.vms[reads % fleet.vms.len()];
        reads += 1;
        let page = caller::results(vm.callers, JOB, listed.len(), 500);
        let new = rows(page.as_ref());
        let count = new.as_ref().map_or(0, Vec::len);
        if count > 0 || reads % 10 == 0 {
            let status = page.as_ref().map_or(0, |page| page.status);
            record.line(format!(
                "read at {} from position {}: {status}, {count} results",
                vm.name,
                listed.len()
            ));
        }
        listed.extend(new.unwrap_or_default());
        if runners.iter().any(|runner| !runner.running().is_empty()) {
            last_running = clock::now();
        }
        clock::sleep(Duration::from_millis(100));
    }
    let now = clock::now();
    let finished: Vec<(String, Duration)> = runners.iter().flat_map(Runner::finished).collect();
    let done: HashSet<&String> = finished.iter().map(|(id, _)| id).collect();
    let last_finished = finished.iter().map(|(_, at)| *at).max().unwrap_or_default();
    let text = text();
    let whole = listed
        .iter()
        .filter(|row| row["text"] == text.as_str() && row["state"] == "completed");
    record.line(format!(
        "{} of {ITEMS} items finished at runners, {} listed, {} with the whole text; last run seen {:.1} s ago, last \
         item finished {:.1} s ago; transactions refused for their size: {}",
        done.len(),
        listed.len(),
        whole.count(),
        (now - last_running).as_secs_f64(),
        (now - last_finished).as_secs_f64(),
        store.refused_values(),
    ));
    if listed.len() == ITEMS {
        return Ok(true);
    }
    let is_excused = now < last_running + CALM || now < last_finished + FINISHED_BEFORE;
    match is_excused {
        true => Err(io::Error::other("items were still running")),
        false => Ok(false),
    }
}
