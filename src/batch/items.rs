//! The items of a chunk: parsed from its lines, and run at endpoints.

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{json, Value};

use crate::config::{Service, ServiceKind, State};
use crate::decide::batch::{AttemptEnd, ItemWork, PlannedItem};
use crate::decide::retry::AttemptStage;
use crate::engine::{Call, Engines};
use crate::id;
use crate::settings::ms;

/// One line of an input file.
#[derive(Deserialize)]
struct InputLine<'a> {
    #[serde(borrow)]
    custom_id: &'a RawValue,
    method: String,
    url: String,
    #[serde(borrow)]
    body: &'a RawValue,
}

/// An item as it is sent to an endpoint.
#[derive(Debug, Clone)]
struct ItemRequest {
    method: String,
    path: String,
    body: Bytes,
    timeout: Duration,
    idempotent: bool,
}

/// The parsed items of one chunk.
#[derive(Debug)]
pub struct ChunkItems {
    pub planned: Vec<PlannedItem>,
    /// Requests by item number; `None` for an invalid line.
    requests: Vec<Option<ItemRequest>>,
}

/// Parses the lines of a chunk. An invalid line becomes an item that fails with an error result.
pub fn parse_chunk(content: Bytes, state: &State) -> ChunkItems {
    let mut items = ChunkItems {
        planned: Vec::new(),
        requests: Vec::new(),
    };
    for text in content
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty())
    {
        let custom_id = custom_id_of(text);
        match parse_line(&content, text, state) {
            Ok((service, request)) => {
                let idempotent = service.idempotent;
                let work = ItemWork::Run {
                    service: id::of(&service.name),
                    idempotent,
                };
                items.planned.push(PlannedItem { custom_id, work });
                items.requests.push(Some(request));
            }
            Err((code, message)) => {
                items.planned.push(PlannedItem {
                    custom_id,
                    work: ItemWork::Bad { code, message },
                });
                items.requests.push(None);
            }
        }
    }
    items
}

fn custom_id_of(text: &[u8]) -> Bytes {
    let value: Value = serde_json::from_slice(text).unwrap_or(Value::Null);
    let custom_id = value.get("custom_id").cloned().unwrap_or(Value::Null);
    Bytes::from(custom_id.to_string())
}

/// Error code and message of an invalid line.
type LineError = (&'static str, String);

fn parse_line<'a>(
    content: &Bytes,
    text: &[u8],
    state: &'a State,
) -> Result<(&'a Service, ItemRequest), LineError> {
    let line: InputLine =
        serde_json::from_slice(text).map_err(|error| ("invalid_line", error.to_string()))?;
    if !line.custom_id.get().starts_with('"') {
        return Err(("invalid_line", "custom_id is not a string".into()));
    }
    let body = content.slice_ref(line.body.get().as_bytes());
    let (service, path) = match line.url.strip_prefix("/svc/") {
        Some(rest) => {
            let name = rest.split('/').next().unwrap_or_default();
            let path = &rest[name.len()..];
            let found = state.service(name).filter(|s| s.kind == ServiceKind::Plain);
            (found, if path.is_empty() { "/" } else { path }.to_owned())
        }
        None if ["/v1/chat/completions", "/v1/completions"].contains(&line.url.as_str()) => {
            let model = model_of(&body).ok_or(("invalid_line", "no model is named".into()))?;
            (state.service_of_model(&model), line.url.clone())
        }
        None => return Err(("invalid_url", line.url)),
    };
    let service = service.ok_or(("model_not_found", "no service has it".to_owned()))?;
    if !["GET", "POST", "PUT", "DELETE", "PATCH"].contains(&line.method.as_str()) {
        return Err(("invalid_line", format!("method {:?}", line.method)));
    }
    let sending = ItemRequest {
        method: line.method,
        path,
        body,
        timeout: ms(service.deadline_ms),
        idempotent: service.idempotent,
    };
    Ok((service, sending))
}

fn model_of(body: &[u8]) -> Option<String> {
    #[derive(Deserialize)]
    struct Named {
        model: String,
    }
    serde_json::from_slice::<Named>(body)
        .ok()
        .map(|named| named.model)
}

/// The end of an attempt that never left this process.
pub fn not_sent(detail: &str) -> AttemptEnd {
    AttemptEnd::Failed {
        reach: AttemptStage::NotSent,
        died: false,
        detail: detail.to_owned(),
    }
}

/// Runs one attempt of an item.
pub fn run(
    engines: &Engines,
    lines: &ChunkItems,
    item: u32,
    address: &str,
    attempt: &str,
    key: &str,
) -> AttemptEnd {
    let Some(Some(sending)) = lines.requests.get(item as usize) else {
        return not_sent("there is no such item");
    };
    let call = Call {
        address,
        method: &sending.method,
        path: &sending.path,
        content_type: "application/json",
        attempt,
        key: Some(key),
        body: &sending.body,
        timeout: sending.timeout,
    };
    match engines.call(call, sending.idempotent) {
        Ok(answer) if answer.status < 400 => {
            let custom_id = &lines.planned[item as usize].custom_id;
            AttemptEnd::Done(output_line(attempt, custom_id, answer.status, &answer.body))
        }
        Ok(answer) => {
            let text: String = String::from_utf8_lossy(&answer.body)
                .chars()
                .take(500)
                .collect();
            AttemptEnd::Rejected {
                code: "rejected",
                message: format!("{}: {text}", answer.status),
            }
        }
        Err(fault) => AttemptEnd::Failed {
            reach: fault.stage,
            died: fault.connection_lost,
            detail: fault.detail,
        },
    }
}

fn output_line(attempt: &str, custom_id: &[u8], status: u16, body: &[u8]) -> Bytes {
    let parse = |text: &[u8]| serde_json::from_slice::<Value>(text).ok();
    let body = parse(body).unwrap_or_else(|| String::from_utf8_lossy(body).into());
    let line = json!({
        "id": attempt,
        "custom_id": parse(custom_id),
        "response": { "status_code": status, "request_id": attempt, "body": body },
        "error": null,
    });
    Bytes::from(line.to_string())
}
