//! Queries the operators' listeners of running processes.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use derive_more::{Display, Error};

/// Timeout of one query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a response in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The response of a process.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Response {
    /// The requested document.
    Found(String),
    /// The process does not have the requested document.
    NotFound,
}

/// Reason why a query failed.
#[derive(Clone, PartialEq, Eq, Debug, Display, Error)]
pub enum QueryError {
    /// The connection could not be opened or broke.
    #[display("no answer from {address}: {cause}")]
    Unreachable {
        /// The process.
        address: SocketAddr,
        /// The cause.
        cause: String,
    },
    /// The process responded with an unexpected status.
    #[display("{address} answered {status}: {body}")]
    Status {
        /// The process.
        address: SocketAddr,
        /// The status code.
        status: u16,
        /// The body.
        body: String,
    },
    /// The response is not in the expected format.
    #[display("the answer of {address} is malformed: {cause}")]
    Malformed {
        /// The process.
        address: SocketAddr,
        /// The cause.
        cause: String,
    },
}

/// Requests `path` from one process.
///
/// # Errors
///
/// Returns an error if the process does not respond in time or responds with a
/// status other than 200 or 404.
pub async fn query(address: SocketAddr, path: &str) -> Result<Response, QueryError> {
    let unreachable = |cause: String| QueryError::Unreachable { address, cause };
    let client = Client::builder().timeout(QUERY_TIMEOUT).finish();
    let request = client.get(format!("http://{address}{path}"));
    let mut response = request
        .send()
        .await
        .map_err(|error| unreachable(error.to_string()))?;
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|error| unreachable(error.to_string()))?;
    let body = String::from_utf8_lossy(&body).into_owned();
    match response.status() {
        StatusCode::OK => Ok(Response::Found(body)),
        StatusCode::NOT_FOUND => Ok(Response::NotFound),
        status => Err(QueryError::Status {
            address,
            status: status.as_u16(),
            body,
        }),
    }
}

/// Requests `path` from all processes concurrently; the responses are in the order of
/// the addresses.
pub async fn query_all(
    addresses: &[SocketAddr],
    path: &str,
) -> Vec<(SocketAddr, Result<Response, QueryError>)> {
    let responses = addresses.iter().map(|&address| query(address, path));
    let responses = futures::future::join_all(responses).await;
    addresses.iter().copied().zip(responses).collect()
}
