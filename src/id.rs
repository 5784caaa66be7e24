//! Ids, and the hashes that place things on machines.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A name as operators write it.
pub type Name = Arc<str>;
/// Hash of a VM's name; what heartbeats and rendezvous hashing use.
pub type VmId = u64;
/// One run of a VM's batch process, drawn at its start; 0 stands for none.
pub type OwnerId = u64;
/// Hash of an endpoint's name and of the start of its process; see [`of_process`].
pub type EndpointId = u64;
/// Hash of the name under which an endpoint is registered, whichever its process.
pub type EntryId = u64;
/// Hash of a service's name.
pub type ServiceId = u64;
/// Hash of a workspace's name.
pub type WorkspaceId = u64;
/// Hash of a failure domain's name.
pub type DomainId = u64;
/// Hash of a model's name.
pub type ModelId = u64;
/// One online request within one entry process.
pub type RequestId = u64;
/// One try of a request or item at one endpoint; echoed by endpoints.
pub type AttemptId = String;
/// A batch job's id, `batch_` and a digest.
pub type JobId = Arc<str>;
/// Version of the configuration; higher is newer.
pub type ConfigVersion = u64;
/// Revision that the key-value service gives to each write.
pub type Revision = u64;
/// Fencing number: grows by one with each change of owner.
pub type Epoch = u64;
/// Distinguishes two writes with the same content.
pub type Nonce = u64;
/// Start time of a process in Unix milliseconds. A later start of a VM's process wins; of an endpoint's,
/// whose clock may jump, only another one is told from it, and the store's revisions tell the order.
pub type Incarnation = u64;

/// Hashes a name to the id used in tables and on the wire.
pub fn of(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}

/// Id of one process of an endpoint.
///
/// The failure: an endpoint starts again under its name, and what was known of the process before (that it
/// left, its failures, its connections, others' counts) is held against the new one. Each process has an id
/// of its own, so that no table can mix them up.
pub fn of_process(name: &str, incarnation: Option<Incarnation>) -> u64 {
    let entry = of(name);
    incarnation.map_or(entry, |start| {
        xxh3_64_with_seed(&start.to_le_bytes(), entry)
    })
}

/// Weight of `owner` for `key` in rendezvous hashing; the highest weight owns.
pub fn weight(key: u64, owner: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), owner)
}

/// Owners of `key` among `owners`, best first.
pub fn ranked(key: u64, owners: impl Iterator<Item = u64>) -> Vec<u64> {
    let mut owners: Vec<u64> = owners.collect();
    owners.sort_by_key(|owner| std::cmp::Reverse((weight(key, *owner), *owner)));
    owners.dedup();
    owners
}

/// Digest of content, as lower-case hexadecimal.
pub fn digest(content: &[u8]) -> String {
    blake3::hash(content).to_hex().to_string()
}
