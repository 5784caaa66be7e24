//! Refusals as `application/problem+json`.

use std::time::Duration;

use serde::Serialize;
use strum::EnumMessage;

pub use crate::decide::refusal::RefusalKind;

/// A refusal or failure as reported to the caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Problem {
    pub kind: RefusalKind,
    pub detail: String,
    /// True only when no endpoint can have received any byte of the request.
    pub not_run: bool,
    /// Time after which a retry makes sense.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Body<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    not_run: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Problem {
    /// A problem that occurred before an endpoint was chosen.
    pub fn not_run(kind: RefusalKind, detail: impl Into<String>) -> Problem {
        Problem {
            kind,
            detail: detail.into(),
            not_run: true,
            retry_after: None,
        }
    }

    /// A problem that occurred after an endpoint may have received part of the request.
    pub fn maybe_run(kind: RefusalKind, detail: impl Into<String>) -> Problem {
        Problem {
            kind,
            detail: detail.into(),
            not_run: false,
            retry_after: None,
        }
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Problem {
        self.retry_after = Some(retry_after);
        self
    }

    /// Value of `Retry-After`: whole seconds, at least one.
    pub fn retry_after_s(&self) -> Option<u64> {
        let wait = self.retry_after?;
        Some(wait.as_millis().div_ceil(1000).max(1) as u64)
    }

    /// The JSON body.
    pub fn body(&self) -> Vec<u8> {
        let name: &'static str = self.kind.into();
        let body = Body {
            r#type: format!("urn:bramleyseam:{name}"),
            title: self.kind.get_message().unwrap_or(name),
            status: self.kind.status(),
            detail: &self.detail,
            not_run: self.not_run,
            retry_after_ms: self.retry_after.map(|wait| wait.as_millis() as u64),
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }
}
