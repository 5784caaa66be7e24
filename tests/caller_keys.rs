//! Identification of callers by API keys and the configured workspaces.

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

/// Freshness of a configuration that was confirmed `age` ago.
fn confirmed(age: Duration) -> Freshness {
    let mut freshness = Freshness::default();
    freshness.confirm(StoreSubject::Rules, NOW - age);
    freshness
}

fn credential(key: &str) -> Credential {
    Credential::Key(KeyDigest::of(key.as_bytes()))
}

fn name_of(credential: Credential, public: bool, age: Duration) -> Result<String, RefusalKind> {
    let workspaces = workspaces();
    let freshness = confirmed(age);
    let caller = access::identify_caller(NOW, Some(&workspaces), public, credential, &freshness)?;
    Ok(caller
        .name()
        .map_or_else(String::new, |name| name.to_string()))
}

#[test]
fn keys_found() {
    let fresh = Duration::from_millis(100);
    assert_eq!(name_of(credential("a"), false, fresh), Ok("hall".into()));
    assert_eq!(name_of(credential("b"), false, fresh), Ok("hall".into()));
    assert_eq!(name_of(credential("c"), false, fresh), Ok("port".into()));
    assert_eq!(
        name_of(credential("d"), false, fresh),
        Err(RefusalKind::Unauthorized)
    );
    assert_eq!(
        name_of(Credential::Missing, false, fresh),
        Err(RefusalKind::Unauthorized)
    );
    assert_eq!(
        name_of(Credential::Unreadable, false, fresh),
        Err(RefusalKind::Unauthorized)
    );
}

// A VM with a stale configuration must not reject a valid new key for good; the caller may retry.
#[test]
fn unsure_comes_back() {
    let stale = Duration::from_secs(5);
    assert_eq!(
        name_of(credential("d"), false, stale),
        Err(RefusalKind::NotReady)
    );
    assert_eq!(
        name_of(Credential::Missing, false, stale),
        Err(RefusalKind::NotReady)
    );
    // Known keys are still accepted, as an outage of the store would otherwise stop all traffic.
    assert_eq!(name_of(credential("a"), false, stale), Ok("hall".into()));
}

#[test]
fn public_routes() {
    let fresh = Duration::from_millis(100);
    assert_eq!(name_of(Credential::Missing, true, fresh), Ok(String::new()));
    assert_eq!(name_of(credential("d"), true, fresh), Ok(String::new()));
    assert_eq!(name_of(credential("c"), true, fresh), Ok("port".into()));
}

#[test]
fn rules_without_workspaces() {
    let freshness = confirmed(Duration::ZERO);
    for credential in [Credential::Missing, credential("a"), Credential::Unreadable] {
        let caller = access::identify_caller(NOW, None, false, credential, &freshness);
        assert_eq!(caller, Ok(CallerIdentity::Anyone));
    }
}

// Guards against digests in the log, through a type that is printed for debugging.
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
        let all = vec![workspace("one", &keys.iter().map(String::as_str).collect::<Vec<_>>())];
        let workspaces = Workspaces::new(all);
        let is_known = workspaces.by_digest(&KeyDigest::of(asked.as_bytes())).is_some();
        is_known == keys.contains(&asked)
    }

    fn hex_read_back(key: String) -> bool {
        let hex = blake3_hex(&key);
        KeyDigest::from_hex(&hex) == Some(KeyDigest::of(key.as_bytes()))
            && KeyDigest::from_hex(&hex.to_uppercase()) == Some(KeyDigest::of(key.as_bytes()))
            && KeyDigest::from_hex(&hex[1..]).is_none()
    }
}
