//! Follows the metadata store: configuration, endpoints, jobs and the other VMs.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

use super::node::{Core, Node};
use super::proving::{ask_store, proof_due_in};
use super::retire::retire;
use crate::clock;
use crate::decide::discovery::{KnownEntry, SnapshotSource};
use crate::decide::freshness::StoreSubject;
use crate::id::{self, Revision};
use crate::store::{Change, Error, Item};
use crate::util;

/// Longest wait of one watch. It doesn't bound how late a change may be seen: the confirmations
/// that are requested meanwhile do.
pub const WAIT: Duration = Duration::from_secs(29);
/// First pause after a failed call. The pause is drawn from this value up to three times it, so
/// that all VMs together stay below the store's rate limits while it is unavailable.
const FAILED_PAUSE: Duration = Duration::from_millis(150);
/// Growth of the pause with each further failure, and its limit before the draw. Outages last for
/// seconds and every call is paid for, refused ones too; a VM that finds the store back a second
/// later has lost nothing, since other VMs send it what has changed.
const FAILED_GROWTH: f64 = 1.6;
const FAILED_PAUSE_MAX: Duration = Duration::from_millis(450);
/// Longest pause after the draw: below the second for which an outage is remembered. A later read
/// took entries that had lapsed in the outage for removed ones, and callers found no endpoint.
const FAILED_PAUSE_LONGEST: Duration = Duration::from_millis(900);
/// Pause after a watch has delivered changes and before it is set anew: changes that come together,
/// as when many endpoints register at once, reach each VM in one answer. Drains are seen this much
/// later, out of the seconds that they have.
const PACE: Duration = Duration::from_millis(200);
/// Delegates of a starting fleet are heard within this time; the VMs that they represent need no
/// watches until then.
const SETTLE: Duration = Duration::from_millis(1500);
/// Time between two checks of a VM that delegates update whether they still do.
const REST: Duration = Duration::from_millis(300);
/// Time after a failure by which the store's watches deliver changes again.
const CONFIRM: Duration = Duration::from_millis(1200);

/// What an answer brings to a follower.
pub enum News {
    /// All current entries.
    All(Vec<Item>),
    Changes(Vec<Change>),
    /// Changes from another VM, which may be late by an unknown time.
    PassedOn(Vec<Change>),
}

impl News {
    pub fn is_empty(&self) -> bool {
        match self {
            News::All(_) => false,
            News::Changes(changes) | News::PassedOn(changes) => changes.is_empty(),
        }
    }

    /// The written entries, without the deletions.
    pub fn written(self) -> Vec<Item> {
        match self {
            News::All(items) => items,
            News::Changes(changes) | News::PassedOn(changes) => {
                changes.into_iter().filter_map(written).collect()
            }
        }
    }
}

/// A subject to follow, and the prefix of its keys.
#[derive(Clone, Copy)]
pub struct Followed {
    pub subject: StoreSubject,
    pub prefix: &'static str,
}

/// The answer to one request for changes.
pub struct Told {
    pub news: News,
    /// Revision up to which the answer is complete.
    pub at: Revision,
    /// When the store was asked; `None` for an answer of another VM.
    pub asked_at: Option<Duration>,
}

/// Follows one prefix until the process ends.
///
/// A store that is about to drop its history sends its watches nothing for a second, then cuts
/// them; changes within that second reach no watch. A watch that continues from its last revision,
/// or is set anew within that second, stays behind for as long as it waits. So all entries are read
/// again after a failure, and once more when that second is over.
///
/// `ask` returns all entries when it is given no revision, else what has changed after it; `None`
/// when it was interrupted.
pub async fn follow(
    node: Rc<Node>,
    Followed { subject, prefix }: Followed,
    pace: fn(&Node) -> Duration,
    ask: impl AsyncFn(&Rc<Node>, Option<Revision>, Duration) -> Result<Option<Told>, Error>,
    mut take: impl FnMut(&Node, News, Revision),
) {
    let mut at: Option<Revision> = None;
    let mut away = false;
    let mut pause = FAILED_PAUSE;
    // When all entries are read once more after a failure.
    let mut confirm_at: Option<Duration> = None;
    loop {
        let now = clock::now();
        if confirm_at.is_some_and(|due| now >= due) {
            confirm_at = None;
            at = None;
        }
        let wait = confirm_at.map_or(WAIT, |due| due.saturating_sub(now).min(WAIT));
        match ask(&node, at, wait).await {
            Ok(None) => {
                if at.is_some() {
                    log::info!(prefix; "the watch is given up: all is read again, or delegates tell it");
                }
                at = None;
                confirm_at = Some(clock::now() + CONFIRM);
            }
            Ok(Some(told)) => {
                if away {
                    log::info!(prefix, revision = told.at; "the store is back");
                    away = false;
                }
                pause = FAILED_PAUSE;
                let quiet = told.news.is_empty();
                take(&node, told.news, told.at);
                at = Some(told.at);
                // Only now does this VM have all that the answer confirms.
                if let Some(asked_at) = told.asked_at {
                    node.proved(subject, asked_at);
                }
                if !quiet {
                    sleep(pace(&node)).await;
                }
            }
            Err(Error::Compacted) => {
                log::info!(prefix; "the store has dropped its history: reading all again");
                at = None;
            }
            Err(error) => {
                if !away {
                    log::warn!(prefix, error:% = error; "the store is away");
                    away = true;
                }
                at = None;
                confirm_at = Some(clock::now() + CONFIRM);
                let drawn = pause.mul_f64(util::rng().random_range(1.0..3.0));
                sleep(drawn.min(FAILED_PAUSE_LONGEST)).await;
                pause = pause.mul_f64(FAILED_GROWTH).min(FAILED_PAUSE_MAX);
            }
        }
    }
}

/// Whether delegates send changes to this VM, so that it need not follow the store.
///
/// Without this, each of 250 VMs has a watch of its own, and the replacement of one endpoint takes
/// a thousand calls, which are priced and rate-limited. Delegates alone make a twentieth of them.
fn is_told(node: &Node, subject: StoreSubject) -> bool {
    let own = node.own();
    settles(node) || {
        let core = node.core.borrow();
        knows_all(&core)
            && core.peers.is_updated_by_delegate(clock::now(), own)
            && !steps_in(node, subject)
    }
}

/// Whether this VM, which delegates represent, has to follow the store itself because their
/// confirmations are overdue.
fn steps_in(node: &Node, subject: StoreSubject) -> bool {
    proof_due_in(node, subject).is_some_and(|left| left.is_zero())
}

/// Whether the fleet has just started, and the delegates of this VM have not been heard yet.
pub fn settles(node: &Node) -> bool {
    let own = node.own();
    let core = node.core.borrow();
    let starts = clock::now() < node.started_at + SETTLE;
    starts && knows_all(&core) && core.peers.is_represented(own)
}

fn knows_all(core: &Core) -> bool {
    core.routes.is_some() && core.discovery.is_loaded()
}

/// Waits in place of a request while delegates send the changes.
pub async fn rest() -> Result<Option<Told>, Error> {
    sleep(REST).await;
    Ok(None)
}

/// Follows a prefix at the store, without delay beyond [`PACE`].
async fn follow_store(node: Rc<Node>, followed: Followed, take: impl FnMut(&Node, News, Revision)) {
    let ask = async |node: &Rc<Node>, at: Option<Revision>, wait: Duration| {
        if is_told(node, followed.subject) {
            return rest().await;
        }
        ask_store(node, followed, at, wait).await
    };
    follow(node, followed, |_| PACE, ask, take).await;
}

/// Follows the configuration and the requests to empty VMs.
pub async fn operators(node: Rc<Node>) {
    let followed = Followed {
        subject: StoreSubject::Rules,
        prefix: node.dialect.keys.operators,
    };
    let take = |node: &Node, news: News, _| {
        for item in news.written() {
            operators_item(node, &item);
        }
    };
    follow_store(node, followed, take).await;
}

fn written(change: Change) -> Option<Item> {
    match change {
        Change::Written(item) => Some(item),
        Change::Deleted { .. } => None,
    }
}

fn operators_item(node: &Node, item: &Item) {
    let keys = node.dialect.keys;
    if item.key == keys.rules {
        match (node.dialect.rules)(&item.value) {
            Ok(rules) => node.take_rules(rules, "store"),
            // The configuration in force stays in force.
            Err(error) => log::error!(key = item.key, error; "rules can't be read"),
        }
    } else if let Some(vm) = item.key.strip_prefix(keys.retire) {
        retire(node, vm);
    }
}

/// Follows the endpoints.
pub async fn endpoints(node: Rc<Node>) {
    let followed = Followed {
        subject: StoreSubject::Endpoints,
        prefix: node.dialect.keys.endpoints,
    };
    let take = |node: &Node, news: News, revision| {
        let now = clock::now();
        let changed = match news {
            News::All(items) => all_endpoints(node, now, &items, revision),
            News::Changes(changes) | News::PassedOn(changes) => {
                let changed = changes.iter().filter(|change| endpoint(node, now, change));
                changed.count() > 0
            }
        };
        node.endpoints_told("store", changed);
    };
    follow_store(node, followed, take).await;
}

/// Applies a whole reading of the endpoints' entries; true when anything changed. An entry that
/// names no usable endpoint counts as present and without an endpoint; it affects no other entry.
fn all_endpoints(node: &Node, now: Duration, items: &[Item], at: Revision) -> bool {
    let mut changed = false;
    let mut entries = Vec::new();
    for item in items {
        match entry(node, item) {
            Some(known) => entries.push(known),
            None => changed |= unusable(node, now, item),
        }
    }
    let mut core = node.core.borrow_mut();
    let replaced = core
        .discovery
        .apply_snapshot(now, entries, at, SnapshotSource::Store);
    changed || replaced
}

/// Parses an entry; `None` when it names no usable endpoint.
fn entry(node: &Node, item: &Item) -> Option<KnownEntry> {
    let name = entry_name(node, &item.key);
    match (node.dialect.registration)(name, &item.value) {
        Ok(entry) => Some(KnownEntry {
            id: id::of(name),
            entry,
            revision: item.revision,
            lapsing: None,
        }),
        Err(error) => {
            log::error!(key = item.key, error, revision = item.revision; "an entry names no endpoint");
            None
        }
    }
}

fn entry_name<'a>(node: &Node, key: &'a str) -> &'a str {
    key.strip_prefix(node.dialect.keys.endpoints).unwrap_or(key)
}

fn unusable(node: &Node, now: Duration, item: &Item) -> bool {
    let id = id::of(entry_name(node, &item.key));
    let mut core = node.core.borrow_mut();
    core.discovery.apply_unusable(now, id, item.revision)
}

/// Applies one change of an endpoint's entry; true when anything changed.
fn endpoint(node: &Node, now: Duration, change: &Change) -> bool {
    match change {
        Change::Written(item) => {
            let Some(known) = entry(node, item) else {
                return unusable(node, now, item);
            };
            let mut core = node.core.borrow_mut();
            core.discovery
                .apply_entry(now, known.id, known.entry, known.revision)
        }
        Change::Deleted { key, revision } => {
            let id = id::of(entry_name(node, key));
            let mut core = node.core.borrow_mut();
            core.discovery.apply_removal(now, id, *revision)
        }
    }
}
