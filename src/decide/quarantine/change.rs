//! State changes of quarantined requests, for the log and for operators.

use serde::Serialize;

use super::{Fingerprint, RunKind};
use crate::id::Name;

/// Where a change of state originates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, strum::IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EvidenceSource {
    /// This VM's own observations, together with evidence reported by others.
    Own,
    /// A report from another VM.
    Peer,
    /// The record in the metadata store.
    Store,
    /// An operator's order.
    Operator,
    /// The passage of time.
    Time,
}

/// New state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum QuarantineVerdict {
    /// An endpoint ended while it ran the request.
    Suspected,
    /// It is quarantined.
    Held,
    /// It is still quarantined and gets one trial run.
    OnTrial,
    /// It was answered completely, or an operator has released it.
    Cleared,
    /// Its quarantine has expired.
    Forgotten,
}

/// One change of state, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct QuarantineChange {
    pub fingerprint: Fingerprint,
    pub label: Name,
    pub verdict: QuarantineVerdict,
    /// Failure bursts counted as evidence against it.
    pub ends: usize,
    pub by: EvidenceSource,
}

/// A suspected or quarantined request as operators see it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct QuarantineListing {
    /// Whether it is quarantined for all requests, or for this VM's items.
    pub of: RunKind,
    pub fingerprint: String,
    pub label: Name,
    /// Endpoints whose ends count as evidence against it.
    pub ends: usize,
    /// For how long it has been quarantined; absent while it is only suspected.
    pub held_for_ms: Option<u64>,
    /// Time until it may run again.
    pub back_in_ms: u64,
    pub by: EvidenceSource,
}
