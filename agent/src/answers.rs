//! The kept answers of requests that run at most once.
//!
//! Invariant: an entry is set once; followers of a running attempt and later
//! repeats read the same bytes.

use std::sync::{Arc, Mutex};

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

type Slot = watch::Receiver<Option<Kept>>;

/// The store, shared by the traffic threads.
#[derive(Clone, Default, Debug)]
pub struct Answers(Arc<Mutex<FxHashMap<AttemptId, Slot>>>);

impl Answers {
    /// Opens an entry for an attempt that is about to run.
    pub fn open(&self, attempt: AttemptId) -> watch::Sender<Option<Kept>> {
        let (sender, slot) = watch::channel(None);
        self.lock().insert(attempt, slot);
        sender
    }

    /// Waits for what `attempt` leaves behind; `None` if its entry is gone.
    pub async fn wait(&self, attempt: AttemptId) -> Option<Kept> {
        let mut slot = self.lock().get(&attempt)?.clone();
        let kept = slot.wait_for(Option::is_some).await.ok()?;
        kept.clone()
    }

    /// Drops the answer of `attempt`.
    pub fn evict(&self, attempt: AttemptId) {
        self.lock().remove(&attempt);
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, FxHashMap<AttemptId, Slot>> {
        self.0.lock().expect("no holder of the lock panics")
    }
}
