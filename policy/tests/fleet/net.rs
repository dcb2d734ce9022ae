//! A deterministic network of fleet state machines with virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use entity::{Incarnation, Name, Now, ProcessId, StateMachine as _};
use knapweed_policy::fleet::{
    Alarm, Fleet, FleetAction, FleetEvent, FleetMessage, FleetSettings, Role, TICK, Version,
};
use knapweed_policy::message::Endpoint;
use knapweed_policy::reader::{ReadRequest, ServiceKey, ServiceResult};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::fake::{FakeCompiler, Replica, epoch};

/// The TCP/IP and RPC framing of one message, half of the 257 bytes of an exchange.
const FRAME_BYTES: usize = 129;

/// The size of the envelope's own fields.
const ENVELOPE_BYTES: usize = 48;

pub(crate) struct Process {
    pub(crate) fleet: Option<Fleet<FakeCompiler>>,
    pub(crate) endpoint: Endpoint,
    /// Only processes with the same number exchange messages.
    pub(crate) partition: u32,
    /// The replica that the process reads; `None` if it cannot reach the service.
    pub(crate) replica: Option<usize>,
    pub(crate) paused: bool,
    /// What arrived while the process was paused.
    pub(crate) backlog: VecDeque<Delivery>,
    pub(crate) alarms: Vec<Alarm>,
    pub(crate) adopted: Vec<(Duration, Version)>,
    pub(crate) ready: Option<Duration>,
    pub(crate) delivered: Vec<u64>,
    pub(crate) bytes_sent: usize,
    /// Incremented when the process starts or stops, to drop what was meant for an earlier run.
    generation: u64,
}

pub(crate) enum Delivery {
    Tick {
        generation: u64,
    },
    Message {
        from: Endpoint,
        version: Version,
        message: FleetMessage,
    },
    Answer {
        generation: u64,
        key: ServiceKey,
        result: ServiceResult,
    },
    WatchTimeout {
        generation: u64,
        request: ReadRequest,
        replica: usize,
    },
}

pub(crate) struct Net {
    pub(crate) processes: Vec<Process>,
    pub(crate) replicas: Vec<Replica>,
    pub(crate) calls_per_second: BTreeMap<u64, usize>,
    pub(crate) loss_rate: f64,
    /// The indices of two processes whose direct messages are dropped, the lower one first.
    pub(crate) blocked: Option<(usize, usize)>,
    pub(crate) clock: Duration,
    start: Instant,
    /// The deliveries by time and sequence number, with the index of the receiver.
    queue: BTreeMap<(Duration, u64), (usize, Delivery)>,
    /// The pending watches: index and generation of the process, request and replica.
    watches: Vec<(usize, u64, ReadRequest, usize)>,
    index_by_address: BTreeMap<SocketAddr, usize>,
    rng: ChaCha8Rng,
    sequence: u64,
}

pub(crate) fn name(index: usize) -> Name {
    Name::new(&format!("p{index}"))
}

pub(crate) fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7000))
}

/// The VM list of `n` processes, with those in `leaving` marked as leaving.
pub(crate) fn vms(n: usize, leaving: &[usize]) -> String {
    let vm = |i: usize| {
        let state = if leaving.contains(&i) {
            "leaving"
        } else {
            "live"
        };
        let role = if i.is_multiple_of(3) {
            "agent"
        } else {
            "router"
        };
        let (name, control, centre) = (name(i), address(i), i % 4);
        format!(
            r#"{{"name":"{name}","role":"{role}","data_centre":"dc{centre}","control":"{control}","state":"{state}"}}"#
        )
    };
    format!("[{}]", (0..n).map(vm).collect::<Vec<_>>().join(","))
}

impl Net {
    pub(crate) fn new(n: usize, seed: u64) -> Self {
        let mut net = Self {
            processes: Vec::new(),
            replicas: vec![Replica::default()],
            calls_per_second: BTreeMap::new(),
            loss_rate: 0.0,
            blocked: None,
            clock: Duration::ZERO,
            start: Instant::now() + Duration::from_secs(86_400),
            queue: BTreeMap::new(),
            watches: Vec::new(),
            index_by_address: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
        };
        net.replicas[0].put(ServiceKey::Vms, 1, &vms(n, &[]));
        for i in 0..n {
            net.add(&name(i), address(i));
        }
        net
    }

    pub(crate) fn add(&mut self, name: &Name, control: SocketAddr) -> usize {
        let index = self.processes.len();
        let endpoint = Endpoint {
            id: ProcessId(name.tag()),
            incarnation: Incarnation(0),
            control,
        };
        self.processes.push(Process {
            fleet: None,
            endpoint,
            partition: 0,
            replica: Some(0),
            paused: false,
            backlog: VecDeque::new(),
            alarms: Vec::new(),
            adopted: Vec::new(),
            ready: None,
            delivered: Vec::new(),
            bytes_sent: 0,
            generation: 0,
        });
        self.index_by_address.insert(control, index);
        self.restart(index);
        index
    }

    /// Starts or restarts a process without state.
    pub(crate) fn restart(&mut self, index: usize) {
        let now = self.now();
        let micros = now
            .wall
            .duration_since(std::time::UNIX_EPOCH)
            .expect("the clock is after the Unix epoch");
        let seed = self.rng.random();
        let process = &mut self.processes[index];
        process.generation += 1;
        process.endpoint.incarnation = Incarnation(micros.as_micros() as u64);
        process.ready = None;
        process.paused = false;
        process.backlog.clear();
        let settings = FleetSettings {
            endpoint: process.endpoint,
            role: if index.is_multiple_of(3) {
                Role::Agent
            } else {
                Role::Router
            },
            centre: Name::new(&format!("dc{}", index % 4)).tag(),
            seeds: Vec::new(),
            seed,
        };
        process.fleet = Some(Fleet::new(settings, FakeCompiler, now));
        let generation = process.generation;
        self.watches.retain(|watch| watch.0 != index);
        let first_tick_delay = TICK.mul_f64(self.rng.random());
        self.schedule(first_tick_delay, index, Delivery::Tick { generation });
    }

    pub(crate) fn stop(&mut self, index: usize) {
        self.processes[index].fleet = None;
        self.processes[index].generation += 1;
    }

    pub(crate) fn resume(&mut self, index: usize) {
        self.processes[index].paused = false;
        let backlog = std::mem::take(&mut self.processes[index].backlog);
        for delivery in backlog {
            self.schedule(Duration::ZERO, index, delivery);
        }
    }

    /// Publishes a value at one replica and answers its pending watches of the key.
    pub(crate) fn publish(&mut self, replica: usize, key: &ServiceKey, index: u64, body: &str) {
        self.replicas[replica].put(key.clone(), index, body);
        let (matching, rest) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|(_, _, request, at)| request.key == *key && *at == replica);
        self.watches = rest;
        let matching: Vec<(usize, u64, ReadRequest, usize)> = matching;
        for (process, generation, request, _) in matching {
            if let Some(result) = self.replicas[replica].read(&request.key, request.after) {
                let key = request.key;
                self.schedule(
                    LATENCY,
                    process,
                    Delivery::Answer {
                        generation,
                        key,
                        result,
                    },
                );
            }
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.clock + time;
        while let Some(entry) = self
            .queue
            .first_entry()
            .filter(|entry| entry.key().0 <= end)
        {
            let ((at, _), (index, delivery)) = entry.remove_entry();
            self.clock = at;
            self.deliver(index, delivery);
        }
        self.clock = end;
    }

    /// Runs until the condition holds; returns the elapsed time, or `None` after `limit`.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        done: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.clock;
        while self.clock < start + limit {
            if done(self) {
                return Some(self.clock - start);
            }
            self.run(TICK);
        }
        None
    }

    pub(crate) fn fleet(&self, index: usize) -> &Fleet<FakeCompiler> {
        self.processes[index]
            .fleet
            .as_ref()
            .expect("the process runs")
    }

    pub(crate) fn fleets(&self) -> impl Iterator<Item = &Fleet<FakeCompiler>> {
        self.processes
            .iter()
            .filter_map(|process| process.fleet.as_ref())
    }

    pub(crate) fn all_at_revision(&self, revision: u64) -> bool {
        self.fleets()
            .all(|fleet| fleet.version().revision.0 == revision)
    }

    pub(crate) fn event(&mut self, index: usize, event: FleetEvent) {
        let now = self.now();
        let mut actions = Vec::new();
        if let Some(fleet) = &mut self.processes[index].fleet {
            fleet.handle(now, event, &mut actions);
        }
        for action in actions {
            self.apply_action(index, action);
        }
    }

    pub(crate) fn now(&self) -> Now {
        Now {
            mono: self.start + self.clock,
            wall: epoch() + self.clock,
        }
    }

    /// The mean and maximum of bytes sent per process and second since the last call.
    pub(crate) fn traffic(&mut self, span: Duration) -> (usize, usize) {
        let seconds = span.as_secs_f64();
        let rate = |process: &mut Process| std::mem::take(&mut process.bytes_sent) as f64 / seconds;
        let rates: Vec<_> = self.processes.iter_mut().map(rate).collect();
        let mean = rates.iter().sum::<f64>() / rates.len() as f64;
        let max = rates.iter().copied().fold(0.0, f64::max);
        (mean.round() as usize, max.round() as usize)
    }

    fn schedule(&mut self, delay: Duration, index: usize, delivery: Delivery) {
        self.sequence += 1;
        self.queue
            .insert((self.clock + delay, self.sequence), (index, delivery));
    }

    fn deliver(&mut self, index: usize, delivery: Delivery) {
        let generation = self.processes[index].generation;
        let stale = match &delivery {
            Delivery::Tick { generation: of } => *of != generation,
            Delivery::Answer { generation: of, .. }
            | Delivery::WatchTimeout { generation: of, .. } => *of != generation,
            Delivery::Message { .. } => self.processes[index].fleet.is_none(),
        };
        if stale {
            return;
        }
        if self.processes[index].paused {
            self.processes[index].backlog.push_back(delivery);
            return;
        }
        match delivery {
            Delivery::Tick { generation } => {
                self.event(index, FleetEvent::Tick);
                self.schedule(TICK, index, Delivery::Tick { generation });
            }
            Delivery::Message {
                from,
                version,
                message,
            } => {
                let endpoint = from;
                self.event(index, FleetEvent::PeerVersion { endpoint, version });
                self.event(index, FleetEvent::Received { from, message });
            }
            Delivery::Answer { key, result, .. } => {
                self.event(index, FleetEvent::ServiceAnswer { key, result });
            }
            Delivery::WatchTimeout {
                generation,
                request,
                replica,
            } => {
                let matches = |watch: &(usize, u64, ReadRequest, usize)| {
                    (watch.0, watch.1, watch.3) == (index, generation, replica)
                        && watch.2 == request
                };
                if let Some(position) = self.watches.iter().position(matches) {
                    self.watches.remove(position);
                    let result = ServiceResult::Unchanged;
                    let key = request.key;
                    self.event(index, FleetEvent::ServiceAnswer { key, result });
                }
            }
        }
    }

    fn apply_action(&mut self, index: usize, action: FleetAction) {
        let clock = self.clock;
        match action {
            FleetAction::Send { to, message } => self.send(index, to, message),
            FleetAction::ReadService(request) => self.read(index, request),
            FleetAction::Adopt(config) => {
                let version = Version {
                    revision: config.revision,
                    hash: config.hash,
                };
                self.processes[index].adopted.push((clock, version));
            }
            FleetAction::Alarm(alarm) => self.processes[index].alarms.push(alarm),
            FleetAction::Ready => self.processes[index].ready = Some(clock),
            FleetAction::Deliver(item) => self.processes[index].delivered.push(item.key),
            FleetAction::Incarnation(incarnation) => {
                self.processes[index].endpoint.incarnation = incarnation;
            }
            FleetAction::MembersChanged => {}
        }
    }

    fn send(&mut self, index: usize, to: SocketAddr, message: FleetMessage) {
        let sender = &mut self.processes[index];
        let size = postcard::experimental::serialized_size(&message).expect("messages encode");
        sender.bytes_sent += FRAME_BYTES + ENVELOPE_BYTES + size;
        let (from, partition) = (sender.endpoint, sender.partition);
        let version = sender.fleet.as_ref().expect("the sender runs").version();
        let Some(&receiver) = self.index_by_address.get(&to) else {
            return;
        };
        let pair = Some((index.min(receiver), index.max(receiver)));
        let lost = self.rng.random::<f64>() < self.loss_rate || pair == self.blocked;
        if lost || self.processes[receiver].partition != partition {
            return;
        }
        let delay = LATENCY.mul_f64(0.5 + self.rng.random::<f64>());
        self.schedule(
            delay,
            receiver,
            Delivery::Message {
                from,
                version,
                message,
            },
        );
    }

    fn read(&mut self, index: usize, request: ReadRequest) {
        let generation = self.processes[index].generation;
        let Some(replica) = self.processes[index].replica else {
            let (key, result) = (request.key, ServiceResult::Unreachable);
            let answer = Delivery::Answer {
                generation,
                key,
                result,
            };
            self.schedule(Duration::from_secs(1), index, answer);
            return;
        };
        *self
            .calls_per_second
            .entry(self.clock.as_secs())
            .or_default() += 1;
        match self.replicas[replica].read(&request.key, request.after) {
            Some(result) => {
                let key = request.key;
                self.schedule(
                    LATENCY * 3,
                    index,
                    Delivery::Answer {
                        generation,
                        key,
                        result,
                    },
                );
            }
            None => {
                self.watches
                    .push((index, generation, request.clone(), replica));
                self.schedule(
                    request.wait,
                    index,
                    Delivery::WatchTimeout {
                        generation,
                        request,
                        replica,
                    },
                );
            }
        }
    }
}

/// The mean latency of a message.
pub(crate) const LATENCY: Duration = Duration::from_millis(1);
