//! Simulated fleets: configuration, members, broadcasts, service calls and traffic.

#[path = "fleet/configuration.rs"]
mod configuration;
#[path = "fleet/fake.rs"]
mod fake;
#[path = "fleet/members.rs"]
mod members;
#[path = "fleet/net.rs"]
mod net;
#[path = "fleet/poll.rs"]
mod poll;

use std::fmt::Write as _;
use std::time::Duration;

use fake::document;
use knapweed_policy::reader::{ServiceKey, reader_count};
use net::Net;

const SECOND: Duration = Duration::from_secs(1);

/// The maximum time from publication until the document is in force at every process.
const ADOPTION_LIMIT: Duration = Duration::from_secs(17);

/// The maximum time from the publication of a drain until every process knows it.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// Starts a fleet with revision 1 and runs it until every process is ready.
fn ready_fleet(n: usize, seed: u64) -> Net {
    let mut net = Net::new(n, seed);
    net.replicas[0].put(ServiceKey::Rules, 1, &document(1, ""));
    let ready = |net: &Net| net.fleets().all(knapweed_policy::fleet::Fleet::is_ready);
    let time = net.run_until(60 * SECOND, ready);
    assert!(time.is_some(), "not ready: {n} processes, seed {seed}");
    net.run(15 * SECOND);
    net
}

/// The median and maximum time from `start` until a process adopted `revision`.
fn adoption_times(net: &Net, start: Duration, revision: u64) -> (Duration, Duration) {
    let adoption_time = |process: &net::Process| {
        let mut adopted = process.adopted.iter();
        let at = adopted.find(|(_, version)| version.revision.0 == revision);
        at.map_or(Duration::MAX, |(at, _)| *at - start)
    };
    let mut times: Vec<_> = net.processes.iter().map(adoption_time).collect();
    times.sort();
    (times[times.len() / 2], times[times.len() - 1])
}

#[test]
fn publication_with_the_service_up_stale_and_down() {
    let mut table = String::new();
    for n in [10, 50, 150, 950] {
        // The cases share one fleet per size; each publishes the next revision.
        let mut net = ready_fleet(n, 1);
        let cases = ["up", "stale for all but one", "down after one read it"];
        for (service, revision) in cases.into_iter().zip(2..) {
            if service.starts_with("stale") {
                let stale = net.replicas[0].clone();
                net.replicas.push(stale);
                let readers = |i: &usize| {
                    net.fleet(*i).read_reason() == knapweed_policy::reader::ReadReason::Reader
                };
                let fresh_reader = (0..n)
                    .find(readers)
                    .expect("at least one process is a reader");
                for (i, process) in net.processes.iter_mut().enumerate() {
                    process.replica = Some(usize::from(i != fresh_reader));
                }
                net.run(25 * SECOND);
            }
            if service.starts_with("down") {
                for process in &mut net.processes {
                    process.replica = process.replica.filter(|replica| *replica == 0);
                }
            }
            let start = net.clock;
            let text = document(revision, "drain dc1\n");
            net.publish(0, &ServiceKey::Rules, revision, &text);
            net.run_until(60 * SECOND, |net| net.all_at_revision(revision));
            let (median, max) = adoption_times(&net, start, revision);
            writeln!(
                table,
                "{n} processes, service {service}: p50 {median:.1?}, max {max:.1?}"
            )
            .expect("writing to a string succeeds");
            assert!(max <= ADOPTION_LIMIT.min(DRAIN_LIMIT), "{table}");
        }
    }
    insta::assert_snapshot!(table);
}

/// The baseline for the test above: each process polls the service and there is no gossip.
#[test]
fn publication_to_processes_that_only_poll() {
    let mut table = String::new();
    for n in [10, 50, 150, 950] {
        let cases = [
            ("up", n, false),
            ("stale for all but one", 1, false),
            ("down after one read it", 1, true),
        ];
        for (service, up_to_date, is_down) in cases {
            let polled = poll::simulate_publication(n, 1, up_to_date, is_down);
            let adopted = polled.times.len();
            let median = polled.times[adopted / 2];
            let max = polled.times[adopted - 1];
            writeln!(
                table,
                "{n} processes poll every {:?}, service {service}: {adopted} adopt within {:?}, \
                 p50 {median:.1?}, max {max:.1?}, {} calls a second",
                polled.interval,
                poll::OBSERVATION_TIME,
                polled.calls,
            )
            .expect("writing to a string succeeds");
            assert_eq!(adopted, up_to_date, "{table}");
            assert!(polled.calls <= 2000, "{table}");
        }
    }
    insta::assert_snapshot!(table);
}

#[test]
fn service_calls_a_second() {
    let mut table = String::new();
    for n in [10, 100, 1000] {
        let mut net = Net::new(n, 1);
        net.replicas[0].put(ServiceKey::Rules, 1, &document(1, ""));
        net.run(90 * SECOND);
        assert!(net.fleets().all(knapweed_policy::fleet::Fleet::is_ready));
        let max_calls =
            |net: &Net, from, to| net.calls_per_second.range(from..to).map(|(_, n)| *n).max();
        let (start, steady) = (max_calls(&net, 0, 30), max_calls(&net, 30, 90));
        let from = net.clock.as_secs();
        net.processes
            .iter_mut()
            .for_each(|process| process.replica = None);
        net.run(120 * SECOND);
        net.processes
            .iter_mut()
            .for_each(|process| process.replica = Some(0));
        net.run(60 * SECOND);
        let recovery = max_calls(&net, from, from + 180);
        let mut down = Net::new(n, 1);
        down.replicas[0].fault = Some(knapweed_policy::reader::ServiceResult::Unreachable);
        down.run(60 * SECOND);
        let unanswered = max_calls(&down, 0, 60);
        writeln!(
            table,
            "{n} processes, {} readers: cold start {start:?}, steady {steady:?}, \
             back after an outage {recovery:?}, cold start without answers {unanswered:?}",
            reader_count(n)
        )
        .expect("writing to a string succeeds");
        assert!(
            [start, steady, recovery, unanswered]
                .iter()
                .all(|calls| *calls < Some(2000)),
            "{table}"
        );
    }
    insta::assert_snapshot!(table);
}

/// The maximum bytes per second that fleet messages of one process may use, of the 3 KB/s for
/// control traffic.
const TRAFFIC_LIMIT: usize = 3000;

#[test]
fn bytes_a_second_idle_and_while_healing() {
    let mut table = String::new();
    for n in [10, 50, 150, 950] {
        let mut net = ready_fleet(n, 1);
        // The largest fleet is measured while it still spreads the claims of its start.
        let (settling_time, label) = match n {
            950 => (30 * SECOND, "45 s after the start"),
            _ => (300 * SECOND, "idle"),
        };
        net.run(settling_time);
        net.traffic(SECOND);
        net.run(20 * SECOND);
        let idle = net.traffic(20 * SECOND);
        for (i, process) in net.processes.iter_mut().enumerate() {
            process.partition = u32::from(i >= n / 2);
        }
        net.run(60 * SECOND);
        net.traffic(SECOND);
        net.processes
            .iter_mut()
            .for_each(|process| process.partition = 0);
        net.run(5 * SECOND);
        let first = net.traffic(5 * SECOND);
        let healing_time = net.run_until(900 * SECOND, members::all_alive);
        net.traffic(SECOND);
        net.run(20 * SECOND);
        let after = net.traffic(20 * SECOND);
        writeln!(
            table,
            "{n} processes, mean and greatest bytes a second: {label} {idle:?}, \
             first 5 s of healing {first:?}, 20 s after it {after:?}; \
             all alive again after {healing_time:.0?}"
        )
        .expect("writing to a string succeeds");
        assert!(idle.1.max(first.1).max(after.1) < TRAFFIC_LIMIT, "{table}");
        assert!(healing_time.is_some(), "{table}");
    }
    insta::assert_snapshot!(table);
}
