//! How old the metadata store's word is on what is followed there.
//!
//! A watch that waits looks like one whose connection has gone silent. What tells them apart is a call that was
//! sent lately and answered: a proof that what this VM knows is all there is, as of when the call was sent.

use std::time::Duration;

use serde::Serialize;

/// What is followed at the metadata store.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Serialize,
    strum::IntoStaticStr,
    strum::EnumIter,
    strum::EnumCount,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Subject {
    /// The rules, and what else operators ask for.
    Rules,
    Endpoints,
    /// Records of batch jobs, and registrations of VMs.
    Live,
}

/// The youngest proof of each subject.
#[derive(Debug, Default)]
pub struct Proofs {
    rows: [Option<Duration>; <Subject as strum::EnumCount>::COUNT],
}

impl Proofs {
    /// The store has answered a call on a subject that was sent at this time, and the answer was taken.
    pub fn proved(&mut self, subject: Subject, sent_at: Duration) {
        let row = &mut self.rows[subject as usize];
        *row = (*row).max(Some(sent_at));
    }

    /// Age of the youngest proof; `None` where there was none yet.
    pub fn age(&self, now: Duration, subject: Subject) -> Option<Duration> {
        let at = self.rows[subject as usize]?;
        Some(now.saturating_sub(at))
    }
}
