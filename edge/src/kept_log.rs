//! The log of prompt parts that targets had evicted although they were expected to keep
//! them, at most one line per interval.

use std::time::{Duration, Instant};

use node::event::{self, Event, Field};
use policy::direct::target_table::TargetTable;

use crate::metrics::TrafficMetrics;

/// The time between two lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What was logged last.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KeptLog {
    logged_count: u64,
    logged_at: Option<Instant>,
}

impl KeptLog {
    /// Logs and counts what was found evicted since the last line.
    pub(crate) fn log_if_due(
        &mut self,
        table: &TargetTable,
        metrics: &TrafficMetrics,
        now: Instant,
    ) {
        let is_recent = |at| now.saturating_duration_since(at) < LOG_INTERVAL;
        let count = table.evicted_count() - self.logged_count;
        if count == 0 || self.logged_at.is_some_and(is_recent) {
            return;
        }
        self.logged_count += count;
        self.logged_at = Some(now);
        metrics.record_evicted_parts(count);
        let (targets, parts) = table.kept().counts();
        let fields: [Field<'_>; 3] = [("count", &count), ("targets", &targets), ("parts", &parts)];
        event::log(Event::PartsEvicted, &fields);
    }
}
