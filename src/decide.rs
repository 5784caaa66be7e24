//! Pure decision logic: no sockets, threads, files or clock.
//!
//! Each module is a data structure with functions over it. The caller passes in events, the current
//! time and a random number generator, and carries out the actions that are returned.

pub mod access;
pub mod admission;
pub mod backlog;
pub mod batch;
pub mod commit;
pub mod discovery;
pub mod endpoints;
pub mod evidence;
pub mod fleet;
pub mod freshness;
pub mod idle;
pub mod intents;
pub mod items;
pub mod jobs;
pub mod kept_slots;
pub mod limit;
pub mod load_reports;
pub mod members;
pub mod memory;
pub mod online;
pub mod orders;
pub mod peers;
pub mod quarantine;
pub mod quota;
pub mod recorded_versions;
pub mod refusal;
pub mod retry;
pub mod routes;
pub mod routing;
pub mod slot_grants;
pub mod small_jobs;
pub mod software_history;
pub mod stream_origins;
pub mod subset;
pub mod unclaimed_slots;
pub mod usage;
pub mod waiting_items;
pub mod window;
