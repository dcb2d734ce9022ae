//! Tests of what single responses change at targets without an engine.

use std::time::{Duration, Instant};

use entity::Name;
use knapweed_policy::direct::cold::Members;
use knapweed_policy::direct::config::Service;
use knapweed_policy::direct::placement::{
    Placement, PlacementRequest, PlacementSettings, RefusalReason, select_target,
};
use knapweed_policy::direct::slots::PlainResult;
use knapweed_policy::direct::target::{SoftwareVersion, Target, TargetRegistry, TargetState};
use knapweed_policy::direct::target_table::{TargetEntryId, TargetTable};

const OBJECTIVE: Duration = Duration::from_millis(300);

fn table(targets: u8, now: Instant) -> (TargetTable, Vec<TargetEntryId>) {
    let target = |number: u8| Target {
        name: Name::new(&format!("t{number}")),
        service: Name::new("desk"),
        address: ([10, 0, 0, number], 80).into(),
        centre: Name::new("north"),
        slots: 6,
        state: TargetState::Ready,
        cold: Duration::ZERO,
        born: 1,
        version: SoftwareVersion::default(),
    };
    let mut registry = TargetRegistry::default();
    registry.replace((0..targets).map(target).collect(), now);
    let mut table = TargetTable::default();
    table.apply_registry(&registry, now);
    let ids = table.targets_of_service(&Name::new("desk")).to_vec();
    (table, ids)
}

fn select(table: &mut TargetTable, now: Instant) -> Placement {
    let service = Service {
        name: Name::new("desk"),
        connections: 100,
        cold_rate: 0.0,
        engine: None,
    };
    let request = PlacementRequest {
        service: &service,
        prompt: None,
        min_objective: OBJECTIVE,
        objective: OBJECTIVE,
        wait_factor: 1.0,
        excess_delay: None,
        centre: &Name::new("north"),
        version: None,
        tried: &[],
        members: &Members::default(),
    };
    let settings = PlacementSettings {
        uses_slots: true,
        ..PlacementSettings::default()
    };
    select_target(table, &settings, &request, &(), now)
}

#[test]
fn a_target_whose_first_response_states_a_failure_still_gets_requests() {
    let now = Instant::now();
    let (mut table, ids) = table(2, now);
    table.record_plain_result(ids[0], PlainResult::Failed, now);
    let chosen = (0..10).filter(|_| {
        let placement = select(&mut table, now);
        matches!(placement, Placement::Target { target, .. } if target == ids[0])
    });
    assert!(chosen.count() > 0);
}

#[test]
fn a_target_that_turned_a_request_away_gets_none_until_its_count_is_old() {
    let now = Instant::now();
    let (mut table, ids) = table(1, now);
    table
        .slot_state(ids[0])
        .record_time(Duration::from_millis(5), 0, 6);
    table.record_slot_report(ids[0], 12, now);
    assert!(matches!(select(&mut table, now), Placement::Target { .. }));
    table.record_plain_result(ids[0], PlainResult::Full { reported: 12 }, now);
    let refused = select(&mut table, now);
    let Placement::Refused {
        reason,
        retry_after,
        ..
    } = refused
    else {
        panic!("{refused:?}");
    };
    assert_eq!(reason, RefusalReason::Full);
    assert!(retry_after >= Duration::from_millis(40), "{retry_after:?}");
    let later = now + Duration::from_secs(1);
    assert!(matches!(
        select(&mut table, later),
        Placement::Target { .. }
    ));
}
