//! Exchanges state with the other routers by datagrams.
//!
//! Routers discover each other by the addresses in the settings, which may be stale,
//! and by the addresses that heartbeats carry. A router that was silent for a while is
//! forgotten unless the settings name it.
//!
//! Invariants:
//! - A heartbeat replaces the sender's previous one; an older one is ignored.
//! - A router counts as a member, among which limits are divided, until it was silent
//!   for [`MEMBER_TIMEOUT`], so that the shares of partitioned routers are not given
//!   to others.

mod listing;
mod origins;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use entity::{Clock, Fingerprint, SystemClock};
use node::event::{self, Event};
use policy::direct::cold::Members;
use policy::direct::confirmation::Uptime;
use policy::direct::crash::CrashRecord;
use policy::direct::fair_share::TeamRate;
use policy::direct::target::Target;
use policy::direct::target_table::{LoadReport, PeerLoadReport, TargetLoad};
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};
use wire::{
    Beat, CrashRow, Datagram, DatagramError, Echo, LoadRow, MAX_DATAGRAM_BYTES, TeamRow, Trouble,
};

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::{BootClock, SystemBootClock};
use crate::shared::{PeerState, Shared};
use crate::store::{PeerUpdate, StoreReader};

/// The time between two heartbeats to a peer while there are few peers.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(100);

/// The maximum number of peers to which every heartbeat is sent.
const MAX_FULL_FANOUT: usize = 8;

/// The number of heartbeat periods between two heartbeats to unreachable and unknown
/// routers.
const SEED_PERIODS: u32 = 10;

/// The minimum time between two publications of the peers' state while there are many
/// peers. A publication processes all reports of all peers, and many peers send
/// heartbeats continuously.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(80);

/// The silence after which a peer is unreachable and its report is no longer used.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// The time after its start in which a router discovers all others.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);

/// The number of heartbeat periods between two heartbeats to unreachable and unknown
/// routers during [`DISCOVERY_TIME`].
const DISCOVERY_SEED_PERIODS: u32 = 2;

/// The silence after which a router no longer counts as a member.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(30);

/// The number of peer addresses in a heartbeat; successive heartbeats carry successive
/// addresses.
const HEARTBEAT_ADDRESSES: usize = 16;

/// The maximum number of known addresses of routers.
const MAX_ROUTERS: usize = 2_048;

/// The number of heartbeats with which a crash record or a leaving target is repeated,
/// since datagrams may be lost.
const RECORD_REPEATS: u8 = 10;

/// The number of heartbeats whose send times are kept for matching echoes.
const MAX_SENT_HEARTBEATS: usize = 64;

struct Peer {
    incarnation: u64,
    sequence: u32,
    last_heard: Instant,
    reachable: bool,
    heartbeat: Beat,
    /// The loads on targets from the heartbeat.
    reports: Arc<[LoadReport]>,
    problem_targets: Option<Trouble>,
}

impl Peer {
    /// Returns the targets with problems, if they belong to its latest heartbeat.
    fn problem_targets(&self) -> &[u64] {
        let is_current = |it: &&Trouble| it.life == self.incarnation && it.number == self.sequence;
        let problems = self.problem_targets.as_ref().filter(is_current);
        problems.map_or(&[], |it| it.targets.as_slice())
    }

    /// Whether other routers can rely on it to read the store.
    fn can_read_store(&self, lost_age: Duration) -> bool {
        let confirmed = self
            .heartbeat
            .confirmed
            .map(u64::from)
            .map(Duration::from_millis);
        !self.heartbeat.leaving && confirmed.is_some_and(|age| age < lost_age)
    }
}

/// The exchange of state with the other routers.
pub(crate) struct Gossip {
    socket: UdpSocket,
    address: SocketAddr,
    incarnation: u64,
    sequence: u32,
    /// When this router started.
    started: Instant,
    /// Whether it had time to discover all others.
    is_settled: bool,
    /// When the peers' state was last published.
    last_published: Instant,
    /// Whether a heartbeat was received since then.
    is_stale: bool,
    /// The number of heartbeat periods since the start.
    ticks: u32,
    seeds: Vec<SocketAddr>,
    /// Ordered, so that heartbeats go to the peers in a fixed order.
    peers: BTreeMap<SocketAddr, Peer>,
    /// The sequence numbers and send times of the latest heartbeats.
    sent_heartbeats: VecDeque<(u32, Uptime)>,
    /// The received parts of incomplete listings.
    partial_listings: FxHashMap<(SocketAddr, u64), Vec<Option<Vec<Target>>>>,
    store: Rc<StoreReader>,
    crashes: Vec<(CrashRow, u8)>,
    known_crashes: FxHashSet<CrashRow>,
    /// Targets that told this router that they are leaving, with the remaining repeats.
    leaving: Vec<(u64, u8)>,
    shared: Arc<Shared>,
}

impl Gossip {
    /// Binds the socket.
    ///
    /// `seeds` gives the IP addresses of routers; all routers use the port of `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub(crate) async fn bind(
        address: SocketAddr,
        seeds: &[SocketAddr],
        incarnation: u64,
        shared: Arc<Shared>,
        store: Rc<StoreReader>,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let address = socket.local_addr()?;
        let mut gossip = Self {
            socket,
            address,
            incarnation,
            sequence: 0,
            started: SystemClock.now().mono,
            is_settled: false,
            last_published: SystemClock.now().mono,
            is_stale: false,
            ticks: 0,
            seeds: Vec::new(),
            peers: BTreeMap::new(),
            sent_heartbeats: VecDeque::new(),
            partial_listings: FxHashMap::default(),
            store,
            crashes: Vec::new(),
            known_crashes: FxHashSet::default(),
            leaving: Vec::new(),
            shared,
        };
        gossip.set_seeds(seeds);
        Ok(gossip)
    }

    fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        let port = self.address.port();
        let seeds = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port));
        self.seeds = seeds.filter(|&seed| seed != self.address).collect();
    }

    /// Sends and receives for as long as the process runs.
    pub(crate) async fn run(mut self, mut seeds: tokio::sync::watch::Receiver<Vec<SocketAddr>>) {
        let mut ticks = interval(HEARTBEAT_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let (store, shared) = (self.store.clone(), self.shared.clone());
        loop {
            tokio::select! {
                _ = ticks.tick() => self.send_heartbeats(),
                () = store.wait_for_update() => self.send_update(),
                () = shared.origin_asked.notified() => self.send_origin_queries(),
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(&buffer[..length], from),
                    // The ICMP error of an unreachable peer is reported by the next call.
                    Err(error) => log::debug!("datagram socket failed to receive: {error}"),
                },
                changed = seeds.changed() => if changed.is_ok() {
                    let new = seeds.borrow_and_update().clone();
                    self.set_seeds(&new);
                },
            }
        }
    }

    fn send_heartbeats(&mut self) {
        self.ticks = self.ticks.wrapping_add(1);
        let now = SystemClock.now().mono;
        self.expire_peers(now);
        self.publish_if_stale(now);
        self.send_origins(now);
        let reachable = self.peers.values().filter(|peer| peer.reachable).count();
        // With many peers, each gets a heartbeat only every few periods, so that the
        // cost of a period stays constant.
        let rounds = reachable.div_ceil(MAX_FULL_FANOUT).max(1) as u32;
        let turn = self.ticks % rounds;
        let reachable = self.peers.iter().filter(|(_, peer)| peer.reachable);
        let reachable = reachable
            .enumerate()
            .filter(|(index, _)| *index as u32 % rounds == turn);
        let mut to: Vec<SocketAddr> = reachable.map(|(_, (&address, _))| address).collect();
        let seed_periods = if self.is_settled {
            SEED_PERIODS
        } else {
            DISCOVERY_SEED_PERIODS
        };
        if self.ticks.is_multiple_of(seed_periods) {
            let unreachable = self.peers.iter().filter(|(_, peer)| !peer.reachable);
            to.extend(unreachable.map(|(&address, _)| address));
            let unknown = self
                .seeds
                .iter()
                .filter(|seed| !self.peers.contains_key(seed));
            to.extend(unknown);
        }
        if to.is_empty() {
            return;
        }
        self.send_heartbeat(&to);
        if turn + 1 == rounds {
            count_repeat(&mut self.crashes);
            count_repeat(&mut self.leaving);
        }
    }

    fn send_heartbeat(&mut self, to: &[SocketAddr]) {
        self.sequence += 1;
        let mut heartbeat = self.build_heartbeat();
        // The time is read before the heartbeat is sent, so that an echo never confirms
        // a later time than the send time.
        self.sent_heartbeats
            .push_back((self.sequence, SystemBootClock.uptime()));
        if self.sent_heartbeats.len() > MAX_SENT_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
        let targets = self.shared.local_report.load().problem_targets.clone();
        let problems = (!targets.is_empty()).then_some({
            Datagram::Trouble(Trouble {
                from: self.address,
                life: self.incarnation,
                number: self.sequence,
                targets,
            })
        });
        let leaving = self.shared.take_local_leaving().into_iter();
        self.leaving
            .extend(leaving.map(|target| (target, RECORD_REPEATS)));
        let leaving: Vec<u64> = self.leaving.iter().map(|(target, _)| *target).collect();
        let leaving = (!leaving.is_empty()).then_some(Datagram::Leaving(leaving));
        for address in to {
            for datagram in problems.iter().chain(&leaving) {
                self.send(datagram, *address);
            }
            heartbeat.echo = self.peers.get(address).map(|peer| Echo {
                life: peer.incarnation,
                number: peer.sequence,
            });
            self.send(&Datagram::Beat(heartbeat.clone()), *address);
        }
    }

    fn send(&self, datagram: &Datagram, to: SocketAddr) {
        // A failed send is equivalent to a datagram lost in the network.
        if let Err(error) = self.socket.try_send_to(&datagram.encode(), to) {
            log::debug!("cannot send datagram to {to}: {error}");
        }
    }

    /// Sends the peers the latest reading of the store at once.
    fn send_update(&mut self) {
        let reachable = self.peers.iter().filter(|(_, peer)| peer.reachable);
        let to: Vec<SocketAddr> = reachable.map(|(&address, _)| address).collect();
        let update = self.store.take_peer_update();
        if to.is_empty() {
            return;
        }
        match update {
            None => self.send_heartbeat(&to),
            Some(PeerUpdate::Full(revision, targets)) => self.send_listing(revision, &targets, &to),
            Some(PeerUpdate::Unchanged(unchanged)) => {
                for address in to {
                    self.send(&Datagram::Unchanged(unchanged), address);
                }
            }
        }
    }

    /// Stores the problem targets of a known peer until its next heartbeat.
    fn receive_problems(&mut self, problems: Trouble) {
        if let Some(peer) = self.peers.get_mut(&problems.from) {
            peer.problem_targets = Some(problems);
        }
    }

    /// Applies a peer's confirmation of the configuration, dated by its echo of a heartbeat.
    fn apply_confirmation(&self, heartbeat: &Beat) {
        let Some((echo, age)) = heartbeat.echo.zip(heartbeat.confirmed) else {
            return;
        };
        if echo.life != self.incarnation {
            return;
        }
        let mut sent = self.sent_heartbeats.iter();
        let Some((_, at)) = sent.find(|(sequence, _)| *sequence == echo.number) else {
            return;
        };
        let age = Duration::from_millis(age.into());
        if let Some(at) = at.0.checked_sub(age) {
            self.store
                .record_peer_confirmation(heartbeat.digest, Uptime(at));
        }
    }

    fn build_heartbeat(&mut self) -> Beat {
        for crash in self.shared.take_local_crashes() {
            let row = CrashRow {
                request: crash.request.0,
                target: crash.target,
            };
            if self.known_crashes.insert(row) {
                self.crashes.push((row, RECORD_REPEATS));
            }
        }
        let sheet = self.shared.local_report.load();
        let loads = sheet.loads.iter().map(|report| LoadRow {
            target: report.target,
            waiting: report.load.waiting_tokens as u32,
            count: report.load.attempts,
            memory: report.load.memory_tokens as u32,
        });
        let teams = sheet.teams.iter().map(|(team, rate)| TeamRow {
            team: *team,
            asked: rate.requested as u32,
            placed: rate.admitted as u32,
        });
        let confirmed = self.store.confirmation().age(SystemBootClock.uptime());
        // Rounded up, so that the confirmation never appears more recent than it is.
        let confirmed = confirmed.map(|age| age.as_millis() as u32 + 1);
        Beat {
            echo: None,
            digest: self.store.digest(),
            confirmed,
            from: self.address,
            life: self.incarnation,
            number: self.sequence,
            leaving: self.shared.is_stopping(),
            peers: self.sample_peers(),
            loads: loads.collect(),
            teams: teams.collect(),
            crashes: self.crashes.iter().map(|(row, _)| *row).collect(),
        }
    }

    /// Returns some of the reachable peers, different ones in successive heartbeats.
    fn sample_peers(&self) -> Vec<SocketAddr> {
        let reachable = self.peers.iter().filter(|(_, peer)| peer.reachable);
        let reachable: Vec<SocketAddr> = reachable.map(|(&address, _)| address).collect();
        let first = match reachable.len() {
            0 => return reachable,
            count => self.sequence as usize * HEARTBEAT_ADDRESSES % count,
        };
        let rotated = reachable.iter().cycle().skip(first);
        rotated
            .take(reachable.len().min(HEARTBEAT_ADDRESSES))
            .copied()
            .collect()
    }

    fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        let heartbeat = match Datagram::decode(bytes) {
            Ok(Datagram::Beat(heartbeat)) => heartbeat,
            Ok(Datagram::Listing(listing)) => return self.receive_listing(listing, from),
            Ok(Datagram::VersionedListing(listing)) => {
                return self.receive_listing(listing.into_listing(), from);
            }
            Ok(Datagram::Origins(origins)) => return self.receive_origins(&origins),
            Ok(Datagram::OriginQuery(query)) => return self.answer_query(&query, from),
            Ok(Datagram::Leaving(targets)) => return self.shared.add_peer_leaving(targets),
            Ok(Datagram::Trouble(problems)) => return self.receive_problems(problems),
            Ok(Datagram::Unchanged(unchanged)) => return self.store.adopt_unchanged(unchanged),
            Err(DatagramError::Version) => {
                event::log(Event::VersionRefused, &[("peer", &from)]);
                return;
            }
            Err(DatagramError::Garbage) => {
                event::log(Event::MessageRefused, &[("peer", &from)]);
                return;
            }
        };
        if heartbeat.from == self.address {
            return;
        }
        let now = SystemClock.now().mono;
        let previous = self.peers.get(&heartbeat.from);
        let is_old = previous.is_some_and(|peer| {
            (heartbeat.life, heartbeat.number) <= (peer.incarnation, peer.sequence)
        });
        if is_old {
            return;
        }
        let peer_was_reachable = previous.is_some_and(|peer| peer.reachable);
        if !peer_was_reachable {
            let fields: [event::Field<'_>; 2] =
                [("peer", &heartbeat.from), ("life", &heartbeat.life)];
            event::log(Event::PeerReachable, &fields);
        }
        self.merge_crashes(&heartbeat.crashes);
        self.apply_confirmation(&heartbeat);
        for &address in &heartbeat.peers {
            let is_known = self.peers.contains_key(&address) || self.seeds.contains(&address);
            if address != self.address && !is_known && self.seeds.len() < MAX_ROUTERS {
                self.seeds.push(address);
            }
        }
        let previous = self.peers.remove(&heartbeat.from);
        let reports = heartbeat.loads.iter().map(load_report);
        let peer = Peer {
            reports: reports.collect(),
            problem_targets: previous.and_then(|peer| peer.problem_targets),
            incarnation: heartbeat.life,
            sequence: heartbeat.number,
            last_heard: now,
            reachable: true,
            heartbeat,
        };
        self.peers.insert(peer.heartbeat.from, peer);
        self.is_stale = true;
        let is_due = now.saturating_duration_since(self.last_published) >= MIN_PUBLISH_INTERVAL;
        if is_due || !peer_was_reachable || self.peers.len() <= MAX_FULL_FANOUT {
            self.publish();
        }
    }

    fn merge_crashes(&mut self, rows: &[CrashRow]) {
        let new: Vec<CrashRow> = rows
            .iter()
            .copied()
            .filter(|row| self.known_crashes.insert(*row))
            .collect();
        self.crashes
            .extend(new.iter().map(|&row| (row, RECORD_REPEATS)));
        self.shared
            .add_peer_crashes(new.into_iter().map(|row| CrashRecord {
                request: Fingerprint(row.request),
                target: row.target,
            }));
    }

    fn expire_peers(&mut self, now: Instant) {
        let mut changed = false;
        for (address, peer) in &mut self.peers {
            let silent = now.saturating_duration_since(peer.last_heard) >= PEER_TIMEOUT;
            if peer.reachable && silent {
                peer.reachable = false;
                changed = true;
                event::log(Event::PeerFailed, &[("peer", address)]);
            }
        }
        let count = self.peers.len();
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.last_heard) < MEMBER_TIMEOUT);
        if changed || self.peers.len() != count {
            self.publish();
        }
    }

    /// Publishes the state received since the last publication, and once when the
    /// discovery time is over.
    fn publish_if_stale(&mut self, now: Instant) {
        let is_settled = now.saturating_duration_since(self.started) >= DISCOVERY_TIME;
        let was_settled = self.is_settled;
        if is_settled {
            self.is_settled = true;
        }
        if is_settled != was_settled || self.is_stale {
            self.publish();
        }
    }

    fn publish(&mut self) {
        self.last_published = SystemClock.now().mono;
        self.is_stale = false;
        let reachable = self.peers.values().filter(|peer| peer.reachable);
        let others = self.peers.keys().map(|&address| member_tag(address));
        let own = member_tag(self.address);
        let mut peers = PeerState {
            members: Members::new(own, others.collect(), self.is_settled),
            ..PeerState::default()
        };
        for peer in reachable {
            peers.reports.push(PeerLoadReport {
                received_at: peer.last_heard,
                reports: peer.reports.clone(),
            });
            for &target in peer.problem_targets() {
                *peers.problem_counts.entry(target).or_default() += 1;
            }
            let sums: &mut FxHashMap<u64, TeamRate> = &mut peers.teams;
            for row in &peer.heartbeat.teams {
                let sum = sums.entry(row.team).or_default();
                sum.requested += f64::from(row.asked);
                sum.admitted += f64::from(row.placed);
            }
        }
        self.shared.peers.store(Arc::new(peers));
        let readers = self.peers.iter();
        let lost_age = self.store.poll_intervals().lost_peer_age;
        let readers = readers.filter(|(_, peer)| peer.reachable && peer.can_read_store(lost_age));
        self.store
            .set_live_peers(readers.map(|(&address, _)| address).collect());
    }
}

/// Counts one repeat of each record and removes those that were sent often enough.
fn count_repeat<T>(records: &mut Vec<(T, u8)>) {
    for (_, remaining) in records.iter_mut() {
        *remaining -= 1;
    }
    records.retain(|(_, remaining)| *remaining > 0);
}

fn load_report(row: &LoadRow) -> LoadReport {
    LoadReport {
        target: row.target,
        load: TargetLoad {
            waiting_tokens: row.waiting.into(),
            attempts: row.count,
            memory_tokens: row.memory.into(),
        },
    }
}

/// Returns the tag by which all routers identify a router.
fn member_tag(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}
