//! Tests of the configuration store.

use bytes::Bytes;
use insta::assert_snapshot;
use knapweed_standins::config::{Fault, MAX_VALUE_BYTES, ReadResult, Store};

fn show(read: &ReadResult) -> String {
    match read {
        ReadResult::Value { index, body } if body.len() > 40 => {
            format!("{index}: {} bytes", body.len())
        }
        ReadResult::Value { index, body } => {
            format!("{index}: {:?}", String::from_utf8_lossy(body))
        }
        other => format!("{other:?}"),
    }
}

fn store() -> Store {
    let mut store = Store::default();
    for text in ["revision 1", "revision 2", "revision 3"] {
        store.put("rules", Bytes::from_static(text.as_bytes()));
    }
    store
}

#[test]
fn reads_depend_on_the_index_and_the_fault() {
    let faults = [
        Fault::None,
        Fault::Down,
        Fault::Stale { behind: 1 },
        Fault::Stale { behind: 9 },
        Fault::Flapping { behind: 2 },
        Fault::Garbage,
        Fault::Half,
        Fault::Slow { millis: 5 },
        Fault::Oversize,
    ];
    let mut lines = String::new();
    for fault in faults {
        let mut store = store();
        store.set_fault(fault);
        let reads = [
            store.read("rules", None),
            store.read("rules", None),
            store.read("rules", Some(2)),
            store.read("rules", Some(3)),
            store.read("none", None),
        ];
        let shown: Vec<String> = reads.iter().map(show).collect();
        lines.push_str(&format!("{fault:?}: {}\n", shown.join(" | ")));
    }
    assert_snapshot!(lines);
}

#[test]
fn an_oversize_value_is_over_the_limit() {
    let mut store = store();
    store.set_fault(Fault::Oversize);
    let ReadResult::Value { body, .. } = store.read("rules", None) else {
        panic!("a value was written");
    };
    assert!(body.len() > MAX_VALUE_BYTES);
    assert!(body.starts_with(b"revision 3"));
}

#[test]
fn a_waiting_watch_counts_as_one_call() {
    let mut store = store();
    store.record_call("rules", true);
    store.read("rules", Some(3));
    store.read("rules", Some(3));
    store.record_call("vms", false);
    insta::assert_debug_snapshot!(store.calls());
}
