//! Tells the other routers what this one has in hand, and hears theirs.
//!
//! Routers find each other by the addresses in the settings, which may be stale,
//! and by the addresses that beats carry. A router that was not heard for a
//! while is forgotten unless the settings name it.
//!
//! Invariants:
//! - A beat replaces all that its sender said before; an older one is ignored.
//! - A router counts among those that limits are divided by until it was silent
//!   for [`COUNT_LIFE`], so that parts given to routers that are cut off are not
//!   given away.

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
    Beat, CrashRow, Datagram, DatagramError, Echo, Listing, LoadRow, MAX_DATAGRAM_BYTES, TeamRow,
    Trouble,
};

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::{BootClock, SystemBootClock};
use crate::shared::{PeerState, Shared};
use crate::store::{StoreReader, TargetUpdate};

/// The time between two beats while routers are few.
const BEAT_PERIOD: Duration = Duration::from_millis(100);

/// The number of peers up to which each beat goes to all of them.
const FULL_FANOUT: usize = 8;

/// Beats between two that go to peers that were not heard lately.
const SEED_EVERY: u32 = 10;

/// The least time between two publications of what many peers said. Each goes
/// through all reports of all peers, and with many of them beats come all the time.
const PUBLISH_GAP: Duration = Duration::from_millis(80);

/// The silence after which a peer's report counts no longer.
const PEER_SILENCE: Duration = Duration::from_secs(2);

/// The time after its start in which a router hears of all others.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Periods between two beats to unknown routers in that time.
const SETTLE_EVERY: u32 = 2;

/// How long a router that is silent still counts as one.
const COUNT_LIFE: Duration = Duration::from_secs(30);

/// The number of addresses in a beat; successive beats carry successive ones.
const BEAT_ADDRESSES: usize = 16;

/// The greatest number of routers that are known.
const MAX_ROUTERS: usize = 2_048;

/// The number of beats in which a crash note is repeated, since beats get lost.
const NOTE_BEATS: u8 = 10;

/// The number of beats whose times of sending are kept for echoes.
const SENT_BEATS: usize = 64;

/// The number of targets in a part of a listing, so that it fits a datagram.
const LISTING_TARGETS: usize = 64;

/// The greatest number of parts of a listing.
const MAX_PARTS: u16 = 256;

/// The greatest number of listings that are being put together.
const MAX_OPEN_LISTINGS: usize = 16;

struct Peer {
    life: u64,
    number: u32,
    heard: Instant,
    reachable: bool,
    beat: Beat,
    /// What the beat says of targets.
    reports: Arc<[LoadReport]>,
    trouble: Option<Trouble>,
}

impl Peer {
    /// The targets with which it has trouble, by its latest beat.
    fn trouble(&self) -> &[u64] {
        let is_current = |it: &&Trouble| it.life == self.life && it.number == self.number;
        let trouble = self.trouble.as_ref().filter(is_current);
        trouble.map_or(&[], |it| it.targets.as_slice())
    }

    /// Whether the others can rely on it to read the store.
    fn reads(&self, lost: Duration) -> bool {
        let confirmed = self
            .beat
            .confirmed
            .map(u64::from)
            .map(Duration::from_millis);
        !self.beat.leaving && confirmed.is_some_and(|age| age < lost)
    }
}

/// The gossip of one router.
pub(crate) struct Gossip {
    socket: UdpSocket,
    address: SocketAddr,
    life: u64,
    number: u32,
    /// When this router started.
    started: Instant,
    /// Whether it had time to hear of all others.
    settled: bool,
    /// When the peers were last published.
    published: Instant,
    /// Whether a beat was heard since then.
    is_stale: bool,
    /// Periods since the start.
    ticks: u32,
    seeds: Vec<SocketAddr>,
    /// Ordered, so that the same peers are served in the same order.
    peers: BTreeMap<SocketAddr, Peer>,
    /// When the latest beats were sent.
    sent: VecDeque<(u32, Uptime)>,
    /// Parts of listings that are not complete.
    parts: FxHashMap<(SocketAddr, u64), Vec<Option<Vec<Target>>>>,
    store: Rc<StoreReader>,
    notes: Vec<(CrashRow, u8)>,
    known: FxHashSet<CrashRow>,
    shared: Arc<Shared>,
}

impl Gossip {
    /// Binds the socket.
    ///
    /// `seeds` name routers by their IP numbers; all use the port of `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub(crate) async fn bind(
        address: SocketAddr,
        seeds: &[SocketAddr],
        life: u64,
        shared: Arc<Shared>,
        store: Rc<StoreReader>,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let address = socket.local_addr()?;
        let mut gossip = Self {
            socket,
            address,
            life,
            number: 0,
            started: SystemClock.now().mono,
            settled: false,
            published: SystemClock.now().mono,
            is_stale: false,
            ticks: 0,
            seeds: Vec::new(),
            peers: BTreeMap::new(),
            sent: VecDeque::new(),
            parts: FxHashMap::default(),
            store,
            notes: Vec::new(),
            known: FxHashSet::default(),
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
        let mut ticks = interval(BEAT_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let store = self.store.clone();
        loop {
            tokio::select! {
                _ = ticks.tick() => self.beat(),
                () = store.wait_for_update() => self.tell_news(),
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.hear(&buffer[..length], from),
                    // An unreachable peer's port shows as an error of the next call.
                    Err(error) => log::debug!("datagram socket: {error}"),
                },
                changed = seeds.changed() => if changed.is_ok() {
                    let new = seeds.borrow_and_update().clone();
                    self.set_seeds(&new);
                },
            }
        }
    }

    fn beat(&mut self) {
        self.ticks = self.ticks.wrapping_add(1);
        let now = SystemClock.now().mono;
        self.forget(now);
        self.settle(now);
        let heard = self.peers.values().filter(|peer| peer.reachable).count();
        // With many peers each gets a beat every few periods, so that the cost
        // of a router stays the same.
        let rounds = heard.div_ceil(FULL_FANOUT).max(1) as u32;
        let turn = self.ticks % rounds;
        let live = self.peers.iter().filter(|(_, peer)| peer.reachable);
        let live = live
            .enumerate()
            .filter(|(index, _)| *index as u32 % rounds == turn);
        let mut to: Vec<SocketAddr> = live.map(|(_, (&address, _))| address).collect();
        let every = if self.settled {
            SEED_EVERY
        } else {
            SETTLE_EVERY
        };
        if self.ticks.is_multiple_of(every) {
            let silent = self.peers.iter().filter(|(_, peer)| !peer.reachable);
            to.extend(silent.map(|(&address, _)| address));
            let unknown = self
                .seeds
                .iter()
                .filter(|seed| !self.peers.contains_key(seed));
            to.extend(unknown);
        }
        if to.is_empty() {
            return;
        }
        self.send_beat(&to);
        if turn + 1 == rounds {
            for (_, left) in &mut self.notes {
                *left -= 1;
            }
            self.notes.retain(|(_, left)| *left > 0);
        }
    }

    fn send_beat(&mut self, to: &[SocketAddr]) {
        self.number += 1;
        let mut beat = self.compose();
        // The time is taken before the beat leaves: an echo must not claim more.
        self.sent.push_back((self.number, SystemBootClock.uptime()));
        if self.sent.len() > SENT_BEATS {
            self.sent.pop_front();
        }
        let targets = self.shared.local_report.load().problem_targets.clone();
        let trouble = (!targets.is_empty()).then_some({
            Datagram::Trouble(Trouble {
                from: self.address,
                life: self.life,
                number: self.number,
                targets,
            })
        });
        for address in to {
            if let Some(trouble) = &trouble {
                self.send(trouble, *address);
            }
            beat.echo = self.peers.get(address).map(|peer| Echo {
                life: peer.life,
                number: peer.number,
            });
            self.send(&Datagram::Beat(beat.clone()), *address);
        }
    }

    fn send(&self, datagram: &Datagram, to: SocketAddr) {
        // A datagram that is lost here is as one lost on the way.
        if let Err(error) = self.socket.try_send_to(&datagram.encode(), to) {
            log::debug!("datagram to {to}: {error}");
        }
    }

    /// Tells the peers at once what was read of the store.
    fn tell_news(&mut self) {
        let live = self.peers.iter().filter(|(_, peer)| peer.reachable);
        let to: Vec<SocketAddr> = live.map(|(&address, _)| address).collect();
        let listing = self.store.take_target_update();
        if to.is_empty() {
            return;
        }
        match listing {
            None => self.send_beat(&to),
            Some(TargetUpdate::Listing(revision, targets)) => {
                self.send_listing(revision, &targets, &to)
            }
            Some(TargetUpdate::Unchanged(unchanged)) => {
                for address in to {
                    self.send(&Datagram::Unchanged(unchanged), address);
                }
            }
        }
    }

    fn send_listing(&self, revision: u64, targets: &[Target], to: &[SocketAddr]) {
        let chunks: Vec<&[Target]> = targets.chunks(LISTING_TARGETS).collect();
        let parts = chunks.len() as u16;
        for (part, chunk) in chunks.into_iter().enumerate() {
            let listing = Datagram::Listing(Listing {
                revision,
                part: part as u16,
                parts,
                targets: chunk.to_vec(),
            });
            for &address in to {
                self.send(&listing, address);
            }
        }
    }

    fn hear_listing(&mut self, listing: Listing, from: SocketAddr) {
        let Listing {
            revision,
            part,
            parts,
            targets,
        } = listing;
        if parts == 1 {
            self.store.adopt_listing(revision, targets);
            return;
        }
        if parts == 0 || part >= parts || parts > MAX_PARTS {
            event::log(Event::MessageRefused, &[("peer", &from)]);
            return;
        }
        if self.parts.len() >= MAX_OPEN_LISTINGS {
            self.parts.clear();
        }
        let slots = self.parts.entry((from, revision)).or_default();
        slots.resize(parts.into(), None);
        slots[usize::from(part)] = Some(targets);
        if slots.iter().all(Option::is_some) {
            let whole = self.parts.remove(&(from, revision)).unwrap_or_default();
            let targets = whole.into_iter().flatten().flatten().collect();
            self.store.adopt_listing(revision, targets);
        }
    }

    /// Keeps what a known peer reports until its next beat.
    fn hear_trouble(&mut self, trouble: Trouble) {
        if let Some(peer) = self.peers.get_mut(&trouble.from) {
            peer.trouble = Some(trouble);
        }
    }

    /// Takes over what a peer knows of the configuration.
    fn take_confirmation(&self, beat: &Beat) {
        let Some((echo, age)) = beat.echo.zip(beat.confirmed) else {
            return;
        };
        if echo.life != self.life {
            return;
        }
        let mut sent = self.sent.iter();
        let Some((_, at)) = sent.find(|(number, _)| *number == echo.number) else {
            return;
        };
        let age = Duration::from_millis(age.into());
        if let Some(at) = at.0.checked_sub(age) {
            self.store.record_peer_confirmation(beat.digest, Uptime(at));
        }
    }

    fn compose(&mut self) -> Beat {
        for note in self.shared.take_local_crashes() {
            let row = CrashRow {
                request: note.request.0,
                target: note.target,
            };
            if self.known.insert(row) {
                self.notes.push((row, NOTE_BEATS));
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
        // Rounded up, so that no more is claimed than is known.
        let confirmed = confirmed.map(|age| age.as_millis() as u32 + 1);
        Beat {
            echo: None,
            digest: self.store.digest(),
            confirmed,
            from: self.address,
            life: self.life,
            number: self.number,
            leaving: self.shared.is_stopping(),
            peers: self.some_peers(),
            loads: loads.collect(),
            teams: teams.collect(),
            crashes: self.notes.iter().map(|(row, _)| *row).collect(),
        }
    }

    /// Some of the live peers, others in each beat.
    fn some_peers(&self) -> Vec<SocketAddr> {
        let live = self.peers.iter().filter(|(_, peer)| peer.reachable);
        let live: Vec<SocketAddr> = live.map(|(&address, _)| address).collect();
        let first = match live.len() {
            0 => return live,
            count => self.number as usize * BEAT_ADDRESSES % count,
        };
        let turned = live.iter().cycle().skip(first);
        turned
            .take(live.len().min(BEAT_ADDRESSES))
            .copied()
            .collect()
    }

    fn hear(&mut self, bytes: &[u8], from: SocketAddr) {
        let beat = match Datagram::decode(bytes) {
            Ok(Datagram::Beat(beat)) => beat,
            Ok(Datagram::Listing(listing)) => return self.hear_listing(listing, from),
            Ok(Datagram::Trouble(trouble)) => return self.hear_trouble(trouble),
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
        if beat.from == self.address {
            return;
        }
        let now = SystemClock.now().mono;
        let known = self.peers.get(&beat.from);
        let is_old = known.is_some_and(|peer| (beat.life, beat.number) <= (peer.life, peer.number));
        if is_old {
            return;
        }
        let peer_was_reachable = known.is_some_and(|peer| peer.reachable);
        if !peer_was_reachable {
            let fields: [event::Field<'_>; 2] = [("peer", &beat.from), ("life", &beat.life)];
            event::log(Event::PeerReachable, &fields);
        }
        self.merge_notes(&beat.crashes);
        self.take_confirmation(&beat);
        for &address in &beat.peers {
            let is_known = self.peers.contains_key(&address) || self.seeds.contains(&address);
            if address != self.address && !is_known && self.seeds.len() < MAX_ROUTERS {
                self.seeds.push(address);
            }
        }
        let known = self.peers.remove(&beat.from);
        let reports = beat.loads.iter().map(report);
        let peer = Peer {
            reports: reports.collect(),
            trouble: known.and_then(|peer| peer.trouble),
            life: beat.life,
            number: beat.number,
            heard: now,
            reachable: true,
            beat,
        };
        self.peers.insert(peer.beat.from, peer);
        self.is_stale = true;
        let is_due = now.saturating_duration_since(self.published) >= PUBLISH_GAP;
        if is_due || !peer_was_reachable || self.peers.len() <= FULL_FANOUT {
            self.publish();
        }
    }

    fn merge_notes(&mut self, rows: &[CrashRow]) {
        let new: Vec<CrashRow> = rows
            .iter()
            .copied()
            .filter(|row| self.known.insert(*row))
            .collect();
        self.notes.extend(new.iter().map(|&row| (row, NOTE_BEATS)));
        self.shared
            .add_peer_crashes(new.into_iter().map(|row| CrashRecord {
                request: Fingerprint(row.request),
                target: row.target,
            }));
    }

    fn forget(&mut self, now: Instant) {
        let mut changed = false;
        for (address, peer) in &mut self.peers {
            let silent = now.saturating_duration_since(peer.heard) >= PEER_SILENCE;
            if peer.reachable && silent {
                peer.reachable = false;
                changed = true;
                event::log(Event::PeerFailed, &[("peer", address)]);
            }
        }
        let count = self.peers.len();
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.heard) < COUNT_LIFE);
        if changed || self.peers.len() != count {
            self.publish();
        }
    }

    /// Publishes what was heard since the last time, and once that this router had
    /// time to hear of the others.
    fn settle(&mut self, now: Instant) {
        let is_settled = now.saturating_duration_since(self.started) >= SETTLE_TIME;
        let was_settled = self.settled;
        if is_settled {
            self.settled = true;
        }
        if is_settled != was_settled || self.is_stale {
            self.publish();
        }
    }

    fn publish(&mut self) {
        self.published = SystemClock.now().mono;
        self.is_stale = false;
        let live = self.peers.values().filter(|peer| peer.reachable);
        let others = self.peers.keys().map(|&address| member_tag(address));
        let own = member_tag(self.address);
        let mut peers = PeerState {
            members: Members::new(own, others.collect(), self.settled),
            ..PeerState::default()
        };
        for peer in live {
            peers.reports.push(PeerLoadReport {
                at: peer.heard,
                reports: peer.reports.clone(),
            });
            for &target in peer.trouble() {
                *peers.problem_counts.entry(target).or_default() += 1;
            }
            let sums: &mut FxHashMap<u64, TeamRate> = &mut peers.teams;
            for row in &peer.beat.teams {
                let sum = sums.entry(row.team).or_default();
                sum.requested += f64::from(row.asked);
                sum.admitted += f64::from(row.placed);
            }
        }
        self.shared.peers.store(Arc::new(peers));
        let live = self.peers.iter();
        let lost = self.store.poll_intervals().lost_peer_age;
        let live = live.filter(|(_, peer)| peer.reachable && peer.reads(lost));
        self.store
            .set_live_peers(live.map(|(&address, _)| address).collect());
    }
}

fn report(row: &LoadRow) -> LoadReport {
    LoadReport {
        target: row.target,
        load: TargetLoad {
            waiting_tokens: row.waiting.into(),
            attempts: row.count,
            memory_tokens: row.memory.into(),
        },
    }
}

/// The tag by which all routers know one.
fn member_tag(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}
