//! Runs the real program as separate processes on loopback, injects faults from outside, and checks
//! what callers and endpoints observe meanwhile.

pub mod callers;
pub mod checks;
pub mod faults;
pub mod ledger;
pub mod plan;

use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use bramleyseam::clock;
use bramleyseam_platform_standin::fleet::Fleet;

use self::callers::Callers;
use self::faults::FaultInjector;
use self::ledger::Ledger;
use self::plan::{Size, Step};

/// Time after the last fault for which callers of fatal prompts go on.
const CALM_TIME: Duration = Duration::from_secs(9);

/// Result of one seed.
pub struct Report {
    pub seed: u64,
    pub steps: Vec<Step>,
    /// Violations; empty when all invariants held.
    pub broken: Vec<String>,
    /// Number of online requests. `jobs` counts accepted jobs.
    pub asked: usize,
    pub jobs: usize,
    /// Folder with settings and logs, kept when there are violations.
    pub folder: PathBuf,
}

/// Runs one seed.
pub fn run(program: &str, seed: u64, size: &Size) -> io::Result<Report> {
    let mut fleet = Fleet::start_linked(program, size.vms, size.endpoints)?;
    for endpoint in &fleet.endpoints {
        endpoint.behave(|b| b.event_interval = size.event_interval);
    }
    // Callers may come only once all VMs know the versions, which endpoints don't change otherwise.
    if !fleet.assign_software(&faults::SOFTWARE) {
        return Err(io::Error::other("the software versions are not known"));
    }
    let rules = faults::rules_with(faults::FIRST_RULES, &[]);
    fleet.put_config(&rules);
    if !fleet.wait_config(faults::FIRST_RULES) {
        return Err(io::Error::other("the first rules are not taken"));
    }
    let steps = plan::draw(seed, size);
    let ledger = Ledger::new(&fleet, clock::now());
    let stopping = AtomicBool::new(false);
    let callers = Callers::new(&fleet, &ledger, seed, size.items_max);
    let mut calm_from = None;
    thread::scope(|scope| {
        let mut injector = FaultInjector::new(program, &mut fleet, &ledger);
        callers.spawn(scope, &stopping);
        if size.fatal_prompts {
            injector.begin_fatal_prompts();
            callers.spawn_fatal(scope, &stopping);
        }
        injector.run(&steps, size.length);
        if size.fatal_prompts {
            calm_from = Some(clock::now());
            injector.wait(CALM_TIME);
        }
        injector.restore();
        stopping.store(true, Ordering::SeqCst);
        checks::check_waits(&fleet, &ledger, clock::now());
    });
    if let Some(calm_from) = calm_from {
        checks::check_fatal_runs(&fleet, &ledger, calm_from);
    }
    let mut broken = checks::check_all(&fleet, &ledger);
    broken.extend(stop_all(&mut fleet));
    fleet.keep_logs = !broken.is_empty();
    let (asked, jobs) = ledger.counts();
    Ok(Report {
        seed,
        steps,
        broken,
        asked,
        jobs,
        folder: fleet.folder.clone(),
    })
}

/// Sends each process the stop signal and checks that it ends by itself without an error.
fn stop_all(fleet: &mut Fleet) -> Vec<String> {
    fleet
        .vms
        .iter()
        .for_each(|vm| vm.signal(rustix::process::Signal::TERM));
    let ended = |vm: &mut bramleyseam_platform_standin::fleet::Vm| {
        let ended = vm.wait_exit(faults::STOP_TIMEOUT);
        (ended != Some(true)).then(|| format!("{} did not end well: {ended:?}", vm.name))
    };
    fleet.vms.iter_mut().filter_map(ended).collect()
}
