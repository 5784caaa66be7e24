//! `jobs`: batch jobs and their progress.

use clap::{Arg, ArgAction, Command};
use serde_json::Value;

use super::config::{page, print, Arguments};
use super::{code, Failure, Outcome};
use crate::decide::jobs::{ChunkRecord, JobRecord};

/// Defines the arguments.
pub fn usage() -> Command {
    Command::new("jobs")
        .about("Lists batch jobs with their counts: those stored at the platform, or those that the processes report")
        .after_help("Exit codes: 0 listed, 4 platform unreachable.")
        .arg(
            Arg::new("all")
                .long("all")
                .action(ArgAction::SetTrue)
                .help("Also those that have ended"),
        )
}

/// Runs the command.
pub fn run(arguments: &Arguments<'_>) -> Outcome {
    let Some(platform) = arguments.optional_platform() else {
        return list_from_processes(arguments);
    };
    let unreachable = |error| Failure::new(code::UNREACHABLE, error);
    let entries = platform.list("live/job/").map_err(unreachable)?;
    let parsed = entries
        .iter()
        .filter_map(|e| serde_json::from_str::<JobRecord>(&e.value).ok());
    let mut records: Vec<JobRecord> = parsed
        .filter(|record| arguments.flag("all") || !record.state.ended())
        .collect();
    for record in records.iter_mut().filter(|record| !record.state.ended()) {
        let chunks = platform
            .list(&format!("chunk/{}/", record.id))
            .map_err(unreachable)?;
        let chunks = chunks
            .iter()
            .filter_map(|e| serde_json::from_str::<ChunkRecord>(&e.value).ok());
        for chunk in chunks {
            record.counts.completed += chunk.counts.completed;
            record.counts.failed += chunk.counts.failed;
        }
    }
    if arguments.json() {
        print(&records);
        return Ok(code::OK);
    }
    for record in &records {
        let state: &'static str = record.state.into();
        let counts = record.counts;
        println!(
            "{} {} {state} {} completed, {} failed of {}",
            record.id, record.workspace, counts.completed, counts.failed, counts.total
        );
    }
    Ok(code::OK)
}

/// Lists the jobs reported by the first process that answers, in a deployment with an adapter.
fn list_from_processes(arguments: &Arguments<'_>) -> Outcome {
    let mut last = None;
    for address in arguments.required_entries()? {
        match page(&address, "/dump") {
            Ok(dump) => {
                show(arguments, &dump["jobs"]);
                return Ok(code::OK);
            }
            Err(failure) => last = Some(failure),
        }
    }
    Err(last.unwrap_or_else(|| Failure::new(code::USAGE, "--entry ADDRESS is needed")))
}

fn show(arguments: &Arguments<'_>, jobs: &Value) {
    let number = |job: &Value, field: &str| job[field].as_u64().unwrap_or(0);
    let complete = |job: &Value| number(job, "listed") == number(job, "items");
    let state = |job: &Value| match (job["cancelled"] == true, complete(job)) {
        (true, _) => "cancelled",
        (_, true) => "completed",
        _ => "in_progress",
    };
    let open = |job: &&Value| arguments.flag("all") || state(job) == "in_progress";
    let jobs: Vec<&Value> = jobs.as_array().into_iter().flatten().filter(open).collect();
    if arguments.json() {
        print(&jobs);
        return;
    }
    for job in jobs {
        let id = job["id"].as_str().unwrap_or_default();
        println!(
            "{id} {} {} listed of {}",
            state(job),
            number(job, "listed"),
            number(job, "items")
        );
    }
}
