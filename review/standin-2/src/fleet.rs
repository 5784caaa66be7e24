//! A small deployment: the serving program in separate processes, with the settings that
//! `deploy/entry.json` gives them.

use std::fs::{self, OpenOptions};
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bramleyseam_platform_standin::caller::{self, HOST};
use bramleyseam_platform_standin::fleet::wait_until;
use serde_json::{json, Value};

use crate::store::Store;

const PROGRAM: &str = "target/release/bramley-platform";
const SETTINGS_VARIABLE: &str = "BRAMLEYSEAM_NODE_FILE";
const START_TIMEOUT: Duration = Duration::from_secs(15);
const PORT_BASE: u16 = 21_500;

pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

pub struct Fleet {
    pub vms: Vec<Vm>,
    folder: PathBuf,
}

impl Fleet {
    /// Starts VMs in three failure domains, and waits until they are ready.
    pub fn start(store: &Store, vms: usize) -> io::Result<Fleet> {
        let folder = std::env::temp_dir().join(format!("review-{:x}", bramleyseam::util::nonce()));
        fs::create_dir_all(&folder)?;
        let octet = free_octet()?;
        let ip = |at: usize| IpAddr::from([127, octet, 0, at as u8 + 1]);
        let mut fleet = Fleet {
            vms: Vec::new(),
            folder,
        };
        for at in 0..vms {
            let address = |port: u16| SocketAddr::new(ip(at), PORT_BASE + port);
            let seeds = (0..vms.min(3)).map(|at| SocketAddr::new(ip(at), PORT_BASE + 4));
            let name = format!("edge-{at}");
            let settings = json!({
                "name": name,
                "failure_domain": format!("zone-{}", at % 3),
                "caller_address": address(1),
                "ready_address": address(2),
                "operators_address": address(3),
                "peer_address": address(4),
                "gossip_address": address(5),
                "store_address": store.address,
                "peers": seeds.collect::<Vec<_>>(),
                "cluster_key": format!("bramleyseam at {}", store.address),
                "core_share": 0.25,
                "drain_ms": 3000,
                "stop_limit_ms": 8000,
                "routing": "two-choices",
                "waiting_overage": 0.1,
                "quota_overage": 0.1,
                "overload": { "shared_evidence": true, "capacity_admission": true, "vms_min": 64 },
                "results_kept_s": 120,
                "log": { "format": "json", "level": "info" },
            });
            let file = fleet.folder.join(format!("{name}.json"));
            fs::write(&file, settings.to_string())?;
            let log = fleet.folder.join(format!("{name}.log"));
            let child = spawn(&file, &log)?;
            fleet.vms.push(Vm {
                name,
                callers: address(1),
                ready: address(2),
                settings: file,
                log,
                child,
            });
        }
        let registered = |vm: &Vm| store.has_key(&format!("small/live/vm/{}", vm.name));
        let is_up = || fleet.vms.iter().all(|vm| vm.is_ready() && registered(vm));
        match wait_until(START_TIMEOUT, is_up) {
            true => Ok(fleet),
            false => Err(io::Error::other("the fleet did not start")),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            vm.kill();
        }
        match std::env::var_os("KEEP") {
            Some(_) => eprintln!("the logs are in {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

impl Vm {
    pub fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        caller::send(self.ready, "GET", "/readiness", &[], b"").is_some_and(|r| r.status == 200)
    }

    /// Resident memory in kB.
    pub fn memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.trim().split(' ').next()?.parse().ok());
        number.unwrap_or(0)
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> io::Result<Child> {
    let out = OpenOptions::new().create(true).append(true).open(log)?;
    Command::new(PROGRAM)
        .env(SETTINGS_VARIABLE, settings)
        .stdin(Stdio::null())
        .stdout(Stdio::from(out.try_clone()?))
        .stderr(Stdio::from(out))
        .spawn()
}

/// Picks addresses that no other fleet uses.
fn free_octet() -> io::Result<u8> {
    let start = std::process::id() as usize;
    for at in 0..200 {
        let octet = 20 + ((start + at) % 200) as u8;
        let address = SocketAddr::from(([127, octet, 0, 250], PORT_BASE));
        if let Ok(claimed) = TcpListener::bind(address) {
            // Held until this process ends.
            std::mem::forget(claimed);
            return Ok(octet);
        }
    }
    Err(io::Error::other("no free addresses"))
}

/// Writes a runner's entry.
pub fn register(store: &Store, id: &str, address: SocketAddr, slots: u32, born_ms: u64) {
    store.put(
        &format!("servers/{id}"),
        &json!({
            "service": "desk", "address": address, "zone": "zone-0", "version": "v1",
            "slots": slots, "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": born_ms,
        }),
    );
}

/// The operator's configuration.
pub fn put_config(store: &Store, version: u64) {
    put_config_with(store, version, Duration::from_secs(5));
}

/// The same with another timeout of the route `query`.
pub fn put_config_with(store: &Store, version: u64, timeout: Duration) {
    let timeout_ms = timeout.as_millis() as u64;
    let route = |name: &str, change: Value| {
        let mut route = json!({
            "name": name, "host": HOST, "prefix": format!("/{name}/"), "routeKind": "streaming",
            "timeoutMs": 5000, "goalMs": 300, "priority": 0, "service": "desk",
            "maxAttempts": 2, "sticky": true, "gapTargetMs": 400,
        });
        for (field, value) in change.as_object().into_iter().flatten() {
            route[field] = value.clone();
        }
        route
    };
    store.put(
        "op/config",
        &json!({
            "version": version,
            "routes": [
                route("query", json!({ "resumable": true, "timeoutMs": timeout_ms })),
                route("renew", json!({ "resumable": false, "maxAttempts": 1 })),
                route("plain", json!({ "routeKind": "idempotent" })),
                route("once", json!({ "routeKind": "non_idempotent" })),
                route("batch", json!({
                    "routeKind": "batch", "goalMs": 400, "timeoutMs": 15000, "maxAttempts": 3,
                    "runTargetMs": 18000, "retentionS": 60, "priority": 2,
                })),
            ],
            "services": [{ "name": "desk", "healthPath": "/health", "maxConns": 370 }],
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
            },
        }),
    );
}
