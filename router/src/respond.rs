//! Responses that the router makes itself.

use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Response, ResponseHead, StatusCode};
use bytes::Bytes;
use entity::{
    IdempotencyKey, Outcome, Reason, Refusal, RequestId, RetryAdvice, SendPermit, Ticket,
};
use node::body::Body;
use policy::status::{ANSWERED, Ending, OUTCOME_HEADER};
use serde::Serialize;

use crate::exchange::Rejection;
use crate::filter::KEY_HEADER;
use crate::relay::AnswerStream;

/// Carries the request id on every response.
pub const REQUEST_ID: &str = "x-request-id";

/// A response of the router.
pub type Answer = Response<Body<AnswerStream>>;

/// What a refused caller reads.
#[derive(Serialize)]
struct RefusalBody<'a> {
    outcome: &'a str,
    reason: Reason,
    message: String,
    request: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    rule: Option<String>,
    retry: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u128>,
}

/// The response to a rejected request: the filters precede every hand-over.
pub fn rejected(request: RequestId, rejection: Rejection) -> Answer {
    let proof = SendPermit::new().cancel();
    finished(
        request,
        &Outcome::NotRun {
            refusal: rejection.refusal,
            proof,
        },
    )
}

/// The response to a request that ended without an answer.
///
/// # Panics
///
/// Panics if the outcome is an answer, which is relayed and not made here.
pub fn finished(request: RequestId, outcome: &Outcome) -> Answer {
    let ending = Ending::of(outcome).expect("an answer is relayed");
    match outcome {
        Outcome::Answered { .. } => unreachable!("an answer has no ending"),
        Outcome::NotRun { refusal, .. } | Outcome::Unknown { refusal } => {
            refuse(request, ending, refusal)
        }
    }
}

fn refuse(request: RequestId, ending: Ending, refusal: &Refusal) -> Answer {
    let (retry, after) = match refusal.retry {
        RetryAdvice::Never => ("never", None),
        RetryAdvice::After(delay) => ("after", Some(delay)),
        RetryAdvice::VerifyFirst => ("verify-first", None),
    };
    let body = RefusalBody {
        outcome: ending.outcome,
        reason: refusal.reason,
        message: refusal.reason.to_string(),
        request: request.to_string(),
        rule: refusal.rule.map(|rule| rule.to_string()),
        retry,
        retry_after_ms: after.map(|delay| delay.as_millis()),
    };
    let body = serde_json::to_vec(&body).expect("the body has string keys");
    let status = StatusCode::from_u16(ending.status).expect("the table holds valid statuses");
    let mut response = Response::with_body(status, Body::Full(Bytes::from(body)));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    mark(headers, request, ending.outcome);
    if let Some(seconds) = ending.retry_after {
        headers.insert(
            HeaderName::from_static("retry-after"),
            HeaderValue::from(seconds),
        );
    }
    response
}

/// What a caller reads that asked for a ticket.
#[derive(Serialize)]
struct TicketBody {
    key: String,
    expires_ms: u64,
}

/// The response that carries a ticket.
pub fn ticket(request: RequestId, ticket: &Ticket) -> Answer {
    let body = TicketBody {
        key: ticket.to_string(),
        expires_ms: ticket.expires,
    };
    let body = serde_json::to_vec(&body).expect("the body has string keys");
    let mut response = Response::with_body(StatusCode::OK, Body::Full(Bytes::from(body)));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    mark(headers, request, ANSWERED);
    response
}

/// Adds the key that was minted for a request to its response's headers.
pub fn mark_key(headers: &mut HeaderMap, key: &IdempotencyKey) {
    let key = HeaderValue::from_str(&key.to_string()).expect("a key is plain text");
    headers.insert(HeaderName::from_static(KEY_HEADER), key);
}

/// Adds the request id and the outcome to a response's headers.
pub fn mark(headers: &mut HeaderMap, request: RequestId, outcome: &str) {
    let id = HeaderValue::from_str(&request.to_string()).expect("an id is plain text");
    headers.insert(HeaderName::from_static(REQUEST_ID), id);
    let outcome = HeaderValue::from_str(outcome).expect("an outcome is plain text");
    headers.insert(HeaderName::from_static(OUTCOME_HEADER), outcome);
}

/// Copies the headers that may pass from a target's response to the caller.
pub fn copy_headers(from: &HeaderMap, to: &mut ResponseHead) {
    for (name, value) in from
        .iter()
        .filter(|(name, _)| node::http::is_forwardable(name))
    {
        to.headers_mut().append(name.clone(), value.clone());
    }
}
