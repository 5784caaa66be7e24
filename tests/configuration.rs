//! Configuration, tested with real processes and `bramleyctl`: it is validated and applied as a
//! whole, and a process never returns to an older version.

use std::fs;
use std::path::Path;
use std::process::{Command, Output};
use std::time::Duration;

use bramleyseam::clock;
use bramleyseam::config::{load, store, Kind, State};
use bramleyseam::standin::fleet::{Fleet, Plan};
use quickcheck::quickcheck;
use serde_json::{json, Value};
use strum::IntoEnumIterator;

const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

fn ctl(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bramleyctl"))
        .args(arguments)
        .output()
        .unwrap()
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&[output.stdout.clone(), output.stderr.clone()].concat()).into_owned()
}

fn change(folder: &Path, kind: &str, edit: impl FnOnce(&mut Value)) {
    let file = folder.join(format!("{kind}.json"));
    let mut rows: Value = serde_json::from_slice(&fs::read(&file).unwrap()).unwrap();
    edit(&mut rows);
    fs::write(&file, rows.to_string()).unwrap();
}

fn version(fleet: &Fleet, entry: usize) -> u64 {
    fleet.entries[entry].page("/dump")["vm"]["config"]
        .as_u64()
        .unwrap_or(0)
}

fn plan() -> Plan {
    Plan {
        failure_domains: 2,
        entries: 2,
        batch: false,
        ..Plan::default()
    }
}

// A folder with several faults is refused as a whole: each fault is reported with file, path, the
// value found and the allowed values, and nothing of the folder takes effect.
#[test]
fn faults_named() {
    let fleet = Fleet::start("faults", &plan()).unwrap();
    let folder = fleet.folder.join("config");
    let platform = fleet.platform.to_string();
    change(&folder, "services", |rows| {
        rows[0]["online_weight"] = json!(7)
    });
    change(&folder, "endpoints", |rows| {
        rows[0]["service"] = json!("nobody")
    });
    change(&folder, "shares", |rows| {
        rows[0]["online_share"] = json!(0.9)
    });
    let output = ctl(&["apply", "--platform", &platform, folder.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let printed = text(&output);
    for fault in [
        "services.json: $[0].online_weight: found 7; allowed: 0 to 1",
        "endpoints.json: $[0].service: found \"nobody\"; allowed: a name from services.json",
        "a sum of 1.400 for \"permit-desk\"; allowed: at most 1",
    ] {
        assert!(printed.contains(fault), "{printed}");
    }
    change(&folder, "services", |rows| rows[0]["colour"] = json!("red"));
    let output = ctl(&["validate", folder.to_str().unwrap()]);
    assert!(
        text(&output).contains("services.json: $[0].colour: found unknown field"),
        "{}",
        text(&output)
    );
    assert_eq!(version(&fleet, 0), 1);
}

// Two operators apply different folders based on the same version. One succeeds; the other one's
// output names the version in force, who applied it, and what its folder would change.
#[test]
fn racing_operators() {
    let fleet = Fleet::start("racing", &plan()).unwrap();
    let platform = fleet.platform.to_string();
    let folders: Vec<_> = ["anna", "bilal"]
        .iter()
        .enumerate()
        .map(|(at, name)| {
            let folder = fleet.folder.join(name);
            fs::create_dir(&folder).unwrap();
            for file in fs::read_dir(fleet.folder.join("config")).unwrap().flatten() {
                fs::copy(file.path(), folder.join(file.file_name())).unwrap();
            }
            change(&folder, "services", |rows| {
                rows[0]["queue_limit"] = json!(100 + at)
            });
            folder
        })
        .collect();
    let racers: Vec<_> = ["anna", "bilal"]
        .iter()
        .zip(&folders)
        .map(|(name, folder)| {
            let (platform, folder) = (platform.clone(), folder.display().to_string());
            let name = (*name).to_owned();
            std::thread::spawn(move || {
                ctl(&[
                    "apply",
                    "--base",
                    "1",
                    "--by",
                    &name,
                    "--platform",
                    &platform,
                    &folder,
                ])
            })
        })
        .collect();
    let outputs: Vec<Output> = racers
        .into_iter()
        .map(|racer| racer.join().unwrap())
        .collect();
    let mut codes: Vec<_> = outputs.iter().map(|output| output.status.code()).collect();
    let winner = codes.iter().position(|code| *code == Some(0)).unwrap();
    let lost = text(&outputs[1 - winner]);
    codes.sort();
    assert_eq!(codes, [Some(0), Some(3)], "{lost}");
    let name = ["anna", "bilal"][winner];
    assert!(
        lost.contains(&format!("version 2 by {name} stands")),
        "{lost}"
    );
    assert!(lost.contains("queue_limit: 10"), "{lost}");
}

// The platform's answer to the write of the head is lost. The command still reports success,
// because it finds its own nonce in the record.
#[test]
fn lost_apply() {
    let fleet = Fleet::start("lost-apply", &plan()).unwrap();
    let folder = fleet.folder.join("config");
    let (platform, folder) = (
        fleet.platform.to_string(),
        folder.to_str().unwrap().to_owned(),
    );
    fleet
        .platform_process()
        .control(json!({ "lose_answers": 1, "lose_prefix": "live/config" }));
    let mut arguments = vec!["apply", "--wait", "--platform", &platform];
    let addresses: Vec<String> = fleet
        .entries
        .iter()
        .map(|entry| entry.operators.unwrap().to_string())
        .collect();
    addresses
        .iter()
        .for_each(|address| arguments.extend(["--entry", address]));
    arguments.push(&folder);
    let output = ctl(&arguments);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    assert!(text(&output).contains("applied version 2"));
    assert!((0..4).all(|entry| version(&fleet, entry) == 2));
}

// A version is applied while one failure domain is cut off from the platform: it receives the
// version from the other one. Then the platform fails and VMs restart without data. They become
// ready only with the version that their peers have, and never with an older one.
#[test]
fn never_back() {
    let mut fleet = Fleet::start("never-back", &plan()).unwrap();
    let folder = fleet.folder.join("config");
    fleet.links[1].cut(true);
    fleet.apply(&folder).unwrap();
    let until = clock::now() + IN_FORCE_TIMEOUT;
    while (0..4).any(|entry| version(&fleet, entry) < 2) {
        assert!(clock::now() < until, "version 2 is not in force everywhere");
        clock::sleep(Duration::from_millis(50));
    }
    fleet.platform_process().control(json!({ "outage": true }));
    let fleet_folder = fleet.folder.clone();
    for entry in [0, 3] {
        fleet.entries[entry].kill();
        fleet.entries[entry].restart(&fleet_folder).unwrap();
        let until = clock::now() + IN_FORCE_TIMEOUT;
        loop {
            let dump = fleet.entries[entry].page("/dump");
            let ready = dump["ready"].get("Ok").is_some();
            let running_version = dump["vm"]["config"].as_u64().unwrap_or(0);
            assert!(
                !ready || running_version == 2,
                "ready with version {running_version}"
            );
            if ready {
                break;
            }
            assert!(clock::now() < until, "not ready: {}", dump["ready"]);
            clock::sleep(Duration::from_millis(20));
        }
    }
    fleet.platform_process().control(json!({}));
    fleet.links[1].cut(false);
    assert_eq!(fleet.apply(&folder).unwrap(), 3);
    let until = clock::now() + IN_FORCE_TIMEOUT;
    while (0..4).any(|entry| version(&fleet, entry) < 3) {
        assert!(clock::now() < until, "version 3 is not in force everywhere");
        clock::sleep(Duration::from_millis(50));
    }
}

// Four VMs in one failure domain are idle. Only two of them watch the platform, and the total reads
// stay at one per second, whatever the number of VMs.
#[test]
fn calls_at_rest() {
    let fleet = Fleet::start(
        "at-rest",
        &Plan {
            entries: 4,
            batch: false,
            ..Plan::default()
        },
    )
    .unwrap();
    // Waits until the last watch has ended of a VM that was a delegate before it knew the others.
    clock::sleep(Duration::from_secs(11));
    let post = |path| {
        bramleyseam::standin::fleet::call(fleet.platform, "POST", path, "", &[], b"").unwrap()
    };
    post("/control/reset");
    clock::sleep(Duration::from_secs(6));
    let calls = fleet.platform_process().stats();
    assert!(calls["waiting"].as_u64().unwrap() <= 2, "{calls}");
    assert!(calls["reads"].as_u64().unwrap() <= 7, "{calls}");
    // One VM renews the lease of orders every two seconds.
    assert!(calls["writes"].as_u64().unwrap() <= 4, "{calls}");
}

fn state(workspaces: u16) -> State {
    let rows = (0..workspaces).map(|at| {
        json!({ "name": format!("workspace-{at}-{}", "x".repeat(60)), "key_digests": ["0".repeat(64)] })
    });
    let rows: Vec<Value> = rows.collect();
    let empty = json!([]);
    let whole = json!({
        "services": empty, "models": empty, "adapters": empty, "versions": empty,
        "workspaces": rows, "shares": empty, "failure_domains": empty, "endpoints": empty,
    });
    serde_json::from_value(whole).unwrap()
}

quickcheck! {
    // The bodies of a state of any size stay below the limit and reassemble to the same state; a
    // modified body is detected.
    fn bodies_whole(size: u16) -> bool {
        let state = state(size % 20_000);
        let (bodies, mut contents) = store::bodies(&state).unwrap();
        let head = bramleyseam::config::Head {
            version: 1, nonce: 1, by: String::new(), at_ms: 0, bodies, ancestors: Vec::new(),
        };
        let fetch = |contents: &std::collections::BTreeMap<String, String>| {
            let contents = contents.clone();
            store::assemble(&head, move |digest| Ok(contents[digest].clone()))
        };
        let small = contents.values().all(|body| body.len() < 1024 * 1024);
        let same = fetch(&contents).unwrap() == state;
        let broken = contents.values_mut().next().unwrap();
        broken.push(' ');
        small && same && fetch(&contents).is_err() && head.bodies.len() == Kind::iter().count()
    }
}

// A misspelt file name is reported and not ignored silently.
#[test]
fn stranger_file() {
    let folder = std::env::temp_dir().join(format!("bramley-stranger-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    for file in fs::read_dir("demo/config").unwrap().flatten() {
        fs::copy(file.path(), folder.join(file.file_name())).unwrap();
    }
    assert!(load::read_folder(&folder).is_ok());
    fs::write(folder.join("workspace.json"), "[]").unwrap();
    let faults = load::read_folder(&folder).unwrap_err();
    assert_eq!(faults[0].file, "workspace.json");
    fs::remove_dir_all(&folder).unwrap();
}
