//! Tests of how knowledge of kept prompt parts travels, in virtual time.

// The fields and functions that only the other test of the exchange needs.
#[allow(dead_code)]
#[path = "direct_exchange/net.rs"]
mod net;

use std::time::{Duration, Instant};

use knapweed_policy::direct::confirmation::Uptime;
use knapweed_policy::direct::exchange::kept::{
    MAX_AGE, MAX_DATAGRAM_ROWS, MAX_GROUP_ROWS, MAX_HOPS, MAX_OWN_ROWS, MAX_RELAY_ROWS,
    MAX_ROW_BYTES,
};
use knapweed_policy::direct::exchange::message::{CentreTag, KeptUpdate, Message};
use knapweed_policy::direct::exchange::topology::MAX_GROUP_SIZE;
use knapweed_policy::direct::exchange::{Exchange, Identity, LocalState, Moment, PERIOD};
use knapweed_policy::direct::kept::KeptRow;
use knapweed_policy::direct::rotation::Readiness;
use net::{Net, address};
use proptest::prelude::*;

/// The largest datagram that routers accept, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// The time that the operators grant routers between their start and the first traffic.
const START_TIME: Duration = Duration::from_secs(14);

/// The time within which all routers know of a use, half of that for which it counts at
/// the least.
const REACH_TIME: Duration = Duration::from_secs(1);

/// The sizes of fleets, and their numbers of data centres.
const FLEETS: [(usize, usize); 4] = [(5, 4), (30, 4), (120, 6), (350, 7)];

/// IPv4 and UDP headers, and what an update states besides its rows, in bytes.
const DATAGRAM_OVERHEAD: usize = 28 + 5;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn settled(count: usize, centres: usize, seed: u64) -> Net {
    let mut net = Net::start(count, centres, seed);
    net.run_until(START_TIME);
    net
}

/// Uses a part at a target; a length of 0 states its eviction.
fn use_part(net: &mut Net, router: usize, (target, part): (u64, u64), tokens: u32) {
    let now = Moment {
        mono: net.now_mono(),
        uptime: Uptime(net.now),
    };
    let row = KeptRow {
        target,
        part,
        tokens,
        age: 0,
    };
    let router = &mut net.routers[router];
    router.exchange.add_kept([row], now);
    router.kept.insert((target, part), (tokens, now.uptime.0));
}

/// The connected routers that do not know of a use.
fn ignorant(net: &Net, key: (u64, u64), tokens: u32) -> Vec<usize> {
    let routers = net.connected().into_iter();
    let knows = |router: usize| {
        net.routers[router]
            .kept
            .get(&key)
            .is_some_and(|it| it.0 == tokens)
    };
    routers.filter(|&router| !knows(router)).collect()
}

#[test]
fn a_use_and_an_eviction_reach_all_routers_in_time_and_never_look_more_recent() {
    for (count, centres) in FLEETS {
        let mut net = settled(count, centres, 1);
        for (router, part) in [(0, 1), (count / 2, 2), (count - 1, 3)] {
            let used_at = net.now;
            use_part(&mut net, router, (7, part), 500);
            net.run_for(REACH_TIME);
            let missing = ignorant(&net, (7, part), 500);
            assert!(missing.is_empty(), "{count} routers: {missing:?}");
            for it in net.connected() {
                // The delay of three hops of the network.
                let (_, at) = net.routers[it].kept[&(7, part)];
                assert!(at <= used_at + millis(3), "{count} routers: {at:?} at {it}");
            }
            use_part(&mut net, count / 3, (7, part), 0);
            net.run_for(REACH_TIME);
            let missing = ignorant(&net, (7, part), 0);
            assert!(missing.is_empty(), "{count} routers, evicted: {missing:?}");
        }
    }
}

#[test]
fn a_use_reaches_all_in_time_although_a_relay_is_killed_cut_or_frozen() {
    for (count, centres) in [(30, 4), (120, 6), (350, 7)] {
        for fault in ["killed", "cut", "frozen"] {
            let leads: &[u64] = if count < 350 { &[0, 150, 400] } else { &[0] };
            for &lead in leads {
                let mut net = settled(count, centres, 2);
                let relay = *net.relays().first().expect("a relay");
                // Of the group of that relay, and of the other routers.
                let near = net.connected().into_iter();
                let mut near =
                    near.filter(|&it| net.routers[it].exchange.relay() == Some(address(relay)));
                let near = near.next_back().expect("a router of its group");
                let router = &mut net.routers[relay];
                match fault {
                    "killed" => router.is_alive = false,
                    "cut" => router.is_cut = true,
                    _ => router.is_frozen = true,
                }
                net.run_for(millis(lead));
                let far = (0..count).find(|&it| it != relay && it % centres != relay % centres);
                let far = far.expect("a router of another data centre");
                use_part(&mut net, near, (7, 1), 500);
                use_part(&mut net, far, (7, 2), 500);
                net.run_for(REACH_TIME);
                for part in [1, 2] {
                    let missing = ignorant(&net, (7, part), 500);
                    let what = format!("{count} routers, {fault} {lead} ms before, part {part}");
                    assert!(missing.is_empty(), "{what}: {missing:?}");
                }
            }
        }
    }
}

#[test]
fn what_waited_for_a_frozen_router_does_not_look_recent() {
    for (count, centres) in [(5, 4), (30, 4), (120, 6)] {
        let mut net = settled(count, centres, 3);
        net.routers[2].is_frozen = true;
        net.run_for(millis(50));
        let used_at = net.now;
        use_part(&mut net, 4, (7, 1), 500);
        net.run_for(Duration::from_secs(5));
        net.thaw(2);
        net.run_for(Duration::from_secs(3));
        let known = net.routers[2].kept.get(&(7, 1));
        assert!(
            known.is_none_or(|&(_, at)| at <= used_at + millis(3)),
            "{count} routers: {known:?}, used at {used_at:?}"
        );
    }
}

#[test]
fn bytes_received_are_bounded_whatever_the_size_and_the_longest_parts_go_first() {
    // A period's rows for a router of a group, and for a relay. The group of a relay that
    // replaces another one may have twice the usual size.
    let bound = |is_relay: bool| {
        let own = MAX_OWN_ROWS * MAX_GROUP_SIZE * 2;
        let (rows, datagrams) = match is_relay {
            true => (MAX_RELAY_ROWS + own, 24 + MAX_GROUP_SIZE * 2),
            false => (MAX_GROUP_ROWS, 1),
        };
        let periods = Duration::from_secs(1).as_millis() / PERIOD.as_millis();
        (rows * MAX_ROW_BYTES + datagrams * DATAGRAM_OVERHEAD) * periods as usize
    };
    for (count, centres) in FLEETS {
        let mut net = settled(count, centres, 4);
        net.is_measured = true;
        // Far more uses than fit: 200 new ones a second at each router.
        for second in 0..2_u64 {
            for router in net.connected() {
                net.routers[router].kept_bytes = 0;
            }
            for step in 0..10 {
                for router in 0..count {
                    for it in 0..20 {
                        let part = ((second * 10 + step) * 20 + it) * 10_000 + router as u64;
                        use_part(
                            &mut net,
                            router,
                            (u64::MAX - it, u64::MAX - part),
                            100 + it as u32,
                        );
                    }
                }
                if step == 0 {
                    use_part(&mut net, 1, (9, second), 50_000);
                }
                net.run_for(millis(100));
            }
            let missing = ignorant(&net, (9, second), 50_000);
            assert!(missing.is_empty(), "{count} routers: {missing:?}");
            let mut greatest = [0, 0];
            for router in net.connected() {
                let it = &net.routers[router];
                let is_relay = it.exchange.is_relay();
                let bound = bound(is_relay);
                assert!(
                    it.kept_bytes <= bound,
                    "{count} routers: {} at {router}",
                    it.kept_bytes
                );
                let greatest = &mut greatest[usize::from(is_relay)];
                *greatest = it.kept_bytes.max(*greatest);
            }
            println!("{count} routers: at most {greatest:?} bytes/s (of a group, at a relay)");
        }
        assert!(net.largest_datagram <= MAX_DATAGRAM_BYTES);
    }
}

#[test]
fn a_router_that_starts_knows_all_uses_after_one_exchange() {
    for (count, centres) in FLEETS {
        let mut net = settled(count, centres, 5);
        for part in 0..100 {
            use_part(&mut net, part as usize % count, (part % 9, part), 500);
        }
        net.run_for(Duration::from_secs(4));
        for router in [4, 0] {
            net.restart(router);
            // As for the members: a period, and two more for a seed that does not know the
            // new incarnation.
            net.run_for(millis(350));
            let known = net.routers[router].kept.len();
            assert_eq!(known, 100, "{count} routers, {router} started");
            net.run_for(Duration::from_secs(8));
        }
    }
}

#[test]
fn after_a_start_of_all_at_once_uses_reach_all_in_time() {
    for (count, centres) in FLEETS {
        let mut net = settled(count, centres, 6);
        for router in 0..count {
            net.restart(router);
        }
        net.run_for(Duration::from_secs(3));
        use_part(&mut net, count - 1, (7, 1), 500);
        net.run_for(REACH_TIME);
        let missing = ignorant(&net, (7, 1), 500);
        assert!(missing.is_empty(), "{count} routers: {missing:?}");
    }
}

#[test]
fn lost_datagrams_cost_freshness_only() {
    let mut net = settled(120, 6, 7);
    net.loss = 0.1;
    // A part in use: each use may be lost, the next one makes up for it.
    for step in 0..40 {
        use_part(&mut net, step % 120, (7, 1), 500);
        net.run_for(millis(250));
    }
    let now = net.now;
    for router in net.connected() {
        let last_use = net.routers[router].kept.get(&(7, 1));
        let (_, at) = *last_use.expect("some use arrived");
        // Two rows lost in a row: each a second after the other, and under way.
        assert!(
            now - at <= Duration::from_secs(3) + REACH_TIME,
            "{at:?} at {router}"
        );
    }
}

fn own_exchange(now: Instant) -> Exchange {
    let own = Identity {
        address: address(0),
        centre: CentreTag(1),
        incarnation: 5,
    };
    Exchange::new(own, &[address(1)], Duration::from_secs(3), now)
}

fn local() -> LocalState<'static> {
    LocalState {
        loads: &[],
        teams: &[],
        problem_targets: &[],
        digest: 1,
        confirmation_age: None,
        is_stopping: false,
        readiness: Readiness::default(),
    }
}

fn any_row() -> impl Strategy<Value = KeptRow> {
    (
        0_u64..4,
        0_u64..8,
        prop_oneof![Just(0), Just(1), any::<u32>()],
        any::<u32>(),
    )
        .prop_map(|(target, part, tokens, age)| KeptRow {
            target,
            part,
            tokens,
            age: age >> (age % 32),
        })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn wrong_rows_change_no_bound_and_make_no_use_more_recent(
        updates in proptest::collection::vec(
            (any::<u8>(), proptest::collection::vec(any_row(), 0..600), 0_u64..400), 1..12)
    ) {
        let start = Instant::now();
        let mut exchange = own_exchange(start);
        let mut after = Duration::from_secs(100);
        for (hops, rows, wait) in updates {
            after += millis(wait);
            let now = Moment { mono: start + after, uptime: Uptime(after) };
            let news = exchange.receive(
                Message::Kept(KeptUpdate { hops, rows: rows.clone() }), now);
            prop_assert!(news.kept.len() <= MAX_DATAGRAM_ROWS);
            for row in &news.kept {
                prop_assert!(row.age <= MAX_AGE.as_millis() as u32 + 1);
                let is_stated = rows.iter().any(|it| {
                    (it.target, it.part, it.tokens) == (row.target, row.part, row.tokens)
                        && it.age <= row.age
                });
                prop_assert!(is_stated, "{row:?}");
            }
            // A router without a group passes nothing on, whatever the rows say of hops.
            let sent = exchange.tick(&local(), now);
            let is_kept = |it: &Message| matches!(it, Message::Kept(_));
            prop_assert!(!sent.iter().any(|it| is_kept(&it.message)));
        }
    }

    #[test]
    fn the_last_use_or_eviction_wins_in_any_order(
        mut uses in proptest::collection::vec((0_u64..60_000, any::<bool>()), 2..8),
        order in any::<prop::sample::Index>(),
    ) {
        uses.sort_unstable();
        uses.dedup_by_key(|it| it.0);
        let (_, last_held) = *uses.last().expect("two uses");
        let first = order.index(uses.len());
        uses.rotate_left(first);
        let start = Instant::now();
        let mut exchange = own_exchange(start);
        let after = Duration::from_secs(100);
        let now = Moment { mono: start + after, uptime: Uptime(after) };
        let mut is_held = false;
        for (at, held) in uses {
            let row = KeptRow {
                target: 1, part: 1, tokens: if held { 10 } else { 0 }, age: 60_000 - at as u32,
            };
            let update = KeptUpdate { hops: MAX_HOPS, rows: vec![row] };
            if let Some(news) = exchange.receive(Message::Kept(update), now).kept.last() {
                is_held = news.tokens > 0;
            }
        }
        prop_assert_eq!(is_held, last_held);
    }
}
