//! The link to the batch process of the same VM, and what it was last told.

use std::sync::mpsc::Sender;

use crate::decide::batch::place::BatchPeers;
use crate::id::{EndpointId, OwnerId, ServiceId};
use crate::wire::ToBatch;

/// The link to the batch process of this VM.
#[derive(Default)]
pub struct Links {
    pub to_batch: Option<Sender<ToBatch>>,
    /// The batch process that is linked and takes on work; 0 for none.
    pub batch: OwnerId,
    pub windows: Vec<(EndpointId, ServiceId, u32)>,
    pub crew: BatchPeers,
}

impl Links {
    /// Sends a message; a link that is gone is forgotten.
    pub fn send(&mut self, message: ToBatch) {
        if let Some(sender) = &self.to_batch {
            if sender.send(message).is_err() {
                self.to_batch = None;
                self.batch = 0;
            }
        }
    }
}
