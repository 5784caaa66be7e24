//! A TCP relay that can be cut, in the place of a network link.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::util::lock;

/// One link.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    /// Starts a link to `target`.
    pub fn start(target: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let relay = Relay {
            address: listener.local_addr()?,
            cut: Arc::default(),
            open: Arc::default(),
        };
        let own = relay.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if own.cut.load(Ordering::SeqCst) {
                    continue;
                }
                if let Ok(server) = TcpStream::connect(target) {
                    let _ = own.join(stream, server);
                }
            }
        });
        Ok(relay)
    }

    fn join(&self, client: TcpStream, server: TcpStream) -> io::Result<()> {
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        lock(&self.open).extend([client.try_clone()?, server.try_clone()?]);
        let (client_read, server_write) = (client.try_clone()?, server.try_clone()?);
        thread::spawn(move || copy(client_read, server_write));
        thread::spawn(move || copy(server, client));
        Ok(())
    }

    /// Cuts or heals the link; connections that are open break.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        if cut {
            for stream in lock(&self.open).drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
