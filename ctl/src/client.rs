//! Asks the operators' listeners of running processes.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use derive_more::{Display, Error};

/// The time limit of one question.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The greatest size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// An answer of a process.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Answer {
    /// What was asked for.
    Found(String),
    /// The process does not hold it.
    Missing,
}

/// Why there is no answer.
#[derive(Clone, PartialEq, Eq, Debug, Display, Error)]
pub enum AskError {
    /// No connection, or none that lasted.
    #[display("no answer from {address}: {cause}")]
    Unreachable {
        /// The process.
        address: SocketAddr,
        /// Why.
        cause: String,
    },
    /// The process answered with an unexpected status.
    #[display("{address} answered {status}: {body}")]
    Status {
        /// The process.
        address: SocketAddr,
        /// The status code.
        status: u16,
        /// The body.
        body: String,
    },
    /// The answer is not in the expected form.
    #[display("the answer of {address} is malformed: {cause}")]
    Malformed {
        /// The process.
        address: SocketAddr,
        /// Why.
        cause: String,
    },
}

/// Asks one process for `path`.
///
/// # Errors
///
/// Returns an error if the process cannot be reached in time or answers with a
/// status other than 200 or 404.
pub async fn ask(address: SocketAddr, path: &str) -> Result<Answer, AskError> {
    let unreachable = |cause: String| AskError::Unreachable { address, cause };
    let client = Client::builder().timeout(TIMEOUT).finish();
    let request = client.get(format!("http://{address}{path}"));
    let mut response = request
        .send()
        .await
        .map_err(|error| unreachable(error.to_string()))?;
    let body = response.body().limit(MAX_ANSWER_BYTES).await;
    let body = body.map_err(|error| unreachable(error.to_string()))?;
    let body = String::from_utf8_lossy(&body).into_owned();
    match response.status() {
        StatusCode::OK => Ok(Answer::Found(body)),
        StatusCode::NOT_FOUND => Ok(Answer::Missing),
        status => Err(AskError::Status {
            address,
            status: status.as_u16(),
            body,
        }),
    }
}

/// Asks all processes at once; the answers are in the order of the addresses.
pub async fn ask_all(
    addresses: &[SocketAddr],
    path: &str,
) -> Vec<(SocketAddr, Result<Answer, AskError>)> {
    let answers = addresses.iter().map(|&address| ask(address, path));
    let answers = futures::future::join_all(answers).await;
    addresses.iter().copied().zip(answers).collect()
}
