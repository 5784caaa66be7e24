//! Input and output files of batch jobs.

use std::borrow::Cow;
use std::collections::BTreeSet;
use std::io;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;

use super::node::{CallerContext, Node};
use crate::clock;
use crate::decide::jobs::{
    chunk_items, file_key, job_key, ChunkRecord, FileRecord, JobRecord, Segment, CHUNK_BYTES_MAX,
};
use crate::http::problem::{Problem, RefusalKind};
use crate::http::server::{Head, Responder};
use crate::http::Request;
use crate::id;
use crate::platform::CommitOutcome;
use crate::segments::{self, INLINE_BYTES_MAX};
use std::time::Duration;

/// Lines allowed in one file; well above the largest expected job.
pub const LINES_MAX: usize = 2_000_000;
const RETRY_AFTER: Duration = Duration::from_secs(2);
/// Distinct models and services of one file that are recorded.
const TARGETS_MAX: usize = 256;
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Handles calls under `/v1/files`.
pub fn handle(
    node: &Node,
    caller: &CallerContext,
    request: &Request,
    out: &mut Responder,
) -> io::Result<()> {
    let parts: Vec<&str> = request.path().split('/').skip(3).collect();
    match (request.method.as_str(), parts.as_slice()) {
        ("POST", []) => upload(node, caller, request, out),
        ("GET", [file]) => describe(node, caller, file, out),
        ("GET", [file, "content"]) => send_content(node, caller, file, out),
        _ => out.problem(&Problem::not_run(RefusalKind::NotFound, request.path())),
    }
}

/// The refusal for a call that fails because the platform is unavailable.
pub fn platform_unavailable(detail: &str) -> Problem {
    Problem::not_run(RefusalKind::PlatformAway, detail).with_retry_after(RETRY_AFTER)
}

fn upload(
    node: &Node,
    caller: &CallerContext,
    request: &Request,
    out: &mut Responder,
) -> io::Result<()> {
    let content = match file_part(request) {
        Some(content) => content,
        None => {
            let detail = "a body of JSON Lines, or multipart/form-data with a part named file";
            return out.problem(&Problem::not_run(RefusalKind::BadRequest, detail));
        }
    };
    match store_file(node, caller, &content) {
        Ok(record) => out.json(200, &file_json(&record)),
        Err(problem) => out.problem(&problem),
    }
}

fn file_json(record: &FileRecord) -> serde_json::Value {
    json!({
        "id": record.id,
        "object": "file",
        "bytes": record.bytes,
        "created_at": record.created_ms / 1000,
        "purpose": "batch",
        "lines": record.lines,
    })
}

/// The content of an upload: the body itself, or the part named `file` of a form.
fn file_part(request: &Request) -> Option<Bytes> {
    let kind = request.header("Content-Type").unwrap_or_default();
    if !kind.starts_with("multipart/form-data") {
        return Some(request.body.clone());
    }
    let boundary = kind
        .split("boundary=")
        .nth(1)?
        .split(';')
        .next()?
        .trim()
        .trim_matches('"');
    let marker = format!("--{boundary}");
    let body = &request.body;
    let mut at = find(body, marker.as_bytes(), 0)?;
    loop {
        let start = at + marker.len();
        let head_end = find(body, b"\r\n\r\n", start)?;
        let next = find(body, format!("\r\n{marker}").as_bytes(), head_end)?;
        let head = String::from_utf8_lossy(&body[start..head_end]).to_ascii_lowercase();
        if head.contains("name=\"file\"") {
            return Some(body.slice(head_end + 4..next));
        }
        at = next + 2;
    }
}

fn find(text: &[u8], what: &[u8], from: usize) -> Option<usize> {
    let rest = text.get(from..)?;
    rest.windows(what.len())
        .position(|window| window == what)
        .map(|at| from + at)
}

/// Splits a file into segments of whole lines, one for each chunk of a job.
pub fn split_into_segments(content: &Bytes) -> Vec<(Bytes, u32)> {
    let lines = content
        .split(|byte| *byte == b'\n')
        .filter(|line| !is_blank(line))
        .count();
    let per_chunk = chunk_items(lines);
    let mut out = Vec::new();
    let mut buffer: Vec<u8> = Vec::new();
    let mut count = 0;
    for line in content
        .split(|byte| *byte == b'\n')
        .filter(|line| !is_blank(line))
    {
        let full = count as usize == per_chunk || buffer.len() + line.len() > CHUNK_BYTES_MAX;
        if full && count > 0 {
            out.push((Bytes::from(std::mem::take(&mut buffer)), count));
            count = 0;
        }
        buffer.extend_from_slice(line);
        buffer.push(b'\n');
        count += 1;
    }
    if count > 0 {
        out.push((Bytes::from(buffer), count));
    }
    out
}

/// The distinct models and services that the lines name. Invalid lines are skipped; they become
/// error results when their chunk runs.
fn targets(content: &Bytes) -> Vec<String> {
    #[derive(Deserialize)]
    struct Line<'a> {
        #[serde(borrow)]
        url: Cow<'a, str>,
        body: Option<Body>,
    }
    #[derive(Deserialize)]
    struct Body {
        #[serde(default)]
        model: Option<String>,
    }
    let mut found = BTreeSet::new();
    for text in content.split(|byte| *byte == b'\n') {
        let Ok(line) = serde_json::from_slice::<Line>(text) else {
            continue;
        };
        let model = line.body.and_then(|body| body.model);
        let target = match (line.url.strip_prefix("/svc/"), model) {
            (Some(rest), _) => format!("service:{}", rest.split('/').next().unwrap_or_default()),
            (None, Some(model)) => format!("model:{model}"),
            (None, None) => continue,
        };
        found.insert(target);
        if found.len() >= TARGETS_MAX {
            break;
        }
    }
    found.into_iter().collect()
}

fn is_blank(line: &[u8]) -> bool {
    line.iter().all(u8::is_ascii_whitespace)
}

fn store_file(node: &Node, caller: &CallerContext, content: &Bytes) -> Result<FileRecord, Problem> {
    if std::str::from_utf8(content).is_err() {
        return Err(Problem::not_run(
            RefusalKind::BadRequest,
            "the file is not UTF-8",
        ));
    }
    let pieces = split_into_segments(content);
    let lines: u32 = pieces.iter().map(|(_, lines)| lines).sum();
    if lines == 0 || lines as usize > LINES_MAX {
        let detail = format!("{lines} lines; 1 to {LINES_MAX} are allowed");
        return Err(Problem::not_run(RefusalKind::BadRequest, detail));
    }
    let scope = format!("{}\n{}", caller.workspace, id::digest(content));
    let file_id = format!("file-{}", &id::digest(scope.as_bytes())[..32]);
    let inline = content.len() <= INLINE_BYTES_MAX;
    let segments: Result<Vec<Segment>, segments::Error> = pieces
        .iter()
        .map(|(piece, lines)| node.segments.store(piece, *lines, inline))
        .collect();
    let segments = segments.map_err(|error| match error {
        segments::Error::TooLarge { .. } => {
            Problem::not_run(RefusalKind::TooLarge, error.to_string())
        }
        _ => platform_unavailable(&error.to_string()),
    })?;
    let record = FileRecord {
        id: file_id,
        workspace: caller.workspace.clone(),
        created_ms: clock::unix_ms(),
        bytes: content.len() as u64,
        lines,
        targets: targets(content),
        segments,
    };
    let text = serde_json::to_string(&record).unwrap_or_default();
    let until = clock::now() + COMMIT_TIMEOUT;
    match node.platform.commit(&file_key(&record.id), 0, &text, until) {
        CommitOutcome::Won(_) => Ok(record),
        // The same content was uploaded before; its first record stays.
        CommitOutcome::Lost(Some(entry)) => {
            Ok(serde_json::from_str(&entry.value).unwrap_or(record))
        }
        CommitOutcome::Lost(None) | CommitOutcome::Away => {
            Err(platform_unavailable("the file was not taken"))
        }
        // Uploading it again is harmless: the id is derived from the content.
        CommitOutcome::Unknown => Err(Problem {
            not_run: false,
            ..platform_unavailable("it is not known whether it was taken")
        }),
    }
}

/// Reads the record of an input file of the caller's workspace.
pub fn read_file(node: &Node, caller: &CallerContext, file: &str) -> Result<FileRecord, Problem> {
    let entry = node
        .platform
        .get(&file_key(file))
        .map_err(|error| platform_unavailable(&error.to_string()))?;
    let record = entry.and_then(|e| serde_json::from_str::<FileRecord>(&e.value).ok());
    record
        .filter(|record| record.workspace == caller.workspace)
        .ok_or_else(|| Problem::not_run(RefusalKind::NotFound, format!("file {file:?}")))
}

/// Reads a job's record and its revision.
pub fn read_job(
    node: &Node,
    caller: &CallerContext,
    job: &str,
) -> Result<(u64, JobRecord), Problem> {
    let entry = node
        .platform
        .get(&job_key(job))
        .map_err(|error| platform_unavailable(&error.to_string()))?;
    let found = entry.and_then(|entry| {
        let record = serde_json::from_str::<JobRecord>(&entry.value).ok()?;
        Some((entry.revision, record))
    });
    found
        .filter(|(_, record)| record.workspace == caller.workspace)
        .ok_or_else(|| Problem::not_run(RefusalKind::NotFound, format!("batch {job:?}")))
}

/// Reads the chunk records of a job that have been written so far.
pub fn read_chunks(node: &Node, job: &str) -> Result<Vec<ChunkRecord>, Problem> {
    let entries = node
        .platform
        .list(&format!("chunk/{job}/"))
        .map_err(|error| platform_unavailable(&error.to_string()))?;
    Ok(entries
        .iter()
        .filter_map(|entry| serde_json::from_str(&entry.value).ok())
        .collect())
}

fn describe(
    node: &Node,
    caller: &CallerContext,
    file: &str,
    out: &mut Responder,
) -> io::Result<()> {
    match segments_of(node, caller, file) {
        Ok(segments) => {
            let bytes: u64 = segments.iter().map(|segment| segment.bytes).sum();
            out.json(
                200,
                &json!({ "id": file, "object": "file", "bytes": bytes, "purpose": "batch" }),
            )
        }
        Err(problem) => out.problem(&problem),
    }
}

/// The segments of a file: an input file, or the output or error file of a job.
fn segments_of(node: &Node, caller: &CallerContext, file: &str) -> Result<Vec<Segment>, Problem> {
    let (job, errors) = match (file.strip_prefix("out-"), file.strip_prefix("err-")) {
        (Some(job), _) => (job, false),
        (_, Some(job)) => (job, true),
        _ => return Ok(read_file(node, caller, file)?.segments),
    };
    read_job(node, caller, job)?;
    let chunks = read_chunks(node, job)?;
    let results = chunks.into_iter().flat_map(|chunk| chunk.segments);
    Ok(results
        .filter(|r| r.errors == errors)
        .map(|result| result.segment)
        .collect())
}

/// Streams a file; at most one segment is held in memory.
fn send_content(
    node: &Node,
    caller: &CallerContext,
    file: &str,
    out: &mut Responder,
) -> io::Result<()> {
    let segments = match segments_of(node, caller, file) {
        Ok(segments) => segments,
        Err(problem) => return out.problem(&problem),
    };
    let mut segments = segments.iter();
    let first = segments
        .next()
        .map(|segment| node.segments.load(segment))
        .transpose();
    let first = match first {
        Ok(first) => first.unwrap_or_default(),
        Err(error) => return out.problem(&platform_unavailable(&error.to_string())),
    };
    out.start(&Head::new(200, "application/jsonl"))?;
    out.chunk(&first)?;
    for segment in segments {
        // A segment that can't be read leaves the chunked body unterminated, so the caller sees
        // that it is incomplete.
        let piece = node.segments.load(segment).map_err(io::Error::other)?;
        out.chunk(&piece)?;
    }
    out.end()
}
