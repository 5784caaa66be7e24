//! Replies that this system generates itself.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use strum::EnumMessage;

use super::body::ReplyBody;
use crate::decide::refusal::RefusalKind;

/// A reply to a caller.
pub type Reply = Response<ReplyBody>;

/// A refusal. A status that promises "not run" (503) is used only where that is true; `retry_after`
/// is when the caller should retry.
pub fn refusal(kind: RefusalKind, not_run: bool, retry_after: Option<Duration>) -> Reply {
    let status = match (kind.status(), not_run) {
        // Nothing ran, and the same request may succeed later.
        (502 | 504, true) => 503,
        // 429 and 503 promise "not run".
        (429 | 503, false) => 502,
        // The outcome of an attempt is unknown; the caller has to decide what to do.
        (409, false) => 502,
        (status, _) => status,
    };
    let name: &'static str = kind.into();
    let message = kind.get_message().unwrap_or(name);
    let body = serde_json::json!({ "error": name, "message": message, "not_run": not_run });
    let mut reply = json(status, Bytes::from(body.to_string()));
    let promises = matches!(status, 429 | 503);
    if let Some(retry_after) = retry_after.filter(|_| promises) {
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            reply.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    reply
}

/// A reply with a JSON body.
pub fn json(status: u16, body: Bytes) -> Reply {
    let mut reply = empty(status);
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    *reply.body_mut() = ReplyBody::Whole(Some(body));
    reply
}

/// A reply with a binary body.
pub fn binary(body: Bytes) -> Reply {
    let mut reply = empty(200);
    let octets = HeaderValue::from_static("application/octet-stream");
    reply.headers_mut().insert(CONTENT_TYPE, octets);
    *reply.body_mut() = ReplyBody::Whole(Some(body));
    reply
}

/// A reply without a body.
pub fn empty(status: u16) -> Reply {
    let mut reply = Response::new(ReplyBody::Whole(None));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    reply
}
