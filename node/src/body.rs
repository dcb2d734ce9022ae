//! Response bodies.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use derive_more::{Display, Error};

/// A source of body chunks that can fail part-way.
pub trait ChunkSource: Unpin {
    /// Polls for the next chunk; `None` marks the complete end of the body.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, TruncatedBody>>>;
}

/// The source of a body ended before the body was complete.
///
/// The HTTP layer closes the connection without a terminal chunk, so the
/// receiver sees a broken body rather than a short one.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
#[display("the body was cut")]
pub struct TruncatedBody;

impl From<Infallible> for TruncatedBody {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// A response body, complete or streamed.
#[derive(Debug)]
pub enum Body<S> {
    /// All bytes are available.
    Full(Bytes),
    /// Chunks are forwarded as the source produces them.
    Stream(S),
    /// The source failed; the error is returned after the preceding bytes have been written.
    Truncated,
}

impl<S: ChunkSource> MessageBody for Body<S> {
    type Error = TruncatedBody;

    fn size(&self) -> BodySize {
        match self {
            Self::Full(bytes) => BodySize::Sized(bytes.len() as u64),
            Self::Stream(_) | Self::Truncated => BodySize::Stream,
        }
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, TruncatedBody>>> {
        let polled = match &mut *self {
            Self::Full(bytes) if bytes.is_empty() => return Poll::Ready(None),
            Self::Full(bytes) => return Poll::Ready(Some(Ok(std::mem::take(bytes)))),
            Self::Truncated => return Poll::Ready(Some(Err(TruncatedBody))),
            Self::Stream(stream) => stream.poll_chunk(cx),
        };
        match polled {
            // An error makes the HTTP layer discard the bytes it has not yet written, so
            // the error is deferred to the next poll.
            Poll::Ready(Some(Err(TruncatedBody))) => {
                *self = Self::Truncated;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            polled => polled,
        }
    }
}
