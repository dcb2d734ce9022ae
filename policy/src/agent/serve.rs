//! Streamed tokens, ends of attempts, and updates from routers and other agents.

use entity::{AttemptId, Cost, Now, ProcessId, Step};

use super::{Agent, AgentAction, AttemptEnd, ConfigTeams, Running, weight};
use crate::fair::{Charge, SharingPolicy};
use crate::message::{BidUpdate, LedgerDelta};
use crate::window::ColdSign;

impl<S: SharingPolicy> Agent<S> {
    pub(super) fn streamed(&mut self, now: Now, attempt: AttemptId, cost: Cost) {
        let Some(running) = self.running.get_mut(&attempt) else {
            return;
        };
        if running.streamed == Cost::ZERO {
            let latency = now.mono.saturating_duration_since(running.started);
            self.window.first_token(now.mono, latency);
        }
        let before = running.charged - running.streamed;
        running.streamed += cost;
        let estimate = running.streamed + remaining_cost(running.expected, running.streamed);
        running.charged = running.charged.max(estimate);
        let after = running.charged - running.streamed;
        let charge = Charge {
            served: cost,
            pending: after - before,
        };
        self.share.charge(now.mono, running.consumer, charge);
    }

    pub(super) fn ended(
        &mut self,
        now: Now,
        attempt: AttemptId,
        end: AttemptEnd,
        actions: &mut Vec<AgentAction>,
    ) {
        let running_before = self.running.len() as u32;
        let Some(running) = self.running.remove(&attempt) else {
            return;
        };
        self.window.record(now.mono, running_before - 1);
        self.record_end(now, attempt, &running, end, actions);
        let cost = match end {
            AttemptEnd::Answered { cost } => cost,
            AttemptEnd::Refused | AttemptEnd::Unsent | AttemptEnd::Withheld => Cost::ZERO,
            AttemptEnd::Broken | AttemptEnd::Cancelled => running.streamed,
        };
        let charge = Charge {
            served: (cost - running.streamed).max(Cost::ZERO),
            pending: running.streamed - running.charged,
        };
        self.share.charge(now.mono, running.consumer, charge);
        match end {
            AttemptEnd::Answered { .. } => {
                self.window.completed(now.mono, running_before);
                self.pacing.record_completion(now.mono);
                if let Some(route) = running.route {
                    self.costs.record(running.consumer.team, route, cost);
                }
            }
            AttemptEnd::Refused | AttemptEnd::Unsent | AttemptEnd::Broken => {
                self.window.shrink(now.mono, ColdSign::Refused);
            }
            AttemptEnd::Cancelled | AttemptEnd::Withheld => {}
        }
    }

    /// Records the end of a run in the key and crash state.
    fn record_end(
        &mut self,
        now: Now,
        attempt: AttemptId,
        running: &Running,
        end: AttemptEnd,
        actions: &mut Vec<AgentAction>,
    ) {
        if self.crashes.running_suspect == Some(attempt) {
            self.crashes.running_suspect = None;
        }
        let fingerprint = running.fingerprint;
        match end {
            AttemptEnd::Answered { .. } => self.completed(now, fingerprint, actions),
            AttemptEnd::Broken => self.crashes.record_broken_run(now, fingerprint),
            _ => {}
        }
        match end {
            _ if !running.once => {}
            AttemptEnd::Answered { .. } => self.answer_stored(attempt, 0, actions),
            AttemptEnd::Refused | AttemptEnd::Unsent | AttemptEnd::Withheld => {
                self.record_not_run(attempt, actions);
            }
            AttemptEnd::Broken | AttemptEnd::Cancelled => {
                self.record_may_have_run(attempt, actions);
            }
        }
        self.record_decision(now, attempt.request, Step::End, describe(end), actions);
    }

    pub(super) fn router_disconnected(
        &mut self,
        now: Now,
        attempt: AttemptId,
        actions: &mut Vec<AgentAction>,
    ) {
        if self.drop_held(now, attempt) {
            return;
        }
        match self.running.get_mut(&attempt) {
            Some(running) if !running.cancelled && !running.once => {
                running.cancelled = true;
                actions.push(AgentAction::Cancel(attempt));
            }
            _ => {}
        }
    }

    pub(super) fn bids_changed(&mut self, now: Now, update: &BidUpdate) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let new = self
            .bids
            .update(now.mono, update, |tag| config.names.teams.by_tag(tag));
        for team in new {
            self.share.backlogged(now.mono, team, weight(&config, team));
        }
        if !update.bids.is_empty() {
            self.solicit_backoff.reset();
        }
    }

    pub(super) fn merge(&mut self, now: Now, delta: &LedgerDelta) {
        if let Some(config) = self.config.clone() {
            self.share.merge(now.mono, delta, &ConfigTeams(&config));
        }
    }

    /// Drops the bids of an unresponsive router; its next update restores them.
    pub(super) fn forget_router(&mut self, router: ProcessId) {
        self.bids.drop_router(router);
    }
}

/// The expected cost of an attempt beyond what it has streamed; at least half of the cost
/// expected at its start.
fn remaining_cost(expected: Cost, streamed: Cost) -> Cost {
    let remaining = expected - streamed;
    remaining.max(Cost(expected.0 / 2))
}

fn describe(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Answered { .. } => "answered whole",
        AttemptEnd::Refused => "refused by the target",
        AttemptEnd::Unsent => "the target could not be reached",
        AttemptEnd::Withheld => "not sent to the target",
        AttemptEnd::Broken => "the target broke off",
        AttemptEnd::Cancelled => "cancelled",
    }
}
