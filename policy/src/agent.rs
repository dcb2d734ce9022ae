//! The decision logic of an agent.
//!
//! [`Agent`] combines the state machines of an agent. The driver passes in
//! [`AgentEvent`]s and executes the [`AgentAction`]s.
//!
//! Invariants:
//! - The agent is the only authority over its target's slots: an attempt runs
//!   only after [`AgentAction::Start`].
//! - An offered attempt gets exactly one of `Start`, `Reject`, `Unknown`,
//!   `Replay` or `Follow`.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use entity::{
    AttemptId, Cost, Decision, Fingerprint, Now, RequestId, RouteId, StateMachine, Step, Tag,
    TargetId, TeamId, Weight,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rules::Config;
use rustc_hash::FxHashMap;

use crate::bid::BidTable;
use crate::cost::CostTable;
use crate::fair::{Consumer, SharingPolicy, TeamDirectory};
use crate::ledger::{Extrapolation, Ledger, LedgerSettings};
use crate::message::{Endpoint, Load};
use crate::pull::PullTable;
use crate::window::AdmissionWindow;

mod admit;
mod crashes;
mod dump;
mod event;
mod fill;
mod keys;
mod serve;

use admit::HeldAttempt;
use crashes::CrashState;
pub use dump::Slots;
pub use event::{AgentAction, AgentEvent, AttemptEnd};
use fill::{Backoff, PullPacing};
use keys::KeyState;

/// The settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// The agent's identity and control address.
    pub endpoint: Endpoint,
    /// The seed of the agent's random choices.
    pub seed: u64,
    /// The interval between deltas of its ledger row.
    pub gossip: Duration,
}

impl AgentSettings {
    /// The default interval between deltas of the ledger row.
    pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
}

/// An attempt that is running on the target.
#[derive(Debug)]
struct Running {
    consumer: Consumer,
    route: Option<RouteId>,
    started: Instant,
    charged: Cost,
    expected: Cost,
    streamed: Cost,
    cancelled: bool,
    fingerprint: Fingerprint,
    once: bool,
}

/// The decision state machine of one agent.
#[derive(Debug)]
pub struct Agent<S = Ledger> {
    settings: AgentSettings,
    config: Option<Arc<Config>>,
    target: Option<TargetId>,
    rng: ChaCha8Rng,
    running: FxHashMap<AttemptId, Running>,
    held: VecDeque<HeldAttempt>,
    bids: BidTable,
    pulls: PullTable,
    pacing: PullPacing,
    window: AdmissionWindow,
    costs: CostTable,
    share: S,
    solicit_backoff: Backoff,
    keys: KeyState,
    crashes: CrashState,
    stopping: bool,
    leaving: bool,
    superseded: bool,
    stopped: bool,
}

impl Agent {
    /// Creates an agent that has no configuration yet.
    pub fn new(settings: AgentSettings) -> Self {
        let ledger = Ledger::new(LedgerSettings {
            agent: settings.endpoint.id,
            incarnation: settings.endpoint.incarnation,
            gossip: Some(settings.gossip),
            extrapolation: Extrapolation::default(),
        });
        Self::with_share(settings, ledger)
    }
}

impl<S: SharingPolicy> Agent<S> {
    /// Creates an agent that allocates its slots by `share`.
    pub fn with_share(settings: AgentSettings, share: S) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            config: None,
            target: None,
            running: FxHashMap::default(),
            held: VecDeque::new(),
            bids: BidTable::default(),
            pulls: PullTable::default(),
            pacing: PullPacing::default(),
            window: AdmissionWindow::new(rules::Window { cold: 0, max: 0 }),
            costs: CostTable::default(),
            share,
            solicit_backoff: Backoff::default(),
            keys: KeyState::default(),
            crashes: CrashState::default(),
            stopping: false,
            leaving: false,
            superseded: false,
            stopped: false,
        }
    }

    /// The load that is attached to responses.
    pub fn load(&self) -> Load {
        let draining = self.is_draining();
        let congested = !self.bids.is_empty();
        let free = match draining || congested {
            true => 0,
            false => self.free(),
        };
        Load {
            free: saturating_u16(free),
            window: saturating_u16(self.window.limit()),
            running: saturating_u16(self.used()),
            congested,
            draining,
        }
    }

    /// The policy by which the agent allocates its slots.
    pub fn share(&self) -> &S {
        &self.share
    }

    /// The slots that run an attempt or are reserved for one.
    pub fn used(&self) -> u32 {
        let reserved = u32::from(self.pulls.reserved());
        let suspects = u32::from(self.crashes.suspect.is_some());
        self.running.len() as u32 + self.held.len() as u32 + suspects + reserved
    }

    fn free(&self) -> u32 {
        match self.crashes.is_reserved() {
            true => 0,
            false => self.window.limit().saturating_sub(self.used()),
        }
    }

    fn is_draining(&self) -> bool {
        let config = self.config.as_deref();
        let drained = config
            .zip(self.target)
            .and_then(|(config, target)| config.drain_rule(target));
        self.stopping || self.superseded || self.leaving || drained.is_some()
    }

    fn configured(&mut self, now: Now, config: Arc<Config>, actions: &mut Vec<AgentAction>) {
        let tag = self.settings.endpoint.id.0;
        self.target = config.names.targets.by_tag(tag);
        let target = self
            .target
            .and_then(|target| config.targets[target].as_ref());
        let pool = target.and_then(|target| config.pools[target.pool].as_ref());
        let bounds = pool.map_or(rules::Window { cold: 0, max: 0 }, |pool| pool.window);
        match self.config {
            None => self.window = AdmissionWindow::new(bounds),
            Some(_) => self.window.set_bounds(bounds),
        }
        self.update_roster(now, &config, actions);
        self.config = Some(config);
    }

    /// Records a decision, attributed to the rule of the agent's target.
    fn record_decision(
        &self,
        now: Now,
        request: RequestId,
        step: Step,
        detail: &str,
        actions: &mut Vec<AgentAction>,
    ) {
        let config = self.config.as_deref();
        let own = config.zip(self.target);
        let rule = own.and_then(|(config, own)| Some(config.targets[own].as_ref()?.rule));
        actions.push(AgentAction::Decided(Decision {
            request,
            at: now.wall,
            step,
            rules: rule.into_iter().collect(),
            detail: detail.to_owned(),
        }));
    }

    fn tick(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        let lost = self.pulls.expire(now.mono);
        for &(router, reservation) in &lost {
            if reservation.count > 0 {
                self.forget_router(router);
            }
        }
        self.release_slots(now, lost);
        self.bids.expire(now.mono);
        self.expire_keys(now, actions);
        let Self { share, bids, .. } = self;
        share.prune(now.mono, |team| bids.is_backlogged(team));
        self.gossip(now, actions);
    }

    fn gossip(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let own = self.target;
        let pool = own
            .and_then(|own| config.targets[own].as_ref())
            .map(|rule| rule.pool);
        let Some(pool) = pool.and_then(|pool| config.pools[pool].as_ref()) else {
            return;
        };
        let Some(delta) = self.share.delta(now.mono, &ConfigTeams(&config)) else {
            return;
        };
        let others = pool.targets.iter().filter(|&&target| Some(target) != own);
        actions.extend(others.map(|&target| AgentAction::Ledger {
            target,
            delta: delta.clone(),
        }));
    }

    fn report_stopped(&mut self, actions: &mut Vec<AgentAction>) {
        let has_waiting = self.crashes.suspect.is_some() || !self.held.is_empty();
        let is_idle = self.running.is_empty() && !has_waiting;
        if self.stopping && !self.stopped && is_idle && self.pulls.reserved() == 0 {
            self.stopped = true;
            actions.push(AgentAction::Stopped);
        }
    }
}

impl<S: SharingPolicy> StateMachine for Agent<S> {
    type Event = AgentEvent;
    type Action = AgentAction;

    fn handle(&mut self, now: Now, event: AgentEvent, actions: &mut Vec<AgentAction>) {
        self.keys.create_store(now, self.settings.endpoint);
        match event {
            AgentEvent::Configured(config) => self.configured(now, config, actions),
            AgentEvent::Offered(offer) => self.offered(now, &offer, actions),
            AgentEvent::Streamed { attempt, cost } => self.streamed(now, attempt, cost),
            AgentEvent::AnswerStored { attempt, bytes } => {
                self.answer_stored(attempt, bytes, actions);
            }
            AgentEvent::Ended { attempt, end } => self.ended(now, attempt, end, actions),
            AgentEvent::Confirmed { revision, at } => self.confirmed(revision, at),
            AgentEvent::FactReceived(fact) => self.fact_received(now, &fact),
            AgentEvent::IncarnationRaised(incarnation) => self.incarnation_raised(incarnation),
            AgentEvent::RouterDisconnected(attempt) => {
                self.router_disconnected(now, attempt, actions);
            }
            AgentEvent::Bids(update) => self.bids_changed(now, &update),
            AgentEvent::Pulled(pulled) => self.pulled(now, &pulled),
            AgentEvent::PullLost { router, sequence } => self.pull_lost(now, router, sequence),
            AgentEvent::Ledger(delta) => self.merge(now, &delta),
            AgentEvent::Report(report) => {
                self.window.reported(now.mono, report);
            }
            AgentEvent::TargetUp => self.target_up(now),
            AgentEvent::TargetDown => self.target_down(now, actions),
            AgentEvent::Tick => self.tick(now, actions),
            AgentEvent::Stop => self.stopping = true,
            AgentEvent::Superseded => self.superseded(now, actions),
            AgentEvent::Leaving(leaving) => self.leaving = leaving,
        }
        self.start_held(now, actions);
        self.fill(now, actions);
        self.report_stopped(actions);
    }
}

/// Team tags and weights from the active configuration.
struct ConfigTeams<'a>(&'a Config);

impl TeamDirectory for ConfigTeams<'_> {
    fn by_tag(&self, tag: Tag) -> Option<TeamId> {
        self.0.names.teams.by_tag(tag)
    }

    fn tag(&self, team: TeamId) -> Tag {
        self.0.names.teams.tag(team)
    }

    fn weight(&self, team: TeamId) -> Weight {
        weight(self.0, team)
    }
}

fn weight(config: &Config, team: TeamId) -> Weight {
    config.teams[team]
        .as_ref()
        .map_or(Weight::ONE, |team| team.weight)
}

fn saturating_u16(slots: u32) -> u16 {
    slots.min(u32::from(u16::MAX)) as u16
}
