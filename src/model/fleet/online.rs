//! Online requests of a simulated fleet: from the caller to an engine and back.

use std::time::Duration;

use rand::Rng;

use super::{Fleet, Run, RunKind, RETRY_SHARE, SERVICE, WORKSPACE};
use crate::decide::online::{self, AttemptOutcome as Ended, Event};
use crate::decide::retry::AttemptStage;
use crate::id::{EndpointId, RequestId};
use crate::model::engine::{EngineRequest, RunEvent, TimedEvent};

impl Fleet<'_> {
    pub(super) fn submit(&mut self, vm: usize, request: RequestId) {
        let state = &self.online_requests[&request];
        let arrival = online::Arrival {
            request,
            workspace: WORKSPACE,
            priority: 0,
            service: SERVICE,
            prefix: state.prompt[0].id,
            deadline: state.first_at + self.load.deadline,
            idempotent: true,
            resumable: true,
            attempts_max: 2,
            software: None,
        };
        self.handle(vm, Event::Arrived(arrival));
    }

    pub(super) fn handle(&mut self, vm: usize, event: Event) {
        let mut out = Vec::new();
        self.vms[vm].online.handle(self.now, event, &mut out);
        self.apply_actions(vm, out);
    }

    pub(super) fn apply_actions(&mut self, vm: usize, actions: Vec<online::Action>) {
        for action in actions {
            match action {
                online::Action::Send {
                    request, endpoint, ..
                } => self.send(vm, request, endpoint),
                online::Action::Refuse {
                    request,
                    retry_after,
                    ..
                } => self.apply_refusal(vm, request, retry_after),
                // Simulated engines never stop answering.
                online::Action::GiveUp { .. } => {}
            }
        }
    }

    pub(super) fn send(&mut self, vm: usize, request: RequestId, endpoint: EndpointId) {
        let run = self.next_id();
        let Some(state) = self.online_requests.get_mut(&request) else {
            return;
        };
        let engine_request = EngineRequest {
            run,
            prompt: state.prompt.clone(),
            generated_before: 0,
            output_tokens: state.tokens,
        };
        state.run = Some((run, endpoint));
        self.check_pressure(vm, endpoint);
        self.vms[vm].changed = true;
        if self.offer(endpoint, engine_request) {
            let kind = RunKind::Online(request);
            self.runs.insert(run, Run { vm, kind });
            return;
        }
        let outcome = Ended::Failed {
            stage: AttemptStage::Refused,
            endpoint_fault: false,
            endpoint_ended: false,
        };
        self.handle(vm, Event::Ended { request, outcome });
    }

    /// Has batch items preempted at once when an endpoint has more requests than slots.
    pub(super) fn check_pressure(&mut self, vm: usize, endpoint: EndpointId) {
        let now = self.now;
        let vm = &mut self.vms[vm];
        let here = vm.items.running_at(endpoint);
        let elsewhere = vm.usage.total(endpoint).batch;
        let Some(row) = vm.online.endpoints.get_mut(endpoint) else {
            return;
        };
        row.batch = here + elsewhere;
        let crowded = row.may_queue(now);
        vm.plan_now |= crowded && here > 0;
        if crowded && elsewhere > 0 {
            vm.local_heartbeat_at = Duration::ZERO;
            vm.remote_heartbeat_at = Duration::ZERO;
        }
    }

    pub(super) fn apply_refusal(&mut self, vm: usize, request: RequestId, after: Option<Duration>) {
        let Some(state) = self.online_requests.get_mut(&request) else {
            return;
        };
        let deadline = state.first_at + self.load.deadline;
        let left = deadline.saturating_sub(self.now);
        let wait = after.unwrap_or_default().min(left.mul_f64(RETRY_SHARE));
        if state.retried || left.is_zero() {
            self.outcome.online_refused += 1;
            self.online_requests.remove(&request);
            return;
        }
        state.retried = true;
        let domain = self.vms[vm].domain;
        let others: Vec<usize> = (0..self.vms.len())
            .filter(|at| self.vms[*at].domain == domain)
            .collect();
        let other = others[self.rng.random_range(0..others.len())];
        self.retries.push((self.now + wait, other, request));
    }

    pub(super) fn retry_callers(&mut self) {
        let now = self.now;
        let due = |(at, ..): &mut (Duration, usize, RequestId)| *at <= now;
        let due: Vec<_> = self.retries.extract_if(.., due).collect();
        for (_, vm, request) in due {
            if let Some(state) = self.online_requests.get_mut(&request) {
                state.arrived_at = now;
                self.submit(vm, request);
            }
        }
    }

    pub(super) fn apply_online_event(&mut self, vm: usize, request: RequestId, event: TimedEvent) {
        match event.event {
            RunEvent::FirstToken => {
                if let Some(state) = self.online_requests.get_mut(&request) {
                    let took = event.at.saturating_sub(state.first_at);
                    state.in_time = took <= self.load.goal;
                    self.outcome.online_in_time += u64::from(state.in_time);
                    self.outcome.firsts.push(took);
                }
                self.handle(vm, Event::FirstToken { request });
            }
            RunEvent::Generated(_) => {}
            RunEvent::Ended => {
                self.online_requests.remove(&request);
                let outcome = Ended::Done;
                self.handle(vm, Event::Ended { request, outcome });
                self.vms[vm].changed = true;
                self.vms[vm].plan_now = true;
            }
        }
    }
}
