//! `dump`: the whole state of one process.

use std::net::SocketAddr;

use serde_json::Value;

use crate::client::{Answer, AskError, ask};
use crate::report::{Exit, Report};

/// Asks a process for its state, as YAML for people and JSON for programs.
///
/// # Errors
///
/// Returns an error if the process does not answer.
pub async fn run(address: SocketAddr, json: bool) -> Result<Report, AskError> {
    let path = if json { "/dump?format=json" } else { "/dump" };
    let report = match ask(address, path).await? {
        Answer::Found(body) if json => Report {
            json: parse(address, &body)?,
            text: body,
            exit: Exit::Done,
        },
        Answer::Found(body) => Report::new(Exit::Done, body.trim_end(), &Value::Null),
        Answer::Missing => {
            let text = format!("{address} serves no dump");
            Report::new(Exit::Gone, text, &Value::Null)
        }
    };
    Ok(report)
}

fn parse(address: SocketAddr, body: &str) -> Result<Value, AskError> {
    serde_json::from_str(body).map_err(|error| AskError::Malformed {
        address,
        cause: error.to_string(),
    })
}
