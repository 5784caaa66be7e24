//! The message formats of a deployment, which its adapter supplies: requests, answers and stored
//! records.
//!
//! The adapter decodes each message once into the types of this module and makes no decisions.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::http::request;
use hyper::StatusCode;

use crate::decide::access::Credential;
use crate::decide::discovery::Registration;
use crate::decide::routes::Rules;
use crate::decide::small_jobs::{Item, ItemOutcome};
use crate::id::{JobId, Name};

/// The operation that a caller requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Operation {
    /// A request or a job submission; the route of its host and path decides which.
    Routed,
    /// The results of a job, from a position on.
    Results {
        job: JobId,
        after: usize,
        /// How long to wait while there is no result.
        wait: Duration,
    },
    /// The body of an item.
    ItemBody { job: JobId, item: Name },
    /// Cancels a job.
    Cancel { job: JobId },
}

/// One segment of a prompt; segments are in order from the start of the prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSegment {
    pub id: u64,
    pub tokens: u32,
}

/// What the headers of a caller's request specify.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestParams {
    /// The caller's id of this attempt; `None` when the request has none.
    pub id: Option<String>,
    pub host: String,
    /// How long the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// The last event that the caller received of an interrupted answer.
    pub last_event: Option<u64>,
    /// The caller's attempt that brought the first event of that answer.
    pub resumes: Option<String>,
    pub prompt: Vec<PromptSegment>,
}

/// What one attempt sends to the endpoint in addition to the caller's headers.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt<'a> {
    /// The instance that the attempt is meant for; any other process at the address refuses it.
    pub instance: &'a str,
    /// Time until the deadline; `None` where there is none.
    pub time_left: Option<Duration>,
    /// Resume after this event.
    pub last_event: Option<u64>,
    /// The workspace of the caller; `None` for a caller without a key.
    pub workspace: Option<&'a str>,
}

/// The decoded head of an endpoint's answer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerHead {
    /// Id of the attempt that this answers.
    pub attempt: Option<String>,
    /// The answer carries the endpoint's signature.
    pub signed: bool,
    /// The endpoint did not run the request and never will.
    pub not_run: bool,
    /// A different process has taken the address.
    pub wrong_instance: bool,
}

/// One listed result in the form in which callers read it.
#[derive(Debug, Clone, PartialEq)]
pub struct ResultRow {
    pub item: Name,
    pub outcome: ItemOutcome,
    pub text: String,
}

/// Keys and key prefixes of the deployment's records in the metadata store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Keys {
    /// Prefix of all records that operators write.
    pub operator_prefix: &'static str,
    /// The configuration in force.
    pub rules: &'static str,
    /// Prefix of the endpoints' entries; each is stored under its instance id.
    pub endpoints: &'static str,
    /// Prefix of the requests to retire a VM that has a disk, by VM name.
    pub retire: &'static str,
    /// Prefix of the progress records of these requests, by VM name.
    pub retire_status: &'static str,
}

/// Encodes and decodes the messages of a deployment.
#[derive(Clone, Copy)]
pub struct Dialect {
    pub keys: Keys,
    /// Determines the operation of a caller's request from its method and path.
    pub operation: fn(&request::Parts) -> Operation,
    /// Reads the headers of a caller's request.
    pub request_params: fn(&request::Parts) -> RequestParams,
    /// Reads the segments of the prompt.
    pub prompt: fn(&HeaderMap) -> Vec<PromptSegment>,
    /// Reads the caller's credential.
    pub credential: fn(&HeaderMap) -> Credential,
    /// Header with the attempt id, for batch items that this system sends itself.
    pub attempt_id_header: &'static str,
    /// Adds the headers of one attempt.
    pub attempt_headers: fn(&mut HeaderMap, &Attempt<'_>),
    /// Reads the head of an endpoint's answer.
    pub answer_head: fn(StatusCode, &HeaderMap) -> AnswerHead,
    /// Parses a submitted job.
    pub submission: fn(&[u8]) -> Result<Vec<Item>, String>,
    /// Encodes a page of results: the number of items, the rows, the next position.
    pub results: fn(usize, &[ResultRow], usize) -> Bytes,
    /// Parses the configuration.
    pub rules: fn(&[u8]) -> Result<Rules, String>,
    /// Parses an endpoint's entry; the name is its instance id.
    pub registration: fn(&str, &[u8]) -> Result<Registration, String>,
    /// Encodes the record that a VM holds no data any more.
    pub retired: fn() -> Bytes,
}
