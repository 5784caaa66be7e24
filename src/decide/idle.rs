//! How long slots stand free beside items that wait, and why.

use std::collections::HashMap;
use std::time::Duration;

use strum::IntoStaticStr;

/// Two plans are no further apart than this; a process that was paused must not count its pause.
const STEP_MAX: Duration = Duration::from_millis(200);

/// Why a VM leaves a slot free although items wait there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, IntoStaticStr, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum IdleReason {
    /// The slot is another VM's, as the VMs divide them.
    Turn,
    /// The items wait out a pause after a run that made way or failed.
    Pause,
    /// The VM stops, and its jobs are being handed over.
    Stopping,
}

/// What stands free beside what waits, after a plan.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IdleSnapshot {
    pub free_slots: u32,
    /// Items that could start.
    pub ready: u32,
    /// Items that wait out a pause.
    pub paused: u32,
    pub starting: bool,
}

/// Slot-time lost so far, by reason.
#[derive(Debug, Default, Clone)]
pub struct Idle {
    lost: HashMap<IdleReason, Duration>,
    beside: IdleSnapshot,
    at: Duration,
}

impl Idle {
    /// Counts the time since the last plan for what stood free after it, and notes what does now.
    pub fn note(&mut self, now: Duration, beside: IdleSnapshot) {
        let step = now.saturating_sub(self.at).min(STEP_MAX);
        for (reason, slots) in reasons(self.beside) {
            *self.lost.entry(reason).or_default() += step * slots;
        }
        self.at = now;
        self.beside = beside;
    }

    /// Slot-time lost for a reason since the start.
    pub fn lost(&self, reason: IdleReason) -> Duration {
        self.lost.get(&reason).copied().unwrap_or_default()
    }
}

/// Slots that stand free for each reason: no more than there are items to fill them.
fn reasons(beside: IdleSnapshot) -> [(IdleReason, u32); 2] {
    let ready = beside.ready.min(beside.free_slots);
    let paused = beside.paused.min(beside.free_slots - ready);
    match beside.starting {
        true => [(IdleReason::Turn, ready), (IdleReason::Pause, paused)],
        false => [
            (IdleReason::Stopping, ready + paused),
            (IdleReason::Pause, 0),
        ],
    }
}
