//! The body of an answer on its way from the target to a router.
//!
//! Invariants:
//! - A stream reports exactly one [`Input::Ended`], also when it is dropped.
//! - The end frame is sent only after a whole answer.
//! - A token stream that breaks goes on where it broke or is cut; nothing is
//!   repeated and nothing is left out.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_rt::task::JoinHandle;
use awc::ClientResponse;
use bytes::Bytes;
use entity::AttemptId;
use futures::{FutureExt, Stream};
use node::body::{Chunks, CutBody};
use node::frame;
use policy::AttemptEnd;
use tokio::sync::oneshot;

use crate::control::Input;
use crate::relay::{Head, Meter, Reporter};
use crate::target::Probe;
use crate::whole::Progress;

/// The greatest number of times that one answer is resumed.
const MAX_RESUMES: u32 = 3;

/// What a stream needs to resume and to cancel on the target.
#[derive(Clone)]
pub struct Source {
    /// The client of the traffic thread.
    pub client: awc::Client,
    /// The target's address as a URL without a final slash.
    pub target: String,
    /// The watch over the target.
    pub probe: Probe,
    /// Whether the target can resume and cancel the answer.
    pub is_completion: bool,
}

/// Where the bytes come from.
enum Feed {
    Body(ClientResponse),
    Resuming(JoinHandle<Option<ClientResponse>>),
}

/// The stream of an answer, framed for the router.
pub struct TargetStream {
    source: Source,
    feed: Feed,
    first: Bytes,
    progress: Progress,
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
        head: Head,
        cancelled: oneshot::Receiver<()>,
        reporter: Reporter,
        attempt: AttemptId,
    ) -> Self {
        let mut meter = Meter::new();
        meter.count(&head.first);
        Self {
            source,
            feed: Feed::Body(head.response),
            first: head.first,
            progress: head.progress,
            resumes: 0,
            cancelled,
            reporter,
            attempt,
            meter,
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

    /// Takes in a part; returns the frame to send, if there is one.
    fn pass(&mut self, chunk: Bytes) -> Option<Bytes> {
        let part = self.progress.pass(chunk);
        if let Some(cost) = self.meter.count(&part) {
            let attempt = self.attempt;
            self.reporter.report(Input::Streamed { attempt, cost });
        }
        (!part.is_empty()).then(|| frame::data(&part))
    }

    /// Asks the target for the rest of a stream; `false` if that is no use.
    fn resume(&mut self) -> bool {
        let can_resume = self.progress.is_stream() && self.resumes < MAX_RESUMES;
        if can_resume {
            self.resumes += 1;
            self.progress.rewind();
            let asking = ask_rest(
                self.source.clone(),
                self.attempt.request.to_string(),
                self.progress.events(),
            );
            self.feed = Feed::Resuming(actix_rt::spawn(asking));
        }
        can_resume
    }

    fn cut(&mut self, end: AttemptEnd) -> Poll<Option<Result<Bytes, CutBody>>> {
        self.end(end);
        Poll::Ready(Some(Err(CutBody)))
    }
}

/// Asks for the rest of a stream; the target must still hold it under this name.
async fn ask_rest(source: Source, request: String, offset: u32) -> Option<ClientResponse> {
    let url = format!("{}/v1/streams/{request}?offset={offset}", source.target);
    let response = source.client.get(url).no_decompress().send().await.ok()?;
    let echo = node::http::text(response.headers(), crate::relay::REQUEST_ID);
    let is_rest = response.status().is_success() && echo == Some(request.as_str());
    is_rest.then_some(response)
}

impl Chunks for TargetStream {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, CutBody>>> {
        if !self.first.is_empty() {
            let first = std::mem::take(&mut self.first);
            return Poll::Ready(Some(Ok(frame::data(&first))));
        }
        loop {
            if self.ended {
                return Poll::Ready(None);
            }
            if self.cancelled.poll_unpin(cx).is_ready() {
                return self.cut(AttemptEnd::Cancelled);
            }
            let next = match &mut self.feed {
                Feed::Resuming(asking) => match ready!(asking.poll_unpin(cx)) {
                    Ok(Some(response)) => {
                        self.feed = Feed::Body(response);
                        continue;
                    }
                    _ => return self.cut(AttemptEnd::Broken),
                },
                Feed::Body(response) => ready!(Pin::new(response).poll_next(cx)),
            };
            match next {
                Some(Ok(chunk)) => {
                    if let Some(frame) = self.pass(chunk) {
                        return Poll::Ready(Some(Ok(frame)));
                    }
                }
                None if self.progress.is_whole() => {
                    let cost = self.meter.total();
                    self.end(AttemptEnd::Answered { cost });
                    return Poll::Ready(Some(Ok(frame::end())));
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
