//! Streaming of answer bodies from the target to a router.
//!
//! Invariants:
//! - A stream reports exactly one [`Input::Ended`], also when it is dropped.
//! - A token stream that breaks is either resumed where it broke or ended with
//!   an error; no event is repeated or omitted.

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
use crate::events::{EventSplitter, is_token_stream};
use crate::relay::{CostMeter, Reporter, request_rest};
use crate::target::TargetProbe;

/// The maximum number of resumes of one answer.
const MAX_RESUMES: u32 = 3;

/// The means to resume and cancel an answer on the target.
#[derive(Clone)]
pub struct AnswerSource {
    /// The client of the traffic thread.
    pub client: Client,
    /// The target's address.
    pub target: SocketAddr,
    /// The channel to the target monitor.
    pub probe: TargetProbe,
    /// Whether the target can resume and cancel the answer.
    pub is_completion: bool,
}

/// The source of the body's bytes.
enum BodySource {
    Body(Box<IncomingBody>),
    Resuming(JoinHandle<Option<IncomingResponse>>),
}

/// The body stream of an answer.
pub struct TargetStream {
    source: AnswerSource,
    body_source: BodySource,
    /// The event splitter if the answer is a token stream.
    events: Option<EventSplitter>,
    resumes: u32,
    cancelled: oneshot::Receiver<()>,
    reporter: Reporter,
    attempt: AttemptId,
    meter: CostMeter,
    is_ended: bool,
}

impl TargetStream {
    /// Creates the stream of the answer to `attempt`.
    pub fn new(
        source: AnswerSource,
        response: IncomingResponse,
        cancelled: oneshot::Receiver<()>,
        reporter: Reporter,
        attempt: AttemptId,
    ) -> Self {
        let is_token_stream_answer =
            source.is_completion && is_token_stream(response.status, &response.headers);
        Self {
            source,
            body_source: BodySource::Body(Box::new(response.body)),
            events: is_token_stream_answer.then(EventSplitter::default),
            resumes: 0,
            cancelled,
            reporter,
            attempt,
            meter: CostMeter::new(),
            is_ended: false,
        }
    }

    fn end(&mut self, end: AttemptEnd) {
        if std::mem::replace(&mut self.is_ended, true) {
            return;
        }
        match end {
            AttemptEnd::Cancelled if self.source.is_completion => {
                self.source.probe.cancel(self.attempt.request);
            }
            AttemptEnd::Broken => self.source.probe.check(),
            _ => {}
        }
        let attempt = self.attempt;
        self.reporter.report(Input::Ended { attempt, end });
    }

    /// Processes a chunk; returns the bytes to forward, if there are any.
    fn process_chunk(&mut self, chunk: Bytes) -> Option<Bytes> {
        let bytes = match &mut self.events {
            Some(events) => events.push(&chunk),
            None => chunk,
        };
        if let Some(cost) = self.meter.add(&bytes) {
            let attempt = self.attempt;
            self.reporter.report(Input::Streamed { attempt, cost });
        }
        (!bytes.is_empty()).then_some(bytes)
    }

    /// Returns whether the body is complete if it ends here.
    fn is_complete(&self) -> bool {
        self.events.as_ref().is_none_or(EventSplitter::is_complete)
    }

    /// Starts to request the rest of a stream; returns `false` if the stream cannot be resumed.
    fn resume(&mut self) -> bool {
        let Some(events) = &mut self.events else {
            return false;
        };
        if self.resumes >= MAX_RESUMES {
            return false;
        }
        self.resumes += 1;
        events.discard_partial();
        let (source, attempt, offset) = (self.source.clone(), self.attempt, events.count());
        let rest_request =
            async move { request_rest(&source.client, source.target, attempt, offset).await };
        self.body_source = BodySource::Resuming(actix_rt::spawn(rest_request));
        true
    }

    fn fail(&mut self, end: AttemptEnd) -> Poll<Option<Result<Bytes, TruncatedBody>>> {
        self.end(end);
        Poll::Ready(Some(Err(TruncatedBody)))
    }
}

impl ChunkSource for TargetStream {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, TruncatedBody>>> {
        loop {
            if self.cancelled.poll_unpin(cx).is_ready() {
                return self.fail(AttemptEnd::Cancelled);
            }
            let next = match &mut self.body_source {
                BodySource::Resuming(rest_request) => match ready!(rest_request.poll_unpin(cx)) {
                    Ok(Some(response)) => {
                        self.body_source = BodySource::Body(Box::new(response.body));
                        continue;
                    }
                    _ => return self.fail(AttemptEnd::Broken),
                },
                BodySource::Body(body) => ready!(Pin::new(body.as_mut()).poll_next(cx)),
            };
            match next {
                Some(Ok(chunk)) => {
                    if let Some(bytes) = self.process_chunk(chunk) {
                        return Poll::Ready(Some(Ok(bytes)));
                    }
                }
                None if self.is_complete() => {
                    let cost = self.meter.total_cost();
                    self.end(AttemptEnd::Answered { cost });
                    return Poll::Ready(None);
                }
                _ if self.resume() => {}
                _ => return self.fail(AttemptEnd::Broken),
            }
        }
    }
}

impl Drop for TargetStream {
    fn drop(&mut self) {
        self.end(AttemptEnd::Cancelled);
    }
}
