//! Sends attempts to agents and relays their answers.
//!
//! Invariants:
//! - An answer is relayed only if it names the attempt that was sent.
//! - An [`AnswerStream`] reports exactly one ending, also when it is dropped.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::Method;
use actix_http::header::HeaderName;
use awc::ClientResponse;
use awc::error::{ConnectError, SendRequestError};
use bytes::Bytes;
use entity::{AttemptId, Cost, TargetId};
use futures::{Stream, StreamExt};
use node::body::{Chunks, CutBody};
use node::frame::{Deframer, Frame};
use node::http::{forwarded, text};
use policy::message::{Reply, Verdict};
use policy::{AttemptResult, DispatchOrder};
use wire::{OFFER_HEADER, REPLY_HEADER, read_header, write_header};

use crate::control::{Input, Reporter};
use crate::exchange::Exchange;
use crate::filter::KEY_HEADER;
use crate::respond::REQUEST_ID;

/// The end of an attempt that may have run and of whose answer nothing was handed on.
const BROKEN: AttemptResult = AttemptResult::Broken { delivered: false };

/// The beginning of an answer.
pub struct Head {
    /// The response whose body goes on.
    pub response: ClientResponse,
    first: Frame,
    frames: Deframer,
}

/// What came of sending an attempt.
pub enum Relayed {
    /// The agent answers.
    Answer(Head),
    /// The attempt ended without an answer.
    Ended(AttemptResult),
}

/// Sends an attempt and waits for the first part of the agent's answer.
pub async fn send(
    client: &awc::Client,
    exchange: &Exchange,
    order: &DispatchOrder,
    reporter: &Reporter,
) -> Relayed {
    let url = format!("http://{}{}", order.data, exchange.uri);
    let method: Method = exchange.method.clone();
    let mut request = client.request(method, url).no_decompress();
    for (name, value) in exchange.headers.iter().filter(|(name, _)| passes(name)) {
        request.headers_mut().append(name.clone(), value.clone());
    }
    let request = request
        .insert_header((OFFER_HEADER, write_header(&order.offer)))
        .insert_header((REQUEST_ID, exchange.request.to_string()));
    let request = match (exchange.key, order.offer.key) {
        (None, Some(minted)) => request.insert_header((KEY_HEADER, minted.to_string())),
        _ => request,
    };
    match request.send_body(exchange.body.clone()).await {
        Ok(response) => judge(order, response, reporter).await,
        Err(error) => Relayed::Ended(failure(&error)),
    }
}

/// How an attempt ended that got no response.
///
/// The client reports a connection that closed before the response as one that
/// was never opened, although the request had been sent.
fn failure(error: &SendRequestError) -> AttemptResult {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => BROKEN,
        SendRequestError::Connect(_) => AttemptResult::Unsent,
        _ => BROKEN,
    }
}

/// Whether a caller's header goes to the target.
fn passes(name: &HeaderName) -> bool {
    forwarded(name) && !["authorization", "host", REQUEST_ID].contains(&name.as_str())
}

async fn judge(
    order: &DispatchOrder,
    mut response: ClientResponse,
    reporter: &Reporter,
) -> Relayed {
    let attempt = order.offer.attempt;
    let reply = text(response.headers(), REPLY_HEADER).map(read_header::<Reply>);
    let Some(Ok(reply)) = reply else {
        return Relayed::Ended(BROKEN);
    };
    if reply.attempt != attempt {
        reporter.report(Input::Mismatched {
            expected: attempt,
            answered: reply.attempt,
        });
        return Relayed::Ended(BROKEN);
    }
    reporter.report(Input::Loaded {
        target: order.target,
        incarnation: reply.incarnation,
        load: reply.load,
    });
    match reply.verdict {
        Verdict::Answered => {
            let mut frames = Deframer::default();
            while let Some(Ok(chunk)) = response.next().await {
                frames.push(&chunk);
                if let Some(first) = frames.next_frame() {
                    return Relayed::Answer(Head {
                        response,
                        first,
                        frames,
                    });
                }
            }
            Relayed::Ended(BROKEN)
        }
        Verdict::NotRun(refusal) => Relayed::Ended(AttemptResult::NotRun(refusal)),
        Verdict::Unknown(refusal) => Relayed::Ended(AttemptResult::Unknown(refusal)),
    }
}

/// The body of an answer on its way from an agent to the caller.
pub struct AnswerStream {
    response: ClientResponse,
    first: Option<Frame>,
    frames: Deframer,
    reporter: Reporter,
    attempt: AttemptId,
    target: TargetId,
    is_whole: bool,
    ended: bool,
}

impl AnswerStream {
    /// Creates the stream of the answer to `order`.
    pub fn new(head: Head, reporter: Reporter, order: &DispatchOrder) -> Self {
        Self {
            response: head.response,
            first: Some(head.first),
            frames: head.frames,
            reporter,
            attempt: order.offer.attempt,
            target: order.target,
            is_whole: false,
            ended: false,
        }
    }

    /// The target that answers.
    pub fn target(&self) -> TargetId {
        self.target
    }

    fn end(&mut self, result: AttemptResult) {
        if !std::mem::replace(&mut self.ended, true) {
            self.reporter.report(Input::Ended {
                attempt: self.attempt,
                result,
            });
        }
    }
}

impl Chunks for AnswerStream {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, CutBody>>> {
        loop {
            let frame = self.first.take().or_else(|| self.frames.next_frame());
            match frame {
                Some(Frame::Data(chunk)) => return Poll::Ready(Some(Ok(chunk))),
                Some(Frame::End) => self.is_whole = true,
                None => {}
            }
            // The connection is read to its end, so that it can be used again.
            match Pin::new(&mut self.response).poll_next(cx) {
                Poll::Pending if self.is_whole => {}
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(chunk))) if !self.is_whole => {
                    self.frames.push(&chunk);
                    continue;
                }
                Poll::Ready(_) if self.is_whole => {}
                Poll::Ready(_) => {
                    self.end(AttemptResult::Broken { delivered: true });
                    return Poll::Ready(Some(Err(CutBody)));
                }
            }
            self.end(AttemptResult::Answered { cost: Cost::ZERO });
            return Poll::Ready(None);
        }
    }
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        if !std::mem::replace(&mut self.ended, true) {
            self.reporter
                .report(Input::CallerGone(self.attempt.request));
        }
    }
}
