//! `why --log`: what happened to a request, from collected logs of several processes.
//!
//! A caller's attempts have ids of their own. The logs name equal requests of one
//! caller by the field `work`, so the story of one id holds its other attempts,
//! at whichever router they were, and what happened around them to the targets
//! and routers that they met. The cause comes last.

use std::collections::BTreeSet;
use std::path::Path;

use entity::Name;
use eyre::WrapErr;
use node::event::{Event, LogEntry};
use policy::direct::share::LEAST_FAVOUR;
use serde::Serialize;

use crate::report::{Exit, Report};

/// How long before and after a request events of its targets and routers are told,
/// in seconds.
const AROUND: f64 = 3.0;

/// One event of a process.
#[derive(Clone, PartialEq, Debug)]
pub struct Told {
    /// When, in seconds; only differences count.
    pub seconds: f64,
    /// When, as the log has it.
    pub at: String,
    /// The process.
    pub process: Name,
    /// The event.
    pub entry: LogEntry,
    /// The event as it was written.
    pub text: String,
}

/// The story of a request.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct Story {
    /// The request.
    pub request: String,
    /// What happened, by time.
    pub lines: Vec<String>,
    /// The cause, if the logs tell one.
    pub cause: Option<String>,
}

/// Reads the logs and tells the story.
///
/// # Errors
///
/// Returns an error if a log cannot be read.
pub fn run(request: &str, logs: &[impl AsRef<Path>]) -> eyre::Result<Report> {
    let mut told = Vec::new();
    for log in logs {
        let path = log.as_ref();
        let text = std::fs::read(path);
        let text = text.wrap_err_with(|| format!("cannot read {}", path.display()))?;
        let process = path.file_stem().unwrap_or_default().to_string_lossy();
        told.extend(read(&process, &String::from_utf8_lossy(&text)));
    }
    let story = tell(request, told);
    let exit = if story.lines.is_empty() {
        Exit::Gone
    } else {
        Exit::Done
    };
    let mut lines = vec![format!("request {request}")];
    lines.extend(story.lines.iter().cloned());
    lines.push(match &story.cause {
        Some(cause) => format!("cause: {cause}"),
        None => "the logs hold no event of this request".to_owned(),
    });
    Ok(Report::new(exit, lines.join("\n"), &story))
}

/// Reads the events of a log. A line may have the time and the name of the process
/// before the event; `process` is the name where a line has none.
pub fn read(process: &str, text: &str) -> Vec<Told> {
    let process = Name::new(process);
    let lines = text.lines().filter_map(|line| {
        let start = line.find("KW")?;
        let (before, text) = line.split_at(start);
        let entry = LogEntry::parse(text)?;
        let mut words = before.split_whitespace();
        let at = words.next()?;
        Some(Told {
            seconds: seconds(at)?,
            at: at.to_owned(),
            process: words.next().map_or_else(|| process.clone(), Name::new),
            entry,
            text: text.to_owned(),
        })
    });
    lines.collect()
}

/// A time as a number of seconds: from a number, or from the time of day of a
/// time in the format of RFC 3339.
fn seconds(at: &str) -> Option<f64> {
    if let Ok(seconds) = at.parse() {
        return Some(seconds);
    }
    let (date, time) = at.trim_end_matches('Z').split_once('T')?;
    let day: f64 = date.rsplit('-').next()?.parse().ok()?;
    let mut parts = time.split(':').map(str::parse::<f64>);
    let (hours, minutes, seconds) = (
        parts.next()?.ok()?,
        parts.next()?.ok()?,
        parts.next()?.ok()?,
    );
    Some(((day * 24.0 + hours) * 60.0 + minutes) * 60.0 + seconds)
}

/// Tells the story of a request.
pub fn tell(request: &str, mut told: Vec<Told>) -> Story {
    told.sort_by(|a, b| a.seconds.total_cmp(&b.seconds));
    let values = |key: &'static str, of: &dyn Fn(&&Told) -> bool| -> BTreeSet<String> {
        let lines = told.iter().filter(of);
        lines
            .filter_map(|it| it.entry.field(key).map(ToOwned::to_owned))
            .collect()
    };
    let is_own = |it: &&Told| it.entry.field("request") == Some(request);
    let works = values("work", &is_own);
    let is_work = |it: &&Told| {
        it.entry
            .field("work")
            .is_some_and(|work| works.contains(work))
    };
    let mut requests = values("request", &is_work);
    requests.insert(request.to_owned());
    let is_told = |it: &&Told| {
        it.entry
            .field("request")
            .is_some_and(|id| requests.contains(id))
    };
    let targets = values("target", &is_told);
    let own: Vec<&Told> = told.iter().filter(is_told).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Story {
            request: request.to_owned(),
            lines: Vec::new(),
            cause: None,
        };
    };
    let span = first.seconds - AROUND..=last.seconds + AROUND;
    let processes: BTreeSet<&Name> = own.iter().map(|it| &it.process).collect();
    let is_around = |it: &&Told| {
        let of_target = it
            .entry
            .field("target")
            .is_some_and(|name| targets.contains(name));
        let of_request = it.entry.field("request").is_some();
        let of_process = processes.contains(&it.process) && is_of_process(it.entry.event);
        span.contains(&it.seconds) && !of_request && (of_target || of_process)
    };
    let lines = told.iter().filter(|it| is_told(it) || is_around(it));
    let lines = lines.map(|it| format!("{} {} {}", it.at, it.process, it.text));
    let around: Vec<&Told> = told.iter().filter(is_around).collect();
    let own: Vec<&Told> = told.iter().filter(is_own).collect();
    Story {
        request: request.to_owned(),
        lines: lines.collect(),
        cause: cause(&own, &around),
    }
}

/// Whether an event tells something of its process that can decide on requests.
fn is_of_process(event: Event) -> bool {
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

/// What the last events of a request say of its end.
fn cause(own: &[&Told], around: &[&Told]) -> Option<String> {
    // A refusal is followed by the end of its request, which tells less.
    let ends = [
        Event::RequestRefused,
        Event::CallerLeft,
        Event::RequestEnded,
    ];
    let last = ends
        .iter()
        .find_map(|&event| own.iter().rev().find(|it| it.entry.event == event));
    let failed = own
        .iter()
        .rev()
        .find(|it| it.entry.event == Event::AttemptFailed);
    let field = |it: &Told, key: &str| it.entry.field(key).unwrap_or("?").to_owned();
    let Some(last) = last else {
        return own.last().map(|it| {
            format!(
                "{} has no later event of it: the process ended or lines were left out",
                it.process
            )
        });
    };
    let at_target = failed.map(|it| {
        let target = field(it, "target");
        let state = around
            .iter()
            .rev()
            .find(|around| around.entry.field("target") == Some(&target));
        let state = state.map_or(String::new(), |it| format!(", {}", it.entry.event.name()));
        format!("target {target}: {}{state}", field(it, "why"))
    });
    let cause = match last.entry.event {
        Event::RequestRefused => refusal(last),
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

/// Why a request was refused, in words.
fn refusal(line: &Told) -> String {
    let field = |key| line.entry.field(key).unwrap_or("?");
    let favour: Option<f64> = line.entry.field("favour").and_then(|it| it.parse().ok());
    let reason = match field("why") {
        "busy" if favour.is_some_and(|favour| favour < LEAST_FAVOUR) => {
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
