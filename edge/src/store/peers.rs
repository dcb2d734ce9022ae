//! The operators' entries from peers, for a router that the store does not serve.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Request, Response, StatusCode};
use entity::Name;
use eyre::WrapErr;
use node::event::{self, Event};
use policy::direct::confirmation::Uptime;
use policy::direct::operator_entries::{AskOutcome, NewsAction};
use policy::direct::store_revision::{EraChange, StoreRevision};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use wire::{EntriesQuery, OperatorEntries};

use super::call::{MAX_RESPONSE_BYTES, age_text};
use super::{ConfigSource, StoreReader};
use crate::http_listener;

/// The time limit of a question to a peer.
const ASK_TIMEOUT: Duration = Duration::from_millis(900);

impl StoreReader {
    /// Serves the operators' entries to peers for as long as the process runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub(crate) async fn serve_peers(self: Rc<Self>) -> eyre::Result<()> {
        let listener = TcpListener::bind(self.address).await;
        let listener =
            listener.wrap_err_with(|| format!("cannot serve peers at {}", self.address))?;
        http_listener::serve(listener, move |request| {
            let response = self.respond_to_peer(&request);
            async move { response }
        })
        .await
    }

    fn respond_to_peer(&self, request: &Request) -> Response<Vec<u8>> {
        let uri = request.uri();
        let query = EntriesQuery::parse(uri.path(), uri.query().unwrap_or_default());
        let (status, body) = match (query, self.newer_entries(query.unwrap_or_default())) {
            (None, _) => (StatusCode::NOT_FOUND, Vec::new()),
            (Some(_), None) => (StatusCode::NO_CONTENT, Vec::new()),
            (Some(_), Some(entries)) => (StatusCode::OK, entries.encode()),
        };
        Response::with_body(status, body)
    }

    /// Returns this router's entries if they are newer than those of the sender of a query.
    fn newer_entries(&self, query: EntriesQuery) -> Option<OperatorEntries> {
        let own = self.entries_query();
        if !query.is_older_than(own.version, own.as_of) {
            return None;
        }
        let state = self.state.borrow();
        let (config, revision) = state.config_value.clone()?;
        let mut drained: Vec<Name> = state.registry.drained.iter().cloned().collect();
        drained.sort_unstable();
        Some(OperatorEntries {
            as_of: own.as_of,
            revision,
            config: config.to_vec(),
            drained,
        })
    }

    /// What this router asks peers for: entries newer than its own.
    fn entries_query(&self) -> EntriesQuery {
        EntriesQuery {
            version: self.version(),
            as_of: self.state.borrow().entries_as_of.0,
        }
    }

    /// Records that a peer knew the operators' entries with this digest to be current at `at`.
    pub(crate) fn record_peer_confirmation(&self, peer: SocketAddr, digest: u64, at: Uptime) {
        let own = self.digest();
        if digest == own {
            self.confirm(|confirmation| confirmation.record_read(at));
        }
        let action = self.state.borrow_mut().peer_entries.hear(peer, digest, own);
        match action {
            NewsAction::None => {}
            NewsAction::ReadStore => self.read_due.notify_one(),
            NewsAction::AskPeer => self.ask_due.notify_one(),
        }
    }

    /// Asks peers for entries that this router cannot read from the store, for as long as
    /// the process runs.
    pub(crate) async fn follow_peers(self: Rc<Self>) {
        loop {
            self.ask_due.notified().await;
            while let Some(peer) = self.peer_to_ask() {
                let outcome = self.ask(peer).await;
                let delay = self
                    .state
                    .borrow_mut()
                    .peer_entries
                    .record_outcome(peer, outcome);
                if outcome == AskOutcome::Failed {
                    // The store may have recovered before the peer does.
                    self.read_due.notify_one();
                }
                sleep(delay).await;
            }
        }
    }

    fn peer_to_ask(&self) -> Option<SocketAddr> {
        let own = self.digest();
        let mut state = self.state.borrow_mut();
        let peer = state.peer_entries.peer_to_ask(own)?;
        if !state.reachable_peers.contains(&peer) {
            state.peer_entries.forget(peer);
            return None;
        }
        Some(peer)
    }

    async fn ask(&self, peer: SocketAddr) -> AskOutcome {
        let query = self.entries_query();
        let outcome = match timeout(ASK_TIMEOUT, self.fetch_entries(peer, query)).await {
            Ok(Ok(Some(entries))) => self.adopt_entries(&entries, peer),
            Ok(Ok(None)) => AskOutcome::NotNewer,
            Ok(Err(why)) => {
                log::debug!("no entries from {peer}: {why}");
                AskOutcome::Failed
            }
            Err(_) => AskOutcome::Failed,
        };
        self.metrics.record_asked(outcome);
        let age = age_text(self.confirmation());
        let fields: [event::Field<'_>; 4] = [
            ("peer", &peer),
            ("outcome", &outcome),
            ("confirmed", &age),
            ("version", &self.version()),
        ];
        event::log(Event::EntriesAsked, &fields);
        outcome
    }

    async fn fetch_entries(
        &self,
        peer: SocketAddr,
        query: EntriesQuery,
    ) -> Result<Option<OperatorEntries>, String> {
        let request = self.client.get(format!("http://{peer}{}", query.path()));
        let sent = request.force_close().send().await;
        let mut response = sent.map_err(|error| error.to_string())?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NO_CONTENT => return Ok(None),
            status => return Err(format!("status {status}")),
        }
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| error.to_string())?;
        let entries = OperatorEntries::decode(&body).ok_or("malformed entries")?;
        Ok(Some(entries))
    }

    /// Adopts what is newer of a peer's entries.
    fn adopt_entries(&self, entries: &OperatorEntries, peer: SocketAddr) -> AskOutcome {
        let as_of = StoreRevision(entries.as_of);
        let digest = self.digest();
        let is_old_era = self.observe_era(as_of.era()) == EraChange::Old;
        let value = (entries.config.as_slice(), entries.revision);
        self.adopt_config(value, ConfigSource::Peer(peer));
        if !is_old_era && as_of > self.state.borrow().entries_as_of {
            self.adopt_listed_drained(entries.drained.iter().cloned().collect());
            self.record_entries_as_of(as_of);
        }
        match self.digest() == digest {
            true => AskOutcome::NotNewer,
            false => AskOutcome::Newer,
        }
    }
}
