//! `why`: what is waiting, and for what.

use clap::Command;
use serde_json::Value;

use super::config::{rows, text, Arguments};
use super::{code, Outcome};

/// Defines the arguments.
pub fn usage() -> Command {
    Command::new("why")
        .about("Shows what waits at each process, and for what")
        .after_help("Exit codes: 0 nothing waits, 1 something waits, 4 a process can't be reached.")
}

/// Runs the command.
pub fn run(arguments: &Arguments<'_>) -> Outcome {
    let rows = rows(arguments, "/why", "waiting", show)?;
    if rows.is_empty() && !arguments.json() {
        println!("nothing waits");
    }
    Ok(if rows.is_empty() {
        code::OK
    } else {
        code::DIFFERS
    })
}

fn show(vm: &Value, row: &Value) {
    let until = match row["until_ms"].as_u64() {
        Some(until_ms) => format!(", for {until_ms} ms more"),
        None => String::new(),
    };
    println!(
        "{}: {} waits for {}{until}",
        text(vm),
        text(&row["what"]),
        text(&row["waits_for"])
    );
}
