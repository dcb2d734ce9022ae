//! Tests of the diff of two configurations.

use entity::Directory;
use knapweed_rules::{diff, load};

const SMALL: &str = include_str!("data/small.kw");

#[test]
fn diff_lists_changes_and_effects() {
    let old = load(SMALL, &Directory::default()).expect("the document is valid");
    let later = SMALL
        .replace("revision 7", "revision 8")
        .replace("team winder-logs ", "team winder-logs weight 1 ")
        .replace("weight 4 class batch", "weight 3 class standard")
        .replace("cost 400 timeout 5m", "timeout 90s cost 400")
        .replace("drain data-centre dc2 ", "drain target desk-1 ")
        .replace("key carpet-planning", "key winder-logs")
        .replace("route stock-item GET", "route stock-things GET");
    let quotes =
        "team quotes weight 2 class interactive  # asked by: customer service, 2026-11-09\nend ";
    let later = later.replace("\nend ", &format!("\n{quotes}"));
    let new = load(&later, &old.names).expect("the document is valid");
    insta::assert_snapshot!(diff(&old, &new));
    assert_eq!(diff(&old, &old).changes, []);
}
