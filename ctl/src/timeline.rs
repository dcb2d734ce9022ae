//! `why --log`: the timeline of a request, from collected logs of several processes.
//!
//! Each attempt of a caller has its own request id. Equal requests of one caller have the
//! same value in the log field `work`, so the timeline of one id includes the caller's
//! other attempts at any router, and the events of the targets and routers involved
//! that are close in time. The cause is printed last.

use std::collections::BTreeSet;
use std::path::Path;

use entity::Name;
use eyre::WrapErr;
use node::event::{Event, LogEntry};
use policy::direct::fair_share::MIN_WAIT_FACTOR;
use serde::Serialize;

use crate::report::{Exit, Report};

/// Time before and after a request for which events of its targets and routers are
/// included, in seconds.
const CONTEXT_SECONDS: f64 = 3.0;

/// A logged event of a process.
#[derive(Clone, PartialEq, Debug)]
pub struct LoggedEvent {
    /// Time in seconds from an arbitrary origin.
    pub seconds: f64,
    /// Timestamp as written in the log.
    pub timestamp: String,
    /// The process.
    pub process: Name,
    /// The parsed event.
    pub entry: LogEntry,
    /// The event as written in the log.
    pub text: String,
}

/// The timeline of a request.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct Timeline {
    /// The request.
    pub request: String,
    /// The events, sorted by time.
    pub lines: Vec<String>,
    /// The cause of the outcome, if the logs contain an event of the request.
    pub cause: Option<String>,
}

/// Reads the logs and reports the timeline of a request.
///
/// # Errors
///
/// Returns an error if a log cannot be read.
pub fn run(request: &str, logs: &[impl AsRef<Path>]) -> eyre::Result<Report> {
    let mut events = Vec::new();
    for log in logs {
        let path = log.as_ref();
        let text = std::fs::read(path);
        let text = text.wrap_err_with(|| format!("cannot read {}", path.display()))?;
        let process = path.file_stem().unwrap_or_default().to_string_lossy();
        events.extend(parse_log(&process, &String::from_utf8_lossy(&text)));
    }
    let timeline = build_timeline(request, events);
    let exit = if timeline.lines.is_empty() {
        Exit::Gone
    } else {
        Exit::Done
    };
    let mut lines = vec![format!("request {request}")];
    lines.extend(timeline.lines.iter().cloned());
    lines.push(match &timeline.cause {
        Some(cause) => format!("cause: {cause}"),
        None => "the logs hold no event of this request".to_owned(),
    });
    Ok(Report::new(exit, lines.join("\n"), &timeline))
}

/// Parses the events of a log. Each event is preceded by its time and, optionally, the
/// name of the process; `process` is the default name. Other lines are ignored.
pub fn parse_log(process: &str, text: &str) -> Vec<LoggedEvent> {
    let process = Name::new(process);
    let lines = text.lines().filter_map(|line| {
        let start = line.find("KW")?;
        let (before, text) = line.split_at(start);
        let entry = LogEntry::parse(text)?;
        let mut words = before.split_whitespace();
        let timestamp = words.next()?;
        Some(LoggedEvent {
            seconds: seconds(timestamp)?,
            timestamp: timestamp.to_owned(),
            process: words.next().map_or_else(|| process.clone(), Name::new),
            entry,
            text: text.to_owned(),
        })
    });
    lines.collect()
}

/// Converts a timestamp to seconds: a plain number, or the day of the month and time of
/// day of an RFC 3339 timestamp.
fn seconds(timestamp: &str) -> Option<f64> {
    if let Ok(seconds) = timestamp.parse() {
        return Some(seconds);
    }
    let (date, time) = timestamp.trim_end_matches('Z').split_once('T')?;
    let day: f64 = date.rsplit('-').next()?.parse().ok()?;
    let mut parts = time.split(':').map(str::parse::<f64>);
    let (hours, minutes, seconds) = (
        parts.next()?.ok()?,
        parts.next()?.ok()?,
        parts.next()?.ok()?,
    );
    Some(((day * 24.0 + hours) * 60.0 + minutes) * 60.0 + seconds)
}

/// Builds the timeline of a request.
pub fn build_timeline(request: &str, mut events: Vec<LoggedEvent>) -> Timeline {
    events.sort_by(|a, b| a.seconds.total_cmp(&b.seconds));
    let values = |key: &'static str, of: &dyn Fn(&&LoggedEvent) -> bool| -> BTreeSet<String> {
        let lines = events.iter().filter(of);
        lines
            .filter_map(|event| event.entry.field(key).map(ToOwned::to_owned))
            .collect()
    };
    let is_of_request = |event: &&LoggedEvent| event.entry.field("request") == Some(request);
    let work_ids = values("work", &is_of_request);
    let is_work = |event: &&LoggedEvent| {
        event
            .entry
            .field("work")
            .is_some_and(|work| work_ids.contains(work))
    };
    let mut requests = values("request", &is_work);
    requests.insert(request.to_owned());
    let is_related = |event: &&LoggedEvent| {
        event
            .entry
            .field("request")
            .is_some_and(|id| requests.contains(id))
    };
    let targets = values("target", &is_related);
    let related: Vec<&LoggedEvent> = events.iter().filter(is_related).collect();
    let (Some(first), Some(last)) = (related.first(), related.last()) else {
        return Timeline {
            request: request.to_owned(),
            lines: Vec::new(),
            cause: None,
        };
    };
    let span = first.seconds - CONTEXT_SECONDS..=last.seconds + CONTEXT_SECONDS;
    let processes: BTreeSet<&Name> = related.iter().map(|event| &event.process).collect();
    let is_context = |event: &&LoggedEvent| {
        let of_target = event
            .entry
            .field("target")
            .is_some_and(|name| targets.contains(name));
        let of_request = event.entry.field("request").is_some();
        let of_process = processes.contains(&event.process) && affects_requests(event.entry.event);
        span.contains(&event.seconds) && !of_request && (of_target || of_process)
    };
    let lines = events
        .iter()
        .filter(|event| is_related(event) || is_context(event));
    let lines = lines.map(|event| format!("{} {} {}", event.timestamp, event.process, event.text));
    let context: Vec<&LoggedEvent> = events.iter().filter(is_context).collect();
    let own: Vec<&LoggedEvent> = events.iter().filter(is_of_request).collect();
    Timeline {
        request: request.to_owned(),
        lines: lines.collect(),
        cause: cause(&own, &context),
    }
}

/// Whether an event describes a state of its process that can affect requests.
fn affects_requests(event: Event) -> bool {
    matches!(
        event,
        Event::ProcessUnready
            | Event::StopBegan
            | Event::StopCut
            | Event::LinesDropped
            | Event::ServiceUnreachable
            | Event::KeysUnconfirmed
            | Event::ConfigAdopted
            | Event::CentreDrained
    )
}

/// Determines the cause of a request's outcome from `own`, the events of the request
/// itself, and `context`, the surrounding events of its targets and routers.
fn cause(own: &[&LoggedEvent], context: &[&LoggedEvent]) -> Option<String> {
    // A refusal is followed by the end of its request, which has less detail.
    let ends = [
        Event::RequestRefused,
        Event::CallerLeft,
        Event::RequestEnded,
    ];
    let last = ends
        .iter()
        .find_map(|&event| own.iter().rev().find(|logged| logged.entry.event == event));
    let failed = own
        .iter()
        .rev()
        .find(|event| event.entry.event == Event::AttemptFailed);
    let field = |event: &LoggedEvent, key: &str| event.entry.field(key).unwrap_or("?").to_owned();
    let Some(last) = last else {
        return own.last().map(|event| {
            format!(
                "{} has no later event of it: the process ended or lines were left out",
                event.process
            )
        });
    };
    let at_target = failed.map(|event| {
        let target = field(event, "target");
        let state = context
            .iter()
            .rev()
            .find(|event| event.entry.field("target") == Some(&target));
        let state = state.map_or(String::new(), |event| {
            format!(", {}", event.entry.event.name())
        });
        format!("target {target}: {}{state}", field(event, "why"))
    });
    let cause = match last.entry.event {
        Event::RequestRefused => describe_refusal(last),
        Event::CallerLeft => format!("the caller left after {} ms", field(last, "took_ms")),
        _ => match field(last, "outcome").as_str() {
            "answered" => format!("answered with {}", field(last, "status")),
            "failed" => format!("ended with status {}", field(last, "status")),
            outcome => outcome.to_owned(),
        },
    };
    Some(match at_target {
        Some(at_target) => format!("{cause}; {at_target}"),
        None => cause,
    })
}

/// Describes the reason for a refusal.
fn describe_refusal(line: &LoggedEvent) -> String {
    let field = |key| line.entry.field(key).unwrap_or("?");
    let favour: Option<f64> = line
        .entry
        .field("favour")
        .and_then(|favour| favour.parse().ok());
    let reason = match field("why") {
        "busy" if favour.is_some_and(|favour| favour < MIN_WAIT_FACTOR) => {
            format!(
                "the team {} is beyond its share (favour {})",
                field("team"),
                field("favour")
            )
        }
        "busy" => "every target has too much to read before it".to_owned(),
        "full" => "no target has a slot or memory left".to_owned(),
        "no target" => "the service has no open target".to_owned(),
        "no repeat left" => "the budget of repeats is spent".to_owned(),
        why => why.to_owned(),
    };
    format!(
        "refused with {}: {reason}; to come back after {} ms",
        field("status"),
        field("retry_ms")
    )
}
