//! The operators' listener: health, readiness, metrics, dump and why.
//!
//! It runs on a thread of its own and asks the control thread through a bounded
//! channel, so a flood of questions cannot delay decisions by more than the
//! channel's depth.

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

/// The number of questions that may wait for the control thread.
pub const QUERY_DEPTH: usize = 32;

/// The time limit for an answer of the control thread.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// A question to the control thread.
#[derive(Debug)]
pub enum Query {
    /// Whether the process takes requests; the text says why not.
    Ready(oneshot::Sender<Result<(), String>>),
    /// The whole state.
    Dump(oneshot::Sender<serde_json::Value>),
    /// The decisions about a request.
    Why(RequestId, oneshot::Sender<Option<Explanation>>),
}

/// The decisions of one process about one request.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct Explanation {
    /// The process.
    pub process: String,
    /// Its decisions, in order.
    pub decisions: Vec<Decision>,
    /// The rules that the decisions name.
    pub sources: Vec<Source>,
}

/// A rule as the operators wrote it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct Source {
    /// The rule's reference.
    pub rule: String,
    /// The line's text.
    pub text: String,
    /// Who asked for it.
    pub asker: String,
}

#[derive(Clone)]
struct Listener {
    queries: mpsc::Sender<Query>,
    metrics: Metrics,
}

/// Starts the operators' listener; it runs until the server is stopped.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub fn start(
    listener: TcpListener,
    queries: mpsc::Sender<Query>,
    metrics: Metrics,
) -> io::Result<Server> {
    let state = Listener { queries, metrics };
    let server = Server::build()
        .workers(1)
        .disable_signals()
        .listen("operators", listener, move || {
            let state = state.clone();
            let respond = move |request: Request| {
                let state = state.clone();
                async move { Ok::<_, actix_http::Error>(state.respond(&request).await) }
            };
            HttpService::build()
                .h1(actix_service::fn_service(respond).map_err(|error| error))
                .tcp()
        })?
        .run();
    Ok(server)
}

impl Listener {
    async fn respond(&self, request: &Request) -> Response<String> {
        let path = request.path();
        let json = request
            .uri()
            .query()
            .is_some_and(|query| query.contains("format=json"));
        match path {
            "/health" => text(StatusCode::OK, "ok\n".to_owned()),
            "/metrics" => text(StatusCode::OK, self.metrics.text()),
            "/ready" => self.ready().await,
            "/dump" => self.dump(json).await,
            _ => match path.strip_prefix("/why/").map(str::parse) {
                Some(Ok(request)) => self.why(request).await,
                Some(Err(_)) => text(StatusCode::BAD_REQUEST, "not a request id\n".to_owned()),
                None => text(StatusCode::NOT_FOUND, "no such page\n".to_owned()),
            },
        }
    }

    async fn ask<T>(&self, query: impl FnOnce(oneshot::Sender<T>) -> Query) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.queries.try_send(query(reply)).ok()?;
        timeout(QUERY_TIMEOUT, answer).await.ok()?.ok()
    }

    async fn ready(&self) -> Response<String> {
        match self.ask(Query::Ready).await {
            Some(Ok(())) => text(StatusCode::OK, "ready\n".to_owned()),
            Some(Err(why)) => text(StatusCode::SERVICE_UNAVAILABLE, format!("{why}\n")),
            None => busy(),
        }
    }

    async fn dump(&self, json: bool) -> Response<String> {
        match self.ask(Query::Dump).await {
            Some(state) if json => json_body(StatusCode::OK, &state),
            Some(state) => {
                let yaml =
                    serde_saphyr::to_string(&state).unwrap_or_else(|error| error.to_string());
                text(StatusCode::OK, yaml)
            }
            None => busy(),
        }
    }

    async fn why(&self, request: RequestId) -> Response<String> {
        match self.ask(|reply| Query::Why(request, reply)).await {
            Some(Some(explanation)) => json_body(StatusCode::OK, &explanation),
            Some(None) => json_body(StatusCode::NOT_FOUND, &Dropped { reason: "dropped" }),
            None => busy(),
        }
    }
}

#[derive(Serialize)]
struct Dropped {
    reason: &'static str,
}

fn busy() -> Response<String> {
    text(
        StatusCode::SERVICE_UNAVAILABLE,
        "the control thread did not answer\n".to_owned(),
    )
}

fn text(status: StatusCode, body: String) -> Response<String> {
    Response::build(status)
        .insert_header((CONTENT_TYPE, "text/plain; charset=utf-8"))
        .message_body(body)
        .expect("the headers are valid")
}

fn json_body<T: Serialize>(status: StatusCode, value: &T) -> Response<String> {
    let body = serde_json::to_string_pretty(value).unwrap_or_default();
    Response::build(status)
        .insert_header((CONTENT_TYPE, "application/json"))
        .message_body(body)
        .expect("the headers are valid")
}
