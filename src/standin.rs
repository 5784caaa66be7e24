//! Small stand-ins for the outside systems, for tests, benchmarks and the demo.
//!
//! They use this crate's own HTTP server instead of `tiny_http`: when two connections arrive at
//! once while only one of its threads is free, `tiny_http` leaves one of them without a thread
//! until some other connection closes.

pub mod engine;
pub mod fleet;
pub mod platform;
pub mod relay;
pub mod service;
pub mod table;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use crate::http::server::{Limits, Responder, Server};
use crate::http::Request;

fn serve(
    listener: TcpListener,
    handler: impl Fn(&Request, &mut Responder) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let limits = Limits {
        max_connections: 8192,
        idle_timeout: Duration::from_secs(600),
        ..Limits::default()
    };
    Ok(Server::start(listener, limits, handler)?.address)
}

fn number(request: &Request, name: &str) -> u64 {
    request
        .query(name)
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}
