//! Simulated callers: online callers on kept-alive and on new connections, and callers that submit,
//! cancel and read batch jobs.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::Scope;
use std::time::Duration;

use bramleyseam::clock;
use bramleyseam::util::lock;
use bramleyseam_platform_standin::caller::{
    cancel_with, item_body_with, item_id, item_text, open_request, read_data, request_stream_with,
    request_with_prompt, results_with, resume_stream_with, submission_with, submit_body_with,
    Response,
};
use bramleyseam_platform_standin::fleet::Fleet;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::checks::ANSWER_EVENTS;
use super::faults::FATAL_SEGMENT;
use super::ledger::{Job, Ledger, OnlineRequest, Result, UnansweredRequest};

/// Pause between two requests of one caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(30);
/// Callers of prompts that end endpoints, and the pause between two requests of one.
const FATAL_CALLERS: u64 = 2;
const FATAL_REQUEST_PAUSE: Duration = Duration::from_millis(300);
/// Pause between two jobs.
const JOB_PAUSE: Duration = Duration::from_millis(600);
/// Time after which every VM must know an accepted job, and a position that any VM has shown.
const JOB_KNOWN_AFTER: Duration = Duration::from_millis(1000);
/// Event after which a caller disconnects from a stream that it resumes.
const STREAM_CUT_AFTER: u64 = 2;
/// Attempts to resume one stream.
const RESUMES_MAX: usize = 5;
/// Pause before a refused attempt is repeated.
const RESUME_PAUSE: Duration = Duration::from_millis(200);
/// Attempts to submit one job, each at another VM.
const SUBMIT_ATTEMPTS_MAX: usize = 2;
/// One job in this number is cancelled by its caller.
const CANCEL_ONE_IN: u32 = 6;
/// Time for which a read waits for results.
const RESULT_WAIT_MS: u64 = 300;
/// A connection to a process that has ended is refused well within this time.
const REFUSED_WITHIN: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_secs(20);

/// Whether the last request reached a VM and got no response.
#[derive(Clone, Default)]
struct Unanswered(Arc<AtomicBool>);

impl ureq::Middleware for Unanswered {
    fn handle(
        &self,
        request: ureq::Request,
        next: ureq::MiddlewareNext,
    ) -> std::result::Result<ureq::Response, ureq::Error> {
        let response = next.handle(request);
        let is_unanswered = match response.as_ref().err().map(ureq::Error::kind) {
            None | Some(ureq::ErrorKind::HTTP | ureq::ErrorKind::ConnectionFailed) => false,
            Some(_) => true,
        };
        self.0.store(is_unanswered, Ordering::SeqCst);
        response
    }
}

/// Connections of one caller.
struct Connection {
    agent: ureq::Agent,
    unanswered: Unanswered,
}

impl Connection {
    fn new() -> Connection {
        let unanswered = Unanswered::default();
        let agent = ureq::AgentBuilder::new().timeout(TIMEOUT);
        Connection {
            agent: agent.middleware(unanswered.clone()).build(),
            unanswered,
        }
    }

    fn is_unanswered(&self) -> bool {
        self.unanswered.0.load(Ordering::SeqCst)
    }
}

/// Sends a request on a new connection, and records it if a VM accepted it and no whole answer came.
fn send_once(
    ledger: &Ledger,
    vm: usize,
    what: String,
    send: impl FnOnce(&ureq::Agent, SocketAddr) -> Option<Response>,
) -> Option<Response> {
    let accepts = TcpStream::connect(ledger.vms[vm]).is_ok();
    let connection = Connection::new();
    let sent_at = clock::now();
    let answer = send(&connection.agent, ledger.vms[vm]);
    let is_held = accepts && answer.is_none() && clock::now() > sent_at + REFUSED_WITHIN;
    let is_cut = answer.as_ref().is_some_and(|answer| !answer.complete);
    if connection.is_unanswered() || is_held || is_cut {
        record_unanswered(ledger, vm, what, sent_at, is_cut);
    }
    answer
}

fn record_unanswered(ledger: &Ledger, vm: usize, what: String, sent_at: Duration, is_cut: bool) {
    lock(&ledger.unanswered).push(UnansweredRequest {
        what,
        vm,
        sent_at,
        ended_at: clock::now(),
        is_cut,
    });
}

/// All callers of one run.
pub struct Callers<'a> {
    ledger: &'a Ledger,
    seed: u64,
    vms: usize,
    /// Most items of a job.
    items_max: usize,
    next_id: AtomicU64,
}

impl<'a> Callers<'a> {
    /// Creates the callers; none has sent a request yet.
    pub fn new(fleet: &Fleet, ledger: &'a Ledger, seed: u64, items_max: usize) -> Callers<'a> {
        Callers {
            ledger,
            seed,
            vms: fleet.vms.len(),
            items_max,
            next_id: AtomicU64::new(1),
        }
    }

    /// Starts the threads of all callers; they send requests until `stopping` is set.
    pub fn spawn<'s>(&'s self, scope: &'s Scope<'s, '_>, stopping: &'s AtomicBool) {
        for vm in 0..self.vms {
            scope.spawn(move || self.run_online(vm, true, stopping));
            scope.spawn(move || self.run_online(vm, false, stopping));
        }
        scope.spawn(move || self.run_resumer(stopping));
        scope.spawn(move || self.run_submitter(stopping));
        scope.spawn(move || self.run_reader(stopping));
    }

    /// Starts callers whose prompts share a segment that ends endpoints, each at random VMs.
    pub fn spawn_fatal<'s>(&'s self, scope: &'s Scope<'s, '_>, stopping: &'s AtomicBool) {
        for caller in 0..FATAL_CALLERS {
            scope.spawn(move || {
                let mut rng = self.rng(100 + caller);
                while !stopping.load(Ordering::SeqCst) {
                    let vm = self.ledger.vms[rng.random_range(0..self.vms)];
                    let id = self.id("fatal");
                    let prompt = format!("c0:50,{FATAL_SEGMENT}:30,{:x}:20", rng.random::<u32>());
                    request_with_prompt(vm, "/query/one", &id, &prompt, id.as_bytes());
                    clock::sleep(FATAL_REQUEST_PAUSE);
                }
            });
        }
    }

    fn id(&self, kind: &str) -> String {
        format!("{kind}-{}", self.next_id.fetch_add(1, Ordering::SeqCst))
    }

    fn rng(&self, stream: u64) -> SmallRng {
        SmallRng::seed_from_u64(self.seed.wrapping_mul(31) + stream)
    }

    /// Sends requests to one VM; with `kept`, over one connection for as long as that stays open.
    fn run_online(&self, vm: usize, kept: bool, stopping: &AtomicBool) {
        let mut connection = Connection::new();
        let mut repeatable = kept;
        while !stopping.load(Ordering::SeqCst) {
            repeatable = !repeatable;
            let (kind, path) = match repeatable {
                true => ("query", "/query/one"),
                false => ("renew", "/renew/one"),
            };
            let id = self.id(kind);
            if !kept {
                connection = Connection::new();
            }
            let sent_at = clock::now();
            let answer = request_stream_with(&connection.agent, self.ledger.vms[vm], path, &id);
            let request = OnlineRequest {
                id,
                repeatable,
                vm,
                sent_at,
                ended_at: clock::now(),
                answer,
                is_unanswered: connection.is_unanswered(),
            };
            lock(&self.ledger.requests).push(request);
            clock::sleep(REQUEST_PAUSE);
        }
    }

    /// Begins streams at random VMs, disconnects, and resumes them at others.
    fn run_resumer(&self, stopping: &AtomicBool) {
        let mut rng = self.rng(3);
        while !stopping.load(Ordering::SeqCst) {
            clock::sleep(REQUEST_PAUSE);
            let first = self.id("stream");
            let vm = rng.random_range(0..self.vms);
            let begun = self.begin_stream(vm, &first);
            let begun = begun.and_then(|stream| read_data(stream, STREAM_CUT_AFTER));
            let Some((last_event, data)) = begun.ok().filter(|(last, _)| *last > 0) else {
                continue;
            };
            let rest = self.resume(&first, last_event, &mut rng);
            lock(&self.ledger.streams).push((first, data + &rest));
        }
    }

    /// Requests a stream and waits until its response begins.
    fn begin_stream(&self, vm: usize, id: &str) -> io::Result<TcpStream> {
        let sent_at = clock::now();
        let stream = open_request(self.ledger.vms[vm], "/query/one", id)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        if !stream.peek(&mut [0]).is_ok_and(|length| length > 0) {
            record_unanswered(self.ledger, vm, id.to_owned(), sent_at, false);
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(stream)
    }

    /// Resumes a stream until its rest arrives; returns the data of the events received.
    fn resume(&self, first: &str, mut last_event: u64, rng: &mut SmallRng) -> String {
        let mut data = String::new();
        for _ in 0..RESUMES_MAX {
            let id = self.id("stream");
            let vm = rng.random_range(0..self.vms);
            let what = format!("resumption of {first}");
            let answer = send_once(self.ledger, vm, what, |agent, to| {
                resume_stream_with(agent, to, "/query/one", &id, first, last_event)
            });
            let Some(answer) = answer.filter(|answer| answer.status == 200) else {
                clock::sleep(RESUME_PAUSE);
                continue;
            };
            let events = answer.events();
            let expected = last_event + 1..=last_event + events.len() as u64;
            if !events.iter().copied().eq(expected) {
                let what = format!("stream {first} goes on with {events:?}");
                self.ledger.record_violation(clock::now(), what);
            }
            last_event += events.len() as u64;
            data.push('\n');
            data.push_str(&answer.data());
            if answer.complete {
                if last_event != ANSWER_EVENTS {
                    let what = format!("stream {first} only looks whole");
                    self.ledger.record_violation(clock::now(), what);
                }
                break;
            }
        }
        data
    }

    fn run_submitter(&self, stopping: &AtomicBool) {
        let mut rng = self.rng(1);
        while !stopping.load(Ordering::SeqCst) {
            let job = self.id("job");
            let items = rng.random_range(1..=self.items_max);
            self.submit(&job, items, &mut rng);
            clock::sleep(JOB_PAUSE);
            self.resend(&mut rng);
            if rng.random_ratio(1, CANCEL_ONE_IN) {
                self.cancel(&job, &mut rng);
            }
        }
    }

    fn submit(&self, job: &str, items: usize, rng: &mut SmallRng) {
        let mut record = Job {
            items,
            refused: true,
            ..Job::default()
        };
        let first = rng.random_range(0..self.vms);
        for attempt in 0..SUBMIT_ATTEMPTS_MAX {
            let vm = (first + attempt) % self.vms;
            let what = format!("submission of {job}");
            let answer = send_once(self.ledger, vm, what, |agent, to| {
                submit_job(agent, to, job, items)
            });
            let status = answer.map(|answer| answer.status);
            record.refused &= matches!(status, Some(429 | 503));
            if status == Some(202) {
                record.accepted_at = Some(clock::now());
                break;
            }
            clock::sleep(REQUEST_PAUSE);
        }
        lock(&self.ledger.jobs).insert(job.to_owned(), record);
    }

    /// Submits an accepted job once more at any VM, as a caller does that has missed the answer.
    fn resend(&self, rng: &mut SmallRng) {
        let accepted = accepted_jobs(self.ledger);
        if accepted.is_empty() {
            return;
        }
        let job = &accepted[rng.random_range(0..accepted.len())];
        resend_job(self.ledger, job, rng.random_range(0..self.vms));
    }

    fn cancel(&self, job: &str, rng: &mut SmallRng) {
        let vm = rng.random_range(0..self.vms);
        if let Some(record) = lock(&self.ledger.jobs).get_mut(job) {
            record.cancel_sent = true;
        }
        let what = format!("cancellation of {job}");
        let answer = send_once(self.ledger, vm, what, |agent, to| {
            cancel_with(agent, to, job)
        });
        let ended = answer.is_some_and(|answer| answer.status == 200);
        if let (true, Some(record)) = (ended, lock(&self.ledger.jobs).get_mut(job)) {
            record.cancelled_at = Some(clock::now());
        }
    }

    /// Reads results of random jobs at random VMs, from a random position among those already read, and
    /// bodies of their items.
    fn run_reader(&self, stopping: &AtomicBool) {
        let mut rng = self.rng(2);
        while !stopping.load(Ordering::SeqCst) {
            clock::sleep(REQUEST_PAUSE);
            let accepted = accepted_jobs(self.ledger);
            if accepted.is_empty() {
                continue;
            }
            let job = &accepted[rng.random_range(0..accepted.len())];
            let already_read = lock(&self.ledger.jobs)[job].results.len();
            let after = rng.random_range(0..=already_read);
            let vm = rng.random_range(0..self.vms);
            read_results(self.ledger, job, vm, after, RESULT_WAIT_MS);
            let vm = rng.random_range(0..self.vms);
            let items = lock(&self.ledger.jobs)[job].items;
            read_body(self.ledger, job, vm, rng.random_range(0..items));
        }
    }
}

fn submit_job(agent: &ureq::Agent, to: SocketAddr, job: &str, items: usize) -> Option<Response> {
    let body = submission_with(job, items, |at| item_prompt(job, at));
    submit_body_with(agent, to, job, &body)
}

/// Prompt segments of an item: none, one that its job shares, or that and one of its own before the
/// last one. A repeated submission has the same. The ids are hexadecimal numbers.
fn item_prompt(job: &str, at: usize) -> Option<String> {
    let job = job.trim_start_matches("job-");
    match at % 3 {
        0 => None,
        1 => Some(format!("a{job}:50,c{job}a{at}:20")),
        _ => Some(format!("a{job}:50,b{job}a{at}:30,c{job}a{at}:20")),
    }
}

/// Submits an accepted job again. Returns whether the VM accepted it; it may not deny it.
pub fn resend_job(ledger: &Ledger, job: &str, vm: usize) -> bool {
    let items = lock(&ledger.jobs)[job].items;
    let what = format!("repeated submission of {job}");
    let answer = send_once(ledger, vm, what, |agent, to| {
        submit_job(agent, to, job, items)
    });
    let status = answer.map_or(0, |answer| answer.status);
    if (400..500).contains(&status) && status != 429 {
        let what = format!("VM {vm} turns the accepted job {job} away with {status}");
        ledger.record_violation(clock::now(), what);
    }
    status == 202
}

/// Reads the body of an item, which every VM has until the item is listed or its job ends.
fn read_body(ledger: &Ledger, job: &str, vm: usize, at: usize) {
    let what = format!("body of item {at} of {job}");
    let read = |agent: &ureq::Agent, to| item_body_with(agent, to, job, at);
    let Some(answer) = send_once(ledger, vm, what, read) else {
        return;
    };
    let now = clock::now();
    if answer.status == 200 && answer.complete && answer.body != item_text(at).as_bytes() {
        ledger.record_violation(now, format!("item {at} of {job} has another body"));
    }
    let jobs = lock(&ledger.jobs);
    let is_open = !jobs[job].cancel_sent && !jobs[job].is_listed(&item_id(job, at));
    if answer.status == 404 && is_open {
        ledger.record_violation(now, format!("VM {vm} has no body of item {at} of {job}"));
    }
}

/// Jobs that were accepted long enough ago for every VM to know them.
pub fn accepted_jobs(ledger: &Ledger) -> Vec<String> {
    let accepted_before = clock::now().saturating_sub(JOB_KNOWN_AFTER);
    let jobs = lock(&ledger.jobs);
    let accepted = |job: &Job| job.accepted_at.is_some_and(|at| at <= accepted_before);
    let found = jobs.iter().filter(|(_, job)| accepted(job));
    let mut found: Vec<String> = found.map(|(id, _)| id.clone()).collect();
    found.sort();
    found
}

/// Reads one page of results, compares it with earlier reads, and keeps new results. Returns false
/// when the VM did not return a complete page.
pub fn read_results(ledger: &Ledger, job: &str, vm: usize, after: usize, wait_ms: u64) -> bool {
    let what = format!("read of {job}");
    let known_by = clock::now().saturating_sub(JOB_KNOWN_AFTER);
    let read = |agent: &ureq::Agent, to| results_with(agent, to, job, after, wait_ms);
    let Some(answer) = send_once(ledger, vm, what, read) else {
        return false;
    };
    let now = clock::now();
    if answer.status == 404 {
        ledger.record_violation(now, format!("VM {vm} says that there is no job {job}"));
    }
    if answer.status != 200 || !answer.complete {
        return false;
    }
    let page = answer.json();
    let mut jobs = lock(&ledger.jobs);
    let Some(record) = jobs.get_mut(job) else {
        return false;
    };
    if page["total"].as_u64() != Some(record.items as u64) {
        ledger.record_violation(now, format!("job {job} has {} items", page["total"]));
    }
    let rows = page["results"].as_array().cloned().unwrap_or_default();
    if rows.is_empty() && after < record.positions_read_by(known_by) {
        let what = format!("VM {vm} has nothing at position {after} of job {job}");
        ledger.record_violation(now, what);
    }
    for (offset, row) in rows.iter().enumerate() {
        let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
        let result = Result {
            item: text("id"),
            state: text("state"),
            text: text("text"),
        };
        match record.results.get(after + offset) {
            None => {
                record.results.push(result);
                record.read_at.push(now);
            }
            Some(before) if *before == result => {}
            Some(before) => {
                let what = format!(
                    "job {job} position {}: {before:?}, then {result:?}",
                    after + offset
                );
                ledger.record_violation(now, what);
            }
        }
    }
    true
}
