//! The HTTP API of the plain service.

use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard};

use actix_http::body::BoxBody;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, Response, StatusCode};
use actix_server::Server;
use serde::{Deserialize, Serialize};

use super::state::{Fault, FinishDecision, ServiceOptions, ServiceState, StartDecision};
use crate::engine::{LoadReport, digest};
use crate::http::{
    BufferedRequest, EpochClock, Handler, drop_connection, json_response, serve, text_response,
};

/// The response body of a request that ran.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Receipt {
    /// The service's name.
    pub service: String,
    /// The method and path.
    pub call: String,
    /// The idempotency key, if the request had one.
    pub key: Option<String>,
    /// How often the key has run, counted from 1 with this run included.
    pub run: u64,
    /// The SHA-256 of the request body.
    pub digest: String,
}

#[derive(Clone, Debug)]
struct ServiceHandler {
    name: Arc<str>,
    state: Arc<Mutex<ServiceState>>,
    clock: EpochClock,
}

impl ServiceHandler {
    fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    async fn run_request(&self, request: &BufferedRequest) -> Response<BoxBody> {
        let request_id = request.header("x-request-id");
        let key = request.header("idempotency-key");
        let try_start = self.state().try_start(request_id, key);
        let mut response = match try_start {
            StartDecision::Disconnect => drop_connection(),
            StartDecision::Busy => text_response(StatusCode::SERVICE_UNAVAILABLE, "busy"),
            StartDecision::Run { run, time } => {
                let run_guard = RunGuard(Some(self));
                actix_rt::time::sleep(time).await;
                match run_guard.finish() {
                    FinishDecision::Disconnect => drop_connection(),
                    FinishDecision::Answer => {
                        json_response(StatusCode::OK, &self.receipt(request, key, run))
                    }
                }
            }
        };
        let name = HeaderName::from_static("x-request-id");
        if let Some(Ok(value)) = request_id.map(HeaderValue::from_str) {
            response.headers_mut().insert(name, value);
        }
        response
    }

    fn receipt(&self, request: &BufferedRequest, key: Option<&str>, run: u64) -> Receipt {
        Receipt {
            service: self.name.to_string(),
            call: format!("{} {}", request.method, request.path),
            key: key.map(str::to_owned),
            run,
            digest: digest(&request.body),
        }
    }

    fn set_fault(&self, request: &BufferedRequest) -> Response<BoxBody> {
        match serde_json::from_slice::<Fault>(&request.body) {
            Ok(fault) => {
                self.state().set_fault(fault);
                json_response(StatusCode::OK, &fault)
            }
            Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn load(&self) -> LoadReport {
        LoadReport {
            running: self.state().counts().running,
            queued: 0,
            generation: 1,
            at_millis: u64::try_from(self.clock.now().as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl Handler for ServiceHandler {
    async fn handle(&self, request: BufferedRequest) -> Response<BoxBody> {
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/test/faults") => self.set_fault(&request),
            (&Method::GET, "/test/counts") => json_response(StatusCode::OK, self.state().counts()),
            (&Method::GET, "/test/totals") => json_response(StatusCode::OK, &self.state().totals()),
            (&Method::GET, "/load") => json_response(StatusCode::OK, &self.load()),
            _ => self.run_request(&request).await,
        }
    }
}

/// Records a run as cancelled if the client disconnects before the run has finished.
struct RunGuard<'a>(Option<&'a ServiceHandler>);

impl RunGuard<'_> {
    fn finish(mut self) -> FinishDecision {
        let service = self.0.take().expect("a guard is finished once");
        service.state().finish()
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        if let Some(service) = self.0.take() {
            service.state().cancel();
        }
    }
}

/// Serves a plain service on a bound listener.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub fn run(listener: TcpListener, name: &str, options: ServiceOptions) -> std::io::Result<Server> {
    let service = ServiceHandler {
        name: name.into(),
        state: Arc::new(Mutex::new(ServiceState::new(options))),
        clock: EpochClock::start(),
    };
    serve(listener, service)
}
