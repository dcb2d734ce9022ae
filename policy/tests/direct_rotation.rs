//! Tests of which routers of a data centre are in rotation when one client asks for more
//! than the routers that come first in its order can carry.

#[path = "direct_rotation/centre.rs"]
mod centre;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweed_policy::direct::overload::MAX_UNREADY_TIME;
use knapweed_policy::direct::rotation::{Neighbour, OwnLoad, Readiness, Rotation};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use centre::{Outcome, Play, carried, play};

const WEAK: f64 = 0.09;
const STRONG: f64 = 0.5;

/// The requests of the large client, per second: more than all weak routers can carry,
/// and more than one strong router can.
const FLOOD: f64 = 1_500.0;

/// The seconds in a row for which fewer than half of the routers may be in rotation: the
/// balancer needs two checks to see a change, and two more to see its correction.
const MAX_BELOW_HALF: usize = 4;

/// Data centres of routers of unequal strength, with different orders of the clients.
fn unequal() -> Vec<Play> {
    let strengths: [&[f64]; 5] = [
        &[STRONG, STRONG, WEAK, WEAK, WEAK],
        &[STRONG, STRONG, 0.2, WEAK, WEAK, WEAK],
        &[STRONG, STRONG, WEAK, WEAK, WEAK, WEAK, WEAK],
        &[STRONG, STRONG, STRONG, STRONG, WEAK],
        &[STRONG, STRONG, STRONG, WEAK, WEAK, WEAK],
    ];
    let plays = strengths.iter().flat_map(|strengths| {
        let orders = [(true, 1), (true, 2), (false, 3), (false, 4)];
        orders.map(|(weak_first, seed)| Play {
            weak_first,
            seed,
            ..Play::new(strengths, FLOOD)
        })
    });
    plays.collect()
}

/// Data centres of routers of equal strength.
fn equal() -> Vec<Play> {
    let strengths: [&[f64]; 3] = [&[WEAK; 5], &[STRONG; 5], &[STRONG; 6]];
    let plays = strengths.iter().flat_map(|strengths| {
        [1, 2].map(|seed| Play {
            seed,
            ..Play::new(strengths, FLOOD)
        })
    });
    plays.collect()
}

fn without_flood(flooded: &Play) -> Outcome {
    play(&Play {
        flood: 0.0,
        ..flooded.clone()
    })
}

fn name(play: &Play) -> String {
    let order = if play.weak_first {
        "weak first"
    } else {
        "any order"
    };
    format!("{:?}, {order}, seed {}", play.strengths, play.seed)
}

/// The faults of the plays, one a line.
fn faults(plays: Vec<Play>, fault: impl Fn(&Play) -> Option<String>) -> String {
    let faults = plays.iter().filter_map(|play| {
        let fault = fault(play)?;
        Some(format!("{}: {fault}\n", name(play)))
    });
    faults.collect()
}

#[test]
fn a_flood_of_one_client_reaches_the_routers_that_can_carry_it() {
    let faults = faults([unequal(), equal()].concat(), |flooded| {
        let served = play(flooded).large.served as f64 / flooded.seconds as f64;
        let due = carried(flooded) / 2.0;
        (served < due).then(|| format!("{served:.0} a second served, {due:.0} due"))
    });
    assert!(faults.is_empty(), "{faults}");
}

#[test]
fn a_flood_of_one_client_delays_others_by_no_more_than_half_of_two_routers() {
    let faults = faults([unequal(), equal()].concat(), |flooded| {
        // Each request of the flood is tried at two routers, which serve half of their callers.
        let bound = 1.0 / flooded.strengths.len() as f64;
        let due = without_flood(flooded).others.missed() + bound;
        let missed = play(flooded).others.missed();
        (missed > due).then(|| format!("{missed:.3} refused or late, {due:.3} allowed"))
    });
    assert!(faults.is_empty(), "{faults}");
}

#[test]
fn rotation_does_not_settle_below_half_of_a_data_centre() {
    let faults = faults([unequal(), equal()].concat(), |flooded| {
        let longest = play(flooded).longest_below_half();
        (longest > MAX_BELOW_HALF).then(|| format!("below half for {longest} s"))
    });
    assert!(faults.is_empty(), "{faults}");
}

#[test]
fn a_flood_whose_retries_stay_with_it_is_left_to_a_strong_router() {
    let strengths: [&[f64]; 4] = [
        &[STRONG, STRONG, STRONG, WEAK, WEAK],
        &[STRONG, STRONG, STRONG, STRONG, WEAK],
        &[STRONG, STRONG, STRONG, WEAK, WEAK, WEAK],
        &[STRONG, STRONG, STRONG, STRONG, WEAK, WEAK, WEAK],
    ];
    let plays = strengths.iter().flat_map(|strengths| {
        [1, 2, 3].map(|seed| Play {
            seed,
            retries_stay: true,
            ..Play::new(strengths, FLOOD)
        })
    });
    let faults = faults(plays.collect(), |flooded| {
        let served = play(flooded).large.served as f64 / flooded.seconds as f64;
        let due = carried(flooded) / 2.0;
        (served < due).then(|| format!("{served:.0} a second served, {due:.0} due"))
    });
    assert!(faults.is_empty(), "{faults}");
}

#[test]
fn one_late_task_and_a_restart_without_a_flood_delay_nobody() {
    let strengths = [STRONG, STRONG, WEAK, WEAK, WEAK];
    for (late_once, restart) in [(Some(10), None), (None, Some(10))] {
        let outcome = play(&Play {
            late_once,
            restart,
            ..Play::new(&strengths, 0.0)
        });
        let calm = without_flood(&Play::new(&strengths, 0.0));
        // One second of one router's callers, who notice the end of their connections.
        let bound = 1.0 / (strengths.len() * outcome.ready.len()) as f64;
        let (missed, due) = (outcome.others.missed(), calm.others.missed() + bound);
        assert!(
            missed <= due,
            "{missed:.4} refused or late, {due:.4} allowed"
        );
        assert_eq!(outcome.longest_below_half(), 0);
    }
}

#[test]
fn a_flood_during_a_partition_of_the_routers_leaves_half_of_them_in_rotation() {
    let strengths = [STRONG, STRONG, WEAK, WEAK, WEAK];
    for partition in [0..40, 5..15, 12..14] {
        let outcome = play(&Play {
            partition: partition.clone(),
            ..Play::new(&strengths, FLOOD)
        });
        let longest = outcome.longest_below_half();
        assert!(
            longest <= MAX_BELOW_HALF,
            "{partition:?}: below half for {longest} s"
        );
    }
}

const PERIOD: Duration = Duration::from_millis(100);

/// The requests in progress that weak and strong routers carry.
const FEW: usize = 80;
const MANY: usize = 600;

/// Routers that all know what the others said in the same step.
struct Group {
    routers: Vec<Rotation>,
    now: Instant,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8], 7_400))
}

impl Group {
    /// Routers that have carried these numbers of requests.
    fn new(carried: &[usize]) -> Self {
        let routers = (0..carried.len()).map(|it| Rotation::new(address(it)));
        let mut group = Self {
            routers: routers.collect(),
            now: Instant::now(),
        };
        let loads: Vec<OwnLoad> = carried.iter().map(|&requests| calm(requests)).collect();
        group.step(&loads);
        group
    }

    /// One task at each router after the other.
    fn step(&mut self, loads: &[OwnLoad]) {
        self.now += PERIOD;
        for (index, load) in loads.iter().enumerate() {
            let others = self.routers.iter().enumerate();
            let others = others.filter(|(other, _)| *other != index);
            let neighbours = others.map(|(other, rotation)| Neighbour {
                address: address(other),
                readiness: Some(rotation.readiness()),
            });
            let neighbours: Vec<Neighbour> = neighbours.collect();
            self.routers[index].set_neighbours(&neighbours, self.now);
            self.routers[index].update(*load, self.now);
        }
    }

    fn run(&mut self, loads: &[OwnLoad], time: Duration) {
        for _ in 0..time.as_millis() / PERIOD.as_millis() {
            self.step(loads);
        }
    }

    fn out(&self) -> Vec<usize> {
        let routers = self.routers.iter().enumerate();
        let out = routers.filter(|(_, it)| it.readiness().is_out);
        out.map(|(index, _)| index).collect()
    }
}

fn calm(requests: usize) -> OwnLoad {
    OwnLoad {
        is_late: false,
        is_overloaded: false,
        requests,
    }
}

fn overloaded(requests: usize) -> OwnLoad {
    OwnLoad {
        is_late: true,
        is_overloaded: true,
        requests,
    }
}

#[test]
fn at_least_half_of_the_routers_stay_in_rotation_if_all_know_the_same() {
    let mut random = ChaCha8Rng::seed_from_u64(9);
    for count in 1..=24 {
        let carried: Vec<usize> = (0..count).map(|_| random.random_range(1..MANY)).collect();
        let mut group = Group::new(&carried);
        for _ in 0..300 {
            let loads = carried
                .iter()
                .map(|&requests| match random.random_bool(0.5) {
                    true => overloaded(requests),
                    false => calm(requests),
                });
            let loads: Vec<OwnLoad> = loads.collect();
            group.step(&loads);
            let in_rotation = count - group.out().len();
            assert!(in_rotation * 2 >= count, "{in_rotation} of {count}");
        }
    }
}

#[test]
fn weak_routers_leave_in_turn_and_give_way_to_none_of_about_their_strength() {
    let mut group = Group::new(&[MANY, MANY, FEW, FEW + 9, FEW + 5]);
    let mut loads = [MANY, MANY, FEW, FEW, FEW].map(calm);
    for (index, out) in [
        (4, vec![4]),
        (3, vec![3, 4]),
        (2, vec![3, 4]),
        (1, vec![3, 4]),
    ] {
        loads[index] = overloaded(loads[index].requests);
        group.run(&loads, PERIOD * 5);
        assert_eq!(group.out(), out, "{index} overloaded");
    }
}

#[test]
fn an_overloaded_strong_router_gives_way_to_a_weak_one() {
    let mut group = Group::new(&[MANY, FEW, FEW]);
    group.step(&[overloaded(MANY), calm(FEW), calm(FEW)]);
    assert_eq!(group.out(), [0]);
    let loads = [overloaded(MANY), overloaded(FEW), calm(FEW)];
    group.run(&loads, PERIOD * 3);
    assert_eq!(group.out(), [1]);
}

#[test]
fn routers_return_one_at_a_time_and_the_strongest_first() {
    let mut group = Group::new(&[MANY, MANY, FEW + 20, FEW]);
    group.step(&[calm(FEW), calm(FEW), overloaded(FEW), overloaded(FEW)]);
    assert_eq!(group.out(), [2, 3]);
    let loads = [calm(FEW / 2), calm(FEW / 2), calm(0), calm(0)];
    group.run(&loads, PERIOD);
    assert_eq!(group.out(), [3]);
    group.run(&loads, Duration::from_secs(2));
    assert_eq!(group.out(), [3], "its return shows only after some seconds");
    group.run(&loads, Duration::from_secs(2));
    assert_eq!(group.out(), [0; 0]);
}

#[test]
fn a_router_does_not_return_to_callers_that_it_could_not_carry() {
    let mut group = Group::new(&[MANY, MANY, FEW]);
    group.step(&[calm(MANY), calm(FEW), overloaded(FEW)]);
    let loads = [calm(MANY), calm(FEW), calm(0)];
    group.run(&loads, MAX_UNREADY_TIME - PERIOD);
    assert_eq!(group.out(), [2]);
    group.run(&loads, PERIOD);
    assert_eq!(group.out(), [0; 0], "no longer than this");
}

#[test]
fn requests_that_make_a_router_late_do_not_count_as_carried() {
    let mut group = Group::new(&[MANY, MANY, MANY]);
    let calm_carried = group.routers[2].readiness().carried;
    let loads = [calm(FEW), calm(FEW), overloaded(FEW)];
    group.run(&loads, PERIOD * 20);
    let carried = usize::from(group.routers[2].readiness().carried);
    assert!(usize::from(calm_carried) >= MANY - 1);
    assert!((FEW..FEW + FEW / 8).contains(&carried), "{carried}");
}

#[test]
fn routers_that_are_not_heard_count_as_having_left() {
    let now = Instant::now();
    let neighbour = |index, is_heard: bool| Neighbour {
        address: address(index),
        readiness: is_heard.then(Readiness::default),
    };
    let mut rotation = Rotation::new(address(0));
    assert!(!rotation.update(overloaded(FEW), now).is_out, "alone");
    rotation.set_neighbours(&[1, 2, 3].map(|it| neighbour(it, true)), now);
    assert!(rotation.update(overloaded(FEW), now).is_out);
    rotation.set_neighbours(&[1, 2, 3].map(|it| neighbour(it, it == 1)), now);
    assert!(!rotation.update(overloaded(FEW), now).is_out);
    // One that is no longer listed is still a part of the data centre.
    rotation.set_neighbours(&[neighbour(1, true)], now);
    assert!(!rotation.update(overloaded(FEW), now).is_out);
}

#[test]
fn connections_are_closed_only_where_that_moves_their_callers() {
    let now = Instant::now();
    let say = |is_strained| {
        let readiness = Readiness {
            is_strained,
            ..Readiness::default()
        };
        [1, 2].map(|index| Neighbour {
            address: address(index),
            readiness: Some(readiness),
        })
    };
    let closes = |rotation: &Rotation| [false, true].map(|it| rotation.closes_connections(it));
    let mut rotation = Rotation::new(address(0));
    rotation.set_neighbours(&say(false), now);
    rotation.update(calm(FEW), now);
    assert_eq!(closes(&rotation), [false, false], "in rotation");
    rotation.update(overloaded(FEW), now);
    assert_eq!(closes(&rotation), [true, true]);
    rotation.set_neighbours(&say(true), now);
    assert_eq!(closes(&rotation), [false, true], "those served may stay");
}

#[test]
fn a_rested_router_returns_to_relieve_one_that_had_to_stay() {
    let mut group = Group::new(&[MANY, MANY, FEW, FEW, FEW]);
    let mut loads = [FEW, FEW, FEW, FEW, FEW].map(calm);
    for index in [4, 3, 2] {
        loads[index] = overloaded(FEW);
        group.run(&loads, PERIOD * 5);
    }
    assert_eq!(group.out(), [3, 4]);
    // The callers of the others stay at the router that could not leave.
    loads[3] = calm(0);
    group.run(&loads, PERIOD * 3);
    assert_eq!(group.out(), [2, 4]);
}

#[test]
fn a_refused_caller_is_sent_on_at_once_only_where_its_next_try_reaches_another_router() {
    let mut group = Group::new(&[MANY, FEW, FEW]);
    let loads = [calm(FEW), calm(FEW), overloaded(FEW)];
    group.step(&loads);
    let moves = |group: &Group, index: usize| group.routers[index].moves_retries(group.now);
    assert_eq!(group.out(), [2]);
    assert!(!moves(&group, 2), "the balancer has not noticed yet");
    group.run(&loads, Duration::from_secs(2));
    assert!(moves(&group, 2));
    assert!(!moves(&group, 1), "its callers come back to it");
}
