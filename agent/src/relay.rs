//! Sends attempts to the target and reads the beginning of its answers.

use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use awc::ClientResponse;
use awc::error::{ConnectError, SendRequestError};
use bytes::Bytes;
use entity::{AttemptId, Cost};
use futures::StreamExt;
use node::http::{forwarded, text};
use policy::AttemptEnd;
use tokio::sync::{mpsc, oneshot};

use crate::control::Input;
use crate::whole::Progress;

/// Carries the request id to the target and back.
pub const REQUEST_ID: &str = "x-request-id";

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

/// A request as the target receives it.
#[derive(Clone, Debug)]
pub struct Outbound {
    /// The attempt.
    pub attempt: AttemptId,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers that are forwarded.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The beginning of an answer.
pub struct Head {
    /// The response whose body goes on.
    pub response: ClientResponse,
    /// The first part of the body; empty if the body is.
    pub first: Bytes,
    /// How far the body has come.
    pub progress: Progress,
}

/// What came of handing an attempt to the target.
pub enum Handed {
    /// The target answers.
    Answer(Head),
    /// The attempt ended without an answer.
    Ended(AttemptEnd),
}

/// Hands an attempt to the target and waits for the first part of its answer.
pub async fn hand_over(
    client: &awc::Client,
    target: &str,
    outbound: &Outbound,
    cancelled: &mut oneshot::Receiver<()>,
) -> Handed {
    let url = format!("{target}{}", outbound.uri);
    let mut request = client.request(outbound.method.clone(), url).no_decompress();
    for (name, value) in outbound.headers.iter().filter(|(name, _)| forwarded(name)) {
        request.headers_mut().append(name.clone(), value.clone());
    }
    let sending = request.send_body(outbound.body.clone());
    let beginning = async {
        match sending.await {
            Ok(response) => begin(outbound, response).await,
            Err(error) => Handed::Ended(failure(&error)),
        }
    };
    tokio::select! {
        biased;
        _ = cancelled => Handed::Ended(AttemptEnd::Cancelled),
        handed = beginning => handed,
    }
}

/// How an attempt ended that got no response.
///
/// The client reports a connection that closed before the response as one that
/// was never opened, although the request had been sent.
fn failure(error: &SendRequestError) -> AttemptEnd {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => AttemptEnd::Broken,
        SendRequestError::Connect(_) => AttemptEnd::Unsent,
        _ => AttemptEnd::Broken,
    }
}

/// Waits for the first part of a response that belongs to the request.
async fn begin(outbound: &Outbound, mut response: ClientResponse) -> Handed {
    let echo = text(response.headers(), REQUEST_ID);
    let own = outbound.attempt.request.to_string();
    if echo.is_some_and(|echo| echo != own) {
        return Handed::Ended(AttemptEnd::Broken);
    }
    let path = outbound.uri.path();
    let status = response.status();
    let mut progress = Progress::new(&outbound.method, path, status, response.headers());
    loop {
        let first = match response.next().await {
            Some(Ok(chunk)) => progress.pass(chunk),
            None if progress.is_whole() => Bytes::new(),
            _ => return Handed::Ended(AttemptEnd::Broken),
        };
        if !first.is_empty() || progress.is_whole() {
            return Handed::Answer(Head {
                response,
                first,
                progress,
            });
        }
    }
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
    head: &mut Head,
    limit: usize,
    cancelled: &mut oneshot::Receiver<()>,
    meter: &mut Meter,
) -> Result<Bytes, ReadError> {
    let mut body = bytes::BytesMut::new();
    let mut part = std::mem::take(&mut head.first);
    loop {
        meter.count(&part);
        body.extend_from_slice(&part);
        if body.len() > limit {
            return Err(ReadError::TooLarge);
        }
        let chunk = tokio::select! {
            biased;
            _ = &mut *cancelled => return Err(ReadError::Cut),
            chunk = head.response.next() => chunk,
        };
        part = match chunk {
            None if head.progress.is_whole() => return Ok(body.freeze()),
            Some(Ok(chunk)) => head.progress.pass(chunk),
            _ => return Err(ReadError::Cut),
        };
    }
}
