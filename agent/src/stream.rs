//! The body of an answer on its way from the target to a router.
//!
//! Invariants:
//! - A stream reports exactly one [`Input::Ended`], also when it is dropped.
//! - A token stream that breaks goes on where it broke or is cut; nothing is
//!   repeated and nothing is left out.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use entity::AttemptId;
use futures::{FutureExt, Stream};
use node::body::{ChunkSource, TruncatedBody};
use node::client::{Client, IncomingBody, IncomingResponse};
use policy::AttemptEnd;
use tokio::sync::oneshot;

use crate::control::Input;
use crate::events::{Events, is_token_stream};
use crate::relay::{Meter, Reporter, ask_rest};
use crate::target::Probe;

/// The greatest number of times that one answer is resumed.
const MAX_RESUMES: u32 = 3;

/// What a stream needs to resume and to cancel on the target.
#[derive(Clone)]
pub struct Source {
    /// The client of the traffic thread.
    pub client: Client,
    /// The target's address.
    pub target: SocketAddr,
    /// The watch over the target.
    pub probe: Probe,
    /// Whether the target can resume and cancel the answer.
    pub is_completion: bool,
}

/// Where the bytes come from.
enum Feed {
    Body(Box<IncomingBody>),
    Resuming(JoinHandle<Option<IncomingResponse>>),
}

/// The stream of an answer.
pub struct TargetStream {
    source: Source,
    feed: Feed,
    /// What is known of a token stream.
    events: Option<Events>,
    resumes: u32,
    cancelled: oneshot::Receiver<()>,
    reporter: Reporter,
    attempt: AttemptId,
    meter: Meter,
    ended: bool,
}

impl TargetStream {
    /// Creates the stream of the answer to `attempt`.
    pub fn new(
        source: Source,
        response: IncomingResponse,
        cancelled: oneshot::Receiver<()>,
        reporter: Reporter,
        attempt: AttemptId,
    ) -> Self {
        let is_stream = source.is_completion && is_token_stream(response.status, &response.headers);
        Self {
            source,
            feed: Feed::Body(Box::new(response.body)),
            events: is_stream.then(Events::default),
            resumes: 0,
            cancelled,
            reporter,
            attempt,
            meter: Meter::new(),
            ended: false,
        }
    }

    fn end(&mut self, end: AttemptEnd) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        match end {
            AttemptEnd::Cancelled if self.source.is_completion => {
                self.source.probe.cancel(self.attempt.request);
            }
            AttemptEnd::Broken => self.source.probe.look(),
            _ => {}
        }
        let attempt = self.attempt;
        self.reporter.report(Input::Ended { attempt, end });
    }

    /// Takes in a part; returns what may be handed on, if there is anything.
    fn pass(&mut self, chunk: Bytes) -> Option<Bytes> {
        let part = match &mut self.events {
            Some(events) => events.pass(&chunk),
            None => chunk,
        };
        if let Some(cost) = self.meter.count(&part) {
            let attempt = self.attempt;
            self.reporter.report(Input::Streamed { attempt, cost });
        }
        (!part.is_empty()).then_some(part)
    }

    /// Whether a body that ends here is whole.
    fn is_whole(&self) -> bool {
        self.events.as_ref().is_none_or(Events::is_whole)
    }

    /// Asks the target for the rest of a stream; `false` if that is no use.
    fn resume(&mut self) -> bool {
        let Some(events) = &mut self.events else {
            return false;
        };
        if self.resumes >= MAX_RESUMES {
            return false;
        }
        self.resumes += 1;
        events.rewind();
        let (source, attempt, offset) = (self.source.clone(), self.attempt, events.count());
        let asking = async move { ask_rest(&source.client, source.target, attempt, offset).await };
        self.feed = Feed::Resuming(actix_rt::spawn(asking));
        true
    }

    fn cut(&mut self, end: AttemptEnd) -> Poll<Option<Result<Bytes, TruncatedBody>>> {
        self.end(end);
        Poll::Ready(Some(Err(TruncatedBody)))
    }
}

impl ChunkSource for TargetStream {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, TruncatedBody>>> {
        loop {
            if self.cancelled.poll_unpin(cx).is_ready() {
                return self.cut(AttemptEnd::Cancelled);
            }
            let next = match &mut self.feed {
                Feed::Resuming(asking) => match ready!(asking.poll_unpin(cx)) {
                    Ok(Some(response)) => {
                        self.feed = Feed::Body(Box::new(response.body));
                        continue;
                    }
                    _ => return self.cut(AttemptEnd::Broken),
                },
                Feed::Body(body) => ready!(Pin::new(body.as_mut()).poll_next(cx)),
            };
            match next {
                Some(Ok(chunk)) => {
                    if let Some(part) = self.pass(chunk) {
                        return Poll::Ready(Some(Ok(part)));
                    }
                }
                None if self.is_whole() => {
                    let cost = self.meter.total();
                    self.end(AttemptEnd::Answered { cost });
                    return Poll::Ready(None);
                }
                _ if self.resume() => {}
                _ => return self.cut(AttemptEnd::Broken),
            }
        }
    }
}

impl Drop for TargetStream {
    fn drop(&mut self) {
        self.end(AttemptEnd::Cancelled);
    }
}
