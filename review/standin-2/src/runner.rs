//! A runner: serves a number of requests at once, streams numbered events and records its runs.

use std::collections::HashSet;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bramleyseam::clock;
use bramleyseam::http::server::{Head, Limits, Responder, Server};
use bramleyseam::http::Request;
use bramleyseam::util::lock;

/// Data of an event, by the request's id and the event's number.
pub type EventData = Arc<dyn Fn(&str, u64) -> String + Send + Sync>;

#[derive(Default)]
struct State {
    running: HashSet<(String, u64)>,
    sequence: u64,
    /// Ids of the requests that were run to their end, and when.
    finished: Vec<(String, Duration)>,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    shared: Arc<Mutex<State>>,
}

#[derive(Clone)]
pub struct Script {
    pub slots: u32,
    pub events: u64,
    pub interval: Duration,
    pub data: EventData,
}

impl Runner {
    pub fn start(id: &str, script: Script) -> io::Result<Runner> {
        let shared: Arc<Mutex<State>> = Arc::default();
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (served, name) = (shared.clone(), id.to_owned());
        let server = Server::start(listener, Limits::default(), move |request, out| {
            respond(&served, &name, &script, request, out)
        })?;
        Ok(Runner {
            id: id.to_owned(),
            address: server.address,
            shared,
        })
    }

    pub fn running(&self) -> Vec<String> {
        let state = lock(&self.shared);
        state.running.iter().map(|(id, _)| id.clone()).collect()
    }

    pub fn finished(&self) -> Vec<(String, Duration)> {
        lock(&self.shared).finished.clone()
    }
}

fn respond(
    shared: &Mutex<State>,
    name: &str,
    script: &Script,
    request: &Request,
    out: &mut Responder,
) -> io::Result<()> {
    let header = |name: &str| request.header(name).unwrap_or_default().to_owned();
    let id = header("X-Attempt-Id");
    let expected = header("X-Expect-Instance");
    if !expected.is_empty() && expected != name {
        return out.full(&Head::new(421, "text/plain").with("X-Attempt-Id", id), b"");
    }
    let number = {
        let mut state = lock(shared);
        if state.running.len() >= script.slots as usize {
            drop(state);
            let head = Head::new(503, "text/plain").with("X-Not-Executed", "1");
            return out.full(&head.with("X-Attempt-Id", id), b"");
        }
        state.sequence += 1;
        let number = state.sequence;
        state.running.insert((id.clone(), number));
        number
    };
    let ended = stream(
        script,
        &id,
        header("Last-Event-Id").parse().unwrap_or(0),
        out,
    );
    let mut state = lock(shared);
    state.running.remove(&(id.clone(), number));
    if ended.is_ok() {
        state.finished.push((id, clock::now()));
    }
    ended
}

fn stream(script: &Script, id: &str, after: u64, out: &mut Responder) -> io::Result<()> {
    let head = Head::new(200, "text/event-stream").with("X-Attempt-Id", id);
    out.start(&head.with("X-Response-Signature", "sig"))?;
    for number in after + 1..=script.events {
        clock::sleep(script.interval);
        let data = (script.data)(id, number);
        out.chunk(format!("id: {number}\ndata: {data}\n\n").as_bytes())?;
    }
    out.end()
}
