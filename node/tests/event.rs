//! The documented list of log events, and formatting and parsing of log lines.

use knapweed_node::event::{Event, LogEntry, format_line};
use proptest::prelude::*;

/// The cells of each table row of the documentation that describes an event.
fn rows(documentation: &str) -> Vec<Vec<&str>> {
    let rows = documentation
        .lines()
        .filter(|line| line.starts_with("| KW"));
    rows.map(|row| row.trim_matches('|').split('|').map(str::trim).collect())
        .collect()
}

#[test]
fn documentation_lists_every_event() {
    let documentation = include_str!("../../docs/events.md");
    let documented: Vec<_> = rows(documentation)
        .iter()
        .map(|cells| cells[..3].join(" "))
        .collect();
    let defined: Vec<_> = Event::ALL
        .iter()
        .map(|event| {
            let level = event.level().to_string().to_lowercase();
            format!("KW{:04} {level} {}", event.number(), event.name())
        })
        .collect();
    assert_eq!(documented, defined);
}

#[test]
fn documentation_describes_every_event() {
    for cells in rows(include_str!("../../docs/events.md")) {
        assert_eq!(cells.len(), 5, "{cells:?}");
        assert!(cells.iter().all(|cell| !cell.is_empty()), "{cells:?}");
    }
}

#[test]
fn numbers_are_ascending_and_names_unique() {
    let numbers: Vec<_> = Event::ALL.iter().map(|event| event.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    let mut names: Vec<_> = Event::ALL.iter().map(|event| event.name()).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), Event::ALL.len());
}

#[test]
fn field_values_with_delimiters_are_quoted() {
    let lines = [
        format_line(Event::ProcessReady, &[]),
        format_line(
            Event::ConfigAdopted,
            &[("revision", &7), ("source", &"peer")],
        ),
        format_line(Event::ConfigRefused, &[("fault", &"found `x`, expected y")]),
        format_line(
            Event::TeamLimited,
            &[("team", &"a\nKW1008 stop-cut"), ("rule", &"")],
        ),
        format_line(Event::TeamLimited, &[("team", &"a rule=\"b\"")]),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

proptest! {
    #[test]
    fn a_formatted_line_is_parsed_back(value in any::<String>(), number in any::<u32>()) {
        let text = format_line(Event::LimitReached, &[("limit", &value), ("count", &number)]);
        let entry = LogEntry::parse(&text);
        let fields = vec![("limit".to_owned(), value), ("count".to_owned(), number.to_string())];
        prop_assert_eq!(entry, Some(LogEntry { event: Event::LimitReached, fields }));
    }

    #[test]
    fn arbitrary_text_does_not_panic_the_parser(text in any::<String>()) {
        let _entry = LogEntry::parse(&format!("KW1506 limit-reached {text}"));
    }
}
