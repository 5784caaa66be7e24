//! `status`: which version is in force, and where.

use clap::Command;
use serde_json::{json, Value};

use super::config::{page, print, Config};
use super::{code, Outcome};
use crate::config::store;

/// The arguments.
pub fn usage() -> Command {
    Command::new("status")
        .about("Shows the version that stands and each process's state")
        .after_help("Exit codes: 0 all have it and are ready, 1 some don't, 4 nothing answers.")
}

/// Runs the command.
pub fn run(config: &Config<'_>) -> Outcome {
    let platform = config.platform()?;
    // Without the platform the processes still tell what they have.
    let head = store::read_head(&platform).map(|found| found.map(|(_, head)| head));
    let version = head
        .as_ref()
        .ok()
        .and_then(|h| h.as_ref())
        .map(|head| head.version);
    let rows: Vec<Value> = config
        .entries()
        .iter()
        .map(|address| row(address))
        .collect();
    let fine = |row: &Value| {
        row["ready"].as_bool() == Some(true)
            && version.is_none_or(|version| row["version"].as_u64() == Some(version))
    };
    let all_fine = rows.iter().all(fine);
    if config.json() {
        print(&json!({ "version": version, "processes": rows }));
    } else {
        match (&head, version) {
            (Err(error), _) => println!("{error}"),
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
    let answered = head.is_ok() || rows.iter().any(|row| row["name"].is_string());
    Ok(match (answered, all_fine) {
        (false, _) => code::AWAY,
        (true, false) => code::DIFFERS,
        (true, true) => code::OK,
    })
}

fn row(address: &str) -> Value {
    match page(address, "/dump") {
        Err(failure) => json!({ "address": address, "ready": failure.message }),
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
