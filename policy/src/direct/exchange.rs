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
//! - A router that meets no other does not take itself for the whole fleet.
//! - A confirmation of the configuration is dated by the echo of this router's own
//!   heartbeat, so it never appears more recent than it is, however many relays it
//!   passed.
//! - A summary for a router leaves out what that router reported itself.

mod beat;
pub mod crashes;
pub mod kept;
pub mod limits;
mod members;
pub mod message;
pub mod parts;
pub mod rates;
mod records;
mod relay;
mod runs;
mod summary;
pub mod topology;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::Display;
use rustc_hash::FxHashMap;

use super::confirmation::Uptime;
use super::crash::CRASH_RECORD_TTL;
use super::fair_share::TeamRate;
use super::kept::KeptRow;
use super::rotation::{Neighbour, Readiness};
use super::target_table::{LoadReport, PeerLoadReport};
use crashes::CrashLog;
use kept::KeptLog;
use limits::LimitBook;
use message::{
    AgedCrashRow, Beat, CentreTag, CrashRow, Message, PartNews, RequestRunRow, Scope, TeamRow,
    Trouble,
};
use parts::PartLog;
use rates::RateBook;
use records::RecordLog;
use runs::RunLog;
use summary::{PartialSummary, ReceivedSummary};
use topology::Topology;

/// The time between two calls of [`Exchange::tick`].
pub const PERIOD: Duration = Duration::from_millis(100);

/// The maximum number of heartbeats in one period; with more partners each gets one
/// every few periods.
const MAX_BEATS_PER_PERIOD: usize = 24;

/// The number of periods between two heartbeats to unreachable and unknown routers.
const CONTACT_PERIODS: u32 = 10;

/// Like [`CONTACT_PERIODS`], during [`DISCOVERY_TIME`].
const DISCOVERY_CONTACT_PERIODS: u32 = 2;

/// The time after its start in which a router discovers all others.
pub const DISCOVERY_TIME: Duration = Duration::from_secs(3);

/// The silence after which a router's own messages are no longer used.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// The time after which a silent router no longer counts as a member.
pub const MEMBER_TIMEOUT: Duration = Duration::from_secs(30);

/// The age at which the summary of a group is no longer used: the routers of the group
/// have reported to another relay by then.
const GROUP_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The gap between two ticks that shows that this process did not run, so that the
/// silence of others means nothing.
const MAX_TICK_GAP: Duration = Duration::from_millis(400);

/// How long a router that became a relay still uses its former relay's summary, and how
/// long former partners are told of a change.
const ROLE_CHANGE_TIME: Duration = Duration::from_millis(300);

/// The maximum number of members and contacts.
const MAX_ROUTERS: usize = 4_096;

/// The maximum number of leaving targets sent at once.
const MAX_LEAVING_ROWS: usize = 512;

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
    /// Its readiness.
    pub readiness: Readiness,
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
    pub crashes: Vec<AgedCrashRow>,
    /// Completed runs of requests that were not known.
    pub request_runs: Vec<RequestRunRow>,
    /// Leaving targets that were not known.
    pub leaving: Vec<u64>,
    /// Uses of prompt parts at targets.
    pub kept: Vec<KeptRow>,
    /// Crashes under prompt parts, and runs that clear parts, that were not known.
    pub parts: PartNews,
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
    /// The other routers of the data centre.
    pub neighbours: Vec<Neighbour>,
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
    /// Whether it was told which parts targets keep, since it reports here.
    is_told_kept: bool,
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
    /// When this router met another one while it knew none.
    met_at: Option<Instant>,
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
    crashes: CrashLog,
    request_runs: RunLog<u128>,
    leaving: RecordLog<u64>,
    parts: PartLog,
    rates: RateBook,
    limits: LimitBook,
    kept: KeptLog,
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
            met_at: None,
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
            crashes: CrashLog::default(),
            request_runs: RunLog::default(),
            leaving: RecordLog::new(MAX_LEAVING_ROWS),
            parts: PartLog::default(),
            rates: RateBook::default(),
            limits: LimitBook::default(),
            kept: KeptLog::default(),
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

    /// Whether this router knows among how many limits are divided. Routers that meet none of
    /// the seeds cannot find each other, so one that is alone may be one of many, unless no
    /// others are named.
    pub fn knows_members(&self, now: Instant) -> bool {
        let known_since = match self.met_at {
            Some(met_at) => met_at,
            None if self.seeds.is_empty() => self.started,
            None => return false,
        };
        now.saturating_duration_since(known_since) >= DISCOVERY_TIME
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

    /// Replaces the crashes of the requests that this router rejects, each with the time of
    /// the latest one of its request.
    pub fn set_rejected(&mut self, rejected: Vec<(CrashRow, Instant)>) {
        self.crashes.set_rejected(rejected);
    }

    /// Adds completed runs of requests of which crashes are known, to be sent to the others.
    pub fn add_request_runs(&mut self, rows: Vec<RequestRunRow>, now: Moment) {
        self.request_runs.add_requests(rows, now.uptime.0);
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

    /// Adds crashes under prompt parts, and runs that clear parts, to be sent to the others.
    pub fn add_parts(&mut self, news: PartNews, now: Moment) {
        self.parts.add(news, now.uptime.0);
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
        let mut records = self.rates_to(&partners, now.mono);
        records.extend(self.limits_to(&partners, now.mono));
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
        records.extend(self.kept_messages(now));
        let mut sent = match due.is_empty() {
            true => Vec::new(),
            false => self.messages_to(&due, local, now),
        };
        sent.extend(records);
        // Without partners too: what is news now is not for a router that starts later.
        if turn + 1 == rounds {
            self.crashes.count_repeat(now.mono);
            self.request_runs
                .count_repeat(CRASH_RECORD_TTL, now.uptime.0);
            self.leaving.count_repeat(now.mono);
            self.parts.count_repeat(now.uptime.0);
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
        sent.extend(self.all_rates_to(to, now.mono));
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
            Message::Kept(update) => Received {
                kept: self.receive_kept(update, now),
                ..Received::default()
            },
            Message::Rates(update) => self.receive_rates(update, now.mono),
            Message::Limits(update) => self.receive_limits(update, now.mono),
            Message::Crashes(rows) => Received {
                crashes: self.crashes.add_told(rows, now.mono),
                ..Received::default()
            },
            Message::RequestRuns(rows) => Received {
                request_runs: self.request_runs.add_requests(rows, now.uptime.0),
                ..Received::default()
            },
            Message::Parts(news) => Received {
                parts: self.parts.add(news, now.uptime.0),
                ..Received::default()
            },
        }
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
        let mut view = FleetView {
            neighbours: self.neighbours(now),
            ..FleetView::default()
        };
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

    /// The other routers of the data centre, with what they say of their readiness.
    fn neighbours(&self, now: Instant) -> Vec<Neighbour> {
        let own = Some(self.own.centre);
        let stated = self.stated_readiness(now);
        let members = self.members.iter().filter(|(_, it)| it.centre == own);
        let neighbours = members.map(|(address, member)| Neighbour {
            address: *address,
            readiness: (member.is_reachable && member.is_steady)
                .then(|| stated.get(address).copied().unwrap_or_default()),
        });
        neighbours.collect()
    }

    /// What routers say of their readiness, in their own heartbeats or through a relay.
    fn stated_readiness(&self, now: Instant) -> BTreeMap<SocketAddr, Readiness> {
        let rows = self.used_summaries(now).flat_map(|it| &it.readiness);
        let listed = rows.map(|row| (row.address, row.readiness));
        let peers = self.used_peers(now);
        let heard = peers.filter_map(|it| Some((it.beat.from, it.beat.readiness?)));
        listed.chain(heard).collect()
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
