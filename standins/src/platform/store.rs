//! A stand-in for the platform's key-value store, with range reads, watches and faults.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::BytesMut;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use super::http::{self, RawRequest};

/// The number of items on a page of a range read.
const PAGE_SIZE: usize = 3;

/// How the store responds.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum StoreMode {
    /// Responds normally.
    #[default]
    Up,
    /// Responds with status 503.
    Busy,
    /// Never responds.
    Silent,
    /// Closes the connection without a response.
    Reset,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, (Vec<u8>, u64)>,
    history: Vec<(u64, String, Option<Vec<u8>>)>,
    revision: u64,
    compacted_revision: u64,
    /// The number of times it went back to a copy.
    era: u64,
    mode: StoreMode,
    /// The prefix of which reads are refused.
    refused_prefix: Option<String>,
    calls: u64,
}

/// The items of a store at some time.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    items: BTreeMap<String, (Vec<u8>, u64)>,
    revision: u64,
}

/// A handle to a running store.
#[derive(Clone, Debug)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    address: SocketAddr,
}

impl Store {
    /// Starts a store on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store = Self {
            state: Arc::default(),
            changed: watch::Sender::new(0),
            address: listener.local_addr()?,
        };
        let server = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = server.clone();
                tokio::spawn(async move { server.serve(stream).await });
            }
        });
        Ok(store)
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes a value.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    /// Writes raw bytes, which need not be valid JSON.
    pub fn put_bytes(&self, key: &str, bytes: &[u8]) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        state
            .items
            .insert(key.to_owned(), (bytes.to_vec(), revision));
        state
            .history
            .push((revision, key.to_owned(), Some(bytes.to_vec())));
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Deletes a key.
    pub fn delete(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state.history.push((revision, key.to_owned(), None));
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Sets how the store responds; this also applies to pending watches.
    pub fn set_mode(&self, mode: StoreMode) {
        self.lock().mode = mode;
    }

    /// Returns a copy of the items and their revision.
    pub fn copy(&self) -> StoreCopy {
        let state = self.lock();
        StoreCopy {
            items: state.items.clone(),
            revision: state.revision,
        }
    }

    /// Goes back to a copy: what was written since is gone, revisions are given out again
    /// and the era rises.
    pub fn go_back(&self, copy: StoreCopy) {
        let mut state = self.lock();
        state.era += 1;
        state.items = copy.items;
        state.revision = copy.revision;
        state.history.clear();
        state.compacted_revision = copy.revision;
        drop(state);
        self.changed.send_replace(copy.revision);
    }

    /// Refuses all reads of a prefix with status 503.
    pub fn refuse(&self, prefix: &str) {
        self.lock().refused_prefix = Some(prefix.to_owned());
    }

    /// Discards the history and wakes the pending watches, which then fail with status 410.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted_revision = state.revision + 1;
        state.revision += 1;
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
    }

    /// The number of requests since the start, failed ones included.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut input = BytesMut::new();
        while let Ok(Some(request)) = http::read(&mut stream, &mut input).await {
            self.lock().calls += 1;
            let (mut status, mut body) = self.answer(&request).await;
            let mode = self.lock().mode;
            match mode {
                StoreMode::Up => {}
                StoreMode::Busy => (status, body) = (503, json!({})),
                StoreMode::Silent => std::future::pending().await,
                StoreMode::Reset => return,
            }
            let body = body.to_string();
            let era = self.lock().era;
            let head = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, request: &RawRequest) -> (u16, Value) {
        let prefix = request.parameter("prefix").unwrap_or_default();
        let is_refused = self.lock().refused_prefix.as_deref() == Some(prefix);
        match request.path() {
            _ if is_refused => (503, json!({})),
            "/kv-range" => (200, self.range(prefix, request.parameter("startAfter"))),
            "/kv-watch" => {
                let number = |name| request.parameter(name).and_then(|it| it.parse().ok());
                let after = number("startAfter").unwrap_or(0);
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                self.watch(prefix, after, wait).await
            }
            _ => (404, json!({})),
        }
    }

    fn range(&self, prefix: &str, after: Option<&str>) -> Value {
        let state = self.lock();
        let matching = state.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && after.is_none_or(|after| key.as_str() > after)
        });
        let mut items: Vec<Value> = matching
            .take(PAGE_SIZE + 1)
            .map(|(key, (value, revision))| item_json(key, Some(value), *revision))
            .collect();
        let has_more = items.len() > PAGE_SIZE;
        items.truncate(PAGE_SIZE);
        json!({ "items": items, "morePages": has_more, "asOf": state.revision })
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, Value) {
        let mut changed = self.changed.subscribe();
        let waiting = async {
            loop {
                if let Some(answer) = self.changes(prefix, after) {
                    return answer;
                }
                if changed.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        let nothing = || (200, json!({ "events": [], "asOf": self.lock().revision }));
        timeout(wait, waiting).await.unwrap_or_else(|_| nothing())
    }

    fn changes(&self, prefix: &str, after: u64) -> Option<(u16, Value)> {
        let state = self.lock();
        // A watch from a revision that does not exist has no history either.
        if after < state.compacted_revision || after > state.revision {
            return Some((410, json!({})));
        }
        let events = state.history.iter();
        let events = events.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
        let events: Vec<Value> = events
            .map(|(at, key, value)| item_json(key, value.as_ref(), *at))
            .collect();
        let answer = json!({ "events": events, "asOf": state.revision });
        (!events.is_empty()).then_some((200, answer))
    }
}

fn item_json(key: &str, value: Option<&Vec<u8>>, revision: u64) -> Value {
    match value {
        Some(value) => json!({
            "key": key,
            "value": STANDARD.encode(value),
            "revision": revision,
            "createRev": revision,
            "lease": 0,
        }),
        None => json!({ "key": key, "revision": revision, "deleted": true }),
    }
}
