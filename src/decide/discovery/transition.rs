//! What became of endpoints, for the log.

use crate::id::{Name, Revision};

/// What became of an endpoint, as this VM knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Transition {
    /// It is used from now on.
    Appeared,
    /// Another process is registered under its name.
    Restarted,
    /// Its entry says something else than before.
    Changed,
    Draining,
    /// Its entry is gone, which is taken for a lapse: it is used for a while yet.
    Kept,
    /// Its entry came back in that while.
    Returned,
    /// Its entry is gone and so is the endpoint.
    Removed,
    /// Its entry did not come back in time.
    Lapsed,
    /// Its entry can't be read, or isn't its own.
    Unusable,
}

/// One such transition.
#[derive(Debug, Clone, PartialEq)]
pub struct TransitionEvent {
    pub name: Name,
    pub transition: Transition,
    /// Of the word that was taken.
    pub revision: Revision,
}
