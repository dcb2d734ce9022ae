//! The exchange of state among the routers.
//!
//! Each router needs the sums of what all others have in flight, and needs to know
//! which others exist. It states its own state in a heartbeat. In a small fleet
//! heartbeats go to all others. In a larger one they go to a relay of the data centre;
//! relays exchange summaries of their groups and return a summary of the fleet
//! ([`topology`]). Messages are datagrams: each replaces the sender's previous one, so a
//! lost one costs freshness only.
//!
//! A relay is a router like any other. One that falls silent, or that knows nothing of
//! the routers that report to it, is replaced by the next in order.
//!
//! Invariants:
//! - An older message of a router never replaces a later one.
//! - A router counts as a member, among which limits are divided, until it was neither
//!   heard nor listed for [`MEMBER_TIMEOUT`], so that the shares of partitioned routers
//!   are not given to others. No message shortens that time.
//! - A confirmation of the configuration is dated by the echo of this router's own
//!   heartbeat, so it never appears more recent than it is, however many relays it
//!   passed.
//! - A summary for a router leaves out what that router reported itself.

pub mod message;
mod records;
mod summary;
pub mod topology;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::Display;
use rustc_hash::FxHashMap;

use super::confirmation::Uptime;
use super::fair_share::TeamRate;
use super::target_table::{LoadReport, PeerLoadReport};
use message::{Beat, CentreTag, CrashRow, Echo, LoadRow, Message, Place, Scope, TeamRow, Trouble};
use records::RecordLog;
use summary::{PartialSummary, ReceivedSummary};
use topology::{Located, Topology};

/// The time between two calls of [`Exchange::tick`].
pub const PERIOD: Duration = Duration::from_millis(100);

/// The maximum number of heartbeats in one period; with more partners each gets one
/// every few periods.
const MAX_BEATS_PER_PERIOD: usize = 24;

/// The number of periods between two heartbeats to unreachable and unknown routers.
const CONTACT_PERIODS: u32 = 10;

/// Like [`CONTACT_PERIODS`], during [`DISCOVERY_TIME`].
const DISCOVERY_CONTACT_PERIODS: u32 = 2;

/// The maximum number of unreachable members that get a heartbeat at once.
const MAX_CONTACTED_MEMBERS: usize = 16;

/// The time after its start in which a router discovers all others.
pub const DISCOVERY_TIME: Duration = Duration::from_secs(3);

/// The silence after which a router's own messages are no longer used.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// The time since it was last listed after which a router that does not send its
/// heartbeats here is unreachable. Longer than [`PEER_TIMEOUT`], so that the replacement
/// of a relay does not make the routers behind it unreachable.
const LISTED_TIMEOUT: Duration = Duration::from_secs(3);

/// The time after which a silent router no longer counts as a member.
pub const MEMBER_TIMEOUT: Duration = Duration::from_secs(30);

/// The silence after which a router reports to another relay.
const RELAY_TIMEOUT: Duration = Duration::from_millis(600);

/// The age at which the summary of a group is no longer used: the routers of the group
/// have reported to another relay by then.
const GROUP_TIMEOUT: Duration = Duration::from_millis(1_200);

/// How long a router does not report again to a relay that fell silent.
const RELAY_REST: Duration = Duration::from_secs(5);

/// How long routers stay with a relay that is none any more.
const TOPOLOGY_DELAY: Duration = Duration::from_secs(2);

/// The gap between two ticks that shows that this process did not run, so that the
/// silence of others means nothing.
const MAX_TICK_GAP: Duration = Duration::from_millis(400);

/// The age of a group member's last heartbeat from which on another relay's claim to it
/// is believed.
const HANDOVER_AGE: Duration = Duration::from_millis(350);

/// How long a router that became a relay still uses its former relay's summary, and how
/// long former partners are told of a change.
const ROLE_CHANGE_TIME: Duration = Duration::from_millis(300);

/// The minimum time between two replies to a router that does not know the fleet.
const MIN_REPLY_INTERVAL: Duration = Duration::from_millis(500);

/// The number of addresses in a heartbeat; successive heartbeats carry successive ones.
const BEAT_ADDRESSES: usize = 16;

/// The maximum number of members and contacts.
const MAX_ROUTERS: usize = 4_096;

/// The maximum number of crash records in a heartbeat.
const MAX_CRASH_ROWS: usize = 48;

/// The maximum number of leaving targets sent at once.
const MAX_LEAVING_ROWS: usize = 512;

/// The number of heartbeats whose send times are kept for matching echoes.
const MAX_SENT_BEATS: usize = 64;

/// The present, on both clocks that the exchange needs.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Moment {
    /// The steady clock.
    pub mono: Instant,
    /// The clock that includes suspensions of the VM.
    pub uptime: Uptime,
}

/// What identifies this router.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Identity {
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: CentreTag,
    /// Its incarnation; a later one has a higher number.
    pub incarnation: u64,
}

/// The state of this router that it reports.
#[derive(Clone, Copy, Debug)]
pub struct LocalState<'a> {
    /// Its load on each target.
    pub loads: &'a [LoadReport],
    /// The requested and admitted rate of each team.
    pub teams: &'a [(u64, TeamRate)],
    /// The targets with problems.
    pub problem_targets: &'a [u64],
    /// The digest of the operators' settings.
    pub digest: u64,
    /// The time since these were last confirmed.
    pub confirmation_age: Option<Duration>,
    /// Whether a planned stop has begun.
    pub is_stopping: bool,
}

/// A message to be sent.
#[derive(Clone, PartialEq, Debug)]
pub struct Outgoing {
    /// The receiver.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// Why a message was ignored.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Display)]
pub enum RejectReason {
    /// It is not later than one that arrived before.
    #[display("old")]
    Old,
    /// No heartbeat of the sender's incarnation was received.
    #[display("unknown-sender")]
    UnknownSender,
    /// Its part numbers contradict each other or the other parts.
    #[display("malformed")]
    Malformed,
    /// It claims to be from this router.
    #[display("own")]
    Own,
}

/// What a received message says to the rest of the router.
#[derive(Clone, Default, PartialEq, Debug)]
pub struct Received {
    /// Why the message was ignored, if it was.
    pub rejected: Option<RejectReason>,
    /// The digest of settings that the sender knew to be current at that time.
    pub confirmation: Option<(u64, Uptime)>,
    /// Crashes that were not known.
    pub crashes: Vec<CrashRow>,
    /// Leaving targets that were not known.
    pub leaving: Vec<u64>,
    /// Whether the sender should get a reply at once; see [`Exchange::replies`].
    pub wants_reply: bool,
    /// Whether the sender was not reachable before.
    pub is_new: bool,
}

/// A change of what is known of other routers, to be logged.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PeerEvent {
    /// A router became reachable.
    Reachable(SocketAddr),
    /// A router fell silent.
    Failed(SocketAddr),
    /// This router reports to another relay, or is a relay itself.
    RelayChosen {
        /// The relay, if it is not this router.
        relay: Option<SocketAddr>,
        /// The relay that fell silent, if that is the reason.
        silent: Option<SocketAddr>,
    },
}

/// What the other routers reported.
#[derive(Clone, Default, Debug)]
pub struct FleetView {
    /// The loads.
    pub reports: Vec<PeerLoadReport>,
    /// The requested and admitted rate of each team, summed over the others.
    pub teams: FxHashMap<u64, TeamRate>,
    /// The number of routers that report problems with each target.
    pub problem_counts: FxHashMap<u64, u32>,
}

/// A router that sends its heartbeats here.
#[derive(Clone, Debug)]
struct Peer {
    beat: Beat,
    heard_at: Instant,
    loads: PeerLoadReport,
    trouble: Option<Trouble>,
    summary: Option<ReceivedSummary>,
    partial: Option<PartialSummary>,
    replied_at: Option<Instant>,
    /// The period in which it was last sent a summary.
    summarized_at: Option<u32>,
    /// The roster that was last sent to it, and when.
    listed: Option<(u64, Instant)>,
}

impl Peer {
    fn is_live(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard_at) < PEER_TIMEOUT
    }

    fn relay(&self) -> Option<SocketAddr> {
        self.beat.place.map(|place| place.relay)
    }

    fn is_relay(&self) -> bool {
        self.relay() == Some(self.beat.from)
    }

    /// Whether it sends its heartbeats to the router `own`, which reports to `relay`.
    fn reports_to(&self, own: SocketAddr, relay: Option<SocketAddr>) -> bool {
        match (self.relay(), relay) {
            (None, _) => true,
            (Some(_), Some(relay)) => self.beat.from == relay,
            (Some(chosen), None) => chosen == own || self.is_relay(),
        }
    }

    /// Returns the targets with problems, if they belong to its latest heartbeat.
    fn problem_targets(&self) -> &[u64] {
        let is_current = |it: &&Trouble| it.life == self.beat.life && it.number == self.beat.number;
        let trouble = self.trouble.as_ref().filter(is_current);
        trouble.map_or(&[], |it| it.targets.as_slice())
    }
}

/// A router that is known, from itself or from a relay.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Member {
    centre: Option<CentreTag>,
    /// When it was last heard or listed.
    seen_at: Instant,
    is_reachable: bool,
    /// Whether it may be a relay: it is neither starting nor stopping.
    is_steady: bool,
    reads: bool,
}

/// The exchange of state of one router with the others.
#[derive(Clone, Debug)]
pub struct Exchange {
    own: Identity,
    /// The age of a confirmation at which a router is not relied on to read the store.
    lost_age: Duration,
    started: Instant,
    ticked_at: Instant,
    ticks: u32,
    sequence: u32,
    is_stopping: bool,
    seeds: Vec<SocketAddr>,
    /// Addresses at which there may be routers, and when they were first heard of.
    contacts: BTreeMap<SocketAddr, Instant>,
    /// Ordered, so that messages are sent in a fixed order.
    peers: BTreeMap<SocketAddr, Peer>,
    members: BTreeMap<SocketAddr, Member>,
    /// Counts changes of the members.
    roster: u64,
    /// The roster, and whether this router was settled, for which the topology holds.
    topology_basis: Option<(u64, bool, bool)>,
    topology: Topology,
    /// When the relays last changed.
    topology_since: Instant,
    /// The relays in the order of preference.
    preferred: Vec<SocketAddr>,
    /// The relay to which this router reports; `None` if it is a relay itself.
    relay: Option<SocketAddr>,
    relay_since: Instant,
    /// The routers to which this one sent its heartbeats before that.
    former_partners: Vec<SocketAddr>,
    /// Relays that fell silent, and until when they are not chosen.
    resting_relays: BTreeMap<SocketAddr, Instant>,
    /// The latest summary of the fleet from this router's relay.
    fleet: Option<ReceivedSummary>,
    sent_beats: VecDeque<(u32, Uptime)>,
    crashes: RecordLog<CrashRow>,
    leaving: RecordLog<u64>,
    events: Vec<PeerEvent>,
}

impl Exchange {
    /// Creates the state of a router that knows only `seeds`, which may be stale.
    ///
    /// `lost_age` is the age of a confirmation at which a router is not relied on to
    /// read the store.
    pub fn new(own: Identity, seeds: &[SocketAddr], lost_age: Duration, now: Instant) -> Self {
        let mut exchange = Self {
            own,
            lost_age,
            started: now,
            ticked_at: now,
            ticks: 0,
            sequence: 0,
            is_stopping: false,
            seeds: Vec::new(),
            contacts: BTreeMap::new(),
            peers: BTreeMap::new(),
            members: BTreeMap::new(),
            roster: 0,
            topology_basis: None,
            topology: Topology::default(),
            topology_since: now,
            preferred: Vec::new(),
            relay: None,
            relay_since: now,
            former_partners: Vec::new(),
            resting_relays: BTreeMap::new(),
            fleet: None,
            sent_beats: VecDeque::new(),
            crashes: RecordLog::new(MAX_CRASH_ROWS),
            leaving: RecordLog::new(MAX_LEAVING_ROWS),
            events: Vec::new(),
        };
        exchange.set_seeds(seeds);
        exchange
    }

    /// Replaces the addresses at which other routers are sought.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        let own = self.own.address;
        self.seeds = seeds.iter().copied().filter(|&seed| seed != own).collect();
    }

    /// Whether this router had time to discover all others.
    pub fn is_settled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) >= DISCOVERY_TIME
    }

    /// Whether other routers report to this one, or would in its own view.
    pub fn is_relay(&self) -> bool {
        self.relay.is_none()
    }

    /// The relay to which this router reports, unless it is one itself.
    pub fn relay(&self) -> Option<SocketAddr> {
        self.relay
    }

    /// All members and whether they are reachable, in a fixed order.
    pub fn members(&self) -> impl Iterator<Item = (SocketAddr, bool)> {
        let members = self.members.iter();
        members.map(|(&address, member)| (address, member.is_reachable))
    }

    /// The reachable routers.
    pub fn reachable(&self) -> impl Iterator<Item = SocketAddr> {
        let reachable = self.members().filter(|(_, is_reachable)| *is_reachable);
        reachable.map(|(address, _)| address)
    }

    /// The reachable routers on which others can rely to read the store.
    pub fn readers(&self) -> impl Iterator<Item = SocketAddr> {
        let readers = self.members.iter();
        let readers = readers.filter(|(_, member)| member.is_reachable && member.reads);
        readers.map(|(&address, _)| address)
    }

    /// Takes the changes since the last call.
    pub fn take_events(&mut self) -> Vec<PeerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Adds crashes of targets, to be sent to the others; returns those that are new.
    pub fn add_crashes(
        &mut self,
        rows: impl IntoIterator<Item = CrashRow>,
        now: Instant,
    ) -> Vec<CrashRow> {
        self.crashes.add(rows, now)
    }

    /// Adds targets that said that they are leaving, to be sent to the others; returns
    /// those that are new.
    pub fn add_leaving(
        &mut self,
        targets: impl IntoIterator<Item = u64>,
        now: Instant,
    ) -> Vec<u64> {
        self.leaving.add(targets, now)
    }

    /// Returns the messages of one period.
    pub fn tick(&mut self, local: &LocalState<'_>, now: Moment) -> Vec<Outgoing> {
        let gap = now.mono.saturating_duration_since(self.ticked_at);
        if gap > MAX_TICK_GAP {
            self.relay_since = now.mono;
        }
        self.ticked_at = now.mono;
        self.ticks = self.ticks.wrapping_add(1);
        self.is_stopping = local.is_stopping;
        self.expire(now.mono);
        self.update_topology(now.mono);
        self.choose_relay(now.mono);
        let mut partners = self.partners(now.mono);
        let since = now.mono.saturating_duration_since(self.relay_since);
        if since < ROLE_CHANGE_TIME {
            partners.extend_from_slice(&self.former_partners);
            partners.sort_unstable();
            partners.dedup();
        }
        let rounds = partners.len().div_ceil(MAX_BEATS_PER_PERIOD).max(1);
        let turn = self.ticks as usize % rounds;
        let due = partners.into_iter().enumerate();
        let due = due.filter(|(index, _)| index % rounds == turn);
        let mut due: Vec<SocketAddr> = due.map(|(_, address)| address).collect();
        let contact_periods = match self.is_settled(now.mono) {
            true => CONTACT_PERIODS,
            false => DISCOVERY_CONTACT_PERIODS,
        };
        if self.ticks.is_multiple_of(contact_periods) {
            due.extend(self.addresses_to_contact());
        }
        if due.is_empty() {
            return Vec::new();
        }
        let sent = self.messages_to(&due, local, now);
        if turn + 1 == rounds {
            self.crashes.count_repeat(now.mono);
            self.leaving.count_repeat(now.mono);
        }
        sent
    }

    /// Returns a heartbeat to each partner, or to each reachable router, that states the
    /// settings just read from the store.
    pub fn announce(&mut self, local: &LocalState<'_>, to_all: bool, now: Moment) -> Vec<Outgoing> {
        let mut due: BTreeSet<SocketAddr> = self.partners(now.mono).into_iter().collect();
        if to_all {
            due.extend(self.reachable());
        }
        let due: Vec<SocketAddr> = due.into_iter().collect();
        match due.is_empty() {
            true => Vec::new(),
            false => self.beats_to(&due, local, now),
        }
    }

    /// Returns the reply to a router that does not know the fleet: a heartbeat and a
    /// summary with all members.
    pub fn replies(
        &mut self,
        to: SocketAddr,
        local: &LocalState<'_>,
        now: Moment,
    ) -> Vec<Outgoing> {
        let mut sent = self.beats_to(&[to], local, now);
        if self.members.len() >= topology::MAX_DIRECT_ROUTERS {
            if let Some(peer) = self.peers.get_mut(&to) {
                peer.listed = None;
            }
            sent.extend(self.summaries(&[(to, Scope::Fleet)], local, now.mono));
        }
        sent
    }

    /// Applies a message.
    pub fn receive(&mut self, message: Message, now: Moment) -> Received {
        match message {
            Message::Beat(beat) => self.receive_beat(*beat, now.mono),
            Message::Summary(summary) => self.receive_summary(*summary, now.mono),
            Message::Trouble(trouble) => match self.peers.get_mut(&trouble.from) {
                Some(peer) => {
                    peer.trouble = Some(trouble);
                    Received::default()
                }
                None => Received::rejected(RejectReason::UnknownSender),
            },
            Message::Leaving(targets) => Received {
                leaving: self.leaving.add(targets, now.mono),
                ..Received::default()
            },
        }
    }

    fn receive_beat(&mut self, mut beat: Beat, now: Instant) -> Received {
        let from = beat.from;
        if from == self.own.address {
            return Received::rejected(RejectReason::Own);
        }
        let previous = self.peers.remove(&from);
        let latest = previous.as_ref().map(|it| (it.beat.life, it.beat.number));
        if latest.is_some_and(|latest| (beat.life, beat.number) <= latest) {
            self.peers.extend(previous.map(|peer| (from, peer)));
            return Received::rejected(RejectReason::Old);
        }
        // A later incarnation knows nothing of what the former one was sent.
        let previous = previous.filter(|it| it.beat.life == beat.life);
        let reads = beat.confirmed.map(u64::from).map(Duration::from_millis);
        let reads = !beat.leaving && reads.is_some_and(|age| age < self.lost_age);
        let is_known = self.members.get(&from).is_some_and(|it| it.is_reachable);
        self.see(
            from,
            Member {
                centre: beat.place.map(|place| place.centre),
                seen_at: now,
                is_reachable: true,
                is_steady: !beat.leaving && beat.place.is_none_or(|place| place.is_settled),
                reads,
            },
        );
        let crashes = self.crashes.add(beat.crashes.drain(..), now);
        let confirmation = self.date_confirmation(&beat);
        for address in beat.peers.drain(..) {
            let has_room = self.contacts.len() < MAX_ROUTERS;
            if address != self.own.address && has_room && !self.members.contains_key(&address) {
                self.contacts.entry(address).or_insert(now);
            }
        }
        let loads = PeerLoadReport {
            received_at: now,
            reports: beat
                .loads
                .drain(..)
                .map(|row| LoadReport::from(&row))
                .collect(),
        };
        let mut peer = previous.unwrap_or_else(|| Peer {
            beat: beat.clone(),
            heard_at: now,
            loads: loads.clone(),
            trouble: None,
            summary: None,
            partial: None,
            replied_at: None,
            summarized_at: None,
            listed: None,
        });
        let knows_fleet = peer.listed.is_some()
            || beat.place.is_none_or(|place| place.relay != from)
            || self.topology.is_relay(from);
        let may_reply = peer
            .replied_at
            .is_none_or(|at| now.saturating_duration_since(at) >= MIN_REPLY_INTERVAL);
        let wants_reply = may_reply && (!is_known || !knows_fleet);
        if wants_reply {
            peer.replied_at = Some(now);
        }
        (peer.beat, peer.heard_at, peer.loads) = (beat, now, loads);
        self.peers.insert(from, peer);
        Received {
            confirmation,
            crashes,
            wants_reply,
            is_new: !is_known,
            ..Received::default()
        }
    }

    /// Returns the digest of the sender's settings and when they were current, if its
    /// echo shows that.
    fn date_confirmation(&self, beat: &Beat) -> Option<(u64, Uptime)> {
        let echo = beat.echo.filter(|echo| echo.life == self.own.incarnation)?;
        let age = Duration::from_millis(beat.confirmed?.into());
        let mut sent = self.sent_beats.iter();
        let (_, at) = sent.find(|(number, _)| *number == echo.number)?;
        Some((beat.digest, Uptime(at.0.checked_sub(age)?)))
    }

    /// Records that a router was heard or listed.
    fn see(&mut self, address: SocketAddr, seen: Member) {
        self.contacts.remove(&address);
        if self.members.len() >= MAX_ROUTERS && !self.members.contains_key(&address) {
            return;
        }
        let previous = self.members.insert(address, seen);
        let is_same = |old: Member| {
            Member {
                seen_at: seen.seen_at,
                ..old
            } == seen
        };
        if !previous.is_some_and(is_same) {
            self.roster += 1;
        }
        if !previous.is_some_and(|old| old.is_reachable) {
            self.events.push(PeerEvent::Reachable(address));
        }
    }

    fn expire(&mut self, now: Instant) {
        let (own, relay) = (self.own.address, self.relay);
        let count = self.members.len();
        for (&address, member) in &mut self.members {
            let peer = self.peers.get(&address);
            let is_direct = peer.is_some_and(|peer| peer.reports_to(own, relay));
            let limit = match is_direct {
                true => PEER_TIMEOUT,
                false => LISTED_TIMEOUT,
            };
            let silence = now.saturating_duration_since(member.seen_at);
            if member.is_reachable && silence >= limit {
                member.is_reachable = false;
                self.roster += 1;
                self.events.push(PeerEvent::Failed(address));
            }
        }
        self.members
            .retain(|_, member| now.saturating_duration_since(member.seen_at) < MEMBER_TIMEOUT);
        if self.members.len() != count {
            self.roster += 1;
        }
        let members = &self.members;
        self.peers
            .retain(|address, _| members.contains_key(address));
        self.contacts
            .retain(|_, &mut heard_at| now.saturating_duration_since(heard_at) < MEMBER_TIMEOUT);
        self.resting_relays.retain(|_, &mut until| until > now);
    }

    /// Derives the relays anew if the members have changed.
    fn update_topology(&mut self, now: Instant) {
        let basis = (self.roster, self.is_settled(now), self.is_stopping);
        if self.topology_basis.replace(basis) == Some(basis) {
            return;
        }
        let own = Located {
            address: self.own.address,
            centre: self.own.centre,
        };
        let own_is_steady = self.is_settled(now) && !self.is_stopping;
        let mut routers = vec![(own, own_is_steady)];
        for (&address, member) in self.members.iter().filter(|(_, it)| it.is_reachable) {
            if let Some(centre) = member.centre {
                routers.push((Located { address, centre }, member.is_steady));
            }
        }
        let topology = Topology::new(&routers);
        if topology != self.topology {
            self.topology = topology;
            self.topology_since = now;
            self.preferred = self.topology.preferred_relays(own);
        }
    }

    /// Chooses the relay to which this router reports. A relay is kept while it is one.
    fn choose_relay(&mut self, now: Instant) {
        let mut silent = None;
        if let Some(relay) = self.relay {
            let heard_at = self.peers.get(&relay).map(|peer| peer.heard_at);
            let since = heard_at.max(Some(self.relay_since)).unwrap_or(now);
            if now.saturating_duration_since(since) >= RELAY_TIMEOUT {
                self.resting_relays.insert(relay, now + RELAY_REST);
                silent = Some(relay);
            }
        }
        let is_rested = |relay: &SocketAddr| !self.resting_relays.contains_key(relay);
        let is_near = |relay: SocketAddr| self.topology.centre_of(relay) == Some(self.own.centre);
        let preferred = self.preferred.iter().copied().find(is_rested);
        let age = now.saturating_duration_since(self.topology_since);
        let may_stay = |&relay: &SocketAddr| match self.topology.is_relay(relay) {
            // A relay of another data centre is left as soon as there is a near one.
            true => is_near(relay) || !preferred.is_some_and(is_near),
            // Members that come and go one after another would move routers each time.
            false => age < TOPOLOGY_DELAY && self.is_eligible(relay),
        };
        let current = self.relay.filter(is_rested).filter(may_stay);
        let relay = match () {
            () if self.topology.is_relay(self.own.address) || self.has_group(now) => None,
            () => current.or(preferred),
        };
        if relay != self.relay {
            // They must not count this router, or its group, twice.
            self.former_partners = self.partners(now);
            self.relay = relay;
            self.relay_since = now;
            self.events.push(PeerEvent::RelayChosen { relay, silent });
        }
    }

    /// Whether a router is known to be reachable and not to be stopping.
    fn is_eligible(&self, relay: SocketAddr) -> bool {
        let member = self.members.get(&relay);
        member.is_some_and(|it| it.is_reachable && it.is_steady)
    }

    /// Whether other routers report to this one.
    fn has_group(&self, now: Instant) -> bool {
        self.group(now).next().is_some()
    }

    /// The routers that report to this one.
    fn group(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let own = Some(self.own.address);
        let live = self.peers.values().filter(move |peer| peer.is_live(now));
        live.filter(move |peer| peer.relay() == own)
    }

    /// The routers to which this one sends its heartbeats, in a fixed order.
    fn partners(&self, now: Instant) -> Vec<SocketAddr> {
        let own = self.own.address;
        let live = self.peers.values().filter(|peer| peer.is_live(now));
        // The earlier version knows no relays.
        let mut partners: BTreeSet<SocketAddr> = live
            .clone()
            .filter(|peer| peer.beat.place.is_none())
            .map(|peer| peer.beat.from)
            .collect();
        match self.relay {
            Some(relay) => {
                partners.insert(relay);
            }
            None => {
                let reporting = live.filter(|it| it.is_relay() || it.relay() == Some(own));
                partners.extend(reporting.map(|peer| peer.beat.from));
                partners.extend(self.topology.relays().filter(|&relay| relay != own));
            }
        }
        partners.into_iter().collect()
    }

    /// The addresses at which a router may be that does not know this one.
    fn addresses_to_contact(&self) -> Vec<SocketAddr> {
        let is_reachable =
            |address: &SocketAddr| self.members.get(address).is_some_and(|it| it.is_reachable);
        let unreachable: Vec<SocketAddr> = self
            .members
            .iter()
            .filter(|(_, member)| !member.is_reachable)
            .map(|(&address, _)| address)
            .collect();
        let first = match unreachable.len() {
            0 => 0,
            count => self.ticks as usize * MAX_CONTACTED_MEMBERS % count,
        };
        let rotated = unreachable.iter().cycle().skip(first);
        let contacted = rotated.take(unreachable.len().min(MAX_CONTACTED_MEMBERS));
        let mut addresses: BTreeSet<SocketAddr> = contacted.copied().collect();
        addresses.extend(self.contacts.keys());
        addresses.extend(self.seeds.iter().filter(|seed| !is_reachable(seed)));
        addresses.into_iter().collect()
    }

    /// Returns heartbeats and, from a relay, summaries.
    fn messages_to(
        &mut self,
        to: &[SocketAddr],
        local: &LocalState<'_>,
        now: Moment,
    ) -> Vec<Outgoing> {
        let mut sent = self.beats_to(to, local, now);
        if self.has_group(now.mono) {
            let own = Some(self.own.address);
            let scope = |address: &SocketAddr| match self.peers.get(address) {
                Some(peer) if peer.beat.place.is_none() => None,
                Some(peer) if peer.relay() == own => Some((*address, Scope::Fleet)),
                Some(_) => Some((*address, Scope::Group)),
                None => None,
            };
            let receivers: Vec<(SocketAddr, Scope)> = to.iter().filter_map(scope).collect();
            sent.extend(self.paced_summaries(&receivers, local, now.mono));
        }
        sent
    }

    fn beats_to(
        &mut self,
        to: &[SocketAddr],
        local: &LocalState<'_>,
        now: Moment,
    ) -> Vec<Outgoing> {
        self.sequence += 1;
        // The time is read before the heartbeat is sent, so that an echo never confirms
        // a later time than the send time.
        self.sent_beats.push_back((self.sequence, now.uptime));
        if self.sent_beats.len() > MAX_SENT_BEATS {
            self.sent_beats.pop_front();
        }
        let beat = self.build_beat(local, now.mono);
        let trouble = (!local.problem_targets.is_empty()).then(|| {
            Message::Trouble(Trouble {
                from: self.own.address,
                life: self.own.incarnation,
                number: self.sequence,
                targets: local.problem_targets.to_vec(),
            })
        });
        let leaving = self.leaving.pending();
        let leaving = (!leaving.is_empty()).then_some(Message::Leaving(leaving));
        let has_group = self.has_group(now.mono);
        let mut sent = Vec::new();
        for &to in to {
            let before = trouble.iter().chain(&leaving).cloned();
            sent.extend(before.map(|message| Outgoing { to, message }));
            let mut beat = beat.clone();
            let peer = self.peers.get(&to);
            beat.echo = peer.map(|peer| Echo {
                life: peer.beat.life,
                number: peer.beat.number,
            });
            // A summary contains the loads of its sender.
            let gets_summary = has_group && peer.is_some_and(|it| it.beat.place.is_some());
            if gets_summary {
                (beat.loads, beat.teams) = (Vec::new(), Vec::new());
            }
            let message = Message::Beat(Box::new(beat));
            sent.push(Outgoing { to, message });
        }
        sent
    }

    fn build_beat(&self, local: &LocalState<'_>, now: Instant) -> Beat {
        let teams = local.teams.iter().map(|(team, rate)| TeamRow {
            team: *team,
            asked: rate.requested as u32,
            placed: rate.admitted as u32,
        });
        Beat {
            echo: None,
            digest: local.digest,
            // Rounded up, so that the confirmation never appears more recent than it is.
            confirmed: local.confirmation_age.map(|age| age.as_millis() as u32 + 1),
            from: self.own.address,
            life: self.own.incarnation,
            number: self.sequence,
            leaving: local.is_stopping,
            peers: self.sample_peers(),
            loads: local.loads.iter().map(LoadRow::from).collect(),
            teams: teams.collect(),
            crashes: self.crashes.pending(),
            place: Some(Place {
                centre: self.own.centre,
                relay: self.relay.unwrap_or(self.own.address),
                is_settled: self.is_settled(now),
            }),
        }
    }

    /// Returns some of the reachable routers, different ones in successive heartbeats.
    fn sample_peers(&self) -> Vec<SocketAddr> {
        let reachable: Vec<SocketAddr> = self.reachable().collect();
        let first = match reachable.len() {
            0 => return reachable,
            count => self.sequence as usize * BEAT_ADDRESSES % count,
        };
        let rotated = reachable.iter().cycle().skip(first);
        rotated
            .take(reachable.len().min(BEAT_ADDRESSES))
            .copied()
            .collect()
    }

    /// The routers of which this one uses the heartbeats. Those of others are contained
    /// in a summary; they came before a change of relays, or to find this router.
    fn used_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let (own, relay) = (self.own.address, self.relay);
        let live = self.peers.values().filter(move |peer| peer.is_live(now));
        live.filter(move |peer| peer.reports_to(own, relay))
    }

    /// The summaries in use: of all other relays, or of this router's relay.
    fn used_summaries(&self, now: Instant) -> impl Iterator<Item = &ReceivedSummary> {
        let is_relay = self.relay.is_none();
        let is_new_role = now.saturating_duration_since(self.relay_since) < ROLE_CHANGE_TIME;
        // The group of a former relay reports to others.
        let groups = self.peers.values();
        let groups = groups.filter(move |peer| is_relay && peer.is_relay());
        let groups = groups.filter_map(|peer| peer.summary.as_ref());
        let groups = groups.filter(|summary| summary.scope == Scope::Group);
        let fleet = self.fleet.iter().filter(move |_| !is_relay || is_new_role);
        let all = groups.chain(fleet);
        all.filter(move |it| {
            let age = now.saturating_duration_since(it.loads.received_at);
            age < match it.scope {
                Scope::Group => GROUP_TIMEOUT,
                Scope::Fleet => PEER_TIMEOUT,
            }
        })
    }

    /// What the other routers reported.
    pub fn view(&self, now: Instant) -> FleetView {
        let mut view = FleetView::default();
        for peer in self.used_peers(now) {
            view.reports.push(peer.loads.clone());
            add_teams(&mut view.teams, &peer.beat.teams);
            for &target in peer.problem_targets() {
                let count = view.problem_counts.entry(target).or_default();
                *count = count.saturating_add(1);
            }
        }
        for summary in self.used_summaries(now) {
            view.reports.push(summary.loads.clone());
            add_teams(&mut view.teams, &summary.teams);
            for row in &summary.problems {
                let count = view.problem_counts.entry(row.target).or_default();
                *count = count.saturating_add(row.count);
            }
        }
        view
    }
}

impl Received {
    fn rejected(reason: RejectReason) -> Self {
        Self {
            rejected: Some(reason),
            ..Self::default()
        }
    }
}

/// Adds the rows of a message to the sums of teams.
fn add_teams(sums: &mut FxHashMap<u64, TeamRate>, rows: &[TeamRow]) {
    for row in rows {
        let sum = sums.entry(row.team).or_default();
        sum.requested += f64::from(row.asked);
        sum.admitted += f64::from(row.placed);
    }
}

/// An own report, as if it had just been received.
fn own_report(loads: &[LoadReport], now: Instant) -> PeerLoadReport {
    PeerLoadReport {
        received_at: now,
        reports: Arc::from(loads),
    }
}
