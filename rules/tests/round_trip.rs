//! Property tests that documents and rules survive a round trip through parsing and display.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, SystemTime};

use entity::{Class, Cost, Name, Revision};
use knapweed_rules::{
    Document, DrainStatement, Fencing, KeyHash, KeyStatement, ModelStatement, PartStatement,
    PoolKind, PoolStatement, Repeat, RouteStatement, Statement, TargetStatement, TeamStatement,
};
use proptest::option;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LAST_SECOND_OF_9999: u64 = 253_402_300_799;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn name() -> impl Strategy<Value = Name> {
    "[A-Za-z0-9][A-Za-z0-9._-]{0,63}".prop_map(|text| Name::new(&text))
}

fn positive() -> impl Strategy<Value = u32> {
    1..=u32::MAX
}

fn hash() -> impl Strategy<Value = KeyHash> {
    any::<[u8; 32]>().prop_map(KeyHash)
}

fn address() -> impl Strategy<Value = SocketAddr> {
    let address = any::<(IpAddr, u16)>().prop_map(SocketAddr::from);
    address.prop_filter("a usable address", |address| {
        address.port() != 0 && !address.ip().is_unspecified()
    })
}

fn time() -> impl Strategy<Value = SystemTime> {
    (0..=LAST_SECOND_OF_9999)
        .prop_map(|seconds| SystemTime::UNIX_EPOCH + Duration::from_secs(seconds))
}

fn timeout() -> impl Strategy<Value = Duration> {
    let millis = prop_oneof![
        1..=86_400_000_u64,
        (1..=86_400_u64).prop_map(|seconds| seconds * 1000),
        (1..=24_u64).prop_map(|hours| hours * 3_600_000),
    ];
    millis.prop_map(Duration::from_millis)
}

fn class() -> impl Strategy<Value = Class> {
    prop_oneof![
        Just(Class::Interactive),
        Just(Class::Standard),
        Just(Class::Batch)
    ]
}

fn pool() -> impl Strategy<Value = Statement> {
    let kind = prop_oneof![Just(PoolKind::Model), Just(PoolKind::Service)];
    let fields = (name(), kind, option::of(positive()), option::of(positive()));
    fields.prop_map(|(name, kind, cold, max)| {
        let pool = PoolStatement {
            name,
            kind,
            cold,
            max,
        };
        pool.into()
    })
}

fn target() -> impl Strategy<Value = Statement> {
    let fencing = prop_oneof![Just(Fencing::Checked), Just(Fencing::Ignored)];
    let names = (name(), name(), name());
    let addresses = (address(), address());
    let times = (option::of(time()), option::of(time()));
    let fields = (names, addresses, option::of(fencing), times);
    fields.prop_map(
        |((name, pool, centre), (data, control), fencing, (from, until))| {
            let target = TargetStatement {
                name,
                pool,
                centre,
                data,
                control,
                fencing,
                from,
                until,
            };
            target.into()
        },
    )
}

fn team() -> impl Strategy<Value = Statement> {
    let numbers = prop::array::uniform4(option::of(positive()));
    let fields = (
        name(),
        numbers,
        option::of(class()),
        option::of(0..=u32::MAX),
    );
    fields.prop_map(|(name, [weight, in_flight, rate, burst], class, queue)| {
        let team = TeamStatement {
            name,
            weight,
            class,
            in_flight,
            rate,
            burst,
            queue,
        };
        team.into()
    })
}

fn route() -> impl Strategy<Value = Statement> {
    let method = "[A-Z]{1,16}".prop_map(|text| Name::new(&text));
    let path = "(/[a-z0-9_~:%-]{1,8}){1,4}/?\\*?".prop_filter("no escaped separator", |path| {
        !["%2f", "%5c", "%2e"].iter().any(|code| path.contains(code))
    });
    let repeat = prop_oneof![Just(Repeat::Idempotent), Just(Repeat::Once)];
    let cost = positive().prop_map(|cost| Cost(i64::from(cost)));
    let options = (option::of(class()), option::of(cost), option::of(timeout()));
    let fields = (name(), method, path, name(), repeat, options);
    fields.prop_map(
        |(name, method, path, pool, repeat, (class, cost, timeout))| {
            let route = RouteStatement {
                name,
                method,
                path: Name::new(&path),
                pool,
                repeat,
                class,
                cost,
                timeout,
            };
            route.into()
        },
    )
}

fn model() -> impl Strategy<Value = Statement> {
    let fields = (name(), name(), name(), positive());
    fields.prop_map(|(name, pool, version, replicas)| {
        let model = ModelStatement {
            name,
            pool,
            version,
            replicas,
        };
        model.into()
    })
}

fn statement() -> impl Strategy<Value = Statement> {
    prop_oneof![
        (1..=u64::MAX).prop_map(|number| Revision(number).into()),
        name().prop_map(Statement::DataCentre),
        pool(),
        target(),
        team(),
        (name(), hash()).prop_map(|(team, hash)| KeyStatement { team, hash }.into()),
        route(),
        model(),
        name().prop_map(|name| DrainStatement::DataCentre(name).into()),
        name().prop_map(|name| DrainStatement::Target(name).into()),
        (name(), hash()).prop_map(|(key, hash)| PartStatement { key, hash }.into()),
        Just(Statement::End),
    ]
}

fn asker() -> impl Strategy<Value = String> {
    "[A-Za-zåäö][A-Za-z .åäö-]{0,20}[a-z](, 20[0-9]{2}-0[1-9]-[01][1-9])?"
}

/// Generates a line that contains a rule with arbitrary spacing, a comment or only whitespace.
fn line() -> impl Strategy<Value = (Option<Statement>, String)> {
    let blank = "[ \t]{0,4}".prop_map(|text| (None, text));
    let comment = "[ \t]{0,3}#[ -~åäö]{0,40}".prop_map(|text| (None, text));
    let spaced = (
        statement(),
        asker(),
        "[ \t]{0,2}",
        "[ \t]{1,3}",
        "[ \t]{0,2}\r?",
    );
    let rule = spaced.prop_map(|(statement, asker, before, between, after)| {
        let words = statement.to_string().replace(' ', &between);
        let text = format!("{before}{words}{between}# asked by: {asker}{after}");
        (Some(statement), text)
    });
    prop_oneof![1 => blank, 1 => comment, 4 => rule]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn documents_round_trip(
        lines in prop::collection::vec(line(), 0..20),
        end in "\n?",
    ) {
        let texts: Vec<_> = lines.iter().map(|(_, text)| text.as_str()).collect();
        let text = texts.join("\n") + &end;
        let document = Document::parse(&text).expect("every line is valid");
        prop_assert_eq!(document.to_string(), text);
        let read: Vec<_> = document.rules().map(|(_, rule)| &rule.statement).collect();
        let written: Vec<_> = lines.iter().filter_map(|(statement, _)| statement.as_ref()).collect();
        prop_assert_eq!(read, written);
    }

    #[test]
    fn rules_round_trip(statement in statement(), asker in asker()) {
        let text = format!("{statement} # asked by: {asker}");
        let first = Document::parse(&text).expect("the rule is valid");
        let rule = first.rule(1).expect("the line has a rule").clone();
        let second = Document::parse(&rule.to_string()).expect("the written rule is valid");
        prop_assert_eq!(second.rule(1), Some(&rule));
        prop_assert_eq!(&rule.statement, &statement);
        prop_assert_eq!(rule.source.asker.as_str(), asker);
    }

    #[test]
    fn arbitrary_text_parses_or_is_rejected_with_positions_inside_it(text in "\\PC{0,200}(\n[a-z# :0-9/*-]{0,60}){0,6}") {
        match Document::parse(&text) {
            Ok(document) => prop_assert_eq!(document.to_string(), text),
            Err(errors) => for error in errors {
                let line = text.split('\n').nth(error.line as usize - 1).expect("a line of the text");
                prop_assert!(error.column as usize <= line.chars().count() + 1, "{}", error);
            },
        }
    }
}
