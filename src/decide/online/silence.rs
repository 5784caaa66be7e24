//! Endpoints that have gone silent, and attempts that wait for them.
//!
//! Silence does not tell a paused process from a dead one: a sound endpoint may send nothing for a
//! second and then go on. So an attempt is given up only once its successor is secured: another
//! responsive endpoint has a free slot, which is reserved. Otherwise the attempt goes on, and is
//! looked at again with each tick.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use super::{
    Action, Online, RequestRow, QUEUED_SILENCE_TIMEOUT, RESPONSE_SILENCE_TIMEOUT, SILENCE_TIMEOUT,
};
use crate::decide::endpoints::{Endpoint, HostState};
use crate::decide::retry::AttemptStage;
use crate::decide::routing;
use crate::id::{EndpointId, Name, RequestId, ServiceId};

/// An endpoint that sent something within this time is responsive. Shorter than [`SILENCE_TIMEOUT`], so that
/// endpoints which pause together do not take over from each other.
const RESPONSIVE_WINDOW: Duration = Duration::from_millis(200);
/// A host that can be reached accepts a connection within this time.
const HOST_CHECK_TIME: Duration = Duration::from_millis(100);
/// Endpoints that are silent for longer after they were found so are not taken for paused.
const PAUSE_MAX: Duration = Duration::from_millis(1500);
/// Pause before a successor is sought again for an attempt that was kept.
const KEPT_RECHECK_AFTER: Duration = Duration::from_millis(300);

/// What came of a reserved successor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuccessorState {
    /// It was not asked, since the attempt receives again or may not be repeated now.
    NotTried,
    /// No connection could be opened in time.
    Unreachable,
    /// Its host refused the connection, so that its process has ended.
    Ended,
}

/// The endpoint that the next attempt of a request goes to, whose slot is reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Successor {
    endpoint: EndpointId,
    /// This VM has not heard from it recently.
    is_unproven: bool,
    /// It was charged to the retry budget.
    is_charged: bool,
}

/// A change that this VM found in an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceChange {
    pub endpoint: EndpointId,
    /// Whether it has gone silent, or sends again.
    pub is_silent: bool,
    /// Attempts of this VM there.
    pub attempts: u32,
}

impl Online {
    /// Endpoints that have gone silent or send again, as found by the last tick.
    pub fn take_silence_changes(&mut self) -> Vec<SilenceChange> {
        std::mem::take(&mut self.silence_changes)
    }

    /// The endpoint reserved for the next attempt of a request that is given up; `None` if it is not
    /// given up any more, or nothing can follow.
    pub fn successor(&self, request: RequestId) -> Option<EndpointId> {
        let row = self.rows.get(&request)?;
        row.successor.map(|successor| successor.endpoint)
    }

    /// Whether the successor of an attempt can still take over.
    pub fn is_successor_usable(&self, now: Duration, request: RequestId) -> bool {
        let row = self.rows.get(&request);
        let successor = row.and_then(|row| row.successor.map(|successor| (row, successor)));
        successor.is_some_and(|(row, successor)| self.can_take_over(now, row, successor))
    }

    fn can_take_over(&self, now: Duration, row: &RequestRow, successor: Successor) -> bool {
        let is_same = row.endpoint == Some(successor.endpoint);
        let endpoint = self.endpoints.get(successor.endpoint);
        endpoint.is_some_and(|endpoint| is_same || endpoint.usable(now))
    }

    /// Whether an attempt is still to be given up.
    pub fn is_given_up(&self, request: RequestId) -> bool {
        self.rows.get(&request).is_some_and(|row| row.given_up)
    }

    /// Records whether the host of a silent endpoint accepts or refuses connections. If it refuses them,
    /// the endpoint has ended, so that attempts there end even if nothing can follow.
    pub fn host_checked(&mut self, id: EndpointId, is_accepting: bool) {
        let host = match is_accepting {
            true => HostState::Accepts,
            false => HostState::Refuses,
        };
        self.set_host(id, host);
    }

    /// Records that the host of a silent endpoint answers nothing. It may be cut off rather than dead,
    /// so that attempts there go on until one can follow.
    pub fn host_unreachable(&mut self, id: EndpointId) {
        self.set_host(id, HostState::Unreachable);
    }

    fn set_host(&mut self, id: EndpointId, host: HostState) {
        let endpoint = self.endpoints.get_mut(id);
        if let Some(endpoint) = endpoint.filter(|endpoint| endpoint.silent_at.is_some()) {
            endpoint.host = host;
        }
    }

    /// Finds silent endpoints, and gives up the attempts that can go on elsewhere.
    pub(super) fn handle_silence(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.silence_changes.clear();
        for endpoint in &mut self.endpoints.rows {
            if endpoint.return_if_heard(now) {
                self.silence_changes.push(SilenceChange {
                    endpoint: endpoint.id,
                    is_silent: false,
                    attempts: endpoint.online_here,
                });
            }
        }
        self.find_silent_endpoints(now);
        let is_silent = |row: &&RequestRow| self.is_silent(now, row);
        let mut silent: Vec<&RequestRow> = self.rows.values().filter(is_silent).collect();
        // Callers that have part of their answer lose most.
        silent.sort_by_key(|row| (!row.answering, row.arrival.request));
        let silent: Vec<RequestId> = silent.iter().map(|row| row.arrival.request).collect();
        let mut failed_searches = HashSet::new();
        for request in silent {
            self.give_up_if_secured(now, request, &mut failed_searches, out);
        }
    }

    /// Takes endpoints out of use that send nothing on any connection.
    ///
    /// When a machine loses power or its network, nothing resets the connections. An engine that runs
    /// anything sends an event every few tens of milliseconds, so silence on all connections at once,
    /// while one of the requests is past the engine's queue, distinguishes it from a busy one.
    fn find_silent_endpoints(&mut self, now: Duration) {
        let mut oldest_attempts = BTreeMap::new();
        let is_read = |row: &&RequestRow| row.is_in_flight() && !row.is_unread;
        for row in self.rows.values().filter(is_read) {
            if let Some(id) = row.endpoint {
                let (oldest, answering) = oldest_attempts.entry(id).or_insert((row.sent_at, false));
                *oldest = row.sent_at.min(*oldest);
                *answering |= row.answering;
            }
        }
        for (id, (oldest, answering)) in oldest_attempts {
            let resumed_at = self.resumed_at;
            let Some(endpoint) = self.endpoints.get_mut(id) else {
                continue;
            };
            let mut since = endpoint.last_received_at.max(oldest).max(resumed_at);
            if endpoint.silent_at.is_some() {
                // After an ejection the requests that are sent there get the same time again.
                since = since.max(endpoint.ejected_until);
            }
            let bound = match answering || !endpoint.may_queue(now) {
                true => SILENCE_TIMEOUT,
                false => QUEUED_SILENCE_TIMEOUT,
            };
            if now >= since + bound {
                endpoint.went_silent(now);
                self.silence_changes.push(SilenceChange {
                    endpoint: id,
                    is_silent: true,
                    attempts: endpoint.online_here,
                });
            }
        }
    }

    /// Whether an attempt receives nothing, either because its endpoint is silent or because its own
    /// connection is.
    ///
    /// If one connection goes silent for good, or an endpoint dies after its entry has been removed,
    /// no other request shows it. A request in the queue of an endpoint without free slots receives
    /// nothing either, so an attempt without a response counts only if the endpoint had a slot for it.
    fn is_silent(&self, now: Duration, row: &RequestRow) -> bool {
        if !row.is_in_flight() || row.is_unread {
            return false;
        }
        let endpoint = row.endpoint.and_then(|id| self.endpoints.get(id));
        if endpoint.is_some_and(|endpoint| endpoint.silent_at >= Some(row.last_received_at)) {
            return true;
        }
        let may_queue = endpoint.is_some_and(|endpoint| endpoint.may_queue(now));
        let bound = match row.answering {
            true => RESPONSE_SILENCE_TIMEOUT,
            false if may_queue => return false,
            false => QUEUED_SILENCE_TIMEOUT,
        };
        now >= row.last_received_at.max(self.resumed_at) + bound
    }

    /// Gives up a silent attempt if its successor can be secured, or if its endpoint has ended. `failed_searches`
    /// has the services, software versions and endpoints left for which there was none in this tick.
    fn give_up_if_secured(
        &mut self,
        now: Duration,
        request: RequestId,
        failed_searches: &mut HashSet<(ServiceId, Option<Name>, Option<EndpointId>)>,
        out: &mut Vec<Action>,
    ) {
        let Some(mut row) = self.rows.remove(&request) else {
            return;
        };
        if row.may_move(now) {
            let endpoint = row.endpoint.and_then(|id| self.endpoints.get(id));
            row.given_up = endpoint.is_some_and(|endpoint| match endpoint.host {
                HostState::Refuses => true,
                // What has begun may go on once the network is back; what has not may begin elsewhere.
                HostState::Unreachable => !row.answering,
                HostState::Unknown | HostState::Accepts => false,
            });
            let sought = (row.arrival.service, row.software.clone(), row.endpoint);
            if !failed_searches.contains(&sought) {
                match self.find_successor(now, &row) {
                    Some(successor) => self.reserve(&mut row, successor),
                    None => drop(failed_searches.insert(sought)),
                }
            }
            if row.given_up {
                out.push(Action::GiveUp { request });
            }
        }
        self.rows.insert(request, row);
    }

    /// Gives up one silent attempt for the room that a request has left at another endpoint. While
    /// requests queue, they take each free slot before the next tick could give it away.
    pub(super) fn move_before_queue(
        &mut self,
        now: Duration,
        service: ServiceId,
        out: &mut Vec<Action>,
    ) {
        let is_waiting = |row: &&RequestRow| {
            row.arrival.service == service && self.is_silent(now, row) && row.may_move(now)
        };
        let silent = self.rows.values().filter(is_waiting);
        let first = silent.min_by_key(|row| (!row.answering, row.arrival.request));
        let Some(request) = first.map(|row| row.arrival.request) else {
            return;
        };
        let Some(mut row) = self.rows.remove(&request) else {
            return;
        };
        let is_responsive =
            |endpoint: &Endpoint| now <= endpoint.last_received_at + RESPONSIVE_WINDOW;
        let query = row.route_query();
        let found = routing::choose_room(
            &self.endpoints,
            self.local_domain,
            query,
            now,
            is_responsive,
        );
        if let Some(endpoint) = found.filter(|_| self.budget.spend(now)) {
            let successor = Successor {
                endpoint,
                is_unproven: false,
                is_charged: true,
            };
            self.reserve(&mut row, successor);
            out.push(Action::GiveUp { request });
        }
        self.rows.insert(request, row);
    }

    /// Reserves a slot for the next attempt of a request that is given up.
    fn reserve(&mut self, row: &mut RequestRow, successor: Successor) {
        row.given_up = true;
        row.successor = Some(successor);
        if let Some(endpoint) = self.endpoints.get_mut(successor.endpoint) {
            endpoint.online_here += 1;
        }
    }

    /// Finds an endpoint that a silent attempt can go on at.
    ///
    /// A free slot is taken without the retry budget: it can't add to a load that is too high, as there
    /// are no free slots then. Endpoints that this VM has not heard from recently may have paused
    /// together with the silent one, so they are tried by one attempt at a time.
    fn find_successor(&mut self, now: Duration, row: &RequestRow) -> Option<Successor> {
        let is_responsive =
            |endpoint: &Endpoint| now <= endpoint.last_received_at + RESPONSIVE_WINDOW;
        let is_idle = |endpoint: &Endpoint| endpoint.online_here == 0;
        let mut is_unproven = false;
        let mut found = self.choose_free(now, row, is_responsive);
        let service = row.arrival.service;
        let may_try = !self.tries_unproven(now, service) && !self.may_pause_together(now, service);
        if found.is_none() && may_try {
            is_unproven = true;
            // One that has sent nothing since it went silent may still be dead.
            let is_unheard = |endpoint: &Endpoint| endpoint.silent_at.is_some();
            found = self
                .choose_free(now, row, |endpoint| {
                    is_idle(endpoint) && !is_unheard(endpoint)
                })
                .or_else(|| self.choose_free(now, row, is_idle));
        }
        let Some(endpoint) = found else {
            return self.same_endpoint(now, row, is_responsive);
        };
        Some(Successor {
            endpoint,
            is_unproven,
            is_charged: false,
        })
    }

    fn choose_free(
        &mut self,
        now: Duration,
        row: &RequestRow,
        test: impl Fn(&Endpoint) -> bool,
    ) -> Option<EndpointId> {
        routing::choose_free(
            &self.endpoints,
            self.local_domain,
            row.route_query(),
            now,
            &mut self.rng,
            test,
        )
    }

    /// The attempt's own endpoint, to be reached by a new connection: it sends on others, or a first
    /// attempt without a response has waited for so long that its connection may be dead. Later attempts
    /// keep their place in the endpoint's queue.
    fn same_endpoint(
        &mut self,
        now: Duration,
        row: &RequestRow,
        is_responsive: impl Fn(&Endpoint) -> bool,
    ) -> Option<Successor> {
        let endpoint = row.endpoint.and_then(|id| self.endpoints.get(id))?;
        let is_silent_for_long = now
            >= row.last_received_at.max(self.resumed_at) + QUEUED_SILENCE_TIMEOUT
            && !row.answering
            && row.attempts == 1
            && !endpoint.is_host_away();
        let may_reconnect = is_responsive(endpoint) || is_silent_for_long;
        let is_in_service = endpoint.leaving.is_none() && !endpoint.barred;
        let is_possible = is_in_service && row.route_query().accepts(endpoint);
        let successor = Successor {
            endpoint: endpoint.id,
            is_unproven: false,
            is_charged: true,
        };
        (may_reconnect && is_possible && self.budget.spend(now)).then_some(successor)
    }

    /// Whether all endpoints that this VM uses may have paused at once: several are silent, none is
    /// responsive, and their hosts accept connections or have had no time to. Others may then pause as well, and each
    /// VM's attempt there would queue behind those of all others.
    fn may_pause_together(&self, now: Duration, service: ServiceId) -> bool {
        let rows = self.endpoints.of_service(service).iter();
        let used = rows
            .map(|at| &self.endpoints.rows[*at])
            .filter(|endpoint| endpoint.online_here > 0);
        let mut silent = 0;
        let mut may_pause = false;
        for endpoint in used {
            if now <= endpoint.last_received_at + RESPONSIVE_WINDOW {
                return false;
            }
            if let Some(silent_at) = endpoint.silent_at {
                silent += 1;
                let is_checked = now >= silent_at + HOST_CHECK_TIME;
                let is_new = now < silent_at + PAUSE_MAX;
                may_pause |= is_new && (endpoint.host == HostState::Accepts || !is_checked);
            }
        }
        silent >= 2 && may_pause
    }

    /// Whether an attempt is on its way to an endpoint that this VM has not heard from recently.
    fn tries_unproven(&self, now: Duration, service: ServiceId) -> bool {
        let mut rows = self.rows.values();
        rows.any(|row| {
            let is_reserved = row.successor.is_some_and(|successor| successor.is_unproven);
            let is_sent = row.is_unproven && now < row.sent_at + SILENCE_TIMEOUT;
            row.arrival.service == service && (is_reserved || is_sent)
        })
    }

    /// A silent endpoint for a first attempt, if the service has no other at all: it may merely pause.
    pub(super) fn choose_silent(&self, now: Duration, row: &RequestRow) -> Option<EndpointId> {
        if row.attempts > 0 || !row.arrival.idempotent {
            return None;
        }
        let query = row.route_query();
        let rows = self.endpoints.of_service(row.arrival.service).iter();
        let rows = rows.map(|at| &self.endpoints.rows[*at]);
        if rows.clone().any(|endpoint| endpoint.usable(now)) {
            return None;
        }
        let may_try = |endpoint: &&Endpoint| {
            let is_in_service = endpoint.leaving.is_none() && !endpoint.barred;
            let is_paused = endpoint.silent_at.is_some() && !endpoint.is_host_away();
            let has_room = endpoint.has_room(now);
            is_in_service && is_paused && has_room && query.accepts(endpoint)
        };
        let least_used = rows.filter(may_try).min_by_key(|e| (e.online_here, e.id));
        least_used.map(|endpoint| endpoint.id)
    }

    /// Frees the slot that is reserved for the next attempt.
    pub(super) fn release_successor(&mut self, row: &mut RequestRow) -> Option<Successor> {
        let successor = row.successor.take()?;
        self.endpoints.release_online(successor.endpoint);
        Some(successor)
    }

    /// Handles that an attempt which was to be given up goes on.
    pub(super) fn handle_kept(&mut self, now: Duration, request: RequestId, state: SuccessorState) {
        let Some(mut row) = self.rows.remove(&request) else {
            return;
        };
        if !row.given_up {
            self.rows.insert(request, row);
            return;
        }
        row.given_up = false;
        row.kept_until = now + KEPT_RECHECK_AFTER;
        let successor = self.release_successor(&mut row);
        self.rows.insert(request, row);
        if successor.is_some_and(|successor| successor.is_charged) {
            self.budget.give_back();
        }
        let ended = state == SuccessorState::Ended;
        if let Some(successor) = successor.filter(|_| state != SuccessorState::NotTried) {
            self.endpoint_failed(now, successor.endpoint, AttemptStage::NotSent, ended);
        }
    }

    /// Sends a request that was given up to its successor; returns it if that is not possible any more.
    pub(super) fn send_to_successor(
        &mut self,
        now: Duration,
        mut row: RequestRow,
        successor: Successor,
        out: &mut Vec<Action>,
    ) -> Option<RequestRow> {
        if !self.can_take_over(now, &row, successor) {
            return Some(row);
        }
        row.is_unproven = successor.is_unproven;
        row.is_moved = true;
        self.send(now, row, successor.endpoint, out);
        None
    }

    /// Counts a silence as evidence against the endpoint, unless it may be a pause: the endpoint sent
    /// on other connections meanwhile, or was silent before, or its host is away.
    pub(super) fn count_silence(&mut self, now: Duration, row: &RequestRow) {
        let Some(endpoint) = row.endpoint.and_then(|id| self.endpoints.get(id)) else {
            return;
        };
        let may_be_pause = endpoint.silent_at.is_some() && endpoint.ejections <= 1;
        if !may_be_pause || endpoint.is_host_away() {
            self.evidence.failed(now, endpoint.id, row.answering);
        }
    }
}

impl RequestRow {
    /// Whether another attempt may follow this one while it is silent.
    fn may_move(&self, now: Duration) -> bool {
        let may_retry = match self.answering {
            true => self.arrival.resumable,
            false => self.arrival.idempotent,
        };
        let has_time = now >= self.kept_until && now < self.arrival.deadline;
        may_retry && !self.given_up && has_time && self.has_attempts_left()
    }
}
