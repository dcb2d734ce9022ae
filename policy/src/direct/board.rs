//! What every target has in hand, of this router and of its peers.
//!
//! Invariants:
//! - Every [`Board::begin`] is followed by one [`Board::end`]; the counts of a
//!   target never fall below zero.
//! - A new life of a target starts with nothing in hand and nothing cached.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cranelift_entity::{PrimaryMap, entity_impl};
use derive_more::Display;
use entity::Name;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use super::outlier::OutlierDetector;
use super::prefill_rate::PrefillRate;
use super::stall::{Activity, MIN_REPORTING_PEERS, OldestAttempt, STREAM_STALL_TIMEOUT};
use super::target::{TargetRegistry, TargetState};

/// How long a part of a prompt is taken to stay in a target's memory after its
/// last use.
const CACHE_LIFE: Duration = Duration::from_secs(60);

/// The greatest number of cached parts that are remembered for one target.
const MAX_PARTS: usize = 4096;

/// The arrivals at a cold target that a router can save up.
const COLD_BURST: f64 = 1.0;

/// The age at which a peer's report no longer counts.
pub const REPORT_LIFE: Duration = Duration::from_secs(2);

/// The time in which half of the work that a peer reported as waiting is done.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(150);

/// A life of a target, on one router's board.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Spot(u32);
entity_impl!(Spot, "spot");

/// One part of a prompt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Part {
    /// What identifies the part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What is known of a generation before it runs.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct Prompt {
    /// The parts in order; the last belongs to the request or its session.
    pub parts: SmallVec<[Part; 4]>,
    /// All tokens of the prompt.
    pub input: u32,
    /// The greatest number of tokens to generate.
    pub output: u32,
}

impl Prompt {
    /// The last part that other requests share.
    pub fn shared(&self) -> Option<Part> {
        let shared = self.parts.len().checked_sub(2)?;
        self.parts.get(shared).copied()
    }

    /// The size that counts for a team's share, in tokens.
    pub fn size(&self) -> f64 {
        f64::from(self.input) + 2.0 * f64::from(self.output)
    }
}

/// What one attempt takes of a target.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct Take {
    /// Tokens to read before the first event.
    pub fresh: u32,
    /// Tokens of memory while it runs.
    pub memory: u32,
    number: u64,
    /// When it was sent and what was to be read then, if that shows the engine's speed.
    sent: Option<(Instant, f64)>,
}

/// What is in hand at a target.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct InHand {
    /// Tokens to read of attempts without a first event.
    pub waiting: f64,
    /// Attempts.
    pub count: u32,
    /// Tokens of memory that running attempts hold.
    pub memory: f64,
}

/// What one router reports of one target.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Report {
    /// The tag of the target's life.
    pub target: u64,
    /// What the router has in hand there.
    pub in_hand: InHand,
}

/// The reports of one peer.
#[derive(Clone, PartialEq, Debug)]
pub struct PeerReport {
    /// When they were received.
    pub at: Instant,
    /// The reports, which do not change between two beats of the peer.
    pub reports: Arc<[Report]>,
}

/// An attempt whose prompt is not yet read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Unread {
    number: u64,
    fresh: u32,
    sent: Instant,
}

#[derive(Clone, Copy, Debug)]
struct ColdMeter {
    tokens: f64,
    refilled: Instant,
}

/// One life of a target.
#[derive(Clone, Debug)]
pub struct Place {
    /// The id of this life.
    pub name: Name,
    /// The tag of name and start, the same on all routers.
    pub tag: u64,
    /// The service.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre.
    pub centre: Name,
    /// Requests that run at once.
    pub slots: u32,
    /// Whether the roster lets it take new requests.
    pub open: bool,
    /// What its requests show.
    pub trust: OutlierDetector,
    /// Until when it is cold.
    pub cold: Option<Instant>,
    own: InHand,
    /// Attempts of this router without a first event, in the order in which they were sent.
    unread: VecDeque<Unread>,
    /// When this router last saw a first event.
    progress: Option<Instant>,
    peers: InHand,
    meter: Option<ColdMeter>,
    parts: FxHashMap<u64, Instant>,
    signs: Activity,
    /// Whether several peers report trouble with it.
    reported: bool,
}

/// Why a target is avoided though its entry stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum Trouble {
    /// Requests or connections to it failed.
    #[display("failures")]
    Failures,
    /// It says nothing while it should.
    #[display("quiet")]
    Quiet,
    /// Several peers report trouble with it, and nothing shows otherwise here.
    #[display("peers")]
    Peers,
}

impl Place {
    /// What is in hand of all routers.
    pub fn in_hand(&self) -> InHand {
        InHand {
            waiting: self.own.waiting + self.peers.waiting,
            count: self.own.count + self.peers.count,
            memory: self.own.memory + self.peers.memory,
        }
    }

    /// What this router has in hand.
    pub fn own(&self) -> InHand {
        self.own
    }

    /// Tokens that all routers have waiting, less what was read of the oldest
    /// prompt of this router; `rate` is the number of tokens read in a millisecond.
    pub fn waiting(&self, rate: f64, now: Instant) -> f64 {
        self.peers.waiting + self.own_waiting(rate, now)
    }

    fn own_waiting(&self, rate: f64, now: Instant) -> f64 {
        let Some(first) = self.unread.front() else {
            return 0.0;
        };
        // Engines read prompts in the order in which they came.
        let since = self
            .progress
            .map_or(first.sent, |progress| progress.max(first.sent));
        let read = now.saturating_duration_since(since).as_secs_f64() * 1e3 * rate;
        self.own.waiting - read.min(f64::from(first.fresh))
    }

    /// Tokens of a prompt that the target has to read.
    pub fn fresh(&self, prompt: &Prompt, now: Instant) -> u32 {
        let mut cached = 0;
        for part in &prompt.parts {
            let used = self.parts.get(&part.id);
            match used {
                Some(&used) if now.saturating_duration_since(used) < CACHE_LIFE => {
                    cached += part.tokens;
                }
                _ => break,
            }
        }
        prompt.input.saturating_sub(cached)
    }

    /// Why the target is avoided, if it is; `rate` as in [`Place::waiting`].
    pub fn trouble(&self, rate: f64, now: Instant) -> Option<Trouble> {
        let silence = self.signs.silence(now);
        let is_heard = silence.is_some_and(|silence| silence <= STREAM_STALL_TIMEOUT);
        match () {
            () if self.trust.is_ejected(now) => Some(Trouble::Failures),
            () if self.is_stalled(rate, now) => Some(Trouble::Quiet),
            () if self.reported && !is_heard => Some(Trouble::Peers),
            () => None,
        }
    }

    /// Whether the target says nothing while it should; `rate` as in [`Place::waiting`].
    pub fn is_stalled(&self, rate: f64, now: Instant) -> bool {
        let oldest = self.unread.front().map(|first| OldestAttempt {
            sent: first.sent,
            prefill_millis: self.in_hand().waiting / rate,
        });
        self.signs.is_stalled(oldest, now)
    }

    /// Whether this router may send to the target while it is cold, at `rate`
    /// arrivals per second.
    pub fn has_cold(&self, rate: f64, now: Instant) -> bool {
        self.cold_tokens(rate, now) >= 1.0
    }

    fn cold_tokens(&self, rate: f64, now: Instant) -> f64 {
        self.meter.map_or(COLD_BURST, |meter| {
            let passed = now.saturating_duration_since(meter.refilled).as_secs_f64();
            (meter.tokens + passed * rate).min(COLD_BURST)
        })
    }

    /// Whether the target is cold at `now`.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold.is_some_and(|until| until > now)
    }
}

/// The targets of one router.
#[derive(Clone, Default, Debug)]
pub struct Board {
    places: PrimaryMap<Spot, Place>,
    by_name: FxHashMap<Name, Spot>,
    by_service: FxHashMap<Name, Vec<Spot>>,
    begun: u64,
    /// Tokens that an engine is taken to read in a millisecond.
    rate: f64,
    speed: PrefillRate,
}

impl Board {
    /// Adopts the roster.
    pub fn adopt(&mut self, roster: &TargetRegistry, now: Instant) {
        for place in self.places.values_mut() {
            place.open = false;
        }
        self.by_service.clear();
        let mut names: Vec<&Name> = roster.targets.keys().collect();
        names.sort();
        for name in names {
            let (target, since) = &roster.targets[name];
            let tag = life_tag(name, target.born);
            let known = self.by_name.get(name).copied();
            let spot = match known {
                Some(spot) if self.places[spot].tag == tag => spot,
                _ => {
                    let spot = self.places.push(Place {
                        name: name.clone(),
                        tag,
                        service: target.service.clone(),
                        address: target.address,
                        centre: target.centre.clone(),
                        slots: target.slots,
                        open: false,
                        trust: OutlierDetector::default(),
                        cold: None,
                        own: InHand::default(),
                        unread: VecDeque::new(),
                        progress: None,
                        peers: InHand::default(),
                        meter: None,
                        parts: FxHashMap::default(),
                        signs: Activity::default(),
                        reported: false,
                    });
                    self.by_name.insert(name.clone(), spot);
                    spot
                }
            };
            let place = &mut self.places[spot];
            let is_drained = roster.drained.contains(&target.centre);
            place.open = target.state == TargetState::Ready && !is_drained;
            place.slots = target.slots;
            place.address = target.address;
            place.service = target.service.clone();
            let stated = since.map(|since| since + target.cold);
            place.cold = place.cold.max(stated).filter(|&until| until > now);
            self.by_service
                .entry(target.service.clone())
                .or_default()
                .push(spot);
        }
    }

    /// Sets how many tokens an engine is taken to read in a millisecond.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// What was observed of the engines.
    pub fn speed(&self) -> PrefillRate {
        self.speed
    }

    /// The targets of a service, open or not.
    pub fn of_service(&self, service: &Name) -> &[Spot] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// All lives that are or were on the board.
    pub fn places(&self) -> impl Iterator<Item = (Spot, &Place)> {
        self.places.iter()
    }

    /// One target.
    pub fn place(&self, spot: Spot) -> &Place {
        &self.places[spot]
    }

    /// One target, to record what its requests show.
    pub fn trust(&mut self, spot: Spot) -> &mut OutlierDetector {
        &mut self.places[spot].trust
    }

    /// The target stated that it stays cold for `left`.
    pub fn stated_cold(&mut self, spot: Spot, left: Duration, now: Instant) {
        let place = &mut self.places[spot];
        place.cold = place.cold.max(Some(now + left));
    }

    /// The target stated that it is leaving, before its entry says so.
    pub fn close(&mut self, spot: Spot) {
        self.places[spot].open = false;
    }

    /// An attempt with a prompt begins.
    ///
    /// `copied` tokens of it are copied from another target.
    pub fn begin(
        &mut self,
        spot: Spot,
        prompt: Option<&Prompt>,
        copied: u32,
        now: Instant,
    ) -> Take {
        self.begun += 1;
        let (number, rate) = (self.begun, self.rate);
        let place = &mut self.places[spot];
        let take = prompt.map_or(Take::default(), |prompt| Take {
            fresh: place.fresh(prompt, now).saturating_sub(copied),
            memory: prompt.input + prompt.output,
            number,
            sent: (copied == 0).then(|| (now, place.waiting(rate, now))),
        });
        if take.fresh > 0 {
            place.unread.push_back(Unread {
                number,
                fresh: take.fresh,
                sent: now,
            });
        }
        place.own.waiting += f64::from(take.fresh);
        place.own.count += 1;
        place.own.memory += f64::from(take.memory);
        if let Some(prompt) = prompt {
            if place.parts.len() >= MAX_PARTS {
                let is_live = |used: Instant| now.saturating_duration_since(used) < CACHE_LIFE / 4;
                place.parts.retain(|_, used| is_live(*used));
            }
            // The last part is the request's own and is of no use to others.
            let shared = prompt.parts.len().saturating_sub(1);
            for part in &prompt.parts[..shared] {
                place.parts.insert(part.id, now);
            }
        }
        take
    }

    /// The first event of an attempt came.
    pub fn started(&mut self, spot: Spot, take: Take, now: Instant) {
        let place = &mut self.places[spot];
        place.progress = Some(now);
        place.signs.record_start(now);
        if let Some((sent, ahead)) = take.sent {
            let tokens = ahead + f64::from(take.fresh);
            self.speed
                .record_prefill(tokens, now.saturating_duration_since(sent));
        }
        self.read(spot, take);
    }

    /// A byte of an answer came.
    pub fn heard(&mut self, spot: Spot, now: Instant) {
        self.places[spot].signs.record_byte(now);
    }

    fn read(&mut self, spot: Spot, take: Take) {
        let place = &mut self.places[spot];
        place.unread.retain(|unread| unread.number != take.number);
        place.own.waiting = (place.own.waiting - f64::from(take.fresh)).max(0.0);
    }

    /// An attempt ended; `had_started` tells whether its first event had come.
    pub fn end(&mut self, spot: Spot, take: Take, had_started: bool) {
        match had_started {
            true => self.places[spot].signs.record_end(),
            false => self.read(spot, take),
        }
        let own = &mut self.places[spot].own;
        own.count = own.count.saturating_sub(1);
        own.memory = (own.memory - f64::from(take.memory)).max(0.0);
    }

    /// Replaces what the peers have in hand.
    pub fn set_peers<'a>(&mut self, peers: impl Iterator<Item = &'a PeerReport>, now: Instant) {
        let mut sums: FxHashMap<u64, InHand> = FxHashMap::default();
        for peer in peers {
            let age = now.saturating_duration_since(peer.at);
            if age >= REPORT_LIFE {
                continue;
            }
            let left = 0.5_f64.powf(age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64());
            for Report { target, in_hand } in peer.reports.iter() {
                let sum = sums.entry(*target).or_default();
                sum.waiting += in_hand.waiting * left;
                sum.count += in_hand.count;
                sum.memory += in_hand.memory;
            }
        }
        for place in self.places.values_mut() {
            place.peers = sums.get(&place.tag).copied().unwrap_or_default();
        }
    }

    /// Replaces what the peers report: how many have trouble with each target.
    pub fn set_reported(&mut self, reports: &FxHashMap<u64, u32>) {
        for place in self.places.values_mut() {
            let count = reports.get(&place.tag).copied().unwrap_or(0);
            place.reported = count >= MIN_REPORTING_PEERS;
        }
    }

    /// The targets with which this router itself has trouble, for its peers; none
    /// if it has trouble with most, since then the cause is more likely here.
    pub fn troubled(&self, rate: f64, now: Instant) -> Vec<u64> {
        let open = self.places.values().filter(|place| place.open);
        let is_own = |place: &&Place| {
            let trouble = place.trouble(rate, now);
            trouble.is_some_and(|trouble| trouble != Trouble::Peers)
        };
        let troubled: Vec<u64> = open.clone().filter(is_own).map(|place| place.tag).collect();
        match troubled.len() * 2 < open.count() {
            true => troubled,
            false => Vec::new(),
        }
    }

    /// What this router has in hand, for its peers; `rate` as in [`Place::waiting`].
    pub fn report(&self, rate: f64, now: Instant) -> Vec<Report> {
        let busy = self.places.values().filter(|place| place.own.count > 0);
        busy.map(|place| Report {
            target: place.tag,
            in_hand: InHand {
                waiting: place.own_waiting(rate, now),
                ..place.own
            },
        })
        .collect()
    }

    /// Takes one of this router's arrivals at a cold target.
    ///
    /// `rate` is the number of arrivals per second that this router may send.
    pub fn take_cold(&mut self, spot: Spot, rate: f64, now: Instant) {
        let place = &mut self.places[spot];
        place.meter = Some(ColdMeter {
            tokens: place.cold_tokens(rate, now) - 1.0,
            refilled: now,
        });
    }
}

/// The tag of one life of a target, the same on all routers.
pub fn life_tag(name: &Name, born: u64) -> u64 {
    let mut bytes = name.as_str().as_bytes().to_vec();
    bytes.extend_from_slice(&born.to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
