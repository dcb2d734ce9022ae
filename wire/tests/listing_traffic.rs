//! Tests of the bytes that the listing of targets takes between routers, in virtual time.

#[path = "listing_traffic/net.rs"]
mod net;

use std::time::Duration;

use net::{CENTRES, Fleet, ROUTERS, TARGETS};

/// What a router may send in a second for control at steady state, in bytes.
const STEADY_BYTES: usize = 3_000;

/// How much more than sending everything once to each router an event may cost, since
/// datagrams are lost.
const MAX_EXCESS: usize = 3;

/// The time within which a leaving target must get no more requests.
const DRAIN: Duration = Duration::from_secs(3);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// The bytes of what changed between two listings, sent once.
fn change_bytes(fleet: &Fleet, old: &[usize], new: &[usize]) -> usize {
    let (old, new) = (fleet.listing_of(old), fleet.listing_of(new));
    net::change_bytes(&old, &new)
}

fn all() -> Vec<usize> {
    (0..CENTRES).collect()
}

#[test]
fn a_listing_that_stays_the_same_takes_few_bytes() {
    let mut fleet = Fleet::start(1);
    fleet.run_until(seconds(20));
    let sent = fleet.sent_bytes;
    println!("steady: {} B/s a router", sent / ROUTERS / 20);
    assert!(sent <= STEADY_BYTES * ROUTERS * 20, "{sent} bytes");
    assert!(fleet.oldest < DRAIN, "{:?}", fleet.oldest);
}

#[test]
fn a_data_centre_that_goes_and_comes_costs_little_more_than_to_tell_each_router_once() {
    let mut fleet = Fleet::start(2);
    fleet.run_until(seconds(5));
    assert_eq!(fleet.listing_of(&all()).len(), TARGETS);
    let rest = &all()[1..];

    let before = fleet.sent_bytes;
    fleet.lose_centre(0);
    fleet.run_until(seconds(12));
    let lost = fleet.sent_bytes - before;
    println!("{:?}", std::mem::take(&mut fleet.kinds));
    fleet.assert_current();

    let before = fleet.sent_bytes;
    fleet.return_targets(0);
    fleet.run_until(seconds(19));
    let returned = fleet.sent_bytes - before;
    println!("{:?}", std::mem::take(&mut fleet.kinds));
    fleet.assert_current();

    let before = fleet.sent_bytes;
    fleet.start_routers(0);
    fleet.run_until(seconds(26));
    let started = fleet.sent_bytes - before;
    println!("{:?}", std::mem::take(&mut fleet.kinds));
    fleet.assert_current();

    let centre = ROUTERS / CENTRES;
    let removal = change_bytes(&fleet, &all(), rest) * (ROUTERS - centre);
    let addition = change_bytes(&fleet, rest, &all()) * (ROUTERS - centre);
    let whole = change_bytes(&fleet, &[], &all()) * centre;
    println!("sent of once: removal {lost} of {removal}, addition {returned} of {addition}");
    println!(
        "start {started} of {whole}; {} reads, oldest {:?}",
        fleet.reads, fleet.oldest
    );
    assert!(
        lost <= MAX_EXCESS * removal,
        "{lost} of {removal} when it goes"
    );
    assert!(
        returned <= MAX_EXCESS * addition,
        "{returned} of {addition} when it comes"
    );
    assert!(
        started <= MAX_EXCESS * whole,
        "{started} of {whole} when routers start"
    );
    assert!(fleet.oldest < DRAIN, "{:?}", fleet.oldest);
}
