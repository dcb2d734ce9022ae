//! The HTTP front of the plain service.

use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard};

use actix_http::body::BoxBody;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, Response, StatusCode};
use actix_server::Server;
use serde::{Deserialize, Serialize};

use super::desk::{Begin, Desk, DeskOptions, End, Fault};
use crate::engine::{LoadReport, digest};
use crate::http::{Call, EpochClock, Handler, drop_connection, json, serve, text};

/// The answer to a request that ran.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Receipt {
    /// The service's name.
    pub service: String,
    /// The method and path.
    pub call: String,
    /// The key, if one came.
    pub key: Option<String>,
    /// The number of this key's run, from 1.
    pub run: u64,
    /// The SHA-256 of the request body.
    pub digest: String,
}

#[derive(Clone, Debug)]
struct DeskService {
    name: Arc<str>,
    desk: Arc<Mutex<Desk>>,
    clock: EpochClock,
}

impl DeskService {
    fn desk(&self) -> MutexGuard<'_, Desk> {
        self.desk.lock().expect("no holder panics")
    }

    async fn work(&self, call: &Call) -> Response<BoxBody> {
        let request = call.header("x-request-id");
        let key = call.header("idempotency-key");
        let begin = self.desk().begin(request, key);
        let mut answer = match begin {
            Begin::Drop => drop_connection(),
            Begin::Busy => text(StatusCode::SERVICE_UNAVAILABLE, "busy"),
            Begin::Run { run, time } => {
                let guard = Guard(Some(self));
                actix_rt::time::sleep(time).await;
                match guard.end() {
                    End::Drop => drop_connection(),
                    End::Answer => json(StatusCode::OK, &self.receipt(call, key, run)),
                }
            }
        };
        let name = HeaderName::from_static("x-request-id");
        if let Some(Ok(value)) = request.map(HeaderValue::from_str) {
            answer.headers_mut().insert(name, value);
        }
        answer
    }

    fn receipt(&self, call: &Call, key: Option<&str>, run: u64) -> Receipt {
        Receipt {
            service: self.name.to_string(),
            call: format!("{} {}", call.method, call.path),
            key: key.map(str::to_owned),
            run,
            digest: digest(&call.body),
        }
    }

    fn set_fault(&self, call: &Call) -> Response<BoxBody> {
        match serde_json::from_slice::<Fault>(&call.body) {
            Ok(fault) => {
                self.desk().set_fault(fault);
                json(StatusCode::OK, &fault)
            }
            Err(error) => text(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn load(&self) -> LoadReport {
        LoadReport {
            running: self.desk().counts().running,
            queued: 0,
            generation: 1,
            at_millis: u64::try_from(self.clock.now().as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl Handler for DeskService {
    async fn handle(&self, call: Call) -> Response<BoxBody> {
        match (&call.method, call.path.as_str()) {
            (&Method::POST, "/test/faults") => self.set_fault(&call),
            (&Method::GET, "/test/counts") => json(StatusCode::OK, self.desk().counts()),
            (&Method::GET, "/test/totals") => json(StatusCode::OK, &self.desk().totals()),
            (&Method::GET, "/load") => json(StatusCode::OK, &self.load()),
            _ => self.work(&call).await,
        }
    }
}

/// Ends a run even if its caller goes away while it waits.
struct Guard<'a>(Option<&'a DeskService>);

impl Guard<'_> {
    fn end(mut self) -> End {
        let service = self.0.take().expect("a guard ends once");
        service.desk().end()
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if let Some(service) = self.0.take() {
            service.desk().abandon();
        }
    }
}

/// Serves a plain service on a bound listener.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub fn run(listener: TcpListener, name: &str, options: DeskOptions) -> std::io::Result<Server> {
    let service = DeskService {
        name: name.into(),
        desk: Arc::new(Mutex::new(Desk::new(options))),
        clock: EpochClock::start(),
    };
    serve(listener, service)
}
