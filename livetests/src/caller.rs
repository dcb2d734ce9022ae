//! A caller of the fleet.

use std::net::SocketAddr;

use actix_http::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, Uri};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use node::client::{Client, IncomingResponse, OutgoingRequest};
use node::http::header_text;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// How a caller's request ended.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Ending {
    /// The response ended cleanly.
    Whole(Response),
    /// The response broke after its head.
    Cut,
    /// There was no response.
    Lost,
}

/// A whole response.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The `kw-outcome` header.
    pub outcome: String,
    /// The `x-request-id` header.
    pub request: String,
    /// The `idempotency-key` header, which names a key that the router minted.
    pub key: String,
    /// The body.
    pub body: String,
}

impl Response {
    /// The body as JSON; null if it is not.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// The `reason` of a refusal.
    pub fn reason(&self) -> String {
        self.json()["reason"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

impl Ending {
    /// The whole response.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    #[track_caller]
    pub fn whole(self) -> Response {
        match self {
            Self::Whole(response) => response,
            Self::Cut => panic!("the response was cut"),
            Self::Lost => panic!("there was no response"),
        }
    }
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// The path.
    pub path: String,
    /// The team, whose key is `kw-demo-TEAM`.
    pub team: String,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: String,
}

impl Call {
    /// A chat completion of `tokens` tokens.
    pub fn chat(team: &str, prompt: &str, tokens: u32) -> Self {
        let body = json!({
            "model": "m",
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": true,
        });
        Self::post("/v1/chat/completions", team, &body.to_string())
    }

    /// A POST request.
    pub fn post(path: &str, team: &str, body: &str) -> Self {
        let headers = Vec::new();
        Self {
            path: path.to_owned(),
            team: team.to_owned(),
            headers,
            body: body.to_owned(),
        }
    }

    /// The same request with another header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sends the request to a router and reads the response.
    pub async fn send(&self, router: SocketAddr) -> Ending {
        let value = |text: &str| HeaderValue::from_str(text).expect("headers are plain text");
        let mut headers = HeaderMap::new();
        let bearer = format!("Bearer kw-demo-{}", self.team);
        headers.insert(AUTHORIZATION, value(&bearer));
        for (name, text) in &self.headers {
            let name = HeaderName::try_from(name.as_str()).expect("headers have valid names");
            headers.append(name, value(text));
        }
        let request = OutgoingRequest {
            method: Method::POST,
            uri: Uri::try_from(self.path.as_str()).expect("paths are valid"),
            headers,
            body: Bytes::from(self.body.clone()),
        };
        match Client::new().send(router, request).await {
            Ok(response) => read(response).await,
            Err(_) => Ending::Lost,
        }
    }
}

async fn read(response: IncomingResponse) -> Ending {
    let header = |name| {
        let value = header_text(&response.headers, name);
        value.unwrap_or_default().to_owned()
    };
    let status = response.status.as_u16();
    let (outcome, request) = (header("kw-outcome"), header("x-request-id"));
    let key = header("idempotency-key");
    let mut stream = response.body;
    let mut body = BytesMut::new();
    while let Some(chunk) = stream.next().await {
        match chunk {
            Ok(chunk) => body.extend_from_slice(&chunk),
            Err(_) => return Ending::Cut,
        }
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    Ending::Whole(Response {
        status,
        outcome,
        request,
        key,
        body,
    })
}

/// Whether a streamed completion is whole by the digest in its last chunk.
pub fn is_whole_stream(body: &str) -> bool {
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

/// The SHA-256 of a text in hexadecimal.
pub fn hex_digest(text: &str) -> String {
    Sha256::digest(text.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
