//! Operator pages, served by `tiny_http`: metrics, state dump, health, and waiting requests with
//! their reasons.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;

use serde::Serialize;
use socket2::{Domain, Protocol, Socket, Type};
use tiny_http::{Header, Request, Response, Server};

use crate::http::server::{Head, Responder};

const ACCEPT_BACKLOG: i32 = 512;

/// A page with its status and content type.
#[derive(Debug, Clone)]
pub struct Page {
    pub status: u16,
    pub content_type: &'static str,
    pub body: Vec<u8>,
}

impl Page {
    /// A page of text.
    pub fn text(status: u16, body: impl Into<String>) -> Page {
        Page {
            status,
            content_type: "text/plain; charset=utf-8",
            body: body.into().into_bytes(),
        }
    }

    /// A page of JSON.
    pub fn json(status: u16, value: &impl Serialize) -> Page {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Page {
            status,
            content_type: "application/json",
            body,
        }
    }

    /// Sends the page through the server for callers.
    pub fn reply(self, out: &mut Responder) -> io::Result<()> {
        out.full(&Head::new(self.status, self.content_type), &self.body)
    }

    /// Sends the page as the response to `request`.
    pub fn send(self, request: Request) {
        let header = Header::from_bytes("Content-Type", self.content_type);
        let mut response = Response::from_data(self.body).with_status_code(self.status);
        if let Ok(header) = header {
            response.add_header(header);
        }
        let _ = request.respond(response);
    }
}

/// Opens a listener whose connections send small writes immediately and whose port can be reused
/// right after a restart.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    // Accepted connections inherit TCP_NODELAY; without it a stream's tokens wait for
    // acknowledgements.
    socket.set_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}

/// Serves requests on `threads` threads until the process ends.
pub fn serve(
    listener: TcpListener,
    threads: usize,
    handler: impl Fn(Request) + Send + Sync + 'static,
) -> io::Result<()> {
    let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
    let (server, handler) = (Arc::new(server), Arc::new(handler));
    for _ in 0..threads {
        let (server, handler) = (server.clone(), handler.clone());
        thread::Builder::new().name("pages".into()).spawn(move || {
            while let Ok(request) = server.recv() {
                handler(request);
            }
        })?;
    }
    Ok(())
}
