//! Logs by `log` and `fern`: one JSON object a line, or readable text.

use std::fmt::Arguments;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Mutex};
use std::thread;
use std::time::Duration;

use fern::FormatCallback;
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};

use crate::clock;
use crate::settings::{Log, LogFormat};
use crate::util::lock;

struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), value.to_string().into());
        Ok(())
    }
}

/// Lines that may wait for the writer; a burst of some seconds at the highest rate met.
const LINES_WAITING: usize = 4096;
/// Lines of one second at the most; the rest of that second is counted and notice in one line.
const LINES_PER_S: u32 = 400;

/// Starts logging to standard error.
pub fn start(settings: &Log, vm: &str, failure_domain: &str) {
    let dispatch = formatted(settings, vm, failure_domain).chain(std::io::stderr());
    // A second start in one process keeps the first one's settings.
    let _ = dispatch.apply();
}

/// Starts logging to standard output by a thread of its own.
///
/// The failure: whoever reads the output stops reading, the pipe fills, and the event loop stands
/// still in the middle of a log line. Lines that don't fit into the buffer are dropped and counted.
pub fn start_bounded(settings: &Log, vm: &str, failure_domain: &str) {
    let (sender, lines) = mpsc::sync_channel::<String>(LINES_WAITING);
    let gate = Mutex::new(Gate::default());
    let output = fern::Output::call(move |record| {
        let Some(dropped) = lock(&gate).pass(clock::now()) else {
            return;
        };
        if dropped > 0 {
            let notice = format!("{{\"message\":\"log lines dropped\",\"lines\":{dropped}}}");
            // Full: this count is lost with the lines.
            WAITING.fetch_add(1, Ordering::SeqCst);
            if sender.try_send(notice).is_err() {
                WAITING.fetch_sub(1, Ordering::SeqCst);
            }
        }
        WAITING.fetch_add(1, Ordering::SeqCst);
        if sender.try_send(record.args().to_string()).is_err() {
            WAITING.fetch_sub(1, Ordering::SeqCst);
            lock(&gate).dropped += 1;
        }
    });
    let dispatch = formatted(settings, vm, failure_domain).chain(output);
    // A second start in one process keeps the first one's settings.
    let _ = dispatch.apply();
    let writer = thread::Builder::new().name("log".into());
    let spawned = writer.spawn(move || write_lines(&lines));
    if let Err(error) = spawned {
        eprintln!("the log thread did not start: {error}");
    }
}

fn write_lines(lines: &mpsc::Receiver<String>) {
    let mut out = std::io::stdout().lock();
    while let Ok(line) = lines.recv() {
        // Nobody is left to tell when the output is closed.
        let _ = writeln!(out, "{line}");
        WAITING.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Waits until the lines so far are written, for as long as `within`.
///
/// The failure: a busy machine ends the process before the writer's thread has had its turn, and the line
/// that says how a planned stop ended is missing.
pub fn flush(within: Duration) {
    let until = clock::now() + within;
    while WAITING.load(Ordering::SeqCst) > 0 && clock::now() < until {
        clock::sleep(FLUSH_LOOK);
    }
}

/// Lines that are not written yet.
static WAITING: AtomicUsize = AtomicUsize::new(0);
/// Time between two looks at the lines that are not written yet.
const FLUSH_LOOK: Duration = Duration::from_millis(2);

/// Bounds the lines of each second.
#[derive(Default)]
struct Gate {
    second: u64,
    passed: u32,
    dropped: u32,
}

impl Gate {
    /// Whether a line passes, and then how many were dropped before it.
    fn pass(&mut self, now: Duration) -> Option<u32> {
        if now.as_secs() != self.second {
            self.second = now.as_secs();
            self.passed = 0;
        }
        if self.passed >= LINES_PER_S {
            self.dropped += 1;
            return None;
        }
        self.passed += 1;
        Some(std::mem::take(&mut self.dropped))
    }
}

fn formatted(settings: &Log, vm: &str, failure_domain: &str) -> fern::Dispatch {
    let level = settings.level.parse().unwrap_or(LevelFilter::Info);
    let (vm, failure_domain) = (vm.to_owned(), failure_domain.to_owned());
    let json = settings.format == LogFormat::Json;
    let format = move |out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>| {
        let time = humantime::format_rfc3339_millis(std::time::UNIX_EPOCH + clock::unix());
        let mut fields = Fields(serde_json::Map::new());
        let _ = record.key_values().visit(&mut fields);
        if !json {
            let level = record.level();
            let extra: String = fields.0.iter().map(|(k, v)| format!(" {k}={v}")).collect();
            out.finish(format_args!("{time} {level:5} {vm} {message}{extra}"));
            return;
        }
        let mut line = fields.0;
        line.insert("time".into(), time.to_string().into());
        line.insert("level".into(), record.level().as_str().into());
        line.insert("vm".into(), vm.as_str().into());
        line.insert("failure_domain".into(), failure_domain.as_str().into());
        line.insert("message".into(), message.to_string().into());
        out.finish(format_args!("{}", serde_json::Value::Object(line)));
    };
    fern::Dispatch::new().format(format).level(level)
}
