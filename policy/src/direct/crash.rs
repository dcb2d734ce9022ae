//! Which requests take down every target that runs them.
//!
//! A target that dies while it runs a request leaves a note about that request.
//! Notes travel between routers, since a caller sends such a request again to
//! any of them. A request with enough notes is refused for a while.
//!
//! Invariants:
//! - A completion clears the notes of a request: it does not crash its target.
//! - Merging notes is idempotent and commutative.

use std::time::{Duration, Instant};

use entity::Fingerprint;
use rustc_hash::{FxHashMap, FxHashSet};

/// The number of targets that a request may take down before it is refused.
///
/// One crash can hit a request that only ran beside the cause.
pub const CRASH_LIMIT: usize = 3;

/// How long a note counts.
pub const NOTE_LIFE: Duration = Duration::from_secs(60);

/// The greatest number of requests with notes; the oldest are forgotten.
const MAX_NOTED: usize = 1024;

/// A note that one target died while it ran a request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct Note {
    /// The request.
    pub request: Fingerprint,
    /// The tag of the target's life.
    pub target: u64,
}

#[derive(Clone, Debug)]
struct Noted {
    targets: FxHashSet<u64>,
    last: Instant,
}

/// The notes that one router knows.
#[derive(Clone, Default, Debug)]
pub struct Crashes {
    noted: FxHashMap<Fingerprint, Noted>,
}

impl Crashes {
    /// Adds a note, of this router or of a peer; returns whether it is new.
    pub fn add(&mut self, note: Note, now: Instant) -> bool {
        self.forget(now);
        let fresh = || Noted {
            targets: FxHashSet::default(),
            last: now,
        };
        let noted = self.noted.entry(note.request).or_insert_with(fresh);
        let is_new = noted.targets.insert(note.target);
        if is_new {
            noted.last = now;
        }
        is_new
    }

    /// A run of the request ended with an answer.
    pub fn completed(&mut self, request: Fingerprint) {
        self.noted.remove(&request);
    }

    /// Whether the request is refused; `Some` holds the time until it is tried again.
    pub fn refused(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        let noted = self.noted.get(&request)?;
        let left = (noted.last + NOTE_LIFE).checked_duration_since(now)?;
        (noted.targets.len() >= CRASH_LIMIT && !left.is_zero()).then_some(left)
    }

    fn forget(&mut self, now: Instant) {
        if self.noted.len() < MAX_NOTED {
            return;
        }
        let is_live = |noted: &Noted| now.saturating_duration_since(noted.last) < NOTE_LIFE;
        self.noted.retain(|_, noted| is_live(noted));
        if self.noted.len() < MAX_NOTED {
            return;
        }
        let oldest = self.noted.iter().min_by_key(|(_, noted)| noted.last);
        if let Some(request) = oldest.map(|(&request, _)| request) {
            self.noted.remove(&request);
        }
    }
}
