//! Planned stops of a router or an agent.
//!
//! The composite calls [`Drain::stop`] on the first notice to stop and on each
//! later one, refuses new work unless [`Drain::serving`], tells
//! [`Drain::begin`] and [`Drain::end`] of each request that it holds, and carries
//! out the [`DrainAction`]s that come back. [`Drain::tick`] enforces the limit.
//!
//! Invariants:
//! - The stages only advance: serving, draining, stopped.
//! - `Exit` comes once, and either nothing runs then or the cut work is named.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use entity::{Now, RequestId};

/// How far a planned stop has come.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Stage {
    /// New work is taken.
    Serving,
    /// Running work is finished; new work is refused.
    Draining,
    /// The process may exit.
    Stopped,
}

/// What a planned stop asks the driver to do.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum DrainAction {
    /// Report not ready, and tell peers that no new work is taken.
    Unready,
    /// Hand back or refuse, as not run, what waits.
    HandBack,
    /// Exit; nothing is cut if `cut` is empty.
    Exit {
        /// The requests that are cut, in order.
        cut: Vec<RequestId>,
    },
}

/// The state of a planned stop.
#[derive(Clone, Debug)]
pub struct Drain {
    limit: Duration,
    stage: Stage,
    until: Option<Instant>,
    running: BTreeSet<RequestId>,
}

impl Drain {
    /// Creates a serving process that finishes running work for up to `limit` when stopped.
    pub fn new(limit: Duration) -> Self {
        Self {
            limit,
            stage: Stage::Serving,
            until: None,
            running: BTreeSet::new(),
        }
    }

    /// The stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether new work is taken.
    pub fn serving(&self) -> bool {
        self.stage == Stage::Serving
    }

    /// A request is held, waiting or running.
    pub fn begin(&mut self, request: RequestId) {
        debug_assert!(self.serving(), "new work is refused while draining");
        self.running.insert(request);
    }

    /// A request has ended: its last byte was flushed or its connection closed.
    pub fn end(&mut self, request: RequestId) -> Option<DrainAction> {
        self.running.remove(&request);
        let done = self.stage == Stage::Draining && self.running.is_empty();
        done.then(|| self.exit())
    }

    /// The process was told to stop; a second time it stops at once.
    pub fn stop(&mut self, now: Now) -> Vec<DrainAction> {
        match self.stage {
            Stage::Serving => {
                self.stage = Stage::Draining;
                self.until = Some(now.mono + self.limit);
                let mut actions = vec![DrainAction::Unready, DrainAction::HandBack];
                if self.running.is_empty() {
                    actions.push(self.exit());
                }
                actions
            }
            Stage::Draining => vec![self.exit()],
            Stage::Stopped => Vec::new(),
        }
    }

    /// Stops at once when the limit has passed.
    pub fn tick(&mut self, now: Now) -> Option<DrainAction> {
        let over = self.until.is_some_and(|until| now.mono >= until);
        (over && self.stage == Stage::Draining).then(|| self.exit())
    }

    fn exit(&mut self) -> DrainAction {
        self.stage = Stage::Stopped;
        let cut = std::mem::take(&mut self.running);
        DrainAction::Exit {
            cut: cut.into_iter().collect(),
        }
    }
}
