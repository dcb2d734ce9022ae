//! Responses that the router creates itself.

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

/// The header that carries the request id on every response.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// A response of the router.
pub type RouterResponse = Response<Body<AnswerStream>>;

/// The response body of a refused request.
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

/// Returns the response to a request that a filter rejected; nothing was sent to an agent.
pub fn rejection_response(request: RequestId, rejection: Rejection) -> RouterResponse {
    let proof = SendPermit::new().cancel();
    outcome_response(
        request,
        &Outcome::NotRun {
            refusal: rejection.refusal,
            proof,
        },
    )
}

/// Returns the response to a request that ended without an answer.
///
/// # Panics
///
/// Panics if the outcome is an answer, which is relayed instead.
pub fn outcome_response(request: RequestId, outcome: &Outcome) -> RouterResponse {
    let ending = Ending::of(outcome).expect("answers are relayed");
    match outcome {
        Outcome::Answered { .. } => unreachable!("an answer has no ending"),
        Outcome::NotRun { refusal, .. } | Outcome::Unknown { refusal } => {
            refusal_response(request, ending, refusal)
        }
    }
}

fn refusal_response(request: RequestId, ending: Ending, refusal: &Refusal) -> RouterResponse {
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
    let status =
        StatusCode::from_u16(ending.status).expect("the status table contains valid statuses");
    let mut response = Response::with_body(status, Body::Full(Bytes::from(body)));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    insert_outcome_headers(headers, request, ending.outcome);
    if let Some(seconds) = ending.retry_after {
        headers.insert(
            HeaderName::from_static("retry-after"),
            HeaderValue::from(seconds),
        );
    }
    response
}

/// The response body of a ticket request.
#[derive(Serialize)]
struct TicketBody {
    key: String,
    expires_ms: u64,
}

/// Returns the response that carries a ticket.
pub fn ticket_response(request: RequestId, ticket: &Ticket) -> RouterResponse {
    let body = TicketBody {
        key: ticket.to_string(),
        expires_ms: ticket.expires,
    };
    let body = serde_json::to_vec(&body).expect("the body has string keys");
    let mut response = Response::with_body(StatusCode::OK, Body::Full(Bytes::from(body)));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    insert_outcome_headers(headers, request, ANSWERED);
    response
}

/// Adds the key that was issued for a request to the headers of its response.
pub fn insert_key_header(headers: &mut HeaderMap, key: &IdempotencyKey) {
    let key = HeaderValue::from_str(&key.to_string()).expect("a key is a valid header value");
    headers.insert(HeaderName::from_static(KEY_HEADER), key);
}

/// Adds the request id and the outcome to the headers of a response.
pub fn insert_outcome_headers(headers: &mut HeaderMap, request: RequestId, outcome: &str) {
    let id = HeaderValue::from_str(&request.to_string()).expect("an id is a valid header value");
    headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), id);
    let outcome = HeaderValue::from_str(outcome).expect("an outcome is a valid header value");
    headers.insert(HeaderName::from_static(OUTCOME_HEADER), outcome);
}

/// Copies the forwardable headers of a target's response to the caller's response.
pub fn copy_headers(from: &HeaderMap, to: &mut ResponseHead) {
    for (name, value) in from
        .iter()
        .filter(|(name, _)| node::http::is_forwardable(name))
    {
        to.headers_mut().append(name.clone(), value.clone());
    }
}
