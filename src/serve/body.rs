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
    /// Aborted, as soon as what came before has been sent.
    Aborted,
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        let body = self.get_mut();
        match body {
            ReplyBody::Whole(bytes) => Poll::Ready(bytes.take().map(Frame::data).map(Ok)),
            ReplyBody::Aborted => Poll::Ready(Some(Err(BodyAborted))),
            ReplyBody::Chunks(chunks) => match chunks.poll_recv(context) {
                // The server drops what it has buffered when a body fails, and flushes it while a
                // body is pending.
                Poll::Ready(Some(Err(BodyAborted))) => {
                    *body = ReplyBody::Aborted;
                    context.waker().wake_by_ref();
                    Poll::Pending
                }
                chunk => chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
            },
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
            ReplyBody::Chunks(_) | ReplyBody::Aborted => SizeHint::default(),
        }
    }
}

/// A reply whose request counts as open until the body has been sent.
pub struct CountedBody {
    body: ReplyBody,
    request: Option<Rc<OpenRequest>>,
}

/// Keeps a request counted until its reply has been sent.
pub fn counted(reply: Reply, request: impl Into<Option<Rc<OpenRequest>>>) -> Response<CountedBody> {
    let request = request.into();
    if let Some(request) = &request {
        request.reply_begun(reply.status().as_u16());
        // An empty body is never polled.
        if reply.body().size_hint().exact() == Some(0) {
            request.reply_buffered();
        }
    }
    reply.map(|body| CountedBody { body, request })
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        let this = self.get_mut();
        let frame = Pin::new(&mut this.body).poll_frame(context);
        // A whole body may not be polled again once its length has been sent.
        let is_last = matches!(frame, Poll::Ready(None)) || this.body.is_end_stream();
        if let Some(request) = this.request.as_ref().filter(|_| is_last) {
            request.reply_buffered();
        }
        frame
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
