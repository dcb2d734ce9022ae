//! Checks that the documented rules form a valid document and that the documented errors
//! are actually reported.

use entity::Directory;
use knapweed_rules::load;

const DOCS: &str = include_str!("../../docs/rules.md");

#[test]
fn documented_rules_are_valid() {
    let blocks = DOCS.split("```rules\n").skip(1);
    let rules: String = blocks
        .filter_map(|block| block.split("```").next())
        .collect();
    let config = load(&rules, &Directory::default());
    let faults = config.map_err(|errors| errors.iter().map(ToString::to_string).collect());
    assert_eq!(faults.err(), None::<Vec<String>>);
}

#[test]
fn documented_errors_are_those_of_the_malformed_documents() {
    let documented = DOCS
        .lines()
        .filter_map(|line| line.strip_prefix("rules.kw: "));
    let documents = [
        include_str!("data/malformed/01-asker.kw"),
        include_str!("data/malformed/03-options.kw"),
        include_str!("data/malformed/08-duplicates.kw"),
        include_str!("data/malformed/09-bounds.kw"),
    ];
    let errors = documents
        .iter()
        .filter_map(|text| load(text, &Directory::default()).err());
    let errors: Vec<_> = errors.flatten().map(|error| error.to_string()).collect();
    let documented: Vec<_> = documented.collect();
    assert_eq!(documented.len(), 4);
    for line in documented {
        assert!(errors.iter().any(|error| error == line), "{line}");
    }
}
