//! `status`: the version in force and the state of each process.

use clap::Command;
use serde_json::{json, Value};

use super::config::{page, print, Arguments};
use super::{code, Outcome};
use crate::config::store;

/// Defines the arguments.
pub fn usage() -> Command {
    Command::new("status")
        .about("Shows the version in force and each process's state")
        .after_help("Exit codes: 0 all have it and are ready, 1 some don't, 4 nothing answers.")
}

/// Runs the command.
pub fn run(arguments: &Arguments<'_>) -> Outcome {
    // Without the platform, the version is taken from the processes.
    let head = arguments.optional_platform().map(|platform| {
        let found = store::read_head(&platform);
        found.map(|found| found.map(|(_, head)| head.version))
    });
    let rows: Vec<Value> = match &head {
        Some(_) => arguments.entries(),
        None => arguments.required_entries()?,
    }
    .iter()
    .map(|address| row(address))
    .collect();
    let newest_reported = rows.iter().filter_map(|row| row["version"].as_u64()).max();
    let version = match &head {
        Some(Ok(version)) => *version,
        Some(Err(_)) => None,
        // The newest version of any process; a process with an older one differs from it.
        None => newest_reported,
    };
    let is_up_to_date = |row: &Value| {
        row["ready"].as_bool() == Some(true)
            && version.is_none_or(|version| row["version"].as_u64() == Some(version))
    };
    let all_up_to_date = rows.iter().all(is_up_to_date);
    if arguments.json() {
        print(&json!({ "version": version, "processes": rows }));
    } else {
        match (&head, version) {
            (Some(Err(error)), _) => println!("{error}"),
            (_, Some(version)) => println!("version {version} stands"),
            (_, None) => println!("no version stands"),
        }
        for row in &rows {
            let text = |field: &str| {
                row[field]
                    .as_str()
                    .map_or(row[field].to_string(), str::to_owned)
            };
            println!(
                "{} {} version {} ready {} members {}",
                text("address"),
                text("name"),
                text("version"),
                text("ready"),
                text("members_alive"),
            );
        }
    }
    let answered = matches!(head, Some(Ok(_))) || rows.iter().any(|row| row["name"].is_string());
    Ok(match (answered, all_up_to_date) {
        (false, _) => code::UNREACHABLE,
        (true, false) => code::DIFFERS,
        (true, true) => code::OK,
    })
}

fn row(address: &str) -> Value {
    match page(address, "/dump") {
        Err(failure) => json!({ "address": address, "ready": failure.message }),
        // A process of a deployment with an adapter.
        Ok(dump) if dump["vm"].is_string() => json!({
            "address": address,
            "name": dump["vm"],
            "version": dump["rules"],
            "ready": dump["ready"],
            // The process counts itself.
            "members_alive": dump["living_vms"].as_u64().unwrap_or(0) + 1,
        }),
        Ok(dump) => {
            let members = dump["members"].as_array().into_iter().flatten();
            let alive = members.filter(|member| member["alive"] == true).count();
            let ready = match dump["ready"].get("Err") {
                Some(why) => why.clone(),
                None => Value::Bool(true),
            };
            json!({
                "address": address,
                "name": dump["vm"]["name"],
                "version": dump["vm"]["config"],
                "ready": ready,
                "members_alive": alive,
            })
        }
    }
}
