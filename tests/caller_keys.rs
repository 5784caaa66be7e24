//! Whose request it is, by keys and rules.

use std::time::Duration;

use bramleyseam::decide::access::{
    self, CallerIdentity, Credential, KeyDigest, Workspace, Workspaces,
};
use bramleyseam::decide::freshness::{Freshness, StoreSubject};
use bramleyseam::decide::refusal::RefusalKind;
use quickcheck::quickcheck;

const NOW: Duration = Duration::from_secs(100);

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: name.into(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        priority: None,
        quota: None,
    }
}

fn workspaces() -> Workspaces {
    Workspaces::new(vec![
        workspace("hall", &["a", "b"]),
        workspace("port", &["c"]),
        workspace("none", &[]),
    ])
}

/// Rules that were proved so long ago.
fn proved(age: Duration) -> Freshness {
    let mut proofs = Freshness::default();
    proofs.confirm(StoreSubject::Rules, NOW - age);
    proofs
}

fn shown(key: &str) -> Credential {
    Credential::Key(KeyDigest::of(key.as_bytes()))
}

fn name_of(shown: Credential, public: bool, age: Duration) -> Result<String, RefusalKind> {
    let rules = workspaces();
    let proofs = proved(age);
    let caller = access::identify_caller(NOW, Some(&rules), public, shown, &proofs)?;
    Ok(caller
        .name()
        .map_or_else(String::new, |name| name.to_string()))
}

#[test]
fn keys_found() {
    let young = Duration::from_millis(100);
    assert_eq!(name_of(shown("a"), false, young), Ok("hall".into()));
    assert_eq!(name_of(shown("b"), false, young), Ok("hall".into()));
    assert_eq!(name_of(shown("c"), false, young), Ok("port".into()));
    assert_eq!(
        name_of(shown("d"), false, young),
        Err(RefusalKind::Unauthorized)
    );
    assert_eq!(
        name_of(Credential::Missing, false, young),
        Err(RefusalKind::Unauthorized)
    );
    assert_eq!(
        name_of(Credential::Unreadable, false, young),
        Err(RefusalKind::Unauthorized)
    );
}

// A VM whose rules are old refuses a good key for good; a caller who comes back is served.
#[test]
fn unsure_comes_back() {
    let old = Duration::from_secs(5);
    assert_eq!(name_of(shown("d"), false, old), Err(RefusalKind::NotReady));
    assert_eq!(
        name_of(Credential::Missing, false, old),
        Err(RefusalKind::NotReady)
    );
    // What is known is served on: an outage of the store would stop everything otherwise.
    assert_eq!(name_of(shown("a"), false, old), Ok("hall".into()));
}

#[test]
fn public_routes() {
    let young = Duration::from_millis(100);
    assert_eq!(name_of(Credential::Missing, true, young), Ok(String::new()));
    assert_eq!(name_of(shown("d"), true, young), Ok(String::new()));
    assert_eq!(name_of(shown("c"), true, young), Ok("port".into()));
}

#[test]
fn rules_without_workspaces() {
    let proofs = proved(Duration::ZERO);
    for shown in [Credential::Missing, shown("a"), Credential::Unreadable] {
        let caller = access::identify_caller(NOW, None, false, shown, &proofs);
        assert_eq!(caller, Ok(CallerIdentity::Anyone));
    }
}

// A digest stands in a log where it was printed for debugging.
#[test]
fn digests_unprinted() {
    let printed = format!("{:?}", workspace("hall", &["a"]));
    let digest = blake3_hex("a");
    assert!(!printed.contains(&digest[..8]), "{printed}");
}

fn blake3_hex(key: &str) -> String {
    bramleyseam::id::digest(key.as_bytes())
}

quickcheck! {
    fn only_own_keys(keys: Vec<String>, asked: String) -> bool {
        let rows = vec![workspace("one", &keys.iter().map(String::as_str).collect::<Vec<_>>())];
        let rules = Workspaces::new(rows);
        let known = rules.by_digest(&KeyDigest::of(asked.as_bytes())).is_some();
        known == keys.contains(&asked)
    }

    fn hex_read_back(key: String) -> bool {
        let hex = blake3_hex(&key);
        KeyDigest::from_hex(&hex) == Some(KeyDigest::of(key.as_bytes()))
            && KeyDigest::from_hex(&hex.to_uppercase()) == Some(KeyDigest::of(key.as_bytes()))
            && KeyDigest::from_hex(&hex[1..]).is_none()
    }
}
