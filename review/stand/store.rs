// The platform's store, for reading: ranges and watches, as in PROTOCOL.md.

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, (String, u64)>,
    history: Vec<(u64, String, Option<String>)>,
    revision: u64,
}

#[derive(Clone)]
struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    address: SocketAddr,
}

impl Store {
    fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            state: Arc::default(),
            address: listener.local_addr()?,
        };
        store.state.0.lock().unwrap().revision = 100;
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(Conn::new(stream)));
            }
        });
        Ok(store)
    }

    fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state
            .items
            .insert(key.to_owned(), (value.to_owned(), revision));
        state
            .history
            .push((revision, key.to_owned(), Some(value.to_owned())));
        self.state.1.notify_all();
    }

    fn delete(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.history.push((revision, key.to_owned(), None));
            self.state.1.notify_all();
        }
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.head() {
            let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
            let get = |name: &str| {
                let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
                pairs
                    .find(|(key, _)| *key == name)
                    .map(|(_, value)| value.replace("%2F", "/"))
            };
            let prefix = get("prefix").unwrap_or_default();
            let (status, body) = match path {
                "/kv-range" => (200, self.range(&prefix, get("startAfter"))),
                "/kv-watch" => {
                    let number =
                        |name| get(name).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
                    let wait = Duration::from_millis(number("waitMs").min(30_000));
                    (200, self.watch(&prefix, number("startAfter"), wait))
                }
                _ => (404, "{}".to_owned()),
            };
            let length = body.len();
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
            );
            if conn.send(&answer).is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: Option<String>) -> String {
        let state = self.state.0.lock().unwrap();
        let items = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let items = items.filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after));
        let items: Vec<String> = items
            .map(|(key, (value, at))| item(key, Some(value), *at))
            .collect();
        format!(
            "{{\"items\":[{}],\"morePages\":false,\"asOf\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let new = state
                .history
                .iter()
                .filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let new: Vec<String> = new
                .map(|(at, key, value)| item(key, value.as_ref(), *at))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"asOf\":{}}}",
                    new.join(","),
                    state.revision
                );
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item(key: &str, value: Option<&String>, at: u64) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{at},\"createRev\":{at},\"lease\":0}}",
            base64(value.as_bytes())
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{at},\"deleted\":true}}"),
    }
}
