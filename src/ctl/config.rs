//! Access to the command's arguments, the platform and the processes.

use std::io::Read;
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use serde::Serialize;
use serde_json::Value;

use super::{code, Failure};
use crate::config::{load, State};
use crate::platform::{ListedVm, Platform};

const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const PAGE_BYTES_MAX: u64 = 64 * 1024 * 1024;

/// The parsed arguments of one subcommand.
pub struct Arguments<'a> {
    matches: &'a ArgMatches,
}

impl<'a> Arguments<'a> {
    /// Wraps the arguments.
    pub fn new(matches: &'a ArgMatches) -> Arguments<'a> {
        Arguments { matches }
    }

    /// Whether to print JSON.
    pub fn json(&self) -> bool {
        self.matches.get_flag("json")
    }

    /// A flag of the command.
    pub fn flag(&self, name: &str) -> bool {
        self.matches.get_flag(name)
    }

    /// A text argument of the command.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.matches.get_one::<String>(name).map(String::as_str)
    }

    /// An argument in seconds.
    pub fn seconds(&self, name: &str) -> Duration {
        Duration::from_secs(
            self.matches
                .get_one::<u64>(name)
                .copied()
                .unwrap_or_default(),
        )
    }

    /// The platform's client; its address is required.
    pub fn platform(&self) -> Result<Platform, Failure> {
        let address = self.text("platform").ok_or_else(|| {
            Failure::new(
                code::USAGE,
                "--platform ADDRESS or BRAMLEY_PLATFORM is needed",
            )
        })?;
        Ok(Platform::new(
            address.trim_start_matches("http://"),
            CALL_TIMEOUT,
        ))
    }

    /// The platform's client, if an address was given. A deployment with an adapter has another
    /// store, and its processes report what is in force.
    pub fn optional_platform(&self) -> Option<Platform> {
        self.text("platform")?;
        self.platform().ok()
    }

    /// Loads the state from the given folder and prints its faults.
    pub fn state(&self) -> Result<State, Failure> {
        let folder = PathBuf::from(self.text("folder").unwrap_or_default());
        load::read_folder(&folder).map_err(|faults| {
            if self.json() {
                print(&faults);
            } else {
                faults.iter().for_each(|fault| eprintln!("{fault}"));
            }
            Failure::new(
                code::USAGE,
                format!("{} faults; nothing was applied", faults.len()),
            )
        })
    }

    /// The operators' addresses given by `--entry`.
    pub fn entries(&self) -> Vec<String> {
        let named = self
            .matches
            .get_many::<String>("entry")
            .into_iter()
            .flatten();
        named
            .map(|address| address.trim_start_matches("http://").to_owned())
            .collect()
    }

    /// Like [`Config::entries`], but at least one is required.
    pub fn required_entries(&self) -> Result<Vec<String>, Failure> {
        let entries = self.entries();
        match entries.is_empty() {
            true => Err(Failure::new(code::USAGE, "--entry ADDRESS is needed")),
            false => Ok(entries),
        }
    }
}

/// The VMs that the platform lists.
pub fn listed(platform: &Platform) -> Result<Vec<ListedVm>, Failure> {
    platform
        .vms()
        .map_err(|error| Failure::new(code::UNREACHABLE, error))
}

/// Reads a page of a process.
pub fn page(address: &str, path: &str) -> Result<Value, Failure> {
    call(address, "GET", path)
}

/// Reads a page of each given process and returns its rows, printed as JSON or one by one by
/// `show`, which also gets the VM's name.
pub fn rows(
    arguments: &Arguments<'_>,
    path: &str,
    list: &str,
    show: impl Fn(&Value, &Value),
) -> Result<Vec<Value>, Failure> {
    let mut answers = Vec::new();
    let mut all = Vec::new();
    for address in arguments.required_entries()? {
        let answer = page(&address, path)?;
        let rows = answer[list].as_array().cloned().unwrap_or_default();
        if !arguments.json() {
            rows.iter().for_each(|row| show(&answer["vm"], row));
        }
        all.extend(rows);
        answers.push(answer);
    }
    if arguments.json() {
        print(&answers);
    }
    Ok(all)
}

/// A value for display: strings without quotes.
pub fn text(value: &Value) -> String {
    value.as_str().map_or(value.to_string(), str::to_owned)
}

/// Sends a command to a process.
pub fn send(address: &str, path: &str) -> Result<Value, Failure> {
    call(address, "POST", path)
}

fn call(address: &str, method: &str, path: &str) -> Result<Value, Failure> {
    let unreachable =
        |error: String| Failure::new(code::UNREACHABLE, format!("{address}: {error}"));
    let response = ureq::request(method, &format!("http://{address}{path}"))
        .timeout(CALL_TIMEOUT)
        .call()
        .map_err(|error| unreachable(error.to_string()))?;
    let mut text = String::new();
    let read = response
        .into_reader()
        .take(PAGE_BYTES_MAX)
        .read_to_string(&mut text);
    read.map_err(|error| unreachable(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| unreachable(error.to_string()))
}

/// Prints a value as JSON.
pub fn print(value: &impl Serialize) {
    println!(
        "{}",
        serde_json::to_string_pretty(value).unwrap_or_default()
    );
}
