//! The log of the bound on the rates of teams, one line per interval in which a team
//! is left behind.

use std::time::{Duration, Instant};

use entity::Name;
use node::event::{self, Event, Field};
use policy::direct::config::Config;
use policy::direct::service_bound::Bound;

/// The time between two lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The requests held since the last line.
#[derive(Debug, Default)]
pub(crate) struct BoundLog {
    held: u32,
    held_tokens: f64,
    logged_at: Option<Instant>,
    /// The team of the last line; a search by its tag takes long with many teams.
    team: Option<(u64, Name)>,
}

impl BoundLog {
    /// Records a held request of `tokens`.
    pub(crate) fn record_held(&mut self, tokens: f64) {
        self.held += 1;
        self.held_tokens += tokens;
    }

    /// Logs the bound that is in force, once an interval.
    pub(crate) fn log_if_due(&mut self, bound: Bound, config: Option<&Config>, now: Instant) {
        let is_recent = |at| now.saturating_duration_since(at) < LOG_INTERVAL;
        if self.logged_at.is_some_and(is_recent) {
            return;
        }
        self.logged_at = Some(now);
        if self.team.as_ref().is_none_or(|(tag, _)| *tag != bound.team) {
            let name = config.and_then(|config| config.team_of_tag(bound.team));
            self.team = name.map(|name| (bound.team, name.clone()));
        }
        let team = self.team.as_ref().map_or("-", |(_, name)| name.as_str());
        let whole = |rate: f64| rate as u64;
        let fields: [Field<'_>; 7] = [
            ("team", &team),
            ("requested", &whole(bound.rate.requested)),
            ("admitted", &whole(bound.rate.admitted)),
            ("limit", &whole(bound.limit)),
            ("most", &whole(bound.max_rate)),
            ("held", &self.held),
            ("tokens", &whole(self.held_tokens)),
        ];
        event::log(Event::RatesBounded, &fields);
        self.held = 0;
        self.held_tokens = 0.0;
    }
}
