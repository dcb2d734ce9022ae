//! The control thread of a daemon.
//!
//! [`Host`] connects one [`Role`] with control links, operators' questions,
//! signals and time. Everything here runs on one thread.
//!
//! Invariant: the role is never borrowed across an await, so its events are
//! processed one at a time.

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use entity::{Clock, Decision, Incarnation, Machine, Name, Now, RequestId, SystemClock};
use eyre::WrapErr;
use policy::fleet::{
    Alarm, Broadcast, Fleet, FleetAction, FleetEvent, FleetSettings, Role as FleetRole,
    RulesCompile, Version,
};
use policy::message::Endpoint;
use policy::reader::ReadOrder;
use rules::{Config, History};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};
use wire::{Envelope, EnvelopeError, Message};

use crate::control::{self, Links, SharedBytes};
use crate::event::{self, Event, Field};
use crate::metrics::{HostMetrics, HostSample, Metrics};
use crate::ops::{Explanation, Query, Source};
use crate::watch::ServiceClient;

/// The interval of [`Role::tick`].
pub const TICK: Duration = Duration::from_millis(20);

/// The greatest number of cut requests that are named in the log.
const MAX_NAMED: usize = 100;

/// The number of inputs of traffic threads that may wait for the control thread.
pub const INPUT_DEPTH: usize = 16_384;

/// The snapshot of the configuration in force, as traffic threads read it.
pub type Snapshot = Arc<ArcSwapOption<Config>>;

/// Messages to another process.
#[derive(Clone, PartialEq, Debug)]
pub struct Outgoing {
    /// The address for control messages.
    pub to: SocketAddr,
    /// The messages.
    pub messages: Vec<Message>,
}

/// What a role wants done after an event.
#[derive(Default, Debug)]
pub struct Outbox {
    messages: Vec<Outgoing>,
    broadcasts: Vec<Broadcast>,
    leaving: Option<bool>,
}

impl Outbox {
    /// Sends a message; messages to one address travel together.
    pub fn send(&mut self, to: SocketAddr, message: Message) {
        match self.messages.iter_mut().find(|known| known.to == to) {
            Some(known) => known.messages.push(message),
            None => self.messages.push(Outgoing {
                to,
                messages: vec![message],
            }),
        }
    }

    /// Spreads a fact to every process.
    pub fn publish(&mut self, broadcast: Broadcast) {
        self.broadcasts.push(broadcast);
    }

    /// Announces to the fleet whether this process, or its target, takes no new work.
    pub fn announce(&mut self, leaving: bool) {
        self.leaving = Some(leaving);
    }
}

/// Whether a role can serve.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Readiness {
    /// It takes requests.
    Ready,
    /// It does not, for this reason.
    NotReady(&'static str),
    /// It has stopped: the process may exit.
    Stopped,
}

/// The part of a daemon that differs between router and agent.
pub trait Role: 'static {
    /// What traffic threads tell it.
    type Input: Send + 'static;

    /// A configuration is in force.
    fn configured(&mut self, now: Now, config: Arc<Config>, out: &mut Outbox);
    /// A traffic thread reports.
    fn input(&mut self, now: Now, input: Self::Input, out: &mut Outbox);
    /// A message arrived; what is returned is its direct answer.
    fn received(
        &mut self,
        now: Now,
        sender: Endpoint,
        message: Message,
        out: &mut Outbox,
    ) -> Vec<Message>;
    /// Messages could not be delivered or were not answered.
    fn undelivered(&mut self, now: Now, lost: Outgoing, out: &mut Outbox);
    /// The fleet's members may have changed, or time has passed there.
    fn surveyed(&mut self, now: Now, fleet: &FleetMachine, out: &mut Outbox);
    /// Another process published a fact.
    fn delivered(&mut self, now: Now, broadcast: Broadcast, out: &mut Outbox);
    /// The process's own incarnation is this one from now on; only before it is ready.
    fn raised(&mut self, incarnation: Incarnation);
    /// Time has passed.
    fn tick(&mut self, now: Now, out: &mut Outbox);
    /// The process is to stop when its work has ended.
    fn stop(&mut self, now: Now, out: &mut Outbox);
    /// Whether the role can serve.
    fn readiness(&self) -> Readiness;
    /// The requests that would be cut if the process ended at once, in order.
    fn unfinished(&self) -> Vec<RequestId>;
    /// The whole state.
    fn dump(&self, now: Now) -> serde_json::Value;
    /// The decisions about a request.
    fn why(&self, request: RequestId) -> Option<Vec<Decision>>;
}

/// How a daemon ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Exit {
    /// All work had ended.
    Finished,
    /// A second signal or the stop limit ended it while this many requests ran.
    Cut(usize),
}

/// The fleet machine of a daemon.
pub type FleetMachine = Fleet<RulesCompile>;

/// The control thread's state.
pub struct Host<R> {
    name: String,
    clock: SystemClock,
    role: RefCell<R>,
    fleet: RefCell<FleetMachine>,
    service: ServiceClient,
    links: Links,
    bytes: SharedBytes,
    snapshot: Snapshot,
    rejected: Cell<u64>,
    fleet_tick: Cell<Instant>,
    history: RefCell<History>,
    metrics: RefCell<HostMetrics>,
}

/// What a host knows of its process.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// The process's name.
    pub name: String,
    /// How peers reach it.
    pub endpoint: Endpoint,
    /// What it does in the fleet.
    pub kind: FleetRole,
    /// Its data centre.
    pub centre: Name,
    /// The replicas of the configuration service, as URLs.
    pub service: Vec<String>,
    /// Control addresses to ask at the start.
    pub peers: Vec<SocketAddr>,
    /// The process's metrics.
    pub metrics: Metrics,
}

/// The channels into a control thread.
pub struct Inputs<I> {
    /// From traffic threads.
    pub traffic: mpsc::Receiver<I>,
    /// From the operators' listener.
    pub queries: mpsc::Receiver<Query>,
}

impl<R: Role> Host<R> {
    /// Creates the control state of a process.
    pub fn new(settings: HostSettings, role: R, snapshot: Snapshot) -> Rc<Self> {
        let bytes = SharedBytes::default();
        let clock = SystemClock;
        let now = clock.now();
        let HostSettings {
            name,
            endpoint,
            kind,
            centre,
            service,
            peers,
            metrics,
        } = settings;
        let seed = endpoint.incarnation.0;
        let fleet = FleetSettings {
            endpoint,
            role: kind,
            centre: centre.tag(),
            seeds: peers,
            seed,
        };
        Rc::new(Self {
            name,
            clock,
            role: RefCell::new(role),
            fleet: RefCell::new(Fleet::new(fleet, RulesCompile, now)),
            service: ServiceClient::new(service, seed as usize),
            links: Links::new(bytes.clone()),
            bytes,
            snapshot,
            rejected: Cell::new(0),
            fleet_tick: Cell::new(now.mono),
            history: RefCell::default(),
            metrics: RefCell::new(HostMetrics::new(&metrics.meter())),
        })
    }

    fn adopt(self: &Rc<Self>, config: Arc<Config>) {
        let (revision, hash) = (config.revision, config.hash);
        event::log(
            Event::ConfigAdopted,
            &[("revision", &revision), ("hash", &hash)],
        );
        self.history.borrow_mut().adopt(&config);
        self.snapshot.store(Some(config.clone()));
        self.step(|role, now, out| role.configured(now, config, out));
    }

    /// Serves until the role has stopped or is cut.
    ///
    /// # Errors
    ///
    /// Returns an error if the control listener or signals cannot be used.
    pub async fn run(
        self: Rc<Self>,
        listener: TcpListener,
        mut inputs: Inputs<R::Input>,
        stop_limit: Duration,
    ) -> eyre::Result<Exit> {
        let receiver = HostReceiver(self.clone());
        control::serve(listener, receiver, self.bytes.clone())
            .await
            .wrap_err("cannot serve control messages")?;
        let mut terminate = Signals::new()?;
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut limit = None;
        loop {
            tokio::select! {
                Some(input) = inputs.traffic.recv() => {
                    self.step(|role, now, out| role.input(now, input, out));
                }
                Some(query) = inputs.queries.recv() => self.answer(query),
                _ = ticks.tick() => {
                    self.tick();
                }
                () = terminate.next() => match limit {
                    Some(_) => return Ok(self.cut()),
                    None => {
                        event::log(Event::StopBegan, &[("process", &self.name)]);
                        limit = Some(self.clock.now().mono + stop_limit);
                        self.step(R::stop);
                    }
                },
            }
            if self.role.borrow().readiness() == Readiness::Stopped {
                event::log(Event::StopEnded, &[("process", &self.name)]);
                return Ok(Exit::Finished);
            }
            if limit.is_some_and(|limit| self.clock.now().mono >= limit) {
                return Ok(self.cut());
            }
        }
    }

    /// Names the requests that are cut.
    fn cut(&self) -> Exit {
        let cut = self.role.borrow().unfinished();
        let named = cut.iter().take(MAX_NAMED).map(ToString::to_string);
        let named: Vec<_> = named.collect();
        let fields: &[Field<'_>] = &[("count", &cut.len()), ("requests", &named.join(","))];
        event::log(Event::StopCut, fields);
        Exit::Cut(cut.len())
    }

    fn tick(self: &Rc<Self>) {
        self.step(R::tick);
        let now = self.clock.now();
        self.links.close_idle(now.mono);
        if now.mono >= self.fleet_tick.get() {
            self.fleet_tick.set(now.mono + policy::fleet::TICK);
            self.tell_fleet(FleetEvent::Tick);
            self.survey();
            self.measure();
        }
    }

    fn measure(&self) {
        let fleet = self.fleet.borrow();
        let bytes = *self.bytes.borrow();
        self.metrics.borrow_mut().record(HostSample {
            sent: bytes.sent,
            received: bytes.received,
            exchanges: bytes.exchanges,
            rejected: self.rejected.get(),
            revision: fleet.version().revision.0,
            members: fleet.members().len() as u64,
            links: self.links.len() as u64,
        });
    }

    fn survey(self: &Rc<Self>) {
        let fleet = self.fleet.borrow();
        let mut out = Outbox::default();
        self.role
            .borrow_mut()
            .surveyed(self.clock.now(), &fleet, &mut out);
        drop(fleet);
        self.carry_out(out);
    }

    fn step(self: &Rc<Self>, event: impl FnOnce(&mut R, Now, &mut Outbox)) {
        let mut out = Outbox::default();
        event(&mut self.role.borrow_mut(), self.clock.now(), &mut out);
        self.carry_out(out);
    }

    fn carry_out(self: &Rc<Self>, out: Outbox) {
        for outgoing in out.messages {
            let host = self.clone();
            actix_rt::spawn(async move { host.deliver(outgoing).await });
        }
        for broadcast in out.broadcasts {
            self.tell_fleet(FleetEvent::Publish(broadcast));
        }
        if let Some(leaving) = out.leaving {
            self.tell_fleet(FleetEvent::Leaving(leaving));
        }
    }

    /// Processes an event of the fleet machine.
    fn tell_fleet(self: &Rc<Self>, event: FleetEvent) {
        for answer in self.ask_fleet(event, None) {
            debug_assert!(false, "an answer without an asker: {answer:?}");
        }
    }

    /// Processes an event of the fleet machine; messages to `asker` are returned.
    fn ask_fleet(self: &Rc<Self>, event: FleetEvent, asker: Option<SocketAddr>) -> Vec<Message> {
        let mut actions = Vec::new();
        self.fleet
            .borrow_mut()
            .handle(self.clock.now(), event, &mut actions);
        let mut answers = Vec::new();
        for action in actions {
            match action {
                FleetAction::Send { to, message } if Some(to) == asker => {
                    answers.push(Message::Fleet(message));
                }
                FleetAction::Send { to, message } => {
                    let outgoing = Outgoing {
                        to,
                        messages: vec![Message::Fleet(message)],
                    };
                    let host = self.clone();
                    actix_rt::spawn(async move { host.deliver(outgoing).await });
                }
                FleetAction::ReadService(order) => {
                    let host = self.clone();
                    actix_rt::spawn(async move { host.read(order).await });
                }
                FleetAction::Adopt(config) => self.adopt(config),
                FleetAction::Deliver(broadcast) => {
                    self.step(|role, now, out| role.delivered(now, broadcast, out));
                }
                FleetAction::Alarm(alarm) => {
                    tell_operators(&alarm);
                    self.survey();
                }
                FleetAction::MembersChanged => self.survey(),
                FleetAction::Raised(incarnation) => self.role.borrow_mut().raised(incarnation),
                FleetAction::Ready => event::log(Event::ProcessReady, &[("process", &self.name)]),
            }
        }
        answers
    }

    async fn read(self: Rc<Self>, order: ReadOrder) {
        let result = self.service.read(&order).await;
        self.tell_fleet(FleetEvent::ServiceAnswer {
            key: order.key,
            result,
        });
    }

    async fn deliver(self: Rc<Self>, outgoing: Outgoing) {
        let envelope = self.envelope(&outgoing.messages);
        match self.links.exchange(outgoing.to, &envelope).await {
            Ok(answer) => {
                let answers = self.dispatch(&answer);
                debug_assert!(answers.is_empty(), "answers are not answered");
            }
            Err(_) => {
                self.tell_fleet(FleetEvent::SendFailed { to: outgoing.to });
                self.step(|role, now, out| role.undelivered(now, outgoing, out));
            }
        }
    }

    /// Processes an envelope; the direct answers are returned.
    fn dispatch(self: &Rc<Self>, envelope: &Envelope) -> Vec<Message> {
        let (messages, skipped) = envelope.messages();
        self.rejected.set(self.rejected.get() + skipped as u64);
        let sender = envelope.sender;
        let version = Version {
            revision: envelope.revision,
            hash: envelope.hash,
        };
        self.tell_fleet(FleetEvent::Seen {
            endpoint: sender,
            version,
        });
        let mut answers = Vec::new();
        for message in messages {
            match message {
                Message::Fleet(message) => {
                    let event = FleetEvent::Received {
                        from: sender,
                        message,
                    };
                    answers.extend(self.ask_fleet(event, Some(sender.control)));
                }
                message => self.step(|role, now, out| {
                    answers.extend(role.received(now, sender, message, out));
                }),
            }
        }
        answers
    }

    fn envelope(&self, messages: &[Message]) -> Envelope {
        let fleet = self.fleet.borrow();
        let Version { revision, hash } = fleet.version();
        Envelope::new(fleet.endpoint(), revision, hash, messages)
    }

    /// Whether the process takes requests, and why not.
    fn readiness(&self) -> Result<(), String> {
        let fleet = self.fleet.borrow();
        let waiting = fleet.waiting(self.clock.now());
        match self.role.borrow().readiness() {
            Readiness::Stopped => Err("stopped".to_owned()),
            Readiness::NotReady(why) => Err(why.to_owned()),
            Readiness::Ready if fleet.is_ready() => Ok(()),
            Readiness::Ready => {
                Err(waiting.map_or_else(|| "starting".to_owned(), |why| why.to_string()))
            }
        }
    }

    fn answer(&self, query: Query) {
        let now = self.clock.now();
        let role = self.role.borrow();
        // A failed send means that the asker gave up.
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
        let bytes = *self.bytes.borrow();
        serde_json::json!({
            "process": self.name,
            "incarnation": endpoint.incarnation.0,
            "control": endpoint.control.to_string(),
            "revision": version.revision.0,
            "hash": version.hash.to_string(),
            "links": {
                "open": self.links.len(),
                "bytes_sent": bytes.sent,
                "bytes_received": bytes.received,
                "exchanges": bytes.exchanges,
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

struct HostReceiver<R>(Rc<Host<R>>);

impl<R> Clone for HostReceiver<R> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<R: Role> control::Receiver for HostReceiver<R> {
    fn receive(&self, envelope: &Envelope) -> Envelope {
        let answers = self.0.dispatch(envelope);
        self.0.envelope(&answers)
    }

    fn rejected(&self, _error: EnvelopeError) -> Envelope {
        self.0.rejected.set(self.0.rejected.get() + 1);
        self.0.envelope(&[])
    }
}

/// The signals that ask a process to stop.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> eyre::Result<Self> {
        let terminate = signal(SignalKind::terminate()).wrap_err("cannot handle SIGTERM")?;
        let interrupt = signal(SignalKind::interrupt()).wrap_err("cannot handle SIGINT")?;
        Ok(Self {
            terminate,
            interrupt,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Logs an alarm of the fleet machine.
fn tell_operators(alarm: &Alarm) {
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
