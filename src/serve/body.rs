//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use snafu::Snafu;
use tokio::sync::mpsc::Receiver;

/// The answer can't be completed; the connection is closed so that the caller sees it.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
#[snafu(display("the answer broke off"))]
pub struct BrokenOff;

/// A piece of a stream, or its failure.
pub type Piece = Result<Bytes, BrokenOff>;

/// A body that is whole, or comes piece by piece.
pub enum ReplyBody {
    Whole(Option<Bytes>),
    /// Dropping it tells the sender that the caller has left.
    Pieces(Receiver<Piece>),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            ReplyBody::Whole(bytes) => Poll::Ready(bytes.take().map(Frame::data).map(Ok)),
            ReplyBody::Pieces(pieces) => {
                let piece = pieces.poll_recv(context);
                piece.map(|piece| piece.map(|piece| piece.map(Frame::data)))
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
            ReplyBody::Pieces(_) => SizeHint::default(),
        }
    }
}
