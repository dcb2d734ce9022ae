//! The HTTP API of the engine and the task that runs its steps.

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

use super::answer::{DONE, complete_answer, stream_chunk};
use super::batch::{Phase, SequenceId};
use super::core::{Engine, EngineOptions, EngineRequest, Rejection, Resumed};
use super::fault::Fault;
use super::order::Order;
use super::report::EngineReport;
use super::text::AnswerText;
use crate::http::{
    BufferedRequest, ConnectionDropped, EpochClock, Handler, drop_connection, json_response, serve,
    stream_response, text_response,
};

/// The interval at which an idle engine is polled if nothing wakes it earlier.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A cached prefix as transferred between engines.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
struct PrefixBlob {
    /// The tokens of the prefix.
    tokens: u32,
}

#[derive(Debug)]
struct TokenSink {
    sink_id: u64,
    tokens: UnboundedSender<u32>,
}

#[derive(Debug)]
struct State {
    engine: Engine,
    sinks: BTreeMap<SequenceId, TokenSink>,
    last_sink_id: u64,
    pending_pause: Duration,
    step_factor: u32,
}

impl State {
    fn open_sink(&mut self, sequence: SequenceId) -> (u64, UnboundedReceiver<u32>) {
        let (tokens, receiver) = unbounded();
        self.last_sink_id += 1;
        let sink_id = self.last_sink_id;
        self.sinks.insert(sequence, TokenSink { sink_id, tokens });
        (sink_id, receiver)
    }

    fn close_sinks(&mut self, sequences: &[SequenceId]) {
        for sequence in sequences {
            self.sinks.remove(sequence);
        }
    }

    fn step(&mut self, now: Duration) {
        let step = self.engine.step(now);
        self.close_sinks(&step.crashed);
        for token in &step.tokens {
            if let Some(sink) = self.sinks.get(&token.sequence) {
                // A send fails only if the receiver was dropped; its `CancelGuard` then cancels
                // the sequence.
                let _ = sink.tokens.unbounded_send(token.index);
            }
            if token.last {
                self.sinks.remove(&token.sequence);
            }
        }
    }
}

/// The engine and the token sinks of its open responses.
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
            sinks: BTreeMap::new(),
            last_sink_id: 0,
            pending_pause: Duration::ZERO,
            step_factor: 1,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            wake: Arc::new(Notify::new()),
            clock,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    fn now(&self) -> Duration {
        self.clock.now()
    }

    async fn run_steps(self) {
        loop {
            let (phase, idle, wait) = {
                let mut state = self.state();
                let pause = std::mem::take(&mut state.pending_pause);
                let step = state.engine.step_time() * state.step_factor;
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
                    let _ = actix_rt::time::timeout(IDLE_POLL_INTERVAL, self.wake.notified()).await;
                }
                _ => {
                    actix_rt::time::sleep(wait).await;
                    let now = self.now();
                    self.state().step(now);
                }
            }
        }
    }

    async fn complete(&self, request: &BufferedRequest) -> Response<BoxBody> {
        let request_id = request.header("x-request-id").unwrap_or("none").to_owned();
        let engine_request = EngineRequest {
            request_id: request_id.clone(),
            key: request.header("idempotency-key").map(str::to_owned),
            body: request.body.clone(),
        };
        let opened = {
            let mut state = self.state();
            match state.engine.start(self.now(), &engine_request) {
                Ok(admitted) => (admitted, state.open_sink(admitted.sequence)),
                Err(Rejection::Malformed(error)) => {
                    return text_response(StatusCode::BAD_REQUEST, error.to_string());
                }
                Err(Rejection::Down) => return drop_connection(),
                Err(Rejection::Crashed(crashed_sequences)) => {
                    state.close_sinks(&crashed_sequences);
                    self.wake.notify_one();
                    return drop_connection();
                }
            }
        };
        self.wake.notify_one();
        let (admitted, (sink_id, tokens)) = opened;
        let guard = CancelGuard {
            service: self.clone(),
            sequence: admitted.sequence,
            sink_id,
        };
        let mut response = match admitted.streamed {
            true => {
                let events =
                    self.event_stream(&request_id, admitted.answer_text, 0..0, tokens, guard);
                stream_response("text/event-stream", events)
            }
            false => collect_answer(&request_id, admitted.answer_text, tokens, guard).await,
        };
        set_request_id_header(&mut response, &request_id);
        response
    }

    fn resume(&self, request_id: &str, offset: u32) -> Response<BoxBody> {
        let mut state = self.state();
        match state.engine.resume(self.now(), request_id, offset) {
            Resumed::Running {
                sequence,
                answer_text,
                tokens_generated,
            } => {
                let (sink_id, tokens) = state.open_sink(sequence);
                let guard = CancelGuard {
                    service: self.clone(),
                    sequence,
                    sink_id,
                };
                self.wake.notify_one();
                let events = self.event_stream(
                    request_id,
                    answer_text,
                    offset..tokens_generated,
                    tokens,
                    guard,
                );
                let mut response = stream_response("text/event-stream", events);
                set_request_id_header(&mut response, request_id);
                response
            }
            Resumed::Finished(answer_text) => {
                let rest: String = (offset..answer_text.length())
                    .map(|index| stream_chunk(request_id, answer_text, index))
                    .collect();
                let mut response = text_response(StatusCode::OK, rest + DONE);
                set_request_id_header(&mut response, request_id);
                response
            }
            Resumed::Unknown => text_response(StatusCode::NOT_FOUND, "unknown request"),
            Resumed::Down => drop_connection(),
            Resumed::Crashed(crashed_sequences) => {
                state.close_sinks(&crashed_sequences);
                self.wake.notify_one();
                drop_connection()
            }
        }
    }

    fn event_stream(
        &self,
        request_id: &str,
        answer_text: AnswerText,
        replay: std::ops::Range<u32>,
        tokens: UnboundedReceiver<u32>,
        guard: CancelGuard,
    ) -> impl Stream<Item = Result<Bytes, ConnectionDropped>> + 'static {
        let request_id = request_id.to_owned();
        let start = replay.end.max(replay.start);
        let tokens = futures::stream::iter(replay)
            .chain(tokens.filter(move |index| futures::future::ready(*index >= start)));
        let total = answer_text.length();
        let open = Some((Box::pin(tokens), guard));
        futures::stream::unfold((open, 0_u32), move |(open, done)| {
            let request_id = request_id.clone();
            async move {
                let (mut tokens, guard) = open?;
                match tokens.next().await {
                    Some(index) => {
                        let event = Bytes::from(stream_chunk(&request_id, answer_text, index));
                        Some((Ok(event), (Some((tokens, guard)), index + 1)))
                    }
                    None if done == total => Some((Ok(Bytes::from(DONE)), (None, done))),
                    None => Some((Err(ConnectionDropped), (None, done))),
                }
            }
        })
    }

    fn cancel(&self, request_id: &str) -> Response<BoxBody> {
        let now = self.now();
        let mut state = self.state();
        let Some(sequence) = state.engine.sequence_of(request_id) else {
            return text_response(StatusCode::NOT_FOUND, "not running");
        };
        state.engine.cancel(now, sequence);
        state.close_sinks(&[sequence]);
        json_response(StatusCode::OK, &true)
    }

    fn key_value(&self, prefix: &str, request: &BufferedRequest) -> Response<BoxBody> {
        let Ok(prefix) = u64::from_str_radix(prefix, 16) else {
            return text_response(StatusCode::BAD_REQUEST, "a prefix is a hexadecimal number");
        };
        let mut state = self.state();
        match request.method {
            Method::PUT => match serde_json::from_slice::<PrefixBlob>(&request.body) {
                Ok(blob) => {
                    state.engine.import(self.now(), prefix, blob.tokens);
                    json_response(StatusCode::OK, &blob)
                }
                Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
            },
            _ => match state.engine.export(prefix) {
                Some(tokens) => json_response(StatusCode::OK, &PrefixBlob { tokens }),
                None => text_response(StatusCode::NOT_FOUND, "not cached"),
            },
        }
    }

    fn order(&self, request: &BufferedRequest) -> Response<BoxBody> {
        let order = match serde_json::from_slice::<Order>(&request.body) {
            Ok(order) => order,
            Err(error) => return text_response(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let number = request.header("x-fencing").and_then(|n| n.parse().ok());
        match self.state().engine.order(number, order) {
            Ok(()) => json_response(StatusCode::OK, &true),
            Err(error) => text_response(StatusCode::CONFLICT, error.to_string()),
        }
    }

    fn set_fault(&self, request: &BufferedRequest) -> Response<BoxBody> {
        let fault = match serde_json::from_slice::<Fault>(&request.body) {
            Ok(fault) => fault,
            Err(error) => return text_response(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let now = self.now();
        let mut state = self.state();
        match fault {
            Fault::Crash => {
                let crashed_sequences = state.engine.crash(now);
                state.close_sinks(&crashed_sequences);
            }
            Fault::Cool => state.engine.cool(now),
            Fault::Slow { factor } => state.step_factor = factor.max(1),
            Fault::Pause { millis } => state.pending_pause = Duration::from_millis(millis),
            Fault::CutStreams => state.sinks.clear(),
        }
        self.wake.notify_one();
        json_response(StatusCode::OK, &fault)
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
    async fn handle(&self, request: BufferedRequest) -> Response<BoxBody> {
        let now = self.now();
        let parts: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        match (&request.method, parts.as_slice()) {
            (&Method::POST, ["test", "faults"]) => self.set_fault(&request),
            (&Method::GET, ["test", "counts"]) => {
                json_response(StatusCode::OK, &self.state().engine.counts(now))
            }
            (&Method::GET, ["test", "totals"]) => {
                json_response(StatusCode::OK, &self.state().engine.totals(now))
            }
            (&Method::GET, ["test", "orders"]) => {
                json_response(StatusCode::OK, &self.state().engine.orders().accepted())
            }
            _ if self.is_down() => drop_connection(),
            (&Method::POST, ["v1", "chat", "completions"]) => self.complete(&request).await,
            (&Method::GET, ["load"]) => json_response(StatusCode::OK, &self.report(now)),
            (&Method::POST, ["v1", "cancel", request_id]) => self.cancel(request_id),
            (&Method::GET, ["v1", "streams", request_id]) => {
                let offset = request.number("offset").unwrap_or(0);
                self.resume(request_id, u32::try_from(offset).unwrap_or(u32::MAX))
            }
            (&Method::GET, ["v1", "cache", "events"]) => {
                let after = request.number("after").unwrap_or(0);
                json_response(
                    StatusCode::OK,
                    &self.state().engine.cache_events(now, after),
                )
            }
            (&(Method::GET | Method::PUT), ["v1", "kv", prefix]) => {
                self.key_value(prefix, &request)
            }
            (&Method::POST, ["v1", "orders"]) => self.order(&request),
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

/// Cancels the sequence when the client that reads it disconnects.
#[derive(Debug)]
struct CancelGuard {
    service: EngineService,
    sequence: SequenceId,
    sink_id: u64,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let now = self.service.now();
        let mut state = self.service.state();
        let owns_sink = state
            .sinks
            .get(&self.sequence)
            .is_some_and(|sink| sink.sink_id == self.sink_id);
        if owns_sink {
            state.sinks.remove(&self.sequence);
            state.engine.cancel(now, self.sequence);
        }
    }
}

async fn collect_answer(
    request_id: &str,
    answer_text: AnswerText,
    mut tokens: UnboundedReceiver<u32>,
    guard: CancelGuard,
) -> Response<BoxBody> {
    let mut done = 0;
    while let Some(index) = tokens.next().await {
        done = index + 1;
    }
    drop(guard);
    match done == answer_text.length() {
        true => json_response(StatusCode::OK, &complete_answer(request_id, answer_text)),
        false => drop_connection(),
    }
}

fn set_request_id_header(response: &mut Response<BoxBody>, request_id: &str) {
    let name = actix_http::header::HeaderName::from_static("x-request-id");
    if let Ok(value) = actix_http::header::HeaderValue::from_str(request_id) {
        response.headers_mut().insert(name, value);
    }
}

/// Serves an engine on a bound listener. Must be called within a running `actix_rt` system.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub fn run(listener: TcpListener, options: EngineOptions) -> std::io::Result<Server> {
    let service = EngineService::new(options);
    actix_rt::spawn(service.clone().run_steps());
    serve(listener, service)
}
