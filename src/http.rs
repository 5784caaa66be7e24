//! HTTP towards callers.
//!
//! `tiny_http` serves the operators' pages, but not the callers: it bounds neither connections, nor
//! the size of a head, nor the time a head may take, and one failed `accept` (descriptors used up)
//! ends its listener for good. Here `httparse` reads the heads and this module sets the bounds.

pub mod problem;
pub mod server;

use bytes::Bytes;

/// One request, read whole before it is handled.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    /// Path with query, as it was sent.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
}

/// The first header of that name, whatever its case.
pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

impl Request {
    /// The first header of that name, whatever its case.
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
