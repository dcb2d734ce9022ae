//! Calls to the store, and what their failures are taken for.

use std::time::Duration;

use awc::http::StatusCode;
use entity::{Clock, SystemClock};
use node::event::{self, Event};
use platform::store::{self, Item, Page};
use policy::direct::confirmation::Confirmation;
use policy::direct::polling;
use policy::direct::store_revision::{EraChange, StoreRevision};
use rand::RngExt as _;
use tokio::time::{sleep, timeout};

use super::{ReadLoop, StoreReader};
use crate::clock::{BootClock, SystemBootClock};

/// The time limit of a call, in addition to the requested watch wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);

/// The maximum size of a response in bytes.
pub(super) const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Why a call to the store failed.
#[derive(Clone, PartialEq, Eq, Debug, derive_more::Display)]
pub(super) enum CallError {
    /// No response in time, or a failed connection.
    #[display("unreachable")]
    Unreachable,
    /// The store responded with another status than 200.
    #[display("status {_0}")]
    Status(u16),
    /// The response cannot be decoded.
    #[display("{_0}")]
    Unreadable(String),
    /// The response is of a copy of the store that was left behind.
    #[display("era {_0}")]
    OldEra(u64),
}

/// A response of the store.
pub(super) struct Answer {
    pub(super) body: Vec<u8>,
    pub(super) era: u64,
}

/// The time since a confirmation, for the log.
pub(super) fn age_text(confirmation: Confirmation) -> String {
    let age = confirmation.age(SystemBootClock.uptime());
    age.map_or_else(
        || "never".to_owned(),
        |age| format!("{}ms", age.as_millis()),
    )
}

impl StoreReader {
    /// Reads all pages of a prefix; returns the items and the revision of the first page.
    pub(super) async fn range(
        &self,
        prefix: &str,
    ) -> Result<(Vec<Item>, StoreRevision), CallError> {
        let mut items: Vec<Item> = Vec::new();
        let mut first = None;
        loop {
            let after = items.last().map(|item| &item.key);
            let answer = self
                .get(&store::range_path(prefix, after), Duration::ZERO)
                .await?;
            let page = store::parse_page(&answer.body);
            let Page {
                items: more_items,
                more,
                as_of,
            } = page.map_err(|error| CallError::Unreadable(error.to_string()))?;
            let as_of = StoreRevision::new(answer.era, as_of);
            let as_of = *first.get_or_insert(as_of);
            if as_of.era() != answer.era {
                // Pages of two copies do not fit together.
                return Err(CallError::OldEra(as_of.era()));
            }
            let is_last = !more || more_items.is_empty();
            items.extend(more_items);
            if is_last {
                return Ok((items, as_of));
            }
        }
    }

    pub(super) async fn get(&self, path: &str, wait: Duration) -> Result<Answer, CallError> {
        let call = async {
            let url = format!("{}{path}", self.base);
            let sent = self.client.get(url).send().await;
            let mut response = sent.map_err(|_| CallError::Unreachable)?;
            if response.status() != StatusCode::OK {
                return Err(CallError::Status(response.status().as_u16()));
            }
            let era = store::parse_era(response.headers());
            let body = response.body().limit(MAX_RESPONSE_BYTES).await;
            let body = body.map_err(|_| CallError::Unreachable)?.to_vec();
            Ok(Answer { body, era })
        };
        let response = timeout(wait + RESPONSE_TIMEOUT, call).await;
        let answer = response.unwrap_or(Err(CallError::Unreachable))?;
        match self.observe_era(answer.era) {
            EraChange::Old => Err(CallError::OldEra(answer.era)),
            EraChange::Same | EraChange::Risen => Ok(answer),
        }
    }

    /// Records the era of an answer of the store or of a peer's listing.
    pub(super) fn observe_era(&self, era: u64) -> EraChange {
        let now = SystemClock.now().mono;
        let mut state = self.state.borrow_mut();
        let change = state.era.observe(era, now);
        if change == EraChange::Risen {
            state.registry.expect_missing_entries();
            // The operators' entries are read again, now and once they are complete.
            self.read_due.notify_one();
            event::log(Event::StoreEraRisen, &[("era", &era)]);
        }
        change
    }

    pub(super) fn record_success(&self, read_loop: ReadLoop) {
        let mut state = self.state.borrow_mut();
        state.failures[read_loop as usize] = 0;
        if !std::mem::replace(&mut state.reachable[read_loop as usize], true) {
            event::log(Event::ServiceReachable, &[("part", &read_loop.name())]);
        }
    }

    pub(super) fn record_failure(&self, read_loop: ReadLoop, error: &CallError) {
        let mut state = self.state.borrow_mut();
        state.failures[read_loop as usize] += 1;
        if std::mem::replace(&mut state.reachable[read_loop as usize], false) {
            let age = age_text(state.confirmation);
            let fields: [event::Field<'_>; 3] = [
                ("part", &read_loop.name()),
                ("why", error),
                ("confirmed", &age),
            ];
            event::log(Event::ServiceUnreachable, &fields);
        }
    }

    /// Waits until a failed call may be made again.
    pub(super) async fn wait_to_retry(&self, read_loop: ReadLoop) {
        let delay = {
            let state = self.state.borrow();
            let rank = polling::rank(self.address, state.reachable_peers.iter().copied());
            let routers = state.reachable_peers.len() + 1;
            let random = self.rng.borrow_mut().random_range(0.0..1.0);
            polling::retry_delay(rank, routers, state.failures[read_loop as usize], random)
        };
        match read_loop {
            // Peers that know better end the pause.
            ReadLoop::Operators => {
                let _elapsed = timeout(delay, self.read_due.notified()).await;
            }
            ReadLoop::Targets => sleep(delay).await,
        }
    }
}
