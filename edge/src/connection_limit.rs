//! The limit on callers' connections.
//!
//! Invariant: every connection that was counted is released once.

use std::cell::Cell;

use node::event::{self, Event, Field};

/// File descriptors reserved for files and for connections to the store, peers and targets.
const RESERVED_DESCRIPTORS: usize = 1_000;

/// Counts callers' connections and limits them.
pub(crate) struct ConnectionLimit {
    open: Cell<usize>,
    max_open: usize,
    /// The connections closed because of the limit since that was last logged.
    rejected: Cell<u32>,
}

impl ConnectionLimit {
    pub(crate) fn new(descriptors: usize) -> Self {
        Self {
            open: Cell::new(0),
            max_open: descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(1),
            rejected: Cell::new(0),
        }
    }

    /// The number of open connections.
    pub(crate) fn open_count(&self) -> usize {
        self.open.get()
    }

    /// Counts a new connection; returns `false` if the limit is reached.
    pub(crate) fn try_acquire(&self) -> bool {
        let has_room = self.open.get() < self.max_open;
        if has_room {
            self.open.set(self.open.get() + 1);
        }
        has_room
    }

    /// Records the end of a connection.
    pub(crate) fn release(&self) {
        self.open.set(self.open.get() - 1);
    }

    /// Counts a connection that is closed because the limit is reached.
    pub(crate) fn record_rejected(&self) {
        self.rejected.set(self.rejected.get() + 1);
    }

    /// Logs the connections closed because of the limit. One line for each of them
    /// would cost an overloaded router more than the connections.
    pub(crate) fn log_rejected(&self) {
        let count = self.rejected.take();
        if count > 0 {
            let fields: [Field<'_>; 2] = [("limit", &"connections"), ("count", &count)];
            event::log(Event::LimitReached, &fields);
        }
    }

    /// Whether more than three quarters of the connection limit are in use.
    pub(crate) fn is_nearly_full(&self) -> bool {
        self.open.get() > self.max_open / 4 * 3
    }

    /// Whether more than a third of the connection limit is in use, so that
    /// connections are closed after their response.
    ///
    /// Refused callers retry on new connections and leave the old ones idle.
    pub(crate) fn exceeds_keep_alive_share(&self) -> bool {
        self.open.get() > self.max_open / 3
    }
}
