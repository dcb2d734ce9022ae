//! Loads a document of the largest expected size from parts.

use std::collections::BTreeMap;

use entity::{Directory, Name};
use knapweed_rules::{Document, KeyHash, MAX_VALUE_BYTES, assemble, load, part_hash};

const TEAMS: usize = 42_000;
const TEAMS_PER_PART: usize = 4_000;

fn part(first: usize) -> String {
    let last = TEAMS.min(first + TEAMS_PER_PART);
    let teams = (first..last).map(|team| {
        let hash = KeyHash::of(&team.to_string());
        format!(
            "team team-{team:05} weight {} class batch rate 20/s  # asked by: team office {team}, 2026-11-02\n\
             key team-{team:05} {hash}  # asked by: team office {team}, 2026-11-02\n",
            team % 9 + 1
        )
    });
    teams.collect()
}

#[test]
fn many_teams_load_from_parts() {
    let firsts = (0..TEAMS).step_by(TEAMS_PER_PART);
    let values: BTreeMap<_, _> = firsts
        .map(|first| (Name::new(&format!("teams-{first:05}")), part(first)))
        .collect();
    assert!(values.values().all(|value| value.len() <= MAX_VALUE_BYTES));
    let named = values
        .iter()
        .map(|(key, value)| format!("part {key} {}  # asked by: operations\n", part_hash(value)));
    let root = "revision 1  # asked by: operations\n".to_owned()
        + &named.collect::<String>()
        + "end  # asked by: operations\n";
    let root = Document::parse(&root).expect("the root is valid");
    let text = assemble(&root, &values).expect("all parts are there");
    let config = load(&text, &Directory::default()).expect("the document is valid");
    assert_eq!(config.names.teams.len(), TEAMS);
    assert_eq!(config.keys.len(), TEAMS);
    let team = config.team_by_key("41999").expect("a known key");
    assert_eq!(config.names.teams.name(team).as_str(), "team-41999");
}
