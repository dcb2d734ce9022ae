//! The log of the capacity that teams beyond their share may use, a line for each change.

use std::time::{Duration, Instant};

use node::event::{self, Event, Field};

/// The minimum time between two lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The requests sent beyond shares since the last line.
#[derive(Debug, Default)]
pub(crate) struct SpareLog {
    excess: u32,
    is_open: bool,
    logged_at: Option<Instant>,
}

impl SpareLog {
    /// Records a request sent for a team beyond its share.
    pub(crate) fn record_excess(&mut self) {
        self.excess += 1;
    }

    /// Logs whether capacity may be used, if that changed, given the part that may be used.
    pub(crate) fn log_if_changed(&mut self, fraction: f64, now: Instant) {
        let is_open = fraction > 0.0;
        let is_recent = |at| now.saturating_duration_since(at) < LOG_INTERVAL;
        if is_open == self.is_open || self.logged_at.is_some_and(is_recent) {
            return;
        }
        self.is_open = is_open;
        self.logged_at = Some(now);
        let excess = std::mem::take(&mut self.excess);
        let fields: [Field<'_>; 2] = [("open", &is_open), ("excess", &excess)];
        event::log(Event::SpareCapacity, &fields);
    }
}
