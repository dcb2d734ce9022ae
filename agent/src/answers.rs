//! The kept answers of requests that run at most once.
//!
//! Invariants:
//! - Only the control thread opens and drops entries, in the order of its
//!   decisions, so an entry is there for every offer that is told to follow it.
//! - An entry is set once; followers of a running attempt and later repeats
//!   read the same bytes.

use std::sync::Arc;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use entity::{AttemptId, Refusal};
use rustc_hash::FxHashMap;
use tokio::sync::watch;

/// What an attempt left behind.
#[derive(Clone, Debug)]
pub enum Kept {
    /// The target's whole answer.
    Answer(Arc<KeptAnswer>),
    /// The target may have run the request, but its answer is not known.
    Lost(Refusal),
    /// Nothing was handed to the target.
    NotRun(Refusal),
}

/// A whole answer of the target.
#[derive(Clone, Debug)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers that may be forwarded.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl KeptAnswer {
    /// The size of the answer in bytes, with its headers.
    pub fn size(&self) -> u64 {
        let headers = self.headers.iter();
        let headers = headers.map(|(name, value)| name.as_str().len() + value.len());
        (self.body.len() + headers.sum::<usize>()) as u64
    }
}

/// The right to say what an attempt left behind.
#[derive(Clone, Debug)]
pub struct Entry(Arc<watch::Sender<Option<Kept>>>);

impl Entry {
    /// Says what the attempt left behind; offers that follow it end at this moment.
    pub fn settle(&self, kept: Kept) {
        self.0.send_if_modified(|value| {
            let is_open = value.is_none();
            if is_open {
                *value = Some(kept);
            }
            is_open
        });
    }

    /// Waits as an offer that follows the attempt.
    pub fn follow(&self) -> Follower {
        Follower(self.0.subscribe())
    }
}

/// Waits for what an attempt leaves behind.
#[derive(Debug)]
pub struct Follower(watch::Receiver<Option<Kept>>);

impl Follower {
    /// What the attempt left behind; `None` if its entry was dropped before that was said.
    pub async fn wait(mut self) -> Option<Kept> {
        let kept = self.0.wait_for(Option::is_some).await.ok()?;
        kept.clone()
    }
}

/// The entries, held by the control thread.
#[derive(Default, Debug)]
pub struct Answers(FxHashMap<AttemptId, Entry>);

impl Answers {
    /// The entry of an attempt, opened if there is none.
    pub fn entry(&mut self, attempt: AttemptId) -> Entry {
        let open = || Entry(Arc::new(watch::channel(None).0));
        self.0.entry(attempt).or_insert_with(open).clone()
    }

    /// Says what an attempt without a kept answer left behind, and drops its entry.
    pub fn close(&mut self, attempt: AttemptId, kept: Kept) {
        if let Some(entry) = self.0.remove(&attempt) {
            entry.settle(kept);
        }
    }

    /// Drops the entry of an attempt.
    pub fn evict(&mut self, attempt: AttemptId) {
        self.0.remove(&attempt);
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
