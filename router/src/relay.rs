//! Sends attempts to agents and relays their answers.
//!
//! Invariants:
//! - An answer is relayed only if it names the attempt that was sent.
//! - An [`AnswerStream`] reports exactly one ending, also when it is dropped.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use bytes::Bytes;
use entity::{AttemptId, Cost, TargetId};
use futures::Stream;
use node::body::{ChunkSource, TruncatedBody};
use node::client::{Client, IncomingBody, IncomingResponse, OutgoingRequest, SendError};
use node::http::{header_text, is_forwardable};
use policy::message::{Reply, Verdict};
use policy::{AttemptResult, DispatchOrder};
use wire::{OFFER_HEADER, REPLY_HEADER, decode_header, encode_header};

use crate::control::{Input, Reporter};
use crate::exchange::Exchange;
use crate::filter::KEY_HEADER;
use crate::respond::REQUEST_ID;

/// What came of sending an attempt.
pub enum Relayed {
    /// The agent answers: the response follows.
    Answer(Box<IncomingResponse>),
    /// The attempt ended without an answer.
    Ended(AttemptResult),
}

/// Sends an attempt and waits for the first bytes of the agent's answer.
pub async fn send(
    client: &Client,
    exchange: &Exchange,
    order: &DispatchOrder,
    reporter: &Reporter,
) -> Relayed {
    match client.send(order.data, outbound(exchange, order)).await {
        Ok(response) => judge(order, response, reporter).await,
        Err(SendError::Unsent) => Relayed::Ended(AttemptResult::Unsent),
        Err(SendError::Broken) => Relayed::Ended(AttemptResult::Broken { delivered: false }),
    }
}

fn outbound(exchange: &Exchange, order: &DispatchOrder) -> OutgoingRequest {
    let mut headers = HeaderMap::new();
    for (name, value) in exchange.headers.iter().filter(|(name, _)| passes(name)) {
        headers.append(name.clone(), value.clone());
    }
    let mut insert = |name: &'static str, value: String| {
        let value = HeaderValue::from_str(&value).expect("internal headers are plain text");
        headers.insert(HeaderName::from_static(name), value);
    };
    insert(OFFER_HEADER, encode_header(&order.offer));
    insert(REQUEST_ID, exchange.request.to_string());
    if let (None, Some(minted)) = (exchange.key, order.offer.key) {
        insert(KEY_HEADER, minted.to_string());
    }
    OutgoingRequest {
        method: exchange.method.clone(),
        uri: exchange.uri.clone(),
        headers,
        body: exchange.body.clone(),
    }
}

/// Whether a caller's header goes to the target.
fn passes(name: &HeaderName) -> bool {
    is_forwardable(name) && !["authorization", "host", REQUEST_ID].contains(&name.as_str())
}

async fn judge(
    order: &DispatchOrder,
    mut response: IncomingResponse,
    reporter: &Reporter,
) -> Relayed {
    let attempt = order.offer.attempt;
    let reply = header_text(&response.headers, REPLY_HEADER).map(decode_header::<Reply>);
    let Some(Ok(reply)) = reply else {
        return Relayed::Ended(AttemptResult::Broken { delivered: false });
    };
    if reply.attempt != attempt {
        reporter.report(Input::Mismatched {
            expected: attempt,
            answered: reply.attempt,
        });
        return Relayed::Ended(AttemptResult::Broken { delivered: false });
    }
    reporter.report(Input::Loaded {
        target: order.target,
        incarnation: reply.incarnation,
        load: reply.load,
    });
    match reply.verdict {
        // A target that dies before its first byte has delivered nothing.
        Verdict::Answered => match response.body.prefetch().await {
            Ok(()) => Relayed::Answer(Box::new(response)),
            Err(TruncatedBody) => Relayed::Ended(AttemptResult::Broken { delivered: false }),
        },
        Verdict::NotRun(refusal) => Relayed::Ended(AttemptResult::NotRun(refusal)),
        Verdict::Unknown(refusal) => Relayed::Ended(AttemptResult::Unknown(refusal)),
    }
}

/// The body of an answer on its way from an agent to the caller.
pub struct AnswerStream {
    body: IncomingBody,
    reporter: Reporter,
    attempt: AttemptId,
    target: TargetId,
    bytes: u64,
    ended: bool,
}

impl AnswerStream {
    /// Creates the stream of the answer to `order`.
    pub fn new(body: IncomingBody, reporter: Reporter, order: &DispatchOrder) -> Self {
        let attempt = order.offer.attempt;
        let target = order.target;
        Self {
            body,
            reporter,
            attempt,
            target,
            bytes: 0,
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

impl ChunkSource for AnswerStream {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, TruncatedBody>>> {
        match Pin::new(&mut self.body).poll_next(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(chunk))) => {
                self.bytes += chunk.len() as u64;
                Poll::Ready(Some(Ok(chunk)))
            }
            Poll::Ready(Some(Err(_))) => {
                self.end(AttemptResult::Broken { delivered: true });
                Poll::Ready(Some(Err(TruncatedBody)))
            }
            Poll::Ready(None) => {
                self.end(AttemptResult::Answered { cost: Cost::ZERO });
                Poll::Ready(None)
            }
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
