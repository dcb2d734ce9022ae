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
use awc::error::SendRequestError;
use bytes::Bytes;
use entity::{AttemptId, Cost, TargetId};
use futures::Stream;
use node::body::{Chunks, CutBody};
use node::http::{forwarded, text};
use policy::message::{Reply, Verdict};
use policy::{AttemptResult, DispatchOrder};
use wire::{OFFER_HEADER, REPLY_HEADER, read_header, write_header};

use crate::control::{Input, Reporter};
use crate::exchange::Exchange;
use crate::respond::REQUEST_ID;

/// What came of sending an attempt.
pub enum Relayed {
    /// The agent answers: the response follows.
    Answer(ClientResponse),
    /// The attempt ended without an answer.
    Ended(AttemptResult),
}

/// Sends an attempt and waits for the head of the agent's response.
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
    match request.send_body(exchange.body.clone()).await {
        Ok(response) => judge(order, response, reporter),
        Err(SendRequestError::Connect(_)) => Relayed::Ended(AttemptResult::Unsent),
        Err(_) => Relayed::Ended(AttemptResult::Broken { delivered: false }),
    }
}

/// Whether a caller's header goes to the target.
fn passes(name: &HeaderName) -> bool {
    forwarded(name) && !["authorization", "host", REQUEST_ID].contains(&name.as_str())
}

fn judge(order: &DispatchOrder, response: ClientResponse, reporter: &Reporter) -> Relayed {
    let attempt = order.offer.attempt;
    let reply = text(response.headers(), REPLY_HEADER).map(read_header::<Reply>);
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
        Verdict::Answered => Relayed::Answer(response),
        Verdict::NotRun(refusal) => Relayed::Ended(AttemptResult::NotRun(refusal)),
        Verdict::Unknown(refusal) => Relayed::Ended(AttemptResult::Unknown(refusal)),
    }
}

/// The body of an answer on its way from an agent to the caller.
pub struct AnswerStream {
    response: ClientResponse,
    reporter: Reporter,
    attempt: AttemptId,
    target: TargetId,
    bytes: u64,
    ended: bool,
}

impl AnswerStream {
    /// Creates the stream of the answer to `order`.
    pub fn new(response: ClientResponse, reporter: Reporter, order: &DispatchOrder) -> Self {
        let attempt = order.offer.attempt;
        let target = order.target;
        Self {
            response,
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

impl Chunks for AnswerStream {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, CutBody>>> {
        match Pin::new(&mut self.response).poll_next(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(chunk))) => {
                self.bytes += chunk.len() as u64;
                Poll::Ready(Some(Ok(chunk)))
            }
            Poll::Ready(Some(Err(_))) => {
                self.end(AttemptResult::Broken { delivered: true });
                Poll::Ready(Some(Err(CutBody)))
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
