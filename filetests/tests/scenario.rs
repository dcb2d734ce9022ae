//! The scenario language: round trips, error positions and determinism.

use std::path::Path;
use std::time::Duration;

use entity::{Class, Name};
use knapweed_filetests::case::{Case, find, repository};
use knapweed_filetests::scenario::{
    Change, CostDistribution, Event, FilePath, KeyChoice, Load, Percent, Place, PlantedBug,
    PolicyName, PoolStatement, Promise, Scenario, ServiceMode, Statement, TeamStatement,
};
use proptest::option;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::RngSeed;
use rules::PoolKind;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn name() -> impl Strategy<Value = Name> {
    let text = "[A-Za-z0-9][A-Za-z0-9._-]{0,20}";
    text.prop_map(|text| Name::new(&text))
}

fn key() -> impl Strategy<Value = KeyChoice> {
    let named = name().prop_filter("keywords are not key names", |name| {
        !["fresh", "ticket"].contains(&name.as_str())
    });
    prop_oneof![
        Just(KeyChoice::Fresh),
        Just(KeyChoice::Ticket),
        named.prop_map(KeyChoice::Named)
    ]
}

fn time() -> impl Strategy<Value = Duration> {
    let micros = prop_oneof![
        0..=10_000_000_u64,
        (0..=86_400_u64).prop_map(|seconds| seconds * 1_000_000)
    ];
    micros.prop_map(Duration::from_micros)
}

fn percent() -> impl Strategy<Value = Percent> {
    (0..=10_000_u32).prop_map(|part| Percent(f64::from(part) / 100.0))
}

fn count() -> impl Strategy<Value = u32> {
    1..=u32::MAX
}

fn cost() -> impl Strategy<Value = CostDistribution> {
    (count(), any::<bool>()).prop_map(|(median, lognormal)| CostDistribution { median, lognormal })
}

fn load() -> impl Strategy<Value = Load> {
    let fields = (
        option::of(name()),
        option::of(count()),
        option::of(cost()),
        option::of(count()),
        option::of(time()),
        option::of(time()),
        option::of(key()),
        option::of(count()),
    );
    fields.prop_map(
        |(pool, router, cost, hint, from, until, key, repeat)| Load {
            pool,
            router,
            cost,
            hint,
            from,
            until,
            key,
            repeat,
        },
    )
}

fn place() -> impl Strategy<Value = Place> {
    prop_oneof![
        count().prop_map(Place::Router),
        name().prop_map(Place::Agent),
        name().prop_map(Place::Centre),
        Just(Place::Service),
    ]
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        name().prop_map(Change::DrainCentre),
        name().prop_map(Change::UndrainCentre),
        name().prop_map(Change::DrainTarget),
        name().prop_map(Change::UndrainTarget),
        Just(Change::Invalid),
    ]
}

fn mode() -> impl Strategy<Value = ServiceMode> {
    select(vec![
        ServiceMode::Up,
        ServiceMode::Down,
        ServiceMode::Stale,
        ServiceMode::Garbage,
    ])
}

fn event() -> impl Strategy<Value = Event> {
    let skew = (place(), any::<bool>(), time());
    let flood = (name(), count(), time());
    prop_oneof![
        (place(), option::of(place())).prop_map(|(place, from)| Event::Cut { place, from }),
        Just(Event::Heal),
        (place(), time()).prop_map(|(place, time)| Event::Pause { place, time }),
        place().prop_map(Event::Restart),
        place().prop_map(Event::Stop),
        name().prop_map(Event::Cold),
        name().prop_map(Event::Crash),
        flood.prop_map(|(team, rate, time)| Event::Flood { team, rate, time }),
        mode().prop_map(Event::Service),
        change().prop_map(Event::Publish),
        name().prop_map(Event::Leaves),
        skew.prop_map(|(place, back, by)| Event::Skew { place, back, by }),
    ]
}

fn plant() -> impl Strategy<Value = PlantedBug> {
    let simple = vec![
        PlantedBug::Overrun,
        PlantedBug::IgnoreDrain,
        PlantedBug::IgnoreList,
        PlantedBug::FalseRefusal,
        PlantedBug::DropKeys,
        PlantedBug::CutOnStop,
        PlantedBug::StaleRules,
        PlantedBug::RevertRules,
        PlantedBug::LosePulls,
        PlantedBug::CrossAnswers,
        PlantedBug::CutAnswers,
        PlantedBug::DropFingerprints,
        PlantedBug::BlameAll,
        PlantedBug::ForgetRequests,
    ];
    prop_oneof![name().prop_map(PlantedBug::Favour), select(simple)]
}

fn policy() -> impl Strategy<Value = PolicyName> {
    select(vec![
        PolicyName::Fair,
        PolicyName::PushFifo,
        PolicyName::Quota,
        PolicyName::OwnCounter,
    ])
}

fn pool() -> impl Strategy<Value = PoolStatement> {
    let kind = select(vec![PoolKind::Model, PoolKind::Service]);
    let fields = (name(), kind, count(), count(), count());
    fields.prop_map(|(name, kind, targets, slots, cold)| PoolStatement {
        name,
        kind,
        targets,
        slots,
        cold,
    })
}

fn team() -> impl Strategy<Value = TeamStatement> {
    let class = select(vec![Class::Interactive, Class::Standard, Class::Batch]);
    let fields = (name(), count(), class);
    fields.prop_map(|(name, weight, class)| TeamStatement {
        name,
        weight,
        class,
    })
}

fn statement() -> impl Strategy<Value = Statement> {
    let every = time().prop_filter("the interval is above 0", |time| !time.is_zero());
    let between = option::of((name(), name()));
    prop_oneof![
        any::<u64>().prop_map(Statement::Seed),
        (count(), count()).prop_map(|(routers, centres)| Statement::Fleet { routers, centres }),
        "[a-z/.]{1,20}".prop_map(|path| Statement::Rules(FilePath(path))),
        pool().prop_map(Statement::Pool),
        team().prop_map(Statement::Team),
        (time(), between).prop_map(|(time, between)| Statement::Delay { time, between }),
        percent().prop_map(Statement::Loss),
        percent().prop_map(Statement::Double),
        time().prop_map(Statement::Gossip),
        time().prop_map(Statement::Token),
        policy().prop_map(Statement::Policy),
        plant().prop_map(Statement::PlantedBug),
        (name(), every, load()).prop_map(|(team, every, load)| Statement::Arrive {
            team,
            every,
            load
        }),
        (name(), count(), load()).prop_map(|(team, open, load)| Statement::Backlog {
            team,
            open,
            load
        }),
        (time(), event()).prop_map(|(time, event)| Statement::At { time, event }),
        time().prop_map(Statement::Run),
        select(Promise::ALL.to_vec()).prop_map(Statement::Expect),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn written_scenarios_parse_back(statements in prop::collection::vec(statement(), 0..20)) {
        let scenario = Scenario { statements };
        let text = scenario.to_string();
        prop_assert_eq!(Scenario::parse(&text), Ok(scenario));
    }

    #[test]
    fn arbitrary_text_parses_or_reports_a_valid_position(text in "([a-z]{1,8}|[0-9.]{1,4}(ms|s|%|x)?|[ #/\n-]|\\PC){0,40}") {
        if let Err(error) = Scenario::parse(&text) {
            let line = text.lines().nth(error.line - 1).expect("the line exists");
            prop_assert!(error.column <= line.chars().count() + 1);
        }
    }

    #[test]
    fn truncated_statements_parse_or_report_a_valid_position(statement in statement(), cut in any::<prop::sample::Index>()) {
        let text = statement.to_string();
        let chars: Vec<_> = text.chars().collect();
        let damaged: String = chars[..cut.index(chars.len())].iter().collect();
        if let Err(error) = Scenario::parse(&damaged) {
            prop_assert!(error.column <= damaged.chars().count() + 1);
        }
    }
}

#[test]
fn parse_errors_report_line_and_column() {
    let texts = [
        "seed 1x",
        "\nbogus 1",
        "arrive north every 20ms cost lognormal 100 hint 10x colour",
        "arrive north every 20ms cost 1 cost 2",
        "pool llm kind modl targets 3 slots 8 cold 2",
        "at 3s cut rooter 1",
        "at 3s publish drain dc2",
        "at 3 heal",
        "backlog north 0",
        "loss 101%",
        "expect gop",
        "run 100000s",
    ];
    let errors = texts.map(|text| {
        let error = Scenario::parse(text).expect_err("the text is invalid");
        format!("{text:?}: {error}")
    });
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn every_case_round_trips_through_text() {
    let files = find(&repository().join("filetests/cases")).expect("the cases can be listed");
    assert!(!files.is_empty());
    for file in files {
        let case = Case::read(&file).expect("the case can be read");
        let again = Scenario::parse(&case.scenario.to_string());
        assert_eq!(again, Ok(case.scenario), "{}", file.display());
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let root = repository();
    let recorded_run = |file: &str, seed: u64| {
        let case = Case::read(&root.join(Path::new("filetests/cases")).join(file));
        let case = case.expect("the case can be read").with_seed(seed);
        let report = case.run(&root).expect("the case runs");
        let entries: Vec<_> = report.run.entries.iter().map(ToString::to_string).collect();
        entries.join("\n")
    };
    for file in ["pairs/split-restart.kwt", "planted/whole-answers.kwt"] {
        let first = recorded_run(file, 3);
        assert!(
            first == recorded_run(file, 3),
            "{file} is not deterministic"
        );
        assert!(first != recorded_run(file, 4), "{file} ignores its seed");
    }
}
