//! Requests of callers to the routers.

use std::net::SocketAddr;

use actix_http::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, Uri};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use node::client::{Client, IncomingResponse, OutgoingRequest};
use node::http::header_text;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// The outcome of a request for its caller.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum SendOutcome {
    /// The response is complete.
    Complete(Response),
    /// The connection failed after the head of the response.
    Truncated,
    /// No response was received.
    NoResponse,
}

/// A complete response.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The `kw-outcome` header.
    pub outcome: String,
    /// The `x-request-id` header.
    pub request_id: String,
    /// The `idempotency-key` header, with which the router reports a key that it generated.
    pub idempotency_key: String,
    /// The body.
    pub body: String,
}

impl Response {
    /// The body as JSON; null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// The `reason` in the body of a refusal; empty if there is none.
    pub fn reason(&self) -> String {
        self.json()["reason"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

impl SendOutcome {
    /// Returns the complete response.
    ///
    /// # Panics
    ///
    /// Panics if there is no complete response.
    #[track_caller]
    pub fn expect_complete(self) -> Response {
        match self {
            Self::Complete(response) => response,
            Self::Truncated => panic!("the response was truncated"),
            Self::NoResponse => panic!("no response was received"),
        }
    }
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request path.
    pub path: String,
    /// The team, whose key is `kw-demo-TEAM`.
    pub team: String,
    /// Additional headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: String,
}

impl Request {
    /// A streamed chat completion of at most `tokens` tokens.
    pub fn chat(team: &str, prompt: &str, tokens: u32) -> Self {
        let body = json!({
            "model": "m",
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": true,
        });
        Self::post("/v1/chat/completions", team, &body.to_string())
    }

    /// A POST request without additional headers.
    pub fn post(path: &str, team: &str, body: &str) -> Self {
        let headers = Vec::new();
        Self {
            path: path.to_owned(),
            team: team.to_owned(),
            headers,
            body: body.to_owned(),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sends the request to a router and reads the response.
    pub async fn send(&self, router: SocketAddr) -> SendOutcome {
        let value = |text: &str| HeaderValue::from_str(text).expect("headers are plain text");
        let mut headers = HeaderMap::new();
        let bearer = format!("Bearer kw-demo-{}", self.team);
        headers.insert(AUTHORIZATION, value(&bearer));
        for (name, text) in &self.headers {
            let name = HeaderName::try_from(name.as_str()).expect("headers have valid names");
            headers.append(name, value(text));
        }
        let outbound = OutgoingRequest {
            method: Method::POST,
            uri: Uri::try_from(self.path.as_str()).expect("paths are valid"),
            headers,
            body: Bytes::from(self.body.clone()),
        };
        match Client::new().send(router, outbound).await {
            Ok(response) => read_response(response).await,
            Err(_) => SendOutcome::NoResponse,
        }
    }
}

async fn read_response(response: IncomingResponse) -> SendOutcome {
    let header = |name| {
        let value = header_text(&response.headers, name);
        value.unwrap_or_default().to_owned()
    };
    let status = response.status.as_u16();
    let (outcome, request_id) = (header("kw-outcome"), header("x-request-id"));
    let idempotency_key = header("idempotency-key");
    let mut stream = response.body;
    let mut body = BytesMut::new();
    while let Some(chunk) = stream.next().await {
        match chunk {
            Ok(chunk) => body.extend_from_slice(&chunk),
            Err(_) => return SendOutcome::Truncated,
        }
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    SendOutcome::Complete(Response {
        status,
        outcome,
        request_id,
        idempotency_key,
        body,
    })
}

/// Whether a streamed completion has its end marker and its text matches the digest in the
/// stream.
pub fn is_complete_stream(body: &str) -> bool {
    let mut text = String::new();
    let mut digest = None;
    let mut done = false;
    for line in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            done = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(line).unwrap_or(Value::Null);
        text.push_str(
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
        digest = chunk["x_digest"].as_str().map(ToOwned::to_owned).or(digest);
    }
    done && digest.is_some_and(|digest| digest == hex_digest(&text))
}

/// The SHA-256 digest of a text in hexadecimal.
pub fn hex_digest(text: &str) -> String {
    Sha256::digest(text.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
