//! Bodies of replies to callers.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::Response;
use snafu::Snafu;
use tokio::sync::mpsc::Receiver;

use super::counters::OpenRequest;
use super::replies::Reply;

/// The reply can't be completed; the connection is closed so that the caller notices.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
#[snafu(display("the reply was aborted"))]
pub struct BodyAborted;

/// A chunk of a stream, or its failure.
pub type Chunk = Result<Bytes, BodyAborted>;

/// A complete body, or one that is streamed in chunks.
pub enum ReplyBody {
    Whole(Option<Bytes>),
    /// Dropping the receiver tells the sender that the caller has disconnected.
    Chunks(Receiver<Chunk>),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        match self.get_mut() {
            ReplyBody::Whole(bytes) => Poll::Ready(bytes.take().map(Frame::data).map(Ok)),
            ReplyBody::Chunks(chunks) => {
                let chunk = chunks.poll_recv(context);
                chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ReplyBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            ReplyBody::Chunks(_) => SizeHint::default(),
        }
    }
}

/// A reply whose request counts as open until the body has been sent.
pub struct CountedBody {
    body: ReplyBody,
    _request: Option<Rc<OpenRequest>>,
}

/// Keeps a request counted until its reply has been sent.
pub fn counted(reply: Reply, request: impl Into<Option<Rc<OpenRequest>>>) -> Response<CountedBody> {
    let request = request.into();
    reply.map(|body| CountedBody {
        body,
        _request: request,
    })
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    /// Whether the body can be dropped. Never: the server drops a body that has ended before its
    /// last chunk is sent.
    fn is_end_stream(&self) -> bool {
        false
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
