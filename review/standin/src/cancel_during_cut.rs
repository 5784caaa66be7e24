//! A caller cancels a job while another VM of its owner's failure domain is cut off from the store.
//!
//! The items of the job must not reach an endpoint later than `cancelMs` after the cancellation was
//! acknowledged, from a VM that itself runs and reaches the store.

use std::io;
use std::time::Duration;

use bramleyseam::clock;
use bramleyseam_platform_standin::caller;
use bramleyseam_platform_standin::fleet::Fleet;
use serde_json::json;

use crate::record::Record;
use crate::Verdict;

/// Two VMs in each of three failure domains: `vm-0` and `vm-3`, `vm-1` and `vm-4`, `vm-2` and `vm-5`.
const VMS: usize = 6;
/// Four slots each.
const ENDPOINTS: usize = 4;
const EVENTS: u64 = 47;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// More items than there are slots, so that the others wait for a slot.
const ITEMS: usize = 40;
/// `cancelMs` of the site.
const CANCEL_BOUND: Duration = Duration::from_millis(3000);
/// From the acceptance of the job to the cut.
const CUT_AFTER: Duration = Duration::from_millis(1500);
/// From the acceptance of the job to its cancellation.
const CANCEL_AFTER: Duration = Duration::from_millis(1550);
/// Length of the cut.
const CUT_TIME: Duration = Duration::from_millis(5500);
/// Time after the acceptance in which all that a round started has ended.
const ROUND_TIME: Duration = Duration::from_secs(11);
/// Time between two rounds.
const PAUSE: Duration = Duration::from_secs(4);
/// Owner of the job, the VM that is cut off and the one where the caller cancels. One VM of a failure
/// domain follows the other, so that half of the rounds cut off a VM that the owner follows.
const ROUNDS: [(usize, usize, usize); 6] = [
    (3, 0, 1),
    (0, 3, 1),
    (4, 1, 2),
    (1, 4, 2),
    (5, 2, 0),
    (2, 5, 0),
];

pub fn play(program: &str, with_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let settings = json!({
        "drain_ms": 3000, "stop_limit_ms": 8000, "results_kept_s": 120,
        "core_share": 0.25, "routing": "two-choices",
    });
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
    for (round, vms) in ROUNDS.into_iter().enumerate() {
        clock::sleep(PAUSE);
        late_runs += play_round(&fleet, round, vms, with_trouble, record)?;
    }
    record.line(&format!("items that ran too late: {late_runs}"));
    Ok(match late_runs {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Submits, cancels and cuts once; returns how many runs came too late.
fn play_round(
    fleet: &Fleet,
    round: usize,
    (owner, cut_off, cancelled_by): (usize, usize, usize),
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
    let link = &fleet.vms[cut_off].store_link;
    sleep_until(accepted_at + CUT_AFTER);
    if with_trouble {
        link.drop_packets(true)?;
        record.line(&format!("vm-{cut_off} is cut off from the store"));
    }
    sleep_until(accepted_at + CANCEL_AFTER);
    let cancelled = caller::cancel(fleet.vms[cancelled_by].callers, &job);
    let cancelled_at = clock::now();
    let status = cancelled.map_or(0, |response| response.status);
    record.line(&format!(
        "job {job} cancelled at vm-{cancelled_by}: {status}"
    ));
    if status != 200 {
        return Err(io::Error::other("the job was not cancelled"));
    }
    sleep_until(accepted_at + CUT_AFTER + CUT_TIME);
    if with_trouble {
        link.drop_packets(false)?;
        record.line(&format!("vm-{cut_off} reaches the store again"));
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
