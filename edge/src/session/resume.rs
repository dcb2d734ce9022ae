//! Resumption of streams at another target.
//!
//! Invariant: the stream of a target that is only silent is kept until another target has
//! begun to answer.

use std::fmt::Display;
use std::rc::Rc;
use std::time::Instant;

use actix_http::StatusCode;
use bytes::Bytes;
use node::event::{self, Event, Field};

use crate::attempt::Attempt;
use crate::caller::CallerConnection;
use crate::context::Context;
use crate::events::has_events;
use crate::request::CallerRequest;
use crate::serve::{Dispatch, Outcome, StreamedResponse};
use crate::target::{Body, BodyTruncated};

/// What became of a stream that its target broke off.
pub(super) enum Resumed {
    /// Another target has begun to answer.
    Stream(Box<StreamedResponse>),
    /// No other target resumes it.
    Impossible,
    Disconnected,
}

/// What became of a stream whose target is silent.
pub(super) enum TakeOver {
    /// Another target has begun to answer.
    Resumed(Box<StreamedResponse>),
    /// The silent target delivered this first.
    Continued(Option<Bytes>),
    /// No other target resumes it.
    Impossible,
    /// The silent target broke the stream, and no other resumes it.
    Broken,
    Disconnected,
}

/// Asks another target to resume the stream of a silent one, which is kept until the other
/// has begun to answer: silence does not show that a target has failed.
pub(super) async fn take_over(
    dispatch: &mut Dispatch<'_>,
    caller: &mut CallerConnection,
    (body, attempt): (&mut Body, &Attempt),
    last: Option<u64>,
    placed: Attempt,
) -> TakeOver {
    let (context, request) = (dispatch.context, dispatch.request);
    let next = {
        let resumed = resume_stream(dispatch, caller, last, Some(placed));
        tokio::pin!(resumed);
        tokio::select! {
            biased;
            resumed = &mut resumed => {
                if let Resumed::Stream(_) = &resumed {
                    record_broken(context, request, attempt);
                }
                return resumed.into_take_over(TakeOver::Impossible);
            }
            next = body.next() => match next {
                Ok(next) => next,
                Err(BodyTruncated) => {
                    record_broken(context, request, attempt);
                    return resumed.await.into_take_over(TakeOver::Broken);
                }
            },
        }
    };
    dispatch.record_abandoned();
    log_resume_failed(request, "the silent target sent something");
    TakeOver::Continued(next)
}

/// Records that a target broke a response off, or that it was given up.
pub(super) fn record_broken(context: &Rc<Context>, request: &CallerRequest, attempt: &Attempt) {
    let now = Instant::now();
    context.record_result(attempt.target_id, false, now);
    context.record_broken_attempt(attempt.target_id, request, attempt.times(), now);
}

impl Resumed {
    fn into_take_over(self, if_impossible: TakeOver) -> TakeOver {
        match self {
            Self::Stream(stream) => TakeOver::Resumed(stream),
            Self::Impossible => if_impossible,
            Self::Disconnected => TakeOver::Disconnected,
        }
    }
}

/// Resumes a stream at another target after the last event that was delivered.
pub(super) async fn resume_stream(
    dispatch: &mut Dispatch<'_>,
    caller: &mut CallerConnection,
    last: Option<u64>,
    placed: Option<Attempt>,
) -> Resumed {
    let fields: [Field<'_>; 2] = [
        ("request", &dispatch.request.caller_headers.id),
        ("after", &last.unwrap_or(0)),
    ];
    event::log(Event::StreamResumed, &fields);
    let outcome = tokio::select! {
        biased;
        () = caller.disconnected() => return Resumed::Disconnected,
        outcome = dispatch.run(last, placed) => outcome,
    };
    let why = match outcome {
        Outcome::Streamed(stream) if stream.status == StatusCode::OK => {
            if has_events(&stream.headers) {
                return Resumed::Stream(stream);
            }
            "no events".to_owned()
        }
        Outcome::Streamed(stream) => format!("status {}", stream.status.as_u16()),
        Outcome::Buffered(response) => format!("status {}", response.status.as_u16()),
        Outcome::Refused(refusal) => refusal.to_string(),
    };
    log_resume_failed(dispatch.request, why);
    Resumed::Impossible
}

fn log_resume_failed(request: &CallerRequest, why: impl Display) {
    let fields: [Field<'_>; 2] = [("request", &request.caller_headers.id), ("why", &why)];
    event::log(Event::ResumeFailed, &fields);
}
