//! Batch items of a simulated fleet.

use super::{update_uses, Fleet, Run, RunKind};
use crate::decide::items::{self, ItemKey, ItemPlanner};
use crate::decide::slot_grants::CompetingVm;
use crate::id::{DomainId, EndpointId, VmId};
use crate::model::engine::{EngineRequest, PromptPart, RunEvent, TimedEvent};

impl Fleet<'_> {
    pub(super) fn plan_items(&mut self, at: usize) {
        let now = self.now;
        let vm = &mut self.vms[at];
        vm.plan_now = false;
        update_uses(vm, now);
        let competing_vm = |(vm, (domain, items)): (&VmId, &(DomainId, u32))| CompetingVm {
            vm: *vm,
            domain: *domain,
            items: *items,
        };
        let competing_vms: Vec<CompetingVm> = match self.spec.slot_grants {
            true => vm.waiting.iter().map(competing_vm).collect(),
            false => Vec::new(),
        };
        let planner = ItemPlanner {
            vm: vm.id,
            domain: vm.domain,
            competing_vms: &competing_vms,
            may_start: true,
        };
        let actions = vm
            .items
            .plan(now, &planner, &vm.online.endpoints, &vm.usage);
        vm.changed |= !actions.is_empty();
        for action in actions {
            match action {
                items::Action::Start { key, endpoint, .. } => self.start_item(at, key, endpoint),
                items::Action::Stop { key } => self.stop_item(at, &key),
            }
        }
    }

    pub(super) fn start_item(&mut self, vm: usize, key: ItemKey, endpoint: EndpointId) {
        let run = self.next_id();
        let Some(item) = self.items.get_mut(&key) else {
            return;
        };
        item.run = Some((run, endpoint));
        item.generated_before = item.generated;
        let engine_request = EngineRequest {
            run,
            prompt: vec![PromptPart {
                id: run,
                tokens: self.load.prompt_tokens,
            }],
            generated_before: item.generated,
            output_tokens: item.tokens.saturating_sub(item.generated).max(1),
        };
        if self.offer(endpoint, engine_request) {
            let kind = RunKind::Item(key);
            self.runs.insert(run, Run { vm, kind });
        } else {
            self.vms[vm].items.paused(self.now, &key, true);
        }
    }

    pub(super) fn stop_item(&mut self, vm: usize, key: &ItemKey) {
        self.outcome.items_stopped += 1;
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        self.outcome.started_in_vain += u64::from(item.generated == item.generated_before);
        if let Some((run, endpoint)) = item.run.take() {
            self.runs.remove(&run);
            if let Some(engine) = self.engines.get_mut(&endpoint) {
                engine.cancel(run);
            }
        }
        self.vms[vm].items.paused(self.now, key, false);
    }

    pub(super) fn apply_item_event(&mut self, vm: usize, key: &ItemKey, event: TimedEvent) {
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        match event.event {
            RunEvent::FirstToken => {}
            // Tokens of complete events are kept when the item is stopped.
            RunEvent::Generated(_) => item.generated += self.spec.engine.stride_tokens,
            RunEvent::Ended => {
                self.outcome.items_in_time += u64::from(event.at <= item.due);
                self.items.remove(key);
                let vm = &mut self.vms[vm];
                vm.items.completed(self.now, key);
                vm.changed = true;
                vm.plan_now = true;
            }
        }
    }
}
