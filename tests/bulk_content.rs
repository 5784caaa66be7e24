//! Bulk content: copies in distinct failure domains, verified and repaired.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use bramleyseam::bulk::store::Store;
use bramleyseam::clock;
use bramleyseam::id;
use bramleyseam::standin::fleet::{chat_lines, Fleet, Plan};
use quickcheck::quickcheck;
use serde_json::{json, Value};

const JOB_TIMEOUT: Duration = Duration::from_secs(60);

fn plan() -> Plan {
    let behaviour = json!({ "slots": 64, "step_us": 1_000, "step_us_per_request": 10 });
    let service = json!({ "initial_limit": 64, "online_weight": 0.0 });
    Plan {
        failure_domains: 2,
        engines: 2,
        bulk: true,
        behaviour,
        service,
        ..Plan::default()
    }
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("bramley-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    folder
}

fn piece_count(fleet: &Fleet, bulk: usize) -> u64 {
    fleet.bulks[bulk].page("/dump")["pieces"]
        .as_u64()
        .unwrap_or(0)
}

/// Submits a job whose input and results are too large to be stored inline.
fn large_job(fleet: &Fleet) -> (String, usize) {
    let lines = chat_lines(5_000, 2);
    assert!(lines.len() > 700_000);
    (fleet.send_job(0, &lines).unwrap(), 5_000)
}

// The input and results of a large job are stored on two disks in two failure domains. One VM with
// a disk is killed while the job runs and restarted: the job completes, and every line of its
// output can be read with the other disk gone.
#[test]
fn disk_vm_killed() {
    let mut fleet = Fleet::start("disk-killed", &plan()).unwrap();
    let (job, items) = large_job(&fleet);
    assert!(piece_count(&fleet, 0) >= 16 && piece_count(&fleet, 1) >= 16);
    fleet.bulks[1].kill();
    clock::sleep(Duration::from_millis(500));
    let folder = fleet.folder.clone();
    // Results count only once they have two copies.
    fleet.bulks[1].restart(&folder).unwrap();
    let batch = fleet.wait_job(0, &job, JOB_TIMEOUT);
    assert_eq!(batch["request_counts"]["completed"], items, "{batch}");
    fleet.bulks[0].kill();
    let path = format!(
        "/v1/files/{}/content",
        batch["output_file_id"].as_str().unwrap()
    );
    let answer = fleet.ask(0, "GET", &path, "").unwrap();
    assert!(!answer.cut);
    let ids: std::collections::HashSet<String> = answer
        .text()
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).unwrap()["custom_id"].to_string())
        .collect();
    assert_eq!(ids.len(), items);
}

// A VM with a disk is replaced by an empty one. The other VM detects that each piece has only one
// copy and creates the second one again.
#[test]
fn disk_lost() {
    let mut fleet = Fleet::start("disk-lost", &plan()).unwrap();
    large_job(&fleet);
    let before = piece_count(&fleet, 0);
    fleet.bulks[1].kill();
    fs::remove_dir_all(fleet.folder.join("vm-1-0-data")).unwrap();
    let folder = fleet.folder.clone();
    fleet.bulks[1].restart(&folder).unwrap();
    let until = clock::now() + Duration::from_secs(20);
    while piece_count(&fleet, 1) < before {
        assert!(
            clock::now() < until,
            "{} of {before} copies",
            piece_count(&fleet, 1)
        );
        clock::sleep(Duration::from_millis(100));
    }
}

// Only one failure domain has a reachable disk, so two copies can't be made: the file is refused as
// not run, with the number of copies that could be made.
#[test]
fn too_few_disks() {
    let mut fleet = Fleet::start("few-disks", &plan()).unwrap();
    fleet.bulks[0].kill();
    let answer = fleet
        .ask(0, "POST", "/v1/files", &chat_lines(5_000, 2))
        .unwrap();
    assert_eq!(answer.status, 503, "{}", answer.text());
    assert_eq!(answer.json()["not_run"], true);
    assert!(answer.text().contains("1 of 2 copies"), "{}", answer.text());
}

// One piece is damaged on the disk, and the process died while it wrote another. The damaged piece
// is not returned and is removed; the partial one is gone after a restart.
#[test]
fn damage_noticed() {
    let folder = folder("damage");
    let store = Store::open(&folder, 1_000_000).unwrap();
    let digest = id::digest(b"content");
    store.put(&digest, b"content").unwrap();
    assert!(store.put(&digest, b"other").is_err());
    fs::write(folder.join(&digest), b"c0ntent").unwrap();
    assert!(store.get(&digest).is_none());
    assert!(!store.has(&digest));
    store.put(&digest, b"content").unwrap();
    fs::write(folder.join(format!("{digest}.7.part")), b"half").unwrap();
    let reopened = Store::open(&folder, 1_000_000).unwrap();
    assert_eq!(reopened.get(&digest).unwrap(), &b"content"[..]);
    assert_eq!(fs::read_dir(&folder).unwrap().count(), 1);
    fs::remove_dir_all(&folder).unwrap();
}

quickcheck! {
    // Stored content is returned unchanged; a full disk refuses new content and loses nothing.
    fn pieces_kept(contents: Vec<Vec<u8>>) -> bool {
        let folder = folder("kept");
        let store = Store::open(&folder, 300).unwrap();
        let stored: Vec<&Vec<u8>> = contents
            .iter()
            .take(12)
            .filter(|content| store.put(&id::digest(content), content).is_ok())
            .collect();
        let same = stored.iter().all(|content| {
            store.get(&id::digest(content)).is_some_and(|found| found == content.as_slice())
        });
        let _ = fs::remove_dir_all(&folder);
        same && store.bytes() <= 300
    }
}
