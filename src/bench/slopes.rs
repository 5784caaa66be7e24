//! `slopes`: costs of each part as the system grows, for docs/CAPACITY.md.

use std::collections::HashMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde_json::{json, Value};
use strum::IntoEnumIterator;

use super::load::{self, ScheduledRequest};
use super::BenchResult;
use crate::batch::items;
use crate::clock;
use crate::config::{diff, store, State, Versioned};
use crate::decide::batch::place::{BatchPeers, ServiceWorkers};
use crate::decide::batch::{Action, AttemptEnd, Batch, Event, ItemWork, JobView, PlannedItem};
use crate::decide::commit::WriteOutcome;
use crate::decide::endpoints::{EndpointReport, Endpoints};
use crate::decide::fleet::{self, Fleet as FleetTable};
use crate::decide::jobs::{ContentLocation, JobState, ResultSegment, Segment};
use crate::decide::members::VmStatus;
use crate::decide::routing::{choose, Policy, RouteQuery};
use crate::entry::config_index::ConfigIndex as EntryPlan;
use crate::id;
use crate::metrics::resident_bytes;
use crate::standin::fleet::{call, chat_lines, Fleet, Plan, KEYS};
use crate::standin::table::endpoint_configs;
use crate::wire::{Datagram, Key, PeerReply};

const RUNS: usize = 3;
const SERVICE: u64 = 1;
/// Bytes of IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// The subcommand and its arguments.
pub fn usage() -> Command {
    let out = Arg::new("out")
        .long("out")
        .default_value("docs/figures/slopes.json")
        .value_parser(clap::value_parser!(PathBuf))
        .help("File for the figures");
    Command::new("slopes")
        .about("Costs against sizes, as JSON")
        .arg(out)
}

/// Repeats a measurement; returns the median, the least and the greatest value.
fn measure_repeatedly(mut measure: impl FnMut() -> f64) -> Value {
    let mut values: Vec<f64> = (0..RUNS).map(|_| measure()).collect();
    values.sort_by(f64::total_cmp);
    json!({ "median": values[RUNS / 2], "least": values[0], "most": values[RUNS - 1] })
}

fn table(count: usize, domains: usize) -> Endpoints {
    let mut table = Endpoints::default();
    table.configure(endpoint_configs(count, SERVICE, 16.0, move |at| {
        (at % domains) as u64
    }));
    for (at, row) in table.rows.iter_mut().enumerate() {
        row.online_elsewhere = (at % 12) as u32;
        row.apply_report(
            Duration::ZERO,
            EndpointReport {
                incarnation: 1,
                ..EndpointReport::default()
            },
        );
    }
    table
}

fn routing() -> Value {
    let mut rows = Vec::new();
    for endpoints in [8, 66, 264, 1056, 1900] {
        let table = table(endpoints, 1);
        for policy in Policy::iter() {
            let mut rng = SmallRng::seed_from_u64(1);
            let ns = measure_repeatedly(|| {
                let rounds = 200_000 / endpoints as u64 + 200;
                let start = clock::now();
                for round in 0..rounds {
                    let query = RouteQuery {
                        service: SERVICE,
                        prefix: round | 1,
                        avoid: None,
                        software: None,
                    };
                    let now = Duration::from_secs(1);
                    let _ = black_box(choose(&table, 0, query, policy, now, &mut rng));
                }
                clock::now().saturating_sub(start).as_nanos() as f64 / rounds as f64
            });
            let name: &'static str = policy.into();
            rows.push(json!({ "endpoints": endpoints, "policy": name, "ns": ns }));
        }
    }
    json!(rows)
}

fn vm_status(at: usize, domains: usize) -> VmStatus {
    let name = format!("vm-{at}");
    let address = SocketAddr::from(([10, 0, (at / 250) as u8, (at % 250) as u8], 7000));
    VmStatus {
        vm: id::of(&name),
        name: name.into(),
        domain: (at % domains) as u64,
        gossip_address: address,
        peer_address: address,
        incarnation: 1_796_000_000_000,
        leaving: false,
        batch: at as u64 + 1,
        config: 1,
        jobs: 1,
    }
}

#[derive(Clone, Default)]
struct Cost {
    sent_bytes: usize,
    datagrams: u64,
    spent: Duration,
}

/// Bytes per second that one VM sends, and its processor time, receiving all heartbeats included.
fn heartbeats(vms: usize, endpoints: usize, domains: usize) -> Value {
    const SECONDS: u64 = 60;
    const TICK: Duration = Duration::from_millis(20);
    let key = Key::new("a secret for benchmarks");
    let statuses: Vec<VmStatus> = (0..vms * domains)
        .map(|at| vm_status(at, domains))
        .collect();
    let mut tables: Vec<(FleetTable, Endpoints)> = statuses
        .iter()
        .map(|status| {
            let mut table = FleetTable::new(status.clone());
            table.members.apply_vm_list(status, statuses.clone());
            (table, table_of(endpoints, domains))
        })
        .collect();
    let by_address: HashMap<SocketAddr, usize> = statuses
        .iter()
        .enumerate()
        .map(|(at, status)| (status.gossip_address, at))
        .collect();
    // Delegates send and receive more than other VMs, so the maximum over all VMs is reported.
    let mut costs = vec![Cost::default(); tables.len()];
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(SECONDS) {
        now += TICK;
        let mut datagrams = Vec::new();
        for (at, (table, endpoints)) in tables.iter_mut().enumerate() {
            let mut out = Vec::new();
            let start = clock::now();
            // One endpoint in ten changes its use each second.
            let rows = endpoints.rows.len();
            let tick_number = (now.as_millis() / 20) as usize;
            if tick_number.is_multiple_of(5) && rows > 0 {
                endpoints.rows[tick_number / 5 % rows].online_here ^= 1;
            }
            table.tick(now, endpoints, &mut out);
            for action in out {
                match action {
                    fleet::Action::Send { to, heartbeat } => {
                        let sealed = key.seal(&Datagram::Heartbeat(heartbeat));
                        let Ok(sealed) = sealed else { continue };
                        costs[at].sent_bytes += sealed.len() + HEADER_BYTES;
                        costs[at].datagrams += 1;
                        datagrams.push((to, sealed));
                    }
                    fleet::Action::Poll { endpoint } => {
                        let report = EndpointReport {
                            incarnation: 1,
                            ..EndpointReport::default()
                        };
                        table.apply_endpoint_report(now, endpoint, report, endpoints);
                    }
                    _ => {}
                }
            }
            costs[at].spent += clock::now().saturating_sub(start);
        }
        for (to, sealed) in datagrams {
            let Some(at) = by_address.get(&to).copied() else {
                continue;
            };
            let start = clock::now();
            let (table, endpoints) = &mut tables[at];
            if let Ok(Datagram::Heartbeat(heartbeat)) = key.open(&sealed) {
                table.apply_heartbeat(now, heartbeat, endpoints, &mut Vec::new());
            }
            costs[at].spent += clock::now().saturating_sub(start);
        }
    }
    let bytes = costs.iter().map(|cost| cost.sent_bytes).max().unwrap_or(0);
    let datagrams = costs.iter().map(|cost| cost.datagrams).max().unwrap_or(0);
    let spent = costs
        .iter()
        .map(|cost| cost.spent)
        .max()
        .unwrap_or_default();
    json!({
        "vms_in_domain": vms,
        "endpoints_in_domain": endpoints,
        "domains": domains,
        "sent_bytes_per_s": bytes as f64 / SECONDS as f64,
        "datagrams_per_s": datagrams as f64 / SECONDS as f64,
        "core_percent": spent.as_secs_f64() / SECONDS as f64 * 100.0,
    })
}

fn table_of(endpoints: usize, domains: usize) -> Endpoints {
    table(endpoints * domains, domains)
}

fn state(workspaces: usize, endpoints: usize) -> State {
    let digest = |at: usize| id::digest(format!("key {at}").as_bytes());
    let rows: Vec<Value> = (0..workspaces)
        .map(|at| json!({ "name": format!("workspace-{at}"), "key_digests": [digest(at)] }))
        .collect();
    let shares: Vec<Value> = (0..workspaces)
        .map(|at| {
            let share = 1.0 / workspaces as f64;
            json!({
                "workspace": format!("workspace-{at}"), "service": "permit-desk",
                "online_share": share, "batch_share": share,
            })
        })
        .collect();
    let endpoints: Vec<Value> = (0..endpoints)
        .map(|at| {
            json!({
                "name": format!("endpoint-{at}"), "failure_domain": "fd-0",
                "service": "permit-desk",
                "address": format!("10.0.{}.{}:9000", at / 250, at % 250),
            })
        })
        .collect();
    let whole = json!({
        "services": [{
            "name": "permit-desk", "kind": "model", "models": ["permit-7b"], "fencing": "checked",
            "idempotent": true, "deadline_ms": 20_000, "first_token_ms": 580,
        }],
        "models": [{ "name": "permit-7b", "weights": "w", "bytes": 1 }],
        "adapters": [], "versions": [],
        "workspaces": rows, "shares": shares,
        "failure_domains": [{ "name": "fd-0", "region": "r" }], "endpoints": endpoints,
    });
    serde_json::from_value(whole).unwrap_or_default()
}

fn millis(work: impl FnOnce()) -> f64 {
    let start = clock::now();
    work();
    clock::now().saturating_sub(start).as_secs_f64() * 1000.0
}

fn configuration() -> Result<Value, store::Error> {
    let mut rows = Vec::new();
    for workspaces in [100, 400, 800, 1500, 3000] {
        let state = state(workspaces, 1900);
        let (bodies, contents) = store::bodies(&state)?;
        let bytes: usize = contents.values().map(String::len).sum();
        let head = crate::config::Head {
            version: 2,
            nonce: 1,
            by: "bench".into(),
            at_ms: 0,
            bodies,
            ancestors: Vec::new(),
        };
        let versioned = Versioned {
            head,
            state: state.clone(),
        };
        let key = Key::new("a secret for benchmarks");
        let reply = PeerReply::Config(Some(Box::new(versioned.clone())));
        let sealed = key.seal(&reply).map_or(0, |sealed| sealed.len());
        let mut changed = state.clone();
        changed.workspaces.truncate(workspaces - 1);
        rows.push(json!({
            "workspaces": workspaces,
            "endpoints": 1900,
            "body_bytes": bytes,
            "frame_bytes": sealed,
            "check_ms": measure_repeatedly(|| millis(|| drop(crate::config::check::state(&state)))),
            "diff_ms": measure_repeatedly(|| millis(|| drop(diff::states(&state, &changed)))),
            "adopt_ms": measure_repeatedly(|| {
                let versioned = std::sync::Arc::new(versioned.clone());
                millis(|| {
                    let plan = EntryPlan::new(versioned);
                    let mut table = Endpoints::default();
                    table.configure(plan.endpoints());
                    black_box(plan.services());
                })
            }),
        }));
    }
    Ok(json!(rows))
}

/// Resident bytes that `make` adds, per each of `count` objects.
fn bytes_each<T>(count: usize, make: impl FnOnce() -> T) -> f64 {
    let pid = std::process::id();
    let before = resident_bytes(pid);
    let object = make();
    let after = resident_bytes(pid);
    // Freed memory would be reused by the next measurement, which would then see no increase.
    std::mem::forget(black_box(object));
    after.saturating_sub(before) as f64 / count as f64
}

fn memory() -> Value {
    let content: bytes::Bytes = chat_lines(4096, 16).into();
    let one = state(1, 1);
    let item = bytes_each(4096, || items::parse_chunk(content.clone(), &one));
    let mut rows = Vec::new();
    for count in [10_000, 20_000, 40_000, 80_000] {
        rows.push(json!({
            "count": count,
            "bytes_a_job": bytes_each(count, || {
                let mut batch = Batch::new(1, SmallRng::seed_from_u64(1));
                let views = (0..count).map(|at| job_view(&format!("batch_{at:032}"), 16)).collect();
                batch.handle(Duration::ZERO, Event::Jobs(views), &mut Vec::new());
                batch
            }),
            "bytes_an_endpoint": bytes_each(count, || table(count, 29)),
            "bytes_a_workspace": bytes_each(count, || {
                let state = state(count, 0);
                let head = crate::config::Head {
                    version: 1, nonce: 1, by: String::new(), at_ms: 0,
                    bodies: Vec::new(), ancestors: Vec::new(),
                };
                EntryPlan::new(std::sync::Arc::new(Versioned { head, state }))
            }),
        }));
    }
    json!({ "tables": rows, "bytes_an_item_in_hand": item, "line_bytes": content.len() / 4096 })
}

fn job_view(job: &str, chunks: u32) -> JobView {
    JobView {
        id: job.into(),
        workspace: "workspace-1".into(),
        services: vec![SERVICE],
        chunks,
        state: JobState::InProgress,
        deadline: Duration::from_secs(86_400),
    }
}

/// Processor time per item of the batch decision functions, with every action answered at once.
fn batch_decisions(jobs: usize, window: u32) -> Value {
    const ITEMS: usize = 4096;
    let mut batch = Batch::new(1, SmallRng::seed_from_u64(1));
    let mut now = Duration::from_secs(1);
    let views = (0..jobs)
        .map(|at| job_view(&format!("batch_{at:032}"), 4))
        .collect();
    let peers = BatchPeers {
        local_vm: 1,
        local_domain: 1,
        vms: vec![1],
        owners: vec![1],
        workers: vec![ServiceWorkers {
            service: SERVICE,
            vms: vec![1],
            domains: vec![1],
        }],
    };
    let mut pending = vec![Event::Peers(peers), Event::Jobs(views)];
    pending.push(Event::Windows(
        (0..6).map(|at| (at, SERVICE, window)).collect(),
    ));
    let planned = PlannedItem {
        custom_id: bytes::Bytes::from_static(b"\"item\""),
        work: ItemWork::Run {
            service: SERVICE,
            idempotent: true,
        },
    };
    let (mut done, mut spent) = (0u64, Duration::ZERO);
    let mut revision = 0;
    let all = (jobs * 4 * ITEMS) as u64;
    while done < all.min(20_000) {
        now += Duration::from_millis(1);
        let mut out = Vec::new();
        let start = clock::now();
        for event in pending.drain(..) {
            batch.handle(now, event, &mut out);
        }
        batch.tick(now, &mut out);
        spent += clock::now().saturating_sub(start);
        for action in out {
            revision += 1;
            match action {
                Action::Write { key, run, .. } => {
                    let answer = WriteOutcome::Won(revision);
                    pending.push(Event::Written { key, run, answer });
                }
                Action::Read { key, run } => {
                    pending.push(Event::Read {
                        key,
                        run,
                        found: Some(None),
                    });
                }
                Action::Load { key, run } => {
                    let items = vec![planned.clone(); ITEMS];
                    pending.push(Event::Loaded { key, run, items });
                }
                Action::Store { key, run, .. } => {
                    let segment = Segment {
                        digest: "0".repeat(64),
                        bytes: 1,
                        lines: 1,
                        place: ContentLocation::Inline,
                    };
                    let segments = vec![ResultSegment {
                        segment,
                        errors: false,
                    }];
                    pending.push(Event::Stored { key, run, segments });
                }
                Action::Start {
                    attempt: flight, ..
                } => {
                    done += 1;
                    let end = AttemptEnd::Done(bytes::Bytes::from_static(b"{}"));
                    pending.push(Event::Ended {
                        attempt: flight,
                        end,
                    });
                }
                Action::Cancel { .. } | Action::Finish { .. } => {}
            }
        }
    }
    json!({
        "jobs": jobs,
        "window": window * 6,
        "us_an_item": spent.as_secs_f64() * 1e6 / done as f64,
        "writes_for_4096_items": batch.totals.writes as f64 * 4096.0 / done as f64,
    })
}

fn batch() -> Value {
    let mut rows = Vec::new();
    for jobs in [1, 10, 50, 200] {
        rows.push(batch_decisions(jobs, 16));
    }
    for window in [4, 32, 64] {
        rows.push(batch_decisions(10, window));
    }
    json!(rows)
}

fn processor_ms(fleet: &Fleet) -> f64 {
    let dump = fleet.entries[0].page("/dump");
    dump["processor_ms"].as_f64().unwrap_or(0.0)
}

/// Processor time of the entry process as a function of tokens per second.
fn streams() -> Result<Value, Box<dyn std::error::Error>> {
    let behaviour = json!({ "slots": 256, "step_us": 20_000, "step_us_per_request": 0 });
    let service = json!({ "initial_limit": 256, "queue_limit": 1000 });
    let plan = Plan {
        engines: 4,
        batch: false,
        behaviour,
        service,
        ..Plan::default()
    };
    let fleet = Fleet::start("slope-streams", &plan)?;
    let mut rows = Vec::new();
    for callers in [10, 20, 40, 80, 160] {
        let requests = (0..callers).map(|at| ScheduledRequest {
            at: Duration::from_millis(at as u64 * 3),
            target: fleet.entries[0].address,
            key: KEYS[0].1.into(),
            body: load::chat(&format!("stream {at}"), 200, true),
            stream: true,
            attempt: String::new(),
        });
        let (before_ms, start) = (processor_ms(&fleet), clock::now());
        let samples = load::run(requests.collect(), callers);
        let took_s = clock::now().saturating_sub(start).as_secs_f64();
        let spent_ms = processor_ms(&fleet) - before_ms;
        let tokens = samples.iter().filter(|sample| sample.complete).count() as f64 * 200.0;
        rows.push(json!({
            "callers": callers,
            "tokens_per_s": tokens / took_s,
            "core_percent": spent_ms / 10.0 / took_s,
            "us_a_token": spent_ms * 1000.0 / tokens,
        }));
    }
    Ok(json!(rows))
}

/// Intent writes to the store as a function of requests per second.
fn intents() -> Result<Value, Box<dyn std::error::Error>> {
    const SECONDS: f64 = 4.0;
    const CALLERS: usize = 48;
    let plan = Plan {
        entries: 2,
        batch: false,
        ..Plan::default()
    };
    let fleet = Fleet::start("slope-intents", &plan)?;
    let mut rows = Vec::new();
    for rate in [25, 50, 100, 250, 500] {
        call(fleet.platform, "POST", "/control/reset", "", &[], b"")?;
        let before_ms = processor_ms(&fleet);
        let targets: Vec<SocketAddr> = fleet.entries.iter().map(|entry| entry.address).collect();
        let start = clock::now();
        let workers: Vec<_> = (0..CALLERS)
            .map(|worker| {
                let targets = targets.clone();
                let gap = Duration::from_secs_f64(CALLERS as f64 / f64::from(rate));
                thread::spawn(move || order_calls(worker, rate, &targets, start, gap, SECONDS))
            })
            .collect();
        let good: usize = workers
            .into_iter()
            .filter_map(|worker| worker.join().ok())
            .sum();
        let took_s = clock::now().saturating_sub(start).as_secs_f64();
        let calls = fleet.platform_process().stats();
        let writes = calls["writes_by_prefix"]["intent"].as_f64().unwrap_or(0.0);
        rows.push(json!({
            "asked_per_s": rate,
            "done_per_s": good as f64 / took_s,
            "writes_a_request": writes / good.max(1) as f64,
            "entry_core_percent": (processor_ms(&fleet) - before_ms) / 10.0 / took_s,
        }));
    }
    Ok(json!(rows))
}

fn order_calls(
    worker: usize,
    rate: u32,
    targets: &[SocketAddr],
    start: Duration,
    gap: Duration,
    seconds: f64,
) -> usize {
    let agent = ureq::AgentBuilder::new().build();
    let mut good = 0;
    let count = (seconds / gap.as_secs_f64()) as u32;
    for at in 0..count {
        let due = start + gap * at + gap.mul_f64(worker as f64 / 48.0);
        clock::sleep(due.saturating_sub(clock::now()));
        let url = format!(
            "http://{}/svc/registry/renew",
            targets[worker % targets.len()]
        );
        let sent = agent
            .post(&url)
            .set("Authorization", &format!("Bearer {}", KEYS[0].1))
            .set("Idempotency-Key", &format!("{rate}-{worker}-{at}"))
            .send_string("{}");
        good += usize::from(sent.is_ok());
    }
    good
}

/// Runs all measurements, prints the figures and writes them to the file.
pub fn run(matches: &ArgMatches) -> BenchResult {
    let mut heartbeat_rows = Vec::new();
    for (vms, endpoints, domains) in [
        (3, 4, 1),
        (6, 33, 1),
        (12, 66, 1),
        (12, 132, 1),
        (24, 66, 1),
        (3, 66, 4),
        (3, 66, 8),
        (12, 66, 29),
    ] {
        heartbeat_rows.push(heartbeats(vms, endpoints, domains));
    }
    let report = json!({
        "memory": memory(),
        "routing": routing(),
        "heartbeats": heartbeat_rows,
        "configuration": configuration()?,
        "batch": batch(),
        "streams": streams()?,
        "intents": intents()?,
    });
    let text = serde_json::to_string_pretty(&report)?;
    if let Some(out) = matches.get_one::<PathBuf>("out") {
        if let Some(folder) = out.parent() {
            std::fs::create_dir_all(folder)?;
        }
        std::fs::write(out, &text)?;
    }
    println!("{text}");
    Ok(())
}
