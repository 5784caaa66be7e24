//! Restores the missing copies of pieces that are in too few failure domains.

use std::collections::HashSet;
use std::time::Duration;

use super::store::Store;
use crate::id::{self, ranked, Name};
use crate::peer;
use crate::settings::{Bulk, BulkPeer};
use crate::wire::{Key, PeerReply, PeerRequest};

const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// Digests per request.
const DIGESTS_PER_REQUEST_MAX: usize = 10_000;

/// Checks all local pieces once; returns the number of copies made.
///
/// Of the holders that answer, only the first by rank makes copies, so that a loss is not repaired
/// by all of them at once. Two holders that can't reach each other may both make one: a surplus
/// copy is harmless.
pub fn repair_all(store: &Store, settings: &Bulk) -> usize {
    let key = Key::new(&settings.cluster_key);
    let mut digests = store.digests();
    digests.sort();
    let others: Vec<&BulkPeer> = settings
        .bulk
        .iter()
        .filter(|peer| peer.name != settings.name)
        .collect();
    digests
        .chunks(DIGESTS_PER_REQUEST_MAX)
        .map(|part| repair_batch(store, settings, &key, &others, part))
        .sum()
}

fn repair_batch(
    store: &Store,
    settings: &Bulk,
    key: &Key,
    others: &[&BulkPeer],
    digests: &[String],
) -> usize {
    let ask = PeerRequest::Has {
        digests: digests.to_vec(),
    };
    let answers: Vec<(&BulkPeer, Vec<bool>)> = others
        .iter()
        .filter_map(
            |peer| match peer::call(peer.address, key, &ask, PEER_TIMEOUT) {
                Ok(PeerReply::Has(has)) if has.len() == digests.len() => Some((*peer, has)),
                _ => None,
            },
        )
        .collect();
    let mut copied = 0;
    for (at, digest) in digests.iter().enumerate() {
        let holders: Vec<&BulkPeer> = answers
            .iter()
            .filter(|(_, has)| has[at])
            .map(|(peer, _)| *peer)
            .collect();
        let mut domains: HashSet<&Name> = holders.iter().map(|h| &h.failure_domain).collect();
        domains.insert(&settings.failure_domain);
        if domains.len() >= settings.bulk_copies {
            continue;
        }
        let names = holders.iter().map(|holder| id::of(&holder.name));
        let order = ranked(id::of(digest), names.chain([id::of(&settings.name)]));
        if order.first() != Some(&id::of(&settings.name)) {
            continue;
        }
        let reachable: Vec<&BulkPeer> = answers.iter().map(|(peer, _)| *peer).collect();
        copied += copy(
            store,
            key,
            digest,
            &reachable,
            &mut domains,
            settings.bulk_copies,
        );
    }
    copied
}

fn copy<'a>(
    store: &Store,
    key: &Key,
    digest: &str,
    reachable: &[&'a BulkPeer],
    domains: &mut HashSet<&'a Name>,
    copies: usize,
) -> usize {
    let Some(content) = store.get(digest) else {
        return 0;
    };
    let order = ranked(
        id::of(digest),
        reachable.iter().map(|peer| id::of(&peer.name)),
    );
    let mut copied = 0;
    for number in order {
        let peer = reachable.iter().find(|peer| id::of(&peer.name) == number);
        let Some(peer) = peer.filter(|peer| !domains.contains(&peer.failure_domain)) else {
            continue;
        };
        if domains.len() >= copies {
            break;
        }
        let ask = PeerRequest::Put {
            digest: digest.to_owned(),
            content: content.clone(),
        };
        if matches!(
            peer::call(peer.address, key, &ask, PEER_TIMEOUT),
            Ok(PeerReply::Stored)
        ) {
            domains.insert(&peer.failure_domain);
            copied += 1;
        }
    }
    copied
}
