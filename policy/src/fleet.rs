//! What the fleet knows together.
//!
//! [`Fleet`] is the same machine in routers and in agents. It composes the
//! configuration in force ([`crate::revision`]), the table of members
//! ([`crate::member`]), the readers of the configuration service
//! ([`crate::reader`]) and the broadcasts of other subsystems.
//!
//! Invariants:
//! - [`FleetAction::Adopt`] carries versions in rising order only.
//! - [`FleetAction::Ready`] is given once, after a document is in force and
//!   peers were asked for a higher one, if any can be reached.
//! - A pause of this process never turns into a suspicion of others.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ::rules::Config;
use entity::{Incarnation, Machine, Now, ProcessId, RuleRef, Tag, TargetId};
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

/// The time between two [`FleetEvent::Tick`] that the timeouts assume.
pub const TICK: Duration = Duration::from_millis(100);

/// A gap between two ticks after which the process counts as paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(1500);

/// How long a starting process waits for answers of peers that are named but silent.
pub const START_PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// The number of peers that a starting process hears before it is ready.
pub const START_PEERS: usize = 3;

/// What a fleet machine knows of its process.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// How peers reach the process.
    pub endpoint: Endpoint,
    /// What it does.
    pub role: Role,
    /// Its data centre.
    pub centre: Tag,
    /// Addresses to ask at the start, beside those of the VM list.
    pub seeds: Vec<SocketAddr>,
    /// The seed of its random choices.
    pub seed: u64,
}

/// What the machine is told.
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// An envelope of a peer states the version in force there.
    PeerVersion {
        /// The peer.
        endpoint: Endpoint,
        /// The version.
        version: Version,
    },
    /// A message of a peer.
    Received {
        /// The peer.
        from: Endpoint,
        /// The message.
        message: FleetMessage,
    },
    /// A message could not be delivered.
    SendFailed {
        /// Where it was to go.
        to: SocketAddr,
    },
    /// A read of the service ended.
    ServiceAnswer {
        /// The key.
        key: ServiceKey,
        /// How.
        result: ServiceResult,
    },
    /// This process, or its target, takes no new work, or takes it again.
    Leaving(bool),
    /// Another subsystem has a fact for every process.
    Publish(Broadcast),
    /// [`TICK`] has passed.
    Tick,
}

/// What the machine asks its driver to do.
#[derive(Clone, Debug)]
pub enum FleetAction {
    /// Send a message; failures come back as [`FleetEvent::SendFailed`].
    Send {
        /// Where.
        to: SocketAddr,
        /// The message.
        message: FleetMessage,
    },
    /// Read the service; the result comes back as [`FleetEvent::ServiceAnswer`].
    ReadService(ReadRequest),
    /// Put a configuration in force.
    Adopt(Arc<Config>),
    /// A fact of another process's subsystem is news here.
    Deliver(Broadcast),
    /// Tell the operators.
    Alarm(Alarm),
    /// Who lives, or who takes new work, has changed.
    MembersChanged,
    /// The process's own incarnation is this one from now on; only before it is ready.
    IncarnationRaised(Incarnation),
    /// The process may take work.
    Ready,
}

/// Why no new work goes to a process.
#[derive(Clone, Copy, PartialEq, Eq, Debug, derive_more::Display)]
pub enum Leaving {
    /// By a rule.
    #[display("rule {_0}")]
    Rule(RuleRef),
    /// The VM list calls its VM leaving.
    #[display("VM list")]
    Listed,
    /// It said so itself.
    #[display("announced")]
    Announced,
}

/// Why a process is not ready.
#[derive(Clone, Copy, PartialEq, Eq, Debug, derive_more::Display)]
pub enum NotReady {
    /// No document is in force: neither the service nor a peer gave one.
    #[display("no rules from the service or a peer")]
    Document,
    /// A higher version is being fetched.
    #[display("fetching rules {_0}")]
    Fetch(Version),
    /// Peers that are named have not answered yet.
    #[display("waiting for peers")]
    Peers,
    /// A later life of the process exists.
    #[display("replaced by a later life {_0}")]
    Superseded(Incarnation),
}

/// What one process knows of the fleet.
#[derive(Debug)]
pub struct Fleet<C> {
    compiler: C,
    rng: ChaCha8Rng,
    seeds: Vec<SocketAddr>,
    members: Members,
    prober: Prober,
    revisions: Revisions,
    broadcasts: Broadcasts,
    rules: Reader,
    vms: Reader,
    part_reads: Option<PartReads>,
    /// The hash of the root document from which the version in force was assembled.
    root: Option<(u64, Version)>,
    vms_index: Option<u64>,
    confirmed_at: Option<Now>,
    started: Instant,
    last_tick: Instant,
    next_probe_at: Instant,
    next_push_at: Instant,
    next_sync_at: Instant,
    next_page_request_at: Instant,
    next_page_at: Instant,
    acks_in_period: u32,
    page_cursor: ProcessId,
    /// Since when the table of members differs from each peer's that was heard.
    digest_differs_since: Option<Instant>,
    last_contact: Option<Instant>,
    first_member_at: Option<Instant>,
    start_contacts: BTreeSet<ProcessId>,
    read_reason: ReadReason,
    push_pending: bool,
    members_changed: bool,
    ready: bool,
    superseded_by: Option<Incarnation>,
}

impl<C: DocumentCompiler> Fleet<C> {
    /// Creates the machine of a process that has just started and knows nothing.
    pub fn new(settings: FleetSettings, compiler: C, now: Now) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let mono = now.mono;
        let vms = Reader::new(ServiceKey::Vms, mono, &mut rng);
        // The list comes first, since most processes then need not read the rules.
        let later = mono + crate::reader::START_SPREAD;
        let rules = Reader::new(ServiceKey::Rules, later, &mut rng);
        Self {
            compiler,
            rng,
            seeds: settings.seeds,
            members: Members::new(settings.endpoint, settings.role, settings.centre),
            prober: Prober::default(),
            revisions: Revisions::default(),
            broadcasts: Broadcasts::default(),
            rules,
            vms,
            part_reads: None,
            root: None,
            vms_index: None,
            confirmed_at: None,
            started: mono,
            last_tick: mono,
            next_probe_at: mono,
            next_push_at: mono,
            next_sync_at: mono,
            next_page_request_at: mono,
            next_page_at: mono,
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

    /// The version in force, for envelopes; the least one if there is none.
    pub fn version(&self) -> Version {
        self.revisions.version()
    }

    /// When the service last had nothing newer than the version in force, as far as is known.
    ///
    /// It is the time at which the question was sent, so it errs to the past.
    pub fn confirmed_at(&self) -> Option<Now> {
        self.confirmed_at
    }

    /// The members.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The broadcasts held.
    pub fn broadcasts(&self) -> &Broadcasts {
        &self.broadcasts
    }

    /// How this process is reached, with its incarnation.
    pub fn endpoint(&self) -> Endpoint {
        self.members.own().endpoint
    }

    /// Whether the process may take work.
    pub fn is_ready(&self) -> bool {
        self.ready && self.superseded_by.is_none()
    }

    /// The later life that has replaced this one; this one must start nothing any more.
    pub fn superseded_by(&self) -> Option<Incarnation> {
        self.superseded_by
    }

    /// Why the process reads the service.
    pub fn read_reason(&self) -> ReadReason {
        self.read_reason
    }

    /// Since when no peer was heard; `None` if one was within [`crate::reader::PEER_SILENCE_TIMEOUT`].
    pub fn isolated_for(&self, now: Now) -> Option<Duration> {
        let last = self.last_contact.unwrap_or(self.started);
        let silence = now.mono.saturating_duration_since(last);
        (!self.members.is_empty() && silence >= crate::reader::PEER_SILENCE_TIMEOUT)
            .then_some(silence)
    }

    /// Why no new work goes to the target, by rule, by the VM list or by its agent's word.
    pub fn leaving(&self, target: TargetId) -> Option<Leaving> {
        let config = &self.revisions.current()?.config;
        let id = ProcessId(config.names.targets.tag(target));
        let rule = config.drained(target).map(Leaving::Rule);
        rule.or_else(|| self.process_leaving(id))
    }

    /// Whether messages may be expected to reach a process; unknown ones may be tried.
    pub fn is_reachable(&self, now: Now, id: ProcessId) -> bool {
        let member = self.members.get(id);
        member.is_none_or(|member| member.is_reachable(now.mono))
    }

    /// Why no new work goes to a process, by the VM list or by its own word.
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
        let named_at = self.first_member_at.unwrap_or(now.mono);
        let patient = now.mono.saturating_duration_since(named_at) < START_PEER_TIMEOUT;
        let named = self.members.iter();
        let named = named.filter(|member| member.claim.health < Health::Dead);
        let needed = named.take(START_PEERS).count();
        if let Some(incarnation) = self.superseded_by {
            return Some(NotReady::Superseded(incarnation));
        }
        match self.revisions.fetching() {
            _ if self.ready => None,
            _ if self.revisions.current().is_none() => Some(NotReady::Document),
            Some(version) => Some(NotReady::Fetch(version)),
            None if self.start_contacts.len() < needed && patient => Some(NotReady::Peers),
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

impl<C: DocumentCompiler> Machine for Fleet<C> {
    type Event = FleetEvent;
    type Action = FleetAction;

    fn handle(&mut self, now: Now, event: FleetEvent, actions: &mut Vec<FleetAction>) {
        match event {
            FleetEvent::PeerVersion { endpoint, version } => {
                self.handle_peer_version(now, endpoint, version, actions)
            }
            FleetEvent::Received { from, message } => {
                self.handle_message(now, from, message, actions)
            }
            FleetEvent::SendFailed { .. } => {}
            FleetEvent::ServiceAnswer { key, result } => {
                self.handle_read_result(now, key, &result, actions)
            }
            FleetEvent::Leaving(leaving) => self.push_pending |= self.members.announce(leaving),
            FleetEvent::Publish(item) => self.push_pending |= self.broadcasts.merge(now.wall, item),
            FleetEvent::Tick => self.tick(now, actions),
        }
        self.finish_event(now, actions);
    }
}
