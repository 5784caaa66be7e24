//! Online requests while endpoints and connections fail, with real processes.

use std::time::Duration;

use bramleyseam::clock;
use bramleyseam::standin::engine::answer_to;
use bramleyseam::standin::fleet::{Fleet, Plan};
use serde_json::{json, Value};

fn chat(prompt: &str, tokens: u64, stream: bool) -> String {
    bramleyseam::bench::load::chat(prompt, tokens, stream)
}

fn expected(prompt: &str, tokens: u64) -> String {
    answer_to(
        &json!([{ "role": "user", "content": prompt }]).to_string(),
        tokens,
    )
}

/// The text of a streamed response, and whether its end marker was received.
fn streamed(text: &str) -> (String, bool) {
    let mut out = String::new();
    for line in text.lines().filter_map(|line| line.strip_prefix("data: {")) {
        let event: Value = serde_json::from_str(&format!("{{{line}")).unwrap();
        out += event["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or_default();
    }
    (out, text.contains("data: [DONE]"))
}

fn plan(engines: usize) -> Plan {
    Plan {
        engines,
        batch: false,
        ..Plan::default()
    }
}

// The connection to the engine breaks in the middle of a stream. The entry process resumes the
// stream at its offset on the same engine; the caller receives each token once and does not notice
// the break.
#[test]
fn stream_resumed() {
    let fleet = Fleet::start("stream-resumed", &plan(1)).unwrap();
    for breaks in [1, 2] {
        fleet.engines[0].control(json!({ "break_streams": breaks }));
        let body = chat("resume", 20, true);
        let answer = fleet.ask(0, "POST", "/v1/chat/completions", &body).unwrap();
        assert_eq!(streamed(&answer.text()), (expected("resume", 20), true));
    }
}

// The stream breaks after some tokens were sent, and the engine can't resume it. The caller gets an
// error event and no end marker, never a truncated response that looks complete.
#[test]
fn broken_visible() {
    let fleet = Fleet::start("broken-visible", &plan(1)).unwrap();
    fleet.engines[0].control(json!({ "break_streams": 1, "no_resume": true }));
    let body = chat("broken", 20, true);
    let answer = fleet.ask(0, "POST", "/v1/chat/completions", &body).unwrap();
    assert!(answer.cut, "the body ended as if whole");
    assert!(answer.text().contains("event: error"), "{}", answer.text());
    assert!(!answer.text().contains("[DONE]"));
}

// An engine is killed in the middle of many streams. Each caller gets a complete response or an
// error; no truncated response looks complete. Later requests go to the other engine.
#[test]
fn engine_dies() {
    let behaviour = json!({ "step_us": 20_000 });
    let mut fleet = Fleet::start(
        "engine-dies",
        &Plan {
            behaviour,
            ..plan(2)
        },
    )
    .unwrap();
    let (entry, key) = (fleet.entries[0].address, "terrasse-key");
    let callers: Vec<_> = (0..10)
        .map(|at| {
            std::thread::spawn(move || {
                let prompt = format!("caller {at}");
                let body = chat(&prompt, 30, true);
                let path = "/v1/chat/completions";
                let answer = bramleyseam::standin::fleet::call(
                    entry,
                    "POST",
                    path,
                    key,
                    &[],
                    body.as_bytes(),
                );
                (prompt, answer.unwrap())
            })
        })
        .collect();
    clock::sleep(Duration::from_millis(250));
    fleet.engines[0].kill();
    let mut whole = 0;
    for caller in callers {
        let (prompt, answer) = caller.join().unwrap();
        let (text, done) = streamed(&answer.text());
        if done {
            assert_eq!(text, expected(&prompt, 30));
            whole += 1;
        } else {
            assert!(answer.cut || answer.status != 200, "{}", answer.text());
        }
    }
    assert!((1..10).contains(&whole), "{whole} whole");
    for at in 0..10 {
        let body = chat(&format!("after {at}"), 2, false);
        let answer = fleet.ask(0, "POST", "/v1/chat/completions", &body).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}

// An engine sends another request's response, or one that is cut in the middle and padded to its
// announced length. Neither reaches the caller, who gets the complete response from a second
// attempt.
#[test]
fn crossed_answers() {
    let fleet = Fleet::start("crossed", &plan(2)).unwrap();
    let faults = ["swap_answers", "cut_answers", "fail_requests"];
    for (fault, stream) in faults
        .iter()
        .flat_map(|fault| [(fault, true), (fault, false)])
    {
        for engine in &fleet.engines {
            engine.control(json!({ *fault: 1 }));
        }
        // Enough requests to refill the retry budget.
        for at in 0..30 {
            let prompt = format!("{fault} {at}");
            let body = chat(&prompt, 3, stream);
            let answer = fleet.ask(0, "POST", "/v1/chat/completions", &body).unwrap();
            if answer.status != 200 {
                assert_eq!(answer.status, 502, "{}", answer.text());
                assert!(answer.json().get("not_run").is_none());
                continue;
            }
            let text = match stream {
                true => streamed(&answer.text()).0,
                false => answer.json()["choices"][0]["message"]["content"]
                    .as_str()
                    .unwrap()
                    .into(),
            };
            assert_eq!(text, expected(&prompt, 3));
        }
    }
}

// An engine accepts connections and never responds. The request is retried at another engine well
// before its deadline, and the silent engine is ejected.
#[test]
fn silent_engine() {
    let service = json!({ "deadline_ms": 4_000 });
    let fleet = Fleet::start("silent", &Plan { service, ..plan(2) }).unwrap();
    fleet.engines[0].control(json!({ "frozen": true }));
    let mut good = 0;
    for at in 0..12 {
        let body = chat(&format!("silent {at}"), 2, false);
        let answer = fleet.ask(0, "POST", "/v1/chat/completions", &body).unwrap();
        good += u32::from(answer.status == 200);
    }
    assert!(good >= 11, "{good} of 12 answered");
}

// No endpoint can be reached. The refusal is immediate, truthfully says "not run", and has a retry
// time.
#[test]
fn nothing_reachable() {
    let mut fleet = Fleet::start("unreachable", &plan(1)).unwrap();
    fleet.engines[0].kill();
    for _ in 0..6 {
        let body = chat("anyone", 2, false);
        let answer = fleet.ask(0, "POST", "/v1/chat/completions", &body).unwrap();
        assert_eq!(answer.status, 503, "{}", answer.text());
        assert_eq!(answer.json()["not_run"], true);
        assert!(answer.header("Retry-After").is_some());
    }
}

// The platform is unavailable for long. Online requests are not affected; requests that need the
// platform are refused at once as not run, and work again when it is back.
#[test]
fn platform_away() {
    let fleet = Fleet::start("platform-away", &plan(1)).unwrap();
    fleet.platform_process().control(json!({ "outage": true }));
    clock::sleep(Duration::from_millis(300));
    for at in 0..5 {
        let body = chat(&format!("away {at}"), 2, true);
        let answer = fleet.ask(0, "POST", "/v1/chat/completions", &body).unwrap();
        assert_eq!(answer.status, 200);
    }
    let headers = [("Idempotency-Key", "renewal-7")];
    let refused = fleet
        .ask_with(0, "POST", "/svc/registry/renew", &headers, "{}")
        .unwrap();
    assert_eq!(
        (refused.status, refused.json()["not_run"].clone()),
        (503, json!(true))
    );
    let refused = fleet.ask(0, "POST", "/v1/files", "{}\n").unwrap();
    assert_eq!(
        (refused.status, refused.json()["not_run"].clone()),
        (503, json!(true))
    );
    assert_eq!(fleet.services[0].stats(), json!({}));
    fleet.platform_process().control(json!({}));
    let until = clock::now() + Duration::from_secs(5);
    loop {
        let answer = fleet
            .ask_with(0, "POST", "/svc/registry/renew", &headers, "{}")
            .unwrap();
        if answer.status == 200 {
            break;
        }
        assert!(clock::now() < until, "{}", answer.text());
        clock::sleep(Duration::from_millis(100));
    }
    assert_eq!(fleet.services[0].stats(), json!({ "renewal-7": 1 }));
}

// An endpoint reports that it is leaving while streams run there. It gets nothing new after two
// seconds; the streams end complete.
#[test]
fn leaving_endpoint() {
    let behaviour = json!({ "step_us": 50_000 });
    let fleet = Fleet::start(
        "leaving",
        &Plan {
            behaviour,
            entries: 2,
            ..plan(2)
        },
    )
    .unwrap();
    let (entry, key) = (fleet.entries[0].address, "terrasse-key");
    let callers: Vec<_> = (0..8)
        .map(|at| {
            std::thread::spawn(move || {
                let body = chat(&format!("leaving {at}"), 50, true);
                let path = "/v1/chat/completions";
                bramleyseam::standin::fleet::call(entry, "POST", path, key, &[], body.as_bytes())
            })
        })
        .collect();
    clock::sleep(Duration::from_millis(300));
    fleet.engines[0].control(json!({ "leaving": true }));
    clock::sleep(Duration::from_secs(2));
    let before = fleet.engines[0].stats()["requests"].clone();
    for at in 0..20 {
        let body = chat(&format!("new {at}"), 1, false);
        let answer = fleet
            .ask(at % 2, "POST", "/v1/chat/completions", &body)
            .unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert_eq!(fleet.engines[0].stats()["requests"], before);
    for (at, caller) in callers.into_iter().enumerate() {
        let answer = caller.join().unwrap().unwrap();
        assert_eq!(
            streamed(&answer.text()),
            (expected(&format!("leaving {at}"), 50), true)
        );
    }
}
