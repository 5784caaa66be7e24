//! An intent request on its way to the thread of its range.

use std::sync::mpsc::Sender;

use crate::decide::intents::{IntentKey, IntentRequest, IntentVerdict};

/// An intent request to the thread of its range.
pub struct Question {
    pub key: IntentKey,
    pub ask: IntentRequest,
    pub answer: Sender<IntentVerdict>,
}
