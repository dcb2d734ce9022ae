//! Routers that exchange state over a simulated network in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use entity::Name;
use knapweed_policy::direct::confirmation::Uptime;
use knapweed_policy::direct::crash::MAX_CRASHED_TARGETS;
use knapweed_policy::direct::exchange::message::{CentreTag, CrashRow, Message};
use knapweed_policy::direct::exchange::{Exchange, Identity, LocalState, Moment, Outgoing, PERIOD};
use knapweed_policy::direct::fair_share::TeamRate;
use knapweed_policy::direct::rotation::Readiness;
use knapweed_policy::direct::target_table::{LoadReport, TargetLoad, sum_loads};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The delay of a datagram between two data centres.
const DELAY: Duration = Duration::from_millis(1);

/// IPv4 and UDP headers, in bytes.
const HEADER_BYTES: usize = 28;

/// The age of a confirmation at which nobody relies on a router to read the store.
const LOST_AGE: Duration = Duration::from_millis(3_300);

/// One simulated router.
pub(crate) struct Router {
    pub(crate) exchange: Exchange,
    pub(crate) loads: Vec<LoadReport>,
    pub(crate) teams: Vec<(u64, TeamRate)>,
    pub(crate) problems: Vec<u64>,
    pub(crate) readiness: Readiness,
    /// When this router itself read the operators' settings.
    pub(crate) read_at: Option<Duration>,
    /// When the settings were last known to be current, by itself or by peers.
    pub(crate) confirmed_at: Option<Duration>,
    pub(crate) is_alive: bool,
    pub(crate) is_frozen: bool,
    pub(crate) is_cut: bool,
    /// Whether it runs a version that knows no relays.
    pub(crate) is_old: bool,
    pub(crate) sent_bytes: usize,
    pub(crate) sent_datagrams: usize,
    /// The bytes of rows about prompt parts that arrived, with headers, if measured.
    pub(crate) kept_bytes: usize,
    /// The rows about prompt parts that were news here, and when each use happened by its age.
    pub(crate) kept: BTreeMap<(u64, u64), (u32, Duration)>,
    /// The parts and targets of crashes that were news here.
    pub(crate) crashed_parts: BTreeSet<(u64, u64)>,
    /// The parts that completed runs cleared here.
    pub(crate) run_parts: BTreeSet<u64>,
    /// The requests of completed runs that were news here, with their ages then.
    pub(crate) run_requests: BTreeMap<u128, u32>,
    /// The requests and targets of crashes that were news here, and when each happened by
    /// its age.
    pub(crate) crashes: BTreeMap<(u128, u64), Duration>,
    /// The targets that were news here as leaving.
    pub(crate) leaving: BTreeSet<u64>,
    /// Messages that arrived while it was frozen.
    held: VecDeque<Message>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Arrival(Reverse<(Duration, u64)>, usize);

/// The routers and the messages on their way.
pub(crate) struct Net {
    pub(crate) routers: Vec<Router>,
    pub(crate) now: Duration,
    pub(crate) loss: f64,
    /// Whether sent bytes are counted, which takes long in a debug build.
    pub(crate) is_measured: bool,
    pub(crate) largest_datagram: usize,
    centres: usize,
    origin: Instant,
    rng: ChaCha8Rng,
    sent: u64,
    arrivals: BinaryHeap<Arrival>,
    /// The next tick of each router.
    ticks: BinaryHeap<Reverse<(Duration, usize)>>,
    messages: BTreeMap<u64, Message>,
}

pub(crate) fn address(router: usize) -> SocketAddr {
    let bytes = (router as u32).to_be_bytes();
    SocketAddr::from(([10, bytes[1], bytes[2], bytes[3]], 7_400))
}

fn millis(millis: u32) -> Duration {
    Duration::from_millis(millis.into())
}

fn number(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(it) => {
            let [_, a, b, c] = it.ip().octets();
            u32::from_be_bytes([0, a, b, c]) as usize
        }
        SocketAddr::V6(_) => usize::MAX,
    }
}

pub(crate) fn load(target: u64, attempts: u32) -> LoadReport {
    LoadReport {
        target,
        load: TargetLoad {
            waiting_tokens: 0.0,
            attempts,
            memory_tokens: f64::from(attempts) * 1_000.0,
        },
    }
}

impl Net {
    /// Starts `count` routers at once, in `centres` data centres. All know three seeds.
    pub(crate) fn start(count: usize, centres: usize, seed: u64) -> Self {
        let mut net = Self {
            routers: Vec::new(),
            now: Duration::ZERO,
            loss: 0.0,
            is_measured: false,
            largest_datagram: 0,
            centres,
            origin: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            sent: 0,
            arrivals: BinaryHeap::new(),
            ticks: BinaryHeap::new(),
            messages: BTreeMap::new(),
        };
        for router in 0..count {
            let added = net.new_router(router, 1);
            net.routers.push(added);
            let phase = net.rng.random_range(0.0..1.0);
            net.ticks.push(Reverse((PERIOD.mul_f64(phase), router)));
        }
        net
    }

    fn new_router(&mut self, router: usize, incarnation: u64) -> Router {
        let own = Identity {
            address: address(router),
            centre: CentreTag::new(&Name::new(&format!("centre-{}", router % self.centres))),
            incarnation,
        };
        let seeds = [address(0), address(1), address(2)];
        let at = self.origin + self.now;
        Router {
            exchange: Exchange::new(own, &seeds, LOST_AGE, at),
            loads: Vec::new(),
            teams: Vec::new(),
            problems: Vec::new(),
            readiness: Readiness::default(),
            read_at: None,
            confirmed_at: None,
            is_alive: true,
            is_frozen: false,
            is_cut: false,
            is_old: false,
            sent_bytes: 0,
            sent_datagrams: 0,
            kept_bytes: 0,
            kept: BTreeMap::new(),
            crashed_parts: BTreeSet::new(),
            run_parts: BTreeSet::new(),
            run_requests: BTreeMap::new(),
            crashes: BTreeMap::new(),
            leaving: BTreeSet::new(),
            held: VecDeque::new(),
        }
    }

    /// Replaces a router by a new incarnation that knows nothing.
    pub(crate) fn restart(&mut self, router: usize) {
        let incarnation = 2 + self.now.as_micros() as u64;
        self.routers[router] = self.new_router(router, incarnation);
    }

    /// The present of all routers; their clocks count no suspension here.
    pub(crate) fn moment(&self) -> Moment {
        Moment {
            mono: self.origin + self.now,
            uptime: Uptime(self.now),
        }
    }

    /// Plays until a time.
    pub(crate) fn run_until(&mut self, end: Duration) {
        loop {
            let tick = self.ticks.peek().map(|it| it.0.0);
            let arrival = self.arrivals.peek().map(|it| it.0.0.0);
            let next = tick.into_iter().chain(arrival).min();
            let Some(at) = next.filter(|&at| at <= end) else {
                self.now = end;
                return;
            };
            self.now = at;
            if tick == Some(at) {
                let Reverse((_, index)) = self.ticks.pop().expect("a tick");
                self.ticks.push(Reverse((at + PERIOD, index)));
                self.tick(index);
            } else {
                self.deliver();
            }
        }
    }

    pub(crate) fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    fn tick(&mut self, index: usize) {
        let moment = self.moment();
        let router = &mut self.routers[index];
        if router.is_frozen || !router.is_alive {
            return;
        }
        if router.read_at.is_some() {
            router.confirmed_at = router.confirmed_at.max(router.read_at);
        }
        let rejected = router.rejected(self.origin);
        let (exchange, local) = router.parts(moment);
        exchange.set_rejected(rejected);
        let sent = exchange.tick(&local, moment);
        self.send(index, sent);
    }

    /// Adds crashes that a router notices.
    pub(crate) fn add_crashes(&mut self, router: usize, rows: impl Iterator<Item = CrashRow>) {
        let moment = self.moment();
        let router = &mut self.routers[router];
        let new = router.exchange.add_crashes(rows, moment.mono);
        let new = new.iter().map(|row| ((row.request, row.target), self.now));
        router.crashes.extend(new);
    }

    fn send(&mut self, from: usize, messages: Vec<Outgoing>) {
        for Outgoing { to, mut message } in messages {
            let router = &mut self.routers[from];
            match &mut message {
                Message::Beat(beat) if router.is_old => beat.place = None,
                Message::Summary(_) if router.is_old => continue,
                _ => {}
            }
            if self.is_measured {
                let bytes = encoded_bytes(&message);
                self.largest_datagram = self.largest_datagram.max(bytes);
                router.sent_bytes += bytes + HEADER_BYTES;
                router.sent_datagrams += 1;
            }
            let is_lost = self.loss > 0.0 && self.rng.random_range(0.0..1.0) < self.loss;
            if router.is_cut || is_lost {
                continue;
            }
            self.sent += 1;
            self.messages.insert(self.sent, message);
            let at = self.now + DELAY;
            let arrival = Arrival(Reverse((at, self.sent)), number(to));
            self.arrivals.push(arrival);
        }
    }

    fn deliver(&mut self) {
        let Some(Arrival(Reverse((_, id)), to)) = self.arrivals.pop() else {
            return;
        };
        let message = self.messages.remove(&id).expect("a sent message");
        let Some(router) = self.routers.get_mut(to) else {
            return;
        };
        match () {
            () if !router.is_alive || router.is_cut => {}
            // Datagrams that do not fit the socket's buffer are lost.
            () if router.is_frozen && router.held.len() < 200 => router.held.push_back(message),
            () if router.is_frozen => {}
            () => self.receive(to, message),
        }
    }

    fn receive(&mut self, to: usize, mut message: Message) {
        let moment = self.moment();
        let router = &mut self.routers[to];
        match &mut message {
            Message::Beat(beat) if router.is_old => beat.place = None,
            Message::Summary(_) if router.is_old => return,
            _ => {}
        }
        let sender = match &message {
            Message::Beat(beat) => Some(beat.from),
            _ => None,
        };
        if let Message::Kept(_) = &message
            && self.is_measured
        {
            router.kept_bytes += encoded_bytes(&message) + HEADER_BYTES;
        }
        let received = router.exchange.receive(message, moment);
        for row in received.kept {
            let used_at = self.now.saturating_sub(millis(row.age));
            let last_use = (row.tokens, used_at);
            router.kept.insert((row.target, row.part), last_use);
        }
        let crashes = received.parts.crashes.iter();
        let crashes = crashes.map(|row| (row.part, row.target));
        router.crashed_parts.extend(crashes);
        let runs = received.parts.runs.iter().map(|row| row.part);
        router.run_parts.extend(runs);
        router.leaving.extend(received.leaving);
        let runs = received.request_runs.iter();
        router
            .run_requests
            .extend(runs.map(|row| (row.request, row.age)));
        for row in received.crashes {
            let at = self.now.saturating_sub(millis(row.age));
            router.crashes.insert((row.request, row.target), at);
        }
        if let Some((_, at)) = received.confirmation {
            router.confirmed_at = router.confirmed_at.max(Some(at.0));
        }
        if let Some(sender) = sender.filter(|_| received.wants_reply) {
            let (exchange, local) = router.parts(moment);
            let replies = exchange.replies(sender, &local, moment);
            self.send(to, replies);
        }
    }

    /// Ends a suspension: what was held arrives first.
    pub(crate) fn thaw(&mut self, router: usize) {
        self.routers[router].is_frozen = false;
        while let Some(message) = self.routers[router].held.pop_front() {
            self.receive(router, message);
        }
    }

    /// The attempts at all targets in the view of a router.
    pub(crate) fn viewed_attempts(&self, router: usize) -> u32 {
        let now = self.moment().mono;
        let view = self.routers[router].exchange.view(now);
        let sums = sum_loads(view.reports.iter(), now);
        sums.values().map(|load| load.attempts).sum()
    }

    /// The attempts of all live routers but one.
    pub(crate) fn attempts_of_others(&self, router: usize) -> u32 {
        let others = self.routers.iter().enumerate();
        let others = others.filter(|(index, it)| *index != router && it.is_alive);
        let loads = others.flat_map(|(_, it)| &it.loads);
        loads.map(|report| report.load.attempts).sum()
    }

    /// The live routers that can be reached.
    pub(crate) fn connected(&self) -> Vec<usize> {
        let routers = self.routers.iter().enumerate();
        let connected = routers.filter(|(_, it)| it.is_alive && !it.is_frozen && !it.is_cut);
        connected.map(|(index, _)| index).collect()
    }

    /// The relays that routers report to, by the routers' own word.
    pub(crate) fn relays(&self) -> BTreeSet<usize> {
        let connected = self.connected().into_iter();
        let relays = connected.filter_map(|it| self.routers[it].exchange.relay());
        relays.map(number).collect()
    }

    pub(crate) fn now_mono(&self) -> Instant {
        self.moment().mono
    }
}

impl Router {
    /// The crashes of the requests that it rejects, with the time of the latest one.
    fn rejected(&self, origin: Instant) -> Vec<(CrashRow, Instant)> {
        let mut targets: BTreeMap<u128, Vec<u64>> = BTreeMap::new();
        let mut latest: BTreeMap<u128, Duration> = BTreeMap::new();
        for (&(request, target), &at) in &self.crashes {
            targets.entry(request).or_default().push(target);
            let latest = latest.entry(request).or_default();
            *latest = at.max(*latest);
        }
        targets.retain(|_, targets| targets.len() >= MAX_CRASHED_TARGETS);
        let rows = targets.into_iter().flat_map(|(request, targets)| {
            let at = origin + latest[&request];
            let targets = targets.into_iter();
            targets.map(move |target| (CrashRow { request, target }, at))
        });
        rows.collect()
    }

    fn parts(&mut self, moment: Moment) -> (&mut Exchange, LocalState<'_>) {
        let local = LocalState {
            loads: &self.loads,
            teams: &self.teams,
            problem_targets: &self.problems,
            digest: 7,
            confirmation_age: self.confirmed_at.map(|at| moment.uptime.0 - at),
            is_stopping: false,
            readiness: self.readiness,
        };
        (&mut self.exchange, local)
    }
}

/// The size of a message as it is encoded on the wire, with a version and a variant byte.
pub(crate) fn encoded_bytes(message: &Message) -> usize {
    let encoded = match message {
        Message::Beat(beat) => {
            let place = beat.place.map(|it| postcard::to_stdvec(&it));
            let place = place.map_or(0, |it| it.expect("encodes").len());
            let readiness = beat.readiness.map(|it| postcard::to_stdvec(&it));
            let readiness = readiness.map_or(0, |it| it.expect("encodes").len());
            postcard::to_stdvec(beat).expect("encodes").len() + place + readiness
        }
        Message::Summary(summary) => {
            let rows = postcard::to_stdvec(&summary.readiness).expect("encodes");
            postcard::to_stdvec(summary).expect("encodes").len() + rows.len()
        }
        Message::Trouble(trouble) => postcard::to_stdvec(trouble).expect("encodes").len(),
        Message::Leaving(targets) => postcard::to_stdvec(targets).expect("encodes").len(),
        Message::Kept(update) => postcard::to_stdvec(update).expect("encodes").len(),
        Message::Rates(rows) => postcard::to_stdvec(rows).expect("encodes").len(),
        Message::Parts(news) => postcard::to_stdvec(news).expect("encodes").len(),
        Message::Limits(rows) => postcard::to_stdvec(rows).expect("encodes").len(),
        Message::Crashes(rows) => postcard::to_stdvec(rows).expect("encodes").len(),
        Message::RequestRuns(rows) => postcard::to_stdvec(rows).expect("encodes").len(),
    };
    encoded + 2
}
