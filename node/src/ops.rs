//! The operators' HTTP listener: health, readiness, metrics, state dump and decisions.
//!
//! It runs on its own thread and queries the control thread through a bounded
//! channel, so a flood of queries cannot delay decisions by more than the
//! capacity of the channel.

use std::io;
use std::net::TcpListener;
use std::time::Duration;

use actix_http::header::CONTENT_TYPE;
use actix_http::{HttpService, Request, Response, StatusCode};
use actix_server::Server;
use actix_service::ServiceFactoryExt;
use entity::{Decision, RequestId};
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::metrics::Metrics;

/// Capacity of the channel of queries to the control thread.
pub const QUERY_CHANNEL_CAPACITY: usize = 32;

/// Timeout for a reply of the control thread.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// A query to the control thread.
#[derive(Debug)]
pub enum Query {
    /// Whether the process accepts requests; the text gives the reason if it does not.
    Ready(oneshot::Sender<Result<(), String>>),
    /// The complete state.
    Dump(oneshot::Sender<serde_json::Value>),
    /// The recorded decisions about a request.
    Why(RequestId, oneshot::Sender<Option<Explanation>>),
}

/// The decisions of one process about one request.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct Explanation {
    /// The process.
    pub process: String,
    /// The decisions, in order.
    pub decisions: Vec<Decision>,
    /// The rules that the decisions refer to.
    pub sources: Vec<Source>,
}

/// The source text of a rule.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct Source {
    /// The reference of the rule.
    pub rule: String,
    /// The text of the line.
    pub text: String,
    /// The person or group that requested the rule.
    pub asker: String,
}

#[derive(Clone)]
struct OperatorsService {
    queries: mpsc::Sender<Query>,
    metrics: Metrics,
}

/// Starts the operators' listener, which runs until the server is stopped.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub fn start(
    listener: TcpListener,
    queries: mpsc::Sender<Query>,
    metrics: Metrics,
) -> io::Result<Server> {
    let service = OperatorsService { queries, metrics };
    let server = Server::build()
        .workers(1)
        .disable_signals()
        .listen("operators", listener, move || {
            let service = service.clone();
            let serve_request = move |request: Request| {
                let service = service.clone();
                async move { Ok::<_, actix_http::Error>(service.handle(&request).await) }
            };
            HttpService::build()
                .h1(actix_service::fn_service(serve_request).map_err(|error| error))
                .tcp()
        })?
        .run();
    Ok(server)
}

impl OperatorsService {
    async fn handle(&self, request: &Request) -> Response<String> {
        let path = request.path();
        let json = request
            .uri()
            .query()
            .is_some_and(|query| query.contains("format=json"));
        match path {
            "/health" => text_response(StatusCode::OK, "ok\n".to_owned()),
            "/metrics" => text_response(StatusCode::OK, self.metrics.text()),
            "/ready" => self.ready().await,
            "/dump" => self.dump(json).await,
            _ => match path.strip_prefix("/why/").map(str::parse) {
                Some(Ok(request)) => self.why(request).await,
                Some(Err(_)) => {
                    text_response(StatusCode::BAD_REQUEST, "not a request id\n".to_owned())
                }
                None => text_response(StatusCode::NOT_FOUND, "no such page\n".to_owned()),
            },
        }
    }

    async fn query<T>(&self, new_query: impl FnOnce(oneshot::Sender<T>) -> Query) -> Option<T> {
        let (reply, receiver) = oneshot::channel();
        self.queries.try_send(new_query(reply)).ok()?;
        timeout(QUERY_TIMEOUT, receiver).await.ok()?.ok()
    }

    async fn ready(&self) -> Response<String> {
        match self.query(Query::Ready).await {
            Some(Ok(())) => text_response(StatusCode::OK, "ready\n".to_owned()),
            Some(Err(reason)) => {
                text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n"))
            }
            None => no_reply(),
        }
    }

    async fn dump(&self, json: bool) -> Response<String> {
        match self.query(Query::Dump).await {
            Some(state) if json => json_response(StatusCode::OK, &state),
            Some(state) => {
                let yaml =
                    serde_saphyr::to_string(&state).unwrap_or_else(|error| error.to_string());
                text_response(StatusCode::OK, yaml)
            }
            None => no_reply(),
        }
    }

    async fn why(&self, request: RequestId) -> Response<String> {
        match self.query(|reply| Query::Why(request, reply)).await {
            Some(Some(explanation)) => json_response(StatusCode::OK, &explanation),
            Some(None) => json_response(
                StatusCode::NOT_FOUND,
                &DecisionsNotFound { reason: "dropped" },
            ),
            None => no_reply(),
        }
    }
}

#[derive(Serialize)]
struct DecisionsNotFound {
    reason: &'static str,
}

fn no_reply() -> Response<String> {
    text_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "the control thread did not answer\n".to_owned(),
    )
}

fn text_response(status: StatusCode, body: String) -> Response<String> {
    Response::build(status)
        .insert_header((CONTENT_TYPE, "text/plain; charset=utf-8"))
        .message_body(body)
        .expect("the headers are valid")
}

fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<String> {
    let body = serde_json::to_string_pretty(value).unwrap_or_default();
    Response::build(status)
        .insert_header((CONTENT_TYPE, "application/json"))
        .message_body(body)
        .expect("the headers are valid")
}
