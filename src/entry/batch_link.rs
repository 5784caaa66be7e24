//! The connection to the batch process of the same VM, and the state last sent to it.

use std::sync::mpsc::Sender;

use crate::decide::batch::place::BatchPeers;
use crate::id::{EndpointId, OwnerId, ServiceId};
use crate::wire::ToBatch;

/// The connection to the batch process of the same VM.
#[derive(Default)]
pub struct BatchLink {
    pub to_batch: Option<Sender<ToBatch>>,
    /// Owner id of the connected batch process while it accepts work; 0 for none.
    pub owner: OwnerId,
    /// Endpoint, its service, and the number of batch items that it may run.
    pub windows: Vec<(EndpointId, ServiceId, u32)>,
    pub peers: BatchPeers,
}

impl BatchLink {
    /// Sends a message; drops a connection that is closed.
    pub fn send(&mut self, message: ToBatch) {
        if let Some(sender) = &self.to_batch {
            if sender.send(message).is_err() {
                self.to_batch = None;
                self.owner = 0;
            }
        }
    }
}
