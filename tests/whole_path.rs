//! End-to-end requests and jobs through separate processes.

use std::io::{BufRead, BufReader};
use std::time::Duration;

use bramleyseam::clock;
use bramleyseam::standin::engine::answer_to;
use bramleyseam::standin::fleet::{chat_lines, Fleet, Plan, KEYS};
use serde_json::{json, Value};

const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

fn chat(prompt: &str, tokens: u64, stream: bool) -> String {
    json!({
        "model": "permit-7b", "max_tokens": tokens, "stream": stream,
        "messages": [{ "role": "user", "content": prompt }],
    })
    .to_string()
}

fn expected(prompt: &str, tokens: u64) -> String {
    let messages = json!([{ "role": "user", "content": prompt }]);
    answer_to(&messages.to_string(), tokens)
}

#[test]
fn whole_answer() {
    let fleet = Fleet::start("whole-answer", &Plan::default()).unwrap();
    let answer = fleet
        .ask(
            0,
            "POST",
            "/v1/chat/completions",
            &chat("terrace", 5, false),
        )
        .unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    let content = answer.json()["choices"][0]["message"]["content"].clone();
    assert_eq!(content, Value::from(expected("terrace", 5)));
}

#[test]
fn streamed_tokens() {
    let behaviour = json!({ "step_us": 50_000 });
    let fleet = Fleet::start(
        "streamed",
        &Plan {
            behaviour,
            ..Plan::default()
        },
    )
    .unwrap();
    let url = format!("http://{}/v1/chat/completions", fleet.entries[0].address);
    let response = ureq::post(&url)
        .set("Authorization", &format!("Bearer {}", KEYS[0].1))
        .send_string(&chat("deck", 8, true))
        .unwrap();
    let mut text = String::new();
    let mut arrivals = Vec::new();
    let mut whole = false;
    for line in BufReader::new(response.into_reader()).lines() {
        let line = line.unwrap();
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            whole = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).unwrap();
        text += event["choices"][0]["delta"]["content"].as_str().unwrap();
        arrivals.push(clock::now());
    }
    assert!(whole);
    assert_eq!(text, expected("deck", 8));
    // Each token takes one step: if tokens were buffered, they would all arrive together.
    assert!(arrivals[7] - arrivals[0] >= Duration::from_millis(200));
}

#[test]
fn batch_job() {
    let fleet = Fleet::start(
        "batch-job",
        &Plan {
            engines: 2,
            ..Plan::default()
        },
    )
    .unwrap();
    let mut lines = chat_lines(60, 4);
    lines.push_str("this is no item\n");
    let job = fleet.send_job(0, &lines).unwrap();
    let shown = fleet.wait_job(0, &job, WAIT_TIMEOUT);
    assert_eq!(shown["status"], "completed", "{shown}");
    assert_eq!(
        shown["request_counts"],
        json!({ "total": 61, "completed": 60, "failed": 1 })
    );
    let path = format!(
        "/v1/files/{}/content",
        shown["output_file_id"].as_str().unwrap()
    );
    let output = fleet.ask(0, "GET", &path, "").unwrap().text();
    let mut ids: Vec<String> = output
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).unwrap())
        .map(|line| line["custom_id"].as_str().unwrap().to_owned())
        .collect();
    ids.sort();
    let mut wanted: Vec<String> = (0..60).map(|at| format!("item-{at}")).collect();
    wanted.sort();
    assert_eq!(ids, wanted);
    let path = format!(
        "/v1/files/{}/content",
        shown["error_file_id"].as_str().unwrap()
    );
    let errors = fleet.ask(0, "GET", &path, "").unwrap().text();
    assert_eq!(errors.lines().count(), 1, "{errors}");
    assert!(errors.contains("invalid_line"));
}

#[test]
fn plain_call() {
    let fleet = Fleet::start(
        "plain-call",
        &Plan {
            batch: false,
            ..Plan::default()
        },
    )
    .unwrap();
    let headers = [("Idempotency-Key", "renewal-1")];
    let first = fleet
        .ask_with(0, "POST", "/svc/registry/renew", &headers, "{}")
        .unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    let again = fleet
        .ask_with(0, "POST", "/svc/registry/renew", &headers, "{}")
        .unwrap();
    assert_eq!(again.text(), first.text());
    assert_eq!(again.header("Idempotent-Replayed"), Some("true"));
    assert_eq!(fleet.services[0].stats(), json!({ "renewal-1": 1 }));
}

#[test]
fn wrong_key() {
    let fleet = Fleet::start(
        "wrong-key",
        &Plan {
            batch: false,
            ..Plan::default()
        },
    )
    .unwrap();
    let address = fleet.entries[0].address;
    let call = |key| {
        let body = chat("x", 1, false);
        bramleyseam::standin::fleet::call(
            address,
            "POST",
            "/v1/chat/completions",
            key,
            &[],
            body.as_bytes(),
        )
    };
    let answer = call("nobody").unwrap();
    assert_eq!(answer.status, 401);
    assert_eq!(
        answer.header("Content-Type"),
        Some("application/problem+json")
    );
    assert_eq!(answer.json()["not_run"], true);
}
