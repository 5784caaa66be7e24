//! What a deployment's adapter tells the product: how calls, answers and records are spelled.
//!
//! The adapter decodes each message once into the types here. Nothing in it decides.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::http::request;
use hyper::StatusCode;

use crate::decide::access::Credential;
use crate::decide::discovery::Registration;
use crate::decide::routes::Rules;
use crate::decide::small_jobs::{Item, Outcome};
use crate::id::{JobId, Name};

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// Whatever the route of its host and path says: a request, or the submission of a job.
    Routed,
    /// The results of a job from a position on.
    Results {
        job: JobId,
        after: usize,
        /// How long to wait for a result when there is none yet.
        wait: Duration,
    },
    /// The body of an item.
    ItemBody { job: JobId, item: Name },
    /// Ends a job.
    Cancel { job: JobId },
}

/// One part of a prompt, in order from its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    pub id: u64,
    pub tokens: u32,
}

/// What a caller's request says of itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ask {
    /// The caller's id of this try; `None` when it gave none.
    pub id: Option<String>,
    pub host: String,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// The last event that the caller has of an earlier answer.
    pub last_event: Option<u64>,
    pub prompt: Vec<PromptPart>,
}

/// What one try tells the endpoint beside the caller's own headers.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt<'a> {
    /// Any other process at this address refuses.
    pub instance: &'a str,
    /// What is left until nobody waits any more; `None` where there is no bound.
    pub left: Option<Duration>,
    /// Go on after this event.
    pub last_event: Option<u64>,
    /// Whose request it is; `None` where nobody is known to ask.
    pub workspace: Option<&'a str>,
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerHead {
    /// Id of the try that it answers.
    pub attempt: Option<String>,
    /// The endpoint vouches for the answer.
    pub signed: bool,
    /// The endpoint says that it did not run the request and never will.
    pub not_run: bool,
    /// Another process has the address.
    pub elsewhere: bool,
}

/// One listed result as a caller reads it.
#[derive(Debug, Clone, PartialEq)]
pub struct ResultRow {
    pub item: Name,
    pub outcome: Outcome,
    pub text: String,
}

/// Where the deployment keeps its records in the metadata store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Keys {
    /// Prefix of all that operators write.
    pub operators: &'static str,
    /// The rules in force.
    pub rules: &'static str,
    /// Endpoints, each under its instance id.
    pub endpoints: &'static str,
    /// Requests to empty a VM with a disk, by VM name.
    pub retire: &'static str,
    /// Where the progress of such a request is written, by VM name.
    pub retire_status: &'static str,
}

/// How a deployment spells its messages.
#[derive(Clone, Copy)]
pub struct Dialect {
    pub keys: Keys,
    /// Sorts a caller's request by method and path.
    pub call: fn(&request::Parts) -> Call,
    /// Reads what the headers say.
    pub ask: fn(&request::Parts) -> Ask,
    /// Reads what a caller shows to say who it is.
    pub credential: fn(&HeaderMap) -> Credential,
    /// Header with the id of a try, for items that this system sends by itself.
    pub id_header: &'static str,
    /// Adds what one try tells the endpoint.
    pub attempt: fn(&mut HeaderMap, &Attempt<'_>),
    /// Reads the head of an endpoint's answer.
    pub answer: fn(StatusCode, &HeaderMap) -> AnswerHead,
    /// Reads a submitted job.
    pub submission: fn(&[u8]) -> Result<Vec<Item>, String>,
    /// Writes a page of results: how many items there are, the rows, the next position.
    pub results: fn(usize, &[ResultRow], usize) -> Bytes,
    /// Reads the rules.
    pub rules: fn(&[u8]) -> Result<Rules, String>,
    /// Reads an endpoint's entry; the name is its instance id.
    pub registration: fn(&str, &[u8]) -> Result<Registration, String>,
    /// Says that a VM holds nothing any more.
    pub retired: fn() -> Bytes,
}
