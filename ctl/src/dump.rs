//! `dump`: the complete state of one process.

use std::net::SocketAddr;

use serde_json::Value;

use crate::client::{QueryError, Response, query};
use crate::report::{Exit, Report};

/// Requests the state of a process, as JSON if `json` is set and as YAML otherwise.
///
/// # Errors
///
/// Returns an error if the process does not respond.
pub async fn run(address: SocketAddr, json: bool) -> Result<Report, QueryError> {
    let path = if json { "/dump?format=json" } else { "/dump" };
    let report = match query(address, path).await? {
        Response::Found(body) if json => Report {
            json: parse(address, &body)?,
            text: body,
            exit: Exit::Done,
        },
        Response::Found(body) => Report::new(Exit::Done, body.trim_end(), &Value::Null),
        Response::NotFound => {
            let text = format!("{address} serves no dump");
            Report::new(Exit::Gone, text, &Value::Null)
        }
    };
    Ok(report)
}

fn parse(address: SocketAddr, body: &str) -> Result<Value, QueryError> {
    serde_json::from_str(body).map_err(|error| QueryError::Malformed {
        address,
        cause: error.to_string(),
    })
}
