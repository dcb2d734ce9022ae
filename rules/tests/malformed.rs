//! Checks that every error in a malformed document is reported with its position.

use entity::Directory;
use knapweed_rules::load;

fn faults(text: &str) -> String {
    let errors = load(text, &Directory::default()).expect_err("the document is malformed");
    let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

macro_rules! malformed {
    ($($test:ident $file:literal)*) => {
        $(
            #[test]
            fn $test() {
                let text = include_str!(concat!("data/malformed/", $file));
                insta::assert_snapshot!($file, faults(text));
            }
        )*
    };
}

malformed! {
    asker "01-asker.kw"
    statements "02-statements.kw"
    options "03-options.kw"
    targets "04-targets.kw"
    routes "05-routes.kw"
    hashes "06-hashes.kw"
    references "07-references.kw"
    duplicates "08-duplicates.kw"
    bounds "09-bounds.kw"
    text "10-text.kw"
    end "11-end.kw"
    no_end "12-no-end.kw"
    end_words "13-end-words.kw"
}
