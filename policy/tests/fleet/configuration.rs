//! Effects of service and network faults on the configuration in force.

use std::time::Duration;

use knapweed_policy::fleet::{Fleet, NotReady, START_PEER_TIMEOUT};
use knapweed_policy::reader::{CONFIRMATION_TIMEOUT, ReadReason, ServiceKey, ServiceResult};

use crate::fake::document;
use crate::net::{Net, Process};
use crate::{ADOPTION_LIMIT, SECOND, ready_fleet};

/// Whether the adoptions of the process from index `from` on have increasing versions and end at
/// `revision`.
fn versions_increase_to(process: &Process, from: usize, revision: u64) -> bool {
    let adopted = &process.adopted[from..];
    let increasing = adopted.windows(2).all(|pair| pair[0].1 < pair[1].1);
    increasing
        && adopted
            .last()
            .is_some_and(|last| last.1.revision.0 == revision)
}

fn alarms(net: &Net) -> String {
    let alarms = net.processes.iter().flat_map(|process| &process.alarms);
    let mut texts: Vec<_> = alarms.map(ToString::to_string).collect();
    texts.sort();
    texts.dedup();
    texts.join("\n")
}

/// A fleet at revision 2 whose processes all read replica 1, which still serves revision 1.
fn stale_service(n: usize) -> Net {
    let mut net = ready_fleet(n, 2);
    let stale = net.replicas[0].clone();
    net.replicas.push(stale);
    net.publish(0, &ServiceKey::Rules, 9, &document(2, ""));
    assert!(
        net.run_until(ADOPTION_LIMIT, |net| net.all_at_revision(2))
            .is_some()
    );
    net.processes
        .iter_mut()
        .for_each(|process| process.replica = Some(1));
    net
}

/// Restarts a process without state; returns the revision at which it becomes ready.
fn revision_when_ready(net: &mut Net, index: usize) -> Option<u64> {
    net.restart(index);
    let ready = |net: &Net| net.fleet(index).is_ready();
    net.run_until(60 * SECOND, ready)?;
    Some(net.fleet(index).version().revision.0)
}

#[test]
fn restarted_processes_ignore_a_stale_service() {
    let mut net = stale_service(12);
    for index in 0..12 {
        assert_eq!(revision_when_ready(&mut net, index), Some(2));
    }
    net.loss_rate = 0.3;
    for index in 0..60 {
        assert_eq!(
            revision_when_ready(&mut net, index % 12),
            Some(2),
            "restart {index}"
        );
    }
    net.loss_rate = 0.0;
    net.run(60 * SECOND);
    assert!(net.all_at_revision(2));
    // A process that is partitioned from all peers adopts the stale document after
    // `START_PEER_TIMEOUT`: a known limitation.
    net.processes[3].partition = 1;
    let start = net.clock;
    assert_eq!(revision_when_ready(&mut net, 3), Some(1));
    assert!(net.clock - start >= START_PEER_TIMEOUT);
    net.processes[3].partition = 0;
    assert!(
        net.run_until(ADOPTION_LIMIT, |net| net.all_at_revision(2))
            .is_some()
    );
}

#[test]
fn flapping_replicas_never_lower_the_version() {
    let mut net = stale_service(12);
    for round in 0..60 {
        for (i, process) in net.processes.iter_mut().enumerate() {
            process.replica = Some((i + round) % 2);
        }
        net.run(SECOND);
    }
    assert!(
        net.processes
            .iter()
            .all(|process| versions_increase_to(process, 0, 2))
    );
    assert!(alarms(&net).contains("stale"));
}

#[test]
fn invalid_answers_leave_the_document_in_force() {
    let half = document(2, "drain dc1\n").replace("end\n", "");
    let cases = [
        ("half a document", Ok(half.as_str())),
        ("nonsense", Ok("revision 2\nfrobnicate\nend\n")),
        ("empty", Ok("")),
        (
            "over a megabyte or cut short",
            Err(ServiceResult::Malformed),
        ),
        ("key unknown", Err(ServiceResult::Missing)),
        ("no answer", Err(ServiceResult::Unreachable)),
    ];
    let mut table = String::new();
    for (case, answer) in cases {
        let mut net = ready_fleet(8, 3);
        match answer {
            Ok(text) => net.publish(0, &ServiceKey::Rules, 2, text),
            Err(fault) => net.replicas[0].fault = Some(fault),
        }
        net.run(70 * SECOND);
        assert!(net.all_at_revision(1), "{case}");
        table += &format!("{case}:\n{}\n", alarms(&net));
        net.replicas[0].fault = None;
        net.publish(0, &ServiceKey::Rules, 3, &document(3, ""));
        assert!(
            net.run_until(ADOPTION_LIMIT * 2, |net| net.all_at_revision(3))
                .is_some(),
            "{case}"
        );
    }
    insta::assert_snapshot!(table);
}

#[test]
fn conflicting_documents_of_one_revision_converge() {
    let mut net = ready_fleet(16, 4);
    let other = net.replicas[0].clone();
    net.replicas.push(other);
    for (i, process) in net.processes.iter_mut().enumerate() {
        process.replica = Some(i % 2);
    }
    // Waits until the watches that are pending at the other replica have ended.
    net.run(15 * SECOND);
    net.publish(0, &ServiceKey::Rules, 2, &document(2, "drain dc1\n"));
    net.publish(1, &ServiceKey::Rules, 2, &document(2, "drain dc2\n"));
    net.run(90 * SECOND);
    let mut versions: Vec<_> = net.fleets().map(Fleet::version).collect();
    versions.dedup();
    assert_eq!(versions.len(), 1);
    assert!(alarms(&net).contains("two documents under one revision"));
    assert!(
        net.processes
            .iter()
            .all(|process| versions_increase_to(process, 0, 2))
    );
}

#[test]
fn a_healed_partition_adopts_the_higher_revision() {
    let mut net = ready_fleet(20, 5);
    let other = net.replicas[0].clone();
    net.replicas.push(other);
    for (i, process) in net.processes.iter_mut().enumerate() {
        process.partition = u32::from(i >= 8);
        process.replica = Some(usize::from(i >= 8));
    }
    // Waits until the watches that are pending at the other replica have ended.
    net.run(15 * SECOND);
    net.publish(0, &ServiceKey::Rules, 3, &document(3, ""));
    net.publish(1, &ServiceKey::Rules, 2, &document(2, ""));
    net.run(60 * SECOND);
    let revisions: Vec<_> = net
        .fleets()
        .map(|fleet| fleet.version().revision.0)
        .collect();
    assert_eq!(revisions, [[3; 8].as_slice(), [2; 12].as_slice()].concat());
    net.processes
        .iter_mut()
        .for_each(|process| process.partition = 0);
    assert!(
        net.run_until(ADOPTION_LIMIT, |net| net.all_at_revision(3))
            .is_some()
    );
    net.run(30 * SECOND);
    assert!(
        net.processes
            .iter()
            .all(|process| versions_increase_to(process, 0, 3))
    );
    assert!(crate::members::all_alive(&net));
}

#[test]
fn a_large_document_is_fetched_in_chunks() {
    let mut net = ready_fleet(30, 6);
    let line = format!("# {}\n", "x".repeat(997));
    let (one, two) = (line.repeat(700), line.repeat(800) + "end\n");
    net.publish(0, &ServiceKey::Part("one".into()), 2, &one);
    net.publish(0, &ServiceKey::Part("two".into()), 2, &two);
    let root = "revision 2\npart one\npart two\n";
    net.publish(0, &ServiceKey::Rules, 2, root);
    assert!(
        net.run_until(ADOPTION_LIMIT, |net| net.all_at_revision(2))
            .is_some()
    );
    let texts = net
        .fleets()
        .map(|fleet| fleet.document().expect("a document is in force").text.len());
    assert!(
        texts
            .into_iter()
            .all(|size| size == root.len() + one.len() + two.len())
    );
    // If the service lacks a part that the root names, the last valid document stays in force.
    net.publish(
        0,
        &ServiceKey::Rules,
        3,
        "revision 3\npart one\npart gone\n",
    );
    net.run(20 * SECOND);
    assert!(net.all_at_revision(2));
}

#[test]
fn without_service_and_peers_a_process_is_not_ready() {
    let mut net = Net::new(1, 7);
    net.replicas[0].fault = Some(ServiceResult::Unreachable);
    net.run(86_400 * SECOND);
    assert_eq!(net.fleet(0).not_ready(net.now()), Some(NotReady::Document));
    net.replicas[0].fault = None;
    net.publish(0, &ServiceKey::Rules, 1, &document(1, ""));
    assert!(
        net.run_until(60 * SECOND, |net| net.fleet(0).is_ready())
            .is_some()
    );
}

#[test]
fn only_the_service_renews_confirmations() {
    let mut net = ready_fleet(50, 8);
    net.run(300 * SECOND);
    let age = |net: &Net| {
        let at = |at: entity::Now| net.now().mono.saturating_duration_since(at.mono);
        let ages = net
            .fleets()
            .map(|fleet| fleet.confirmed_at().map_or(Duration::MAX, at));
        ages.max().expect("there are processes")
    };
    let fresh = age(&net);
    assert!(fresh < 90 * SECOND, "{fresh:?}");
    // Stale replicas do not renew confirmations, so processes eventually become overdue and read.
    let mut stale = stale_service(50);
    let start = stale.clock;
    stale.run(CONFIRMATION_TIMEOUT + 60 * SECOND);
    assert!(age(&stale) >= stale.clock - start - SECOND);
    let overdue = stale
        .fleets()
        .filter(|fleet| fleet.read_reason() == ReadReason::Overdue);
    assert!(overdue.count() > 30);
}
