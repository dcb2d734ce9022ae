//! Bids: announcing waiting requests to agents.

use std::time::Duration;

use entity::{Cost, Now, PoolId, TargetId};
use rules::Config;

use super::{Router, RouterAction};
use crate::bid::BidKey;
use crate::message::{Bid, BidUpdate, Solicit};
use crate::queue::QueueKey;

impl Router {
    /// The number of requests of `key` that `target` could run.
    pub(super) fn waiting_for(&self, pool: PoolId, target: TargetId, key: BidKey) -> u32 {
        let queues = queues_for(pool, target, key);
        queues
            .iter()
            .map(|&queue| self.queues.len(queue) as u32)
            .sum()
    }

    /// The age of the oldest request of `key` that `target` could run.
    pub(super) fn oldest_for(
        &self,
        now: Now,
        pool: PoolId,
        target: TargetId,
        key: BidKey,
    ) -> Duration {
        let queues = queues_for(pool, target, key);
        let first = queues.iter().filter_map(|&queue| self.queues.first(queue));
        let age = first.map(|first| now.mono.saturating_duration_since(first.arrived));
        age.max().unwrap_or_default()
    }

    /// Updates the bids for a queue whose length changed.
    pub(super) fn queue_changed(&mut self, config: &Config, queue: QueueKey) {
        let Some(pool) = &config.pools[queue.pool] else {
            return;
        };
        let key = BidKey {
            team: queue.team,
            class: queue.class,
        };
        for &target in &pool.targets {
            let is_eligible = queue.home.is_none_or(|home| home == target);
            if is_eligible && config.drain_rule(target).is_none() {
                let waiting = self.waiting_for(queue.pool, target, key);
                self.outbox.set_waiting(target, key, waiting);
            }
        }
    }

    /// Sends the urgent bid updates.
    pub(super) fn send_bids(&mut self, now: Now, actions: &mut Vec<RouterAction>) {
        let Some(config) = self.config.clone() else {
            return;
        };
        for target in self.outbox.take_urgent() {
            if !self.accepts_work(now, &config, target) {
                self.outbox.drop_agent(target);
                continue;
            }
            let rule = config.targets[target]
                .as_ref()
                .expect("accepts_work checked that the target is configured");
            let pool = rule.pool;
            let mut outbox = core::mem::take(&mut self.outbox);
            let bids =
                outbox.take_changes(now.mono, target, |key| self.waiting_for(pool, target, key));
            self.outbox = outbox;
            self.push_update(now, &config, target, false, &bids, actions);
        }
    }

    /// Sends full updates to the agents that are due.
    pub(super) fn refresh(&mut self, now: Now, config: &Config, actions: &mut Vec<RouterAction>) {
        for (pool, rule) in config.pools.iter() {
            let Some(rule) = rule else { continue };
            let is_idle = self.queues.in_pool(pool).next().is_none();
            for &target in &rule.targets {
                let is_due = self.outbox.is_due(now.mono, target, is_idle);
                match self.accepts_work(now, config, target) {
                    true if is_due => self.send_full_update(now, config, target, actions),
                    true => {}
                    false => self.outbox.drop_agent(target),
                }
            }
        }
    }

    pub(super) fn solicited(
        &mut self,
        now: Now,
        solicit: &Solicit,
        actions: &mut Vec<RouterAction>,
    ) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let Some(target) = config.names.targets.by_tag(solicit.agent.id.0) else {
            return;
        };
        self.incarnation_seen(target, solicit.agent.incarnation);
        self.loads.update(now.mono, target, solicit.load);
        let pool = config.targets[target].as_ref().map(|rule| rule.pool);
        let has_waiting = pool.is_some_and(|pool| self.queues.in_pool(pool).next().is_some());
        if has_waiting && self.accepts_work(now, &config, target) {
            self.send_full_update(now, &config, target, actions);
        }
    }

    fn send_full_update(
        &mut self,
        now: Now,
        config: &Config,
        target: TargetId,
        actions: &mut Vec<RouterAction>,
    ) {
        let Some(rule) = &config.targets[target] else {
            return;
        };
        let queues = self.queues.in_pool(rule.pool);
        let queues = queues.filter(|(key, _)| key.home.is_none_or(|home| home == target));
        let mut keys: Vec<_> = queues
            .map(|(key, _)| BidKey {
                team: key.team,
                class: key.class,
            })
            .collect();
        keys.sort();
        keys.dedup();
        let bids: Vec<_> = keys
            .into_iter()
            .map(|key| (key, self.waiting_for(rule.pool, target, key)))
            .collect();
        self.outbox.replace(now.mono, target, &bids);
        self.push_update(now, config, target, true, &bids, actions);
    }

    fn push_update(
        &mut self,
        now: Now,
        config: &Config,
        target: TargetId,
        full: bool,
        bids: &[(BidKey, u32)],
        actions: &mut Vec<RouterAction>,
    ) {
        let rule = config.targets[target]
            .as_ref()
            .expect("updates go only to configured targets");
        let bids = bids.iter().map(|&(key, waiting)| Bid {
            team: config.names.teams.tag(key.team),
            class: key.class,
            waiting,
            oldest: self.oldest_for(now, rule.pool, target, key),
            hint: self.hint_for(config, rule.pool, target, key),
        });
        let bids = bids.collect();
        let update = BidUpdate {
            router: self.settings.endpoint,
            sequence: self.outbox.next_sequence(),
            pool: config.names.pools.tag(rule.pool),
            full,
            bids,
        };
        actions.push(RouterAction::Bid { target, update });
    }

    fn hint_for(&self, config: &Config, pool: PoolId, target: TargetId, key: BidKey) -> Cost {
        let queues = queues_for(pool, target, key);
        let first = queues.iter().find_map(|&queue| self.queues.first(queue));
        let pending = first.and_then(|first| self.pending.get(&first.request));
        let arrival = pending.map(|pending| &pending.arrival);
        let route = arrival.and_then(|arrival| config.routes[arrival.route].as_ref());
        let hint = arrival.and_then(|arrival| arrival.hint);
        hint.or(route.map(|route| route.hint)).unwrap_or(Cost(1))
    }
}

fn queues_for(pool: PoolId, target: TargetId, key: BidKey) -> [QueueKey; 2] {
    let queue = |home| QueueKey {
        pool,
        home,
        team: key.team,
        class: key.class,
    };
    [queue(Some(target)), queue(None)]
}
