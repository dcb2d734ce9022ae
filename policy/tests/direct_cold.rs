//! Tests of the requests that a cold target receives from all routers together.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use entity::Name;
use knapweed_policy::direct::cold::{ColdLimit, Members};
use knapweed_policy::direct::config::Service;
use knapweed_policy::direct::incarnation::{ConnectionEnd, EndCause};
use knapweed_policy::direct::placement::{
    IdleConnections, Placement, PlacementRequest, PlacementSettings, select_target,
};
use knapweed_policy::direct::target::{SoftwareVersion, Target, TargetRegistry, TargetState};
use knapweed_policy::direct::target_table::{TargetTable, incarnation_tag};

/// Requests per second that a cold target of these tests can handle.
const COLD_RATE: f64 = 13.0;

/// The limit on the requests of any one second: 1.5 times the rate, plus 5.
const MAX_REQUESTS_PER_SECOND: usize = 24;

const COLD_TIME: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);

fn target(name: &str, cold: Duration) -> Target {
    Target {
        name: Name::new(name),
        service: Name::new("pool"),
        address: ([10, 0, 0, 1], 80).into(),
        centre: Name::new("north"),
        slots: 48,
        state: TargetState::Ready,
        cold,
        born: 1,
        version: SoftwareVersion::default(),
    }
}

fn table(targets: &[Target], now: Instant) -> TargetTable {
    let mut registry = TargetRegistry::default();
    registry.replace(targets.to_vec(), now);
    let mut table = TargetTable::default();
    table.apply_registry(&registry, now);
    table
}

fn tag(target: &Target) -> u64 {
    incarnation_tag(&target.name, target.born)
}

fn service() -> Service {
    Service {
        name: Name::new("pool"),
        connections: 100,
        cold_rate: COLD_RATE,
        engine: None,
    }
}

fn settings() -> PlacementSettings {
    PlacementSettings {
        cold_limit: ColdLimit {
            rate_multiple: 1.5,
            extra_requests: 5.0,
        },
        ..PlacementSettings::default()
    }
}

/// The member list of router `own`.
fn members(own: usize, routers: usize) -> Members {
    let others = (0..routers).filter(|&it| it != own);
    Members::new(own as u64, others.map(|it| it as u64).collect(), true)
}

/// Places one request; returns the target, or `None` if the request is refused.
fn place(table: &mut TargetTable, members: &Members, now: Instant) -> Option<Name> {
    match place_with(table, members, &(), now) {
        Placement::Target { target, .. } => Some(table.target(target).name.clone()),
        Placement::Refused { .. } => None,
    }
}

fn place_with(
    table: &mut TargetTable,
    members: &Members,
    connections: &impl IdleConnections,
    now: Instant,
) -> Placement {
    let service = service();
    let request = PlacementRequest {
        service: &service,
        prompt: None,
        min_objective: Duration::from_millis(600),
        objective: Duration::from_millis(600),
        wait_factor: 1.0,
        excess_delay: None,
        centre: &Name::new("north"),
        version: None,
        tried: &[],
        members,
    };
    select_target(table, &settings(), &request, connections, now)
}

/// Idle connections to one target, by the time at which they were opened.
struct Idle(Vec<Instant>);

impl IdleConnections for Idle {
    fn has_idle(&self, _address: SocketAddr) -> bool {
        !self.0.is_empty()
    }

    fn has_idle_opened_before(&self, _address: SocketAddr, time: Instant) -> bool {
        self.0.iter().any(|&opened_at| opened_at < time)
    }
}

/// The maximum number of requests within any one second.
fn max_in_one_second(requests: &[Instant]) -> usize {
    let starts = requests.iter().enumerate();
    let counts = starts.map(|(index, &first)| {
        let within = requests[index..]
            .iter()
            .take_while(|&&at| at - first < SECOND);
        within.count()
    });
    counts.max().unwrap_or(0)
}

/// The times of the requests of routers that all send to the same cold target as
/// often as they may, after being idle for `idle`.
fn requests(routers: usize, idle: Duration) -> Vec<Instant> {
    let start = Instant::now();
    let cold = [target("cold", COLD_TIME)];
    let router = |own| (members(own, routers), table(&cold, start));
    let mut tables: Vec<(Members, TargetTable)> = (0..routers).map(router).collect();
    let mut requests = Vec::new();
    let mut now = start + idle;
    while now < start + COLD_TIME {
        for (members, table) in &mut tables {
            if place(table, members, now).is_some() {
                requests.push(now);
            }
        }
        now += STEP;
    }
    requests
}

#[test]
fn a_cold_target_is_within_its_limit_for_any_number_of_routers() {
    for routers in [1, 2, 5, 24, 31, 100, 350] {
        for idle in [Duration::ZERO, Duration::from_secs(2)] {
            let max_requests = max_in_one_second(&requests(routers, idle));
            assert!(
                max_requests <= MAX_REQUESTS_PER_SECOND,
                "{routers} routers, idle {idle:?}: {max_requests} in a second"
            );
        }
    }
}

#[test]
fn most_of_a_cold_targets_rate_is_used() {
    for routers in [1, 2, 5, 24, 31, 100] {
        let requests = requests(routers, Duration::ZERO).len() as f64;
        let min_requests = COLD_RATE * 0.5 * COLD_TIME.as_secs_f64();
        assert!(
            requests >= min_requests,
            "{routers} routers: {requests} requests"
        );
    }
}

#[test]
fn requests_beyond_the_cold_rate_are_sent_to_a_warm_target() {
    let now = Instant::now();
    let targets = [target("cold", COLD_TIME), target("warm", Duration::ZERO)];
    let mut table = table(&targets, now);
    for number in 0..40 {
        let at = now + STEP * number;
        assert!(
            place(&mut table, &members(0, 5), at).is_some(),
            "request {number} is refused"
        );
    }
}

#[test]
fn a_router_that_just_started_sends_nothing_to_a_cold_target() {
    let now = Instant::now();
    let mut table = table(&[target("cold", COLD_TIME)], now);
    let unsettled = Members::new(1, Vec::new(), false);
    assert_eq!(place(&mut table, &unsettled, now), None);
}

/// One entry with an enormous cold time stopped the loops that apply the list of targets.
#[test]
fn an_entry_that_is_cold_for_ever_leaves_the_other_targets_in_use() {
    let now = Instant::now();
    for cold in [Duration::from_secs(10_u64.pow(19)), Duration::MAX] {
        let targets = [target("a", cold), target("warm", Duration::ZERO)];
        let mut table = table(&targets, now);
        let at = now + COLD_TIME;
        assert!(place(&mut table, &members(0, 2), at).is_some(), "{cold:?}");
        let service = Name::new("pool");
        for id in table.targets_of_service(&service).to_vec() {
            // The health responses of a target state the same.
            table.extend_cold(id, cold, at);
            assert!(table.target(id).is_cold(at + SECOND), "{cold:?}");
        }
    }
}

/// A target that starts again under its name is cold before the list shows it.
#[test]
fn a_target_that_refused_connections_gets_its_cold_rate_before_and_after_the_list_is_read() {
    for routers in [1, 2, 5, 24, 68] {
        let start = Instant::now();
        let warm = target("reborn", Duration::ZERO);
        let router = |own| {
            (
                members(own, routers),
                table(std::slice::from_ref(&warm), start),
            )
        };
        let mut tables: Vec<(Members, TargetTable)> = (0..routers).map(router).collect();
        for (_, table) in &mut tables {
            let (id, _) = table.targets().next().expect("a target");
            let address = table.target(id).address;
            let begun = table.record_connection_end(ConnectionEnd {
                address,
                cause: EndCause::Refused,
                since: start,
                at: start,
            });
            assert_eq!(begun, [id]);
        }
        let mut reborn = target("reborn", COLD_TIME);
        reborn.born += 1;
        let mut requests = Vec::new();
        let listed_at = SECOND * 6 / 5;
        for step in 0..(SECOND * 3).div_duration_f64(STEP) as u32 {
            let at = STEP * step;
            for (members, table) in &mut tables {
                if at == listed_at {
                    let mut registry = TargetRegistry::default();
                    registry.replace(vec![reborn.clone()], start + at);
                    table.apply_registry(&registry, start + at);
                }
                requests.extend(place(table, members, start + at).map(|_| start + at));
            }
        }
        let most = max_in_one_second(&requests);
        assert!(!requests.is_empty(), "{routers} routers");
        assert!(most <= MAX_REQUESTS_PER_SECOND, "{routers} routers: {most}");
    }
}

/// A router that is not among the senders to a cold target would do without a target that only
/// dropped a connection.
#[test]
fn requests_go_on_over_connections_that_only_lead_to_the_listed_incarnation() {
    let start = Instant::now();
    let warm = target("goes-on", Duration::ZERO);
    // One of the many routers is no sender.
    let members = (0..350)
        .map(|own| members(own, 350))
        .find(|it| {
            it.cold_rate_share(tag(&warm), COLD_RATE, settings().cold_limit)
                .is_none()
        })
        .expect("a router that may not send");
    let mut table = table(std::slice::from_ref(&warm), start);
    let first_sign = start + SECOND;
    let end = ConnectionEnd {
        address: warm.address,
        cause: EndCause::Idle,
        since: first_sign,
        at: first_sign + STEP,
    };
    let id = table.record_connection_end(end)[0];
    let now = first_sign + STEP;
    let (earlier, later) = (first_sign - STEP, first_sign);
    let known = Idle(vec![earlier, later]);
    for _ in 0..40 {
        let placed = place_with(&mut table, &members, &known, now);
        let Placement::Target { opened_before, .. } = placed else {
            panic!("refused: {placed:?}");
        };
        assert_eq!(opened_before, Some(first_sign));
    }
    for idle in [Idle(Vec::new()), Idle(vec![later])] {
        let placed = place_with(&mut table, &members, &idle, now);
        assert!(matches!(placed, Placement::Refused { .. }), "{placed:?}");
    }
    // The response on the earlier connection lifts the limit.
    let incarnation = table.incarnation(id);
    assert!(incarnation.record_response(earlier, now + STEP).is_some());
    let placed = place_with(&mut table, &members, &(), now + STEP * 2);
    let Placement::Target { opened_before, .. } = placed else {
        panic!("refused: {placed:?}");
    };
    assert_eq!(opened_before, None);
}

/// A target that the list shows to be cold is cold on any connection.
#[test]
fn an_earlier_connection_to_a_cold_target_is_limited_too() {
    let start = Instant::now();
    let cold = target("cold", COLD_TIME);
    let mut table = table(std::slice::from_ref(&cold), start);
    table.record_connection_end(ConnectionEnd {
        address: cold.address,
        cause: EndCause::Broken,
        since: start + STEP,
        at: start + STEP,
    });
    let known = Idle(vec![start]);
    let requests = (0..100).filter(|&step| {
        let now = start + STEP * 2 + STEP * step;
        let placed = place_with(&mut table, &members(0, 1), &known, now);
        matches!(placed, Placement::Target { .. })
    });
    assert!(requests.count() <= MAX_REQUESTS_PER_SECOND);
}

/// Bytes on another connection show that a target is not silent.
#[test]
fn an_unanswered_request_to_a_target_that_sends_something_leaves_no_doubt() {
    let start = Instant::now();
    let warm = target("busy", Duration::ZERO);
    let mut table = table(std::slice::from_ref(&warm), start);
    let unanswered = |since| ConnectionEnd {
        address: warm.address,
        cause: EndCause::Unanswered,
        since,
        at: start + SECOND,
    };
    let (id, _) = table.targets().next().expect("a target");
    table.record_byte(id, start + STEP);
    assert_eq!(table.record_connection_end(unanswered(start)), []);
    assert_eq!(
        table.record_connection_end(unanswered(start + STEP)),
        [id],
        "nothing came since"
    );
}
