//! The configuration in the platform's key-value service: one head record, and bodies by digest.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::value::RawValue;
use snafu::{ResultExt, Snafu};
use strum::IntoEnumIterator;

use super::{Ancestor, Bodies, Head, Kind, State, Versioned};
use crate::clock;
use crate::id::{self, ConfigVersion, Revision};
use crate::platform::{self, CommitOutcome, Platform};
use crate::util;

/// Key of the head; it has the watched prefix.
pub const HEAD_KEY: &str = "live/config";
/// Watched prefix: the head and the job records.
pub const LIVE_PREFIX: &str = "live/";
/// Largest body; below the service's limit for a value.
pub const BODY_BYTES_MAX: usize = 900 * 1024;
/// Most earlier versions listed in the head.
pub const ANCESTORS_MAX: usize = 64;

/// Why a configuration could not be read or written.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("{source}"))]
    Platform { source: platform::Error },
    #[snafu(display("body {digest} is missing or broken"))]
    Body { digest: String },
    #[snafu(display("the head is broken: {source}"))]
    Head { source: serde_json::Error },
    #[snafu(display("one {kind} is larger than {BODY_BYTES_MAX} bytes"))]
    TooLarge { kind: &'static str },
    /// Nothing was applied.
    #[snafu(display("the platform is away; nothing was applied"))]
    Away,
    /// The outcome was not known in time.
    #[snafu(display("the platform's answer was lost; run `status` to see what is in force"))]
    Unknown,
}

/// Outcome of an apply.
#[derive(Debug)]
pub enum ApplyOutcome {
    Won(Head),
    /// Another operator's version is in force.
    Lost(Option<Head>),
}

/// Splits a state into bodies below the size limit.
pub fn bodies(state: &State) -> Result<(Vec<Bodies>, BTreeMap<String, String>), Error> {
    let mut list = Vec::new();
    let mut contents = BTreeMap::new();
    let whole = serde_json::to_value(state).context(HeadSnafu)?;
    for kind in Kind::iter() {
        let name: &'static str = kind.into();
        let rows = whole
            .get(name)
            .and_then(|rows| rows.as_array())
            .cloned()
            .unwrap_or_default();
        let mut digests = Vec::new();
        let mut parts: Vec<String> = vec![String::new()];
        for row in rows {
            let text = row.to_string();
            if text.len() > BODY_BYTES_MAX {
                return TooLargeSnafu { kind: name }.fail();
            }
            let at = parts.len() - 1;
            if parts[at].len() + text.len() + 3 > BODY_BYTES_MAX {
                parts.push(text);
            } else {
                if !parts[at].is_empty() {
                    parts[at].push(',');
                }
                parts[at].push_str(&text);
            }
        }
        for part in parts {
            let body = format!("[{part}]");
            let digest = id::digest(body.as_bytes());
            digests.push(digest.clone());
            contents.insert(digest, body);
        }
        list.push(Bodies { kind, digests });
    }
    Ok((list, contents))
}

/// Reassembles a state from its bodies, checking each against its digest.
pub fn assemble(
    head: &Head,
    mut body: impl FnMut(&str) -> Result<String, Error>,
) -> Result<State, Error> {
    let mut kinds: BTreeMap<&'static str, Vec<Box<RawValue>>> = BTreeMap::new();
    for bodies in &head.bodies {
        let rows = kinds.entry(bodies.kind.into()).or_default();
        for digest in &bodies.digests {
            let content = body(digest)?;
            if id::digest(content.as_bytes()) != *digest {
                return BodySnafu { digest }.fail();
            }
            let part: Vec<Box<RawValue>> =
                serde_json::from_str(&content).map_err(|_| Error::Body {
                    digest: digest.clone(),
                })?;
            rows.extend(part);
        }
    }
    let text = serde_json::to_string(&kinds).context(HeadSnafu)?;
    serde_json::from_str(&text).context(HeadSnafu)
}

fn body_key(digest: &str) -> String {
    format!("config/body/{digest}")
}

/// Parses a head.
pub fn parse_head(text: &str) -> Result<Head, Error> {
    serde_json::from_str(text).context(HeadSnafu)
}

/// Reads the head.
pub fn read_head(platform: &Platform) -> Result<Option<(Revision, Head)>, Error> {
    let Some(entry) = platform.get(HEAD_KEY).context(PlatformSnafu)? else {
        return Ok(None);
    };
    Ok(Some((entry.revision, parse_head(&entry.value)?)))
}

/// Reads the bodies of a head.
pub fn read_state(platform: &Platform, head: &Head) -> Result<State, Error> {
    assemble(head, |digest| {
        let entry = platform.get(&body_key(digest)).context(PlatformSnafu)?;
        entry.map(|entry| entry.value).ok_or(Error::Body {
            digest: digest.into(),
        })
    })
}

/// Reads the whole configuration in force.
pub fn read(platform: &Platform) -> Result<Option<(Revision, Versioned)>, Error> {
    let Some((revision, head)) = read_head(platform)? else {
        return Ok(None);
    };
    let state = read_state(platform, &head)?;
    Ok(Some((revision, Versioned { head, state })))
}

/// Replaces the head on which a state is based, by one compare-and-swap.
pub fn apply(
    platform: &Platform,
    base: Option<(Revision, Head)>,
    state: &State,
    by: &str,
    timeout: Duration,
) -> Result<ApplyOutcome, Error> {
    let until = clock::now() + timeout;
    let (bodies, contents) = bodies(state)?;
    let old: Vec<String> = base
        .iter()
        .flat_map(|(_, head)| head.bodies.iter().flat_map(|bodies| bodies.digests.clone()))
        .collect();
    for (digest, content) in contents.iter().filter(|(digest, _)| !old.contains(digest)) {
        // The key is the content's digest, so a body that another writer stored is the same.
        match platform.commit(&body_key(digest), 0, content, until) {
            CommitOutcome::Won(_) | CommitOutcome::Lost(_) => {}
            CommitOutcome::Away => return Err(Error::Away),
            // The head has not been written yet.
            CommitOutcome::Unknown => return Err(Error::Away),
        }
    }
    let (expect, version, ancestors) = match base {
        None => (0, 1, Vec::new()),
        Some((revision, head)) => {
            let mut ancestors = vec![Ancestor {
                version: head.version,
                nonce: head.nonce,
                by: head.by,
                at_ms: head.at_ms,
            }];
            ancestors.extend(head.ancestors);
            ancestors.truncate(ANCESTORS_MAX);
            (revision, head.version + 1, ancestors)
        }
    };
    let head = Head {
        version,
        nonce: util::nonce(),
        by: by.to_owned(),
        at_ms: clock::unix_ms(),
        bodies,
        ancestors,
    };
    let text = serde_json::to_string(&head).context(HeadSnafu)?;
    match platform.commit(HEAD_KEY, expect, &text, until) {
        CommitOutcome::Won(_) => Ok(ApplyOutcome::Won(head)),
        CommitOutcome::Lost(entry) => {
            let current = entry.and_then(|entry| parse_head(&entry.value).ok());
            // The answer was lost, and another operator has since applied a version on top of this
            // one.
            if current
                .as_ref()
                .is_some_and(|s| is_ancestor(s, head.version, head.nonce))
            {
                return Ok(ApplyOutcome::Won(head));
            }
            Ok(ApplyOutcome::Lost(current))
        }
        CommitOutcome::Away => Err(Error::Away),
        CommitOutcome::Unknown => Err(Error::Unknown),
    }
}

/// Whether `head` descends from the version with this nonce.
pub fn is_ancestor(head: &Head, version: ConfigVersion, nonce: u64) -> bool {
    head.ancestors
        .iter()
        .any(|old| (old.version, old.nonce) == (version, nonce))
}
