//! Sending of attempts to agents and relaying of their answers.
//!
//! Invariants:
//! - An answer is relayed only if it names the attempt that was sent.
//! - An [`AnswerStream`] reports exactly one end, also when it is dropped.

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
use crate::respond::REQUEST_ID_HEADER;

/// The result of sending an attempt to an agent.
pub enum SendResult {
    /// The agent answered with this response.
    Answer(Box<IncomingResponse>),
    /// The attempt ended without an answer.
    Ended(AttemptResult),
}

/// Sends an attempt to its agent and waits for the first bytes of the answer.
pub async fn send(
    client: &Client,
    exchange: &Exchange,
    order: &DispatchOrder,
    reporter: &Reporter,
) -> SendResult {
    match client
        .send(order.data, agent_request(exchange, order))
        .await
    {
        Ok(response) => check_response(order, response, reporter).await,
        Err(SendError::Unsent) => SendResult::Ended(AttemptResult::Unsent),
        Err(SendError::Broken) => SendResult::Ended(AttemptResult::Broken { delivered: false }),
    }
}

fn agent_request(exchange: &Exchange, order: &DispatchOrder) -> OutgoingRequest {
    let mut headers = HeaderMap::new();
    for (name, value) in exchange
        .headers
        .iter()
        .filter(|(name, _)| is_sent_to_target(name))
    {
        headers.append(name.clone(), value.clone());
    }
    let mut insert = |name: &'static str, value: String| {
        let value =
            HeaderValue::from_str(&value).expect("internal headers are valid header values");
        headers.insert(HeaderName::from_static(name), value);
    };
    insert(OFFER_HEADER, encode_header(&order.offer));
    insert(REQUEST_ID_HEADER, exchange.request.to_string());
    if let (None, Some(issued_key)) = (exchange.key, order.offer.key) {
        insert(KEY_HEADER, issued_key.to_string());
    }
    OutgoingRequest {
        method: exchange.method.clone(),
        uri: exchange.uri.clone(),
        headers,
        body: exchange.body.clone(),
    }
}

/// Returns whether a caller's header is forwarded to the target.
fn is_sent_to_target(name: &HeaderName) -> bool {
    is_forwardable(name) && !["authorization", "host", REQUEST_ID_HEADER].contains(&name.as_str())
}

async fn check_response(
    order: &DispatchOrder,
    mut response: IncomingResponse,
    reporter: &Reporter,
) -> SendResult {
    let attempt = order.offer.attempt;
    let reply = header_text(&response.headers, REPLY_HEADER).map(decode_header::<Reply>);
    let Some(Ok(reply)) = reply else {
        return SendResult::Ended(AttemptResult::Broken { delivered: false });
    };
    if reply.attempt != attempt {
        reporter.report(Input::Mismatched {
            expected: attempt,
            answered: reply.attempt,
        });
        return SendResult::Ended(AttemptResult::Broken { delivered: false });
    }
    reporter.report(Input::LoadReported {
        target: order.target,
        incarnation: reply.incarnation,
        load: reply.load,
    });
    match reply.verdict {
        // A target that fails before its first byte has delivered nothing.
        Verdict::Answered => match response.body.prefetch().await {
            Ok(()) => SendResult::Answer(Box::new(response)),
            Err(TruncatedBody) => SendResult::Ended(AttemptResult::Broken { delivered: false }),
        },
        Verdict::NotRun(refusal) => SendResult::Ended(AttemptResult::NotRun(refusal)),
        Verdict::Unknown(refusal) => SendResult::Ended(AttemptResult::Unknown(refusal)),
    }
}

/// The body stream of an answer from an agent to the caller.
pub struct AnswerStream {
    body: IncomingBody,
    reporter: Reporter,
    attempt: AttemptId,
    target: TargetId,
    bytes: u64,
    is_ended: bool,
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
            is_ended: false,
        }
    }

    /// Returns the target of the attempt.
    pub fn target(&self) -> TargetId {
        self.target
    }

    fn end(&mut self, result: AttemptResult) {
        if !std::mem::replace(&mut self.is_ended, true) {
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
        if !std::mem::replace(&mut self.is_ended, true) {
            self.reporter
                .report(Input::CallerGone(self.attempt.request));
        }
    }
}
