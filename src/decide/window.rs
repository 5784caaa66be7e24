//! Determines how much batch work an endpoint gets beside online requests.
//!
//! Engines have no priorities, so batch work is held back outside them and preempted when online
//! requests arrive.

use std::time::Duration;

/// The setting that balances tail latency against throughput.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchWeight {
    /// At 0 batch work gets all free slots; at 1 online requests get an empty engine.
    pub online_weight: f64,
}

/// How long an endpoint counts as busy after its last online request, at weight 1.
pub const ONLINE_HOLD: Duration = Duration::from_millis(400);

/// Load of one endpoint in the local view.
#[derive(Debug, Clone, Copy)]
pub struct EndpointLoad {
    /// Learned limit.
    pub slots: f64,
    /// Online requests of all VMs there.
    pub online: u32,
    /// When an online request was last there.
    pub online_at: Option<Duration>,
    /// Whether the job of the item is near its deadline.
    pub urgent: bool,
}

/// Number of batch items that may be at the endpoint now; any beyond it are cancelled.
pub fn batch_window(load: EndpointLoad, setting: BatchWeight, now: Duration) -> u32 {
    let weight = setting.online_weight.clamp(0.0, 1.0);
    let free = (load.slots - f64::from(load.online)).max(0.0);
    let hold_time = ONLINE_HOLD.mul_f64(weight);
    let busy = load.online > 0 || load.online_at.is_some_and(|at| now < at + hold_time);
    if !busy {
        return free as u32;
    }
    if load.urgent {
        return (free / 2.0) as u32;
    }
    (free * (1.0 - weight)) as u32
}
