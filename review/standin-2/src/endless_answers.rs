//! Runners in trouble answer with bytes that have no end; the platform ends a process that uses more
//! memory than it has.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use bramleyseam::clock;
use bramleyseam::util::lock;
use bramleyseam_platform_standin::caller::HOST;

use crate::fleet::{put_config, register, Fleet};
use crate::record::Record;
use crate::store::Store;
use crate::Outcome;

/// `memoryMb` of the machine.
const MEMORY_KB: u64 = 110 * 1024;
const RUNNERS: usize = 9;
/// Runners in trouble: 4 of 9, as the sheets have up to 0.6 of them that hand out wrong bytes.
const IN_TROUBLE: usize = 4;
const SLOTS: u32 = 8;
const EVENTS: u64 = 27;
const INTERVAL: Duration = Duration::from_millis(40);
const CALLERS: usize = 36;
/// What a runner in trouble sends in a piece.
const PIECE_BYTES: usize = 64 * 1024;
/// What all of them send in a second: less than the link of the machine takes (1,000 Mbit/s).
const BYTES_PER_S: u64 = 120_000_000;
/// How long it lasts, as the sheets have it for wrong bytes.
const TROUBLE: Duration = Duration::from_millis(5500);
/// More lost answers than this break the rule.
const LOST_ALLOWED: usize = 3;
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Default)]
struct Shared {
    is_endless: AtomicBool,
    /// The runner that each request was last sent to.
    sent_to: Mutex<HashMap<String, usize>>,
    endless: AtomicU64,
    /// When the next piece of an answer without an end may be sent.
    next_piece_at: Mutex<Duration>,
}

/// Reads a request without a body or with a short one; `None` at the end of the channel.
fn read_head(stream: &mut TcpStream) -> io::Result<Option<HashMap<String, String>>> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut byte = [0; 1];
        if stream.read(&mut byte)? == 0 {
            return Ok(None);
        }
        bytes.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let headers = text.lines().skip(1).filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    let headers: HashMap<String, String> = headers.collect();
    let length = headers
        .get("content-length")
        .and_then(|length| length.parse().ok());
    stream.read_exact(&mut vec![0; length.unwrap_or(0)])?;
    Ok(Some(headers))
}

fn serve(
    shared: &Shared,
    runner: usize,
    busy: &AtomicU64,
    mut stream: TcpStream,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    while let Some(headers) = read_head(&mut stream)? {
        let header = |name: &str| headers.get(name).cloned().unwrap_or_default();
        let (id, expected) = (header("x-attempt-id"), header("x-expect-instance"));
        if expected != format!("i-{runner}") || busy.load(Ordering::SeqCst) >= 32 {
            let status = if busy.load(Ordering::SeqCst) >= 32 {
                "503 Busy"
            } else {
                "421 Other"
            };
            let refusal = format!(
                "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(refusal.as_bytes())?;
            continue;
        }
        lock(&shared.sent_to).insert(id.clone(), runner);
        busy.fetch_add(1, Ordering::SeqCst);
        let after: u64 = header("last-event-id").parse().unwrap_or(0);
        let answered = match runner < IN_TROUBLE && shared.is_endless.load(Ordering::SeqCst) {
            true => {
                shared.endless.fetch_add(1, Ordering::SeqCst);
                answer_endlessly(shared, &mut stream, &id)
            }
            false => answer(&mut stream, &id, after),
        };
        busy.fetch_sub(1, Ordering::SeqCst);
        answered?;
    }
    Ok(())
}

fn answer(stream: &mut TcpStream, id: &str, after: u64) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {id}\r\n\
         X-Response-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in after + 1..=EVENTS {
        clock::sleep(INTERVAL);
        let event = format!("id: {number}\ndata: {id}.{number}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Sends bytes that are no answer until the caller closes the channel.
fn answer_endlessly(shared: &Shared, stream: &mut TcpStream, id: &str) -> io::Result<()> {
    let head =
        format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    let piece = vec![b'#'; PIECE_BYTES];
    loop {
        let send_at = {
            let mut next_at = lock(&shared.next_piece_at);
            let send_at = clock::now().max(*next_at);
            *next_at =
                send_at + Duration::from_nanos(PIECE_BYTES as u64 * 1_000_000_000 / BYTES_PER_S);
            send_at
        };
        clock::sleep(send_at.saturating_sub(clock::now()));
        stream.write_all(&piece)?;
    }
}

/// What became of a request.
enum End {
    Whole,
    /// It was refused with a status.
    Refused,
    /// Its channel ended before the end of the answer.
    Cut,
}

/// Sends a request on a kept channel and reads the answer to its end.
fn ask(stream: &mut TcpStream, id: &str) -> End {
    let request = format!(
        "POST /query/one HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 5000\r\n\
         Content-Length: 2\r\n\r\nhi"
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return End::Cut;
    }
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return End::Cut,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
        let text = String::from_utf8_lossy(&bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let head = head.to_ascii_lowercase();
        if head.starts_with("http/1.1 200") {
            if body.ends_with("0\r\n\r\n") {
                return End::Whole;
            }
            continue;
        }
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length:"));
        let length = length
            .and_then(|length| length.trim().parse().ok())
            .unwrap_or(0);
        if body.len() >= length {
            return End::Refused;
        }
    }
}

struct Counts {
    asked: usize,
    whole: usize,
    refused: usize,
    /// Requests on kept channels that were cut at a sound runner.
    lost: usize,
    cut_elsewhere: usize,
}

fn call(
    record: &Record,
    caller: usize,
    to: SocketAddr,
    shared: &Shared,
    stop: &AtomicBool,
    counts: &Mutex<Counts>,
) {
    let mut channel: Option<TcpStream> = None;
    let mut number = 0;
    clock::sleep(Duration::from_millis(30 * caller as u64));
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("{caller:04x}{number:012x}");
        let is_kept = channel.is_some();
        let opened = channel.take().or_else(|| TcpStream::connect(to).ok());
        let Some(mut stream) = opened else {
            clock::sleep(Duration::from_millis(100));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
        let end = ask(&mut stream, &id);
        let at = lock(&shared.sent_to).get(&id).copied();
        let mut counts = lock(counts);
        counts.asked += 1;
        match end {
            End::Whole => {
                counts.whole += 1;
                channel = Some(stream);
            }
            End::Refused => counts.refused += 1,
            End::Cut => {
                let is_sound = at.is_some_and(|runner| runner >= IN_TROUBLE);
                let runner = at.map_or_else(|| "none".to_owned(), |at| format!("i-{at}"));
                record.line(format!(
                    "{id}: cut; on a kept channel: {is_kept}; last sent to {runner}"
                ));
                match is_kept && is_sound {
                    true => counts.lost += 1,
                    false => counts.cut_elsewhere += 1,
                }
            }
        }
        drop(counts);
        clock::sleep(Duration::from_millis(20));
    }
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start(record.clone())?;
    put_config(&store, 3);
    let shared = Arc::<Shared>::default();
    for runner in 0..RUNNERS {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        register(
            &store,
            &format!("i-{runner}"),
            listener.local_addr()?,
            SLOTS,
            1,
        );
        let (shared, busy) = (shared.clone(), Arc::<AtomicU64>::default());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, busy) = (shared.clone(), busy.clone());
                // The channel has ended.
                thread::spawn(move || drop(serve(&shared, runner, &busy, stream)));
            }
        });
    }
    let mut fleet = Fleet::start(&store, 3)?;
    clock::sleep(Duration::from_secs(1));
    let to = fleet.vms[0].callers;
    let (peak_kb, stop) = (AtomicU64::new(0), AtomicBool::new(false));
    let counts = Mutex::new(Counts {
        asked: 0,
        whole: 0,
        refused: 0,
        lost: 0,
        cut_elsewhere: 0,
    });
    let mut ends = 0;
    thread::scope(|scope| -> io::Result<()> {
        for caller in 0..CALLERS {
            let (shared, stop, counts) = (&shared, &stop, &counts);
            scope.spawn(move || call(record, caller, to, shared, stop, counts));
        }
        let trouble_at = clock::now() + Duration::from_secs(4);
        let until = trouble_at + TROUBLE;
        let mut played = Ok(());
        while clock::now() < until && played.is_ok() {
            if has_trouble && clock::now() >= trouble_at {
                let was_endless = shared.is_endless.swap(true, Ordering::SeqCst);
                if !was_endless {
                    record.line("i-0 to i-3 answer without an end");
                }
            }
            let vm = &mut fleet.vms[0];
            let used_kb = vm.memory_kb();
            peak_kb.fetch_max(used_kb, Ordering::SeqCst);
            if used_kb > MEMORY_KB {
                ends += 1;
                record.line(format!(
                    "edge-0 uses {used_kb} kB, allowed are {MEMORY_KB}: ended"
                ));
                vm.kill();
                clock::sleep(Duration::from_millis(500));
                played = vm.restart();
            }
            clock::sleep(MEMORY_CHECK_INTERVAL);
        }
        stop.store(true, Ordering::SeqCst);
        shared.is_endless.store(false, Ordering::SeqCst);
        played
    })?;
    let counts = lock(&counts);
    record.line(format!(
        "{} requests on kept and new channels, {} answered whole, {} refused; {} answers without an end; edge-0 used at \
         most {} kB and was ended {ends} times",
        counts.asked,
        counts.whole,
        counts.refused,
        shared.endless.load(Ordering::SeqCst),
        peak_kb.load(Ordering::SeqCst),
    ));
    record.line(format!(
        "{} requests on kept channels were cut at sound runners, {} others were cut",
        counts.lost, counts.cut_elsewhere
    ));
    match counts.whole > 0 {
        true => Ok(counts.lost <= LOST_ALLOWED),
        false => Err(io::Error::other("nothing was served")),
    }
}
