//! Reads a configuration folder.

use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;
use strum::IntoEnumIterator;

use super::check::Fault;
use super::{Kind, State};

/// Parses a JSON file; the error names the path within the file.
pub fn parse<T: DeserializeOwned>(file: &str, content: &[u8]) -> Result<T, Fault> {
    let mut reader = serde_json::Deserializer::from_slice(content);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|error| Fault {
        file: file.to_owned(),
        path: format!("$.{}", error.path())
            .replace("$..", "$")
            .replace(".[", "["),
        found: error.inner().to_string(),
        allowed: "see docs/OPERATIONS.md".to_owned(),
    })?;
    reader.end().map_err(|error| Fault {
        file: file.to_owned(),
        path: "$".to_owned(),
        found: error.to_string(),
        allowed: "one JSON value".to_owned(),
    })?;
    Ok(value)
}

fn read_kind<T: DeserializeOwned>(folder: &Path, kind: Kind, faults: &mut Vec<Fault>) -> Vec<T> {
    let name: &'static str = kind.into();
    let file = format!("{name}.json");
    let content = match fs::read(folder.join(&file)) {
        Ok(content) => content,
        Err(error) => {
            let allowed = "a file of each kind, [] when empty".to_owned();
            faults.push(Fault {
                file,
                path: "$".into(),
                found: error.to_string(),
                allowed,
            });
            return Vec::new();
        }
    };
    parse(&file, &content).unwrap_or_else(|fault| {
        faults.push(fault);
        Vec::new()
    })
}

/// Reads the whole folder and reports every fault, not only the first.
pub fn read_folder(folder: &Path) -> Result<State, Vec<Fault>> {
    let mut faults = Vec::new();
    let state = State {
        services: read_kind(folder, Kind::Services, &mut faults),
        models: read_kind(folder, Kind::Models, &mut faults),
        adapters: read_kind(folder, Kind::Adapters, &mut faults),
        versions: read_kind(folder, Kind::Versions, &mut faults),
        workspaces: read_kind(folder, Kind::Workspaces, &mut faults),
        shares: read_kind(folder, Kind::Shares, &mut faults),
        failure_domains: read_kind(folder, Kind::FailureDomains, &mut faults),
        endpoints: read_kind(folder, Kind::Endpoints, &mut faults),
    };
    faults.extend(unknown_files(folder));
    if faults.is_empty() {
        faults = super::check::state(&state);
    }
    match faults.is_empty() {
        true => Ok(state),
        false => Err(faults),
    }
}

/// Files that belong to no kind; a misspelt file name would otherwise be ignored silently.
fn unknown_files(folder: &Path) -> Vec<Fault> {
    let known: Vec<String> = Kind::iter()
        .map(|kind| {
            let name: &'static str = kind.into();
            format!("{name}.json")
        })
        .collect();
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    let names = entries.map(|entry| entry.file_name().to_string_lossy().into_owned());
    let strange = names.filter(|name| name.ends_with(".json") && !known.contains(name));
    strange
        .map(|file| Fault {
            file,
            path: "$".into(),
            found: "a file of no kind".into(),
            allowed: known.join(", "),
        })
        .collect()
}
