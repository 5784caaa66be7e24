//! Differences between two configurations.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;
use strum::IntoStaticStr;

use super::State;

/// How an object differs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Change {
    Added,
    Removed,
    Changed,
}

/// One object that differs.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Difference {
    pub kind: String,
    pub name: String,
    pub change: Change,
    /// The fields that differ, each with its old and new value.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub fields: BTreeMap<String, (Value, Value)>,
}

/// All differences from `old` to `new`, ordered by kind and name.
pub fn states(old: &State, new: &State) -> Vec<Difference> {
    let (old, new) = (table(old), table(new));
    let mut out = Vec::new();
    for (key, value) in &new {
        match old.get(key) {
            None => out.push(difference(key, Change::Added, BTreeMap::new())),
            Some(before) if before != value => {
                out.push(difference(key, Change::Changed, fields(before, value)));
            }
            Some(_) => {}
        }
    }
    let gone = old.keys().filter(|key| !new.contains_key(*key));
    out.extend(gone.map(|key| difference(key, Change::Removed, BTreeMap::new())));
    out.sort_by(|a, b| (&a.kind, &a.name).cmp(&(&b.kind, &b.name)));
    out
}

type Key = (String, String);

fn difference(key: &Key, change: Change, fields: BTreeMap<String, (Value, Value)>) -> Difference {
    Difference {
        kind: key.0.clone(),
        name: key.1.clone(),
        change,
        fields,
    }
}

fn table(state: &State) -> BTreeMap<Key, Value> {
    let whole = serde_json::to_value(state).unwrap_or_default();
    let mut out = BTreeMap::new();
    for (kind, rows) in whole.as_object().into_iter().flatten() {
        for row in rows.as_array().into_iter().flatten() {
            out.insert((kind.clone(), name_of(row)), row.clone());
        }
    }
    out
}

fn name_of(row: &Value) -> String {
    let text = |field: &str| row.get(field).and_then(Value::as_str);
    match (
        text("name"),
        text("workspace"),
        text("service"),
        text("model"),
    ) {
        (Some(name), ..) => name.to_owned(),
        (None, Some(workspace), Some(service), _) => format!("{workspace}/{service}"),
        (None, _, _, Some(model)) => model.to_owned(),
        _ => String::new(),
    }
}

fn fields(old: &Value, new: &Value) -> BTreeMap<String, (Value, Value)> {
    let mut out = BTreeMap::new();
    for (field, value) in new.as_object().into_iter().flatten() {
        let before = old.get(field).cloned().unwrap_or(Value::Null);
        if before != *value {
            out.insert(field.clone(), (before, value.clone()));
        }
    }
    out
}
