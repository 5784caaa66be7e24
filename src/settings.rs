//! Settings of one process, read from a JSON file and validated as a whole.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::Deserialize;

use crate::config::check::Fault;
use crate::config::load;
use crate::decide::peers::FULL_MESH_VMS_MAX;
use crate::decide::routing::Policy;
use crate::id::Name;

/// Format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    Text,
}

/// What is logged, and how.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    pub format: LogFormat,
    pub level: String,
}

impl Default for Log {
    fn default() -> Log {
        Log {
            format: LogFormat::Json,
            level: "info".into(),
        }
    }
}

/// Settings of `bramley-entry`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    pub name: Name,
    pub failure_domain: Name,
    pub caller_address: SocketAddr,
    pub operators_address: SocketAddr,
    /// UDP, towards other entry VMs.
    pub gossip_address: SocketAddr,
    /// TCP, towards other entry VMs.
    pub peer_address: SocketAddr,
    /// TCP on loopback, for the batch process of this VM.
    pub local_address: SocketAddr,
    pub platform_address: SocketAddr,
    /// Secret that all VMs share; datagrams and frames are authenticated with it.
    pub cluster_key: String,
    /// Gossip addresses to contact before the platform's VM list has been read.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Where the last configuration is stored across restarts; without it nothing is stored.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// Peer addresses of the `bramley-bulk` processes, by VM name.
    #[serde(default)]
    pub bulk: Vec<BulkPeer>,
    /// Copies of each piece of bulk content, each in a different failure domain.
    #[serde(default = "default_copies")]
    pub bulk_copies: usize,
    #[serde(default = "default_connections")]
    pub max_connections: usize,
    #[serde(default = "default_head_timeout_ms")]
    pub head_timeout_ms: u64,
    /// Time between announcing "leaving" and closing the listener, at a planned stop.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Time after which a planned stop aborts the remaining requests.
    #[serde(default = "default_stop_limit_ms")]
    pub stop_limit_ms: u64,
    #[serde(default = "default_platform_timeout_ms")]
    pub platform_timeout_ms: u64,
    /// How online requests are routed.
    #[serde(default)]
    pub routing: Policy,
    #[serde(default)]
    pub log: Log,
}

/// A VM with a disk for bulk content.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BulkPeer {
    pub name: Name,
    pub failure_domain: Name,
    pub address: SocketAddr,
}

/// Settings of a serving process that an adapter starts.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Serve {
    pub name: Name,
    pub failure_domain: Name,
    pub caller_address: SocketAddr,
    /// Where the load balancer checks whether this process accepts callers.
    pub ready_address: SocketAddr,
    /// Metrics and the state dump.
    pub operators_address: SocketAddr,
    /// TCP, towards other VMs.
    pub peer_address: SocketAddr,
    /// UDP, towards other VMs; the same port on all of them.
    pub gossip_address: SocketAddr,
    pub store_address: SocketAddr,
    /// Peer addresses to contact before the VM list has been read from the store.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Shared by all VMs; rejects messages of other deployments.
    pub cluster_key: String,
    /// Fraction of a core that this VM has; the VMs with the largest fractions act as delegates and
    /// watch the store for the others.
    #[serde(default = "default_core_share")]
    pub core_share: f64,
    /// Number of VMs up to which every VM reports its requests in flight to every other one.
    #[serde(default = "default_mesh_max")]
    pub mesh_max: usize,
    /// Time between "not ready" and the closing of idle connections, at a planned stop.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Time after which a planned stop aborts the remaining requests.
    #[serde(default = "default_stop_limit_ms")]
    pub stop_limit_ms: u64,
    /// Time for which batch results are kept after the job was submitted.
    #[serde(default = "default_retention_s")]
    pub results_kept_s: u64,
    /// How online requests are routed.
    #[serde(default)]
    pub routing: Policy,
    /// Fraction of a route's limit on waiting tokens by which it may be exceeded temporarily.
    #[serde(default)]
    pub waiting_overage: f64,
    /// Length in seconds of the sliding window in which a workspace's requests are counted.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// Fraction of a workspace's quota by which it may be exceeded temporarily.
    #[serde(default)]
    pub quota_overage: f64,
    /// Requests by which any quota may be exceeded temporarily.
    #[serde(default)]
    pub quota_slack: f64,
    #[serde(default)]
    pub overload: Overload,
    #[serde(default)]
    pub machine: Machine,
    #[serde(default)]
    pub log: Log,
}

/// What the VM grants one process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Machine {
    /// Memory in megabytes (10^6 bytes), beyond which the process is ended.
    pub memory_mb: f64,
    /// File descriptors. The process's own resource limit applies too.
    pub descriptors: u64,
    /// Those of them that sockets can't use.
    pub descriptors_reserved: u64,
}

impl Default for Machine {
    fn default() -> Machine {
        Machine {
            memory_mb: 88.0,
            descriptors: 65_536,
            descriptors_reserved: 0,
        }
    }
}

/// Decisions for services that run short of slots or have failing endpoints. Each is off unless it
/// is set.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Overload {
    /// VMs tell each other of endpoints that fail, and eject them together.
    pub shared_evidence: bool,
    /// Each VM admits its part of what a service that is short can finish in time.
    pub capacity_admission: bool,
    /// Smallest fleet in which these decisions are made, in VMs.
    pub vms_min: usize,
}

impl Overload {
    /// Whether endpoints are ejected by shared evidence in a fleet of this size.
    pub fn shares_evidence(&self, vms: u32) -> bool {
        self.shared_evidence && self.covers(vms)
    }

    /// Whether requests are admitted by capacity in a fleet of this size.
    pub fn admits_by_capacity(&self, vms: u32) -> bool {
        self.capacity_admission && self.covers(vms)
    }

    fn covers(&self, vms: u32) -> bool {
        vms as usize >= self.vms_min
    }
}

/// Settings of a process on a VM whose disk the deployment doesn't need.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Idle {
    pub name: Name,
    pub failure_domain: Name,
    #[serde(default)]
    pub log: Log,
}

/// Settings of `bramley-batch`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    pub name: Name,
    pub failure_domain: Name,
    /// Local address of the entry process of this VM.
    pub entry_address: SocketAddr,
    pub operators_address: SocketAddr,
    pub platform_address: SocketAddr,
    pub cluster_key: String,
    #[serde(default)]
    pub bulk: Vec<BulkPeer>,
    #[serde(default = "default_copies")]
    pub bulk_copies: usize,
    #[serde(default = "default_stop_limit_ms")]
    pub stop_limit_ms: u64,
    #[serde(default = "default_platform_timeout_ms")]
    pub platform_timeout_ms: u64,
    #[serde(default)]
    pub log: Log,
}

/// Settings of `bramley-bulk`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bulk {
    pub name: Name,
    pub failure_domain: Name,
    pub peer_address: SocketAddr,
    pub operators_address: SocketAddr,
    pub data_dir: PathBuf,
    pub cluster_key: String,
    /// The other VMs with disks.
    #[serde(default)]
    pub bulk: Vec<BulkPeer>,
    /// Content older than this is removed.
    #[serde(default = "default_retention_s")]
    pub retention_s: u64,
    /// New content is refused once this much is stored.
    #[serde(default = "default_max_bytes")]
    pub max_bytes: u64,
    /// Copies of each piece, each in a different failure domain.
    #[serde(default = "default_copies")]
    pub bulk_copies: usize,
    /// Interval between checks for pieces with too few copies.
    #[serde(default = "default_repair_ms")]
    pub repair_ms: u64,
    #[serde(default)]
    pub log: Log,
}

fn default_copies() -> usize {
    2
}

fn default_connections() -> usize {
    2048
}

fn default_head_timeout_ms() -> u64 {
    5_000
}

fn default_core_share() -> f64 {
    1.0
}

fn default_quota_window_s() -> f64 {
    5.0
}

fn default_mesh_max() -> usize {
    FULL_MESH_VMS_MAX
}

fn default_drain_ms() -> u64 {
    3_000
}

fn default_stop_limit_ms() -> u64 {
    30_000
}

fn default_platform_timeout_ms() -> u64 {
    2_000
}

fn default_retention_s() -> u64 {
    7 * 86_400
}

fn default_max_bytes() -> u64 {
    64 * 1024 * 1024 * 1024
}

fn default_repair_ms() -> u64 {
    30_000
}

/// Reads settings; `check` validates what the types can't express.
pub fn read<T: DeserializeOwned>(
    path: &Path,
    check: impl Fn(&T) -> Vec<InvalidField>,
) -> Result<T, Vec<Fault>> {
    let file = path.display().to_string();
    let fault = |path: String, found: String, allowed: &str| Fault {
        file: file.clone(),
        path,
        found,
        allowed: allowed.to_owned(),
    };
    let content = fs::read(path)
        .map_err(|error| vec![fault("$".into(), error.to_string(), "a readable file")])?;
    let settings: T = load::parse(&file, &content).map_err(|fault| vec![fault])?;
    let faults: Vec<Fault> = check(&settings)
        .into_iter()
        .map(|(field, found, allowed)| fault(format!("$.{field}"), found, allowed))
        .collect();
    match faults.is_empty() {
        true => Ok(settings),
        false => Err(faults),
    }
}

/// An invalid field: its name, the value found, and the allowed values.
pub type InvalidField = (&'static str, String, &'static str);

fn check_common(cluster_key: &str, log: &Log) -> Vec<InvalidField> {
    let mut found = Vec::new();
    if cluster_key.len() < 16 {
        let length = format!("{} characters", cluster_key.len());
        found.push(("cluster_key", length, "at least 16 characters"));
    }
    if log.level.parse::<log::LevelFilter>().is_err() {
        found.push((
            "log.level",
            format!("{:?}", log.level),
            "off error warn info debug trace",
        ));
    }
    found
}

fn check_range(
    field: &'static str,
    value: u64,
    from: u64,
    to: u64,
    allowed: &'static str,
) -> Option<InvalidField> {
    (!(from..=to).contains(&value)).then(|| (field, value.to_string(), allowed))
}

/// Checks the durations of a planned stop.
fn check_stop_times(drain_ms: u64, stop_limit_ms: u64) -> impl Iterator<Item = InvalidField> {
    let drain = check_range("drain_ms", drain_ms, 0, 600_000, "0 to 600000");
    drain.into_iter().chain(check_stop_limit(stop_limit_ms))
}

fn check_stop_limit(stop_limit_ms: u64) -> Option<InvalidField> {
    check_range("stop_limit_ms", stop_limit_ms, 1, 3_600_000, "1 to 3600000")
}

fn check_gossip_address(address: SocketAddr) -> Option<InvalidField> {
    let allowed = "the IP number that the other VMs send to";
    let found = ("gossip_address", address.to_string(), allowed);
    address.ip().is_unspecified().then_some(found)
}

/// Checks settings of `bramley-entry`.
pub fn check_entry(settings: &Entry) -> Vec<InvalidField> {
    let mut found = check_common(&settings.cluster_key, &settings.log);
    let connections = settings.max_connections as u64;
    found.extend(check_range(
        "max_connections",
        connections,
        1,
        65_536,
        "1 to 65536",
    ));
    found.extend(check_range(
        "head_timeout_ms",
        settings.head_timeout_ms,
        10,
        60_000,
        "10 to 60000",
    ));
    found.extend(check_stop_times(settings.drain_ms, settings.stop_limit_ms));
    found.extend(check_range(
        "bulk_copies",
        settings.bulk_copies as u64,
        1,
        5,
        "1 to 5",
    ));
    found.extend(check_gossip_address(settings.gossip_address));
    found
}

/// Checks settings of a serving process.
pub fn check_serve(settings: &Serve) -> Vec<InvalidField> {
    let mut found = check_common(&settings.cluster_key, &settings.log);
    found.extend(check_stop_times(settings.drain_ms, settings.stop_limit_ms));
    found.extend(check_gossip_address(settings.gossip_address));
    let overage = (0.0..=1.0, "0 to 1");
    let window_s = (0.5..=3600.0, "0.5 to 3600");
    let slack = (0.0..=1e6, "0 to 1000000");
    let numbers = [
        ("waiting_overage", settings.waiting_overage, overage.clone()),
        ("quota_overage", settings.quota_overage, overage),
        ("quota_window_s", settings.quota_window_s, window_s),
        ("quota_slack", settings.quota_slack, slack),
    ];
    let wrong = numbers
        .into_iter()
        .filter(|(_, value, (range, _))| !range.contains(value));
    found.extend(wrong.map(|(field, value, (_, allowed))| (field, value.to_string(), allowed)));
    found.extend(check_machine(&settings.machine));
    found
}

fn check_machine(machine: &Machine) -> Vec<InvalidField> {
    let mut found = Vec::new();
    if !(32.0..=1e6).contains(&machine.memory_mb) {
        let value = machine.memory_mb.to_string();
        found.push(("machine.memory_mb", value, "32 to 1000000"));
    }
    let sockets = machine
        .descriptors
        .saturating_sub(machine.descriptors_reserved);
    found.extend(check_range(
        "machine.descriptors",
        sockets,
        128,
        10_000_000,
        "128 to 10000000 more than machine.descriptors_reserved",
    ));
    found
}

/// Checks settings of `bramley-batch`.
pub fn check_batch(settings: &Batch) -> Vec<InvalidField> {
    let mut found = check_common(&settings.cluster_key, &settings.log);
    found.extend(check_range(
        "bulk_copies",
        settings.bulk_copies as u64,
        1,
        5,
        "1 to 5",
    ));
    found.extend(check_stop_limit(settings.stop_limit_ms));
    found
}

/// Checks settings of `bramley-bulk`.
pub fn check_bulk(settings: &Bulk) -> Vec<InvalidField> {
    let mut found = check_common(&settings.cluster_key, &settings.log);
    found.extend(check_range(
        "bulk_copies",
        settings.bulk_copies as u64,
        1,
        5,
        "1 to 5",
    ));
    found.extend(check_range(
        "repair_ms",
        settings.repair_ms,
        100,
        86_400_000,
        "100 to 86400000",
    ));
    found
}

/// Converts the milliseconds of a setting to a duration.
pub fn ms(value_ms: u64) -> Duration {
    Duration::from_millis(value_ms)
}
