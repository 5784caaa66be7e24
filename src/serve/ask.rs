//! Requests to other VMs, by TCP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, StatusCode, Uri};
use serde::de::DeserializeOwned;
use snafu::Snafu;
use tokio::time::timeout;

use super::node::Node;
use super::pool::{self, Connection};
use super::replies::{self, Reply};
use crate::wire;

/// Why a request to another VM failed.
#[derive(Debug, Snafu)]
pub enum AskError {
    #[snafu(display("{source}"), context(false))]
    Connection { source: pool::Error },
    #[snafu(display("{source}"), context(false))]
    Message { source: wire::Error },
    #[snafu(display("{source}"), context(false))]
    Http { source: hyper::Error },
    #[snafu(display("invalid path: {source}"), context(false))]
    Path {
        source: hyper::http::uri::InvalidUri,
    },
    #[snafu(display("answered {status}"))]
    Refused { status: StatusCode },
    #[snafu(
        display("there is no memory left for the answer"),
        visibility(pub(super))
    )]
    MemoryFull,
    #[snafu(display("no answer in time"), context(false))]
    TimedOut { source: tokio::time::error::Elapsed },
}

impl AskError {
    /// Whether the other VM refused to act on the request.
    pub fn is_unavailable(&self) -> bool {
        matches!(self, AskError::Refused { status } if *status == StatusCode::SERVICE_UNAVAILABLE)
    }

    /// Whether the request certainly did not reach the other VM.
    pub fn is_unsent(&self) -> bool {
        let AskError::Connection { source } = self else {
            return false;
        };
        matches!(
            source,
            pool::Error::NotSent { .. } | pool::Error::Refused { .. }
        )
    }
}

/// Sends a request to another VM; `body` is sealed, or empty where the path says all.
pub async fn ask<T: DeserializeOwned>(
    node: &Node,
    to: SocketAddr,
    path: &str,
    body: Vec<u8>,
    within: Duration,
) -> Result<T, AskError> {
    let exchange = async {
        let (sealed, _connection) = ask_body(to, path, body).await?;
        Ok::<_, AskError>(sealed.collect().await?.to_bytes())
    };
    let sealed = timeout(within, exchange).await??;
    Ok(node.key.open(&sealed)?)
}

/// Sends a request to another VM. Returns the sealed answer before it is read, and its connection,
/// which has to be kept until then.
pub async fn ask_body(
    to: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> Result<(Incoming, Connection), AskError> {
    let mut connection = Connection::open(&to.to_string()).await?;
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.uri_mut() = path.parse::<Uri>()?;
    let answer = connection.send(request).await?;
    let status = answer.status();
    match status {
        StatusCode::OK => Ok((answer.into_body(), connection)),
        _ => RefusedSnafu { status }.fail(),
    }
}

/// The answer to a request of another VM.
pub fn reply(sealed: Result<impl Into<Bytes>, wire::Error>) -> Reply {
    match sealed {
        Ok(sealed) => replies::binary(sealed.into()),
        Err(error) => {
            log::error!(error:% = error; "the answer to another VM can't be encoded");
            replies::empty(500)
        }
    }
}
