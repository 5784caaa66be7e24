//! A runner crashes while it runs items of a job; its answers end with their channels.

use std::io;
use std::time::Duration;

use bramleyseam::clock;
use bramleyseam_platform_standin::caller;
use serde_json::{json, Value};

use crate::fleet::{put_config, Fleet};
use crate::process::{whole_text, Framing, RunnerProcess, Setup};
use crate::record::Record;
use crate::store::Store;
use crate::Outcome;

const JOB: &str = "51d2aa90c37b6e14";
const ITEMS: usize = 40;
const EVENTS: u64 = 60;
/// A sixth of the runners crash: the sheets have up to 0.17 of them.
const RUNNERS: usize = 6;
const SLOTS: u32 = 8;
/// Time for which a crashed runner is down.
const DOWN: Duration = Duration::from_millis(4500);
/// Time in which the results are due.
const DUE: Duration = Duration::from_secs(18);

fn item_id(at: usize) -> String {
    format!("e5b2907c14da{at:04}")
}

fn submission() -> Vec<u8> {
    let item = |at: usize| {
        json!({
            "id": item_id(at),
            "path": "/batch/91c4",
            "headers": { "X-Model": "m", "X-Token-Counts": "350,240" },
            "body": "",
            "tokens": 590,
        })
    };
    let items: Vec<Value> = (0..ITEMS).map(item).collect();
    json!({ "items": items }).to_string().into_bytes()
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start(record.clone())?;
    put_config(&store, 3);
    let folder = std::env::temp_dir().join(format!("review-{:x}", bramleyseam::util::nonce()));
    std::fs::create_dir_all(&folder)?;
    let mut runners = Vec::new();
    for at in 0..RUNNERS {
        let setup = Setup {
            id: format!("i-{at}"),
            slots: SLOTS,
            events: EVENTS,
            interval: Duration::from_millis(25),
            framing: Framing::UntilClose,
            version: "v1".into(),
        };
        let runner = RunnerProcess::start(setup, &folder)?;
        store.put(&format!("servers/i-{at}"), &runner.entry());
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
    let until = clock::now() + DUE;
    clock::sleep(Duration::from_millis(900));
    let begun = runners[0].log_lines().len();
    if has_trouble {
        runners[0].kill();
        record.line(format!("i-0 is killed; {begun} items had begun there"));
    }
    let back_at = clock::now() + DOWN;
    let mut is_back = !has_trouble;
    let mut listed: Vec<Value> = Vec::new();
    while clock::now() < until && listed.len() < ITEMS {
        if !is_back && clock::now() >= back_at {
            is_back = true;
            runners[0].restart()?;
            store.put("servers/i-0", &runners[0].entry());
            record.line("i-0 is back");
        }
        let page = caller::results(fleet.vms[1].callers, JOB, listed.len(), 500);
        let page = page.filter(|page| page.status == 200);
        let rows = page.and_then(|page| page.json()["results"].as_array().cloned());
        listed.extend(rows.unwrap_or_default());
        clock::sleep(Duration::from_millis(200));
    }
    let mut truncated = 0;
    for row in &listed {
        let id = row["id"].as_str().unwrap_or_default();
        let text = row["text"].as_str().unwrap_or_default();
        let lines = text.lines().count();
        let is_whole = text == whole_text(id, EVENTS, "v1");
        let state = row["state"].as_str().unwrap_or_default();
        if state == "completed" && !is_whole {
            truncated += 1;
            record.line(format!("{id}: {state}, {lines} of {EVENTS} events"));
        }
    }
    for runner in &runners {
        for line in runner.log_lines() {
            record.line(format!("{} {line}", runner.setup.id));
        }
    }
    record.line(format!(
        "{} of {ITEMS} items listed, {truncated} of them completed without their whole text",
        listed.len()
    ));
    drop(runners);
    let _ = std::fs::remove_dir_all(&folder);
    if listed.len() < ITEMS {
        return Err(io::Error::other("not all items were listed in time"));
    }
    Ok(truncated == 0)
}
