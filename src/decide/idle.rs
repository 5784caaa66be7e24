//! Measures for how long slots are free while items wait, and why.

use std::collections::HashMap;
use std::time::Duration;

use strum::IntoStaticStr;

/// Longest counted interval between two plans, so that a pause of the process is not counted.
const COUNTED_INTERVAL_MAX: Duration = Duration::from_millis(200);

/// Why a VM leaves a slot free although items wait there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, IntoStaticStr, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum IdleReason {
    /// The slot is granted to another VM.
    Turn,
    /// The items are delayed after an attempt that was preempted or failed.
    Pause,
    /// The VM is stopping, and its jobs are being handed over.
    Stopping,
}

/// Free slots and waiting items after a plan.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IdleSnapshot {
    pub free_slots: u32,
    /// Items that could start.
    pub ready: u32,
    /// Items that are delayed.
    pub paused: u32,
    pub may_start: bool,
}

/// Slot-time lost so far, by reason.
#[derive(Debug, Default, Clone)]
pub struct IdleCounter {
    lost: HashMap<IdleReason, Duration>,
    snapshot: IdleSnapshot,
    at: Duration,
}

impl IdleCounter {
    /// Counts the time since the last plan by its snapshot, and stores the new snapshot.
    pub fn record(&mut self, now: Duration, snapshot: IdleSnapshot) {
        let elapsed = now.saturating_sub(self.at).min(COUNTED_INTERVAL_MAX);
        for (reason, slots) in reasons(self.snapshot) {
            *self.lost.entry(reason).or_default() += elapsed * slots;
        }
        self.at = now;
        self.snapshot = snapshot;
    }

    /// Slot-time lost for a reason since the start.
    pub fn lost(&self, reason: IdleReason) -> Duration {
        self.lost.get(&reason).copied().unwrap_or_default()
    }
}

/// Free slots by reason; no more than there are items to fill them.
fn reasons(snapshot: IdleSnapshot) -> [(IdleReason, u32); 2] {
    let ready = snapshot.ready.min(snapshot.free_slots);
    let paused = snapshot.paused.min(snapshot.free_slots - ready);
    match snapshot.may_start {
        true => [(IdleReason::Turn, ready), (IdleReason::Pause, paused)],
        false => [
            (IdleReason::Stopping, ready + paused),
            (IdleReason::Pause, 0),
        ],
    }
}
