//! The HTTP service of one traffic thread.
//!
//! Every traffic thread has its own client and its own filter chain; it shares
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

use crate::control::{Input, Order, Reporter, Submission};
use crate::exchange::{Exchange, Rejection};
use crate::filter::{self, Chain, Filter};
use crate::relay::{self, AnswerStream, Relayed};
use crate::respond::{self, Answer};

/// Carries the caller's hint of a request's cost, in cost units.
const HINT_HEADER: &str = "x-cost-hint";

/// Carries the caller's time limit, in milliseconds.
const TIMEOUT_HEADER: &str = "x-timeout-ms";

/// The number of leading body bytes that the prefix hash covers.
const PREFIX_BYTES: usize = 512;

/// How long a caller should wait before it repeats a request to an overloaded router.
const OVERLOAD_DELAY: Duration = Duration::from_secs(1);

/// The greatest cost that a caller's hint can state.
const MAX_HINT: u64 = 1_000_000;

/// The limits of what callers may send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The greatest size of a request's line and headers, in bytes.
    pub head: usize,
    /// The greatest size of a request body, in bytes.
    pub body: usize,
}

impl RequestHandler for Service {
    type Body = Body<AnswerStream>;

    fn handle(self: Rc<Self>, request: Request) -> impl Future<Output = Answer> {
        self.answer(request)
    }
}

/// The state of one traffic thread.
pub struct Service {
    client: Client,
    chain: Chain,
    snapshot: Snapshot,
    reporter: Reporter,
    limits: Limits,
    clock: SystemClock,
}

impl Service {
    /// Creates the service of the current thread.
    pub fn new(snapshot: Snapshot, reporter: Reporter, limits: Limits) -> Rc<Self> {
        let client = Client::new();
        let chain = filter::chain();
        Rc::new(Self {
            client,
            chain,
            snapshot,
            reporter,
            limits,
            clock: SystemClock,
        })
    }

    /// Answers one request.
    async fn answer(self: Rc<Self>, mut request: Request) -> Answer {
        let id = RequestId(Uuid::now_v7().as_u128());
        let now = self.clock.now();
        let Some(config) = self.snapshot.load_full() else {
            let retry = RetryAdvice::After(OVERLOAD_DELAY);
            let refusal = Refusal::new(Reason::NotConfigured, retry);
            let key = header_text(request.headers(), filter::KEY_HEADER);
            return respond::finished(id, &refused(key, refusal));
        };
        let mut exchange = open(id, config, &request);
        if head_size(&request) > self.limits.head {
            return self.reject(exchange, Rejection::for_good(Reason::TooLarge));
        }
        if let Err(rejection) = self.chain.apply(now, &mut exchange) {
            return self.reject(exchange, rejection);
        }
        exchange.body = match read_body(&mut request, self.limits.body).await {
            Ok(body) => body,
            Err(error) => {
                let reason = match error {
                    node::http::BodyError::TooLarge => Reason::TooLarge,
                    node::http::BodyError::Broken | node::http::BodyError::Slow => {
                        Reason::Malformed
                    }
                };
                return self.reject(exchange, Rejection::for_good(reason));
            }
        };
        self.run(now, exchange).await
    }

    fn reject(&self, mut exchange: Exchange, rejection: Rejection) -> Answer {
        let rule = rejection.refusal.rule;
        let detail = format!("refused, not run: {}", rejection.refusal.reason);
        exchange.decide(self.clock.now().wall, Step::End, rule.as_slice(), detail);
        let reason = rejection.refusal.reason;
        let decisions = exchange.decisions;
        self.reporter.report(Input::Rejected { reason, decisions });
        let outcome = refused(exchange.key, rejection.refusal);
        respond::finished(exchange.request, &outcome)
    }

    async fn run(&self, now: Now, mut exchange: Exchange) -> Answer {
        let request = exchange.request;
        if exchange.is_ticket {
            return self.ticket(now, exchange).await;
        }
        let arrival = arrival(now, &exchange);
        let decisions = std::mem::take(&mut exchange.decisions);
        let (sender, mut orders) = mpsc::unbounded_channel();
        if !self.reporter.submit(Submission {
            arrival,
            decisions,
            orders: sender,
        }) {
            let retry = RetryAdvice::After(OVERLOAD_DELAY);
            let refusal = Refusal::new(Reason::QueueFull, retry);
            return respond::finished(request, &refused(exchange.key, refusal));
        }
        let mut guard = CallerGuard {
            reporter: self.reporter.clone(),
            request: Some(request),
        };
        let mut carried = self.carry(&exchange, &mut orders).await;
        guard.disarm();
        if let Some(minted) = carried.minted {
            respond::mark_key(carried.response.headers_mut(), &minted);
        }
        carried.response
    }

    /// Carries out the orders about a request until it has ended.
    async fn carry(
        &self,
        exchange: &Exchange,
        orders: &mut mpsc::UnboundedReceiver<Order>,
    ) -> Carried {
        let request = exchange.request;
        let mut minted = None;
        while let Some(order) = orders.recv().await {
            let order = match order {
                Order::Dispatch(order) => order,
                Order::Finish(outcome) => {
                    let response = respond::finished(request, &outcome);
                    return Carried { response, minted };
                }
                // The attempt that this order names has ended already.
                Order::Cancel(_) => continue,
            };
            minted = order.offer.key.filter(|_| exchange.key.is_none());
            match self.attempt(exchange, &order, orders).await {
                Attempted::Answer(answer) => {
                    let response = self.stream(request, &order, *answer);
                    return Carried { response, minted };
                }
                Attempted::Ended(result) => {
                    let attempt = order.offer.attempt;
                    self.reporter.report(Input::Ended { attempt, result });
                }
                Attempted::Finished(outcome) => {
                    let response = respond::finished(request, &outcome);
                    return Carried { response, minted };
                }
                Attempted::Abandoned => {}
            }
        }
        // The control thread dropped the request: the process is ending.
        let refusal = Refusal::new(Reason::Stopping, RetryAdvice::VerifyFirst);
        let response = respond::finished(request, &Outcome::Unknown { refusal });
        Carried { response, minted }
    }

    /// Answers with a ticket that the caller may use as its key.
    async fn ticket(&self, now: Now, mut exchange: Exchange) -> Answer {
        let request = exchange.request;
        let arrival = arrival(now, &exchange);
        let decisions = std::mem::take(&mut exchange.decisions);
        self.reporter.report(Input::Recorded(decisions));
        let (reply, ticket) = oneshot::channel();
        let arrival = Box::new(arrival);
        self.reporter.report(Input::Ticket { arrival, reply });
        match ticket.await {
            Ok(Ok(ticket)) => respond::ticket(request, &ticket),
            Ok(Err(refusal)) => respond::rejected(request, Rejection { refusal }),
            Err(_) => respond::finished(request, &not_run(Reason::Stopping)),
        }
    }

    /// Sends an attempt; an order that arrives meanwhile abandons it, which
    /// closes the connection and thereby cancels it at the agent.
    async fn attempt(
        &self,
        exchange: &Exchange,
        order: &DispatchOrder,
        orders: &mut mpsc::UnboundedReceiver<Order>,
    ) -> Attempted {
        let sending = relay::send(&self.client, exchange, order, &self.reporter);
        tokio::select! {
            relayed = sending => match relayed {
                Relayed::Answer(response) => Attempted::Answer(response),
                Relayed::Ended(result) => Attempted::Ended(result),
            },
            order = orders.recv() => match order {
                Some(Order::Finish(outcome)) => Attempted::Finished(outcome),
                Some(Order::Cancel(_) | Order::Dispatch(_)) | None => Attempted::Abandoned,
            },
        }
    }

    fn stream(
        &self,
        request: RequestId,
        order: &DispatchOrder,
        response: IncomingResponse,
    ) -> Answer {
        let status = response.status;
        let mut answer: Answer = Response::new(status).set_body(Body::Full(Bytes::new()));
        respond::copy_headers(&response.headers, answer.head_mut());
        respond::mark(answer.headers_mut(), request, ANSWERED);
        let stream = AnswerStream::new(response.body, self.reporter.clone(), order);
        answer.set_body(Body::Stream(stream))
    }
}

/// The response to a request, and the key that was minted for it.
struct Carried {
    response: Answer,
    minted: Option<IdempotencyKey>,
}

/// What came of one attempt.
enum Attempted {
    Answer(Box<IncomingResponse>),
    Ended(AttemptResult),
    Finished(Outcome),
    Abandoned,
}

/// Reports that the caller left if it is dropped while armed.
///
/// The HTTP layer drops the handler of a request whose connection closed.
struct CallerGuard {
    reporter: Reporter,
    request: Option<RequestId>,
}

impl CallerGuard {
    fn disarm(&mut self) {
        self.request = None;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            self.reporter.report(Input::CallerGone(request));
        }
    }
}

/// The size of a request's line and headers as they were sent, in bytes.
fn head_size(request: &Request) -> usize {
    let line = request.method().as_str().len() + request.uri().to_string().len();
    let headers = request.headers().iter();
    line + headers
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum::<usize>()
}

fn open(request: RequestId, config: Arc<Config>, http: &Request) -> Exchange {
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

/// The outcome of a request that this router refuses without word from an agent.
///
/// An earlier request may have run under the same key.
fn refused<K>(key: Option<K>, refusal: Refusal) -> Outcome {
    match key {
        Some(_) => Outcome::Unknown { refusal },
        None => Outcome::NotRun {
            refusal,
            proof: SendPermit::new().cancel(),
        },
    }
}

fn not_run(reason: Reason) -> Outcome {
    let refusal = Refusal::new(reason, RetryAdvice::After(OVERLOAD_DELAY));
    Outcome::NotRun {
        refusal,
        proof: SendPermit::new().cancel(),
    }
}

fn arrival(now: Now, exchange: &Exchange) -> Arrival {
    let team = exchange.team.expect("the chain identified the team");
    let id = exchange.route.expect("the chain matched a route");
    let config = &exchange.config;
    let route = config.routes[id]
        .as_ref()
        .expect("a matched route is in the table");
    let class = route
        .class
        .or_else(|| config.teams[team].as_ref().map(|team| team.class));
    let limit = number(exchange, TIMEOUT_HEADER).map(Duration::from_millis);
    let timeout = limit.map_or(route.timeout, |limit| limit.min(route.timeout));
    Arrival {
        request: exchange.request,
        team,
        route: id,
        pool: route.pool,
        class: class.unwrap_or(Class::Standard),
        hint: number(exchange, HINT_HEADER).map(|hint| Cost(hint.min(MAX_HINT) as i64)),
        deadline: now.mono + timeout,
        key: exchange.key,
        fingerprint: fingerprint(exchange),
        prefix: Some(PrefixHash(xxh3_64(
            &exchange.body[..exchange.body.len().min(PREFIX_BYTES)],
        ))),
    }
}

fn number(exchange: &Exchange, header: &str) -> Option<u64> {
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
