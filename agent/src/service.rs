//! The HTTP service of a traffic thread: answers the offers of routers.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use bytes::Bytes;
use entity::{AttemptId, Clock, Incarnation, Now, Reason, Refusal, RetryAdvice, SystemClock};
use node::body::Body;
use node::client::{Client, IncomingResponse, OutgoingRequest};
use node::daemon::RequestHandler;
use node::http::{header_text, is_forwardable, read_body};
use policy::AttemptEnd;
use policy::message::{Load, Offer, Reply, Verdict};
use policy::once::is_send_late;
use tokio::sync::oneshot;
use wire::{OFFER_HEADER, REPLY_HEADER, decode_header, encode_header};

use crate::answers::{Entry, OutcomeReceiver, StoredAnswer, StoredOutcome};
use crate::control::{Input, OfferAction, OfferDecision, SharedIncarnation};
use crate::events::is_completion;
use crate::relay::{self, CostMeter, ReadError, Reporter, SendResult};
use crate::stream::{AnswerSource, TargetStream};
use crate::target::TargetProbe;

/// The delay after which a router may retry a refused offer.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A response of the agent.
pub type AgentResponse = Response<Body<TargetStream>>;

/// The state that all traffic threads of an agent share.
#[derive(Clone, Debug)]
pub struct SharedState {
    /// The target's address.
    pub target: SocketAddr,
    /// The agent's incarnation.
    pub incarnation: SharedIncarnation,
    /// The channel to the target monitor.
    pub probe: TargetProbe,
    /// The channel to the control thread.
    pub reporter: Reporter,
    /// The maximum size of a request body in bytes.
    pub body_limit: usize,
    /// The maximum size of a stored answer in bytes.
    pub answer_limit: usize,
}

impl RequestHandler for Service {
    type Body = Body<TargetStream>;

    fn handle(self: Rc<Self>, request: Request) -> impl Future<Output = AgentResponse> {
        self.handle_offer(request)
    }
}

/// The state of one traffic thread.
pub struct Service {
    shared: SharedState,
    client: Client,
}

impl Service {
    /// Creates the service for the current thread.
    pub fn new(shared: SharedState) -> Rc<Self> {
        Rc::new(Self {
            shared,
            client: Client::new(),
        })
    }

    /// Handles one offer.
    async fn handle_offer(self: Rc<Self>, mut request: Request) -> AgentResponse {
        let offer = header_text(request.headers(), OFFER_HEADER).map(decode_header::<Offer>);
        let Some(Ok(offer)) = offer else {
            return Response::with_body(StatusCode::BAD_REQUEST, Body::Full(Bytes::new()));
        };
        let attempt = offer.attempt;
        let Ok(body) = read_body(&mut request, self.shared.body_limit).await else {
            return self.refuse_offer(attempt, Reason::Malformed);
        };
        let (reply, decision) = oneshot::channel();
        if !self.shared.reporter.try_report(Input::Offered {
            offer: Box::new(offer),
            reply,
        }) {
            return self.refuse_offer(attempt, Reason::NoSlot);
        }
        let Ok(OfferDecision { action, load }) = decision.await else {
            return self.refuse_offer(attempt, Reason::Stopping);
        };
        let outbound = target_request(&request, body);
        match action {
            OfferAction::Start(cancelled) => {
                self.run_streamed(attempt, outbound, cancelled, load).await
            }
            OfferAction::StartOnce {
                cancelled,
                decided_at,
                entry,
            } => {
                let outcome = entry.subscribe();
                let once_attempt = OnceAttempt {
                    attempt,
                    outbound,
                    decided_at,
                    entry,
                };
                actix_rt::spawn(run_detached(self.clone(), once_attempt, cancelled));
                self.respond_with_outcome(attempt, outcome, load).await
            }
            OfferAction::Follow(outcome) => self.respond_with_outcome(attempt, outcome, load).await,
            OfferAction::Reject(refusal) => {
                self.respond_without_answer(attempt, Verdict::NotRun(refusal), load)
            }
            OfferAction::Unknown(refusal) => {
                self.respond_without_answer(attempt, Verdict::Unknown(refusal), load)
            }
        }
    }

    /// Runs an attempt whose answer is streamed and not stored.
    async fn run_streamed(
        &self,
        attempt: AttemptId,
        outbound: OutgoingRequest,
        mut cancelled: oneshot::Receiver<()>,
        load: Load,
    ) -> AgentResponse {
        let source = self.answer_source(&outbound);
        let guard = CancelGuard::new(self.shared.reporter.clone(), attempt, source.clone());
        let target = self.shared.target;
        let sent = relay::send(&self.client, target, attempt, outbound, &mut cancelled).await;
        match sent {
            SendResult::Answer(response) => {
                guard.disarm();
                self.stream_response(attempt, source, *response, cancelled, load)
            }
            SendResult::Ended(end) => {
                if end == AttemptEnd::Broken {
                    // Requests that ran on a crashed target must be recorded before callers retry.
                    self.shared.probe.check_and_wait().await;
                }
                guard.end(end);
                self.respond_without_answer(attempt, verdict_for(end), load)
            }
        }
    }

    fn answer_source(&self, outbound: &OutgoingRequest) -> AnswerSource {
        AnswerSource {
            client: self.client.clone(),
            target: self.shared.target,
            probe: self.shared.probe.clone(),
            is_completion: is_completion(outbound.uri.path()),
        }
    }

    fn stream_response(
        &self,
        attempt: AttemptId,
        source: AnswerSource,
        incoming: IncomingResponse,
        cancelled: oneshot::Receiver<()>,
        load: Load,
    ) -> AgentResponse {
        let mut answer: AgentResponse =
            Response::new(incoming.status).set_body(Body::Full(Bytes::new()));
        for (name, value) in incoming
            .headers
            .iter()
            .filter(|(name, _)| is_forwardable(name))
        {
            answer.headers_mut().append(name.clone(), value.clone());
        }
        self.insert_reply_header(&mut answer, attempt, Verdict::Answered, load);
        let reporter = self.shared.reporter.clone();
        let stream = TargetStream::new(source, incoming, cancelled, reporter, attempt);
        answer.set_body(Body::Stream(stream))
    }

    /// Waits for the outcome of an attempt and responds with it.
    async fn respond_with_outcome(
        &self,
        attempt: AttemptId,
        outcome: OutcomeReceiver,
        load: Load,
    ) -> AgentResponse {
        match outcome.wait().await {
            Some(StoredOutcome::Answer(stored)) => {
                let body = Body::Full(stored.body.clone());
                let mut answer = Response::with_body(stored.status, body);
                for (name, value) in &stored.headers {
                    answer.headers_mut().append(name.clone(), value.clone());
                }
                self.insert_reply_header(&mut answer, attempt, Verdict::Answered, load);
                answer
            }
            Some(StoredOutcome::NotRun(refusal)) => {
                self.respond_without_answer(attempt, Verdict::NotRun(refusal), load)
            }
            Some(StoredOutcome::Unknown(refusal)) => {
                self.respond_without_answer(attempt, Verdict::Unknown(refusal), load)
            }
            None => {
                let refusal = Refusal::new(Reason::AnswerDropped, RetryAdvice::VerifyFirst);
                self.respond_without_answer(attempt, Verdict::Unknown(refusal), load)
            }
        }
    }

    fn refuse_offer(&self, attempt: AttemptId, reason: Reason) -> AgentResponse {
        let refusal = Refusal::new(reason, RetryAdvice::After(RETRY_DELAY));
        self.respond_without_answer(attempt, Verdict::NotRun(refusal), Load::default())
    }

    fn respond_without_answer(
        &self,
        attempt: AttemptId,
        verdict: Verdict,
        load: Load,
    ) -> AgentResponse {
        let body = Body::Full(Bytes::new());
        let mut answer = Response::with_body(StatusCode::SERVICE_UNAVAILABLE, body);
        self.insert_reply_header(&mut answer, attempt, verdict, load);
        answer
    }

    fn insert_reply_header(
        &self,
        response: &mut AgentResponse,
        attempt: AttemptId,
        verdict: Verdict,
        load: Load,
    ) {
        let incarnation = Incarnation(self.shared.incarnation.load(Ordering::Relaxed));
        let reply = Reply {
            attempt,
            incarnation,
            verdict,
            load,
        };
        let value =
            HeaderValue::from_str(&encode_header(&reply)).expect("base64 is a valid header value");
        response
            .headers_mut()
            .insert(HeaderName::from_static(REPLY_HEADER), value);
    }
}

/// An attempt that may run at most once.
struct OnceAttempt {
    attempt: AttemptId,
    outbound: OutgoingRequest,
    decided_at: Now,
    entry: Entry,
}

/// Runs an attempt that may run at most once and stores its answer.
///
/// It runs as a separate task, so that a disconnect of the router or the caller does not stop it.
async fn run_detached(
    service: Rc<Service>,
    once_attempt: OnceAttempt,
    mut cancelled: oneshot::Receiver<()>,
) {
    let shared = &service.shared;
    let OnceAttempt {
        attempt,
        outbound,
        decided_at,
        entry,
    } = once_attempt;
    let (end, outcome) = match is_send_late(decided_at, SystemClock.now()) {
        true => end_without_answer(AttemptEnd::Withheld),
        false => service.run_once(attempt, outbound, &mut cancelled).await,
    };
    if end == AttemptEnd::Broken {
        shared.probe.check_and_wait().await;
    }
    if let StoredOutcome::Answer(answer) = &outcome {
        let bytes = answer.size();
        shared
            .reporter
            .report(Input::AnswerStored { attempt, bytes });
    }
    entry.set(outcome);
    shared.reporter.report(Input::Ended { attempt, end });
}

impl Service {
    /// Sends an attempt to the target and reads the complete answer.
    async fn run_once(
        &self,
        attempt: AttemptId,
        outbound: OutgoingRequest,
        cancelled: &mut oneshot::Receiver<()>,
    ) -> (AttemptEnd, StoredOutcome) {
        let mut meter = CostMeter::new();
        let target = self.shared.target;
        let sent = relay::send(&self.client, target, attempt, outbound, cancelled).await;
        let mut response = match sent {
            SendResult::Ended(end) => return end_without_answer(end),
            SendResult::Answer(response) => response,
        };
        let limit = self.shared.answer_limit;
        match relay::read_body(&mut response.body, limit, cancelled, &mut meter).await {
            Ok(body) => {
                let cost = meter.total_cost();
                let outcome = StoredOutcome::Answer(stored_answer(&response, body).into());
                (AttemptEnd::Answered { cost }, outcome)
            }
            Err(ReadError::Cut) => end_without_answer(AttemptEnd::Broken),
            Err(ReadError::TooLarge) => {
                let refusal = Refusal::new(Reason::AnswerDropped, RetryAdvice::VerifyFirst);
                (AttemptEnd::Cancelled, StoredOutcome::Unknown(refusal))
            }
        }
    }
}

/// Returns the end and the outcome to store of an attempt without an answer.
fn end_without_answer(end: AttemptEnd) -> (AttemptEnd, StoredOutcome) {
    let outcome = match verdict_for(end) {
        Verdict::NotRun(refusal) => StoredOutcome::NotRun(refusal),
        Verdict::Unknown(refusal) => StoredOutcome::Unknown(refusal),
        Verdict::Answered => unreachable!("an answered attempt has an answer"),
    };
    (end, outcome)
}

fn stored_answer(response: &IncomingResponse, body: Bytes) -> StoredAnswer {
    let mut headers = HeaderMap::new();
    for (name, value) in response
        .headers
        .iter()
        .filter(|(name, _)| is_forwardable(name))
    {
        headers.append(name.clone(), value.clone());
    }
    StoredAnswer {
        status: response.status,
        headers,
        body,
    }
}

/// Returns the verdict for the router about an attempt that ended.
fn verdict_for(end: AttemptEnd) -> Verdict {
    let unknown = |reason| Verdict::Unknown(Refusal::new(reason, RetryAdvice::VerifyFirst));
    let not_run = |reason| Verdict::NotRun(Refusal::new(reason, RetryAdvice::After(RETRY_DELAY)));
    match end {
        AttemptEnd::Answered { .. } => Verdict::Answered,
        AttemptEnd::Refused | AttemptEnd::Unsent => not_run(Reason::NoTarget),
        AttemptEnd::Withheld => not_run(Reason::HandOverLate),
        AttemptEnd::Broken => unknown(Reason::TargetDied),
        AttemptEnd::Cancelled => unknown(Reason::DeadlinePassed),
    }
}

fn target_request(request: &Request, body: Bytes) -> OutgoingRequest {
    let mut headers = HeaderMap::new();
    for (name, value) in request
        .headers()
        .iter()
        .filter(|(name, _)| is_forwardable(name))
    {
        headers.append(name.clone(), value.clone());
    }
    OutgoingRequest {
        method: request.method().clone(),
        uri: request.uri().clone(),
        headers,
        body,
    }
}

/// Reports the attempt as cancelled if it is dropped before the attempt ended.
struct CancelGuard(Option<(Reporter, AttemptId, AnswerSource)>);

impl CancelGuard {
    fn new(reporter: Reporter, attempt: AttemptId, source: AnswerSource) -> Self {
        Self(Some((reporter, attempt, source)))
    }

    fn disarm(mut self) {
        self.0 = None;
    }

    fn end(mut self, end: AttemptEnd) {
        if let Some((reporter, attempt, _)) = self.0.take() {
            reporter.report(Input::Ended { attempt, end });
        }
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some((reporter, attempt, source)) = self.0.take() {
            let end = AttemptEnd::Cancelled;
            reporter.report(Input::Ended { attempt, end });
            if source.is_completion {
                source.probe.cancel(attempt.request);
            }
        }
    }
}
