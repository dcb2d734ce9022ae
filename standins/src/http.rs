//! The HTTP server shared by the stand-ins.

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

/// The maximum size of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// How long a graceful shutdown waits for open connections, in seconds.
const SHUTDOWN_TIMEOUT_SECONDS: u64 = 2;

/// The keep-alive timeout of an idle connection, in seconds.
const KEEP_ALIVE_SECONDS: u64 = 30;

/// The body error that makes the server close the connection before the end of the response.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("connection dropped on purpose")]
pub struct ConnectionDropped;

/// A request whose body has been read completely.
#[derive(Debug)]
pub struct BufferedRequest {
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

impl BufferedRequest {
    /// The text of a header, if it is present and visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The value of a numeric query parameter.
    pub fn number(&self, name: &str) -> Option<u64> {
        query_number(&self.query, name)
    }
}

/// Parses a numeric parameter of a query string such as `after=3&wait=500`.
pub fn query_number(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Handles the requests of a server.
pub trait Handler: Clone + Send + 'static {
    /// Responds to one request.
    fn handle(&self, request: BufferedRequest) -> impl Future<Output = Response<BoxBody>>;
}

/// A response with a text body.
pub fn text_response(status: StatusCode, body: impl Into<Bytes>) -> Response<BoxBody> {
    Response::build(status)
        .body(body.into())
        .map_into_boxed_body()
}

/// A response with a JSON body.
///
/// # Panics
///
/// Panics if the value cannot be serialized as JSON; all message types can.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<BoxBody> {
    let body = serde_json::to_vec(value).expect("messages encode");
    Response::build(status)
        .insert_header(("content-type", "application/json"))
        .body(Bytes::from(body))
        .map_into_boxed_body()
}

/// A response with a streamed body.
pub fn stream_response(
    content_type: &'static str,
    chunks: impl Stream<Item = Result<Bytes, ConnectionDropped>> + 'static,
) -> Response<BoxBody> {
    Response::build(StatusCode::OK)
        .insert_header(("content-type", content_type))
        .message_body(BodyStream::new(chunks))
        .expect("headers are valid")
        .map_into_boxed_body()
}

/// A response that closes the connection before any body byte is sent.
pub fn drop_connection() -> Response<BoxBody> {
    let chunks = futures::stream::once(async { Err::<Bytes, _>(ConnectionDropped) });
    Response::build(StatusCode::OK)
        .message_body(SizedStream::new(1, chunks.boxed_local()))
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
        .shutdown_timeout(SHUTDOWN_TIMEOUT_SECONDS)
        .listen("standin", listener, move || {
            let handler = handler.clone();
            HttpService::build()
                .keep_alive(Duration::from_secs(KEEP_ALIVE_SECONDS))
                .tcp_nodelay(true)
                .h1_allow_half_closed(false)
                .finish(move |request| respond(handler.clone(), request))
                .tcp()
        })?
        .run();
    Ok(server)
}

/// A monotonic clock whose times are measured from the Unix epoch.
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
    /// Panics if the system clock is before the epoch.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
            epoch: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .expect("the system clock is after the epoch"),
        }
    }

    /// The time since the epoch.
    pub fn now(self) -> Duration {
        self.epoch + self.started.elapsed()
    }
}

/// Initializes logging. `actix_http` is silent by default, since injected faults would fill the log
/// with connection errors.
pub fn init_logging() {
    let env = env_logger::Env::default().default_filter_or("warn,actix_http=off");
    env_logger::Builder::from_env(env).init();
}

/// Binds `listen` and prints the line `listening ADDR` to standard output.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn bind_and_announce(listen: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(listen)?;
    let mut out = io::stdout().lock();
    writeln!(out, "listening {}", listener.local_addr()?)?;
    out.flush()?;
    Ok(listener)
}

async fn respond<H: Handler>(
    handler: H,
    mut request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let Some(body) = read_body(&mut request).await else {
        return Ok(text_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body too large or broken",
        ));
    };
    let request = BufferedRequest {
        method: request.method().clone(),
        path: request.path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        headers: request.headers().clone(),
        body,
    };
    Ok(handler.handle(request).await)
}

async fn read_body(request: &mut Request) -> Option<Bytes> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.ok()?;
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return None;
        }
        body.extend_from_slice(&chunk);
    }
    Some(body.freeze())
}
