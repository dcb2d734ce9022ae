//! Plays a router that sends few requests to each of many targets, which close idle
//! connections, and counts the connections that it opens.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use entity::Name;
use knapweed_policy::direct::cold::Members;
use knapweed_policy::direct::config::{Engine, Service};
use knapweed_policy::direct::placement::{
    IdleConnections, Placement, PlacementRequest, PlacementSettings, select_target,
};
use knapweed_policy::direct::target::{SoftwareVersion, Target, TargetRegistry, TargetState};
use knapweed_policy::direct::target_table::{
    LoadReport, PeerLoadReport, Prompt, TargetLoad, TargetTable,
};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TARGETS: u8 = 120;

/// The number of requests that a target runs at once.
const SLOTS: u32 = 12;

/// The number of requests between two reports of the other routers.
const PEER_REPORT_REQUESTS: u32 = 7;

/// The time between two requests of the router.
const INTERVAL: Duration = Duration::from_millis(45);

/// How long a request runs.
const RUN_TIME: Duration = Duration::from_millis(600);

/// The idle time after which a target closes a connection.
const IDLE_TIME: Duration = Duration::from_millis(3_800);

/// The number of requests played, a minute of them.
const REQUESTS: u32 = 1_333;

/// Idle connections by the address of their target and the time since when they are.
#[derive(Default)]
struct Pool {
    idle: RefCell<Vec<(SocketAddr, Instant)>>,
}

impl Pool {
    /// Takes a connection; returns whether there was one.
    fn take(&self, address: SocketAddr) -> bool {
        let mut idle = self.idle.borrow_mut();
        let found = idle.iter().position(|(it, _)| *it == address);
        found.map(|index| idle.swap_remove(index)).is_some()
    }

    fn close_expired(&self, now: Instant) {
        let is_open = |since: Instant| now.duration_since(since) < IDLE_TIME;
        self.idle.borrow_mut().retain(|(_, since)| is_open(*since));
    }
}

impl IdleConnections for Pool {
    fn has_idle(&self, address: SocketAddr) -> bool {
        self.idle.borrow().iter().any(|(it, _)| *it == address)
    }

    fn has_idle_opened_before(&self, _address: SocketAddr, _time: Instant) -> bool {
        false
    }
}

fn registry(now: Instant) -> TargetRegistry {
    let target = |number: u8| Target {
        name: Name::new(&format!("i-{number}")),
        service: Name::new("pool"),
        address: SocketAddr::from(([10, 0, 0, number], 80)),
        centre: Name::new("north"),
        slots: SLOTS,
        state: TargetState::Ready,
        cold: Duration::ZERO,
        born: 1,
        version: SoftwareVersion::default(),
    };
    let mut registry = TargetRegistry::default();
    registry.replace((0..TARGETS).map(target).collect(), now);
    registry
}

/// What other routers have in flight at each target: it differs from moment to moment.
fn peer_loads(table: &TargetTable, rng: &mut ChaCha8Rng, now: Instant) -> PeerLoadReport {
    let reports = table.targets().map(|(_, target)| LoadReport {
        target: target.tag,
        load: TargetLoad {
            waiting_tokens: 0.0,
            attempts: rng.random_range(0..7),
            memory_tokens: 0.0,
        },
    });
    PeerLoadReport {
        received_at: now,
        reports: reports.collect(),
    }
}

/// Returns the number of connections opened and the most requests at once on a target,
/// those of all routers.
fn play(connection_cost_millis: f64) -> (u32, u32) {
    let start = Instant::now();
    let mut table = TargetTable::default();
    table.apply_registry(&registry(start), start);
    let service = Service {
        name: Name::new("pool"),
        connections: 520,
        cold_rate: 0.0,
        engine: Some(Engine {
            slots: SLOTS,
            memory: 400_000,
            copy_rate: 0.0,
        }),
    };
    let settings = PlacementSettings {
        connection_cost_millis,
        ..PlacementSettings::default()
    };
    let prompt = Prompt {
        input_tokens: 600,
        max_output_tokens: 300,
        expected_output_tokens: 300,
        ..Prompt::default()
    };
    let centre = Name::new("north");
    let members = Members::default();
    let pool = Pool::default();
    let (mut opened, mut most) = (0, 0);
    let mut running = VecDeque::new();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for number in 0..REQUESTS {
        let now = start + INTERVAL * number;
        if number % PEER_REPORT_REQUESTS == 0 {
            let report = peer_loads(&table, &mut rng, now);
            table.set_peer_loads(std::iter::once(&report), now);
        }
        while let Some(&(target, cost, end)) = running.front() {
            if end > now {
                break;
            }
            running.pop_front();
            table.end_attempt(target, cost, true);
            pool.idle
                .borrow_mut()
                .push((table.target(target).address, end));
        }
        pool.close_expired(now);
        let request = PlacementRequest {
            service: &service,
            prompt: Some(&prompt),
            min_objective: Duration::from_millis(600),
            objective: Duration::from_millis(600),
            wait_factor: 1.0,
            excess_delay: None,
            centre: &centre,
            version: None,
            tried: &[],
            members: &members,
        };
        let placed = select_target(&mut table, &settings, &request, &pool, now);
        let Placement::Target { target, .. } = placed else {
            panic!("request {number} is refused: {placed:?}");
        };
        opened += u32::from(!pool.take(table.target(target).address));
        let cost = table.begin_attempt(target, Some(&prompt), 0, now);
        table.record_first_event(target, cost, now);
        most = most.max(table.target(target).load().attempts);
        running.push_back((target, cost, now + RUN_TIME));
    }
    (opened, most)
}

#[test]
fn connections_to_many_targets_are_reused_without_crowding_any() {
    let default = PlacementSettings::default().connection_cost_millis;
    let (without, _) = play(0.0);
    let (with, most) = play(default);
    assert!(with * 2 <= without, "{with} opened, {without} without");
    // A connection saved is not worth running beside many others.
    assert!(most <= SLOTS / 2, "{most} requests at once on a target");
}
