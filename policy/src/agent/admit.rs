//! Offers: which attempts start, wait for the next slot or are refused.

use std::time::Duration;

use entity::{AttemptId, Cost, HandOver, Now, Reason, Refusal, RetryAdvice, RouteId, TeamId};

use super::{Agent, AgentAction, Running, weight};
use crate::bid::BidKey;
use crate::fair::{Charge, Party, Share};
use crate::message::Offer;

/// How long a refused router should wait when nothing better is known.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A pulled request that arrived before its slot was free.
#[derive(Clone, Copy, Debug)]
pub(super) struct Held {
    attempt: AttemptId,
    party: Party,
    route: Option<RouteId>,
    expected: Cost,
}

impl<S: Share> Agent<S> {
    pub(super) fn offered(&mut self, now: Now, offer: &Offer, actions: &mut Vec<AgentAction>) {
        let attempt = offer.attempt;
        let Some(config) = self.config.clone() else {
            return reject(attempt, Reason::NotConfigured, actions);
        };
        let Some(team) = config.names.teams.by_tag(offer.team) else {
            return reject(attempt, Reason::NotConfigured, actions);
        };
        let route = config.names.routes.by_tag(offer.route);
        let party = Party {
            team,
            weight: weight(&config, team),
            router: offer.router,
        };
        let key = BidKey {
            team,
            class: offer.class,
        };
        let reserved = match offer.pulled {
            true => self.pulls.arrive(now.mono, offer.router, key),
            false => None,
        };
        let expected = self.costs.expect(team, route, offer.hint);
        match reserved {
            Some((pick, age)) => {
                self.pace.round_trip(age);
                let more = Charge::pending(expected - pick.charge);
                self.share.charge(now.mono, party, more);
                self.held.push_back(Held {
                    attempt,
                    party,
                    route,
                    expected,
                });
            }
            None if self.is_draining() => reject(attempt, Reason::Draining, actions),
            None if self.free() > 0 && self.may_overtake(now, party) => {
                self.share
                    .charge(now.mono, party, Charge::pending(expected));
                let held = Held {
                    attempt,
                    party,
                    route,
                    expected,
                };
                self.start(now, held, actions);
            }
            None => reject(attempt, Reason::NoSlot, actions),
        }
    }

    /// Whether an attempt that was not pulled may start before the bids that wait.
    fn may_overtake(&mut self, now: Now, party: Party) -> bool {
        if self.bids.is_backlogged(party.team) {
            return false;
        }
        self.share.backlogged(now.mono, party.team, party.weight);
        let rank = |team: TeamId| self.share.rank(now.mono, team);
        let least = self.bids.teams().map(rank).min();
        least.is_none_or(|least| rank(party.team) < least)
    }

    /// Starts what is held while slots are free; hands the rest back when the window fell.
    pub(super) fn start_held(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        let limit = self.window.limit() as usize;
        while self.running.len() < limit {
            let Some(held) = self.held.pop_front() else {
                return;
            };
            self.start(now, held, actions);
        }
        let keep = self.pace.ahead() as usize;
        while self.held.len() > keep || limit == 0 && !self.held.is_empty() {
            let held = self.held.pop_back().expect("checked by the condition");
            let less = Charge::pending(Cost::ZERO - held.expected);
            self.share.charge(now.mono, held.party, less);
            reject(held.attempt, Reason::NoSlot, actions);
        }
    }

    /// Drops a held attempt whose router has gone; returns whether it was held.
    pub(super) fn drop_held(&mut self, now: Now, attempt: AttemptId) -> bool {
        let Some(index) = self.held.iter().position(|held| held.attempt == attempt) else {
            return false;
        };
        let held = self.held.remove(index).expect("the index was found");
        let less = Charge::pending(Cost::ZERO - held.expected);
        self.share.charge(now.mono, held.party, less);
        true
    }

    fn start(&mut self, now: Now, held: Held, actions: &mut Vec<AgentAction>) {
        let running = Running {
            party: held.party,
            route: held.route,
            started: now.mono,
            charged: held.expected,
            expected: held.expected,
            streamed: Cost::ZERO,
            cancelled: false,
        };
        self.running.insert(held.attempt, running);
        self.window.record(now.mono, self.running.len() as u32);
        actions.push(AgentAction::Start(held.attempt));
    }
}

fn reject(attempt: AttemptId, reason: Reason, actions: &mut Vec<AgentAction>) {
    let refusal = Refusal::new(reason, RetryAdvice::After(RETRY_DELAY));
    let proof = HandOver::new().give_up();
    actions.push(AgentAction::Reject {
        attempt,
        refusal,
        proof,
    });
}
