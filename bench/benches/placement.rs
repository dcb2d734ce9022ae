//! Benchmarks the selection of a target among engines that keep prompt parts.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use entity::Name;
use policy::direct::cold::Members;
use policy::direct::config::{Engine, Service};
use policy::direct::placement::{PlacementRequest, PlacementSettings, select_target};
use policy::direct::target::{SoftwareVersion, Target, TargetRegistry, TargetState};
use policy::direct::target_limit::StatedLimit;
use policy::direct::target_table::{Prompt, PromptPart, TargetTable};

const TARGETS: [u8; 2] = [40, 120];
const CENTRES: u8 = 3;

/// The number of shared parts, of which each target keeps a tenth.
const PARTS: u64 = 400;

/// The number of routers among which limits are divided.
const ROUTERS: u64 = 350;

/// The limit that targets name, in requests per second.
const LIMIT: f64 = 5.0;

/// The prefill rate of an engine, in tokens per millisecond.
const PREFILL_RATE: f64 = 50.0;

const ENGINE: Engine = Engine {
    slots: 48,
    memory: 10_000_000,
    copy_rate: 1_000.0,
};

fn table(targets: u8, is_weighed: bool, now: Instant) -> TargetTable {
    let registered = (0..targets).map(|number| Target {
        name: Name::new(&format!("t{number}")),
        service: Name::new("pool"),
        address: ([10, 0, 0, number], 80).into(),
        centre: Name::new(&format!("centre-{}", number % CENTRES)),
        slots: ENGINE.slots,
        state: TargetState::Ready,
        cold: Duration::ZERO,
        born: 1,
        version: SoftwareVersion::default(),
    });
    let mut registry = TargetRegistry::default();
    registry.replace(registered.collect(), now);
    let mut table = TargetTable::default();
    table.apply_registry(&registry, now);
    if is_weighed {
        table.weigh_kept_parts(PREFILL_RATE);
    }
    let ids = table.targets_of_service(&Name::new("pool")).to_vec();
    for (index, id) in ids.into_iter().enumerate() {
        for part in (0..PARTS).filter(|part| part % 10 == index as u64 % 10) {
            let cost = table.begin_attempt(id, Some(&prompt(part)), 0, now);
            table.record_first_event(id, cost, now);
            table.end_attempt(id, cost, true);
        }
    }
    table
}

fn prompt(shared: u64) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt {
        parts: [
            part(shared % 10, 200),
            part(shared + 10, 5_000),
            part(u64::MAX, 2_000),
        ]
        .into_iter()
        .collect(),
        input_tokens: 7_200,
        max_output_tokens: 400,
        expected_output_tokens: 200,
    }
}

fn selection(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("select_target");
    let now = Instant::now();
    let service = Service {
        name: Name::new("pool"),
        connections: 100,
        cold_rate: 0.0,
        engine: Some(ENGINE),
    };
    let centre = Name::new("centre-0");
    let members = Members::new(0, (1..ROUTERS).collect(), true);
    let prompts: Vec<Prompt> = (0..PARTS).map(prompt).collect();
    for targets in TARGETS {
        let cases = [
            ("assumed", false, 0),
            ("weighed", true, 0),
            ("limited", false, targets / 3),
        ];
        for (name, is_weighed, limited) in cases {
            let mut table = table(targets, is_weighed, now);
            let ids = table.targets_of_service(&service.name).to_vec();
            for id in ids.into_iter().take(limited.into()) {
                table.record_limit(id, StatedLimit::Named(LIMIT), None, now);
            }
            let mut next = prompts.iter().cycle();
            group.bench_function(BenchmarkId::new(name, targets), |bencher| {
                bencher.iter(|| {
                    let request = PlacementRequest {
                        service: &service,
                        prompt: next.next(),
                        min_objective: Duration::from_millis(400),
                        objective: Duration::from_millis(400),
                        wait_factor: 1.0,
                        excess_delay: None,
                        centre: &centre,
                        version: None,
                        tried: &[],
                        members: &members,
                    };
                    let settings = PlacementSettings::default();
                    black_box(select_target(&mut table, &settings, &request, &(), now))
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, selection);
criterion_main!(benches);
