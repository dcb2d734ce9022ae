//! Reads from the configuration service over HTTP.
//!
//! [`ServiceClient`] performs the reads that the fleet state machine requests. It makes
//! no decisions: every outcome is reported as a [`ServiceResult`].
//!
//! Invariants:
//! - One read makes one call; only the next read tries another replica.
//! - A body over [`MAX_VALUE_BYTES`] is discarded as soon as its size is known.
//! - A value is complete: its length equals the `Content-Length`. A response without
//!   that header is garbage, because a truncated body could not be detected.

use std::cell::Cell;
use std::time::Duration;

use awc::error::{PayloadError, SendRequestError};
use awc::http::StatusCode;
use awc::http::header::CONTENT_LENGTH;
use policy::reader::{ReadRequest, ServiceResult};

/// Maximum size of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Time allowed for a response in addition to the requested wait.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Response header with the index of a value.
pub const INDEX_HEADER: &str = "x-index";

/// A client for the replicas of the configuration service.
pub struct ServiceClient {
    client: awc::Client,
    replicas: Vec<String>,
    next_replica: Cell<usize>,
}

impl std::fmt::Debug for ServiceClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ServiceClient")
            .field("replicas", &self.replicas)
            .finish_non_exhaustive()
    }
}

impl ServiceClient {
    /// Creates a client for the replicas at these URLs; `first` selects the initial replica.
    pub fn new(replicas: Vec<String>, first: usize) -> Self {
        let client = awc::Client::builder().disable_redirects().disable_timeout();
        Self {
            client: client.finish(),
            replicas,
            next_replica: Cell::new(first),
        }
    }

    /// Reads from one replica; after a failed read, the next read uses the next replica.
    pub async fn read(&self, read_order: &ReadRequest) -> ServiceResult {
        let Some(base) = self.replica() else {
            return ServiceResult::Unreachable;
        };
        let url = read_url(base, read_order);
        let limit = read_order.wait + ANSWER_TIMEOUT;
        let response = tokio::time::timeout(limit, self.call(&url)).await;
        let result = response.unwrap_or(ServiceResult::Unreachable);
        match result {
            ServiceResult::Value { .. } | ServiceResult::Unchanged => {}
            _ => self
                .next_replica
                .set(self.next_replica.get().wrapping_add(1)),
        }
        result
    }

    fn replica(&self) -> Option<&str> {
        let index = self.next_replica.get().checked_rem(self.replicas.len())?;
        Some(&self.replicas[index])
    }

    async fn call(&self, url: &str) -> ServiceResult {
        let mut response = match self.client.get(url).send().await {
            Ok(response) => response,
            Err(error) => return send_error_result(&error),
        };
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_MODIFIED => return ServiceResult::Unchanged,
            StatusCode::NOT_FOUND => return ServiceResult::Missing,
            status if status.is_server_error() => return ServiceResult::Unreachable,
            _ => return ServiceResult::Malformed,
        }
        let index = response.headers().get(INDEX_HEADER);
        let index = index.and_then(|index| index.to_str().ok()?.parse().ok());
        let Some(index) = index else {
            return ServiceResult::Malformed;
        };
        let length = response.headers().get(CONTENT_LENGTH);
        let length = length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
        match response.body().limit(MAX_VALUE_BYTES).await {
            Ok(body) if length == Some(body.len()) => ServiceResult::Value {
                index,
                body: body.to_vec(),
            },
            Ok(_) => ServiceResult::Malformed,
            Err(error) => body_error_result(&error),
        }
    }
}

/// The URL of a read.
fn read_url(base: &str, read_order: &ReadRequest) -> String {
    let base = base.trim_end_matches('/');
    let ReadRequest { key, after, wait } = read_order;
    let wait = wait.as_millis();
    format!("{base}/v1/values/{key}?after={after}&wait={wait}")
}

fn send_error_result(error: &SendRequestError) -> ServiceResult {
    match error {
        SendRequestError::Response(_) | SendRequestError::Url(_) => ServiceResult::Malformed,
        _ => ServiceResult::Unreachable,
    }
}

fn body_error_result(error: &PayloadError) -> ServiceResult {
    match error {
        PayloadError::Io(_) => ServiceResult::Unreachable,
        _ => ServiceResult::Malformed,
    }
}
