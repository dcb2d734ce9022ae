//! Tests of which routers of a data centre are in rotation when one client asks for more
//! than the routers that come first in its order can carry.

#[path = "direct_rotation/centre.rs"]
mod centre;

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
