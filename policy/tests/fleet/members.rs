//! Membership: failures, pauses, reused addresses, leaving processes and broadcasts.

use std::time::Duration;

use entity::{Incarnation, ProcessId};
use knapweed_policy::fleet::{Alarm, Broadcast, FleetEvent, Health, Leaving, MAX_ITEMS};
use knapweed_policy::member::CONTACT_VALIDITY;
use knapweed_policy::reader::ServiceKey;

use crate::fake::{document, epoch};
use crate::net::{Net, address, name, vms};
use crate::{DRAIN_LIMIT, SECOND, ready_fleet};

fn process_id(index: usize) -> ProcessId {
    ProcessId(name(index).tag())
}

fn health(net: &Net, observer: usize, id: ProcessId) -> Option<Health> {
    let member = net.fleet(observer).members().get(id)?;
    Some(member.claim.health)
}

/// Whether every running process considers all other processes alive.
pub(crate) fn all_alive(net: &Net) -> bool {
    let alive = |fleet: &knapweed_policy::fleet::Fleet<_>| {
        let mut members = fleet.members().iter();
        members.all(|member| member.claim.health == Health::Alive)
    };
    net.fleets().all(alive)
        && net
            .fleets()
            .all(|f| f.members().len() + 1 == net.processes.len())
}

/// Whether all running processes other than `id` report `wanted` as its health.
fn all_report(net: &Net, id: ProcessId, wanted: Health) -> bool {
    let indices = (0..net.processes.len()).filter(|i| net.processes[*i].fleet.is_some());
    let mut others = indices.filter(|i| net.processes[*i].endpoint.id != id);
    others.all(|i| health(net, i, id) == Some(wanted))
}

#[test]
fn a_stopped_process_is_detected_and_packet_loss_is_tolerated() {
    let mut net = ready_fleet(50, 1);
    net.loss_rate = 0.05;
    for _ in 0..120 {
        net.run(SECOND);
        let dead = |i| (0..50).any(|j| health(&net, i, process_id(j)) == Some(Health::Dead));
        assert!(!(0..50).any(dead));
    }
    net.stop(7);
    let time = net.run_until(60 * SECOND, |net| {
        all_report(net, process_id(7), Health::Dead)
    });
    assert!(time.is_some_and(|time| time < 30 * SECOND), "{time:?}");
}

#[test]
fn a_blocked_link_is_not_a_process_failure() {
    let mut net = ready_fleet(10, 2);
    net.blocked = Some((2, 6));
    for _ in 0..100 {
        net.run(SECOND);
        assert_ne!(health(&net, 2, process_id(6)), Some(Health::Dead));
    }
    // Without a third process to relay probes, a blocked link looks like a failed process.
    let mut pair = ready_fleet(2, 2);
    pair.blocked = Some((0, 1));
    assert!(
        pair.run_until(30 * SECOND, |net| all_report(
            net,
            process_id(1),
            Health::Dead
        ))
        .is_some()
    );
}

#[test]
fn a_resumed_process_refutes_its_suspicion() {
    let mut net = ready_fleet(20, 3);
    net.processes[4].paused = true;
    assert!(
        net.run_until(60 * SECOND, |net| all_report(
            net,
            process_id(4),
            Health::Dead
        ))
        .is_some()
    );
    net.publish(0, &ServiceKey::Rules, 2, &document(2, ""));
    net.run(30 * SECOND);
    assert!(!net.fleet(0).is_reachable(net.now(), process_id(4)));
    // A direct message makes the process reachable before it has refuted its death.
    let endpoint = net.processes[4].endpoint;
    let version = net.fleet(4).version();
    net.event(0, FleetEvent::PeerVersion { endpoint, version });
    assert!(net.fleet(0).is_reachable(net.now(), process_id(4)));
    assert_eq!(health(&net, 0, process_id(4)), Some(Health::Dead));
    net.run(CONTACT_VALIDITY);
    assert!(!net.fleet(0).is_reachable(net.now(), process_id(4)));
    net.resume(4);
    assert!(net.run_until(30 * SECOND, all_alive).is_some());
    assert!(net.all_at_revision(2));
    let alarms = &net.processes[4].alarms;
    assert!(alarms.contains(&Alarm::Suspected));
    assert!(
        alarms
            .iter()
            .any(|alarm| matches!(alarm, Alarm::Paused { .. }))
    );
    // The resumed process suspected no other process.
    let others = net.processes.iter().flat_map(|process| &process.alarms);
    assert_eq!(
        others.filter(|alarm| **alarm == Alarm::Suspected).count(),
        1
    );
}

#[test]
fn a_resumed_process_learns_that_it_is_superseded() {
    let mut net = ready_fleet(10, 4);
    net.processes[4].paused = true;
    let old = net.processes[4].endpoint;
    net.run(20 * SECOND);
    let successor = net.add(&name(4), address(200));
    net.run(20 * SECOND);
    let new = net.processes[successor].endpoint.incarnation;
    assert!(new > old.incarnation);
    net.resume(4);
    assert!(
        net.run_until(20 * SECOND, |net| net.fleet(4).superseded_by() == Some(new))
            .is_some()
    );
    let known = net
        .fleet(0)
        .members()
        .get(process_id(4))
        .expect("the process is a member")
        .claim
        .endpoint;
    assert_eq!(known, net.processes[successor].endpoint);
}

#[test]
fn a_reused_address_is_another_process() {
    let mut net = ready_fleet(20, 5);
    net.stop(5);
    let other = net.add(&"newcomer".into(), address(5));
    let new = net.processes[other].endpoint.id;
    let told_apart = |net: &Net| {
        all_report(net, process_id(5), Health::Dead) && all_report(net, new, Health::Alive)
    };
    assert!(net.run_until(60 * SECOND, told_apart).is_some());
    net.run(60 * SECOND);
    assert!(told_apart(&net));
}

#[test]
fn a_clock_set_back_does_not_hide_a_restart() {
    let mut net = ready_fleet(10, 6);
    let before = net.processes[3].endpoint.incarnation;
    net.restart(3);
    // The other processes have recorded a later incarnation than the one that starts now.
    let mut claim = net.fleet(3).members().own();
    claim.endpoint.incarnation = Incarnation(before.0 + 600_000_000);
    let from = net.processes[0].endpoint;
    let message = knapweed_policy::fleet::FleetMessage::Join(claim);
    for index in [0, 1, 2, 4, 5, 6, 7, 8, 9] {
        net.event(
            index,
            FleetEvent::Received {
                from,
                message: message.clone(),
            },
        );
    }
    assert!(
        net.run_until(30 * SECOND, |net| net.fleet(3).is_ready())
            .is_some()
    );
    net.run(10 * SECOND);
    let own = net.fleet(3).endpoint();
    assert!(own.incarnation > claim.endpoint.incarnation);
    assert_eq!(
        net.fleet(0)
            .members()
            .get(process_id(3))
            .map(|m| m.claim.endpoint),
        Some(own)
    );
}

#[test]
fn leaving_spreads_within_the_drain_limit() {
    let mut table = String::new();
    for n in [10, 150, 950] {
        let mut net = ready_fleet(n, 7);
        let leaving = |net: &Net, id| net.fleets().all(|f| f.process_leaving(id).is_some());
        net.event(3, FleetEvent::Leaving(true));
        let announced = net.run_until(60 * SECOND, |net| leaving(net, process_id(3)));
        net.publish(0, &ServiceKey::Vms, 5, &vms(n, &[6]));
        let listed = net.run_until(60 * SECOND, |net| leaving(net, process_id(6)));
        table += &format!("{n} processes: announced {announced:?}, listed {listed:?}\n");
        let within_limit = |time: Option<Duration>| time.is_some_and(|time| time <= DRAIN_LIMIT);
        assert!(within_limit(announced) && within_limit(listed), "{table}");
        net.event(3, FleetEvent::Leaving(false));
        let back = net.run_until(60 * SECOND, |net| {
            net.fleets()
                .all(|fleet| fleet.process_leaving(process_id(3)).is_none())
        });
        assert!(back.is_some());
    }
    insta::assert_snapshot!(table);
}

#[test]
fn a_data_centre_drain_reaches_every_process() {
    let mut net = ready_fleet(12, 8);
    let targets = "target t1 dc1 10.9.0.1:70\ntarget t2 dc2 10.9.0.2:70\n";
    net.publish(
        0,
        &ServiceKey::Rules,
        2,
        &document(2, &format!("{targets}drain dc1\n")),
    );
    let drained = |net: &Net, name| {
        let knows = |fleet: &knapweed_policy::fleet::Fleet<_>| {
            let config = &fleet.document().expect("a document is in force").config;
            let target = config.names.targets.by_name(name);
            let leaving = target.and_then(|target| fleet.leaving(target));
            matches!(leaving, Some(Leaving::Rule(_)))
        };
        net.fleets().all(knows)
    };
    assert!(
        net.run_until(DRAIN_LIMIT, |net| drained(net, "t1"))
            .is_some()
    );
    assert!(!drained(&net, "t2"));
    net.publish(0, &ServiceKey::Rules, 3, &document(3, targets));
    assert!(
        net.run_until(DRAIN_LIMIT, |net| net.all_at_revision(3)
            && !drained(net, "t1"))
            .is_some()
    );
}

#[test]
fn broadcasts_reach_running_and_restarted_processes() {
    let mut net = ready_fleet(50, 9);
    let expires = epoch() + net.clock + 300 * SECOND;
    let item = |key, version, body: &[u8]| Broadcast {
        key,
        version,
        body: body.to_vec(),
        expires,
    };
    net.event(1, FleetEvent::Publish(item(1, 1, b"a")));
    net.event(2, FleetEvent::Publish(item(1, 2, b"b")));
    net.event(3, FleetEvent::Publish(item(7, 1, &[0; 2000])));
    let holds = |net: &Net, index| {
        let items: Vec<_> = net.fleet(index).broadcasts().iter().cloned().collect();
        items == [item(1, 2, b"b")]
    };
    assert!(
        net.run_until(DRAIN_LIMIT, |net| (0..50).all(|i| holds(net, i)))
            .is_some()
    );
    net.run(120 * SECOND);
    net.restart(9);
    assert!(net.run_until(20 * SECOND, |net| holds(net, 9)).is_some());
    for key in 0..2 * MAX_ITEMS as u64 {
        net.event(4, FleetEvent::Publish(item(key, 9, b"many")));
    }
    assert_eq!(net.fleet(4).broadcasts().iter().count(), MAX_ITEMS);
    net.run(300 * SECOND);
    assert!(
        net.fleets()
            .all(|fleet| fleet.broadcasts().iter().count() == 0)
    );
}
