//! Finds the software version at which a stream that a caller takes up must go on.
//!
//! Invariant: a stream goes on only if the version that began it is known.

use std::time::{Duration, Instant};

use entity::Name;
use node::event::{self, Event, Field};
use policy::direct::prompt::Prompt;
use policy::direct::stream_origin::{Origin, StreamId};
use policy::direct::target::{MIN_OUTAGE, VersionTag};
use policy::direct::target_table::TargetEntryId;
use tokio::time::timeout_at;

use crate::clock::{BootClock, SystemBootClock};
use crate::context::Context;
use crate::request::{AuthorizedRequest, CallerRequest, Refusal};
use crate::shared::OriginQuestion;

/// The time to wait for the response to a question, and whether it is put to all peers
/// instead of the holders of the stream.
const QUESTIONS: [(Duration, bool); 3] = [
    (Duration::from_millis(30), false),
    (Duration::from_millis(50), true),
    (Duration::from_millis(70), true),
];

/// The number of routers that ask targets what they keep, at least, if there are as many.
const MIN_WATCHERS: usize = 4;

/// The retry delay of a caller whose stream cannot go on because its version is unknown;
/// a peer that knows it may be reachable again by then.
const UNKNOWN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Returns the only version at which the request may run; `None` if it takes up no stream.
///
/// # Errors
///
/// Returns a refusal if the request takes up a stream that began at an unknown version.
pub(crate) async fn required_version(
    context: &Context,
    request: &CallerRequest,
    authorized: &AuthorizedRequest,
) -> Result<Option<VersionTag>, Refusal> {
    let headers = &request.caller_headers;
    if !request.takes_up_stream(authorized) {
        return Ok(None);
    }
    let stream = headers.resumes.as_deref().map(StreamId::of_attempt);
    let part = headers.prompt.as_ref().and_then(Prompt::own_part);
    let part = part.map(|part| part.id);
    let (origin, asked) = find_origin(context, (stream, part), authorized).await;
    let name = match origin {
        Origin::Recorded(_) => "recorded",
        Origin::Single(_) => "single",
        Origin::Kept(_) => "kept",
        Origin::Established(_) => "established",
        Origin::Ambiguous => "ambiguous",
        Origin::Unknown => "unknown",
    };
    let build = origin.version();
    let build = build.map_or_else(|| "-".to_owned(), |version| version.to_string());
    let resumes = headers.resumes.as_deref().unwrap_or("-");
    let fields: [Field<'_>; 5] = [
        ("request", &headers.id),
        ("resumes", &resumes),
        ("origin", &name),
        ("build", &build),
        ("asked", &asked),
    ];
    event::log(Event::StreamOrigin, &fields);
    context.metrics.record_stream_origin(name);
    match origin.version() {
        Some(version) => Ok(Some(version)),
        None => Err(Refusal::not_run(
            "unknown version of the stream",
            UNKNOWN_RETRY_DELAY,
        )),
    }
}

/// Looks the origin up and asks the peers if it is not known here; also returns how often
/// they were asked.
async fn find_origin(
    context: &Context,
    (stream, part): (Option<StreamId>, Option<u64>),
    authorized: &AuthorizedRequest,
) -> (Origin, usize) {
    context.refresh(Instant::now());
    let shared = &context.shared;
    let look_up = || {
        let age = shared.targets_age(SystemBootClock.uptime());
        let is_current = age.is_some_and(|age| age < MIN_OUTAGE);
        let origins = shared.origins();
        origins.origin(stream, &authorized.service, is_current, Instant::now())
    };
    let Some(stream) = stream else {
        return (look_up(), 0);
    };
    for (asked, (wait, asks_all)) in QUESTIONS.into_iter().enumerate() {
        let until = Instant::now() + wait;
        let mut is_asked = false;
        loop {
            let learned = shared.origin_learned.notified();
            tokio::pin!(learned);
            // Registers before the look-up, so that an answer in between is not missed.
            learned.as_mut().enable();
            let origin = look_up();
            if origin != Origin::Unknown {
                return (origin, asked + usize::from(is_asked));
            }
            if !std::mem::replace(&mut is_asked, true) {
                shared.ask_origin(OriginQuestion {
                    stream,
                    asks_all,
                    part,
                });
            }
            // Answers to other questions wake this one as well.
            if timeout_at(until.into(), learned).await.is_err() {
                break;
            }
        }
    }
    // All routers had time to answer, so targets of several versions would have shown.
    let kept = part.map_or(Origin::Unknown, |part| {
        let origins = shared.origins();
        origins.version_of_holders(part, Instant::now())
    });
    let origin = match (look_up(), kept) {
        (Origin::Unknown, Origin::Unknown) if part.is_some() => {
            origin_of_departed(context, &authorized.service)
        }
        (Origin::Unknown, kept) => kept,
        (origin, _) => origin,
    };
    (origin, QUESTIONS.len())
}

/// Finds the origin of a stream whose prompt no target is known to keep.
fn origin_of_departed(context: &Context, service: &Name) -> Origin {
    let now = Instant::now();
    let target_table = context.target_table.borrow();
    let targets = target_table.targets_of_service(service).iter();
    // A cold target is not asked what it keeps.
    let is_cold = |&id: &TargetEntryId| target_table.target(id).is_cold(now);
    if !context.shares_kept || targets.copied().any(|id| is_cold(&id)) {
        return Origin::Unknown;
    }
    let watchers = context.shared.router_count().min(MIN_WATCHERS);
    let origins = context.shared.origins();
    origins.version_of_departed(service, watchers, now)
}
