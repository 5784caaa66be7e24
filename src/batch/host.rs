//! Event loop of the batch process: feeds events to the decision functions and carries out their
//! actions.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use log::info;
use serde::Serialize;

use super::items::{self, ChunkItems};
use super::link;
use super::message::Message;
use crate::clock;
use crate::config::{State, Versioned};
use crate::decide::batch::{
    Action, AttemptEnd, AttemptId, Batch, ChunkKey, Event, JobView, Totals,
};
use crate::decide::jobs::{
    chunk_key, file_key, job_key, ChunkRecord, FileRecord, JobRecord, ResultSegment,
};
use crate::engine::Engines;
use crate::id::{self, EndpointId, Name, OwnerId};
use crate::platform::{CommitOutcome, Platform};
use crate::segments::Segments;
use crate::settings::{self, ms};
use crate::util::{self, lock};
use crate::wire::{Key, ToBatch, ToEntry};

const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Threads that call the platform and the bulk stores.
const WORKER_THREADS: usize = 8;
const ATTEMPT_STACK_BYTES: usize = 256 * 1024;
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest size of a checkpoint's results that are stored inline, so that small jobs need no bulk
/// store.
const INLINE_RESULTS_BYTES_MAX: usize = 256 * 1024;

/// A blocking call for a worker thread.
type Task = Box<dyn FnOnce() + Send>;

/// State shown on the operators' pages.
#[derive(Debug, Clone, Default, Serialize)]
pub struct HostStatus {
    pub linked: bool,
    pub totals: Totals,
    pub jobs: usize,
    pub runs: Vec<RunStatus>,
    pub in_flight: usize,
    pub windows: u32,
}

/// A chunk that this process works on.
#[derive(Debug, Clone, Serialize)]
pub struct RunStatus {
    pub job: String,
    pub chunk: u32,
    pub open_items: u32,
    pub waits_for: &'static str,
}

/// Clients and tables shared by the threads of the host.
struct Shared {
    platform: Platform,
    segments: Segments,
    engines: Engines,
    sender: Sender<Message>,
    /// In-flight attempts: endpoint address, attempt id, and whether the attempt was cancelled.
    attempts: Mutex<HashMap<AttemptId, (Name, String, bool)>>,
    files: Mutex<HashMap<String, Arc<FileRecord>>>,
}

/// State of the batch process.
pub struct Host {
    settings: settings::Batch,
    key: Key,
    shared: Arc<Shared>,
    batch: Batch,
    config: Option<Arc<Versioned>>,
    addresses: HashMap<EndpointId, Name>,
    chunk_items: BTreeMap<ChunkKey, (u64, Arc<ChunkItems>)>,
    records: BTreeMap<String, JobRecord>,
    to_entry: Sender<ToEntry>,
    outgoing: Mutex<Option<Receiver<ToEntry>>>,
    status: Arc<Mutex<HostStatus>>,
    linked: bool,
    stopping: bool,
    reported_owner: Option<OwnerId>,
    to_workers: Sender<Task>,
    worker_queue: Mutex<Option<Receiver<Task>>>,
}

impl Host {
    /// Creates the state; starts no threads.
    pub fn new(settings: settings::Batch, sender: Sender<Message>) -> Host {
        let key = Key::new(&settings.cluster_key);
        let address = settings.platform_address.to_string();
        let platform = Platform::new(&address, ms(settings.platform_timeout_ms));
        let shared = Shared {
            segments: Segments {
                platform: platform.clone(),
                key: key.clone(),
                bulk: settings.bulk.clone(),
                copies: settings.bulk_copies,
            },
            platform,
            engines: Engines::new(),
            sender,
            attempts: Mutex::default(),
            files: Mutex::default(),
        };
        let (to_entry, outgoing) = mpsc::channel();
        let (to_workers, queue) = mpsc::channel();
        Host {
            settings,
            key,
            shared: Arc::new(shared),
            batch: Batch::new(util::nonce() | 1, util::rng()),
            config: None,
            addresses: HashMap::new(),
            chunk_items: BTreeMap::new(),
            records: BTreeMap::new(),
            to_entry,
            outgoing: Mutex::new(Some(outgoing)),
            status: Arc::default(),
            linked: false,
            stopping: false,
            reported_owner: None,
            to_workers,
            worker_queue: Mutex::new(Some(queue)),
        }
    }

    /// The state shown on the operators' pages.
    pub fn status(&self) -> Arc<Mutex<HostStatus>> {
        self.status.clone()
    }

    /// Settings of the link to the entry process; the outgoing messages are handed out only once.
    pub fn link_settings(&self) -> link::Settings {
        let outgoing = lock(&self.outgoing)
            .take()
            .unwrap_or_else(|| mpsc::channel().1);
        link::Settings {
            address: self.settings.entry_address,
            key: self.key.clone(),
            outgoing,
        }
    }

    /// Starts the threads; the receiver gets a message once all work is handed over after a stop.
    pub fn start(mut self, messages: Receiver<Message>) -> io::Result<Receiver<()>> {
        let queue = Arc::new(Mutex::new(lock(&self.worker_queue).take()));
        for _ in 0..WORKER_THREADS {
            let queue = queue.clone();
            thread::Builder::new()
                .name("clerk".into())
                .spawn(move || loop {
                    let work = match lock(&queue).as_ref().map(Receiver::recv) {
                        Some(Ok(work)) => work,
                        _ => return,
                    };
                    work();
                })?;
        }
        let (done, stopped) = mpsc::channel();
        thread::Builder::new()
            .name("host".into())
            .spawn(move || loop {
                let mut actions = Vec::new();
                match messages.recv_timeout(TICK_INTERVAL) {
                    Ok(message) => self.handle_message(message, &mut actions),
                    Err(RecvTimeoutError::Timeout) => self.batch.tick(clock::now(), &mut actions),
                    Err(RecvTimeoutError::Disconnected) => return,
                }
                self.run_actions(actions);
                self.publish_status();
                if self.stopping && self.batch.has_no_runs() {
                    let _ = done.send(());
                    return;
                }
            })?;
        Ok(stopped)
    }

    fn handle_message(&mut self, message: Message, out: &mut Vec<Action>) {
        let now = clock::now();
        let mut handle = |batch: &mut Batch, event| batch.handle(now, event, out);
        match message {
            Message::Event(event) => handle(&mut self.batch, event),
            Message::Linked => {
                self.linked = true;
                self.reported_owner = None;
                handle(&mut self.batch, Event::Drain(self.stopping));
            }
            Message::Unlinked => {
                // Without the entry process the needs of online requests are unknown: start no more
                // items. Items in flight run to their end.
                self.linked = false;
                handle(&mut self.batch, Event::Windows(Vec::new()));
            }
            Message::ChunkLoaded {
                key,
                run,
                chunk_items,
            } => {
                let items = chunk_items.planned.clone();
                self.chunk_items.insert(key.clone(), (run, chunk_items));
                handle(&mut self.batch, Event::Loaded { key, run, items });
            }
            Message::Stop => {
                self.stopping = true;
                handle(&mut self.batch, Event::Drain(true));
            }
            Message::Entry(ToBatch::Config(versioned)) => {
                let endpoints = versioned.state.endpoints.iter();
                self.addresses = endpoints
                    .map(|e| (id::of(&e.name), e.address.clone()))
                    .collect();
                let shares = versioned.state.shares.iter();
                let shares = shares
                    .map(|s| (s.workspace.clone(), s.batch_share))
                    .collect();
                self.config = Some(Arc::new(*versioned));
                let views = self.job_views(now);
                handle(&mut self.batch, Event::Shares(shares));
                // The configuration decides which services a job's targets belong to.
                handle(&mut self.batch, Event::Jobs(views));
            }
            Message::Entry(ToBatch::Jobs(records)) => {
                self.records = records.into_iter().map(|r| (r.id.to_string(), r)).collect();
                let views = self.job_views(now);
                handle(&mut self.batch, Event::Jobs(views));
            }
            Message::Entry(ToBatch::Peers(crew)) => handle(&mut self.batch, Event::Peers(crew)),
            Message::Entry(ToBatch::Windows(windows)) => {
                handle(&mut self.batch, Event::Windows(windows));
            }
            Message::Entry(ToBatch::Leave) => handle(&mut self.batch, Event::Drain(true)),
        }
    }

    fn job_views(&self, now: Duration) -> Vec<JobView> {
        let Some(config) = &self.config else {
            return Vec::new();
        };
        self.records
            .values()
            .map(|record| job_view(now, record, &config.state))
            .collect()
    }

    /// Reports the state to the entry process and the pages, and drops the lines of ended runs.
    fn publish_status(&mut self) {
        let batch = &self.batch;
        self.chunk_items
            .retain(|key, (run, _)| batch.runs.get(key).is_some_and(|r| r.id == *run));
        // The VM may stop once this process is draining and holds no work; 0 tells the entry
        // process so.
        let busy = !batch.is_draining() || !batch.has_no_runs();
        let ready = if busy { batch.owner() } else { 0 };
        if self.linked && self.reported_owner != Some(ready) {
            self.reported_owner = Some(ready);
            let _ = self.to_entry.send(ToEntry::Ready(ready));
        }
        let status = HostStatus {
            linked: self.linked,
            totals: batch.totals,
            jobs: batch.jobs.len(),
            runs: batch
                .runs
                .iter()
                .map(|(key, run)| RunStatus {
                    job: key.job.to_string(),
                    chunk: key.chunk,
                    open_items: run.open_items(),
                    waits_for: run.waits_for(),
                })
                .collect(),
            in_flight: batch.attempts.len(),
            windows: batch.slots.values().map(|slot| slot.window).sum(),
        };
        *lock(&self.status) = status;
    }

    fn run_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start {
                    attempt: flight,
                    key,
                    epoch,
                    item,
                    endpoint,
                } => {
                    self.start_attempt(flight, &key, epoch, item, endpoint);
                }
                Action::Cancel { attempt: flight } => self.cancel(flight),
                other => self.queue_task(other),
            }
        }
    }

    fn queue_task(&self, action: Action) {
        let (shared, config) = (self.shared.clone(), self.config.clone());
        let file = match &action {
            Action::Load { key, .. } => self
                .records
                .get(&*key.job)
                .map(|record| record.file.clone()),
            _ => None,
        };
        let _ = self
            .to_workers
            .send(Box::new(move || shared.run(action, config, file)));
    }

    fn cancel(&self, attempt_id: AttemptId) {
        let found = lock(&self.shared.attempts)
            .get_mut(&attempt_id)
            .map(|entry| {
                entry.2 = true;
                (entry.0.clone(), entry.1.clone())
            });
        let Some((address, attempt)) = found else {
            return;
        };
        let shared = self.shared.clone();
        // Runs on a thread of its own: a burst of online requests must not wait behind calls to the
        // platform.
        let spawned = thread::Builder::new()
            .stack_size(ATTEMPT_STACK_BYTES)
            .spawn(move || shared.engines.cancel(&address, &attempt));
        drop(spawned);
    }

    fn start_attempt(
        &mut self,
        attempt_id: AttemptId,
        key: &ChunkKey,
        epoch: u64,
        item: u32,
        endpoint: EndpointId,
    ) {
        let chunk_items = self
            .chunk_items
            .get(key)
            .map(|(_, chunk_items)| chunk_items.clone());
        let address = self.addresses.get(&endpoint).cloned();
        let attempt = format!("{}.{}.{epoch}.{item}.{attempt_id}", key.job, key.chunk);
        let shared = self.shared.clone();
        let (Some(chunk_items), Some(address)) = (chunk_items, address) else {
            let end = items::not_sent("its endpoint is not configured any more");
            let _ = shared.sender.send(Message::Event(Event::Ended {
                attempt: attempt_id,
                end,
            }));
            return;
        };
        let name = (address.clone(), attempt.clone(), false);
        lock(&shared.attempts).insert(attempt_id, name);
        let item_key = format!("{}/{}/{item}", key.job, key.chunk);
        let sender = shared.sender.clone();
        let spawned = thread::Builder::new()
            .stack_size(ATTEMPT_STACK_BYTES)
            .spawn(move || {
                let end = items::run(
                    &shared.engines,
                    &chunk_items,
                    item,
                    &address,
                    &attempt,
                    &item_key,
                );
                let cancelled = lock(&shared.attempts)
                    .remove(&attempt_id)
                    .is_some_and(|entry| entry.2);
                let end = match end {
                    // An endpoint's death counts although the item was preempted. Otherwise an item
                    // that kills endpoints would run again beside the items that it harms.
                    AttemptEnd::Failed { died: false, .. } | AttemptEnd::Rejected { .. }
                        if cancelled =>
                    {
                        AttemptEnd::Cancelled
                    }
                    end => end,
                };
                let _ = shared.sender.send(Message::Event(Event::Ended {
                    attempt: attempt_id,
                    end,
                }));
            });
        if spawned.is_err() {
            let end = items::not_sent("no thread for it");
            let _ = sender.send(Message::Event(Event::Ended {
                attempt: attempt_id,
                end,
            }));
        }
    }
}

fn job_view(now: Duration, record: &JobRecord, state: &State) -> JobView {
    let service = |target: &String| match target.split_once(':') {
        Some(("model", name)) => state.service_of_model(name),
        Some((_, name)) => state.service(name),
        None => None,
    };
    let services = record
        .targets
        .iter()
        .filter_map(service)
        .map(|s| id::of(&s.name));
    let left_ms = record.deadline_ms.saturating_sub(clock::unix_ms());
    JobView {
        id: record.id.clone(),
        workspace: record.workspace.clone(),
        services: services.collect(),
        chunks: record.chunks,
        state: record.state,
        deadline: now + ms(left_ms),
    }
}

impl Shared {
    fn run(&self, action: Action, config: Option<Arc<Versioned>>, file: Option<String>) {
        let message = match action {
            Action::Read { key, run } => {
                let read = self.platform.get(&chunk_key(&key.job, key.chunk));
                let found = read.ok().map(|entry| {
                    entry.and_then(|entry| {
                        let record: ChunkRecord = serde_json::from_str(&entry.value).ok()?;
                        Some((entry.revision, record))
                    })
                });
                Message::Event(Event::Read { key, run, found })
            }
            Action::Write {
                key,
                run,
                expect,
                record,
            } => {
                let text = serde_json::to_string(&record).unwrap_or_default();
                let answer = self
                    .platform
                    .put(&chunk_key(&key.job, key.chunk), expect, &text);
                Message::Event(Event::Written { key, run, answer })
            }
            Action::Load { key, run } => match self.load(&key, config, file) {
                Some(chunk_items) => Message::ChunkLoaded {
                    key,
                    run,
                    chunk_items: Arc::new(chunk_items),
                },
                None => Message::Event(Event::LoadFailed { key, run }),
            },
            Action::Store {
                key,
                run,
                output,
                errors,
            } => match self.store(&output, &errors) {
                Some(segments) => Message::Event(Event::Stored { key, run, segments }),
                None => Message::Event(Event::StoreFailed { key, run }),
            },
            Action::Finish { job } => {
                self.finish(&job);
                return;
            }
            Action::Start { .. } | Action::Cancel { .. } => return,
        };
        let _ = self.sender.send(message);
    }

    fn file(&self, file: &str) -> Option<Arc<FileRecord>> {
        if let Some(record) = lock(&self.files).get(file) {
            return Some(record.clone());
        }
        let entry = self.platform.get(&file_key(file)).ok()??;
        let record: Arc<FileRecord> = Arc::new(serde_json::from_str(&entry.value).ok()?);
        let mut files = lock(&self.files);
        // Only a few files are in use at a time; any other can be read again.
        if files.len() >= 64 {
            files.clear();
        }
        files.insert(file.to_owned(), record.clone());
        Some(record)
    }

    fn load(
        &self,
        key: &ChunkKey,
        config: Option<Arc<Versioned>>,
        file: Option<String>,
    ) -> Option<ChunkItems> {
        let (config, file) = (config?, file?);
        let record = self.file(&file)?;
        let segment = record.segments.get(key.chunk as usize)?;
        let content = self.segments.load(segment).ok()?;
        Some(items::parse_chunk(content, &config.state))
    }

    fn store(&self, output: &[Bytes], errors: &[Bytes]) -> Option<Vec<ResultSegment>> {
        let mut segments = Vec::new();
        for (lines, errors) in [(output, false), (errors, true)] {
            if lines.is_empty() {
                continue;
            }
            let size = lines.iter().map(|line| line.len() + 1).sum();
            let mut content = Vec::with_capacity(size);
            for line in lines {
                content.extend_from_slice(line);
                content.push(b'\n');
            }
            let inline = content.len() <= INLINE_RESULTS_BYTES_MAX || self.segments.bulk.is_empty();
            for (piece, count) in split_results(content.into(), inline) {
                let segment = self.segments.store(&piece, count, inline).ok()?;
                segments.push(ResultSegment { segment, errors });
            }
        }
        Some(segments)
    }

    /// Ends a job once all its chunks have ended.
    fn finish(&self, job: &str) {
        let Ok(Some(entry)) = self.platform.get(&job_key(job)) else {
            return;
        };
        let Ok(record) = serde_json::from_str::<JobRecord>(&entry.value) else {
            return;
        };
        if record.state.ended() {
            return;
        }
        let Ok(entries) = self.platform.list(&format!("chunk/{job}/")) else {
            return;
        };
        let chunks: Vec<ChunkRecord> = entries
            .iter()
            .filter_map(|e| serde_json::from_str(&e.value).ok())
            .collect();
        let Some(ended) = record.finish(&chunks, clock::unix_ms(), util::nonce()) else {
            return;
        };
        let text = serde_json::to_string(&ended).unwrap_or_default();
        let until = clock::now() + COMMIT_TIMEOUT;
        // A conflict needs no retry: either another VM ended the job from the same chunks, or the
        // job was cancelled and the next check ends it.
        if let CommitOutcome::Won(_) =
            self.platform
                .commit(&job_key(job), entry.revision, &text, until)
        {
            let state: &'static str = ended.state.into();
            info!(job = job, state = state; "job ended");
        }
    }
}

/// Splits content at line ends into pieces that fit inline; content for the bulk stores stays
/// whole.
fn split_results(content: Bytes, inline: bool) -> Vec<(Bytes, u32)> {
    let most = if inline {
        crate::segments::INLINE_BYTES_MAX
    } else {
        usize::MAX
    };
    let mut out = Vec::new();
    let mut from = 0;
    let (mut at, mut count) = (0, 0);
    for line in content.split_inclusive(|byte| *byte == b'\n') {
        if at + line.len() - from > most && count > 0 {
            out.push((content.slice(from..at), count));
            (from, count) = (at, 0);
        }
        at += line.len();
        count += 1;
    }
    if count > 0 {
        out.push((content.slice(from..at), count));
    }
    out
}
