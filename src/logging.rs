//! Logging with `log` and `fern`: one JSON object per line, or plain text.

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
        let text = value.to_string();
        let end = text.char_indices().map(|(at, _)| at);
        let end = end.take_while(|at| *at <= FIELD_BYTES_MAX).last();
        let shown = match text.len() > FIELD_BYTES_MAX {
            true => &text[..end.unwrap_or(0)],
            false => &text,
        };
        self.0.insert(key.to_string(), shown.into());
        Ok(())
    }
}

/// Longest value of a field; the rest is cut off. Errors quote what could not be read, which may be a
/// value of any length.
const FIELD_BYTES_MAX: usize = 2048;
/// Lines that may be queued for the writer thread: a burst of some seconds at the highest rate
/// seen.
const QUEUED_LINES_MAX: usize = 4096;
/// Lines logged in one second at most; the excess is counted and reported in one line.
const LINES_PER_S_MAX: u32 = 400;

/// Starts logging to standard error.
pub fn start(settings: &Log, vm: &str, failure_domain: &str) {
    let dispatch = formatted(settings, vm, failure_domain).chain(std::io::stderr());
    // A second start in one process keeps the first one's settings.
    let _ = dispatch.apply();
}

/// Starts logging to standard output from a separate thread.
///
/// Without that thread, a reader that stops reading would let the pipe fill up and block the event
/// loop in the middle of a log line. Lines that don't fit into the queue are dropped and counted.
pub fn start_bounded(settings: &Log, vm: &str, failure_domain: &str) {
    let (sender, lines) = mpsc::sync_channel::<String>(QUEUED_LINES_MAX);
    let limiter = Mutex::new(LineLimiter::default());
    let output = fern::Output::call(move |record| {
        let Some(dropped) = lock(&limiter).admit(clock::now()) else {
            return;
        };
        if dropped > 0 {
            let notice = format!("{{\"message\":\"log lines dropped\",\"lines\":{dropped}}}");
            // If the queue is full, this count is lost too.
            QUEUED_LINES.fetch_add(1, Ordering::SeqCst);
            if sender.try_send(notice).is_err() {
                QUEUED_LINES.fetch_sub(1, Ordering::SeqCst);
            }
        }
        QUEUED_LINES.fetch_add(1, Ordering::SeqCst);
        if sender.try_send(record.args().to_string()).is_err() {
            QUEUED_LINES.fetch_sub(1, Ordering::SeqCst);
            lock(&limiter).dropped += 1;
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
        // When the output is closed, the error can't be reported anywhere.
        let _ = writeln!(out, "{line}");
        QUEUED_LINES.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Waits until the queued lines are written, for at most `within`.
///
/// Without this, a process on a busy machine may end before the writer thread has run, and the line
/// that reports the end of a planned stop is lost.
pub fn flush(within: Duration) {
    let until = clock::now() + within;
    while QUEUED_LINES.load(Ordering::SeqCst) > 0 && clock::now() < until {
        clock::sleep(FLUSH_CHECK_INTERVAL);
    }
}

/// Lines that are queued and not yet written.
static QUEUED_LINES: AtomicUsize = AtomicUsize::new(0);
/// Interval between checks for unwritten lines.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Limits the number of lines in each second.
#[derive(Default)]
struct LineLimiter {
    second: u64,
    admitted: u32,
    dropped: u32,
}

impl LineLimiter {
    /// Returns the number of lines dropped since the previous line, or `None` if this line is
    /// dropped.
    fn admit(&mut self, now: Duration) -> Option<u32> {
        if now.as_secs() != self.second {
            self.second = now.as_secs();
            self.admitted = 0;
        }
        if self.admitted >= LINES_PER_S_MAX {
            self.dropped += 1;
            return None;
        }
        self.admitted += 1;
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
