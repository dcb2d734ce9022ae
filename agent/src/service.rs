//! The HTTP service of one traffic thread: offers of routers in, answers out.

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
use policy::once::is_hand_over_late;
use tokio::sync::oneshot;
use wire::{OFFER_HEADER, REPLY_HEADER, decode_header, encode_header};

use crate::answers::{Entry, Follower, Kept, KeptAnswer};
use crate::control::{Decided, Input, Order, SharedIncarnation};
use crate::events::is_completion;
use crate::relay::{self, Handed, Meter, ReadError, Reporter};
use crate::stream::{Source, TargetStream};
use crate::target::Probe;

/// How long a router should wait before it offers to an overloaded agent again.
const OVERLOAD_DELAY: Duration = Duration::from_millis(200);

/// A response of the agent.
pub type Answer = Response<Body<TargetStream>>;

/// What all traffic threads of an agent share.
#[derive(Clone, Debug)]
pub struct Shared {
    /// The target's address.
    pub target: SocketAddr,
    /// The agent's life.
    pub incarnation: SharedIncarnation,
    /// The watch over the target.
    pub probe: Probe,
    /// The channel to the control thread.
    pub reporter: Reporter,
    /// The greatest size of a request body, in bytes.
    pub body_limit: usize,
    /// The greatest size of a kept answer, in bytes.
    pub answer_limit: usize,
}

impl RequestHandler for Service {
    type Body = Body<TargetStream>;

    fn handle(self: Rc<Self>, request: Request) -> impl Future<Output = Answer> {
        self.answer(request)
    }
}

/// The state of one traffic thread.
pub struct Service {
    shared: Shared,
    client: Client,
}

impl Service {
    /// Creates the service of the current thread.
    pub fn new(shared: Shared) -> Rc<Self> {
        Rc::new(Self {
            shared,
            client: Client::new(),
        })
    }

    /// Answers one offer.
    async fn answer(self: Rc<Self>, mut request: Request) -> Answer {
        let offer = header_text(request.headers(), OFFER_HEADER).map(decode_header::<Offer>);
        let Some(Ok(offer)) = offer else {
            return Response::with_body(StatusCode::BAD_REQUEST, Body::Full(Bytes::new()));
        };
        let attempt = offer.attempt;
        let Ok(body) = read_body(&mut request, self.shared.body_limit).await else {
            return self.refuse(attempt, Reason::Malformed);
        };
        let (order, decision) = oneshot::channel();
        if !self.shared.reporter.try_report(Input::Offered {
            offer: Box::new(offer),
            order,
        }) {
            return self.refuse(attempt, Reason::NoSlot);
        }
        let Ok(Decided { order, load }) = decision.await else {
            return self.refuse(attempt, Reason::Stopping);
        };
        let outbound = outbound(&request, body);
        match order {
            Order::Start(cancelled) => self.run(attempt, outbound, cancelled, load).await,
            Order::StartOnce {
                cancelled,
                decided,
                entry,
            } => {
                let follower = entry.follow();
                let run = OnceRun {
                    attempt,
                    outbound,
                    decided,
                    entry,
                };
                actix_rt::spawn(run_detached(self.clone(), run, cancelled));
                self.follow(attempt, follower, load).await
            }
            Order::Follow(follower) => self.follow(attempt, follower, load).await,
            Order::Reject(refusal) => self.reply(attempt, Verdict::NotRun(refusal), load),
            Order::Unknown(refusal) => self.reply(attempt, Verdict::Unknown(refusal), load),
        }
    }

    /// Runs an attempt whose answer is streamed and not kept.
    async fn run(
        &self,
        attempt: AttemptId,
        outbound: OutgoingRequest,
        mut cancelled: oneshot::Receiver<()>,
        load: Load,
    ) -> Answer {
        let source = self.source(&outbound);
        let guard = EndGuard::new(self.shared.reporter.clone(), attempt, source.clone());
        let target = self.shared.target;
        let handed =
            relay::hand_over(&self.client, target, attempt, outbound, &mut cancelled).await;
        match handed {
            Handed::Answer(response) => {
                guard.disarm();
                self.stream(attempt, source, *response, cancelled, load)
            }
            Handed::Ended(end) => {
                if end == AttemptEnd::Broken {
                    // What ran when a target died must be known before its caller tries again.
                    self.shared.probe.looked().await;
                }
                guard.end(end);
                self.reply(attempt, verdict(end), load)
            }
        }
    }

    fn source(&self, outbound: &OutgoingRequest) -> Source {
        Source {
            client: self.client.clone(),
            target: self.shared.target,
            probe: self.shared.probe.clone(),
            is_completion: is_completion(outbound.uri.path()),
        }
    }

    fn stream(
        &self,
        attempt: AttemptId,
        source: Source,
        response: IncomingResponse,
        cancelled: oneshot::Receiver<()>,
        load: Load,
    ) -> Answer {
        let mut answer: Answer = Response::new(response.status).set_body(Body::Full(Bytes::new()));
        for (name, value) in response
            .headers
            .iter()
            .filter(|(name, _)| is_forwardable(name))
        {
            answer.headers_mut().append(name.clone(), value.clone());
        }
        self.mark(&mut answer, attempt, Verdict::Answered, load);
        let reporter = self.shared.reporter.clone();
        let stream = TargetStream::new(source, response, cancelled, reporter, attempt);
        answer.set_body(Body::Stream(stream))
    }

    /// Answers with what another attempt left or leaves behind.
    async fn follow(&self, attempt: AttemptId, follower: Follower, load: Load) -> Answer {
        match follower.wait().await {
            Some(Kept::Answer(kept)) => {
                let body = Body::Full(kept.body.clone());
                let mut answer = Response::with_body(kept.status, body);
                for (name, value) in &kept.headers {
                    answer.headers_mut().append(name.clone(), value.clone());
                }
                self.mark(&mut answer, attempt, Verdict::Answered, load);
                answer
            }
            Some(Kept::NotRun(refusal)) => self.reply(attempt, Verdict::NotRun(refusal), load),
            Some(Kept::Lost(refusal)) => self.reply(attempt, Verdict::Unknown(refusal), load),
            None => {
                let refusal = Refusal::new(Reason::AnswerDropped, RetryAdvice::VerifyFirst);
                self.reply(attempt, Verdict::Unknown(refusal), load)
            }
        }
    }

    fn refuse(&self, attempt: AttemptId, reason: Reason) -> Answer {
        let refusal = Refusal::new(reason, RetryAdvice::After(OVERLOAD_DELAY));
        self.reply(attempt, Verdict::NotRun(refusal), Load::default())
    }

    fn reply(&self, attempt: AttemptId, verdict: Verdict, load: Load) -> Answer {
        let body = Body::Full(Bytes::new());
        let mut answer = Response::with_body(StatusCode::SERVICE_UNAVAILABLE, body);
        self.mark(&mut answer, attempt, verdict, load);
        answer
    }

    fn mark(&self, answer: &mut Answer, attempt: AttemptId, verdict: Verdict, load: Load) {
        let incarnation = Incarnation(self.shared.incarnation.load(Ordering::Relaxed));
        let reply = Reply {
            attempt,
            incarnation,
            verdict,
            load,
        };
        let value = HeaderValue::from_str(&encode_header(&reply)).expect("base64 is plain text");
        answer
            .headers_mut()
            .insert(HeaderName::from_static(REPLY_HEADER), value);
    }
}

/// An attempt that may run at most once.
struct OnceRun {
    attempt: AttemptId,
    outbound: OutgoingRequest,
    decided: Now,
    entry: Entry,
}

/// Runs an attempt that may run at most once and keeps its answer.
///
/// It is a task of its own, so neither a router nor a caller that leaves cuts it.
async fn run_detached(service: Rc<Service>, run: OnceRun, mut cancelled: oneshot::Receiver<()>) {
    let shared = &service.shared;
    let OnceRun {
        attempt,
        outbound,
        decided,
        entry,
    } = run;
    let (end, kept) = match is_hand_over_late(decided, SystemClock.now()) {
        true => left_by(AttemptEnd::Withheld),
        false => service.run_once(attempt, outbound, &mut cancelled).await,
    };
    if end == AttemptEnd::Broken {
        shared.probe.looked().await;
    }
    if let Kept::Answer(answer) = &kept {
        let bytes = answer.size();
        shared.reporter.report(Input::Kept { attempt, bytes });
    }
    entry.settle(kept);
    shared.reporter.report(Input::Ended { attempt, end });
}

impl Service {
    /// Hands an attempt over and reads its whole answer.
    async fn run_once(
        &self,
        attempt: AttemptId,
        outbound: OutgoingRequest,
        cancelled: &mut oneshot::Receiver<()>,
    ) -> (AttemptEnd, Kept) {
        let mut meter = Meter::new();
        let target = self.shared.target;
        let handed = relay::hand_over(&self.client, target, attempt, outbound, cancelled).await;
        let mut response = match handed {
            Handed::Ended(end) => return left_by(end),
            Handed::Answer(response) => response,
        };
        let limit = self.shared.answer_limit;
        match relay::read_whole(&mut response.body, limit, cancelled, &mut meter).await {
            Ok(body) => {
                let cost = meter.total();
                let kept = Kept::Answer(keep(&response, body).into());
                (AttemptEnd::Answered { cost }, kept)
            }
            Err(ReadError::Cut) => left_by(AttemptEnd::Broken),
            Err(ReadError::TooLarge) => {
                let refusal = Refusal::new(Reason::AnswerDropped, RetryAdvice::VerifyFirst);
                (AttemptEnd::Cancelled, Kept::Lost(refusal))
            }
        }
    }
}

/// How an attempt without an answer ended, and what is kept of it.
fn left_by(end: AttemptEnd) -> (AttemptEnd, Kept) {
    let kept = match verdict(end) {
        Verdict::NotRun(refusal) => Kept::NotRun(refusal),
        Verdict::Unknown(refusal) => Kept::Lost(refusal),
        Verdict::Answered => unreachable!("an answer is read whole"),
    };
    (end, kept)
}

fn keep(response: &IncomingResponse, body: Bytes) -> KeptAnswer {
    let mut headers = HeaderMap::new();
    for (name, value) in response
        .headers
        .iter()
        .filter(|(name, _)| is_forwardable(name))
    {
        headers.append(name.clone(), value.clone());
    }
    KeptAnswer {
        status: response.status,
        headers,
        body,
    }
}

/// What a router is told of an attempt that ended without an answer.
fn verdict(end: AttemptEnd) -> Verdict {
    let unknown = |reason| Verdict::Unknown(Refusal::new(reason, RetryAdvice::VerifyFirst));
    let not_run =
        |reason| Verdict::NotRun(Refusal::new(reason, RetryAdvice::After(OVERLOAD_DELAY)));
    match end {
        AttemptEnd::Answered { .. } => Verdict::Answered,
        AttemptEnd::Refused | AttemptEnd::Unsent => not_run(Reason::NoTarget),
        AttemptEnd::Withheld => not_run(Reason::HandOverLate),
        AttemptEnd::Broken => unknown(Reason::TargetDied),
        AttemptEnd::Cancelled => unknown(Reason::DeadlinePassed),
    }
}

fn outbound(request: &Request, body: Bytes) -> OutgoingRequest {
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

/// Reports a cancelled attempt if it is dropped before the attempt ended.
struct EndGuard(Option<(Reporter, AttemptId, Source)>);

impl EndGuard {
    fn new(reporter: Reporter, attempt: AttemptId, source: Source) -> Self {
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

impl Drop for EndGuard {
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
