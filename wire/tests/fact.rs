//! Facts as broadcasts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, UNIX_EPOCH};

use entity::{Fingerprint, Incarnation, Tag};
use knapweed_wire::{broadcast, fact};
use policy::fact::Fact;
use policy::fleet::MAX_BODY_BYTES;
use policy::quarantine::{CrashId, CrashNote, Quarantine, QuarantineNotice, QuarantineSettings};
use proptest::prelude::*;

fn crash(present: BTreeSet<Fingerprint>) -> (CrashId, CrashNote) {
    let id = CrashId {
        agent: Tag(u64::MAX),
        incarnation: Incarnation(u64::MAX),
        sequence: u32::MAX,
    };
    let at = UNIX_EPOCH + Duration::from_secs(1_800_000_000);
    (id, CrashNote { at, present })
}

#[test]
fn the_body_of_another_subsystem_is_no_fact() {
    let (id, note) = crash(BTreeSet::from([Fingerprint(7)]));
    let mut other = broadcast(&Fact::Crashed { id, note });
    other.key += 1;
    assert_eq!(fact(&other), None);
}

proptest! {
    #[test]
    fn a_crash_of_any_size_arrives_whole_and_never_looks_like_a_run_alone(
        present in prop::collection::btree_set(any::<u128>(), 1..300),
    ) {
        let present: BTreeSet<_> = present.into_iter().map(Fingerprint).collect();
        let (id, note) = crash(present.clone());
        let now = entity::Now { mono: std::time::Instant::now(), wall: note.at };
        let mut quarantine = Quarantine::new(QuarantineSettings::default());
        let mut keys = BTreeSet::new();
        for part in Fact::of_crash(id, &note) {
            let sent = broadcast(&part);
            prop_assert!(sent.body.len() <= MAX_BODY_BYTES);
            prop_assert!(keys.insert(sent.key));
            let read = fact(&sent);
            prop_assert_eq!(read.as_ref(), Some(&part));
            let evidence = part.evidence().expect("a crash is evidence");
            prop_assert!(present.len() == 1 || evidence.crashes[&id].present.len() > 1);
            quarantine.merge(now, &evidence);
            quarantine.merge(now, &evidence);
        }
        let whole = QuarantineNotice {
            crashes: BTreeMap::from([(id, note)]),
            completions: BTreeMap::new(),
        };
        prop_assert_eq!(quarantine.notice(), whole);
    }
}
