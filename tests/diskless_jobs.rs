//! Batch jobs on a deployment without VMs with disks.

use std::time::Duration;

use bramleyseam::standin::fleet::{chat_lines, Fleet, Plan};
use serde_json::json;

const JOB_TIMEOUT: Duration = Duration::from_secs(60);

fn plan() -> Plan {
    let behaviour = json!({ "slots": 64, "step_us": 1_000, "step_us_per_request": 10 });
    let service = json!({ "initial_limit": 64, "online_weight": 0.0 });
    Plan {
        engines: 2,
        behaviour,
        service,
        ..Plan::default()
    }
}

fn completes(name: &str, lines: &str, items: usize) {
    let fleet = Fleet::start(name, &plan()).unwrap();
    let job = fleet.send_job(0, lines).unwrap();
    let shown = fleet.wait_job(0, &job, JOB_TIMEOUT);
    assert_eq!(shown["request_counts"]["completed"], items);
}

#[test]
fn few_long_lines() {
    let lines = chat_lines(1, 2);
    let wide: Vec<String> = (0..10)
        .map(|at| {
            let prompt = format!("{at} {}", "word ".repeat(800));
            lines
                .trim()
                .replacen("\"content\":\"", &format!("\"content\":\"{prompt}"), 1)
                .replace("item-0", &format!("item-{at}"))
        })
        .collect();
    completes("long-lines", &(wide.join("\n") + "\n"), 10);
}

// A file that is too large for one value of the store has to be accepted on a deployment without
// disks: the file and its results are split over several values.
#[test]
fn many_small_items() {
    let lines = chat_lines(6_000, 2);
    assert!(lines.len() > 800_000);
    completes("small-items", &lines, 6_000);
}
