//! Tests of revisions of a store that may come back from an older copy.

use std::time::{Duration, Instant};

use knapweed_policy::direct::store_revision::{EraChange, REWRITE_TIME, StoreEra, StoreRevision};
use proptest::prelude::*;

#[test]
fn an_era_that_rises_leaves_time_for_what_is_written_again() {
    let now = Instant::now();
    let mut era = StoreEra::default();
    assert_eq!(
        era.observe(3, now),
        EraChange::Same,
        "the first that is known"
    );
    assert_eq!(era.rewritten_in(now), None);
    assert_eq!(era.observe(4, now), EraChange::Risen);
    assert_eq!(era.observe(4, now), EraChange::Same);
    assert_eq!(
        era.observe(3, now),
        EraChange::Old,
        "a copy that was left behind"
    );
    assert_eq!(era.get(), 4);
    let half = now + REWRITE_TIME / 2;
    assert!(era.is_being_rewritten(half));
    assert_eq!(era.rewritten_in(half), Some(REWRITE_TIME / 2));
    let later = now + REWRITE_TIME;
    assert!(!era.is_being_rewritten(later));
    assert_eq!(era.rewritten_in(later), Some(Duration::ZERO));
    era.end_rewrite();
    assert_eq!(era.rewritten_in(later), None);
}

proptest! {
    #[test]
    fn a_later_era_is_greater_whatever_the_numbers(
        era in 0..0xffff_u64, earlier in any::<u64>(), later in any::<u64>(),
    ) {
        prop_assert!(StoreRevision::new(era, earlier) < StoreRevision::new(era + 1, later));
    }

    #[test]
    fn numbers_of_the_first_era_are_unchanged(number in 0..1_u64 << 48) {
        let revision = StoreRevision::new(0, number);
        prop_assert_eq!(revision.0, number);
        prop_assert_eq!(revision.number(), number);
    }

    #[test]
    fn huge_eras_and_numbers_stay_within_their_bounds(era in any::<u64>(), number in any::<u64>()) {
        let revision = StoreRevision::new(era, number);
        prop_assert!(revision.era() <= era && revision.number() <= number);
    }
}
