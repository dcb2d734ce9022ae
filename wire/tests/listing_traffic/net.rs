//! Routers that exchange the listing of targets over a network that loses and reorders.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use entity::Name;
use knapweed_wire::{Datagram, listing_digest};
use policy::direct::exchange::PERIOD;
use policy::direct::exchange::message::CentreTag;
use policy::direct::exchange::topology::{Located, Topology};
use policy::direct::listing::exchange::ListingExchange;
use policy::direct::listing::message::{Adopted, ListingMessage, Update};
use policy::direct::polling::{self, PollIntervals};
use policy::direct::target::{SoftwareVersion, Target, TargetState};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) const ROUTERS: usize = 300;
pub(crate) const TARGETS: usize = 3_000;
pub(crate) const CENTRES: usize = 4;

/// The bounds from which the intervals of reading follow.
const BOUND: Duration = Duration::from_secs(3);

/// The share of lost datagrams.
const LOSS: f64 = 0.01;

/// The share of datagrams that later ones overtake.
const OVERTAKEN: f64 = 0.02;

/// The delay of a datagram, and that of one that is overtaken.
const DELAY: Duration = Duration::from_millis(1);
const LONG_DELAY: Duration = Duration::from_millis(4);

/// The delay of an answer of the store.
const STORE_DELAY: Duration = Duration::from_millis(20);

/// How often a router checks whether it should read the store.
const CHECK_PERIOD: Duration = Duration::from_millis(20);

/// The time after its start in which a router is no relay.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);

/// IPv4 and UDP headers, in bytes.
const HEADER_BYTES: usize = 28;

struct Router {
    listing: ListingExchange,
    centre: usize,
    is_alive: bool,
    started: Duration,
    relay: Option<SocketAddr>,
    is_reading: bool,
}

#[derive(Clone)]
enum Event {
    /// A router checks whether to read, and hears its relay's heartbeat.
    Check(usize),
    Read(usize),
    Datagram {
        from: usize,
        to: usize,
        message: ListingMessage,
    },
}

/// A fleet, its targets and the datagrams on their way.
pub(crate) struct Fleet {
    routers: Vec<Router>,
    /// The data centres whose targets are registered.
    present: Vec<usize>,
    topology: Topology,
    pub(crate) sent_bytes: usize,
    /// The sent bytes by kind of message.
    pub(crate) kinds: BTreeMap<&'static str, usize>,
    /// The calls to the store.
    pub(crate) reads: usize,
    /// The greatest age of a listing.
    pub(crate) oldest: Duration,
    now: Duration,
    origin: Instant,
    rng: ChaCha8Rng,
    count: u64,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Event>,
}

fn address(router: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (router / 250) as u8, (router % 250) as u8], 7_400))
}

fn number(address: SocketAddr) -> usize {
    (0..ROUTERS)
        .find(|&it| self::address(it) == address)
        .expect("a router")
}

fn target(index: usize) -> Target {
    let centre = index % CENTRES;
    Target {
        name: Name::new(&format!("model-pool-{index:05}")),
        service: Name::new("model-pool"),
        address: SocketAddr::from(([10, 1, (index / 250) as u8, (index % 250) as u8], 9_000)),
        centre: Name::new(&format!("longview-{centre}")),
        slots: 12,
        state: TargetState::Ready,
        cold: Duration::ZERO,
        born: 1_764_857_000_000 + index as u64,
        version: SoftwareVersion::new("v1.4.2"),
    }
}

fn bytes(message: &ListingMessage) -> usize {
    Datagram::from(message.clone()).encode().len() + HEADER_BYTES
}

/// The bytes of the change between two listings, sent once.
pub(crate) fn change_bytes(old: &[Target], new: &[Target]) -> usize {
    let change = Update::Change {
        revision: 1,
        old: old.to_vec(),
        new: new.to_vec(),
    };
    let sender = ListingExchange::new(listing_digest, Instant::now());
    sender.messages(change).iter().map(bytes).sum()
}

impl Fleet {
    /// Creates a fleet whose routers have all read the targets.
    pub(crate) fn start(seed: u64) -> Self {
        let mut fleet = Self {
            routers: Vec::new(),
            present: (0..CENTRES).collect(),
            topology: Topology::default(),
            sent_bytes: 0,
            kinds: BTreeMap::new(),
            reads: 0,
            oldest: Duration::ZERO,
            now: DISCOVERY_TIME,
            origin: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            count: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
        };
        let adopted = Adopted {
            targets: fleet.listing_of(&fleet.present),
            revision: 1,
            age: Duration::ZERO,
        };
        for router in 0..ROUTERS {
            let mut listing = ListingExchange::new(listing_digest, fleet.mono());
            listing.adopt(&adopted, fleet.mono());
            fleet.routers.push(Router {
                listing,
                centre: router % CENTRES,
                is_alive: true,
                started: Duration::ZERO,
                relay: None,
                is_reading: false,
            });
            let phase = CHECK_PERIOD.mul_f64(fleet.rng.random_range(0.0..1.0));
            fleet.push(fleet.now + phase, Event::Check(router));
        }
        fleet.update_topology();
        fleet
    }

    fn mono(&self) -> Instant {
        self.origin + self.now
    }

    /// The targets of some data centres, ordered by name.
    pub(crate) fn listing_of(&self, centres: &[usize]) -> Vec<Target> {
        let targets = (0..TARGETS).filter(|index| centres.contains(&(index % CENTRES)));
        targets.map(target).collect()
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count)));
        self.events.insert(self.count, event);
    }

    /// Ends the routers of a data centre and unregisters its targets.
    pub(crate) fn lose_centre(&mut self, centre: usize) {
        self.present.retain(|&it| it != centre);
        let lost = self.routers.iter_mut().filter(|it| it.centre == centre);
        lost.for_each(|router| router.is_alive = false);
        self.update_topology();
    }

    /// Registers the targets of a data centre again.
    pub(crate) fn return_targets(&mut self, centre: usize) {
        self.present.push(centre);
    }

    /// Starts the routers of a data centre, which know nothing.
    pub(crate) fn start_routers(&mut self, centre: usize) {
        let (now, mono) = (self.now, self.mono());
        for router in self.routers.iter_mut().filter(|it| it.centre == centre) {
            router.listing = ListingExchange::new(listing_digest, mono);
            router.is_alive = true;
            router.is_reading = false;
            router.started = now;
        }
        self.update_topology();
    }

    /// Derives who reports to whom, as the exchange of state does.
    fn update_topology(&mut self) {
        let located = |index: usize, router: &Router| Located {
            address: address(index),
            centre: CentreTag::new(&Name::new(&format!("centre-{}", router.centre))),
        };
        let live = self.routers.iter().enumerate();
        let live = live.filter(|(_, router)| router.is_alive);
        let live = live.map(|(index, router)| {
            let is_steady = self.now.saturating_sub(router.started) >= DISCOVERY_TIME;
            (located(index, router), is_steady)
        });
        self.topology = Topology::new(&live.collect::<Vec<_>>());
        let relays: Vec<Option<SocketAddr>> = (self.routers.iter().enumerate())
            .map(
                |(index, router)| match self.topology.is_relay(address(index)) {
                    true => None,
                    false => {
                        let preferred = self.topology.preferred_relays(located(index, router));
                        preferred.first().copied()
                    }
                },
            )
            .collect();
        for (router, relay) in self.routers.iter_mut().zip(relays) {
            router.relay = relay;
        }
    }

    fn live(&self) -> Vec<usize> {
        (0..ROUTERS)
            .filter(|&it| self.routers[it].is_alive)
            .collect()
    }

    /// Plays until a time since the begin.
    pub(crate) fn run_until(&mut self, end: Duration) {
        let end = end + DISCOVERY_TIME;
        while let Some(&Reverse((at, id))) = self.queue.peek() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            match self.events.remove(&id).expect("an event") {
                Event::Check(router) => self.check(router),
                Event::Read(router) => self.read(router),
                Event::Datagram { from, to, message } => self.receive(from, to, message),
            }
        }
        self.now = end;
    }

    fn check(&mut self, index: usize) {
        self.push(self.now + CHECK_PERIOD, Event::Check(index));
        let (now, mono) = (self.now, self.mono());
        if !self.routers[index].is_alive {
            return;
        }
        let age = self.routers[index].listing.age(mono);
        let uptime = now.saturating_sub(self.routers[index].started);
        let intervals = PollIntervals::new(BOUND, BOUND);
        let is_due = match age {
            Some(age) if age < intervals.reader_age => false,
            Some(_) => intervals.targets_due(self.rank(index), age).is_zero(),
            None => uptime >= polling::first_read_delay(self.rank(index), ROUTERS),
        };
        let router = &mut self.routers[index];
        self.oldest = self.oldest.max(age.unwrap_or(Duration::ZERO));
        let heard = router.relay.unwrap_or(address(0));
        let is_tick = now.as_millis() % PERIOD.as_millis() < CHECK_PERIOD.as_millis();
        // Each heartbeat leads to this question.
        let relay = router.relay;
        let question = match is_tick {
            true => (router.listing.ask_for_rest(relay, mono))
                .or_else(|| router.listing.ask_for_first(heard, relay, mono)),
            false => None,
        };
        if is_due && !router.is_reading {
            router.is_reading = true;
            self.reads += 1;
            self.push(now + STORE_DELAY, Event::Read(index));
        }
        self.send_all(index, question);
    }

    /// A router's rank among the routers on which others rely to read the store.
    fn rank(&self, index: usize) -> usize {
        let others = self.live().into_iter();
        let others =
            others.filter(|&it| it != index && self.routers[it].listing.age(self.mono()).is_some());
        polling::rank(address(index), others.map(address))
    }

    fn read(&mut self, index: usize) {
        let mono = self.mono();
        let targets = self.listing_of(&self.present);
        let revision = self.now.as_millis() as u64;
        let rank = self.rank(index);
        let router = &mut self.routers[index];
        router.is_reading = false;
        if !router.is_alive {
            return;
        }
        let (adopted, update) = router.listing.read(targets, revision, rank);
        router.listing.adopt(&adopted, mono);
        let messages = router.listing.messages(update);
        for message in messages {
            let size = bytes(&message);
            for to in self.live().into_iter().filter(|&to| to != index) {
                self.send(index, to, message.clone(), size);
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: ListingMessage) {
        let mono = self.mono();
        let router = &mut self.routers[to];
        if !router.is_alive {
            return;
        }
        let received = router.listing.receive(message, address(from), mono);
        if let Some(adopted) = received.adopted {
            router.listing.adopt(&adopted, mono);
        }
        self.send_all(to, received.sent);
    }

    fn send_all(
        &mut self,
        from: usize,
        messages: impl IntoIterator<Item = (SocketAddr, ListingMessage)>,
    ) {
        for (to, message) in messages {
            let size = bytes(&message);
            self.send(from, number(to), message, size);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: ListingMessage, size: usize) {
        self.sent_bytes += size;
        let kind = match &message {
            ListingMessage::Step(_) => "changes",
            ListingMessage::Unchanged { .. } => "notices",
            ListingMessage::Query | ListingMessage::RangeQuery(_) => "questions",
            ListingMessage::Part(_) => "whole listings",
            ListingMessage::RangeAnswer(_) => "ranges",
        };
        *self.kinds.entry(kind).or_default() += size;
        let random = self.rng.random_range(0.0..1.0);
        let delay = match random {
            lost if lost < LOSS => return,
            overtaken if overtaken < LOSS + OVERTAKEN => LONG_DELAY,
            _ => DELAY,
        };
        self.push(self.now + delay, Event::Datagram { from, to, message });
    }

    /// Asserts that each live router has the targets that are registered.
    pub(crate) fn assert_current(&self) {
        let targets = self.listing_of(&self.present);
        let digest = listing_digest(&targets);
        let others = self.live().into_iter();
        let others =
            others.filter(|&it| listing_digest(self.routers[it].listing.targets()) != digest);
        assert_eq!(others.count(), 0, "routers with other targets");
    }
}
