//! Serves one caller's connection, request by request.
//!
//! Invariants:
//! - When the caller leaves, the attempt for it ends at once.
//! - An answer that is not whole never looks whole to the caller: its connection
//!   is closed before the body's end.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use actix_http::header::CONTENT_LENGTH;
use entity::Name;
use node::event::{self, Event, Field};
use policy::direct::config::RetryPolicy;
use tokio::net::TcpStream;

use crate::caller::{CallerConnection, INITIAL_LIMITS, ReadOutcome, run_until};
use crate::context::{Attempt, Context};
use crate::events::EventSplitter;
use crate::request::{AuthorizedRequest, CallerRequest, Refusal};
use crate::serve::{Dispatch, Outcome, StreamedResponse};
use crate::target::BodyTruncated;
use crate::tcp;

/// How long before a caller's limit a request without an answer is given up, so
/// that the answer arrives in time.
const ANSWER_LEAD: Duration = Duration::from_millis(15);

/// When callers come back that were refused by a router that stops.
const STOPPING_RETRY: Duration = Duration::from_millis(20);

/// When callers come back that were refused by a router that is far behind, as in
/// [`crate::shed`].
const STRAINED_RETRY: Duration = Duration::from_millis(250);

/// How a request ended for its caller.
enum Ended {
    /// The caller has a whole answer.
    Answered {
        /// Its status.
        status: StatusCode,
        /// Whether the connection can be kept.
        keep: bool,
    },
    /// The answer broke off.
    Broken(&'static str),
    /// The caller left.
    Left,
}

/// Serves a connection until it ends.
pub(crate) async fn serve(context: Rc<Context>, stream: TcpStream) {
    if let Err(error) = tcp::configure(&stream) {
        log::debug!("caller's connection: {error}");
        return;
    }
    let mut caller = CallerConnection::new(stream, context.http.clone());
    loop {
        let limits = context
            .config()
            .map_or(INITIAL_LIMITS, |config| config.limits);
        if !caller.wait_for_request(&context, limits.idle_time).await {
            return;
        }
        let next = caller.read_request(limits).await;
        let incoming = match next {
            ReadOutcome::Request(incoming) => *incoming,
            ReadOutcome::Reject(status) => {
                let refusal = Refusal::new(status, "unacceptable request");
                let fields: [Field<'_>; 1] = [("status", &status.as_u16())];
                event::log(Event::LimitReached, &fields);
                let _answered = caller.respond_error(status, None, refusal.why, true).await;
                return caller.close().await;
            }
            ReadOutcome::Closed => return,
        };
        context.shared.open_requests.fetch_add(1, Ordering::Relaxed);
        let ended = one(&context, &mut caller, CallerRequest::new(incoming)).await;
        context.shared.open_requests.fetch_sub(1, Ordering::Relaxed);
        match ended {
            Ended::Answered { keep: true, .. } if !context.shared.is_stopping() => {}
            Ended::Answered { .. } => return caller.close().await,
            Ended::Broken(_) | Ended::Left => return,
        }
    }
}

async fn one(
    context: &Rc<Context>,
    caller: &mut CallerConnection,
    request: CallerRequest,
) -> Ended {
    if context.rejects_connections(Instant::now()) {
        let refusal = Refusal::not_run("strained", STRAINED_RETRY);
        note_refused(&request, None, refusal);
        return refuse(context, caller, refusal).await;
    }
    let authorized = request.authorize(&context.shared);
    let authorized = match authorized.and_then(|authorized| taken(context, authorized)) {
        Ok(authorized) => authorized,
        Err(refusal) => {
            note_refused(&request, None, refusal);
            return refuse(context, caller, refusal).await;
        }
    };
    let now = Instant::now();
    let routers = context.shared.router_count();
    let service = authorized.service.clone();
    context
        .retry_budget
        .borrow_mut()
        .record_request(&service, routers, now);
    if let (Some(team), Some(prompt)) = (authorized.team_name(), &request.caller_headers.prompt) {
        let mut fair_shares = context.fair_shares.borrow_mut();
        fair_shares.record_request(team.tag().0, prompt.weighted_tokens(), now);
    }
    let timeout = authorized.config.route_at(authorized.route).timeout;
    let kind = authorized.kind();
    let team = authorized.team_name().cloned();
    let limit = request.deadline(timeout);
    let mut work = Dispatch::new(context, &request, authorized);
    let answer_by = limit.checked_sub(ANSWER_LEAD).unwrap_or(limit);
    let outcome = tokio::select! {
        biased;
        () = caller.disconnected() => None,
        outcome = run_until(answer_by.into(), work.run(None, None)) => Some(outcome),
    };
    let ended = match outcome {
        None => Ended::Left,
        Some(Some(outcome)) => deliver(context, caller, &mut work, outcome, limit).await,
        Some(None) => {
            let refusal = match work.sent.get() {
                true => Refusal::new(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
                false => Refusal::not_run("no time left", Duration::ZERO),
            };
            note_refused(&request, team.as_ref(), refusal);
            refuse(context, caller, refusal).await
        }
    };
    finish(context, &request, kind, team.as_ref(), &ended);
    ended
}

/// Refuses a request that comes so late in a planned stop that it might be cut.
fn taken(context: &Context, authorized: AuthorizedRequest) -> Result<AuthorizedRequest, Refusal> {
    match context.shared.closing.load(Ordering::Relaxed) {
        true => Err(Refusal::not_run("stopping", STOPPING_RETRY)),
        false => Ok(authorized),
    }
}

async fn deliver(
    context: &Rc<Context>,
    caller: &mut CallerConnection,
    work: &mut Dispatch<'_>,
    outcome: Outcome,
    limit: Instant,
) -> Ended {
    match outcome {
        Outcome::Buffered(mut response) => {
            response.headers.remove(CONTENT_LENGTH);
            let close = context.closes_after_response();
            context
                .crash_history
                .borrow_mut()
                .record_completed(work.request.fingerprint);
            let answered = caller
                .respond(response.status, response.headers, &response.body, close)
                .await;
            answered_or_left(response.status, answered)
        }
        Outcome::Refused(refusal) => {
            let team = work.authorized.team_name().cloned();
            note_refused(work.request, team.as_ref(), refusal);
            refuse(context, caller, refusal).await
        }
        Outcome::Streamed(stream) => {
            let relayed = run_until(limit.into(), relay(context, caller, work, *stream)).await;
            relayed.unwrap_or(Ended::Broken("timeout"))
        }
    }
}

/// Relays an answer in pieces, and goes on with another run where that is allowed.
async fn relay(
    context: &Rc<Context>,
    caller: &mut CallerConnection,
    work: &mut Dispatch<'_>,
    stream: StreamedResponse,
) -> Ended {
    let StreamedResponse {
        status,
        mut headers,
        first,
        mut body,
        mut attempt,
    } = stream;
    let is_events = work.authorized.retry_policy().is_stream();
    let length = headers.get(CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
    // A length would hold for one run only.
    let length: Option<u64> = length.filter(|_| !is_events);
    headers.remove(CONTENT_LENGTH);
    let close = context.closes_after_response();
    if caller
        .begin_response(status, headers, length, close)
        .is_err()
    {
        return Ended::Broken("unwritable head");
    }
    let mut events = EventSplitter::resume_after(work.request.caller_headers.last_event);
    let mut pending = Some(first).filter(|it| !it.is_empty());
    let is_resumable = work.authorized.retry_policy() == RetryPolicy::Stream { resumable: true };
    loop {
        let next = match pending.take() {
            Some(bytes) => Ok(Some(bytes)),
            None => tokio::select! {
                biased;
                next = body.next() => next,
                () = caller.disconnected() => return Ended::Left,
                () = context.wait_until_stalled(attempt.target_id), if is_resumable => {
                    let Some(placed) = work.place_on_other_target(attempt.target_id) else {
                        continue;
                    };
                    events.discard_partial();
                    drop(body);
                    context.record_result(attempt.target_id, false, Instant::now());
                    drop(attempt);
                    match resume(work, caller, events.last_id(), Some(placed)).await {
                        Resumed::Stream(stream) => {
                            body = stream.body;
                            attempt = stream.attempt;
                            pending = Some(stream.first).filter(|it| !it.is_empty());
                            continue;
                        }
                        Resumed::Impossible => return Ended::Broken("quiet target"),
                        Resumed::Left => return Ended::Left,
                    }
                }
            },
        };
        match next {
            Ok(Some(bytes)) => {
                context
                    .target_table
                    .borrow_mut()
                    .record_byte(attempt.target_id, Instant::now());
                let piece = if is_events { events.push(bytes) } else { bytes };
                if !piece.is_empty() && caller.write_chunk(piece).await.is_err() {
                    return Ended::Left;
                }
            }
            Ok(None) => {
                let rest = events.finish();
                if !rest.is_empty() && caller.write_chunk(rest).await.is_err() {
                    return Ended::Left;
                }
                context.record_result(attempt.target_id, true, Instant::now());
                context
                    .crash_history
                    .borrow_mut()
                    .record_completed(work.request.fingerprint);
                return answered_or_left(status, caller.finish_response().await);
            }
            Err(BodyTruncated) => {
                events.discard_partial();
                drop(body);
                let target_id = attempt.target_id;
                drop(attempt);
                let now = Instant::now();
                context.record_result(target_id, false, now);
                context.record_broken_attempt(target_id, work.request.fingerprint, now);
                if !is_resumable || !work.may_resume(target_id) {
                    return Ended::Broken("target broke the stream");
                }
                match resume(work, caller, events.last_id(), None).await {
                    Resumed::Stream(stream) => {
                        body = stream.body;
                        attempt = stream.attempt;
                        pending = Some(stream.first).filter(|it| !it.is_empty());
                    }
                    Resumed::Impossible => return Ended::Broken("target broke the stream"),
                    Resumed::Left => return Ended::Left,
                }
            }
        }
    }
}

enum Resumed {
    Stream(Box<StreamedResponse>),
    Impossible,
    Left,
}

/// Goes on with a stream at another target after the last event that was delivered.
async fn resume(
    work: &mut Dispatch<'_>,
    caller: &mut CallerConnection,
    last: Option<u64>,
    placed: Option<Attempt>,
) -> Resumed {
    let fields: [Field<'_>; 2] = [
        ("request", &work.request.caller_headers.id),
        ("after", &last.unwrap_or(0)),
    ];
    event::log(Event::StreamResumed, &fields);
    let outcome = tokio::select! {
        biased;
        () = caller.disconnected() => return Resumed::Left,
        outcome = work.run(last, placed) => outcome,
    };
    match outcome {
        Outcome::Streamed(stream) if stream.status == StatusCode::OK => Resumed::Stream(stream),
        _ => Resumed::Impossible,
    }
}

fn answered_or_left(status: StatusCode, answered: std::io::Result<bool>) -> Ended {
    match answered {
        Ok(keep) => Ended::Answered { status, keep },
        Err(_) => Ended::Left,
    }
}

async fn refuse(context: &Rc<Context>, caller: &mut CallerConnection, refusal: Refusal) -> Ended {
    let close = context.closes_after_response();
    let Refusal {
        status, why, retry, ..
    } = refusal;
    let answered = caller.respond_error(status, retry, why, close).await;
    answered_or_left(status, answered)
}

fn note_refused(request: &CallerRequest, team: Option<&Name>, refusal: Refusal) {
    let team = team.map_or("-", Name::as_str);
    let retry = refusal.retry.unwrap_or_default().as_millis();
    let age = request.received_at.elapsed().as_millis();
    let favour = refusal
        .favour
        .map_or_else(|| "-".to_owned(), |favour| format!("{favour:.2}"));
    let fields: [Field<'_>; 8] = [
        ("request", &request.caller_headers.id),
        ("work", &request.fingerprint_tag()),
        ("status", &refusal.status.as_u16()),
        ("why", &refusal.why),
        ("retry_ms", &retry),
        ("after_ms", &age),
        ("favour", &favour),
        ("team", &team),
    ];
    event::log(Event::RequestRefused, &fields);
}

fn finish(
    context: &Rc<Context>,
    request: &CallerRequest,
    kind: &'static str,
    team: Option<&Name>,
    ended: &Ended,
) {
    let took = request.received_at.elapsed();
    let (event, outcome, status) = match ended {
        Ended::Answered { status, .. } if status.is_success() => {
            (Event::RequestEnded, "answered", status.as_u16())
        }
        Ended::Answered { status, .. } => (Event::RequestEnded, "failed", status.as_u16()),
        Ended::Broken(why) => (Event::RequestEnded, *why, 0),
        Ended::Left => (Event::CallerLeft, "left", 0),
    };
    context.metrics.record_request(kind, outcome, took);
    let team = team.map_or("-", Name::as_str);
    let millis = took.as_millis();
    let fields: [Field<'_>; 7] = [
        ("request", &request.caller_headers.id),
        ("work", &request.fingerprint_tag()),
        ("outcome", &outcome),
        ("status", &status),
        ("took_ms", &millis),
        ("kind", &kind),
        ("team", &team),
    ];
    event::log(event, &fields);
}
