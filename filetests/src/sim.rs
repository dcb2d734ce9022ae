//! The scenario simulator: production state machines on a virtual clock and event queue.
//!
//! Each process combines a [`policy::fleet::Fleet`] with a [`policy::Router`] or a
//! [`policy::Agent`], connected as in the daemons. [`run`] executes one scenario.
//!
//! Invariant: events are ordered by time, then by creation, and all random choices
//! derive from the seed of the scenario, so runs are deterministic.

mod engine;
mod fault;
mod link;
mod meter;
mod plan;
mod plant;
mod process;
mod serve;
mod service;
mod share;
mod step;
mod target;
mod traffic;

use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use entity::{AttemptId, Name, Now, RequestId, Revision};
use policy::reader::ServiceKey;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::record::{Entry, EntryKind, Subject};
use crate::scenario::{Change, Scenario};
use link::Cut;
use meter::Meter;
use plan::Plan;
use process::Process;
use service::Service;
use step::{Answer, Scheduled, Step};
use target::Engine;
use traffic::{Flow, Key, Request};

pub use meter::{Gap, PoolMeasure, Span, Starvation};
pub use plan::PlanError;

/// The interval between tick events of a router or agent.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The interval between samples of the service gap.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// The time for processes to become ready before the scenario starts.
const WARM_UP: Duration = Duration::from_secs(10);

/// The wall-clock time at which a run begins.
const WALL_CLOCK_START: Duration = Duration::from_secs(1_800_000_000);

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The event log, in order.
    pub entries: Vec<Entry>,
    /// The measurements by pool.
    pub pools: Vec<PoolRun>,
    /// The length of the scenario.
    pub length: Duration,
    /// The data centre of each target, by target name.
    pub centres: BTreeMap<Name, Name>,
    /// All teams, in order.
    pub teams: Vec<Name>,
    /// The deadlines of requests, since the start of the scenario.
    pub deadlines: BTreeMap<RequestId, Duration>,
    /// The requests that crash their targets.
    pub crashing_requests: BTreeSet<RequestId>,
    /// The number of answers that arrived late or more than once.
    pub dropped: u64,
    /// The number of calls to the configuration service.
    pub calls: u64,
    resume_times: Vec<(Name, Duration)>,
}

impl Run {
    /// Converts a time of the virtual clock to the time since the start of the scenario.
    pub fn since_start(&self, at: Duration) -> Duration {
        at.saturating_sub(WARM_UP)
    }

    /// Returns when a process resumed after pauses, since the start of the scenario.
    pub fn resume_times(&self, process: &Name) -> impl Iterator<Item = Duration> {
        let resume_times = self.resume_times.iter();
        resume_times
            .filter(move |(name, _)| name == process)
            .map(|&(_, at)| at)
    }
}

/// The measurements of one pool and the parameters of its bounds.
#[derive(Clone, PartialEq, Debug)]
pub struct PoolRun {
    /// The name.
    pub name: Name,
    /// The measurements.
    pub measure: PoolMeasure,
    /// The cost that its warm targets deliver per second.
    pub rate: f64,
    /// The weights of all teams.
    pub weights: Vec<f64>,
    /// The time until agents see each other's service: the gossip interval plus two delays.
    pub staleness: Duration,
    /// The time that a target takes for one cost unit.
    pub token: Duration,
    /// Whether a fault delayed ledger deltas beyond that.
    pub had_isolation_fault: bool,
}

/// Runs a scenario; paths of rules files are relative to `root`.
///
/// # Errors
///
/// Returns an error if a name or a rules file cannot be resolved.
pub fn run(scenario: &Scenario, root: &Path) -> Result<Run, PlanError> {
    let plan = Plan::new(scenario, root)?;
    let mut sim = Sim::new(plan);
    let end = WARM_UP + sim.plan.run;
    sim.run_until(end);
    Ok(sim.finish())
}

struct Sim {
    plan: Plan,
    base: Instant,
    at: Duration,
    order: u64,
    queue: BinaryHeap<Scheduled>,
    rng: ChaCha8Rng,
    processes: Vec<Process>,
    engines: Vec<Engine>,
    service: Service,
    cuts: Vec<Cut>,
    revision: Revision,
    drains: Vec<Change>,
    leaving: Vec<usize>,
    requests: BTreeMap<RequestId, Request>,
    flows: Vec<Flow>,
    keys: Vec<Key>,
    serial: u64,
    meters: Vec<Meter>,
    slots: Vec<u32>,
    entries: Vec<Entry>,
    had_isolation_fault: bool,
    resume_times: Vec<(Name, Duration)>,
    dropped: u64,
    failed_starts: VecDeque<(usize, AttemptId)>,
}

impl Sim {
    fn new(plan: Plan) -> Self {
        let weights = || plan.teams.iter().map(|team| team.weight);
        let engine = |target: &plan::TargetPlan| {
            let pool = &plan.pools[target.pool];
            Engine::new(pool.slots, pool.cold)
        };
        let mut sim = Self {
            base: Instant::now(),
            at: Duration::ZERO,
            order: 0,
            queue: BinaryHeap::new(),
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            processes: Vec::new(),
            engines: plan.targets.iter().map(engine).collect(),
            service: Service::default(),
            cuts: Vec::new(),
            revision: Revision(1),
            drains: Vec::new(),
            leaving: Vec::new(),
            requests: BTreeMap::new(),
            flows: Vec::new(),
            keys: Vec::new(),
            serial: 0,
            meters: plan.pools.iter().map(|_| Meter::new(weights())).collect(),
            slots: vec![0; plan.targets.len()],
            entries: Vec::new(),
            had_isolation_fault: false,
            resume_times: Vec::new(),
            dropped: 0,
            failed_starts: VecDeque::new(),
            plan,
        };
        sim.populate();
        sim
    }

    fn populate(&mut self) {
        self.publish_list();
        let text = self.plan.text.clone();
        self.service.publish(&ServiceKey::Rules, text);
        for index in 0..self.plan.routers as usize + self.plan.targets.len() {
            let process = self.new_process(index, 1);
            self.processes.push(process);
            let phase = TICK_INTERVAL * (index as u32 % 7) / 7;
            self.schedule(
                phase,
                Step::Tick {
                    process: index,
                    epoch: 1,
                },
            );
        }
        for agent in 0..self.plan.targets.len() {
            self.schedule(Duration::from_millis(agent as u64), Step::Poll { agent });
        }
        for (index, (time, _)) in self.plan.events.clone().into_iter().enumerate() {
            self.schedule(WARM_UP + time, Step::Fault { index });
        }
        for source in self.plan.sources.clone() {
            self.start_source(source);
        }
        self.schedule(WARM_UP, Step::Sample);
    }

    fn run_until(&mut self, end: Duration) {
        while self.queue.peek().is_some_and(|next| next.at <= end) {
            let next = self.queue.pop().expect("peeked above");
            self.account(next.at);
            self.at = next.at;
            match self.resume_time(&next.step) {
                Some(wake) => self.schedule(wake.saturating_sub(self.at), next.step),
                None => self.perform(next.step),
            }
        }
        self.at = end;
    }

    /// Returns when the process that a step concerns resumes, if it is paused.
    fn resume_time(&self, step: &Step) -> Option<Duration> {
        let process = match step {
            Step::Tick { process, .. }
            | Step::Deliver { process, .. }
            | Step::DeliveryFailed { process, .. }
            | Step::Read { process, .. } => *process,
            Step::Offer { agent, .. } | Step::Agent { agent, .. } => self.agent_process(*agent),
            Step::Router { router, .. } | Step::Answer { router, .. } => *router,
            Step::Poll { agent } => self.agent_process(*agent),
            _ => return None,
        };
        let paused = self.processes[process].paused;
        paused.filter(|&until| until > self.at)
    }

    fn perform(&mut self, step: Step) {
        match step {
            Step::Tick { process, epoch } if self.is_current(process, epoch) => self.tick(process),
            Step::Deliver { process, packet } => self.deliver(process, *packet),
            Step::DeliveryFailed {
                process,
                epoch,
                to,
                message,
            } if self.is_current(process, epoch) => self.delivery_failed(process, to, &message),
            Step::Offer {
                agent,
                router,
                epoch,
                offer,
            } => self.offered(agent, router, epoch, *offer),
            Step::Agent {
                agent,
                epoch,
                event,
            } if self.is_current(self.agent_process(agent), epoch) => {
                self.drive_agent(agent, *event);
            }
            Step::Router {
                router,
                epoch,
                event,
            } if self.is_current(router, epoch) => self.drive_router(router, *event),
            Step::Answer {
                router,
                epoch,
                answer,
            } if self.is_current(router, epoch) => self.relay(router, *answer),
            Step::Read {
                process,
                epoch,
                key,
                result,
            } if self.is_current(process, epoch) => self.read_ended(process, key, result),
            Step::Watches => self.end_watches(),
            Step::Stream {
                agent,
                generation,
                attempt,
            } => self.stream(agent, generation, attempt),
            Step::Poll { agent } => self.poll(agent),
            Step::EngineUp { agent } => self.engine_up(agent),
            Step::Crash { agent, attempt } => self.crash_target(agent, attempt),
            Step::Flow { flow } => self.flow(flow),
            Step::Send { request } => self.send_request(request),
            Step::Fault { index } => self.fault(index),
            Step::Sample => self.sample(),
            // Events for an earlier start of a process are dropped.
            _ => {}
        }
        while let Some((agent, attempt)) = self.failed_starts.pop_front() {
            self.unsent(agent, attempt);
        }
    }

    fn is_current(&self, process: usize, epoch: u64) -> bool {
        let process = &self.processes[process];
        process.epoch == epoch && !process.stopped
    }

    /// The index of the agent process of a target.
    fn agent_process(&self, agent: usize) -> usize {
        self.plan.routers as usize + agent
    }

    /// The index of the target of an agent process; `None` for routers.
    fn target_of(&self, process: usize) -> Option<usize> {
        process.checked_sub(self.plan.routers as usize)
    }

    /// The current time by the clocks of a process.
    fn now(&self, process: usize) -> Now {
        let wall = self.wall();
        let wall = match self.processes.get(process).map(|process| process.skew) {
            Some((true, by)) => wall - by,
            Some((false, by)) => wall + by,
            None => wall,
        };
        Now {
            mono: self.base + self.at,
            wall,
        }
    }

    /// The wall-clock time without skew.
    fn wall(&self) -> SystemTime {
        UNIX_EPOCH + WALL_CLOCK_START + self.at
    }

    fn schedule(&mut self, delay: Duration, step: Step) {
        self.order += 1;
        self.queue.push(Scheduled {
            at: self.at + delay,
            order: self.order,
            step,
        });
    }

    fn log_entry(&mut self, subject: Subject, kind: EntryKind) {
        self.entries.push(Entry {
            at: self.at.saturating_sub(WARM_UP),
            subject,
            kind,
        });
    }

    fn account(&mut self, until: Duration) {
        let step = until.saturating_sub(self.at);
        if step.is_zero() || until <= WARM_UP || self.is_partitioned() {
            return;
        }
        for pool in 0..self.meters.len() {
            let targets = self.plan.targets.iter().enumerate();
            let members = targets.filter(|(_, target)| target.pool == pool);
            let (mut slots, mut running) = (0, 0);
            for (agent, _) in members {
                slots += self.slots[agent];
                running += self.slots[agent].min(self.engines[agent].running.len() as u32);
            }
            self.meters[pool].idle(step, slots, running);
        }
    }

    fn sample(&mut self) {
        let at = self.at;
        self.schedule(SAMPLE_INTERVAL, Step::Sample);
        if self.is_partitioned() {
            return;
        }
        for pool in 0..self.meters.len() {
            let mut running = vec![0.0; self.plan.teams.len()];
            let mut in_flight = vec![0.0; self.plan.teams.len()];
            let targets = self.plan.targets.iter().zip(&self.engines);
            for (_, engine) in targets.filter(|(target, _)| target.pool == pool) {
                for run in engine.running.values() {
                    running[run.team] += run.delivered(at).0 as f64;
                    in_flight[run.team] += run.cost.0 as f64;
                }
            }
            self.meters[pool].sample(at, &running, &in_flight);
        }
    }

    /// Whether a cut or a paused process currently divides the fleet.
    fn is_partitioned(&self) -> bool {
        let paused = |process: &Process| process.paused.is_some_and(|until| until > self.at);
        !self.cuts.is_empty() || self.processes.iter().any(paused)
    }

    fn finish(mut self) -> Run {
        let at = self.at;
        for meter in &mut self.meters {
            meter.finish(at);
        }
        let plan = &self.plan;
        let delays = plan.delays.iter().map(|&(_, _, time)| time);
        let delay = delays.chain([plan.delay]).max().unwrap_or_default();
        let pool_run = |(index, pool): (usize, &plan::PoolPlan)| {
            let targets = plan.targets.iter().filter(|target| target.pool == index);
            let slots = targets.count() as f64 * f64::from(pool.slots);
            PoolRun {
                name: pool.name.clone(),
                measure: self.meters[index].measure.clone(),
                rate: slots / plan.token.as_secs_f64(),
                weights: plan
                    .teams
                    .iter()
                    .map(|team| f64::from(team.weight))
                    .collect(),
                staleness: plan.gossip + 2 * delay,
                token: plan.token,
                had_isolation_fault: self.had_isolation_fault,
            }
        };
        let pools = plan.pools.iter().enumerate().map(pool_run).collect();
        let centre = |target: &plan::TargetPlan| (target.name.clone(), target.centre.clone());
        let deadline =
            |(&id, request): (&RequestId, &Request)| (id, request.deadline.saturating_sub(WARM_UP));
        let crashing_requests = self
            .requests
            .iter()
            .filter(|(_, request)| request.crashes_target);
        Run {
            pools,
            length: plan.run,
            centres: plan.targets.iter().map(centre).collect(),
            teams: plan.teams.iter().map(|team| team.name.clone()).collect(),
            deadlines: self.requests.iter().map(deadline).collect(),
            crashing_requests: crashing_requests.map(|(&id, _)| id).collect(),
            dropped: self.dropped,
            calls: self.service.calls,
            resume_times: self.resume_times,
            entries: self.entries,
        }
    }
}
