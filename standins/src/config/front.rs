//! The HTTP front of the configuration service.

use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Method, Response, StatusCode};
use actix_server::Server;
use tokio::sync::watch;

use super::store::{Fault, Read, Store};
use crate::http::{Call, Handler, drop_connection, json, serve, text};

/// The longest wait of a watch, in milliseconds.
const MAX_WAIT_MILLIS: u64 = 60_000;

/// The service: a store and a signal for those who watch.
#[derive(Clone, Debug)]
pub struct ConfigService {
    store: Arc<Mutex<Store>>,
    changed: watch::Sender<u64>,
}

impl ConfigService {
    /// Creates a service from a store.
    pub fn new(store: Store) -> Self {
        Self {
            store: Arc::new(Mutex::new(store)),
            changed: watch::Sender::new(0),
        }
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("no holder panics")
    }

    fn signal(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    async fn get(&self, key: &str, after: Option<u64>, wait: Duration) -> Response<BoxBody> {
        let mut changed = self.changed.subscribe();
        self.store().count(key, !wait.is_zero());
        let fault = self.store().fault();
        if let Fault::Slow { millis } = fault {
            actix_rt::time::sleep(Duration::from_millis(millis)).await;
        }
        let deadline = actix_rt::time::Instant::now() + wait;
        loop {
            changed.mark_unchanged();
            let read = self.store().read(key, after);
            let waiting = changed.changed();
            match read {
                Read::NotNewer if tokio::time::timeout_at(deadline, waiting).await.is_ok() => {}
                read => return respond(read),
            }
        }
    }

    fn put(&self, key: &str, call: &Call) -> Response<BoxBody> {
        let index = self.store().put(key, call.body.clone());
        self.signal();
        json(StatusCode::OK, &index)
    }

    fn set_fault(&self, call: &Call) -> Response<BoxBody> {
        match serde_json::from_slice::<Fault>(&call.body) {
            Ok(fault) => {
                self.store().set_fault(fault);
                self.signal();
                json(StatusCode::OK, &fault)
            }
            Err(error) => text(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

impl Handler for ConfigService {
    async fn handle(&self, call: Call) -> Response<BoxBody> {
        let value = call.path.strip_prefix("/v1/values/");
        let test_value = call.path.strip_prefix("/test/values/");
        match (&call.method, value, test_value) {
            (&Method::GET, Some(key), _) => {
                let wait = call.number("wait").unwrap_or(0).min(MAX_WAIT_MILLIS);
                self.get(key, call.number("after"), Duration::from_millis(wait))
                    .await
            }
            (&Method::PUT, _, Some(key)) => self.put(key, &call),
            (&Method::POST, ..) if call.path == "/test/faults" => self.set_fault(&call),
            (&Method::GET, ..) if call.path == "/test/counts" => {
                json(StatusCode::OK, self.store().calls())
            }
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

fn respond(read: Read) -> Response<BoxBody> {
    match read {
        Read::Value { index, body } => Response::build(StatusCode::OK)
            .insert_header(("x-index", index.to_string()))
            .body(body)
            .map_into_boxed_body(),
        Read::NotNewer => Response::new(StatusCode::NOT_MODIFIED),
        Read::Unknown => text(StatusCode::NOT_FOUND, "unknown key"),
        Read::Down => drop_connection(),
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
