//! Requests to empty a VM with a disk.

use std::time::Duration;

use tokio::time::sleep;

use super::jobs::write;
use super::node::Node;
use crate::clock;
use crate::id;
use crate::store::{Error, Txn};

/// Attempts to record that a VM is empty; they cover over a minute of an outage of the store.
const RETIRE_ATTEMPTS_MAX: usize = 200;

/// Delay per rank, and between two attempts: by then the VM before this one has written, or will
/// not.
const RETIRE_DELAY: Duration = Duration::from_millis(300);

/// Answers a request to empty a VM with a disk. All durable data is in the metadata store, so such
/// a VM never holds anything that has to be moved. The first VM by rank records that, and the
/// others after a delay if it has not.
pub fn retire(node: &Node, vm: &str) {
    let rank = node
        .core
        .borrow()
        .peers
        .rank(clock::now(), node.vm, id::of(vm));
    let key = format!("{}{vm}", node.dialect.keys.retire_status);
    let value = (node.dialect.retired)();
    let store = node.store.clone();
    let vm = vm.to_owned();
    tokio::task::spawn_local(async move {
        sleep(RETIRE_DELAY * rank as u32).await;
        for _ in 0..RETIRE_ATTEMPTS_MAX {
            let expect = match store.get(&key).await {
                Ok(Some(item)) if item.value == value => return,
                Ok(found) => found.map_or(0, |item| item.revision),
                Err(error) => {
                    log::warn!(vm, error:% = error; "request to empty a VM delayed: its status can't be read");
                    sleep(RETIRE_DELAY).await;
                    continue;
                }
            };
            let txn = Txn {
                expect: vec![(key.clone(), expect)],
                writes: vec![write(key.clone(), value.clone())],
                deletes: Vec::new(),
            };
            match store.try_commit(txn).await {
                // Another VM wrote first; the next iteration finds its value.
                Ok(None) => {}
                Ok(Some(_)) => log::info!(vm, rank; "VM recorded as empty"),
                Err(error) => {
                    log::warn!(vm, error:% = error; "the VM's status can't be written");
                    if matches!(error, Error::Rejected { .. }) {
                        return;
                    }
                    sleep(RETIRE_DELAY).await;
                }
            }
        }
    });
}
