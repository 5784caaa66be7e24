//! HTTP server for callers.
//!
//! `tiny_http` serves the operators' pages, but not callers: it limits neither the number of
//! connections, nor the size of a head, nor the time to receive one, and one failed `accept` (out
//! of file descriptors) ends its listener for good. Here `httparse` parses the heads and this
//! module enforces the limits.

pub mod problem;
pub mod server;

use bytes::Bytes;

/// A request, read completely before it is handled.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    /// Path with query, as it was sent.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
}

/// The first header with that name, compared case-insensitively.
pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

impl Request {
    /// The first header with that name, compared case-insensitively.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The value of a query parameter, not decoded.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}
