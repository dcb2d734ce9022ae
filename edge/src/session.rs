//! Serves the requests of one caller's connection in sequence.
//!
//! Invariants:
//! - When the caller disconnects, its attempt is cancelled at once.
//! - A truncated response never looks complete to the caller: the connection is closed
//!   before the end of the body is marked, or reset if nothing else marks it.
//! - The end of a body is marked only if its target marked it.

mod resume;

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use bytes::Bytes;
use entity::Name;
use node::event::{self, Event, Field};
use policy::direct::config::RetryPolicy;
use tokio::net::TcpStream;

use crate::caller::{CallerConnection, INITIAL_LIMITS, ReadOutcome, ResponseFraming, run_until};
use crate::context::Context;
use crate::events::{EventSplitter, has_events};
use crate::metrics::Rejection;
use crate::origin;
use crate::request::{AuthorizedRequest, CallerRequest, Refusal};
use crate::serve::{Dispatch, Outcome, StreamedResponse};
use crate::supervise::catch_panic;
use crate::target::{BodyFraming, BodyTruncated};
use resume::{Resumed, TakeOver, record_broken, resume_stream, take_over};

/// How long before its deadline a request without a response is abandoned, so that
/// the error response arrives in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);

/// The retry delay of requests refused by a stopping router.
const STOPPING_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How a request ended for its caller.
enum RequestEnd {
    /// The caller received a complete response.
    Answered {
        /// The status of the response.
        status: StatusCode,
        /// Whether the connection can be kept alive.
        keep: bool,
    },
    /// The response was truncated.
    Truncated(&'static str),
    /// The caller disconnected.
    Disconnected,
}

/// Serves a connection until it is closed.
pub(crate) async fn serve(context: Rc<Context>, stream: TcpStream) {
    let mut caller = CallerConnection::new(stream, context.http.clone());
    loop {
        let limits = context
            .config()
            .map_or(INITIAL_LIMITS, |config| config.limits);
        if !caller.wait_for_request(&context, limits.idle_time).await {
            return;
        }
        let next = caller.read_request(limits).await;
        let request = match next {
            ReadOutcome::Request(request) => *request,
            ReadOutcome::Reject(status) => {
                let refusal = Refusal::new(status, "unacceptable request");
                let fields: [Field<'_>; 1] = [("status", &status.as_u16())];
                event::log(Event::LimitReached, &fields);
                let _written = caller.respond_error(status, None, refusal.why, true).await;
                return caller.close().await;
            }
            ReadOutcome::Closed => return,
        };
        context.shared.open_requests.fetch_add(1, Ordering::Relaxed);
        let request = CallerRequest::new(request);
        let ended = catch_panic("request", handle_request(&context, &mut caller, request)).await;
        context.shared.open_requests.fetch_sub(1, Ordering::Relaxed);
        match ended.unwrap_or(RequestEnd::Disconnected) {
            // The caller may reuse the connection unless the response said that it is closed.
            RequestEnd::Answered { keep: true, .. } => {}
            RequestEnd::Answered { keep: false, .. } => return caller.close().await,
            RequestEnd::Truncated(_) | RequestEnd::Disconnected => return,
        }
    }
}

async fn handle_request(
    context: &Rc<Context>,
    caller: &mut CallerConnection,
    request: CallerRequest,
) -> RequestEnd {
    let now = Instant::now();
    if context.rejects_connections(now) {
        let refusal = Refusal::not_run("strained", context.strained_retry_delay(now));
        context.record_rejection(Rejection::Request);
        log_refused(&request, None, refusal);
        return refuse_strained(context, caller, refusal).await;
    }
    let authorized = request.authorize(&context.shared);
    let authorized = match authorized.and_then(|authorized| refuse_if_closing(context, authorized))
    {
        Ok(authorized) => authorized,
        Err(refusal) => {
            log_refused(&request, None, refusal);
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
    // Held to the end of the request.
    let place;
    if let (Some(team), Some(prompt)) = (authorized.team_name(), &request.caller_headers.prompt) {
        let tokens = prompt.weighted_tokens();
        context
            .fair_shares
            .borrow_mut()
            .record_request(team.tag().0, tokens, now);
        place = context.take_place(team, now);
        if place.is_none() {
            let refusal = Refusal::not_run("strained", context.strained_retry_delay(now));
            context.record_rejection(Rejection::Limit);
            context.refused_teams.borrow_mut().record(team, tokens);
            let elapsed = request.received_at.elapsed();
            let kind = authorized.kind();
            context.metrics.record_request(kind, "strained", elapsed);
            log_refused(&request, Some(team), refusal);
            return refuse_strained(context, caller, refusal).await;
        }
    }
    let timeout = authorized.config.route_at(authorized.route).timeout;
    let kind = authorized.kind();
    let team = authorized.team_name().cloned();
    let deadline = request.deadline(timeout);
    let origin = match origin::required_version(context, &request, &authorized).await {
        Ok(origin) => origin,
        Err(refusal) => {
            context.metrics.record_stream_placement(true, refusal.why);
            log_refused(&request, team.as_ref(), refusal);
            let ended = refuse(context, caller, refusal).await;
            log_ended(context, &request, kind, team.as_ref(), &ended);
            return ended;
        }
    };
    let mut dispatch = Dispatch::new(context, &request, authorized);
    if let Some(version) = origin {
        dispatch.require_version(version);
    }
    // A refusal needs neither the connection's options nor a watch for the end of the
    // connection, which cost an overloaded router more than the refusal itself.
    let first_attempt = dispatch.next_attempt();
    if dispatch.authorized.retry_policy().is_stream() {
        let result = first_attempt.as_ref().err().map_or("sent", |it| it.why);
        context
            .metrics
            .record_stream_placement(origin.is_some(), result);
    }
    let first_attempt = match first_attempt {
        Ok(attempt) => attempt,
        Err(refusal) => {
            let refused = Outcome::Refused(refusal);
            let ended = send_outcome(context, caller, &mut dispatch, refused, deadline).await;
            log_ended(context, &request, kind, team.as_ref(), &ended);
            return ended;
        }
    };
    if let Err(error) = caller.configure() {
        log::debug!("caller's connection failed: {error}");
        return RequestEnd::Disconnected;
    }
    let abandon_at = deadline.checked_sub(RESPONSE_MARGIN).unwrap_or(deadline);
    let outcome = tokio::select! {
        biased;
        () = caller.disconnected() => None,
        outcome = run_until(abandon_at.into(), dispatch.run(None, Some(first_attempt))) => Some(outcome),
    };
    let ended = match outcome {
        None => RequestEnd::Disconnected,
        Some(Some(outcome)) => {
            send_outcome(context, caller, &mut dispatch, outcome, deadline).await
        }
        Some(None) => {
            let refusal = match dispatch.sent.get() {
                true => Refusal::new(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
                false => Refusal::not_run("no time left", Duration::ZERO),
            };
            log_refused(&request, team.as_ref(), refusal);
            refuse(context, caller, refusal).await
        }
    };
    log_ended(context, &request, kind, team.as_ref(), &ended);
    ended
}

/// Refuses a request that arrives so late in a planned stop that it might be
/// interrupted.
fn refuse_if_closing(
    context: &Context,
    authorized: AuthorizedRequest,
) -> Result<AuthorizedRequest, Refusal> {
    match context.shared.closing.load(Ordering::Relaxed) {
        true => Err(Refusal::not_run("stopping", STOPPING_RETRY_DELAY)),
        false => Ok(authorized),
    }
}

async fn send_outcome(
    context: &Rc<Context>,
    caller: &mut CallerConnection,
    dispatch: &mut Dispatch<'_>,
    outcome: Outcome,
    deadline: Instant,
) -> RequestEnd {
    match outcome {
        Outcome::Buffered(response) => {
            let close = context.closes_after_response();
            let framing = match response.framing {
                BodyFraming::Framed => {
                    context.record_completed(dispatch.request, response.status);
                    ResponseFraming::Length(response.body.len() as u64)
                }
                BodyFraming::Close => ResponseFraming::Close,
            };
            let written = caller
                .respond(
                    response.status,
                    response.headers,
                    &response.body,
                    framing,
                    close,
                )
                .await;
            response_end(response.status, written)
        }
        Outcome::Refused(refusal) => {
            let team = dispatch.authorized.team_name().cloned();
            if refusal.favour.is_some() {
                dispatch.record_refused();
            }
            log_refused(dispatch.request, team.as_ref(), refusal);
            refuse(context, caller, refusal).await
        }
        Outcome::Streamed(stream) => {
            let forwarded = run_until(
                deadline.into(),
                forward_stream(context, caller, dispatch, *stream),
            )
            .await;
            forwarded.unwrap_or(RequestEnd::Truncated("timeout"))
        }
    }
}

/// Forwards a response in chunks, and resumes it at another target where that is
/// allowed.
async fn forward_stream(
    context: &Rc<Context>,
    caller: &mut CallerConnection,
    dispatch: &mut Dispatch<'_>,
    stream: StreamedResponse,
) -> RequestEnd {
    let StreamedResponse {
        status,
        headers,
        first,
        mut body,
        mut attempt,
    } = stream;
    let is_events = dispatch.authorized.retry_policy().is_stream() && has_events(&headers);
    let framing = match body.framing() {
        BodyFraming::Framed => ResponseFraming::Chunked,
        BodyFraming::Close => ResponseFraming::Close,
    };
    let close = context.closes_after_response();
    if caller
        .begin_response(status, headers, framing, close)
        .is_err()
    {
        return RequestEnd::Truncated("unwritable head");
    }
    let request_id = &dispatch.request.caller_headers.id;
    let mut events = EventSplitter::resume_after(dispatch.request.caller_headers.last_event);
    let mut pending = Some(first).filter(|it| !it.is_empty());
    let is_resumable =
        is_events && dispatch.authorized.retry_policy() == RetryPolicy::Stream { resumable: true };
    loop {
        let next = match pending.take() {
            Some(bytes) => Ok(Some(bytes)),
            None => tokio::select! {
                biased;
                next = body.next() => next,
                () = caller.disconnected() => return RequestEnd::Disconnected,
                () = context.wait_until_stalled(attempt.target_id), if is_resumable && events.is_resumable() => {
                    let Some(placed) = dispatch.place_on_other_target(attempt.target_id) else {
                        continue;
                    };
                    let silent = (&mut body, &attempt);
                    match take_over(dispatch, caller, silent, events.last_id(), placed).await {
                        TakeOver::Continued(next) => Ok(next),
                        TakeOver::Resumed(stream) => {
                            events.discard_partial();
                            body = stream.body;
                            attempt = stream.attempt;
                            pending = Some(stream.first).filter(|it| !it.is_empty());
                            continue;
                        }
                        TakeOver::Impossible => continue,
                        TakeOver::Broken => return RequestEnd::Truncated("target broke the stream"),
                        TakeOver::Disconnected => return RequestEnd::Disconnected,
                    }
                }
            },
        };
        let next = match next {
            Ok(None) => events.finish().map(StreamInput::End).map_err(|partial| {
                context.record_body_end(
                    request_id,
                    attempt.target_id,
                    body.framing(),
                    partial.bytes,
                );
                BodyTruncated
            }),
            next => next.map(|bytes| StreamInput::Bytes(bytes.unwrap_or_default())),
        };
        match next {
            Ok(StreamInput::Bytes(bytes)) => {
                attempt.record_byte();
                let chunk = if is_events { events.push(bytes) } else { bytes };
                if is_resumable && !chunk.is_empty() {
                    dispatch.record_stream_begun(attempt.target_id);
                }
                if !chunk.is_empty() && caller.write_chunk(chunk).await.is_err() {
                    return RequestEnd::Disconnected;
                }
            }
            Ok(StreamInput::End(rest)) => {
                let end = body.framing();
                context.record_body_end(request_id, attempt.target_id, end, 0);
                if !rest.is_empty() && caller.write_chunk(rest).await.is_err() {
                    return RequestEnd::Disconnected;
                }
                let now = Instant::now();
                match end {
                    BodyFraming::Framed => {
                        context.record_result(attempt.target_id, true, now);
                        context.record_completed(dispatch.request, status);
                    }
                    // The target may have crashed, which shows once it is unreachable.
                    BodyFraming::Close => {
                        let times = attempt.times();
                        context.record_broken_attempt(
                            attempt.target_id,
                            dispatch.request,
                            times,
                            now,
                        );
                    }
                }
                if end == BodyFraming::Close && framing != ResponseFraming::Close {
                    return RequestEnd::Truncated("unmarked end");
                }
                return response_end(status, caller.finish_response().await);
            }
            Err(BodyTruncated) => {
                events.discard_partial();
                drop(body);
                let target_id = attempt.target_id;
                record_broken(context, dispatch.request, &attempt);
                drop(attempt);
                if !is_resumable || !events.is_resumable() || !dispatch.may_resume(target_id) {
                    return RequestEnd::Truncated("target broke the stream");
                }
                match resume_stream(dispatch, caller, events.last_id(), None).await {
                    Resumed::Stream(stream) => {
                        body = stream.body;
                        attempt = stream.attempt;
                        pending = Some(stream.first).filter(|it| !it.is_empty());
                    }
                    Resumed::Impossible => return RequestEnd::Truncated("target broke the stream"),
                    Resumed::Disconnected => return RequestEnd::Disconnected,
                }
            }
        }
    }
}

/// What a target's stream delivers next.
enum StreamInput {
    Bytes(Bytes),
    /// The end of the stream, with the bytes after its last event.
    End(Bytes),
}

fn response_end(status: StatusCode, written: std::io::Result<bool>) -> RequestEnd {
    match written {
        Ok(keep) => RequestEnd::Answered { status, keep },
        Err(_) => RequestEnd::Disconnected,
    }
}

async fn refuse(
    context: &Rc<Context>,
    caller: &mut CallerConnection,
    refusal: Refusal,
) -> RequestEnd {
    let close = context.closes_after_response();
    respond_refusal(caller, refusal, close).await
}

/// Refuses a request for strain, and closes the connection if that moves the caller.
async fn refuse_strained(
    context: &Context,
    caller: &mut CallerConnection,
    refusal: Refusal,
) -> RequestEnd {
    let close = context.closes_after_refusal();
    respond_refusal(caller, refusal, close).await
}

async fn respond_refusal(
    caller: &mut CallerConnection,
    refusal: Refusal,
    close: bool,
) -> RequestEnd {
    let Refusal {
        status, why, retry, ..
    } = refusal;
    let written = caller.respond_error(status, retry, why, close).await;
    response_end(status, written)
}

fn log_refused(request: &CallerRequest, team: Option<&Name>, refusal: Refusal) {
    let team = team.map_or("-", Name::as_str);
    let retry = refusal.retry.unwrap_or_default().as_millis();
    let age = request.received_at.elapsed().as_millis();
    let favour = refusal
        .favour
        .map_or_else(|| "-".to_owned(), |favour| format!("{favour:.2}"));
    let millis = |millis: Option<f64>| {
        millis.map_or_else(|| "-".to_owned(), |millis| format!("{millis:.0}"))
    };
    let wait = millis(refusal.exceeded.map(|it| it.wait_millis));
    let limit = millis(refusal.exceeded.map(|it| it.limit_millis));
    let resumes = request.caller_headers.resumes.as_deref().unwrap_or("-");
    let fields: [Field<'_>; 11] = [
        ("request", &request.caller_headers.id),
        ("work", &request.fingerprint_tag()),
        ("resumes", &resumes),
        ("status", &refusal.status.as_u16()),
        ("why", &refusal.why),
        ("retry_ms", &retry),
        ("after_ms", &age),
        ("favour", &favour),
        ("wait_ms", &wait),
        ("limit_ms", &limit),
        ("team", &team),
    ];
    event::log(Event::RequestRefused, &fields);
}

fn log_ended(
    context: &Rc<Context>,
    request: &CallerRequest,
    kind: &'static str,
    team: Option<&Name>,
    ended: &RequestEnd,
) {
    let elapsed = request.received_at.elapsed();
    let (event, outcome, status) = match ended {
        RequestEnd::Answered { status, .. } if status.is_success() => {
            (Event::RequestEnded, "answered", status.as_u16())
        }
        RequestEnd::Answered { status, .. } => (Event::RequestEnded, "failed", status.as_u16()),
        RequestEnd::Truncated(why) => (Event::RequestEnded, *why, 0),
        RequestEnd::Disconnected => (Event::CallerLeft, "left", 0),
    };
    context.metrics.record_request(kind, outcome, elapsed);
    let team = team.map_or("-", Name::as_str);
    let millis = elapsed.as_millis();
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
