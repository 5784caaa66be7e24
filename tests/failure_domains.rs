//! Failure domains that lose their endpoints or are cut off from the platform.

use std::time::Duration;

use bramleyseam::bench::load::chat;
use bramleyseam::clock;
use bramleyseam::standin::fleet::{chat_lines, Fleet, Plan};
use serde_json::{json, Value};

fn plan() -> Plan {
    Plan {
        failure_domains: 2,
        entries: 2,
        engines: 1,
        ..Plan::default()
    }
}

/// Waits until a condition holds.
fn wait_until(what: &str, timeout: Duration, holds: impl Fn() -> bool) {
    let deadline = clock::now() + timeout;
    while !holds() {
        assert!(clock::now() < deadline, "{what}");
        clock::sleep(Duration::from_millis(30));
    }
}

fn jobs_at(fleet: &Fleet, entry: usize) -> Vec<Value> {
    let dump = fleet.entries[entry].page("/dump");
    dump["jobs"].as_array().cloned().unwrap_or_default()
}

// A failure domain has a single engine, which first leaves and then dies. Its callers are served by
// the other failure domain's engine, without an operator's action.
#[test]
fn spill_over() {
    let mut fleet = Fleet::start("spill-over", &plan()).unwrap();
    let ask = |fleet: &Fleet, text: &str| {
        fleet
            .ask(0, "POST", "/v1/chat/completions", &chat(text, 2, false))
            .unwrap()
            .status
    };
    let requests = |fleet: &Fleet, engine: usize| {
        fleet.engines[engine].stats()["requests"]
            .as_u64()
            .unwrap_or(0)
    };
    assert_eq!(ask(&fleet, "at home"), 200);
    assert_eq!(
        (requests(&fleet, 0), requests(&fleet, 1)),
        (1, 0),
        "own failure domain first"
    );
    fleet.engines[0].control(json!({ "leaving": true }));
    clock::sleep(Duration::from_secs(2));
    for at in 0..5 {
        assert_eq!(ask(&fleet, &format!("away {at}")), 200);
    }
    assert_eq!(requests(&fleet, 1), 5);
    fleet.engines[0].kill();
    for at in 0..5 {
        assert_eq!(ask(&fleet, &format!("dead {at}")), 200);
    }
}

// A failure domain is cut off from the platform. It continues to answer online requests and refuses
// files as not run. It learns of jobs from the other failure domain, and of a cancellation within
// one second of its acknowledgement; once the link is restored it accepts files again.
#[test]
fn platform_cut() {
    let fleet = Fleet::start("platform-cut", &plan()).unwrap();
    fleet.links[1].cut(true);
    for entry in [2, 3] {
        let body = chat(&format!("cut {entry}"), 2, true);
        let answer = fleet
            .ask(entry, "POST", "/v1/chat/completions", &body)
            .unwrap();
        assert_eq!(answer.status, 200);
        let refused = fleet.ask(entry, "POST", "/v1/files", "{}\n").unwrap();
        assert_eq!(
            (refused.status, refused.json()["not_run"].clone()),
            (503, json!(true))
        );
    }
    let job = fleet.send_job(0, &chat_lines(2_000, 20)).unwrap();
    let known = |entry: usize| {
        jobs_at(&fleet, entry)
            .iter()
            .any(|row| row["id"] == job.as_str())
    };
    wait_until("the job is known", Duration::from_secs(5), || {
        known(2) && known(3)
    });
    let answer = fleet
        .ask(1, "POST", &format!("/v1/batches/{job}/cancel"), "")
        .unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    let cancelled = |entry: usize| {
        let rows = jobs_at(&fleet, entry);
        let row = rows.iter().find(|row| row["id"] == job.as_str());
        row.is_none_or(|row| row["state"] != "in_progress")
    };
    wait_until("the cancellation is known", Duration::from_secs(1), || {
        cancelled(2) && cancelled(3)
    });
    fleet.links[1].cut(false);
    wait_until("files are taken again", Duration::from_secs(5), || {
        fleet
            .ask(2, "POST", "/v1/files", &chat_lines(1, 1))
            .unwrap()
            .status
            == 200
    });
    let batch = fleet.wait_job(2, &job, Duration::from_secs(40));
    assert_eq!(batch["status"], "cancelled", "{batch}");
}
