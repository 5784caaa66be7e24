//! Requests between VMs: one frame each way over TCP.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::clock;
use crate::wire::{self, read_frame, write_frame, Key, PeerReply, PeerRequest};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const CONNECTIONS_MAX: usize = 128;
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Sends a request to another VM and waits for the reply.
pub fn call(
    address: SocketAddr,
    key: &Key,
    request: &PeerRequest,
    timeout: Duration,
) -> Result<PeerReply, wire::Error> {
    let connect = || -> io::Result<TcpStream> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(stream)
    };
    let mut stream = connect().map_err(|source| wire::Error::Io { source })?;
    write_frame(&mut stream, key, request)?;
    read_frame(&mut stream, key)
}

/// Answers requests of other VMs until the process ends.
pub fn serve(
    listener: TcpListener,
    key: Key,
    handler: impl Fn(PeerRequest) -> PeerReply + Send + Sync + 'static,
) -> io::Result<()> {
    let handler = Arc::new(handler);
    let connections = Arc::new(AtomicUsize::new(0));
    let accept = move || loop {
        let Ok((stream, _)) = listener.accept() else {
            clock::sleep(ACCEPT_PAUSE);
            continue;
        };
        if connections.load(Ordering::SeqCst) >= CONNECTIONS_MAX {
            continue;
        }
        connections.fetch_add(1, Ordering::SeqCst);
        let (key, handler, thread_connections) =
            (key.clone(), handler.clone(), connections.clone());
        let spawned = thread::Builder::new().name("peer".into()).spawn(move || {
            let _ = answer(stream, &key, &*handler);
            thread_connections.fetch_sub(1, Ordering::SeqCst);
        });
        if spawned.is_err() {
            connections.fetch_sub(1, Ordering::SeqCst);
        }
    };
    thread::Builder::new().name("peers".into()).spawn(accept)?;
    Ok(())
}

fn answer(
    mut stream: TcpStream,
    key: &Key,
    handler: &impl Fn(PeerRequest) -> PeerReply,
) -> Result<(), wire::Error> {
    let io_error = |source| wire::Error::Io { source };
    stream.set_nodelay(true).map_err(io_error)?;
    stream
        .set_read_timeout(Some(IDLE_TIMEOUT))
        .map_err(io_error)?;
    stream
        .set_write_timeout(Some(IDLE_TIMEOUT))
        .map_err(io_error)?;
    loop {
        let request: PeerRequest = read_frame(&mut stream, key)?;
        write_frame(&mut stream, key, &handler(request))?;
    }
}
