//! A discrete-time simulation of engines and of the VMs in front of them, to compare routing and
//! scheduling decisions without a network.
//!
//! Engines follow the published behaviour of continuous-batching inference servers; the VMs run the
//! production code of [`crate::decide`]. Time is simulated: a minute of 60 engines and 52 VMs takes
//! about a second, and the same seed gives the same result.

pub mod engine;
pub mod fleet;
pub mod load;
pub mod outcome;
