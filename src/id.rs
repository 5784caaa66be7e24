//! Ids, and the hashes by which work is assigned to machines.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A name from the configuration.
pub type Name = Arc<str>;
/// Hash of a VM's name, used in heartbeats and for rendezvous hashing.
pub type VmId = u64;
/// One run of a VM's batch process: a random number drawn at its start; 0 means none.
pub type OwnerId = u64;
/// Hash of an endpoint's name and its process's start time; see [`of_process`].
pub type EndpointId = u64;
/// Hash of the name under which an endpoint is registered, the same for all its processes.
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
/// Hash of the caller's attempt that brought the first event of a stream.
pub type StreamId = u64;
/// Id of a segment of a prompt, the same in all prompts that share it.
pub type SegmentId = u64;
/// One attempt of a request or item at one endpoint; endpoints echo it.
pub type AttemptId = String;
/// A batch job's id, `batch_` and a digest.
pub type JobId = Arc<str>;
/// Version of the configuration; higher is newer.
pub type ConfigVersion = u64;
/// Revision that the store assigns to each write.
pub type Revision = u64;
/// Fencing number: increases by one with each change of owner.
pub type Epoch = u64;
/// Distinguishes two writes with the same content.
pub type Nonce = u64;
/// Start time of a process in Unix milliseconds. Of two processes of a VM the one with the later
/// start wins. The clock of an endpoint may jump: its start time only distinguishes processes, and
/// the store's revisions order them.
pub type Incarnation = u64;

/// Hashes a name to the id used in tables and on the wire.
pub fn of(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}

/// Id of one process of an endpoint.
///
/// Each process has its own id. With one id per name, what is known of an earlier process (that it
/// was leaving, its failures, its connections, other VMs' counts) would be applied to the process
/// that restarted under the same name.
pub fn of_process(name: &str, incarnation: Option<Incarnation>) -> u64 {
    let entry = of(name);
    incarnation.map_or(entry, |start| {
        xxh3_64_with_seed(&start.to_le_bytes(), entry)
    })
}

/// Weight of `owner` for `key` in rendezvous hashing; the owner with the highest weight gets the
/// key.
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
