//! Tests of the exchange of limits that targets name, and of the needs of routers.

use std::time::Duration;

use knapweed_policy::direct::exchange::RejectReason;
use knapweed_policy::direct::exchange::limits::{MAX_LIMIT_ROWS, NEED_TTL};
use knapweed_policy::direct::exchange::message::{LimitRow, LimitUpdate, Message, Source};
use knapweed_policy::direct::exchange::topology::MAX_DIRECT_ROUTERS;
use knapweed_policy::direct::target_limit::{LimitReport, LimitStatement};

use super::net::{Net, address};
use super::{FLEETS, MAX_DATAGRAM_BYTES, settled};

/// The time in which all routers are to know what one of them heard. A relay sends every
/// 200 ms, and there are up to three on the way.
const NOTICE: Duration = Duration::from_secs(1);

/// The largest encoding of a row, and of what comes before the rows with the headers of the
/// network, in bytes.
const ROW_BYTES: usize = 25;
const HEADER_BYTES: usize = 64;

/// The number of targets that name a limit.
const TARGETS: u64 = 40;

/// The number of partners of an average router, rounded up: all others in a small fleet, else
/// a relay, which has a group and the other relays for partners.
fn mean_partners(net: &Net) -> usize {
    let count = net.routers.len();
    if count <= MAX_DIRECT_ROUTERS {
        return count - 1;
    }
    let relays = net.relays().len();
    let links = 2 * (count - relays) + relays * (relays - 1);
    links.div_ceil(count)
}

fn set_needs(net: &mut Net, needed: f64) {
    let at = net.now_mono();
    for (index, router) in net.routers.iter_mut().enumerate() {
        let reports = (0..TARGETS).map(|target| LimitReport {
            target,
            // The first router alone heard the limits.
            statement: (index == 0).then_some(LimitStatement {
                rate: Some(4.0),
                at,
            }),
            needed,
        });
        router.exchange.set_own_limits(reports.collect());
    }
}

#[test]
fn every_router_knows_each_limit_and_what_all_others_need() {
    for (count, centres) in FLEETS {
        let mut net = settled(count, centres, 5);
        net.is_measured = true;
        for needed in [2.0, 0.5] {
            set_needs(&mut net, needed);
            net.run_for(NOTICE);
            let now = net.now_mono();
            for (index, router) in net.routers.iter().enumerate() {
                let reports = router.exchange.peer_limits(now);
                assert_eq!(reports.len() as u64, TARGETS, "{count} routers: {index}");
                for report in reports {
                    let others = needed * (count - 1) as f64;
                    assert!((report.needed - others).abs() < 1e-6, "{count}: {report:?}");
                    let rate = report.statement.and_then(|it| it.rate);
                    assert_eq!(rate.is_some(), index != 0, "{count} routers: {index}");
                }
            }
        }
        assert!(net.largest_datagram <= MAX_DATAGRAM_BYTES);
    }
}

#[test]
fn bytes_of_limits_are_bounded() {
    for (count, centres) in FLEETS {
        let mut net = settled(count, centres, 5);
        net.is_measured = true;
        let sent = |net: &mut Net| {
            for router in &mut net.routers {
                router.sent_bytes = 0;
            }
            net.run_for(Duration::from_secs(2));
            let bytes = net.routers.iter().map(|it| it.sent_bytes / 2);
            let bytes: Vec<usize> = bytes.collect();
            let mean = bytes.iter().sum::<usize>() / count;
            (mean, bytes.into_iter().max().expect("routers"))
        };
        let without = sent(&mut net);
        set_needs(&mut net, 2.0);
        let with = sent(&mut net);
        println!("{count} routers, {TARGETS} limits: {without:?} {with:?} bytes a second");
        // Five datagrams a second to a partner, of a row for each target.
        let datagram = TARGETS as usize * ROW_BYTES + HEADER_BYTES;
        assert!(
            with.0 <= without.0 + 5 * datagram * mean_partners(&net),
            "{count}"
        );
    }
}

#[test]
fn need_of_a_silent_router_is_dropped() {
    let mut net = settled(5, 2, 5);
    set_needs(&mut net, 2.0);
    net.run_for(NOTICE);
    net.routers[1].is_cut = true;
    net.run_for(NEED_TTL + NOTICE);
    let reports = net.routers[2].exchange.peer_limits(net.now_mono());
    assert!(reports.iter().all(|it| (it.needed - 6.0).abs() < 1e-6));
}

#[test]
fn limits_of_strangers_and_too_many_rows_are_rejected() {
    let mut net = settled(3, 1, 5);
    let moment = net.moment();
    let mut receive = |from, rows: usize| {
        let row = LimitRow {
            target: 1,
            stated: None,
            needed: 1,
        };
        let update = LimitUpdate {
            from: address(from),
            source: Source::Router,
            rows: vec![row; rows],
        };
        let message = Message::Limits(update);
        let exchange = &mut net.routers[0].exchange;
        exchange.receive(message, moment).rejected
    };
    assert_eq!(receive(0, 1), Some(RejectReason::Own));
    assert_eq!(receive(9, 1), Some(RejectReason::UnknownSender));
    let malformed = receive(1, MAX_LIMIT_ROWS + 1);
    assert_eq!(malformed, Some(RejectReason::Malformed));
    assert_eq!(receive(1, MAX_LIMIT_ROWS), None);
}
