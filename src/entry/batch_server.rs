//! Server side of the connection to the batch process of the same VM.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use log::{info, warn};

use super::node::Node;
use crate::clock;
use crate::util::lock;
use crate::wire::{self, read_frame, write_frame, ToBatch, ToEntry};

const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts connections, one at a time.
pub fn serve(node: &Arc<Node>, listener: TcpListener) -> io::Result<()> {
    let node = node.clone();
    let accept = move || loop {
        let Ok((stream, _)) = listener.accept() else {
            clock::sleep(ACCEPT_RETRY_INTERVAL);
            continue;
        };
        if let Err(error) = run_link(&node, stream) {
            warn!("link to the batch process ended: {error}");
        }
        let mut link = lock(&node.batch_link);
        link.to_batch = None;
        link.owner = 0;
        drop(link);
    };
    thread::Builder::new().name("local".into()).spawn(accept)?;
    Ok(())
}

fn run_link(node: &Arc<Node>, stream: TcpStream) -> Result<(), wire::Error> {
    let io_error = |source| wire::Error::Io { source };
    stream.set_nodelay(true).map_err(io_error)?;
    let writing = stream.try_clone().map_err(io_error)?;
    let (sender, receiver) = mpsc::channel();
    node.attach_batch(sender);
    info!("batch process linked");
    let writer = node.clone();
    thread::Builder::new()
        .name("to-batch".into())
        .spawn(move || write_link(&writer, writing, receiver))
        .map_err(io_error)?;
    let mut reading = stream;
    loop {
        match read_frame::<ToEntry>(&mut reading, &node.key)? {
            ToEntry::Ready(batch) => lock(&node.batch_link).owner = batch,
        }
    }
}

fn write_link(node: &Node, mut stream: TcpStream, receiver: Receiver<ToBatch>) {
    while let Ok(message) = receiver.recv() {
        if write_frame(&mut stream, &node.key, &message).is_err() {
            return;
        }
    }
}
