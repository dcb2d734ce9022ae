//! The HTTP listener for operators: health, readiness, metrics and the state dump.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use actix_http::header::CONTENT_TYPE;
use actix_http::{Request, Response, StatusCode};
use eyre::WrapErr;
use node::event::{self, Event};
use node::metrics::Metrics;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Duration, timeout};

use crate::clock::{BootClock, SystemBootClock};
use crate::http_listener;
use crate::shared::Shared;

/// The time limit for the state dump of the traffic thread.
const DUMP_TIMEOUT: Duration = Duration::from_secs(2);

/// A request for the state of the traffic thread, as the sender of its reply.
pub(crate) type DumpRequest = oneshot::Sender<serde_json::Value>;

/// The state from which the listener responds.
#[derive(Clone)]
pub(crate) struct Operators {
    pub(crate) shared: Arc<Shared>,
    pub(crate) metrics: Metrics,
    pub(crate) dump_requests: mpsc::Sender<DumpRequest>,
}

impl Operators {
    /// Serves one address for as long as the process runs. Returns the address that was
    /// bound.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub(crate) async fn listen(self, address: SocketAddr) -> eyre::Result<SocketAddr> {
        let listener = TcpListener::bind(address).await;
        let listener = listener.wrap_err_with(|| format!("cannot serve operators at {address}"))?;
        let address = listener.local_addr()?;
        event::log(Event::ListenerBound, &[("operators", &address)]);
        http_listener::serve(listener, move |request| {
            let operators = self.clone();
            async move { operators.respond(&request).await }
        })
        .await?;
        Ok(address)
    }

    async fn respond(&self, request: &Request) -> Response<String> {
        match request.path() {
            "/health" => text_response(StatusCode::OK, "ok\n".to_owned()),
            "/ready" => match self.unready_reason() {
                None => text_response(StatusCode::OK, "ready\n".to_owned()),
                Some(reason) => {
                    text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n"))
                }
            },
            "/metrics" => text_response(StatusCode::OK, self.metrics.text()),
            "/dump" => self.dump().await,
            _ => text_response(StatusCode::NOT_FOUND, "no such page\n".to_owned()),
        }
    }

    /// Returns why this router should get no new connections, or `None` if it is ready.
    fn unready_reason(&self) -> Option<&'static str> {
        let confirmation = self.shared.confirmation();
        match self.shared.config.load().as_ref() {
            _ if self.shared.is_stopping() => Some("stopping"),
            None => Some("no configuration"),
            Some(_) if self.shared.targets_age(SystemBootClock.uptime()).is_none() => {
                Some("no targets listed")
            }
            Some(_) if self.shared.out.load(Ordering::Relaxed) => Some("strained"),
            Some(_) if !confirmation.allows_keys(SystemBootClock.uptime()) => {
                Some("configuration not confirmed")
            }
            Some(_) => None,
        }
    }

    async fn dump(&self) -> Response<String> {
        let (reply, receiver) = oneshot::channel();
        let is_queued = self.dump_requests.try_send(reply).is_ok();
        match timeout(DUMP_TIMEOUT, receiver).await {
            Ok(Ok(state)) if is_queued => {
                let body = serde_json::to_string_pretty(&state).unwrap_or_default();
                text_response(StatusCode::OK, body)
            }
            _ => text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "the traffic thread did not answer\n".to_owned(),
            ),
        }
    }
}

fn text_response(status: StatusCode, body: String) -> Response<String> {
    Response::build(status)
        .insert_header((CONTENT_TYPE, "text/plain; charset=utf-8"))
        .message_body(body)
        .expect("the headers are valid")
}
