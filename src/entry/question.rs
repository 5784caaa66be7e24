//! A question to the owner of a range of intents, on its way to the owner's thread.

use std::sync::mpsc::Sender;

use crate::decide::intents::{IntentKey, IntentRequest, IntentVerdict};

/// A question to the thread of a range.
pub struct Question {
    pub key: IntentKey,
    pub ask: IntentRequest,
    pub answer: Sender<IntentVerdict>,
}
