//! Sends one attempt of a request and reads the response.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use bytes::Bytes;

use super::check::{AnswerDefect, Expected, RefusalBody, StreamReader, check_receipt, check_whole};
use super::http1::{self, ExchangeError};

/// The maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// The values of `outcome` for a request that did not run: the form in the body and the form in
/// the header.
const NOT_RUN: [&str; 2] = ["not run", "not-run"];

/// The value of `outcome` for a request that may have run.
const UNKNOWN: &str = "unknown";

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The API key.
    pub api_key: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// The caller's request id, which routers replace.
    pub request_id: String,
    /// The body.
    pub body: Bytes,
    /// The expected answer.
    pub expected: Expected,
}

/// The outcome of an attempt.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum AttemptOutcome {
    /// The answer is complete and correct.
    Answered,
    /// The system reported that the request did not run.
    NotRun(RefusalBody),
    /// The system reported that the request may have run.
    Unknown(RefusalBody),
    /// The target responded with an error status.
    Failed(u16),
    /// No connection could be made.
    Unreachable,
    /// The connection was lost or the timeout expired.
    Lost,
    /// The transfer ended without an error but the answer is incorrect.
    Wrong(AnswerDefect),
}

/// The outcome of an attempt and the request id that the system assigned.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Reply {
    /// The outcome.
    pub outcome: AttemptOutcome,
    /// The request id in the response header.
    pub request_id: Option<String>,
}

/// Sends an attempt and calls `on_tokens` with the number of tokens in each piece that arrives.
pub async fn send(
    router: SocketAddr,
    attempt: &Attempt,
    timeout: Duration,
    on_tokens: impl FnMut(u64),
) -> Reply {
    let ended = actix_rt::time::timeout(timeout, exchange(router, attempt, on_tokens)).await;
    match ended {
        Ok(Ok(reply)) => reply,
        Ok(Err(ExchangeError::Connect(_))) => AttemptOutcome::Unreachable.into(),
        Ok(Err(_)) | Err(_) => AttemptOutcome::Lost.into(),
    }
}

async fn exchange(
    router: SocketAddr,
    attempt: &Attempt,
    on_tokens: impl FnMut(u64),
) -> Result<Reply, ExchangeError> {
    let authorization = format!("Bearer {}", attempt.api_key);
    let mut headers = vec![
        ("authorization", authorization.as_str()),
        ("content-type", "application/json"),
        ("x-request-id", attempt.request_id.as_str()),
    ];
    if let Some(key) = &attempt.key {
        headers.push(("idempotency-key", key));
    }
    let request = http1::Request {
        method: attempt.method.as_str(),
        path: &attempt.path,
        headers,
        body: &attempt.body,
    };
    let response = http1::send(router, &request).await?;
    let request_id = response.head.header("x-request-id").map(str::to_owned);
    let outcome = read(response, &attempt.expected, on_tokens).await?;
    Ok(Reply {
        outcome,
        request_id,
    })
}

async fn read(
    mut response: http1::Response,
    expected: &Expected,
    mut on_tokens: impl FnMut(u64),
) -> Result<AttemptOutcome, ExchangeError> {
    let status = response.head.status;
    if let Expected::Stream(answer_text) = expected
        && status == 200
    {
        let mut reader = StreamReader::default();
        while let Some(piece) = response.next().await? {
            let tokens = reader.feed(&piece);
            if tokens > 0 {
                on_tokens(tokens);
            }
        }
        return Ok(reader.finish(*answer_text).into());
    }
    let mut body = Vec::new();
    while let Some(piece) = response.next().await? {
        body.extend_from_slice(&piece);
        if body.len() > MAX_RESPONSE_BYTES {
            return Ok(AttemptOutcome::Wrong(AnswerDefect::Malformed));
        }
    }
    Ok(match status {
        200 => check_body(&body, expected, on_tokens).into(),
        _ => parse_refusal(status, &body),
    })
}

impl From<AttemptOutcome> for Reply {
    fn from(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            request_id: None,
        }
    }
}

impl From<Result<(), AnswerDefect>> for AttemptOutcome {
    fn from(checked: Result<(), AnswerDefect>) -> Self {
        match checked {
            Ok(()) => Self::Answered,
            Err(defect) => Self::Wrong(defect),
        }
    }
}

fn check_body(
    body: &[u8],
    expected: &Expected,
    mut on_tokens: impl FnMut(u64),
) -> Result<(), AnswerDefect> {
    match expected {
        Expected::Whole(answer_text) | Expected::Stream(answer_text) => {
            on_tokens(check_whole(body, *answer_text)?);
            Ok(())
        }
        Expected::Receipt { call, key, digest } => {
            check_receipt(body, call, key.as_deref(), digest)
        }
    }
}

/// Parses a refusal. Any other body is an error response of the target.
pub fn parse_refusal(status: u16, body: &[u8]) -> AttemptOutcome {
    match serde_json::from_slice::<RefusalBody>(body) {
        Ok(refusal) if NOT_RUN.contains(&refusal.outcome.as_str()) => {
            AttemptOutcome::NotRun(refusal)
        }
        Ok(refusal) if refusal.outcome == UNKNOWN => AttemptOutcome::Unknown(refusal),
        _ => AttemptOutcome::Failed(status),
    }
}
