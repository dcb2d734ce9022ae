//! Property tests of checking, compiling and route lookup with small random documents.

use entity::Directory;
use knapweed_rules::{Config, diff, load};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

const ASKER: &str = "  # asked by: operations";

/// Generates rules with few distinct names, so that most references are valid and some are not.
fn rule() -> impl Strategy<Value = String> {
    let target = ("[a-c]", "[pq]", "[xy]", 1..9_u8, 1..9_u8).prop_map(
        |(name, pool, centre, data, control)| {
            format!(
                "target {name} pool {pool} data-centre {centre} \
                 data 10.0.0.{data}:1 control 10.0.1.{control}:1"
            )
        },
    );
    let route = ("[r-t]", "(/[ab]){1,3}\\*?", "[pq]", "(idempotent|once)").prop_map(
        |(name, path, pool, repeat)| format!("route {name} GET {path} pool {pool} {repeat}"),
    );
    prop_oneof![
        2 => target,
        2 => route,
        1 => "team [t-v]( weight [1-3])?( class batch)?( rate [1-9]/s)?( queue [0-9])?",
        1 => "drain (data-centre [xy]|target [a-c])",
        1 => ("[t-v]", any::<u8>()).prop_map(|(team, hash)| format!("key {team} sha256:{hash:064x}")),
        1 => "model m pool [pq] version 1 replicas [12]",
    ]
}

/// Generates a document in which the pools and data centres are defined.
fn document() -> impl Strategy<Value = Vec<String>> {
    let base = [
        "revision 1",
        "pool p kind model cold 1 max 4",
        "data-centre x",
        "data-centre y",
        "target a0 pool p data-centre x data 10.1.0.1:1 control 10.1.0.1:2",
    ];
    let base = base.map(str::to_owned).to_vec();
    let lines = prop::collection::vec(rule(), 0..6);
    lines.prop_map(move |lines| [base.clone(), lines].concat())
}

fn text(lines: &[String]) -> String {
    let rules = lines.iter().map(String::as_str).chain(["end"]);
    rules.flat_map(|line| [line, ASKER, "\n"]).collect()
}

fn loaded(lines: &[String], names: &Directory) -> Option<Config> {
    load(&text(lines), names).ok()
}

/// Returns the name of the route for a path.
fn route<'a>(config: &'a Config, path: &str) -> Option<&'a str> {
    let found = config.match_route("GET", path)?;
    Some(config.names.routes.name(found).as_str())
}

/// Finds the most specific route by comparing all routes.
fn route_by_linear_scan<'a>(config: &'a Config, path: &str) -> Option<&'a str> {
    let matching = config.routes.iter().filter_map(|(id, route)| {
        let pattern = route.as_ref()?.path.as_str();
        let name = config.names.routes.name(id).as_str();
        match pattern.strip_suffix('*') {
            None => (pattern == path).then_some((usize::MAX, name)),
            Some(prefix) => path.starts_with(prefix).then_some((prefix.len(), name)),
        }
    });
    matching.max().map(|(_, name)| name)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn tables_refer_only_to_what_is_defined(lines in document()) {
        let Some(config) = loaded(&lines, &Directory::default()) else { return Ok(()) };
        for pool in config.pools.values().flatten() {
            prop_assert!(!pool.targets.is_empty());
            prop_assert!(pool.window.cold <= pool.window.max);
            for &target in &pool.targets {
                prop_assert!(config.targets[target].is_some());
            }
        }
        for target in config.targets.values().flatten() {
            prop_assert!(config.pools[target.pool].is_some());
            prop_assert!(config.centres[target.centre].is_some());
            for rule in [Some(target.rule), target.drain].into_iter().flatten() {
                prop_assert!(config.source(rule).is_some());
            }
        }
        for route in config.routes.values().flatten() {
            prop_assert!(config.pools[route.pool].is_some());
        }
        for &team in config.keys.values() {
            prop_assert!(config.teams[team].is_some());
        }
    }

    #[test]
    fn line_order_has_no_effect(
        (lines, shuffled) in document().prop_flat_map(|lines| (Just(lines.clone()), Just(lines).prop_shuffle())),
    ) {
        let config = loaded(&lines, &Directory::default());
        let other = loaded(&shuffled, &Directory::default());
        prop_assert_eq!(config.is_some(), other.is_some());
        let (Some(config), Some(other)) = (config, other) else { return Ok(()) };
        let difference = diff(&config, &other);
        prop_assert_eq!(difference.changes, []);
        prop_assert_eq!(difference.pools, []);
        for path in ["/a", "/a/b", "/a/b/a", "/b/b/b/b", "/ab"] {
            prop_assert_eq!(route(&config, path), route(&other, path));
        }
    }

    #[test]
    fn compilation_is_independent_of_earlier_documents(first in document(), second in document()) {
        let fresh = loaded(&second, &Directory::default());
        let earlier = loaded(&first, &Directory::default());
        let names = earlier.map_or_else(Directory::default, |config| (*config.names).clone());
        let later = loaded(&second, &names);
        prop_assert_eq!(fresh.is_some(), later.is_some());
        let (Some(fresh), Some(later)) = (fresh, later) else { return Ok(()) };
        prop_assert_eq!(fresh.hash, later.hash);
        prop_assert_eq!(diff(&fresh, &later).changes, []);
        prop_assert_eq!(fresh.keys.len(), later.keys.len());
        for (hash, &team) in &fresh.keys {
            let same = later.keys.get(hash).map(|&team| later.names.teams.name(team));
            prop_assert_eq!(same, Some(fresh.names.teams.name(team)));
        }
        for team in ["t", "u", "v"].map(|name| names.teams.by_name(name)).into_iter().flatten() {
            prop_assert_eq!(names.teams.name(team), later.names.teams.name(team));
        }
    }

    #[test]
    fn the_route_table_agrees_with_a_linear_scan(lines in document(), path in "(/[abc]{1,2}){1,4}/?") {
        let Some(config) = loaded(&lines, &Directory::default()) else { return Ok(()) };
        prop_assert_eq!(route(&config, &path), route_by_linear_scan(&config, &path));
    }
}

#[test]
fn random_documents_include_valid_and_invalid_ones() {
    let mut runner = proptest::test_runner::TestRunner::new(config());
    let valid = (0..256).filter(|_| {
        let tree = document().new_tree(&mut runner).expect("a document");
        loaded(&tree.current(), &Directory::default()).is_some()
    });
    let valid = valid.count();
    assert!((64..=192).contains(&valid), "{valid} of 256 are valid");
}
