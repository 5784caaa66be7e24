//! Client of the platform's key-value service and VM list.

use std::io::Read;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::clock;
use crate::decide::commit::{Commit, Step, WriteOutcome};
use crate::id::{Name, Revision};
use crate::util::escape;

/// Largest value that the service stores.
pub const VALUE_BYTES_MAX: usize = 1024 * 1024;
const REPLY_BYTES_MAX: u64 = 64 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const COMMIT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Why a platform call failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The call had no effect.
    #[snafu(display("the platform is away: {detail}"))]
    Away { detail: String },
    /// A write may or may not have taken effect.
    #[snafu(display("the platform's answer was lost: {detail}"))]
    Unknown { detail: String },
    /// The service answered with an unexpected status.
    #[snafu(display("the platform answered {status}"))]
    Status { status: u16 },
}

/// A key with its value and revision, as read.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Entry {
    pub key: String,
    pub revision: Revision,
    pub value: String,
}

/// The changes under a watched prefix.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Changes {
    /// The revision from which to continue the watch.
    pub revision: Revision,
    pub entries: Vec<Entry>,
}

/// A VM in the platform's VM list, which lags behind.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListedVm {
    pub name: Name,
    pub failure_domain: Name,
    pub gossip_address: String,
    pub peer_address: String,
    #[serde(default)]
    pub leaving: bool,
}

#[derive(Deserialize)]
struct WriteReply {
    revision: Revision,
}

#[derive(Deserialize)]
struct LeaseReply {
    lease: u64,
}

/// Outcome of a write; a lost answer has been resolved by reading the key back.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    Won(Revision),
    /// Another writer's value is stored.
    Lost(Option<Entry>),
    /// The write had no effect.
    Away,
    /// The outcome was not known before the deadline.
    Unknown,
}

/// A connection pool to the platform.
#[derive(Clone)]
pub struct Platform {
    agent: ureq::Agent,
    base: String,
}

impl Platform {
    /// `address` is `host:port`; `timeout` applies to each read and write of a connection.
    pub fn new(address: &str, timeout: Duration) -> Platform {
        let agent = ureq::AgentBuilder::new()
            .timeout_connect(CONNECT_TIMEOUT)
            .timeout_read(timeout)
            .timeout_write(timeout)
            .redirects(0)
            .build();
        Platform {
            agent,
            base: format!("http://{address}"),
        }
    }

    /// Reads one key.
    pub fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let url = format!("{}/kv/{}", self.base, escape(key));
        match self.agent.get(&url).call() {
            Ok(response) => {
                let revision = response.header("X-Revision").and_then(|r| r.parse().ok());
                let revision = revision.ok_or(Error::Status { status: 200 })?;
                Ok(Some(Entry {
                    key: key.into(),
                    revision,
                    value: text(response)?,
                }))
            }
            Err(ureq::Error::Status(404, _)) => Ok(None),
            Err(error) => Err(read_error(error)),
        }
    }

    /// Reads all keys under a prefix.
    pub fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        let url = format!("{}/list?prefix={}", self.base, escape(prefix));
        parse(self.agent.get(&url).call().map_err(read_error)?)
    }

    /// Waits up to `wait` for a change under a prefix after a revision.
    pub fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, Error> {
        let url = format!(
            "{}/watch?prefix={}&after={after}&wait_ms={}",
            self.base,
            escape(prefix),
            wait.as_millis()
        );
        parse(self.agent.get(&url).call().map_err(read_error)?)
    }

    /// Writes a key if its revision is `expect`; 0 means that the key must not exist.
    pub fn put(&self, key: &str, expect: Revision, value: &str) -> WriteOutcome {
        self.put_leased(key, expect, value, None)
    }

    /// Like [`Platform::put`], for a key that is deleted when its lease ends.
    pub fn put_leased(
        &self,
        key: &str,
        expect: Revision,
        value: &str,
        lease: Option<u64>,
    ) -> WriteOutcome {
        let mut url = format!("{}/kv/{}?expect={expect}", self.base, escape(key));
        if let Some(lease) = lease {
            url.push_str(&format!("&lease={lease}"));
        }
        match self.agent.put(&url).send_bytes(value.as_bytes()) {
            Ok(response) => match parse::<WriteReply>(response) {
                Ok(written) => WriteOutcome::Won(written.revision),
                Err(_) => WriteOutcome::Unknown,
            },
            Err(ureq::Error::Status(409, _)) => WriteOutcome::Lost,
            Err(ureq::Error::Status(429 | 503, _)) => WriteOutcome::Away,
            Err(ureq::Error::Transport(t)) if t.kind() == ureq::ErrorKind::ConnectionFailed => {
                WriteOutcome::Away
            }
            Err(_) => WriteOutcome::Unknown,
        }
    }

    /// Writes a key; when the answer is lost, reads the key back to learn the outcome, until
    /// `until` (monotonic time).
    ///
    /// `value` must contain a nonce, so that no two writers write the same bytes.
    pub fn commit(
        &self,
        key: &str,
        expect: Revision,
        value: &str,
        until: Duration,
    ) -> CommitOutcome {
        let mut commit = Commit::new(expect);
        let mut found = None;
        loop {
            let step = match commit.step() {
                Step::Write => commit.written(self.put(key, expect, value)),
                Step::Read => {
                    let read = self.get(key);
                    if let Ok(entry) = &read {
                        found = entry.clone();
                    }
                    let seen = read.ok().map(|e| e.map(|e| (e.revision, e.value == value)));
                    commit.read(seen)
                }
                ended => ended,
            };
            match step {
                Step::Won(revision) => return CommitOutcome::Won(revision),
                Step::Lost => return CommitOutcome::Lost(found),
                Step::Away => return CommitOutcome::Away,
                Step::Write | Step::Read if clock::now() >= until => return CommitOutcome::Unknown,
                Step::Write | Step::Read => clock::sleep(commit.delay(COMMIT_RETRY_PAUSE)),
            }
        }
    }

    /// Creates a lease.
    pub fn lease(&self, ttl: Duration) -> Result<u64, Error> {
        let url = format!("{}/lease?ttl_ms={}", self.base, ttl.as_millis());
        let granted: LeaseReply = parse(self.agent.post(&url).call().map_err(read_error)?)?;
        Ok(granted.lease)
    }

    /// Renews a lease; false when it has expired.
    pub fn renew(&self, lease: u64) -> Result<bool, Error> {
        let url = format!("{}/lease/{lease}/renew", self.base);
        match self.agent.post(&url).call() {
            Ok(_) => Ok(true),
            Err(ureq::Error::Status(404, _)) => Ok(false),
            Err(error) => Err(read_error(error)),
        }
    }

    /// Reads the VM list, which lags behind.
    pub fn vms(&self) -> Result<Vec<ListedVm>, Error> {
        parse(
            self.agent
                .get(&format!("{}/vms", self.base))
                .call()
                .map_err(read_error)?,
        )
    }
}

fn read_error(error: ureq::Error) -> Error {
    match error {
        ureq::Error::Status(429 | 503, _) => Error::Away {
            detail: "refused for now".into(),
        },
        ureq::Error::Status(status, _) => Error::Status { status },
        ureq::Error::Transport(transport) => Error::Away {
            detail: transport.to_string(),
        },
    }
}

fn text(response: ureq::Response) -> Result<String, Error> {
    let mut text = String::new();
    let read = response
        .into_reader()
        .take(REPLY_BYTES_MAX)
        .read_to_string(&mut text);
    read.map_err(|error| Error::Unknown {
        detail: error.to_string(),
    })?;
    Ok(text)
}

fn parse<T: for<'a> Deserialize<'a>>(response: ureq::Response) -> Result<T, Error> {
    let text = text(response)?;
    serde_json::from_str(&text).map_err(|error| Error::Unknown {
        detail: error.to_string(),
    })
}
