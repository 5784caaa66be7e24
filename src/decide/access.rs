//! Identifies the workspace of a request by the caller's key, or refuses the request.

use std::collections::HashMap;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::freshness::Freshness;
use super::quota::{self, Quota, WorkspaceKey};
use super::refusal::RefusalKind;
use crate::id::{self, Name, WorkspaceId};

/// BLAKE3 digest of a key. The key itself is dropped as soon as it is read.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(*blake3::hash(key).as_bytes())
    }

    /// Parses a hexadecimal digest; `None` for any other text.
    pub fn from_hex(text: &str) -> Option<KeyDigest> {
        let hash = blake3::Hash::from_hex(text.to_ascii_lowercase()).ok()?;
        Some(KeyDigest(*hash.as_bytes()))
    }
}

impl PartialEq for KeyDigest {
    /// Compares in constant time.
    fn eq(&self, other: &KeyDigest) -> bool {
        blake3::Hash::from(self.0) == blake3::Hash::from(other.0)
    }
}

impl Eq for KeyDigest {}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write(&self.0);
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str("KeyDigest(..)")
    }
}

/// The credential that a caller presents.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Credential {
    #[default]
    Missing,
    /// Not a key: another scheme, two keys, or bytes that are not text.
    Unreadable,
    Key(KeyDigest),
}

/// A customer, as configured.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    pub name: Name,
    pub keys: Vec<KeyDigest>,
    /// Overrides the priority of the route; 0 is the most urgent.
    pub priority: Option<u32>,
    /// `None` for no limit.
    pub quota: Option<Quota>,
}

impl Workspace {
    /// The id of the workspace in tables.
    pub fn id(&self) -> WorkspaceId {
        id::of(&self.name)
    }
}

/// Index of workspaces by key.
#[derive(Debug, Default)]
pub struct KeyTable {
    positions: HashMap<KeyDigest, usize>,
}

impl KeyTable {
    /// Builds the index from keys and the positions of their workspaces.
    pub fn new(keys: impl Iterator<Item = (KeyDigest, usize)>) -> KeyTable {
        KeyTable {
            positions: keys.collect(),
        }
    }

    /// Position of the workspace that a key belongs to.
    pub fn owner(&self, key: &KeyDigest) -> Option<usize> {
        self.positions.get(key).copied()
    }
}

/// The configured workspaces, indexed.
#[derive(Debug)]
pub struct Workspaces {
    rows: Vec<Workspace>,
    keys: KeyTable,
    by_key: HashMap<WorkspaceKey, usize>,
}

impl Workspaces {
    /// Indexes the workspaces.
    pub fn new(rows: Vec<Workspace>) -> Workspaces {
        let positions = rows.iter().enumerate();
        let keys = positions.flat_map(|(at, row)| row.keys.iter().map(move |key| (*key, at)));
        Workspaces {
            keys: KeyTable::new(keys),
            by_key: rows
                .iter()
                .enumerate()
                .map(|(at, row)| (quota::workspace_key(row.id()), at))
                .collect(),
            rows,
        }
    }

    /// The workspace that a key belongs to.
    pub fn by_digest(&self, key: &KeyDigest) -> Option<&Workspace> {
        self.keys.owner(key).and_then(|at| self.rows.get(at))
    }

    /// The workspace with this short key, which is used in messages between VMs.
    pub fn by_key(&self, key: WorkspaceKey) -> Option<&Workspace> {
        self.by_key.get(&key).and_then(|at| self.rows.get(*at))
    }

    /// The workspace of that name.
    pub fn named(&self, name: &str) -> Option<&Workspace> {
        let found = self.by_key(quota::workspace_key(id::of(name)));
        found.filter(|row| *row.name == *name)
    }

    /// All workspaces.
    pub fn rows(&self) -> &[Workspace] {
        &self.rows
    }
}

/// Who sent a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallerIdentity<'a> {
    /// The configuration has no workspaces, or the route is public.
    Anyone,
    Workspace(&'a Workspace),
}

impl CallerIdentity<'_> {
    /// The name of the workspace.
    pub fn name(&self) -> Option<Name> {
        match self {
            CallerIdentity::Anyone => None,
            CallerIdentity::Workspace(workspace) => Some(workspace.name.clone()),
        }
    }
}

/// Identifies the caller; `workspaces` is `None` if the configuration requires no keys.
///
/// An unknown key is refused for good only if the configuration was confirmed recently; otherwise
/// the caller is asked to come back. Without this, a VM that has not yet received a newly added key
/// would report it as invalid, and its callers would stop retrying.
pub fn identify_caller<'a>(
    now: Duration,
    workspaces: Option<&'a Workspaces>,
    public: bool,
    credential: Credential,
    proofs: &Freshness,
) -> Result<CallerIdentity<'a>, RefusalKind> {
    let Some(workspaces) = workspaces else {
        return Ok(CallerIdentity::Anyone);
    };
    let workspace = match credential {
        Credential::Key(key) => workspaces.by_digest(&key),
        Credential::Missing | Credential::Unreadable => None,
    };
    match workspace {
        Some(workspace) => Ok(CallerIdentity::Workspace(workspace)),
        None if public => Ok(CallerIdentity::Anyone),
        None if proofs.are_rules_fresh(now) => Err(RefusalKind::Unauthorized),
        None => Err(RefusalKind::NotReady),
    }
}
