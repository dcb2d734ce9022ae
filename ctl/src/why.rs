//! `why`: all decisions about a request, in order, with the rules that led to them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use entity::{Decision, RequestId, RuleRef};
use serde::{Deserialize, Serialize};

use crate::client::{QueryError, Response, query_all};
use crate::report::{Exit, Report};

/// The decisions of one process about one request.
#[derive(Clone, PartialEq, Debug, Deserialize)]
pub struct Explanation {
    /// The process.
    pub process: String,
    /// The decisions, in order.
    pub decisions: Vec<Decision>,
    /// The rules that the decisions refer to, as far as the process still has them.
    #[serde(default)]
    pub sources: Vec<Source>,
}

/// The source text of a rule.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Source {
    /// The reference of the rule, such as `r7:12`.
    pub rule: String,
    /// The text of the rule.
    pub text: String,
    /// The person or group that requested the rule.
    pub asker: String,
}

/// The decisions of all processes about one request.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct MergedExplanation {
    /// The request.
    pub request: String,
    /// The decisions, sorted by time.
    pub decisions: Vec<Entry>,
    /// Processes without a record of the request.
    pub without: Vec<SocketAddr>,
    /// Error messages of processes that did not respond.
    pub failures: Vec<String>,
}

/// One decision.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct Entry {
    /// Time of the decision, by the clock of the process.
    pub at: String,
    /// The process.
    pub process: String,
    /// The processing stage.
    pub step: String,
    /// The decision.
    pub detail: String,
    /// The rules that led to the decision.
    pub rules: Vec<RuleEntry>,
}

/// A rule that led to a decision.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct RuleEntry {
    /// The revision of the document.
    pub revision: u64,
    /// The line in the document.
    pub line: u32,
    /// The text of the rule, if the process still has the revision.
    pub text: Option<String>,
    /// The person or group that requested the rule.
    pub asker: Option<String>,
}

/// Queries the processes at `addresses` for their decisions about a request.
pub async fn run(request: RequestId, addresses: &[SocketAddr]) -> Report {
    let responses = query_all(addresses, &format!("/why/{request}")).await;
    let mut explanations = Vec::new();
    let mut without = Vec::new();
    let mut failures = Vec::new();
    for (address, response) in responses {
        match response.and_then(|response| parse(address, response)) {
            Ok(Some(explanation)) => explanations.push(explanation),
            Ok(None) => without.push(address),
            Err(error) => failures.push(error.to_string()),
        }
    }
    let decisions = merge_by_time(&explanations);
    report(&MergedExplanation {
        request: request.to_string(),
        decisions,
        without,
        failures,
    })
}

fn parse(address: SocketAddr, response: Response) -> Result<Option<Explanation>, QueryError> {
    let body = match response {
        Response::Found(body) => body,
        Response::NotFound => return Ok(None),
    };
    let parsed = serde_json::from_str(&body).map_err(|error| QueryError::Malformed {
        address,
        cause: error.to_string(),
    });
    parsed.map(Some)
}

/// Merges the decisions of all processes by time, preserving the order within each process.
pub fn merge_by_time(explanations: &[Explanation]) -> Vec<Entry> {
    let mut entries: Vec<(SystemTime, Entry)> = Vec::new();
    for explanation in explanations {
        let sources: BTreeMap<_, _> = explanation
            .sources
            .iter()
            .map(|source| (source.rule.as_str(), source))
            .collect();
        let mut latest = UNIX_EPOCH;
        for decision in &explanation.decisions {
            latest = latest.max(decision.at);
            entries.push((latest, entry(&explanation.process, decision, &sources)));
        }
    }
    entries.sort_by_key(|(at, _)| *at);
    entries.into_iter().map(|(_, entry)| entry).collect()
}

fn entry(process: &str, decision: &Decision, sources: &BTreeMap<&str, &Source>) -> Entry {
    let rules = decision.rules.iter().map(|&rule| rule_entry(rule, sources));
    Entry {
        at: rules::format_instant(decision.at),
        process: process.to_owned(),
        step: decision.step.to_string(),
        detail: decision.detail.clone(),
        rules: rules.collect(),
    }
}

fn rule_entry(rule: RuleRef, sources: &BTreeMap<&str, &Source>) -> RuleEntry {
    let source = sources.get(rule.to_string().as_str());
    RuleEntry {
        revision: rule.revision.0,
        line: rule.line,
        text: source.map(|source| source.text.clone()),
        asker: source.map(|source| source.asker.clone()),
    }
}

/// Formats the decisions.
pub fn report(explanation: &MergedExplanation) -> Report {
    let mut lines = vec![format!("request {}", explanation.request)];
    for entry in &explanation.decisions {
        lines.push(format!(
            "{}  {}  {}: {}",
            entry.at, entry.process, entry.step, entry.detail
        ));
        lines.extend(entry.rules.iter().map(format_rule));
    }
    if explanation.decisions.is_empty() && explanation.failures.is_empty() {
        lines.push("the record is gone: no process that was asked holds it any more".to_owned());
    }
    lines.extend(
        explanation
            .failures
            .iter()
            .map(|failure| format!("! {failure}")),
    );
    let exit = match (
        explanation.failures.is_empty(),
        explanation.decisions.is_empty(),
    ) {
        (false, _) => Exit::Unreachable,
        (true, true) => Exit::Gone,
        (true, false) => Exit::Done,
    };
    Report::new(exit, lines.join("\n"), explanation)
}

fn format_rule(rule: &RuleEntry) -> String {
    let RuleEntry { revision, line, .. } = rule;
    match (&rule.text, &rule.asker) {
        (Some(text), Some(asker)) => {
            format!("    revision {revision}, line {line}: {text}  (asked by: {asker})")
        }
        _ => format!("    revision {revision}, line {line}: no longer held by the process"),
    }
}
