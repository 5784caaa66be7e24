//! A caller cancels a job while one VM of its owner's failure domain stands still.
//!
//! The items of the job must not reach an endpoint later than `cancelMs` after the cancellation was
//! acknowledged, from a VM that itself runs and reaches the store.

use std::io;
use std::time::Duration;

use bramleyseam::clock;
use bramleyseam_platform_standin::caller;
use bramleyseam_platform_standin::fleet::Fleet;
use rustix::process::Signal;

use crate::deployment;
use crate::record::Record;
use crate::Verdict;

/// Two VMs in each of three failure domains: `vm-0` and `vm-3`, `vm-1` and `vm-4`, `vm-2` and `vm-5`.
const VMS: usize = 6;
/// Four slots each.
const ENDPOINTS: usize = 4;
const EVENTS: u64 = 34;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// More items than there are slots, so that the others wait for a slot.
const ITEMS: usize = 40;
/// `cancelMs` of the site.
const CANCEL_BOUND: Duration = Duration::from_millis(3000);
/// From the acceptance of the job to its cancellation.
const CANCEL_AFTER: Duration = Duration::from_millis(120);
/// From the acceptance of the job to the freeze.
const FREEZE_AFTER: Duration = Duration::from_millis(500);
/// Length of the freeze.
const FREEZE_TIME: Duration = Duration::from_millis(3200);
/// Time after a round in which all that was started has ended.
const ROUND_TIME: Duration = Duration::from_secs(14);
/// Owner of the job and the VM that stands still. One VM of a failure domain follows the other, so
/// that one of the two rounds freezes the VM that the owner follows.
const ROUNDS: [(usize, usize); 2] = [(0, 3), (3, 0)];
/// The VM, in another failure domain, at which the caller cancels.
const CANCELLED_AT: usize = 1;

pub fn play(program: &str, with_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let settings = deployment::settings();
    let fleet = Fleet::start_with(program, VMS, ENDPOINTS, &settings)?;
    if !fleet.wait_heartbeats() {
        return Err(io::Error::other("the VMs don't hear each other"));
    }
    for endpoint in &fleet.endpoints {
        endpoint.behave(|behaviour| {
            behaviour.events = EVENTS;
            behaviour.event_interval = EVENT_INTERVAL;
        });
    }
    let mut late_runs = 0;
    for (round, (owner, frozen)) in ROUNDS.into_iter().enumerate() {
        clock::sleep(Duration::from_secs(4));
        late_runs += play_round(&fleet, round, (owner, frozen), with_trouble, record)?;
    }
    record.line(&format!("items that ran too late: {late_runs}"));
    Ok(match late_runs {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Submits, cancels and freezes once; returns how many runs came too late.
fn play_round(
    fleet: &Fleet,
    round: usize,
    (owner, frozen): (usize, usize),
    with_trouble: bool,
    record: &Record,
) -> io::Result<usize> {
    let job = format!("{:016x}", 0x7c41_e09b_52d6_0000_u64 + round as u64);
    let submitted = caller::submit(fleet.vms[owner].callers, &job, ITEMS);
    let accepted_at = clock::now();
    let status = submitted.map_or(0, |response| response.status);
    record.line(&format!(
        "job {job} of {ITEMS} items submitted to vm-{owner}: {status}"
    ));
    if status != 202 {
        return Err(io::Error::other("the job was not accepted"));
    }
    sleep_until(accepted_at + CANCEL_AFTER);
    let cancelled = caller::cancel(fleet.vms[CANCELLED_AT].callers, &job);
    let cancelled_at = clock::now();
    let status = cancelled.map_or(0, |response| response.status);
    record.line(&format!(
        "job {job} cancelled at vm-{CANCELLED_AT}: {status}"
    ));
    if status != 200 {
        return Err(io::Error::other("the job was not cancelled"));
    }
    sleep_until(accepted_at + FREEZE_AFTER);
    if with_trouble {
        fleet.vms[frozen].signal(Signal::STOP);
        record.line(&format!("vm-{frozen} stands still"));
    }
    sleep_until(accepted_at + FREEZE_AFTER + FREEZE_TIME);
    if with_trouble {
        fleet.vms[frozen].signal(Signal::CONT);
        record.line(&format!("vm-{frozen} goes on"));
    }
    sleep_until(accepted_at + ROUND_TIME);
    let mut runs = Vec::new();
    for endpoint in &fleet.endpoints {
        let of_job = endpoint.runs().into_iter();
        let of_job = of_job.filter(|run| run.id.starts_with(&job));
        runs.extend(of_job.map(|run| (run.started_at, run.id, endpoint.id.clone())));
    }
    runs.sort();
    let mut late_runs = 0;
    for (started_at, item, endpoint) in runs {
        let since = started_at.saturating_sub(cancelled_at);
        let is_late = started_at > cancelled_at + CANCEL_BOUND;
        late_runs += usize::from(is_late);
        let mark = if is_late { "  TOO LATE" } else { "" };
        record.line_at(
            started_at,
            &format!(
                "item {item} runs at {endpoint}, {} ms after the cancellation{mark}",
                since.as_millis()
            ),
        );
    }
    Ok(late_runs)
}

fn sleep_until(at: Duration) {
    clock::sleep(at.saturating_sub(clock::now()));
}
