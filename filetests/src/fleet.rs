//! A fleet of routers and agents in simulated time.
//!
//! [`Fleet`] delivers events with a delay between the [`Router`] and [`Agent`] state
//! machines of the daemons. Events are ordered by time, then by creation, so a run is
//! determined by its seed.

mod attempt;
mod engine;
mod gap;
mod network;
mod setup;

use std::collections::{BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};

use cranelift_entity::EntityRef;
use entity::{AttemptId, Class, Cost, Fingerprint, Now, RequestId, StateMachine};
use policy::fair::SharingPolicy;
use policy::ledger::Ledger;
use policy::message::Endpoint;
use policy::{
    Agent, AgentAction, AgentEvent, AgentSettings, Arrival, AttemptEnd, AttemptResult, Router,
    RouterAction, RouterEvent, RouterSettings,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rules::Config;
use rustc_hash::FxHashMap;

use engine::Engine;
pub use gap::ServiceGaps;
pub use setup::{FleetSettings, TeamLoad};

/// The interval between tick events of a process.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The interval at which streamed tokens are reported and the gap is sampled.
const STREAM_INTERVAL: Duration = Duration::from_millis(50);

/// A scheduled event.
#[derive(Clone, Debug)]
enum Event {
    Router(usize, RouterEvent),
    Agent(usize, u64, AgentEvent),
    Tick(Process),
    Stream(usize, u64, AttemptId),
    Sample,
}

/// A process of the fleet.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Process {
    /// A router, by index.
    Router(usize),
    /// An agent, by index.
    Agent(usize),
}

#[derive(Debug)]
struct Scheduled {
    at: Duration,
    order: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<core::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> core::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// An open request.
#[derive(Clone, Copy, Debug)]
struct Request {
    team: usize,
    router: usize,
    cost: Cost,
    arrived: Duration,
}

/// Counters of a run.
#[derive(Clone, Default, PartialEq, Debug)]
pub struct Counts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that ended as not run.
    pub not_run: u64,
    /// Requests that ended as unknown.
    pub unknown: u64,
    /// Attempts that agents rejected.
    pub rejected: u64,
    /// Control messages between processes.
    pub control: u64,
    /// Pulls among the control messages.
    pub pulls: u64,
    /// Bid updates among the control messages.
    pub bids: u64,
    /// Ledger deltas among the control messages.
    pub deltas: u64,
    /// Idle slot time while work waited.
    pub idle: Duration,
    /// Total slot time while work waited.
    pub busy: Duration,
    /// The maximum number of attempts above the actual limit of a target.
    pub overload: u32,
    /// The longest wait from arrival to start.
    pub longest_wait: Duration,
}

/// A simulated fleet.
pub struct Fleet<S = Ledger> {
    settings: FleetSettings,
    config: Arc<Config>,
    base: Instant,
    at: Duration,
    order: u64,
    queue: BinaryHeap<Scheduled>,
    rng: ChaCha8Rng,
    routers: Vec<Router>,
    agents: Vec<Agent<S>>,
    epochs: Vec<u64>,
    engines: Vec<Engine>,
    partitions: Vec<u8>,
    /// For each agent, the attempts received but not answered.
    offered: Vec<BTreeSet<AttemptId>>,
    requests: FxHashMap<RequestId, Request>,
    serial: u128,
    share: fn(&FleetSettings, Endpoint) -> S,
    /// The counters of the run.
    pub counts: Counts,
    /// The service gaps between teams.
    pub gaps: ServiceGaps,
}

impl<S: SharingPolicy> Fleet<S> {
    /// Creates a fleet whose agents use the sharing policy returned by `share`.
    pub fn new(settings: FleetSettings, share: fn(&FleetSettings, Endpoint) -> S) -> Self {
        let config = Arc::new(setup::config(&settings));
        let base = Instant::now();
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            base,
            at: Duration::ZERO,
            order: 0,
            queue: BinaryHeap::new(),
            routers: Vec::new(),
            agents: Vec::new(),
            epochs: vec![1; settings.agents],
            engines: vec![Engine::new(settings.window.cold, settings.limit); settings.agents],
            partitions: vec![0; settings.routers + settings.agents],
            offered: vec![BTreeSet::new(); settings.agents],
            requests: FxHashMap::default(),
            serial: 0,
            share,
            counts: Counts::default(),
            gaps: ServiceGaps::new(&settings),
            config,
            settings,
        };
        fleet.populate();
        fleet
    }

    fn populate(&mut self) {
        for index in 0..self.settings.routers {
            let router = Router::new(RouterSettings {
                endpoint: setup::endpoint("router", index, 1),
                centre: setup::centre(index, self.settings.centres),
                seed: self.rng.random(),
            });
            self.routers.push(router);
            let config = RouterEvent::Configured(self.config.clone());
            self.schedule(Duration::ZERO, Event::Router(index, config));
            self.schedule(self.tick_offset(index), Event::Tick(Process::Router(index)));
        }
        for index in 0..self.settings.agents {
            let agent = self.new_agent(index);
            self.agents.push(agent);
            let config = AgentEvent::Configured(self.config.clone());
            self.schedule(Duration::ZERO, Event::Agent(index, 1, config));
            self.schedule(self.tick_offset(index), Event::Tick(Process::Agent(index)));
        }
        self.schedule(STREAM_INTERVAL, Event::Sample);
    }

    fn tick_offset(&self, index: usize) -> Duration {
        TICK_INTERVAL + TICK_INTERVAL * (index as u32 % 7) / 7
    }

    fn new_agent(&mut self, index: usize) -> Agent<S> {
        let endpoint = setup::endpoint("agent", index, self.epochs[index]);
        let settings = AgentSettings {
            endpoint,
            seed: self.rng.random(),
            gossip: self
                .settings
                .gossip
                .unwrap_or(AgentSettings::GOSSIP_INTERVAL),
        };
        let share = (self.share)(&self.settings, endpoint);
        Agent::with_share(settings, share)
    }

    /// The time since the start.
    pub fn elapsed(&self) -> Duration {
        self.at
    }

    /// The number of requests that have not ended.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// The agents.
    pub fn agents(&self) -> &[Agent<S>] {
        &self.agents
    }

    /// The routers.
    pub fn routers(&self) -> &[Router] {
        &self.routers
    }

    /// The maximum actual cost in flight over all targets.
    pub fn max_in_flight(&self) -> Cost {
        self.gaps.in_flight
    }

    /// Assigns a process to a partition; only processes in the same partition are connected.
    pub fn set_partition(&mut self, process: Process, partition: u8) {
        let index = self.index(process);
        self.partitions[index] = partition;
    }

    /// Adds a request of `team` at `router` after `delay`.
    pub fn arrive(&mut self, delay: Duration, team: usize, router: usize) {
        let load = &self.settings.teams[team];
        let cost = load.sample_cost(&mut self.rng);
        let hint = load.hint(cost, &mut self.rng);
        self.serial += 1;
        let request = RequestId(self.serial);
        let arrival = Arrival {
            request,
            team: entity::TeamId::new(team),
            route: entity::RouteId::new(0),
            pool: entity::PoolId::new(0),
            class: Class::Standard,
            hint: Some(hint),
            deadline: self.base + self.at + delay + self.settings.timeout,
            key: None,
            fingerprint: Fingerprint(self.serial),
            prefix: None,
        };
        self.counts.arrived += 1;
        let entry = Request {
            team,
            router,
            cost,
            arrived: self.at + delay,
        };
        self.requests.insert(request, entry);
        self.schedule(delay, Event::Router(router, RouterEvent::Arrived(arrival)));
    }

    /// Starts the closed-loop load: each team keeps its number of requests open.
    pub fn start_load(&mut self) {
        for team in 0..self.settings.teams.len() {
            for index in 0..self.settings.teams[team].open {
                let routers = self.settings.teams[team].routers.clone();
                let router = routers.start + index % routers.len();
                let delay = Duration::from_micros(self.rng.random_range(0..50_000));
                self.arrive(delay, team, router);
            }
        }
    }

    /// Restarts a target and, if `with_agent`, its agent, without state.
    pub fn restart(&mut self, index: usize, with_agent: bool) {
        let mut lost = self.engines[index].crash();
        if with_agent {
            lost = core::mem::take(&mut self.offered[index])
                .into_iter()
                .collect();
            self.epochs[index] += 1;
            self.agents[index] = self.new_agent(index);
            let config = AgentEvent::Configured(self.config.clone());
            self.agent_event(Duration::ZERO, index, config);
        }
        for attempt in lost {
            if !with_agent {
                let end = AttemptEnd::Broken;
                self.agent_event(Duration::ZERO, index, AgentEvent::Ended { attempt, end });
            }
            let result = AttemptResult::Broken { delivered: false };
            self.answer(index, attempt, result);
        }
        if !with_agent {
            self.agent_event(Duration::ZERO, index, AgentEvent::TargetDown);
            self.agent_event(Duration::from_millis(200), index, AgentEvent::TargetUp);
        }
    }

    /// Runs until `end` after the start.
    pub fn run_until(&mut self, end: Duration) {
        while self.queue.peek().is_some_and(|next| next.at <= end) {
            let next = self.queue.pop().expect("peeked above");
            self.account_idle(next.at);
            self.at = next.at;
            self.perform(next.event);
        }
    }

    fn account_idle(&mut self, until: Duration) {
        let step = until.saturating_sub(self.at);
        let running: usize = self.engines.iter().map(Engine::len).sum();
        let slots = self.settings.agents * self.settings.window.max as usize;
        if !step.is_zero() && self.requests.len() > running.max(slots) {
            self.counts.busy += step * slots as u32;
            self.counts.idle += step * slots.saturating_sub(running) as u32;
        }
    }

    fn now(&self) -> Now {
        Now {
            mono: self.base + self.at,
            wall: UNIX_EPOCH + Duration::from_secs(1_800_000_000) + self.at,
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.order += 1;
        self.queue.push(Scheduled {
            at: self.at + delay,
            order: self.order,
            event,
        });
    }

    fn agent_event(&mut self, delay: Duration, index: usize, event: AgentEvent) {
        self.schedule(delay, Event::Agent(index, self.epochs[index], event));
    }

    fn perform(&mut self, event: Event) {
        match event {
            Event::Router(index, event) => self.drive_router(index, event),
            Event::Agent(index, epoch, event) if epoch == self.epochs[index] => {
                if let AgentEvent::Offered(offer) = &event {
                    self.offered[index].insert(offer.attempt);
                }
                self.drive_agent(index, event);
            }
            Event::Agent(index, _, AgentEvent::Offered(offer)) => {
                self.answer(index, offer.attempt, AttemptResult::Unsent);
            }
            Event::Agent(..) => {}
            Event::Tick(process) => {
                match process {
                    Process::Router(index) => self.drive_router(index, RouterEvent::Tick),
                    Process::Agent(index) => self.drive_agent(index, AgentEvent::Tick),
                }
                self.schedule(TICK_INTERVAL, Event::Tick(process));
            }
            Event::Stream(index, epoch, attempt) if epoch == self.engines[index].epoch() => {
                self.stream(index, attempt);
            }
            Event::Stream(..) => {}
            Event::Sample => {
                self.sample();
                self.schedule(STREAM_INTERVAL, Event::Sample);
            }
        }
    }

    fn sample(&mut self) {
        let at = self.at;
        let running = self.engines.iter().flat_map(Engine::running);
        let running = running.map(|run| (run.team, run.delivered(at), run.cost));
        self.gaps.sample(running);
    }

    fn drive_router(&mut self, index: usize, event: RouterEvent) {
        let mut actions = Vec::new();
        let now = self.now();
        self.routers[index].handle(now, event, &mut actions);
        for action in actions {
            self.router_action(index, action);
        }
    }

    fn router_action(&mut self, index: usize, action: RouterAction) {
        let from = Process::Router(index);
        match action {
            RouterAction::Dispatch(order) => {
                let target = order.target.index();
                let attempt = order.offer.attempt;
                match self.link_delay(from, Process::Agent(target)) {
                    Some(delay) => {
                        self.agent_event(delay, target, AgentEvent::Offered(order.offer));
                    }
                    None => {
                        let result = AttemptResult::Unsent;
                        let event = RouterEvent::Ended { attempt, result };
                        self.schedule(Duration::from_millis(1), Event::Router(index, event));
                    }
                }
            }
            RouterAction::Bid { target, update } => {
                self.counts.bids += 1;
                self.send_to_agent(from, target, &AgentEvent::Bids(update));
            }
            RouterAction::PullReply { agent, pulled } => {
                let target = self.target(agent.id);
                self.send_to_agent(from, target, &AgentEvent::Pulled(pulled));
            }
            RouterAction::Finish { request, outcome } => self.finish(request, &outcome),
            RouterAction::Cancel(attempt) => self.router_disconnected(attempt),
            RouterAction::Decided(_) | RouterAction::Stopped => {}
        }
    }

    fn drive_agent(&mut self, index: usize, event: AgentEvent) {
        let mut actions = Vec::new();
        let now = self.now();
        self.agents[index].handle(now, event, &mut actions);
        for action in actions {
            self.agent_action(index, action);
        }
    }

    fn agent_action(&mut self, index: usize, action: AgentAction) {
        let from = Process::Agent(index);
        match action {
            AgentAction::Start(attempt) => self.start(index, attempt),
            AgentAction::Reject {
                attempt, refusal, ..
            } => {
                self.counts.rejected += 1;
                self.answer(index, attempt, AttemptResult::NotRun(refusal));
            }
            AgentAction::Pull { router, pull } => {
                self.counts.pulls += 1;
                let router = setup::router_index(router.id, self.settings.routers);
                self.send_to_router(from, router, &RouterEvent::Pull(pull));
            }
            AgentAction::Solicit(solicit) => {
                let router = self.rng.random_range(0..self.settings.routers);
                self.send_to_router(from, router, &RouterEvent::Solicit(solicit));
            }
            AgentAction::Ledger { target, delta } => {
                self.counts.deltas += 1;
                self.send_to_agent(from, target, &AgentEvent::Ledger(delta));
            }
            AgentAction::Cancel(attempt) => self.cancel(index, attempt),
            AgentAction::Unknown { .. }
            | AgentAction::Evict(_)
            | AgentAction::Broadcast(_)
            | AgentAction::Replay { .. }
            | AgentAction::Follow { .. }
            | AgentAction::Decided(_)
            | AgentAction::Stopped => {}
        }
    }
}
