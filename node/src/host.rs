//! The control thread of a daemon.
//!
//! [`Host`] runs one [`Role`] and connects it to control links, operators' queries,
//! signals and timers. Everything in this module runs on one thread.
//!
//! Invariant: the role is never borrowed across an await point, so its events are
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
use policy::fleet::{Fleet, FleetEvent, FleetSettings, Role as FleetRole, RulesCompiler};
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

/// Interval between calls of [`Role::tick`].
pub const TICK: Duration = Duration::from_millis(20);

/// Maximum number of aborted requests listed in the log.
const MAX_LOGGED_REQUESTS: usize = 100;

/// Capacity of the channel from traffic threads to the control thread.
pub const INPUT_CHANNEL_CAPACITY: usize = 16_384;

/// Snapshot of the configuration in force, read by traffic threads.
pub type Snapshot = Arc<ArcSwapOption<Config>>;

/// How a daemon terminated.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Exit {
    /// All requests had completed.
    Finished,
    /// A second signal or the stop limit ended it while this many requests were running.
    Aborted(usize),
}

/// The fleet state machine of a daemon.
pub type FleetMachine = Fleet<RulesCompiler>;

/// State of the control thread.
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
    next_fleet_tick: Cell<Instant>,
    history: RefCell<History>,
    metrics: RefCell<HostMetrics>,
}

/// Identity and surroundings of the process that a host runs in.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// The name of the process.
    pub name: String,
    /// The endpoint at which peers reach the process.
    pub endpoint: Endpoint,
    /// The role of the process in the fleet.
    pub kind: FleetRole,
    /// The data centre of the process.
    pub centre: Name,
    /// URLs of the configuration service's replicas.
    pub service: Vec<String>,
    /// Control addresses to contact at startup.
    pub peers: Vec<SocketAddr>,
    /// The metrics of the process.
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
            fleet: RefCell::new(Fleet::new(fleet, RulesCompiler, now)),
            service: ServiceClient::new(service, seed as usize),
            links: LinkPool::new(counters.clone()),
            counters,
            snapshot,
            rejected: Cell::new(0),
            next_fleet_tick: Cell::new(now.mono),
            history: RefCell::default(),
            metrics: RefCell::new(HostMetrics::new(&metrics.meter())),
        })
    }

    fn apply_config(self: &Rc<Self>, config: Arc<Config>) {
        let (revision, hash) = (config.revision, config.hash);
        event::log(
            Event::ConfigAdopted,
            &[("revision", &revision), ("hash", &hash)],
        );
        self.history.borrow_mut().push(&config);
        self.snapshot.store(Some(config.clone()));
        self.with_role(|role, now, out| role.config_changed(now, config, out));
    }

    /// Serves until the role has stopped or the process is aborted.
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
        let mut stop_signals = Signals::new()?;
        let mut tick_timer = interval(TICK);
        tick_timer.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut stop_deadline = None;
        loop {
            tokio::select! {
                Some(input) = inputs.traffic.recv() => {
                    self.with_role(|role, now, out| role.input(now, input, out));
                }
                Some(query) = inputs.queries.recv() => self.handle_query(query),
                _ = tick_timer.tick() => {
                    self.tick();
                }
                () = stop_signals.next() => match stop_deadline {
                    Some(_) => return Ok(self.abort()),
                    None => {
                        event::log(Event::StopBegan, &[("process", &self.name)]);
                        stop_deadline = Some(self.clock.now().mono + stop_limit);
                        self.with_role(R::stop);
                    }
                },
            }
            if self.role.borrow().readiness() == Readiness::Stopped {
                event::log(Event::StopEnded, &[("process", &self.name)]);
                return Ok(Exit::Finished);
            }
            if stop_deadline.is_some_and(|stop_deadline| self.clock.now().mono >= stop_deadline) {
                return Ok(self.abort());
            }
        }
    }

    /// Logs the requests that are aborted and returns the exit status.
    fn abort(&self) -> Exit {
        let aborted = self.role.borrow().unfinished();
        let logged = aborted
            .iter()
            .take(MAX_LOGGED_REQUESTS)
            .map(ToString::to_string);
        let logged: Vec<_> = logged.collect();
        let fields: &[Field<'_>] = &[("count", &aborted.len()), ("requests", &logged.join(","))];
        event::log(Event::StopCut, fields);
        Exit::Aborted(aborted.len())
    }

    fn tick(self: &Rc<Self>) {
        self.with_role(R::tick);
        let now = self.clock.now();
        self.links.close_idle(now.mono);
        if now.mono >= self.next_fleet_tick.get() {
            self.next_fleet_tick.set(now.mono + policy::fleet::TICK);
            self.handle_fleet_event(FleetEvent::Tick);
            self.update_members();
            self.record_metrics();
        }
    }

    fn record_metrics(&self) {
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

    fn with_role(self: &Rc<Self>, event: impl FnOnce(&mut R, Now, &mut Outbox)) {
        let mut out = Outbox::default();
        event(&mut self.role.borrow_mut(), self.clock.now(), &mut out);
        self.apply_outbox(out);
    }

    fn apply_outbox(self: &Rc<Self>, out: Outbox) {
        for outgoing in out.messages {
            let host = self.clone();
            actix_rt::spawn(async move { host.deliver(outgoing).await });
        }
        for broadcast in out.broadcasts {
            self.handle_fleet_event(FleetEvent::Publish(broadcast));
        }
        if let Some(leaving) = out.leaving {
            self.handle_fleet_event(FleetEvent::Leaving(leaving));
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
        let replies = self.0.dispatch(envelope);
        self.0.envelope(&replies)
    }

    fn handle_malformed(&self, _error: EnvelopeError) -> Envelope {
        self.0.rejected.set(self.0.rejected.get() + 1);
        self.0.envelope(&[])
    }
}
