//! Batch items of a simulated fleet.

use super::{note_uses, Fleet, Of, Run};
use crate::decide::items::{self, ItemKey, ItemPlanner};
use crate::decide::slot_grants::CompetingVm;
use crate::id::{DomainId, EndpointId, VmId};
use crate::model::engine::{Part, Seen, Sent, Work};

impl Fleet<'_> {
    pub(super) fn plan_items(&mut self, at: usize) {
        let now = self.now;
        let vm = &mut self.vms[at];
        vm.plan_now = false;
        note_uses(vm, now);
        let rival = |(vm, (domain, items)): (&VmId, &(DomainId, u32))| CompetingVm {
            vm: *vm,
            domain: *domain,
            items: *items,
        };
        let rivals: Vec<CompetingVm> = match self.plan.turns {
            true => vm.waiting.iter().map(rival).collect(),
            false => Vec::new(),
        };
        let own = ItemPlanner {
            vm: vm.id,
            domain: vm.domain,
            rivals: &rivals,
            starting: true,
        };
        let actions = vm.items.plan(now, &own, &vm.online.endpoints, &vm.usage);
        vm.changed |= !actions.is_empty();
        for action in actions {
            match action {
                items::Action::Start { key, endpoint } => self.start_item(at, key, endpoint),
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
        item.made_before = item.made;
        let work = Work {
            run,
            prompt: vec![Part {
                id: run,
                tokens: self.load.prompt_tokens,
            }],
            made_before: item.made,
            tokens_out: item.tokens.saturating_sub(item.made).max(1),
        };
        if self.offer(endpoint, work) {
            let of = Of::Item(key);
            self.runs.insert(run, Run { vm, of });
        } else {
            self.vms[vm].items.paused(self.now, &key, true);
        }
    }

    pub(super) fn stop_item(&mut self, vm: usize, key: &ItemKey) {
        self.seen.items_stopped += 1;
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        self.seen.started_in_vain += u64::from(item.made == item.made_before);
        if let Some((run, endpoint)) = item.run.take() {
            self.runs.remove(&run);
            if let Some(engine) = self.engines.get_mut(&endpoint) {
                engine.cancel(run);
            }
        }
        self.vms[vm].items.paused(self.now, key, false);
    }

    pub(super) fn heard_item(&mut self, vm: usize, key: &ItemKey, sent: Sent) {
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        match sent.seen {
            Seen::First => {}
            // Tokens of complete events are kept when the item is stopped.
            Seen::Made(_) => item.made += self.plan.engine.stride_tokens,
            Seen::Ended => {
                self.seen.items_in_time += u64::from(sent.at <= item.due);
                self.items.remove(key);
                let vm = &mut self.vms[vm];
                vm.items.completed(self.now, key);
                vm.changed = true;
                vm.plan_now = true;
            }
        }
    }
}
