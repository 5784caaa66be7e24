//! Batch jobs and at-most-once calls across failures of processes and VMs, with real processes.

use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Duration;

use bramleyseam::clock;
use bramleyseam::standin::fleet::{chat_lines, Fleet, Plan};
use serde_json::{json, Value};

const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Each test starts many processes, so only one runs at a time.
static SERIAL: Mutex<()> = Mutex::new(());

fn plan() -> Plan {
    let behaviour = json!({ "step_us": 10_000 });
    Plan {
        entries: 3,
        engines: 3,
        behaviour,
        ..Plan::default()
    }
}

/// The custom ids in a job's output; fails if an id has two results.
fn output_ids(fleet: &Fleet, entry: usize, shown: &Value) -> HashSet<String> {
    let path = format!(
        "/v1/files/{}/content",
        shown["output_file_id"].as_str().unwrap()
    );
    let text = fleet.ask(entry, "GET", &path, "").unwrap().text();
    let ids: Vec<String> = text
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).unwrap())
        .map(|line| line["custom_id"].as_str().unwrap().to_owned())
        .collect();
    let distinct: HashSet<String> = ids.iter().cloned().collect();
    assert_eq!(ids.len(), distinct.len(), "an item has two results");
    distinct
}

fn assert_completed(fleet: &Fleet, entry: usize, job: &str, items: usize) {
    let shown = fleet.wait_job(entry, job, WAIT_TIMEOUT);
    let wanted = json!({ "total": items, "completed": items, "failed": 0 });
    if shown["request_counts"] != wanted {
        fleet
            .batches
            .iter()
            .for_each(|batch| println!("{}", batch.page("/dump")["state"]));
        fleet
            .entries
            .iter()
            .for_each(|entry| println!("{}", entry.page("/why")));
    }
    assert_eq!(
        (&shown["status"], &shown["request_counts"]),
        (&json!("completed"), &wanted)
    );
    assert_eq!(output_ids(fleet, entry, &shown).len(), items);
}

// A VM is lost right after it returned a job's id. The job's record is in the platform, so the
// other VMs find and complete the job.
#[test]
fn vm_lost() {
    let _serial = SERIAL.lock();
    let mut fleet = Fleet::start("vm-lost", &plan()).unwrap();
    let job = fleet.send_job(0, &chat_lines(150, 6)).unwrap();
    fleet.entries[0].kill();
    fleet.batches[0].kill();
    assert_completed(&fleet, 1, &job, 150);
}

// A batch process and the entry process of another VM are killed with items in flight. Another VM
// takes the chunks over once membership has dropped their owner; items without a committed result
// run again, and each item has one result.
#[test]
fn batch_killed() {
    let _serial = SERIAL.lock();
    let mut fleet = Fleet::start("batch-killed", &plan()).unwrap();
    let job = fleet.send_job(0, &chat_lines(300, 20)).unwrap();
    clock::sleep(Duration::from_millis(400));
    fleet.batches[1].kill();
    fleet.entries[2].kill();
    clock::sleep(Duration::from_millis(400));
    let folder = fleet.folder.clone();
    fleet.batches[1].restart(&folder).unwrap();
    assert_completed(&fleet, 0, &job, 300);
}

// A VM is frozen until its chunks have been taken over, then continues. It still holds its old
// state and commits, but its epoch is outdated and the record has changed, so no item counts twice.
#[test]
fn paused_owner() {
    let _serial = SERIAL.lock();
    let fleet = Fleet::start("paused-owner", &plan()).unwrap();
    let job = fleet.send_job(0, &chat_lines(300, 30)).unwrap();
    clock::sleep(Duration::from_millis(500));
    fleet.entries[2].pause();
    fleet.batches[2].pause();
    clock::sleep(Duration::from_secs(4));
    fleet.entries[2].resume();
    fleet.batches[2].resume();
    assert_completed(&fleet, 0, &job, 300);
}

// The platform is unavailable while a job runs, and then loses the answers to claims, checkpoints
// and the job's end after they took effect. The job completes with one result per item.
#[test]
fn platform_fails() {
    let _serial = SERIAL.lock();
    let fleet = Fleet::start("platform-fails", &plan()).unwrap();
    let job = fleet.send_job(0, &chat_lines(300, 20)).unwrap();
    let platform = fleet.platform_process();
    clock::sleep(Duration::from_millis(300));
    platform.control(json!({ "outage": true }));
    clock::sleep(Duration::from_secs(2));
    platform.control(json!({ "lose_answers": 12, "delay_ms": 30 }));
    assert_completed(&fleet, 0, &job, 300);
}

// The answer to the write of the job's record is lost, and the client sends the job again to
// another VM. It is the same job: it gets the same id and runs once.
#[test]
fn job_resent() {
    let _serial = SERIAL.lock();
    let fleet = Fleet::start("job-resent", &plan()).unwrap();
    let platform = fleet.platform_process();
    platform.control(json!({ "lose_answers": 1, "lose_prefix": "live/job/" }));
    let lines = chat_lines(60, 4);
    let first = fleet.send_job(0, &lines).unwrap();
    let second = fleet.send_job(1, &lines).unwrap();
    assert_eq!(first, second);
    let record = fleet
        .ask(2, "GET", &format!("/v1/batches/{first}"), "")
        .unwrap()
        .json();
    let body = json!({
        "input_file_id": record["input_file_id"], "endpoint": "/v1/chat/completions",
    });
    let again = fleet
        .ask(2, "POST", "/v1/batches", &body.to_string())
        .unwrap();
    assert_eq!(again.header("Idempotent-Replayed"), Some("true"));
    assert_completed(&fleet, 1, &first, 60);
    let jobs = fleet.ask(0, "GET", "/v1/batches", "").unwrap().json();
    assert_eq!(jobs["data"].as_array().unwrap().len(), 1);
}

// A job is cancelled while it runs. One second after the acknowledgement no new item reaches an
// engine and the streams of its items have ended. Results committed before can be read, and the job
// stays cancelled although a batch process is killed right after the acknowledgement.
#[test]
fn job_cancelled() {
    let _serial = SERIAL.lock();
    let mut fleet = Fleet::start("job-cancelled", &plan()).unwrap();
    let job = fleet.send_job(0, &chat_lines(900, 30)).unwrap();
    clock::sleep(Duration::from_millis(1500));
    let answer = fleet
        .ask(1, "POST", &format!("/v1/batches/{job}/cancel"), "")
        .unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    fleet.batches[1].kill();
    clock::sleep(Duration::from_secs(1));
    let requests = |fleet: &Fleet| -> u64 {
        fleet
            .engines
            .iter()
            .map(|e| e.stats()["requests"].as_u64().unwrap())
            .sum()
    };
    let before = requests(&fleet);
    let shown = fleet.wait_job(0, &job, WAIT_TIMEOUT);
    assert_eq!(shown["status"], "cancelled", "{shown}");
    assert_eq!(
        requests(&fleet),
        before,
        "items were sent after the cancellation"
    );
    let completed = shown["request_counts"]["completed"].as_u64().unwrap();
    assert_eq!(output_ids(&fleet, 2, &shown).len() as u64, completed);
    assert!(completed > 0 && completed < 900, "{completed}");
    clock::sleep(Duration::from_secs(1));
    let path = format!("/v1/batches/{job}");
    assert_eq!(
        fleet.ask(0, "GET", &path, "").unwrap().json()["status"],
        "cancelled"
    );
}

// Items that must not be repeated are in flight when the batch processes are killed. The new owner
// finds them recorded as started and ends them as "outcome unknown": none reaches the service
// twice.
#[test]
fn orders_once() {
    let _serial = SERIAL.lock();
    let mut fleet = Fleet::start("orders-once", &plan()).unwrap();
    fleet.services[0].control(json!({ "delay_ms": 150 }));
    let job = send_orders(&fleet, 200);
    let job = job.as_str();
    clock::sleep(Duration::from_millis(700));
    fleet.batches.iter_mut().for_each(|batch| batch.kill());
    clock::sleep(Duration::from_millis(200));
    let folder = fleet.folder.clone();
    fleet
        .batches
        .iter_mut()
        .for_each(|batch| batch.restart(&folder).unwrap());
    let shown = fleet.wait_job(0, job, WAIT_TIMEOUT);
    if shown["status"] != "completed" {
        fleet
            .batches
            .iter()
            .for_each(|batch| println!("{}", batch.page("/dump")["state"]));
    }
    assert_eq!(shown["status"], "completed", "{shown}");
    let counts = &shown["request_counts"];
    let number = |field: &str| counts[field].as_u64().unwrap();
    assert_eq!(number("completed") + number("failed"), 200);
    assert!(
        number("failed") > 0,
        "the kill came too early or too late: {counts}"
    );
    let executions = fleet.services[0].stats();
    let most = executions
        .as_object()
        .unwrap()
        .values()
        .map(|n| n.as_u64().unwrap())
        .max();
    assert_eq!(most, Some(1), "an order ran twice");
    let path = format!(
        "/v1/files/{}/content",
        shown["error_file_id"].as_str().unwrap()
    );
    let errors = fleet.ask(0, "GET", &path, "").unwrap().text();
    assert!(
        errors.lines().all(|line| line.contains("outcome_unknown")),
        "{errors}"
    );
}

// The VM that runs a call is killed while the service works on it, or the service's answer is lost.
// The client sends the call again to the other VMs and gets "outcome unknown"; the call runs once.
#[test]
fn renewal_once() {
    let _serial = SERIAL.lock();
    let mut fleet = Fleet::start(
        "renewal-once",
        &Plan {
            batch: false,
            ..plan()
        },
    )
    .unwrap();
    let call = |fleet: &Fleet, entry: usize, key: &str| {
        fleet.ask_with(
            entry,
            "POST",
            "/svc/registry/renew",
            &[("Idempotency-Key", key)],
            "{}",
        )
    };
    fleet.services[0].control(json!({ "lose_answers": 1 }));
    let lost = call(&fleet, 0, "renewal-lost").unwrap();
    assert_eq!(lost.status, 409, "{}", lost.text());
    assert!(lost.json()["type"]
        .as_str()
        .unwrap()
        .ends_with("outcome-unknown"));
    assert!(lost.json().get("not_run").is_none());
    for entry in 0..3 {
        assert_eq!(call(&fleet, entry, "renewal-lost").unwrap().status, 409);
    }
    fleet.services[0].control(json!({ "delay_ms": 600 }));
    let address = fleet.entries[0].address;
    let caller = std::thread::spawn(move || {
        let headers = [("Idempotency-Key", "renewal-killed")];
        let path = "/svc/registry/renew";
        bramleyseam::standin::fleet::call(address, "POST", path, "terrasse-key", &headers, b"{}")
    });
    clock::sleep(Duration::from_millis(300));
    fleet.entries[0].kill();
    assert!(caller.join().unwrap().is_err());
    for entry in [1, 2, 1] {
        let again = call(&fleet, entry, "renewal-killed").unwrap();
        assert_eq!(again.status, 409, "{}", again.text());
    }
    let redirected = json!({ "redirect": 1 });
    fleet.services[0].control(redirected);
    assert_eq!(call(&fleet, 1, "renewal-redirect").unwrap().status, 307);
    let executions = fleet.services[0].stats();
    let wanted = json!({ "renewal-lost": 1, "renewal-killed": 1, "renewal-redirect": 1 });
    assert_eq!(executions, wanted);
}

// Each VM in turn is drained and restarted while callers stream and a job runs. Callers send only
// to VMs that report ready, as behind a load balancer. No request fails, and each process exits
// with the code for "nothing was cut".
#[test]
fn rolling_restart() {
    let _serial = SERIAL.lock();
    let mut fleet = Fleet::start("rolling", &plan()).unwrap();
    let job = fleet.send_job(0, &chat_lines(400, 20)).unwrap();
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let addresses: Vec<_> = fleet.entries.iter().map(|entry| entry.address).collect();
    let callers: Vec<_> = (0..6)
        .map(|number| {
            let (stop, addresses) = (stop.clone(), addresses.clone());
            std::thread::spawn(move || balanced_calls(number, &addresses, &stop))
        })
        .collect();
    let folder = fleet.folder.clone();
    for at in 0..3 {
        fleet.batches[at].terminate();
        fleet.entries[at].terminate();
        assert_eq!(
            fleet.entries[at].wait_for_exit(WAIT_TIMEOUT),
            Some(0),
            "entry {at} cut requests"
        );
        assert_eq!(
            fleet.batches[at].wait_for_exit(WAIT_TIMEOUT),
            Some(0),
            "batch {at} cut items"
        );
        fleet.entries[at].restart(&folder).unwrap();
        fleet.batches[at].restart(&folder).unwrap();
        fleet.wait_ready(WAIT_TIMEOUT).unwrap();
    }
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    let done: u32 = callers
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .sum();
    assert!(done > 50, "{done} calls");
    assert_completed(&fleet, 0, &job, 400);
}

fn balanced_calls(
    number: usize,
    addresses: &[std::net::SocketAddr],
    stop: &std::sync::atomic::AtomicBool,
) -> u32 {
    use bramleyseam::standin::fleet::call;
    let mut done = 0;
    let mut at = number;
    while !stop.load(std::sync::atomic::Ordering::SeqCst) {
        at += 1;
        let address = addresses[at % addresses.len()];
        // A load balancer's health check is always recent here.
        let ready = call(address, "GET", "/readyz", "", &[], b"");
        if !ready.is_ok_and(|answer| answer.status == 200) {
            continue;
        }
        clock::sleep(Duration::from_millis(20));
        let body = bramleyseam::bench::load::chat(&format!("call {number} {done}"), 10, true);
        let answer = call(
            address,
            "POST",
            "/v1/chat/completions",
            "terrasse-key",
            &[],
            body.as_bytes(),
        );
        let answer = answer.unwrap();
        assert!(
            answer.status == 200 && !answer.cut,
            "{} {}",
            answer.status,
            answer.text()
        );
        assert!(answer.text().contains("[DONE]"));
        done += 1;
    }
    done
}

// Each batch process in turn is drained and restarted while items that must not be repeated wait,
// already recorded as started. None of their bytes was sent, so they are handed over as not
// started: all complete, none runs twice and none ends as unknown.
#[test]
fn orders_handed_over() {
    let _serial = SERIAL.lock();
    let mut fleet = Fleet::start("handed-over", &plan()).unwrap();
    fleet.services[0].control(json!({ "delay_ms": 100 }));
    let job = send_orders(&fleet, 150);
    clock::sleep(Duration::from_millis(500));
    let folder = fleet.folder.clone();
    for batch in &mut fleet.batches {
        batch.terminate();
        assert_eq!(batch.wait_for_exit(WAIT_TIMEOUT), Some(0));
        batch.restart(&folder).unwrap();
    }
    let shown = fleet.wait_job(0, &job, WAIT_TIMEOUT);
    let wanted = json!({ "total": 150, "completed": 150, "failed": 0 });
    assert_eq!(shown["request_counts"], wanted, "{shown}");
    let executions = fleet.services[0].stats();
    assert!(executions
        .as_object()
        .unwrap()
        .values()
        .all(|count| count == 1));
}

fn send_orders(fleet: &Fleet, count: usize) -> String {
    let line = |at| {
        let line = json!({
            "custom_id": format!("order-{at}"), "method": "POST",
            "url": "/svc/registry/order", "body": { "order": at },
        });
        format!("{line}\n")
    };
    let lines: String = (0..count).map(line).collect();
    let file = fleet.ask(0, "POST", "/v1/files", &lines).unwrap().json()["id"].clone();
    let body = json!({ "input_file_id": file, "endpoint": "/svc/registry" }).to_string();
    let job = fleet.ask(0, "POST", "/v1/batches", &body).unwrap().json()["id"].clone();
    job.as_str().unwrap().to_owned()
}
