//! A caller of the fleet.

use std::net::SocketAddr;

use awc::error::{PayloadError, SendRequestError};
use bytes::BytesMut;
use futures::StreamExt;
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
        let client = awc::Client::builder().disable_timeout().finish();
        let url = format!("http://{router}{}", self.path);
        let bearer = format!("Bearer kw-demo-{}", self.team);
        let mut request = client.post(url).insert_header(("authorization", bearer));
        for (name, value) in &self.headers {
            request = request.insert_header((name.as_str(), value.as_str()));
        }
        match request.send_body(self.body.clone()).await {
            Ok(response) => read(response).await,
            Err(SendRequestError::Url(error)) => panic!("{error}"),
            Err(_) => Ending::Lost,
        }
    }
}

async fn read(mut response: awc::ClientResponse) -> Ending {
    let header = |name: &str| {
        let value = response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let status = response.status().as_u16();
    let (outcome, request) = (header("kw-outcome"), header("x-request-id"));
    let key = header("idempotency-key");
    let mut body = BytesMut::new();
    loop {
        let chunk: Option<Result<_, PayloadError>> = response.next().await;
        match chunk {
            Some(Ok(chunk)) => body.extend_from_slice(&chunk),
            Some(Err(_)) => return Ending::Cut,
            None => break,
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
