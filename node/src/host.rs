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
use std::time::Duration;

use arc_swap::ArcSwapOption;
use entity::{Clock, Decision, Directory, DocumentHash, Now, RequestId, Revision, SystemClock};
use eyre::WrapErr;
use policy::message::Endpoint;
use rules::Config;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};
use wire::{Envelope, EnvelopeError, Message};

use crate::control::{self, Links, SharedBytes};
use crate::ops::{Explanation, Query, Source};

/// The interval of [`Role::tick`].
pub const TICK: Duration = Duration::from_millis(20);

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

impl Outgoing {
    /// One message.
    pub fn one(to: SocketAddr, message: Message) -> Self {
        Self {
            to,
            messages: vec![message],
        }
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
    fn configured(&mut self, now: Now, config: Arc<Config>, out: &mut Vec<Outgoing>);
    /// A traffic thread reports.
    fn input(&mut self, now: Now, input: Self::Input, out: &mut Vec<Outgoing>);
    /// A message arrived; what is returned is its direct answer.
    fn received(
        &mut self,
        now: Now,
        sender: Endpoint,
        message: Message,
        out: &mut Vec<Outgoing>,
    ) -> Vec<Message>;
    /// Messages could not be delivered or were not answered.
    fn undelivered(&mut self, now: Now, lost: Outgoing, out: &mut Vec<Outgoing>);
    /// Time has passed.
    fn tick(&mut self, now: Now, out: &mut Vec<Outgoing>);
    /// The process is to stop when its work has ended.
    fn stop(&mut self, now: Now, out: &mut Vec<Outgoing>);
    /// Whether the role can serve.
    fn readiness(&self) -> Readiness;
    /// What would be cut if the process ended at once.
    fn unfinished(&self) -> usize;
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

/// The control thread's state.
pub struct Host<R> {
    name: String,
    endpoint: Endpoint,
    clock: SystemClock,
    role: RefCell<R>,
    links: Links,
    bytes: SharedBytes,
    snapshot: Snapshot,
    rejected: Cell<u64>,
}

/// The channels into a control thread.
pub struct Inputs<I> {
    /// From traffic threads.
    pub traffic: mpsc::Receiver<I>,
    /// From the operators' listener.
    pub queries: mpsc::Receiver<Query>,
}

impl<R: Role> Host<R> {
    /// Creates the control state of the process `name`.
    pub fn new(name: String, endpoint: Endpoint, role: R, snapshot: Snapshot) -> Rc<Self> {
        let bytes = SharedBytes::default();
        Rc::new(Self {
            name,
            endpoint,
            clock: SystemClock,
            role: RefCell::new(role),
            links: Links::new(bytes.clone()),
            bytes,
            snapshot,
            rejected: Cell::new(0),
        })
    }

    /// Puts a configuration in force.
    pub fn adopt(self: &Rc<Self>, config: Arc<Config>) {
        self.snapshot.store(Some(config.clone()));
        self.step(|role, now, out| role.configured(now, config, out));
    }

    /// The names that the process has met.
    pub fn names(&self) -> Directory {
        let config = self.snapshot.load();
        config
            .as_ref()
            .map_or_else(Directory::default, |config| (*config.names).clone())
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
                    self.step(|role, now, out| role.tick(now, out));
                    self.links.close_idle(self.clock.now().mono);
                }
                () = terminate.next() => match limit {
                    Some(_) => return Ok(Exit::Cut(self.role.borrow().unfinished())),
                    None => {
                        limit = Some(self.clock.now().mono + stop_limit);
                        self.step(|role, now, out| role.stop(now, out));
                    }
                },
            }
            if self.role.borrow().readiness() == Readiness::Stopped {
                return Ok(Exit::Finished);
            }
            if limit.is_some_and(|limit| self.clock.now().mono >= limit) {
                return Ok(Exit::Cut(self.role.borrow().unfinished()));
            }
        }
    }

    fn step(self: &Rc<Self>, event: impl FnOnce(&mut R, Now, &mut Vec<Outgoing>)) {
        let mut out = Vec::new();
        event(&mut self.role.borrow_mut(), self.clock.now(), &mut out);
        self.send(out);
    }

    fn send(self: &Rc<Self>, out: Vec<Outgoing>) {
        for outgoing in combine(out) {
            let host = self.clone();
            actix_rt::spawn(async move { host.deliver(outgoing).await });
        }
    }

    async fn deliver(self: Rc<Self>, outgoing: Outgoing) {
        let envelope = self.envelope(&outgoing.messages);
        match self.links.exchange(outgoing.to, &envelope).await {
            Ok(answer) => self.process(&answer),
            Err(_) => self.step(|role, now, out| role.undelivered(now, outgoing, out)),
        }
    }

    /// Processes the messages of an envelope that answers one of ours.
    fn process(self: &Rc<Self>, envelope: &Envelope) {
        let direct = self.dispatch(envelope);
        debug_assert!(direct.is_empty(), "answers are not answered");
    }

    fn dispatch(self: &Rc<Self>, envelope: &Envelope) -> Vec<Message> {
        let (messages, skipped) = envelope.messages();
        self.rejected.set(self.rejected.get() + skipped as u64);
        let mut answers = Vec::new();
        for message in messages {
            self.step(|role, now, out| {
                answers.extend(role.received(now, envelope.sender, message, out));
            });
        }
        answers
    }

    fn envelope(&self, messages: &[Message]) -> Envelope {
        let (revision, hash) = self.in_force();
        Envelope::new(self.endpoint, revision, hash, messages)
    }

    fn in_force(&self) -> (Revision, DocumentHash) {
        let config = self.snapshot.load();
        config
            .as_ref()
            .map_or_else(Default::default, |config| (config.revision, config.hash))
    }

    fn answer(&self, query: Query) {
        let now = self.clock.now();
        let role = self.role.borrow();
        // A failed send means that the asker gave up.
        match query {
            Query::Ready(reply) => {
                let readiness = match role.readiness() {
                    Readiness::Ready => Ok(()),
                    Readiness::NotReady(why) => Err(why.to_owned()),
                    Readiness::Stopped => Err("stopped".to_owned()),
                };
                let _ = reply.send(readiness);
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
        let (revision, hash) = self.in_force();
        let bytes = *self.bytes.borrow();
        serde_json::json!({
            "process": self.name,
            "incarnation": self.endpoint.incarnation.0,
            "control": self.endpoint.control.to_string(),
            "revision": revision.0,
            "hash": hash.to_string(),
            "links": {
                "open": self.links.len(),
                "bytes_sent": bytes.sent,
                "bytes_received": bytes.received,
                "exchanges": bytes.exchanges,
                "rejected": self.rejected.get(),
            },
            "role": role.dump(now),
        })
    }

    fn explain(&self, decisions: Vec<Decision>) -> Explanation {
        let config = self.snapshot.load();
        let mut rules: Vec<_> = decisions
            .iter()
            .flat_map(|decision| &decision.rules)
            .collect();
        rules.sort_unstable();
        rules.dedup();
        let sources = rules.into_iter().filter_map(|&rule| {
            let source = config.as_ref().and_then(|config| config.source(rule))?;
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

/// Combines the messages to each address, in order of first appearance.
fn combine(out: Vec<Outgoing>) -> Vec<Outgoing> {
    let mut combined: Vec<Outgoing> = Vec::new();
    for outgoing in out {
        match combined.iter_mut().find(|known| known.to == outgoing.to) {
            Some(known) => known.messages.extend(outgoing.messages),
            None => combined.push(outgoing),
        }
    }
    combined
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
