//! State changes of endpoints, for the log.

use crate::id::{Name, Revision};

/// A state change of an endpoint in the local view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Transition {
    /// It is used from now on.
    Appeared,
    /// Another process is registered under its name.
    Restarted,
    /// Its entry has different content than before.
    Changed,
    Draining,
    /// Its entry is gone, which is treated as a lapse: the endpoint stays in use for a while.
    Kept,
    /// Its entry came back within that time.
    Returned,
    /// Its entry is gone and the endpoint is no longer used.
    Removed,
    /// Its entry did not come back in time.
    Lapsed,
    /// Its entry can't be parsed, or was not written by the endpoint.
    Unusable,
}

/// A transition of one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct TransitionEvent {
    pub name: Name,
    pub transition: Transition,
    /// Revision of the update that caused it.
    pub revision: Revision,
}
