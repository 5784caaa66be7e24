//! Starts a small fleet on loopback, each VM and stand-in as a process of its own, for tests,
//! benchmarks and the demo.

pub mod answer;
pub mod process;

use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};

pub use self::answer::{call, Answer};
use self::process::start_standin;
pub use self::process::Process;
use super::relay::Relay;
use crate::clock;
use crate::config::{load, store};
use crate::id;
use crate::platform::Platform;

const CLUSTER_KEY: &str = "a secret for tests on loopback only";
/// Environment variable; when set, the fleet's folder with settings and logs is not deleted at the
/// end.
const KEEP_FOLDER_VARIABLE: &str = "BRAMLEY_KEEP";
const START_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(25);
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
const FIRST_PORT: u16 = 10_000;
const PORT_COUNT: u16 = 20_000;

/// Which processes a [`Fleet`] starts, and with which settings.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of failure domains; the counts below are per failure domain.
    pub failure_domains: usize,
    pub entries: usize,
    pub engines: usize,
    /// JSON object of the engines' [`Behaviour`](super::engine::Behaviour).
    pub behaviour: Value,
    /// Whether the first entry VM of each failure domain gets a bulk process.
    pub bulk: bool,
    /// Whether each entry VM gets a batch process.
    pub batch: bool,
    /// Fields that override those of the service `permit-desk`.
    pub service: Value,
    /// Fields that override those of the entry VMs' settings.
    pub entry: Value,
    /// Folder with the configuration to use; a default one is written when it is `None`. Endpoints
    /// and failure domains are always those of this fleet.
    pub config: Option<PathBuf>,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            failure_domains: 1,
            entries: 1,
            engines: 1,
            behaviour: json!({}),
            bulk: false,
            batch: true,
            service: json!({}),
            entry: json!({}),
            config: None,
        }
    }
}

/// A running fleet. Dropping it kills all its processes.
pub struct Fleet {
    pub folder: PathBuf,
    pub platform: SocketAddr,
    pub entries: Vec<Process>,
    pub batches: Vec<Process>,
    pub engines: Vec<Process>,
    pub bulks: Vec<Process>,
    pub services: Vec<Process>,
    /// The link of each failure domain to the platform.
    pub links: Vec<Relay>,
    platform_process: Process,
}

/// Names and keys of the two workspaces.
pub const KEYS: [(&str, &str); 2] = [
    ("terrasse", "terrasse-key"),
    ("deck-works", "deck-works-key"),
];

/// Returns a loopback address whose port is free for both TCP and UDP. Each process uses an IP address
/// of its own, so that fleets of tests that run at the same time never compete for a port.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    // Process ids have at most 22 bits.
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let host = [127, 64 | high, middle, low];
    loop {
        let number = NEXT.fetch_add(1, Ordering::SeqCst) % PORT_COUNT;
        let address = SocketAddr::from((host, FIRST_PORT + number));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Replaces top-level fields of `base` by those of `overrides`.
fn merge(base: Value, overrides: &Value) -> Value {
    let mut base = base;
    for (field, value) in overrides.as_object().into_iter().flatten() {
        base[field] = value.clone();
    }
    base
}

impl Fleet {
    /// Starts all processes and waits until all entry VMs are ready.
    pub fn start(name: &str, plan: &Plan) -> io::Result<Fleet> {
        let folder =
            std::env::temp_dir().join(format!("bramleyseam-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder)?;
        let platform_process = start_standin("platform", 0, &["platform"])?;
        let platform = platform_process.address;
        let mut fleet = Fleet {
            folder,
            platform,
            entries: Vec::new(),
            batches: Vec::new(),
            engines: Vec::new(),
            bulks: Vec::new(),
            services: Vec::new(),
            links: Vec::new(),
            platform_process,
        };
        fleet.start_standins(plan)?;
        let config = fleet.write_config(plan)?;
        fleet.apply(&config)?;
        fleet.start_vms(plan)?;
        fleet.wait_ready(START_TIMEOUT)?;
        Ok(fleet)
    }

    fn start_standins(&mut self, plan: &Plan) -> io::Result<()> {
        let behaviour = plan.behaviour.to_string();
        for domain in 0..plan.failure_domains {
            self.links.push(Relay::start(self.platform)?);
            for engine in 0..plan.engines {
                let name = format!("engine-{domain}-{engine}");
                let arguments = ["engine", "--behaviour", &behaviour];
                self.engines.push(start_standin(&name, domain, &arguments)?);
            }
        }
        self.services
            .push(start_standin("registry-1", 0, &["service"])?);
        Ok(())
    }

    /// Writes the configuration with the addresses of this fleet's engines and services; returns
    /// its folder.
    pub fn write_config(&self, plan: &Plan) -> io::Result<PathBuf> {
        let target = self.folder.join("config");
        fs::create_dir_all(&target)?;
        let mut endpoints = Vec::new();
        for engine in &self.engines {
            endpoints.push(json!({
                "name": engine.name,
                "failure_domain": format!("fd-{}", engine.failure_domain),
                "service": "permit-desk",
                "address": engine.address.to_string(),
            }));
        }
        for service in &self.services {
            endpoints.push(json!({
                "name": service.name,
                "failure_domain": "fd-0",
                "service": "registry",
                "address": service.address.to_string(),
            }));
        }
        let write = |kind: &str, rows: Value| {
            fs::write(target.join(format!("{kind}.json")), rows.to_string())
        };
        write("endpoints", json!(endpoints))?;
        let domains: Vec<Value> = (0..plan.failure_domains)
            .map(|domain| json!({ "name": format!("fd-{domain}"), "region": "port-louis" }))
            .collect();
        write("failure_domains", json!(domains))?;
        if let Some(source) = &plan.config {
            let kinds = [
                "services",
                "models",
                "adapters",
                "versions",
                "workspaces",
                "shares",
            ];
            for kind in kinds {
                let file = format!("{kind}.json");
                fs::copy(source.join(&file), target.join(&file))?;
            }
            return Ok(target);
        }
        let desk = json!({
            "name": "permit-desk", "kind": "model", "models": ["permit-7b"],
            "fencing": "checked", "idempotent": true,
            "deadline_ms": 20_000, "first_token_ms": 580,
        });
        let registry = json!({
            "name": "registry", "kind": "plain", "fencing": "ignored", "idempotent": false,
            "deadline_ms": 3_000, "first_token_ms": 1_000, "initial_limit": 32,
        });
        write("services", json!([merge(desk, &plan.service), registry]))?;
        write(
            "models",
            json!([{ "name": "permit-7b", "weights": "w/permit-7b", "bytes": 1 }]),
        )?;
        write("adapters", json!([]))?;
        write(
            "versions",
            json!([{ "model": "permit-7b", "version": "1" }]),
        )?;
        let workspaces: Vec<Value> = KEYS
            .iter()
            .map(|(name, key)| json!({ "name": name, "key_digests": [id::digest(key.as_bytes())] }))
            .collect();
        write("workspaces", json!(workspaces))?;
        let shares: Vec<Value> = KEYS
            .iter()
            .flat_map(|(name, _)| {
                ["permit-desk", "registry"].map(|service| {
                    json!({
                        "workspace": name, "service": service,
                        "online_share": 0.5, "batch_share": 0.5,
                    })
                })
            })
            .collect();
        write("shares", json!(shares))?;
        Ok(target)
    }

    /// Applies a configuration folder, as `bramleyctl apply` does; returns the version applied.
    pub fn apply(&self, folder: &Path) -> io::Result<u64> {
        let state = load::read_folder(folder)
            .map_err(|faults| io::Error::other(format!("{:?}", faults)))?;
        let platform = Platform::new(&self.platform.to_string(), Duration::from_secs(2));
        let base = store::read_head(&platform).map_err(io::Error::other)?;
        let applied = store::apply(&platform, base, &state, "test", Duration::from_secs(5));
        match applied.map_err(io::Error::other)? {
            store::ApplyOutcome::Won(head) => Ok(head.version),
            store::ApplyOutcome::Lost(_) => {
                Err(io::Error::other("another version was applied meanwhile"))
            }
        }
    }

    fn start_vms(&mut self, plan: &Plan) -> io::Result<()> {
        let mut bulk = Vec::new();
        let mut vms = Vec::new();
        let mut settings = Vec::new();
        for domain in 0..plan.failure_domains {
            for entry in 0..plan.entries {
                let name = format!("vm-{domain}-{entry}");
                // For gossip, peers, local calls, operators, callers, bulk peers, batch operators.
                let addresses: Vec<SocketAddr> = (0..7).map(|_| free_address()).collect();
                if plan.bulk && entry == 0 {
                    bulk.push(json!({
                        "name": name,
                        "failure_domain": format!("fd-{domain}"),
                        "address": addresses[5],
                    }));
                }
                vms.push(json!({
                    "name": name,
                    "failure_domain": format!("fd-{domain}"),
                    "gossip_address": addresses[0].to_string(),
                    "peer_address": addresses[1].to_string(),
                }));
                settings.push((name, domain, addresses));
            }
        }
        let body = json!(vms).to_string();
        call(
            self.platform,
            "POST",
            "/control/vms",
            "",
            &[],
            body.as_bytes(),
        )?;
        // The platform's list of VMs is out of date until it is read once.
        for (name, domain, addresses) in &settings {
            self.start_vm(plan, name, *domain, addresses, &bulk)?;
        }
        Ok(())
    }

    fn start_vm(
        &mut self,
        plan: &Plan,
        name: &str,
        domain: usize,
        addresses: &[SocketAddr],
        bulk: &[Value],
    ) -> io::Result<()> {
        let common = json!({
            "name": name,
            "failure_domain": format!("fd-{domain}"),
            "cluster_key": CLUSTER_KEY,
            "bulk": bulk,
        });
        let with_platform = merge(
            common.clone(),
            &json!({ "platform_address": self.links[domain].address, "platform_timeout_ms": 500 }),
        );
        let entry = merge(
            with_platform.clone(),
            &json!({
                "gossip_address": addresses[0],
                "peer_address": addresses[1],
                "local_address": addresses[2],
                "operators_address": addresses[3],
                "caller_address": addresses[4],
                "drain_ms": 500,
            }),
        );
        let entry = merge(entry, &plan.entry);
        let process = Process::start(
            &self.folder,
            name,
            domain,
            "bramley-entry",
            &entry,
            addresses[4],
        )?;
        self.entries.push(process);
        if plan.batch {
            let batch = merge(
                with_platform,
                &json!({ "entry_address": addresses[2], "operators_address": addresses[6] }),
            );
            let name = format!("{name}-batch");
            let process = Process::start(
                &self.folder,
                &name,
                domain,
                "bramley-batch",
                &batch,
                addresses[2],
            )?;
            self.batches.push(process);
        }
        if bulk.iter().any(|peer| peer["name"] == *name) {
            let bulk = merge(
                common,
                &json!({
                    "peer_address": addresses[5],
                    "operators_address": free_address(),
                    "data_dir": self.folder.join(format!("{name}-data")),
                    "repair_ms": 1_000,
                }),
            );
            let name = format!("{name}-bulk");
            let process = Process::start(
                &self.folder,
                &name,
                domain,
                "bramley-bulk",
                &bulk,
                addresses[5],
            )?;
            self.bulks.push(process);
        }
        Ok(())
    }

    /// Waits until all entry VMs are ready and, if there are any batch processes, linked to one.
    pub fn wait_ready(&self, timeout: Duration) -> io::Result<()> {
        let deadline = clock::now() + timeout;
        let batch = !self.batches.is_empty();
        let ready = |process: &Process| {
            let dump = process.page("/dump");
            let linked = !batch || dump["vm"]["batch"] != 0;
            dump["ready"].get("Ok").is_some() && linked
        };
        while !self.entries.iter().all(ready) {
            if clock::now() >= deadline {
                return Err(io::Error::other("the entry VMs did not become ready"));
            }
            clock::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Sends a request to an entry VM with the key of the first workspace.
    pub fn ask(&self, entry: usize, method: &str, path: &str, body: &str) -> io::Result<Answer> {
        self.ask_with(entry, method, path, &[], body)
    }

    /// Like [`Fleet::ask`], with headers.
    pub fn ask_with(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> io::Result<Answer> {
        let address = self.entries[entry].address;
        call(address, method, path, KEYS[0].1, headers, body.as_bytes())
    }

    /// Uploads a file of chat items and starts a job with it; returns the job's id.
    pub fn send_job(&self, entry: usize, lines: &str) -> io::Result<String> {
        let file = self.ask(entry, "POST", "/v1/files", lines)?;
        let file_id = file.json()["id"].as_str().map(str::to_owned);
        let file_id = file_id.ok_or_else(|| io::Error::other(file.text()))?;
        let body = json!({ "input_file_id": file_id, "endpoint": "/v1/chat/completions" });
        let job = self.ask(entry, "POST", "/v1/batches", &body.to_string())?;
        let id = job.json()["id"].as_str().map(str::to_owned);
        id.ok_or_else(|| io::Error::other(job.text()))
    }

    /// Waits until a job has ended or the timeout has passed; returns its last description.
    pub fn wait_job(&self, entry: usize, job: &str, timeout: Duration) -> Value {
        let deadline = clock::now() + timeout;
        loop {
            let answer = self.ask(entry, "GET", &format!("/v1/batches/{job}"), "");
            let description = answer.map(|answer| answer.json()).unwrap_or(Value::Null);
            let status = description["status"].as_str().unwrap_or_default();
            if ["completed", "cancelled", "expired"].contains(&status) || clock::now() >= deadline {
                return description;
            }
            clock::sleep(POLL_INTERVAL * 2);
        }
    }

    /// The process of the platform's stand-in.
    pub fn platform_process(&self) -> &Process {
        &self.platform_process
    }

    /// All processes of the fleet.
    pub fn processes(&self) -> impl Iterator<Item = &Process> {
        let vms = self.entries.iter().chain(&self.batches).chain(&self.bulks);
        vms.chain(&self.engines)
            .chain(&self.services)
            .chain([&self.platform_process])
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let all = [
            &mut self.entries,
            &mut self.batches,
            &mut self.bulks,
            &mut self.engines,
            &mut self.services,
        ];
        for processes in all {
            processes.iter_mut().for_each(Process::kill);
        }
        self.platform_process.kill();
        if std::env::var_os(KEEP_FOLDER_VARIABLE).is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Input file of a batch job with `count` chat items, one a line.
pub fn chat_lines(count: usize, tokens: u64) -> String {
    let line = |at: usize| {
        json!({
            "custom_id": format!("item-{at}"),
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": {
                "model": "permit-7b",
                "max_tokens": tokens,
                "messages": [{ "role": "user", "content": format!("objection {at}") }],
            },
        })
        .to_string()
            + "\n"
    };
    (0..count).map(line).collect()
}
