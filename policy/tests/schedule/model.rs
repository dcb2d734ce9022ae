//! A model of routers, agents and targets that drives the at-most-once state machines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, UNIX_EPOCH};

use entity::{
    AttemptId, Fingerprint, IdempotencyKey, Incarnation, Now, Reason, RequestId, Revision, Tag,
};
use knapweed_policy::home::{Bounds, Roster, RosterEntry, RosterLease, TicketIssuer};
use knapweed_policy::once::{DedupDecision, DedupSettings, DedupStore};

use crate::step::{AGENTS, LEAD, Policy, ROUTERS, SKEW, Step};

const LIFETIME: u64 = 60_000;
const UNLIMITED: Duration = Duration::from_secs(1 << 30);

/// The invariant that a schedule violated.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Failure {
    /// A key ran twice.
    RanTwice,
    /// A key was reported as not run, but it has run or may still run.
    NotRunButRan,
    /// An offer got the answer of another request body, or not the answer of the key's run.
    WrongAnswer,
}

/// The number of events of each kind in a schedule.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct Tally {
    runs: u32,
    follows: u32,
    replays: u32,
    not_run: u32,
    unknown: u32,
    failed_checks: u32,
}

impl Tally {
    pub(crate) fn add(&mut self, other: &Self) {
        self.runs += other.runs;
        self.follows += other.follows;
        self.replays += other.replays;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.failed_checks += other.failed_checks;
    }
}

pub(crate) struct Report {
    pub(crate) result: Result<(), Failure>,
    pub(crate) tally: Tally,
}

/// Runs a schedule up to the first violated invariant.
pub(crate) fn execute(steps: &[Step], policy: Policy) -> Report {
    let mut simulation = Simulation::new(policy);
    let result = steps.iter().try_for_each(|&step| simulation.step(step));
    let tally = simulation.tally;
    Report { result, tally }
}

/// One incarnation of an agent.
struct Process {
    clock_offset: i64,
    incarnation: Incarnation,
    store: DedupStore,
    lease: RosterLease,
    is_disconnected: bool,
    /// The keys of the attempts that wait for the check before the send.
    accepted: BTreeMap<AttemptId, usize>,
    /// The stored answers, each identified by the run that gave it.
    answers: BTreeMap<AttemptId, u32>,
}

/// An attempt that passed the check before its send, and later its run on the target.
#[derive(Clone, Copy)]
struct InFlight {
    process: usize,
    attempt: AttemptId,
    key: usize,
    run: u32,
}

struct Simulation {
    policy: Policy,
    base: Instant,
    millis: u64,
    /// All incarnations of all agents, also those that ended.
    processes: Vec<Process>,
    /// The index of each agent's latest process.
    current_process: Vec<usize>,
    router_rosters: Vec<Roster>,
    issuers: Vec<TicketIssuer>,
    /// The published roster.
    entries: Vec<RosterEntry>,
    revision: u64,
    keys: Vec<IdempotencyKey>,
    checked: Vec<InFlight>,
    running: Vec<InFlight>,
    fingerprints: BTreeMap<AttemptId, Fingerprint>,
    /// The number of runs of each key.
    runs: BTreeMap<usize, u32>,
    /// The run that gave the first answer of each key.
    answers: BTreeMap<usize, u32>,
    /// The number of offers and restarts; attempts and incarnations are numbered by it.
    attempts: u128,
    tally: Tally,
}

impl Simulation {
    fn new(policy: Policy) -> Self {
        let entry = |agent| RosterEntry {
            agent: Tag(agent),
            from: None,
            until: None,
        };
        let issuer = |seed| TicketIssuer::new(Duration::from_millis(LIFETIME), seed);
        let mut simulation = Self {
            policy,
            base: Instant::now(),
            millis: 1_800_000_000_000,
            processes: Vec::new(),
            current_process: Vec::new(),
            router_rosters: Vec::new(),
            issuers: (0..ROUTERS).map(issuer).collect(),
            entries: (0..AGENTS).map(entry).collect(),
            revision: 1,
            keys: Vec::new(),
            checked: Vec::new(),
            running: Vec::new(),
            fingerprints: BTreeMap::new(),
            runs: BTreeMap::new(),
            answers: BTreeMap::new(),
            attempts: 0,
            tally: Tally::default(),
        };
        simulation.router_rosters = vec![simulation.roster(); ROUTERS as usize];
        for agent in 0..AGENTS {
            let process = simulation.new_process(agent, 0);
            simulation.current_process.push(simulation.processes.len());
            simulation.processes.push(process);
            simulation.sync_agent(agent);
        }
        simulation.millis += 10 * SKEW;
        simulation
    }

    fn now(&self, offset: i64) -> Now {
        let wall = self
            .millis
            .checked_add_signed(offset)
            .expect("small offset");
        Now {
            mono: self.base + Duration::from_millis(self.millis - 1_800_000_000_000),
            wall: UNIX_EPOCH + Duration::from_millis(wall),
        }
    }

    fn roster(&self) -> Roster {
        let connected = |entry: &&RosterEntry| {
            let id = self.current_process.get(entry.agent.0 as usize);
            self.policy != Policy::FailOver
                || id.is_none_or(|&id| !self.processes[id].is_disconnected)
        };
        let entries = self.entries.iter().filter(connected);
        Roster::new(Revision(self.revision), entries.copied().collect())
    }

    fn bounds(&self) -> Bounds {
        let lead = match self.policy {
            Policy::FailOver => UNLIMITED,
            _ => Duration::from_millis(LEAD),
        };
        Bounds {
            skew: Duration::from_millis(SKEW),
            lead,
            lifetime: Duration::from_millis(LIFETIME),
        }
    }

    fn new_process(&self, agent: u64, offset: i64) -> Process {
        let bounds = self.bounds();
        let wall = self.now(offset).wall;
        let forgets = self.policy == Policy::ForgetOnRestart;
        let started = match self.policy {
            Policy::ForgetOnRestart => UNIX_EPOCH,
            Policy::SingleSkew => wall - bounds.skew,
            _ => wall,
        };
        let incarnation = Incarnation(if forgets { 0 } else { self.attempts as u64 });
        let settings = DedupSettings {
            agent: Tag(agent),
            incarnation,
            started,
            bounds,
            max_keys: 16,
            max_bytes: 20,
            max_send_delay: Duration::from_millis(300),
        };
        Process {
            clock_offset: offset,
            incarnation,
            store: DedupStore::new(settings),
            lease: RosterLease::new(bounds),
            is_disconnected: false,
            accepted: BTreeMap::new(),
            answers: BTreeMap::new(),
        }
    }

    fn step(&mut self, step: Step) -> Result<(), Failure> {
        match step {
            Step::IssueKey(offset) => {
                let millis = self
                    .millis
                    .checked_add_signed(offset)
                    .expect("small offset");
                self.keys.push(caller_key(millis, self.keys.len()));
            }
            Step::IssueTicket { router, agent } => {
                let incarnation = self.processes[self.current_process[agent as usize]].incarnation;
                let now = self.now(0);
                let ticket = self.issuers[router as usize].issue(now, Tag(agent), incarnation);
                self.keys.push(IdempotencyKey::Ticket(ticket));
            }
            Step::Offer {
                key,
                router,
                other_body,
            } if !self.keys.is_empty() => {
                let back = key as usize % self.keys.len();
                self.offer(self.keys.len() - 1 - back, router as usize, other_body)?;
            }
            Step::BeginSend(n) => self.begin_send(n as usize)?,
            Step::Deliver { checked, refused } if !self.checked.is_empty() => {
                let flight = self.checked.remove(checked as usize % self.checked.len());
                self.deliver(flight, refused)?;
            }
            Step::EndRun { run, lost } if !self.running.is_empty() => {
                let flight = self.running.remove(run as usize % self.running.len());
                self.end_run(flight, lost);
            }
            Step::Restart { agent, offset } => self.restart(agent, offset),
            Step::Disconnect(agent) => self.disconnect(agent as usize),
            Step::SyncAgent(agent) => self.sync_agent(agent),
            Step::SyncRouter(router) => self.router_rosters[router as usize] = self.roster(),
            Step::Publish { agent, joins } => self.publish(agent as usize, joins),
            Step::Advance(millis) => self.advance(millis),
            _ => {}
        }
        Ok(())
    }

    fn sync_agent(&mut self, agent: u64) {
        let id = self.current_process[agent as usize];
        let now = self.now(self.processes[id].clock_offset);
        let new_lease = RosterLease::new(self.bounds());
        if std::mem::take(&mut self.processes[id].is_disconnected) {
            self.revision += u64::from(self.policy == Policy::FailOver);
            return;
        }
        let roster = self.roster();
        let process = &mut self.processes[id];
        // A new lease has no earlier roster to compare with, so it creates no hold.
        if matches!(self.policy, Policy::IgnoreHold | Policy::FailOver) {
            process.lease = new_lease;
        }
        let revision = roster.revision();
        process.lease.configure(now, roster);
        let asked = match self.policy {
            Policy::IgnoreLead => now.after(UNLIMITED),
            _ => now,
        };
        process.lease.confirm(revision, asked, Duration::ZERO);
    }

    /// Starts a new incarnation, which learns from its peers before it queries the service.
    fn restart(&mut self, agent: u64, offset: i64) {
        let others = (0..AGENTS).filter(|&other| other != agent);
        let peers = others.map(|other| &self.processes[self.current_process[other as usize]]);
        let peers = peers.filter(|peer| !peer.is_disconnected);
        let mut peers: Vec<_> = peers.map(|peer| peer.lease.clone()).collect();
        if peers.is_empty() && !self.has_lead() {
            return;
        }
        peers.sort_by_key(|lease| lease.roster().revision());
        self.attempts += 1;
        let now = self.now(offset);
        let mut process = self.new_process(agent, offset);
        for peer in peers {
            process.lease.configure(now, peer.roster().clone());
            peer.hold()
                .into_iter()
                .for_each(|hold| process.lease.merge_hold(now, hold));
        }
        self.current_process[agent as usize] = self.processes.len();
        self.processes.push(process);
        self.sync_agent(agent);
    }

    fn has_lead(&self) -> bool {
        !matches!(self.policy, Policy::SoundWithoutLead | Policy::IgnoreHold)
    }

    fn disconnect(&mut self, agent: usize) {
        self.processes[self.current_process[agent]].is_disconnected = true;
        self.revision += u64::from(self.policy == Policy::FailOver);
    }

    fn publish(&mut self, agent: usize, joins: bool) {
        let has_lead = self.has_lead();
        let lead = Duration::from_millis(if has_lead { LEAD } else { 0 });
        // The keys of the entry's earlier range must have expired before the range is replaced.
        let expiry = Duration::from_millis(if has_lead { LIFETIME } else { 0 });
        let now = self.now(0).wall;
        let change_time = now + lead;
        let entry = &mut self.entries[agent];
        match (entry.until, joins) {
            (None, false) => entry.until = Some(change_time),
            (Some(until), true) if until + expiry < now => {
                entry.from = Some(change_time);
                entry.until = None;
            }
            _ => return,
        }
        self.revision += 1;
    }

    fn advance(&mut self, millis: u64) {
        self.millis += millis;
        for id in self.current_process.clone() {
            let now = self.now(self.processes[id].clock_offset);
            let process = &mut self.processes[id];
            for attempt in process.store.expire(now) {
                process.answers.remove(&attempt);
            }
        }
    }

    fn offer(&mut self, key: usize, router: usize, other_body: bool) -> Result<(), Failure> {
        let value = self.keys[key];
        let Some(home) = self.router_rosters[router].home(&value) else {
            return Ok(());
        };
        let id = self.current_process[home.0 as usize];
        self.attempts += 1;
        let attempt = AttemptId {
            request: RequestId(self.attempts),
            number: 0,
        };
        let now = self.now(self.processes[id].clock_offset);
        let process = &mut self.processes[id];
        let body = Fingerprint(key as u128 * 2 + u128::from(other_body));
        let decision = process
            .store
            .decide(now, &process.lease, attempt, value, body);
        if decision == DedupDecision::Start {
            process.accepted.insert(attempt, key);
        }
        self.fingerprints.insert(attempt, body);
        match decision {
            DedupDecision::Follow(it) | DedupDecision::Replay(it)
                if self.fingerprints[&it] != body =>
            {
                Err(Failure::WrongAnswer)
            }
            _ => self.check_decision(key, id, &decision),
        }
    }

    fn check_decision(
        &mut self,
        key: usize,
        id: usize,
        decision: &DedupDecision,
    ) -> Result<(), Failure> {
        match decision {
            DedupDecision::Start => {}
            DedupDecision::Follow(_) => self.tally.follows += 1,
            DedupDecision::Unknown(refusal) => {
                self.tally.unknown += 1;
                let refuses = self.policy == Policy::RefuseUnconfirmed;
                if refuses && refusal.reason == Reason::HomeUnconfirmed && self.may_run(key) {
                    return Err(Failure::NotRunButRan);
                }
            }
            DedupDecision::Replay(original) => {
                self.tally.replays += 1;
                let held = self.processes[id].answers.get(original);
                if held.is_none() || held != self.answers.get(&key) {
                    return Err(Failure::WrongAnswer);
                }
            }
            DedupDecision::Refuse { .. } => {
                self.tally.not_run += 1;
                if self.may_run(key) {
                    return Err(Failure::NotRunButRan);
                }
            }
        }
        Ok(())
    }

    /// Whether the key has run, or an attempt that was accepted earlier may still run it.
    fn may_run(&self, key: usize) -> bool {
        let accepted = self
            .processes
            .iter()
            .flat_map(|process| process.accepted.values());
        let open: BTreeSet<usize> = accepted.copied().collect();
        let checked = self.checked.iter().any(|flight| flight.key == key);
        self.runs.contains_key(&key) || checked || open.contains(&key)
    }

    fn begin_send(&mut self, n: usize) -> Result<(), Failure> {
        let accepted = self.processes.iter().enumerate().flat_map(|(process, it)| {
            let flights = it.accepted.iter();
            flights.map(move |(&attempt, &key)| InFlight {
                process,
                attempt,
                key,
                run: 0,
            })
        });
        let accepted: Vec<_> = accepted.collect();
        let Some(&flight) = accepted.get(n % accepted.len().max(1)) else {
            return Ok(());
        };
        let now = self.now(self.processes[flight.process].clock_offset);
        let process = &mut self.processes[flight.process];
        process.accepted.remove(&flight.attempt);
        match process
            .store
            .begin_send(now, &process.lease, flight.attempt)
        {
            Ok(()) => self.checked.push(flight),
            Err(decision) => {
                self.tally.failed_checks += 1;
                self.check_decision(flight.key, flight.process, &decision)?;
            }
        }
        Ok(())
    }

    fn deliver(&mut self, flight: InFlight, refused: bool) -> Result<(), Failure> {
        if refused {
            self.processes[flight.process]
                .store
                .record_refusal(flight.attempt);
            return Ok(());
        }
        let count = self.runs.entry(flight.key).or_default();
        *count += 1;
        if *count > 1 {
            return Err(Failure::RanTwice);
        }
        self.tally.runs += 1;
        let run = self.tally.runs;
        self.running.push(InFlight { run, ..flight });
        Ok(())
    }

    fn end_run(&mut self, flight: InFlight, lost: bool) {
        let process = &mut self.processes[flight.process];
        if lost {
            return process.store.record_loss(flight.attempt);
        }
        self.answers.entry(flight.key).or_insert(flight.run);
        process.answers.insert(flight.attempt, flight.run);
        for attempt in process.store.record_answer(flight.attempt, 8) {
            process.answers.remove(&attempt);
        }
    }
}

fn caller_key(millis: u64, serial: usize) -> IdempotencyKey {
    let (high, low) = (millis >> 16, millis & 0xffff);
    let text = format!("{high:08x}-{low:04x}-7000-8000-{serial:012x}");
    text.parse().expect("a UUID of version 7")
}
