//! The control thread of a daemon.
//!
//! [`Host`] connects one [`Role`] with control links, operators' questions,
//! signals and time. Everything here runs on one thread.
//!
//! Invariant: the role is never borrowed across an await, so its events are
//! processed one at a time.

mod exchange;
mod operators;
mod role;
mod signals;

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use entity::{Clock, Name, Now, SystemClock};
use eyre::WrapErr;
use policy::fleet::{Fleet, FleetEvent, FleetSettings, Role as FleetRole, RulesCompile};
use policy::message::Endpoint;
use rules::{Config, History};
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};
use wire::{Envelope, EnvelopeError};

use crate::control::{self, LinkPool, SharedCounters};
use crate::event::{self, Event, Field};
use crate::metrics::{HostMetrics, HostSample, Metrics};
use crate::ops::Query;
use crate::watch::ServiceClient;

pub use role::{Outbox, Outgoing, Readiness, Role};

use signals::Signals;

/// The interval of [`Role::tick`].
pub const TICK: Duration = Duration::from_millis(20);

/// The greatest number of cut requests that are named in the log.
const MAX_NAMED: usize = 100;

/// The number of inputs of traffic threads that may wait for the control thread.
pub const INPUT_DEPTH: usize = 16_384;

/// The snapshot of the configuration in force, as traffic threads read it.
pub type Snapshot = Arc<ArcSwapOption<Config>>;

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
    links: LinkPool,
    counters: SharedCounters,
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
        let counters = SharedCounters::default();
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
            links: LinkPool::new(counters.clone()),
            counters,
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
        self.history.borrow_mut().push(&config);
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
        let handler = HostEnvelopeHandler(self.clone());
        control::serve(listener, handler, self.counters.clone())
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
        let counters = *self.counters.borrow();
        self.metrics.borrow_mut().record(HostSample {
            sent: counters.sent,
            received: counters.received,
            exchanges: counters.exchanges,
            rejected: self.rejected.get(),
            revision: fleet.version().revision.0,
            members: fleet.members().len() as u64,
            links: self.links.len() as u64,
        });
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
}

struct HostEnvelopeHandler<R>(Rc<Host<R>>);

impl<R> Clone for HostEnvelopeHandler<R> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<R: Role> control::EnvelopeHandler for HostEnvelopeHandler<R> {
    fn handle(&self, envelope: &Envelope) -> Envelope {
        let answers = self.0.dispatch(envelope);
        self.0.envelope(&answers)
    }

    fn handle_malformed(&self, _error: EnvelopeError) -> Envelope {
        self.0.rejected.set(self.0.rejected.get() + 1);
        self.0.envelope(&[])
    }
}
