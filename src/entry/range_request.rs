//! An intent request on its way to the thread of its range.

use std::sync::mpsc::Sender;

use crate::decide::intents::{IntentKey, IntentRequest, IntentVerdict};

/// An intent request to the thread of its range.
pub struct RangeRequest {
    pub key: IntentKey,
    pub request: IntentRequest,
    pub reply: Sender<IntentVerdict>,
}
