//! Benchmarks one period of the exchange among edge routers and prints its bytes.
//!
//! All routers of a fleet run in this process; a period is one tick of each of them and
//! the receipt of everything that they send. Elements are routers, so the throughput is
//! the inverse of what a router spends in a period of 100 ms.

use std::collections::VecDeque;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use entity::Name;
use policy::direct::confirmation::Uptime;
use policy::direct::exchange::message::CentreTag;
use policy::direct::exchange::{Exchange, Identity, LocalState, Moment, Outgoing, PERIOD};
use policy::direct::kept::KeptRow;
use policy::direct::rotation::Readiness;
use policy::direct::target_table::{LoadReport, TargetLoad};
use wire::Datagram;

/// The sizes of fleets, and their numbers of data centres.
const FLEETS: [(usize, usize); 4] = [(30, 4), (120, 6), (350, 7), (1_000, 7)];

/// The number of targets, and of those at which a router has attempts.
const TARGETS: usize = 600;
const TARGETS_IN_USE: usize = 12;

/// The number of parts that a target keeps and that requests use.
const KEPT_PARTS: u64 = 50;

/// The uses of prompt parts at a router in a period: those of 20 requests a second.
const KEPT_USES: u32 = 4;

/// The number of periods in which a fleet settles.
const SETTLING_PERIODS: u32 = 140;

/// The number of periods whose bytes are counted.
const COUNTED_PERIODS: u32 = 20;

fn address(router: usize) -> SocketAddr {
    let [_, a, b, c] = (router as u32).to_be_bytes();
    SocketAddr::from(([10, a, b, c], 7_400))
}

struct Fleet {
    routers: Vec<(Exchange, Vec<LoadReport>)>,
    origin: Instant,
    periods: u32,
    /// The encoded bytes sent so far, if they are counted.
    sent_bytes: Option<usize>,
    /// The uses of prompt parts of each router in a period.
    kept_uses: u32,
}

impl Fleet {
    fn settled(count: usize, centres: usize) -> Self {
        let origin = Instant::now();
        let seeds = [address(0), address(1), address(2)];
        let routers = (0..count).map(|router| {
            let own = Identity {
                address: address(router),
                centre: CentreTag::new(&Name::new(&format!("centre-{}", router % centres))),
                incarnation: 1,
            };
            let targets = (0..TARGETS_IN_USE).map(|it| (router * 7 + it * 5) % TARGETS);
            let loads = targets.map(|target| LoadReport {
                target: target as u64,
                load: TargetLoad {
                    waiting_tokens: 500.0,
                    attempts: 2,
                    memory_tokens: 2_000.0,
                },
            });
            let exchange = Exchange::new(own, &seeds, Duration::from_secs(3), origin);
            (exchange, loads.collect())
        });
        let mut fleet = Self {
            routers: routers.collect(),
            origin,
            periods: 0,
            sent_bytes: None,
            kept_uses: 0,
        };
        for _ in 0..SETTLING_PERIODS {
            fleet.play_period();
        }
        let known = fleet.routers[0].0.reachable().count();
        assert_eq!(known, count - 1, "the fleet has settled");
        fleet
    }

    fn play_period(&mut self) {
        self.periods += 1;
        let after = PERIOD * self.periods;
        let now = Moment {
            mono: self.origin + after,
            uptime: Uptime(after),
        };
        let mut under_way: VecDeque<(SocketAddr, Outgoing)> = VecDeque::new();
        for (router, (exchange, loads)) in self.routers.iter_mut().enumerate() {
            let first = self.periods * self.kept_uses;
            let uses = (first..first + self.kept_uses).map(|it| kept_use(router, it));
            exchange.add_kept(uses, now);
            let sent = exchange.tick(&local_state(loads), now);
            under_way.extend(sent.into_iter().map(|it| (address(router), it)));
        }
        while let Some((from, Outgoing { to, message })) = under_way.pop_front() {
            if let Some(bytes) = &mut self.sent_bytes {
                *bytes += Datagram::from(message.clone()).encode().len();
            }
            let SocketAddr::V4(it) = to else { continue };
            let [_, a, b, c] = it.ip().octets();
            let receiver = u32::from_be_bytes([0, a, b, c]) as usize;
            let (exchange, loads) = &mut self.routers[receiver];
            let received = exchange.receive(message, now);
            if received.wants_reply {
                let replies = exchange.replies(from, &local_state(loads), now);
                under_way.extend(replies.into_iter().map(|it| (to, it)));
            }
        }
    }
}

/// Spreads numbers over all values, as hashes are.
fn mix(number: u64) -> u64 {
    let number = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    number ^ (number >> 29)
}

/// A use of one of the parts that targets keep.
fn kept_use(router: usize, number: u32) -> KeptRow {
    let used = mix(router as u64 + (u64::from(number) << 32));
    let (target, part) = (used % TARGETS as u64, used / TARGETS as u64 % KEPT_PARTS);
    KeptRow {
        target: mix(target + 1),
        part: mix(target * KEPT_PARTS + part + 1),
        tokens: 500,
        age: 0,
    }
}

fn local_state(loads: &[LoadReport]) -> LocalState<'_> {
    LocalState {
        loads,
        teams: &[],
        problem_targets: &[],
        digest: 1,
        confirmation_age: Some(Duration::from_millis(50)),
        is_stopping: false,
        readiness: Readiness::default(),
    }
}

fn exchange(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("period of the exchange");
    group.sample_size(10);
    let plays = FLEETS
        .into_iter()
        .flat_map(|fleet| [(fleet, 0), (fleet, KEPT_USES)]);
    for ((count, centres), kept_uses) in plays {
        let mut fleet = Fleet::settled(count, centres);
        fleet.kept_uses = kept_uses;
        for _ in 0..COUNTED_PERIODS {
            fleet.play_period();
        }
        fleet.sent_bytes = Some(0);
        for _ in 0..COUNTED_PERIODS {
            fleet.play_period();
        }
        let bytes = fleet.sent_bytes.take().unwrap_or_default();
        let per_second = bytes as f64 / count as f64 / (PERIOD * COUNTED_PERIODS).as_secs_f64();
        println!(
            "{count} routers, {kept_uses} uses of parts a period: a router sends {per_second:.0} bytes/s without headers"
        );
        group.throughput(Throughput::Elements(count as u64));
        group.bench_function(
            BenchmarkId::new(format!("{kept_uses} uses"), count),
            |bencher| {
                bencher.iter(|| black_box(&mut fleet).play_period());
            },
        );
    }
    group.finish();
}

criterion_group!(benches, exchange);
criterion_main!(benches);
