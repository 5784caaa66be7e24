//! Runners as processes of their own, which can be killed as a crash would end them.

use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bramleyseam::clock;
use bramleyseam::util::lock;
use serde_json::{json, Value};

const START_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Requests that wait at a runner, as in the sheet of the installation.
const QUEUE: u32 = 24;
const HEAD_BYTES_MAX: usize = 64 * 1024;

/// How the end of an answer is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Chunks,
    /// Neither a length nor chunks: the answer ends with its channel.
    UntilClose,
}

/// What a runner process is started with.
#[derive(Debug, Clone)]
pub struct Setup {
    pub id: String,
    pub slots: u32,
    pub events: u64,
    pub interval: Duration,
    pub framing: Framing,
    pub version: String,
}

/// A runner process.
pub struct RunnerProcess {
    pub setup: Setup,
    pub address: SocketAddr,
    /// Unix time in milliseconds at which it started.
    pub born_ms: u64,
    log: PathBuf,
    child: Child,
}

/// Data of event `number` of the answer to `id`.
pub fn event_data(id: &str, number: u64, version: &str) -> String {
    format!("{id}.{number}@{version}")
}

/// The whole text of an answer.
pub fn whole_text(id: &str, events: u64, version: &str) -> String {
    let lines = (1..=events).map(|number| event_data(id, number, version));
    lines.collect::<Vec<_>>().join("\n")
}

impl RunnerProcess {
    /// Starts a runner on a free port.
    pub fn start(setup: Setup, folder: &std::path::Path) -> io::Result<RunnerProcess> {
        let log = folder.join(format!("{}.log", setup.id));
        let (child, address) = spawn(&setup, None, &log)?;
        Ok(RunnerProcess {
            setup,
            address,
            born_ms: unix_ms(),
            log,
            child,
        })
    }

    /// Ends the process as a crash does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts it again at its address.
    pub fn restart(&mut self) -> io::Result<()> {
        let (child, _) = spawn(&self.setup, Some(self.address), &self.log)?;
        (self.child, self.born_ms) = (child, unix_ms());
        Ok(())
    }

    /// Its entry in the store.
    pub fn entry(&self) -> Value {
        json!({
            "service": "desk", "address": self.address, "zone": "zone-0",
            "version": self.setup.version, "slots": self.setup.slots, "state": "ready",
            "coldLeftMs": 0, "sequence": 1, "born": self.born_ms,
        })
    }

    /// The lines that it has logged: `begin ID AFTER VERSION` and `end ID VERSION`.
    pub fn log_lines(&self) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }
}

impl Drop for RunnerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

fn spawn(
    setup: &Setup,
    address: Option<SocketAddr>,
    log: &PathBuf,
) -> io::Result<(Child, SocketAddr)> {
    let framing = match setup.framing {
        Framing::Chunks => "chunks",
        Framing::UntilClose => "close",
    };
    let address = address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    let mut child = Command::new(std::env::current_exe()?)
        .args([
            "runner",
            &setup.id,
            &address.to_string(),
            framing,
            &setup.version,
        ])
        .args([setup.slots.to_string(), setup.events.to_string()])
        .arg(setup.interval.as_millis().to_string())
        .arg(log)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()?;
    let stdout = child.stdout.take();
    let mut line = String::new();
    let stdout = stdout.ok_or_else(|| io::Error::other("no output"))?;
    BufReader::new(stdout).read_line(&mut line)?;
    let address = line.trim().parse();
    let address = address.map_err(|_| io::Error::other("the runner did not start"))?;
    Ok((child, address))
}

/// The runner process itself.
pub fn serve(arguments: &[String]) -> io::Result<()> {
    let [id, address, framing, version, slots, events, interval_ms, log] = arguments else {
        return Err(io::Error::other("wrong arguments of a runner"));
    };
    let number = |text: &str| text.parse::<u64>().map_err(io::Error::other);
    let setup = Arc::new(Setup {
        id: id.clone(),
        slots: number(slots)? as u32,
        events: number(events)?,
        interval: Duration::from_millis(number(interval_ms)?),
        framing: match framing.as_str() {
            "close" => Framing::UntilClose,
            _ => Framing::Chunks,
        },
        version: version.clone(),
    });
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let listener = bind(address)?;
    println!("{}", listener.local_addr()?);
    let log = File::options().create(true).append(true).open(log)?;
    let (log, running) = (Arc::new(Mutex::new(log)), Arc::<AtomicU32>::default());
    let slots = Arc::<AtomicU32>::default();
    for stream in listener.incoming().flatten() {
        let (setup, log) = (setup.clone(), log.clone());
        let (running, slots) = (running.clone(), slots.clone());
        thread::spawn(move || {
            // The channel has ended.
            let _ = serve_channel(stream, &setup, &log, &running, &slots);
        });
    }
    Ok(())
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let until = clock::now() + START_TIMEOUT;
    loop {
        match TcpListener::bind(address) {
            Err(_) if clock::now() < until => clock::sleep(POLL_INTERVAL),
            bound => return bound,
        }
    }
}

struct Head {
    headers: Vec<(String, String)>,
}

impl Head {
    fn get(&self, name: &str) -> String {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or_else(String::new, |(_, value)| value.clone())
    }
}

/// Reads one request; `None` at the end of the channel.
fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Head>> {
    let end = loop {
        let found = buffer.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(at) = found {
            break at + 4;
        }
        let mut bytes = [0; 8192];
        let count = stream.read(&mut bytes)?;
        if count == 0 || buffer.len() > HEAD_BYTES_MAX {
            return Ok(None);
        }
        buffer.extend_from_slice(&bytes[..count]);
    };
    let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let headers = text.lines().skip(1).filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    let head = Head {
        headers: headers.collect(),
    };
    let length: usize = head.get("content-length").parse().unwrap_or(0);
    while buffer.len() < end + length {
        let mut bytes = [0; 8192];
        let count = stream.read(&mut bytes)?;
        if count == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&bytes[..count]);
    }
    buffer.drain(..end + length);
    Ok(Some(head))
}

fn serve_channel(
    mut stream: TcpStream,
    setup: &Setup,
    log: &Mutex<File>,
    running: &AtomicU32,
    slots: &AtomicU32,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(head) = read_request(&mut stream, &mut buffer)? {
        let id = head.get("x-attempt-id");
        let expected = head.get("x-expect-instance");
        let refusal = |status: &str| {
            format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        };
        if !expected.is_empty() && expected != setup.id {
            stream.write_all(refusal("421 Misdirected Request").as_bytes())?;
            continue;
        }
        // Requests beyond the slots wait, up to the length of the queue.
        if running.fetch_add(1, Ordering::SeqCst) >= setup.slots + QUEUE {
            running.fetch_sub(1, Ordering::SeqCst);
            stream.write_all(refusal("503 Service Unavailable").as_bytes())?;
            continue;
        }
        while slots.fetch_add(1, Ordering::SeqCst) >= setup.slots {
            slots.fetch_sub(1, Ordering::SeqCst);
            clock::sleep(POLL_INTERVAL);
        }
        let after: u64 = head.get("last-event-id").parse().unwrap_or(0);
        write_line(log, &format!("begin {id} {after} {}", setup.version));
        let answered = answer(&mut stream, setup, &id, after);
        slots.fetch_sub(1, Ordering::SeqCst);
        running.fetch_sub(1, Ordering::SeqCst);
        answered?;
        write_line(log, &format!("end {id} {}", setup.version));
        if setup.framing == Framing::UntilClose {
            return Ok(());
        }
    }
    Ok(())
}

fn answer(stream: &mut TcpStream, setup: &Setup, id: &str, after: u64) -> io::Result<()> {
    let is_chunked = setup.framing == Framing::Chunks;
    let framing = match is_chunked {
        true => "Transfer-Encoding: chunked",
        false => "Connection: close",
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {id}\r\n\
         X-Response-Signature: sig\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in after + 1..=setup.events {
        clock::sleep(setup.interval);
        let data = event_data(id, number, &setup.version);
        let event = format!("id: {number}\ndata: {data}\n\n");
        match is_chunked {
            true => stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?,
            false => stream.write_all(event.as_bytes())?,
        }
    }
    match is_chunked {
        true => stream.write_all(b"0\r\n\r\n"),
        false => Ok(()),
    }
}

fn write_line(log: &Mutex<File>, line: &str) {
    // A line that can't be written is missing in the record.
    let _ = lock(log).write_all(format!("{line}\n").as_bytes());
}
