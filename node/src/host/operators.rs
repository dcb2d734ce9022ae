//! Replies to operators' queries, and log events for fleet alarms.

use entity::{Clock, Decision, Now};
use policy::fleet::Alarm;

use super::{Host, Readiness, Role};
use crate::event::{self, Event};
use crate::ops::{Explanation, Query, Source};

impl<R: Role> Host<R> {
    /// Whether the process accepts requests; the error gives the reason if it does not.
    fn readiness(&self) -> Result<(), String> {
        let fleet = self.fleet.borrow();
        let waiting = fleet.not_ready(self.clock.now());
        match self.role.borrow().readiness() {
            Readiness::Stopped => Err("stopped".to_owned()),
            Readiness::NotReady(reason) => Err(reason.to_owned()),
            Readiness::Ready if fleet.is_ready() => Ok(()),
            Readiness::Ready => {
                Err(waiting.map_or_else(|| "starting".to_owned(), |reason| reason.to_string()))
            }
        }
    }

    pub(super) fn handle_query(&self, query: Query) {
        let now = self.clock.now();
        let role = self.role.borrow();
        // A failed send means that the requester has given up.
        match query {
            Query::Ready(reply) => {
                drop(role);
                let _ = reply.send(self.readiness());
            }
            Query::Dump(reply) => {
                let _ = reply.send(self.dump(&role, now));
            }
            Query::Why(request, reply) => {
                let decisions = role.why(request);
                let _ = reply.send(decisions.map(|decisions| self.explain(decisions)));
            }
        }
    }

    fn dump(&self, role: &R, now: Now) -> serde_json::Value {
        let fleet = self.fleet.borrow();
        let endpoint = fleet.endpoint();
        let version = fleet.version();
        let counters = *self.counters.borrow();
        serde_json::json!({
            "process": self.name,
            "incarnation": endpoint.incarnation.0,
            "control": endpoint.control.to_string(),
            "revision": version.revision.0,
            "hash": version.hash.to_string(),
            "links": {
                "open": self.links.len(),
                "bytes_sent": counters.sent,
                "bytes_received": counters.received,
                "exchanges": counters.exchanges,
                "rejected": self.rejected.get(),
            },
            "fleet": fleet.dump(now),
            "role": role.dump(now),
        })
    }

    fn explain(&self, decisions: Vec<Decision>) -> Explanation {
        let history = self.history.borrow();
        let mut rules: Vec<_> = decisions
            .iter()
            .flat_map(|decision| &decision.rules)
            .collect();
        rules.sort_unstable();
        rules.dedup();
        let sources = rules.into_iter().filter_map(|&rule| {
            let source = history.source(rule)?;
            Some(Source {
                rule: rule.to_string(),
                text: source.text.to_string(),
                asker: source.asker.to_string(),
            })
        });
        let sources = sources.collect();
        Explanation {
            process: self.name.clone(),
            decisions,
            sources,
        }
    }
}

/// Logs an alarm of the fleet state machine.
pub(super) fn log_alarm(alarm: &Alarm) {
    let event = match alarm {
        Alarm::Invalid { .. } => Event::ConfigRefused,
        Alarm::Conflict { .. } => Event::ConfigConflict,
        Alarm::StaleService { .. } => Event::ConfigStale,
        Alarm::Garbage { .. } => Event::ServiceGarbage,
        Alarm::Missing { .. } => Event::PartUnavailable,
        Alarm::Corrupt { .. } => Event::MessageRefused,
        Alarm::Suspected => Event::SelfSuspected,
        Alarm::Superseded { .. } => Event::SelfSuperseded,
        Alarm::Paused { .. } => Event::SelfPaused,
    };
    event::log(event, &[("detail", alarm)]);
}
