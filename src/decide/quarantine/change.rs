//! What becomes of requests, for the log and for operators.

use serde::Serialize;

use super::Fingerprint;
use crate::id::Name;

/// Whose word something is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, strum::IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EvidenceSource {
    /// What this VM has seen, added to what others have told.
    Own,
    /// Another VM's.
    Peer,
    /// Of the record in the metadata store.
    Store,
    Operator,
    Time,
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum QuarantineVerdict {
    Suspected,
    Held,
    /// It may run once.
    OnTrial,
    /// It was answered whole, or an operator has released it.
    Cleared,
    Forgotten,
}

/// One such change, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct QuarantineChange {
    pub fingerprint: Fingerprint,
    pub label: Name,
    pub verdict: QuarantineVerdict,
    /// Ends that are held against it.
    pub ends: usize,
    pub by: EvidenceSource,
}

/// What operators see of a request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct QuarantineListing {
    pub fingerprint: String,
    pub label: Name,
    pub ends: usize,
    /// Since when it is held back; absent while it is only suspected.
    pub held_for_ms: Option<u64>,
    /// Until it may run again.
    pub back_in_ms: u64,
    pub by: EvidenceSource,
}
