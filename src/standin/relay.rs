//! A TCP relay that stands for a network link and can delay, hold back, reset or cut its
//! connections.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use crate::clock;
use crate::util::lock;

/// How a link forwards bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Open,
    /// Bytes are delivered this much later.
    Delayed(Duration),
    /// Bytes from clients are held until the mode changes.
    SilentUp,
    /// Bytes from the server are held until the mode changes.
    SilentDown,
    /// Bytes of both directions are held until the mode changes.
    Silent,
}

/// Interval at which a held direction checks whether it may forward again.
const HELD_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Time within which a listener on this machine accepts a connection, unless its queue is full.
const ACCEPTED_WITHIN: Duration = Duration::from_millis(50);
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 128;

/// Direction in which a connection permanently stops forwarding, without being closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Silence {
    Both,
    /// From client to server.
    Up,
    /// From server to client.
    Down,
}

/// One open connection over a link.
struct Connection {
    ends: [TcpStream; 2],
    state: Arc<ConnectionState>,
}

/// State that both directions of a connection share. A silent direction forwards nothing any more,
/// and neither end sees the connection close.
#[derive(Default)]
struct ConnectionState {
    silent_up: AtomicBool,
    silent_down: AtomicBool,
    /// When the connection last received bytes, in milliseconds of the monotonic clock.
    last_used_ms: AtomicU64,
}

impl ConnectionState {
    fn new() -> ConnectionState {
        let state = ConnectionState::default();
        state.touch();
        state
    }

    fn touch(&self) {
        self.last_used_ms.store(now_ms(), Ordering::SeqCst);
    }

    fn idle(&self) -> Duration {
        let used_ms = self.last_used_ms.load(Ordering::SeqCst);
        Duration::from_millis(now_ms().saturating_sub(used_ms))
    }

    fn silence_direction(&self, silence: Silence) {
        if silence != Silence::Down {
            self.silent_up.store(true, Ordering::SeqCst);
        }
        if silence != Silence::Up {
            self.silent_down.store(true, Ordering::SeqCst);
        }
    }
}

fn now_ms() -> u64 {
    clock::now().as_millis() as u64
}

/// A link from a local port to one server. Clones control the same link.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    mode: Arc<Mutex<Mode>>,
    connections: Arc<Mutex<HashMap<u64, Connection>>>,
    next_id: Arc<AtomicU64>,
    /// Number of further connections that will be silent from the start.
    silent_next: Arc<AtomicU32>,
    listener: Arc<TcpListener>,
    /// Connections that fill the listener's queue while the link drops all packets.
    waiting: Arc<Mutex<Vec<TcpStream>>>,
    dropping: Arc<AtomicBool>,
}

impl Relay {
    /// Starts a link to `target` on a free local port.
    pub fn start(target: SocketAddr) -> io::Result<Relay> {
        let listener = Arc::new(TcpListener::bind("127.0.0.1:0")?);
        let relay = Relay {
            address: listener.local_addr()?,
            cut: Arc::default(),
            mode: Arc::default(),
            connections: Arc::default(),
            next_id: Arc::default(),
            silent_next: Arc::default(),
            listener: listener.clone(),
            waiting: Arc::default(),
            dropping: Arc::default(),
        };
        let relay_clone = relay.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                while relay_clone.dropping.load(Ordering::SeqCst) {
                    clock::sleep(HELD_CHECK_INTERVAL);
                }
                if relay_clone.cut.load(Ordering::SeqCst) {
                    continue;
                }
                if let Ok(server) = TcpStream::connect(target) {
                    let _ = relay_clone.connect(stream, server);
                }
            }
        });
        Ok(relay)
    }

    /// Registers a connection and starts a thread for each of its directions.
    fn connect(&self, client: TcpStream, server: TcpStream) -> io::Result<()> {
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let ends = [client.try_clone()?, server.try_clone()?];
        let state = Arc::new(ConnectionState::new());
        if self.take_silent() {
            state.silence_direction(Silence::Both);
        }
        let (state_up, state_down) = (state.clone(), state.clone());
        lock(&self.connections).insert(id, Connection { ends, state });
        let (client_read, server_write) = (client.try_clone()?, server.try_clone()?);
        let (up, down) = (self.mode.clone(), self.mode.clone());
        let connections = self.connections.clone();
        thread::spawn(move || {
            let silent = |mode| {
                let silenced = state_up.silent_up.load(Ordering::SeqCst);
                silenced || matches!(mode, Mode::Silent | Mode::SilentUp)
            };
            forward(client_read, server_write, &up, &state_up, silent);
        });
        thread::spawn(move || {
            let silent = |mode| {
                let silenced = state_down.silent_down.load(Ordering::SeqCst);
                silenced || matches!(mode, Mode::Silent | Mode::SilentDown)
            };
            forward(server, client, &down, &state_down, silent);
            // Closes the copies of both sockets that are kept for `reset`.
            lock(&connections).remove(&id);
        });
        Ok(())
    }

    /// Changes how the link forwards bytes, also for connections that are already open.
    pub fn set_mode(&self, mode: Mode) {
        *lock(&self.mode) = mode;
    }

    /// Drops all packets, or delivers them again: bytes are held, and nothing answers those who open
    /// connections.
    pub fn drop_packets(&self, dropping: bool) -> io::Result<()> {
        self.dropping.store(dropping, Ordering::SeqCst);
        let listener = SockRef::from(&*self.listener);
        let mut waiting = lock(&self.waiting);
        if dropping {
            self.set_mode(Mode::Silent);
            listener.listen(0)?;
            while let Ok(stream) = TcpStream::connect_timeout(&self.address, ACCEPTED_WITHIN) {
                waiting.push(stream);
            }
        } else {
            listener.listen(BACKLOG)?;
            waiting.clear();
            self.set_mode(Mode::Open);
        }
        Ok(())
    }

    /// Closes all connections; new ones can be opened.
    pub fn reset(&self) {
        for stream in lock(&self.connections)
            .drain()
            .flat_map(|(_, connection)| connection.ends)
        {
            // Fails when the connection has been closed by one of its ends.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Makes all open connections silent in both directions for good; new connections work.
    pub fn silence_open(&self) {
        self.silence_idle(Duration::ZERO, Silence::Both);
    }

    /// Makes open connections that have received nothing for `idle` silent for good; busy and new
    /// connections work.
    pub fn silence_idle(&self, idle: Duration, silence: Silence) {
        for connection in lock(&self.connections).values() {
            if connection.state.idle() >= idle {
                connection.state.silence_direction(silence);
            }
        }
    }

    /// Makes the next `count` connections silent in both directions from the start.
    pub fn silence_next(&self, count: u32) {
        self.silent_next.store(count, Ordering::SeqCst);
    }

    /// Whether the next connection has to be silent; counts down.
    fn take_silent(&self) -> bool {
        let remaining = &self.silent_next;
        let decrement = |count: u32| count.checked_sub(1);
        remaining
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
            .is_ok()
    }

    /// Cuts or restores the link. While it is cut, new connections are closed at once; cutting it
    /// also closes the open ones.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        if cut {
            self.reset();
        }
    }
}

/// Forwards bytes of one direction until either end closes; then closes `to`.
fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    mode: &Mutex<Mode>,
    state: &ConnectionState,
    silent: impl Fn(Mode) -> bool,
) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(count) = from.read(&mut buffer) {
        state.touch();
        while silent(*lock(mode)) {
            clock::sleep(HELD_CHECK_INTERVAL);
        }
        let delay = match *lock(mode) {
            Mode::Delayed(late) => late,
            _ => Duration::ZERO,
        };
        clock::sleep(delay);
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
