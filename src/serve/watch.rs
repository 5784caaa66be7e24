//! Follows the metadata store: configuration, endpoints, jobs and the other VMs.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

use super::node::{Core, Node};
use super::refreshing::{ask_store, ask_store_once, refresh_due_in};
use super::retire::retire;
use crate::clock;
use crate::decide::discovery::KnownEntry;
use crate::decide::freshness::StoreSubject;
use crate::id::{self, Revision};
use crate::store::{Change, Error, Item};
use crate::util;

/// Longest wait of one watch. It doesn't bound how late a change may be seen: the confirmations
/// that are requested meanwhile do.
pub const WATCH_WAIT_MAX: Duration = Duration::from_secs(29);
/// First pause after a failed call. The pause is drawn from this value up to three times it, so
/// that all VMs together stay below the store's rate limits while it is unavailable.
const RETRY_PAUSE_FIRST: Duration = Duration::from_millis(150);
/// Growth of the pause with each further failure, and its limit before the draw. Outages last for
/// seconds and every call is paid for, refused ones too; a VM that finds the store back a second
/// later has lost nothing, since other VMs send it what has changed.
const RETRY_PAUSE_GROWTH: f64 = 1.6;
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(450);
/// Longest pause after the draw: below the second for which an outage is remembered. A later read
/// took entries that had lapsed in the outage for removed ones, and callers found no endpoint.
const DRAWN_PAUSE_MAX: Duration = Duration::from_millis(900);
/// Pause after a watch has delivered changes and before it is set anew: changes that come together,
/// as when many endpoints register at once, reach each VM in one answer. Drains are seen this much
/// later, out of the seconds that they have.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Delegates of a starting fleet are heard within this time; the VMs that they represent need no
/// watches until then.
const STARTUP_WINDOW: Duration = Duration::from_millis(1500);
/// Time within which the VMs of a starting fleet have registered and read each other's entries.
const REGISTRATION_TIME: Duration = Duration::from_millis(1500);
/// Shortest time for which a starting VM waits for its delegates' news of endpoints.
const FIRST_NEWS_WAIT: Duration = Duration::from_secs(4);
/// Time between two checks of a starting VM that waits.
const FIRST_NEWS_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two checks of a VM that delegates update whether they still do.
const DELEGATE_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time after a failure by which the store's watches deliver changes again.
const REREAD_AFTER: Duration = Duration::from_millis(1200);

/// What an answer brings to a follower.
pub enum StoreUpdate {
    /// All current entries.
    Snapshot(Vec<Item>),
    Changes(Vec<Change>),
    /// Changes from another VM, which may be late by an unknown time.
    Relayed(Vec<Change>),
}

impl StoreUpdate {
    pub fn is_empty(&self) -> bool {
        match self {
            StoreUpdate::Snapshot(_) => false,
            StoreUpdate::Changes(changes) | StoreUpdate::Relayed(changes) => changes.is_empty(),
        }
    }

    /// The written entries, without the deletions.
    pub fn into_written(self) -> Vec<Item> {
        match self {
            StoreUpdate::Snapshot(items) => items,
            StoreUpdate::Changes(changes) | StoreUpdate::Relayed(changes) => {
                changes.into_iter().filter_map(written).collect()
            }
        }
    }
}

/// A subject to follow, and the prefix of its keys.
#[derive(Clone, Copy)]
pub struct FollowedPrefix {
    pub subject: StoreSubject,
    pub prefix: &'static str,
}

/// The answer to one request for changes.
pub struct WatchAnswer {
    pub update: StoreUpdate,
    /// Revision up to which the answer is complete.
    pub at: Revision,
    /// When the store was asked, if the answer is as new as that; `None` for an answer of another VM
    /// or one that may be stale.
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
    FollowedPrefix { subject, prefix }: FollowedPrefix,
    interval: fn(&Node) -> Duration,
    ask: impl AsyncFn(&Rc<Node>, Option<Revision>, Duration) -> Result<Option<WatchAnswer>, Error>,
    mut apply: impl FnMut(&Node, WatchAnswer),
) {
    let mut at: Option<Revision> = None;
    let mut is_unavailable = false;
    let mut pause = RETRY_PAUSE_FIRST;
    // When all entries are read once more after a failure.
    let mut reread_at: Option<Duration> = None;
    loop {
        let now = clock::now();
        if reread_at.is_some_and(|due| now >= due) {
            reread_at = None;
            at = None;
        }
        let wait = reread_at.map_or(WATCH_WAIT_MAX, |due| {
            due.saturating_sub(now).min(WATCH_WAIT_MAX)
        });
        match ask(&node, at, wait).await {
            Ok(None) => {
                if at.is_some() {
                    log::info!(prefix; "the watch is given up: all is read again, or delegates tell it");
                }
                at = None;
                reread_at = Some(clock::now() + REREAD_AFTER);
            }
            Ok(Some(answer)) => {
                if is_unavailable {
                    log::info!(prefix, revision = answer.at; "the store is back");
                    is_unavailable = false;
                }
                pause = RETRY_PAUSE_FIRST;
                let is_empty = answer.update.is_empty();
                let (revision, asked_at) = (answer.at, answer.asked_at);
                apply(&node, answer);
                at = Some(revision);
                // Only now does this VM have all that the answer confirms.
                if let Some(asked_at) = asked_at {
                    node.confirm(subject, asked_at);
                }
                if !is_empty {
                    sleep(interval(&node)).await;
                }
            }
            Err(Error::Compacted) => {
                log::info!(prefix; "the store has dropped its history: reading all entries again");
                at = None;
            }
            Err(error) => {
                if !is_unavailable {
                    log::warn!(prefix, error:% = error; "the store is away");
                    is_unavailable = true;
                }
                at = None;
                reread_at = Some(clock::now() + REREAD_AFTER);
                let drawn = pause.mul_f64(util::rng().random_range(1.0..3.0));
                sleep(drawn.min(DRAWN_PAUSE_MAX)).await;
                pause = pause.mul_f64(RETRY_PAUSE_GROWTH).min(RETRY_PAUSE_MAX);
            }
        }
    }
}

/// Whether delegates send changes to this VM, so that it need not follow the store.
///
/// Without this, each of 250 VMs has a watch of its own, and the replacement of one endpoint takes
/// a thousand calls, which are priced and rate-limited. Delegates alone make a twentieth of them.
fn is_updated_by_delegate(node: &Node, subject: StoreSubject) -> bool {
    let own = node.local_vm();
    is_starting(node) || {
        let core = node.core.borrow();
        let is_updated = core.peers.is_updated_by_delegate(clock::now(), own);
        // The next delegates take over from silent ones sooner than all VMs of the failure domain
        // could read all endpoints.
        let has_subset = subject == StoreSubject::Endpoints && !core.discovery.holds_all();
        let awaits_delegate = has_subset && core.peers.is_represented(own);
        is_loaded(&core) && (is_updated || awaits_delegate) && !must_ask_store(node, subject)
    }
}

/// Whether this VM reads all endpoints when there are many: as a delegate, in a small fleet, or if
/// nobody has told it its subset.
///
/// When hundreds of VMs start at once, each of them would read thousands of entries, page by page:
/// most of a day's calls, and tens of seconds of the store's link. Two VMs of each failure domain
/// read them in a fraction of a second and tell each of the others its subset. Until the others
/// have registered, a large fleet looks like a small one.
fn may_read_all(node: &Node) -> bool {
    let own = node.local_vm();
    let age = clock::now().saturating_sub(node.started_at);
    let core = node.core.borrow();
    let is_small = !core.peers.is_large() && age >= REGISTRATION_TIME;
    let reads = core.live.is_read() && (is_small || core.peers.is_delegate(own.vm));
    reads || age >= first_news_wait(node)
}

/// Reads the endpoints if one page holds them all. Otherwise waits until this VM may read all of
/// them (`None`), or delegates tell it its subset.
async fn read_few_endpoints(
    node: &Node,
    followed: FollowedPrefix,
) -> Result<Option<WatchAnswer>, Error> {
    if let Some(answer) = read_page(node, followed).await? {
        return Ok(Some(answer));
    }
    while !may_read_all(node) && !is_updated_by_delegate(node, followed.subject) {
        sleep(FIRST_NEWS_CHECK_INTERVAL).await;
    }
    Ok(None)
}

/// Reads the endpoints with one call; `None` if they don't fit one page.
async fn read_page(node: &Node, followed: FollowedPrefix) -> Result<Option<WatchAnswer>, Error> {
    let sent_at = clock::now();
    let (items, more, at) = node.store.first_page(followed.prefix).await?;
    Ok((!more).then(|| WatchAnswer {
        update: StoreUpdate::Snapshot(items),
        at,
        asked_at: Some(sent_at),
    }))
}

/// How long a starting VM waits for its delegates; differs between VMs, so that they don't all read
/// the store at once when no delegate does.
fn first_news_wait(node: &Node) -> Duration {
    FIRST_NEWS_WAIT + FIRST_NEWS_WAIT.mul_f64((node.vm % 1000) as f64 / 1000.0)
}

/// Whether this VM, which delegates represent, has to follow the store itself because their
/// confirmations are overdue.
fn must_ask_store(node: &Node, subject: StoreSubject) -> bool {
    refresh_due_in(node, subject).is_some_and(|left| left.is_zero())
}

/// Whether the fleet has just started, and the delegates of this VM have not been heard yet.
pub fn is_starting(node: &Node) -> bool {
    let own = node.local_vm();
    let core = node.core.borrow();
    let starts = clock::now() < node.started_at + STARTUP_WINDOW;
    starts && is_loaded(&core) && core.peers.is_represented(own)
}

fn is_loaded(core: &Core) -> bool {
    core.routes.is_some() && core.discovery.is_loaded()
}

/// Waits in place of a request while delegates send the changes.
pub async fn wait_for_delegates() -> Result<Option<WatchAnswer>, Error> {
    sleep(DELEGATE_CHECK_INTERVAL).await;
    Ok(None)
}

/// Follows a prefix at the store, without delay beyond [`WATCH_INTERVAL`].
async fn follow_store(
    node: Rc<Node>,
    followed: FollowedPrefix,
    apply: impl FnMut(&Node, WatchAnswer),
) {
    let ask = async |node: &Rc<Node>, at: Option<Revision>, wait: Duration| {
        let is_first = followed.subject == StoreSubject::Endpoints && at.is_none();
        let is_updated = || is_updated_by_delegate(node, followed.subject);
        if is_first && !is_updated() && !may_read_all(node) {
            if let Some(few) = read_few_endpoints(node, followed).await? {
                return Ok(Some(few));
            }
        }
        if is_updated() {
            return wait_for_delegates().await;
        }
        ask_store(node, followed, at, wait).await
    };
    follow(node, followed, |_| WATCH_INTERVAL, ask, apply).await;
}

/// Follows the configuration and the requests to empty VMs.
pub async fn follow_operator_keys(node: Rc<Node>) {
    let followed = FollowedPrefix {
        subject: StoreSubject::Rules,
        prefix: node.dialect.keys.operator_prefix,
    };
    let apply = |node: &Node, answer: WatchAnswer| {
        for item in answer.update.into_written() {
            apply_operator_item(node, &item);
        }
    };
    follow_store(node, followed, apply).await;
}

fn written(change: Change) -> Option<Item> {
    match change {
        Change::Written(item) => Some(item),
        Change::Deleted { .. } => None,
    }
}

fn apply_operator_item(node: &Node, item: &Item) {
    let keys = node.dialect.keys;
    if item.key == keys.rules {
        match (node.dialect.rules)(&item.value) {
            Ok(rules) => node.apply_rules(rules, "store"),
            // The configuration in force stays in force.
            Err(error) => log::error!(key = item.key, error; "configuration can't be read"),
        }
    } else if let Some(vm) = item.key.strip_prefix(keys.retire) {
        retire(node, vm);
    }
}

/// The endpoints' entries.
fn followed_endpoints(node: &Node) -> FollowedPrefix {
    FollowedPrefix {
        subject: StoreSubject::Endpoints,
        prefix: node.dialect.keys.endpoints,
    }
}

/// Follows the endpoints.
pub async fn follow_endpoints(node: Rc<Node>) {
    let followed = followed_endpoints(&node);
    follow_store(node, followed, apply_endpoints).await;
}

/// Asks the store once for changes of endpoints, and applies them.
pub async fn refresh_endpoints(node: &Node) -> Result<(), Error> {
    let followed = followed_endpoints(node);
    let (after, is_large) = {
        let core = node.core.borrow();
        (core.discovery.revision, core.peers.is_large())
    };
    let answer = match is_large {
        // What delegates told last may be older than the store's history.
        true => read_page(node, followed).await?,
        false => Some(ask_store_once(node, followed, after).await?),
    };
    let Some(answer) = answer else {
        return Ok(());
    };
    let asked_at = answer.asked_at;
    apply_endpoints(node, answer);
    if let Some(asked_at) = asked_at {
        node.confirm(StoreSubject::Endpoints, asked_at);
    }
    Ok(())
}

fn apply_endpoints(node: &Node, answer: WatchAnswer) {
    let now = clock::now();
    let changed = match answer.update {
        StoreUpdate::Snapshot(items) => apply_endpoint_snapshot(node, now, &items, answer.at),
        StoreUpdate::Changes(changes) | StoreUpdate::Relayed(changes) => {
            let changed = changes
                .iter()
                .filter(|change| apply_endpoint_change(node, now, change));
            changed.count() > 0
        }
    };
    node.endpoints_reported("store", changed);
}

/// Applies a whole reading of the endpoints' entries; true when anything changed. An entry that
/// names no usable endpoint counts as present and without an endpoint; it affects no other entry.
fn apply_endpoint_snapshot(node: &Node, now: Duration, items: &[Item], at: Revision) -> bool {
    let mut changed = false;
    let mut entries = Vec::new();
    for item in items {
        match parse_entry(node, item) {
            Some(known) => entries.push(known),
            None => changed |= apply_unusable(node, now, item),
        }
    }
    let mut core = node.core.borrow_mut();
    let replaced = core.discovery.apply_snapshot(now, entries, at);
    changed || replaced
}

/// Parses an entry; `None` when it names no usable endpoint.
fn parse_entry(node: &Node, item: &Item) -> Option<KnownEntry> {
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

fn apply_unusable(node: &Node, now: Duration, item: &Item) -> bool {
    let id = id::of(entry_name(node, &item.key));
    let mut core = node.core.borrow_mut();
    core.discovery.apply_unusable(now, id, item.revision)
}

/// Applies one change of an endpoint's entry; true when anything changed.
fn apply_endpoint_change(node: &Node, now: Duration, change: &Change) -> bool {
    match change {
        Change::Written(item) => {
            let Some(known) = parse_entry(node, item) else {
                return apply_unusable(node, now, item);
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
