//! Tests of encoding facts as broadcasts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, UNIX_EPOCH};

use entity::{Fingerprint, Incarnation, Tag};
use knapweed_wire::{decode_fact, encode_fact};
use policy::fact::Fact;
use policy::fleet::MAX_BODY_BYTES;
use policy::quarantine::{CrashId, CrashNote, Quarantine, QuarantineEvidence, QuarantineSettings};
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
fn the_body_of_another_subsystem_does_not_decode_as_a_fact() {
    let (id, note) = crash(BTreeSet::from([Fingerprint(7)]));
    let mut foreign = encode_fact(&Fact::Crashed { id, note });
    foreign.key += 1;
    assert_eq!(decode_fact(&foreign), None);
}

proptest! {
    #[test]
    fn split_crash_reports_merge_completely_and_never_appear_as_a_single_request(
        present in prop::collection::btree_set(any::<u128>(), 1..300),
    ) {
        let present: BTreeSet<_> = present.into_iter().map(Fingerprint).collect();
        let (id, note) = crash(present.clone());
        let now = entity::Now { mono: std::time::Instant::now(), wall: note.at };
        let mut quarantine = Quarantine::new(QuarantineSettings::default());
        let mut keys = BTreeSet::new();
        for part in Fact::from_crash(id, &note) {
            let broadcast = encode_fact(&part);
            prop_assert!(broadcast.body.len() <= MAX_BODY_BYTES);
            prop_assert!(keys.insert(broadcast.key));
            let decoded = decode_fact(&broadcast);
            prop_assert_eq!(decoded.as_ref(), Some(&part));
            let evidence = part.evidence().expect("a crash is evidence");
            prop_assert!(present.len() == 1 || evidence.crashes[&id].present.len() > 1);
            quarantine.merge(now, &evidence);
            quarantine.merge(now, &evidence);
        }
        let expected = QuarantineEvidence {
            crashes: BTreeMap::from([(id, note)]),
            completions: BTreeMap::new(),
        };
        prop_assert_eq!(quarantine.evidence_for_peers(), expected);
    }
}
