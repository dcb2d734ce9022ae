//! Reads of the configuration service over HTTP.
//!
//! [`ServiceClient`] carries out the reads that the fleet machine orders. It
//! decides nothing: every ending is a [`ServiceResult`].
//!
//! Invariants:
//! - One read is one call; another replica is asked by the next read only.
//! - A body over [`MAX_VALUE_BYTES`] is dropped as soon as that is known.
//! - A value is whole: its length is the one that the head states. An answer
//!   without a length is garbage, since a cut one could not be told from it.

use std::cell::Cell;
use std::time::Duration;

use awc::error::{PayloadError, SendRequestError};
use awc::http::StatusCode;
use awc::http::header::CONTENT_LENGTH;
use policy::reader::{ReadRequest, ServiceResult};

/// The greatest size of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// The time that an answer may take beyond the wait that was asked for.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The header that carries the index of a value.
pub const INDEX_HEADER: &str = "x-index";

/// A client of the configuration service's replicas.
pub struct ServiceClient {
    client: awc::Client,
    replicas: Vec<String>,
    next: Cell<usize>,
}

impl std::fmt::Debug for ServiceClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ServiceClient")
            .field("replicas", &self.replicas)
            .finish_non_exhaustive()
    }
}

impl ServiceClient {
    /// Creates a client of the replicas at these URLs; `first` chooses the one to start with.
    pub fn new(replicas: Vec<String>, first: usize) -> Self {
        let client = awc::Client::builder().disable_redirects().disable_timeout();
        Self {
            client: client.finish(),
            replicas,
            next: Cell::new(first),
        }
    }

    /// Carries out a read of one replica; a read that fails moves on to the next replica.
    pub async fn read(&self, order: &ReadRequest) -> ServiceResult {
        let Some(base) = self.replica() else {
            return ServiceResult::Unreachable;
        };
        let url = read_url(base, order);
        let limit = order.wait + ANSWER_TIMEOUT;
        let answer = tokio::time::timeout(limit, self.call(&url)).await;
        let result = answer.unwrap_or(ServiceResult::Unreachable);
        match result {
            ServiceResult::Value { .. } | ServiceResult::Unchanged => {}
            _ => self.next.set(self.next.get().wrapping_add(1)),
        }
        result
    }

    fn replica(&self) -> Option<&str> {
        let place = self.next.get().checked_rem(self.replicas.len())?;
        Some(&self.replicas[place])
    }

    async fn call(&self, url: &str) -> ServiceResult {
        let mut response = match self.client.get(url).send().await {
            Ok(response) => response,
            Err(error) => return unsent(&error),
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
            Err(error) => unread(&error),
        }
    }
}

/// The URL of a read.
fn read_url(base: &str, order: &ReadRequest) -> String {
    let base = base.trim_end_matches('/');
    let ReadRequest { key, after, wait } = order;
    let wait = wait.as_millis();
    format!("{base}/v1/values/{key}?after={after}&wait={wait}")
}

fn unsent(error: &SendRequestError) -> ServiceResult {
    match error {
        SendRequestError::Response(_) | SendRequestError::Url(_) => ServiceResult::Malformed,
        _ => ServiceResult::Unreachable,
    }
}

fn unread(error: &PayloadError) -> ServiceResult {
    match error {
        PayloadError::Io(_) => ServiceResult::Unreachable,
        _ => ServiceResult::Malformed,
    }
}
