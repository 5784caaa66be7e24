//! Counts of one workspace's requests at this VM, over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

/// Step by which the window slides. A sum may include one step too many, never one too few.
const WINDOW_STEP: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy)]
pub(super) struct WindowStep {
    number: u64,
    pub(super) admitted: u32,
    pub(super) asked: u32,
}

/// The local counts of one workspace, the newest step last.
#[derive(Debug, Default)]
pub(super) struct SlidingWindow {
    steps: VecDeque<WindowStep>,
}

impl SlidingWindow {
    /// Returns the current step.
    pub(super) fn current_step(&mut self, now: Duration) -> &mut WindowStep {
        let number = step_number(now);
        if self.steps.back().is_none_or(|step| step.number != number) {
            self.steps.push_back(WindowStep {
                number,
                admitted: 0,
                asked: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }

    /// Uncounts one request that was admitted at this time.
    pub(super) fn give_back(&mut self, admitted_at: Duration) {
        let number = step_number(admitted_at);
        let mut steps = self.steps.iter_mut();
        if let Some(step) = steps.find(|step| step.number == number) {
            step.admitted = step.admitted.saturating_sub(1);
        }
    }

    /// Whether no step is left.
    pub(super) fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Removes steps older than the window.
    pub(super) fn expire(&mut self, now: Duration, window: Duration) {
        let oldest = step_number(now.saturating_sub(window));
        while self.steps.front().is_some_and(|step| step.number < oldest) {
            self.steps.pop_front();
        }
    }

    /// Requests admitted since `at`.
    pub(super) fn admitted_since(&self, at: Duration) -> u32 {
        let steps = self.since(at);
        steps.map(|step| step.admitted).sum()
    }

    /// Requests admitted or refused since `at`.
    pub(super) fn asked_since(&self, at: Duration) -> u32 {
        let steps = self.since(at);
        steps.map(|step| step.asked).sum()
    }

    /// Requests admitted or refused from `start` until `end`.
    pub(super) fn asked_between(&self, start: Duration, end: Duration) -> u32 {
        self.asked_since(start) - self.asked_since(end.max(start))
    }

    fn since(&self, at: Duration) -> impl Iterator<Item = &WindowStep> {
        let oldest = step_number(at);
        self.steps.iter().filter(move |step| step.number >= oldest)
    }
}

fn step_number(at: Duration) -> u64 {
    (at.as_millis() / WINDOW_STEP.as_millis()) as u64
}
