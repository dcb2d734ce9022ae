//! Property tests of the differences between listings.

use std::net::SocketAddr;
use std::time::Duration;

use entity::Name;
use knapweed_policy::direct::listing::{ListingChange, sort_listing};
use knapweed_policy::direct::target::{SoftwareVersion, Target, TargetState};
use proptest::collection::vec;
use proptest::prelude::*;

fn target((name, born, slots, is_ready): (u8, u64, u32, bool)) -> Target {
    Target {
        name: Name::new(&format!("i-{name}")),
        service: Name::new("pool"),
        address: SocketAddr::from(([10, 0, 0, name], 80)),
        centre: Name::new("north"),
        slots,
        state: match is_ready {
            true => TargetState::Ready,
            false => TargetState::Leaving,
        },
        cold: Duration::ZERO,
        born,
        version: SoftwareVersion::default(),
    }
}

/// Listings with some names in common; a name may occur twice, as in a faulty store.
fn listing() -> impl Strategy<Value = Vec<Target>> {
    vec((0..20_u8, 0..3_u64, 1..3_u32, any::<bool>()), 0..24).prop_map(|rows| {
        let mut targets: Vec<Target> = rows.into_iter().map(target).collect();
        sort_listing(&mut targets);
        targets
    })
}

proptest! {
    #[test]
    fn a_change_leads_from_one_listing_to_the_other(old in listing(), new in listing()) {
        let change = ListingChange::between(&old, &new);
        prop_assert_eq!(change.apply(&old), new);
    }

    #[test]
    fn a_change_applied_twice_changes_nothing_more(old in listing(), new in listing()) {
        let change = ListingChange::between(&old, &new);
        prop_assert_eq!(change.apply(&change.apply(&old)), new);
    }

    #[test]
    fn steps_lead_to_the_same_listing(old in listing(), new in listing(), limit in 1..9_usize) {
        let change = ListingChange::between(&old, &new);
        let size = change.changed.len() + change.removed.len();
        let steps = change.into_steps(limit);
        prop_assert_eq!(steps.len(), size.div_ceil(limit).max(1));
        let reached = steps.iter().fold(old, |listing, step| step.apply(&listing));
        prop_assert_eq!(reached, new);
    }

    #[test]
    fn equal_listings_differ_in_nothing(listing in listing()) {
        let change = ListingChange::between(&listing, &listing);
        prop_assert_eq!(change, ListingChange::default());
    }
}
