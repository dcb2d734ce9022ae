//! Sends one attempt and reads its whole answer.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use bytes::Bytes;

use super::check::{Expected, Flaw, RefusalBody, StreamReader, check_receipt, check_whole};
use super::http1::{self, ExchangeError};

/// The greatest answer that is read, in bytes.
const MAX_ANSWER: usize = 4 << 20;

/// How a refusal says that nothing ran, in its body and in its header.
const NOT_RUN: [&str; 2] = ["not run", "not-run"];

/// How a refusal says that the request may have run.
const UNKNOWN: &str = "unknown";

/// One attempt.
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
    /// A request id of the caller's own; routers replace it.
    pub request: String,
    /// The body.
    pub body: Bytes,
    /// What the answer must be.
    pub expected: Expected,
}

/// How an attempt ended.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Ending {
    /// The whole answer came and is the right one.
    Answered,
    /// The system says that nothing ran.
    NotRun(RefusalBody),
    /// The system says that it may have run.
    Unknown(RefusalBody),
    /// The target answered with an error status.
    Failed(u16),
    /// No connection could be made.
    Unreachable,
    /// The connection broke, visibly, or the time limit passed.
    Lost,
    /// The answer ended cleanly but is wrong.
    Wrong(Flaw),
}

/// An attempt's ending and the request id that the system gave it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Reply {
    /// The ending.
    pub ending: Ending,
    /// The request id on the response.
    pub request: Option<String>,
}

/// Sends an attempt; `progress` hears of each group of tokens as it arrives.
pub async fn send(
    router: SocketAddr,
    attempt: &Attempt,
    patience: Duration,
    progress: impl FnMut(u64),
) -> Reply {
    let ended = actix_rt::time::timeout(patience, exchange(router, attempt, progress)).await;
    match ended {
        Ok(Ok(reply)) => reply,
        Ok(Err(ExchangeError::Connect(_))) => Ending::Unreachable.into(),
        Ok(Err(_)) | Err(_) => Ending::Lost.into(),
    }
}

async fn exchange(
    router: SocketAddr,
    attempt: &Attempt,
    progress: impl FnMut(u64),
) -> Result<Reply, ExchangeError> {
    let authorization = format!("Bearer {}", attempt.api_key);
    let mut headers = vec![
        ("authorization", authorization.as_str()),
        ("content-type", "application/json"),
        ("x-request-id", attempt.request.as_str()),
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
    let request = response.head.header("x-request-id").map(str::to_owned);
    let ending = read(response, &attempt.expected, progress).await?;
    Ok(Reply { ending, request })
}

async fn read(
    mut response: http1::Response,
    expected: &Expected,
    mut progress: impl FnMut(u64),
) -> Result<Ending, ExchangeError> {
    let status = response.head.status;
    if let Expected::Stream(answer_text) = expected
        && status == 200
    {
        let mut reader = StreamReader::default();
        while let Some(piece) = response.next().await? {
            let tokens = reader.feed(&piece);
            if tokens > 0 {
                progress(tokens);
            }
        }
        return Ok(reader.finish(*answer_text).into());
    }
    let mut body = Vec::new();
    while let Some(piece) = response.next().await? {
        body.extend_from_slice(&piece);
        if body.len() > MAX_ANSWER {
            return Ok(Ending::Wrong(Flaw::Malformed));
        }
    }
    Ok(match status {
        200 => check(&body, expected, progress).into(),
        _ => refusal(status, &body),
    })
}

impl From<Ending> for Reply {
    fn from(ending: Ending) -> Self {
        Self {
            ending,
            request: None,
        }
    }
}

impl From<Result<(), Flaw>> for Ending {
    fn from(checked: Result<(), Flaw>) -> Self {
        match checked {
            Ok(()) => Self::Answered,
            Err(flaw) => Self::Wrong(flaw),
        }
    }
}

fn check(body: &[u8], expected: &Expected, mut progress: impl FnMut(u64)) -> Result<(), Flaw> {
    match expected {
        Expected::Whole(answer_text) | Expected::Stream(answer_text) => {
            progress(check_whole(body, *answer_text)?);
            Ok(())
        }
        Expected::Receipt { call, key, digest } => {
            check_receipt(body, call, key.as_deref(), digest)
        }
    }
}

/// Reads a refusal; a body that is none comes from the target.
pub fn refusal(status: u16, body: &[u8]) -> Ending {
    match serde_json::from_slice::<RefusalBody>(body) {
        Ok(refusal) if NOT_RUN.contains(&refusal.outcome.as_str()) => Ending::NotRun(refusal),
        Ok(refusal) if refusal.outcome == UNKNOWN => Ending::Unknown(refusal),
        _ => Ending::Failed(status),
    }
}
