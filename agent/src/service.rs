//! The HTTP service of one traffic thread: offers of routers in, answers out.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use bytes::Bytes;
use entity::{AttemptId, Incarnation, Reason, Refusal, RetryAdvice};
use node::body::Body;
use node::client::{Client, Incoming, Outbound};
use node::http::{forwarded, read_body, text};
use policy::AttemptEnd;
use policy::message::{Load, Offer, Reply, Verdict};
use tokio::sync::{oneshot, watch};
use wire::{OFFER_HEADER, REPLY_HEADER, read_header, write_header};

use crate::answers::{Answers, Kept, KeptAnswer};
use crate::control::{Decided, Input, Order, SharedIncarnation};
use crate::relay::{self, Handed, Meter, Reporter, TargetStream};

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
    /// The kept answers.
    pub answers: Answers,
    /// The channel to the control thread.
    pub reporter: Reporter,
    /// The greatest size of a request body, in bytes.
    pub body_limit: usize,
    /// The greatest size of a kept answer, in bytes.
    pub answer_limit: usize,
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
    pub async fn respond(self: Rc<Self>, mut request: Request) -> Answer {
        let offer = text(request.headers(), OFFER_HEADER).map(read_header::<Offer>);
        let Some(Ok(offer)) = offer else {
            return Response::with_body(StatusCode::BAD_REQUEST, Body::Whole(Bytes::new()));
        };
        let attempt = offer.attempt;
        let Ok(body) = read_body(&mut request, self.shared.body_limit).await else {
            return self.refuse(attempt, Reason::Malformed);
        };
        let keyed = offer.key.is_some();
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
            Order::Start(cancelled) if keyed => {
                let kept = self.shared.answers.open(attempt);
                actix_rt::spawn(run_detached(
                    self.clone(),
                    attempt,
                    outbound,
                    cancelled,
                    kept,
                ));
                self.follow(attempt, attempt, load).await
            }
            Order::Start(cancelled) => self.run(attempt, outbound, cancelled, load).await,
            Order::Follow(original) => self.follow(attempt, original, load).await,
            Order::Reject(refusal) => self.reply(attempt, Verdict::NotRun(refusal), load),
            Order::Unknown(refusal) => self.reply(attempt, Verdict::Unknown(refusal), load),
        }
    }

    /// Runs an attempt whose answer is streamed and not kept.
    async fn run(
        &self,
        attempt: AttemptId,
        outbound: Outbound,
        mut cancelled: oneshot::Receiver<()>,
        load: Load,
    ) -> Answer {
        let guard = EndGuard::new(self.shared.reporter.clone(), attempt);
        let handed =
            relay::hand_over(&self.client, self.shared.target, outbound, &mut cancelled).await;
        match handed {
            Handed::Answer(response) => {
                guard.disarm();
                self.stream(attempt, *response, cancelled, load)
            }
            Handed::Ended(end) => {
                guard.end(end);
                self.reply(attempt, verdict(end), load)
            }
        }
    }

    fn stream(
        &self,
        attempt: AttemptId,
        response: Incoming,
        cancelled: oneshot::Receiver<()>,
        load: Load,
    ) -> Answer {
        let mut answer: Answer = Response::new(response.status).set_body(Body::Whole(Bytes::new()));
        for (name, value) in response.headers.iter().filter(|(name, _)| forwarded(name)) {
            answer.headers_mut().append(name.clone(), value.clone());
        }
        self.mark(&mut answer, attempt, Verdict::Answered, load);
        let reporter = self.shared.reporter.clone();
        let stream = TargetStream::new(response.body, cancelled, reporter, attempt, Meter::new());
        answer.set_body(Body::Stream(stream))
    }

    /// Answers with what `original` left or leaves behind.
    async fn follow(&self, attempt: AttemptId, original: AttemptId, load: Load) -> Answer {
        match self.shared.answers.wait(original).await {
            Some(Kept::Answer(kept)) => {
                let body = Body::Whole(kept.body.clone());
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
        let body = Body::Whole(Bytes::new());
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
        let value = HeaderValue::from_str(&write_header(&reply)).expect("base64 is plain text");
        answer
            .headers_mut()
            .insert(HeaderName::from_static(REPLY_HEADER), value);
    }
}

/// Runs an attempt that may run at most once and keeps its answer.
///
/// It is a task of its own, so neither a router nor a caller that leaves cuts it.
async fn run_detached(
    service: Rc<Service>,
    attempt: AttemptId,
    outbound: Outbound,
    mut cancelled: oneshot::Receiver<()>,
    kept: watch::Sender<Option<Kept>>,
) {
    let shared = &service.shared;
    let mut meter = Meter::new();
    let handed = relay::hand_over(&service.client, shared.target, outbound, &mut cancelled).await;
    let end = match handed {
        Handed::Ended(end) => end,
        Handed::Answer(mut response) => {
            let limit = shared.answer_limit;
            let body =
                relay::read_whole(&mut response.body, limit, &mut cancelled, &mut meter).await;
            match body {
                Ok(body) => {
                    let answer = keep(&response, body);
                    kept.send_replace(Some(Kept::Answer(answer.into())));
                    AttemptEnd::Answered {
                        cost: meter.total(),
                    }
                }
                Err(_) => AttemptEnd::Broken,
            }
        }
    };
    match verdict(end) {
        Verdict::Answered => {}
        Verdict::NotRun(refusal) => drop(kept.send_replace(Some(Kept::NotRun(refusal)))),
        Verdict::Unknown(refusal) => drop(kept.send_replace(Some(Kept::Lost(refusal)))),
    }
    shared.reporter.report(Input::Ended { attempt, end });
}

fn keep(response: &Incoming, body: Bytes) -> KeptAnswer {
    let mut headers = HeaderMap::new();
    for (name, value) in response.headers.iter().filter(|(name, _)| forwarded(name)) {
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
        AttemptEnd::Broken => unknown(Reason::TargetDied),
        AttemptEnd::Cancelled => unknown(Reason::DeadlinePassed),
    }
}

fn outbound(request: &Request, body: Bytes) -> Outbound {
    let mut headers = HeaderMap::new();
    for (name, value) in request.headers().iter().filter(|(name, _)| forwarded(name)) {
        headers.append(name.clone(), value.clone());
    }
    Outbound {
        method: request.method().clone(),
        uri: request.uri().clone(),
        headers,
        body,
    }
}

/// Reports a cancelled attempt if it is dropped before the attempt ended.
struct EndGuard(Option<(Reporter, AttemptId)>);

impl EndGuard {
    fn new(reporter: Reporter, attempt: AttemptId) -> Self {
        Self(Some((reporter, attempt)))
    }

    fn disarm(mut self) {
        self.0 = None;
    }

    fn end(mut self, end: AttemptEnd) {
        if let Some((reporter, attempt)) = self.0.take() {
            reporter.report(Input::Ended { attempt, end });
        }
    }
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        if let Some((reporter, attempt)) = self.0.take() {
            reporter.report(Input::Ended {
                attempt,
                end: AttemptEnd::Cancelled,
            });
        }
    }
}
