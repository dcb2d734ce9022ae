//! Which uses of prompt parts this router passes on, and to whom.
//!
//! A router sends its own uses to its relay; a relay passes them to the other relays and
//! to its group. In a fleet without groups every router is a relay, so that one hop
//! reaches all. A router that reports to a relay for the first time is sent what the
//! relay knows. Load that it answers: hundreds of routers, each of which uses several
//! parts a second at hundreds of targets.
//!
//! A row with a length of 0 states that a target holds nothing of the part any more, and
//! its age is the time since then.
//!
//! Invariants:
//! - A row is aged by the time for which it waited here, and by the longest time for which
//!   its datagram can have waited for this process, so it never appears more recent than
//!   it is by more than the delay of the network.
//! - A row is passed on only if it is news, and at most [`MAX_HOPS`] times, so no row
//!   circulates.
//! - What a router receives in a period is bounded by [`MAX_GROUP_ROWS`] rows, and at a
//!   relay by [`MAX_RELAY_ROWS`] and [`MAX_OWN_ROWS`] of each router of its group,
//!   whatever the size of the fleet. What routers are told that start comes on top.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rustc_hash::{FxHashMap, FxHashSet};
use xxhash_rust::xxh3::xxh3_64;

use super::message::{KeptUpdate, Message};
use super::topology::address_hash;
use super::{Exchange, MAX_TICK_GAP, Moment, Outgoing, PERIOD, Peer};
use crate::direct::kept::KeptRow;
use crate::direct::kept_watch::KnownParts;

/// The maximum number of rows that a relay sends to a router of its group in a period.
pub const MAX_GROUP_ROWS: usize = 128;

/// The maximum number of rows that a relay receives from all other relays in a period.
pub const MAX_RELAY_ROWS: usize = 256;

/// The maximum number of rows that a router sends to its relay in a period.
pub const MAX_OWN_ROWS: usize = 16;

/// The maximum number of rows sent to a router that starts.
pub const MAX_REPLY_ROWS: usize = 4_096;

/// The maximum number of rows in a datagram.
pub const MAX_DATAGRAM_ROWS: usize = 256;

/// The maximum size of an encoded row, in bytes: two hashes and two numbers of 32 bits.
pub const MAX_ROW_BYTES: usize = 30;

/// The age above which a use is not passed on.
pub const MAX_AGE: Duration = Duration::from_secs(60);

/// The number of times a row may be passed on: between relays, and to a group.
pub const MAX_HOPS: u8 = 2;

/// How much later than the use passed on last another one must be to be passed on.
const REFRESH_TIME: Duration = Duration::from_secs(1);

/// The number of times a row is sent to the same routers, since datagrams may be lost.
const REPEATS: u8 = 2;

/// For how long rows are sent again after this router changed its relay; longer than the
/// silence that shows that a relay is lost.
const RESEND_TIME: Duration = Duration::from_millis(1_200);

/// The maximum number of datagrams with rows to relays in a period; with more relays each
/// gets one every few periods.
const MAX_RELAYS_PER_PERIOD: usize = 24;

/// The maximum number of rows that wait to be sent in one direction.
const MAX_QUEUED: usize = 2_048;

/// The maximum number of parts of all targets that are remembered.
const MAX_KNOWN: usize = 65_536;

/// The number of relays that tell a router which is a relay itself what they know.
const REPLYING_RELAYS: usize = 2;

/// The state of the members; it differs when one has come, gone, or become steady.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Roster(u64, bool);

/// The tag of a target and the hash of a part.
type PartKey = (u64, u64);

/// The latest use of a part at a target, or its eviction.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Use {
    /// The length of the part; 0 if it was evicted.
    tokens: u32,
    /// When it happened, in uptime of this VM.
    at: Duration,
    /// The use that was passed on last.
    told: Duration,
}

impl Use {
    fn row(self, (target, part): PartKey, now: Duration) -> KeptRow {
        // Rounded up, so that the use never appears more recent than it is.
        let age = now.saturating_sub(self.at).as_millis();
        let age = u32::try_from(age).unwrap_or(u32::MAX).saturating_add(1);
        let tokens = self.tokens;
        KeptRow {
            target,
            part,
            tokens,
            age,
        }
    }
}

/// The rows that wait to be sent in one direction, with the number of times they were.
#[derive(Clone, Default, Debug)]
struct Outbox(FxHashMap<PartKey, u8>);

impl Outbox {
    fn push(&mut self, key: PartKey) {
        // Those that save least are dropped in the next period.
        if self.0.len() < MAX_QUEUED * 2 || self.0.contains_key(&key) {
            self.0.insert(key, 0);
        }
    }

    /// Takes the rows that save most, at most `max`; rows that were sent before come last.
    fn take(&mut self, max: usize, known: &FxHashMap<PartKey, Use>) -> Vec<PartKey> {
        self.0.retain(|key, _| known.contains_key(key));
        let rank = |key: &PartKey, sent: u8| (sent, Reverse(known[key].tokens), *key);
        let mut ranked: Vec<_> = self.0.iter().map(|(key, &sent)| rank(key, sent)).collect();
        if ranked.len() > MAX_QUEUED {
            let (_, _, dropped) = ranked.select_nth_unstable(MAX_QUEUED - 1);
            for (_, _, key) in dropped {
                self.0.remove(key);
            }
            ranked.truncate(MAX_QUEUED);
        }
        if ranked.len() > max {
            ranked.select_nth_unstable(max);
            ranked.truncate(max);
        }
        ranked.sort_unstable();
        let keys: Vec<PartKey> = ranked.into_iter().map(|(_, _, key)| key).collect();
        for key in &keys {
            if let Some(sent) = self.0.get_mut(key) {
                *sent += 1;
            }
        }
        self.0.retain(|_, sent| *sent < REPEATS);
        keys
    }
}

/// What one router knows of uses, and what it still passes on.
#[derive(Clone, Default, Debug)]
pub(super) struct KeptLog {
    known: FxHashMap<PartKey, Use>,
    /// To this router's relay, or from a relay to the others.
    up: Outbox,
    /// From a relay to its group.
    down: Outbox,
    /// What was recently sent to this router's relay.
    sent_up: VecDeque<(Duration, PartKey)>,
    relay: Option<SocketAddr>,
    /// The uptime of the last period.
    ticked_at: Duration,
    /// When this process last ran again after a pause, and how long that was.
    woke: Option<(Duration, Duration)>,
}

impl KeptLog {
    /// Records that a period begins.
    fn begin_period(&mut self, relay: Option<SocketAddr>, now: Duration) {
        let gap = now.saturating_sub(self.ticked_at);
        if gap > MAX_TICK_GAP && !self.ticked_at.is_zero() {
            self.woke = Some((now, gap));
        }
        self.ticked_at = now;
        let is_recent = |at: Duration| now.saturating_sub(at) < RESEND_TIME;
        while self.sent_up.front().is_some_and(|it| !is_recent(it.0)) {
            self.sent_up.pop_front();
        }
        if self.relay != relay {
            self.relay = relay;
            // The former relay may not have passed them on.
            for (_, key) in std::mem::take(&mut self.sent_up) {
                self.up.push(key);
            }
        }
    }

    /// The longest time for which a datagram received now can have waited for this process.
    fn longest_wait(&self, now: Duration) -> Duration {
        let since_tick = match self.ticked_at.is_zero() {
            true => Duration::ZERO,
            false => now.saturating_sub(self.ticked_at),
        };
        let is_awake = |at: Duration| now.saturating_sub(at) >= PERIOD * 2;
        match self.woke {
            Some((at, gap)) if !is_awake(at) => since_tick + gap,
            _ => since_tick,
        }
    }

    /// Records a use; returns whether it is news, to be passed on.
    fn record(&mut self, row: &KeptRow, waited: Duration, now: Duration) -> bool {
        let age = Duration::from_millis(row.age.into()).saturating_add(waited);
        let at = match now.checked_sub(age) {
            Some(at) if age <= MAX_AGE => at,
            // It happened before this VM started.
            None if age <= MAX_AGE => Duration::ZERO,
            _ => return false,
        };
        let key = (row.target, row.part);
        let tokens = row.tokens;
        let known = self.known.get(&key).copied();
        if known.is_some_and(|known| at <= known.at) {
            return false;
        }
        let is_news = match known {
            None => tokens > 0,
            Some(known) if (known.tokens > 0) != (tokens > 0) => true,
            Some(known) => tokens > 0 && at >= known.told + REFRESH_TIME,
        };
        let told = match known {
            Some(known) if !is_news => known.told,
            _ => at,
        };
        self.make_room(now);
        self.known.insert(key, Use { tokens, at, told });
        is_news
    }

    /// Forgets old uses, and the older half of all if there are too many.
    fn make_room(&mut self, now: Duration) {
        if self.known.len() < MAX_KNOWN {
            return;
        }
        let is_old = |at: Duration| now.saturating_sub(at) > MAX_AGE;
        self.known.retain(|_, it| !is_old(it.at));
        if self.known.len() * 2 > MAX_KNOWN {
            let mut times: Vec<Duration> = self.known.values().map(|it| it.at).collect();
            let middle = times.len() / 2;
            let (_, &mut median, _) = times.select_nth_unstable(middle);
            self.known.retain(|_, it| it.at > median);
        }
    }

    fn rows(&self, keys: &[PartKey], now: Duration) -> Vec<KeptRow> {
        let rows = keys.iter().map(|key| self.known[key].row(*key, now));
        rows.collect()
    }

    /// The rows for a router that starts, those that save most first.
    fn all_rows(&self, now: Duration) -> Vec<KeptRow> {
        let is_useful = |it: &&(PartKey, Use)| {
            let age = now.saturating_sub(it.1.at);
            it.1.tokens > 0 && age < MAX_AGE
        };
        let known = self.known.iter().map(|(&key, &it)| (key, it));
        let mut known: Vec<(PartKey, Use)> = known.filter(|it| is_useful(&it)).collect();
        known.sort_unstable_by_key(|(key, it)| (Reverse(it.tokens), *key));
        known.truncate(MAX_REPLY_ROWS);
        known
            .into_iter()
            .map(|(key, it)| it.row(key, now))
            .collect()
    }
}

impl Exchange {
    /// Adds uses of parts, and evictions as rows of length 0, that this router knows
    /// itself; they are sent to the others.
    pub fn add_kept(&mut self, rows: impl IntoIterator<Item = KeptRow>, now: Moment) {
        let is_relay = self.has_group(now.mono);
        for row in rows {
            if self.kept.record(&row, Duration::ZERO, now.uptime.0) {
                self.kept.up.push((row.target, row.part));
                if is_relay {
                    self.kept.down.push((row.target, row.part));
                }
            }
        }
    }

    /// Forgets the parts of targets for which the function returns false.
    pub fn retain_kept_targets(&mut self, mut is_listed: impl FnMut(u64) -> bool) {
        self.kept.known.retain(|key, _| is_listed(key.0));
    }

    /// The parts that some target, and those that this one holds, as far as is known.
    pub fn known_parts(&self, target: u64) -> KnownParts {
        let held = self.kept.known.iter().filter(|(_, it)| it.tokens > 0);
        let here = held.clone().filter(|(key, _)| key.0 == target);
        KnownParts {
            used: held.map(|(key, _)| key.1).collect(),
            believed: here.map(|(key, _)| key.1).collect(),
        }
    }

    /// The state of the members by which targets are divided.
    pub fn roster(&self, now: Instant) -> Roster {
        Roster(self.roster, self.is_settled(now) && !self.is_stopping)
    }

    /// This router and the other relays, among which targets are divided, if this router is
    /// one of them.
    pub fn watchers(&self) -> Option<(SocketAddr, Vec<SocketAddr>)> {
        let own = self.own.address;
        // A relay that fell silent still counts as reachable for a while; the next one
        // replaces it as a watcher at once.
        let is_heard = |address: &SocketAddr| !self.resting_relays.contains_key(address);
        let topology = self.topology_of(is_heard);
        let others = topology.relays().filter(|&relay| relay != own);
        let is_relay = topology.is_relay(own) && !self.is_stopping;
        is_relay.then(|| (own, others.collect()))
    }

    /// The number of parts at targets that are known, and of rows that wait to be sent.
    pub fn kept_counts(&self) -> (usize, usize) {
        let waiting = self.kept.up.0.len() + self.kept.down.0.len();
        (self.kept.known.len(), waiting)
    }

    /// Applies rows of another router; returns those that are news, with their ages.
    pub(super) fn receive_kept(&mut self, update: KeptUpdate, now: Moment) -> Vec<KeptRow> {
        let uptime = now.uptime.0;
        let waited = self.kept.longest_wait(uptime);
        let is_relay = self.has_group(now.mono);
        let mut news = Vec::new();
        for row in update.rows.iter().take(MAX_DATAGRAM_ROWS) {
            if !self.kept.record(row, waited, uptime) {
                continue;
            }
            let key = (row.target, row.part);
            if is_relay && update.hops == 0 {
                self.kept.up.push(key);
            }
            if is_relay && update.hops < MAX_HOPS {
                self.kept.down.push(key);
            }
            news.push(self.kept.known[&key].row(key, uptime));
        }
        news
    }

    /// The rows of one period.
    pub(super) fn kept_messages(&mut self, now: Moment) -> Vec<Outgoing> {
        let uptime = now.uptime.0;
        self.kept.begin_period(self.relay, uptime);
        let mut sent = Vec::new();
        match self.relay {
            Some(relay) => {
                let keys = self.kept.up.take(MAX_OWN_ROWS, &self.kept.known);
                let times = keys.iter().map(|&key| (uptime, key));
                self.kept.sent_up.extend(times);
                sent.extend(kept_message(relay, 0, self.kept.rows(&keys, uptime)));
            }
            None => sent.extend(self.kept_to_relays(now)),
        }
        let group: Vec<SocketAddr> = self.group(now.mono).map(|peer| peer.beat.from).collect();
        if group.is_empty() {
            self.kept.down.0.clear();
        }
        let keys = self.kept.down.take(MAX_GROUP_ROWS, &self.kept.known);
        let rows = self.kept.rows(&keys, uptime);
        let messages = group.iter();
        let messages = messages.filter_map(|&to| kept_message(to, MAX_HOPS, rows.clone()));
        sent.extend(messages);
        sent.extend(self.kept_to_new(now));
        sent
    }

    fn kept_to_relays(&mut self, now: Moment) -> Vec<Outgoing> {
        let own = self.own.address;
        let relays: Vec<SocketAddr> = self.topology.relays().filter(|&it| it != own).collect();
        let rounds = relays.len().div_ceil(MAX_RELAYS_PER_PERIOD).max(1);
        if relays.is_empty() || !(self.ticks as usize).is_multiple_of(rounds) {
            return Vec::new();
        }
        let max = (MAX_RELAY_ROWS * rounds / relays.len()).clamp(1, MAX_DATAGRAM_ROWS);
        let keys = self.kept.up.take(max, &self.kept.known);
        let rows = self.kept.rows(&keys, now.uptime.0);
        let mut relays = relays;
        relays.sort_unstable();
        let messages = relays.into_iter();
        messages
            .filter_map(|to| kept_message(to, 1, rows.clone()))
            .collect()
    }

    /// Tells routers what this one knows that report to it for the first time, or again
    /// after a silence.
    fn kept_to_new(&mut self, now: Moment) -> Vec<Outgoing> {
        let mut untold = Vec::new();
        let peers = self.peers.values();
        let told = peers.filter(|peer| peer.is_live(now.mono) && self.tells_kept(peer));
        let told: FxHashSet<SocketAddr> = told.map(|peer| peer.beat.from).collect();
        for (address, peer) in &mut self.peers {
            let is_told = told.contains(address);
            if !std::mem::replace(&mut peer.is_told_kept, is_told) && is_told {
                untold.push(*address);
            }
        }
        // Routers that report while nothing is known miss nothing.
        if untold.is_empty() || self.kept.known.is_empty() {
            return Vec::new();
        }
        let rows = self.kept.all_rows(now.uptime.0);
        let parts = rows.chunks(MAX_DATAGRAM_ROWS);
        let messages = untold.iter().flat_map(|&to| {
            let parts = parts.clone();
            parts.filter_map(move |rows| kept_message(to, MAX_HOPS, rows.to_vec()))
        });
        messages.collect()
    }

    /// Whether this router tells another one what it knows: its relay does, or the two
    /// relays that rank first for a router that is a relay itself.
    fn tells_kept(&self, peer: &Peer) -> bool {
        let (own, to) = (self.own.address, peer.beat.from);
        if !peer.is_relay() {
            return peer.relay() == Some(own);
        }
        let score = |relay: SocketAddr| {
            let pair = address_hash(to) ^ address_hash(relay).rotate_left(32);
            (xxh3_64(&pair.to_le_bytes()), relay)
        };
        let own_score = score(own);
        let relays = self.topology.relays().filter(|&relay| relay != to);
        self.topology.is_relay(own)
            && self.topology.is_relay(to)
            && relays.filter(|&relay| score(relay) < own_score).count() < REPLYING_RELAYS
    }
}

fn kept_message(to: SocketAddr, hops: u8, rows: Vec<KeptRow>) -> Option<Outgoing> {
    let message = Message::Kept(KeptUpdate { hops, rows });
    match &message {
        Message::Kept(update) if update.rows.is_empty() => None,
        _ => Some(Outgoing { to, message }),
    }
}
