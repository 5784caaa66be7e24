//! Progress of running items, saved in the store so that it outlives this VM.
//!
//! Without this, when a VM dies and another claims its jobs, their items run again from the start:
//! after a kill of all VMs the engines repeated 2 s of work while all callers waited. With saved
//! progress 4 to 9 more of 100 items were in time on days on which VMs die. So the text so far is
//! written beside the job's record at intervals, and a VM that claims the job resumes after it. It
//! may be old, never wrong: an item's events are the same at every engine of one software version,
//! and a run that resumes after an earlier event there makes the later ones again.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{ItemProgress, OwnedJob};
use crate::decide::discovery::{ConnectedProcess, SoftwareCheck};
use crate::decide::items::ItemKey;
use crate::decide::small_jobs::{fitting, progress_key, record_key, ItemIndex, SmallJobRecord};
use crate::id::{JobId, Name, Revision};
use crate::serve::jobs::{encode, write};
use crate::serve::node::{Core, Node};
use crate::store::{Txn, Write};
use crate::util::json_bytes;

/// Time between two writes for one job. A death loses half of it on average for each item that runs
/// there; each write is one call on the store.
const SAVE_INTERVAL: Duration = Duration::from_millis(2000);

/// Saved progress of one item.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct SavedProgress {
    pub item: ItemIndex,
    /// The event that `text` ends with.
    pub last_event: u64,
    /// The data of all events so far, in order, with line feeds between them.
    pub text: String,
    /// How long the item has run, so that a successor can tell how much is left.
    pub ran_ms: u64,
    /// Software version that made the text; programs without this field have not recorded it.
    #[serde(default)]
    pub software: Option<Name>,
}

/// Saves the progress of a job's items, if it is time.
pub(super) fn save(
    node: &Rc<Node>,
    now: Duration,
    job: &JobId,
    record: &SmallJobRecord,
    at: Revision,
) {
    let saved = {
        let mut guard = node.runs.owned.borrow_mut();
        let Some(owned) = guard.get_mut(job) else {
            return;
        };
        if now < owned.saved_at + SAVE_INTERVAL || !node.store_answers.get() {
            return;
        }
        owned.saved_at = now;
        job_progress(now, job, owned, &node.core.borrow())
    };
    let items = saved.len();
    let Some(write) = progress_write(&record.id, saved) else {
        return;
    };
    let txn = guarded_txn(record, at, write);
    let (node, job) = (node.clone(), job.clone());
    tokio::task::spawn_local(async move {
        match node.store.try_commit(txn).await {
            Ok(Some(_)) => log::debug!(job = *job, items; "progress saved"),
            // The record has changed meanwhile; the next check writes again.
            Ok(None) => log::debug!(job = *job; "progress not saved: the record has changed"),
            Err(error) => log::info!(job = *job, error:% = error; "progress not saved"),
        }
    });
}

/// Saves the progress of a job's items before the job is handed over.
pub(super) async fn save_last(node: &Node, now: Duration, record: &SmallJobRecord, at: Revision) {
    let saved = {
        let owned = node.runs.owned.borrow();
        let core = node.core.borrow();
        let job = &record.id;
        owned
            .get(job)
            .map(|owned| job_progress(now, job, owned, &core))
    };
    let Some(write) = progress_write(&record.id, saved.unwrap_or_default()) else {
        return;
    };
    if let Err(error) = node.store.try_commit(guarded_txn(record, at, write)).await {
        log::info!(job = *record.id, error:% = error; "progress not saved");
    }
}

/// A write that takes effect only while the job's record is unchanged, and so while this process
/// owns the job.
fn guarded_txn(record: &SmallJobRecord, at: Revision, write: Write) -> Txn {
    Txn {
        expect: vec![(record_key(&record.id), at)],
        writes: vec![write],
        deletes: Vec::new(),
    }
}

/// The progress of a job's items, without texts of which it is not known which software made them.
fn job_progress(now: Duration, job: &JobId, owned: &OwnedJob, core: &Core) -> Vec<SavedProgress> {
    let is_confirmed = |connected: &ConnectedProcess| {
        core.discovery.check_software(connected) == SoftwareCheck::Confirmed
    };
    let to_saved = |(item, progress): (&ItemIndex, &ItemProgress)| {
        if !progress.began_on.as_ref().is_none_or(is_confirmed) {
            return None;
        }
        let key = ItemKey {
            job: job.clone(),
            item: *item,
        };
        Some(SavedProgress {
            item: *item,
            last_event: progress.last_event?,
            text: progress.texts.join("\n"),
            ran_ms: core.items.run_time(now, &key).as_millis() as u64,
            software: Some(progress.software.clone()?),
        })
    };
    owned.progress.iter().filter_map(to_saved).collect()
}

/// The write of a job's progress; `None` when there is none. If all of it is more than a value
/// holds, the items that have run for the longest come first; the others start again after a death.
fn progress_write(job: &JobId, mut saved: Vec<SavedProgress>) -> Option<Write> {
    saved.sort_by_key(|one| Reverse(one.ran_ms));
    let saved = fitting(saved);
    (!saved.is_empty()).then(|| write(progress_key(job), encode(&saved)))
}

/// Reads the progress of a claimed job's items, as its former owner saved it.
pub(super) async fn read(
    node: &Node,
    record: &SmallJobRecord,
) -> HashMap<ItemIndex, SavedProgress> {
    if record.epoch <= 1 {
        return HashMap::new();
    }
    let key = progress_key(&record.id);
    let value = match node.store.get(&key).await {
        Ok(Some(item)) => item.value,
        Ok(None) => return HashMap::new(),
        Err(error) => {
            log::info!(job = *record.id, error:% = error; "progress can't be fetched: items start again");
            return HashMap::new();
        }
    };
    match serde_json::from_slice::<Vec<SavedProgress>>(&value) {
        Ok(saved) => {
            let known = saved.into_iter().filter(|one| one.software.is_some());
            let known: HashMap<_, _> = known.map(|one| (one.item, one)).collect();
            log::info!(job = *record.id, items = known.len(); "items go on where they were");
            known
        }
        Err(error) => {
            log::error!(key, error:% = error; "progress can't be decoded: items start again");
            HashMap::new()
        }
    }
}

impl SavedProgress {
    /// Progress of an item that resumes after the saved text.
    pub(super) fn resume(self, failures: u32) -> ItemProgress {
        ItemProgress {
            text_bytes: json_bytes(&self.text),
            texts: vec![self.text],
            last_event: Some(self.last_event),
            software: self.software,
            began_on: None,
            unconfirmed_since: None,
            failures,
            failed_at: Vec::new(),
            run: None,
            hold: None,
        }
    }
}
