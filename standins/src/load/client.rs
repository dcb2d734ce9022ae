//! Sends one attempt and reads its whole answer.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use awc::{Client, ClientResponse, Connector};
use bytes::Bytes;
use futures::StreamExt as _;

use super::check::{Expected, Flaw, RefusalBody, StreamReader, check_receipt, check_whole};

/// The time limit for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

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

/// Makes the client of a run.
pub fn client(patience: Duration) -> Client {
    let connector = Connector::new().limit(0).timeout(CONNECT_TIMEOUT);
    Client::builder()
        .connector(connector)
        .timeout(patience)
        .finish()
}

/// Sends an attempt; `progress` hears of each group of tokens as it arrives.
pub async fn send(
    client: &Client,
    router: SocketAddr,
    attempt: &Attempt,
    progress: impl FnMut(u64),
) -> Reply {
    let mut request = client
        .request(
            attempt.method.clone(),
            format!("http://{router}{}", attempt.path),
        )
        .insert_header(("authorization", format!("Bearer {}", attempt.api_key)))
        .insert_header(("x-request-id", attempt.request.as_str()))
        .insert_header(("content-type", "application/json"));
    if let Some(key) = &attempt.key {
        request = request.insert_header(("idempotency-key", key.as_str()));
    }
    match request.send_body(attempt.body.clone()).await {
        Ok(response) => read(response, &attempt.expected, progress).await,
        Err(awc::error::SendRequestError::Connect(_)) => Reply {
            ending: Ending::Unreachable,
            request: None,
        },
        Err(_) => Reply {
            ending: Ending::Lost,
            request: None,
        },
    }
}

async fn read<S>(
    mut response: ClientResponse<S>,
    expected: &Expected,
    mut progress: impl FnMut(u64),
) -> Reply
where
    S: futures::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let header = |name| {
        response
            .headers()
            .get(name)?
            .to_str()
            .ok()
            .map(str::to_owned)
    };
    let request = header("x-request-id");
    let status = response.status().as_u16();
    let ending = match expected {
        Expected::Stream(script) if status == 200 => {
            let mut reader = StreamReader::default();
            let whole = drain(&mut response, |piece| {
                let tokens = reader.feed(piece);
                if tokens > 0 {
                    progress(tokens);
                }
            });
            match whole.await {
                false => Ending::Lost,
                true => reader.finish(*script).into(),
            }
        }
        _ => {
            let mut body = Vec::new();
            let whole = drain(&mut response, |piece| body.extend_from_slice(piece)).await;
            match status {
                _ if !whole => Ending::Lost,
                200 => check(&body, expected, progress).into(),
                _ => refusal(status, &body),
            }
        }
    };
    Reply { ending, request }
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
        Expected::Whole(script) | Expected::Stream(script) => {
            progress(check_whole(body, *script)?);
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

async fn drain<S>(response: &mut ClientResponse<S>, mut take: impl FnMut(&[u8])) -> bool
where
    S: futures::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut size = 0;
    while let Some(piece) = response.next().await {
        let Ok(piece) = piece else { return false };
        size += piece.len();
        if size > MAX_ANSWER {
            return false;
        }
        take(&piece);
    }
    true
}
