//! The platform's store, read-only for the system: range reads and watches over HTTP.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// The number of items on a page.
const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct State {
    items: BTreeMap<String, (String, u64)>,
    history: Vec<(u64, String, Option<String>)>,
    revision: u64,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts a store at an address.
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self::default();
        store.shared.0.lock().unwrap().revision = 100;
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a value; the time of its return is that of the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        self.write(key, Some(value.to_owned()))
    }

    pub fn delete(&self, key: &str) -> Instant {
        self.write(key, None)
    }

    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.shared.0.lock().unwrap();
        state.items.get(key).map(|(value, _)| value.clone())
    }

    fn write(&self, key: &str, value: Option<String>) -> Instant {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => {
                state.items.insert(key.to_owned(), (value.clone(), revision));
            }
            None => {
                state.items.remove(key);
            }
        }
        state.history.push((revision, key.to_owned(), value));
        drop(state);
        self.shared.1.notify_all();
        Instant::now()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut input = Vec::new();
        while let Ok(Some(request)) = http::read(&mut stream, &mut input) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message) -> (u16, String) {
        // 4 ms an answer, as on the sheet.
        thread::sleep(Duration::from_millis(4));
        let prefix = request.parameter("prefix").unwrap_or_default();
        let after = request.parameter("startAfter").unwrap_or_default();
        let path = request.target().split('?').next().unwrap_or("");
        match path {
            "/kv-range" => (200, self.range(&prefix, &after)),
            "/kv-watch" => {
                let wait = request.parameter("waitMs").and_then(|it| it.parse().ok());
                let wait = Duration::from_millis(wait.unwrap_or(0));
                (200, self.watch(&prefix, after.parse().unwrap_or(0), wait))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let matching = state.items.iter();
        let matching = matching.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<String> = matching
            .take(PAGE_ITEMS + 1)
            .map(|(key, (value, revision))| item(key, Some(value), *revision))
            .collect();
        let more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        let (items, revision) = (items.join(","), state.revision);
        format!("{{\"items\":[{items}],\"morePages\":{more},\"asOf\":{revision}}}")
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let events = state.history.iter();
            let events = events.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<String> = events
                .map(|(at, key, value)| item(key, value.as_ref(), *at))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return format!("{{\"events\":[{events}],\"asOf\":{revision}}}");
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item(key: &str, value: Option<&String>, revision: u64) -> String {
    match value {
        Some(value) => {
            let value = base64(value.as_bytes());
            format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"createRev\":{revision},\"lease\":0}}"
            )
        }
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(*chunk.get(at).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            match at <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * at)) as usize & 63].into()),
                false => text.push('='),
            }
        }
    }
    text
}
