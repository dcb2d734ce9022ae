//! The catalogue of log events and the form of a log line.

use knapweed_node::event::{Entry, Event, line};
use proptest::prelude::*;

/// One row of the catalogue: the cells between the bars.
fn rows(catalogue: &str) -> Vec<Vec<&str>> {
    let rows = catalogue.lines().filter(|line| line.starts_with("| KW"));
    rows.map(|row| row.trim_matches('|').split('|').map(str::trim).collect())
        .collect()
}

#[test]
fn code_and_catalogue_are_equal() {
    let catalogue = include_str!("../../docs/events.md");
    let documented: Vec<_> = rows(catalogue)
        .iter()
        .map(|cells| cells[..3].join(" "))
        .collect();
    let coded: Vec<_> = Event::ALL
        .iter()
        .map(|event| {
            let level = event.level().to_string().to_lowercase();
            format!("KW{:04} {level} {}", event.number(), event.name())
        })
        .collect();
    assert_eq!(documented, coded);
}

#[test]
fn every_row_says_what_the_event_means_and_what_to_do() {
    for cells in rows(include_str!("../../docs/events.md")) {
        assert_eq!(cells.len(), 5, "{cells:?}");
        assert!(cells.iter().all(|cell| !cell.is_empty()), "{cells:?}");
    }
}

#[test]
fn numbers_rise_and_names_are_unique() {
    let numbers: Vec<_> = Event::ALL.iter().map(|event| event.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    let mut names: Vec<_> = Event::ALL.iter().map(|event| event.name()).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), Event::ALL.len());
}

#[test]
fn a_line_keeps_fields_apart() {
    let lines = [
        line(Event::ProcessReady, &[]),
        line(
            Event::ConfigAdopted,
            &[("revision", &7), ("source", &"peer")],
        ),
        line(Event::ConfigRefused, &[("fault", &"found `x`, expected y")]),
        line(
            Event::TeamLimited,
            &[("team", &"a\nKW1008 stop-cut"), ("rule", &"")],
        ),
        line(Event::TeamLimited, &[("team", &"a rule=\"b\"")]),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

proptest! {
    #[test]
    fn a_line_that_was_written_is_read_again(value in any::<String>(), number in any::<u32>()) {
        let text = line(Event::LimitReached, &[("limit", &value), ("count", &number)]);
        let entry = Entry::parse(&text);
        let fields = vec![("limit".to_owned(), value), ("count".to_owned(), number.to_string())];
        prop_assert_eq!(entry, Some(Entry { event: Event::LimitReached, fields }));
    }

    #[test]
    fn any_text_is_read_without_harm(text in any::<String>()) {
        let _entry = Entry::parse(&format!("KW1506 limit-reached {text}"));
    }
}
