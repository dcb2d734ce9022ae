//! The HTTP API of the configuration service.

use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Method, Response, StatusCode};
use actix_server::Server;
use tokio::sync::watch;

use super::store::{Fault, ReadResult, Store};
use crate::http::{BufferedRequest, Handler, drop_connection, json_response, serve, text_response};

/// The maximum duration of a long poll, in milliseconds.
const MAX_WAIT_MILLIS: u64 = 60_000;

/// A store and the change notification for long polls.
#[derive(Clone, Debug)]
pub struct ConfigService {
    store: Arc<Mutex<Store>>,
    changed: watch::Sender<u64>,
}

impl ConfigService {
    /// Creates a service that serves `store`.
    pub fn new(store: Store) -> Self {
        Self {
            store: Arc::new(Mutex::new(store)),
            changed: watch::Sender::new(0),
        }
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    fn notify_watchers(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    async fn get(&self, key: &str, after: Option<u64>, wait: Duration) -> Response<BoxBody> {
        let mut changed = self.changed.subscribe();
        self.store().record_call(key, !wait.is_zero());
        let fault = self.store().fault();
        if let Fault::Slow { millis } = fault {
            actix_rt::time::sleep(Duration::from_millis(millis)).await;
        }
        let deadline = actix_rt::time::Instant::now() + wait;
        loop {
            changed.mark_unchanged();
            let result = self.store().read(key, after);
            let waiting = changed.changed();
            match result {
                ReadResult::NotNewer
                    if tokio::time::timeout_at(deadline, waiting).await.is_ok() => {}
                result => return read_response(result),
            }
        }
    }

    fn put(&self, key: &str, request: &BufferedRequest) -> Response<BoxBody> {
        let index = self.store().put(key, request.body.clone());
        self.notify_watchers();
        json_response(StatusCode::OK, &index)
    }

    fn set_fault(&self, request: &BufferedRequest) -> Response<BoxBody> {
        match serde_json::from_slice::<Fault>(&request.body) {
            Ok(fault) => {
                self.store().set_fault(fault);
                self.notify_watchers();
                json_response(StatusCode::OK, &fault)
            }
            Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

impl Handler for ConfigService {
    async fn handle(&self, request: BufferedRequest) -> Response<BoxBody> {
        let value = request.path.strip_prefix("/v1/values/");
        let test_value = request.path.strip_prefix("/test/values/");
        match (&request.method, value, test_value) {
            (&Method::GET, Some(key), _) => {
                let wait = request.number("wait").unwrap_or(0).min(MAX_WAIT_MILLIS);
                self.get(key, request.number("after"), Duration::from_millis(wait))
                    .await
            }
            (&Method::PUT, _, Some(key)) => self.put(key, &request),
            (&Method::POST, ..) if request.path == "/test/faults" => self.set_fault(&request),
            (&Method::GET, ..) if request.path == "/test/counts" => {
                json_response(StatusCode::OK, self.store().calls())
            }
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

fn read_response(result: ReadResult) -> Response<BoxBody> {
    match result {
        ReadResult::Value { index, body } => Response::build(StatusCode::OK)
            .insert_header(("x-index", index.to_string()))
            .body(body)
            .map_into_boxed_body(),
        ReadResult::NotNewer => Response::new(StatusCode::NOT_MODIFIED),
        ReadResult::Unknown => text_response(StatusCode::NOT_FOUND, "unknown key"),
        ReadResult::Down => drop_connection(),
    }
}

/// Serves a store on a bound listener.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub fn run(listener: TcpListener, store: Store) -> std::io::Result<Server> {
    serve(listener, ConfigService::new(store))
}
