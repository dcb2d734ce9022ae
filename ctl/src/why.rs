//! `why`: every decision about a request, in order, with the rules that made it.

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
    /// Its decisions, in order.
    pub decisions: Vec<Decision>,
    /// The rules that the decisions name, as far as the process still holds them.
    #[serde(default)]
    pub sources: Vec<Source>,
}

/// A rule as the operators wrote it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Source {
    /// The rule's reference, such as `r7:12`.
    pub rule: String,
    /// Its text.
    pub text: String,
    /// Who asked for it.
    pub asker: String,
}

/// The decisions of all processes about one request.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct Why {
    /// The request.
    pub request: String,
    /// The decisions, by time.
    pub decisions: Vec<Entry>,
    /// Processes that hold no record of the request.
    pub without: Vec<SocketAddr>,
    /// Processes that gave no answer, and why.
    pub failures: Vec<String>,
}

/// One decision.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct Entry {
    /// When, by the clock of the process.
    pub at: String,
    /// The process.
    pub process: String,
    /// The stage.
    pub step: String,
    /// What was decided.
    pub detail: String,
    /// The rules that made the decision.
    pub rules: Vec<RuleEntry>,
}

/// One rule that made a decision.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct RuleEntry {
    /// The revision of the document.
    pub revision: u64,
    /// The line in the document.
    pub line: u32,
    /// The rule's text, if its process still holds the revision.
    pub text: Option<String>,
    /// Who asked for it.
    pub asker: Option<String>,
}

/// Asks the processes at `addresses` about a request.
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
    let decisions = merge(&explanations);
    report(&Why {
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

/// Orders the decisions of all processes by time; decisions of one process keep their order.
pub fn merge(explanations: &[Explanation]) -> Vec<Entry> {
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

/// Lays the decisions out.
pub fn report(why: &Why) -> Report {
    let mut lines = vec![format!("request {}", why.request)];
    for entry in &why.decisions {
        lines.push(format!(
            "{}  {}  {}: {}",
            entry.at, entry.process, entry.step, entry.detail
        ));
        lines.extend(entry.rules.iter().map(write_rule));
    }
    if why.decisions.is_empty() && why.failures.is_empty() {
        lines.push("the record is gone: no process that was asked holds it any more".to_owned());
    }
    lines.extend(why.failures.iter().map(|failure| format!("! {failure}")));
    let exit = match (why.failures.is_empty(), why.decisions.is_empty()) {
        (false, _) => Exit::Unreachable,
        (true, true) => Exit::Gone,
        (true, false) => Exit::Done,
    };
    Report::new(exit, lines.join("\n"), why)
}

fn write_rule(rule: &RuleEntry) -> String {
    let RuleEntry { revision, line, .. } = rule;
    match (&rule.text, &rule.asker) {
        (Some(text), Some(asker)) => {
            format!("    revision {revision}, line {line}: {text}  (asked by: {asker})")
        }
        _ => format!("    revision {revision}, line {line}: no longer held by the process"),
    }
}
