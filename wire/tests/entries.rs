//! Tests of the operators' entries that routers hand to each other.

use entity::Name;
use knapweed_wire::{EntriesQuery, OperatorEntries};
use proptest::prelude::*;

proptest! {
    #[test]
    fn entries_and_queries_are_read_as_they_were_written(
        version in any::<u64>(),
        as_of in any::<u64>(),
        config in prop::collection::vec(any::<u8>(), 0..200),
        drained in prop::collection::vec("[a-z-]{1,12}", 0..4),
    ) {
        let query = EntriesQuery { version, as_of };
        let path = query.path();
        let (path, text) = path.split_once('?').expect("a query");
        prop_assert_eq!(EntriesQuery::parse(path, text), Some(query));
        let drained = drained.iter().map(|name| Name::new(name)).collect();
        let entries = OperatorEntries { as_of, revision: version, config, drained };
        prop_assert_eq!(OperatorEntries::decode(&entries.encode()), Some(entries));
    }

    #[test]
    fn no_bytes_stop_the_reader(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        query in "[a-z0-9=&-]{0,40}",
    ) {
        // Only that both return is checked.
        let _entries = OperatorEntries::decode(&bytes);
        let _query = EntriesQuery::parse("/entries", &query);
    }
}

#[test]
fn a_query_for_entries_is_answered_only_with_newer_ones() {
    let query = EntriesQuery {
        version: 4,
        as_of: 30,
    };
    assert!(query.is_older_than(5, 20));
    assert!(query.is_older_than(4, 31));
    assert!(!query.is_older_than(4, 30));
}
