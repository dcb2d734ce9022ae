//! The rules grammar as a [`DocumentCompiler`](knapweed_policy::revision::DocumentCompiler).

use std::sync::Arc;

use entity::Directory;
use knapweed_policy::fleet::RulesCompiler;
use knapweed_policy::revision::{DocumentCompiler as _, OfferOutcome, Revisions, Source};

const SMALL: &str = include_str!("../../rules/tests/data/small.kw");

/// The small example with its last line before `end` moved to a part; returns the root and the
/// part.
fn split_example() -> (String, Arc<str>) {
    let end = SMALL
        .rfind("\nend ")
        .expect("the document has an `end` rule")
        + 1;
    let cut = SMALL[..end]
        .trim_end()
        .rfind('\n')
        .expect("the document has several lines")
        + 1;
    let part = &SMALL[cut..end];
    let hash = rules::part_hash(part);
    let (head, tail) = (&SMALL[..cut], &SMALL[end..]);
    let root = format!("{head}part rules.2 {hash}  # asked by: tests\n{tail}");
    (root, Arc::from(part))
}

#[test]
fn a_document_in_parts_assembles_and_compiles() {
    let (root, part) = split_example();
    let names = RulesCompiler.parts(&root).expect("the root is valid");
    let texts: Vec<_> = names.iter().map(ToString::to_string).collect();
    assert_eq!(texts, ["rules.2"]);
    let text = RulesCompiler
        .assemble(&root, std::slice::from_ref(&part))
        .expect("the part matches the root");
    let config = RulesCompiler
        .compile(&text, &Directory::default())
        .expect("the document is valid");
    assert_eq!(config.hash, RulesCompiler.hash(&text));
    let wrong = RulesCompiler.assemble(&root, &[Arc::from("# another part\n")]);
    assert!(wrong.is_err());
    assert!(RulesCompiler.assemble(&root, &[]).is_err());
}

#[test]
fn repeated_offers_have_the_same_outcome() {
    let mut revisions = Revisions::default();
    let offer = |revisions: &mut Revisions, text: &str| {
        revisions.offer(&RulesCompiler, text, Source::Service, None)
    };
    assert_eq!(
        offer(&mut revisions, SMALL),
        OfferOutcome::Adopted { replaced: None }
    );
    assert_eq!(offer(&mut revisions, SMALL), OfferOutcome::Current);
    let mut log = String::new();
    for text in [
        "",
        "revision",
        "\u{0}",
        "frobnicate\nfrobnicate\nfrobnicate\nfrobnicate\nfrobnicate\n",
    ] {
        let OfferOutcome::Invalid {
            error,
            already_refused,
            ..
        } = offer(&mut revisions, text)
        else {
            panic!("accepted: {text:?}");
        };
        log += &format!("{text:?}, again {already_refused}: {error}\n");
    }
    insta::assert_snapshot!(log);
}

#[test]
fn a_truncated_document_is_refused() {
    let cuts = SMALL.match_indices('\n').map(|(at, _)| &SMALL[..=at]);
    let cuts = cuts.filter(|text| *text != SMALL);
    let valid = |text: &&str| RulesCompiler.compile(text, &Directory::default()).is_ok();
    assert_eq!(cuts.filter(valid).count(), 0);
}
