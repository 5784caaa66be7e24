//! Runners crash and start again under their ids with newer software, while the store is down.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use bramleyseam::clock;
use bramleyseam::util::lock;
use bramleyseam_platform_standin::caller::{self, Response};

use crate::fleet::{put_config, Fleet};
use crate::process::{Framing, RunnerProcess, Setup};
use crate::record::Record;
use crate::store::{Outage, Store};
use crate::Outcome;

const RUNNERS: usize = 18;
/// 3 of 18 runners crash: the sheets have up to 0.17 of them.
const CRASHED: usize = 3;
const SLOTS: u32 = 8;
const EVENTS: u64 = 100;
const CALLERS: usize = 105;
/// Time over which the callers begin.
const START_SPREAD: Duration = Duration::from_millis(2500);
/// Length of the outage in the sheet of the installation.
const OUTAGE: Duration = Duration::from_millis(4500);
/// More streams than this break the rule.
const MIXED_ALLOWED: usize = 2;

/// The software versions in an answer.
fn versions(response: &Response) -> HashSet<String> {
    let data = response.data();
    let marks = data.lines().filter_map(|line| line.split_once('@'));
    marks.map(|(_, version)| version.to_owned()).collect()
}

/// Asks for streams until `stop` is set; returns the ids of the whole ones, and those of several
/// versions.
fn ask(
    record: &Record,
    caller: usize,
    to: SocketAddr,
    stop: &AtomicBool,
    asked: &Mutex<[usize; 3]>,
) {
    let mut number = 0;
    clock::sleep(START_SPREAD * caller as u32 / CALLERS as u32);
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("{caller:04x}{number:012x}");
        let response = caller::request_stream(to, "/query/one", &id);
        let mut counts = lock(asked);
        counts[0] += 1;
        if let Some(response) = response {
            counts[1] += usize::from(response.status == 200 && response.complete);
            let versions = versions(&response);
            if versions.len() > 1 {
                counts[2] += 1;
                record.line(format!(
                    "{id}: status {}, {} events of {:?}",
                    response.status,
                    response.events().len(),
                    versions
                ));
            }
        }
        drop(counts);
        clock::sleep(Duration::from_millis(100));
    }
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start(record.clone())?;
    put_config(&store, 3);
    let folder = std::env::temp_dir().join(format!("review-{:x}", bramleyseam::util::nonce()));
    std::fs::create_dir_all(&folder)?;
    let mut runners = Vec::new();
    for at in 0..RUNNERS {
        let setup = Setup {
            id: format!("i-{at}"),
            slots: SLOTS,
            events: EVENTS,
            interval: Duration::from_millis(25),
            framing: Framing::Chunks,
            version: "v1".into(),
        };
        let runner = RunnerProcess::start(setup, &folder)?;
        store.put(&format!("servers/i-{at}"), &runner.entry());
        runners.push(runner);
    }
    let fleet = Fleet::start(&store, 3)?;
    clock::sleep(Duration::from_secs(1));
    let stop = AtomicBool::new(false);
    let asked = Mutex::new([0; 3]);
    let callers: Vec<SocketAddr> = fleet.vms.iter().map(|vm| vm.callers).collect();
    thread::scope(|scope| -> io::Result<()> {
        for caller in 0..CALLERS {
            let to = callers[caller % callers.len()];
            let (stop, asked) = (&stop, &asked);
            scope.spawn(move || ask(record, caller, to, stop, asked));
        }
        let played = play(record, &store, &mut runners, has_trouble);
        stop.store(true, Ordering::SeqCst);
        played
    })?;
    let [asked, whole, mixed] = *lock(&asked);
    record.line(format!(
        "{asked} streams asked for, {whole} whole, {mixed} hold events of two software versions"
    ));
    drop(runners);
    let _ = std::fs::remove_dir_all(&folder);
    match whole > asked / 4 {
        true => Ok(mixed <= MIXED_ALLOWED),
        false => Err(io::Error::other("too few streams were served")),
    }
}

fn play(
    record: &Record,
    store: &Store,
    runners: &mut [RunnerProcess],
    has_trouble: bool,
) -> io::Result<()> {
    let pause = |ms| clock::sleep(Duration::from_millis(ms));
    pause(2500);
    if !has_trouble {
        pause(7000);
        return Ok(());
    }
    let down_at = clock::now();
    store.set_outage(Some(Outage::Busy));
    record.line("the store answers 503");
    pause(100);
    for runner in &mut runners[..CRASHED] {
        runner.kill();
    }
    record.line("i-0, i-1 and i-2 are killed");
    pause(500);
    for runner in &mut runners[..CRASHED] {
        runner.setup.version = "v2".into();
        runner.restart()?;
    }
    record.line("i-0, i-1 and i-2 are back under their ids, with software v2");
    pause(3600);
    for runner in &mut runners[..CRASHED] {
        runner.kill();
    }
    record.line("i-0, i-1 and i-2 are killed");
    clock::sleep((down_at + OUTAGE).saturating_sub(clock::now()));
    store.set_outage(None);
    record.line("the store serves again");
    pause(300);
    for (at, runner) in runners[..CRASHED].iter_mut().enumerate() {
        runner.restart()?;
        store.put(&format!("servers/i-{at}"), &runner.entry());
    }
    record.line("i-0, i-1 and i-2 are back and registered, with software v2");
    pause(2500);
    Ok(())
}
