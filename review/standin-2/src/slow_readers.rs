//! Callers read long answers slowly; the platform ends a process that uses more memory than it has.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use bramleyseam::clock;
use bramleyseam::http::server::{Head, Limits, Server};
use bramleyseam_platform_standin::caller::HOST;

use crate::fleet::{put_config, register, Fleet};
use crate::record::Record;
use crate::store::Store;
use crate::Outcome;

/// `memoryMb` of the machine.
const MEMORY_KB: u64 = 260 * 1024;
const CALLERS: usize = 48;
/// Time between the first requests of two callers.
const CALLER_INTERVAL: Duration = Duration::from_millis(150);
/// More lost answers than this break the rule.
const LOST_ALLOWED: usize = 3;
const ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// What a slow caller reads in a second, in ten steps.
const SLOW_BYTES_PER_S: usize = 600 * 1024;
const DEADLINE_MS: u64 = 60_000;
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

fn request(id: &str, path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 2\r\n\r\nhi"
    )
}

/// Reads a head; returns whether it is a success, and the length of the body.
fn read_head(stream: &mut TcpStream) -> io::Result<(bool, usize)> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut byte = [0; 1];
        stream.read_exact(&mut byte)?;
        bytes.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
    let length = text.lines().find_map(|line| line.strip_prefix("content-length:"));
    let length = length.and_then(|length| length.trim().parse().ok());
    Ok((text.starts_with("http/1.1 200"), length.unwrap_or(0)))
}

/// Asks for a small answer and then, on the same channel, for a long one. Returns how many bytes of
/// the long one arrived.
fn ask(to: SocketAddr, caller: usize, is_slow: bool) -> io::Result<usize> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    stream.write_all(request(&format!("aa{caller:014x}"), "/plain/small").as_bytes())?;
    let (is_success, length) = read_head(&mut stream)?;
    stream.read_exact(&mut vec![0; length])?;
    if !is_success {
        return Err(io::Error::other("the small request was not served"));
    }
    stream.write_all(request(&format!("bb{caller:014x}"), "/plain/long").as_bytes())?;
    let Ok((true, length)) = read_head(&mut stream) else {
        return Ok(0);
    };
    let mut received = 0;
    let mut buffer = vec![0; SLOW_BYTES_PER_S / 10];
    while received < length {
        let mut step = 0;
        while step < buffer.len() && received + step < length {
            match stream.read(&mut buffer[step..]) {
                Ok(0) | Err(_) => return Ok(received + step),
                Ok(count) => step += count,
            }
        }
        received += step;
        if is_slow {
            clock::sleep(Duration::from_millis(100));
        }
    }
    Ok(received)
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start(record.clone())?;
    put_config(&store, 3);
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let runner = Server::start(listener, Limits::default(), |request, out| {
        let id = request.header("X-Attempt-Id").unwrap_or_default().to_owned();
        let head = Head::new(200, "application/octet-stream").with("X-Attempt-Id", id);
        let length = if request.path().ends_with("long") { ANSWER_BYTES } else { 10 };
        out.full(&head.with("X-Response-Signature", "sig"), &vec![b'a'; length])
    })?;
    register(&store, "i-0", runner.address, 8, 1);
    let mut fleet = Fleet::start(&store, 3)?;
    clock::sleep(Duration::from_secs(1));
    let to = fleet.vms[0].callers;
    let (peak_kb, stop, is_ended) = (AtomicU64::new(0), AtomicBool::new(false), AtomicBool::new(false));
    let (lost, unserved) = thread::scope(|scope| {
        let vm = &mut fleet.vms[0];
        let (peak, stopped, ended) = (&peak_kb, &stop, &is_ended);
        let watched = record.clone();
        scope.spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                let used_kb = vm.memory_kb();
                peak.fetch_max(used_kb, Ordering::SeqCst);
                if used_kb > MEMORY_KB {
                    watched.line(format!("edge-0 uses {used_kb} kB, allowed are {MEMORY_KB}: ended"));
                    vm.kill();
                    ended.store(true, Ordering::SeqCst);
                    return;
                }
                clock::sleep(MEMORY_CHECK_INTERVAL);
            }
        });
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                scope.spawn(move || {
                    clock::sleep(CALLER_INTERVAL * caller as u32);
                    ask(to, caller, has_trouble)
                })
            })
            .collect();
        let (mut lost, mut unserved) = (0, 0);
        for (caller, asked) in callers.into_iter().enumerate() {
            match asked.join() {
                Ok(Ok(bytes)) => {
                    lost += usize::from(bytes < ANSWER_BYTES);
                    record.line(format!("caller {caller}: {bytes} of {ANSWER_BYTES} bytes"));
                }
                _ => unserved += 1,
            }
        }
        stop.store(true, Ordering::SeqCst);
        (lost, unserved)
    });
    record.line(format!(
        "{lost} of {CALLERS} answers of a sound runner were cut, {unserved} callers came too late; edge-0 used at most \
         {} kB",
        peak_kb.load(Ordering::SeqCst)
    ));
    Ok(lost <= LOST_ALLOWED)
}
