//! Tests of compiled tables: lookups, defaults, stable indices and parts.

use std::collections::BTreeMap;

use entity::{Directory, Name, Revision, RuleRef};
use knapweed_rules::{
    Config, Document, History, KeyHash, MAX_REVISIONS, Origin, assemble, load, origin, part_hash,
    parts,
};

const SMALL: &str = include_str!("data/small.kw");

fn small() -> Config {
    load(SMALL, &Directory::default()).expect("the document is valid")
}

fn find(config: &Config, method: &str, path: &str) -> String {
    let route = config.match_route(method, path);
    route.map_or_else(
        || "no route".to_owned(),
        |route| config.names.routes.name(route).to_string(),
    )
}

#[test]
fn most_specific_route_wins() {
    let config = small();
    let requests = [
        ("POST", "/v1/chat/completions"),
        ("GET", "/v1/stock"),
        ("GET", "/v1/stock/"),
        ("GET", "/v1/stock/core-76"),
        ("GET", "/v1/stock/reserved"),
        ("GET", "/v1/stock/reserved/7"),
        ("PUT", "/v1/stock/core-76"),
        ("GET", "/v1/stock/../orders"),
        ("GET", "/v1/stock/%2E%2e/orders"),
        ("GET", "/v1/stock/..%2forders"),
        ("GET", "/v1/stock//orders"),
        ("GET", "/v1/stock/a..b"),
    ];
    let found: Vec<_> = requests
        .iter()
        .map(|(method, path)| format!("{method} {path} -> {}", find(&config, method, path)))
        .collect();
    insta::assert_snapshot!(found.join("\n"));
}

#[test]
fn tables_hold_defaults_and_references() {
    let config = small();
    let teams: Vec<_> = config.teams.values().flatten().collect();
    let pools: Vec<_> = config.pools.values().flatten().collect();
    let targets: Vec<_> = config.targets.values().flatten().collect();
    let routes: Vec<_> = config.routes.values().flatten().collect();
    insta::assert_debug_snapshot!((config.revision, config.hash, teams, pools, targets, routes));
}

#[test]
fn a_key_finds_its_team() {
    let config = small();
    let team = config.team_by_key("planning-key").expect("known key");
    assert_eq!(config.names.teams.name(team).as_str(), "carpet-planning");
    assert_eq!(config.team_by_key("planning-kez"), None);
    assert_eq!(
        KeyHash::of("abc").to_string(),
        "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
    );
}

#[test]
fn a_drain_resolves_to_its_rule_and_asker() {
    let config = small();
    let drained = |name: &str| {
        let target = config.names.targets.by_name(name).expect("known target");
        let rule = config.drain_rule(target);
        let source = rule.and_then(|rule| config.source(rule));
        let text = source.map(|source| format!("{} ({})", source.text, source.asker));
        format!(
            "{name}: {}",
            text.unwrap_or_else(|| "in service".to_owned())
        )
    };
    insta::assert_snapshot!([drained("llm-1"), drained("llm-2"), drained("desk-1")].join("\n"));
    let stale = RuleRef {
        revision: Revision(6),
        line: 1,
    };
    assert_eq!(config.source(stale), None);
}

#[test]
fn indices_are_stable_across_revisions() {
    let first = small();
    let later: String = SMALL
        .replace("revision 7", "revision 8")
        .lines()
        .filter(|line| !line.contains("winder-logs"))
        .flat_map(|line| [line, "\n"])
        .collect::<String>()
        .replace("\nend ", "\nteam aaa  # asked by: operations\nend ");
    let second = load(&later, &first.names).expect("the document is valid");
    for (id, team) in first.teams.iter() {
        assert_eq!(first.names.teams.name(id), second.names.teams.name(id));
        let removed = first.names.teams.name(id).as_str() == "winder-logs";
        assert_eq!(second.teams[id].is_none(), removed || team.is_none());
    }
    let added = second.names.teams.by_name("aaa").expect("new team");
    assert_eq!(first.names.teams.by_name("aaa"), None);
    assert!(second.teams[added].is_some());
    assert_ne!(first.hash, second.hash);
}

#[test]
fn parts_are_joined_in_root_order() {
    let part = "team b  # asked by: operations\n";
    let other = "team a  # asked by: operations\n";
    let root = format!(
        "revision 1  # asked by: operations\npart teams-2 {}  # asked by: operations\npart teams-1 {}  # asked by: operations\nend  # asked by: operations\n",
        part_hash(part),
        part_hash(other)
    );
    let root = Document::parse(&root).expect("the root is valid");
    let keys: Vec<_> = parts(&root).iter().map(|part| part.key.clone()).collect();
    assert_eq!(keys, [Name::new("teams-2"), Name::new("teams-1")]);
    let mut values = BTreeMap::from([
        (Name::new("teams-1"), other.to_owned()),
        (Name::new("teams-2"), part.to_owned()),
    ]);
    let whole = assemble(&root, &values).expect("all parts are there");
    let places = [3, 5, 6, 8].map(|line| origin(&whole, line));
    let place = |part: Option<&str>, line| Origin {
        part: part.map(Name::new),
        line,
    };
    let expected = [
        place(None, 3),
        place(None, 5),
        place(Some("teams-2"), 1),
        place(Some("teams-1"), 1),
    ];
    assert_eq!(places, expected);
    assert_eq!(origin("# part x\n\n", 2), place(None, 2));
    insta::assert_snapshot!(whole);
    values.remove(&Name::new("teams-1"));
    values.insert(Name::new("teams-2"), "team c  # asked by: x\n".to_owned());
    let errors = assemble(&root, &values).expect_err("one part is wrong, one missing");
    let errors: Vec<_> = errors.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn rules_after_end_are_allowed_in_named_parts_only() {
    let part = "team a  # asked by: operations\n";
    let hash = part_hash(part);
    let head = format!("revision 1  # asked by: x\npart teams {hash}  # asked by: x\n");
    let values = BTreeMap::from([(Name::new("teams"), part.to_owned())]);
    let faults = |rest: &str| {
        let root = Document::parse(&format!("{head}{rest}")).expect("every line is valid");
        let whole = assemble(&root, &values).and_then(|text| load(&text, &Directory::default()));
        let errors = whole.err().unwrap_or_default();
        let errors: Vec<_> = errors.iter().map(ToString::to_string).collect();
        errors.join("\n")
    };
    assert_eq!(faults("end  # asked by: x\n# a last comment\n"), "");
    assert_eq!(
        faults(""),
        "line 2, column 1: found the end of the document, \
         expected `end` as the last rule of the root document"
    );
    assert_eq!(
        faults("end  # asked by: x\n# part teams\nteam b  # asked by: x\n"),
        "line 5, column 1: found `team`, expected no rule after `end` on line 3"
    );
}

#[test]
fn sources_of_recent_revisions_are_retained() {
    let mut history = History::default();
    let latest = MAX_REVISIONS as u64 + 1;
    for revision in 1..=latest {
        let text =
            format!("revision {revision}  # asked by: asker {revision}\nend  # asked by: x\n");
        let config = load(&text, &Directory::default()).expect("the document is valid");
        history.push(&config);
    }
    let asker = |revision| {
        let revision = Revision(revision);
        let source = history.source(RuleRef { revision, line: 1 });
        source.map(|source| source.asker.to_string())
    };
    assert_eq!(asker(1), None);
    assert_eq!(asker(2).as_deref(), Some("asker 2"));
    assert_eq!(asker(latest).as_deref(), Some("asker 5"));
    assert_eq!(asker(latest + 1), None);
}
