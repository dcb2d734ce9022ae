//! Sending of attempts to the target and reading of its answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use bytes::{Bytes, BytesMut};
use entity::{AttemptId, Cost};
use futures::StreamExt;
use node::body::TruncatedBody;
use node::client::{Client, IncomingBody, IncomingResponse, OutgoingRequest, SendError};
use node::http::header_text;
use policy::AttemptEnd;
use tokio::sync::{mpsc, oneshot};

use crate::control::Input;
use crate::events::{is_completion, is_token_stream};

/// The header that carries the request id to the target and back.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// The number of streamed tokens between two cost reports.
const COST_REPORT_TOKENS: i64 = 16;

/// The service time of one cost unit if the target streams no tokens.
const COST_UNIT_TIME: Duration = Duration::from_millis(1);

/// The channel from traffic threads to the control thread.
#[derive(Clone, Debug)]
pub struct Reporter(mpsc::Sender<Input>);

impl Reporter {
    /// Creates a reporter.
    pub fn new(inputs: mpsc::Sender<Input>) -> Self {
        Self(inputs)
    }

    /// Sends a report if the channel has room; returns `false` if the control thread is overloaded.
    pub fn try_report(&self, input: Input) -> bool {
        self.0.try_send(input).is_ok()
    }

    /// Sends a report that must not be lost; if the channel is full, a separate task waits for room.
    pub fn report(&self, input: Input) {
        if let Err(mpsc::error::TrySendError::Full(input)) = self.0.try_send(input) {
            let inputs = self.0.clone();
            actix_rt::spawn(async move { inputs.send(input).await });
        }
    }
}

/// The result of sending an attempt to the target.
pub enum SendResult {
    /// The target answered with this response.
    Answer(Box<IncomingResponse>),
    /// The attempt ended without an answer.
    Ended(AttemptEnd),
}

/// Sends an attempt to the target and waits for the first bytes of the answer.
pub async fn send(
    client: &Client,
    target: SocketAddr,
    attempt: AttemptId,
    outbound: OutgoingRequest,
    cancelled: &mut oneshot::Receiver<()>,
) -> SendResult {
    tokio::select! {
        biased;
        _ = cancelled => SendResult::Ended(AttemptEnd::Cancelled),
        sent = send_uncancelled(client, target, attempt, outbound) => sent,
    }
}

async fn send_uncancelled(
    client: &Client,
    target: SocketAddr,
    attempt: AttemptId,
    outbound: OutgoingRequest,
) -> SendResult {
    let is_completion = is_completion(outbound.uri.path());
    match client.send(target, outbound).await {
        // An answer to another request is never forwarded.
        Ok(response) if !is_answer_to(attempt, &response.headers) => {
            SendResult::Ended(AttemptEnd::Broken)
        }
        Ok(mut response) => match response.body.prefetch().await {
            Ok(()) => SendResult::Answer(Box::new(response)),
            Err(TruncatedBody)
                if is_completion && is_token_stream(response.status, &response.headers) =>
            {
                restart_stream(client, target, attempt).await
            }
            Err(TruncatedBody) => SendResult::Ended(AttemptEnd::Broken),
        },
        Err(SendError::Unsent) => SendResult::Ended(AttemptEnd::Unsent),
        Err(SendError::Broken) => SendResult::Ended(AttemptEnd::Broken),
    }
}

/// Requests a token stream that broke before its first token again.
async fn restart_stream(client: &Client, target: SocketAddr, attempt: AttemptId) -> SendResult {
    let Some(mut response) = request_rest(client, target, attempt, 0).await else {
        return SendResult::Ended(AttemptEnd::Broken);
    };
    match response.body.prefetch().await {
        Ok(()) => SendResult::Answer(Box::new(response)),
        Err(TruncatedBody) => SendResult::Ended(AttemptEnd::Broken),
    }
}

/// Requests the rest of a stream from an offset; the target must still have it under the request id.
pub async fn request_rest(
    client: &Client,
    target: SocketAddr,
    attempt: AttemptId,
    offset: u32,
) -> Option<IncomingResponse> {
    let request_id = attempt.request;
    let path = format!("/v1/streams/{request_id}?offset={offset}");
    let rest_request = OutgoingRequest {
        method: Method::GET,
        uri: Uri::try_from(path).expect("an id and a number form a valid path"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let response = client.send(target, rest_request).await.ok()?;
    let is_rest = response.status.is_success() && is_answer_to(attempt, &response.headers);
    is_rest.then_some(response)
}

/// Returns whether a response belongs to the attempt's request; a response without an id does.
pub fn is_answer_to(attempt: AttemptId, headers: &HeaderMap) -> bool {
    let echo = header_text(headers, REQUEST_ID_HEADER);
    echo.is_none_or(|echo| echo == attempt.request.to_string())
}

/// Measures the cost of an answer while its chunks are forwarded.
#[derive(Debug)]
pub struct CostMeter {
    started: Instant,
    tokens: i64,
    reported: i64,
}

impl CostMeter {
    /// Starts the measurement.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            tokens: 0,
            reported: 0,
        }
    }

    /// Adds a chunk; returns the unreported cost once it reaches `COST_REPORT_TOKENS`.
    pub fn add(&mut self, chunk: &[u8]) -> Option<Cost> {
        self.tokens += count_events(chunk);
        let unreported = self.tokens - self.reported;
        (unreported >= COST_REPORT_TOKENS).then(|| {
            self.reported = self.tokens;
            Cost(unreported)
        })
    }

    /// Returns the total cost: the tokens if the target streamed any, else the service time.
    pub fn total_cost(&self) -> Cost {
        match self.tokens {
            0 => Cost(
                (self.started.elapsed().as_micros() / COST_UNIT_TIME.as_micros()).max(1) as i64,
            ),
            tokens => Cost(tokens),
        }
    }
}

impl Default for CostMeter {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the number of server-sent events that begin in `chunk`.
fn count_events(chunk: &[u8]) -> i64 {
    const FIELD: &[u8] = b"data:";
    let lines = chunk.split(|&byte| byte == b'\n');
    lines.filter(|line| line.starts_with(FIELD)).count() as i64
}

/// The error of [`read_body`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReadError {
    /// The body broke or the attempt was cancelled.
    Cut,
    /// The body exceeds the limit.
    TooLarge,
}

/// Reads a complete answer body.
///
/// # Errors
///
/// Returns an error if the body breaks, exceeds `limit` bytes or is cancelled.
pub async fn read_body(
    body: &mut IncomingBody,
    limit: usize,
    cancelled: &mut oneshot::Receiver<()>,
    meter: &mut CostMeter,
) -> Result<Bytes, ReadError> {
    let mut body_bytes = BytesMut::new();
    loop {
        let chunk = tokio::select! {
            biased;
            _ = &mut *cancelled => return Err(ReadError::Cut),
            chunk = body.next() => chunk,
        };
        match chunk {
            None => return Ok(body_bytes.freeze()),
            Some(Ok(chunk)) if body_bytes.len() + chunk.len() <= limit => {
                meter.add(&chunk);
                body_bytes.extend_from_slice(&chunk);
            }
            Some(Ok(_)) => return Err(ReadError::TooLarge),
            Some(Err(TruncatedBody)) => return Err(ReadError::Cut),
        }
    }
}
