//! News of endpoints among VMs: a VM asks another one for what has changed among the endpoints that
//! it uses.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use super::ask::{ask, reply, AskError};
use super::node::{Core, Node};
use super::processes;
use super::replies::{self, Reply};
use crate::clock;
use crate::decide::discovery::{EndpointNews, EndpointQuery};
use crate::decide::freshness::StoreSubject;
use crate::decide::subset::SubsetOwner;
use crate::id::{EndpointId, Name};

/// Path under which another VM is asked for news.
pub const PATH: &str = "/endpoints";
/// The same for news with software versions. Programs that don't know this path answer 404.
pub const SOFTWARE_PATH: &str = "/endpoints/software";
/// The same, once this VM's view is confirmed to be as new as the query.
pub const CONFIRMED_PATH: &str = "/endpoints/confirmed";
/// Largest query: the ids of a subset of several thousand endpoints.
const QUERY_BYTES_MAX: usize = 256 * 1024;

/// News, and the software versions of its entries in their order.
#[derive(Serialize, Deserialize)]
struct SoftwareNews {
    news: EndpointNews,
    software: Vec<Name>,
}

impl SoftwareNews {
    fn new(news: EndpointNews) -> SoftwareNews {
        let software = news.entries.iter();
        let software = software.map(|known| known.entry.software.clone()).collect();
        SoftwareNews { news, software }
    }

    fn into_news(mut self) -> EndpointNews {
        for (known, software) in self.news.entries.iter_mut().zip(self.software) {
            known.entry.software = software;
        }
        self.news
    }
}

impl Node {
    /// This VM as the owner of a subset of endpoints.
    pub fn subset_owner(&self, core: &Core) -> SubsetOwner {
        SubsetOwner {
            vm: self.vm,
            domain: self.domain,
            domain_vms: 1 + core.peers.domain_peer_count(self.domain),
        }
    }
}

/// Endpoints where this VM has requests; it keeps them also outside of its subset.
pub fn endpoints_in_use(core: &Core) -> HashSet<EndpointId> {
    let rows = core.online.endpoints.rows.iter();
    let online = rows.filter(|row| row.online_here > 0).map(|row| row.id);
    let batch = core.items.by_endpoint(clock::now());
    online.chain(batch.into_keys()).collect()
}

/// Asks another VM for news; false when it did not answer.
pub async fn fetch(node: &Rc<Node>, from: SocketAddr, within: Duration) -> bool {
    let query = query(node);
    let sealed = match node.key.seal(&query) {
        Ok(sealed) => sealed,
        Err(error) => {
            log::error!(error:% = error; "a query for endpoints can't be encoded");
            return true;
        }
    };
    let asked = ask::<SoftwareNews>(node, from, SOFTWARE_PATH, sealed.clone(), within).await;
    let news = match asked {
        Err(AskError::Refused {
            status: StatusCode::NOT_FOUND,
        }) => ask::<EndpointNews>(node, from, PATH, sealed, within).await,
        asked => asked.map(SoftwareNews::into_news),
    };
    let news = match news {
        Ok(news) => news,
        Err(error) => {
            log::info!(from:% = from, path = PATH, error:% = error; "request to another VM failed");
            return false;
        }
    };
    apply(node, from, news);
    true
}

/// Has another VM confirm that this VM's view of all endpoints is as new as this call; false if it
/// can't.
pub async fn fetch_confirmed(
    node: &Rc<Node>,
    from: SocketAddr,
    within: Duration,
) -> Result<bool, AskError> {
    let sealed = node.key.seal(&query(node))?;
    let asked_at = clock::now();
    let news = ask::<SoftwareNews>(node, from, CONFIRMED_PATH, sealed, within).await?;
    let news = news.into_news();
    let is_confirmed = news.complete && news.at >= node.core.borrow().discovery.revision;
    apply(node, from, news);
    if is_confirmed {
        node.confirm(StoreSubject::Endpoints, asked_at);
    }
    Ok(is_confirmed)
}

fn query(node: &Node) -> EndpointQuery {
    let own = node.local_vm();
    let mut guard = node.core.borrow_mut();
    let core = &mut *guard;
    let owner = node.subset_owner(core);
    let needs_all = !core.peers.is_represented(own);
    if !needs_all {
        let used = endpoints_in_use(core);
        if core
            .discovery
            .shrink_to_subset(clock::now(), owner, |id| used.contains(&id))
        {
            log::info!("only a subset of the endpoints is kept from now on");
        }
    }
    core.discovery.query(owner, needs_all)
}

fn apply(node: &Node, from: SocketAddr, news: EndpointNews) {
    let changed = {
        let mut guard = node.core.borrow_mut();
        let core = &mut *guard;
        let before = core.discovery.revision;
        if news.at < before {
            return;
        }
        let (at, entries, listed) = (news.at, news.entries.len(), news.listed.len());
        log::info!(by:% = from, before, at, entries, listed; "endpoints told by another VM");
        let used = endpoints_in_use(core);
        core.discovery
            .apply_news(clock::now(), news, |id| used.contains(&id))
    };
    node.endpoints_reported("peer", changed);
}

/// Answers another VM's query.
pub async fn answer(node: &Rc<Node>, path: &str, body: Incoming) -> Reply {
    let Ok(body) = Limited::new(body, QUERY_BYTES_MAX).collect().await else {
        return replies::empty(400);
    };
    let query = match node.key.open::<EndpointQuery>(&body.to_bytes()) {
        Ok(query) => query,
        Err(error) => {
            log::warn!(error:% = error; "another VM's query for endpoints can't be read");
            return replies::empty(400);
        }
    };
    if path == CONFIRMED_PATH && !processes::refresh_for_other(node, clock::now()).await {
        return replies::empty(503);
    }
    let news = node.core.borrow().discovery.answer(clock::now(), &query);
    let Some(news) = news else {
        return replies::empty(503);
    };
    match path {
        SOFTWARE_PATH | CONFIRMED_PATH => reply(node.key.seal(&SoftwareNews::new(news))),
        _ => reply(node.key.seal(&news)),
    }
}
