//! Serves one request: places it, sends it, and decides what its caller gets.
//!
//! Invariants:
//! - A request that must not run twice is sent again only if the target said
//!   that it did not run it, or no byte of it left.
//! - A status that promises "not run" is given only if no attempt may have run.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use actix_http::header::{HOST, HeaderMap, HeaderValue};
use bytes::{Bytes, BytesMut};
use node::event::{self, Event, Field};
use platform::attempt::{SystemHeaders, returned_headers, set_system_headers};
use platform::response;
use policy::direct::config::{RetryPolicy, Route};
use policy::direct::placement::{self, Placement, PlacementRequest};
use policy::direct::response::{ResponseClass, classify};
use policy::direct::target_table::{Prompt, TargetId};
use rand::RngExt as _;
use smallvec::SmallVec;
use tokio::time::sleep;

use crate::context::{Attempt, Context};
use crate::request::{AuthorizedRequest, CallerRequest, Refusal};
use crate::target::{Body, SendError, TargetRequest, TargetResponse};

/// The greatest size of an answer that is read whole before the caller gets it.
const WHOLE_BYTES: usize = 256 * 1024;

/// The greatest number of targets that one request is sent to, with those that
/// refused to run it.
const MAX_SENDS: u32 = 4;

/// The greatest number of targets that are tried without a byte leaving.
const MAX_TRIES: usize = 8;

/// The factor of a route's objective after which a plain target counts as silent.
const PATIENCE: u32 = 4;

/// The least time after which an engine counts as silent.
const LEAST_PATIENCE: Duration = Duration::from_millis(1200);

/// The time that must be left for a request to be sent at all.
const LEAST_LEFT: Duration = Duration::from_millis(20);

/// The spread of the time at which refused callers come back, in milliseconds.
const RETRY_SPREAD: u64 = 120;

/// What a caller gets.
pub(crate) enum Outcome {
    /// A target's whole answer.
    Whole(Whole),
    /// A target's answer whose body follows.
    Stream(Box<Stream>),
    /// An answer of the system itself.
    Own(Refusal),
}

/// A whole answer.
pub(crate) struct Whole {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// An answer in pieces.
pub(crate) struct Stream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// What was read of the body.
    pub(crate) first: Bytes,
    pub(crate) body: Body,
    pub(crate) attempt: Attempt,
}

/// A request on its way.
pub(crate) struct Work<'a> {
    pub(crate) context: &'a Rc<Context>,
    pub(crate) request: &'a CallerRequest,
    /// What the configuration said last.
    pub(crate) authorized: AuthorizedRequest,
    /// Whether a byte of the request may have left, for the answer at a timeout.
    pub(crate) sent: Cell<bool>,
    tried: SmallVec<[TargetId; 4]>,
    sends: u32,
    runs: u32,
}

impl<'a> Work<'a> {
    pub(crate) fn new(
        context: &'a Rc<Context>,
        request: &'a CallerRequest,
        authorized: AuthorizedRequest,
    ) -> Self {
        Self {
            context,
            request,
            authorized,
            sent: Cell::new(false),
            tried: SmallVec::new(),
            sends: 0,
            runs: 0,
        }
    }

    /// Places and sends the request until there is something for its caller; the
    /// first attempt may be placed already.
    pub(crate) async fn run(
        &mut self,
        resume: Option<u64>,
        mut placed: Option<Attempt>,
    ) -> Outcome {
        let mut fallback: Option<Whole> = None;
        loop {
            let next = placed.take().map_or_else(|| self.next_attempt(), Ok);
            let attempt = match next {
                Ok(attempt) => attempt,
                Err(refusal) => return self.end(fallback, refusal),
            };
            let target_id = attempt.target_id;
            let began = Instant::now();
            let answer = self.send(&attempt, resume).await;
            let now = Instant::now();
            let answer = match answer {
                Ok(answer) => answer,
                Err(Failure::Unsent) => {
                    self.failed(target_id, "unreachable");
                    drop(attempt);
                    self.context.record_unreachable(target_id, now);
                    self.tried.push(target_id);
                    continue;
                }
                Err(Failure::Withdrawn) => continue,
                Err(Failure::Broken(why)) => {
                    self.failed(target_id, why);
                    drop(attempt);
                    self.context.record_result(target_id, false, now);
                    self.context
                        .record_broken_attempt(target_id, self.request.fingerprint, now);
                    self.tried.push(target_id);
                    match self.may_run_again() {
                        true => continue,
                        false => {
                            return self.end(fallback, Refusal::outcome_unknown("attempt broken"));
                        }
                    }
                }
            };
            match self.settle(answer, attempt, began).await {
                Settled::Done(outcome) => return outcome,
                Settled::Again => {}
                Settled::Failed(whole) => match self.may_run_again() {
                    true => fallback = Some(whole),
                    false => return Outcome::Whole(whole),
                },
                Settled::Broken(why) => {
                    self.failed(target_id, why);
                    self.context.record_result(target_id, false, now);
                    self.tried.push(target_id);
                    if !self.may_run_again() {
                        return self.end(fallback, Refusal::outcome_unknown(why));
                    }
                }
            }
        }
    }

    /// Whether a stream that broke off may go on at another target.
    pub(crate) fn goes_on(&mut self, broken: TargetId) -> bool {
        self.tried.push(broken);
        self.may_run_again()
    }

    /// Places the request elsewhere, if it may run again and there is room.
    pub(crate) fn place_elsewhere(&mut self, target_id: TargetId) -> Option<Attempt> {
        if !self.may_run_again() {
            return None;
        }
        self.tried.push(target_id);
        let attempt = self.next_attempt().ok();
        if attempt.is_none() {
            self.tried.pop();
        }
        attempt
    }

    fn end(&self, fallback: Option<Whole>, refusal: Refusal) -> Outcome {
        match fallback {
            Some(whole) => Outcome::Whole(whole),
            // After a run the promise of a refusal would be false.
            None if self.runs > 0 => Outcome::Own(Refusal::outcome_unknown("attempt broken")),
            None => Outcome::Own(refusal),
        }
    }

    /// Whether the request may be sent again after an attempt that may have run.
    fn may_run_again(&self) -> bool {
        let route = self.authorized.config.route_at(self.authorized.route);
        route.retry_policy.is_idempotent() && self.runs < route.attempts
    }

    /// Chooses a target, with all that must hold right before a request is sent.
    fn next_attempt(&mut self) -> Result<Attempt, Refusal> {
        let now = Instant::now();
        let context = self.context;
        context.refresh(now);
        self.authorized = self.request.authorize(&context.shared)?;
        let config = self.authorized.config.clone();
        let route = config.route_at(self.authorized.route);
        let left = self.request.remaining(route.timeout, now);
        if left < LEAST_LEFT {
            return Err(Refusal::not_run("no time left", Duration::ZERO));
        }
        if self.tried.len() >= MAX_TRIES || self.sends >= MAX_SENDS {
            return Err(Refusal::not_run("no target answered", route.objective / 2));
        }
        let Some(service) = config.services.get(&self.authorized.service) else {
            return Err(Refusal::not_run("unknown service", Duration::from_secs(1)));
        };
        if let Some(after) = context
            .crash_history
            .borrow()
            .rejected_for(self.request.fingerprint, now)
        {
            return Err(Refusal::not_run("crashes its targets", after));
        }
        let peers = context.shared.peers.load();
        let routers = peers.members.count();
        let is_repeat = self.sends > 0;
        let has_budget = !is_repeat
            || context
                .retry_budget
                .borrow_mut()
                .try_spend(&service.name, routers, now);
        if !has_budget {
            return Err(Refusal::not_run("no repeat left", route.objective / 2));
        }
        let prompt = self
            .request
            .caller_headers
            .prompt
            .as_ref()
            .filter(|_| service.engine.is_some());
        let favour = self.favour(prompt, now);
        let ask = PlacementRequest {
            service,
            prompt,
            objective: route.objective,
            min_objective: config
                .min_objective(service.name.as_str())
                .unwrap_or(route.objective),
            wait_factor: favour,
            centre: &context.data_centre,
            tried: &self.tried,
            members: &peers.members,
        };
        let choice = placement::select_target(
            &mut context.target_table.borrow_mut(),
            &context.placement.get(),
            &ask,
            now,
        );
        match choice {
            Placement::Target {
                target: target_id,
                wait_millis: wait,
                is_home: home,
                copy_source,
            } => {
                let attempt = Attempt::begin(context, target_id, prompt, copy_source, now);
                self.note_sent(&attempt, wait, home, favour);
                self.count(prompt, now);
                Ok(attempt)
            }
            Placement::Refused {
                reason: why,
                retry_after: after,
            } => {
                let spread = context.rng.borrow_mut().random_range(0..=RETRY_SPREAD);
                let reason = match why {
                    placement::RefusalReason::NoTarget => "no target",
                    placement::RefusalReason::Busy => "busy",
                    placement::RefusalReason::Full => "full",
                };
                let after = after + Duration::from_millis(spread);
                Err(Refusal {
                    favour: Some(favour),
                    ..Refusal::not_run(reason, after)
                })
            }
        }
    }

    /// The factor of the wait that the request's team is allowed.
    fn favour(&self, prompt: Option<&Prompt>, now: Instant) -> f64 {
        let Some(team) = self.authorized.team_name().filter(|_| prompt.is_some()) else {
            return 1.0;
        };
        let mut fair_shares = self.context.fair_shares.borrow_mut();
        fair_shares.wait_factor(team.tag().0, now)
    }

    fn count(&self, prompt: Option<&Prompt>, now: Instant) {
        let team = self.authorized.team_name();
        if let (Some(team), Some(prompt)) = (team, prompt) {
            let mut fair_shares = self.context.fair_shares.borrow_mut();
            fair_shares.record_admitted(team.tag().0, prompt.weighted_tokens(), now);
        }
    }

    async fn send(
        &mut self,
        attempt: &Attempt,
        resume: Option<u64>,
    ) -> Result<TargetResponse, Failure> {
        let (name, address, copy_source) = {
            let target_table = self.context.target_table.borrow();
            let place = target_table.target(attempt.target_id);
            let copy_source = attempt
                .copy_source
                .map(|copy_source| target_table.target(copy_source.target).address);
            (place.name.clone(), place.address, copy_source)
        };
        let route = self.authorized.config.route_at(self.authorized.route);
        let idempotent = route.retry_policy.is_idempotent();
        let mut headers = self.request.headers.clone();
        if !headers.contains_key(HOST)
            && let Ok(host) = HeaderValue::from_str(&self.request.host)
        {
            headers.insert(HOST, host);
        }
        let system = SystemHeaders {
            target: name.as_str(),
            team: self.authorized.team_name().map(entity::Name::as_str),
            remaining: self.request.remaining(route.timeout, Instant::now()),
            resume_after: resume,
            copy_from: copy_source,
        };
        set_system_headers(&mut headers, system);
        let outbound = TargetRequest {
            method: self.request.method.clone(),
            uri: self.request.uri.clone(),
            headers,
            body: self.request.body.clone(),
            idempotent,
        };
        let (request, shared, sent) = (self.request, &self.context.shared, &self.sent);
        let config = &self.authorized.config;
        let withdrawn = Cell::new(false);
        // The caller's key is looked at once more after the connection was opened.
        let sending = || {
            let authorized = request.authorize(shared);
            let is_same = authorized.is_ok_and(|it| it.config.version == config.version);
            withdrawn.set(!is_same);
            sent.set(sent.get() || is_same);
            is_same
        };
        let pool = &self.context.connection_pool;
        let exchange = pool.send(address, outbound, &self.request.caller_headers.id, sending);
        let patience = patience(route);
        let goes_elsewhere = idempotent && self.runs + 1 < route.attempts;
        tokio::pin!(exchange);
        let answered = tokio::select! {
            biased;
            answer = &mut exchange => Some(answer),
            () = sleep(patience) => None,
            () = self.context.wait_until_stalled(attempt.target_id), if goes_elsewhere => None,
        };
        let answer = match answered {
            Some(answer) => Some(answer),
            None if goes_elsewhere => None,
            None => {
                self.context
                    .record_result(attempt.target_id, false, Instant::now());
                self.failed(attempt.target_id, "silent so far");
                Some(exchange.await)
            }
        };
        match answer {
            None => {
                self.sends += 1;
                self.runs += 1;
                Err(Failure::Broken("silent"))
            }
            Some(Err(SendError::Unsent)) if withdrawn.get() => Err(Failure::Withdrawn),
            Some(Err(SendError::Unsent)) => Err(Failure::Unsent),
            Some(Err(SendError::Broken)) => {
                self.sends += 1;
                self.runs += 1;
                Err(Failure::Broken("broken"))
            }
            Some(Ok(answer)) => {
                self.sends += 1;
                Ok(answer)
            }
        }
    }

    /// Decides what an answer means and reads it if it is short.
    async fn settle(
        &mut self,
        answer: TargetResponse,
        attempt: Attempt,
        began: Instant,
    ) -> Settled {
        let TargetResponse {
            status,
            headers,
            mut body,
        } = answer;
        let head = response::parse_head(status.as_u16(), &headers);
        let target_id = attempt.target_id;
        let now = Instant::now();
        if let Some(cold) = head.cold {
            self.context
                .target_table
                .borrow_mut()
                .extend_cold(target_id, cold, now);
        }
        match classify(head.facts) {
            ResponseClass::NotRun => {
                let why = if status == StatusCode::MISDIRECTED_REQUEST {
                    "another target"
                } else {
                    "not run"
                };
                self.failed(target_id, why);
                if status == StatusCode::MISDIRECTED_REQUEST {
                    self.context
                        .target_table
                        .borrow_mut()
                        .stop_requests(target_id);
                } else {
                    self.context.record_result(target_id, false, now);
                }
                self.tried.push(target_id);
                Settled::Again
            }
            ResponseClass::Garbled => {
                self.runs += 1;
                Settled::Broken("garbled")
            }
            verdict => {
                self.runs += 1;
                attempt.record_started();
                let good = verdict == ResponseClass::Answer;
                self.context
                    .metrics
                    .record_attempt(if good { "answer" } else { "failed" });
                let kind = self.authorized.kind();
                self.context
                    .metrics
                    .record_first_event(kind, now.duration_since(began));
                let is_stream = self.authorized.retry_policy().is_stream() && status.is_success();
                let limit = if is_stream { 0 } else { WHOLE_BYTES };
                let first = match collect(&mut body, limit).await {
                    Ok(first) => first,
                    Err(()) => return Settled::Broken("cut"),
                };
                self.context.record_result(target_id, good, Instant::now());
                let headers = returned_headers(&headers);
                if !body.is_complete() || is_stream {
                    return Settled::Done(Outcome::Stream(Box::new(Stream {
                        status,
                        headers,
                        first,
                        body,
                        attempt,
                    })));
                }
                let whole = Whole {
                    status,
                    headers,
                    body: first,
                };
                if good {
                    Settled::Done(Outcome::Whole(whole))
                } else {
                    self.failed(target_id, "target failed");
                    self.tried.push(target_id);
                    Settled::Failed(whole)
                }
            }
        }
    }

    fn note_sent(&self, attempt: &Attempt, wait: f64, home: bool, favour: f64) {
        let target_table = self.context.target_table.borrow();
        let place = target_table.target(attempt.target_id);
        let wait = wait as u64;
        let (count, fresh) = (place.load().attempts, attempt.prefill_tokens());
        let number = self.sends + 1;
        let copied = attempt
            .copy_source
            .map_or(0, |copy_source| copy_source.tokens);
        let favour = format!("{favour:.2}");
        let team = self
            .authorized
            .team_name()
            .map_or("-", entity::Name::as_str);
        let fields: [Field<'_>; 12] = [
            ("request", &self.request.caller_headers.id),
            ("work", &self.request.fingerprint_tag()),
            ("target", &place.name),
            ("attempt", &number),
            ("wait_ms", &wait),
            ("in_hand", &count),
            ("fresh_tokens", &fresh),
            ("copied_tokens", &copied),
            ("home", &home),
            ("team", &team),
            ("favour", &favour),
            ("version", &self.authorized.config.version),
        ];
        event::log(Event::RequestSent, &fields);
    }

    fn failed(&self, target_id: TargetId, why: &'static str) {
        self.context.metrics.record_attempt(why);
        let target_table = self.context.target_table.borrow();
        let fields: [Field<'_>; 3] = [
            ("request", &self.request.caller_headers.id),
            ("target", &target_table.target(target_id).name),
            ("why", &why),
        ];
        event::log(Event::AttemptFailed, &fields);
    }
}

/// The time after which a target without an answer counts as silent.
fn patience(route: &Route) -> Duration {
    match route.retry_policy {
        RetryPolicy::Stream { .. } => (route.objective * 2).max(LEAST_PATIENCE),
        RetryPolicy::Idempotent | RetryPolicy::Never => route.objective * PATIENCE,
    }
}

/// Why an attempt has no answer.
enum Failure {
    /// No byte left.
    Unsent,
    /// The configuration changed before the first byte left.
    Withdrawn,
    /// The request may have run.
    Broken(&'static str),
}

/// What an answer led to.
enum Settled {
    /// The caller gets this.
    Done(Outcome),
    /// The target did not run the request.
    Again,
    /// The target's own failure.
    Failed(Whole),
    /// The target may have run the request, and there is no answer of it.
    Broken(&'static str),
}

/// Reads a body up to a limit.
async fn collect(body: &mut Body, limit: usize) -> Result<Bytes, ()> {
    let mut whole = BytesMut::new();
    while whole.len() < limit {
        match body.next().await {
            Ok(Some(chunk)) => whole.extend_from_slice(&chunk),
            Ok(None) => break,
            Err(_) => return Err(()),
        }
    }
    Ok(whole.freeze())
}
