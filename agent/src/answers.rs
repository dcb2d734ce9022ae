//! Store for the outcomes of requests that run at most once.
//!
//! Invariants:
//! - Only the control thread adds and removes entries, in the order of its
//!   decisions, so an offer that is told to wait for an attempt finds its entry.
//! - An entry is set once. Offers that wait for a running attempt and later
//!   repeats of the request get the same bytes.

use std::sync::Arc;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use entity::{AttemptId, Refusal};
use rustc_hash::FxHashMap;
use tokio::sync::watch;

/// The outcome of an attempt.
#[derive(Clone, Debug)]
pub enum StoredOutcome {
    /// The target returned a complete answer.
    Answer(Arc<StoredAnswer>),
    /// The target may have run the request, but the answer is not available.
    Unknown(Refusal),
    /// No part of the request was sent to the target.
    NotRun(Refusal),
}

/// A complete answer of the target.
#[derive(Clone, Debug)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The forwardable headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl StoredAnswer {
    /// Returns the size of the answer in bytes, including its headers.
    pub fn size(&self) -> u64 {
        let headers = self.headers.iter();
        let headers = headers.map(|(name, value)| name.as_str().len() + value.len());
        (self.body.len() + headers.sum::<usize>()) as u64
    }
}

/// The store's entry for one attempt; holds the outcome once it is known.
#[derive(Clone, Debug)]
pub struct Entry(Arc<watch::Sender<Option<StoredOutcome>>>);

impl Entry {
    /// Sets the outcome, unless it is set already, and wakes the offers that wait for it.
    pub fn set(&self, outcome: StoredOutcome) {
        self.0.send_if_modified(|value| {
            let is_unset = value.is_none();
            if is_unset {
                *value = Some(outcome);
            }
            is_unset
        });
    }

    /// Returns a receiver for the outcome.
    pub fn subscribe(&self) -> OutcomeReceiver {
        OutcomeReceiver(self.0.subscribe())
    }
}

/// Waits for the outcome of an attempt.
#[derive(Debug)]
pub struct OutcomeReceiver(watch::Receiver<Option<StoredOutcome>>);

impl OutcomeReceiver {
    /// Returns the outcome, or `None` if the entry was removed before the outcome was set.
    pub async fn wait(mut self) -> Option<StoredOutcome> {
        let outcome = self.0.wait_for(Option::is_some).await.ok()?;
        outcome.clone()
    }
}

/// The entries by attempt, owned by the control thread.
#[derive(Default, Debug)]
pub struct AnswerStore(FxHashMap<AttemptId, Entry>);

impl AnswerStore {
    /// Returns the entry of an attempt and creates it if there is none.
    pub fn entry(&mut self, attempt: AttemptId) -> Entry {
        let new_entry = || Entry(Arc::new(watch::channel(None).0));
        self.0.entry(attempt).or_insert_with(new_entry).clone()
    }

    /// Sets the outcome of an attempt whose answer is not stored, and removes its entry.
    pub fn complete(&mut self, attempt: AttemptId, outcome: StoredOutcome) {
        if let Some(entry) = self.0.remove(&attempt) {
            entry.set(outcome);
        }
    }

    /// Removes the entry of an attempt.
    pub fn evict(&mut self, attempt: AttemptId) {
        self.0.remove(&attempt);
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
