//! The HTTP front shared by the stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix_http::body::{BodyStream, BoxBody, SizedStream};
use actix_http::header::HeaderMap;
use actix_http::{HttpMessage as _, HttpService, Method, Request, Response, StatusCode};
use actix_server::Server;
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use futures::{Stream, StreamExt as _};
use serde::Serialize;

/// The greatest request body that a stand-in reads, in bytes.
pub const MAX_BODY: usize = 8 << 20;

/// The time that a planned stop waits for open connections, in seconds.
const STOP_SECONDS: u64 = 2;

/// The time that an idle connection is kept, in seconds.
const KEEP_ALIVE_SECONDS: u64 = 30;

/// The error that ends a body early and so breaks the connection.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("connection dropped on purpose")]
pub struct Dropped;

/// One request, read as a whole.
#[derive(Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path without the query.
    pub path: String,
    /// The query, without the question mark.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Call {
    /// The text of a header, if it is present and visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// A number of the query.
    pub fn number(&self, name: &str) -> Option<u64> {
        query_number(&self.query, name)
    }
}

/// Reads a number from a query such as `after=3&wait=500`.
pub fn query_number(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Answers requests.
pub trait Handler: Clone + Send + 'static {
    /// Answers one request.
    fn handle(&self, call: Call) -> impl Future<Output = Response<BoxBody>>;
}

/// An answer with a text body.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<BoxBody> {
    Response::build(status)
        .body(body.into())
        .map_into_boxed_body()
}

/// An answer with a JSON body.
///
/// # Panics
///
/// Panics if the value cannot be written as JSON, which no message type causes.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<BoxBody> {
    let body = serde_json::to_vec(value).expect("messages encode");
    Response::build(status)
        .insert_header(("content-type", "application/json"))
        .body(Bytes::from(body))
        .map_into_boxed_body()
}

/// An answer whose body comes in pieces.
pub fn stream(
    content_type: &'static str,
    pieces: impl Stream<Item = Result<Bytes, Dropped>> + 'static,
) -> Response<BoxBody> {
    Response::build(StatusCode::OK)
        .insert_header(("content-type", content_type))
        .message_body(BodyStream::new(pieces))
        .expect("headers are valid")
        .map_into_boxed_body()
}

/// Breaks the connection before any byte of an answer.
pub fn drop_connection() -> Response<BoxBody> {
    let pieces = futures::stream::once(async { Err::<Bytes, _>(Dropped) });
    Response::build(StatusCode::OK)
        .message_body(SizedStream::new(1, pieces.boxed_local()))
        .expect("headers are valid")
        .map_into_boxed_body()
}

/// Starts a server on a bound listener.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub fn serve<H: Handler>(listener: TcpListener, handler: H) -> io::Result<Server> {
    let server = Server::build()
        .workers(1)
        .shutdown_timeout(STOP_SECONDS)
        .listen("standin", listener, move || {
            let handler = handler.clone();
            HttpService::build()
                .keep_alive(Duration::from_secs(KEEP_ALIVE_SECONDS))
                .tcp_nodelay(true)
                .h1_allow_half_closed(false)
                .finish(move |request| answer(handler.clone(), request))
                .tcp()
        })?
        .run();
    Ok(server)
}

/// A clock that counts from the Unix epoch and never goes back.
#[derive(Clone, Copy, Debug)]
pub struct EpochClock {
    started: Instant,
    epoch: Duration,
}

impl EpochClock {
    /// Starts the clock at the system's wall-clock time.
    ///
    /// # Panics
    ///
    /// Panics if the system's clock stands before the epoch.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
            epoch: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .expect("the clock stands after the epoch"),
        }
    }

    /// The time since the epoch.
    pub fn now(self) -> Duration {
        self.epoch + self.started.elapsed()
    }
}

/// Starts the log; connections that a fault breaks are not logged unless asked for.
pub fn start_log() {
    let env = env_logger::Env::default().default_filter_or("warn,actix_http=off");
    env_logger::Builder::from_env(env).init();
}

/// Binds `listen` and writes the line `listening ADDR` to standard output.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn announce(listen: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(listen)?;
    let mut out = io::stdout().lock();
    writeln!(out, "listening {}", listener.local_addr()?)?;
    out.flush()?;
    Ok(listener)
}

async fn answer<H: Handler>(
    handler: H,
    mut request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let Some(body) = read_body(&mut request).await else {
        return Ok(text(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body too large or broken",
        ));
    };
    let call = Call {
        method: request.method().clone(),
        path: request.path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        headers: request.headers().clone(),
        body,
    };
    Ok(handler.handle(call).await)
}

async fn read_body(request: &mut Request) -> Option<Bytes> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(piece) = payload.next().await {
        let piece = piece.ok()?;
        if body.len() + piece.len() > MAX_BODY {
            return None;
        }
        body.extend_from_slice(&piece);
    }
    Some(body.freeze())
}
