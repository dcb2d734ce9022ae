//! State shared by all processes of the fleet: configuration, members and broadcasts.
//!
//! [`Fleet`] is the state machine that routers and agents run alike. It combines
//! the configuration in force ([`crate::revision`]), the member table
//! ([`crate::member`]), the readers of the configuration service
//! ([`crate::reader`]) and the broadcasts of other subsystems.
//!
//! Invariants:
//! - [`FleetAction::Adopt`] carries strictly increasing versions.
//! - [`FleetAction::Ready`] is emitted once, after a document is in force and
//!   reachable peers, if any, were asked for a higher version.
//! - A pause of this process does not make it suspect other processes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ::rules::Config;
use entity::{Incarnation, Now, ProcessId, RuleRef, StateMachine, Tag, TargetId};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::member::Members;
use crate::member::probe::Prober;
use crate::message::Endpoint;
use crate::reader::{ReadReason, ReadRequest, Reader, ServiceKey, ServiceResult};
use crate::revision::{Document, DocumentCompiler, Revisions};

mod alarm;
mod broadcast;
mod dump;
mod gossip;
pub mod message;
mod rules;
mod service;
mod vm_list;

pub use self::rules::RulesCompiler;
pub use alarm::Alarm;
pub use broadcast::{Broadcasts, MAX_BODY_BYTES, MAX_ITEMS};
pub use dump::{FleetDump, MemberDump};
pub use message::{Broadcast, Claim, FleetMessage, Gossip, Health, Role, Version};
pub use vm_list::{ListState, VmEntry, VmListError, parse_vm_list};

use service::PartReads;

/// The interval between [`FleetEvent::Tick`] events that the timeouts assume.
pub const TICK: Duration = Duration::from_millis(100);

/// The gap between two ticks from which on the process counts as paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(1500);

/// How long a starting process waits for known peers that do not answer.
pub const START_PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// The number of peers that a starting process must receive a message from before it is ready.
pub const START_PEERS: usize = 3;

/// The identity and settings of the process that runs a [`Fleet`].
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The endpoint of the process.
    pub endpoint: Endpoint,
    /// The role of the process.
    pub role: Role,
    /// The data centre of the process.
    pub centre: Tag,
    /// Addresses to contact at the start, in addition to those of the VM list.
    pub seeds: Vec<SocketAddr>,
    /// The seed of the random number generator.
    pub seed: u64,
}

/// An input of [`Fleet`].
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// An envelope of a peer carries the version in force at that peer.
    PeerVersion {
        /// The peer.
        endpoint: Endpoint,
        /// The version.
        version: Version,
    },
    /// A message from a peer arrived.
    Received {
        /// The peer.
        from: Endpoint,
        /// The message.
        message: FleetMessage,
    },
    /// A message could not be sent.
    SendFailed {
        /// The destination address.
        to: SocketAddr,
    },
    /// A read of the configuration service ended.
    ServiceAnswer {
        /// The key that was read.
        key: ServiceKey,
        /// The result of the read.
        result: ServiceResult,
    },
    /// Whether this process, or its target, refuses new work.
    Leaving(bool),
    /// Another subsystem broadcasts an item to every process.
    Publish(Broadcast),
    /// [`TICK`] has elapsed.
    Tick,
}

/// An output of [`Fleet`], which its driver carries out.
#[derive(Clone, Debug)]
pub enum FleetAction {
    /// Send a message; a failure is reported as [`FleetEvent::SendFailed`].
    Send {
        /// The destination address.
        to: SocketAddr,
        /// The message.
        message: FleetMessage,
    },
    /// Read the configuration service; the result is reported as [`FleetEvent::ServiceAnswer`].
    ReadService(ReadRequest),
    /// Put a new configuration in force.
    Adopt(Arc<Config>),
    /// Deliver a broadcast of another process that is new to this one.
    Deliver(Broadcast),
    /// Report a condition to operators.
    Alarm(Alarm),
    /// The set of live members, or of members that take new work, has changed.
    MembersChanged,
    /// The process uses this incarnation from now on; only emitted before [`Self::Ready`].
    Incarnation(Incarnation),
    /// The process may accept work.
    Ready,
}

/// Why no new work goes to a process.
#[derive(Clone, Copy, PartialEq, Eq, Debug, derive_more::Display)]
pub enum Leaving {
    /// A rule drains the target or its data centre.
    #[display("rule {_0}")]
    Rule(RuleRef),
    /// The VM list marks its VM as leaving.
    #[display("VM list")]
    Listed,
    /// The process announced it.
    #[display("announced")]
    Announced,
}

/// Why a process is not ready.
#[derive(Clone, Copy, PartialEq, Eq, Debug, derive_more::Display)]
pub enum NotReady {
    /// No document is in force: neither the service nor a peer supplied one.
    #[display("no rules from the service or a peer")]
    Document,
    /// A higher version is being fetched from a peer.
    #[display("fetching rules {_0}")]
    Fetch(Version),
    /// Known peers have not answered yet.
    #[display("waiting for peers")]
    Peers,
    /// A later incarnation of the process exists.
    #[display("superseded by incarnation {_0}")]
    Superseded(Incarnation),
}

/// The fleet state of one process.
#[derive(Debug)]
pub struct Fleet<C> {
    compiler: C,
    rng: ChaCha8Rng,
    seeds: Vec<SocketAddr>,
    members: Members,
    prober: Prober,
    revisions: Revisions,
    broadcasts: Broadcasts,
    rules_reader: Reader,
    vms_reader: Reader,
    part_reads: Option<PartReads>,
    /// The hash of the root document that was adopted last, and the version assembled from it.
    adopted_root: Option<(u64, Version)>,
    /// The index of the VM list that was applied last.
    vm_list_index: Option<u64>,
    confirmed_at: Option<Now>,
    started: Instant,
    last_tick: Instant,
    next_probe_at: Instant,
    next_push_at: Instant,
    next_sync_at: Instant,
    next_page_request_at: Instant,
    next_page_answer_at: Instant,
    /// The number of probes answered in the current probe period.
    acks_in_period: u32,
    /// The id that the next requested page of members starts after.
    page_cursor: ProcessId,
    /// The time since which the member table has differed from that of every peer that sent its
    /// digest.
    digest_differs_since: Option<Instant>,
    /// When the last message of a peer arrived.
    last_contact: Option<Instant>,
    /// When the first other process became known.
    first_member_at: Option<Instant>,
    /// The peers whose messages arrived before this process was ready.
    start_contacts: BTreeSet<ProcessId>,
    read_reason: ReadReason,
    push_pending: bool,
    members_changed: bool,
    ready: bool,
    superseded_by: Option<Incarnation>,
}

impl<C: DocumentCompiler> Fleet<C> {
    /// Creates the state of a process that has just started.
    pub fn new(settings: FleetSettings, compiler: C, now: Now) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let mono = now.mono;
        let vms_reader = Reader::new(ServiceKey::Vms, mono, &mut rng);
        // Reads the VM list first: once the peers are known, most processes need not read the
        // rules.
        let vm_list_read_by = mono + crate::reader::START_SPREAD;
        let rules_reader = Reader::new(ServiceKey::Rules, vm_list_read_by, &mut rng);
        Self {
            compiler,
            rng,
            seeds: settings.seeds,
            members: Members::new(settings.endpoint, settings.role, settings.centre),
            prober: Prober::default(),
            revisions: Revisions::default(),
            broadcasts: Broadcasts::default(),
            rules_reader,
            vms_reader,
            part_reads: None,
            adopted_root: None,
            vm_list_index: None,
            confirmed_at: None,
            started: mono,
            last_tick: mono,
            next_probe_at: mono,
            next_push_at: mono,
            next_sync_at: mono,
            next_page_request_at: mono,
            next_page_answer_at: mono,
            acks_in_period: 0,
            page_cursor: settings.endpoint.id,
            digest_differs_since: None,
            last_contact: None,
            first_member_at: None,
            start_contacts: BTreeSet::new(),
            read_reason: ReadReason::Reader,
            push_pending: false,
            members_changed: false,
            ready: false,
            superseded_by: None,
        }
    }

    /// The document in force.
    pub fn document(&self) -> Option<&Document> {
        self.revisions.current()
    }

    /// The version in force, for envelopes; the lowest version if no document is in force.
    pub fn version(&self) -> Version {
        self.revisions.version()
    }

    /// The last known time at which the service had nothing newer than the version in force.
    ///
    /// This is the time when the request was sent, so it never overstates freshness.
    pub fn confirmed_at(&self) -> Option<Now> {
        self.confirmed_at
    }

    /// The member table.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The broadcasts that this process stores.
    pub fn broadcasts(&self) -> &Broadcasts {
        &self.broadcasts
    }

    /// The endpoint of this process, with its current incarnation.
    pub fn endpoint(&self) -> Endpoint {
        self.members.own().endpoint
    }

    /// Whether the process may take work.
    pub fn is_ready(&self) -> bool {
        self.ready && self.superseded_by.is_none()
    }

    /// The later incarnation of this process, if one exists; this one must start no more work.
    pub fn superseded_by(&self) -> Option<Incarnation> {
        self.superseded_by
    }

    /// Why the process reads the configuration service.
    pub fn read_reason(&self) -> ReadReason {
        self.read_reason
    }

    /// How long ago the last message of a peer arrived; `None` if that is less than
    /// [`crate::reader::PEER_SILENCE_TIMEOUT`] or no other process is known.
    pub fn isolated_for(&self, now: Now) -> Option<Duration> {
        let last = self.last_contact.unwrap_or(self.started);
        let silence = now.mono.saturating_duration_since(last);
        (!self.members.is_empty() && silence >= crate::reader::PEER_SILENCE_TIMEOUT)
            .then_some(silence)
    }

    /// Why no new work goes to the target: a rule, the VM list or an announcement of its agent.
    pub fn leaving(&self, target: TargetId) -> Option<Leaving> {
        let config = &self.revisions.current()?.config;
        let id = ProcessId(config.names.targets.tag(target));
        let rule = config.drain_rule(target).map(Leaving::Rule);
        rule.or_else(|| self.process_leaving(id))
    }

    /// Whether messages are expected to reach a process; true for unknown processes.
    pub fn is_reachable(&self, now: Now, id: ProcessId) -> bool {
        let member = self.members.get(id);
        member.is_none_or(|member| member.is_reachable(now.mono))
    }

    /// Why no new work goes to a process: the VM list or its own announcement.
    pub fn process_leaving(&self, id: ProcessId) -> Option<Leaving> {
        let own = self.members.own();
        let claim = match self.members.get(id) {
            Some(member) => member.claim,
            None if own.endpoint.id == id => own,
            None => return None,
        };
        match claim {
            Claim { leaving: true, .. } => Some(Leaving::Announced),
            claim if claim.listing.leaving => Some(Leaving::Listed),
            _ => None,
        }
    }

    /// Why the process is not ready.
    pub fn not_ready(&self, now: Now) -> Option<NotReady> {
        let known_since = self.first_member_at.unwrap_or(now.mono);
        let may_wait = now.mono.saturating_duration_since(known_since) < START_PEER_TIMEOUT;
        let known = self.members.iter();
        let known = known.filter(|member| member.claim.health < Health::Dead);
        let required = known.take(START_PEERS).count();
        if let Some(incarnation) = self.superseded_by {
            return Some(NotReady::Superseded(incarnation));
        }
        match self.revisions.fetching() {
            _ if self.ready => None,
            _ if self.revisions.current().is_none() => Some(NotReady::Document),
            Some(version) => Some(NotReady::Fetch(version)),
            None if self.start_contacts.len() < required && may_wait => Some(NotReady::Peers),
            None => None,
        }
    }

    fn tick(&mut self, now: Now, actions: &mut Vec<FleetAction>) {
        let gap = now.mono.saturating_duration_since(self.last_tick);
        self.last_tick = now.mono;
        if gap >= PAUSE_THRESHOLD {
            self.recover_from_pause(now, gap, actions);
        }
        self.run_probes(now, actions);
        self.retry_fetch(now, actions);
        self.start_due_reads(now, actions);
        self.push_updates(now, actions);
    }

    fn finish_event(&mut self, now: Now, actions: &mut Vec<FleetAction>) {
        if std::mem::take(&mut self.members_changed) {
            actions.push(FleetAction::MembersChanged);
        }
        if !self.members.is_empty() {
            self.first_member_at.get_or_insert(now.mono);
        }
        if !self.ready && self.not_ready(now).is_none() {
            self.ready = true;
            actions.push(FleetAction::Ready);
        }
    }
}

impl<C: DocumentCompiler> StateMachine for Fleet<C> {
    type Event = FleetEvent;
    type Action = FleetAction;

    fn handle(&mut self, now: Now, event: FleetEvent, actions: &mut Vec<FleetAction>) {
        match event {
            FleetEvent::PeerVersion { endpoint, version } => {
                self.on_peer_version(now, endpoint, version, actions);
            }
            FleetEvent::Received { from, message } => self.on_message(now, from, message, actions),
            FleetEvent::SendFailed { .. } => {}
            FleetEvent::ServiceAnswer { key, result } => self.on_read(now, key, &result, actions),
            FleetEvent::Leaving(leaving) => self.push_pending |= self.members.announce(leaving),
            FleetEvent::Publish(item) => self.push_pending |= self.broadcasts.merge(now.wall, item),
            FleetEvent::Tick => self.tick(now, actions),
        }
        self.finish_event(now, actions);
    }
}
