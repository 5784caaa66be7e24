//! `jobs`: the batch jobs and how far they are.

use clap::{Arg, ArgAction, Command};

use super::config::{print, Config};
use super::{code, Failure, Outcome};
use crate::decide::jobs::{ChunkRecord, JobRecord};

/// The arguments.
pub fn usage() -> Command {
    Command::new("jobs")
        .about("Lists batch jobs with their counts")
        .after_help("Exit codes: 0 listed, 4 platform away.")
        .arg(
            Arg::new("all")
                .long("all")
                .action(ArgAction::SetTrue)
                .help("Also those that have ended"),
        )
}

/// Runs the command.
pub fn run(config: &Config<'_>) -> Outcome {
    let platform = config.platform()?;
    let away = |error| Failure::new(code::AWAY, error);
    let entries = platform.list("live/job/").map_err(away)?;
    let parsed = entries
        .iter()
        .filter_map(|e| serde_json::from_str::<JobRecord>(&e.value).ok());
    let mut records: Vec<JobRecord> = parsed
        .filter(|record| config.flag("all") || !record.state.ended())
        .collect();
    for record in records.iter_mut().filter(|record| !record.state.ended()) {
        let chunks = platform
            .list(&format!("chunk/{}/", record.id))
            .map_err(away)?;
        let chunks = chunks
            .iter()
            .filter_map(|e| serde_json::from_str::<ChunkRecord>(&e.value).ok());
        for chunk in chunks {
            record.counts.completed += chunk.counts.completed;
            record.counts.failed += chunk.counts.failed;
        }
    }
    if config.json() {
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
