//! Response bodies.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use derive_more::{Display, Error};

/// A stream of body chunks that may break.
pub trait Chunks: Unpin {
    /// Polls for the next chunk; `None` is the clean end of the body.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, CutBody>>>;
}

/// The source of a body ended before the body was whole.
///
/// The HTTP layer closes the connection without a terminal chunk, so the
/// receiver sees a broken body rather than a short one.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
#[display("the body was cut")]
pub struct CutBody;

impl From<Infallible> for CutBody {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// A response body: whole or streamed.
#[derive(Debug)]
pub enum Body<S> {
    /// All bytes are at hand.
    Whole(Bytes),
    /// Bytes come as the source produces them.
    Stream(S),
    /// The source broke; the error follows once the bytes before it were written.
    Cut,
}

impl<S: Chunks> MessageBody for Body<S> {
    type Error = CutBody;

    fn size(&self) -> BodySize {
        match self {
            Self::Whole(bytes) => BodySize::Sized(bytes.len() as u64),
            Self::Stream(_) | Self::Cut => BodySize::Stream,
        }
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, CutBody>>> {
        let polled = match &mut *self {
            Self::Whole(bytes) if bytes.is_empty() => return Poll::Ready(None),
            Self::Whole(bytes) => return Poll::Ready(Some(Ok(std::mem::take(bytes)))),
            Self::Cut => return Poll::Ready(Some(Err(CutBody))),
            Self::Stream(stream) => stream.poll_chunk(cx),
        };
        match polled {
            // An error makes the HTTP layer drop what it has not written yet.
            Poll::Ready(Some(Err(CutBody))) => {
                *self = Self::Cut;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            polled => polled,
        }
    }
}
