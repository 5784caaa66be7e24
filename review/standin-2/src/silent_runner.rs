//! A sound runner sends nothing for a second or so, works on, and then sends what it has made.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use bramleyseam::clock;
use bramleyseam::http::server::{Head, Limits, Responder, Server};
use bramleyseam::http::Request;
use bramleyseam::util::lock;
use bramleyseam_platform_standin::caller;

use crate::fleet::{put_config, register, Fleet};
use crate::record::Record;
use crate::store::Store;
use crate::Outcome;

const RUNNERS: usize = 6;
const SLOTS: u32 = 8;
const EVENTS: u64 = 120;
const INTERVAL: Duration = Duration::from_millis(25);
const CALLERS: usize = 40;
/// "A second or so".
const SILENCE: Duration = Duration::from_millis(1200);
/// The rule's bound.
const BOTH_MAX: Duration = Duration::from_millis(400);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A run of a request at a runner.
#[derive(Debug, Clone)]
struct Run {
    id: String,
    runner: usize,
    after: u64,
    began_at: Duration,
    /// The last event that was made, and when.
    made: u64,
    made_at: Duration,
}

#[derive(Default)]
struct Shared {
    runs: Mutex<Vec<Run>>,
    /// Until when runner 0 sends nothing.
    silent_until: Mutex<Duration>,
}

impl Shared {
    fn is_silent(&self, runner: usize) -> bool {
        runner == 0 && clock::now() < *lock(&self.silent_until)
    }
}

fn respond(
    shared: &Shared,
    runner: usize,
    request: &Request,
    out: &mut Responder,
) -> io::Result<()> {
    let header = |name: &str| request.header(name).unwrap_or_default().to_owned();
    let id = header("X-Attempt-Id");
    let expected = header("X-Expect-Instance");
    if !expected.is_empty() && expected != format!("i-{runner}") {
        return out.full(&Head::new(421, "text/plain").with("X-Attempt-Id", id), b"");
    }
    let after: u64 = header("Last-Event-Id").parse().unwrap_or(0);
    let began_at = clock::now();
    let at = {
        let mut runs = lock(&shared.runs);
        runs.push(Run {
            id: id.clone(),
            runner,
            after,
            began_at,
            made: after,
            made_at: began_at,
        });
        runs.len() - 1
    };
    let head = Head::new(200, "text/event-stream").with("X-Attempt-Id", &id);
    let head = head.with("X-Response-Signature", "sig");
    let (mut sent, mut is_begun) = (after, false);
    // The events are made at their times, whether or not they can be sent.
    loop {
        let elapsed = clock::now().saturating_sub(began_at);
        let made = after + (elapsed.as_millis() / INTERVAL.as_millis()) as u64;
        let made = made.min(EVENTS);
        {
            let run = &mut lock(&shared.runs)[at];
            if made > run.made {
                (run.made, run.made_at) = (made, clock::now());
            }
        }
        if !shared.is_silent(runner) {
            if !is_begun && made > sent {
                out.start(&head)?;
                is_begun = true;
            }
            while sent < made {
                sent += 1;
                let event = format!("id: {sent}\ndata: {id}.{sent}\n\n");
                // Most runners drop a request when its channel is closed; this is noticed here.
                out.chunk(event.as_bytes())?;
            }
            if sent == EVENTS {
                return out.end();
            }
        }
        clock::sleep(POLL_INTERVAL);
    }
}

fn ask(number: usize, to: SocketAddr, stop: &AtomicBool, counts: &Mutex<[usize; 2]>) {
    let mut at = 0;
    clock::sleep(Duration::from_millis(80 * number as u64));
    while !stop.load(Ordering::SeqCst) {
        at += 1;
        let id = format!("{number:04x}{at:012x}");
        let response = caller::request_stream(to, "/query/one", &id);
        let whole = response.is_some_and(|response| response.status == 200 && response.complete);
        let mut counts = lock(counts);
        counts[0] += 1;
        counts[1] += usize::from(whole);
        drop(counts);
        clock::sleep(Duration::from_millis(50));
    }
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start(record.clone())?;
    put_config(&store, 3);
    let shared = Arc::<Shared>::default();
    let mut servers = Vec::new();
    for runner in 0..RUNNERS {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let served = shared.clone();
        let server = Server::start(listener, Limits::default(), move |request, out| {
            respond(&served, runner, request, out)
        })?;
        register(&store, &format!("i-{runner}"), server.address, SLOTS, 1);
        servers.push(server);
    }
    let fleet = Fleet::start(&store, 3)?;
    clock::sleep(Duration::from_secs(1));
    let callers: Vec<SocketAddr> = fleet.vms.iter().map(|vm| vm.callers).collect();
    let (stop, counts) = (AtomicBool::new(false), Mutex::new([0; 2]));
    let mut silent_from = Duration::ZERO;
    thread::scope(|scope| {
        for number in 0..CALLERS {
            let (to, stop, counts) = (callers[number % callers.len()], &stop, &counts);
            scope.spawn(move || ask(number, to, stop, counts));
        }
        clock::sleep(Duration::from_secs(4));
        silent_from = clock::now();
        if has_trouble {
            *lock(&shared.silent_until) = silent_from + SILENCE;
            record.line(format!("i-0 sends nothing for {} ms", SILENCE.as_millis()));
        }
        clock::sleep(SILENCE + Duration::from_secs(2));
        stop.store(true, Ordering::SeqCst);
    });
    let [asked, whole] = *lock(&counts);
    let runs = lock(&shared.runs).clone();
    let mut by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &runs {
        by_id.entry(&run.id).or_default().push(run);
    }
    let mut twice = 0;
    for (id, runs) in by_id.iter().filter(|(_, runs)| runs.len() > 1) {
        for pair in runs.windows(2) {
            let (before, next) = (pair[0], pair[1]);
            let both = before.made_at.saturating_sub(next.began_at);
            let is_twice = before.runner != next.runner && both > BOTH_MAX;
            twice += usize::from(is_twice);
            record.line(format!(
                "{id}: at i-{} until {:.3} s (event {}), at i-{} from {:.3} s (after event {}): {} ms at both{}",
                before.runner,
                before.made_at.as_secs_f64(),
                before.made,
                next.runner,
                next.began_at.as_secs_f64(),
                next.after,
                both.as_millis(),
                if is_twice { ", over 400" } else { "" }
            ));
        }
    }
    record.line(format!(
        "{asked} streams asked for, {whole} whole; {twice} worked on by two runners for over 400 ms"
    ));
    match whole > asked / 4 {
        true => Ok(twice == 0),
        false => Err(io::Error::other("too few streams were served")),
    }
}
