//! The decisions, pure: no socket, thread, file or clock.
//!
//! Each part is a table with functions over it. A host feeds events and the present time, and reads
//! the actions that come back; randomness comes from a generator that the host passes in.

pub mod access;
pub mod backlog;
pub mod batch;
pub mod commit;
pub mod discovery;
pub mod endpoints;
pub mod fleet;
pub mod freshness;
pub mod idle;
pub mod intents;
pub mod items;
pub mod jobs;
pub mod limit;
pub mod members;
pub mod online;
pub mod orders;
pub mod peers;
pub mod quarantine;
pub mod quota;
pub mod refusal;
pub mod retry;
pub mod routes;
pub mod routing;
pub mod slot_grants;
pub mod small_jobs;
pub mod usage;
pub mod window;
