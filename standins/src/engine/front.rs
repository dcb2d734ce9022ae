//! The HTTP front of the engine and the task that drives its steps.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Method, Response, StatusCode};
use actix_server::Server;
use bytes::Bytes;
use futures::channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures::{Stream, StreamExt as _};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::answer::{DONE, chunk, whole};
use super::batch::{Phase, SequenceId};
use super::core::{Arrival, Engine, EngineOptions, Rejection, Resumed};
use super::fault::Fault;
use super::order::Order;
use super::report::EngineReport;
use super::text::Script;
use crate::http::{Call, Dropped, EpochClock, Handler, drop_connection, json, serve, stream, text};

/// The longest time between two looks at an idle engine.
const IDLE_LOOK: Duration = Duration::from_millis(50);

/// A cached prefix as it travels between engines.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
struct PrefixBlob {
    /// The tokens of the prefix.
    tokens: u32,
}

#[derive(Debug)]
struct Outlet {
    number: u64,
    tokens: UnboundedSender<u32>,
}

#[derive(Debug)]
struct State {
    engine: Engine,
    outlets: BTreeMap<SequenceId, Outlet>,
    last_outlet: u64,
    paused: Duration,
    factor: u32,
}

impl State {
    fn open(&mut self, sequence: SequenceId) -> (u64, UnboundedReceiver<u32>) {
        let (tokens, receiver) = unbounded();
        self.last_outlet += 1;
        let number = self.last_outlet;
        self.outlets.insert(sequence, Outlet { number, tokens });
        (number, receiver)
    }

    fn close(&mut self, sequences: &[SequenceId]) {
        for sequence in sequences {
            self.outlets.remove(sequence);
        }
    }

    fn step(&mut self, now: Duration) {
        let step = self.engine.step(now);
        self.close(&step.crashed);
        for token in &step.tokens {
            if let Some(outlet) = self.outlets.get(&token.sequence) {
                // A receiver that is gone cancels its sequence itself.
                let _ = outlet.tokens.unbounded_send(token.index);
            }
            if token.last {
                self.outlets.remove(&token.sequence);
            }
        }
    }
}

/// The engine behind its HTTP front.
#[derive(Clone, Debug)]
struct EngineService {
    state: Arc<Mutex<State>>,
    wake: Arc<Notify>,
    clock: EpochClock,
}

impl EngineService {
    fn new(options: EngineOptions) -> Self {
        let clock = EpochClock::start();
        let state = State {
            engine: Engine::new(clock.now(), options),
            outlets: BTreeMap::new(),
            last_outlet: 0,
            paused: Duration::ZERO,
            factor: 1,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            wake: Arc::new(Notify::new()),
            clock,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    fn now(&self) -> Duration {
        self.clock.now()
    }

    async fn drive(self) {
        loop {
            let (phase, idle, wait) = {
                let mut state = self.state();
                let pause = std::mem::take(&mut state.paused);
                let step = state.engine.step_time() * state.factor;
                (state.engine.phase(), state.engine.is_idle(), step + pause)
            };
            match phase {
                Phase::Down => {
                    let down = self.state().engine.down_time();
                    actix_rt::time::sleep(down).await;
                    let now = self.now();
                    self.state().engine.restart(now);
                }
                _ if idle => {
                    let _ = actix_rt::time::timeout(IDLE_LOOK, self.wake.notified()).await;
                }
                _ => {
                    actix_rt::time::sleep(wait).await;
                    let now = self.now();
                    self.state().step(now);
                }
            }
        }
    }

    async fn complete(&self, call: &Call) -> Response<BoxBody> {
        let request = call.header("x-request-id").unwrap_or("none").to_owned();
        let arrival = Arrival {
            request: request.clone(),
            key: call.header("idempotency-key").map(str::to_owned),
            body: call.body.clone(),
        };
        let opened = {
            let mut state = self.state();
            match state.engine.start(self.now(), &arrival) {
                Ok(admitted) => (admitted, state.open(admitted.sequence)),
                Err(Rejection::Malformed(error)) => {
                    return text(StatusCode::BAD_REQUEST, error.to_string());
                }
                Err(Rejection::Down) => return drop_connection(),
                Err(Rejection::Died(died)) => {
                    state.close(&died);
                    self.wake.notify_one();
                    return drop_connection();
                }
            }
        };
        self.wake.notify_one();
        let (admitted, (outlet, tokens)) = opened;
        let guard = Guard {
            service: self.clone(),
            sequence: admitted.sequence,
            outlet,
        };
        let mut answer = match admitted.streamed {
            true => {
                let pieces = self.pieces(&request, admitted.script, 0..0, tokens, guard);
                stream("text/event-stream", pieces)
            }
            false => collect(&request, admitted.script, tokens, guard).await,
        };
        echo(&mut answer, &request);
        answer
    }

    fn resume(&self, request: &str, offset: u32) -> Response<BoxBody> {
        let mut state = self.state();
        match state.engine.resume(self.now(), request, offset) {
            Resumed::Running {
                sequence,
                script,
                made,
            } => {
                let (outlet, tokens) = state.open(sequence);
                let guard = Guard {
                    service: self.clone(),
                    sequence,
                    outlet,
                };
                self.wake.notify_one();
                let pieces = self.pieces(request, script, offset..made, tokens, guard);
                let mut answer = stream("text/event-stream", pieces);
                echo(&mut answer, request);
                answer
            }
            Resumed::Finished(script) => {
                let rest: String = (offset..script.length())
                    .map(|index| chunk(request, script, index))
                    .collect();
                let mut answer = text(StatusCode::OK, rest + DONE);
                echo(&mut answer, request);
                answer
            }
            Resumed::Unknown => text(StatusCode::NOT_FOUND, "unknown request"),
            Resumed::Down => drop_connection(),
            Resumed::Died(died) => {
                state.close(&died);
                self.wake.notify_one();
                drop_connection()
            }
        }
    }

    fn pieces(
        &self,
        request: &str,
        script: Script,
        replay: std::ops::Range<u32>,
        tokens: UnboundedReceiver<u32>,
        guard: Guard,
    ) -> impl Stream<Item = Result<Bytes, Dropped>> + 'static {
        let request = request.to_owned();
        let start = replay.end.max(replay.start);
        let tokens = futures::stream::iter(replay)
            .chain(tokens.filter(move |index| futures::future::ready(*index >= start)));
        let whole = script.length();
        let open = Some((Box::pin(tokens), guard));
        futures::stream::unfold((open, 0_u32), move |(open, done)| {
            let request = request.clone();
            async move {
                let (mut tokens, guard) = open?;
                match tokens.next().await {
                    Some(index) => {
                        let piece = Bytes::from(chunk(&request, script, index));
                        Some((Ok(piece), (Some((tokens, guard)), index + 1)))
                    }
                    None if done == whole => Some((Ok(Bytes::from(DONE)), (None, done))),
                    None => Some((Err(Dropped), (None, done))),
                }
            }
        })
    }

    fn cancel(&self, request: &str) -> Response<BoxBody> {
        let now = self.now();
        let mut state = self.state();
        let Some(sequence) = state.engine.sequence_of(request) else {
            return text(StatusCode::NOT_FOUND, "not running");
        };
        state.engine.cancel(now, sequence);
        state.close(&[sequence]);
        json(StatusCode::OK, &true)
    }

    fn key_value(&self, prefix: &str, call: &Call) -> Response<BoxBody> {
        let Ok(prefix) = u64::from_str_radix(prefix, 16) else {
            return text(StatusCode::BAD_REQUEST, "a prefix is a hexadecimal number");
        };
        let mut state = self.state();
        match call.method {
            Method::PUT => match serde_json::from_slice::<PrefixBlob>(&call.body) {
                Ok(blob) => {
                    state.engine.import(self.now(), prefix, blob.tokens);
                    json(StatusCode::OK, &blob)
                }
                Err(error) => text(StatusCode::BAD_REQUEST, error.to_string()),
            },
            _ => match state.engine.export(prefix) {
                Some(tokens) => json(StatusCode::OK, &PrefixBlob { tokens }),
                None => text(StatusCode::NOT_FOUND, "not cached"),
            },
        }
    }

    fn order(&self, call: &Call) -> Response<BoxBody> {
        let order = match serde_json::from_slice::<Order>(&call.body) {
            Ok(order) => order,
            Err(error) => return text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let number = call.header("x-fencing").and_then(|n| n.parse().ok());
        match self.state().engine.order(number, order) {
            Ok(()) => json(StatusCode::OK, &true),
            Err(error) => text(StatusCode::CONFLICT, error.to_string()),
        }
    }

    fn set_fault(&self, call: &Call) -> Response<BoxBody> {
        let fault = match serde_json::from_slice::<Fault>(&call.body) {
            Ok(fault) => fault,
            Err(error) => return text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let now = self.now();
        let mut state = self.state();
        match fault {
            Fault::Crash => {
                let died = state.engine.crash(now);
                state.close(&died);
            }
            Fault::Cool => state.engine.cool(now),
            Fault::Slow { factor } => state.factor = factor.max(1),
            Fault::Pause { millis } => state.paused = Duration::from_millis(millis),
            Fault::CutStreams => state.outlets.clear(),
        }
        self.wake.notify_one();
        json(StatusCode::OK, &fault)
    }

    fn report(&self, now: Duration) -> EngineReport {
        let state = self.state();
        EngineReport {
            load: state.engine.load(now),
            models: state.engine.orders().models().clone(),
        }
    }

    fn is_down(&self) -> bool {
        self.state().engine.phase() == Phase::Down
    }
}

impl Handler for EngineService {
    async fn handle(&self, call: Call) -> Response<BoxBody> {
        let now = self.now();
        let parts: Vec<&str> = call.path.trim_matches('/').split('/').collect();
        match (&call.method, parts.as_slice()) {
            (&Method::POST, ["test", "faults"]) => self.set_fault(&call),
            (&Method::GET, ["test", "counts"]) => {
                json(StatusCode::OK, &self.state().engine.counts(now))
            }
            (&Method::GET, ["test", "totals"]) => {
                json(StatusCode::OK, &self.state().engine.totals(now))
            }
            (&Method::GET, ["test", "orders"]) => {
                json(StatusCode::OK, &self.state().engine.orders().taken())
            }
            _ if self.is_down() => drop_connection(),
            (&Method::POST, ["v1", "chat", "completions"]) => self.complete(&call).await,
            (&Method::GET, ["load"]) => json(StatusCode::OK, &self.report(now)),
            (&Method::POST, ["v1", "cancel", request]) => self.cancel(request),
            (&Method::GET, ["v1", "streams", request]) => {
                let offset = call.number("offset").unwrap_or(0);
                self.resume(request, u32::try_from(offset).unwrap_or(u32::MAX))
            }
            (&Method::GET, ["v1", "cache", "events"]) => {
                let after = call.number("after").unwrap_or(0);
                json(
                    StatusCode::OK,
                    &self.state().engine.cache_events(now, after),
                )
            }
            (&(Method::GET | Method::PUT), ["v1", "kv", prefix]) => self.key_value(prefix, &call),
            (&Method::POST, ["v1", "orders"]) => self.order(&call),
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

/// Cancels the sequence when the connection that reads it goes away.
#[derive(Debug)]
struct Guard {
    service: EngineService,
    sequence: SequenceId,
    outlet: u64,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let now = self.service.now();
        let mut state = self.service.state();
        let own = state
            .outlets
            .get(&self.sequence)
            .is_some_and(|outlet| outlet.number == self.outlet);
        if own {
            state.outlets.remove(&self.sequence);
            state.engine.cancel(now, self.sequence);
        }
    }
}

async fn collect(
    request: &str,
    script: Script,
    mut tokens: UnboundedReceiver<u32>,
    guard: Guard,
) -> Response<BoxBody> {
    let mut done = 0;
    while let Some(index) = tokens.next().await {
        done = index + 1;
    }
    drop(guard);
    match done == script.length() {
        true => json(StatusCode::OK, &whole(request, script)),
        false => drop_connection(),
    }
}

fn echo(answer: &mut Response<BoxBody>, request: &str) {
    let name = actix_http::header::HeaderName::from_static("x-request-id");
    if let Ok(value) = actix_http::header::HeaderValue::from_str(request) {
        answer.headers_mut().insert(name, value);
    }
}

/// Serves an engine on a bound listener. Call it inside a running system.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub fn run(listener: TcpListener, options: EngineOptions) -> std::io::Result<Server> {
    let service = EngineService::new(options);
    actix_rt::spawn(service.clone().drive());
    serve(listener, service)
}
