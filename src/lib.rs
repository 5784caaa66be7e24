//! A serving system that runs online and batch inference on one fleet.
//!
//! The decision logic is in [`decide`] and does no I/O; the other modules connect it to sockets,
//! clocks and storage.

pub mod batch;
pub mod bench;
pub mod bulk;
pub mod clock;
pub mod config;
pub mod ctl;
pub mod decide;
pub mod engine;
pub mod entry;
pub mod http;
pub mod id;
pub mod launch;
pub mod logging;
pub mod metrics;
pub mod model;
pub mod pages;
pub mod peer;
pub mod platform;
pub mod segments;
pub mod serve;
pub mod settings;
pub mod standin;
pub mod store;
pub mod util;
pub mod wire;
