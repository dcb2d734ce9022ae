//! Sends attempts to the target and reads its answers.

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

/// Carries the request id to the target and back.
const REQUEST_ID: &str = "x-request-id";

/// The number of streamed tokens after which their cost is reported.
const REPORT_TOKENS: i64 = 16;

/// The service time that counts as one cost unit where the target streams no tokens.
const UNIT_TIME: Duration = Duration::from_millis(1);

/// The channel from traffic threads to the control thread.
#[derive(Clone, Debug)]
pub struct Reporter(mpsc::Sender<Input>);

impl Reporter {
    /// Creates a reporter.
    pub fn new(inputs: mpsc::Sender<Input>) -> Self {
        Self(inputs)
    }

    /// Reports if there is room; `false` if the control thread is overloaded.
    pub fn try_report(&self, input: Input) -> bool {
        self.0.try_send(input).is_ok()
    }

    /// Reports what must not be lost: waits for room on a task of its own if the channel is full.
    pub fn report(&self, input: Input) {
        if let Err(mpsc::error::TrySendError::Full(input)) = self.0.try_send(input) {
            let inputs = self.0.clone();
            actix_rt::spawn(async move { inputs.send(input).await });
        }
    }
}

/// What came of handing an attempt to the target.
pub enum Handed {
    /// The target answers: the response follows.
    Answer(Box<IncomingResponse>),
    /// The attempt ended without an answer.
    Ended(AttemptEnd),
}

/// Hands an attempt to the target and waits for the first bytes of its answer.
pub async fn hand_over(
    client: &Client,
    target: SocketAddr,
    attempt: AttemptId,
    outbound: OutgoingRequest,
    cancelled: &mut oneshot::Receiver<()>,
) -> Handed {
    tokio::select! {
        biased;
        _ = cancelled => Handed::Ended(AttemptEnd::Cancelled),
        handed = exchange(client, target, attempt, outbound) => handed,
    }
}

async fn exchange(
    client: &Client,
    target: SocketAddr,
    attempt: AttemptId,
    outbound: OutgoingRequest,
) -> Handed {
    let is_completion = is_completion(outbound.uri.path());
    match client.send(target, outbound).await {
        // The answer to another request is never handed on.
        Ok(response) if !is_own(attempt, &response.headers) => Handed::Ended(AttemptEnd::Broken),
        Ok(mut response) => match response.body.prefetch().await {
            Ok(()) => Handed::Answer(Box::new(response)),
            Err(TruncatedBody)
                if is_completion && is_token_stream(response.status, &response.headers) =>
            {
                begin_again(client, target, attempt).await
            }
            Err(TruncatedBody) => Handed::Ended(AttemptEnd::Broken),
        },
        Err(SendError::Unsent) => Handed::Ended(AttemptEnd::Unsent),
        Err(SendError::Broken) => Handed::Ended(AttemptEnd::Broken),
    }
}

/// Asks for a token stream that broke before its first token.
async fn begin_again(client: &Client, target: SocketAddr, attempt: AttemptId) -> Handed {
    let Some(mut response) = ask_rest(client, target, attempt, 0).await else {
        return Handed::Ended(AttemptEnd::Broken);
    };
    match response.body.prefetch().await {
        Ok(()) => Handed::Answer(Box::new(response)),
        Err(TruncatedBody) => Handed::Ended(AttemptEnd::Broken),
    }
}

/// Asks for a stream from an offset; the target must still hold it under this name.
pub async fn ask_rest(
    client: &Client,
    target: SocketAddr,
    attempt: AttemptId,
    offset: u32,
) -> Option<IncomingResponse> {
    let request = attempt.request;
    let path = format!("/v1/streams/{request}?offset={offset}");
    let question = OutgoingRequest {
        method: Method::GET,
        uri: Uri::try_from(path).expect("an id and a number make a path"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let response = client.send(target, question).await.ok()?;
    let is_rest = response.status.is_success() && is_own(attempt, &response.headers);
    is_rest.then_some(response)
}

/// Whether a response is that to the attempt's request; one without an id is taken for it.
pub fn is_own(attempt: AttemptId, headers: &HeaderMap) -> bool {
    let echo = header_text(headers, REQUEST_ID);
    echo.is_none_or(|echo| echo == attempt.request.to_string())
}

/// Counts the cost of an answer as its parts pass.
#[derive(Debug)]
pub struct Meter {
    started: Instant,
    tokens: i64,
    reported: i64,
}

impl Meter {
    /// Starts a meter.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            tokens: 0,
            reported: 0,
        }
    }

    /// Counts a part; returns the cost to report, if enough has gathered.
    pub fn count(&mut self, chunk: &[u8]) -> Option<Cost> {
        self.tokens += events(chunk);
        let gathered = self.tokens - self.reported;
        (gathered >= REPORT_TOKENS).then(|| {
            self.reported = self.tokens;
            Cost(gathered)
        })
    }

    /// The whole cost: tokens if the target streamed any, else service time.
    pub fn total(&self) -> Cost {
        match self.tokens {
            0 => Cost((self.started.elapsed().as_micros() / UNIT_TIME.as_micros()).max(1) as i64),
            tokens => Cost(tokens),
        }
    }
}

impl Default for Meter {
    fn default() -> Self {
        Self::new()
    }
}

/// The number of server-sent events that begin in `chunk`.
fn events(chunk: &[u8]) -> i64 {
    const FIELD: &[u8] = b"data:";
    let lines = chunk.split(|&byte| byte == b'\n');
    lines.filter(|line| line.starts_with(FIELD)).count() as i64
}

/// Why a whole answer could not be read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReadError {
    /// The body broke or was cancelled.
    Cut,
    /// The body is over the limit.
    TooLarge,
}

/// Reads a whole answer body.
///
/// # Errors
///
/// Returns an error if the body breaks, is over `limit` bytes or is cancelled.
pub async fn read_whole(
    body: &mut IncomingBody,
    limit: usize,
    cancelled: &mut oneshot::Receiver<()>,
    meter: &mut Meter,
) -> Result<Bytes, ReadError> {
    let mut whole = BytesMut::new();
    loop {
        let chunk = tokio::select! {
            biased;
            _ = &mut *cancelled => return Err(ReadError::Cut),
            chunk = body.next() => chunk,
        };
        match chunk {
            None => return Ok(whole.freeze()),
            Some(Ok(chunk)) if whole.len() + chunk.len() <= limit => {
                meter.count(&chunk);
                whole.extend_from_slice(&chunk);
            }
            Some(Ok(_)) => return Err(ReadError::TooLarge),
            Some(Err(TruncatedBody)) => return Err(ReadError::Cut),
        }
    }
}
