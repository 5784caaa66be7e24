//! The connection to the entry process of the same VM.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use log::{info, warn};

use super::message::Message;
use crate::clock;
use crate::util::lock;
use crate::wire::{read_frame, write_frame, Key, ToEntry};

const RECONNECT_INTERVAL: Duration = Duration::from_millis(200);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The entry process's address, and the messages for it.
pub struct Settings {
    pub address: SocketAddr,
    pub key: Key,
    pub outgoing: Receiver<ToEntry>,
}

/// Connects, and reconnects whenever the connection is lost; received messages go to `sender`.
pub fn start(settings: Settings, sender: Sender<Message>) -> io::Result<()> {
    let Settings {
        address,
        key,
        outgoing,
    } = settings;
    let writer: Arc<Mutex<Option<TcpStream>>> = Arc::default();
    let (thread_writer, thread_key) = (writer.clone(), key.clone());
    thread::Builder::new()
        .name("to-entry".into())
        .spawn(move || {
            while let Ok(message) = outgoing.recv() {
                if let Some(stream) = lock(&thread_writer).as_mut() {
                    let _ = write_frame(stream, &thread_key, &message);
                }
            }
        })?;
    thread::Builder::new()
        .name("link".into())
        .spawn(move || loop {
            if let Ok(stream) = connect(address) {
                info!("linked to the entry process");
                *lock(&writer) = stream.try_clone().ok();
                let _ = sender.send(Message::Linked);
                read(stream, &key, &sender);
                *lock(&writer) = None;
                warn!("link to the entry process lost");
                let _ = sender.send(Message::Unlinked);
            }
            clock::sleep(RECONNECT_INTERVAL);
        })?;
    Ok(())
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn read(mut stream: TcpStream, key: &Key, sender: &Sender<Message>) {
    while let Ok(message) = read_frame(&mut stream, key) {
        if sender.send(Message::Entry(message)).is_err() {
            return;
        }
    }
}
