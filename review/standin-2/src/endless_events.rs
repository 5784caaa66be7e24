//! A runner in trouble sends blank lines without an end in place of the events of a stream.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use bramleyseam::clock;
use bramleyseam::util::lock;
use bramleyseam_platform_standin::caller::{self, HOST};

use crate::fleet::{put_config_with, register, Fleet};
use crate::record::Record;
use crate::store::Store;
use crate::Outcome;

const RUNNERS: usize = 9;
/// Runners in trouble: 3 of 9, where the sheets have up to 0.6 of them that hand out wrong bytes.
const IN_TROUBLE: usize = 3;
const SLOTS: u32 = 8;
const EVENTS: u64 = 27;
const INTERVAL: Duration = Duration::from_millis(40);
const CALLERS: usize = 36;
/// What a runner in trouble sends in a piece.
const PIECE_BYTES: usize = 64 * 1024;
/// What they send in a second on all channels: less than the link of the machine takes (1,000 Mbit/s).
const BYTES_PER_S: u64 = 110_000_000;
/// How long it lasts, as the sheets have it for wrong bytes.
const TROUBLE: Duration = Duration::from_millis(5500);
/// `timeoutMs` of the route, shorter than the callers' time budget.
const TIMEOUT: Duration = Duration::from_secs(3);
/// When a request that lasts longer has to have its final answer.
const ANSWERED_WITHIN: Duration = Duration::from_millis(3500);
/// The callers' time budget, as in their `X-Deadline-Ms`.
const PATIENCE: Duration = Duration::from_secs(5);
/// As many requests without a final answer break the rule, if they are over a quarter.
const UNANSWERED_MIN: usize = 8;
/// The platform asks each second.
const READINESS_INTERVAL: Duration = Duration::from_secs(1);

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

/// Sends blank lines until the caller closes the channel.
fn answer_endlessly(shared: &Shared, stream: &mut TcpStream, id: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {id}\r\n\
         X-Response-Signature: sig\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let piece = vec![b'\n'; PIECE_BYTES];
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

/// Sends a request on a new channel; returns whether it was answered whole, and when the answer or the
/// channel ended, if that was within the caller's patience.
fn ask(to: SocketAddr, id: &str) -> (bool, Option<Duration>) {
    let asked_at = clock::now();
    let Ok(mut stream) = TcpStream::connect(to) else {
        return (false, Some(Duration::ZERO));
    };
    let request = format!(
        "POST /query/one HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 5000\r\n\
         Connection: close\r\nContent-Length: 2\r\n\r\nhi"
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return (false, Some(clock::now() - asked_at));
    }
    let (mut last, mut buffer) = (Vec::new(), vec![0; 256 * 1024]);
    loop {
        let left = (asked_at + PATIENCE).saturating_sub(clock::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return (false, None);
        }
        match stream.read(&mut buffer) {
            Ok(0) => {
                let is_whole = last.ends_with(b"0\r\n\r\n");
                return (is_whole, Some(clock::now() - asked_at));
            }
            Ok(count) => {
                last.extend_from_slice(&buffer[..count]);
                let kept = last.len().saturating_sub(64);
                last.drain(..kept);
            }
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                return (false, None)
            }
            Err(_) => return (false, Some(clock::now() - asked_at)),
        }
    }
}

#[derive(Default)]
struct Counts {
    asked: usize,
    whole: usize,
    /// Requests that lasted longer than the route's timeout, and those of them without a final answer
    /// in time.
    long: usize,
    unanswered: usize,
    /// Those of `unanswered` that were last sent to a sound runner, or to none.
    unanswered_elsewhere: usize,
}

fn call(
    record: &Record,
    caller: usize,
    to: SocketAddr,
    shared: &Shared,
    stop: &AtomicBool,
    counts: &Mutex<Counts>,
) {
    let mut number = 0;
    clock::sleep(Duration::from_millis(30 * caller as u64));
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("{caller:04x}{number:012x}");
        let (is_whole, took) = ask(to, &id);
        let at = lock(&shared.sent_to).get(&id).copied();
        let mut counts = lock(counts);
        counts.asked += 1;
        counts.whole += usize::from(is_whole);
        counts.long += usize::from(took.is_none_or(|took| took > TIMEOUT));
        if took.is_none_or(|took| took > ANSWERED_WITHIN) {
            counts.unanswered += 1;
            let runner = at.map_or_else(|| "none".to_owned(), |at| format!("i-{at}"));
            let ended = took.map_or_else(
                || "not within the time budget".to_owned(),
                |took| format!("after {} ms", took.as_millis()),
            );
            record.line(format!("{id}: ended {ended}; last sent to {runner}"));
            let is_elsewhere = at.is_none_or(|runner| runner >= IN_TROUBLE);
            counts.unanswered_elsewhere += usize::from(is_elsewhere);
        }
        drop(counts);
        clock::sleep(Duration::from_millis(20));
    }
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start(record.clone())?;
    put_config_with(&store, 3, TIMEOUT);
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
    let fleet = Fleet::start(&store, 3)?;
    clock::sleep(Duration::from_secs(1));
    let (to, ready) = (fleet.vms[0].callers, fleet.vms[0].ready);
    let (stop, counts) = (AtomicBool::new(false), Mutex::new(Counts::default()));
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (shared, stop, counts) = (&shared, &stop, &counts);
            scope.spawn(move || call(record, caller, to, shared, stop, counts));
        }
        let stopped = &stop;
        scope.spawn(move || {
            let agent = caller::agent_that_waits(READINESS_INTERVAL);
            while !stopped.load(Ordering::SeqCst) {
                let answer = caller::send_with(&agent, ready, "GET", "/readiness", &[], b"");
                if answer.is_none_or(|answer| answer.status != 200) {
                    record.line("edge-0 did not answer GET /readiness within a second");
                }
                clock::sleep(READINESS_INTERVAL);
            }
        });
        clock::sleep(Duration::from_secs(4));
        if has_trouble {
            shared.is_endless.store(true, Ordering::SeqCst);
            record.line("i-0, i-1 and i-2 send blank lines without an end");
        }
        clock::sleep(TROUBLE);
        // What it has begun goes on until its caller closes.
        shared.is_endless.store(false, Ordering::SeqCst);
        record.line("they begin no further answer without an end");
        clock::sleep(Duration::from_secs(3));
        stop.store(true, Ordering::SeqCst);
    });
    let counts = lock(&counts);
    record.line(format!(
        "{} requests, {} answered whole; {} answers without an end",
        counts.asked,
        counts.whole,
        shared.endless.load(Ordering::SeqCst),
    ));
    record.line(format!(
        "{} requests lasted longer than timeoutMs, {} of them had no final answer 0.5 s later, {} of these were at \
         sound runners",
        counts.long, counts.unanswered, counts.unanswered_elsewhere
    ));
    let is_broken = counts.unanswered >= UNANSWERED_MIN && 4 * counts.unanswered > counts.long;
    match counts.whole > 0 {
        true => Ok(!is_broken),
        false => Err(io::Error::other("nothing was served")),
    }
}
