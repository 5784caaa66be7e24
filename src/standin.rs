//! Small stand-ins for the outside systems, for tests, benchmarks and the demo.

pub mod engine;
pub mod fleet;
pub mod platform;
pub mod relay;
pub mod service;

use tiny_http::Request;

/// Reads the body of a request.
fn body_of(request: &mut Request) -> Vec<u8> {
    let mut body = Vec::new();
    let _ = request.as_reader().read_to_end(&mut body);
    body
}

/// The value of a query parameter.
fn query(target: &str, name: &str) -> Option<String> {
    let query = target.split_once('?')?.1;
    let value = query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    Some(crate::util::unescape(value))
}

fn number(target: &str, name: &str) -> u64 {
    query(target, name)
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}
