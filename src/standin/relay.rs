//! A TCP relay that can be cut, in the place of a network link.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::clock;
use crate::util::lock;

/// How a link carries bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Open,
    /// Bytes come so much later.
    Delayed(Duration),
    /// What clients send stays on the way, until the link is open again.
    SilentUp,
    /// What comes back stays on the way.
    SilentDown,
    Silent,
}

/// Time between two looks at a silent link.
const LOOK: Duration = Duration::from_millis(5);

/// One connection over a link.
struct Open {
    ends: [TcpStream; 2],
    /// Nothing it carries arrives any more, and nobody is told.
    silent: Arc<AtomicBool>,
}

/// One link.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    mode: Arc<Mutex<Mode>>,
    open: Arc<Mutex<HashMap<u64, Open>>>,
    next: Arc<AtomicU64>,
}

impl Relay {
    /// Starts a link to `target`.
    pub fn start(target: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let relay = Relay {
            address: listener.local_addr()?,
            cut: Arc::default(),
            mode: Arc::default(),
            open: Arc::default(),
            next: Arc::default(),
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
        let id = self.next.fetch_add(1, Ordering::SeqCst);
        let ends = [client.try_clone()?, server.try_clone()?];
        let dead = Arc::new(AtomicBool::new(false));
        let silent = dead.clone();
        lock(&self.open).insert(id, Open { ends, silent });
        let (client_read, server_write) = (client.try_clone()?, server.try_clone()?);
        let (up, down) = (self.mode.clone(), self.mode.clone());
        let dead_down = dead.clone();
        let silent_up = move |mode| {
            dead.load(Ordering::SeqCst) || matches!(mode, Mode::Silent | Mode::SilentUp)
        };
        let silent_down = move |mode| {
            dead_down.load(Ordering::SeqCst) || matches!(mode, Mode::Silent | Mode::SilentDown)
        };
        let open = self.open.clone();
        thread::spawn(move || copy(client_read, server_write, &up, silent_up));
        thread::spawn(move || {
            copy(server, client, &down, silent_down);
            // Its descriptors are free again.
            lock(&open).remove(&id);
        });
        Ok(())
    }

    /// Changes how the link carries bytes, also those of connections that are open.
    pub fn set(&self, mode: Mode) {
        *lock(&self.mode) = mode;
    }

    /// Resets all connections; new ones can be opened.
    pub fn reset(&self) {
        for stream in lock(&self.open).drain().flat_map(|(_, open)| open.ends) {
            // It may be closed by now.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Connections that are open go silent for good; new ones work.
    pub fn silence_open(&self) {
        for open in lock(&self.open).values() {
            open.silent.store(true, Ordering::SeqCst);
        }
    }

    /// Cuts or heals the link; connections that are open break.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        if cut {
            self.reset();
        }
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, mode: &Mutex<Mode>, silent: impl Fn(Mode) -> bool) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(count) = from.read(&mut buffer) {
        while silent(*lock(mode)) {
            clock::sleep(LOOK);
        }
        let late = match *lock(mode) {
            Mode::Delayed(late) => late,
            _ => Duration::ZERO,
        };
        clock::sleep(late);
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
