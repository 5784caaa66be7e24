//! How much batch work an endpoint takes beside online requests.
//!
//! Engines know no priorities, so batch work is held outside them and taken back when online
//! requests come.

use std::time::Duration;

/// Setting of the one knob between tail latency and throughput.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchWeight {
    /// 0 gives batch all that is free; 1 gives online requests an empty engine.
    pub online_weight: f64,
}

/// How long an endpoint counts as busy with online requests after the last one, at weight 1.
pub const ONLINE_HOLD: Duration = Duration::from_millis(400);

/// What is known of one endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointLoad {
    /// Learned limit.
    pub slots: f64,
    /// Online requests there, of all VMs.
    pub online: u32,
    /// When an online request was last there.
    pub online_at: Option<Duration>,
    /// Whether the job that asks is near its deadline.
    pub urgent: bool,
}

/// Batch items that may be at the endpoint now; those above it are to be cancelled.
pub fn batch_window(seen: EndpointLoad, knob: BatchWeight, now: Duration) -> u32 {
    let weight = knob.online_weight.clamp(0.0, 1.0);
    let free = (seen.slots - f64::from(seen.online)).max(0.0);
    let hold = ONLINE_HOLD.mul_f64(weight);
    let busy = seen.online > 0 || seen.online_at.is_some_and(|at| now < at + hold);
    if !busy {
        return free as u32;
    }
    if seen.urgent {
        return (free / 2.0) as u32;
    }
    (free * (1.0 - weight)) as u32
}
