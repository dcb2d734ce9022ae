//! Tests of the exchange of state among routers, in virtual time.

#[path = "direct_exchange/bad_input.rs"]
mod bad_input;
#[path = "direct_exchange/cold_shares.rs"]
mod cold_shares;
#[path = "direct_exchange/limits.rs"]
mod limits;
#[path = "direct_exchange/net.rs"]
mod net;

use std::time::Duration;

use knapweed_policy::direct::exchange::message::{
    CrashRow, PartCrashRow, PartNews, PartRunRow, RateRow, RequestRunRow, Scope,
};
use knapweed_policy::direct::exchange::rates::RATE_PERIODS;
use knapweed_policy::direct::exchange::{PEER_TIMEOUT, PERIOD};
use knapweed_policy::direct::fair_share::TeamRate;
use knapweed_policy::direct::rotation::Readiness;
use knapweed_policy::direct::target_table::REPORT_TTL;
use net::{Net, load};

/// The largest datagram that routers accept, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// The time that the operators grant routers between their start and the first traffic.
const START_TIME: Duration = Duration::from_secs(14);

/// The number of targets at the size for which the design is meant.
const TARGETS: usize = 600;

/// The sizes of fleets, and their numbers of data centres.
const FLEETS: [(usize, usize); 4] = [(5, 4), (30, 4), (120, 6), (350, 7)];

/// A fleet of about three times the size for which the design is meant.
const LARGEST_FLEET: (usize, usize) = (1_000, 7);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Starts a fleet whose routers each have attempts at some targets, and lets it settle.
fn settled(count: usize, centres: usize, seed: u64) -> Net {
    let mut net = Net::start(count, centres, seed);
    for (index, router) in net.routers.iter_mut().enumerate() {
        let targets = (0..12).map(|it| (index * 7 + it * 5) % (2 * count));
        router.loads = targets.map(|target| load(target as u64, 2)).collect();
    }
    net.run_until(START_TIME);
    net
}

/// Asserts that each connected router knows all others and the sum of their loads.
fn assert_consistent(net: &Net, what: &str) {
    let connected = net.connected();
    for &router in &connected {
        let known = net.routers[router].exchange.reachable().count();
        assert_eq!(known, connected.len() - 1, "{what}: members of {router}");
        let viewed = net.viewed_attempts(router);
        assert_eq!(
            viewed,
            net.attempts_of_others(router),
            "{what}: loads at {router}"
        );
    }
}

#[test]
fn after_a_start_of_all_at_once_every_router_has_the_sums_of_all_others() {
    for (count, centres) in FLEETS {
        let net = settled(count, centres, 1);
        assert_consistent(&net, &format!("{count} routers"));
    }
}

#[test]
fn a_change_of_load_reaches_all_in_half_the_time_for_which_reports_are_used() {
    for (count, centres) in FLEETS {
        let mut net = settled(count, centres, 2);
        net.routers[3].loads = vec![load(1, 500)];
        net.run_for(REPORT_TTL / 2);
        assert_consistent(&net, &format!("{count} routers"));
    }
}

#[test]
fn the_work_of_teams_and_problems_are_summed() {
    let mut net = settled(120, 6, 3);
    let rate = TeamRate {
        requested: 100.0,
        admitted: 60.0,
    };
    for router in &mut net.routers {
        router.teams = vec![(11, rate), (12, rate)];
    }
    for router in [4, 5, 40] {
        net.routers[router].problems = vec![9];
    }
    net.run_for(millis(600));
    for router in net.connected() {
        let view = net.routers[router].exchange.view(net.now_mono());
        for team in [11, 12] {
            assert_eq!(view.teams[&team].requested, 119.0 * 100.0, "at {router}");
            assert_eq!(view.teams[&team].admitted, 119.0 * 60.0, "at {router}");
        }
        let others = [4, 5, 40].iter().filter(|&&it| it != router).count();
        assert_eq!(view.problem_counts[&9] as usize, others, "at {router}");
    }
}

#[test]
fn routers_know_the_readiness_of_their_data_centre_and_of_no_other() {
    let said = Readiness {
        is_out: true,
        is_overloaded: true,
        is_strained: true,
        requests: 900,
        carried: 40,
    };
    for (count, centres) in [(5, 1), (9, 3), (30, 4), (120, 3)] {
        let mut net = settled(count, centres, 12);
        net.routers[1].readiness = said;
        net.run_for(REPORT_TTL / 2);
        for router in 0..count {
            let view = net.routers[router].exchange.view(net.now_mono());
            let is_near = router % centres == 1 % centres;
            let known = view
                .neighbours
                .iter()
                .filter(|it| it.readiness == Some(said));
            assert_eq!(
                known.count(),
                usize::from(is_near && router != 1),
                "{router} of {count}"
            );
            let near = (0..count).filter(|it| it % centres == router % centres);
            assert_eq!(view.neighbours.len(), near.count() - 1);
        }
        net.routers[1].readiness = Readiness::default();
        net.run_for(millis(500));
        net.routers[1].is_alive = false;
        // A relay notices its silence, and another one that it is no longer listed.
        net.run_for(PEER_TIMEOUT * 4);
        for router in (0..count).filter(|it| *it != 1 && it % centres == 1 % centres) {
            let view = net.routers[router].exchange.view(net.now_mono());
            let unheard = view.neighbours.iter().filter(|it| it.readiness.is_none());
            assert_eq!(unheard.count(), 1, "{router} of {count}");
        }
    }
}

#[test]
fn routers_behind_a_relay_that_is_killed_cut_or_frozen_report_to_another() {
    for (count, centres) in [(30, 4), (120, 6), (350, 7)] {
        for fault in ["killed", "cut", "frozen"] {
            let mut net = settled(count, centres, 4);
            let relay = *net.relays().first().expect("a relay");
            let router = &mut net.routers[relay];
            match fault {
                "killed" => router.is_alive = false,
                "cut" => router.is_cut = true,
                _ => router.is_frozen = true,
            }
            for _ in 0..40 {
                net.run_for(millis(100));
                for router in net.connected() {
                    let known = net.routers[router].exchange.reachable().count();
                    // Only the lost relay may count as unreachable.
                    assert!(
                        known + 2 >= count,
                        "{count} routers, {fault}: {known} known"
                    );
                    let members = net.routers[router].exchange.members().count();
                    assert_eq!(members, count - 1, "limits are divided as before");
                }
            }
            let what = format!("{count} routers, relay {fault}");
            for &router in &net.connected() {
                let lost = net.routers[relay].loads.iter();
                let lost: u32 = lost.map(|report| report.load.attempts).sum();
                let others = net.attempts_of_others(router);
                let others = others - if fault == "killed" { 0 } else { lost };
                assert_eq!(
                    net.viewed_attempts(router),
                    others,
                    "{what}: loads at {router}"
                );
            }
            net.routers[relay].is_cut = false;
            if net.routers[relay].is_frozen {
                net.thaw(relay);
            }
            if net.routers[relay].is_alive {
                net.run_for(Duration::from_secs(8));
                assert_consistent(&net, &format!("{what}, healed"));
            }
        }
    }
}

#[test]
fn the_sums_never_count_a_router_twice_for_long_while_its_relay_changes() {
    let mut net = settled(120, 6, 5);
    let relay = *net.relays().first().expect("a relay");
    net.routers[relay].is_alive = false;
    let total: u32 = net.attempts_of_others(usize::MAX);
    let mut exceeded = Duration::ZERO;
    for _ in 0..80 {
        net.run_for(millis(50));
        let greatest = net
            .connected()
            .into_iter()
            .map(|it| net.viewed_attempts(it));
        if greatest.max().expect("routers") > total + 24 {
            exceeded += millis(50);
        }
    }
    assert!(exceeded <= PEER_TIMEOUT, "{exceeded:?}");
}

#[test]
fn a_lost_data_centre_and_its_return() {
    let mut net = settled(120, 6, 6);
    for router in (0..120).step_by(6) {
        net.routers[router].is_alive = false;
    }
    net.run_for(Duration::from_secs(5));
    assert_consistent(&net, "without a data centre");
    for router in (0..120).step_by(6) {
        net.restart(router);
    }
    net.run_for(Duration::from_secs(8));
    assert_consistent(&net, "with all data centres");
}

#[test]
fn a_partition_heals() {
    let mut net = settled(120, 6, 7);
    for router in 0..60 {
        net.routers[router].is_cut = true;
    }
    net.run_for(Duration::from_secs(8));
    for router in 0..60 {
        net.routers[router].is_cut = false;
    }
    net.run_for(Duration::from_secs(12));
    assert_consistent(&net, "after the partition");
}

#[test]
fn a_router_that_starts_knows_all_others_after_one_exchange() {
    for (count, centres) in FLEETS {
        let mut net = settled(count, centres, 8);
        net.restart(4);
        // A period, and two more for a seed that does not know the new incarnation.
        net.run_for(millis(350));
        let known = net.routers[4].exchange.reachable().count();
        assert_eq!(known, count - 1, "{count} routers");
    }
}

/// A target that one router observed is known to one that starts as soon as it knows the
/// others, in fleets without and with relays, and to all within two rounds of three hops.
#[test]
fn rates_reach_all_routers_and_one_that_starts() {
    for (count, centres) in [(6, 2), (40, 3)] {
        let mut net = settled(count, centres, 1);
        let row = RateRow {
            target: 9,
            prefill: 70_000,
            step: 4_000,
            weight: 20,
            age: 0,
            level: Some(1),
        };
        net.routers[count / 2].exchange.set_own_rates(vec![row]);
        net.run_for(PERIOD * RATE_PERIODS * 3 * 2);
        let known = |net: &Net, router: usize| {
            let rates = net.routers[router].exchange.peer_rates(net.now_mono());
            rates
                .iter()
                .any(|it| it.prefill == 70_000 && it.level == Some(1))
        };
        for router in (0..count).filter(|&it| it != count / 2) {
            assert!(known(&net, router), "{router} of {count}");
        }
        net.restart(1);
        net.run_for(millis(500));
        assert!(known(&net, 1), "the one that starts, of {count}");
    }
}

#[test]
fn rolling_restarts_leave_every_router_with_all_sums() {
    let mut net = settled(68, 6, 9);
    for router in 0..68 {
        net.restart(router);
        net.run_for(millis(300));
    }
    for (index, router) in net.routers.iter_mut().enumerate() {
        router.loads = vec![load(index as u64, 3)];
    }
    net.run_for(Duration::from_secs(6));
    assert_consistent(&net, "after the restarts");
}

#[test]
fn lost_datagrams_cost_freshness_only() {
    let mut net = settled(120, 6, 10);
    net.loss = 0.1;
    for _ in 0..100 {
        net.run_for(millis(100));
        for router in net.connected() {
            let known = net.routers[router].exchange.reachable().count();
            assert_eq!(known, 119, "at {router}");
        }
    }
    net.loss = 0.0;
    net.run_for(Duration::from_secs(3));
    assert_consistent(&net, "after the losses");
}

#[test]
fn a_confirmation_is_never_dated_too_late_and_reaches_all() {
    for (count, centres) in FLEETS {
        let mut net = settled(count, centres, 11);
        // One router reads the store, the others hear of it.
        for _ in 0..20 {
            let now = net.now;
            net.routers[2].read_at = Some(now);
            net.run_for(millis(100));
            for router in net.connected() {
                let confirmed = net.routers[router].confirmed_at;
                assert!(confirmed.is_none_or(|at| at <= now), "{count} routers");
            }
        }
        let read_at = net.routers[2].read_at.expect("it has read");
        net.run_for(millis(100));
        for router in net.connected() {
            let confirmed = net.routers[router].confirmed_at.expect("it heard of it");
            // Three hops, each of which costs the wait for two heartbeats at most.
            let lag = read_at.saturating_sub(confirmed);
            assert!(lag <= millis(800), "{count} routers: {lag:?} at {router}");
        }
    }
}

#[test]
fn old_versions_and_new_ones_know_each_other() {
    let mut net = Net::start(24, 4, 12);
    for (index, router) in net.routers.iter_mut().enumerate() {
        router.is_old = index % 5 == 0;
        router.loads = vec![load(index as u64, 1)];
    }
    net.run_until(START_TIME);
    for router in net.connected() {
        let known = net.routers[router].exchange.reachable().count();
        assert_eq!(known, 23, "at {router}");
        if !net.routers[router].is_old {
            assert_eq!(net.viewed_attempts(router), 23, "at {router}");
        }
    }
}

#[test]
fn what_a_router_sends_grows_no_faster_than_the_root_of_the_fleet() {
    let mut means = Vec::new();
    for (count, centres) in FLEETS.into_iter().chain([LARGEST_FLEET]) {
        let mut net = settled(count, centres, 13);
        assert_consistent(&net, &format!("{count} routers"));
        // The load of the users' target: each router has attempts at some of 600 targets.
        for (index, router) in net.routers.iter_mut().enumerate() {
            let targets = (0..12).map(|it| (index * 7 + it * 5) % TARGETS);
            router.loads = targets.map(|target| load(target as u64, 2)).collect();
        }
        net.run_for(Duration::from_secs(1));
        net.is_measured = true;
        net.run_for(Duration::from_secs(2));
        let sent: Vec<usize> = net.routers.iter().map(|it| it.sent_bytes / 2).collect();
        let mean = sent.iter().sum::<usize>() as f64 / count as f64;
        let datagrams: usize = net.routers.iter().map(|it| it.sent_datagrams / 2).sum();
        let greatest = sent.iter().max().expect("routers");
        println!(
            "{count} routers: {mean:.0} bytes/s, greatest {greatest}, {} datagrams/s",
            datagrams / count
        );
        assert!(net.largest_datagram <= MAX_DATAGRAM_BYTES);
        means.push((count as f64, mean));
    }
    for pair in means.windows(2).skip(1) {
        let [(small, less), (large, more)] = [pair[0], pair[1]];
        assert!(more / less <= (large / small).sqrt() * 1.3, "{means:?}");
    }
}

#[test]
fn scopes_have_their_names_in_logs() {
    assert_eq!(
        [Scope::Group, Scope::Fleet].map(|it| it.to_string()),
        ["group", "fleet"]
    );
}

/// The time in which all routers are to know: the users grant 3 s, in which a crash must
/// be noticed as well.
const PART_NEWS_TIME: Duration = Duration::from_secs(2);

/// The number of crashes of targets of which routers tell each other.
const CRASHES: u64 = 5;

#[test]
fn crashes_under_a_part_and_runs_that_clear_it_reach_every_router_in_time() {
    for (count, centres) in FLEETS {
        let mut net = settled(count, centres, 4);
        net.loss = 0.05;
        let moment = net.moment();
        for target in 0..CRASHES {
            // Each router lost other requests when the target died.
            for router in 0..4 {
                let crashes = (0..20).map(|part| PartCrashRow {
                    part: if part == 0 {
                        7
                    } else {
                        part + 100 * router as u64
                    },
                    target,
                    sent: 150,
                    broken: 100,
                });
                let news = PartNews {
                    crashes: crashes.collect(),
                    runs: Vec::new(),
                };
                net.routers[router].exchange.add_parts(news, moment);
            }
        }
        let run = PartNews {
            crashes: Vec::new(),
            runs: vec![PartRunRow { part: 9, age: 0 }],
        };
        net.routers[count - 1].exchange.add_parts(run, moment);
        net.run_for(PART_NEWS_TIME);
        for (index, router) in net.routers.iter().enumerate() {
            if index >= 4 {
                let known = router.crashed_parts.iter().filter(|(part, _)| *part == 7);
                assert_eq!(known.count() as u64, CRASHES, "{count} routers: {index}");
            }
            if index != count - 1 {
                assert!(router.run_parts.contains(&9), "{count} routers: {index}");
            }
        }
        assert!(net.largest_datagram <= MAX_DATAGRAM_BYTES);
    }
}

#[test]
fn a_router_that_restarts_learns_under_which_part_targets_died() {
    for (count, centres) in FLEETS {
        let mut net = settled(count, centres, 6);
        net.loss = 0.05;
        for target in 0..CRASHES {
            let crash = PartCrashRow {
                part: 7,
                target,
                sent: 150,
                broken: 100,
            };
            let news = PartNews {
                crashes: vec![crash],
                runs: Vec::new(),
            };
            let moment = net.moment();
            net.routers[0].exchange.add_parts(news, moment);
            net.run_for(millis(500));
        }
        net.run_for(Duration::from_secs(5));
        for restarted in [1, count / 2, count - 1] {
            net.restart(restarted);
        }
        net.run_for(PART_NEWS_TIME);
        for restarted in [1, count / 2, count - 1] {
            let known = net.routers[restarted].crashed_parts.len();
            assert_eq!(known as u64, CRASHES, "{count} routers: {restarted}");
        }
    }
}

/// A router that restarted sent requests that the others knew to crash their targets.
#[test]
fn a_router_that_restarts_learns_which_requests_crash_their_targets() {
    for (count, centres) in [FLEETS[0], FLEETS[1], FLEETS[2]] {
        let mut net = settled(count, centres, 7);
        net.loss = 0.05;
        net.is_measured = count < FLEETS[1].0;
        for target in 0..CRASHES {
            // Other requests were at the target when it died.
            let bystanders = (0..30).map(|it| u128::from(100 * (target + 1) + it));
            let requests = bystanders.chain([7]);
            let rows = requests.map(|request| CrashRow { request, target });
            net.add_crashes(0, rows);
            net.run_for(millis(200));
        }
        // Until no heartbeat has them any more.
        net.run_for(Duration::from_secs(8));
        let known_at = net.now;
        // In series, so that some learn it from routers that were told themselves.
        for restarted in [1, count / 2, 0, count - 1, 1] {
            net.restart(restarted);
            net.run_for(PART_NEWS_TIME);
            let known = net.routers[restarted].crashes.iter();
            let known: Vec<Duration> = known
                .filter(|((request, _), _)| *request == 7)
                .map(|(_, &at)| at)
                .collect();
            assert_eq!(known.len() as u64, CRASHES, "{count} routers: {restarted}");
            // A restart makes no crash more recent.
            assert!(known.iter().all(|&at| at <= known_at), "{known:?}");
        }
        assert!(net.largest_datagram <= MAX_DATAGRAM_BYTES);
    }
}

/// A router that was cut off for longer than news is repeated never heard of it.
#[test]
fn a_router_that_was_cut_off_learns_what_it_missed() {
    const LEAVING: u64 = 77;
    for (count, centres) in [FLEETS[0], FLEETS[1]] {
        let mut net = settled(count, centres, 8);
        let cut = [1, count - 1];
        for &router in &cut {
            net.routers[router].is_cut = true;
        }
        for target in 0..CRASHES {
            let moment = net.moment();
            let row = CrashRow { request: 7, target };
            net.add_crashes(0, [row].into_iter());
            let crash = PartCrashRow {
                part: 9,
                target,
                sent: 150,
                broken: 100,
            };
            let news = PartNews {
                crashes: vec![crash],
                runs: Vec::new(),
            };
            net.routers[0].exchange.add_parts(news, moment);
            net.run_for(millis(300));
        }
        let moment = net.moment();
        net.routers[0].exchange.add_leaving([LEAVING], moment.mono);
        net.run_for(Duration::from_secs(4));
        for &router in &cut {
            net.routers[router].is_cut = false;
        }
        net.run_for(PART_NEWS_TIME);
        let known = |net: &Net, router: usize| {
            let router = &net.routers[router];
            let crashes = (router.crashes.len(), router.crashed_parts.len());
            (crashes, router.leaving.len())
        };
        let all = ((CRASHES as usize, CRASHES as usize), 1);
        for router in cut {
            assert_eq!(known(&net, router), all, "{count} routers: {router}");
        }
        net.restart(count / 2);
        net.run_for(PART_NEWS_TIME);
        assert_eq!(known(&net, count / 2), all, "{count} routers, restarted");
    }
}

/// Heartbeats hold 48 crashes, the oldest first; 155 of them took longer than a second each hop.
#[test]
fn crashes_of_one_request_reach_every_router_in_time_whatever_else_was_there() {
    for (count, centres) in FLEETS {
        let mut net = settled(count, centres, 9);
        net.loss = 0.05;
        for target in 0..CRASHES {
            let bystanders = (0..30).map(|it| u128::from(100 * (target + 1) + it));
            let rows = bystanders.chain([7]);
            let rows = rows.map(|request| CrashRow { request, target });
            net.add_crashes(0, rows);
        }
        net.run_for(PART_NEWS_TIME);
        for (index, router) in net.routers.iter().enumerate().skip(1) {
            let known = router.crashes.keys().filter(|it| it.0 == 7).count();
            assert_eq!(known as u64, CRASHES, "{count} routers: {index}");
        }
    }
}

/// A run that completed at one router ends the rejection of its request at all.
#[test]
fn runs_of_requests_reach_every_router_in_time() {
    const RUNS: u128 = 100;
    for (count, centres) in FLEETS {
        let mut net = settled(count, centres, 10);
        net.loss = 0.05;
        net.is_measured = count < FLEETS[2].0;
        let cut = count / 2;
        net.routers[cut].is_cut = true;
        let moment = net.moment();
        let rows = (0..RUNS).map(|request| RequestRunRow { request, age: 900 });
        net.routers[0]
            .exchange
            .add_request_runs(rows.collect(), moment);
        net.run_for(PART_NEWS_TIME);
        for (index, router) in net.routers.iter().enumerate().skip(1) {
            if index != cut {
                let known = router.run_requests.len() as u128;
                assert_eq!(known, RUNS, "{count} routers: {index}");
                // No run becomes more recent on its way.
                assert!(router.run_requests.values().all(|&age| age >= 900));
            }
        }
        net.routers[cut].is_cut = false;
        net.run_for(PART_NEWS_TIME);
        let known = net.routers[cut].run_requests.len() as u128;
        assert_eq!(known, RUNS, "{count} routers: was cut off");
        assert!(net.largest_datagram <= MAX_DATAGRAM_BYTES);
    }
}
