//! HTTP calls to processes of a fleet, and their answers.

use super::*;
use crate::http::header;

/// An answer to [`call`].
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the connection failed before the whole body was read.
    pub cut: bool,
}

impl Answer {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// A header's value, if the answer has it.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

/// Sends one request on a connection of its own, without following redirects. An empty `key` sends
/// no `Authorization` header.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    key: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Answer> {
    let agent = ureq::AgentBuilder::new()
        .max_idle_connections(0)
        .redirects(0)
        .build();
    let url = format!("http://{address}{path}");
    let mut request = agent.request(method, &url).timeout(CALL_TIMEOUT);
    if !key.is_empty() {
        request = request.set("Authorization", &format!("Bearer {key}"));
    }
    for (name, value) in headers {
        request = request.set(name, value);
    }
    let response = match request.send_bytes(body) {
        Ok(response) | Err(ureq::Error::Status(_, response)) => response,
        Err(error) => return Err(io::Error::other(error.to_string())),
    };
    let status = response.status();
    let names = response.headers_names();
    let headers = names
        .iter()
        .filter_map(|name| Some((name.clone(), response.header(name)?.to_owned())))
        .collect();
    let mut body = Vec::new();
    let cut = response.into_reader().read_to_end(&mut body).is_err();
    Ok(Answer {
        status,
        headers,
        body,
        cut,
    })
}
