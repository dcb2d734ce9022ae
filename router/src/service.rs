//! The HTTP service of a traffic thread.
//!
//! Each traffic thread has its own client and filter chain. All threads share
//! the configuration snapshot and the channel to the control thread.

use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{HttpMessage, Request, Response};
use bytes::Bytes;
use entity::{
    Class, Clock, Cost, Fingerprint, IdempotencyKey, Now, Outcome, PrefixHash, Reason, Refusal,
    RequestId, RetryAdvice, SendPermit, Step, SystemClock,
};
use node::body::Body;
use node::client::{Client, IncomingResponse};
use node::daemon::RequestHandler;
use node::host::Snapshot;
use node::http::{header_text, read_body};
use policy::status::ANSWERED;
use policy::{Arrival, AttemptResult, DispatchOrder};
use rules::Config;
use tokio::sync::{mpsc, oneshot};
use uuid::Uuid;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::control::{Command, Input, Reporter, Submission};
use crate::exchange::{Exchange, Rejection};
use crate::filter::{self, Filter, FilterChain};
use crate::relay::{self, AnswerStream, SendResult};
use crate::respond::{self, RouterResponse};

/// The header that carries the caller's estimate of a request's cost, in cost units.
const COST_HINT_HEADER: &str = "x-cost-hint";

/// The header that carries the caller's time limit, in milliseconds.
const TIMEOUT_HEADER: &str = "x-timeout-ms";

/// The number of leading body bytes that the prefix hash covers.
const PREFIX_BYTES: usize = 512;

/// The delay after which a caller may retry a request that an overloaded router refused.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The maximum cost estimate of a caller; greater estimates are reduced to it.
const MAX_COST_HINT: u64 = 1_000_000;

/// The size limits of callers' requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// The maximum size of a request line and its headers in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request body in bytes.
    pub body_bytes: usize,
}

impl RequestHandler for Service {
    type Body = Body<AnswerStream>;

    fn handle(self: Rc<Self>, request: Request) -> impl Future<Output = RouterResponse> {
        self.handle_request(request)
    }
}

/// The state of one traffic thread.
pub struct Service {
    client: Client,
    chain: FilterChain,
    snapshot: Snapshot,
    reporter: Reporter,
    limits: RequestLimits,
    clock: SystemClock,
}

impl Service {
    /// Creates the service for the current thread.
    pub fn new(snapshot: Snapshot, reporter: Reporter, limits: RequestLimits) -> Rc<Self> {
        let client = Client::new();
        let chain = filter::filter_chain();
        Rc::new(Self {
            client,
            chain,
            snapshot,
            reporter,
            limits,
            clock: SystemClock,
        })
    }

    /// Handles one request.
    async fn handle_request(self: Rc<Self>, mut request: Request) -> RouterResponse {
        let id = RequestId(Uuid::now_v7().as_u128());
        let now = self.clock.now();
        let Some(config) = self.snapshot.load_full() else {
            let retry = RetryAdvice::After(RETRY_DELAY);
            let refusal = Refusal::new(Reason::NotConfigured, retry);
            let key = header_text(request.headers(), filter::KEY_HEADER);
            return respond::outcome_response(id, &refusal_outcome(key, refusal));
        };
        let mut exchange = new_exchange(id, config, &request);
        if head_size(&request) > self.limits.head_bytes {
            return self.reject(exchange, Rejection::permanent(Reason::TooLarge));
        }
        if let Err(rejection) = self.chain.apply(now, &mut exchange) {
            return self.reject(exchange, rejection);
        }
        exchange.body = match read_body(&mut request, self.limits.body_bytes).await {
            Ok(body) => body,
            Err(error) => {
                let reason = match error {
                    node::http::BodyError::TooLarge => Reason::TooLarge,
                    node::http::BodyError::Broken | node::http::BodyError::Slow => {
                        Reason::Malformed
                    }
                };
                return self.reject(exchange, Rejection::permanent(reason));
            }
        };
        self.run_request(now, exchange).await
    }

    fn reject(&self, mut exchange: Exchange, rejection: Rejection) -> RouterResponse {
        let rule = rejection.refusal.rule;
        let detail = format!("refused, not run: {}", rejection.refusal.reason);
        exchange.record(self.clock.now().wall, Step::End, rule.as_slice(), detail);
        let reason = rejection.refusal.reason;
        let decisions = exchange.decisions;
        self.reporter.report(Input::Rejected { reason, decisions });
        let outcome = refusal_outcome(exchange.key, rejection.refusal);
        respond::outcome_response(exchange.request, &outcome)
    }

    async fn run_request(&self, now: Now, mut exchange: Exchange) -> RouterResponse {
        let request = exchange.request;
        if exchange.is_ticket {
            return self.respond_with_ticket(now, exchange).await;
        }
        let arrival = new_arrival(now, &exchange);
        let decisions = std::mem::take(&mut exchange.decisions);
        let (sender, mut commands) = mpsc::unbounded_channel();
        if !self.reporter.submit(Submission {
            arrival,
            decisions,
            commands: sender,
        }) {
            let retry = RetryAdvice::After(RETRY_DELAY);
            let refusal = Refusal::new(Reason::QueueFull, retry);
            return respond::outcome_response(request, &refusal_outcome(exchange.key, refusal));
        }
        let mut guard = DisconnectGuard {
            reporter: self.reporter.clone(),
            request: Some(request),
        };
        let mut completed = self.execute_commands(&exchange, &mut commands).await;
        guard.disarm();
        if let Some(issued_key) = completed.issued_key {
            respond::insert_key_header(completed.response.headers_mut(), &issued_key);
        }
        completed.response
    }

    /// Executes the commands for a request until it ends.
    async fn execute_commands(
        &self,
        exchange: &Exchange,
        commands: &mut mpsc::UnboundedReceiver<Command>,
    ) -> Completed {
        let request = exchange.request;
        let mut issued_key = None;
        while let Some(command) = commands.recv().await {
            let order = match command {
                Command::Dispatch(order) => order,
                Command::Finish(outcome) => {
                    let response = respond::outcome_response(request, &outcome);
                    return Completed {
                        response,
                        issued_key,
                    };
                }
                // The attempt that this command names has ended already.
                Command::Cancel(_) => continue,
            };
            issued_key = order.offer.key.filter(|_| exchange.key.is_none());
            match self.send_attempt(exchange, &order, commands).await {
                AttemptOutcome::Answer(answer) => {
                    let response = self.stream_response(request, &order, *answer);
                    return Completed {
                        response,
                        issued_key,
                    };
                }
                AttemptOutcome::Ended(result) => {
                    let attempt = order.offer.attempt;
                    self.reporter.report(Input::Ended { attempt, result });
                }
                AttemptOutcome::Finished(outcome) => {
                    let response = respond::outcome_response(request, &outcome);
                    return Completed {
                        response,
                        issued_key,
                    };
                }
                AttemptOutcome::Abandoned => {}
            }
        }
        // The control thread dropped the sender: the process is shutting down.
        let refusal = Refusal::new(Reason::Stopping, RetryAdvice::VerifyFirst);
        let response = respond::outcome_response(request, &Outcome::Unknown { refusal });
        Completed {
            response,
            issued_key,
        }
    }

    /// Responds with a ticket that the caller can use as its idempotency key.
    async fn respond_with_ticket(&self, now: Now, mut exchange: Exchange) -> RouterResponse {
        let request = exchange.request;
        let arrival = new_arrival(now, &exchange);
        let decisions = std::mem::take(&mut exchange.decisions);
        self.reporter.report(Input::Recorded(decisions));
        let (reply, ticket) = oneshot::channel();
        let arrival = Box::new(arrival);
        self.reporter.report(Input::Ticket { arrival, reply });
        match ticket.await {
            Ok(Ok(ticket)) => respond::ticket_response(request, &ticket),
            Ok(Err(refusal)) => respond::rejection_response(request, Rejection { refusal }),
            Err(_) => respond::outcome_response(request, &not_run_outcome(Reason::Stopping)),
        }
    }

    /// Sends an attempt. A command that arrives before the answer abandons it,
    /// which closes the connection and thereby cancels the attempt at the agent.
    async fn send_attempt(
        &self,
        exchange: &Exchange,
        order: &DispatchOrder,
        commands: &mut mpsc::UnboundedReceiver<Command>,
    ) -> AttemptOutcome {
        let sending = relay::send(&self.client, exchange, order, &self.reporter);
        tokio::select! {
            result = sending => match result {
                SendResult::Answer(response) => AttemptOutcome::Answer(response),
                SendResult::Ended(result) => AttemptOutcome::Ended(result),
            },
            command = commands.recv() => match command {
                Some(Command::Finish(outcome)) => AttemptOutcome::Finished(outcome),
                Some(Command::Cancel(_) | Command::Dispatch(_)) | None => AttemptOutcome::Abandoned,
            },
        }
    }

    fn stream_response(
        &self,
        request: RequestId,
        order: &DispatchOrder,
        response: IncomingResponse,
    ) -> RouterResponse {
        let status = response.status;
        let mut answer: RouterResponse = Response::new(status).set_body(Body::Full(Bytes::new()));
        respond::copy_headers(&response.headers, answer.head_mut());
        respond::insert_outcome_headers(answer.headers_mut(), request, ANSWERED);
        let stream = AnswerStream::new(response.body, self.reporter.clone(), order);
        answer.set_body(Body::Stream(stream))
    }
}

/// The response to a request and the key that was issued for it.
struct Completed {
    response: RouterResponse,
    issued_key: Option<IdempotencyKey>,
}

/// The result of one attempt.
enum AttemptOutcome {
    Answer(Box<IncomingResponse>),
    Ended(AttemptResult),
    Finished(Outcome),
    Abandoned,
}

/// Reports that the caller disconnected if it is dropped before `disarm` is called.
///
/// The HTTP layer drops the handler of a request when its connection closes.
struct DisconnectGuard {
    reporter: Reporter,
    request: Option<RequestId>,
}

impl DisconnectGuard {
    fn disarm(&mut self) {
        self.request = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            self.reporter.report(Input::CallerGone(request));
        }
    }
}

/// Returns the size of a request line and its headers as they were sent, in bytes.
fn head_size(request: &Request) -> usize {
    let line = request.method().as_str().len() + request.uri().to_string().len();
    let headers = request.headers().iter();
    line + headers
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum::<usize>()
}

fn new_exchange(request: RequestId, config: Arc<Config>, http: &Request) -> Exchange {
    Exchange {
        request,
        config,
        method: http.method().clone(),
        uri: http.uri().clone(),
        headers: http.headers().clone(),
        body: Bytes::new(),
        team: None,
        route: None,
        key: None,
        is_ticket: false,
        decisions: Vec::new(),
    }
}

/// Returns the outcome of a request that the router refuses without a reply from an agent.
///
/// With a key it is unknown: an earlier request with the same key may have run.
fn refusal_outcome<K>(key: Option<K>, refusal: Refusal) -> Outcome {
    match key {
        Some(_) => Outcome::Unknown { refusal },
        None => Outcome::NotRun {
            refusal,
            proof: SendPermit::new().cancel(),
        },
    }
}

fn not_run_outcome(reason: Reason) -> Outcome {
    let refusal = Refusal::new(reason, RetryAdvice::After(RETRY_DELAY));
    Outcome::NotRun {
        refusal,
        proof: SendPermit::new().cancel(),
    }
}

fn new_arrival(now: Now, exchange: &Exchange) -> Arrival {
    let team = exchange.team.expect("the filter chain identified the team");
    let id = exchange.route.expect("the filter chain matched a route");
    let config = &exchange.config;
    let route = config.routes[id]
        .as_ref()
        .expect("a matched route is in the route table");
    let class = route
        .class
        .or_else(|| config.teams[team].as_ref().map(|team| team.class));
    let limit = numeric_header(exchange, TIMEOUT_HEADER).map(Duration::from_millis);
    let timeout = limit.map_or(route.timeout, |limit| limit.min(route.timeout));
    Arrival {
        request: exchange.request,
        team,
        route: id,
        pool: route.pool,
        class: class.unwrap_or(Class::Standard),
        hint: numeric_header(exchange, COST_HINT_HEADER)
            .map(|hint| Cost(hint.min(MAX_COST_HINT) as i64)),
        deadline: now.mono + timeout,
        key: exchange.key,
        fingerprint: fingerprint(exchange),
        prefix: Some(PrefixHash(xxh3_64(
            &exchange.body[..exchange.body.len().min(PREFIX_BYTES)],
        ))),
    }
}

fn numeric_header(exchange: &Exchange, header: &str) -> Option<u64> {
    header_text(&exchange.headers, header)?.parse().ok()
}

fn fingerprint(exchange: &Exchange) -> Fingerprint {
    let config = &exchange.config;
    let mut hash = Xxh3::new();
    if let Some(team) = exchange.team {
        hash.update(&config.names.teams.tag(team).0.to_le_bytes());
    }
    if let Some(route) = exchange.route {
        hash.update(&config.names.routes.tag(route).0.to_le_bytes());
    }
    hash.update(exchange.uri.path().as_bytes());
    hash.update(&exchange.body);
    Fingerprint(hash.digest128())
}
