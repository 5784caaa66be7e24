//! Which process accepted a connection to an endpoint.
//!
//! An endpoint may restart under its name and at its address with other software, and its answers
//! don't tell which of its processes made them. Its entry does: a process that accepted a
//! connection is the registered one if that one is still registered afterwards: shortly after in
//! general, with its first heartbeat where the one before has just ended, and some time after the
//! return of the store where it was away.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{self, EndpointId, Incarnation, Name};

/// How long processes are remembered after they were last registered: longer than a caller returns
/// for a stream.
const PAST_RETENTION: Duration = Duration::from_secs(600);

/// A process registers within this time after it has accepted its first connection.
pub const REGISTRATION_TIME: Duration = Duration::from_millis(30);
/// The same for a process that may have started after another one ended: it registers with its first
/// heartbeat at the latest.
pub const RESTART_REGISTRATION_TIME: Duration = Duration::from_millis(1500);
/// Time after the loss of all connections to a process in which a new connection may lead to its
/// successor.
const RESTART_TIME: Duration = Duration::from_secs(5);
/// A loss of connections is noticed within this time.
const LOSS_NOTICED_WITHIN: Duration = Duration::from_millis(100);

/// One process of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointProcess {
    /// Name of the endpoint's entry.
    pub name: Name,
    /// Start of the process, if endpoints of this kind report it.
    pub incarnation: Option<Incarnation>,
}

impl EndpointProcess {
    /// A process of which only the endpoint is known.
    pub fn unknown(name: &Name) -> EndpointProcess {
        EndpointProcess {
            name: name.clone(),
            incarnation: None,
        }
    }

    /// The id of the process in all other tables.
    pub fn id(&self) -> EndpointId {
        id::of_process(&self.name, self.incarnation)
    }
}

/// A connection, and the process that is assumed to have accepted it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectedProcess {
    pub process: EndpointProcess,
    /// Software version of that process; empty if it is not known.
    pub software: Name,
    pub connected_at: Duration,
}

/// Whether the software at the other end of a connection is the assumed one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum SoftwareCheck {
    Confirmed,
    /// Another process with other software was registered before the connection's process was
    /// confirmed.
    Replaced,
    /// All connections to the process broke together just before, so that its successor may not have
    /// registered yet.
    MayBeReplaced,
    /// The process was not seen registered after the connection was opened.
    NotConfirmed,
}

/// Whether a connection was opened when all others to its process had just broken together.
fn may_have_restarted(connected_at: Duration, lost_at: Option<Duration>) -> bool {
    lost_at.is_some_and(|lost_at| {
        lost_at < connected_at + LOSS_NOTICED_WITHIN && connected_at < lost_at + RESTART_TIME
    })
}

/// Time after a connection was opened by which the process that accepted it has registered.
pub(super) fn registration_time(connected_at: Duration, lost_at: Option<Duration>) -> Duration {
    match may_have_restarted(connected_at, lost_at) {
        true => RESTART_REGISTRATION_TIME,
        false => REGISTRATION_TIME,
    }
}

/// What is remembered of a process.
#[derive(Debug, Clone)]
struct ProcessRow {
    /// The latest time at which it is known to have been registered.
    registered_at: Option<Duration>,
    /// The process that was registered in its place, and that one's software.
    successor: Option<(EndpointId, Name)>,
    updated_at: Duration,
}

/// Until when processes are known to have been registered.
#[derive(Debug, Default)]
pub(super) struct Confirmations {
    /// All changes of entries up to this time have been applied.
    view_at: Option<Duration>,
    /// Processes whose entries were read one by one, and those that are no longer registered.
    rows: HashMap<EndpointId, ProcessRow>,
}

impl Confirmations {
    /// Records that all changes before `at` have been applied.
    pub(super) fn confirm_view(&mut self, at: Duration) {
        self.view_at = self.view_at.max(Some(at));
    }

    pub(super) fn view_at(&self) -> Option<Duration> {
        self.view_at
    }

    /// Records that a process was registered at a time.
    pub(super) fn confirm(&mut self, now: Duration, process: EndpointId, at: Duration) {
        let row = self.row(now, process);
        row.registered_at = row.registered_at.max(Some(at));
    }

    /// Records that a process which was registered in the local view no longer counts as such.
    pub(super) fn end(&mut self, now: Duration, process: EndpointId) {
        if let Some(at) = self.view_at {
            self.confirm(now, process, at);
        }
    }

    /// Records which process is registered in place of another one.
    pub(super) fn replace(
        &mut self,
        now: Duration,
        process: EndpointId,
        successor: EndpointId,
        software: Name,
    ) {
        self.row(now, process).successor = Some((successor, software));
    }

    /// When a process was last known to be registered; `is_registered` if it is now.
    pub(super) fn registered_at(
        &self,
        process: EndpointId,
        is_registered: bool,
    ) -> Option<Duration> {
        let row = self.rows.get(&process);
        let at = row.and_then(|row| row.registered_at);
        at.max(self.view_at.filter(|_| is_registered))
    }

    /// Checks the software of a connection's process. `is_registered` tells whether a process is
    /// registered now, and `lost_at` is when all connections to this one broke.
    pub(super) fn check(
        &self,
        connected: &ConnectedProcess,
        is_registered: impl Fn(EndpointId) -> bool,
        lost_at: Option<Duration>,
    ) -> SoftwareCheck {
        let ConnectedProcess { connected_at, .. } = *connected;
        let due = connected_at + registration_time(connected_at, lost_at);
        let mut process = connected.process.id();
        // If it was a later process, that one's software is known if all up to one that was registered
        // afterwards have the same.
        for _ in 0..=self.rows.len() {
            if self.registered_at(process, is_registered(process)) >= Some(due) {
                return SoftwareCheck::Confirmed;
            }
            match self.successor(process) {
                Some((_, software)) if *software != connected.software => {
                    return SoftwareCheck::Replaced;
                }
                Some((next, _)) => process = *next,
                None => break,
            }
        }
        match may_have_restarted(connected_at, lost_at) {
            true => SoftwareCheck::MayBeReplaced,
            false => SoftwareCheck::NotConfirmed,
        }
    }

    fn successor(&self, process: EndpointId) -> Option<&(EndpointId, Name)> {
        self.rows.get(&process)?.successor.as_ref()
    }

    fn row(&mut self, now: Duration, process: EndpointId) -> &mut ProcessRow {
        let row = self.rows.entry(process).or_insert(ProcessRow {
            registered_at: None,
            successor: None,
            updated_at: now,
        });
        row.updated_at = now;
        row
    }

    /// Forgets processes that were registered long ago.
    pub(super) fn tick(&mut self, now: Duration) {
        self.rows
            .retain(|_, row| now < row.updated_at + PAST_RETENTION);
    }
}
