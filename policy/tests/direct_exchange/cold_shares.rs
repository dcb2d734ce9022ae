//! Tests of the division of a cold target's rate among routers that may not know each other.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use entity::Name;
use knapweed_policy::direct::cold::{ColdLimit, Members};
use knapweed_policy::direct::exchange::message::CentreTag;
use knapweed_policy::direct::exchange::{DISCOVERY_TIME, Exchange, Identity, MEMBER_TIMEOUT};
use xxhash_rust::xxh3::xxh3_64;

use super::net::{Net, address};
use super::{FLEETS, millis, settled};

/// Requests per second that a cold target advertises.
const RATE: f64 = 14.0;

const LIMIT: ColdLimit = ColdLimit {
    rate_multiple: 1.5,
    extra_requests: 5.0,
};

/// The requests that all routers together may send in one second.
const MAX_REQUESTS: f64 = 26.0;

/// The routers that the settings of all others name.
const SEEDS: [usize; 3] = [0, 1, 2];

fn tag(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}

/// The requests that the running routers together may send to a cold target in one second,
/// with the one that each sender may have saved up.
fn cold_requests(net: &Net) -> f64 {
    let running = (0..net.routers.len()).filter(|&router| net.routers[router].is_alive);
    let shares = running.filter_map(|router| {
        let exchange = &net.routers[router].exchange;
        let others = exchange.members().map(|(address, _)| tag(address));
        let knows_members = exchange.knows_members(net.now_mono());
        let members = Members::new(tag(address(router)), others.collect(), knows_members);
        members.cold_rate_share(1, RATE, LIMIT)
    });
    shares.map(|share| share + 1.0).sum()
}

/// Routers that reached none of their seeds each took the whole rate of a cold target, three
/// seconds after their start.
#[test]
fn routers_that_cannot_find_each_other_send_nothing_to_a_cold_target() {
    for (count, centres) in [(9, 4), (30, 4), (68, 6)] {
        let mut net = Net::start(count, centres, 31);
        for seed in SEEDS {
            net.routers[seed].is_alive = false;
        }
        for _ in 0..100 {
            net.run_for(millis(200));
            assert_eq!(cold_requests(&net), 0.0, "{count} routers at {:?}", net.now);
        }
        for seed in SEEDS {
            net.restart(seed);
        }
        let mut most: f64 = 0.0;
        for _ in 0..100 {
            net.run_for(millis(100));
            most = most.max(cold_requests(&net));
            assert!(most <= MAX_REQUESTS, "{count} routers at {:?}", net.now);
        }
        assert!(most >= RATE / 2.0, "{count} routers: {most}");
    }
}

#[test]
fn routers_that_find_each_other_use_most_of_the_rate_of_a_cold_target() {
    for (count, centres) in FLEETS {
        let net = settled(count, centres, 32);
        let requests = cold_requests(&net);
        assert!(requests >= RATE / 2.0, "{count} routers: {requests}");
        assert!(requests <= MAX_REQUESTS, "{count} routers: {requests}");
    }
}

#[test]
fn a_router_that_was_cut_off_is_not_the_whole_fleet_after_it_forgot_the_others() {
    let mut net = settled(5, 4, 33);
    net.routers[3].is_cut = true;
    net.run_for(MEMBER_TIMEOUT + Duration::from_secs(10));
    let exchange = &net.routers[3].exchange;
    assert_eq!(exchange.members().count(), 0);
    assert!(!exchange.knows_members(net.now_mono()));
}

#[test]
fn a_router_that_is_told_of_no_others_is_the_whole_fleet() {
    let own = Identity {
        address: address(0),
        centre: CentreTag::new(&Name::new("north")),
        incarnation: 1,
    };
    let start = Instant::now();
    let exchange = Exchange::new(own, &[address(0)], Duration::from_secs(3), start);
    assert!(!exchange.knows_members(start + DISCOVERY_TIME - millis(1)));
    assert!(exchange.knows_members(start + DISCOVERY_TIME));
}
