//! Classification of a target's response, and reading of short bodies.
//!
//! Invariant: a response that is buffered keeps the framing of its target's body.

use std::time::Instant;

use actix_http::StatusCode;
use bytes::{Bytes, BytesMut};
use platform::attempt::returned_headers;
use platform::response;
use policy::direct::response::{ResponseClass, classify};

use super::{BufferedResponse, Dispatch, Outcome, ResponseAction, StreamedResponse};
use crate::attempt::Attempt;
use crate::target::{Body, BodyFraming, TargetResponse};

/// The maximum size of a response that is buffered before it is forwarded.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

impl Dispatch<'_> {
    /// Classifies a response and reads its body if it is short.
    pub(super) async fn handle_response(
        &mut self,
        response: TargetResponse,
        attempt: Attempt,
        started: Instant,
    ) -> ResponseAction {
        let TargetResponse {
            status,
            headers,
            mut body,
            ..
        } = response;
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
                self.record_failure(target_id, why);
                if status == StatusCode::MISDIRECTED_REQUEST {
                    self.context
                        .target_table
                        .borrow_mut()
                        .stop_requests(target_id);
                } else if head.notice.pause.is_none() {
                    let is_plain = self.is_plain();
                    self.context
                        .record_turned_away(target_id, is_plain, head.load, now);
                }
                self.tried.push(target_id);
                ResponseAction::TryAnother
            }
            ResponseClass::Garbled => {
                self.runs += 1;
                ResponseAction::Broken {
                    why: "garbled",
                    times: attempt.times(),
                }
            }
            class => {
                self.runs += 1;
                attempt.record_started();
                let succeeded = class == ResponseClass::Answer;
                self.context
                    .metrics
                    .record_attempt(if succeeded { "answer" } else { "failed" });
                let kind = self.authorized.kind();
                self.context
                    .metrics
                    .record_first_event(kind, now.duration_since(started));
                let is_stream = self.authorized.retry_policy().is_stream() && status.is_success();
                let limit = if is_stream { 0 } else { MAX_BUFFERED_BYTES };
                let first = match read_body(&mut body, limit).await {
                    Ok(first) => first,
                    Err(()) => {
                        return ResponseAction::Broken {
                            why: "cut",
                            times: attempt.times(),
                        };
                    }
                };
                let is_plain = self.is_plain();
                self.context
                    .record_answer(target_id, succeeded, is_plain, Instant::now());
                let headers = returned_headers(&headers);
                if !body.is_complete() || is_stream {
                    return ResponseAction::Respond(Outcome::Streamed(Box::new(
                        StreamedResponse {
                            status,
                            headers,
                            first,
                            body,
                            attempt,
                        },
                    )));
                }
                self.context.record_body_end(
                    &self.request.caller_headers.id,
                    target_id,
                    body.framing(),
                    0,
                );
                if body.framing() == BodyFraming::Close {
                    self.context.record_broken_attempt(
                        target_id,
                        self.request,
                        attempt.times(),
                        Instant::now(),
                    );
                }
                let buffered = BufferedResponse {
                    status,
                    headers,
                    body: first,
                    framing: body.framing(),
                };
                if succeeded {
                    ResponseAction::Respond(Outcome::Buffered(buffered))
                } else {
                    self.record_failure(target_id, "target failed");
                    self.tried.push(target_id);
                    ResponseAction::Failed(buffered)
                }
            }
        }
    }
}

/// Reads a body until it ends or at least `limit` bytes were read.
async fn read_body(body: &mut Body, limit: usize) -> Result<Bytes, ()> {
    let mut buffered = BytesMut::new();
    while buffered.len() < limit {
        match body.next().await {
            Ok(Some(chunk)) => buffered.extend_from_slice(&chunk),
            Ok(None) => break,
            Err(_) => return Err(()),
        }
    }
    Ok(buffered.freeze())
}
