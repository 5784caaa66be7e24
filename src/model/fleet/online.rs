//! Online requests of a simulated fleet: from the caller to an engine and back.

use std::time::Duration;

use rand::Rng;

use super::{Fleet, Of, Run, RETRY_PART, SERVICE, WORKSPACE};
use crate::decide::online::{self, AttemptOutcome as Ended, Event};
use crate::decide::retry::AttemptStage;
use crate::id::{EndpointId, RequestId};
use crate::model::engine::{Seen, Sent, Work};

impl Fleet<'_> {
    pub(super) fn ask(&mut self, vm: usize, request: RequestId) {
        let asked = &self.asked[&request];
        let arrival = online::Arrival {
            request,
            workspace: WORKSPACE,
            priority: 0,
            service: SERVICE,
            prefix: asked.prompt[0].id,
            deadline: asked.first_at + self.load.deadline,
            idempotent: true,
            resumable: true,
            attempts_max: 2,
        };
        self.handle(vm, Event::Arrived(arrival));
    }

    pub(super) fn handle(&mut self, vm: usize, event: Event) {
        let mut out = Vec::new();
        self.vms[vm].online.handle(self.now, event, &mut out);
        self.act(vm, out);
    }

    pub(super) fn act(&mut self, vm: usize, actions: Vec<online::Action>) {
        for action in actions {
            match action {
                online::Action::Send {
                    request, endpoint, ..
                } => self.send(vm, request, endpoint),
                online::Action::Refuse {
                    request,
                    retry_after,
                    ..
                } => self.refused(vm, request, retry_after),
                // Simulated engines never stop answering.
                online::Action::GiveUp { .. } => {}
            }
        }
    }

    pub(super) fn send(&mut self, vm: usize, request: RequestId, endpoint: EndpointId) {
        let run = self.next_id();
        let Some(asked) = self.asked.get_mut(&request) else {
            return;
        };
        let work = Work {
            run,
            prompt: asked.prompt.clone(),
            made_before: 0,
            tokens_out: asked.tokens,
        };
        asked.run = Some((run, endpoint));
        self.note_pressure(vm, endpoint);
        self.vms[vm].changed = true;
        if self.offer(endpoint, work) {
            let of = Of::Online(request);
            self.runs.insert(run, Run { vm, of });
            return;
        }
        let outcome = Ended::Failed {
            reach: AttemptStage::Refused,
            blame: false,
            ended: false,
        };
        self.handle(vm, Event::Ended { request, outcome });
    }

    /// Has batch items preempted at once when an endpoint has more requests than slots.
    pub(super) fn note_pressure(&mut self, vm: usize, endpoint: EndpointId) {
        let now = self.now;
        let vm = &mut self.vms[vm];
        let here = vm.items.at(endpoint);
        let elsewhere = vm.usage.of(endpoint).batch;
        let Some(row) = vm.online.endpoints.get_mut(endpoint) else {
            return;
        };
        row.batch = here + elsewhere;
        let crowded = row.may_queue(now);
        vm.plan_now |= crowded && here > 0;
        if crowded && elsewhere > 0 {
            vm.near_at = Duration::ZERO;
            vm.far_at = Duration::ZERO;
        }
    }

    pub(super) fn refused(&mut self, vm: usize, request: RequestId, after: Option<Duration>) {
        let Some(asked) = self.asked.get_mut(&request) else {
            return;
        };
        let deadline = asked.first_at + self.load.deadline;
        let left = deadline.saturating_sub(self.now);
        let wait = after.unwrap_or_default().min(left.mul_f64(RETRY_PART));
        if asked.again || left.is_zero() {
            self.seen.online_refused += 1;
            self.asked.remove(&request);
            return;
        }
        asked.again = true;
        let domain = self.vms[vm].domain;
        let others: Vec<usize> = (0..self.vms.len())
            .filter(|at| self.vms[*at].domain == domain)
            .collect();
        let other = others[self.rng.random_range(0..others.len())];
        self.returning.push((self.now + wait, other, request));
    }

    pub(super) fn return_callers(&mut self) {
        let now = self.now;
        let due = |(at, ..): &mut (Duration, usize, RequestId)| *at <= now;
        let due: Vec<_> = self.returning.extract_if(.., due).collect();
        for (_, vm, request) in due {
            if let Some(asked) = self.asked.get_mut(&request) {
                asked.arrived_at = now;
                self.ask(vm, request);
            }
        }
    }

    pub(super) fn heard_online(&mut self, vm: usize, request: RequestId, sent: Sent) {
        match sent.seen {
            Seen::First => {
                if let Some(asked) = self.asked.get_mut(&request) {
                    let took = sent.at.saturating_sub(asked.first_at);
                    asked.in_time = took <= self.load.goal;
                    self.seen.online_in_time += u64::from(asked.in_time);
                    self.seen.firsts.push(took);
                }
                self.handle(vm, Event::FirstToken { request });
            }
            Seen::Made(_) => {}
            Seen::Ended => {
                self.asked.remove(&request);
                let outcome = Ended::Done;
                self.handle(vm, Event::Ended { request, outcome });
                self.vms[vm].changed = true;
                self.vms[vm].plan_now = true;
            }
        }
    }
}
